%define api.pure full
%define api.prefix {policy_yy}
%define parse.error detailed
%param { void *scanner }
%parse-param { parse_t *parse }
%code requires {
#include "policy/parser_actions.h"
}
%code {
#include <string.h>

int policy_yylex(POLICY_YYSTYPE *value, void *scanner);

/* Records a syntax error. Bison's message says what was found and what is expected. */
static void policy_yyerror(void *scanner, parse_t *parse, const char *message)
{
    (void)scanner;
    static const char prefix[] = "syntax error, ";
    const char *detail =
        g_str_has_prefix(message, prefix) ? message + sizeof prefix - 1 : message;
    parse_add_error(parse, POLICY_ERROR_SYNTAX, parse->line, parse->token_column, "%s", detail);
}
}
%union {
    token_t token;
    ast_t *ast;
}
%token <token> TOKEN_NUMBER "number" TOKEN_NAME "name" TOKEN_TEXT "text" TOKEN_MIN "min"
%token TOKEN_IF "if" TOKEN_THEN "then" TOKEN_ELSE "else" TOKEN_MAX "max"
%token TOKEN_INVALID "invalid character"
%token TOKEN_OR "or" TOKEN_AND "and" TOKEN_NOT "not"
%token TOKEN_LESS_EQUAL "<=" TOKEN_GREATER_EQUAL ">=" TOKEN_EQUAL "==" TOKEN_UNEQUAL "!="
%type <ast> expression
%destructor { ast_free($$); } <ast>
%destructor { g_free($$.text); } <token>
%right "else"
%left "or"
%left "and"
%right "not"
%nonassoc '<' '>' "<=" ">=" "==" "!="
%left '+' '-'
%left '*' '/'
%right NEGATE
%%
file: %empty
    | file statement
    ;
statement: TOKEN_NAME '=' expression ';' { parse_assign(parse, $1, $3); }
         | error ';' { yyerrok; }
         ;
expression: TOKEN_NUMBER { $$ = parse_number(parse, $1, NULL); }
          | TOKEN_NUMBER TOKEN_NAME { $$ = parse_number(parse, $1, &$2); }
          | TOKEN_NUMBER "min" { $$ = parse_number(parse, $1, &$2); }
          | TOKEN_TEXT { $$ = ast_new_leaf(AST_TEXT, $1); }
          | TOKEN_NAME { $$ = ast_new_leaf(AST_NAME, $1); }
          | '(' expression ')' { $$ = $2; }
          | "min" '(' expression ',' expression ')'
              { g_free($1.text); $$ = ast_new(AST_MIN, $3, $5, NULL); }
          | "max" '(' expression ',' expression ')' { $$ = ast_new(AST_MAX, $3, $5, NULL); }
          | "not" expression { $$ = ast_new(AST_NOT, $2, NULL, NULL); }
          | '-' expression %prec NEGATE { $$ = ast_new(AST_NEGATE, $2, NULL, NULL); }
          | expression "or" expression { $$ = ast_new(AST_OR, $1, $3, NULL); }
          | expression "and" expression { $$ = ast_new(AST_AND, $1, $3, NULL); }
          | expression '+' expression { $$ = ast_new(AST_ADD, $1, $3, NULL); }
          | expression '-' expression { $$ = ast_new(AST_SUBTRACT, $1, $3, NULL); }
          | expression '*' expression { $$ = ast_new(AST_MULTIPLY, $1, $3, NULL); }
          | expression '/' expression { $$ = ast_new(AST_DIVIDE, $1, $3, NULL); }
          | expression '<' expression { $$ = ast_new(AST_LESS, $1, $3, NULL); }
          | expression '>' expression { $$ = ast_new(AST_GREATER, $1, $3, NULL); }
          | expression "<=" expression { $$ = ast_new(AST_LESS_EQUAL, $1, $3, NULL); }
          | expression ">=" expression { $$ = ast_new(AST_GREATER_EQUAL, $1, $3, NULL); }
          | expression "==" expression { $$ = ast_new(AST_EQUAL, $1, $3, NULL); }
          | expression "!=" expression { $$ = ast_new(AST_UNEQUAL, $1, $3, NULL); }
          | "if" expression "then" expression "else" expression
              { $$ = ast_new(AST_IF, $2, $4, $6); }
          ;
%%
