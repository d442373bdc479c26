#include "services.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

typedef struct change {
    char *key;
    json_t *value; /* NULL: deleted */
    uint64_t revision;
} change_t;

/* A daemon's own: the service, and which port. */
typedef struct door {
    services_t *services;
    guint port;
} door_t;

typedef struct answer {
    unsigned status; /* 0: no answer */
    json_t *body;
} answer_t;

/* Below the range from which the system takes the ports of outgoing connections: one of those would
 * otherwise have taken it before it is listened on. */
enum { PORT_FIRST = 20000, PORT_COUNT = 10000 };

uint16_t services_free_port(void)
{
    static uint32_t next;
    if (!next)
        next = arc4random_uniform(PORT_COUNT);
    for (guint tries = 0; tries < PORT_COUNT; tries++) {
        uint16_t port = (uint16_t)(PORT_FIRST + next++ % PORT_COUNT);
        struct sockaddr_in address = {.sin_family = AF_INET,
                                      .sin_port = htons(port),
                                      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        bool free_now = fd >= 0 && bind(fd, (struct sockaddr *)&address, sizeof address) == 0;
        if (fd >= 0)
            close(fd);
        if (free_now)
            return port;
    }
    abort();
}

static answer_t plain(unsigned status, json_t *body)
{
    return (answer_t){status, body};
}

static json_t *build_entry(const kv_entry_t *entry)
{
    return json_pack("{s:s,s:O,s:I}", "K", entry->key, "Value", entry->value, "Stamp",
                     (json_int_t)entry->revision);
}

static answer_t get_key(services_t *services, const char *key)
{
    const kv_entry_t *entry = fake_kv_store_get(services->store, key);
    return entry ? plain(200, build_entry(entry))
                 : plain(404, json_pack("{s:I}", "Logline", (json_int_t)services->store->revision));
}

static gint compare_keys(gconstpointer left, gconstpointer right)
{
    return strcmp((*(kv_entry_t *const *)left)->key, (*(kv_entry_t *const *)right)->key);
}

static answer_t list_keys(services_t *services, const char *prefix)
{
    GPtrArray *found = g_ptr_array_new();
    GHashTableIter iter;
    gpointer key;
    gpointer entry;
    g_hash_table_iter_init(&iter, services->store->keys);
    while (g_hash_table_iter_next(&iter, &key, &entry))
        if (g_str_has_prefix(key, prefix))
            g_ptr_array_add(found, entry);
    g_ptr_array_sort(found, compare_keys);
    json_t *entries = json_array();
    for (guint i = 0; i < found->len; i++)
        json_array_append_new(entries, build_entry(g_ptr_array_index(found, i)));
    g_ptr_array_unref(found);
    return plain(200, json_pack("{s:o,s:b,s:I}", "Entries", entries, "More", 0, "Logline",
                                (json_int_t)services->store->revision));
}

static json_t *news_since(const services_t *services, const char *prefix, uint64_t since)
{
    json_t *news = json_array();
    for (guint i = 0; i < services->news->len && !services->mute; i++) {
        const change_t *change = &g_array_index(services->news, change_t, i);
        if (change->revision <= since || !g_str_has_prefix(change->key, prefix))
            continue;
        json_t *item = change->value
                           ? json_pack("{s:s,s:O,s:I}", "Set", change->key, "Value", change->value,
                                       "Stamp", (json_int_t)change->revision)
                           : json_pack("{s:s,s:I}", "Delete", change->key, "Stamp",
                                       (json_int_t)change->revision);
        json_array_append_new(news, item);
    }
    return news;
}

/* With the lock held, which is given up while nothing changes. */
static answer_t watch_changes(services_t *services, const char *prefix, uint64_t since,
                              guint block_ms)
{
    struct timespec until;
    clock_gettime(CLOCK_REALTIME, &until);
    until.tv_sec += block_ms / 1000;
    json_t *news = news_since(services, prefix, since);
    while (json_array_size(news) == 0 &&
           pthread_cond_timedwait(&services->changed, &services->lock, &until) == 0) {
        json_decref(news);
        news = news_since(services, prefix, since);
    }
    return plain(200, json_pack("{s:o,s:I}", "News", news, "Logline",
                                (json_int_t)services->store->revision));
}

static json_t *failed_keys(const services_t *services, const json_t *conditions)
{
    json_t *failed = json_array();
    size_t i;
    json_t *condition;
    json_array_foreach(conditions, i, condition)
    {
        const char *key = json_string_value(json_object_get(condition, "K"));
        if (fake_kv_store_revision(services->store, key) !=
            (uint64_t)json_integer_value(json_object_get(condition, "Stamp")))
            json_array_append_new(failed, json_string(key));
    }
    return failed;
}

/* Whether the key was the one whose answer is to be lost. */
static bool is_swallowed(services_t *services, const char *key)
{
    if (g_strcmp0(services->swallow, key) != 0)
        return false;
    g_clear_pointer(&services->swallow, g_free);
    return true;
}

/* With the lock held; consumes the transaction. */
static answer_t transact(services_t *services, kv_txn_t txn)
{
    json_t *failed = failed_keys(services, txn.conditions);
    json_t *changes = json_incref(txn.changes);
    bool swallowed = false;
    size_t i;
    json_t *item;
    if (fake_kv_store_apply(services->store, txn) == KV_OK) {
        json_decref(failed);
        json_array_foreach(changes, i, item)
        {
            const char *set = json_string_value(json_object_get(item, "Set"));
            change_t change = {.revision = services->store->revision};
            change.key = g_strdup(set ? set : json_string_value(json_object_get(item, "Delete")));
            change.value = set ? json_incref(json_object_get(item, "Value")) : NULL;
            g_array_append_val(services->news, change);
            swallowed = is_swallowed(services, change.key) || swallowed;
        }
        json_decref(changes);
        if (services->lose_each && ++services->carried_out % services->lose_each == 0)
            swallowed = true;
        pthread_cond_broadcast(&services->changed);
        json_t *body = json_pack("{s:I}", "Logline", (json_int_t)services->store->revision);
        return plain(swallowed ? 0 : 200, body);
    }
    json_decref(changes);
    return plain(409, json_pack("{s:o,s:I}", "failed", failed, "Logline",
                                (json_int_t)services->store->revision));
}

static const char *query(struct MHD_Connection *connection, const char *name)
{
    const char *value = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);
    return value ? value : "";
}

