#include "core/partition.h"

#include <string.h>

static void machine_free(gpointer data)
{
    machine_t *machine = data;
    g_ptr_array_unref(machine->attempts);
    g_array_unref(machine->reservations);
    g_hash_table_unref(machine->images);
    g_free(machine);
}

static void page_free(gpointer data)
{
    g_ptr_array_unref(((page_t *)data)->machines);
    g_free(data);
}

static void shard_free(gpointer data)
{
    g_ptr_array_unref(((shard_t *)data)->pages);
    g_free(data);
}

static void record_clear(gpointer data)
{
    g_array_unref(((machine_record_t *)data)->entries);
}

GArray *machine_records_new(void)
{
    GArray *records = g_array_new(FALSE, FALSE, sizeof(machine_record_t));
    g_array_set_clear_func(records, record_clear);
    return records;
}

partition_t *partition_new(const GArray *machine_types, const GArray *teams, msec_t lapse)
{
    partition_t *partition = g_new0(partition_t, 1);
    partition->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, machine_free);
    partition->shards = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, shard_free);
    partition->departed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    partition->wanted = g_queue_new();
    partition->attempts = g_hash_table_new(task_ref_hash, task_ref_equal);
    partition->machine_types = machine_types;
    partition->teams = teams;
    partition->results = g_array_new(FALSE, TRUE, sizeof(attempt_result_t));
    partition->lapse = lapse;
    partition->fresh = DIRECT_FRESH_MS;
    return partition;
}

void partition_free(partition_t *partition)
{
    g_hash_table_unref(partition->attempts);
    g_hash_table_unref(partition->machines);
    g_hash_table_unref(partition->shards);
    g_hash_table_unref(partition->departed);
    g_queue_free(partition->wanted);
    g_array_unref(partition->results);
    g_free(partition);
}

void partition_set_view(partition_t *partition, uint64_t view)
{
    partition->view = view;
}

/* Fleets that report every 3 s, some of them late by a half, looked silent between two reports. */
void partition_set_report(partition_t *partition, double report_s)
{
    partition->fresh =
        MAX(DIRECT_FRESH_MS, (msec_t)(report_s * REPORT_SPREAD * 1000) + REPORT_LATE_MS);
}

static void look_up_capacity(const partition_t *partition, machine_t *machine)
{
    for (guint i = 0; i < partition->machine_types->len; i++) {
        const machine_type_t *machine_type =
            &g_array_index(partition->machine_types, machine_type_t, i);
        if (strcmp(machine_type->name, machine->type) == 0) {
            machine->capacity = machine_type->capacity;
            machine->is_capacity_known = true;
        }
    }
}

void partition_apply_machine_types(partition_t *partition)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        look_up_capacity(partition, value);
}

static shard_t *shard_find(partition_t *partition, const char *name)
{
    shard_t *shard = g_hash_table_lookup(partition->shards, name);
    if (!shard) {
        shard = g_new0(shard_t, 1);
        g_strlcpy(shard->name, name, sizeof shard->name);
        shard->pages = g_ptr_array_new_with_free_func(page_free);
        g_hash_table_insert(partition->shards, shard->name, shard);
    }
    return shard;
}

static page_t *page_lookup(const shard_t *shard, guint number)
{
    for (guint i = 0; shard && i < shard->pages->len; i++) {
        page_t *page = g_ptr_array_index(shard->pages, i);
        if (page->number == number)
            return page;
    }
    return NULL;
}

static page_t *page_find(shard_t *shard, guint number)
{
    page_t *page = page_lookup(shard, number);
    if (!page) {
        page = g_new0(page_t, 1);
        g_strlcpy(page->shard, shard->name, sizeof page->shard);
        page->number = number;
        page->machines = g_ptr_array_new();
        g_ptr_array_add(shard->pages, page);
    }
    return page;
}

/* The page with the fewest machines; the first one is there from the start. */
static page_t *page_for_new(shard_t *shard)
{
    page_t *best = page_find(shard, 0);
    for (guint i = 0; i < shard->pages->len; i++) {
        page_t *page = g_ptr_array_index(shard->pages, i);
        if (page->machines->len < best->machines->len)
            best = page;
    }
    return best;
}

static void page_touch(partition_t *partition, page_t *page)
{
    if (!page->urgent)
        page->urgent = ++partition->turns;
}

/* Its record is to be written soon: something can't start or be placed again before. */
static void touch(partition_t *partition, const machine_t *machine)
{
    page_touch(partition, machine->page);
}

/* page: of its record; NULL: it has none yet. */
static machine_t *machine_add(partition_t *partition, const char *id, const char *zone,
                              page_t *page, msec_t now)
{
    machine_t *machine = g_new0(machine_t, 1);
    g_strlcpy(machine->id, id, sizeof machine->id);
    g_strlcpy(machine->zone, zone, sizeof machine->zone);
    machine->page = page;
    if (!page) {
        char shard[SHARD_NAME];
        shard_of(id, zone, shard, sizeof shard);
        machine->page = page_for_new(shard_find(partition, shard));
    }
    g_ptr_array_add(machine->page->machines, machine);
    machine->attempts = g_ptr_array_new_with_free_func(g_free);
    machine->reservations = g_array_new(FALSE, FALSE, sizeof(reservation_t));
    machine->images = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    machine->first_seen = machine->last_report = machine->reached = machine->idle_since = now;
    g_hash_table_insert(partition->machines, machine->id, machine);
    return machine;
}

static void machine_drop(partition_t *partition, machine_t *machine)
{
    g_ptr_array_remove(machine->page->machines, machine);
    if (machine->direct_wanted)
        g_queue_remove(partition->wanted, machine);
    g_hash_table_add(partition->departed, g_strdup(machine->id));
    g_hash_table_remove(partition->machines, machine->id);
}

/* Its commands are to go out at once. */
static void want_direct(partition_t *partition, machine_t *machine)
{
    if (!machine->direct_wanted)
        g_queue_push_tail(partition->wanted, machine);
    machine->direct_wanted = true;
}

