#include "io/peer_protocol.h"

#include <string.h>

#include "peer_protocol_xdr.h"

static peer_task_ref ref_to_xdr(const task_ref_t *ref)
{
    return (peer_task_ref){(char *)ref->job, ref->task, ref->attempt};
}

static task_ref_t ref_from_xdr(const peer_task_ref *ref)
{
    return task_ref(ref->job, ref->task, ref->attempt);
}

static peer_resources resources_to_xdr(resources_t resources)
{
    return (peer_resources){resources.cpus, resources.gpus, resources.memory};
}

static resources_t resources_from_xdr(const peer_resources *resources)
{
    return (resources_t){resources->cpus, resources->gpus, resources->memory};
}

static void request_to_xdr(const placement_request_t *request, peer_placement_request *to)
{
    task_ref_t ref = task_ref(request->job, request->task, request->attempt);
    *to = (peer_placement_request){.team = (char *)request->team,
                                   .image = (char *)request->image,
                                   .zone = (char *)request->zone,
                                   .any_type = request->types == NULL,
                                   .need = resources_to_xdr(request->need),
                                   .spot = request->spot,
                                   .gang = request->gang,
                                   .priority = request->priority,
                                   .save_s = request->save_s,
                                   .checkpoint_s = request->checkpoint_s,
                                   .job_revision = request->job_revision,
                                   .preempt = request->may_preempt,
                                   .claims_guarantee = request->claims_guarantee,
                                   .preemptible_teams = request->preemptible_teams};
    to->ref = ref_to_xdr(&ref);
    to->ref.job = (char *)request->job;
    to->types.types_len = request->types ? g_strv_length(request->types) : 0;
    to->types.types_val = (peer_name *)request->types;
}

static void request_from_xdr(const peer_placement_request *from, placement_request_t *request)
{
    *request = (placement_request_t){.need = resources_from_xdr(&from->need),
                                     .spot = from->spot,
                                     .gang = from->gang,
                                     .priority = (priority_t)MIN(from->priority, PRIORITY_CRITICAL),
                                     .save_s = from->save_s,
                                     .checkpoint_s = from->checkpoint_s,
                                     .job_revision = from->job_revision,
                                     .may_preempt = from->preempt,
                                     .claims_guarantee = from->claims_guarantee,
                                     .preemptible_teams = from->preemptible_teams,
                                     .task = from->ref.task,
                                     .attempt = from->ref.attempt};
    g_strlcpy(request->job, from->ref.job, sizeof request->job);
    g_strlcpy(request->team, from->team, sizeof request->team);
    g_strlcpy(request->image, from->image, sizeof request->image);
    g_strlcpy(request->zone, from->zone, sizeof request->zone);
    if (!from->any_type) {
        request->types = g_new0(char *, from->types.types_len + 1);
        for (u_int i = 0; i < from->types.types_len; i++)
            request->types[i] = g_strdup(from->types.types_val[i]);
    }
}

static void item_to_xdr(const channel_item_t *item, peer_item *to)
{
    to->kind = (peer_kind)item->kind;
    switch (item->kind) {
    case CHANNEL_PLACEMENT_REQUEST:
        request_to_xdr(&item->request, &to->peer_item_u.request);
        break;
    case CHANNEL_ACKNOWLEDGE:
    case CHANNEL_WITHDRAW:
        to->peer_item_u.ref = ref_to_xdr(&item->ref);
        break;
    case CHANNEL_DRAIN:
    case CHANNEL_MACHINE_TERMINATED:
    case CHANNEL_CANCEL_DRAIN:
        to->peer_item_u.machine = (char *)item->machine;
        break;
    case CHANNEL_ATTEMPT_RESULT:
        to->peer_item_u.result = (peer_attempt_result){
            ref_to_xdr(&item->result.ref), item->result.cause, (char *)item->result.machine};
        break;
    }
}

static void item_from_xdr(const peer_item *from, channel_item_t *item)
{
    *item = (channel_item_t){.kind = (channel_item_kind_t)from->kind};
    switch (from->kind) {
    case PEER_PLACEMENT_REQUEST:
        request_from_xdr(&from->peer_item_u.request, &item->request);
        break;
    case PEER_ACKNOWLEDGE:
    case PEER_WITHDRAW:
        item->ref = ref_from_xdr(&from->peer_item_u.ref);
        break;
    case PEER_DRAIN:
    case PEER_MACHINE_TERMINATED:
    case PEER_CANCEL_DRAIN:
        g_strlcpy(item->machine, from->peer_item_u.machine, sizeof item->machine);
        break;
    case PEER_ATTEMPT_RESULT:
        item->result.ref = ref_from_xdr(&from->peer_item_u.result.ref);
        item->result.cause = (cause_t)MIN(from->peer_item_u.result.cause, CAUSE_ALONE);
        g_strlcpy(item->result.machine, from->peer_item_u.result.machine,
                  sizeof item->result.machine);
        break;
    }
}

