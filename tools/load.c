/* A load generator that shows where the service spends its processor time. It runs the fakes of the
 * external services that the tests use, and simulates workers and users. The controllers run as
 * separate processes, so that a profiler can be attached to them. Not a test, and not part of CI.
 *
 * For each controller it prints the rate at which each of its /metrics grew between the end of the
 * warm-up and the end of the run. CONTRIBUTING.md describes its use. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "controller/threads.h"
#include "fake_cloud.h"
#include "fake_kv_server.h"
#include "fake_machine.h"
#include "free_port.h"
#include "io/clock.h"
#include "io/http_client.h"

enum {
    WORKER_TICK_MS = 250, /* interval at which a worker checks for changes */
    CONTROLLERS_MAX = 3,  /* the fake key-value store has this many ports, one per controller */
    CHANGED_INTERVAL_MS = 500, /* least time between a worker's heartbeats after a change */
    USER_POLL_MS = 5000,       /* interval at which users request the status of their jobs */
    HTTP_TIMEOUT_MS = 4000,    /* timeout of a request */
    RANDOM_STEPS = 1000        /* number of steps into which a probability is divided */
};

typedef struct options {
    int controllers;
    int machines;                /* number of simulated workers */
    int seconds;                 /* duration of the measurement */
    int warmup;                  /* seconds before the measurement */
    double heartbeat_interval_s; /* interval between a worker's heartbeats */
    double jobs_per_s;           /* rate of submissions; 0 submits no job */
    int tasks;                   /* number of tasks of a job */
    double run_s;                /* mean run time of a task */
    double core_share;           /* value of core_share in the controllers' settings */
    char *program;               /* path of the service's program */
    char *command;               /* shell command to run during the measurement, or NULL */
} options_t;

typedef struct load {
    options_t options;
    uint16_t ports[CONTROLLERS_MAX];
    uint16_t peer_ports[CONTROLLERS_MAX];
    GPid pids[CONTROLLERS_MAX];
    volatile bool is_stopping;
} load_t;

static load_t load = {.options = {.controllers = 3,
                                  .machines = 60,
                                  .seconds = 20,
                                  .warmup = 10,
                                  .heartbeat_interval_s = 1,
                                  .jobs_per_s = 1,
                                  .tasks = 10,
                                  .run_s = 20,
                                  .core_share = 0.029,
                                  .program = "target/pepperpulley"}};

static void sleep_ms(msec_t ms)
{
    g_usleep((gulong)ms * US_PER_MS);
}

static int send_request(http_client_t *client, guint controller, const char *method,
                        const char *path, const json_t *body, json_t **answer)
{
    char url[URL_BYTES];
    g_snprintf(url, sizeof url, "http://127.0.0.1:%u%s", load.ports[controller], path);
    return http_call(client, method, url, body, HTTP_TIMEOUT_MS, answer);
}

static json_t *loopback_endpoint(uint16_t port)
{
    return json_sprintf("127.0.0.1:%u", port);
}

static json_t *build_settings(const fake_kv_server_t *kv_server, const fake_cloud_t *cloud,
                              guint index)
{
    json_t *siblings = json_array();
    for (guint i = 0; i < (guint)load.options.controllers; i++)
        if (i != index)
            json_array_append_new(siblings,
                                  json_pack("{s:o,s:s,s:o}", "host_name",
                                            json_sprintf("controller-%u", i), "location", "zone-a",
                                            "endpoint", loopback_endpoint(load.peer_ports[i])));
    json_t *settings = json_pack(
        "{s:i,s:[s],s:[{s:s,s:f,s:f,s:f,s:f}],s:[],s:{s:f,s:f,s:f,s:f,s:f},s:{s:f,s:f,s:f,s:i},"
        "s:{s:f,s:f},s:{s:f,s:f,s:i}}",
        "initial_size", load.options.controllers, "zones", "zone-a", "teams", "name", "team-a",
        "cpus", 1e5, "cpus_max", 1e6, "gpus", 0.0, "gpus_max", 0.0, "objectives", "workers",
        "report_s", load.options.heartbeat_interval_s, "lease_s", 10.0, "gang_wait_s", 35.0,
        "gang_peer_s", 4.0, "cancel_s", 30.0, "state", "rps", 250.0, "write_rps", 80.0, "value_kb",
        16.0, "txn_ops", 48, "cloud", "rps", 5.0, "list_lag_s", 3.0, "limits", "core_share",
        load.options.core_share, "ram_mb", 37.0, "fd_limit", 600);
    json_object_set_new(settings, "clock_off_ms", json_real(5));
    return json_pack("{s:o,s:s,s:o,s:o,s:o,s:{s:o,s:o},s:o}", "host_name",
                     json_sprintf("controller-%u", index), "location", "zone-a", "client_listen",
                     loopback_endpoint(load.ports[index]), "mesh_addr",
                     loopback_endpoint(load.peer_ports[index]), "siblings", siblings, "endpoints",
                     "cloud", loopback_endpoint(cloud->port), "state",
                     loopback_endpoint(kv_server->ports[index]), "settings", settings);
}

