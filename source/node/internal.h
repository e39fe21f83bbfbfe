/*
 * Types and functions shared by the modules of the node. Private to
 * source/node.
 */
#ifndef DFF_NODE_INTERNAL_H
#define DFF_NODE_INTERNAL_H

#include <glib.h>

#include "base/fault.h"
#include "dragonflyfall/member.h"
#include "dragonflyfall/node.h"
#include "dragonflyfall/table.h"
#include "dragonflyfall/timer.h"
#include "proto/dragonflyfall.pb-c.h"

/* Format version in the records and frames that this release writes. */
#define FRAME_VERSION 1
/* Records of one stream kept for peers that cannot read the log. */
#define RECENT_RECORDS_MAX 256
/* Bytes of records of one stream kept for peers that cannot read the log. */
#define RECENT_BYTES_MAX (2 * 1024 * 1024)
/* Maximum number of rows of one kind accepted from one frame. */
#define FRAME_ROWS_MAX 256
/* Upstreams in one heartbeat; those with the most work are sent. */
#define WORK_ROWS_MAX 32
/* Catalogue entries in one heartbeat; those with the most use are sent. */
#define USE_ROWS_MAX 24
/* The same limits for summaries while watch_is_partitioned(). */
#define SUMMARY_WORK_ROWS_MAX 8
#define SUMMARY_USE_ROWS_MAX  16
/* Least loaded engines that a relay reports to other domains. */
#define SUMMARY_REPORTS_MAX 12
/* Least loaded engines of other domains that a relay reports to its own. */
#define MERGED_REPORTS_MAX 12
/* Engine crashes under one request after which every node refuses it. */
#define POISON_CRASHES_MAX 2
/* Top byte of the append ids of snapshots that the node writes. */
#define APPEND_ID_SNAPSHOT (0x51ULL << 56)

/**
 * struct recent_record - a log record kept for peers that cannot read the log
 * @offset: its offset in the stream
 * @time_ms: wall clock of the platform when it took the record
 * @data: encoded record
 */
typedef struct recent_record {
	uint64_t offset;
	uint64_t time_ms;
	GBytes *data;
} recent_record_t;

/**
 * struct stream - how far this node has read one stream of the log
 * @id: stream
 * @followed: this node reads the stream
 * @has_base: the state was built from offset 1, a snapshot or a rebase
 * @caught_up: @catch_up_offset has been reached
 * @catch_up_offset: next offset of the stream at the first answered read; 0
 *	before it
 * @first_retained: first offset that the log still retains, as last known
 * @last_scanned: last offset read from the log while @has_base was false
 * @no_base_since: time at which the end of the stream was reached without a
 *	base; -1 if it was not
 * @last_read_at: time of the last answered read; -1 before the first
 * @down: the last read failed
 * @snapshot_at: time at which a newer snapshot was last seen
 * @snapshot_through: last offset covered by that snapshot
 * @recent: queue of recent_record_t, oldest first
 * @recent_bytes: bytes in @recent
 */
typedef struct stream {
	dff_stream_t id;
	bool followed;
	bool has_base;
	bool caught_up;
	uint64_t catch_up_offset;
	uint64_t first_retained;
	uint64_t last_scanned;
	dff_time_t no_base_since;
	dff_time_t last_read_at;
	bool down;
	dff_time_t snapshot_at;
	uint64_t snapshot_through;
	GQueue recent;
	size_t recent_bytes;
} stream_t;

/** enum call_state - stage of a call */
typedef enum call_state {
	CALL_CLAIMING, /* waits for its idempotency claim */
	CALL_WAITING, /* waits in the policy's queue */
	CALL_RUNNING, /* an attempt is in progress */
} call_state_t;

/**
 * struct call - one caller's request
 * @handle: handle in the table of calls
 * @id: id given by the host of the node
 * @state: stage
 * @kind: model or service
 * @entry: name of the catalogue entry
 * @owner: name of the owner
 * @cls: class of the entry, copied when the call arrived
 * @pool: name of the pool
 * @model: model that the pool serves
 * @path: path of the request at a plain service
 * @idem_key: Idempotency-Key passed on to the upstream
 * @may_repeat: the work may be done more than once
 * @claimed: the idempotency claim was won and has no outcome yet
 * @disconnected: the caller disconnected; the call runs on for its outcome
 * @answer_started: the caller has received the beginning of the answer
 * @ever_sent: an attempt may have reached an upstream
 * @key: key of the claim
 * @work: description of the call for the policy; its prefix points to @prefix
 * @prefix: copy of the prefix hashes, owned by the call
 * @attempt: id of the attempt in progress; 0 none
 * @phase: phase of that attempt
 * @vm: upstream of that attempt
 * @vm_incarnation: incarnation of that upstream when the attempt was sent; 0
 *	unknown
 * @next_vm: during a prefill phase, upstream of the decode phase
 * @next_addr: its address
 * @kv_addr: address of the engine that prefilled and holds the KV cache
 * @kv_attempt: id of the prefill attempt
 * @deadline: end of the time that the class allows
 */
