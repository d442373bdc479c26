/* The checker: types, scopes and ranges of the operators' settings. */
#include "policy/policy_check.h"

/* Deeper nesting would take too much of the parser's and the evaluator's stack. */
enum { DEPTH_MAX = 64 };

/* As messages name them. */
static const char *const type_names[] = {
    [POLICY_BOOL] = "a boolean",  [POLICY_NUMBER] = "a plain number",
    [POLICY_SECONDS] = "seconds", [POLICY_CPUS] = "cpus",
    [POLICY_MEMORY] = "gb",       [POLICY_PRIORITY] = "an urgency",
    [POLICY_TEXT] = "a text",     [POLICY_FAULTY] = "anything"};

static bool is_amount(policy_type_t type)
{
    return type == POLICY_NUMBER || type == POLICY_SECONDS || type == POLICY_CPUS ||
           type == POLICY_MEMORY;
}

/* Records the fault, unless the expression already has one. Always returns POLICY_FAULTY. */
static policy_type_t fault_type(parse_t *parse, const ast_t *ast, const char *expected,
                                policy_type_t found)
{
    if (found != POLICY_FAULTY)
        parse_fault(parse, POLICY_ERROR_TYPE, ast->line, ast->column, "%s is expected, this is %s",
                    expected, type_names[found]);
    return POLICY_FAULTY;
}

static policy_type_t check_name(parse_t *parse, ast_t *ast, policy_scope_t scope)
{
    const constant_info_t *constant = policy_find_constant(ast->text);
    if (constant) {
        ast->number = constant->value;
        return constant->type;
    }
    const attribute_info_t *attribute = policy_find_attribute(ast->text);
    if (!attribute) {
        parse_fault(parse, POLICY_ERROR_UNKNOWN, ast->line, ast->column, "unknown name %s",
                    ast->text);
        return POLICY_FAULTY;
    }
    if (!(attribute->scope & scope)) {
        parse_fault(parse, POLICY_ERROR_UNKNOWN, ast->line, ast->column,
                    "%s is not known to this setting", ast->text);
        return POLICY_FAULTY;
    }
    ast->attribute = (int)attribute->attribute;
    return attribute->type;
}

static policy_type_t check_same(parse_t *parse, const ast_t *ast, policy_type_t left,
                                policy_type_t right)
{
    if (left == POLICY_FAULTY || right == POLICY_FAULTY)
        return POLICY_FAULTY;
    return left == right ? left : fault_type(parse, ast->operands[1], type_names[left], right);
}

static policy_type_t check_product(parse_t *parse, const ast_t *ast, policy_type_t left,
                                   policy_type_t right)
{
    double divisor;
    if (left == POLICY_FAULTY || right == POLICY_FAULTY)
        return POLICY_FAULTY;
    if (!is_amount(left))
        return fault_type(parse, ast->operands[0], "an amount", left);
    if (!is_amount(right))
        return fault_type(parse, ast->operands[1], "an amount", right);
    if (ast->op == AST_DIVIDE && ast_constant_value(ast->operands[1], &divisor) && divisor == 0) {
        parse_fault(parse, POLICY_ERROR_RANGE, ast->operands[1]->line, ast->operands[1]->column,
                    "division by zero");
        return POLICY_FAULTY;
    }
    if (right == POLICY_NUMBER)
        return left;
    if (ast->op == AST_MULTIPLY && left == POLICY_NUMBER)
        return right;
    if (ast->op == AST_DIVIDE && left == right)
        return POLICY_NUMBER;
    return fault_type(parse, ast->operands[1], "a plain number", right);
}

static policy_type_t check_type(parse_t *parse, const ast_t *ast, policy_type_t found,
                                policy_type_t expected)
{
    return found == expected ? expected : fault_type(parse, ast, type_names[expected], found);
}