static attempt_t *attempt_add(partition_t *partition, machine_t *machine,
                              const record_entry_t *entry)
{
    attempt_t *attempt = g_new0(attempt_t, 1);
    attempt->entry = *entry;
    attempt->ref = task_ref(entry->job, entry->task, entry->attempt);
    attempt->reservation_id = ++partition->last_reservation_id;
    attempt->machine = machine;
    g_ptr_array_add(machine->attempts, attempt);
    g_hash_table_insert(partition->attempts, &attempt->ref, attempt);
    return attempt;
}

static void attempt_drop(partition_t *partition, attempt_t *attempt)
{
    reservation_free(attempt->machine->reservations, attempt->reservation_id);
    g_hash_table_remove(partition->attempts, &attempt->ref);
    g_ptr_array_remove(attempt->machine->attempts, attempt);
}

static void load_machine(partition_t *partition, const machine_record_t *record, page_t *page,
                         msec_t now)
{
    machine_t *machine = machine_add(partition, record->machine, record->zone, page, now);
    g_strlcpy(machine->address, record->address, sizeof machine->address);
    g_strlcpy(machine->type, record->type, sizeof machine->type);
    machine->spot = record->spot;
    machine->session = record->session;
    look_up_capacity(partition, machine);
    machine->probe = true;
    want_direct(partition, machine);
    for (guint i = 0; i < record->entries->len; i++) {
        attempt_t *attempt =
            attempt_add(partition, machine, &g_array_index(record->entries, record_entry_t, i));
        attempt->phase = ATTEMPT_RECORDED;
        attempt->session = record->session;
        attempt->in_record = true;
        reservation_add(machine->reservations, attempt->reservation_id, attempt->entry.need, 0,
                        now);
    }
}

void partition_load(partition_t *partition, const page_record_t *record, msec_t now)
{
    page_t *page = page_find(shard_find(partition, record->shard), record->page);
    page->revision = record->revision;
    for (guint i = 0; i < record->machines->len; i++)
        load_machine(partition, &g_array_index(record->machines, machine_record_t, i), page, now);
}

resources_t partition_free_resources(const machine_t *machine)
{
    resources_t resources = machine->capacity;
    resources_add(&resources, machine->booked, -1);
    resources_add(&resources, reservation_sum(machine->reservations), -1);
    return resources;
}

/* A machine can be heard and not reached: its reports come, our answers and commands are lost. A
 * worker without an answer waits 4 s and turns to another node a second later, so one that reports
 * here again within that time has had the answer. */
bool partition_is_reached(const partition_t *partition, const machine_t *machine, msec_t now)
{
    return machine->reported && !machine->doubtful && now - machine->reached < partition->fresh;
}

/* Whether the machine is open for the placement request, resources aside. One that has not reported
 * in this view, or is not reached, may be hanging, cut off or gone: it takes no starts (the design
 * ranks it last; a start there would only wait, and be lost with its lease). */
static bool is_open(const partition_t *partition, const machine_t *machine,
                    const placement_request_t *request, msec_t now)
{
    if (!partition_is_reached(partition, machine, now) || !machine->is_capacity_known ||
        machine->draining || machine->reclaim_at || machine->crowded)
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

static bool is_warm(const machine_t *machine, const placement_request_t *request)
{
    return g_hash_table_contains(machine->images, request->image);
}

/* The design's order: reported first, lower score, fewer starting, fewer running. 0: equal. Whether
 * the image is there already breaks ties of the score; for urgent work, which is to start within a
 * second where a fetch takes five, it comes before the score. */
static int compare_rank(const machine_t *a, const machine_t *b, const placement_request_t *request)
{
    bool warm_a = is_warm(a, request), warm_b = is_warm(b, request);
    if (a->reported != b->reported)
        return a->reported ? -1 : 1;
    if (request->priority >= PRIORITY_HIGH && warm_a != warm_b)
        return warm_a ? -1 : 1;
    double difference = pressure(a, request->need) - pressure(b, request->need);
    if (difference < -EPSILON || difference > EPSILON)
        return difference < 0 ? -1 : 1;
    if (warm_a != warm_b)
        return warm_a ? -1 : 1;
    guint starting_a = a->starting + a->reservations->len;
    guint starting_b = b->starting + b->reservations->len;
    if (starting_a != starting_b)
        return starting_a < starting_b ? -1 : 1;
    if (a->running != b->running)
        return a->running < b->running ? -1 : 1;
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
        if (!is_open(partition, machine, request, now) ||
            !resources_fit(request->need, partition_free_resources(machine)))
            continue;
        int rank = best ? compare_rank(machine, best, request) : -1;
        if (rank < 0) {
            best = machine;
            equals = 1;
        } else if (rank == 0 && partition->turn++ % ++equals == 0) {
            best = machine;
        }
    }
    return best;
}

static bool is_victim(const partition_t *partition, const attempt_t *attempt,
                      const placement_request_t *request, msec_t now)
{
    if (attempt->phase != ATTEMPT_RECORDED || !attempt->listed || attempt->stop ||
        now - attempt->listed_since < PREEMPT_PROTECT_MS)
        return false;
    bool same = strcmp(attempt->entry.team, request->team) == 0;
    bool yields = same;
    for (guint i = 0; !yields && i < partition->teams->len && i < 64; i++)
        yields = (request->victims >> i & 1) &&
                 strcmp(g_array_index(partition->teams, team_t, i).name, attempt->entry.team) == 0;
    return yields &&
           (attempt->entry.priority < request->priority || (request->claims_guarantee && !same));
}

/* Work lost by a stop, in cpu seconds: what ran since the start, or since the last checkpoint, and
 * the wait for a new place. */
static double lost_work(const attempt_t *attempt, msec_t now)
{
    double ran = (double)(now - attempt->listed_since) / 1000.0;
    if (attempt->entry.checkpoint_s > 0)
        ran = MIN(ran, attempt->entry.checkpoint_s / 2);
    return (ran + PREEMPT_COST_S) * attempt->entry.need.cpus;
}

