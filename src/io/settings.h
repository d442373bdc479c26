/* The platform's settings file. Unknown fields are ignored; wrong ones are told in one line. */
#ifndef PEPPERPULLEY_SETTINGS_H
#define PEPPERPULLEY_SETTINGS_H

#include "core/types.h"

typedef struct sibling {
    char name[ID_BYTES];
    char zone[LABEL_BYTES];
    char endpoint[ADDRESS_BYTES];
} sibling_t;

typedef struct settings {
    char name[ID_BYTES];
    char zone[LABEL_BYTES];
    char client_listen[ADDRESS_BYTES];
    char peer_listen[ADDRESS_BYTES];
    char cloud_address[ADDRESS_BYTES];
    char kv_store_address[ADDRESS_BYTES];
    GArray *siblings; /* sibling_t */
    GArray *teams;    /* team_t */
    GHashTable *slos; /* class -> slo_t *: when its jobs should be finished */
    double heartbeat_interval_s;
    double lease_s;
    double cancel_s;
    double kv_rps;
    double kv_write_rps;
    double value_kb;
    guint txn_ops;
    double cloud_rps;
    double list_lag_s;
    guint dispatcher_connections; /* kept open to workers by each thread that sends them commands */
    double pace; /* 1, or more on a small share of a processor: factor of the pauses between rounds
                    that serve quality alone */
    guint connections; /* of users and workers at once, within the limits of sockets, threads and
                          memory */
} settings_t;

/* Returns NULL with a message in *error (g_free it). */
settings_t *settings_load(const char *path, char **error);
void settings_free(settings_t *settings);

#endif
