/* Types for every node; for the leader the list of machines, rentals and returns. */
#include <stdlib.h>
#include <string.h>

#include "app/node.h"
#include "io/clock.h"
#include "io/wire.h"
#include "log.h"

/* A rental whose answer is still owed: repeated under its name until it is answered. */
typedef struct {
    bool open;
    char charter[64];
    rental_wish_t wish;
    uint64_t generation;
} charter_t;

typedef struct {
    node_t *node;
    http_client_t *client;
    msec_t machine_types_at; /* 0: never */
    msec_t listed_at;
    msec_t retained_at;
    guint charters;
    charter_t charter;
    GHashTable *listed;   /* ids of the newest list */
    GPtrArray *failed;    /* ids that it calls failed */
    GHashTable *returned; /* id -> msec_t *: released so lately that lists may still show it */
} cloud_t;

static int cloud_call(cloud_t *cloud, const char *method, const char *path, const json_t *body,
                      json_t **answer)
{
    char url[256];
    g_snprintf(url, sizeof url, "http://%s%s", cloud->node->settings->cloud, path);
    return http_call(cloud->client, method, url, body, CLOUD_TIMEOUT_MS, answer);
}

static void take_machine_types(node_t *node, GArray *machine_types)
{
    for (guint i = 0; i < node->machine_types->len; i++)
        g_strfreev(g_array_index(node->machine_types, machine_type_t, i).zones);
    g_array_set_size(node->machine_types, 0);
    g_array_append_vals(node->machine_types, machine_types->data, machine_types->len);
    /* The zones' lists moved along with the values. */
    g_array_set_clear_func(machine_types, NULL);
    if (node->partition)
        partition_apply_machine_types(node->partition);
}

static void refresh_machine_types(cloud_t *cloud)
{
    json_t *answer = NULL;
    if (cloud_call(cloud, "GET", "/flavors", NULL, &answer) == 200) {
        GArray *machine_types = wire_parse_machine_types(answer);
        if (machine_types && machine_types->len) {
            pthread_mutex_lock(&cloud->node->lock);
            take_machine_types(cloud->node, machine_types);
            pthread_mutex_unlock(&cloud->node->lock);
            cloud->machine_types_at = clock_steady();
        }
        if (machine_types)
            g_array_unref(machine_types);
    }
    json_decref(answer);
}

static bool read_hosts(cloud_t *cloud, GArray *hosts)
{
    bool more = true;
    while (more) {
        char path[160];
        json_t *answer = NULL;
        const char *since =
            hosts->len ? g_array_index(hosts, host_t, hosts->len - 1).machine : NULL;
        g_snprintf(path, sizeof path, "/hosts?%s%s%sLimit=%d", since ? "Since=" : "",
                   since ? since : "", since ? "&" : "", LIST_PAGE);
        guint before = hosts->len;
        bool read = cloud_call(cloud, "GET", path, NULL, &answer) == 200 &&
                    wire_parse_hosts(answer, hosts, &more);
        json_decref(answer);
        if (!read)
            return false;
        more = more && hosts->len > before;
    }
    return true;
}

/* The summary of a machine in the leader's data, and its partition; NULL: no partition knows it. */
static const machine_summary_t *find_summary(const node_t *node, const char *id, guint *partition)
{
    for (guint i = 0; i < node->leader->summaries->len; i++) {
        const GArray *summaries = g_ptr_array_index(node->leader->summaries, i);
        for (guint k = 0; summaries && k < summaries->len; k++) {
            const machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, k);
            if (strcmp(summary->machine, id) != 0)
                continue;
            if (partition)
                *partition = i;
            return summary;
        }
    }
    return NULL;
}

/* Whether we may act for all. A leader that was replaced while it was refused has summaries that
 * show all its machines silent; back in touch, it gave them up in the moment before it heard of the
 * new view. */
static bool leads(const node_t *node)
{
    return node->loaded && node->leading &&
           election_may_act(&node->view, node->superseded, node->view_proof, clock_steady());
}