typedef struct call {
	dff_handle_t handle;
	uint64_t id;
	call_state_t state;
	dff_call_kind_t kind;
	char entry[DFF_NAME_MAX];
	char owner[DFF_NAME_MAX];
	dff_class_t cls;
	char pool[DFF_NAME_MAX];
	char model[DFF_NAME_MAX];
	char path[128];
	char *idem_key;
	bool may_repeat;
	bool claimed;
	bool disconnected;
	bool answer_started;
	bool ever_sent;
	dff_key_t key;
	dff_policy_call_t work;
	uint64_t *prefix;
	uint64_t attempt;
	dff_phase_t phase;
	char vm[DFF_NAME_MAX];
	uint64_t vm_incarnation;
	char next_vm[DFF_NAME_MAX];
	char next_addr[DFF_ADDR_MAX];
	char kv_addr[DFF_ADDR_MAX];
	uint64_t kv_attempt;
	dff_time_t deadline;
} call_t;

/** typedef peers_t - state last received from peers */
typedef struct peers peers_t;

/** typedef watch_t - upstreams whose load reports are read, and the reports */
typedef struct watch watch_t;

/** typedef names_t - VMs and catalogue entries by the hash of their names */
typedef struct names names_t;

/** typedef poison_t - requests that were running on engines that crashed */
typedef struct poison poison_t;

struct dff_node {
	dff_node_config_t config;
	dff_timers_t *timers;
	dff_history_t *history;
	dff_claims_t *claims;
	dff_authority_t *authority;
	dff_policy_t *policy;
	dff_roles_t *roles;
	dff_members_t *members;
	poison_t *poison;
	peers_t *peers;
	watch_t *watch;
	names_t *names;
	stream_t streams[DFF_STREAM_COUNT];
	dff_table_t *calls;
	GHashTable *calls_by_id; /* call id -> call handle */
	GHashTable *calls_by_attempt; /* attempt id -> call handle */
	GArray *vms; /* dff_vm_t, the VM list as last read */
	GHashTable *incarnations; /* VM id -> incarnation last reported */
	uint64_t attempt_base;
	uint64_t attempt_count;
	uint64_t append_count;
	uint64_t heartbeat_count;
	dff_time_t now;
	dff_time_t started_at;
	dff_time_t wake_at;
	bool started;
	bool vms_known;
	bool stopping;
	bool stopped;
	bool ready;
	const char *ready_reason;
	uint64_t counters[DFF_COUNT_COUNT];
};

/* ---- stream.c: reading the streams of the log ---- */

/** stream_init() - initialise the streams of a new node */
void stream_init(dff_node_t *node);

/** stream_free() - free the memory of the streams */
void stream_free(dff_node_t *node);

/** stream_start() - start to read the followed streams */
void stream_start(dff_node_t *node, dff_time_t now, dff_effects_t *fx);

/** stream_record() - apply a record received from the log or from a peer */
void stream_record(dff_ctx_t *ctx, dff_node_t *node,
    const dff_ev_log_record_t *ev, dff_time_t now, dff_effects_t *fx);

/** stream_read_answered() - handle an answered read */
void stream_read_answered(dff_ctx_t *ctx, dff_node_t *node,
    const dff_ev_log_head_t *ev, dff_time_t now);

/** stream_read_failed() - handle a failed read */
void stream_read_failed(dff_ctx_t *ctx, dff_node_t *node, dff_stream_t id);

/** stream_applied() - offset of the last record applied of a stream */
uint64_t stream_applied(const dff_node_t *node, dff_stream_t id);

/** stream_is_ready() - whether reads are answered and the state is complete */
bool stream_is_ready(const dff_node_t *node, dff_stream_t id, dff_time_t now);

/** stream_snapshot() - handle the snapshot timer of a stream */
void stream_snapshot(dff_ctx_t *ctx, dff_node_t *node, dff_stream_t id,
    dff_time_t now, dff_effects_t *fx);

