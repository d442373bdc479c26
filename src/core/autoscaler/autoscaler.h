/** @file
 * Chooses which machines to scale out and which to scale in.
 *
 * On-demand machines cost several times as much as spot machines. They are scaled out in three
 * cases: for the demand within the teams' guarantees; for work that may not use spot machines; and,
 * up to a limited share of the capacity, if no spot machines are available and the pending work
 * would otherwise wait too long.
 *
 * The autoscaler keeps track of the booting instances, of the scale-out requests that were refused
 * recently and of the unreachable zones. Every function is called with the controller's lock held.
 * Times are in milliseconds of the steady clock, except for @p wall_clock_ms, which is the
 * wall-clock time that the jobs' deadlines refer to. @p machine_types is an array of
 * machine_type_t; transfer none.
 */
#ifndef PEPPERPULLEY_AUTOSCALER_H
#define PEPPERPULLEY_AUTOSCALER_H

#include "core/leader/leader.h"
#include "core/types.h"

/** The state of the autoscaler. */
typedef struct autoscaler autoscaler_t;

/** A request to the cloud for machines of one type in one zone, all spot or all on-demand. */
typedef struct scale_out_request {
    char type[LABEL_BYTES]; /**< The machine type's name. */
    char zone[LABEL_BYTES]; /**< The zone. */
    bool is_spot;           /**< True for spot machines, false for on-demand machines. */
    guint count;            /**< Number of machines. */
    char job[ID_BYTES];     /**< Id of a job that only some machines can serve and for which the
                               machines are; empty: they are for all pending jobs. */
} scale_out_request_t;

/** Returns a new autoscaler, which has recorded nothing yet; transfer full. */
autoscaler_t *autoscaler_new(void);

/** Frees the autoscaler. */
void autoscaler_free(autoscaler_t *autoscaler);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(autoscaler_t, autoscaler_free)

/** Starts a leadership: resets the scale-in delay and removes the booting instances of an earlier
 * leadership. They may have booted since and be running work for partitions whose summaries have
 * not arrived yet. The cloud's list shows which instances are still booting. */
void autoscaler_begin_leadership(autoscaler_t *autoscaler);

/** Records a booting instance: a machine that was scaled out, or that appears in the cloud's list,
 * and has not sent a heartbeat yet. Its boot time counts from @p requested_at. Has no effect if the
 * machine is already recorded. */
void autoscaler_add_booting(autoscaler_t *autoscaler, const char *machine, const char *type,
                            const char *zone, bool spot, msec_t requested_at);

/** Removes a booting instance that was terminated. Has no effect if the machine is not recorded. */
void autoscaler_remove_booting(autoscaler_t *autoscaler, const char *machine);

/** Removes the booting instances that have booted or no longer exist. Those in @p known_machines
 * have booted, because a partition has a summary of them. Those that were requested more than
 * @p listing_lag_ms before @p now and are not in @p listed_machines were interrupted while booting.
 * Both are sets of machine ids; transfer none. */
void autoscaler_prune_booting(autoscaler_t *autoscaler, GHashTable *known_machines,
                              GHashTable *listed_machines, msec_t listing_lag_ms, msec_t now);

/** Returns the number of booting instances. */
guint autoscaler_booting_count(const autoscaler_t *autoscaler);

/** Returns the ids of the booting instances that have been booting for too long: BOOT_TIMEOUT_MS
 * plus three times the boot time of their machine type. Transfer full, including the strings. */
GPtrArray *autoscaler_stuck_instances(const autoscaler_t *autoscaler, const GArray *machine_types,
                                      msec_t now);

/** Records that the cloud did not provide all the requested machines. Machines of the same type,
 * zone and kind (spot or on-demand) are not requested again before @p until. */
void autoscaler_record_refusal(autoscaler_t *autoscaler, const scale_out_request_t *request,
                               msec_t until);

/** Determines from the machine summaries which zones are unreachable. A zone is probably cut off
 * from the network if none of its machines accepts starts or acknowledges while it is draining, and
 * at least SILENT_MACHINES_MIN_COUNT of them have been silent for more than @p silent_ms. It then
 * counts as unreachable until one of its machines does so again, or until UNREACHABLE_ZONE_MS after
 * the last call that found it cut off. No machines are scaled out in an unreachable zone, because
 * their heartbeats would not arrive either; except for work that can run nowhere else, after
 * UNREACHABLE_ZONE_CONFINED_MS if a job's own constraints confine it there, and after
 * UNREACHABLE_ZONE_MS if all zones are unreachable. Returns the names of the zones that this call
 * found to have become unreachable; transfer full, including the strings. */
GPtrArray *autoscaler_update_zones(autoscaler_t *autoscaler, const leader_t *leader,
                                   msec_t silent_ms, msec_t now);

/** Returns whether the zone counts as unreachable at @p now. */
bool autoscaler_is_zone_unreachable(const autoscaler_t *autoscaler, const char *zone, msec_t now);

/** Returns whether a machine of the zone that has been silent for @p silent_ms is kept despite its
 * silence. This is so if the zone is unreachable and the silence has not exceeded
 * UNREACHABLE_ZONE_WAIT_MS, or if the zone became reachable again at most @p grace_ms ago, so that
 * its machines may still be reconnecting. A silence longer than UNREACHABLE_ZONE_WAIT_MS plus @p
 * grace_ms is never tolerated. */
bool autoscaler_keeps_silent_machine(const autoscaler_t *autoscaler, const char *zone,
                                     msec_t silent_ms, msec_t grace_ms, msec_t now);

/** Chooses the next machines to scale out and fills in @p request. Demand that only some of the
 * machines can serve comes first: it is not covered by the capacity of other machines. Returns
 * false, and leaves @p request undefined, if no machines are to be scaled out. */
bool autoscaler_next_scale_out(const autoscaler_t *autoscaler, const leader_t *leader,
                               const GArray *machine_types, msec_t now, int64_t wall_clock_ms,
                               scale_out_request_t *request);

/** Returns a draining machine that has attempts and that can serve the demand of the request, so
 * that cancelling its drain makes capacity available sooner than the request would. Returns NULL if
 * there is none; transfer none. Quarantined and silent machines are left out. */
const machine_summary_t *autoscaler_drain_to_cancel(const leader_t *leader,
                                                    const scale_out_request_t *request, msec_t now);

/** Chooses a machine to drain and terminate because the capacity has exceeded the demand for at
 * least the policy's scale-in delay. The machine need not be idle, because least-loaded placement
 * leaves few machines empty. Returns the leader's summary of the machine, or NULL if no machine is
 * to be scaled in; transfer none. */
machine_summary_t *autoscaler_next_scale_in(autoscaler_t *autoscaler, const leader_t *leader,
                                            const GArray *machine_types, msec_t now,
                                            int64_t wall_clock_ms);

/** Restarts the scale-in delay: it counts from the next call that finds surplus capacity. */
void autoscaler_reset_scale_in_delay(autoscaler_t *autoscaler);

#endif
