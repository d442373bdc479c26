#include "controller/threads.h"

#include <errno.h>
#include <stdbool.h>
#include <stdlib.h>
#include <time.h>

#include "constants.h"
#include "io/log.h"

/* A registered thread. */
typedef struct thread {
    const char *role;     /* constant */
    void *(*run)(void *); /* NULL: started by a library */
    void *data;           /* argument of run */
    clockid_t clock;      /* reads the thread's processor time; valid while it runs */
} thread_t;

/* The statistics of one role. */
typedef struct role {
    guint running_count;
    gint64 ended_us; /* processor time of the role's threads that have ended */
} role_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
/* Both are created on first use and guarded by lock. */
static GPtrArray *running_threads;       /* thread_t *, borrowed from the threads themselves */
static GHashTable *roles;                /* role (char *, constant) -> role_t *, owned */
static _Thread_local bool is_registered; /* by threads_register_current() */

static gint64 read_clock_us(clockid_t clock)
{
    struct timespec time = {0};
    clock_gettime(clock, &time);
    return (gint64)time.tv_sec * MS_PER_S * US_PER_MS + time.tv_nsec / (NS_PER_MS / US_PER_MS);
}

/* Returns the role's entry, which is created if it does not exist. */
static role_t *ensure_role_locked(const char *name)
{
    if (!roles)
        roles = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    role_t *role = g_hash_table_lookup(roles, name);
    if (!role) {
        role = g_new0(role_t, 1);
        g_hash_table_insert(roles, (gpointer)name, role);
    }
    return role;
}

/* Registers the calling thread. */
static void register_thread(thread_t *thread)
{
    pthread_getcpuclockid(pthread_self(), &thread->clock);
    pthread_mutex_lock(&lock);
    if (!running_threads)
        running_threads = g_ptr_array_new();
    g_ptr_array_add(running_threads, thread);
    ensure_role_locked(thread->role)->running_count++;
    pthread_mutex_unlock(&lock);
}

/* Removes the calling thread, which is about to end, from the registry and frees its entry. */
static void unregister_thread(thread_t *thread)
{
    pthread_mutex_lock(&lock);
    g_ptr_array_remove_fast(running_threads, thread);
    role_t *role = ensure_role_locked(thread->role);
    role->running_count--;
    role->ended_us += read_clock_us(thread->clock);
    pthread_mutex_unlock(&lock);
    g_free(thread);
}

static void *run_thread(void *data)
{
    thread_t *thread = data;
    register_thread(thread);
    void *result = thread->run(thread->data);
    unregister_thread(thread);
    return result;
}

pthread_t threads_start(const char *role, void *(*run)(void *), void *data)
{
    thread_t *thread = g_new0(thread_t, 1);
    *thread = (thread_t){.role = role, .run = run, .data = data};
    pthread_t id;
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, THREAD_STACK_BYTES);
    if (pthread_create(&id, &attributes, run_thread, thread) != 0) {
        log_error("event=thread_failed errno=%d", errno);
        abort();
    }
    pthread_attr_destroy(&attributes);
    return id;
}

void threads_register_current(const char *role)
{
    if (is_registered)
        return;
    is_registered = true;
    thread_t *thread = g_new0(thread_t, 1);
    thread->role = role;
    register_thread(thread);
}

/* Adds the processor time of the running threads to `running_us`: role (char *, constant) ->
 * gint64 *, owned. */
static void sum_running_us_locked(GHashTable *running_us)
{
    for (guint i = 0; running_threads && i < running_threads->len; i++) {
        const thread_t *thread = g_ptr_array_index(running_threads, i);
        gint64 *sum = g_hash_table_lookup(running_us, thread->role);
        if (!sum) {
            sum = g_new0(gint64, 1);
            g_hash_table_insert(running_us, (gpointer)thread->role, sum);
        }
        *sum += read_clock_us(thread->clock);
    }
}

static void write_roles_locked(GString *text, GHashTable *running_us)
{
    GHashTableIter iter;
    gpointer name;
    gpointer value;
    g_hash_table_iter_init(&iter, roles);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        const role_t *role = value;
        const gint64 *sum = g_hash_table_lookup(running_us, name);
        gint64 time_us = role->ended_us + (sum ? *sum : 0);
        g_string_append_printf(text, "threads{role=\"%s\"} %u\n", (char *)name,
                               role->running_count);
        g_string_append_printf(text, "thread_time_us{role=\"%s\"} %" G_GINT64_FORMAT "\n",
                               (char *)name, time_us);
    }
}

void threads_write(GString *text)
{
    g_autoptr(GHashTable) running_us = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    pthread_mutex_lock(&lock);
    sum_running_us_locked(running_us);
    if (roles)
        write_roles_locked(text, running_us);
    pthread_mutex_unlock(&lock);
}
