/*
 * The relay: forwards requests to upstreams and their answers to callers
 * without interpreting the answers' content. Routes are chosen by host and
 * longest path prefix, upstreams are added and removed by records, prompts
 * are chains of parts, and a generation may be prefilled at one engine and
 * decoded at another.
 *
 * Like the node it is a reducer: dff_relay_step() takes an event and the
 * current time and appends effects to a list; it does no I/O and reads no
 * clock.
 */
#ifndef DRAGONFLYFALL_RELAY_H
#define DRAGONFLYFALL_RELAY_H

#include <glib.h>

#include "dragonflyfall/duty.h"
#include "dragonflyfall/event.h"
#include "dragonflyfall/organisation.h"
#include "dragonflyfall/table.h"
#include "dragonflyfall/usage.h"

/* ---- routing ---- */

/** enum dff_route_kind - whether a request may run more than once */
typedef enum dff_route_kind {
	DFF_ROUTE_REPEATABLE, /* may run more than once */
	DFF_ROUTE_ONCE, /* at most one run per attempt of a caller */
	DFF_ROUTE_STREAM, /* numbered events; one run, unless resumable */
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
 * @prefix: path prefix, with a slash at both ends
 * @kind: whether requests may run more than once
 * @resumable: a stream may continue at another upstream after its last event
 * @generates: requests have prompts, as chains of parts
 * @timeout: longest time until the final answer
 * @target_latency: target time until the answer, or until a stream's first
 *	event
 * @target_gap: target for the longest pause between events of a stream
 * @priority: 0 is the most urgent
 * @is_public: requests need no key of an organisation
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
	dff_time_t target_latency;
	dff_time_t target_gap;
	uint32_t priority;
	bool is_public;
	uint32_t runs_max;
	GArray *shares;
} dff_route_t;

/* Failure domains for which a pool may have a price. */
#define DFF_SCALING_DOMAINS_MAX 32

/** struct dff_domain_price - price of an upstream in a failure domain */
typedef struct dff_domain_price {
	char domain[DFF_NAME_MAX];
	double price; /* of one second of one upstream */
} dff_domain_price_t;

/**
 * struct dff_scaling - within which bounds upstreams of a pool may be ordered
 * @enabled: the number of upstreams is ordered; else it is given
 * @min: fewest upstreams in each failure domain
 * @max: most of them there, of both kinds together
 * @boot_time: time from an order until new upstreams serve
 * @reclaimable_price: price of an upstream that may be reclaimed, as a share
 *	of that of the others; 0 if none can be ordered
 * @prices: by failure domain
 * @price_count: rows of @prices
 */
typedef struct dff_scaling {
	bool enabled;
	uint32_t min;
	uint32_t max;
	dff_time_t boot_time;
	double reclaimable_price;
	dff_domain_price_t prices[DFF_SCALING_DOMAINS_MAX];
	uint32_t price_count;
} dff_scaling_t;

/**
 * struct dff_pool - an operator's settings of a pool of upstreams
 * @name: name
 * @conns_max: connections that one upstream accepts from all nodes together
 * @slots: requests that an engine runs at once; 0 for a plain service
 * @kv_tokens: capacity of an engine's KV cache, in tokens
 * @token_bytes: KV cache size of one token
 * @link_mbps: speed of the links between engines
 * @handle_lifetime: how long the KV memory of a prefilled prompt is held
 * @scaling: whether and how its upstreams are ordered
 */
typedef struct dff_pool {
	char name[DFF_NAME_MAX];
	uint32_t conns_max;
	uint32_t slots;
	uint64_t kv_tokens;
	uint64_t token_bytes;
	double link_mbps;
	dff_time_t handle_lifetime;
	dff_scaling_t scaling;
} dff_pool_t;

/**
 * struct dff_routing - one version of routes and pools, reference counted
 * @version: higher is newer
 * @routes: GPtrArray of dff_route_t, owned
 * @pools: GArray of dff_pool_t
 * @organisations: who may call, owned; NULL if requests need no key
 * @head_max: most bytes of a request's head
 * @body_max: most bytes of a request's body
 * @idle_time: how long a caller's connection may stay idle
 * @head_time: longest time from the first byte of a request's head to its end
 */
typedef struct dff_routing {
	uint64_t version;
	GPtrArray *routes;
	GArray *pools;
	dff_organisations_t *organisations;
	size_t head_max;
	size_t body_max;
	dff_time_t idle_time;
	dff_time_t head_time;
	int refs;
} dff_routing_t;

