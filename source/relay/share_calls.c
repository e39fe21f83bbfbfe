#include "relay/share_calls.h"

#include <string.h>

/* Engine time of one token of an answer, its part of a decoding step. */
#define DECODE_TIME (100 * DFF_USEC)
/* Engine time of a plain request. */
#define PLAIN_COST (20 * DFF_MSEC)
/* Longer times to come back are unreliable. */
#define RETRY_MAX (5 * DFF_SEC)
/* Callers return spread over this time and half of the time that they wait. */
#define RETRY_SPREAD (500 * DFF_MSEC)
/* Shortest time between frames with use of pools. It is longer by as much for
 * each so many peers in the domain, for summaries in the fleet. */
#define LIST_INTERVAL (900 * DFF_MSEC)
#define LIST_PEERS    32
#define LIST_FLEET    100
/* Units of use per millisecond in frames. */
#define UNITS_PER_MS 10
/* Nodes that one report may cover. */
#define REPORT_NODES_MAX 10000

/* ---- calls ---- */

static bool
has_share(const call_t *call)
{
	return call->routing->organisations != NULL &&
	    call->organisation[0] != '\0';
}

static uint32_t
organisation_rank(const call_t *call)
{
	const dff_organisation_t *organisation = dff_organisations_find_name(
	    call->routing->organisations, call->organisation);

	return organisation != NULL && organisation->has_priority ?
	    organisation->priority :
	    SHARE_RANK_DEFAULT;
}

static dff_time_t
call_cost(
    const dff_relay_t *relay, const call_t *call, const placement_t *place)
{
	if (call->prompt.count == 0)
		return PLAIN_COST;
	return (dff_time_t)(place->uncached / relay->pool_stats.tokens_per_ms *
		   DFF_MSEC) +
	    call->prompt.tokens_out * DECODE_TIME;
}

static void
log_beyond(step_t *step, const call_t *call)
{
	const share_verdict_t *verdict = &call->share_verdict;

	dff_log(step->ctx, DFF_LOG_INFO, "share",
	    "request beyond its organisation's share id=%s pool=%s "
	    "organisation=%s use_ms_per_s=%.1f level_ms_per_s=%.1f "
	    "limit_ms=%" G_GINT64_FORMAT,
	    call->id, call->pool, call->organisation, verdict->use,
	    verdict->level, verdict->limit / DFF_MSEC);
}

void
share_call_decide(
    step_t *step, call_t *call, const placement_t *place, dff_time_t wait)
{
	dff_relay_t *relay = step->relay;

	if (call->share_decided || call->sends > 0 || !has_share(call))
		return;
	call->share_decided = true;
	call->share = (share_request_t){.pool = call->pool,
	    .organisation = share_key(call->organisation),
	    .rank = organisation_rank(call),
	    .priority = call->priority,
	    .content = call->content_hash,
	    .cost = call_cost(relay, call, place),
	    .wait = wait};
	shares_set_fleet(relay->shares, relay->peers->len + 1,
	    dff_organisations_count(call->routing->organisations));
	shares_decide(relay->shares, &call->share, dff_rand_unit(step->ctx),
	    step->now, &call->share_verdict);
	if (!call->share_verdict.beyond)
		return;
	relay->counts[COUNT_BEYOND_SHARE]++;
	log_beyond(step, call);
}

dff_time_t
share_call_limit(const call_t *call, dff_time_t wait)
{
	return call->share_decided ? call->share_verdict.limit : wait;
}

void
share_call_note_sent(step_t *step, call_t *call)
{
	if (!call->share_decided || call->sends > 0)
		return;
	shares_note_admitted(step->relay->shares, &call->share, step->now);
}

void
share_call_note_refused(step_t *step, const call_t *call)
{
	if (call->share_decided)
		shares_note_refused(
		    step->relay->shares, &call->share, step->now);
}

dff_time_t
share_call_retry_time(step_t *step, const call_t *call, dff_time_t drain)
{
	dff_time_t time = MIN(MAX(call->share_verdict.retry, drain), RETRY_MAX);

	return time +
	    (dff_time_t)(dff_rand_unit(step->ctx) *
		(double)(time / 2 + RETRY_SPREAD));
}

/* ---- frames ---- */

static uint32_t
to_units(double ms)
{
	return (uint32_t)MIN(ms * UNITS_PER_MS + 0.5, (double)UINT32_MAX);
}

/* Whether use is due: it is reported less often in large domains, and to other
 * domains in a large fleet. */
static bool
is_due(const dff_relay_t *relay, bool domain, dff_time_t now)
{
	uint32_t factor = 1 +
	    (domain ? relay->peers->len / LIST_FLEET :
		      peers_count_direct(relay, now) / LIST_PEERS);

	return now - relay->shares_listed_at[domain] >= LIST_INTERVAL * factor;
}

size_t
share_list_frame(
    dff_relay_t *relay, bool domain, share_rows_t *rows, dff_time_t now)
{
	share_report_t reports[SHARE_POOLS_MAX];
	size_t count;

	if (!is_due(relay, domain, now))
		return 0;
	relay->shares_listed_at[domain] = now;
	count =
	    shares_list(relay->shares, domain, reports, SHARE_POOLS_MAX, now);
	for (size_t i = 0; i < count; i++) {
		const share_report_t *report = &reports[i];
		Dff__RelayShare *row = &rows->reports[i];

		rows->rows[i] = row;
		dff__relay_share__init(row);
		row->pool = report->pool;
		row->nodes = report->nodes;
		row->offered = to_units(report->offered);
		row->admitted = to_units(report->admitted);
		for (uint32_t k = 0; k < report->row_count; k++) {
			rows->organisations[i][k] =
			    report->rows[k].organisation;
			rows->uses[i][k] = to_units(report->rows[k].offered);
			rows->ranks[i][k] = report->rows[k].rank;
		}
		row->n_organisations = report->row_count;
		row->organisations = rows->organisations[i];
		row->n_uses = report->row_count;
		row->uses = rows->uses[i];
		row->n_ranks = report->row_count;
		row->ranks = rows->ranks[i];
	}
	return count;
}

static void
apply_row(
    step_t *step, uint64_t source, bool in_domain, const Dff__RelayShare *row)
{
	share_report_t report = {.pool = row->pool,
	    .nodes = CLAMP(row->nodes, 1, REPORT_NODES_MAX),
	    .offered = (double)row->offered / UNITS_PER_MS,
	    .admitted = (double)row->admitted / UNITS_PER_MS};

	if (row->n_organisations > SHARE_ROWS_MAX ||
	    row->n_uses != row->n_organisations ||
	    row->n_ranks != row->n_organisations)
		return;
	report.row_count = (uint32_t)row->n_organisations;
	for (uint32_t i = 0; i < report.row_count; i++)
		report.rows[i] = (share_row_t){row->organisations[i],
		    row->ranks[i], (double)row->uses[i] / UNITS_PER_MS};
	shares_apply(
	    step->relay->shares, source, in_domain, &report, step->now);
}

void
share_apply_frame(step_t *step, const peer_t *peer, const Dff__RelayBeat *frame)
{
	const char *node = peer->node != NULL ? peer->node : peer->addr;
	bool in_domain = !frame->summary &&
	    strcmp(peer->domain, step->relay->config.domain) == 0;

	for (size_t i = 0; i < frame->n_shares; i++)
		apply_row(step, dff_hash(node, strlen(node), 0), in_domain,
		    frame->shares[i]);
}
