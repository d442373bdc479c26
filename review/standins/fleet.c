/* The controllers' processes, the connections between them, and users. */
#include "platform.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

enum { WORDS_MAX = 16 };

static void update_listener(int node);

const deployment_t ondapartilhada_grown = {
    .nodes = 3,
    .zones = {"alfama", "ribeira"},
    .zone_count = 2,
    .report_ms = 1000,
    .lease_ms = 10000,
    .cancel_ms = 30000,
    .list_lag_s = 3,
    .state_rps = 120,
    .state_write_rps = 40,
    .limits = {24, 16 * 1024},
    .type = "caravela",
    .type_cpus = 16,
    .type_memory_gb = 128,
    .price = 1.49,
    .spot_price = 0.47,
    .boot_s = 20,
    .teams = {"equipa-lisboa", "equipa-porto"},
    .team_cpus = {1200, 1000},
    .team_cpus_max = 3000,
    .class_name = "transcodifica",
    .fd_limit = 600,
    .clock_off_ms = 25,
};

const deployment_t fotominoseg_grown = {
    .nodes = 5,
    .zones = {"gyor", "szeged", "debrecen", "pecs"},
    .zone_count = 4,
    .report_ms = 1500,
    .lease_ms = 12000,
    .cancel_ms = 37000,
    .list_lag_s = 4,
    .state_rps = 250,
    .state_write_rps = 80,
    .limits = {48, 16 * 1024},
    .type = "solyom",
    .type_cpus = 32,
    .type_memory_gb = 64,
    .price = 1.92,
    .spot_price = 0.53,
    .boot_s = 15,
    .teams = {"minosegcsapat"},
    .class_name = "indexkep",
    .fd_limit = 700,
    .clock_off_ms = 5,
};

const deployment_t *deployment;
static int node_count;
static char **command;
static int command_words;
static const char *folder;
static pid_t pids[NODES_MAX];
static int ports[NODES_MAX];
static int mesh_ports[NODES_MAX];
static int proxy_ports[NODES_MAX]; /* through which the others reach that node's mesh port */
static int proxy_listeners[NODES_MAX];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER; /* of the proxies */
static bool is_refusing;

static const char *zone_of(int node)
{
    return deployment->zones[node % deployment->zone_count];
}

int fleet_port(int node)
{
    return ports[node];
}

int fleet_size(void)
{
    return node_count;
}

const char *fleet_name(int node)
{
    static const char *const names[NODES_MAX] = {"pulleyhand-0", "pulleyhand-1", "pulleyhand-2",
                                                 "pulleyhand-3", "pulleyhand-4"};
    return names[node];
}

int fleet_node(const char *name)
{
    for (int i = 0; i < node_count; i++)
        if (strcmp(fleet_name(i), name) == 0)
            return i;
    return -1;
}

static json_t *loopback(int port)
{
    return json_sprintf("127.0.0.1:%d", port);
}

static json_t *build_teams(void)
{
    json_t *teams = json_array();
    for (int i = 0; i < 2 && deployment->teams[i]; i++)
        json_array_append_new(teams, json_pack("{s:s,s:f,s:f,s:f,s:f}", "name",
                                               deployment->teams[i], "cpus",
                                               deployment->team_cpus[i], "cpus_max",
                                               deployment->team_cpus_max, "gpus", 0.0, "gpus_max",
                                               0.0));
    return teams;
}

static json_t *build_zones(void)
{
    json_t *zones = json_array();
    for (int i = 0; i < deployment->zone_count; i++)
        json_array_append_new(zones, json_string(deployment->zones[i]));
    return zones;
}

