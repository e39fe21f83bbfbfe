/*
 * Looks up VMs and catalogue entries by the 32-bit hashes that replace their
 * names in frames.
 */
#include "internal.h"

#include <string.h>

struct names {
	GHashTable *vms; /* hash -> index in the VM list, plus one */
	GHashTable *entries; /* hash -> index in the catalogue, plus one */
};

names_t *
names_new(void)
{
	names_t *names;

	names = g_new0(names_t, 1);
	names->vms = g_hash_table_new(g_direct_hash, g_direct_equal);
	names->entries = g_hash_table_new(g_direct_hash, g_direct_equal);
	return names;
}

void
names_drop(names_t *names)
{
	if (names == NULL)
		return;
	g_hash_table_unref(names->vms);
	g_hash_table_unref(names->entries);
	g_free(names);
}

uint32_t
names_hash(const char *name)
{
	return (uint32_t)dff_hash(name, strlen(name), 0);
}

static void
insert(GHashTable *table, const char *name, guint index)
{
	g_hash_table_insert(table, GUINT_TO_POINTER(names_hash(name)),
	    GUINT_TO_POINTER(index + 1));
}

static int
lookup(GHashTable *table, uint32_t hash)
{
	return (int)GPOINTER_TO_UINT(
		   g_hash_table_lookup(table, GUINT_TO_POINTER(hash))) -
	    1;
}

void
names_load_vms(names_t *names, const GArray *vms)
{
	g_hash_table_remove_all(names->vms);
	for (guint i = 0; i < vms->len; i++)
		insert(names->vms, g_array_index(vms, dff_vm_t, i).id, i);
}

void
names_set_catalogue(names_t *names, const dff_catalogue_t *cat)
{
	const dff_entry_t *entries;
	uint32_t count;

	g_hash_table_remove_all(names->entries);
	entries = dff_catalogue_entries(cat, &count);
	for (uint32_t i = 0; i < count; i++)
		insert(names->entries, entries[i].name, i);
}

const dff_vm_t *
names_vm_by_hash(const dff_node_t *node, uint32_t hash)
{
	int index = lookup(node->names->vms, hash);

	if (index < 0)
		return NULL;
	return &g_array_index(node->vms, dff_vm_t, (guint)index);
}

const dff_vm_t *
names_vm_by_id(const dff_node_t *node, const char *id)
{
	const dff_vm_t *vm = names_vm_by_hash(node, names_hash(id));

	return vm != NULL && strcmp(vm->id, id) == 0 ? vm : NULL;
}

const dff_entry_t *
names_entry_by_hash(const dff_node_t *node, uint32_t hash)
{
	const dff_catalogue_t *cat = node_catalogue(node);
	int index = lookup(node->names->entries, hash);
	uint32_t count;

	if (index < 0 || cat == NULL)
		return NULL;
	return &dff_catalogue_entries(cat, &count)[index];
}
