#include "app/node.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "log.h"

static void known_job_free(gpointer data)
{
    known_job_t *job = data;
    job_spec_clear(&job->spec);
    g_free(job);
}

/* The state service's limits are for all of us together: shares follow the number of members. */
static void share_rate_limits(node_t *node, guint members)
{
    const settings_t *settings = node->settings;
    double partition_share = MIN(SHARE_PARTITION_WRITE, SHARE_PARTITIONS_WRITE / members);
    rate_limiter_set_rate(&node->core_rps,
                          settings->state_rps * MIN(SHARE_CORE_RPS, SHARE_CORES_RPS / members));
    rate_limiter_set_rate(&node->core_write,
                          settings->state_write_rps *
                              (node->leading ? SHARE_LEADER_WRITE : partition_share));
    rate_limiter_set_rate(&node->api_rps,
                          settings->state_rps * MIN(SHARE_API_RPS, SHARE_APIS_RPS / members));
    rate_limiter_set_rate(&node->api_write, settings->state_write_rps *
                                                MIN(SHARE_API_WRITE, SHARE_APIS_WRITE / members));
}

node_t *node_new(const settings_t *settings, const policy_t *policy)
{
    node_t *node = g_new0(node_t, 1);
    msec_t now = clock_steady();
    node->settings = settings;
    node->policy = policy;
    node->metrics = metrics_new();
    arc4random_buf(&node->incarnation, sizeof node->incarnation);
    node->incarnation >>= 2; /* fits a signed JSON integer */
    member_t self = {.incarnation = node->incarnation};
    g_strlcpy(self.name, settings->name, sizeof self.name);
    g_strlcpy(self.zone, settings->zone, sizeof self.zone);
    election_init(&node->election, &self);
    cancellation_log_init(&node->cancellations, node->incarnation, now);
    state_init(&node->state, settings->state, now);
    rate_limiter_init(&node->core_rps, settings->state_rps * SHARE_CORE_RPS, now);
    rate_limiter_init(&node->core_write, settings->state_write_rps * SHARE_PARTITION_WRITE, now);
    rate_limiter_init(&node->api_rps, settings->state_rps * SHARE_API_RPS, now);
    rate_limiter_init(&node->api_write, settings->state_write_rps * SHARE_API_WRITE, now);
    share_rate_limits(node, settings->siblings->len + 1);
    for (guint i = 0; i < API_CLIENTS; i++)
        node->api_clients[i] = http_client_new(1);
    node->api_clients_free = API_CLIENTS;
    pthread_mutex_init(&node->lock, NULL);
    pthread_condattr_t steady;
    pthread_condattr_init(&steady);
    pthread_condattr_setclock(&steady, CLOCK_MONOTONIC);
    pthread_cond_init(&node->work, &steady);
    pthread_cond_init(&node->direct, &steady);
    pthread_cond_init(&node->clients, &steady);
    pthread_cond_init(&node->members, &steady);
    pthread_cond_init(&node->inquiries, &steady);
    pthread_cond_init(&node->peer_work, &steady);
    pthread_cond_init(&node->requests_blocked, &steady);
    pthread_condattr_destroy(&steady);
    node->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, known_job_free);
    job_counts_replica_init(&node->job_counts);
    node->machine_types = g_array_new(FALSE, FALSE, sizeof(machine_type_t));
    node->ended = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    node->channels = g_ptr_array_new();
    node->own = G_MAXUINT;
    node->pulse = now;
    node->redirection = redirection_new();
    node->gone = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    node->gone_order = g_queue_new();
    pthread_mutex_init(&node->requests_lock, NULL);
    pthread_cond_init(&node->requests_come, NULL);
    request_queue_init(&node->requests, REQUESTS_WAITING);
    return node;
}

pthread_t node_thread(void *(*run)(void *), void *data)
{
    pthread_t thread;
    pthread_attr_t attr;
    pthread_attr_init(&attr);
    pthread_attr_setstacksize(&attr, THREAD_STACK);
    if (pthread_create(&thread, &attr, run, data) != 0) {
        log_error("event=thread_failed errno=%d", errno);
        abort();
    }
    pthread_attr_destroy(&attr);
    return thread;
}

bool node_start(node_t *node)
{
    node_thread(view_run, node);
    node_thread(member_run, node);
    node_thread(peer_client_run, node);
    node_thread(peer_server_run, node);
    node_thread(relay_run, node);
    heartbeat_start(node);
    node_thread(pulse_run, node);
    node_thread(follow_run, node);
    node_thread(placer_run, node);
    node_thread(cloud_run, node);
    for (guint i = 0; i < SENDERS; i++)
        node_thread(sender_run, node);
    return api_start(node);
}

