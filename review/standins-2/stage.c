#include "stage.h"

#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

site_t site;
node_t nodes[NODES];
worker_t workers[WORKERS_MAX];
int worker_count;
job_t jobs[JOBS_MAX];
int job_count;
counts_t counts;
ms_t stage_began_at;
double state_late_share;
ms_t state_late_ms = 2000, state_late_max_ms = 12000, state_slow_ms;
bool state_loses_answers_only;
bool cloud_is_down;

static FILE *record_file;
static char work_folder[128]; /* run.sh makes and removes it */
static char program_path[512];

double random_unit(void)
{
    return (double)random() / 2147483648.0;
}

void stage_record(const char *format, ...)
{
    va_list args;
    if (!record_file)
        return;
    fprintf(record_file, "%8.3f ", (double)(net_now() - stage_began_at) / 1000);
    va_start(args, format);
    vfprintf(record_file, format, args);
    va_end(args);
    fputc('\n', record_file);
    fflush(record_file);
}

/* ---- The state service ---- */

typedef struct entry {
    char key[200];
    json_t *value;
    uint64_t stamp;
    uint64_t tether;
} entry_t;

typedef struct change {
    char key[200];
    json_t *value; /* NULL: deleted */
    uint64_t stamp;
} change_t;

typedef struct grant {
    uint64_t tether;
    ms_t life, ends_at;
} grant_t;

typedef struct follower {
    uint64_t connection;
    int node;
    char under[200];
    uint64_t since;
    ms_t until;
} follower_t;

static entry_t *entries;
static size_t entry_count;
static change_t *changes;
static size_t change_count;
static grant_t grants[4096];
static int grant_count;
static follower_t followers[256];
static int follower_count;
static uint64_t logline;
static bool is_outage;
static double request_tokens, write_tokens;
static ms_t tokens_at;

static entry_t *find_entry(const char *key)
{
    for (size_t i = 0; i < entry_count; i++)
        if (strcmp(entries[i].key, key) == 0)
            return &entries[i];
    return NULL;
}

static grant_t *find_grant(uint64_t tether)
{
    for (int i = 0; i < grant_count; i++)
        if (grants[i].tether == tether)
            return &grants[i];
    return NULL;
}

static void log_change(const char *key, json_t *value)
{
    changes = realloc(changes, (change_count + 1) * sizeof *changes);
    change_t *it = &changes[change_count++];
    snprintf(it->key, sizeof it->key, "%s", key);
    it->value = json_incref(value);
    it->stamp = logline;
}

static void set_entry(const char *key, json_t *value, uint64_t tether)
{
    entry_t *it = find_entry(key);
    if (!it) {
        size_t at = 0;
        entries = realloc(entries, (entry_count + 1) * sizeof *entries);
        while (at < entry_count && strcmp(entries[at].key, key) < 0)
            at++;
        memmove(&entries[at + 1], &entries[at], (entry_count - at) * sizeof *entries);
        entry_count++;
        it = &entries[at];
        *it = (entry_t){0};
        snprintf(it->key, sizeof it->key, "%s", key);
    }
    json_incref(value);
    json_decref(it->value);
    it->value = value;
    it->stamp = logline;
    it->tether = tether;
    log_change(key, value);
}

static void delete_entry(const char *key)
{
    entry_t *it = find_entry(key);
    if (!it)
        return;
    json_decref(it->value);
    size_t at = (size_t)(it - entries);
    memmove(it, it + 1, (entry_count - at - 1) * sizeof *entries);
    entry_count--;
    log_change(key, NULL);
}

typedef struct late_answer {
    uint64_t connection;
    int status;
    json_t *body;
} late_answer_t;

static void send_late_answer(void *data)
{
    late_answer_t *late = data;
    http_answer(late->connection, late->status, late->body);
    free(late);
}

static ms_t answer_delay(int node)
{
    ms_t slow = state_slow_ms ? (ms_t)((double)state_slow_ms * (0.5 + random_unit())) : 0;
    return nodes[node].state_delay + slow;
}

/* Answers a node, after the delay that is set. Takes the body. */
static void answer_node(int node, uint64_t connection, int status, json_t *body)
{
    ms_t delay = answer_delay(node);
    if (nodes[node].state == STATE_SILENT) {
        json_decref(body);
        return;
    }
    if (delay == 0) {
        http_answer(connection, status, body);
        return;
    }
    late_answer_t *late = malloc(sizeof *late);
    *late = (late_answer_t){connection, status, body};
    net_after(delay, send_late_answer, late);
}

static json_t *news_since(const char *under, uint64_t since)
{
    json_t *news = json_array();
    for (size_t i = 0; i < change_count; i++) {
        const change_t *it = &changes[i];
        if (it->stamp <= since || strncmp(it->key, under, strlen(under)) != 0)
            continue;
        if (it->value)
            json_array_append_new(news, json_pack("{s:s,s:O,s:I}", "Set", it->key, "Value",
                                                  it->value, "Stamp", (json_int_t)it->stamp));
        else
            json_array_append_new(
                news, json_pack("{s:s,s:I}", "Delete", it->key, "Stamp", (json_int_t)it->stamp));
    }
    return news;
}

static bool is_served(int node)
{
    return !is_outage && nodes[node].state == STATE_OK;
}

static void wake_followers(void)
{
    for (int i = 0; i < follower_count; i++) {
        follower_t *it = &followers[i];
        if (!is_served(it->node))
            continue;
        json_t *news = news_since(it->under, it->since);
        if (json_array_size(news) == 0 && net_now() < it->until) {
            json_decref(news);
            continue;
        }
        answer_node(it->node, it->connection, 200,
                    json_pack("{s:I,s:o}", "Logline", (json_int_t)logline, "News", news));
        followers[i--] = followers[--follower_count];
    }
}

static void expire_grants(void)
{
    ms_t now = net_now();
    for (int i = 0; i < grant_count; i++) {
        if (now < grants[i].ends_at || is_outage)
            continue;
        uint64_t tether = grants[i].tether;
        grants[i--] = grants[--grant_count];
        bool has_changed = false;
        for (size_t k = 0; k < entry_count; k++) {
            if (entries[k].tether != tether)
                continue;
            if (!has_changed)
                logline++;
            has_changed = true;
            char key[200];
            snprintf(key, sizeof key, "%s", entries[k].key);
            delete_entry(key);
            k = (size_t)-1;
        }
    }
}

void state_outage(bool is_down)
{
    stage_record("state service %s", is_down ? "goes down" : "is back");
    if (is_outage && !is_down)
        for (int i = 0; i < grant_count; i++)
            grants[i].ends_at = net_now() + grants[i].life;
    is_outage = is_down;
    wake_followers();
}