/** dff_routing_new() - make an empty version; the caller drops it */
dff_routing_t *dff_routing_new(uint64_t version);

/** dff_routing_keep() - take a reference */
dff_routing_t *dff_routing_keep(dff_routing_t *routing);

/** dff_routing_drop() - release a reference; NULL is allowed */
void dff_routing_drop(dff_routing_t *routing);

/** dff_routing_add_route() - add a route with defaults, owned by @routing */
dff_route_t *dff_routing_add_route(
    dff_routing_t *routing, const char *host, const char *prefix);

/** dff_routing_match() - find the route for a host and a target, or NULL */
const dff_route_t *dff_routing_match(
    const dff_routing_t *routing, const char *host, const char *target);

/** dff_routing_pool() - find a pool by name, or NULL */
const dff_pool_t *dff_routing_pool(
    const dff_routing_t *routing, const char *name);

/** dff_route_pool() - choose the pool for a request by its hash and the
 *	weights of the route's shares */
const char *dff_route_pool(const dff_route_t *route, uint64_t hash);

/** dff_route_is_resumable() - whether requests are streams that may continue at
 *	another upstream */
bool dff_route_is_resumable(const dff_route_t *route);

/* ---- upstreams ---- */

/**
 * struct dff_upstream_record - a record of one upstream
 * @id: its name, which usually changes when it restarts
 * @addr: "ip:port"
 * @domain: failure domain
 * @pool: pool that it serves
 * @role: role of an engine; DFF_ROLE_MIXED for a plain service
 * @software: version of its software; "" if unknown. Not that of its weights
 * @slots: requests that it runs at once
 * @started_ms: time of its start, Unix milliseconds; 0 if unknown
 * @seq: sequence number of the record since that start
 * @leaving: it is shutting down and gets no new requests
 * @leaves_in: with @leaving, time until it ends; 0 if unknown
 * @reclaimable: it may be reclaimed at any time, with all such upstreams of its
 *	failure domain
 * @removed: its record was removed; only @id is set
 */
typedef struct dff_upstream_record {
	char id[DFF_NAME_MAX];
	char addr[DFF_ADDR_MAX];
	char domain[DFF_NAME_MAX];
	char pool[DFF_NAME_MAX];
	char software[DFF_NAME_MAX];
	dff_role_t role;
	uint32_t slots;
	uint64_t started_ms;
	uint64_t seq;
	bool leaving;
	dff_time_t leaves_in;
	bool reclaimable;
	bool removed;
} dff_upstream_record_t;

/* ---- prompts ---- */

/* Set in keys of prompt parts, not set in hashes of requests. */
#define DFF_PART_KEY (UINT64_C(1) << 63)

/* Parts of one prompt that are considered. */
#define DFF_PARTS_MAX 64

/** struct dff_part - one part of a prompt */
typedef struct dff_part {
	uint64_t id;
	uint32_t tokens;
} dff_part_t;

/**
 * struct dff_prompt - a prompt as a chain of parts
 * @parts: in order; the last is specific to the request or its session
 * @count: number of parts
 * @model: hash of the name of the model that it is for
 * @tokens: prompt tokens in total
 * @tokens_out: most tokens of the answer
 */
typedef struct dff_prompt {
	dff_part_t parts[DFF_PARTS_MAX];
	uint32_t count;
	uint64_t model;
	uint32_t tokens;
	uint32_t tokens_out;
} dff_prompt_t;

/* ---- feeds ---- */

/**
 * enum dff_feed - the feeds of the record source
 *
 * Records of a feed have offsets. A node that reads the source itself sends
 * its peers the offset of the last record that changed something; peers that
 * are behind fetch the records from it.
 */
typedef enum dff_feed {
	DFF_FEED_ROUTING,
	DFF_FEED_UPSTREAMS,
	DFF_FEED_COUNT,
} dff_feed_t;

/* ---- events ---- */

/**
 * struct dff_relay_open - a caller's request
 * @call: number chosen by the event loop, never reused
 * @id: the caller's id of this attempt, for logs
 * @host: host without port
 * @target: path and query
 * @content_hash: hash over target and body, equal when a request is repeated;
 *	without DFF_PART_KEY
 * @timeout: how long the caller waits; 0 if it did not say
 * @after_event: last event that the caller has; -1 for none
 * @resumes: id of the attempt that brought the stream's first event, if the
 *	caller resumes one; else ""
 * @prompt: prompt; its count is 0 for requests without one
 * @credential: key that the caller presents; "" for none. In no log line
 * @organisation: with @from_peer, the organisation that the peer has found by
 *	the key; else ""
 * @from_peer: a peer that reaches no upstream passes it on for its caller
 */
