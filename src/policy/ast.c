/* Creates and frees syntax trees. */
#include "policy/ast.h"

ast_t *ast_new(ast_op_t op, ast_t *first, ast_t *second, ast_t *third)
{
    ast_t *ast = g_new0(ast_t, 1);
    *ast = (ast_t){.op = op,
                   .line = first->line,
                   .column = first->column,
                   .attribute = AST_NO_ATTRIBUTE,
                   .operands = {first, second, third}};
    return ast;
}

ast_t *ast_new_leaf(ast_op_t op, token_t token)
{
    ast_t *ast = g_new0(ast_t, 1);
    *ast = (ast_t){.op = op,
                   .line = token.line,
                   .column = token.column,
                   .attribute = AST_NO_ATTRIBUTE,
                   .text = token.text,
                   .number = token.number};
    return ast;
}

// NOLINTNEXTLINE(misc-no-recursion): the parser's stack limits the depth of the tree
void ast_free(ast_t *ast)
{
    if (!ast)
        return;
    for (int i = 0; i < AST_OPERANDS_MAX; i++)
        ast_free(ast->operands[i]);
    g_free(ast->text);
    g_free(ast);
}
