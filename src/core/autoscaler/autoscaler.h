/* What to rent and what to give back. Owns the machines under way and what was refused lately. */
#ifndef PEPPERPULLEY_AUTOSCALER_H
#define PEPPERPULLEY_AUTOSCALER_H

#include "core/leader/leader.h"
#include "core/types.h"

/* A machine that was scaled out or listed and has not reported yet. */
typedef struct booting {
    char machine[ID_BYTES];
    char type[LABEL_BYTES];
    char zone[LABEL_BYTES];
    bool spot;
    msec_t requested_at; /* the autoscaler */
} booting_instance_t;

/* On-demand machines cost a multiple of spot ones. They are scaled out for what is promised (the
 * teams' guarantees), for work that may not use spot, and to a limited share where spot machines
 * can't be had and the work that waits would take those that stand too long. */

typedef struct autoscaler {
    GHashTable *booting_instances; /* id -> booting_instance_t, owned */
    msec_t surplus_since;          /* more stands than is wanted; 0: it does not */
    GHashTable *refused_until;     /* "type zone kind" -> msec_t *: not asked again before it */
    GHashTable *unreachable_zones; /* zone -> msec_t *: nothing is scaled out there before it */
    GHashTable *recovered_zones;   /* zone -> msec_t *: when it was heard again */
} autoscaler_t;

typedef struct scale_out_request {
    char type[LABEL_BYTES];
    char zone[LABEL_BYTES];
    bool spot;
    guint count;
} scale_out_request_t;

autoscaler_t *autoscaler_new(void);
void autoscaler_free(autoscaler_t *autoscaler);
void autoscaler_add_booting(autoscaler_t *autoscaler, const char *machine, const char *type,
                            const char *zone, bool spot, msec_t since);
/* A leadership begins: what an earlier one of this controller had under way may be up by now and
 * work for partitions that have yet to say so. The list tells what still boots. */
void autoscaler_begin_leadership(autoscaler_t *autoscaler);
/* It reported, or is gone. */
void autoscaler_remove_booting(autoscaler_t *autoscaler, const char *machine);
/* Judges each zone by its machine summaries. Where several machines stand and all have been silent
 * for so long, it is probably cut off: it is unreachable until one is heard again, or for a while
 * after its machines are gone. Nothing is scaled out there meanwhile, since it could not report.
 * Returns the names of the zones that became unreachable just now. */
GPtrArray *autoscaler_update_zones(autoscaler_t *autoscaler, const leader_t *leader,
                                   msec_t silent_ms, msec_t now);
bool autoscaler_is_zone_unreachable(const autoscaler_t *autoscaler, const char *zone, msec_t now);
/* Whether a silent machine of the zone is waited for: the zone is unreachable, or was less than
 * `patience` ago, so that its machines are only just coming back. */
bool autoscaler_awaits_zone(const autoscaler_t *autoscaler, const char *zone, msec_t silent_ms,
                            msec_t patience, msec_t now);
void autoscaler_record_refusal(autoscaler_t *autoscaler, const scale_out_request_t *request,
                               msec_t until);

/* Resources asked for, in cpus and memory, against what stands and boots. */
typedef struct autoscaler_balance {
    resources_t wanted;
    resources_t standing;
    resources_t booting;
    double on_demand_cpus;  /* cpus that stand or boot on on-demand machines */
    double guaranteed_cpus; /* cpus guaranteed and asked for */
    double waiting_cpu_s;   /* cpu seconds of tasks that have no machine */
} autoscaler_balance_t;
autoscaler_balance_t autoscaler_balance(const autoscaler_t *autoscaler, const leader_t *leader,
                                        const GArray *machine_types, msec_t now, int64_t day_ms);
/* The next autoscaler to ask for; false: none. */
bool autoscaler_next_scale_out(const autoscaler_t *autoscaler, const leader_t *leader,
                               const GArray *machine_types, msec_t now, int64_t day_ms,
                               scale_out_request_t *request);
/* A machine to drain and return because less has been wanted for a while; NULL: none. Borrowed from
 * the summaries. Least-loaded placement leaves few machines empty, so it need not be idle. */
machine_summary_t *autoscaler_next_scale_in(autoscaler_t *autoscaler, const leader_t *leader,
                                            const GArray *machine_types, msec_t now,
                                            int64_t day_ms);
/* Ids of boots that took too long. Strings owned by the array. */
GPtrArray *autoscaler_stuck_instances(const autoscaler_t *autoscaler, const GArray *machine_types,
                                      msec_t now);

#endif
