#include <string.h>

#include "base/fault.h"
#include "relay/upstream.h"

/* How long the last record of a gone upstream is kept, so that an older
 * one that arrives late does not restore it: far longer than any delay of
 * the record source. */
#define GONE_RETENTION (60 * DFF_SEC)
/* First and longest backoff after failed connections: a restarted server
 * listens again within about a second. */
#define BACKOFF_MIN (500 * DFF_MSEC)
#define BACKOFF_MAX (4 * DFF_SEC)
/* After a failure one send tries the upstream while others wait this long for
 * its connection, which may take 350 ms. */
#define TRIAL_TIME (400 * DFF_MSEC)
/* A node's failure to connect no longer counts when the backoff has been over
 * for this time without another try. */
#define FAILURE_AGE_MAX (1 * DFF_SEC)
/* An upstream that has sent nothing for this time plus this multiple of the
 * expected time counts as unreachable: a full engine may take twice the
 * predicted time. */
#define SILENCE_MIN    (300 * DFF_MSEC)
#define SILENCE_FACTOR 2
/* Longest time that a record takes from its upstream to a node while the record
 * source answers. */
#define RECORD_DELAY_MAX DFF_SEC
/* Number of failing peers from which an upstream is avoided: a single one may
 * be cut off itself. */
#define FAILING_PEERS_MIN 2
/* Weight of the newest result in the moving average. */
#define RESULT_WEIGHT 0.1

struct upstreams {
	dff_table_t *table;
	GHashTable *by_id; /* id to handle, boxed */
	GHashTable *by_hash; /* hash to upstream_t */
};

const char *
record_effect_name(record_effect_t effect)
{
	switch (effect) {
	case RECORD_OUTDATED:
		return "older";
	case RECORD_SAME:
		return "same";
	case RECORD_ADDED:
		return "added";
	case RECORD_RESTARTED:
		return "restarted";
	case RECORD_LEAVING:
		return "leaving";
	case RECORD_GONE:
		return "gone";
	case RECORD_MISSING:
		return "missing";
	}
	g_assert_not_reached();
}

upstreams_t *
upstreams_new(void)
{
	upstreams_t *ups = g_new0(upstreams_t, 1);

	ups->table = dff_table_new(sizeof(upstream_t));
	ups->by_id =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ups->by_hash = g_hash_table_new(g_direct_hash, g_direct_equal);
	return ups;
}

static void
remove_upstream(upstreams_t *ups, dff_handle_t handle, upstream_t *up)
{
	g_hash_table_unref(up->cached_parts);
	kv_held_clear(&up->held);
	(void)g_hash_table_remove(ups->by_hash, GUINT_TO_POINTER(up->hash));
	(void)g_hash_table_remove(ups->by_id, up->record.id);
	dff_table_give(ups->table, handle);
}

void
upstreams_drop(upstreams_t *ups)
{
	upstream_t *up;

	for (dff_handle_t h = 0; (h = upstreams_next(ups, h, &up)) != 0;)
		remove_upstream(ups, h, up);
	g_hash_table_unref(ups->by_id);
	g_hash_table_unref(ups->by_hash);
	dff_table_drop(ups->table);
	g_free(ups);
}

uint32_t
upstream_hash(const char *id)
{
	return (uint32_t)dff_hash(id, strlen(id), 0);
}

/* A process that follows another at its address runs on the same VM. */
static void
take_over_capacity(const upstreams_t *ups, upstream_t *up)
{
	upstream_t *other;

	for (dff_handle_t h = 0; (h = upstreams_next(ups, h, &other)) != 0;) {
		if (other == up ||
		    strcmp(other->record.addr, up->record.addr) != 0 ||
		    strcmp(other->record.pool, up->record.pool) != 0 ||
		    other->record.role != up->record.role ||
		    other->capacity.measured_at <= up->capacity.measured_at)
			continue;
		up->capacity = other->capacity;
	}
	capacity_restart(&up->capacity);
}

static dff_handle_t
add_upstream(upstreams_t *ups, const dff_upstream_record_t *record)
{
	dff_handle_t handle;
	upstream_t *up = dff_table_take(ups->table, &handle);

	up->record = *record;
	up->hash = upstream_hash(record->id);
	up->gone_at = DFF_TIME_NEVER;
	up->cached_parts =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	g_hash_table_insert(ups->by_id, g_strdup(record->id),
	    g_memdup2(&handle, sizeof(handle)));
	g_hash_table_insert(ups->by_hash, GUINT_TO_POINTER(up->hash), up);
	take_over_capacity(ups, up);
	return handle;
}

/* A restarted upstream keeps its id, but none of its state. */
static void
reset_state(upstream_t *up, const dff_upstream_record_t *record)
{
	up->record = *record;
	up->gone_at = DFF_TIME_NEVER;
	capacity_restart(&up->capacity);
	up->error_rate = 0;
	up->connect_failures = 0;
	up->backoff_until = 0;
	up->doubted_at = 0;
	up->proved_from = 0;
	up->failed_at = 0;
	up->answered_at = 0;
	up->probe_failed = false;
	up->silent = false;
	up->leaving_since = 0;
	up->leaving_origin = NOTICE_ORIGIN_NONE;
	up->pause_until = 0;
	up->peers_pause_until = 0;
	memset(&up->limit, 0, sizeof(up->limit));
	g_hash_table_remove_all(up->cached_parts);
	up->cached_tokens = 0;
}

