/* Scale-in: chooses the machines to terminate, terminates them and handles the cloud's
 * confirmation. Silent machines are found in silent_machines.c. */
#include "controller/autoscaler/scale_in.h"

#include "controller/autoscaler/retained_workers.h"
#include "controller/autoscaler/silent_machines.h"
#include "core/autoscaler/machine_summary_iter.h"
#include "io/clock.h"
#include "io/codec/codec.h"
#include "io/log.h"

/* Adds the machine unless it is already there or SCALE_IN_MAX_COUNT is reached. */
static void add_once(GPtrArray *machines, const char *machine)
{
    if (machines->len < SCALE_IN_MAX_COUNT &&
        !g_ptr_array_find_with_equal_func(machines, machine, g_str_equal, NULL))
        g_ptr_array_add(machines, g_strdup(machine));
}

/* Adds the failed machines and the stuck booting instances. Called with the lock held. */
static void add_failed_and_stuck(cloud_context_t *context, GPtrArray *machines, msec_t now)
{
    const controller_t *controller = context->controller;
    for (guint i = 0; i < context->failed_machines->len; i++) {
        const char *machine = g_ptr_array_index(context->failed_machines, i);
        if (!cloud_context_is_recently_terminated(context, machine, now))
            add_once(machines, machine);
    }
    g_autoptr(GPtrArray) stuck = autoscaler_stuck_instances(
        controller->autoscaler, controller->placement.machine_types, now); /* ids, owned */
    for (guint i = 0; i < stuck->len; i++)
        add_once(machines, g_ptr_array_index(stuck, i));
}

/* Returns whether surplus machines may be drained now. Called with the lock held. */
static bool may_drain_surplus(const controller_t *controller, msec_t now)
{
    msec_t kv_silent_ms = now - atomic_load(&controller->kv_store.answered_at);
    /* While the key-value store does not answer, no task can be started, so the machines whose
     * tasks end look like a surplus. */
    if (kv_silent_ms >= KV_WATCH_BLOCK_MS + KV_TIMEOUT_MS) {
        autoscaler_reset_scale_in_delay(controller->autoscaler);
        return false;
    }
    /* NEW_LEADER_SCALE_IN_DELAY_MS counts from the start of the leadership. If it counted from the
     * start of the view, nothing would be scaled in for minutes while a leader installs a new view
     * every half minute. */
    return now - controller->membership.leader_since_at > NEW_LEADER_SCALE_IN_DELAY_MS &&
           now - controller->placement.loaded_at > LEADER_GRACE_MS;
}

/* Drains machines after a surplus has lasted for the scale-in delay. Called with the lock held. */
static void drain_surplus(controller_t *controller, msec_t now)
{
    bool may_drain = may_drain_surplus(controller, now);
    for (guint drained = 0; may_drain && drained < DRAINS_PER_ROUND_COUNT; drained++) {
        guint partition = 0;
        machine_summary_t *surplus =
            autoscaler_next_scale_in(controller->autoscaler, controller->placement.leader,
                                     controller->placement.machine_types, now, clock_realtime());
        if (!surplus || !cloud_context_find_summary(controller, surplus->machine, &partition))
            break;
        log_info("event=scale_in_selected machine=%s", surplus->machine);
        /* From now on the machine gets no placement requests. It counts as draining only once its
         * partition's summaries show it as draining. */
        surplus->accepts_starts = false;
        cloud_context_send_item(controller, partition, CHANNEL_DRAIN, surplus->machine);
    }
}

/* Cancels the drains of the machines whose quarantine has ended. Called with the lock held. */
static void end_quarantines(controller_t *controller, msec_t now)
{
    leader_t *leader = controller->placement.leader;
    g_autoptr(GPtrArray) ended = leader_update_quarantines(leader, now); /* ids, owned */
    machine_summary_iter_t iter = {.leader = leader};
    for (machine_summary_t *summary = ended->len ? machine_summary_iter_next(&iter) : NULL; summary;
         summary = machine_summary_iter_next(&iter)) {
        if (!g_ptr_array_find_with_equal_func(ended, summary->machine, g_str_equal, NULL))
            continue;
        log_info("event=quarantine_ended machine=%s", summary->machine);
        /* From now on, the machine may get starts, so it is not terminated as an empty one. */
        summary->is_draining = false;
        cloud_context_send_item(controller, iter.partition, CHANNEL_CANCEL_DRAIN, summary->machine);
    }
}

