/* The program: its command line, and the start of the controller. */
#include <glib.h>
#include <malloc.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "controller/controller.h"
#include "controller/startup.h"
#include "io/log.h"

typedef struct arguments {
    char *config;
    char *policy;
    gboolean version;
    char **rest;
} arguments_t;

enum { EXIT_FAULT = 1, EXIT_USAGE = 2 };

static bool parse_arguments(int *argc, char ***argv, arguments_t *arguments)
{
    g_autoptr(GError) error = NULL;
    const GOptionEntry entries[] = {
        {"config", 'c', 0, G_OPTION_ARG_FILENAME, &arguments->config,
         "the platform's settings file (JSON)", "FILE"},
        {"policy", 'p', 0, G_OPTION_ARG_FILENAME, &arguments->policy, "the operators' own settings",
         "FILE"},
        {"version", 'V', 0, G_OPTION_ARG_NONE, &arguments->version, "print the version", NULL},
        {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &arguments->rest, NULL,
         "[check FILE]"},
        {0}};
    g_autoptr(GOptionContext) context = g_option_context_new(NULL);
    g_option_context_add_main_entries(context, entries, NULL);
    g_option_context_set_summary(context,
                                 "Places array tasks on rented machines, as one of several "
                                 "controllers.\nWith `check FILE`: reports every fault of an "
                                 "operators' settings file.");
    g_option_context_set_description(context,
                                     "Environment:\n  LOG_LEVEL  error, info (default) or debug\n");
    bool is_valid = g_option_context_parse(context, argc, argv, &error);
    if (!is_valid)
        fprintf(stderr, "pepperpulley: %s\n", error->message);
    return is_valid;
}

/* Returns the compiled file, or the defaults for NULL (transfer full). Returns NULL after printing
 * the faults on standard error, one a line. */
static policy_t *load_policy(const char *path)
{
    g_autofree char *text = NULL;
    g_autoptr(GError) error = NULL;
    if (!path)
        return policy_default();
    if (!g_file_get_contents(path, &text, NULL, &error)) {
        fprintf(stderr, "pepperpulley: %s\n", error->message);
        return NULL;
    }
    g_autoptr(GPtrArray) faults = policy_faults_new();
    policy_t *policy = policy_compile(path, text, faults);
    for (guint i = 0; i < faults->len; i++)
        fprintf(stderr, "%s\n", ((const GError *)g_ptr_array_index(faults, i))->message);
    return policy;
}

static int check_policy(char **rest)
{
    if (strcmp(rest[0], "check") != 0 || !rest[1] || rest[2]) {
        fprintf(stderr, "pepperpulley: unexpected argument: %s\n", rest[0]);
        return EXIT_USAGE;
    }
    policy_t *policy = load_policy(rest[1]);
    if (!policy)
        return EXIT_FAULT;
    policy_free(policy);
    printf("%s: no faults\n", rest[1]);
    return EXIT_SUCCESS;
}

static int serve(const arguments_t *arguments)
{
    g_autoptr(GError) error = NULL;
    if (!log_start(g_getenv("LOG_LEVEL"))) {
        fputs("pepperpulley: LOG_LEVEL: error, info or debug is expected\n", stderr);
        return EXIT_USAGE;
    }
    policy_t *policy = load_policy(arguments->policy);
    if (!policy)
        return EXIT_USAGE;
    settings_t *settings = settings_load(arguments->config, &error);
    if (!settings) {
        fprintf(stderr, "pepperpulley: %s\n", error->message);
        return EXIT_USAGE;
    }
    (void)signal(SIGPIPE, SIG_IGN);
    http_start();
    controller_t *controller = controller_new(settings, policy);
    log_info("event=process_started version=%s host=%s incarnation=%" G_GUINT64_FORMAT,
             PEPPERPULLEY_VERSION, settings->name, controller->incarnation);
    if (!controller_start(controller))
        return EXIT_FAULT;
    for (;;)
        pause();
}

int main(int argc, char **argv)
{
    arguments_t arguments = {0};
    /* Many threads, little memory: one arena, and freed memory is returned soon. */
    // NOLINTBEGIN(concurrency-mt-unsafe): there is no other thread yet
    mallopt(M_ARENA_MAX, 1);
    mallopt(M_TRIM_THRESHOLD, HEAP_TRIM_BYTES);
    // NOLINTEND(concurrency-mt-unsafe)
    if (!parse_arguments(&argc, &argv, &arguments))
        return EXIT_USAGE;
    if (arguments.version) {
        puts("pepperpulley " PEPPERPULLEY_VERSION);
        return EXIT_SUCCESS;
    }
    if (arguments.rest)
        return check_policy(arguments.rest);
    if (!arguments.config) {
        fputs("pepperpulley: --config FILE is required, see --help\n", stderr);
        return EXIT_USAGE;
    }
    return serve(&arguments);
}
