#include <string.h>

#include "base/fault.h"
#include "relay/upstream.h"

/* How long a lost upstream's last record is remembered, so that an older
 * one that comes late does not bring it back: far beyond any delay of the
 * record source. */
#define REMEMBER (60 * DFF_SEC)
/* Shunned at first, and at most, after failed connections: a restarted
 * server listens again within a second or some. */
#define SHUN_MIN (500 * DFF_MSEC)
#define SHUN_MAX (4 * DFF_SEC)
/* A send to one that failed before is a trial; others wait this long for its
 * connection, which may take 350 ms. */
#define TRIAL_TIME (400 * DFF_MSEC)
/* After this time without a trial a node's failure says nothing any more. */
#define FAILURE_AGE (1 * DFF_SEC)
/* An upstream that has sent nothing for this time and this multiple of what
 * was expected is taken as out of reach: a full engine may take twice the time
 * that was predicted. */
#define SILENCE_MIN    (300 * DFF_MSEC)
#define SILENCE_FACTOR 2
/* So many peers that cannot reach an upstream are believed: one alone may be
 * cut off itself. */
#define PEERS_FAILING_MIN 2
/* Weight of the newest result. */
#define RESULT_WEIGHT 0.1

struct upstreams {
	dff_table_t *table;
	GHashTable *by_id; /* id to handle, boxed */
	GHashTable *by_hash; /* hash to upstream_t */
};

