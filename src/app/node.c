#include "app/node.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "log.h"

static void known_job_free(gpointer data)
{
    known_job_t *job = data;
    job_spec_clear(&job->spec);
    g_free(job);
}

/* The state service's limits are for all of us together: shares follow the number of members. */
static void share_budgets(node_t *node, guint members)
{
    const settings_t *settings = node->settings;
    double part = MIN(SHARE_PART_WRITE, SHARE_PARTS_WRITE / members);
    budget_set_rate(&node->core_rps,
                    settings->state_rps * MIN(SHARE_CORE_RPS, SHARE_CORES_RPS / members));
    budget_set_rate(&node->core_write,
                    settings->state_write_rps * (node->leading ? SHARE_LEADER_WRITE : part));
    budget_set_rate(&node->front_rps,
                    settings->state_rps * MIN(SHARE_FRONT_RPS, SHARE_FRONTS_RPS / members));
    budget_set_rate(&node->front_write, settings->state_write_rps *
                                            MIN(SHARE_FRONT_WRITE, SHARE_FRONTS_WRITE / members));
}

node_t *node_new(const settings_t *settings, const policy_t *policy)
{
    node_t *node = g_new0(node_t, 1);
    msec_t now = clock_steady();
    node->settings = settings;
    node->policy = policy;
    node->metrics = metrics_new();
    arc4random_buf(&node->incarnation, sizeof node->incarnation);
    node->incarnation >>= 2; /* fits a signed JSON integer */
    member_t self = {.incarnation = node->incarnation};
    g_strlcpy(self.name, settings->name, sizeof self.name);
    g_strlcpy(self.zone, settings->zone, sizeof self.zone);
    election_init(&node->election, &self);
    cancelled_init(&node->cancelled, node->incarnation, now);
    state_init(&node->state, settings->state, now);
    budget_init(&node->core_rps, settings->state_rps * SHARE_CORE_RPS, now);
    budget_init(&node->core_write, settings->state_write_rps * SHARE_PART_WRITE, now);
    budget_init(&node->front_rps, settings->state_rps * SHARE_FRONT_RPS, now);
    budget_init(&node->front_write, settings->state_write_rps * SHARE_FRONT_WRITE, now);
    share_budgets(node, settings->siblings->len + 1);
    for (guint i = 0; i < FRONT_CLIENTS; i++)
        node->front_clients[i] = http_client_new(1);
    node->front_free = FRONT_CLIENTS;
    pthread_mutex_init(&node->lock, NULL);
    pthread_condattr_t steady;
    pthread_condattr_init(&steady);
    pthread_condattr_setclock(&steady, CLOCK_MONOTONIC);
    pthread_cond_init(&node->work, &steady);
    pthread_cond_init(&node->direct, &steady);
    pthread_cond_init(&node->clients, &steady);
    pthread_cond_init(&node->members, &steady);
    pthread_cond_init(&node->inquiries, &steady);
    pthread_cond_init(&node->mesh, &steady);
    pthread_cond_init(&node->requests_stay, &steady);
    pthread_condattr_destroy(&steady);
    node->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, known_job_free);
    node->flavors = g_array_new(FALSE, FALSE, sizeof(flavor_t));
    node->ended = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    node->links = g_ptr_array_new();
    node->own = G_MAXUINT;
    node->guests = guests_new();
    node->gone = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    node->gone_order = g_queue_new();
    pthread_mutex_init(&node->requests_lock, NULL);
    pthread_cond_init(&node->requests_come, NULL);
    request_queue_init(&node->requests, REQUESTS_WAITING);
    return node;
}

pthread_t node_thread(void *(*run)(void *), void *data)
{
    pthread_t thread;
    pthread_attr_t attr;
    pthread_attr_init(&attr);
    pthread_attr_setstacksize(&attr, THREAD_STACK);
    if (pthread_create(&thread, &attr, run, data) != 0) {
        log_error("event=thread_failed errno=%d", errno);
        abort();
    }
    pthread_attr_destroy(&attr);
    return thread;
}

