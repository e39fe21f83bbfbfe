#include "ctl.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

static void
print_nodes(const GArray *nodes)
{
	(void)printf("nodes:\n");
	for (guint i = 0; i < nodes->len; i++) {
		const ctl_node_t *node = &g_array_index(nodes, ctl_node_t, i);
		bool ready;

		if (node->status == NULL) {
			(void)printf("  %-16s does not answer\n", node->id);
			continue;
		}
		ready = json_is_true(json_object_get(node->status, "ready"));
		(void)printf("  %-16s domain=%s revision=%" PRIu64
			     " calls=%" PRIu64 " %s%s\n",
		    node->id, ctl_json_text(node->status, "domain"),
		    node->revision, ctl_json_number(node->status, "calls"),
		    ready ? "ready" : "not ready: ",
		    ready ? "" : ctl_json_text(node->status, "why"));
	}
}

/* Print the upstreams of the VM list, each with its role and load as reported
 * by the first node that lists upstreams. */
static void
print_upstreams(const json_t *list, const GArray *nodes)
{
	const char *reported = "";
	const json_t *vm;
	size_t i;

	for (guint n = 0; n < nodes->len && *reported == '\0'; n++)
		reported = ctl_json_text(
		    g_array_index(nodes, ctl_node_t, n).status, "upstreams");
	(void)printf("upstreams:\n");
	json_array_foreach(list, i, vm)
	{
		const char *id = ctl_json_text(vm, "id");
		char *prefix;
		const char *line;

		if (strcmp(ctl_json_text(vm, "kind"), "entry") == 0)
			continue;
		(void)printf("  %-16s %s %s %s pool=%s domain=%s", id,
		    ctl_json_text(vm, "kind"), ctl_json_text(vm, "state"),
		    ctl_json_text(vm, "addr"), ctl_json_text(vm, "pool"),
		    ctl_json_text(vm, "domain"));
		prefix = g_strdup_printf("%s pool=", id);
		line = strstr(reported, prefix);
		while (line != NULL && line != reported && line[-1] != '\n')
			line = strstr(line + 1, prefix);
		line = line != NULL ? strstr(line, " role=") : NULL;
		if (line != NULL)
			(void)printf("%.*s", (int)strcspn(line, "\n"), line);
		(void)printf("\n");
		g_free(prefix);
	}
}

/* Print the leases that the nodes report; for each shard the one with the
 * highest fence. */
static void
print_leases(const GArray *nodes)
{
	GHashTable *newest = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer value;

	for (guint n = 0; n < nodes->len; n++) {
		const json_t *leases = json_object_get(
		    g_array_index(nodes, ctl_node_t, n).status, "leases");
		const json_t *lease;
		size_t i;

		json_array_foreach(leases, i, lease)
		{
			const char *shard = ctl_json_text(lease, "shard");
			const json_t *current =
			    g_hash_table_lookup(newest, shard);

			if (current == NULL ||
			    ctl_json_number(current, "fence") <
				ctl_json_number(lease, "fence"))
				g_hash_table_replace(newest,
				    (gpointer)(uintptr_t)shard,
				    (gpointer)(uintptr_t)lease);
		}
	}
	(void)printf("leases:\n");
	g_hash_table_iter_init(&iter, newest);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		(void)printf("  %-24s holder=%s fence=%" PRIu64 "\n",
		    ctl_json_text(value, "shard"),
		    ctl_json_text(value, "holder"),
		    ctl_json_number(value, "fence"));
	g_hash_table_unref(newest);
}

static int
exit_status(const GArray *nodes, uint64_t revision)
{
	for (guint i = 0; i < nodes->len; i++) {
		const ctl_node_t *node = &g_array_index(nodes, ctl_node_t, i);

		if (node->status == NULL || node->revision < revision)
			return CTL_PARTIAL;
	}
	return CTL_OK;
}

int
ctl_status(ctl_t *ctl)
{
	ctl_log_t *log = ctl_log_open(ctl);
	uint64_t revision = 0;
	GArray *nodes;
	json_t *vms;
	int rc;

	if (log != NULL) {
		revision = dff_history_revision(log->history);
		(void)printf("revision in force: %" PRIu64 "\n", revision);
		if (dff_history_skipped(log->history) > 0)
			(void)printf("bad records skipped: %" PRIu64 "\n",
			    dff_history_skipped(log->history));
	}
	nodes = ctl_nodes_read(ctl, &vms);
	print_nodes(nodes);
	print_upstreams(json_object_get(vms, "vms"), nodes);
	print_leases(nodes);
	rc = exit_status(nodes, revision);
	if (log == NULL || vms == NULL)
		rc = CTL_UNDECIDED;
	ctl_nodes_drop(nodes);
	json_decref(vms);
	ctl_log_drop(log);
	return rc;
}
