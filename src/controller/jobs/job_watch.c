#include "controller/jobs/job_watch.h"

#include "controller/controller.h"
#include "controller/kv_watch_loop.h"

void *job_watch_run(void *data)
{
    static const kv_watch_t watch = {.prefix = JOBS_PREFIX,
                                     .apply_all = job_directory_apply_list,
                                     .apply_changes = job_directory_apply_changes};
    kv_watch_loop_run(data, &watch);
    return NULL;
}
