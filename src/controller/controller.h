/* What the threads of one controller share: a struct for each concern, under one lock.
 *
 * Each concern's struct and the functions over it stand in its own header. The loops, one thread
 * each, are started by startup.c. */
#ifndef PEPPERPULLEY_CONTROLLER_H
#define PEPPERPULLEY_CONTROLLER_H

#include <pthread.h>

#include "controller/api/kv_client_pool.h"
#include "controller/api/request_pool.h"
#include "controller/api/status_batch.h"
#include "controller/jobs/job_directory.h"
#include "controller/membership/membership.h"
#include "controller/metrics.h"
#include "controller/peer/peer_state.h"
#include "controller/placement/dispatch_state.h"
#include "controller/placement/placement_state.h"
#include "controller/stall_detector.h"
#include "core/autoscaler/autoscaler.h"
#include "core/membership/connectivity.h"
#include "io/http_client.h"
#include "io/kv_store.h"
#include "io/rate_limiter.h"
#include "io/settings.h"

/* What the threads of a controller share. Fields before the lock never change or guard themselves.
 */
struct controller {
    const settings_t *settings; /* borrowed for the life of the process */
    const policy_t *policy;     /* borrowed for the life of the process */
    metrics_t *metrics;
    uint64_t incarnation; /* drawn at each start of the process */
    kv_store_t kv_store;
    rate_limiter_t core_request_limiter; /* requests of the loops to the key-value store */
    rate_limiter_t core_write_limiter;   /* keys that the loops write */
    rate_limiter_t api_request_limiter;  /* requests for users to the key-value store */
    rate_limiter_t api_write_limiter;    /* keys written for users */
    request_pool_t requests;             /* has a lock of its own */

    pthread_mutex_t lock; /* guards all that follows; never held across input or output */
    membership_t membership;
    job_directory_t jobs;
    placement_state_t placement;
    dispatch_state_t dispatch;
    peer_state_t peers;
    status_batches_t status_batches;
    kv_client_pool_t kv_clients;
    stall_detector_t stalls;
    autoscaler_t *autoscaler;        /* owned; NULL: never loaded */
    pthread_cond_t autoscaler_ready; /* signalled when the leader's data were loaded */
};

/* A new controller that does nothing yet. Both arguments are borrowed for the life of the process.
 */
controller_t *controller_new(const settings_t *settings, const policy_t *policy);
/* Divides the key-value store's limits among so many members. Called with the lock held, or before
 * the threads start. */
void controller_share_rate_limits(controller_t *controller, guint members);
/* Wakes the placement loop. Called with the lock held. */
void controller_notify_placement(controller_t *controller);
/* Waits for the condition, at most so long. Called with the lock held, which is given up meanwhile.
 */
void controller_wait(controller_t *controller, pthread_cond_t *condition, msec_t ms);
/* The pause as it is on the processor share that the settings grant. */
msec_t controller_paced(const controller_t *controller, msec_t ms);
/* Sleeps; the lock must not be held. */
void controller_sleep(msec_t ms);

#endif
