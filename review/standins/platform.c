/* The cloud, and the machines with their workers. */
#include "platform.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* fetch_gb_per_s of the site files; a fetch takes a fifth longer than it says */
static const double fetch_gb_per_s = 0.8;
static const double fetch_factor = 1.2;

enum { ANSWER_MS = 4000, TICK_MS = 20, MISTAKE_MS = 500, UP_SINCE_MS = 100000, CHARTERS_MAX = 64 };

machine_t machines[MACHINES_MAX];
int machine_count;
static job_t jobs[JOBS_MAX];
static int job_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER; /* machines and jobs */
static struct {
    char job[24];
    int started, done, error, other;
} totals[JOBS_MAX];
static int cloud_port_number;
int cloud_capacity;
int cloud_asked_count;
static int rented_count; /* machines that were rented and may still boot */
static struct {
    char charter[48];
    json_t *answer;
} charters[CHARTERS_MAX];
static int charter_count;

bool has_trouble(void)
{
    const char *value = getenv("TROUBLE");
    return !value || strcmp(value, "0") != 0;
}

job_t *job_describe(const char *id, const char *kind, const char *zone, int tasks, double cpus,
                    double run_s)
{
    pthread_mutex_lock(&lock);
    job_t *job = &jobs[job_count];
    snprintf(job->id, sizeof job->id, "%s", id);
    snprintf(totals[job_count].job, sizeof totals[0].job, "%s", id);
    job->run_s = run_s;
    job->spec = json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:f,s:f,s:f,s:s,s:f,s:n,s:s?,s:b,s:b,s:b,s:f,"
                          "s:f,s:f,s:n}",
                          "Uid", id, "Reel", deployment->class_name, "Crew", deployment->teams[0],
                          "Rig", kind,
                          "Urgency", "normal", "Pieces", tasks, "Cpus", cpus, "Accelerators", 0.0,
                          "MemGb", 4.0, "Cargo", "img-1", "ImageGb", 0.2, "Hulls", "Dock", zone,
                          "SamePlace", 0, "Apart", 0, "Driftwood", 1, "HaulS",
                          strcmp(kind, "daemon") == 0 ? 0.0 : run_s, "KnotS", 0.0, "StowS", 0.0,
                          "TideS");
    if (!job->spec)
        finish(2, "the job could not be built");
    job_count++;
    pthread_mutex_unlock(&lock);
    return job;
}

static const job_t *find_job(const char *id)
{
    for (int i = 0; i < job_count; i++)
        if (strcmp(jobs[i].id, id) == 0)
            return &jobs[i];
    return NULL;
}

static bool is_on_machine(const task_t *task)
{
    return strcmp(task->trim, "running") == 0 || strcmp(task->trim, "saving") == 0;
}

static void count_total(const char *job, const char *what)
{
    for (int i = 0; i < job_count; i++) {
        if (strcmp(totals[i].job, job) != 0)
            continue;
        if (strcmp(what, "started") == 0)
            totals[i].started++;
        else if (strcmp(what, "done") == 0)
            totals[i].done++;
        else if (strcmp(what, "error") == 0)
            totals[i].error++;
        else
            totals[i].other++;
    }
}

static void exit_task(machine_t *machine, task_t *task, const char *cause)
{
    snprintf(task->trim, sizeof task->trim, "exited");
    task->cause = cause;
    machine->is_changed = true;
    count_total(task->job, cause);
    record("machine %s: %s attempt %llu exited: %s", machine->id, task->piece,
           (unsigned long long)task->heave, cause);
}

static json_t *build_report(machine_t *machine)
{
    json_t *pieces = json_array();
    machine->tally++;
    for (int i = 0; i < machine->task_count; i++) {
        const task_t *task = &machine->tasks[i];
        json_t *piece = json_pack("{s:s,s:I,s:s}", "Piece", task->piece, "Heave",
                                  (json_int_t)task->heave, "Trim", task->trim);
        if (task->cause)
            json_object_set_new(piece, "Cause", json_string(task->cause));
        json_array_append_new(pieces, piece);
    }
    json_t *report = json_pack("{s:s,s:o,s:s,s:s,s:b,s:I,s:I,s:I,s:n,s:o}", "Winch", machine->id,
                               "Address", json_sprintf("127.0.0.1:%d", machine->port), "Hull",
                               deployment->type, "Dock", machine->zone, "Driftwood", machine->is_spot, "Watch",
                               (json_int_t)machine->watch, "Tally", (json_int_t)machine->tally,
                               "Helm", (json_int_t)machine->helm, "WarningS", "Pieces", pieces);
    return report;
}

