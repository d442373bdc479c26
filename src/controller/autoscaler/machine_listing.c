/* Reads the cloud's lists of machine types and of machines, which show the machines that are
 * booting, have failed or no longer exist. */
#include "controller/autoscaler/machine_listing.h"

#include "core/autoscaler/machine_summary_iter.h"
#include "io/clock.h"
#include "io/codec/codec.h"

/* Replaces the controller's machine types with the elements of machine_types, which it takes over.
 * Called with the lock held. */
static void install_machine_types(controller_t *controller, GArray *machine_types)
{
    GArray *installed = controller->placement.machine_types; /* machine_type_t, zones owned */
    for (guint i = 0; i < installed->len; i++)
        g_strfreev(g_array_index(installed, machine_type_t, i).zones);
    g_array_set_size(installed, 0);
    g_array_append_vals(installed, machine_types->data, machine_types->len);
    /* The copies now own the lists of zones, so they must not be freed with machine_types. */
    g_array_set_clear_func(machine_types, NULL);
    if (controller->placement.partition)
        partition_apply_machine_types(controller->placement.partition);
}

void machine_listing_refresh_types(cloud_context_t *context)
{
    json_auto_t *answer = NULL;
    if (cloud_context_call(context, "GET", "/flavors", NULL, &answer) != HTTP_OK)
        return;
    g_autoptr(GArray) machine_types = codec_parse_machine_types(answer); /* machine_type_t */
    if (!machine_types || machine_types->len == 0)
        return;
    pthread_mutex_lock(&context->controller->lock);
    install_machine_types(context->controller, machine_types);
    pthread_mutex_unlock(&context->controller->lock);
    context->machine_types_read_at = clock_steady();
}

/* Reads the page of the list that follows the last of the machines, and appends its machines. Sets
 * *has_more to whether another page follows. Returns false if the page could not be read. */
static bool read_page(cloud_context_t *context, GArray *machines, bool *has_more)
{
    char path[URL_BYTES];
    json_auto_t *answer = NULL;
    guint count = machines->len;
    const char *last = count ? g_array_index(machines, cloud_machine_t, count - 1).machine : NULL;
    g_snprintf(path, sizeof path, "/hosts?%s%s%sLimit=%d", last ? "Since=" : "", last ? last : "",
               last ? "&" : "", LIST_PAGE_COUNT);
    if (cloud_context_call(context, "GET", path, NULL, &answer) != HTTP_OK ||
        !codec_parse_cloud_machines(answer, machines, has_more))
        return false;
    *has_more = *has_more && machines->len > count;
    return true;
}

/* Reads the complete list of machines. Returns false if a page could not be read. */
static bool read_machines(cloud_context_t *context, GArray *machines)
{
    bool has_more = true;
    while (has_more)
        if (!read_page(context, machines, &has_more))
            return false;
    return true;
}

/* Returns the machines of which a partition has a summary: a set of ids, borrowed from the
 * summaries. */
static GHashTable *known_machines(const leader_t *leader)
{
    GHashTable *known = g_hash_table_new(g_str_hash, g_str_equal);
    machine_summary_iter_t iter = {.leader = leader};
    for (machine_summary_t *summary = machine_summary_iter_next(&iter); summary;
         summary = machine_summary_iter_next(&iter))
        g_hash_table_add(known, summary->machine);
    return known;
}

/* Records a listed machine as a booting instance, unless a partition has a summary of it or it was
 * terminated recently: lists may still show a terminated machine for a while. */
static void add_if_booting(cloud_context_t *context, const cloud_machine_t *machine,
                           GHashTable *known, msec_t now)
{
    controller_t *controller = context->controller;
    if (g_hash_table_contains(known, machine->machine) ||
        cloud_context_is_recently_terminated(context, machine->machine, now))
        return;
    msec_t requested_at = now - (msec_t)(machine->age_s * MS_PER_S);
    autoscaler_add_booting(controller->autoscaler, machine->machine, machine->type, machine->zone,
                           machine->is_spot, MAX(requested_at, controller->placement.loaded_at));
}

/* Updates the listed and failed machines and the booting instances from the complete list. Called
 * with the lock held. */
static void apply_list(cloud_context_t *context, const GArray *machines, msec_t now)
{
    controller_t *controller = context->controller;
    g_autoptr(GHashTable) known = known_machines(controller->placement.leader);
    g_hash_table_remove_all(context->listed_machines);
    g_ptr_array_set_size(context->failed_machines, 0);
    for (guint i = 0; i < machines->len; i++) {
        const cloud_machine_t *machine = &g_array_index(machines, cloud_machine_t, i);
        g_hash_table_add(context->listed_machines, g_strdup(machine->machine));
        if (machine->state == CLOUD_MACHINE_FAILED)
            g_ptr_array_add(context->failed_machines, g_strdup(machine->machine));
        else
            add_if_booting(context, machine, known, now);
    }
    autoscaler_prune_booting(controller->autoscaler, known, context->listed_machines,
                             cloud_context_listing_lag_ms(controller), now);
}

void machine_listing_refresh(cloud_context_t *context)
{
    controller_t *controller = context->controller;
    g_autoptr(GArray) machines = g_array_new(FALSE, FALSE, sizeof(cloud_machine_t));
    if (!read_machines(context, machines))
        return;
    pthread_mutex_lock(&controller->lock);
    if (cloud_context_may_act(controller))
        apply_list(context, machines, clock_steady());
    pthread_mutex_unlock(&controller->lock);
    context->listed_at = clock_steady();
}
