/* The operators' settings: their names and defaults, the checker, and what is compiled. */
#include "policy/ast.h"

#include <stdarg.h>
#include <string.h>

#include "parser.h"

int policy_yylex_init_extra(parse_t *extra, void **scanner);
int policy_yylex_destroy(void *scanner);
struct yy_buffer_state *policy_yy_scan_string(const char *text, void *scanner);

enum { SCOPE_NONE = 0, SCOPE_JOB = 1, SCOPE_MACHINE = 2 };

/* Deep nesting would take the parser's and the evaluator's stack. */
enum { DEPTH_MAX = 64, TEXT_MAX = 64 * 1024 };

static const char *const type_names[] = {"a boolean", "a plain number", "seconds", "cpus",
                                         "gb",        "an urgency",     "a text",  "anything"};

/* Defaults are written in the language itself. */
static const struct {
    const char *name;
    policy_type_t type;
    int scope;
    double low, high;
    const char *value;
} tunables[TUNABLE_COUNT] = {
    [TUNABLE_RESERVATION_TTL] = {"reservation_lapse", POLICY_SECONDS, SCOPE_NONE, 5, 600, "30 s"},
    [TUNABLE_PLACEMENT_REQUESTS_PER_ROUND] = {"offers_per_round", POLICY_NUMBER, SCOPE_NONE, 1, 500,
                                              "64"},
    [TUNABLE_PREEMPTIONS_PER_ROUND] = {"preemptions_per_round", POLICY_NUMBER, SCOPE_NONE, 0, 200,
                                       "24"},
    [TUNABLE_SCALE_OUT_HEADROOM] = {"rent_headroom", POLICY_NUMBER, SCOPE_NONE, 0.5, 3, "1.10"},
    [TUNABLE_SCALE_IN_HEADROOM] = {"rent_keep", POLICY_NUMBER, SCOPE_NONE, 1, 5, "1.18"},
    [TUNABLE_SCALE_OUT_PATIENCE] = {"rent_patience", POLICY_SECONDS, SCOPE_JOB, 1, 3600,
                                    "if job.urgency >= high then 15 s else 60 s"},
    [TUNABLE_SCALE_IN_DELAY] = {"idle_keep", POLICY_SECONDS, SCOPE_MACHINE, 5, 3600, "20 s"},
    [TUNABLE_USE_SPOT] = {"use_spot", POLICY_BOOL, SCOPE_JOB, 0, 1, "true"},
    [TUNABLE_USE_ON_DEMAND] = {"rent_ordinary", POLICY_BOOL, SCOPE_JOB, 0, 1, "true"},
    [TUNABLE_ON_DEMAND_PATIENCE] = {"ordinary_patience", POLICY_SECONDS, SCOPE_NONE, 1, 3600,
                                    "120 s"},
    [TUNABLE_ON_DEMAND_SHARE] = {"ordinary_share", POLICY_NUMBER, SCOPE_NONE, 0, 1, "0.25"},
    [TUNABLE_PREEMPT] = {"preempt", POLICY_BOOL, SCOPE_JOB, 0, 1, "job.urgency >= high"},
};

static const struct {
    const char *name;
    policy_type_t type;
    int scope;
} attrs[ATTR_COUNT] = {
    [ATTR_JOB_PRIORITY] = {"job.urgency", POLICY_PRIORITY, SCOPE_JOB},
    [ATTR_JOB_CPUS] = {"job.cpus", POLICY_CPUS, SCOPE_JOB},
    [ATTR_JOB_MEMORY] = {"job.memory", POLICY_MEMORY, SCOPE_JOB},
    [ATTR_JOB_TASKS] = {"job.tasks", POLICY_NUMBER, SCOPE_JOB},
    [ATTR_JOB_ESTIMATE] = {"job.estimate", POLICY_SECONDS, SCOPE_JOB},
    [ATTR_JOB_DEADLINE] = {"job.deadline", POLICY_SECONDS, SCOPE_JOB},
    [ATTR_JOB_CLASS] = {"job.class", POLICY_TEXT, SCOPE_JOB},
    [ATTR_JOB_TEAM] = {"job.team", POLICY_TEXT, SCOPE_JOB},
    [ATTR_MACHINE_SPOT] = {"machine.spot", POLICY_BOOL, SCOPE_MACHINE},
    [ATTR_MACHINE_CPUS] = {"machine.cpus", POLICY_CPUS, SCOPE_MACHINE},
    [ATTR_MACHINE_MEMORY] = {"machine.memory", POLICY_MEMORY, SCOPE_MACHINE},
    [ATTR_MACHINE_TYPE] = {"machine.type", POLICY_TEXT, SCOPE_MACHINE},
    [ATTR_MACHINE_ZONE] = {"machine.zone", POLICY_TEXT, SCOPE_MACHINE},
};