static double free_cpus(const machine_t *machine)
{
    double cpus = deployment->type_cpus;
    for (int i = 0; i < machine->task_count; i++)
        if (strcmp(machine->tasks[i].trim, "exited") != 0)
            cpus -= machine->tasks[i].cpus;
    return cpus;
}

static void run_task(machine_t *machine, const char *piece, uint64_t heave)
{
    bool is_busy = false;
    for (int i = 0; i < machine->task_count; i++) {
        const task_t *task = &machine->tasks[i];
        if (strcmp(task->piece, piece) != 0)
            continue;
        if (task->heave == heave)
            return;
        is_busy = is_busy || strcmp(task->trim, "exited") != 0;
    }
    if (machine->task_count == TASKS_MAX)
        finish(2, "too many tasks on a machine");
    task_t *task = &machine->tasks[machine->task_count];
    *task = (task_t){.heave = heave};
    snprintf(task->piece, sizeof task->piece, "%s", piece);
    snprintf(task->job, sizeof task->job, "%.*s", (int)strcspn(piece, "/"), piece);
    const job_t *job = find_job(task->job);
    task->cpus = job ? json_number_value(json_object_get(job->spec, "Cpus")) : 0;
    bool fits = task->cpus <= free_cpus(machine) + 1e-6;
    machine->task_count++;
    snprintf(task->trim, sizeof task->trim, "pulling");
    double image_gb = job ? json_number_value(json_object_get(job->spec, "ImageGb")) : 0;
    if (machine->image_ready_at == 0)
        machine->image_ready_at =
            now_ms() + (int64_t)(image_gb / fetch_gb_per_s * fetch_factor * 1000);
    task->pulled_at = machine->image_ready_at;
    machine->is_changed = true;
    record("machine %s: run %s attempt %llu", machine->id, piece, (unsigned long long)heave);
    if (!job)
        exit_task(machine, task, "no_such");
    else if (is_busy)
        exit_task(machine, task, "in_use");
    else if (!fits)
        exit_task(machine, task, "full");
}

static task_t *find_task(machine_t *machine, const char *piece, uint64_t heave)
{
    for (int i = 0; i < machine->task_count; i++)
        if (strcmp(machine->tasks[i].piece, piece) == 0 && machine->tasks[i].heave == heave)
            return &machine->tasks[i];
    return NULL;
}

/* Carries out one command. No job of the cases saves, so a stopped task exits at once. */
static void execute_command(machine_t *machine, const json_t *command)
{
    const char *call = json_text(command, "Call");
    const char *piece = json_text(command, "Piece");
    uint64_t heave = (uint64_t)json_number(command, "Heave");
    if (strcmp(call, "run") == 0) {
        run_task(machine, piece, heave);
        return;
    }
    task_t *task = find_task(machine, piece, heave);
    if (!task)
        return;
    bool has_exited = strcmp(task->trim, "exited") == 0;
    if (strcmp(call, "stop") == 0 && !has_exited) {
        record("machine %s: stop %s attempt %llu", machine->id, piece, (unsigned long long)heave);
        exit_task(machine, task, "halted");
    } else if (strcmp(call, "forget") == 0 && has_exited) {
        record("machine %s: forget %s attempt %llu", machine->id, piece,
               (unsigned long long)heave);
        *task = machine->tasks[--machine->task_count];
        machine->is_changed = true;
    }
}

static void execute_commands(machine_t *machine, const json_t *body)
{
    size_t i;
    json_t *command;
    uint64_t helm = (uint64_t)json_number(body, "Helm");
    if (helm > machine->helm) {
        machine->helm = helm;
        if (now_ms() - machine->token_change_at >= deployment->lease_ms / 2) {
            machine->token_change_at = now_ms();
            machine->is_changed = true;
        }
    }
    json_array_foreach(json_object_get(body, "Calls"), i, command)
    {
        execute_command(machine, command);
    }
}

static int handle_worker(void *data, const http_request_t *request, json_t **answer)
{
    machine_t *machine = data;
    int status = 200;
    pthread_mutex_lock(&lock);
    if (machine->is_gone) { /* silent */
        pthread_mutex_unlock(&lock);
        sleep_ms(60000);
        return 0;
    }
    if (strcmp(request->path, "/do") == 0) {
        const json_t *body = request->body;
        if (!json_object_get(body, "Helm") || !json_object_get(body, "Watch"))
            status = 400;
        else if ((uint64_t)json_number(body, "Helm") < machine->helm ||
                 (uint64_t)json_number(body, "Watch") != machine->watch)
            status = 409;
        else
            execute_commands(machine, body);
    }
    *answer = build_report(machine);
    pthread_mutex_unlock(&lock);
    record("machine %s: %s with token %lld, session %lld, %d commands: %d", machine->id, request->path,
           (long long)json_number(request->body, "Helm"),
           (long long)json_number(request->body, "Watch"),
           (int)json_array_size(json_object_get(request->body, "Calls")), status);
    return status;
}

