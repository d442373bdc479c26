/** @file
 * Notices that the process stood still, for instance because its host was frozen.
 *
 * What a controller knew before a stall may be out of date after it: see worker_lease.h.
 */
#ifndef PEPPERPULLEY_STALL_DETECTOR_H
#define PEPPERPULLEY_STALL_DETECTOR_H

#include "controller/controller_type.h"
#include "core/types.h"

/** The stall detector's state. Guarded by the controller's lock. */
typedef struct stall_detector {
    msec_t last_observed_at; /**< When the clock was read last. */
    msec_t last_stall_at;    /**< When the end of a stall was last noticed; 0: never. */
} stall_detector_t;

/** Records that the clock reads @p now: a long gap since the last reading is a stall. Called with
 * the lock held. */
void stall_detector_observe(controller_t *controller, msec_t now);

/** The thread's loop: observes the clock at short intervals. @p data is the controller_t. Never
 * returns. */
void *stall_detector_run(void *data);

#endif
