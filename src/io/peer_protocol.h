/* Messages between controllers, as XDR in memory. */
#ifndef PEPPERPULLEY_PEER_PROTOCOL_H
#define PEPPERPULLEY_PEER_PROTOCOL_H

#include "core/leader/leader.h"
#include "core/replication/cancellation_log.h"
#include "core/replication/channel.h"
#include "core/replication/summary_update.h"

/* One message, decoded. Owns its arrays. */
typedef struct decoded_message {
    char sender[ID_BYTES];
    uint64_t incarnation;
    uint64_t view;
    uint64_t number; /* of the batch; 0: none sent so far */
    uint64_t ack;
    msec_t kv_answer_age_ms;
    msec_t hold_ms; /* an answer to a heartbeat: how long it was delayed for news */
    msec_t
        worker_heartbeat_age_ms; /* since a worker that the dispatcher owns last reported to it */
    bool is_heartbeat;
    uint64_t acknowledged_incarnation;
    uint64_t acknowledged_index;
    cancellation_update_t update; /* jobs NULL: none */
    job_counts_update_t counts;   /* of a call: what the caller has, without jobs */
    GArray *items;                /* channel_item_t */
    summary_update_t summaries;   /* of a call: its summaries NULL: none are told; of an answer:
                                     only the version, which the leader has */
    GArray *cpus_being_preempted; /* double, a team each; NULL without summaries */
} peer_message_t;

void peer_message_clear(peer_message_t *message);
/* NULL if it can't be encoded. items and summaries are only read. */
GByteArray *peer_encode(const peer_message_t *message);
bool peer_decode(const uint8_t *data, gsize size, peer_message_t *message);

#endif
