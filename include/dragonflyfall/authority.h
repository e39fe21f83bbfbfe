/*
 * Authority over engines: leases of shards, drain marks and orders. The
 * offset of a lease claim is its fencing number. A shard is one pool in one
 * failure domain. An order is written to the log as an intent, read back,
 * and only then sent; its outcome is recorded.
 */
#ifndef DRAGONFLYFALL_AUTHORITY_H
#define DRAGONFLYFALL_AUTHORITY_H

#include "dragonflyfall/catalogue.h"
#include "dragonflyfall/timer.h"

/*
 * The top byte of the ids of this part's appends, so that the node can tell
 * them from those of other parts.
 */
#define DFF_AUTHORITY_APPEND_TAG ((uint64_t)0xa1 << 56)

/**
 * struct dff_authority_config - settings of the authority part
 * @node: VM id of this node
 * @incarnation: this process's incarnation
 * @domain: its failure domain
 * @act: this process may hold leases; else it only follows the stream
 * @term: length of a lease
 * @drift: allowance for clocks that run apart, added by those who wait
 * @tcp_timeout: longest time for which sent bytes may be under way
 * @drain_time: longest wait for an engine to run dry before giving up
 */
typedef struct dff_authority_config {
	char node[DFF_NAME_MAX];
	uint64_t incarnation;
	char domain[DFF_NAME_MAX];
	bool act;
	dff_time_t term;
	dff_time_t drift;
	dff_time_t tcp_timeout;
	dff_time_t drain_time;
} dff_authority_config_t;

/**
 * struct dff_lease_view - one lease as this node knows it
 * @shard: "pool@domain"
 * @holder: VM id
 * @incarnation: holder's incarnation
 * @fence: fencing number
 * @mine: held by this process and not lapsed
 */
typedef struct dff_lease_view {
	char shard[DFF_NAME_MAX * 2];
	char holder[DFF_NAME_MAX];
	uint64_t incarnation;
	uint64_t fence;
	bool mine;
} dff_lease_view_t;

/** typedef dff_authority_t - state of the authority stream, and own orders */
typedef struct dff_authority dff_authority_t;

/** dff_authority_new() - empty state; @timers is borrowed for its life */
dff_authority_t *dff_authority_new(
    dff_ctx_t *ctx, const dff_authority_config_t *config, dff_timers_t *timers);

/** dff_authority_drop() - free the state; NULL is allowed */
void dff_authority_drop(dff_authority_t *auth);

/** dff_authority_start() - begin to claim leases; sets the first timer */
void dff_authority_start(dff_authority_t *auth, dff_time_t now);

/** dff_authority_stop() - finish what is open, release leases, claim none */
void dff_authority_stop(
    dff_ctx_t *ctx, dff_authority_t *auth, dff_time_t now, dff_effects_t *fx);

/** dff_authority_idle() - nothing is open here any more; it may exit */
bool dff_authority_idle(const dff_authority_t *auth);

/** dff_authority_set_catalogue() - follow the catalogue; NULL is allowed */
void dff_authority_set_catalogue(dff_authority_t *auth, dff_catalogue_t *cat);

/** dff_authority_load_vms() - follow the VM list */
void dff_authority_load_vms(dff_ctx_t *ctx, dff_authority_t *auth,
    const dff_vm_t *vms, size_t count, dff_time_t now);

/**
 * dff_authority_propose() - ask for a change of one engine
 * @vm: VM id of the engine
 * @kind: what to change
 * @target: role name, model, adapter, or version number as text
 *
 * Return: 0 if it is taken up; -EPERM without the shard's lease; -EBUSY
 * while the shard has a change under way or the engine is held back by an
 * order of a former holder; -ENOENT for an unknown engine.
 */
int dff_authority_propose(dff_ctx_t *ctx, dff_authority_t *auth, const char *vm,
    dff_order_kind_t kind, const char *target, dff_time_t now,
    dff_effects_t *fx);

/** dff_authority_appended() - an append of this part ended */
void dff_authority_appended(dff_ctx_t *ctx, dff_authority_t *auth,
    const dff_ev_log_appended_t *ev, dff_time_t now, dff_effects_t *fx);

/** dff_authority_due() - a timer of kind DFF_TIMER_AUTHORITY_TICK is due */
void dff_authority_due(
    dff_ctx_t *ctx, dff_authority_t *auth, dff_time_t now, dff_effects_t *fx);

/** dff_authority_state() - an engine answered a question of this part */
void dff_authority_state(dff_ctx_t *ctx, dff_authority_t *auth,
    const dff_ev_engine_state_t *ev, dff_time_t now, dff_effects_t *fx);

/** dff_authority_answer() - an order was answered */
void dff_authority_answer(dff_ctx_t *ctx, dff_authority_t *auth,
    const dff_ev_order_answer_t *ev, dff_time_t now, dff_effects_t *fx);

/** dff_authority_head() - the stream was read up to its end at @asked */
void dff_authority_head(dff_authority_t *auth, dff_time_t asked);

/** dff_authority_drained() - whether an engine is marked to get no work */
bool dff_authority_drained(const dff_authority_t *auth, const char *vm);

/**
 * dff_authority_leases() - the leases as known here
 * @views: room for them
 * @max: how many fit
 *
 * Return: how many there are.
 */
size_t dff_authority_leases(
    const dff_authority_t *auth, dff_lease_view_t *views, size_t max);

/** dff_authority_apply() - as dff_history_apply(); 1 if drain marks changed */
int dff_authority_apply(dff_ctx_t *ctx, dff_authority_t *auth, uint64_t offset,
    const uint8_t *data, size_t len, uint64_t time_ms, dff_time_t now,
    dff_effects_t *fx);

/** dff_authority_load() - as dff_history_load() */
int dff_authority_load(dff_ctx_t *ctx, dff_authority_t *auth,
    const uint8_t *data, size_t len, uint64_t first, dff_time_t now);

/** dff_authority_save() - as dff_history_save() */
int dff_authority_save(
    dff_ctx_t *ctx, const dff_authority_t *auth, uint8_t **data);

/** dff_authority_holds() - this process holds a shard's lease */
bool dff_authority_holds(const dff_authority_t *auth, const char *shard);

/**
 * dff_authority_rebase() - begin after an offset, with nothing before it
 *
 * For a stream whose beginning has expired without a usable snapshot.
 *
 * Return: 0, or -EALREADY if records have been applied.
 */
int dff_authority_rebase(dff_authority_t *auth, uint64_t applied);

/** dff_authority_applied() - last offset applied; 0 none */
uint64_t dff_authority_applied(const dff_authority_t *auth);

#endif
