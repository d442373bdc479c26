#include "core/partition/page_record.h"

static void machine_record_clear(gpointer data)
{
    machine_record_t *record = data;
    g_array_unref(record->entries);
}

GArray *machine_records_new(void)
{
    GArray *records = g_array_new(FALSE, FALSE, sizeof(machine_record_t));
    g_array_set_clear_func(records, machine_record_clear);
    return records;
}
