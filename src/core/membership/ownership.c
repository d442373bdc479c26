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
    /* The shard's number follows the last dot, whatever the zone's name holds. */
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

guint owner_of(const member_t *members, guint count, const char *machine, const char *zone)
{
    char shard[SHARD_NAME_BYTES];
    bool local = false, any = false;
    guint owner = 0;
    uint64_t highest = 0;
    shard_of(machine, zone, shard, sizeof shard);
    for (guint i = 0; i < count; i++)
        any = any || !members[i].is_excluded;
    for (guint i = 0; i < count; i++)
        local = local || ((!any || !members[i].is_excluded) && strcmp(members[i].zone, zone) == 0);
    for (guint i = 0; i < count; i++) {
        if ((any && members[i].is_excluded) || (local && strcmp(members[i].zone, zone) != 0))
            continue;
        uint64_t seed = XXH64(members[i].name, strlen(members[i].name), 0);
        uint64_t weight = XXH64(shard, strlen(shard), seed);
        if (weight >= highest) {
            highest = weight;
            owner = i;
        }
    }
    return owner;
}
