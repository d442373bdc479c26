/* What the parser does with statements and numbers. */
#include "policy/parser_actions.h"

#include "policy/names.h"
#include "policy/policy_check.h"

void parse_assign(parse_t *parse, token_t name, ast_t *value)
{
    const tunable_info_t *tunable = policy_find_tunable(name.text);
    if (!tunable) {
        parse_fault(parse, POLICY_ERROR_UNKNOWN, name.line, name.column, "unknown setting %s",
                    name.text);
        ast_free(value);
    } else if (parse->values[tunable->tunable]) {
        parse_fault(parse, POLICY_ERROR_DUPLICATE, name.line, name.column, "%s is set twice",
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
    ast_t *ast = ast_leaf(AST_NUMBER, number);
    ast->type = POLICY_NUMBER;
    if (!unit)
        return ast;
    const unit_info_t *known = policy_find_unit(unit->text);
    if (known) {
        ast->type = known->type;
        ast->number *= known->factor;
    } else {
        ast->type = POLICY_FAULTY;
        parse_fault(parse, POLICY_ERROR_UNKNOWN, unit->line, unit->column,
                    "unknown unit %s: s, ms, min, h, cpus or gb is expected", unit->text);
    }
    g_free(unit->text);
    return ast;
}