static void start_controller(const fake_kv_server_t *kv_server, const fake_cloud_t *cloud,
                             guint index, const char *folder)
{
    char *path = g_strdup_printf("%s/controller-%u.json", folder, index);
    json_t *settings = build_settings(kv_server, cloud, index);
    json_dump_file(settings, path, JSON_INDENT(2));
    json_decref(settings);
    char *arguments[] = {load.options.program, "--config", path, NULL};
    GError *error = NULL;
    if (!g_spawn_async(NULL, arguments, NULL, G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_SEARCH_PATH, NULL,
                       NULL, &load.pids[index], &error)) {
        fprintf(stderr, "load: %s\n", error->message);
        exit(EXIT_FAILURE);
    }
    g_free(path);
}

static guint random_controller(void)
{
    return arc4random_uniform((guint)load.options.controllers);
}

/* Ends the machine's tasks at random times, so that tasks run for run_s on average. */
static void end_tasks(fake_machine_t *machine)
{
    double probability = (double)WORKER_TICK_MS / MS_PER_S / load.options.run_s;
    if (arc4random_uniform(RANDOM_STEPS) < probability * RANDOM_STEPS)
        fake_machine_complete_attempts(machine);
}

/* Returns whether the number of attempts that the worker has started so far differs from *started,
 * and sets *started to that number. */
static bool has_changed(fake_machine_t *machine, guint *started)
{
    pthread_mutex_lock(&machine->lock);
    bool is_changed = machine->worker->started_count != *started;
    *started = machine->worker->started_count;
    pthread_mutex_unlock(&machine->lock);
    return is_changed;
}

/* Sends a heartbeat to *controller and returns whether it was accepted. If not, sets *controller to
 * the controller for the next heartbeat: the machine's owner if the answer names it, otherwise the
 * next controller in turn. */
static bool send_heartbeat(fake_machine_t *machine, http_client_t *client, guint *controller,
                           msec_t *sent_at)
{
    json_auto_t *answer = NULL;
    json_auto_t *body = fake_machine_heartbeat(machine);
    int status = send_request(client, *controller, "POST", "/hello", body, &answer);
    const char *owner = json_string_value(json_object_get(answer, "Bosun"));
    *sent_at = clock_steady();
    if (status == HTTP_OK)
        fake_machine_handle_answer(machine, answer);
    else if (status == HTTP_MISDIRECTED && owner)
        *controller = (guint)(owner[strlen("controller-")] - '0');
    else
        *controller = (*controller + 1) % (guint)load.options.controllers;
    return status == HTTP_OK;
}

/* The thread of a worker. Sends a heartbeat at each interval, and sooner after a change. */
static void *run_worker(void *data)
{
    fake_machine_t *machine = data;
    http_client_t *client = http_client_new(2);
    const msec_t interval_ms = (msec_t)(load.options.heartbeat_interval_s * MS_PER_S);
    guint controller = random_controller();
    guint started = 0;
    msec_t sent_at = 0;
    while (!load.is_stopping) {
        sleep_ms(WORKER_TICK_MS);
        end_tasks(machine);
        msec_t due_after_ms = has_changed(machine, &started) ? CHANGED_INTERVAL_MS : interval_ms;
        if (clock_steady() - sent_at < due_after_ms)
            continue;
        if (!send_heartbeat(machine, client, &controller, &sent_at))
            sent_at -= interval_ms; /* makes the next heartbeat due at once */
    }
    return NULL;
}

