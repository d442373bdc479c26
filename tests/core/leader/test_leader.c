/* Tests of the leader: whose work goes first, and what counts against limits. */
#include "core/autoscaler/autoscaler.h"
#include "core/leader/leader.h"
#include "unit_test.h"

static GArray *teams;
static GHashTable *slos;
static policy_t *policy;
static leader_t *leader;

static void add_team(const char *name, double cpus, double cpus_max)
{
    team_t team = {.guaranteed_cpus = cpus, .max_cpus = cpus_max};
    g_strlcpy(team.name, name, sizeof team.name);
    g_array_append_val(teams, team);
}

static int set_up(void **state)
{
    (void)state;
    teams = g_array_new(FALSE, FALSE, sizeof(team_t));
    slos = g_hash_table_new(g_str_hash, g_str_equal);
    policy = policy_default();
    add_team("team-a", 8, 24);
    add_team("team-b", 24, 0);
    leader = leader_new(teams, slos, policy, 2);
    leader_set_view(leader, 3);
    return 0;
}

static int tear_down(void **state)
{
    (void)state;
    leader_free(leader);
    policy_free(policy);
    g_array_unref(teams);
    g_hash_table_unref(slos);
    return 0;
}

static void set_resources(guint partition, const char *zone, double cpus)
{
    GArray *summaries = g_array_new(FALSE, FALSE, sizeof(machine_summary_t));
    machine_summary_t summary = {.open = true, .total = {cpus, 0, 999}, .free = {cpus, 0, 999}};
    g_snprintf(summary.machine, sizeof summary.machine, "m-%s", zone);
    g_strlcpy(summary.type, "t", sizeof summary.type);
    g_strlcpy(summary.zone, zone, sizeof summary.zone);
    g_array_append_val(summaries, summary);
    leader_set_summaries(leader, partition, summaries);
}

static job_spec_t job(const char *id, const char *team, uint32_t tasks)
{
    job_spec_t spec = {.tasks = tasks,
                       .need = {2, 0, 1},
                       .estimate_s = 10,
                       .submitted_ms = 1000,
                       .priority = PRIORITY_NORMAL};
    g_strlcpy(spec.id, id, sizeof spec.id);
    g_strlcpy(spec.team, team, sizeof spec.team);
    g_strlcpy(spec.class_name, "c", sizeof spec.class_name);
    return spec;
}

static void add(const job_spec_t *spec)
{
    leader_add_job(leader, spec, 5);
}

static GArray *schedule(void)
{
    return leader_schedule(leader, 1000, 2000, 100);
}

static guint count(const GArray *requests, const char *id)
{
    guint found = 0;
    for (guint i = 0; i < requests->len; i++)
        found += strcmp(g_array_index(requests, leader_request_t, i).request.job, id) == 0;
    return found;
}

static void test_requests_go_to_the_partition_with_most_free_resources(void **state)
{
    (void)state;
    job_spec_t spec = job("j-000001", "team-b", 1);
    set_resources(0, "zone-a", 4);
    set_resources(1, "zone-b", 16);
    add(&spec);
    GArray *requests = schedule();
    assert_int_equal(requests->len, 1);
    assert_int_equal(g_array_index(requests, leader_request_t, 0).partition, 1);
    g_array_unref(requests);
}

static void test_team_limit_counts_outstanding_attempts(void **state)
{
    (void)state;
    job_spec_t spec = job("j-000001", "team-a", 50);
    set_resources(0, "zone-a", 1000);
    add(&spec);
    GArray *requests = schedule();
    assert_int_equal(requests->len, 12); /* 24 cpus of 2 */
    g_array_unref(requests);
    requests = schedule();
    assert_int_equal(requests->len, 0); /* nothing of it is proved over */
    g_array_unref(requests);
}

static void test_recorded_attempts_count_even_for_jobs_that_ended(void **state)
{
    (void)state;
    record_entry_t entry = {.job = "j-000009", .team = "team-a", .need = {23, 0, 1}, .attempt = 9};
    leader_load_attempt(leader, &entry, "zone-a", 0);
    job_spec_t spec = job("j-000001", "team-a", 1);
    set_resources(0, "zone-a", 1000);
    add(&spec);
    GArray *requests = schedule();
    assert_int_equal(requests->len, 0);
    g_array_unref(requests);
    attempt_result_t over = {.ref = task_ref("j-000009", 0, 9), .cause = CAUSE_NONE};
    leader_handle_result(leader, 0, &over, 1000);
    requests = schedule();
    assert_int_equal(requests->len, 1);
    g_array_unref(requests);
}

static void test_shares_are_served_in_turn(void **state)
{
    (void)state;
    job_spec_t red = job("j-000001", "team-a", 100);
    job_spec_t blue = job("j-000002", "team-b", 100);
    set_resources(0, "zone-a", 64);
    add(&red);
    add(&blue);
    GArray *requests = schedule();
    assert_int_equal(requests->len, 32);
    assert_true(count(requests, "j-000002") > 2 * count(requests, "j-000001"));
    assert_true(count(requests, "j-000001") >= 4); /* its guarantee of 8 cpus */
    g_array_unref(requests);
}

