/* The users' protocol: jobs and their status. The key-value store holds jobs in the same form. */
#include "io/codec/codec_internal.h"

#include <string.h>

static const char *const priority_names[] = {[PRIORITY_LOW] = "low",
                                             [PRIORITY_NORMAL] = "normal",
                                             [PRIORITY_HIGH] = "high",
                                             [PRIORITY_CRITICAL] = "critical"};
static const char *const kind_names[] = {
    [KIND_ARRAY] = "sweep", [KIND_GANG] = "ensemble", [KIND_SERVICE] = "daemon"};

bool codec_is_job_id(const char *id)
{
    if (strncmp(id, "j-", 2) != 0)
        return false;
    gsize digits = strspn(id + 2, "0123456789");
    return digits >= JOB_DIGITS_MIN_COUNT && digits <= JOB_DIGITS_MAX_COUNT &&
           id[2 + digits] == '\0';
}

/* Reads the machine types that the job may run on. If the field is null or missing, the job may run
 * on any type. */
static bool get_machine_types(const json_t *body, job_spec_t *spec, GError **error)
{
    const json_t *list = json_object_get(body, "Hulls");
    if (!list || json_is_null(list))
        return true;
    if (!json_is_array(list))
        return codec_set_error(error, CODEC_ERROR_TYPE, "Hulls: a list or null is expected");
    g_autoptr(GPtrArray) names = g_ptr_array_new_with_free_func(g_free); /* of char * */
    size_t i;
    json_t *value;
    json_array_foreach(list, i, value)
    {
        if (!codec_c_string(value))
            return codec_set_error(error, CODEC_ERROR_TYPE, "Hulls: strings are expected");
        g_ptr_array_add(names, g_strdup(codec_c_string(value)));
    }
    g_ptr_array_add(names, NULL);
    spec->types = (char **)g_ptr_array_free(g_steal_pointer(&names), FALSE);
    return true;
}

/* Returns whether the text may be used as a name: it goes into logs, records and messages, so it
 * must not contain control characters and must fit into LABEL_BYTES. */
static bool is_valid_name(const char *text)
{
    gsize length = strlen(text);
    for (gsize i = 0; i < length; i++)
        if (g_ascii_iscntrl(text[i]))
            return false;
    return length < LABEL_BYTES;
}

/* Checks the names of a submitted job. A stored job is not checked: its names were checked when it
 * was submitted. */
static bool check_names(const job_spec_t *spec, GError **error)
{
    guint count = 0;
    for (char **type = spec->types; type && *type; type++) {
        if (!is_valid_name(*type))
            return codec_set_error(error, CODEC_ERROR_VALUE, "Hulls: not a name");
        count++;
    }
    if (count > TYPES_MAX_COUNT)
        return codec_set_error(error, CODEC_ERROR_RANGE, "Hulls: more than %d names",
                               TYPES_MAX_COUNT);
    if (!is_valid_name(spec->class_name) || !is_valid_name(spec->team) ||
        !is_valid_name(spec->image) || !is_valid_name(spec->zone))
        return codec_set_error(error, CODEC_ERROR_VALUE, "a name has control characters");
    return true;
}

static bool get_id(const json_t *body, job_spec_t *spec, GError **error)
{
    if (!codec_get_string(body, "Uid", spec->id, sizeof spec->id, error))
        return false;
    if (!codec_is_job_id(spec->id))
        return codec_set_error(error, CODEC_ERROR_VALUE,
                               "Uid: j- and at least six digits are expected");
    return true;
}

static bool get_kind_and_priority(const json_t *body, job_spec_t *spec, GError **error)
{
    int kind = 0;
    int priority = 0;
    if (!codec_get_enum(body, "Rig", kind_names, G_N_ELEMENTS(kind_names), &kind, error) ||
        !codec_get_enum(body, "Urgency", priority_names, G_N_ELEMENTS(priority_names), &priority,
                        error))
        return false;
    spec->kind = (job_kind_t)kind;
    spec->priority = (priority_t)priority;
    return true;
}

