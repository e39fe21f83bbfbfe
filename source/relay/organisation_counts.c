#include "relay/organisation_counts.h"

#include <string.h>

/* Organisations that are counted apart; further ones are counted together. */
#define COUNTED_MAX 4096

struct organisation_counts {
	GHashTable *by_name; /* name to row_t */
	uint64_t others;
};

typedef struct row {
	char name[DFF_NAME_MAX];
	uint64_t requests;
} row_t;

organisation_counts_t *
organisation_counts_new(void)
{
	organisation_counts_t *counts = g_new0(organisation_counts_t, 1);

	counts->by_name =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	return counts;
}

void
organisation_counts_drop(organisation_counts_t *counts)
{
	g_hash_table_unref(counts->by_name);
	g_free(counts);
}

void
organisation_counts_note(organisation_counts_t *counts, const char *name)
{
	row_t *row;

	if (*name == '\0')
		return;
	row = g_hash_table_lookup(counts->by_name, name);
	if (row == NULL) {
		if (g_hash_table_size(counts->by_name) >= COUNTED_MAX) {
			counts->others++;
			return;
		}
		row = g_new0(row_t, 1);
		g_strlcpy(row->name, name, sizeof(row->name));
		g_hash_table_insert(counts->by_name, row->name, row);
	}
	row->requests++;
}

/* Most requests first. */
static gint
compare(gconstpointer one, gconstpointer two)
{
	const row_t *a = *(const row_t *const *)one;
	const row_t *b = *(const row_t *const *)two;

	if (a->requests != b->requests)
		return a->requests > b->requests ? -1 : 1;
	return strcmp(a->name, b->name);
}

static void
write_row(GString *text, const char *name, uint64_t requests)
{
	char *escaped = g_strescape(name, NULL);

	g_string_append_printf(text,
	    "dff_relay_organisation_requests_total{organisation=\"%s\"} "
	    "%" G_GUINT64_FORMAT "\n",
	    escaped, (guint64)requests);
	g_free(escaped);
}

void
organisation_counts_write(const organisation_counts_t *counts, GString *text)
{
	GPtrArray *rows = g_ptr_array_new();
	uint64_t others = counts->others;
	GHashTableIter iter;
	gpointer row;

	g_hash_table_iter_init(&iter, counts->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &row))
		g_ptr_array_add(rows, row);
	g_ptr_array_sort(rows, compare);
	for (guint i = 0; i < rows->len; i++) {
		const row_t *next = rows->pdata[i];

		if (i < ORGANISATIONS_NAMED)
			write_row(text, next->name, next->requests);
		else
			others += next->requests;
	}
	g_ptr_array_unref(rows);
	g_string_append_printf(text,
	    "dff_relay_organisation_requests_other_total %" G_GUINT64_FORMAT
	    "\n",
	    (guint64)others);
}
