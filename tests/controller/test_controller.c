/* Tests of whole controllers, with stand-ins for key-value store and cloud over real sockets. A
 * test waits until what it expects has come about, so its verdict hangs on no time. Controllers
 * never end: the process leaves without them. */
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "controller/controller.h"
#include "controller/peer/peer_exchange.h"
#include "controller/peer/peer_heartbeat.h"
#include "controller/startup.h"
#include "controller/worker_lease.h"
#include "io/clock.h"
#include "io/codec/codec.h"
#include "io/records.h"
#include "services.h"
#include "unit_test.h"

enum { POLL_MS = 20 };

typedef struct fixture {
    services_t *services;
    controller_t *controllers[2];
    uint16_t ports[2]; /* of users and workers */
    http_client_t *client;
} fixture_t;

static fixture_t *fixture;

static settings_t *settings_of(guint index, const uint16_t *peer_work, guint count)
{
    settings_t *settings = g_new0(settings_t, 1);
    *settings = (settings_t){.zone = "zone-a",
                             .heartbeat_interval_s = 1,
                             .lease_s = 10,
                             .cancel_s = 3600, /* no test waits for its end */
                             .kv_rps = 1000,
                             .kv_write_rps = 1000,
                             .value_kb = 16,
                             .txn_ops = 24,
                             .cloud_rps = 100,
                             .list_lag_s = 1,
                             .pace = 1,
                             .dispatcher_connections = 2,
                             .connections = 100};
    g_snprintf(settings->name, sizeof settings->name, "controller-%u", index);
    g_snprintf(settings->client_listen, ADDRESS_BYTES, "127.0.0.1:%u", fixture->ports[index]);
    g_snprintf(settings->peer_listen, ADDRESS_BYTES, "127.0.0.1:%u", peer_work[index]);
    g_snprintf(settings->cloud_address, ADDRESS_BYTES, "127.0.0.1:%u",
               fixture->services->cloud_port);
    g_snprintf(settings->kv_store_address, ADDRESS_BYTES, "127.0.0.1:%u",
               fixture->services->state_ports[index]);
    settings->teams = g_array_new(FALSE, FALSE, sizeof(team_t));
    team_t team = {.name = "team-a", .guaranteed_cpus = 8, .max_cpus = 64};
    g_array_append_val(settings->teams, team);
    settings->slos = g_hash_table_new(g_str_hash, g_str_equal);
    settings->siblings = g_array_new(FALSE, FALSE, sizeof(sibling_t));
    for (guint i = 0; i < count; i++) {
        sibling_t sibling = {.zone = "zone-a"};
        g_snprintf(sibling.name, sizeof sibling.name, "controller-%u", i);
        g_snprintf(sibling.endpoint, sizeof sibling.endpoint, "127.0.0.1:%u", peer_work[i]);
        if (i != index)
            g_array_append_val(settings->siblings, sibling);
    }
    return settings;
}

static void prepare(void)
{
    fixture = g_new0(fixture_t, 1);
    fixture->services = services_new();
    fixture->client = http_client_new(4);
}

static void start_nodes(guint count)
{
    uint16_t peer_work[2];
    for (guint i = 0; i < count; i++) {
        fixture->ports[i] = services_free_port();
        peer_work[i] = services_free_port();
    }
    for (guint i = 0; i < count; i++) {
        fixture->controllers[i] =
            controller_new(settings_of(i, peer_work, count), policy_default());
        assert_true(controller_start(fixture->controllers[i]));
    }
}

static int send_request(guint controller, const char *method, const char *path, const json_t *body,
                        json_t **answer)
{
    char url[256];
    g_snprintf(url, sizeof url, "http://127.0.0.1:%u%s", fixture->ports[controller], path);
    return http_call(fixture->client, method, url, body, 10000, answer);
}

static void wait_ready(guint controller)
{
    while (send_request(controller, "GET", "/ready", NULL, NULL) != 200)
        controller_sleep(POLL_MS);
}

static void begin(guint count)
{
    prepare();
    start_nodes(count);
}

/* As many controllers, each of them taking users. */
static void begin_ready(guint count)
{
    begin(count);
    services_publish_types(fixture->services);
    for (guint i = 0; i < count; i++)
        wait_ready(i);
}

static json_t *job_body(const char *id)
{
    json_t *body = json_loads(
        "{\"Reel\":\"c\",\"Crew\":\"team-a\",\"Rig\":\"sweep\",\"Urgency\":\"normal\",\"Pieces\":2,"
        "\"Cpus\":2.0,\"Accelerators\":0,\"MemGb\":4.0,\"Cargo\":\"i\",\"ImageGb\":1.0,"
        "\"Hulls\":null,\"Dock\":null,\"SamePlace\":false,\"Apart\":false,\"Driftwood\":true,"
        "\"HaulS\":10.0,\"KnotS\":0,\"StowS\":0,\"TideS\":null}",
        0, NULL);
    json_object_set_new(body, "Uid", json_string(id));
    return body;
}

/* Repeats what is told to come back, as users do. trim: the state that the answer must bear. */
static void expect(guint controller, const char *method, const char *path, json_t *body, int status,
                   const char *trim)
{
    json_t *answer = NULL;
    int got;
    while ((got = send_request(controller, method, path, body, &answer)) == 503 || got == 429) {
        json_decref(answer);
        controller_sleep(POLL_MS);
    }
    assert_int_equal(got, status);
    if (trim)
        assert_string_equal(json_string_value(json_object_get(answer, "Trim")), trim);
    json_decref(answer);
    json_decref(body);
}

static void submit(guint controller, const char *id)
{
    expect(controller, "POST", "/v2/runs", job_body(id), 201, "queued");
}

/* Calls the job off; trim: what the user must be told. */
static void abort_job(guint controller, const char *id, const char *trim)
{
    char path[64];
    g_snprintf(path, sizeof path, "/v2/runs/%s/abort", id);
    expect(controller, "POST", path, NULL, 200, trim);
}

/* Another controller, not heard here, cancels the job. */
static void cancel_elsewhere(const char *id)
{
    char key[64];
    g_snprintf(key, sizeof key, "jobs/%s", id);
    uint64_t revision = services_revision(fixture->services, key);
    assert_int_equal(services_apply(fixture->services, records_abort(id, revision, 2)), KV_OK);
}

static bool is_noted(guint controller, const char *id)
{
    pthread_mutex_lock(&fixture->controllers[controller]->lock);
    bool noted =
        g_hash_table_contains(fixture->controllers[controller]->jobs.cancellations.listed, id);
    pthread_mutex_unlock(&fixture->controllers[controller]->lock);
    return noted;
}

