/* Stories of one part and its workers: when a task may be placed again, and when not. */

#include "core/part.h"
#include "story.h"
#include "worker.h"

typedef struct {
    GArray *flavors;
    GArray *teams;
    part_t *part;
    fake_worker_t *worker;
    GArray *calls;
    uint64_t revision;
    msec_t now;
} stage_t;

static stage_t *stage;

static int set_up(void **state)
{
    (void)state;
    stage = g_new0(stage_t, 1);
    stage->flavors = g_array_new(FALSE, FALSE, sizeof(flavor_t));
    flavor_t flavor = {.name = "t16", .room = {16, 0, 64}};
    g_array_append_val(stage->flavors, flavor);
    stage->teams = g_array_new(FALSE, FALSE, sizeof(team_t));
    stage->part = part_new(stage->flavors, stage->teams, 30000);
    part_set_view(stage->part, 7);
    stage->worker = fake_worker_new("m-000001");
    stage->worker->token = 7; /* it has heard of this view */
    stage->calls = g_array_new(FALSE, FALSE, sizeof(call_t));
    stage->now = 1000;
    stage->revision = 10;
    return 0;
}

static int tear_down(void **state)
{
    (void)state;
    part_free(stage->part);
    fake_worker_free(stage->worker);
    g_array_unref(stage->calls);
    g_array_unref(stage->flavors);
    g_array_unref(stage->teams);
    g_free(stage);
    return 0;
}

static report_verdict_t deliver(report_t *report, bool direct)
{
    g_array_set_size(stage->calls, 0);
    report_verdict_t verdict = part_report(stage->part, report, direct, stage->now, stage->calls);
    report_clear(report);
    return verdict;
}

/* One report, taken and answered. */
static void exchange(void)
{
    report_t report = fake_worker_report(stage->worker);
    assert_int_equal(deliver(&report, false), REPORT_TAKEN);
    assert_true(fake_worker_answer(stage->worker, stage->part->view, stage->calls));
    stage->now += 1000;
}

static offer_t offer_of(const char *job, uint32_t task, uint64_t attempt, double cpus)
{
    offer_t offer = {.need = {cpus, 0, 4}, .task = task, .attempt = attempt, .job_stamp = 5};
    g_strlcpy(offer.job, job, sizeof offer.job);
    g_strlcpy(offer.team, "red", sizeof offer.team);
    return offer;
}

static void commit(void)
{
    part_batch_t *batch =
        part_batch_take(stage->part, &(part_limits_t){20, 80, 16384, TXN_VALUES}, stage->now);
    part_batch_commit(stage->part, batch, ++stage->revision, stage->now);
    part_batch_free(batch);
}

static void place(const char *job, uint32_t task, uint64_t attempt)
{
    offer_t offer = offer_of(job, task, attempt, 4);
    assert_non_null(part_place(stage->part, &offer, stage->now));
}

static guint count_calls(call_op_t op)
{
    guint count = 0;
    for (guint i = 0; i < stage->calls->len; i++)
        count += g_array_index(stage->calls, call_t, i).op == op;
    return count;
}

/* Has the leader been told that the attempt is over, with this cause? */
static bool told(uint32_t task, cause_t cause)
{
    for (guint i = 0; i < stage->part->outcomes->len; i++) {
        const outcome_t *outcome = &g_array_index(stage->part->outcomes, outcome_t, i);
        if (outcome->ref.task == task && outcome->cause == cause)
            return true;
    }
    return false;
}

static void start_follows_its_record(void **state)
{
    (void)state;
    exchange();
    place("j-000001", 0, 100);
    exchange();
    assert_int_equal(stage->worker->runs, 0); /* not recorded: not sent */
    commit();
    exchange();
    assert_int_equal(stage->worker->runs, 1);
    exchange();
    assert_int_equal(count_calls(CALL_RUN), 0); /* listed: not sent again */
}

static void lost_answer_repeats_the_same_attempt(void **state)
{
    (void)state;
    exchange();
    place("j-000001", 0, 100);
    commit();
    report_t report = fake_worker_report(stage->worker);
    deliver(&report, false);
    assert_int_equal(count_calls(CALL_RUN), 1); /* this answer is lost */
    exchange();
    assert_int_equal(stage->worker->runs, 1);
    assert_int_equal(stage->part->outcomes->len, 0);
}

static void silence_is_no_proof(void **state)
{
    (void)state;
    exchange();
    place("j-000001", 0, 100);
    commit();
    exchange();
    stage->now += 3600 * 1000;
    part_tick(stage->part, stage->now);
    commit();
    assert_int_equal(stage->part->outcomes->len, 0);
    assert_int_equal(g_hash_table_size(stage->part->attempts), 1);
}