/* A leader whose two teams, red and blue, have neither guarantees nor limits. */
static void lead_without_guarantees(void)
{
    GArray *unguaranteed = g_array_copy(teams);
    g_array_index(unguaranteed, team_t, 0) = (team_t){.name = "team-a"};
    g_array_index(unguaranteed, team_t, 1) = (team_t){.name = "team-b"};
    leader_free(leader);
    leader = leader_new(unguaranteed, slos, policy, 2);
    leader_set_view(leader, 3);
    g_array_unref(unguaranteed);
}

/* Tasks of five minutes of teams without a guarantee beside the others' of twenty seconds: by equal
 * starts they came to hold five sixths of the resources. What is freed goes to the team that holds
 * less for its weight. */
static void test_a_share_is_one_of_the_resources_in_use(void **state)
{
    (void)state;
    lead_without_guarantees();
    record_entry_t loaded = {.job = "j-000009", .team = "team-a", .need = {40, 0, 1}, .attempt = 9};
    leader_load_attempt(leader, &loaded, "zone-a", 0);
    job_spec_t red = job("j-000001", "team-a", 100);
    job_spec_t blue = job("j-000002", "team-b", 100);
    set_resources(0, "zone-a", 30);
    add(&red);
    add(&blue);
    GArray *requests = schedule();
    assert_int_equal(count(requests, "j-000002"), 15);
    g_array_unref(requests);
    set_resources(0, "zone-a", 30); /* blue holds 30 now: 10 more make it equal, then in turn */
    requests = schedule();
    assert_int_equal(count(requests, "j-000002"), 10);
    assert_int_equal(count(requests, "j-000001"), 5);
    g_array_unref(requests);
}

/* Five-minute tasks that nobody set an aim for took half of all machines, and most jobs that had
 * one missed it. */
static void test_work_without_an_aim_counts_half_of_its_team(void **state)
{
    (void)state;
    lead_without_guarantees();
    job_spec_t aimed = job("j-000001", "team-a", 100);
    job_spec_t idle = job("j-000002", "team-b", 100);
    aimed.deadline_s = 100;
    set_resources(0, "zone-a", 30);
    add(&aimed);
    add(&idle);
    GArray *requests = schedule();
    assert_int_equal(count(requests, "j-000001"), 10);
    assert_int_equal(count(requests, "j-000002"), 5);
    g_array_unref(requests);
}

static void test_priority_comes_before_age(void **state)
{
    (void)state;
    job_spec_t older = job("j-000001", "team-b", 1);
    job_spec_t flush_order = job("j-000002", "team-b", 1);
    flush_order.priority = PRIORITY_HIGH;
    flush_order.submitted_ms = 1500;
    set_resources(0, "zone-a", 2);
    add(&older);
    add(&flush_order);
    GArray *requests = schedule();
    assert_int_equal(count(requests, "j-000002"), 1);
    assert_int_equal(count(requests, "j-000001"), 0);
    g_array_unref(requests);
}

/* Small low tasks took each cpu that was freed, and a large normal task never saw four at once. */
static void test_machines_are_claimed_for_a_large_task_that_goes_first(void **state)
{
    (void)state;
    job_spec_t large = job("j-000001", "team-b", 1);
    job_spec_t small = job("j-000002", "team-b", 9);
    large.need.cpus = 4;
    small.need.cpus = 1;
    small.priority = PRIORITY_LOW;
    set_resources(0, "zone-a", 4);
    g_array_index((GArray *)g_ptr_array_index(leader->summaries, 0), machine_summary_t, 0)
        .free.cpus = 3;
    add(&large);
    add(&small);
    GArray *requests = schedule();
    assert_int_equal(requests->len, 0); /* claimed: the last small task there ends soon */
    g_array_unref(requests);
    set_resources(0, "zone-a", 4);
    set_resources(1, "zone-b", 2);
    requests = schedule();
    assert_int_equal(count(requests, "j-000001"), 1);
    assert_int_equal(count(requests, "j-000002"), 2); /* where the large one can't go, others can */
    g_array_unref(requests);
}

/* Small jobs keep coming, and all resources go to them: the large one is begun after two minutes
 * all the same, and gets on after four. */
/* A backlog costs what can be done about it, not its length times the machines. */
static void test_work_that_fits_nowhere_looks_at_no_machine(void **state)
{
    (void)state;
    enum { MACHINES = 64, JOBS = 200 };
    GArray *summaries = g_array_new(FALSE, FALSE, sizeof(machine_summary_t));
    for (guint i = 0; i < MACHINES; i++) {
        machine_summary_t summary = {
            .open = true, .spot = true, .total = {16, 0, 64}, .free = {0.5, 0, 64}};
        g_snprintf(summary.machine, sizeof summary.machine, "m-%06u", i);
        g_strlcpy(summary.type, "t16", sizeof summary.type);
        g_strlcpy(summary.zone, "zone-a", sizeof summary.zone);
        g_array_append_val(summaries, summary);
    }
    leader_set_summaries(leader, 0, summaries);
    for (guint i = 0; i < JOBS; i++) {
        char id[ID_BYTES];
        g_snprintf(id, sizeof id, "j-%06u", i);
        job_spec_t spec = job(id, "team-a", 50);
        spec.priority = PRIORITY_LOW; /* nothing is stopped or claimed for it */
        add(&spec);
    }
    GArray *requests = schedule();
    assert_int_equal(requests->len, 0);
    g_array_unref(requests);
    assert_int_equal(leader->round.summaries_examined, 0);
    job_spec_t spec = job("j-900000", "team-a", 50);
    add(&spec);
    requests = schedule();
    g_array_unref(requests);
    /* claimed for the one of higher priority: an eighth of the machines, each by one look at all */
    assert_in_range(leader->round.summaries_examined, 1, MACHINES * (MACHINES / CLAIMED_MACHINES_DIVISOR));
}

