/** @file
 * Scales machines out, one request at a time. A request is sent again with the same idempotency key
 * until the cloud answers it. Runs on the autoscaler loop's thread; the lock is not held.
 */
#ifndef PEPPERPULLEY_SCALE_OUT_H
#define PEPPERPULLEY_SCALE_OUT_H

#include "controller/autoscaler/cloud_context.h"

/** Sends the pending scale-out request or, if none is pending, the next one. Returns false if there
 * was no request to send. */
bool scale_out_run(cloud_context_t *context);

#endif