static bool
is_older(const upstream_t *up, const dff_upstream_record_t *record)
{
	if (record->started_ms != up->record.started_ms)
		return record->started_ms < up->record.started_ms;
	return record->seq <= up->record.seq;
}

static record_effect_t
note_record_missing(upstream_t *up, dff_time_t settled_at, dff_time_t now)
{
	if (up->gone_at != DFF_TIME_NEVER)
		return RECORD_SAME;
	if (now < settled_at && !up->record.leaving &&
	    !DFF_FAULT(RELAY_MISSING_IS_GONE)) {
		up->gone_at = settled_at;
		return RECORD_MISSING;
	}
	up->gone_at = now;
	return RECORD_GONE;
}

/* Records that come late, as after an outage of the store, come together: the
 * process runs if a record comes and another one later. */
static void
note_sign_of_process(upstream_t *up, dff_time_t now)
{
	if (up->doubted_at == 0)
		return;
	if (DFF_FAULT(RELAY_FIRST_RECORD_PROVES))
		up->proved_from = up->doubted_at;
	if (up->proved_from == 0 && now - up->doubted_at >= RECORD_DELAY_MAX)
		up->proved_from = now;
	else if (up->proved_from != 0 &&
	    now - up->proved_from >= RECORD_DELAY_MAX)
		up->doubted_at = 0;
}

static record_effect_t
update_record(
    upstream_t *up, const dff_upstream_record_t *record, dff_time_t now)
{
	bool was_leaving = up->record.leaving;
	bool was_gone = up->gone_at <= now;
	bool other_software =
	    strcmp(record->software, up->record.software) != 0;
	char software[DFF_NAME_MAX];

	if (is_older(up, record) && !DFF_FAULT(RELAY_OLD_RECORDS))
		return RECORD_OUTDATED;
	if (record->started_ms != up->record.started_ms ||
	    (record->started_ms == 0 && other_software)) {
		reset_state(up, record);
		up->restarted_at = now;
		return RECORD_RESTARTED;
	}
	/* An upstream that announced its leaving does not return under the
	 * same start, nor does its software change. */
	g_strlcpy(software, up->record.software, sizeof(software));
	up->record = *record;
	g_strlcpy(up->record.software, software, sizeof(up->record.software));
	up->record.leaving = record->leaving || was_leaving;
	up->gone_at = DFF_TIME_NEVER;
	up->recorded_at = now;
	if (was_gone)
		upstream_doubt_process(up, now - RECORD_DELAY_MAX);
	note_sign_of_process(up, now);
	if (up->record.leaving && !was_leaving)
		return RECORD_LEAVING;
	return was_gone ? RECORD_ADDED : RECORD_SAME;
}

record_effect_t
upstreams_apply_record(upstreams_t *ups, const dff_upstream_record_t *record,
    dff_time_t settled_at, dff_time_t now, dff_handle_t *changed)
{
	dff_handle_t *handle = g_hash_table_lookup(ups->by_id, record->id);
	upstream_t *up;

	*changed = handle != NULL ? *handle : 0;
	if (handle == NULL) {
		if (record->removed)
			return RECORD_OUTDATED;
		*changed = add_upstream(ups, record);
		return record->leaving ? RECORD_LEAVING : RECORD_ADDED;
	}
	up = dff_table_get(ups->table, *handle);
	if (record->removed)
		return note_record_missing(up, settled_at, now);
	return update_record(up, record, now);
}

void
upstreams_sweep(upstreams_t *ups, dff_time_t now)
{
	upstream_t *up;

	for (dff_handle_t h = 0; (h = upstreams_next(ups, h, &up)) != 0;) {
		if (up->gone_at != DFF_TIME_NEVER &&
		    now - up->gone_at > GONE_RETENTION && up->running == 0)
			remove_upstream(ups, h, up);
	}
}

upstream_t *
upstreams_get(const upstreams_t *ups, dff_handle_t handle)
{
	return dff_table_get(ups->table, handle);
}

upstream_t *
upstreams_find(const upstreams_t *ups, uint32_t hash)
{
	return g_hash_table_lookup(ups->by_hash, GUINT_TO_POINTER(hash));
}

upstream_t *
upstreams_find_id(const upstreams_t *ups, const char *id, dff_handle_t *handle)
{
	const dff_handle_t *found = g_hash_table_lookup(ups->by_id, id);

	*handle = found != NULL ? *found : 0;
	return found != NULL ? dff_table_get(ups->table, *found) : NULL;
}

dff_handle_t
upstreams_next(
    const upstreams_t *ups, dff_handle_t handle, upstream_t **upstream)
{
	return dff_table_next(ups->table, handle, (void **)upstream);
}

size_t
upstreams_count_serving(const upstreams_t *ups, dff_time_t now)
{
	size_t count = 0;
	upstream_t *up;

	for (dff_handle_t h = 0; (h = upstreams_next(ups, h, &up)) != 0;)
		count += upstream_is_listed(up, now);
	return count;
}

