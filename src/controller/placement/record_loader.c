/* Reads the records of a view and loads them. */
#include "controller/placement/record_loader.h"

#include <stdlib.h>
#include <string.h>

#include "controller/controller.h"
#include "controller/placement/command_dispatcher.h"
#include "io/clock.h"
#include "io/codec/codec.h"
#include "io/log.h"

record_listing_t record_listing_new(void)
{
    return (record_listing_t){
        .machines = kv_entries_new(), .done = kv_entries_new(), .jobs = kv_entries_new()};
}

void record_listing_clear(record_listing_t *listing)
{
    g_array_unref(listing->machines);
    g_array_unref(listing->done);
    g_array_unref(listing->jobs);
}

static bool read_prefix(controller_t *controller, http_client_t *client, const char *prefix,
                        GArray *entries, uint64_t *revision)
{
    return kv_list(&controller->kv_store, client, prefix, entries, revision) == KV_OK;
}

/* Returns whether everything was read. Jobs are read last, so a job that is listed was still live
 * when its finished tasks were read, and a job that was created before and is not listed has ended.
 */
static bool read_listing(controller_t *controller, http_client_t *client, bool is_leader,
                         record_listing_t *listing)
{
    rate_limiter_charge(&controller->loop_request_limiter, is_leader ? 3 : 2, clock_steady());
    if (!read_prefix(controller, client, "machines/", listing->machines, NULL) ||
        (is_leader && !read_prefix(controller, client, "done/", listing->done, NULL)))
        return false;
    listing->jobs_coverage.sent_at = clock_steady();
    return read_prefix(controller, client, JOBS_PREFIX, listing->jobs,
                       &listing->jobs_coverage.revision);
}

/* Loads the live jobs from the job directory. The list that was read with the records has been
 * applied to it, but the watch may have reported jobs since that list was executed. */
static void load_jobs_locked(controller_t *controller)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, controller->jobs.live);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const live_job_t *job = value;
        leader_add_job(controller->placement.leader, &job->spec, job->revision);
    }
}

/* Loads a chunk of a job's finished tasks: the key is done/<job>/<chunk>, the value has a bit for
 * each task. */
static void load_chunk_locked(controller_t *controller, const kv_entry_t *entry)
{
    g_auto(GStrv) key_fields = g_strsplit(entry->key, "/", 3);
    gsize length = 0;
    g_autofree uint8_t *bits = codec_parse_progress_chunk(entry->value, &length);
    if (g_strv_length(key_fields) == 3 && bits)
        leader_load_chunk(controller->placement.leader, key_fields[1],
                          (guint)g_ascii_strtoull(key_fields[2], NULL, DECIMAL), bits, length,
                          entry->revision);
}

static void load_finished_tasks_locked(controller_t *controller, const GArray *entries)
{
    for (guint i = 0; i < entries->len; i++)
        load_chunk_locked(controller, &g_array_index(entries, kv_entry_t, i));
}

/* Loads the attempts on a machine into the leader's data. */
static void load_attempts_locked(controller_t *controller, const machine_record_t *record,
                                 guint owner)
{
    for (guint i = 0; i < record->entries->len; i++)
        leader_load_attempt(controller->placement.leader,
                            &g_array_index(record->entries, record_entry_t, i), record->zone,
                            owner);
}

static void load_page_locked(controller_t *controller, const page_record_t *page, msec_t now)
{
    if (page->machines->len == 0)
        return;
    const machine_record_t *first = &g_array_index(page->machines, machine_record_t, 0);
    guint owner = membership_owner_index(controller, first->machine, first->zone);
    if (owner == controller->membership.own_index)
        partition_load_record(controller->placement.partition, page, now);
    for (guint i = 0; controller->membership.is_leader && i < page->machines->len; i++)
        load_attempts_locked(controller, &g_array_index(page->machines, machine_record_t, i),
                             owner);
}

/* Adds the ids of the page's machines to the set, which owns them. Returns false if a machine was
 * already in an earlier page, because its attempts would later be removed from only one of them. */
static bool add_unique_machines(GHashTable *machines, const page_record_t *page, const char *key)
{
    bool is_unique = true;
    for (guint i = 0; i < page->machines->len; i++) {
        const char *id = g_array_index(page->machines, machine_record_t, i).machine;
        if (!g_hash_table_add(machines, g_strdup(id))) {
            log_error("event=bad_record key=%s machine=%s", key, id);
            is_unique = false;
        }
    }
    return is_unique;
}

/* Returns whether every record is valid. Logs each invalid record. Stops loading pages at the first
 * one, because its tasks would run twice if it were treated as empty. */
