/*
 * The scheduling policy: it decides which upstream a call runs on, which calls
 * wait and which are refused at once. It knows the fleet from the VM list, from
 * load reports that arrive late, from cache events of which some are lost, from
 * the calls that this node sent, and from the load that peers report.
 */
#ifndef DRAGONFLYFALL_POLICY_H
#define DRAGONFLYFALL_POLICY_H

#include "dragonflyfall/catalogue.h"

/**
 * enum dff_policy_kind - the predictive policy, and baselines for comparison
 */
typedef enum dff_policy_kind {
	DFF_POLICY_PREDICT,
	DFF_POLICY_ROUND_ROBIN,
	DFF_POLICY_LEAST_OUTSTANDING,
} dff_policy_kind_t;

/**
 * struct dff_policy_config - settings of the policy
 * @kind: policy to use
 * @domain: failure domain of this node
 * @features_off: bit set of DFF_FEATURE_* to turn off, for measurements
 */
typedef struct dff_policy_config {
	dff_policy_kind_t kind;
	char domain[DFF_NAME_MAX];
	uint32_t features_off;
} dff_policy_config_t;

#define DFF_FEATURE_AFFINITY   (1u << 0) /* discount for cached prefixes */
#define DFF_FEATURE_CORRECTION (1u << 1) /* add own load since a report */
#define DFF_FEATURE_PEERS      (1u << 2) /* add peers' load since a report */
#define DFF_FEATURE_ADMISSION  (1u << 3) /* refuse by predicted time */
#define DFF_FEATURE_SLACK      (1u << 4) /* queue by due time, not arrival */
#define DFF_FEATURE_WEIGHTS    (1u << 5) /* owners' weights in the queue */
#define DFF_FEATURE_EJECTION   (1u << 6) /* no calls to failing upstreams */
#define DFF_FEATURE_LEARNING   (1u << 7) /* learn output lengths, speeds */
#define DFF_FEATURE_SAMPLING   (1u << 8) /* choose among a sample */

/**
 * struct dff_policy_call - one call, as the policy sees it
 * @handle: handle of the call
 * @entry: index of its entry in the catalogue in force
 * @arrived_at: time of arrival
 * @prompt_tokens: estimated prompt tokens
 * @max_tokens: limit on output tokens
 * @delivered: output tokens that the caller already has
 * @body_hash: hash of the request body
 * @prefix: prefix hashes, borrowed; must live as long as the call waits
 * @prefix_count: length of @prefix
 * @attempts: attempts so far
 * @suspect: it ran on an engine that crashed
 * @avoid_vm: VM id of an upstream to avoid, or ""
 */
typedef struct dff_policy_call {
	uint64_t handle;
	uint32_t entry;
	dff_time_t arrived_at;
	uint32_t prompt_tokens;
	uint32_t max_tokens;
	uint32_t delivered;
	uint64_t body_hash;
	const uint64_t *prefix;
	size_t prefix_count;
	uint32_t attempts;
	bool suspect;
	char avoid_vm[DFF_NAME_MAX];
} dff_policy_call_t;

/** enum dff_decision_kind - what to do with a call */
typedef enum dff_decision_kind {
	DFF_DECISION_RUN,
	DFF_DECISION_WAIT,
	DFF_DECISION_REFUSE,
} dff_decision_kind_t;

/**
 * struct dff_decision - decision on a call
 * @kind: run, wait or refuse
 * @call: handle of the call
 * @vm: with RUN, VM id of the upstream
 * @addr: with RUN, address of the upstream
 * @prefill_vm: with RUN, VM id of an engine that prefills first, or ""
 * @prefill_addr: address of that engine
 * @first_token: with RUN, predicted time from now to the first token
 * @total_time: with RUN, predicted time from now to the end of the answer
 * @cached_tokens: with RUN, prompt tokens expected to be cached there
 * @status: with REFUSE, HTTP status
 * @code: with REFUSE, stable code, a string constant
 * @retry_after: with REFUSE, time after which the caller may retry
 * @reason: figures behind the decision, for the log line
 */
