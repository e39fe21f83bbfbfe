#include "dragonflyfall/timer.h"

#include <glib.h>

/* One subscription, in both the tree by deadline and the table by subject. */
typedef struct entry {
	dff_timer_t timer;
	uint64_t order; /* sequence number; breaks ties of deadlines */
} entry_t;

struct dff_timers {
	GTree *by_time;
	GHashTable *by_subject;
	uint64_t order;
};

static gint
compare_time(gconstpointer a, gconstpointer b, gpointer arg)
{
	const entry_t *x = a;
	const entry_t *y = b;

	(void)arg;
	if (x->timer.at != y->timer.at)
		return x->timer.at < y->timer.at ? -1 : 1;
	if (x->order != y->order)
		return x->order < y->order ? -1 : 1;
	return 0;
}

static guint
hash_subject(gconstpointer key)
{
	const entry_t *entry = key;

	return (guint)dff_hash(&entry->timer.subject,
	    sizeof(entry->timer.subject), entry->timer.kind);
}

static gboolean
equal_subject(gconstpointer a, gconstpointer b)
{
	const entry_t *x = a;
	const entry_t *y = b;

	return x->timer.kind == y->timer.kind &&
	    x->timer.subject == y->timer.subject;
}

dff_timers_t *
dff_timers_new(void)
{
	dff_timers_t *timers;

	timers = g_new0(dff_timers_t, 1);
	timers->by_time = g_tree_new_full(compare_time, NULL, NULL, NULL);
	timers->by_subject =
	    g_hash_table_new_full(hash_subject, equal_subject, g_free, NULL);
	return timers;
}

void
dff_timers_drop(dff_timers_t *timers)
{
	if (timers == NULL)
		return;
	g_tree_unref(timers->by_time);
	g_hash_table_unref(timers->by_subject);
	g_free(timers);
}

static entry_t *
find(dff_timers_t *timers, dff_timer_kind_t kind, uint64_t subject)
{
	entry_t probe = {.timer = {.kind = kind, .subject = subject}};

	return g_hash_table_lookup(timers->by_subject, &probe);
}

void
dff_timers_cancel(dff_timers_t *timers, dff_timer_kind_t kind, uint64_t subject)
{
	entry_t *entry;

	entry = find(timers, kind, subject);
	if (entry == NULL)
		return;
	g_tree_remove(timers->by_time, entry);
	g_hash_table_remove(timers->by_subject, entry);
}

void
dff_timers_set(dff_timers_t *timers, dff_timer_kind_t kind, uint64_t subject,
    dff_time_t at)
{
	entry_t *entry;

	dff_timers_cancel(timers, kind, subject);
	entry = g_new0(entry_t, 1);
	entry->timer.kind = kind;
	entry->timer.subject = subject;
	entry->timer.at = at;
	entry->order = timers->order++;
	g_hash_table_insert(timers->by_subject, entry, entry);
	g_tree_insert(timers->by_time, entry, entry);
}

dff_time_t
dff_timers_next(dff_timers_t *timers)
{
	GTreeNode *first;
	const entry_t *entry;

	first = g_tree_node_first(timers->by_time);
	if (first == NULL)
		return DFF_TIME_NEVER;
	entry = g_tree_node_key(first);
	return entry->timer.at;
}

bool
dff_timers_pop(dff_timers_t *timers, dff_time_t now, dff_timer_t *due)
{
	GTreeNode *first;
	entry_t *entry;

	first = g_tree_node_first(timers->by_time);
	if (first == NULL)
		return false;
	entry = g_tree_node_key(first);
	if (entry->timer.at > now)
		return false;
	*due = entry->timer;
	g_tree_remove(timers->by_time, entry);
	g_hash_table_remove(timers->by_subject, entry);
	return true;
}