static void test_large_job_is_begun_under_lasting_overload(void **state)
{
    (void)state;
    job_spec_t large = job("j-000001", "team-b", 160);
    large.priority = PRIORITY_LOW;
    add(&large);
    for (int i = 2; i < 60; i++) {
        char id[ID_BYTES];
        g_snprintf(id, sizeof id, "j-%06d", i);
        job_spec_t small = job(id, "team-b", 2);
        small.submitted_ms = large.submitted_ms + (int64_t)5000 * i;
        add(&small);
    }
    int64_t ages[] = {STARVING_MS - 1000, STARVING_MS, STARVING_MS + 10000, STARVING_LONG_MS};
    guint begun[] = {0, 1, 0, 10}; /* requested then, with room for twenty tasks */
    for (int i = 0; i < 4; i++) {
        set_resources(0, "zone-a", 40);
        GArray *requests = leader_schedule(leader, 1000, large.submitted_ms + ages[i], 100);
        assert_int_equal(requests->len, 20);
        assert_int_equal(count(requests, "j-000001"), begun[i]);
        g_array_unref(requests);
    }
}

/* Before the first machine is up, urgent work was requested with preemption round after round, and
 * each refusal held its job back for a moment. */
static void test_nothing_is_requested_where_there_is_no_machine(void **state)
{
    (void)state;
    job_spec_t flush_order = job("j-000001", "team-b", 3);
    flush_order.priority = PRIORITY_HIGH;
    add(&flush_order);
    GArray *requests = schedule();
    assert_int_equal(requests->len, 0);
    g_array_unref(requests);
    set_resources(1, "zone-a", 2);
    requests = schedule();
    assert_int_equal(requests->len, 3); /* one fits, others may be stopped for two */
    g_array_unref(requests);
}

static void test_hopeless_deadlines_come_last(void **state)
{
    (void)state;
    job_spec_t hopeless = job("j-000001", "team-b", 1);
    job_spec_t hopeful = job("j-000002", "team-b", 1);
    hopeless.deadline_s = 5; /* estimate 10 */
    hopeful.deadline_s = 500;
    set_resources(0, "zone-a", 2);
    add(&hopeless);
    add(&hopeful);
    GArray *requests = schedule();
    assert_int_equal(count(requests, "j-000002"), 1);
    assert_int_equal(count(requests, "j-000001"), 0);
    g_array_unref(requests);
}

static void test_same_zone_binds_the_later_tasks(void **state)
{
    (void)state;
    job_spec_t spec = job("j-000001", "team-b", 3);
    spec.same_zone = true;
    set_resources(0, "zone-a", 2);
    set_resources(1, "zone-b", 3);
    add(&spec);
    GArray *requests = schedule();
    assert_int_equal(requests->len, 1);
    assert_string_equal(g_array_index(requests, leader_request_t, 0).request.zone, "zone-b");
    g_array_unref(requests);
}

static void test_apart_keeps_half_in_a_zone(void **state)
{
    (void)state;
    job_spec_t spec = job("j-000001", "team-b", 5);
    spec.spread = true;
    set_resources(0, "zone-a", 100);
    add(&spec);
    GArray *requests = schedule();
    assert_int_equal(requests->len, 3);
    g_array_unref(requests);
}

/* The zone of a bound job lost its machines: what stands there without proof binds the others, and
 * they start elsewhere as soon as it is proved over. */
static void test_a_bound_job_moves_only_when_its_old_zone_is_proved_empty(void **state)
{
    (void)state;
    job_spec_t spec = job("j-000001", "team-b", 2);
    job_spec_t apart = job("j-000002", "team-b", 3);
    spec.same_zone = true;
    apart.spread = true;
    add(&spec);
    add(&apart);
    record_entry_t bound = {.job = "j-000001", .team = "team-b", .need = {2, 0, 1}, .attempt = 9};
    leader_load_attempt(leader, &bound, "zone-b", 1);
    for (uint32_t task = 0; task < 2; task++) {
        record_entry_t half = {
            .job = "j-000002", .team = "team-b", .need = {2, 0, 1}, .task = task, .attempt = 9};
        leader_load_attempt(leader, &half, "zone-a", 0);
    }
    set_resources(0, "zone-a", 20);
    GArray *requests = schedule();
    assert_int_equal(requests->len, 0);
    g_array_unref(requests);
    attempt_result_t over = {.ref = task_ref("j-000001", 0, 9), .cause = CAUSE_NONE};
    leader_handle_result(leader, 1, &over, 1000);
    over.ref = task_ref("j-000002", 1, 9);
    leader_handle_result(leader, 0, &over, 1000);
    requests = schedule();
    assert_int_equal(count(requests, "j-000001"), 2);
    assert_int_equal(count(requests, "j-000002"), 1); /* the half that may be here */
    g_array_unref(requests);
}

