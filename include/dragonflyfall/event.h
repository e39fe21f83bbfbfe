/*
 * Events and effects: the input and output of the reducer.
 *
 * dff_node_step() takes one event and the current time, changes the node's
 * state and adds effects to a list. A program or a test harness (the host)
 * carries the effects out and feeds their outcomes back as events. Pointers in
 * an event are borrowed for the duration of the step; pointers in an effect
 * belong to the list and are valid until dff_effects_clear().
 */
#ifndef DRAGONFLYFALL_EVENT_H
#define DRAGONFLYFALL_EVENT_H

#include "dragonflyfall/base.h"

/* ---- types shared by events and effects ---- */

/** enum dff_stream - the streams in the platform's log */
typedef enum dff_stream {
	DFF_STREAM_CATALOGUE,
	DFF_STREAM_AUTHORITY,
	DFF_STREAM_CLAIMS,
	DFF_STREAM_COUNT,
} dff_stream_t;

/** dff_stream_name() - "catalogue", "authority" or "claims" */
const char *dff_stream_name(dff_stream_t stream);

/** enum dff_vm_kind - kind of server that runs on a VM */
typedef enum dff_vm_kind {
	DFF_VM_ENTRY,
	DFF_VM_ENGINE,
	DFF_VM_SERVICE,
} dff_vm_kind_t;

/**
 * struct dff_vm - one entry of the platform's VM list
 * @id: name of the VM
 * @addr: "ip:port" of its upstream server, or of the peer port of an entry VM
 * @domain: failure domain
 * @pool: pool that it serves; "" for an entry VM
 * @kind: kind of server that runs on it
 * @incarnation: changes when another VM takes over the name or address
 * @leaving: the VM is about to be withdrawn
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

/** enum dff_role - which phases of requests an engine runs */
typedef enum dff_role {
	DFF_ROLE_MIXED,
	DFF_ROLE_PREFILL,
	DFF_ROLE_DECODE,
	DFF_ROLE_COUNT,
} dff_role_t;

/** dff_role_name() - "mixed", "prefill" or "decode" */
const char *dff_role_name(dff_role_t role);

/** dff_role_parse() - role with a name, or -EINVAL */
int dff_role_parse(const char *name);

/** enum dff_order_kind - property of an engine that an order changes */
typedef enum dff_order_kind {
	DFF_ORDER_ROLE,
	DFF_ORDER_MODEL,
	DFF_ORDER_ADAPTER,
	DFF_ORDER_VERSION,
} dff_order_kind_t;

/** dff_order_kind_name() - "role", "model", "adapter" or "version" */
const char *dff_order_kind_name(dff_order_kind_t kind);

/** enum dff_execution - whether a call was executed, as reported to callers */
typedef enum dff_execution {
	DFF_EXECUTION_NOT_RUN,
	DFF_EXECUTION_UNKNOWN,
	DFF_EXECUTION_RAN,
} dff_execution_t;

/** dff_execution_name() - "not_run", "unknown" or "ran" */
const char *dff_execution_name(dff_execution_t execution);

/** enum dff_finish - why an engine's answer ended */
typedef enum dff_finish {
	DFF_FINISH_STOP,
	DFF_FINISH_LENGTH,
} dff_finish_t;

/* Maximum number of prefix blocks hashed of a prompt. */
#define DFF_PREFIX_BLOCKS_MAX 64
/* Bytes of prompt in a prefix block. */
#define DFF_PREFIX_BLOCK_BYTES 256
/* Bytes of prompt counted as one token until the engine reports usage. */
#define DFF_BYTES_PER_TOKEN 4

/* ---- events ---- */

/** enum dff_event_type - type of an event */
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
	DFF_EV_CALL_DISCONNECTED,
	DFF_EV_ATTEMPT_TOKENS,
	DFF_EV_ATTEMPT_END,
	DFF_EV_ATTEMPT_REPLY,
	DFF_EV_ATTEMPT_FAILED,
	DFF_EV_ENGINE_REPORT,
	DFF_EV_ENGINE_CACHE,
	DFF_EV_ENGINE_STATE,
	DFF_EV_ORDER_ANSWER,
} dff_event_type_t;

