/* The exchange between the leader and the parts, by sockets or, where those fail, by mail: the same
 * messages as values in the state service, which a cut between zones leaves in reach. What is late
 * or repeated there is as harmless as on a socket, by the numbers that the messages bear.
 *
 * Each part calls the leader, over and over: what it
 * has to tell goes with the call, what the leader wants comes with the answer, which the leader
 * holds back for a moment while it has nothing to say. */
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "app/node.h"
#include "io/clock.h"
#include "io/mail.h"
#include "io/mesh.h"
#include "log.h"

/* With the lock held: what every message of this node begins with. */
static mesh_note_t new_note(const node_t *node)
{
    mesh_note_t note = {.incarnation = node->incarnation, .view = node->view.number};
    note.contact_age = clock_steady() - atomic_load(&node->state.contact);
    g_strlcpy(note.sender, node->settings->name, sizeof note.sender);
    return note;
}

/* With the lock held: one message of the exchange. */
static GByteArray *compose(const node_t *node, link_t *link, bool with_rows)
{
    mesh_note_t note = new_note(node);
    if (link) {
        note.items = g_array_ref((GArray *)(void *)link_batch(link, MESH_BATCH));
        note.number = link->sent;
        note.ack = link->received;
    }
    if (with_rows) {
        note.rows = node_rows(node, clock_steady());
        note.yielding = node_yielding(node);
    }
    GByteArray *frame = mesh_encode(&note);
    mesh_note_clear(&note);
    return frame;
}

static bool is_member(const node_t *node, const mesh_note_t *note, guint *index)
{
    for (guint i = 0; i < node->view.count; i++) {
        if (strcmp(node->view.members[i].name, note->sender) == 0 &&
            node->view.members[i].incarnation == note->incarnation) {
            *index = i;
            return true;
        }
    }
    return false;
}

/* With the lock held: what counts whoever says it, and in whatever view. */
static void hear_anyone(node_t *node, const mesh_note_t *note)
{
    node->superseded = MAX(node->superseded, note->view);
    node->others_heard = clock_steady();
    node->others_contact = MAX(node->others_contact, clock_steady() - note->contact_age);
}

/* With the lock held: what a part told. NULL: it is not of this view, so nothing of it counts. */
static link_t *hear_part(node_t *node, mesh_note_t *note)
{
    guint index = 0;
    msec_t now = clock_steady();
    hear_anyone(node, note);
    if (!node->leading || !node->loaded || note->view != node->view.number ||
        !is_member(node, note, &index) || index == node->own)
        return NULL;
    link_t *link = g_ptr_array_index(node->links, index);
    link_ack(link, note->ack);
    if (note->items->len && link_accept(link, note->number)) {
        for (guint i = 0; i < note->items->len; i++) {
            const link_item_t *item = &g_array_index(note->items, link_item_t, i);
            if (item->kind == LINK_OUTCOME)
                node_outcome(node, index, &item->outcome, now);
        }
    }
    /* Rows from before the last batch of offers would show its room as free. */
    if (note->rows && note->ack == link->sent) {
        leader_set_rows(node->leader, index, g_steal_pointer(&note->rows));
        leader_set_yielding(node->leader, index, g_steal_pointer(&note->yielding));
    }
    node_wake(node);
    return link;
}

static GByteArray *answer_part(node_t *node, mesh_note_t *note)
{
    pthread_mutex_lock(&node->lock);
    uint64_t generation = node->generation;
    link_t *link = hear_part(node, note);
    guint index = 0;
    if (link && is_member(node, note, &index))
        node->heard[index] = clock_steady();
    msec_t until = clock_steady() + MESH_HOLD_MS;
    while (link && !link_busy(link) && clock_steady() < until) {
        node_wait(node, &node->mesh, MESH_HOLD_MS);
        if (node->generation != generation)
            link = NULL; /* freed with its view while the lock was given up */
    }
    GByteArray *frame = compose(node, link, false);
    pthread_mutex_unlock(&node->lock);
    return frame;
}

