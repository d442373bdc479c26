/* The evaluator of the operators' settings. */
#include "policy/ast.h"

#include <math.h>
#include <string.h>

static const char *text_of(const ast_t *ast, const policy_env_t *env)
{
    const char *text = ast->op == AST_TEXT ? ast->text : env->text[ast->attr];
    return text ? text : "";
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
    double a = ast_evaluate(ast->kid[0], env);
    double b = ast->kid[1] ? ast_evaluate(ast->kid[1], env) : 0;
    switch (ast->op) {
    case AST_NOT:
        return a == 0;
    case AST_NEGATE:
        return -a;
    case AST_AND:
        return a != 0 && b != 0;
    case AST_OR:
        return a != 0 || b != 0;
    case AST_ADD:
        return a + b;
    case AST_SUBTRACT:
        return a - b;
    case AST_MULTIPLY:
        return a * b;
    case AST_DIVIDE:
        return b != 0 ? a / b : 0;
    case AST_LESS:
        return a < b;
    case AST_LESS_EQUAL:
        return a <= b;
    case AST_GREATER:
        return a > b;
    case AST_GREATER_EQUAL:
        return a >= b;
    case AST_EQUAL:
        return a == b;
    case AST_UNEQUAL:
        return a != b;
    case AST_MIN:
        return fmin(a, b);
    case AST_MAX:
        return fmax(a, b);
    default:
        return 0;
    }
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