/* Cheapest first; lost work is compared as it was when the list was made. */
typedef struct {
    attempt_t *attempt;
    double lost;
} victim_t;

static gint compare_victims(gconstpointer left, gconstpointer right)
{
    const victim_t *a = left, *b = right;
    if (a->attempt->entry.priority != b->attempt->entry.priority)
        return a->attempt->entry.priority < b->attempt->entry.priority ? -1 : 1;
    return a->lost < b->lost ? -1 : a->lost > b->lost;
}

/* Victims that make room for the placement request on the machine, cheapest first; NULL if there is
 * no way. */
static GArray *choose_victims(const partition_t *partition, const machine_t *machine,
                              const placement_request_t *request, msec_t now, double *lost)
{
    GArray *victims = g_array_new(FALSE, FALSE, sizeof(victim_t));
    for (guint i = 0; i < machine->attempts->len; i++) {
        victim_t victim = {.attempt = g_ptr_array_index(machine->attempts, i)};
        if (!is_victim(partition, victim.attempt, request, now))
            continue;
        victim.lost = lost_work(victim.attempt, now);
        g_array_append_val(victims, victim);
    }
    g_array_sort(victims, compare_victims);
    resources_t resources = partition_free_resources(machine);
    guint taken = 0;
    *lost = 0;
    while (!resources_fit(request->need, resources) && taken < victims->len) {
        const victim_t *victim = &g_array_index(victims, victim_t, taken++);
        resources_add(&resources, victim->attempt->entry.need, 1);
        *lost += victim->lost;
    }
    if (!resources_fit(request->need, resources)) {
        g_array_unref(victims);
        return NULL;
    }
    g_array_set_size(victims, taken);
    return victims;
}

/* Makes room by stopping what may be stopped, where that loses least. */
static machine_t *choose_preempting(partition_t *partition, const placement_request_t *request,
                                    msec_t now)
{
    machine_t *best = NULL;
    GArray *best_victims = NULL;
    double least = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        machine_t *machine = value;
        double lost;
        if (!is_open(partition, machine, request, now))
            continue;
        GArray *victims = choose_victims(partition, machine, request, now, &lost);
        lost += is_warm(machine, request) ? 0 : PREEMPT_COLD_S * request->need.cpus;
        if (victims && (!best || lost < least)) {
            if (best_victims)
                g_array_unref(best_victims);
            best = machine;
            best_victims = victims;
            least = lost;
        } else if (victims) {
            g_array_unref(victims);
        }
    }
    for (guint i = 0; best && i < best_victims->len; i++) {
        attempt_t *attempt = g_array_index(best_victims, victim_t, i).attempt;
        partition_stop(partition, attempt, now);
        attempt->preempted = true;
        if (request->priority >= PRIORITY_HIGH)
            attempt->stop_kill = now; /* no time to save: the request is to start at once */
    }
    if (best_victims)
        g_array_unref(best_victims);
    return best;
}

double partition_yielding(const partition_t *partition, const char *team)
{
    double cpus = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, partition->attempts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const attempt_t *attempt = value;
        if (attempt->preempted && strcmp(attempt->entry.team, team) == 0)
            cpus += attempt->entry.need.cpus;
    }
    return cpus;
}

machine_t *partition_place(partition_t *partition, const placement_request_t *request, msec_t now)
{
    machine_t *best = choose_free(partition, request, now);
    bool waits = !best && request->preempt;
    if (waits)
        best = choose_preempting(partition, request, now);
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
    attempt_t *attempt = attempt_add(partition, best, &entry);
    attempt->phase = ATTEMPT_PLACED;
    attempt->job_revision = request->job_revision;
    attempt->session = best->session;
    attempt->waits = waits;
    reservation_add(best->reservations, attempt->reservation_id, request->need, best->receipt, now);
    touch(partition, best);
    return best;
}

static attempt_t *find_ref(partition_t *partition, const task_ref_t *ref)
{
    attempt_t *attempt = g_hash_table_lookup(partition->attempts, ref);
    return attempt && attempt->ref.attempt == ref->attempt ? attempt : NULL;
}

static void add_result(partition_t *partition, const attempt_t *attempt)
{
    attempt_result_t result = {.ref = attempt->ref, .cause = attempt->cause};
    g_strlcpy(result.machine, attempt->machine->id, sizeof result.machine);
    g_array_append_val(partition->results, result);
}

void partition_withdraw(partition_t *partition, const task_ref_t *ref, msec_t now)
{
    attempt_t *attempt = find_ref(partition, ref);
    if (!attempt)
        return;
    partition_stop(partition, attempt, now);
    touch(partition, attempt->machine); /* one not recorded goes with the next round */
}

/* Proof stands: the attempt is over. One not yet recorded leaves with its batch's end. */
static void attempt_over(partition_t *partition, attempt_t *attempt, cause_t cause)
{
    if (attempt->phase == ATTEMPT_OVER)
        return;
    attempt->phase = ATTEMPT_OVER;
    attempt->cause = cause;
    reservation_free(attempt->machine->reservations, attempt->reservation_id);
    if (cause == CAUSE_DONE) {
        attempt->reported_done = true;
        add_result(partition, attempt);
        attempt->machine->page->lazy |= attempt->acknowledged;
    } else {
        touch(partition, attempt->machine);
    }
}

static attempt_t *find_attempt(partition_t *partition, const reported_attempt_t *reported_attempt,
                               const machine_t *machine)
{
    task_ref_t ref =
        task_ref(reported_attempt->job, reported_attempt->task, reported_attempt->attempt);
    attempt_t *attempt = find_ref(partition, &ref);
    return attempt && attempt->machine == machine ? attempt : NULL;
}

static void command_add(GArray *commands, worker_command_op_t op, const char *job, uint32_t task,
                        uint64_t number, double grace_s)
{
    worker_command_t command = {.op = op, .task = task, .attempt = number, .grace_s = grace_s};
    g_strlcpy(command.job, job, sizeof command.job);
    g_array_append_val(commands, command);
}

