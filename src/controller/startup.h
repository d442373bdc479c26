/** @file
 * Starts a controller: its loops, one thread each, and its HTTP server.
 *
 * The list below names the threads of a controller by their role, which is their name in the
 * metrics (threads.h). For each role it gives the function that the thread runs, or its source
 * file, what the thread waits for and what wakes it. A condition variable is named by its field of
 * controller_t. A duration is the longest wait; "scaled" means that controller_scale_pause() may
 * lengthen it. Unless stated otherwise, there is one thread of each role, which runs as long as the
 * process.
 *
 * - view: view_watch_run()
 *   - waits for changes of view/ for KV_WATCH_BLOCK_MS
 *   - woken by the key-value store
 * - member: member_loop_run()
 *   - waits for membership.changed until the lease is due to be extended (LEASE_EXTEND_GAP_MS), or
 *     for MEMBER_TICK_MS while members change or are excluded or the member key is lost
 *   - woken by a change of view/, an installed view or the exclusion of a member
 * - job_watch: job_watch_run()
 *   - waits for changes of jobs/ for KV_WATCH_BLOCK_MS
 *   - woken by the key-value store
 * - placement: placement_loop_run()
 *   - waits for placement.ready for PLACEMENT_TICK_MS (scaled), and sleeps for COMMIT_GAP_MS
 *     (scaled) after each round
 *   - woken by controller_notify_placement(), when jobs, machines, attempt results, channel items
 *     or the view have changed
 * - dispatcher: command_dispatcher.c; up to DISPATCHERS_COUNT threads, started on demand
 *   - waits for dispatch.ready[index]: one idle dispatcher for DISPATCHER_IDLE_MS, the others
 *     without limit
 *   - woken by command_dispatcher_notify(), when there may be commands to push
 * - cloud: autoscaler_loop_run()
 *   - waits for autoscaler_ready until the next round is due
 *   - woken by the placement loop when the records of a view have been loaded
 * - peer_client: peer_client_run()
 *   - waits for the leader's answer or, if there is no leader to call, for peers.item_available for
 *     MEMBER_TICK_MS
 *   - woken by the leader, an item for a partition, or a view that was installed or loaded
 * - peer_server: peer_server_run()
 *   - waits in accept()
 *   - woken by a connection from a sibling
 * - peer_connection: peer_server.c; one thread for each connection, which ends with it
 *   - waits for the next message for PEER_IDLE_MS; woken by the sibling
 *   - before it answers a partition, waits for peers.item_available for PEER_ANSWER_DELAY_MS
 *     (scaled); woken by an item for a partition, or a view that was installed or loaded
 *   - before it answers a peer heartbeat, waits for jobs.cancellation_appended for
 *     PEER_HEARTBEAT_HOLD_MS; woken by a cancellation that is appended to the log
 * - peer_heartbeat: peer_heartbeat.c; one thread for each sibling
 *   - waits for the sibling's answer for PEER_HEARTBEAT_TIMEOUT_MS
 *   - woken by the sibling
 * - relay: peer_relay_run()
 *   - waits for peers.relay_ready until a member has not called for RELAY_AFTER_MS
 *   - woken by the placement loop when the records of a view have been loaded
 * - stall_detector: stall_detector_run()
 *   - sleeps for STALL_CHECK_MS
 * - http: libmicrohttpd; HTTP_THREADS_COUNT threads
 *   - waits for its sockets
 *   - woken by users, by workers, and by request workers that have set a reply
 * - request_worker: api/request_pool.c; up to REQUEST_WORKERS_COUNT threads, started on demand
 *   - waits for requests.available; woken by a queued request
 *   - while it handles a request, waits for kv_clients.available until the request's wait deadline,
 *     and for status_batches.finished until the request's deadline; woken by a connection that is
 *     returned to the pool, and by a status batch that is done
 * - expire: api/request_pool.c
 *   - waits for requests.all_workers_busy until the earliest wait deadline of a queued request
 *   - woken when more requests are queued than request workers are idle
 */
#ifndef PEPPERPULLEY_STARTUP_H
#define PEPPERPULLEY_STARTUP_H

#include "controller/controller.h"

/** Starts every loop and the HTTP server. Called once, without the lock held. Returns false, after
 * logging the reason, if the server cannot listen. */
bool controller_start(controller_t *controller);

#endif
