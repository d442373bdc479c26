#include "controller/peer/peer_heartbeat.h"
#include "controller/peer/peer_exchange.h"

#include <unistd.h>

#include "controller/threads.h"
#include "io/clock.h"
#include "io/log.h"

/* The argument of a thread that sends heartbeats to one sibling. */
typedef struct heartbeat_sender {
    controller_t *controller;
    guint sibling_index; /* index in the settings' list of siblings */
} heartbeat_sender_t;

/* Returns the next heartbeat to the sibling, encoded (transfer full). Takes the lock. */
static GByteArray *compose_heartbeat(const heartbeat_sender_t *sender)
{
    controller_t *controller = sender->controller;
    pthread_mutex_lock(&controller->lock);
    const cancellation_replica_t *replica =
        &controller->jobs.cancellations.siblings[sender->sibling_index];
    peer_message_t message = peer_exchange_new_message(controller);
    message.is_heartbeat = true;
    message.known_log_incarnation = replica->incarnation;
    message.known_log_index = replica->last_index;
    message.job_counts.epoch = controller->jobs.counts.epoch;
    message.job_counts.version = controller->jobs.counts.version;
    pthread_mutex_unlock(&controller->lock);
    return peer_encode(&message);
}

/* Returns whether the heartbeat shows that its sender has every entry of this controller's
 * cancellation log. */
static bool has_all_entries_locked(const cancellation_log_t *log, const peer_message_t *message)
{
    return message->known_log_incarnation == log->incarnation &&
           message->known_log_index >= log->newest;
}

/* Waits until the log has a cancellation that the sender of the heartbeat does not have, for
 * PEER_HEARTBEAT_HOLD_MS at most. Returns how long it waited. Called with the lock held, which is
 * released during the wait. */
static msec_t wait_for_cancellation_locked(controller_t *controller, const peer_message_t *message)
{
    const cancellation_log_t *log = &controller->jobs.cancellations;
    msec_t started_at = clock_steady();
    msec_t waited_ms = 0;
    while (has_all_entries_locked(log, message) && waited_ms < PEER_HEARTBEAT_HOLD_MS) {
        controller_wait(controller, &controller->jobs.cancellation_appended,
                        PEER_HEARTBEAT_HOLD_MS - waited_ms);
        waited_ms = clock_steady() - started_at;
    }
    return waited_ms;
}

/* Returns the answer to a heartbeat (transfer full). waited_ms is how long this controller has held
 * the answer back. Called with the lock held. */
static peer_message_t new_answer_locked(controller_t *controller, const peer_message_t *heartbeat,
                                        msec_t waited_ms)
{
    peer_message_t answer = peer_exchange_new_message(controller);
    answer.is_heartbeat = true;
    answer.answer_delay_ms = waited_ms;
    answer.cancellations =
        cancellation_log_update(&controller->jobs.cancellations, heartbeat->known_log_incarnation,
                                heartbeat->known_log_index, clock_steady());
    if (controller->membership.is_leader && controller->placement.is_loaded)
        answer.job_counts =
            leader_job_counts_since(controller->placement.leader, heartbeat->job_counts.epoch,
                                    heartbeat->job_counts.version, JOB_COUNTS_BATCH_COUNT);
    return answer;
}

GByteArray *peer_heartbeat_answer(controller_t *controller, const peer_message_t *message)
{
    pthread_mutex_lock(&controller->lock);
    peer_exchange_observe_sender(controller, message);
    msec_t waited_ms = wait_for_cancellation_locked(controller, message);
    g_auto(peer_message_t) answer = new_answer_locked(controller, message, waited_ms);
    pthread_mutex_unlock(&controller->lock);
    return peer_encode(&answer);
}

/* Records the jobs that a sibling has confirmed as cancelled, so that their tasks are stopped, and
 * logs those that are new here. Called with the lock held. */
static void record_cancellations_locked(controller_t *controller, const peer_message_t *message)
{
    const GPtrArray *jobs = message->cancellations.jobs;
    for (guint i = 0; i < jobs->len; i++) {
        const char *id = g_ptr_array_index(jobs, i);
        if (!g_hash_table_contains(controller->jobs.terminal, id))
            log_info("event=cancellation_update job=%s from=%s", id, message->sender);
        job_directory_record_terminal(controller, id, false);
    }
}

/* Applies the leader's job counts, except those of jobs that this controller knows to be terminal:
 * the leader may still count such a job as live. Called with the lock held. */
