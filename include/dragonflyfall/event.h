/*
 * What goes into the reducer and what comes out of it.
 *
 * dff_node_step() takes one event and a moment, changes the node's state
 * and adds effects to a list. A harness or a program carries the effects
 * out and feeds their outcomes back as events. Pointers in an event are
 * borrowed for the length of the step; pointers in an effect belong to the
 * list and live until dff_effects_clear().
 */
#ifndef DRAGONFLYFALL_EVENT_H
#define DRAGONFLYFALL_EVENT_H

#include "dragonflyfall/base.h"

/* ---- words shared by events and effects ---- */

/** enum dff_stream - the three streams kept in the platform's log */
typedef enum dff_stream {
	DFF_STREAM_CATALOGUE,
	DFF_STREAM_AUTHORITY,
	DFF_STREAM_CLAIMS,
	DFF_STREAM_COUNT,
} dff_stream_t;

/** dff_stream_name() - "catalogue", "authority" or "claims" */
const char *dff_stream_name(dff_stream_t stream);

/** enum dff_vm_kind - what runs on a VM */
typedef enum dff_vm_kind {
	DFF_VM_ENTRY,
	DFF_VM_ENGINE,
	DFF_VM_SERVICE,
} dff_vm_kind_t;

/**
 * struct dff_vm - one line of the platform's VM list
 * @id: name of the VM
 * @addr: "ip:port" of its upstream server, or of an entry's peer port
 * @domain: failure domain
 * @pool: pool it serves; "" for an entry VM
 * @kind: what runs on it
 * @incarnation: changes when another VM takes over the name or address
 * @leaving: it is about to be withdrawn
 */
typedef struct dff_vm {
	char id[DFF_NAME_MAX];
	char addr[DFF_ADDR_MAX];
	char domain[DFF_NAME_MAX];
	char pool[DFF_NAME_MAX];
	dff_vm_kind_t kind;
	uint64_t incarnation;
	bool leaving;
} dff_vm_t;

/** enum dff_role - what an engine does */
typedef enum dff_role {
	DFF_ROLE_MIXED,
	DFF_ROLE_PREFILL,
	DFF_ROLE_DECODE,
	DFF_ROLE_COUNT,
} dff_role_t;

/** dff_role_name() - "mixed", "prefill" or "decode" */
const char *dff_role_name(dff_role_t role);

/** dff_role_parse() - role of a name, or -EINVAL */
int dff_role_parse(const char *name);

/** enum dff_order_kind - what an order changes at an engine */
typedef enum dff_order_kind {
	DFF_ORDER_ROLE,
	DFF_ORDER_MODEL,
	DFF_ORDER_ADAPTER,
	DFF_ORDER_VERSION,
} dff_order_kind_t;

/** dff_order_kind_name() - "role", "model", "adapter" or "version" */
const char *dff_order_kind_name(dff_order_kind_t kind);

/** enum dff_ran - whether a caller's work ran, as told to the caller */
typedef enum dff_ran {
	DFF_RAN_NOT,
	DFF_RAN_UNKNOWN,
	DFF_RAN_YES,
} dff_ran_t;

/** dff_ran_name() - "not_run", "unknown" or "ran" */
const char *dff_ran_name(dff_ran_t ran);

/** enum dff_finish - why an engine's answer ended */
typedef enum dff_finish {
	DFF_FINISH_STOP,
	DFF_FINISH_LENGTH,
} dff_finish_t;

/* The most prefix blocks of a prompt that are hashed. */
#define DFF_PREFIX_MAX 64
/* Bytes of prompt in one prefix block. */
#define DFF_PREFIX_BYTES 256
/* Bytes of prompt that count as one token before usage is known. */
#define DFF_TOKEN_BYTES 4

/* ---- events ---- */

