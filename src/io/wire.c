#include "io/wire.h"

#include <math.h>
#include <stdarg.h>
#include <string.h>

static bool fail(reason_t *why, const char *format, ...) G_GNUC_PRINTF(2, 3);

static bool fail(reason_t *why, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    if (why)
        g_vsnprintf(why->text, sizeof why->text, format, args);
    va_end(args);
    return false;
}

bool wire_id_valid(const char *id)
{
    if (strncmp(id, "j-", 2) != 0)
        return false;
    gsize digits = strspn(id + 2, "0123456789");
    return digits >= 6 && digits <= 18 && id[2 + digits] == '\0';
}

/* NULL: no string, or one with a NUL character, of which C would see a partition only. */
static const char *whole_text(const json_t *value)
{
    const char *text = json_string_value(value);
    return text && strlen(text) == json_string_length(value) ? text : NULL;
}

static bool get_text(const json_t *body, const char *name, char *to, gsize size, reason_t *why)
{
    const char *text = whole_text(json_object_get(body, name));
    if (!text || !*text)
        return fail(why, "%s: a non-empty string is expected", name);
    if (g_strlcpy(to, text, size) >= size)
        return fail(why, "%s: longer than %zu bytes", name, (size_t)size - 1);
    return true;
}

/* Null and absent are the same: to stays as it is. */
static bool get_optional_text(const json_t *body, const char *name, char *to, gsize size,
                              reason_t *why)
{
    const json_t *value = json_object_get(body, name);
    return !value || json_is_null(value) || get_text(body, name, to, size, why);
}

static bool get_amount(const json_t *body, const char *name, double low, double *to, reason_t *why)
{
    const json_t *value = json_object_get(body, name);
    if (!json_is_number(value))
        return fail(why, "%s: a number is expected", name);
    double amount = json_number_value(value);
    if (!isfinite(amount) || amount < low || amount > 1e12)
        return fail(why, "%s: out of range", name);
    *to = amount;
    return true;
}

static bool get_flag(const json_t *body, const char *name, bool *to, reason_t *why)
{
    const json_t *value = json_object_get(body, name);
    if (!json_is_boolean(value))
        return fail(why, "%s: true or false is expected", name);
    *to = json_is_true(value);
    return true;
}

static bool get_count(const json_t *body, const char *name, json_int_t low, json_int_t high,
                      uint64_t *to, reason_t *why)
{
    const json_t *value = json_object_get(body, name);
    if (!json_is_integer(value))
        return fail(why, "%s: an integer is expected", name);
    json_int_t count = json_integer_value(value);
    if (count < low || count > high)
        return fail(why, "%s: out of range", name);
    *to = (uint64_t)count;
    return true;
}

static const char *const priority_names[] = {"low", "normal", "high", "critical"};
static const char *const kind_names[] = {"sweep", "ensemble", "daemon"};

static bool get_choice(const json_t *body, const char *name, const char *const *names, int count,
                       int *to, reason_t *why)
{
    const char *text = whole_text(json_object_get(body, name));
    for (int i = 0; text && i < count; i++) {
        if (strcmp(text, names[i]) == 0) {
            *to = i;
            return true;
        }
    }
    return fail(why, "%s: not one of the known words", name);
}

