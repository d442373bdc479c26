/* The leader's loop: takes what is over, offers, commits, settles.
 *
 * Every transaction requires view/number unchanged and each key it writes as it was. One whose
 * outcome is unknown is followed by a new view number, under which it can no longer be applied, and
 * by reading everything again; so nothing is decided on a guess. */
#include <string.h>

#include "app/node.h"
#include "app/view.h"
#include "io/clock.h"
#include "io/wire.h"
#include "log.h"

typedef struct {
    node_t *node;
    http_client_t *client;
    msec_t renumbered;
} placer_t;

/* Moves the token on. True when the new number is certain to stand. */
static bool renumber(placer_t *placer)
{
    node_t *node = placer->node;
    pthread_mutex_lock(&node->lock);
    bool leading = node->leading;
    view_t view = node->view;
    pthread_mutex_unlock(&node->lock);
    if (!leading)
        return false;
    view_t next = view;
    next.number++;
    txn_t txn = txn_new();
    txn_if(&txn, "view/number", view.stamp);
    txn_set(&txn, "view/number", view_build(next.number, next.leader, next.incarnation), 0);
    budget_charge(&node->core_rps, 1, clock_steady());
    budget_charge(&node->core_write, 1, clock_steady());
    state_result_t result = state_commit(&node->state, placer->client, &txn, STATE_TIMEOUT_MS,
                                         &next.stamp, NULL);
    txn_free(&txn);
    if (result != STATE_OK) {
        state_entry_t entry = {0};
        bool mine = state_get(&node->state, placer->client, "view/number", STATE_TIMEOUT_MS,
                              &entry) == STATE_OK &&
                    view_parse(entry.value, entry.stamp, &next);
        g_free(entry.key);
        json_decref(entry.value);
        if (!mine)
            return false;
        if (next.incarnation != node->incarnation) {
            pthread_mutex_lock(&node->lock);
            node_step_down(node, "another_leads");
            pthread_mutex_unlock(&node->lock);
            return false;
        }
        if (next.number <= view.number)
            return false;
    }
    placer->renumbered = clock_steady();
    pthread_mutex_lock(&node->lock);
    bool still = node->leading && node->view.number == view.number;
    if (still) {
        node->view = next;
        if (node->part)
            part_set_view(node->part, next.number);
        if (node->leader)
            leader_set_view(node->leader, next.number);
    }
    pthread_mutex_unlock(&node->lock);
    log_info("event=renumber view=%" G_GUINT64_FORMAT, next.number);
    return still;
}

typedef struct {
    GArray *machines;
    GArray *done;
    GArray *jobs;
} listing_t;

static bool read_listing(placer_t *placer, listing_t *listing)
{
    state_t *state = &placer->node->state;
    budget_charge(&placer->node->core_rps, 3, clock_steady());
    /* Progress before jobs: a job listed then has all of its finished bits at hand. */
    return state_list(state, placer->client, "machines/", listing->machines, NULL) == STATE_OK &&
           state_list(state, placer->client, "done/", listing->done, NULL) == STATE_OK &&
           state_list(state, placer->client, "jobs/", listing->jobs, NULL) == STATE_OK;
}

static void load_jobs(node_t *node, const GArray *entries, msec_t now)
{
    for (guint i = 0; i < entries->len; i++) {
        const state_entry_t *entry = &g_array_index(entries, state_entry_t, i);
        job_spec_t spec;
        if (!wire_parse_job(entry->value, true, &spec, NULL))
            continue;
        leader_add_job(node->leader, &spec, entry->stamp, now);
        job_spec_clear(&spec);
    }
}

static void load_done(node_t *node, const GArray *entries)
{
    for (guint i = 0; i < entries->len; i++) {
        const state_entry_t *entry = &g_array_index(entries, state_entry_t, i);
        char **parts = g_strsplit(entry->key, "/", 3);
        gsize bytes = 0;
        uint8_t *bits = wire_parse_bits(entry->value, &bytes);
        if (g_strv_length(parts) == 3 && bits)
            leader_load_chunk(node->leader, parts[1], (guint)g_ascii_strtoull(parts[2], NULL, 10),
                              bits, bytes, entry->stamp);
        g_free(bits);
        g_strfreev(parts);
    }
}

