/*
 * The relay: requests whose answers are opaque bytes of an upstream, passed
 * on unread. Routes are chosen by host and longest path prefix, upstreams
 * come and go one record at a time, prompts are chains of parts, and a
 * generation may be prefilled at one engine and decoded at another.
 *
 * Like the node it is one reducer: dff_relay_step() takes an event and a
 * moment and adds effects to a list; it does no I/O and reads no clock.
 */
#ifndef DRAGONFLYFALL_RELAY_H
#define DRAGONFLYFALL_RELAY_H

#include <glib.h>

#include "dragonflyfall/event.h"
#include "dragonflyfall/table.h"

/* ---- routing ---- */

/** enum dff_route_kind - what may be repeated */
typedef enum dff_route_kind {
	DFF_ROUTE_REPEATABLE, /* may run more than once */
	DFF_ROUTE_ONCE, /* at most one run for each attempt of a caller */
	DFF_ROUTE_STREAM, /* numbered events; once, unless resumable */
} dff_route_kind_t;

/** struct dff_route_share - a pool's share of a route's requests */
typedef struct dff_route_share {
	char pool[DFF_NAME_MAX];
	uint32_t weight;
} dff_route_share_t;

/**
 * struct dff_route - one route
 * @name: for logs
 * @host: host, without port
 * @prefix: beginning of the path, with a slash at both ends
 * @kind: what may be repeated
 * @resumable: a stream may go on at another upstream after its last event
 * @generates: requests bear prompts as chains of parts
 * @timeout: longest time that a caller is kept waiting
 * @aim: time within which an answer is worth most; streams: its first event
 * @gap: longest pause between events of a stream that is still on time
 * @rank: urgency, 0 first
 * @runs_max: upstreams that one attempt of a caller may run on
 * @shares: GArray of dff_route_share_t, at least one
 */
typedef struct dff_route {
	char name[DFF_NAME_MAX];
	char *host;
	char *prefix;
	dff_route_kind_t kind;
	bool resumable;
	bool generates;
	dff_time_t timeout;
	dff_time_t aim;
	dff_time_t gap;
	uint32_t rank;
	uint32_t runs_max;
	GArray *shares;
} dff_route_t;

/**
 * struct dff_pool - what the operators say of a pool of upstreams
 * @name: name
 * @conns_max: connections that one upstream takes from all callers
 * @slots: requests that an engine runs at once; 0 for a plain service
 * @kv_tokens: tokens that an engine's memory holds
 * @token_bytes: memory of one token
 * @link_mbps: speed of the links between engines
 * @handle_life: how long the memory of a prefilled prompt is kept
 */
typedef struct dff_pool {
	char name[DFF_NAME_MAX];
	uint32_t conns_max;
	uint32_t slots;
	uint64_t kv_tokens;
	uint64_t token_bytes;
	double link_mbps;
	dff_time_t handle_life;
} dff_pool_t;

/**
 * struct dff_routing - one version of routes and pools, reference counted
 * @version: higher is newer
 * @routes: GPtrArray of dff_route_t, owned
 * @pools: GArray of dff_pool_t
 * @head_max: bytes of a request's head
 * @body_max: bytes of a request's body
 * @idle_time: how long a caller's connection may stay idle
 */
typedef struct dff_routing {
	uint64_t version;
	GPtrArray *routes;
	GArray *pools;
	size_t head_max;
	size_t body_max;
	dff_time_t idle_time;
	int refs;
} dff_routing_t;

/** dff_routing_new() - an empty version; the caller drops it */
dff_routing_t *dff_routing_new(uint64_t version);

/** dff_routing_keep() - one more reference */
dff_routing_t *dff_routing_keep(dff_routing_t *routing);

/** dff_routing_drop() - one reference less; NULL is allowed */
void dff_routing_drop(dff_routing_t *routing);

/** dff_routing_add_route() - a route with defaults, owned by @routing */
dff_route_t *dff_routing_add_route(
    dff_routing_t *routing, const char *host, const char *prefix);

/** dff_routing_match() - the route of a host and a target, or NULL */
const dff_route_t *dff_routing_match(
    const dff_routing_t *routing, const char *host, const char *target);

/** dff_routing_pool() - a pool by name, or NULL */
const dff_pool_t *dff_routing_pool(
    const dff_routing_t *routing, const char *name);

/** dff_route_pool() - the pool that serves a request with this hash */
const char *dff_route_pool(const dff_route_t *route, uint64_t hash);

/* ---- upstreams ---- */

