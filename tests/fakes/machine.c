#include "machine.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

static json_t *build_piece(const piece_t *piece)
{
    static const char *const states[] = {"pulling", "running", "saving", "exited"};
    static const char *const causes[] = {"", "done", "halted", "error"};
    json_t *value =
        json_pack("{s:o,s:I,s:s}", "Piece", json_sprintf("%s/%u", piece->job, piece->task), "Heave",
                  (json_int_t)piece->attempt, "Trim", states[piece->state]);
    if (piece->state == PIECE_EXITED)
        json_object_set_new(value, "Cause", json_string(causes[piece->cause]));
    return value;
}

/* With the lock held. */
static json_t *build_report(fake_machine_t *machine)
{
    report_t report = fake_worker_report(machine->worker);
    json_t *pieces = json_array();
    for (guint i = 0; i < report.pieces->len; i++)
        json_array_append_new(pieces, build_piece(&g_array_index(report.pieces, piece_t, i)));
    json_t *body =
        json_pack("{s:s,s:o,s:s,s:s,s:b,s:I,s:I,s:I,s:o}", "Winch", report.machine, "Address",
                  json_sprintf("127.0.0.1:%u", machine->port), "Hull", report.type, "Dock",
                  report.zone, "Driftwood", 1, "Watch", (json_int_t)report.session, "Tally",
                  (json_int_t)report.seq, "Helm", (json_int_t)report.token, "Pieces", pieces);
    report_clear(&report);
    return body;
}

static GArray *parse_calls(const json_t *body)
{
    static const char *const names[] = {"run", "stop", "forget"};
    GArray *calls = g_array_new(FALSE, TRUE, sizeof(call_t));
    size_t i;
    json_t *value;
    json_array_foreach(json_object_get(body, "Calls"), i, value)
    {
        call_t call = {.attempt = (uint64_t)json_integer_value(json_object_get(value, "Heave"))};
        const char *name = json_string_value(json_object_get(value, "Call"));
        char **piece = g_strsplit(json_string_value(json_object_get(value, "Piece")), "/", 2);
        for (guint op = 0; op < G_N_ELEMENTS(names); op++)
            if (strcmp(names[op], name) == 0)
                call.op = (call_op_t)op;
        g_strlcpy(call.job, piece[0], sizeof call.job);
        call.task = (uint32_t)g_ascii_strtoull(piece[1], NULL, 10);
        g_strfreev(piece);
        g_array_append_val(calls, call);
    }
    return calls;
}

static uint64_t number(const json_t *body, const char *name)
{
    return (uint64_t)json_integer_value(json_object_get(body, name));
}

static enum MHD_Result handle(void *data, struct MHD_Connection *connection, const char *path,
                              const char *method, const char *version, const char *upload,
                              size_t *upload_size, void **context)
{
    (void)path;
    (void)method;
    (void)version;
    fake_machine_t *machine = data;
    GString *text = *context;
    if (!text) {
        *context = g_string_new(NULL);
        return MHD_YES;
    }
    if (*upload_size) {
        g_string_append_len(text, upload, (gssize)*upload_size);
        *upload_size = 0;
        return MHD_YES;
    }
    json_t *body = json_loadb(text->str, text->len, 0, NULL);
    g_string_free(text, TRUE);
    GArray *calls = parse_calls(body);
    pthread_mutex_lock(&machine->lock);
    bool executed =
        fake_worker_direct(machine->worker, number(body, "Helm"), number(body, "Watch"), calls);
    json_t *report = build_report(machine);
    pthread_mutex_unlock(&machine->lock);
    g_array_unref(calls);
    json_decref(body);
    char *answer = json_dumps(report, JSON_COMPACT);
    json_decref(report);
    struct MHD_Response *response =
        MHD_create_response_from_buffer(strlen(answer), answer, MHD_RESPMEM_MUST_FREE);
    enum MHD_Result result = MHD_queue_response(connection, executed ? 200 : 409, response);
    MHD_destroy_response(response);
    return result;
}

fake_machine_t *fake_machine_new(const char *id)
{
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    fake_machine_t *machine = g_new0(fake_machine_t, 1);
    pthread_mutex_init(&machine->lock, NULL);
    machine->worker = fake_worker_new(id);
    struct MHD_Daemon *daemon =
        MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION, 0, NULL,
                         NULL, handle, machine, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_END);
    if (!daemon)
        abort();
    machine->port = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    return machine;
}

json_t *fake_machine_report(fake_machine_t *machine)
{
    pthread_mutex_lock(&machine->lock);
    json_t *body = build_report(machine);
    pthread_mutex_unlock(&machine->lock);
    return body;
}

void fake_machine_answer(fake_machine_t *machine, const json_t *answer)
{
    GArray *calls = parse_calls(answer);
    pthread_mutex_lock(&machine->lock);
    fake_worker_answer(machine->worker, number(answer, "Helm"), calls);
    pthread_mutex_unlock(&machine->lock);
    g_array_unref(calls);
}

guint fake_machine_active(fake_machine_t *machine)
{
    pthread_mutex_lock(&machine->lock);
    guint active = fake_worker_active(machine->worker);
    pthread_mutex_unlock(&machine->lock);
    return active;
}

void fake_machine_complete(fake_machine_t *machine)
{
    pthread_mutex_lock(&machine->lock);
    for (guint i = 0; i < machine->worker->pieces->len; i++) {
        piece_t *piece = &g_array_index(machine->worker->pieces, piece_t, i);
        if (piece->state != PIECE_EXITED)
            fake_worker_exit(machine->worker, piece->job, piece->task, CAUSE_DONE);
    }
    pthread_mutex_unlock(&machine->lock);
}
