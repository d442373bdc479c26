/** @file
 * Evaluates the tunables of the operators' policy file, some of them for a given job or machine.
 *
 * Pure functions; the policy is only read.
 */
#ifndef PEPPERPULLEY_TUNABLES_H
#define PEPPERPULLEY_TUNABLES_H

#include "core/types.h"
#include "policy/policy.h"

/** Returns the value of a tunable that depends on neither job nor machine, in the tunable's unit.
 */
double tunable_value(const policy_t *policy, policy_tunable_t tunable);

/** Returns the value of a tunable for the job of @p spec, in the tunable's unit; booleans are 0
 * and 1. */
double tunable_for_job(const policy_t *policy, policy_tunable_t tunable, const job_spec_t *spec);

/** Returns the value of a tunable for a machine of this type and zone, spot or on-demand, in the
 * tunable's unit; booleans are 0 and 1. */
double tunable_for_machine(const policy_t *policy, policy_tunable_t tunable, const char *type,
                           const char *zone, bool spot, resources_t capacity);

#endif
