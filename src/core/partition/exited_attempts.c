#include "core/partition/exited_attempts.h"

static gboolean is_same_attempt(gconstpointer left, gconstpointer right)
{
    const task_ref_t *first = left;
    const task_ref_t *second = right;
    return first->attempt == second->attempt && task_ref_equal(first, second);
}

GHashTable *exited_attempts_new(void)
{
    return g_hash_table_new_full(task_ref_hash, is_same_attempt, NULL, g_free);
}

void exited_attempts_record(GHashTable *exited, const reported_attempt_t *listed,
                            uint64_t listed_by, msec_t now)
{
    task_ref_t ref = task_ref(listed->job, listed->task, listed->attempt);
    exited_attempt_t *attempt = g_hash_table_lookup(exited, &ref);
    if (!attempt) {
        attempt = g_new(exited_attempt_t, 1);
        *attempt = (exited_attempt_t){.ref = ref, .since_at = now};
        g_hash_table_insert(exited, &attempt->ref, attempt);
    }
    attempt->listed_by = listed_by;
}

void exited_attempts_remove_unlisted(GHashTable *exited, uint64_t listed_by)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, exited);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const exited_attempt_t *attempt = value;
        if (attempt->listed_by != listed_by)
            g_hash_table_iter_remove(&iter);
    }
}
