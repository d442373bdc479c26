#include "io/peer_protocol.h"

#include <string.h>

#include "io/peer_wire_internal.h"
#include "peer_protocol_xdr.h"

void peer_message_clear(peer_message_t *message)
{
    g_clear_pointer(&message->items, g_array_unref);
    summary_update_clear(&message->summaries);
    g_clear_pointer(&message->cpus_being_preempted, g_array_unref);
    cancellation_update_clear(&message->cancellations);
    job_counts_update_clear(&message->job_counts);
}

/* Returns the message without its lists. The result borrows the sender's name. */
static wire_message encode_scalars(const peer_message_t *message)
{
    return (wire_message){
        .sender = (char *)message->sender,
        .incarnation = message->incarnation,
        .view_number = message->view_number,
        .batch_number = message->batch_number,
        .acknowledged_batch = message->acknowledged_batch,
        .kv_answer_age_ms = message->kv_answer_age_ms,
        .answer_delay_ms = message->answer_delay_ms,
        .worker_heartbeat_age_ms = message->worker_heartbeat_age_ms,
        .is_heartbeat = message->is_heartbeat,
        .known_log_incarnation = message->known_log_incarnation,
        .known_log_index = message->known_log_index,
        .job_counts_epoch = message->job_counts.epoch,
        .job_counts_version = message->job_counts.version,
        .has_summaries = message->summaries.summaries != NULL,
        .summaries_base = message->summaries.base,
        .summaries_version = message->summaries.version,
    };
}

/* Encodes the items. The list borrows their strings; free_lists() frees its memory. */
static void encode_items(const GArray *items, wire_message *wire)
{
    guint count = items ? items->len : 0;
    wire_item *list = g_new0(wire_item, count + 1);
    for (guint i = 0; i < count; i++)
        peer_wire_encode_item(&g_array_index(items, channel_item_t, i), &list[i]);
    wire->items.items_len = count;
    wire->items.items_val = list;
}

/* Encodes the summaries. The list borrows their strings; free_lists() frees its memory. */
static void encode_summaries(const summary_update_t *update, wire_message *wire)
{
    guint count = update->summaries ? update->summaries->len : 0;
    wire_machine_summary *list = g_new0(wire_machine_summary, count + 1);
    for (guint i = 0; i < count; i++)
        peer_wire_encode_summary(&g_array_index(update->summaries, machine_summary_t, i), &list[i]);
    wire->summaries.summaries_len = count;
    wire->summaries.summaries_val = list;
    if (update->terminated) {
        wire->terminated.terminated_len = update->terminated->len;
        wire->terminated.terminated_val = (wire_name *)update->terminated->pdata;
    }
}

/* Encodes the array, whose memory is borrowed. */
static void encode_cpus_being_preempted(const GArray *cpus, wire_message *wire)
{
    if (!cpus)
        return;
    wire->cpus_being_preempted.cpus_being_preempted_len = cpus->len;
    wire->cpus_being_preempted.cpus_being_preempted_val = (double *)(void *)cpus->data;
}

/* Encodes the update, whose array of jobs is borrowed. The incarnation of the log is that of the
 * sender, which encode_scalars() encodes. */
static void encode_cancellations(const cancellation_update_t *update, wire_message *wire)
{
    wire->cancellations.after_index = update->after_index;
    wire->cancellations.last_index = update->last_index;
    wire->cancellations.is_complete = update->is_complete;
    wire->cancellations.complete_since_age_ms = update->complete_since_age_ms;
    if (update->jobs) {
        wire->cancellations.jobs.jobs_len = update->jobs->len;
        wire->cancellations.jobs.jobs_val = (wire_name *)update->jobs->pdata;
    }
}

/* Encodes the counts. The list borrows their strings; free_lists() frees its memory. */
static void encode_job_counts(const job_counts_update_t *update, wire_message *wire)
{
    guint count = update->jobs ? update->jobs->len : 0;
    wire_job_counts *list = g_new0(wire_job_counts, count + 1);
    for (guint i = 0; i < count; i++) {
        const job_counts_t *from = &g_array_index(update->jobs, job_counts_t, i);
        list[i] = (wire_job_counts){
            .job = (char *)from->job, .done = from->done, .outstanding = from->outstanding};
    }
    wire->job_counts.job_counts_len = count;
    wire->job_counts.job_counts_val = list;
}

/* Frees the lists that were allocated for encoding. The others are borrowed from the message. */
static void free_lists(wire_message *wire)
{
    g_free(wire->items.items_val);
    g_free(wire->summaries.summaries_val);
    g_free(wire->job_counts.job_counts_val);
}

/* Returns the bytes of the message (transfer full), or NULL if a value exceeds a limit of the
 * protocol. */
static GByteArray *serialize(wire_message *wire)
{
    gulong size = xdr_sizeof((xdrproc_t)xdr_wire_message, wire);
    GByteArray *frame = g_byte_array_sized_new((guint)size);
    g_byte_array_set_size(frame, (guint)size);
    XDR xdr;
    xdrmem_create(&xdr, (char *)frame->data, (u_int)size, XDR_ENCODE);
    if (!xdr_wire_message(&xdr, wire))
        g_clear_pointer(&frame, g_byte_array_unref);
    xdr_destroy(&xdr);
    return frame;
}

