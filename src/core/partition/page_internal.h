/** @file
 * Shards and pages: which machines are recorded under which key.
 *
 * Private to the partition. Called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_PAGE_INTERNAL_H
#define PEPPERPULLEY_PAGE_INTERNAL_H

#include "core/membership/ownership.h"
#include "core/partition/partition_type.h"
#include "core/types.h"

/** The machines of one key. Its record is due to be written when something is to start or to be
 * placed again (flush_order), and when acknowledged results have stood in it for long enough
 * (deferred flush). */
typedef struct page {
    char shard[SHARD_NAME_BYTES]; /**< Name of its shard. */
    guint number;                 /**< Number in its shard. */
    uint64_t revision;            /**< Revision of its key; 0: the key does not exist. */
    GPtrArray *machines;          /**< machine_t (transfer none). */
    uint64_t flush_order;         /**< Its place among the pages due; the lowest is written first.
                                     0: it is not due. */
    bool is_flush_deferred;       /**< Only acknowledged results are to leave the record, which may
                                     wait. */
    msec_t flush_deferred_at;     /**< Since when that has waited. */
    gsize record_bytes;           /**< Estimated size of its record when it was last written; 0:
                                     never. */
    bool is_full;                 /**< A start found no room in its record: it is to be split. */
    struct page *split_sibling;   /**< The page with which it exchanged machines in a split that is
                                     not recorded yet: both are written in one transaction (transfer
                                     none). NULL: none. */
    bool is_in_batch;             /**< It is in the commit in flight. */
} page_t;

/** The pages of a shard: one, until its record nears the value limit. */
typedef struct shard {
    char name[SHARD_NAME_BYTES]; /**< Its name, and its key in the partition's table. */
    GPtrArray *pages;            /**< page_t (owned). */
} shard_t;

/** Returns an empty table of shards by name: shard_t (owned). */
GHashTable *shards_new(void);
/** Returns the shard of this name, which is made if it is new (transfer none). */
shard_t *partition_ensure_shard(partition_t *partition, const char *name);
/** Returns the page of this number (transfer none); NULL: there is none. @p shard may be NULL. */
page_t *shard_find_page(const shard_t *shard, guint number);
/** Returns the page of this number, which is made if it is new (transfer none). */
page_t *shard_ensure_page(shard_t *shard, guint number);
/** Returns the shard's page with the fewest machines (transfer none). Page 0 is made if there is
 * none. */
page_t *shard_smallest_page(shard_t *shard);
/** Makes the page due to be written. One that is due already keeps its place. */
void partition_request_page_flush(partition_t *partition, page_t *page);

/** Returns page number @p index of the shard (transfer none). */
static inline page_t *shard_page(const shard_t *shard, guint index)
{
    return g_ptr_array_index(shard->pages, index);
}

/** Returns machine number @p index of the page (transfer none). */
static inline machine_t *page_machine(const page_t *page, guint index)
{
    return g_ptr_array_index(page->machines, index);
}

#endif
