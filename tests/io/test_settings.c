/* Tests of loading the platform's settings file. */
#include <jansson.h>
#include <unistd.h>

#include "io/settings.h"
#include "unit_test.h"

static json_t *settings_body(void)
{
    return json_loads(
        "{\"host_name\":\"controller-0\",\"location\":\"zone-a\",\"client_listen\":\"127.0.0.1:1\","
        "\"mesh_addr\":\"127.0.0.1:2\",\"siblings\":[{\"host_name\":\"controller-1\",\"location\":"
        "\"zone-b\",\"endpoint\":\"127.0.0.1:3\"}],\"endpoints\":{\"cloud\":\"127.0.0.1:4\","
        "\"state\":\"127.0.0.1:5\"},\"settings\":{\"teams\":[{\"name\":\"team-a\",\"cpus\":1.0,"
        "\"cpus_max\":2.0,\"gpus\":0.0,\"gpus_max\":0.0}],\"objectives\":[{\"kind\":\"finished\","
        "\"class\":\"c\",\"within_s\":400.0},{\"kind\":\"finished\",\"class\":\"c\",\"within_s\":"
        "250.0},{\"kind\":\"new\",\"x\":1}],\"workers\":{\"report_s\":1.0,\"lease_s\":10.0,"
        "\"cancel_s\":30.0},\"state\":{\"rps\":120.0,\"write_rps\":40.0,\"value_kb\":16.0,"
        "\"txn_ops\":24},\"cloud\":{\"rps\":5.0,\"list_lag_s\":3.0},\"limits\":{\"fd_limit\":600}},"
        "\"unheard\":true}",
        0, NULL);
}

/* Writes the body to a temporary file and loads the settings from it. Consumes the body. */
static settings_t *load_settings(json_t *body, GError **error)
{
    char path[] = "/tmp/pepperpulley-test-XXXXXX";
    int fd = mkstemp(path);
    assert_true(fd >= 0);
    assert_int_equal(json_dumpfd(body, fd, 0), 0);
    close(fd);
    json_decref(body);
    settings_t *settings = settings_load(path, error);
    unlink(path);
    return settings;
}

static void test_complete_file_is_loaded_and_unknown_fields_are_ignored(void **state)
{
    (void)state;
    g_autoptr(GError) error = NULL;
    settings_t *settings = load_settings(settings_body(), &error);
    assert_non_null(settings);
    assert_string_equal(settings->name, "controller-0");
    assert_int_equal(settings->siblings->len, 1);
    const slo_t *slos = g_hash_table_lookup(settings->slos, "c");
    assert_int_equal(slos->within_s->len, 2);
    assert_true(g_array_index(slos->within_s, double, 0) == 250.0);
    settings_free(settings);
}

/* Checks that loading fails with `code` if the field `name` has this value, in the given object of
 * the settings or, if `object` is NULL, at the top level. */
static void assert_refused(const char *object, const char *name, json_t *value,
                           settings_error_t code)
{
    g_autoptr(GError) error = NULL;
    json_t *body = settings_body();
    json_t *parent = body;
    if (object)
        parent = json_object_get(json_object_get(body, "settings"), object);
    json_object_set_new(parent, name, value);
    assert_null(load_settings(body, &error));
    assert_true(g_error_matches(error, SETTINGS_ERROR, (gint)code));
    assert_non_null(strstr(error->message, name));
    assert_null(strchr(error->message, '\n'));
}

static void test_invalid_fields_are_reported_by_name(void **state)
{
    (void)state;
    assert_refused(NULL, "host_name", json_integer(3), SETTINGS_ERROR_TYPE);
    assert_refused(NULL, "client_listen", json_string("localhost"), SETTINGS_ERROR_VALUE);
    assert_refused(NULL, "siblings", json_string("none"), SETTINGS_ERROR_TYPE);
    assert_refused("workers", "lease_s", json_string("10"), SETTINGS_ERROR_TYPE);
    assert_refused("workers", "cancel_s", json_real(-1), SETTINGS_ERROR_RANGE);
    assert_refused("state", "txn_ops", json_null(), SETTINGS_ERROR_TYPE);
    assert_refused("state", "rps", json_real(1e300), SETTINGS_ERROR_RANGE);
    assert_refused("workers", "cancel_s", json_real(12),
                   SETTINGS_ERROR_VALUE); /* not more than 3 s above lease_s, which is 10 s */
    assert_refused("limits", "fd_limit", json_integer(20), SETTINGS_ERROR_RANGE);
    assert_refused("limits", "ram_mb", json_integer(-188), SETTINGS_ERROR_RANGE);
}