/** struct dff_ev_vm_list - the platform's VM list was read */
typedef struct dff_ev_vm_list {
	const dff_vm_t *vms;
	size_t count;
} dff_ev_vm_list_t;

/**
 * struct dff_ev_log_record - a record of a stream, in offset order
 * @stream: stream
 * @offset: offset of the record; the first record of a stream has offset 1
 * @data: encoded record
 * @len: bytes at @data
 * @time_ms: wall clock of the platform when it took the record; the same
 *	for every reader
 * @from_peer: the record was received from a peer, not read from the log
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
 * @sent_at: time at which the read was sent
 */
typedef struct dff_ev_log_head {
	dff_stream_t stream;
	uint64_t first;
	uint64_t next;
	dff_time_t sent_at;
} dff_ev_log_head_t;

/** struct dff_ev_log_down - a read of a stream failed or timed out */
typedef struct dff_ev_log_down {
	dff_stream_t stream;
} dff_ev_log_down_t;

/** enum dff_append - how an append ended */
typedef enum dff_append {
	DFF_APPEND_DONE,
	DFF_APPEND_REFUSED, /* refused by the log; it has no effect */
	DFF_APPEND_UNKNOWN, /* no answer; it may take effect, even later */
} dff_append_t;

/**
 * struct dff_ev_log_appended - an append ended
 * @id: id of the DFF_FX_LOG_APPEND
 * @outcome: how it ended
 * @offset: with DFF_APPEND_DONE, the offset of the record
 */
typedef struct dff_ev_log_appended {
	uint64_t id;
	dff_append_t outcome;
	uint64_t offset;
} dff_ev_log_appended_t;

/**
 * struct dff_ev_peer - a peer link came up, went down or received a frame
 * @id: VM id of the peer, as in the VM list
 * @data: with DFF_EV_PEER_FRAME, the encoded frame without its length
 * @len: bytes at @data
 */
typedef struct dff_ev_peer {
	const char *id;
	const uint8_t *data;
	size_t len;
} dff_ev_peer_t;

/** enum dff_call_kind - kind of upstream that a call is for */
typedef enum dff_call_kind {
	DFF_CALL_MODEL,
	DFF_CALL_SERVICE,
} dff_call_kind_t;

/**
 * struct dff_ev_call_open - a caller's request was received completely
 * @call: id given by the host; never used twice by one process
 * @kind: model or service
 * @secret: the caller's API key, or ""
 * @entry: name of the catalogue entry
 * @idem_key: Idempotency-Key, or ""
 * @key_created_ms: wall clock at which the key was created, as given by the
 *	caller; 0 unknown
 * @now_ms: wall clock of this node
 * @stream: the caller wants a streamed answer
 * @prompt_len: bytes of prompt
 * @max_tokens: requested maximum of output tokens; 0 for that of the entry
 * @body_hash: hash of the content of the request; equal requests have equal
 *	hashes
 * @prefix: hashes of the prompt's prefix blocks, each chained to the one
 *	before
 * @prefix_count: hashes at @prefix, at most DFF_PREFIX_BLOCKS_MAX
 *
 * The host keeps the body until the call ends.
 */
typedef struct dff_ev_call_open {
	uint64_t call;
	dff_call_kind_t kind;
	const char *secret;
	const char *entry;
	const char *idem_key;
	uint64_t key_created_ms;
	uint64_t now_ms;
	bool stream;
	uint32_t prompt_len;
	uint32_t max_tokens;
	uint64_t body_hash;
	const uint64_t *prefix;
	size_t prefix_count;
} dff_ev_call_open_t;

/** struct dff_ev_call_disconnected - a caller left or reads too slowly */
typedef struct dff_ev_call_disconnected {
	uint64_t call;
} dff_ev_call_disconnected_t;

/**
 * struct dff_ev_attempt_tokens - an engine sent tokens
 * @attempt: id of the attempt
 * @first: index of the first of these tokens in the whole answer, from 0
 * @count: number of tokens
 * @text: text of the tokens
 * @len: bytes at @text
 */
typedef struct dff_ev_attempt_tokens {
	uint64_t attempt;
	uint32_t first;
	uint32_t count;
	const char *text;
	size_t len;
} dff_ev_attempt_tokens_t;

