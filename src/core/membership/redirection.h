/** @file
 * Redirection of workers that send heartbeats to this controller although another controller owns
 * their machines.
 *
 * Such a worker is redirected to its owner. If it returns soon afterwards, it could not reach the
 * owner, and this controller retains it: it answers the worker's heartbeats, without starts, until
 * it redirects the worker again.
 *
 * A worker that arrives here some time after the last view change has lost contact with its owner,
 * usually together with the owner's other workers. This controller then redirects one of them as a
 * probe. It retains the others until the probe has returned, or until REDIRECT_PROBE_MS has passed
 * without its return. Without the probe, each worker would wait 5 s for every controller that does
 * not answer, and its lease would expire meanwhile. The leader receives the list of retained
 * machines, so that it does not treat them as dead.
 *
 * Pure: no input, output or clock; times are of this controller's steady clock, in ms. The caller
 * holds the lock that guards the redirection.
 */
#ifndef PEPPERPULLEY_REDIRECTION_H
#define PEPPERPULLEY_REDIRECTION_H

#include "core/types.h"

/** The workers that this controller has redirected or retained, and what is known from them about
 * the reachability of their owners. Opaque. */
typedef struct redirection redirection_t;

/** How a heartbeat is to be handled. */
typedef enum {
    REDIRECTION_TO_OWNER,  /**< Redirect the worker to its owner. */
    REDIRECTION_RETAINED,  /**< Answer the heartbeat here, without starts. */
    REDIRECTION_DUPLICATE, /**< Refuse it: it is a copy, or older than one received before. */
    REDIRECTION_UNVERIFIED /**< The worker sent it before it knew the view that assigned these
                              owners, so it may be a late copy. Answer it, which gives the worker
                              the fencing token, but conclude nothing from it. */
} redirection_verdict_t;

/** What another controller's answers to peer heartbeats show about its health. */
typedef struct owner_health {
    msec_t answered_at;         /**< It made its newest answer at this time or later; 0: none. */
    msec_t worker_heartbeat_at; /**< When it last received a heartbeat of a worker that it owns. */
} owner_health_t;

/** Returns a new redirection without workers (transfer full; free with redirection_free). */
redirection_t *redirection_new(void);

/** Frees a redirection. */
void redirection_free(redirection_t *redirection);

/** Discards the state of the workers because a new view may have changed their owners. They are all
 * redirected again, except to owners that were recently unreachable. @p view: the number of that
 * view; heartbeats with a fencing token of an earlier one were sent before the worker knew the
 * view. */
void redirection_reset(redirection_t *redirection, uint64_t view, msec_t now);

/** Returns whether the owner has recently answered this controller and received a heartbeat from
 * one of its own workers. */
bool redirection_owner_is_healthy(const owner_health_t *health, msec_t now);

/** Records a heartbeat of a worker that this controller does not own, and returns how to handle it.
 * @p owner_name: the owner's name and incarnation in one string, so that a restarted owner counts
 * as a new one. @p is_owner_reachable: other workers reach the owner, so this worker need not wait
 * for a probe. */
redirection_verdict_t redirection_handle_heartbeat(redirection_t *redirection,
                                                   const worker_heartbeat_t *heartbeat,
                                                   const char *owner_name, bool is_owner_reachable,
                                                   msec_t now);

/** Appends a stop command for each attempt in the heartbeat that has not exited and whose job is
 * not live. @p live_jobs: id (char *) -> any value; transfer none. @p commands: array of
 * worker_command_t. */
void redirection_append_stops(const worker_heartbeat_t *heartbeat, GHashTable *live_jobs,
                              GArray *commands);

/** Returns the ids of the retained machines whose heartbeats recently showed that this controller's
 * answers reach them (transfer full; array of char *, which owns them). The arrival of a heartbeat
 * alone does not prove that the worker is alive, because it may be a late copy. Also discards the
 * state of workers that have sent no heartbeat for REDIRECTION_FORGET_MS. */
GPtrArray *redirection_list_retained(redirection_t *redirection, msec_t now);

/** Adds the ids that redirection_list_retained returns to @p ids, a set of char * that owns its
 * keys. */
void redirection_add_retained(redirection_t *redirection, msec_t now, GHashTable *ids);

#endif