static bool write_mail(node_t *node, http_client_t *client, const char *box, const char *name,
                       const GByteArray *frame)
{
    txn_t txn = txn_new();
    guint pages = mail_write(&txn, box, name, frame, (gsize)(node->settings->value_kb * 1024));
    budget_charge(&node->core_rps, 1, clock_steady());
    budget_charge(&node->core_write, pages, clock_steady());
    state_result_t result = state_commit(&node->state, client, &txn, STATE_TIMEOUT_MS, NULL, NULL);
    txn_free(&txn);
    if (result == STATE_INVALID)
        log_error("event=mail_refused box=%s name=%s bytes=%u", box, name, frame->len);
    return result == STATE_OK;
}

static GArray *read_mail(node_t *node, http_client_t *client, const char *box, const char *name)
{
    char prefix[ID_SIZE + 16];
    GArray *entries = state_entries_new();
    g_snprintf(prefix, sizeof prefix, "mail/%s/%s", box, name);
    budget_charge(&node->core_rps, 1, clock_steady());
    if (state_list(&node->state, client, prefix, entries, NULL) != STATE_OK)
        g_array_set_size(entries, 0);
    GArray *letters = mail_read(entries, box);
    g_array_unref(entries);
    return letters;
}

/* The leader's side of the mail: answers every letter that is new. */
static void answer_mail(node_t *node, http_client_t *client, GHashTable *stamps)
{
    GArray *letters = read_mail(node, client, "up", "");
    for (guint i = 0; i < letters->len; i++) {
        const letter_t *letter = &g_array_index(letters, letter_t, i);
        mesh_note_t note;
        if (GPOINTER_TO_SIZE(g_hash_table_lookup(stamps, letter->name)) == letter->stamp)
            continue;
        g_hash_table_insert(stamps, g_strdup(letter->name), GSIZE_TO_POINTER(letter->stamp));
        if (!mesh_decode(letter->frame->data, letter->frame->len, &note))
            continue;
        pthread_mutex_lock(&node->lock);
        link_t *link = hear_part(node, &note);
        GByteArray *frame = link ? compose(node, link, false) : NULL;
        pthread_mutex_unlock(&node->lock);
        if (frame) {
            write_mail(node, client, "down", note.sender, frame);
            g_byte_array_unref(frame);
        }
        mesh_note_clear(&note);
    }
    g_array_unref(letters);
}

/* With the lock held: some member has not called for a while. */
static bool misses_part(const node_t *node, msec_t now)
{
    if (!node->leading || !node->loaded || now - node->loaded_at < MAIL_AFTER_MS)
        return false;
    for (guint i = 0; i < node->view.count; i++)
        if (i != node->own && now - node->heard[i] > MAIL_AFTER_MS)
            return true;
    return false;
}

void *mail_run(void *data)
{
    node_t *node = data;
    http_client_t *client = http_client_new(2);
    GHashTable *stamps = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (;;) {
        pthread_mutex_lock(&node->lock);
        bool missing = misses_part(node, clock_steady());
        pthread_mutex_unlock(&node->lock);
        if (missing)
            answer_mail(node, client, stamps);
        node_sleep(MAIL_GAP_MS);
    }
    return NULL;
}

/* With the lock held: what the leader answered. */
static void hear_leader(node_t *node, const mesh_note_t *note)
{
    hear_anyone(node, note);
    if (!node->loaded || note->view != node->view.number ||
        note->incarnation != node->view.incarnation)
        return;
    link_ack(node->uplink, note->ack);
    if (!note->items->len || !link_accept(node->uplink, note->number))
        return;
    for (guint i = 0; i < note->items->len; i++)
        node_obey(node, &g_array_index(note->items, link_item_t, i), clock_steady());
}

/* The part's side: a letter up, and whatever letter lies there for us. */
static void exchange_mail(node_t *node, http_client_t *client, const GByteArray *frame)
{
    mesh_note_t note;
    if (!write_mail(node, client, "up", node->settings->name, frame))
        return;
    node_sleep(MAIL_GAP_MS);
    GArray *letters = read_mail(node, client, "down", node->settings->name);
    for (guint i = 0; i < letters->len; i++) {
        const letter_t *letter = &g_array_index(letters, letter_t, i);
        if (strcmp(letter->name, node->settings->name) != 0 ||
            !mesh_decode(letter->frame->data, letter->frame->len, &note))
            continue;
        pthread_mutex_lock(&node->lock);
        hear_leader(node, &note);
        pthread_mutex_unlock(&node->lock);
        mesh_note_clear(&note);
    }
    g_array_unref(letters);
}

