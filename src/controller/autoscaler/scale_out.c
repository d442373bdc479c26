/* Chooses scale-out requests, sends them and handles their answers. */
#include "controller/autoscaler/scale_out.h"

#include "io/clock.h"
#include "io/codec/codec.h"
#include "io/log.h"

/* Instead of scaling out, cancels the drain of one machine that still has work and can serve the
 * demand of the request, because it is available sooner than any new machine. Returns false if
 * there is no such machine. Called with the lock held. */
static bool cancel_drain(controller_t *controller, const scale_out_request_t *request, msec_t now)
{
    guint partition = 0;
    const machine_summary_t *machine =
        autoscaler_drain_to_cancel(controller->placement.leader, request, now);
    if (!machine || !cloud_context_find_summary(controller, machine->machine, &partition))
        return false;
    log_info("event=drain_cancelled machine=%s", machine->machine);
    cloud_context_send_item(controller, partition, CHANNEL_CANCEL_DRAIN, machine->machine);
    return true;
}

/* Returns whether all machines that an earlier leader scaled out are known by now. In the first
 * view there was no earlier leader that could have scaled out, so a list that was read since the
 * data were loaded shows all machines. Called with the lock held. */
static bool is_fleet_known(const cloud_context_t *context, msec_t now)
{
    const controller_t *controller = context->controller;
    return now - controller->placement.loaded_at > LEADER_GRACE_MS ||
           (controller->membership.view.number == 1 &&
            context->listed_at > controller->placement.loaded_at);
}

/* Chooses the next scale-out request and stores it in the pending one. Returns false if none is to
 * be sent. Called with the lock held. */
static bool choose_request(cloud_context_t *context, msec_t now)
{
    controller_t *controller = context->controller;
    pending_scale_out_t *pending = &context->pending_scale_out;
    if (pending->is_pending || !cloud_context_may_act(controller) || !is_fleet_known(context, now))
        return false;
    if (!autoscaler_next_scale_out(controller->autoscaler, controller->placement.leader,
                                   controller->placement.machine_types, now, clock_realtime(),
                                   &pending->request))
        return false;
    return !cancel_drain(controller, &pending->request, now);
}

/* Drops a pending request of an earlier generation. If none is pending, prepares the next one. */
static void prepare_request(cloud_context_t *context)
{
    controller_t *controller = context->controller;
    pending_scale_out_t *pending = &context->pending_scale_out;
    pthread_mutex_lock(&controller->lock);
    /* A request of an earlier generation need not be repeated: if the cloud executed it, its
     * machines will appear in the list. */
    if (pending->is_pending && pending->generation != controller->placement.generation)
        pending->is_pending = false;
    if (choose_request(context, clock_steady())) {
        /* The view's number is unique to this leadership, so the key was never used before. */
        context->idempotency_key_count++;
        g_snprintf(pending->idempotency_key, sizeof pending->idempotency_key,
                   "c-%" G_GUINT64_FORMAT "-%u", controller->membership.view.number,
                   context->idempotency_key_count);
        pending->is_pending = true;
        pending->generation = controller->placement.generation;
    }
    pthread_mutex_unlock(&controller->lock);
}

static int send_request(cloud_context_t *context, json_t **answer)
{
    const pending_scale_out_t *pending = &context->pending_scale_out;
    const scale_out_request_t *request = &pending->request;
    json_auto_t *body = codec_build_scale_out(pending->idempotency_key, request->type,
                                              request->zone, request->is_spot, request->count);
    return cloud_context_call(context, "POST", "/hosts", body, answer);
}

static void handle_scaled_out(cloud_context_t *context, const json_t *answer)
{
    controller_t *controller = context->controller;
    const scale_out_request_t *request = &context->pending_scale_out.request;
    gsize accepted_count;
    /* Of const char *, borrowed from the answer. */
    g_autoptr(GPtrArray) machines = codec_parse_scale_out_answer(answer, &accepted_count);
    pthread_mutex_lock(&controller->lock);
    msec_t now = clock_steady();
    if (cloud_context_may_act(controller)) {
        for (guint i = 0; i < machines->len; i++)
            autoscaler_add_booting(controller->autoscaler, g_ptr_array_index(machines, i),
                                   request->type, request->zone, request->is_spot, now);
        if (accepted_count < request->count)
            autoscaler_record_refusal(controller->autoscaler, request, now + CAPACITY_RETRY_MS);
    }
    pthread_mutex_unlock(&controller->lock);
    metrics_count(controller->metrics, COUNT_SCALED_OUT, accepted_count);
    log_info(
        "event=scaled_out idempotency_key=%s type=%s zone=%s spot=%d requested=%u accepted=%zu",
        context->pending_scale_out.idempotency_key, request->type, request->zone, request->is_spot,
        request->count, accepted_count);
}

/* Handles an answer by which the cloud refused the whole request. */
static void handle_refused(cloud_context_t *context, int status)
{
    controller_t *controller = context->controller;
    const scale_out_request_t *request = &context->pending_scale_out.request;
    pthread_mutex_lock(&controller->lock);
    if (controller->autoscaler)
        autoscaler_record_refusal(controller->autoscaler, request,
                                  clock_steady() + CAPACITY_RETRY_MS);
    pthread_mutex_unlock(&controller->lock);
    log_info("event=no_capacity type=%s zone=%s spot=%d status=%d", request->type, request->zone,
             request->is_spot, status);
}

static bool is_refusal(int status, const json_t *answer)
{
    return status == HTTP_BAD_REQUEST ||
           (status == HTTP_UNAVAILABLE && codec_is_no_capacity(answer));
}

bool scale_out_run(cloud_context_t *context)
{
    prepare_request(context);
    pending_scale_out_t *pending = &context->pending_scale_out;
    if (!pending->is_pending)
        return false;
    json_auto_t *answer = NULL;
    int status = send_request(context, &answer);
    if (status == HTTP_OK) {
        handle_scaled_out(context, answer);
        pending->is_pending = false;
    } else if (is_refusal(status, answer)) {
        handle_refused(context, status);
        pending->is_pending = false;
    }
    return true;
}
