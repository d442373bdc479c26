/** @file
 * Units, sizes of strings, and the limits that the protocol and the settings define. Included
 * through constants.h.
 */
#ifndef PEPPERPULLEY_CONSTANTS_FORMATS_H
#define PEPPERPULLEY_CONSTANTS_FORMATS_H

/** The program's version, as --version and the log report it. */
#define PEPPERPULLEY_VERSION "0.1.0"

/** Units and number bases. */
enum {
    MS_PER_S = 1000,      /**< Milliseconds per second. */
    US_PER_MS = 1000,     /**< Microseconds per millisecond. */
    NS_PER_MS = 1000000,  /**< Nanoseconds per millisecond. */
    BYTES_PER_KIB = 1024, /**< Bytes per KiB. */
    KIB_PER_MIB = 1024,   /**< KiB per MiB. */
    BITS_PER_BYTE = 8,    /**< Bits per byte. */
    DECIMAL = 10,         /**< Base of the numbers in keys and addresses. */
    PORT_MAX = 65535      /**< Highest TCP port. */
};

/** Multiplier that combines two hashes. It is odd and large (2^32 divided by the golden ratio), so
 * that tasks of jobs with adjacent ids do not collide. */
#define HASH_FACTOR 2654435761U

/** Amounts of cpus or GB that differ by less are equal. Smaller than any amount in use. */
static const double RESOURCE_EPSILON = 1e-6;

/** Sizes of strings, including the terminating zero. The codec refuses longer names. */
enum {
    ID_BYTES = 40,      /**< Job, machine and host id; the protocol's ids are shorter than 20. */
    LABEL_BYTES = 64,   /**< Team, class, zone, machine type or image. */
    ADDRESS_BYTES = 64, /**< IPv4 address with port. */
    KV_KEY_BYTES = 128, /**< Key in the key-value store; the keys in use are shorter than 80. */
    URL_BYTES = 512,    /**< Address, path and query of an HTTP call. */
    BASE_URL_BYTES = ADDRESS_BYTES + 8, /**< Scheme and address. */
    METHOD_BYTES = 8,                   /**< HTTP method. */
    NUMBER_BYTES = 24,                  /**< A 64-bit integer in decimal. */
    LOG_LINE_BYTES = 1024               /**< A log line; a longer one is truncated. */
};

/** Limits that the protocol defines. */
enum {
    TASKS_MAX_COUNT = 100000,   /**< Tasks of a job. */
    BODY_MAX_BYTES = 64 * 1024, /**< Body of a request. */
    /** Nesting levels of a body; bounds the recursion of later passes. */
    JSON_DEPTH_MAX_COUNT = 32,
    TYPES_MAX_COUNT = 64,     /**< Machine types named by one job or one placement request. */
    SCALE_OUT_MAX_COUNT = 50, /**< Machines in one scale-out request. */
    SCALE_IN_MAX_COUNT = 100, /**< Machines in one scale-in request. */
    LIST_PAGE_COUNT = 500,    /**< Machines in one page of the cloud's machine list. */
    JOB_DIGITS_MIN_COUNT = 6, /**< Fewest digits after "j-" in a job's id. */
    JOB_DIGITS_MAX_COUNT = 18 /**< Most digits after "j-" in a job's id. */
};

/** Highest amount accepted in a message. */
static const double AMOUNT_MAX = 1e12;

/** Lowest values accepted in the platform's settings. */
enum {
    FD_LIMIT_MIN_COUNT = 150, /**< fd_limit: CONNECTIONS_SPARE_COUNT and some for workers. */
    RAM_MIN_MIB = 16,         /**< ram_mb. */
    KV_TXN_OPS_MIN_COUNT = 10 /**< Changes in one transaction of the key-value store. */
};

/** Shortest accepted interval between worker heartbeats. */
static const double HEARTBEAT_INTERVAL_MIN_S = 0.01;
/** Lowest accepted request rate at the cloud. */
static const double CLOUD_RPS_MIN = 0.1;
/** Highest accepted number in the settings. A larger one is treated as a mistake. */
static const double SETTING_MAX = 1e9;
/** Replaces a number in a message that is too large for a double. */
static const double JSON_NUMBER_MAX = 1e308;

#endif