static double stop_grace(const attempt_t *attempt, msec_t now)
{
    /* A task without checkpoints has nothing to save; one that is already saving is cut off only
     * when its time is over. */
    if (attempt->entry.checkpoint_s <= 0 || attempt->stop_kill <= now)
        return 0;
    return (double)(attempt->stop_kill - now) / 1000.0;
}

/* Resources free on the machine once the stops that give no time have been executed. */
static resources_t resources_after_stops(const machine_t *machine, msec_t now)
{
    resources_t resources = machine->capacity;
    for (guint i = 0; i < machine->attempts->len; i++) {
        const attempt_t *attempt = g_ptr_array_index(machine->attempts, i);
        if (attempt->phase == ATTEMPT_RECORDED && attempt->listed &&
            !(attempt->stop && stop_grace(attempt, now) <= 0))
            resources_add(&resources, attempt->entry.need, -1);
    }
    return resources;
}

static bool is_sent_here(const machine_t *machine, const attempt_t *attempt)
{
    return attempt->phase == ATTEMPT_RECORDED && attempt->in_record &&
           attempt->session == machine->session;
}

/* Commands that bring the machine to what is wanted: stops, then runs. A start that waits for the
 * resources of others goes out when that is free, or in one message after the stops that free it.
 */
static void wanted_commands(const partition_t *partition, const machine_t *machine, msec_t now,
                            GArray *commands)
{
    for (guint i = 0; i < machine->attempts->len; i++) {
        const attempt_t *attempt = g_ptr_array_index(machine->attempts, i);
        const record_entry_t *entry = &attempt->entry;
        if (!is_sent_here(machine, attempt) || !attempt->stop || !attempt->listed)
            continue;
        double grace = stop_grace(attempt, now);
        if (attempt->state != TASK_SAVING || grace <= 0)
            command_add(commands, COMMAND_STOP, entry->job, entry->task, entry->attempt, grace);
    }
    resources_t resources = resources_after_stops(machine, now);
    for (guint i = 0; !partition->starts_paused && i < machine->attempts->len; i++) {
        const attempt_t *attempt = g_ptr_array_index(machine->attempts, i);
        const record_entry_t *entry = &attempt->entry;
        if (!is_sent_here(machine, attempt) || attempt->stop || attempt->listed)
            continue;
        if (attempt->waits && !resources_fit(entry->need, resources))
            continue;
        resources_add(&resources, entry->need, -1);
        command_add(commands, COMMAND_RUN, entry->job, entry->task, entry->attempt, 0);
    }
}

static void take_session(partition_t *partition, machine_t *machine, const report_t *report)
{
    if (report->session <= machine->session && machine->session)
        return;
    /* The worker killed and forgot all of its earlier sessions, and commands of those are refused
     * there: proof for every attempt recorded under them. A placed one has not been sent. */
    for (guint i = 0; i < machine->attempts->len; i++) {
        attempt_t *attempt = g_ptr_array_index(machine->attempts, i);
        if (attempt->session < report->session)
            attempt_over(partition, attempt, CAUSE_NONE);
    }
    machine->session = report->session;
    machine->unanswered_token = 0;
    machine->booked = (resources_t){0};
}

static void take_identity(partition_t *partition, machine_t *machine, const report_t *report)
{
    if (machine->reported && strcmp(machine->address, report->address) == 0)
        return;
    g_strlcpy(machine->address, report->address, sizeof machine->address);
    g_strlcpy(machine->type, report->type, sizeof machine->type);
    machine->spot = report->spot;
    look_up_capacity(partition, machine);
}

/* A task that runs has its image: the machine will not fetch that one again soon. */
static void take_image(machine_t *machine, const attempt_t *attempt)
{
    if (!g_hash_table_contains(machine->images, attempt->entry.image))
        g_hash_table_add(machine->images, g_strdup(attempt->entry.image));
}

static void take_attempts(partition_t *partition, machine_t *machine, const report_t *report,
                          msec_t now)
{
    resources_t booked = {0}, grown = {0};
    machine->starting = machine->running = 0;
    for (guint i = 0; i < machine->attempts->len; i++) {
        attempt_t *attempt = g_ptr_array_index(machine->attempts, i);
        attempt->listed = attempt->listed && attempt->phase == ATTEMPT_OVER;
    }
    for (guint i = 0; i < report->attempts->len; i++) {
        const reported_attempt_t *reported_attempt =
            &g_array_index(report->attempts, reported_attempt_t, i);
        attempt_t *attempt = find_attempt(partition, reported_attempt, machine);
        if (!attempt || attempt->phase == ATTEMPT_OVER)
            continue;
        attempt->listed = true;
        attempt->state = reported_attempt->state;
        if (reported_attempt->state == TASK_EXITED) {
            attempt_over(partition, attempt, reported_attempt->cause);
            continue;
        }
        if (reported_attempt->state == TASK_FETCHING)
            machine->starting++;
        else
            take_image(machine, attempt);
        machine->running += reported_attempt->state != TASK_FETCHING;
        resources_add(&booked, attempt->entry.need, 1);
        if (!attempt->listed_since) {
            attempt->listed_since = now;
            resources_add(&grown, attempt->entry.need, 1);
        }
        if (reported_attempt->state == TASK_FETCHING)
            reservation_see_start(machine->reservations, attempt->reservation_id, machine->receipt);
        else
            reservation_free(machine->reservations, attempt->reservation_id);
    }
    /* Growth is counted by the tasks newly listed, so that one that ended meanwhile hides none. */
    reservation_confirm(machine->reservations, grown, machine->receipt);
    machine->booked = booked;
}

/* Whether no `run` of ours that the worker has not executed can still be executed there: it has
 * seen this view's token, no direct command is under way, and none went unanswered under a token as
 * high as the one it has seen. Commands in answers to reports need no more care: this report was
 * sent after the answer to the one before arrived or was given up. That holds for ordinary reports
 * only; the answer to a direct command may overtake what an earlier report's answer carries. */
