#include "io/mesh.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "mesh_xdr.h"

static mesh_ref ref_to(const task_ref_t *ref)
{
    return (mesh_ref){(char *)ref->job, ref->task, ref->attempt};
}

static task_ref_t ref_from(const mesh_ref *ref)
{
    return task_ref(ref->job, ref->task, ref->attempt);
}

static mesh_room room_to(room_t room)
{
    return (mesh_room){room.cpus, room.gpus, room.memory};
}

static room_t room_from(const mesh_room *room)
{
    return (room_t){room->cpus, room->gpus, room->memory};
}

static void offer_to(const offer_t *offer, mesh_offer *to)
{
    task_ref_t ref = task_ref(offer->job, offer->task, offer->attempt);
    *to = (mesh_offer){.team = (char *)offer->team,
                       .image = (char *)offer->image,
                       .zone = (char *)offer->zone,
                       .any_type = offer->types == NULL,
                       .need = room_to(offer->need),
                       .spot = offer->spot,
                       .gang = offer->gang,
                       .urgency = offer->urgency,
                       .save_s = offer->save_s,
                       .checkpoint_s = offer->checkpoint_s,
                       .job_stamp = offer->job_stamp,
                       .preempt = offer->preempt,
                       .claim = offer->claim,
                       .victims = offer->victims};
    to->ref = ref_to(&ref);
    to->ref.job = (char *)offer->job;
    to->types.types_len = offer->types ? g_strv_length(offer->types) : 0;
    to->types.types_val = (mesh_name *)offer->types;
}

static void offer_from(const mesh_offer *from, offer_t *offer)
{
    *offer = (offer_t){.need = room_from(&from->need),
                       .spot = from->spot,
                       .gang = from->gang,
                       .urgency = (urgency_t)MIN(from->urgency, URGENCY_CRITICAL),
                       .save_s = from->save_s,
                       .checkpoint_s = from->checkpoint_s,
                       .job_stamp = from->job_stamp,
                       .preempt = from->preempt,
                       .claim = from->claim,
                       .victims = from->victims,
                       .task = from->ref.task,
                       .attempt = from->ref.attempt};
    g_strlcpy(offer->job, from->ref.job, sizeof offer->job);
    g_strlcpy(offer->team, from->team, sizeof offer->team);
    g_strlcpy(offer->image, from->image, sizeof offer->image);
    g_strlcpy(offer->zone, from->zone, sizeof offer->zone);
    if (!from->any_type) {
        offer->types = g_new0(char *, from->types.types_len + 1);
        for (u_int i = 0; i < from->types.types_len; i++)
            offer->types[i] = g_strdup(from->types.types_val[i]);
    }
}

static void item_to(const link_item_t *item, mesh_item *to)
{
    to->kind = (mesh_kind)item->kind;
    switch (item->kind) {
    case LINK_OFFER:
        offer_to(&item->offer, &to->mesh_item_u.offer);
        break;
    case LINK_SETTLE:
    case LINK_WITHDRAW:
        to->mesh_item_u.ref = ref_to(&item->ref);
        break;
    case LINK_DRAIN:
    case LINK_GONE:
    case LINK_KEEP:
        to->mesh_item_u.machine = (char *)item->machine;
        break;
    case LINK_OUTCOME:
        to->mesh_item_u.outcome = (mesh_outcome){ref_to(&item->outcome.ref), item->outcome.cause,
                                                 (char *)item->outcome.machine};
        break;
    }
}

static void item_from(const mesh_item *from, link_item_t *item)
{
    *item = (link_item_t){.kind = (link_kind_t)from->kind};
    switch (from->kind) {
    case MESH_OFFER:
        offer_from(&from->mesh_item_u.offer, &item->offer);
        break;
    case MESH_SETTLE:
    case MESH_WITHDRAW:
        item->ref = ref_from(&from->mesh_item_u.ref);
        break;
    case MESH_DRAIN:
    case MESH_GONE:
    case MESH_KEEP:
        g_strlcpy(item->machine, from->mesh_item_u.machine, sizeof item->machine);
        break;
    case MESH_OUTCOME:
        item->outcome.ref = ref_from(&from->mesh_item_u.outcome.ref);
        item->outcome.cause = (cause_t)MIN(from->mesh_item_u.outcome.cause, CAUSE_ALONE);
        g_strlcpy(item->outcome.machine, from->mesh_item_u.outcome.machine,
                  sizeof item->outcome.machine);
        break;
    }
}

