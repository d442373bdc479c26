/* What a node that the state service does not answer can know about why.
 *
 * Refused alone, it was or will be replaced; in an outage of all, everybody waits. One that hears
 * neither the state service nor any sibling can't tell, and must not hold its workers for long: the
 * others may have replaced it. All times are of this node's steady clock. */
#ifndef PEPPERPULLEY_CONTACT_H
#define PEPPERPULLEY_CONTACT_H

#include "core/types.h"

typedef struct {
    msec_t state;    /* when the state service last answered us */
    msec_t heard;    /* when a sibling was last heard, by socket or mail */
    msec_t siblings; /* when the state service last answered one of them, as it said */
    bool lone;       /* there are no siblings */
} contact_t;

typedef enum {
    CONTACT_GOOD,
    CONTACT_OUTAGE,  /* siblings that are heard have no answers either */
    CONTACT_REFUSED, /* a sibling has answers */
    CONTACT_NONE     /* nobody is heard */
} contact_state_t;

contact_state_t contact_judge(const contact_t *contact, msec_t now);
/* Whether workers may still be held, as far as being cut off goes. */
bool contact_may_hold(const contact_t *contact, msec_t now);

#endif
