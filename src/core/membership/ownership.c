#include "core/membership/ownership.h"

#include <string.h>

#include <xxhash.h>

void shard_of(const char *machine, const char *zone, char *name, gsize size)
{
    guint number = (guint)(XXH64(machine, strlen(machine), 0) % SHARDS_PER_ZONE_COUNT);
    g_snprintf(name, size, "%s.%02u", zone, number);
}

void page_name(const char *shard, guint page, char *name, gsize size)
{
    if (page == 0)
        g_strlcpy(name, shard, size);
    else
        g_snprintf(name, size, "%s+%u", shard, page);
}

bool page_parse(const char *name, char *shard, gsize size, guint *page)
{
    /* The zone's name may contain dots and plus signs; the shard's number follows the last dot. */
    const char *dot = strrchr(name, '.');
    const char *plus = dot ? strchr(dot, '+') : NULL;
    gsize length = plus ? (gsize)(plus - name) : strlen(name);
    guint64 number = 0;
    if (!dot || length >= size ||
        (plus && !g_ascii_string_to_unsigned(plus + 1, DECIMAL, 1, G_MAXINT, &number, NULL)))
        return false;
    memcpy(shard, name, length);
    shard[length] = '\0';
    *page = (guint)number;
    return true;
}

/* Returns whether every member is excluded, in which case the exclusions are ignored. */
static bool are_all_excluded(const member_t *members, guint count)
{
    for (guint i = 0; i < count; i++)
        if (!members[i].is_excluded)
            return false;
    return true;
}

/* Returns whether the member may own machines. If zone is not NULL, the member must run there. */
static bool is_eligible(const member_t *member, bool ignores_exclusion, const char *zone)
{
    if (member->is_excluded && !ignores_exclusion)
        return false;
    return !zone || strcmp(member->zone, zone) == 0;
}

static bool has_eligible(const member_t *members, guint count, bool ignores_exclusion,
                         const char *zone)
{
    for (guint i = 0; i < count; i++)
        if (is_eligible(&members[i], ignores_exclusion, zone))
            return true;
    return false;
}

/* Returns the member's weight for the shard. The eligible member with the highest weight owns the
 * shard. */
static uint64_t rendezvous_weight(const member_t *member, const char *shard)
{
    uint64_t seed = XXH64(member->name, strlen(member->name), 0);
    return XXH64(shard, strlen(shard), seed);
}

guint owner_of(const member_t *members, guint count, const char *machine, const char *zone)
{
    char shard[SHARD_NAME_BYTES];
    shard_of(machine, zone, shard, sizeof shard);
    bool ignores_exclusion = are_all_excluded(members, count);
    const char *owner_zone = has_eligible(members, count, ignores_exclusion, zone) ? zone : NULL;
    guint owner = 0;
    uint64_t highest = 0;
    for (guint i = 0; i < count; i++) {
        if (!is_eligible(&members[i], ignores_exclusion, owner_zone))
            continue;
        uint64_t weight = rendezvous_weight(&members[i], shard);
        if (weight >= highest) {
            highest = weight;
            owner = i;
        }
    }
    return owner;
}
