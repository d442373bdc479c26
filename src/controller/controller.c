/* A controller as a whole: its making, its threads, its view. */
#include "controller/controller.h"

#include "controller/threads.h"
#include "io/clock.h"
#include "io/log.h"

static void known_job_free(gpointer data)
{
    live_job_t *job = data;
    job_spec_clear(&job->spec);
    g_free(job);
}

/* The key-value store's limits are for all of us together: shares follow the number of members. */
static void share_rate_limits(controller_t *controller, guint members)
{
    const settings_t *settings = controller->settings;
    double partition_share = MIN(PARTITION_WRITE_FRACTION, PARTITIONS_WRITE_FRACTION / members);
    rate_limiter_set_rate(&controller->core_request_limiter,
                          settings->kv_rps * MIN(CORE_RPS_FRACTION, CORES_RPS_FRACTION / members));
    rate_limiter_set_rate(&controller->core_write_limiter,
                          settings->kv_write_rps *
                              (controller->is_leader ? LEADER_WRITE_FRACTION : partition_share));
    rate_limiter_set_rate(&controller->api_request_limiter,
                          settings->kv_rps * MIN(API_RPS_FRACTION, APIS_RPS_FRACTION / members));
    rate_limiter_set_rate(&controller->api_write_limiter,
                          settings->kv_write_rps *
                              MIN(API_WRITE_FRACTION, APIS_WRITE_FRACTION / members));
}

static void init_limiters(controller_t *controller, msec_t now)
{
    const settings_t *settings = controller->settings;
    rate_limiter_init(&controller->core_request_limiter, settings->kv_rps * CORE_RPS_FRACTION, now);
    rate_limiter_init(&controller->core_write_limiter,
                      settings->kv_write_rps * PARTITION_WRITE_FRACTION, now);
    rate_limiter_init(&controller->api_request_limiter, settings->kv_rps * API_RPS_FRACTION, now);
    rate_limiter_init(&controller->api_write_limiter, settings->kv_write_rps * API_WRITE_FRACTION,
                      now);
    share_rate_limits(controller, settings->siblings->len + 1);
}

/* Waits end by the steady clock. */
static void init_conditions(controller_t *controller)
{
    pthread_condattr_t steady;
    pthread_condattr_init(&steady);
    pthread_condattr_setclock(&steady, CLOCK_MONOTONIC);
    pthread_cond_init(&controller->placement_ready, &steady);
    for (guint i = 0; i < DISPATCHERS_COUNT; i++)
        pthread_cond_init(&controller->dispatcher_ready[i], &steady);
    pthread_cond_init(&controller->api_kv_client_available, &steady);
    pthread_cond_init(&controller->membership_changed, &steady);
    pthread_cond_init(&controller->status_batch_done, &steady);
    pthread_cond_init(&controller->peer_item_available, &steady);
    pthread_cond_init(&controller->relay_ready, &steady);
    pthread_cond_init(&controller->autoscaler_ready, &steady);
    pthread_cond_init(&controller->cancellation_appended, &steady);
    pthread_cond_init(&controller->request_workers_busy, &steady);
    pthread_condattr_destroy(&steady);
}

controller_t *controller_new(const settings_t *settings, const policy_t *policy)
{
    controller_t *controller = g_new0(controller_t, 1);
    msec_t now = clock_steady();
    controller->settings = settings;
    controller->policy = policy;
    controller->metrics = metrics_new();
    arc4random_buf(&controller->incarnation, sizeof controller->incarnation);
    controller->incarnation >>= 2; /* fits a signed JSON integer */
    member_t self = {.incarnation = controller->incarnation};
    g_strlcpy(self.name, settings->name, sizeof self.name);
    g_strlcpy(self.zone, settings->zone, sizeof self.zone);
    election_init(&controller->election, &self);
    cancellation_log_init(&controller->cancellation_log, controller->incarnation, now);
    kv_store_init(&controller->kv_store, settings->kv_store_address);
    init_limiters(controller, now);
    for (guint i = 0; i < API_KV_CLIENTS_COUNT; i++)
        controller->api_kv_clients[i] = http_client_new(1);
    controller->free_api_kv_clients = API_KV_CLIENTS_COUNT;
    controller->idle_dispatchers = (1U << DISPATCHERS_COUNT) - 1;
    pthread_mutex_init(&controller->lock, NULL);
    init_conditions(controller);
    controller->live_jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, known_job_free);
    job_counts_replica_init(&controller->job_counts);
    controller->machine_types = g_array_new(FALSE, FALSE, sizeof(machine_type_t));
    controller->terminal_states = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    controller->channels = g_ptr_array_new();
    controller->own_index = G_MAXUINT;
    controller->last_observed_at = now;
    controller->redirection = redirection_new();
    controller->terminal_jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    controller->terminal_job_order = g_queue_new();
    pthread_mutex_init(&controller->request_lock, NULL);
    pthread_cond_init(&controller->request_available, NULL);
    request_queue_init(&controller->request_queue, REQUESTS_WAITING_COUNT);
    return controller;
}

bool controller_start(controller_t *controller)
{
    threads_start("view", view_run, controller);
    threads_start("member", member_run, controller);
    threads_start("peer_client", peer_client_run, controller);
    threads_start("peer_server", peer_server_run, controller);
    threads_start("relay", relay_run, controller);
    peer_heartbeat_start(controller);
    threads_start("stall_detector", stall_detector_run, controller);
    threads_start("job_watch", job_watch_run, controller);
    threads_start("placement", placement_loop_run, controller);
    threads_start("cloud", cloud_run, controller);
    return api_start(controller);
}