/** enum dff_event_type - tag of struct dff_event */
typedef enum dff_event_type {
	DFF_EV_START,
	DFF_EV_WAKE,
	DFF_EV_STOP,
	DFF_EV_VM_LIST,
	DFF_EV_LOG_RECORD,
	DFF_EV_LOG_HEAD,
	DFF_EV_LOG_DOWN,
	DFF_EV_LOG_APPENDED,
	DFF_EV_PEER_UP,
	DFF_EV_PEER_DOWN,
	DFF_EV_PEER_FRAME,
	DFF_EV_CALL_OPEN,
	DFF_EV_CALL_GONE,
	DFF_EV_TRY_TOKENS,
	DFF_EV_TRY_END,
	DFF_EV_TRY_REPLY,
	DFF_EV_TRY_FAILED,
	DFF_EV_ENGINE_REPORT,
	DFF_EV_ENGINE_CACHE,
	DFF_EV_ENGINE_STATE,
	DFF_EV_ORDER_ANSWER,
} dff_event_type_t;

/** struct dff_ev_vm_list - the VM list was read */
typedef struct dff_ev_vm_list {
	const dff_vm_t *vms;
	size_t count;
} dff_ev_vm_list_t;

/**
 * struct dff_ev_log_record - one record of a stream, in offset order
 * @stream: stream
 * @offset: its offset; the first record of a stream has offset 1
 * @data: encoded record
 * @len: bytes at @data
 * @time_ms: wall clock of the platform when it took the record; the same
 *	for every reader
 * @from_peer: it came by a peer, not from the log itself
 */
typedef struct dff_ev_log_record {
	dff_stream_t stream;
	uint64_t offset;
	const uint8_t *data;
	size_t len;
	uint64_t time_ms;
	bool from_peer;
} dff_ev_log_record_t;

/**
 * struct dff_ev_log_head - a read of a stream was answered
 * @stream: stream
 * @first: first offset still retained
 * @next: offset that the next append will get
 * @asked: the moment the read that gave this answer was sent
 */
typedef struct dff_ev_log_head {
	dff_stream_t stream;
	uint64_t first;
	uint64_t next;
	dff_time_t asked;
} dff_ev_log_head_t;

/** struct dff_ev_log_down - a read of a stream failed or timed out */
typedef struct dff_ev_log_down {
	dff_stream_t stream;
} dff_ev_log_down_t;

/** enum dff_append - how an append ended */
typedef enum dff_append {
	DFF_APPEND_DONE,
	DFF_APPEND_REFUSED, /* the log said no; it has no effect */
	DFF_APPEND_UNKNOWN, /* no answer; it may take effect, even later */
} dff_append_t;

/**
 * struct dff_ev_log_appended - an append ended
 * @id: id of the DFF_FX_LOG_APPEND
 * @outcome: how it ended
 * @offset: with DFF_APPEND_DONE, the record's offset
 */
typedef struct dff_ev_log_appended {
	uint64_t id;
	dff_append_t outcome;
	uint64_t offset;
} dff_ev_log_appended_t;

/**
 * struct dff_ev_peer - a peer link came up, went down or gave a frame
 * @id: VM id of the peer, as in the VM list
 * @data: with DFF_EV_PEER_FRAME, the encoded frame without its length
 * @len: bytes at @data
 */
typedef struct dff_ev_peer {
	const char *id;
	const uint8_t *data;
	size_t len;
} dff_ev_peer_t;

/** enum dff_call_kind - what a caller asks for */
typedef enum dff_call_kind {
	DFF_CALL_MODEL,
	DFF_CALL_SERVICE,
} dff_call_kind_t;

/**
 * struct dff_ev_call_open - a caller's request has arrived whole
 * @call: id given by the shell; never used twice by one process
 * @kind: what is asked for
 * @secret: the caller's API key, or ""
 * @entry: name of the catalogue entry
 * @idem_key: Idempotency-Key, or ""
 * @key_made_ms: wall clock at which the caller says it made the key; 0 unknown
 * @now_ms: this node's wall clock
 * @stream: tokens are wanted as they come
 * @prompt_len: bytes of prompt
 * @max_tokens: output bound asked for; 0 for the entry's own
 * @body_hash: hash of everything that makes this request what it is
 * @prefix: hashes of the prompt's prefix blocks, each chained on the last
 * @prefix_count: blocks hashed, at most DFF_PREFIX_MAX
 *
 * The shell keeps the body itself until the call ends.
 */
