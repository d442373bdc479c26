/** @file
 * The state of the command dispatchers: which are started, idle or polling.
 */
#ifndef PEPPERPULLEY_DISPATCH_STATE_H
#define PEPPERPULLEY_DISPATCH_STATE_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "constants.h"

/** The state of all dispatchers. Guarded by the controller's lock. */
typedef struct dispatch_state {
    pthread_cond_t ready[DISPATCHERS_COUNT]; /**< For each dispatcher: signalled when there are
                                                commands for it to push. */
    uint32_t idle;    /**< Bit mask of the dispatchers that wait or have no thread yet. */
    uint32_t started; /**< Bit mask of the dispatchers that have a thread. */
    bool is_polled;   /**< Whether an idle dispatcher polls: it waits with a time limit, on behalf
                         of all. */
} dispatch_state_t;

#endif