static void load_machines(node_t *node, const GArray *entries, msec_t now)
{
    for (guint i = 0; i < entries->len; i++) {
        const state_entry_t *entry = &g_array_index(entries, state_entry_t, i);
        machine_record_t record;
        if (!wire_parse_record(entry->key + strlen("machines/"), entry->value, entry->stamp,
                               &record)) {
            log_error("event=bad_record key=%s", entry->key);
            continue;
        }
        part_load(node->part, &record, now);
        for (guint k = 0; k < record.entries->len; k++) {
            const record_entry_t *attempt = &g_array_index(record.entries, record_entry_t, k);
            leader_load_attempt(node->leader, attempt, record.zone, 0);
            if (!g_hash_table_contains(node->leader->jobs, attempt->job))
                part_end_job(node->part, attempt->job);
        }
        g_array_unref(record.entries);
    }
}

static void load_all(node_t *node, const listing_t *listing, msec_t now)
{
    if (node->part)
        part_free(node->part);
    if (node->leader)
        leader_free(node->leader);
    if (!node->rental)
        node->rental = rental_new();
    node->part = part_new(node->flavors, node->settings->teams, RESERVATION_LAPSE_MS);
    node->leader = leader_new(node->settings->teams, node->settings->targets, 1);
    part_set_view(node->part, node->view.number);
    leader_set_view(node->leader, node->view.number);
    load_jobs(node, listing->jobs, now);
    load_done(node, listing->done);
    load_machines(node, listing->machines, now);
    node->generation++;
    node->loaded = true;
    node->loaded_at = now;
}

static void load(placer_t *placer)
{
    node_t *node = placer->node;
    pthread_mutex_lock(&node->lock);
    uint64_t number = node->view.number;
    pthread_mutex_unlock(&node->lock);
    listing_t listing = {state_entries_new(), state_entries_new(), state_entries_new()};
    bool read = read_listing(placer, &listing);
    pthread_mutex_lock(&node->lock);
    if (read && node->leading && node->view.number == number) {
        load_all(node, &listing, clock_steady());
        log_info("event=loaded view=%" G_GUINT64_FORMAT " jobs=%u machines=%u attempts=%u", number,
                 listing.jobs->len, listing.machines->len,
                 g_hash_table_size(node->part->attempts));
    }
    pthread_mutex_unlock(&node->lock);
    g_array_unref(listing.machines);
    g_array_unref(listing.done);
    g_array_unref(listing.jobs);
    if (!read)
        node_sleep(ELECT_POLL_MS);
}

/* The data can't be trusted any more: a new number voids what is under way, then read again. */
static void reload(placer_t *placer, const char *why)
{
    node_t *node = placer->node;
    log_info("event=reload why=%s", why);
    pthread_mutex_lock(&node->lock);
    node->loaded = false;
    node->generation++;
    pthread_mutex_unlock(&node->lock);
    for (;;) {
        pthread_mutex_lock(&node->lock);
        bool leading = node->leading;
        pthread_mutex_unlock(&node->lock);
        if (!leading || renumber(placer))
            return;
        node_sleep(ELECT_POLL_MS);
    }
}

static GArray *part_rows(const part_t *part, msec_t now)
{
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(machine_row_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, part->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const machine_t *machine = value;
        if (machine->gone)
            continue;
        machine_row_t row = {.spot = machine->spot,
                             .open = machine->reported && machine->known_room &&
                                     !machine->draining && !machine->notice_at &&
                                     now - machine->last_report < DIRECT_FRESH_MS,
                             .total = machine->room,
                             .free = part_free_room(machine),
                             .attempts = machine->attempts->len,
                             .silent_ms = now - machine->last_report,
                             .idle_ms = now - machine->idle_since,
                             .known_ms = now - machine->first_seen};
        g_strlcpy(row.machine, machine->id, sizeof row.machine);
        g_strlcpy(row.type, machine->type, sizeof row.type);
        g_strlcpy(row.zone, machine->zone, sizeof row.zone);
        g_array_append_val(rows, row);
    }
    return rows;
}

static void take_outcomes(node_t *node, msec_t now)
{
    GArray *outcomes = node->part->outcomes;
    for (guint i = 0; i < outcomes->len; i++) {
        const outcome_t *outcome = &g_array_index(outcomes, outcome_t, i);
        log_debug("event=over task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s cause=%d",
                  outcome->ref.job, outcome->ref.task, outcome->ref.attempt, outcome->machine,
                  (int)outcome->cause);
        if (outcome->cause == CAUSE_ERROR || outcome->cause == CAUSE_UNKNOWN)
            log_info("event=failed task=%s/%u machine=%s cause=%d", outcome->ref.job, outcome->ref.task,
                     outcome->machine, (int)outcome->cause);
        leader_outcome(node->leader, outcome, now);
    }
    g_array_set_size(outcomes, 0);
}

static void refuse(node_t *node, const offer_t *offer, msec_t now)
{
    outcome_t refused = {.ref = task_ref(offer->job, offer->task, offer->attempt),
                         .cause = CAUSE_FULL};
    leader_outcome(node->leader, &refused, now);
}