/* The large task's resources do not come free: what the claimed machine has is kept from the small
 * ones for a while only. */
static void test_a_machine_claim_is_bounded(void **state)
{
    (void)state;
    job_spec_t large = job("j-000001", "team-b", 1);
    job_spec_t small = job("j-000002", "team-b", 9);
    large.need.cpus = 4;
    small.need.cpus = 1;
    small.priority = PRIORITY_LOW;
    add(&large);
    add(&small);
    guint began = 0;
    for (msec_t now = 1000; now < 91000 && !began; now += 250) {
        set_resources(0, "zone-a", 4);
        g_array_index((GArray *)g_ptr_array_index(leader->summaries, 0), machine_summary_t, 0)
            .free.cpus = 3;
        GArray *requests = leader_schedule(leader, now, 2000, 100);
        began = count(requests, "j-000002");
        assert_true(now > CLAIM_MAX_MS || began == 0);
        g_array_unref(requests);
    }
    assert_int_equal(began, 3);
}

/* A job failing everywhere piles up reservations until its partition looks full: a soft place of
 * the design. */
static void test_job_that_fails_everywhere_is_backed_off(void **state)
{
    (void)state;
    job_spec_t spec = job("j-000001", "team-b", 50);
    set_resources(0, "zone-a", 20);
    add(&spec);
    GArray *requests = schedule();
    assert_int_equal(requests->len, 10);
    for (guint i = 0; i < requests->len; i++) {
        const placement_request_t *request = &g_array_index(requests, leader_request_t, i).request;
        attempt_result_t failed = {.ref = task_ref(request->job, request->task, request->attempt),
                                   .cause = CAUSE_ERROR};
        leader_handle_result(leader, 0, &failed, 1000);
    }
    g_array_unref(requests);
    set_resources(0, "zone-a", 20);
    requests = schedule();
    assert_int_equal(requests->len, 0);
    g_array_unref(requests);
    requests = leader_schedule(leader, 1000 + JOB_BACKOFF_MAX_MS, 2000, 100);
    assert_int_equal(requests->len, 1);
    g_array_unref(requests);
}

static void fail_on(const char *machine, const char *id, uint32_t task)
{
    record_entry_t entry = {.team = "team-b", .need = {2, 0, 1}, .task = task, .attempt = 77};
    g_strlcpy(entry.job, id, sizeof entry.job);
    leader_load_attempt(leader, &entry, "zone-a", 0);
    attempt_result_t failed = {.ref = task_ref(id, task, 77), .cause = CAUSE_ERROR};
    g_strlcpy(failed.machine, machine, sizeof failed.machine);
    leader_handle_result(leader, 0, &failed, 1000);
}

static void test_machine_that_fails_sound_jobs_is_quarantined(void **state)
{
    (void)state;
    job_spec_t first = job("j-000001", "team-b", 9);
    job_spec_t second = job("j-000002", "team-b", 9);
    add(&first);
    add(&second);
    for (uint32_t i = 0; i < 5; i++)
        fail_on("m-1", "j-000001", i); /* it may be the job */
    assert_false(leader_is_quarantined(leader, "m-1"));
    fail_on("m-1", "j-000002", 0);
    assert_true(leader_is_quarantined(leader, "m-1"));
    fail_on("m-2", "j-000001", 6);
    fail_on("m-2", "j-000002", 1);
    assert_false(leader_is_quarantined(leader, "m-2"));
}

static gsize take_progress(msec_t min_age, guint ops, gsize bytes, GArray *progress)
{
    kv_txn_usage_t usage = {.max_ops = ops, .max_bytes = bytes};
    leader_progress_take(leader, 1000, min_age, progress, &usage);
    return usage.bytes;
}

static void test_finished_task_is_never_requested_again(void **state)
{
    (void)state;
    job_spec_t spec = job("j-000001", "team-b", 2);
    const uint8_t bits = 1;
    set_resources(0, "zone-a", 20);
    add(&spec);
    leader_load_chunk(leader, "j-000001", 0, &bits, 1, 8);
    GArray *requests = schedule();
    assert_int_equal(requests->len, 1);
    const placement_request_t *request = &g_array_index(requests, leader_request_t, 0).request;
    assert_int_equal(request->task, 1);
    attempt_result_t done = {.ref = task_ref(request->job, 1, request->attempt),
                             .cause = CAUSE_DONE};
    leader_handle_result(leader, 0, &done, 1000);
    GArray *progress = leader_progress_new();
    take_progress(0, 20, KV_TXN_VALUES_BYTES, progress);
    assert_int_equal(progress->len, 1);
    assert_true(g_array_index(progress, progress_t, 0).is_job_end);
    GArray *acknowledged = g_array_new(FALSE, FALSE, sizeof(partition_attempt_t));
    leader_progress_commit(leader, progress, 9, acknowledged);
    assert_int_equal(acknowledged->len, 1);
    g_array_unref(acknowledged);
    g_array_unref(progress);
    g_array_unref(requests);
}

static void finish(const leader_request_t *made)
{
    attempt_result_t done = {
        .ref = task_ref(made->request.job, made->request.task, made->request.attempt),
        .cause = CAUSE_DONE};
    leader_handle_result(leader, made->partition, &done, 1000);
}