/* Sends a message and takes its answer; false: none came, and the connection is of no more use. */
static bool converse(int fd, const GByteArray *frame, mesh_note_t *note)
{
    GByteArray *answer = mesh_send(fd, frame) ? mesh_receive(fd) : NULL;
    bool valid = answer && mesh_decode(answer->data, answer->len, note);
    if (answer)
        g_byte_array_unref(answer);
    return valid;
}

/* A sibling whom a thread of ours greets. */
typedef struct {
    node_t *node;
    guint index; /* among the settings' siblings */
} greeting_t;

static GByteArray *compose_greeting(const greeting_t *greeting)
{
    node_t *node = greeting->node;
    pthread_mutex_lock(&node->lock);
    const teller_t *teller = &node->cancelled.siblings[greeting->index];
    mesh_note_t note = new_note(node);
    note.greeting = true;
    note.known_incarnation = teller->incarnation;
    note.known_through = teller->through;
    pthread_mutex_unlock(&node->lock);
    return mesh_encode(&note);
}

static GByteArray *answer_greeting(node_t *node, const mesh_note_t *note)
{
    pthread_mutex_lock(&node->lock);
    hear_anyone(node, note);
    mesh_note_t answer = new_note(node);
    answer.greeting = true;
    answer.notice = cancelled_notice(&node->cancelled, note->known_incarnation, note->known_through,
                                     clock_steady());
    pthread_mutex_unlock(&node->lock);
    GByteArray *frame = mesh_encode(&answer);
    mesh_note_clear(&answer);
    return frame;
}

/* With the lock held: what a sibling answered to a greeting that left at `asked`. */
static void hear_greeted(node_t *node, guint index, const mesh_note_t *note, msec_t asked)
{
    hear_anyone(node, note);
    for (guint i = 0; i < note->notice.jobs->len; i++) {
        const char *id = g_ptr_array_index(note->notice.jobs, i);
        if (!g_hash_table_contains(node->gone, id))
            log_info("event=notice job=%s from=%s", id, note->sender);
        node_remember(node, id, false);
    }
    cancelled_hear(&node->cancelled, index, &note->notice, asked, clock_steady());
}

static bool greet(const greeting_t *greeting, int fd)
{
    node_t *node = greeting->node;
    msec_t asked = clock_steady();
    GByteArray *frame = compose_greeting(greeting);
    mesh_note_t note;
    bool answered = converse(fd, frame, &note);
    g_byte_array_unref(frame);
    if (!answered)
        return false;
    pthread_mutex_lock(&node->lock);
    hear_greeted(node, greeting->index, &note, asked);
    pthread_mutex_unlock(&node->lock);
    mesh_note_clear(&note);
    return true;
}

/* Every controller asks every other, whatever the view, what cancellations it told its users of:
 * without the state service nothing else says so. It also hears whether the other has the state
 * service, and of a higher view: one that is refused alone can't see that it was replaced, and
 * would hold its workers, whom the new leader then takes for dead. */
static void *greet_run(void *data)
{
    const greeting_t *greeting = data;
    const sibling_t *sibling =
        &g_array_index(greeting->node->settings->siblings, sibling_t, greeting->index);
    int fd = -1;
    for (;;) {
        if (fd < 0)
            fd = mesh_connect(sibling->endpoint, MESH_TIMEOUT_MS);
        if (fd >= 0 && !greet(greeting, fd)) {
            close(fd);
            fd = -1;
        }
        node_sleep(GREET_GAP_MS);
    }
    return NULL;
}

void mesh_greet(node_t *node)
{
    for (guint i = 0; i < node->settings->siblings->len; i++) {
        greeting_t *greeting = g_new(greeting_t, 1);
        *greeting = (greeting_t){node, i};
        node_thread(greet_run, greeting);
    }
}

typedef struct {
    node_t *node;
    int fd;
} visit_t;

