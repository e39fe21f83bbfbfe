/*
 * Which requests are refused because upstreams crashed under them.
 */
#include "relay/suspect_parts.h"

#include "base/fault.h"
#include "relay/reach.h"

/* Time for which a request is refused after its last crash. It doubles with
 * each further crash, up to the maximum number of doublings. */
#define REFUSAL_TIME	      (60 * DFF_SEC)
#define REFUSAL_DOUBLINGS_MAX 6
/* Evidence is kept for this multiple of the time of refusal, so that the next
 * crash counts as a further one. */
#define RETENTION_FACTOR 2
/* A part that shared upstreams with others by chance was in few of the crashes
 * since its first one; a part that causes them was in one of so many or more. */
#define EVENTS_PER_CRASH 4
/* Crashes of upstreams are kept for this time, but at most so many. */
#define EVENT_TIME (120 * DFF_SEC)
#define EVENTS_MAX 512

/* ---- keys ---- */

bool
suspect_is_part(uint64_t key)
{
	return (key & DFF_PART_KEY) != 0;
}

const char *
suspect_key_name(uint64_t key)
{
	return suspect_is_part(key) ? "part" : "content";
}

size_t
suspect_list_keys(uint64_t content, const dff_prompt_t *prompt,
    uint64_t keys[SUSPECT_KEYS_MAX])
{
	size_t count = 0;

	keys[count++] = content;
	for (uint32_t i = 0; i + 1 < prompt->count; i++) {
		const uint64_t *id = &prompt->parts[i].id;

		keys[count++] =
		    dff_hash(id, sizeof(*id), prompt->model) | DFF_PART_KEY;
	}
	return DFF_FAULT(RELAY_PARTS_UNSUSPECTED) ? 1 : count;
}

/* ---- thresholds ---- */

suspect_t *
suspects_find(const suspects_t *suspects, uint64_t key)
{
	return g_hash_table_lookup(suspects->by_key, &key);
}

uint32_t
suspect_threshold(const suspects_t *suspects, uint64_t key)
{
	if (!suspect_is_part(key))
		return CRASHES_TO_REFUSE;
	return answered_parts_last(suspects->answered, key) != 0 ?
	    ANSWERED_PART_CRASHES_TO_REFUSE :
	    PART_CRASHES_TO_REFUSE;
}

/* Notes a crash of an upstream, which several keys may report. */
static void
add_event(suspects_t *suspects, const crash_t *crash, dff_time_t now)
{
	crash_event_t added = {crash->upstream, crash->last_at};
	GArray *events = suspects->crash_events;

	for (guint i = events->len; i-- > 0;) {
		const crash_event_t *event =
		    &g_array_index(events, crash_event_t, i);

		if (event->upstream == added.upstream &&
		    ABS(event->at - added.at) <= RESTART_MIN)
			return;
		if (now - event->at >= EVENT_TIME)
			g_array_remove_index_fast(events, i);
	}
	if (events->len < EVENTS_MAX)
		g_array_append_val(events, added);
}

static uint32_t
count_events_since(const suspects_t *suspects, dff_time_t at)
{
	const GArray *events = suspects->crash_events;
	uint32_t count = 0;

	for (guint i = 0; i < events->len; i++)
		count += g_array_index(events, crash_event_t, i).at >= at;
	return count;
}

static void
add_refused_part(suspects_t *suspects, uint64_t key)
{
	for (guint i = 0; i < suspects->refused_parts->len; i++) {
		if (g_array_index(suspects->refused_parts, uint64_t, i) == key)
			return;
	}
	g_array_append_val(suspects->refused_parts, key);
}

void
suspect_note_crash(
    step_t *step, uint64_t key, suspect_t *suspect, const crash_t *crash)
{
	suspects_t *suspects = step->relay->suspects;
	uint32_t crashes = suspect_count_crashes(suspect);

	add_event(suspects, crash, step->now);
	if (suspect->first_at == 0)
		suspect->first_at = crash->last_at;
	if (!suspect_is_part(key) || crashes < suspect->crashes_to_refuse)
		return;
	/* Once refused, it stays so while other upstreams crash. */
	if (crashes == suspect->crashes_to_refuse &&
	    crashes * EVENTS_PER_CRASH <
		count_events_since(suspects, suspect->first_at))
		suspect->crashes_to_refuse++;
	else
		add_refused_part(suspects, key);
}

void
suspect_sweep_refused(step_t *step)
{
	suspects_t *suspects = step->relay->suspects;
	GArray *parts = suspects->refused_parts;

	for (guint i = parts->len; i-- > 0;) {
		const suspect_t *suspect =
		    suspects_find(suspects, g_array_index(parts, uint64_t, i));

		if (suspect == NULL || !suspect_is_refused(suspect, step->now))
			g_array_remove_index_fast(parts, i);
	}
}

