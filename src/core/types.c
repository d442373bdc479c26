#include "core/types.h"

#include <string.h>

void job_spec_clear(job_spec_t *spec)
{
    g_strfreev(spec->types);
    spec->types = NULL;
}

void worker_heartbeat_clear(worker_heartbeat_t *heartbeat)
{
    if (heartbeat->attempts)
        g_array_unref(heartbeat->attempts);
    heartbeat->attempts = NULL;
}

guint task_ref_hash(gconstpointer ref)
{
    const task_ref_t *key = ref;
    return g_str_hash(key->job) * HASH_FACTOR + key->task;
}

gboolean task_ref_equal(gconstpointer left, gconstpointer right)
{
    const task_ref_t *first = left;
    const task_ref_t *second = right;
    return first->task == second->task && strcmp(first->job, second->job) == 0;
}

task_ref_t task_ref(const char *job, uint32_t task, uint64_t attempt)
{
    task_ref_t ref = {.task = task, .attempt = attempt};
    g_strlcpy(ref.job, job, sizeof ref.job);
    return ref;
}

bool job_spec_allows(const job_spec_t *spec, const char *type, const char *zone, bool spot)
{
    if (spot && !spec->may_use_spot)
        return false;
    if (spec->zone[0] && strcmp(spec->zone, zone) != 0)
        return false;
    return !spec->types || g_strv_contains((const char *const *)spec->types, type);
}

bool job_spec_fits_any_type(const job_spec_t *spec, const GArray *machine_types)
{
    for (guint i = 0; i < machine_types->len; i++) {
        const machine_type_t *machine_type = &g_array_index(machine_types, machine_type_t, i);
        if (!resources_fit(spec->need, machine_type->capacity))
            continue;
        for (char **zone = machine_type->zones; zone && *zone; zone++)
            if (job_spec_allows(spec, machine_type->name, *zone, false))
                return true;
    }
    return false;
}
