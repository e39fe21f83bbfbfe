/*
 * Requests that crash the upstreams that run them. Such a request may crash
 * each upstream and be repeated at any node, also as several concurrent
 * copies.
 *
 * Evidence is kept for each content and upstream. Crashes of one upstream
 * follow one another, so that counts of several nodes are merged by their
 * maximum; crashes of different upstreams are added up, whichever node saw
 * them. Contents that merely shared an upstream with such a request are cleared
 * by their next answer.
 */
#include "relay/suspect_parts.h"

#include "base/fault.h"

/* Time for which a request is refused after its last crash. It doubles with
 * each further crash, up to the maximum number of doublings. */
#define REFUSAL_TIME	      (60 * DFF_SEC)
#define REFUSAL_DOUBLINGS_MAX 6
/* Evidence is kept for this multiple of the time of refusal, so that the next
 * crash counts as a further one. */
#define RETENTION_FACTOR 2
/* Most contents with evidence. */
#define SUSPECTS_MAX 4096
/* A run that broke off is attributed to a crash if its upstream is found dead
 * or restarted within this time: its record expires sooner. */
#define CONFIRM_TIME (5 * DFF_SEC)
/* The same for an unresponsive upstream: the record source may be unreachable
 * meanwhile. */
#define CONFIRM_TIME_UNRESPONSIVE (30 * DFF_SEC)
/* Longest time for the connection of a probe: several round trips. */
#define PROBE_TIME (350 * DFF_MSEC)
/* An upstream does not restart sooner: runs that break off there within this
 * time met the same crash. */
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
suspects_find_or_add(suspects_t *suspects, uint64_t content)
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
suspect_find_or_add_crash(suspect_t *suspect, uint32_t upstream)
{
	crash_t added = {.upstream = upstream};

	for (guint i = 0; i < suspect->crashes->len; i++) {
		crash_t *crash = &g_array_index(suspect->crashes, crash_t, i);

		if (crash->upstream == upstream)
			return crash;
	}
	g_array_append_val(suspect->crashes, added);
	return &g_array_index(
	    suspect->crashes, crash_t, suspect->crashes->len - 1);
}

uint32_t
suspect_count_crashes(const suspect_t *suspect)
{
	uint32_t count = 0;

	for (guint i = 0; i < suspect->crashes->len; i++)
		count += g_array_index(suspect->crashes, crash_t, i).count;
	return count;
}

dff_time_t
suspect_last_crash(const suspect_t *suspect)
{
	dff_time_t last = 0;

	for (guint i = 0; i < suspect->crashes->len; i++)
		last = MAX(
		    last, g_array_index(suspect->crashes, crash_t, i).last_at);
	return last;
}

/* Time after the last crash for which a request with this number of crashes is
 * refused. */
static dff_time_t
refusal_duration(uint32_t crashes)
{
	if (crashes < CRASHES_TO_REFUSE)
		return REFUSAL_TIME;
	return REFUSAL_TIME
	    << MIN(crashes - CRASHES_TO_REFUSE, REFUSAL_DOUBLINGS_MAX);
}

static void
log_crash(
    step_t *step, const broken_run_t *run, const upstream_t *up, uint32_t count)
{
	step->relay->counts[COUNT_RUNS_CRASHED]++;
	dff_log(step->ctx, DFF_LOG_NOTICE, "call",
	    "upstream crashed during request content=%016" G_GINT64_MODIFIER
	    "x upstream=%s crashes=%u age_ms=%" G_GINT64_FORMAT,
	    run->content, up->record.id, count,
	    (step->now - run->ended_at) / DFF_MSEC);
}

/* Logs a run without a confirmed crash of its upstream in time. */
static void
log_unconfirmed(step_t *step, const broken_run_t *run)
{
	const upstream_t *up =
	    upstreams_get(step->relay->upstreams, run->upstream);

	step->relay->counts[COUNT_BREAKS_FORGOTTEN]++;
	dff_log(step->ctx, DFF_LOG_INFO, "call",
	    "broken run was not attributed to a crash content=%016" G_GINT64_MODIFIER
	    "x upstream=%s age_ms=%" G_GINT64_FORMAT,
	    run->content, up != NULL ? up->record.id : "-",
	    (step->now - run->ended_at) / DFF_MSEC);
}

