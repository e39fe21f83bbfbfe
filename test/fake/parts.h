/*
 * The parts of the world among themselves.
 */
#ifndef FAKE_PARTS_H
#define FAKE_PARTS_H

#include "world.h"

/* TCP gives up on bytes that are not acknowledged for so long. */
#define TCP_TIMEOUT (5 * DFF_SEC)
/* How often a broken link is tried again. */
#define LINK_RETRY (100 * DFF_MSEC)
/* What a lost message costs before it is sent again. */
#define RESEND_TIME (200 * DFF_MSEC)

typedef struct fake_node fake_node_t;
typedef struct upstream upstream_t;
typedef struct caller caller_t;
typedef struct parcel parcel_t;

/** typedef arrive_fn - what happens when a parcel arrives or is due */
typedef void (*arrive_fn)(dff_world_t *world, parcel_t *parcel);

/**
 * struct parcel - one message, or one timer
 * @node: the node that it is for, or that is to be answered
 * @epoch: process of @node; the parcel is dropped if another runs
 * @up: upstream concerned
 * @id: try, append, order or read that it belongs to
 * @stream: stream concerned
 * @from: offset, or index of a token
 * @number: further number
 * @asked: moment at which a question left
 * @code: outcome
 * @kind: kind of an order
 * @text: copied text
 * @bytes: bytes
 * @list: list of what the kind of message tells
 */
struct parcel {
	fake_node_t *node;
	uint64_t epoch;
	upstream_t *up;
	uint64_t id;
	dff_stream_t stream;
	uint64_t from;
	uint64_t number;
	dff_time_t asked;
	int code;
	int kind;
	char *text;
	GBytes *bytes;
	GArray *list;
};

/** struct place - one end of links */
typedef struct place {
	char name[DFF_NAME_MAX];
	char domain[DFF_NAME_MAX];
	uint32_t index;
} place_t;

/** struct follow - one stream as a node's shell reads it */
typedef struct follow {
	uint64_t from;
	uint64_t generation; /* of the last question; 0 does not follow */
} follow_t;

/** struct fake_node - a node with the shell's part played */
struct fake_node {
	place_t place;
	dff_ctx_t *ctx;
	dff_node_t *node; /* NULL while down */
	dff_effects_t *fx;
	dff_node_config_t config;
	uint64_t epoch;
	dff_time_t skew; /* of its clock */
	double rate; /* by which its clock runs fast */
	bool paused;
	bool pause_at_order;
	bool ready;
	bool stopping;
	GQueue held; /* item_t that wait for its waking */
	follow_t follow[DFF_STREAM_COUNT];
	uint64_t generation;
	GHashTable *appends; /* ids without an answer */
	GHashTable *asks; /* engine VM -> moment of the question */
	GHashTable *orders; /* ids without an answer */
	uint64_t wake_number;
	/* for the checks */
	uint64_t revision_max;
	dff_time_t reach_since; /* up, awake and in touch with the log */
	dff_time_t awake_since;
	GHashTable *told_leaving; /* VM -> moment, in dff_time_t */
};

/** struct upstream - an engine or a service */
struct upstream {
	place_t place;
	char addr[DFF_ADDR_MAX];
	bool is_engine;
	dff_ctx_t *ctx;
	dff_engine_model_t *engine;
	dff_service_model_t *service;
	dff_time_t wake_at;
	size_t seen; /* journal lines that were checked */
	/* for the checks of orders */
	bool order_open;
	dff_engine_journal_entry_t order;
	uint64_t fence_max;
};

/** struct attempt - a try, as the node's shell and the upstream know it */
typedef struct attempt {
	uint64_t id;
	fake_node_t *node;
	uint64_t epoch;
	upstream_t *up;
	caller_t *caller;
	bool open; /* at the node */
	dff_time_t sent;
	dff_time_t heard;
	dff_time_t timeout;
	dff_phase_t phase;
	dff_call_kind_t kind;
	uint32_t resume_at;
	uint32_t max_tokens;
	uint32_t priority;
	char model[DFF_NAME_MAX];
	char kv_addr[DFF_ADDR_MAX];
	uint64_t kv_attempt;
	char key[256];
	bool ran; /* the upstream took it */
} attempt_t;

/** struct caller - one request at one entry */
struct caller {
	uint32_t number; /* also the call's id */
	uint32_t first; /* the caller whose resend it is, or itself */
	uint32_t resend; /* resends left */
	fake_node_t *node;
	uint64_t epoch;
	dff_call_kind_t kind;
	char *entry;
	char *prompt;
	char *key;
	uint64_t body_hash;
	uint32_t max_tokens;
	bool poison;
	dff_time_t opened;
	dff_time_t patience;
	bool delivered; /* the node has got the request */
	bool begun;
	uint32_t next; /* index of the next token */
	char model[DFF_NAME_MAX];
	dff_got_t got;
	bool over; /* here; a resend may go on */
	char code[DFF_NAME_MAX];
	uint32_t ran; /* upstreams that took it */
};

/** struct revision - an edit that the log's order accepts */
typedef struct revision {
	uint64_t offset;
	dff_time_t at;
} revision_t;

/** struct link - one way between two places */
typedef struct link {
	bool cut;
	dff_time_t delay;
	double loss;
	dff_time_t last; /* arrival of the last message: they keep order */
	dff_time_t held_until;
} link_t;

/** struct item - something that happens at a moment */
typedef struct item {
	dff_time_t at;
	uint64_t number;
	dff_time_t sent;
	link_t *link; /* NULL for a timer */
	fake_node_t *node; /* held while it is paused; or NULL */
	arrive_fn fn;
	parcel_t *parcel;
} item_t;

