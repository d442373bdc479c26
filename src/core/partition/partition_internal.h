/* What the sources of the partition share among themselves. Nobody else includes it.
 *
 * As for partition.h: the caller holds the lock of the controller, nothing waits or does input or
 * output.
 */
#ifndef PEPPERPULLEY_PARTITION_INTERNAL_H
#define PEPPERPULLEY_PARTITION_INTERNAL_H

#include "core/partition/partition.h"

/* The machine table (partition.c). Shards, pages and machines belong to the partition. */

/* Sets the machine's capacity from its type; unknown until the types are. */
void partition_look_up_capacity(const partition_t *partition, machine_t *machine);
/* The shard of this name, made if it is new. */
shard_t *partition_shard(partition_t *partition, const char *name);
/* The page of this number; NULL: there is none. shard may be NULL. */
page_t *partition_page_lookup(const shard_t *shard, guint number);
/* The page of this number, made if it is new. */
page_t *partition_page(shard_t *shard, guint number);
/* Its record is to be written soon; pages take turns by their first touch. */
void partition_flush_page(partition_t *partition, page_t *page);
/* The machine's record is to be written soon: something can't start or be placed again before. */
void partition_flush_machine(partition_t *partition, const machine_t *machine);
/* A new machine. page: of its record; NULL: it has none yet, and gets a place on one. */
machine_t *partition_machine_add(partition_t *partition, const char *id, const char *zone,
                                 page_t *page, msec_t now);
/* Frees a machine that is gone; its name never comes back. */
void partition_machine_drop(partition_t *partition, machine_t *machine);

/* Attempts (partition_attempts.c). */

/* A new attempt on the machine, which owns it. */
attempt_t *partition_attempt_add(partition_t *partition, machine_t *machine,
                                 const record_entry_t *entry);
/* Frees the attempt and its reservation. */
void partition_attempt_drop(partition_t *partition, attempt_t *attempt);
/* The attempt that the machine's heartbeat lists; NULL: it is not known, or is another machine's.
 */
attempt_t *partition_find_attempt(partition_t *partition,
                                  const reported_attempt_t *reported_attempt,
                                  const machine_t *machine);
/* Appends the attempt's result to those that the leader is to get. */
void partition_add_result(partition_t *partition, const attempt_t *attempt);
/* Proof stands: the attempt is over. One not yet recorded leaves with its batch's end. */
void partition_terminate_attempt(partition_t *partition, attempt_t *attempt, cause_t cause);

/* Commands (partition_commands.c). */

/* The machine's commands are to go out at once. */
void partition_queue_push(partition_t *partition, machine_t *machine);
/* Appends a command to an array of worker_command_t. */
void partition_command_add(GArray *commands, worker_command_op_t op, const char *job, uint32_t task,
                           uint64_t number, double grace_s);
/* Appends the commands that bring the machine to what is wanted: stops, then runs. A start that
 * waits for the resources of others goes out when those are free, or in one message after the stops
 * that free them. */
void partition_wanted_commands(const partition_t *partition, const machine_t *machine, msec_t now,
                               GArray *commands);

/* Placement (partition_placement.c). */

/* Whether the machine is open for the placement request, resources aside. */
bool partition_is_open(const partition_t *partition, const machine_t *machine,
                       const placement_request_t *request, msec_t now);
/* Whether the request's image has been in use on the machine, so that it need not be fetched. */
bool partition_is_warm(const machine_t *machine, const placement_request_t *request);

/* Preemption and draining (partition_preemption.c). */

/* Stops work of the machine where that loses least, and returns the machine; NULL: there is none.
 */
machine_t *partition_preempt_for(partition_t *partition, const placement_request_t *request,
                                 msec_t now);
/* Stops what can save on a machine that is being drained, once most of it is empty. */
void partition_empty_drained(partition_t *partition, machine_t *machine, msec_t now);

#endif
