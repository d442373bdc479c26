/* The cloud's protocol: lists of machine types and machines, scale-out and scale-in requests. */
#include "io/codec/codec_internal.h"

static void machine_type_clear(gpointer data)
{
    g_strfreev(((machine_type_t *)data)->zones);
}

static char **parse_zone_names(const json_t *list)
{
    GPtrArray *names = g_ptr_array_new(); /* of char *, owned */
    size_t i;
    json_t *value;
    json_array_foreach(list, i, value)
    {
        if (json_is_string(value))
            g_ptr_array_add(names, g_strdup(json_string_value(value)));
    }
    g_ptr_array_add(names, NULL);
    return (char **)g_ptr_array_free(names, FALSE);
}

static bool parse_machine_type(const json_t *value, machine_type_t *machine_type)
{
    if (!codec_get_string(value, "Name", machine_type->name, sizeof machine_type->name, NULL) ||
        !codec_get_number(value, "Cpus", 0, &machine_type->capacity.cpus, NULL) ||
        !codec_get_number(value, "MemGb", 0, &machine_type->capacity.memory, NULL))
        return false;
    machine_type->capacity.gpus = json_number_value(json_object_get(value, "Accelerators"));
    machine_type->price = json_number_value(json_object_get(value, "Price"));
    machine_type->spot_price = json_number_value(json_object_get(value, "MarketPrice"));
    machine_type->boot_s = json_number_value(json_object_get(value, "BootS"));
    machine_type->zones = parse_zone_names(json_object_get(value, "Docks"));
    return true;
}

GArray *codec_parse_machine_types(const json_t *body)
{
    const json_t *list = json_object_get(body, "Hulls");
    if (!json_is_array(list))
        return NULL;
    GArray *machine_types = g_array_new(FALSE, TRUE, sizeof(machine_type_t));
    g_array_set_clear_func(machine_types, machine_type_clear);
    size_t i;
    json_t *value;
    json_array_foreach(list, i, value)
    {
        machine_type_t machine_type = {0};
        if (parse_machine_type(value, &machine_type))
            g_array_append_val(machine_types, machine_type);
    }
    return machine_types;
}

/* Only the machine's id is required. The other fields keep their defaults if they are missing or
 * malformed. */
static bool parse_cloud_machine(const json_t *value, cloud_machine_t *machine)
{
    static const char *const states[] = {"booting", "running", "failed"};
    int state = CLOUD_MACHINE_RUNNING;
    if (!codec_get_string(value, "Uid", machine->machine, sizeof machine->machine, NULL))
        return false;
    codec_get_string(value, "Hull", machine->type, sizeof machine->type, NULL);
    codec_get_string(value, "Dock", machine->zone, sizeof machine->zone, NULL);
    codec_get_boolean(value, "Driftwood", &machine->is_spot, NULL);
    codec_get_enum(value, "Trim", states, G_N_ELEMENTS(states), &state, NULL);
    machine->state = (cloud_machine_state_t)state;
    machine->age_s = json_number_value(json_object_get(value, "HeldS"));
    return true;
}

bool codec_parse_cloud_machines(const json_t *body, GArray *machines, bool *has_more)
{
    const json_t *list = json_object_get(body, "Winches");
    if (!json_is_array(list))
        return false;
    size_t i;
    json_t *value;
    json_array_foreach(list, i, value)
    {
        cloud_machine_t machine = {0};
        if (!parse_cloud_machine(value, &machine))
            return false;
        g_array_append_val(machines, machine);
    }
    *has_more = json_is_true(json_object_get(body, "More"));
    return true;
}

json_t *codec_build_scale_out(const char *idempotency_key, const char *type, const char *zone,
                              bool is_spot, guint count)
{
    return json_pack("{s:s,s:s,s:s,s:b,s:i}", "Charter", idempotency_key, "Hull", type, "Dock",
                     zone, "Driftwood", is_spot, "Number", (int)count);
}

json_t *codec_build_scale_in(const GPtrArray *machines)
{
    json_t *ids = json_array();
    for (guint i = 0; i < machines->len; i++)
        json_array_append_new(ids, json_string(g_ptr_array_index(machines, i)));
    return json_pack("{s:o}", "Winches", ids);
}

GPtrArray *codec_parse_scale_out_answer(const json_t *answer, gsize *accepted_count)
{
    const json_t *machines = json_object_get(answer, "Winches");
    *accepted_count = json_array_size(machines);
    return codec_collect_strings(machines);
}

bool codec_is_no_capacity(const json_t *answer)
{
    return g_strcmp0(json_string_value(json_object_get(answer, "error")), "no capacity") == 0;
}
