/* Which command dispatchers run, wait or work. Guarded by the controller's lock. */
#ifndef PEPPERPULLEY_DISPATCH_STATE_H
#define PEPPERPULLEY_DISPATCH_STATE_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "constants.h"

typedef struct dispatch_state {
    pthread_cond_t
        ready[DISPATCHERS_COUNT]; /* signalled when the dispatcher has commands to push */
    uint32_t idle;                /* a bit for each dispatcher that waits or has no thread yet */
    uint32_t started;             /* a bit for each dispatcher that has a thread */
    bool has_polling;             /* one dispatcher waits with a time limit, for all of them */
} dispatch_state_t;

#endif
