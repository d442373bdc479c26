/** @file
 * The state of a parse and its faults, shared by lexer, parser and checker. Private to policy/.
 */
#ifndef PEPPERPULLEY_POLICY_PARSE_H
#define PEPPERPULLEY_POLICY_PARSE_H

#include "policy/ast.h"

/** The state of a parse. Owned by policy_compile. */
typedef struct parse {
    const char *file;  /**< Names the text in messages; borrowed. */
    GPtrArray *faults; /**< Of GError *, owned by the array; borrowed. */
    ast_t **values; /**< TUNABLE_COUNT trees; NULL: not assigned yet. Borrowed array, its trees are
                       the policy's. */
    int line;       /**< Line of the next character, from 1. */
    int column;     /**< Column of the next character, from 1. */
    int token_column; /**< Column at which the newest token began. */
} parse_t;

/** Appends a fault with @p code and the message "file:line:column: ...". */
void parse_fault(parse_t *parse, policy_error_t code, int line, int column, const char *format, ...)
    G_GNUC_PRINTF(5, 6);

#endif
