/* Tests of the registry of threads: what each role has taken stays told when its threads have
 * ended. */
#include "controller/threads.h"

#include <string.h>

#include "unit_test.h"

static void *work(void *data)
{
    volatile double sum = 0;
    const int *rounds = data;
    for (int i = 0; i < *rounds; i++)
        sum += i;
    return NULL;
}

/* The value that a line of the text has; -1: there is none. */
static gint64 value_of(const char *text, const char *name)
{
    const char *line = strstr(text, name);
    return line ? g_ascii_strtoll(line + strlen(name), NULL, 10) : -1;
}

static char *read_text(void)
{
    GString *text = g_string_new(NULL);
    threads_write(text);
    return g_string_free(text, FALSE);
}

static void test_time_of_ended_threads_is_kept(void **state)
{
    (void)state;
    int rounds = 5000000;
    pthread_join(threads_start("worker", work, &rounds), NULL);
    char *once = read_text();
    gint64 first = value_of(once, "thread_time_us{role=\"worker\"} ");
    assert_int_equal(value_of(once, "threads{role=\"worker\"} "), 0);
    assert_true(first > 0);
    pthread_join(threads_start("worker", work, &rounds), NULL);
    char *twice = read_text();
    assert_true(value_of(twice, "thread_time_us{role=\"worker\"} ") > first);
    g_free(once);
    g_free(twice);
}

static void test_a_thread_of_a_library_is_counted_once(void **state)
{
    (void)state;
    threads_adopt("http");
    threads_adopt("http");
    char *text = read_text();
    assert_int_equal(value_of(text, "threads{role=\"http\"} "), 1);
    assert_true(value_of(text, "thread_time_us{role=\"http\"} ") > 0);
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
