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

/* id -> machine_summary_t, both borrowed from the array. */
static GHashTable *index_by_machine(GArray *summaries)
{
    GHashTable *index = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; summaries && i < summaries->len; i++) {
        machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, i);
        g_hash_table_insert(index, summary->machine, summary);
    }
    return index;
}

static bool same_resources(resources_t left, resources_t right)
{
    return left.cpus == right.cpus && left.gpus == right.gpus && left.memory == right.memory;
}

/* What becomes of a summary that is not sent again, on both sides. */
static void let_age_grow(machine_summary_t *summary, msec_t elapsed)
{
    summary->known_ms += elapsed;
    if (summary->attempts == 0)
        summary->idle_ms += elapsed;
}

/* Whether what the leader has by now will do. Of machines that are not silent nobody asks for how
 * many milliseconds. */
static bool is_as_expected(const machine_summary_t *expected, const machine_summary_t *current)
{
    bool is_silent =
        expected->silent_ms >= SUMMARY_SILENT_MS || current->silent_ms >= SUMMARY_SILENT_MS;
    msec_t idle_error = current->idle_ms - expected->idle_ms;
    bool is_idle_known = current->attempts > 0 || (idle_error < SUMMARY_IDLE_ERROR_MS &&
                                                   idle_error > -SUMMARY_IDLE_ERROR_MS);
    return !is_silent && is_idle_known && expected->spot == current->spot &&
           expected->open == current->open && expected->draining == current->draining &&
           expected->attempts == current->attempts &&
           same_resources(expected->total, current->total) &&
           same_resources(expected->free, current->free) &&
           strcmp(expected->type, current->type) == 0 && strcmp(expected->zone, current->zone) == 0;
}

/* Whether the leader needs no word of the machine. Then `current` becomes what the leader has:
 * small errors that are not sent would add up otherwise. */
static bool is_known(const machine_summary_t *known, machine_summary_t *current, msec_t elapsed)
{
    machine_summary_t expected = *known;
    let_age_grow(&expected, elapsed);
    if (!is_as_expected(&expected, current))
        return false;
    current->idle_ms = expected.idle_ms;
    return true;
}

static void find_changes(const summary_version_t *base, GArray *current, msec_t now,
                         summary_update_t *update)
{
    GHashTable *before = index_by_machine(base->summaries);
    for (guint i = 0; i < current->len; i++) {
        machine_summary_t *summary = &g_array_index(current, machine_summary_t, i);
        const machine_summary_t *known = g_hash_table_lookup(before, summary->machine);
        if (!known || !is_known(known, summary, now - base->at))
            g_array_append_vals(update->summaries, summary, 1);
        if (known)
            g_hash_table_remove(before, summary->machine);
    }
    GHashTableIter iter;
    gpointer machine;
    g_hash_table_iter_init(&iter, before);
    while (g_hash_table_iter_next(&iter, &machine, NULL))
        g_ptr_array_add(update->terminated, g_strdup(machine));
    g_hash_table_unref(before);
}

summary_update_t summary_sender_next(summary_sender_t *sender, GArray *current, msec_t now)
{
    summary_update_t update = {.base = sender->acknowledged.version,
                               .version = ++sender->last_version,
                               .summaries = g_array_new(FALSE, FALSE, sizeof(machine_summary_t)),
                               .terminated = g_ptr_array_new_with_free_func(g_free)};
    find_changes(&sender->acknowledged, current, now, &update);
    version_clear(&sender->sent);
    sender->sent = (summary_version_t){update.version, current, now};
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
    GHashTable *gone = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < terminated->len; i++)
        g_hash_table_add(gone, g_ptr_array_index(terminated, i));
    for (guint i = summaries->len; i-- > 0;)
        if (g_hash_table_contains(gone, g_array_index(summaries, machine_summary_t, i).machine))
            g_array_remove_index(summaries, i);
    g_hash_table_unref(gone);
}

static void take_changed(GArray *summaries, const GArray *changed)
{
    GHashTable *index = index_by_machine(summaries);
    GArray *added = g_array_new(FALSE, FALSE, sizeof(machine_summary_t));
    for (guint i = 0; i < changed->len; i++) {
        const machine_summary_t *summary = &g_array_index(changed, machine_summary_t, i);
        machine_summary_t *known = g_hash_table_lookup(index, summary->machine);
        if (known)
            *known = *summary;
        else
            g_array_append_vals(added, summary, 1);
    }
    g_hash_table_unref(index);
    g_array_append_vals(summaries, added->data, added->len);
    g_array_unref(added);
}

bool summary_replica_apply(summary_replica_t *replica, const summary_update_t *update, msec_t now)
{
    if (update->version <= replica->version ||
        (update->base != 0 && update->base != replica->version))
        return false;
    if (update->base == 0) {
        version_clear(replica);
        replica->summaries = g_array_copy(update->summaries);
    } else {
        for (guint i = 0; i < replica->summaries->len; i++)
            let_age_grow(&g_array_index(replica->summaries, machine_summary_t, i),
                         now - replica->at);
        remove_terminated(replica->summaries, update->terminated);
        if (update->summaries->len)
            take_changed(replica->summaries, update->summaries);
    }
    replica->version = update->version;
    replica->at = now;
    return true;
}
