/* Loads the platform's settings file. */
#include "io/settings.h"

#include <string.h>

#include "core/membership/ownership.h"
#include "io/settings_fields.h"

static void read_siblings(settings_reader_t *reader, const json_t *root, settings_t *settings)
{
    size_t i;
    json_t *item;
    json_array_foreach(settings_read_list(reader, root, "siblings"), i, item)
    {
        sibling_t sibling = {0};
        settings_read_text(reader, item, "host_name", sibling.name, sizeof sibling.name);
        settings_read_text(reader, item, "location", sibling.zone, sizeof sibling.zone);
        settings_read_address(reader, item, "endpoint", sibling.endpoint);
        g_array_append_val(settings->siblings, sibling);
    }
    G_STATIC_ASSERT(MEMBERS_MAX_COUNT - 1 == 15); /* the error text names this limit */
    if (settings->siblings->len >= MEMBERS_MAX_COUNT)
        settings_set_error(reader, SETTINGS_ERROR_RANGE, "siblings",
                           "too many controllers, expected at most 15");
}

static void read_teams(settings_reader_t *reader, const json_t *platform, settings_t *settings)
{
    size_t i;
    json_t *item;
    json_array_foreach(settings_read_list(reader, platform, "teams"), i, item)
    {
        team_t team = {0};
        settings_read_text(reader, item, "name", team.name, sizeof team.name);
        team.guaranteed_cpus = settings_read_number(reader, item, "cpus", 0);
        team.max_cpus = settings_read_number(reader, item, "cpus_max", 0);
        team.guaranteed_gpus = settings_read_number(reader, item, "gpus", 0);
        team.max_gpus = settings_read_number(reader, item, "gpus_max", 0);
        g_array_append_val(settings->teams, team);
    }
}

static void slo_free(gpointer data)
{
    slo_t *slo = data;
    g_array_unref(slo->deadline_multiples);
    g_array_unref(slo->within_s);
    g_free(slo);
}

/* Returns the SLOs of the class (transfer none). Adds an entry without SLOs if there is none. */
static slo_t *get_or_add_slo(settings_t *settings, const char *class_name)
{
    slo_t *slo = g_hash_table_lookup(settings->slos, class_name);
    if (slo)
        return slo;
    slo = g_new(slo_t, 1);
    slo->deadline_multiples = g_array_new(FALSE, FALSE, sizeof(double));
    slo->within_s = g_array_new(FALSE, FALSE, sizeof(double));
    g_hash_table_insert(settings->slos, g_strdup(class_name), slo);
    return slo;
}

static gint compare_doubles(gconstpointer left, gconstpointer right)
{
    const double *first = left;
    const double *second = right;
    return (*first > *second) - (*first < *second);
}

/* Inserts the value and keeps the list in ascending order. Ignores a value that is not positive. */
static void insert_sorted(GArray *list, double value)
{
    if (value <= 0)
        return;
    g_array_append_val(list, value);
    g_array_sort(list, compare_doubles);
}

/* SLOs only affect the order of work, so an SLO of an unknown kind is ignored. */
static void read_objectives(const json_t *platform, settings_t *settings)
{
    size_t i;
    json_t *item;
    json_array_foreach(json_object_get(platform, "objectives"), i, item)
    {
        const char *kind = json_string_value(json_object_get(item, "kind"));
        const char *class_name = json_string_value(json_object_get(item, "class"));
        if (!kind || !class_name)
            continue;
        slo_t *slo = get_or_add_slo(settings, class_name);
        if (strcmp(kind, "finished") == 0)
            insert_sorted(slo->within_s, json_number_value(json_object_get(item, "within_s")));
        else if (strcmp(kind, "deadline") == 0)
            insert_sorted(slo->deadline_multiples,
                          json_number_value(json_object_get(item, "times")));
    }
}

/* Returns settings_t.pause_factor. */
static double read_pause_factor(settings_reader_t *reader, const json_t *limits)
{
    if (!json_object_get(limits, "core_share"))
        return 1;
    double share = settings_read_number(reader, limits, "core_share", 0);
    return share > 0 ? CLAMP(FULL_SPEED_CORE_FRACTION / share, 1, PAUSE_FACTOR_MAX)
                     : PAUSE_FACTOR_MAX;
}

/* Sets the limits on connections, which follow from the number of sockets and, if it is given, the
 * size of the memory. */
static void read_connections(settings_reader_t *reader, const json_t *limits, settings_t *settings)
{
    double sockets = settings_read_number(reader, limits, "fd_limit", FD_LIMIT_MIN_COUNT);
    settings->dispatcher_connections =
        (guint)CLAMP(sockets / DISPATCHER_CONNECTIONS_DIVISOR, DISPATCHER_CONNECTIONS_MIN_COUNT,
                     DISPATCHER_CONNECTIONS_MAX_COUNT);
    double limit = sockets - CONNECTIONS_SPARE_COUNT -
                   (double)DISPATCHERS_COUNT * settings->dispatcher_connections;
    if (json_object_get(limits, "ram_mb")) {
        double memory = settings_read_number(reader, limits, "ram_mb", RAM_MIN_MIB) * KIB_PER_MIB *
                        BYTES_PER_KIB;
        limit = MIN(limit, memory * CONNECTIONS_MEMORY_FRACTION / CONNECTION_COST_BYTES);
    }
    settings->connections = (guint)limit;
}