/**
 * struct dff_upstream_news - what a record says of one upstream
 * @id: its name; another start mostly has another
 * @addr: "ip:port"
 * @domain: failure domain
 * @pool: pool it serves
 * @role: of an engine; DFF_ROLE_MIXED for a plain service
 * @slots: requests that it runs at once
 * @born: moment of its start, Unix milliseconds; 0 if not told
 * @seq: number of this record among those of one start
 * @leaving: it ends soon and gets no new work
 * @gone: its record was removed; only @id counts
 */
typedef struct dff_upstream_news {
	char id[DFF_NAME_MAX];
	char addr[DFF_ADDR_MAX];
	char domain[DFF_NAME_MAX];
	char pool[DFF_NAME_MAX];
	dff_role_t role;
	uint32_t slots;
	uint64_t born;
	uint64_t seq;
	bool leaving;
	bool gone;
} dff_upstream_news_t;

/* ---- prompts ---- */

/* Parts of one prompt that are looked at. */
#define DFF_PARTS_MAX 16

/** struct dff_part - one part of a prompt */
typedef struct dff_part {
	uint64_t id;
	uint32_t tokens;
} dff_part_t;

/**
 * struct dff_prompt - a prompt as a chain of parts
 * @parts: in order; the last belongs to the request or its session
 * @count: how many
 * @tokens: prompt tokens in all
 * @tokens_out: most tokens of the answer
 */
typedef struct dff_prompt {
	dff_part_t parts[DFF_PARTS_MAX];
	uint32_t count;
	uint32_t tokens;
	uint32_t tokens_out;
} dff_prompt_t;

/* ---- feeds ---- */

/**
 * enum dff_feed - what is read from the source of records
 *
 * Records of a feed have offsets. A node that reads the source itself tells
 * its peers the offset of the last record that changed something; the
 * others fetch records from it when they are behind.
 */
typedef enum dff_feed {
	DFF_FEED_ROUTING,
	DFF_FEED_UPSTREAMS,
	DFF_FEED_COUNT,
} dff_feed_t;

/* ---- events ---- */

/**
 * struct dff_relay_open - a caller's request
 * @call: number chosen by the shell, never used twice
 * @id: the caller's id of this attempt, for logs
 * @host: host without port
 * @target: path and query
 * @content: hash over target and body; a request that comes again has it
 * @patience: how long the caller waits; 0 if it did not say
 * @after_event: last event that the caller has; -1 for none
 * @prompt: prompt; its count is 0 for requests without one
 */
typedef struct dff_relay_open {
	uint64_t call;
	const char *id;
	const char *host;
	const char *target;
	uint64_t content;
	dff_time_t patience;
	int64_t after_event;
	dff_prompt_t prompt;
} dff_relay_open_t;

/**
 * struct dff_upstream_word - what an upstream says of itself in an answer
 * @leaving: it ends soon and wants no new work
 * @away: time for which it wants nothing from this node; 0 for none
 */
typedef struct dff_upstream_word {
	bool leaving;
	dff_time_t away;
} dff_upstream_word_t;

/**
 * struct dff_relay_head - the head of an upstream's answer
 * @send: send that it answers
 * @status: HTTP status
 * @not_run: the upstream promises that it did not run the request
 * @stamped: it bears the upstream's signature
 * @loaded: it tells its load in @running, @waiting and @slots
 * @word: what the upstream says of itself
 */
typedef struct dff_relay_head {
	uint64_t send;
	int status;
	bool not_run;
	bool stamped;
	bool loaded;
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	dff_upstream_word_t word;
} dff_relay_head_t;

/** struct dff_relay_aside - an upstream's word in an answer to no request */
typedef struct dff_relay_aside {
	const char *upstream; /* id, borrowed */
	dff_upstream_word_t word;
} dff_relay_aside_t;

/** enum dff_send_end - how a send ended */
typedef enum dff_send_end {
	DFF_SEND_DONE, /* the answer arrived whole */
	DFF_SEND_UNSENT, /* no connection; no byte left */
	DFF_SEND_BROKEN, /* broken off after bytes may have left */
} dff_send_end_t;

/**
 * struct dff_relay_end - a send is over
 * @send: send
 * @how: how
 * @handle: with DFF_SEND_DONE of a prefill, the memory it made, else ""
 * @tokens: with a handle, prompt tokens that it holds
 */
typedef struct dff_relay_end {
	uint64_t send;
	dff_send_end_t how;
	char handle[DFF_NAME_MAX];
	uint32_t tokens;
} dff_relay_end_t;

/** enum dff_reach - what became of a connection that was tried */
typedef enum dff_reach {
	DFF_REACH_TAKEN, /* the upstream takes connections */
	DFF_REACH_REFUSED, /* nobody listens at its address */
	DFF_REACH_SILENT, /* neither, or it was closed again at once */
} dff_reach_t;

