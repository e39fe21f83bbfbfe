/*
 * Long prompts that share most of their tokens may arrive faster than the
 * engines could read them again, beside short ones that need little. So a
 * prompt goes to the engine that is predicted to finish reading it first,
 * with cached parts taken into account. A part that no engine has cached gets
 * a home engine by hash, so that nodes send it to the same engine even before
 * they know of each other's requests.
 */
#include "relay/place.h"

#include "base/fault.h"
#include "relay/kv_room.h"

#include <string.h>

/* A handover to another engine for decoding: one more request, the set-up of
 * the transfer, and a surplus that keeps short prompts off the prefill
 * engines. */
#define HANDOVER_TIME (45 * DFF_MSEC)
/* Delay of the next request's first token by each running request. */
#define RUNNING_TIME (300 * DFF_USEC)
/* Wait for memory or a slot of a full engine. */
#define FULL_TIME (400 * DFF_MSEC)
/* Share of its memory above which an engine counts as full. */
#define FULL_SHARE 0.85
/* Penalty at an error rate of 1; proportionally less below. */
#define ERROR_PENALTY (2 * DFF_SEC)
/* Time of one plain request in the queue, divided by the slots. */
#define PLAIN_TIME (40 * DFF_MSEC)
/* Share of the reading time of queued prompts for which a handover waits at a
 * decode engine, which reads prompts between its decoding steps. */
#define DECODE_QUEUE_SHARE 0.3
/* Reading also delays all later requests at that engine: this multiple of the
 * reading time is added to the request's own. */
#define READ_WEIGHT 1.0
/* Share of target_gap that reading a prompt may take without cost. */
#define GAP_SHARE 0.5
/* Upper bound of the share of streams with a long gap: in an overload all
 * streams are late. */
#define LONG_GAP_SHARE_MAX 0.25
/* Advantage of an upstream about which too little is known. */
#define EXPLORE_BONUS (20 * DFF_MSEC)
/* Share of its slots below which the number of requests that an upstream takes
 * well counts as its bound. */
#define WELL_SHARE 0.9
/* Reading fewer tokens than this takes less time than fetching them. */
#define FETCH_TOKENS_MIN 150
/* Set-up of a transfer between engines. */
#define FETCH_TIME (6 * DFF_MSEC)
/* A fetched copy evicts other parts, which have to be read again later: this
 * multiple of its transfer time is added to the request's own. */
#define FETCH_WEIGHT 12
/* The same for the memory moved by a handover, which also evicts cached
 * parts. */
#define MOVE_WEIGHT 3
/* Advantage of the home engine of a prompt that no engine is known to have
 * cached: share of the time to read its shared parts. */
#define HOME_SHARE 1.0

/* Wait for a slot and for memory, without the reading of queued prompts. */
static dff_time_t
capacity_wait(
    const upstream_t *up, const placement_request_t *request, double factor)
{
	uint32_t running = up->running + up->peer_sends.running;
	uint32_t slots = MAX(up->record.slots, 1);
	dff_time_t wait = (dff_time_t)(running * factor * RUNNING_TIME);
	double need;

	/* An upstream resets connections beyond its limit. */
	if (request->sends_max > 0 && up->running >= request->sends_max)
		wait += FULL_TIME;
	if (running >= slots)
		wait += FULL_TIME * (running - slots + 1) / slots + FULL_TIME;
	if (request->pool_config == NULL ||
	    request->pool_config->kv_tokens == 0)
		return wait;
	need = (double)(up->memory + up->peer_sends.memory) +
	    request->prompt->tokens + request->prompt->tokens_out;
	if (need > FULL_SHARE * (double)request->pool_config->kv_tokens)
		wait += FULL_TIME;
	return wait;
}

static dff_time_t
network_time(const upstream_t *up, const placement_request_t *request)
{
	return strcmp(up->record.domain, request->domain) == 0 ?
	    0 :
	    2 * request->cross_domain_latency;
}

/* Penalties of an upstream that are not part of its predicted time. */
static dff_time_t
penalty_time(const upstream_t *up, const placement_request_t *request)
{
	dff_time_t time = (dff_time_t)(up->error_rate * ERROR_PENALTY);

	if (strcmp(up->record.domain, request->domain) != 0)
		time += request->cross_domain_penalty;
	return time;
}