/* Executes a transaction. Returns the status and sets *answer. */
static int execute(const json_t *body, json_t **answer)
{
    size_t i;
    json_t *item;
    json_t *failed = json_array();
    json_t *then = json_object_get(body, "Then");
    json_array_foreach(then, i, item)
    {
        json_t *tether = json_object_get(item, "Tether");
        if (tether && !find_grant((uint64_t)json_integer_value(tether))) {
            json_decref(failed);
            *answer = json_pack("{s:s}", "error", "no such lease");
            return 400;
        }
        json_t *value = json_object_get(item, "Value");
        char *text = value ? json_dumps(value, JSON_COMPACT) : NULL;
        bool is_large = text && strlen(text) > site.value_kb * 1024;
        free(text);
        if (is_large || json_array_size(then) > (size_t)site.txn_ops) {
            stage_record("state: a transaction is too large");
            json_decref(failed);
            *answer = json_pack("{s:s}", "error", "too large");
            return 400;
        }
    }
    json_array_foreach(json_object_get(body, "If"), i, item)
    {
        const char *key = json_string_value(json_object_get(item, "K"));
        const entry_t *it = find_entry(key);
        uint64_t stamp = (uint64_t)json_integer_value(json_object_get(item, "Stamp"));
        if ((it ? it->stamp : 0) != stamp)
            json_array_append_new(failed, json_string(key));
    }
    if (json_array_size(failed)) {
        *answer = json_pack("{s:o,s:I}", "failed", failed, "Logline", (json_int_t)logline);
        return 409;
    }
    json_decref(failed);
    if (json_array_size(then))
        logline++;
    json_array_foreach(then, i, item)
    {
        const char *key = json_string_value(json_object_get(item, "Set"));
        if (key)
            set_entry(key, json_object_get(item, "Value"),
                      (uint64_t)json_integer_value(json_object_get(item, "Tether")));
        else
            delete_entry(json_string_value(json_object_get(item, "Delete")));
    }
    *answer = json_pack("{s:I}", "Logline", (json_int_t)logline);
    wake_followers();
    return 200;
}

typedef struct late_txn {
    json_t *body;
} late_txn_t;

static void execute_late(void *data)
{
    late_txn_t *late = data;
    json_t *answer = NULL;
    int status = is_outage ? 503 : execute(late->body, &answer);
    stage_record("state: a late transaction is carried out: %d", status);
    json_decref(answer);
    json_decref(late->body);
    free(late);
}

/* Returns whether the limits permit the request; takes its tokens. */
static bool take_tokens(size_t writes)
{
    ms_t now = net_now();
    double seconds = (double)(now - tokens_at) / 1000;
    tokens_at = now;
    request_tokens += seconds * site.rps;
    write_tokens += seconds * site.write_rps;
    request_tokens = request_tokens > site.rps ? site.rps : request_tokens;
    write_tokens = write_tokens > site.write_rps ? site.write_rps : write_tokens;
    if (request_tokens < 1 || (writes && write_tokens < (double)writes))
        return false;
    request_tokens -= 1;
    write_tokens -= (double)writes;
    return true;
}

static void list_keys(int node, const http_request_t *request)
{
    char under[200], since[200], limit[20];
    http_parameter(request->query, "Under", under, sizeof under);
    http_parameter(request->query, "Since", since, sizeof since);
    http_parameter(request->query, "Limit", limit, sizeof limit);
    size_t max = limit[0] ? strtoul(limit, NULL, 10) : 1000;
    json_t *list = json_array();
    bool more = false;
    for (size_t i = 0; i < entry_count; i++) {
        const entry_t *it = &entries[i];
        if (strncmp(it->key, under, strlen(under)) != 0 || strcmp(it->key, since) <= 0)
            continue;
        if (json_array_size(list) >= max) {
            more = true;
            break;
        }
        json_array_append_new(list, json_pack("{s:s,s:O,s:I}", "K", it->key, "Value", it->value,
                                              "Stamp", (json_int_t)it->stamp));
    }
    answer_node(node, request->connection, 200,
                json_pack("{s:o,s:b,s:I}", "Entries", list, "More", more, "Logline",
                          (json_int_t)logline));
}

static void get_key(int node, const http_request_t *request)
{
    const entry_t *it = find_entry(request->path + strlen("/keys/"));
    if (!it)
        answer_node(node, request->connection, 404,
                    json_pack("{s:I}", "Logline", (json_int_t)logline));
    else
        answer_node(node, request->connection, 200,
                    json_pack("{s:s,s:O,s:I,s:I}", "K", it->key, "Value", it->value, "Stamp",
                              (json_int_t)it->stamp, "Tether", (json_int_t)it->tether));
}

static void follow(int node, const http_request_t *request)
{
    char since[30], block[30];
    follower_t it = {.connection = request->connection, .node = node};
    http_parameter(request->query, "Under", it.under, sizeof it.under);
    http_parameter(request->query, "Since", since, sizeof since);
    http_parameter(request->query, "BlockMs", block, sizeof block);
    it.since = strtoull(since, NULL, 10);
    it.until = net_now() + atoi(block);
    if (follower_count < 256)
        followers[follower_count++] = it;
    wake_followers();
}

static void txn(int node, const http_request_t *request)
{
    json_t *answer = NULL;
    json_t *first = json_array_get(json_object_get(request->body, "Then"), 0);
    if (state_late_share > 0 && first && random_unit() < state_late_share) {
        if (state_loses_answers_only) {
            int status = execute(request->body, &answer);
            stage_record("state: an answer (%d) to %s is lost", status, nodes[node].name);
            json_decref(answer);
            return;
        }
        late_txn_t *late = malloc(sizeof *late);
        late->body = json_incref(request->body);
        net_after(state_late_ms +
                      (ms_t)(random_unit() * (double)(state_late_max_ms - state_late_ms)),
                  execute_late, late);
        return;
    }
    int status = execute(request->body, &answer);
    answer_node(node, request->connection, status, answer);
}

static void serve_grants(int node, const http_request_t *request)
{
    static uint64_t last_tether;
    if (strcmp(request->path, "/grants") == 0) {
        ms_t life = json_integer_value(json_object_get(request->body, "LifeMs"));
        grants[grant_count++] = (grant_t){++last_tether, life, net_now() + life};
        answer_node(node, request->connection, 200,
                    json_pack("{s:I}", "Tether", (json_int_t)last_tether));
        return;
    }
    grant_t *it = find_grant(strtoull(request->path + strlen("/grants/"), NULL, 10));
    if (it)
        it->ends_at = net_now() + it->life;
    answer_node(node, request->connection, it ? 200 : 404, json_object());
}

static void serve_state(void *data, const http_request_t *request)
{
    int node = (int)((node_t *)data - nodes);
    size_t writes = 0;
    if (nodes[node].state == STATE_SILENT)
        return;
    if (!is_served(node)) {
        answer_node(node, request->connection, 503, json_object());
        return;
    }
    if (strcmp(request->path, "/txn") == 0)
        writes = json_array_size(json_object_get(request->body, "Then"));
    if (!take_tokens(writes)) {
        answer_node(node, request->connection, 429, json_object());
        return;
    }
    expire_grants();
    if (strcmp(request->path, "/txn") == 0)
        txn(node, request);
    else if (strcmp(request->path, "/keys") == 0)
        list_keys(node, request);
    else if (strncmp(request->path, "/keys/", 6) == 0)
        get_key(node, request);
    else if (strcmp(request->path, "/follow") == 0)
        follow(node, request);
    else if (strncmp(request->path, "/grants", 7) == 0)
        serve_grants(node, request);
    else
        answer_node(node, request->connection, 400, json_object());
}

