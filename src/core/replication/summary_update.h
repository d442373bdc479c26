/* Machine summaries on their way from a partition to the leader, as changes.
 *
 * Most summaries of a partition are as they were a moment ago, apart from ages that grow with the
 * time. So the partition sends what differs from the version that the leader said it has, and the
 * leader lets the ages of all others grow. A version that the leader does not have, whatever the
 * reason, makes the next update a whole one. The caller holds the controller's lock. */
#ifndef PEPPERPULLEY_SUMMARY_UPDATE_H
#define PEPPERPULLEY_SUMMARY_UPDATE_H

#include "core/leader/leader.h"

/* What a message carries. Owns its arrays. */
typedef struct summary_update {
    uint64_t base;         /* the version that it changes; 0: it is all there is */
    uint64_t version;      /* with it applied */
    GArray *summaries;     /* machine_summary_t: changed and new ones */
    GPtrArray *terminated; /* ids of those that are gone */
} summary_update_t;

void summary_update_clear(summary_update_t *update);

/* All summaries of a partition at one moment. Owns them. */
typedef struct summary_version {
    uint64_t version; /* 0: none */
    GArray *summaries;
    msec_t at;
} summary_version_t;

/* The partition's side. */
typedef struct summary_sender {
    summary_version_t acknowledged; /* the leader has it */
    summary_version_t sent;         /* the last one that left */
    uint64_t last_version;
} summary_sender_t;

/* What the leader has is not known any more: the next update is whole. */
void summary_sender_reset(summary_sender_t *sender);
/* The next update; takes `current` over. */
summary_update_t summary_sender_next(summary_sender_t *sender, GArray *current, msec_t now);
/* The leader says that it has this version. */
void summary_sender_acknowledge(summary_sender_t *sender, uint64_t version);

/* The leader's side: what a partition has told. */
typedef summary_version_t summary_replica_t;

void summary_replica_clear(summary_replica_t *replica);
/* False: it changes a version that is not the replica's, or is older; nothing was taken. */
bool summary_replica_apply(summary_replica_t *replica, const summary_update_t *update, msec_t now);

#endif
