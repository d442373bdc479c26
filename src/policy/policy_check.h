/** @file
 * The checker of types, attributes and ranges in a policy file. Private to policy/.
 */
#ifndef PEPPERPULLEY_POLICY_CHECK_H
#define PEPPERPULLEY_POLICY_CHECK_H

#include "policy/names.h"
#include "policy/parse.h"

/** Checks that an expression has the tunable's type, uses only attributes in the tunable's scope
 * and, if it is constant, lies in the tunable's range. Sets the type and the attribute of each
 * node, and records every error. */
void policy_check_value(parse_t *parse, const tunable_info_t *tunable, ast_t *value);

#endif
