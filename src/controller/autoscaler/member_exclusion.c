/* Excludes members that the workers of their machines cannot reach. Only the leader does so. */
#include "controller/autoscaler/member_exclusion.h"

#include "controller/autoscaler/retained_workers.h"
#include "io/log.h"

/* Returns the ids (owned) of the partition's machines whose workers seem unable to reach their
 * owner, because they are silent. Returns none if these are fewer than SILENT_MACHINES_MIN_COUNT or
 * at most half of the partition's machines. Called with the lock held. */
static GPtrArray *find_cut_off_machines(const controller_t *controller, guint partition)
{
    /* Array of machine_summary_t; NULL if none were received yet. */
    const GArray *summaries = g_ptr_array_index(controller->placement.leader->summaries, partition);
    GPtrArray *cut_off = g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; summaries && i < summaries->len; i++) {
        const machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, i);
        if (summary->silent_ms > cloud_context_lost_owner_ms(controller))
            g_ptr_array_add(cut_off, g_strdup(summary->machine));
    }
    if (cut_off->len < SILENT_MACHINES_MIN_COUNT || 2 * cut_off->len <= summaries->len)
        g_ptr_array_set_size(cut_off, 0);
    return cut_off;
}

/* Returns the same as find_cut_off_machines, but none if the placement generation has changed.
 * Takes the lock. */
static GPtrArray *read_cut_off_machines(controller_t *controller, guint partition,
                                        uint64_t generation)
{
    pthread_mutex_lock(&controller->lock);
    GPtrArray *cut_off = controller->placement.generation == generation
                             ? find_cut_off_machines(controller, partition)
                             : g_ptr_array_new();
    pthread_mutex_unlock(&controller->lock);
    return cut_off;
}

/* Returns how many of the machines are in the set of retained ones; NULL counts as an empty set. */
static guint count_retained(const GPtrArray *machines, GHashTable *retained)
{
    guint count = 0;
    for (guint i = 0; retained && i < machines->len; i++)
        count += g_hash_table_contains(retained, g_ptr_array_index(machines, i));
    return count;
}

/* Excludes the member for EXCLUSION_MS, unless the placement generation has changed. */
static void exclude_member(controller_t *controller, guint member, uint64_t generation,
                           guint retained_count, msec_t now)
{
    msec_t until = now + EXCLUSION_MS;
    pthread_mutex_lock(&controller->lock);
    if (controller->placement.generation == generation) {
        const char *name = controller->membership.view.members[member].name;
        log_info("event=member_excluded member=%s machines=%u", name, retained_count);
        g_hash_table_insert(controller->membership.election.excluded, g_strdup(name),
                            g_memdup2(&until, sizeof until));
        pthread_cond_broadcast(&controller->membership.changed);
    }
    pthread_mutex_unlock(&controller->lock);
}

/* Returns the number of partitions to check and sets *generation to the placement generation. The
 * number is 0 in the first seconds of a view, when workers are still moving to their new owners. */
static guint count_partitions_to_check(controller_t *controller, msec_t now, uint64_t *generation)
{
    pthread_mutex_lock(&controller->lock);
    *generation = controller->placement.generation;
    bool may_check =
        cloud_context_may_act(controller) &&
        now - controller->placement.loaded_at > 2 * cloud_context_lost_owner_ms(controller);
    guint count = may_check ? controller->membership.view.count : 0;
    pthread_mutex_unlock(&controller->lock);
    return count;
}

void member_exclusion_update(cloud_context_t *context, msec_t now)
{
    controller_t *controller = context->controller;
    g_autoptr(GHashTable) retained = NULL; /* set of machine ids, read when first needed */
    uint64_t generation = 0;
    guint partitions = count_partitions_to_check(controller, now, &generation);
    for (guint i = 0; i < partitions; i++) {
        g_autoptr(GPtrArray) cut_off = read_cut_off_machines(controller, i, generation);
        if (cut_off->len && !retained)
            retained = retained_workers_read(context);
        guint retained_count = count_retained(cut_off, retained);
        if (cut_off->len && 2 * retained_count > cut_off->len)
            exclude_member(controller, i, generation, retained_count, now);
    }
}
