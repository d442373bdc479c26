/* Reports: what one of them is worth, and what follows from it. */
#include "core/partition_internal.h"

#include <string.h>

static void take_session(partition_t *partition, machine_t *machine, const report_t *report)
{
    if (report->session <= machine->session && machine->session)
        return;
    /* The worker killed and forgot all of its earlier sessions, and commands of those are refused
     * there: proof for every attempt recorded under them. A placed one has not been sent. */
    for (guint i = 0; i < machine->attempts->len; i++) {
        attempt_t *attempt = g_ptr_array_index(machine->attempts, i);
        if (attempt->session < report->session)
            partition_attempt_over(partition, attempt, CAUSE_NONE);
    }
    machine->session = report->session;
    machine->unanswered_token = 0;
    machine->booked = (resources_t){0};
}

static void take_identity(partition_t *partition, machine_t *machine, const report_t *report)
{
    if (machine->reported && strcmp(machine->address, report->address) == 0)
        return;
    g_strlcpy(machine->address, report->address, sizeof machine->address);
    g_strlcpy(machine->type, report->type, sizeof machine->type);
    machine->spot = report->spot;
    partition_look_up_capacity(partition, machine);
}

/* A task that runs has its image: the machine will not fetch that one again soon. */
static void take_image(machine_t *machine, const attempt_t *attempt)
{
    if (!g_hash_table_contains(machine->images, attempt->entry.image))
        g_hash_table_add(machine->images, g_strdup(attempt->entry.image));
}

static void take_attempts(partition_t *partition, machine_t *machine, const report_t *report,
                          msec_t now)
{
    resources_t booked = {0};
    resources_t grown = {0};
    machine->starting = machine->running = 0;
    for (guint i = 0; i < machine->attempts->len; i++) {
        attempt_t *attempt = g_ptr_array_index(machine->attempts, i);
        attempt->listed = attempt->listed && attempt->phase == ATTEMPT_OVER;
    }
    for (guint i = 0; i < report->attempts->len; i++) {
        const reported_attempt_t *reported_attempt =
            &g_array_index(report->attempts, reported_attempt_t, i);
        attempt_t *attempt = partition_find_attempt(partition, reported_attempt, machine);
        if (!attempt || attempt->phase == ATTEMPT_OVER)
            continue;
        attempt->listed = true;
        attempt->state = reported_attempt->state;
        if (reported_attempt->state == TASK_EXITED) {
            partition_attempt_over(partition, attempt, reported_attempt->cause);
            continue;
        }
        if (reported_attempt->state == TASK_FETCHING)
            machine->starting++;
        else
            take_image(machine, attempt);
        machine->running += reported_attempt->state != TASK_FETCHING;
        resources_add(&booked, attempt->entry.need, 1);
        if (!attempt->listed_since) {
            attempt->listed_since = now;
            resources_add(&grown, attempt->entry.need, 1);
        }
        if (reported_attempt->state == TASK_FETCHING)
            reservation_see_start(machine->reservations, attempt->reservation_id, machine->receipt);
        else
            reservation_free(machine->reservations, attempt->reservation_id);
    }
    /* Growth is counted by the tasks newly listed, so that one that ended meanwhile hides none. */
    reservation_confirm(machine->reservations, grown, machine->receipt);
    machine->booked = booked;
}

/* Whether no `run` of ours that the worker has not executed can still be executed there: it has
 * seen this view's token, no direct command is under way, and none went unanswered under a token as
 * high as the one it has seen. Commands in answers to reports need no more care: this report was
 * sent after the answer to the one before arrived or was given up. That holds for ordinary reports
 * only; the answer to a direct command may overtake what an earlier report's answer carries. */
static bool nothing_under_way(const partition_t *partition, const machine_t *machine,
                              const report_t *report)
{
    return report->token >= partition->view && !machine->direct_busy &&
           machine->unanswered_token < report->token;
}

static void prove_absent(partition_t *partition, machine_t *machine, const report_t *report)
{
    if (!nothing_under_way(partition, machine, report))
        return;
    for (guint i = 0; i < machine->attempts->len; i++) {
        attempt_t *attempt = g_ptr_array_index(machine->attempts, i);
        if (attempt->phase == ATTEMPT_RECORDED && attempt->stop && !attempt->listed)
            partition_attempt_over(partition, attempt, CAUSE_STOPPED);
    }
}