/** stream_load_snapshot() - load a snapshot received from a peer */
void stream_load_snapshot(dff_ctx_t *ctx, dff_node_t *node, dff_stream_t id,
    const uint8_t *data, size_t len, dff_time_t now, dff_effects_t *fx);

/**
 * stream_check_base() - find a base for streams whose first records expired
 *
 * Requests a snapshot from a peer; if no peer has one within a waiting time,
 * the stream restarts empty at the first retained offset.
 */
void stream_check_base(
    dff_ctx_t *ctx, dff_node_t *node, dff_time_t now, dff_effects_t *fx);

/**
 * stream_save() - encode a snapshot record; the caller frees @data
 *
 * Return: its length, or a negative error.
 */
int stream_save(
    dff_ctx_t *ctx, const dff_node_t *node, dff_stream_t id, uint8_t **data);

/* ---- peer.c: frames from and to peers ---- */

/** peers_new() - make an empty state */
peers_t *peers_new(void);

/** peers_drop() - free the state of peers; NULL is allowed */
void peers_drop(peers_t *peers);

/** peer_receive_frame() - handle a frame received from a peer */
void peer_receive_frame(dff_ctx_t *ctx, dff_node_t *node,
    const dff_ev_peer_t *ev, dff_time_t now, dff_effects_t *fx);

/** peer_send_heartbeat() - handle the heartbeat timer */
void peer_send_heartbeat(
    dff_ctx_t *ctx, dff_node_t *node, dff_time_t now, dff_effects_t *fx);

/** peer_announce_leave() - announce to the peers that this node leaves */
void peer_announce_leave(dff_ctx_t *ctx, dff_node_t *node, dff_effects_t *fx);

/** peer_report_suspect() - report to peers a request that may crash engines */
void peer_report_suspect(dff_ctx_t *ctx, dff_node_t *node, uint64_t body_hash,
    uint64_t process, dff_effects_t *fx);

/* ---- call.c: life cycle of calls ---- */

/** call_open() - handle a new request */
void call_open(dff_ctx_t *ctx, dff_node_t *node, const dff_ev_call_open_t *ev,
    dff_time_t now, dff_effects_t *fx);

/** call_disconnected() - handle a caller that disconnected; @id is the call */
void call_disconnected(dff_ctx_t *ctx, dff_node_t *node, uint64_t id,
    dff_time_t now, dff_effects_t *fx);

/** call_apply_decisions() - apply claim results and decisions on the queue */
void call_apply_decisions(
    dff_ctx_t *ctx, dff_node_t *node, dff_time_t now, dff_effects_t *fx);

/** call_timer_due() - handle the deadline timer of a call */
void call_timer_due(dff_ctx_t *ctx, dff_node_t *node, const dff_timer_t *timer,
    dff_time_t now, dff_effects_t *fx);

/** call_dispatch() - let the policy run, queue or refuse a call */
void call_dispatch(dff_ctx_t *ctx, dff_node_t *node, call_t *call,
    dff_time_t now, dff_effects_t *fx);

/**
 * call_refuse() - end a call with an error
 * @execution: whether the work ran, as reported to the caller
 * @retry_after: time to wait before a retry; 0 if a retry is of no use
 */
void call_refuse(dff_ctx_t *ctx, dff_node_t *node, call_t *call, int status,
    const char *code, dff_execution_t execution, dff_time_t retry_after,
    const char *text, dff_effects_t *fx);

/** call_execution() - whether the work of a call ran, for its caller */
dff_execution_t call_execution(const call_t *call);

/** call_close() - free a call that has its final answer */
void call_close(dff_node_t *node, call_t *call);

/** call_by_attempt() - the call of an attempt; NULL if the attempt has ended */
call_t *call_by_attempt(dff_node_t *node, uint64_t attempt);

/* ---- attempt.c: attempts at upstreams ---- */

/** attempt_start() - send a call to the upstream that the policy chose */
void attempt_start(dff_ctx_t *ctx, dff_node_t *node, call_t *call,
    const dff_decision_t *decision, dff_time_t now, dff_effects_t *fx);

/** attempt_cancel() - cancel the attempt of a call, if one is in progress */
void attempt_cancel(dff_ctx_t *ctx, dff_node_t *node, call_t *call,
    dff_attempt_outcome_t outcome, dff_time_t now, dff_effects_t *fx);

/** attempt_tokens() - handle tokens received from an engine */
void attempt_tokens(dff_ctx_t *ctx, dff_node_t *node,
    const dff_ev_attempt_tokens_t *ev, dff_time_t now, dff_effects_t *fx);