void node_notify(node_t *node)
{
    pthread_cond_signal(&node->work);
}

void node_wait(node_t *node, pthread_cond_t *cond, msec_t ms)
{
    msec_t until = clock_steady() + ms;
    struct timespec at = {.tv_sec = until / 1000, .tv_nsec = until % 1000 * 1000000};
    pthread_cond_timedwait(cond, &node->lock, &at);
}

void node_sleep(msec_t ms)
{
    struct timespec left = {.tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000};
    nanosleep(&left, NULL);
}

void node_follow(node_t *node, bool (*read)(node_t *, http_client_t *, uint64_t *),
                 state_result_t (*follow)(node_t *, http_client_t *, uint64_t *))
{
    http_client_t *client = http_client_new(2);
    uint64_t revision = 0;
    bool synced = false;
    for (;;) {
        if (!synced) {
            synced = read(node, client, &revision);
            if (!synced)
                node_sleep(ELECT_POLL_MS);
            continue;
        }
        state_result_t result = follow(node, client, &revision);
        if (result == STATE_EXPIRED)
            synced = false;
        else if (result != STATE_OK)
            node_sleep(ELECT_POLL_MS);
    }
}

void node_job_set(node_t *node, const job_spec_t *spec, uint64_t revision)
{
    if (g_hash_table_contains(node->jobs, spec->id) || g_hash_table_contains(node->gone, spec->id))
        return;
    known_job_t *job = g_new0(known_job_t, 1);
    job->spec = *spec;
    job->spec.types = g_strdupv(spec->types);
    job->revision = revision;
    g_hash_table_insert(node->jobs, job->spec.id, job);
    if (node->loaded && node->leading)
        leader_add_job(node->leader, spec, revision);
    node_notify(node);
}

static void remember_gone(node_t *node, const char *id)
{
    if (g_hash_table_contains(node->gone, id))
        return;
    if (g_queue_get_length(node->gone_order) >= GONE_JOBS_MAX)
        g_hash_table_remove(node->gone, g_queue_pop_head(node->gone_order));
    char *copy = g_strdup(id);
    g_hash_table_add(node->gone, copy);
    g_queue_push_tail(node->gone_order, copy);
}

void node_job_gone(node_t *node, const char *id)
{
    remember_gone(node, id);
    if (node->partition)
        partition_end_job(node->partition, id);
    if (node->leader)
        leader_end_job(node->leader, id);
    job_counts_replica_remove(&node->job_counts, id);
    g_hash_table_remove(node->jobs, id);
    pthread_cond_broadcast(&node->direct);
    node_notify(node);
}

void node_remember(node_t *node, const char *id, bool done)
{
    /* Noted for the siblings before another thread can find it, or this one can tell it. */
    if (!done)
        cancellation_log_append(&node->cancellations, id, clock_steady());
    if (g_hash_table_size(node->ended) >= ENDED_CACHE)
        g_hash_table_remove_all(node->ended);
    g_hash_table_insert(node->ended, g_strdup(id),
                        GINT_TO_POINTER(done ? ENDED_DONE : ENDED_CANCELLED));
    /* The change in jobs/ may never come here: in an outage that began just after the commit this
     * node alone went on running what it had cancelled. */
    if (!g_hash_table_contains(node->gone, id))
        node_job_gone(node, id);
}

static void drop_channels(node_t *node)
{
    for (guint i = 0; i < node->channels->len; i++)
        if (g_ptr_array_index(node->channels, i))
            channel_free(g_ptr_array_index(node->channels, i));
    g_ptr_array_set_size(node->channels, 0);
    g_clear_pointer(&node->leader_channel, channel_free);
}

/* What we counted as the leader is told until another's counts, or our own next ones, are here. */
static void keep_own_counts(node_t *node)
{
    job_counts_update_t all = leader_counts(node->leader, 0, 0, G_MAXUINT);
    job_counts_replica_apply(&node->job_counts, &all);
    job_counts_update_clear(&all);
}

