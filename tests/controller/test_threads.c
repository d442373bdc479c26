/* Tests of the thread registry: it counts each thread once, and still reports the processor time of
 * the threads of a role after they have ended. */
#include "controller/threads.h"

#include <string.h>

#include "unit_test.h"

static void *use_processor_time(void *data)
{
    volatile double sum = 0;
    const int *rounds = data;
    for (int i = 0; i < *rounds; i++)
        sum += i;
    return NULL;
}

/* Returns the value of a metric in the text, or -1 if the text does not contain the metric. */
static gint64 read_value(const char *text, const char *name)
{
    const char *line = strstr(text, name);
    return line ? g_ascii_strtoll(line + strlen(name), NULL, 10) : -1;
}

/* Returns the metrics of all roles (transfer full). */
static char *read_metrics(void)
{
    GString *text = g_string_new(NULL);
    threads_write(text);
    return g_string_free(text, FALSE);
}

/* Guards against a counter of processor time that decreases when a thread ends. */
static void test_processor_time_of_ended_threads_is_kept(void **state)
{
    (void)state;
    int rounds = 5000000;
    pthread_join(threads_start("worker", use_processor_time, &rounds), NULL);
    char *first_metrics = read_metrics();
    gint64 first_us = read_value(first_metrics, "thread_time_us{role=\"worker\"} ");
    assert_int_equal(read_value(first_metrics, "threads{role=\"worker\"} "), 0);
    assert_true(first_us > 0);
    pthread_join(threads_start("worker", use_processor_time, &rounds), NULL);
    char *second_metrics = read_metrics();
    assert_true(read_value(second_metrics, "thread_time_us{role=\"worker\"} ") > first_us);
    g_free(first_metrics);
    g_free(second_metrics);
}

/* Guards against counting a thread more than once, because libmicrohttpd's threads are registered
 * with every request. */
static void test_a_registered_thread_is_counted_once(void **state)
{
    (void)state;
    threads_register_current("http");
    threads_register_current("http");
    char *text = read_metrics();
    assert_int_equal(read_value(text, "threads{role=\"http\"} "), 1);
    assert_true(read_value(text, "thread_time_us{role=\"http\"} ") > 0);
    g_free(text);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_processor_time_of_ended_threads_is_kept),
        cmocka_unit_test(test_a_registered_thread_is_counted_once),
    };
    return cmocka_run_group_tests_name("threads", tests, NULL, NULL);
}
