/** @file
 * The attempts of a partition, and the changes of their state.
 *
 * Private to the partition. Called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_ATTEMPT_INTERNAL_H
#define PEPPERPULLEY_ATTEMPT_INTERNAL_H

#include "core/partition/page_record.h"
#include "core/partition/partition_type.h"
#include "core/types.h"

/** How far an attempt is. */
typedef enum attempt_phase {
    ATTEMPT_PLACED,    /**< Resources are reserved; it is not recorded yet. */
    ATTEMPT_RECORDED,  /**< It is recorded: its `run` may be sent. */
    ATTEMPT_TERMINATED /**< It is proved over, and leaves the record with the next commit; one with
                          CAUSE_DONE once it is acknowledged. */
} attempt_phase_t;

/** What the commit in flight does to an attempt. */
typedef enum batch_change {
    BATCH_NONE, /**< Nothing. */
    BATCH_ADD,  /**< It adds the attempt to the record. */
    BATCH_DROP  /**< It takes the attempt off the record. */
} batch_change_t;

/** One attempt on one machine. */
typedef struct attempt {
    task_ref_t ref;              /**< Its key in the partition's table. */
    record_entry_t entry;        /**< What the record holds of it. */
    uint64_t reservation_id;     /**< Names its reservation. */
    machine_t *machine;          /**< Its machine, which owns it. */
    attempt_phase_t phase;       /**< How far it is. */
    uint64_t job_revision;       /**< Revision of the job that its record's commit requires. */
    uint64_t worker_epoch;       /**< The worker epoch under which it is recorded. */
    bool is_in_record;           /**< The durable record holds it. */
    batch_change_t batch_change; /**< What the commit in flight does to it. */
    bool is_listed;           /**< The newest accepted heartbeat lists it; once terminated: the one
                                 that proved it over did. */
    task_state_t state;       /**< Its state, as last listed. */
    cause_t cause;            /**< Why it is over, once it is terminated. */
    bool is_done_reported;    /**< Its result, CAUSE_DONE, was reported to the leader. It stays
                                 recorded until that is acknowledged. */
    bool is_acknowledged;     /**< Its result is durable at the leader, or nobody needs it. */
    bool waits_for_preempted; /**< It waits for the resources of attempts that are being
                                 preempted. */
    bool is_preempted;        /**< It is being stopped to make room for another. */
    bool is_stop_requested;   /**< It is to stop. */
    msec_t kill_at;           /**< From when on a stop gives it no time to save; 0: always. */
    msec_t listed_since_at;   /**< When it was first listed; 0: never. */
} attempt_t;

/** Adds a new attempt to the machine, which owns it (transfer none). */
attempt_t *partition_add_attempt(partition_t *partition, machine_t *machine,
                                 const record_entry_t *entry);
/** Frees the attempt and its reservation. */
void partition_drop_attempt(partition_t *partition, attempt_t *attempt);
/** Returns the attempt that a heartbeat of the machine lists (transfer none); NULL: it is not
 * known, or is another machine's. */
attempt_t *partition_find_attempt(partition_t *partition,
                                  const reported_attempt_t *reported_attempt,
                                  const machine_t *machine);
/** Appends the attempt's result to partition_results(). */
void partition_add_result(partition_t *partition, const attempt_t *attempt);
/** Records that the attempt is proved over, by one of the proofs in partition.h. One whose record
 * is being committed leaves after that commit. */
void partition_terminate_attempt(partition_t *partition, attempt_t *attempt, cause_t cause);
/** Makes the attempt stop. It has time to save, if it has checkpoints. */
void partition_stop_attempt(partition_t *partition, attempt_t *attempt, msec_t now);

#endif