void controller_notify_placement(controller_t *controller)
{
    pthread_cond_signal(&controller->placement_ready);
}

void controller_notify_dispatchers(controller_t *controller)
{
    if (!controller->is_loaded)
        return;
    uint32_t dispatchers = partition_due_dispatchers(controller->partition, clock_steady());
    uint32_t chosen = dispatchers & controller->idle_dispatchers;
    uint32_t others = controller->idle_dispatchers & ~chosen;
    /* A busy sender may be held up by a machine that hangs. */
    for (uint32_t busy = dispatchers & ~chosen; busy && others; busy &= busy - 1) {
        chosen |= others & -others;
        others &= others - 1;
    }
    for (guint i = 0; i < DISPATCHERS_COUNT; i++)
        if (chosen >> i & 1)
            dispatcher_notify(controller, i);
}

void controller_wait(controller_t *controller, pthread_cond_t *cond, msec_t ms)
{
    msec_t until = clock_steady() + ms;
    struct timespec at = {.tv_sec = until / MS_PER_S, .tv_nsec = until % MS_PER_S * NS_PER_MS};
    pthread_cond_timedwait(cond, &controller->lock, &at);
}

msec_t controller_paced(const controller_t *controller, msec_t ms)
{
    return (msec_t)((double)ms * controller->settings->pace);
}

void controller_sleep(msec_t ms)
{
    struct timespec left = {.tv_sec = ms / MS_PER_S, .tv_nsec = ms % MS_PER_S * NS_PER_MS};
    nanosleep(&left, NULL);
}

void controller_watch(controller_t *controller,
                      bool (*read)(controller_t *, http_client_t *, uint64_t *),
                      kv_result_t (*watch_changes)(controller_t *, http_client_t *, uint64_t *))
{
    http_client_t *client = http_client_new(2);
    uint64_t revision = 0;
    bool synced = false;
    for (;;) {
        if (!synced) {
            synced = read(controller, client, &revision);
            if (!synced)
                controller_sleep(ELECT_POLL_MS);
            continue;
        }
        kv_result_t result = watch_changes(controller, client, &revision);
        if (result == KV_COMPACTED)
            synced = false;
        else if (result != KV_OK)
            controller_sleep(ELECT_POLL_MS);
    }
}

static void drop_channels(controller_t *controller)
{
    for (guint i = 0; i < controller->channels->len; i++)
        if (g_ptr_array_index(controller->channels, i))
            channel_free(g_ptr_array_index(controller->channels, i));
    g_ptr_array_set_size(controller->channels, 0);
    for (guint i = 0; i < MEMBERS_MAX_COUNT; i++) {
        summary_replica_clear(&controller->summary_replicas[i]);
        controller->are_summaries_pending[i] = false;
    }
    g_clear_pointer(&controller->leader_channel, channel_free);
}

/* What we counted as the leader is told until another's counts, or our own next ones, are here. */
static void keep_own_counts(controller_t *controller)
{
    job_counts_update_t all = leader_counts(controller->leader, 0, 0, G_MAXUINT);
    job_counts_replica_apply(&controller->job_counts, &all);
    job_counts_update_clear(&all);
}

void controller_install_view(controller_t *controller, const view_t *view)
{
    if (view->revision <= controller->view.revision)
        return;
    /* Workers retained here because they could not reach a former owner go to the new ones: the
     * leader takes a machine that nobody hears for dead. */
    if (view->incarnation != controller->view.incarnation ||
        !election_same_members(view, &controller->view))
        redirection_clear(controller->redirection, view->number, clock_steady());
    if (controller->is_leader && controller->is_loaded)
        keep_own_counts(controller);
    controller->view = *view;
    bool was_leading = controller->is_leader;
    controller->is_leader = view->incarnation == controller->incarnation;
    if (!was_leading)
        controller->leader_since_at = clock_steady();
    if (!was_leading && controller->is_leader && controller->autoscaler)
        autoscaler_begin_leadership(controller->autoscaler);
    controller->is_loaded = false;
    controller->data_generation++;
    controller->own_index = G_MAXUINT;
    controller->leader_index = 0;
    drop_channels(controller);
    for (guint i = 0; i < view->count; i++) {
        if (view->members[i].incarnation == controller->incarnation)
            controller->own_index = i;
        if (view->members[i].incarnation == view->incarnation)
            controller->leader_index = i;
        controller->member_received_at[i] = clock_steady();
        g_ptr_array_add(controller->channels, controller->is_leader ? channel_new() : NULL);
    }
    controller->leader_channel = channel_new();
    share_rate_limits(controller, MAX(view->count, 1));
    metrics_count(controller->metrics, COUNT_VIEWS, 1);
    log_info("event=view_installed view=%" G_GUINT64_FORMAT " leader=%s members=%u own=%d",
             view->number, view->leader, view->count,
             controller->own_index == G_MAXUINT ? -1 : (int)controller->own_index);
    controller_notify_placement(controller);
    pthread_cond_broadcast(&controller->membership_changed);
    pthread_cond_broadcast(&controller->peer_item_available);
}

guint controller_owner_index(const controller_t *controller, const char *machine, const char *zone)
{
    return owner_of(controller->view.members, controller->view.count, machine, zone);
}
