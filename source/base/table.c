#include "dragonflyfall/table.h"

#include <string.h>

#include <glib.h>

/* Rows per block; blocks never move, so row addresses are stable. */
#define BLOCK_ROWS 64

typedef struct slot {
	uint32_t generation; /* odd while the row is in use */
	uint32_t next_free; /* index + 1, or 0 */
} slot_t;

struct dff_table {
	size_t row_size;
	GPtrArray *blocks;
	GArray *slots;
	uint32_t first_free; /* index + 1, or 0 */
	size_t count;
};

dff_table_t *
dff_table_new(size_t row_size)
{
	dff_table_t *table;

	table = g_new0(dff_table_t, 1);
	table->row_size = row_size;
	table->blocks = g_ptr_array_new_with_free_func(g_free);
	table->slots = g_array_new(FALSE, TRUE, sizeof(slot_t));
	return table;
}

void
dff_table_drop(dff_table_t *table)
{
	if (table == NULL)
		return;
	g_ptr_array_unref(table->blocks);
	g_array_unref(table->slots);
	g_free(table);
}

static slot_t *
slot_at(const dff_table_t *table, uint32_t index)
{
	return &g_array_index(table->slots, slot_t, index);
}

static void *
row_at(const dff_table_t *table, uint32_t index)
{
	char *block;

	block = g_ptr_array_index(table->blocks, index / BLOCK_ROWS);
	return block + (index % BLOCK_ROWS) * table->row_size;
}

static dff_handle_t
handle_of(const dff_table_t *table, uint32_t index)
{
	return (uint64_t)slot_at(table, index)->generation << 32 | index;
}

static uint32_t
grow(dff_table_t *table)
{
	slot_t slot = {0};
	uint32_t index;

	index = table->slots->len;
	if (index % BLOCK_ROWS == 0)
		g_ptr_array_add(
		    table->blocks, g_malloc(BLOCK_ROWS * table->row_size));
	g_array_append_val(table->slots, slot);
	return index;
}

void *
dff_table_take(dff_table_t *table, dff_handle_t *handle)
{
	uint32_t index;
	slot_t *slot;
	void *row;

	if (table->first_free != 0) {
		index = table->first_free - 1;
		table->first_free = slot_at(table, index)->next_free;
	} else {
		index = grow(table);
	}
	slot = slot_at(table, index);
	slot->generation++;
	slot->next_free = 0;
	table->count++;
	row = row_at(table, index);
	memset(row, 0, table->row_size);
	*handle = handle_of(table, index);
	return row;
}

static slot_t *
slot_of(const dff_table_t *table, dff_handle_t handle)
{
	uint32_t index = (uint32_t)handle;
	slot_t *slot;

	if (index >= table->slots->len)
		return NULL;
	slot = slot_at(table, index);
	if (slot->generation != handle >> 32 || slot->generation % 2 == 0)
		return NULL;
	return slot;
}

void *
dff_table_get(const dff_table_t *table, dff_handle_t handle)
{
	if (slot_of(table, handle) == NULL)
		return NULL;
	return row_at(table, (uint32_t)handle);
}

void
dff_table_give(dff_table_t *table, dff_handle_t handle)
{
	slot_t *slot;

	slot = slot_of(table, handle);
	if (slot == NULL)
		return;
	slot->generation++;
	slot->next_free = table->first_free;
	table->first_free = (uint32_t)handle + 1;
	table->count--;
}

size_t
dff_table_count(const dff_table_t *table)
{
	return table->count;
}

dff_handle_t
dff_table_next(const dff_table_t *table, dff_handle_t handle, void **row)
{
	uint32_t index;

	index = handle == 0 ? 0 : (uint32_t)handle + 1;
	for (; index < table->slots->len; index++) {
		if (slot_at(table, index)->generation % 2 == 0)
			continue;
		if (row != NULL)
			*row = row_at(table, index);
		return handle_of(table, index);
	}
	return 0;
}
