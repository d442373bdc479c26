/** @file
 * Builds the transactions that write jobs, progress, machine records and members, each with its
 * conditions and changes. The conditions make a transaction safe even if it is executed late, after
 * its sender has given up on it or another controller has taken over. The functions are thread-safe
 * and send nothing.
 */
#ifndef PEPPERPULLEY_RECORDS_H
#define PEPPERPULLEY_RECORDS_H

#include "core/leader/job_progress.h"
#include "core/partition/partition_batch.h"
#include "io/kv_store.h"

/** Returns the transaction that writes a partition's records and, at the leader, progress (transfer
 * full). @p progress: GArray of progress_t, or NULL.
 *
 * It requires that the key view/number still has @p view_revision and that the keys that it
 * replaces or deletes are unchanged. A commit of an older view therefore fails, however late it is
 * executed. It also requires that the jobs whose starts it records are unchanged, so that no start
 * is recorded after a cancellation. */
kv_txn_t records_build_commit(const GArray *progress, const partition_batch_t *machines,
                              uint64_t view_revision);

/** Returns the transaction that submits a job (transfer full). It requires that the job neither
 * exists nor has ended, so that a late execution does not restore a job that has ended since. */
kv_txn_t records_build_submission(const job_spec_t *spec);

/** Returns the transaction that cancels a job and deletes its progress (transfer full). It requires
 * that the key of the job has @p revision. @p tasks: number of tasks of the job. */
kv_txn_t records_build_cancellation(const char *id, uint64_t revision, uint32_t tasks);

/** Returns the transaction that writes this controller's entry under view/members/ and binds it to
 * @p lease (transfer full). It requires that the entry has @p revision (0: that there is no entry):
 * otherwise a late execution, after a newer write, would bind the entry to a lease that is no
 * longer extended. */
kv_txn_t records_build_member(const member_t *self, uint64_t revision, uint64_t lease);

#endif
