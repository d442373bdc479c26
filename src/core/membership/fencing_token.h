/** @file
 * Fencing tokens, by which a worker recognizes the commands that it may execute.
 *
 * A token consists of the number of a view in its upper bits and a counter in its lower bits. The
 * counter starts at 0 for each machine in each view. Only the machine's owner increases it, in the
 * answer to a heartbeat and without the key-value store. A worker refuses pushed commands under a
 * lower token than the highest one it has seen. Pure functions without a lock.
 */
#ifndef PEPPERPULLEY_FENCING_TOKEN_H
#define PEPPERPULLEY_FENCING_TOKEN_H

#include <stdint.h>

enum {
    FENCING_TOKEN_COUNTER_BITS = 32 /**< Number of the lower bits, which hold the counter. */
};

/** Returns the lowest fencing token of the view with this number. */
static inline uint64_t fencing_token_first(uint64_t view)
{
    return view << FENCING_TOKEN_COUNTER_BITS;
}

/** Returns the number of the view to which the fencing token belongs. */
static inline uint64_t fencing_token_view(uint64_t fencing_token)
{
    return fencing_token >> FENCING_TOKEN_COUNTER_BITS;
}

#endif
