/* Workers' heartbeats, the steadiest traffic: read while they are parsed, without a tree in
 * between.
 *
 * The fields of the heartbeat are those of the outermost object; those of its attempts are the ones
 * of the objects in the list of attempts. What lies deeper, or under another name, is passed over.
 */
#include "io/codec/codec_internal.h"

#include <math.h>
#include <string.h>
#include <yajl/yajl_parse.h>

enum { READ_STOP = 0, READ_ON = 1 };

/* How many containers are open round a value. */
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
    HEARTBEAT_FIELDS,
    FIELD_UNKNOWN = HEARTBEAT_FIELDS
} heartbeat_field_t;

static const char *const report_fields[HEARTBEAT_FIELDS] = {"Winch",     "Address", "Hull",  "Dock",
                                                            "Driftwood", "Watch",   "Tally", "Helm",
                                                            "WarningS",  "Pieces"};

typedef enum {
    ATTEMPT_FIELD_TASK,
    ATTEMPT_FIELD_NUMBER,
    ATTEMPT_FIELD_STATE,
    ATTEMPT_FIELD_CAUSE,
    ATTEMPT_FIELDS,
    ATTEMPT_FIELD_UNKNOWN = ATTEMPT_FIELDS
} attempt_field_t;

static const char *const attempt_fields[ATTEMPT_FIELDS] = {"Piece", "Heave", "Trim", "Cause"};

/* A gang's task that waits for the others is one that starts: gathering counts as pulling. */
static const char *const states[] = {"pulling", "running", "saving", "exited", "gathering"};
static const char *const causes[] = {"",       "done",    "halted", "error", "full",
                                     "in_use", "no_such", "peers",  "alone"};

typedef enum { VALUE_NULL, VALUE_BOOLEAN, VALUE_NUMBER, VALUE_STRING, VALUE_CONTAINER } kind_t;

/* A value while it is read; text is borrowed and has no final zero. */
typedef struct value {
    kind_t kind;
    const char *text;
    gsize length;
    bool is_true;
} value_t;

typedef struct heartbeat_reader {
    worker_heartbeat_t *heartbeat;
    reason_t *why;
    guint depth;
    bool in_list;            /* of attempts */
    heartbeat_field_t field; /* whose value comes next */
    guint seen;              /* a bit for each field of the heartbeat that was read */
    attempt_field_t attempt_field;
    guint attempt_seen;
    reported_attempt_t attempt;
} heartbeat_reader_t;

/* Sets the reason and ends the parsing. */
static int refuse(heartbeat_reader_t *reader, const char *name, const char *expected)
{
    codec_fail(reader->why, "%s: %s", name, expected);
    return READ_STOP;
}

static guint find_name(const char *const *names, guint count, const char *text, gsize length)
{
    guint i = 0;
    while (i < count && (strlen(names[i]) != length || memcmp(names[i], text, length) != 0))
        i++;
    return i;
}

/* A string without NUL characters, of which C would see a part only. */
static bool is_text(const value_t *value)
{
    return value->kind == VALUE_STRING && !memchr(value->text, '\0', value->length);
}

static int take_text(heartbeat_reader_t *reader, const value_t *value, const char *name, char *to,
                     gsize size)
{
    if (!is_text(value) || value->length == 0)
        return refuse(reader, name, "a non-empty string is expected");
    if (value->length >= size)
        return refuse(reader, name, "too long");
    memcpy(to, value->text, value->length);
    to[value->length] = '\0';
    return READ_ON;
}

static bool parse_integer(const char *text, gsize length, guint64 most, uint64_t *to)
{
    char digits[NUMBER_BYTES];
    if (length >= sizeof digits)
        return false;
    memcpy(digits, text, length);
    digits[length] = '\0';
    return g_ascii_string_to_unsigned(digits, DECIMAL, 0, most, to, NULL);
}

static int take_count(heartbeat_reader_t *reader, const value_t *value, const char *name,
                      uint64_t *to)
{
    if (value->kind != VALUE_NUMBER || !parse_integer(value->text, value->length, G_MAXINT64, to))
        return refuse(reader, name, "an integer in range is expected");
    return READ_ON;
}

/* null: none was announced. */
static int read_interruption(heartbeat_reader_t *reader, const value_t *value, const char *name)
{
    char number[LABEL_BYTES];
    reader->heartbeat->interruption_in_s = -1;
    if (value->kind == VALUE_NULL)
        return READ_ON;
    if (value->kind != VALUE_NUMBER || value->length >= sizeof number)
        return refuse(reader, name, "a number is expected");
    memcpy(number, value->text, value->length);
    number[value->length] = '\0';
    double amount = g_ascii_strtod(number, NULL);
    if (!isfinite(amount) || amount < 0 || amount > AMOUNT_MAX)
        return refuse(reader, name, "out of range");
    reader->heartbeat->interruption_in_s = amount;
    return READ_ON;
}

