#include "core/membership/redirection.h"

#include "core/membership/fencing_token.h"

#include <string.h>

typedef struct redirected_worker {
    msec_t redirected_at;         /* when it was last redirected to its owner */
    msec_t retained_until;        /* 0: not retained */
    bool is_waiting_for_probe;    /* retained because of a probe or because others could not reach
                                     the owner, not because it returned itself */
    msec_t heartbeat_received_at; /* when its last heartbeat arrived */
    msec_t answer_delivered_at;   /* when a heartbeat last showed that an answer had arrived */
    uint64_t worker_epoch;
    uint64_t heartbeat_sequence;
} redirected_worker_t;

/* A controller to which workers are redirected. */
typedef struct owner {
    char probe_machine[ID_BYTES]; /* id of the machine of the last probe */
    msec_t probed_at;             /* when the probe was redirected */
    msec_t unreachable_at;        /* when a worker last returned without an answer from the owner */
} owner_t;

struct redirection {
    GHashTable *machines; /* machine id (char *, owned) -> redirected_worker_t *, owned */
    GHashTable *owners;   /* owner's name (char *, owned) -> owner_t *, owned */
    uint64_t view;        /* number of the view that assigned these owners */
    msec_t cleared_at;    /* when that view was installed */
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

void redirection_reset(redirection_t *redirection, uint64_t view, msec_t now)
{
    redirection->view = view;
    redirection->cleared_at = now;
    g_hash_table_remove_all(redirection->machines);
}

/* Returns the worker's entry, and creates it if there is none. */
static redirected_worker_t *ensure_worker(redirection_t *redirection, const char *machine)
{
    redirected_worker_t *worker = g_hash_table_lookup(redirection->machines, machine);
    if (!worker) {
        worker = g_new0(redirected_worker_t, 1);
        worker->redirected_at = -REDIRECTION_FORGET_MS;
        worker->heartbeat_received_at = -REDIRECTION_FORGET_MS;
        worker->answer_delivered_at = -REDIRECTION_FORGET_MS;
        g_hash_table_insert(redirection->machines, g_strdup(machine), worker);
    }
    return worker;
}

/* Returns the owner's entry, and creates it if there is none. */
static owner_t *ensure_owner(redirection_t *redirection, const char *name)
{
    owner_t *owner = g_hash_table_lookup(redirection->owners, name);
    if (!owner) {
        owner = g_new0(owner_t, 1);
        owner->probed_at = -REDIRECTION_FORGET_MS;
        owner->unreachable_at = -REDIRECTION_FORGET_MS;
        g_hash_table_insert(redirection->owners, g_strdup(name), owner);
    }
    return owner;
}

bool redirection_owner_is_healthy(const owner_health_t *health, msec_t now)
{
    return health->answered_at > 0 && now - health->answered_at < OWNER_REACHABLE_WITHIN_MS &&
           now - health->worker_heartbeat_at < OWNER_REACHABLE_WITHIN_MS;
}

static bool is_duplicate(const redirected_worker_t *worker, const worker_heartbeat_t *heartbeat)
{
    return heartbeat->worker_epoch < worker->worker_epoch ||
           (heartbeat->worker_epoch == worker->worker_epoch &&
            heartbeat->heartbeat_sequence <= worker->heartbeat_sequence);
}

static void record_heartbeat(redirected_worker_t *worker, const worker_heartbeat_t *heartbeat,
                             msec_t now)
{
    /* If the answer to the last heartbeat had not arrived, the worker would have waited for it and
     * then sent its next heartbeat to another controller. */
    if (now < worker->retained_until &&
        now - worker->heartbeat_received_at < HEARTBEAT_ANSWERED_WITHIN_MS)
        worker->answer_delivered_at = now;
    worker->worker_epoch = heartbeat->worker_epoch;
    worker->heartbeat_sequence = heartbeat->heartbeat_sequence;
    worker->heartbeat_received_at = now;
}

/* Retains a worker that returned after it was redirected to its owner. */
static void retain_returned(redirected_worker_t *worker, owner_t *owner, msec_t now)
{
    /* A worker waits REDIRECT_TIMEOUT_MS for an answer. If it returns sooner, the owner has
     * answered and refused it, as a controller does that has just started. */
    bool was_refused = now - worker->redirected_at < REDIRECT_TIMEOUT_MS;
    worker->retained_until = now + (was_refused ? RETAIN_REFUSED_MS : RETAIN_MS);
    if (!was_refused)
        owner->unreachable_at = now;
}

/* For a worker that has not just tried to reach the owner itself: returns the time until which it
 * is retained, or 0 if it is to be redirected. Records the worker as the owner's probe if a new
 * probe is needed. */
static msec_t retain_or_probe(owner_t *owner, const char *machine, bool is_grace_over,
                              bool is_owner_reachable, msec_t now)
{
    if (is_owner_reachable)
        return 0;
    if (now - owner->unreachable_at < RETAIN_MS)
        return owner->unreachable_at + RETAIN_MS;
    if (!is_grace_over)
        return 0;
    if (now - owner->probed_at < REDIRECT_PROBE_MS && strcmp(owner->probe_machine, machine) != 0)
        return owner->probed_at + REDIRECT_PROBE_MS;
    /* A probe that has not returned within REDIRECT_PROBE_MS has reached the owner. During the next
     * REDIRECT_PROBE_MS, the other workers may follow it. After that, a new probe is chosen. */
    if (now - owner->probed_at >= 2 * (msec_t)REDIRECT_PROBE_MS) {
        owner->probed_at = now;
        g_strlcpy(owner->probe_machine, machine, sizeof owner->probe_machine);
    }
    return 0;
}

redirection_verdict_t redirection_handle_heartbeat(redirection_t *redirection,
                                                   const worker_heartbeat_t *heartbeat,
                                                   const char *owner_name, bool is_owner_reachable,
                                                   msec_t now)
{
    if (fencing_token_view(heartbeat->fencing_token) < redirection->view)
        return REDIRECTION_UNVERIFIED;
    redirected_worker_t *worker = ensure_worker(redirection, heartbeat->machine);
    if (is_duplicate(worker, heartbeat))
        return REDIRECTION_DUPLICATE;
    record_heartbeat(worker, heartbeat, now);
    if (now < worker->retained_until && !(worker->is_waiting_for_probe && is_owner_reachable))
        return REDIRECTION_RETAINED;
    bool was_redirected = worker->retained_until == 0;
    worker->is_waiting_for_probe = false;
    owner_t *owner = ensure_owner(redirection, owner_name);
    if (was_redirected && now - worker->redirected_at < REDIRECT_PROBE_MS) {
        retain_returned(worker, owner, now);
        return REDIRECTION_RETAINED;
    }
    bool is_grace_over = now - redirection->cleared_at >= REDIRECTION_GRACE_MS;
    worker->retained_until =
        retain_or_probe(owner, heartbeat->machine, is_grace_over, is_owner_reachable, now);
    worker->is_waiting_for_probe = worker->retained_until != 0;
    if (worker->is_waiting_for_probe)
        return REDIRECTION_RETAINED;
    worker->redirected_at = now;
    return REDIRECTION_TO_OWNER;
}

void redirection_append_stops(const worker_heartbeat_t *heartbeat, GHashTable *live_jobs,
                              GArray *commands)
{
    for (guint i = 0; i < heartbeat->attempts->len; i++) {
        const reported_attempt_t *attempt =
            &g_array_index(heartbeat->attempts, reported_attempt_t, i);
        if (attempt->state == TASK_EXITED || g_hash_table_contains(live_jobs, attempt->job))
            continue;
        worker_command_t command = {.op = COMMAND_STOP,
                                    .task = attempt->task,
                                    .attempt = attempt->attempt,
                                    .reason = REASON_JOB_ENDED};
        g_strlcpy(command.job, attempt->job, sizeof command.job);
        g_array_append_val(commands, command);
    }
}

GPtrArray *redirection_list_retained(redirection_t *redirection, msec_t now)
{
    GPtrArray *retained = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer id;
    gpointer value;
    g_hash_table_iter_init(&iter, redirection->machines);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        const redirected_worker_t *worker = value;
        if (now - worker->heartbeat_received_at > REDIRECTION_FORGET_MS)
            g_hash_table_iter_remove(&iter);
        else if (now < worker->retained_until &&
                 now - worker->answer_delivered_at < RETAINED_FRESH_MS)
            g_ptr_array_add(retained, g_strdup(id));
    }
    return retained;
}

void redirection_add_retained(redirection_t *redirection, msec_t now, GHashTable *ids)
{
    g_autoptr(GPtrArray) retained = redirection_list_retained(redirection, now);
    for (guint i = 0; i < retained->len; i++)
        g_hash_table_add(ids, g_strdup(g_ptr_array_index(retained, i)));
}
