/* Heartbeats: every controller asks every other what cancellations it told its users of. */
#include "controller/peer/peer_heartbeat.h"
#include "controller/peer/peer_exchange.h"

#include <unistd.h>

#include "controller/threads.h"
#include "io/clock.h"
#include "io/log.h"

/* A sibling to which a thread of ours sends heartbeats. */
typedef struct peer_heartbeat {
    controller_t *controller;
    guint index; /* among the settings' siblings */
} peer_heartbeat_t;

static GByteArray *compose_heartbeat(const peer_heartbeat_t *peer_heartbeat)
{
    controller_t *controller = peer_heartbeat->controller;
    pthread_mutex_lock(&controller->lock);
    const cancellation_replica_t *replica =
        &controller->jobs.cancellations.siblings[peer_heartbeat->index];
    peer_message_t message = peer_exchange_message(controller);
    message.is_heartbeat = true;
    message.known_log_incarnation = replica->incarnation;
    message.known_log_index = replica->last_index;
    message.job_counts.epoch = controller->jobs.counts.epoch;
    message.job_counts.version = controller->jobs.counts.version;
    pthread_mutex_unlock(&controller->lock);
    return peer_encode(&message);
}

/* With the lock held, which is given up meanwhile: waits until there is a cancellation that the
 * caller has not got, for a while at most. Returns how long that was. */
static msec_t hold_answer(controller_t *controller, const peer_message_t *message)
{
    const cancellation_log_t *log = &controller->jobs.cancellations;
    msec_t begun = clock_steady();
    msec_t hold = 0;
    while (message->known_log_incarnation == log->incarnation &&
           message->known_log_index >= log->newest && hold < PEER_HEARTBEAT_HOLD_MS) {
        controller_wait(controller, &controller->jobs.cancellation_appended,
                        PEER_HEARTBEAT_HOLD_MS - hold);
        hold = clock_steady() - begun;
    }
    return hold;
}

GByteArray *peer_heartbeat_answer(controller_t *controller, const peer_message_t *message)
{
    pthread_mutex_lock(&controller->lock);
    peer_exchange_receive_any(controller, message);
    msec_t hold = hold_answer(controller, message);
    peer_message_t answer = peer_exchange_message(controller);
    answer.is_heartbeat = true;
    answer.answer_delay_ms = hold;
    answer.cancellations =
        cancellation_log_update(&controller->jobs.cancellations, message->known_log_incarnation,
                                message->known_log_index, clock_steady());
    if (controller->membership.is_leader && controller->placement.is_loaded)
        answer.job_counts = leader_counts(controller->placement.leader, message->job_counts.epoch,
                                          message->job_counts.version, JOB_COUNTS_BATCH_COUNT);
    pthread_mutex_unlock(&controller->lock);
    GByteArray *frame = peer_encode(&answer);
    peer_message_clear(&answer);
    return frame;
}

/* With the lock held. A job that is over here may still be live where it is counted. */
static void receive_job_counts(controller_t *controller, const job_counts_update_t *update)
{
    job_counts_replica_apply(&controller->jobs.counts, update);
    for (guint i = 0; i < update->jobs->len; i++) {
        const char *id = g_array_index(update->jobs, job_counts_t, i).job;
        if (g_hash_table_contains(controller->jobs.terminal, id))
            job_counts_replica_remove(&controller->jobs.counts, id);
    }
}

/* With the lock held: what a sibling answered to a heartbeat, whose answer it made at `asked` or
 * later. */
static void receive_heartbeat_answer(controller_t *controller, guint index,
                                     const peer_message_t *message, msec_t asked)
{
    peer_exchange_receive_any(controller, message);
    controller->peers.sibling_health[index] = (owner_health_t){
        .answered_at = asked, .worker_heartbeat_at = asked - message->worker_heartbeat_age_ms};
    for (guint i = 0; i < message->cancellations.jobs->len; i++) {
        const char *id = g_ptr_array_index(message->cancellations.jobs, i);
        if (!g_hash_table_contains(controller->jobs.terminal, id))
            log_info("event=cancellation_update job=%s from=%s", id, message->sender);
        job_directory_record_terminal(controller, id, false);
    }
    cancellation_log_apply(&controller->jobs.cancellations, index, &message->cancellations, asked,
                           clock_steady());
    if (message->view_number == controller->membership.view.number &&
        message->incarnation == controller->membership.view.incarnation)
        receive_job_counts(controller, &message->job_counts);
}

/* The answer was made when it had been delayed for so long after the heartbeat had left, or later.
 * Clocks drift apart: what the sibling measured is shortened. */
static msec_t answer_made_at(const peer_message_t *answer, msec_t asked)
{
    return asked +
           MAX(answer->answer_delay_ms - answer->answer_delay_ms / CLOCK_DRIFT_DIVISOR - 1, 0);
}

static bool send_heartbeat(const peer_heartbeat_t *peer_heartbeat, int fd)
{
    controller_t *controller = peer_heartbeat->controller;
    msec_t asked = clock_steady();
    GByteArray *frame = compose_heartbeat(peer_heartbeat);
    peer_message_t message;
    bool answered = peer_exchange_converse(fd, frame, &message);
    g_byte_array_unref(frame);
    if (!answered)
        return false;
    pthread_mutex_lock(&controller->lock);
    receive_heartbeat_answer(controller, peer_heartbeat->index, &message,
                             answer_made_at(&message, asked));
    pthread_mutex_unlock(&controller->lock);
    peer_message_clear(&message);
    return true;
}

/* Every controller asks every other, whatever the view, what cancellations it told its users of:
 * without the key-value store nothing else says so. It also hears whether the other has the state
 * service, and of a higher view: one that is refused alone can't see that it was replaced, and
 * would hold its workers, whom the new leader then takes for dead. */
static void *peer_heartbeat_run(void *data)
{
    const peer_heartbeat_t *peer_heartbeat = data;
    const sibling_t *sibling = &g_array_index(peer_heartbeat->controller->settings->siblings,
                                              sibling_t, peer_heartbeat->index);
    int fd = -1;
    for (;;) {
        if (fd < 0) {
            fd = peer_connect(sibling->endpoint, PEER_TIMEOUT_MS);
            if (fd >= 0)
                peer_set_timeout(fd, PEER_HEARTBEAT_TIMEOUT_MS);
        }
        msec_t sent = clock_steady();
        bool is_answered = fd >= 0 && send_heartbeat(peer_heartbeat, fd);
        if (!is_answered && fd >= 0) {
            close(fd);
            fd = -1;
        }
        if (!is_answered)
            controller_sleep(PEER_HEARTBEAT_GAP_MS);
        else if (clock_steady() - sent < PEER_HEARTBEAT_NEWS_GAP_MS)
            controller_sleep(PEER_HEARTBEAT_NEWS_GAP_MS);
    }
    return NULL;
}

void peer_heartbeat_start(controller_t *controller)
{
    for (guint i = 0; i < controller->settings->siblings->len; i++) {
        peer_heartbeat_t *peer_heartbeat = g_new(peer_heartbeat_t, 1);
        *peer_heartbeat = (peer_heartbeat_t){controller, i};
        threads_start("peer_heartbeat", peer_heartbeat_run, peer_heartbeat);
    }
}