static void tick_state(void *data)
{
    (void)data;
    expire_grants();
    wake_followers();
    net_after(50, tick_state, NULL);
}

int state_leader(void)
{
    const entry_t *it = find_entry("view/lease");
    const char *name = it ? json_string_value(json_object_get(it->value, "Name")) : NULL;
    for (int i = 0; name && i < NODES; i++)
        if (strcmp(nodes[i].name, name) == 0)
            return i;
    return -1;
}

bool state_contains(const char *prefix, const char *text)
{
    bool is_found = false;
    for (size_t i = 0; i < entry_count && !is_found; i++) {
        if (strncmp(entries[i].key, prefix, strlen(prefix)) != 0)
            continue;
        char *value = json_dumps(entries[i].value, JSON_COMPACT);
        is_found = strstr(value, text) || strstr(entries[i].key, text);
        free(value);
    }
    return is_found;
}

/* ---- The workers ---- */

static void start_checks(worker_t *worker, const task_t *task);

static bool is_on_machine(const task_t *task)
{
    return task->state == RUNNING || task->state == SAVING;
}

task_t *worker_find(worker_t *worker, const char *job, int piece)
{
    for (int i = 0; i < worker->task_count; i++)
        if (worker->tasks[i].piece == piece && strcmp(worker->tasks[i].job, job) == 0)
            return &worker->tasks[i];
    return NULL;
}

int job_on_machines(const job_t *job)
{
    int count = 0;
    for (int i = 0; i < worker_count; i++)
        for (int k = 0; k < workers[i].task_count && !workers[i].is_gone; k++)
            count += strcmp(workers[i].tasks[k].job, job->id) == 0 &&
                     is_on_machine(&workers[i].tasks[k]);
    return count;
}

static json_t *build_report(worker_t *worker)
{
    static const char *const names[] = {"pulling", "running", "saving", "exited"};
    json_t *pieces = json_array();
    for (int i = 0; i < worker->task_count; i++) {
        const task_t *task = &worker->tasks[i];
        json_t *item = json_pack("{s:o,s:I,s:s}", "Piece",
                                 json_sprintf("%s/%d", task->job, task->piece), "Heave",
                                 (json_int_t)task->heave, "Trim", names[task->state]);
        if (task->state == EXITED) {
            json_object_set_new(item, "Cause", json_string(task->cause));
            if (task->stored)
                json_object_set_new(item, "Stored", json_true());
        }
        json_array_append_new(pieces, item);
    }
    return json_pack("{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:n,s:o}", "Winch", worker->name, "Address",
                     worker->address, "Hull", site.types[worker->type].name, "Dock",
                     site.zones[worker->zone], "Driftwood", worker->is_spot, "Watch",
                     (json_int_t)worker->session, "Tally", (json_int_t)++worker->tally, "Helm",
                     (json_int_t)worker->helm, "WarningS", "Pieces", pieces);
}

static void exit_task(worker_t *worker, task_t *task, const char *cause, bool stored)
{
    task->state = EXITED;
    task->cause = cause;
    task->stored = stored;
    task->since = net_now();
    worker->has_changed = true;
    stage_record("%s: %s/%d#%llu exits: %s", worker->name, task->job, task->piece,
           (unsigned long long)task->heave, cause);
}

static void begin_running(worker_t *worker, task_t *task)
{
    job_t *job = job_find(task->job);
    task->state = RUNNING;
    task->since = net_now();
    task->saved_ms = job->piece_saved[task->piece];
    ms_t left = (ms_t)(job->run_s * 1000) - task->saved_ms;
    task->ends_at = task->since + (job->piece_done[task->piece] ? 0 : left > 0 ? left : 0);
    if (job->fails || worker->is_faulty)
        task->ends_at = task->since + 300;
    worker->has_changed = true;
    start_checks(worker, task);
}

static bool has_image(const worker_t *worker, const char *image)
{
    for (int i = 0; i < worker->image_count; i++)
        if (strcmp(worker->images[i], image) == 0)
            return true;
    return false;
}

static void add_image(worker_t *worker, const char *image)
{
    if (!has_image(worker, image) && worker->image_count < 64)
        snprintf(worker->images[worker->image_count++], 64, "%s", image);
}

static const char *refusal(worker_t *worker, const job_t *job, int piece)
{
    double cpus = site.types[worker->type].cpus, memory = site.types[worker->type].memory;
    if (!job || piece >= job->pieces)
        return "no_such";
    for (int i = 0; i < worker->task_count; i++) {
        const task_t *task = &worker->tasks[i];
        const job_t *other = job_find(task->job);
        if (task->state == EXITED)
            continue;
        if (other == job && task->piece == piece)
            return "in_use";
        cpus -= other->cpus;
        memory -= other->memory;
    }
    return cpus + 1e-6 < job->cpus || memory + 1e-6 < job->memory ? "full" : NULL;
}

static void run_command(worker_t *worker, const char *id, int piece, uint64_t heave)
{
    for (int i = 0; i < worker->task_count; i++)
        if (worker->tasks[i].heave == heave && worker->tasks[i].piece == piece &&
            strcmp(worker->tasks[i].job, id) == 0)
            return;
    if (worker->task_count == TASKS_MAX)
        return;
    job_t *job = job_find(id);
    const char *cause = refusal(worker, job, piece);
    task_t *task = &worker->tasks[worker->task_count++];
    *task = (task_t){.piece = piece, .heave = heave, .since = net_now()};
    snprintf(task->job, sizeof task->job, "%s", id);
    worker->has_changed = true;
    stage_record("%s: run %s/%d#%llu%s%s", worker->name, id, piece, (unsigned long long)heave,
           cause ? " refused: " : "", cause ? cause : "");
    if (cause) {
        exit_task(worker, task, cause, false);
        return;
    }
    task->state = PULLING;
    task->ends_at = net_now() + (has_image(worker, job->image) ? 0 : (ms_t)(site.fetch_s * 1000));
    if (task->ends_at <= net_now()) {
        begin_running(worker, task);
    }
}

static void save_progress(task_t *task, const job_t *job, bool is_stop)
{
    ms_t progress = task->saved_ms + net_now() - task->since;
    ms_t interval = (ms_t)(job->checkpoint_s * 1000);
    if (interval > 0)
        job->piece_saved[task->piece] = is_stop ? progress : progress / interval * interval;
}

static void stop_command(worker_t *worker, const char *id, int piece, uint64_t heave, double slack)
{
    for (int i = 0; i < worker->task_count; i++) {
        task_t *task = &worker->tasks[i];
        if (task->heave != heave || task->piece != piece || strcmp(task->job, id) != 0 ||
            task->state == EXITED)
            continue;
        const job_t *job = job_find(id);
        stage_record("%s: stop %s/%d#%llu slack %.1f", worker->name, id, piece,
               (unsigned long long)heave, slack);
        if (task->state == RUNNING && job->checkpoint_s > 0 && slack >= job->save_s) {
            save_progress(task, job, true);
            task->state = SAVING;
            task->since = net_now();
            task->ends_at = net_now() + (ms_t)(job->save_s * 1000);
            worker->has_changed = true;
        } else if (task->state != SAVING || slack <= 0) {
            if (task->state == RUNNING)
                save_progress(task, job, false);
            exit_task(worker, task, "halted", false);
        }
    }
}

