#include "core/partition/drain_internal.h"
#include "core/partition/partition_internal.h"

void partition_inherit_drains(partition_t *partition, const partition_t *earlier)
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
    return machine_free_resources(machine).cpus >= machine->capacity.cpus * DRAIN_EMPTY_FRACTION;
}

/* Least-loaded placement leaves a draining machine with a few attempts, and a long one would keep
 * all of the machine for minutes. Once most of it is empty, attempts with checkpoints save and
 * continue elsewhere. */
void partition_empty_drained(partition_t *partition, machine_t *machine, msec_t now)
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
