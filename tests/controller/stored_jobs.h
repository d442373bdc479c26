/* A model of the store for tests: the jobs, and the record of the only machine. */
#ifndef PEPPERPULLEY_STORED_JOBS_H
#define PEPPERPULLEY_STORED_JOBS_H

#include "core/types.h"
#include "io/kv_store.h"

/* A job in the store. */
typedef struct stored_job {
    char id[ID_BYTES];
    uint64_t created_at; /* revision */
    uint64_t ended_at;   /* revision; 0: it is live */
    bool is_recorded;    /* whether the machine's record has an attempt of it */
} stored_job_t;

extern const char stored_machine_id[];

stored_job_t *stored_job_at(const GArray *jobs, guint index);
/* Appends the entries of the live jobs. */
void stored_jobs_append_live(const GArray *jobs, GArray *entries);
/* Appends the changes after the revision, in the order of their revisions. */
void stored_jobs_append_changes(const GArray *jobs, uint64_t revision, GArray *changes);
/* Appends the page of the machine, whose record has an attempt of each recorded job. */
void stored_jobs_append_page(const GArray *jobs, GArray *entries);

#endif
