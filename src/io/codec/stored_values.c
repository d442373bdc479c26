/* Values in the key-value store: pages of machine records, the progress and terminal states of
 * jobs, retained workers and pages of relayed messages. */
#include "io/codec/codec_internal.h"

#include <string.h>

/* The form of a page of machine records:
 * {"Jobs":[[id,team,image,cpus,gpus,memory,priority,save,checkpoint],...],
 *  "Machines":[{"Id","Session","Address","Type","Zone","Spot",
 *               "Tasks":[[job,task,attempt],...]},...]}
 * An item of Jobs is the header of a job. In an item of Tasks, job is an index into Jobs, which all
 * machines of the page share. */

/* Returns the index in jobs of the header of the entry's job. Adds the header if jobs does not have
 * it yet. job_indexes: map from job id (borrowed) to index. */
static json_int_t add_job_header(json_t *jobs, GHashTable *job_indexes, const record_entry_t *entry)
{
    gpointer known_index;
    if (g_hash_table_lookup_extended(job_indexes, entry->job, NULL, &known_index))
        return GPOINTER_TO_INT(known_index);
    json_int_t index = (json_int_t)json_array_size(jobs);
    json_array_append_new(jobs,
                          json_pack("[s,s,s,f,f,f,i,f,f]", entry->job, entry->team, entry->image,
                                    entry->need.cpus, entry->need.gpus, entry->need.memory,
                                    (int)entry->priority, entry->save_s, entry->checkpoint_s));
    g_hash_table_insert(job_indexes, (gpointer)entry->job, GINT_TO_POINTER((gint)index));
    return index;
}

static json_t *build_machine_record(const machine_record_t *record, json_t *jobs,
                                    GHashTable *job_indexes)
{
    json_t *tasks = json_array();
    for (guint i = 0; i < record->entries->len; i++) {
        const record_entry_t *entry = &g_array_index(record->entries, record_entry_t, i);
        json_array_append_new(tasks,
                              json_pack("[I,I,I]", add_job_header(jobs, job_indexes, entry),
                                        (json_int_t)entry->task, (json_int_t)entry->attempt));
    }
    return json_pack("{s:s,s:I,s:s,s:s,s:s,s:b,s:o}", "Id", record->machine, "Session",
                     (json_int_t)record->worker_epoch, "Address", record->address, "Type",
                     record->type, "Zone", record->zone, "Spot", record->is_spot, "Tasks", tasks);
}

json_t *codec_build_page_record(const page_record_t *record)
{
    json_t *jobs = json_array();
    json_t *machines = json_array();
    g_autoptr(GHashTable) job_indexes = g_hash_table_new(g_str_hash, g_str_equal); /* id -> index */
    bool is_complete = true;
    for (guint i = 0; i < record->machines->len; i++) {
        json_t *machine = build_machine_record(
            &g_array_index(record->machines, machine_record_t, i), jobs, job_indexes);
        is_complete = is_complete && machine && json_array_append_new(machines, machine) == 0;
    }
    /* A header that could not be built is missing from the list, which makes the indexes of the
     * headers after it wrong. */
    is_complete = is_complete && json_array_size(jobs) == g_hash_table_size(job_indexes);
    if (is_complete)
        return json_pack("{s:o,s:o}", "Jobs", jobs, "Machines", machines);
    json_decref(jobs);
    json_decref(machines);
    return NULL;
}

/* The fields of a job's header in a page, in order. */
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

/* The fields of a machine's task in a page, in order. */
enum { RECORD_TASK_JOB, RECORD_TASK_NUMBER, RECORD_TASK_ATTEMPT, RECORD_TASK_FIELDS };

static bool parse_record_task(const json_t *task, const json_t *jobs, record_entry_t *entry,
                              GError **error)
{
    json_int_t index = json_integer_value(json_array_get(task, RECORD_TASK_JOB));
    json_int_t attempt = json_integer_value(json_array_get(task, RECORD_TASK_ATTEMPT));
    if (json_array_size(task) != RECORD_TASK_FIELDS || index < 0 || attempt <= 0)
        return codec_set_error(error, CODEC_ERROR_VALUE,
                               "Tasks: a list [index in Jobs, task, attempt above 0] is expected");
    if (!parse_record_job(json_array_get(jobs, (size_t)index), entry))
        return codec_set_error(error, CODEC_ERROR_VALUE,
                               "Jobs: the header of a task's job is missing or malformed");
    entry->task = (uint32_t)json_integer_value(json_array_get(task, RECORD_TASK_NUMBER));
    entry->attempt = (uint64_t)attempt;
    return true;
}

static bool parse_machine_header(const json_t *value, machine_record_t *record, GError **error)
{
    return codec_get_string(value, "Id", record->machine, sizeof record->machine, error) &&
           codec_get_string(value, "Address", record->address, sizeof record->address, error) &&
           codec_get_string(value, "Type", record->type, sizeof record->type, error) &&
           codec_get_string(value, "Zone", record->zone, sizeof record->zone, error) &&
           codec_get_boolean(value, "Spot", &record->is_spot, error) &&
           codec_get_integer(value, "Session", 0, G_MAXINT64, &record->worker_epoch, error);
}

