#include "core/leader.h"

#include <math.h>
#include <string.h>

static bool bit_get(const uint8_t *bits, uint32_t at)
{
    return bits[at / 8] >> (at % 8) & 1;
}

static void bit_set(uint8_t *bits, uint32_t at, bool value)
{
    if (value)
        bits[at / 8] |= (uint8_t)(1u << (at % 8));
    else
        bits[at / 8] &= (uint8_t) ~(1u << (at % 8));
}

static void job_free(gpointer data)
{
    job_t *job = data;
    job_spec_clear(&job->spec);
    g_free(job->done);
    g_free(job->live);
    g_array_unref(job->chunk_stamps);
    g_array_unref(job->unsettled);
    if (job->settling)
        g_array_unref(job->settling);
    g_hash_table_unref(job->zone_live);
    g_free(job);
}

static void rows_free(gpointer data)
{
    if (data)
        g_array_unref(data);
}

leader_t *leader_new(const GArray *teams, GHashTable *targets, const policy_t *policy, guint parts)
{
    leader_t *leader = g_new0(leader_t, 1);
    leader->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
    leader->live = g_hash_table_new_full(task_ref_hash, task_ref_equal, NULL, g_free);
    leader->teams = g_array_new(FALSE, TRUE, sizeof(team_state_t));
    for (guint i = 0; i < teams->len; i++) {
        team_state_t state = {.team = g_array_index(teams, team_t, i)};
        g_array_append_val(leader->teams, state);
    }
    leader->targets = targets;
    leader->policy = policy;
    leader->suspects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    leader->holds = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    const double once = 1;
    leader->once = g_array_new(FALSE, FALSE, sizeof(double));
    g_array_append_val(leader->once, once);
    leader->rows = g_ptr_array_new_with_free_func(rows_free);
    g_ptr_array_set_size(leader->rows, (gint)parts);
    leader->yields = g_ptr_array_new_with_free_func(rows_free);
    g_ptr_array_set_size(leader->yields, (gint)parts);
    return leader;
}

void leader_free(leader_t *leader)
{
    g_hash_table_unref(leader->jobs);
    g_hash_table_unref(leader->live);
    g_array_unref(leader->teams);
    g_ptr_array_unref(leader->rows);
    g_ptr_array_unref(leader->yields);
    g_array_unref(leader->once);
    g_hash_table_unref(leader->suspects);
    g_hash_table_unref(leader->holds);
    g_free(leader);
}

void leader_set_view(leader_t *leader, uint64_t view)
{
    leader->view = view;
    leader->count = 0;
}

static team_state_t *team_find(const leader_t *leader, const char *name, guint *at)
{
    for (guint i = 0; i < leader->teams->len; i++) {
        team_state_t *state = &g_array_index(leader->teams, team_state_t, i);
        if (strcmp(state->team.name, name) == 0) {
            if (at)
                *at = i;
            return state;
        }
    }
    return NULL;
}

static gsize bits_bytes(uint32_t tasks)
{
    return (tasks + 7) / 8;
}

static guint chunk_count(uint32_t tasks)
{
    return (tasks + CHUNK_BITS - 1) / CHUNK_BITS;
}

void leader_add_job(leader_t *leader, const job_spec_t *spec, uint64_t stamp)
{
    if (g_hash_table_contains(leader->jobs, spec->id))
        return;
    job_t *job = g_new0(job_t, 1);
    job->spec = *spec;
    job->spec.types = g_strdupv(spec->types);
    job->spec.spot = spec->spot && knob_for_job(leader->policy, KNOB_USE_SPOT, spec) != 0;
    job->stamp = stamp;
    job->done = g_malloc0(bits_bytes(spec->tasks));
    job->live = g_malloc0(bits_bytes(spec->tasks));
    job->chunk_stamps = g_array_new(FALSE, TRUE, sizeof(uint64_t));
    g_array_set_size(job->chunk_stamps, chunk_count(spec->tasks));
    job->unsettled = g_array_new(FALSE, FALSE, sizeof(settle_t));
    job->zone_live = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_hash_table_insert(leader->jobs, job->spec.id, job);
}

void leader_load_chunk(leader_t *leader, const char *id, guint chunk, const uint8_t *bits,
                       gsize bytes, uint64_t stamp)
{
    job_t *job = g_hash_table_lookup(leader->jobs, id);
    if (!job || chunk >= job->chunk_stamps->len)
        return;
    g_array_index(job->chunk_stamps, uint64_t, chunk) = stamp;
    uint32_t first = chunk * CHUNK_BITS;
    for (uint32_t i = 0; i < CHUNK_BITS && first + i < job->spec.tasks && i / 8 < bytes; i++) {
        if (!bit_get(bits, i) || bit_get(job->done, first + i))
            continue;
        bit_set(job->done, first + i, true);
        job->n_done++;
    }
}

