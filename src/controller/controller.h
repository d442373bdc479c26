/** @file
 * The state that the threads of one controller share: one struct per concern, all guarded by one
 * lock.
 *
 * The struct and the functions of each concern are in a header of their own. startup.h lists the
 * threads and what each of them waits for.
 */
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

/** The state that the threads of a controller share. The fields before `lock` are constant after
 * initialization or safe to use from any thread without it. */
struct controller {
    const settings_t *settings; /**< Borrowed for the life of the process. */
    const policy_t *policy;     /**< Borrowed for the life of the process. */
    metrics_t *metrics;         /**< Owned; has a lock of its own. */
    uint64_t incarnation;       /**< Random number, generated at each start of the process. */
    kv_store_t kv_store;        /**< The key-value store; each thread uses its own HTTP client. */
    /* Rate limits at the key-value store. */
    rate_limiter_t loop_request_limiter; /**< Requests by this controller's loops. */
    rate_limiter_t loop_write_limiter;   /**< Keys written by this controller's loops. */
    rate_limiter_t api_request_limiter;  /**< Requests on behalf of users. */
    rate_limiter_t api_write_limiter;    /**< Keys written on behalf of users. */
    request_pool_t requests; /**< Queued user requests. Has a lock of its own; no thread holds that
                                one and `lock` at the same time. */

    pthread_mutex_t lock;        /**< Guards all fields below. Never held during I/O. */
    membership_t membership;     /**< The view, the election and this controller's membership. */
    job_directory_t jobs;        /**< The jobs known to this controller. */
    placement_state_t placement; /**< The data loaded from the records of a view. */
    dispatch_state_t dispatch;   /**< The command dispatchers. */
    peer_state_t peers;          /**< Communication with the other controllers. */
    status_batches_t status_batches; /**< Status reads, batched for the key-value store. */
    kv_client_pool_t kv_clients;     /**< Connections to the key-value store for users' requests. */
    stall_detector_t stalls;         /**< Detects stalls of this process. */
    autoscaler_t *autoscaler; /**< Owned; NULL until the records of a view are first loaded. */
    pthread_cond_t autoscaler_ready; /**< Signalled when the records of a view have been loaded; the
                                        autoscaler's loop waits for it. */
};

/** Returns a new controller whose threads are not started yet (transfer full; it lives as long as
 * the process). Both arguments are borrowed for the life of the process. */
controller_t *controller_new(const settings_t *settings, const policy_t *policy);

/** Sets this controller's rate limits at the key-value store. The store's limits apply to all
 * @p members together, so each controller takes a share; the leader's share of the writes is
 * larger. Called with the lock held, or before the threads start. */
void controller_update_rate_limits(controller_t *controller, guint members);

/** Wakes the placement loop. Called with the lock held. */
void controller_notify_placement(controller_t *controller);

/** Waits until the condition is signalled, for at most @p ms. Spurious wake-ups are possible.
 * Called with the lock held; the lock is released during the wait. */
void controller_wait(controller_t *controller, pthread_cond_t *condition, msec_t ms);

/** Returns @p ms multiplied by settings_t.pause_factor, which lengthens pauses if the process has
 * only a small share of a processor. */
msec_t controller_scale_pause(const controller_t *controller, msec_t ms);

/** Sleeps for @p ms. The lock must not be held. */
void controller_sleep(msec_t ms);

#endif
