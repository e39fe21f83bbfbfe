/*
 * The upstreams that a relay knows: their records, the requests that this
 * node and its peers have in flight there, the prompt parts that they are
 * believed to cache, and their recent failures.
 */
#ifndef DFF_RELAY_UPSTREAM_H
#define DFF_RELAY_UPSTREAM_H

#include "dragonflyfall/relay.h"
#include "relay/capacity.h"
#include "relay/kv_held.h"
#include "relay/rate_limit.h"

/** struct in_flight - sends in flight at an upstream, as frames report them */
typedef struct in_flight {
	uint32_t running;
	uint32_t backlog; /* prompt tokens */
	uint32_t memory; /* tokens held */
	uint32_t unshared; /* of them, those that no other request shares */
} in_flight_t;

/** enum notice_origin - who received an upstream's notice */
typedef enum notice_origin {
	NOTICE_ORIGIN_NONE,
	NOTICE_ORIGIN_SELF, /* this node */
	NOTICE_ORIGIN_PEER, /* a node that sends frames to this one */
	NOTICE_ORIGIN_DOMAIN, /* another domain, by its summary */
} notice_origin_t;

/**
 * struct upstream - one upstream
 * @record: its newest record
 * @gone_at: moment at which it counts as gone, its record being missing;
 *	DFF_TIME_NEVER while it is listed
 * @running: own sends in flight
 * @backlog: prompt tokens of own sends that it has not read yet
 * @memory: tokens that own sends hold there, shared ones counted by each
 * @held: the same with shared ones counted once
 * @peer_sends: the same of all other nodes, as peers report them
 * @domain_sends: the part of @peer_sends from summaries of other domains
 * @reported: own sends as last reported in a frame
 * @domain_reported: this domain's sends as last reported in a summary
 * @capacity: how much it takes well
 * @error_rate: share of own sends that failed, weighted towards recent ones
 * @connect_failures: consecutive failures to connect
 * @failing_since: first of them
 * @unreached_at: last of them
 * @reached_at: last connection that it accepted, or head of an answer
 * @backoff_until: it gets no new work before this moment
 * @leaving_since: moment of its notice that it is leaving; 0 without one
 * @leaving_origin: who received that notice
 * @pause_until: it accepts no requests of this node before this moment
 * @peers_pause_until: the same as it told peers, which is only a hint
 * @limit: its rate limit and the permits under it
 * @failing_peers: peers that report that they cannot reach it
 * @doubted_at: moment from which its process may have ended and another may
 *	run under its id with another software version; 0 for none
 * @proved_from: moment of the first record that may show that it runs; 0 for
 *	none
 * @failed_at: when this node or a peer could not reach it last; 0 for none
 * @recorded_at: when its newest record was read
 * @answered_at: when a request that it ran was answered last; 0 for none
 * @restarted_at: when a record of its process was first read, if it followed
 *	another under its id; 0 if not
 * @max_expected: longest time within which one of the sends in flight was
 *	expected to be answered
 * @answer_due: moment before which it must have sent a byte of any answer; 0
 *	if none is awaited
 * @silent: it is in backoff because it sent nothing; the next byte ends that
 * @probing: a connection to it is being tried
 * @probed_at: when that began last
 * @probe_failed: that failed, and it is not known yet whether its process or
 *	this node's connections ended
 * @probe_refused: of such a probe, whether the connection was refused
 * @cached_parts: id of a part (uint64_t) to cached part
 * @cached_tokens: sum over @cached_parts
 * @cache_list_requested: it was asked for the parts that it caches, or needs
 *	not be asked
 */