static void begin_session(machine_t *machine)
{
    record("machine %s: lease over, kills %d tasks", machine->id, machine->task_count);
    machine->task_count = 0;
    machine->watch++;
    machine->renewed_at = now_ms();
    machine->is_changed = true;
}

/* Lets time pass for the machine's lease and tasks. */
static void tick(machine_t *machine)
{
    int64_t now = now_ms();
    if (now - machine->renewed_at > deployment->lease_ms)
        begin_session(machine);
    for (int i = 0; i < machine->task_count; i++) {
        task_t *task = &machine->tasks[i];
        if (strcmp(task->trim, "pulling") == 0 && now >= task->pulled_at) {
            const job_t *job = find_job(task->job);
            snprintf(task->trim, sizeof task->trim, "running");
            task->ends_at = now + (job->is_mistaken ? MISTAKE_MS : (int64_t)(job->run_s * 1000));
            machine->is_changed = true;
            count_total(task->job, "started");
            record("machine %s: %s attempt %llu started", machine->id, task->piece,
                   (unsigned long long)task->heave);
        } else if (strcmp(task->trim, "running") == 0 && now >= task->ends_at) {
            exit_task(machine, task, find_job(task->job)->is_mistaken ? "error" : "done");
        }
    }
}

/* Applies the answer to a report and returns after how many ms the next one is due; -1: at the
 * usual time. */
static int64_t handle_answer(machine_t *machine, int status, const json_t *answer, int64_t sent_at,
                             uint64_t watch)
{
    if (status == 200) {
        bool is_valid = json_is_integer(json_object_get(answer, "Helm")) &&
                        (uint64_t)json_number(answer, "Helm") >= machine->helm &&
                        watch == machine->watch;
        if (is_valid) {
            machine->renewed_at = sent_at;
            machine->answered++;
            execute_commands(machine, answer);
        }
        return -1;
    }
    int node = status == 421 ? fleet_node(json_text(answer, "Bosun")) : -1;
    if (node >= 0 && node != machine->node) {
        machine->node = node;
        return 0;
    }
    machine->node = (machine->node + 1) % fleet_size();
    return 1000;
}

static int64_t next_interval(unsigned *seed)
{
    return deployment->report_ms * 3 / 4 + rand_r(seed) % (deployment->report_ms / 2);
}

static void *run_worker(void *data)
{
    machine_t *machine = data;
    unsigned seed = (unsigned)machine->port;
    int64_t due_at = now_ms();
    for (;;) {
        sleep_ms(TICK_MS);
        pthread_mutex_lock(&lock);
        int64_t now = now_ms();
        if (machine->is_gone) {
            pthread_mutex_unlock(&lock);
            return NULL;
        }
        bool is_due = now >= due_at || (machine->is_changed && now - machine->sent_at >= 500);
        if (!is_due) {
            pthread_mutex_unlock(&lock);
            continue;
        }
        machine->is_changed = false;
        machine->sent_at = now;
        uint64_t watch = machine->watch;
        int node = machine->node;
        json_t *report = build_report(machine);
        pthread_mutex_unlock(&lock);
        json_t *answer = NULL;
        int status = http_call(fleet_port(node), "POST", "/hello", report, ANSWER_MS, &answer);
        pthread_mutex_lock(&lock);
        int64_t pause = handle_answer(machine, status, answer, now, watch);
        record("machine %s: report to %s, token %lld, %d tasks: %d, token %lld, %d commands; next to %s",
               machine->id, fleet_name(node), (long long)json_number(report, "Helm"),
               (int)json_array_size(json_object_get(report, "Pieces")), status,
               (long long)json_number(answer, "Helm"),
               (int)json_array_size(json_object_get(answer, "Calls")), fleet_name(machine->node));
        json_decref(report);
        due_at = pause < 0 ? now + next_interval(&seed) : now_ms() + pause;
        if (pause > 0) { /* not before that, also after a change */
            pthread_mutex_unlock(&lock);
            json_decref(answer);
            sleep_ms(pause);
            continue;
        }
        pthread_mutex_unlock(&lock);
        json_decref(answer);
    }
}

