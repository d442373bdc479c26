#include "core/partition/candidates_internal.h"
#include "core/partition/partition_internal.h"

#include <string.h>

void candidates_init(candidates_t *candidates, const partition_t *partition,
                     const placement_request_t *request, msec_t now)
{
    candidates->partition = partition;
    candidates->request = request;
    candidates->now = now;
    g_hash_table_iter_init(&candidates->machines, partition->machines);
}

/* A machine that has not responded in this view, or is not reachable, may be hanging, disconnected
 * or terminated. It accepts no starts at all, rather than being ranked last, because a start placed
 * there would only wait, and be lost with the lease of the machine. */
static bool is_candidate(const candidates_t *candidates, const machine_t *machine)
{
    const placement_request_t *request = candidates->request;
    if (!partition_accepts_starts(candidates->partition, machine, candidates->now) ||
        machine->fills_page)
        return false;
    if (request->zone[0] && strcmp(request->zone, machine->zone) != 0)
        return false;
    if (machine->is_spot && !request->may_use_spot)
        return false;
    return !request->types || g_strv_contains((const char *const *)request->types, machine->type);
}

machine_t *candidates_next(candidates_t *candidates)
{
    gpointer value;
    while (g_hash_table_iter_next(&candidates->machines, NULL, &value))
        if (is_candidate(candidates, value))
            return value;
    return NULL;
}

bool candidates_has_image(const machine_t *machine, const placement_request_t *request)
{
    return g_hash_table_contains(machine->images, request->image);
}