/* Whether its release was confirmed within the list's lag: asking again would only cost calls. */
static bool is_returned(const cloud_t *cloud, const char *id, msec_t now)
{
    const msec_t *at = g_hash_table_lookup(cloud->returned, id);
    return at && now - *at < (msec_t)(cloud->node->settings->list_lag_s * 2000) + LEADER_GRACE_MS;
}

static void take_hosts(cloud_t *cloud, const GArray *hosts, msec_t now)
{
    node_t *node = cloud->node;
    g_hash_table_remove_all(cloud->listed);
    g_ptr_array_set_size(cloud->failed, 0);
    for (guint i = 0; i < hosts->len; i++) {
        const host_t *host = &g_array_index(hosts, host_t, i);
        g_hash_table_add(cloud->listed, g_strdup(host->machine));
        const machine_summary_t *machine = find_summary(node, host->machine, NULL);
        if (host->state == HOST_FAILED)
            g_ptr_array_add(cloud->failed, g_strdup(host->machine));
        else if (!machine && !is_returned(cloud, host->machine, now)) /* else the list lags */
            rental_booting(node->rental, host->machine, host->type, host->zone, host->spot,
                           MAX(now - (msec_t)(host->age_s * 1000), node->loaded_at));
    }
    /* What was rented long enough ago to be listed and is not, was taken while it booted. */
    GHashTableIter iter;
    gpointer key, value;
    msec_t lag = (msec_t)(node->settings->list_lag_s * 2000) + LEADER_GRACE_MS;
    g_hash_table_iter_init(&iter, node->rental->boots);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const boot_t *boot = value;
        if (find_summary(node, key, NULL) ||
            (now - boot->since > lag && !g_hash_table_contains(cloud->listed, key)))
            g_hash_table_iter_remove(&iter);
    }
}

static void refresh_hosts(cloud_t *cloud)
{
    node_t *node = cloud->node;
    GArray *hosts = g_array_new(FALSE, FALSE, sizeof(host_t));
    if (read_hosts(cloud, hosts)) {
        pthread_mutex_lock(&node->lock);
        if (leads(node))
            take_hosts(cloud, hosts, clock_steady());
        pthread_mutex_unlock(&node->lock);
        cloud->listed_at = clock_steady();
    }
    g_array_unref(hosts);
}

static void send_machine_item(node_t *node, guint partition, channel_item_kind_t kind,
                              const char *id)
{
    channel_item_t item = {.kind = kind};
    g_strlcpy(item.machine, id, sizeof item.machine);
    node_send(node, partition, item);
}

/* With the lock held: a machine that is being drained is nearer than any to be rented. */
static bool cancel_drain(node_t *node)
{
    for (guint i = 0; i < node->leader->summaries->len; i++) {
        const GArray *summaries = g_ptr_array_index(node->leader->summaries, i);
        for (guint k = 0; summaries && k < summaries->len; k++) {
            const machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, k);
            if (!summary->draining || summary->attempts == 0 ||
                leader_is_quarantined(node->leader, summary->machine))
                continue;
            log_info("event=drain_cancelled machine=%s", summary->machine);
            send_machine_item(node, i, CHANNEL_CANCEL_DRAIN, summary->machine);
            return true;
        }
    }
    return false;
}

static void choose_wish(cloud_t *cloud)
{
    node_t *node = cloud->node;
    pthread_mutex_lock(&node->lock);
    msec_t now = clock_steady();
    charter_t *charter = &cloud->charter;
    if (charter->open && charter->generation != node->generation)
        charter->open = false; /* if it was carried out, its machines will appear in the list */
    /* Before the first view nobody rented: what the list shows is all there is. */
    bool is_grace_over = now - node->loaded_at > LEADER_GRACE_MS ||
                         (node->view.number == 1 && cloud->listed_at > node->loaded_at);
    if (!charter->open && leads(node) && is_grace_over &&
        rental_next(node->rental, node->leader, node->machine_types, now, clock_day(),
                    &charter->wish) &&
        !cancel_drain(node)) {
        /* The number is this leadership's alone, so the name can never have been used. */
        g_snprintf(charter->charter, sizeof charter->charter, "c-%" G_GUINT64_FORMAT "-%u",
                   node->view.number, ++cloud->charters);
        charter->open = true;
        charter->generation = node->generation;
    }
    pthread_mutex_unlock(&node->lock);
}

