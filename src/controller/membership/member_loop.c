#include "controller/membership/member_loop.h"

#include <string.h>

#include "controller/controller.h"
#include "controller/membership/view_store.h"
#include "io/clock.h"
#include "io/log.h"
#include "io/records.h"

/* The state of the loop. Only its own thread uses it. */
typedef struct member_loop {
    controller_t *controller;
    http_client_t *client; /* requests to the key-value store; owned */
    uint64_t lease;     /* id of this controller's lease in the key-value store; 0 if it has none */
    msec_t extended_at; /* when that lease was created or last extended */
    msec_t key_written_at; /* when view/members/NAME was last written */
} member_loop_t;

/* What a round of the loop has to do. */
typedef enum {
    MEMBER_ACTION_NONE,          /* nothing to do */
    MEMBER_ACTION_LEAD,          /* view/lease is vacant: try to lead */
    MEMBER_ACTION_CHANGE_MEMBERS /* this controller leads: change the view's members */
} member_action_t;

static void extend_lease(member_loop_t *loop, msec_t now)
{
    kv_result_t result = kv_lease_extend(&loop->controller->kv_store, loop->client, loop->lease);
    if (result == KV_OK)
        loop->extended_at = now;
    else if (result == KV_NOT_FOUND)
        loop->lease = 0;
}

/* Reads the revision of this controller's member key into *revision, 0 if the key does not exist.
 * Returns false if the key could not be read. */
static bool read_key_revision(member_loop_t *loop, msec_t now, uint64_t *revision)
{
    controller_t *controller = loop->controller;
    char key[KV_KEY_BYTES];
    kv_entry_t entry = {0};
    g_snprintf(key, sizeof key, "view/members/%s", controller->settings->name);
    rate_limiter_charge(&controller->loop_request_limiter, 1, now);
    kv_result_t result = kv_get(&controller->kv_store, loop->client, key, KV_TIMEOUT_MS, &entry);
    g_free(entry.key);
    json_decref(entry.value);
    *revision = entry.revision;
    return result == KV_OK || result == KV_NOT_FOUND;
}

/* Creates a lease and writes this controller's member key, view/members/NAME, attached to it. */
static void create_lease(member_loop_t *loop, msec_t now)
{
    controller_t *controller = loop->controller;
    uint64_t lease = 0;
    uint64_t revision = 0;
    if (kv_lease_create(&controller->kv_store, loop->client, LEASE_TTL_MS, &lease) != KV_OK)
        return;
    if (!read_key_revision(loop, now, &revision))
        return;
    kv_txn_t txn = records_build_member(&controller->membership.election.self, revision, lease);
    rate_limiter_charge(&controller->loop_write_limiter, 1, now);
    kv_result_t result =
        kv_commit(&controller->kv_store, loop->client, &txn, KV_TIMEOUT_MS, NULL, NULL);
    if (result == KV_OK) {
        loop->lease = lease;
        loop->extended_at = now;
        loop->key_written_at = now;
    }
    kv_txn_free(&txn);
}

/* Extends the lease when that is due, or creates one if there is none. */
static void maintain_lease(member_loop_t *loop, msec_t now)
{
    if (loop->lease && now - loop->extended_at < LEASE_EXTEND_GAP_MS)
        return;
    rate_limiter_charge(&loop->controller->loop_request_limiter, 1, now);
    if (loop->lease)
        extend_lease(loop, now);
    else
        create_lease(loop, now);
}

/* Returns whether this controller's member key is missing or names another incarnation, so that it
 * must be written again. When a controller restarts quickly, the key-value store may execute a
 * request of its earlier process after those of the new one. The key then names the earlier
 * incarnation, and is deleted when the lease of that incarnation expires. The check waits for
 * MEMBER_RECHECK_MS after a write, until the watch has reported the written key. */
static bool has_lost_member_key_locked(const member_loop_t *loop, msec_t now)
{
    const controller_t *controller = loop->controller;
    return controller->membership.is_view_synced && loop->lease &&
           now - loop->key_written_at > MEMBER_RECHECK_MS &&
           election_has_lost_member_key(&controller->membership.election);
}

/* Returns the number of controllers in the zone, this one included. */
static guint count_controllers_in_zone(const settings_t *settings, const char *zone)
{
    guint count = strcmp(settings->zone, zone) == 0;
    for (guint i = 0; i < settings->siblings->len; i++)
        count += strcmp(g_array_index(settings->siblings, sibling_t, i).zone, zone) == 0;
    return count;
}