static void summary_to_xdr(const machine_summary_t *summary, peer_machine_summary *to)
{
    *to = (peer_machine_summary){.machine = (char *)summary->machine,
                                 .type = (char *)summary->type,
                                 .zone = (char *)summary->zone,
                                 .spot = summary->spot,
                                 .open = summary->open,
                                 .draining = summary->draining,
                                 .total = resources_to_xdr(summary->total),
                                 .free = resources_to_xdr(summary->free),
                                 .attempts = summary->attempts,
                                 .silent_ms = summary->silent_ms,
                                 .idle_ms = summary->idle_ms,
                                 .known_ms = summary->known_ms};
}

static void summary_from_xdr(const peer_machine_summary *from, machine_summary_t *summary)
{
    *summary = (machine_summary_t){.spot = from->spot,
                                   .open = from->open,
                                   .draining = from->draining,
                                   .total = resources_from_xdr(&from->total),
                                   .free = resources_from_xdr(&from->free),
                                   .attempts = from->attempts,
                                   .silent_ms = from->silent_ms,
                                   .idle_ms = from->idle_ms,
                                   .known_ms = from->known_ms};
    g_strlcpy(summary->machine, from->machine, sizeof summary->machine);
    g_strlcpy(summary->type, from->type, sizeof summary->type);
    g_strlcpy(summary->zone, from->zone, sizeof summary->zone);
}

void peer_message_clear(peer_message_t *message)
{
    g_clear_pointer(&message->items, g_array_unref);
    summary_update_clear(&message->summaries);
    g_clear_pointer(&message->cpus_being_preempted, g_array_unref);
    cancellation_update_clear(&message->update);
    job_counts_update_clear(&message->counts);
}

/* The message without its lists, which take memory of their own. */
static peer_message message_to_xdr(const peer_message_t *message)
{
    return (peer_message){.sender = (char *)message->sender,
                          .incarnation = message->incarnation,
                          .view = message->view,
                          .number = message->number,
                          .ack = message->ack,
                          .kv_answer_age_ms = message->kv_answer_age_ms,
                          .hold_ms = message->hold_ms,
                          .worker_heartbeat_age_ms = message->worker_heartbeat_age_ms,
                          .is_heartbeat = message->is_heartbeat,
                          .acknowledged_incarnation = message->acknowledged_incarnation,
                          .acknowledged_index = message->acknowledged_index,
                          .update = {.after_index = message->update.after_index,
                                     .last_index = message->update.last_index,
                                     .whole = message->update.is_complete,
                                     .base_age = message->update.base_age},
                          .summaries_base = message->summaries.base,
                          .summaries_version = message->summaries.version,
                          .has_summaries = message->summaries.summaries != NULL};
}

/* NULL: it can't be told in the protocol. */
static GByteArray *serialize(peer_message *wire)
{
    gulong size = xdr_sizeof((xdrproc_t)xdr_peer_message, wire);
    GByteArray *frame = g_byte_array_sized_new((guint)size);
    g_byte_array_set_size(frame, (guint)size);
    XDR xdr;
    xdrmem_create(&xdr, (char *)frame->data, (u_int)size, XDR_ENCODE);
    if (!xdr_peer_message(&xdr, wire))
        g_clear_pointer(&frame, g_byte_array_unref);
    xdr_destroy(&xdr);
    return frame;
}

/* The list of the counts is to be freed. */
static void counts_to_xdr(const job_counts_update_t *counts, peer_message *wire)
{
    guint count = counts->jobs ? counts->jobs->len : 0;
    peer_job_counts *list = g_new0(peer_job_counts, count + 1);
    for (guint i = 0; i < count; i++) {
        const job_counts_t *from = &g_array_index(counts->jobs, job_counts_t, i);
        list[i] = (peer_job_counts){(char *)from->job, from->done, from->outstanding};
    }
    wire->counts_epoch = counts->epoch;
    wire->counts_version = counts->version;
    wire->counts.counts_len = count;
    wire->counts.counts_val = list;
}