/** struct dff_relay_probed - the end of a DFF_RELAY_FX_PROBE */
typedef struct dff_relay_probed {
	const char *upstream; /* id, borrowed */
	dff_reach_t reach;
} dff_relay_probed_t;

/* Upstreams that one piece of evidence names. */
#define DFF_EVIDENCE_MAX 8

/**
 * struct dff_evidence - upstreams that crashed under one request
 * @content: hash of the request
 * @age: time since the last crash
 * @count: rows of @crashes
 * @crashes: hash of an upstream's id, and how often it crashed
 */
typedef struct dff_evidence {
	uint64_t content;
	dff_time_t age;
	size_t count;
	struct {
		uint32_t upstream;
		uint32_t count;
	} crashes[DFF_EVIDENCE_MAX];
} dff_evidence_t;

/** enum dff_relay_event_type - tag of struct dff_relay_event */
typedef enum dff_relay_event_type {
	DFF_RELAY_WAKE, /* the moment asked for has come, and what had arrived
			 * before it was told */
	DFF_RELAY_ROUTING, /* a version of the routing was read */
	DFF_RELAY_UPSTREAM, /* a record of an upstream was read */
	DFF_RELAY_HEARD, /* the source of records answered */
	DFF_RELAY_OPEN, /* a caller's request arrived */
	DFF_RELAY_GONE, /* its caller hung up */
	DFF_RELAY_HEAD, /* an answer's head arrived */
	DFF_RELAY_DATA, /* bytes of its body arrived */
	DFF_RELAY_DUE, /* a send is about to leave */
	DFF_RELAY_END, /* a send is over */
	DFF_RELAY_BEAT, /* a peer's frame arrived */
	DFF_RELAY_KEPT, /* an engine told which parts it keeps */
	DFF_RELAY_ASIDE, /* an upstream's word, not in a request's answer */
	DFF_RELAY_EVIDENCE, /* what a DFF_RELAY_FX_KEEP kept was read */
	DFF_RELAY_PROBED, /* an upstream takes connections, or not */
	DFF_RELAY_STOP, /* the process is asked to stop */
} dff_relay_event_type_t;

/** struct dff_relay_data - bytes of an answer's body, borrowed */
typedef struct dff_relay_data {
	uint64_t send;
	const char *bytes;
	size_t len;
} dff_relay_data_t;

/** struct dff_relay_beat - a frame and the address of its sender */
typedef struct dff_relay_beat {
	const char *addr;
	const uint8_t *bytes;
	size_t len;
} dff_relay_beat_t;

/** struct dff_relay_kept - parts that an engine says it keeps, borrowed */
typedef struct dff_relay_kept {
	const char *upstream;
	const dff_part_t *parts;
	size_t count;
} dff_relay_kept_t;

/** struct dff_relay_event - one event; pointers are borrowed for the step */
typedef struct dff_relay_event {
	dff_relay_event_type_t type;
	union {
		dff_routing_t *routing; /* borrowed; kept if it is newer */
		dff_upstream_news_t upstream;
		dff_relay_open_t open;
		uint64_t gone; /* call */
		uint64_t due; /* send */
		dff_relay_head_t head;
		dff_relay_data_t data;
		dff_relay_end_t end;
		dff_relay_beat_t beat;
		dff_relay_kept_t kept;
		dff_relay_aside_t aside;
		dff_relay_probed_t probed;
		dff_evidence_t evidence;
	};
} dff_relay_event_t;

/* ---- effects ---- */

/** enum dff_step - what an upstream is asked to do with a request */
typedef enum dff_step {
	DFF_STEP_WHOLE, /* answer it, prompt and all */
	DFF_STEP_PREFILL, /* read the prompt and keep its memory */
	DFF_STEP_DECODE, /* answer it from memory made elsewhere */
} dff_step_t;

/**
 * struct dff_relay_send - send a call's request to an upstream
 * @call: call
 * @send: number of this send
 * @upstream: id of the upstream that is meant
 * @addr: its address
 * @step: what it is to do
 * @source: with DFF_STEP_DECODE, address of the engine that prefilled
 * @handle: with DFF_STEP_DECODE, its handle
 * @donor: address of an engine from which it is to fetch kept parts, or ""
 * @time_left: time that the upstream may take
 * @after_event: go on after this event; -1 for none
 * @rank: urgency, 0 first
 * @connect_time: longest time for a connection to be made
 * @anew: not on a kept connection: those may have gone silent with it
 */
