/** @file
 * The attempts of a partition and their state transitions.
 *
 * Private to the partition. Called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_ATTEMPT_INTERNAL_H
#define PEPPERPULLEY_ATTEMPT_INTERNAL_H

#include "core/partition/page_record.h"
#include "core/partition/partition_type.h"
#include "core/types.h"

/** The phase of an attempt. */
typedef enum attempt_phase {
    ATTEMPT_PLACED,    /**< Its resources are reserved. It is not recorded yet. */
    ATTEMPT_RECORDED,  /**< It is in the durable record, so its `run` command may be sent. */
    ATTEMPT_TERMINATED /**< It is proven to be over. The next commit removes it from the record. If
                          its cause is CAUSE_DONE, the next commit after its acknowledgement does
                          so. */
} attempt_phase_t;

/** How the commit in flight changes the durable record with regard to one attempt. */
typedef enum batch_change {
    BATCH_NONE, /**< It neither adds nor removes the attempt. */
    BATCH_ADD,  /**< It adds the attempt to the record. */
    BATCH_DROP  /**< It removes the attempt from the record. */
} batch_change_t;

/** One attempt on one machine. */
typedef struct attempt {
    task_ref_t ref;          /**< Its key in the partition's table. */
    record_entry_t entry;    /**< Its contents in the durable record. */
    uint64_t reservation_id; /**< Id of its reservation. */
    machine_t *machine;      /**< The machine it is placed on, which owns the attempt. */
    attempt_phase_t phase;   /**< Its phase. */
    uint64_t job_revision; /**< Revision of the job's key. The transaction that records the attempt
                              requires it unchanged. 0 if the attempt was loaded from a record. */
    uint64_t worker_epoch; /**< The worker epoch under which it is recorded. */
    bool is_in_record;     /**< Whether the durable record contains it. */
    batch_change_t batch_change; /**< What the commit in flight does with it. */
    bool is_listed; /**< Whether the newest accepted heartbeat lists it; for a terminated attempt,
                       the value from when it was terminated. */
    task_state_t state;    /**< Its state according to the last heartbeat that listed it. */
    cause_t cause;         /**< Why it is over, if it is terminated. */
    bool is_done_reported; /**< Whether its result CAUSE_DONE was reported to the leader. It stays
                              recorded until the leader acknowledges the result. */
    bool is_acknowledged;  /**< Whether its result is durable at the leader, or is no longer needed
                              by anyone. */
    bool waits_for_preempted; /**< Whether its start waits for the resources of attempts that are
                                 being preempted. */
    bool is_preempted;        /**< Whether it is being stopped to make room for another attempt. */
    bool is_stop_requested;   /**< Whether it is to be stopped. */
    msec_t kill_at; /**< Time from which a stop command gives it no time to save; 0: no stop command
                       does. */
    msec_t listed_since_at; /**< When a heartbeat first listed it; 0: never. */
} attempt_t;

/** Adds a new attempt to the machine, which owns it. Returns the attempt (transfer none). */
attempt_t *partition_add_attempt(partition_t *partition, machine_t *machine,
                                 const record_entry_t *entry);
/** Frees the attempt and its reservation. */
void partition_drop_attempt(partition_t *partition, attempt_t *attempt);
/** Returns the attempt that a heartbeat of the machine lists (transfer none), or NULL if the
 * attempt is not known or belongs to another machine. */
attempt_t *partition_find_attempt(partition_t *partition,
                                  const reported_attempt_t *reported_attempt,
                                  const machine_t *machine);
/** Appends the attempt's result to partition_results(). */
void partition_add_result(partition_t *partition, const attempt_t *attempt);
/** Records that the attempt is over. The caller must have one of the proofs listed in partition.h.
 * An attempt whose start is being committed is removed from the record after that commit. */
void partition_terminate_attempt(partition_t *partition, attempt_t *attempt, cause_t cause);
/** Requests that the attempt be stopped. It gets time to save if it has checkpoints. */
void partition_stop_attempt(partition_t *partition, attempt_t *attempt, msec_t now);

#endif
