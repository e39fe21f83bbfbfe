/*
 * The upstreams that a relay knows: who they are, what this node and its
 * peers have under way there, which prompt parts they are believed to keep
 * and how well they did.
 */
#ifndef DFF_RELAY_UPSTREAM_H
#define DFF_RELAY_UPSTREAM_H

#include "dragonflyfall/relay.h"

/** struct under_way - sends under way at an upstream, as frames tell them */
typedef struct under_way {
	uint32_t running;
	uint32_t backlog; /* prompt tokens */
	uint32_t memory; /* tokens */
} under_way_t;

/** enum witness - who heard an upstream's own word */
typedef enum witness {
	WITNESS_NONE,
	WITNESS_SELF, /* this node */
	WITNESS_PEER, /* a node that tells this one directly */
	WITNESS_DOMAIN, /* another domain, by its sum */
} witness_t;

/**
 * struct upstream - one upstream
 * @news: the last record of it that counts
 * @gone_at: moment at which its missing record is taken as its end;
 *	DFF_TIME_NEVER while it is listed
 * @running: own sends under way
 * @backlog: prompt tokens that own sends still have to get read there
 * @memory: tokens that own sends hold there
 * @peers: the same of all other nodes, as peers tell it
 * @domains: the part of these that sums of other domains tell
 * @told: own sends as the last frame told them
 * @told_sum: this domain's sends as its last sum told them
 * @slowness: seen time over predicted time of prefills, 1 is as predicted
 * @errors: share of own sends that failed, recent ones count most
 * @failures: failures to connect in a row
 * @shun_until: no new work before this moment
 * @left_at: moment at which it said that it is leaving; 0 if it did not
 * @left_witness: who heard it say so
 * @away_until: it wants nothing from this node before this moment
 * @peers_away_until: the same as it told peers, which is no more than a hint
 * @peers_failing: peers that cannot reach it, as they tell it
 * @awaited: longest time in which one of the sends under way was expected to
 *	be answered
 * @silent: it is shunned because nothing came from it, so that the next byte
 *	ends that
 * @due: by then some byte of any answer must have come; 0 if none is awaited
 * @kept: id of a part (uint64_t) to kept part
 * @kept_tokens: sum over @kept
 * @probing: a connection to it is being tried
 * @asked: whether it was asked what it keeps, or left out
 */
typedef struct upstream {
	dff_upstream_record_t news;
	uint32_t hash;
	dff_time_t gone_at;
	uint32_t running;
	uint64_t backlog;
	uint64_t memory;
	under_way_t peers;
	under_way_t domains;
	under_way_t told;
	under_way_t told_sum;
	double slowness;
	double errors;
	uint32_t failures;
	dff_time_t shun_until;
	dff_time_t left_at;
	witness_t left_witness;
	dff_time_t away_until;
	dff_time_t peers_away_until;
	uint32_t peers_failing;
	dff_time_t awaited;
	dff_time_t due;
	bool silent;
	bool probing;
	GHashTable *kept;
	uint64_t kept_tokens;
	bool asked;
} upstream_t;

/** typedef upstreams_t - all of them */
typedef struct upstreams upstreams_t;

/** enum news_effect - what a record changed */
typedef enum news_effect {
	NEWS_NOTHING, /* older than what is known */
	NEWS_SAME,
	NEWS_ADDED,
	NEWS_RESTARTED,
	NEWS_LEAVING,
	NEWS_GONE,
	NEWS_MISSING, /* gone, if it stays so for a while */
} news_effect_t;

/** news_effect_name() - for logs */
const char *news_effect_name(news_effect_t effect);

/** upstreams_new() - none known; the caller drops it */
upstreams_t *upstreams_new(void);

/** upstreams_drop() - free all */
void upstreams_drop(upstreams_t *upstreams);

/**
 * upstreams_load() - take one record
 * @settled_at: records that are missing before this moment may return
 * @changed: set to the handle of the upstream, or 0
 */
news_effect_t upstreams_load(upstreams_t *upstreams,
    const dff_upstream_record_t *news, dff_time_t settled_at, dff_time_t now,
    dff_handle_t *changed);

