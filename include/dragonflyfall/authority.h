/*
 * Authority to change engines: leases of shards, drain marks and orders. A
 * shard is the engines of one pool in one failure domain. The log offset of
 * a lease claim is the lease's fencing number. An order is appended to the
 * log as an intent, read back, and only then sent; its outcome is recorded.
 */
#ifndef DRAGONFLYFALL_AUTHORITY_H
#define DRAGONFLYFALL_AUTHORITY_H

#include "dragonflyfall/catalogue.h"
#include "dragonflyfall/timer.h"

/*
 * The top byte of the ids of this part's appends, by which the node
 * distinguishes them from those of other parts.
 */
#define DFF_AUTHORITY_APPEND_TAG ((uint64_t)0xa1 << 56)

/**
 * struct dff_authority_config - settings of the authority part
 * @node: id of this node
 * @incarnation: this process's incarnation
 * @domain: this node's failure domain
 * @can_hold_leases: this process may claim leases; otherwise it only reads
 *	the stream
 * @term: length of a lease
 * @drift: allowance for clock drift; other nodes wait this much longer than
 *	the term before they claim the lease
 * @tcp_timeout: longest time for which sent bytes may be in flight
 * @drain_timeout: longest wait for an engine to finish its running requests
 */
typedef struct dff_authority_config {
	char node[DFF_NAME_MAX];
	uint64_t incarnation;
	char domain[DFF_NAME_MAX];
	bool can_hold_leases;
	dff_time_t term;
	dff_time_t drift;
	dff_time_t tcp_timeout;
	dff_time_t drain_timeout;
} dff_authority_config_t;

/**
 * struct dff_lease_view - one lease according to the records applied here
 * @shard: "pool@domain"
 * @holder: id of the node that holds it
 * @incarnation: holder's incarnation
 * @fence: fencing number
 * @held_here: held by this process, and its term has not ended
 */
typedef struct dff_lease_view {
	char shard[DFF_NAME_MAX * 2];
	char holder[DFF_NAME_MAX];
	uint64_t incarnation;
	uint64_t fence;
	bool held_here;
} dff_lease_view_t;

/** typedef dff_authority_t - the authority stream, and this process's orders */
typedef struct dff_authority dff_authority_t;

/** dff_authority_new() - empty state; @timers must outlive it */
dff_authority_t *dff_authority_new(
    dff_ctx_t *ctx, const dff_authority_config_t *config, dff_timers_t *timers);

/** dff_authority_drop() - free the state; NULL is allowed */
void dff_authority_drop(dff_authority_t *auth);

/** dff_authority_start() - begin to claim leases; sets the first timer */
void dff_authority_start(dff_authority_t *auth, dff_time_t now);

/** dff_authority_stop() - finish open changes, release leases, claim none */
void dff_authority_stop(
    dff_ctx_t *ctx, dff_authority_t *auth, dff_time_t now, dff_effects_t *fx);

/** dff_authority_idle() - this process holds no lease and may exit */
bool dff_authority_idle(const dff_authority_t *auth);

/** dff_authority_set_catalogue() - replace the catalogue; NULL is allowed */
void dff_authority_set_catalogue(dff_authority_t *auth, dff_catalogue_t *cat);

/** dff_authority_load_vms() - replace the VM list */
void dff_authority_load_vms(dff_ctx_t *ctx, dff_authority_t *auth,
    const dff_vm_t *vms, size_t count, dff_time_t now);

/**
 * dff_authority_propose() - start a change of one engine
 * @vm: VM id of the engine
 * @kind: what to change
 * @target: role name, model, adapter, or version number as text
 *
 * Return: 0 if the change has started; -EPERM without the shard's lease or
 * while stopping; -EBUSY while the shard has another change, the pool has
 * another change that loads weights, or an order of a former holder may
 * still reach the engine; -EINVAL for an invalid target; -ENOENT for an
 * unknown engine.
 */
int dff_authority_propose(dff_ctx_t *ctx, dff_authority_t *auth, const char *vm,
    dff_order_kind_t kind, const char *target, dff_time_t now,
    dff_effects_t *fx);

/** dff_authority_appended() - handle the result of an append of this part */
void dff_authority_appended(dff_ctx_t *ctx, dff_authority_t *auth,
    const dff_ev_log_appended_t *ev, dff_time_t now, dff_effects_t *fx);

/** dff_authority_due() - handle a timer of kind DFF_TIMER_AUTHORITY_TICK */
void dff_authority_due(
    dff_ctx_t *ctx, dff_authority_t *auth, dff_time_t now, dff_effects_t *fx);

/** dff_authority_engine_state() - handle the answer to a state query */
void dff_authority_engine_state(dff_ctx_t *ctx, dff_authority_t *auth,
    const dff_ev_engine_state_t *ev, dff_time_t now, dff_effects_t *fx);

/** dff_authority_order_answer() - handle the answer to an order */
void dff_authority_order_answer(dff_ctx_t *ctx, dff_authority_t *auth,
    const dff_ev_order_answer_t *ev, dff_time_t now, dff_effects_t *fx);

/** dff_authority_caught_up() - the stream is applied up to its end at @asked */
void dff_authority_caught_up(dff_authority_t *auth, dff_time_t asked);

/** dff_authority_is_draining() - an engine has a drain mark: no new requests */
bool dff_authority_is_draining(const dff_authority_t *auth, const char *vm);

/**
 * dff_authority_leases() - list the leases that are not released
 * @views: array to fill
 * @max: length of @views
 *
 * Return: number of leases, which may be greater than @max.
 */
size_t dff_authority_leases(
    const dff_authority_t *auth, dff_lease_view_t *views, size_t max);

/** dff_authority_apply() - like dff_history_apply(); 1 if marks changed */
int dff_authority_apply(dff_ctx_t *ctx, dff_authority_t *auth, uint64_t offset,
    const uint8_t *data, size_t len, uint64_t time_ms, dff_time_t now,
    dff_effects_t *fx);

/** dff_authority_load() - like dff_history_load() */
int dff_authority_load(dff_ctx_t *ctx, dff_authority_t *auth,
    const uint8_t *data, size_t len, uint64_t first, dff_time_t now);

/** dff_authority_save() - like dff_history_save() */
int dff_authority_save(
    dff_ctx_t *ctx, const dff_authority_t *auth, uint8_t **data);

/** dff_authority_holds_lease() - this process holds a shard's valid lease */
bool dff_authority_holds_lease(const dff_authority_t *auth, const char *shard);

/**
 * dff_authority_rebase() - start with an empty state after an offset
 *
 * For a stream whose first records have expired, without a usable snapshot.
 *
 * Return: 0, or -EALREADY if records have been applied.
 */
int dff_authority_rebase(dff_authority_t *auth, uint64_t applied);

/** dff_authority_applied() - last offset applied; 0 if none */
uint64_t dff_authority_applied(const dff_authority_t *auth);

#endif