/** struct dff_ev_attempt_end - an engine's answer is complete */
typedef struct dff_ev_attempt_end {
	uint64_t attempt;
	dff_finish_t finish;
	uint32_t prompt_tokens;
	uint32_t cached_tokens;
	uint32_t output_tokens;
} dff_ev_attempt_end_t;

/** struct dff_ev_attempt_reply - the complete reply of a plain service */
typedef struct dff_ev_attempt_reply {
	uint64_t attempt;
	int status;
	const char *content_type;
	const uint8_t *body;
	size_t len;
} dff_ev_attempt_reply_t;

/** enum dff_attempt_failure - why an attempt failed */
typedef enum dff_attempt_failure {
	DFF_FAIL_CONNECT, /* no connection; nothing was sent */
	DFF_FAIL_REJECTED, /* not executed, according to the upstream */
	DFF_FAIL_BROKEN, /* the connection broke after the send */
	DFF_FAIL_TIMEOUT, /* no progress after the send */
	DFF_FAIL_PROTOCOL, /* the answer is malformed */
} dff_attempt_failure_t;

/** dff_attempt_failure_name() - "connect", "rejected", "broken", ... */
const char *dff_attempt_failure_name(dff_attempt_failure_t failure);

/**
 * struct dff_ev_attempt_failed - an attempt failed
 * @attempt: id of the attempt
 * @reason: cause of the failure
 * @sent: the first byte of the request may have been sent
 * @retry_after: time after which a rejecting upstream accepts a retry; 0
 *	unknown
 */
typedef struct dff_ev_attempt_failed {
	uint64_t attempt;
	dff_attempt_failure_t reason;
	bool sent;
	dff_time_t retry_after;
} dff_ev_attempt_failed_t;

/**
 * struct dff_ev_engine_report - an upstream's load report
 * @vm: VM id
 * @incarnation: id of the upstream's process; changes at restart
 * @sampled_at: time to which the report applies, by this node's clock
 * @role: present role of the engine
 * @reconfiguring: out of service while it carries out an order
 * @model: model loaded
 * @version: version of the model loaded
 * @running: requests in the batch
 * @waiting: requests queued
 * @backlog_tokens: prompt tokens still to be prefilled
 * @free_pieces: free memory pieces, the units of KV cache that engines report
 * @total_pieces: memory pieces in total
 * @token_us: time of one decode step with the present batch
 * @prefill_us: time to prefill one token
 * @fence: highest fencing number seen; 0 if the engine checks none
 */
typedef struct dff_ev_engine_report {
	const char *vm;
	uint64_t incarnation;
	dff_time_t sampled_at;
	dff_role_t role;
	bool reconfiguring;
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
 * @stored: prefix hashes added to the cache
 * @stored_count: hashes at @stored
 * @evicted: prefix hashes removed from the cache
 * @evicted_count: hashes at @evicted
 * @gap: earlier events were lost
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
 * struct dff_ev_engine_state - a DFF_FX_ENGINE_QUERY ended
 * @vm: VM id
 * @ok: the engine answered; else the members after @sent_at are unset
 * @sent_at: time at which the query was sent
 * @incarnation: id of the engine's process
 * @role: present role
 * @model: model loaded
 * @version: version loaded
 * @adapter: adapter loaded last, or ""
 * @reconfiguring: an order is being carried out
 * @running: requests that it runs or queues
 * @last_order: id of the last order that it accepted; 0 none
 * @fence: highest fencing number seen
 */
typedef struct dff_ev_engine_state {
	const char *vm;
	bool ok;
	dff_time_t sent_at;
	uint64_t incarnation;
	dff_role_t role;
	const char *model;
	uint32_t version;
	const char *adapter;
	bool reconfiguring;
	uint32_t running;
	uint64_t last_order;
	uint64_t fence;
} dff_ev_engine_state_t;

/** enum dff_order_answer - answer of an engine to an order */
typedef enum dff_order_answer {
	DFF_ORDER_ACCEPTED,
	DFF_ORDER_FENCED, /* the engine has seen a higher fencing number */
	DFF_ORDER_BUSY, /* requests run, or another order is in progress */
	DFF_ORDER_REFUSED, /* the engine cannot carry it out */
	DFF_ORDER_NOT_SENT, /* no connection; nothing was sent */
	DFF_ORDER_UNKNOWN, /* no answer */
} dff_order_answer_t;

/** dff_order_answer_name() - "accepted", "fenced", "busy", ... */
const char *dff_order_answer_name(dff_order_answer_t answer);

/** struct dff_ev_order_answer - outcome of a DFF_FX_ORDER_SEND */
typedef struct dff_ev_order_answer {
	uint64_t order;
	dff_order_answer_t answer;
	uint64_t fence;
} dff_ev_order_answer_t;

/**
 * struct dff_event - an event
 * @type: selects the member of @u; DFF_EV_START, DFF_EV_WAKE and DFF_EV_STOP
 *	have none
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
		dff_ev_call_disconnected_t call_disconnected;
		dff_ev_attempt_tokens_t attempt_tokens;
		dff_ev_attempt_end_t attempt_end;
		dff_ev_attempt_reply_t attempt_reply;
		dff_ev_attempt_failed_t attempt_failed;
		dff_ev_engine_report_t engine_report;
		dff_ev_engine_cache_t engine_cache;
		dff_ev_engine_state_t engine_state;
		dff_ev_order_answer_t order_answer;
	} u;
} dff_event_t;

/* ---- effects ---- */

/** enum dff_effect_type - type of an effect */
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
	DFF_FX_ATTEMPT_START,
	DFF_FX_ATTEMPT_CANCEL,
	DFF_FX_ORDER_SEND,
	DFF_FX_ENGINE_QUERY,
	DFF_FX_ENGINE_WATCH,
	DFF_FX_HEALTH,
	DFF_FX_STOPPED,
} dff_effect_type_t;

