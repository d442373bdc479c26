/* Rentals: one at a time, repeated under its name until it is answered. */
#include "controller/autoscaler/autoscaler_loop_internal.h"

#include "io/clock.h"
#include "io/codec/codec.h"
#include "io/log.h"

/* With the lock held: a machine that is being drained is nearer than any to be scaled out. */
static bool cancel_drain(controller_t *controller)
{
    for (guint i = 0; i < controller->placement.leader->summaries->len; i++) {
        const GArray *summaries = g_ptr_array_index(controller->placement.leader->summaries, i);
        for (guint k = 0; summaries && k < summaries->len; k++) {
            const machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, k);
            if (!summary->draining || summary->attempts == 0 ||
                leader_is_quarantined(controller->placement.leader, summary->machine))
                continue;
            log_info("event=drain_cancelled machine=%s", summary->machine);
            cloud_send_machine_item(controller, i, CHANNEL_CANCEL_DRAIN, summary->machine);
            return true;
        }
    }
    return false;
}

static void choose_scale_out(cloud_t *cloud)
{
    controller_t *controller = cloud->controller;
    pthread_mutex_lock(&controller->lock);
    msec_t now = clock_steady();
    pending_scale_out_t *pending = &cloud->pending_scale_out;
    if (pending->is_pending && pending->generation != controller->placement.generation)
        pending->is_pending =
            false; /* if it was carried out, its machines will appear in the list */
    /* Before the first view nobody scaled out: what the list shows is all there is. */
    bool is_grace_over = now - controller->placement.loaded_at > LEADER_GRACE_MS ||
                         (controller->membership.view.number == 1 &&
                          cloud->listed_at > controller->placement.loaded_at);
    if (!pending->is_pending && cloud_leads(controller) && is_grace_over &&
        autoscaler_next_scale_out(controller->autoscaler, controller->placement.leader,
                                  controller->placement.machine_types, now, clock_day(),
                                  &pending->request) &&
        !cancel_drain(controller)) {
        /* The number is this leadership's alone, so the name can never have been used. */
        g_snprintf(pending->idempotency_key, sizeof pending->idempotency_key,
                   "c-%" G_GUINT64_FORMAT "-%u", controller->membership.view.number,
                   ++cloud->idempotency_key_count);
        pending->is_pending = true;
        pending->generation = controller->placement.generation;
    }
    pthread_mutex_unlock(&controller->lock);
}

static void handle_scale_out_answer(cloud_t *cloud, const json_t *answer)
{
    controller_t *controller = cloud->controller;
    const scale_out_request_t *request = &cloud->pending_scale_out.request;
    const json_t *names = json_object_get(answer, "Winches");
    size_t i;
    json_t *name;
    pthread_mutex_lock(&controller->lock);
    msec_t now = clock_steady();
    if (cloud_leads(controller)) {
        json_array_foreach(names, i, name) if (json_is_string(name))
            autoscaler_add_booting(controller->autoscaler, json_string_value(name), request->type,
                                   request->zone, request->spot, now);
        if (json_array_size(names) < request->count)
            autoscaler_record_refusal(controller->autoscaler, request, now + CAPACITY_RETRY_MS);
    }
    pthread_mutex_unlock(&controller->lock);
    metrics_count(controller->metrics, COUNT_SCALED_OUT, json_array_size(names));
    log_info("event=scaled_out idempotency_key=%s type=%s zone=%s spot=%d asked=%u got=%zu",
             cloud->pending_scale_out.idempotency_key, request->type, request->zone, request->spot,
             request->count, json_array_size(names));
}

bool cloud_scale_out(cloud_t *cloud)
{
    choose_scale_out(cloud);
    pending_scale_out_t *pending = &cloud->pending_scale_out;
    if (!pending->is_pending)
        return false;
    json_t *answer = NULL;
    json_t *body =
        codec_build_scale_out(pending->idempotency_key, pending->request.type,
                              pending->request.zone, pending->request.spot, pending->request.count);
    int status = cloud_call(cloud, "POST", "/hosts", body, &answer);
    json_decref(body);
    const char *error = json_string_value(json_object_get(answer, "error"));
    if (status == HTTP_OK) {
        handle_scale_out_answer(cloud, answer);
        pending->is_pending = false;
    } else if (status == HTTP_BAD_REQUEST ||
               (status == HTTP_UNAVAILABLE && g_strcmp0(error, "no capacity") == 0)) {
        pthread_mutex_lock(&cloud->controller->lock);
        if (cloud->controller->autoscaler)
            autoscaler_record_refusal(cloud->controller->autoscaler, &pending->request,
                                      clock_steady() + CAPACITY_RETRY_MS);
        pthread_mutex_unlock(&cloud->controller->lock);
        log_info("event=no_capacity type=%s zone=%s spot=%d status=%d", pending->request.type,
                 pending->request.zone, pending->request.spot, status);
        pending->is_pending = false;
    }
    json_decref(answer);
    return true;
}
