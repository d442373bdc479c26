#include "io/peer_socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/types.h"

/* Parses "address:port". Returns false if the endpoint does not have this form. */
static bool parse_endpoint(const char *endpoint, struct sockaddr_in *address)
{
    char host[ADDRESS_BYTES];
    const char *colon = strrchr(endpoint, ':');
    *address = (struct sockaddr_in){.sin_family = AF_INET};
    if (!colon)
        return false;
    g_strlcpy(host, endpoint, MIN(sizeof host, (gsize)(colon - endpoint) + 1));
    address->sin_port = htons((uint16_t)g_ascii_strtoull(colon + 1, NULL, DECIMAL));
    return inet_pton(AF_INET, host, &address->sin_addr) == 1;
}

/* Returns a new socket and sets *address to the address of the endpoint. Returns a negative number
 * on failure. */
static int open_socket(const char *endpoint, struct sockaddr_in *address)
{
    if (!parse_endpoint(endpoint, address))
        return -1;
    return socket(AF_INET, SOCK_STREAM, 0);
}

void peer_set_timeout(int fd, guint timeout_ms)
{
    struct timeval wait = {.tv_sec = timeout_ms / MS_PER_S,
                           .tv_usec = timeout_ms % MS_PER_S * (suseconds_t)US_PER_MS};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof wait);
}

int peer_listen(const char *endpoint)
{
    struct sockaddr_in address;
    int on = 1;
    int fd = open_socket(endpoint, &address);
    if (fd < 0)
        return -1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(fd, (struct sockaddr *)&address, sizeof address) != 0 ||
        listen(fd, LISTEN_BACKLOG_COUNT) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Waits until the pending connection is established. Returns false if it fails or the timeout
 * expires. */
static bool wait_until_connected(int fd, guint timeout_ms)
{
    struct pollfd waiting = {.fd = fd, .events = POLLOUT};
    int error = 0;
    socklen_t size = sizeof error;
    if (poll(&waiting, 1, (int)timeout_ms) != 1)
        return false;
    return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
}

/* Connects a non-blocking socket. Returns false if that fails or the timeout expires. */
static bool connect_within(int fd, const struct sockaddr_in *address, guint timeout_ms)
{
    if (connect(fd, (const struct sockaddr *)address, sizeof *address) == 0)
        return true;
    return errno == EINPROGRESS && wait_until_connected(fd, timeout_ms);
}

int peer_connect(const char *endpoint, guint timeout_ms)
{
    struct sockaddr_in address;
    int on = 1;
    int fd = open_socket(endpoint, &address);
    if (fd < 0)
        return -1;
    int flags = fcntl(fd, F_GETFL);
    fcntl(fd, F_SETFL, flags | O_NONBLOCK);
    if (!connect_within(fd, &address, timeout_ms)) {
        close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, flags);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    peer_set_timeout(fd, timeout_ms);
    return fd;
}

/* Sends all `size` bytes. Returns false if the connection fails or the timeout expires. */
static bool write_all(int fd, const void *data, size_t size)
{
    const char *next = data;
    while (size > 0) {
        ssize_t sent = send(fd, next, size, MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        next += sent;
        size -= (size_t)sent;
    }
    return true;
}

/* Receives exactly `size` bytes. Returns false if the connection ends or the timeout expires. */
static bool read_all(int fd, void *data, size_t size)
{
    char *next = data;
    while (size > 0) {
        ssize_t received = recv(fd, next, size, 0);
        if (received <= 0)
            return false;
        next += received;
        size -= (size_t)received;
    }
    return true;
}

bool peer_send(int fd, const GByteArray *frame)
{
    uint32_t length = htonl(frame->len);
    /* The length and the message are sent with a single call. */
    g_autoptr(GByteArray) bytes = g_byte_array_sized_new(frame->len + sizeof length);
    g_byte_array_append(bytes, (const guint8 *)&length, sizeof length);
    g_byte_array_append(bytes, frame->data, frame->len);
    return write_all(fd, bytes->data, bytes->len);
}

/* Receives the start of a frame: at least its length field and at most `size` bytes. Returns the
 * number of bytes, or 0 if the connection ends or the timeout expires. The other side sends one
 * frame and waits for the answer, so these bytes never include the start of a next frame. */
static gsize read_frame_start(int fd, uint8_t *data, gsize size)
{
    gsize received = 0;
    while (received < sizeof(uint32_t)) {
        ssize_t more = recv(fd, data + received, size - received, 0);
        if (more <= 0)
            return 0;
        received += (gsize)more;
    }
    return received;
}

GByteArray *peer_receive(int fd)
{
    uint8_t start[PEER_READ_BYTES];
    uint32_t length;
    gsize received = read_frame_start(fd, start, sizeof start);
    if (received == 0)
        return NULL;
    memcpy(&length, start, sizeof length);
    length = ntohl(length);
    received -= sizeof length;
    if (length > PEER_FRAME_MAX_BYTES || received > length)
        return NULL;
    g_autoptr(GByteArray) frame = g_byte_array_sized_new(length);
    g_byte_array_append(frame, start + sizeof length, (guint)received);
    g_byte_array_set_size(frame, length);
    if (!read_all(fd, frame->data + received, length - received))
        return NULL;
    return g_steal_pointer(&frame);
}
