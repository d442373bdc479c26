/* Runs whole controllers against fakes of the key-value store and the cloud, over real sockets.
 * Tests wait until the expected state is reached, so their results do not depend on timing.
 * Controllers are never stopped: they end with the process. */
#ifndef PEPPERPULLEY_CONTROLLER_FIXTURE_H
#define PEPPERPULLEY_CONTROLLER_FIXTURE_H

#include "controller/controller.h"
#include "fake_cloud.h"
#include "fake_kv_server.h"
#include "fake_machine.h"
#include "unit_test.h"

enum { POLL_MS = 20, FIXTURE_CONTROLLERS = 2 };

/* Never freed: the controllers' threads use it. */
typedef struct fixture {
    fake_kv_server_t *kv_server;
    fake_cloud_t *cloud;
    http_client_t *client;
    guint count; /* controllers started */
    controller_t *controllers[FIXTURE_CONTROLLERS];
    uint16_t ports[FIXTURE_CONTROLLERS]; /* of the HTTP servers for users and workers */
} fixture_t;

/* A worker, and the index of the controller to which it sends its heartbeats. */
typedef struct worker_client {
    fake_machine_t *machine;
    guint controller;
    bool switches_only_when_redirected; /* false: switches controllers on any status but 200 */
} worker_client_t;

/* Setup functions of tests. They set *state to a new fixture. */
int setup_fakes(void **state);           /* without controllers */
int setup_one_controller(void **state);  /* with one controller that is ready */
int setup_two_controllers(void **state); /* with two controllers that are ready */

/* Runs the tests and ends the process. Its exit status is the number of failed tests. */
void fixture_run_tests(const char *name, const struct CMUnitTest *tests, size_t count)
    __attribute__((noreturn));

/* Returns a controller without threads. Tests call its functions directly, with times of their own
 * choice. count: the number of controllers in its settings. */
controller_t *fixture_new_idle_controller(const fixture_t *fixture, guint count);
/* Starts count controllers. */
void fixture_start_controllers(fixture_t *fixture, guint count);
void fixture_wait_until_ready(const fixture_t *fixture, guint controller);
/* Takes the controller's lock and returns the controller. */
controller_t *fixture_lock(const fixture_t *fixture, guint controller);
void fixture_unlock(controller_t *controller);

/* Sends a request to a controller. body, answer and the returned value are those of http_call(). */
int fixture_request(const fixture_t *fixture, guint controller, const char *method,
                    const char *path, const json_t *body, json_t **answer);
/* Sends a request, and repeats it as long as it is refused with status 429 or 503, as users do.
 * Expects the status and, unless job_state is NULL, that state of the job in the answer. Consumes
 * the body. */
void fixture_expect(const fixture_t *fixture, guint controller, const char *method,
                    const char *path, json_t *body, int status, const char *job_state);

/* Returns the submission of a job of two tasks (transfer full). */
json_t *fixture_job(const char *id);
/* Submits the job that fixture_job() returns and expects that it is accepted. */
void fixture_submit(const fixture_t *fixture, guint controller, const char *id);
/* Cancels the job. job_state: the expected state of the job in the answer. */
void fixture_cancel(const fixture_t *fixture, guint controller, const char *id,
                    const char *job_state);
/* Expects both controllers to answer a status read and a repeated submission of the job with that
 * state. Unless the state is "queued", also expects this of a cancellation. */
void fixture_expect_state_everywhere(const fixture_t *fixture, const char *id,
                                     const char *job_state);
/* Sends the worker's heartbeats until the job is done and the worker has no active attempts. */
void fixture_wait_until_done(const fixture_t *fixture, worker_client_t *worker, const char *id);

/* Returns whether the controller's cancellation log contains the job. */
bool fixture_is_in_cancellation_log(const fixture_t *fixture, guint controller, const char *id);
/* Returns how many entries have been appended to the controller's cancellation log so far. */
uint64_t fixture_cancellation_log_count(const fixture_t *fixture, guint controller);

/* Returns a worker that sends its heartbeats to the first controller at first. */
worker_client_t worker_client_new(const char *id);
/* Sends the worker's heartbeats until it has that number of active attempts. Waits between two
 * heartbeats, so that pushed commands can arrive. */
void fixture_wait_for_active_attempts(const fixture_t *fixture, worker_client_t *worker,
                                      guint active);

#endif