static void take_rental(cloud_t *cloud, const json_t *answer)
{
    node_t *node = cloud->node;
    const rental_wish_t *wish = &cloud->charter.wish;
    const json_t *names = json_object_get(answer, "Winches");
    size_t i;
    json_t *name;
    pthread_mutex_lock(&node->lock);
    msec_t now = clock_steady();
    if (leads(node)) {
        json_array_foreach(names, i, name) if (json_is_string(name)) rental_booting(
            node->rental, json_string_value(name), wish->type, wish->zone, wish->spot, now);
        if (json_array_size(names) < wish->count)
            rental_refused(node->rental, wish, now + CAPACITY_MEMORY_MS);
    }
    pthread_mutex_unlock(&node->lock);
    metrics_count(node->metrics, COUNT_RENTED, json_array_size(names));
    log_info("event=rented charter=%s type=%s zone=%s spot=%d asked=%u got=%zu",
             cloud->charter.charter, wish->type, wish->zone, wish->spot, wish->count,
             json_array_size(names));
}

static void rent(cloud_t *cloud)
{
    choose_wish(cloud);
    charter_t *charter = &cloud->charter;
    if (!charter->open)
        return;
    json_t *answer = NULL;
    json_t *body = wire_build_rental(charter->charter, charter->wish.type, charter->wish.zone,
                                     charter->wish.spot, charter->wish.count);
    int status = cloud_call(cloud, "POST", "/hosts", body, &answer);
    json_decref(body);
    const char *error = json_string_value(json_object_get(answer, "error"));
    if (status == 200) {
        take_rental(cloud, answer);
        charter->open = false;
    } else if (status == 400 || (status == 503 && g_strcmp0(error, "no capacity") == 0)) {
        pthread_mutex_lock(&cloud->node->lock);
        if (cloud->node->rental)
            rental_refused(cloud->node->rental, &charter->wish,
                           clock_steady() + CAPACITY_MEMORY_MS);
        pthread_mutex_unlock(&cloud->node->lock);
        log_info("event=no_capacity type=%s zone=%s spot=%d status=%d", charter->wish.type,
                 charter->wish.zone, charter->wish.spot, status);
        charter->open = false;
    }
    json_decref(answer);
}

static void add_once(GPtrArray *names, const char *name)
{
    if (names->len < RELEASE_MAX &&
        !g_ptr_array_find_with_equal_func(names, name, g_str_equal, NULL))
        g_ptr_array_add(names, g_strdup(name));
}

/* Machines that some node keeps alive because they can't reach their owner. */
static GHashTable *read_retained(cloud_t *cloud)
{
    GHashTable *retained = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GArray *entries = state_entries_new();
    rate_limiter_charge(&cloud->node->core_rps, 1, clock_steady());
    state_result_t result = state_list(&cloud->node->state, cloud->client, "kept/", entries, NULL);
    int64_t day = clock_day();
    for (guint i = 0; result == STATE_OK && i < entries->len; i++) {
        const json_t *value = g_array_index(entries, state_entry_t, i).value;
        if (day - json_integer_value(json_object_get(value, "At")) > RETAINED_FRESH_MS)
            continue;
        size_t k;
        json_t *name;
        json_array_foreach(json_object_get(value, "Machines"), k, name) if (json_is_string(name))
            g_hash_table_add(retained, g_strdup(json_string_value(name)));
    }
    g_array_unref(entries);
    if (result != STATE_OK)
        g_clear_pointer(&retained, g_hash_table_unref);
    return retained;
}

/* Silence after which a worker may have lost its owner: a report and a half, and the time it takes.
 */
static msec_t lost_after(const node_t *node)
{
    return MAX(LOST_SILENT_MS,
               (msec_t)(node->settings->report_s * REPORT_SPREAD * 1000) + 2 * REPORT_LATE_MS);
}