static void lapsed_reservation_frees_room_but_not_the_task(void **state)
{
    (void)state;
    exchange();
    place("j-000001", 0, 100);
    machine_t *machine = g_hash_table_lookup(stage->part->machines, "m-000001");
    assert_true(part_free_room(machine).cpus < 12.5);
    stage->now += 30000;
    part_tick(stage->part, stage->now);
    assert_true(part_free_room(machine).cpus > 15.5);
    assert_int_equal(g_hash_table_size(stage->part->attempts), 1);
    assert_int_equal(stage->part->outcomes->len, 0);
}

static void new_session_proves_the_old_one_over(void **state)
{
    (void)state;
    exchange();
    place("j-000001", 0, 100);
    commit();
    exchange();
    fake_worker_lose_lease(stage->worker);
    exchange();
    assert_int_equal(stage->part->outcomes->len, 0); /* told only once the record is gone */
    commit();
    assert_true(told(0, CAUSE_NONE));
    assert_int_equal(g_hash_table_size(stage->part->attempts), 0);
}

static void late_report_of_an_old_session_is_dropped(void **state)
{
    (void)state;
    exchange();
    report_t late = fake_worker_report(stage->worker);
    fake_worker_lose_lease(stage->worker);
    exchange();
    assert_int_equal(deliver(&late, false), REPORT_STALE);
}

/* The answer to a direct command may overtake a report. Refused, its worker would leave for another
 * node; so it is answered, and nothing of it is taken. */
static void overtaken_report_changes_nothing(void **state)
{
    (void)state;
    exchange();
    place("j-000001", 0, 100);
    commit();
    report_t late = fake_worker_report(stage->worker);
    GArray *calls = g_array_new(FALSE, FALSE, sizeof(call_t));
    assert_non_null(part_direct_take(stage->part, stage->now, calls));
    assert_true(fake_worker_direct(stage->worker, 7, 1, calls));
    g_array_unref(calls);
    report_t answer = fake_worker_report(stage->worker);
    assert_int_equal(deliver(&answer, true), REPORT_TAKEN); /* the task runs and is listed */
    assert_int_equal(deliver(&late, false), REPORT_OVERTAKEN);
    assert_int_equal(stage->calls->len, 0);
    assert_true(((machine_t *)g_hash_table_lookup(stage->part->machines, "m-000001"))->running ==
                1);
}

/* Settled results leave the record with the next start, or when it has waited for one. */
static void commit_later(void)
{
    part_tick(stage->part, stage->now);
    stage->now += RECORD_LAZY_MS;
    commit();
}

/* The task is done, and its worker has said so. */
static void run_to_the_end(void)
{
    exchange();
    place("j-000001", 0, 100);
    commit();
    exchange();
    fake_worker_exit(stage->worker, "j-000001", 0, CAUSE_DONE);
    exchange();
}

static void done_is_forgotten_only_when_settled(void **state)
{
    (void)state;
    task_ref_t ref = task_ref("j-000001", 0, 100);
    run_to_the_end();
    assert_true(told(0, CAUSE_DONE));
    commit();
    exchange();
    assert_int_equal(count_calls(CALL_FORGET), 0);
    part_settle(stage->part, &ref);
    commit_later();
    exchange();
    assert_int_equal(count_calls(CALL_FORGET), 1);
    assert_int_equal(stage->worker->pieces->len, 0);
}

/* Every write of a key is paid for: a result that is settled goes with the next start on any of the
 * shard's machines, and has no write of its own before. */
static void settled_result_goes_with_the_next_start(void **state)
{
    (void)state;
    task_ref_t ref = task_ref("j-000001", 0, 100);
    run_to_the_end();
    part_tick(stage->part, stage->now);
    part_settle(stage->part, &ref);
    part_batch_t *batch =
        part_batch_take(stage->part, &(part_limits_t){20, 80, 16384, TXN_VALUES}, stage->now);
    assert_int_equal(batch->records->len, 0);
    part_batch_free(batch);
    place("j-000001", 1, 101);
    batch = part_batch_take(stage->part, &(part_limits_t){20, 80, 16384, TXN_VALUES}, stage->now);
    assert_int_equal(batch->records->len, 1);
    const page_record_t *record = &g_array_index(batch->records, page_record_t, 0);
    const machine_record_t *machine = &g_array_index(record->machines, machine_record_t, 0);
    assert_int_equal(machine->entries->len, 1); /* the start, and no more the result */
    assert_int_equal(g_array_index(machine->entries, record_entry_t, 0).attempt, 101);
    part_batch_commit(stage->part, batch, ++stage->revision, stage->now);
    part_batch_free(batch);
    assert_int_equal(g_hash_table_size(stage->part->attempts), 1);
}

