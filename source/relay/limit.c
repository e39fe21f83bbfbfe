/*
 * Rate limits that upstreams name for all nodes together. A limit holds until
 * an answer comes without it, or the upstream restarts.
 */
#include "relay/limit.h"

/* A lower limit counts as this one, so that some answer can revoke it; in
 * requests a second. */
#define RATE_MIN 0.1

static void
log_limit(step_t *step, const upstream_t *up, double before)
{
	step->relay->counts[COUNT_LIMIT_NOTICES]++;
	dff_log(step->ctx, DFF_LOG_NOTICE, "upstream",
	    "upstream's rate limit changed id=%s pool=%s "
	    "born=%" G_GUINT64_FORMAT " limit=%.2f before=%.2f "
	    "told_by=itself running=%u",
	    up->record.id, up->record.pool, (guint64)up->record.started_ms,
	    up->own_limit.rate, before, up->running);
}

void
limit_note_answer(step_t *step, upstream_t *up,
    const dff_upstream_notice_t *notice, dff_time_t sent_at)
{
	double before = up->own_limit.rate;
	rate_statement_t statement = {.at = step->now};

	switch (notice->rate) {
	case DFF_RATE_UNSTATED:
		return;
	case DFF_RATE_UNLIMITED:
		/* It may have been sent before the limit was named. */
		if (sent_at <= up->own_limit.at)
			return;
		break;
	case DFF_RATE_LIMITED:
		statement.rate = MAX(notice->rate_max, RATE_MIN);
		break;
	}
	up->own_limit = statement;
	if (statement.rate != before)
		log_limit(step, up, before);
}
