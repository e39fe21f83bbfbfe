#include "relay/give_up.h"

#include "base/fault.h"
#include "relay/kv_room.h"
#include "relay/origin.h"
#include "relay/share_calls.h"
#include "relay/suspect.h"

/* Sends of one request that may fail for want of a connection. */
#define UNREACHABLE_SENDS_MAX 12
/* With less time left than this, an upstream cannot answer. */
#define TIME_LEFT_MIN (15 * DFF_MSEC)
/* Share of a caller's time within which the first byte must be predicted. */
#define TIMEOUT_SHARE 0.8
/* Callers abandon a stream after a pause of this length, or of these multiples
 * of its target_latency or target_gap if that is longer. */
#define ABANDON_GAP	  (2 * DFF_SEC)
#define ABANDON_LATENCIES 4
#define ABANDON_GAPS	  8
/* Share of its target_latency that a generation may wait for prompts ahead of
 * it: with a longer wait it would be late for certain and delay those behind
 * it. */
#define QUEUE_SHARE 0.8
/* A queue that still gets new requests takes this multiple of its excess to
 * drain, and at least the time to read a long prompt. */
#define RETRY_FACTOR 2
#define RETRY_MIN    (300 * DFF_MSEC)
/* Longer estimates are unreliable. */
#define RETRY_MAX (5 * DFF_SEC)
/* Retries of callers refused at the same time are spread over this time plus
 * the time that the queue takes to drain. */
#define RETRY_SPREAD (500 * DFF_MSEC)

/* Time after arrival until which a first byte is useful. */
static dff_time_t
first_byte_limit(const call_t *call)
{
	const dff_route_t *route = call->route;
	dff_time_t limit = call->deadline - call->arrived_at;
	dff_time_t abandon_time = ABANDON_GAP;

	if (route->kind == DFF_ROUTE_STREAM) {
		abandon_time = MAX(
		    abandon_time, ABANDON_LATENCIES * route->target_latency);
		abandon_time =
		    MAX(abandon_time, ABANDON_GAPS * route->target_gap);
		limit = MIN(limit, abandon_time);
	}
	return (dff_time_t)(TIMEOUT_SHARE * (double)limit);
}

/*
 * Longest time that requests ahead of it may take. A prompt's own reading time
 * does not count, or long prompts would never be served.
 */
static dff_time_t
queue_limit(const call_t *call)
{
	return (dff_time_t)(QUEUE_SHARE * (double)call->route->target_latency);
}

/* Longest time that a call may wait for others: all of its time, if it has no
 * prompt that delays those behind it. */
static dff_time_t
longest_wait(const call_t *call)
{
	return call->prompt.count > 0 ? queue_limit(call) :
					first_byte_limit(call);
}

/* Retry time for a request whose predicted wait is @excess too long; random, so
 * that callers refused together do not return together. */
static dff_time_t
retry_time(step_t *step, dff_time_t excess)
{
	dff_time_t drain_time = RETRY_FACTOR * excess;
	double spread = (double)(drain_time + RETRY_SPREAD);

	return MIN(RETRY_MIN + drain_time +
		(dff_time_t)(dff_rand_unit(step->ctx) * spread),
	    RETRY_MAX);
}

bool
give_up_if_refused(step_t *step, call_t *call)
{
	uint64_t key = 0;
	dff_time_t refused_for = suspect_refusal_time(
	    step->relay, call->content_hash, &call->prompt, step->now, &key);

	if (refused_for == 0 || DFF_FAULT(RELAY_VERDICT_ON_ARRIVAL))
		return false;
	suspect_note_refusal(step, call->id, key);
	relay_call_give_up(step, call,
	    call->progress < DFF_PROGRESS_MAY_HAVE_RUN ? DFF_FAILURE_BUSY :
							 DFF_FAILURE_UPSTREAM,
	    refused_for, "breaks_upstreams");
	return true;
}