/* Reads the number of tasks, the resources that each task needs, and the container image. */
static bool get_tasks(const json_t *body, job_spec_t *spec, GError **error)
{
    uint64_t tasks = 0;
    if (!codec_get_integer(body, "Pieces", 1, TASKS_MAX_COUNT, &tasks, error))
        return false;
    spec->tasks = (uint32_t)tasks;
    return codec_get_number(body, "Cpus", 0, &spec->need.cpus, error) &&
           codec_get_number(body, "Accelerators", 0, &spec->need.gpus, error) &&
           codec_get_number(body, "MemGb", 0, &spec->need.memory, error) &&
           codec_get_string(body, "Cargo", spec->image, sizeof spec->image, error) &&
           codec_get_number(body, "ImageGb", 0, &spec->image_gb, error);
}

/* Reads the constraints on where the tasks may run, except the machine types. */
static bool get_placement_constraints(const json_t *body, job_spec_t *spec, GError **error)
{
    return codec_get_optional_string(body, "Dock", spec->zone, sizeof spec->zone, error) &&
           codec_get_boolean(body, "SamePlace", &spec->needs_same_zone, error) &&
           codec_get_boolean(body, "Apart", &spec->needs_spread, error) &&
           codec_get_boolean(body, "Driftwood", &spec->may_use_spot, error);
}

static bool get_durations(const json_t *body, job_spec_t *spec, GError **error)
{
    return codec_get_number(body, "HaulS", 0, &spec->estimate_s, error) &&
           codec_get_number(body, "KnotS", 0, &spec->checkpoint_s, error) &&
           codec_get_number(body, "StowS", 0, &spec->save_s, error) &&
           codec_get_optional_number(body, "TideS", 0, &spec->deadline_s, error);
}

static bool get_submission_time(const json_t *body, job_spec_t *spec, GError **error)
{
    uint64_t submitted = 0;
    if (!codec_get_integer(body, "At", 0, G_MAXINT64, &submitted, error))
        return false;
    spec->submitted_ms = (int64_t)submitted;
    return true;
}

/* Reads all fields. The order of the checks matters: the error reports the first fault found. */
static bool get_job(const json_t *body, bool is_stored, job_spec_t *spec, GError **error)
{
    if (!json_is_object(body))
        return codec_set_error(error, CODEC_ERROR_SYNTAX, "a JSON object is expected");
    if (!get_id(body, spec, error) ||
        !codec_get_string(body, "Reel", spec->class_name, sizeof spec->class_name, error) ||
        !codec_get_string(body, "Crew", spec->team, sizeof spec->team, error) ||
        !get_kind_and_priority(body, spec, error) || !get_tasks(body, spec, error) ||
        !get_placement_constraints(body, spec, error) || !get_durations(body, spec, error) ||
        (is_stored && !get_submission_time(body, spec, error)))
        return false;
    if (spec->need.cpus <= 0)
        return codec_set_error(error, CODEC_ERROR_RANGE, "Cpus: must be above 0");
    return get_machine_types(body, spec, error) && (is_stored || check_names(spec, error));
}

bool codec_parse_job(const json_t *body, bool is_stored, job_spec_t *spec, GError **error)
{
    *spec = (job_spec_t){0};
    bool is_valid = get_job(body, is_stored, spec, error);
    if (!is_valid)
        job_spec_clear(spec);
    return is_valid;
}

void codec_get_submitted_id(const json_t *partial, char *id, gsize size)
{
    const char *text = codec_c_string(json_object_get(partial, "Uid"));
    g_strlcpy(id, text ? text : "", size);
}

uint32_t codec_get_task_count(const json_t *job)
{
    return (uint32_t)json_integer_value(json_object_get(job, "Pieces"));
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
        spec->zone[0] ? spec->zone : NULL, "SamePlace", spec->needs_same_zone, "Apart",
        spec->needs_spread, "Driftwood", spec->may_use_spot, "HaulS", spec->estimate_s, "KnotS",
        spec->checkpoint_s, "StowS", spec->save_s, "TideS",
        spec->deadline_s > 0 ? json_real(spec->deadline_s) : json_null(), "At",
        (json_int_t)spec->submitted_ms);
}

json_t *codec_build_status(const char *id, const char *state, uint32_t done_count,
                           uint32_t running_count)
{
    return json_pack("{s:s,s:s,s:I,s:I}", "Uid", id, "Trim", state, "done", (json_int_t)done_count,
                     "running", (json_int_t)running_count);
}
