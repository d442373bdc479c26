#include "core/membership/redirection.h"

#include <string.h>

typedef struct redirected_worker {
    msec_t redirected_at;
    msec_t retained_until; /* 0: not retained */
    bool waits_for_probe;  /* retained for what others met, not for a try of its own */
    msec_t seen;
    msec_t reached; /* when it showed last that an answer of ours arrived */
    uint64_t worker_epoch;
    uint64_t heartbeat_sequence;
} redirected_worker_t;

/* A controller that workers of this view were sent to. */
typedef struct owner {
    char probe[ID_BYTES]; /* the machine that tries it */
    msec_t tried;
    msec_t missed; /* when one came back last */
} owner_t;

struct redirection {
    GHashTable *machines;   /* id -> redirected_worker_t, owned */
    GHashTable *owners;     /* name -> owner_t, owned */
    uint64_t fencing_token; /* of the view that made these owners */
    msec_t cleared;
};

redirection_t *redirection_new(void)
{
    redirection_t *redirection = g_new0(redirection_t, 1);
    redirection->machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    redirection->owners = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return redirection;
}

void redirection_free(redirection_t *redirection)
{
    g_hash_table_unref(redirection->machines);
    g_hash_table_unref(redirection->owners);
    g_free(redirection);
}

void redirection_clear(redirection_t *redirection, uint64_t fencing_token, msec_t now)
{
    redirection->fencing_token = fencing_token;
    redirection->cleared = now;
    g_hash_table_remove_all(redirection->machines);
}

static redirected_worker_t *find(redirection_t *redirection, const char *machine)
{
    redirected_worker_t *worker = g_hash_table_lookup(redirection->machines, machine);
    if (!worker) {
        worker = g_new0(redirected_worker_t, 1);
        worker->redirected_at = worker->seen = worker->reached = -REDIRECTION_FORGET_MS;
        g_hash_table_insert(redirection->machines, g_strdup(machine), worker);
    }
    return worker;
}

static owner_t *find_owner(redirection_t *redirection, const char *name)
{
    owner_t *owner = g_hash_table_lookup(redirection->owners, name);
    if (!owner) {
        owner = g_new0(owner_t, 1);
        owner->tried = owner->missed = -REDIRECTION_FORGET_MS;
        g_hash_table_insert(redirection->owners, g_strdup(name), owner);
    }
    return owner;
}

/* Until when the worker is to be retained although it did not come back from its owner itself; 0:
 * it is to try. */
static msec_t spared_until(owner_t *owner, const char *machine, bool is_grace_over,
                           bool is_owner_reachable, msec_t now)
{
    if (is_owner_reachable)
        return 0;
    if (now - owner->missed < RETAIN_MS)
        return owner->missed + RETAIN_MS;
    if (!is_grace_over)
        return 0;
    if (now - owner->tried < REDIRECT_PROBE_MS && strcmp(owner->probe, machine) != 0)
        return owner->tried + REDIRECT_PROBE_MS;
    /* A probe that stayed away for so long is with its owner, and the others may follow. */
    if (now - owner->tried >= 2 * (msec_t)REDIRECT_PROBE_MS) {
        owner->tried = now;
        g_strlcpy(owner->probe, machine, sizeof owner->probe);
    }
    return 0;
}

bool redirection_owner_is_healthy(const owner_health_t *health, msec_t now)
{
    return health->answered_at > 0 && now - health->answered_at < OWNER_FRESH_MS &&
           now - health->worker_heartbeat_at < OWNER_FRESH_MS;
}

redirection_verdict_t redirection_handle_heartbeat(redirection_t *redirection,
                                                   const worker_heartbeat_t *heartbeat,
                                                   const char *name, bool is_owner_reachable,
                                                   msec_t now)
{
    if (heartbeat->fencing_token < redirection->fencing_token)
        return REDIRECTION_UNVERIFIED;
    redirected_worker_t *worker = find(redirection, heartbeat->machine);
    if (heartbeat->worker_epoch < worker->worker_epoch ||
        (heartbeat->worker_epoch == worker->worker_epoch &&
         heartbeat->heartbeat_sequence <= worker->heartbeat_sequence))
        return REDIRECTION_DUPLICATE;
    /* Without the answer that retained it here it would have waited, and turned to another
     * controller. */
    if (now < worker->retained_until && now - worker->seen < HEARTBEAT_ANSWERED_WITHIN_MS)
        worker->reached = now;
    worker->worker_epoch = heartbeat->worker_epoch;
    worker->heartbeat_sequence = heartbeat->heartbeat_sequence;
    worker->seen = now;
    if (now < worker->retained_until && !(worker->waits_for_probe && is_owner_reachable))
        return REDIRECTION_RETAINED;
    bool was_redirected = worker->retained_until == 0;
    worker->waits_for_probe = false;
    owner_t *owner = find_owner(redirection, name);
    if (was_redirected && now - worker->redirected_at < REDIRECT_PROBE_MS) {
        /* One that is back sooner was turned away, as by a controller that has just begun. */
        bool was_turned_away = now - worker->redirected_at < REDIRECT_TIMEOUT_MS;
        worker->retained_until = now + (was_turned_away ? RETAIN_REFUSED_MS : RETAIN_MS);
        if (!was_turned_away)
            owner->missed = now;
        return REDIRECTION_RETAINED;
    }
    bool is_grace_over = now - redirection->cleared >= REDIRECTION_GRACE_MS;
    worker->retained_until =
        spared_until(owner, heartbeat->machine, is_grace_over, is_owner_reachable, now);
    worker->waits_for_probe = worker->retained_until != 0;
    if (worker->waits_for_probe)
        return REDIRECTION_RETAINED;
    worker->redirected_at = now;
    return REDIRECTION_TO_OWNER;
}

void redirection_stop_ended(const worker_heartbeat_t *heartbeat, GHashTable *live_jobs,
                            GArray *commands)
{
    for (guint i = 0; i < heartbeat->attempts->len; i++) {
        const reported_attempt_t *reported_attempt =
            &g_array_index(heartbeat->attempts, reported_attempt_t, i);
        if (reported_attempt->state == TASK_EXITED ||
            g_hash_table_contains(live_jobs, reported_attempt->job))
            continue;
        worker_command_t command = {.op = COMMAND_STOP,
                                    .task = reported_attempt->task,
                                    .attempt = reported_attempt->attempt};
        g_strlcpy(command.job, reported_attempt->job, sizeof command.job);
        g_array_append_val(commands, command);
    }
}

GPtrArray *redirection_retained(redirection_t *redirection, msec_t now)
{
    GPtrArray *retained = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer id;
    gpointer value;
    g_hash_table_iter_init(&iter, redirection->machines);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        const redirected_worker_t *worker = value;
        if (now - worker->seen > REDIRECTION_FORGET_MS)
            g_hash_table_iter_remove(&iter);
        else if (now < worker->retained_until && now - worker->reached < RETAINED_FRESH_MS)
            g_ptr_array_add(retained, g_strdup(id));
    }
    return retained;
}

void redirection_add_retained(redirection_t *redirection, msec_t now, GHashTable *ids)
{
    GPtrArray *retained = redirection_retained(redirection, now);
    for (guint i = 0; i < retained->len; i++)
        g_hash_table_add(ids, g_strdup(g_ptr_array_index(retained, i)));
    g_ptr_array_unref(retained);
}
