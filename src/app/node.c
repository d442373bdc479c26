#include "app/node.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "log.h"

static void known_job_free(gpointer data)
{
    known_job_t *job = data;
    job_spec_clear(&job->spec);
    g_free(job);
}

node_t *node_new(const settings_t *settings)
{
    node_t *node = g_new0(node_t, 1);
    msec_t now = clock_steady();
    node->settings = settings;
    arc4random_buf(&node->incarnation, sizeof node->incarnation);
    node->incarnation >>= 2; /* fits a signed JSON integer */
    state_init(&node->state, settings->state, now);
    budget_init(&node->core_rps, settings->state_rps * SHARE_FRONT_RPS, now);
    budget_init(&node->core_write, settings->state_write_rps * SHARE_LEADER_WRITE, now);
    budget_init(&node->front_rps, settings->state_rps * SHARE_FRONT_RPS, now);
    budget_init(&node->front_write, settings->state_write_rps * SHARE_FRONT_WRITE, now);
    for (guint i = 0; i < FRONT_CLIENTS; i++)
        node->front_clients[i] = http_client_new(1);
    node->front_free = FRONT_CLIENTS;
    pthread_mutex_init(&node->lock, NULL);
    pthread_condattr_t steady;
    pthread_condattr_init(&steady);
    pthread_condattr_setclock(&steady, CLOCK_MONOTONIC);
    pthread_cond_init(&node->work, &steady);
    pthread_cond_init(&node->direct, &steady);
    pthread_cond_init(&node->clients, &steady);
    pthread_condattr_destroy(&steady);
    node->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, known_job_free);
    node->flavors = g_array_new(FALSE, FALSE, sizeof(flavor_t));
    node->ended = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    node->guests = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return node;
}

pthread_t node_thread(void *(*run)(void *), node_t *node)
{
    pthread_t thread;
    pthread_attr_t attr;
    pthread_attr_init(&attr);
    pthread_attr_setstacksize(&attr, THREAD_STACK);
    if (pthread_create(&thread, &attr, run, node) != 0) {
        log_error("event=thread_failed errno=%d", errno);
        abort();
    }
    pthread_attr_destroy(&attr);
    return thread;
}

bool node_start(node_t *node)
{
    node_thread(member_run, node);
    node_thread(follow_run, node);
    node_thread(placer_run, node);
    node_thread(cloud_run, node);
    for (guint i = 0; i < SENDERS; i++)
        node_thread(sender_run, node);
    return front_start(node);
}

void node_wake(node_t *node)
{
    pthread_cond_signal(&node->work);
}

void node_wait(node_t *node, pthread_cond_t *cond, msec_t ms)
{
    msec_t until = clock_steady() + ms;
    struct timespec at = {.tv_sec = until / 1000, .tv_nsec = until % 1000 * 1000000};
    pthread_cond_timedwait(cond, &node->lock, &at);
}

void node_sleep(msec_t ms)
{
    struct timespec left = {.tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000};
    nanosleep(&left, NULL);
}

void node_job_set(node_t *node, const job_spec_t *spec, uint64_t stamp)
{
    if (g_hash_table_contains(node->jobs, spec->id))
        return;
    known_job_t *job = g_new0(known_job_t, 1);
    job->spec = *spec;
    job->spec.types = g_strdupv(spec->types);
    job->stamp = stamp;
    g_hash_table_insert(node->jobs, job->spec.id, job);
    if (node->loaded && node->leader)
        leader_add_job(node->leader, spec, stamp, clock_steady());
    node_wake(node);
}

void node_job_gone(node_t *node, const char *id)
{
    if (node->part)
        part_end_job(node->part, id);
    if (node->leader)
        leader_end_job(node->leader, id);
    g_hash_table_remove(node->jobs, id);
    pthread_cond_broadcast(&node->direct);
    node_wake(node);
}

void node_step_down(node_t *node, const char *why)
{
    if (!node->leading)
        return;
    log_info("event=step_down view=%" G_GUINT64_FORMAT " why=%s", node->view.number, why);
    node->leading = node->loaded = false;
    node->grant = 0;
    node->generation++;
    budget_set_rate(&node->core_rps, node->settings->state_rps * SHARE_FRONT_RPS);
}

bool node_may_renew(const node_t *node, msec_t now)
{
    /* A job may be cancelled at any moment through a node that reaches the state service. Its tasks
     * must be gone within cancel_s, and a worker keeps them for lease_s after our last answer: so
     * answers end this long after the last moment at which every abort was known here. */
    double spare = node->settings->cancel_s - node->settings->lease_s;
    return node->jobs_synced && now - node->jobs_proof < (msec_t)(spare * 1000) - CONTACT_MARGIN_MS;
}