/* A direct `run` got no answer and arrives after the task has ended: were the attempt forgotten
 * before, the worker would start it a second time. */
static void late_run_meets_a_worker_that_still_knows_it(void **state)
{
    (void)state;
    exchange();
    place("j-000001", 0, 100);
    commit();
    GArray *late = g_array_new(FALSE, FALSE, sizeof(call_t));
    assert_non_null(part_direct_take(stage->part, stage->now, late));
    part_direct_done(stage->part, "m-000001", late, 7, DIRECT_UNANSWERED);
    exchange(); /* the report's answer starts it */
    assert_int_equal(stage->worker->runs, 1);
    fake_worker_exit(stage->worker, "j-000001", 0, CAUSE_ERROR);
    exchange();
    commit();
    exchange();
    assert_int_equal(count_calls(CALL_FORGET), 0);
    assert_true(part_wants_token(stage->part));
    assert_true(fake_worker_direct(stage->worker, 7, 1, late));
    assert_int_equal(stage->worker->runs, 1);
    /* With the token moved on, the copy is void and the attempt may be forgotten. */
    part_set_view(stage->part, 8);
    exchange();
    exchange();
    assert_int_equal(stage->worker->pieces->len, 0);
    assert_false(fake_worker_direct(stage->worker, 7, 1, late));
    assert_int_equal(stage->worker->runs, 1);
    g_array_unref(late);
}

static void abort_racing_a_start_under_way_waits_for_proof(void **state)
{
    (void)state;
    exchange();
    place("j-000001", 0, 100);
    commit();
    GArray *late = g_array_new(FALSE, FALSE, sizeof(call_t));
    part_direct_take(stage->part, stage->now, late);
    part_end_job(stage->part, "j-000001");
    exchange(); /* not listed, but the direct command may still arrive */
    commit();
    assert_int_equal(stage->part->outcomes->len, 0);
    assert_true(fake_worker_direct(stage->worker, 7, 1, late));
    part_direct_done(stage->part, "m-000001", late, 7, DIRECT_UNANSWERED);
    exchange();
    assert_int_equal(fake_worker_active(stage->worker), 0); /* stopped as soon as it is seen */
    exchange();
    commit();
    assert_true(told(0, CAUSE_STOPPED));
    g_array_unref(late);
}

static void abort_before_the_record_drops_the_start(void **state)
{
    (void)state;
    exchange();
    place("j-000001", 0, 100);
    part_end_job(stage->part, "j-000001");
    commit();
    exchange();
    assert_int_equal(stage->worker->runs, 0);
    assert_int_equal(g_hash_table_size(stage->part->attempts), 0);
}

static void abort_racing_done_frees_the_result(void **state)
{
    (void)state;
    run_to_the_end();
    part_end_job(stage->part, "j-000001"); /* nobody will settle it now */
    commit_later();
    exchange();
    assert_int_equal(stage->worker->pieces->len, 0);
}

/* Two controllers believe that they own the machine: the one with the older token can neither
 * start anything there nor take its report for its own. */
static void older_owner_is_powerless(void **state)
{
    (void)state;
    part_t *older = part_new(stage->flavors, stage->teams, 30000);
    part_set_view(older, 6);
    exchange();
    place("j-000001", 0, 100);
    commit();
    exchange();
    GArray *calls = g_array_new(FALSE, FALSE, sizeof(call_t));
    report_t report = fake_worker_report(stage->worker);
    part_report(older, &report, false, stage->now, calls);
    assert_false(fake_worker_answer(stage->worker, 6, calls));
    assert_int_equal(fake_worker_active(stage->worker), 1);
    report_clear(&report);
    g_array_unref(calls);
    part_free(older);
}

/* The part takes over a record of an earlier view with one attempt. */
static void load_record(void)
{
    page_record_t record = {.stamp = 9, .machines = machine_records_new()};
    machine_record_t machine = {.session = 1,
                                .address = "10.1.0.1:9000",
                                .type = "t16",
                                .zone = "north",
                                .machine = "m-000001"};
    machine.entries = g_array_new(FALSE, FALSE, sizeof(record_entry_t));
    record_entry_t entry = {
        .job = "j-000001", .team = "red", .image = "i", .need = {4, 0, 4}, .attempt = 55};
    g_array_append_val(machine.entries, entry);
    g_array_append_val(record.machines, machine);
    shard_of(machine.machine, machine.zone, record.shard, sizeof record.shard);
    part_load(stage->part, &record, stage->now);
    g_array_unref(record.machines);
}

