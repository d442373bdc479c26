/* Sends pushed commands: starts and stops reach their worker at once, reports are the fallback.
 *
 * A process may stand still between taking commands and sending them, while a job is cancelled
 * elsewhere. So they are judged again right before they leave. What remains is a stall within the
 * call itself, or the way there: such a start is under way when the job is cancelled, like any that
 * a network holds up. Its record stands until proof, the stop that follows the cancellation repeats
 * for as long as the worker lists it, and after a lease the worker epoch that it was sent for is
 * over.
 */
#include <string.h>

#include "controller/controller.h"
#include "controller/placement/command_dispatcher.h"
#include "controller/threads.h"
#include "controller/worker_lease.h"
#include "io/clock.h"
#include "io/codec/codec.h"
#include "io/log.h"

/* One exchange, copied out under the lock. */
typedef struct push {
    char machine[ID_BYTES];
    char url[URL_BYTES];
    uint64_t fencing_token;
    uint64_t worker_epoch;
    uint64_t generation;
} push_t;

static void finish(controller_t *controller, const push_t *push, const GArray *commands, int status,
                   const http_client_t *client)
{
    worker_heartbeat_t heartbeat = {0};
    gsize length;
    const char *answer = http_answer(client, &length);
    bool reported =
        status > HTTP_NO_ANSWER && codec_parse_worker_heartbeat(answer, length, &heartbeat, NULL);
    push_result_t result = status == HTTP_OK && reported                           ? PUSH_EXECUTED
                           : status == HTTP_CONFLICT || status == HTTP_BAD_REQUEST ? PUSH_REFUSED
                           : status == HTTP_NOT_SENT                               ? PUSH_NOT_SENT
                                                     : PUSH_UNANSWERED;
    log_debug("event=commands_pushed machine=%s commands=%u status=%d", push->machine,
              commands->len, status);
    pthread_mutex_lock(&controller->lock);
    /* A view loaded meanwhile has its own data and a higher fencing token, under which this one is
     * void. */
    if (controller->placement.generation == push->generation && controller->placement.is_loaded) {
        partition_finish_push(controller->placement.partition, push->machine, commands,
                              push->fencing_token, result);
        msec_t now = clock_steady();
        uint64_t changes = partition_change_count(controller->placement.partition);
        if (reported && strcmp(heartbeat.machine, push->machine) == 0 &&
            partition_handle_heartbeat(controller->placement.partition, &heartbeat, true, now,
                                       NULL) == HEARTBEAT_ACCEPTED &&
            result == PUSH_EXECUTED)
            partition_record_probe_answer(controller->placement.partition, push->machine, now);
        if (partition_change_count(controller->placement.partition) != changes)
            controller_notify_placement(controller);
    }
    pthread_mutex_unlock(&controller->lock);
    worker_heartbeat_clear(&heartbeat);
}

static bool may_push(controller_t *controller, const push_t *push, const GArray *commands,
                     msec_t taken)
{
    pthread_mutex_lock(&controller->lock);
    bool may = worker_lease_may_push(controller, push->machine, push->generation, commands, taken,
                                     clock_steady());
    pthread_mutex_unlock(&controller->lock);
    if (!may)
        log_info("event=commands_discarded machine=%s commands=%u", push->machine, commands->len);
    return may;
}

/* A sender. It keeps connections to the machines of its dispatcher, and serves others only while
 * their sender is busy. */
typedef struct dispatcher {
    controller_t *controller;
    guint dispatcher_index;
} dispatcher_t;

/* With the lock held. Machines come into reach again without a notice, so one idle dispatcher looks
 * for them now and then; the others wait until they are notified. */
static void wait_for_commands(const dispatcher_t *dispatcher)
{
    controller_t *controller = dispatcher->controller;
    pthread_cond_t *condition = &controller->dispatch.ready[dispatcher->dispatcher_index];
    command_dispatcher_notify(
        controller); /* of what was left to those who have become idle meanwhile */
    controller->dispatch.idle |= 1U << dispatcher->dispatcher_index;
    if (controller->dispatch.has_polling) {
        pthread_cond_wait(condition, &controller->lock);
        controller->dispatch.idle &= ~(1U << dispatcher->dispatcher_index);
        return;
    }
    controller->dispatch.has_polling = true;
    controller_wait(controller, condition, DISPATCHER_IDLE_MS);
    controller->dispatch.has_polling = false;
    controller->dispatch.idle &= ~(1U << dispatcher->dispatcher_index);
}

