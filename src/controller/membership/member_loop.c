#include "controller/membership/member_loop.h"

#include <string.h>

#include "controller/controller.h"
#include "controller/membership/view_store.h"
#include "io/clock.h"
#include "io/log.h"
#include "io/records.h"

typedef struct member_loop {
    controller_t *controller;
    http_client_t *client;
    uint64_t lease;        /* of this controller in the key-value store; 0: none */
    msec_t extended_at;    /* when the lease was last created or extended */
    msec_t key_written_at; /* when this controller's key below view/members/ was written */
} member_loop_t;

/* What a round has found to be done. */
typedef enum {
    MEMBER_ACTION_NONE,          /* nothing */
    MEMBER_ACTION_LEAD,          /* view/lease is vacant: try to lead */
    MEMBER_ACTION_CHANGE_MEMBERS /* the view's members are to change */
} member_action_t;

static void extend_lease(member_loop_t *loop, msec_t now)
{
    kv_result_t result = kv_lease_extend(&loop->controller->kv_store, loop->client, loop->lease);
    if (result == KV_OK)
        loop->extended_at = now;
    else if (result == KV_NOT_FOUND)
        loop->lease = 0;
}

/* Reads the revision of this controller's member key, 0 if there is no such key. False: it could
 * not be read. */
static bool read_key_revision(member_loop_t *loop, msec_t now, uint64_t *revision)
{
    controller_t *controller = loop->controller;
    char key[KV_KEY_BYTES];
    kv_entry_t entry = {0};
    g_snprintf(key, sizeof key, "view/members/%s", controller->settings->name);
    rate_limiter_charge(&controller->core_request_limiter, 1, now);
    kv_result_t result = kv_get(&controller->kv_store, loop->client, key, KV_TIMEOUT_MS, &entry);
    g_free(entry.key);
    json_decref(entry.value);
    *revision = entry.revision;
    return result == KV_OK || result == KV_NOT_FOUND;
}

/* Creates a lease and attaches this controller's member key to it. */
static void create_lease(member_loop_t *loop, msec_t now)
{
    controller_t *controller = loop->controller;
    uint64_t lease = 0;
    uint64_t revision = 0;
    if (kv_lease_create(&controller->kv_store, loop->client, LEASE_LIFE_MS, &lease) != KV_OK)
        return;
    if (!read_key_revision(loop, now, &revision))
        return;
    kv_txn_t txn = records_member(&controller->membership.election.self, revision, lease);
    rate_limiter_charge(&controller->core_write_limiter, 1, now);
    kv_result_t result =
        kv_commit(&controller->kv_store, loop->client, &txn, KV_TIMEOUT_MS, NULL, NULL);
    if (result == KV_OK) {
        loop->lease = lease;
        loop->extended_at = now;
        loop->key_written_at = now;
    }
    kv_txn_free(&txn);
}

static void keep_lease(member_loop_t *loop, msec_t now)
{
    if (loop->lease && now - loop->extended_at < LEASE_EXTEND_GAP_MS)
        return;
    rate_limiter_charge(&loop->controller->core_request_limiter, 1, now);
    if (loop->lease)
        extend_lease(loop, now);
    else
        create_lease(loop, now);
}

/* Whether this controller's member key is not what it wrote. When a controller restarts within a
 * moment, a request of its earlier incarnation may be carried out after its own: the key then names
 * that incarnation, and is deleted when that incarnation's lease expires. The key is then written
 * anew. */
static bool is_displaced_locked(const member_loop_t *loop, msec_t now)
{
    const controller_t *controller = loop->controller;
    return controller->membership.is_view_synced && loop->lease &&
           now - loop->key_written_at > MEMBER_RECHECK_MS &&
           election_is_displaced(&controller->membership.election);
}

static guint count_in_zone(const settings_t *settings, const char *zone)
{
    guint count = strcmp(settings->zone, zone) == 0;
    for (guint i = 0; i < settings->siblings->len; i++)
        count += strcmp(g_array_index(settings->siblings, sibling_t, i).zone, zone) == 0;
    return count;
}

/* Whether other controllers are better candidates. A controller alone in its zone owns all the
 * machines there, and when the zone is cut off no other controller reaches them: it should not
 * carry the leader's load as well. */
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

