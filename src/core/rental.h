/* What to rent and what to give back. Owns the machines under way and what was refused lately. */
#ifndef PEPPERPULLEY_RENTAL_H
#define PEPPERPULLEY_RENTAL_H

#include "core/leader.h"
#include "core/types.h"

/* A machine that was rented or listed and has not reported yet. */
typedef struct boot {
    char machine[ID_BYTES];
    char type[LABEL_BYTES];
    char zone[LABEL_BYTES];
    bool spot;
    msec_t since; /* the rental */
} boot_t;

/* Ordinary machines cost a multiple of spot ones. They are rented for what is promised (the teams'
 * guarantees), for work that may not use spot, and to a limited share where spot machines can't be
 * had and the work that waits would take those that stand too long. */

typedef struct rental {
    GHashTable *boots;             /* id -> boot_t, owned */
    msec_t surplus_since;          /* more stands than is wanted; 0: it does not */
    GHashTable *refused;           /* "type zone kind" -> msec_t *: not asked again before it */
    GHashTable *unreachable_zones; /* zone -> msec_t *: nothing is rented there before it */
    GHashTable *recovered_zones;   /* zone -> msec_t *: when it was heard again */
} rental_t;

typedef struct rental_wish {
    char type[LABEL_BYTES];
    char zone[LABEL_BYTES];
    bool spot;
    guint count;
} rental_wish_t;

rental_t *rental_new(void);
void rental_free(rental_t *rental);
void rental_booting(rental_t *rental, const char *machine, const char *type, const char *zone,
                    bool spot, msec_t since);
/* A leadership begins: what an earlier one of this node had under way may be up by now and work for
 * partitions that have yet to say so. The list tells what still boots. */
void rental_begin(rental_t *rental);
/* It reported, or is gone. */
void rental_boot_over(rental_t *rental, const char *machine);
/* Judges each zone by its machine summaries. Where several machines stand and all have been silent
 * for so long, it is probably cut off: it is unreachable until one is heard again, or for a while
 * after its machines are gone. Nothing is rented there meanwhile, since it could not report.
 * Returns the names of the zones that became unreachable just now. */
GPtrArray *rental_watch_zones(rental_t *rental, const leader_t *leader, msec_t silent_ms,
                              msec_t now);
bool rental_is_zone_unreachable(const rental_t *rental, const char *zone, msec_t now);
/* Whether a silent machine of the zone is waited for: the zone is unreachable, or was less than
 * `patience` ago, so that its machines are only just coming back. */
bool rental_waits(const rental_t *rental, const char *zone, msec_t silent_ms, msec_t patience,
                  msec_t now);
void rental_refused(rental_t *rental, const rental_wish_t *wish, msec_t until);

/* Resources asked for, in cpus and memory, against what stands and boots. */
typedef struct rental_balance {
    resources_t wanted;
    resources_t standing;
    resources_t booting;
    double ordinary; /* cpus that stand or boot on ordinary machines */
    double promised; /* cpus guaranteed and asked for */
    double waiting;  /* cpu seconds of tasks that have no machine */
} rental_balance_t;
rental_balance_t rental_balance(const rental_t *rental, const leader_t *leader,
                                const GArray *machine_types, msec_t now, int64_t day_ms);
/* The next rental to ask for; false: none. */
bool rental_next(const rental_t *rental, const leader_t *leader, const GArray *machine_types,
                 msec_t now, int64_t day_ms, rental_wish_t *wish);
/* A machine to drain and return because less has been wanted for a while; NULL: none. Borrowed from
 * the summaries. Least-loaded placement leaves few machines empty, so it need not be idle. */
machine_summary_t *rental_surplus(rental_t *rental, const leader_t *leader,
                                  const GArray *machine_types, msec_t now, int64_t day_ms);
/* Ids of boots that took too long. Strings owned by the array. */
GPtrArray *rental_stuck(const rental_t *rental, const GArray *machine_types, msec_t now);

#endif
