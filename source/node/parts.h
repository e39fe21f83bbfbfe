/*
 * What the modules of the node share. Private to source/node.
 */
#ifndef DFF_NODE_PARTS_H
#define DFF_NODE_PARTS_H

#include <glib.h>

#include "base/fault.h"
#include "dragonflyfall/member.h"
#include "dragonflyfall/node.h"
#include "dragonflyfall/table.h"
#include "dragonflyfall/timer.h"
#include "proto/dragonflyfall.pb-c.h"

/* The version that records and frames of this release carry. */
#define FRAME_VERSION 1
/* Records of one stream kept to help peers that lost the log. */
#define RECENT_MAX 256
/* Bytes of one stream's records kept to help peers. */
#define RECENT_BYTES_MAX (2 * 1024 * 1024)
/* The most rows of a kind that are taken from one frame. */
#define BEAT_ROWS_MAX 256
/* Upstreams with the most work that are told in one frame. */
#define WORK_ROWS_MAX 32
/* Entries with the most use that are told in one frame. */
#define USE_ROWS_MAX 24
/* The same between domains, in a fleet too large to be read whole. */
#define FAR_WORK_ROWS_MAX 8
#define FAR_USE_ROWS_MAX  16
/* Engines with room that a relay tells another domain of. */
#define SUMMARY_REPORTS_MAX 12
/* Engines with room in other domains that a relay tells its own of. */
#define MERGED_REPORTS_MAX 12
/* Engines lost to one request before it is refused everywhere. */
#define POISON_LIMIT 2
/* Append ids of the node's own snapshots begin with this byte. */
#define APPEND_SNAPSHOT (0x51ULL << 56)

/**
 * struct recent - one record kept for peers
 */
typedef struct recent {
	uint64_t offset;
	uint64_t time_ms;
	GBytes *data;
} recent_t;

/**
 * struct stream - how far this node follows one stream
 * @id: stream
 * @wanted: this node follows it at all
 * @based: the state has a sound beginning
 * @caught_up: the end seen when the process started has been reached
 * @target: that end: the offset that the next append would have got
 * @first: first offset retained, as last told or seen
 * @scanned: last offset read from the log while there was no base
 * @hollow_since: moment at which the end was reached without a base; -1 not
 * @head_at: moment of the last answered read; -1 before the first
 * @down: the last read failed
 * @snapshot_at: moment at which a newer snapshot was last seen
 * @snapshot_through: offset that it speaks for
 * @recent: recent_t, oldest first
 * @recent_bytes: bytes in @recent
 */
typedef struct stream {
	dff_stream_t id;
	bool wanted;
	bool based;
	bool caught_up;
	uint64_t target;
	uint64_t first;
	uint64_t scanned;
	dff_time_t hollow_since;
	dff_time_t head_at;
	bool down;
	dff_time_t snapshot_at;
	uint64_t snapshot_through;
	GQueue recent;
	size_t recent_bytes;
} stream_t;

/** enum call_state - where a call is */
typedef enum call_state {
	CALL_CLAIMING, /* waits for its idempotency claim */
	CALL_WAITING, /* waits in the policy's queue */
	CALL_RUNNING, /* a try is under way */
} call_state_t;

/**
 * struct call - one caller's request
 * @handle: its handle
 * @shell: id that the shell knows it by
 * @state: state
 * @kind: kind
 * @entry: name of its entry
 * @owner: name of its owner
 * @cls: its class, copied when it arrived
 * @pool: name of its pool
 * @model: model that the pool serves
 * @path: path at a plain service
 * @idem_key: key handed on
 * @may_repeat: its work may be done twice
 * @claimed: its claim was won and has no outcome yet
 * @gone: the caller has gone; only the outcome is still wanted
 * @begun: the caller has got the beginning of the answer
 * @ever_sent: some try may have reached an upstream
 * @key: key of its claim
 * @work: what the policy sees; its prefix points to @prefix
 * @prefix: own copy of the prefix hashes
 * @attempt: try under way; 0 none
 * @phase: phase of that try
 * @vm: upstream of that try
 * @vm_incarnation: that upstream's process when the try was sent
 * @next_vm: after a prefill phase, where the decode phase goes
 * @next_addr: its address
 * @kv_addr: of a decode phase, address where the KV cache is
 * @kv_attempt: the prefill try
 * @deadline: end of its class's time
 */
typedef struct call {
	dff_handle_t handle;
	uint64_t shell;
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
	bool gone;
	bool begun;
	bool ever_sent;
	dff_key_t key;
	dff_work_t work;
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

/** typedef peers_t - what the peers told last */
typedef struct peers peers_t;

/** typedef watch_t - whose load reports this node reads, and the reports */
typedef struct watch watch_t;

/** typedef names_t - VMs and entries by the hash of their names */
typedef struct names names_t;

/** typedef poison_t - requests that were on engines when those crashed */
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
	GHashTable *by_shell; /* shell id -> call handle */
	GHashTable *by_attempt; /* try -> call handle */
	GArray *vms; /* dff_vm_t, the VM list as last read */
	GHashTable *processes; /* VM id -> incarnation of its process */
	uint64_t attempt_base;
	uint64_t attempt_count;
	uint64_t append_count;
	uint64_t beat_count;
	dff_time_t now;
	dff_time_t started_at;
	dff_time_t wake_at;
	bool started;
	bool vms_known;
	bool stopping;
	bool stopped;
	bool ready;
	const char *why;
	uint64_t counters[DFF_COUNT_COUNT];
};