static bool get_types(const json_t *body, job_spec_t *spec, reason_t *why)
{
    const json_t *list = json_object_get(body, "Hulls");
    if (!list || json_is_null(list))
        return true;
    if (!json_is_array(list))
        return fail(why, "Hulls: a list or null is expected");
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    size_t i;
    json_t *value;
    json_array_foreach(list, i, value)
    {
        if (!whole_text(value)) {
            g_ptr_array_unref(names);
            return fail(why, "Hulls: strings are expected");
        }
        g_ptr_array_add(names, g_strdup(whole_text(value)));
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
    return length < LABEL_SIZE;
}

/* Only what is new is refused for it: what is stored was accepted. */
static bool check_names(const job_spec_t *spec, reason_t *why)
{
    guint count = 0;
    for (char **type = spec->types; type && *type; type++, count++)
        if (!is_name(*type))
            return fail(why, "Hulls: not a name");
    if (count > TYPES_MAX)
        return fail(why, "Hulls: more than %d names", TYPES_MAX);
    if (!is_name(spec->class_name) || !is_name(spec->team) || !is_name(spec->image) ||
        !is_name(spec->zone))
        return fail(why, "a name has control characters");
    return true;
}

bool wire_parse_job(const json_t *body, bool stored, job_spec_t *spec, reason_t *why)
{
    uint64_t tasks = 0, submitted = 0;
    int priority = 0, kind = 0;
    *spec = (job_spec_t){0};
    if (!json_is_object(body))
        return fail(why, "a JSON object is expected");
    if (!get_text(body, "Uid", spec->id, sizeof spec->id, why))
        return false;
    if (!wire_id_valid(spec->id))
        return fail(why, "Uid: j- and at least six digits are expected");
    const json_t *deadline = json_object_get(body, "TideS");
    bool valid =
        get_text(body, "Reel", spec->class_name, sizeof spec->class_name, why) &&
        get_text(body, "Crew", spec->team, sizeof spec->team, why) &&
        get_choice(body, "Rig", kind_names, G_N_ELEMENTS(kind_names), &kind, why) &&
        get_choice(body, "Urgency", priority_names, G_N_ELEMENTS(priority_names), &priority, why) &&
        get_count(body, "Pieces", 1, TASKS_MAX, &tasks, why) &&
        get_amount(body, "Cpus", 0, &spec->need.cpus, why) &&
        get_amount(body, "Accelerators", 0, &spec->need.gpus, why) &&
        get_amount(body, "MemGb", 0, &spec->need.memory, why) &&
        get_text(body, "Cargo", spec->image, sizeof spec->image, why) &&
        get_amount(body, "ImageGb", 0, &spec->image_gb, why) &&
        get_optional_text(body, "Dock", spec->zone, sizeof spec->zone, why) &&
        get_flag(body, "SamePlace", &spec->same_zone, why) &&
        get_flag(body, "Apart", &spec->spread, why) &&
        get_flag(body, "Driftwood", &spec->spot, why) &&
        get_amount(body, "HaulS", 0, &spec->estimate_s, why) &&
        get_amount(body, "KnotS", 0, &spec->checkpoint_s, why) &&
        get_amount(body, "StowS", 0, &spec->save_s, why) &&
        (!deadline || json_is_null(deadline) ||
         get_amount(body, "TideS", 0, &spec->deadline_s, why)) &&
        (!stored || get_count(body, "At", 0, G_MAXINT64, &submitted, why)) &&
        (spec->need.cpus > 0 || fail(why, "Cpus: must be above 0")) && get_types(body, spec, why) &&
        (stored || check_names(spec, why));
    spec->tasks = (uint32_t)tasks;
    spec->kind = (job_kind_t)kind;
    spec->priority = (priority_t)priority;
    spec->submitted_ms = (int64_t)submitted;
    if (!valid)
        job_spec_clear(spec);
    return valid;
}

json_t *wire_build_job(const job_spec_t *spec)
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

static bool parse_task_name(const char *text, reported_attempt_t *reported_attempt)
{
    const char *slash = text ? strchr(text, '/') : NULL;
    guint64 task;
    if (!slash || slash == text || (gsize)(slash - text) >= sizeof reported_attempt->job ||
        !g_ascii_string_to_unsigned(slash + 1, 10, 0, G_MAXUINT32, &task, NULL))
        return false;
    memcpy(reported_attempt->job, text, (gsize)(slash - text));
    reported_attempt->job[slash - text] = '\0';
    reported_attempt->task = (uint32_t)task;
    return true;
}

static bool parse_attempt(const json_t *value, reported_attempt_t *reported_attempt, reason_t *why)
{
    /* A gang's task that waits for the others is one that starts: gathering counts as pulling. */
    static const char *const states[] = {"pulling", "running", "saving", "exited", "gathering"};
    static const char *const causes[] = {"",       "done",    "halted", "error", "full",
                                         "in_use", "no_such", "peers",  "alone"};
    int state = 0, cause = CAUSE_NONE;
    *reported_attempt = (reported_attempt_t){0};
    if (!parse_task_name(json_string_value(json_object_get(value, "Piece")), reported_attempt))
        return fail(why, "Pieces: Piece is not the name of a task");
    if (!get_count(value, "Heave", 0, G_MAXINT64, &reported_attempt->attempt, why) ||
        !get_choice(value, "Trim", states, G_N_ELEMENTS(states), &state, why))
        return false;
    reported_attempt->state = state > TASK_EXITED ? TASK_FETCHING : (task_state_t)state;
    if (reported_attempt->state != TASK_EXITED)
        return true;
    /* A cause not known here counts as a failure: the attempt is over in any case. */
    if (!get_choice(value, "Cause", causes, G_N_ELEMENTS(causes), &cause, NULL))
        cause = CAUSE_ERROR;
    reported_attempt->cause = (cause_t)cause;
    return true;
}

bool wire_parse_report(const json_t *body, report_t *report, reason_t *why)
{
    *report = (report_t){.reclaim_in_s = -1};
    if (!json_is_object(body))
        return fail(why, "a JSON object is expected");
    const json_t *warning = json_object_get(body, "WarningS");
    const json_t *attempts = json_object_get(body, "Pieces");
    if (!get_text(body, "Winch", report->machine, sizeof report->machine, why) ||
        !get_text(body, "Address", report->address, sizeof report->address, why) ||
        !get_text(body, "Hull", report->type, sizeof report->type, why) ||
        !get_text(body, "Dock", report->zone, sizeof report->zone, why) ||
        !get_flag(body, "Driftwood", &report->spot, why) ||
        !get_count(body, "Watch", 0, G_MAXINT64, &report->session, why) ||
        !get_count(body, "Tally", 0, G_MAXINT64, &report->seq, why) ||
        !get_count(body, "Helm", 0, G_MAXINT64, &report->token, why) ||
        (warning && !json_is_null(warning) &&
         !get_amount(body, "WarningS", 0, &report->reclaim_in_s, why)))
        return false;
    if (attempts && !json_is_null(attempts) && !json_is_array(attempts))
        return fail(why, "Pieces: a list is expected");
    report->attempts = g_array_sized_new(FALSE, FALSE, sizeof(reported_attempt_t),
                                         (guint)json_array_size(attempts));
    size_t i;
    json_t *value;
    json_array_foreach(attempts, i, value)
    {
        reported_attempt_t reported_attempt;
        if (!parse_attempt(value, &reported_attempt, why)) {
            report_clear(report);
            return false;
        }
        g_array_append_val(report->attempts, reported_attempt);
    }
    return true;
}

static json_t *build_command_list(const GArray *commands)
{
    static const char *const names[] = {"run", "stop", "forget"};
    json_t *list = json_array();
    for (guint i = 0; commands && i < commands->len; i++) {
        const worker_command_t *command = &g_array_index(commands, worker_command_t, i);
        json_t *item = json_pack("{s:s,s:o,s:I}", "Call", names[command->op], "Piece",
                                 json_sprintf("%s/%u", command->job, command->task), "Heave",
                                 (json_int_t)command->attempt);
        if (command->op == COMMAND_STOP)
            json_object_set_new(item, "SlackS", json_real(command->grace_s));
        json_array_append_new(list, item);
    }
    return list;
}

json_t *wire_build_commands(uint64_t token, const GArray *commands)
{
    return json_pack("{s:I,s:o}", "Helm", (json_int_t)token, "Calls", build_command_list(commands));
}

json_t *wire_build_direct(uint64_t token, uint64_t session, const GArray *commands)
{
    return json_pack("{s:I,s:I,s:o}", "Helm", (json_int_t)token, "Watch", (json_int_t)session,
                     "Calls", build_command_list(commands));
}

static void machine_type_clear(gpointer data)
{
    g_strfreev(((machine_type_t *)data)->zones);
}

static char **parse_names(const json_t *list)
{
    GPtrArray *names = g_ptr_array_new();
    size_t i;
    json_t *value;
    json_array_foreach(list, i, value) if (json_is_string(value))
        g_ptr_array_add(names, g_strdup(json_string_value(value)));
    g_ptr_array_add(names, NULL);
    return (char **)g_ptr_array_free(names, FALSE);
}

GArray *wire_parse_machine_types(const json_t *body)
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
        if (!get_text(value, "Name", machine_type.name, sizeof machine_type.name, NULL) ||
            !get_amount(value, "Cpus", 0, &machine_type.capacity.cpus, NULL) ||
            !get_amount(value, "MemGb", 0, &machine_type.capacity.memory, NULL))
            continue;
        machine_type.capacity.gpus = json_number_value(json_object_get(value, "Accelerators"));
        machine_type.price = json_number_value(json_object_get(value, "Price"));
        machine_type.spot_price = json_number_value(json_object_get(value, "MarketPrice"));
        machine_type.boot_s = json_number_value(json_object_get(value, "BootS"));
        machine_type.zones = parse_names(json_object_get(value, "Docks"));
        g_array_append_val(machine_types, machine_type);
    }
    return machine_types;
}

