/** @file
 * Builds the record of a page.
 *
 * Private to the partition. Called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_RECORD_WRITER_INTERNAL_H
#define PEPPERPULLEY_RECORD_WRITER_INTERNAL_H

#include "core/partition/attempt_internal.h"
#include "core/partition/page_internal.h"
#include "core/partition/partition_batch.h"

/** Returns whether the attempt is to be removed from the record. */
bool attempt_leaves_record(const attempt_t *attempt);
/** Returns whether the page's record has to change: a start is to be added to it, or an attempt is
 * to be removed. */
bool page_has_changes(const page_t *page);
/** Appends the page's record to the batch, marks how the commit changes the record of each attempt,
 * and clears the page's pending flushes. Starts for which the limits leave no room are omitted. */
void batch_add_page(partition_batch_t *batch, page_t *page, const partition_limits_t *limits);

#endif
