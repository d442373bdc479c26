/** @file
 * Splits a page whose record is full.
 *
 * Private to the partition. Called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_PAGE_SPLIT_INTERNAL_H
#define PEPPERPULLEY_PAGE_SPLIT_INTERNAL_H

#include "core/partition/page_internal.h"

/** Moves half of the page's work to a new page of the shard, its split sibling. If one machine has
 * all the work, that machine is marked instead as filling its page. */
void partition_split_page(partition_t *partition, page_t *page);

#endif
