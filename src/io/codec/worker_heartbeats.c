/* Parses worker heartbeats. yajl's callbacks store the values in the heartbeat directly, without
 * building a JSON tree, because heartbeats are most of the traffic.
 *
 * The fields of the heartbeat are those of the outermost object. The fields of an attempt are those
 * of an object in the heartbeat's list of attempts. Fields with other names and deeper values are
 * skipped.
 */
#include <string.h>

#include "io/codec/heartbeat_values.h"
#include "io/codec/json_events.h"

/* The depth of a value: the number of containers that are open around it. */
enum { DEPTH_ROOT = 0, DEPTH_HEARTBEAT = 1, DEPTH_LIST = 2, DEPTH_ATTEMPT = 3 };

typedef enum {
    FIELD_MACHINE,
    FIELD_ADDRESS,
    FIELD_TYPE,
    FIELD_ZONE,
    FIELD_SPOT,
    FIELD_WORKER_EPOCH,
    FIELD_HEARTBEAT_SEQUENCE,
    FIELD_FENCING_TOKEN,
    FIELD_INTERRUPTION,
    FIELD_ATTEMPTS,
    FIELDS_COUNT,
    FIELD_UNKNOWN = FIELDS_COUNT
} heartbeat_field_t;

static const char *const field_names[FIELDS_COUNT] = {[FIELD_MACHINE] = "Winch",
                                                      [FIELD_ADDRESS] = "Address",
                                                      [FIELD_TYPE] = "Hull",
                                                      [FIELD_ZONE] = "Dock",
                                                      [FIELD_SPOT] = "Driftwood",
                                                      [FIELD_WORKER_EPOCH] = "Watch",
                                                      [FIELD_HEARTBEAT_SEQUENCE] = "Tally",
                                                      [FIELD_FENCING_TOKEN] = "Helm",
                                                      [FIELD_INTERRUPTION] = "WarningS",
                                                      [FIELD_ATTEMPTS] = "Pieces"};

typedef enum {
    ATTEMPT_FIELD_TASK,
    ATTEMPT_FIELD_NUMBER,
    ATTEMPT_FIELD_STATE,
    ATTEMPT_FIELD_CAUSE,
    ATTEMPT_FIELDS_COUNT,
    ATTEMPT_FIELD_UNKNOWN = ATTEMPT_FIELDS_COUNT
} attempt_field_t;

static const char *const attempt_field_names[ATTEMPT_FIELDS_COUNT] = {
    [ATTEMPT_FIELD_TASK] = "Piece",
    [ATTEMPT_FIELD_NUMBER] = "Heave",
    [ATTEMPT_FIELD_STATE] = "Trim",
    [ATTEMPT_FIELD_CAUSE] = "Cause"};

/* In this state of the protocol, a task of a gang waits for the other tasks of the gang. The core
 * has no such state and gets TASK_FETCHING instead. */
enum { STATE_GATHERING = TASK_EXITED + 1 };

static const char *const state_names[] = {[TASK_FETCHING] = "pulling",
                                          [TASK_RUNNING] = "running",
                                          [TASK_SAVING] = "saving",
                                          [TASK_EXITED] = "exited",
                                          [STATE_GATHERING] = "gathering"};

static const char *const cause_names[] = {[CAUSE_NONE] = "",
                                          [CAUSE_DONE] = "done",
                                          [CAUSE_STOPPED] = "halted",
                                          [CAUSE_ERROR] = "error",
                                          [CAUSE_FULL] = "full",
                                          [CAUSE_IN_USE] = "in_use",
                                          [CAUSE_NO_SUCH] = "no_such",
                                          [CAUSE_GANG_PEER_ENDED] = "peers",
                                          [CAUSE_GANG_INCOMPLETE] = "alone"};