static void watch_zones(node_t *node, msec_t now)
{
    GPtrArray *fallen = rental_watch_zones(node->rental, node->leader, lost_after(node), now);
    for (guint i = 0; i < fallen->len; i++)
        log_info("event=zone_unreachable zone=%s", (char *)g_ptr_array_index(fallen, i));
    g_ptr_array_unref(fallen);
}

/* Machines to be given up for their silence, unless another controller keeps them alive. Those of
 * an unreachable zone have longer: a cut ends, and then they are there, where new ones would have
 * to be rented and booted; their tasks have missed the nearest targets either way. */
static GPtrArray *find_silent(cloud_t *cloud)
{
    node_t *node = cloud->node;
    GPtrArray *silent = g_ptr_array_new_with_free_func(g_free);
    msec_t most = (msec_t)(node->settings->lease_s * 1000) + SILENT_MARGIN_MS;
    msec_t lag = (msec_t)(node->settings->list_lag_s * 2000) + LEADER_GRACE_MS;
    msec_t now = clock_steady();
    pthread_mutex_lock(&node->lock);
    if (leads(node))
        watch_zones(node, now);
    bool listed = leads(node) && cloud->listed_at > node->loaded_at + lag;
    for (guint i = 0; leads(node) && i < node->leader->summaries->len; i++) {
        const GArray *summaries = g_ptr_array_index(node->leader->summaries, i);
        for (guint k = 0; summaries && k < summaries->len; k++) {
            const machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, k);
            bool unlisted = listed && summary->known_ms > lag && !summary->open &&
                            summary->silent_ms > DIRECT_FRESH_MS &&
                            !g_hash_table_contains(cloud->listed, summary->machine);
            bool early = summary->silent_ms <= most ||
                         rental_waits(node->rental, summary->zone, summary->silent_ms, most, now);
            if ((early && !unlisted) || is_returned(cloud, summary->machine, now))
                continue;
            log_debug("event=silent machine=%s silent_ms=%" G_GINT64_FORMAT
                      " known_ms=%" G_GINT64_FORMAT " listed=%d",
                      summary->machine, summary->silent_ms, summary->known_ms,
                      g_hash_table_contains(cloud->listed, summary->machine));
            g_ptr_array_add(silent, g_strdup(summary->machine));
        }
    }
    pthread_mutex_unlock(&node->lock);
    return silent;
}

/* With the lock held: what is to go, for whatever reason but silence. A machine is drained first:
 * its partition's summaries must show it closed and empty, so that no start is under way to it. */
static void find_unwanted(cloud_t *cloud, GPtrArray *names)
{
    node_t *node = cloud->node;
    msec_t now = clock_steady();
    guint partition = 0;
    for (guint i = 0; i < cloud->failed->len; i++)
        if (!is_returned(cloud, g_ptr_array_index(cloud->failed, i), now))
            add_once(names, g_ptr_array_index(cloud->failed, i));
    GPtrArray *stuck = rental_stuck(node->rental, node->machine_types, now);
    for (guint i = 0; i < stuck->len; i++)
        add_once(names, g_ptr_array_index(stuck, i));
    g_ptr_array_unref(stuck);
    /* In an outage nothing can be started, and what runs out looks like too many machines. */
    bool informed =
        now - atomic_load(&node->state.answered_at) < FOLLOW_BLOCK_MS + STATE_TIMEOUT_MS;
    if (!informed)
        node->rental->surplus_since = 0;
    /* Views of the same leader teach it nothing new: when they came every half minute, nothing was
     * returned for minutes. */
    bool may_return = informed && now - node->leading_since > RETURN_AFTER_MS &&
                      now - node->loaded_at > LEADER_GRACE_MS;
    for (guint drained = 0; may_return && drained < DRAINS_PER_ROUND; drained++) {
        machine_summary_t *surplus =
            rental_surplus(node->rental, node->leader, node->machine_types, now, clock_day());
        if (!surplus || !find_summary(node, surplus->machine, &partition))
            break;
        log_info("event=surplus machine=%s", surplus->machine);
        surplus->open =
            false; /* no more placement requests; draining only when its partition says so */
        send_machine_item(node, partition, CHANNEL_DRAIN, surplus->machine);
    }
    for (guint i = 0; i < node->leader->summaries->len; i++) {
        const GArray *summaries = g_ptr_array_index(node->leader->summaries, i);
        for (guint k = 0; summaries && k < summaries->len; k++) {
            const machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, k);
            if (summary->draining && summary->attempts == 0 &&
                !is_returned(cloud, summary->machine, now))
                add_once(names, summary->machine);
            if (!summary->draining && leader_is_quarantined(node->leader, summary->machine)) {
                log_info("event=quarantined machine=%s", summary->machine);
                send_machine_item(node, i, CHANNEL_DRAIN, summary->machine);
            }
        }
    }
}