bool node_start(node_t *node)
{
    node_thread(view_run, node);
    node_thread(member_run, node);
    node_thread(mesh_run, node);
    node_thread(mesh_serve_run, node);
    node_thread(mail_run, node);
    mesh_greet(node);
    node_thread(follow_run, node);
    node_thread(placer_run, node);
    node_thread(cloud_run, node);
    for (guint i = 0; i < SENDERS; i++)
        node_thread(sender_run, node);
    return front_start(node);
}

void node_wake(node_t *node)
{
    pthread_cond_signal(&node->work);
}

void node_wait(node_t *node, pthread_cond_t *cond, msec_t ms)
{
    msec_t until = clock_steady() + ms;
    struct timespec at = {.tv_sec = until / 1000, .tv_nsec = until % 1000 * 1000000};
    pthread_cond_timedwait(cond, &node->lock, &at);
}

void node_sleep(msec_t ms)
{
    struct timespec left = {.tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000};
    nanosleep(&left, NULL);
}

void node_follow(node_t *node, bool (*read)(node_t *, http_client_t *, uint64_t *),
                 state_result_t (*follow)(node_t *, http_client_t *, uint64_t *))
{
    http_client_t *client = http_client_new(2);
    uint64_t revision = 0;
    bool synced = false;
    for (;;) {
        if (!synced) {
            synced = read(node, client, &revision);
            if (!synced)
                node_sleep(ELECT_POLL_MS);
            continue;
        }
        state_result_t result = follow(node, client, &revision);
        if (result == STATE_EXPIRED)
            synced = false;
        else if (result != STATE_OK)
            node_sleep(ELECT_POLL_MS);
    }
}

void node_job_set(node_t *node, const job_spec_t *spec, uint64_t stamp)
{
    if (g_hash_table_contains(node->jobs, spec->id) || g_hash_table_contains(node->gone, spec->id))
        return;
    known_job_t *job = g_new0(known_job_t, 1);
    job->spec = *spec;
    job->spec.types = g_strdupv(spec->types);
    job->stamp = stamp;
    g_hash_table_insert(node->jobs, job->spec.id, job);
    if (node->loaded && node->leading)
        leader_add_job(node->leader, spec, stamp);
    node_wake(node);
}

static void keep_gone(node_t *node, const char *id)
{
    if (g_hash_table_contains(node->gone, id))
        return;
    if (g_queue_get_length(node->gone_order) >= GONE_KEPT)
        g_hash_table_remove(node->gone, g_queue_pop_head(node->gone_order));
    char *kept = g_strdup(id);
    g_hash_table_add(node->gone, kept);
    g_queue_push_tail(node->gone_order, kept);
}

void node_job_gone(node_t *node, const char *id)
{
    keep_gone(node, id);
    if (node->part)
        part_end_job(node->part, id);
    if (node->leader)
        leader_end_job(node->leader, id);
    g_hash_table_remove(node->jobs, id);
    pthread_cond_broadcast(&node->direct);
    node_wake(node);
}

void node_remember(node_t *node, const char *id, bool done)
{
    /* Noted for the siblings before another thread can find it, or this one can tell it. */
    if (!done)
        cancelled_tell(&node->cancelled, id, clock_steady());
    if (g_hash_table_size(node->ended) >= ENDED_CACHE)
        g_hash_table_remove_all(node->ended);
    g_hash_table_insert(node->ended, g_strdup(id),
                        GINT_TO_POINTER(done ? ENDED_DONE : ENDED_CANCELLED));
    /* The change in jobs/ may never come here: in an outage that began just after the commit this
     * node alone went on running what it had cancelled. */
    if (!g_hash_table_contains(node->gone, id))
        node_job_gone(node, id);
}

