/** @file
 * The summary of a machine that its partition sends to the leader.
 */
#ifndef PEPPERPULLEY_MACHINE_SUMMARY_H
#define PEPPERPULLEY_MACHINE_SUMMARY_H

#include "core/types.h"

/** One machine of a partition. The leader reduces @c free for each request that it makes, until the
 * partition sends its next summaries. */
typedef struct machine_summary {
    char machine[ID_BYTES]; /**< The machine's id. */
    char type[LABEL_BYTES]; /**< The machine type's name. */
    char zone[LABEL_BYTES]; /**< Its zone. */
    bool is_spot;           /**< Whether it is a spot machine. */
    bool accepts_starts;    /**< Whether it accepts starts. */
    bool is_draining;   /**< Whether it is draining: it accepts no starts, and its attempts are to
                           leave it. */
    int claim_priority; /**< Set by the leader for one round. Work below this priority_t is not
                           placed here, because the machine is claimed for larger work. */
    resources_t total;  /**< Its capacity. */
    resources_t free;   /**< Resources taken neither by listed attempts nor by reservations. */
    guint attempts;     /**< Number of its attempts in any phase, recorded or not. */
    msec_t silent_ms;   /**< Time since it last acknowledged a message sent to it. */
    msec_t idle_ms;     /**< Time since it was last known to have work. */
    msec_t known_ms;    /**< Time since the partition first learned of it. */
} machine_summary_t;

#endif