typedef struct heartbeat_reader {
    worker_heartbeat_t *heartbeat; /* the result */
    GError **error;                /* may be NULL */
    guint depth;                   /* number of open containers */
    bool is_in_attempts;           /* whether the list of attempts is open */
    heartbeat_field_t field;       /* field of the next value at DEPTH_HEARTBEAT */
    guint seen_fields;             /* bit 1U << field is set for each field read so far */
    attempt_field_t attempt_field; /* field of the next value at DEPTH_ATTEMPT */
    guint seen_attempt_fields;     /* the same for the fields of this attempt */
    reported_attempt_t attempt;    /* the attempt that is being read */
} heartbeat_reader_t;

/* Sets the error. Always returns false, which the callbacks return in turn to stop the parsing. */
static bool set_field_error(heartbeat_reader_t *reader, codec_error_t code, const char *name,
                            const char *fault)
{
    return codec_set_error(reader->error, code, "%s: %s", name, fault);
}

static bool read_field(heartbeat_reader_t *reader, const value_t *value)
{
    worker_heartbeat_t *heartbeat = reader->heartbeat;
    GError **error = reader->error;
    if (reader->field == FIELD_UNKNOWN)
        return true;
    const char *name = field_names[reader->field];
    reader->seen_fields |= 1U << reader->field;
    switch (reader->field) {
    case FIELD_MACHINE:
        return value_read_string(value, name, heartbeat->machine, sizeof heartbeat->machine, error);
    case FIELD_ADDRESS:
        return value_read_string(value, name, heartbeat->address, sizeof heartbeat->address, error);
    case FIELD_TYPE:
        return value_read_string(value, name, heartbeat->type, sizeof heartbeat->type, error);
    case FIELD_ZONE:
        return value_read_string(value, name, heartbeat->zone, sizeof heartbeat->zone, error);
    case FIELD_SPOT:
        return value_read_boolean(value, name, &heartbeat->is_spot, error);
    case FIELD_WORKER_EPOCH:
        return value_read_integer(value, name, &heartbeat->worker_epoch, error);
    case FIELD_HEARTBEAT_SEQUENCE:
        return value_read_integer(value, name, &heartbeat->heartbeat_sequence, error);
    case FIELD_FENCING_TOKEN:
        return value_read_integer(value, name, &heartbeat->fencing_token, error);
    case FIELD_INTERRUPTION:
        heartbeat->interruption_in_s = -1; /* stays if the value is null: no interruption notice */
        return value_read_optional_number(value, name, &heartbeat->interruption_in_s, error);
    case FIELD_ATTEMPTS: /* read_array_start handles the list itself */
        return value->type == VALUE_NULL ||
               set_field_error(reader, CODEC_ERROR_TYPE, name, "a list is expected");
    case FIELD_UNKNOWN:
        break;
    }
    return true;
}

/* Reads the name of a task, which has the form "JOB/TASK". */
static bool read_task(heartbeat_reader_t *reader, const value_t *value)
{
    reported_attempt_t *attempt = &reader->attempt;
    const char *slash = value_is_c_string(value) ? memchr(value->text, '/', value->length) : NULL;
    gsize length = slash ? (gsize)(slash - value->text) : 0;
    uint64_t task = 0;
    if (!slash || length == 0 || length >= sizeof attempt->job ||
        !value_parse_integer(slash + 1, value->length - length - 1, G_MAXUINT32, &task))
        return set_field_error(reader, CODEC_ERROR_VALUE, "Pieces",
                               "Piece is not the name of a task");
    memcpy(attempt->job, slash - length, length);
    attempt->job[length] = '\0';
    attempt->task = (uint32_t)task;
    return true;
}

static bool read_state(heartbeat_reader_t *reader, const value_t *value)
{
    guint state = G_N_ELEMENTS(state_names);
    if (value_is_c_string(value))
        state = value_find_word(state_names, G_N_ELEMENTS(state_names), value->text, value->length);
    if (state == G_N_ELEMENTS(state_names))
        return set_field_error(reader, CODEC_ERROR_VALUE, "Trim", "not one of the known words");
    reader->attempt.state = state > TASK_EXITED ? TASK_FETCHING : (task_state_t)state;
    return true;
}

