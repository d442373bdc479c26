/* Ports for the servers that tests start. */
#ifndef PEPPERPULLEY_FREE_PORT_H
#define PEPPERPULLEY_FREE_PORT_H

#include <stdint.h>

/* A loopback port that nobody listens on, and that no other test program takes meanwhile. Not
 * thread-safe. */
uint16_t free_port(void);

#endif
