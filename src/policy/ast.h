/** @file
 * The syntax tree of an expression, between the parser, the checker and the evaluator. Private to
 * policy/. A tree belongs to one thread while it is built and is read-only afterwards.
 */
#ifndef PEPPERPULLEY_POLICY_AST_H
#define PEPPERPULLEY_POLICY_AST_H

#include "policy/policy.h"

/** What a node is: a leaf or an operator. */
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

/** Operands of a node, at most. */
enum { AST_OPERANDS = 3 };

/** Attribute of a node that refers to none. */
enum { AST_NO_ATTRIBUTE = -1 };

/** A node. */
typedef struct ast ast_t;

/** A node. */
struct ast {
    ast_op_t op;                   /**< What it is. */
    policy_type_t type;            /**< The type of its value; set by the checker. */
    int line;                      /**< Place in the file, from 1. */
    int column;                    /**< Place in the line, from 1. */
    double number;                 /**< Of a number or a named constant, in the base unit. */
    char *text;                    /**< Of a text or a name; owned. */
    int attribute;                 /**< Of a name: policy_attr_t, or AST_NO_ATTRIBUTE. */
    ast_t *operands[AST_OPERANDS]; /**< Owned; NULL: none. */
};

/** A token's value and place, from the lexer. */
typedef struct token {
    double number; /**< Of a number. */
    char *text;    /**< Of a text, name or unit; owned by whoever has the token. */
    int line;      /**< Place in the file, from 1. */
    int column;    /**< Place in the line, from 1. */
} token_t;

/** Returns an operator's node (transfer full), at the place of its first operand. Takes the
 * operands (transfer full); @p second and @p third may be NULL. */
ast_t *ast_new(ast_op_t op, ast_t *first, ast_t *second, ast_t *third);

/** Returns a leaf (transfer full). Takes the token's text (transfer full). */
ast_t *ast_leaf(ast_op_t op, token_t token);

/** Frees the tree; NULL is allowed. */
void ast_free(ast_t *ast);

/** Returns the value of a checked tree. */
double ast_evaluate(const ast_t *ast, const policy_env_t *env);

/** Gets the value of a tree without attributes. Returns false if it has attributes or is faulty. */
bool ast_constant_value(const ast_t *ast, double *value);

#endif
