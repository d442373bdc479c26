/** @file
 * The codec: JSON of the protocols and of stored values, to and from the core's plain values.
 *
 * Field names and words of the users', workers' and cloud's protocols and of the values in the
 * key-value store occur here only; the key-value store's own protocol is in io/kv_store.c.
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

/** Error domain of the parsers. A message has the form "field: what is expected", on one line. */
#define CODEC_ERROR (codec_error_quark())

/** What is wrong with a value: the codes of CODEC_ERROR. */
typedef enum {
    CODEC_ERROR_SYNTAX,  /**< Not JSON, nested too deeply, or not an object at the top. */
    CODEC_ERROR_MISSING, /**< A required field is missing. */
    CODEC_ERROR_TYPE,    /**< A field is missing or has the wrong JSON type, or an empty string. */
    CODEC_ERROR_RANGE,   /**< A number is out of range; a string or a list is too long. */
    CODEC_ERROR_VALUE    /**< A word, name or id has the wrong form or is unknown. */
} codec_error_t;

/** Returns the quark of CODEC_ERROR. */
GQuark codec_error_quark(void);

/** Returns whether @p id has the form of a job's id: "j-" and six or more digits. */
bool codec_is_job_id(const char *id);

/** Parses a job, from its user or (@p stored) from the key-value store, where it has a submission
 * time and its names were checked before. Returns false and sets @p error (CODEC_ERROR; may be
 * NULL) if it is malformed. On success, job_spec_clear frees what @p spec holds. */
bool codec_parse_job(const json_t *body, bool stored, job_spec_t *spec, GError **error);

/** Copies the job's id out of what could be read of a submission, for the log; an empty string if
 * it has none, or one with a NUL character. @p partial may be NULL. */
void codec_get_submitted_id(const json_t *partial, char *id, gsize size);

/** Returns the number of tasks of a job as the key-value store has it. */
uint32_t codec_get_task_count(const json_t *job);

/** Builds a job's value for the key-value store. */
json_t *codec_build_job(const job_spec_t *spec);

/** Builds the answer to a user's status request. */
json_t *codec_build_status(const char *id, const char *state, uint32_t done, uint32_t running);

/** Builds the body of a refused request. @p why: its reason. Returns NULL if that is not UTF-8. */
json_t *codec_build_error(const char *why);

/** Builds the answer of a controller that is ready for users' requests. */
json_t *codec_build_ready(void);

/** Builds the answer to a worker heartbeat that sends the worker to its owner, the controller
 * named @p owner. */
json_t *codec_build_redirect(const char *owner);

/** Parses a worker heartbeat without building a tree: heartbeats are most of the traffic. Returns
 * false and sets @p error (CODEC_ERROR; may be NULL) if it is malformed; on success nothing is
 * allocated for errors, and worker_heartbeat_clear frees what @p heartbeat holds. */
bool codec_parse_worker_heartbeat(const char *text, gsize length, worker_heartbeat_t *heartbeat,
                                  GError **error);

/** Builds the answer to a worker heartbeat. @p commands: GArray of worker_command_t, or NULL for
 * none. */
json_t *codec_build_commands(uint64_t fencing_token, const GArray *commands);

/** Builds a push of commands to the worker with @p worker_epoch; otherwise as
 * codec_build_commands. */
json_t *codec_build_pushed_commands(uint64_t fencing_token, uint64_t worker_epoch,
                                    const GArray *commands);

/** Parses the cloud's list of machine types; entries without name, cpus or memory are skipped.
 * Returns a GArray of machine_type_t (transfer full), or NULL if there is no list. */
GArray *codec_parse_machine_types(const json_t *body);

/** State of a machine in the cloud's list. */
typedef enum {
    HOST_BOOTING, /**< Requested, not up yet. */
    HOST_RUNNING, /**< Up; also the state of a machine whose state is unknown. */
    HOST_FAILED   /**< Failed to boot, or failed later. */
} host_state_t;

/** A machine in the cloud's list. */
typedef struct host {
    char machine[ID_BYTES]; /**< The machine's id. */
    char type[LABEL_BYTES]; /**< Name of its machine type. */
    char zone[LABEL_BYTES]; /**< Its zone. */
    bool is_spot;           /**< Whether it is a spot machine. */
    host_state_t state;     /**< Its state. */
    double age_s;           /**< Seconds since it was requested. */
} host_t;

/** Appends the machines of one page of the cloud's list to @p hosts, a GArray of host_t; *more:
 * whether another page follows. Returns false if the page is malformed; some machines may have been
 * appended then. */
bool codec_parse_hosts(const json_t *body, GArray *hosts, bool *more);

