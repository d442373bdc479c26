#include "core/quiet.h"

#include <string.h>

void quiet_reset(quiet_t *quiet)
{
    msec_t own = quiet->own_abort;
    memset(quiet, 0, sizeof *quiet);
    quiet->own_abort = own;
}

void quiet_hear(quiet_t *quiet, guint member, msec_t abort_age, msec_t echo, msec_t now)
{
    if (echo <= 0 || echo > now)
        return;
    quiet->aborts[member] = MAX(quiet->aborts[member], now - abort_age);
    quiet->said[member] = MAX(quiet->said[member], echo);
}

bool quiet_sum(const quiet_t *quiet, guint own, guint count, msec_t now, msec_t *abort,
               msec_t *until)
{
    *abort = quiet->own_abort;
    *until = now;
    for (guint i = 0; i < count; i++) {
        if (i == own)
            continue;
        if (quiet->said[i] == 0)
            return false;
        *abort = MAX(*abort, quiet->aborts[i]);
        *until = MIN(*until, quiet->said[i]);
    }
    return true;
}

void quiet_told(quiet_t *quiet, msec_t abort_age, msec_t quiet_age, msec_t asked, msec_t now)
{
    quiet->told_abort = MAX(quiet->told_abort, now - abort_age);
    quiet->told_until = MAX(quiet->told_until, asked - quiet_age);
}

msec_t quiet_proof(const quiet_t *quiet, msec_t followed, bool leading, guint own, guint count,
                   bool whole, msec_t now)
{
    msec_t abort = quiet->told_abort, until = quiet->told_until;
    if (!whole || (leading && !quiet_sum(quiet, own, count, now, &abort, &until)))
        return followed;
    /* Our own aborts are followed like all others: one accepted since proves nothing here. */
    abort = MAX(abort, quiet->own_abort);
    return abort <= followed ? MAX(followed, until) : followed;
}