static void *run_tasks(void *data)
{
    machine_t *machine = data;
    for (;;) {
        sleep_ms(TICK_MS);
        pthread_mutex_lock(&lock);
        bool is_gone = machine->is_gone;
        if (!is_gone)
            tick(machine);
        pthread_mutex_unlock(&lock);
        if (is_gone)
            return NULL;
    }
}

/* Adds a machine that is not up yet. Called with the lock held. */
static machine_t *add_machine(const char *zone, bool is_spot)
{
    if (machine_count == MACHINES_MAX)
        finish(2, "too many machines");
    machine_t *machine = &machines[machine_count];
    *machine = (machine_t){.zone = zone, .is_spot = is_spot, .watch = 1, .is_booting = true,
                           .rented_at = now_ms()};
    snprintf(machine->id, sizeof machine->id, "m-%06d", machine_count + 1);
    machine->node = machine_count % fleet_size();
    machine->port = http_serve(handle_worker, machine);
    machine_count++;
    return machine;
}

static void boot(machine_t *machine)
{
    machine->renewed_at = now_ms();
    machine->is_booting = false;
    start_thread(run_worker, machine);
    start_thread(run_tasks, machine);
}

static void *boot_later(void *data)
{
    sleep_ms((int64_t)(deployment->boot_s * 1000));
    pthread_mutex_lock(&lock);
    boot(data);
    pthread_mutex_unlock(&lock);
    return NULL;
}

machine_t *machine_start(const char *zone, bool is_spot)
{
    pthread_mutex_lock(&lock);
    machine_t *machine = add_machine(zone, is_spot);
    machine->rented_at -= UP_SINCE_MS;
    boot(machine);
    pthread_mutex_unlock(&lock);
    return machine;
}

void machine_take(machine_t *machine)
{
    pthread_mutex_lock(&lock);
    machine->is_gone = true;
    pthread_mutex_unlock(&lock);
    record("cloud: %s is taken back without notice", machine->id);
}

bool end_task(const char *job)
{
    bool is_ended = false;
    pthread_mutex_lock(&lock);
    for (int i = 0; i < machine_count && !is_ended; i++) {
        for (int k = 0; k < machines[i].task_count && !is_ended; k++) {
            task_t *task = &machines[i].tasks[k];
            if (machines[i].is_gone || strcmp(task->job, job) != 0 ||
                strcmp(task->trim, "running") != 0)
                continue;
            exit_task(&machines[i], task, "error");
            is_ended = true;
        }
    }
    pthread_mutex_unlock(&lock);
    return is_ended;
}

int tasks_on_machines(const char *job, char *text, size_t size)
{
    int count = 0;
    size_t used = 0;
    if (text)
        text[0] = '\0';
    pthread_mutex_lock(&lock);
    for (int i = 0; i < machine_count; i++) {
        for (int k = 0; k < machines[i].task_count && !machines[i].is_gone; k++) {
            const task_t *task = &machines[i].tasks[k];
            if (strcmp(task->job, job) != 0 || !is_on_machine(task))
                continue;
            count++;
            if (text && used < size)
                used += (size_t)snprintf(text + used, size - used, " %s@%s", task->piece,
                                         machines[i].id);
        }
    }
    pthread_mutex_unlock(&lock);
    return count;
}

static int read_total(const char *job, const char *what)
{
    int count = 0;
    pthread_mutex_lock(&lock);
    for (int i = 0; i < job_count; i++)
        if (strcmp(totals[i].job, job) == 0)
            count = strcmp(what, "started") == 0 ? totals[i].started
                    : strcmp(what, "done") == 0  ? totals[i].done
                    : strcmp(what, "error") == 0 ? totals[i].error
                                                 : totals[i].other;
    pthread_mutex_unlock(&lock);
    return count;
}

int tasks_known(const machine_t *machine, const char *job)
{
    int count = 0;
    pthread_mutex_lock(&lock);
    for (int i = 0; i < machine->task_count; i++)
        count += strcmp(machine->tasks[i].job, job) == 0;
    pthread_mutex_unlock(&lock);
    return count;
}

int tasks_started(const char *job)
{
    return read_total(job, "started");
}

int tasks_exited(const char *job, const char *cause)
{
    return read_total(job, cause);
}

double largest_room(const char *zone)
{
    double most = 0;
    pthread_mutex_lock(&lock);
    for (int i = 0; i < machine_count; i++) {
        double room = free_cpus(&machines[i]);
        bool is_meant = !machines[i].is_gone && (!zone || strcmp(machines[i].zone, zone) == 0);
        if (is_meant && room > most)
            most = room;
    }
    pthread_mutex_unlock(&lock);
    return most;
}