/* With the lock held: the next machine of this sender's, or of one that is busy. */
static machine_t *take_commands(const dispatcher_t *dispatcher, msec_t now, GArray *commands)
{
    controller_t *controller = dispatcher->controller;
    if (!controller->placement.is_loaded)
        return NULL;
    partition_pause_starts(controller->placement.partition,
                           !worker_lease_may_start(controller, now));
    uint32_t dispatchers = 1U << dispatcher->dispatcher_index | ~controller->dispatch.idle;
    return partition_take_push(controller->placement.partition, dispatchers, now, commands);
}

static void *dispatcher_run(void *data)
{
    const dispatcher_t *dispatcher = data;
    controller_t *controller = dispatcher->controller;
    http_client_t *client = http_client_new(controller->settings->dispatcher_connections);
    http_client_hurry(client, PUSH_CONNECT_TIMEOUT_MS);
    GArray *commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    for (;;) {
        g_array_set_size(commands, 0);
        pthread_mutex_lock(&controller->lock);
        msec_t now = clock_steady();
        machine_t *machine = take_commands(dispatcher, now, commands);
        if (!machine) {
            wait_for_commands(dispatcher);
            pthread_mutex_unlock(&controller->lock);
            continue;
        }
        push_t push = {.fencing_token = controller->membership.view.number,
                       .worker_epoch = machine_worker_epoch(machine),
                       .generation = controller->placement.generation};
        g_strlcpy(push.machine, machine_id(machine), sizeof push.machine);
        g_snprintf(push.url, sizeof push.url, "http://%s/do", machine_address(machine));
        pthread_mutex_unlock(&controller->lock);
        json_t *body = codec_build_pushed_commands(push.fencing_token, push.worker_epoch, commands);
        if (!may_push(controller, &push, commands, now)) {
            json_decref(body);
            continue;
        }
        msec_t sent = clock_steady();
        int status = http_call(client, "POST", push.url, body, PUSH_TIMEOUT_MS, NULL);
        metrics_time(controller->metrics, TIME_PUSH, clock_steady() - sent);
        metrics_count(controller->metrics,
                      status <= HTTP_NO_ANSWER ? COUNT_PUSHES_UNANSWERED : COUNT_PUSHES, 1);
        json_decref(body);
        finish(controller, &push, commands, status, client);
    }
    return NULL;
}

static void dispatcher_notify(controller_t *controller, guint dispatcher_index)
{
    if (controller->dispatch.started >> dispatcher_index & 1) {
        pthread_cond_signal(&controller->dispatch.ready[dispatcher_index]);
        return;
    }
    dispatcher_t *dispatcher = g_new(dispatcher_t, 1);
    *dispatcher = (dispatcher_t){controller, dispatcher_index};
    controller->dispatch.started |= 1U << dispatcher_index;
    controller->dispatch.idle &= ~(1U << dispatcher_index);
    threads_start("dispatcher", dispatcher_run, dispatcher);
}

void command_dispatcher_notify(controller_t *controller)
{
    if (!controller->placement.is_loaded)
        return;
    uint32_t dispatchers =
        partition_due_dispatchers(controller->placement.partition, clock_steady());
    uint32_t chosen = dispatchers & controller->dispatch.idle;
    uint32_t others = controller->dispatch.idle & ~chosen;
    /* A busy sender may be held up by a machine that hangs. */
    for (uint32_t busy = dispatchers & ~chosen; busy && others; busy &= busy - 1) {
        chosen |= others & -others;
        others &= others - 1;
    }
    for (guint i = 0; i < DISPATCHERS_COUNT; i++)
        if (chosen >> i & 1)
            dispatcher_notify(controller, i);
}