/* Whether the controller stops the job's tasks, whatever it hears of the key-value store. */
static bool is_stopped(guint controller, const char *id)
{
    pthread_mutex_lock(&fixture->controllers[controller]->lock);
    bool stopped = g_hash_table_contains(fixture->controllers[controller]->jobs.terminal, id) &&
                   !g_hash_table_contains(fixture->controllers[controller]->jobs.live, id);
    pthread_mutex_unlock(&fixture->controllers[controller]->lock);
    return stopped;
}

static uint64_t count_noted(guint controller)
{
    pthread_mutex_lock(&fixture->controllers[controller]->lock);
    uint64_t count = fixture->controllers[controller]->jobs.cancellations.newest;
    pthread_mutex_unlock(&fixture->controllers[controller]->lock);
    return count;
}

/* Whatever the road on which a user is told "cancelled", the siblings can hear of it from then on:
 * it was noted only where the controller's own commit had been answered. */
static void test_every_road_to_cancelled_is_logged(void **state)
{
    (void)state;
    begin_ready(1);
    const char *ids[] = {"j-000001", "j-000002", "j-000003", "j-000004", "j-000005"};
    for (guint i = 0; i < G_N_ELEMENTS(ids); i++)
        submit(0, ids[i]);
    abort_job(0, ids[0], "cancelled"); /* an abort, and its repeat from the cache */
    assert_true(is_noted(0, ids[0]));
    abort_job(0, ids[0], "cancelled");
    assert_int_equal(count_noted(0), 1);
    services_swallow(fixture->services, "ended/j-000002"); /* its commit's answer is lost */
    abort_job(0, ids[1], "cancelled");
    assert_true(is_noted(0, ids[1]));
    cancel_elsewhere(ids[2]);
    expect(0, "GET", "/v2/runs/j-000003", NULL, 200, "cancelled");
    assert_true(is_noted(0, ids[2]));
    cancel_elsewhere(ids[3]);
    expect(0, "POST", "/v2/runs", job_body(ids[3]), 200, "cancelled");
    assert_true(is_noted(0, ids[3]));
    cancel_elsewhere(ids[4]);
    abort_job(0, ids[4], "cancelled");
    assert_true(is_noted(0, ids[4]));
    assert_int_equal(count_noted(0), 5);
}

/* An outage begins with the commit of a cancellation: no change of jobs/ is heard. The controller
 * that told it stops the tasks all the same, and a list from before does not bring the job back. */
static void test_a_controller_stops_what_it_confirmed_as_cancelled(void **state)
{
    (void)state;
    begin_ready(1);
    submit(0, "j-000001");
    submit(0, "j-000002");
    services_mute(fixture->services);
    abort_job(0, "j-000001", "cancelled");
    assert_true(is_stopped(0, "j-000001"));
    assert_false(is_stopped(0, "j-000002"));
    pthread_mutex_lock(&fixture->controllers[0]->lock);
    job_spec_t old = {.id = "j-000001", .tasks = 2};
    job_directory_add(fixture->controllers[0], &old, 1);
    pthread_mutex_unlock(&fixture->controllers[0]->lock);
    assert_true(is_stopped(0, "j-000001"));
}

/* A worker's heartbeat with one task, running; the answer's commands, or NULL where it was not 200.
 */
static json_t *send_heartbeat_with_task(guint controller, json_int_t number, const char *task)
{
    json_t *answer = NULL;
    json_t *body =
        json_pack("{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:[{s:s,s:I,s:s}]}", "Winch", "m-000001",
                  "Address", "127.0.0.1:1", "Hull", "t16", "Dock", "zone-a", "Driftwood", 1,
                  "Watch", (json_int_t)1, "Tally", number, "Helm", (json_int_t)0, "Pieces", "Piece",
                  task, "Heave", (json_int_t)1, "Trim", "running");
    int status = send_request(controller, "POST", "/hello", body, &answer);
    json_t *commands = status == 200 ? json_incref(json_object_get(answer, "Calls")) : NULL;
    json_decref(answer);
    json_decref(body);
    return commands;
}

/* The key-value store refuses one controller alone; a job is cancelled through the other. The first
 * hears of it, and the answers by which it keeps its workers alive stop the job's tasks. */
static void test_a_controller_that_is_refused_alone_stops_what_its_sibling_cancelled(void **state)
{
    (void)state;
    begin_ready(2);
    submit(0, "j-000001");
    submit(0, "j-000002");
    bool known = false;
    while (!known) { /* controller 1 follows the jobs, and is of the view */
        pthread_mutex_lock(&fixture->controllers[1]->lock);
        known = g_hash_table_size(fixture->controllers[1]->jobs.live) == 2 &&
                fixture->controllers[1]->membership.view.count == 2;
        pthread_mutex_unlock(&fixture->controllers[1]->lock);
        controller_sleep(POLL_MS);
    }
    services_refuse(fixture->services, 1, true);
    abort_job(0, "j-000001", "cancelled");
    while (!is_noted(1, "j-000001"))
        controller_sleep(POLL_MS);
    json_t *commands = NULL;
    json_int_t number = 0;
    while (!commands && !(commands = send_heartbeat_with_task(1, ++number, "j-000001/0")))
        controller_sleep(POLL_MS);
    assert_int_equal(json_array_size(commands), 1);
    assert_string_equal(json_string_value(json_object_get(json_array_get(commands, 0), "Call")),
                        "stop");
    json_decref(commands);
    expect(1, "GET", "/v2/runs/j-000001", NULL, 200, "cancelled"); /* it can tell, too */
}

/* Heartbeats until the machine runs so many tasks, to whichever controller it is sent; between
 * reports there is time for pushed commands. */
static void send_heartbeats_until(fake_machine_t *machine, guint active)
{
    static guint controller; /* an earlier test's may not be there in this one */
    controller = fixture->controllers[controller] ? controller : 0;
    do {
        json_t *answer = NULL;
        json_t *body = fake_machine_heartbeat(machine);
        int status = send_request(controller, "POST", "/hello", body, &answer);
        if (status == 200)
            fake_machine_answer(machine, answer);
        else if (status == 421)
            controller = 1 - controller;
        json_decref(answer);
        json_decref(body);
        for (guint i = 0; i < 10 && fake_machine_active(machine) != active; i++)
            controller_sleep(POLL_MS);
    } while (fake_machine_active(machine) != active);
}

/* From submission to the end, through every loop: one job completes, one is called off while it
 * runs. */
