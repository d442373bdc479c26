/* Follows a prefix of the key-value store. */
#ifndef PEPPERPULLEY_KV_WATCH_LOOP_H
#define PEPPERPULLEY_KV_WATCH_LOOP_H

#include "controller/controller.h"

/* Reads everything below the prefix. False: it could not be read. */
typedef bool (*kv_watch_read_t)(controller_t *controller, http_client_t *client,
                                uint64_t *revision);
/* Waits for changes after the revision and applies them. */
typedef kv_result_t (*kv_watch_changes_t)(controller_t *controller, http_client_t *client,
                                          uint64_t *revision);
/* Reads the prefix, then watches its changes, and reads it again when the store no longer has the
 * changes. Never returns. */
void kv_watch_loop_run(controller_t *controller, kv_watch_read_t read,
                       kv_watch_changes_t watch_changes);

#endif