static void apply_job_counts_locked(controller_t *controller, const job_counts_update_t *update)
{
    job_counts_replica_apply(&controller->jobs.counts, update);
    for (guint i = 0; i < update->jobs->len; i++) {
        const char *id = g_array_index(update->jobs, job_counts_t, i).job;
        if (g_hash_table_contains(controller->jobs.terminal, id))
            job_counts_replica_remove(&controller->jobs.counts, id);
    }
}

/* Handles an answer that the sibling made at made_at or later. Called with the lock held. */
static void receive_answer_locked(controller_t *controller, guint sibling_index,
                                  const peer_message_t *answer, msec_t made_at)
{
    peer_exchange_observe_sender(controller, answer);
    controller->peers.sibling_health[sibling_index] = (owner_health_t){
        .answered_at = made_at, .worker_heartbeat_at = made_at - answer->worker_heartbeat_age_ms};
    /* The jobs must be stopped before the replica of the sibling's log counts as complete up to
     * made_at, because worker leases are renewed on that basis. */
    record_cancellations_locked(controller, answer);
    cancellation_log_apply(&controller->jobs.cancellations, sibling_index, &answer->cancellations,
                           made_at, clock_steady());
    if (peer_exchange_is_from_leader(controller, answer))
        apply_job_counts_locked(controller, &answer->job_counts);
}

/* Returns the earliest time at which the sibling can have made the answer to a heartbeat that was
 * sent at sent_at: the sibling held the answer back for answer_delay_ms after it had received the
 * heartbeat. The sibling's clock measured that delay and may run faster than this one, so the delay
 * is reduced by the possible drift. */
static msec_t earliest_answer_time(const peer_message_t *answer, msec_t sent_at)
{
    msec_t drift_ms = answer->answer_delay_ms / CLOCK_DRIFT_DIVISOR + 1;
    return sent_at + MAX(answer->answer_delay_ms - drift_ms, 0);
}

/* Sends a heartbeat and handles the answer, for which it takes the lock. Returns whether the
 * sibling answered. */
static bool send_heartbeat(const heartbeat_sender_t *sender, int fd)
{
    controller_t *controller = sender->controller;
    msec_t sent_at = clock_steady();
    g_autoptr(GByteArray) frame = compose_heartbeat(sender);
    g_auto(peer_message_t) answer = {0};
    if (!peer_exchange_call(fd, frame, &answer))
        return false;
    pthread_mutex_lock(&controller->lock);
    receive_answer_locked(controller, sender->sibling_index, &answer,
                          earliest_answer_time(&answer, sent_at));
    pthread_mutex_unlock(&controller->lock);
    return true;
}

/* Returns a socket connected to the sibling, or a negative number if connecting failed. */
static int connect_to_sibling(const heartbeat_sender_t *sender)
{
    const sibling_t *sibling =
        &g_array_index(sender->controller->settings->siblings, sibling_t, sender->sibling_index);
    int fd = peer_connect(sibling->endpoint, PEER_TIMEOUT_MS);
    if (fd >= 0)
        peer_set_timeout(fd, PEER_HEARTBEAT_TIMEOUT_MS);
    return fd;
}

/* The loop of a thread that sends heartbeats to one sibling. Never returns. */
static void *heartbeat_sender_run(void *data)
{
    const heartbeat_sender_t *sender = data;
    int fd = -1;
    for (;;) {
        if (fd < 0)
            fd = connect_to_sibling(sender);
        msec_t sent_at = clock_steady();
        bool is_answered = fd >= 0 && send_heartbeat(sender, fd);
        if (!is_answered && fd >= 0) {
            close(fd);
            fd = -1;
        }
        if (!is_answered)
            controller_sleep(PEER_HEARTBEAT_GAP_MS);
        else if (clock_steady() - sent_at < PEER_HEARTBEAT_UPDATE_GAP_MS)
            controller_sleep(PEER_HEARTBEAT_UPDATE_GAP_MS);
    }
    return NULL;
}

void peer_heartbeat_start(controller_t *controller)
{
    for (guint i = 0; i < controller->settings->siblings->len; i++) {
        heartbeat_sender_t *sender = g_new(heartbeat_sender_t, 1);
        *sender = (heartbeat_sender_t){.controller = controller, .sibling_index = i};
        threads_start("peer_heartbeat", heartbeat_sender_run, sender);
    }
}
