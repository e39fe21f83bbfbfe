/*
 * What the files of the authority part share: the state of the stream, and
 * this process's own leases and changes.
 */
#ifndef AUTHORITY_PARTS_H
#define AUTHORITY_PARTS_H

#include "authority/state.h"
#include "base/fault.h"

/* Time between steps of a change, and between questions to its engine. */
#define CHANGE_TICK (100 * DFF_MSEC)
/* Longest time between ticks with no change under way. */
#define IDLE_TICK (250 * DFF_MSEC)
/* Time that a drain mark gets to reach the other nodes. */
#define MARK_SPREAD (200 * DFF_MSEC)
/* An engine that ran dry is asked again if the order took longer to go. */
#define DRY_FRESH (500 * DFF_MSEC)
/* Time for an engine to show what it changed to, once it is back. */
#define SETTLE_GRACE (5 * DFF_SEC)
/* Time between looks at what an engine has loaded. */
#define LOOK_EVERY (5 * DFF_SEC)
/* Time before a change that failed is proposed again. */
#define CHANGE_RETRY (60 * DFF_SEC)
/* The same if another change of the pool had only begun earlier. */
#define YIELD_RETRY (5 * DFF_SEC)
/* A living VM is in the VM list after this time. */
#define VM_LIST_LAG (30 * DFF_SEC)

/** enum append_kind - what an append of this part carries */
typedef enum append_kind {
	APPEND_CLAIM,
	APPEND_RENEW,
	APPEND_RELEASE,
	APPEND_ACK,
	APPEND_MARK,
	APPEND_INTENT,
	APPEND_OUTCOME,
} append_kind_t;

/** struct append - an append that was not read back yet */
typedef struct append {
	uint64_t sequence;
	append_kind_t kind;
	char shard[SHARD_NAME_MAX];
	dff_time_t sent_at;
} append_t;

/** enum change_phase - how far a change of an engine is */
typedef enum change_phase {
	CHANGE_NONE,
	CHANGE_MARK, /* the drain mark is to be read back */
	CHANGE_DRAIN, /* the engine is to run dry */
	CHANGE_INTENT, /* the intent is to be read back */
	CHANGE_SEND, /* the order is to be answered */
	CHANGE_SETTLE, /* the engine is to show what was ordered */
	CHANGE_CLOSE, /* the outcome is to be read back */
	CHANGE_UNMARK, /* the end of the mark is to be read back */
} change_phase_t;

/**
 * struct change - a change of one engine
 * @phase: how far it is
 * @vm: VM id of the engine
 * @addr: its address
 * @kind: what changes
 * @target: to what
 * @vm_incarnation: engine's process
 * @order: offset of the intent; 0 before it was read back
 * @intent_sequence: number of the intent's record; 0 before it was appended
 * @deadline: moment at which the wait of this phase is given up
 * @dry_deadline: likewise, of all the waits for the engine to run dry
 * @append_at: earliest moment of the next append
 * @ask_at: earliest moment of the next question to the engine
 * @trust_after: an answer to a question asked earlier does not count
 * @dry_at: moment at which the engine was seen to run dry
 * @odd_since: moment since which the engine is back and not as ordered
 * @sent: the order was sent and not answered
 * @fenced: times that the engine knew a newer number
 * @yielded: another change of the pool had begun earlier
 * @outcome: what is to be recorded
 */
typedef struct change {
	change_phase_t phase;
	char vm[DFF_NAME_MAX];
	char addr[DFF_ADDR_MAX];
	dff_order_kind_t kind;
	char target[DFF_NAME_MAX];
	uint64_t vm_incarnation;
	uint64_t order;
	uint64_t intent_sequence;
	dff_time_t deadline;
	dff_time_t dry_deadline;
	dff_time_t append_at;
	dff_time_t ask_at;
	dff_time_t trust_after;
	dff_time_t dry_at;
	dff_time_t odd_since;
	bool sent;
	uint32_t fenced;
	bool yielded;
	order_outcome_t outcome;
} change_t;

/**
 * struct shard - a shard as this process deals with it
 * @name: "pool@domain"
 * @pool: pool
 * @domain: failure domain
 * @engines: engines of it in the VM list that are not leaving
 * @rank: candidates for its lease that come before this node
 * @known_at: moment at which it was first seen
 * @valid_until: end of the own term
 * @lease_append_at: earliest moment of the next append about the lease
 * @change: change under way
 * @look_at: earliest moment of the next look at its engines
 * @look_next: engine to be looked at, counted within the shard
 */
typedef struct shard {
	char name[SHARD_NAME_MAX];
	char pool[DFF_NAME_MAX];
	char domain[DFF_NAME_MAX];
	uint32_t engines;
	uint32_t rank;
	dff_time_t known_at;
	dff_time_t valid_until;
	dff_time_t lease_append_at;
	change_t change;
	dff_time_t look_at;
	uint32_t look_next;
} shard_t;

/**
 * struct flight - an order sent by this process
 * @order: order
 * @answered: an answer, or word that there is none, has come
 * @clear_at: then, moment from which no byte of it can be under way
 */
typedef struct flight {
	uint64_t order;
	bool answered;
	dff_time_t clear_at;
} flight_t;

/**
 * struct presence - a node's VM in the VM list
 * @wrote_at: moment at which its last claim of a lease was read
 * @absent_since: moment of the first list without it; DFF_TIME_NEVER if the
 *	last list had it
 */
typedef struct presence {
	dff_time_t wrote_at;
	dff_time_t absent_since;
} presence_t;