static void submit_job(http_client_t *client, const char *id)
{
    json_auto_t *body = json_pack(
        "{s:s,s:s,s:s,s:s,s:s,s:i,s:f,s:f,s:f,s:s,s:f,s:n,s:n,s:b,s:b,s:b,s:f,s:f,s:f,s:n}", "Uid",
        id, "Reel", "c", "Crew", "team-a", "Rig", "sweep", "Urgency", "normal", "Pieces",
        load.options.tasks, "Cpus", 1.0, "Accelerators", 0.0, "MemGb", 2.0, "Cargo", "i", "ImageGb",
        1.0, "Hulls", "Dock", "SamePlace", 0, "Apart", 0, "Driftwood", 1, "HaulS",
        load.options.run_s, "KnotS", 0.0, "StowS", 0.0, "TideS");
    send_request(client, random_controller(), "POST", "/v2/runs", body, NULL);
}

/* Requests the status of each job, and removes the ids of the jobs that are done. */
static void poll_jobs(http_client_t *client, GPtrArray *ids)
{
    for (guint i = ids->len; i-- > 0;) {
        char path[URL_BYTES];
        json_auto_t *answer = NULL;
        g_snprintf(path, sizeof path, "/v2/runs/%s", (char *)g_ptr_array_index(ids, i));
        send_request(client, random_controller(), "GET", path, NULL, &answer);
        if (g_strcmp0(json_string_value(json_object_get(answer, "Trim")), "done") == 0)
            g_ptr_array_remove_index(ids, i);
    }
}

/* The thread of the users. Submits jobs and polls each of them until it is done. */
static void *run_users(void *data)
{
    (void)data;
    http_client_t *client = http_client_new(2);
    GPtrArray *ids = g_ptr_array_new_with_free_func(g_free); /* char *, of jobs not yet done */
    const double jobs_per_s = load.options.jobs_per_s;
    guint number = 0;
    msec_t polled_at = 0;
    while (!load.is_stopping) {
        sleep_ms(jobs_per_s > 0 ? (msec_t)(MS_PER_S / jobs_per_s) : MS_PER_S);
        if (jobs_per_s > 0) {
            char *id = g_strdup_printf("j-%06u", ++number);
            submit_job(client, id);
            g_ptr_array_add(ids, id);
        }
        if (clock_steady() - polled_at < USER_POLL_MS)
            continue;
        polled_at = clock_steady();
        poll_jobs(client, ids);
    }
    return NULL;
}

/* Returns the controller's /metrics, from names (char *) to values (double *), both owned by the
 * table. */
static GHashTable *read_metrics(http_client_t *client, guint controller)
{
    GHashTable *values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    if (send_request(client, controller, "GET", "/metrics", NULL, NULL) != HTTP_OK)
        return values;
    gsize length;
    char **lines = g_strsplit(http_answer_body(client, &length), "\n", -1);
    for (char **line = lines; *line; line++) {
        char *space = strrchr(*line, ' ');
        if (!space)
            continue;
        double value = g_ascii_strtod(space + 1, NULL);
        g_hash_table_insert(values, g_strndup(*line, (gsize)(space - *line)),
                            g_memdup2(&value, sizeof value));
    }
    g_strfreev(lines);
    return values;
}

static gint compare_names(gconstpointer left, gconstpointer right)
{
    return strcmp(*(char *const *)left, *(char *const *)right);
}

static void print_rates(guint controller, GHashTable *before, GHashTable *after)
{
    GPtrArray *names = g_ptr_array_new();
    GHashTableIter iter;
    gpointer name;
    gpointer value;
    g_hash_table_iter_init(&iter, after);
    while (g_hash_table_iter_next(&iter, &name, &value))
        g_ptr_array_add(names, name);
    g_ptr_array_sort(names, compare_names);
    for (guint i = 0; i < names->len; i++) {
        const char *key = g_ptr_array_index(names, i);
        const double *first = g_hash_table_lookup(before, key);
        const double *last = g_hash_table_lookup(after, key);
        double rate = (*last - (first ? *first : 0)) / load.options.seconds;
        if (rate > 0)
            printf("controller-%u %s %.3f/s\n", controller, key, rate);
    }
    g_ptr_array_unref(names);
}