/* Whether the request is about one job, or some: not a list of all, nor the leader's other
 * business.
 */
static bool is_for_users(const char *path, const json_t *body)
{
    if (strcmp(path, "/txn") == 0) {
        const json_t *first = json_array_get(json_object_get(body, "If"), 0);
        const char *key = json_string_value(json_object_get(first, "K"));
        return key && (g_str_has_prefix(key, "jobs/") || g_str_has_prefix(key, "ended/"));
    }
    return g_str_has_prefix(path, "/keys/jobs/") || g_str_has_prefix(path, "/keys/ended/");
}

/* With the lock held, which is given up while the service is stalled. */
static void count_for_users(services_t *services)
{
    services->asked++;
    while (services->stalled)
        pthread_cond_wait(&services->changed, &services->lock);
}

/* With the lock held. Leases last for ever: no test waits for one to end. */
static answer_t serve_state(const door_t *door, struct MHD_Connection *connection, const char *path,
                            json_t *body)
{
    services_t *services = door->services;
    if (is_for_users(path, body))
        count_for_users(services);
    if (services->refused[door->port])
        return plain(503, json_object());
    if (strcmp(path, "/txn") == 0) {
        kv_txn_t txn = {.conditions = json_incref(json_object_get(body, "If")),
                        .changes = json_incref(json_object_get(body, "Then"))};
        return transact(services, txn);
    }
    if (strcmp(path, "/keys") == 0)
        return list_keys(services, query(connection, "Under"));
    if (strcmp(path, "/follow") == 0)
        return watch_changes(services, query(connection, "Under"),
                             g_ascii_strtoull(query(connection, "Since"), NULL, 10),
                             (guint)g_ascii_strtoull(query(connection, "BlockMs"), NULL, 10));
    if (strcmp(path, "/grants") == 0)
        return plain(200, json_pack("{s:I}", "Tether", (json_int_t)++services->leases));
    if (g_str_has_prefix(path, "/grants/"))
        return plain(200, json_object());
    return g_str_has_prefix(path, "/keys/") ? get_key(services, path + strlen("/keys/"))
                                            : plain(400, json_object());
}