/** upstreams_sweep() - forget those that are long gone */
void upstreams_sweep(upstreams_t *upstreams, dff_time_t now);

/** upstreams_get() - by handle; NULL if it is stale */
upstream_t *upstreams_get(const upstreams_t *upstreams, dff_handle_t handle);

/** upstreams_find() - by the hash of its id; NULL if unknown */
upstream_t *upstreams_find(const upstreams_t *upstreams, uint32_t hash);

/** upstreams_find_id() - by its id; NULL if unknown */
upstream_t *upstreams_find_id(
    const upstreams_t *upstreams, const char *id, dff_handle_t *handle);

/** upstreams_next() - walk; begin with 0, ends with 0 */
dff_handle_t upstreams_next(
    const upstreams_t *upstreams, dff_handle_t handle, upstream_t **row);

/** upstreams_count() - listed ones */
size_t upstreams_count(const upstreams_t *upstreams);

/** upstream_is_failing() - this node could not reach it, and did not since */
bool upstream_is_failing(const upstream_t *up, dff_time_t now);

/** upstream_takes_work() - listed, not leaving, not shunned here nor by
 *	several peers */
bool upstream_takes_work(const upstream_t *up, dff_time_t now);

/** upstream_is_listed() - listed and not leaving */
bool upstream_is_listed(const upstream_t *up, dff_time_t now);

/** upstream_accepts() - listed, and it does not want to be left alone */
bool upstream_accepts(const upstream_t *up, dff_time_t now);

/**
 * upstream_note_leaving() - it said that it is leaving
 * @at: when it did
 *
 * Return: true if that was not known.
 */
bool upstream_note_leaving(upstream_t *up, witness_t witness, dff_time_t at);

/** upstream_hash() - hash of an id, as peers tell it */
uint32_t upstream_hash(const char *id);

/* ---- kept parts ---- */

/** upstream_cached_tokens() - tokens of a prompt believed to be kept */
uint32_t upstream_cached_tokens(
    const upstream_t *up, const dff_prompt_t *prompt);

/** upstream_fetchable_tokens() - the same without parts that may still be read
 *	there at @now: those that another engine can fetch */
uint32_t upstream_fetchable_tokens(
    const upstream_t *up, const dff_prompt_t *prompt, dff_time_t now);

/** upstream_note_prompt_read() - it has answered a request with this prompt */
void upstream_note_prompt_read(
    upstream_t *up, const dff_prompt_t *prompt, dff_time_t now);

/** upstream_load_cache() - it says itself which parts it keeps */
void upstream_load_cache(upstream_t *up, const dff_part_t *parts, size_t count,
    uint64_t capacity, dff_time_t now);

/** upstream_cache_prompt() - it reads a prompt; @capacity bounds what is kept */
void upstream_cache_prompt(upstream_t *up, const dff_prompt_t *prompt,
    uint64_t capacity, dff_time_t now);

/** upstream_cache_part() - a peer had it read one part */
void upstream_cache_part(upstream_t *up, uint64_t part, uint32_t tokens,
    uint64_t capacity, dff_time_t now);

/* ---- results ---- */

/** upstream_note_result() - a send ended well or not */
void upstream_note_result(upstream_t *up, bool good);

/** upstream_note_reached() - it answered something, if only to reject it */
void upstream_note_reached(upstream_t *up);

/** upstream_note_send() - a send to it begins, whose answer is expected
 *	within @expected; if it failed before, other requests wait for how that
 *	ends */
void upstream_note_send(upstream_t *up, dff_time_t expected, dff_time_t now);

/** upstream_note_silent() - nothing came from it when it was due */
void upstream_note_silent(upstream_t *up, dff_time_t now);

/** upstream_note_byte() - part of any answer came from it */
void upstream_note_byte(upstream_t *up, dff_time_t now);

/** upstream_note_end() - a send is over, whatever became of it */
void upstream_note_end(upstream_t *up);

/** upstream_is_overdue() - answers are due and nothing at all came */
bool upstream_is_overdue(const upstream_t *up, dff_time_t now);

/** upstream_note_unreachable() - no connection could be made */
void upstream_note_unreachable(upstream_t *up, dff_time_t now);

#endif