static void test_work_runs_ends_and_is_aborted(void **state)
{
    (void)state;
    begin_ready(1);
    fake_machine_t *machine = fake_machine_new("m-000001");
    send_heartbeats_until(machine, 0);
    submit(0, "j-000001");
    send_heartbeats_until(machine, 2);
    fake_machine_complete(machine);
    json_t *answer = NULL;
    const char *trim = NULL;
    while (g_strcmp0(trim, "done") != 0) {
        json_decref(answer);
        send_heartbeats_until(machine, 0);
        send_request(0, "GET", "/v2/runs/j-000001", NULL, &answer);
        trim = json_string_value(json_object_get(answer, "Trim"));
    }
    json_decref(answer);
    submit(0, "j-000002");
    send_heartbeats_until(machine, 2);
    abort_job(0, "j-000002", "cancelled");
    send_heartbeats_until(machine, 0);
    expect(0, "GET", "/v2/runs/j-000001", NULL, 200, "done");
    pthread_mutex_lock(&machine->lock);
    assert_int_equal(machine->worker->runs, 4);
    pthread_mutex_unlock(&machine->lock);
}

/* Whether the controller tells so many tasks done and running. */
static bool shows_counts(guint controller, const char *id, json_int_t done, json_int_t running)
{
    char path[64];
    json_t *answer = NULL;
    g_snprintf(path, sizeof path, "/v2/runs/%s", id);
    int status = send_request(controller, "GET", path, NULL, &answer);
    bool right = status == 200 && json_integer_value(json_object_get(answer, "done")) == done &&
                 json_integer_value(json_object_get(answer, "running")) == running &&
                 g_strcmp0(json_string_value(json_object_get(answer, "Trim")), "running") == 0;
    json_decref(answer);
    return right;
}

/* The leader counts; every controller tells. */
static void test_every_node_reports_how_many_tasks_run(void **state)
{
    (void)state;
    begin_ready(2);
    fake_machine_t *machine = fake_machine_new("m-000001");
    json_t *body = job_body("j-000001");
    json_object_set_new(body, "Pieces", json_integer(10)); /* a machine has room for eight */
    send_heartbeats_until(machine, 0);
    expect(0, "POST", "/v2/runs", body, 201, "queued");
    send_heartbeats_until(machine, 8);
    for (guint controller = 0; controller < 2; controller++)
        while (!shows_counts(controller, "j-000001", 0, 8))
            controller_sleep(POLL_MS);
    fake_machine_complete(machine);
    send_heartbeats_until(machine, 2);
    for (guint controller = 0; controller < 2; controller++)
        while (!shows_counts(controller, "j-000001", 8, 2))
            controller_sleep(POLL_MS);
    abort_job(1, "j-000001", "cancelled");
}

static json_t *job_with(const char *name, json_t *value)
{
    json_t *body = job_body("j-000009");
    if (value)
        json_object_set_new(body, name, value);
    else
        json_object_del(body, name);
    return body;
}

static kv_txn_t accepted_elsewhere(const char *id)
{
    job_spec_t spec;
    json_t *body = job_body(id);
    assert_true(codec_parse_job(body, false, &spec, NULL));
    kv_txn_t txn = records_submit(&spec);
    job_spec_clear(&spec);
    json_decref(body);
    return txn;
}

/* What can never run is never accepted, nor what lacks a field; while the machine types are not
 * known, nobody can tell. A repeat of what was accepted, an abort of what is done: the state as it
 * is. */
static void test_odd_requests_get_their_answers(void **state)
{
    (void)state;
    begin(1);
    json_t *body = job_body("j-000001");
    int status;
    while ((status = send_request(0, "POST", "/v2/runs", body, NULL)) <= HTTP_NO_ANSWER)
        controller_sleep(POLL_MS);
    assert_int_equal(status, 503);
    json_decref(body);
    services_apply(fixture->services, accepted_elsewhere("j-000007"));
    expect(0, "POST", "/v2/runs", job_body("j-000007"), 200, "queued");
    services_publish_types(fixture->services);
    wait_ready(0);
    submit(0, "j-000001");
    expect(0, "POST", "/v2/runs", job_body("j-000001"), 200, "queued");
    expect(0, "POST", "/v2/runs", job_with("Cpus", json_real(17)), 422, NULL);
    expect(0, "POST", "/v2/runs", job_with("Hulls", json_pack("[s]", "t99")), 422, NULL);
    expect(0, "POST", "/v2/runs", job_with("Hulls", json_array()), 422, NULL);
    expect(0, "POST", "/v2/runs", job_with("Dock", json_string("zone-d")), 422, NULL);
    expect(0, "POST", "/v2/runs", job_with("Crew", json_string("team-c")), 422, NULL);
    expect(0, "POST", "/v2/runs", job_with("Pieces", json_string("2")), 400, NULL);
    body = job_with("Rig", json_string("ensemble")); /* runs as a whole, or never */
    json_object_set_new(body, "Pieces", json_integer(33));
    expect(0, "POST", "/v2/runs", body, 422, NULL);
    static const char *const fields[] = {"Uid",     "Reel",  "Crew",      "Rig",   "Urgency",
                                         "Pieces",  "Cpus",  "MemGb",     "Cargo", "SamePlace",
                                         "ImageGb", "Apart", "Driftwood", "HaulS"};
    for (guint i = 0; i < G_N_ELEMENTS(fields); i++)
        expect(0, "POST", "/v2/runs", job_with(fields[i], NULL), 400, NULL);
    expect(0, "GET", "/v2/runs/j-000009", NULL, 404, NULL);
    kv_txn_t txn = kv_txn_new();
    kv_txn_put(&txn, "ended/j-000008", json_pack("{s:s}", "Trim", "done"), 0);
    services_apply(fixture->services, txn);
    abort_job(0, "j-000008", "done");
    assert_int_equal(count_noted(0), 0);
}

/* An answer as a user sees it. */
typedef struct seen {
    int status; /* 0: none came */
    curl_off_t retry_after_s;
} seen_t;

// NOLINTNEXTLINE(readability-non-const-parameter): libcurl says the type
static size_t drop(char *data, size_t size, size_t count, void *to)
{
    (void)data;
    (void)to;
    return size * count;
}

static seen_t ask(const char *method, const char *path, const char *body, gsize length)
{
    seen_t seen = {0};
    char url[256];
    long status = 0;
    CURL *curl = curl_easy_init();
    g_snprintf(url, sizeof url, "http://127.0.0.1:%u%s", fixture->ports[0], path);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, drop);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, 20000L);
    if (strcmp(method, "POST") == 0) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body ? body : "");
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, (long)length);
    }
    if (curl_easy_perform(curl) == CURLE_OK) {
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
        curl_easy_getinfo(curl, CURLINFO_RETRY_AFTER, &seen.retry_after_s);
    }
    curl_easy_cleanup(curl);
    seen.status = (int)status;
    return seen;
}

