/** @file
 * The names of the operators' settings language: tunables with their defaults, attributes, named
 * constants and units. Private to policy/.
 */
#ifndef PEPPERPULLEY_POLICY_NAMES_H
#define PEPPERPULLEY_POLICY_NAMES_H

#include "policy/policy.h"

/** Whose attributes an expression may use: bits. */
typedef enum {
    SCOPE_NONE = 0,   /**< No attributes. */
    SCOPE_JOB = 1,    /**< A job's. */
    SCOPE_MACHINE = 2 /**< A machine's. */
} policy_scope_t;

/** A tunable. */
typedef struct tunable_info {
    policy_tunable_t tunable;  /**< Which one. */
    const char *name;          /**< Its name in the language. */
    policy_type_t type;        /**< Type of its value. */
    policy_scope_t scope;      /**< Attributes that its expression may use. */
    double low;                /**< Lowest value. */
    double high;               /**< Highest value. */
    const char *default_value; /**< Its default, an expression of the language. */
} tunable_info_t;

/** An attribute of a job or a machine. */
typedef struct attribute_info {
    policy_attr_t attribute; /**< Which one. */
    const char *name;        /**< Its name in the language. */
    policy_type_t type;      /**< Type of its value. */
    policy_scope_t scope;    /**< Whose attribute it is. */
} attribute_info_t;

/** A named constant. */
typedef struct constant_info {
    const char *name;   /**< Its name. */
    policy_type_t type; /**< Its type. */
    double value;       /**< Its value. */
} constant_info_t;

/** A unit. */
typedef struct unit_info {
    const char *name;   /**< Its name. */
    policy_type_t type; /**< Type of a number with this unit. */
    double factor;      /**< Of the type's base unit. */
} unit_info_t;

/** Returns a tunable's description (transfer none). */
const tunable_info_t *policy_tunable_info(policy_tunable_t tunable);

/** Returns the tunable with the name (transfer none), or NULL. */
const tunable_info_t *policy_find_tunable(const char *name);

/** Returns the attribute with the name (transfer none), or NULL. */
const attribute_info_t *policy_find_attribute(const char *name);

/** Returns the constant with the name (transfer none), or NULL. */
const constant_info_t *policy_find_constant(const char *name);

/** Returns the unit with the name (transfer none), or NULL. */
const unit_info_t *policy_find_unit(const char *name);

#endif