/* With the lock held: a cloud that has nothing to give. */
static answer_t serve_cloud(services_t *services, const char *method, const char *path)
{
    if (strcmp(path, "/flavors") == 0)
        return services->types_known
                   ? plain(200, json_loads("{\"Hulls\":[{\"Name\":\"t16\",\"Cpus\":16,"
                                           "\"Accelerators\":0,\"MemGb\":64,\"Price\":1.0,"
                                           "\"MarketPrice\":0.4,\"BootS\":20,\"Docks\":"
                                           "[\"zone-a\"]}]}",
                                           0, NULL))
                   : plain(503, json_object());
    if (strcmp(path, "/hosts") == 0 && strcmp(method, "GET") == 0)
        return plain(200, json_pack("{s:[],s:b}", "Winches", "More", 0));
    if (strcmp(path, "/hosts/release") == 0)
        return plain(200, json_object());
    return plain(503, json_pack("{s:s}", "error", "no capacity"));
}

static enum MHD_Result send_answer(struct MHD_Connection *connection, answer_t answer)
{
    char *text = json_dumps(answer.body, JSON_COMPACT);
    json_decref(answer.body);
    if (answer.status == 0) {
        free(text);
        return MHD_NO; /* closes the connection */
    }
    struct MHD_Response *response =
        MHD_create_response_from_buffer(strlen(text), text, MHD_RESPMEM_MUST_FREE);
    enum MHD_Result result = MHD_queue_response(connection, answer.status, response);
    MHD_destroy_response(response);
    return result;
}

/* Whether the request is whole; until then its body is gathered in *context. */
static bool gather(const char *upload, size_t *upload_size, void **context)
{
    GString *text = *context;
    if (!text) {
        *context = g_string_new(NULL);
        return false;
    }
    if (*upload_size == 0)
        return true;
    g_string_append_len(text, upload, (gssize)*upload_size);
    *upload_size = 0;
    return false;
}

static enum MHD_Result handle(void *data, struct MHD_Connection *connection, const char *path,
                              const char *method, const char *version, const char *upload,
                              size_t *upload_size, void **context)
{
    (void)version;
    const door_t *door = data;
    services_t *services = door->services;
    if (!gather(upload, upload_size, context))
        return MHD_YES;
    const GString *text = *context;
    json_t *body = json_loadb(text->str, text->len, 0, NULL);
    pthread_mutex_lock(&services->lock);
    answer_t answer = door->port < SERVICES_PORTS ? serve_state(door, connection, path, body)
                                                  : serve_cloud(services, method, path);
    pthread_mutex_unlock(&services->lock);
    json_decref(body);
    return send_answer(connection, answer);
}

static void completed(void *data, struct MHD_Connection *connection, void **context,
                      enum MHD_RequestTerminationCode code)
{
    (void)data;
    (void)connection;
    (void)code;
    if (*context)
        g_string_free(*context, TRUE);
    *context = NULL;
}

/* Listens on a port that the system gives. */
static uint16_t listen_anywhere(MHD_AccessHandlerCallback handler, void *data)
{
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    struct MHD_Daemon *daemon =
        MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION, 0, NULL,
                         NULL, handler, data, MHD_OPTION_SOCK_ADDR, &address,
                         MHD_OPTION_NOTIFY_COMPLETED, completed, NULL, MHD_OPTION_END);
    if (!daemon)
        abort();
    return MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