static void read_workers(settings_reader_t *reader, const json_t *workers, settings_t *settings)
{
    settings->heartbeat_interval_s =
        settings_read_number(reader, workers, "report_s", HEARTBEAT_INTERVAL_MIN_S);
    settings->lease_s = settings_read_number(reader, workers, "lease_s", 1);
    settings->cancel_s = settings_read_number(reader, workers, "cancel_s", 1);
    /* A controller that no longer learns of cancellations goes on renewing leases for the
     * difference between cancel_s and lease_s, less the margin. Without any time left, no worker
     * could keep its lease. */
    G_STATIC_ASSERT(CANCEL_MARGIN_MS == 3 * MS_PER_S); /* the error text names this limit */
    if (!reader->error &&
        settings->cancel_s * MS_PER_S <= settings->lease_s * MS_PER_S + CANCEL_MARGIN_MS)
        settings_set_error(reader, SETTINGS_ERROR_VALUE, "cancel_s",
                           "expected a value more than 3 s above lease_s");
}

static void read_kv_store(settings_reader_t *reader, const json_t *state, settings_t *settings)
{
    settings->kv_rps = settings_read_number(reader, state, "rps", 1);
    settings->kv_write_rps = settings_read_number(reader, state, "write_rps", 1);
    settings->value_kb = settings_read_number(reader, state, "value_kb", 4);
    settings->txn_ops = (guint)settings_read_number(reader, state, "txn_ops", KV_TXN_OPS_MIN_COUNT);
}

static void read_cloud(settings_reader_t *reader, const json_t *cloud, settings_t *settings)
{
    settings->cloud_rps = settings_read_number(reader, cloud, "rps", CLOUD_RPS_MIN);
    settings->list_lag_s = settings_read_number(reader, cloud, "list_lag_s", 0);
}

static void read_platform(settings_reader_t *reader, const json_t *root, settings_t *settings)
{
    const json_t *platform = settings_read_object(reader, root, "settings");
    if (reader->error)
        return;
    const json_t *workers = settings_read_object(reader, platform, "workers");
    const json_t *state = settings_read_object(reader, platform, "state");
    const json_t *cloud = settings_read_object(reader, platform, "cloud");
    const json_t *limits = settings_read_object(reader, platform, "limits");
    if (reader->error)
        return;
    read_teams(reader, platform, settings);
    read_objectives(platform, settings);
    read_workers(reader, workers, settings);
    read_kv_store(reader, state, settings);
    read_cloud(reader, cloud, settings);
    read_connections(reader, limits, settings);
    settings->pause_factor = read_pause_factor(reader, limits);
}

static void read_endpoints(settings_reader_t *reader, const json_t *root, settings_t *settings)
{
    const json_t *endpoints = settings_read_object(reader, root, "endpoints");
    if (reader->error)
        return;
    settings_read_address(reader, endpoints, "cloud", settings->cloud_address);
    settings_read_address(reader, endpoints, "state", settings->kv_store_address);
}

static void read_file(settings_reader_t *reader, const json_t *root, settings_t *settings)
{
    if (!json_is_object(root)) {
        settings_set_error(reader, SETTINGS_ERROR_TYPE, "top level", "expected an object");
        return;
    }
    settings_read_text(reader, root, "host_name", settings->name, sizeof settings->name);
    settings_read_text(reader, root, "location", settings->zone, sizeof settings->zone);
    settings_read_address(reader, root, "client_listen", settings->client_listen);
    settings_read_address(reader, root, "mesh_addr", settings->peer_listen);
    read_siblings(reader, root, settings);
    read_endpoints(reader, root, settings);
    read_platform(reader, root, settings);
}

static settings_t *settings_new(void)
{
    settings_t *settings = g_new0(settings_t, 1);
    settings->siblings = g_array_new(FALSE, TRUE, sizeof(sibling_t));
    settings->teams = g_array_new(FALSE, TRUE, sizeof(team_t));
    settings->slos = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, slo_free);
    return settings;
}

void settings_free(settings_t *settings)
{
    if (!settings)
        return;
    g_array_unref(settings->siblings);
    g_array_unref(settings->teams);
    g_hash_table_unref(settings->slos);
    g_free(settings);
}

/* Returns the JSON of the file (transfer full), or NULL with the error set. */
static json_t *load_json(const char *path, GError **error)
{
    json_error_t json_error;
    json_t *root = json_load_file(path, 0, &json_error);
    if (root)
        return root;
    if (json_error.line > 0)
        g_set_error(error, SETTINGS_ERROR, SETTINGS_ERROR_FILE, "%s:%d:%d: %s", path,
                    json_error.line, json_error.column, json_error.text);
    else
        g_set_error(error, SETTINGS_ERROR, SETTINGS_ERROR_FILE, "%s: %s", path, json_error.text);
    return NULL;
}

settings_t *settings_load(const char *path, GError **error)
{
    settings_reader_t reader = {.path = path};
    json_t *root = load_json(path, error);
    if (!root)
        return NULL;
    settings_t *settings = settings_new();
    read_file(&reader, root, settings);
    json_decref(root);
    if (!reader.error)
        return settings;
    settings_free(settings);
    g_propagate_error(error, reader.error);
    return NULL;
}
