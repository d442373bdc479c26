/** @file
 * The parser's actions for statements and for numbers. Private to policy/.
 */
#ifndef PEPPERPULLEY_POLICY_PARSER_ACTIONS_H
#define PEPPERPULLEY_POLICY_PARSER_ACTIONS_H

#include "policy/parse.h"

/** Assigns @p value to the tunable named by @p name, and checks it. Records errors. Takes the
 * token's text and the tree (transfer full). */
void parse_assign(parse_t *parse, token_t name, ast_t *value);

/** Returns a leaf with the number in the base unit of its type (transfer full). Takes the texts of
 * both tokens (transfer full). @p unit is NULL for a number without a unit. Records an error if the
 * unit is unknown. */
ast_t *parse_number(parse_t *parse, token_t number, const token_t *unit);

#endif