/* Adds the machines to terminate for any reason other than silence, and starts to drain surplus and
 * quarantined machines. A drained machine is terminated only once its partition's summaries show it
 * as draining and without attempts, so that no start can still be on its way to it. Called with the
 * lock held. */
static void drain_and_add_terminable(cloud_context_t *context, GPtrArray *machines)
{
    controller_t *controller = context->controller;
    const leader_t *leader = controller->placement.leader;
    msec_t now = clock_steady();
    add_failed_and_stuck(context, machines, now);
    end_quarantines(controller, now);
    drain_surplus(controller, now);
    machine_summary_iter_t iter = {.leader = leader};
    for (const machine_summary_t *summary = machine_summary_iter_next(&iter); summary;
         summary = machine_summary_iter_next(&iter)) {
        if (summary->is_draining && summary->attempts == 0 &&
            !cloud_context_is_recently_terminated(context, summary->machine, now))
            add_once(machines, summary->machine);
        if (!summary->is_draining && leader_is_quarantined(leader, summary->machine)) {
            log_info("event=machine_quarantined machine=%s", summary->machine);
            cloud_context_send_item(controller, iter.partition, CHANNEL_DRAIN, summary->machine);
        }
    }
}

/* Returns the ids of the machines to terminate (transfer full), and sets *generation to the
 * placement generation in which they were chosen. */
static GPtrArray *choose_machines(cloud_context_t *context, uint64_t *generation)
{
    controller_t *controller = context->controller;
    GPtrArray *machines = g_ptr_array_new_with_free_func(g_free);
    g_autoptr(GPtrArray) silent = silent_machines_find(context);
    g_autoptr(GHashTable) retained = silent->len ? retained_workers_read(context) : NULL;
    pthread_mutex_lock(&controller->lock);
    *generation = controller->placement.generation;
    if (cloud_context_may_act(controller)) {
        drain_and_add_terminable(context, machines);
        for (guint i = 0; retained && i < silent->len; i++)
            if (!g_hash_table_contains(retained, g_ptr_array_index(silent, i)))
                add_once(machines, g_ptr_array_index(silent, i));
    }
    pthread_mutex_unlock(&controller->lock);
    return machines;
}

/* Handles the cloud's confirmation that the machines were terminated. It proves that every attempt
 * in a machine's record is over, even if no partition has a summary of the machine. Called with the
 * lock held. */
static void handle_terminated(controller_t *controller, const GPtrArray *machines)
{
    metrics_count(controller->metrics, COUNT_SCALED_IN, machines->len);
    for (guint i = 0; i < machines->len; i++) {
        const char *machine = g_ptr_array_index(machines, i);
        guint partition = 0;
        log_info("event=scaled_in machine=%s", machine);
        autoscaler_remove_booting(controller->autoscaler, machine);
        if (cloud_context_find_summary(controller, machine, &partition))
            cloud_context_send_item(controller, partition, CHANNEL_MACHINE_TERMINATED, machine);
    }
    controller_notify_placement(controller);
}

/* Records the machines as recently terminated, and removes the entries that are too old. */
static void record_terminated(cloud_context_t *context, const GPtrArray *machines)
{
    msec_t now = clock_steady();
    GHashTableIter iter;
    gpointer machine;
    g_hash_table_iter_init(&iter, context->recently_terminated);
    while (g_hash_table_iter_next(&iter, &machine, NULL))
        if (!cloud_context_is_recently_terminated(context, machine, now))
            g_hash_table_iter_remove(&iter);
    for (guint i = 0; i < machines->len; i++)
        g_hash_table_insert(context->recently_terminated, g_strdup(g_ptr_array_index(machines, i)),
                            g_memdup2(&now, sizeof now));
}

static void terminate_machines(cloud_context_t *context, const GPtrArray *machines,
                               uint64_t generation)
{
    controller_t *controller = context->controller;
    json_auto_t *body = codec_build_scale_in(machines);
    int status = cloud_context_call(context, "POST", "/hosts/release", body, NULL);
    pthread_mutex_lock(&controller->lock);
    if (status == HTTP_OK && cloud_context_may_act(controller) &&
        controller->placement.generation == generation) {
        handle_terminated(controller, machines);
        record_terminated(context, machines);
        g_ptr_array_set_size(context->failed_machines, 0);
    }
    pthread_mutex_unlock(&controller->lock);
}

bool scale_in_run(cloud_context_t *context)
{
    uint64_t generation = 0;
    g_autoptr(GPtrArray) machines = choose_machines(context, &generation); /* ids, owned */
    if (machines->len == 0)
        return false;
    terminate_machines(context, machines, generation);
    return true;
}
