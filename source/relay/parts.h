/*
 * What the files of the relay share.
 */
#ifndef DFF_RELAY_PARTS_H
#define DFF_RELAY_PARTS_H

#include "dragonflyfall/hist.h"
#include "dragonflyfall/timer.h"
#include "relay/budget.h"
#include "relay/place.h"

/** enum relay_count - what a relay counts */
typedef enum relay_count {
	COUNT_REQUESTS,
	COUNT_DONE,
	COUNT_REFUSED,
	COUNT_FAILED,
	COUNT_GONE,
	COUNT_SENDS,
	COUNT_EXTRA_SENDS,
	COUNT_PREFILLS,
	COUNT_RESUMES,
	COUNT_REJECTED,
	COUNT_BROKEN,
	COUNT_UNREACHABLE,
	COUNT_BUDGET_EMPTY,
	COUNT_POISON,
	COUNT_PROBES,
	COUNT_RUNS_CRASHED,
	COUNT_BREAKS_FORGOTTEN,
	COUNT_LEAVING_SAID,
	COUNT_AWAY_SAID,
	COUNT_BEATS_IN,
	COUNT_BEATS_OUT,
	COUNT_BEATS_BAD,
	COUNT_BEAT_BYTES_IN,
	COUNT_BEAT_BYTES_OUT,
	COUNT_COUNT,
} relay_count_t;

/* Subjects of the timer DFF_TIMER_FLEET_TICK. */
#define TICK_SWEEP 0
#define TICK_ASK   1

/** struct peer - another relay, or what a relay tells of its domain */
typedef struct peer {
	char *addr; /* "" for a domain's summary */
	char *node; /* NULL before it was heard */
	char domain[DFF_NAME_MAX]; /* "" if not known */
	uint32_t link_mbps; /* 0 if not known */
	uint64_t incarnation;
	uint64_t sequence;
	dff_time_t source_heard; /* when it read the record source; 0 never */
	dff_time_t heard; /* 0 never */
	dff_time_t added;
	dff_time_t told;
	GArray *loads; /* peer_load_t, as last told */
	GArray *unreachable; /* uint32_t, hashes of upstreams, as last told */
} peer_t;

/** struct peer_load - what a peer has under way at one upstream */
typedef struct peer_load {
	uint32_t upstream; /* hash of its id */
	under_way_t sends;
} peer_load_t;

/** struct told_part - a part that an engine was given to read lately */
typedef struct told_part {
	uint32_t upstream;
	uint64_t part;
	uint32_t tokens;
	dff_time_t at;
} told_part_t;

/** typedef suspects_t - requests that break upstreams: suspect.h */
typedef struct suspects suspects_t;

/** struct send - a request under way at an upstream */
typedef struct send {
	uint64_t number; /* 0 for none */
	dff_step_t step;
	dff_handle_t upstream;
	char id[DFF_NAME_MAX]; /* of the upstream, for logs */
	char addr[DFF_ADDR_MAX];
	uint64_t born; /* the start of the upstream that was meant */
	dff_time_t at;
	dff_time_t predicted;
	uint32_t ahead; /* tokens that were to be read before it */
	uint32_t uncached; /* tokens that it had to read */
	uint32_t backlog; /* counted there until its first answer */
	uint32_t memory; /* counted there until its end */
	bool head_seen;
	bool not_run; /* the upstream promised that it did not run it */
	bool stamped; /* its answer bears the upstream's signature */
	int status;
} send_t;

/** struct event_tail - what came of a stream since its last whole event */
typedef struct event_tail {
	size_t bytes;
	uint32_t newlines; /* in a row, at its end */
	bool content; /* it is more than newlines */
} event_tail_t;