typedef struct dff_ev_call_open {
	uint64_t call;
	dff_call_kind_t kind;
	const char *secret;
	const char *entry;
	const char *idem_key;
	uint64_t key_made_ms;
	uint64_t now_ms;
	bool stream;
	uint32_t prompt_len;
	uint32_t max_tokens;
	uint64_t body_hash;
	const uint64_t *prefix;
	size_t prefix_count;
} dff_ev_call_open_t;

/** struct dff_ev_call_gone - the caller hung up or reads too slowly */
typedef struct dff_ev_call_gone {
	uint64_t call;
} dff_ev_call_gone_t;

/**
 * struct dff_ev_try_tokens - an engine gave tokens
 * @attempt: try they belong to
 * @first: index of the first of them in the whole answer, from 0
 * @count: tokens
 * @text: their text
 * @len: bytes at @text
 */
typedef struct dff_ev_try_tokens {
	uint64_t attempt;
	uint32_t first;
	uint32_t count;
	const char *text;
	size_t len;
} dff_ev_try_tokens_t;

/** struct dff_ev_try_end - an engine's answer ended whole */
typedef struct dff_ev_try_end {
	uint64_t attempt;
	dff_finish_t finish;
	uint32_t prompt_tokens;
	uint32_t cached_tokens;
	uint32_t output_tokens;
} dff_ev_try_end_t;

/** struct dff_ev_try_reply - a plain service's whole reply */
typedef struct dff_ev_try_reply {
	uint64_t attempt;
	int status;
	const char *content_type;
	const uint8_t *body;
	size_t len;
} dff_ev_try_reply_t;

/** enum dff_try_fail - why a try failed */
typedef enum dff_try_fail {
	DFF_FAIL_CONNECT, /* no connection; nothing was sent */
	DFF_FAIL_REJECTED, /* the upstream said that it did not run it */
	DFF_FAIL_BROKEN, /* the connection broke after the send */
	DFF_FAIL_TIMEOUT, /* no progress after the send */
	DFF_FAIL_PROTOCOL, /* the answer cannot be understood */
} dff_try_fail_t;

/** dff_try_fail_name() - "connect", "rejected", "broken", ... */
const char *dff_try_fail_name(dff_try_fail_t fail);

/**
 * struct dff_ev_try_failed - a try failed
 * @attempt: the try
 * @reason: why
 * @sent: the first byte may have left
 * @retry_after: when a rejecting upstream wants to be asked again; 0 unknown
 */
typedef struct dff_ev_try_failed {
	uint64_t attempt;
	dff_try_fail_t reason;
	bool sent;
	dff_time_t retry_after;
} dff_ev_try_failed_t;

/**
 * struct dff_ev_engine_report - an upstream's load report
 * @vm: VM id
 * @incarnation: what the upstream's process calls itself; changes at restart
 * @taken: moment at which the report was true, by this node's clock
 * @role: engine's role now
 * @changing: it is away for a change
 * @model: model loaded
 * @version: version of the model loaded
 * @running: requests in the batch
 * @waiting: requests queued
 * @backlog_tokens: prompt tokens still to be prefilled
 * @free_pieces: memory pieces free
 * @total_pieces: memory pieces in all
 * @token_us: time of one decode step at the present batch
 * @prefill_us: time to prefill one token
 * @fence: highest fencing number seen; 0 where none is checked
 */
typedef struct dff_ev_engine_report {
	const char *vm;
	uint64_t incarnation;
	dff_time_t taken;
	dff_role_t role;
	bool changing;
	const char *model;
	uint32_t version;
	uint32_t running;
	uint32_t waiting;
	uint64_t backlog_tokens;
	uint32_t free_pieces;
	uint32_t total_pieces;
	double token_us;
	double prefill_us;
	uint64_t fence;
} dff_ev_engine_report_t;