/* Returns whether another zone has more controllers than this one, which makes its controllers
 * better candidates. A controller that is alone in its zone owns all machines there, and no other
 * controller can reach them when the zone is cut off, so it should not carry the leader's load as
 * well. */
static bool should_yield(const settings_t *settings)
{
    guint own_count = count_controllers_in_zone(settings, settings->zone);
    guint largest_count = own_count;
    for (guint i = 0; i < settings->siblings->len; i++) {
        const char *zone = g_array_index(settings->siblings, sibling_t, i).zone;
        largest_count = MAX(largest_count, count_controllers_in_zone(settings, zone));
    }
    return own_count < largest_count;
}

/* Waits for a random time, so that controllers seldom try to take view/lease at the same moment. A
 * less suitable candidate waits longer. */
static void wait_before_candidacy(member_loop_t *loop)
{
    controller_t *controller = loop->controller;
    pthread_mutex_lock(&controller->lock);
    /* view/lease is vacant, so a lease that is still recorded belongs to an earlier process of this
     * controller. Until it expires no other controller can take it, so there is no candidate to
     * yield to. */
    bool has_own_lease = controller->membership.election.lease_revision != 0;
    pthread_mutex_unlock(&controller->lock);
    msec_t delay = arc4random_uniform(CANDIDACY_JITTER_MS);
    if (!has_own_lease && should_yield(controller->settings))
        delay += CANDIDACY_YIELD_MS;
    controller_sleep(delay);
}

/* Tries to take view/lease and to install a view that this controller leads. */
static void try_to_lead(member_loop_t *loop)
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
    /* Another controller may have taken view/lease during the wait. */
    bool is_taken = election_lease_is_taken(&controller->membership.election);
    pthread_mutex_unlock(&controller->lock);
    if (is_taken)
        return;
    kv_result_t result =
        view_change(controller, loop->client, &next, revision, loop->lease, lease_revision);
    if (result == KV_OK)
        log_info("event=leader_elected view=%" G_GUINT64_FORMAT, next.number);
    else
        controller_sleep(CANDIDACY_JITTER_MS);
}

/* Installs a view with the current members, under the same leader. */
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

/* Returns whether this controller leads and the members of the installed view are out of date. */
static bool has_pending_members_locked(const controller_t *controller, msec_t now)
{
    view_t next = controller->membership.view;
    election_fill_members(&controller->membership.election, &next, now);
    return controller->membership.is_leader &&
           !election_same_members(&next, &controller->membership.view);
}

/* Returns how long the loop waits unless membership.changed wakes it earlier: until the lease is to
 * be extended, but only MEMBER_TICK_MS while a change of members waits for further changes
 * (has_pending_members), a member is excluded, or the member key is lost. */
static msec_t next_wait_locked(const member_loop_t *loop, bool has_pending_members, msec_t now)
{
    const election_t *election = &loop->controller->membership.election;
    msec_t wait = loop->lease ? loop->extended_at + LEASE_EXTEND_GAP_MS - now : 0;
    wait = MAX(wait, MEMBER_TICK_MS); /* a failed call is not retried sooner */
    bool has_excluded = g_hash_table_size(election->excluded) > 0;
    bool has_lost_member_key = loop->lease && election_has_lost_member_key(election);
    if (has_pending_members || has_excluded || has_lost_member_key)
        wait = MIN(wait, MEMBER_TICK_MS);
    return wait;
}

/* Returns what is to be done. If there is nothing to do, waits until that may have changed and
 * returns MEMBER_ACTION_NONE. Takes the lock. */
static member_action_t await_action(member_loop_t *loop, msec_t now)
{
    controller_t *controller = loop->controller;
    const membership_t *membership = &controller->membership;
    pthread_mutex_lock(&controller->lock);
    if (has_lost_member_key_locked(loop, now)) {
        log_info("event=member_key_conflict host=%s", controller->settings->name);
        loop->lease = 0;
    }
    bool is_vacant = membership->is_view_synced && loop->lease &&
                     election_lease_is_vacant(&membership->election);
    bool has_pending_members = has_pending_members_locked(controller, now);
    bool is_change_due = has_pending_members &&
                         now - membership->election.live_members_changed_at > MEMBERSHIP_BATCH_MS;
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
        maintain_lease(&loop, now);
        switch (await_action(&loop, now)) {
        case MEMBER_ACTION_NONE:
            break;
        case MEMBER_ACTION_LEAD:
            try_to_lead(&loop);
            break;
        case MEMBER_ACTION_CHANGE_MEMBERS:
            change_members(&loop);
            break;
        }
    }
    return NULL;
}
