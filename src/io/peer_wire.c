#include "io/peer_wire_internal.h"

#include <string.h>

/* The kinds of items are converted by a cast, so both enumerations must have equal values. */
G_STATIC_ASSERT((int)WIRE_PLACEMENT_REQUEST == (int)CHANNEL_PLACEMENT_REQUEST);
G_STATIC_ASSERT((int)WIRE_ACKNOWLEDGE == (int)CHANNEL_ACKNOWLEDGE);
G_STATIC_ASSERT((int)WIRE_WITHDRAW == (int)CHANNEL_WITHDRAW);
G_STATIC_ASSERT((int)WIRE_DRAIN == (int)CHANNEL_DRAIN);
G_STATIC_ASSERT((int)WIRE_MACHINE_TERMINATED == (int)CHANNEL_MACHINE_TERMINATED);
G_STATIC_ASSERT((int)WIRE_CANCEL_DRAIN == (int)CHANNEL_CANCEL_DRAIN);
G_STATIC_ASSERT((int)WIRE_ATTEMPT_RESULT == (int)CHANNEL_ATTEMPT_RESULT);

static wire_task_ref encode_ref(const task_ref_t *ref)
{
    return (wire_task_ref){(char *)ref->job, ref->task, ref->attempt};
}

static task_ref_t decode_ref(const wire_task_ref *ref)
{
    return task_ref(ref->job, ref->task, ref->attempt);
}

static wire_resources encode_resources(resources_t resources)
{
    return (wire_resources){resources.cpus, resources.gpus, resources.memory};
}

static resources_t decode_resources(const wire_resources *resources)
{
    return (resources_t){resources->cpus, resources->gpus, resources->memory};
}

static void encode_request(const placement_request_t *request, wire_placement_request *to)
{
    *to = (wire_placement_request){
        .ref = {(char *)request->job, request->task, request->attempt},
        .team = (char *)request->team,
        .image = (char *)request->image,
        .zone = (char *)request->zone,
        .any_type = request->types == NULL,
        .need = encode_resources(request->need),
        .spot = request->may_use_spot,
        .gang = request->is_gang,
        .priority = request->priority,
        .save_s = request->save_s,
        .checkpoint_s = request->checkpoint_s,
        .job_revision = request->job_revision,
        .may_preempt = request->may_preempt,
        .claims_guarantee = request->claims_guarantee,
        .preemptible_teams = request->preemptible_teams,
    };
    to->types.types_len = request->types ? g_strv_length(request->types) : 0;
    to->types.types_val = (wire_name *)request->types;
}

/* Returns the machine types of a request, a NULL-terminated array of strings (transfer full). */
static char **decode_types(const wire_placement_request *from)
{
    char **types = g_new0(char *, from->types.types_len + 1);
    for (u_int i = 0; i < from->types.types_len; i++)
        types[i] = g_strdup(from->types.types_val[i]);
    return types;
}

static void decode_request(const wire_placement_request *from, placement_request_t *request)
{
    *request = (placement_request_t){
        .need = decode_resources(&from->need),
        .may_use_spot = from->spot,
        .is_gang = from->gang,
        .priority = (priority_t)MIN(from->priority, PRIORITY_CRITICAL),
        .save_s = from->save_s,
        .checkpoint_s = from->checkpoint_s,
        .job_revision = from->job_revision,
        .may_preempt = from->may_preempt,
        .claims_guarantee = from->claims_guarantee,
        .preemptible_teams = from->preemptible_teams,
        .task = from->ref.task,
        .attempt = from->ref.attempt,
    };
    g_strlcpy(request->job, from->ref.job, sizeof request->job);
    g_strlcpy(request->team, from->team, sizeof request->team);
    g_strlcpy(request->image, from->image, sizeof request->image);
    g_strlcpy(request->zone, from->zone, sizeof request->zone);
    if (!from->any_type)
        request->types = decode_types(from);
}

static wire_attempt_result encode_result(const attempt_result_t *result)
{
    return (wire_attempt_result){.ref = encode_ref(&result->ref),
                                 .cause = result->cause,
                                 .machine = (char *)result->machine};
}

static attempt_result_t decode_result(const wire_attempt_result *from)
{
    attempt_result_t result = {.ref = decode_ref(&from->ref),
                               .cause = (cause_t)MIN(from->cause, CAUSE_GANG_INCOMPLETE)};
    g_strlcpy(result.machine, from->machine, sizeof result.machine);
    return result;
}

void peer_wire_encode_item(const channel_item_t *item, wire_item *to)
{
    to->kind = (wire_item_kind)item->kind;
    switch (item->kind) {
    case CHANNEL_PLACEMENT_REQUEST:
        encode_request(&item->request, &to->wire_item_u.request);
        break;
    case CHANNEL_ACKNOWLEDGE:
    case CHANNEL_WITHDRAW:
        to->wire_item_u.ref = encode_ref(&item->ref);
        break;
    case CHANNEL_DRAIN:
    case CHANNEL_MACHINE_TERMINATED:
    case CHANNEL_CANCEL_DRAIN:
        to->wire_item_u.machine = (char *)item->machine;
        break;
    case CHANNEL_ATTEMPT_RESULT:
        to->wire_item_u.result = encode_result(&item->result);
        break;
    }
}

void peer_wire_decode_item(const wire_item *from, channel_item_t *item)
{
    *item = (channel_item_t){.kind = (channel_item_kind_t)from->kind};
    switch (from->kind) {
    case WIRE_PLACEMENT_REQUEST:
        decode_request(&from->wire_item_u.request, &item->request);
        break;
    case WIRE_ACKNOWLEDGE:
    case WIRE_WITHDRAW:
        item->ref = decode_ref(&from->wire_item_u.ref);
        break;
    case WIRE_DRAIN:
    case WIRE_MACHINE_TERMINATED:
    case WIRE_CANCEL_DRAIN:
        g_strlcpy(item->machine, from->wire_item_u.machine, sizeof item->machine);
        break;
    case WIRE_ATTEMPT_RESULT:
        item->result = decode_result(&from->wire_item_u.result);
        break;
    }
}

void peer_wire_encode_summary(const machine_summary_t *summary, wire_machine_summary *to)
{
    *to = (wire_machine_summary){
        .machine = (char *)summary->machine,
        .type = (char *)summary->type,
        .zone = (char *)summary->zone,
        .spot = summary->is_spot,
        .open = summary->accepts_starts,
        .draining = summary->is_draining,
        .total = encode_resources(summary->total),
        .free = encode_resources(summary->free),
        .attempts = summary->attempts,
        .silent_ms = summary->silent_ms,
        .idle_ms = summary->idle_ms,
        .known_ms = summary->known_ms,
    };
}

void peer_wire_decode_summary(const wire_machine_summary *from, machine_summary_t *summary)
{
    *summary = (machine_summary_t){
        .is_spot = from->spot,
        .accepts_starts = from->open,
        .is_draining = from->draining,
        .total = decode_resources(&from->total),
        .free = decode_resources(&from->free),
        .attempts = from->attempts,
        .silent_ms = from->silent_ms,
        .idle_ms = from->idle_ms,
        .known_ms = from->known_ms,
    };
    g_strlcpy(summary->machine, from->machine, sizeof summary->machine);
    g_strlcpy(summary->type, from->type, sizeof summary->type);
    g_strlcpy(summary->zone, from->zone, sizeof summary->zone);
}
