/** @file
 * Excludes members that the workers of their machines cannot reach. Runs on the autoscaler loop's
 * thread; the lock is not held.
 */
#ifndef PEPPERPULLEY_MEMBER_EXCLUSION_H
#define PEPPERPULLEY_MEMBER_EXCLUSION_H

#include "controller/autoscaler/cloud_context.h"

/** Excludes each member most of whose machines are silent, if other controllers retain the workers
 * of most of the silent machines. Such a member cannot place any work on its machines; after its
 * exclusion, the other members own them. Has no effect unless this controller may act as the
 * leader. */
void member_exclusion_update(cloud_context_t *context, msec_t now);

#endif