static void forget_command(worker_t *worker, const char *id, int piece, uint64_t heave)
{
    for (int i = 0; i < worker->task_count; i++) {
        task_t *task = &worker->tasks[i];
        if (task->heave != heave || task->piece != piece || strcmp(task->job, id) != 0 ||
            task->state != EXITED)
            continue;
        *task = worker->tasks[--worker->task_count];
        worker->has_changed = true;
        return;
    }
}

static void execute_calls(worker_t *worker, const json_t *calls)
{
    size_t i;
    json_t *item;
    json_array_foreach(calls, i, item)
    {
        const char *call = json_string_value(json_object_get(item, "Call"));
        char id[40] = "";
        snprintf(id, sizeof id, "%s", json_string_value(json_object_get(item, "Piece")));
        char *slash = strchr(id, '/');
        int piece = slash ? atoi(slash + 1) : 0;
        uint64_t heave = (uint64_t)json_integer_value(json_object_get(item, "Heave"));
        if (slash)
            *slash = '\0';
        if (strcmp(call, "run") == 0)
            run_command(worker, id, piece, heave);
        else if (strcmp(call, "stop") == 0)
            stop_command(worker, id, piece, heave,
                         json_number_value(json_object_get(item, "SlackS")));
        else
            forget_command(worker, id, piece, heave);
    }
}

static void see_token(worker_t *worker, uint64_t helm)
{
    if (helm > worker->helm) {
        worker->helm = helm;
        worker->has_changed = true;
    }
}

typedef struct late_command {
    worker_t *worker;
    json_t *body;
} late_command_t;

/* Executes a direct command. Returns the status. */
static int direct_command(worker_t *worker, const json_t *body)
{
    json_t *helm = json_object_get(body, "Helm");
    json_t *watch = json_object_get(body, "Watch");
    if (!helm || !watch)
        return 400;
    if ((uint64_t)json_integer_value(helm) < worker->helm ||
        (uint64_t)json_integer_value(watch) != worker->session)
        return 409;
    see_token(worker, (uint64_t)json_integer_value(helm));
    execute_calls(worker, json_object_get(body, "Calls"));
    return 200;
}

static void execute_late_command(void *data)
{
    late_command_t *late = data;
    if (!late->worker->is_gone && !late->worker->is_hung)
        stage_record("%s: a late direct command: %d", late->worker->name,
               direct_command(late->worker, late->body));
    json_decref(late->body);
    free(late);
}

/* Returns whether the process has the socket with this inode. */
static bool has_socket(int pid, unsigned long inode)
{
    char path[80], link[80], wanted[80];
    snprintf(wanted, sizeof wanted, "socket:[%lu]", inode);
    for (int fd = 0; fd < 1024; fd++) {
        snprintf(path, sizeof path, "/proc/%d/fd/%d", pid, fd);
        ssize_t length = readlink(path, link, sizeof link - 1);
        if (length <= 0)
            continue;
        link[length] = '\0';
        if (strcmp(link, wanted) == 0)
            return true;
    }
    return false;
}

/* Returns the node that has the socket with this port on loopback, or -1. */
static int node_of_port(int port)
{
    char line[300];
    unsigned long inode = 0;
    FILE *file = fopen("/proc/net/tcp", "r");
    while (file && !inode && fgets(line, sizeof line, file)) {
        unsigned local = 0;
        unsigned long found = 0;
        if (sscanf(line, " %*d: %*x:%x %*x:%*x %*x %*x:%*x %*x:%*x %*x %*d %*d %lu", &local,
                   &found) == 2 &&
            (int)local == port)
            inode = found;
    }
    if (file)
        fclose(file);
    for (int i = 0; i < NODES && inode; i++)
        if (nodes[i].pid && has_socket(nodes[i].pid, inode))
            return i;
    return -1;
}

/* Returns whether a request to the worker is lost because its sender is cut off from it. */
static bool is_cut_request(const worker_t *worker, const http_request_t *request)
{
    bool is_any_cut = false;
    for (int i = 0; i < NODES; i++)
        is_any_cut = is_any_cut || worker->is_cut_from[i];
    if (!is_any_cut)
        return false;
    int node = node_of_port(request->peer_port);
    return node < 0 || worker->is_cut_from[node];
}

static void serve_worker(void *data, const http_request_t *request)
{
    worker_t *worker = data;
    if (is_cut_request(worker, request))
        return;
    if (!worker->is_up || worker->is_gone || worker->is_hung || worker->is_silent ||
        worker->is_deaf)
        return;
    if (strcmp(request->path, "/inspect") == 0) {
        http_answer(request->connection, 200, build_report(worker));
        return;
    }
    if (worker->late_commands) {
        late_command_t *late = malloc(sizeof *late);
        *late = (late_command_t){worker, json_incref(request->body)};
        net_after(worker->late_commands, execute_late_command, late);
        return;
    }
    int status = direct_command(worker, request->body);
    http_answer(request->connection, status, status == 400 ? NULL : build_report(worker));
}

typedef struct report {
    worker_t *worker;
    uint64_t session, number;
    ms_t sent_at;
} report_t;

static int node_named(const char *name)
{
    for (int i = 0; name && i < NODES; i++)
        if (strcmp(nodes[i].name, name) == 0)
            return i;
    return -1;
}

static void finish_report(void *data, int status, const json_t *body)
{
    report_t *report = data;
    worker_t *worker = report->worker;
    ms_t now = net_now();
    bool is_lost = worker->is_deaf || worker->is_silent || worker->is_gone;
    if (report->number != worker->report_number || worker->is_gone) {
        free(report);
        return;
    }
    if (is_lost && status) { /* the answer does not arrive: as if none came within 4 s */
        status = 0;
        now = report->sent_at + 4000 > now ? report->sent_at + 4000 : now;
    }
    worker->is_waiting = false;
    if (status == 200) {
        uint64_t helm = (uint64_t)json_integer_value(json_object_get(body, "Helm"));
        bool is_valid = json_object_get(body, "Helm") && helm >= worker->helm &&
                        report->session == worker->session && !worker->is_hung;
        if (is_valid) {
            see_token(worker, helm);
            worker->lease_from = report->sent_at;
            execute_calls(worker, json_object_get(body, "Calls"));
        }
        worker->next_report_at =
            worker->last_report_at + (ms_t)(site.report_s * 1000 * (0.75 + random_unit() / 2));
    } else {
        int owner = status == 421 ? node_named(json_string_value(json_object_get(body, "Bosun")))
                                  : -1;
        if (owner >= 0 && owner != worker->node) {
            worker->node = owner;
            worker->next_report_at = now + (ms_t)(random_unit() * 500);
        } else {
            worker->node = (worker->node + 1) % NODES;
            worker->next_report_at = now + 1000;
        }
        worker->has_changed = false;
    }
    free(report);
}

static void send_report(worker_t *worker)
{
    report_t *report = malloc(sizeof *report);
    *report = (report_t){worker, worker->session, ++worker->report_number, net_now()};
    worker->is_waiting = true;
    worker->has_changed = false;
    worker->last_report_at = net_now();
    int port = worker->is_mute || worker->is_silent ? 1 : relay_port(nodes[worker->node].fronts[worker->zone]);
    net_call(port, "POST", "/hello", build_report(worker), 4000, finish_report, report);
}