static void *visit_run(void *data)
{
    visit_t *visit = data;
    GByteArray *frame;
    while ((frame = mesh_receive(visit->fd))) {
        mesh_note_t note;
        bool valid = mesh_decode(frame->data, frame->len, &note);
        g_byte_array_unref(frame);
        if (!valid)
            break;
        GByteArray *answer =
            note.greeting ? answer_greeting(visit->node, &note) : answer_part(visit->node, &note);
        mesh_note_clear(&note);
        bool sent = answer && mesh_send(visit->fd, answer);
        if (answer)
            g_byte_array_unref(answer);
        if (!sent)
            break;
    }
    close(visit->fd);
    g_free(visit);
    return NULL;
}

void *mesh_serve_run(void *data)
{
    node_t *node = data;
    int listener = mesh_listen(node->settings->mesh_listen);
    if (listener < 0) {
        log_error("event=listen_failed address=%s", node->settings->mesh_listen);
        return NULL;
    }
    for (;;) {
        int fd = accept(listener, NULL, NULL);
        if (fd < 0) {
            node_sleep(MESH_RETRY_MS);
            continue;
        }
        mesh_set_timeout(fd, MESH_IDLE_MS);
        visit_t *visit = g_new(visit_t, 1);
        *visit = (visit_t){node, fd};
        pthread_detach(node_thread(visit_run, visit));
    }
    return NULL;
}

static const char *leader_endpoint(const node_t *node)
{
    for (guint i = 0; i < node->settings->siblings->len; i++) {
        const sibling_t *sibling = &g_array_index(node->settings->siblings, sibling_t, i);
        if (strcmp(sibling->name, node->view.leader) == 0)
            return sibling->endpoint;
    }
    return NULL;
}

static bool exchange(node_t *node, int fd, const GByteArray *frame)
{
    mesh_note_t note;
    if (!converse(fd, frame, &note))
        return false;
    pthread_mutex_lock(&node->lock);
    hear_leader(node, &note);
    pthread_mutex_unlock(&node->lock);
    mesh_note_clear(&note);
    return true;
}

void *mesh_run(void *data)
{
    node_t *node = data;
    http_client_t *client = http_client_new(2);
    char connected[ADDRESS_SIZE] = "";
    msec_t reached = clock_steady(), tried = 0, told_at = 0;
    uint64_t told = 0, generation = 0;
    int fd = -1;
    for (;;) {
        char endpoint[ADDRESS_SIZE] = "";
        GByteArray *frame = NULL;
        pthread_mutex_lock(&node->lock);
        if (!node->leading && node->loaded && node->own != G_MAXUINT && leader_endpoint(node)) {
            g_strlcpy(endpoint, leader_endpoint(node), sizeof endpoint);
            /* Rows are most of a message: with news of batches, else at a slower pace. */
            bool with_rows = node->uplink->received != told || node->generation != generation ||
                             clock_steady() - told_at > MESH_ROWS_MS;
            if (with_rows) {
                told = node->uplink->received;
                told_at = clock_steady();
                generation = node->generation;
            }
            frame = compose(node, node->uplink, with_rows);
        } else {
            node_wait(node, &node->mesh, MEMBER_TICK_MS);
        }
        pthread_mutex_unlock(&node->lock);
        if (!frame)
            continue;
        if (fd >= 0 && strcmp(endpoint, connected) != 0) {
            close(fd);
            fd = -1;
        }
        /* While mail goes, sockets are tried now and then only: behind a cut each try hangs. */
        bool by_mail = clock_steady() - reached > MAIL_AFTER_MS;
        if (fd < 0 && (!by_mail || clock_steady() - tried > MAIL_SOCKET_MS)) {
            fd = mesh_connect(endpoint, MESH_TIMEOUT_MS);
            g_strlcpy(connected, endpoint, sizeof connected);
            tried = clock_steady();
        }
        bool done = fd >= 0 && exchange(node, fd, frame);
        if (done)
            reached = clock_steady();
        else if (by_mail)
            exchange_mail(node, client, frame);
        g_byte_array_unref(frame);
        told_at = done ? told_at : 0;
        if (!done && fd >= 0) {
            close(fd);
            fd = -1;
        }
        node_sleep(done ? MESH_GAP_MS : MESH_RETRY_MS);
    }
    return NULL;
}