static const struct {
    const char *name;
    policy_type_t type;
    double value;
} words[] = {{"true", POLICY_BOOL, 1},     {"false", POLICY_BOOL, 0},
             {"low", POLICY_PRIORITY, 0},  {"normal", POLICY_PRIORITY, 1},
             {"high", POLICY_PRIORITY, 2}, {"critical", POLICY_PRIORITY, 3}};

static const struct {
    const char *name;
    policy_type_t type;
    double factor;
} units[] = {{"s", POLICY_SECONDS, 1},    {"ms", POLICY_SECONDS, 0.001},
             {"min", POLICY_SECONDS, 60}, {"h", POLICY_SECONDS, 3600},
             {"cpus", POLICY_CPUS, 1},    {"gb", POLICY_MEMORY, 1}};

struct policy {
    ast_t *value[TUNABLE_COUNT];
};

void parse_fault(parse_t *parse, int line, int column, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    g_ptr_array_add(parse->faults,
                    g_strdup_printf("%s:%d:%d: %s", parse->file, line, column, text));
    g_free(text);
}

/* A compound stands where its first operand does. */
ast_t *ast_new(ast_op_t op, ast_t *first, ast_t *second, ast_t *third)
{
    ast_t *ast = g_new0(ast_t, 1);
    *ast = (ast_t){.op = op,
                   .line = first->line,
                   .column = first->column,
                   .attr = -1,
                   .kid = {first, second, third}};
    return ast;
}

ast_t *ast_leaf(ast_op_t op, token_t token)
{
    ast_t *ast = g_new0(ast_t, 1);
    *ast = (ast_t){.op = op,
                   .line = token.line,
                   .column = token.column,
                   .attr = -1,
                   .text = token.text,
                   .number = token.number};
    return ast;
}

void ast_free(ast_t *ast)
{
    if (!ast)
        return;
    for (int i = 0; i < 3; i++)
        ast_free(ast->kid[i]);
    g_free(ast->text);
    g_free(ast);
}

ast_t *parse_number(parse_t *parse, token_t number, const token_t *unit)
{
    ast_t *ast = ast_leaf(AST_NUMBER, number);
    ast->type = unit ? POLICY_FAULTY : POLICY_NUMBER;
    for (guint i = 0; unit && i < G_N_ELEMENTS(units); i++) {
        if (strcmp(unit->text, units[i].name) != 0)
            continue;
        ast->type = units[i].type;
        ast->number *= units[i].factor;
    }
    if (ast->type == POLICY_FAULTY)
        parse_fault(parse, unit->line, unit->column,
                    "unknown unit %s: s, ms, min, h, cpus or gb is expected", unit->text);
    if (unit)
        g_free(unit->text);
    return ast;
}

static bool is_amount(policy_type_t type)
{
    return type == POLICY_NUMBER || type == POLICY_SECONDS || type == POLICY_CPUS ||
           type == POLICY_MEMORY;
}

static policy_type_t complain(parse_t *parse, const ast_t *ast, const char *expected,
                              policy_type_t found)
{
    if (found != POLICY_FAULTY)
        parse_fault(parse, ast->line, ast->column, "%s is expected, this is %s", expected,
                    type_names[found]);
    return POLICY_FAULTY;
}

static policy_type_t check_name(parse_t *parse, ast_t *ast, int scope)
{
    for (guint i = 0; i < G_N_ELEMENTS(words); i++) {
        if (strcmp(ast->text, words[i].name) == 0) {
            ast->number = words[i].value;
            return words[i].type;
        }
    }
    for (int i = 0; i < ATTR_COUNT; i++) {
        if (strcmp(ast->text, attrs[i].name) != 0)
            continue;
        if (!(attrs[i].scope & scope)) {
            parse_fault(parse, ast->line, ast->column, "%s is not known to this setting",
                        ast->text);
            return POLICY_FAULTY;
        }
        ast->attr = i;
        return attrs[i].type;
    }
    parse_fault(parse, ast->line, ast->column, "unknown name %s", ast->text);
    return POLICY_FAULTY;
}

