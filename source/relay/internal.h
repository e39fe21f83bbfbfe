/*
 * State and functions shared by the files of the relay.
 */
#ifndef DFF_RELAY_INTERNAL_H
#define DFF_RELAY_INTERNAL_H

#include "dragonflyfall/hist.h"
#include "dragonflyfall/timer.h"
#include "relay/budget.h"
#include "relay/events.h"
#include "relay/freshness.h"
#include "relay/organisation_counts.h"
#include "relay/place.h"
#include "relay/shares.h"

/** enum relay_count - counters of a relay */
typedef enum relay_count {
	COUNT_REQUESTS,
	COUNT_DONE,
	COUNT_REFUSED,
	COUNT_FAILED,
	COUNT_CALLERS_GONE,
	COUNT_SENDS,
	COUNT_EXTRA_SENDS,
	COUNT_EXPLORED,
	COUNT_PREFILLS,
	COUNT_RESUMES,
	COUNT_CUTS,
	COUNT_FORWARDED,
	COUNT_FROM_PEERS,
	COUNT_ORIGIN_WRITES,
	COUNT_ORIGIN_READS,
	COUNT_ORIGINS_TOLD,
	COUNT_ORIGINS_HELPED,
	COUNT_STREAMS_RESUMED,
	COUNT_STREAMS_UNKNOWN,
	COUNT_STREAM_EVENTS_REJECTED,
	COUNT_IDENTITIES_ASKED,
	COUNT_REJECTED,
	COUNT_BROKEN,
	COUNT_UNREACHABLE,
	COUNT_BUDGET_EMPTY,
	COUNT_REFUSED_NO_KEY,
	COUNT_REFUSED_UNKNOWN_KEY,
	COUNT_REFUSED_UNCONFIRMED,
	COUNT_REFUSED_POISON,
	COUNT_REFUSED_PARTS,
	COUNT_PROBES,
	COUNT_END_PROBES,
	COUNT_RUNS_CRASHED,
	COUNT_BREAKS_FORGOTTEN,
	COUNT_LEAVING_NOTICES,
	COUNT_PAUSE_NOTICES,
	COUNT_LIMIT_CHANGES,
	COUNT_PERMITS_REQUESTED,
	COUNT_PERMITS_ISSUED,
	COUNT_PERMITS_USED,
	COUNT_PERMITS_DENIED,
	COUNT_PERMITS_UNANSWERED,
	COUNT_REFUSED_LIMITED,
	COUNT_REFUSED_KV_ROOM,
	COUNT_BEYOND_SHARE,
	COUNT_REFUSED_SHARE,
	COUNT_CONFIRM_QUESTIONS,
	COUNT_CONFIRM_REPLIES,
	COUNT_CONFIRM_BYTES_OUT,
	COUNT_ORDERS,
	COUNT_ORDERS_NONE_AVAILABLE,
	COUNT_ORDERS_REJECTED,
	COUNT_ORDERS_UNANSWERED,
	COUNT_HEARTBEATS_IN,
	COUNT_HEARTBEATS_OUT,
	COUNT_HEARTBEATS_BAD,
	COUNT_HEARTBEAT_BYTES_IN,
	COUNT_HEARTBEAT_BYTES_OUT,
	COUNT_COUNT,
} relay_count_t;

/* Sends of one request over a connection, including rejected and failed
 * ones. */
#define SENDS_MAX 6

/* Peers to which one call is passed on, including those that cannot be
 * reached. */
#define PEERS_TRIED_MAX 3

/* Subjects of the timer DFF_TIMER_FLEET_TICK. */
#define TICK_SWEEP	 0
#define TICK_CACHE_QUERY 1

/* Pools whose rate of reading one frame has. */
#define PEER_READINGS_MAX 16

/** struct peer - another relay, or the summary of another failure domain */
typedef struct peer {
	char *addr; /* "" for a domain's summary */
	char *node; /* NULL before its first frame */
	char domain[DFF_NAME_MAX]; /* "" if not known */
	char leader[DFF_ADDR_MAX]; /* of a summary, the node that made it */
	uint32_t link_mbps; /* 0 if not known */
	uint32_t nodes; /* alive nodes by its own count */
	uint64_t incarnation;
	uint64_t sequence;
	dff_time_t source_read_at; /* when it read the record source; 0 never */
	dff_time_t heard_at; /* last frame from it; 0 never */
	dff_time_t added_at;
	dff_time_t sent_at; /* last frame to it */
	GArray *loads; /* peer_load_t, from its last frame */
	GArray *unreachable; /* uint32_t, hashes of upstreams, likewise */
	bool cut_off; /* it reaches no upstream */
	uint64_t version; /* of its configuration, by its last frame */
	struct {
		uint32_t pool; /* hash of its name */
		uint32_t tokens; /* to be read in a second */
	} readings[PEER_READINGS_MAX];
	uint64_t duty_token; /* of a holder in its frames; 0 for none */
	uint64_t duty_end;
	/* Its time of day less this node's time, of its last frame. */
	int64_t clock_offset;
	bool clock_known;
} peer_t;

