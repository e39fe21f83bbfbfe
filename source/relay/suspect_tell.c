/*
 * Evidence against requests that break upstreams: what frames tell of it, what
 * is joined of others' evidence, and what outlives the fleet.
 */
#include "relay/suspect_parts.h"

#include "base/fault.h"

/* News is told for so long after this node learned it: some frames, as they
 * get lost. */
#define NEWS_TELL (2 * DFF_SEC)

void
suspect_keep(step_t *step, uint64_t content, const suspect_t *suspect)
{
	dff_relay_effect_t *fx;
	dff_crash_report_t *evidence;

	if (suspect_count(suspect) < BREAKS_MAX ||
	    DFF_FAULT(RELAY_EVIDENCE_UNKEPT))
		return;
	fx = relay_add_fx(step, DFF_RELAY_FX_STORE_CRASHES);
	evidence = &fx->crash_report;
	evidence->content_hash = content;
	evidence->age = step->now - suspect_last(suspect);
	for (guint i = 0; i < suspect->crashes->len && i < DFF_CRASH_REPORT_MAX;
	     i++) {
		const crash_t *crash =
		    &g_array_index(suspect->crashes, crash_t, i);

		evidence->crashes[i].upstream = crash->upstream;
		evidence->crashes[i].count = crash->count;
		evidence->count++;
	}
}

static bool
saw_crash(const suspect_t *suspect)
{
	for (guint i = 0; i < suspect->crashes->len; i++) {
		if (g_array_index(suspect->crashes, crash_t, i).seen)
			return true;
	}
	return false;
}

/* Joins what is told of one upstream; whether that was news. */
static bool
join_crash(suspect_t *suspect, uint32_t upstream, uint32_t count, dff_time_t at,
    dff_time_t now)
{
	crash_t *crash;

	if (at <= suspect->answered_at)
		return false;
	crash = suspect_take_crash(suspect, upstream);
	if (count <= crash->count)
		return false;
	crash->count = count;
	crash->at = at;
	crash->learned_at = now;
	return true;
}

void
suspect_load(step_t *step, const peer_t *peer, const Dff__RelayCrash *row)
{
	dff_time_t at = step->now - (dff_time_t)row->age_ms * DFF_MSEC;
	suspect_t *suspect = suspects_take(step->relay->suspects, row->content);

	if (suspect == NULL)
		return;
	if (row->answered) {
		suspect_drop_crashes(suspect, at, false, step->now);
		return;
	}
	if (!join_crash(suspect, row->upstream, row->count, at, step->now))
		return;
	dff_log(step->ctx, DFF_LOG_NOTICE, "call",
	    "peer tells of a crash during request content=%016" G_GINT64_MODIFIER
	    "x crashes=%u age_ms=%u told_by=%s",
	    row->content, suspect_count(suspect), row->age_ms,
	    peer->node != NULL ? peer->node : peer->addr);
	/* Those that saw one of them keep the whole: few nodes did. */
	if (saw_crash(suspect))
		suspect_keep(step, row->content, suspect);
}

void
suspect_load_evidence(step_t *step, const dff_crash_report_t *evidence)
{
	dff_time_t at = step->now - evidence->age;
	uint32_t crashes = 0;
	suspect_t *suspect;
	bool news = false;

	for (size_t i = 0; i < evidence->count; i++)
		crashes += evidence->crashes[i].count;
	if (evidence->age >= suspect_remember_time(crashes))
		return;
	suspect = suspects_take(step->relay->suspects, evidence->content_hash);
	if (suspect == NULL)
		return;
	for (size_t i = 0; i < evidence->count; i++)
		news |= join_crash(suspect, evidence->crashes[i].upstream,
		    evidence->crashes[i].count, at, step->now);
	if (news)
		dff_log(step->ctx, DFF_LOG_NOTICE, "call",
		    "crashes during request were kept content=%016" G_GINT64_MODIFIER
		    "x crashes=%u age_ms=%" G_GINT64_FORMAT,
		    evidence->content_hash, suspect_count(suspect),
		    evidence->age / DFF_MSEC);
}

static void
add_row(Dff__RelayCrash *row, uint64_t content, dff_time_t age)
{
	dff__relay_crash__init(row);
	row->content = content;
	row->age_ms = (uint32_t)(age / DFF_MSEC);
}

/* Rows of one content; those that do not fit are counted all the same. */
static uint32_t
list_suspect(uint64_t content, const suspect_t *suspect, bool refused,
    bool heard, Dff__RelayCrash *rows, uint32_t room, dff_time_t now)
{
	uint32_t count = 0;

	if (suspect->answered_at != 0 && (suspect->answer_seen || heard) &&
	    now - suspect->answer_learned_at < NEWS_TELL && count++ < room) {
		add_row(rows, content, now - suspect->answered_at);
		rows->answered = true;
	}
	for (guint i = 0; i < suspect->crashes->len; i++) {
		const crash_t *crash =
		    &g_array_index(suspect->crashes, crash_t, i);

		if (!refused &&
		    (now - crash->learned_at >= NEWS_TELL ||
			!(crash->seen || heard)))
			continue;
		if (count++ >= room)
			continue;
		add_row(&rows[count - 1], content, now - crash->at);
		rows[count - 1].upstream = crash->upstream;
		rows[count - 1].count = crash->count;
	}
	return count;
}

size_t
suspect_list(
    dff_relay_t *relay, Dff__RelayCrash *rows, evidence_t which, dff_time_t now)
{
	suspects_t *suspects = relay->suspects;
	uint32_t skip = suspects->first_row;
	uint32_t passed = 0;
	uint32_t count = 0;
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, suspects->by_content);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		uint64_t content = *(uint64_t *)key;
		bool refused = which != EVIDENCE_SEEN &&
		    suspect_refused_for(relay, content, now) > 0;
		uint32_t listed = list_suspect(content, value, refused,
		    which == EVIDENCE_HEARD, &rows[count], CRASHES_MAX - count,
		    now);

		passed += listed;
		if (passed <= skip)
			continue;
		count = MIN(count + listed, CRASHES_MAX);
	}
	suspects->first_row = skip + count < passed ? skip + count : 0;
	return count;
}
