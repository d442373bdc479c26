/* Messages between controllers: XDR in memory, and frames on blocking sockets. */
#ifndef PEPPERPULLEY_MESH_H
#define PEPPERPULLEY_MESH_H

#include "core/cancelled.h"
#include "core/leader.h"
#include "core/link.h"

/* One message, decoded. Owns its arrays. */
typedef struct {
    char sender[ID_SIZE];
    uint64_t incarnation;
    uint64_t view;
    uint64_t number; /* of the batch; 0: none sent so far */
    uint64_t ack;
    msec_t contact_age;
    bool greeting;
    uint64_t known_incarnation;
    uint64_t known_through;
    notice_t notice;  /* jobs NULL: none */
    GArray *items;    /* link_item_t */
    GArray *rows;     /* machine_row_t; NULL: unchanged */
    GArray *yielding; /* double, a team each; NULL without rows */
} mesh_note_t;

void mesh_note_clear(mesh_note_t *note);
/* NULL if it can't be encoded. items and rows are only read. */
GByteArray *mesh_encode(const mesh_note_t *note);
bool mesh_decode(const uint8_t *data, gsize size, mesh_note_t *note);

/* Sockets. Negative: failed. */
int mesh_listen(const char *address);
int mesh_connect(const char *address, guint timeout_ms);
bool mesh_send(int fd, const GByteArray *frame);
GByteArray *mesh_receive(int fd);
void mesh_set_timeout(int fd, guint timeout_ms);

#endif