/** struct peer_load - a peer's requests in flight at one upstream */
typedef struct peer_load {
	uint32_t upstream; /* hash of its id */
	in_flight_t sends;
} peer_load_t;

/** struct recent_part - a prompt part recently sent to an engine */
typedef struct recent_part {
	uint32_t upstream;
	uint64_t part;
	uint32_t tokens;
	dff_time_t sent_at;
} recent_part_t;

/** typedef suspects_t - requests that may crash upstreams: suspect.h */
typedef struct suspects suspects_t;

/** typedef reach_t - whether this node reaches upstreams: reach.h */
typedef struct reach reach_t;

/** typedef origins_t - origins of resumable streams: origin.h */
typedef struct origins origins_t;

/** typedef confirm_t - how old the configuration may be: confirm.h */
typedef struct confirm confirm_t;
/** typedef scalers_t - orders of upstreams: scaling_run.h */
typedef struct scalers scalers_t;

/** typedef duties_t - duties with one holder: duty.h */
typedef struct duties duties_t;

/** typedef usage_t - requests by organisation and window: usage.h */
typedef struct usage usage_t;

/** struct send - a request in flight at an upstream */
typedef struct send {
	uint64_t number; /* 0 for none */
	bool to_peer; /* at a peer, not at an upstream */
	dff_time_t retry_after; /* of a peer that refused it */
	dff_stage_t stage;
	dff_handle_t upstream;
	char id[DFF_NAME_MAX]; /* of the upstream, for logs */
	char addr[DFF_ADDR_MAX];
	char software[DFF_NAME_MAX]; /* its version then; "" if not certain */
	uint64_t upstream_started_ms; /* start time of that upstream */
	dff_time_t sent_at;
	dff_time_t predicted_wait;
	uint32_t in_flight; /* sends there then, itself included */
	uint32_t backlog_ahead; /* tokens queued there before it */
	uint32_t uncached; /* prompt tokens that the engine had to read */
	uint32_t backlog; /* tokens, counted there until its answer's head */
	uint32_t memory; /* tokens, counted there until its end */
	bool holds; /* it is counted in what its engine holds */
	bool head_seen;
	bool not_run; /* the upstream stated that it did not run it */
	bool stamped; /* its answer has the upstream's signature */
	bool unidentified; /* it awaits its upstream's statement of its start */
	size_t identified_len; /* complete events that wait for that */
	bool ended; /* it has ended meanwhile, with this result */
	dff_send_result_t result;
	bool other_type; /* its content is not that of the stream begun */
	int status;
} send_t;

/** struct call - a caller's request until its final answer */
typedef struct call {
	dff_handle_t table_handle;
	uint64_t number; /* given by the event loop */
	char id[DFF_NAME_MAX];
	dff_routing_t *routing;
	const dff_route_t *route;
	char organisation[DFF_NAME_MAX]; /* whose request it is; "" for none */
	uint32_t priority; /* the organisation's, else the route's */
	char pool[DFF_NAME_MAX];
	const dff_pool_t *pool_config;
	uint64_t content_hash;
	dff_prompt_t prompt;
	int64_t after_event; /* last event that the caller has, or -1 */
	/* Of a resumable stream, hash of the attempt that began it; 0 if its
	 * caller resumes a stream and names none. */
	uint64_t stream;
	bool awaits_origin;
	uint64_t origin_read; /* first read that may find its origin */
	/* Of a resumable stream, whether its caller has events of it, and the
	 * software version on record: it goes on only there, or not at all if
	 * that is "". */
	bool stream_begun;
	char stream_software[DFF_NAME_MAX];
	uint32_t origin_revision; /* rows written of it; 0 for none */
	uint64_t awaited_batch; /* of rows that the store has to accept */
	bool awaits_withdrawal; /* of its origin, by the store */
	uint32_t stream_begun_by; /* which of its sends made its first event */
	dff_time_t arrived_at;
	dff_time_t deadline;
	dff_progress_t progress;
	uint32_t sends;
	uint32_t unreachable_sends; /* of @sends, those without a connection */
	uint32_t runs; /* upstreams at which it may have run */
	uint32_t counted_sends; /* those that the retry budget counts */
	bool prefill_accepted; /* the first, which the budget does not count */
	dff_handle_t prefill_engine;
	char kv_addr[DFF_ADDR_MAX];
	char kv_handle[DFF_NAME_MAX];
	uint32_t kv_handle_tries;
	dff_time_t kv_handle_at; /* when the handle was received */
	bool kv_handle_held; /* counted at @prefill_engine */
	dff_handle_t avoid[AVOID_MAX];
	uint32_t avoid_count;
	/* Upstreams that answered sends and kept their connections. */
	dff_handle_t answered_by[SENDS_MAX];
	uint32_t answered_by_count;
	bool from_peer; /* a peer serves its caller through this node */
	uint64_t peers_tried[PEERS_TRIED_MAX]; /* hashes of their addresses */
	uint32_t peers_tried_count;
	send_t send;
	dff_handle_t awaited_probe; /* upstream being probed before a retry */
	dff_handle_t awaited_permit; /* upstream for which a permit was asked */
	uint32_t permit_requests; /* so far */
	/* Whether room is short for its organisation: share_calls.h. */
	bool share_decided;
	share_request_t share;
	share_verdict_t share_verdict;
	bool budget_taken; /* its next send was taken from the retry budget */
	bool has_events; /* the forwarded head is one of a stream of events */
	event_scan_t events; /* of the send's stream */
	GByteArray *buffered; /* bytes that may not be forwarded yet */
	dff_time_t first_byte_at; /* first byte forwarded */
	dff_time_t last_bytes_at; /* last bytes of a stream */
	bool had_long_gap; /* a pause exceeded the route's target_gap */
	bool begun; /* it counts as usage of its organisation */
} call_t;

