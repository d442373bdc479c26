/** @file
 * Redirection of workers that send heartbeats to this controller, which does not own their
 * machines.
 *
 * Such a worker is redirected to its owner. One that returns soon after cannot reach the owner. It
 * is retained here: its heartbeats are answered, without starts, until the next attempt.
 *
 * A worker that arrives when the view has stood for a while had an owner and lost it, usually
 * together with the owner's other workers. One of them is then redirected as a probe, and the
 * others are retained until the probe has returned or has stayed away. Without that, each of them
 * would wait 5 s for every controller that does not answer, and lose its lease meanwhile. The
 * leader receives the list of retained machines, so that it does not take them for dead.
 *
 * Pure: no input, output or clock; times are of this controller's steady clock, in ms. The caller
 * holds the lock that guards the redirection.
 */
#ifndef PEPPERPULLEY_REDIRECTION_H
#define PEPPERPULLEY_REDIRECTION_H

#include "core/types.h"

/** The redirected and retained workers of one controller, and what their attempts to reach their
 * owners showed. Opaque. */
typedef struct redirection redirection_t;

/** What follows from a heartbeat. */
typedef enum {
    REDIRECTION_TO_OWNER,  /**< The worker is to be redirected to its owner. */
    REDIRECTION_RETAINED,  /**< The heartbeat is to be answered here. */
    REDIRECTION_DUPLICATE, /**< A copy of an earlier heartbeat: nothing follows from it. */
    REDIRECTION_UNVERIFIED /**< Written before the worker knew the view that made these owners, so
                              perhaps a late copy. It is to be answered, which brings the worker the
                              fencing token; nothing else follows from it. */
} redirection_verdict_t;

/** What another controller states about itself in its answers to peer heartbeats. */
typedef struct owner_health {
    msec_t answered_at; /**< When the newest peer heartbeat that it answered was sent; 0: none. */
    msec_t worker_heartbeat_at; /**< When it last received a heartbeat of a worker that it owns. */
} owner_health_t;

/** Returns a redirection without workers (transfer full; redirection_free). */
redirection_t *redirection_new(void);

/** Frees a redirection. */
void redirection_free(redirection_t *redirection);

/** Forgets the workers because a view changed the owners: all are redirected anew, except to owners
 * that were unreachable a moment ago. @p fencing_token: of that view; heartbeats with a lower one
 * were written before it. */
void redirection_clear(redirection_t *redirection, uint64_t fencing_token, msec_t now);

/** Returns whether the owner answers this controller and receives heartbeats of its workers. */
bool redirection_owner_is_healthy(const owner_health_t *health, msec_t now);

/** Records a heartbeat of a worker that this controller does not own, and returns what follows from
 * it. @p owner_name: the owner's name and incarnation in one string, so that a restarted owner is a
 * new one. @p is_owner_reachable: other workers reach the owner, so this one need not wait for a
 * probe. */
redirection_verdict_t redirection_handle_heartbeat(redirection_t *redirection,
                                                   const worker_heartbeat_t *heartbeat,
                                                   const char *owner_name, bool is_owner_reachable,
                                                   msec_t now);

/** Appends a stop command for each attempt in the heartbeat that runs for a job which is not live.
 * @p live_jobs: id (char *) -> any value; transfer none. @p commands: array of worker_command_t. */
void redirection_stop_ended(const worker_heartbeat_t *heartbeat, GHashTable *live_jobs,
                            GArray *commands);

/** Returns the ids of the retained machines that showed a moment ago that answers of this
 * controller reach them (transfer full; array of char *, which owns them). Heartbeats alone, late
 * copies among them, do not prove that a worker is alive. Also forgets workers that have been away
 * for long. */
GPtrArray *redirection_retained(redirection_t *redirection, msec_t now);

/** Adds the ids that redirection_retained returns to the set @p ids, which owns its keys (char *).
 */
void redirection_add_retained(redirection_t *redirection, msec_t now, GHashTable *ids);

#endif
