/** @file
 * Scale-out and scale-in. Included through constants.h.
 */
#ifndef PEPPERPULLEY_CONSTANTS_AUTOSCALER_H
#define PEPPERPULLEY_CONSTANTS_AUTOSCALER_H

/** Scale out and scale in. */
enum {
    /** Timeout of a call. Scale-out may be slow, but a lost answer costs only a repeated call. */
    CLOUD_TIMEOUT_MS = 10000,
    CLOUD_LIST_GAP_MS = 2500, /**< Between reads of the machine list, which lags by seconds. */
    /** The interval between rounds is this divided by cloud.rps, a limit that the three calls of a
     * round share. */
    CLOUD_ROUND_MS = 1500,
    /** Interval between rounds of a controller that is not the leader and only publishes. */
    CLOUD_IDLE_GAP_MS = 1000,
    /** Shortest interval between rounds; with the lists, fewer than 5 calls per second. */
    CLOUD_GAP_MS = 300,
    MACHINE_TYPES_GAP_MS = 60000, /**< Between reads of the machine types; prices change slowly. */
    /** A type, zone and kind that the cloud refused is not requested again within this time. */
    CAPACITY_RETRY_MS = 12000,
    /** No scale-out in a zone for this long after all its machines were last found unresponsive. */
    UNREACHABLE_ZONE_MS = 60000,
    /** A job that its own constraints confine to such zones gets machines there after this time:
     * with the boot time, less than the 90 s for which no job may wait. */
    UNREACHABLE_ZONE_CONFINED_MS = 30000,
    /** The machines of such a zone are not terminated for this long, three boot times. */
    UNREACHABLE_ZONE_WAIT_MS = 60000,
    /** A booting instance is terminated after this time plus three times its type's boot time. */
    BOOT_TIMEOUT_MS = 30000,
    DRAINS_PER_ROUND_COUNT = 8 /**< Most drains per round. Hundreds take seconds, not minutes. */
};

/** TUNABLE_SCALE_OUT_MAX_WAIT is not shortened below this for work that is near its deadline. Only
 * tasks that can run one after the other within the maximum wait share a machine. */
static const double SCALE_OUT_MAX_WAIT_MIN_S = 15.0;
/** Fraction of the cpus of the total demand. A machine with more cpus than this is added only if
 * the missing resources fill it. */
static const double SCALE_OUT_OVERSIZE_FRACTION = 0.6;
/** Fraction of a machine. No further machine is added for a smaller remainder of the demand. */
static const double SCALE_OUT_ROUNDING_FRACTION = 0.25;
/** Fraction of the price that is added for each existing machine of the same type, zone and kind,
 * to spread the risk. */
static const double SCALE_OUT_SPREAD_FRACTION = 0.02;
/** On-demand machines are drained if the pending work needs less time than
 * TUNABLE_ON_DEMAND_MAX_WAIT divided by this. That is less work than the amount at which scale-out
 * stops, so that machines are not added and removed repeatedly. */
static const double ON_DEMAND_SCALE_IN_DIVISOR = 2.0;
/** Fraction of a draining machine's cpus: if at least this much is free, its work that can
 * checkpoint is moved to other machines. */
static const double DRAIN_MIN_FREE_FRACTION = 0.5;

/** Multiple of a type's boot time after which a booting instance does not count as capacity. Boots
 * usually take up to 1.5 times as long (protocol); the rest is for the first heartbeats. */
static const double BOOT_OVERDUE_FACTOR = 2.0;

#endif
