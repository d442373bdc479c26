#include "common.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

static FILE *record_file;
static int64_t record_start;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
void (*finish_hook)(void);

int64_t now_ms(void)
{
    struct timespec time;
    clock_gettime(CLOCK_MONOTONIC, &time);
    return (int64_t)time.tv_sec * 1000 + time.tv_nsec / 1000000;
}

void sleep_ms(int64_t ms)
{
    struct timespec pause = {ms / 1000, ms % 1000 * 1000000};
    while (ms > 0 && nanosleep(&pause, &pause) != 0 && errno == EINTR)
        ;
}

void record_open(const char *path)
{
    record_start = now_ms();
    record_file = fopen(path, "w");
    if (!record_file) {
        perror(path);
        exit(2);
    }
}

double record_time(void)
{
    return (double)(now_ms() - record_start) / 1000;
}

static void write_record(const char *format, va_list arguments)
{
    char line[2048];
    vsnprintf(line, sizeof line, format, arguments);
    pthread_mutex_lock(&record_lock);
    double time = record_time();
    printf("%8.3f %s\n", time, line);
    fflush(stdout);
    if (record_file) {
        fprintf(record_file, "%8.3f %s\n", time, line);
        fflush(record_file);
    }
    pthread_mutex_unlock(&record_lock);
}

void record(const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    write_record(format, arguments);
    va_end(arguments);
}

void finish(int status, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    write_record(format, arguments);
    va_end(arguments);
    record("exit %d", status);
    if (finish_hook)
        finish_hook();
    _exit(status);
}

int tcp_listen(int *port)
{
    int on = 1;
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)*port)};
    socklen_t size = sizeof address;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(fd, (struct sockaddr *)&address, sizeof address) != 0 || listen(fd, 64) != 0)
        finish(2, "cannot listen on port %d: %s", *port, strerror(errno));
    getsockname(fd, (struct sockaddr *)&address, &size);
    *port = ntohs(address.sin_port);
    return fd;
}

/* Reserves the port: binds a socket that stays open and never listens, so that other tests can't
 * choose the port, while a program that permits the reuse of addresses can listen there. Returns
 * false if the port is taken. */
static bool reserve_port(int port)
{
    int on = 1;
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (bind(fd, (struct sockaddr *)&address, sizeof address) != 0) {
        close(fd);
        return false;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    return true;
}

/* The port is below those that the system gives to outgoing connections, so that none of these
 * takes it while its controller is down. */
int free_port(void)
{
    enum { FIRST_PORT = 20000, PORTS = 12000 };
    static unsigned seed;
    if (seed == 0)
        seed = (unsigned)getpid() * 2654435761U + (unsigned)now_ms();
    for (int i = 0; i < 1000; i++) {
        int port = FIRST_PORT + (int)((unsigned)rand_r(&seed) % PORTS);
        if (reserve_port(port))
            return port;
    }
    finish(2, "there is no free port");
}

int tcp_connect(int port, int timeout_ms)
{
    int on = 1;
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct timeval wait = {timeout_ms / 1000, timeout_ms % 1000 * 1000};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof wait);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (connect(fd, (struct sockaddr *)&address, sizeof address) == 0)
        return fd;
    close(fd);
    return -1;
}

void start_thread(void *(*run)(void *), void *data)
{
    pthread_t thread;
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, 256 * 1024);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    if (pthread_create(&thread, &attributes, run, data) != 0)
        finish(2, "cannot start a thread");
    pthread_attr_destroy(&attributes);
}

/* Reads a message: its head into head, its body into *body (allocated). Returns false if the
 * connection ended or timed out. */
static bool read_message(int fd, char *head, size_t head_size, char **body)
{
    size_t used = 0;
    char *end = NULL;
    *body = NULL;
    while (!end) {
        if (used + 1 >= head_size)
            return false;
        ssize_t got = recv(fd, head + used, head_size - used - 1, 0);
        if (got <= 0)
            return false;
        used += (size_t)got;
        head[used] = '\0';
        end = strstr(head, "\r\n\r\n");
    }
    end += 4;
    const char *field = strcasestr(head, "\r\nContent-Length:");
    size_t length = field && field < end ? strtoull(field + 17, NULL, 10) : 0;
    size_t have = used - (size_t)(end - head);
    if (length > (1 << 24) || have > length)
        return false;
    *body = malloc(length + 1);
    memcpy(*body, end, have);
    while (have < length) {
        ssize_t got = recv(fd, *body + have, length - have, 0);
        if (got <= 0) {
            free(*body);
            *body = NULL;
            return false;
        }
        have += (size_t)got;
    }
    (*body)[length] = '\0';
    *end = '\0';
    return true;
}

