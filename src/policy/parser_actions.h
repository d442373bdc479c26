/** @file
 * What the parser does with statements and numbers. Private to policy/.
 */
#ifndef PEPPERPULLEY_POLICY_PARSER_ACTIONS_H
#define PEPPERPULLEY_POLICY_PARSER_ACTIONS_H

#include "policy/parse.h"

/** Assigns @p value to the tunable called @p name and checks it; faults are recorded. Takes the
 * token's text and the tree (transfer full). */
void parse_assign(parse_t *parse, token_t name, ast_t *value);

/** Returns the leaf of a number in the base unit of its type (transfer full). Takes the texts of
 * both tokens; @p unit may be NULL: a plain number. An unknown unit is a fault. */
ast_t *parse_number(parse_t *parse, token_t number, const token_t *unit);

#endif
