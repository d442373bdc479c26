/* The view. view/number holds the number, which is the token, and the leader; view/lease hangs on
 * the leader's grant and says that it is taken. A new view compares and sets both. */
#include <stdlib.h>
#include <string.h>

#include "app/node.h"
#include "app/view.h"
#include "io/clock.h"
#include "log.h"

json_t *view_build(uint64_t number, const char *leader, uint64_t incarnation)
{
    return json_pack("{s:I,s:s,s:I}", "Number", (json_int_t)number, "Leader", leader, "Incarnation",
                     (json_int_t)incarnation);
}

bool view_parse(const json_t *value, uint64_t stamp, view_t *view)
{
    const char *leader = json_string_value(json_object_get(value, "Leader"));
    if (!leader)
        return false;
    view->number = (uint64_t)json_integer_value(json_object_get(value, "Number"));
    view->incarnation = (uint64_t)json_integer_value(json_object_get(value, "Incarnation"));
    view->stamp = stamp;
    g_strlcpy(view->leader, leader, sizeof view->leader);
    return true;
}

/* What view/ holds. */
typedef struct {
    view_t view;
    uint64_t lease_stamp; /* 0: free */
    char holder[ID_SIZE];
    uint64_t holder_incarnation;
    uint64_t revision;
    bool known;
} seen_t;

static void take_entry(seen_t *seen, const state_entry_t *entry)
{
    if (strcmp(entry->key, "view/number") == 0 && entry->value) {
        view_parse(entry->value, entry->stamp, &seen->view);
    } else if (strcmp(entry->key, "view/lease") == 0) {
        const char *holder = json_string_value(json_object_get(entry->value, "Leader"));
        seen->lease_stamp = entry->value ? entry->stamp : 0;
        g_strlcpy(seen->holder, holder ? holder : "", sizeof seen->holder);
        seen->holder_incarnation =
            (uint64_t)json_integer_value(json_object_get(entry->value, "Incarnation"));
    }
}

static state_result_t read_view(node_t *node, http_client_t *client, seen_t *seen)
{
    GArray *entries = state_entries_new();
    budget_charge(&node->core_rps, 1, clock_steady());
    state_result_t result = state_list(&node->state, client, "view/", entries, &seen->revision);
    if (result == STATE_OK) {
        uint64_t revision = seen->revision;
        *seen = (seen_t){.known = true, .revision = revision};
        for (guint i = 0; i < entries->len; i++)
            take_entry(seen, &g_array_index(entries, state_entry_t, i));
    }
    g_array_unref(entries);
    return result;
}

static void follow_view(node_t *node, http_client_t *client, seen_t *seen)
{
    GArray *changes = state_entries_new();
    budget_charge(&node->core_rps, 1, clock_steady());
    state_result_t result = state_follow(&node->state, client, "view/", FOLLOW_BLOCK_MS,
                                         &seen->revision, changes);
    for (guint i = 0; result == STATE_OK && i < changes->len; i++)
        take_entry(seen, &g_array_index(changes, state_entry_t, i));
    if (result != STATE_OK)
        seen->known = false;
    g_array_unref(changes);
}

static void adopt(node_t *node, const seen_t *seen)
{
    pthread_mutex_lock(&node->lock);
    if (!node->leading && seen->view.stamp >= node->view.stamp) {
        if (seen->view.number != node->view.number)
            log_info("event=view view=%" G_GUINT64_FORMAT " leader=%s", seen->view.number,
                     seen->view.leader);
        /* Workers kept here because they could not reach the former leader go to the new one: it
         * takes a machine that it never hears for dead. */
        if (seen->view.incarnation != node->view.incarnation)
            g_hash_table_remove_all(node->guests);
        node->view = seen->view;
    }
    pthread_mutex_unlock(&node->lock);
}

static void lead(node_t *node, const view_t *view, uint64_t grant)
{
    pthread_mutex_lock(&node->lock);
    node->view = *view;
    node->leading = true;
    node->loaded = false;
    node->grant = grant;
    budget_set_rate(&node->core_rps, node->settings->state_rps * SHARE_LEADER_RPS);
    node_wake(node);
    pthread_mutex_unlock(&node->lock);
    log_info("event=lead view=%" G_GUINT64_FORMAT, view->number);
}

static void try_lead(node_t *node, http_client_t *client, seen_t *seen)
{
    uint64_t grant = 0, revision = 0;
    if (state_grant(&node->state, client, GRANT_LIFE_MS, &grant) != STATE_OK)
        return;
    view_t wanted = {.number = seen->view.number + 1, .incarnation = node->incarnation};
    g_strlcpy(wanted.leader, node->settings->name, sizeof wanted.leader);
    txn_t txn = txn_new();
    txn_if(&txn, "view/lease", seen->lease_stamp);
    txn_if(&txn, "view/number", seen->view.stamp);
    txn_set(&txn, "view/lease", view_build(wanted.number, wanted.leader, wanted.incarnation),
            grant);
    txn_set(&txn, "view/number", view_build(wanted.number, wanted.leader, wanted.incarnation), 0);
    state_result_t result =
        state_commit(&node->state, client, &txn, STATE_TIMEOUT_MS, &revision, NULL);
    txn_free(&txn);
    seen->known = false;
    if (result == STATE_OK) {
        wanted.stamp = revision;
        lead(node, &wanted, grant);
    } else if (result == STATE_UNKNOWN && read_view(node, client, seen) == STATE_OK &&
               seen->view.number == wanted.number &&
               seen->view.incarnation == node->incarnation && seen->lease_stamp) {
        lead(node, &seen->view, grant);
    }
}

static void keep_lead(node_t *node, http_client_t *client)
{
    pthread_mutex_lock(&node->lock);
    uint64_t grant = node->grant;
    pthread_mutex_unlock(&node->lock);
    budget_charge(&node->core_rps, 1, clock_steady());
    if (state_extend(&node->state, client, grant) == STATE_ABSENT) {
        pthread_mutex_lock(&node->lock);
        if (node->grant == grant)
            node_step_down(node, "grant_ended");
        pthread_mutex_unlock(&node->lock);
        return;
    }
    node_sleep(GRANT_EXTEND_MS);
}

void *member_run(void *data)
{
    node_t *node = data;
    http_client_t *client = http_client_new(2);
    seen_t seen = {0};
    for (;;) {
        pthread_mutex_lock(&node->lock);
        bool leading = node->leading;
        pthread_mutex_unlock(&node->lock);
        if (leading) {
            keep_lead(node, client);
            seen.known = false;
            continue;
        }
        if (!seen.known && read_view(node, client, &seen) != STATE_OK) {
            node_sleep(ELECT_POLL_MS);
            continue;
        }
        adopt(node, &seen);
        /* A lease in our name by an earlier incarnation is free: that process is gone. */
        bool mine = strcmp(seen.holder, node->settings->name) == 0 &&
                    seen.holder_incarnation != node->incarnation;
        if (seen.lease_stamp == 0 || mine) {
            node_sleep(arc4random_uniform(ELECT_SPREAD_MS));
            try_lead(node, client, &seen);
            if (seen.known)
                node_sleep(ELECT_SPREAD_MS);
        } else {
            follow_view(node, client, &seen);
        }
    }
    return NULL;
}