static void parse_options(int argc, char **argv)
{
    options_t *options = &load.options;
    GError *error = NULL;
    const GOptionEntry entries[] = {
        {"controllers", 0, 0, G_OPTION_ARG_INT, &options->controllers,
         "number of controllers, 1 to 3", "N"},
        {"machines", 0, 0, G_OPTION_ARG_INT, &options->machines, "number of workers", "N"},
        {"seconds", 0, 0, G_OPTION_ARG_INT, &options->seconds, "duration of the measurement", "N"},
        {"warmup", 0, 0, G_OPTION_ARG_INT, &options->warmup, "seconds before the measurement", "N"},
        {"heartbeat-s", 0, 0, G_OPTION_ARG_DOUBLE, &options->heartbeat_interval_s,
         "seconds between heartbeats", "S"},
        {"jobs-per-s", 0, 0, G_OPTION_ARG_DOUBLE, &options->jobs_per_s,
         "jobs submitted per second, 0 for none", "R"},
        {"tasks", 0, 0, G_OPTION_ARG_INT, &options->tasks, "number of tasks per job", "N"},
        {"run-s", 0, 0, G_OPTION_ARG_DOUBLE, &options->run_s, "mean run time of a task", "S"},
        {"core-share", 0, 0, G_OPTION_ARG_DOUBLE, &options->core_share,
         "core_share of the controllers", "F"},
        {"program", 0, 0, G_OPTION_ARG_FILENAME, &options->program, "program of the service",
         "FILE"},
        {"command", 0, 0, G_OPTION_ARG_STRING, &options->command,
         "shell command to run during the measurement; {} is the process id of controller-0",
         "LINE"},
        {0}};
    g_autoptr(GOptionContext) context = g_option_context_new("- load for the service");
    g_option_context_add_main_entries(context, entries, NULL);
    bool is_valid = g_option_context_parse(context, &argc, &argv, &error);
    if (!is_valid || options->controllers < 1 || options->controllers > CONTROLLERS_MAX) {
        fprintf(stderr, "load: %s\n", error ? error->message : "--controllers must be from 1 to 3");
        exit(EXIT_FAILURE);
    }
}

static void run_command(void)
{
    if (!load.options.command)
        return;
    char pid[NUMBER_BYTES];
    g_snprintf(pid, sizeof pid, "%d", load.pids[0]);
    char **fragments = g_strsplit(load.options.command, "{}", -1);
    char *line = g_strjoinv(pid, fragments);
    if (system(line) != 0)
        fprintf(stderr, "load: the command failed: %s\n", line);
    g_free(line);
    g_strfreev(fragments);
}

static void start_all(const fake_kv_server_t *kv_server, const fake_cloud_t *cloud,
                      const char *folder)
{
    guint controllers = (guint)load.options.controllers;
    for (guint i = 0; i < controllers; i++) {
        load.ports[i] = free_port();
        load.peer_ports[i] = free_port();
    }
    http_client_t *client = http_client_new(2);
    /* Each controller is started only after the one before it is ready, so that the first one
     * becomes the leader. */
    for (guint i = 0; i < controllers; i++) {
        start_controller(kv_server, cloud, i, folder);
        while (send_request(client, i, "GET", "/ready", NULL, NULL) != HTTP_OK)
            sleep_ms(WORKER_TICK_MS);
    }
    for (int i = 0; i < load.options.machines; i++) {
        char id[ID_BYTES];
        g_snprintf(id, sizeof id, "m-%06d", i + 1);
        threads_start("machine", run_worker, fake_machine_new(id));
    }
    threads_start("users", run_users, NULL);
}

/* Raises the limit on open files, because each simulated worker uses several sockets. */
static void allow_many_sockets(void)
{
    struct rlimit limit;
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

/* Measures all controllers for options.seconds, and prints the rates of their metrics. */
static void measure(void)
{
    const guint controllers = (guint)load.options.controllers;
    http_client_t *client = http_client_new(1);
    GHashTable *before[CONTROLLERS_MAX] = {NULL};
    for (guint i = 0; i < controllers; i++)
        before[i] = read_metrics(client, i);
    msec_t until = clock_steady() + (msec_t)load.options.seconds * MS_PER_S;
    run_command();
    sleep_ms(MAX(until - clock_steady(), 0));
    for (guint i = 0; i < controllers; i++)
        print_rates(i, before[i], read_metrics(client, i));
}

int main(int argc, char **argv)
{
    parse_options(argc, argv);
    (void)signal(SIGPIPE, SIG_IGN);
    allow_many_sockets();
    http_client_init_library();
    fake_kv_server_t *kv_server = fake_kv_server_new();
    fake_cloud_t *cloud = fake_cloud_new();
    fake_cloud_publish_machine_types(cloud);
    char *folder = g_dir_make_tmp("load-XXXXXX", NULL);
    start_all(kv_server, cloud, folder);
    sleep((guint)load.options.warmup);
    measure();
    load.is_stopping = true;
    for (int i = 0; i < load.options.controllers; i++)
        kill(load.pids[i], SIGKILL);
    return EXIT_SUCCESS;
}
