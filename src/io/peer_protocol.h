/** @file
 * Messages between controllers, encoded as XDR (peer_protocol.x).
 *
 * Both directions use the same message. Pure functions: no state, no lock.
 */
#ifndef PEPPERPULLEY_PEER_PROTOCOL_H
#define PEPPERPULLEY_PEER_PROTOCOL_H

#include "core/leader/leader.h"
#include "core/replication/cancellation_log.h"
#include "core/replication/channel.h"
#include "core/replication/summary_update.h"

/** One message, decoded. Owns its arrays; see peer_message_clear(). */
typedef struct peer_message {
    char sender[ID_BYTES];          /**< Name of the controller that sends it. */
    uint64_t incarnation;           /**< Incarnation of the sender. */
    uint64_t view_number;           /**< Number of the view that the sender has installed. */
    uint64_t batch_number;          /**< Number of the batch in @ref items; 0: none sent so far. */
    uint64_t acknowledged_batch;    /**< Number of the last batch that the sender received. */
    msec_t kv_answer_age_ms;        /**< Time since the key-value store last answered the sender. */
    msec_t answer_delay_ms;         /**< Of an answer to a heartbeat: for how long it was held back
                                         while there was no new cancellation. */
    msec_t worker_heartbeat_age_ms; /**< Time since a worker of the sender's partition last sent it
                                         a heartbeat. */
    bool is_heartbeat;              /**< A peer heartbeat or the answer to one; otherwise a call of
                                         a partition or the leader's answer. */
    uint64_t known_log_incarnation; /**< Of a heartbeat: incarnation of the receiver's cancellation
                                         log that the sender has a replica of; 0: none. */
    uint64_t known_log_index;       /**< Of a heartbeat: the replica has every entry of that log up
                                         to this one. */
    cancellation_update_t cancellations; /**< Of an answer to a heartbeat: new entries of the
                                              sender's cancellation log. Its jobs are NULL where the
                                              message has none. */
    job_counts_update_t job_counts; /**< Of a heartbeat: the epoch and version that the sender has,
                                         without jobs. Of an answer: what changed since. */
    GArray *items;                  /**< The batch: array of channel_item_t, owned; NULL: empty. */
    summary_update_t summaries;   /**< Of a partition's call: changes of its machine summaries; its
                                       array is NULL if there are none. Of an answer: only the
                                       version that the leader has. */
    GArray *cpus_being_preempted; /**< Cpus of each team's work that the sender's partition is
                                       preempting: array of double in the order of the teams in
                                       the settings, owned; NULL without summaries. */
} peer_message_t;

/** Frees what @p message owns and sets its arrays to NULL. A second call does nothing. */
void peer_message_clear(peer_message_t *message);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(peer_message_t, peer_message_clear)

/** Encodes @p message, which is only read. Returns the bytes (transfer full), or NULL if a string
 * or a list is longer than the protocol allows. */
GByteArray *peer_encode(const peer_message_t *message);

/** Decodes @p size bytes at @p data. Returns true and fills @p message, to be cleared by the
 * caller; or returns false for bytes that are no message and leaves @p message all zeros. Of a
 * decoded message, items, cancellations.jobs and job_counts.jobs are never NULL. */
bool peer_decode(const uint8_t *data, gsize size, peer_message_t *message);

#endif