static void
count_crash(step_t *step, const broken_run_t *run, const upstream_t *up)
{
	suspect_t *suspect =
	    suspects_find_or_add(step->relay->suspects, run->content);
	crash_t *crash;

	if (suspect == NULL)
		return;
	crash = suspect_find_or_add_crash(suspect, up->hash);
	crash->seen_here = true;
	if (crash->count > 0 && run->sent_at <= crash->last_at + RESTART_MIN)
		return;
	crash->count++;
	crash->last_at = run->ended_at;
	crash->learned_at = step->now;
	log_crash(step, run, up, suspect_count_crashes(suspect));
	suspect_store_evidence(step, run->content, suspect);
	frame_schedule_update(step);
}

static dff_time_t
confirm_time(const broken_run_t *run)
{
	return run->unresponsive ? CONFIRM_TIME_UNRESPONSIVE : CONFIRM_TIME;
}

void
suspect_add_broken_run(step_t *step, const call_t *call)
{
	const upstream_t *up =
	    upstreams_get(step->relay->upstreams, call->send.upstream);
	broken_run_t run = {.content = call->content_hash,
	    .upstream = call->send.upstream,
	    .sent_at = call->send.sent_at,
	    .ended_at = step->now};

	/* An upstream that is leaving breaks off its last runs. */
	if (up == NULL || up->record.leaving)
		return;
	run.unresponsive = up->silent;
	g_array_append_val(step->relay->suspects->broken_runs, run);
}

void
suspect_confirm_crash(step_t *step, dff_handle_t upstream, bool sure)
{
	const upstream_t *up = upstreams_get(step->relay->upstreams, upstream);
	GArray *runs = step->relay->suspects->broken_runs;

	for (guint i = runs->len; up != NULL && i-- > 0;) {
		broken_run_t run = g_array_index(runs, broken_run_t, i);

		if (run.upstream != upstream || (run.connected && !sure))
			continue;
		g_array_remove_index_fast(runs, i);
		if (step->now - run.ended_at < confirm_time(&run))
			count_crash(step, &run, up);
		else
			log_unconfirmed(step, &run);
	}
}

/* ---- probes ---- */

bool
suspect_has_broken_run(const step_t *step, dff_handle_t upstream)
{
	const GArray *runs = step->relay->suspects->broken_runs;

	for (guint i = 0; i < runs->len; i++) {
		if (g_array_index(runs, broken_run_t, i).upstream == upstream)
			return true;
	}
	return false;
}