struct dff_relay {
	dff_relay_config_t config;
	dff_routing_t *routing;
	upstreams_t *upstreams;
	pool_stats_t pool_stats;
	double explore_credit; /* sends that may explore now */
	budget_t *budget;
	shares_t *shares;
	/* Last own frame and last summary with use of pools. */
	dff_time_t shares_listed_at[2];
	dff_table_t *calls;
	GHashTable *by_number; /* number of a call to call_t */
	GHashTable *by_send; /* number of a send to call_t */
	dff_timers_t *timers;
	GPtrArray *peers; /* peer_t */
	GArray *recent_parts; /* recent_part_t, newest last */
	GArray *summary_parts; /* of the whole domain, at its representative */
	suspects_t *suspects;
	reach_t *reach;
	/* Newest configuration by which a request of this node was handled, also
	 * at a peer. */
	uint64_t used_version;
	origins_t *origins;
	confirm_t *confirm;
	scalers_t *scalers;
	duties_t *duties;
	usage_t *usage;
	organisation_counts_t *organisation_counts;
	GPtrArray *frames; /* GByteArray, those made in this step */
	GPtrArray *batches; /* GArray of origins, likewise */
	GByteArray *forward_buffer; /* of the last DFF_RELAY_FX_FORWARD_DATA */
	uint64_t next_send;
	uint64_t sequence;
	dff_time_t full_frame_at; /* when the next frame has all loads */
	dff_time_t broadcast_at; /* last frame to all peers */
	dff_time_t sends_report_allowed_at; /* next early report of sends */
	dff_time_t sends_report_at; /* report new sends then; 0 if none */
	/* The same for this domain's sends to other domains. */
	dff_time_t far_sends_report_at;
	dff_time_t source_answered_at; /* the record source, to any node */
	dff_time_t source_read_at; /* the record source, to this node */
	uint64_t changed_offsets[DFF_FEED_COUNT]; /* last known change */
	uint64_t read_offsets[DFF_FEED_COUNT]; /* read up to here */
	dff_time_t fetched_at[DFF_FEED_COUNT]; /* last fetch from a peer */
	/* A record changed something since dff_relay_set_feed_offset(). */
	bool feed_changed[DFF_FEED_COUNT];
	dff_time_t summary_at; /* when this domain's summary is due */
	dff_time_t silence_checked_at; /* last check for silent upstreams */
	/* Records that are missing before this time may return. */
	dff_time_t records_settled_at;
	dff_time_t stop_at; /* when it was asked to stop; 0 before */
	uint32_t cache_queries; /* engines queried so far */
	/* Where own frames and summaries go on listing rate limits. */
	dff_handle_t next_limit_row[2];
	dff_time_t limits_summarized_at; /* last summary with all limits */
	uint64_t counts[COUNT_COUNT];
	dff_hist_t *first_byte_time;
	dff_hist_t *answer_time;
	dff_hist_t *prefill_time;
};

/* Context of one step. */
typedef struct step {
	dff_ctx_t *ctx;
	dff_relay_t *relay;
	dff_time_t now;
	GArray *fx;
} step_t;

/** relay_add_fx() - append an effect, zeroed but for its type */
dff_relay_effect_t *relay_add_fx(step_t *step, dff_relay_effect_type_t type);

/** relay_close_idle() - close idle connections to an upstream */
void relay_close_idle(step_t *step, const char *id);

/** relay_note_source_answer() - note that the record source answered this node
 *	or a peer at @at; a long silence before that was an outage */
