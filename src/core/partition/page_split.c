#include "core/partition/page_split_internal.h"
#include "core/partition/partition_internal.h"

static guint count_attempts(const page_t *page)
{
    guint total = 0;
    for (guint i = 0; i < page->machines->len; i++)
        total += page_machine(page, i)->attempts->len;
    return total;
}

static guint count_busy_machines(const page_t *page)
{
    guint busy = 0;
    for (guint i = 0; i < page->machines->len; i++)
        busy += page_machine(page, i)->attempts->len > 0;
    return busy;
}

static void mark_machines_filling_page(const page_t *page)
{
    for (guint i = 0; i < page->machines->len; i++) {
        machine_t *machine = page_machine(page, i);
        machine->fills_page = machine->attempts->len > 0;
    }
}

static page_t *add_page(shard_t *shard)
{
    guint number = 0;
    while (shard_find_page(shard, number))
        number++;
    return shard_ensure_page(shard, number);
}

/* Moves machines to the sibling, starting with the last, until half of the attempts have moved. At
 * least one machine with attempts stays. */
static void move_half_of_attempts(page_t *page, page_t *sibling)
{
    guint total = count_attempts(page);
    guint moved = 0;
    for (guint i = page->machines->len; i-- > 0 && 2 * moved < total;) {
        machine_t *machine = page_machine(page, i);
        if (moved > 0 && moved + machine->attempts->len >= total)
            break;
        moved += machine->attempts->len;
        machine->page = sibling;
        g_ptr_array_remove_index(page->machines, i);
        g_ptr_array_add(sibling->machines, machine);
    }
}

/* Both records are written in one transaction, so that each machine is recorded under exactly one
 * key at all times. Without the split, a shard whose record is close to the value limit would
 * reject starts as long as the fleet stays that large. */
void partition_split_page(partition_t *partition, page_t *page)
{
    page->is_full = false;
    guint busy = count_busy_machines(page);
    if (busy == 1)
        mark_machines_filling_page(page);
    if (busy < 2)
        return;
    page_t *sibling = add_page(g_hash_table_lookup(partition->shards, page->shard));
    move_half_of_attempts(page, sibling);
    page->split_sibling = sibling;
    sibling->split_sibling = page;
}
