#include "queue.h"

typedef struct entry {
	queue_item_t item;
	uint64_t order;
} entry_t;

struct queue {
	GTree *tree;
	uint64_t order;
};

static gint
compare(gconstpointer a, gconstpointer b, gpointer arg)
{
	const entry_t *x = a;
	const entry_t *y = b;

	(void)arg;
	if (x->item.at != y->item.at)
		return x->item.at < y->item.at ? -1 : 1;
	return x->order < y->order ? -1 : x->order > y->order;
}

static void
free_entry(gpointer value)
{
	entry_t *entry = value;

	g_free(entry->item.data);
	g_free(entry);
}

queue_t *
queue_new(void)
{
	queue_t *queue = g_new0(queue_t, 1);

	queue->tree = g_tree_new_full(compare, NULL, free_entry, NULL);
	return queue;
}

void
queue_drop(queue_t *queue)
{
	g_tree_unref(queue->tree);
	g_free(queue);
}

void
queue_add(queue_t *queue, const queue_item_t *item)
{
	entry_t *entry = g_new0(entry_t, 1);

	entry->item = *item;
	entry->order = queue->order++;
	g_tree_insert(queue->tree, entry, entry);
}

bool
queue_pop(queue_t *queue, queue_item_t *item)
{
	GTreeNode *first = g_tree_node_first(queue->tree);
	entry_t *entry;

	if (first == NULL)
		return false;
	entry = g_tree_node_key(first);
	*item = entry->item;
	entry->item.data = NULL;
	g_tree_remove(queue->tree, entry);
	return true;
}
