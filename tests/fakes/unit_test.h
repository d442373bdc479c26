/* What every test file needs. */
#ifndef PEPPERPULLEY_UNIT_TEST_H
#define PEPPERPULLEY_UNIT_TEST_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#endif