static bool send_all(int fd, const char *data, size_t size)
{
    while (size > 0) {
        ssize_t sent = send(fd, data, size, MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        data += sent;
        size -= (size_t)sent;
    }
    return true;
}

typedef struct http_server {
    http_handler_t handler;
    void *data;
    int listener;
} http_server_t;

typedef struct http_connection {
    const http_server_t *server;
    int fd;
} http_connection_t;

static bool parse_request(char *head, char *body, http_request_t *request)
{
    char target[1024];
    *request = (http_request_t){0};
    if (sscanf(head, "%15s %1023s", request->method, target) != 2)
        return false;
    char *question = strchr(target, '?');
    if (question) {
        *question = '\0';
        snprintf(request->query, sizeof request->query, "%.511s", question + 1);
    }
    snprintf(request->path, sizeof request->path, "%.511s", target);
    request->body = body && *body ? json_loads(body, 0, NULL) : NULL;
    return true;
}

static bool send_answer(int fd, int status, json_t *answer)
{
    char head[256];
    char *text = answer ? json_dumps(answer, JSON_COMPACT) : strdup("{}");
    snprintf(head, sizeof head,
             "HTTP/1.1 %d x\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
             status, strlen(text));
    bool sent = send_all(fd, head, strlen(head)) && send_all(fd, text, strlen(text));
    free(text);
    return sent;
}

static void *serve_connection(void *data)
{
    http_connection_t *connection = data;
    char *head = malloc(16384);
    char *body = NULL;
    bool open = true;
    while (open && read_message(connection->fd, head, 16384, &body)) {
        http_request_t request;
        json_t *answer = NULL;
        open = parse_request(head, body, &request);
        int status =
            open ? connection->server->handler(connection->server->data, &request, &answer) : 0;
        open = status != 0 && send_answer(connection->fd, status, answer);
        json_decref(request.body);
        json_decref(answer);
        free(body);
        body = NULL;
    }
    free(head);
    close(connection->fd);
    free(connection);
    return NULL;
}

static void *accept_connections(void *data)
{
    http_server_t *server = data;
    int on = 1;
    for (;;) {
        int fd = accept4(server->listener, NULL, NULL, SOCK_CLOEXEC);
        if (fd < 0)
            continue;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        http_connection_t *connection = malloc(sizeof *connection);
        *connection = (http_connection_t){server, fd};
        start_thread(serve_connection, connection);
    }
    return NULL;
}

int http_serve(http_handler_t handler, void *data)
{
    int port = 0;
    http_server_t *server = malloc(sizeof *server);
    *server = (http_server_t){handler, data, tcp_listen(&port)};
    start_thread(accept_connections, server);
    return port;
}

void http_query(const http_request_t *request, const char *name, char *value, size_t size)
{
    size_t length = strlen(name);
    const char *at = request->query;
    value[0] = '\0';
    while (at && *at) {
        const char *end = strchr(at, '&');
        if (strncmp(at, name, length) == 0 && at[length] == '=') {
            size_t bytes = end ? (size_t)(end - at) - length - 1 : strlen(at + length + 1);
            snprintf(value, size, "%.*s", (int)bytes, at + length + 1);
            return;
        }
        at = end ? end + 1 : NULL;
    }
}

int http_call(int port, const char *method, const char *path, json_t *body, int timeout_ms,
              json_t **answer)
{
    char head[1024];
    int status = 0;
    char *received = NULL;
    char *answer_head = malloc(16384);
    char *text = body ? json_dumps(body, JSON_COMPACT) : strdup("");
    int fd = tcp_connect(port, timeout_ms);
    if (answer)
        *answer = NULL;
    snprintf(head, sizeof head,
             "%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Type: application/json\r\n"
             "Content-Length: %zu\r\nConnection: close\r\n\r\n",
             method, path, strlen(text));
    if (fd >= 0 && send_all(fd, head, strlen(head)) && send_all(fd, text, strlen(text)) &&
        read_message(fd, answer_head, 16384, &received)) {
        sscanf(answer_head, "HTTP/1.1 %d", &status);
        if (answer)
            *answer = json_loads(received, 0, NULL);
    }
    if (fd >= 0)
        close(fd);
    free(received);
    free(answer_head);
    free(text);
    return status;
}

const char *json_text(const json_t *object, const char *name)
{
    const char *text = json_string_value(json_object_get(object, name));
    return text ? text : "";
}

int64_t json_number(const json_t *object, const char *name)
{
    return json_integer_value(json_object_get(object, name));
}