/* The home of an uncached prompt is the engine with the highest hash over its
 * id and the prompt's shared parts. */
static uint64_t
home_score(const upstream_t *up, uint64_t shared)
{
	return dff_hash(&up->hash, sizeof(up->hash), shared);
}

/* Hash of the parts that other requests may share: all but the last, or the
 * only one. */
static uint64_t
shared_hash(const dff_prompt_t *prompt)
{
	uint32_t count = prompt->count > 1 ? prompt->count - 1 : prompt->count;
	uint64_t hash = 0;

	for (uint32_t i = 0; i < count; i++)
		hash = dff_hash(
		    &prompt->parts[i].id, sizeof(prompt->parts[i].id), hash);
	return hash;
}

static bool
is_avoided(const placement_request_t *request, dff_handle_t handle)
{
	for (uint32_t i = 0; i < request->avoid_count; i++) {
		if (request->avoid[i] == handle)
			return true;
	}
	return false;
}

/* The best upstream found so far. */
typedef struct best {
	dff_handle_t handle;
	dff_time_t cost;
	dff_time_t wait;
	dff_time_t queue_time;
	uint32_t uncached;
	dff_handle_t donor;
	uint64_t home_score;
	bool recently_failed;
	bool explored;
} best_t;

/* Software versions of a pool for which a donor is looked for. */
#define DONORS_MAX 4

/* The engine of one software version that is expected to have cached most of a
 * prompt. */
typedef struct donor {
	dff_handle_t handle;
	const upstream_t *up;
	uint32_t tokens;
} donor_t;

/* One request to be placed, and values that all upstreams share. */
typedef struct search {
	const upstreams_t *upstreams;
	const pool_stats_t *stats;
	const placement_request_t *request;
	dff_time_t now;
	uint64_t shared; /* shared_hash() of the prompt */
	donor_t donors[DONORS_MAX];
	uint32_t donor_count;
	bool no_kv_room; /* at one of the engines */
} search_t;

static bool
is_better(const best_t *candidate, const best_t *other)
{
	if (candidate->recently_failed != other->recently_failed)
		return other->recently_failed;
	if (candidate->cost != other->cost)
		return candidate->cost < other->cost;
	return candidate->home_score > other->home_score;
}

static void
consider(best_t *best, const best_t *candidate)
{
	if (best->handle == 0 || is_better(candidate, best))
		*best = *candidate;
}

/* Whether the upstream's rate limit may leave room for a request. */
static bool
has_room(const search_t *search, const upstream_t *up)
{
	if (search->request->permit_at_hand)
		return rate_limit_has_permit(&up->limit, search->now);
	return !rate_limit_is_denied(&up->limit, search->now);
}

/* Whether the upstream may run the request at all, now or later. */
static bool
is_eligible(const placement_request_t *request, const upstream_t *up)
{
	return strcmp(up->record.pool, request->pool) == 0 &&
	    (*request->software == '\0' ||
		strcmp(upstream_software(up), request->software) == 0 ||
		DFF_FAULT(RELAY_STREAM_SOFTWARE_IGNORED));
}

static bool
is_candidate(const search_t *search, const upstream_t *up, dff_handle_t handle)
{
	return upstream_is_available(up, search->now) &&
	    (has_room(search, up) || DFF_FAULT(RELAY_LIMIT_IGNORED)) &&
	    !is_avoided(search->request, handle) &&
	    is_eligible(search->request, up);
}

static bool
has_kv_room(search_t *search, upstream_t *up, bool decodes)
{
	bool room = kv_has_room(up, search->request, decodes, search->now);

	search->no_kv_room |= !room;
	return room;
}

/* Wait for a slot at an upstream that runs plain requests. It may slow down
 * long before its slots are taken. */
static dff_time_t
plain_wait(const upstream_t *up, double factor)
{
	uint32_t running = up->running + up->peer_sends.running;
	uint32_t slots = MAX(up->record.slots, 1);
	double well = capacity_takes_well(&up->capacity, slots);
	double wait = running * factor * PLAIN_TIME / slots;

	if (well < WELL_SHARE * slots && running + 1 > well)
		wait += (running + 1 - well) * factor * PLAIN_TIME / well;
	return (dff_time_t)wait;
}

