/** @file
 * What the threads of one controller share: a struct for each concern, under one lock.
 *
 * Each concern's struct and functions stand in a header of their own. startup.h lists the threads
 * and what each of them waits for.
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

/** What the threads of a controller share. The fields before `lock` never change, or have a lock of
 * their own. */
struct controller {
    const settings_t *settings; /**< Borrowed for the life of the process. */
    const policy_t *policy;     /**< Borrowed for the life of the process. */
    metrics_t *metrics;         /**< Owned; has a lock of its own. */
    uint64_t incarnation;       /**< Random number, drawn at each start of the process. */
    kv_store_t kv_store;        /**< The key-value store; each thread brings its own client. */
    rate_limiter_t core_request_limiter; /**< The loops' requests to the key-value store. */
    rate_limiter_t core_write_limiter;   /**< Keys of the key-value store that the loops write. */
    rate_limiter_t api_request_limiter;  /**< Requests to the key-value store on behalf of users. */
    rate_limiter_t api_write_limiter;    /**< Keys written on behalf of users. */
    request_pool_t requests; /**< Users' requests that wait; has a lock of its own, which is never
                                taken together with `lock`. */

    pthread_mutex_t lock;        /**< Guards all fields below. Never held during input or output. */
    membership_t membership;     /**< The view, the election and this controller's place. */
    job_directory_t jobs;        /**< The jobs that are known. */
    placement_state_t placement; /**< The data that the records of a view are loaded into. */
    dispatch_state_t dispatch;   /**< The command dispatchers. */
    peer_state_t peers;          /**< The exchange with the other controllers. */
    status_batches_t status_batches; /**< Status reads that go to the key-value store together. */
    kv_client_pool_t kv_clients;     /**< Connections to the key-value store for users' requests. */
    stall_detector_t stalls;         /**< When the process last stalled. */
    autoscaler_t *autoscaler;        /**< Owned; NULL: the data of no view were loaded yet. */
    pthread_cond_t autoscaler_ready; /**< Signalled when the data of a view were loaded; the
                                        autoscaler's loop waits for it. */
};

/** Returns a controller without threads (transfer full; it lives as long as the process). Both
 * arguments are borrowed for the life of the process. */
controller_t *controller_new(const settings_t *settings, const policy_t *policy);

/** Sets this controller's shares of the key-value store's limits, which hold for all @p members
 * together. The leader has a larger share of the writes. Called with the lock held, or before the
 * threads start. */
void controller_share_rate_limits(controller_t *controller, guint members);

/** Wakes the placement loop. Called with the lock held. */
void controller_notify_placement(controller_t *controller);

/** Waits for the condition, @p ms at most; may return earlier for no reason. Called with the lock
 * held, which is released during the wait. */
void controller_wait(controller_t *controller, pthread_cond_t *condition, msec_t ms);

/** Returns the pause to make in place of one of @p ms: longer on a small share of a processor
 * (settings_t.pace). */
msec_t controller_paced(const controller_t *controller, msec_t ms);

/** Sleeps for @p ms. The lock must not be held. */
void controller_sleep(msec_t ms);

#endif
