/** @file
 * The state of a parse with its errors, shared by the lexer, the parser and the checker. Private to
 * policy/.
 */
#ifndef PEPPERPULLEY_POLICY_PARSE_H
#define PEPPERPULLEY_POLICY_PARSE_H

#include "policy/ast.h"

/** The state of a parse. Owned by policy_compile. */
typedef struct parse {
    const char *file;  /**< Name of the file, for messages; borrowed. */
    GPtrArray *errors; /**< Array of GError *, which owns its elements; borrowed. */
    ast_t **values; /**< TUNABLE_COUNT trees, NULL for a tunable that is not assigned yet. The array
                       is borrowed, and the trees belong to the policy. */
    int line;       /**< Line of the next character, from 1. */
    int column;     /**< Column of the next character, from 1. */
    int token_column; /**< First column of the last token read. */
} parse_t;

/** Appends an error with @p code. Its message is "file:line:column: " and the formatted text. */
void parse_add_error(parse_t *parse, policy_error_t code, int line, int column, const char *format,
                     ...) G_GNUC_PRINTF(5, 6);

#endif
