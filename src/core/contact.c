#include "core/contact.h"

contact_state_t contact_judge(const contact_t *contact, msec_t now)
{
    if (now - contact->state <= SHUT_OUT_MS)
        return CONTACT_GOOD;
    if (contact->siblings > contact->state + SHUT_OUT_MS)
        return CONTACT_REFUSED;
    if (!contact->lone && now - contact->heard > UNHEARD_MS)
        return CONTACT_NONE;
    return CONTACT_OUTAGE;
}

bool contact_may_hold(const contact_t *contact, msec_t now)
{
    return contact_judge(contact, now) != CONTACT_NONE || now - contact->state < HOLD_ALONE_MS;
}