typedef struct dff_relay_open {
	uint64_t call;
	const char *id;
	const char *host;
	const char *target;
	uint64_t content_hash;
	dff_time_t timeout;
	int64_t after_event;
	const char *resumes;
	dff_prompt_t prompt;
	const char *credential;
	const char *organisation;
	bool from_peer;
} dff_relay_open_t;

/* Highest rate limit, in requests a second; a higher one counts as this. */
#define DFF_RATE_MAX 1e6

/** enum dff_rate_notice - what an answer says of its upstream's rate limit */
typedef enum dff_rate_notice {
	DFF_RATE_UNSTATED, /* nothing */
	DFF_RATE_UNLIMITED, /* there is no limit, or no longer one */
	DFF_RATE_LIMITED, /* the limit is in rate_max */
} dff_rate_notice_t;

/**
 * struct dff_upstream_notice - an upstream's state, as its answers report it
 * @leaving: it is shutting down and wants no new requests
 * @pause: time for which this node is to send it nothing; 0 for none
 * @rate: whether it limits the rate of requests
 * @rate_max: with DFF_RATE_LIMITED, requests a second that it accepts from all
 *	nodes together; from 0 to DFF_RATE_MAX
 */
typedef struct dff_upstream_notice {
	bool leaving;
	dff_time_t pause;
	dff_rate_notice_t rate;
	double rate_max;
} dff_upstream_notice_t;

/**
 * struct dff_relay_head - the head of an upstream's answer
 * @send: number of the send that it answers
 * @status: HTTP status
 * @not_run: the upstream states that it did not run the request
 * @stamped: it has the upstream's signature
 * @events: its content is a stream of events
 * @loaded: it reports the load in @running, @waiting and @slots
 * @pace: with @loaded, how long work takes on its VM at this moment: 1 as
 *	usual, 2 twice as long; 0 if it does not say
 * @notice: state that the upstream reports
 */
typedef struct dff_relay_head {
	uint64_t send;
	int status;
	bool not_run;
	bool stamped;
	bool events;
	bool loaded;
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	double pace;
	dff_upstream_notice_t notice;
} dff_relay_head_t;

/** struct dff_relay_notice - an upstream's notice that did not come in the
 *	answer to a caller's request */
typedef struct dff_relay_notice {
	const char *upstream; /* id, borrowed */
	dff_upstream_notice_t notice;
} dff_relay_notice_t;

/** enum dff_send_result - how a send ended */
typedef enum dff_send_result {
	DFF_SEND_DONE, /* the answer arrived with all that its framing states */
	DFF_SEND_CLOSED, /* the upstream closed the connection in order during
			  * an answer with neither a length nor chunks */
	DFF_SEND_UNSENT, /* no connection; no byte was sent */
	DFF_SEND_BROKEN, /* failed after bytes may have been sent */
} dff_send_result_t;

/**
 * struct dff_relay_end - a send has ended
 * @send: number of the send
 * @result: how it ended
 * @handle: with the complete answer of a prefill, handle of its KV memory,
 *	else ""
 * @tokens: with a handle, prompt tokens in that memory
 */
typedef struct dff_relay_end {
	uint64_t send;
	dff_send_result_t result;
	char handle[DFF_NAME_MAX];
	uint32_t tokens;
} dff_relay_end_t;

/** enum dff_probe_result - result of a trial connection */
typedef enum dff_probe_result {
	DFF_PROBE_ACCEPTED, /* the upstream accepts connections */
	DFF_PROBE_REFUSED, /* no process listens at its address */
	DFF_PROBE_INCONCLUSIVE, /* neither, or closed again at once */
} dff_probe_result_t;

/** struct dff_relay_probed - the result of a DFF_RELAY_FX_PROBE */
typedef struct dff_relay_probed {
	const char *upstream; /* id, borrowed */
	uint64_t send; /* of the effect */
	dff_probe_result_t result;
} dff_relay_probed_t;

/**
 * struct dff_relay_identified - the result of a DFF_RELAY_FX_IDENTIFY
 * @send: of the effect
 * @answered: the process that listens there has answered
 * @said: it has said when it started
 * @started_ms: if so, that moment; 0 if it is none of the upstream's id
 */
typedef struct dff_relay_identified {
	uint64_t send;
	bool answered;
	bool said;
	uint64_t started_ms;
} dff_relay_identified_t;

/* Upstreams that one crash report names. */
#define DFF_CRASH_REPORT_MAX 8

