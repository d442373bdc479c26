/** @file
 * The opaque types of a partition.
 */
#ifndef PEPPERPULLEY_PARTITION_TYPE_H
#define PEPPERPULLEY_PARTITION_TYPE_H

/** The machines that one controller owns in one view; see partition.h. */
typedef struct partition partition_t;

/** One machine of a partition; see machine.h. The partition owns it and may free it in any function
 * that takes the partition. Do not keep a pointer to it after the controller's lock is released. */
typedef struct machine machine_t;

#endif
