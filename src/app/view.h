/* view/number in the state service. */
#ifndef PEPPERPULLEY_VIEW_H
#define PEPPERPULLEY_VIEW_H

#include "app/node.h"

json_t *view_build(uint64_t number, const char *leader, uint64_t incarnation);
bool view_parse(const json_t *value, uint64_t stamp, view_t *view);

#endif
