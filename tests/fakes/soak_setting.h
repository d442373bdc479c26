/* Settings of random tests, from the environment. */
#ifndef PEPPERPULLEY_SOAK_SETTING_H
#define PEPPERPULLEY_SOAK_SETTING_H

#include <glib.h>

/* Returns the number in the environment variable, or the default if it is not set. */
static inline guint soak_setting(const char *name, guint default_value)
{
    const char *text = g_getenv(name);
    return text ? (guint)g_ascii_strtoull(text, NULL, 10) : default_value;
}

#endif
