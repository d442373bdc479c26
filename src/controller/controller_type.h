/** @file
 * Forward declaration of controller_t, for headers that controller.h itself includes.
 */
#ifndef PEPPERPULLEY_CONTROLLER_TYPE_H
#define PEPPERPULLEY_CONTROLLER_TYPE_H

/** The state that the threads of one controller share; see controller.h. */
typedef struct controller controller_t;

#endif
