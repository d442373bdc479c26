#include "controller/startup.h"

#include "controller/api/http_server.h"
#include "controller/autoscaler/autoscaler_loop.h"
#include "controller/jobs/job_watch.h"
#include "controller/membership/member_loop.h"
#include "controller/membership/view_watch.h"
#include "controller/peer/peer_client.h"
#include "controller/peer/peer_heartbeat.h"
#include "controller/peer/peer_relay.h"
#include "controller/peer/peer_server.h"
#include "controller/placement/placement_loop.h"
#include "controller/threads.h"

bool controller_start(controller_t *controller)
{
    threads_start("view", view_watch_run, controller);
    threads_start("member", member_loop_run, controller);
    threads_start("peer_client", peer_client_run, controller);
    threads_start("peer_server", peer_server_run, controller);
    threads_start("relay", peer_relay_run, controller);
    peer_heartbeat_start(controller);
    threads_start("stall_detector", stall_detector_run, controller);
    threads_start("job_watch", job_watch_run, controller);
    threads_start("placement", placement_loop_run, controller);
    threads_start("cloud", autoscaler_loop_run, controller);
    return http_server_start(controller);
}
