/** @file
 * Loads the platform's settings file (JSON). Unknown fields are ignored; an invalid field is
 * reported by name. The settings are loaded once, at start, and are read-only afterwards, so any
 * thread may read them without a lock.
 */
#ifndef PEPPERPULLEY_SETTINGS_H
#define PEPPERPULLEY_SETTINGS_H

#include "core/types.h"

/** Error domain of settings_load(). A message is one line. It has the form "file: field: error",
 * where the error says what is wrong or what is expected, "file:line:column: error" if the file is
 * not JSON, or "file: error" if the file cannot be read. */
#define SETTINGS_ERROR (settings_error_quark())

/** The error codes of SETTINGS_ERROR. */
typedef enum {
    SETTINGS_ERROR_FILE,    /**< The file cannot be read, or is not JSON. */
    SETTINGS_ERROR_MISSING, /**< A field is missing. */
    SETTINGS_ERROR_TYPE,    /**< A field has the wrong JSON type, or is an empty string. */
    SETTINGS_ERROR_RANGE,   /**< A number is out of range, a string too long or a list too large. */
    SETTINGS_ERROR_VALUE    /**< An address has the wrong form, or two fields contradict each
                                  other. */
} settings_error_t;

/** Returns the quark of SETTINGS_ERROR. */
GQuark settings_error_quark(void);

/** Another controller of the cluster. */
typedef struct sibling {
    char name[ID_BYTES];          /**< Name of its host. */
    char zone[LABEL_BYTES];       /**< Its zone. */
    char endpoint[ADDRESS_BYTES]; /**< Address at which it listens for other controllers. */
} sibling_t;

/** The settings of a controller. */
typedef struct settings {
    char name[ID_BYTES];                  /**< Name of this controller's host. */
    char zone[LABEL_BYTES];               /**< Its zone. */
    char client_listen[ADDRESS_BYTES];    /**< Address at which it listens for users and workers. */
    char peer_listen[ADDRESS_BYTES];      /**< Address at which it listens for siblings. */
    char cloud_address[ADDRESS_BYTES];    /**< Address of the cloud's API. */
    char kv_store_address[ADDRESS_BYTES]; /**< Address of the key-value store. */
    GArray *siblings;                     /**< The other controllers: array of sibling_t; owned. */
    GArray *teams;                        /**< Array of team_t; owned. */
    GHashTable *slos; /**< Maps class (char *) to SLOs (slo_t *); owned, with keys and values. */
    double heartbeat_interval_s;  /**< Interval between the heartbeats of a worker, s. */
    double lease_s;               /**< Duration of a worker's lease, s. */
    double cancel_s;              /**< Time in which the tasks of a cancelled job must stop, s. */
    double kv_rps;                /**< Rate limit of the key-value store: requests per second. */
    double kv_write_rps;          /**< Rate limit of the key-value store: changes per second. */
    double value_kb;              /**< Largest value in the key-value store, in KiB. */
    guint txn_ops;                /**< Most changes in a transaction. */
    double cloud_rps;             /**< Rate limit of the cloud: requests per second. */
    double list_lag_s;            /**< Longest delay of changes in the cloud's machine list, s. */
    guint dispatcher_connections; /**< Connections to workers that each command dispatcher keeps
                                     open. */
    double pause_factor; /**< Factor that lengthens the pauses between rounds that affect only the
                            quality of scheduling, not its safety. It is above 1 if the process has
                            only a small share of a core, otherwise 1. */
    guint connections;   /**< Most simultaneous connections of users and workers, as limited by
                            sockets, threads and memory. */
} settings_t;

/** Loads the file. Returns the settings (transfer full). If the file has errors, returns NULL and
 * sets @p error (may be NULL) to the first one, a SETTINGS_ERROR. */
settings_t *settings_load(const char *path, GError **error);

/** Frees the settings; NULL is allowed. */
void settings_free(settings_t *settings);

#endif
