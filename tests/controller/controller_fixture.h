/* Whole controllers with fakes of the key-value store and the cloud over real sockets. A test waits
 * until what it expects has come about, so its verdict depends on no time. Controllers never end:
 * the process exits without them. */
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
    uint16_t ports[FIXTURE_CONTROLLERS]; /* on which users and workers are served */
} fixture_t;

/* A worker, and the controller to which it sends its heartbeats. */
typedef struct worker_client {
    fake_machine_t *machine;
    guint controller;
    bool turns_only_when_redirected; /* else on any answer but 200 */
} worker_client_t;

/* Setups of a test: *state is the fixture. */
int setup_fakes(void **state);           /* no controller */
int setup_one_controller(void **state);  /* one that is ready */
int setup_two_controllers(void **state); /* two that are ready */

/* Runs the tests, and ends the process with the number of those that failed. */
void fixture_run_tests(const char *name, const struct CMUnitTest *tests, size_t count)
    __attribute__((noreturn));

/* A controller without threads, one of so many, whose time the test chooses. */
controller_t *fixture_new_idle_controller(const fixture_t *fixture, guint count);
/* Starts so many controllers. */
void fixture_start_controllers(fixture_t *fixture, guint count);
void fixture_wait_until_ready(const fixture_t *fixture, guint controller);
/* Locks the controller, and returns it. */
controller_t *fixture_lock(const fixture_t *fixture, guint controller);
void fixture_unlock(controller_t *controller);

/* Sends a request to a controller. Returns as http_call; body and answer as there. */
int fixture_request(const fixture_t *fixture, guint controller, const char *method,
                    const char *path, const json_t *body, json_t **answer);
/* Expects that status, and in the answer that state of the job (NULL: any), once the request is
 * served: it is sent again while the answer is to retry later, as users do. Consumes the body. */
void fixture_expect(const fixture_t *fixture, guint controller, const char *method,
                    const char *path, json_t *body, int status, const char *job_state);

/* The submission of a job of two tasks; the caller's. */
json_t *fixture_job(const char *id);
/* Submits such a job, which must be accepted. */
void fixture_submit(const fixture_t *fixture, guint controller, const char *id);
/* Cancels the job; job_state: what the answer must be. */
void fixture_cancel(const fixture_t *fixture, guint controller, const char *id,
                    const char *job_state);
/* Expects the same answer to every request about the job, from both controllers. */
void fixture_expect_everywhere(const fixture_t *fixture, const char *id, const char *job_state);
/* Waits until the job is done, while the worker sends its heartbeats. */
void fixture_wait_until_done(const fixture_t *fixture, worker_client_t *worker, const char *id);

/* Whether the controller's cancellation log has the job. */
bool fixture_is_cancellation_logged(const fixture_t *fixture, guint controller, const char *id);
/* The entries that the controller's cancellation log has had so far. */
uint64_t fixture_logged_cancellations(const fixture_t *fixture, guint controller);

/* A worker that begins with the first controller. */
worker_client_t worker_client_new(const char *id);
/* Sends heartbeats until the worker has so many active attempts; between two of them there is time
 * for pushed commands. */
void fixture_run_worker_until(const fixture_t *fixture, worker_client_t *worker, guint active);

#endif
