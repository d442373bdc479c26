#include "core/replication/summary_update.h"

#include <string.h>

void summary_update_clear(summary_update_t *update)
{
    g_clear_pointer(&update->summaries, g_array_unref);
    g_clear_pointer(&update->terminated, g_ptr_array_unref);
}

static void version_clear(summary_version_t *version)
{
    g_clear_pointer(&version->summaries, g_array_unref);
    version->version = 0;
}

void summary_replica_clear(summary_replica_t *replica)
{
    version_clear(replica);
}

void summary_sender_reset(summary_sender_t *sender)
{
    version_clear(&sender->acknowledged);
    version_clear(&sender->sent);
}

/* Returns an index of the summaries (transfer full): machine id (char *) -> machine_summary_t *,
 * both borrowed from the array, which may be NULL. */
static GHashTable *index_by_machine(GArray *summaries)
{
    GHashTable *index = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; summaries && i < summaries->len; i++) {
        machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, i);
        g_hash_table_insert(index, summary->machine, summary);
    }
    return index;
}

static bool are_resources_equal(resources_t left, resources_t right)
{
    return left.cpus == right.cpus && left.gpus == right.gpus && left.memory == right.memory;
}

/* Advances the ages of a summary that is not sent again. The partition and the leader both do so,
 * and must compute the same. */
static void advance_ages(machine_summary_t *summary, msec_t elapsed_ms)
{
    summary->known_ms += elapsed_ms;
    if (summary->attempts == 0)
        summary->idle_ms += elapsed_ms;
}

/* Returns whether both summaries have a silence below SUMMARY_SILENT_MS. Below it, no decision
 * depends on how long a machine has sent no heartbeat. */
static bool is_silence_irrelevant(const machine_summary_t *expected,
                                  const machine_summary_t *current)
{
    return expected->silent_ms < SUMMARY_SILENT_MS && current->silent_ms < SUMMARY_SILENT_MS;
}

/* Returns whether the idle time that the leader computes is close enough to the current one. The
 * idle time of a machine with attempts is not used. */
static bool is_idle_time_near(const machine_summary_t *expected, const machine_summary_t *current)
{
    msec_t error_ms = current->idle_ms - expected->idle_ms;
    return current->attempts > 0 ||
           (error_ms < SUMMARY_IDLE_ERROR_MS && error_ms > -SUMMARY_IDLE_ERROR_MS);
}

/* Returns whether the values that do not grow with time are equal. */
static bool are_values_equal(const machine_summary_t *expected, const machine_summary_t *current)
{
    return expected->is_spot == current->is_spot &&
           expected->accepts_starts == current->accepts_starts &&
           expected->is_draining == current->is_draining &&
           expected->attempts == current->attempts &&
           are_resources_equal(expected->total, current->total) &&
           are_resources_equal(expected->free, current->free) &&
           strcmp(expected->type, current->type) == 0 && strcmp(expected->zone, current->zone) == 0;
}

/* Returns whether the leader can compute the current summary from `known`, which it received with a
 * version created `elapsed_ms` ago, so that the summary need not be sent. If so, sets the idle time
 * in `current` to the one that the leader computes; otherwise small errors that are not sent would
 * accumulate. */
static bool match_known(const machine_summary_t *known, machine_summary_t *current,
                        msec_t elapsed_ms)
{
    machine_summary_t expected = *known;
    advance_ages(&expected, elapsed_ms);
    if (!is_silence_irrelevant(&expected, current) || !is_idle_time_near(&expected, current) ||
        !are_values_equal(&expected, current))
        return false;
    current->idle_ms = expected.idle_ms;
    return true;
}

/* Adds the differences between the base and the current summaries to the update. Sets the idle
 * times of the unchanged summaries to those that the leader computes. */