/** struct seen - what an engine last said of the orders that it knows */
typedef struct seen {
	uint64_t fence;
	uint64_t last_order;
} seen_t;

struct dff_authority {
	dff_authority_config_t config;
	dff_timers_t *timers;
	authority_state_t state;
	dff_catalogue_t *cat;
	GArray *vms; /* dff_vm_t, as in the last list */
	dff_time_t vms_at;
	GTree *shards; /* name -> shard_t, owned */
	GHashTable *appends; /* sequence -> append_t, owned */
	GHashTable *flights; /* order -> flight_t, owned */
	GHashTable *seen; /* vm -> seen_t, owned */
	GHashTable *presence; /* node -> presence_t, owned */
	GHashTable *retry_at; /* vm -> dff_time_t: no change before, owned */
	uint64_t sequence;
	dff_time_t started_at;
	dff_time_t rebased_at; /* the state began anew; 0 never */
	dff_time_t ack_at;
	dff_time_t head_asked;
	dff_time_t tick_at;
	dff_time_t now;
	bool started;
	bool stopping;
};

/* ---- append.c ---- */

/** append_lease() - append a record about a lease; returns its number */
uint64_t append_lease(dff_authority_t *auth, append_kind_t kind,
    const Dff__Lease *body, dff_time_t now, dff_effects_t *fx);

/** append_mark() - append a drain mark or its end */
uint64_t append_mark(dff_authority_t *auth, const Dff__DrainMark *body,
    dff_time_t now, dff_effects_t *fx);

/** append_intent() - append the intent of an order */
uint64_t append_intent(dff_authority_t *auth, const Dff__OrderIntent *body,
    dff_time_t now, dff_effects_t *fx);

/** append_outcome() - append the outcome of an order */
uint64_t append_outcome(dff_authority_t *auth, const Dff__OrderOutcome *body,
    dff_time_t now, dff_effects_t *fx);

/** append_retry() - time before a record that was not read back is appended
 *	again */
dff_time_t append_retry(const dff_authority_t *auth);

/* ---- lease.c ---- */

/** lease_valid() - this process holds the shard's lease and its term runs */
bool lease_valid(
    const dff_authority_t *auth, const shard_t *shard, dff_time_t now);

/** lease_step() - claim, renew or release the lease of a shard if due */
void lease_step(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    dff_time_t now, dff_effects_t *fx);

/** lease_read_back() - an own record about a lease was applied */
void lease_read_back(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const append_t *append, uint64_t offset, dff_time_t now);

/** lease_rank() - candidates for a shard's lease that come before this node */
uint32_t lease_rank(const dff_authority_t *auth, const shard_t *shard);

/* ---- harmless.c ---- */

/** harmless_step() - append what is to be acknowledged, for this process's
 *	own lost leases and for former holders that are gone */
void harmless_step(
    dff_ctx_t *ctx, dff_authority_t *auth, dff_time_t now, dff_effects_t *fx);

/** harmless_load_vms() - note which nodes' VMs are in the VM list */
void harmless_load_vms(dff_authority_t *auth, dff_time_t now);

/** harmless_note_claim() - a node claimed a lease */
void harmless_note_claim(
    dff_authority_t *auth, const char *node, dff_time_t now);

/** flight_under_way() - bytes of an order of this process may be under way */
bool flight_under_way(
    const dff_authority_t *auth, uint64_t order, dff_time_t now);

/* ---- order.c ---- */

/** change_may_start() - 0, or the error of dff_authority_propose() */
int change_may_start(const dff_authority_t *auth, const shard_t *shard,
    const dff_vm_t *vm, dff_order_kind_t kind, dff_time_t now);

/** change_start() - begin a change that may start */
void change_start(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const dff_vm_t *vm, dff_order_kind_t kind, const char *target,
    dff_time_t now, dff_effects_t *fx);

/** change_step() - go on with the change of a shard whose lease is valid */
void change_step(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    dff_time_t now, dff_effects_t *fx);

/** change_state() - the engine of a change answered a question */
void change_state(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const dff_ev_engine_state_t *st, dff_time_t now, dff_effects_t *fx);

/** change_answer() - the order of a change was answered */
void change_answer(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const dff_ev_order_answer_t *ev, dff_time_t now, dff_effects_t *fx);

/** change_refused() - the log refused an append of this shard's change */
void change_refused(shard_t *shard, const append_t *append, dff_time_t now);

/** change_lost() - another process has the lease now */
void change_lost(dff_ctx_t *ctx, shard_t *shard);

/* ---- desire.c ---- */

/** desire_step() - look at the next engine of a shard, if due */
void desire_step(
    dff_authority_t *auth, shard_t *shard, dff_time_t now, dff_effects_t *fx);

/** desire_state() - propose a change if an engine is not as declared */
void desire_state(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const dff_ev_engine_state_t *st, dff_time_t now, dff_effects_t *fx);

/* ---- authority.c ---- */

/** find_vm() - a VM of the last list, or NULL */
const dff_vm_t *find_vm(const dff_authority_t *auth, const char *id);

/** shard_of_vm() - the shard of an engine, or NULL */
shard_t *shard_of_vm(const dff_authority_t *auth, const dff_vm_t *vm);

/** pool_fencing() - what a shard's engines do with a number */
dff_fencing_t pool_fencing(const dff_authority_t *auth, const char *pool);

/** vm_of_node() - VM id of a node's id, written to @id */
void vm_of_node(const char *node, char id[DFF_NAME_MAX]);

#endif
