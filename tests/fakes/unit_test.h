/* Includes what every test file needs: cmocka, the headers that it requires, and string.h. */
#ifndef PEPPERPULLEY_UNIT_TEST_H
#define PEPPERPULLEY_UNIT_TEST_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#endif
