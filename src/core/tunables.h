/* The operators' settings as the core asks for them. */
#ifndef PEPPERPULLEY_TUNABLES_H
#define PEPPERPULLEY_TUNABLES_H

#include "core/types.h"
#include "policy/policy.h"

double tunable_value(const policy_t *policy, policy_tunable_t tunable);
double tunable_for_job(const policy_t *policy, policy_tunable_t tunable, const job_spec_t *spec);
double tunable_for_machine(const policy_t *policy, policy_tunable_t tunable, const char *type,
                           const char *zone, bool spot, resources_t capacity);

#endif
