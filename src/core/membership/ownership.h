/** @file
 * Determines which member owns a machine, by rendezvous hashing over the members of the view.
 *
 * The machines of a zone are divided into SHARDS_PER_ZONE_COUNT shards. Members own whole shards
 * rather than single machines, because all machines recorded in one key of the key-value store must
 * have the same owner. A shard that is too large for one key is stored in several pages. Pure
 * functions without a lock.
 */
#ifndef PEPPERPULLEY_OWNERSHIP_H
#define PEPPERPULLEY_OWNERSHIP_H

#include "core/types.h"

enum {
    MEMBERS_MAX_COUNT = 16,                 /**< Most members of a view. */
    SHARD_NAME_BYTES = LABEL_BYTES + 8,     /**< "<zone>.<number>", with the final zero. */
    PAGE_NAME_BYTES = SHARD_NAME_BYTES + 12 /**< "<shard>+<page>", with the final zero. */
};

/** One live controller of a view. */
typedef struct member {
    char name[ID_BYTES];    /**< The controller's name in the settings. */
    char zone[LABEL_BYTES]; /**< The zone that it runs in. */
    uint64_t incarnation;   /**< Random number that identifies the process, drawn at its start. */
    bool is_excluded;       /**< Whether it owns no machines because workers cannot reach it. */
} member_t;

/** Writes the name of the machine's shard to @p name. The result depends only on @p machine and
 * @p zone, so all controllers agree on it. @p size: size of the buffer, SHARD_NAME_BYTES or more.
 */
void shard_of(const char *machine, const char *zone, char *name, gsize size);

/** Writes the name of a shard's page to @p name. Page 0 has the name of the shard, which is how
 * versions without pages stored a shard. @p size: size of the buffer, PAGE_NAME_BYTES or more. */
void page_name(const char *shard, guint page, char *name, gsize size);

/** Splits the name of a page into its shard and page number. @p size: size of the buffer @p shard.
 * Returns false and leaves @p shard and @p page undefined if @p name is not the name of a page. */
bool page_parse(const char *name, char *shard, gsize size, guint *page);

/** Returns the index of the machine's owner among the @p count members. There must be at least one
 * member. The owner is in the machine's zone, so that workers keep their owner when the network
 * between zones fails. The machines of a zone without eligible members are distributed over the
 * members of all zones. Excluded members are not eligible, unless all members are excluded. */
guint owner_of(const member_t *members, guint count, const char *machine, const char *zone);

#endif
