#include "free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

/* These ports lie below the range from which the system chooses ports for outgoing connections.
 * Otherwise such a connection could take a port before the test listens on it. */
enum { FIRST_PORT = 20000, BLOCK_PORTS = 50, BLOCK_COUNT = 200 };

/* Returns a socket bound to the port, or -1 if the port is in use. */
static int bind_port(uint16_t port)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET, .sin_port = htons(port), .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return -1;
    if (bind(fd, (struct sockaddr *)&address, sizeof address) == 0)
        return fd;
    close(fd);
    return -1;
}

static bool is_free(uint16_t port)
{
    int fd = bind_port(port);
    if (fd >= 0)
        close(fd);
    return fd >= 0;
}

/* Reserves a block of ports for this process and returns its first port. Because test programs run
 * at the same time, a process reserves a block by binding the block's first port, which stays bound
 * until the process ends. */
static uint16_t reserve_block(void)
{
    uint32_t start = arc4random_uniform(BLOCK_COUNT);
    for (uint32_t i = 0; i < BLOCK_COUNT; i++) {
        uint16_t first = (uint16_t)(FIRST_PORT + (start + i) % BLOCK_COUNT * BLOCK_PORTS);
        if (bind_port(first) >= 0)
            return first;
    }
    abort();
}

uint16_t free_port(void)
{
    static uint16_t block;
    static uint16_t used = BLOCK_PORTS;
    for (;;) {
        if (used == BLOCK_PORTS) {
            block = reserve_block();
            used = 1;
        }
        uint16_t port = (uint16_t)(block + used);
        used++;
        if (is_free(port))
            return port;
    }
}
