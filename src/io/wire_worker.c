/* The workers' protocol: reports and commands. */
#include "io/wire_internal.h"

#include <string.h>

static bool parse_task_name(const char *text, reported_attempt_t *reported_attempt)
{
    const char *slash = text ? strchr(text, '/') : NULL;
    guint64 task;
    if (!slash || slash == text || (gsize)(slash - text) >= sizeof reported_attempt->job ||
        !g_ascii_string_to_unsigned(slash + 1, DECIMAL, 0, G_MAXUINT32, &task, NULL))
        return false;
    memcpy(reported_attempt->job, text, (gsize)(slash - text));
    reported_attempt->job[slash - text] = '\0';
    reported_attempt->task = (uint32_t)task;
    return true;
}

static bool parse_attempt(const json_t *value, reported_attempt_t *reported_attempt, reason_t *why)
{
    /* A gang's task that waits for the others is one that starts: gathering counts as pulling. */
    static const char *const states[] = {"pulling", "running", "saving", "exited", "gathering"};
    static const char *const causes[] = {"",       "done",    "halted", "error", "full",
                                         "in_use", "no_such", "peers",  "alone"};
    int state = 0;
    int cause = CAUSE_NONE;
    *reported_attempt = (reported_attempt_t){0};
    if (!parse_task_name(json_string_value(json_object_get(value, "Piece")), reported_attempt))
        return wire_fail(why, "Pieces: Piece is not the name of a task");
    if (!wire_get_count(value, "Heave", 0, G_MAXINT64, &reported_attempt->attempt, why) ||
        !wire_get_choice(value, "Trim", states, G_N_ELEMENTS(states), &state, why))
        return false;
    reported_attempt->state = state > TASK_EXITED ? TASK_FETCHING : (task_state_t)state;
    if (reported_attempt->state != TASK_EXITED)
        return true;
    /* A cause not known here counts as a failure: the attempt is over in any case. */
    if (!wire_get_choice(value, "Cause", causes, G_N_ELEMENTS(causes), &cause, NULL))
        cause = CAUSE_ERROR;
    reported_attempt->cause = (cause_t)cause;
    return true;
}

bool wire_parse_report(const json_t *body, report_t *report, reason_t *why)
{
    *report = (report_t){.reclaim_in_s = -1};
    if (!json_is_object(body))
        return wire_fail(why, "a JSON object is expected");
    const json_t *warning = json_object_get(body, "WarningS");
    const json_t *attempts = json_object_get(body, "Pieces");
    if (!wire_get_text(body, "Winch", report->machine, sizeof report->machine, why) ||
        !wire_get_text(body, "Address", report->address, sizeof report->address, why) ||
        !wire_get_text(body, "Hull", report->type, sizeof report->type, why) ||
        !wire_get_text(body, "Dock", report->zone, sizeof report->zone, why) ||
        !wire_get_flag(body, "Driftwood", &report->spot, why) ||
        !wire_get_count(body, "Watch", 0, G_MAXINT64, &report->session, why) ||
        !wire_get_count(body, "Tally", 0, G_MAXINT64, &report->seq, why) ||
        !wire_get_count(body, "Helm", 0, G_MAXINT64, &report->token, why) ||
        (warning && !json_is_null(warning) &&
         !wire_get_amount(body, "WarningS", 0, &report->reclaim_in_s, why)))
        return false;
    if (attempts && !json_is_null(attempts) && !json_is_array(attempts))
        return wire_fail(why, "Pieces: a list is expected");
    report->attempts = g_array_sized_new(FALSE, FALSE, sizeof(reported_attempt_t),
                                         (guint)json_array_size(attempts));
    size_t i;
    json_t *value;
    json_array_foreach(attempts, i, value)
    {
        reported_attempt_t reported_attempt;
        if (!parse_attempt(value, &reported_attempt, why)) {
            report_clear(report);
            return false;
        }
        g_array_append_val(report->attempts, reported_attempt);
    }
    return true;
}

static json_t *build_command_list(const GArray *commands)
{
    static const char *const names[] = {"run", "stop", "forget"};
    json_t *list = json_array();
    for (guint i = 0; commands && i < commands->len; i++) {
        const worker_command_t *command = &g_array_index(commands, worker_command_t, i);
        json_t *item = json_pack("{s:s,s:o,s:I}", "Call", names[command->op], "Piece",
                                 json_sprintf("%s/%u", command->job, command->task), "Heave",
                                 (json_int_t)command->attempt);
        if (command->op == COMMAND_STOP)
            json_object_set_new(item, "SlackS", json_real(command->grace_s));
        json_array_append_new(list, item);
    }
    return list;
}

json_t *wire_build_commands(uint64_t token, const GArray *commands)
{
    return json_pack("{s:I,s:o}", "Helm", (json_int_t)token, "Calls", build_command_list(commands));
}

json_t *wire_build_direct(uint64_t token, uint64_t session, const GArray *commands)
{
    return json_pack("{s:I,s:I,s:o}", "Helm", (json_int_t)token, "Watch", (json_int_t)session,
                     "Calls", build_command_list(commands));
}
