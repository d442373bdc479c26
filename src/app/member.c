/* Our grant, leadership, and the leader's view of who is live. */
#include <stdlib.h>
#include <string.h>

#include "app/node.h"
#include "app/view.h"
#include "io/clock.h"
#include "log.h"

typedef struct {
    node_t *node;
    http_client_t *client;
    uint64_t grant;
    msec_t extended;
} member_loop_t;

static void keep_grant(member_loop_t *loop, msec_t now)
{
    node_t *node = loop->node;
    const settings_t *settings = node->settings;
    if (loop->grant && now - loop->extended < GRANT_EXTEND_MS)
        return;
    budget_charge(&node->core_rps, 1, now);
    if (loop->grant) {
        state_result_t result = state_extend(&node->state, loop->client, loop->grant);
        if (result == STATE_OK)
            loop->extended = now;
        else if (result == STATE_ABSENT)
            loop->grant = 0;
        return;
    }
    uint64_t grant = 0;
    if (state_grant(&node->state, loop->client, GRANT_LIFE_MS, &grant) != STATE_OK)
        return;
    char key[ID_SIZE + 16];
    g_snprintf(key, sizeof key, "view/members/%s", settings->name);
    txn_t txn = txn_new();
    txn_set(&txn, key,
            json_pack("{s:s,s:s,s:I}", "Name", settings->name, "Zone", settings->zone,
                      "Incarnation", (json_int_t)node->incarnation),
            grant);
    budget_charge(&node->core_write, 1, now);
    if (state_commit(&node->state, loop->client, &txn, STATE_TIMEOUT_MS, NULL, NULL) == STATE_OK) {
        loop->grant = grant;
        loop->extended = now;
    }
    txn_free(&txn);
}

static gint compare_members(gconstpointer left, gconstpointer right)
{
    return strcmp(((const member_t *)left)->name, ((const member_t *)right)->name);
}

/* With the lock held: who is to be in the next view. We ourselves always are. */
static void gather_members(const node_t *node, view_t *view)
{
    member_t self = {.incarnation = node->incarnation};
    g_strlcpy(self.name, node->settings->name, sizeof self.name);
    g_strlcpy(self.zone, node->settings->zone, sizeof self.zone);
    view->members[0] = self;
    view->count = 1;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, node->present);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const member_t *member = value;
        if (strcmp(member->name, self.name) != 0 && view->count < MEMBERS_MAX)
            view->members[view->count++] = *member;
    }
    for (guint i = 0; i < view->count; i++) {
        const msec_t *until = g_hash_table_lookup(node->aside, view->members[i].name);
        view->members[i].aside = until && clock_steady() < *until;
    }
    qsort(view->members, view->count, sizeof(member_t), compare_members);
}

static bool same_members(const view_t *a, const view_t *b)
{
    if (a->count != b->count)
        return false;
    for (guint i = 0; i < a->count; i++)
        if (a->members[i].incarnation != b->members[i].incarnation ||
            a->members[i].aside != b->members[i].aside ||
            strcmp(a->members[i].name, b->members[i].name) != 0)
            return false;
    return true;
}

static void try_lead(member_loop_t *loop)
{
    node_t *node = loop->node;
    node_sleep(arc4random_uniform(ELECT_SPREAD_MS));
    pthread_mutex_lock(&node->lock);
    view_t next = {.number = node->view.number + 1, .incarnation = node->incarnation};
    uint64_t stamp = node->view.stamp, lease = node->lease_stamp;
    g_strlcpy(next.leader, node->settings->name, sizeof next.leader);
    gather_members(node, &next);
    /* Someone else may have taken it while we waited. */
    bool taken = lease && strcmp(node->lease_holder, node->settings->name) != 0;
    pthread_mutex_unlock(&node->lock);
    if (taken)
        return;
    if (view_change(node, loop->client, &next, stamp, loop->grant, lease) == STATE_OK)
        log_info("event=lead view=%" G_GUINT64_FORMAT, next.number);
    else
        node_sleep(ELECT_SPREAD_MS);
}

static void change_members(member_loop_t *loop)
{
    node_t *node = loop->node;
    pthread_mutex_lock(&node->lock);
    view_t next = node->view;
    gather_members(node, &next);
    pthread_mutex_unlock(&node->lock);
    uint64_t stamp = next.stamp;
    next.number++;
    view_change(node, loop->client, &next, stamp, 0, 0);
}

void *member_run(void *data)
{
    member_loop_t loop = {.node = data, .client = http_client_new(2)};
    node_t *node = loop.node;
    for (;;) {
        msec_t now = clock_steady();
        keep_grant(&loop, now);
        pthread_mutex_lock(&node->lock);
        /* A lease in our name by an earlier incarnation is free: that process is gone. */
        bool mine = strcmp(node->lease_holder, node->settings->name) == 0 &&
                    node->lease_incarnation != node->incarnation;
        bool vacant = node->view_synced && loop.grant && (node->lease_stamp == 0 || mine);
        view_t next = node->view;
        gather_members(node, &next);
        bool changed = node->leading && !same_members(&next, &node->view) &&
                       now - node->present_since > MEMBER_SETTLE_MS;
        if (!vacant && !changed)
            node_wait(node, &node->members, MEMBER_TICK_MS);
        pthread_mutex_unlock(&node->lock);
        if (vacant)
            try_lead(&loop);
        else if (changed)
            change_members(&loop);
    }
    return NULL;
}
