/* The transactions on jobs and machines: what each of them requires and changes. */
#ifndef PEPPERPULLEY_RECORDS_H
#define PEPPERPULLEY_RECORDS_H

#include "core/leader/leader.h"
#include "core/partition/partition.h"
#include "io/kv_store.h"

/* The commit of a partition and, at the leader, of progress (may be NULL). It requires the view and
 * each key it writes as they were, so one that an older view sent fails, however late it arrives;
 * and it requires the jobs of its starts, so none follows a cancellation. */
kv_txn_t records_commit(const GArray *progress, const partition_batch_t *machines,
                        uint64_t view_revision);
/* Requires that the job is neither live nor ended: applied late, it must not bring the job back. */
kv_txn_t records_submit(const job_spec_t *spec);
/* Ends the live job as cancelled, progress and all. */
kv_txn_t records_abort(const char *id, uint64_t revision, uint32_t tasks);
/* This controller's entry under view/members/, on its lease, in place of the one at `revision` (0:
 * none): carried out late, after a newer one, it would hang the entry on a lease that nobody
 * extends.
 */
kv_txn_t records_member(const member_t *self, uint64_t revision, uint64_t lease);

#endif
