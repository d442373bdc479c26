/* Task bitmaps: a bit for each task of a job. */
#include "core/leader/leader_internal.h"

bool task_bitmap_get(const uint8_t *bits, uint32_t index)
{
    return bits[index / BITS_PER_BYTE] >> (index % BITS_PER_BYTE) & 1;
}

void task_bitmap_set(uint8_t *bits, uint32_t index, bool value)
{
    if (value)
        bits[index / BITS_PER_BYTE] |= (uint8_t)(1U << (index % BITS_PER_BYTE));
    else
        bits[index / BITS_PER_BYTE] &= (uint8_t) ~(1U << (index % BITS_PER_BYTE));
}

gsize task_bitmap_bytes(uint32_t tasks)
{
    return (tasks + BITS_PER_BYTE - 1) / BITS_PER_BYTE;
}

guint task_bitmap_chunk_count(uint32_t tasks)
{
    return (tasks + CHUNK_BITS - 1) / CHUNK_BITS;
}
