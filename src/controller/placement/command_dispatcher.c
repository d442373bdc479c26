/* Pushes commands: starts and stops reach their worker at once; its heartbeats are the fallback.
 *
 * The process may stall between taking commands and sending them, while a job is cancelled
 * elsewhere. So whether they may leave is checked again right before they do. What remains is a
 * stall within the call itself, or on the way: such a start is under way when the job is cancelled,
 * like any that the network delays. Its record stands until there is proof, the stop that follows
 * the cancellation is repeated for as long as the worker lists the attempt, and when the lease has
 * run out, the worker epoch that the start was sent for is over.
 */
#include "controller/placement/command_dispatcher.h"

#include <string.h>

#include "controller/controller.h"
#include "controller/threads.h"
#include "controller/worker_lease.h"
#include "io/clock.h"
#include "io/codec/codec.h"
#include "io/log.h"

/* One push, copied out under the lock. */
typedef struct push {
    char machine[ID_BYTES];
    char url[URL_BYTES];
    uint64_t fencing_token;
    uint64_t worker_epoch;
    uint64_t generation; /* of the loaded data that it was taken from */
    msec_t taken_at;
    GArray *commands; /* of worker_command_t; transfer none: the dispatcher's, reused */
} push_t;

/* A dispatcher. It keeps connections to its machines, and serves others only while their dispatcher
 * is busy. */
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
    default: /* any other number */
        return PUSH_UNANSWERED;
    }
}

/* heartbeat: the answer's body; NULL: it has none that can be read. */
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

/* Records the answer to a push, whose body is a worker heartbeat. */
static void record_push_result(controller_t *controller, const push_t *push, int status,
                               const http_client_t *client)
{
    worker_heartbeat_t heartbeat = {0};
    gsize length;
    const char *answer = http_answer(client, &length);
    bool has_heartbeat =
        status > HTTP_NO_ANSWER && codec_parse_worker_heartbeat(answer, length, &heartbeat, NULL);
    log_debug("event=commands_pushed machine=%s commands=%u status=%d", push->machine,
              push->commands->len, status);
    pthread_mutex_lock(&controller->lock);
    /* A view that was loaded meanwhile has its own data and a higher fencing token, under which
     * this push is void. */
    if (controller->placement.generation == push->generation && controller->placement.is_loaded)
        apply_push_result_locked(controller, push, push_result(status, has_heartbeat),
                                 has_heartbeat ? &heartbeat : NULL);
    pthread_mutex_unlock(&controller->lock);
    worker_heartbeat_clear(&heartbeat);
}

/* Returns whether the push may leave; if not, its commands were given back to be decided again. */
static bool check_push_may_leave(controller_t *controller, const push_t *push)
{
    pthread_mutex_lock(&controller->lock);
    bool may_leave = worker_lease_may_push(controller, push->machine, push->generation,
                                           push->commands, push->taken_at, clock_steady());
    pthread_mutex_unlock(&controller->lock);
    if (!may_leave)
        log_info("event=commands_discarded machine=%s commands=%u", push->machine,
                 push->commands->len);
    return may_leave;
}

static void send_push(controller_t *controller, const push_t *push, http_client_t *client)
{
    json_auto_t *body =
        codec_build_pushed_commands(push->fencing_token, push->worker_epoch, push->commands);
    if (!check_push_may_leave(controller, push))
        return;
    msec_t sent_at = clock_steady();
    int status = http_call(client, "POST", push->url, body, PUSH_TIMEOUT_MS, NULL);
    bool is_answered = status > HTTP_NO_ANSWER;
    metrics_time(controller->metrics, TIME_PUSH, clock_steady() - sent_at);
    metrics_count(controller->metrics, is_answered ? COUNT_PUSHES : COUNT_PUSHES_UNANSWERED, 1);
    record_push_result(controller, push, status, client);
}

/* Waits until there may be commands to push. A machine that becomes reachable again is no event, so
 * one idle dispatcher polls for such machines; the others wait until they are notified. */
static void wait_for_commands_locked(const dispatcher_t *dispatcher)
{
    dispatch_state_t *dispatch = &dispatcher->controller->dispatch;
    uint32_t own_bit = 1U << dispatcher->dispatcher_index;
    pthread_cond_t *ready = &dispatch->ready[dispatcher->dispatcher_index];
    /* What busy dispatchers left goes to those that have become idle meanwhile. */
    command_dispatcher_notify(dispatcher->controller);
    dispatch->idle |= own_bit;
    if (dispatch->has_polling) {
        pthread_cond_wait(ready, &dispatcher->controller->lock);
    } else {
        dispatch->has_polling = true;
        controller_wait(dispatcher->controller, ready, DISPATCHER_IDLE_MS);
        dispatch->has_polling = false;
    }
    dispatch->idle &= ~own_bit;
}

/* Takes the commands of the next machine of this dispatcher's, or of a busy dispatcher's. Returns
 * that machine, transfer none; NULL: none is due. */
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

/* Takes the next push, into push and its commands. Returns whether there is one; if not, it has
 * waited until there may be. */
static bool take_push(const dispatcher_t *dispatcher, push_t *push)
{
    controller_t *controller = dispatcher->controller;
    g_array_set_size(push->commands, 0);
    pthread_mutex_lock(&controller->lock);
    push->taken_at = clock_steady();
    const machine_t *machine = take_commands_locked(dispatcher, push->taken_at, push->commands);
    if (machine) {
        push->fencing_token = controller->membership.view.number;
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
    http_client_hurry(client, PUSH_CONNECT_TIMEOUT_MS);
    push_t push = {.commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t))};
    for (;;)
        if (take_push(dispatcher, &push))
            send_push(controller, &push, client);
    return NULL;
}

/* Wakes the dispatcher, or starts its thread. */
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
    /* For each busy dispatcher that has machines due, wake another idle one: the busy one may be
     * held up by a machine that hangs. */
    for (uint32_t busy = dispatchers & ~chosen; busy && others; busy &= busy - 1) {
        chosen |= others & -others;
        others &= others - 1;
    }
    for (guint i = 0; i < DISPATCHERS_COUNT; i++)
        if (chosen >> i & 1)
            notify_dispatcher_locked(controller, i);
}
