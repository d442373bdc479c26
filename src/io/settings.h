/** @file
 * The platform's settings file (JSON). Unknown fields are ignored; a wrong one is reported with its
 * name. Loaded once at start and read-only afterwards: any thread may read it without a lock.
 */
#ifndef PEPPERPULLEY_SETTINGS_H
#define PEPPERPULLEY_SETTINGS_H

#include "core/types.h"

/** Error domain of settings_load. A message has the form "file: field: what is expected", on one
 * line. */
#define SETTINGS_ERROR (settings_error_quark())

/** What is wrong with the file: the codes of SETTINGS_ERROR. */
typedef enum {
    SETTINGS_ERROR_FILE,    /**< The file can't be read, or is not JSON. */
    SETTINGS_ERROR_MISSING, /**< A field is missing. */
    SETTINGS_ERROR_TYPE,    /**< A field has the wrong JSON type, or is an empty string. */
    SETTINGS_ERROR_RANGE,   /**< A number is out of range, a text too long or a list too large. */
    SETTINGS_ERROR_VALUE    /**< An address has the wrong form, or two fields contradict. */
} settings_error_t;

/** Returns the quark of SETTINGS_ERROR. */
GQuark settings_error_quark(void);

/** Another controller. */
typedef struct sibling {
    char name[ID_BYTES];          /**< Its host's name. */
    char zone[LABEL_BYTES];       /**< Its zone. */
    char endpoint[ADDRESS_BYTES]; /**< Where it listens for peers. */
} sibling_t;

/** The settings. */
typedef struct settings {
    char name[ID_BYTES];                  /**< This controller's host name. */
    char zone[LABEL_BYTES];               /**< Its zone. */
    char client_listen[ADDRESS_BYTES];    /**< Where it listens for users and workers. */
    char peer_listen[ADDRESS_BYTES];      /**< Where it listens for siblings. */
    char cloud_address[ADDRESS_BYTES];    /**< The cloud's API. */
    char kv_store_address[ADDRESS_BYTES]; /**< The key-value store. */
    GArray *siblings;                     /**< Of sibling_t; owned. */
    GArray *teams;                        /**< Of team_t; owned. */
    GHashTable *slos; /**< From a class (char *) to its SLOs (slo_t *); owned, both owned by it. */
    double heartbeat_interval_s;  /**< Between a worker's heartbeats. */
    double lease_s;               /**< A worker's lease. */
    double cancel_s;              /**< Within this, a cancelled job's tasks must stop. */
    double kv_rps;                /**< Requests per second that the key-value store permits. */
    double kv_write_rps;          /**< Changes per second that it permits. */
    double value_kb;              /**< Largest value, KiB. */
    guint txn_ops;                /**< Changes in a transaction, at most. */
    double cloud_rps;             /**< Requests per second that the cloud permits. */
    double list_lag_s;            /**< Age of the cloud's list of machines, at most. */
    guint dispatcher_connections; /**< Kept open to workers by each command dispatcher. */
    double pace;       /**< Factor of the pauses between rounds that only serve quality: 1, or more
                          on a small share of a processor. */
    guint connections; /**< Of users and workers at once, at most: as sockets, threads and memory
                          permit. */
} settings_t;

/** Loads the file. Returns the settings (transfer full), or NULL with @p error set to the first
 * fault (SETTINGS_ERROR; may be NULL). */
settings_t *settings_load(const char *path, GError **error);

/** Frees the settings; NULL is allowed. */
void settings_free(settings_t *settings);

#endif