static void apply_counts(job_counts_replica_t *replica, guint most)
{
    job_counts_update_t update = leader_counts(leader, replica->epoch, replica->version, most);
    assert_in_range(update.jobs->len, 0, most);
    job_counts_replica_apply(replica, &update);
    job_counts_update_clear(&update);
}

static void assert_counts(const job_counts_replica_t *replica, const char *id, uint32_t done,
                          uint32_t outstanding)
{
    job_counts_t counts = job_counts_replica_get(replica, id);
    assert_int_equal(counts.done, done);
    assert_int_equal(counts.outstanding, outstanding);
}

/* A replica gets what changed, a part at a time; of another loading of the leader's data, nothing
 * that it had counts. */
static void test_counts_of_jobs_reach_a_replica(void **state)
{
    (void)state;
    enum { MOST = 2 };
    job_counts_replica_t replica;
    job_counts_replica_init(&replica);
    leader->counts_epoch = 11;
    job_spec_t jobs[] = {job("j-000001", "team-b", 2), job("j-000002", "team-b", 1),
                         job("j-000003", "team-b", 3)};
    for (guint i = 0; i < G_N_ELEMENTS(jobs); i++)
        leader_add_job(leader, &jobs[i], 1);
    set_resources(0, "zone-a", 20);
    GArray *requests = leader_schedule(leader, 1000, 1000, 10);
    assert_int_equal(requests->len, 6);
    apply_counts(&replica, MOST);
    assert_int_equal(g_hash_table_size(replica.jobs), MOST);
    apply_counts(&replica, MOST);
    assert_counts(&replica, "j-000001", 0, 2);
    assert_counts(&replica, "j-000002", 0, 1);
    assert_counts(&replica, "j-000003", 0, 3);
    for (guint i = 0; i < requests->len; i++)
        if (strcmp(g_array_index(requests, leader_request_t, i).request.job, "j-000003") == 0)
            finish(&g_array_index(requests, leader_request_t, i));
    job_counts_update_t update = leader_counts(leader, replica.epoch, replica.version, MOST);
    assert_int_equal(update.jobs->len, 1); /* only what changed */
    job_counts_replica_apply(&replica, &update);
    job_counts_update_clear(&update);
    assert_counts(&replica, "j-000003", 3, 0);
    leader_end_job(leader, "j-000002");
    leader->counts_epoch = 12;
    apply_counts(&replica, MOST);
    assert_counts(&replica, "j-000002", 0, 0);
    assert_counts(&replica, "j-000001", 0, 2);
    g_hash_table_unref(replica.jobs);
    g_array_unref(requests);
}

/* With a low rate limit, the progress of dozens of jobs kept finished ones waiting for minutes
 * until their users were told. */
static void test_end_of_a_job_goes_before_progress_of_others(void **state)
{
    (void)state;
    job_spec_t half = job("j-000001", "team-b", 2);
    job_spec_t whole = job("j-000002", "team-b", 1);
    job_spec_t other = job("j-000003", "team-b", 2);
    set_resources(0, "zone-a", 20);
    add(&half);
    add(&whole);
    add(&other);
    GArray *requests = schedule();
    assert_int_equal(requests->len, 5);
    bool begun[4] = {0};
    for (guint i = 0; i < requests->len; i++) {
        const leader_request_t *made = &g_array_index(requests, leader_request_t, i);
        char job = made->request.job[7];
        if (job == '2' || !begun[job - '0'])
            finish(made);
        begun[job - '0'] = true;
    }
    GArray *progress = leader_progress_new();
    take_progress(0, 3, KV_TXN_VALUES_BYTES, progress);
    assert_int_equal(progress->len, 2); /* the end, and what the limit leaves */
    assert_true(g_array_index(progress, progress_t, 0).is_job_end);
    assert_string_equal(g_array_index(progress, progress_t, 0).job, "j-000002");
    leader_progress_undo(leader, progress);
    g_array_set_size(progress, 0);
    take_progress(500, 20, KV_TXN_VALUES_BYTES, progress);
    assert_int_equal(progress->len, 1); /* what is young waits for more */
    g_array_unref(progress);
    g_array_unref(requests);
}

/* Under a rate limit that gives a write at a time, progress of others took each of them, and no end
 * was ever written. One that needs more than the limit can give at once holds nothing up. */
static void test_writes_are_left_to_an_end_until_it_fits(void **state)
{
    (void)state;
    job_spec_t whole = job("j-000001", "team-b", 1);
    job_spec_t half = job("j-000002", "team-b", 2);
    set_resources(0, "zone-a", 20);
    add(&whole);
    add(&half);
    GArray *requests = schedule();
    assert_int_equal(requests->len, 3);
    for (guint i = 0; i < 2; i++)
        finish(&g_array_index(requests, leader_request_t, i));
    GArray *progress = leader_progress_new();
    kv_txn_usage_t usage = {.max_ops = 2, .full_ops = 3, .max_bytes = KV_TXN_VALUES_BYTES};
    leader_progress_take(leader, 1000, 0, progress, &usage);
    assert_true(usage.has_waiting_end);
    assert_int_equal(progress->len, 0);
    usage.full_ops = 2;
    leader_progress_take(leader, 1000, 0, progress, &usage);
    assert_false(usage.has_waiting_end);
    assert_int_equal(progress->len, 1);
    leader_progress_undo(leader, progress);
    g_array_set_size(progress, 0);
    usage = (kv_txn_usage_t){.max_ops = 3, .full_ops = 3, .max_bytes = KV_TXN_VALUES_BYTES};
    leader_progress_take(leader, 1000, 0, progress, &usage);
    assert_false(usage.has_waiting_end);
    assert_true(g_array_index(progress, progress_t, 0).is_job_end);
    g_array_unref(progress);
    g_array_unref(requests);
}

