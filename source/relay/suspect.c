/*
 * Requests that crash the upstreams that run them. Such a request may crash
 * each upstream and be repeated at any node, also as several concurrent
 * copies. So may all requests with one part of a prompt in common.
 *
 * Evidence is kept for each key and upstream; keys are the content of a
 * request and each part of its prompt but the last, which is its own. Crashes
 * of one upstream follow one another, so that counts of several nodes are
 * merged by their maximum; crashes of different upstreams are added up,
 * whichever node saw them. Contents and parts that merely shared an upstream
 * with such a request are cleared by their next answer. Parts that were
 * answered just before a crash are not suspected at all.
 */
#include "relay/suspect_parts.h"

#include "base/fault.h"
#include "relay/reach.h"

/* Most keys with evidence. */
#define SUSPECTS_MAX 16384
/* A run that broke off is attributed to a crash if its upstream is found dead
 * or restarted within this time: its record expires sooner. */
#define CONFIRM_TIME (5 * DFF_SEC)
/* The same for an unresponsive upstream: the record source may be unreachable
 * meanwhile. */
#define CONFIRM_TIME_UNRESPONSIVE (30 * DFF_SEC)
/* The same for a run that this node gave up: until the record expires, and the
 * record source is read. */
#define CONFIRM_TIME_CANCELLED (10 * DFF_SEC)
/* Most keys of runs that were given up and not answered since. */
#define CANCELLED_RUNS_MAX 4096
/* Longest time for the connection of a probe: several round trips. */
#define PROBE_TIME (350 * DFF_MSEC)
/* Evidence against a part is stored once it has held for this time: answers
 * that clear sound parts arrive from all nodes meanwhile. */
#define PART_STORE_DELAY DFF_SEC

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

	suspects->by_key = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, free_suspect);
	suspects->answered = answered_parts_new();
	suspects->crash_events =
	    g_array_new(FALSE, FALSE, sizeof(crash_event_t));
	suspects->refused_parts = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	suspects->broken_runs = g_array_new(FALSE, FALSE, sizeof(broken_run_t));
	return suspects;
}

void
suspects_drop(suspects_t *suspects)
{
	g_hash_table_unref(suspects->by_key);
	answered_parts_drop(suspects->answered);
	g_array_unref(suspects->crash_events);
	g_array_unref(suspects->refused_parts);
	g_array_unref(suspects->broken_runs);
	g_free(suspects);
}

/* ---- evidence ---- */

suspect_t *
suspects_find_or_add(suspects_t *suspects, uint64_t key)
{
	suspect_t *suspect = suspects_find(suspects, key);

	if (suspect != NULL)
		return suspect;
	if (g_hash_table_size(suspects->by_key) >= SUSPECTS_MAX)
		return NULL;
	suspect = g_new0(suspect_t, 1);
	suspect->crashes = g_array_new(FALSE, FALSE, sizeof(crash_t));
	suspect->crashes_to_refuse = suspect_threshold(suspects, key);
	g_hash_table_insert(
	    suspects->by_key, g_memdup2(&key, sizeof(key)), suspect);
	return suspect;
}

static crash_t *
suspect_find_crash(const suspect_t *suspect, uint32_t upstream)
{
	for (guint i = 0; i < suspect->crashes->len; i++) {
		crash_t *crash = &g_array_index(suspect->crashes, crash_t, i);

		if (crash->upstream == upstream)
			return crash;
	}
	return NULL;
}