/**
 * struct dff_ev_engine_cache - cache events of an engine
 * @vm: VM id
 * @stored: prefix hashes now held
 * @stored_count: how many
 * @evicted: prefix hashes dropped
 * @evicted_count: how many
 * @gap: events were lost before these
 */
typedef struct dff_ev_engine_cache {
	const char *vm;
	const uint64_t *stored;
	size_t stored_count;
	const uint64_t *evicted;
	size_t evicted_count;
	bool gap;
} dff_ev_engine_cache_t;

/**
 * struct dff_ev_engine_state - an engine answered a direct question
 * @vm: VM id
 * @ok: it answered; else the rest is unset
 * @asked: moment at which the question was sent
 * @incarnation: of the engine's process
 * @role: role now
 * @model: model loaded
 * @version: version loaded
 * @adapter: adapter loaded last, or ""
 * @changing: an order is being carried out
 * @running: requests that it runs or queues
 * @last_order: id of the last order it accepted; 0 none
 * @fence: highest fencing number seen
 */
typedef struct dff_ev_engine_state {
	const char *vm;
	bool ok;
	dff_time_t asked;
	uint64_t incarnation;
	dff_role_t role;
	const char *model;
	uint32_t version;
	const char *adapter;
	bool changing;
	uint32_t running;
	uint64_t last_order;
	uint64_t fence;
} dff_ev_engine_state_t;

/** enum dff_order_answer - what an engine said to an order */
typedef enum dff_order_answer {
	DFF_ORDER_ACCEPTED,
	DFF_ORDER_FENCED, /* a newer number was seen */
	DFF_ORDER_BUSY, /* requests run, or another order is under way */
	DFF_ORDER_REFUSED, /* it cannot be done there */
	DFF_ORDER_NOT_SENT, /* no connection; nothing was sent */
	DFF_ORDER_UNKNOWN, /* no answer */
} dff_order_answer_t;

/** dff_order_answer_name() - "accepted", "fenced", "busy", ... */
const char *dff_order_answer_name(dff_order_answer_t answer);

/** struct dff_ev_order_answer - an order was answered, or not */
typedef struct dff_ev_order_answer {
	uint64_t order;
	dff_order_answer_t answer;
	uint64_t fence;
} dff_ev_order_answer_t;

/**
 * struct dff_event - one event
 * @type: which member of @u is set; DFF_EV_START, DFF_EV_WAKE and
 *	DFF_EV_STOP have none
 */
typedef struct dff_event {
	dff_event_type_t type;
	union {
		dff_ev_vm_list_t vm_list;
		dff_ev_log_record_t log_record;
		dff_ev_log_head_t log_head;
		dff_ev_log_down_t log_down;
		dff_ev_log_appended_t log_appended;
		dff_ev_peer_t peer;
		dff_ev_call_open_t call_open;
		dff_ev_call_gone_t call_gone;
		dff_ev_try_tokens_t try_tokens;
		dff_ev_try_end_t try_end;
		dff_ev_try_reply_t try_reply;
		dff_ev_try_failed_t try_failed;
		dff_ev_engine_report_t engine_report;
		dff_ev_engine_cache_t engine_cache;
		dff_ev_engine_state_t engine_state;
		dff_ev_order_answer_t order_answer;
	} u;
} dff_event_t;

/* ---- effects ---- */

/** enum dff_effect_type - tag of struct dff_effect */
typedef enum dff_effect_type {
	DFF_FX_WAKE_AT,
	DFF_FX_LOG_FOLLOW,
	DFF_FX_LOG_APPEND,
	DFF_FX_PEER_SEND,
	DFF_FX_CALL_BEGIN,
	DFF_FX_CALL_TOKENS,
	DFF_FX_CALL_END,
	DFF_FX_CALL_REPLY,
	DFF_FX_CALL_REFUSE,
	DFF_FX_TRY_START,
	DFF_FX_TRY_CANCEL,
	DFF_FX_ORDER_SEND,
	DFF_FX_ENGINE_ASK,
	DFF_FX_ENGINE_WATCH,
	DFF_FX_HEALTH,
	DFF_FX_STOPPED,
} dff_effect_type_t;