static void zone_count(job_t *job, const char *zone, int change)
{
    if (!zone[0])
        return;
    int count = GPOINTER_TO_INT(g_hash_table_lookup(job->zone_live, zone)) + change;
    g_hash_table_insert(job->zone_live, g_strdup(zone), GINT_TO_POINTER(count));
}

static void live_add(leader_t *leader, task_ref_t ref, const char *team, room_t need,
                     const char *zone, guint part)
{
    live_t *live = g_new0(live_t, 1);
    live->ref = ref;
    g_strlcpy(live->zone, zone, sizeof live->zone);
    live->need = need;
    live->part = part;
    team_state_t *state = team_find(leader, team, &live->team);
    if (state) {
        state->cpus += need.cpus;
        state->gpus += need.gpus;
    } else {
        live->team = G_MAXUINT; /* the team left the settings; its work still ends normally */
    }
    g_hash_table_insert(leader->live, &live->ref, live);
    job_t *job = g_hash_table_lookup(leader->jobs, ref.job);
    if (job && ref.task < job->spec.tasks && !bit_get(job->live, ref.task)) {
        bit_set(job->live, ref.task, true);
        job->n_live++;
    }
    if (job)
        zone_count(job, zone, 1);
}

/* Takes an attempt off what is out. Returns its job if that is live. */
static job_t *live_drop(leader_t *leader, const task_ref_t *ref)
{
    live_t *live = g_hash_table_lookup(leader->live, ref);
    if (!live || live->ref.attempt != ref->attempt)
        return NULL;
    if (live->team < leader->teams->len) {
        team_state_t *state = &g_array_index(leader->teams, team_state_t, live->team);
        state->cpus -= live->need.cpus;
        state->gpus -= live->need.gpus;
    }
    job_t *job = g_hash_table_lookup(leader->jobs, live->ref.job);
    if (job)
        zone_count(job, live->zone, -1);
    g_hash_table_remove(leader->live, ref);
    if (!job || ref->task >= job->spec.tasks)
        return NULL;
    if (bit_get(job->live, ref->task)) {
        bit_set(job->live, ref->task, false);
        job->n_live--;
    }
    return job;
}

void leader_load_attempt(leader_t *leader, const record_entry_t *entry, const char *zone,
                         guint part)
{
    live_add(leader, task_ref(entry->job, entry->task, entry->attempt), entry->team, entry->need,
             zone, part);
}

void leader_end_job(leader_t *leader, const char *id)
{
    g_hash_table_remove(leader->jobs, id);
}

void leader_set_rows(leader_t *leader, guint part, GArray *rows)
{
    rows_free(g_ptr_array_index(leader->rows, part));
    g_ptr_array_index(leader->rows, part) = rows;
}

static uint32_t job_pending(const job_t *job)
{
    uint32_t out = job->n_done + job->n_live;
    return out < job->spec.tasks ? job->spec.tasks - out : 0;
}

/* A job in its team's queue. */
typedef struct {
    job_t *job;
    uint32_t owed; /* tasks out that it must get for its long wait, whatever goes first; 0: a job's
                      ordinary place */
    double work;   /* cpu seconds not yet out */
    double start;  /* latest start for the next target, time of day in ms; infinite: none left */
} queued_t;

static void next_target(const GArray *list, double unit_ms, double ready_ms, queued_t *queued)
{
    for (guint i = 0; list && i < list->len; i++) {
        double due =
            (double)queued->job->spec.submitted_ms + g_array_index(list, double, i) * unit_ms;
        if (due >= ready_ms) {
            queued->start = MIN(queued->start, due - queued->job->spec.estimate_s * 1000.0);
            return;
        }
    }
}

/* Whatever the order, it must not starve anyone: under a lasting overload large jobs, low ones and
 * those past their targets would wait for ever. One that has waited long gets its first task begun,
 * and later a small part of its tasks at a time. */
static uint32_t owed_tasks(const job_t *job, int64_t day_ms)
{
    int64_t age = day_ms - job->spec.submitted_ms;
    if (age < AGED_MS || (age < AGED_MORE_MS && job->n_done > 0))
        return 0;
    return age < AGED_MORE_MS ? 1 : 1 + job->spec.tasks / AGED_PART;
}

static queued_t queue_entry(const leader_t *leader, job_t *job, int64_t day_ms)
{
    const job_spec_t *spec = &job->spec;
    queued_t queued = {.job = job, .start = INFINITY};
    queued.work = job_pending(job) * spec->need.cpus * MAX(spec->estimate_s, 1);
    const targets_t *targets = g_hash_table_lookup(leader->targets, spec->class_name);
    double ready = (double)day_ms + spec->estimate_s * 1000.0;
    if (spec->deadline_s > 0 && targets && targets->times->len)
        next_target(targets->times, spec->deadline_s * 1000.0, ready, &queued);
    else if (spec->deadline_s > 0)
        next_target(leader->once, spec->deadline_s * 1000.0, ready, &queued);
    if (targets)
        next_target(targets->within, 1000.0, ready, &queued);
    return queued;
}

