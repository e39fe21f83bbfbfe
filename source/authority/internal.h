/*
 * Internal declarations of the authority part: the state of the stream, and
 * this process's own leases and changes.
 */
#ifndef AUTHORITY_INTERNAL_H
#define AUTHORITY_INTERNAL_H

#include "authority/state.h"
#include "base/fault.h"

/* Time between steps of a change, and between state queries to its engine. */
#define CHANGE_POLL_INTERVAL (100 * DFF_MSEC)
/* Longest time between ticks with no change in progress. */
#define IDLE_TICK_INTERVAL (250 * DFF_MSEC)
/* Time for the other nodes to read a drain mark. */
#define MARK_PROPAGATION_TIME (200 * DFF_MSEC)
/* An engine seen drained longer ago is queried again before the order. */
#define DRAINED_MAX_AGE (500 * DFF_MSEC)
/* Time for an engine to report the ordered state once it is back. */
#define SETTLE_GRACE (5 * DFF_SEC)
/* Time between checks of what each engine has loaded. */
#define ENGINE_CHECK_INTERVAL (5 * DFF_SEC)
/* Time before a failed change is proposed again. */
#define CHANGE_RETRY_DELAY (60 * DFF_SEC)
/* The same for a change that yielded to an earlier one of its pool. */
#define YIELD_RETRY_DELAY (5 * DFF_SEC)
/* A running VM appears in the VM list within this time. */
#define VM_LIST_MAX_LAG (30 * DFF_SEC)

/** enum append_kind - type of the record in an append of this part */
typedef enum append_kind {
	APPEND_CLAIM,
	APPEND_RENEW,
	APPEND_RELEASE,
	APPEND_ACK,
	APPEND_MARK,
	APPEND_INTENT,
	APPEND_OUTCOME,
} append_kind_t;

/** struct append - an append whose record is not read back yet */
typedef struct append {
	uint64_t sequence;
	append_kind_t kind;
	char shard[SHARD_NAME_MAX];
	dff_time_t appended_at;
} append_t;

/** enum change_phase - phase of a change of an engine */
typedef enum change_phase {
	CHANGE_NONE,
	CHANGE_MARK, /* wait until the drain mark is read back */
	CHANGE_DRAIN, /* wait until the engine is drained */
	CHANGE_INTENT, /* wait until the intent is read back */
	CHANGE_SEND, /* send the order, wait for its answer */
	CHANGE_SETTLE, /* wait until the engine reports the target */
	CHANGE_CLOSE, /* wait until the outcome is read back */
	CHANGE_UNMARK, /* wait until the mark's removal is read back */
} change_phase_t;

/**
 * struct change - a change of one engine
 * @phase: current phase
 * @vm: VM id of the engine
 * @addr: address of the engine
 * @kind: what changes
 * @target: new value, as text
 * @vm_incarnation: incarnation of the engine's process
 * @order: offset of the intent; 0 until it is read back
 * @intent_sequence: sequence number of the intent's record; 0 until it is
 *	appended
 * @deadline: end of the wait in this phase
 * @drain_deadline: end of all waits for the engine to drain
 * @next_append_at: earliest time of the next append
 * @next_ask_at: earliest time of the next state query to the engine
 * @min_asked_at: answers to queries sent earlier are ignored
 * @drained_at: time at which the engine was last seen drained
 * @problem_since: time since which the engine fails to answer queries
 *	(CHANGE_DRAIN) or reports another state than the ordered one
 *	(CHANGE_SETTLE); DFF_TIME_NEVER if it does neither
 * @awaiting_answer: the order was sent and is not answered yet
 * @fenced_count: how often the engine refused the order's fencing number
 * @yielded: another change of the pool had started earlier
 * @outcome: outcome to record
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
	dff_time_t drain_deadline;
	dff_time_t next_append_at;
	dff_time_t next_ask_at;
	dff_time_t min_asked_at;
	dff_time_t drained_at;
	dff_time_t problem_since;
	bool awaiting_answer;
	uint32_t fenced_count;
	bool yielded;
	order_outcome_t outcome;
} change_t;

/**
 * struct shard - this process's view of a shard
 * @name: "pool@domain"
 * @pool: pool
 * @domain: failure domain
 * @engine_count: number of its engines in the VM list that are not leaving
 * @rank: number of candidates for its lease that precede this node
 * @first_seen_at: time at which the shard became known
 * @lease_valid_until: end of this process's lease term; 0 without a lease
 * @next_lease_append_at: earliest time of the next append about the lease
 * @change: change in progress
 * @next_check_at: earliest time of the next check of an engine
 * @check_index: index in the shard of the engine last checked
 */