/* The release is proof for whatever the machine's record holds, also when no partition has a
 * summary of it.
 */
static void released(node_t *node, const GPtrArray *names)
{
    metrics_count(node->metrics, COUNT_RELEASED, names->len);
    for (guint i = 0; i < names->len; i++) {
        const char *id = g_ptr_array_index(names, i);
        guint partition = 0;
        log_info("event=released machine=%s", id);
        rental_boot_over(node->rental, id);
        if (find_summary(node, id, &partition))
            send_machine_item(node, partition, CHANNEL_MACHINE_GONE, id);
    }
    node_notify(node);
}

/* With the lock held: machines of a partition that have gone silent, if they are most of it. */
static GPtrArray *lost_of(const node_t *node, guint partition)
{
    const GArray *summaries = g_ptr_array_index(node->leader->summaries, partition);
    GPtrArray *lost = g_ptr_array_new_with_free_func(g_free);
    for (guint k = 0; summaries && k < summaries->len; k++) {
        const machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, k);
        if (summary->silent_ms > lost_after(node))
            g_ptr_array_add(lost, g_strdup(summary->machine));
    }
    if (lost->len < LOST_LEAST || 2 * lost->len <= summaries->len)
        g_ptr_array_set_size(lost, 0);
    return lost;
}

/* A controller that its workers can't reach owns machines in vain: they are kept alive elsewhere
 * and get no starts. It is excluded, and its machines go to the others. */
static void exclude_members(cloud_t *cloud, msec_t now)
{
    node_t *node = cloud->node;
    GHashTable *retained = NULL;
    guint partitions = 0;
    pthread_mutex_lock(&node->lock);
    uint64_t generation = node->generation;
    /* In a view's first seconds, workers are still on their way to their owners. */
    partitions = leads(node) && now - node->loaded_at > 2 * lost_after(node) ? node->view.count : 0;
    pthread_mutex_unlock(&node->lock);
    for (guint i = 0; i < partitions; i++) {
        pthread_mutex_lock(&node->lock);
        GPtrArray *lost = node->generation == generation ? lost_of(node, i) : g_ptr_array_new();
        pthread_mutex_unlock(&node->lock);
        if (lost->len && !retained)
            retained = read_retained(cloud);
        guint alive = 0;
        for (guint k = 0; retained && k < lost->len; k++)
            alive += g_hash_table_contains(retained, g_ptr_array_index(lost, k));
        if (lost->len && 2 * alive > lost->len) {
            msec_t until = now + EXCLUDED_MS;
            pthread_mutex_lock(&node->lock);
            if (node->generation == generation) {
                log_info("event=excluded member=%s machines=%u", node->view.members[i].name, alive);
                g_hash_table_insert(node->election.excluded, g_strdup(node->view.members[i].name),
                                    g_memdup2(&until, sizeof until));
                pthread_cond_broadcast(&node->members);
            }
            pthread_mutex_unlock(&node->lock);
        }
        g_ptr_array_unref(lost);
    }
    if (retained)
        g_hash_table_unref(retained);
}

