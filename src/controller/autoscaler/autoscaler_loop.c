/* The autoscaler loop: the steps of a round and the interval between rounds. */
#include "controller/autoscaler/autoscaler_loop.h"

#include "controller/autoscaler/cloud_context.h"
#include "controller/autoscaler/machine_listing.h"
#include "controller/autoscaler/member_exclusion.h"
#include "controller/autoscaler/retained_workers.h"
#include "controller/autoscaler/scale_in.h"
#include "controller/autoscaler/scale_out.h"
#include "io/clock.h"

/* Returns whether this controller may act as the leader. Takes the lock. */
static bool may_act_as_leader(controller_t *controller)
{
    pthread_mutex_lock(&controller->lock);
    bool may_act = cloud_context_may_act(controller);
    pthread_mutex_unlock(&controller->lock);
    return may_act;
}

/* Waits gap_ms until the next round. The wait ends early when the data of a view have been loaded,
 * because a new leader may have pending jobs and no machines yet. */
static void wait_for_next_round(controller_t *controller, msec_t gap_ms)
{
    pthread_mutex_lock(&controller->lock);
    controller_wait(controller, &controller->autoscaler_ready, gap_ms);
    pthread_mutex_unlock(&controller->lock);
}

/* Runs one round and returns the number of milliseconds until the next one, at least min_gap_ms. */
static msec_t run_round(cloud_context_t *context, msec_t min_gap_ms)
{
    controller_t *controller = context->controller;
    msec_t now = clock_steady();
    if (context->machine_types_read_at == 0 ||
        now - context->machine_types_read_at > MACHINE_TYPES_GAP_MS)
        machine_listing_refresh_types(context);
    bool is_leader = may_act_as_leader(controller);
    if (is_leader && now - context->listed_at > CLOUD_LIST_GAP_MS) {
        machine_listing_refresh(context);
        member_exclusion_update(context, now);
    }
    retained_workers_publish(context, now);
    if (!is_leader)
        return MAX(min_gap_ms, CLOUD_IDLE_GAP_MS);
    bool has_scaled_out = scale_out_run(context);
    bool has_scaled_in = scale_in_run(context);
    if (has_scaled_out || has_scaled_in)
        return min_gap_ms;
    return controller_scale_pause(controller, min_gap_ms);
}

void *autoscaler_loop_run(void *data)
{
    controller_t *controller = data;
    cloud_context_t context;
    cloud_context_init(&context, controller);
    msec_t min_gap_ms =
        MAX(CLOUD_GAP_MS, (msec_t)(CLOUD_ROUND_MS / controller->settings->cloud_rps));
    for (;;)
        wait_for_next_round(controller, run_round(&context, min_gap_ms));
    return NULL;
}