typedef struct dff_relay_send {
	uint64_t call;
	uint64_t send;
	char upstream[DFF_NAME_MAX];
	char addr[DFF_ADDR_MAX];
	dff_step_t step;
	char source[DFF_ADDR_MAX];
	char handle[DFF_NAME_MAX];
	char donor[DFF_ADDR_MAX];
	dff_time_t time_left;
	int64_t after_event;
	uint32_t rank;
	dff_time_t connect_time;
	bool anew;
} dff_relay_send_t;

/**
 * struct dff_relay_answer - the relay's own final answer
 * @call: call
 * @status: HTTP status
 * @retry_after: when to come back; 0 for nothing said
 */
typedef struct dff_relay_answer {
	uint64_t call;
	int status;
	dff_time_t retry_after;
} dff_relay_answer_t;

/** struct dff_relay_pass - something of a send goes to its caller */
typedef struct dff_relay_pass {
	uint64_t call;
	uint64_t send;
	const char *bytes; /* borrowed until the next step */
	size_t len;
} dff_relay_pass_t;

/** struct dff_relay_free - memory of a prompt that nobody will take */
typedef struct dff_relay_free {
	char upstream[DFF_NAME_MAX];
	char addr[DFF_ADDR_MAX];
	char handle[DFF_NAME_MAX];
} dff_relay_free_t;

/** struct dff_relay_list - an engine is to tell which parts it keeps */
typedef struct dff_relay_list {
	char upstream[DFF_NAME_MAX];
	char addr[DFF_ADDR_MAX];
} dff_relay_list_t;

/** struct dff_relay_probe - does an upstream take connections? */
typedef struct dff_relay_probe {
	char upstream[DFF_NAME_MAX];
	char addr[DFF_ADDR_MAX];
	dff_time_t connect_time;
} dff_relay_probe_t;

/** struct dff_relay_frame - a frame for a peer */
typedef struct dff_relay_frame {
	char addr[DFF_ADDR_MAX];
	const uint8_t *bytes; /* borrowed until the next step */
	size_t len;
} dff_relay_frame_t;

/** struct dff_relay_fetch - a peer has records that this node lacks */
typedef struct dff_relay_fetch {
	dff_feed_t feed;
	char addr[DFF_ADDR_MAX]; /* where the peer serves records */
} dff_relay_fetch_t;

/** enum dff_relay_effect_type - tag of struct dff_relay_effect */
typedef enum dff_relay_effect_type {
	DFF_RELAY_FX_SEND, /* tell DFF_RELAY_DUE first, when all that has
			    * arrived was told; then send, unless cancelled */
	DFF_RELAY_FX_CANCEL, /* break a send off */
	DFF_RELAY_FX_ANSWER,
	DFF_RELAY_FX_PASS_HEAD, /* pass the head of a send on */
	DFF_RELAY_FX_PASS_DATA,
	DFF_RELAY_FX_PASS_END, /* the answer is whole */
	DFF_RELAY_FX_BREAK, /* close, so that it does not look whole */
	DFF_RELAY_FX_FREE,
	DFF_RELAY_FX_LIST,
	DFF_RELAY_FX_PROBE, /* connect, and tell DFF_RELAY_PROBED */
	DFF_RELAY_FX_KEEP, /* keep evidence where it outlives the fleet */
	DFF_RELAY_FX_FORGET, /* close kept connections to an upstream */
	DFF_RELAY_FX_FRAME,
	DFF_RELAY_FX_FETCH, /* get a feed's records from a peer */
} dff_relay_effect_type_t;

/** struct dff_relay_effect - one effect */
typedef struct dff_relay_effect {
	dff_relay_effect_type_t type;
	union {
		dff_relay_send_t send;
		uint64_t cancel; /* send */
		dff_relay_answer_t answer;
		dff_relay_pass_t pass;
		uint64_t call; /* DFF_RELAY_FX_BREAK */
		dff_relay_free_t release;
		dff_relay_list_t list;
		dff_relay_probe_t probe;
		dff_evidence_t evidence; /* DFF_RELAY_FX_KEEP */
		char upstream[DFF_NAME_MAX]; /* DFF_RELAY_FX_FORGET */
		dff_relay_frame_t frame;
		dff_relay_fetch_t fetch;
	};
} dff_relay_effect_t;

/* ---- the relay ---- */