typedef struct dff_decision {
	dff_decision_kind_t kind;
	uint64_t call;
	char vm[DFF_NAME_MAX];
	char addr[DFF_ADDR_MAX];
	char prefill_vm[DFF_NAME_MAX];
	char prefill_addr[DFF_ADDR_MAX];
	dff_time_t first_token;
	dff_time_t total_time;
	uint32_t cached_tokens;
	int status;
	const char *code;
	dff_time_t retry_after;
	char reason[160];
} dff_decision_t;

/** enum dff_attempt_outcome - how an attempt ended */
typedef enum dff_attempt_outcome {
	DFF_ATTEMPT_DONE,
	DFF_ATTEMPT_CANCELLED,
	DFF_ATTEMPT_REJECTED,
	DFF_ATTEMPT_BROKEN,
	DFF_ATTEMPT_TIMEOUT,
	DFF_ATTEMPT_CONNECT_FAILED,
} dff_attempt_outcome_t;

/** typedef dff_policy_t - the policy of one node */
typedef struct dff_policy dff_policy_t;

/** dff_policy_new() - create a policy without a fleet; the caller drops it */
dff_policy_t *dff_policy_new(dff_ctx_t *ctx, const dff_policy_config_t *config);

/** dff_policy_drop() - free the policy; NULL is allowed */
void dff_policy_drop(dff_policy_t *policy);

/**
 * dff_policy_set_catalogue() - replace the catalogue in force
 *
 * Waiting calls whose entry was removed are refused by
 * dff_policy_decide_next(). Entry indexes of calls offered from now on refer to
 * @cat; calls that already wait and learned state are mapped by entry name.
 */
void dff_policy_set_catalogue(
    dff_ctx_t *ctx, dff_policy_t *policy, dff_catalogue_t *cat);

/** dff_policy_set_vms() - replace the VM list */
void dff_policy_set_vms(dff_ctx_t *ctx, dff_policy_t *policy,
    const dff_vm_t *vms, size_t count, dff_time_t now);

/** dff_policy_apply_report() - apply an upstream's load report */
void dff_policy_apply_report(dff_ctx_t *ctx, dff_policy_t *policy,
    const dff_ev_engine_report_t *report, dff_time_t now);

/** dff_policy_apply_cache_events() - apply cache events of an engine */
void dff_policy_apply_cache_events(dff_ctx_t *ctx, dff_policy_t *policy,
    const dff_ev_engine_cache_t *cache, dff_time_t now);

/** dff_policy_set_drain() - stop or resume sending calls to an upstream */
void dff_policy_set_drain(
    dff_ctx_t *ctx, dff_policy_t *policy, const char *vm, bool on);

/**
 * dff_policy_set_peer_load() - set a peer's reported load on an upstream
 * @peer: VM id of the peer
 * @vm: VM id of the upstream
 */
void dff_policy_set_peer_load(dff_ctx_t *ctx, dff_policy_t *policy,
    const char *peer, const char *vm, uint32_t running, uint64_t prefill_tokens,
    uint64_t decode_tokens, dff_time_t now);

/** dff_policy_set_peer_use() - set an owner's use of an entry at a peer */
void dff_policy_set_peer_use(dff_ctx_t *ctx, dff_policy_t *policy,
    const char *peer, const char *owner, const char *entry, uint32_t running,
    uint32_t waiting, double rate, dff_time_t now);

/** dff_policy_drop_peer() - forget the load and use at a removed peer */
void dff_policy_drop_peer(
    dff_ctx_t *ctx, dff_policy_t *policy, const char *peer);

/**
 * dff_policy_set_visible_nodes() - set how many entry nodes are visible
 * @visible: live nodes, including this one
 * @total: nodes in the VM list, including this one
 *
 * Limits of owners and entries are scaled by @visible / @total.
 */
void dff_policy_set_visible_nodes(
    dff_policy_t *policy, uint32_t visible, uint32_t total);

/** dff_policy_offer() - decide on a new call or on a further attempt */
void dff_policy_offer(dff_ctx_t *ctx, dff_policy_t *policy,
    const dff_policy_call_t *call, dff_time_t now, dff_decision_t *decision);

/**
 * dff_policy_decide_next() - decide on a waiting call, if one can be decided
 *
 * Return: true with a decision to run or to refuse; call again until false.
 */
bool dff_policy_decide_next(dff_ctx_t *ctx, dff_policy_t *policy,
    dff_time_t now, dff_decision_t *decision);

