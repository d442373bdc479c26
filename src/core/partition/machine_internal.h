/** @file
 * The machines of a partition.
 *
 * Private to the partition. Called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_MACHINE_INTERNAL_H
#define PEPPERPULLEY_MACHINE_INTERNAL_H

#include "core/partition/attempt_internal.h"
#include "core/partition/exited_attempts.h"
#include "core/partition/machine.h"
#include "core/partition/page_internal.h"
#include "core/partition/reservation.h"

/** One machine. */
struct machine {
    char id[ID_BYTES];           /**< Id, which is also its key in the partition's table. */
    char address[ADDRESS_BYTES]; /**< Host and port at which its worker accepts pushed commands. */
    char type[LABEL_BYTES];      /**< Name of its machine type. */
    char zone[LABEL_BYTES];      /**< Zone. */
    bool is_spot;                /**< Whether it is a spot machine. */
    bool is_capacity_known;      /**< Whether its type is known, so that capacity is set. */
    resources_t capacity;        /**< Total resources. */
    bool has_responded; /**< Whether, in this view, a periodic heartbeat of it was accepted or it
                           executed a probe. */
    bool has_heartbeat; /**< Whether a periodic heartbeat that it sent in this view was received. */
    bool needs_probe;   /**< Whether to probe it, since its next heartbeat may be seconds away. */
    uint64_t worker_epoch; /**< Worker epoch of its newest accepted heartbeat, or of its record if
                              none was accepted yet. */
    uint64_t heartbeat_sequence; /**< Sequence number of its newest accepted heartbeat or answer to
                                    a pushed command. */
    uint64_t last_periodic_sequence; /**< Sequence number of its newest periodic heartbeat of this
                                        worker epoch. A periodic heartbeat with no higher number is
                                        a duplicate. */
    uint64_t accepted_count; /**< Number of heartbeats and push answers that this partition accepted
                               from it. */
    msec_t last_heartbeat_at;    /**< When its last periodic heartbeat was received. */
    msec_t last_acknowledged_at; /**< When it last showed that messages sent to it arrive. The
                                    arrival of its heartbeats alone does not show that. */
    msec_t first_seen_at;        /**< When this partition first learned of it. */
    msec_t idle_since_at;        /**< When it was last known to have work. */
    msec_t interruption_at;      /**< When the cloud interrupts it; 0: no notice. */
    bool is_draining;     /**< Whether it is draining: it accepts no starts, and its attempts are to
                             leave it. */
    GPtrArray *attempts;  /**< attempt_t (owned). */
    GArray *reservations; /**< reservation_t, see reservation.h; owned. */
    GHashTable *images;   /**< Set of names (owned) of images that have been in use on it, so that
                             they are probably in its cache. */
    resources_t listed_resources; /**< Resources of the attempts that its newest accepted heartbeat
                                     lists. */
    guint starting;               /**< Number of listed attempts that are fetching their image. */
    guint running;                /**< Number of listed attempts that are running or saving. */
    page_t *page;                 /**< The page whose record contains it (transfer none). */
    bool fills_page; /**< Whether its attempts alone fill its page's record. It accepts no starts
                          until one of them leaves the record. */
    bool is_push_failing; /**< Whether a pushed command failed or got no answer since the machine
                             last acknowledged. A machine that hangs must not delay pushes to the
                             others. */
    bool is_terminated; /**< Whether the cloud confirmed that it is terminated. The struct is freed
                           once its last attempt is removed. */
    bool is_push_in_flight; /**< Whether a push was taken and is not finished. */
    guint dispatcher_index; /**< Index of the dispatcher that serves it, unless that one is busy. */
    bool is_push_queued;    /**< Whether it is in the partition's push queue. */
    uint64_t fencing_token; /**< Highest fencing token that its worker has reported or that was sent
                               to it in this view; see partition_fencing_token(). */
    uint64_t unanswered_fencing_token; /**< Highest fencing token of a pushed `run` without an
                                          answer, which may still arrive. 0: none. */
    GHashTable *exited; /**< The exited attempts that its newest accepted heartbeat lists, see
                           exited_attempts.h; owned. */
    guint unforgotten;  /**< Number of those that are no longer recorded, which its worker is to
                           forget. */
};

/** Returns an empty table of machines by id: machine_t (owned). */
GHashTable *machines_new(void);
/** Adds a new machine and returns it (transfer none). @p page is the page whose record contains the
 * machine; if it is NULL, the machine is not recorded yet and is assigned to a page of its shard.
 */
machine_t *partition_add_machine(partition_t *partition, const char *id, const char *zone,
                                 page_t *page, msec_t now);
/** Frees a terminated machine. Its id is remembered, so that a late heartbeat does not add the
 * machine again; ids are not reused. */
void partition_drop_machine(partition_t *partition, machine_t *machine);
/** Sets the machine's capacity from its machine type, if that type is known. */
void partition_look_up_capacity(const partition_t *partition, machine_t *machine);
/** Schedules the machine's record to be written without delay, because the start of an attempt, or
 * the placement of a task's next attempt, waits for that commit. */
void partition_request_flush(partition_t *partition, const machine_t *machine);
/** Returns the resources that are taken neither by listed attempts nor by reservations. */
resources_t machine_free_resources(const machine_t *machine);
/** Returns whether messages sent to the machine arrive, as far as is known at @p now. */
bool partition_is_reachable(const partition_t *partition, const machine_t *machine, msec_t now);
/** Returns whether the machine accepts starts, without regard to its free resources and the free
 * space in its page. */
bool partition_accepts_starts(const partition_t *partition, const machine_t *machine, msec_t now);

/** Returns the attempt at @p index in the machine's list (transfer none). */
static inline attempt_t *machine_attempt(const machine_t *machine, guint index)
{
    return g_ptr_array_index(machine->attempts, index);
}

#endif