/**
 * struct dff_relay_config - settings of a relay
 * @id: name of this VM
 * @domain: its failure domain
 * @addr: "ip:port" at which peers reach it
 * @records: "ip:port" at which it serves records to peers
 * @incarnation: grows with each start of the process
 * @link_mbps: speed of its link; nodes with fast ones speak for others
 * @beat: time between frames to peers
 * @stale_after: silence of the record source and of all peers after which
 *	the relay is not ready
 * @budget_window: window of the retry budget
 * @budget_ratio: extra sends allowed for each request
 * @budget_slack: extra sends allowed besides, of all nodes together
 * @hop: one-way time to another failure domain
 */
typedef struct dff_relay_config {
	char id[DFF_NAME_MAX];
	char domain[DFF_NAME_MAX];
	char addr[DFF_ADDR_MAX];
	char records[DFF_ADDR_MAX];
	uint64_t incarnation;
	uint32_t link_mbps;
	dff_time_t beat;
	dff_time_t stale_after;
	dff_time_t budget_window;
	double budget_ratio;
	double budget_slack;
	dff_time_t hop;
} dff_relay_config_t;

/** dff_relay_defaults() - settings that suit a small fleet */
void dff_relay_defaults(dff_relay_config_t *config);

/** typedef dff_relay_t - a relay's whole state */
typedef struct dff_relay dff_relay_t;

/** dff_relay_new() - a relay; the caller drops it */
dff_relay_t *dff_relay_new(dff_ctx_t *ctx, const dff_relay_config_t *config);

/** dff_relay_drop() - free a relay; NULL is allowed */
void dff_relay_drop(dff_relay_t *relay);

/** dff_relay_set() - settings changed; id, domain and address stay */
void dff_relay_set(dff_relay_t *relay, const dff_relay_config_t *config);

/**
 * dff_relay_add_peer() - an address at which a peer may be
 * @domain: its failure domain, "" if not known
 * @link_mbps: speed of its link, 0 if not known
 */
void dff_relay_add_peer(dff_relay_t *relay, const char *addr,
    const char *domain, uint32_t link_mbps, dff_time_t now);

/**
 * dff_relay_reads() - whether this node is to read the record source
 *
 * A few nodes of those that hear each other do; the others are told.
 */
bool dff_relay_reads(const dff_relay_t *relay, dff_time_t now);

/** dff_relay_speaks() - whether this node speaks for its failure domain */
bool dff_relay_speaks(const dff_relay_t *relay, dff_time_t now);

/** dff_relay_set_mark() - a feed was read up to @offset; peers are told if a
 *	record of it has changed a belief since the last mark */
void dff_relay_set_mark(dff_relay_t *relay, dff_feed_t feed, uint64_t offset);

/**
 * dff_relay_step() - take one event
 * @fx: GArray of dff_relay_effect_t; effects are added
 */
void dff_relay_step(dff_ctx_t *ctx, dff_relay_t *relay,
    const dff_relay_event_t *event, dff_time_t now, GArray *fx);

/** dff_relay_wake() - the moment at which DFF_RELAY_WAKE is due */
dff_time_t dff_relay_wake(const dff_relay_t *relay);

/** dff_relay_ready() - whether new connections are wanted; @why is set */
bool dff_relay_ready(
    const dff_relay_t *relay, dff_time_t now, const char **why);

/** dff_relay_calls() - requests without a final answer */
size_t dff_relay_calls(const dff_relay_t *relay);

/** dff_relay_routing() - the version in force, borrowed, or NULL */
const dff_routing_t *dff_relay_routing(const dff_relay_t *relay);

/** dff_relay_metrics() - counters and histograms as text; g_free() it */
char *dff_relay_metrics(const dff_relay_t *relay, dff_time_t now);

/* ---- what a caller may be told ---- */

/** enum dff_fate - the most that may have become of a request */
typedef enum dff_fate {
	DFF_FATE_UNSENT, /* nothing left this node */
	DFF_FATE_REFUSED, /* upstreams said that they did not run it */
	DFF_FATE_PREFILLED, /* its prompt was read; it did not run */
	DFF_FATE_OPEN, /* it was sent and may have run, or may yet run */
	DFF_FATE_BEGUN, /* its answer has begun at the caller */
} dff_fate_t;

/** enum dff_trouble - why a request is given up */
typedef enum dff_trouble {
	DFF_TROUBLE_BUSY, /* no upstream can serve it in time */
	DFF_TROUBLE_TIME, /* its time is over */
	DFF_TROUBLE_LOST, /* an upstream broke it off or spoiled the answer */
} dff_trouble_t;

/**
 * dff_relay_status() - the status of a final answer
 *
 * Return: 503 if the request has not run and never will, 502 or 504 if that
 * is not known, 0 if only the connection can be closed.
 */
int dff_relay_status(dff_fate_t fate, dff_trouble_t trouble);

#endif
