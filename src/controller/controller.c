/* Makes a controller: its struct, limits and condition variables. */
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
void controller_share_rate_limits(controller_t *controller, guint members)
{
    const settings_t *settings = controller->settings;
    double partition_share = MIN(PARTITION_WRITE_FRACTION, PARTITIONS_WRITE_FRACTION / members);
    rate_limiter_set_rate(&controller->core_request_limiter,
                          settings->kv_rps * MIN(CORE_RPS_FRACTION, CORES_RPS_FRACTION / members));
    rate_limiter_set_rate(&controller->core_write_limiter,
                          settings->kv_write_rps * (controller->membership.is_leader
                                                        ? LEADER_WRITE_FRACTION
                                                        : partition_share));
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
    controller_share_rate_limits(controller, settings->siblings->len + 1);
}

/* Waits end by the steady clock. */
static void init_conditions(controller_t *controller)
{
    pthread_condattr_t steady;
    pthread_condattr_init(&steady);
    pthread_condattr_setclock(&steady, CLOCK_MONOTONIC);
    pthread_cond_init(&controller->placement.ready, &steady);
    for (guint i = 0; i < DISPATCHERS_COUNT; i++)
        pthread_cond_init(&controller->dispatch.ready[i], &steady);
    pthread_cond_init(&controller->kv_clients.available, &steady);
    pthread_cond_init(&controller->membership.changed, &steady);
    pthread_cond_init(&controller->status_batches.finished, &steady);
    pthread_cond_init(&controller->peers.item_available, &steady);
    pthread_cond_init(&controller->peers.relay_ready, &steady);
    pthread_cond_init(&controller->autoscaler_ready, &steady);
    pthread_cond_init(&controller->jobs.cancellation_appended, &steady);
    pthread_cond_init(&controller->requests.workers_busy, &steady);
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
    election_init(&controller->membership.election, &self);
    cancellation_log_init(&controller->jobs.cancellations, controller->incarnation, now);
    kv_store_init(&controller->kv_store, settings->kv_store_address);
    init_limiters(controller, now);
    for (guint i = 0; i < API_KV_CLIENTS_COUNT; i++)
        controller->kv_clients.clients[i] = http_client_new(1);
    controller->kv_clients.free_count = API_KV_CLIENTS_COUNT;
    controller->dispatch.idle = (1U << DISPATCHERS_COUNT) - 1;
    pthread_mutex_init(&controller->lock, NULL);
    init_conditions(controller);
    controller->jobs.live = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, known_job_free);
    job_counts_replica_init(&controller->jobs.counts);
    controller->placement.machine_types = g_array_new(FALSE, FALSE, sizeof(machine_type_t));
    controller->jobs.terminal_states = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    controller->peers.channels = g_ptr_array_new();
    controller->membership.own_index = G_MAXUINT;
    controller->stalls.last_observed_at = now;
    controller->membership.redirection = redirection_new();
    controller->jobs.terminal = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    controller->jobs.terminal_order = g_queue_new();
    pthread_mutex_init(&controller->requests.lock, NULL);
    pthread_cond_init(&controller->requests.available, NULL);
    request_queue_init(&controller->requests.queue, REQUESTS_WAITING_COUNT);
    return controller;
}

void controller_notify_placement(controller_t *controller)
{
    pthread_cond_signal(&controller->placement.ready);
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