/* The record of an earlier view: its attempts stand until the worker, under this view's token, says
 * otherwise; one it does not know is sent again under the same number. */
static void new_view_takes_over_from_the_record(void **state)
{
    (void)state;
    load_record();
    exchange();
    assert_int_equal(stage->worker->runs, 1);
    exchange();
    assert_int_equal(stage->worker->runs, 1);
    assert_int_equal(g_hash_table_size(stage->part->attempts), 1);
}

/* Cancelled under an earlier view: absence proves nothing before the worker has seen this token. */
static void absence_needs_the_present_token(void **state)
{
    (void)state;
    load_record();
    part_end_job(stage->part, "j-000001");
    stage->worker->token = 6;
    report_t report = fake_worker_report(stage->worker);
    assert_int_equal(deliver(&report, false), REPORT_UNPROVEN);
    fake_worker_answer(stage->worker, 7, stage->calls);
    commit();
    assert_int_equal(stage->part->outcomes->len, 0);
    exchange();
    commit();
    assert_true(told(0, CAUSE_STOPPED));
}

/* Nobody here knows what was cancelled of late: what is recorded waits, and starts when it is
 * known.
 */
static void no_start_leaves_while_cancellations_may_be_unknown(void **state)
{
    (void)state;
    exchange();
    place("j-000001", 0, 100);
    place("j-000002", 0, 101);
    commit();
    part_hold_starts(stage->part, true);
    exchange();
    assert_null(part_direct_take(stage->part, stage->now, stage->calls));
    assert_int_equal(stage->worker->runs, 0);
    part_end_job(stage->part, "j-000002"); /* a sibling says so */
    part_hold_starts(stage->part, false);
    exchange();
    assert_int_equal(stage->worker->runs, 1);
    assert_string_equal(g_array_index(stage->worker->pieces, piece_t, 0).job, "j-000001");
}

static const call_t *the_stop(void)
{
    for (guint i = 0; i < stage->calls->len; i++)
        if (g_array_index(stage->calls, call_t, i).op == CALL_STOP)
            return &g_array_index(stage->calls, call_t, i);
    return NULL;
}

/* A task that was given time to save, or still fetches, when its job is cancelled. */
static void a_cancellation_gives_no_time_to_save(void **state)
{
    (void)state;
    const piece_state_t states[] = {PIECE_SAVING, PIECE_FETCHING};
    exchange();
    for (uint32_t i = 0; i < 2; i++) {
        offer_t offer = offer_of("j-000001", i, 100 + i, 4);
        offer.checkpoint_s = 30;
        offer.save_s = 10;
        part_place(stage->part, &offer, stage->now);
        commit();
        exchange();
        g_array_index(stage->worker->pieces, piece_t, i).state = states[i];
        task_ref_t ref = task_ref("j-000001", i, 100 + i);
        part_withdraw(stage->part, &ref, stage->now);
    }
    part_end_job(stage->part, "j-000001");
    report_t report = fake_worker_report(stage->worker);
    deliver(&report, false);
    assert_int_equal(count_calls(CALL_STOP), 2);
    assert_true(the_stop()->grace_s == 0);
}

/* All controllers were away for longer than a lease: the workers killed everything. Each record is
 * over with the second report, whose token shows that it is no copy, and may be placed again. */
static void after_all_were_away_each_record_is_over_at_once(void **state)
{
    (void)state;
    load_record();
    stage->worker->token = 6;
    stage->worker->seq = 40;
    fake_worker_lose_lease(stage->worker);
    report_t report = fake_worker_report(stage->worker);
    assert_int_equal(deliver(&report, false), REPORT_UNPROVEN);
    commit();
    assert_int_equal(stage->part->outcomes->len, 0);
    fake_worker_answer(stage->worker, 7, stage->calls);
    exchange();
    assert_int_equal(stage->worker->runs, 0); /* not sent again under the old attempt */
    commit();
    assert_true(told(0, CAUSE_NONE));
}

/* A leader ended while this machine, with a long task, could not be reached, or does not hear the
 * new one's answers: its reports come, under the old token. The attempt stands, in the record too,
 * until the cloud says that the machine is gone. */
