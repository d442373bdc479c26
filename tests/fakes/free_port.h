/* Free ports for the servers that tests start. */
#ifndef PEPPERPULLEY_FREE_PORT_H
#define PEPPERPULLEY_FREE_PORT_H

#include <stdint.h>

/* Returns a loopback port on which nobody listens, and which no other test program will take while
 * this process runs. Not thread-safe. */
uint16_t free_port(void);

#endif
