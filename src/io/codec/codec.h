/** @file
 * The codec: converts between the core's plain values and JSON.
 *
 * The JSON is that of the users', workers' and cloud's protocols and of the values in the key-value
 * store. Its field names and enumeration words occur in this folder only. The key-value store's own
 * protocol is in io/kv_store.c.
 *
 * All functions are thread-safe. A parser that fails leaves nothing allocated, and its result must
 * not be used. Every json_t result is a new reference (transfer full); json_t arguments are
 * borrowed (transfer none).
 */
#ifndef PEPPERPULLEY_CODEC_H
#define PEPPERPULLEY_CODEC_H

#include <jansson.h>

#include "core/membership/election.h"
#include "core/partition/page_record.h"
#include "core/types.h"

/** Error domain of the parsers. A message is one line; most begin with the name of the field and a
 * colon. HTTP answers contain the messages of codec_parse_job and codec_parse_worker_heartbeat, so
 * their wording is part of the protocols. */
#define CODEC_ERROR (codec_error_quark())

/** The codes of CODEC_ERROR: what is wrong with a value. */
typedef enum {
    CODEC_ERROR_SYNTAX,  /**< Not JSON, nested too deeply, or not an object at the top level. */
    CODEC_ERROR_MISSING, /**< A required field of a worker heartbeat is missing. */
    CODEC_ERROR_TYPE,    /**< A field has the wrong JSON type or is an empty string. Outside worker
                            heartbeats, also: a required field is missing. In worker heartbeats,
                            also: an integer is out of range. */
    CODEC_ERROR_RANGE,   /**< A number is out of range, or a string or a list is too long. */
    CODEC_ERROR_VALUE    /**< An enumeration word is unknown (outside worker heartbeats, also:
                            missing), or a name, an id or an item of a list is malformed. */
} codec_error_t;

/** Returns the quark of CODEC_ERROR. */
GQuark codec_error_quark(void);

/** Returns whether @p id has the form of a job's id: "j-" followed by JOB_DIGITS_MIN_COUNT to
 * JOB_DIGITS_MAX_COUNT digits. */
bool codec_is_job_id(const char *id);

/** Parses a job. @p is_stored: whether @p body comes from the key-value store instead of a user. A
 * stored job must have a submission time. Its names are not checked again: they were checked when
 * the job was submitted. Returns false and sets @p error (CODEC_ERROR; may be NULL) if the job is
 * malformed. On success, job_spec_clear frees what @p spec owns. */
bool codec_parse_job(const json_t *body, bool is_stored, job_spec_t *spec, GError **error);

/** Copies the job's id from a submission that may be malformed or truncated, so that a repeat of an
 * accepted submission can be recognised. @p partial: the part of the submission that was parsed;
 * may be NULL. @p id: a buffer of @p size bytes, which becomes an empty string if the submission
 * has no id or an id with a NUL character. */
void codec_get_submitted_id(const json_t *partial, char *id, gsize size);

/** Returns the number of tasks of a job, given the job's value in the key-value store. */
uint32_t codec_get_task_count(const json_t *job);

/** Builds a job's value for the key-value store. */
json_t *codec_build_job(const job_spec_t *spec);

/** Builds a job's status, the answer to a user's request. @p done_count, @p running_count: numbers
 * of tasks. */
json_t *codec_build_status(const char *id, const char *state, uint32_t done_count,
                           uint32_t running_count);

/** Builds the answer to a request that is refused. Returns NULL if @p reason is not UTF-8. */
json_t *codec_build_error(const char *reason);

/** Builds the answer of a controller that is ready for users' requests. */
json_t *codec_build_ready(void);

/** Builds the answer to a worker heartbeat that redirects the worker to the controller that owns
 * its machine. @p owner: that controller's name. */
json_t *codec_build_redirect(const char *owner);

/** Parses a worker heartbeat. No JSON tree is built, and error messages are formatted only for
 * malformed heartbeats, because heartbeats are most of the traffic. Returns false and sets @p error
 * (CODEC_ERROR; may be NULL) if the heartbeat is malformed. On success, worker_heartbeat_clear
 * frees what @p heartbeat owns. */
bool codec_parse_worker_heartbeat(const char *text, gsize length, worker_heartbeat_t *heartbeat,
                                  GError **error);

/** Builds the answer to a worker heartbeat. @p commands: GArray of worker_command_t, or NULL for
 * none. */
json_t *codec_build_commands(uint64_t fencing_token, const GArray *commands);

/** Builds a message that pushes commands to a worker. @p worker_epoch: the worker epoch that the
 * commands are for. The other parameters are those of codec_build_commands. */
json_t *codec_build_pushed_commands(uint64_t fencing_token, uint64_t worker_epoch,
                                    const GArray *commands);

/** Parses the cloud's list of machine types. Entries without a valid name, number of cpus or memory
 * size are skipped. Returns a GArray of machine_type_t (transfer full), or NULL if @p body holds no
 * list. */
GArray *codec_parse_machine_types(const json_t *body);

/** State of a machine in the cloud's list. */
typedef enum {
    CLOUD_MACHINE_BOOTING, /**< Requested, not up yet. */
    CLOUD_MACHINE_RUNNING, /**< Up. Also stands for a state that is missing or unknown. */
    CLOUD_MACHINE_FAILED   /**< Failed to boot, or failed later. */
} cloud_machine_state_t;

/** A machine in the cloud's list. */
typedef struct cloud_machine {
    char machine[ID_BYTES];      /**< The machine's id. */
    char type[LABEL_BYTES];      /**< Name of its machine type. */
    char zone[LABEL_BYTES];      /**< Its zone. */
    bool is_spot;                /**< Whether it is a spot machine. */
    cloud_machine_state_t state; /**< Its state. */
    double age_s;                /**< Seconds since it was requested. */
} cloud_machine_t;

