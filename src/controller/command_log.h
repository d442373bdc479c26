/** @file
 * Logs and counts the commands that are sent to workers, with the reason for which each was
 * allowed.
 *
 * Each command is one line at the level debug. A stop of an attempt that no record names is a line
 * at the level info: the worker has started something that it should not have started.
 */
#ifndef PEPPERPULLEY_COMMAND_LOG_H
#define PEPPERPULLEY_COMMAND_LOG_H

#include "controller/controller_type.h"
#include "core/types.h"

/** How commands reach a worker. */
typedef enum command_path {
    COMMANDS_PUSHED,  /**< By a push. */
    COMMANDS_ANSWERED /**< In the answer to a heartbeat. */
} command_path_t;

/** Where commands are sent. The strings are borrowed for the call. */
typedef struct command_target {
    command_path_t path;    /**< How the commands are sent. */
    const char *machine;    /**< Id of the machine. */
    uint64_t fencing_token; /**< The fencing token under which they are sent. */
    uint64_t worker_epoch;  /**< The worker epoch for which they are meant. */
} command_target_t;

/** Logs and counts @p commands, an array of worker_command_t. Called with or without the
 * controller's lock. */
void command_log_record(const controller_t *controller, const command_target_t *target,
                        const GArray *commands);

#endif