static int read_heartbeat_field(heartbeat_reader_t *reader, const value_t *value)
{
    worker_heartbeat_t *heartbeat = reader->heartbeat;
    if (reader->field == FIELD_UNKNOWN)
        return READ_ON;
    const char *name = report_fields[reader->field];
    reader->seen |= 1U << reader->field;
    switch (reader->field) {
    case FIELD_MACHINE:
        return take_text(reader, value, name, heartbeat->machine, sizeof heartbeat->machine);
    case FIELD_ADDRESS:
        return take_text(reader, value, name, heartbeat->address, sizeof heartbeat->address);
    case FIELD_TYPE:
        return take_text(reader, value, name, heartbeat->type, sizeof heartbeat->type);
    case FIELD_ZONE:
        return take_text(reader, value, name, heartbeat->zone, sizeof heartbeat->zone);
    case FIELD_SPOT:
        heartbeat->spot = value->is_true;
        return value->kind == VALUE_BOOLEAN ? READ_ON
                                            : refuse(reader, name, "true or false is expected");
    case FIELD_WORKER_EPOCH:
        return take_count(reader, value, name, &heartbeat->worker_epoch);
    case FIELD_HEARTBEAT_SEQUENCE:
        return take_count(reader, value, name, &heartbeat->heartbeat_sequence);
    case FIELD_FENCING_TOKEN:
        return take_count(reader, value, name, &heartbeat->fencing_token);
    case FIELD_INTERRUPTION:
        return read_interruption(reader, value, name);
    case FIELD_ATTEMPTS: /* a list is no plain value */
        return value->kind == VALUE_NULL ? READ_ON : refuse(reader, name, "a list is expected");
    case FIELD_UNKNOWN:
        break;
    }
    return READ_ON;
}

/* "job/task". */
static int take_task(heartbeat_reader_t *reader, const value_t *value)
{
    reported_attempt_t *attempt = &reader->attempt;
    const char *slash = is_text(value) ? memchr(value->text, '/', value->length) : NULL;
    gsize length = slash ? (gsize)(slash - value->text) : 0;
    uint64_t task = 0;
    if (length == 0 || length >= sizeof attempt->job ||
        !parse_integer(slash + 1, value->length - length - 1, G_MAXUINT32, &task))
        return refuse(reader, "Pieces", "Piece is not the name of a task");
    memcpy(attempt->job, value->text, length);
    attempt->job[length] = '\0';
    attempt->task = (uint32_t)task;
    return READ_ON;
}

static int take_state(heartbeat_reader_t *reader, const value_t *value)
{
    guint state = G_N_ELEMENTS(states);
    if (is_text(value))
        state = find_name(states, G_N_ELEMENTS(states), value->text, value->length);
    if (state == G_N_ELEMENTS(states))
        return refuse(reader, "Trim", "not one of the known words");
    reader->attempt.state = state > TASK_EXITED ? TASK_FETCHING : (task_state_t)state;
    return READ_ON;
}

/* A cause not known here counts as a failure: the attempt is over in any case. */
static int take_cause(heartbeat_reader_t *reader, const value_t *value)
{
    guint cause = G_N_ELEMENTS(causes);
    if (is_text(value))
        cause = find_name(causes, G_N_ELEMENTS(causes), value->text, value->length);
    reader->attempt.cause = cause < G_N_ELEMENTS(causes) ? (cause_t)cause : CAUSE_ERROR;
    return READ_ON;
}

static int take_attempt_field(heartbeat_reader_t *reader, const value_t *value)
{
    if (reader->attempt_field == ATTEMPT_FIELD_UNKNOWN)
        return READ_ON;
    reader->attempt_seen |= 1U << reader->attempt_field;
    switch (reader->attempt_field) {
    case ATTEMPT_FIELD_TASK:
        return take_task(reader, value);
    case ATTEMPT_FIELD_NUMBER:
        return take_count(reader, value, attempt_fields[ATTEMPT_FIELD_NUMBER],
                          &reader->attempt.attempt);
    case ATTEMPT_FIELD_STATE:
        return take_state(reader, value);
    case ATTEMPT_FIELD_CAUSE:
        return take_cause(reader, value);
    case ATTEMPT_FIELD_UNKNOWN:
        break;
    }
    return READ_ON;
}

static int take_value(heartbeat_reader_t *reader, const value_t *value)
{
    if (reader->depth == DEPTH_ROOT)
        return refuse(reader, "report", "a JSON object is expected");
    if (reader->depth == DEPTH_HEARTBEAT)
        return read_heartbeat_field(reader, value);
    if (reader->depth == DEPTH_LIST && reader->in_list)
        return refuse(reader, "Pieces", "Piece is not the name of a task");
    if (reader->depth == DEPTH_ATTEMPT && reader->in_list)
        return take_attempt_field(reader, value);
    return READ_ON;
}

static int open_container(heartbeat_reader_t *reader)
{
    return ++reader->depth > JSON_DEPTH_MAX_COUNT ? refuse(reader, "report", "nested too deeply")
                                                  : READ_ON;
}

static int read_map_start(void *context)
{
    heartbeat_reader_t *reader = context;
    const value_t value = {.kind = VALUE_CONTAINER};
    if (reader->depth == DEPTH_LIST && reader->in_list) {
        reader->attempt = (reported_attempt_t){0};
        reader->attempt_seen = 0;
    } else if (reader->depth != DEPTH_ROOT && take_value(reader, &value) == READ_STOP) {
        return READ_STOP;
    }
    return open_container(reader);
}

