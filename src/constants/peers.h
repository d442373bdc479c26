/** @file
 * Peer exchange and relay. Included through constants.h.
 */
#ifndef PEPPERPULLEY_CONSTANTS_PEERS_H
#define PEPPERPULLEY_CONSTANTS_PEERS_H

/** Peer exchange and relay. */
enum {
    PEER_TIMEOUT_MS = 1500, /**< Timeout of an exchange; an answer is delayed by less than this. */
    /** The leader delays an answer without items for up to this long, in case one arrives. */
    PEER_ANSWER_DELAY_MS = 200,
    PEER_IDLE_MS = 15000,      /**< A connection without an exchange for this time is closed. */
    PEER_EXCHANGE_GAP_MS = 50, /**< Pause between exchanges; batches bursts. */
    PEER_RETRY_MS = 300,       /**< Pause after a failed exchange. */
    /** Changes of the time for which a machine has been silent are not sent while it is below this,
     * because readers compare it with ACKNOWLEDGEMENT_TIMEOUT_MS or more. */
    SUMMARY_SILENT_MS = 3500,
    SUMMARY_IDLE_ERROR_MS = 500, /**< Tolerated error of idle times, which are used in seconds. */
    PEER_SUMMARIES_GAP_MS = 400, /**< Interval between machine summaries without a new batch. */
    PEER_READ_BYTES = 4096,      /**< Bytes read at once: most messages in one call. */
    PEER_FRAME_MAX_BYTES = 1 << 20, /**< Largest message. Typical ones have 10 KB. */
    /** Most items in a message. An exchange by relay takes a second, and in that time 200 machines
     * have about this many starts and ends. */
    PEER_BATCH_COUNT = 128,
    /** Longest time that the answer to a peer heartbeat waits for new cancellations. */
    PEER_HEARTBEAT_HOLD_MS = 1000,
    PEER_HEARTBEAT_TIMEOUT_MS = 2500,   /**< Covers the hold time and a slow sibling's delay. */
    PEER_HEARTBEAT_GAP_MS = 500,        /**< Pause after a failed peer heartbeat. */
    PEER_HEARTBEAT_UPDATE_GAP_MS = 250, /**< Pause after a quick answer; batches cancellations. */
    RELAY_AFTER_MS = 2500, /**< The relay is used after this time without an exchange by socket. */
    RELAY_SOCKET_GAP_MS = 6000, /**< Interval between socket attempts while the relay is used. */
    RELAY_GAP_MS = 400,         /**< Interval between reads of the relay, to save requests. */
    RELAY_RESERVE_BYTES = 512,  /**< Kept free below value_kb in a page of a relayed message. */
    RELAY_PAGES_COUNT = 10      /**< Most pages of a message; four of 16 KiB fill a transaction. */
};

#endif
