/* The exchange with the other controllers: the channels between leader and partitions, and what
 * each sibling said of itself. Guarded by the controller's lock. */
#ifndef PEPPERPULLEY_PEER_STATE_H
#define PEPPERPULLEY_PEER_STATE_H

#include <pthread.h>

#include "core/membership/redirection.h"
#include "core/replication/channel.h"
#include "core/replication/summary_update.h"

typedef struct peer_state {
    pthread_cond_t item_available; /* broadcast when an item is queued for a partition */
    pthread_cond_t relay_ready;    /* signalled when the data of a view were loaded */
    channel_t *leader_channel;     /* this partition's end, towards the leader; owned */
    GPtrArray *channels; /* channel_t, owned: the leader's ends, a member each; NULL for its own */
    summary_replica_t summary_replicas[MEMBERS_MAX_COUNT]; /* the leader's, a member each */
    bool are_summaries_pending[MEMBERS_MAX_COUNT]; /* the replica has changes that the leader's data
                                                      have not */
    msec_t received_at[MEMBERS_MAX_COUNT];         /* when each member last called by socket */
    owner_health_t sibling_health[MEMBERS_MAX_COUNT]; /* in the order of settings_t.siblings */
    msec_t siblings_kv_answered_at; /* when the key-value store last answered a sibling, as it said
                                     */
    msec_t sibling_message_at;      /* when a sibling's last message arrived */
    msec_t worker_heartbeat_at;     /* when a worker of this partition last sent a heartbeat */
} peer_state_t;

#endif
