#include "controller_fixture.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "controller/startup.h"
#include "free_port.h"
#include "io/log.h"

enum { REQUEST_TIMEOUT_MS = 10000, POLLS_BETWEEN_HEARTBEATS = 10 };

static GArray *build_siblings(guint index, const uint16_t *peer_ports, guint count)
{
    GArray *siblings = g_array_new(FALSE, FALSE, sizeof(sibling_t));
    for (guint i = 0; i < MIN(count, FIXTURE_CONTROLLERS); i++) {
        sibling_t sibling = {.zone = "zone-a"};
        g_snprintf(sibling.name, sizeof sibling.name, "controller-%u", i);
        g_snprintf(sibling.endpoint, sizeof sibling.endpoint, "127.0.0.1:%u", peer_ports[i]);
        if (i != index)
            g_array_append_val(siblings, sibling);
    }
    return siblings;
}

static settings_t *build_settings(const fixture_t *fixture, guint index, const uint16_t *peer_ports,
                                  guint count)
{
    settings_t *settings = g_new0(settings_t, 1);
    *settings = (settings_t){.zone = "zone-a",
                             .heartbeat_interval_s = 1,
                             .lease_s = 10,
                             .cancel_s = 3600, /* longer than any test runs */
                             .kv_rps = 1000,
                             .kv_write_rps = 1000,
                             .value_kb = 16,
                             .txn_ops = 24,
                             .cloud_rps = 100,
                             .list_lag_s = 1,
                             .pause_factor = 1,
                             .dispatcher_connections = 2,
                             .connections = 100};
    g_snprintf(settings->name, sizeof settings->name, "controller-%u", index);
    g_snprintf(settings->client_listen, ADDRESS_BYTES, "127.0.0.1:%u", fixture->ports[index]);
    g_snprintf(settings->peer_listen, ADDRESS_BYTES, "127.0.0.1:%u", peer_ports[index]);
    g_snprintf(settings->cloud_address, ADDRESS_BYTES, "127.0.0.1:%u", fixture->cloud->port);
    g_snprintf(settings->kv_store_address, ADDRESS_BYTES, "127.0.0.1:%u",
               fixture->kv_server->ports[index]);
    settings->teams = g_array_new(FALSE, FALSE, sizeof(team_t));
    team_t team = {.name = "team-a", .guaranteed_cpus = 8, .max_cpus = 64};
    g_array_append_val(settings->teams, team);
    settings->slos = g_hash_table_new(g_str_hash, g_str_equal);
    settings->siblings = build_siblings(index, peer_ports, count);
    return settings;
}

controller_t *fixture_new_idle_controller(const fixture_t *fixture, guint count)
{
    static const uint16_t unused_ports[FIXTURE_CONTROLLERS] = {1, 2};
    return controller_new(build_settings(fixture, 0, unused_ports, count), policy_default());
}

int setup_fakes(void **state)
{
    fixture_t *fixture = g_new0(fixture_t, 1);
    fixture->kv_server = fake_kv_server_new();
    fixture->cloud = fake_cloud_new();
    fixture->client = http_client_new(4);
    *state = fixture;
    return 0;
}

void fixture_start_controllers(fixture_t *fixture, guint count)
{
    uint16_t peer_ports[FIXTURE_CONTROLLERS] = {0};
    for (guint i = 0; i < count; i++) {
        fixture->ports[i] = free_port();
        peer_ports[i] = free_port();
    }
    for (guint i = 0; i < count; i++) {
        settings_t *settings = build_settings(fixture, i, peer_ports, count);
        fixture->controllers[i] = controller_new(settings, policy_default());
        assert_true(controller_start(fixture->controllers[i]));
    }
    fixture->count = count;
}

static int setup_controllers(void **state, guint count)
{
    setup_fakes(state);
    fixture_t *fixture = *state;
    fixture_start_controllers(fixture, count);
    fake_cloud_publish_machine_types(fixture->cloud);
    for (guint i = 0; i < count; i++)
        fixture_wait_until_ready(fixture, i);
    return 0;
}

int setup_one_controller(void **state)
{
    return setup_controllers(state, 1);
}

int setup_two_controllers(void **state)
{
    return setup_controllers(state, 2);
}

void fixture_run_tests(const char *name, const struct CMUnitTest *tests, size_t count)
{
    if (signal(SIGPIPE, SIG_IGN) == SIG_ERR)
        abort();
    http_client_init_library();
    log_start(NULL);
    int failed = _cmocka_run_group_tests(name, tests, count, NULL, NULL);
    if (fflush(NULL) != 0)
        abort();
    _exit(failed);
}

void fixture_wait_until_ready(const fixture_t *fixture, guint controller)
{
    while (fixture_request(fixture, controller, "GET", "/ready", NULL, NULL) != HTTP_OK)
        controller_sleep(POLL_MS);
}

controller_t *fixture_lock(const fixture_t *fixture, guint controller)
{
    pthread_mutex_lock(&fixture->controllers[controller]->lock);
    return fixture->controllers[controller];
}

