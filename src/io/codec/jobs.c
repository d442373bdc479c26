/* The users' protocol: jobs and their status. */
#include "io/codec/codec_internal.h"

#include <string.h>

static const char *const priority_names[] = {"low", "normal", "high", "critical"};
static const char *const kind_names[] = {"sweep", "ensemble", "daemon"};

bool codec_is_job_id(const char *id)
{
    if (strncmp(id, "j-", 2) != 0)
        return false;
    gsize digits = strspn(id + 2, "0123456789");
    return digits >= JOB_DIGITS_MIN_COUNT && digits <= JOB_DIGITS_MAX_COUNT &&
           id[2 + digits] == '\0';
}

static bool get_types(const json_t *body, job_spec_t *spec, reason_t *why)
{
    const json_t *list = json_object_get(body, "Hulls");
    if (!list || json_is_null(list))
        return true;
    if (!json_is_array(list))
        return codec_fail(why, "Hulls: a list or null is expected");
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    size_t i;
    json_t *value;
    json_array_foreach(list, i, value)
    {
        if (!codec_text(value)) {
            g_ptr_array_unref(names);
            return codec_fail(why, "Hulls: strings are expected");
        }
        g_ptr_array_add(names, g_strdup(codec_text(value)));
    }
    g_ptr_array_add(names, NULL);
    spec->types = (char **)g_ptr_array_free(names, FALSE);
    return true;
}

/* Names go into logs, records and messages, each with its limits. */
static bool is_name(const char *text)
{
    gsize length = strlen(text);
    for (gsize i = 0; i < length; i++)
        if (g_ascii_iscntrl(text[i]))
            return false;
    return length < LABEL_BYTES;
}

/* Only what is new is refused for it: what is stored was accepted. */
static bool check_names(const job_spec_t *spec, reason_t *why)
{
    guint count = 0;
    for (char **type = spec->types; type && *type; type++, count++)
        if (!is_name(*type))
            return codec_fail(why, "Hulls: not a name");
    if (count > TYPES_MAX_COUNT)
        return codec_fail(why, "Hulls: more than %d names", TYPES_MAX_COUNT);
    if (!is_name(spec->class_name) || !is_name(spec->team) || !is_name(spec->image) ||
        !is_name(spec->zone))
        return codec_fail(why, "a name has control characters");
    return true;
}

// NOLINTNEXTLINE(readability-function-size): a line for each field
bool codec_parse_job(const json_t *body, bool stored, job_spec_t *spec, reason_t *why)
{
    uint64_t tasks = 0;
    uint64_t submitted = 0;
    int priority = 0;
    int kind = 0;
    *spec = (job_spec_t){0};
    if (!json_is_object(body))
        return codec_fail(why, "a JSON object is expected");
    if (!codec_get_text(body, "Uid", spec->id, sizeof spec->id, why))
        return false;
    if (!codec_is_job_id(spec->id))
        return codec_fail(why, "Uid: j- and at least six digits are expected");
    const json_t *deadline = json_object_get(body, "TideS");
    bool valid = codec_get_text(body, "Reel", spec->class_name, sizeof spec->class_name, why) &&
                 codec_get_text(body, "Crew", spec->team, sizeof spec->team, why) &&
                 codec_get_choice(body, "Rig", kind_names, G_N_ELEMENTS(kind_names), &kind, why) &&
                 codec_get_choice(body, "Urgency", priority_names, G_N_ELEMENTS(priority_names),
                                  &priority, why) &&
                 codec_get_count(body, "Pieces", 1, TASKS_MAX_COUNT, &tasks, why) &&
                 codec_get_amount(body, "Cpus", 0, &spec->need.cpus, why) &&
                 codec_get_amount(body, "Accelerators", 0, &spec->need.gpus, why) &&
                 codec_get_amount(body, "MemGb", 0, &spec->need.memory, why) &&
                 codec_get_text(body, "Cargo", spec->image, sizeof spec->image, why) &&
                 codec_get_amount(body, "ImageGb", 0, &spec->image_gb, why) &&
                 codec_get_optional_text(body, "Dock", spec->zone, sizeof spec->zone, why) &&
                 codec_get_flag(body, "SamePlace", &spec->same_zone, why) &&
                 codec_get_flag(body, "Apart", &spec->spread, why) &&
                 codec_get_flag(body, "Driftwood", &spec->spot, why) &&
                 codec_get_amount(body, "HaulS", 0, &spec->estimate_s, why) &&
                 codec_get_amount(body, "KnotS", 0, &spec->checkpoint_s, why) &&
                 codec_get_amount(body, "StowS", 0, &spec->save_s, why) &&
                 (!deadline || json_is_null(deadline) ||
                  codec_get_amount(body, "TideS", 0, &spec->deadline_s, why)) &&
                 (!stored || codec_get_count(body, "At", 0, G_MAXINT64, &submitted, why)) &&
                 (spec->need.cpus > 0 || codec_fail(why, "Cpus: must be above 0")) &&
                 get_types(body, spec, why) && (stored || check_names(spec, why));
    spec->tasks = (uint32_t)tasks;
    spec->kind = (job_kind_t)kind;
    spec->priority = (priority_t)priority;
    spec->submitted_ms = (int64_t)submitted;
    if (!valid)
        job_spec_clear(spec);
    return valid;
}

json_t *codec_build_job(const job_spec_t *spec)
{
    json_t *types = spec->types ? json_array() : json_null();
    for (char **type = spec->types; type && *type; type++)
        json_array_append_new(types, json_string(*type));
    return json_pack(
        "{s:s,s:s,s:s,s:s,s:s,s:I,s:f,s:f,s:f,s:s,s:f,s:o,s:s?,s:b,s:b,s:b,s:f,s:f,s:f,"
        "s:o,s:I}",
        "Uid", spec->id, "Reel", spec->class_name, "Crew", spec->team, "Rig",
        kind_names[spec->kind], "Urgency", priority_names[spec->priority], "Pieces",
        (json_int_t)spec->tasks, "Cpus", spec->need.cpus, "Accelerators", spec->need.gpus, "MemGb",
        spec->need.memory, "Cargo", spec->image, "ImageGb", spec->image_gb, "Hulls", types, "Dock",
        spec->zone[0] ? spec->zone : NULL, "SamePlace", spec->same_zone, "Apart", spec->spread,
        "Driftwood", spec->spot, "HaulS", spec->estimate_s, "KnotS", spec->checkpoint_s, "StowS",
        spec->save_s, "TideS", spec->deadline_s > 0 ? json_real(spec->deadline_s) : json_null(),
        "At", (json_int_t)spec->submitted_ms);
}

json_t *codec_build_status(const char *id, const char *state, uint32_t done, uint32_t running)
{
    return json_pack("{s:s,s:s,s:I,s:I}", "Uid", id, "Trim", state, "done", (json_int_t)done,
                     "running", (json_int_t)running);
}
