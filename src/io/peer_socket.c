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

static bool parse_address(const char *text, struct sockaddr_in *address)
{
    char host[ADDRESS_BYTES];
    const char *colon = strrchr(text, ':');
    *address = (struct sockaddr_in){.sin_family = AF_INET};
    if (!colon)
        return false;
    g_strlcpy(host, text, MIN(sizeof host, (gsize)(colon - text) + 1));
    address->sin_port = htons((uint16_t)g_ascii_strtoull(colon + 1, NULL, DECIMAL));
    return inet_pton(AF_INET, host, &address->sin_addr) == 1;
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
    int fd = parse_address(endpoint, &address) ? socket(AF_INET, SOCK_STREAM, 0) : -1;
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

int peer_connect(const char *endpoint, guint timeout_ms)
{
    struct sockaddr_in address;
    int on = 1;
    int error = 0;
    socklen_t size = sizeof error;
    int fd = parse_address(endpoint, &address) ? socket(AF_INET, SOCK_STREAM, 0) : -1;
    if (fd < 0)
        return -1;
    int flags = fcntl(fd, F_GETFL);
    fcntl(fd, F_SETFL, flags | O_NONBLOCK);
    int result = connect(fd, (struct sockaddr *)&address, sizeof address);
    if (result != 0 && errno == EINPROGRESS) {
        struct pollfd waiting = {.fd = fd, .events = POLLOUT};
        bool done = poll(&waiting, 1, (int)timeout_ms) == 1 &&
                    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
        result = done ? 0 : -1;
    }
    if (result != 0) {
        close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, flags);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    peer_set_timeout(fd, timeout_ms);
    return fd;
}

static bool write_all(int fd, const void *data, size_t size)
{
    const char *at = data;
    while (size > 0) {
        ssize_t sent = send(fd, at, size, MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        at += sent;
        size -= (size_t)sent;
    }
    return true;
}

static bool read_all(int fd, void *data, size_t size)
{
    char *at = data;
    while (size > 0) {
        ssize_t got = recv(fd, at, size, 0);
        if (got <= 0)
            return false;
        at += got;
        size -= (size_t)got;
    }
    return true;
}

bool peer_send(int fd, const GByteArray *frame)
{
    uint32_t length = htonl(frame->len);
    GByteArray *whole = g_byte_array_sized_new(frame->len + 4);
    g_byte_array_append(whole, (const guint8 *)&length, sizeof length);
    g_byte_array_append(whole, frame->data, frame->len);
    bool sent = write_all(fd, whole->data, whole->len);
    g_byte_array_unref(whole);
    return sent;
}

/* Reads what has arrived, at least the length of the frame and at most `size` bytes. The other side
 * sends one frame and waits for the answer, so nothing of a next frame is taken along. */
static gsize read_some(int fd, uint8_t *data, gsize size)
{
    gsize got = 0;
    while (got < sizeof(uint32_t)) {
        ssize_t more = recv(fd, data + got, size - got, 0);
        if (more <= 0)
            return 0;
        got += (gsize)more;
    }
    return got;
}

GByteArray *peer_receive(int fd)
{
    uint8_t start[PEER_READ_BYTES];
    uint32_t length;
    gsize got = read_some(fd, start, sizeof start);
    if (got == 0)
        return NULL;
    memcpy(&length, start, sizeof length);
    length = ntohl(length);
    got -= sizeof length;
    if (length > PEER_FRAME_MAX_BYTES || got > length)
        return NULL;
    GByteArray *frame = g_byte_array_sized_new(length);
    g_byte_array_append(frame, start + sizeof length, (guint)got);
    g_byte_array_set_size(frame, length);
    if (!read_all(fd, frame->data + got, length - got)) {
        g_byte_array_unref(frame);
        return NULL;
    }
    return frame;
}
