/* Which member owns a machine: rendezvous hashing over the members of the view.
 *
 * Machines of a zone are spread over a fixed number of shards, and members own shards: what one key
 * of the key-value store records together must have one owner. A shard too large for one key has
 * several pages. */
#ifndef PEPPERPULLEY_OWNERSHIP_H
#define PEPPERPULLEY_OWNERSHIP_H

#include "core/types.h"

enum {
    MEMBERS_MAX_COUNT = 16,
    SHARD_NAME_BYTES = LABEL_BYTES + 8,
    PAGE_NAME_BYTES = SHARD_NAME_BYTES + 12
};

/* One live controller of a view. */
typedef struct member {
    char name[ID_BYTES];
    char zone[LABEL_BYTES];
    uint64_t incarnation;
    bool is_excluded; /* workers can't reach it: it owns no machines */
} member_t;

/* The shard of a machine; every controller finds the same. */
void shard_of(const char *machine, const char *zone, char *name, gsize size);
/* The name of a shard's page: the shard's own for the first, as builds without pages wrote it. */
void page_name(const char *shard, guint page, char *name, gsize size);
/* False: not the name of a page. */
bool page_parse(const char *name, char *shard, gsize size, guint *page);
/* Index of the machine's owner; count must be above 0. Members in the machine's zone go first, so
 * that a cut between zones leaves workers with their owner; a zone without members is hashed over
 * all. Those excluded own nothing, unless all are. */
guint owner_of(const member_t *members, guint count, const char *machine, const char *zone);

#endif
