/** @file
 * What a controller may do with what it knows: renew workers' leases, and send starts.
 *
 * A user may be informed of a cancellation by any controller. The job's tasks must be gone within
 * cancel_s after that, also on workers that this controller alone reaches. So a worker's lease is
 * renewed, and a start is sent, only while every cancellation that any user was informed of up to a
 * moment ago is known here: the cancellations are "complete until" that moment.
 *
 * All functions are called with the controller's lock held. Times are of the steady clock, in ms.
 */
#ifndef PEPPERPULLEY_WORKER_LEASE_H
#define PEPPERPULLEY_WORKER_LEASE_H

#include "controller/controller.h"

/** Returns how this controller is connected, from its messages and the key-value store's answers.
 */
connectivity_t worker_lease_connectivity(const controller_t *controller);

/** Returns whether heartbeats may be answered at @p now, which renews the workers' leases: this
 * controller is not isolated, and the cancellations are complete until a moment that is not too
 * long ago. */
bool worker_lease_may_renew(const controller_t *controller, msec_t now);

/** Returns whether starts may be sent at @p now: the cancellations are complete until a moment that
 * is at most START_WATERMARK_MS ago and not before the end of the last stall. What was known before
 * a stall is as old as the stall was long. Also observes the clock for the stall detector. */
bool worker_lease_may_start(controller_t *controller, msec_t now);

/** Returns whether commands that a dispatcher took at @p taken_at may still be sent at @p now. If
 * it stalled since then, the commands may be out of date (the start of a cancelled job among them):
 * they are returned to the partition, which decides anew, and the result is false.
 *
 * @p machine: the machine's id. @p generation: that of the data which the commands were taken from;
 * the commands are returned only if it still is the loaded one. @p commands: array of
 * worker_command_t; transfer none. */
bool worker_lease_may_push(controller_t *controller, const char *machine, uint64_t generation,
                           const GArray *commands, msec_t taken_at, msec_t now);

#endif