void fixture_unlock(controller_t *controller)
{
    pthread_mutex_unlock(&controller->lock);
}

int fixture_request(const fixture_t *fixture, guint controller, const char *method,
                    const char *path, const json_t *body, json_t **answer)
{
    char url[URL_BYTES];
    g_snprintf(url, sizeof url, "http://127.0.0.1:%u%s", fixture->ports[controller], path);
    return http_call(fixture->client, method, url, body, REQUEST_TIMEOUT_MS, answer);
}

/* Sends the request, and repeats it as long as it is refused with status 429 or 503. */
static int request_until_served(const fixture_t *fixture, guint controller, const char *method,
                                const char *path, const json_t *body, json_t **answer)
{
    for (;;) {
        int status = fixture_request(fixture, controller, method, path, body, answer);
        if (status != HTTP_UNAVAILABLE && status != HTTP_TOO_MANY_REQUESTS)
            return status;
        json_decref(*answer);
        *answer = NULL;
        controller_sleep(POLL_MS);
    }
}

void fixture_expect(const fixture_t *fixture, guint controller, const char *method,
                    const char *path, json_t *body, int status, const char *job_state)
{
    json_t *answer = NULL;
    int served = request_until_served(fixture, controller, method, path, body, &answer);
    assert_int_equal(served, status);
    if (job_state)
        assert_string_equal(json_string_value(json_object_get(answer, "Trim")), job_state);
    json_decref(answer);
    json_decref(body);
}

json_t *fixture_job(const char *id)
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

void fixture_submit(const fixture_t *fixture, guint controller, const char *id)
{
    fixture_expect(fixture, controller, "POST", "/v2/runs", fixture_job(id), 201, "queued");
}

void fixture_cancel(const fixture_t *fixture, guint controller, const char *id,
                    const char *job_state)
{
    char path[URL_BYTES];
    g_snprintf(path, sizeof path, "/v2/runs/%s/abort", id);
    fixture_expect(fixture, controller, "POST", path, NULL, 200, job_state);
}

void fixture_expect_state_everywhere(const fixture_t *fixture, const char *id,
                                     const char *job_state)
{
    char path[URL_BYTES];
    g_snprintf(path, sizeof path, "/v2/runs/%s", id);
    for (guint controller = 0; controller < 2; controller++) {
        fixture_expect(fixture, controller, "GET", path, NULL, 200, job_state);
        fixture_expect(fixture, controller, "POST", "/v2/runs", fixture_job(id), 200, job_state);
        if (strcmp(job_state, "queued") != 0)
            fixture_cancel(fixture, controller, id, job_state);
    }
}

static bool is_done(const fixture_t *fixture, const char *id)
{
    char path[URL_BYTES];
    json_t *answer = NULL;
    g_snprintf(path, sizeof path, "/v2/runs/%s", id);
    fixture_request(fixture, 0, "GET", path, NULL, &answer);
    bool is_done = g_strcmp0(json_string_value(json_object_get(answer, "Trim")), "done") == 0;
    json_decref(answer);
    return is_done;
}

void fixture_wait_until_done(const fixture_t *fixture, worker_client_t *worker, const char *id)
{
    do {
        fixture_wait_for_active_attempts(fixture, worker, 0);
    } while (!is_done(fixture, id));
}

bool fixture_is_in_cancellation_log(const fixture_t *fixture, guint controller, const char *id)
{
    controller_t *locked = fixture_lock(fixture, controller);
    bool is_logged = g_hash_table_contains(locked->jobs.cancellations.listed, id);
    fixture_unlock(locked);
    return is_logged;
}

uint64_t fixture_cancellation_log_count(const fixture_t *fixture, guint controller)
{
    controller_t *locked = fixture_lock(fixture, controller);
    uint64_t count = locked->jobs.cancellations.newest;
    fixture_unlock(locked);
    return count;
}

worker_client_t worker_client_new(const char *id)
{
    return (worker_client_t){.machine = fake_machine_new(id)};
}

static void send_heartbeat(const fixture_t *fixture, worker_client_t *worker)
{
    json_t *answer = NULL;
    json_t *body = fake_machine_heartbeat(worker->machine);
    int status = fixture_request(fixture, worker->controller, "POST", "/hello", body, &answer);
    if (status == HTTP_OK)
        fake_machine_handle_answer(worker->machine, answer);
    else if (status == HTTP_MISDIRECTED || !worker->switches_only_when_redirected)
        worker->controller = (worker->controller + 1) % fixture->count;
    json_decref(answer);
    json_decref(body);
}

void fixture_wait_for_active_attempts(const fixture_t *fixture, worker_client_t *worker,
                                      guint active)
{
    do {
        send_heartbeat(fixture, worker);
        for (guint i = 0; i < POLLS_BETWEEN_HEARTBEATS; i++) {
            if (fake_machine_active_count(worker->machine) == active)
                break;
            controller_sleep(POLL_MS);
        }
    } while (fake_machine_active_count(worker->machine) != active);
}
