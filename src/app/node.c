/* A node as a whole: its making, its threads, its view. */
#include "app/node.h"

#include "app/threads.h"
#include "io/clock.h"
#include "log.h"

static void known_job_free(gpointer data)
{
    known_job_t *job = data;
    job_spec_clear(&job->spec);
    g_free(job);
}

/* The key-value store's limits are for all of us together: shares follow the number of members. */
static void share_rate_limits(node_t *node, guint members)
{
    const settings_t *settings = node->settings;
    double partition_share = MIN(PARTITION_WRITE_FRACTION, PARTITIONS_WRITE_FRACTION / members);
    rate_limiter_set_rate(&node->core_rps,
                          settings->kv_rps * MIN(CORE_RPS_FRACTION, CORES_RPS_FRACTION / members));
    rate_limiter_set_rate(&node->core_write,
                          settings->kv_write_rps *
                              (node->is_leader ? LEADER_WRITE_FRACTION : partition_share));
    rate_limiter_set_rate(&node->api_rps,
                          settings->kv_rps * MIN(API_RPS_FRACTION, APIS_RPS_FRACTION / members));
    rate_limiter_set_rate(&node->api_write,
                          settings->kv_write_rps *
                              MIN(API_WRITE_FRACTION, APIS_WRITE_FRACTION / members));
}

static void init_limiters(node_t *node, msec_t now)
{
    const settings_t *settings = node->settings;
    rate_limiter_init(&node->core_rps, settings->kv_rps * CORE_RPS_FRACTION, now);
    rate_limiter_init(&node->core_write, settings->kv_write_rps * PARTITION_WRITE_FRACTION, now);
    rate_limiter_init(&node->api_rps, settings->kv_rps * API_RPS_FRACTION, now);
    rate_limiter_init(&node->api_write, settings->kv_write_rps * API_WRITE_FRACTION, now);
    share_rate_limits(node, settings->siblings->len + 1);
}

/* Waits end by the steady clock. */
static void init_conditions(node_t *node)
{
    pthread_condattr_t steady;
    pthread_condattr_init(&steady);
    pthread_condattr_setclock(&steady, CLOCK_MONOTONIC);
    pthread_cond_init(&node->placement_ready, &steady);
    for (guint i = 0; i < DISPATCHERS_COUNT; i++)
        pthread_cond_init(&node->dispatcher_ready[i], &steady);
    pthread_cond_init(&node->clients, &steady);
    pthread_cond_init(&node->members, &steady);
    pthread_cond_init(&node->inquiries, &steady);
    pthread_cond_init(&node->peer_work, &steady);
    pthread_cond_init(&node->relay, &steady);
    pthread_cond_init(&node->cloud_work, &steady);
    pthread_cond_init(&node->cancellation, &steady);
    pthread_cond_init(&node->requests_blocked, &steady);
    pthread_condattr_destroy(&steady);
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
    kv_store_init(&node->kv_store, settings->kv_store_address);
    init_limiters(node, now);
    for (guint i = 0; i < API_CLIENTS_COUNT; i++)
        node->api_clients[i] = http_client_new(1);
    node->api_clients_free = API_CLIENTS_COUNT;
    node->idle_dispatchers = (1U << DISPATCHERS_COUNT) - 1;
    pthread_mutex_init(&node->lock, NULL);
    init_conditions(node);
    node->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, known_job_free);
    job_counts_replica_init(&node->job_counts);
    node->machine_types = g_array_new(FALSE, FALSE, sizeof(machine_type_t));
    node->terminal_states = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    node->channels = g_ptr_array_new();
    node->own_index = G_MAXUINT;
    node->last_observed_at = now;
    node->redirection = redirection_new();
    node->terminal_jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    node->terminal_job_order = g_queue_new();
    pthread_mutex_init(&node->requests_lock, NULL);
    pthread_cond_init(&node->requests_come, NULL);
    request_queue_init(&node->requests, REQUESTS_WAITING_COUNT);
    return node;
}

bool node_start(node_t *node)
{
    threads_start("view", view_run, node);
    threads_start("member", member_run, node);
    threads_start("peer_client", peer_client_run, node);
    threads_start("peer_server", peer_server_run, node);
    threads_start("relay", relay_run, node);
    peer_heartbeat_start(node);
    threads_start("stall_detector", stall_detector_run, node);
    threads_start("job_watch", job_watch_run, node);
    threads_start("placement", placement_loop_run, node);
    threads_start("cloud", cloud_run, node);
    return api_start(node);
}

void node_notify_placement(node_t *node)
{
    pthread_cond_signal(&node->placement_ready);
}

