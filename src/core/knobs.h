/* The operators' settings as the core asks for them. */
#ifndef PEPPERPULLEY_KNOBS_H
#define PEPPERPULLEY_KNOBS_H

#include "core/types.h"
#include "policy/policy.h"

double knob_value(const policy_t *policy, policy_knob_t knob);
double knob_for_job(const policy_t *policy, policy_knob_t knob, const job_spec_t *spec);
double knob_for_machine(const policy_t *policy, policy_knob_t knob, const char *type,
                        const char *zone, bool spot, room_t room);

#endif
