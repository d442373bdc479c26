/** @file
 * The machines of a partition.
 *
 * Private to the partition. Called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_MACHINE_INTERNAL_H
#define PEPPERPULLEY_MACHINE_INTERNAL_H

#include "core/partition/attempt_internal.h"
#include "core/partition/machine.h"
#include "core/partition/page_internal.h"
#include "core/partition/reservation.h"

/** One machine. */
struct machine {
    char id[ID_BYTES];           /**< Its id, and its key in the partition's table. */
    char address[ADDRESS_BYTES]; /**< Host and port at which its worker takes pushed commands. */
    char type[LABEL_BYTES];      /**< Name of its machine type. */
    char zone[LABEL_BYTES];      /**< Its zone. */
    bool is_spot;                /**< It is a spot machine. */
    bool is_capacity_known;      /**< Its type is known, so capacity is set. */
    resources_t capacity;        /**< All resources that it has. */
    bool has_responded;          /**< It sent an accepted ordinary heartbeat, or executed a probe,
                                    in this view. */
    bool has_heartbeat;          /**< It sent an ordinary heartbeat in this view. */
    bool needs_probe;            /**< It is to be probed: its next heartbeat may be seconds away. */
    uint64_t worker_epoch;       /**< Worker epoch of its newest accepted heartbeat, else of its
                                    record. */
    uint64_t heartbeat_sequence; /**< Sequence number of its newest accepted heartbeat or answer to
                                    a pushed command. */
    uint64_t last_accepted_sequence; /**< Sequence number of its newest ordinary heartbeat of this
                                        worker epoch; a copy has no higher one. */
    uint64_t receipt_count;          /**< Heartbeats and answers accepted, counted here. */
    msec_t last_heartbeat_at;        /**< When its last ordinary heartbeat was received. */
    msec_t last_acknowledged_at;     /**< When it last showed that what is sent to it arrives. The
                                        mere arrival of its heartbeats does not show it. */
    msec_t first_seen_at;            /**< When this partition first knew it. */
    msec_t idle_since_at;            /**< Since when it has had no work. */
    msec_t interruption_at; /**< When the cloud takes it away; 0: no interruption notice. */
    bool is_draining;       /**< It takes no starts and is being emptied. */
    GPtrArray *attempts;    /**< attempt_t (owned). */
    GArray *reservations;   /**< reservation_t, see reservation.h; owned. */
    GHashTable *images;     /**< Set of image names (owned) that have been in use on it, so
                               that they are probably in its cache. */
    resources_t booked;     /**< Resources of the attempts that its newest accepted heartbeat
                               lists. */
    guint starting;         /**< Number of those that fetch their image. */
    guint running;          /**< Number of those that do not. */
    page_t *page;           /**< The page that records it (transfer none). */
    bool is_page_full;      /**< It alone fills its page's record: it takes no starts for
                               now. */
    bool is_push_failing;   /**< A pushed command got no answer since the machine last
                               acknowledged. A machine that hangs must not hold up the
                               others. */
    bool is_terminated;     /**< The cloud confirmed it terminated; the struct is freed with
                               its last attempt. */
    bool is_push_in_flight; /**< A push was taken and is not finished. */
    guint dispatcher_index; /**< The dispatcher that serves it, unless that is busy. */
    bool is_push_queued;    /**< It is in the partition's push queue. */
    uint64_t unanswered_fencing_token; /**< The highest fencing token under which a pushed `run` got
                                          no answer: a copy may still arrive. 0: none. */
};

/** Returns an empty table of machines by id: machine_t (owned). */
GHashTable *machines_new(void);
/** Adds a new machine (transfer none). @p page: of its record; NULL: it has none yet, and is given
 * a page of its shard. */
machine_t *partition_add_machine(partition_t *partition, const char *id, const char *zone,
                                 page_t *page, msec_t now);
/** Frees a terminated machine. Its id is remembered, since ids are not used again. */
void partition_drop_machine(partition_t *partition, machine_t *machine);
/** Sets the machine's capacity from its type, if that is known. */
void partition_look_up_capacity(const partition_t *partition, machine_t *machine);
/** Makes the machine's record due to be written: something can't start, or be placed again,
 * before. */
void partition_request_flush(partition_t *partition, const machine_t *machine);
/** Returns the resources that neither listed attempts nor reservations take. */
resources_t machine_free_resources(const machine_t *machine);
/** Whether what is sent to the machine arrives there, as far as is known at @p now. */
bool partition_is_reachable(const partition_t *partition, const machine_t *machine, msec_t now);
/** Whether the machine takes starts at all, its resources and page aside. */
bool partition_accepts_starts(const partition_t *partition, const machine_t *machine, msec_t now);

/** Returns attempt number @p index of the machine (transfer none). */
static inline attempt_t *machine_attempt(const machine_t *machine, guint index)
{
    return g_ptr_array_index(machine->attempts, index);
}

#endif