static uint16_t open_door(services_t *services, guint port)
{
    door_t *door = g_new(door_t, 1);
    *door = (door_t){services, port};
    return listen_anywhere(handle, door);
}

services_t *services_new(void)
{
    services_t *services = g_new0(services_t, 1);
    pthread_mutex_init(&services->lock, NULL);
    pthread_cond_init(&services->changed, NULL);
    services->store = fake_kv_store_new();
    services->news = g_array_new(FALSE, FALSE, sizeof(change_t));
    for (guint i = 0; i < SERVICES_PORTS; i++)
        services->state_ports[i] = open_door(services, i);
    services->cloud_port = open_door(services, SERVICES_PORTS);
    return services;
}

kv_result_t services_apply(services_t *services, kv_txn_t txn)
{
    pthread_mutex_lock(&services->lock);
    answer_t answer = transact(services, txn);
    pthread_mutex_unlock(&services->lock);
    json_decref(answer.body);
    return answer.status == 409 ? KV_CONFLICT : KV_OK;
}

uint64_t services_revision(services_t *services, const char *key)
{
    pthread_mutex_lock(&services->lock);
    uint64_t revision = fake_kv_store_revision(services->store, key);
    pthread_mutex_unlock(&services->lock);
    return revision;
}

void services_refuse(services_t *services, guint port, bool refused)
{
    pthread_mutex_lock(&services->lock);
    services->refused[port] = refused;
    pthread_mutex_unlock(&services->lock);
}

void services_swallow(services_t *services, const char *key)
{
    pthread_mutex_lock(&services->lock);
    g_free(services->swallow);
    services->swallow = g_strdup(key);
    pthread_mutex_unlock(&services->lock);
}

void services_stall(services_t *services, bool stalled)
{
    pthread_mutex_lock(&services->lock);
    services->stalled = stalled;
    pthread_cond_broadcast(&services->changed);
    pthread_mutex_unlock(&services->lock);
}

guint services_asked(services_t *services)
{
    pthread_mutex_lock(&services->lock);
    guint asked = services->asked;
    pthread_mutex_unlock(&services->lock);
    return asked;
}

void services_lose_answers(services_t *services, guint each)
{
    pthread_mutex_lock(&services->lock);
    services->lose_each = each;
    pthread_mutex_unlock(&services->lock);
}

void services_mute(services_t *services)
{
    pthread_mutex_lock(&services->lock);
    services->mute = true;
    pthread_mutex_unlock(&services->lock);
}

void services_publish_types(services_t *services)
{
    pthread_mutex_lock(&services->lock);
    services->types_known = true;
    pthread_mutex_unlock(&services->lock);
}

static json_t *build_attempt(const reported_attempt_t *reported_attempt)
{
    static const char *const states[] = {"pulling", "running", "saving", "exited"};
    static const char *const causes[] = {"", "done", "halted", "error"};
    json_t *value =
        json_pack("{s:o,s:I,s:s}", "Piece",
                  json_sprintf("%s/%u", reported_attempt->job, reported_attempt->task), "Heave",
                  (json_int_t)reported_attempt->attempt, "Trim", states[reported_attempt->state]);
    if (reported_attempt->state == TASK_EXITED)
        json_object_set_new(value, "Cause", json_string(causes[reported_attempt->cause]));
    return value;
}

/* With the lock held. */
static json_t *build_heartbeat(fake_machine_t *machine)
{
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(machine->worker);
    json_t *attempts = json_array();
    for (guint i = 0; i < heartbeat.attempts->len; i++)
        json_array_append_new(
            attempts, build_attempt(&g_array_index(heartbeat.attempts, reported_attempt_t, i)));
    json_t *body =
        json_pack("{s:s,s:o,s:s,s:s,s:b,s:I,s:I,s:I,s:o}", "Winch", heartbeat.machine, "Address",
                  json_sprintf("127.0.0.1:%u", machine->port), "Hull", heartbeat.type, "Dock",
                  heartbeat.zone, "Driftwood", 1, "Watch", (json_int_t)heartbeat.worker_epoch,
                  "Tally", (json_int_t)heartbeat.heartbeat_sequence, "Helm",
                  (json_int_t)heartbeat.fencing_token, "Pieces", attempts);
    worker_heartbeat_clear(&heartbeat);
    return body;
}