/* The settings of DEPLOY, with these addresses. */
static json_t *build_settings(int node)
{
    const deployment_t *site = deployment;
    json_t *siblings = json_array();
    for (int i = 0; i < node_count; i++)
        if (i != node)
            json_array_append_new(siblings, json_pack("{s:s,s:s,s:o}", "host_name", fleet_name(i),
                                                      "location", zone_of(i), "endpoint",
                                                      loopback(proxy_ports[i])));
    json_t *workers = json_pack("{s:f,s:f,s:f,s:f,s:f}", "report_s", site->report_ms / 1000.0,
                                "lease_s", site->lease_ms / 1000.0, "gang_wait_s", 35.0,
                                "gang_peer_s", 4.0, "cancel_s", site->cancel_ms / 1000.0);
    json_t *state = json_pack("{s:f,s:f,s:f,s:i}", "rps", site->state_rps, "write_rps",
                              site->state_write_rps, "value_kb",
                              (double)site->limits.value_bytes / 1024, "txn_ops",
                              (int)site->limits.txn_ops);
    json_t *settings = json_pack(
        "{s:i,s:o,s:o,s:[{s:s,s:s,s:f,s:f}],s:o,s:o,s:{s:f,s:f},s:{s:f,s:f,s:i},s:f}",
        "initial_size", node_count, "zones", build_zones(), "teams", build_teams(), "objectives",
        "kind", "finished", "class", site->class_name, "share", 0.9, "within_s", 400.0, "workers",
        workers, "state", state, "cloud", "rps", 5.0, "list_lag_s", site->list_lag_s, "limits",
        "core_share", 0.096, "ram_mb", 56.0, "fd_limit", site->fd_limit, "clock_off_ms",
        site->clock_off_ms);
    return json_pack("{s:s,s:s,s:o,s:o,s:o,s:{s:o,s:o},s:o}", "host_name", fleet_name(node),
                     "location", zone_of(node), "client_listen", loopback(ports[node]), "mesh_addr",
                     loopback(mesh_ports[node]), "siblings", siblings, "endpoints", "cloud",
                     loopback(cloud_port()), "state", loopback(state_port(node)), "settings",
                     settings);
}

static void kill_all(void)
{
    for (int i = 0; i < node_count; i++) {
        if (pids[i] <= 0)
            continue;
        kill(pids[i], SIGKILL);
        waitpid(pids[i], NULL, 0);
        pids[i] = 0;
    }
}

void fleet_start_node(int node)
{
    char path[512];
    char log[512];
    char *arguments[WORDS_MAX + 2] = {NULL};
    snprintf(path, sizeof path, "%s/%s.json", folder, fleet_name(node));
    snprintf(log, sizeof log, "%s/%s.log", folder, fleet_name(node));
    json_t *settings = build_settings(node);
    if (!settings || json_dump_file(settings, path, JSON_INDENT(2)) != 0)
        finish(2, "cannot write %s", path);
    json_decref(settings);
    for (int i = 0; i < command_words && i < WORDS_MAX; i++)
        arguments[i] = command[i];
    arguments[command_words] = path;
    pid_t parent = getpid();
    pid_t pid = fork();
    if (pid < 0)
        finish(2, "cannot fork");
    if (pid == 0) {
        int out = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(127);
        dup2(out, 2);
        execv(arguments[0], arguments);
        _exit(127);
    }
    pids[node] = pid;
    update_listener(node);
    record("controller %s started", fleet_name(node));
}

void fleet_kill_node(int node)
{
    kill(pids[node], SIGKILL);
    waitpid(pids[node], NULL, 0);
    pids[node] = 0;
    update_listener(node);
    record("controller %s killed", fleet_name(node));
}

/* Records and ends the test if a controller ended by itself. */
static void *watch_processes(void *data)
{
    (void)data;
    for (;;) {
        sleep_ms(200);
        for (int i = 0; i < node_count; i++) {
            int status = 0;
            pid_t pid = pids[i];
            if (pid > 0 && waitpid(pid, &status, WNOHANG) == pid && pids[i] == pid)
                record("controller %s ended by itself, status %d", fleet_name(i), status);
        }
    }
    return NULL;
}

typedef struct proxy_pair {
    int from;
    int to;
} proxy_pair_t;

static void *forward(void *data)
{
    proxy_pair_t *pair = data;
    char buffer[16384];
    for (;;) {
        ssize_t got = recv(pair->from, buffer, sizeof buffer, 0);
        if (got <= 0)
            break;
        for (ssize_t sent = 0; sent < got;) {
            ssize_t more = send(pair->to, buffer + sent, (size_t)(got - sent), MSG_NOSIGNAL);
            if (more <= 0)
                break;
            sent += more;
        }
    }
    shutdown(pair->from, SHUT_RDWR);
    shutdown(pair->to, SHUT_RDWR);
    return NULL; /* the sockets stay open until the test ends: there are few */
}

static void forward_both(int client, int server)
{
    proxy_pair_t *pairs = malloc(2 * sizeof *pairs);
    pairs[0] = (proxy_pair_t){client, server};
    pairs[1] = (proxy_pair_t){server, client};
    start_thread(forward, &pairs[0]);
    start_thread(forward, &pairs[1]);
}