/* Two tasks end far apart, three leaders long: the durable bit of the first is neither lost nor
 * made twice, the second is done only when it ended, and the job with it. */
static void test_ends_far_apart_add_up_over_several_leaders(void **state)
{
    (void)state;
    job_spec_t spec = job("j-000001", "team-b", 2);
    set_resources(0, "zone-a", 20);
    add(&spec);
    GArray *requests = schedule();
    finish(&g_array_index(requests, leader_request_t, 0));
    uint64_t second = g_array_index(requests, leader_request_t, 1).request.attempt;
    uint32_t task = g_array_index(requests, leader_request_t, 1).request.task;
    g_array_unref(requests);
    GArray *progress = leader_progress_new();
    take_progress(0, 20, KV_TXN_VALUES_BYTES, progress);
    assert_int_equal(progress->len, 1);
    const progress_t *first = &g_array_index(progress, progress_t, 0);
    assert_false(first->is_job_end);
    for (uint64_t view = 4; view < 6; view++) {
        leader_free(leader);
        leader = leader_new(teams, slos, policy, 2);
        leader_set_view(leader, view);
        set_resources(0, "zone-a", 20);
        add(&spec);
        leader_load_chunk(leader, "j-000001", 0, first->bits, first->bytes, 7);
        record_entry_t entry = {.job = "j-000001",
                                .team = "team-b",
                                .need = {2, 0, 1},
                                .task = task,
                                .attempt = second};
        leader_load_attempt(leader, &entry, "zone-a", 0);
        requests = schedule();
        assert_int_equal(requests->len, 0); /* one is done, one is out */
        g_array_unref(requests);
    }
    attempt_result_t done = {.ref = task_ref("j-000001", task, second), .cause = CAUSE_DONE};
    leader_handle_result(leader, 0, &done, 1000);
    leader_handle_result(leader, 0, &done, 1000); /* told twice */
    GArray *ends = leader_progress_new();
    take_progress(0, 20, KV_TXN_VALUES_BYTES, ends);
    assert_int_equal(ends->len, 1);
    assert_true(g_array_index(ends, progress_t, 0).is_job_end);
    assert_int_equal(g_array_index(ends, progress_t, 0).done, 2);
    g_array_unref(ends);
    g_array_unref(progress);
}

/* Progress of jobs of 100,000 tasks and full pages of records were together more than a transaction
 * may hold: it was refused as invalid, and everything read again, for ever. */
static void test_progress_of_large_jobs_keeps_within_the_bytes(void **state)
{
    (void)state;
    set_resources(0, "zone-a", 400);
    for (guint i = 0; i < 8; i++) {
        char id[ID_BYTES];
        g_snprintf(id, sizeof id, "j-%06u", i);
        job_spec_t spec = job(id, "team-b", TASKS_MAX_COUNT);
        spec.need.cpus = 0.01;
        add(&spec);
        for (guint chunk = 0; chunk * CHUNK_BITS < TASKS_MAX_COUNT; chunk++) {
            task_ref_t ref = task_ref(id, chunk * CHUNK_BITS, 1 + chunk);
            record_entry_t entry = {.task = ref.task, .attempt = ref.attempt, .team = "team-b"};
            g_strlcpy(entry.job, id, sizeof entry.job);
            leader_load_attempt(leader, &entry, "zone-a", 0);
            attempt_result_t done = {.ref = ref, .cause = CAUSE_DONE};
            leader_handle_result(leader, 0, &done, 900);
        }
    }
    GArray *progress = leader_progress_new();
    assert_in_range(take_progress(0, 1000, KV_TXN_VALUES_BYTES / 2, progress), 1,
                    KV_TXN_VALUES_BYTES / 2);
    assert_int_equal(progress->len, 7); /* one job's chunks; the next has its turn after */
    leader_progress_undo(leader, progress);
    g_array_set_size(progress, 0);
    assert_int_equal(take_progress(0, 1000, 1000, progress), 0);
    g_array_unref(progress);
}

static void test_gang_is_requested_whole_or_not_at_all(void **state)
{
    (void)state;
    job_spec_t spec = job("j-000001", "team-b", 4);
    spec.kind = KIND_GANG;
    set_resources(0, "zone-a", 6);
    add(&spec);
    GArray *requests = schedule();
    assert_int_equal(requests->len, 0);
    g_array_unref(requests);
    set_resources(1, "zone-b", 6);
    requests = schedule();
    assert_int_equal(requests->len, 4);
    assert_int_equal(g_array_index(requests, leader_request_t, 0).request.attempt,
                     g_array_index(requests, leader_request_t, 3).request.attempt);
    g_array_unref(requests);
}