static int submit_text(const GString *text)
{
    return ask("POST", "/v2/runs", text->str, text->len).status;
}

/* A submission in which one field stands as it is written here, last. */
static GString *text_with(const char *id, const char *name, const char *raw, gsize length)
{
    json_t *body = job_body(id);
    json_object_del(body, name);
    char *text = json_dumps(body, JSON_COMPACT);
    GString *whole = g_string_new(text);
    g_string_truncate(whole, whole->len - 1);
    g_string_append_printf(whole, ",\"%s\":", name);
    g_string_append_len(whole, raw, (gssize)length);
    g_string_append_c(whole, '}');
    free(text);
    json_decref(body);
    return whole;
}

static GString *repeated(const char *left, guint count, const char *right)
{
    GString *text = g_string_new(NULL);
    for (guint i = 0; i < count; i++)
        g_string_append(text, left);
    for (guint i = 0; i < count; i++)
        g_string_append(text, right);
    return text;
}

static guint count_wrong(const GString *text, const char *name, int status)
{
    int got;
    while ((got = submit_text(text)) == 429) /* as often as the limits let it pass */
        controller_sleep(POLL_MS);
    if (got != status)
        print_error("%s: %d, not %d: %.150s\n", name, got, status, text->str + text->len / 2);
    return got != status;
}

/* What the user's program got wrong, and the answer. The same of a job that was accepted is a
 * repeat: it must be known, whatever else is said of it. */
static guint count_wrong_answers(guint number, const char *name, const GString *raw, int status)
{
    char fresh[16];
    g_snprintf(fresh, sizeof fresh, "j-%06u", 100 + number);
    GString *text = text_with(fresh, name, raw->str, raw->len);
    guint wrong = count_wrong(text, name, status);
    g_string_free(text, TRUE);
    if (strcmp(name, "Uid") == 0)
        return wrong;
    text = text_with("j-000001", name, raw->str, raw->len);
    wrong += count_wrong(text, name, 200);
    g_string_free(text, TRUE);
    return wrong;
}

// NOLINTNEXTLINE(readability-function-size): the table is the test
static void test_whatever_a_submission_says_it_gets_its_answer(void **state)
{
    (void)state;
    static const struct {
        const char *name;
        const char *raw;
        int status;
    } fields[] = {
        {"Uid", "\"j-9\"", 400},
        {"Uid", "\"j-000009\\u0000\"", 400},
        {"Uid", "9", 400},
        {"Pieces", "0", 400},
        {"Pieces", "100001", 400},
        {"Pieces", "-1", 400},
        {"Pieces", "2.0", 400},
        {"Pieces", "1e2", 400},
        {"Pieces", "18446744073709551616", 400},
        {"Pieces", "null", 400},
        {"Cpus", "NaN", 400},
        {"Cpus", "1e999", 400},
        {"Cpus", "-1e999", 400},
        {"Cpus", "-1", 400},
        {"Cpus", "0", 400},
        {"Cpus", "17", 422},
        {"Cpus", "65", 422},
        {"MemGb", "\"4\"", 400},
        {"MemGb", "65", 422},
        {"Accelerators", "1", 422},
        {"HaulS", "-Infinity", 400},
        {"KnotS", "[]", 400},
        {"TideS", "-1", 400},
        {"TideS", "true", 400},
        {"Reel", "\"\"", 400},
        {"Reel", "\"a\\u0000b\"", 400},
        {"Reel", "\"a\\nb\"", 400},
        {"Reel", "\"\\ud800\"", 201},
        {"Reel", "\"\xff\"", 400},
        {"Crew", "\"team-c\"", 422},
        {"Crew", "{}", 400},
        {"Rig", "\"sweep\\u0000\"", 400},
        {"Urgency", "\"urgent\"", 400},
        {"SamePlace", "1", 400},
        {"Driftwood", "null", 400},
        {"Hulls", "[]", 422},
        {"Hulls", "[\"t99\"]", 422},
        {"Hulls", "[\"t16\",1]", 400},
        {"Hulls", "\"t16\"", 400},
        {"Dock", "\"zone-d\"", 422},
        {"Dock", "7", 400},
        {"Unheard", "18446744073709551616", 201},
        {"Unheard", "[-1e999,1e-999,123456789012345678901234567890]", 201},
        {"Unheard", "\"\\u0000\"", 201},
        {"Unheard", "[[[[[[[[{}]]]]]]]]", 201},
        {"Unheard", "1e", 400},
    };
    begin_ready(1);
    submit(0, "j-000001");
    guint number = 0;
    guint wrong = 0;
    for (guint i = 0; i < G_N_ELEMENTS(fields); i++) {
        GString *raw = g_string_new(fields[i].raw);
        wrong += count_wrong_answers(number++, fields[i].name, raw, fields[i].status);
        g_string_free(raw, TRUE);
    }
    const struct {
        const char *name;
        GString *raw;
        int status;
    } large[] = {
        {"Unheard", repeated("[", 2000, "]"), 400},
        {"Unheard", repeated("{\"a\":", 9000, ""), 400},
        {"Reel",
         g_string_new("\"0123456789012345678901234567890123456789012345678901234567890123\""), 400},
        {"Hulls", g_string_new("[\"t16\""), 400},
        {"Unheard", repeated(" ", BODY_MAX_BYTES, ""), 400},
    };
    for (guint i = 0; i < 70; i++)
        g_string_append_printf(large[3].raw, ",\"t%u\"", 100 + i);
    g_string_append_c(large[3].raw, ']');
    g_string_append(large[4].raw, "1");
    for (guint i = 0; i < G_N_ELEMENTS(large); i++) {
        wrong += count_wrong_answers(number++, large[i].name, large[i].raw, large[i].status);
        g_string_free(large[i].raw, TRUE);
    }
    assert_int_equal(wrong, 0);
    static const char *const bodies[] = {"", "null", "[]", "7", "\"j-000001\"", "{}", "{", "job"};
    for (guint i = 0; i < G_N_ELEMENTS(bodies); i++)
        assert_int_equal(ask("POST", "/v2/runs", bodies[i], strlen(bodies[i])).status, 400);
    GString *deep = repeated("[", BODY_MAX_BYTES - 1, "");
    assert_int_equal(submit_text(deep), 400);
    assert_int_equal(ask("POST", "/hello", deep->str, deep->len).status, 400);
    g_string_free(deep, TRUE);
    wait_ready(0);
}

