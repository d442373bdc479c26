/* Compilation of a policy file, and the values of its settings. */
#include "policy/policy.h"

#include <string.h>

#include "policy/names.h"
#include "policy/parse.h"

#include "policy_parser.h"

int policy_yylex_init_extra(parse_t *extra, void **scanner);
int policy_yylex_destroy(void *scanner);
struct yy_buffer_state *policy_yy_scan_string(const char *text, void *scanner);

/* Most bytes of a policy file, which is far more than all settings take. */
enum { TEXT_MAX = 64 * 1024 };

struct policy {
    ast_t *values[TUNABLE_COUNT]; /* owned */
};

/* Parses and checks the text, and records its errors. Returns whether it has none. */
static bool parse_text(parse_t *parse, const char *text)
{
    void *scanner;
    guint previous_count = parse->errors->len;
    if (strlen(text) > TEXT_MAX) {
        parse_add_error(parse, POLICY_ERROR_SIZE, 1, 1, "the text is longer than %d bytes",
                        TEXT_MAX);
        return false;
    }
    policy_yylex_init_extra(parse, &scanner);
    policy_yy_scan_string(text, scanner);
    int result = policy_yyparse(scanner, parse);
    policy_yylex_destroy(scanner);
    if (result != 0 && parse->errors->len == previous_count)
        parse_add_error(parse, POLICY_ERROR_SYNTAX, parse->line, parse->column,
                        "the rest of the text cannot be parsed");
    return parse->errors->len == previous_count;
}

static void free_error(gpointer error)
{
    g_error_free(error);
}

GPtrArray *policy_errors_new(void)
{
    return g_ptr_array_new_with_free_func(free_error);
}

policy_t *policy_compile(const char *file, const char *text, GPtrArray *errors)
{
    policy_t *policy = g_new0(policy_t, 1);
    parse_t parse = {.file = file,
                     .errors = errors,
                     .values = policy->values,
                     .line = 1,
                     .column = 1,
                     .token_column = 1};
    bool is_valid = parse_text(&parse, text);
    for (int i = 0; is_valid && i < TUNABLE_COUNT; i++) {
        if (policy->values[i])
            continue;
        const tunable_info_t *tunable = policy_tunable_info((policy_tunable_t)i);
        g_autofree char *line = g_strdup_printf("%s = %s;", tunable->name, tunable->default_value);
        is_valid = parse_text(&parse, line);
    }
    if (is_valid)
        return policy;
    policy_free(policy);
    return NULL;
}

policy_t *policy_default(void)
{
    g_autoptr(GPtrArray) errors = policy_errors_new();
    return policy_compile("defaults", "", errors);
}

void policy_free(policy_t *policy)
{
    for (int i = 0; i < TUNABLE_COUNT; i++)
        ast_free(policy->values[i]);
    g_free(policy);
}

double policy_value(const policy_t *policy, policy_tunable_t tunable, const policy_env_t *env)
{
    static const policy_env_t no_attributes = {0};
    double value = ast_evaluate(policy->values[tunable], env ? env : &no_attributes);
    const tunable_info_t *info = policy_tunable_info(tunable);
    return CLAMP(value, info->low, info->high);
}
