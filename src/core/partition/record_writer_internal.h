/** @file
 * Puts together the record of a page.
 *
 * Private to the partition. Called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_RECORD_WRITER_INTERNAL_H
#define PEPPERPULLEY_RECORD_WRITER_INTERNAL_H

#include "core/partition/attempt_internal.h"
#include "core/partition/page_internal.h"
#include "core/partition/partition_batch.h"

/** Whether the attempt is to leave the record. */
bool attempt_leaves_record(const attempt_t *attempt);
/** Whether what the page's record is to hold differs from what it holds. */
bool page_has_changes(const page_t *page);
/** Appends the page's record to the batch, marks what its commit does to each attempt, and takes
 * the page off those that are due. Starts that the limits leave no room for are left out. */
void batch_add_page(partition_batch_t *batch, page_t *page, const partition_limits_t *limits);

#endif