GByteArray *peer_encode(const peer_message_t *message)
{
    guint items = message->items ? message->items->len : 0;
    const GArray *changed = message->summaries.summaries;
    guint summaries = changed ? changed->len : 0;
    peer_item *item_list = g_new0(peer_item, items + 1);
    peer_machine_summary *summary_list = g_new0(peer_machine_summary, summaries + 1);
    for (guint i = 0; i < items; i++)
        item_to_xdr(&g_array_index(message->items, channel_item_t, i), &item_list[i]);
    for (guint i = 0; i < summaries; i++)
        summary_to_xdr(&g_array_index(changed, machine_summary_t, i), &summary_list[i]);
    peer_message wire = message_to_xdr(message);
    wire.items.items_len = items;
    wire.items.items_val = item_list;
    wire.summaries.summaries_len = summaries;
    wire.summaries.summaries_val = summary_list;
    if (message->summaries.terminated) {
        wire.terminated.terminated_len = message->summaries.terminated->len;
        wire.terminated.terminated_val = (peer_name *)message->summaries.terminated->pdata;
    }
    wire.cpus_being_preempted.cpus_being_preempted_len =
        message->cpus_being_preempted ? message->cpus_being_preempted->len : 0;
    wire.cpus_being_preempted.cpus_being_preempted_val =
        message->cpus_being_preempted ? (double *)(void *)message->cpus_being_preempted->data
                                      : NULL;
    if (message->update.jobs) {
        wire.update.jobs.jobs_len = message->update.jobs->len;
        wire.update.jobs.jobs_val = (peer_name *)message->update.jobs->pdata;
    }
    counts_to_xdr(&message->counts, &wire);
    GByteArray *frame = serialize(&wire);
    g_free(wire.counts.counts_val);
    g_free(item_list);
    g_free(summary_list);
    return frame;
}

static job_counts_update_t counts_from_xdr(const peer_message *wire)
{
    job_counts_update_t update = {.epoch = wire->counts_epoch,
                                  .version = wire->counts_version,
                                  .jobs = g_array_new(FALSE, FALSE, sizeof(job_counts_t))};
    for (u_int i = 0; i < wire->counts.counts_len; i++) {
        const peer_job_counts *from = &wire->counts.counts_val[i];
        job_counts_t counts = {.done = from->done, .outstanding = from->outstanding};
        g_strlcpy(counts.job, from->job, sizeof counts.job);
        g_array_append_val(update.jobs, counts);
    }
    return update;
}

/* The summaries of a partition, with what it is stopping for others. */
static void take_summaries(const peer_message *wire, peer_message_t *message)
{
    summary_update_t *update = &message->summaries;
    update->summaries = g_array_new(FALSE, FALSE, sizeof(machine_summary_t));
    for (u_int i = 0; i < wire->summaries.summaries_len; i++) {
        machine_summary_t summary;
        summary_from_xdr(&wire->summaries.summaries_val[i], &summary);
        g_array_append_val(update->summaries, summary);
    }
    update->terminated = g_ptr_array_new_with_free_func(g_free);
    for (u_int i = 0; i < wire->terminated.terminated_len; i++)
        g_ptr_array_add(update->terminated, g_strdup(wire->terminated.terminated_val[i]));
    message->cpus_being_preempted = g_array_new(FALSE, FALSE, sizeof(double));
    g_array_append_vals(message->cpus_being_preempted,
                        wire->cpus_being_preempted.cpus_being_preempted_val,
                        wire->cpus_being_preempted.cpus_being_preempted_len);
}

static void take_message(const peer_message *wire, peer_message_t *message)
{
    g_strlcpy(message->sender, wire->sender, sizeof message->sender);
    message->incarnation = wire->incarnation;
    message->view = wire->view;
    message->number = wire->number;
    message->ack = wire->ack;
    message->kv_answer_age_ms = wire->kv_answer_age_ms;
    message->hold_ms = wire->hold_ms;
    message->worker_heartbeat_age_ms = wire->worker_heartbeat_age_ms;
    message->summaries.base = wire->summaries_base;
    message->summaries.version = wire->summaries_version;
    message->is_heartbeat = wire->is_heartbeat;
    message->acknowledged_incarnation = wire->acknowledged_incarnation;
    message->acknowledged_index = wire->acknowledged_index;
    message->update = (cancellation_update_t){.incarnation = wire->incarnation,
                                              .after_index = wire->update.after_index,
                                              .last_index = wire->update.last_index,
                                              .is_complete = wire->update.whole,
                                              .base_age = wire->update.base_age,
                                              .jobs = g_ptr_array_new_with_free_func(g_free)};
    for (u_int i = 0; i < wire->update.jobs.jobs_len; i++)
        g_ptr_array_add(message->update.jobs, g_strdup(wire->update.jobs.jobs_val[i]));
    message->counts = counts_from_xdr(wire);
    message->items = channel_items_new();
    for (u_int i = 0; i < wire->items.items_len; i++) {
        channel_item_t item;
        item_from_xdr(&wire->items.items_val[i], &item);
        g_array_append_val(message->items, item);
    }
    if (wire->has_summaries)
        take_summaries(wire, message);
}

bool peer_decode(const uint8_t *data, gsize size, peer_message_t *message)
{
    peer_message wire = {0};
    XDR xdr;
    *message = (peer_message_t){0};
    xdrmem_create(&xdr, (char *)data, (u_int)size, XDR_DECODE);
    bool decoded = xdr_peer_message(&xdr, &wire);
    if (decoded)
        take_message(&wire, message);
    xdr_destroy(&xdr);
    xdr_free((xdrproc_t)xdr_peer_message, (char *)&wire);
    return decoded;
}