/* Urgent work, then what has waited too long; by priority; then what can still keep a target; then
 * the least work left, which keeps most targets where not all can be kept; then by the latest start
 * that keeps the next one; then by age. */
static gint compare_queued(gconstpointer left, gconstpointer right)
{
    const queued_t *a = left, *b = right;
    bool urgent_a = a->job->spec.urgency >= URGENCY_HIGH;
    bool urgent_b = b->job->spec.urgency >= URGENCY_HIGH;
    if (urgent_a != urgent_b)
        return urgent_a ? -1 : 1;
    if (!a->owed != !b->owed)
        return a->owed ? -1 : 1;
    if (a->job->spec.urgency != b->job->spec.urgency)
        return a->job->spec.urgency > b->job->spec.urgency ? -1 : 1;
    if (isinf(a->start) != isinf(b->start))
        return isinf(b->start) ? -1 : 1;
    if (a->work != b->work)
        return a->work < b->work ? -1 : 1;
    if (a->start != b->start)
        return a->start < b->start ? -1 : 1;
    if (a->job->spec.submitted_ms != b->job->spec.submitted_ms)
        return a->job->spec.submitted_ms < b->job->spec.submitted_ms ? -1 : 1;
    return strcmp(a->job->spec.id, b->job->spec.id);
}

/* A job that fails wherever it runs must not fill the parts with its attempts (a soft place of the
 * design): after repeated failures it gets one attempt at a time, ever more rarely. */
static bool job_held(const job_t *job, msec_t now)
{
    if (job->ending || now < job->retry_at)
        return true;
    return job->errors >= JOB_ERRORS_ALARM && job->n_live > 0;
}

static bool next_task(job_t *job, uint32_t *task)
{
    for (uint32_t at = job->cursor; at < job->spec.tasks; at++) {
        if (bit_get(job->done, at) || bit_get(job->live, at)) {
            if (at == job->cursor)
                job->cursor++;
            continue;
        }
        *task = at;
        return true;
    }
    return false;
}

static bool team_admits(const team_state_t *state, room_t need)
{
    const team_t *team = &state->team;
    if (team->cpus_max > 0 && state->cpus + need.cpus > team->cpus_max + EPSILON)
        return false;
    return team->gpus_max <= 0 || state->gpus + need.gpus <= team->gpus_max + EPSILON;
}

static bool row_admits(const machine_row_t *row, const job_spec_t *spec, const char *zone)
{
    return row->open && (int)spec->urgency >= row->held &&
           (!zone[0] || strcmp(zone, row->zone) == 0) &&
           job_spec_allows(spec, row->type, row->zone, row->spot) &&
           room_fits(spec->need, row->free);
}

/* Whether the job's other tasks let one more stand in the zone. */
static bool zone_open(const job_t *job, const char *zone)
{
    GHashTableIter iter;
    gpointer key, value;
    if (job->spec.same_zone) {
        g_hash_table_iter_init(&iter, job->zone_live);
        while (g_hash_table_iter_next(&iter, &key, &value))
            if (GPOINTER_TO_INT(value) > 0 && strcmp(key, zone) != 0)
                return false;
    }
    if (job->spec.spread) {
        int count = GPOINTER_TO_INT(g_hash_table_lookup(job->zone_live, zone));
        return count + 1 <= (int)((job->spec.tasks + 1) / 2);
    }
    return true;
}

/* The part with most free room on machines that take the task, and the row it would book. */
static machine_row_t *choose_row(const leader_t *leader, const job_t *job, guint *part)
{
    bool zoned = job->spec.same_zone || job->spec.spread;
    machine_row_t *chosen = NULL;
    double most = -1;
    for (guint i = 0; i < leader->rows->len; i++) {
        GArray *rows = g_ptr_array_index(leader->rows, i);
        double room = 0, lowest = INFINITY;
        machine_row_t *best = NULL;
        for (guint k = 0; rows && k < rows->len; k++) {
            machine_row_t *row = &g_array_index(rows, machine_row_t, k);
            if (!row_admits(row, &job->spec, "") || (zoned && !zone_open(job, row->zone)))
                continue;
            room += row->free.cpus;
            double pressure = MAX(
                1 - (row->free.cpus - job->spec.need.cpus) / MAX(row->total.cpus, EPSILON),
                1 - (row->free.memory - job->spec.need.memory) / MAX(row->total.memory, EPSILON));
            if (pressure < lowest) {
                lowest = pressure;
                best = row;
            }
        }
        if (best && room > most) {
            most = room;
            chosen = best;
            *part = i;
        }
    }
    return chosen;
}

