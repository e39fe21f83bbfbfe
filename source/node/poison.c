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

/* Processes remembered for one request. */
#define CRASHES_MAX 16

/* A process of an engine that broke off under a request. */
typedef struct crash {
	uint64_t process;
	dff_time_t at;
} crash_t;

typedef struct suspect {
	uint64_t body_hash;
	GArray *crashes; /* crash_t, one a process, whoever saw it */
	dff_time_t until;
} suspect_t;

struct poison {
	GHashTable *suspects; /* body hash -> suspect_t */
};

static void
free_suspect(void *data)
{
	suspect_t *suspect = data;

	g_array_unref(suspect->crashes);
	g_free(suspect);
}

poison_t *
poison_new(void)
{
	poison_t *poison;

	poison = g_new0(poison_t, 1);
	poison->suspects = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_suspect);
	return poison;
}

void
poison_drop(poison_t *poison)
{
	if (poison == NULL)
		return;
	g_hash_table_unref(poison->suspects);
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
		suspect->crashes = g_array_new(FALSE, FALSE, sizeof(crash_t));
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
	return suspect->crashes->len;
}

uint64_t
poison_process(const char *vm, uint64_t incarnation)
{
	return dff_hash(vm, strlen(vm), incarnation);
}

bool
poison_note_broken(
    poison_t *poison, uint64_t body_hash, uint64_t process, dff_time_t now)
{
	suspect_t *suspect = take(poison, body_hash, now);
	crash_t crash = {.process = process, .at = now};

	for (guint i = 0; i < suspect->crashes->len; i++) {
		if (g_array_index(suspect->crashes, crash_t, i).process ==
		    process)
			return false;
	}
	if (suspect->crashes->len >= CRASHES_MAX)
		return false;
	g_array_append_val(suspect->crashes, crash);
	return true;
}

/* The same process still runs: only the link broke. */
static void
drop_crash(suspect_t *suspect, uint64_t process, dff_time_t taken)
{
	for (guint i = suspect->crashes->len; i-- > 0;) {
		const crash_t *crash =
		    &g_array_index(suspect->crashes, crash_t, i);

		if (crash->process == process && crash->at < taken)
			g_array_remove_index_fast(suspect->crashes, i);
	}
}

void
poison_note_report(
    poison_t *poison, const char *vm, uint64_t incarnation, dff_time_t taken)
{
	uint64_t process = poison_process(vm, incarnation);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, poison->suspects);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		drop_crash(value, process, taken);
}

void
poison_clear(poison_t *poison, uint64_t body_hash)
{
	g_hash_table_remove(poison->suspects, &body_hash);
}
