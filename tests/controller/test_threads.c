/* Tests of the registry of threads: the processor time that the threads of a role have taken is
 * still reported when they have ended. */
#include "controller/threads.h"

#include <string.h>

#include "unit_test.h"

static void *use_processor(void *data)
{
    volatile double sum = 0;
    const int *rounds = data;
    for (int i = 0; i < *rounds; i++)
        sum += i;
    return NULL;
}

/* The value of a metric in the report; -1: it has no such metric. */
static gint64 read_value(const char *text, const char *name)
{
    const char *line = strstr(text, name);
    return line ? g_ascii_strtoll(line + strlen(name), NULL, 10) : -1;
}

/* The metrics of all roles; the caller's. */
static char *read_report(void)
{
    GString *text = g_string_new(NULL);
    threads_write(text);
    return g_string_free(text, FALSE);
}

static void test_time_of_ended_threads_is_kept(void **state)
{
    (void)state;
    int rounds = 5000000;
    pthread_join(threads_start("worker", use_processor, &rounds), NULL);
    char *first_report = read_report();
    gint64 first_us = read_value(first_report, "thread_time_us{role=\"worker\"} ");
    assert_int_equal(read_value(first_report, "threads{role=\"worker\"} "), 0);
    assert_true(first_us > 0);
    pthread_join(threads_start("worker", use_processor, &rounds), NULL);
    char *second_report = read_report();
    assert_true(read_value(second_report, "thread_time_us{role=\"worker\"} ") > first_us);
    g_free(first_report);
    g_free(second_report);
}

static void test_a_thread_of_a_library_is_counted_once(void **state)
{
    (void)state;
    threads_adopt("http");
    threads_adopt("http");
    char *text = read_report();
    assert_int_equal(read_value(text, "threads{role=\"http\"} "), 1);
    assert_true(read_value(text, "thread_time_us{role=\"http\"} ") > 0);
    g_free(text);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_time_of_ended_threads_is_kept),
        cmocka_unit_test(test_a_thread_of_a_library_is_counted_once),
    };
    return cmocka_run_group_tests_name("threads", tests, NULL, NULL);
}