static void wait_until_live(guint controller, const char *id)
{
    for (bool known = false; !known; controller_sleep(POLL_MS)) {
        pthread_mutex_lock(&fixture->controllers[controller]->lock);
        known = g_hash_table_contains(fixture->controllers[controller]->jobs.live, id);
        pthread_mutex_unlock(&fixture->controllers[controller]->lock);
    }
}

/* Users' requests about a live job and unknown ones, and the most that each may ask of the state
 * service when that gives no answer, or refuses. */
static const struct {
    const char *method;
    const char *path;
    const char *id; /* of a submission; "": one that lacks all else */
    guint most;
} questions[] = {
    {"GET", "/v2/runs/j-000001", NULL, 1},        {"GET", "/v2/runs/j-000099", NULL, 1},
    {"POST", "/v2/runs/j-000001/abort", NULL, 1}, {"POST", "/v2/runs", "", 1},
    {"POST", "/v2/runs", "j-000002", 2}, /* without an answer it is looked up */
};

static seen_t ask_question(guint index)
{
    const char *id = questions[index].id;
    if (!id)
        return ask(questions[index].method, questions[index].path, NULL, 0);
    json_t *body = *id ? job_body(id) : json_pack("{s:s}", "Uid", "j-000003");
    char *text = json_dumps(body, JSON_COMPACT);
    seen_t seen = ask("POST", questions[index].path, text, strlen(text));
    free(text);
    json_decref(body);
    return seen;
}

/* Every question is told to come back, and what can't be answered is not asked again meanwhile. */
static void expect_all_put_off(void)
{
    for (guint i = 0; i < G_N_ELEMENTS(questions); i++) {
        guint before = services_asked(fixture->services);
        seen_t seen = ask_question(i);
        assert_int_equal(seen.status, 503);
        assert_true(seen.retry_after_s > 0);
        assert_in_range(services_asked(fixture->services) - before, 0, questions[i].most);
    }
}

static void *ask_about_unknown(void *data)
{
    seen_t *seen = data;
    *seen = ask("GET", "/v2/runs/j-000099", NULL, 0);
    return NULL;
}

/* More questions than threads and connections that could answer them; none is answered by the state
 * service. */
static void expect_crowd_put_off(void)
{
    enum { CROWD = REQUEST_WORKERS_COUNT + 20 };
    seen_t seen[CROWD];
    pthread_t threads[CROWD];
    for (guint i = 0; i < CROWD; i++)
        assert_int_equal(pthread_create(&threads[i], NULL, ask_about_unknown, &seen[i]), 0);
    for (guint i = 0; i < CROWD; i++) {
        pthread_join(threads[i], NULL);
        assert_int_equal(seen[i].status, 503);
        assert_true(seen[i].retry_after_s > 0);
    }
}

/* What is given up is answered, though the key-value store never answers, or refuses. */
static void test_no_answer_waits_for_the_state_service(void **state)
{
    (void)state;
    begin_ready(1);
    submit(0, "j-000001");
    wait_until_live(0, "j-000001");
    services_stall(fixture->services, true);
    expect_all_put_off();
    expect_crowd_put_off();
    services_stall(fixture->services, false);
    expect(0, "GET", "/v2/runs/j-000001", NULL, 200, "queued");
    services_refuse(fixture->services, 0, true);
    expect_all_put_off();
}

/* Above the controller's share of the key-value store's limits nothing waits for its turn: it is
 * told to come back, and nothing is asked. Questions about live jobs are asked together, whatever
 * else is asked. */
static void test_no_answer_waits_for_a_share_of_the_limits(void **state)
{
    (void)state;
    enum { OVERDRAWN = 1000000 };
    begin_ready(1);
    submit(0, "j-000001");
    wait_until_live(0, "j-000001");
    controller_t *controller = fixture->controllers[0];
    rate_limiter_charge(&controller->api_request_limiter, OVERDRAWN, clock_steady());
    rate_limiter_charge(&controller->api_write_limiter, OVERDRAWN, clock_steady());
    guint before = services_asked(fixture->services);
    const guint limited[] = {1, 3, 4}; /* a question about an unknown job, submissions */
    for (guint i = 0; i < G_N_ELEMENTS(limited); i++) {
        seen_t seen = ask_question(limited[i]);
        assert_int_equal(seen.status, 429);
        assert_true(seen.retry_after_s > 0);
    }
    assert_int_equal(services_asked(fixture->services), before);
    expect(0, "GET", "/v2/runs/j-000001", NULL, 200, "queued");
    abort_job(0, "j-000001", "cancelled");
}

/* A controller leads, is replaced, and leads again minutes later. What it scaled out at first is up
 * by then and works for other partitions, whose machine summaries it has yet to receive: taken for
 * boots that came to nothing, such machines were returned, work and all. */
static void test_a_leader_anew_knows_no_boots_of_before(void **state)
{
    (void)state;
    uint16_t peers[2] = {1, 2};
    fixture = g_new0(fixture_t, 1);
    fixture->services = services_new();
    controller_t *controller = controller_new(settings_of(0, peers, 2), policy_default());
    controller->autoscaler = autoscaler_new();
    view_t own = {.number = 1, .revision = 10, .incarnation = controller->incarnation};
    view_t other = {.number = 3, .revision = 30, .incarnation = controller->incarnation + 1};
    pthread_mutex_lock(&controller->lock);
    membership_install_view(controller, &own);
    autoscaler_add_booting(controller->autoscaler, "m-000001", "t16", "zone-a", true, 1000);
    own.number = 2;
    own.revision = 20;
    membership_install_view(controller, &own); /* the same leadership: it boots on */
    assert_int_equal(autoscaler_booting_count(controller->autoscaler), 1);
    membership_install_view(controller, &other);
    own.number = 4;
    own.revision = 40;
    membership_install_view(controller, &own);
    GPtrArray *stuck = autoscaler_stuck_instances(
        controller->autoscaler, controller->placement.machine_types, 1000 + 10 * BOOT_TIMEOUT_MS);
    assert_int_equal(stuck->len, 0);
    g_ptr_array_unref(stuck);
    pthread_mutex_unlock(&controller->lock);
}

