#include "core/membership/election.h"

#include <stdlib.h>
#include <string.h>

void election_init(election_t *election, const member_t *self)
{
    *election = (election_t){.self = *self};
    election->live_members = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    election->excluded = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void election_clear(election_t *election)
{
    g_hash_table_remove_all(election->live_members);
    election->lease_revision = 0;
}

void election_record_member(election_t *election, const char *name, const member_t *member,
                            msec_t now)
{
    g_hash_table_remove(election->live_members, name);
    if (member) {
        member_t *copy = g_memdup2(member, sizeof *member);
        g_hash_table_insert(election->live_members, copy->name, copy);
    }
    election->live_members_changed_at = now;
}

void election_record_lease(election_t *election, const char *holder, uint64_t incarnation,
                           uint64_t revision)
{
    if (revision < election->lease_revision)
        return;
    election->lease_revision = holder ? revision : 0;
    election->lease_incarnation = incarnation;
    g_strlcpy(election->lease_holder, holder ? holder : "", sizeof election->lease_holder);
}

static bool is_lease_in_own_name(const election_t *election)
{
    return strcmp(election->lease_holder, election->self.name) == 0;
}

bool election_lease_is_vacant(const election_t *election)
{
    return election->lease_revision == 0 ||
           (is_lease_in_own_name(election) &&
            election->lease_incarnation != election->self.incarnation);
}

bool election_lease_is_taken(const election_t *election)
{
    return election->lease_revision && !is_lease_in_own_name(election);
}

static gint compare_members(gconstpointer left, gconstpointer right)
{
    return strcmp(((const member_t *)left)->name, ((const member_t *)right)->name);
}

void election_fill_members(const election_t *election, view_t *view, msec_t now)
{
    view->members[0] = election->self;
    view->count = 1;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, election->live_members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const member_t *member = value;
        if (strcmp(member->name, election->self.name) != 0 && view->count < MEMBERS_MAX_COUNT)
            view->members[view->count++] = *member;
    }
    for (guint i = 0; i < view->count; i++) {
        const msec_t *excluded_until =
            g_hash_table_lookup(election->excluded, view->members[i].name);
        view->members[i].is_excluded = excluded_until && now < *excluded_until;
    }
    qsort(view->members, view->count, sizeof(member_t), compare_members);
}

static bool is_same_member(const member_t *left, const member_t *right)
{
    return left->incarnation == right->incarnation && left->is_excluded == right->is_excluded &&
           strcmp(left->name, right->name) == 0;
}

bool election_same_members(const view_t *left, const view_t *right)
{
    if (left->count != right->count)
        return false;
    for (guint i = 0; i < left->count; i++)
        if (!is_same_member(&left->members[i], &right->members[i]))
            return false;
    return true;
}

bool election_may_act(const view_t *view, uint64_t highest_view_seen, msec_t complete_until,
                      msec_t now)
{
    return highest_view_seen <= view->number && now - complete_until < VIEW_CONFIRMED_WITHIN_MS;
}

bool election_has_lost_member_key(const election_t *election)
{
    const member_t *listed = g_hash_table_lookup(election->live_members, election->self.name);
    return !listed || listed->incarnation != election->self.incarnation;
}
