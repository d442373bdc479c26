/** @file
 * Detects that the process was not running for a while, for instance because its host was
 * suspended.
 *
 * After a stall, what the controller knew before it may be out of date: see worker_lease.h.
 */
#ifndef PEPPERPULLEY_STALL_DETECTOR_H
#define PEPPERPULLEY_STALL_DETECTOR_H

#include "controller/controller_type.h"
#include "core/types.h"

/** The stall detector's state. Guarded by the controller's lock. */
typedef struct stall_detector {
    msec_t last_observed_at; /**< When the clock was read last. */
    msec_t last_stall_at;    /**< When a stall was last detected, at its end; 0 if never. */
} stall_detector_t;

/** Records the clock reading @p now. A gap of more than STALL_MIN_MS since the last reading is a
 * stall, which is logged. Called with the lock held. */
void stall_detector_observe(controller_t *controller, msec_t now);

/** The thread's loop: reads the clock every STALL_CHECK_MS. @p data is the controller_t. Never
 * returns. */
void *stall_detector_run(void *data);

#endif