static guint connections(double fd_limit, double ram_mb)
{
    g_autoptr(GError) error = NULL;
    json_t *body = settings_body();
    json_t *limits = json_object_get(json_object_get(body, "settings"), "limits");
    json_object_set_new(limits, "fd_limit", json_real(fd_limit));
    if (ram_mb > 0)
        json_object_set_new(limits, "ram_mb", json_real(ram_mb));
    settings_t *settings = load_settings(body, &error);
    assert_non_null(settings);
    guint limit = settings->connections;
    settings_free(settings);
    return limit;
}

/* The number of sockets limits the connections, unless the memory suffices for fewer of them. */
static void test_connections_are_limited_by_sockets_and_memory(void **state)
{
    (void)state;
    /* fd_limit less CONNECTIONS_SPARE_COUNT and the connections of the 16 dispatchers to workers.
     * A dispatcher has 6 connections if there are 600 sockets, and 16 if there are 2537. */
    assert_int_equal(connections(600, 0), 404);
    assert_int_equal(connections(2537, 0), 2181);
    assert_int_equal(connections(2537, 188), 2181);
    assert_in_range(connections(1e9, 188), 1000, 188 * 1024 * 1024 / CONNECTION_COST_BYTES);
    assert_in_range(connections(2537, 56), 300, 56 * 1024 * 1024 / CONNECTION_COST_BYTES);
}

static double pause_factor(double core_share)
{
    g_autoptr(GError) error = NULL;
    json_t *body = settings_body();
    json_t *limits = json_object_get(json_object_get(body, "settings"), "limits");
    json_object_set_new(limits, "core_share", json_real(core_share));
    settings_t *settings = load_settings(body, &error);
    assert_non_null(settings);
    double factor = settings->pause_factor;
    settings_free(settings);
    return factor;
}

/* With a share of a core of FULL_SPEED_CORE_FRACTION or more, no pause is lengthened. */
static void test_only_a_small_core_share_lengthens_pauses(void **state)
{
    (void)state;
    assert_true(pause_factor(1) == 1);
    assert_true(pause_factor(0.096) == 1);
    assert_true(pause_factor(0.06) > 1.4 && pause_factor(0.06) < 1.6);
    assert_true(pause_factor(0.029) == PAUSE_FACTOR_MAX);
    assert_true(pause_factor(0) == PAUSE_FACTOR_MAX);
}

static void test_missing_file_is_reported(void **state)
{
    (void)state;
    g_autoptr(GError) error = NULL;
    assert_null(settings_load("/nonexistent/settings.json", &error));
    assert_true(g_error_matches(error, SETTINGS_ERROR, SETTINGS_ERROR_FILE));
    assert_non_null(strstr(error->message, "/nonexistent/settings.json"));
}

/* The file lacks a single field, which the message must name. */
static void test_missing_field_is_reported_by_name(void **state)
{
    (void)state;
    g_autoptr(GError) error = NULL;
    json_t *body = settings_body();
    json_object_del(json_object_get(json_object_get(body, "settings"), "workers"), "lease_s");
    assert_null(load_settings(body, &error));
    assert_true(g_error_matches(error, SETTINGS_ERROR, SETTINGS_ERROR_MISSING));
    assert_true(g_str_has_suffix(error->message, ": lease_s: missing"));
}

static void test_file_without_a_top_level_object_is_reported(void **state)
{
    (void)state;
    g_autoptr(GError) error = NULL;
    assert_null(load_settings(json_array(), &error));
    assert_true(g_error_matches(error, SETTINGS_ERROR, SETTINGS_ERROR_TYPE));
    assert_true(g_str_has_suffix(error->message, ": top level: expected an object"));
}

/* The file has two errors, and the message must be that of the first one. */
static void test_only_the_first_error_is_reported(void **state)
{
    (void)state;
    g_autoptr(GError) error = NULL;
    json_t *body = settings_body();
    json_object_set_new(body, "location", json_string(""));
    json_object_set_new(body, "mesh_addr", json_string("nowhere"));
    assert_null(load_settings(body, &error));
    assert_true(g_str_has_suffix(error->message, ": location: expected a non-empty string"));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_complete_file_is_loaded_and_unknown_fields_are_ignored),
        cmocka_unit_test(test_invalid_fields_are_reported_by_name),
        cmocka_unit_test(test_connections_are_limited_by_sockets_and_memory),
        cmocka_unit_test(test_only_a_small_core_share_lengthens_pauses),
        cmocka_unit_test(test_missing_file_is_reported),
        cmocka_unit_test(test_missing_field_is_reported_by_name),
        cmocka_unit_test(test_file_without_a_top_level_object_is_reported),
        cmocka_unit_test(test_only_the_first_error_is_reported),
    };
    return cmocka_run_group_tests_name("settings", tests, NULL, NULL);
}
