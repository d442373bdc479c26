#include "worker.h"

#include <string.h>

fake_worker_t *fake_worker_new(const char *id)
{
    fake_worker_t *worker = g_new0(fake_worker_t, 1);
    g_strlcpy(worker->id, id, sizeof worker->id);
    worker->session = 1;
    worker->pieces = g_array_new(FALSE, FALSE, sizeof(piece_t));
    return worker;
}

void fake_worker_free(fake_worker_t *worker)
{
    g_array_unref(worker->pieces);
    g_free(worker);
}

report_t fake_worker_report(fake_worker_t *worker)
{
    report_t report = {.session = worker->session,
                       .seq = ++worker->seq,
                       .token = worker->token,
                       .notice_s = -1,
                       .pieces = g_array_copy(worker->pieces)};
    g_strlcpy(report.machine, worker->id, sizeof report.machine);
    g_strlcpy(report.address, "10.1.0.1:9000", sizeof report.address);
    g_strlcpy(report.type, "t16", sizeof report.type);
    g_strlcpy(report.zone, "north", sizeof report.zone);
    return report;
}

static piece_t *find(fake_worker_t *worker, const call_t *call, guint *at)
{
    for (guint i = 0; i < worker->pieces->len; i++) {
        piece_t *piece = &g_array_index(worker->pieces, piece_t, i);
        if (strcmp(piece->job, call->job) == 0 && piece->task == call->task &&
            piece->attempt == call->attempt) {
            *at = i;
            return piece;
        }
    }
    return NULL;
}

static void execute(fake_worker_t *worker, const GArray *calls)
{
    for (guint i = 0; i < calls->len; i++) {
        const call_t *call = &g_array_index(calls, call_t, i);
        guint at = 0;
        piece_t *piece = find(worker, call, &at);
        if (call->op == CALL_RUN && !piece) {
            piece_t fresh = {.task = call->task, .attempt = call->attempt, .state = PIECE_RUNNING};
            g_strlcpy(fresh.job, call->job, sizeof fresh.job);
            g_array_append_val(worker->pieces, fresh);
            worker->runs++;
        } else if (call->op == CALL_STOP && piece && piece->state != PIECE_EXITED) {
            piece->state = PIECE_EXITED;
            piece->cause = CAUSE_STOPPED;
        } else if (call->op == CALL_FORGET && piece && piece->state == PIECE_EXITED) {
            g_array_remove_index(worker->pieces, at);
        }
    }
}

bool fake_worker_answer(fake_worker_t *worker, uint64_t token, const GArray *calls)
{
    if (token < worker->token)
        return false;
    worker->token = token;
    execute(worker, calls);
    return true;
}

bool fake_worker_direct(fake_worker_t *worker, uint64_t token, uint64_t session,
                        const GArray *calls)
{
    return session == worker->session && fake_worker_answer(worker, token, calls);
}

void fake_worker_exit(fake_worker_t *worker, const char *job, uint32_t task, cause_t cause)
{
    for (guint i = 0; i < worker->pieces->len; i++) {
        piece_t *piece = &g_array_index(worker->pieces, piece_t, i);
        if (strcmp(piece->job, job) == 0 && piece->task == task) {
            piece->state = PIECE_EXITED;
            piece->cause = cause;
        }
    }
}

void fake_worker_lose_lease(fake_worker_t *worker)
{
    worker->session++;
    g_array_set_size(worker->pieces, 0);
}

guint fake_worker_active(const fake_worker_t *worker)
{
    guint active = 0;
    for (guint i = 0; i < worker->pieces->len; i++)
        active += g_array_index(worker->pieces, piece_t, i).state != PIECE_EXITED;
    return active;
}