typedef struct upstream {
	dff_upstream_record_t record;
	uint32_t hash;
	dff_time_t gone_at;
	uint32_t running;
	uint64_t backlog;
	uint64_t memory;
	kv_held_t held;
	in_flight_t peer_sends;
	in_flight_t domain_sends;
	in_flight_t reported;
	in_flight_t domain_reported;
	capacity_t capacity;
	double error_rate;
	uint32_t connect_failures;
	dff_time_t failing_since;
	dff_time_t unreached_at;
	dff_time_t reached_at;
	dff_time_t backoff_until;
	dff_time_t leaving_since;
	notice_origin_t leaving_origin;
	dff_time_t pause_until;
	dff_time_t peers_pause_until;
	rate_limit_t limit;
	uint32_t failing_peers;
	dff_time_t doubted_at;
	dff_time_t proved_from;
	dff_time_t failed_at;
	dff_time_t recorded_at;
	dff_time_t answered_at;
	dff_time_t restarted_at;
	dff_time_t max_expected;
	dff_time_t answer_due;
	bool silent;
	bool probing;
	dff_time_t probed_at;
	bool probe_failed;
	bool probe_refused;
	GHashTable *cached_parts;
	uint64_t cached_tokens;
	bool cache_list_requested;
} upstream_t;

/** typedef upstreams_t - table of all known upstreams */
typedef struct upstreams upstreams_t;

/** enum record_effect - effect of a record on the table */
typedef enum record_effect {
	RECORD_OUTDATED, /* older than the known one, without effect */
	RECORD_SAME,
	RECORD_ADDED,
	RECORD_RESTARTED,
	RECORD_LEAVING,
	RECORD_GONE,
	RECORD_MISSING, /* gone unless a record comes in time */
} record_effect_t;

/** record_effect_name() - name of an effect, for logs */
const char *record_effect_name(record_effect_t effect);

/** upstreams_new() - an empty table; the caller drops it */
upstreams_t *upstreams_new(void);

/** upstreams_drop() - free the table and its upstreams */
void upstreams_drop(upstreams_t *upstreams);

/**
 * upstreams_apply_record() - apply one record
 * @settled_at: an upstream whose record goes missing before this moment
 *	counts as gone only then, as the record may return
 * @changed: set to the handle of the upstream, or 0
 */
record_effect_t upstreams_apply_record(upstreams_t *upstreams,
    const dff_upstream_record_t *record, dff_time_t settled_at, dff_time_t now,
    dff_handle_t *changed);

/** upstreams_sweep() - remove upstreams that are long gone */
void upstreams_sweep(upstreams_t *upstreams, dff_time_t now);

/** upstreams_get() - look an upstream up by handle; NULL if it is stale */
upstream_t *upstreams_get(const upstreams_t *upstreams, dff_handle_t handle);

/** upstreams_find() - look an upstream up by the hash of its id; NULL if
 *	unknown */
upstream_t *upstreams_find(const upstreams_t *upstreams, uint32_t hash);

/** upstreams_find_id() - look an upstream up by its id; NULL if unknown */
upstream_t *upstreams_find_id(
    const upstreams_t *upstreams, const char *id, dff_handle_t *handle);

/** upstreams_next() - iterate over all upstreams: begin with handle 0; 0 is
 *	returned at the end */
dff_handle_t upstreams_next(
    const upstreams_t *upstreams, dff_handle_t handle, upstream_t **upstream);

/** upstreams_count_serving() - number of upstreams that are listed and do not
 *	leave */
size_t upstreams_count_serving(const upstreams_t *upstreams, dff_time_t now);

/** upstreams_count_listed() - number of upstreams whose record is listed */
size_t upstreams_count_listed(const upstreams_t *upstreams);

/** upstream_is_failing() - this node recently failed to connect to it and has
 *	not succeeded since */
bool upstream_is_failing(const upstream_t *up, dff_time_t now);

/** upstream_takes_work() - available, not in backoff, not paused as a peer
 *	reports, and not failing for several peers */
bool upstream_takes_work(const upstream_t *up, dff_time_t now);

/** upstream_is_listed() - listed and not leaving */
bool upstream_is_listed(const upstream_t *up, dff_time_t now);

