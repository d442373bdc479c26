/** @file
 * What others may read of a partition's machines.
 *
 * Called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_MACHINE_H
#define PEPPERPULLEY_MACHINE_H

#include "core/partition/partition_type.h"
#include "core/types.h"

/** Returns the machine's id (transfer none). */
const char *machine_id(const machine_t *machine);
/** Returns host and port at which the machine's worker takes pushed commands (transfer none). */
const char *machine_address(const machine_t *machine);
/** Returns the worker epoch of the machine's newest accepted heartbeat, else of its record; 0:
 * unknown. */
uint64_t machine_worker_epoch(const machine_t *machine);

/** A machine's state at one moment, from which the leader's summary of it is made. */
typedef struct machine_status {
    const char *id;      /**< Id (transfer none). */
    const char *type;    /**< Name of the machine type (transfer none). */
    const char *zone;    /**< Zone (transfer none). */
    bool is_spot;        /**< It is a spot machine. */
    bool accepts_starts; /**< It is reachable, of a known type, not draining and not about to be
                            interrupted. */
    bool is_draining;    /**< It takes no starts and is being emptied. */
    resources_t total;   /**< Its capacity. */
    resources_t free;    /**< Resources that neither listed attempts nor reservations take. */
    guint attempts;      /**< Number of its attempts, whatever their phase. */
    msec_t unacknowledged_ms; /**< Time since it last acknowledged what was sent to it. */
    msec_t idle_ms;           /**< Time since it last had work. */
    msec_t known_ms;          /**< Time since this partition first knew it. */
} machine_status_t;

/** Receives the state of one machine, valid for the call only. @p data is the caller's. */
typedef void (*machine_status_func_t)(const machine_status_t *status, gpointer data);

/** Calls @p visit with the state at @p now of each machine that is not terminated. */
void partition_visit_machines(const partition_t *partition, msec_t now, machine_status_func_t visit,
                              gpointer data);

#endif
