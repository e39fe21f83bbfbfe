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
#include "relay/suspect.h"

#include <string.h>

#include "base/fault.h"

/* Upstreams that one request may break before it is refused. */
#define BREAKS_MAX 2
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
/* News is told for so long after this node learned it: some frames, as they
 * get lost. */
#define NEWS_TELL (2 * DFF_SEC)

/* Crashes of one upstream during one request. */
typedef struct crash {
	uint32_t upstream; /* hash of its id */
	uint32_t count;
	dff_time_t at; /* the last one */
	dff_time_t learned_at;
	bool seen; /* by this node */
} crash_t;

typedef struct suspect {
	GArray *crashes; /* crash_t, one row an upstream */
	dff_time_t answered_at; /* crashes up to then do not count */
	dff_time_t answer_learned_at;
	bool answer_seen; /* by this node */
} suspect_t;

/* A run that broke off, not yet put down to a crash. */
typedef struct broken_run {
	uint64_t content;
	dff_handle_t upstream;
	dff_time_t sent_at;
	dff_time_t at;
	bool silent; /* its upstream did not take a connection since */
	bool taken; /* it did */
} broken_run_t;

struct suspects {
	GHashTable *by_content; /* content hash, boxed, to suspect_t */
	GArray *broken_runs; /* broken_run_t */
	uint32_t first_row; /* of those that fit no frame together */
};

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

/* The row of a content, made if there is none; NULL if there are too many. */
static suspect_t *
take_suspect(suspects_t *suspects, uint64_t content)
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

static crash_t *
take_crash(suspect_t *suspect, uint32_t upstream)
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

static uint32_t
count_crashes(const suspect_t *suspect)
{
	uint32_t count = 0;

	for (guint i = 0; i < suspect->crashes->len; i++)
		count += g_array_index(suspect->crashes, crash_t, i).count;
	return count;
}

static dff_time_t
last_crash(const suspect_t *suspect)
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

/* What gets a request refused outlives a fleet that starts anew as a whole. */
static void
keep_evidence(step_t *step, uint64_t content, const suspect_t *suspect)
{
	dff_relay_effect_t *fx;
	dff_evidence_t *evidence;

	if (count_crashes(suspect) < BREAKS_MAX ||
	    DFF_FAULT(RELAY_EVIDENCE_UNKEPT))
		return;
	fx = relay_add_fx(step, DFF_RELAY_FX_KEEP);
	evidence = &fx->evidence;
	evidence->content = content;
	evidence->age = step->now - last_crash(suspect);
	for (guint i = 0; i < suspect->crashes->len && i < DFF_EVIDENCE_MAX;
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

static void
note_crash(step_t *step, const broken_run_t *run, const upstream_t *up)
{
	suspect_t *suspect = take_suspect(step->relay->suspects, run->content);
	crash_t *crash;

	if (suspect == NULL)
		return;
	crash = take_crash(suspect, up->hash);
	crash->seen = true;
	if (crash->count > 0 && run->sent_at <= crash->at + RESTART_MIN)
		return;
	crash->count++;
	crash->at = run->at;
	crash->learned_at = step->now;
	log_crash(step, run, up, count_crashes(suspect));
	keep_evidence(step, run->content, suspect);
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
	broken_run_t run = {.content = call->content,
	    .upstream = call->send.upstream,
	    .sent_at = call->send.at,
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
reach_name(dff_reach_t reach)
{
	switch (reach) {
	case DFF_REACH_TAKEN:
		return "taken";
	case DFF_REACH_REFUSED:
		return "refused";
	case DFF_REACH_SILENT:
		return "silent";
	}
	g_assert_not_reached();
}

/* What a probe says of runs that broke off before. */
static void
mark_runs(suspects_t *suspects, dff_handle_t upstream, dff_reach_t reach)
{
	for (guint i = 0; i < suspects->broken_runs->len; i++) {
		broken_run_t *run =
		    &g_array_index(suspects->broken_runs, broken_run_t, i);

		if (run->upstream != upstream)
			continue;
		run->taken = reach == DFF_REACH_TAKEN;
		run->silent = reach == DFF_REACH_SILENT;
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
	    up->news.id, reach_name(probed->reach));
	mark_runs(relay->suspects, handle, probed->reach);
	if (probed->reach != DFF_REACH_TAKEN)
		upstream_note_unreachable(up, step->now);
	if (probed->reach == DFF_REACH_REFUSED)
		suspect_confirm(step, handle, true);
	relay_send_probed(step, handle);
}

/* ---- answers ---- */

/* Crashes before an answer were no fault of the request. It is news where
 * there were any: ages are not exact, and would seem newer each time. */
static void
drop_crashes(
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
	    content, count_crashes(suspect));
	drop_crashes(suspect, step->now, true, step->now);
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
	crashes = count_crashes(suspect);
	until = last_crash(suspect) + refuse_time(crashes);
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
	    count_crashes(suspect) + 1 >= BREAKS_MAX;
}

static bool
is_over(const suspect_t *suspect, dff_time_t now)
{
	dff_time_t life = REMEMBER_FACTOR * refuse_time(count_crashes(suspect));

	return now - MAX(last_crash(suspect), suspect->answered_at) >= life;
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

/* ---- peers ---- */

/* Joins what is told of one upstream; whether that was news. */
static bool
join_crash(suspect_t *suspect, uint32_t upstream, uint32_t count, dff_time_t at,
    dff_time_t now)
{
	crash_t *crash;

	if (at <= suspect->answered_at)
		return false;
	crash = take_crash(suspect, upstream);
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
	suspect_t *suspect = take_suspect(step->relay->suspects, row->content);

	if (suspect == NULL)
		return;
	if (row->answered) {
		drop_crashes(suspect, at, false, step->now);
		return;
	}
	if (!join_crash(suspect, row->upstream, row->count, at, step->now))
		return;
	dff_log(step->ctx, DFF_LOG_NOTICE, "call",
	    "peer tells of a crash during request content=%016" G_GINT64_MODIFIER
	    "x crashes=%u age_ms=%u told_by=%s",
	    row->content, count_crashes(suspect), row->age_ms,
	    peer->node != NULL ? peer->node : peer->addr);
	/* Those that saw one of them keep the whole: few nodes did. */
	if (saw_crash(suspect))
		keep_evidence(step, row->content, suspect);
}

void
suspect_load_evidence(step_t *step, const dff_evidence_t *evidence)
{
	dff_time_t at = step->now - evidence->age;
	uint32_t crashes = 0;
	suspect_t *suspect;
	bool news = false;

	for (size_t i = 0; i < evidence->count; i++)
		crashes += evidence->crashes[i].count;
	if (evidence->age >= REMEMBER_FACTOR * refuse_time(crashes))
		return;
	suspect = take_suspect(step->relay->suspects, evidence->content);
	if (suspect == NULL)
		return;
	for (size_t i = 0; i < evidence->count; i++)
		news |= join_crash(suspect, evidence->crashes[i].upstream,
		    evidence->crashes[i].count, at, step->now);
	if (news)
		dff_log(step->ctx, DFF_LOG_NOTICE, "call",
		    "crashes during request were kept content=%016" G_GINT64_MODIFIER
		    "x crashes=%u age_ms=%" G_GINT64_FORMAT,
		    evidence->content, count_crashes(suspect),
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
