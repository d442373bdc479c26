#include "controller/threads.h"

#include <errno.h>
#include <stdbool.h>
#include <stdlib.h>
#include <time.h>

#include "constants.h"
#include "io/log.h"

/* One thread; `clock` is valid while it runs. */
typedef struct thread {
    const char *role;
    void *(*run)(void *);
    void *data;
    clockid_t clock;
} thread_t;

typedef struct role {
    guint alive;
    gint64 time_us; /* of threads that have ended */
} role_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GPtrArray *running; /* thread_t, those that run now; guarded by lock */
static GHashTable *roles;  /* role -> role_t; guarded by lock */
static _Thread_local bool adopted;

static gint64 read_clock_us(clockid_t clock)
{
    struct timespec time = {0};
    clock_gettime(clock, &time);
    return (gint64)time.tv_sec * MS_PER_S * US_PER_MS + time.tv_nsec / (NS_PER_MS / US_PER_MS);
}

/* With the lock held. */
static role_t *find_role(const char *name)
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

static void enter(thread_t *thread)
{
    pthread_getcpuclockid(pthread_self(), &thread->clock);
    pthread_mutex_lock(&lock);
    if (!running)
        running = g_ptr_array_new();
    g_ptr_array_add(running, thread);
    find_role(thread->role)->alive++;
    pthread_mutex_unlock(&lock);
}

static void leave(thread_t *thread)
{
    pthread_mutex_lock(&lock);
    g_ptr_array_remove_fast(running, thread);
    role_t *role = find_role(thread->role);
    role->alive--;
    role->time_us += read_clock_us(thread->clock);
    pthread_mutex_unlock(&lock);
    g_free(thread);
}

static void *run_thread(void *data)
{
    thread_t *thread = data;
    enter(thread);
    void *result = thread->run(thread->data);
    leave(thread);
    return result;
}

pthread_t threads_start(const char *role, void *(*run)(void *), void *data)
{
    thread_t *thread = g_new0(thread_t, 1);
    *thread = (thread_t){.role = role, .run = run, .data = data};
    pthread_t id;
    pthread_attr_t attr;
    pthread_attr_init(&attr);
    pthread_attr_setstacksize(&attr, THREAD_STACK_BYTES);
    if (pthread_create(&id, &attr, run_thread, thread) != 0) {
        log_error("event=thread_failed errno=%d", errno);
        abort();
    }
    pthread_attr_destroy(&attr);
    return id;
}

void threads_adopt(const char *role)
{
    if (adopted)
        return;
    adopted = true;
    thread_t *thread = g_new0(thread_t, 1);
    thread->role = role;
    enter(thread);
}

void threads_write(GString *text)
{
    GHashTable *live_us = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    pthread_mutex_lock(&lock);
    for (guint i = 0; running && i < running->len; i++) {
        const thread_t *thread = g_ptr_array_index(running, i);
        gint64 *sum = g_hash_table_lookup(live_us, thread->role);
        if (!sum) {
            sum = g_new0(gint64, 1);
            g_hash_table_insert(live_us, (gpointer)thread->role, sum);
        }
        *sum += read_clock_us(thread->clock);
    }
    GHashTableIter iter;
    gpointer name;
    gpointer value;
    if (roles)
        g_hash_table_iter_init(&iter, roles);
    while (roles && g_hash_table_iter_next(&iter, &name, &value)) {
        const role_t *role = value;
        const gint64 *sum = g_hash_table_lookup(live_us, name);
        g_string_append_printf(text, "threads{role=\"%s\"} %u\n", (char *)name, role->alive);
        g_string_append_printf(text, "thread_time_us{role=\"%s\"} %" G_GINT64_FORMAT "\n",
                               (char *)name, role->time_us + (sum ? *sum : 0));
    }
    pthread_mutex_unlock(&lock);
    g_hash_table_unref(live_us);
}