static bool nothing_under_way(const partition_t *partition, const machine_t *machine,
                              const report_t *report)
{
    return report->token >= partition->view && !machine->direct_busy &&
           machine->unanswered_token < report->token;
}

static void prove_absent(partition_t *partition, machine_t *machine, const report_t *report)
{
    if (!nothing_under_way(partition, machine, report))
        return;
    for (guint i = 0; i < machine->attempts->len; i++) {
        attempt_t *attempt = g_ptr_array_index(machine->attempts, i);
        if (attempt->phase == ATTEMPT_RECORDED && attempt->stop && !attempt->listed)
            attempt_over(partition, attempt, CAUSE_STOPPED);
    }
}

static void answer_unknown(partition_t *partition, machine_t *machine, const report_t *report,
                           GArray *commands)
{
    /* `forget` ends the worker's memory of an attempt, after which a late copy of its `run` would
     * start it anew. So it goes out only in an ordinary answer, to a report that lists the exit,
     * and while no copy is under way. */
    bool may_forget = nothing_under_way(partition, machine, report);
    for (guint i = 0; i < report->attempts->len; i++) {
        const reported_attempt_t *reported_attempt =
            &g_array_index(report->attempts, reported_attempt_t, i);
        if (find_attempt(partition, reported_attempt, machine))
            continue;
        if (reported_attempt->state != TASK_EXITED)
            command_add(commands, COMMAND_STOP, reported_attempt->job, reported_attempt->task,
                        reported_attempt->attempt, 0);
        else if (may_forget)
            command_add(commands, COMMAND_FORGET, reported_attempt->job, reported_attempt->task,
                        reported_attempt->attempt, 0);
    }
}

/* What a report is worth by its order alone. A copy may come seconds to minutes late, here or at a
 * controller that never saw the original: it must not rewind, prove, confirm or keep anything
 * alive. Within what this partition has seen, the worker's numbers tell. For a first report there
 * is nothing to compare with, but one that bears this view's token was sent in this view. */
static report_verdict_t judge_report(partition_t *partition, machine_t *machine,
                                     const report_t *report, bool direct)
{
    if (machine->gone || report->session < machine->session)
        return REPORT_STALE;
    if (!direct && !machine->spoke && report->token < partition->view)
        return REPORT_UNPROVEN;
    if (!machine->reported || report->session > machine->session)
        return REPORT_TAKEN;
    if (!direct && report->seq <= machine->spoken)
        return REPORT_STALE;
    return report->seq <= machine->seq ? REPORT_OVERTAKEN : REPORT_TAKEN;
}

/* An ordinary report came in its turn: what does it show about our answers? */
static void note_turn(machine_t *machine, const report_t *report, msec_t now)
{
    bool follows = now - machine->last_report < REPORT_FOLLOWS_MS;
    if (follows || !machine->spoke) {
        machine->spoke = true;
        machine->reached = now;
        machine->doubtful = false;
    }
    machine->last_report = now;
    machine->spoken = report->seq;
}

report_verdict_t partition_report(partition_t *partition, const report_t *report, bool direct,
                                  msec_t now, GArray *commands)
{
    /* A late copy would bring a machine that is gone back to life, with all its resources free. */
    if (g_hash_table_contains(partition->departed, report->machine))
        return REPORT_STALE;
    machine_t *machine = g_hash_table_lookup(partition->machines, report->machine);
    if (!machine)
        machine = machine_add(partition, report->machine, report->zone, NULL, now);
    report_verdict_t verdict = judge_report(partition, machine, report, direct);
    if (verdict == REPORT_OVERTAKEN && !direct)
        note_turn(machine, report, now);
    if (verdict != REPORT_TAKEN)
        return verdict;
    take_identity(partition, machine, report);
    take_session(partition, machine, report);
    machine->seq = report->seq;
    machine->token = report->token;
    machine->receipt++;
    machine->reclaim_at =
        report->reclaim_in_s >= 0 ? MAX(now + (msec_t)(report->reclaim_in_s * 1000), 1) : 0;
    take_attempts(partition, machine, report, now);
    for (guint i = 0; i < machine->attempts->len; i++) {
        const attempt_t *attempt = g_ptr_array_index(machine->attempts, i);
        if (attempt->waits && attempt->phase == ATTEMPT_RECORDED && !attempt->listed)
            want_direct(partition, machine);
    }
    if (!direct) {
        note_turn(machine, report, now);
        machine->reported = true;
        prove_absent(partition, machine, report);
        wanted_commands(partition, machine, now, commands);
        answer_unknown(partition, machine, report, commands);
    }
    if (machine->attempts->len)
        machine->idle_since = now;
    return REPORT_TAKEN;
}

/* Only where it has not spoken yet: the lease of a machine that answers commands, but gets no
 * answers to its reports, ends all the same. */
void partition_probed(partition_t *partition, const char *id, msec_t now)
{
    machine_t *machine = g_hash_table_lookup(partition->machines, id);
    if (!machine || machine->reported)
        return;
    machine->reported = true;
    machine->reached = now;
    want_direct(partition, machine); /* starts that were recorded and perhaps not sent */
}

void partition_note_alive(partition_t *partition, const report_t *report, msec_t now)
{
    machine_t *machine = g_hash_table_lookup(partition->machines, report->machine);
    if (!machine || report->session < machine->session ||
        (report->session == machine->session && report->seq <= machine->spoken))
        return;
    machine->reached = machine->last_report = now;
}

void partition_pause_starts(partition_t *partition, bool pause)
{
    partition->starts_paused = pause;
}

void partition_end_job(partition_t *partition, const char *job)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, partition->attempts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        attempt_t *attempt = value;
        if (strcmp(attempt->entry.job, job) != 0)
            continue;
        attempt->stop = true;
        attempt->stop_kill = 0; /* nobody wants what it would save */
        attempt->acknowledged = true;
        want_direct(partition, attempt->machine);
        if (attempt->in_record)
            attempt->machine->page->lazy = true;
        else
            touch(partition, attempt->machine);
    }
}

