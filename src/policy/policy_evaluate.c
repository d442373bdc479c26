/* Evaluates the expressions of a policy by walking their checked trees. */
#include "policy/ast.h"

#include <math.h>
#include <string.h>

static const char *text_value(const ast_t *ast, const policy_env_t *env)
{
    const char *text = ast->op == AST_TEXT ? ast->text : env->text[ast->attribute];
    return text ? text : "";
}

static bool compare(ast_op_t op, double left, double right)
{
    if (op == AST_LESS)
        return left < right;
    if (op == AST_LESS_EQUAL)
        return left <= right;
    if (op == AST_GREATER)
        return left > right;
    if (op == AST_GREATER_EQUAL)
        return left >= right;
    return (left == right) == (op == AST_EQUAL);
}

/* Returns the value of an operator. right is not used if the operator has one operand. */
static double apply_operator(ast_op_t op, double left, double right)
{
    switch (op) {
    case AST_NOT:
        return left == 0;
    case AST_NEGATE:
        return -left;
    case AST_AND:
        return left != 0 && right != 0;
    case AST_OR:
        return left != 0 || right != 0;
    case AST_ADD:
        return left + right;
    case AST_SUBTRACT:
        return left - right;
    case AST_MULTIPLY:
        return left * right;
    case AST_DIVIDE:
        return right != 0 ? left / right : 0;
    case AST_MIN:
        return fmin(left, right);
    case AST_MAX:
        return fmax(left, right);
    case AST_LESS:
    case AST_LESS_EQUAL:
    case AST_GREATER:
    case AST_GREATER_EQUAL:
    case AST_EQUAL:
    case AST_UNEQUAL:
        return compare(op, left, right);
    case AST_NUMBER:
    case AST_TEXT:
    case AST_NAME:
    case AST_IF:
        break; /* evaluated by ast_evaluate */
    }
    return 0;
}

// NOLINTNEXTLINE(misc-no-recursion): the checker limits the depth of the tree
double ast_evaluate(const ast_t *ast, const policy_env_t *env)
{
    if (ast->op == AST_NUMBER)
        return ast->number;
    if (ast->op == AST_NAME)
        return ast->attribute < 0 ? ast->number : env->number[ast->attribute];
    if (ast->op == AST_IF)
        return ast_evaluate(ast->operands[ast_evaluate(ast->operands[0], env) != 0 ? 1 : 2], env);
    if (ast->operands[0]->type == POLICY_TEXT) {
        bool is_same =
            strcmp(text_value(ast->operands[0], env), text_value(ast->operands[1], env)) == 0;
        return is_same == (ast->op == AST_EQUAL);
    }
    double left = ast_evaluate(ast->operands[0], env);
    double right = ast->operands[1] ? ast_evaluate(ast->operands[1], env) : 0;
    return apply_operator(ast->op, left, right);
}

// NOLINTNEXTLINE(misc-no-recursion): the parser's stack limits the depth of the tree
static bool is_constant(const ast_t *ast)
{
    if (ast->op == AST_NAME && ast->attribute >= 0)
        return false;
    for (int i = 0; i < AST_OPERANDS_MAX; i++)
        if (ast->operands[i] && !is_constant(ast->operands[i]))
            return false;
    return ast->type != POLICY_INVALID;
}

bool ast_constant_value(const ast_t *ast, double *value)
{
    static const policy_env_t no_attributes = {0};
    if (!is_constant(ast))
        return false;
    *value = ast_evaluate(ast, &no_attributes);
    return true;
}
