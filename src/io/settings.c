#include "io/settings.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <math.h>
#include <string.h>

#include "core/membership/ownership.h"

/* Where parsing stands: the first fault wins. */
typedef struct reader {
    const char *path;
    char *error;
} reader_t;

static void fault(reader_t *reader, const char *where, const char *expected)
{
    if (!reader->error)
        reader->error = g_strdup_printf("%s: %s: %s", reader->path, where, expected);
}

static json_t *find(reader_t *reader, const json_t *object, const char *name)
{
    json_t *value = json_object_get(object, name);
    if (!value)
        fault(reader, name, "missing");
    return value;
}

static void read_text(reader_t *reader, const json_t *object, const char *name, char *to,
                      gsize size)
{
    const json_t *value = find(reader, object, name);
    if (!value)
        return;
    if (!json_is_string(value) || !*json_string_value(value))
        fault(reader, name, "a non-empty string is expected");
    else if (g_strlcpy(to, json_string_value(value), size) >= size)
        fault(reader, name, "too long");
}

static void read_address(reader_t *reader, const json_t *object, const char *name, char *to)
{
    to[0] = '\0';
    read_text(reader, object, name, to, ADDRESS_BYTES);
    const char *colon = strrchr(to, ':');
    char host[ADDRESS_BYTES];
    struct in_addr in;
    guint64 port;
    if (reader->error)
        return;
    if (colon)
        g_strlcpy(host, to, (gsize)(colon - to) + 1);
    if (!colon || inet_pton(AF_INET, host, &in) != 1 ||
        !g_ascii_string_to_unsigned(colon + 1, DECIMAL, 1, PORT_MAX, &port, NULL))
        fault(reader, name, "an IPv4 address with a port is expected");
}

static double read_number(reader_t *reader, const json_t *object, const char *name, double low)
{
    const json_t *value = find(reader, object, name);
    if (!value)
        return low;
    double number = json_number_value(value);
    if (!json_is_number(value) || !isfinite(number) || number < low || number > SETTING_MAX) {
        char expected[LABEL_BYTES];
        g_snprintf(expected, sizeof expected, "a number from %g to %g is expected", low,
                   SETTING_MAX);
        fault(reader, name, expected);
        return low;
    }
    return number;
}

static json_t *read_object(reader_t *reader, const json_t *object, const char *name)
{
    json_t *value = find(reader, object, name);
    if (value && !json_is_object(value))
        fault(reader, name, "an object is expected");
    return value;
}

static json_t *read_list(reader_t *reader, const json_t *object, const char *name)
{
    json_t *value = find(reader, object, name);
    if (value && !json_is_array(value))
        fault(reader, name, "a list is expected");
    return value;
}

static void read_siblings(reader_t *reader, const json_t *root, settings_t *settings)
{
    size_t i;
    json_t *item;
    json_array_foreach(read_list(reader, root, "siblings"), i, item)
    {
        sibling_t sibling = {0};
        read_text(reader, item, "host_name", sibling.name, sizeof sibling.name);
        read_text(reader, item, "location", sibling.zone, sizeof sibling.zone);
        read_address(reader, item, "endpoint", sibling.endpoint);
        g_array_append_val(settings->siblings, sibling);
    }
    if (settings->siblings->len >= MEMBERS_MAX_COUNT)
        fault(reader, "siblings", "there are too many");
}

static void read_teams(reader_t *reader, const json_t *platform, settings_t *settings)
{
    size_t i;
    json_t *item;
    json_array_foreach(read_list(reader, platform, "teams"), i, item)
    {
        team_t team = {0};
        read_text(reader, item, "name", team.name, sizeof team.name);
        team.guaranteed_cpus = read_number(reader, item, "cpus", 0);
        team.max_cpus = read_number(reader, item, "cpus_max", 0);
        team.guaranteed_gpus = read_number(reader, item, "gpus", 0);
        team.max_gpus = read_number(reader, item, "gpus_max", 0);
        g_array_append_val(settings->teams, team);
    }
}

static void slo_free(gpointer data)
{
    slo_t *slos = data;
    g_array_unref(slos->deadline_multiples);
    g_array_unref(slos->within_s);
    g_free(slos);
}

static slo_t *slo_of_class(settings_t *settings, const char *class_name)
{
    slo_t *slos = g_hash_table_lookup(settings->slos, class_name);
    if (!slos) {
        slos = g_new(slo_t, 1);
        slos->deadline_multiples = g_array_new(FALSE, FALSE, sizeof(double));
        slos->within_s = g_array_new(FALSE, FALSE, sizeof(double));
        g_hash_table_insert(settings->slos, g_strdup(class_name), slos);
    }
    return slos;
}

static gint compare_doubles(gconstpointer left, gconstpointer right)
{
    const double *first = left;
    const double *second = right;
    return *first < *second ? -1 : *first > *second;
}

static void insert_sorted(GArray *list, double value)
{
    if (value <= 0)
        return;
    g_array_append_val(list, value);
    g_array_sort(list, compare_doubles);
}