GByteArray *peer_encode(const peer_message_t *message)
{
    wire_message wire = encode_scalars(message);
    encode_items(message->items, &wire);
    encode_summaries(&message->summaries, &wire);
    encode_cpus_being_preempted(message->cpus_being_preempted, &wire);
    encode_cancellations(&message->cancellations, &wire);
    encode_job_counts(&message->job_counts, &wire);
    GByteArray *frame = serialize(&wire);
    free_lists(&wire);
    return frame;
}

static void decode_scalars(const wire_message *wire, peer_message_t *message)
{
    g_strlcpy(message->sender, wire->sender, sizeof message->sender);
    message->incarnation = wire->incarnation;
    message->view_number = wire->view_number;
    message->batch_number = wire->batch_number;
    message->acknowledged_batch = wire->acknowledged_batch;
    message->kv_answer_age_ms = wire->kv_answer_age_ms;
    message->answer_delay_ms = wire->answer_delay_ms;
    message->worker_heartbeat_age_ms = wire->worker_heartbeat_age_ms;
    message->is_heartbeat = wire->is_heartbeat;
    message->known_log_incarnation = wire->known_log_incarnation;
    message->known_log_index = wire->known_log_index;
    message->summaries.base = wire->summaries_base;
    message->summaries.version = wire->summaries_version;
}

/* Returns copies of the names: an array that owns its strings (transfer full). */
static GPtrArray *decode_names(const wire_name *names, u_int count)
{
    GPtrArray *copies = g_ptr_array_new_with_free_func(g_free);
    for (u_int i = 0; i < count; i++)
        g_ptr_array_add(copies, g_strdup(names[i]));
    return copies;
}

static cancellation_update_t decode_cancellations(const wire_message *wire)
{
    const wire_cancellation_update *from = &wire->cancellations;
    return (cancellation_update_t){.incarnation = wire->incarnation,
                                   .after_index = from->after_index,
                                   .last_index = from->last_index,
                                   .is_complete = from->is_complete,
                                   .complete_since_age_ms = from->complete_since_age_ms,
                                   .jobs = decode_names(from->jobs.jobs_val, from->jobs.jobs_len)};
}

static job_counts_update_t decode_job_counts(const wire_message *wire)
{
    job_counts_update_t update = {.epoch = wire->job_counts_epoch,
                                  .version = wire->job_counts_version,
                                  .jobs = g_array_new(FALSE, FALSE, sizeof(job_counts_t))};
    for (u_int i = 0; i < wire->job_counts.job_counts_len; i++) {
        const wire_job_counts *from = &wire->job_counts.job_counts_val[i];
        job_counts_t counts = {.done = from->done, .outstanding = from->outstanding};
        g_strlcpy(counts.job, from->job, sizeof counts.job);
        g_array_append_val(update.jobs, counts);
    }
    return update;
}

/* Returns an array of channel_item_t (transfer full). */
static GArray *decode_items(const wire_message *wire)
{
    GArray *items = channel_items_new();
    for (u_int i = 0; i < wire->items.items_len; i++) {
        channel_item_t item;
        peer_wire_decode_item(&wire->items.items_val[i], &item);
        g_array_append_val(items, item);
    }
    return items;
}

/* Returns an array of machine_summary_t (transfer full). */
static GArray *decode_summaries(const wire_message *wire)
{
    GArray *summaries = g_array_new(FALSE, FALSE, sizeof(machine_summary_t));
    for (u_int i = 0; i < wire->summaries.summaries_len; i++) {
        machine_summary_t summary;
        peer_wire_decode_summary(&wire->summaries.summaries_val[i], &summary);
        g_array_append_val(summaries, summary);
    }
    return summaries;
}

/* Returns an array of double (transfer full). */
static GArray *decode_cpus_being_preempted(const wire_message *wire)
{
    GArray *cpus = g_array_new(FALSE, FALSE, sizeof(double));
    g_array_append_vals(cpus, wire->cpus_being_preempted.cpus_being_preempted_val,
                        wire->cpus_being_preempted.cpus_being_preempted_len);
    return cpus;
}

static void decode_message(const wire_message *wire, peer_message_t *message)
{
    decode_scalars(wire, message);
    message->cancellations = decode_cancellations(wire);
    message->job_counts = decode_job_counts(wire);
    message->items = decode_items(wire);
    if (!wire->has_summaries)
        return;
    message->summaries.summaries = decode_summaries(wire);
    message->summaries.terminated =
        decode_names(wire->terminated.terminated_val, wire->terminated.terminated_len);
    message->cpus_being_preempted = decode_cpus_being_preempted(wire);
}

bool peer_decode(const uint8_t *data, gsize size, peer_message_t *message)
{
    wire_message wire = {0};
    XDR xdr;
    *message = (peer_message_t){0};
    xdrmem_create(&xdr, (char *)data, (u_int)size, XDR_DECODE);
    bool is_decoded = xdr_wire_message(&xdr, &wire);
    if (is_decoded)
        decode_message(&wire, message);
    xdr_destroy(&xdr);
    xdr_free((xdrproc_t)xdr_wire_message, (char *)&wire);
    return is_decoded;
}