static void a_deaf_machine_keeps_its_task_through_a_change_of_leader(void **state)
{
    (void)state;
    load_record();
    stage->worker->token = 6;
    piece_t piece = {.job = "j-000001", .attempt = 55, .state = PIECE_RUNNING};
    g_array_append_val(stage->worker->pieces, piece);
    for (int i = 0; i < 4; i++) {
        report_t report = fake_worker_report(stage->worker);
        assert_int_equal(deliver(&report, false), REPORT_UNPROVEN);
        stage->now += 15000;
    }
    fake_worker_lose_lease(stage->worker);
    report_t report = fake_worker_report(stage->worker);
    deliver(&report, false);
    commit();
    assert_int_equal(stage->part->outcomes->len, 0);
    part_machine_gone(stage->part, "m-000001");
    commit();
    assert_true(told(0, CAUSE_NONE));
}

static const machine_t *the_machine(void)
{
    return g_hash_table_lookup(stage->part->machines, "m-000001");
}

/* A fresh owner, after a restart or a change of view, has nothing to compare a report with. A copy
 * from minutes ago must not rewind session or address, prove absence, forget, or keep alive. */
static void copy_at_a_fresh_owner_changes_nothing(void **state)
{
    (void)state;
    load_record();
    part_end_job(stage->part, "j-000001");
    fake_worker_t *past = fake_worker_new("m-000001");
    past->token = 6;
    past->seq = 40;
    report_t copy = fake_worker_report(past);
    g_strlcpy(copy.address, "10.9.9.9:1", sizeof copy.address);
    stage->now += 5000;
    assert_int_equal(deliver(&copy, false), REPORT_UNPROVEN);
    assert_int_equal(stage->calls->len, 0);
    assert_string_equal(the_machine()->address, "10.1.0.1:9000");
    assert_int_equal(the_machine()->reached, stage->now - 5000);
    assert_false(part_is_reached(stage->part, the_machine(), stage->now));
    commit();
    assert_int_equal(stage->part->outcomes->len, 0);
    fake_worker_free(past);
}

/* At the owner that saw the original: not newer than it, so nothing of it counts, and the machine
 * stays as silent as it is. */
static void copy_at_the_owner_keeps_nothing_alive(void **state)
{
    (void)state;
    exchange();
    report_t original = fake_worker_report(stage->worker), copy = original;
    copy.pieces = g_array_copy(original.pieces);
    deliver(&original, false);
    msec_t last = stage->now;
    place("j-000001", 0, 100);
    commit();
    stage->now += 20000;
    assert_int_equal(deliver(&copy, false), REPORT_STALE);
    assert_int_equal(the_machine()->reached, last);
    assert_int_equal(the_machine()->last_report, last);
    assert_int_equal(the_machine()->reservations->len, 1); /* confirmed by nothing */
    assert_int_equal(stage->calls->len, 0);
}

/* Reports come, answers and commands are lost: the worker waits 4 s for each answer and goes from
 * node to node, so it is heard here every 15 s. Starts sent there would all be lost with its lease,
 * time after time. */
static void heard_but_not_reached_gets_no_starts(void **state)
{
    (void)state;
    offer_t offer = offer_of("j-000001", 1, 101, 4);
    exchange();
    place("j-000001", 0, 100);
    commit();
    exchange();
    for (int round = 0; round < 3; round++) {
        stage->now += 15000;
        fake_worker_lose_lease(stage->worker);
        report_t report = fake_worker_report(stage->worker);
        assert_int_equal(deliver(&report, false), REPORT_TAKEN);
        assert_null(part_place(stage->part, &offer, stage->now));
        assert_true(stage->now - the_machine()->reached >= 15000); /* as good as silent */
        commit();
        assert_true(told(0, CAUSE_NONE)); /* its new session is proof: the task goes on elsewhere */
    }
    exchange();
    exchange(); /* a second report at once: the answer has arrived */
    assert_non_null(part_place(stage->part, &offer, stage->now));
}

static const machine_t *probe(direct_result_t result)
{
    const machine_t *machine = part_direct_take(stage->part, stage->now, stage->calls);
    if (!machine)
        return NULL;
    assert_int_equal(stage->calls->len, 0);
    part_direct_done(stage->part, "m-000001", stage->calls, 7, result);
    report_t report = fake_worker_report(stage->worker);
    if (result <= DIRECT_REFUSED)
        assert_int_equal(deliver(&report, true), REPORT_TAKEN);
    else
        report_clear(&report);
    if (result == DIRECT_EXECUTED)
        part_probed(stage->part, "m-000001", stage->now);
    return machine;
}