static void drop_links(node_t *node)
{
    for (guint i = 0; i < node->links->len; i++)
        if (g_ptr_array_index(node->links, i))
            link_free(g_ptr_array_index(node->links, i));
    g_ptr_array_set_size(node->links, 0);
    g_clear_pointer(&node->uplink, link_free);
}

void node_adopt(node_t *node, const view_t *view)
{
    if (view->stamp <= node->view.stamp)
        return;
    /* Workers kept here because they could not reach a former owner go to the new ones: the leader
     * takes a machine that nobody hears for dead. */
    if (view->incarnation != node->view.incarnation || !election_same_members(view, &node->view))
        guests_clear(node->guests, clock_steady());
    node->view = *view;
    if (!node->leading)
        node->led_since = clock_steady();
    node->leading = view->incarnation == node->incarnation;
    node->loaded = false;
    node->generation++;
    node->own = G_MAXUINT;
    node->leader_index = 0;
    drop_links(node);
    for (guint i = 0; i < view->count; i++) {
        if (view->members[i].incarnation == node->incarnation)
            node->own = i;
        if (view->members[i].incarnation == view->incarnation)
            node->leader_index = i;
        node->heard[i] = clock_steady();
        g_ptr_array_add(node->links, node->leading ? link_new() : NULL);
    }
    node->uplink = link_new();
    share_budgets(node, MAX(view->count, 1));
    metrics_count(node->metrics, COUNT_VIEWS, 1);
    log_info("event=view view=%" G_GUINT64_FORMAT " leader=%s members=%u own=%d", view->number,
             view->leader, view->count, node->own == G_MAXUINT ? -1 : (int)node->own);
    node_wake(node);
    pthread_cond_broadcast(&node->members);
    pthread_cond_broadcast(&node->mesh);
}

guint node_owner(const node_t *node, const char *machine, const char *zone)
{
    return owner_of(node->view.members, node->view.count, machine, zone);
}

GArray *node_rows(const node_t *node, msec_t now)
{
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(machine_row_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, node->part->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const machine_t *machine = value;
        if (machine->gone)
            continue;
        machine_row_t row = {.spot = machine->spot,
                             .open = part_is_reached(node->part, machine, now) &&
                                     machine->known_room && !machine->draining &&
                                     !machine->notice_at,
                             .draining = machine->draining,
                             .total = machine->room,
                             .free = part_free_room(machine),
                             .attempts = machine->attempts->len,
                             .silent_ms = now - machine->reached,
                             .idle_ms = now - machine->idle_since,
                             .known_ms = now - machine->first_seen};
        g_strlcpy(row.machine, machine->id, sizeof row.machine);
        g_strlcpy(row.type, machine->type, sizeof row.type);
        g_strlcpy(row.zone, machine->zone, sizeof row.zone);
        g_array_append_val(rows, row);
    }
    return rows;
}

GArray *node_yielding(const node_t *node)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(double));
    for (guint i = 0; i < node->settings->teams->len; i++) {
        double cpus =
            part_yielding(node->part, g_array_index(node->settings->teams, team_t, i).name);
        g_array_append_val(list, cpus);
    }
    return list;
}

void node_tell(node_t *node, guint part, link_item_t item)
{
    if (part == node->own) {
        node_obey(node, &item, clock_steady());
        g_strfreev(item.offer.types);
    } else if (part < node->links->len && g_ptr_array_index(node->links, part)) {
        link_push(g_ptr_array_index(node->links, part), item);
        pthread_cond_broadcast(&node->mesh);
    }
}

/* A gang's task found no room: what its part holds for the others is freed. */
static void withdraw_gang(node_t *node, const char *job)
{
    GArray *out = leader_out(node->leader, job);
    for (guint i = 0; i < out->len; i++) {
        const settle_t *entry = &g_array_index(out, settle_t, i);
        node_tell(node, entry->part, (link_item_t){.kind = LINK_WITHDRAW, .ref = entry->ref});
    }
    g_array_unref(out);
}