bool
give_up_if_spent(step_t *step, call_t *call)
{
	if (call->stream_begun && call->stream_software[0] == '\0') {
		relay_call_give_up(
		    step, call, DFF_FAILURE_BUSY, 0, "stream_software_unknown");
		return true;
	}
	if (call->deadline - step->now < TIME_LEFT_MIN) {
		relay_call_give_up(
		    step, call, DFF_FAILURE_TIMEOUT, 0, "no_time_left");
		return true;
	}
	if (call->sends - call->unreachable_sends >= SENDS_MAX ||
	    call->unreachable_sends >= UNREACHABLE_SENDS_MAX) {
		relay_call_give_up(
		    step, call, DFF_FAILURE_BUSY, DFF_SEC, "sends");
		return true;
	}
	return false;
}

static void
give_up_unplaced(step_t *step, call_t *call, const placement_t *place)
{
	const char *why = *origin_bound_software(call) != '\0' ?
	    "no_upstream_of_its_software" :
	    "no_upstream";

	dff_time_t retry = place->retry;

	if (place->no_kv_room) {
		step->relay->counts[COUNT_REFUSED_KV_ROOM]++;
		why = "no_kv_room";
		retry = KV_ROOM_TIME;
	} else if (place->limited) {
		step->relay->counts[COUNT_REFUSED_LIMITED]++;
		why = "limited";
	} else if (place->retry > 0)
		why = "upstreams_away";
	relay_call_give_up(step, call, DFF_FAILURE_BUSY,
	    retry > 0 ? retry_time(step, retry) : DFF_SEC, why);
}

/* Gives up a call for which too much work is queued, by what its organisation
 * may have of a scarce room. */
static bool
give_up_if_queued(step_t *step, call_t *call, const placement_t *place)
{
	dff_relay_t *relay = step->relay;
	dff_time_t usual = longest_wait(call);
	dff_time_t limit = share_call_limit(call, usual);
	dff_time_t wait =
	    call->prompt.count > 0 ? place->queue_time : place->wait;
	dff_time_t retry;

	/* A stream that has begun is not late by its wait. */
	if (call->sends > 0 || call->stream_begun || wait <= limit ||
	    DFF_FAULT(RELAY_ADMIT_ALL))
		return false;
	retry = retry_time(step, wait - limit);
	share_call_note_refused(step, call);
	if (limit < usual) {
		relay->counts[COUNT_REFUSED_SHARE]++;
		relay_call_give_up(step, call, DFF_FAILURE_BUSY,
		    share_call_retry_time(step, call, retry), "share");
	} else
		relay_call_give_up(
		    step, call, DFF_FAILURE_BUSY, retry, "queue");
	return true;
}

bool
give_up_if_unservable(step_t *step, call_t *call, const placement_t *place)
{
	dff_time_t waited = step->now - call->arrived_at;
	dff_time_t limit = first_byte_limit(call);

	if (place->upstream == 0) {
		give_up_unplaced(step, call, place);
		return true;
	}
	/* All candidates failed recently, and this call could not connect. */
	if (place->recently_failed && call->unreachable_sends > 0 &&
	    call->progress != DFF_PROGRESS_ANSWERING) {
		relay_call_give_up(
		    step, call, DFF_FAILURE_BUSY, DFF_SEC, "unreachable");
		return true;
	}
	share_call_decide(step, call, place, longest_wait(call));
	if (call->progress != DFF_PROGRESS_ANSWERING &&
	    call->progress != DFF_PROGRESS_PREFILLED &&
	    waited + place->wait > limit) {
		share_call_note_refused(step, call);
		relay_call_give_up(step, call, DFF_FAILURE_BUSY,
		    retry_time(step, waited + place->wait - limit), "late");
		return true;
	}
	return give_up_if_queued(step, call, place);
}

bool
give_up_if_over_budget(step_t *step, call_t *call)
{
	dff_relay_t *relay = step->relay;

	if (call->counted_sends == 0 ||
	    (call->budget_taken && !DFF_FAULT(RELAY_BUDGET_TAKEN_TWICE)))
		return false;
	call->budget_taken = budget_take(relay->budget, call->pool, step->now);
	if (call->budget_taken)
		return false;
	relay->counts[COUNT_BUDGET_EMPTY]++;
	relay_call_give_up(step, call, DFF_FAILURE_BUSY, DFF_SEC, "budget");
	return true;
}