crash_t *
suspect_find_or_add_crash(suspect_t *suspect, uint32_t upstream)
{
	crash_t added = {.upstream = upstream};
	crash_t *crash = suspect_find_crash(suspect, upstream);

	if (crash != NULL)
		return crash;
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

bool
suspect_saw_crash(const suspect_t *suspect)
{
	for (guint i = 0; i < suspect->crashes->len; i++) {
		if (g_array_index(suspect->crashes, crash_t, i).seen_here)
			return true;
	}
	return false;
}

static void
log_crash(
    step_t *step, const broken_run_t *run, const upstream_t *up, uint32_t count)
{
	/* Of the parts, only those that were in two crashes are few. */
	if (suspect_is_part(run->key) && count < 2)
		return;
	dff_log(step->ctx, DFF_LOG_NOTICE, "call",
	    "upstream crashed during request %s=%016" G_GINT64_MODIFIER
	    "x upstream=%s crashes=%u age_ms=%" G_GINT64_FORMAT,
	    suspect_key_name(run->key), run->key, up->record.id, count,
	    (step->now - run->ended_at) / DFF_MSEC);
}

/* Logs a run without a confirmed crash of its upstream in time. */
static void
log_unconfirmed(step_t *step, const broken_run_t *run)
{
	const upstream_t *up =
	    upstreams_get(step->relay->upstreams, run->upstream);

	if (suspect_is_part(run->key) || run->cancelled)
		return;
	step->relay->counts[COUNT_BREAKS_FORGOTTEN]++;
	dff_log(step->ctx, DFF_LOG_INFO, "call",
	    "broken run was not attributed to a crash content=%016" G_GINT64_MODIFIER
	    "x upstream=%s age_ms=%" G_GINT64_FORMAT,
	    run->key, up != NULL ? up->record.id : "-",
	    (step->now - run->ended_at) / DFF_MSEC);
}

static void
count_crash(step_t *step, const broken_run_t *run, const upstream_t *up)
{
	suspect_t *suspect =
	    suspects_find_or_add(step->relay->suspects, run->key);
	crash_t *crash;

	if (suspect == NULL || run->ended_at <= suspect->answered_at)
		return;
	crash = suspect_find_or_add_crash(suspect, up->hash);
	crash->seen_here = true;
	if (crash->count > 0 && run->sent_at <= crash->last_at + RESTART_MIN)
		return;
	crash->count++;
	crash->started_ms = run->started_ms;
	crash->last_at = run->ended_at;
	crash->learned_at = step->now;
	suspect_note_crash(step, run->key, suspect, crash);
	if (!suspect_is_part(run->key)) {
		step->relay->counts[COUNT_RUNS_CRASHED]++;
		suspect_store_evidence(step, run->key, suspect);
	}
	log_crash(step, run, up, suspect_count_crashes(suspect));
	frame_schedule_update(step);
}

static dff_time_t
confirm_time(const broken_run_t *run)
{
	if (run->cancelled)
		return CONFIRM_TIME_CANCELLED;
	return run->unresponsive ? CONFIRM_TIME_UNRESPONSIVE : CONFIRM_TIME;
}

static void
add_run(step_t *step, const call_t *call, bool cancelled)
{
	suspects_t *suspects = step->relay->suspects;
	const upstream_t *up =
	    upstreams_get(step->relay->upstreams, call->send.upstream);
	broken_run_t run = {.upstream = call->send.upstream,
	    .started_ms = call->send.upstream_started_ms,
	    .sent_at = call->send.sent_at,
	    .ended_at = step->now,
	    .cancelled = cancelled};
	uint64_t keys[SUSPECT_KEYS_MAX];
	size_t count =
	    suspect_list_keys(call->content_hash, &call->prompt, keys);

	/* An upstream that is leaving breaks off its last runs. */
	if (up == NULL || up->record.leaving)
		return;
	run.unresponsive = up->silent;
	for (size_t i = 0; i < count; i++) {
		if (answered_parts_is_recent(
			suspects->answered, keys[i], step->now))
			continue;
		run.key = keys[i];
		g_array_append_val(suspects->broken_runs, run);
	}
}

void
suspect_add_broken_run(step_t *step, const call_t *call)
{
	add_run(step, call, false);
}

void
suspect_add_cancelled_run(step_t *step, const call_t *call)
{
	const send_t *send = &call->send;
	const upstream_t *up =
	    upstreams_get(step->relay->upstreams, send->upstream);

	/* Runs at a silent upstream are evidence without more. */
	if (send->number == 0 || send->to_peer || send->head_seen ||
	    up == NULL || up->silent ||
	    step->relay->suspects->broken_runs->len >= CANCELLED_RUNS_MAX ||
	    DFF_FAULT(RELAY_CANCELLED_UNSUSPECTED))
		return;
	add_run(step, call, true);
}

void
suspect_note_byte(step_t *step, dff_handle_t upstream)
{
	GArray *runs = step->relay->suspects->broken_runs;

	for (guint i = runs->len; i-- > 0;) {
		const broken_run_t *run = &g_array_index(runs, broken_run_t, i);

		if (run->upstream == upstream && run->cancelled)
			g_array_remove_index_fast(runs, i);
	}
}

/* Whether the run was sent to a process that was down already, as far as is
 * known: that which crashed last, and it has not answered since. */
static bool
is_after_crash(
    const suspects_t *suspects, const broken_run_t *run, const upstream_t *up)
{
	const suspect_t *suspect = suspects_find(suspects, run->key);
	const crash_t *crash =
	    suspect != NULL ? suspect_find_crash(suspect, up->hash) : NULL;

	return crash != NULL && run->started_ms != 0 &&
	    crash->started_ms == run->started_ms &&
	    run->sent_at > crash->last_at + RESTART_MIN &&
	    (up->record.started_ms != run->started_ms ||
		up->answered_at <= crash->last_at) &&
	    !DFF_FAULT(RELAY_CRASHES_OF_DEAD_COUNT);
}

void
suspect_confirm_crash(step_t *step, dff_handle_t upstream, bool sure)
{
	const upstream_t *up = upstreams_get(step->relay->upstreams, upstream);
	GArray *runs = step->relay->suspects->broken_runs;

	for (guint i = runs->len; up != NULL && i-- > 0;) {
		broken_run_t run = g_array_index(runs, broken_run_t, i);

		if (run.upstream != upstream || (run.connected && !sure) ||
		    (run.cancelled && up->record.leaving) ||
		    is_after_crash(step->relay->suspects, &run, up))
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
		const broken_run_t *run = &g_array_index(runs, broken_run_t, i);

		if (run->upstream == upstream && !run->cancelled)
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
	up->probed_at = step->now;
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

/* The upstream is down: this node reached another one since its probe began. */
static void
settle_probe(step_t *step, dff_handle_t upstream, upstream_t *up)
{
	up->probe_failed = false;
	upstream_doubt_process(up, step->now);
	if (up->probe_refused)
		suspect_confirm_crash(step, upstream, true);
	relay_send_probed(step, upstream);
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
	if (probed->result == DFF_PROBE_ACCEPTED) {
		reach_note_accepted(step, up);
		relay_send_probed(step, handle);
		return;
	}
	/* Of one that sends nothing this is known already. */
	if (!up->silent)
		upstream_note_unreachable(up, step->now);
	up->probe_failed = true;
	up->probe_refused = probed->result == DFF_PROBE_REFUSED;
	if (reach_is_proved(relay, up->probed_at, step->now))
		settle_probe(step, handle, up);
	else
		reach_note_refused(step, up);
}

void
suspect_settle_probes(step_t *step)
{
	upstream_t *up;

	for (dff_handle_t h = 0;
	     (h = upstreams_next(step->relay->upstreams, h, &up)) != 0;) {
		if (up->probe_failed)
			settle_probe(step, h, up);
	}
}

void
suspect_release_probed(step_t *step)
{
	upstream_t *up;

	for (dff_handle_t h = 0;
	     (h = upstreams_next(step->relay->upstreams, h, &up)) != 0;) {
		if (up->probe_failed)
			relay_send_probed(step, h);
	}
}

void
suspect_forget_probes(step_t *step)
{
	upstream_t *up;

	for (dff_handle_t h = 0;
	     (h = upstreams_next(step->relay->upstreams, h, &up)) != 0;)
		up->probe_failed = false;
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
	if (suspect->crashes->len == 0)
		suspect->first_at = 0;
	suspect->answer_learned_at = now;
	suspect->answer_seen_here = seen;
}

static void
clear_key(step_t *step, uint64_t key)
{
	suspects_t *suspects = step->relay->suspects;
	suspect_t *suspect = suspects_find(suspects, key);

	if (suspect_is_part(key))
		answered_parts_note(suspects->answered, key, step->now);
	if (suspect != NULL)
		suspect->crashes_to_refuse = suspect_threshold(suspects, key);
	if (suspect == NULL || suspect->crashes->len == 0)
		return;
	if (!suspect_is_part(key) || suspect_count_crashes(suspect) > 1)
		dff_log(step->ctx, DFF_LOG_NOTICE, "call",
		    "request was answered, its crashes no longer count "
		    "%s=%016" G_GINT64_MODIFIER "x crashes=%u",
		    suspect_key_name(key), key, suspect_count_crashes(suspect));
	suspect_remove_crashes(suspect, step->now, true, step->now);
	frame_schedule_update(step);
}

void
suspect_clear_answered(step_t *step, const call_t *call)
{
	uint64_t keys[SUSPECT_KEYS_MAX];
	size_t count =
	    suspect_list_keys(call->content_hash, &call->prompt, keys);

	for (size_t i = 0; i < count; i++)
		clear_key(step, keys[i]);
}

static bool
is_expired(const suspect_t *suspect, dff_time_t now)
{
	return now - MAX(suspect_last_crash(suspect), suspect->answered_at) >=
	    suspect_retention_time(suspect, suspect_count_crashes(suspect));
}

/* Stores the evidence against a part that has been refused for a while. */
static void
store_part(step_t *step, uint64_t key, suspect_t *suspect)
{
	uint32_t crashes = suspect_count_crashes(suspect);

	if (suspect_is_part(key) && crashes > suspect->stored_crashes &&
	    suspect_is_refused(suspect, step->now) &&
	    suspect_saw_crash(suspect) &&
	    step->now - suspect_last_crash(suspect) >= PART_STORE_DELAY)
		suspect_store_evidence(step, key, suspect);
}

static void
sweep_broken_runs(step_t *step)
{
	GArray *runs = step->relay->suspects->broken_runs;

	for (guint i = runs->len; i-- > 0;) {
		const broken_run_t run = g_array_index(runs, broken_run_t, i);

		if (step->now - run.ended_at < confirm_time(&run))
			continue;
		log_unconfirmed(step, &run);
		g_array_remove_index_fast(runs, i);
	}
}

void
suspect_sweep(step_t *step)
{
	suspects_t *suspects = step->relay->suspects;
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	sweep_broken_runs(step);
	answered_parts_sweep(suspects->answered, step->now);
	suspect_sweep_refused(step);
	g_hash_table_iter_init(&iter, suspects->by_key);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		store_part(step, *(uint64_t *)key, value);
		if (is_expired(value, step->now))
			g_hash_table_iter_remove(&iter);
	}
}
