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

#include "app/node.h"
#include "app/threads.h"
#include "io/clock.h"
#include "io/wire.h"
#include "log.h"

/* One exchange, copied out under the lock. */
typedef struct push {
    char machine[ID_BYTES];
    char url[URL_BYTES];
    uint64_t fencing_token;
    uint64_t worker_epoch;
    uint64_t generation;
} push_t;

static void finish(node_t *node, const push_t *push, const GArray *commands, int status,
                   const http_client_t *client)
{
    worker_heartbeat_t heartbeat = {0};
    gsize length;
    const char *answer = http_answer(client, &length);
    bool reported =
        status > HTTP_NO_ANSWER && wire_parse_worker_heartbeat(answer, length, &heartbeat, NULL);
    push_result_t result = status == HTTP_OK && reported                           ? PUSH_EXECUTED
                           : status == HTTP_CONFLICT || status == HTTP_BAD_REQUEST ? PUSH_REFUSED
                           : status == HTTP_NOT_SENT                               ? PUSH_NOT_SENT
                                                     : PUSH_UNANSWERED;
    log_debug("event=commands_pushed machine=%s commands=%u status=%d", push->machine,
              commands->len, status);
    pthread_mutex_lock(&node->lock);
    /* A view loaded meanwhile has its own data and a higher fencing token, under which this one is
     * void. */
    if (node->generation == push->generation && node->is_loaded) {
        partition_finish_push(node->partition, push->machine, commands, push->fencing_token,
                              result);
        msec_t now = clock_steady();
        uint64_t changes = node->partition->changes;
        if (reported && strcmp(heartbeat.machine, push->machine) == 0 &&
            partition_handle_heartbeat(node->partition, &heartbeat, true, now, NULL) ==
                HEARTBEAT_ACCEPTED &&
            result == PUSH_EXECUTED)
            partition_record_probe_answer(node->partition, push->machine, now);
        if (node->partition->changes != changes)
            node_notify_placement(node);
    }
    pthread_mutex_unlock(&node->lock);
    worker_heartbeat_clear(&heartbeat);
}

static bool may_push(node_t *node, const push_t *push, const GArray *commands, msec_t taken)
{
    pthread_mutex_lock(&node->lock);
    bool may =
        node_may_push(node, push->machine, push->generation, commands, taken, clock_steady());
    pthread_mutex_unlock(&node->lock);
    if (!may)
        log_info("event=commands_discarded machine=%s commands=%u", push->machine, commands->len);
    return may;
}

/* A sender. It keeps connections to the machines of its dispatcher, and serves others only while
 * their sender is busy. */
typedef struct dispatcher {
    node_t *node;
    guint dispatcher_index;
} dispatcher_t;

/* With the lock held. Machines come into reach again without a notice, so one idle dispatcher looks
 * for them now and then; the others wait until they are notified. */
static void wait_for_commands(const dispatcher_t *dispatcher)
{
    node_t *node = dispatcher->node;
    pthread_cond_t *condition = &node->dispatcher_ready[dispatcher->dispatcher_index];
    node_notify_dispatchers(node); /* of what was left to those who have become idle meanwhile */
    node->idle_dispatchers |= 1U << dispatcher->dispatcher_index;
    if (node->has_polling_dispatcher) {
        pthread_cond_wait(condition, &node->lock);
        node->idle_dispatchers &= ~(1U << dispatcher->dispatcher_index);
        return;
    }
    node->has_polling_dispatcher = true;
    node_wait(node, condition, DISPATCHER_IDLE_MS);
    node->has_polling_dispatcher = false;
    node->idle_dispatchers &= ~(1U << dispatcher->dispatcher_index);
}

/* With the lock held: the next machine of this sender's, or of one that is busy. */
static machine_t *take_commands(const dispatcher_t *dispatcher, msec_t now, GArray *commands)
{
    node_t *node = dispatcher->node;
    if (!node->is_loaded)
        return NULL;
    partition_pause_starts(node->partition, !node_may_start(node, now));
    uint32_t dispatchers = 1U << dispatcher->dispatcher_index | ~node->idle_dispatchers;
    return partition_take_push(node->partition, dispatchers, now, commands);
}

static void *dispatcher_run(void *data)
{
    const dispatcher_t *dispatcher = data;
    node_t *node = dispatcher->node;
    http_client_t *client = http_client_new(node->settings->dispatcher_connections);
    http_client_hurry(client, PUSH_CONNECT_TIMEOUT_MS);
    GArray *commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    for (;;) {
        g_array_set_size(commands, 0);
        pthread_mutex_lock(&node->lock);
        msec_t now = clock_steady();
        machine_t *machine = take_commands(dispatcher, now, commands);
        if (!machine) {
            wait_for_commands(dispatcher);
            pthread_mutex_unlock(&node->lock);
            continue;
        }
        push_t push = {.fencing_token = node->view.number,
                       .worker_epoch = machine->worker_epoch,
                       .generation = node->generation};
        g_strlcpy(push.machine, machine->id, sizeof push.machine);
        g_snprintf(push.url, sizeof push.url, "http://%s/do", machine->address);
        pthread_mutex_unlock(&node->lock);
        json_t *body = wire_build_pushed_commands(push.fencing_token, push.worker_epoch, commands);
        if (!may_push(node, &push, commands, now)) {
            json_decref(body);
            continue;
        }
        msec_t sent = clock_steady();
        int status = http_call(client, "POST", push.url, body, PUSH_TIMEOUT_MS, NULL);
        metrics_time(node->metrics, TIME_PUSH, clock_steady() - sent);
        metrics_count(node->metrics,
                      status <= HTTP_NO_ANSWER ? COUNT_PUSHES_UNANSWERED : COUNT_PUSHES, 1);
        json_decref(body);
        finish(node, &push, commands, status, client);
    }
    return NULL;
}

void dispatcher_notify(node_t *node, guint dispatcher_index)
{
    if (node->started_dispatchers >> dispatcher_index & 1) {
        pthread_cond_signal(&node->dispatcher_ready[dispatcher_index]);
        return;
    }
    dispatcher_t *dispatcher = g_new(dispatcher_t, 1);
    *dispatcher = (dispatcher_t){node, dispatcher_index};
    node->started_dispatchers |= 1U << dispatcher_index;
    node->idle_dispatchers &= ~(1U << dispatcher_index);
    threads_start("dispatcher", dispatcher_run, dispatcher);
}
