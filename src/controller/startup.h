/** @file
 * Starts a controller: its loops, one thread each, and its HTTP server.
 *
 * The table lists the threads of a controller. "role" is the thread's name in the metrics
 * (threads.h). "waits for" names a condition variable by its field of controller_t, or a blocking
 * call; a duration is the longest wait, and "paced" means that controller_scale_pause may lengthen
 * it. The loops run as long as the process.
 *
 * @verbatim
 *   role             loop                   waits for                   woken by
 *   ---------------  ---------------------  --------------------------  ---------------------------
 *   view             view_watch_run         the watch of view/,         the key-value store
 *                                           KV_WATCH_BLOCK_MS
 *   member           member_loop_run        membership.changed,         a change of view/, an
 *                                           LEASE_EXTEND_GAP_MS;        installed view, a member
 *                                           MEMBER_TICK_MS while        that was excluded
 *                                           members change or are
 *                                           excluded
 *   job_watch        job_watch_run          the watch of jobs/,         the key-value store
 *                                           KV_WATCH_BLOCK_MS
 *   placement        placement_loop_run     placement.ready,            controller_notify_placement
 *                                           PLACEMENT_TICK_MS (paced);  (changed jobs, machines,
 *                                           then COMMIT_GAP_MS (paced)  results, items or view)
 *   dispatcher       command_dispatcher.c   dispatch.ready[index]: one  command_dispatcher_notify
 *                    (started on demand,    idle dispatcher for         (commands that may be
 *                    DISPATCHERS_COUNT at   DISPATCHER_IDLE_MS, the     pushed)
 *                    most)                  others without limit
 *   cloud            autoscaler_loop_run    autoscaler_ready, until     the placement loop when a
 *                                           the next round is due       view's records are loaded
 *   peer_client      peer_client_run        the leader's answer; if     the leader; an item for the
 *                                           there is no leader to       partition; a view that was
 *                                           call, peers.item_available, installed or loaded
 *                                           MEMBER_TICK_MS
 *   peer_server      peer_server_run        accept()                    a sibling's connection
 *   peer_connection  peer_server.c (one     the next message; before    the sibling; an item for a
 *                    for each connection;   an answer,                  partition; a view that was
 *                    ends with it)          peers.item_available,       installed or loaded; a
 *                                           PEER_ANSWER_DELAY_MS        cancellation that is
 *                                           (paced); before a peer      appended to the log
 *                                           heartbeat's answer,
 *                                           jobs.cancellation_appended,
 *                                           PEER_HEARTBEAT_HOLD_MS
 *   peer_heartbeat   peer_heartbeat.c (one  the sibling's answer,       the sibling
 *                    for each sibling)      PEER_HEARTBEAT_TIMEOUT_MS
 *   relay            peer_relay_run         peers.relay_ready, until a  the placement loop when a
 *                                           member has not called for   view's records are loaded
 *                                           RELAY_AFTER_MS
 *   stall_detector   stall_detector_run     STALL_CHECK_MS              the clock
 *   http             libmicrohttpd          sockets                     users, workers, threads
 *                    (HTTP_THREADS_COUNT)                               that answer requests
 *   request_worker   http_server.c          requests.available; while   a queued request; a
 *                    (started on demand,    it handles a request,       returned connection; a
 *                    REQUEST_WORKERS_COUNT  kv_clients.available and    status batch that is done
 *                    at most)               status_batches.finished,
 *                                           until its deadline
 *   expire           http_server.c          requests.all_workers_busy,      more queued requests
 * than until the next request      idle request workers expires
 * @endverbatim
 */
#ifndef PEPPERPULLEY_STARTUP_H
#define PEPPERPULLEY_STARTUP_H

#include "controller/controller.h"

/** Starts every loop and the HTTP server. Called once, without the lock held. Returns false, after
 * logging the reason, if the server cannot listen. */
bool controller_start(controller_t *controller);

#endif
