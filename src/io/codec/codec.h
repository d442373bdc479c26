/* The codec: JSON of the protocols to and from the core's plain values. Wire names end here.
 *
 * Parsers return false with a reason and leave nothing allocated; json_t results are new references
 * of the caller. */
#ifndef PEPPERPULLEY_CODEC_H
#define PEPPERPULLEY_CODEC_H

#include <jansson.h>

#include "core/leader/leader.h"
#include "core/partition/partition.h"
#include "core/types.h"

typedef struct reason {
    char text[REASON_BYTES];
} reason_t;

bool codec_is_job_id(const char *id);

/* A job as its user sends it, or as the key-value store keeps it (stored: with its time). */
bool codec_parse_job(const json_t *body, bool stored, job_spec_t *spec, reason_t *why);
json_t *codec_build_job(const job_spec_t *spec);

/* A worker's heartbeat, as it came: parsed without a tree. */
bool codec_parse_worker_heartbeat(const char *text, gsize length, worker_heartbeat_t *heartbeat,
                                  reason_t *why);
json_t *codec_build_commands(uint64_t fencing_token, const GArray *commands);
json_t *codec_build_pushed_commands(uint64_t fencing_token, uint64_t worker_epoch,
                                    const GArray *commands);

/* array of machine_type_t, or NULL */
GArray *codec_parse_machine_types(const json_t *body);

/* One machine of the cloud's list. */
typedef enum { HOST_BOOTING, HOST_RUNNING, HOST_FAILED } host_state_t;
typedef struct host {
    char machine[ID_BYTES];
    char type[LABEL_BYTES];
    char zone[LABEL_BYTES];
    bool spot;
    host_state_t state;
    double age_s;
} host_t;
/* Appends to array of host_t; false if malformed. */
bool codec_parse_hosts(const json_t *body, GArray *hosts, bool *more);
json_t *codec_build_scale_out(const char *idempotency_key, const char *type, const char *zone,
                              bool spot, guint count);
json_t *codec_build_scale_in(const GPtrArray *machines);

json_t *codec_build_record(const page_record_t *record);
/* value of machines/<page>; machines become the caller's */
bool codec_parse_record(const char *page, const json_t *value, uint64_t revision,
                        page_record_t *record);

json_t *codec_build_bits(const uint8_t *bits, gsize bytes, uint32_t done);
/* g_free the result */
uint8_t *codec_parse_bits(const json_t *value, gsize *bytes);

json_t *codec_build_ended(bool done, uint32_t tasks);
json_t *codec_build_status(const char *id, const char *state, uint32_t done, uint32_t running);
/* A live controller, as view/ holds it. */
json_t *codec_build_member(const member_t *member);

#endif
