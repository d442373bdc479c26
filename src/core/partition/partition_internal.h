/** @file
 * The fields of a partition.
 *
 * Private to the partition. Guarded by the controller's lock.
 */
#ifndef PEPPERPULLEY_PARTITION_INTERNAL_H
#define PEPPERPULLEY_PARTITION_INTERNAL_H

#include "core/partition/attempt_internal.h"
#include "core/partition/machine_internal.h"
#include "core/partition/page_internal.h"
#include "core/partition/partition.h"

/** See partition_type.h. */
struct partition {
    uint64_t view;                   /**< Number of the view. */
    GHashTable *machines;            /**< Id to machine_t (owned). */
    GHashTable *shards;              /**< Name to shard_t (owned). */
    GHashTable *terminated_machines; /**< Set of ids (owned) of dropped machines. */
    GHashTable *draining;            /**< Set of ids (owned) of draining machines. */
    GHashTable *attempts; /**< task_ref_t to attempt_t; the machines own both (transfer none). */
    GQueue *push_queue;   /**< Machines (machine_t, transfer none) for which commands or a probe may
                             be due, in the order in which they were queued. */
    uint64_t last_flush_order;    /**< The newest page_t.flush_order. */
    uint64_t last_reservation_id; /**< The newest reservation_t.reservation_id. */
    const GArray *machine_types;  /**< machine_type_t (transfer none). */
    const GArray *teams;          /**< team_t (transfer none), in the order of
                                     placement_request_t.preemptible_teams. */
    GArray *results; /**< attempt_result_t (owned) that are not yet delivered to the leader. */
    uint64_t change_count;     /**< See partition_change_count(). */
    guint tie_counter;         /**< Counter that rotates the choice among machines of equal rank. */
    msec_t reservation_ttl_ms; /**< Age at which a reservation expires. */
    msec_t acknowledgement_timeout_ms; /**< Time without acknowledgement after which a machine gets
                                          neither starts nor pushed commands. */
    guint probes_in_flight;            /**< Number of probes taken and not finished. */
    msec_t probe_delay_ms;  /**< Minimum time between the loading of a machine and its probe. */
    bool are_starts_paused; /**< Whether no `run` is sent, see partition_pause_starts(). */
    bool needs_new_view;    /**< Whether a machine's fencing token has reached the highest one of
                               the view. */
    bool has_preempted;     /**< Whether it has ever preempted an attempt. */
};

#endif