/** struct call - a caller's request until its final answer */
typedef struct call {
	dff_handle_t self;
	uint64_t number; /* the shell's */
	char id[DFF_NAME_MAX];
	dff_routing_t *routing;
	const dff_route_t *route;
	char pool[DFF_NAME_MAX];
	const dff_pool_t *spec;
	uint64_t content;
	dff_prompt_t prompt;
	int64_t after_event; /* last event that the caller has, or -1 */
	dff_time_t arrived;
	dff_time_t give_up;
	dff_fate_t fate;
	uint32_t sends;
	uint32_t unreached; /* of these, ended before a connection stood */
	uint32_t runs; /* upstreams at which it may have run */
	uint32_t arrivals; /* that count as sends of it */
	bool prefill_taken; /* the one that does not count was accepted */
	dff_handle_t prefilled_at;
	char source[DFF_ADDR_MAX];
	char handle[DFF_NAME_MAX];
	uint32_t handle_tries;
	dff_time_t handle_at; /* moment at which it was made */
	dff_handle_t avoid[AVOID_MAX];
	uint32_t avoid_count;
	send_t send;
	dff_handle_t awaits; /* upstream whose probe decides what follows */
	event_tail_t tail; /* of the send's stream */
	GByteArray *held; /* bytes that may not be passed on yet */
	dff_time_t first_at; /* first byte passed on */
	dff_time_t last_at; /* last bytes of a stream */
	bool paused; /* some came later than its route's gap */
} call_t;

struct dff_relay {
	dff_relay_config_t config;
	dff_routing_t *routing;
	upstreams_t *upstreams;
	pace_t pace;
	budget_t *budget;
	dff_table_t *calls;
	GHashTable *by_number; /* shell's number to call_t */
	GHashTable *by_send; /* number of a send to call_t */
	dff_timers_t *timers;
	GPtrArray *peers; /* peer_t */
	GArray *told_parts; /* told_part_t, newest last */
	GArray *summary_parts; /* those of the whole domain, at its relay */
	suspects_t *suspects;
	GPtrArray *frames; /* GByteArray, those made in this step */
	GByteArray *passing; /* bytes of the last DFF_RELAY_FX_PASS_DATA */
	uint64_t next_send;
	uint64_t sequence;
	dff_time_t whole_at; /* the next frame that tells all loads */
	dff_time_t told_at; /* last frame to all peers */
	dff_time_t tell_free_at; /* own sends may be told again then */
	dff_time_t tell_at; /* sends are told then; 0 if none is new */
	dff_time_t tell_far_at; /* the same of this domain's, elsewhere */
	dff_time_t heard; /* the record source answered, here or at a peer */
	dff_time_t source_heard; /* it answered this node */
	uint64_t marks[DFF_FEED_COUNT]; /* last change that this node knows */
	uint64_t known[DFF_FEED_COUNT]; /* read up to here */
	dff_time_t fetched[DFF_FEED_COUNT]; /* last asked of a peer */
	bool changed[DFF_FEED_COUNT]; /* a belief, since the last mark */
	dff_time_t sum_at; /* this domain's sum is told then */
	dff_time_t listened_at; /* last look for silent upstreams */
	dff_time_t settled_at; /* missing records may return before this */
	dff_time_t stop_at; /* asked to stop; 0 while it runs */
	uint32_t asks; /* engines that were asked what they keep */
	uint64_t counts[COUNT_COUNT];
	dff_hist_t *first_byte;
	dff_hist_t *whole;
	dff_hist_t *prefill;
};

/* One step's context, handed down. */
typedef struct step {
	dff_ctx_t *ctx;
	dff_relay_t *relay;
	dff_time_t now;
	GArray *fx;
} step_t;

/** relay_add_fx() - add an effect of a type; fill in what it returns */
dff_relay_effect_t *relay_add_fx(step_t *step, dff_relay_effect_type_t type);

/** relay_note_source() - the record source answered at @at, to this node or
 *	a peer; a long silence before that was an outage */
void relay_note_source(step_t *step, dff_time_t at);

/* ---- call.c: requests ---- */

void relay_call_open(step_t *step, const dff_relay_open_t *open);
void relay_call_gone(step_t *step, uint64_t number);
void relay_call_deadline(step_t *step, dff_handle_t handle);
void relay_call_late(step_t *step, dff_handle_t handle);
void relay_call_free_all(dff_relay_t *relay);

/* ---- send.c: what becomes of sends ---- */

