/* Reads a job's state from this controller's memory and from the key-value store. */
#include "controller/api/job_state.h"

#include "controller/api/kv_access.h"
#include "controller/controller.h"
#include "io/codec/codec.h"

static job_state_t terminal_job_state(terminal_state_t terminal)
{
    switch (terminal) {
    case TERMINAL_UNKNOWN:
        return JOB_UNKNOWN;
    case TERMINAL_DONE:
        return JOB_DONE;
    case TERMINAL_CANCELLED:
        return JOB_CANCELLED;
    }
    return JOB_CANCELLED;
}

known_job_t api_get_known_job(controller_t *controller, const char *id)
{
    if (!codec_is_job_id(id))
        return (known_job_t){.state = JOB_NOT_FOUND};
    pthread_mutex_lock(&controller->lock);
    terminal_state_t terminal = (terminal_state_t)GPOINTER_TO_INT(
        g_hash_table_lookup(controller->jobs.terminal_states, id));
    bool is_likely_live = g_hash_table_contains(controller->jobs.live, id);
    pthread_mutex_unlock(&controller->lock);
    return (known_job_t){.state = terminal_job_state(terminal), .is_likely_live = is_likely_live};
}

job_state_t api_record_terminal_state(controller_t *controller, const char *id, bool is_done)
{
    pthread_mutex_lock(&controller->lock);
    job_directory_record_terminal(controller, id, is_done);
    pthread_mutex_unlock(&controller->lock);
    return is_done ? JOB_DONE : JOB_CANCELLED;
}

static job_state_t read_terminal_state(request_t *request, const char *id)
{
    kv_entry_t entry = {0};
    kv_result_t result = api_read_key(request, "ended", id, &entry);
    if (result == KV_NOT_FOUND)
        return JOB_NOT_FOUND;
    if (result != KV_OK)
        return JOB_UNKNOWN;
    bool is_done = codec_is_terminal_state_done(entry.value);
    api_entry_clear(&entry);
    return api_record_terminal_state(request->controller, id, is_done);
}

static job_state_t read_live_state(request_t *request, const char *id)
{
    kv_entry_t entry = {0};
    kv_result_t result = api_read_key(request, "jobs", id, &entry);
    api_entry_clear(&entry);
    if (result == KV_OK)
        return JOB_LIVE;
    return result == KV_NOT_FOUND ? JOB_NOT_FOUND : JOB_UNKNOWN;
}

job_state_t api_read_job_state(request_t *request, const char *id, bool is_likely_live)
{
    job_state_t state = is_likely_live ? JOB_NOT_FOUND : read_terminal_state(request, id);
    if (state == JOB_NOT_FOUND)
        state = read_live_state(request, id);
    if (state == JOB_NOT_FOUND)
        state = read_terminal_state(request, id);
    return state;
}