void node_adopt(node_t *node, const view_t *view)
{
    if (view->revision <= node->view.revision)
        return;
    /* Workers retained here because they could not reach a former owner go to the new ones: the
     * leader takes a machine that nobody hears for dead. */
    if (view->incarnation != node->view.incarnation || !election_same_members(view, &node->view))
        redirection_clear(node->redirection, view->number, clock_steady());
    if (node->leading && node->loaded)
        keep_own_counts(node);
    node->view = *view;
    bool led = node->leading;
    node->leading = view->incarnation == node->incarnation;
    if (!led)
        node->leading_since = clock_steady();
    if (!led && node->leading && node->rental)
        rental_begin(node->rental);
    node->loaded = false;
    node->generation++;
    node->own = G_MAXUINT;
    node->leader_index = 0;
    drop_channels(node);
    for (guint i = 0; i < view->count; i++) {
        if (view->members[i].incarnation == node->incarnation)
            node->own = i;
        if (view->members[i].incarnation == view->incarnation)
            node->leader_index = i;
        node->received_at[i] = clock_steady();
        g_ptr_array_add(node->channels, node->leading ? channel_new() : NULL);
    }
    node->leader_channel = channel_new();
    share_rate_limits(node, MAX(view->count, 1));
    metrics_count(node->metrics, COUNT_VIEWS, 1);
    log_info("event=view view=%" G_GUINT64_FORMAT " leader=%s members=%u own=%d", view->number,
             view->leader, view->count, node->own == G_MAXUINT ? -1 : (int)node->own);
    node_notify(node);
    pthread_cond_broadcast(&node->members);
    pthread_cond_broadcast(&node->peer_work);
}

guint node_owner(const node_t *node, const char *machine, const char *zone)
{
    return owner_of(node->view.members, node->view.count, machine, zone);
}

GArray *node_summaries(const node_t *node, msec_t now)
{
    GArray *summaries = g_array_new(FALSE, FALSE, sizeof(machine_summary_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, node->partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const machine_t *machine = value;
        if (machine->gone)
            continue;
        machine_summary_t summary = {.spot = machine->spot,
                                     .open = partition_is_reached(node->partition, machine, now) &&
                                             machine->is_capacity_known && !machine->draining &&
                                             !machine->reclaim_at,
                                     .draining = machine->draining,
                                     .total = machine->capacity,
                                     .free = partition_free_resources(machine),
                                     .attempts = machine->attempts->len,
                                     .silent_ms = now - machine->reached,
                                     .idle_ms = now - machine->idle_since,
                                     .known_ms = now - machine->first_seen};
        g_strlcpy(summary.machine, machine->id, sizeof summary.machine);
        g_strlcpy(summary.type, machine->type, sizeof summary.type);
        g_strlcpy(summary.zone, machine->zone, sizeof summary.zone);
        g_array_append_val(summaries, summary);
    }
    return summaries;
}

GArray *node_yielding(const node_t *node)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(double));
    for (guint i = 0; i < node->settings->teams->len; i++) {
        double cpus = partition_yielding(node->partition,
                                         g_array_index(node->settings->teams, team_t, i).name);
        g_array_append_val(list, cpus);
    }
    return list;
}

void node_send(node_t *node, guint partition, channel_item_t item)
{
    if (partition == node->own) {
        node_handle_item(node, &item, clock_steady());
        g_strfreev(item.request.types);
    } else if (partition < node->channels->len && g_ptr_array_index(node->channels, partition)) {
        channel_push(g_ptr_array_index(node->channels, partition), item);
        pthread_cond_broadcast(&node->peer_work);
    }
}

/* A gang's task found no room: what its partition holds for the others is freed. */
static void withdraw_gang(node_t *node, const char *job)
{
    GArray *outstanding = leader_outstanding(node->leader, job);
    for (guint i = 0; i < outstanding->len; i++) {
        const partition_attempt_t *entry = &g_array_index(outstanding, partition_attempt_t, i);
        node_send(node, entry->partition,
                  (channel_item_t){.kind = CHANNEL_WITHDRAW, .ref = entry->ref});
    }
    g_array_unref(outstanding);
}

void node_handle_result(node_t *node, guint partition, const attempt_result_t *result, msec_t now)
{
    log_debug("event=over task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s cause=%d",
              result->ref.job, result->ref.task, result->ref.attempt, result->machine,
              (int)result->cause);
    if (result->cause == CAUSE_ERROR || result->cause == CAUSE_UNKNOWN)
        log_info("event=failed task=%s/%u machine=%s cause=%d", result->ref.job, result->ref.task,
                 result->machine, (int)result->cause);
    const job_t *job = g_hash_table_lookup(node->leader->jobs, result->ref.job);
    bool refused = job && job->spec.kind == KIND_GANG && result->cause == CAUSE_FULL;
    leader_handle_result(node->leader, partition, result, now);
    if (refused)
        withdraw_gang(node, result->ref.job);
}