static policy_type_t check_same(parse_t *parse, const ast_t *ast, policy_type_t left,
                                policy_type_t right)
{
    if (left == POLICY_FAULTY || right == POLICY_FAULTY)
        return POLICY_FAULTY;
    return left == right ? left : complain(parse, ast->kid[1], type_names[left], right);
}

static policy_type_t check_product(parse_t *parse, const ast_t *ast, policy_type_t left,
                                   policy_type_t right)
{
    double divisor;
    if (left == POLICY_FAULTY || right == POLICY_FAULTY)
        return POLICY_FAULTY;
    if (!is_amount(left))
        return complain(parse, ast->kid[0], "an amount", left);
    if (!is_amount(right))
        return complain(parse, ast->kid[1], "an amount", right);
    if (ast->op == AST_DIVIDE && ast_constant_value(ast->kid[1], &divisor) && divisor == 0) {
        parse_fault(parse, ast->kid[1]->line, ast->kid[1]->column, "division by zero");
        return POLICY_FAULTY;
    }
    if (right == POLICY_NUMBER)
        return left;
    if (ast->op == AST_MULTIPLY && left == POLICY_NUMBER)
        return right;
    if (ast->op == AST_DIVIDE && left == right)
        return POLICY_NUMBER;
    return complain(parse, ast->kid[1], "a plain number", right);
}

static policy_type_t check_wanted(parse_t *parse, const ast_t *ast, policy_type_t found,
                                  policy_type_t wanted)
{
    return found == wanted ? wanted : complain(parse, ast, type_names[wanted], found);
}

/* Whether the operands can be told apart by the comparison. */
static policy_type_t check_order(parse_t *parse, const ast_t *ast, policy_type_t left,
                                 policy_type_t right)
{
    if (left == POLICY_TEXT || left == POLICY_BOOL)
        complain(parse, ast->kid[0], "an amount or an urgency", left);
    else
        check_same(parse, ast, left, right);
    return POLICY_BOOL;
}

static policy_type_t check_condition(parse_t *parse, const ast_t *ast, const policy_type_t kid[3])
{
    check_wanted(parse, ast->kid[0], kid[0], POLICY_BOOL);
    if (kid[1] == kid[2] || kid[1] == POLICY_FAULTY)
        return kid[1];
    return complain(parse, ast->kid[2], type_names[kid[1]], kid[2]);
}

/* kid: the types of the operands. */
static policy_type_t check_operator(parse_t *parse, const ast_t *ast, const policy_type_t kid[3])
{
    switch (ast->op) {
    case AST_NOT:
        return check_wanted(parse, ast->kid[0], kid[0], POLICY_BOOL);
    case AST_NEGATE:
        return is_amount(kid[0]) ? kid[0] : complain(parse, ast->kid[0], "an amount", kid[0]);
    case AST_AND:
    case AST_OR:
        check_wanted(parse, ast->kid[0], kid[0], POLICY_BOOL);
        return check_wanted(parse, ast->kid[1], kid[1], POLICY_BOOL);
    case AST_ADD:
    case AST_SUBTRACT:
    case AST_MIN:
    case AST_MAX:
        return is_amount(kid[0]) ? check_same(parse, ast, kid[0], kid[1])
                                 : complain(parse, ast->kid[0], "an amount", kid[0]);
    case AST_MULTIPLY:
    case AST_DIVIDE:
        return check_product(parse, ast, kid[0], kid[1]);
    case AST_LESS:
    case AST_LESS_EQUAL:
    case AST_GREATER:
    case AST_GREATER_EQUAL:
        return check_order(parse, ast, kid[0], kid[1]);
    case AST_EQUAL:
    case AST_UNEQUAL:
        check_same(parse, ast, kid[0], kid[1]);
        return POLICY_BOOL;
    case AST_IF:
        return check_condition(parse, ast, kid);
    case AST_NUMBER:
    case AST_TEXT:
    case AST_NAME:
        break; /* no operators */
    }
    return ast->type;
}