void leader_set_yielding(leader_t *leader, guint part, GArray *cpus)
{
    rows_free(g_ptr_array_index(leader->yields, part));
    g_ptr_array_index(leader->yields, part) = cpus;
    for (guint team = 0; team < leader->teams->len; team++) {
        double sum = 0;
        for (guint i = 0; i < leader->yields->len; i++) {
            const GArray *list = g_ptr_array_index(leader->yields, i);
            sum += list && team < list->len ? g_array_index(list, double, team) : 0;
        }
        g_array_index(leader->teams, team_state_t, team).yielding = sum;
    }
}

/* Whose work may be stopped for this team's: that of teams beyond their own guarantee. */
static uint64_t borrowers(const leader_t *leader, const team_state_t *state)
{
    uint64_t mask = 0;
    for (guint i = 0; i < leader->teams->len && i < 64; i++) {
        const team_state_t *other = &g_array_index(leader->teams, team_state_t, i);
        if (other != state && other->cpus - other->yielding > other->team.cpus + EPSILON)
            mask |= 1ULL << i;
    }
    return mask;
}

/* Where no room is free: the part may stop what the protocol lets it stop, if that is little. */
static bool may_preempt(leader_t *leader, const team_state_t *state, const job_t *job,
                        offer_t *offer)
{
    if (leader->preempting >= knob_value(leader->policy, KNOB_PREEMPTIONS_PER_ROUND) ||
        job->spec.same_zone || job->spec.spread || job->spec.kind == KIND_GANG)
        return false;
    offer->victims = borrowers(leader, state);
    offer->claim = state->cpus + job->spec.need.cpus <= state->team.cpus + EPSILON;
    /* Measured: stopping low work for every normal task threw away more than it brought forward. */
    bool wanted = knob_for_job(leader->policy, KNOB_PREEMPT, &job->spec) != 0;
    offer->preempt = wanted || (offer->claim && offer->victims);
    leader->preempting += offer->preempt;
    return offer->preempt;
}

/* The part with most room that the job may use, whoever has it now; G_MAXUINT: none has any, and an
 * offer would only come back. */
static guint largest_part(const leader_t *leader, const job_spec_t *spec)
{
    guint largest = G_MAXUINT;
    double most = 0;
    for (guint i = 0; i < leader->rows->len; i++) {
        const GArray *rows = g_ptr_array_index(leader->rows, i);
        double room = 0;
        for (guint k = 0; rows && k < rows->len; k++) {
            const machine_row_t *row = &g_array_index(rows, machine_row_t, k);
            if (row->open && job_spec_allows(spec, row->type, row->zone, row->spot))
                room += row->total.cpus;
        }
        if (room > most) {
            most = room;
            largest = i;
        }
    }
    return largest;
}

/* What a machine has free while it is held is kept from work that fits: not for ever. */
static bool is_held_enough(const leader_t *leader, const char *machine, msec_t now)
{
    const hold_t *hold = g_hash_table_lookup(leader->holds, machine);
    return hold && now - hold->last < HOLD_REST_MS && hold->last - hold->since > HOLD_MOST_MS;
}

static void note_hold(leader_t *leader, const char *machine, msec_t now)
{
    hold_t *hold = g_hash_table_lookup(leader->holds, machine);
    if (!hold) {
        hold = g_new0(hold_t, 1);
        hold->last = now - HOLD_REST_MS;
        g_hash_table_insert(leader->holds, g_strdup(machine), hold);
    }
    if (now - hold->last >= HOLD_REST_MS)
        hold->since = now;
    hold->last = now;
}

/* Room is freed a small task at a time, and small tasks of lower urgency would take it each time:
 * a large one would wait for ever, though it goes first. So machines that lack least for it are
 * held until it fits; once it has, the next of its kind fits when it ends. */
static bool hold_row(leader_t *leader, const job_t *job, urgency_t below, msec_t now)
{
    const job_spec_t *spec = &job->spec;
    machine_row_t *chosen = NULL;
    double least = INFINITY;
    guint count = 0, held = 0;
    for (guint i = 0; i < leader->rows->len; i++) {
        GArray *rows = g_ptr_array_index(leader->rows, i);
        for (guint k = 0; rows && k < rows->len; k++) {
            machine_row_t *row = &g_array_index(rows, machine_row_t, k);
            count++;
            held += row->held > URGENCY_LOW;
            double lack = spec->need.cpus - row->free.cpus;
            if (row->held > URGENCY_LOW || !row->open || lack >= least ||
                is_held_enough(leader, row->machine, now) || !room_fits(spec->need, row->total) ||
                !job_spec_allows(spec, row->type, row->zone, row->spot) ||
                (spec->zone[0] && strcmp(spec->zone, row->zone) != 0))
                continue;
            chosen = row;
            least = lack;
        }
    }
    bool holds = chosen && held < MAX(1, count / HELD_PART);
    if (holds) {
        chosen->held = (int)below;
        note_hold(leader, chosen->machine, now);
    }
    return holds;
}