/** struct dff_fx_wake_at - feed DFF_EV_WAKE at @at; replaces a set time */
typedef struct dff_fx_wake_at {
	dff_time_t at;
} dff_fx_wake_at_t;

/** struct dff_fx_log_follow - read a stream continuously, starting at @from */
typedef struct dff_fx_log_follow {
	dff_stream_t stream;
	uint64_t from;
} dff_fx_log_follow_t;

/** struct dff_fx_log_append - append a record; one event returns its @id */
typedef struct dff_fx_log_append {
	uint64_t id;
	dff_stream_t stream;
	const uint8_t *data;
	size_t len;
} dff_fx_log_append_t;

/**
 * struct dff_fx_peer_send - send a frame to a peer, if its link is up
 * @peer: VM id
 * @addr: address at which it listens
 * @replace_queued: replace a queued frame of the same class
 * @data: encoded frame without its length
 * @len: bytes at @data
 */
typedef struct dff_fx_peer_send {
	const char *peer;
	const char *addr;
	bool replace_queued;
	const uint8_t *data;
	size_t len;
} dff_fx_peer_send_t;

/** struct dff_fx_call_begin - begin a model's answer */
typedef struct dff_fx_call_begin {
	uint64_t call;
} dff_fx_call_begin_t;

/** struct dff_fx_call_tokens - send the next tokens of a model's answer */
typedef struct dff_fx_call_tokens {
	uint64_t call;
	uint32_t first;
	uint32_t count;
	const char *text;
	size_t len;
} dff_fx_call_tokens_t;

/** struct dff_fx_call_end - end a model's answer; the call is over */
typedef struct dff_fx_call_end {
	uint64_t call;
	dff_finish_t finish;
	uint32_t prompt_tokens;
	uint32_t cached_tokens;
	uint32_t output_tokens;
} dff_fx_call_end_t;

/** struct dff_fx_call_reply - send a service's reply; the call is over */
typedef struct dff_fx_call_reply {
	uint64_t call;
	int status;
	const char *content_type;
	const uint8_t *body;
	size_t len;
	bool replayed;
} dff_fx_call_reply_t;

/**
 * struct dff_fx_call_refuse - send an error; the call is over
 * @call: call
 * @status: HTTP status, if the answer has not begun
 * @code: stable code, such as "queue_full"
 * @execution: whether the work ran
 * @retry_after: time to wait before a retry; 0 if a retry is of no use
 * @text: one sentence for people
 */
