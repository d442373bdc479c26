/* view/ in the key-value store. view/number holds the number, which is the fencing token, with
 * leader and members; view/lease hangs on the leader's lease, view/members/<name> on each
 * controller's own. */
#include "controller/membership/view.h"
#include "controller/kv_watch_loop.h"

#include <string.h>

#include "io/clock.h"
#include "io/codec/codec.h"
#include "io/log.h"

static bool parse_member(const json_t *value, member_t *member)
{
    const char *name = json_string_value(json_object_get(value, "Name"));
    const char *zone = json_string_value(json_object_get(value, "Zone"));
    *member = (member_t){0};
    if (!name || !zone)
        return false;
    g_strlcpy(member->name, name, sizeof member->name);
    g_strlcpy(member->zone, zone, sizeof member->zone);
    member->incarnation = (uint64_t)json_integer_value(json_object_get(value, "Incarnation"));
    member->is_excluded = json_is_true(json_object_get(value, "Aside"));
    return true;
}

json_t *view_build(const view_t *view)
{
    json_t *members = json_array();
    for (guint i = 0; i < view->count; i++)
        json_array_append_new(members, codec_build_member(&view->members[i]));
    return json_pack("{s:I,s:s,s:I,s:o}", "Number", (json_int_t)view->number, "Leader",
                     view->leader, "Incarnation", (json_int_t)view->incarnation, "Members",
                     members);
}

bool view_parse(const json_t *value, uint64_t revision, view_t *view)
{
    const char *leader = json_string_value(json_object_get(value, "Leader"));
    if (!leader)
        return false;
    *view = (view_t){.revision = revision};
    view->number = (uint64_t)json_integer_value(json_object_get(value, "Number"));
    view->incarnation = (uint64_t)json_integer_value(json_object_get(value, "Incarnation"));
    g_strlcpy(view->leader, leader, sizeof view->leader);
    size_t i;
    json_t *member;
    json_array_foreach(json_object_get(value, "Members"), i,
                       member) if (view->count < MEMBERS_MAX_COUNT &&
                                   parse_member(member, &view->members[view->count])) view->count++;
    return true;
}

void view_refresh(controller_t *controller, http_client_t *client)
{
    kv_entry_t entry = {0};
    view_t view;
    rate_limiter_charge(&controller->core_request_limiter, 1, clock_steady());
    if (kv_get(&controller->kv_store, client, "view/number", KV_TIMEOUT_MS, &entry) == KV_OK &&
        view_parse(entry.value, entry.revision, &view)) {
        pthread_mutex_lock(&controller->lock);
        membership_install_view(controller, &view);
        pthread_mutex_unlock(&controller->lock);
    }
    g_free(entry.key);
    json_decref(entry.value);
}

kv_result_t view_change(controller_t *controller, http_client_t *client, view_t *next,
                        uint64_t revision, uint64_t lease, uint64_t lease_revision)
{
    kv_txn_t txn = kv_txn_new();
    kv_txn_require_revision(&txn, "view/number", revision);
    kv_txn_put(&txn, "view/number", view_build(next), 0);
    if (lease) {
        member_t holder = {.incarnation = next->incarnation};
        g_strlcpy(holder.name, next->leader, sizeof holder.name);
        kv_txn_require_revision(&txn, "view/lease", lease_revision);
        kv_txn_put(&txn, "view/lease", codec_build_member(&holder), lease);
    }
    rate_limiter_charge(&controller->core_request_limiter, 1, clock_steady());
    rate_limiter_charge(&controller->core_write_limiter, lease ? 2 : 1, clock_steady());
    kv_result_t result =
        kv_commit(&controller->kv_store, client, &txn, KV_TIMEOUT_MS, &next->revision, NULL);
    kv_txn_free(&txn);
    if (result == KV_OK) {
        pthread_mutex_lock(&controller->lock);
        if (lease) {
            /* Known before the follow tells: else the lease would look free, and be taken again. */
            election_record_lease(&controller->membership.election, next->leader, next->incarnation,
                                  next->revision);
        }
        membership_install_view(controller, next);
        pthread_mutex_unlock(&controller->lock);
    } else if (result != KV_NOT_EXECUTED) {
        view_refresh(controller, client); /* another was quicker, or the answer was lost */
    }
    return result;
}

bool view_advance_fencing_token(controller_t *controller, http_client_t *client)
{
    pthread_mutex_lock(&controller->lock);
    view_t next = controller->membership.view;
    pthread_mutex_unlock(&controller->lock);
    uint64_t number = next.number++;
    view_change(controller, client, &next, next.revision, 0, 0);
    pthread_mutex_lock(&controller->lock);
    bool moved = controller->membership.view.number > number;
    pthread_mutex_unlock(&controller->lock);
    return moved;
}

static void take_entry(controller_t *controller, const kv_entry_t *entry)
{
    static const char members[] = "view/members/";
    member_t member = {0};
    view_t view;
    if (strcmp(entry->key, "view/number") == 0) {
        if (entry->value && view_parse(entry->value, entry->revision, &view))
            membership_install_view(controller, &view);
    } else if (strcmp(entry->key, "view/lease") == 0) {
        election_record_lease(
            &controller->membership.election,
            json_string_value(json_object_get(entry->value, "Name")),
            (uint64_t)json_integer_value(json_object_get(entry->value, "Incarnation")),
            entry->revision);
    } else if (g_str_has_prefix(entry->key, members)) {
        const char *name = entry->key + strlen(members);
        bool listed = entry->value && parse_member(entry->value, &member);
        election_record_member(&controller->membership.election, name, listed ? &member : NULL,
                               clock_steady());
    }
}

static bool read_all(controller_t *controller, http_client_t *client, uint64_t *revision)
{
    GArray *entries = kv_entries_new();
    msec_t sent = clock_steady();
    rate_limiter_charge(&controller->core_request_limiter, 1, sent);
    bool read = kv_list(&controller->kv_store, client, "view/", entries, revision) == KV_OK;
    if (read) {
        pthread_mutex_lock(&controller->lock);
        election_clear(&controller->membership.election);
        for (guint i = 0; i < entries->len; i++)
            take_entry(controller, &g_array_index(entries, kv_entry_t, i));
        controller->membership.is_view_synced = true;
        controller->membership.views_complete_until = sent;
        pthread_cond_broadcast(&controller->membership.changed);
        pthread_mutex_unlock(&controller->lock);
    }
    g_array_unref(entries);
    return read;
}

static kv_result_t watch_changes(controller_t *controller, http_client_t *client,
                                 uint64_t *revision)
{
    GArray *changes = kv_entries_new();
    msec_t sent = clock_steady();
    rate_limiter_charge(&controller->core_request_limiter, 1, sent);
    kv_result_t result =
        kv_watch(&controller->kv_store, client, "view/", KV_WATCH_BLOCK_MS, revision, changes);
    pthread_mutex_lock(&controller->lock);
    for (guint i = 0; result == KV_OK && i < changes->len; i++)
        take_entry(controller, &g_array_index(changes, kv_entry_t, i));
    if (result == KV_OK)
        controller->membership.views_complete_until = sent;
    if (result == KV_COMPACTED)
        controller->membership.is_view_synced = false;
    if (changes->len)
        pthread_cond_broadcast(&controller->membership.changed);
    pthread_mutex_unlock(&controller->lock);
    g_array_unref(changes);
    return result;
}

void *view_run(void *data)
{
    kv_watch_loop_run(data, read_all, watch_changes);
    return NULL;
}