/* One task of the gang found no room: the holds of the others are freed. */
static void withdraw_gang(node_t *node, const GArray *offers, const char *job, msec_t now)
{
    for (guint i = 0; i < offers->len; i++) {
        const offer_t *offer = &g_array_index(offers, leader_offer_t, i).offer;
        if (strcmp(offer->job, job) != 0)
            continue;
        task_ref_t ref = task_ref(offer->job, offer->task, offer->attempt);
        part_withdraw(node->part, &ref);
        refuse(node, offer, now);
    }
}

static void make_offers(node_t *node, msec_t now, guint most)
{
    leader_set_rows(node->leader, 0, part_rows(node->part, now));
    for (guint i = 0; i < node->settings->teams->len; i++)
        leader_set_yielding(node->leader, i,
                            part_yielding(node->part,
                                          g_array_index(node->settings->teams, team_t, i).name));
    GArray *offers = leader_schedule(node->leader, now, clock_day(), most);
    for (guint i = 0; i < offers->len; i++) {
        const offer_t *offer = &g_array_index(offers, leader_offer_t, i).offer;
        task_ref_t ref = task_ref(offer->job, offer->task, offer->attempt);
        if (!leader_is_out(node->leader, &ref))
            continue; /* of a gang that was withdrawn */
        machine_t *machine = part_place(node->part, offer, now);
        if (machine) {
            leader_placed(node->leader, &ref, machine->zone);
            log_debug("event=place task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s", offer->job,
                      offer->task, offer->attempt, machine->id);
        } else {
            refuse(node, offer, now);
            if (offer->gang)
                withdraw_gang(node, offers, offer->job, now);
        }
    }
    g_array_unref(offers);
}

typedef struct {
    GArray *progress;
    part_batch_t *machines;
    guint ops;
} batch_t;

static void write_progress(txn_t *txn, const progress_t *progress)
{
    char key[128], job[128];
    g_snprintf(job, sizeof job, "jobs/%s", progress->job);
    if (!progress->end) {
        g_snprintf(key, sizeof key, "done/%s/%u", progress->job, progress->chunk);
        txn_if(txn, job, progress->job_stamp);
        txn_if(txn, key, progress->stamp);
        txn_set(txn, key, wire_build_bits(progress->bits, progress->bytes, progress->done), 0);
        return;
    }
    txn_if(txn, job, progress->job_stamp);
    txn_delete(txn, job);
    g_snprintf(key, sizeof key, "ended/%s", progress->job);
    txn_set(txn, key, wire_build_ended(true, progress->done), 0);
    for (guint i = 0; i < progress->old_stamps->len; i++) {
        uint64_t stamp = g_array_index(progress->old_stamps, uint64_t, i);
        if (!stamp)
            continue;
        g_snprintf(key, sizeof key, "done/%s/%u", progress->job, i);
        txn_if(txn, key, stamp);
        txn_delete(txn, key);
    }
}

static void write_machines(txn_t *txn, const part_batch_t *machines, GHashTable *written_jobs)
{
    char key[128];
    for (guint i = 0; i < machines->records->len; i++) {
        const machine_record_t *record = &g_array_index(machines->records, machine_record_t, i);
        g_snprintf(key, sizeof key, "machines/%s", record->machine);
        txn_if(txn, key, record->stamp);
        txn_set(txn, key, wire_build_record(record), 0);
    }
    for (guint i = 0; i < machines->gone->len; i++) {
        g_snprintf(key, sizeof key, "machines/%s", (char *)g_ptr_array_index(machines->gone, i));
        txn_if(txn, key, g_array_index(machines->gone_stamps, uint64_t, i));
        txn_delete(txn, key);
    }
    GHashTableIter iter;
    gpointer id, stamp;
    g_hash_table_iter_init(&iter, machines->jobs);
    while (g_hash_table_iter_next(&iter, &id, &stamp)) {
        if (g_hash_table_contains(written_jobs, id))
            continue;
        g_snprintf(key, sizeof key, "jobs/%s", (char *)id);
        txn_if(txn, key, GPOINTER_TO_SIZE(stamp));
    }
}

static txn_t build(const batch_t *batch, uint64_t view_stamp)
{
    txn_t txn = txn_new();
    GHashTable *written = g_hash_table_new(g_str_hash, g_str_equal);
    txn_if(&txn, "view/number", view_stamp);
    for (guint i = 0; i < batch->progress->len; i++) {
        const progress_t *progress = &g_array_index(batch->progress, progress_t, i);
        write_progress(&txn, progress);
        g_hash_table_add(written, (gpointer)progress->job);
    }
    write_machines(&txn, batch->machines, written);
    g_hash_table_unref(written);
    return txn;
}

