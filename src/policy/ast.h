/* The tree between parser and checker. Private to policy/. */
#ifndef PEPPERPULLEY_POLICY_AST_H
#define PEPPERPULLEY_POLICY_AST_H

#include "policy/policy.h"

typedef enum {
    AST_NUMBER,
    AST_TEXT,
    AST_NAME, /* an attribute or a constant word */
    AST_NOT,
    AST_NEGATE,
    AST_AND,
    AST_OR,
    AST_ADD,
    AST_SUBTRACT,
    AST_MULTIPLY,
    AST_DIVIDE,
    AST_LESS,
    AST_LESS_EQUAL,
    AST_GREATER,
    AST_GREATER_EQUAL,
    AST_EQUAL,
    AST_UNEQUAL,
    AST_IF,
    AST_MIN,
    AST_MAX
} ast_op_t;

typedef struct ast ast_t;
struct ast {
    ast_op_t op;
    policy_type_t type;
    int line;
    int column;
    double number;
    char *text;
    int attr; /* of a name; below 0: a constant */
    ast_t *kid[3];
};

/* Where parsing stands. Owned by policy_compile. */
typedef struct parse {
    const char *file;
    GPtrArray *faults;
    ast_t **values; /* TUNABLE_COUNT, NULL: default */
    int line;
    int column;
    int start; /* column where the newest token began */
} parse_t;

/* A token's value and place. */
typedef struct token {
    double number;
    char *text; /* owned by whoever takes the fencing token */
    int line;
    int column;
} token_t;

ast_t *ast_new(ast_op_t op, ast_t *first, ast_t *second, ast_t *third);
ast_t *ast_leaf(ast_op_t op, token_t token);
void ast_free(ast_t *ast);
void parse_fault(parse_t *parse, int line, int column, const char *format, ...) G_GNUC_PRINTF(4, 5);
void parse_assign(parse_t *parse, token_t name, ast_t *value);
/* A number; unit may be NULL. */
ast_t *parse_number(parse_t *parse, token_t number, const token_t *unit);
/* The value of a checked tree. */
double ast_evaluate(const ast_t *ast, const policy_env_t *env);
/* The value of a tree that depends on no attribute; false: it does, or is faulty. */
bool ast_constant_value(const ast_t *ast, double *value);

#endif