static void set_summaries(guint machines, msec_t silent_ms, bool open)
{
    GArray *summaries = g_array_new(FALSE, FALSE, sizeof(machine_summary_t));
    for (guint i = 0; i < machines; i++) {
        machine_summary_t summary = {
            .type = "t", .zone = "zone-a", .open = open, .silent_ms = silent_ms};
        g_snprintf(summary.machine, sizeof summary.machine, "m-%06u", i);
        g_array_append_val(summaries, summary);
    }
    leader_set_summaries(leader, 0, summaries);
}

/* silent: machines of the zone that have been silent for long, before they were given up; after: ms
 * since. */
static bool next_rental(bool spot_allowed, guint silent, msec_t after, scale_out_request_t *request)
{
    static char *zones[] = {"zone-a", NULL};
    GArray *machine_types = g_array_new(FALSE, FALSE, sizeof(machine_type_t));
    machine_type_t machine_type = {
        .name = "t", .capacity = {16, 0, 64}, .price = 3, .spot_price = 1, .zones = zones};
    g_array_append_val(machine_types, machine_type);
    job_spec_t spec = job("j-000001", "team-c", 50);
    spec.spot = spot_allowed;
    add_team("team-c", 0, 0);
    leader_free(leader);
    leader = leader_new(teams, slos, policy, 1);
    add(&spec);
    autoscaler_t *autoscaler = autoscaler_new();
    set_summaries(silent, 9000, false);
    GPtrArray *fallen = autoscaler_update_zones(autoscaler, leader, 6000, 1000);
    assert_int_equal(fallen->len, silent >= LOST_MACHINES_MIN_COUNT);
    g_ptr_array_unref(fallen);
    set_summaries(0, 0, false);
    scale_out_request_t taken = {.type = "t", .zone = "zone-a", .spot = true};
    autoscaler_record_refusal(autoscaler, &taken, G_MAXINT64);
    bool wished =
        autoscaler_next_scale_out(autoscaler, leader, machine_types, 1000 + after, 2000, request);
    autoscaler_free(autoscaler);
    g_array_unref(machine_types);
    return wished;
}

static void test_without_a_guarantee_spot_work_waits_for_spot(void **state)
{
    (void)state;
    scale_out_request_t request;
    assert_false(next_rental(true, 0, 0, &request));
}

static void test_work_barred_from_spot_gets_ordinary_machines(void **state)
{
    (void)state;
    scale_out_request_t request;
    assert_true(next_rental(false, 0, 0, &request));
    assert_false(request.spot);
}

/* Ten spot machines stand, no more are to be had, and the work that waits takes so many cpu
 * seconds. */
static guint ordinary_for(uint32_t tasks)
{
    static char *zones[] = {"zone-a", NULL};
    scale_out_request_t request;
    scale_out_request_t taken = {.type = "t", .zone = "zone-a", .spot = true};
    GArray *machine_types = g_array_new(FALSE, FALSE, sizeof(machine_type_t));
    machine_type_t machine_type = {
        .name = "t", .capacity = {16, 0, 64}, .price = 3, .spot_price = 1, .zones = zones};
    g_array_append_val(machine_types, machine_type);
    GArray *summaries = g_array_new(FALSE, FALSE, sizeof(machine_summary_t));
    machine_summary_t summary = {.type = "t", .zone = "zone-a", .open = true, .spot = true};
    summary.total = machine_type.capacity;
    for (guint i = 0; i < 10; i++)
        g_array_append_val(summaries, summary);
    leader_free(leader);
    leader = leader_new(teams, slos, policy, 1);
    leader_set_summaries(leader, 0, summaries);
    job_spec_t spec = job("j-000001", "team-c", tasks);
    spec.spot = true;
    add(&spec);
    autoscaler_t *autoscaler = autoscaler_new();
    autoscaler_record_refusal(autoscaler, &taken, G_MAXINT64);
    bool wished =
        autoscaler_next_scale_out(autoscaler, leader, machine_types, 1000, 2000, &request);
    assert_true(!wished || !request.spot);
    autoscaler_free(autoscaler);
    g_array_unref(machine_types);
    return wished ? request.count : 0;
}

/* Spot machines ran out, and a queue of five minutes never drained; on-demand ones for all of it
 * cost more than they were worth. */
static void test_work_that_waits_too_long_gets_a_share_of_ordinary_machines(void **state)
{
    (void)state;
    add_team("team-c", 0, 0);
    assert_int_equal(ordinary_for(900), 0);  /* 113 s on what stands */
    assert_int_equal(ordinary_for(1100), 1); /* 138 s: 183 cpus would do it in the patience */
    assert_int_equal(ordinary_for(3000), 7); /* a fourth of the 500 that would */
}

/* A zone went silent as a whole and its machines were given up: what was scaled out there at once
 * booted, cost, and could not be heard either. */
static void test_nothing_is_rented_in_an_unreachable_zone(void **state)
{
    (void)state;
    scale_out_request_t request;
    assert_false(next_rental(false, 3, UNREACHABLE_ZONE_MS - 1, &request));
    assert_true(next_rental(false, 2, 0, &request)); /* two may have died */
}

static void test_a_zone_is_unreachable_for_a_while_only(void **state)
{
    (void)state;
    scale_out_request_t request;
    assert_true(next_rental(false, 3, UNREACHABLE_ZONE_MS, &request));
}

