/* Sends direct commands: starts and stops reach their worker at once, reports are the fallback.
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
typedef struct exchange {
    char machine[ID_BYTES];
    char url[URL_BYTES];
    uint64_t fencing_token;
    uint64_t worker_epoch;
    uint64_t generation;
} exchange_t;

static void finish(node_t *node, const exchange_t *exchange, const GArray *commands, int status,
                   const http_client_t *client)
{
    worker_heartbeat_t heartbeat = {0};
    gsize length;
    const char *answer = http_answer(client, &length);
    bool reported =
        status > HTTP_NO_ANSWER && wire_parse_worker_heartbeat(answer, length, &heartbeat, NULL);
    direct_result_t result = status == HTTP_OK && reported ? DIRECT_EXECUTED
                             : status == HTTP_CONFLICT || status == HTTP_BAD_REQUEST
                                 ? DIRECT_REFUSED
                             : status == HTTP_NOT_SENT ? DIRECT_NOT_SENT
                                                       : DIRECT_UNANSWERED;
    log_debug("event=commands_pushed machine=%s commands=%u status=%d", exchange->machine,
              commands->len, status);
    pthread_mutex_lock(&node->lock);
    /* A view loaded meanwhile has its own data and a higher fencing token, under which this one is
     * void. */
    if (node->generation == exchange->generation && node->is_loaded) {
        partition_direct_done(node->partition, exchange->machine, commands, exchange->fencing_token,
                              result);
        msec_t now = clock_steady();
        uint64_t changes = node->partition->changes;
        if (reported && strcmp(heartbeat.machine, exchange->machine) == 0 &&
            partition_handle_heartbeat(node->partition, &heartbeat, true, now, NULL) ==
                HEARTBEAT_ACCEPTED &&
            result == DIRECT_EXECUTED)
            partition_probed(node->partition, exchange->machine, now);
        if (node->partition->changes != changes)
            node_notify(node);
    }
    pthread_mutex_unlock(&node->lock);
    worker_heartbeat_clear(&heartbeat);
}

static bool may_push(node_t *node, const exchange_t *exchange, const GArray *commands, msec_t taken)
{
    pthread_mutex_lock(&node->lock);
    bool may = node_may_push(node, exchange->machine, exchange->generation, commands, taken,
                             clock_steady());
    pthread_mutex_unlock(&node->lock);
    if (!may)
        log_info("event=commands_discarded machine=%s commands=%u", exchange->machine,
                 commands->len);
    return may;
}

/* A sender. It keeps connections to the machines of its slot, and serves others only while their
 * sender is busy. */
typedef struct sender {
    node_t *node;
    guint slot;
} sender_t;

/* With the lock held. Machines come into reach again without a notice, so one idle sender looks
 * for them now and then; the others wait until they are notified. */
static void wait_for_commands(const sender_t *sender)
{
    node_t *node = sender->node;
    pthread_cond_t *condition = &node->direct[sender->slot];
    node_notify_senders(node); /* of what was left to those who have become idle meanwhile */
    node->idle_senders |= 1U << sender->slot;
    if (node->has_watching_sender) {
        pthread_cond_wait(condition, &node->lock);
        node->idle_senders &= ~(1U << sender->slot);
        return;
    }
    node->has_watching_sender = true;
    node_wait(node, condition, SENDER_IDLE_MS);
    node->has_watching_sender = false;
    node->idle_senders &= ~(1U << sender->slot);
}

/* With the lock held: the next machine of this sender's, or of one that is busy. */
static machine_t *take_commands(const sender_t *sender, msec_t now, GArray *commands)
{
    node_t *node = sender->node;
    if (!node->is_loaded)
        return NULL;
    partition_pause_starts(node->partition, !node_may_start(node, now));
    uint32_t slots = 1U << sender->slot | ~node->idle_senders;
    return partition_direct_take(node->partition, slots, now, commands);
}

static void *sender_run(void *data)
{
    const sender_t *sender = data;
    node_t *node = sender->node;
    http_client_t *client = http_client_new(node->settings->sender_connections);
    http_client_hurry(client, DIRECT_CONNECT_MS);
    GArray *commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    for (;;) {
        g_array_set_size(commands, 0);
        pthread_mutex_lock(&node->lock);
        msec_t now = clock_steady();
        machine_t *machine = take_commands(sender, now, commands);
        if (!machine) {
            wait_for_commands(sender);
            pthread_mutex_unlock(&node->lock);
            continue;
        }
        exchange_t exchange = {.fencing_token = node->view.number,
                               .worker_epoch = machine->worker_epoch,
                               .generation = node->generation};
        g_strlcpy(exchange.machine, machine->id, sizeof exchange.machine);
        g_snprintf(exchange.url, sizeof exchange.url, "http://%s/do", machine->address);
        pthread_mutex_unlock(&node->lock);
        json_t *body = wire_build_direct(exchange.fencing_token, exchange.worker_epoch, commands);
        if (!may_push(node, &exchange, commands, now)) {
            json_decref(body);
            continue;
        }
        msec_t sent = clock_steady();
        int status = http_call(client, "POST", exchange.url, body, DIRECT_TIMEOUT_MS, NULL);
        metrics_time(node->metrics, TIME_DIRECT, clock_steady() - sent);
        metrics_count(node->metrics,
                      status <= HTTP_NO_ANSWER ? COUNT_DIRECT_UNANSWERED : COUNT_DIRECT, 1);
        json_decref(body);
        finish(node, &exchange, commands, status, client);
    }
    return NULL;
}

void sender_notify(node_t *node, guint slot)
{
    if (node->started_senders >> slot & 1) {
        pthread_cond_signal(&node->direct[slot]);
        return;
    }
    sender_t *sender = g_new(sender_t, 1);
    *sender = (sender_t){node, slot};
    node->started_senders |= 1U << slot;
    node->idle_senders &= ~(1U << slot);
    threads_start("sender", sender_run, sender);
}
