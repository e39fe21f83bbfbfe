#include "ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
clear_node(gpointer data)
{
	ctl_node_t *node = data;

	json_decref(node->status);
}

static ctl_node_t *
find_node(GArray *nodes, const char *id)
{
	for (guint i = 0; i < nodes->len; i++) {
		ctl_node_t *node = &g_array_index(nodes, ctl_node_t, i);

		if (strcmp(node->id, id) == 0)
			return node;
	}
	return NULL;
}

static ctl_node_t *
add_node(GArray *nodes, const char *id)
{
	ctl_node_t *node = find_node(nodes, id);

	if (node != NULL)
		return node;
	g_array_set_size(nodes, nodes->len + 1);
	node = &g_array_index(nodes, ctl_node_t, nodes->len - 1);
	(void)g_strlcpy(node->id, id, sizeof(node->id));
	return node;
}

static bool
is_live_entry(const json_t *vm)
{
	return strcmp(ctl_json_text(vm, "kind"), "entry") == 0 &&
	    strcmp(ctl_json_text(vm, "state"), "leaving") != 0;
}

/* Address of a status page: the port in the VM list plus an offset. */
static char *
status_addr(const char *addr, int64_t offset)
{
	const char *colon = strrchr(addr, ':');
	long port;

	if (colon == NULL || offset == 0)
		return NULL;
	port = strtol(colon + 1, NULL, 10) + (long)offset;
	return g_strdup_printf("%.*s:%ld", (int)(colon - addr), addr, port);
}

static void
add_configured_addrs(const ctl_t *ctl, GPtrArray *addrs)
{
	char **nodes = g_strsplit(ctl->nodes, ",", -1);

	for (size_t i = 0; nodes[i] != NULL; i++) {
		if (*g_strstrip(nodes[i]) != '\0')
			g_ptr_array_add(addrs, g_strdup(nodes[i]));
	}
	g_strfreev(nodes);
}

static void
add_entry_addrs(const json_t *list, int64_t offset, GPtrArray *addrs)
{
	const json_t *vm;
	size_t i;

	json_array_foreach(list, i, vm)
	{
		char *addr = is_live_entry(vm) ?
		    status_addr(ctl_json_text(vm, "addr"), offset) :
		    NULL;

		if (addr != NULL)
			g_ptr_array_add(addrs, addr);
	}
}

/* Addresses of the status pages to read; the caller frees them. */
static GPtrArray *
status_addrs(const ctl_t *ctl, const json_t *list)
{
	GPtrArray *addrs = g_ptr_array_new_with_free_func(g_free);

	add_configured_addrs(ctl, addrs);
	if (addrs->len > 0)
		return addrs;
	add_entry_addrs(list, ctl->http_offset, addrs);
	add_entry_addrs(list, ctl->placer_offset, addrs);
	return addrs;
}

static void
add_status(GArray *nodes, const char *addr, const ctl_fetch_t *fetch)
{
	json_t *status = ctl_fetch_json(fetch);
	const char *id = ctl_json_text(status, "id");
	ctl_node_t *node;

	if (status == NULL || *id == '\0') {
		json_decref(status);
		(void)fprintf(stderr, "dff-ctl: no status page at %s\n", addr);
		(void)add_node(nodes, addr);
		return;
	}
	node = add_node(nodes, id);
	json_decref(node->status);
	node->status = status;
	node->revision = ctl_json_number(status, "revision");
}

static gint
compare_nodes(gconstpointer a, gconstpointer b)
{
	const ctl_node_t *left = a;
	const ctl_node_t *right = b;

	return strcmp(left->id, right->id);
}

static bool
contains_addr(const GPtrArray *addrs, const char *addr)
{
	for (guint i = 0; i < addrs->len; i++) {
		if (strcmp(g_ptr_array_index(addrs, i), addr) == 0)
			return true;
	}
	return false;
}

/* Give a node whose status page does not answer its VM id, if its address
 * belongs to a VM of the list, and add the listed nodes that are missing. */
static void
name_unreachable(
    const ctl_t *ctl, GArray *nodes, const json_t *list, const GPtrArray *addrs)
{
	const json_t *vm;
	size_t i;

	json_array_foreach(list, i, vm)
	{
		char *addr;
		ctl_node_t *node;

		if (!is_live_entry(vm))
			continue;
		addr = status_addr(ctl_json_text(vm, "addr"), ctl->http_offset);
		node = addr != NULL && contains_addr(addrs, addr) ?
		    find_node(nodes, addr) :
		    NULL;
		if (node != NULL)
			(void)g_strlcpy(node->id, ctl_json_text(vm, "id"),
			    sizeof(node->id));
		else
			(void)add_node(nodes, ctl_json_text(vm, "id"));
		g_free(addr);
	}
}

GArray *
ctl_nodes_read(ctl_t *ctl, json_t **vms)
{
	GArray *nodes = g_array_new(FALSE, TRUE, sizeof(ctl_node_t));
	const json_t *list;
	ctl_fetch_t *fetches;
	GPtrArray *addrs;

	g_array_set_clear_func(nodes, clear_node);
	*vms = ctl_get_json(ctl, ctl->platform, "/vms");
	list = json_object_get(*vms, "vms");
	addrs = status_addrs(ctl, list);
	fetches = g_new0(ctl_fetch_t, addrs->len + 1);
	for (guint i = 0; i < addrs->len; i++)
		ctl_fetch_start(ctl, &fetches[i], g_ptr_array_index(addrs, i),
		    "GET", "/status", NULL, 0);
	ctl_fetch_wait(ctl, fetches, addrs->len);
	for (guint i = 0; i < addrs->len; i++) {
		add_status(nodes, g_ptr_array_index(addrs, i), &fetches[i]);
		ctl_fetch_clear(&fetches[i]);
	}
	name_unreachable(ctl, nodes, list, addrs);
	g_array_sort(nodes, compare_nodes);
	g_ptr_array_unref(addrs);
	g_free(fetches);
	return nodes;
}

void
ctl_nodes_drop(GArray *nodes)
{
	g_array_unref(nodes);
}