static void tick_task(worker_t *worker, task_t *task)
{
    job_t *job = job_find(task->job);
    if (task->state == EXITED || net_now() < task->ends_at)
        return;
    if (task->state == PULLING) {
        add_image(worker, job->image);
        begin_running(worker, task);
    } else if (task->state == SAVING) {
        exit_task(worker, task, "halted", true);
    } else if (job->fails || worker->is_faulty) {
        exit_task(worker, task, "error", false);
    } else {
        exit_task(worker, task, "done", false);
        if (!job->piece_done[task->piece]) {
            job->piece_done[task->piece] = true;
            job->done_count++;
            counts.completed++;
        }
    }
}

static void tick_worker(worker_t *worker)
{
    ms_t now = net_now();
    if (worker->is_gone || worker->is_hung || now < worker->up_at)
        return;
    if (!worker->is_up) {
        worker->is_up = true;
        worker->session = 1;
        worker->lease_from = now;
        worker->next_report_at = now;
        worker->node = (int)(random() % NODES);
        stage_record("%s: up in %s", worker->name, site.zones[worker->zone]);
    }
    if (now - worker->lease_from > (ms_t)(site.lease_s * 1000)) {
        stage_record("%s: lease of session %llu ends, %d tasks are killed", worker->name,
               (unsigned long long)worker->session, worker->task_count);
        counts.lease_losses++;
        worker->task_count = 0;
        worker->session++;
        worker->lease_from = now;
        worker->has_changed = true;
    }
    for (int i = 0; i < worker->task_count; i++)
        tick_task(worker, &worker->tasks[i]);
    bool is_due = now >= worker->next_report_at ||
                  (worker->has_changed && now - worker->last_report_at >= 500);
    if (!worker->is_waiting && is_due)
        send_report(worker);
}

static void tick_workers(void *data)
{
    (void)data;
    for (int i = 0; i < worker_count; i++)
        tick_worker(&workers[i]);
    net_after(10, tick_workers, NULL);
}

worker_t *worker_add(int type, int zone, bool is_spot, ms_t boot)
{
    worker_t *worker = &workers[worker_count++];
    *worker = (worker_t){.type = type, .zone = zone, .is_spot = is_spot, .rented_at = net_now()};
    snprintf(worker->name, sizeof worker->name, "m-%06d", worker_count);
    worker->up_at = net_now() + boot;
    worker->port = net_serve(serve_worker, worker);
    snprintf(worker->address, sizeof worker->address, "127.0.0.1:%d", worker->port);
    site.types[type].capacity[zone][is_spot]--;
    return worker;
}

void worker_die(worker_t *worker)
{
    if (worker->is_gone)
        return;
    stage_record("%s: gone with %d tasks", worker->name, worker->task_count);
    worker->is_gone = true;
    worker->down_at = net_now();
    worker->task_count = 0;
    site.types[worker->type].capacity[worker->zone][worker->is_spot]++;
}

/* ---- The cloud ---- */

static int type_named(const char *name)
{
    for (int i = 0; name && i < TYPES_MAX && site.types[i].name; i++)
        if (strcmp(site.types[i].name, name) == 0)
            return i;
    return -1;
}

static int zone_named(const char *name)
{
    for (int i = 0; name && i < ZONES_MAX && site.zones[i]; i++)
        if (strcmp(site.zones[i], name) == 0)
            return i;
    return -1;
}

static json_t *build_flavors(void)
{
    json_t *list = json_array();
    for (int i = 0; i < TYPES_MAX && site.types[i].name; i++) {
        const type_t *type = &site.types[i];
        json_t *docks = json_array();
        for (int k = 0; k < ZONES_MAX && site.zones[k]; k++)
            json_array_append_new(docks, json_string(site.zones[k]));
        json_array_append_new(
            list, json_pack("{s:s,s:f,s:i,s:f,s:f,s:f,s:f,s:f,s:f,s:o}", "Name", type->name, "Cpus",
                            type->cpus, "Accelerators", 0, "MemGb", type->memory, "LocalGb", 200.0,
                            "FetchGbPerS", 1.0, "Price", type->price, "MarketPrice",
                            type->spot_price, "BootS", type->boot_s, "Docks", docks));
    }
    return json_pack("{s:o}", "Hulls", list);
}

static void rent(const http_request_t *request)
{
    static struct {
        char charter[64];
        json_t *answer;
    } charters[2000];
    static int charter_count;
    const json_t *body = request->body;
    const char *charter = json_string_value(json_object_get(body, "Charter"));
    int type = type_named(json_string_value(json_object_get(body, "Hull")));
    int zone = zone_named(json_string_value(json_object_get(body, "Dock")));
    bool is_spot = json_is_true(json_object_get(body, "Driftwood"));
    int number = (int)json_integer_value(json_object_get(body, "Number"));
    for (int i = 0; i < charter_count; i++)
        if (strcmp(charters[i].charter, charter) == 0) {
            http_answer(request->connection, 200, json_incref(charters[i].answer));
            return;
        }
    if (type < 0 || zone < 0 || number < 1 || number > 50) {
        http_answer(request->connection, 400, NULL);
        return;
    }
    json_t *names = json_array();
    while (number-- > 0 && site.types[type].capacity[zone][is_spot] > 0 &&
           worker_count < WORKERS_MAX) {
        double factor = 0.6 + 0.9 * random_unit();
        worker_t *worker =
            worker_add(type, zone, is_spot, (ms_t)(site.types[type].boot_s * 1000 * factor));
        json_array_append_new(names, json_string(worker->name));
    }
    stage_record("cloud: %s rents %zu of %s in %s%s", charter, json_array_size(names),
           site.types[type].name, site.zones[zone], is_spot ? ", spot" : "");
    if (json_array_size(names) == 0) {
        json_decref(names);
        http_answer(request->connection, 503, json_pack("{s:s}", "error", "no capacity"));
        return;
    }
    json_t *answer = json_pack("{s:o}", "Winches", names);
    snprintf(charters[charter_count].charter, 64, "%s", charter);
    charters[charter_count++].answer = json_incref(answer);
    http_answer(request->connection, 200, answer);
}

static void release(const http_request_t *request)
{
    size_t i;
    json_t *name;
    json_array_foreach(json_object_get(request->body, "Winches"), i, name)
    {
        for (int k = 0; k < worker_count; k++)
            if (strcmp(workers[k].name, json_string_value(name)) == 0) {
                stage_record("cloud: %s is released", workers[k].name);
                worker_die(&workers[k]);
                workers[k].down_at = -1; /* not listed any more */
            }
    }
    http_answer(request->connection, 200, NULL);
}