/* ---- stream.c: following the log ---- */

/** stream_init() - set up the followers of a new node */
void stream_init(dff_node_t *node);

/** stream_free() - free what the followers keep */
void stream_free(dff_node_t *node);

/** stream_start() - begin to follow */
void stream_start(dff_node_t *node, dff_time_t now, dff_effects_t *fx);

/** stream_record() - a record came, from the log or a peer */
void stream_record(dff_ctx_t *ctx, dff_node_t *node,
    const dff_ev_log_record_t *ev, dff_time_t now, dff_effects_t *fx);

/** stream_head() - a read was answered */
void stream_head(dff_ctx_t *ctx, dff_node_t *node, const dff_ev_log_head_t *ev,
    dff_time_t now);

/** stream_down() - a read failed */
void stream_down(dff_ctx_t *ctx, dff_node_t *node, dff_stream_t id);

/** stream_applied() - last offset applied of a stream */
uint64_t stream_applied(const dff_node_t *node, dff_stream_t id);

/** stream_up() - a stream answers and has been read up to its end */
bool stream_up(const dff_node_t *node, dff_stream_t id, dff_time_t now);

/** stream_snapshot() - the snapshot timer of a stream is due */
void stream_snapshot(dff_ctx_t *ctx, dff_node_t *node, dff_stream_t id,
    dff_time_t now, dff_effects_t *fx);

/** stream_load_snapshot() - take over a snapshot that a peer made */
void stream_load_snapshot(dff_ctx_t *ctx, dff_node_t *node, dff_stream_t id,
    const uint8_t *data, size_t len, dff_time_t now, dff_effects_t *fx);

/** stream_check_base() - help a stream whose beginning has expired */
void stream_check_base(
    dff_ctx_t *ctx, dff_node_t *node, dff_time_t now, dff_effects_t *fx);

/** stream_save() - make a snapshot record; its length or negative */
int stream_save(
    dff_ctx_t *ctx, const dff_node_t *node, dff_stream_t id, uint8_t **data);

/* ---- peer.c: frames from and to peers ---- */

/** peers_new() - nothing told yet */
peers_t *peers_new(void);

/** peers_drop() - free it; NULL is allowed */
void peers_drop(peers_t *peers);

/** peer_frame() - a frame came */
void peer_frame(dff_ctx_t *ctx, dff_node_t *node, const dff_ev_peer_t *ev,
    dff_time_t now, dff_effects_t *fx);

/** peer_beat() - the heartbeat timer is due */
void peer_beat(
    dff_ctx_t *ctx, dff_node_t *node, dff_time_t now, dff_effects_t *fx);

/** peer_leave() - tell the peers that this node leaves */
void peer_leave(dff_ctx_t *ctx, dff_node_t *node, dff_effects_t *fx);

/** peer_tell_suspect() - tell the peers of a request that met a crash */
void peer_tell_suspect(dff_ctx_t *ctx, dff_node_t *node, uint64_t body_hash,
    uint64_t process, dff_effects_t *fx);

/* ---- call.c: from a caller's request to its end ---- */

/** call_open() - a request arrived */
void call_open(dff_ctx_t *ctx, dff_node_t *node, const dff_ev_call_open_t *ev,
    dff_time_t now, dff_effects_t *fx);

/** call_gone() - a caller went away */
void call_gone(dff_ctx_t *ctx, dff_node_t *node, uint64_t shell, dff_time_t now,
    dff_effects_t *fx);

/** call_pump() - carry out verdicts on claims and decisions on the queue */
void call_pump(
    dff_ctx_t *ctx, dff_node_t *node, dff_time_t now, dff_effects_t *fx);

/** call_due() - a timer of a call is due */
void call_due(dff_ctx_t *ctx, dff_node_t *node, const dff_timer_t *timer,
    dff_time_t now, dff_effects_t *fx);

/** call_offer() - ask the policy what to do with a call, and do it */
void call_offer(dff_ctx_t *ctx, dff_node_t *node, call_t *call, dff_time_t now,
    dff_effects_t *fx);

/**
 * call_refuse() - end a call with an error
 * @ran: whether the work ran, as the caller is to be told
 * @retry_after: when to come back; 0 where that makes no sense
 */
void call_refuse(dff_ctx_t *ctx, dff_node_t *node, call_t *call, int status,
    const char *code, dff_ran_t ran, dff_time_t retry_after, const char *text,
    dff_effects_t *fx);

/** call_ran() - whether work of a call has run, as its caller is to be told */
dff_ran_t call_ran(const call_t *call);

/** call_close() - forget a call whose caller has its final answer */
void call_close(dff_node_t *node, call_t *call);

