/** @file
 * A partition: the machines that one controller owns in one view.
 *
 * Owns, in memory, the machines with their attempts and reservations. The wanted state is that
 * every recorded attempt is listed by its worker, and that no attempt is listed that is to stop or
 * is over. The caller holds the controller's lock; nothing here waits, reads a clock, or does input
 * or output. Times are of the steady clock, in milliseconds.
 *
 * Placement is projected least-loaded: a machine's score counts, beside the attempts that its
 * heartbeats list, the reservations for starts that they do not show yet (placement.c,
 * reservation.h).
 *
 * An attempt is taken off a machine's record only on proof that it is over and cannot still begin.
 * Proof is one of these:
 *  - The worker reports a newer worker epoch. Commands of an older epoch are refused there.
 *  - A heartbeat of the attempt's worker epoch lists it as exited. A late copy of its `run` has no
 *    effect after that, since the worker remembers the attempt; and `forget` is held back while a
 *    copy may be in flight.
 *  - An ordinary heartbeat, not the answer to a pushed command, does not list it, and was sent
 *    under a fencing token above any under which a `run` was sent that may still arrive (see
 *    is_run_in_flight() in heartbeats.c).
 *  - The cloud confirmed that the machine is terminated.
 *
 * Silence, an expired reservation, a list of machines or a refused connection is no proof.
 */
#ifndef PEPPERPULLEY_PARTITION_H
#define PEPPERPULLEY_PARTITION_H

#include "core/membership/ownership.h"
#include "core/partition/attempt_result.h"
#include "core/partition/machine.h"
#include "core/partition/page_record.h"
#include "core/partition/partition_batch.h"
#include "core/partition/partition_heartbeats.h"
#include "core/partition/partition_type.h"
#include "core/partition/placement_request.h"
#include "core/partition/pushed_commands.h"
#include "core/types.h"

/** Returns a partition without machines, of view 0 (transfer full).
 *
 * @param machine_types array of machine_type_t; transfer none, must outlive the partition
 * @param teams array of team_t in the order of placement_request_t.preemptible_teams; transfer
 * none, must outlive the partition
 * @param reservation_ttl_ms time after which a reservation expires that no heartbeat confirms
 */
partition_t *partition_new(const GArray *machine_types, const GArray *teams,
                           msec_t reservation_ttl_ms);
/** Frees the partition and its machines. */
void partition_free(partition_t *partition);
/** Sets the view's number, which is the fencing token. It may rise while the leader stays the same:
 * then no record is read again. */
void partition_set_view(partition_t *partition, uint64_t view);
/** Adds the machines of a page's record (transfer none) with their attempts. */
void partition_load(partition_t *partition, const page_record_t *record, msec_t now);

/** Returns the number of machines. */
guint partition_machine_count(const partition_t *partition);
/** Returns the number of attempts, whatever their phase. */
guint partition_attempt_count(const partition_t *partition);
/** Returns a count that grows with whatever a placement round or a commit should look at: results,
 * records to write, machines that begin or cease to take starts. */
uint64_t partition_change_count(const partition_t *partition);
/** Returns the results not yet delivered to the leader: array of attempt_result_t (transfer none).
 */
const GArray *partition_results(const partition_t *partition);
/** Removes all results. */
void partition_clear_results(partition_t *partition);

/** Copies from @p earlier, the partition of an earlier view, which machines are draining: why they
 * drain does not depend on the view. Called before the records are loaded. */
void partition_inherit_drains(partition_t *partition, const partition_t *earlier);
/** Sets whether machine @p id is draining: it then takes no starts and is emptied. */
void partition_set_draining(partition_t *partition, const char *id, bool is_draining);
/** Looks up the capacity of all machines again, after the machine types became known or changed. */
void partition_apply_machine_types(partition_t *partition);
/** Sets the interval between worker heartbeats, in seconds, from which follows how long a machine
 * without acknowledgement counts as reachable. */
void partition_set_heartbeat_interval(partition_t *partition, double heartbeat_interval_s);
/** Delays probes until a machine should have sent two heartbeats: for where probing all machines
 * takes longer than that. */
void partition_delay_probes(partition_t *partition, double heartbeat_interval_s);

/** Chooses a machine by the score, if need be by preemption, and reserves the request's resources
 * on it. Returns the machine (transfer none), or NULL if none has enough free. */
machine_t *partition_place(partition_t *partition, const placement_request_t *request, msec_t now);
/** Returns the cpus of a team's work that is being preempted. */
double partition_cpus_being_preempted(const partition_t *partition, const char *team);

/** Withdraws a placement: the attempt is dropped, with a result, if it is not recorded yet, and
 * stopped else. An attempt that is not known is ignored. */
void partition_withdraw(partition_t *partition, const task_ref_t *ref, msec_t now);
/** Ends a job that was cancelled or is over: its recorded attempts are stopped without time to
 * save, the others dropped. */
void partition_end_job(partition_t *partition, const char *job);
/** Records that the leader has made the task's finish durable: the attempt may leave the record. */
void partition_acknowledge(partition_t *partition, const task_ref_t *ref);
/** Records that the cloud confirmed that machine @p id is terminated, which proves its attempts
 * over. */
void partition_machine_terminated(partition_t *partition, const char *id);
/** Expires reservations and stops what is to leave draining machines. Called once a tick. */
void partition_tick(partition_t *partition, msec_t now);

#endif