/* An upstream that may be fast again counts as a usual one for a few requests,
 * as far as its cost is concerned. */
static void
explore(const search_t *search, const upstream_t *up, double factor,
    dff_time_t time, best_t *candidate)
{
	if (!search->request->explores || factor <= 1 ||
	    !pool_stats_is_doubtful(search->stats, up, search->now))
		return;
	candidate->explored = true;
	candidate->cost -=
	    (dff_time_t)((double)time * (1 - 1 / factor)) + EXPLORE_BONUS;
}

static void
place_plain(const search_t *search, best_t *best)
{
	const placement_request_t *request = search->request;
	upstream_t *up;

	for (dff_handle_t h = 0;
	     (h = upstreams_next(search->upstreams, h, &up)) != 0;) {
		best_t candidate = {.handle = h};
		double factor;
		dff_time_t more;

		if (!is_candidate(search, up, h))
			continue;
		factor =
		    pool_stats_plain_factor(search->stats, up, search->now);
		/* Its own work, beside that of a usual upstream. */
		more = (dff_time_t)((factor - 1) *
		    (double)pool_stats_plain_time(search->stats, up));
		candidate.recently_failed =
		    !upstream_takes_work(up, search->now);
		candidate.wait =
		    network_time(up, request) + plain_wait(up, factor);
		if (request->sends_max > 0 && up->running >= request->sends_max)
			candidate.wait += FULL_TIME;
		candidate.cost =
		    candidate.wait + more + penalty_time(up, request);
		candidate.wait += MAX(more, 0);
		explore(search, up, factor, candidate.wait, &candidate);
		candidate.home_score = home_score(up, search->shared);
		consider(best, &candidate);
	}
}

/* Time to transfer the KV memory of @tokens between two engines. */
static dff_time_t
move_time(const placement_request_t *request, const upstream_t *source_engine,
    const upstream_t *target, uint32_t tokens)
{
	double bits;
	dff_time_t time;

	if (request->pool_config == NULL ||
	    request->pool_config->link_mbps <= 0)
		return 0;
	bits = (double)tokens * (double)request->pool_config->token_bytes * 8;
	time = (dff_time_t)(bits / request->pool_config->link_mbps);
	return strcmp(source_engine->record.domain, target->record.domain) ==
		0 ?
	    time :
	    2 * time;
}

/* Whether KV memory that one of two engines wrote can be used by the other:
 * engines do not check who wrote it. */
static bool
shares_memory(const upstream_t *up, const upstream_t *other)
{
	return strcmp(up->record.software, other->record.software) == 0 ||
	    DFF_FAULT(RELAY_MEMORY_OF_ANY_SOFTWARE);
}

/* The donor of the engine's software version; NULL if there is none. */
static donor_t *
donor_for(search_t *search, const upstream_t *up)
{
	for (uint32_t i = 0; i < search->donor_count; i++) {
		if (shares_memory(search->donors[i].up, up))
			return &search->donors[i];
	}
	return NULL;
}

/* Considers an engine as donor; among equals one of this domain is preferred.
 */
static void
consider_donor(search_t *search, dff_handle_t handle, const upstream_t *up,
    uint32_t tokens)
{
	donor_t *donor = donor_for(search, up);

	if (donor == NULL) {
		if (search->donor_count == DONORS_MAX)
			return;
		donor = &search->donors[search->donor_count++];
	} else if (tokens < donor->tokens ||
	    (tokens == donor->tokens &&
		strcmp(up->record.domain, search->request->domain) != 0))
		return;
	*donor = (donor_t){handle, up, tokens};
}

static void
find_donors(search_t *search)
{
	const placement_request_t *request = search->request;
	upstream_t *up;

	if (request->pool_config == NULL ||
	    request->pool_config->link_mbps <= 0)
		return;
	for (dff_handle_t h = 0;
	     (h = upstreams_next(search->upstreams, h, &up)) != 0;) {
		uint32_t tokens;

		if (!is_candidate(search, up, h) ||
		    !upstream_takes_work(up, search->now))
			continue;
		tokens =
		    upstream_fetchable_tokens(up, request->prompt, search->now);
		if (tokens > 0)
			consider_donor(search, h, up, tokens);
	}
}