typedef struct shard {
	char name[SHARD_NAME_MAX];
	char pool[DFF_NAME_MAX];
	char domain[DFF_NAME_MAX];
	uint32_t engine_count;
	uint32_t rank;
	dff_time_t first_seen_at;
	dff_time_t lease_valid_until;
	dff_time_t next_lease_append_at;
	change_t change;
	dff_time_t next_check_at;
	uint32_t check_index;
} shard_t;

/**
 * struct sent_order - an order sent by this process
 * @order: id of the order
 * @answered: its answer arrived, or its sending failed or timed out
 * @in_flight_until: if @answered, time from which none of its bytes can be
 *	in flight
 */
typedef struct sent_order {
	uint64_t order;
	bool answered;
	dff_time_t in_flight_until;
} sent_order_t;

/**
 * struct presence - whether a node's VM is in the VM list
 * @last_claim_at: time at which the node's last lease claim was read here
 * @absent_since: time of the first list without it; DFF_TIME_NEVER if the
 *	latest list has it
 */
typedef struct presence {
	dff_time_t last_claim_at;
	dff_time_t absent_since;
} presence_t;

/** struct order_report - fence and last order in an engine's latest state */
typedef struct order_report {
	uint64_t fence;
	uint64_t last_order;
} order_report_t;

struct dff_authority {
	dff_authority_config_t config;
	dff_timers_t *timers;
	authority_state_t state;
	dff_catalogue_t *cat;
	GArray *vms; /* dff_vm_t of the latest list */
	dff_time_t vms_loaded_at;
	GTree *shards; /* name -> shard_t, owned */
	GHashTable *appends; /* sequence -> append_t, owned */
	GHashTable *sent_orders; /* order -> sent_order_t, owned */
	GHashTable *order_reports; /* vm -> order_report_t, owned */
	GHashTable *presence; /* node -> presence_t, owned */
	GHashTable *retry_at; /* vm -> dff_time_t of the next change, owned */
	uint64_t sequence;
	dff_time_t started_at;
	dff_time_t rebased_at; /* time of dff_authority_rebase(); 0 if none */
	dff_time_t next_ack_at;
	dff_time_t caught_up_at;
	dff_time_t next_tick_at;
	dff_time_t now;
	bool started;
	bool stopping;
};

/* ---- append.c ---- */

/** append_lease() - append a lease record; returns its sequence number */
uint64_t append_lease(dff_authority_t *auth, append_kind_t kind,
    const Dff__Lease *body, dff_time_t now, dff_effects_t *fx);

/** append_mark() - append a drain mark or its removal */
uint64_t append_mark(dff_authority_t *auth, const Dff__DrainMark *body,
    dff_time_t now, dff_effects_t *fx);

/** append_intent() - append the intent of an order */
uint64_t append_intent(dff_authority_t *auth, const Dff__OrderIntent *body,
    dff_time_t now, dff_effects_t *fx);

/** append_outcome() - append the outcome of an order */
uint64_t append_outcome(dff_authority_t *auth, const Dff__OrderOutcome *body,
    dff_time_t now, dff_effects_t *fx);