static void *run_proxy(void *data)
{
    int node = (int)(intptr_t)data;
    for (;;) {
        struct pollfd waiting = {.events = POLLIN};
        pthread_mutex_lock(&lock);
        waiting.fd = proxy_listeners[node];
        pthread_mutex_unlock(&lock);
        if (waiting.fd < 0 || poll(&waiting, 1, 20) != 1) {
            if (waiting.fd < 0)
                sleep_ms(20);
            continue;
        }
        pthread_mutex_lock(&lock);
        int client = proxy_listeners[node] == waiting.fd
                         ? accept4(waiting.fd, NULL, NULL, SOCK_CLOEXEC)
                         : -1;
        int server = client >= 0 ? tcp_connect(mesh_ports[node], 0) : -1;
        if (client >= 0 && server >= 0)
            forward_both(client, server);
        else if (client >= 0)
            close(client);
        pthread_mutex_unlock(&lock);
    }
    return NULL;
}

/* Accepts connections to the node's mesh port as long as its process runs and connections between
 * controllers are not refused. Otherwise they are refused. Open connections stay as they are. */
static void update_listener(int node)
{
    pthread_mutex_lock(&lock);
    bool is_open = pids[node] > 0 && !is_refusing;
    if (is_open && proxy_listeners[node] < 0)
        proxy_listeners[node] = tcp_listen(&proxy_ports[node]);
    if (!is_open && proxy_listeners[node] >= 0) {
        close(proxy_listeners[node]);
        proxy_listeners[node] = -1;
    }
    pthread_mutex_unlock(&lock);
}

void fleet_refuse_peers(bool is_refused)
{
    is_refusing = is_refused;
    for (int i = 0; i < node_count; i++)
        update_listener(i);
    record("new connections between controllers: %s", is_refused ? "refused" : "accepted");
}

void fleet_init(const deployment_t *chosen, char **words, int count, const char *temporary_folder)
{
    deployment = chosen;
    node_count = chosen->nodes;
    command = words;
    command_words = count;
    folder = temporary_folder;
    finish_hook = kill_all;
    signal(SIGPIPE, SIG_IGN);
    state_start(node_count, chosen->limits);
    cloud_start();
    for (int i = 0; i < node_count; i++) {
        ports[i] = free_port();
        mesh_ports[i] = free_port();
        proxy_ports[i] = free_port();
        proxy_listeners[i] = -1;
        start_thread(run_proxy, (void *)(intptr_t)i);
    }
    start_thread(watch_processes, NULL);
}

void fleet_start(void)
{
    for (int i = 0; i < node_count; i++)
        fleet_start_node(i);
}

void fleet_wait_ready(int64_t timeout_ms)
{
    int64_t until = now_ms() + timeout_ms;
    uint64_t answered[MACHINES_MAX];
    for (int i = 0; i < node_count; i++)
        while (http_call(ports[i], "GET", "/ready", NULL, 1000, NULL) != 200) {
            if (now_ms() > until)
                finish(2, "%s is not ready", fleet_name(i));
            sleep_ms(100);
        }
    for (int i = 0; i < machine_count; i++)
        answered[i] = machines[i].answered;
    for (int i = 0; i < machine_count; i++)
        while (machines[i].answered < answered[i] + 2) {
            if (now_ms() > until)
                finish(2, "the reports of %s get no answer", machines[i].id);
            sleep_ms(50);
        }
    record("all controllers are ready, all machines report");
}

static int user_call(int node, const char *method, const char *path, json_t *body, char *trim,
                     size_t size, int timeout_ms)
{
    json_t *answer = NULL;
    int status = http_call(ports[node], method, path, body, timeout_ms, &answer);
    snprintf(trim, size, "%s", json_text(answer, "Trim"));
    record("user: %s %s at %s: %d %s", method, path, fleet_name(node), status, trim);
    json_decref(answer);
    return status;
}

int user_submit(int node, const job_t *job, char *trim, size_t size)
{
    char *text = json_dumps(job->spec, JSON_COMPACT);
    record("user: submits %s", text);
    free(text);
    return user_call(node, "POST", "/v2/runs", job->spec, trim, size, 5000);
}

int user_abort(int node, const char *job, char *trim, size_t size)
{
    char path[64];
    snprintf(path, sizeof path, "/v2/runs/%s/abort", job);
    return user_call(node, "POST", path, NULL, trim, size, 5000);
}

int user_poll(int node, const char *job, char *trim, size_t size)
{
    char path[64];
    snprintf(path, sizeof path, "/v2/runs/%s", job);
    return user_call(node, "GET", path, NULL, trim, size, 2000);
}

void user_submit_until_accepted(int node, const job_t *job)
{
    char trim[32];
    for (int i = 0; i < 20; i++) {
        int status = user_submit(node, job, trim, sizeof trim);
        if (status == 200 || status == 201)
            return;
        sleep_ms(1000);
    }
    finish(2, "%s was not accepted", job->id);
}