static void list_hosts(const http_request_t *request)
{
    char since[64];
    http_parameter(request->query, "Since", since, sizeof since);
    ms_t seen = net_now() - (ms_t)(site.list_lag_s * 1000);
    json_t *list = json_array();
    for (int i = 0; i < worker_count; i++) {
        const worker_t *it = &workers[i];
        if (strcmp(it->name, since) <= 0 || it->rented_at > seen || it->down_at == -1 ||
            (it->is_gone && net_now() - it->down_at > 30000))
            continue;
        json_array_append_new(
            list, json_pack("{s:s,s:s,s:s,s:s,s:b,s:s,s:f}", "Uid", it->name, "Address",
                            it->address, "Hull", site.types[it->type].name, "Dock",
                            site.zones[it->zone], "Driftwood", it->is_spot, "Trim",
                            it->up_at > seen ? "booting" : "running", "HeldS",
                            (double)(seen - it->rented_at) / 1000));
    }
    http_answer(request->connection, 200, json_pack("{s:o,s:b}", "Winches", list, "More", 0));
}

static void serve_cloud(void *data, const http_request_t *request)
{
    const node_t *node = data;
    if (node->is_cut_from_cloud)
        return;
    if (cloud_is_down)
        http_answer(request->connection, 503, json_pack("{s:s}", "error", "trouble"));
    else if (strcmp(request->path, "/flavors") == 0)
        http_answer(request->connection, 200, build_flavors());
    else if (strcmp(request->path, "/hosts/release") == 0)
        release(request);
    else if (strcmp(request->path, "/hosts") == 0 && strcmp(request->method, "POST") == 0)
        rent(request);
    else
        list_hosts(request);
}

/* ---- The nodes ---- */

void site_default(void)
{
    site = (site_t){.zones = {"alfama", "ribeira"},
                    .node_zones = {"alfama", "ribeira", "alfama"},
                    .teams = {{"equipa-porto", 224, 664}, {"equipa-lisboa", 264, 664}},
                    .types = {{"caravela", 16, 128, 1.49, 0.47, 20, {{16, 8}, {11, 5}}}},
                    .report_s = 1,
                    .lease_s = 10,
                    .cancel_s = 30,
                    .rps = 120,
                    .write_rps = 40,
                    .txn_ops = 24,
                    .value_kb = 16,
                    .list_lag_s = 3,
                    .core_share = 0.096,
                    .ram_mb = 56,
                    .fd_limit = 600,
                    .fetch_s = 0.5};
}

static void write_settings(int node)
{
    json_t *siblings = json_array();
    json_t *teams = json_array();
    json_t *zones = json_array();
    for (int i = 0; i < NODES; i++)
        if (i != node)
            json_array_append_new(
                siblings, json_pack("{s:s,s:s,s:o}", "host_name", nodes[i].name, "location",
                                    nodes[i].zone, "endpoint",
                                    json_sprintf("127.0.0.1:%d", relay_port(nodes[node].peers[i]))));
    for (int i = 0; i < 4 && site.teams[i].name; i++)
        json_array_append_new(teams, json_pack("{s:s,s:f,s:f,s:f,s:f}", "name", site.teams[i].name,
                                               "cpus", site.teams[i].cpus, "cpus_max",
                                               site.teams[i].cpus_max, "gpus", 0.0, "gpus_max",
                                               0.0));
    for (int i = 0; i < ZONES_MAX && site.zones[i]; i++)
        json_array_append_new(zones, json_string(site.zones[i]));
    json_t *root = json_pack(
        "{s:s,s:s,s:o,s:o,s:o,s:{s:o,s:o},s:{s:i,s:o,s:o,s:[],s:{s:f,s:f,s:f,s:f,s:f},"
        "s:{s:f,s:f,s:f,s:i},s:{s:f,s:f},s:{s:f,s:f,s:i}},s:f}",
        "host_name", nodes[node].name, "location", nodes[node].zone, "client_listen",
        json_sprintf("127.0.0.1:%d", nodes[node].port), "mesh_addr",
        json_sprintf("127.0.0.1:%d", nodes[node].peer_port), "siblings", siblings, "endpoints",
        "cloud", json_sprintf("127.0.0.1:%d", nodes[node].cloud_port), "state",
        json_sprintf("127.0.0.1:%d", nodes[node].state_port), "settings", "initial_size", NODES,
        "zones", zones, "teams", teams, "objectives", "workers", "report_s", site.report_s,
        "lease_s", site.lease_s, "gang_wait_s", 35.0, "gang_peer_s", 4.0, "cancel_s", site.cancel_s,
        "state", "rps", site.rps, "write_rps", site.write_rps, "value_kb", site.value_kb, "txn_ops",
        site.txn_ops, "cloud", "rps", 5.0, "list_lag_s", site.list_lag_s, "limits", "core_share",
        site.core_share, "ram_mb", site.ram_mb, "fd_limit", site.fd_limit, "clock_off_ms", 25.0);
    json_dump_file(root, nodes[node].settings, JSON_INDENT(1));
    json_decref(root);
}

void node_start(int node)
{
    int pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int log = open(nodes[node].log, O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(log, 2);
        dup2(log, 1);
        execl(program_path, program_path, "--config", nodes[node].settings, (char *)NULL);
        _exit(127);
    }
    nodes[node].pid = pid;
    stage_record("%s: started", nodes[node].name);
}

void node_kill(int node)
{
    if (!nodes[node].pid)
        return;
    stage_record("%s: killed", nodes[node].name);
    kill(nodes[node].pid, SIGKILL);
    waitpid(nodes[node].pid, NULL, 0);
    nodes[node].pid = 0;
}

void node_stop(int node)
{
    stage_record("%s: stopped (SIGSTOP)", nodes[node].name);
    kill(nodes[node].pid, SIGSTOP);
}

void node_continue(int node)
{
    stage_record("%s: continued (SIGCONT)", nodes[node].name);
    kill(nodes[node].pid, SIGCONT);
}

void node_cut_from_peers(int node, relay_mode_t mode)
{
    stage_record("%s: connections to and from the other nodes: %s", nodes[node].name,
           mode == RELAY_PASS ? "pass" : mode == RELAY_SILENT ? "cut" : "refused");
    for (int i = 0; i < NODES; i++) {
        if (i == node)
            continue;
        relay_set(nodes[node].peers[i], mode);
        relay_set(nodes[i].peers[node], mode);
    }
}

void zone_cut(int zone, bool is_cut)
{
    relay_mode_t mode = is_cut ? RELAY_SILENT : RELAY_PASS;
    stage_record("zone %s is %s", site.zones[zone], is_cut ? "cut off" : "joined again");
    for (int i = 0; i < NODES; i++) {
        bool is_inside = strcmp(nodes[i].zone, site.zones[zone]) == 0;
        if (is_inside) {
            nodes[i].state = is_cut ? STATE_SILENT : STATE_OK;
            nodes[i].is_cut_from_cloud = is_cut;
        }
        for (int k = 0; k < NODES; k++) {
            bool is_other_inside = strcmp(nodes[k].zone, site.zones[zone]) == 0;
            if (i != k && is_inside != is_other_inside)
                relay_set(nodes[i].peers[k], mode);
        }
        for (int k = 0; k < ZONES_MAX && site.zones[k]; k++)
            if (is_inside != (k == zone))
                relay_set(nodes[i].fronts[k], mode);
        for (int k = 0; k < worker_count; k++)
            if (is_inside != (workers[k].zone == zone))
                workers[k].is_cut_from[i] = is_cut;
    }
}