/** struct dff_fx_wake_at - feed DFF_EV_WAKE at @at; replaces the last one */
typedef struct dff_fx_wake_at {
	dff_time_t at;
} dff_fx_wake_at_t;

/** struct dff_fx_log_follow - read a stream from @from on, for ever */
typedef struct dff_fx_log_follow {
	dff_stream_t stream;
	uint64_t from;
} dff_fx_log_follow_t;

/** struct dff_fx_log_append - append a record; @id comes back once */
typedef struct dff_fx_log_append {
	uint64_t id;
	dff_stream_t stream;
	const uint8_t *data;
	size_t len;
} dff_fx_log_append_t;

/**
 * struct dff_fx_peer_send - send a frame to a peer, if its link is up
 * @peer: VM id
 * @addr: where it listens
 * @newest: a frame of the same class that still waits is replaced
 * @data: encoded frame without its length
 * @len: bytes at @data
 */
typedef struct dff_fx_peer_send {
	const char *peer;
	const char *addr;
	bool newest;
	const uint8_t *data;
	size_t len;
} dff_fx_peer_send_t;

/** struct dff_fx_call_begin - a model's answer begins */
typedef struct dff_fx_call_begin {
	uint64_t call;
} dff_fx_call_begin_t;

/** struct dff_fx_call_tokens - the next tokens of a model's answer */
typedef struct dff_fx_call_tokens {
	uint64_t call;
	uint32_t first;
	uint32_t count;
	const char *text;
	size_t len;
} dff_fx_call_tokens_t;

/** struct dff_fx_call_end - a model's answer is whole; the call is over */
typedef struct dff_fx_call_end {
	uint64_t call;
	dff_finish_t finish;
	uint32_t prompt_tokens;
	uint32_t cached_tokens;
	uint32_t output_tokens;
} dff_fx_call_end_t;

/** struct dff_fx_call_reply - a service's reply; the call is over */
typedef struct dff_fx_call_reply {
	uint64_t call;
	int status;
	const char *content_type;
	const uint8_t *body;
	size_t len;
	bool repeated;
} dff_fx_call_reply_t;

/**
 * struct dff_fx_call_refuse - an error; the call is over
 * @call: call
 * @status: HTTP status, if the answer has not begun
 * @code: stable code, such as "queue_full"
 * @ran: whether the work ran
 * @retry_after: when to come back; 0 where that makes no sense
 * @text: one sentence for people
 */
typedef struct dff_fx_call_refuse {
	uint64_t call;
	int status;
	const char *code;
	dff_ran_t ran;
	dff_time_t retry_after;
	const char *text;
} dff_fx_call_refuse_t;

/** enum dff_phase - which part of the work a try does */
typedef enum dff_phase {
	DFF_PHASE_WHOLE,
	DFF_PHASE_PREFILL, /* ends with DFF_EV_TRY_END and no tokens */
	DFF_PHASE_DECODE, /* imports the KV cache that @kv_attempt left */
} dff_phase_t;

/**
 * struct dff_fx_try_start - send a call to an upstream
 * @attempt: try; its number is never used twice in the fleet
 * @call: call whose body the shell keeps
 * @vm: VM id of the upstream
 * @addr: its address
 * @kind: what is asked for
 * @phase: part of the work
 * @resume_at: index of the first token wanted
 * @max_tokens: output bound of the whole answer
 * @priority: 0 is the most urgent
 * @model: model that the entry names
 * @idem_key: key handed on to the upstream, or ""
 * @path: path of the service that the entry names, or ""
 * @kv_addr: engine that holds the KV cache, or ""
 * @kv_attempt: try that left it there
 * @timeout: longest silence before DFF_FAIL_TIMEOUT
 */
