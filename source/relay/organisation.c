#include "dragonflyfall/organisation.h"

#include <string.h>

#include <glib.h>

/* Bytes of a SHA-256 digest. */
#define DIGEST_SIZE 32

/** struct key_row - a key's digest and the organisation that has it */
typedef struct key_row {
	uint8_t digest[DIGEST_SIZE];
	uint32_t index;
} key_row_t;

struct dff_organisations {
	GArray *rows; /* dff_organisation_t */
	GHashTable *keys; /* key_row_t, by its digest */
	GHashTable *names; /* name to index + 1 */
	GArray *conflicts; /* dff_key_conflict_t */
};

/* Digests are evenly distributed. */
static guint
hash_digest(gconstpointer key)
{
	guint hash;

	memcpy(&hash, key, sizeof(hash));
	return hash;
}

/* Takes the same time wherever two digests differ. */
static gboolean
digests_are_equal(gconstpointer one, gconstpointer two)
{
	const uint8_t *a = one;
	const uint8_t *b = two;
	uint8_t differing = 0;

	for (size_t i = 0; i < DIGEST_SIZE; i++)
		differing |= a[i] ^ b[i];
	return differing == 0;
}

static void
digest_key(const char *key, uint8_t *digest)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize len = DIGEST_SIZE;

	g_checksum_update(sum, (const guchar *)key, -1);
	g_checksum_get_digest(sum, digest, &len);
	g_checksum_free(sum);
}

dff_organisations_t *
dff_organisations_new(void)
{
	dff_organisations_t *organisations = g_new0(dff_organisations_t, 1);

	organisations->rows =
	    g_array_new(FALSE, TRUE, sizeof(dff_organisation_t));
	organisations->conflicts =
	    g_array_new(FALSE, FALSE, sizeof(dff_key_conflict_t));
	organisations->keys =
	    g_hash_table_new_full(hash_digest, digests_are_equal, g_free, NULL);
	organisations->names =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return organisations;
}

void
dff_organisations_drop(dff_organisations_t *organisations)
{
	if (organisations == NULL)
		return;
	g_array_unref(organisations->rows);
	g_array_unref(organisations->conflicts);
	g_hash_table_unref(organisations->keys);
	g_hash_table_unref(organisations->names);
	g_free(organisations);
}

uint32_t
dff_organisations_add(
    dff_organisations_t *organisations, const dff_organisation_t *organisation)
{
	uint32_t index = organisations->rows->len;

	g_array_append_vals(organisations->rows, organisation, 1);
	if (!g_hash_table_contains(organisations->names, organisation->name))
		g_hash_table_insert(organisations->names,
		    g_strdup(organisation->name), GUINT_TO_POINTER(index + 1));
	return index;
}

void
dff_organisations_add_key(
    dff_organisations_t *organisations, uint32_t index, const char *key)
{
	key_row_t *row;
	const key_row_t *other;
	dff_key_conflict_t conflict = {.index = index};

	if (*key == '\0')
		return;
	row = g_new0(key_row_t, 1);
	digest_key(key, row->digest);
	row->index = index;
	other = g_hash_table_lookup(organisations->keys, row->digest);
	if (other == NULL) {
		g_hash_table_add(organisations->keys, row);
		return;
	}
	conflict.owner = other->index;
	if (other->index != index)
		g_array_append_val(organisations->conflicts, conflict);
	g_free(row);
}

const dff_organisation_t *
dff_organisations_find(
    const dff_organisations_t *organisations, const char *key)
{
	uint8_t digest[DIGEST_SIZE];
	const key_row_t *row;

	if (*key == '\0')
		return NULL;
	digest_key(key, digest);
	row = g_hash_table_lookup(organisations->keys, digest);
	return row != NULL ? &g_array_index(organisations->rows,
				 dff_organisation_t, row->index) :
			     NULL;
}

const dff_organisation_t *
dff_organisations_find_name(
    const dff_organisations_t *organisations, const char *name)
{
	guint index =
	    GPOINTER_TO_UINT(g_hash_table_lookup(organisations->names, name));

	return index > 0 ?
	    &g_array_index(organisations->rows, dff_organisation_t, index - 1) :
	    NULL;
}

const dff_organisation_t *
dff_organisations_get(const dff_organisations_t *organisations, uint32_t index)
{
	return &g_array_index(organisations->rows, dff_organisation_t, index);
}

uint32_t
dff_organisations_count(const dff_organisations_t *organisations)
{
	return organisations->rows->len;
}

uint32_t
dff_organisations_keys(const dff_organisations_t *organisations)
{
	return g_hash_table_size(organisations->keys);
}

uint32_t
dff_organisations_conflicts(const dff_organisations_t *organisations)
{
	return organisations->conflicts->len;
}

dff_key_conflict_t
dff_organisations_conflict(
    const dff_organisations_t *organisations, uint32_t number)
{
	return g_array_index(
	    organisations->conflicts, dff_key_conflict_t, number);
}

void
dff_organisations_count_keys(
    const dff_organisations_t *organisations, uint32_t *counts)
{
	GHashTableIter iter;
	gpointer row;

	g_hash_table_iter_init(&iter, organisations->keys);
	while (g_hash_table_iter_next(&iter, &row, NULL))
		counts[((const key_row_t *)row)->index]++;
}

static uint32_t
index_of(
    const dff_organisations_t *organisations, const dff_organisation_t *one)
{
	return (uint32_t)(one -
	    &g_array_index(organisations->rows, dff_organisation_t, 0));
}

uint32_t
dff_organisations_lost_keys(const dff_organisations_t *organisations,
    const dff_organisation_t *one, const dff_organisations_t *others,
    const dff_organisation_t *other)
{
	uint32_t index = index_of(organisations, one);
	uint32_t other_index = index_of(others, other);
	uint32_t lost = 0;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, organisations->keys);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const key_row_t *row = key;
		const key_row_t *same =
		    g_hash_table_lookup(others->keys, row->digest);

		lost += row->index == index &&
		    (same == NULL || same->index != other_index);
	}
	return lost;
}
