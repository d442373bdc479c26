/* A worker over real sockets: takes direct commands on a port of its own, and reports when the
 * story says so. Owns its worker and thread; never ends. */
#ifndef PEPPERPULLEY_FAKE_MACHINE_H
#define PEPPERPULLEY_FAKE_MACHINE_H

#include <jansson.h>
#include <pthread.h>

#include "worker.h"

typedef struct {
    pthread_mutex_t lock; /* guards the worker */
    fake_worker_t *worker;
    uint16_t port;
} fake_machine_t;

fake_machine_t *fake_machine_new(const char *id);
/* The body of its next report. */
json_t *fake_machine_report(fake_machine_t *machine);
/* Takes the answer to a report. */
void fake_machine_answer(fake_machine_t *machine, const json_t *answer);
guint fake_machine_active(fake_machine_t *machine);
/* All that runs there completes. */
void fake_machine_complete(fake_machine_t *machine);

#endif