/** relay_send_place() - place a call and send it, or give it up */
void relay_send_place(step_t *step, call_t *call);
void relay_send_cancel(step_t *step, call_t *call);
/** relay_send_due() - a send is about to leave: it stands, moves to another
 *	upstream or is given up, by what is known now */
void relay_send_due(step_t *step, uint64_t number);
void relay_send_head(step_t *step, const dff_relay_head_t *head);
void relay_send_data(step_t *step, const dff_relay_data_t *data);
void relay_send_end(step_t *step, const dff_relay_end_t *end);
/** relay_send_probed() - it is known whether an upstream takes connections:
 *	requests that broke off there and waited for that go on */
void relay_send_probed(step_t *step, dff_handle_t upstream);

/** relay_call_give_up() - the final answer, at once */
void relay_call_give_up(step_t *step, call_t *call, dff_trouble_t trouble,
    dff_time_t retry_after, const char *why);

/** relay_call_close() - the call is over; it is freed */
void relay_call_close(step_t *step, call_t *call);

/* ---- kept_ask.c: what engines say that they keep ---- */

/** kept_note_engine() - an engine was listed; it is asked soon */
void kept_note_engine(step_t *step, const upstream_t *up);
void kept_ask_lists(step_t *step);
void kept_load_list(step_t *step, const dff_relay_kept_t *list);

/* ---- events.c: numbered events ---- */

/** events_whole() - bytes up to the end of the last whole event;
 *	@last is set to its number if it bears one */
size_t events_whole(const GByteArray *bytes, int64_t *last);

/** events_note() - more of a stream came */
void events_note(event_tail_t *tail, const char *bytes, size_t len);

/* ---- tell.c: frames to peers ---- */

/** tell_beat() - tell peers, at each beat */
void tell_beat(step_t *step);
/** tell_note_send() - a send with a prompt was begun: peers are told soon */
void tell_note_send(step_t *step);
/** tell_note_far() - sends at other domains' upstreams are told there soon */
void tell_note_far(step_t *step);
/** tell_sends() - the timer that was set for it; @what is its subject */
void tell_sends(step_t *step, uint64_t what);
/** tell_note_part() - a part of a prompt is read at an upstream */
void tell_note_part(dff_relay_t *relay, const upstream_t *up, uint64_t part,
    uint32_t tokens, dff_time_t now);
/** tell_add_part() - keep a part to be told, unless it is kept already */
void tell_add_part(GArray *parts, const told_part_t *part);

/* ---- beat.c: frames from peers ---- */

void beat_take(step_t *step, const dff_relay_beat_t *beat);
void beat_add_peer(dff_relay_t *relay, const char *addr, const char *domain,
    uint32_t link_mbps, dff_time_t now);
uint32_t beat_peers_alive(const dff_relay_t *relay, dff_time_t now);
bool beat_is_large(const dff_relay_t *relay);
dff_time_t beat_interval(const dff_relay_t *relay);
void beat_free_all(dff_relay_t *relay);

/* ---- unreachable.c: upstreams that nodes cannot reach ---- */

/* Upstreams that one frame names. */
#define UNREACHABLE_MAX 40

/** unreachable_list() - hashes of those that this node cannot reach, for a
 *	frame; @rows has room for UNREACHABLE_MAX; returns how many */
size_t unreachable_list(
    const dff_relay_t *relay, uint32_t *rows, dff_time_t now);

/** unreachable_find_silent() - at each beat: upstreams that are silent count
 *	as failed, and prompts that they were to read go elsewhere */
void unreachable_find_silent(step_t *step);

/** unreachable_load() - what a peer cannot reach, in place of what it told
 *	before; nothing when it fell silent */
void unreachable_load(
    step_t *step, peer_t *peer, const uint32_t *rows, size_t count);

/* ---- word.c: what upstreams say of themselves ---- */

/** word_take() - an answer of the start @born of an upstream bore it */
void word_take(step_t *step, dff_handle_t upstream, uint64_t born,
    const dff_upstream_word_t *word);
/** word_take_aside() - the same from an answer to no request */
void word_take_aside(step_t *step, const dff_relay_aside_t *aside);

#endif
