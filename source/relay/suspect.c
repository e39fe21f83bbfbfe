/*
 * Requests that break the upstreams that run them. Load answered: one
 * request that crashes each upstream and comes again at any node, also as
 * several copies at one moment.
 *
 * Evidence is kept for each content and upstream. Crashes of one upstream
 * come one after the other, so that what nodes know of it is joined by the
 * maximum; crashes of several upstreams add up, whoever saw them. Contents
 * that merely shared an upstream with such a request are cleared by their next
 * answer.
 */
#include "relay/suspect_parts.h"

#include "base/fault.h"

/* A request is refused for so long after its last crash; twice as long with
 * each further one, up to the most. */
#define REFUSE_TIME	 (60 * DFF_SEC)
#define REFUSE_DOUBLINGS 6
/* A crash is remembered for this many times as long as it gets a request
 * refused, so that the next one counts as a further one. */
#define REMEMBER_FACTOR 2
/* Requests that are remembered. */
#define SUSPECTS_MAX 4096
/* A run that broke off is put down to a crash if its upstream is found dead
 * or started anew within this time: its record lapses in less. */
#define CONFIRM_TIME (5 * DFF_SEC)
/* The same where nothing is heard of the upstream: the record source may be
 * out of reach meanwhile. */
#define CONFIRM_TIME_SILENT (30 * DFF_SEC)
/* Longest time for the connection of a probe: some round trips. */
#define PROBE_TIME (350 * DFF_MSEC)
/* An upstream does not start again sooner: runs that break off there within
 * this time met the same crash. */
#define RESTART_MIN (500 * DFF_MSEC)

static void
free_suspect(void *data)
{
	suspect_t *suspect = data;

	g_array_unref(suspect->crashes);
	g_free(suspect);
}

suspects_t *
suspects_new(void)
{
	suspects_t *suspects = g_new0(suspects_t, 1);

	suspects->by_content = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, free_suspect);
	suspects->broken_runs = g_array_new(FALSE, FALSE, sizeof(broken_run_t));
	return suspects;
}

void
suspects_drop(suspects_t *suspects)
{
	g_hash_table_unref(suspects->by_content);
	g_array_unref(suspects->broken_runs);
	g_free(suspects);
}

/* ---- evidence ---- */

suspect_t *
suspects_take(suspects_t *suspects, uint64_t content)
{
	suspect_t *suspect =
	    g_hash_table_lookup(suspects->by_content, &content);

	if (suspect != NULL)
		return suspect;
	if (g_hash_table_size(suspects->by_content) >= SUSPECTS_MAX)
		return NULL;
	suspect = g_new0(suspect_t, 1);
	suspect->crashes = g_array_new(FALSE, FALSE, sizeof(crash_t));
	g_hash_table_insert(suspects->by_content,
	    g_memdup2(&content, sizeof(content)), suspect);
	return suspect;
}

crash_t *
suspect_take_crash(suspect_t *suspect, uint32_t upstream)
{
	crash_t none = {.upstream = upstream};

	for (guint i = 0; i < suspect->crashes->len; i++) {
		crash_t *crash = &g_array_index(suspect->crashes, crash_t, i);

		if (crash->upstream == upstream)
			return crash;
	}
	g_array_append_val(suspect->crashes, none);
	return &g_array_index(
	    suspect->crashes, crash_t, suspect->crashes->len - 1);
}

uint32_t
suspect_count(const suspect_t *suspect)
{
	uint32_t count = 0;

	for (guint i = 0; i < suspect->crashes->len; i++)
		count += g_array_index(suspect->crashes, crash_t, i).count;
	return count;
}

dff_time_t
suspect_last(const suspect_t *suspect)
{
	dff_time_t last = 0;

	for (guint i = 0; i < suspect->crashes->len; i++)
		last =
		    MAX(last, g_array_index(suspect->crashes, crash_t, i).at);
	return last;
}

/* How long after its last crash a request with so many is refused. */
static dff_time_t
refuse_time(uint32_t crashes)
{
	if (crashes < BREAKS_MAX)
		return REFUSE_TIME;
	return REFUSE_TIME << MIN(crashes - BREAKS_MAX, REFUSE_DOUBLINGS);
}

