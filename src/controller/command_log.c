#include "controller/command_log.h"

#include "controller/controller.h"
#include "io/log.h"

static const char *op_name(worker_command_op_t op)
{
    static const char *const names[] = {
        [COMMAND_RUN] = "run", [COMMAND_STOP] = "stop", [COMMAND_FORGET] = "forget"};
    return names[op];
}

static const char *reason_name(command_reason_t reason)
{
    static const char *const names[] = {[REASON_RECORDED] = "recorded",
                                        [REASON_STOP_REQUESTED] = "stop_requested",
                                        [REASON_UNRECORDED] = "unrecorded",
                                        [REASON_JOB_ENDED] = "job_ended",
                                        [REASON_EXITED] = "exited"};
    return names[reason];
}

static void log_command(const command_target_t *target, const worker_command_t *command)
{
    log_level_t level = command->reason == REASON_UNRECORDED ? LOG_LEVEL_INFO : LOG_LEVEL_DEBUG;
    log_write(
        level,
        "event=command_sent op=%s why=%s task=%s/%u attempt=%" G_GUINT64_FORMAT
        " machine=%s by=%s fencing_token=%" G_GUINT64_FORMAT " worker_epoch=%" G_GUINT64_FORMAT,
        op_name(command->op), reason_name(command->reason), command->job, command->task,
        command->attempt, target->machine, target->path == COMMANDS_PUSHED ? "push" : "answer",
        target->fencing_token, target->worker_epoch);
}

void command_log_record(const controller_t *controller, const command_target_t *target,
                        const GArray *commands)
{
    static const metric_count_t counters[] = {[COMMAND_RUN] = COUNT_COMMANDS_RUN,
                                              [COMMAND_STOP] = COUNT_COMMANDS_STOP,
                                              [COMMAND_FORGET] = COUNT_COMMANDS_FORGET};
    for (guint i = 0; i < commands->len; i++) {
        const worker_command_t *command = &g_array_index(commands, worker_command_t, i);
        metrics_count(controller->metrics, counters[command->op], 1);
        if (command->reason == REASON_UNRECORDED)
            metrics_count(controller->metrics, COUNT_UNRECORDED_STOPS, 1);
        log_command(target, command);
    }
}