/*
 * Cost of reading a prompt for the streams of a decode engine, which reads
 * prompts between decoding steps. Reading time beyond the tolerated pause
 * delays each running stream. It is weighted by the measured share of streams
 * with a long gap, as the engine decides how much it reads between two steps.
 */
static dff_time_t
pause_cost(const search_t *search, const upstream_t *up, dff_time_t own)
{
	const placement_request_t *request = search->request;
	dff_time_t tolerated =
	    (dff_time_t)(GAP_SHARE * (double)request->target_gap);

	if (up->record.role != DFF_ROLE_DECODE || request->target_gap == 0 ||
	    DFF_FAULT(RELAY_PAUSES_FREE))
		return 0;
	if (own <= tolerated)
		return 0;
	return (
	    dff_time_t)(MIN(search->stats->long_gap_share, LONG_GAP_SHARE_MAX) *
	    (double)(own - tolerated) * (up->running + up->peer_sends.running));
}

/* Rate reading a prompt at one engine. */
static void
rate_read(search_t *search, const upstream_t *up, dff_handle_t handle,
    best_t *candidate)
{
	const pool_stats_t *stats = search->stats;
	const placement_request_t *request = search->request;
	const donor_t *donor = donor_for(search, up);
	uint32_t tokens = request->prompt->tokens;
	uint32_t cached =
	    MIN(upstream_cached_tokens(up, request->prompt), tokens);
	double factor = pool_stats_factor(stats, up, search->now);
	double token_time;
	dff_time_t fetch = 0;
	dff_time_t own;

	memset(candidate, 0, sizeof(*candidate));
	candidate->handle = handle;
	candidate->recently_failed = !upstream_takes_work(up, search->now);
	if (donor != NULL && donor->tokens >= cached + FETCH_TOKENS_MIN) {
		candidate->donor = donor->handle;
		fetch = FETCH_TIME +
		    move_time(request, donor->up, up, donor->tokens - cached);
		cached = MIN(donor->tokens, tokens);
	}
	candidate->uncached = tokens - cached;
	token_time = pool_stats_token_time(stats, up) * factor;
	candidate->queue_time = capacity_wait(up, request, factor) +
	    (dff_time_t)((double)(up->backlog + up->peer_sends.backlog) *
		token_time);
	own = (dff_time_t)(candidate->uncached * token_time);
	candidate->wait =
	    network_time(up, request) + candidate->queue_time + own + fetch;
	candidate->cost = candidate->wait + penalty_time(up, request) +
	    (dff_time_t)(READ_WEIGHT * (double)own) + FETCH_WEIGHT * fetch;
	candidate->cost += pause_cost(search, up, own);
	explore(search, up, factor, candidate->queue_time + 2 * own, candidate);
	candidate->home_score = home_score(up, search->shared);
}

/* Choose the engine that reads a prompt, among the prefill engines or among
 * those that also decode. */
static void
place_read(search_t *search, bool decodes, best_t *best)
{
	upstream_t *up;
	best_t home = {0};
	best_t candidate;

	for (dff_handle_t h = 0;
	     (h = upstreams_next(search->upstreams, h, &up)) != 0;) {
		if (!is_candidate(search, up, h) ||
		    decodes != (up->record.role != DFF_ROLE_PREFILL) ||
		    !has_kv_room(search, up, decodes))
			continue;
		rate_read(search, up, h, &candidate);
		if (home.handle == 0 || candidate.home_score > home.home_score)
			home = candidate;
		consider(best, &candidate);
	}
	/* Another node may have sent it to its home already. */
	if (home.handle != 0 && search->donor_count == 0) {
		up = upstreams_get(search->upstreams, home.handle);
		home.cost -= (dff_time_t)(HOME_SHARE *
		    (double)pool_stats_read_time(search->stats, up,
			prompt_shared_tokens(search->request->prompt),
			search->now));
		consider(best, &home);
	}
}