bool wire_parse_hosts(const json_t *body, GArray *hosts, bool *more)
{
    static const char *const states[] = {"booting", "running", "failed"};
    const json_t *list = json_object_get(body, "Winches");
    if (!json_is_array(list))
        return false;
    size_t i;
    json_t *value;
    json_array_foreach(list, i, value)
    {
        host_t host = {0};
        int state = HOST_RUNNING;
        if (!get_text(value, "Uid", host.machine, sizeof host.machine, NULL))
            return false;
        get_text(value, "Hull", host.type, sizeof host.type, NULL);
        get_text(value, "Dock", host.zone, sizeof host.zone, NULL);
        get_flag(value, "Driftwood", &host.spot, NULL);
        get_choice(value, "Trim", states, G_N_ELEMENTS(states), &state, NULL);
        host.state = (host_state_t)state;
        host.age_s = json_number_value(json_object_get(value, "HeldS"));
        g_array_append_val(hosts, host);
    }
    *more = json_is_true(json_object_get(body, "More"));
    return true;
}

json_t *wire_build_rental(const char *charter, const char *type, const char *zone, bool spot,
                          guint count)
{
    return json_pack("{s:s,s:s,s:s,s:b,s:i}", "Charter", charter, "Hull", type, "Dock", zone,
                     "Driftwood", spot, "Number", (int)count);
}