static void tick_nodes(void *data)
{
    (void)data;
    for (int i = 0; i < NODES; i++) {
        int status;
        if (!nodes[i].pid || waitpid(nodes[i].pid, &status, WNOHANG) != nodes[i].pid)
            continue;
        stage_record("%s: ended by itself, status %d", nodes[i].name, status);
        counts.ended_processes++;
        nodes[i].pid = 0;
    }
    net_after(200, tick_nodes, NULL);
}

static void note_ready(void *data, int status, const json_t *body)
{
    (void)body;
    if (status == 200)
        *(bool *)data = true;
}

bool nodes_wait_ready(ms_t limit)
{
    bool are_ready[NODES] = {false};
    ms_t until = net_now() + limit;
    while (net_now() < until) {
        bool all = true;
        for (int i = 0; i < NODES; i++) {
            all = all && are_ready[i];
            if (!are_ready[i])
                net_call(nodes[i].port, "GET", "/ready", NULL, 1000, note_ready, &are_ready[i]);
        }
        if (all)
            return true;
        net_run(300);
    }
    net_run(1100);
    return false;
}

void stage_start(const char *program, const char *folder)
{
    char path[600];
    snprintf(path, sizeof path, "%s/record.txt", folder);
    record_file = fopen(path, "w");
    snprintf(program_path, sizeof program_path, "%s", program);
    const char *given = getenv("REVIEW_FOLDER");
    snprintf(work_folder, sizeof work_folder, "%s", given ? given : "/tmp/review-XXXXXX");
    if (!record_file || (!given && !mkdtemp(work_folder)) || access(program, X_OK) != 0) {
        fprintf(stderr, "the case cannot run: no program, record or temporary folder\n");
        exit(2);
    }
    signal(SIGPIPE, SIG_IGN);
    stage_began_at = net_now();
    for (int i = 0; i < NODES; i++) {
        node_t *node = &nodes[i];
        snprintf(node->name, sizeof node->name, "pulleyhand-%d", i);
        snprintf(node->zone, sizeof node->zone, "%s", site.node_zones[i]);
        node->port = net_free_port();
        node->peer_port = net_free_port();
        node->state_port = net_serve(serve_state, node);
        node->cloud_port = net_serve(serve_cloud, node);
        for (int k = 0; k < ZONES_MAX && site.zones[k]; k++)
            node->fronts[k] = relay_new(node->port);
        snprintf(node->settings, sizeof node->settings, "%s/settings-%d.json", work_folder, i);
        snprintf(node->log, sizeof node->log, "%s/node-%d.log", work_folder, i);
    }
    for (int i = 0; i < NODES; i++)
        for (int k = 0; k < NODES; k++)
            if (i != k)
                nodes[i].peers[k] = relay_new(nodes[k].peer_port);
    tokens_at = net_now();
    request_tokens = site.rps;
    write_tokens = site.write_rps;
    for (int i = 0; i < NODES; i++) {
        write_settings(i);
        node_start(i);
    }
    tick_state(NULL);
    tick_workers(NULL);
    tick_nodes(NULL);
    if (!nodes_wait_ready(20000)) {
        fprintf(stderr, "the case cannot run: the nodes are not ready\n");
        stage_end();
        exit(2);
    }
}

void stage_end(void)
{
    for (int i = 0; i < NODES; i++)
        node_kill(i);
}

/* ---- The users and the checks ---- */

job_t *job_find(const char *id)
{
    for (int i = 0; i < job_count; i++)
        if (strcmp(jobs[i].id, id) == 0)
            return &jobs[i];
    return NULL;
}

job_t *job_add(void)
{
    job_t *job = &jobs[job_count++];
    *job = (job_t){.urgency = "normal",
                   .pieces = 1,
                   .cpus = 2,
                   .memory = 4,
                   .spot = true,
                   .run_s = 5};
    snprintf(job->id, sizeof job->id, "j-%06d", job_count);
    snprintf(job->team, sizeof job->team, "%s", site.teams[0].name);
    snprintf(job->image, sizeof job->image, "img-%d", job_count % 5);
    return job;
}

json_t *job_body(const job_t *job)
{
    return json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:f,s:f,s:f,s:s,s:f,s:n,s:s?,s:b,s:b,s:b,s:f,s:f,"
                     "s:f,s:n}",
                     "Uid", job->id, "Reel", "transcodifica", "Crew", job->team, "Rig", "sweep",
                     "Urgency", job->urgency, "Pieces", job->pieces, "Cpus", job->cpus,
                     "Accelerators", 0.0, "MemGb", job->memory, "Cargo", job->image, "ImageGb", 1.2,
                     "Hulls", "Dock", job->zone[0] ? job->zone : NULL, "SamePlace", job->same_place,
                     "Apart", job->apart, "Driftwood", job->spot, "HaulS", job->run_s, "KnotS",
                     job->checkpoint_s, "StowS", job->save_s, "TideS");
}

/* Called at the start of a task: checks the rules about starts. */
static void start_checks(worker_t *worker, const task_t *task)
{
    job_t *job = job_find(task->job);
    ms_t now = net_now();
    double cpus = 0;
    int on = 0, in_zone = 0, elsewhere = 0;
    counts.starts++;
    job->starts++;
    if (!job->first_start_at)
        job->first_start_at = now;
    stage_record("%s: %s/%d#%llu starts", worker->name, task->job, task->piece,
           (unsigned long long)task->heave);
    for (int i = 0; i < worker_count; i++) {
        for (int k = 0; k < workers[i].task_count && !workers[i].is_gone; k++) {
            const task_t *other = &workers[i].tasks[k];
            const job_t *other_job = job_find(other->job);
            if (!is_on_machine(other))
                continue;
            if (strcmp(other_job->team, job->team) == 0)
                cpus += other_job->cpus;
            if (other_job != job)
                continue;
            on++;
            in_zone += workers[i].zone == worker->zone;
            elsewhere += workers[i].zone != worker->zone;
            if (other != task && other->piece == task->piece) {
                counts.ran_twice++;
                stage_record("BROKEN ran_twice: %s/%d is on %s and starts on %s", task->job, task->piece,
                       workers[i].name, worker->name);
            }
        }
    }
    for (int i = 0; i < 4 && site.teams[i].name; i++)
        if (strcmp(site.teams[i].name, job->team) == 0 && site.teams[i].cpus_max > 0 &&
            cpus > site.teams[i].cpus_max + 1e-6) {
            counts.quota++;
            stage_record("BROKEN quota: %s uses %.1f", job->team, cpus);
        }
    if ((job->zone[0] && strcmp(job->zone, site.zones[worker->zone]) != 0) ||
        (worker->is_spot && !job->spot) || (job->same_place && elsewhere > 0) ||
        (job->apart && in_zone > (job->pieces + 1) / 2)) {
        counts.wrong_place++;
        stage_record("BROKEN wrong_place: %s/%d on %s", task->job, task->piece, worker->name);
    }
    if (job->cancelled_at) {
        counts.started_cancelled++;
        stage_record("STARTED after its cancellation was confirmed %lld ms ago: %s/%d on %s",
               (long long)(now - job->cancelled_at), task->job, task->piece, worker->name);
    }
}