/** upstream_is_available() - listed, not leaving, and not paused */
bool upstream_is_available(const upstream_t *up, dff_time_t now);

/**
 * upstream_note_leaving() - record its notice that it is leaving
 * @at: moment of the notice
 *
 * Return: true if this was not known yet.
 */
bool upstream_note_leaving(
    upstream_t *up, notice_origin_t witness, dff_time_t at);

/** upstream_software() - software version of the process that listens there;
 *	"" while that is not certain */
const char *upstream_software(const upstream_t *up);

/** upstream_hash() - hash of an id, which stands for it in frames */
uint32_t upstream_hash(const char *id);

/* ---- cached prompt parts ---- */

/** upstream_cached_tokens() - tokens of a prompt believed to be cached */
uint32_t upstream_cached_tokens(
    const upstream_t *up, const dff_prompt_t *prompt);

/** upstream_fetchable_tokens() - the same without parts that may still be read
 *	there at @now: tokens that another engine can fetch */
uint32_t upstream_fetchable_tokens(
    const upstream_t *up, const dff_prompt_t *prompt, dff_time_t now);

/** upstream_note_prompt_read() - record that it has answered a request with
 *	this prompt, so that it has read it */
void upstream_note_prompt_read(
    upstream_t *up, const dff_prompt_t *prompt, dff_time_t now);

/** upstream_load_cache() - set the cached parts to those that it lists
 *	itself */
void upstream_load_cache(upstream_t *up, const dff_part_t *parts, size_t count,
    uint64_t capacity, dff_time_t now);

/** upstream_cache_prompt() - add the parts of a prompt that it reads; @capacity
 *	bounds its cache */
void upstream_cache_prompt(upstream_t *up, const dff_prompt_t *prompt,
    uint64_t capacity, dff_time_t now);

/** upstream_cache_part() - add one part that it reads for a peer */
void upstream_cache_part(upstream_t *up, uint64_t part, uint32_t tokens,
    uint64_t capacity, dff_time_t now);

/* ---- results ---- */

/** upstream_note_result() - record whether a send succeeded */
void upstream_note_result(upstream_t *up, bool good);

/** upstream_note_reached() - record any answer, also a rejection */
void upstream_note_reached(upstream_t *up, dff_time_t now);

/** upstream_note_answer() - record the head of an answer to a request that it
 *	runs */
void upstream_note_answer(upstream_t *up, dff_time_t now);

/** upstream_note_send() - record the start of a send whose answer is expected
 *	within @expected; after a failure other requests wait for its result */
void upstream_note_send(upstream_t *up, dff_time_t expected, dff_time_t now);

/** upstream_note_silent() - record that it sent nothing when an answer was
 *	due */
void upstream_note_silent(upstream_t *up, dff_time_t now);

/** upstream_note_byte() - record that a part of any answer came from it */
void upstream_note_byte(upstream_t *up, dff_time_t now);

/** upstream_note_end() - record the end of a send, whatever its result */
void upstream_note_end(upstream_t *up);

/** upstream_is_overdue() - an answer is due and nothing at all came */
bool upstream_is_overdue(const upstream_t *up, dff_time_t now);

/** upstream_note_unreachable() - record a failure to connect */
void upstream_note_unreachable(upstream_t *up, dff_time_t now);

/** upstream_forget_failures() - this node could not reach it for a reason of its
 *	own: it may be used again at once */
void upstream_forget_failures(upstream_t *up);

/** upstream_note_peer_failure() - a peer reports that it cannot reach it */
void upstream_note_peer_failure(upstream_t *up, dff_time_t now);

/** upstream_is_recorded() - its record was written after the last failure to
 *	reach it */
bool upstream_is_recorded(const upstream_t *up);

/** upstream_doubt_process() - its process may have ended */
void upstream_doubt_process(upstream_t *up, dff_time_t now);

#endif
