/* The workers' protocol: commands to workers. worker_heartbeats.c parses the heartbeats. */
#include "io/codec/codec_internal.h"

static json_t *build_command_list(const GArray *commands)
{
    static const char *const op_names[] = {
        [COMMAND_RUN] = "run", [COMMAND_STOP] = "stop", [COMMAND_FORGET] = "forget"};
    json_t *list = json_array();
    for (guint i = 0; commands && i < commands->len; i++) {
        const worker_command_t *command = &g_array_index(commands, worker_command_t, i);
        json_t *item = json_pack("{s:s,s:o,s:I}", "Call", op_names[command->op], "Piece",
                                 json_sprintf("%s/%u", command->job, command->task), "Heave",
                                 (json_int_t)command->attempt);
        if (command->op == COMMAND_STOP)
            json_object_set_new(item, "SlackS", json_real(command->grace_s));
        json_array_append_new(list, item);
    }
    return list;
}

json_t *codec_build_commands(uint64_t fencing_token, const GArray *commands)
{
    return json_pack("{s:I,s:o}", "Helm", (json_int_t)fencing_token, "Calls",
                     build_command_list(commands));
}

json_t *codec_build_pushed_commands(uint64_t fencing_token, uint64_t worker_epoch,
                                    const GArray *commands)
{
    return json_pack("{s:I,s:I,s:o}", "Helm", (json_int_t)fencing_token, "Watch",
                     (json_int_t)worker_epoch, "Calls", build_command_list(commands));
}