static void hold_rows(leader_t *leader, const team_state_t *state, const queued_t *queued,
                      msec_t now)
{
    const job_t *job = queued->job;
    urgency_t below = queued->owed ? MAX(URGENCY_HIGH, job->spec.urgency) : job->spec.urgency;
    guint wanted = queued->owed ? queued->owed - job->n_live : MIN(job_pending(job), HELD_A_JOB);
    if (!team_admits(state, job->spec.need))
        return;
    while (below > URGENCY_LOW && wanted > 0 && hold_row(leader, job, below, now))
        wanted--;
}

static void release_rows(leader_t *leader)
{
    for (guint i = 0; i < leader->rows->len; i++) {
        GArray *rows = g_ptr_array_index(leader->rows, i);
        for (guint k = 0; rows && k < rows->len; k++)
            g_array_index(rows, machine_row_t, k).held = URGENCY_LOW;
    }
}

/* One task, under the attempt number that the count stands at. */
static bool offer_task(leader_t *leader, team_state_t *state, job_t *job, GArray *offers)
{
    uint32_t task;
    guint part = 0;
    if (!team_admits(state, job->spec.need) || !next_task(job, &task))
        return false;
    machine_row_t *row = choose_row(leader, job, &part);
    leader_offer_t made = {0};
    offer_t *offer = &made.offer;
    if (row)
        room_add(&row->free, job->spec.need, -1);
    else if (!may_preempt(leader, state, job, offer) ||
             (part = largest_part(leader, &job->spec)) == G_MAXUINT)
        return false;
    made.part = part;
    g_strlcpy(offer->job, job->spec.id, sizeof offer->job);
    g_strlcpy(offer->team, job->spec.team, sizeof offer->team);
    g_strlcpy(offer->image, job->spec.image, sizeof offer->image);
    /* Where the job's tasks bind each other, the zone is settled here and now, so that two parts
     * can't decide differently; else the machine is the part's choice. */
    if (job->spec.same_zone || job->spec.spread)
        g_strlcpy(offer->zone, row->zone, sizeof offer->zone);
    else
        g_strlcpy(offer->zone, job->spec.zone, sizeof offer->zone);
    offer->types = job->spec.types;
    offer->need = job->spec.need;
    offer->spot = job->spec.spot; /* as the operators' settings left it */
    offer->gang = job->spec.kind == KIND_GANG;
    offer->urgency = job->spec.urgency;
    offer->save_s = job->spec.save_s;
    offer->checkpoint_s = job->spec.checkpoint_s;
    offer->job_stamp = job->stamp;
    offer->task = task;
    offer->attempt = (leader->view << ATTEMPT_SHIFT) + leader->count;
    live_add(leader, task_ref(job->spec.id, task, offer->attempt), job->spec.team, job->spec.need,
             offer->zone, part);
    g_array_append_val(offers, made);
    return true;
}

static bool offer_one(leader_t *leader, team_state_t *state, job_t *job, GArray *offers)
{
    leader->count++;
    return offer_task(leader, state, job, offers);
}

/* A gang starts whole or not at all: what was offered of it is taken back when one task finds no
 * room. The rows are few, so their state is kept by a copy. */
static bool offer_gang(leader_t *leader, team_state_t *state, job_t *job, GArray *offers)
{
    guint first = offers->len;
    uint32_t wanted = job_pending(job);
    if (wanted == 0)
        return false; /* else this job would be served for ever */
    GPtrArray *saved = g_ptr_array_new();
    for (guint i = 0; i < leader->rows->len; i++) {
        GArray *rows = g_ptr_array_index(leader->rows, i);
        g_ptr_array_add(saved, rows ? g_array_copy(rows) : NULL);
    }
    leader->count++;
    for (uint32_t i = 0; i < wanted; i++)
        if (!offer_task(leader, state, job, offers))
            break;
    bool whole = offers->len - first == wanted;
    while (!whole && offers->len > first) {
        const offer_t *offer = &g_array_index(offers, leader_offer_t, offers->len - 1).offer;
        task_ref_t ref = task_ref(offer->job, offer->task, offer->attempt);
        live_drop(leader, &ref);
        job->cursor = 0;
        g_array_set_size(offers, offers->len - 1);
    }
    for (guint i = 0; i < saved->len; i++) {
        if (whole)
            rows_free(g_ptr_array_index(saved, i));
        else
            leader_set_rows(leader, i, g_ptr_array_index(saved, i));
    }
    g_ptr_array_unref(saved);
    return whole;
}

