/* Keeps the job directory as jobs/ in the key-value store has it. */
#ifndef PEPPERPULLEY_JOB_WATCH_H
#define PEPPERPULLEY_JOB_WATCH_H

/* The loop; data is the controller_t. Never returns. */
void *job_watch_run(void *data);

#endif
