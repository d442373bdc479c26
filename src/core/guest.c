#include "core/guest.h"

#include <string.h>

typedef struct {
    msec_t sent_home;
    msec_t kept_until; /* 0: not kept */
    msec_t seen;
    msec_t reached; /* when it showed last that an answer of ours arrived */
    uint64_t session;
    uint64_t seq;
} guest_t;

/* A controller that workers of this view were sent to. */
typedef struct {
    char scout[ID_SIZE]; /* the machine that tries it */
    msec_t tried;
    msec_t missed; /* when one came back last */
} owner_t;

struct guests {
    GHashTable *machines; /* id -> guest_t, owned */
    GHashTable *owners;   /* name -> owner_t, owned */
    uint64_t token;       /* of the view that made these owners */
    msec_t cleared;
};

guests_t *guests_new(void)
{
    guests_t *guests = g_new0(guests_t, 1);
    guests->machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    guests->owners = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return guests;
}

void guests_free(guests_t *guests)
{
    g_hash_table_unref(guests->machines);
    g_hash_table_unref(guests->owners);
    g_free(guests);
}

void guests_clear(guests_t *guests, uint64_t token, msec_t now)
{
    guests->token = token;
    guests->cleared = now;
    g_hash_table_remove_all(guests->machines);
}

static guest_t *find(guests_t *guests, const char *machine)
{
    guest_t *guest = g_hash_table_lookup(guests->machines, machine);
    if (!guest) {
        guest = g_new0(guest_t, 1);
        guest->sent_home = guest->seen = guest->reached = -GUEST_FORGET_MS;
        g_hash_table_insert(guests->machines, g_strdup(machine), guest);
    }
    return guest;
}

static owner_t *find_owner(guests_t *guests, const char *name)
{
    owner_t *owner = g_hash_table_lookup(guests->owners, name);
    if (!owner) {
        owner = g_new0(owner_t, 1);
        owner->tried = owner->missed = -GUEST_FORGET_MS;
        g_hash_table_insert(guests->owners, g_strdup(name), owner);
    }
    return owner;
}

/* Until when the worker is to be kept although it did not come back from its owner itself; 0: it is
 * to try. */
static msec_t spared_until(owner_t *owner, const char *machine, bool settled, msec_t now)
{
    if (now - owner->missed < KEEP_MS)
        return owner->missed + KEEP_MS;
    if (!settled)
        return 0;
    if (now - owner->tried < HOME_TRY_MS && strcmp(owner->scout, machine) != 0)
        return owner->tried + HOME_TRY_MS;
    /* A scout that stayed away for so long is at home, and the others may follow. */
    if (now - owner->tried >= 2 * HOME_TRY_MS) {
        owner->tried = now;
        g_strlcpy(owner->scout, machine, sizeof owner->scout);
    }
    return 0;
}

guest_verdict_t guests_report(guests_t *guests, const report_t *report, const char *name,
                              msec_t now)
{
    if (report->token < guests->token)
        return GUEST_UNPROVEN;
    guest_t *guest = find(guests, report->machine);
    if (report->session < guest->session ||
        (report->session == guest->session && report->seq <= guest->seq))
        return GUEST_OLD;
    /* Without the answer that kept it here it would have waited, and turned to another node. */
    if (now < guest->kept_until && now - guest->seen < REPORT_FOLLOWS_MS)
        guest->reached = now;
    guest->session = report->session;
    guest->seq = report->seq;
    guest->seen = now;
    if (now < guest->kept_until)
        return GUEST_KEPT;
    owner_t *owner = find_owner(guests, name);
    if (guest->kept_until == 0 && now - guest->sent_home < HOME_TRY_MS) {
        guest->kept_until = now + KEEP_MS;
        /* One that is back sooner was turned away, as by a controller that has just begun. */
        if (now - guest->sent_home >= HOME_HANG_MS)
            owner->missed = now;
        return GUEST_KEPT;
    }
    bool settled = now - guests->cleared >= GUESTS_SETTLE_MS;
    guest->kept_until = spared_until(owner, report->machine, settled, now);
    if (guest->kept_until)
        return GUEST_KEPT;
    guest->sent_home = now;
    return GUEST_HOME;
}

void guests_stop_gone(const report_t *report, GHashTable *live_jobs, GArray *calls)
{
    for (guint i = 0; i < report->pieces->len; i++) {
        const piece_t *piece = &g_array_index(report->pieces, piece_t, i);
        if (piece->state == PIECE_EXITED || g_hash_table_contains(live_jobs, piece->job))
            continue;
        call_t call = {.op = CALL_STOP, .task = piece->task, .attempt = piece->attempt};
        g_strlcpy(call.job, piece->job, sizeof call.job);
        g_array_append_val(calls, call);
    }
}

GPtrArray *guests_kept(guests_t *guests, msec_t now)
{
    GPtrArray *kept = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer id, value;
    g_hash_table_iter_init(&iter, guests->machines);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        const guest_t *guest = value;
        if (now - guest->seen > GUEST_FORGET_MS)
            g_hash_table_iter_remove(&iter);
        else if (now < guest->kept_until && now - guest->reached < KEPT_FRESH_MS)
            g_ptr_array_add(kept, g_strdup(id));
    }
    return kept;
}
