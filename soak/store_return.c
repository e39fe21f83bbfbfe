/*
 * The store comes back from an older copy of itself; afterwards the operator
 * and the upstreams write again what they wrote since.
 */
#include <string.h>

#include "soak/soak.h"

/* Bounds of the time by which the copy is older. */
#define AGE_MIN_MSEC 300
#define AGE_MAX_MSEC 3000
/* Mean time from a return to the next copy. */
#define COPY_MEAN_INTERVAL (5 * DFF_SEC)
/* The same with duties, which rest for a while after each return. */
#define DUTIES_MEAN_INTERVAL (20 * DFF_SEC)
/* Upper bound of the time until the configuration is written again, and time
 * until entries of upstreams that are gone are removed again. */
#define WRITE_MAX_MSEC 1000
#define REMOVE_TIME    (1500 * DFF_MSEC)

void
returns_start(soak_t *soak)
{
	soak->returns_rng = g_rand_new_with_seed(soak->seed + 2);
	standin_set_era(soak->store, 1);
}

static bool
is_current(const soak_t *soak, const char *id)
{
	for (int i = 0; i < UPSTREAMS; i++) {
		const soak_upstream_t *up = &soak->upstreams[i];

		if (strcmp(up->id, id) == 0)
			return !up->crashed && up->restart_at == 0;
	}
	return false;
}

static void
remove_gone(soak_t *soak)
{
	GPtrArray *keys = standin_keys(soak->store, "keyed.servers");

	for (guint i = 0; i < keys->len; i++) {
		if (!is_current(soak, keys->pdata[i]))
			standin_put(
			    soak->store, "keyed.servers", keys->pdata[i], NULL);
	}
	g_ptr_array_unref(keys);
}

static void
return_store(soak_t *soak, dff_time_t now)
{
	soak_trace(soak, "store comes back from an older copy");
	standin_return(soak->store);
	soak->returned_at = now;
	soak->lost_from = soak->copied_at;
	soak->returns++;
	soak->store_last_fault = now;
	soak->return_at = 0;
	soak->rewrite_at = now +
	    g_rand_int_range(soak->returns_rng, 0, WRITE_MAX_MSEC) * DFF_MSEC;
	soak->remove_at = now + REMOVE_TIME;
}

void
returns_tick(soak_t *soak)
{
	dff_time_t now = dff_program_now();

	if (soak->rewrite_at != 0 && now >= soak->rewrite_at) {
		soak->rewrite_at = 0;
		standin_put(
		    soak->store, "keyed.op", "config", soak->config_text);
		soak->written_at = now;
	}
	if (soak->remove_at != 0 && now >= soak->remove_at) {
		soak->remove_at = 0;
		remove_gone(soak);
	}
	if (soak->return_at != 0 && now >= soak->return_at)
		return_store(soak, now);
	if (soak->return_at != 0 || now < soak->next_copy ||
	    now >= soak->faults_end - AGE_MAX_MSEC * DFF_MSEC)
		return;
	standin_save(soak->store);
	/* A copy also lacks what was not written again since the last. */
	if (soak->rewrite_at == 0)
		soak->copied_at = now;
	soak->return_at = now +
	    g_rand_int_range(soak->returns_rng, AGE_MIN_MSEC, AGE_MAX_MSEC) *
		DFF_MSEC;
	soak->next_copy = soak->return_at +
	    (dff_time_t)(2 * g_rand_double(soak->returns_rng) *
		(soak->duties != NULL ? DUTIES_MEAN_INTERVAL :
					COPY_MEAN_INTERVAL));
}
