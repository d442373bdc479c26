/* Which member owns a machine: rendezvous hashing over the members of the view. */
#ifndef PEPPERPULLEY_OWNER_H
#define PEPPERPULLEY_OWNER_H

#include "core/types.h"

enum { MEMBERS_MAX = 16 };

/* One live controller of a view. */
typedef struct {
    char name[ID_SIZE];
    char zone[LABEL_SIZE];
    uint64_t incarnation;
    bool aside; /* workers can't reach it: it owns no machines */
} member_t;

/* Index of the owner; count must be above 0. Members in the machine's zone go first, so that a cut
 * between zones leaves workers with their owner; a zone without members is hashed over all.
 * Those set aside own nothing, unless all are. */
guint owner_of(const member_t *members, guint count, const char *machine, const char *zone);

#endif
