#include "fake_worker.h"

#include <string.h>

fake_worker_t *fake_worker_new(const char *id)
{
    fake_worker_t *worker = g_new0(fake_worker_t, 1);
    g_strlcpy(worker->id, id, sizeof worker->id);
    worker->worker_epoch = 1;
    worker->attempts = g_array_new(FALSE, FALSE, sizeof(reported_attempt_t));
    worker->started = g_array_new(FALSE, FALSE, sizeof(task_ref_t));
    return worker;
}

void fake_worker_free(fake_worker_t *worker)
{
    g_array_unref(worker->attempts);
    g_array_unref(worker->started);
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

/* Returns the index of the command's attempt, or the number of attempts if the worker does not have
 * it. */
static guint find_attempt(const fake_worker_t *worker, const worker_command_t *command)
{
    guint i = 0;
    for (; i < worker->attempts->len; i++) {
        const reported_attempt_t *attempt = &g_array_index(worker->attempts, reported_attempt_t, i);
        if (strcmp(attempt->job, command->job) == 0 && attempt->task == command->task &&
            attempt->attempt == command->attempt)
            break;
    }
    return i;
}

static void start_attempt(fake_worker_t *worker, const worker_command_t *command)
{
    reported_attempt_t attempt = {
        .task = command->task, .attempt = command->attempt, .state = TASK_RUNNING};
    g_strlcpy(attempt.job, command->job, sizeof attempt.job);
    g_array_append_val(worker->attempts, attempt);
    task_ref_t started = task_ref(command->job, command->task, command->attempt);
    g_array_append_val(worker->started, started);
    worker->started_count++;
}

static void execute_command(fake_worker_t *worker, const worker_command_t *command)
{
    guint index = find_attempt(worker, command);
    if (index == worker->attempts->len) {
        if (command->op == COMMAND_RUN)
            start_attempt(worker, command);
        return;
    }
    reported_attempt_t *attempt = &g_array_index(worker->attempts, reported_attempt_t, index);
    if (command->op == COMMAND_STOP && attempt->state != TASK_EXITED) {
        attempt->state = TASK_EXITED;
        attempt->cause = CAUSE_STOPPED;
    } else if (command->op == COMMAND_FORGET && attempt->state == TASK_EXITED) {
        g_array_remove_index(worker->attempts, index);
    }
}

bool fake_worker_handle_answer(fake_worker_t *worker, uint64_t fencing_token,
                               const GArray *commands)
{
    if (fencing_token < worker->fencing_token)
        return false;
    worker->fencing_token = fencing_token;
    for (guint i = 0; i < commands->len; i++)
        execute_command(worker, &g_array_index(commands, worker_command_t, i));
    return true;
}

bool fake_worker_handle_push(fake_worker_t *worker, uint64_t fencing_token, uint64_t worker_epoch,
                             const GArray *commands)
{
    return worker_epoch == worker->worker_epoch &&
           fake_worker_handle_answer(worker, fencing_token, commands);
}

void fake_worker_exit_attempts(fake_worker_t *worker, const char *job, uint32_t task, cause_t cause)
{
    for (guint i = 0; i < worker->attempts->len; i++) {
        reported_attempt_t *attempt = &g_array_index(worker->attempts, reported_attempt_t, i);
        if (strcmp(attempt->job, job) == 0 && attempt->task == task) {
            attempt->state = TASK_EXITED;
            attempt->cause = cause;
        }
    }
}

void fake_worker_expire_lease(fake_worker_t *worker)
{
    worker->worker_epoch++;
    g_array_set_size(worker->attempts, 0);
}

guint fake_worker_active_count(const fake_worker_t *worker)
{
    guint active = 0;
    for (guint i = 0; i < worker->attempts->len; i++)
        active += g_array_index(worker->attempts, reported_attempt_t, i).state != TASK_EXITED;
    return active;
}