/** call_of_attempt() - the call of a try, or NULL if the try is old */
call_t *call_of_attempt(dff_node_t *node, uint64_t attempt);

/* ---- attempt.c: tries at upstreams ---- */

/** attempt_start() - send a call as the policy decided */
void attempt_start(dff_ctx_t *ctx, dff_node_t *node, call_t *call,
    const dff_decision_t *decision, dff_time_t now, dff_effects_t *fx);

/** attempt_cancel() - stop the try of a call, if one is under way */
void attempt_cancel(dff_ctx_t *ctx, dff_node_t *node, call_t *call,
    dff_try_outcome_t outcome, dff_time_t now, dff_effects_t *fx);

/** attempt_tokens() - tokens came */
void attempt_tokens(dff_ctx_t *ctx, dff_node_t *node,
    const dff_ev_try_tokens_t *ev, dff_time_t now, dff_effects_t *fx);

/** attempt_end() - an engine's answer ended */
void attempt_end(dff_ctx_t *ctx, dff_node_t *node, const dff_ev_try_end_t *ev,
    dff_time_t now, dff_effects_t *fx);

/** attempt_reply() - a service replied */
void attempt_reply(dff_ctx_t *ctx, dff_node_t *node,
    const dff_ev_try_reply_t *ev, dff_time_t now, dff_effects_t *fx);

/** attempt_failed() - a try failed */
void attempt_failed(dff_ctx_t *ctx, dff_node_t *node,
    const dff_ev_try_failed_t *ev, dff_time_t now, dff_effects_t *fx);

/* ---- poison.c: requests that crash engines ---- */

/** poison_new() - empty table */
poison_t *poison_new(void);

/** poison_drop() - free it */
void poison_drop(poison_t *poison);

/** poison_crashes() - engines known to have crashed under a request */
uint32_t poison_crashes(poison_t *poison, uint64_t body_hash, dff_time_t now);

/** poison_process() - hash of one process of an engine; @incarnation is 0 if
 *	it is not known */
uint64_t poison_process(const char *vm, uint64_t incarnation);

/**
 * poison_note_broken() - a process broke off under a request, as this node saw
 *	or a peer told; it may be a crash
 *
 * Return: true if that was news.
 */
bool poison_note_broken(
    poison_t *poison, uint64_t body_hash, uint64_t process, dff_time_t now);

/** poison_note_report() - an engine reported; breaks before do not count
 *	where it is the same process still */
void poison_note_report(
    poison_t *poison, const char *vm, uint64_t incarnation, dff_time_t taken);

/** poison_clear() - a request's answer came whole: it is innocent */
void poison_clear(poison_t *poison, uint64_t body_hash);

/* ---- names.c: names as hashes ---- */

/** names_new() - no names yet */
names_t *names_new(void);

/** names_drop() - free it; NULL is allowed */
void names_drop(names_t *names);

/** names_hash() - the hash that stands for a name in frames */
uint32_t names_hash(const char *name);

/** names_load_vms() - follow the VM list, an array of dff_vm_t */
void names_load_vms(names_t *names, const GArray *vms);

/** names_set_catalogue() - follow the catalogue */
void names_set_catalogue(names_t *names, const dff_catalogue_t *cat);

/** names_vm() - the VM that a hash means, borrowed, or NULL */
const dff_vm_t *names_vm(const dff_node_t *node, uint32_t hash);

/** names_find_vm() - the VM of a name, borrowed, or NULL */
const dff_vm_t *names_find_vm(const dff_node_t *node, const char *id);

/** names_entry() - the entry that a hash means, borrowed, or NULL */
const dff_entry_t *names_entry(const dff_node_t *node, uint32_t hash);

/* ---- watch.c: load reports, read here or told by peers ---- */

/** watch_new() - nothing watched */
watch_t *watch_new(void);

/** watch_drop() - free it; NULL is allowed */
void watch_drop(watch_t *watch);

/** watch_update() - choose anew whose reports this node reads */
void watch_update(dff_node_t *node, dff_time_t now, dff_effects_t *fx);

/** watch_note() - a report was read here */
void watch_note(
    dff_node_t *node, const dff_ev_engine_report_t *report, dff_time_t now);

/** watch_shared() - the fleet is too large to be read whole by each node */
bool watch_shared(const dff_node_t *node);

/* ---- node.c ---- */

/** node_take_report() - use a load report, read here or told by a peer */
void node_take_report(dff_ctx_t *ctx, dff_node_t *node,
    const dff_ev_engine_report_t *ev, dff_time_t now);

/** node_append_id() - id for an append of the node itself */
uint64_t node_append_id(dff_node_t *node);

/** node_catalogue() - the catalogue in force, or NULL */
dff_catalogue_t *node_catalogue(const dff_node_t *node);

/** node_drains_changed() - tell the policy which engines are marked */
void node_drains_changed(dff_ctx_t *ctx, dff_node_t *node);

/** node_catalogue_changed() - tell all parts of a new catalogue */
void node_catalogue_changed(dff_ctx_t *ctx, dff_node_t *node);

#endif
