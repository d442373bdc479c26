/** @file
 * Encodes and decodes the messages between controllers as XDR (peer_protocol.x).
 *
 * Both directions use the same message. The functions have no state and need no lock.
 */
#ifndef PEPPERPULLEY_PEER_PROTOCOL_H
#define PEPPERPULLEY_PEER_PROTOCOL_H

#include "core/leader/leader.h"
#include "core/replication/cancellation_log.h"
#include "core/replication/channel.h"
#include "core/replication/summary_update.h"

/** One message, decoded. Owns its arrays; see peer_message_clear(). */
typedef struct peer_message {
    char sender[ID_BYTES]; /**< Name of the controller that sends the message. */
    uint64_t incarnation;  /**< Incarnation of the sender. */
    uint64_t view_number;  /**< Number of the view that the sender has installed. */
    uint64_t batch_number; /**< Number of the batch in @ref items; 0: no batch has been sent. */
    uint64_t acknowledged_batch;    /**< Number of the last batch that the sender received. */
    msec_t kv_answer_age_ms;        /**< Time since the key-value store last answered the sender. */
    msec_t answer_delay_ms;         /**< In an answer to a heartbeat: for how long the answer was
                                         delayed while there was no new cancellation. */
    msec_t worker_heartbeat_age_ms; /**< Time since any worker of the sender's partition last sent
                                         it a heartbeat. */
    bool is_heartbeat;              /**< True for a peer heartbeat and the answer to one; false for
                                         a partition's call and the leader's answer to it. */
    uint64_t known_log_incarnation; /**< In a heartbeat: the incarnation of the receiver's
                                         cancellation log that the sender has a replica of; 0: the
                                         sender has no replica. */
    uint64_t known_log_index;       /**< In a heartbeat: the replica has every entry of that log up
                                         to this one. */
    cancellation_update_t cancellations; /**< In an answer to a heartbeat: new entries of the
                                              sender's cancellation log. Its jobs are NULL if the
                                              message has none. */
    job_counts_update_t job_counts; /**< In a heartbeat: the epoch and version that the sender has,
                                         without jobs. In an answer: the counts that have changed
                                         since that version. */
    GArray *items;                  /**< The batch: array of channel_item_t, owned; NULL: empty. */
    summary_update_t summaries;   /**< In a partition's call: changes of its machine summaries; the
                                       array is NULL if the call has no update. In an answer: only
                                       the version that the leader has. */
    GArray *cpus_being_preempted; /**< For each team, in the order of the settings, the cpus of its
                                       work that the sender's partition is preempting: array of
                                       double, owned; NULL if the message has no summaries. */
} peer_message_t;

/** Frees what @p message owns and sets its arrays to NULL. A second call does nothing. */
void peer_message_clear(peer_message_t *message);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(peer_message_t, peer_message_clear)

/** Encodes @p message, which is not modified. Returns the bytes (transfer full), or NULL if a
 * string or a list is longer than the protocol allows. */
GByteArray *peer_encode(const peer_message_t *message);

/** Decodes the @p size bytes at @p data. Returns true and fills @p message, which the caller
 * clears, or, if the bytes are not a valid message, returns false and sets @p message to all zeros.
 * In a decoded message, items, cancellations.jobs and job_counts.jobs are never NULL. */
bool peer_decode(const uint8_t *data, gsize size, peer_message_t *message);

#endif
