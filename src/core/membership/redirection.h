/* Worker redirection: workers that heartbeat to this controller, which does not own them.
 *
 * Owns: what each of them said last, and which of an owner's workers was sent to try it. Such a
 * worker is redirected to its owner; one that comes right back can't reach it and is retained here,
 * without starts, until a new try. A worker that comes when the owners have stood for a while had
 * one and lost it: of those one is sent as a probe, and the others are retained until it is back or
 * has stayed away. Each of them would try every controller for 5 s, and lose its lease on the way.
 * The leader is told of those retained, so that it does not take them for dead. */
#ifndef PEPPERPULLEY_REDIRECTION_H
#define PEPPERPULLEY_REDIRECTION_H

#include "core/types.h"

typedef struct redirection redirection_t;

typedef enum {
    REDIRECTION_TO_OWNER,  /* to be sent to its owner */
    REDIRECTION_RETAINED,  /* to be answered */
    REDIRECTION_DUPLICATE, /* a copy of what came before: nothing follows from it */
    REDIRECTION_UNVERIFIED /* written before these owners were known there, so perhaps a late copy:
                      to be answered, which brings its worker the fencing token, but nothing follows
                      from it
                    */
} redirection_verdict_t;

/* What another controller said of itself in answer to heartbeats. */
typedef struct owner_health {
    msec_t answered_at;         /* when the heartbeat was sent that it last answered */
    msec_t worker_heartbeat_at; /* when a worker that it owns last reported to it */
} owner_health_t;

redirection_t *redirection_new(void);
void redirection_free(redirection_t *redirection);
/* The owners changed: everybody is redirected anew, but to owners that could not be reached of
 * late. token: of the view that changed them; reports below it were written before. */
void redirection_clear(redirection_t *redirection, uint64_t fencing_token, msec_t now);
/* Whether the controller answers this one and is heard by its workers. */
bool redirection_owner_is_healthy(const owner_health_t *health, msec_t now);
/* name: the controller it belongs to, by name and incarnation. is_owner_reachable: other workers
 * reach it, so this one need not wait for a probe. */
redirection_verdict_t redirection_handle_heartbeat(redirection_t *redirection,
                                                   const worker_heartbeat_t *heartbeat,
                                                   const char *name, bool is_owner_reachable,
                                                   msec_t now);
/* Stop commands for all that the heartbeat lists of jobs that are not among the live ones (keys:
 * ids). commands: array of worker_command_t to append to. */
void redirection_stop_ended(const worker_heartbeat_t *heartbeat, GHashTable *live_jobs,
                            GArray *commands);
/* Machines retained here that showed of late that our answers reach them: a worker's heartbeats
 * alone, late copies among them, are no sign that it lives. Array of strings, owned by the array.
 * Forgets those long gone. */
GPtrArray *redirection_retained(redirection_t *redirection, msec_t now);
/* Adds the same ids to a set that owns its keys. */
void redirection_add_retained(redirection_t *redirection, msec_t now, GHashTable *ids);

#endif