/* Waits for a random time, so that few candidacies collide. */
static void wait_before_candidacy(member_loop_t *loop)
{
    controller_t *controller = loop->controller;
    pthread_mutex_lock(&controller->lock);
    /* A lease in this controller's name, of its earlier process: no other controller can have it
     * now, so there is nobody to yield to. */
    bool has_own_lease = controller->membership.election.lease_revision != 0;
    pthread_mutex_unlock(&controller->lock);
    msec_t delay = arc4random_uniform(ELECT_SPREAD_MS);
    if (!has_own_lease && should_yield(controller->settings))
        delay += ELECT_YIELD_MS;
    controller_sleep(delay);
}

static void try_lead(member_loop_t *loop)
{
    controller_t *controller = loop->controller;
    wait_before_candidacy(loop);
    pthread_mutex_lock(&controller->lock);
    view_t next = {.number = controller->membership.view.number + 1,
                   .incarnation = controller->incarnation};
    uint64_t revision = controller->membership.view.revision;
    uint64_t lease_revision = controller->membership.election.lease_revision;
    g_strlcpy(next.leader, controller->settings->name, sizeof next.leader);
    election_fill_members(&controller->membership.election, &next, clock_steady());
    /* Another controller may have taken the lease during the wait. */
    bool is_taken = election_is_taken(&controller->membership.election);
    pthread_mutex_unlock(&controller->lock);
    if (is_taken)
        return;
    kv_result_t result =
        view_change(controller, loop->client, &next, revision, loop->lease, lease_revision);
    if (result == KV_OK)
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

/* Whether this controller leads, and the members of the next view differ from those of this one. */
static bool has_pending_members_locked(const controller_t *controller, msec_t now)
{
    view_t next = controller->membership.view;
    election_fill_members(&controller->membership.election, &next, now);
    return controller->membership.is_leader &&
           !election_same_members(&next, &controller->membership.view);
}

/* How long there is nothing to do if nothing happens. has_pending_members: a change of members
 * waits for further ones. */
static msec_t next_wait_locked(const member_loop_t *loop, bool has_pending_members, msec_t now)
{
    const election_t *election = &loop->controller->membership.election;
    msec_t wait = loop->lease ? loop->extended_at + LEASE_EXTEND_GAP_MS - now : 0;
    wait = MAX(wait, MEMBER_TICK_MS); /* a call that failed is not repeated sooner */
    bool has_excluded = g_hash_table_size(election->excluded) > 0;
    bool is_displaced = loop->lease && election_is_displaced(election);
    if (has_pending_members || has_excluded || is_displaced)
        wait = MIN(wait, MEMBER_TICK_MS);
    return wait;
}

/* Finds out what is to be done; if nothing is, waits until something may be. */
static member_action_t await_action(member_loop_t *loop, msec_t now)
{
    controller_t *controller = loop->controller;
    const membership_t *membership = &controller->membership;
    pthread_mutex_lock(&controller->lock);
    if (is_displaced_locked(loop, now)) {
        log_info("event=member_key_conflict host=%s", controller->settings->name);
        loop->lease = 0;
    }
    bool is_vacant =
        membership->is_view_synced && loop->lease && election_is_vacant(&membership->election);
    bool has_pending_members = has_pending_members_locked(controller, now);
    bool is_change_due =
        has_pending_members && now - membership->election.present_changed_at > MEMBERSHIP_BATCH_MS;
    if (!is_vacant && !is_change_due)
        controller_wait(controller, &controller->membership.changed,
                        next_wait_locked(loop, has_pending_members, clock_steady()));
    pthread_mutex_unlock(&controller->lock);
    if (is_vacant)
        return MEMBER_ACTION_LEAD;
    return is_change_due ? MEMBER_ACTION_CHANGE_MEMBERS : MEMBER_ACTION_NONE;
}

void *member_loop_run(void *data)
{
    member_loop_t loop = {.controller = data, .client = http_client_new(2)};
    for (;;) {
        msec_t now = clock_steady();
        keep_lease(&loop, now);
        switch (await_action(&loop, now)) {
        case MEMBER_ACTION_NONE:
            break;
        case MEMBER_ACTION_LEAD:
            try_lead(&loop);
            break;
        case MEMBER_ACTION_CHANGE_MEMBERS:
            change_members(&loop);
            break;
        }
    }
    return NULL;
}
