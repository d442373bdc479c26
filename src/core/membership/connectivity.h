/** @file
 * Determines why the key-value store does not answer this controller.
 *
 * If the key-value store refuses this controller alone, the other controllers have replaced it or
 * will replace it. In an outage of the key-value store, all controllers wait for its end. A
 * controller that receives neither answers from the key-value store nor messages from any sibling
 * (another controller named in the settings) cannot tell these cases apart. It must soon stop
 * renewing its workers' leases, because the other controllers may have replaced it.
 *
 * All times are of this controller's steady clock, in ms. Pure functions without a lock.
 */
#ifndef PEPPERPULLEY_CONNECTIVITY_H
#define PEPPERPULLEY_CONNECTIVITY_H

#include "core/types.h"

/** What a controller knows about its connections at one time. A value without owned memory. */
typedef struct connectivity {
    msec_t kv_answered_at;  /**< When the newest request that the key-value store has answered
                               was sent. */
    msec_t peer_message_at; /**< When the last message from a sibling arrived, by socket or
                               relay. */
    msec_t siblings_kv_answered_at; /**< When the key-value store last answered a sibling, according
                                       to the siblings' messages. */
    bool has_no_siblings;           /**< The settings name no other controller. */
} connectivity_t;

/** Whether and why the key-value store does not answer this controller. */
typedef enum {
    CONNECTIVITY_GOOD,    /**< It answered a request that was sent at most ISOLATED_AFTER_MS ago. */
    CONNECTIVITY_OUTAGE,  /**< Outage: siblings can be reached, and it does not answer them either.
                             Also assumed by a controller without siblings. */
    CONNECTIVITY_REFUSED, /**< It answers a sibling but not this controller. */
    CONNECTIVITY_ISOLATED /**< Neither the key-value store nor any sibling can be reached. */
} connectivity_state_t;

/** Returns the state at @p now. */
connectivity_state_t connectivity_assess(const connectivity_t *connectivity, msec_t now);

/** Returns whether the controller's connectivity still allows it to answer worker heartbeats at
 * @p now. In the state CONNECTIVITY_ISOLATED, it allows this only until ISOLATED_SERVE_MS after the
 * newest answered request to the key-value store was sent. */
bool connectivity_may_serve_workers(const connectivity_t *connectivity, msec_t now);

#endif
