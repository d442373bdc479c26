/** @file
 * Judges why the key-value store does not answer this controller.
 *
 * A controller that is refused alone was replaced or will be; in an outage of the key-value store
 * all controllers wait. A controller that has no answer of the key-value store and no message of
 * any sibling cannot tell the two apart. It must not keep renewing its workers' leases for long,
 * because the other controllers may have replaced it.
 *
 * All times are of this controller's steady clock, in ms. Pure functions without a lock.
 */
#ifndef PEPPERPULLEY_CONNECTIVITY_H
#define PEPPERPULLEY_CONNECTIVITY_H

#include "core/types.h"

/** What a controller knows about its connections. A value, filled in for one judgement. */
typedef struct connectivity {
    msec_t kv_answered_at;  /**< When the newest request that the key-value store answered was sent.
                             */
    msec_t peer_message_at; /**< When the last message of a sibling arrived, by socket or relay. */
    msec_t siblings_kv_answered_at; /**< When the key-value store last answered a sibling, as the
                                       siblings' messages state it. */
    bool has_no_siblings;           /**< The settings name no other controller. */
} connectivity_t;

/** Why the key-value store does not answer. */
typedef enum {
    CONNECTIVITY_GOOD,    /**< It answers, or answered ISOLATED_AFTER_MS ago at most. */
    CONNECTIVITY_OUTAGE,  /**< An outage: siblings can be reached, and have no answers either. */
    CONNECTIVITY_REFUSED, /**< It answers a sibling, and not this controller. */
    CONNECTIVITY_NONE     /**< Neither the key-value store nor any sibling can be reached. */
} connectivity_state_t;

/** Returns the state at the moment @p now. */
connectivity_state_t connectivity_judge(const connectivity_t *connectivity, msec_t now);

/** Returns whether heartbeats of workers may still be answered at @p now, as far as the
 * controller's isolation is concerned: without any connection only for SERVE_ALONE_MS after the
 * key-value store's last answer. */
bool connectivity_may_serve_workers(const connectivity_t *connectivity, msec_t now);

#endif
