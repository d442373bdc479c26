/** @file
 * The state that the autoscaler loop keeps between its rounds, and the helper functions that its
 * steps share. Only the source files of this folder include it.
 *
 * The state is used by the loop's thread alone. The functions are called without the controller's
 * lock, unless their description says otherwise.
 */
#ifndef PEPPERPULLEY_CLOUD_CONTEXT_H
#define PEPPERPULLEY_CLOUD_CONTEXT_H

#include "controller/controller.h"

/** A scale-out request that has not been answered yet. It is sent again with the same idempotency
 * key until the cloud answers it. */
typedef struct pending_scale_out {
    /** Whether a request is pending; if not, the other fields have no meaning. */
    bool is_pending;
    char idempotency_key[LABEL_BYTES]; /**< Key by which the cloud recognizes a repeated request. */
    scale_out_request_t request;       /**< The machines to scale out. */
    /** The placement generation in which the request was chosen. The request is dropped in any
     * later generation. */
    uint64_t generation;
} pending_scale_out_t;

/** The state of the autoscaler loop. */
typedef struct cloud_context {
    controller_t *controller;     /**< Transfer none. */
    http_client_t *http_client;   /**< For calls to the cloud and the key-value store; owned. */
    msec_t machine_types_read_at; /**< When the machine types were last read; 0 if never. */
    msec_t listed_at;             /**< When the machines were last listed; 0 if never. */
    msec_t retained_written_at;   /**< When the retained workers were last published; 0 if never. */
    guint retained_count;         /**< How many retained workers were last published. */
    guint idempotency_key_count;  /**< Number of idempotency keys used so far. */
    pending_scale_out_t pending_scale_out; /**< The scale-out request that has not been answered. */
    GHashTable *listed_machines; /**< Set of the machine ids in the last list; keys owned. */
    GPtrArray *failed_machines;  /**< Ids of listed machines whose state is failed; owned. */
    /** Machine id -> msec_t *: when the cloud confirmed its termination. Holds the machines that
     * were terminated so recently that lists may still show them; keys and values owned. */
    GHashTable *recently_terminated;
} cloud_context_t;

/** Initializes the state of the loop. */
void cloud_context_init(cloud_context_t *context, controller_t *controller);

/** Makes an HTTP call to the cloud, which takes at most CLOUD_TIMEOUT_MS. @p body may be NULL;
 * transfer none. If @p answer is not NULL, *answer is set to the answer's JSON (transfer full), or
 * to NULL if there is none. Returns the same as http_call. */
int cloud_context_call(cloud_context_t *context, const char *method, const char *path,
                       const json_t *body, json_t **answer);

/** Returns for how many milliseconds the cloud's list may lack a new machine or still show a
 * terminated one. */
msec_t cloud_context_listing_lag_ms(const controller_t *controller);

/** Returns after how many milliseconds of silence a worker is assumed to be unable to reach its
 * owner: the heartbeat interval times HEARTBEAT_GAP_MAX_FACTOR plus twice HEARTBEAT_DELAY_MAX_MS,
 * but at least LOST_OWNER_SILENCE_MIN_MS. */
msec_t cloud_context_lost_owner_ms(const controller_t *controller);

/** Returns whether this controller may act as the leader. A leader that was cut off from the
 * network and replaced meanwhile has summaries in which all machines are silent. Without this
 * check, it would terminate those machines after the network recovers and before it sees the new
 * view. Called with the lock held. */
bool cloud_context_may_act(const controller_t *controller);

/** Returns the leader's summary of a machine (transfer none) and sets *partition to the index of
 * the machine's partition. Returns NULL if no partition has a summary of it. Called with the lock
 * held. */
const machine_summary_t *cloud_context_find_summary(const controller_t *controller,
                                                    const char *machine, guint *partition);

/** Sends an item of the given kind, which refers to a machine, to the partition with this index.
 * Called with the lock held. */
void cloud_context_send_item(controller_t *controller, guint partition, channel_item_kind_t kind,
                             const char *machine);

/** Returns whether the cloud confirmed the machine's termination so recently that its list may
 * still show the machine. Terminating it again would only waste calls. */
bool cloud_context_is_recently_terminated(const cloud_context_t *context, const char *machine,
                                          msec_t now);

#endif
