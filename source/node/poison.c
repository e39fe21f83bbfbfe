/*
 * Requests that were on an engine when it crashed. One crash makes a
 * suspect, which runs again only alone; a second one gets it refused.
 */
#include "parts.h"

#include <string.h>

/* How long a request's crashes are remembered. */
#define POISON_TIME (10 * 60 * DFF_SEC)
/* The most requests remembered. */
#define POISON_MAX 4096

/* A break that is still to be judged by the engine's next report. */
typedef struct doubt {
	char vm[DFF_NAME_MAX];
	uint64_t incarnation;
	dff_time_t at;
	uint64_t body_hash;
} doubt_t;

typedef struct suspect {
	uint64_t body_hash;
	uint32_t own; /* crashes seen here */
	uint32_t told; /* the most that a peer told */
	dff_time_t until;
} suspect_t;

struct poison {
	GHashTable *suspects; /* body hash -> suspect_t */
	GArray *doubts; /* doubt_t */
};

poison_t *
poison_new(void)
{
	poison_t *poison;

	poison = g_new0(poison_t, 1);
	poison->suspects =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	poison->doubts = g_array_new(FALSE, FALSE, sizeof(doubt_t));
	return poison;
}

void
poison_drop(poison_t *poison)
{
	if (poison == NULL)
		return;
	g_hash_table_unref(poison->suspects);
	g_array_unref(poison->doubts);
	g_free(poison);
}

static gboolean
is_over(gpointer key, gpointer value, gpointer arg)
{
	const suspect_t *suspect = value;
	const dff_time_t *now = arg;

	(void)key;
	return suspect->until <= *now;
}

static suspect_t *
take(poison_t *poison, uint64_t body_hash, dff_time_t now)
{
	suspect_t *suspect;

	suspect = g_hash_table_lookup(poison->suspects, &body_hash);
	if (suspect == NULL) {
		if (g_hash_table_size(poison->suspects) >= POISON_MAX)
			g_hash_table_foreach_remove(
			    poison->suspects, is_over, &now);
		suspect = g_new0(suspect_t, 1);
		suspect->body_hash = body_hash;
		g_hash_table_insert(
		    poison->suspects, &suspect->body_hash, suspect);
	}
	suspect->until = now + POISON_TIME;
	return suspect;
}

uint32_t
poison_crashes(poison_t *poison, uint64_t body_hash, dff_time_t now)
{
	suspect_t *suspect;

	suspect = g_hash_table_lookup(poison->suspects, &body_hash);
	if (suspect == NULL)
		return 0;
	if (suspect->until <= now) {
		g_hash_table_remove(poison->suspects, &body_hash);
		return 0;
	}
	return MAX(suspect->own, suspect->told);
}

uint32_t
poison_note_broken(poison_t *poison, uint64_t body_hash, const char *vm,
    uint64_t incarnation, dff_time_t now)
{
	doubt_t doubt = {
	    .incarnation = incarnation, .at = now, .body_hash = body_hash};
	suspect_t *suspect;

	suspect = take(poison, body_hash, now);
	suspect->own = MAX(suspect->own, suspect->told) + 1;
	(void)dff_name_copy(doubt.vm, vm);
	if (poison->doubts->len >= POISON_MAX)
		g_array_remove_index_fast(poison->doubts, 0);
	g_array_append_val(poison->doubts, doubt);
	return MAX(suspect->own, suspect->told);
}

void
poison_note_report(
    poison_t *poison, const char *vm, uint64_t incarnation, dff_time_t taken)
{
	for (guint i = 0; i < poison->doubts->len;) {
		const doubt_t *doubt =
		    &g_array_index(poison->doubts, doubt_t, i);
		suspect_t *suspect;

		if (doubt->at >= taken || strcmp(doubt->vm, vm) != 0) {
			i++;
			continue;
		}
		/* The same process still runs: only the link broke. */
		suspect =
		    g_hash_table_lookup(poison->suspects, &doubt->body_hash);
		if (suspect != NULL && suspect->own > 0 &&
		    doubt->incarnation == incarnation)
			suspect->own--;
		g_array_remove_index_fast(poison->doubts, i);
	}
}

void
poison_note_told(
    poison_t *poison, uint64_t body_hash, uint32_t crashes, dff_time_t now)
{
	suspect_t *suspect;

	suspect = take(poison, body_hash, now);
	suspect->told = MAX(suspect->told, crashes);
}

void
poison_clear(poison_t *poison, uint64_t body_hash)
{
	g_hash_table_remove(poison->suspects, &body_hash);
}