static GArray *team_queue(leader_t *leader, guint team, msec_t now, int64_t day_ms)
{
    const char *name = g_array_index(leader->teams, team_state_t, team).team.name;
    GArray *queue = g_array_new(FALSE, FALSE, sizeof(queued_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, leader->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        job_t *job = value;
        if (!job_pending(job) || job_held(job, now) || strcmp(job->spec.team, name) != 0)
            continue;
        queued_t queued = queue_entry(leader, job, day_ms);
        g_array_append_val(queue, queued);
        queued.owed = owed_tasks(job, day_ms);
        if (job->n_live < queued.owed)
            g_array_append_val(queue, queued);
    }
    g_array_sort(queue, compare_queued);
    return queue;
}

static double task_cost(const queued_t *queued)
{
    return MAX(queued->job->spec.need.cpus, EPSILON);
}

/* Serves one team's turn: from `at` on, until its allowance is spent. */
static void serve_turn(leader_t *leader, team_state_t *state, GArray *queue, guint *at,
                       double allowance, GArray *offers, guint most, msec_t now)
{
    double spent = 0;
    while (*at < queue->len && offers->len < most) {
        const queued_t *queued = &g_array_index(queue, queued_t, *at);
        job_t *job = queued->job;
        double cost = task_cost(queued);
        if (spent + cost > allowance + EPSILON)
            break;
        bool gang = job->spec.kind == KIND_GANG;
        if (queued->owed && job->n_live >= queued->owed) {
            (*at)++;
        } else if (job_held(job, G_MAXINT64 - 1) ||
                   !(gang ? offer_gang : offer_one)(leader, state, job, offers)) {
            hold_rows(leader, state, queued, now);
            (*at)++; /* nothing more of this job for now */
        } else {
            spent += cost;
        }
    }
}

/* Whose turn it is, of those with work left from `at` on: a share is one of the room held, not of
 * starts: tasks of five minutes beside others of twenty seconds took nearly all of it by equal
 * starts.
 */
static guint poorest_team(const leader_t *leader, const GPtrArray *queues, const guint *at)
{
    guint teams = leader->teams->len, poorest = teams;
    double least = INFINITY, promised = 0;
    for (guint i = 0; i < teams; i++)
        promised += g_array_index(leader->teams, team_state_t, i).team.cpus;
    for (guint i = 0; i < teams; i++) {
        const team_state_t *state = &g_array_index(leader->teams, team_state_t, i);
        double weight = MAX(MAX(state->team.cpus, promised * GUEST_SHARE), 1);
        if (at[i] >= ((const GArray *)g_ptr_array_index(queues, i))->len ||
            state->cpus / weight >= least)
            continue;
        least = state->cpus / weight;
        poorest = i;
    }
    return poorest;
}

GArray *leader_schedule(leader_t *leader, msec_t now, int64_t day_ms, guint most)
{
    GArray *offers = g_array_new(FALSE, FALSE, sizeof(leader_offer_t));
    guint teams = leader->teams->len;
    leader->preempting = 0;
    release_rows(leader);
    GPtrArray *queues = g_ptr_array_new_with_free_func((GDestroyNotify)g_array_unref);
    guint *at = g_new0(guint, MAX(teams, 1));
    for (guint i = 0; i < teams; i++)
        g_ptr_array_add(queues, team_queue(leader, i, now, day_ms));
    /* What stays within a guarantee waits for no other team. */
    for (guint i = 0; i < teams; i++) {
        team_state_t *state = &g_array_index(leader->teams, team_state_t, i);
        double left = state->team.cpus - state->cpus;
        if (left > 0)
            serve_turn(leader, state, g_ptr_array_index(queues, i), &at[i], left, offers, most,
                       now);
    }
    /* The rest goes a task at a time to the team that holds least for its weight. */
    for (guint i; offers->len < most && (i = poorest_team(leader, queues, at)) < teams;) {
        GArray *queue = g_ptr_array_index(queues, i);
        serve_turn(leader, &g_array_index(leader->teams, team_state_t, i), queue, &at[i],
                   task_cost(&g_array_index(queue, queued_t, at[i])), offers, most, now);
    }
    g_free(at);
    g_ptr_array_unref(queues);
    return offers;
}

bool leader_is_out(const leader_t *leader, const task_ref_t *ref)
{
    const live_t *live = g_hash_table_lookup(leader->live, ref);
    return live && live->ref.attempt == ref->attempt;
}

GArray *leader_out(const leader_t *leader, const char *job)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(settle_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, leader->live);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const live_t *live = value;
        settle_t entry = {.ref = live->ref, .part = live->part};
        if (strcmp(live->ref.job, job) == 0)
            g_array_append_val(out, entry);
    }
    return out;
}

