/* Our lease in the key-value store, leadership, and the leader's view of who is live. */
#include <string.h>

#include "controller/controller.h"
#include "controller/membership/member_loop.h"
#include "controller/membership/view.h"
#include "io/clock.h"
#include "io/log.h"
#include "io/records.h"

typedef struct member_loop {
    controller_t *controller;
    http_client_t *client;
    uint64_t lease;
    msec_t extended;
    msec_t written; /* our key */
} member_loop_t;

static void keep_lease(member_loop_t *loop, msec_t now)
{
    controller_t *controller = loop->controller;
    const settings_t *settings = controller->settings;
    if (loop->lease && now - loop->extended < LEASE_EXTEND_GAP_MS)
        return;
    rate_limiter_charge(&controller->core_request_limiter, 1, now);
    if (loop->lease) {
        kv_result_t result = kv_lease_extend(&controller->kv_store, loop->client, loop->lease);
        if (result == KV_OK)
            loop->extended = now;
        else if (result == KV_NOT_FOUND)
            loop->lease = 0;
        return;
    }
    uint64_t lease = 0;
    if (kv_lease_create(&controller->kv_store, loop->client, LEASE_LIFE_MS, &lease) != KV_OK)
        return;
    char key[KV_KEY_BYTES];
    kv_entry_t listed = {0};
    g_snprintf(key, sizeof key, "view/members/%s", settings->name);
    rate_limiter_charge(&controller->core_request_limiter, 1, now);
    kv_result_t read = kv_get(&controller->kv_store, loop->client, key, KV_TIMEOUT_MS, &listed);
    g_free(listed.key);
    json_decref(listed.value);
    if (read != KV_OK && read != KV_NOT_FOUND)
        return;
    member_t self = {.incarnation = controller->incarnation};
    g_strlcpy(self.name, settings->name, sizeof self.name);
    g_strlcpy(self.zone, settings->zone, sizeof self.zone);
    kv_txn_t txn = records_member(&self, listed.revision, lease);
    rate_limiter_charge(&controller->core_write_limiter, 1, now);
    if (kv_commit(&controller->kv_store, loop->client, &txn, KV_TIMEOUT_MS, NULL, NULL) == KV_OK) {
        loop->lease = lease;
        loop->extended = loop->written = now;
    }
    kv_txn_free(&txn);
}

/* With the lock held: our key is not what we wrote. A request that our earlier incarnation sent may
 * be carried out after ours, when we were back within a moment: it puts that incarnation in our
 * place, and takes the key along when its lease in the key-value store ends. Then it is written
 * anew.
 */
static bool is_displaced(const member_loop_t *loop, msec_t now)
{
    const controller_t *controller = loop->controller;
    return controller->membership.is_view_synced && loop->lease &&
           now - loop->written > MEMBER_RECHECK_MS &&
           election_is_displaced(&controller->membership.election);
}

static guint count_in_zone(const settings_t *settings, const char *zone)
{
    guint count = strcmp(settings->zone, zone) == 0;
    for (guint i = 0; i < settings->siblings->len; i++)
        count += strcmp(g_array_index(settings->siblings, sibling_t, i).zone, zone) == 0;
    return count;
}

/* A controller alone in its zone owns all the machines there, and in a cut nobody else reaches
 * them: it should not carry the leader's load as well, which others can. */
static bool should_yield(const settings_t *settings)
{
    guint own = count_in_zone(settings, settings->zone);
    guint most = own;
    for (guint i = 0; i < settings->siblings->len; i++) {
        const char *zone = g_array_index(settings->siblings, sibling_t, i).zone;
        most = MAX(most, count_in_zone(settings, zone));
    }
    return own < most;
}

static void try_lead(member_loop_t *loop)
{
    controller_t *controller = loop->controller;
    pthread_mutex_lock(&controller->lock);
    bool resumes = controller->membership.election.lease_revision !=
                   0; /* in our name: nobody else can have it now */
    pthread_mutex_unlock(&controller->lock);
    controller_sleep(arc4random_uniform(ELECT_SPREAD_MS) +
                     (!resumes && should_yield(controller->settings) ? ELECT_YIELD_MS : 0));
    pthread_mutex_lock(&controller->lock);
    view_t next = {.number = controller->membership.view.number + 1,
                   .incarnation = controller->incarnation};
    uint64_t revision = controller->membership.view.revision;
    uint64_t lease_revision = controller->membership.election.lease_revision;
    g_strlcpy(next.leader, controller->settings->name, sizeof next.leader);
    election_fill_members(&controller->membership.election, &next, clock_steady());
    /* Someone else may have taken it while we waited. */
    bool taken = election_is_taken(&controller->membership.election);
    pthread_mutex_unlock(&controller->lock);
    if (taken)
        return;
    if (view_change(controller, loop->client, &next, revision, loop->lease, lease_revision) ==
        KV_OK)
        log_info("event=leader_elected view=%" G_GUINT64_FORMAT, next.number);
    else
        controller_sleep(ELECT_SPREAD_MS);
}

static void change_members(member_loop_t *loop)
{
    controller_t *controller = loop->controller;
    pthread_mutex_lock(&controller->lock);
    view_t next = controller->membership.view;
    election_fill_members(&controller->membership.election, &next, clock_steady());
    pthread_mutex_unlock(&controller->lock);
    uint64_t revision = next.revision;
    next.number++;
    view_change(controller, loop->client, &next, revision, 0, 0);
}

/* With the lock held: how long there is nothing to do if nothing happens. is_pending: a change of
 * members waits for others. */
static msec_t member_wait(const member_loop_t *loop, bool is_pending, msec_t now)
{
    const controller_t *controller = loop->controller;
    msec_t wait = loop->lease ? loop->extended + LEASE_EXTEND_GAP_MS - now : 0;
    wait = MAX(wait, MEMBER_TICK_MS); /* a call that failed is not repeated sooner */
    bool has_excluded = g_hash_table_size(controller->membership.election.excluded) > 0;
    if (is_pending || has_excluded ||
        (loop->lease && election_is_displaced(&controller->membership.election)))
        wait = MIN(wait, MEMBER_TICK_MS);
    return wait;
}

void *member_loop_run(void *data)
{
    member_loop_t loop = {.controller = data, .client = http_client_new(2)};
    controller_t *controller = loop.controller;
    for (;;) {
        msec_t now = clock_steady();
        keep_lease(&loop, now);
        pthread_mutex_lock(&controller->lock);
        if (is_displaced(&loop, now)) {
            log_info("event=member_key_conflict host=%s", controller->settings->name);
            loop.lease = 0;
        }
        bool vacant = controller->membership.is_view_synced && loop.lease &&
                      election_is_vacant(&controller->membership.election);
        view_t next = controller->membership.view;
        election_fill_members(&controller->membership.election, &next, now);
        bool is_pending = controller->membership.is_leader &&
                          !election_same_members(&next, &controller->membership.view);
        bool changed = is_pending && now - controller->membership.election.present_changed_at >
                                         MEMBERSHIP_BATCH_MS;
        if (!vacant && !changed)
            controller_wait(controller, &controller->membership.changed,
                            member_wait(&loop, is_pending, clock_steady()));
        pthread_mutex_unlock(&controller->lock);
        if (vacant)
            try_lead(&loop);
        else if (changed)
            change_members(&loop);
    }
    return NULL;
}
