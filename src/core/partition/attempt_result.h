/** @file
 * The result of an attempt, which a partition reports to the leader.
 */
#ifndef PEPPERPULLEY_ATTEMPT_RESULT_H
#define PEPPERPULLEY_ATTEMPT_RESULT_H

#include "core/types.h"

/** The result of an attempt that is over. CAUSE_DONE is reported at once, and the attempt stays
 * recorded until the leader acknowledges it. Any other cause is reported only after the attempt has
 * been removed from its machine's record. */
typedef struct attempt_result {
    task_ref_t ref; /**< The attempt. */
    cause_t cause;  /**< Why it is over; CAUSE_NONE: it never ran, or the cause is unknown. */
    char machine[ID_BYTES]; /**< Id of the machine on which it was placed; empty: it was not placed.
                             */
} attempt_result_t;

#endif
