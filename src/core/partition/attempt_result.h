/** @file
 * The result of an attempt, which a partition reports to the leader.
 */
#ifndef PEPPERPULLEY_ATTEMPT_RESULT_H
#define PEPPERPULLEY_ATTEMPT_RESULT_H

#include "core/types.h"

/** An attempt that is over. CAUSE_DONE is reported at once, while the attempt stays recorded until
 * the leader acknowledges it; any other cause only once the attempt has left its machine's record.
 */
typedef struct attempt_result {
    task_ref_t ref;         /**< The attempt. */
    cause_t cause;          /**< Why it is over; CAUSE_NONE: it never ran, or nothing is known. */
    char machine[ID_BYTES]; /**< Id of the machine on which it was placed; empty: none. */
} attempt_result_t;

#endif
