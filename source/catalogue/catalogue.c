#include "dragonflyfall/catalogue.h"

#include <errno.h>
#include <string.h>

#include "catalogue/draft.h"

struct dff_catalogue {
	uint32_t refs;
	GArray *owners;
	GArray *classes;
	GArray *pools;
	GArray *entries;
	/* Map names and hashed secrets to row index + 1. */
	GHashTable *owner_names;
	GHashTable *secrets;
	GHashTable *pool_names;
	GHashTable *entry_names;
};

/* Keys are borrowed from the rows, whose addresses are stable. */
static GHashTable *
index_rows(const GArray *rows, size_t row_size, size_t key_offset)
{
	GHashTable *index = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < rows->len; i++)
		g_hash_table_insert(index,
		    rows->data + i * row_size + key_offset,
		    GUINT_TO_POINTER(i + 1));
	return index;
}

static int
find_index(GHashTable *index, const char *key)
{
	gpointer position;

	position = g_hash_table_lookup(index, key);
	return position != NULL ? (int)GPOINTER_TO_UINT(position) - 1 : -ENOENT;
}

static dff_catalogue_t *
catalogue_from_draft(const dff_draft_t *draft)
{
	dff_catalogue_t *cat = g_new0(dff_catalogue_t, 1);

	cat->refs = 1;
	cat->owners = g_array_ref(draft->owners);
	cat->classes = g_array_ref(draft->classes);
	cat->pools = g_array_ref(draft->pools);
	cat->entries = g_array_new(FALSE, TRUE, sizeof(dff_entry_t));
	for (guint i = 0; i < draft->entries->len; i++) {
		const dff_draft_entry_t *row =
		    &g_array_index(draft->entries, dff_draft_entry_t, i);

		g_array_append_val(cat->entries, row->entry);
	}
	cat->owner_names = index_rows(
	    cat->owners, sizeof(dff_owner_t), offsetof(dff_owner_t, name));
	cat->secrets = index_rows(cat->owners, sizeof(dff_owner_t),
	    offsetof(dff_owner_t, secret_sha256));
	cat->pool_names = index_rows(
	    cat->pools, sizeof(dff_pool_t), offsetof(dff_pool_t, name));
	cat->entry_names = index_rows(
	    cat->entries, sizeof(dff_entry_t), offsetof(dff_entry_t, name));
	return cat;
}

static dff_catalogue_t *
load_text(const char *text, size_t len, dff_problems_t *problems)
{
	dff_catalogue_t *cat = NULL;
	dff_draft_t *draft;
	char *copy;

	if (!g_utf8_validate_len(text, len, NULL)) {
		dff_problems_add(problems, 0, NULL, NULL,
		    "the file must be UTF-8 text without NUL bytes");
		return NULL;
	}
	copy = g_strndup(text, len);
	draft = dff_draft_parse(copy, problems);
	if (dff_problems_count(problems) == 0)
		dff_draft_check(draft);
	if (dff_problems_count(problems) == 0)
		cat = catalogue_from_draft(draft);
	dff_draft_drop(draft);
	g_free(copy);
	return cat;
}

int
dff_catalogue_load(dff_ctx_t *ctx, const char *text, size_t len,
    dff_problem_t *problems, size_t max, size_t *count, dff_catalogue_t **cat)
{
	dff_problems_t *found;

	*cat = NULL;
	*count = 0;
	if (len > DFF_CATALOGUE_BYTES_MAX)
		return -EFBIG;
	found = dff_problems_new();
	*cat = load_text(len > 0 ? text : "", len, found);
	*count = dff_problems_count(found);
	dff_problems_copy(found, problems, max);
	dff_problems_drop(found);
	if (*cat == NULL) {
		dff_log(ctx, DFF_LOG_DEBUG, "catalogue",
		    "catalogue file is invalid problems=%zu bytes=%zu", *count,
		    len);
		return -EINVAL;
	}
	return 0;
}

dff_catalogue_t *
dff_catalogue_keep(dff_catalogue_t *cat)
{
	cat->refs++;
	return cat;
}

void
dff_catalogue_drop(dff_catalogue_t *cat)
{
	if (cat == NULL || --cat->refs > 0)
		return;
	g_hash_table_unref(cat->owner_names);
	g_hash_table_unref(cat->secrets);
	g_hash_table_unref(cat->pool_names);
	g_hash_table_unref(cat->entry_names);
	g_array_unref(cat->owners);
	g_array_unref(cat->classes);
	g_array_unref(cat->pools);
	g_array_unref(cat->entries);
	g_free(cat);
}

const dff_owner_t *
dff_catalogue_owners(const dff_catalogue_t *cat, uint32_t *count)
{
	*count = cat->owners->len;
	return (const dff_owner_t *)cat->owners->data;
}

const dff_class_t *
dff_catalogue_classes(const dff_catalogue_t *cat, uint32_t *count)
{
	*count = cat->classes->len;
	return (const dff_class_t *)cat->classes->data;
}

const dff_pool_t *
dff_catalogue_pools(const dff_catalogue_t *cat, uint32_t *count)
{
	*count = cat->pools->len;
	return (const dff_pool_t *)cat->pools->data;
}

const dff_entry_t *
dff_catalogue_entries(const dff_catalogue_t *cat, uint32_t *count)
{
	*count = cat->entries->len;
	return (const dff_entry_t *)cat->entries->data;
}

int
dff_catalogue_find_entry(const dff_catalogue_t *cat, const char *name)
{
	return find_index(cat->entry_names, name);
}

int
dff_catalogue_find_pool(const dff_catalogue_t *cat, const char *name)
{
	return find_index(cat->pool_names, name);
}

int
dff_catalogue_find_owner(const dff_catalogue_t *cat, const char *name)
{
	return find_index(cat->owner_names, name);
}

int
dff_catalogue_find_secret(const dff_catalogue_t *cat, const char *secret)
{
	char *hex;
	int owner;

	hex = g_compute_checksum_for_string(G_CHECKSUM_SHA256, secret, -1);
	owner = find_index(cat->secrets, hex);
	g_free(hex);
	return owner;
}