/* With reports 3 s apart, each change of view closed every machine for up to 4 s. A new owner asks;
 * the answer to a command of its own view is no copy. */
static void new_owner_asks_and_need_not_wait_for_a_report(void **state)
{
    (void)state;
    offer_t offer = offer_of("j-000009", 0, 900, 4);
    load_record();
    assert_null(part_place(stage->part, &offer, stage->now));
    assert_non_null(probe(DIRECT_EXECUTED));
    assert_non_null(part_place(stage->part, &offer, stage->now));
    /* It opens the machine for a moment only: leases are renewed by reports. */
    offer.task = 1;
    stage->now += stage->part->fresh;
    assert_null(part_place(stage->part, &offer, stage->now));
    /* A report from before this view is still perhaps a copy. */
    report_t copy = fake_worker_report(stage->worker);
    copy.token = 6;
    assert_int_equal(deliver(&copy, false), REPORT_UNPROVEN);
    assert_null(part_place(stage->part, &offer, stage->now));
    exchange();
    assert_non_null(part_place(stage->part, &offer, stage->now));
}

static void probe_that_is_refused_or_lost_opens_nothing(void **state)
{
    (void)state;
    offer_t offer = offer_of("j-000009", 0, 900, 4);
    load_record();
    assert_non_null(probe(DIRECT_REFUSED)); /* another session, or a higher token */
    assert_null(part_place(stage->part, &offer, stage->now));
    assert_null(probe(DIRECT_EXECUTED)); /* it is asked once */
    assert_int_equal(stage->part->probing, 0);
    exchange();
    assert_non_null(part_place(stage->part, &offer, stage->now));
}

/* At 3 s and a half more between reports, a machine looked unreached each time, for 4 s was the
 * limit; after lease_s + 5 s of that it was released, with all its tasks. */
static void workers_that_report_seldom_are_not_taken_for_silent(void **state)
{
    (void)state;
    offer_t offer = offer_of("j-000001", 0, 100, 1);
    part_set_report(stage->part, 3.0);
    exchange();
    for (uint32_t i = 0; i < 8; i++) {
        stage->now += 3500; /* and 1 s in exchange() */
        offer.task = i;
        offer.attempt = 100 + i;
        assert_non_null(part_place(stage->part, &offer, stage->now));
        exchange();
        assert_true(stage->now - the_machine()->reached <= 1000);
    }
}

/* A worker that reaches no controller, while commands reach it: its lease ends all the same. The
 * refused command's body shows the new session, and that is proof; its old one has none. */
static void a_mute_machine_is_resolved_by_the_answer_to_a_command(void **state)
{
    (void)state;
    load_record();
    assert_non_null(part_direct_take(stage->part, stage->now, stage->calls));
    assert_int_equal(stage->calls->len, 0);
    report_t same = fake_worker_report(stage->worker);
    assert_int_equal(deliver(&same, true), REPORT_TAKEN); /* it lists nothing: no proof by itself */
    commit();
    assert_int_equal(stage->part->outcomes->len, 0);
    fake_worker_lose_lease(stage->worker);
    report_t answer = fake_worker_report(stage->worker);
    deliver(&answer, true);
    part_direct_done(stage->part, "m-000001", stage->calls, 7, DIRECT_REFUSED);
    commit();
    assert_true(told(0, CAUSE_NONE));
    offer_t offer = offer_of("j-000009", 0, 900, 4);
    stage->now += stage->part->fresh;
    assert_null(part_place(stage->part, &offer, stage->now)); /* its leases can't be renewed */
}

/* A command to a machine that hangs holds a sender for its whole patience. It gets no further one,
 * and no start, until it shows that it is reached; those behind it in the queue have their turn. */
static void hanging_machine_holds_one_sender_once(void **state)
{
    (void)state;
    offer_t offer = offer_of("j-000001", 1, 101, 4);
    exchange();
    place("j-000001", 0, 100);
    commit();
    machine_t *machine = part_direct_take(stage->part, stage->now, stage->calls);
    assert_ptr_equal(machine, the_machine());
    part_direct_done(stage->part, "m-000001", stage->calls, 7, DIRECT_UNANSWERED);
    part_end_job(stage->part, "j-000001"); /* wants a stop there */
    assert_null(part_direct_take(stage->part, stage->now, stage->calls));
    assert_null(part_place(stage->part, &offer, stage->now));
    exchange();
    exchange();
    assert_non_null(part_place(stage->part, &offer, stage->now));
}