typedef struct dff_fx_call_refuse {
	uint64_t call;
	int status;
	const char *code;
	dff_execution_t execution;
	dff_time_t retry_after;
	const char *text;
} dff_fx_call_refuse_t;

/** enum dff_phase - phase of the work that an attempt does */
typedef enum dff_phase {
	DFF_PHASE_WHOLE,
	DFF_PHASE_PREFILL, /* ends with DFF_EV_ATTEMPT_END and no tokens */
	DFF_PHASE_DECODE, /* imports the KV cache of attempt @kv_attempt */
} dff_phase_t;

/**
 * struct dff_fx_attempt_start - send a call to an upstream
 * @attempt: id of the attempt, never used twice in the fleet
 * @call: call whose body the host keeps
 * @vm: VM id of the upstream
 * @addr: its address
 * @kind: model or service
 * @phase: phase of the work
 * @resume_at: index of the first token to send
 * @max_tokens: maximum of output tokens of the whole answer
 * @priority: 0 is the most urgent
 * @model: model that the entry names
 * @idem_key: Idempotency-Key passed on to the upstream, or ""
 * @path: path of the service that the entry names, or ""
 * @kv_addr: engine that holds the KV cache, or ""
 * @kv_attempt: prefill attempt that made it
 * @timeout: time without progress after which DFF_FAIL_TIMEOUT is reported
 */
typedef struct dff_fx_attempt_start {
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
} dff_fx_attempt_start_t;

/** struct dff_fx_attempt_cancel - cancel an attempt and discard its events */
typedef struct dff_fx_attempt_cancel {
	uint64_t attempt;
} dff_fx_attempt_cancel_t;

/** struct dff_fx_order_send - send an order to an engine */
typedef struct dff_fx_order_send {
	uint64_t order;
	const char *vm;
	const char *addr;
	dff_order_kind_t kind;
	const char *target;
	uint64_t fence;
} dff_fx_order_send_t;

/** struct dff_fx_engine_query - query the state of an engine */
typedef struct dff_fx_engine_query {
	const char *vm;
	const char *addr;
} dff_fx_engine_query_t;

/**
 * struct dff_fx_engine_watch - start or stop to read an upstream's load
 *	reports and, for an engine, its cache events
 */
typedef struct dff_fx_engine_watch {
	const char *vm;
	const char *addr;
	dff_vm_kind_t kind;
	bool enabled;
} dff_fx_engine_watch_t;

/** struct dff_fx_health - new answer of the health check */
typedef struct dff_fx_health {
	bool ready;
	const char *reason;
} dff_fx_health_t;

/** struct dff_effect - an effect; DFF_FX_STOPPED has no member of @u */
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
		dff_fx_attempt_start_t attempt_start;
		dff_fx_attempt_cancel_t attempt_cancel;
		dff_fx_order_send_t order_send;
		dff_fx_engine_query_t engine_query;
		dff_fx_engine_watch_t engine_watch;
		dff_fx_health_t health;
	} u;
} dff_effect_t;

/** typedef dff_effects_t - a list of effects that owns their memory */
typedef struct dff_effects dff_effects_t;

/** dff_effects_new() - make an empty list; the caller drops it */
dff_effects_t *dff_effects_new(void);

/** dff_effects_drop() - free the list; NULL is allowed */
void dff_effects_drop(dff_effects_t *fx);

/** dff_effects_clear() - remove all effects and free what they point to */
void dff_effects_clear(dff_effects_t *fx);

/** dff_effects_count() - number of effects in the list */
size_t dff_effects_count(const dff_effects_t *fx);

/** dff_effects_at() - effect @i, valid until the list changes */
const dff_effect_t *dff_effects_at(const dff_effects_t *fx, size_t i);

/**
 * dff_effects_add() - add a zeroed effect of a type
 *
 * Return: the effect to fill in, valid until the next dff_effects_add().
 */
dff_effect_t *dff_effects_add(dff_effects_t *fx, dff_effect_type_t type);

/** dff_effects_copy() - copy bytes into the list's memory and add a NUL */
void *dff_effects_copy(dff_effects_t *fx, const void *data, size_t len);

/** dff_effects_strdup() - copy a string into the list's memory; "" for NULL */
const char *dff_effects_strdup(dff_effects_t *fx, const char *text);

#endif
