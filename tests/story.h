/* What every story file needs. */
#ifndef PEPPERPULLEY_STORY_H
#define PEPPERPULLEY_STORY_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#endif
