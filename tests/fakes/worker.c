#include "worker.h"

#include <string.h>

fake_worker_t *fake_worker_new(const char *id)
{
    fake_worker_t *worker = g_new0(fake_worker_t, 1);
    g_strlcpy(worker->id, id, sizeof worker->id);
    worker->worker_epoch = 1;
    worker->attempts = g_array_new(FALSE, FALSE, sizeof(reported_attempt_t));
    return worker;
}

void fake_worker_free(fake_worker_t *worker)
{
    g_array_unref(worker->attempts);
    g_free(worker);
}

worker_heartbeat_t fake_worker_heartbeat(fake_worker_t *worker)
{
    worker_heartbeat_t heartbeat = {.worker_epoch = worker->worker_epoch,
                                    .heartbeat_sequence = ++worker->heartbeat_sequence,
                                    .fencing_token = worker->fencing_token,
                                    .interruption_in_s = -1,
                                    .attempts = g_array_copy(worker->attempts)};
    g_strlcpy(heartbeat.machine, worker->id, sizeof heartbeat.machine);
    g_strlcpy(heartbeat.address, "10.1.0.1:9000", sizeof heartbeat.address);
    g_strlcpy(heartbeat.type, "t16", sizeof heartbeat.type);
    g_strlcpy(heartbeat.zone, "zone-a", sizeof heartbeat.zone);
    return heartbeat;
}

static reported_attempt_t *find(fake_worker_t *worker, const worker_command_t *command, guint *at)
{
    for (guint i = 0; i < worker->attempts->len; i++) {
        reported_attempt_t *reported_attempt =
            &g_array_index(worker->attempts, reported_attempt_t, i);
        if (strcmp(reported_attempt->job, command->job) == 0 &&
            reported_attempt->task == command->task &&
            reported_attempt->attempt == command->attempt) {
            *at = i;
            return reported_attempt;
        }
    }
    return NULL;
}

static void execute(fake_worker_t *worker, const GArray *commands)
{
    for (guint i = 0; i < commands->len; i++) {
        const worker_command_t *command = &g_array_index(commands, worker_command_t, i);
        guint at = 0;
        reported_attempt_t *reported_attempt = find(worker, command, &at);
        if (command->op == COMMAND_RUN && !reported_attempt) {
            reported_attempt_t fresh = {
                .task = command->task, .attempt = command->attempt, .state = TASK_RUNNING};
            g_strlcpy(fresh.job, command->job, sizeof fresh.job);
            g_array_append_val(worker->attempts, fresh);
            worker->runs++;
        } else if (command->op == COMMAND_STOP && reported_attempt &&
                   reported_attempt->state != TASK_EXITED) {
            reported_attempt->state = TASK_EXITED;
            reported_attempt->cause = CAUSE_STOPPED;
        } else if (command->op == COMMAND_FORGET && reported_attempt &&
                   reported_attempt->state == TASK_EXITED) {
            g_array_remove_index(worker->attempts, at);
        }
    }
}

bool fake_worker_answer(fake_worker_t *worker, uint64_t fencing_token, const GArray *commands)
{
    if (fencing_token < worker->fencing_token)
        return false;
    worker->fencing_token = fencing_token;
    execute(worker, commands);
    return true;
}

bool fake_worker_push(fake_worker_t *worker, uint64_t fencing_token, uint64_t worker_epoch,
                      const GArray *commands)
{
    return worker_epoch == worker->worker_epoch &&
           fake_worker_answer(worker, fencing_token, commands);
}

void fake_worker_exit(fake_worker_t *worker, const char *job, uint32_t task, cause_t cause)
{
    for (guint i = 0; i < worker->attempts->len; i++) {
        reported_attempt_t *reported_attempt =
            &g_array_index(worker->attempts, reported_attempt_t, i);
        if (strcmp(reported_attempt->job, job) == 0 && reported_attempt->task == task) {
            reported_attempt->state = TASK_EXITED;
            reported_attempt->cause = cause;
        }
    }
}

void fake_worker_lose_lease(fake_worker_t *worker)
{
    worker->worker_epoch++;
    g_array_set_size(worker->attempts, 0);
}

guint fake_worker_active(const fake_worker_t *worker)
{
    guint active = 0;
    for (guint i = 0; i < worker->attempts->len; i++)
        active += g_array_index(worker->attempts, reported_attempt_t, i).state != TASK_EXITED;
    return active;
}
