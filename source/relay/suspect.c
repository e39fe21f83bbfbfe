/*
 * Requests that break the upstreams that run them. Load answered: one
 * request that crashes each upstream and comes again at any node.
 */
#include "relay/parts.h"

/* Upstreams that one request may break before it is refused. */
#define BREAKS_MAX 2
/* How long a suspect is remembered: callers come again for some time. */
#define SUSPECT_LIFE (60 * DFF_SEC)
/* A run that broke off is put down to a crash if its upstream is found dead
 * or started anew within this time: its record lapses in less. */
#define CONFIRM_TIME (5 * DFF_SEC)

static suspect_t *
take_suspect(dff_relay_t *relay, uint64_t content)
{
	suspect_t *suspect = g_hash_table_lookup(relay->suspects, &content);

	if (suspect != NULL)
		return suspect;
	suspect = g_new0(suspect_t, 1);
	g_hash_table_insert(
	    relay->suspects, g_memdup2(&content, sizeof(content)), suspect);
	return suspect;
}

void
suspect_note(step_t *step, const call_t *call)
{
	broken_run_t run = {.content = call->content,
	    .upstream = call->send.upstream,
	    .at = step->now};

	g_array_append_val(step->relay->broken_runs, run);
}

static void
log_crash(step_t *step, const broken_run_t *run, uint32_t crashes)
{
	const upstream_t *up =
	    upstreams_get(step->relay->upstreams, run->upstream);

	step->relay->counts[COUNT_RUNS_CRASHED]++;
	dff_log(step->ctx, DFF_LOG_NOTICE, "call",
	    "upstream crashed during request content=%016" G_GINT64_MODIFIER
	    "x upstream=%s crashes=%u age_ms=%" G_GINT64_FORMAT,
	    run->content, up != NULL ? up->news.id : "-", crashes,
	    (step->now - run->at) / DFF_MSEC);
}

/* Nothing said in time that its upstream had crashed. */
static void
log_forgotten(step_t *step, const broken_run_t *run)
{
	const upstream_t *up =
	    upstreams_get(step->relay->upstreams, run->upstream);

	step->relay->counts[COUNT_BREAKS_FORGOTTEN]++;
	dff_log(step->ctx, DFF_LOG_INFO, "call",
	    "broken run is not put down to a crash content=%016" G_GINT64_MODIFIER
	    "x upstream=%s age_ms=%" G_GINT64_FORMAT,
	    run->content, up != NULL ? up->news.id : "-",
	    (step->now - run->at) / DFF_MSEC);
}

void
suspect_confirm(step_t *step, dff_handle_t upstream)
{
	GArray *runs = step->relay->broken_runs;

	for (guint i = runs->len; i-- > 0;) {
		broken_run_t run = g_array_index(runs, broken_run_t, i);
		suspect_t *suspect;

		if (run.upstream != upstream &&
		    step->now - run.at < CONFIRM_TIME)
			continue;
		g_array_remove_index_fast(runs, i);
		if (run.upstream != upstream ||
		    step->now - run.at >= CONFIRM_TIME) {
			log_forgotten(step, &run);
			continue;
		}
		suspect = take_suspect(step->relay, run.content);
		suspect->count++;
		suspect->last = step->now;
		log_crash(step, &run, suspect->count);
	}
}

void
suspect_load(step_t *step, const peer_t *peer, uint64_t content, uint32_t count)
{
	suspect_t *suspect = take_suspect(step->relay, content);

	if (count > suspect->count)
		dff_log(step->ctx, DFF_LOG_NOTICE, "call",
		    "peer tells of crashes content=%016" G_GINT64_MODIFIER
		    "x crashes=%u before=%u told_by=%s",
		    content, count, suspect->count,
		    peer->node != NULL ? peer->node : peer->addr);
	suspect->count = MAX(suspect->count, count);
	suspect->last = step->now;
}

bool
suspect_is_poison(const dff_relay_t *relay, uint64_t content, dff_time_t now)
{
	const suspect_t *suspect =
	    g_hash_table_lookup(relay->suspects, &content);

	return suspect != NULL && suspect->count >= BREAKS_MAX &&
	    now - suspect->last < SUSPECT_LIFE;
}

void
suspect_sweep(dff_relay_t *relay, dff_time_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, relay->suspects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (now - ((suspect_t *)value)->last >= SUSPECT_LIFE)
			g_hash_table_iter_remove(&iter);
	}
}