void
suspect_start_probe(step_t *step, dff_handle_t upstream)
{
	upstream_t *up = upstreams_get(step->relay->upstreams, upstream);
	dff_relay_effect_t *fx;

	if (up == NULL || up->probing || up->record.leaving ||
	    DFF_FAULT(RELAY_BREAKS_UNPROBED))
		return;
	up->probing = true;
	step->relay->counts[COUNT_PROBES]++;
	fx = relay_add_fx(step, DFF_RELAY_FX_PROBE);
	g_strlcpy(
	    fx->probe.upstream, up->record.id, sizeof(fx->probe.upstream));
	g_strlcpy(fx->probe.addr, up->record.addr, sizeof(fx->probe.addr));
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

/* Notes the result of a probe at runs that broke off before. */
static void
note_probe_result(
    suspects_t *suspects, dff_handle_t upstream, dff_probe_result_t reach)
{
	for (guint i = 0; i < suspects->broken_runs->len; i++) {
		broken_run_t *run =
		    &g_array_index(suspects->broken_runs, broken_run_t, i);

		if (run->upstream != upstream)
			continue;
		run->connected = reach == DFF_PROBE_ACCEPTED;
		run->unresponsive = reach == DFF_PROBE_INCONCLUSIVE;
	}
}

void
suspect_apply_probe(step_t *step, const dff_relay_probed_t *probed)
{
	dff_relay_t *relay = step->relay;
	dff_handle_t handle;
	upstream_t *up =
	    upstreams_find_id(relay->upstreams, probed->upstream, &handle);

	if (up == NULL)
		return;
	up->probing = false;
	dff_log(step->ctx, DFF_LOG_INFO, "upstream",
	    "upstream probed after a broken run id=%s reach=%s", up->record.id,
	    reach_name(probed->result));
	note_probe_result(relay->suspects, handle, probed->result);
	if (probed->result != DFF_PROBE_ACCEPTED)
		upstream_note_unreachable(up, step->now);
	if (probed->result == DFF_PROBE_REFUSED)
		suspect_confirm_crash(step, handle, true);
	relay_send_probed(step, handle);
}

/* ---- answers ---- */

void
suspect_remove_crashes(
    suspect_t *suspect, dff_time_t answered_at, bool seen, dff_time_t now)
{
	guint before = suspect->crashes->len;

	suspect->answered_at = MAX(suspect->answered_at, answered_at);
	for (guint i = before; i-- > 0;) {
		if (g_array_index(suspect->crashes, crash_t, i).last_at <=
		    answered_at)
			g_array_remove_index_fast(suspect->crashes, i);
	}
	if (suspect->crashes->len == before)
		return;
	suspect->answer_learned_at = now;
	suspect->answer_seen_here = seen;
}

void
suspect_clear_answered(step_t *step, uint64_t content)
{
	suspects_t *suspects = step->relay->suspects;
	suspect_t *suspect =
	    g_hash_table_lookup(suspects->by_content, &content);

	if (suspect == NULL || suspect->crashes->len == 0)
		return;
	dff_log(step->ctx, DFF_LOG_NOTICE, "call",
	    "request was answered, its crashes no longer count "
	    "content=%016" G_GINT64_MODIFIER "x crashes=%u",
	    content, suspect_count_crashes(suspect));
	suspect_remove_crashes(suspect, step->now, true, step->now);
	frame_schedule_update(step);
}

/* ---- refusal ---- */

dff_time_t
suspect_refusal_time(const dff_relay_t *relay, uint64_t content, dff_time_t now)
{
	const suspect_t *suspect =
	    g_hash_table_lookup(relay->suspects->by_content, &content);
	uint32_t crashes;
	dff_time_t until;

	if (suspect == NULL)
		return 0;
	crashes = suspect_count_crashes(suspect);
	until = suspect_last_crash(suspect) + refusal_duration(crashes);
	if (crashes < CRASHES_TO_REFUSE || DFF_FAULT(RELAY_POISON_SERVED))
		return 0;
	return MAX(until - now, 0);
}

bool
suspect_depends_on_probe(
    const step_t *step, uint64_t content, dff_handle_t upstream)
{
	const upstream_t *up = upstreams_get(step->relay->upstreams, upstream);
	const suspect_t *suspect =
	    g_hash_table_lookup(step->relay->suspects->by_content, &content);

	return up != NULL && up->probing && suspect != NULL &&
	    suspect_count_crashes(suspect) + 1 >= CRASHES_TO_REFUSE;
}

dff_time_t
suspect_retention_time(uint32_t crashes)
{
	return RETENTION_FACTOR * refusal_duration(crashes);
}

static bool
is_expired(const suspect_t *suspect, dff_time_t now)
{
	dff_time_t retention =
	    suspect_retention_time(suspect_count_crashes(suspect));

	return now - MAX(suspect_last_crash(suspect), suspect->answered_at) >=
	    retention;
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

		if (step->now - run.ended_at < confirm_time(&run))
			continue;
		log_unconfirmed(step, &run);
		g_array_remove_index_fast(suspects->broken_runs, i);
	}
	g_hash_table_iter_init(&iter, suspects->by_content);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (is_expired(value, step->now))
			g_hash_table_iter_remove(&iter);
	}
}
