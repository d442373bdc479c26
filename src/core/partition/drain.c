#include "core/partition/drain_internal.h"
#include "core/partition/partition_internal.h"

void partition_copy_draining_machines(partition_t *partition, const partition_t *earlier)
{
    GHashTableIter iter;
    gpointer id;
    g_hash_table_iter_init(&iter, earlier->draining);
    while (g_hash_table_iter_next(&iter, &id, NULL))
        if (g_hash_table_contains(earlier->machines, id))
            g_hash_table_add(partition->draining, g_strdup(id));
}

void partition_set_draining(partition_t *partition, const char *id, bool is_draining)
{
    machine_t *machine = g_hash_table_lookup(partition->machines, id);
    if (!machine || machine->is_terminated)
        return;
    machine->is_draining = is_draining;
    if (is_draining)
        g_hash_table_add(partition->draining, g_strdup(id));
    else
        g_hash_table_remove(partition->draining, id);
}

static bool is_mostly_empty(const machine_t *machine)
{
    return machine_free_resources(machine).cpus >= machine->capacity.cpus * DRAIN_MIN_FREE_FRACTION;
}

/* Because of least-loaded placement, a draining machine usually still has a few attempts, and a
 * single long one would occupy the whole machine for minutes. Once most of the machine is empty,
 * its attempts with checkpoints are stopped, so that they save and continue on other machines. */
void partition_evict_from_draining(partition_t *partition, machine_t *machine, msec_t now)
{
    if (!machine->is_draining || machine->is_terminated || !is_mostly_empty(machine))
        return;
    for (guint i = 0; i < machine->attempts->len; i++) {
        attempt_t *attempt = machine_attempt(machine, i);
        if (attempt->phase == ATTEMPT_RECORDED && attempt->is_listed &&
            attempt->entry.checkpoint_s > 0)
            partition_stop_attempt(partition, attempt, now);
    }
}