static void released_machine_is_proof(void **state)
{
    (void)state;
    exchange();
    place("j-000001", 0, 100);
    commit();
    part_machine_gone(stage->part, "m-000001");
    commit();
    assert_true(told(0, CAUSE_NONE));
    assert_int_equal(g_hash_table_size(stage->part->machines), 0);
}

/* Its room would look free, and starts would wait there for minutes. */
static void copy_does_not_bring_a_released_machine_back(void **state)
{
    (void)state;
    offer_t offer = offer_of("j-000001", 0, 100, 4);
    exchange();
    report_t copy = fake_worker_report(stage->worker);
    part_machine_gone(stage->part, "m-000001");
    commit();
    assert_int_equal(deliver(&copy, false), REPORT_STALE);
    assert_int_equal(g_hash_table_size(stage->part->machines), 0);
    assert_null(part_place(stage->part, &offer, stage->now));
}

static void full_machine_is_skipped(void **state)
{
    (void)state;
    offer_t offer = offer_of("j-000001", 0, 100, 10);
    offer_t second = offer_of("j-000001", 1, 101, 10);
    exchange();
    assert_non_null(part_place(stage->part, &offer, stage->now));
    assert_null(part_place(stage->part, &second, stage->now));
}

static void lower_pressure_wins_and_equals_take_turns(void **state)
{
    (void)state;
    fake_worker_t *other = fake_worker_new("m-000002");
    other->token = 7;
    report_t report = fake_worker_report(other);
    exchange();
    deliver(&report, false);
    guint first = 0;
    for (uint32_t i = 0; i < 4; i++) {
        offer_t offer = offer_of("j-000001", i, 100 + i, 4);
        machine_t *machine = part_place(stage->part, &offer, stage->now);
        assert_non_null(machine);
        first += strcmp(machine->id, "m-000001") == 0;
    }
    assert_int_equal(first, 2);
    fake_worker_free(other);
}

/* Four tasks take all of the machine, and have run long enough to be stopped. */
static void fill_machine(void)
{
    exchange();
    for (uint32_t i = 0; i < 4; i++)
        place("j-000001", i, 100 + i);
    commit();
    exchange();
    exchange();
    stage->now += PREEMPT_PROTECT_MS;
    exchange();
}

/* The machine is full of low work; an urgent task makes room for itself, in one message. */
static void urgent_work_takes_the_place_of_low_work(void **state)
{
    (void)state;
    fill_machine();
    offer_t urgent = offer_of("j-000002", 0, 200, 4);
    urgent.urgency = URGENCY_HIGH;
    assert_null(part_place(stage->part, &urgent, stage->now));
    urgent.preempt = true;
    assert_non_null(part_place(stage->part, &urgent, stage->now));
    commit();
    exchange();
    assert_int_equal(count_calls(CALL_STOP), 1);
    assert_int_equal(count_calls(CALL_RUN), 1);
    assert_int_equal(fake_worker_active(stage->worker), 4);
    exchange();
    commit();
    assert_true(told(3, CAUSE_STOPPED) || told(2, CAUSE_STOPPED) || told(1, CAUSE_STOPPED) ||
                told(0, CAUSE_STOPPED));
}

static void equal_urgency_is_never_stopped(void **state)
{
    (void)state;
    fill_machine();
    offer_t equal = offer_of("j-000002", 0, 200, 4);
    equal.preempt = true;
    assert_null(part_place(stage->part, &equal, stage->now));
}

/* One long task kept a whole machine up for minutes that was to go back. It saves and goes on
 * elsewhere; what can't save is left to end, and so is all while much of the machine is used. */
static void what_can_save_leaves_a_drained_machine(void **state)
{
    (void)state;
    machine_t *machine;
    exchange();
    for (uint32_t task = 0; task < 3; task++) {
        offer_t offer = offer_of("j-000001", task, 100 + task, 4);
        offer.checkpoint_s = task == 1 ? 0 : 15;
        offer.save_s = 4;
        assert_non_null(part_place(stage->part, &offer, stage->now));
    }
    commit();
    exchange();
    exchange();
    machine = g_hash_table_lookup(stage->part->machines, "m-000001");
    machine->draining = true;
    part_tick(stage->part, stage->now);
    exchange();
    assert_int_equal(count_calls(CALL_STOP), 0); /* 12 of 16 cpus are in use */
    fake_worker_exit(stage->worker, "j-000001", 2, CAUSE_DONE);
    exchange();
    part_tick(stage->part, stage->now);
    exchange();
    assert_int_equal(count_calls(CALL_STOP), 1);
    assert_int_equal(g_array_index(stage->calls, call_t, 0).task, 0);
    assert_true(g_array_index(stage->calls, call_t, 0).grace_s > 4);
}

