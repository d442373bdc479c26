/** @file
 * Splits a page whose record is full.
 *
 * Private to the partition. Called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_PAGE_SPLIT_INTERNAL_H
#define PEPPERPULLEY_PAGE_SPLIT_INTERNAL_H

#include "core/partition/page_internal.h"

/** Moves about half of the page's attempts, with their machines, to a new page of the shard, its
 * split sibling. If all attempts are on one machine, the page can't be split, and that machine is
 * marked as filling its page instead. */
void partition_split_page(partition_t *partition, page_t *page);

#endif
