/* The cloud over a loopback socket: one machine type in one zone, no capacity, no machines. */
#ifndef PEPPERPULLEY_FAKE_CLOUD_H
#define PEPPERPULLEY_FAKE_CLOUD_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/* Never freed: its threads do not end. */
typedef struct fake_cloud {
    uint16_t port;
    atomic_bool has_machine_types; /* it answers with its machine types; else 503 */
} fake_cloud_t;

/* A cloud that does not answer with its machine types yet. */
fake_cloud_t *fake_cloud_new(void);
/* From now on it answers with its machine types. */
void fake_cloud_publish_machine_types(fake_cloud_t *cloud);

#endif