void relay_note_source_answer(step_t *step, dff_time_t at);

/* ---- call.c: requests ---- */

void relay_call_open(step_t *step, const dff_relay_open_t *open);
void relay_call_caller_gone(step_t *step, uint64_t number);
void relay_call_deadline(step_t *step, dff_handle_t handle);
void relay_call_retry_late(step_t *step, dff_handle_t handle);
void relay_call_free_all(dff_relay_t *relay);

/* ---- send.c, result.c: sends and their results ---- */

/** relay_send_place() - place a call and send it, or give it up */
void relay_send_place(step_t *step, call_t *call);
void relay_send_cancel(step_t *step, call_t *call);
/** relay_send_recheck() - check a send again just before it leaves: let it
 *	go, move it to another upstream or give the call up */
void relay_send_recheck(step_t *step, uint64_t number);
void relay_send_head(step_t *step, const dff_relay_head_t *head);
void relay_send_data(step_t *step, const dff_relay_data_t *data);
void relay_send_end(step_t *step, const dff_relay_end_t *end);
/** relay_send_probed() - an upstream's probe has ended: continue the calls
 *	whose sends broke off there and that waited for the result */
void relay_send_probed(step_t *step, dff_handle_t upstream);

/** relay_call_give_up() - fail a call: send its final answer now */
void relay_call_give_up(step_t *step, call_t *call, dff_failure_t failure,
    dff_time_t retry_after, const char *why);

/** relay_call_close() - end a call and free it */
void relay_call_close(step_t *step, call_t *call);

/* ---- cache_query.c: lists of the engines' cached parts ---- */

/** cache_query_schedule() - query a newly listed engine soon */
void cache_query_schedule(step_t *step, const upstream_t *up);
void cache_query_send_due(step_t *step);
void cache_query_load_list(step_t *step, const dff_relay_cache_list_t *list);

/* ---- frames to peers ---- */

/** frame_send_periodic() - send the frames of a heartbeat */
void frame_send_periodic(step_t *step);
/** frame_send_soon() - send the frames of a heartbeat before they are due */
void frame_send_soon(step_t *step);
/** frame_schedule_update() - report a new send with a prompt to peers soon */
void frame_schedule_update(step_t *step);
/** frame_schedule_remote_update() - report sends to upstreams of other
 *	domains there soon */
void frame_schedule_remote_update(step_t *step);
/** frame_send_update() - send the report whose timer is due; @what is its
 *	subject */
void frame_send_update(step_t *step, uint64_t what);
/** frame_note_part() - note for peers that an upstream reads a prompt part */
void frame_note_part(dff_relay_t *relay, const upstream_t *up, uint64_t part,
    uint32_t tokens, dff_time_t now);
/** frame_queue_part() - add a part to a list, unless it is there already */
void frame_queue_part(GArray *parts, const recent_part_t *part);

/* ---- frames from peers ---- */

void frame_receive(step_t *step, const dff_relay_heartbeat_t *beat);
void peers_add(dff_relay_t *relay, const char *addr, const char *domain,
    uint32_t link_mbps, dff_time_t now);
uint32_t peers_count_alive(const dff_relay_t *relay, dff_time_t now);
/** peers_count_direct() - the same, of those that receive own frames */
uint32_t peers_count_direct(const dff_relay_t *relay, dff_time_t now);
bool peers_fleet_is_large(const dff_relay_t *relay);
dff_time_t peers_frame_interval(const dff_relay_t *relay);
void peers_free_all(dff_relay_t *relay);

/* ---- upstreams that nodes cannot reach ---- */

/* Unreachable upstreams in one frame. */
#define UNREACHABLE_MAX 40

/** unreachable_list() - hashes of the upstreams that this node cannot reach,
 *	for a frame; @rows has room for UNREACHABLE_MAX; returns their number */
size_t unreachable_list(
    const dff_relay_t *relay, uint32_t *rows, dff_time_t now);

/** unreachable_check_silent() - at each heartbeat: treat silent upstreams as
 *	failed and send the prompts that they were to read elsewhere */
void unreachable_check_silent(step_t *step);

/** unreachable_apply_peer() - replace the list of upstreams that a peer cannot
 *	reach; empty once the peer is silent */
void unreachable_apply_peer(
    step_t *step, peer_t *peer, const uint32_t *rows, size_t count);

/* ---- notices of upstreams ---- */

/** notice_receive() - process the notice in an answer of an upstream that
 *	started at @started_ms to a request sent at @sent_at */
void notice_receive(step_t *step, dff_handle_t upstream, uint64_t started_ms,
    dff_time_t sent_at, const dff_upstream_notice_t *notice);
/** notice_receive_aside() - the same for a notice outside a request's answer */
void notice_receive_aside(step_t *step, const dff_relay_notice_t *notice);

#endif
