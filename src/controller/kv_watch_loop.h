/** @file
 * Keeps a local copy of all keys with one prefix of the key-value store up to date: lists them
 * once, then watches their changes.
 */
#ifndef PEPPERPULLEY_KV_WATCH_LOOP_H
#define PEPPERPULLEY_KV_WATCH_LOOP_H

#include "controller/controller.h"

/** A prefix to watch, and the callbacks that apply its entries. All callbacks are called with the
 * controller's lock held. */
typedef struct kv_watch {
    const char *prefix; /**< The prefix of the keys, ending in '/'; transfer none. */
    /** Applies @p entries (array of kv_entry_t; transfer none): all keys with the prefix. */
    void (*apply_all)(controller_t *controller, const GArray *entries, kv_coverage_t coverage);
    /** Applies the changes since the last call (array of kv_entry_t, in which a NULL value means
     * that the key was deleted; transfer none). The array may be empty. */
    void (*apply_changes)(controller_t *controller, const GArray *changes, kv_coverage_t coverage);
    /** Called when the store has compacted changes that were not received yet; the prefix is then
     * listed again. May be NULL. */
    void (*handle_compaction)(controller_t *controller);
} kv_watch_t;

/** Lists the prefix and then watches its changes. Lists it again after changes were lost to
 * compaction. The calling thread must not hold the lock. Never returns. */
void kv_watch_loop_run(controller_t *controller, const kv_watch_t *watch);

#endif
