/* The evaluator of the operators' settings. */
#include "policy/ast.h"

#include <math.h>
#include <string.h>

static const char *text_of(const ast_t *ast, const policy_env_t *env)
{
    const char *text = ast->op == AST_TEXT ? ast->text : env->text[ast->attr];
    return text ? text : "";
}

/* right is 0 for an operator of one value. */
// NOLINTNEXTLINE(readability-function-size): two lines for each operator
static double apply(ast_op_t op, double left, double right)
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
    case AST_LESS:
        return left < right;
    case AST_LESS_EQUAL:
        return left <= right;
    case AST_GREATER:
        return left > right;
    case AST_GREATER_EQUAL:
        return left >= right;
    case AST_EQUAL:
        return left == right;
    case AST_UNEQUAL:
        return left != right;
    case AST_MIN:
        return fmin(left, right);
    case AST_MAX:
        return fmax(left, right);
    case AST_NUMBER:
    case AST_TEXT:
    case AST_NAME:
    case AST_IF:
        break; /* no operators of two values */
    }
    return 0;
}

double ast_evaluate(const ast_t *ast, const policy_env_t *env)
{
    if (ast->op == AST_NUMBER)
        return ast->number;
    if (ast->op == AST_NAME)
        return ast->attr < 0 ? ast->number : env->number[ast->attr];
    if (ast->op == AST_IF)
        return ast_evaluate(ast->kid[ast_evaluate(ast->kid[0], env) != 0 ? 1 : 2], env);
    if (ast->kid[0]->type == POLICY_TEXT) {
        bool same = strcmp(text_of(ast->kid[0], env), text_of(ast->kid[1], env)) == 0;
        return same == (ast->op == AST_EQUAL);
    }
    double left = ast_evaluate(ast->kid[0], env);
    double right = ast->kid[1] ? ast_evaluate(ast->kid[1], env) : 0;
    return apply(ast->op, left, right);
}

static bool is_constant(const ast_t *ast)
{
    if (ast->op == AST_NAME && ast->attr >= 0)
        return false;
    for (int i = 0; i < 3; i++)
        if (ast->kid[i] && !is_constant(ast->kid[i]))
            return false;
    return ast->type != POLICY_FAULTY;
}

bool ast_constant_value(const ast_t *ast, double *value)
{
    static const policy_env_t nothing = {0};
    if (!is_constant(ast))
        return false;
    *value = ast_evaluate(ast, &nothing);
    return true;
}
