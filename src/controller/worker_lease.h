/** @file
 * Decides whether this controller's knowledge of cancellations is recent enough to renew workers'
 * leases and to send starts.
 *
 * Any controller may confirm a cancellation to a user. The job's tasks must have ended within
 * cancel_s after that, even on workers that only this controller can reach. A worker's lease is
 * therefore renewed, and a start sent, only if this controller knows every cancellation that any
 * controller confirmed up to a recent moment. The cancellations known here are "complete until"
 * that moment.
 *
 * All functions are called with the controller's lock held. Times are in ms of the steady clock.
 */
#ifndef PEPPERPULLEY_WORKER_LEASE_H
#define PEPPERPULLEY_WORKER_LEASE_H

#include "controller/controller.h"

/** Returns when the key-value store last answered this controller and its siblings, and when a
 * sibling's message last arrived. */
connectivity_t worker_lease_connectivity(const controller_t *controller);

/** Returns whether worker heartbeats may be answered at @p now, which renews the workers' leases.
 * This requires that the controller is not isolated and has read all of jobs/, and that the time
 * until which the cancellations are complete is less than cancel_s - lease_s - CANCEL_MARGIN_MS
 * ago. */
bool worker_lease_may_renew(const controller_t *controller, msec_t now);

/** Returns whether starts may be sent at @p now. This requires that all of jobs/ has been read, and
 * that the cancellations are complete until a time less than START_WATERMARK_MAX_AGE_MS ago, and at
 * least until the end of the last stall: cancellations made during the stall are not known here.
 * Also reports @p now to the stall detector. */
bool worker_lease_may_start(controller_t *controller, msec_t now);

/** Returns whether commands that a dispatcher took at @p taken_at may still be sent at @p now. If
 * more than STALL_MIN_MS have passed, the process stalled and the commands may be out of date; one
 * may start a job that was cancelled meanwhile. The commands are then returned to the partition,
 * which decides again, and the result is false.
 *
 * @p machine: the machine's id. @p generation: the generation of the data that the commands were
 * taken from; the commands are returned only if that generation is still loaded. @p commands: array
 * of worker_command_t; transfer none. */
bool worker_lease_may_push(controller_t *controller, const char *machine, uint64_t generation,
                           const GArray *commands, msec_t taken_at, msec_t now);

#endif
