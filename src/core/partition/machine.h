/** @file
 * Read access to the machines of a partition.
 *
 * Called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_MACHINE_H
#define PEPPERPULLEY_MACHINE_H

#include "core/partition/partition_type.h"
#include "core/types.h"

/** Returns the machine's id (transfer none). */
const char *machine_id(const machine_t *machine);
/** Returns the host and port at which the machine's worker accepts pushed commands (transfer none).
 */
const char *machine_address(const machine_t *machine);
/** Returns the worker epoch of the machine's newest accepted heartbeat, or of its record if no
 * heartbeat was accepted yet; 0: unknown. */
uint64_t machine_worker_epoch(const machine_t *machine);

/** Returns the fencing token under which commands are sent to the machine now: the highest one of
 * this view that its worker has reported or that was sent to it. The first one of the view if the
 * partition does not know the machine. */
uint64_t partition_fencing_token(const partition_t *partition, const char *id);

/** The exited attempts that workers still list. */
typedef struct exited_statistics {
    guint count;      /**< Their number on all machines. */
    msec_t oldest_ms; /**< The longest time for which one of them has been listed; 0: none. */
} exited_statistics_t;

/** Returns the statistics of the exited attempts that the workers list at @p now. */
exited_statistics_t partition_exited_statistics(const partition_t *partition, msec_t now);

/** The status of a machine at one moment, from which the summary for the leader is built. */
typedef struct machine_status {
    const char *id;      /**< Id (transfer none). */
    const char *type;    /**< Name of the machine type (transfer none). */
    const char *zone;    /**< Zone (transfer none). */
    bool is_spot;        /**< Whether it is a spot machine. */
    bool accepts_starts; /**< Whether it is reachable, of a known type, not draining and without an
                            interruption notice. */
    bool is_draining;    /**< Whether it is draining: it accepts no starts, and its attempts are to
                            leave it. */
    resources_t total;   /**< Its total resources. */
    resources_t free;    /**< Resources taken neither by listed attempts nor by reservations. */
    guint attempts;      /**< Number of its attempts in any phase. */
    msec_t unacknowledged_ms; /**< Time since it last acknowledged a message sent to it. */
    msec_t idle_ms;           /**< Time since it was last known to have work. */
    msec_t known_ms;          /**< Time since this partition first learned of it. */
} machine_status_t;

/** Receives the status of one machine, valid only during the call. @p data is the pointer that the
 * caller passed to partition_visit_machines(). */
typedef void (*machine_status_func_t)(const machine_status_t *status, gpointer data);

/** Calls @p visit with the status at @p now of each machine that is not terminated. */
void partition_visit_machines(const partition_t *partition, msec_t now, machine_status_func_t visit,
                              gpointer data);

#endif
