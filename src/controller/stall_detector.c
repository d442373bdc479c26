#include "controller/stall_detector.h"

#include "controller/controller.h"
#include "io/clock.h"
#include "io/log.h"

void stall_detector_observe(controller_t *controller, msec_t now)
{
    stall_detector_t *stalls = &controller->stalls;
    msec_t gap = now - stalls->last_observed_at;
    if (gap > STALL_MIN_MS) {
        log_info("event=process_stalled stall_ms=%" G_GINT64_FORMAT, gap);
        stalls->last_stall_at = now;
    }
    stalls->last_observed_at = MAX(stalls->last_observed_at, now);
}

void *stall_detector_run(void *data)
{
    controller_t *controller = data;
    for (;;) {
        pthread_mutex_lock(&controller->lock);
        stall_detector_observe(controller, clock_steady());
        pthread_mutex_unlock(&controller->lock);
        controller_sleep(STALL_CHECK_MS);
    }
    return NULL;
}
