/* Tests of the job counts that the leader publishes to replicas. */
#include "leader_fixture.h"
#include "unit_test.h"

static void apply_counts(leader_fixture_t *fixture, job_counts_replica_t *replica, guint max_jobs)
{
    job_counts_update_t update =
        leader_job_counts_since(fixture->leader, replica->epoch, replica->version, max_jobs);
    assert_in_range(update.jobs->len, 0, max_jobs);
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

/* A replica receives only the counts that changed, a few jobs at a time. When the leader's data is
 * loaded again, a new epoch begins, and the replica discards the counts that it had. */
static void test_replica_receives_changed_job_counts(void **state)
{
    leader_fixture_t *fixture = *state;
    enum { MAX_JOBS = 2 };
    job_counts_replica_t replica;
    job_counts_replica_init(&replica);
    fixture->leader->counts_epoch = 11;
    job_spec_t jobs[] = {make_job("j-000001", "team-b", 2), make_job("j-000002", "team-b", 1),
                         make_job("j-000003", "team-b", 3)};
    for (guint i = 0; i < G_N_ELEMENTS(jobs); i++)
        add_job(fixture, &jobs[i]);
    set_idle_machine(fixture, 0, "zone-a", 20);
    g_autoptr(GArray) requests = leader_schedule(fixture->leader, 1000, 1000, 10);
    assert_int_equal(requests->len, 6);
    apply_counts(fixture, &replica, MAX_JOBS);
    assert_int_equal(g_hash_table_size(replica.jobs), MAX_JOBS);
    apply_counts(fixture, &replica, MAX_JOBS);
    assert_counts(&replica, "j-000001", 0, 2);
    assert_counts(&replica, "j-000002", 0, 1);
    assert_counts(&replica, "j-000003", 0, 3);
    for (guint i = 0; i < requests->len; i++)
        if (strcmp(request_at(requests, i)->request.job, "j-000003") == 0)
            finish_task(fixture, request_at(requests, i));
    job_counts_update_t update =
        leader_job_counts_since(fixture->leader, replica.epoch, replica.version, MAX_JOBS);
    assert_int_equal(update.jobs->len, 1); /* only the job that changed */
    job_counts_replica_apply(&replica, &update);
    job_counts_update_clear(&update);
    assert_counts(&replica, "j-000003", 3, 0);
    leader_remove_job(fixture->leader, "j-000002");
    fixture->leader->counts_epoch = 12;
    apply_counts(fixture, &replica, MAX_JOBS);
    assert_counts(&replica, "j-000002", 0, 0);
    assert_counts(&replica, "j-000001", 0, 2);
    g_hash_table_unref(replica.jobs);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_replica_receives_changed_job_counts, set_up_leader,
                                        tear_down_leader),
    };
    return cmocka_run_group_tests_name("published_counts", tests, NULL, NULL);
}
