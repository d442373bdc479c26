/* Values in the key-value store: records of machines, progress and ends of jobs, members. */
#include "io/codec/codec_internal.h"

#include <string.h>

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
                     (json_int_t)record->worker_epoch, "Address", record->address, "Type",
                     record->type, "Zone", record->zone, "Spot", record->spot, "Tasks", tasks);
}

json_t *codec_build_record(const page_record_t *record)
{
    json_t *jobs = json_array();
    json_t *machines = json_array();
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

/* The header of a job in a record: its fields, in order. */
enum {
    RECORD_JOB_ID,
    RECORD_JOB_TEAM,
    RECORD_JOB_IMAGE,
    RECORD_JOB_CPUS,
    RECORD_JOB_GPUS,
    RECORD_JOB_MEMORY,
    RECORD_JOB_PRIORITY,
    RECORD_JOB_SAVE,
    RECORD_JOB_CHECKPOINT,
    RECORD_JOB_FIELDS
};

static bool parse_record_job(const json_t *job, record_entry_t *entry)
{
    const char *id = json_string_value(json_array_get(job, RECORD_JOB_ID));
    const char *team = json_string_value(json_array_get(job, RECORD_JOB_TEAM));
    const char *image = json_string_value(json_array_get(job, RECORD_JOB_IMAGE));
    json_int_t priority = json_integer_value(json_array_get(job, RECORD_JOB_PRIORITY));
    if (json_array_size(job) != RECORD_JOB_FIELDS || !id || !team || !image ||
        priority < PRIORITY_LOW || priority > PRIORITY_CRITICAL)
        return false;
    *entry = (record_entry_t){.priority = (priority_t)priority};
    entry->need.cpus = json_number_value(json_array_get(job, RECORD_JOB_CPUS));
    entry->need.gpus = json_number_value(json_array_get(job, RECORD_JOB_GPUS));
    entry->need.memory = json_number_value(json_array_get(job, RECORD_JOB_MEMORY));
    entry->save_s = json_number_value(json_array_get(job, RECORD_JOB_SAVE));
    entry->checkpoint_s = json_number_value(json_array_get(job, RECORD_JOB_CHECKPOINT));
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
    bool valid = codec_get_text(value, "Id", record->machine, sizeof record->machine, NULL) &&
                 codec_get_text(value, "Address", record->address, sizeof record->address, NULL) &&
                 codec_get_text(value, "Type", record->type, sizeof record->type, NULL) &&
                 codec_get_text(value, "Zone", record->zone, sizeof record->zone, NULL) &&
                 codec_get_flag(value, "Spot", &record->spot, NULL) &&
                 codec_get_count(value, "Session", 0, G_MAXINT64, &record->worker_epoch, NULL) &&
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

bool codec_parse_record(const char *page, const json_t *value, uint64_t revision,
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
        char own_shard[SHARD_NAME_BYTES];
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

json_t *codec_build_bits(const uint8_t *bits, gsize bytes, uint32_t done)
{
    char *text = g_base64_encode(bits, bytes);
    json_t *value = json_pack("{s:s,s:I}", "Bits", text, "Done", (json_int_t)done);
    g_free(text);
    return value;
}

uint8_t *codec_parse_bits(const json_t *value, gsize *bytes)
{
    const char *text = json_string_value(json_object_get(value, "Bits"));
    return text ? g_base64_decode(text, bytes) : NULL;
}

json_t *codec_build_ended(bool done, uint32_t tasks)
{
    return json_pack("{s:s,s:I}", "Trim", done ? "done" : "cancelled", "Done", (json_int_t)tasks);
}

json_t *codec_build_member(const member_t *member)
{
    return json_pack("{s:s,s:s,s:I,s:b}", "Name", member->name, "Zone", member->zone, "Incarnation",
                     (json_int_t)member->incarnation, "Aside", member->is_excluded);
}
