#include "fake_machine.h"

#include <string.h>

#include "fake_http_server.h"

static json_t *build_attempt(const reported_attempt_t *reported_attempt)
{
    static const char *const states[] = {"pulling", "running", "saving", "exited"};
    static const char *const causes[] = {"", "done", "halted", "error"};
    json_t *value =
        json_pack("{s:o,s:I,s:s}", "Piece",
                  json_sprintf("%s/%u", reported_attempt->job, reported_attempt->task), "Heave",
                  (json_int_t)reported_attempt->attempt, "Trim", states[reported_attempt->state]);
    if (reported_attempt->state == TASK_EXITED)
        json_object_set_new(value, "Cause", json_string(causes[reported_attempt->cause]));
    return value;
}

/* Called with the lock held. */
static json_t *build_heartbeat(fake_machine_t *machine)
{
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(machine->worker);
    json_t *attempts = json_array();
    for (guint i = 0; i < heartbeat.attempts->len; i++)
        json_array_append_new(
            attempts, build_attempt(&g_array_index(heartbeat.attempts, reported_attempt_t, i)));
    json_t *body =
        json_pack("{s:s,s:o,s:s,s:s,s:b,s:I,s:I,s:I,s:o}", "Winch", heartbeat.machine, "Address",
                  json_sprintf("127.0.0.1:%u", machine->port), "Hull", heartbeat.type, "Dock",
                  heartbeat.zone, "Driftwood", 1, "Watch", (json_int_t)heartbeat.worker_epoch,
                  "Tally", (json_int_t)heartbeat.heartbeat_sequence, "Helm",
                  (json_int_t)heartbeat.fencing_token, "Pieces", attempts);
    worker_heartbeat_clear(&heartbeat);
    return body;
}

static worker_command_op_t parse_op(const char *name)
{
    static const char *const names[] = {"run", "stop", "forget"};
    worker_command_op_t op = COMMAND_RUN;
    for (guint i = 0; i < G_N_ELEMENTS(names); i++)
        if (strcmp(names[i], name) == 0)
            op = (worker_command_op_t)i;
    return op;
}

/* Returns an array of worker_command_t, which the caller owns. */
static GArray *parse_commands(const json_t *body)
{
    GArray *commands = g_array_new(FALSE, TRUE, sizeof(worker_command_t));
    size_t i;
    json_t *value;
    json_array_foreach(json_object_get(body, "Calls"), i, value)
    {
        worker_command_t command = {
            .op = parse_op(json_string_value(json_object_get(value, "Call"))),
            .attempt = (uint64_t)json_integer_value(json_object_get(value, "Heave"))};
        char **job_and_task =
            g_strsplit(json_string_value(json_object_get(value, "Piece")), "/", 2);
        g_strlcpy(command.job, job_and_task[0], sizeof command.job);
        command.task = (uint32_t)g_ascii_strtoull(job_and_task[1], NULL, 10);
        g_strfreev(job_and_task);
        g_array_append_val(commands, command);
    }
    return commands;
}

static uint64_t read_number(const json_t *body, const char *name)
{
    return (uint64_t)json_integer_value(json_object_get(body, name));
}

/* Called with the lock held. Returns whether the worker executed the push. */
static bool execute_commands(fake_machine_t *machine, const json_t *push)
{
    g_autoptr(GArray) commands = parse_commands(push);
    return fake_worker_handle_push(machine->worker, read_number(push, "Helm"),
                                   read_number(push, "Watch"), commands);
}

static fake_http_answer_t execute_push(void *data, const fake_http_request_t *request)
{
    fake_machine_t *machine = data;
    pthread_mutex_lock(&machine->lock);
    bool is_executed = execute_commands(machine, request->body);
    if (is_executed)
        g_ptr_array_add(machine->pushes, json_deep_copy(request->body));
    json_t *heartbeat = build_heartbeat(machine);
    pthread_mutex_unlock(&machine->lock);
    return (fake_http_answer_t){is_executed ? 200 : 409, heartbeat};
}

fake_machine_t *fake_machine_new(const char *id)
{
    fake_machine_t *machine = g_new0(fake_machine_t, 1);
    pthread_mutex_init(&machine->lock, NULL);
    machine->worker = fake_worker_new(id);
    machine->pushes = g_ptr_array_new();
    machine->port = fake_http_server_start(execute_push, machine);
    return machine;
}

json_t *fake_machine_heartbeat(fake_machine_t *machine)
{
    pthread_mutex_lock(&machine->lock);
    json_t *body = build_heartbeat(machine);
    pthread_mutex_unlock(&machine->lock);
    return body;
}

void fake_machine_handle_answer(fake_machine_t *machine, const json_t *answer)
{
    g_autoptr(GArray) commands = parse_commands(answer);
    pthread_mutex_lock(&machine->lock);
    fake_worker_handle_answer(machine->worker, read_number(answer, "Helm"), commands);
    pthread_mutex_unlock(&machine->lock);
}

void fake_machine_repeat_pushes(fake_machine_t *machine)
{
    pthread_mutex_lock(&machine->lock);
    for (guint i = 0; i < machine->pushes->len; i++)
        execute_commands(machine, g_ptr_array_index(machine->pushes, i));
    pthread_mutex_unlock(&machine->lock);
}

guint fake_machine_push_count(fake_machine_t *machine)
{
    pthread_mutex_lock(&machine->lock);
    guint count = machine->pushes->len;
    pthread_mutex_unlock(&machine->lock);
    return count;
}

guint fake_machine_listed_count(fake_machine_t *machine)
{
    pthread_mutex_lock(&machine->lock);
    guint listed = machine->worker->attempts->len;
    pthread_mutex_unlock(&machine->lock);
    return listed;
}

guint fake_machine_active_count(fake_machine_t *machine)
{
    pthread_mutex_lock(&machine->lock);
    guint active = fake_worker_active_count(machine->worker);
    pthread_mutex_unlock(&machine->lock);
    return active;
}

guint fake_machine_started_count(fake_machine_t *machine)
{
    pthread_mutex_lock(&machine->lock);
    guint runs = machine->worker->started_count;
    pthread_mutex_unlock(&machine->lock);
    return runs;
}

void fake_machine_complete_attempts(fake_machine_t *machine)
{
    fake_machine_exit_attempts(machine, CAUSE_DONE);
}

void fake_machine_exit_attempts(fake_machine_t *machine, cause_t cause)
{
    pthread_mutex_lock(&machine->lock);
    for (guint i = 0; i < machine->worker->attempts->len; i++) {
        const reported_attempt_t *attempt =
            &g_array_index(machine->worker->attempts, reported_attempt_t, i);
        if (attempt->state != TASK_EXITED)
            fake_worker_exit_attempts(machine->worker, attempt->job, attempt->task, cause);
    }
    pthread_mutex_unlock(&machine->lock);
}