/**
 * struct dff_crash_report - upstreams that crashed while running one request,
 *	or requests with one part in common
 * @content_hash: hash of the request, or key of the part
 * @age: time since the last crash
 * @count: rows of @crashes
 * @crashes: hash of an upstream's id and its number of crashes
 */
typedef struct dff_crash_report {
	uint64_t content_hash;
	dff_time_t age;
	size_t count;
	struct {
		uint32_t upstream;
		uint32_t count;
	} crashes[DFF_CRASH_REPORT_MAX];
} dff_crash_report_t;

/* Time for which the origin of a stream is kept: longer than any stream and
 * the attempts of its caller, and shorter than gone upstreams are kept. */
#define DFF_ORIGIN_TIME (30 * DFF_SEC)

/**
 * struct dff_stream_origin - where a resumable stream began
 * @attempt: hash of the id of the attempt that began it
 * @run: number of that attempt's request among those of all nodes
 * @revision: of the rows of one run the highest holds
 * @pool: pool
 * @software: software version of the upstream that made its first event; "" if
 *	it is not certain
 */
typedef struct dff_stream_origin {
	uint64_t attempt;
	uint64_t run;
	uint32_t revision;
	char pool[DFF_NAME_MAX];
	char software[DFF_NAME_MAX];
} dff_stream_origin_t;

/**
 * struct dff_relay_origins - origins of streams
 * @rows: borrowed
 * @batch: of rows to be stored, their number
 * @complete: of rows that were read, whether they are all that the store had
 *	when the read began
 */
typedef struct dff_relay_origins {
	const dff_stream_origin_t *rows;
	size_t count;
	uint64_t batch;
	bool complete;
} dff_relay_origins_t;

/** struct dff_relay_stored - result of storing a batch of origins */
typedef struct dff_relay_stored {
	uint64_t batch;
	bool accepted;
} dff_relay_stored_t;

/** enum dff_order_result - the platform's answer to an order of upstreams */
typedef enum dff_order_result {
	DFF_ORDERED_ACCEPTED,
	DFF_ORDERED_NONE_AVAILABLE, /* none of that kind is to be had there now */
	DFF_ORDERED_TOO_MANY, /* too many calls to the platform */
	DFF_ORDERED_UNANSWERED, /* it may be carried out, also later */
	DFF_ORDERED_REJECTED, /* for another reason; not carried out */
} dff_order_result_t;

/** struct dff_relay_ordered - the result of a DFF_RELAY_FX_ORDER_UPSTREAMS */
typedef struct dff_relay_ordered {
	uint64_t order; /* of the effect */
	dff_order_result_t result;
} dff_relay_ordered_t;

/** enum dff_relay_event_type - tag of struct dff_relay_event */
typedef enum dff_relay_event_type {
	DFF_RELAY_WAKE, /* timers are due; all events that arrived before
			 * that time have been delivered */
	DFF_RELAY_ROUTING, /* a version of the routing was read */
	DFF_RELAY_ROUTING_CONFIRMED, /* the source named its newest version */
	DFF_RELAY_UPSTREAM, /* a record of an upstream was read */
	DFF_RELAY_SOURCE_ANSWERED, /* the source of records answered */
	DFF_RELAY_OPEN, /* a caller's request arrived */
	DFF_RELAY_CALLER_GONE, /* a caller closed its connection */
	DFF_RELAY_HEAD, /* an answer's head arrived */
	DFF_RELAY_DATA, /* bytes of its body arrived */
	DFF_RELAY_BEFORE_SEND, /* a send's first byte is about to be written */
	DFF_RELAY_END, /* a send has ended */
	DFF_RELAY_HEARTBEAT, /* a peer's frame arrived */
	DFF_RELAY_CACHE_LIST, /* an engine listed its cached parts */
	DFF_RELAY_NOTICE, /* an upstream's notice outside a request's answer */
	DFF_RELAY_CRASH_REPORT, /* a stored crash report was read */
	DFF_RELAY_PROBED, /* a trial connection ended */
	DFF_RELAY_IDENTIFIED, /* DFF_RELAY_FX_IDENTIFY has ended */
	DFF_RELAY_ORIGINS_READ, /* DFF_RELAY_FX_READ_ORIGINS has ended */
	DFF_RELAY_ORIGINS_LOST, /* the store may have lost origins and does not
				 * return those that it had before */
	DFF_RELAY_ORIGINS_STORED, /* DFF_RELAY_FX_STORE_ORIGINS has ended */
	DFF_RELAY_UPSTREAMS_ORDERED, /* DFF_RELAY_FX_ORDER_UPSTREAMS has
				      * ended */
	DFF_RELAY_DUTY_READ, /* DFF_RELAY_FX_DUTY_LOG, a read, has ended */
	DFF_RELAY_DUTY_APPENDED, /* the same, an append */
	DFF_RELAY_USAGE, /* DFF_RELAY_FX_USAGE has ended */
	DFF_RELAY_STOP, /* the process is asked to stop */
} dff_relay_event_type_t;

