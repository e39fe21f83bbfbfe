/*
 * Evidence against requests that crash upstreams: reporting it in frames,
 * merging that of peers, and storing it beyond the life of the fleet.
 */
#include "relay/suspect_parts.h"

#include "base/fault.h"

/* New evidence is reported for this time after this node learned of it, in
 * several frames, as frames get lost. */
#define REPORT_TIME (2 * DFF_SEC)

void
suspect_store_evidence(step_t *step, uint64_t key, suspect_t *suspect)
{
	dff_relay_effect_t *fx;
	dff_crash_report_t *evidence;

	if (suspect_count_crashes(suspect) < suspect->crashes_to_refuse ||
	    DFF_FAULT(RELAY_EVIDENCE_UNKEPT))
		return;
	suspect->stored_crashes = suspect_count_crashes(suspect);
	fx = relay_add_fx(step, DFF_RELAY_FX_STORE_CRASHES);
	evidence = &fx->crash_report;
	evidence->content_hash = key;
	evidence->age = step->now - suspect_last_crash(suspect);
	for (guint i = 0; i < suspect->crashes->len && i < DFF_CRASH_REPORT_MAX;
	     i++) {
		const crash_t *crash =
		    &g_array_index(suspect->crashes, crash_t, i);

		evidence->crashes[i].upstream = crash->upstream;
		evidence->crashes[i].count = crash->count;
		evidence->count++;
	}
}

/* Merges a count of crashes of one upstream; returns whether it was new. */
static bool
merge_crash(step_t *step, uint64_t key, suspect_t *suspect, uint32_t upstream,
    uint32_t count, dff_time_t at)
{
	const upstream_t *up = upstreams_find(step->relay->upstreams, upstream);
	crash_t *crash;

	if (at <= suspect->answered_at)
		return false;
	crash = suspect_find_or_add_crash(suspect, upstream);
	if (count <= crash->count)
		return false;
	crash->count = count;
	/* A record that was read later is not of the process that crashed. */
	crash->started_ms =
	    up != NULL && at >= up->restarted_at ? up->record.started_ms : 0;
	crash->last_at = at;
	crash->learned_at = step->now;
	suspect_note_crash(step, key, suspect, crash);
	return true;
}

static void
log_peer_crash(step_t *step, const peer_t *peer, const Dff__RelayCrash *row,
    uint32_t crashes)
{
	if (suspect_is_part(row->content) && crashes < 2)
		return;
	dff_log(step->ctx, DFF_LOG_NOTICE, "call",
	    "peer reported a crash during request %s=%016" G_GINT64_MODIFIER
	    "x crashes=%u age_ms=%u told_by=%s",
	    suspect_key_name(row->content), row->content, crashes, row->age_ms,
	    peer->node != NULL ? peer->node : peer->addr);
}

void
suspect_apply_peer_crash(
    step_t *step, const peer_t *peer, const Dff__RelayCrash *row)
{
	dff_time_t at = step->now - (dff_time_t)row->age_ms * DFF_MSEC;
	suspects_t *suspects = step->relay->suspects;
	suspect_t *suspect = suspects_find_or_add(suspects, row->content);
	dff_time_t answered_at;

	if (suspect == NULL)
		return;
	if (row->answered) {
		suspect_remove_crashes(suspect, at, false, step->now);
		return;
	}
	/* The peer does not know of the answer that this node received. */
	if (at <= suspect->answered_at && suspect->answer_seen_here)
		suspect->answer_learned_at = step->now;
	if (!merge_crash(
		step, row->content, suspect, row->upstream, row->count, at))
		return;
	answered_at = answered_parts_last(suspects->answered, row->content);
	if (answered_at > at) {
		suspect_remove_crashes(suspect, answered_at, true, step->now);
		return;
	}
	log_peer_crash(step, peer, row, suspect_count_crashes(suspect));
	/* Nodes that saw one of the crashes store the whole: these are few. */
	if (!suspect_is_part(row->content) && suspect_saw_crash(suspect))
		suspect_store_evidence(step, row->content, suspect);
}