/* A controller with one machine, alone and without its threads: the test says what time it is. */
static controller_t *owner_of_one(fake_worker_t *worker, msec_t now)
{
    fixture = g_new0(fixture_t, 1);
    fixture->services = services_new();
    controller_t *controller = controller_new(settings_of(0, (uint16_t[]){1}, 1), policy_default());
    machine_type_t machine_type = {.name = "t16", .capacity = {16, 0, 64}};
    g_array_append_val(controller->placement.machine_types, machine_type);
    controller->placement.partition =
        partition_new(controller->placement.machine_types, controller->settings->teams, 30000);
    partition_set_view(controller->placement.partition, 1);
    controller->placement.is_loaded = controller->jobs.is_synced = true;
    controller->jobs.complete_until = controller->stalls.last_observed_at = now;
    worker->fencing_token = 1;
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(worker);
    GArray *commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    assert_int_equal(partition_handle_heartbeat(controller->placement.partition, &heartbeat, false,
                                                now, commands),
                     HEARTBEAT_ACCEPTED);
    worker_heartbeat_clear(&heartbeat);
    g_array_unref(commands);
    return controller;
}

static void place_and_record(controller_t *controller, const char *job, uint64_t attempt,
                             msec_t now)
{
    placement_request_t request = {
        .need = {2, 0, 4}, .attempt = attempt, .job_revision = 5, .team = "team-a"};
    g_strlcpy(request.job, job, sizeof request.job);
    assert_non_null(partition_place(controller->placement.partition, &request, now));
    partition_batch_t *batch =
        partition_batch_take(controller->placement.partition,
                             &(partition_limits_t){20, 80, 16384, KV_TXN_VALUES_BYTES}, now);
    partition_batch_commit(controller->placement.partition, batch, attempt, now);
    partition_batch_free(batch);
}

/* What a dispatcher would take now. */
static machine_t *take(controller_t *controller, GArray *commands, msec_t now)
{
    g_array_set_size(commands, 0);
    partition_pause_starts(controller->placement.partition,
                           !worker_lease_may_start(controller, now));
    return partition_take_push(controller->placement.partition, G_MAXUINT32, now, commands);
}

/* A sender has taken a start; the process stands still, and a job is called off elsewhere. On
 * waking the start does not leave: it is judged anew, and no start goes out before it is known what
 * was cancelled meanwhile. */
static void test_a_start_taken_before_a_stall_does_not_leave_after_it(void **state)
{
    (void)state;
    msec_t begun = clock_steady();
    msec_t after_stall = begun + 3 * (msec_t)STALL_MS;
    fake_worker_t *worker = fake_worker_new("m-000001");
    controller_t *controller = owner_of_one(worker, begun);
    GArray *commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    pthread_mutex_lock(&controller->lock);
    place_and_record(controller, "j-000001", 100, begun);
    place_and_record(controller, "j-000002", 101, begun);
    assert_non_null(take(controller, commands, begun));
    assert_int_equal(commands->len, 2);
    assert_true(worker_lease_may_push(controller, "m-000001", controller->placement.generation,
                                      commands, begun, begun + 5));
    assert_false(worker_lease_may_push(controller, "m-000001", controller->placement.generation,
                                       commands, begun, after_stall));
    assert_null(take(controller, commands, after_stall)); /* it does not know yet */
    assert_null(take(controller, commands, after_stall + 100));
    job_directory_remove(controller, "j-000001");
    controller->jobs.complete_until =
        after_stall + 50; /* the follow that began after it woke was answered */
    assert_non_null(take(controller, commands, after_stall + 200));
    assert_int_equal(commands->len, 1);
    assert_string_equal(g_array_index(commands, worker_command_t, 0).job, "j-000002");
    pthread_mutex_unlock(&controller->lock);
    g_array_unref(commands);
    fake_worker_free(worker);
}

/* Whether both controllers know the job as live. */
static bool is_followed(const char *id)
{
    bool followed = true;
    for (guint i = 0; i < 2; i++) {
        pthread_mutex_lock(&fixture->controllers[i]->lock);
        followed = followed && g_hash_table_contains(fixture->controllers[i]->jobs.live, id);
        pthread_mutex_unlock(&fixture->controllers[i]->lock);
    }
    return followed;
}

/* Asks one controller about a live job again and again, so that its gathered questions never rest.
 */
static void *ask_on(void *data)
{
    atomic_bool *ends = data;
    http_client_t *client = http_client_new(1);
    char url[256];
    g_snprintf(url, sizeof url, "http://127.0.0.1:%u/v2/runs/j-000009", fixture->ports[1]);
    while (!atomic_load(ends))
        http_call(client, "GET", url, NULL, 10000, NULL);
    return NULL;
}

/* Every question about the job that the controller can be asked, with the same answer. */
static void expect_everywhere(const char *id, const char *trim)
{
    char path[64];
    g_snprintf(path, sizeof path, "/v2/runs/%s", id);
    for (guint controller = 0; controller < 2; controller++) {
        expect(controller, "GET", path, NULL, 200, trim);
        expect(controller, "POST", "/v2/runs", job_body(id), 200, trim);
        if (strcmp(trim, "queued") != 0)
            abort_job(controller, id, trim);
    }
}

static kv_txn_t end_of(const char *id)
{
    char key[64];
    kv_txn_t txn = kv_txn_new();
    g_snprintf(key, sizeof key, "jobs/%s", id);
    kv_txn_delete(&txn, key);
    g_snprintf(key, sizeof key, "ended/%s", id);
    kv_txn_put(&txn, key, json_pack("{s:s}", "Trim", "done"), 0);
    return txn;
}

/* Users ask both controllers at once after a job was accepted, ended or confirmed as cancelled, and
 * repeat the submission. What the controllers hold in memory is out of date: they hear of no
 * change. Neither answers anything older than the other told. */
static void test_no_controller_answers_older_than_another(void **state)
{
    (void)state;
    begin_ready(2);
    const char *known[] = {"j-000001", "j-000002", "j-000003", "j-000009"};
    for (guint i = 0; i < G_N_ELEMENTS(known); i++) {
        submit(i % 2, known[i]);
        expect_everywhere(known[i], "queued");
        while (!is_followed(known[i]))
            controller_sleep(POLL_MS);
    }
    services_mute(fixture->services);
    atomic_bool ends = false;
    pthread_t asker;
    assert_int_equal(pthread_create(&asker, NULL, ask_on, &ends), 0);
    abort_job(0, "j-000001", "cancelled");
    expect_everywhere("j-000001", "cancelled");
    services_swallow(fixture->services, "ended/j-000002"); /* the answer to its commit is lost */
    abort_job(1, "j-000002", "cancelled");
    expect_everywhere("j-000002", "cancelled");
    services_apply(fixture->services, end_of("j-000003"));
    expect_everywhere("j-000003", "done");
    submit(0, "j-000004");
    expect_everywhere("j-000004", "queued");
    abort_job(1, "j-000004", "cancelled");
    expect_everywhere("j-000004", "cancelled");
    services_swallow(fixture->services, "jobs/j-000005");
    expect(1, "POST", "/v2/runs", job_body("j-000005"), 200, "queued");
    expect_everywhere("j-000005", "queued");
    services_apply(fixture->services, end_of("j-000005"));
    expect_everywhere("j-000005", "done");
    atomic_store(&ends, true);
    pthread_join(asker, NULL);
}