/** struct dff_relay_data - bytes of an answer's body, borrowed; @no_room:
 *	the node cannot keep them until the answer is whole */
typedef struct dff_relay_data {
	uint64_t send;
	const char *bytes;
	size_t len;
	bool no_room;
} dff_relay_data_t;

/** struct dff_relay_heartbeat - a frame and the address of its sender */
typedef struct dff_relay_heartbeat {
	const char *addr;
	const uint8_t *bytes;
	size_t len;
} dff_relay_heartbeat_t;

/** struct dff_relay_cache_list - parts that an engine has cached, borrowed */
typedef struct dff_relay_cache_list {
	const char *upstream;
	const dff_part_t *parts;
	size_t count;
} dff_relay_cache_list_t;

/**
 * struct dff_relay_confirmed - an answer of the record source, whose records
 *	have been delivered
 * @asked_at: when it was asked
 * @version: newest version of the routing that it has
 */
typedef struct dff_relay_confirmed {
	dff_time_t asked_at;
	uint64_t version;
} dff_relay_confirmed_t;

/** struct dff_relay_event - one event; pointers are borrowed for the step */
typedef struct dff_relay_event {
	dff_relay_event_type_t type;
	union {
		dff_routing_t *routing; /* borrowed; retained if it is newer */
		dff_relay_confirmed_t confirmed;
		dff_upstream_record_t upstream;
		dff_relay_open_t open;
		uint64_t caller_gone; /* call */
		uint64_t before_send; /* send */
		dff_relay_head_t head;
		dff_relay_data_t data;
		dff_relay_end_t end;
		dff_relay_heartbeat_t heartbeat;
		dff_relay_cache_list_t cache_list;
		dff_relay_notice_t notice;
		dff_relay_probed_t probed;
		dff_relay_identified_t identified;
		dff_crash_report_t crash_report;
		dff_relay_origins_t origins;
		dff_relay_stored_t stored;
		dff_relay_ordered_t ordered;
		dff_duty_read_t duty_read;
		dff_duty_appended_t duty_appended;
		dff_usage_result_t usage;
	};
} dff_relay_event_t;

/* ---- effects ---- */

/** enum dff_stage - stages of a request that an upstream is to run */
typedef enum dff_stage {
	DFF_STAGE_WHOLE, /* all: prefill and decode, or a plain request */
	DFF_STAGE_PREFILL, /* read the prompt and hold its KV memory */
	DFF_STAGE_DECODE, /* answer from KV memory of another engine */
} dff_stage_t;

/**
 * struct dff_relay_send - send a call's request to an upstream
 * @call: number of the call
 * @send: number of this send
 * @upstream: id of the upstream
 * @addr: its address
 * @to_peer: it is not an upstream but a peer, which is to serve the call;
 *	@upstream and @addr are the peer's address
 * @stage: stages that it is to run
 * @kv_addr: with DFF_STAGE_DECODE, address of the engine that prefilled
 * @kv_handle: with DFF_STAGE_DECODE, handle of the memory there
 * @donor: address of an engine from which to fetch cached parts, or ""
 * @time_left: time that the upstream may take
 * @after_event: resume after this event; -1 for none
 * @priority: 0 is the most urgent
 * @organisation: organisation whose request it is; "" for none
 * @checks_keys: the routing has organisations, so that a caller's own fields
 *	about them are not forwarded
 * @connect_time: longest time for a connection to be made
 * @fresh_connection: open a new connection: idle ones to an upstream that
 *	failed may be dead, and one that has answered this call before may
 *	repeat that answer
 */
typedef struct dff_relay_send {
	uint64_t call;
	uint64_t send;
	char upstream[DFF_NAME_MAX];
	char addr[DFF_ADDR_MAX];
	bool to_peer;
	dff_stage_t stage;
	char kv_addr[DFF_ADDR_MAX];
	char kv_handle[DFF_NAME_MAX];
	char donor[DFF_ADDR_MAX];
	dff_time_t time_left;
	int64_t after_event;
	uint32_t priority;
	char organisation[DFF_NAME_MAX];
	bool checks_keys;
	dff_time_t connect_time;
	bool fresh_connection;
} dff_relay_send_t;

