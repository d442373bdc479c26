/** @file
 * What the autoscaler loop keeps between its rounds, and the helpers that its steps share. Only the
 * sources of this folder include it.
 *
 * Everything here belongs to the loop's thread. The lock of the controller is not held, unless a
 * function says so.
 */
#ifndef PEPPERPULLEY_CLOUD_CONTEXT_H
#define PEPPERPULLEY_CLOUD_CONTEXT_H

#include "controller/controller.h"

/** A scale-out request whose answer is still missing: it is sent again with the same idempotency
 * key until it is answered. */
typedef struct pending_scale_out {
    bool is_pending;                   /**< Whether there is one; else the rest has no meaning. */
    char idempotency_key[LABEL_BYTES]; /**< By which the cloud recognizes a repeat. */
    scale_out_request_t request;       /**< The machines to scale out. */
    uint64_t generation; /**< The placement generation in which it was chosen: a leadership. */
} pending_scale_out_t;

/** The state of the loop. */
typedef struct cloud_context {
    controller_t *controller;    /**< Transfer none. */
    http_client_t *http_client;  /**< For calls of the cloud and the key-value store; owned. */
    msec_t machine_types_at;     /**< When the machine types were read last; 0: never. */
    msec_t listed_at;            /**< When the machines were listed last; 0: never. */
    msec_t retained_written_at;  /**< When the retained workers were published last; 0: never. */
    guint retained_count;        /**< How many workers were published last. */
    guint idempotency_key_count; /**< Idempotency keys used so far. */
    pending_scale_out_t pending_scale_out; /**< The scale-out request without an answer. */
    GHashTable *listed_machines;           /**< Set of the machine ids listed last; keys owned. */
    GPtrArray *failed_machines; /**< Listed machine ids that the cloud calls failed; owned. */
    /** Machine id -> msec_t *: when its termination was confirmed, recently enough that lists may
     * still show it; keys and values owned. */
    GHashTable *recently_terminated;
} cloud_context_t;

/** Prepares the state of the loop. */
void cloud_context_init(cloud_context_t *context, controller_t *controller);

/** Calls the cloud, at most CLOUD_TIMEOUT_MS. @p body may be NULL; transfer none. @p answer (may be
 * NULL) gets a new reference or NULL. Returns as http_call. */
int cloud_context_call(cloud_context_t *context, const char *method, const char *path,
                       const json_t *body, json_t **answer);

/** Returns for how many milliseconds the cloud's list may still lack a new machine, or show one
 * that was terminated. */
msec_t cloud_context_listing_lag_ms(const controller_t *controller);

/** Returns after how many milliseconds of silence a worker may have lost its owner: a heartbeat
 * interval and a half, and twice the lateness of a heartbeat. */
msec_t cloud_context_lost_worker_ms(const controller_t *controller);

/** Returns whether this controller may act as the leader. One that was replaced while it was cut
 * off has summaries that show all machines silent: back in touch, it would otherwise terminate them
 * in the moment before it sees the new view. Called with the lock held. */
bool cloud_context_may_act(const controller_t *controller);

/** Returns the leader's summary of a machine, transfer none, and its partition in @p partition;
 * NULL: no partition knows it. Called with the lock held. */
const machine_summary_t *cloud_context_find_summary(const controller_t *controller,
                                                    const char *machine, guint *partition);

/** Sends an item that names a machine to the machine's partition. Called with the lock held. */
void cloud_context_send_item(controller_t *controller, guint partition, channel_item_kind_t kind,
                             const char *machine);

/** Returns whether the machine's termination was confirmed within the lag of the cloud's list:
 * terminating it again would only cost calls. */
bool cloud_context_is_recently_terminated(const cloud_context_t *context, const char *machine,
                                          msec_t now);

#endif
