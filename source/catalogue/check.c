#include <string.h>

#include "catalogue/draft.h"

/* Keys that are valid for one kind of pool only. */
static const char *const engine_pool_keys[] = {"model", "version", "adapter",
    "fencing", "roles", "role_change_price", "role_change_away_ms", NULL};
static const char *const model_entry_keys[] = {
    "max_prompt_tokens", "max_output_tokens", NULL};

/* Names of the rows that entries refer to; the value is row index + 1. */
typedef struct names {
	GHashTable *owners;
	GHashTable *classes;
	GHashTable *pools;
} names_t;

static GHashTable *
index_names(const GArray *rows, size_t row_size, size_t name_offset)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < rows->len; i++)
		g_hash_table_insert(names,
		    rows->data + i * row_size + name_offset,
		    GUINT_TO_POINTER(i + 1));
	return names;
}

static void
require_key(dff_draft_t *draft, dff_section_t section, const char *name,
    const char *key, const char *condition)
{
	if (!dff_draft_has(draft, section, name, key))
		dff_draft_problem(draft, section, name, key,
		    "this key must be given %s", condition);
}

static void
reject_keys(dff_draft_t *draft, dff_section_t section, const char *name,
    const char *const *keys, const char *condition)
{
	for (; *keys != NULL; keys++) {
		if (dff_draft_has(draft, section, name, *keys))
			dff_draft_problem(draft, section, name, *keys,
			    "this key is allowed %s", condition);
	}
}

static void
check_owners(dff_draft_t *draft)
{
	GHashTable *secrets = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < draft->owners->len; i++) {
		dff_owner_t *owner =
		    &g_array_index(draft->owners, dff_owner_t, i);
		const char *other;

		if (owner->secret_sha256[0] == '\0')
			continue;
		other = g_hash_table_lookup(secrets, owner->secret_sha256);
		if (other != NULL)
			dff_draft_problem(draft, DFF_SECTION_OWNER, owner->name,
			    "secret_sha256",
			    "owner %s has the same secret; each owner needs its own",
			    other);
		else
			g_hash_table_insert(
			    secrets, owner->secret_sha256, owner->name);
	}
	g_hash_table_unref(secrets);
}

static void
check_time_limit(dff_draft_t *draft, const dff_class_t *cls, const char *key,
    dff_time_t bound)
{
	if (cls->whole > 0 && bound > cls->whole)
		dff_draft_problem(draft, DFF_SECTION_CLASS, cls->name, key,
		    "%lld ms is longer than whole_ms, %lld ms",
		    (long long)(bound / DFF_MSEC),
		    (long long)(cls->whole / DFF_MSEC));
}

static void
check_classes(dff_draft_t *draft)
{
	for (guint i = 0; i < draft->classes->len; i++) {
		const dff_class_t *cls =
		    &g_array_index(draft->classes, dff_class_t, i);

		check_time_limit(
		    draft, cls, "first_token_ms", cls->first_token);
		check_time_limit(draft, cls, "token_gap_ms", cls->token_gap);
	}
}

static void
check_engine_pool(dff_draft_t *draft, const dff_pool_t *pool)
{
	static const char *const change_keys[] = {
	    "role_change_price", "role_change_away_ms", NULL};
	const dff_section_t section = DFF_SECTION_POOL;

	require_key(
	    draft, section, pool->name, "model", "for a pool of engines");
	require_key(
	    draft, section, pool->name, "fencing", "for a pool of engines");
	if (!pool->roles) {
		reject_keys(draft, section, pool->name, change_keys,
		    "with roles=any only");
		return;
	}
	for (size_t i = 0; change_keys[i] != NULL; i++)
		require_key(draft, section, pool->name, change_keys[i],
		    "with roles=any");
}

static void
check_pools(dff_draft_t *draft)
{
	for (guint i = 0; i < draft->pools->len; i++) {
		const dff_pool_t *pool =
		    &g_array_index(draft->pools, dff_pool_t, i);

		if (pool->kind == DFF_VM_ENGINE)
			check_engine_pool(draft, pool);
		else if (pool->kind == DFF_VM_SERVICE)
			reject_keys(draft, DFF_SECTION_POOL, pool->name,
			    engine_pool_keys, "in a pool of engines only");
	}
}

/* Index of the referenced row; 0, with a problem added, if there is none. */
static uint32_t
resolve_reference(dff_draft_t *draft, const dff_draft_entry_t *row,
    GHashTable *names, const char *key, const char *name)
{
	guint position;

	if (*name == '\0')
		return 0;
	position = GPOINTER_TO_UINT(g_hash_table_lookup(names, name));
	if (position > 0)
		return position - 1;
	dff_draft_problem(draft, DFF_SECTION_ENTRY, row->entry.name, key,
	    "there is no [%s %s] in this file", key, name);
	return 0;
}

static void
check_model_entry(dff_draft_t *draft, const dff_entry_t *entry)
{
	const dff_section_t section = DFF_SECTION_ENTRY;
	static const char *const path_keys[] = {"path", NULL};

	reject_keys(draft, section, entry->name, path_keys,
	    "for a pool of services only");
	for (size_t i = 0; model_entry_keys[i] != NULL; i++)
		require_key(draft, section, entry->name, model_entry_keys[i],
		    "for a pool of engines");
	if (!entry->may_repeat)
		dff_draft_problem(draft, section, entry->name, "may_repeat",
		    "must be true for a pool of engines, as an answer is "
		    "resumed on another engine when one fails");
}

static void
check_service_entry(dff_draft_t *draft, const dff_entry_t *entry)
{
	const dff_section_t section = DFF_SECTION_ENTRY;

	require_key(
	    draft, section, entry->name, "path", "for a pool of services");
	reject_keys(draft, section, entry->name, model_entry_keys,
	    "for a pool of engines only");
	if (!entry->may_repeat)
		require_key(draft, section, entry->name, "retry_window_ms",
		    "with may_repeat=false");
}

static void
check_entry(dff_draft_t *draft, dff_draft_entry_t *row, const names_t *names)
{
	dff_entry_t *entry = &row->entry;
	const dff_pool_t *pool;

	entry->owner =
	    resolve_reference(draft, row, names->owners, "owner", row->owner);
	entry->cls =
	    resolve_reference(draft, row, names->classes, "class", row->cls);
	entry->pool =
	    resolve_reference(draft, row, names->pools, "pool", row->pool);
	if (g_hash_table_lookup(names->pools, row->pool) == NULL)
		return;
	pool = &g_array_index(draft->pools, dff_pool_t, entry->pool);
	if (pool->kind == DFF_VM_ENGINE)
		check_model_entry(draft, entry);
	else if (pool->kind == DFF_VM_SERVICE)
		check_service_entry(draft, entry);
}

void
dff_draft_check(dff_draft_t *draft)
{
	names_t names = {
	    .owners = index_names(draft->owners, sizeof(dff_owner_t),
		offsetof(dff_owner_t, name)),
	    .classes = index_names(draft->classes, sizeof(dff_class_t),
		offsetof(dff_class_t, name)),
	    .pools = index_names(
		draft->pools, sizeof(dff_pool_t), offsetof(dff_pool_t, name)),
	};

	check_owners(draft);
	check_classes(draft);
	check_pools(draft);
	for (guint i = 0; i < draft->entries->len; i++)
		check_entry(draft,
		    &g_array_index(draft->entries, dff_draft_entry_t, i),
		    &names);
	g_hash_table_unref(names.owners);
	g_hash_table_unref(names.classes);
	g_hash_table_unref(names.pools);
}