void
suspect_restore_evidence(step_t *step, const dff_crash_report_t *evidence)
{
	dff_time_t at = step->now - evidence->age;
	suspect_t *suspect;
	uint32_t crashes = 0;
	bool is_new = false;

	suspect =
	    suspects_find_or_add(step->relay->suspects, evidence->content_hash);
	if (suspect == NULL)
		return;
	for (size_t i = 0; i < evidence->count; i++)
		crashes += evidence->crashes[i].count;
	if (evidence->age >= suspect_retention_time(suspect, crashes) &&
	    !DFF_FAULT(RELAY_EXPIRED_EVIDENCE_LOADED))
		return;
	for (size_t i = 0; i < evidence->count; i++)
		is_new |= merge_crash(step, evidence->content_hash, suspect,
		    evidence->crashes[i].upstream, evidence->crashes[i].count,
		    at);
	if (is_new)
		dff_log(step->ctx, DFF_LOG_NOTICE, "call",
		    "stored crashes during request were loaded %s=%016" G_GINT64_MODIFIER
		    "x crashes=%u age_ms=%" G_GINT64_FORMAT,
		    suspect_key_name(evidence->content_hash),
		    evidence->content_hash, suspect_count_crashes(suspect),
		    evidence->age / DFF_MSEC);
}

static void
init_row(Dff__RelayCrash *row, uint64_t key, dff_time_t age)
{
	dff__relay_crash__init(row);
	row->content = key;
	row->age_ms = (uint32_t)(age / DFF_MSEC);
}

/* Lists the rows of one key; rows that do not fit are counted too. */
static uint32_t
list_suspect(uint64_t key, const suspect_t *suspect, bool refused,
    bool from_peers, Dff__RelayCrash *rows, uint32_t room, dff_time_t now)
{
	uint32_t count = 0;

	if (suspect->answered_at != 0 &&
	    (suspect->answer_seen_here || from_peers) &&
	    now - suspect->answer_learned_at < REPORT_TIME && count++ < room) {
		init_row(rows, key, now - suspect->answered_at);
		rows->answered = true;
	}
	for (guint i = 0; i < suspect->crashes->len; i++) {
		const crash_t *crash =
		    &g_array_index(suspect->crashes, crash_t, i);

		if (!refused &&
		    (now - crash->learned_at >= REPORT_TIME ||
			!(crash->seen_here || from_peers)))
			continue;
		if (count++ >= room)
			continue;
		init_row(&rows[count - 1], key, now - crash->last_at);
		rows[count - 1].upstream = crash->upstream;
		rows[count - 1].count = crash->count;
	}
	return count;
}

/* Lists the parts that this node refuses: peers that received answers for them
 * clear them. */
static uint32_t
list_refused_parts(const suspects_t *suspects, Dff__RelayCrash *rows,
    evidence_scope_t scope, dff_time_t now)
{
	const GArray *parts = suspects->refused_parts;
	uint32_t count = 0;

	for (guint i = 0; i < parts->len; i++) {
		uint64_t key = g_array_index(parts, uint64_t, i);
		const suspect_t *suspect = suspects_find(suspects, key);

		if (suspect != NULL && suspect_is_refused(suspect, now))
			count += list_suspect(key, suspect, true,
			    scope == EVIDENCE_ALL, &rows[count],
			    CRASH_ROWS_MAX - count, now);
		count = MIN(count, CRASH_ROWS_MAX);
	}
	return count;
}

size_t
suspect_list(dff_relay_t *relay, Dff__RelayCrash *rows, evidence_scope_t scope,
    dff_time_t now)
{
	suspects_t *suspects = relay->suspects;
	uint32_t first = list_refused_parts(suspects, rows, scope, now);
	uint32_t skip = suspects->next_row;
	uint32_t passed = 0;
	uint32_t count = first;
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, suspects->by_key);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		bool refused = suspect_is_refused(value, now);
		uint32_t listed;

		if (refused && suspect_is_part(*(uint64_t *)key))
			continue;
		listed = list_suspect(*(uint64_t *)key, value,
		    refused && scope != EVIDENCE_OWN, scope == EVIDENCE_ALL,
		    &rows[count], CRASH_ROWS_MAX - count, now);
		passed += listed;
		if (passed <= skip)
			continue;
		count = MIN(count + listed, CRASH_ROWS_MAX);
	}
	skip += count - first;
	suspects->next_row = skip < passed ? skip : 0;
	return count;
}