size_t
upstreams_count_listed(const upstreams_t *ups)
{
	size_t count = 0;
	upstream_t *up;

	for (dff_handle_t h = 0; (h = upstreams_next(ups, h, &up)) != 0;) {
		if (up->gone_at == DFF_TIME_NEVER)
			count++;
	}
	return count;
}

bool
upstream_is_listed(const upstream_t *up, dff_time_t now)
{
	return (!up->record.leaving || DFF_FAULT(RELAY_LEAVING_SERVES)) &&
	    now < up->gone_at;
}

bool
upstream_is_available(const upstream_t *up, dff_time_t now)
{
	return upstream_is_listed(up, now) &&
	    (now >= up->pause_until || DFF_FAULT(RELAY_AWAY_SERVES));
}

const char *
upstream_software(const upstream_t *up)
{
	return up->doubted_at == 0 || DFF_FAULT(RELAY_RESTART_KEEPS_SOFTWARE) ?
	    up->record.software :
	    "";
}

bool
upstream_note_leaving(upstream_t *up, notice_origin_t witness, dff_time_t at)
{
	bool known = up->record.leaving;

	/* The nearest origin decides whether the notice is sent to others. */
	if (up->leaving_origin == NOTICE_ORIGIN_NONE ||
	    witness < up->leaving_origin) {
		up->leaving_origin = witness;
		up->leaving_since = at;
	}
	up->record.leaving = true;
	return !known;
}

bool
upstream_is_failing(const upstream_t *up, dff_time_t now)
{
	return up->connect_failures > 0 &&
	    now < up->backoff_until + FAILURE_AGE_MAX;
}

bool
upstream_takes_work(const upstream_t *up, dff_time_t now)
{
	if (!upstream_is_available(up, now) || now < up->backoff_until ||
	    now < up->peers_pause_until)
		return false;
	/* A node that failed itself tries again after its own backoff. */
	return up->failing_peers < FAILING_PEERS_MIN ||
	    upstream_is_failing(up, now);
}

static void
set_answer_due(upstream_t *up, dff_time_t now)
{
	up->answer_due = now + SILENCE_MIN +
	    (dff_time_t)(SILENCE_FACTOR * (double)up->max_expected);
}

void
upstream_note_send(upstream_t *up, dff_time_t expected, dff_time_t now)
{
	if (up->connect_failures > 0)
		up->backoff_until = MAX(up->backoff_until, now + TRIAL_TIME);
	up->max_expected = MAX(up->max_expected, expected);
	if (up->answer_due == 0)
		set_answer_due(up, now);
}

void
upstream_note_byte(upstream_t *up, dff_time_t now)
{
	if (up->answer_due != 0)
		set_answer_due(up, now);
	if (!up->silent)
		return;
	up->silent = false;
	up->connect_failures = 0;
	up->backoff_until = 0;
}

void
upstream_note_silent(upstream_t *up, dff_time_t now)
{
	upstream_note_unreachable(up, now);
	up->silent = true;
	set_answer_due(up, now);
}

void
upstream_note_end(upstream_t *up)
{
	up->running -= MIN(up->running, 1);
	if (up->running > 0)
		return;
	up->max_expected = 0;
	up->answer_due = 0;
}

bool
upstream_is_overdue(const upstream_t *up, dff_time_t now)
{
	return up->answer_due != 0 && now >= up->answer_due &&
	    !DFF_FAULT(RELAY_SILENT_SERVES);
}

void
upstream_note_result(upstream_t *up, bool good)
{
	up->error_rate += ((good ? 0.0 : 1.0) - up->error_rate) * RESULT_WEIGHT;
	if (good)
		up->connect_failures = 0;
}

void
upstream_note_reached(upstream_t *up, dff_time_t now)
{
	up->connect_failures = 0;
	up->reached_at = now;
}

void
upstream_note_answer(upstream_t *up, dff_time_t now)
{
	up->answered_at = now;
}

void
upstream_forget_failures(upstream_t *up)
{
	up->connect_failures = 0;
	up->backoff_until = 0;
	up->silent = false;
}

void
upstream_doubt_process(upstream_t *up, dff_time_t now)
{
	up->doubted_at = now;
	up->proved_from = 0;
}

void
upstream_note_peer_failure(upstream_t *up, dff_time_t now)
{
	up->failed_at = now;
}

bool
upstream_is_recorded(const upstream_t *up)
{
	return up->failed_at == 0 ||
	    up->recorded_at - up->failed_at >= RECORD_DELAY_MAX ||
	    DFF_FAULT(RELAY_RECORD_OUTLASTS_FAILURE);
}

void
upstream_note_unreachable(upstream_t *up, dff_time_t now)
{
	dff_time_t backoff = BACKOFF_MIN << MIN(up->connect_failures, 3);

	if (up->connect_failures++ == 0)
		up->failing_since = now;
	up->unreached_at = now;
	up->failed_at = now;
	up->backoff_until = now + MIN(backoff, BACKOFF_MAX);
	up->silent = false;
}