/** Parses one page of the cloud's list of machines and appends the machines to @p machines, a
 * GArray of cloud_machine_t. Sets *has_more to whether another page follows. Returns false if the
 * page is malformed; in that case some of its machines may have been appended. */
bool codec_parse_cloud_machines(const json_t *body, GArray *machines, bool *has_more);

/** Builds a scale-out request for @p count machines of one type and zone. The cloud executes
 * requests with the same @p idempotency_key only once. */
json_t *codec_build_scale_out(const char *idempotency_key, const char *type, const char *zone,
                              bool is_spot, guint count);

/** Parses the answer to a scale-out request that was executed. @p answer may be NULL. Returns the
 * ids of the new machines: GPtrArray of const char *, borrowed from @p answer (transfer container).
 * Sets *accepted_count to the number of machines listed, including those whose id is not a string
 * and which are therefore missing from the result. */
GPtrArray *codec_parse_scale_out_answer(const json_t *answer, gsize *accepted_count);

/** Returns whether an error answer of the cloud says that it has no capacity. @p answer may be
 * NULL. */
bool codec_is_no_capacity(const json_t *answer);

/** Builds a scale-in request. @p machines: GPtrArray of char *, the machines' ids. */
json_t *codec_build_scale_in(const GPtrArray *machines);

/** Builds the value of machines/PAGE, a page of machine records. Returns NULL if a part of it
 * cannot be built, for example because a text is not UTF-8; the page must then not be written. */
json_t *codec_build_page_record(const page_record_t *record);

/** Parses the value of machines/PAGE. @p page: the page's name, the last part of the key.
 * @p revision: the revision of the key. Returns false and sets @p error (CODEC_ERROR; may be NULL)
 * if the value is corrupt. On success, the caller owns record->machines (transfer full).
 *
 * A page with a machine of another shard is corrupt: that machine would have two owners. */
bool codec_parse_page_record(const char *page, const json_t *value, uint64_t revision,
                             page_record_t *record, GError **error);

/** Builds the value of done/JOB/CHUNK: one bit for each task of the chunk, set if the task is done.
 * @p bits is @p bytes long. @p done_count: the number of tasks that are done. */
json_t *codec_build_progress_chunk(const uint8_t *bits, gsize bytes, uint32_t done_count);

/** Parses the value of done/JOB/CHUNK. Returns the bits (transfer full, g_free) and sets *bytes to
 * their size, or returns NULL if the value has none. */
uint8_t *codec_parse_progress_chunk(const json_t *value, gsize *bytes);

/** Builds the value of ended/JOB: the job's terminal state. @p is_done: whether the job is done
 * rather than cancelled. @p done_count: the number of its tasks that are done. */
json_t *codec_build_terminal_state(bool is_done, uint32_t done_count);

/** Returns true if the value of ended/JOB says that the job is done, false if the job was
 * cancelled. */
bool codec_is_terminal_state_done(const json_t *value);

/** Builds the value of kept/NAME: the workers that a controller retains. @p written_at_ms: the
 * current wall-clock time in milliseconds since 1970. @p machines: GPtrArray of char *, the
 * machines' ids. */
json_t *codec_build_retained_workers(int64_t written_at_ms, const GPtrArray *machines);

/** Returns the wall-clock time, in milliseconds since 1970, at which the value of kept/NAME was
 * written, or 0 if the value has no time. */
int64_t codec_get_retained_time(const json_t *value);

/** Parses the value of kept/NAME. Returns the ids of the machines whose workers are retained:
 * GPtrArray of const char *, borrowed from @p value (transfer container). */
GPtrArray *codec_parse_retained_workers(const json_t *value);

/** A page of a relayed message, the value of mail/INBOX/NAME.PAGE. The parser does not check the
 * numbers; the reader must. */
typedef struct relay_page {
    int64_t pages;       /**< Number of pages of the message; 0 if the value has no number. */
    int64_t frame_bytes; /**< Size of the uncompressed message; 0 if the value has no size. */
    const char *text;    /**< The part of the message's text on this page; borrowed. NULL if the
                            parsed value has none. A text to be built needs no terminating zero. */
    gsize text_length;   /**< Length of the text in bytes. */
} relay_page_t;

/** Builds the value of mail/INBOX/NAME.PAGE. */
json_t *codec_build_relay_page(const relay_page_t *page);

/** Parses the value of mail/INBOX/NAME.PAGE. The page's text is borrowed from @p value. */
void codec_parse_relay_page(const json_t *value, relay_page_t *page);

/** Builds the value of view/number for a view. */
json_t *codec_build_view(const view_t *view);

/** Parses the value of view/number into @p view. @p revision: the revision of the key. Returns
 * false and leaves @p view unchanged if the value is not a view. */
bool codec_parse_view(const json_t *value, uint64_t revision, view_t *view);

/** Parses a member: the value of a key below view/members/, or an item of a view's list of members.
 * Returns false and clears @p member if the value is not a member. */
bool codec_parse_member(const json_t *value, member_t *member);

/** Parses the value of view/lease. @p value is NULL if there is no lease. Returns the name of the
 * lease's holder, borrowed from @p value (transfer none), or NULL if there is none. Sets
 * *incarnation to the holder's incarnation, or to 0 if there is none. */
const char *codec_parse_lease(const json_t *value, uint64_t *incarnation);

/** Builds a member: the value of view/members/NAME or of view/lease, or an item of a view's list of
 * members. */
json_t *codec_build_member(const member_t *member);

#endif