static void note_returned(cloud_t *cloud, const GPtrArray *names)
{
    msec_t now = clock_steady();
    GHashTableIter iter;
    gpointer id;
    g_hash_table_iter_init(&iter, cloud->returned);
    while (g_hash_table_iter_next(&iter, &id, NULL))
        if (!is_returned(cloud, id, now))
            g_hash_table_iter_remove(&iter);
    for (guint i = 0; i < names->len; i++)
        g_hash_table_insert(cloud->returned, g_strdup(g_ptr_array_index(names, i)),
                            g_memdup2(&now, sizeof now));
}

static void give_back(cloud_t *cloud)
{
    node_t *node = cloud->node;
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    GPtrArray *silent = find_silent(cloud);
    GHashTable *retained = silent->len ? read_retained(cloud) : NULL;
    pthread_mutex_lock(&node->lock);
    uint64_t generation = node->generation;
    if (leads(node)) {
        find_unwanted(cloud, names);
        for (guint i = 0; retained && i < silent->len; i++)
            if (!g_hash_table_contains(retained, g_ptr_array_index(silent, i)))
                add_once(names, g_ptr_array_index(silent, i));
    }
    pthread_mutex_unlock(&node->lock);
    if (retained)
        g_hash_table_unref(retained);
    g_ptr_array_unref(silent);
    if (names->len) {
        json_t *body = wire_build_release(names);
        int status = cloud_call(cloud, "POST", "/hosts/release", body, NULL);
        json_decref(body);
        pthread_mutex_lock(&node->lock);
        if (status == 200 && leads(node) && node->generation == generation) {
            released(node, names);
            note_returned(cloud, names);
            g_ptr_array_set_size(cloud->failed, 0);
        }
        pthread_mutex_unlock(&node->lock);
    }
    g_ptr_array_unref(names);
}

/* Publishes to the leader, through the state service, which workers of others this node keeps
 * alive. */
static void publish_retained(cloud_t *cloud, msec_t now)
{
    node_t *node = cloud->node;
    json_t *names = json_array();
    pthread_mutex_lock(&node->lock);
    GPtrArray *retained = redirection_retained(node->redirection, now);
    pthread_mutex_unlock(&node->lock);
    for (guint i = 0; i < retained->len; i++)
        json_array_append_new(names, json_string(g_ptr_array_index(retained, i)));
    g_ptr_array_unref(retained);
    if (json_array_size(names) == 0) {
        json_decref(names);
        return;
    }
    char path[ID_SIZE + 8];
    txn_t txn = txn_new();
    g_snprintf(path, sizeof path, "kept/%s", node->settings->name);
    txn_set(&txn, path, json_pack("{s:I,s:o}", "At", (json_int_t)clock_day(), "Machines", names),
            0);
    rate_limiter_charge(&node->core_rps, 1, now);
    state_commit(&node->state, cloud->client, &txn, STATE_TIMEOUT_MS, NULL, NULL);
    txn_free(&txn);
    cloud->retained_at = now;
}

void *cloud_run(void *data)
{
    cloud_t cloud = {.node = data,
                     .client = http_client_new(2),
                     .listed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
                     .failed = g_ptr_array_new_with_free_func(g_free),
                     .returned = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free)};
    node_t *node = cloud.node;
    msec_t gap = MAX(CLOUD_GAP_MS, (msec_t)(CLOUD_ROUND_MS / node->settings->cloud_rps));
    for (;;) {
        msec_t now = clock_steady();
        if (cloud.machine_types_at == 0 || now - cloud.machine_types_at > MACHINE_TYPES_MS)
            refresh_machine_types(&cloud);
        pthread_mutex_lock(&node->lock);
        bool leading = leads(node);
        pthread_mutex_unlock(&node->lock);
        if (leading && now - cloud.listed_at > CLOUD_LIST_MS) {
            refresh_hosts(&cloud);
            exclude_members(&cloud, now);
        }
        if (now - cloud.retained_at > RETAINED_WRITE_MS)
            publish_retained(&cloud, now);
        if (leading) {
            rent(&cloud);
            give_back(&cloud);
        }
        node_sleep(gap);
    }
    return NULL;
}
