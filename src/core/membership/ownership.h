/** @file
 * Which member owns a machine: rendezvous hashing over the members of the view.
 *
 * The machines of a zone are spread over SHARDS_PER_ZONE_COUNT shards, and members own shards,
 * because what one key of the key-value store records must have one owner. A shard too large for
 * one key is stored in several pages. Pure functions without a lock.
 */
#ifndef PEPPERPULLEY_OWNERSHIP_H
#define PEPPERPULLEY_OWNERSHIP_H

#include "core/types.h"

enum {
    MEMBERS_MAX_COUNT = 16,                 /**< Members of a view. */
    SHARD_NAME_BYTES = LABEL_BYTES + 8,     /**< "<zone>.<number>", with the final zero. */
    PAGE_NAME_BYTES = SHARD_NAME_BYTES + 12 /**< "<shard>+<page>", with the final zero. */
};

/** One live controller of a view. */
typedef struct member {
    char name[ID_BYTES];    /**< The controller's name in the settings. */
    char zone[LABEL_BYTES]; /**< The zone that it runs in. */
    uint64_t incarnation;   /**< Random number, drawn at each start of its process. */
    bool is_excluded;       /**< Workers cannot reach it, so it owns no machines. */
} member_t;

/** Writes the name of the machine's shard to @p name. The result depends on the arguments alone,
 * so that all controllers agree. @p size: of the buffer, SHARD_NAME_BYTES or more. */
void shard_of(const char *machine, const char *zone, char *name, gsize size);

/** Writes the name of a shard's page to @p name. Page 0 has the shard's own name, as versions
 * without pages wrote it. @p size: of the buffer, PAGE_NAME_BYTES or more. */
void page_name(const char *shard, guint page, char *name, gsize size);

/** Divides the name of a page into its shard and page number. @p size: of the buffer @p shard.
 * Returns false, and leaves the results undefined, if @p name is not the name of a page. */
bool page_parse(const char *name, char *shard, gsize size, guint *page);

/** Returns the index of the machine's owner among the @p count members, of which there must be at
 * least one. Members in the machine's zone come first, so that a cut between zones leaves workers
 * with their owner; the machines of a zone without members are spread over all. Excluded members
 * own nothing, unless all members are excluded. */
guint owner_of(const member_t *members, guint count, const char *machine, const char *zone);

#endif