static bool parse_machine_record(const json_t *value, const json_t *jobs, machine_record_t *record,
                                 GError **error)
{
    const json_t *tasks = json_object_get(value, "Tasks");
    if (!parse_machine_header(value, record, error))
        return false;
    if (!json_is_array(tasks))
        return codec_set_error(error, CODEC_ERROR_TYPE, "Tasks: a list is expected");
    size_t i;
    json_t *task;
    json_array_foreach(tasks, i, task)
    {
        record_entry_t entry;
        if (!parse_record_task(task, jobs, &entry, error))
            return false;
        g_array_append_val(record->entries, entry);
    }
    return true;
}

/* Checks that the machine belongs to the page's shard. Otherwise it would have two owners that both
 * write its record. */
static bool check_shard(const machine_record_t *machine, const page_record_t *page, GError **error)
{
    char own_shard[SHARD_NAME_BYTES];
    shard_of(machine->machine, machine->zone, own_shard, sizeof own_shard);
    if (strcmp(own_shard, page->shard) != 0)
        return codec_set_error(error, CODEC_ERROR_VALUE,
                               "Id: the machine belongs to another shard than the page");
    return true;
}

static bool parse_page(const char *page, const json_t *value, page_record_t *record, GError **error)
{
    const json_t *machines = json_object_get(value, "Machines");
    if (!page_parse(page, record->shard, sizeof record->shard, &record->page))
        return codec_set_error(error, CODEC_ERROR_VALUE,
                               "key: a page name of the form SHARD or SHARD+PAGE is expected");
    if (!json_is_array(machines))
        return codec_set_error(error, CODEC_ERROR_TYPE, "Machines: a list is expected");
    size_t i;
    json_t *item;
    json_array_foreach(machines, i, item)
    {
        machine_record_t machine = {.entries = g_array_new(FALSE, FALSE, sizeof(record_entry_t))};
        bool is_valid = parse_machine_record(item, json_object_get(value, "Jobs"), &machine, error);
        /* Appended even if it is invalid, because the array then frees its entries. */
        g_array_append_val(record->machines, machine);
        if (!is_valid || !check_shard(&machine, record, error))
            return false;
    }
    return true;
}

bool codec_parse_page_record(const char *page, const json_t *value, uint64_t revision,
                             page_record_t *record, GError **error)
{
    *record = (page_record_t){.revision = revision, .machines = machine_records_new()};
    bool is_valid = parse_page(page, value, record, error);
    if (!is_valid)
        g_array_unref(record->machines);
    return is_valid;
}

json_t *codec_build_progress_chunk(const uint8_t *bits, gsize bytes, uint32_t done_count)
{
    g_autofree char *text = g_base64_encode(bits, bytes);
    return json_pack("{s:s,s:I}", "Bits", text, "Done", (json_int_t)done_count);
}

uint8_t *codec_parse_progress_chunk(const json_t *value, gsize *bytes)
{
    const char *text = json_string_value(json_object_get(value, "Bits"));
    return text ? g_base64_decode(text, bytes) : NULL;
}

json_t *codec_build_terminal_state(bool is_done, uint32_t done_count)
{
    return json_pack("{s:s,s:I}", "Trim", is_done ? "done" : "cancelled", "Done",
                     (json_int_t)done_count);
}

bool codec_is_terminal_state_done(const json_t *value)
{
    return g_strcmp0(json_string_value(json_object_get(value, "Trim")), "done") == 0;
}

json_t *codec_build_retained_workers(int64_t written_at_ms, const GPtrArray *machines)
{
    json_t *ids = json_array();
    for (guint i = 0; i < machines->len; i++)
        json_array_append_new(ids, json_string(g_ptr_array_index(machines, i)));
    return json_pack("{s:I,s:o}", "At", (json_int_t)written_at_ms, "Machines", ids);
}

int64_t codec_get_retained_time(const json_t *value)
{
    return json_integer_value(json_object_get(value, "At"));
}

GPtrArray *codec_parse_retained_workers(const json_t *value)
{
    return codec_collect_strings(json_object_get(value, "Machines"));
}

json_t *codec_build_relay_page(const relay_page_t *page)
{
    return json_pack("{s:i,s:i,s:s%}", "Pages", (int)page->pages, "Bytes", (int)page->frame_bytes,
                     "Message", page->text, page->text_length);
}

void codec_parse_relay_page(const json_t *value, relay_page_t *page)
{
    const json_t *text = json_object_get(value, "Message");
    *page = (relay_page_t){.pages = json_integer_value(json_object_get(value, "Pages")),
                           .frame_bytes = json_integer_value(json_object_get(value, "Bytes")),
                           .text = json_string_value(text),
                           .text_length = json_string_length(text)};
}
