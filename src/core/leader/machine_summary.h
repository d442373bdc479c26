/** @file
 * A machine as its partition describes it to the leader.
 */
#ifndef PEPPERPULLEY_MACHINE_SUMMARY_H
#define PEPPERPULLEY_MACHINE_SUMMARY_H

#include "core/types.h"

/** One machine of a partition. The leader lowers @c free for each request that it makes, until the
 * partition hands in its next summaries. */
typedef struct machine_summary {
    char machine[ID_BYTES]; /**< The machine's id. */
    char type[LABEL_BYTES]; /**< The machine type's name. */
    char zone[LABEL_BYTES]; /**< Its zone. */
    bool is_spot;           /**< It is a spot machine. */
    bool is_open;           /**< It accepts starts. */
    bool is_draining;       /**< It is being emptied. */
    int claim_priority;     /**< The leader's mark for one round: work below this priority_t is not
                               placed here, because the machine is claimed for larger work. */
    resources_t total;      /**< Its capacity. */
    resources_t free;       /**< What neither reported attempts nor reservations take. */
    guint attempts;         /**< Number of attempts recorded there. */
    msec_t silent_ms;       /**< Time since it was last reached. */
    msec_t idle_ms;         /**< Time since it last had work. */
    msec_t known_ms;        /**< Time since the partition first received anything of it. */
} machine_summary_t;

#endif
