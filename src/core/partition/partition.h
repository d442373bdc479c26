/** @file
 * A partition: the machines that one controller owns in one view.
 *
 * The partition owns the machines, their attempts and their reservations, in memory. In the desired
 * state, each recorded attempt is listed by its worker, and no worker lists an attempt that is to
 * stop or is over. The caller holds the controller's lock. No function here blocks, reads a clock
 * or does input or output. Times are in milliseconds of the steady clock.
 *
 * Placement is projected least-loaded: the score of a machine counts the attempts that its
 * heartbeats list and also the reservations for starts that its heartbeats do not show yet (see
 * placement.c and reservation.h).
 *
 * An attempt is removed from the record of a machine only on proof that it is over and can no
 * longer be started. Each of these is proof:
 *  - The worker reports a newer worker epoch. A worker refuses commands of an older epoch.
 *  - A heartbeat of the attempt's worker epoch lists it as exited. A late copy of its `run` has no
 *    effect after that, because the worker remembers the attempt; and the answer that lets the
 *    worker forget it has a fencing token under which the worker refuses every copy.
 *  - A periodic heartbeat (not the answer to a pushed command) does not list it, and was sent under
 *    a fencing token higher than that of any `run` that may still arrive (see is_run_in_flight() in
 *    heartbeats.c).
 *  - The cloud confirmed that the machine is terminated.
 *
 * Silence, an expired reservation, a list of machines or a refused connection is not proof.
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

/** Returns a partition of view 0 without machines (transfer full).
 *
 * @param machine_types array of machine_type_t; transfer none, must outlive the partition
 * @param teams array of team_t in the order of placement_request_t.preemptible_teams; transfer
 * none, must outlive the partition
 * @param reservation_ttl_ms time after which a reservation expires if no heartbeat confirms it
 */
partition_t *partition_new(const GArray *machine_types, const GArray *teams,
                           msec_t reservation_ttl_ms);
/** Frees the partition and its machines. */
void partition_free(partition_t *partition);
/** Sets the number of the view, which determines its fencing tokens. */
void partition_set_view(partition_t *partition, uint64_t view);
/** Adds the machines of a page's record (transfer none), with their attempts, to the partition. */
void partition_load_record(partition_t *partition, const page_record_t *record, msec_t now);

/** Returns the number of machines. */
guint partition_machine_count(const partition_t *partition);
/** Returns the number of attempts in any phase. */
guint partition_attempt_count(const partition_t *partition);
/** Returns a counter that increases with each change that a placement round or a commit has to
 * consider: new results, records to write, and machines that start or stop accepting starts. */
uint64_t partition_change_count(const partition_t *partition);
/** Returns the results not yet delivered to the leader: array of attempt_result_t (transfer none).
 */
const GArray *partition_results(const partition_t *partition);
/** Removes all results. */
void partition_clear_results(partition_t *partition);

/** Copies the set of draining machines from @p earlier, the partition of an earlier view, because
 * the reasons for draining them do not depend on the view. Called before the records are loaded. */
void partition_copy_draining_machines(partition_t *partition, const partition_t *earlier);
/** Sets whether machine @p id is draining. A draining machine accepts no starts, and its attempts
 * are to leave it. */
void partition_set_draining(partition_t *partition, const char *id, bool is_draining);
/** Looks up the capacity of all machines again. Called after the machine types became known or
 * changed. */
void partition_apply_machine_types(partition_t *partition);
/** Sets the interval between worker heartbeats, in seconds. It determines how long a machine that
 * does not acknowledge still counts as reachable. */
void partition_set_heartbeat_interval(partition_t *partition, double heartbeat_interval_s);
/** Delays the probe of each machine by the longest expected time between two of its heartbeats.
 * Used where probing all machines takes longer than that. */
void partition_delay_probes(partition_t *partition, double heartbeat_interval_s);

/** Chooses the machine with the best rank for the request, by preemption if the request allows it
 * and no machine has enough free resources, and reserves the request's resources there. Returns the
 * machine (transfer none), or NULL if no machine has room. */
machine_t *partition_place(partition_t *partition, const placement_request_t *request, msec_t now);
/** Returns the number of cpus of the team's attempts that are being preempted. */
double partition_cpus_being_preempted(const partition_t *partition, const char *team);

/** Withdraws a placement. If the attempt is not recorded yet, it is dropped, with a result;
 * otherwise it is stopped. An unknown attempt is ignored. */
void partition_withdraw_placement(partition_t *partition, const task_ref_t *ref, msec_t now);
/** Ends a job that was cancelled or is over. Its recorded attempts are stopped without time to
 * save, and its other attempts are dropped. */
void partition_end_job(partition_t *partition, const char *job);
/** Ends the jobs that have attempts here and are not in the set @p live_jobs (char * keys), unless
 * they were created after @p revision, up to which the set is complete. An attempt loaded from a
 * record belongs to a job that was created before. Returns whether there was such a job. */
bool partition_end_unknown_jobs(partition_t *partition, GHashTable *live_jobs, uint64_t revision);
/** Records that the leader has stored the result of the attempt durably, so that the attempt may
 * leave the record. */
void partition_acknowledge_result(partition_t *partition, const task_ref_t *ref);
/** Records that the cloud confirmed that machine @p id is terminated, which proves that its
 * attempts are over. */
void partition_record_machine_terminated(partition_t *partition, const char *id);
/** Expires reservations, stops attempts that are to leave draining machines, and updates the times
 * from which deferred flushes wait. Called once per tick. */
void partition_tick(partition_t *partition, msec_t now);

#endif
