#include "controller/controller.h"

#include "io/clock.h"

void controller_update_rate_limits(controller_t *controller, guint members)
{
    const settings_t *settings = controller->settings;
    double partition_share =
        MIN(PARTITION_WRITE_MAX_FRACTION, PARTITION_WRITE_TOTAL_FRACTION / members);
    rate_limiter_set_rate(&controller->loop_request_limiter,
                          settings->kv_rps *
                              MIN(LOOPS_RPS_MAX_FRACTION, LOOPS_RPS_TOTAL_FRACTION / members));
    rate_limiter_set_rate(&controller->loop_write_limiter,
                          settings->kv_write_rps * (controller->membership.is_leader
                                                        ? LEADER_WRITE_FRACTION
                                                        : partition_share));
    rate_limiter_set_rate(&controller->api_request_limiter,
                          settings->kv_rps *
                              MIN(API_RPS_MAX_FRACTION, API_RPS_TOTAL_FRACTION / members));
    rate_limiter_set_rate(&controller->api_write_limiter,
                          settings->kv_write_rps *
                              MIN(API_WRITE_MAX_FRACTION, API_WRITE_TOTAL_FRACTION / members));
}

static void init_limiters(controller_t *controller, msec_t now)
{
    const settings_t *settings = controller->settings;
    rate_limiter_init(&controller->loop_request_limiter, settings->kv_rps * LOOPS_RPS_MAX_FRACTION,
                      now);
    rate_limiter_init(&controller->loop_write_limiter,
                      settings->kv_write_rps * PARTITION_WRITE_MAX_FRACTION, now);
    rate_limiter_init(&controller->api_request_limiter, settings->kv_rps * API_RPS_MAX_FRACTION,
                      now);
    rate_limiter_init(&controller->api_write_limiter,
                      settings->kv_write_rps * API_WRITE_MAX_FRACTION, now);
    controller_update_rate_limits(controller, settings->siblings->len + 1);
}

/* The condition variables use the steady clock (CLOCK_MONOTONIC), because the deadlines of timed
 * waits are computed from it. */
static void init_conditions(controller_t *controller)
{
    pthread_condattr_t attributes;
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&controller->placement.ready, &attributes);
    for (guint i = 0; i < DISPATCHERS_COUNT; i++)
        pthread_cond_init(&controller->dispatch.ready[i], &attributes);
    pthread_cond_init(&controller->kv_clients.available, &attributes);
    pthread_cond_init(&controller->membership.changed, &attributes);
    pthread_cond_init(&controller->status_batches.finished, &attributes);
    pthread_cond_init(&controller->peers.item_available, &attributes);
    pthread_cond_init(&controller->peers.relay_ready, &attributes);
    pthread_cond_init(&controller->autoscaler_ready, &attributes);
    pthread_cond_init(&controller->jobs.cancellation_appended, &attributes);
    pthread_cond_init(&controller->requests.all_workers_busy, &attributes);
    pthread_condattr_destroy(&attributes);
}

static void init_membership(membership_t *membership, const settings_t *settings,
                            uint64_t incarnation)
{
    member_t self = {.incarnation = incarnation};
    g_strlcpy(self.name, settings->name, sizeof self.name);
    g_strlcpy(self.zone, settings->zone, sizeof self.zone);
    election_init(&membership->election, &self);
    membership->own_index = G_MAXUINT;
    membership->redirection = redirection_new();
}

static void live_job_free(gpointer data)
{
    live_job_t *job = data;
    job_spec_clear(&job->spec);
    g_free(job);
}

static void init_jobs(job_directory_t *jobs, uint64_t incarnation, msec_t now)
{
    cancellation_log_init(&jobs->cancellations, incarnation, now);
    jobs->live = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, live_job_free);
    job_counts_replica_init(&jobs->counts);
    jobs->terminal_states = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    jobs->terminal = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    jobs->terminal_order = g_queue_new();
}

static void init_kv_clients(kv_client_pool_t *kv_clients)
{
    for (guint i = 0; i < API_KV_CLIENTS_COUNT; i++)
        kv_clients->clients[i] = http_client_new(1);
    kv_clients->free_count = API_KV_CLIENTS_COUNT;
}

static void init_requests(request_pool_t *requests)
{
    pthread_mutex_init(&requests->lock, NULL);
    pthread_cond_init(&requests->available, NULL);
    request_queue_init(&requests->queue, REQUEST_QUEUE_MAX_COUNT);
}

static uint64_t generate_incarnation(void)
{
    uint64_t incarnation;
    arc4random_buf(&incarnation, sizeof incarnation);
    return incarnation >> 2; /* keeps it within a signed 64-bit JSON integer */
}

controller_t *controller_new(const settings_t *settings, const policy_t *policy)
{
    controller_t *controller = g_new0(controller_t, 1);
    msec_t now = clock_steady();
    controller->settings = settings;
    controller->policy = policy;
    controller->metrics = metrics_new();
    controller->incarnation = generate_incarnation();
    kv_store_init(&controller->kv_store, settings->kv_store_address);
    init_limiters(controller, now);
    init_requests(&controller->requests);
    pthread_mutex_init(&controller->lock, NULL);
    init_conditions(controller);
    init_membership(&controller->membership, settings, controller->incarnation);
    init_jobs(&controller->jobs, controller->incarnation, now);
    init_kv_clients(&controller->kv_clients);
    controller->dispatch.idle = (1U << DISPATCHERS_COUNT) - 1;
    controller->placement.machine_types = g_array_new(FALSE, FALSE, sizeof(machine_type_t));
    controller->peers.channels = g_ptr_array_new();
    controller->stalls.last_observed_at = now;
    return controller;
}

void controller_notify_placement(controller_t *controller)
{
    pthread_cond_signal(&controller->placement.ready);
}

void controller_wait(controller_t *controller, pthread_cond_t *condition, msec_t ms)
{
    msec_t deadline_at = clock_steady() + ms;
    struct timespec deadline = {.tv_sec = deadline_at / MS_PER_S,
                                .tv_nsec = deadline_at % MS_PER_S * NS_PER_MS};
    pthread_cond_timedwait(condition, &controller->lock, &deadline);
}

msec_t controller_scale_pause(const controller_t *controller, msec_t ms)
{
    return (msec_t)((double)ms * controller->settings->pause_factor);
}

void controller_sleep(msec_t ms)
{
    struct timespec pause = {.tv_sec = ms / MS_PER_S, .tv_nsec = ms % MS_PER_S * NS_PER_MS};
    nanosleep(&pause, NULL);
}