static void answer_unknown(partition_t *partition, machine_t *machine, const report_t *report,
                           GArray *commands)
{
    /* `forget` ends the worker's memory of an attempt, after which a late copy of its `run` would
     * start it anew. So it goes out only in an ordinary answer, to a report that lists the exit,
     * and while no copy is under way. */
    bool may_forget = nothing_under_way(partition, machine, report);
    for (guint i = 0; i < report->attempts->len; i++) {
        const reported_attempt_t *reported_attempt =
            &g_array_index(report->attempts, reported_attempt_t, i);
        if (partition_find_attempt(partition, reported_attempt, machine))
            continue;
        if (reported_attempt->state != TASK_EXITED)
            partition_command_add(commands, COMMAND_STOP, reported_attempt->job,
                                  reported_attempt->task, reported_attempt->attempt, 0);
        else if (may_forget)
            partition_command_add(commands, COMMAND_FORGET, reported_attempt->job,
                                  reported_attempt->task, reported_attempt->attempt, 0);
    }
}

/* What a report is worth by its order alone. A copy may come seconds to minutes late, here or at a
 * controller that never saw the original: it must not rewind, prove, confirm or keep anything
 * alive. Within what this partition has seen, the worker's numbers tell. For a first report there
 * is nothing to compare with, but one that bears this view's token was sent in this view. */
static report_verdict_t judge_report(partition_t *partition, machine_t *machine,
                                     const report_t *report, bool direct)
{
    if (machine->gone || report->session < machine->session)
        return REPORT_STALE;
    if (!direct && !machine->spoke && report->token < partition->view)
        return REPORT_UNPROVEN;
    if (!machine->reported || report->session > machine->session)
        return REPORT_TAKEN;
    if (!direct && report->seq <= machine->spoken)
        return REPORT_STALE;
    return report->seq <= machine->seq ? REPORT_OVERTAKEN : REPORT_TAKEN;
}

/* An ordinary report came in its turn: what does it show about our answers? */
static void note_turn(machine_t *machine, const report_t *report, msec_t now)
{
    bool follows = now - machine->last_report < REPORT_FOLLOWS_MS;
    if (follows || !machine->spoke) {
        machine->spoke = true;
        machine->reached = now;
        machine->doubtful = false;
    }
    machine->last_report = now;
    machine->spoken = report->seq;
}

/* Whether starts may be sent there, as far as the machine goes. */
static bool takes_starts(const partition_t *partition, const machine_t *machine, msec_t now)
{
    return partition_is_reached(partition, machine, now) && !machine->reclaim_at;
}

report_verdict_t partition_report(partition_t *partition, const report_t *report, bool direct,
                                  msec_t now, GArray *commands)
{
    /* A late copy would bring a machine that is gone back to life, with all its resources free. */
    if (g_hash_table_contains(partition->departed, report->machine))
        return REPORT_STALE;
    machine_t *machine = g_hash_table_lookup(partition->machines, report->machine);
    if (!machine)
        machine = partition_machine_add(partition, report->machine, report->zone, NULL, now);
    report_verdict_t verdict = judge_report(partition, machine, report, direct);
    if (verdict == REPORT_OVERTAKEN && !direct)
        note_turn(machine, report, now);
    if (verdict != REPORT_TAKEN)
        return verdict;
    bool took_starts = takes_starts(partition, machine, now);
    take_identity(partition, machine, report);
    take_session(partition, machine, report);
    machine->seq = report->seq;
    machine->token = report->token;
    machine->receipt++;
    machine->reclaim_at =
        report->reclaim_in_s >= 0 ? MAX(now + (msec_t)(report->reclaim_in_s * MS_PER_S), 1) : 0;
    take_attempts(partition, machine, report, now);
    for (guint i = 0; i < machine->attempts->len; i++) {
        const attempt_t *attempt = g_ptr_array_index(machine->attempts, i);
        if (attempt->waits && attempt->phase == ATTEMPT_RECORDED && !attempt->listed)
            partition_want_direct(partition, machine);
    }
    if (!direct) {
        note_turn(machine, report, now);
        machine->reported = true;
        prove_absent(partition, machine, report);
        partition_wanted_commands(partition, machine, now, commands);
        answer_unknown(partition, machine, report, commands);
    }
    if (machine->attempts->len)
        machine->idle_since = now;
    partition->changes += takes_starts(partition, machine, now) != took_starts;
    return REPORT_TAKEN;
}

/* Only where it has not spoken yet: the lease of a machine that answers commands, but gets no
 * answers to its reports, ends all the same. */
void partition_probed(partition_t *partition, const char *id, msec_t now)
{
    machine_t *machine = g_hash_table_lookup(partition->machines, id);
    if (!machine || machine->reported)
        return;
    machine->reported = true;
    machine->reached = now;
    partition->changes++;
    partition_want_direct(partition, machine); /* starts that were recorded and perhaps not sent */
}

void partition_note_alive(partition_t *partition, const report_t *report, msec_t now)
{
    machine_t *machine = g_hash_table_lookup(partition->machines, report->machine);
    if (!machine || report->session < machine->session ||
        (report->session == machine->session && report->seq <= machine->spoken))
        return;
    machine->reached = machine->last_report = now;
}