/* More jobs end than the lists hold. What fell out of them is read again, and answered as before.
 */
static void test_lists_that_overflow_cost_reads_only(void **state)
{
    (void)state;
    begin_ready(1);
    submit(0, "j-000001");
    submit(0, "j-000002");
    abort_job(0, "j-000001", "cancelled");
    services_apply(fixture->services, end_of("j-000002"));
    expect(0, "GET", "/v2/runs/j-000002", NULL, 200, "done");
    controller_t *controller = fixture->controllers[0];
    pthread_mutex_lock(&controller->lock);
    for (guint i = 0; i < TERMINAL_JOBS_COUNT + TERMINAL_STATE_CACHE_COUNT; i++) {
        char id[ID_BYTES];
        g_snprintf(id, sizeof id, "j-1%05u", i);
        job_directory_record_terminal(controller, id, i % 4 != 0);
    }
    assert_false(g_hash_table_contains(controller->jobs.terminal_states, "j-000001"));
    assert_false(g_hash_table_contains(controller->jobs.terminal, "j-000001"));
    assert_in_range(g_hash_table_size(controller->jobs.terminal_states), 1,
                    TERMINAL_STATE_CACHE_COUNT);
    assert_in_range(g_hash_table_size(controller->jobs.terminal), 1, TERMINAL_JOBS_COUNT);
    assert_in_range(g_queue_get_length(controller->jobs.cancellations.entries), 1,
                    CANCELLATION_LOG_COUNT);
    pthread_mutex_unlock(&controller->lock);
    expect(0, "POST", "/v2/runs", job_body("j-000001"), 200, "cancelled");
    expect(0, "GET", "/v2/runs/j-000001", NULL, 200, "cancelled");
    expect(0, "POST", "/v2/runs", job_body("j-000002"), 200, "done");
    abort_job(0, "j-000002", "done");
    assert_true(is_noted(0, "j-000001")); /* it was told once more */
}

/* One heartbeat of the worker to the controller that it stays with; on any answer but 200 it turns
 * to the other. */
static void send_heartbeat_somewhere(fake_machine_t *machine, guint *at)
{
    json_t *answer = NULL;
    json_t *body = fake_machine_heartbeat(machine);
    if (send_request(*at, "POST", "/hello", body, &answer) == 200)
        fake_machine_answer(machine, answer);
    else
        *at = 1 - *at;
    json_decref(answer);
    json_decref(body);
}

static void send_heartbeats_until_active(fake_machine_t *machine, guint *at, guint active)
{
    do {
        send_heartbeat_somewhere(machine, at);
        for (guint i = 0; i < 10 && fake_machine_active(machine) != active; i++)
            controller_sleep(POLL_MS);
    } while (fake_machine_active(machine) != active);
}

static guint runs_of(fake_machine_t *machine)
{
    pthread_mutex_lock(&machine->lock);
    guint runs = machine->worker->runs;
    pthread_mutex_unlock(&machine->lock);
    return runs;
}

/* Every third transaction is carried out and its answer lost, from the first view on: submissions,
 * records of starts, ends, cancellations, members and views. Both controllers answer, each task
 * starts once, and what was told stays. */
static void test_lost_answers_change_nothing(void **state)
{
    (void)state;
    guint at = 0;
    prepare();
    services_lose_answers(fixture->services, 3);
    services_publish_types(fixture->services);
    start_nodes(2);
    wait_ready(0);
    wait_ready(1);
    fake_machine_t *machine = fake_machine_new("m-000001");
    send_heartbeats_until_active(machine, &at, 0);
    for (guint i = 1; i <= 4; i++) {
        char id[ID_BYTES];
        char path[64];
        json_t *answer = NULL;
        const char *trim = NULL;
        g_snprintf(id, sizeof id, "j-%06u", i);
        g_snprintf(path, sizeof path, "/v2/runs/%s", id);
        json_t *body = job_body(id);
        int status;
        while ((status = send_request(i % 2, "POST", "/v2/runs", body, NULL)) == 503)
            controller_sleep(POLL_MS);
        assert_true(status == 201 || status == 200);
        json_decref(body);
        expect(1 - i % 2, "GET", path, NULL, 200, NULL);
        send_heartbeats_until_active(machine, &at, 2);
        if (i % 2) {
            abort_job(1, id, "cancelled");
            expect_everywhere(id, "cancelled");
            send_heartbeats_until_active(machine, &at, 0);
            continue;
        }
        fake_machine_complete(machine);
        while (g_strcmp0(trim, "done") != 0) {
            json_decref(answer);
            answer = NULL;
            send_heartbeats_until_active(machine, &at, 0);
            send_request(0, "GET", path, NULL, &answer);
            trim = json_string_value(json_object_get(answer, "Trim"));
        }
        json_decref(answer);
        expect_everywhere(id, "done");
    }
    assert_int_equal(runs_of(machine), 8);
}

/* With the lock of that controller held: the index of the member that owns the machine. */
static guint owner_of_machine(const controller_t *controller)
{
    const char *name = controller->membership.view
                           .members[membership_owner_index(controller, "m-000001", "zone-a")]
                           .name;
    return (guint)(name[strlen(name) - 1] - '0');
}

static guint current_owner(guint at)
{
    pthread_mutex_lock(&fixture->controllers[at]->lock);
    guint owner = owner_of_machine(fixture->controllers[at]);
    pthread_mutex_unlock(&fixture->controllers[at]->lock);
    return owner;
}

/* The leader takes the machine from its owner, and the job that runs there is cancelled while it
 * changes hands, through the one that is to own it: its new owner stops the tasks, and starts none
 * of them again. */
