/*
 * Placement: chooses the upstream for a request and predicts its wait.
 */
#ifndef DFF_RELAY_PLACE_H
#define DFF_RELAY_PLACE_H

#include "relay/upstream.h"

/* Upstreams that may be excluded for one request. */
#define AVOID_MAX 4

/**
 * struct placement_request - a request to be placed
 * @pool: pool
 * @domain: failure domain of this node
 * @pool_config: settings of the pool, or NULL
 * @prompt: prompt; a count of 0 for a plain request
 * @cross_domain_latency: one-way latency to another failure domain
 * @cross_domain_penalty: time by which an upstream of another domain must
 *	look better
 * @target_gap: target for the longest pause between events; 0 for none
 * @sends_max: sends in flight that this node may have at one upstream; 0 for
 *	no bound
 * @avoid: handles of excluded upstreams
 * @avoid_count: number of these
 * @permit_at_hand: of upstreams with a rate limit, only those for which this
 *	node holds a permit
 * @software: only upstreams of this software version; "" for any
 * @under_way: it was sent before, or its answer has begun
 * @whole_only: no separate prefill
 * @prefill_engine: engine that holds its KV memory, or 0: only the decode
 *	stage is placed
 * @explores: an upstream that is believed to be slow, without a recent
 *	measurement, counts as a usual one
 */
typedef struct placement_request {
	const char *pool;
	const char *domain;
	const dff_pool_t *pool_config;
	const dff_prompt_t *prompt;
	dff_time_t cross_domain_latency;
	dff_time_t cross_domain_penalty;
	dff_time_t target_gap;
	uint32_t sends_max;
	dff_handle_t avoid[AVOID_MAX];
	uint32_t avoid_count;
	const char *software;
	bool permit_at_hand;
	bool under_way;
	bool whole_only;
	dff_handle_t prefill_engine;
	bool explores;
} placement_request_t;

/**
 * struct placement - the upstream chosen for a request
 * @stage: stages that the upstream is to run
 * @upstream: upstream, 0 if there is none
 * @wait: predicted time to the answer's first byte
 * @queue_time: part of @wait taken by other requests ahead of it
 * @uncached: prompt tokens that it has to read
 * @donor: engine that has cached parts which the upstream lacks, or 0
 * @recently_failed: the upstream failed recently; there was no other
 * @retry: without an upstream, time until the first of them may accept
 *	requests again after a pause or under its rate limit; 0 if none will
 * @limited: that one has a rate limit
 * @no_kv_room: an engine was left out because the request would exceed its
 *	memory
 * @explored: it was chosen to find out whether it is still slow
 */
typedef struct placement {
	dff_stage_t stage;
	dff_handle_t upstream;
	dff_time_t wait;
	dff_time_t queue_time;
	uint32_t uncached;
	dff_handle_t donor;
	bool recently_failed;
	dff_time_t retry;
	bool limited;
	bool no_kv_room;
	bool explored;
} placement_t;

/* Times that the usual speed of reading is taken from. */
#define FIT_SAMPLES 32

/**
 * struct read_time - time in which an engine read a prompt
 * @length: tokens read
 * @tokens: tokens that a usual engine reads in that time
 * @time: in milliseconds
 */
typedef struct read_time {
	uint32_t length;
	double tokens;
	double time;
} read_time_t;

/**
 * struct pool_stats - measured performance of the upstreams
 * @learns: differences between upstreams are used
 * @tokens_per_ms: prompt tokens read by a usual prefill engine
 * @start_time: time until an engine begins to read, whatever the prompt
 * @start_known: it was measured
 * @fits: newest times that speed and start are taken from
 * @fit_count: their number so far
 * @long_gap_share: streams with a pause beyond target_gap
 * @means: usual times by pool and role
 */
typedef struct pool_stats {
	bool learns;
	double tokens_per_ms;
	dff_time_t start_time;
	bool start_known;
	read_time_t fits[FIT_SAMPLES];
	uint32_t fit_count;
	double long_gap_share;
	capacity_mean_t means[CAPACITY_POOLS_MAX];
} pool_stats_t;

/** pool_stats_init() - set the values before any measurement */
void pool_stats_init(pool_stats_t *stats);

/** pool_stats_mean() - usual time of the upstreams of a pool and role; NULL for
 *	too many pools */
capacity_mean_t *pool_stats_mean(pool_stats_t *stats, const upstream_t *up);

/** pool_stats_add_reported() - add @count times that a peer measured, with a mean
 *	logarithm of @log_time */
void pool_stats_add_reported(pool_stats_t *stats, upstream_t *up,
    double log_time, double count, dff_time_t now);

/**
 * pool_stats_add_prefill() - add the time in which an engine read a prompt
 * @ahead: tokens queued before it
 * @uncached: tokens of it that had to be read
 * @took: time that it took, without the network round trip
 */
void pool_stats_add_prefill(pool_stats_t *stats, upstream_t *up, uint32_t ahead,
    uint32_t uncached, dff_time_t took, dff_time_t now);

/**
 * pool_stats_add_plain() - add the time of an answer to a plain request
 * @in_flight: requests in flight there when it was sent, itself included
 * @took: time that it took, without the network round trip
 */
void pool_stats_add_plain(pool_stats_t *stats, upstream_t *up,
    uint32_t in_flight, dff_time_t took, dff_time_t now);

/** pool_stats_factor() - how long work takes at an engine now, 1 for as usual
 *	in its pool */
double pool_stats_factor(
    const pool_stats_t *stats, const upstream_t *up, dff_time_t now);

/** pool_stats_mean_factor() - the same without the upstream's own statement of
 *	its pace */
double pool_stats_mean_factor(
    const pool_stats_t *stats, const upstream_t *up, dff_time_t now);

/** pool_stats_plain_factor() - the same for plain requests */
double pool_stats_plain_factor(
    const pool_stats_t *stats, const upstream_t *up, dff_time_t now);

/** pool_stats_plain_time() - usual time of an answer in an upstream's pool of
 *	plain requests; 0 before it is known */
dff_time_t pool_stats_plain_time(
    const pool_stats_t *stats, const upstream_t *up);

/** pool_stats_spread() - largest ratio, over all pools, between an upstream one
 *	standard deviation slower than usual and a usual one; 1 without
 *	differences */
double pool_stats_spread(const pool_stats_t *stats);

/** pool_stats_is_doubtful() - it is believed to be slow, and nobody has measured
 *	it for a while */
bool pool_stats_is_doubtful(
    const pool_stats_t *stats, const upstream_t *up, dff_time_t now);

/** pool_stats_add_stream() - add a finished stream; @long_gap: it had a pause
 *	beyond its target_gap */
void pool_stats_add_stream(pool_stats_t *stats, bool long_gap);

/** pool_stats_token_time() - time for each token at a usual engine of its pool
 *	and role, in units of dff_time_t */
double pool_stats_token_time(const pool_stats_t *stats, const upstream_t *up);

/** pool_stats_read_time() - time in which an engine reads @tokens of prompts,
 *	without the start */
dff_time_t pool_stats_read_time(const pool_stats_t *stats, const upstream_t *up,
    double tokens, dff_time_t now);

/** place_request() - choose an upstream; @place->upstream is 0 if none fits */
void place_request(const upstreams_t *upstreams, const pool_stats_t *stats,
    const placement_request_t *request, dff_time_t now, placement_t *place);

#endif
