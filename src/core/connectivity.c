#include "core/connectivity.h"

connectivity_state_t connectivity_judge(const connectivity_t *connectivity, msec_t now)
{
    if (now - connectivity->state <= SHUT_OUT_MS)
        return CONNECTIVITY_GOOD;
    if (connectivity->siblings > connectivity->state + SHUT_OUT_MS)
        return CONNECTIVITY_REFUSED;
    if (!connectivity->lone && now - connectivity->received_at > UNHEARD_MS)
        return CONNECTIVITY_NONE;
    return CONNECTIVITY_OUTAGE;
}

bool connectivity_may_serve_workers(const connectivity_t *connectivity, msec_t now)
{
    return connectivity_judge(connectivity, now) != CONNECTIVITY_NONE ||
           now - connectivity->state < SERVE_ALONE_MS;
}
