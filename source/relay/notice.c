/*
 * Notices of upstreams in their answers: that they are leaving, and that they
 * accept no requests of this node for a while, a pause. The first is reported
 * to other nodes as evidence, with the start of the upstream that sent it and
 * its age. The second binds only the node that received it and is a hint to
 * the others.
 */
#include "base/fault.h"
#include "relay/limit.h"
#include "relay/notice.h"

/* Longest pause that an upstream may ask for. */
#define PAUSE_MAX (10 * 60 * DFF_SEC)
/* A notice of leaving is reported for this time after it was received, in
 * several frames, as frames get lost. */
#define LEAVING_REPORT_TIME (2 * DFF_SEC)

static void
apply_leaving(step_t *step, upstream_t *up, notice_origin_t origin,
    dff_time_t at, const char *reporter)
{
	dff_relay_effect_t *fx;

	if (DFF_FAULT(RELAY_WORD_UNHEARD) ||
	    !upstream_note_leaving(up, origin, at))
		return;
	step->relay->counts[COUNT_LEAVING_NOTICES]++;
	dff_log(step->ctx, DFF_LOG_NOTICE, "upstream",
	    "upstream says that it is leaving id=%s pool=%s addr=%s "
	    "born=%" G_GUINT64_FORMAT " told_by=%s age_ms=%" G_GINT64_FORMAT
	    " running=%u",
	    up->record.id, up->record.pool, up->record.addr,
	    (guint64)up->record.started_ms, reporter,
	    (step->now - at) / DFF_MSEC, up->running);
	fx = relay_add_fx(step, DFF_RELAY_FX_CLOSE_IDLE);
	g_strlcpy(fx->upstream, up->record.id, sizeof(fx->upstream));
}

/* Several answers may ask for a pause: the latest end counts. */
static void
apply_pause(step_t *step, upstream_t *up, dff_time_t pause)
{
	dff_time_t until = step->now + MIN(pause, PAUSE_MAX);

	if (until <= up->pause_until)
		return;
	step->relay->counts[COUNT_PAUSE_NOTICES]++;
	dff_log(step->ctx, DFF_LOG_NOTICE, "upstream",
	    "upstream asked for a pause id=%s pool=%s "
	    "away_ms=%" G_GINT64_FORMAT " running=%u",
	    up->record.id, up->record.pool, pause / DFF_MSEC, up->running);
	up->pause_until = until;
}

void
notice_receive(step_t *step, dff_handle_t upstream, uint64_t born,
    dff_time_t sent_at, const dff_upstream_notice_t *notice)
{
	upstream_t *up = upstreams_get(step->relay->upstreams, upstream);

	/* A notice of an earlier start does not hold for this one. */
	if (up == NULL || up->record.started_ms != born)
		return;
	if (notice->leaving)
		apply_leaving(
		    step, up, NOTICE_ORIGIN_SELF, step->now, "itself");
	if (notice->pause > 0)
		apply_pause(step, up, notice->pause);
	limit_note_answer(step, up, notice, sent_at);
}

void
notice_receive_aside(step_t *step, const dff_relay_notice_t *aside)
{
	upstream_t *up = upstreams_find(
	    step->relay->upstreams, upstream_hash(aside->upstream));

	if (up == NULL)
		return;
	if (aside->notice.leaving)
		apply_leaving(
		    step, up, NOTICE_ORIGIN_SELF, step->now, "itself");
	if (aside->notice.pause > 0)
		apply_pause(step, up, aside->notice.pause);
	if (aside->notice.rate == DFF_RATE_LIMITED)
		limit_note_answer(step, up, &aside->notice, step->now);
}

/* ---- peers ---- */

void
notice_apply_frame(
    step_t *step, const peer_t *peer, const Dff__RelayBeat *frame)
{
	for (size_t i = 0; i < frame->n_words; i++) {
		const Dff__RelayWord *row = frame->words[i];
		upstream_t *up =
		    upstreams_find(step->relay->upstreams, row->upstream);
		dff_time_t at = step->now - row->age_ms * DFF_MSEC;

		if (up == NULL || up->record.started_ms != row->born)
			continue;
		if (row->leaving)
			apply_leaving(step, up,
			    frame->summary ? NOTICE_ORIGIN_DOMAIN :
					     NOTICE_ORIGIN_PEER,
			    at, peer->node);
		up->peers_pause_until = MAX(up->peers_pause_until,
		    step->now + MIN(row->away_ms * DFF_MSEC, PAUSE_MAX));
	}
}

size_t
notice_list(const dff_relay_t *relay, notice_origin_t farthest,
    Dff__RelayWord *rows, dff_time_t now)
{
	size_t count = 0;
	upstream_t *up;

	for (dff_handle_t h = 0; count < NOTICE_ROWS_MAX &&
	     (h = upstreams_next(relay->upstreams, h, &up)) != 0;) {
		bool leaving = up->leaving_origin != NOTICE_ORIGIN_NONE &&
		    up->leaving_origin <= farthest &&
		    now - up->leaving_since < LEAVING_REPORT_TIME;
		bool pause = now < up->pause_until;

		if (!leaving && !pause)
			continue;
		dff__relay_word__init(&rows[count]);
		rows[count].upstream = up->hash;
		rows[count].born = up->record.started_ms;
		rows[count].leaving = leaving;
		if (leaving)
			rows[count].age_ms =
			    (uint32_t)((now - up->leaving_since) / DFF_MSEC);
		if (pause)
			rows[count].away_ms =
			    (uint32_t)((up->pause_until - now) / DFF_MSEC);
		count++;
	}
	return count;
}
