/** @file
 * Shards and pages, which determine the key under which a machine is recorded.
 *
 * Private to the partition. Called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_PAGE_INTERNAL_H
#define PEPPERPULLEY_PAGE_INTERNAL_H

#include "core/membership/ownership.h"
#include "core/partition/partition_type.h"
#include "core/types.h"

/** The machines that are recorded under one key. A page is written without delay when the start of
 * an attempt, or the placement of a task's next attempt, waits for the commit (flush_order). If the
 * only change is that acknowledged results are to leave the record, it is written later (deferred
 * flush). */
typedef struct page {
    char shard[SHARD_NAME_BYTES]; /**< Name of its shard. */
    guint number;                 /**< Number of the page in its shard. */
    uint64_t revision;            /**< Revision of its key; 0: the key does not exist. */
    GPtrArray *machines;          /**< machine_t (transfer none). */
    uint64_t flush_order; /**< Its position among the pages to be written without delay; the lowest
                             is written first. 0: it is not one of them. */
    bool is_flush_deferred; /**< Whether acknowledged results are to leave the record, which is not
                               urgent. */
    msec_t flush_deferred_at; /**< When the wait for the deferred flush began. */
    gsize record_bytes; /**< Estimated size of its record when it was last written; 0: it was never
                           written. */
    bool is_full; /**< Whether a start did not fit into its record, so that the page is to be split.
                   */
    struct page *split_sibling; /**< The other page of a split that is not recorded yet. Both pages
                                   are written in one transaction (transfer none). NULL: there is no
                                   such split. */
    bool is_in_batch;           /**< Whether it is in the batch that is being committed. */
} page_t;

/** The pages of a shard. There is one page until its record comes close to the value limit. */
typedef struct shard {
    char name[SHARD_NAME_BYTES]; /**< Name, which is also its key in the partition's table. */
    GPtrArray *pages;            /**< page_t (owned). */
} shard_t;

/** Returns an empty table of shards by name: shard_t (owned). */
GHashTable *shards_new(void);
/** Returns the shard with this name (transfer none). Creates it if it does not exist. */
shard_t *partition_ensure_shard(partition_t *partition, const char *name);
/** Returns the page with this number (transfer none), or NULL if it does not exist. @p shard may be
 * NULL. */
page_t *shard_find_page(const shard_t *shard, guint number);
/** Returns the page with this number (transfer none). Creates it if it does not exist. */
page_t *shard_ensure_page(shard_t *shard, guint number);
/** Returns the shard's page with the fewest machines (transfer none). Creates page 0 if it does not
 * exist. */
page_t *shard_smallest_page(shard_t *shard);
/** Schedules the page to be written without delay. A page that is scheduled already keeps its
 * position. */
void partition_request_page_flush(partition_t *partition, page_t *page);

/** Returns the page at @p index in the shard's list (transfer none). */
static inline page_t *shard_page(const shard_t *shard, guint index)
{
    return g_ptr_array_index(shard->pages, index);
}

/** Returns the machine at @p index in the page's list (transfer none). */
static inline machine_t *page_machine(const page_t *page, guint index)
{
    return g_ptr_array_index(page->machines, index);
}

#endif
