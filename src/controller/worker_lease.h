/* What a controller may do with what it knows: renew workers' leases and send starts.
 *
 * All functions are called with the controller's lock held. */
#ifndef PEPPERPULLEY_WORKER_LEASE_H
#define PEPPERPULLEY_WORKER_LEASE_H

#include "controller/controller.h"

/* How this controller is connected, as its messages and answers show. */
connectivity_t worker_lease_connectivity(const controller_t *controller);
/* Whether heartbeats may be answered, which renews the worker's lease: what was cancelled is known
 * well enough. */
bool worker_lease_may_renew(const controller_t *controller, msec_t now);
/* Whether starts may be sent. After a stall what is known is as old as the stall: none is sent
 * until it is known what was cancelled up to its end. */
bool worker_lease_may_start(controller_t *controller, msec_t now);
/* Whether commands that were taken at `taken` may still leave. If their dispatcher stood still
 * since then, they may be out of date (a cancelled job's start among them): they are given back to
 * be decided again, and the result is false. */
bool worker_lease_may_push(controller_t *controller, const char *machine, uint64_t generation,
                           const GArray *commands, msec_t taken, msec_t now);

#endif