/* The aims steer the order of work only; one of an unknown kind is left aside. */
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
        slo_t *slos = slo_of_class(settings, class_name);
        if (strcmp(kind, "finished") == 0)
            insert_sorted(slos->within_s, json_number_value(json_object_get(item, "within_s")));
        else if (strcmp(kind, "deadline") == 0)
            insert_sorted(slos->deadline_multiples,
                          json_number_value(json_object_get(item, "times")));
    }
}

/* How much rarer than on a usual share those rounds are that serve quality alone. */
static double read_pace(reader_t *reader, const json_t *limits)
{
    if (!json_object_get(limits, "core_share"))
        return 1;
    double share = read_number(reader, limits, "core_share", 0);
    return share > 0 ? CLAMP(USUAL_CORE_SHARE / share, 1, PACE_MAX) : PACE_MAX;
}

/* The sockets granted are not all that limits connections: memory may be less. */
static void read_connections(reader_t *reader, const json_t *limits, settings_t *settings)
{
    double sockets = read_number(reader, limits, "fd_limit", FD_LIMIT_MIN_COUNT);
    settings->dispatcher_connections =
        (guint)CLAMP(sockets / DISPATCHER_CONNECTIONS_DIVISOR, DISPATCHER_CONNECTIONS_MIN_COUNT,
                     DISPATCHER_CONNECTIONS_MAX_COUNT);
    double most = sockets - CONNECTIONS_SPARE_COUNT -
                  (double)DISPATCHERS_COUNT * settings->dispatcher_connections;
    if (json_object_get(limits, "ram_mb")) {
        double memory =
            read_number(reader, limits, "ram_mb", RAM_MIN_MIB) * KIB_PER_MIB * BYTES_PER_KIB;
        most = MIN(most, memory * CONNECTIONS_MEMORY_FRACTION / CONNECTION_COST_BYTES);
    }
    settings->connections = (guint)most;
}

static void read_platform(reader_t *reader, const json_t *root, settings_t *settings)
{
    const json_t *platform = read_object(reader, root, "settings");
    if (reader->error)
        return;
    const json_t *workers = read_object(reader, platform, "workers");
    const json_t *state = read_object(reader, platform, "state");
    const json_t *cloud = read_object(reader, platform, "cloud");
    const json_t *limits = read_object(reader, platform, "limits");
    if (reader->error)
        return;
    read_teams(reader, platform, settings);
    read_objectives(platform, settings);
    settings->heartbeat_interval_s =
        read_number(reader, workers, "report_s", HEARTBEAT_INTERVAL_MIN_S);
    settings->lease_s = read_number(reader, workers, "lease_s", 1);
    settings->cancel_s = read_number(reader, workers, "cancel_s", 1);
    /* Between them lies all the time in which reports can be answered after the last word on
     * cancelled jobs: without it no worker would keep its lease. */
    if (!reader->error &&
        settings->cancel_s * MS_PER_S <= settings->lease_s * MS_PER_S + CANCEL_MARGIN_MS)
        fault(reader, "cancel_s", "it must exceed lease_s by more than 3 s");
    settings->kv_rps = read_number(reader, state, "rps", 1);
    settings->kv_write_rps = read_number(reader, state, "write_rps", 1);
    settings->value_kb = read_number(reader, state, "value_kb", 4);
    settings->txn_ops = (guint)read_number(reader, state, "txn_ops", KV_TXN_OPS_MIN_COUNT);
    settings->cloud_rps = read_number(reader, cloud, "rps", CLOUD_RPS_MIN);
    settings->list_lag_s = read_number(reader, cloud, "list_lag_s", 0);
    read_connections(reader, limits, settings);
    settings->pace = read_pace(reader, limits);
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

settings_t *settings_load(const char *path, char **error)
{
    json_error_t problem;
    reader_t reader = {.path = path};
    json_t *root = json_load_file(path, 0, &problem);
    if (!root) {
        *error = problem.line > 0 ? g_strdup_printf("%s:%d:%d: %s", path, problem.line,
                                                    problem.column, problem.text)
                                  : g_strdup_printf("%s: %s", path, problem.text);
        return NULL;
    }
    settings_t *settings = g_new0(settings_t, 1);
    settings->siblings = g_array_new(FALSE, TRUE, sizeof(sibling_t));
    settings->teams = g_array_new(FALSE, TRUE, sizeof(team_t));
    settings->slos = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, slo_free);
    if (!json_is_object(root)) {
        fault(&reader, "top level", "an object is expected");
    } else {
        read_text(&reader, root, "host_name", settings->name, sizeof settings->name);
        read_text(&reader, root, "location", settings->zone, sizeof settings->zone);
        read_address(&reader, root, "client_listen", settings->client_listen);
        read_address(&reader, root, "mesh_addr", settings->peer_listen);
        read_siblings(&reader, root, settings);
        const json_t *endpoints = read_object(&reader, root, "endpoints");
        if (!reader.error) {
            read_address(&reader, endpoints, "cloud", settings->cloud_address);
            read_address(&reader, endpoints, "state", settings->kv_store_address);
        }
        read_platform(&reader, root, settings);
    }
    json_decref(root);
    if (reader.error) {
        settings_free(settings);
        *error = reader.error;
        return NULL;
    }
    return settings;
}
