/*
 * Requests that were running on an engine that crashed. After one crash a
 * request is a suspect and runs only alone on an engine; after a second one it
 * is refused.
 */
#include "internal.h"

#include <string.h>

/* Time for which the crashes of a request are kept after the last one. */
#define SUSPECT_LIFETIME (10 * 60 * DFF_SEC)
/* Number of requests above which expired ones are removed. */
#define SUSPECTS_MAX 4096

/* Maximum number of crashes kept for one request. */
#define SUSPECT_CRASHES_MAX 16

/* An engine process whose connection broke during a request. */
typedef struct crash {
	uint64_t process;
	dff_time_t at;
} crash_t;

typedef struct suspect {
	uint64_t body_hash;
	GArray *crashes; /* crash_t, one for each process, from all nodes */
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
is_expired(gpointer key, gpointer value, gpointer arg)
{
	const suspect_t *suspect = value;
	const dff_time_t *now = arg;

	(void)key;
	return suspect->until <= *now;
}

static suspect_t *
get_suspect(poison_t *poison, uint64_t body_hash, dff_time_t now)
{
	suspect_t *suspect;

	suspect = g_hash_table_lookup(poison->suspects, &body_hash);
	if (suspect == NULL) {
		if (g_hash_table_size(poison->suspects) >= SUSPECTS_MAX)
			g_hash_table_foreach_remove(
			    poison->suspects, is_expired, &now);
		suspect = g_new0(suspect_t, 1);
		suspect->body_hash = body_hash;
		suspect->crashes = g_array_new(FALSE, FALSE, sizeof(crash_t));
		g_hash_table_insert(
		    poison->suspects, &suspect->body_hash, suspect);
	}
	suspect->until = now + SUSPECT_LIFETIME;
	return suspect;
}

uint32_t
poison_crash_count(poison_t *poison, uint64_t body_hash, dff_time_t now)
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
poison_process_hash(const char *vm, uint64_t incarnation)
{
	return dff_hash(vm, strlen(vm), incarnation);
}

bool
poison_add_crash(
    poison_t *poison, uint64_t body_hash, uint64_t process, dff_time_t now)
{
	suspect_t *suspect = get_suspect(poison, body_hash, now);
	crash_t crash = {.process = process, .at = now};

	for (guint i = 0; i < suspect->crashes->len; i++) {
		if (g_array_index(suspect->crashes, crash_t, i).process ==
		    process)
			return false;
	}
	if (suspect->crashes->len >= SUSPECT_CRASHES_MAX)
		return false;
	g_array_append_val(suspect->crashes, crash);
	return true;
}

/* A report after the crash shows that only the connection broke. */
static void
remove_crash(suspect_t *suspect, uint64_t process, dff_time_t taken)
{
	for (guint i = suspect->crashes->len; i-- > 0;) {
		const crash_t *crash =
		    &g_array_index(suspect->crashes, crash_t, i);

		if (crash->process == process && crash->at < taken)
			g_array_remove_index_fast(suspect->crashes, i);
	}
}

void
poison_apply_report(
    poison_t *poison, const char *vm, uint64_t incarnation, dff_time_t taken)
{
	uint64_t process = poison_process_hash(vm, incarnation);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, poison->suspects);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		remove_crash(value, process, taken);
}

void
poison_clear(poison_t *poison, uint64_t body_hash)
{
	g_hash_table_remove(poison->suspects, &body_hash);
}