json_t *wire_build_release(const GPtrArray *machines)
{
    json_t *names = json_array();
    for (guint i = 0; i < machines->len; i++)
        json_array_append_new(names, json_string(g_ptr_array_index(machines, i)));
    return json_pack("{s:o}", "Winches", names);
}

/* A page's record: {"Jobs":[[id,team,image,cpus,gpus,memory,priority,save,checkpoint],...],
 * "Machines":[{"Id","Session","Address","Type","Zone","Spot","Tasks":[[job,task,attempt],...]},...]}
 * where job is the index in Jobs, which all its machines share. */
static json_int_t record_job(json_t *jobs, GHashTable *known, const record_entry_t *entry)
{
    gpointer at;
    if (g_hash_table_lookup_extended(known, entry->job, NULL, &at))
        return GPOINTER_TO_INT(at);
    json_int_t index = (json_int_t)json_array_size(jobs);
    json_array_append_new(jobs,
                          json_pack("[s,s,s,f,f,f,i,f,f]", entry->job, entry->team, entry->image,
                                    entry->need.cpus, entry->need.gpus, entry->need.memory,
                                    (int)entry->priority, entry->save_s, entry->checkpoint_s));
    g_hash_table_insert(known, (gpointer)entry->job, GINT_TO_POINTER((gint)index));
    return index;
}

static json_t *build_machine_record(const machine_record_t *record, json_t *jobs, GHashTable *known)
{
    json_t *tasks = json_array();
    for (guint i = 0; i < record->entries->len; i++) {
        const record_entry_t *entry = &g_array_index(record->entries, record_entry_t, i);
        json_array_append_new(tasks,
                              json_pack("[I,I,I]", record_job(jobs, known, entry),
                                        (json_int_t)entry->task, (json_int_t)entry->attempt));
    }
    return json_pack("{s:s,s:I,s:s,s:s,s:s,s:b,s:o}", "Id", record->machine, "Session",
                     (json_int_t)record->session, "Address", record->address, "Type", record->type,
                     "Zone", record->zone, "Spot", record->spot, "Tasks", tasks);
}

json_t *wire_build_record(const page_record_t *record)
{
    json_t *jobs = json_array(), *machines = json_array();
    GHashTable *known = g_hash_table_new(g_str_hash, g_str_equal);
    bool whole = true;
    for (guint i = 0; i < record->machines->len; i++) {
        json_t *machine = build_machine_record(
            &g_array_index(record->machines, machine_record_t, i), jobs, known);
        whole = whole && machine && json_array_append_new(machines, machine) == 0;
    }
    /* A header that could not be built would shift the indexes of those after it. */
    whole = whole && json_array_size(jobs) == g_hash_table_size(known);
    g_hash_table_unref(known);
    if (whole)
        return json_pack("{s:o,s:o}", "Jobs", jobs, "Machines", machines);
    json_decref(jobs);
    json_decref(machines);
    return NULL;
}

