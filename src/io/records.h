/** @file
 * The transactions on jobs, progress, machine records and members: what each of them requires and
 * changes. Their conditions are what makes a transaction safe that is executed late, after its
 * sender gave up on it or another controller took over. Thread-safe; nothing is sent here.
 */
#ifndef PEPPERPULLEY_RECORDS_H
#define PEPPERPULLEY_RECORDS_H

#include "core/leader/job_progress.h"
#include "core/partition/partition_batch.h"
#include "io/kv_store.h"

/** Returns the commit of a partition's records and, at the leader, of progress (transfer full).
 * @p progress: GArray of progress_t, or NULL.
 *
 * It requires the view (@p view_revision of its number) and each key it writes as they were, so a
 * commit of an older view fails, however late it is executed; and it requires the jobs of its
 * starts, so no start is recorded after a cancellation. */
kv_txn_t records_commit(const GArray *progress, const partition_batch_t *machines,
                        uint64_t view_revision);

/** Returns the submission of a job (transfer full). It requires that the job neither exists nor has
 * ended: executed late, it does not restore a job that has ended since. */
kv_txn_t records_submit(const job_spec_t *spec);

/** Returns the cancellation of the job at @p revision, with its progress (transfer full). */
kv_txn_t records_abort(const char *id, uint64_t revision, uint32_t tasks);

/** Returns the write of this controller's entry under view/members/, bound to its lease (transfer
 * full). It requires the entry at @p revision (0: none): executed late, after a newer one, it would
 * bind the entry to a lease that is no longer extended. */
kv_txn_t records_member(const member_t *self, uint64_t revision, uint64_t lease);

#endif
