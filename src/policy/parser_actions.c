/* The parser's actions for statements and for numbers. */
#include "policy/parser_actions.h"

#include "policy/names.h"
#include "policy/policy_check.h"

void parse_assign(parse_t *parse, token_t name, ast_t *value)
{
    const tunable_info_t *tunable = policy_find_tunable(name.text);
    if (!tunable) {
        parse_add_error(parse, POLICY_ERROR_UNKNOWN, name.line, name.column, "unknown setting %s",
                        name.text);
        ast_free(value);
    } else if (parse->values[tunable->tunable]) {
        parse_add_error(parse, POLICY_ERROR_DUPLICATE, name.line, name.column, "%s is set twice",
                        name.text);
        ast_free(value);
    } else {
        parse->values[tunable->tunable] = value;
        policy_check_value(parse, tunable, value);
    }
    g_free(name.text);
}

ast_t *parse_number(parse_t *parse, token_t number, const token_t *unit)
{
    ast_t *ast = ast_new_leaf(AST_NUMBER, number);
    ast->type = POLICY_NUMBER;
    if (!unit)
        return ast;
    const unit_info_t *unit_info = policy_find_unit(unit->text);
    if (unit_info) {
        ast->type = unit_info->type;
        ast->number *= unit_info->factor;
    } else {
        ast->type = POLICY_INVALID;
        parse_add_error(parse, POLICY_ERROR_UNKNOWN, unit->line, unit->column,
                        "unknown unit %s, expected s, ms, min, h, cpus or gb", unit->text);
    }
    g_free(unit->text);
    return ast;
}
