/** @file
 * Chooses which machines to scale out and which to scale in.
 *
 * On-demand machines cost a multiple of spot ones. They are scaled out for the demand within the
 * teams' guarantees, for work that may not use spot machines, and, up to a limited share of the
 * capacity, where no spot machine is to be had and the pending work would otherwise wait too long.
 *
 * An autoscaler keeps the booting instances, the scale-out requests that were refused lately and
 * the zones that can't be reached. Every function is called with the lock of the controller held.
 * Times are in milliseconds of the steady clock; @p day_ms is the time of day, to which the jobs'
 * deadlines refer. @p machine_types is an array of machine_type_t; transfer none.
 */
#ifndef PEPPERPULLEY_AUTOSCALER_H
#define PEPPERPULLEY_AUTOSCALER_H

#include "core/leader/leader.h"
#include "core/types.h"

/** The state of the autoscaler. */
typedef struct autoscaler autoscaler_t;

/** Machines of one kind to ask the cloud for. */
typedef struct scale_out_request {
    char type[LABEL_BYTES]; /**< The machine type's name. */
    char zone[LABEL_BYTES]; /**< The zone. */
    bool is_spot;           /**< Spot machines; false: on-demand ones. */
    guint count;            /**< How many. */
} scale_out_request_t;

/** Returns an autoscaler without booting instances, refusals and unreachable zones; transfer full.
 */
autoscaler_t *autoscaler_new(void);

/** Frees the autoscaler. */
void autoscaler_free(autoscaler_t *autoscaler);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(autoscaler_t, autoscaler_free)

/** Begins a leadership: forgets the booting instances of an earlier one. They may be up by now and
 * work for partitions that have not handed in their summaries yet; the cloud's list shows which
 * ones still boot. */
void autoscaler_begin_leadership(autoscaler_t *autoscaler);

/** Records a machine that was scaled out, or listed by the cloud, at @p requested_at and has not
 * sent a heartbeat yet. Has no effect on a machine that is recorded already. */
void autoscaler_add_booting(autoscaler_t *autoscaler, const char *machine, const char *type,
                            const char *zone, bool spot, msec_t requested_at);

/** Forgets a booting instance, because it sent a heartbeat or was terminated. */
void autoscaler_remove_booting(autoscaler_t *autoscaler, const char *machine);

/** Forgets the booting instances that the partitions know by now, and those that were interrupted
 * while they booted: requested more than @p listing_lag_ms before @p now and not listed.
 * @p known_machines and @p listed_machines are sets of machine ids; transfer none. */
void autoscaler_prune_booting(autoscaler_t *autoscaler, GHashTable *known_machines,
                              GHashTable *listed_machines, msec_t listing_lag_ms, msec_t now);

/** Returns the number of booting instances. */
guint autoscaler_booting_count(const autoscaler_t *autoscaler);

/** Returns the ids of the instances whose boot took too long; transfer full, with the strings. */
GPtrArray *autoscaler_stuck_instances(const autoscaler_t *autoscaler, const GArray *machine_types,
                                      msec_t now);

/** Records that the cloud had fewer machines than the request asked for: such machines are not
 * requested again before @p until. */
void autoscaler_record_refusal(autoscaler_t *autoscaler, const scale_out_request_t *request,
                               msec_t until);

/** Judges each zone by its machine summaries. A zone in which several machines exist, all of them
 * silent for more than @p silent_ms, is probably cut off: it is unreachable until one of them sends
 * a heartbeat, or until some time after its machines are gone. Nothing is scaled out there
 * meanwhile, since a new machine's heartbeats would not arrive either. Returns the names of the
 * zones that became unreachable just now; transfer full, with the strings. */
GPtrArray *autoscaler_update_zones(autoscaler_t *autoscaler, const leader_t *leader,
                                   msec_t silent_ms, msec_t now);

/** Returns whether the zone is unreachable. */
bool autoscaler_is_zone_unreachable(const autoscaler_t *autoscaler, const char *zone, msec_t now);

/** Returns whether a machine of the zone that has been silent for @p silent_ms is kept in spite of
 * it: the zone is unreachable, or was at most @p patience ms ago, so that its machines are only
 * just coming back. */
bool autoscaler_awaits_zone(const autoscaler_t *autoscaler, const char *zone, msec_t silent_ms,
                            msec_t patience, msec_t now);

/** Chooses the next machines to scale out. Returns false, and leaves @p request undefined, if there
 * are none. */
bool autoscaler_next_scale_out(const autoscaler_t *autoscaler, const leader_t *leader,
                               const GArray *machine_types, msec_t now, int64_t day_ms,
                               scale_out_request_t *request);

/** Chooses a machine to drain and terminate, because the demand has been lower than the capacity
 * for as long as the policy's scale-in delay. Least-loaded placement leaves few machines empty, so
 * it need not be idle. Returns its summary in the leader; transfer none; NULL: there is none. */
machine_summary_t *autoscaler_next_scale_in(autoscaler_t *autoscaler, const leader_t *leader,
                                            const GArray *machine_types, msec_t now,
                                            int64_t day_ms);

/** Lets the scale-in delay begin anew with the next surplus that is seen. */
void autoscaler_reset_scale_in_delay(autoscaler_t *autoscaler);

#endif