static void tick_cancelled(void *data)
{
    (void)data;
    ms_t now = net_now();
    for (int i = 0; i < worker_count; i++)
        for (int k = 0; k < workers[i].task_count && !workers[i].is_gone; k++) {
            const task_t *task = &workers[i].tasks[k];
            job_t *job = job_find(task->job);
            if (is_on_machine(task) && job->cancelled_at &&
                now - job->cancelled_at > (ms_t)(site.cancel_s * 1000)) {
                counts.ran_cancelled++;
                stage_record("BROKEN ran_cancelled: %s/%d is on %s %lld ms after", task->job,
                       task->piece, workers[i].name, (long long)(now - job->cancelled_at));
            }
        }
    net_after(500, tick_cancelled, NULL);
}

static bool has_room(const worker_t *worker, const job_t *job)
{
    double cpus = site.types[worker->type].cpus, memory = site.types[worker->type].memory;
    if (!worker->is_up || worker->is_gone || worker->is_hung || worker->is_faulty ||
        worker->is_silent || worker->is_mute || worker->is_deaf || (worker->is_spot && !job->spot) ||
        (job->zone[0] && strcmp(job->zone, site.zones[worker->zone]) != 0))
        return false;
    for (int i = 0; i < worker->task_count; i++) {
        const job_t *other = job_find(worker->tasks[i].job);
        if (worker->tasks[i].state == EXITED)
            continue;
        cpus -= other->cpus;
        memory -= other->memory;
    }
    return cpus + 1e-6 >= job->cpus && memory + 1e-6 >= job->memory;
}

static bool is_under_limit(const job_t *job)
{
    double cpus = job->cpus;
    for (int i = 0; i < worker_count; i++)
        for (int k = 0; k < workers[i].task_count && !workers[i].is_gone; k++) {
            const job_t *other = job_find(workers[i].tasks[k].job);
            if (workers[i].tasks[k].state != EXITED && strcmp(other->team, job->team) == 0)
                cpus += other->cpus;
        }
    for (int i = 0; i < 4 && site.teams[i].name; i++)
        if (strcmp(site.teams[i].name, job->team) == 0)
            return site.teams[i].cpus_max <= 0 || cpus <= site.teams[i].cpus_max + 1e-6;
    return false;
}

static void tick_waits(void *data)
{
    (void)data;
    for (int i = 0; i < job_count; i++) {
        job_t *job = &jobs[i];
        bool is_waiting = job->accepted_at && !job->done_at && !job->cancel_asked_at &&
                          job->done_count == 0 && job_on_machines(job) == 0 && is_under_limit(job);
        bool is_room = false;
        for (int k = 0; k < worker_count && is_waiting && !is_room; k++)
            is_room = has_room(&workers[k], job);
        if (!is_waiting || !is_room)
            job->waits_since = 0;
        else if (!job->waits_since)
            job->waits_since = net_now();
    }
    net_after(500, tick_waits, NULL);
}

ms_t job_waits_ms(const job_t *job)
{
    return job->waits_since ? net_now() - job->waits_since : 0;
}

bool is_without_trouble(void)
{
    const char *trouble = getenv("TROUBLE");
    return trouble && strcmp(trouble, "0") == 0;
}

typedef struct user_request {
    job_t *job;
    int node;
    char what;
    ms_t sent_at;
    int *status; /* NULL: nobody waits */
} user_request_t;

static void judge(job_t *job, int node, char what, ms_t sent_at, int status, const char *trim)
{
    ms_t now = net_now();
    if (status == 200 || status == 201 || status == 404)
        job->last_answer_at = now;
    if (!trim || (status != 200 && status != 201)) {
        if ((status == 404 || (what == 's' && (status == 400 || status == 422))) &&
            job->accepted_at && job->accepted_at < sent_at) {
            counts.forgotten++;
            stage_record("BROKEN forgotten: %s answers %d about %s", nodes[node].name, status, job->id);
        }
        return;
    }
    if (what != 's' && !job->submitted_at) {
        counts.invented++;
        stage_record("BROKEN invented: %s", job->id);
    }
    if (!job->accepted_at)
        job->accepted_at = now;
    bool is_done = strcmp(trim, "done") == 0;
    bool is_cancelled = strcmp(trim, "cancelled") == 0;
    if ((job->done_at && job->done_at < sent_at && !is_done) ||
        (job->cancelled_at && job->cancelled_at < sent_at && !is_cancelled) ||
        (is_cancelled && !job->cancel_asked_at)) {
        counts.went_back++;
        stage_record("BROKEN went_back: %s calls %s %s", nodes[node].name, job->id, trim);
    }
    if (is_done && job->done_count < job->pieces) {
        counts.not_done++;
        stage_record("BROKEN not_done: %s with %d of %d", job->id, job->done_count, job->pieces);
    }
    if (is_done && !job->done_at)
        job->done_at = now;
    if (is_cancelled && !job->cancelled_at)
        job->cancelled_at = now;
}

static void finish_request(void *data, int status, const json_t *body)
{
    user_request_t *request = data;
    const char *trim = json_string_value(json_object_get(body, "Trim"));
    stage_record("user: %s %s at %s: %d %s",
           request->what == 's' ? "submits" : request->what == 'a' ? "cancels" : "asks about",
           request->job->id, nodes[request->node].name, status, trim ? trim : "");
    judge(request->job, request->node, request->what, request->sent_at, status, trim);
    if (request->status)
        *request->status = status;
    free(request);
}

static void send_user_request(int node, job_t *job, char what, int *status)
{
    char path[100];
    user_request_t *request = malloc(sizeof *request);
    *request = (user_request_t){job, node, what, net_now(), status};
    if (what == 's' && !job->submitted_at) {
        job->submitted_at = net_now();
        job->piece_done = calloc((size_t)job->pieces, sizeof(bool));
        job->piece_saved = calloc((size_t)job->pieces, sizeof(ms_t));
    }
    if (what == 'a' && !job->cancel_asked_at)
        job->cancel_asked_at = net_now();
    snprintf(path, sizeof path, "/v2/runs/%s%s", job->id, what == 'a' ? "/abort" : "");
    if (what == 's')
        net_call(nodes[node].port, "POST", "/v2/runs", job_body(job), 5000, finish_request,
                  request);
    else
        net_call(nodes[node].port, what == 'a' ? "POST" : "GET", path, NULL,
                  what == 'a' ? 5000 : 2000, finish_request, request);
}

static int wait_for_request(int node, job_t *job, char what)
{
    int status = -1;
    send_user_request(node, job, what, &status);
    while (status < 0)
        net_run(5);
    return status;
}

int stage_submit(int node, job_t *job)
{
    return wait_for_request(node, job, 's');
}

int stage_abort(int node, job_t *job)
{
    return wait_for_request(node, job, 'a');
}

int stage_poll(int node, job_t *job)
{
    return wait_for_request(node, job, 'p');
}

void user_submit_later(int node, job_t *job)
{
    send_user_request(node, job, 's', NULL);
}

void user_abort_later(int node, job_t *job)
{
    send_user_request(node, job, 'a', NULL);
}

void user_poll_later(int node, job_t *job)
{
    send_user_request(node, job, 'p', NULL);
}

__attribute__((constructor)) static void begin(void)
{
    net_after(500, tick_cancelled, NULL);
    net_after(500, tick_waits, NULL);
}