/* Choose the engine that decodes from KV memory of another engine. */
static void
place_decode(search_t *search, dff_handle_t source, best_t *best)
{
	const placement_request_t *request = search->request;
	const upstream_t *source_engine =
	    upstreams_get(search->upstreams, source);
	upstream_t *up;

	for (dff_handle_t h = 0;
	     (h = upstreams_next(search->upstreams, h, &up)) != 0;) {
		best_t candidate = {.handle = h};
		dff_time_t move = 0;
		double factor;

		if (!is_candidate(search, up, h) ||
		    up->record.role == DFF_ROLE_PREFILL ||
		    (source_engine != NULL &&
			!shares_memory(source_engine, up)) ||
		    !has_kv_room(search, up, true))
			continue;
		candidate.recently_failed =
		    !upstream_takes_work(up, search->now);
		candidate.uncached = request->prompt->tokens -
		    MIN(upstream_cached_tokens(up, request->prompt),
			request->prompt->tokens);
		if (source_engine != NULL)
			move = move_time(
			    request, source_engine, up, candidate.uncached);
		factor = pool_stats_factor(search->stats, up, search->now);
		candidate.queue_time = capacity_wait(up, request, factor) +
		    (dff_time_t)(DECODE_QUEUE_SHARE * factor *
			pool_stats_token_time(search->stats, up) *
			(double)(up->backlog + up->peer_sends.backlog));
		candidate.wait =
		    network_time(up, request) + candidate.queue_time + move;
		candidate.cost = candidate.wait + penalty_time(up, request) +
		    MOVE_WEIGHT * move;
		candidate.home_score = home_score(up, search->shared);
		consider(best, &candidate);
	}
}

static void
set_place(placement_t *place, const best_t *best, dff_stage_t step)
{
	place->stage = step;
	place->upstream = best->handle;
	place->wait = best->wait;
	place->queue_time = best->queue_time;
	place->uncached = best->uncached;
	place->donor = best->donor;
	place->recently_failed = best->recently_failed;
	place->explored = best->explored;
}

static void
place_generation(search_t *search, placement_t *place)
{
	best_t whole = {0};
	best_t read = {0};
	best_t decode = {0};

	find_donors(search);
	place_read(search, true, &whole);
	set_place(place, &whole, DFF_STAGE_WHOLE);
	if (search->request->whole_only)
		return;
	place_read(search, false, &read);
	if (read.handle == 0)
		return;
	place_decode(search, read.handle, &decode);
	if (decode.handle == 0)
		return;
	read.wait += decode.wait + HANDOVER_TIME;
	read.queue_time += decode.queue_time;
	read.cost += decode.cost + HANDOVER_TIME;
	read.recently_failed |= decode.recently_failed;
	if (whole.handle != 0 && !is_better(&read, &whole))
		return;
	set_place(place, &read, DFF_STAGE_PREFILL);
}

/* Finds the first upstream that may accept requests again. */
static void
set_retry(const search_t *search, placement_t *place)
{
	dff_time_t first = DFF_TIME_NEVER;
	upstream_t *up;

	for (dff_handle_t h = 0;
	     (h = upstreams_next(search->upstreams, h, &up)) != 0;) {
		bool limited = !has_room(search, up);
		dff_time_t until = MAX(up->pause_until,
		    limited ? MAX(up->limit.denied_until, search->now) : 0);

		if (!upstream_is_listed(up, search->now) ||
		    !is_eligible(search->request, up) ||
		    (!limited && until <= search->now) || until >= first)
			continue;
		first = until;
		place->limited = limited;
	}
	if (first != DFF_TIME_NEVER)
		place->retry = MAX(first - search->now, 1);
}

void
place_request(const upstreams_t *upstreams, const pool_stats_t *stats,
    const placement_request_t *request, dff_time_t now, placement_t *place)
{
	uint32_t count = request->prompt->count;
	search_t search = {.upstreams = upstreams,
	    .stats = stats,
	    .request = request,
	    .now = now,
	    .shared = shared_hash(request->prompt)};
	best_t best = {0};

	memset(place, 0, sizeof(*place));
	if (request->prefill_engine != 0) {
		place_decode(&search, request->prefill_engine, &best);
		set_place(place, &best, DFF_STAGE_DECODE);
	} else if (count > 0)
		place_generation(&search, place);
	else {
		place_plain(&search, &best);
		set_place(place, &best, DFF_STAGE_WHOLE);
	}
	place->no_kv_room = search.no_kv_room;
	if (place->upstream == 0)
		set_retry(&search, place);
}
