#include "core/membership/connectivity.h"

connectivity_state_t connectivity_assess(const connectivity_t *connectivity, msec_t now)
{
    if (now - connectivity->kv_answered_at <= ISOLATED_AFTER_MS)
        return CONNECTIVITY_GOOD;
    if (connectivity->siblings_kv_answered_at > connectivity->kv_answered_at + ISOLATED_AFTER_MS)
        return CONNECTIVITY_REFUSED;
    if (!connectivity->has_no_siblings && now - connectivity->peer_message_at > SIBLING_TIMEOUT_MS)
        return CONNECTIVITY_ISOLATED;
    return CONNECTIVITY_OUTAGE;
}

bool connectivity_may_serve_workers(const connectivity_t *connectivity, msec_t now)
{
    return connectivity_assess(connectivity, now) != CONNECTIVITY_ISOLATED ||
           now - connectivity->kv_answered_at < ISOLATED_SERVE_MS;
}
