/** @file
 * The syntax tree of an expression: the parser builds it, the checker adds types, and the evaluator
 * reads it. Private to policy/. A tree belongs to one thread while it is built and checked, and is
 * read-only afterwards.
 */
#ifndef PEPPERPULLEY_POLICY_AST_H
#define PEPPERPULLEY_POLICY_AST_H

#include "policy/policy.h"

/** The kinds of nodes: leaves and operators. */
typedef enum {
    AST_NUMBER,        /**< Leaf: a number. */
    AST_TEXT,          /**< Leaf: a text. */
    AST_NAME,          /**< Leaf: an attribute or a named constant. */
    AST_NOT,           /**< not a. */
    AST_NEGATE,        /**< -a. */
    AST_AND,           /**< a and b. */
    AST_OR,            /**< a or b. */
    AST_ADD,           /**< a + b. */
    AST_SUBTRACT,      /**< a - b. */
    AST_MULTIPLY,      /**< a * b. */
    AST_DIVIDE,        /**< a / b; 0 if b is 0. */
    AST_LESS,          /**< a < b. */
    AST_LESS_EQUAL,    /**< a <= b. */
    AST_GREATER,       /**< a > b. */
    AST_GREATER_EQUAL, /**< a >= b. */
    AST_EQUAL,         /**< a == b. */
    AST_UNEQUAL,       /**< a != b. */
    AST_IF,            /**< if a then b else c. */
    AST_MIN,           /**< min(a, b). */
    AST_MAX            /**< max(a, b). */
} ast_op_t;

/** The most operands of a node. */
enum { AST_OPERANDS_MAX = 3 };

/** Value of `attribute` in a node that does not refer to an attribute. */
enum { AST_NO_ATTRIBUTE = -1 };

/** A node. */
typedef struct ast ast_t;

/** A node. */
struct ast {
    ast_op_t op;        /**< Kind of the node. */
    policy_type_t type; /**< The type of its value; set by the checker. */
    int line;           /**< Line in the file, from 1. */
    int column;         /**< Column in the line, from 1. */
    double number;      /**< Value of a number or a named constant, in the base unit. */
    char *text;         /**< Content of a text, or a name; owned. */
    int attribute;      /**< policy_attr_t of a name, or AST_NO_ATTRIBUTE. */
    ast_t *operands[AST_OPERANDS_MAX]; /**< Owned; unused ones are NULL. */
};

/** The value and the position of a token, from the lexer. */
typedef struct token {
    double number; /**< Value of a number. */
    char *text;    /**< Content of a text, or a name or a unit; the token's holder owns it. */
    int line;      /**< Line in the file, from 1. */
    int column;    /**< Column in the line, from 1. */
} token_t;

/** Returns a node for an operator (transfer full), with the position of its first operand. Takes
 * the operands (transfer full). @p second and @p third may be NULL. */
ast_t *ast_new(ast_op_t op, ast_t *first, ast_t *second, ast_t *third);

/** Returns a leaf (transfer full). Takes the token's text (transfer full). */
ast_t *ast_new_leaf(ast_op_t op, token_t token);

/** Frees the tree; NULL is allowed. */
void ast_free(ast_t *ast);

/** Returns the value of a checked tree in the base unit of its type. */
double ast_evaluate(const ast_t *ast, const policy_env_t *env);

/** Stores the value of a constant tree in @p value. Returns false if the tree uses attributes or
 * has an error. */
bool ast_constant_value(const ast_t *ast, double *value);

#endif
