/** @file
 * The state of the exchange with the other controllers: the channels between leader and partitions,
 * and what each sibling last reported of itself. Guarded by the controller's lock.
 */
#ifndef PEPPERPULLEY_PEER_STATE_H
#define PEPPERPULLEY_PEER_STATE_H

#include <pthread.h>

#include "core/membership/redirection.h"
#include "core/replication/channel.h"
#include "core/replication/summary_update.h"

/** The state of the peer exchange. Arrays of MEMBERS_MAX_COUNT are in the order of the view's
 * members, except where another order is named. Times are of this controller's steady clock. */
typedef struct peer_state {
    pthread_cond_t item_available; /**< Broadcast when an item is queued for a partition, and when a
                                        view is installed or its data are loaded. */
    pthread_cond_t relay_ready;    /**< Signalled when the data of a view are loaded. */
    channel_t *leader_channel;     /**< The partition's end, towards the leader; owned. NULL before
                                        the first view. */
    GPtrArray *channels; /**< channel_t or NULL, owned and freed with the view: the leader's end for
                              each member. All NULL while another controller leads. */
    summary_replica_t summary_replicas[MEMBERS_MAX_COUNT]; /**< The leader's replica of the machine
                                                                summaries of each member. */
    bool are_summaries_pending[MEMBERS_MAX_COUNT]; /**< Whether the replica has changes that were
                                                      not handed to the leader's data yet. */
    msec_t received_at[MEMBERS_MAX_COUNT]; /**< When each member last called by socket; at first
                                              when the view was installed. */
    owner_health_t sibling_health[MEMBERS_MAX_COUNT]; /**< What each sibling last reported of
                                                           itself, in the order of the siblings in
                                                           the settings. */
    msec_t siblings_kv_answered_at; /**< When the key-value store last answered any sibling,
                                         according to their messages. */
    msec_t sibling_message_at;      /**< When the last message of any sibling arrived. */
    msec_t worker_heartbeat_at;     /**< When a worker of this partition last sent a heartbeat. */
} peer_state_t;

#endif