/* Time for which requests are refused after the last of @crashes. */
static dff_time_t
duration_after(const suspect_t *suspect, uint32_t crashes)
{
	if (crashes < suspect->crashes_to_refuse)
		return REFUSAL_TIME;
	return REFUSAL_TIME
	    << MIN(crashes - suspect->crashes_to_refuse, REFUSAL_DOUBLINGS_MAX);
}

static dff_time_t
refusal_duration(const suspect_t *suspect)
{
	return duration_after(suspect, suspect_count_crashes(suspect));
}

/* ---- refusal ---- */

bool
suspect_is_refused(const suspect_t *suspect, dff_time_t now)
{
	return suspect_count_crashes(suspect) >= suspect->crashes_to_refuse &&
	    suspect_last_crash(suspect) + refusal_duration(suspect) > now &&
	    !DFF_FAULT(RELAY_POISON_SERVED);
}

static bool
contains(const uint64_t *keys, size_t count, uint64_t key)
{
	for (size_t i = 0; i < count; i++) {
		if (keys[i] == key)
			return true;
	}
	return false;
}

/* Whether each crash of @suspect was one of @other too. */
static bool
is_covered(const suspect_t *suspect, const suspect_t *other)
{
	for (guint i = 0; i < suspect->crashes->len; i++) {
		const crash_t *crash =
		    &g_array_index(suspect->crashes, crash_t, i);
		uint32_t count = 0;

		for (guint k = 0; k < other->crashes->len; k++) {
			const crash_t *row =
			    &g_array_index(other->crashes, crash_t, k);

			if (row->upstream == crash->upstream)
				count = row->count;
		}
		if (count < crash->count)
			return false;
	}
	return true;
}

/* Whether another refused part, which the request does not have, explains all
 * crashes of @suspect. If that is wrong, the next crash shows it. */
static bool
is_explained(const suspects_t *suspects, const suspect_t *suspect,
    const uint64_t *keys, size_t count, dff_time_t now)
{
	const GArray *parts = suspects->refused_parts;

	if (DFF_FAULT(RELAY_PARTS_UNEXPLAINED))
		return false;
	for (guint i = 0; i < parts->len; i++) {
		uint64_t key = g_array_index(parts, uint64_t, i);
		const suspect_t *other = suspects_find(suspects, key);

		if (other != NULL && !contains(keys, count, key) &&
		    suspect_is_refused(other, now) &&
		    is_covered(suspect, other))
			return true;
	}
	return false;
}

dff_time_t
suspect_refusal_time(const dff_relay_t *relay, uint64_t content,
    const dff_prompt_t *prompt, dff_time_t now, uint64_t *refused_key)
{
	uint64_t keys[SUSPECT_KEYS_MAX];
	size_t count = suspect_list_keys(content, prompt, keys);
	dff_time_t longest = 0;

	for (size_t i = 0; i < count; i++) {
		const suspect_t *suspect =
		    suspects_find(relay->suspects, keys[i]);
		dff_time_t left;

		if (suspect == NULL || !suspect_is_refused(suspect, now) ||
		    is_explained(relay->suspects, suspect, keys, count, now))
			continue;
		left = suspect_last_crash(suspect) + refusal_duration(suspect) -
		    now;
		if (left <= longest)
			continue;
		longest = left;
		if (refused_key != NULL)
			*refused_key = keys[i];
	}
	return longest;
}

void
suspect_note_refusal(step_t *step, const char *id, uint64_t key)
{
	const suspect_t *suspect = suspects_find(step->relay->suspects, key);

	step->relay->counts[COUNT_REFUSED_POISON]++;
	if (!suspect_is_part(key))
		return;
	step->relay->counts[COUNT_REFUSED_PARTS]++;
	dff_log(step->ctx, DFF_LOG_INFO, "call",
	    "request has a refused part id=%s part=%016" G_GINT64_MODIFIER
	    "x crashes=%u age_ms=%" G_GINT64_FORMAT,
	    id, key, suspect_count_crashes(suspect),
	    (step->now - suspect_last_crash(suspect)) / DFF_MSEC);
}

bool
suspect_depends_on_probe(
    const step_t *step, const call_t *call, dff_handle_t upstream)
{
	const upstream_t *up = upstreams_get(step->relay->upstreams, upstream);
	uint64_t keys[SUSPECT_KEYS_MAX];
	size_t count =
	    suspect_list_keys(call->content_hash, &call->prompt, keys);

	if (up == NULL || reach_is_cut_off(step->relay) ||
	    !(up->probing || up->probe_failed))
		return false;
	for (size_t i = 0; i < count; i++) {
		const suspect_t *suspect =
		    suspects_find(step->relay->suspects, keys[i]);

		if (suspect != NULL &&
		    suspect_count_crashes(suspect) + 1 >=
			suspect->crashes_to_refuse)
			return true;
	}
	return false;
}

dff_time_t
suspect_retention_time(const suspect_t *suspect, uint32_t crashes)
{
	return RETENTION_FACTOR * duration_after(suspect, crashes);
}
