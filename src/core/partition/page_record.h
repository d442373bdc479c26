/** @file
 * The durable record of a page: the value of a key machines/PAGE in the key-value store.
 */
#ifndef PEPPERPULLEY_PAGE_RECORD_H
#define PEPPERPULLEY_PAGE_RECORD_H

#include "core/membership/ownership.h"
#include "core/types.h"

/** One attempt in a machine's record. */
typedef struct record_entry {
    char job[ID_BYTES];      /**< Id of the job. */
    char team[LABEL_BYTES];  /**< The job's team. */
    char image[LABEL_BYTES]; /**< Container image that the task runs. */
    resources_t need;        /**< Resources that the task takes. */
    priority_t priority;     /**< Priority of the job. */
    double save_s;           /**< Time that the task takes to save a checkpoint, in seconds. */
    double checkpoint_s;     /**< Interval between its checkpoints, in seconds; 0: it has none. */
    uint32_t task;           /**< Index of the task in its job. */
    uint64_t attempt;        /**< Number of the attempt. */
} record_entry_t;

/** One machine in its page's record. */
typedef struct machine_record {
    char machine[ID_BYTES];      /**< Id of the machine. */
    char address[ADDRESS_BYTES]; /**< Host and port at which its worker accepts pushed commands. */
    char type[LABEL_BYTES];      /**< Name of its machine type. */
    char zone[LABEL_BYTES];      /**< Its zone. */
    bool is_spot;                /**< Whether it is a spot machine. */
    uint64_t worker_epoch;       /**< The worker epoch under which its attempts are recorded. */
    GArray *entries;             /**< record_entry_t; owned. */
} machine_record_t;

/** The record of a page. One key holds several machines of a shard, because each write of a key
 * costs the same whatever the size of the value. */
typedef struct page_record {
    char shard[SHARD_NAME_BYTES]; /**< Name of the shard. */
    guint page;                   /**< Number of the page in its shard. */
    uint64_t revision; /**< Revision of the key when it was read, or that the write requires; 0: the
                          key does not exist. */
    GArray *machines;  /**< machine_record_t, from machine_records_new(); owned. If it is empty, the
                          key is to be deleted. */
} page_record_t;

/** Returns an empty array of machine_record_t (transfer full). When an element is removed, its
 * entries are freed. */
GArray *machine_records_new(void);

#endif