/* A cut ended after 40 s, and the zone stayed without new machines for a minute more. */
static void test_a_zone_that_reports_again_is_reachable(void **state)
{
    (void)state;
    add_team("team-c", 0, 0);
    leader_free(leader);
    leader = leader_new(teams, slos, policy, 1);
    autoscaler_t *autoscaler = autoscaler_new();
    set_summaries(5, 9000, false);
    g_ptr_array_unref(autoscaler_update_zones(autoscaler, leader, 6000, 1000));
    assert_true(autoscaler_is_zone_unreachable(autoscaler, "zone-a", 1000));
    assert_true(autoscaler_awaits_zone(autoscaler, "zone-a", 40000, 20000, 1000));
    assert_false(
        autoscaler_awaits_zone(autoscaler, "zone-a", UNREACHABLE_WAIT_MS + 1, 20000, 1000));
    set_summaries(5, 0, true);
    g_ptr_array_unref(autoscaler_update_zones(autoscaler, leader, 6000, 2000));
    assert_false(autoscaler_is_zone_unreachable(autoscaler, "zone-a", 2000));
    /* Its other machines were given up the moment that the first was back. */
    assert_true(autoscaler_awaits_zone(autoscaler, "zone-a", 42000, 20000, 2500));
    assert_false(autoscaler_awaits_zone(autoscaler, "zone-a", 42000, 20000, 22001));
    assert_false(autoscaler_awaits_zone(autoscaler, "zone-b", 42000, 20000, 2500));
    autoscaler_free(autoscaler);
}

/* Both teams are at their limits with work on machines that can't be asked. One job was cancelled
 * before the new leader read the records, another is cancelled after: each attempt counts until it
 * is proved over, and makes room for one task then. */
static void test_limits_hold_over_a_change_of_leader_with_cancellations(void **state)
{
    (void)state;
    g_array_index(teams, team_t, 1).max_cpus = 24;
    leader_free(leader);
    leader = leader_new(teams, slos, policy, 2);
    leader_set_view(leader, 4);
    job_spec_t cancelled_later = job("j-000001", "team-a", 12);
    add(&cancelled_later);
    for (uint32_t i = 0; i < 12; i++) {
        record_entry_t red = {
            .job = "j-000001", .team = "team-a", .need = {2, 0, 1}, .task = i, .attempt = 9};
        record_entry_t blue = {
            .job = "j-000002", .team = "team-b", .need = {2, 0, 1}, .task = i, .attempt = 9};
        leader_load_attempt(leader, &red, "zone-b", 1);
        leader_load_attempt(leader, &blue, "zone-b", 1);
    }
    leader_end_job(leader, "j-000001");
    job_spec_t more[] = {job("j-000003", "team-a", 50), job("j-000004", "team-b", 50)};
    set_resources(0, "zone-a", 1000);
    add(&more[0]);
    add(&more[1]);
    GArray *requests = schedule();
    assert_int_equal(requests->len, 0);
    g_array_unref(requests);
    attempt_result_t over[] = {{.ref = task_ref("j-000001", 3, 9), .cause = CAUSE_NONE},
                               {.ref = task_ref("j-000002", 5, 9), .cause = CAUSE_STOPPED}};
    for (guint i = 0; i < 2; i++) {
        leader_handle_result(leader, 1, &over[i], 1000);
        leader_handle_result(leader, 1, &over[i], 1000); /* told twice, it counts once */
        requests = schedule();
        assert_int_equal(requests->len, 1);
        assert_int_equal(count(requests, more[i].id), 1);
        g_array_unref(requests);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_requests_go_to_the_partition_with_most_free_resources,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_team_limit_counts_outstanding_attempts, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_recorded_attempts_count_even_for_jobs_that_ended,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_shares_are_served_in_turn, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_a_share_is_one_of_the_resources_in_use, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_work_without_an_aim_counts_half_of_its_team, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_priority_comes_before_age, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_machines_are_claimed_for_a_large_task_that_goes_first,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_work_that_fits_nowhere_looks_at_no_machine, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_large_job_is_begun_under_lasting_overload, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_nothing_is_requested_where_there_is_no_machine, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_counts_of_jobs_reach_a_replica, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_hopeless_deadlines_come_last, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_same_zone_binds_the_later_tasks, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_apart_keeps_half_in_a_zone, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_job_that_fails_everywhere_is_backed_off, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_machine_that_fails_sound_jobs_is_quarantined, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_finished_task_is_never_requested_again, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_end_of_a_job_goes_before_progress_of_others, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_writes_are_left_to_an_end_until_it_fits, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_progress_of_large_jobs_keeps_within_the_bytes, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_gang_is_requested_whole_or_not_at_all, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_without_a_guarantee_spot_work_waits_for_spot, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_nothing_is_rented_in_an_unreachable_zone, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_a_zone_is_unreachable_for_a_while_only, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_a_zone_that_reports_again_is_reachable, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(
            test_work_that_waits_too_long_gets_a_share_of_ordinary_machines, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_work_barred_from_spot_gets_ordinary_machines, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(
            test_a_bound_job_moves_only_when_its_old_zone_is_proved_empty, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_ends_far_apart_add_up_over_several_leaders, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_a_machine_claim_is_bounded, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_limits_hold_over_a_change_of_leader_with_cancellations,
                                        set_up, tear_down),
    };
    return cmocka_run_group_tests_name("leader", tests, NULL, NULL);
}