/** attempt_end() - handle the end of an engine's answer */
void attempt_end(dff_ctx_t *ctx, dff_node_t *node,
    const dff_ev_attempt_end_t *ev, dff_time_t now, dff_effects_t *fx);

/** attempt_reply() - handle the reply of a service */
void attempt_reply(dff_ctx_t *ctx, dff_node_t *node,
    const dff_ev_attempt_reply_t *ev, dff_time_t now, dff_effects_t *fx);

/** attempt_failed() - handle a failed attempt */
void attempt_failed(dff_ctx_t *ctx, dff_node_t *node,
    const dff_ev_attempt_failed_t *ev, dff_time_t now, dff_effects_t *fx);

/* ---- poison.c: requests that crash engines ---- */

/** poison_new() - make an empty table */
poison_t *poison_new(void);

/** poison_drop() - free the table; NULL is allowed */
void poison_drop(poison_t *poison);

/** poison_crash_count() - number of engine crashes counted for a request */
uint32_t poison_crash_count(
    poison_t *poison, uint64_t body_hash, dff_time_t now);

/** poison_process_hash() - hash that identifies a process of an engine;
 *	@incarnation is 0 if it is not known */
uint64_t poison_process_hash(const char *vm, uint64_t incarnation);

/**
 * poison_add_crash() - count a possible crash: the connection to an engine
 *	process broke during a request, seen by this node or reported by a peer
 *
 * Return: true if it was not yet counted.
 */
bool poison_add_crash(
    poison_t *poison, uint64_t body_hash, uint64_t process, dff_time_t now);

/** poison_apply_report() - uncount the crashes of a process that sent a load
 *	report after them: only its connection broke */
void poison_apply_report(
    poison_t *poison, const char *vm, uint64_t incarnation, dff_time_t taken);

/** poison_clear() - forget the crashes of a request that was answered */
void poison_clear(poison_t *poison, uint64_t body_hash);

/* ---- names.c: names by hash ---- */

/** names_new() - make empty tables */
names_t *names_new(void);

/** names_drop() - free the tables; NULL is allowed */
void names_drop(names_t *names);

/** names_hash() - the hash that replaces a name in frames */
uint32_t names_hash(const char *name);

/** names_load_vms() - index a new VM list, an array of dff_vm_t */
void names_load_vms(names_t *names, const GArray *vms);

/** names_set_catalogue() - index the entries of a new catalogue */
void names_set_catalogue(names_t *names, const dff_catalogue_t *cat);

/** names_vm_by_hash() - the VM whose name has a hash, borrowed, or NULL */
const dff_vm_t *names_vm_by_hash(const dff_node_t *node, uint32_t hash);

/** names_vm_by_id() - the VM with an id, borrowed, or NULL */
const dff_vm_t *names_vm_by_id(const dff_node_t *node, const char *id);

/** names_entry_by_hash() - the entry whose name has a hash, or NULL */
const dff_entry_t *names_entry_by_hash(const dff_node_t *node, uint32_t hash);

/* ---- watch.c: load reports, read by this node or received from peers ---- */

/** watch_new() - make a state in which no upstream is watched */
watch_t *watch_new(void);

/** watch_drop() - free the state; NULL is allowed */
void watch_drop(watch_t *watch);

/** watch_update() - update the set of upstreams whose reports are read */
void watch_update(dff_node_t *node, dff_time_t now, dff_effects_t *fx);

/** watch_add_report() - keep a report read by this node, for its peers */
void watch_add_report(
    dff_node_t *node, const dff_ev_engine_report_t *report, dff_time_t now);

/** watch_is_partitioned() - whether nodes read only a share of the reports */
bool watch_is_partitioned(const dff_node_t *node);

/* ---- node.c ---- */

/** node_load_report() - apply a load report, read here or by a peer */
void node_load_report(dff_ctx_t *ctx, dff_node_t *node,
    const dff_ev_engine_report_t *ev, dff_time_t now);

/** node_append_id() - new id for the append of a snapshot */
uint64_t node_append_id(dff_node_t *node);

/** node_catalogue() - the catalogue in force, or NULL */
dff_catalogue_t *node_catalogue(const dff_node_t *node);

/** node_drains_changed() - pass the drain marks of engines to the policy */
void node_drains_changed(dff_ctx_t *ctx, dff_node_t *node);

/** node_catalogue_changed() - pass a new catalogue to all modules */
void node_catalogue_changed(dff_ctx_t *ctx, dff_node_t *node);

#endif