static void row_to(const machine_row_t *row, mesh_row *to)
{
    *to = (mesh_row){.machine = (char *)row->machine,
                     .type = (char *)row->type,
                     .zone = (char *)row->zone,
                     .spot = row->spot,
                     .open = row->open,
                     .draining = row->draining,
                     .total = room_to(row->total),
                     .free = room_to(row->free),
                     .attempts = row->attempts,
                     .silent_ms = row->silent_ms,
                     .idle_ms = row->idle_ms,
                     .known_ms = row->known_ms};
}

static void row_from(const mesh_row *from, machine_row_t *row)
{
    *row = (machine_row_t){.spot = from->spot,
                           .open = from->open,
                           .draining = from->draining,
                           .total = room_from(&from->total),
                           .free = room_from(&from->free),
                           .attempts = from->attempts,
                           .silent_ms = from->silent_ms,
                           .idle_ms = from->idle_ms,
                           .known_ms = from->known_ms};
    g_strlcpy(row->machine, from->machine, sizeof row->machine);
    g_strlcpy(row->type, from->type, sizeof row->type);
    g_strlcpy(row->zone, from->zone, sizeof row->zone);
}

void mesh_note_clear(mesh_note_t *note)
{
    g_clear_pointer(&note->items, g_array_unref);
    g_clear_pointer(&note->rows, g_array_unref);
    g_clear_pointer(&note->yielding, g_array_unref);
    notice_clear(&note->notice);
}

GByteArray *mesh_encode(const mesh_note_t *note)
{
    guint items = note->items ? note->items->len : 0, rows = note->rows ? note->rows->len : 0;
    mesh_item *item_list = g_new0(mesh_item, items + 1);
    mesh_row *row_list = g_new0(mesh_row, rows + 1);
    for (guint i = 0; i < items; i++)
        item_to(&g_array_index(note->items, link_item_t, i), &item_list[i]);
    for (guint i = 0; i < rows; i++)
        row_to(&g_array_index(note->rows, machine_row_t, i), &row_list[i]);
    mesh_message message = {.sender = (char *)note->sender,
                            .incarnation = note->incarnation,
                            .view = note->view,
                            .number = note->number,
                            .ack = note->ack,
                            .contact_age = note->contact_age,
                            .greeting = note->greeting,
                            .known_incarnation = note->known_incarnation,
                            .known_through = note->known_through,
                            .notice = {.after = note->notice.after,
                                       .through = note->notice.through,
                                       .whole = note->notice.whole,
                                       .base_age = note->notice.base_age},
                            .has_rows = note->rows != NULL};
    message.items.items_len = items;
    message.items.items_val = item_list;
    message.rows.rows_len = rows;
    message.rows.rows_val = row_list;
    message.yielding.yielding_len = note->yielding ? note->yielding->len : 0;
    message.yielding.yielding_val = note->yielding ? (double *)(void *)note->yielding->data : NULL;
    if (note->notice.jobs) {
        message.notice.jobs.jobs_len = note->notice.jobs->len;
        message.notice.jobs.jobs_val = (mesh_name *)note->notice.jobs->pdata;
    }
    gulong size = xdr_sizeof((xdrproc_t)xdr_mesh_message, &message);
    GByteArray *frame = g_byte_array_sized_new((guint)size);
    g_byte_array_set_size(frame, (guint)size);
    XDR xdr;
    xdrmem_create(&xdr, (char *)frame->data, (u_int)size, XDR_ENCODE);
    if (!xdr_mesh_message(&xdr, &message)) {
        g_byte_array_unref(frame);
        frame = NULL;
    }
    xdr_destroy(&xdr);
    g_free(item_list);
    g_free(row_list);
    return frame;
}