void partition_stop(partition_t *partition, attempt_t *attempt, msec_t now)
{
    if (attempt->stop)
        return;
    attempt->stop = true;
    attempt->stop_kill =
        attempt->entry.checkpoint_s > 0 ? now + (msec_t)(attempt->entry.save_s * 2000) + 1000 : 0;
    want_direct(partition, attempt->machine);
}

void partition_acknowledge(partition_t *partition, const task_ref_t *ref)
{
    attempt_t *attempt = find_ref(partition, ref);
    if (!attempt)
        return;
    attempt->acknowledged = true;
    attempt->machine->page->lazy = true;
}

void partition_machine_gone(partition_t *partition, const char *id)
{
    machine_t *machine = g_hash_table_lookup(partition->machines, id);
    if (!machine)
        return;
    machine->draining = true;
    for (guint i = 0; i < machine->attempts->len; i++)
        attempt_over(partition, g_ptr_array_index(machine->attempts, i), CAUSE_NONE);
    machine->reported = false;
    machine->gone = true;
    touch(partition, machine);
}

/* Least-loaded placement leaves a machine that is to go back with a few tasks, and a long one would
 * keep all of it for minutes. What can save goes on elsewhere, once most of the machine is empty.
 */
static void empty_drained(partition_t *partition, machine_t *machine, msec_t now)
{
    if (!machine->draining || machine->gone ||
        partition_free_resources(machine).cpus < machine->capacity.cpus * DRAIN_EMPTY)
        return;
    for (guint i = 0; i < machine->attempts->len; i++) {
        attempt_t *attempt = g_ptr_array_index(machine->attempts, i);
        if (attempt->phase == ATTEMPT_RECORDED && attempt->listed &&
            attempt->entry.checkpoint_s > 0)
            partition_stop(partition, attempt, now);
    }
}

void partition_tick(partition_t *partition, msec_t now)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        machine_t *machine = value;
        reservation_lapse(machine->reservations, now, partition->lapse);
        empty_drained(partition, machine, now);
    }
    g_hash_table_iter_init(&iter, partition->shards);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const shard_t *shard = value;
        for (guint i = 0; i < shard->pages->len; i++) {
            page_t *page = g_ptr_array_index(shard->pages, i);
            if (!page->lazy)
                page->lazy_since = now;
        }
    }
}

/* Whether the attempt is to leave the record. */
static bool leaves(const attempt_t *attempt)
{
    return attempt->phase == ATTEMPT_OVER && (!attempt->reported_done || attempt->acknowledged);
}

/* What never got into the record goes without a commit. */
static void drop_unrecorded(partition_t *partition, machine_t *machine)
{
    for (guint i = machine->attempts->len; i-- > 0;) {
        attempt_t *attempt = g_ptr_array_index(machine->attempts, i);
        if (attempt->in_record || attempt->batch != BATCH_NONE ||
            (attempt->phase != ATTEMPT_OVER && !attempt->stop))
            continue;
        attempt->cause = CAUSE_NONE;
        add_result(partition, attempt);
        attempt_drop(partition, attempt);
    }
}

/* Whether what the record is to hold differs from what it holds. */
static bool has_change(const page_t *page)
{
    for (guint i = 0; i < page->machines->len; i++) {
        const machine_t *machine = g_ptr_array_index(page->machines, i);
        for (guint k = 0; k < machine->attempts->len; k++) {
            const attempt_t *attempt = g_ptr_array_index(machine->attempts, k);
            if (leaves(attempt) || !attempt->in_record)
                return true;
        }
    }
    return false;
}

/* A record while it is put together. */
typedef struct {
    partition_batch_t *batch;
    GHashTable *headers; /* jobs that it has a header for */
    gsize size;
    gsize value_max;
    guint max_jobs;
    bool full; /* a start was left out for the size */
} writer_t;

static gsize attempt_size(writer_t *writer, const attempt_t *attempt)
{
    const record_entry_t *entry = &attempt->entry;
    bool known = g_hash_table_contains(writer->headers, entry->job);
    return RECORD_ATTEMPT +
           (known ? 0
                  : RECORD_JOB + strlen(entry->job) + strlen(entry->team) + strlen(entry->image));
}

static gsize machine_size(const machine_t *machine)
{
    return RECORD_MACHINE + strlen(machine->id) + strlen(machine->address) + strlen(machine->type) +
           strlen(machine->zone);
}

/* A start that the limits leave no room for stays placed until a later commit. */
static bool admit_start(writer_t *writer, const attempt_t *attempt)
{
    GHashTable *jobs = writer->batch->jobs;
    if (writer->size + attempt_size(writer, attempt) > writer->value_max) {
        writer->full = true;
        return false;
    }
    return g_hash_table_size(jobs) < writer->max_jobs ||
           g_hash_table_contains(jobs, attempt->entry.job);
}

static void write_attempt(writer_t *writer, const attempt_t *attempt, machine_record_t *record)
{
    writer->size += attempt_size(writer, attempt);
    g_hash_table_add(writer->headers, (gpointer)attempt->entry.job);
    g_array_append_val(record->entries, attempt->entry);
}

/* What stays in the record must be in it, whatever the room; starts come into what that leaves. */
static void write_recorded(writer_t *writer, machine_t *machine, machine_record_t *record)
{
    if (machine->attempts->len)
        writer->size += machine_size(machine);
    for (guint i = 0; i < machine->attempts->len; i++) {
        attempt_t *attempt = g_ptr_array_index(machine->attempts, i);
        if (leaves(attempt))
            attempt->batch = BATCH_DROP;
        else if (attempt->in_record)
            write_attempt(writer, attempt, record);
    }
}

