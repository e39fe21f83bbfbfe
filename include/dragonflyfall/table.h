/*
 * Tables with 64-bit handles. A handle is an index plus a generation, so
 * that a handle kept after its row was freed is detected as stale.
 */
#ifndef DRAGONFLYFALL_TABLE_H
#define DRAGONFLYFALL_TABLE_H

#include <stddef.h>
#include <stdint.h>

/** typedef dff_handle_t - handle of a table row; 0 is never valid */
typedef uint64_t dff_handle_t;

/** typedef dff_table_t - rows of one size, zeroed when taken */
typedef struct dff_table dff_table_t;

/** dff_table_new() - make an empty table; the caller drops it */
dff_table_t *dff_table_new(size_t row_size);

/** dff_table_drop() - free the table and its rows; NULL is allowed */
void dff_table_drop(dff_table_t *table);

/**
 * dff_table_take() - take a zeroed row
 * @table: table
 * @handle: set to the row's handle
 *
 * Return: the row. It stays at its address until it is given back.
 */
void *dff_table_take(dff_table_t *table, dff_handle_t *handle);

/** dff_table_get() - the row of a handle, or NULL if it is stale */
void *dff_table_get(const dff_table_t *table, dff_handle_t handle);

/** dff_table_give() - give a row back; a stale handle is ignored */
void dff_table_give(dff_table_t *table, dff_handle_t handle);

/** dff_table_count() - number of rows in use */
size_t dff_table_count(const dff_table_t *table);

/**
 * dff_table_next() - iterate over the rows in use, by index
 * @table: table
 * @handle: 0 to begin, else the handle returned before
 * @row: set to the row; may be NULL
 *
 * Return: the next row's handle, or 0 at the end. Giving back the row
 * just returned is allowed during iteration.
 */
dff_handle_t dff_table_next(
    const dff_table_t *table, dff_handle_t handle, void **row);

#endif
