/* What the sources of the cloud's loop share among themselves. Nobody else includes it.
 *
 * All of it runs on the loop's thread; lock not held, unless said. */
#ifndef PEPPERPULLEY_AUTOSCALER_LOOP_INTERNAL_H
#define PEPPERPULLEY_AUTOSCALER_LOOP_INTERNAL_H

#include "controller/controller.h"

/* A autoscaler whose answer is still owed: repeated under its name until it is answered. */
typedef struct idempotency_key {
    bool is_pending;
    char idempotency_key[LABEL_BYTES];
    scale_out_request_t request;
    uint64_t generation;
} pending_scale_out_t;

/* What the loop keeps. */
typedef struct cloud {
    controller_t *controller;
    http_client_t *client;
    msec_t machine_types_at; /* 0: never */
    msec_t listed_at;
    msec_t retained_at;   /* when the list of retained workers was last written */
    guint retained_count; /* how many it held */
    guint idempotency_key_count;
    pending_scale_out_t pending_scale_out;
    GHashTable *listed_machines; /* ids of the newest list */
    GPtrArray *failed_machines;  /* ids that it calls failed */
    GHashTable
        *recently_terminated; /* id -> msec_t *: released so lately that lists may still show it */
} cloud_t;

/* The loop (cloud.c). */

/* One call of the cloud; returns as http_call. */
int cloud_call(cloud_t *cloud, const char *method, const char *path, const json_t *body,
               json_t **answer);
/* With the lock held: the summary of a machine in the leader's data, and its partition (may be
 * NULL); NULL: no partition knows it. */
const machine_summary_t *cloud_find_summary(const controller_t *controller, const char *id,
                                            guint *partition);
/* With the lock held: whether we may act for all. A leader that was replaced while it was refused
 * has summaries that show all its machines silent; back in touch, it gave them up in the moment
 * before it heard of the new view. */
bool cloud_leads(const controller_t *controller);
/* Whether its release was confirmed within the list's lag: asking again would only cost calls. */
bool cloud_is_recently_terminated(const cloud_t *cloud, const char *id, msec_t now);
/* With the lock held: sends an item that names a machine to its partition. */
void cloud_send_machine_item(controller_t *controller, guint partition, channel_item_kind_t kind,
                             const char *id);

/* The list (cloud_listing.c). */

/* Reads the list and takes it, if we lead. */
void cloud_refresh_hosts(cloud_t *cloud);

/* Rentals (cloud_rental.c). */

/* Asks for the next machines that are wanted. False: there are none. */
bool cloud_scale_out(cloud_t *cloud);

/* Releases (cloud_release.c). */

/* Releases what is to go, for whatever reason. False: nothing was. */
bool cloud_scale_in(cloud_t *cloud);

/* Retained workers and excluded members (cloud_members.c). */

/* Machines that some controller keeps alive because they can't reach their owner: a set of ids, the
 * caller's; NULL: it could not be read. */
GHashTable *cloud_read_retained(cloud_t *cloud);
/* Publishes to the leader, through the key-value store, which workers of others this controller
 * keeps alive; at most once in a while, sooner when one has joined them. */
void cloud_publish_retained(cloud_t *cloud, msec_t now);
/* Silence after which a worker may have lost its owner: a heartbeat and a half, and the time it
 * takes.
 */
msec_t cloud_lost_after(const controller_t *controller);
/* A controller that its workers can't reach owns machines in vain: they are kept alive elsewhere
 * and get no starts. It is excluded, and its machines go to the others. */
void cloud_exclude_members(cloud_t *cloud, msec_t now);

#endif