static int release_machines(const json_t *body)
{
    size_t i;
    json_t *name;
    pthread_mutex_lock(&lock);
    json_array_foreach(json_object_get(body, "Winches"), i, name)
    {
        for (int k = 0; k < machine_count; k++) {
            if (strcmp(machines[k].id, json_string_value(name)) != 0 || machines[k].is_gone)
                continue;
            machines[k].is_gone = true;
            record("cloud: %s deleted", machines[k].id);
        }
    }
    pthread_mutex_unlock(&lock);
    return 200;
}

static int list_machines(const http_request_t *request, json_t **answer)
{
    char since[64];
    json_t *list = json_array();
    http_query(request, "Since", since, sizeof since);
    pthread_mutex_lock(&lock);
    for (int i = 0; i < machine_count; i++)
        if (!machines[i].is_gone && strcmp(machines[i].id, since) > 0)
            json_array_append_new(
                list, json_pack("{s:s,s:o,s:s,s:s,s:b,s:s,s:f}", "Uid", machines[i].id, "Address",
                                json_sprintf("127.0.0.1:%d", machines[i].port), "Hull", deployment->type,
                                "Dock", machines[i].zone, "Driftwood", machines[i].is_spot,
                                "Trim", machines[i].is_booting ? "booting" : "running", "HeldS",
                                (double)(now_ms() - machines[i].rented_at) / 1000));
    pthread_mutex_unlock(&lock);
    *answer = json_pack("{s:o,s:b}", "Winches", list, "More", 0);
    return 200;
}

/* Rents machines, as long as there is capacity. */
static int rent_machines(const json_t *body, json_t **answer)
{
    const char *charter = json_text(body, "Charter");
    int status = 200;
    pthread_mutex_lock(&lock);
    cloud_asked_count++;
    for (int i = 0; i < charter_count && !*answer; i++)
        if (strcmp(charters[i].charter, charter) == 0)
            *answer = json_incref(charters[i].answer);
    json_t *names = json_array();
    int number = (int)json_number(body, "Number");
    for (int i = 0; !*answer && i < number && rented_count < cloud_capacity; i++, rented_count++) {
        const char *zone = NULL;
        for (int k = 0; k < deployment->zone_count; k++)
            if (strcmp(deployment->zones[k], json_text(body, "Dock")) == 0)
                zone = deployment->zones[k];
        machine_t *machine = add_machine(zone, json_is_true(json_object_get(body, "Driftwood")));
        json_array_append_new(names, json_string(machine->id));
        start_thread(boot_later, machine);
    }
    if (*answer) {
        json_decref(names);
    } else if (json_array_size(names) == 0) {
        json_decref(names);
        *answer = json_pack("{s:s}", "error", "no capacity");
        status = 503;
    } else {
        *answer = json_pack("{s:o}", "Winches", names);
        if (charter_count == CHARTERS_MAX)
            finish(2, "too many requests for machines");
        snprintf(charters[charter_count].charter, sizeof charters[0].charter, "%s", charter);
        charters[charter_count++].answer = json_incref(*answer);
    }
    pthread_mutex_unlock(&lock);
    record("cloud: asked for %d in %s, spot %d: %d", number, json_text(body, "Dock"),
           json_is_true(json_object_get(body, "Driftwood")), status);
    return status;
}

static int handle_cloud(void *data, const http_request_t *request, json_t **answer)
{
    (void)data;
    if (strcmp(request->path, "/flavors") == 0) {
        json_t *docks = json_array();
        for (int i = 0; i < deployment->zone_count; i++)
            json_array_append_new(docks, json_string(deployment->zones[i]));
        *answer = json_pack("{s:[{s:s,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:o}]}", "Hulls", "Name",
                            deployment->type, "Cpus", deployment->type_cpus, "Accelerators", 0.0,
                            "MemGb", deployment->type_memory_gb, "LocalGb", 50.0, "FetchGbPerS",
                            fetch_gb_per_s, "Price", deployment->price, "MarketPrice", deployment->spot_price,
                            "BootS", deployment->boot_s, "Docks", docks);
        return 200;
    }
    if (strcmp(request->path, "/hosts/release") == 0)
        return release_machines(request->body);
    if (strcmp(request->path, "/hosts") == 0 && strcmp(request->method, "GET") == 0)
        return list_machines(request, answer);
    if (strcmp(request->path, "/hosts") == 0)
        return rent_machines(request->body, answer);
    return 400;
}

void cloud_start(void)
{
    cloud_port_number = http_serve(handle_cloud, NULL);
}

int cloud_port(void)
{
    return cloud_port_number;
}
