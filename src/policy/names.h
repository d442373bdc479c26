/** @file
 * The names of the policy file's language: tunables with their defaults, attributes, named
 * constants and units. Private to policy/.
 */
#ifndef PEPPERPULLEY_POLICY_NAMES_H
#define PEPPERPULLEY_POLICY_NAMES_H

#include "policy/policy.h"

/** Bit set of the objects whose attributes an expression may use. */
typedef enum {
    SCOPE_NONE = 0,   /**< No attributes. */
    SCOPE_JOB = 1,    /**< Attributes of a job. */
    SCOPE_MACHINE = 2 /**< Attributes of a machine. */
} policy_scope_t;

/** The description of a tunable. */
typedef struct tunable_info {
    policy_tunable_t tunable;  /**< The tunable. */
    const char *name;          /**< Its name in the language. */
    policy_type_t type;        /**< Type of its value. */
    policy_scope_t scope;      /**< Attributes that its expression may use. */
    double low;                /**< Lowest value. */
    double high;               /**< Highest value. */
    const char *default_value; /**< Its default, an expression of the language. */
} tunable_info_t;

/** The description of an attribute of a job or a machine. */
typedef struct attribute_info {
    policy_attr_t attribute; /**< The attribute. */
    const char *name;        /**< Its name in the language. */
    policy_type_t type;      /**< Type of its value. */
    policy_scope_t scope;    /**< Whose attribute it is. */
} attribute_info_t;

/** The description of a named constant. */
typedef struct constant_info {
    const char *name;   /**< Its name. */
    policy_type_t type; /**< Its type. */
    double value;       /**< Its value. */
} constant_info_t;

/** The description of a unit. */
typedef struct unit_info {
    const char *name;   /**< Its name. */
    policy_type_t type; /**< Type of a number with this unit. */
    double factor;      /**< Size of the unit in the base unit of the type. */
} unit_info_t;

/** Returns the description of a tunable (transfer none). */
const tunable_info_t *policy_tunable_info(policy_tunable_t tunable);

/** Returns the tunable with the name (transfer none), or NULL if there is none. */
const tunable_info_t *policy_find_tunable(const char *name);

/** Returns the attribute with the name (transfer none), or NULL if there is none. */
const attribute_info_t *policy_find_attribute(const char *name);

/** Returns the constant with the name (transfer none), or NULL if there is none. */
const constant_info_t *policy_find_constant(const char *name);

/** Returns the unit with the name (transfer none), or NULL if there is none. */
const unit_info_t *policy_find_unit(const char *name);

#endif