/**
 * struct dff_relay_answer - a final answer made by the relay itself
 * @call: number of the call
 * @status: HTTP status
 * @retry_after: time until the caller may retry; 0 to leave it out
 */
typedef struct dff_relay_answer {
	uint64_t call;
	int status;
	dff_time_t retry_after;
} dff_relay_answer_t;

/**
 * struct dff_relay_forward - part of a send's answer to forward to its caller
 * @call: number of the call
 * @send: number of the send
 * @open_length: of a head: the rest of the answer may come from another send, so
 *	that the length which the head states may not be that of the whole
 * @bytes: borrowed until the next step
 * @len: length of @bytes
 */
typedef struct dff_relay_forward {
	uint64_t call;
	uint64_t send;
	bool open_length;
	const char *bytes;
	size_t len;
} dff_relay_forward_t;

/** struct dff_relay_release - KV memory of a prompt that is not needed */
typedef struct dff_relay_release {
	char upstream[DFF_NAME_MAX];
	char addr[DFF_ADDR_MAX];
	char handle[DFF_NAME_MAX];
} dff_relay_release_t;

/** struct dff_relay_cache_query - ask an engine which parts it has cached */
typedef struct dff_relay_cache_query {
	char upstream[DFF_NAME_MAX];
	char addr[DFF_ADDR_MAX];
} dff_relay_cache_query_t;

/**
 * struct dff_relay_probe - test whether an upstream accepts connections
 * @upstream: its id
 * @addr: its address
 * @send: a send that ended with DFF_SEND_CLOSED, whose answer is kept until the
 *	result was delivered; 0 if the probe is not for a send
 * @connect_time: longest time for a connection to be made
 */
typedef struct dff_relay_probe {
	char upstream[DFF_NAME_MAX];
	char addr[DFF_ADDR_MAX];
	uint64_t send;
	dff_time_t connect_time;
} dff_relay_probe_t;

/**
 * struct dff_relay_identify - ask an upstream when its process started
 * @upstream: its id
 * @addr: its address
 * @send: a send that it is answering
 */
typedef struct dff_relay_identify {
	char upstream[DFF_NAME_MAX];
	char addr[DFF_ADDR_MAX];
	uint64_t send;
} dff_relay_identify_t;

/** struct dff_relay_frame - a frame to send to a peer */
typedef struct dff_relay_frame {
	char addr[DFF_ADDR_MAX];
	const uint8_t *bytes; /* borrowed until the next step */
	size_t len;
} dff_relay_frame_t;

/** struct dff_relay_fetch - fetch records that this node lacks from a peer */
typedef struct dff_relay_fetch {
	dff_feed_t feed;
	char addr[DFF_ADDR_MAX]; /* where the peer serves records */
} dff_relay_fetch_t;

/**
 * struct dff_relay_order - order a number of upstreams from the platform
 * @order: number of this order
 * @pool: pool
 * @domain: failure domain
 * @count: upstreams of that kind that there are to be
 * @reclaimable: of the kind that may be reclaimed
 * @token: fencing token of the duty
 */
typedef struct dff_relay_order {
	uint64_t order;
	char pool[DFF_NAME_MAX];
	char domain[DFF_NAME_MAX];
	uint32_t count;
	bool reclaimable;
	uint64_t token;
} dff_relay_order_t;

/** enum dff_relay_effect_type - tag of struct dff_relay_effect */
typedef enum dff_relay_effect_type {
	DFF_RELAY_FX_SEND, /* deliver all events that have arrived, then
			    * DFF_RELAY_BEFORE_SEND; then send, unless that
			    * cancelled it */
	DFF_RELAY_FX_CANCEL, /* abort a send */
	DFF_RELAY_FX_ANSWER,
	DFF_RELAY_FX_FORWARD_HEAD, /* forward the head of a send's answer */
	DFF_RELAY_FX_FORWARD_DATA,
	DFF_RELAY_FX_FORWARD_END, /* the answer is complete */
	DFF_RELAY_FX_ABORT, /* close so that the answer looks incomplete */
	DFF_RELAY_FX_RELEASE,
	DFF_RELAY_FX_CACHE_QUERY,
	DFF_RELAY_FX_PROBE, /* connect and deliver DFF_RELAY_PROBED */
	DFF_RELAY_FX_IDENTIFY, /* ask and deliver DFF_RELAY_IDENTIFIED, also
				* without an answer, within half a second */
	DFF_RELAY_FX_STORE_CRASHES, /* store a crash report so that it
				     * survives a restart of all nodes */
	DFF_RELAY_FX_STORE_ORIGINS, /* store origins of streams, so that any
				     * node can find them for half a minute */
	DFF_RELAY_FX_READ_ORIGINS, /* read those that all nodes have stored
				    * since the last time */
	DFF_RELAY_FX_CLOSE_IDLE, /* close idle connections to an upstream */
	DFF_RELAY_FX_FRAME,
	DFF_RELAY_FX_FETCH, /* fetch a feed's records from a peer */
	DFF_RELAY_FX_ORDER_UPSTREAMS, /* order upstreams and deliver
				       * DFF_RELAY_UPSTREAMS_ORDERED */
	DFF_RELAY_FX_DUTY_LOG, /* read the log of duties or append to it */
	DFF_RELAY_FX_USAGE, /* a call for usage reports */
} dff_relay_effect_type_t;

