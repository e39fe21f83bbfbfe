/*
 * What upstreams say of themselves in their answers: that they are leaving,
 * and that they want nothing from this node for a while. The first is told to
 * other nodes as evidence, with the start of the upstream that said so and its
 * age; the second is a hint to them and binds only the node that was told.
 */
#include "base/fault.h"
#include "relay/word.h"

/* Longest time for which an upstream is left alone at its word. */
#define AWAY_MAX (10 * 60 * DFF_SEC)
/* Leaving is told for so long after it was heard: some frames, as they get
 * lost. */
#define LEAVING_TELL (2 * DFF_SEC)

static void
take_leaving(step_t *step, upstream_t *up, witness_t witness, dff_time_t at,
    const char *told_by)
{
	dff_relay_effect_t *fx;

	if (DFF_FAULT(RELAY_WORD_UNHEARD) ||
	    !upstream_note_leaving(up, witness, at))
		return;
	step->relay->counts[COUNT_LEAVING_NOTICES]++;
	dff_log(step->ctx, DFF_LOG_NOTICE, "upstream",
	    "upstream says that it is leaving id=%s pool=%s addr=%s "
	    "born=%" G_GUINT64_FORMAT " told_by=%s age_ms=%" G_GINT64_FORMAT
	    " running=%u",
	    up->news.id, up->news.pool, up->news.addr,
	    (guint64)up->news.started_ms, told_by, (step->now - at) / DFF_MSEC,
	    up->running);
	fx = relay_add_fx(step, DFF_RELAY_FX_CLOSE_IDLE);
	g_strlcpy(fx->upstream, up->news.id, sizeof(fx->upstream));
}

/* Several answers may say so: the latest end counts. */
static void
take_away(step_t *step, upstream_t *up, dff_time_t away)
{
	dff_time_t until = step->now + MIN(away, AWAY_MAX);

	if (until <= up->away_until)
		return;
	step->relay->counts[COUNT_BACKOFF_NOTICES]++;
	dff_log(step->ctx, DFF_LOG_NOTICE, "upstream",
	    "upstream wants nothing for a while id=%s pool=%s "
	    "away_ms=%" G_GINT64_FORMAT " running=%u",
	    up->news.id, up->news.pool, away / DFF_MSEC, up->running);
	up->away_until = until;
}

void
word_take(step_t *step, dff_handle_t upstream, uint64_t born,
    const dff_upstream_notice_t *word)
{
	upstream_t *up = upstreams_get(step->relay->upstreams, upstream);

	/* An answer of an earlier start says nothing of this one. */
	if (up == NULL || up->news.started_ms != born)
		return;
	if (word->leaving)
		take_leaving(step, up, WITNESS_SELF, step->now, "itself");
	if (word->backoff > 0)
		take_away(step, up, word->backoff);
}

void
word_take_aside(step_t *step, const dff_relay_notice_t *aside)
{
	upstream_t *up = upstreams_find(
	    step->relay->upstreams, upstream_hash(aside->upstream));

	if (up == NULL)
		return;
	if (aside->notice.leaving)
		take_leaving(step, up, WITNESS_SELF, step->now, "itself");
	if (aside->notice.backoff > 0)
		take_away(step, up, aside->notice.backoff);
}

/* ---- peers ---- */

void
word_load(step_t *step, const peer_t *peer, const Dff__RelayBeat *beat)
{
	for (size_t i = 0; i < beat->n_words; i++) {
		const Dff__RelayWord *row = beat->words[i];
		upstream_t *up =
		    upstreams_find(step->relay->upstreams, row->upstream);
		dff_time_t at = step->now - row->age_ms * DFF_MSEC;

		if (up == NULL || up->news.started_ms != row->born)
			continue;
		if (row->leaving)
			take_leaving(step, up,
			    beat->summary ? WITNESS_DOMAIN : WITNESS_PEER, at,
			    peer->node);
		up->peers_away_until = MAX(up->peers_away_until,
		    step->now + MIN(row->away_ms * DFF_MSEC, AWAY_MAX));
	}
}

size_t
word_list(const dff_relay_t *relay, witness_t farthest, Dff__RelayWord *rows,
    dff_time_t now)
{
	size_t count = 0;
	upstream_t *up;

	for (dff_handle_t h = 0; count < WORDS_MAX &&
	     (h = upstreams_next(relay->upstreams, h, &up)) != 0;) {
		bool leaving = up->left_witness != WITNESS_NONE &&
		    up->left_witness <= farthest &&
		    now - up->left_at < LEAVING_TELL;
		bool away = now < up->away_until;

		if (!leaving && !away)
			continue;
		dff__relay_word__init(&rows[count]);
		rows[count].upstream = up->hash;
		rows[count].born = up->news.started_ms;
		rows[count].leaving = leaving;
		if (leaving)
			rows[count].age_ms =
			    (uint32_t)((now - up->left_at) / DFF_MSEC);
		if (away)
			rows[count].away_ms =
			    (uint32_t)((up->away_until - now) / DFF_MSEC);
		count++;
	}
	return count;
}