static void
log_crash(
    step_t *step, const broken_run_t *run, const upstream_t *up, uint32_t count)
{
	step->relay->counts[COUNT_RUNS_CRASHED]++;
	dff_log(step->ctx, DFF_LOG_NOTICE, "call",
	    "upstream crashed during request content=%016" G_GINT64_MODIFIER
	    "x upstream=%s crashes=%u age_ms=%" G_GINT64_FORMAT,
	    run->content, up->news.id, count, (step->now - run->at) / DFF_MSEC);
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

static void
note_crash(step_t *step, const broken_run_t *run, const upstream_t *up)
{
	suspect_t *suspect = suspects_take(step->relay->suspects, run->content);
	crash_t *crash;

	if (suspect == NULL)
		return;
	crash = suspect_take_crash(suspect, up->hash);
	crash->seen = true;
	if (crash->count > 0 && run->sent_at <= crash->at + RESTART_MIN)
		return;
	crash->count++;
	crash->at = run->at;
	crash->learned_at = step->now;
	log_crash(step, run, up, suspect_count(suspect));
	suspect_keep(step, run->content, suspect);
	tell_note_send(step);
}

static dff_time_t
confirm_time(const broken_run_t *run)
{
	return run->silent ? CONFIRM_TIME_SILENT : CONFIRM_TIME;
}

void
suspect_note(step_t *step, const call_t *call)
{
	const upstream_t *up =
	    upstreams_get(step->relay->upstreams, call->send.upstream);
	broken_run_t run = {.content = call->content_hash,
	    .upstream = call->send.upstream,
	    .sent_at = call->send.sent_at,
	    .at = step->now};

	/* Who leaves ends its last runs with itself. */
	if (up == NULL || up->news.leaving)
		return;
	run.silent = up->silent;
	g_array_append_val(step->relay->suspects->broken_runs, run);
}

void
suspect_confirm(step_t *step, dff_handle_t upstream, bool sure)
{
	const upstream_t *up = upstreams_get(step->relay->upstreams, upstream);
	GArray *runs = step->relay->suspects->broken_runs;

	for (guint i = runs->len; up != NULL && i-- > 0;) {
		broken_run_t run = g_array_index(runs, broken_run_t, i);

		if (run.upstream != upstream || (run.taken && !sure))
			continue;
		g_array_remove_index_fast(runs, i);
		if (step->now - run.at < confirm_time(&run))
			note_crash(step, &run, up);
		else
			log_forgotten(step, &run);
	}
}

/* ---- probes ---- */

bool
suspect_waits(const step_t *step, dff_handle_t upstream)
{
	const GArray *runs = step->relay->suspects->broken_runs;

	for (guint i = 0; i < runs->len; i++) {
		if (g_array_index(runs, broken_run_t, i).upstream == upstream)
			return true;
	}
	return false;
}

void
suspect_probe(step_t *step, dff_handle_t upstream)
{
	upstream_t *up = upstreams_get(step->relay->upstreams, upstream);
	dff_relay_effect_t *fx;

	if (up == NULL || up->probing || up->news.leaving ||
	    DFF_FAULT(RELAY_BREAKS_UNPROBED))
		return;
	up->probing = true;
	step->relay->counts[COUNT_PROBES]++;
	fx = relay_add_fx(step, DFF_RELAY_FX_PROBE);
	g_strlcpy(fx->probe.upstream, up->news.id, sizeof(fx->probe.upstream));
	g_strlcpy(fx->probe.addr, up->news.addr, sizeof(fx->probe.addr));
	fx->probe.connect_time = PROBE_TIME;
}

static const char *
reach_name(dff_probe_result_t reach)
{
	switch (reach) {
	case DFF_PROBE_ACCEPTED:
		return "taken";
	case DFF_PROBE_REFUSED:
		return "refused";
	case DFF_PROBE_INCONCLUSIVE:
		return "silent";
	}
	g_assert_not_reached();
}

/* What a probe says of runs that broke off before. */
static void
mark_runs(suspects_t *suspects, dff_handle_t upstream, dff_probe_result_t reach)
{
	for (guint i = 0; i < suspects->broken_runs->len; i++) {
		broken_run_t *run =
		    &g_array_index(suspects->broken_runs, broken_run_t, i);

		if (run->upstream != upstream)
			continue;
		run->taken = reach == DFF_PROBE_ACCEPTED;
		run->silent = reach == DFF_PROBE_INCONCLUSIVE;
	}
}

void
suspect_take_probe(step_t *step, const dff_relay_probed_t *probed)
{
	dff_relay_t *relay = step->relay;
	dff_handle_t handle;
	upstream_t *up =
	    upstreams_find_id(relay->upstreams, probed->upstream, &handle);

	if (up == NULL)
		return;
	up->probing = false;
	dff_log(step->ctx, DFF_LOG_INFO, "upstream",
	    "connection tried after a run broke off id=%s reach=%s",
	    up->news.id, reach_name(probed->result));
	mark_runs(relay->suspects, handle, probed->result);
	if (probed->result != DFF_PROBE_ACCEPTED)
		upstream_note_unreachable(up, step->now);
	if (probed->result == DFF_PROBE_REFUSED)
		suspect_confirm(step, handle, true);
	relay_send_probed(step, handle);
}

/* ---- answers ---- */

void
suspect_drop_crashes(
    suspect_t *suspect, dff_time_t answered_at, bool seen, dff_time_t now)
{
	guint before = suspect->crashes->len;

	suspect->answered_at = MAX(suspect->answered_at, answered_at);
	for (guint i = before; i-- > 0;) {
		if (g_array_index(suspect->crashes, crash_t, i).at <=
		    answered_at)
			g_array_remove_index_fast(suspect->crashes, i);
	}
	if (suspect->crashes->len == before)
		return;
	suspect->answer_learned_at = now;
	suspect->answer_seen = seen;
}

void
suspect_clear(step_t *step, uint64_t content)
{
	suspects_t *suspects = step->relay->suspects;
	suspect_t *suspect =
	    g_hash_table_lookup(suspects->by_content, &content);

	if (suspect == NULL || suspect->crashes->len == 0)
		return;
	dff_log(step->ctx, DFF_LOG_NOTICE, "call",
	    "request is answered, its crashes do not count any more "
	    "content=%016" G_GINT64_MODIFIER "x crashes=%u",
	    content, suspect_count(suspect));
	suspect_drop_crashes(suspect, step->now, true, step->now);
	tell_note_send(step);
}

/* ---- the verdict ---- */

dff_time_t
suspect_refused_for(const dff_relay_t *relay, uint64_t content, dff_time_t now)
{
	const suspect_t *suspect =
	    g_hash_table_lookup(relay->suspects->by_content, &content);
	uint32_t crashes;
	dff_time_t until;

	if (suspect == NULL)
		return 0;
	crashes = suspect_count(suspect);
	until = suspect_last(suspect) + refuse_time(crashes);
	if (crashes < BREAKS_MAX || DFF_FAULT(RELAY_POISON_SERVED))
		return 0;
	return MAX(until - now, 0);
}

bool
suspect_hangs_on_probe(
    const step_t *step, uint64_t content, dff_handle_t upstream)
{
	const upstream_t *up = upstreams_get(step->relay->upstreams, upstream);
	const suspect_t *suspect =
	    g_hash_table_lookup(step->relay->suspects->by_content, &content);

	return up != NULL && up->probing && suspect != NULL &&
	    suspect_count(suspect) + 1 >= BREAKS_MAX;
}

dff_time_t
suspect_remember_time(uint32_t crashes)
{
	return REMEMBER_FACTOR * refuse_time(crashes);
}

static bool
is_over(const suspect_t *suspect, dff_time_t now)
{
	dff_time_t life = suspect_remember_time(suspect_count(suspect));

	return now - MAX(suspect_last(suspect), suspect->answered_at) >= life;
}

void
suspect_sweep(step_t *step)
{
	suspects_t *suspects = step->relay->suspects;
	GHashTableIter iter;
	gpointer value;

	for (guint i = suspects->broken_runs->len; i-- > 0;) {
		const broken_run_t run =
		    g_array_index(suspects->broken_runs, broken_run_t, i);

		if (step->now - run.at < confirm_time(&run))
			continue;
		log_forgotten(step, &run);
		g_array_remove_index_fast(suspects->broken_runs, i);
	}
	g_hash_table_iter_init(&iter, suspects->by_content);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (is_over(value, step->now))
			g_hash_table_iter_remove(&iter);
	}
}