typedef struct dff_fx_try_start {
	uint64_t attempt;
	uint64_t call;
	const char *vm;
	const char *addr;
	dff_call_kind_t kind;
	dff_phase_t phase;
	uint32_t resume_at;
	uint32_t max_tokens;
	uint32_t priority;
	const char *model;
	const char *idem_key;
	const char *path;
	const char *kv_addr;
	uint64_t kv_attempt;
	dff_time_t timeout;
} dff_fx_try_start_t;

/** struct dff_fx_try_cancel - stop a try; no more events of it are wanted */
typedef struct dff_fx_try_cancel {
	uint64_t attempt;
} dff_fx_try_cancel_t;

/** struct dff_fx_order_send - send an order to an engine */
typedef struct dff_fx_order_send {
	uint64_t order;
	const char *vm;
	const char *addr;
	dff_order_kind_t kind;
	const char *target;
	uint64_t fence;
} dff_fx_order_send_t;

/** struct dff_fx_engine_ask - ask an engine for its state */
typedef struct dff_fx_engine_ask {
	const char *vm;
	const char *addr;
} dff_fx_engine_ask_t;

/**
 * struct dff_fx_engine_watch - read an upstream's load reports, and an
 *	engine's cache events, from now on, or no more
 */
typedef struct dff_fx_engine_watch {
	const char *vm;
	const char *addr;
	dff_vm_kind_t kind;
	bool on;
} dff_fx_engine_watch_t;

/** struct dff_fx_health - what the health check answers from now on */
typedef struct dff_fx_health {
	bool ready;
	const char *why;
} dff_fx_health_t;

/** struct dff_effect - one effect; DFF_FX_STOPPED has no member */
typedef struct dff_effect {
	dff_effect_type_t type;
	union {
		dff_fx_wake_at_t wake_at;
		dff_fx_log_follow_t log_follow;
		dff_fx_log_append_t log_append;
		dff_fx_peer_send_t peer_send;
		dff_fx_call_begin_t call_begin;
		dff_fx_call_tokens_t call_tokens;
		dff_fx_call_end_t call_end;
		dff_fx_call_reply_t call_reply;
		dff_fx_call_refuse_t call_refuse;
		dff_fx_try_start_t try_start;
		dff_fx_try_cancel_t try_cancel;
		dff_fx_order_send_t order_send;
		dff_fx_engine_ask_t engine_ask;
		dff_fx_engine_watch_t engine_watch;
		dff_fx_health_t health;
	} u;
} dff_effect_t;

/** typedef dff_effects_t - a growing list of effects with its own memory */
typedef struct dff_effects dff_effects_t;

/** dff_effects_new() - make an empty list; the caller drops it */
dff_effects_t *dff_effects_new(void);

/** dff_effects_drop() - free the list; NULL is allowed */
void dff_effects_drop(dff_effects_t *fx);

/** dff_effects_clear() - forget all effects and what they point to */
void dff_effects_clear(dff_effects_t *fx);

/** dff_effects_count() - effects in the list */
size_t dff_effects_count(const dff_effects_t *fx);

/** dff_effects_at() - effect @i, good until the list changes */
const dff_effect_t *dff_effects_at(const dff_effects_t *fx, size_t i);

/**
 * dff_effects_add() - add a zeroed effect of a type
 *
 * Return: the effect to fill in, good until the next dff_effects_add().
 */
dff_effect_t *dff_effects_add(dff_effects_t *fx, dff_effect_type_t type);

/** dff_effects_copy() - copy bytes into the list's memory, NUL added */
void *dff_effects_copy(dff_effects_t *fx, const void *data, size_t len);

/** dff_effects_text() - copy a string into the list's memory; NULL is "" */
const char *dff_effects_text(dff_effects_t *fx, const char *text);

#endif
