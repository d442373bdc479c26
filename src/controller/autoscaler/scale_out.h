/** @file
 * Scales machines out: one request at a time, sent again with its idempotency key until it is
 * answered. Runs on the autoscaler loop's thread; the lock is not held.
 */
#ifndef PEPPERPULLEY_SCALE_OUT_H
#define PEPPERPULLEY_SCALE_OUT_H

#include "controller/autoscaler/cloud_context.h"

/** Sends the pending scale-out request, or the next one if none is pending. Returns false if there
 * was none to send. */
bool scale_out_run(cloud_context_t *context);

#endif
