/* Notices that the process stood still. Guarded by the controller's lock. */
#ifndef PEPPERPULLEY_STALL_DETECTOR_H
#define PEPPERPULLEY_STALL_DETECTOR_H

#include "controller/controller_type.h"
#include "core/types.h"

typedef struct stall_detector {
    msec_t last_observed_at; /* when the time was read last */
    msec_t last_stall_at;    /* when the end of a stall was last noticed; 0: never */
} stall_detector_t;

/* Reads in the time: a gap since the last reading is a stall. Called with the lock held. */
void stall_detector_observe(controller_t *controller, msec_t now);
/* The loop; data is the controller_t. Never returns. */
void *stall_detector_run(void *data);

#endif
