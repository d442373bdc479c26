/** @file
 * Keeps a copy of a prefix of the key-value store: reads it whole, then watches its changes.
 */
#ifndef PEPPERPULLEY_KV_WATCH_LOOP_H
#define PEPPERPULLEY_KV_WATCH_LOOP_H

#include "controller/controller.h"

/** A prefix, and what is done with its content. All functions are called with the controller's lock
 * held. @c sent_at is the moment (steady clock, ms) at which the request was sent that brought the
 * entries: every change made before it is known afterwards. */
typedef struct kv_watch {
    const char *prefix; /**< Of the keys, ending in '/'; transfer none. */
    /** Replaces the copy by all entries below the prefix (array of kv_entry_t; transfer none). */
    void (*apply_all)(controller_t *controller, const GArray *entries, msec_t sent_at);
    /** Applies the changes since the last call (array of kv_entry_t, a value of NULL: deleted;
     * transfer none); there may be none. */
    void (*apply_changes)(controller_t *controller, const GArray *changes, msec_t sent_at);
    /** Called when changes were lost because the store no longer has them; the prefix is then read
     * whole again. NULL: nothing to do. */
    void (*handle_compaction)(controller_t *controller);
} kv_watch_t;

/** Reads the prefix and then watches its changes; reads it again when the store no longer has the
 * changes. The calling thread must not hold the lock. Never returns. */
void kv_watch_loop_run(controller_t *controller, const kv_watch_t *watch);

#endif
