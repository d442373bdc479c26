/* What a controller that the key-value store does not answer can know about why.
 *
 * Refused alone, it was or will be replaced; in an outage of all, everybody waits. One that hears
 * neither the key-value store nor any sibling can't tell, and must not hold its workers for long:
 * the others may have replaced it. All times are of this controller's steady clock. */
#ifndef PEPPERPULLEY_CONNECTIVITY_H
#define PEPPERPULLEY_CONNECTIVITY_H

#include "core/types.h"

typedef struct connectivity {
    msec_t kv_answered_at;          /* when the key-value store last answered us */
    msec_t peer_message_at;         /* when a sibling's last message came, by socket or relay */
    msec_t siblings_kv_answered_at; /* when the key-value store last answered one of them, as it
                                       said */
    bool has_no_siblings;           /* there are no siblings */
} connectivity_t;

typedef enum {
    CONNECTIVITY_GOOD,
    CONNECTIVITY_OUTAGE,  /* siblings that are heard have no answers either */
    CONNECTIVITY_REFUSED, /* a sibling has answers */
    CONNECTIVITY_NONE     /* nobody is heard */
} connectivity_state_t;

connectivity_state_t connectivity_judge(const connectivity_t *connectivity, msec_t now);
/* Whether workers may still be held, as far as being cut off goes. */
bool connectivity_may_serve_workers(const connectivity_t *connectivity, msec_t now);

#endif