struct dff_world {
	dff_world_config_t config;
	dff_ctx_t *ctx;
	dff_time_t now;
	uint64_t item_count;
	uint64_t steps;
	GTree *items;
	GPtrArray *nodes; /* fake_node_t */
	GPtrArray *upstreams; /* upstream_t */
	place_t platform;
	uint32_t places;
	link_t *links; /* places x places */
	dff_log_model_t *log;
	dff_vms_model_t *vms;
	dff_weights_model_t *weights;
	dff_time_t slow;
	GPtrArray *readers; /* parcel_t that wait for a record */
	uint64_t generations;
	GHashTable *attempts; /* id -> attempt_t */
	GPtrArray *callers;
	GArray *engine_outs; /* what a model gave, until it is carried out */
	GArray *service_outs;
	/* the catalogue by the log itself */
	uint64_t edits_seen;
	GHashTable *edit_ids; /* of a repeated id only the first counts */
	uint64_t revision;
	GArray *revisions; /* revision_t */
	char *model;
	uint32_t crashes;
	char *problem;
};

/* ---- world.c ---- */

/** parcel_new() - a parcel for a node's present process, or for none */
parcel_t *parcel_new(fake_node_t *node);

/** parcel_drop() - free a parcel */
void parcel_drop(parcel_t *parcel);

/** world_timer() - do something later; with @node in its process only */
void world_timer(dff_world_t *world, fake_node_t *node, dff_time_t delay,
    arrive_fn fn, parcel_t *parcel);

/** world_send() - send a parcel over a link; with @node it is for a node */
void world_send(dff_world_t *world, const place_t *from, const place_t *to,
    fake_node_t *node, arrive_fn fn, parcel_t *parcel);

/** world_replay() - do what waited for a node that woke */
void world_replay(dff_world_t *world, fake_node_t *node);

/** world_problem() - note that an invariant broke; the first one counts */
void world_problem(dff_world_t *world, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/** world_node() - node by name, or NULL */
fake_node_t *world_node(const dff_world_t *world, const char *name);

/** world_upstream() - upstream by name or address, or NULL */
upstream_t *world_upstream(const dff_world_t *world, const char *name);

/** world_link() - link between two places */
link_t *world_link(dff_world_t *world, const place_t *from, const place_t *to);

/* ---- fake_node.c ---- */

/** node_clock() - what a node's clock shows at a moment */
dff_time_t node_clock(const fake_node_t *node, dff_time_t moment);

/** node_feed() - one step of a node, and its effects */
void node_feed(dff_world_t *world, fake_node_t *node, const dff_event_t *event);

/** node_start() - start a node's process */
void node_start(dff_world_t *world, fake_node_t *node);

/** node_free() - free a node */
void node_free(fake_node_t *node);

/* ---- fake_platform.c ---- */

/** platform_follow() - a node's shell reads a stream from an offset on */
void platform_follow(
    dff_world_t *world, fake_node_t *node, dff_stream_t stream, uint64_t from);

/** platform_append() - a node's shell appends */
void platform_append(
    dff_world_t *world, fake_node_t *node, const dff_fx_log_append_t *append);

/** platform_poll() - a node's shell reads the VM list, again and again */
void platform_poll(dff_world_t *world, fake_node_t *node);

/** platform_changed() - the log took a record, or can be read again */
void platform_changed(dff_world_t *world);

/* ---- fake_upstream.c ---- */

/** upstream_try() - a node's shell sends a call */
void upstream_try(
    dff_world_t *world, fake_node_t *node, const dff_fx_attempt_start_t *start);

/** upstream_cancel() - a node's shell gives a try up */
void upstream_cancel(dff_world_t *world, fake_node_t *node, uint64_t attempt);

/** upstream_process_gone() - a node's process ended, its connections too */
void upstream_process_gone(
    dff_world_t *world, fake_node_t *node, uint64_t epoch);

/** upstream_pump() - carry out what an upstream gave, set its next moment */
void upstream_pump(dff_world_t *world, upstream_t *up);

/** upstream_is_up() - its process runs */
bool upstream_is_up(const upstream_t *up);

/** upstream_send() - send a parcel from an upstream to the parcel's node */
void upstream_send(
    dff_world_t *world, upstream_t *up, parcel_t *parcel, arrive_fn fn);

/** upstream_free() - free an upstream */
void upstream_free(upstream_t *up);

/* ---- fake_control.c ---- */

/** upstream_ask() - a node's shell asks an engine for its state */
void upstream_ask(dff_world_t *world, fake_node_t *node, const char *vm);

/** upstream_order() - a node's shell sends an order */
void upstream_order(
    dff_world_t *world, fake_node_t *node, const dff_fx_order_send_t *order);

/** upstream_poll() - a node's shell reads load reports, again and again */
void upstream_poll(dff_world_t *world, fake_node_t *node);

/* ---- caller.c ---- */

/** caller_effect() - an effect on a call; others are passed over */
void caller_effect(
    dff_world_t *world, fake_node_t *node, const dff_effect_t *effect);

/** caller_process_gone() - a node's process ended */
void caller_process_gone(
    dff_world_t *world, fake_node_t *node, uint64_t epoch, bool planned);

/** caller_free() - free a caller */
void caller_free(caller_t *caller);

/** caller_of() - caller of a call id, or NULL */
caller_t *caller_of(const dff_world_t *world, uint64_t call);

/* ---- checks.c ---- */

/** check_node() - after a step of a node */
void check_node(dff_world_t *world, fake_node_t *node);

/** check_upstream() - look at new journal lines */
void check_upstream(dff_world_t *world, upstream_t *up);

/** check_log() - look at new records of the catalogue stream */
void check_log(dff_world_t *world);

/** check_reach() - edits are in force where they can be; callers are served */
void check_reach(dff_world_t *world);

#endif
