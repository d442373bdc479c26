#include <glib.h>
#include <malloc.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "app/node.h"
#include "log.h"

typedef struct {
    char *config;
    gboolean version;
} arguments_t;

static bool parse_arguments(int *argc, char ***argv, arguments_t *arguments)
{
    GError *error = NULL;
    const GOptionEntry entries[] = {
        {"config", 'c', 0, G_OPTION_ARG_FILENAME, &arguments->config,
         "the platform's settings file (JSON)", "FILE"},
        {"version", 'V', 0, G_OPTION_ARG_NONE, &arguments->version, "print the version", NULL},
        {0}};
    GOptionContext *context = g_option_context_new("- place array tasks on rented machines");
    g_option_context_add_main_entries(context, entries, NULL);
    g_option_context_set_description(context,
                                     "Environment:\n  LOG_LEVEL  error, info (default) or debug\n");
    bool parsed = g_option_context_parse(context, argc, argv, &error);
    g_option_context_free(context);
    if (parsed && *argc > 1) {
        fprintf(stderr, "pepperpulley: unexpected argument: %s\n", (*argv)[1]);
        return false;
    }
    if (!parsed) {
        fprintf(stderr, "pepperpulley: %s\n", error->message);
        g_error_free(error);
    }
    return parsed;
}

int main(int argc, char **argv)
{
    arguments_t arguments = {0};
    /* Many threads, little memory: one arena, and freed memory goes back soon. */
    mallopt(M_ARENA_MAX, 1);
    mallopt(M_TRIM_THRESHOLD, 256 * 1024);
    if (!parse_arguments(&argc, &argv, &arguments))
        return 2;
    if (arguments.version) {
        puts("pepperpulley " PEPPERPULLEY_VERSION);
        return 0;
    }
    if (!arguments.config) {
        fputs("pepperpulley: --config FILE is required, see --help\n", stderr);
        return 2;
    }
    if (log_set_level(getenv("LOG_LEVEL")) != 0) {
        fputs("pepperpulley: LOG_LEVEL: error, info or debug is expected\n", stderr);
        return 2;
    }
    char *error = NULL;
    settings_t *settings = settings_load(arguments.config, &error);
    if (!settings) {
        fprintf(stderr, "pepperpulley: %s\n", error);
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    http_start();
    node_t *node = node_new(settings);
    log_info("event=start version=%s host=%s incarnation=%" G_GUINT64_FORMAT, PEPPERPULLEY_VERSION,
             settings->name, node->incarnation);
    if (!node_start(node))
        return 1;
    for (;;)
        pause();
}