/** Builds a scale-out request for @p count machines; a repeat with the same @p idempotency_key has
 * no further effect. */
json_t *codec_build_scale_out(const char *idempotency_key, const char *type, const char *zone,
                              bool spot, guint count);

/** Parses the answer to a scale-out request that was executed. Returns the new machines' ids:
 * GPtrArray of const char *, borrowed from @p answer (transfer container), which may be NULL.
 * *accepted_count is the number of listed machines, those without a valid id included. */
GPtrArray *codec_parse_scale_out_answer(const json_t *answer, gsize *accepted_count);

/** Returns whether the cloud's error answer, which may be NULL, says that it has no capacity. */
bool codec_is_no_capacity(const json_t *answer);

/** Builds a scale-in request. @p machines: GPtrArray of char *, the machines' ids. */
json_t *codec_build_scale_in(const GPtrArray *machines);

/** Builds the value of machines/PAGE: a page of machine records. Returns NULL if a part can't be
 * built, for instance from text that is not UTF-8; it must not be written then. */
json_t *codec_build_record(const page_record_t *record);

/** Parses the value of machines/@p page, at @p revision. Returns false and sets @p error
 * (CODEC_ERROR; may be NULL) if it is corrupt; on success record->machines belongs to the caller
 * (transfer full). A record with a machine of another shard is corrupt: it would have two owners.
 */
bool codec_parse_record(const char *page, const json_t *value, uint64_t revision,
                        page_record_t *record, GError **error);

/** Builds the value of done/JOB/CHUNK: which tasks of a chunk are done, and how many (@p done). */
json_t *codec_build_bits(const uint8_t *bits, gsize bytes, uint32_t done);

/** Parses the value of done/JOB/CHUNK. Returns the bits (transfer full, g_free), with their size in
 * *bytes, or NULL if there are none. */
uint8_t *codec_parse_bits(const json_t *value, gsize *bytes);

/** Builds the value of ended/JOB: the job is done (@p done) or cancelled, with @p tasks tasks
 * done. */
json_t *codec_build_ended(bool done, uint32_t tasks);

/** Returns whether the value of ended/JOB says that the job is done; otherwise it was cancelled. */
bool codec_is_ended_done(const json_t *value);

/** Builds the value of kept/NAME: the workers that a controller retains. @p day_ms: the time of
 * the day clock at which it is written. @p machines: GPtrArray of char *, the machines' ids. */
json_t *codec_build_retained(int64_t day_ms, const GPtrArray *machines);

/** Returns the time of the day clock, in milliseconds, at which the value of kept/NAME was written;
 * 0 if it has none. */
int64_t codec_get_retained_at(const json_t *value);

/** Parses the value of kept/NAME. Returns the retained machines' ids: GPtrArray of const char *,
 * borrowed from @p value (transfer container). */
GPtrArray *codec_parse_retained(const json_t *value);

/** A page of a relayed message, the value of mail/INBOX/NAME.PAGE. A reader must check the
 * numbers: they are as the value has them. */
typedef struct relay_page {
    int64_t pages;       /**< Number of the message's pages; 0 if the value has none. */
    int64_t frame_bytes; /**< Size of the uncompressed message; 0 if the value has none. */
    const char *text;    /**< This page's part of the message's text; borrowed; NULL: it has none.
                            To be built, it needs no terminating zero. */
    gsize text_length;   /**< Length of the text in bytes. */
} relay_page_t;

/** Builds the value of mail/INBOX/NAME.PAGE. */
json_t *codec_build_relay_page(const relay_page_t *page);

/** Parses the value of mail/INBOX/NAME.PAGE; the page's text is borrowed from @p value. */
void codec_parse_relay_page(const json_t *value, relay_page_t *page);

/** Builds the value of view/number for a view. */
json_t *codec_build_view(const view_t *view);

/** Parses the value of view/number at a revision of that key into @p view. Returns false, and
 * leaves @p view as it was, if it is not a view. */
bool codec_parse_view(const json_t *value, uint64_t revision, view_t *view);

/** Parses the value of a key below view/members/, or of an entry in a view, into @p member. Returns
 * false, and clears @p member, if it is not a member. */
bool codec_parse_member(const json_t *value, member_t *member);

/** Parses the value of view/lease. Returns the holder's name, borrowed from @p value (transfer
 * none), or NULL if it has none; *incarnation is the holder's, 0 if it has none. @p value may be
 * NULL: there is no lease. */
const char *codec_parse_lease(const json_t *value, uint64_t *incarnation);

/** Builds a member of the view: the value of view/members/NAME and of view/lease, and an item of
 * the view's list of members. */
json_t *codec_build_member(const member_t *member);

#endif