/* A task that saves when it is stopped holds its room until it has: the start waits for that. */
static void start_waits_for_the_room_of_a_saving_task(void **state)
{
    (void)state;
    exchange();
    offer_t saving = offer_of("j-000001", 0, 100, 16);
    saving.checkpoint_s = 10;
    saving.save_s = 4;
    assert_non_null(part_place(stage->part, &saving, stage->now));
    commit();
    exchange();
    exchange();
    stage->now += PREEMPT_PROTECT_MS;
    exchange();
    offer_t normal = offer_of("j-000002", 0, 200, 4);
    normal.urgency = URGENCY_NORMAL;
    normal.preempt = true;
    assert_non_null(part_place(stage->part, &normal, stage->now));
    commit();
    report_t report = fake_worker_report(stage->worker);
    deliver(&report, false);
    assert_int_equal(count_calls(CALL_STOP), 1);
    assert_int_equal(count_calls(CALL_RUN), 0);
    fake_worker_exit(stage->worker, "j-000001", 0, CAUSE_STOPPED);
    exchange();
    assert_int_equal(count_calls(CALL_RUN), 1);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(start_follows_its_record, set_up, tear_down),
        cmocka_unit_test_setup_teardown(lost_answer_repeats_the_same_attempt, set_up, tear_down),
        cmocka_unit_test_setup_teardown(silence_is_no_proof, set_up, tear_down),
        cmocka_unit_test_setup_teardown(lapsed_reservation_frees_room_but_not_the_task, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(new_session_proves_the_old_one_over, set_up, tear_down),
        cmocka_unit_test_setup_teardown(late_report_of_an_old_session_is_dropped, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(overtaken_report_changes_nothing, set_up, tear_down),
        cmocka_unit_test_setup_teardown(done_is_forgotten_only_when_settled, set_up, tear_down),
        cmocka_unit_test_setup_teardown(settled_result_goes_with_the_next_start, set_up, tear_down),
        cmocka_unit_test_setup_teardown(late_run_meets_a_worker_that_still_knows_it, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(abort_racing_a_start_under_way_waits_for_proof, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(abort_before_the_record_drops_the_start, set_up, tear_down),
        cmocka_unit_test_setup_teardown(abort_racing_done_frees_the_result, set_up, tear_down),
        cmocka_unit_test_setup_teardown(older_owner_is_powerless, set_up, tear_down),
        cmocka_unit_test_setup_teardown(new_view_takes_over_from_the_record, set_up, tear_down),
        cmocka_unit_test_setup_teardown(absence_needs_the_present_token, set_up, tear_down),
        cmocka_unit_test_setup_teardown(copy_at_a_fresh_owner_changes_nothing, set_up, tear_down),
        cmocka_unit_test_setup_teardown(copy_at_the_owner_keeps_nothing_alive, set_up, tear_down),
        cmocka_unit_test_setup_teardown(heard_but_not_reached_gets_no_starts, set_up, tear_down),
        cmocka_unit_test_setup_teardown(new_owner_asks_and_need_not_wait_for_a_report, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(probe_that_is_refused_or_lost_opens_nothing, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(workers_that_report_seldom_are_not_taken_for_silent, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(hanging_machine_holds_one_sender_once, set_up, tear_down),
        cmocka_unit_test_setup_teardown(released_machine_is_proof, set_up, tear_down),
        cmocka_unit_test_setup_teardown(urgent_work_takes_the_place_of_low_work, set_up, tear_down),
        cmocka_unit_test_setup_teardown(equal_urgency_is_never_stopped, set_up, tear_down),
        cmocka_unit_test_setup_teardown(what_can_save_leaves_a_drained_machine, set_up, tear_down),
        cmocka_unit_test_setup_teardown(start_waits_for_the_room_of_a_saving_task, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(copy_does_not_bring_a_released_machine_back, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(full_machine_is_skipped, set_up, tear_down),
        cmocka_unit_test_setup_teardown(lower_pressure_wins_and_equals_take_turns, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(no_start_leaves_while_cancellations_may_be_unknown, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(a_cancellation_gives_no_time_to_save, set_up, tear_down),
        cmocka_unit_test_setup_teardown(after_all_were_away_each_record_is_over_at_once, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(a_deaf_machine_keeps_its_task_through_a_change_of_leader,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_mute_machine_is_resolved_by_the_answer_to_a_command,
                                        set_up, tear_down),
    };
    return cmocka_run_group_tests_name("part", tests, NULL, NULL);
}