/** append_retry_delay() - time after which an append is repeated */
dff_time_t append_retry_delay(const dff_authority_t *auth);

/* ---- lease.c ---- */

/** lease_valid() - this process holds the lease and its term has not ended */
bool lease_valid(
    const dff_authority_t *auth, const shard_t *shard, dff_time_t now);

/** lease_step() - claim, renew or release a shard's lease if it is time */
void lease_step(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    dff_time_t now, dff_effects_t *fx);

/** lease_read_back() - handle this process's own claim or renewal read back */
void lease_read_back(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const append_t *append, uint64_t offset, dff_time_t now);

/** lease_rank() - number of candidates for a lease that precede this node */
uint32_t lease_rank(const dff_authority_t *auth, const shard_t *shard);

/* ---- former_holders.c ---- */

/** former_holders_step() - append the acknowledgements that are due, for this
 *	process's lost leases and for former holders whose VM is gone */
void former_holders_step(
    dff_ctx_t *ctx, dff_authority_t *auth, dff_time_t now, dff_effects_t *fx);

/** former_holders_load_vms() - record which nodes' VMs are in the VM list */
void former_holders_load_vms(dff_authority_t *auth, dff_time_t now);

/** former_holders_note_claim() - record that a node claimed a lease */
void former_holders_note_claim(
    dff_authority_t *auth, const char *node, dff_time_t now);

/** order_in_flight() - bytes of an order sent here may be in flight */
bool order_in_flight(
    const dff_authority_t *auth, uint64_t order, dff_time_t now);

/* ---- order.c ---- */

/** change_may_start() - 0, or an error as in dff_authority_propose() */
int change_may_start(const dff_authority_t *auth, const shard_t *shard,
    const dff_vm_t *vm, dff_order_kind_t kind, dff_time_t now);

/** change_start() - start a change that change_may_start() allowed */
void change_start(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const dff_vm_t *vm, dff_order_kind_t kind, const char *target,
    dff_time_t now, dff_effects_t *fx);

/** change_step() - advance the change of a shard whose lease is valid */
void change_step(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    dff_time_t now, dff_effects_t *fx);

/** change_engine_state() - handle a state answer of a change's engine */
void change_engine_state(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const dff_ev_engine_state_t *st, dff_time_t now, dff_effects_t *fx);

/** change_order_answer() - handle the answer to a change's order */
void change_order_answer(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const dff_ev_order_answer_t *ev, dff_time_t now, dff_effects_t *fx);

/** change_append_refused() - the log refused an append of a change */
void change_append_refused(
    shard_t *shard, const append_t *append, dff_time_t now);

/** change_lease_lost() - abandon the change: another process has the lease */
void change_lease_lost(dff_ctx_t *ctx, shard_t *shard);

/* ---- reconcile.c ---- */

/** reconcile_step() - query the next engine of a shard if it is time */
void reconcile_step(
    dff_authority_t *auth, shard_t *shard, dff_time_t now, dff_effects_t *fx);

/** reconcile_engine_state() - start a change if an engine is not as declared */
void reconcile_engine_state(dff_ctx_t *ctx, dff_authority_t *auth,
    shard_t *shard, const dff_ev_engine_state_t *st, dff_time_t now,
    dff_effects_t *fx);

/* ---- authority.c ---- */

/** find_vm() - a VM of the latest list, or NULL */
const dff_vm_t *find_vm(const dff_authority_t *auth, const char *id);

/** shard_of_vm() - the shard of an engine, or NULL */
shard_t *shard_of_vm(const dff_authority_t *auth, const dff_vm_t *vm);

/** pool_fencing() - whether a pool's engines check the fencing number */
dff_fencing_t pool_fencing(const dff_authority_t *auth, const char *pool);

/** vm_id_of_node() - write the id of a node's VM to @id */
void vm_id_of_node(const char *node, char id[DFF_NAME_MAX]);

#endif