/* The leader itself hears at once; another's results wait for the exchange. */
static void refuse_placement(node_t *node, const placement_request_t *request, msec_t now)
{
    attempt_result_t refused = {.ref = task_ref(request->job, request->task, request->attempt),
                                .cause = CAUSE_FULL};
    if (node->leading)
        node_handle_result(node, node->own, &refused, now);
    else
        channel_push(node->leader_channel,
                     (channel_item_t){.kind = CHANNEL_ATTEMPT_RESULT, .result = refused});
}

static void handle_placement_request(node_t *node, const placement_request_t *request, msec_t now)
{
    const machine_t *machine = partition_place(node->partition, request, now);
    metrics_count(node->metrics, machine ? COUNT_PLACEMENTS : COUNT_PLACEMENTS_REFUSED, 1);
    if (!machine) {
        refuse_placement(node, request, now);
        return;
    }
    log_debug("event=place task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s", request->job,
              request->task, request->attempt, machine->id);
    node_notify(node);
}

void node_handle_item(node_t *node, const channel_item_t *item, msec_t now)
{
    machine_t *machine;
    switch (item->kind) {
    case CHANNEL_PLACEMENT_REQUEST:
        handle_placement_request(node, &item->request, now);
        break;
    case CHANNEL_ACKNOWLEDGE:
        partition_acknowledge(node->partition, &item->ref);
        node_notify(node);
        break;
    case CHANNEL_WITHDRAW:
        partition_withdraw(node->partition, &item->ref, now);
        node_notify(node);
        break;
    case CHANNEL_DRAIN:
        machine = g_hash_table_lookup(node->partition->machines, item->machine);
        if (machine)
            machine->draining = true;
        break;
    case CHANNEL_CANCEL_DRAIN:
        machine = g_hash_table_lookup(node->partition->machines, item->machine);
        if (machine)
            machine->draining = machine->gone;
        break;
    case CHANNEL_MACHINE_GONE:
        partition_machine_gone(node->partition, item->machine);
        node_notify(node);
        break;
    case CHANNEL_ATTEMPT_RESULT:
        break; /* never said by a leader */
    }
}

connectivity_t node_connectivity(const node_t *node)
{
    return (connectivity_t){.state = atomic_load(&node->state.answered_at),
                            .received_at = node->sibling_message_at,
                            .siblings = node->siblings_answered_at,
                            .lone = node->settings->siblings->len == 0};
}

static msec_t known_until(const node_t *node)
{
    return cancellation_log_known_until(&node->cancellations, node->settings->siblings->len,
                                        node->jobs_proof);
}

bool node_may_renew(const node_t *node, msec_t now)
{
    connectivity_t connectivity = node_connectivity(node);
    if (!connectivity_may_serve_workers(&connectivity, now))
        return false;
    /* A job may be cancelled at any moment through a node that reaches the state service. Its tasks
     * must be gone within cancel_s, and a worker keeps them for lease_s after our last answer: so
     * answers end this long after the last moment up to which all that users were told is known. */
    double spare = node->settings->cancel_s - node->settings->lease_s;
    return node->jobs_synced && now - known_until(node) < (msec_t)(spare * 1000) - CANCEL_MARGIN_MS;
}

void node_pulse(node_t *node, msec_t now)
{
    if (now - node->pulse > STALL_MS)
        node->woken = now;
    node->pulse = MAX(node->pulse, now);
}

bool node_may_start(node_t *node, msec_t now)
{
    node_pulse(node, now);
    msec_t known = known_until(node);
    return node->jobs_synced && known >= node->woken && now - known < RUN_KNOWN_MS;
}

bool node_may_send(node_t *node, const char *machine, uint64_t generation, const GArray *commands,
                   msec_t taken, msec_t now)
{
    if (now - taken <= STALL_MS)
        return true;
    if (node->generation == generation && node->loaded)
        partition_direct_done(node->partition, machine, commands, 0, DIRECT_WITHHELD);
    return false;
}

void *pulse_run(void *data)
{
    node_t *node = data;
    for (;;) {
        pthread_mutex_lock(&node->lock);
        node_pulse(node, clock_steady());
        pthread_mutex_unlock(&node->lock);
        node_sleep(PULSE_MS);
    }
    return NULL;
}
