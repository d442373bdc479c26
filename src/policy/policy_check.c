/* Checks the types, attributes and ranges of the expressions in a policy file. */
#include "policy/policy_check.h"

/* Most levels of nesting of an expression. Deeper nesting would take too much stack in the parser
 * and in the evaluator. */
enum { DEPTH_MAX = 64 };

/* The names of the types in error messages. */
static const char *const type_names[] = {
    [POLICY_BOOL] = "a boolean",  [POLICY_NUMBER] = "a number without a unit",
    [POLICY_SECONDS] = "seconds", [POLICY_CPUS] = "cpus",
    [POLICY_MEMORY] = "gb",       [POLICY_PRIORITY] = "a priority (low, normal, high or critical)",
    [POLICY_TEXT] = "a text",     [POLICY_INVALID] = "anything"};

static bool is_numeric(policy_type_t type)
{
    return type == POLICY_NUMBER || type == POLICY_SECONDS || type == POLICY_CPUS ||
           type == POLICY_MEMORY;
}

/* Records a type error, unless an error of the expression is already recorded. Always returns
 * POLICY_INVALID. */
static policy_type_t record_type_error(parse_t *parse, const ast_t *ast, const char *expected,
                                       policy_type_t found)
{
    if (found != POLICY_INVALID)
        parse_add_error(parse, POLICY_ERROR_TYPE, ast->line, ast->column, "expected %s, found %s",
                        expected, type_names[found]);
    return POLICY_INVALID;
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
        parse_add_error(
            parse, POLICY_ERROR_UNKNOWN, ast->line, ast->column,
            "unknown name %s, expected an attribute (job.* or machine.*) or a constant (true, "
            "false, low, normal, high or critical)",
            ast->text);
        return POLICY_INVALID;
    }
    if (!(attribute->scope & scope)) {
        parse_add_error(parse, POLICY_ERROR_UNKNOWN, ast->line, ast->column,
                        "attribute %s cannot be used in this setting", ast->text);
        return POLICY_INVALID;
    }
    ast->attribute = (int)attribute->attribute;
    return attribute->type;
}

static policy_type_t check_same_type(parse_t *parse, const ast_t *ast, policy_type_t left,
                                     policy_type_t right)
{
    if (left == POLICY_INVALID || right == POLICY_INVALID)
        return POLICY_INVALID;
    return left == right ? left
                         : record_type_error(parse, ast->operands[1], type_names[left], right);
}

static policy_type_t check_product(parse_t *parse, const ast_t *ast, policy_type_t left,
                                   policy_type_t right)
{
    double divisor;
    if (left == POLICY_INVALID || right == POLICY_INVALID)
        return POLICY_INVALID;
    if (!is_numeric(left))
        return record_type_error(parse, ast->operands[0], "a numeric value", left);
    if (!is_numeric(right))
        return record_type_error(parse, ast->operands[1], "a numeric value", right);
    if (ast->op == AST_DIVIDE && ast_constant_value(ast->operands[1], &divisor) && divisor == 0) {
        parse_add_error(parse, POLICY_ERROR_RANGE, ast->operands[1]->line, ast->operands[1]->column,
                        "division by zero");
        return POLICY_INVALID;
    }
    if (right == POLICY_NUMBER)
        return left;
    if (ast->op == AST_MULTIPLY && left == POLICY_NUMBER)
        return right;
    if (ast->op == AST_DIVIDE && left == right)
        return POLICY_NUMBER;
    return record_type_error(parse, ast->operands[1], "a number without a unit", right);
}

static policy_type_t check_type(parse_t *parse, const ast_t *ast, policy_type_t found,
                                policy_type_t expected)
{
    return found == expected ? expected
                             : record_type_error(parse, ast, type_names[expected], found);
}

/* Returns the type of a comparison by <, <=, > or >=. Both operands must have the same type, which
 * must be ordered. */
static policy_type_t check_order(parse_t *parse, const ast_t *ast, policy_type_t left,
                                 policy_type_t right)
{
    if (left == POLICY_TEXT || left == POLICY_BOOL)
        record_type_error(parse, ast->operands[0], "a numeric value or a priority", left);
    else
        check_same_type(parse, ast, left, right);
    return POLICY_BOOL;
}

static policy_type_t check_if(parse_t *parse, const ast_t *ast,
                              const policy_type_t types[AST_OPERANDS_MAX])
{
    check_type(parse, ast->operands[0], types[0], POLICY_BOOL);
    if (types[1] == types[2] || types[1] == POLICY_INVALID)
        return types[1];
    return record_type_error(parse, ast->operands[2], type_names[types[1]], types[2]);
}

/* Returns the type of an operator's value. types holds the types of its operands. */
static policy_type_t check_operator(parse_t *parse, const ast_t *ast,
                                    const policy_type_t types[AST_OPERANDS_MAX])
{
    switch (ast->op) {
    case AST_NOT:
        return check_type(parse, ast->operands[0], types[0], POLICY_BOOL);
    case AST_NEGATE:
        return is_numeric(types[0])
                   ? types[0]
                   : record_type_error(parse, ast->operands[0], "a numeric value", types[0]);
    case AST_AND:
    case AST_OR:
        check_type(parse, ast->operands[0], types[0], POLICY_BOOL);
        return check_type(parse, ast->operands[1], types[1], POLICY_BOOL);
    case AST_ADD:
    case AST_SUBTRACT:
    case AST_MIN:
    case AST_MAX:
        return is_numeric(types[0])
                   ? check_same_type(parse, ast, types[0], types[1])
                   : record_type_error(parse, ast->operands[0], "a numeric value", types[0]);
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
        check_same_type(parse, ast, types[0], types[1]);
        return POLICY_BOOL;
    case AST_IF:
        return check_if(parse, ast, types);
    case AST_NUMBER:
    case AST_TEXT:
    case AST_NAME:
        break; /* leaves, not operators */
    }
    return ast->type;
}

/* Checks the operands and then the expression itself, and sets the type of each node. Returns the
 * type of the expression. */
// NOLINTNEXTLINE(misc-no-recursion): no deeper than DEPTH_MAX
static policy_type_t check_expression(parse_t *parse, ast_t *ast, policy_scope_t scope, int depth)
{
    policy_type_t types[AST_OPERANDS_MAX] = {POLICY_INVALID, POLICY_INVALID, POLICY_INVALID};
    if (depth > DEPTH_MAX) {
        parse_add_error(parse, POLICY_ERROR_SIZE, ast->line, ast->column,
                        "the expression is nested more than %d levels deep", DEPTH_MAX);
        ast->type = POLICY_INVALID;
        return POLICY_INVALID;
    }
    for (int i = 0; i < AST_OPERANDS_MAX; i++)
        if (ast->operands[i])
            types[i] = check_expression(parse, ast->operands[i], scope, depth + 1);
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
    policy_type_t type = check_expression(parse, value, tunable->scope, 0);
    if (type != tunable->type) {
        record_type_error(parse, value, type_names[tunable->type], type);
        return;
    }
    if (ast_constant_value(value, &constant) &&
        (constant < tunable->low || constant > tunable->high))
        parse_add_error(parse, POLICY_ERROR_RANGE, value->line, value->column,
                        "%s: expected a value from %g to %g, found %g", tunable->name, tunable->low,
                        tunable->high, constant);
}