static void job_failed(job_t *job, cause_t cause, msec_t now)
{
    if (cause == CAUSE_FULL || cause == CAUSE_BUSY) {
        job->retry_at = MAX(job->retry_at, now + TASK_BACKOFF_MS);
    } else if (cause == CAUSE_ERROR || cause == CAUSE_UNKNOWN) {
        job->errors++;
        if (job->errors >= JOB_ERRORS_ALARM) {
            guint doublings = MIN(job->errors - JOB_ERRORS_ALARM, 5);
            msec_t wait = MIN((msec_t)JOB_BACKOFF_MS << doublings, JOB_BACKOFF_MAX_MS);
            job->retry_at = MAX(job->retry_at, now + wait);
        }
    }
}

/* An error is mostly the machine's. One that fails at once is always the emptiest, so least-loaded
 * placement would feed it everything; but a job submitted with a mistake fails on every machine,
 * and must not condemn them all. So it takes several failures without a success between, of more
 * than one job or of a job that has finished tasks. */
static void suspect_machine(leader_t *leader, const outcome_t *outcome, const job_t *job)
{
    if (outcome->cause == CAUSE_DONE) {
        g_hash_table_remove(leader->suspects, outcome->machine);
        return;
    }
    if (outcome->cause != CAUSE_ERROR || !outcome->machine[0])
        return;
    suspect_t *suspect = g_hash_table_lookup(leader->suspects, outcome->machine);
    if (!suspect) {
        suspect = g_new0(suspect_t, 1);
        g_strlcpy(suspect->job, outcome->ref.job, sizeof suspect->job);
        g_hash_table_insert(leader->suspects, g_strdup(outcome->machine), suspect);
    }
    suspect->errors++;
    if ((job && job->n_done > 0) || strcmp(suspect->job, outcome->ref.job) != 0)
        suspect->sound = true;
}

bool leader_condemns(const leader_t *leader, const char *machine)
{
    const suspect_t *suspect = g_hash_table_lookup(leader->suspects, machine);
    return suspect && suspect->sound && suspect->errors >= MACHINE_ERRORS_ALARM;
}

void leader_outcome(leader_t *leader, guint part, const outcome_t *outcome, msec_t now)
{
    uint32_t task = outcome->ref.task;
    job_t *job = live_drop(leader, &outcome->ref);
    suspect_machine(leader, outcome, job);
    if (!job)
        return;
    if (outcome->cause == CAUSE_DONE) {
        job->errors = 0;
        if (!bit_get(job->done, task)) {
            bit_set(job->done, task, true);
            job->n_done++;
        }
        if (!job->dirty_chunks)
            job->dirty_since = now;
        job->dirty_chunks |= 1u << (task / CHUNK_BITS);
        settle_t settle = {.ref = outcome->ref, .part = part};
        g_array_append_val(job->unsettled, settle);
        return;
    }
    job->cursor = MIN(job->cursor, task);
    job_failed(job, outcome->cause, now);
}

GArray *leader_demand(const leader_t *leader, msec_t now)
{
    GArray *demand = g_array_new(FALSE, FALSE, sizeof(demand_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, leader->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        job_t *job = value;
        guint team = 0;
        const team_state_t *state = team_find(leader, job->spec.team, &team);
        uint32_t tasks = job_pending(job);
        if (!tasks || !state || job_held(job, now))
            continue;
        if (state->team.cpus_max > 0 && job->spec.need.cpus > 0) {
            double left = MAX(state->team.cpus_max - state->cpus, 0) / job->spec.need.cpus;
            tasks = MIN(tasks, (uint32_t)MIN(left, (double)PIECES_MAX));
        }
        if (job->errors >= JOB_ERRORS_ALARM)
            tasks = MIN(tasks, 1);
        demand_t entry = {.job = job, .team = team, .tasks = tasks};
        if (tasks)
            g_array_append_val(demand, entry);
    }
    return demand;
}

static void progress_clear(gpointer data)
{
    progress_t *progress = data;
    g_free(progress->bits);
    if (progress->old_stamps)
        g_array_unref(progress->old_stamps);
}

static void progress_end(job_t *job, GArray *batch, txn_room_t *room)
{
    progress_t progress = {.end = true, .done = job->n_done, .job_stamp = job->stamp};
    g_strlcpy(progress.job, job->spec.id, sizeof progress.job);
    progress.old_stamps = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_array_append_vals(progress.old_stamps, job->chunk_stamps->data, job->chunk_stamps->len);
    room->ops += 2;
    room->bytes += PROGRESS_BYTES;
    for (guint i = 0; i < job->chunk_stamps->len; i++)
        room->ops += g_array_index(job->chunk_stamps, uint64_t, i) != 0;
    job->ending = true;
    g_array_append_val(batch, progress);
}

static void progress_chunk(job_t *job, guint chunk, GArray *batch)
{
    uint32_t first = chunk * CHUNK_BITS;
    uint32_t bits = MIN((uint32_t)CHUNK_BITS, job->spec.tasks - first);
    progress_t progress = {.done = job->n_done, .chunk = chunk, .bytes = bits_bytes(bits)};
    g_strlcpy(progress.job, job->spec.id, sizeof progress.job);
    progress.job_stamp = job->stamp;
    progress.stamp = g_array_index(job->chunk_stamps, uint64_t, chunk);
    progress.bits = g_memdup2(job->done + first / 8, progress.bytes);
    g_array_append_val(batch, progress);
}

GArray *leader_progress_new(void)
{
    GArray *batch = g_array_new(FALSE, FALSE, sizeof(progress_t));
    g_array_set_clear_func(batch, progress_clear);
    return batch;
}

static void progress_taken(job_t *job)
{
    job->dirty_chunks = 0;
    job->settling = job->unsettled;
    job->unsettled = g_array_new(FALSE, FALSE, sizeof(settle_t));
}

static void take_ends(leader_t *leader, GArray *batch, txn_room_t *room)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, leader->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        job_t *job = value;
        if (job->n_done < job->spec.tasks || job->settling ||
            room->ops + 2 + job->chunk_stamps->len > room->max_ops ||
            room->bytes + PROGRESS_BYTES > room->max_bytes)
            continue;
        progress_end(job, batch, room);
        progress_taken(job);
    }
}