/* A cause that is unknown or malformed counts as CAUSE_ERROR and is not refused, because the
 * attempt has exited in any case. */
static bool read_cause(heartbeat_reader_t *reader, const value_t *value)
{
    guint cause = G_N_ELEMENTS(cause_names);
    if (value_is_c_string(value))
        cause = value_find_word(cause_names, G_N_ELEMENTS(cause_names), value->text, value->length);
    reader->attempt.cause = cause < G_N_ELEMENTS(cause_names) ? (cause_t)cause : CAUSE_ERROR;
    return true;
}

static bool read_attempt_field(heartbeat_reader_t *reader, const value_t *value)
{
    if (reader->attempt_field == ATTEMPT_FIELD_UNKNOWN)
        return true;
    reader->seen_attempt_fields |= 1U << reader->attempt_field;
    switch (reader->attempt_field) {
    case ATTEMPT_FIELD_TASK:
        return read_task(reader, value);
    case ATTEMPT_FIELD_NUMBER:
        return value_read_integer(value, attempt_field_names[ATTEMPT_FIELD_NUMBER],
                                  &reader->attempt.attempt, reader->error);
    case ATTEMPT_FIELD_STATE:
        return read_state(reader, value);
    case ATTEMPT_FIELD_CAUSE:
        return read_cause(reader, value);
    case ATTEMPT_FIELD_UNKNOWN:
        break;
    }
    return true;
}

static bool read_value(heartbeat_reader_t *reader, const value_t *value)
{
    if (reader->depth == DEPTH_ROOT)
        return set_field_error(reader, CODEC_ERROR_SYNTAX, "report", "a JSON object is expected");
    if (reader->depth == DEPTH_HEARTBEAT)
        return read_field(reader, value);
    if (reader->depth == DEPTH_LIST && reader->is_in_attempts)
        return set_field_error(reader, CODEC_ERROR_VALUE, "Pieces",
                               "Piece is not the name of a task");
    if (reader->depth == DEPTH_ATTEMPT && reader->is_in_attempts)
        return read_attempt_field(reader, value);
    return true;
}

static bool open_container(heartbeat_reader_t *reader)
{
    reader->depth++;
    if (reader->depth > JSON_DEPTH_MAX_COUNT)
        return set_field_error(reader, CODEC_ERROR_SYNTAX, "report", "nested too deeply");
    return true;
}

static int read_object_start(void *context)
{
    heartbeat_reader_t *reader = context;
    const value_t value = {.type = VALUE_CONTAINER};
    if (reader->depth == DEPTH_LIST && reader->is_in_attempts) {
        reader->attempt = (reported_attempt_t){0};
        reader->seen_attempt_fields = 0;
    } else if (reader->depth != DEPTH_ROOT && !read_value(reader, &value)) {
        return false;
    }
    return open_container(reader);
}

static int read_array_start(void *context)
{
    heartbeat_reader_t *reader = context;
    const value_t value = {.type = VALUE_CONTAINER};
    if (reader->depth == DEPTH_HEARTBEAT && reader->field == FIELD_ATTEMPTS) {
        reader->is_in_attempts = true;
        g_array_set_size(reader->heartbeat->attempts, 0);
    } else if (!read_value(reader, &value)) {
        return false;
    }
    return open_container(reader);
}