static int read_list_start(void *context)
{
    heartbeat_reader_t *reader = context;
    const value_t value = {.kind = VALUE_CONTAINER};
    if (reader->depth == DEPTH_HEARTBEAT && reader->field == FIELD_ATTEMPTS) {
        reader->in_list = true;
        g_array_set_size(reader->heartbeat->attempts, 0);
    } else if (take_value(reader, &value) == READ_STOP) {
        return READ_STOP;
    }
    return open_container(reader);
}

static int end_attempt(heartbeat_reader_t *reader)
{
    static const guint needed =
        1U << ATTEMPT_FIELD_TASK | 1U << ATTEMPT_FIELD_NUMBER | 1U << ATTEMPT_FIELD_STATE;
    guint missing = needed & ~reader->attempt_seen;
    reported_attempt_t *attempt = &reader->attempt;
    if (missing)
        return refuse(reader, attempt_fields[g_bit_nth_lsf(missing, -1)], "missing");
    if (attempt->state != TASK_EXITED)
        attempt->cause = CAUSE_NONE;
    else if (!(reader->attempt_seen & 1U << ATTEMPT_FIELD_CAUSE))
        attempt->cause = CAUSE_ERROR;
    g_array_append_val(reader->heartbeat->attempts, *attempt);
    return READ_ON;
}

static int read_map_end(void *context)
{
    heartbeat_reader_t *reader = context;
    reader->depth--;
    return reader->in_list && reader->depth == DEPTH_LIST ? end_attempt(reader) : READ_ON;
}

static int read_list_end(void *context)
{
    heartbeat_reader_t *reader = context;
    reader->depth--;
    if (reader->depth == DEPTH_HEARTBEAT)
        reader->in_list = false;
    return READ_ON;
}

static int read_key(void *context, const unsigned char *text, size_t length)
{
    heartbeat_reader_t *reader = context;
    if (reader->depth == DEPTH_HEARTBEAT)
        reader->field = (heartbeat_field_t)find_name(report_fields, HEARTBEAT_FIELDS,
                                                     (const char *)text, length);
    else if (reader->depth == DEPTH_ATTEMPT && reader->in_list)
        reader->attempt_field =
            (attempt_field_t)find_name(attempt_fields, ATTEMPT_FIELDS, (const char *)text, length);
    return READ_ON;
}

static int read_null(void *context)
{
    const value_t value = {.kind = VALUE_NULL};
    return take_value(context, &value);
}

static int read_boolean(void *context, int is_true)
{
    const value_t value = {.kind = VALUE_BOOLEAN, .is_true = is_true};
    return take_value(context, &value);
}

static int read_number(void *context, const char *text, size_t length)
{
    const value_t value = {.kind = VALUE_NUMBER, .text = text, .length = length};
    return take_value(context, &value);
}

static int read_string(void *context, const unsigned char *text, size_t length)
{
    const value_t value = {.kind = VALUE_STRING, .text = (const char *)text, .length = length};
    return take_value(context, &value);
}

static bool has_all_fields(heartbeat_reader_t *reader)
{
    static const guint optional = 1U << FIELD_INTERRUPTION | 1U << FIELD_ATTEMPTS;
    guint missing = ((1U << HEARTBEAT_FIELDS) - 1) & ~optional & ~reader->seen;
    if (missing)
        refuse(reader, report_fields[g_bit_nth_lsf(missing, -1)], "missing");
    return missing == 0;
}

bool codec_parse_worker_heartbeat(const char *text, gsize length, worker_heartbeat_t *heartbeat,
                                  reason_t *why)
{
    static const yajl_callbacks callbacks = {.yajl_null = read_null,
                                             .yajl_boolean = read_boolean,
                                             .yajl_number = read_number,
                                             .yajl_string = read_string,
                                             .yajl_start_map = read_map_start,
                                             .yajl_map_key = read_key,
                                             .yajl_end_map = read_map_end,
                                             .yajl_start_array = read_list_start,
                                             .yajl_end_array = read_list_end};
    heartbeat_reader_t reader = {.heartbeat = heartbeat, .why = why, .field = FIELD_UNKNOWN};
    *heartbeat = (worker_heartbeat_t){.interruption_in_s = -1};
    heartbeat->attempts = g_array_new(FALSE, FALSE, sizeof(reported_attempt_t));
    if (why)
        why->text[0] = '\0';
    yajl_handle parser = yajl_alloc(&callbacks, NULL, &reader);
    bool is_valid = yajl_parse(parser, (const unsigned char *)text, length) == yajl_status_ok &&
                    yajl_complete_parse(parser) == yajl_status_ok && has_all_fields(&reader);
    yajl_free(parser);
    if (!is_valid)
        worker_heartbeat_clear(heartbeat);
    if (!is_valid && why && why->text[0] == '\0')
        codec_fail(why, "not JSON");
    return is_valid;
}