static void find_changes(const summary_version_t *base, GArray *current, msec_t now,
                         summary_update_t *update)
{
    /* Machines that have no current summary so far; after the loop, those that no longer exist. */
    g_autoptr(GHashTable) unmatched = index_by_machine(base->summaries);
    for (guint i = 0; i < current->len; i++) {
        machine_summary_t *summary = &g_array_index(current, machine_summary_t, i);
        const machine_summary_t *known = g_hash_table_lookup(unmatched, summary->machine);
        if (!known || !match_known(known, summary, now - base->updated_at))
            g_array_append_vals(update->summaries, summary, 1);
        if (known)
            g_hash_table_remove(unmatched, summary->machine);
    }
    GHashTableIter iter;
    gpointer machine;
    g_hash_table_iter_init(&iter, unmatched);
    while (g_hash_table_iter_next(&iter, &machine, NULL))
        g_ptr_array_add(update->terminated, g_strdup(machine));
}

summary_update_t summary_sender_next(summary_sender_t *sender, GArray *current, msec_t now)
{
    summary_update_t update = {.base = sender->acknowledged.version,
                               .version = ++sender->last_version,
                               .summaries = g_array_new(FALSE, FALSE, sizeof(machine_summary_t)),
                               .terminated = g_ptr_array_new_with_free_func(g_free)};
    find_changes(&sender->acknowledged, current, now, &update);
    version_clear(&sender->sent);
    sender->sent =
        (summary_version_t){.version = update.version, .summaries = current, .updated_at = now};
    return update;
}

void summary_sender_acknowledge(summary_sender_t *sender, uint64_t version)
{
    if (version != 0 && version == sender->sent.version) {
        version_clear(&sender->acknowledged);
        sender->acknowledged = sender->sent;
        sender->sent = (summary_version_t){0};
    } else if (version != sender->acknowledged.version) {
        summary_sender_reset(sender);
    }
}

static void remove_terminated(GArray *summaries, const GPtrArray *terminated)
{
    if (!terminated || terminated->len == 0)
        return;
    /* Machine ids (char *), borrowed. */
    g_autoptr(GHashTable) removed = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < terminated->len; i++)
        g_hash_table_add(removed, g_ptr_array_index(terminated, i));
    for (guint i = summaries->len; i-- > 0;)
        if (g_hash_table_contains(removed, g_array_index(summaries, machine_summary_t, i).machine))
            g_array_remove_index(summaries, i);
}

/* Replaces the summaries that changed and appends the new ones. */
static void apply_changed(GArray *summaries, const GArray *changed)
{
    g_autoptr(GHashTable) index = index_by_machine(summaries);
    g_autoptr(GArray) added = g_array_new(FALSE, FALSE, sizeof(machine_summary_t));
    for (guint i = 0; i < changed->len; i++) {
        const machine_summary_t *summary = &g_array_index(changed, machine_summary_t, i);
        machine_summary_t *known = g_hash_table_lookup(index, summary->machine);
        if (known)
            *known = *summary;
        else
            g_array_append_vals(added, summary, 1);
    }
    /* Appended only now, because appending may move the array, into which the index points. */
    g_array_append_vals(summaries, added->data, added->len);
}

static void apply_changes(summary_replica_t *replica, const summary_update_t *update, msec_t now)
{
    for (guint i = 0; i < replica->summaries->len; i++) {
        machine_summary_t *summary = &g_array_index(replica->summaries, machine_summary_t, i);
        advance_ages(summary, now - replica->updated_at);
    }
    remove_terminated(replica->summaries, update->terminated);
    if (update->summaries->len)
        apply_changed(replica->summaries, update->summaries);
}

bool summary_replica_apply(summary_replica_t *replica, const summary_update_t *update, msec_t now)
{
    if (update->version <= replica->version)
        return false;
    if (update->base != 0 && update->base != replica->version)
        return false;
    if (update->base == 0) {
        version_clear(replica);
        replica->summaries = g_array_copy(update->summaries);
    } else {
        apply_changes(replica, update, now);
    }
    replica->version = update->version;
    replica->updated_at = now;
    return true;
}
