/** @file
 * The state of the exchange with the other controllers: the channels between leader and partitions,
 * and what each sibling last reported about itself. Guarded by the controller's lock.
 */
#ifndef PEPPERPULLEY_PEER_STATE_H
#define PEPPERPULLEY_PEER_STATE_H

#include <pthread.h>

#include "core/membership/redirection.h"
#include "core/replication/channel.h"
#include "core/replication/summary_update.h"

/** The state of the peer exchange. Arrays of MEMBERS_MAX_COUNT are in the order of the view's
 * members, unless the comment of the field says otherwise. Times are in ms of this controller's
 * steady clock. */
typedef struct peer_state {
    pthread_cond_t item_available; /**< Broadcast when an item is queued for a partition, when a
                                        view is installed, and when its records are loaded. */
    pthread_cond_t relay_ready;    /**< Signalled when the records of a view are loaded. */
    channel_t *leader_channel; /**< The partition's end of its channel to the leader; owned. NULL
                                    before the first view is installed. */
    GPtrArray *channels; /**< The leader's end of the channel to each member: channel_t, owned,
                            freed when the next view is installed. NULL for each member while
                            another controller leads. */
    summary_replica_t summary_replicas[MEMBERS_MAX_COUNT]; /**< The leader's replica of the machine
                                                                summaries of each member. */
    bool are_summaries_pending[MEMBERS_MAX_COUNT]; /**< Whether the replica has changes that were
                                                      not passed on to the placement data yet. */
    msec_t last_socket_call_at[MEMBERS_MAX_COUNT]; /**< When each member last called by socket, or
                                                      when the view was installed if it has not
                                                      called since. */
    owner_health_t sibling_health[MEMBERS_MAX_COUNT]; /**< What each sibling last reported about
                                                           itself, in the order of the siblings in
                                                           the settings. */
    msec_t siblings_kv_answered_at; /**< When the key-value store last answered any sibling,
                                         as the siblings' messages report it. */
    msec_t sibling_message_at;      /**< When the last message from any sibling arrived. */
    msec_t worker_heartbeat_at;     /**< When a heartbeat of a worker of this partition was last
                                       accepted. */
} peer_state_t;

#endif