void node_outcome(node_t *node, guint part, const outcome_t *outcome, msec_t now)
{
    log_debug("event=over task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s cause=%d",
              outcome->ref.job, outcome->ref.task, outcome->ref.attempt, outcome->machine,
              (int)outcome->cause);
    if (outcome->cause == CAUSE_ERROR || outcome->cause == CAUSE_UNKNOWN)
        log_info("event=failed task=%s/%u machine=%s cause=%d", outcome->ref.job, outcome->ref.task,
                 outcome->machine, (int)outcome->cause);
    const job_t *job = g_hash_table_lookup(node->leader->jobs, outcome->ref.job);
    bool refused = job && job->spec.kind == KIND_GANG && outcome->cause == CAUSE_FULL;
    leader_outcome(node->leader, part, outcome, now);
    if (refused)
        withdraw_gang(node, outcome->ref.job);
}

/* The leader itself hears at once; another's outcomes wait for the exchange. */
static void refuse_offer(node_t *node, const offer_t *offer, msec_t now)
{
    outcome_t refused = {.ref = task_ref(offer->job, offer->task, offer->attempt),
                         .cause = CAUSE_FULL};
    if (node->leading)
        node_outcome(node, node->own, &refused, now);
    else
        link_push(node->uplink, (link_item_t){.kind = LINK_OUTCOME, .outcome = refused});
}

static void take_offer(node_t *node, const offer_t *offer, msec_t now)
{
    const machine_t *machine = part_place(node->part, offer, now);
    metrics_count(node->metrics, machine ? COUNT_OFFERS : COUNT_OFFERS_REFUSED, 1);
    if (!machine) {
        refuse_offer(node, offer, now);
        return;
    }
    log_debug("event=place task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s", offer->job,
              offer->task, offer->attempt, machine->id);
    node_wake(node);
}

void node_obey(node_t *node, const link_item_t *item, msec_t now)
{
    machine_t *machine;
    switch (item->kind) {
    case LINK_OFFER:
        take_offer(node, &item->offer, now);
        break;
    case LINK_SETTLE:
        part_settle(node->part, &item->ref);
        node_wake(node);
        break;
    case LINK_WITHDRAW:
        part_withdraw(node->part, &item->ref, now);
        node_wake(node);
        break;
    case LINK_DRAIN:
        machine = g_hash_table_lookup(node->part->machines, item->machine);
        if (machine)
            machine->draining = true;
        break;
    case LINK_KEEP:
        machine = g_hash_table_lookup(node->part->machines, item->machine);
        if (machine)
            machine->draining = machine->gone;
        break;
    case LINK_GONE:
        part_machine_gone(node->part, item->machine);
        node_wake(node);
        break;
    case LINK_OUTCOME:
        break; /* never said by a leader */
    }
}

contact_t node_contact(const node_t *node)
{
    return (contact_t){.state = atomic_load(&node->state.contact),
                       .heard = node->others_heard,
                       .siblings = node->others_contact,
                       .lone = node->settings->siblings->len == 0};
}

static msec_t known_until(const node_t *node)
{
    return cancelled_known(&node->cancelled, node->settings->siblings->len, node->jobs_proof);
}

bool node_may_renew(const node_t *node, msec_t now)
{
    contact_t contact = node_contact(node);
    if (!contact_may_hold(&contact, now))
        return false;
    /* A job may be cancelled at any moment through a node that reaches the state service. Its tasks
     * must be gone within cancel_s, and a worker keeps them for lease_s after our last answer: so
     * answers end this long after the last moment up to which all that users were told is known. */
    double spare = node->settings->cancel_s - node->settings->lease_s;
    return node->jobs_synced &&
           now - known_until(node) < (msec_t)(spare * 1000) - CONTACT_MARGIN_MS;
}

bool node_may_start(const node_t *node, msec_t now)
{
    return node->jobs_synced && now - known_until(node) < RUN_KNOWN_MS;
}