/** struct dff_relay_effect - one effect */
typedef struct dff_relay_effect {
	dff_relay_effect_type_t type;
	union {
		dff_relay_send_t send;
		uint64_t cancel; /* send */
		dff_relay_answer_t answer;
		dff_relay_forward_t forward;
		uint64_t call; /* DFF_RELAY_FX_ABORT */
		dff_relay_release_t release;
		dff_relay_cache_query_t cache_query;
		dff_relay_probe_t probe;
		dff_relay_identify_t identify;
		dff_crash_report_t
		    crash_report; /* DFF_RELAY_FX_STORE_CRASHES */
		char upstream[DFF_NAME_MAX]; /* DFF_RELAY_FX_CLOSE_IDLE */
		dff_relay_frame_t frame;
		dff_relay_fetch_t fetch;
		dff_relay_origins_t origins; /* DFF_RELAY_FX_STORE_ORIGINS,
					      * until the next step */
		dff_relay_order_t order;
		dff_duty_request_t duty_request;
		dff_usage_call_t usage;
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
 * @link_mbps: speed of its link; nodes with fast links are preferred as
 *	representatives of their failure domain
 * @heartbeat_interval: time between frames to peers
 * @stale_after: silence of the record source and of all peers after which
 *	the relay is not ready
 * @budget_window: window of the retry budget
 * @budget_ratio: extra sends allowed for each request
 * @budget_slack: further extra sends allowed to all nodes together
 * @fleet_is_new: no node has run before, so that no stream is older than this
 *	process
 * @store_writes_rate: writes a second that the store takes from all nodes
 * @cross_domain_latency: one-way latency to another failure domain
 * @config_time: time within which a new configuration is in force
 * @revoke_strictly: a removed key counts nowhere after @revoke_time, also at
 *	nodes that are cut off
 * @revoke_time: time from the store's answer to a configuration after which
 *	the keys that it removes do not count
 * @learn_capacity: find out how fast each upstream is and place accordingly;
 *	otherwise all of a pool count as equally fast
 * @orders_upstreams: ordering upstreams of pools with dff_pool_t.scaling is a
 *	duty of the nodes
 */
typedef struct dff_relay_config {
	char id[DFF_NAME_MAX];
	char domain[DFF_NAME_MAX];
	char addr[DFF_ADDR_MAX];
	char records[DFF_ADDR_MAX];
	uint64_t incarnation;
	uint32_t link_mbps;
	dff_time_t heartbeat_interval;
	dff_time_t stale_after;
	dff_time_t budget_window;
	double budget_ratio;
	double budget_slack;
	bool fleet_is_new;
	double store_writes_rate;
	dff_time_t cross_domain_latency;
	dff_time_t config_time;
	bool revoke_strictly;
	dff_time_t revoke_time;
	bool learn_capacity;
	bool orders_upstreams;
} dff_relay_config_t;

/** dff_relay_defaults() - set the defaults, which suit a small fleet */
void dff_relay_defaults(dff_relay_config_t *config);

/** typedef dff_relay_t - a relay and its state */
typedef struct dff_relay dff_relay_t;

/** dff_relay_new() - make a relay; the caller drops it */
dff_relay_t *dff_relay_new(dff_ctx_t *ctx, const dff_relay_config_t *config);

/** dff_relay_drop() - free a relay; NULL is allowed */
void dff_relay_drop(dff_relay_t *relay);

/** dff_relay_set_config() - change settings; id, domain and addresses stay */
void dff_relay_set_config(dff_relay_t *relay, const dff_relay_config_t *config);

/**
 * dff_relay_add_peer() - add an address at which a peer may listen
 * @domain: its failure domain, "" if not known
 * @link_mbps: speed of its link, 0 if not known
 */
void dff_relay_add_peer(dff_relay_t *relay, const char *addr,
    const char *domain, uint32_t link_mbps, dff_time_t now);

/**
 * dff_relay_reads_source() - whether this node is to read the record source
 *
 * A few of the nodes that reach each other do; the others get records from
 * them.
 */
bool dff_relay_reads_source(const dff_relay_t *relay, dff_time_t now);

/**
 * dff_relay_needs_confirmation() - whether this node is to ask the record source
 *	at once for the newest routing
 *
 * Requests need keys, and no node that reads the source has confirmed the
 * routing in force for long.
 */
bool dff_relay_needs_confirmation(const dff_relay_t *relay, dff_time_t now);

/** dff_relay_sends_summaries() - whether this node represents its failure
 *	domain */
bool dff_relay_sends_summaries(const dff_relay_t *relay, dff_time_t now);

/** dff_relay_set_duties() - set the duties of the fleet and the windows of its
 *	usage reports */
void dff_relay_set_duties(dff_relay_t *relay, const dff_duty_config_t *duties,
    const dff_usage_config_t *usage, dff_time_t now);

/** dff_relay_set_wall() - time of day of this node's clock, which may be off
 *	and may jump; needed only where usage is counted */
void dff_relay_set_wall(dff_relay_t *relay, uint64_t wall_ms, dff_time_t now);

/** dff_relay_usage() - counts of a window at this node and at those that it
 *	hears; a GArray of dff_usage_count_t, which the caller drops */
GArray *dff_relay_usage(const dff_relay_t *relay, uint64_t window);

/** dff_relay_report_feed() - the next offset of a feed is sent to peers, whether
 *	or not one of its records changed something */
void dff_relay_report_feed(dff_relay_t *relay, dff_feed_t feed);

/** dff_relay_set_feed_offset() - a feed was read up to @offset, which never goes
 *	back; the offset is sent to peers if one of its records changed something
 *	since the last call */
void dff_relay_set_feed_offset(
    dff_relay_t *relay, dff_feed_t feed, uint64_t offset);

/**
 * dff_relay_step() - process one event
 * @fx: GArray of dff_relay_effect_t, to which effects are appended
 */
void dff_relay_step(dff_ctx_t *ctx, dff_relay_t *relay,
    const dff_relay_event_t *event, dff_time_t now, GArray *fx);

/** dff_relay_wake() - the time at which DFF_RELAY_WAKE is due */
dff_time_t dff_relay_wake(const dff_relay_t *relay);

/** dff_relay_ready() - whether the node should get new connections; @why is
 *	set to the reason */
bool dff_relay_ready(
    const dff_relay_t *relay, dff_time_t now, const char **why);

/** dff_relay_calls() - number of requests without a final answer */
size_t dff_relay_calls(const dff_relay_t *relay);

/** dff_relay_routing() - the current version, borrowed, or NULL */
const dff_routing_t *dff_relay_routing(const dff_relay_t *relay);

/** dff_relay_metrics() - counters and histograms as text; g_free() it */
char *dff_relay_metrics(const dff_relay_t *relay, dff_time_t now);

/* ---- status of a final answer ---- */

/** enum dff_progress - how far a request may have got */
typedef enum dff_progress {
	DFF_PROGRESS_UNSENT, /* nothing was sent to an upstream */
	DFF_PROGRESS_REJECTED, /* upstreams stated that they did not run it */
	DFF_PROGRESS_PREFILLED, /* its prompt was read; it did not run */
	DFF_PROGRESS_MAY_HAVE_RUN, /* sent; it may have run or may still run */
	DFF_PROGRESS_ANSWERING, /* the caller has part of its answer */
} dff_progress_t;

/** enum dff_failure - why a request failed */
typedef enum dff_failure {
	DFF_FAILURE_BUSY, /* no upstream can serve it in time */
	DFF_FAILURE_TIMEOUT, /* its timeout has passed */
	DFF_FAILURE_UPSTREAM, /* an upstream broke off or its answer is bad */
} dff_failure_t;

/**
 * dff_relay_status() - the HTTP status of a final answer
 *
 * Return: 503 if the request has not run and never will, 502 or 504 if that
 * is not known, 0 if the only option left is to close the connection.
 */
int dff_relay_status(dff_progress_t progress, dff_failure_t failure);

#endif
