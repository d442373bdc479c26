/* Placement: the score, and the machine that a placement request gets. */
#include "core/partition/partition_internal.h"

#include <string.h>

/* Whether the machine is open for the placement request, resources aside. One that has not reported
 * in this view, or is not reached, may be hanging, cut off or gone: it takes no starts (the design
 * ranks it last; a start there would only wait, and be lost with its lease). */
bool partition_is_open(const partition_t *partition, const machine_t *machine,
                       const placement_request_t *request, msec_t now)
{
    if (!partition_is_reachable(partition, machine, now) || !machine->is_capacity_known ||
        machine->is_draining || machine->interruption_at || machine->is_page_full)
        return false;
    if (request->zone[0] && strcmp(request->zone, machine->zone) != 0)
        return false;
    if (machine->spot && !request->spot)
        return false;
    return !request->types || g_strv_contains((const char *const *)request->types, machine->type);
}

static double pressure(const machine_t *machine, resources_t need)
{
    resources_t left = partition_free_resources(machine);
    double cpus =
        (machine->capacity.cpus - left.cpus + need.cpus) / MAX(machine->capacity.cpus, EPSILON);
    double memory = (machine->capacity.memory - left.memory + need.memory) /
                    MAX(machine->capacity.memory, EPSILON);
    return MAX(cpus, memory);
}

bool partition_is_warm(const machine_t *machine, const placement_request_t *request)
{
    return g_hash_table_contains(machine->images, request->image);
}

/* The design's order: reported first, lower score, fewer starting, fewer running. 0: equal. Whether
 * the image is there already breaks ties of the score; for urgent work, which is to start within a
 * second where a fetch takes five, it comes before the score. */
static int compare_rank(const machine_t *first, const machine_t *second,
                        const placement_request_t *request)
{
    bool first_warm = partition_is_warm(first, request);
    bool second_warm = partition_is_warm(second, request);
    if (first->has_responded != second->has_responded)
        return first->has_responded ? -1 : 1;
    if (request->priority >= PRIORITY_HIGH && first_warm != second_warm)
        return first_warm ? -1 : 1;
    double difference = pressure(first, request->need) - pressure(second, request->need);
    if (difference < -EPSILON || difference > EPSILON)
        return difference < 0 ? -1 : 1;
    if (first_warm != second_warm)
        return first_warm ? -1 : 1;
    guint first_starting = first->starting + first->reservations->len;
    guint second_starting = second->starting + second->reservations->len;
    if (first_starting != second_starting)
        return first_starting < second_starting ? -1 : 1;
    if (first->running != second->running)
        return first->running < second->running ? -1 : 1;
    return 0;
}

static machine_t *choose_free(partition_t *partition, const placement_request_t *request,
                              msec_t now)
{
    machine_t *best = NULL;
    guint equals = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        machine_t *machine = value;
        if (!partition_is_open(partition, machine, request, now) ||
            !resources_fit(request->need, partition_free_resources(machine)))
            continue;
        int rank = best ? compare_rank(machine, best, request) : -1;
        if (rank < 0) {
            best = machine;
            equals = 1;
        } else if (rank == 0 && partition->round_robin_turn++ % ++equals == 0) {
            best = machine;
        }
    }
    return best;
}

machine_t *partition_place(partition_t *partition, const placement_request_t *request, msec_t now)
{
    machine_t *best = choose_free(partition, request, now);
    bool waits = !best && request->may_preempt;
    if (waits)
        best = partition_preempt_for(partition, request, now);
    if (!best)
        return NULL;
    record_entry_t entry = {.need = request->need,
                            .priority = request->priority,
                            .save_s = request->save_s,
                            .checkpoint_s = request->checkpoint_s,
                            .task = request->task,
                            .attempt = request->attempt};
    g_strlcpy(entry.job, request->job, sizeof entry.job);
    g_strlcpy(entry.team, request->team, sizeof entry.team);
    g_strlcpy(entry.image, request->image, sizeof entry.image);
    attempt_t *attempt = partition_attempt_add(partition, best, &entry);
    attempt->phase = ATTEMPT_PLACED;
    attempt->job_revision = request->job_revision;
    attempt->worker_epoch = best->worker_epoch;
    attempt->waits_for_preempted = waits;
    reservation_add(best->reservations, attempt->reservation_id, request->need, best->receipt_count,
                    now);
    partition_flush_machine(partition, best);
    return best;
}
