#include "relay/answered_parts.h"

#include <glib.h>

/* After an answer its parts are not suspected for this time: longer than the
 * next answer of a part in common use takes, and short enough that a part which
 * new weights cannot process is noticed soon. */
#define RECENT_TIME (2 * DFF_SEC)
/* Time for which answers are remembered. */
#define KEEP_TIME (60 * DFF_SEC)
/* Most parts. */
#define PARTS_MAX 8192

struct answered_parts {
	GHashTable *times; /* key, boxed, to dff_time_t, boxed */
};

answered_parts_t *
answered_parts_new(void)
{
	answered_parts_t *parts = g_new0(answered_parts_t, 1);

	parts->times =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return parts;
}

void
answered_parts_drop(answered_parts_t *parts)
{
	g_hash_table_unref(parts->times);
	g_free(parts);
}

void
answered_parts_note(answered_parts_t *parts, uint64_t key, dff_time_t now)
{
	dff_time_t *at = g_hash_table_lookup(parts->times, &key);

	if (at != NULL)
		*at = now;
	else if (g_hash_table_size(parts->times) < PARTS_MAX)
		g_hash_table_insert(parts->times, g_memdup2(&key, sizeof(key)),
		    g_memdup2(&now, sizeof(now)));
}

dff_time_t
answered_parts_last(const answered_parts_t *parts, uint64_t key)
{
	const dff_time_t *at = g_hash_table_lookup(parts->times, &key);

	return at != NULL ? *at : 0;
}

bool
answered_parts_is_recent(
    const answered_parts_t *parts, uint64_t key, dff_time_t at)
{
	dff_time_t answered_at = answered_parts_last(parts, key);

	return answered_at != 0 && answered_at + RECENT_TIME > at;
}

void
answered_parts_sweep(answered_parts_t *parts, dff_time_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, parts->times);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (now - *(dff_time_t *)value >= KEEP_TIME)
			g_hash_table_iter_remove(&iter);
	}
}