static bool load_machines_locked(controller_t *controller, const record_listing_t *listing,
                                 msec_t now)
{
    bool is_valid = true;
    /* Set of ids (char *, owned). */
    g_autoptr(GHashTable) machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (guint i = 0; i < listing->machines->len; i++) {
        const kv_entry_t *entry = &g_array_index(listing->machines, kv_entry_t, i);
        const char *page_name = entry->key + strlen("machines/");
        page_record_t page;
        if (!codec_parse_page_record(page_name, entry->value, entry->revision, &page, NULL)) {
            log_error("event=bad_record key=%s", entry->key);
            is_valid = false;
            continue;
        }
        if (!add_unique_machines(machines, &page, entry->key))
            is_valid = false;
        if (is_valid)
            load_page_locked(controller, &page, now);
        g_array_unref(page.machines);
    }
    return is_valid;
}

/* Replaces the partition with an empty one, which inherits the drains of the old one. */
static void replace_partition_locked(controller_t *controller)
{
    const settings_t *settings = controller->settings;
    msec_t reservation_ttl_ms =
        (msec_t)(tunable_value(controller->policy, TUNABLE_RESERVATION_TTL) * MS_PER_S);
    partition_t *old_partition = controller->placement.partition;
    partition_t *partition =
        partition_new(controller->placement.machine_types, settings->teams, reservation_ttl_ms);
    if (old_partition) {
        partition_copy_draining_machines(partition, old_partition);
        partition_free(old_partition);
    }
    partition_set_view(partition, controller->membership.view.number);
    partition_set_heartbeat_interval(partition, settings->heartbeat_interval_s);
    if (settings->pause_factor > 1)
        partition_delay_probes(partition, settings->heartbeat_interval_s);
    controller->placement.partition = partition;
}

static void load_leader_locked(controller_t *controller, const record_listing_t *listing)
{
    const settings_t *settings = controller->settings;
    const view_t *view = &controller->membership.view;
    leader_t *leader = leader_new(settings->teams, settings->slos, controller->policy, view->count);
    leader_set_view(leader, view->number);
    arc4random_buf(&leader->counts_epoch, sizeof leader->counts_epoch);
    controller->placement.leader = leader;
    load_jobs_locked(controller);
    load_finished_tasks_locked(controller, listing->done);
}

/* Wakes the threads that wait for the records to be loaded. */
static void notify_loaded_locked(controller_t *controller)
{
    pthread_cond_broadcast(&controller->peers.item_available);
    pthread_cond_signal(&controller->peers.relay_ready);
    pthread_cond_signal(&controller->autoscaler_ready);
    command_dispatcher_notify(controller);
}

void record_loader_apply(controller_t *controller, const record_listing_t *listing, msec_t now)
{
    placement_state_t *placement = &controller->placement;
    job_directory_apply_list(controller, listing->jobs, listing->jobs_coverage);
    g_clear_pointer(&placement->leader, leader_free);
    if (!controller->autoscaler)
        controller->autoscaler = autoscaler_new();
    replace_partition_locked(controller);
    if (controller->membership.is_leader)
        load_leader_locked(controller, listing);
    placement->is_loaded = load_machines_locked(controller, listing, now);
    /* The records were read before the list of jobs, so the jobs of their attempts that the
     * directory does not know have ended. */
    job_directory_end_unknown_attempts(controller);
    placement->generation++;
    placement->loaded_at = now;
    notify_loaded_locked(controller);
}

static void log_loaded_locked(const controller_t *controller, const record_listing_t *listing)
{
    const partition_t *partition = controller->placement.partition;
    log_info("event=records_loaded view=%" G_GUINT64_FORMAT
             " is_leader=%d jobs=%u machines=%u attempts=%u"
             " jobs_revision=%" G_GUINT64_FORMAT " jobs_read_ms_ago=%" G_GINT64_FORMAT,
             controller->membership.view.number, controller->membership.is_leader,
             g_hash_table_size(controller->jobs.live), partition_machine_count(partition),
             partition_attempt_count(partition), listing->jobs_coverage.revision,
             clock_steady() - listing->jobs_coverage.sent_at);
}

void record_loader_load(controller_t *controller, http_client_t *client)
{
    pthread_mutex_lock(&controller->lock);
    uint64_t view_number = controller->membership.view.number;
    bool is_leader = controller->membership.is_leader;
    pthread_mutex_unlock(&controller->lock);
    record_listing_t listing = record_listing_new();
    bool is_read = read_listing(controller, client, is_leader, &listing);
    pthread_mutex_lock(&controller->lock);
    if (is_read && controller->membership.view.number == view_number) {
        record_loader_apply(controller, &listing, clock_steady());
        log_loaded_locked(controller, &listing);
    }
    pthread_mutex_unlock(&controller->lock);
    record_listing_clear(&listing);
    if (!is_read)
        controller_sleep(KV_RETRY_DELAY_MS);
}