static gint compare_dirty(gconstpointer left, gconstpointer right)
{
    const job_t *a = *(job_t *const *)left, *b = *(job_t *const *)right;
    return a->dirty_since < b->dirty_since ? -1 : a->dirty_since > b->dirty_since;
}

/* Oldest first: with a short budget, those at the end of the table would never be. */
static void take_chunks(leader_t *leader, msec_t before, GArray *batch, txn_room_t *room)
{
    GPtrArray *due = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, leader->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        job_t *job = value;
        if (job->dirty_chunks && !job->settling && job->dirty_since <= before &&
            job->n_done < job->spec.tasks)
            g_ptr_array_add(due, job);
    }
    g_ptr_array_sort(due, compare_dirty);
    for (guint i = 0; i < due->len; i++) {
        job_t *job = g_ptr_array_index(due, i);
        guint cost = (guint)__builtin_popcount(job->dirty_chunks);
        /* The largest jobs' chunks, with full pages of records, were more than a transaction may
         * hold: it was refused as invalid, again and again. */
        gsize bytes =
            cost * (PROGRESS_BYTES + bits_bytes(MIN(job->spec.tasks, CHUNK_BITS)) * 4 / 3);
        if (room->ops + cost > room->max_ops || room->bytes + bytes > room->max_bytes)
            break;
        for (guint chunk = 0; chunk < job->chunk_stamps->len; chunk++)
            if (job->dirty_chunks >> chunk & 1)
                progress_chunk(job, chunk, batch);
        room->ops += cost;
        room->bytes += bytes;
        progress_taken(job);
    }
    g_ptr_array_unref(due);
}

/* Progress on the way is kept by the workers and their records until it is durable: it can wait and
 * go in one write. An end can't, since users wait for it. */
void leader_progress_take(leader_t *leader, msec_t now, msec_t min_age, GArray *batch,
                          txn_room_t *room)
{
    take_ends(leader, batch, room);
    take_chunks(leader, now - min_age, batch, room);
}

void leader_progress_commit(leader_t *leader, const GArray *batch, uint64_t revision,
                            GArray *settled)
{
    for (guint i = 0; i < batch->len; i++) {
        const progress_t *progress = &g_array_index(batch, progress_t, i);
        job_t *job = g_hash_table_lookup(leader->jobs, progress->job);
        if (!job)
            continue;
        if (job->settling) {
            g_array_append_vals(settled, job->settling->data, job->settling->len);
            g_array_unref(job->settling);
            job->settling = NULL;
        }
        if (progress->end)
            g_hash_table_remove(leader->jobs, progress->job);
        else
            g_array_index(job->chunk_stamps, uint64_t, progress->chunk) = revision;
    }
}

void leader_progress_undo(leader_t *leader, const GArray *batch)
{
    for (guint i = 0; i < batch->len; i++) {
        const progress_t *progress = &g_array_index(batch, progress_t, i);
        job_t *job = g_hash_table_lookup(leader->jobs, progress->job);
        if (!job)
            continue;
        job->ending = false;
        job->dirty_chunks |= progress->end ? 1u : 1u << progress->chunk;
        if (job->settling) {
            g_array_append_vals(job->unsettled, job->settling->data, job->settling->len);
            g_array_unref(job->settling);
            job->settling = NULL;
        }
    }
}
