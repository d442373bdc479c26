#include "net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

typedef enum { LISTEN_HTTP, SERVER, CLIENT, LISTEN_RELAY, RELAYED } kind_t;

typedef struct buffer {
    char *bytes;
    size_t length;
    size_t size;
} buffer_t;

struct relay {
    int port;
    int target;
    relay_mode_t mode;
};

typedef struct connection {
    uint64_t number;
    int fd;
    kind_t kind;
    bool is_closed;
    buffer_t in;
    buffer_t out;
    http_handler_t handler; /* LISTEN_HTTP, SERVER */
    void *data;
    bool is_busy;        /* SERVER: a request waits for its answer */
    int peer_port;       /* SERVER */
    http_done_t done;    /* CLIENT */
    ms_t deadline;       /* CLIENT */
    relay_t *relay;      /* LISTEN_RELAY, RELAYED */
    uint64_t other;      /* RELAYED: the other half */
    bool was_silent;     /* RELAYED: bytes were withheld */
    struct connection *next;
} connection_t;

typedef struct timer {
    ms_t at;
    void (*run)(void *data);
    void *data;
    struct timer *next;
} timer_entry_t;

static int epoll_fd = -1;
static uint64_t last_number;
static connection_t *connections;
static timer_entry_t *timers;

ms_t net_now(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (ms_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void net_after(ms_t delay, void (*run)(void *data), void *data)
{
    timer_entry_t *timer = calloc(1, sizeof *timer);
    *timer = (timer_entry_t){.at = net_now() + delay, .run = run, .data = data};
    timer_entry_t **place = &timers;
    while (*place && (*place)->at <= timer->at)
        place = &(*place)->next;
    timer->next = *place;
    *place = timer;
}

static void buffer_add(buffer_t *buffer, const char *bytes, size_t length)
{
    if (buffer->length + length + 1 > buffer->size) {
        buffer->size = (buffer->length + length + 1) * 2;
        buffer->bytes = realloc(buffer->bytes, buffer->size);
    }
    memcpy(buffer->bytes + buffer->length, bytes, length);
    buffer->length += length;
    buffer->bytes[buffer->length] = '\0';
}

static void buffer_drop(buffer_t *buffer, size_t length)
{
    memmove(buffer->bytes, buffer->bytes + length, buffer->length - length + 1);
    buffer->length -= length;
}

static connection_t *find(uint64_t number)
{
    for (connection_t *it = connections; it; it = it->next)
        if (it->number == number && !it->is_closed)
            return it;
    return NULL;
}

static void watch(connection_t *it)
{
    struct epoll_event event = {.events = EPOLLIN | (it->out.length ? EPOLLOUT : 0),
                                .data.u64 = it->number};
    epoll_ctl(epoll_fd, EPOLL_CTL_MOD, it->fd, &event);
}

static connection_t *add(int fd, kind_t kind)
{
    if (epoll_fd < 0)
        epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    connection_t *it = calloc(1, sizeof *it);
    it->number = ++last_number;
    it->fd = fd;
    it->kind = kind;
    it->next = connections;
    connections = it;
    fcntl(fd, F_SETFL, O_NONBLOCK);
    struct epoll_event event = {.events = EPOLLIN, .data.u64 = it->number};
    epoll_ctl(epoll_fd, EPOLL_CTL_ADD, fd, &event);
    return it;
}

static void end(connection_t *it)
{
    if (it->is_closed)
        return;
    it->is_closed = true;
    close(it->fd);
    if (it->kind == RELAYED) {
        connection_t *other = find(it->other);
        if (other)
            end(other);
    }
}

static void sweep(void)
{
    connection_t **place = &connections;
    while (*place) {
        connection_t *it = *place;
        if (!it->is_closed) {
            place = &it->next;
            continue;
        }
        *place = it->next;
        free(it->in.bytes);
        free(it->out.bytes);
        free(it);
    }
}

static void finish(connection_t *it, int status, const json_t *body);

/* A client whose request cannot be sent gets the answer 0. */
static void flush(connection_t *it)
{
    while (it->out.length) {
        ssize_t sent = send(it->fd, it->out.bytes, it->out.length, MSG_NOSIGNAL);
        if (sent <= 0) {
            if (sent < 0 && errno != EAGAIN) {
                if (it->kind == CLIENT)
                    finish(it, 0, NULL);
                else
                    end(it);
            }
            break;
        }
        buffer_drop(&it->out, (size_t)sent);
    }
    if (!it->is_closed)
        watch(it);
}

static int new_socket(void)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

static int listen_any(int *port)
{
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof address;
    int fd = new_socket();
    if (bind(fd, (struct sockaddr *)&address, size) || listen(fd, 512) ||
        getsockname(fd, (struct sockaddr *)&address, &size)) {
        perror("listen");
        exit(2);
    }
    *port = ntohs(address.sin_port);
    return fd;
}

/* The port is outside the range from which the system takes those of outgoing connections. */
int net_free_port(void)
{
    static int last;
    if (!last)
        last = 12000 + getpid() * 37 % 16000;
    for (;;) {
        int port = ++last;
        struct sockaddr_in address = {.sin_family = AF_INET,
                                      .sin_port = htons((uint16_t)port),
                                      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
        int fd = new_socket();
        bool is_free = bind(fd, (struct sockaddr *)&address, sizeof address) == 0;
        close(fd);
        if (is_free)
            return port;
    }
}

static int connect_to(int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port),
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int fd = new_socket();
    fcntl(fd, F_SETFL, O_NONBLOCK);
    if (connect(fd, (struct sockaddr *)&address, sizeof address) && errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

int net_serve(http_handler_t handler, void *data)
{
    int port = 0;
    connection_t *it = add(listen_any(&port), LISTEN_HTTP);
    it->handler = handler;
    it->data = data;
    return port;
}

static const char *reason(int status)
{
    return status < 300 ? "OK" : status < 500 ? "Refused" : "Failed";
}

void http_answer(uint64_t number, int status, json_t *body)
{
    connection_t *it = find(number);
    char *text = body ? json_dumps(body, JSON_COMPACT) : strdup("{}");
    json_decref(body);
    if (it && it->is_busy) {
        char head[200];
        snprintf(head, sizeof head,
                 "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
                 status, reason(status), strlen(text));
        buffer_add(&it->out, head, strlen(head));
        buffer_add(&it->out, text, strlen(text));
        it->is_busy = false;
        flush(it);
    }
    free(text);
}

void http_drop(uint64_t number)
{
    connection_t *it = find(number);
    if (it)
        end(it);
}

void http_parameter(const char *query, const char *name, char *to, size_t size)
{
    size_t length = strlen(name);
    size_t used = 0;
    for (const char *at = query; at && *at; at = strchr(at, '&') ? strchr(at, '&') + 1 : NULL) {
        if (strncmp(at, name, length) != 0 || at[length] != '=')
            continue;
        for (at += length + 1; *at && *at != '&' && used + 1 < size; at++) {
            unsigned code = 0;
            if (*at == '%' && sscanf(at + 1, "%2x", &code) == 1) {
                to[used++] = (char)code;
                at += 2;
            } else {
                to[used++] = *at;
            }
        }
        break;
    }
    to[used] = '\0';
}

/* Returns the length of the complete message at the start of the buffer, or 0. Sets *body to the
 * start of its body. */
static size_t message_length(const buffer_t *buffer, size_t *body)
{
    if (!buffer->length)
        return 0;
    const char *blank = strstr(buffer->bytes, "\r\n\r\n");
    if (!blank)
        return 0;
    *body = (size_t)(blank - buffer->bytes) + 4;
    size_t length = 0;
    for (const char *line = buffer->bytes; line < blank; line = strstr(line, "\r\n") + 2)
        if (strncasecmp(line, "Content-Length:", 15) == 0)
            length = strtoul(line + 15, NULL, 10);
    return buffer->length >= *body + length ? *body + length : 0;
}

static void serve(connection_t *it)
{
    size_t body = 0;
    size_t length = message_length(&it->in, &body);
    if (!length || it->is_busy)
        return;
    char method[16] = "";
    char target[512] = "";
    sscanf(it->in.bytes, "%15s %511s", method, target);
    char *query = strchr(target, '?');
    if (query)
        *query++ = '\0';
    json_t *json = json_loadb(it->in.bytes + body, length - body, 0, NULL);
    buffer_drop(&it->in, length);
    it->is_busy = true;
    http_request_t request = {it->number, method, target, query ? query : "", it->peer_port, json};
    it->handler(it->data, &request);
    json_decref(json);
}

static void finish(connection_t *it, int status, const json_t *body)
{
    if (it->is_closed)
        return;
    end(it);
    it->done(it->data, status, body);
}

static void receive_answer(connection_t *it)
{
    size_t body = 0;
    size_t length = message_length(&it->in, &body);
    if (!length)
        return;
    int status = 0;
    sscanf(it->in.bytes, "HTTP/1.1 %d", &status);
    json_t *json = json_loadb(it->in.bytes + body, length - body, 0, NULL);
    finish(it, status, json);
    json_decref(json);
}

typedef struct failed_call {
    http_done_t done;
    void *data;
} failed_call_t;

static void fail_call(void *data)
{
    failed_call_t *call = data;
    call->done(call->data, 0, NULL);
    free(call);
}

void net_call(int port, const char *method, const char *path, json_t *body, ms_t timeout,
               http_done_t done, void *data)
{
    char head[800];
    char *text = body ? json_dumps(body, JSON_COMPACT) : strdup("");
    json_decref(body);
    int fd = connect_to(port);
    if (fd < 0) {
        failed_call_t *call = malloc(sizeof *call);
        *call = (failed_call_t){done, data};
        net_after(1, fail_call, call);
    } else {
        connection_t *it = add(fd, CLIENT);
        it->done = done;
        it->data = data;
        it->deadline = net_now() + timeout;
        snprintf(head, sizeof head,
                 "%s %s HTTP/1.1\r\nHost: local\r\nContent-Type: application/json\r\n"
                 "Content-Length: %zu\r\n\r\n",
                 method, path, strlen(text));
        buffer_add(&it->out, head, strlen(head));
        buffer_add(&it->out, text, strlen(text));
        watch(it);
    }
    free(text);
}

relay_t *relay_new(int target)
{
    relay_t *relay = calloc(1, sizeof *relay);
    relay->target = target;
    connection_t *it = add(listen_any(&relay->port), LISTEN_RELAY);
    it->relay = relay;
    return relay;
}

int relay_port(const relay_t *relay)
{
    return relay->port;
}

void relay_set(relay_t *relay, relay_mode_t mode)
{
    relay->mode = mode;
    for (connection_t *it = connections; it; it = it->next)
        if (it->kind == RELAYED && it->relay == relay && !it->is_closed &&
            (mode == RELAY_REFUSE || (mode == RELAY_PASS && it->was_silent)))
            end(it);
}

static void accept_relayed(connection_t *listener, int fd)
{
    relay_t *relay = listener->relay;
    if (relay->mode == RELAY_REFUSE) {
        struct linger reset = {1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        close(fd);
        return;
    }
    int target = connect_to(relay->target);
    if (target < 0) {
        close(fd);
        return;
    }
    connection_t *near = add(fd, RELAYED);
    connection_t *far = add(target, RELAYED);
    near->relay = far->relay = relay;
    near->other = far->number;
    far->other = near->number;
}

static void forward(connection_t *it)
{
    connection_t *other = find(it->other);
    if (!other)
        return;
    if (it->relay->mode == RELAY_PASS) {
        buffer_add(&other->out, it->in.bytes, it->in.length);
        flush(other);
    } else {
        it->was_silent = true;
    }
    it->in.length = 0;
}

static void accept_all(connection_t *listener)
{
    int fd;
    struct sockaddr_in address;
    socklen_t size = sizeof address;
    while ((fd = accept(listener->fd, (struct sockaddr *)&address, &size)) >= 0) {
        fcntl(fd, F_SETFD, FD_CLOEXEC);
        if (listener->kind == LISTEN_RELAY) {
            accept_relayed(listener, fd);
            continue;
        }
        connection_t *it = add(fd, SERVER);
        it->handler = listener->handler;
        it->data = listener->data;
        it->peer_port = ntohs(address.sin_port);
    }
}

static void read_all(connection_t *it)
{
    char bytes[65536];
    ssize_t got;
    while ((got = recv(it->fd, bytes, sizeof bytes, 0)) > 0)
        buffer_add(&it->in, bytes, (size_t)got);
    bool has_ended = got == 0 || (errno != EAGAIN && errno != EINTR);
    if (it->kind == CLIENT)
        receive_answer(it);
    else if (it->kind == SERVER && it->in.length)
        serve(it);
    else if (it->kind == RELAYED && it->in.length)
        forward(it);
    if (!has_ended || it->is_closed)
        return;
    if (it->kind == CLIENT)
        finish(it, 0, NULL);
    else
        end(it);
}

static void handle(uint64_t number, uint32_t events)
{
    connection_t *it = find(number);
    if (!it)
        return;
    if (it->kind == LISTEN_HTTP || it->kind == LISTEN_RELAY) {
        accept_all(it);
        return;
    }
    if (events & EPOLLOUT)
        flush(it);
    if (!it->is_closed && (events & (EPOLLIN | EPOLLERR | EPOLLHUP)))
        read_all(it);
}

static void expire(void)
{
    ms_t now = net_now();
    for (connection_t *it = connections; it; it = it->next)
        if (it->kind == CLIENT && !it->is_closed && now >= it->deadline)
            finish(it, 0, NULL);
    while (timers && timers->at <= net_now()) {
        timer_entry_t *timer = timers;
        timers = timer->next;
        timer->run(timer->data);
        free(timer);
    }
}

void net_run(ms_t duration)
{
    ms_t until = net_now() + duration;
    while (net_now() < until) {
        struct epoll_event events[64];
        ms_t wait = until - net_now();
        if (timers && timers->at - net_now() < wait)
            wait = timers->at - net_now();
        if (wait > 20)
            wait = 20;
        int count = epoll_wait(epoll_fd, events, 64, (int)(wait > 0 ? wait : 0));
        for (int i = 0; i < count; i++)
            handle(events[i].data.u64, events[i].events);
        expire();
        sweep();
    }
}
