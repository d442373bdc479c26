#include "controller/membership/view_watch.h"

#include <string.h>

#include "controller/controller.h"
#include "controller/kv_watch_loop.h"
#include "io/clock.h"
#include "io/codec/codec.h"

static const char members_prefix[] = "view/members/";

static void apply_view(controller_t *controller, const kv_entry_t *entry)
{
    view_t view;
    if (entry->value && codec_parse_view(entry->value, entry->revision, &view))
        membership_install_view(controller, &view);
}

static void apply_lease(controller_t *controller, const kv_entry_t *entry)
{
    uint64_t incarnation;
    const char *holder = codec_parse_lease(entry->value, &incarnation);
    election_record_lease(&controller->membership.election, holder, incarnation, entry->revision);
}

static void apply_member(controller_t *controller, const kv_entry_t *entry)
{
    member_t member = {0};
    const char *name = entry->key + strlen(members_prefix);
    bool is_present = entry->value && codec_parse_member(entry->value, &member);
    election_record_member(&controller->membership.election, name, is_present ? &member : NULL,
                           clock_steady());
}

static void apply_entry(controller_t *controller, const kv_entry_t *entry)
{
    if (strcmp(entry->key, "view/number") == 0)
        apply_view(controller, entry);
    else if (strcmp(entry->key, "view/lease") == 0)
        apply_lease(controller, entry);
    else if (g_str_has_prefix(entry->key, members_prefix))
        apply_member(controller, entry);
}

static void apply_all(controller_t *controller, const GArray *entries, kv_coverage_t coverage)
{
    election_clear(&controller->membership.election);
    for (guint i = 0; i < entries->len; i++)
        apply_entry(controller, &g_array_index(entries, kv_entry_t, i));
    controller->membership.is_view_synced = true;
    controller->membership.views_complete_until = coverage.sent_at;
    pthread_cond_broadcast(&controller->membership.changed);
}

static void apply_changes(controller_t *controller, const GArray *changes, kv_coverage_t coverage)
{
    for (guint i = 0; i < changes->len; i++)
        apply_entry(controller, &g_array_index(changes, kv_entry_t, i));
    controller->membership.views_complete_until = coverage.sent_at;
    if (changes->len)
        pthread_cond_broadcast(&controller->membership.changed);
}

/* What is known about view/lease may be out of date until view/ has been read again, so this
 * controller does not try to lead before that. */
static void handle_compaction(controller_t *controller)
{
    controller->membership.is_view_synced = false;
}

void *view_watch_run(void *data)
{
    static const kv_watch_t watch = {.prefix = "view/",
                                     .apply_all = apply_all,
                                     .apply_changes = apply_changes,
                                     .handle_compaction = handle_compaction};
    kv_watch_loop_run(data, &watch);
    return NULL;
}