void node_notify_dispatchers(node_t *node)
{
    if (!node->is_loaded)
        return;
    uint32_t dispatchers = partition_due_dispatchers(node->partition, clock_steady());
    uint32_t chosen = dispatchers & node->idle_dispatchers;
    uint32_t others = node->idle_dispatchers & ~chosen;
    /* A busy sender may be held up by a machine that hangs. */
    for (uint32_t busy = dispatchers & ~chosen; busy && others; busy &= busy - 1) {
        chosen |= others & -others;
        others &= others - 1;
    }
    for (guint i = 0; i < DISPATCHERS_COUNT; i++)
        if (chosen >> i & 1)
            dispatcher_notify(node, i);
}

void node_wait(node_t *node, pthread_cond_t *cond, msec_t ms)
{
    msec_t until = clock_steady() + ms;
    struct timespec at = {.tv_sec = until / MS_PER_S, .tv_nsec = until % MS_PER_S * NS_PER_MS};
    pthread_cond_timedwait(cond, &node->lock, &at);
}

msec_t node_paced(const node_t *node, msec_t ms)
{
    return (msec_t)((double)ms * node->settings->pace);
}

void node_sleep(msec_t ms)
{
    struct timespec left = {.tv_sec = ms / MS_PER_S, .tv_nsec = ms % MS_PER_S * NS_PER_MS};
    nanosleep(&left, NULL);
}

void node_watch(node_t *node, bool (*read)(node_t *, http_client_t *, uint64_t *),
                kv_result_t (*watch_changes)(node_t *, http_client_t *, uint64_t *))
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
        kv_result_t result = watch_changes(node, client, &revision);
        if (result == KV_COMPACTED)
            synced = false;
        else if (result != KV_OK)
            node_sleep(ELECT_POLL_MS);
    }
}

static void drop_channels(node_t *node)
{
    for (guint i = 0; i < node->channels->len; i++)
        if (g_ptr_array_index(node->channels, i))
            channel_free(g_ptr_array_index(node->channels, i));
    g_ptr_array_set_size(node->channels, 0);
    for (guint i = 0; i < MEMBERS_MAX_COUNT; i++) {
        summary_replica_clear(&node->summary_replicas[i]);
        node->summaries_wait[i] = false;
    }
    g_clear_pointer(&node->leader_channel, channel_free);
}

/* What we counted as the leader is told until another's counts, or our own next ones, are here. */
static void keep_own_counts(node_t *node)
{
    job_counts_update_t all = leader_counts(node->leader, 0, 0, G_MAXUINT);
    job_counts_replica_apply(&node->job_counts, &all);
    job_counts_update_clear(&all);
}

void node_install_view(node_t *node, const view_t *view)
{
    if (view->revision <= node->view.revision)
        return;
    /* Workers retained here because they could not reach a former owner go to the new ones: the
     * leader takes a machine that nobody hears for dead. */
    if (view->incarnation != node->view.incarnation || !election_same_members(view, &node->view))
        redirection_clear(node->redirection, view->number, clock_steady());
    if (node->is_leader && node->is_loaded)
        keep_own_counts(node);
    node->view = *view;
    bool was_leading = node->is_leader;
    node->is_leader = view->incarnation == node->incarnation;
    if (!was_leading)
        node->leader_since_at = clock_steady();
    if (!was_leading && node->is_leader && node->autoscaler)
        autoscaler_begin_leadership(node->autoscaler);
    node->is_loaded = false;
    node->generation++;
    node->own_index = G_MAXUINT;
    node->leader_index = 0;
    drop_channels(node);
    for (guint i = 0; i < view->count; i++) {
        if (view->members[i].incarnation == node->incarnation)
            node->own_index = i;
        if (view->members[i].incarnation == view->incarnation)
            node->leader_index = i;
        node->member_received_at[i] = clock_steady();
        g_ptr_array_add(node->channels, node->is_leader ? channel_new() : NULL);
    }
    node->leader_channel = channel_new();
    share_rate_limits(node, MAX(view->count, 1));
    metrics_count(node->metrics, COUNT_VIEWS, 1);
    log_info("event=view_installed view=%" G_GUINT64_FORMAT " leader=%s members=%u own=%d",
             view->number, view->leader, view->count,
             node->own_index == G_MAXUINT ? -1 : (int)node->own_index);
    node_notify_placement(node);
    pthread_cond_broadcast(&node->members);
    pthread_cond_broadcast(&node->peer_work);
}

guint node_owner(const node_t *node, const char *machine, const char *zone)
{
    return owner_of(node->view.members, node->view.count, machine, zone);
}