static void write_starts(writer_t *writer, machine_t *machine, machine_record_t *record)
{
    for (guint i = 0; i < machine->attempts->len; i++) {
        attempt_t *attempt = g_ptr_array_index(machine->attempts, i);
        if (attempt->in_record || leaves(attempt) || !admit_start(writer, attempt))
            continue;
        attempt->batch = BATCH_ADD;
        g_hash_table_insert(writer->batch->jobs, g_strdup(attempt->entry.job),
                            GSIZE_TO_POINTER(attempt->job_revision));
        write_attempt(writer, attempt, record);
    }
}

static machine_record_t machine_record(const machine_t *machine)
{
    machine_record_t record = {.spot = machine->spot,
                               .session = machine->session,
                               .entries = g_array_new(FALSE, FALSE, sizeof(record_entry_t))};
    g_strlcpy(record.machine, machine->id, sizeof record.machine);
    g_strlcpy(record.address, machine->address, sizeof record.address);
    g_strlcpy(record.type, machine->type, sizeof record.type);
    g_strlcpy(record.zone, machine->zone, sizeof record.zone);
    return record;
}

/* Appends the page's record to the batch. Only machines with attempts are listed. */
static void batch_page(partition_batch_t *batch, page_t *page, guint max_jobs, gsize value_max)
{
    page_record_t record = {
        .page = page->number, .revision = page->revision, .machines = machine_records_new()};
    writer_t writer = {.batch = batch,
                       .headers = g_hash_table_new(g_str_hash, g_str_equal),
                       .size = RECORD_RESERVE,
                       .value_max = value_max,
                       .max_jobs = max_jobs};
    g_strlcpy(record.shard, page->shard, sizeof record.shard);
    for (guint i = 0; i < page->machines->len; i++) {
        machine_t *machine = g_ptr_array_index(page->machines, i);
        machine_record_t entry = machine_record(machine);
        write_recorded(&writer, machine, &entry);
        g_array_append_val(record.machines, entry);
    }
    for (guint i = page->machines->len; i-- > 0;) {
        machine_record_t *entry = &g_array_index(record.machines, machine_record_t, i);
        write_starts(&writer, g_ptr_array_index(page->machines, i), entry);
        if (entry->entries->len == 0)
            g_array_remove_index(record.machines, i);
    }
    g_hash_table_unref(writer.headers);
    g_array_append_val(batch->records, record);
    page->size = writer.size;
    page->full = writer.full;
    page->batched = true;
    page->urgent = 0;
    page->lazy = false;
}

/* Half of a full page's machines go to another page of the shard. Both records are written in one
 * transaction, so that each machine stands under one key at every moment. Without it a shard that
 * nears the value limit would refuse its starts for as long as the fleet is that large. */
static void divide(partition_t *partition, page_t *page)
{
    shard_t *shard = g_hash_table_lookup(partition->shards, page->shard);
    guint total = 0, busy = 0, number = 0, moved = 0;
    page->full = false;
    for (guint i = 0; i < page->machines->len; i++) {
        const machine_t *machine = g_ptr_array_index(page->machines, i);
        total += machine->attempts->len;
        busy += machine->attempts->len > 0;
    }
    for (guint i = 0; busy == 1 && i < page->machines->len; i++) {
        machine_t *machine = g_ptr_array_index(page->machines, i);
        machine->crowded = machine->attempts->len > 0;
    }
    if (busy < 2)
        return;
    while (page_lookup(shard, number))
        number++;
    page_t *half = page_find(shard, number);
    for (guint i = page->machines->len; i-- > 0 && 2 * moved < total;) {
        machine_t *machine = g_ptr_array_index(page->machines, i);
        if (moved > 0 && moved + machine->attempts->len >= total)
            break; /* the last with any work stays */
        moved += machine->attempts->len;
        machine->page = half;
        g_ptr_array_remove_index(page->machines, i);
        g_ptr_array_add(half->machines, machine);
    }
    page->half = half;
    half->half = page;
}

static gint compare_pages(gconstpointer left, gconstpointer right)
{
    const page_t *a = *(page_t *const *)left, *b = *(page_t *const *)right;
    uint64_t turn_a = a->urgent ? a->urgent : UINT64_MAX;
    uint64_t turn_b = b->urgent ? b->urgent : UINT64_MAX;
    return turn_a < turn_b ? -1 : turn_a > turn_b;
}

/* Pages to write now, first come first: else, with a low rate limit, the last would never be. */
static GPtrArray *pages_due(const partition_t *partition, msec_t now)
{
    GPtrArray *due = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, partition->shards);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const shard_t *shard = value;
        for (guint i = 0; i < shard->pages->len; i++) {
            page_t *page = g_ptr_array_index(shard->pages, i);
            if (page->urgent || (page->lazy && now - page->lazy_since >= RECORD_LAZY_MS))
                g_ptr_array_add(due, page);
        }
    }
    g_ptr_array_sort(due, compare_pages);
    return due;
}

static void drop_idle_gone(partition_t *partition, page_t *page)
{
    for (guint i = page->machines->len; i-- > 0;) {
        machine_t *machine = g_ptr_array_index(page->machines, i);
        drop_unrecorded(partition, machine);
        if (machine->gone && machine->attempts->len == 0)
            machine_drop(partition, machine);
    }
}

static void page_record_clear(gpointer data)
{
    g_array_unref(((page_record_t *)data)->machines);
}

/* What the page's record may take at most now. */
static gsize page_bound(const page_t *page, gsize value_max)
{
    gsize fresh = 0;
    for (guint i = 0; i < page->machines->len; i++) {
        const machine_t *machine = g_ptr_array_index(page->machines, i);
        for (guint k = 0; k < machine->attempts->len; k++)
            fresh += !((const attempt_t *)g_ptr_array_index(machine->attempts, k))->in_record;
    }
    gsize each = RECORD_ATTEMPT + RECORD_MACHINE + RECORD_JOB + 4 * LABEL_SIZE;
    return page->size ? MIN(value_max, page->size + fresh * each) : value_max;
}

