/* A fake of the cloud on a loopback socket. It offers one machine type in one zone, but has neither
 * capacity nor machines. */
#ifndef PEPPERPULLEY_FAKE_CLOUD_H
#define PEPPERPULLEY_FAKE_CLOUD_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/* Never freed: its threads do not end. */
typedef struct fake_cloud {
    uint16_t port;
    atomic_bool has_machine_types; /* if false, a request for them gets 503 */
} fake_cloud_t;

/* Returns a cloud that does not return its machine types yet. */
fake_cloud_t *fake_cloud_new(void);
/* Makes the cloud return its machine types from now on. */
void fake_cloud_publish_machine_types(fake_cloud_t *cloud);

#endif