static void committed(node_t *node, batch_t *batch, uint64_t revision)
{
    GArray *settled = g_array_new(FALSE, FALSE, sizeof(task_ref_t));
    part_batch_commit(node->part, batch->machines, revision, clock_steady());
    leader_progress_commit(node->leader, batch->progress, revision, settled);
    for (guint i = 0; i < settled->len; i++)
        part_settle(node->part, &g_array_index(settled, task_ref_t, i));
    for (guint i = 0; i < batch->progress->len; i++) {
        const progress_t *progress = &g_array_index(batch->progress, progress_t, i);
        if (progress->end)
            node_job_gone(node, progress->job);
    }
    g_array_unref(settled);
    pthread_cond_broadcast(&node->direct);
}

static void undo(node_t *node, batch_t *batch)
{
    part_batch_undo(node->part, batch->machines);
    leader_progress_undo(node->leader, batch->progress);
}

/* What a failed condition says. Only jobs failing: they were cancelled. */
static const char *judge(node_t *node, const GPtrArray *failed)
{
    for (guint i = 0; i < failed->len; i++) {
        const char *key = g_ptr_array_index(failed, i);
        if (!g_str_has_prefix(key, "jobs/"))
            return "condition_failed";
    }
    for (guint i = 0; i < failed->len; i++)
        node_job_gone(node, (char *)g_ptr_array_index(failed, i) + strlen("jobs/"));
    return failed->len ? NULL : "condition_failed";
}

static void commit(placer_t *placer, batch_t *batch, uint64_t view_stamp)
{
    node_t *node = placer->node;
    GPtrArray *failed = g_ptr_array_new_with_free_func(g_free);
    uint64_t revision = 0;
    const char *broken = NULL;
    txn_t txn = build(batch, view_stamp);
    msec_t now = clock_steady();
    budget_charge(&node->core_rps, 1, now);
    budget_charge(&node->core_write, batch->ops, now);
    state_result_t result =
        state_commit(&node->state, placer->client, &txn, STATE_TIMEOUT_MS, &revision, failed);
    txn_free(&txn);
    pthread_mutex_lock(&node->lock);
    switch (result) {
    case STATE_OK:
        committed(node, batch, revision);
        break;
    case STATE_FAILED:
        undo(node, batch);
        broken = judge(node, failed);
        break;
    case STATE_REFUSED:
        undo(node, batch);
        break;
    default:
        broken = result == STATE_UNKNOWN ? "no_answer" : "invalid";
    }
    pthread_mutex_unlock(&node->lock);
    g_ptr_array_unref(failed);
    if (result == STATE_REFUSED)
        node_sleep(TICK_MS);
    if (result == STATE_INVALID)
        log_error("event=invalid_transaction ops=%u", batch->ops);
    if (broken)
        reload(placer, broken);
}

/* One round with the lock held; returns whether there is something to commit. */
static bool tick(node_t *node, batch_t *batch, msec_t now)
{
    part_tick(node->part, now);
    take_outcomes(node, now);
    double left = budget_left(&node->core_write, now);
    make_offers(node, now, PLACE_MOST);
    guint most = left < 1 ? 0 : MIN((guint)left, node->settings->txn_ops);
    batch->progress = leader_progress_take(node->leader, most, &batch->ops);
    batch->machines = part_batch_take(node->part, most - batch->ops,
                                      (gsize)(node->settings->value_kb * 1024));
    batch->ops += batch->machines->records->len + batch->machines->gone->len;
    take_outcomes(node, now);
    return batch->ops > 0;
}

void *placer_run(void *data)
{
    placer_t placer = {.node = data, .client = http_client_new(2)};
    node_t *node = placer.node;
    for (;;) {
        pthread_mutex_lock(&node->lock);
        node_wait(node, &node->work, TICK_MS);
        if (!node->leading || !node->loaded) {
            bool leading = node->leading;
            pthread_mutex_unlock(&node->lock);
            if (leading)
                load(&placer);
            continue;
        }
        msec_t now = clock_steady();
        batch_t batch = {0};
        bool changes = tick(node, &batch, now);
        bool wants_token =
            part_wants_token(node->part) && now - placer.renumbered > RENUMBER_GAP_MS;
        uint64_t stamp = node->view.stamp;
        pthread_mutex_unlock(&node->lock);
        if (changes)
            commit(&placer, &batch, stamp);
        g_array_unref(batch.progress);
        part_batch_free(batch.machines);
        if (wants_token)
            renumber(&placer);
        node_sleep(COMMIT_GAP_MS);
    }
    return NULL;
}
