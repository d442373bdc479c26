/* The command line of the program, and the start of the controller. */
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
    char **remaining;
} arguments_t;

enum { EXIT_ERROR = 1, EXIT_USAGE = 2 };

static bool parse_arguments(int *argc, char ***argv, arguments_t *arguments)
{
    g_autoptr(GError) error = NULL;
    const GOptionEntry entries[] = {
        {"config", 'c', 0, G_OPTION_ARG_FILENAME, &arguments->config,
         "the platform's settings file (JSON)", "FILE"},
        {"policy", 'p', 0, G_OPTION_ARG_FILENAME, &arguments->policy, "the operators' own settings",
         "FILE"},
        {"version", 'V', 0, G_OPTION_ARG_NONE, &arguments->version, "print the version", NULL},
        {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &arguments->remaining, NULL,
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

/* Returns the compiled policy file, or the default policy if path is NULL (transfer full). If the
 * file cannot be read or has errors, prints them to standard error, one per line, and returns NULL.
 */
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
    g_autoptr(GPtrArray) errors = policy_errors_new();
    policy_t *policy = policy_compile(path, text, errors);
    for (guint i = 0; i < errors->len; i++)
        fprintf(stderr, "%s\n", ((const GError *)g_ptr_array_index(errors, i))->message);
    return policy;
}

static int check_policy(char **remaining)
{
    if (strcmp(remaining[0], "check") != 0 || !remaining[1] || remaining[2]) {
        fprintf(stderr, "pepperpulley: unexpected argument: %s\n", remaining[0]);
        return EXIT_USAGE;
    }
    policy_t *policy = load_policy(remaining[1]);
    if (!policy)
        return EXIT_ERROR;
    policy_free(policy);
    printf("%s: no faults\n", remaining[1]);
    return EXIT_SUCCESS;
}

static int serve(const arguments_t *arguments)
{
    g_autoptr(GError) error = NULL;
    if (!log_start(g_getenv("LOG_LEVEL"))) {
        fputs("pepperpulley: LOG_LEVEL must be one of error, info, debug\n", stderr);
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
    http_client_init_library();
    controller_t *controller = controller_new(settings, policy);
    log_info("event=process_started version=%s host=%s incarnation=%" G_GUINT64_FORMAT,
             PEPPERPULLEY_VERSION, settings->name, controller->incarnation);
    if (!controller_start(controller))
        return EXIT_ERROR;
    for (;;)
        pause();
}

int main(int argc, char **argv)
{
    arguments_t arguments = {0};
    /* The process has many threads and little memory, so malloc uses one arena and soon returns
     * freed memory to the system. */
    // NOLINTBEGIN(concurrency-mt-unsafe): no other thread runs yet
    mallopt(M_ARENA_MAX, 1);
    mallopt(M_TRIM_THRESHOLD, HEAP_TRIM_BYTES);
    // NOLINTEND(concurrency-mt-unsafe)
    if (!parse_arguments(&argc, &argv, &arguments))
        return EXIT_USAGE;
    if (arguments.version) {
        puts("pepperpulley " PEPPERPULLEY_VERSION);
        return EXIT_SUCCESS;
    }
    if (arguments.remaining)
        return check_policy(arguments.remaining);
    if (!arguments.config) {
        fputs("pepperpulley: --config FILE is required, see --help\n", stderr);
        return EXIT_USAGE;
    }
    return serve(&arguments);
}