static GArray *parse_commands(const json_t *body)
{
    static const char *const names[] = {"run", "stop", "forget"};
    GArray *commands = g_array_new(FALSE, TRUE, sizeof(worker_command_t));
    size_t i;
    json_t *value;
    json_array_foreach(json_object_get(body, "Calls"), i, value)
    {
        worker_command_t command = {
            .attempt = (uint64_t)json_integer_value(json_object_get(value, "Heave"))};
        const char *name = json_string_value(json_object_get(value, "Call"));
        char **reported_attempt =
            g_strsplit(json_string_value(json_object_get(value, "Piece")), "/", 2);
        for (guint op = 0; op < G_N_ELEMENTS(names); op++)
            if (strcmp(names[op], name) == 0)
                command.op = (worker_command_op_t)op;
        g_strlcpy(command.job, reported_attempt[0], sizeof command.job);
        command.task = (uint32_t)g_ascii_strtoull(reported_attempt[1], NULL, 10);
        g_strfreev(reported_attempt);
        g_array_append_val(commands, command);
    }
    return commands;
}

static uint64_t number(const json_t *body, const char *name)
{
    return (uint64_t)json_integer_value(json_object_get(body, name));
}

static enum MHD_Result execute_push(void *data, struct MHD_Connection *connection, const char *path,
                                    const char *method, const char *version, const char *upload,
                                    size_t *upload_size, void **context)
{
    (void)path;
    (void)method;
    (void)version;
    fake_machine_t *machine = data;
    if (!gather(upload, upload_size, context))
        return MHD_YES;
    const GString *text = *context;
    json_t *body = json_loadb(text->str, text->len, 0, NULL);
    GArray *commands = parse_commands(body);
    pthread_mutex_lock(&machine->lock);
    bool executed =
        fake_worker_push(machine->worker, number(body, "Helm"), number(body, "Watch"), commands);
    json_t *heartbeat = build_heartbeat(machine);
    pthread_mutex_unlock(&machine->lock);
    g_array_unref(commands);
    json_decref(body);
    return send_answer(connection, plain(executed ? 200 : 409, heartbeat));
}

fake_machine_t *fake_machine_new(const char *id)
{
    fake_machine_t *machine = g_new0(fake_machine_t, 1);
    pthread_mutex_init(&machine->lock, NULL);
    machine->worker = fake_worker_new(id);
    machine->port = listen_anywhere(execute_push, machine);
    return machine;
}

json_t *fake_machine_heartbeat(fake_machine_t *machine)
{
    pthread_mutex_lock(&machine->lock);
    json_t *body = build_heartbeat(machine);
    pthread_mutex_unlock(&machine->lock);
    return body;
}

void fake_machine_answer(fake_machine_t *machine, const json_t *answer)
{
    GArray *commands = parse_commands(answer);
    pthread_mutex_lock(&machine->lock);
    fake_worker_answer(machine->worker, number(answer, "Helm"), commands);
    pthread_mutex_unlock(&machine->lock);
    g_array_unref(commands);
}

guint fake_machine_active(fake_machine_t *machine)
{
    pthread_mutex_lock(&machine->lock);
    guint active = fake_worker_active(machine->worker);
    pthread_mutex_unlock(&machine->lock);
    return active;
}

void fake_machine_complete(fake_machine_t *machine)
{
    pthread_mutex_lock(&machine->lock);
    for (guint i = 0; i < machine->worker->attempts->len; i++) {
        reported_attempt_t *reported_attempt =
            &g_array_index(machine->worker->attempts, reported_attempt_t, i);
        if (reported_attempt->state != TASK_EXITED)
            fake_worker_exit(machine->worker, reported_attempt->job, reported_attempt->task,
                             CAUSE_DONE);
    }
    pthread_mutex_unlock(&machine->lock);
}
