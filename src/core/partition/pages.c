#include "core/partition/page_internal.h"
#include "core/partition/partition_internal.h"

static void page_free(gpointer data)
{
    page_t *page = data;
    g_ptr_array_unref(page->machines);
    g_free(page);
}

static void shard_free(gpointer data)
{
    shard_t *shard = data;
    g_ptr_array_unref(shard->pages);
    g_free(shard);
}

GHashTable *shards_new(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, shard_free);
}

shard_t *partition_ensure_shard(partition_t *partition, const char *name)
{
    shard_t *shard = g_hash_table_lookup(partition->shards, name);
    if (shard)
        return shard;
    shard = g_new0(shard_t, 1);
    g_strlcpy(shard->name, name, sizeof shard->name);
    shard->pages = g_ptr_array_new_with_free_func(page_free);
    g_hash_table_insert(partition->shards, shard->name, shard);
    return shard;
}

page_t *shard_find_page(const shard_t *shard, guint number)
{
    for (guint i = 0; shard && i < shard->pages->len; i++) {
        page_t *page = shard_page(shard, i);
        if (page->number == number)
            return page;
    }
    return NULL;
}

page_t *shard_ensure_page(shard_t *shard, guint number)
{
    page_t *page = shard_find_page(shard, number);
    if (page)
        return page;
    page = g_new0(page_t, 1);
    g_strlcpy(page->shard, shard->name, sizeof page->shard);
    page->number = number;
    page->machines = g_ptr_array_new();
    g_ptr_array_add(shard->pages, page);
    return page;
}

page_t *shard_smallest_page(shard_t *shard)
{
    page_t *smallest = shard_ensure_page(shard, 0);
    for (guint i = 0; i < shard->pages->len; i++) {
        page_t *page = shard_page(shard, i);
        if (page->machines->len < smallest->machines->len)
            smallest = page;
    }
    return smallest;
}

void partition_request_page_flush(partition_t *partition, page_t *page)
{
    if (!page->flush_order)
        page->flush_order = ++partition->last_flush_order;
    partition->change_count++;
}
