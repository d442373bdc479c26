/** @file
 * Excludes members that their workers can't reach. Runs on the autoscaler loop's thread; the lock
 * is not held.
 */
#ifndef PEPPERPULLEY_MEMBER_EXCLUSION_H
#define PEPPERPULLEY_MEMBER_EXCLUSION_H

#include "controller/autoscaler/cloud_context.h"

/** Excludes each member most of whose machines are silent, if other controllers retain most of
 * those. Such a member can place nothing on the machines that it owns; once it is excluded, they go
 * to the other members. Has no effect unless this controller leads. */
void member_exclusion_update(cloud_context_t *context, msec_t now);

#endif