partition_batch_t *partition_batch_take(partition_t *partition, const partition_limits_t *limits,
                                        msec_t now)
{
    gsize value_max = limits->value_max;
    partition_batch_t *batch = g_new0(partition_batch_t, 1);
    batch->records = g_array_new(FALSE, FALSE, sizeof(page_record_t));
    g_array_set_clear_func(batch->records, page_record_clear);
    batch->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GPtrArray *due = pages_due(partition, now);
    for (guint i = 0; i < due->len && batch->records->len < limits->ops; i++) {
        page_t *page = g_ptr_array_index(due, i);
        if (page->batched)
            continue; /* with its half */
        drop_idle_gone(partition, page);
        if (page->full && !page->half)
            divide(partition, page);
        if (!page->half && !has_change(page)) {
            page->urgent = 0;
            page->lazy = false;
            continue;
        }
        gsize bound = page_bound(page, value_max) + (page->half ? value_max : 0);
        if (page->half && batch->records->len + 2 > limits->ops)
            continue;
        if (batch->bytes > 0 && batch->bytes + bound > limits->bytes)
            break;
        batch_page(batch, page, limits->jobs, value_max);
        batch->bytes += page->size;
        if (page->half) {
            drop_idle_gone(partition, page->half);
            batch_page(batch, page->half, limits->jobs, value_max);
            batch->bytes += page->half->size;
        }
    }
    g_ptr_array_unref(due);
    return batch;
}

static void machine_committed(partition_t *partition, machine_t *machine, msec_t now)
{
    bool changed = false;
    for (guint i = machine->attempts->len; i-- > 0;) {
        attempt_t *attempt = g_ptr_array_index(machine->attempts, i);
        changed = changed || attempt->batch != BATCH_NONE;
        if (attempt->batch == BATCH_ADD) {
            attempt->in_record = true;
            /* It may have been proved over while the commit was under way: then it is not sent, and
             * leaves with the next one. */
            if (attempt->phase == ATTEMPT_PLACED)
                attempt->phase = ATTEMPT_RECORDED;
            else
                touch(partition, machine);
            want_direct(partition, machine);
        } else if (attempt->batch == BATCH_DROP) {
            machine->crowded = false;
            if (!attempt->reported_done)
                add_result(partition, attempt);
            attempt_drop(partition, attempt);
            continue;
        } else if (!attempt->in_record) {
            touch(partition, machine); /* left out, or placed since */
        }
        attempt->batch = BATCH_NONE;
    }
    if (changed)
        machine->idle_since = now;
}

static page_t *page_of_record(const partition_t *partition, const page_record_t *record)
{
    return page_lookup(g_hash_table_lookup(partition->shards, record->shard), record->page);
}

void partition_batch_commit(partition_t *partition, partition_batch_t *batch, uint64_t revision,
                            msec_t now)
{
    for (guint i = 0; i < batch->records->len; i++) {
        const page_record_t *record = &g_array_index(batch->records, page_record_t, i);
        page_t *page = page_of_record(partition, record);
        page->revision = record->machines->len ? revision : 0;
        page->batched = false;
        page->half = NULL; /* its half was in the same commit */
        for (guint k = page->machines->len; k-- > 0;) {
            machine_t *machine = g_ptr_array_index(page->machines, k);
            machine_committed(partition, machine, now);
            if (machine->gone && machine->attempts->len == 0)
                machine_drop(partition, machine);
        }
    }
}

void partition_batch_undo(partition_t *partition, partition_batch_t *batch)
{
    for (guint i = 0; i < batch->records->len; i++) {
        page_t *page = page_of_record(partition, &g_array_index(batch->records, page_record_t, i));
        page_touch(partition, page);
        page->batched = false;
        for (guint k = 0; k < page->machines->len; k++) {
            machine_t *machine = g_ptr_array_index(page->machines, k);
            for (guint n = 0; n < machine->attempts->len; n++)
                ((attempt_t *)g_ptr_array_index(machine->attempts, n))->batch = BATCH_NONE;
        }
    }
}

void partition_batch_free(partition_batch_t *batch)
{
    g_array_unref(batch->records);
    g_hash_table_unref(batch->jobs);
    g_free(batch);
}

/* Whether the machine's turn has come; commands: what to send. Some probes hang, and must leave
 * senders for the live. */
static bool take_direct(partition_t *partition, machine_t *machine, msec_t now, GArray *commands)
{
    machine->direct_busy = true;
    if (machine->probe && !machine->reported) {
        partition->probing++;
        return true;
    }
    machine->probe = false;
    wanted_commands(partition, machine, now, commands);
    machine->direct_busy = commands->len > 0;
    return machine->direct_busy;
}

machine_t *partition_direct_take(partition_t *partition, msec_t now, GArray *commands)
{
    for (GList *at = partition->wanted->head, *next; at; at = next) {
        machine_t *machine = at->data;
        bool probe = machine->probe && !machine->reported;
        next = at->next;
        if (machine->direct_busy || (probe && partition->probing >= SENDERS / 2) ||
            (!probe && !partition_is_reached(partition, machine, now)))
            continue;
        g_queue_delete_link(partition->wanted, at);
        machine->direct_wanted = false;
        if (take_direct(partition, machine, now, commands))
            return machine;
    }
    return NULL;
}

void partition_direct_done(partition_t *partition, const char *id, const GArray *commands,
                           uint64_t token, direct_result_t result)
{
    machine_t *machine = g_hash_table_lookup(partition->machines, id);
    partition->probing -= commands->len == 0;
    if (!machine)
        return;
    machine->direct_busy = false;
    machine->probe = false;
    machine->doubtful = result == DIRECT_UNANSWERED || result == DIRECT_NOT_SENT;
    for (guint i = 0; result == DIRECT_UNANSWERED && i < commands->len; i++)
        if (g_array_index(commands, worker_command_t, i).op == COMMAND_RUN)
            machine->unanswered_token = MAX(machine->unanswered_token, token);
}

bool partition_wants_token(const partition_t *partition)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const machine_t *machine = value;
        if (machine->unanswered_token >= partition->view && machine->reported)
            return true;
    }
    return false;
}