/** dff_policy_next_check() - when to call dff_policy_decide_next() again */
dff_time_t dff_policy_next_check(const dff_policy_t *policy, dff_time_t now);

/** dff_policy_remove_waiting() - remove a call that has ended while waiting */
void dff_policy_remove_waiting(dff_policy_t *policy, uint64_t call);

/** dff_policy_begin_attempt() - record that an attempt was sent */
void dff_policy_begin_attempt(dff_ctx_t *ctx, dff_policy_t *policy,
    uint64_t attempt_id, const dff_policy_call_t *call, const char *vm,
    uint32_t cached_tokens, dff_time_t now);

/** dff_policy_add_tokens() - record output tokens of an attempt */
void dff_policy_add_tokens(dff_ctx_t *ctx, dff_policy_t *policy,
    uint64_t attempt_id, uint32_t count, dff_time_t now);

/**
 * dff_policy_end_attempt() - record the end of an attempt
 * @usage: usage that the engine reported, or NULL
 */
void dff_policy_end_attempt(dff_ctx_t *ctx, dff_policy_t *policy,
    uint64_t attempt_id, dff_attempt_outcome_t outcome,
    const dff_ev_attempt_end_t *usage, dff_time_t now);

/** struct dff_upstream_load - outstanding load of this node on one upstream */
typedef struct dff_upstream_load {
	char vm[DFF_NAME_MAX];
	uint32_t running;
	uint64_t prefill_tokens;
	uint64_t decode_tokens;
} dff_upstream_load_t;

/**
 * dff_policy_list_loads() - list this node's load on each upstream
 *
 * Return: the number of upstreams, which may exceed @max.
 */
size_t dff_policy_list_loads(
    const dff_policy_t *policy, dff_upstream_load_t *loads, size_t max);

/** struct dff_owner_use - an owner's use of an entry at this node */
typedef struct dff_owner_use {
	char owner[DFF_NAME_MAX];
	char entry[DFF_NAME_MAX];
	uint32_t running;
	uint32_t waiting;
	double rate;
} dff_owner_use_t;

/**
 * dff_policy_list_owner_uses() - list owners' use at this node
 *
 * Return: the number of owner and entry pairs, which may exceed @max.
 */
size_t dff_policy_list_owner_uses(
    const dff_policy_t *policy, dff_owner_use_t *uses, size_t max);

/**
 * dff_policy_status() - text for the status page, one line per upstream
 *
 * Return: a malloc'ed string; the caller frees it.
 */
char *dff_policy_status(const dff_policy_t *policy, dff_time_t now);

/* ---- role changes, proposed at the authority ---- */

/** struct dff_role_change - a proposed change of role */
typedef struct dff_role_change {
	char vm[DFF_NAME_MAX];
	dff_role_t role;
	char reason[160];
} dff_role_change_t;

/** typedef dff_roles_t - controller that proposes role changes */
typedef struct dff_roles dff_roles_t;

/** dff_roles_new() - create a controller; the caller drops it */
dff_roles_t *dff_roles_new(dff_ctx_t *ctx);

/** dff_roles_drop() - free the controller; NULL is allowed */
void dff_roles_drop(dff_roles_t *roles);

/** dff_roles_set_catalogue() - replace the catalogue in force */
void dff_roles_set_catalogue(dff_roles_t *roles, dff_catalogue_t *cat);

/** dff_roles_set_vms() - replace the VM list */
void dff_roles_set_vms(
    dff_roles_t *roles, const dff_vm_t *vms, size_t count, dff_time_t now);

/** dff_roles_apply_report() - apply an engine's load report */
void dff_roles_apply_report(dff_ctx_t *ctx, dff_roles_t *roles,
    const dff_ev_engine_report_t *report, dff_time_t now);

/**
 * dff_roles_propose() - find a role change that is worth its cost
 * @domain: consider only engines of this failure domain; "" for any
 *
 * Return: true with @change set.
 */
bool dff_roles_propose(dff_ctx_t *ctx, dff_roles_t *roles, const char *domain,
    dff_time_t now, dff_role_change_t *change);

/** dff_roles_record_change() - record that a proposed change was accepted */
void dff_roles_record_change(
    dff_roles_t *roles, const dff_role_change_t *change, dff_time_t now);

#endif
