/* Queues requests and serves them on the threads of the pool. */
#include "controller/api/request_pool.h"

#include <string.h>

#include <microhttpd.h>

#include "controller/api/kv_access.h"
#include "controller/api/routes.h"
#include "controller/controller.h"
#include "controller/threads.h"
#include "io/clock.h"

static reply_t refuse_overload(void)
{
    return api_reply_refusal(HTTP_UNAVAILABLE, "too many requests wait here", 1);
}

/* Sets the reply and resumes the connection. The caller must not use the request afterwards,
 * because it belongs to an HTTP thread again. */
static void complete_request(request_t *request, reply_t reply)
{
    request->reply = reply;
    request->has_unsent_reply = true;
    MHD_resume_connection(request->connection);
}

static void serve_request(request_t *request)
{
    bool is_expired = clock_steady() >= request->wait_deadline;
    reply_t reply =
        is_expired ? refuse_overload() : api_route(request, request->method, request->path);
    api_release_kv_client(request);
    complete_request(request, reply);
}

/* Removes and returns the oldest request in the queue. Waits if the queue is empty. */
static request_t *take_request(request_pool_t *pool)
{
    pthread_mutex_lock(&pool->lock);
    pool->idle_worker_count++;
    request_t *request = request_queue_pop(&pool->queue);
    while (!request) {
        pthread_cond_wait(&pool->available, &pool->lock);
        request = request_queue_pop(&pool->queue);
    }
    pool->idle_worker_count--;
    pthread_mutex_unlock(&pool->lock);
    return request;
}

static void *request_worker_run(void *data)
{
    controller_t *controller = data;
    for (;;)
        serve_request(take_request(&controller->requests));
    return NULL;
}

/* Waits until the earliest wait deadline in the queue. If the queue is empty, waits until a request
 * is queued while all workers are busy. */
static void wait_for_expiry_locked(request_pool_t *pool)
{
    msec_t next_deadline = request_queue_earliest_deadline(&pool->queue);
    if (next_deadline == G_MAXINT64) {
        pthread_cond_wait(&pool->all_workers_busy, &pool->lock);
        return;
    }
    struct timespec deadline = {.tv_sec = next_deadline / MS_PER_S,
                                .tv_nsec = next_deadline % MS_PER_S * NS_PER_MS};
    pthread_cond_timedwait(&pool->all_workers_busy, &pool->lock, &deadline);
}

/* The loop of the thread that refuses requests whose wait deadline passes while all workers are
 * busy. */
static void *request_expiry_run(void *data)
{
    controller_t *controller = data;
    request_pool_t *pool = &controller->requests;
    pthread_mutex_lock(&pool->lock);
    for (;;) {
        request_t *request = request_queue_pop_expired(&pool->queue, clock_steady());
        if (request)
            complete_request(request, refuse_overload());
        else
            wait_for_expiry_locked(pool);
    }
    return NULL;
}

void request_pool_start(controller_t *controller)
{
    threads_start("expire", request_expiry_run, controller);
}

static bool has_more_waiting_than_idle_locked(request_pool_t *pool)
{
    return g_queue_get_length(&pool->queue.waiting) > pool->idle_worker_count;
}

static void start_worker_if_needed_locked(controller_t *controller)
{
    request_pool_t *pool = &controller->requests;
    if (!has_more_waiting_than_idle_locked(pool) || pool->worker_count == REQUEST_WORKERS_COUNT)
        return;
    pool->worker_count++;
    threads_start("request_worker", request_worker_run, controller);
}

/* Queues the request and suspends its connection. Returns false if the queue is full. */
static bool push_request(request_t *request)
{
    controller_t *controller = request->controller;
    request_pool_t *pool = &controller->requests;
    pthread_mutex_lock(&pool->lock);
    bool has_space = request_queue_push(&pool->queue, request, request->wait_deadline);
    if (has_space) {
        MHD_suspend_connection(request->connection); /* before a worker can resume it */
        start_worker_if_needed_locked(controller);
        pthread_cond_signal(&pool->available);
        if (has_more_waiting_than_idle_locked(pool))
            pthread_cond_signal(&pool->all_workers_busy);
    }
    pthread_mutex_unlock(&pool->lock);
    return has_space;
}

bool request_pool_enqueue(struct request *request, const char *method, const char *path)
{
    if (g_strlcpy(request->method, method, sizeof request->method) >= sizeof request->method ||
        g_strlcpy(request->path, path, sizeof request->path) >= sizeof request->path) {
        request->reply = api_reply_refusal(HTTP_NOT_FOUND, "no such path", 0);
        return false;
    }
    msec_t now = clock_steady();
    request->wait_deadline = now + API_QUEUE_TIMEOUT_MS;
    request->deadline =
        now + (strcmp(method, "GET") == 0 ? API_STATUS_DEADLINE_MS : API_WRITE_DEADLINE_MS);
    bool is_queued = push_request(request);
    if (!is_queued)
        request->reply = refuse_overload();
    return is_queued;
}
