/* Pushes start and stop commands to workers at once. Commands that can't be pushed are sent in the
 * answers to heartbeats.
 *
 * The process may stall between taking commands and sending them, and a job may be cancelled at
 * another controller meanwhile. Whether the commands may still be sent is therefore checked again
 * right before the call. A stall within the call, or a delay on the network, is not caught by this
 * check: the start is then in transit when the job is cancelled. It is handled like any delayed
 * start. Its record is kept until the attempt is proven to be over. The stop that follows the
 * cancellation is repeated as long as the worker lists the attempt. Once the worker's lease has
 * expired, the worker epoch that the start names has ended.
 */
#include "controller/placement/command_dispatcher.h"

#include <string.h>

#include "controller/command_log.h"
#include "controller/controller.h"
#include "controller/threads.h"
#include "controller/worker_lease.h"
#include "io/clock.h"
#include "io/codec/codec.h"
#include "io/log.h"

/* One push to a machine, copied from the loaded data under the lock. */
typedef struct push {
    char machine[ID_BYTES];
    char url[URL_BYTES];
    uint64_t fencing_token;
    uint64_t worker_epoch;
    uint64_t generation; /* of the loaded data that the commands were taken from */
    msec_t taken_at;
    GArray *commands; /* of worker_command_t; transfer none: the dispatcher owns and reuses it */
} push_t;

/* A dispatcher. It keeps connections to the machines that are assigned to it, and pushes to other
 * machines only while their dispatcher is busy. */
typedef struct dispatcher {
    controller_t *controller;
    guint dispatcher_index;
} dispatcher_t;

static push_result_t push_result(int status, bool has_heartbeat)
{
    switch (status) {
    case HTTP_OK:
        return has_heartbeat ? PUSH_EXECUTED : PUSH_UNANSWERED;
    case HTTP_CONFLICT:
    case HTTP_BAD_REQUEST:
        return PUSH_REFUSED;
    case HTTP_NOT_SENT:
        return PUSH_NOT_SENT;
    default: /* any other status, or no answer */
        return PUSH_UNANSWERED;
    }
}

/* heartbeat: the body of the answer; NULL if there is no valid one. */
static void apply_push_result_locked(controller_t *controller, const push_t *push,
                                     push_result_t result, const worker_heartbeat_t *heartbeat)
{
    partition_t *partition = controller->placement.partition;
    partition_finish_push(partition, push->machine, push->commands, push->fencing_token, result);
    msec_t now = clock_steady();
    uint64_t changes = partition_change_count(partition);
    bool is_accepted =
        heartbeat && strcmp(heartbeat->machine, push->machine) == 0 &&
        partition_handle_heartbeat(partition, heartbeat, true, now, NULL) == HEARTBEAT_ACCEPTED;
    if (is_accepted && result == PUSH_EXECUTED)
        partition_record_probe_answer(partition, push->machine, now);
    if (partition_change_count(partition) != changes)
        controller_notify_placement(controller);
}

/* Records the answer to a push. The answer's body is a worker heartbeat. */
static void record_push_result(controller_t *controller, const push_t *push, int status,
                               const http_client_t *client)
{
    worker_heartbeat_t heartbeat = {0};
    gsize length;
    const char *answer = http_answer_body(client, &length);
    bool has_heartbeat =
        status > HTTP_NO_ANSWER && codec_parse_worker_heartbeat(answer, length, &heartbeat, NULL);
    log_debug("event=commands_pushed machine=%s commands=%u status=%d"
              " fencing_token=%" G_GUINT64_FORMAT " worker_epoch=%" G_GUINT64_FORMAT,
              push->machine, push->commands->len, status, push->fencing_token, push->worker_epoch);
    pthread_mutex_lock(&controller->lock);
    /* If another generation was loaded meanwhile, its data do not include this push, and the higher
     * fencing token that comes with it makes the push invalid. */
    if (controller->placement.generation == push->generation && controller->placement.is_loaded)
        apply_push_result_locked(controller, push, push_result(status, has_heartbeat),
                                 has_heartbeat ? &heartbeat : NULL);
    pthread_mutex_unlock(&controller->lock);
    worker_heartbeat_clear(&heartbeat);
}

/* Returns whether the push may still be sent. If not, its commands are returned to the partition,
 * which decides again. */
static bool recheck_push(controller_t *controller, const push_t *push)
{
    pthread_mutex_lock(&controller->lock);
    bool may_push = worker_lease_may_push(controller, push->machine, push->generation,
                                          push->commands, push->taken_at, clock_steady());
    pthread_mutex_unlock(&controller->lock);
    if (!may_push)
        log_info("event=commands_discarded machine=%s commands=%u", push->machine,
                 push->commands->len);
    return may_push;
}