static void take_message(const mesh_message *message, mesh_note_t *note)
{
    g_strlcpy(note->sender, message->sender, sizeof note->sender);
    note->incarnation = message->incarnation;
    note->view = message->view;
    note->number = message->number;
    note->ack = message->ack;
    note->contact_age = message->contact_age;
    note->greeting = message->greeting;
    note->known_incarnation = message->known_incarnation;
    note->known_through = message->known_through;
    note->notice = (notice_t){.incarnation = message->incarnation,
                              .after = message->notice.after,
                              .through = message->notice.through,
                              .whole = message->notice.whole,
                              .base_age = message->notice.base_age,
                              .jobs = g_ptr_array_new_with_free_func(g_free)};
    for (u_int i = 0; i < message->notice.jobs.jobs_len; i++)
        g_ptr_array_add(note->notice.jobs, g_strdup(message->notice.jobs.jobs_val[i]));
    note->items = link_items_new();
    for (u_int i = 0; i < message->items.items_len; i++) {
        link_item_t item;
        item_from(&message->items.items_val[i], &item);
        g_array_append_val(note->items, item);
    }
    if (!message->has_rows)
        return;
    note->rows = g_array_new(FALSE, FALSE, sizeof(machine_row_t));
    for (u_int i = 0; i < message->rows.rows_len; i++) {
        machine_row_t row;
        row_from(&message->rows.rows_val[i], &row);
        g_array_append_val(note->rows, row);
    }
    note->yielding = g_array_new(FALSE, FALSE, sizeof(double));
    g_array_append_vals(note->yielding, message->yielding.yielding_val,
                        message->yielding.yielding_len);
}

bool mesh_decode(const uint8_t *data, gsize size, mesh_note_t *note)
{
    mesh_message message = {0};
    XDR xdr;
    *note = (mesh_note_t){0};
    xdrmem_create(&xdr, (char *)data, (u_int)size, XDR_DECODE);
    bool decoded = xdr_mesh_message(&xdr, &message);
    if (decoded)
        take_message(&message, note);
    xdr_destroy(&xdr);
    xdr_free((xdrproc_t)xdr_mesh_message, (char *)&message);
    return decoded;
}

static bool parse_address(const char *text, struct sockaddr_in *address)
{
    char host[ADDRESS_SIZE];
    const char *colon = strrchr(text, ':');
    *address = (struct sockaddr_in){.sin_family = AF_INET};
    if (!colon)
        return false;
    g_strlcpy(host, text, MIN(sizeof host, (gsize)(colon - text) + 1));
    address->sin_port = htons((uint16_t)g_ascii_strtoull(colon + 1, NULL, 10));
    return inet_pton(AF_INET, host, &address->sin_addr) == 1;
}

void mesh_set_timeout(int fd, guint timeout_ms)
{
    struct timeval wait = {.tv_sec = timeout_ms / 1000, .tv_usec = timeout_ms % 1000 * 1000};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof wait);
}

int mesh_listen(const char *text)
{
    struct sockaddr_in address;
    int on = 1;
    int fd = parse_address(text, &address) ? socket(AF_INET, SOCK_STREAM, 0) : -1;
    if (fd < 0)
        return -1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(fd, (struct sockaddr *)&address, sizeof address) != 0 || listen(fd, 16) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

int mesh_connect(const char *text, guint timeout_ms)
{
    struct sockaddr_in address;
    int on = 1, error = 0;
    socklen_t size = sizeof error;
    int fd = parse_address(text, &address) ? socket(AF_INET, SOCK_STREAM, 0) : -1;
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
    mesh_set_timeout(fd, timeout_ms);
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

bool mesh_send(int fd, const GByteArray *frame)
{
    uint32_t length = htonl(frame->len);
    GByteArray *whole = g_byte_array_sized_new(frame->len + 4);
    g_byte_array_append(whole, (const guint8 *)&length, sizeof length);
    g_byte_array_append(whole, frame->data, frame->len);
    bool sent = write_all(fd, whole->data, whole->len);
    g_byte_array_unref(whole);
    return sent;
}

GByteArray *mesh_receive(int fd)
{
    uint32_t length;
    if (!read_all(fd, &length, sizeof length))
        return NULL;
    length = ntohl(length);
    if (length > MESH_FRAME_MAX)
        return NULL;
    GByteArray *frame = g_byte_array_sized_new(length);
    g_byte_array_set_size(frame, length);
    if (!read_all(fd, frame->data, length)) {
        g_byte_array_unref(frame);
        return NULL;
    }
    return frame;
}