static bool append_attempt(heartbeat_reader_t *reader)
{
    static const guint required =
        1U << ATTEMPT_FIELD_TASK | 1U << ATTEMPT_FIELD_NUMBER | 1U << ATTEMPT_FIELD_STATE;
    guint missing = required & ~reader->seen_attempt_fields;
    reported_attempt_t *attempt = &reader->attempt;
    if (missing)
        return set_field_error(reader, CODEC_ERROR_MISSING,
                               attempt_field_names[g_bit_nth_lsf(missing, -1)], "missing");
    if (attempt->state != TASK_EXITED)
        attempt->cause = CAUSE_NONE;
    else if (!(reader->seen_attempt_fields & 1U << ATTEMPT_FIELD_CAUSE))
        attempt->cause = CAUSE_ERROR;
    g_array_append_val(reader->heartbeat->attempts, *attempt);
    return true;
}

static int read_object_end(void *context)
{
    heartbeat_reader_t *reader = context;
    reader->depth--;
    if (reader->is_in_attempts && reader->depth == DEPTH_LIST)
        return append_attempt(reader);
    return true;
}

static int read_array_end(void *context)
{
    heartbeat_reader_t *reader = context;
    reader->depth--;
    if (reader->depth == DEPTH_HEARTBEAT)
        reader->is_in_attempts = false;
    return true;
}

static int read_key(void *context, const unsigned char *text, size_t length)
{
    heartbeat_reader_t *reader = context;
    if (reader->depth == DEPTH_HEARTBEAT)
        reader->field = (heartbeat_field_t)value_find_word(field_names, FIELDS_COUNT,
                                                           (const char *)text, length);
    else if (reader->depth == DEPTH_ATTEMPT && reader->is_in_attempts)
        reader->attempt_field = (attempt_field_t)value_find_word(
            attempt_field_names, ATTEMPT_FIELDS_COUNT, (const char *)text, length);
    return true;
}

static int read_null(void *context)
{
    const value_t value = {.type = VALUE_NULL};
    return read_value(context, &value);
}

static int read_boolean(void *context, int is_true)
{
    const value_t value = {.type = VALUE_BOOLEAN, .is_true = is_true};
    return read_value(context, &value);
}

static int read_number(void *context, const char *text, size_t length)
{
    const value_t value = {.type = VALUE_NUMBER, .text = text, .length = length};
    return read_value(context, &value);
}

static int read_string(void *context, const unsigned char *text, size_t length)
{
    const value_t value = {.type = VALUE_STRING, .text = (const char *)text, .length = length};
    return read_value(context, &value);
}

static bool check_required_fields(heartbeat_reader_t *reader)
{
    static const guint optional = 1U << FIELD_INTERRUPTION | 1U << FIELD_ATTEMPTS;
    guint missing = ((1U << FIELDS_COUNT) - 1) & ~optional & ~reader->seen_fields;
    if (missing)
        return set_field_error(reader, CODEC_ERROR_MISSING, field_names[g_bit_nth_lsf(missing, -1)],
                               "missing");
    return true;
}

bool codec_parse_worker_heartbeat(const char *text, gsize length, worker_heartbeat_t *heartbeat,
                                  GError **error)
{
    static const yajl_callbacks callbacks = {.yajl_null = read_null,
                                             .yajl_boolean = read_boolean,
                                             .yajl_number = read_number,
                                             .yajl_string = read_string,
                                             .yajl_start_map = read_object_start,
                                             .yajl_map_key = read_key,
                                             .yajl_end_map = read_object_end,
                                             .yajl_start_array = read_array_start,
                                             .yajl_end_array = read_array_end};
    heartbeat_reader_t reader = {.heartbeat = heartbeat, .error = error, .field = FIELD_UNKNOWN};
    *heartbeat = (worker_heartbeat_t){.interruption_in_s = -1};
    heartbeat->attempts = g_array_new(FALSE, FALSE, sizeof(reported_attempt_t));
    bool is_valid =
        json_events_parse(&callbacks, &reader, text, length) && check_required_fields(&reader);
    if (!is_valid)
        worker_heartbeat_clear(heartbeat);
    if (!is_valid && error && !*error) /* yajl found the fault, not a callback */
        codec_set_error(error, CODEC_ERROR_SYNTAX, "not JSON");
    return is_valid;
}
