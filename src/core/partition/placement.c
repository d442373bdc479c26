/* Projected least-loaded placement: ranks the candidate machines and chooses among them. */
#include "core/partition/candidates_internal.h"
#include "core/partition/partition_internal.h"
#include "core/partition/preemption_internal.h"

/* Returns the score of the machine for a request that needs these resources: the projected use of
 * cpus or of memory, whichever is larger, as a fraction of the capacity, with the request included.
 * The lowest score is best. */
static double score(const machine_t *machine, resources_t need)
{
    resources_t left = machine_free_resources(machine);
    double cpus = (machine->capacity.cpus - left.cpus + need.cpus) /
                  MAX(machine->capacity.cpus, RESOURCE_EPSILON);
    double memory = (machine->capacity.memory - left.memory + need.memory) /
                    MAX(machine->capacity.memory, RESOURCE_EPSILON);
    return MAX(cpus, memory);
}

static int compare_counts(guint first, guint second)
{
    if (first == second)
        return 0;
    return first < second ? -1 : 1;
}

static int compare_load(const machine_t *first, const machine_t *second)
{
    int starting = compare_counts(first->starting + first->reservations->len,
                                  second->starting + second->reservations->len);
    if (starting != 0)
        return starting;
    return compare_counts(first->running, second->running);
}

/* Compares two machines for the request. Returns a value below 0 if the first is better, and 0 if
 * they are equal. The criteria, in order: it has responded, lower score, the image is cached, fewer
 * starts (reserved or fetching their image), fewer running attempts. For requests of high or
 * critical priority the image comes before the score, since these are to start within a second and
 * fetching an image takes five. */
static int compare_rank(const machine_t *first, const machine_t *second,
                        const placement_request_t *request)
{
    bool first_has_image = candidates_has_image(first, request);
    bool second_has_image = candidates_has_image(second, request);
    if (first->has_responded != second->has_responded)
        return first->has_responded ? -1 : 1;
    if (request->priority >= PRIORITY_HIGH && first_has_image != second_has_image)
        return first_has_image ? -1 : 1;
    double difference = score(first, request->need) - score(second, request->need);
    if (difference < -RESOURCE_EPSILON || difference > RESOURCE_EPSILON)
        return difference < 0 ? -1 : 1;
    if (first_has_image != second_has_image)
        return first_has_image ? -1 : 1;
    return compare_load(first, second);
}

/* Returns whether the machine that was examined last, the `equals`-th of equal rank, replaces the
 * one chosen before. */
static bool wins_tie(partition_t *partition, guint equals)
{
    guint tie_number = partition->tie_counter++;
    return tie_number % equals == 0;
}

static machine_t *choose_free_machine(partition_t *partition, const placement_request_t *request,
                                      msec_t now)
{
    machine_t *best = NULL;
    guint equals = 0;
    candidates_t candidates;
    candidates_init(&candidates, partition, request, now);
    for (machine_t *machine = candidates_next(&candidates); machine;
         machine = candidates_next(&candidates)) {
        if (!resources_fit(request->need, machine_free_resources(machine)))
            continue;
        int rank = best ? compare_rank(machine, best, request) : -1;
        if (rank < 0) {
            best = machine;
            equals = 1;
        } else if (rank == 0) {
            equals++;
            if (wins_tie(partition, equals))
                best = machine;
        }
    }
    return best;
}

static record_entry_t record_entry_of(const placement_request_t *request)
{
    record_entry_t entry = {.need = request->need,
                            .priority = request->priority,
                            .save_s = request->save_s,
                            .checkpoint_s = request->checkpoint_s,
                            .task = request->task,
                            .attempt = request->attempt};
    g_strlcpy(entry.job, request->job, sizeof entry.job);
    g_strlcpy(entry.team, request->team, sizeof entry.team);
    g_strlcpy(entry.image, request->image, sizeof entry.image);
    return entry;
}

/* Adds the attempt to the machine and reserves its resources there. */
static attempt_t *reserve(partition_t *partition, machine_t *machine,
                          const placement_request_t *request, msec_t now)
{
    record_entry_t entry = record_entry_of(request);
    attempt_t *attempt = partition_add_attempt(partition, machine, &entry);
    attempt->phase = ATTEMPT_PLACED;
    attempt->job_revision = request->job_revision;
    attempt->worker_epoch = machine->worker_epoch;
    reservation_add(machine->reservations, attempt->reservation_id, request->need,
                    machine->accepted_count, now);
    return attempt;
}

machine_t *partition_place(partition_t *partition, const placement_request_t *request, msec_t now)
{
    machine_t *machine = choose_free_machine(partition, request, now);
    bool needs_preemption = !machine && request->may_preempt;
    if (needs_preemption)
        machine = partition_preempt_for(partition, request, now);
    if (!machine)
        return NULL;
    attempt_t *attempt = reserve(partition, machine, request, now);
    attempt->waits_for_preempted = needs_preemption;
    partition_request_flush(partition, machine);
    return machine;
}