static policy_type_t check(parse_t *parse, ast_t *ast, int scope, int depth)
{
    policy_type_t kid[3] = {POLICY_FAULTY, POLICY_FAULTY, POLICY_FAULTY};
    if (depth > DEPTH_MAX) {
        parse_fault(parse, ast->line, ast->column, "nested deeper than %d", DEPTH_MAX);
        return ast->type = POLICY_FAULTY;
    }
    for (int i = 0; i < 3; i++)
        if (ast->kid[i])
            kid[i] = check(parse, ast->kid[i], scope, depth + 1);
    if (ast->op == AST_TEXT)
        ast->type = POLICY_TEXT;
    else if (ast->op == AST_NAME)
        ast->type = check_name(parse, ast, scope);
    else
        ast->type = check_operator(parse, ast, kid);
    return ast->type;
}

static int find_tunable(const char *name)
{
    for (int i = 0; i < TUNABLE_COUNT; i++)
        if (strcmp(tunables[i].name, name) == 0)
            return i;
    return -1;
}

static void check_value(parse_t *parse, int tunable, ast_t *value)
{
    double constant;
    policy_type_t type = check(parse, value, tunables[tunable].scope, 0);
    if (type != tunables[tunable].type) {
        complain(parse, value, type_names[tunables[tunable].type], type);
    } else if (ast_constant_value(value, &constant) &&
               (constant < tunables[tunable].low || constant > tunables[tunable].high)) {
        parse_fault(parse, value->line, value->column, "%s: from %g to %g is expected, this is %g",
                    tunables[tunable].name, tunables[tunable].low, tunables[tunable].high,
                    constant);
    }
}

void parse_assign(parse_t *parse, token_t name, ast_t *value)
{
    int tunable = find_tunable(name.text);
    if (tunable < 0) {
        parse_fault(parse, name.line, name.column, "unknown setting %s", name.text);
        ast_free(value);
    } else if (parse->values[tunable]) {
        parse_fault(parse, name.line, name.column, "%s is set twice", name.text);
        ast_free(value);
    } else {
        parse->values[tunable] = value;
        check_value(parse, tunable, value);
    }
    g_free(name.text);
}

static bool parse_text(parse_t *parse, const char *text)
{
    void *scanner;
    guint before = parse->faults->len;
    if (strlen(text) > TEXT_MAX) {
        parse_fault(parse, 1, 1, "longer than %d bytes", TEXT_MAX);
        return false;
    }
    policy_yylex_init_extra(parse, &scanner);
    policy_yy_scan_string(text, scanner);
    int result = policy_yyparse(scanner, parse);
    policy_yylex_destroy(scanner);
    if (result != 0 && parse->faults->len == before)
        parse_fault(parse, parse->line, parse->column, "can't be read");
    return parse->faults->len == before;
}

policy_t *policy_compile(const char *file, const char *text, GPtrArray *faults)
{
    policy_t *policy = g_new0(policy_t, 1);
    parse_t parse = {.file = file,
                     .faults = faults,
                     .values = policy->value,
                     .line = 1,
                     .column = 1,
                     .start = 1};
    bool valid = parse_text(&parse, text);
    for (int i = 0; valid && i < TUNABLE_COUNT; i++) {
        if (policy->value[i])
            continue;
        char *line = g_strdup_printf("%s = %s;", tunables[i].name, tunables[i].value);
        valid = parse_text(&parse, line);
        g_free(line);
    }
    if (valid)
        return policy;
    policy_free(policy);
    return NULL;
}

policy_t *policy_default(void)
{
    GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
    policy_t *policy = policy_compile("defaults", "", faults);
    g_ptr_array_unref(faults);
    return policy;
}

void policy_free(policy_t *policy)
{
    for (int i = 0; i < TUNABLE_COUNT; i++)
        ast_free(policy->value[i]);
    g_free(policy);
}

double policy_value(const policy_t *policy, policy_tunable_t tunable, const policy_env_t *env)
{
    static const policy_env_t nothing = {0};
    double value = ast_evaluate(policy->value[tunable], env ? env : &nothing);
    return CLAMP(value, tunables[tunable].low, tunables[tunable].high);
}