/* The type of <, <=, > and >=: any ordered type on both sides. */
static policy_type_t check_order(parse_t *parse, const ast_t *ast, policy_type_t left,
                                 policy_type_t right)
{
    if (left == POLICY_TEXT || left == POLICY_BOOL)
        fault_type(parse, ast->operands[0], "an amount or an urgency", left);
    else
        check_same(parse, ast, left, right);
    return POLICY_BOOL;
}

static policy_type_t check_if(parse_t *parse, const ast_t *ast,
                              const policy_type_t types[AST_OPERANDS])
{
    check_type(parse, ast->operands[0], types[0], POLICY_BOOL);
    if (types[1] == types[2] || types[1] == POLICY_FAULTY)
        return types[1];
    return fault_type(parse, ast->operands[2], type_names[types[1]], types[2]);
}

/* Returns the type of an operator's value. types: of its operands. */
static policy_type_t check_operator(parse_t *parse, const ast_t *ast,
                                    const policy_type_t types[AST_OPERANDS])
{
    switch (ast->op) {
    case AST_NOT:
        return check_type(parse, ast->operands[0], types[0], POLICY_BOOL);
    case AST_NEGATE:
        return is_amount(types[0]) ? types[0]
                                   : fault_type(parse, ast->operands[0], "an amount", types[0]);
    case AST_AND:
    case AST_OR:
        check_type(parse, ast->operands[0], types[0], POLICY_BOOL);
        return check_type(parse, ast->operands[1], types[1], POLICY_BOOL);
    case AST_ADD:
    case AST_SUBTRACT:
    case AST_MIN:
    case AST_MAX:
        return is_amount(types[0]) ? check_same(parse, ast, types[0], types[1])
                                   : fault_type(parse, ast->operands[0], "an amount", types[0]);
    case AST_MULTIPLY:
    case AST_DIVIDE:
        return check_product(parse, ast, types[0], types[1]);
    case AST_LESS:
    case AST_LESS_EQUAL:
    case AST_GREATER:
    case AST_GREATER_EQUAL:
        return check_order(parse, ast, types[0], types[1]);
    case AST_EQUAL:
    case AST_UNEQUAL:
        check_same(parse, ast, types[0], types[1]);
        return POLICY_BOOL;
    case AST_IF:
        return check_if(parse, ast, types);
    case AST_NUMBER:
    case AST_TEXT:
    case AST_NAME:
        break; /* no operators */
    }
    return ast->type;
}

/* Sets and returns the type of each node, operands first. */
// NOLINTNEXTLINE(misc-no-recursion): no deeper than DEPTH_MAX
static policy_type_t check(parse_t *parse, ast_t *ast, policy_scope_t scope, int depth)
{
    policy_type_t types[AST_OPERANDS] = {POLICY_FAULTY, POLICY_FAULTY, POLICY_FAULTY};
    if (depth > DEPTH_MAX) {
        parse_fault(parse, POLICY_ERROR_SIZE, ast->line, ast->column, "nested deeper than %d",
                    DEPTH_MAX);
        ast->type = POLICY_FAULTY;
        return POLICY_FAULTY;
    }
    for (int i = 0; i < AST_OPERANDS; i++)
        if (ast->operands[i])
            types[i] = check(parse, ast->operands[i], scope, depth + 1);
    if (ast->op == AST_TEXT)
        ast->type = POLICY_TEXT;
    else if (ast->op == AST_NAME)
        ast->type = check_name(parse, ast, scope);
    else
        ast->type = check_operator(parse, ast, types);
    return ast->type;
}

void policy_check_value(parse_t *parse, const tunable_info_t *tunable, ast_t *value)
{
    double constant;
    policy_type_t type = check(parse, value, tunable->scope, 0);
    if (type != tunable->type) {
        fault_type(parse, value, type_names[tunable->type], type);
        return;
    }
    if (ast_constant_value(value, &constant) &&
        (constant < tunable->low || constant > tunable->high))
        parse_fault(parse, POLICY_ERROR_RANGE, value->line, value->column,
                    "%s: from %g to %g is expected, this is %g", tunable->name, tunable->low,
                    tunable->high, constant);
}
