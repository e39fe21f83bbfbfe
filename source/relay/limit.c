/*
 * Rate limits that upstreams name for all nodes together. A limit holds until
 * an answer comes without it, or the upstream restarts. Each node reports what
 * upstreams stated to itself, with its age, and not what others report; of
 * several statements the newest counts.
 */
#include "base/fault.h"
#include "relay/coordinator.h"
#include "relay/limit.h"
#include "relay/permit.h"

/* A lower limit counts as this one, so that some answer can revoke it; in
 * requests a second. */
#define RATE_MIN 0.1
/* A change is reported in all frames for this time, as frames get lost. */
#define CHANGE_REPORT_TIME (500 * DFF_MSEC)
/* The end of a limit is reported for this time. */
#define END_REPORT_TIME (3 * DFF_SEC)

/* Replaces one of the upstream's statements. */
static void
replace(step_t *step, upstream_t *up, rate_statement_t *statement,
    const rate_statement_t *with, const char *told_by)
{
	double before = rate_limit_newest(&up->limit)->rate;
	double after;

	if (statement == &up->limit.own && statement->rate != with->rate)
		up->limit.own_changed_at = step->now;
	*statement = *with;
	after = rate_limit_newest(&up->limit)->rate;
	if (before == after)
		return;
	step->relay->counts[COUNT_LIMIT_CHANGES]++;
	dff_log(step->ctx, DFF_LOG_NOTICE, "upstream",
	    "upstream's rate limit changed id=%s pool=%s "
	    "born=%" G_GUINT64_FORMAT " limit=%.2f before=%.2f told_by=%s "
	    "age_ms=%" G_GINT64_FORMAT " running=%u",
	    up->record.id, up->record.pool, (guint64)up->record.started_ms,
	    after, before, told_by, (step->now - with->at) / DFF_MSEC,
	    up->running);
	up->limit.denied_until = 0;
	if (before == 0)
		rate_limit_begin(&up->limit, step->now);
	coordinator_update(step, up);
	if (after == 0)
		permit_wake_all(step, up);
}

void
limit_note_answer(step_t *step, upstream_t *up,
    const dff_upstream_notice_t *notice, dff_time_t sent_at)
{
	rate_statement_t statement = {.at = step->now};

	switch (notice->rate) {
	case DFF_RATE_UNSTATED:
		return;
	case DFF_RATE_UNLIMITED:
		/* It may have been sent before the limit was named. */
		if (sent_at <= rate_limit_newest(&up->limit)->at ||
		    DFF_FAULT(RELAY_LIMIT_STAYS))
			return;
		break;
	case DFF_RATE_LIMITED:
		statement.rate = MAX(notice->rate_max, RATE_MIN);
		break;
	}
	replace(step, up, &up->limit.own, &statement, "itself");
}

static void
apply_reported(step_t *step, upstream_t *up, rate_statement_t *statement,
    double rate, uint32_t age_ms, const char *told_by)
{
	rate_statement_t reported = {
	    .at = MAX(step->now - age_ms * DFF_MSEC, 1),
	    .rate = rate > 0 ? CLAMP(rate, RATE_MIN, DFF_RATE_MAX) : 0};

	if (reported.at > statement->at)
		replace(step, up, statement, &reported, told_by);
}

void
limit_note_request(step_t *step, upstream_t *up,
    const Dff__RelayPermit *request, const char *addr)
{
	/* It may be from another node's report. */
	if (!rate_limit_is_set(&up->limit))
		apply_reported(step, up, &up->limit.peers, request->rate,
		    request->age_ms, addr);
}

void
limit_apply_frame(step_t *step, const peer_t *peer, const Dff__RelayBeat *frame)
{
	for (size_t i = 0; i < frame->n_limits; i++) {
		const Dff__RelayLimit *row = frame->limits[i];
		upstream_t *up =
		    upstreams_find(step->relay->upstreams, row->upstream);

		if (up == NULL || up->record.started_ms != row->born)
			continue;
		apply_reported(step, up,
		    frame->summary ? &up->limit.domains : &up->limit.peers,
		    row->rate, row->age_ms, peer->node);
	}
}

/* The statement that a frame reports of an upstream, or NULL. */
static const rate_statement_t *
statement_to_report(
    const rate_limit_t *limit, bool summary, bool all, dff_time_t now)
{
	const rate_statement_t *statement = &limit->own;
	dff_time_t changed_at = limit->own_changed_at;

	if (summary && limit->peers.at > limit->own.at) {
		statement = &limit->peers;
		changed_at = limit->peers.at;
	}
	if (changed_at == 0 || DFF_FAULT(RELAY_LIMIT_UNTOLD))
		return NULL;
	if (now - changed_at < CHANGE_REPORT_TIME)
		return statement;
	if (!all)
		return NULL;
	return statement->rate > 0 || now - changed_at < END_REPORT_TIME ?
	    statement :
	    NULL;
}

size_t
limit_list(dff_relay_t *relay, bool summary, bool all, Dff__RelayLimit *rows,
    dff_time_t now)
{
	dff_handle_t *next = &relay->next_limit_row[summary ? 1 : 0];
	size_t count = 0;
	upstream_t *up;

	for (dff_handle_t h = *next;
	     (h = upstreams_next(relay->upstreams, h, &up)) != 0;) {
		const rate_statement_t *statement =
		    statement_to_report(&up->limit, summary, all, now);

		if (statement == NULL)
			continue;
		dff__relay_limit__init(&rows[count]);
		rows[count].upstream = up->hash;
		rows[count].born = up->record.started_ms;
		rows[count].rate = statement->rate;
		rows[count].age_ms =
		    (uint32_t)((now - statement->at) / DFF_MSEC);
		if (++count == LIMIT_ROWS_MAX) {
			*next = h;
			return count;
		}
	}
	*next = 0;
	return count;
}