const char *
news_effect_name(news_effect_t effect)
{
	switch (effect) {
	case NEWS_NOTHING:
		return "older";
	case NEWS_SAME:
		return "same";
	case NEWS_ADDED:
		return "added";
	case NEWS_RESTARTED:
		return "restarted";
	case NEWS_LEAVING:
		return "leaving";
	case NEWS_GONE:
		return "gone";
	case NEWS_MISSING:
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
forget(upstreams_t *ups, dff_handle_t handle, upstream_t *up)
{
	g_hash_table_unref(up->kept);
	(void)g_hash_table_remove(ups->by_hash, GUINT_TO_POINTER(up->hash));
	(void)g_hash_table_remove(ups->by_id, up->news.id);
	dff_table_give(ups->table, handle);
}

void
upstreams_drop(upstreams_t *ups)
{
	upstream_t *up;

	for (dff_handle_t h = 0; (h = upstreams_next(ups, h, &up)) != 0;)
		forget(ups, h, up);
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

static dff_handle_t
add(upstreams_t *ups, const dff_upstream_record_t *news)
{
	dff_handle_t handle;
	upstream_t *up = dff_table_take(ups->table, &handle);

	up->news = *news;
	up->hash = upstream_hash(news->id);
	up->gone_at = DFF_TIME_NEVER;
	up->slowness = 1.0;
	up->kept =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	g_hash_table_insert(
	    ups->by_id, g_strdup(news->id), g_memdup2(&handle, sizeof(handle)));
	g_hash_table_insert(ups->by_hash, GUINT_TO_POINTER(up->hash), up);
	return handle;
}

/* A new start under an old id knows nothing of what was before. */
static void
restart(upstream_t *up, const dff_upstream_record_t *news)
{
	up->news = *news;
	up->gone_at = DFF_TIME_NEVER;
	up->slowness = 1.0;
	up->errors = 0;
	up->failures = 0;
	up->shun_until = 0;
	up->silent = false;
	up->left_at = 0;
	up->left_witness = WITNESS_NONE;
	up->away_until = 0;
	up->peers_away_until = 0;
	g_hash_table_remove_all(up->kept);
	up->kept_tokens = 0;
}

static bool
is_older(const upstream_t *up, const dff_upstream_record_t *news)
{
	if (news->started_ms != up->news.started_ms)
		return news->started_ms < up->news.started_ms;
	return news->seq <= up->news.seq;
}

static news_effect_t
remove_listed(upstream_t *up, dff_time_t settled_at, dff_time_t now)
{
	if (up->gone_at != DFF_TIME_NEVER)
		return NEWS_SAME;
	if (now < settled_at && !up->news.leaving &&
	    !DFF_FAULT(RELAY_MISSING_IS_GONE)) {
		up->gone_at = settled_at;
		return NEWS_MISSING;
	}
	up->gone_at = now;
	return NEWS_GONE;
}

static news_effect_t
update(upstream_t *up, const dff_upstream_record_t *news, dff_time_t now)
{
	bool was_leaving = up->news.leaving;
	bool was_gone = up->gone_at <= now;

	if (is_older(up, news) && !DFF_FAULT(RELAY_OLD_RECORDS))
		return NEWS_NOTHING;
	if (news->started_ms != up->news.started_ms) {
		restart(up, news);
		return NEWS_RESTARTED;
	}
	/* Who announced its leaving does not return under the same start. */
	up->news = *news;
	up->news.leaving = news->leaving || was_leaving;
	up->gone_at = DFF_TIME_NEVER;
	if (up->news.leaving && !was_leaving)
		return NEWS_LEAVING;
	return was_gone ? NEWS_ADDED : NEWS_SAME;
}

news_effect_t
upstreams_load(upstreams_t *ups, const dff_upstream_record_t *news,
    dff_time_t settled_at, dff_time_t now, dff_handle_t *changed)
{
	dff_handle_t *handle = g_hash_table_lookup(ups->by_id, news->id);
	upstream_t *up;

	*changed = handle != NULL ? *handle : 0;
	if (handle == NULL) {
		if (news->removed)
			return NEWS_NOTHING;
		*changed = add(ups, news);
		return news->leaving ? NEWS_LEAVING : NEWS_ADDED;
	}
	up = dff_table_get(ups->table, *handle);
	if (news->removed)
		return remove_listed(up, settled_at, now);
	return update(up, news, now);
}

void
upstreams_sweep(upstreams_t *ups, dff_time_t now)
{
	upstream_t *up;

	for (dff_handle_t h = 0; (h = upstreams_next(ups, h, &up)) != 0;) {
		if (up->gone_at != DFF_TIME_NEVER &&
		    now - up->gone_at > REMEMBER && up->running == 0)
			forget(ups, h, up);
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
upstreams_next(const upstreams_t *ups, dff_handle_t handle, upstream_t **row)
{
	return dff_table_next(ups->table, handle, (void **)row);
}

size_t
upstreams_count(const upstreams_t *ups)
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
	return (!up->news.leaving || DFF_FAULT(RELAY_LEAVING_SERVES)) &&
	    now < up->gone_at;
}

bool
upstream_accepts(const upstream_t *up, dff_time_t now)
{
	return upstream_is_listed(up, now) &&
	    (now >= up->away_until || DFF_FAULT(RELAY_AWAY_SERVES));
}

bool
upstream_note_leaving(upstream_t *up, witness_t witness, dff_time_t at)
{
	bool known = up->news.leaving;

	/* The nearest witness is the one that others are told of. */
	if (up->left_witness == WITNESS_NONE || witness < up->left_witness) {
		up->left_witness = witness;
		up->left_at = at;
	}
	up->news.leaving = true;
	return !known;
}

bool
upstream_is_failing(const upstream_t *up, dff_time_t now)
{
	return up->failures > 0 && now < up->shun_until + FAILURE_AGE;
}

bool
upstream_takes_work(const upstream_t *up, dff_time_t now)
{
	if (!upstream_accepts(up, now) || now < up->shun_until ||
	    now < up->peers_away_until)
		return false;
	/* Who failed itself tries again by its own clock. */
	return up->peers_failing < PEERS_FAILING_MIN ||
	    upstream_is_failing(up, now);
}

static void
set_due(upstream_t *up, dff_time_t now)
{
	up->due = now + SILENCE_MIN +
	    (dff_time_t)(SILENCE_FACTOR * (double)up->awaited);
}

void
upstream_note_send(upstream_t *up, dff_time_t expected, dff_time_t now)
{
	if (up->failures > 0)
		up->shun_until = MAX(up->shun_until, now + TRIAL_TIME);
	up->awaited = MAX(up->awaited, expected);
	if (up->due == 0)
		set_due(up, now);
}

void
upstream_note_byte(upstream_t *up, dff_time_t now)
{
	if (up->due != 0)
		set_due(up, now);
	if (!up->silent)
		return;
	up->silent = false;
	up->failures = 0;
	up->shun_until = 0;
}

void
upstream_note_silent(upstream_t *up, dff_time_t now)
{
	upstream_note_unreachable(up, now);
	up->silent = true;
	set_due(up, now);
}

void
upstream_note_end(upstream_t *up)
{
	up->running -= MIN(up->running, 1);
	if (up->running > 0)
		return;
	up->awaited = 0;
	up->due = 0;
}

bool
upstream_is_overdue(const upstream_t *up, dff_time_t now)
{
	return up->due != 0 && now >= up->due &&
	    !DFF_FAULT(RELAY_SILENT_SERVES);
}

void
upstream_note_result(upstream_t *up, bool good)
{
	up->errors += ((good ? 0.0 : 1.0) - up->errors) * RESULT_WEIGHT;
	if (good)
		up->failures = 0;
}

void
upstream_note_reached(upstream_t *up)
{
	up->failures = 0;
}

void
upstream_note_unreachable(upstream_t *up, dff_time_t now)
{
	dff_time_t shun = SHUN_MIN << MIN(up->failures, 3);

	up->failures++;
	up->shun_until = now + MIN(shun, SHUN_MAX);
	up->silent = false;
}