static bool parse_record_job(const json_t *job, record_entry_t *entry)
{
    const char *id = json_string_value(json_array_get(job, 0));
    const char *team = json_string_value(json_array_get(job, 1));
    const char *image = json_string_value(json_array_get(job, 2));
    json_int_t priority = json_integer_value(json_array_get(job, 6));
    if (json_array_size(job) != 9 || !id || !team || !image || priority < PRIORITY_LOW ||
        priority > PRIORITY_CRITICAL)
        return false;
    *entry = (record_entry_t){.priority = (priority_t)priority};
    entry->need.cpus = json_number_value(json_array_get(job, 3));
    entry->need.gpus = json_number_value(json_array_get(job, 4));
    entry->need.memory = json_number_value(json_array_get(job, 5));
    entry->save_s = json_number_value(json_array_get(job, 7));
    entry->checkpoint_s = json_number_value(json_array_get(job, 8));
    return g_strlcpy(entry->job, id, sizeof entry->job) < sizeof entry->job &&
           g_strlcpy(entry->team, team, sizeof entry->team) < sizeof entry->team &&
           g_strlcpy(entry->image, image, sizeof entry->image) < sizeof entry->image;
}

static bool parse_record_task(const json_t *task, const json_t *jobs, record_entry_t *entry)
{
    json_int_t index = json_integer_value(json_array_get(task, 0));
    json_int_t attempt = json_integer_value(json_array_get(task, 2));
    if (json_array_size(task) != 3 || index < 0 || attempt <= 0 ||
        !parse_record_job(json_array_get(jobs, (size_t)index), entry))
        return false;
    entry->task = (uint32_t)json_integer_value(json_array_get(task, 1));
    entry->attempt = (uint64_t)attempt;
    return true;
}

static bool parse_machine_record(const json_t *value, const json_t *jobs, machine_record_t *record)
{
    bool valid = get_text(value, "Id", record->machine, sizeof record->machine, NULL) &&
                 get_text(value, "Address", record->address, sizeof record->address, NULL) &&
                 get_text(value, "Type", record->type, sizeof record->type, NULL) &&
                 get_text(value, "Zone", record->zone, sizeof record->zone, NULL) &&
                 get_flag(value, "Spot", &record->spot, NULL) &&
                 get_count(value, "Session", 0, G_MAXINT64, &record->session, NULL) &&
                 json_is_array(json_object_get(value, "Tasks"));
    size_t i;
    json_t *task;
    json_array_foreach(json_object_get(value, "Tasks"), i, task)
    {
        record_entry_t entry;
        valid = valid && parse_record_task(task, jobs, &entry);
        if (valid)
            g_array_append_val(record->entries, entry);
    }
    return valid;
}

bool wire_parse_record(const char *page, const json_t *value, uint64_t revision,
                       page_record_t *record)
{
    const json_t *machines = json_object_get(value, "Machines");
    *record = (page_record_t){.revision = revision, .machines = machine_records_new()};
    bool valid = page_parse(page, record->shard, sizeof record->shard, &record->page) &&
                 json_is_array(machines);
    size_t i;
    json_t *item;
    json_array_foreach(machines, i, item)
    {
        machine_record_t machine = {.entries = g_array_new(FALSE, FALSE, sizeof(record_entry_t))};
        char own_shard[SHARD_NAME];
        valid = parse_machine_record(item, json_object_get(value, "Jobs"), &machine) && valid;
        /* In another shard than its own, two owners would write it. */
        shard_of(machine.machine, machine.zone, own_shard, sizeof own_shard);
        valid = valid && strcmp(own_shard, record->shard) == 0;
        g_array_append_val(record->machines, machine);
    }
    if (!valid)
        g_array_unref(record->machines);
    return valid;
}

json_t *wire_build_bits(const uint8_t *bits, gsize bytes, uint32_t done)
{
    char *text = g_base64_encode(bits, bytes);
    json_t *value = json_pack("{s:s,s:I}", "Bits", text, "Done", (json_int_t)done);
    g_free(text);
    return value;
}

uint8_t *wire_parse_bits(const json_t *value, gsize *bytes)
{
    const char *text = json_string_value(json_object_get(value, "Bits"));
    return text ? g_base64_decode(text, bytes) : NULL;
}

json_t *wire_build_ended(bool done, uint32_t tasks)
{
    return json_pack("{s:s,s:I}", "Trim", done ? "done" : "cancelled", "Done", (json_int_t)tasks);
}

json_t *wire_build_status(const char *id, const char *state, uint32_t done, uint32_t running)
{
    return json_pack("{s:s,s:s,s:I,s:I}", "Uid", id, "Trim", state, "done", (json_int_t)done,
                     "running", (json_int_t)running);
}

json_t *wire_build_member(const member_t *member)
{
    return json_pack("{s:s,s:s,s:I,s:b}", "Name", member->name, "Zone", member->zone, "Incarnation",
                     (json_int_t)member->incarnation, "Aside", member->excluded);
}