static void test_a_cancellation_reaches_work_that_changes_hands(void **state)
{
    (void)state;
    guint at = 0;
    begin_ready(2);
    for (guint i = 0; i < 2; i++) {
        bool both = false;
        while (!both) {
            pthread_mutex_lock(&fixture->controllers[i]->lock);
            both = fixture->controllers[i]->membership.view.count == 2;
            pthread_mutex_unlock(&fixture->controllers[i]->lock);
            controller_sleep(POLL_MS);
        }
    }
    fake_machine_t *machine = fake_machine_new("m-000001");
    submit(0, "j-000001");
    submit(1, "j-000002");
    send_heartbeats_until_active(machine, &at, 4);
    guint owner = current_owner(0);
    msec_t until = clock_steady() + EXCLUDED_MS;
    for (guint i = 0; i < 2; i++) { /* the leader is one of them */
        pthread_mutex_lock(&fixture->controllers[i]->lock);
        char name[ID_BYTES];
        g_snprintf(name, sizeof name, "controller-%u", owner);
        g_hash_table_insert(fixture->controllers[i]->membership.election.excluded, g_strdup(name),
                            g_memdup2(&until, sizeof until));
        pthread_cond_broadcast(&fixture->controllers[i]->membership.changed);
        pthread_mutex_unlock(&fixture->controllers[i]->lock);
    }
    abort_job(1 - owner, "j-000001", "cancelled");
    send_heartbeats_until_active(machine, &at, 2);
    while (current_owner(0) == owner)
        controller_sleep(POLL_MS);
    abort_job(owner, "j-000002", "cancelled");
    send_heartbeats_until_active(machine, &at, 0);
    assert_int_equal(runs_of(machine), 4);
    expect_everywhere("j-000001", "cancelled");
    expect_everywhere("j-000002", "cancelled");
}

/* A controller that begins in an outage has had no answer of the key-value store. The others took
 * its start for one, each believed to be refused alone, and all turned their users away. */
static void test_a_controller_that_has_just_begun_vouches_for_no_answer(void **state)
{
    (void)state;
    uint16_t peers[2] = {1, 2};
    prepare();
    msec_t now = clock_steady();
    const controller_t *fresh = controller_new(settings_of(0, peers, 2), policy_default());
    msec_t age = clock_steady() - atomic_load(&fresh->kv_store.answered_at);
    connectivity_t other = {.kv_answered_at = now - 2 * (msec_t)ISOLATED_AFTER_MS,
                            .peer_message_at = now,
                            .siblings_kv_answered_at = now - age};
    assert_int_equal(connectivity_judge(&other, now), CONNECTIVITY_OUTAGE);
    connectivity_t own = worker_lease_connectivity(fresh);
    assert_int_not_equal(connectivity_judge(&own, now), CONNECTIVITY_GOOD);
}

/* Each thread costs a start-up some of its share: those for users and for commands begin with the
 * first request and the first command. */
static void test_threads_start_as_they_are_needed(void **state)
{
    (void)state;
    begin_ready(1);
    pthread_mutex_lock(&fixture->controllers[0]->lock);
    assert_int_equal(fixture->controllers[0]->requests.worker_count, 0);
    assert_int_equal(fixture->controllers[0]->dispatch.started, 0);
    pthread_mutex_unlock(&fixture->controllers[0]->lock);
    fake_machine_t *machine = fake_machine_new("m-000001");
    send_heartbeats_until(machine, 0);
    submit(0, "j-000001");
    send_heartbeats_until(machine, 2);
    pthread_mutex_lock(&fixture->controllers[0]->lock);
    assert_in_range(fixture->controllers[0]->requests.worker_count, 1, REQUEST_WORKERS_COUNT);
    assert_int_equal(__builtin_popcount(fixture->controllers[0]->dispatch.started), 1);
    pthread_mutex_unlock(&fixture->controllers[0]->lock);
}

/* A caller that has nothing of the controller's log yet. */
static peer_message_t ask_heartbeat(controller_t *controller, uint64_t incarnation, uint64_t index)
{
    peer_message_t call = {.sender = "controller-1",
                           .is_heartbeat = true,
                           .acknowledged_incarnation = incarnation,
                           .acknowledged_index = index};
    peer_message_t answer;
    GByteArray *frame = peer_heartbeat_answer(controller, &call);
    assert_true(peer_decode(frame->data, frame->len, &answer));
    g_byte_array_unref(frame);
    return answer;
}

/* An answer to a heartbeat waits for news, and says for how long it waited: the caller counts what
 * it learned from then on. With news it leaves at once. */
static void test_a_heartbeat_is_answered_at_once_where_there_is_news(void **state)
{
    (void)state;
    uint16_t peers[2] = {1, 2};
    prepare();
    controller_t *controller = controller_new(settings_of(0, peers, 2), policy_default());
    peer_message_t first = ask_heartbeat(controller, 0, 0);
    assert_int_equal(first.hold_ms, 0);
    peer_message_t second =
        ask_heartbeat(controller, first.update.incarnation, first.update.last_index);
    assert_true(second.hold_ms >= PEER_HEARTBEAT_HOLD_MS);
    pthread_mutex_lock(&controller->lock);
    job_directory_record_terminal(controller, "j-000001", false);
    pthread_mutex_unlock(&controller->lock);
    peer_message_t third =
        ask_heartbeat(controller, second.update.incarnation, second.update.last_index);
    assert_int_equal(third.hold_ms, 0);
    assert_int_equal(third.update.jobs->len, 1);
    peer_message_clear(&first);
    peer_message_clear(&second);
    peer_message_clear(&third);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_every_road_to_cancelled_is_logged),
        cmocka_unit_test(test_a_controller_stops_what_it_confirmed_as_cancelled),
        cmocka_unit_test(test_a_controller_that_is_refused_alone_stops_what_its_sibling_cancelled),
        cmocka_unit_test(test_work_runs_ends_and_is_aborted),
        cmocka_unit_test(test_every_node_reports_how_many_tasks_run),
        cmocka_unit_test(test_odd_requests_get_their_answers),
        cmocka_unit_test(test_whatever_a_submission_says_it_gets_its_answer),
        cmocka_unit_test(test_no_answer_waits_for_the_state_service),
        cmocka_unit_test(test_no_answer_waits_for_a_share_of_the_limits),
        cmocka_unit_test(test_a_leader_anew_knows_no_boots_of_before),
        cmocka_unit_test(test_a_start_taken_before_a_stall_does_not_leave_after_it),
        cmocka_unit_test(test_no_controller_answers_older_than_another),
        cmocka_unit_test(test_lists_that_overflow_cost_reads_only),
        cmocka_unit_test(test_lost_answers_change_nothing),
        cmocka_unit_test(test_a_cancellation_reaches_work_that_changes_hands),
        cmocka_unit_test(test_a_controller_that_has_just_begun_vouches_for_no_answer),
        cmocka_unit_test(test_a_heartbeat_is_answered_at_once_where_there_is_news),
        cmocka_unit_test(test_threads_start_as_they_are_needed),
    };
    signal(SIGPIPE, SIG_IGN);
    http_start();
    int failed = cmocka_run_group_tests_name("node", tests, NULL, NULL);
    fflush(NULL);
    _exit(failed);
}