static void log_push(const controller_t *controller, const push_t *push)
{
    command_target_t target = {.path = COMMANDS_PUSHED,
                               .machine = push->machine,
                               .fencing_token = push->fencing_token,
                               .worker_epoch = push->worker_epoch};
    command_log_record(controller, &target, push->commands);
}

static void send_push(controller_t *controller, const push_t *push, http_client_t *client)
{
    json_auto_t *body =
        codec_build_pushed_commands(push->fencing_token, push->worker_epoch, push->commands);
    if (!recheck_push(controller, push))
        return;
    log_push(controller, push);
    msec_t sent_at = clock_steady();
    int status = http_call(client, "POST", push->url, body, PUSH_TIMEOUT_MS, NULL);
    bool is_answered = status > HTTP_NO_ANSWER;
    metrics_time(controller->metrics, TIME_PUSH, clock_steady() - sent_at);
    metrics_count(controller->metrics, is_answered ? COUNT_PUSHES : COUNT_PUSHES_UNANSWERED, 1);
    if (status == HTTP_CONFLICT)
        metrics_count(controller->metrics, COUNT_PUSHES_REFUSED, 1);
    record_push_result(controller, push, status, client);
}

/* Waits until there may be commands to push. No event signals that a machine has become reachable
 * again, so one idle dispatcher polls for such machines; the others wait to be notified. */
static void wait_for_commands_locked(const dispatcher_t *dispatcher)
{
    dispatch_state_t *dispatch = &dispatcher->controller->dispatch;
    uint32_t own_bit = 1U << dispatcher->dispatcher_index;
    pthread_cond_t *ready = &dispatch->ready[dispatcher->dispatcher_index];
    /* Commands of busy dispatchers go to dispatchers that have become idle meanwhile. */
    command_dispatcher_notify(dispatcher->controller);
    dispatch->idle |= own_bit;
    if (dispatch->is_polled) {
        pthread_cond_wait(ready, &dispatcher->controller->lock);
    } else {
        dispatch->is_polled = true;
        controller_wait(dispatcher->controller, ready, DISPATCHER_IDLE_MS);
        dispatch->is_polled = false;
    }
    dispatch->idle &= ~own_bit;
}

/* Takes the commands of the next machine that is due and belongs to this dispatcher or to a busy
 * one. Returns that machine, transfer none, or NULL if none is due. */
static machine_t *take_commands_locked(const dispatcher_t *dispatcher, msec_t now, GArray *commands)
{
    controller_t *controller = dispatcher->controller;
    if (!controller->placement.is_loaded)
        return NULL;
    partition_pause_starts(controller->placement.partition,
                           !worker_lease_may_start(controller, now));
    uint32_t dispatchers = 1U << dispatcher->dispatcher_index | ~controller->dispatch.idle;
    return partition_take_push(controller->placement.partition, dispatchers, now, commands);
}

/* Takes the next push, with its commands, into *push. If there is none, waits until there may be
 * one and returns false. */
static bool take_push(const dispatcher_t *dispatcher, push_t *push)
{
    controller_t *controller = dispatcher->controller;
    g_array_set_size(push->commands, 0);
    pthread_mutex_lock(&controller->lock);
    push->taken_at = clock_steady();
    const machine_t *machine = take_commands_locked(dispatcher, push->taken_at, push->commands);
    if (machine) {
        push->fencing_token =
            partition_fencing_token(controller->placement.partition, machine_id(machine));
        push->worker_epoch = machine_worker_epoch(machine);
        push->generation = controller->placement.generation;
        g_strlcpy(push->machine, machine_id(machine), sizeof push->machine);
        g_snprintf(push->url, sizeof push->url, "http://%s/do", machine_address(machine));
    } else {
        wait_for_commands_locked(dispatcher);
    }
    pthread_mutex_unlock(&controller->lock);
    return machine != NULL;
}

static void *dispatcher_run(void *data)
{
    const dispatcher_t *dispatcher = data;
    controller_t *controller = dispatcher->controller;
    http_client_t *client = http_client_new(controller->settings->dispatcher_connections);
    http_client_set_connect_timeout(client, PUSH_CONNECT_TIMEOUT_MS);
    push_t push = {.commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t))};
    for (;;)
        if (take_push(dispatcher, &push))
            send_push(controller, &push, client);
    return NULL;
}

/* Wakes the dispatcher, or starts its thread if it has none yet. */
static void notify_dispatcher_locked(controller_t *controller, guint dispatcher_index)
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
    /* For each busy dispatcher whose machines have commands to push, wake another idle one, because
     * the busy one may be blocked by a machine that hangs. */
    for (uint32_t busy = dispatchers & ~chosen; busy && others; busy &= busy - 1) {
        chosen |= others & -others;
        others &= others - 1;
    }
    for (guint i = 0; i < DISPATCHERS_COUNT; i++)
        if (chosen >> i & 1)
            notify_dispatcher_locked(controller, i);
}
