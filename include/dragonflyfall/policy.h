/*
 * The policy: which upstream gets a call, which call waits and which is
 * refused at once. It knows the fleet from the VM list, late load reports,
 * gappy cache events, its own sent work and what peers say that they sent.
 */
#ifndef DRAGONFLYFALL_POLICY_H
#define DRAGONFLYFALL_POLICY_H

#include "dragonflyfall/catalogue.h"

/** enum dff_policy_kind - the policy proper, and baselines to compare with */
typedef enum dff_policy_kind {
	DFF_POLICY_PREDICT,
	DFF_POLICY_ROUND_ROBIN,
	DFF_POLICY_LEAST_OUTSTANDING,
} dff_policy_kind_t;

/**
 * struct dff_policy_config - settings of the policy
 * @kind: policy
 * @domain: failure domain of this node
 * @parts_off: bit set of DFF_PART_* that are turned off, for measurements
 */
typedef struct dff_policy_config {
	dff_policy_kind_t kind;
	char domain[DFF_NAME_MAX];
	uint32_t parts_off;
} dff_policy_config_t;

#define DFF_PART_AFFINITY   (1u << 0) /* prefix-cache discount */
#define DFF_PART_CORRECTION (1u << 1) /* own work since the report */
#define DFF_PART_PEERS	    (1u << 2) /* peers' work since the report */
#define DFF_PART_ADMISSION  (1u << 3) /* refusal by predicted time */
#define DFF_PART_SLACK	    (1u << 4) /* queue by slack, not by arrival */
#define DFF_PART_WEIGHTS    (1u << 5) /* owners' weights */
#define DFF_PART_EJECTION   (1u << 6) /* outliers get no new work */
#define DFF_PART_LEARNING   (1u << 7) /* learned output length, speeds */
#define DFF_PART_SAMPLING   (1u << 8) /* sample a few, then choose */

/**
 * struct dff_work - one call as the policy sees it
 * @call: handle of the call
 * @entry: index of its entry in the catalogue in force
 * @arrived: moment it arrived
 * @prompt_tokens: estimated prompt tokens
 * @max_tokens: bound on output tokens
 * @delivered: output tokens that the caller already has
 * @body_hash: hash of the request
 * @prefix: prefix hashes, borrowed; must live as long as the call waits
 * @prefix_count: how many
 * @tries: tries so far
 * @suspect: it was on an engine that crashed
 * @avoid: VM id that should not get it again, or ""
 */
typedef struct dff_work {
	uint64_t call;
	uint32_t entry;
	dff_time_t arrived;
	uint32_t prompt_tokens;
	uint32_t max_tokens;
	uint32_t delivered;
	uint64_t body_hash;
	const uint64_t *prefix;
	size_t prefix_count;
	uint32_t tries;
	bool suspect;
	char avoid[DFF_NAME_MAX];
} dff_work_t;

/** enum dff_decide - what is to be done with a call */
typedef enum dff_decide {
	DFF_DECIDE_RUN,
	DFF_DECIDE_WAIT,
	DFF_DECIDE_REFUSE,
} dff_decide_t;

/**
 * struct dff_decision - decision on a call
 * @what: decision
 * @call: handle of the call
 * @vm: with RUN, VM id of the upstream
 * @addr: with RUN, its address
 * @prefill_vm: with RUN, VM id of an engine that prefills first, or ""
 * @prefill_addr: its address
 * @first_token: with RUN, predicted time to the first token from now
 * @whole: with RUN, predicted time to the whole answer from now
 * @cached_tokens: with RUN, prompt tokens believed to be cached there
 * @status: with REFUSE, HTTP status
 * @code: with REFUSE, stable code, a string constant
 * @retry_after: with REFUSE, when to come back
 * @why: reasons that decided it, for the log line
 */
typedef struct dff_decision {
	dff_decide_t what;
	uint64_t call;
	char vm[DFF_NAME_MAX];
	char addr[DFF_ADDR_MAX];
	char prefill_vm[DFF_NAME_MAX];
	char prefill_addr[DFF_ADDR_MAX];
	dff_time_t first_token;
	dff_time_t whole;
	uint32_t cached_tokens;
	int status;
	const char *code;
	dff_time_t retry_after;
	char why[160];
} dff_decision_t;

/** enum dff_try_outcome - how a try ended, for the policy */
typedef enum dff_try_outcome {
	DFF_TRY_DONE,
	DFF_TRY_CANCELLED,
	DFF_TRY_REJECTED,
	DFF_TRY_BROKEN,
	DFF_TRY_TIMEOUT,
	DFF_TRY_CONNECT,
} dff_try_outcome_t;

/** typedef dff_policy_t - the policy of one node */
typedef struct dff_policy dff_policy_t;

/** dff_policy_new() - policy without a fleet; the caller drops it */
dff_policy_t *dff_policy_new(dff_ctx_t *ctx, const dff_policy_config_t *config);

/** dff_policy_drop() - free the policy; NULL is allowed */
void dff_policy_drop(dff_policy_t *policy);

/** dff_policy_set_catalogue() - follow the catalogue in force
 *
 * Waiting calls whose entry is gone come back from dff_policy_next().
 * Entry indexes in works offered from now on are those of @cat; the policy
 * maps what it holds by name.
 */
void dff_policy_set_catalogue(
    dff_ctx_t *ctx, dff_policy_t *policy, dff_catalogue_t *cat);

/** dff_policy_load_vms() - follow the VM list */
void dff_policy_load_vms(dff_ctx_t *ctx, dff_policy_t *policy,
    const dff_vm_t *vms, size_t count, dff_time_t now);

/** dff_policy_load_report() - an upstream's load report */
void dff_policy_load_report(dff_ctx_t *ctx, dff_policy_t *policy,
    const dff_ev_engine_report_t *report, dff_time_t now);

/** dff_policy_load_cache() - cache events of an engine */
void dff_policy_load_cache(dff_ctx_t *ctx, dff_policy_t *policy,
    const dff_ev_engine_cache_t *cache, dff_time_t now);

/** dff_policy_set_drain() - an upstream is marked to get no work, or not */
void dff_policy_set_drain(
    dff_ctx_t *ctx, dff_policy_t *policy, const char *vm, bool on);

/**
 * dff_policy_set_peer_work() - what a peer says that it has at an upstream
 * @peer: VM id of the peer
 * @vm: VM id of the upstream
 */
void dff_policy_set_peer_work(dff_ctx_t *ctx, dff_policy_t *policy,
    const char *peer, const char *vm, uint32_t running, uint64_t prefill_tokens,
    uint64_t decode_tokens, dff_time_t now);

/** dff_policy_set_peer_use() - an owner's use of an entry at a peer */
void dff_policy_set_peer_use(dff_ctx_t *ctx, dff_policy_t *policy,
    const char *peer, const char *owner, const char *entry, uint32_t running,
    uint32_t waiting, double rate, dff_time_t now);

/** dff_policy_drop_peer() - a peer is gone */
void dff_policy_drop_peer(
    dff_ctx_t *ctx, dff_policy_t *policy, const char *peer);

/**
 * dff_policy_set_alone() - how many entry nodes there are, and are seen
 * @seen: live nodes, this one among them
 * @all: nodes in the VM list, this one among them
 *
 * With few seen, owners' limits shrink to a fraction.
 */
void dff_policy_set_alone(dff_policy_t *policy, uint32_t seen, uint32_t all);

/** dff_policy_offer() - decide on a call that is new or is tried again */
void dff_policy_offer(dff_ctx_t *ctx, dff_policy_t *policy,
    const dff_work_t *work, dff_time_t now, dff_decision_t *decision);

/**
 * dff_policy_next() - decide on one waiting call, if one can be decided
 *
 * Return: true with a decision to run or to refuse; call again until false.
 */
bool dff_policy_next(dff_ctx_t *ctx, dff_policy_t *policy, dff_time_t now,
    dff_decision_t *decision);

/** dff_policy_wake() - moment at which dff_policy_next() may say more */
dff_time_t dff_policy_wake(const dff_policy_t *policy, dff_time_t now);

/** dff_policy_leave() - a waiting call is over */
void dff_policy_leave(dff_policy_t *policy, uint64_t call);

/** dff_policy_begin() - a try was sent as decided */
void dff_policy_begin(dff_ctx_t *ctx, dff_policy_t *policy, uint64_t attempt,
    const dff_work_t *work, const char *vm, uint32_t cached_tokens,
    dff_time_t now);

/** dff_policy_tokens() - a try gave tokens */
void dff_policy_tokens(dff_ctx_t *ctx, dff_policy_t *policy, uint64_t attempt,
    uint32_t count, dff_time_t now);

/**
 * dff_policy_end() - a try is over
 * @usage: usage that the engine told, or NULL
 */
void dff_policy_end(dff_ctx_t *ctx, dff_policy_t *policy, uint64_t attempt,
    dff_try_outcome_t outcome, const dff_ev_attempt_end_t *usage,
    dff_time_t now);

/**
 * struct dff_policy_use - what this node has at one upstream
 */
typedef struct dff_policy_use {
	char vm[DFF_NAME_MAX];
	uint32_t running;
	uint64_t prefill_tokens;
	uint64_t decode_tokens;
} dff_policy_use_t;

/** dff_policy_work() - what this node has at each upstream; returns how many */
size_t dff_policy_work(
    const dff_policy_t *policy, dff_policy_use_t *uses, size_t max);

/**
 * struct dff_owner_use - an owner's use of an entry at this node
 */
typedef struct dff_owner_use {
	char owner[DFF_NAME_MAX];
	char entry[DFF_NAME_MAX];
	uint32_t running;
	uint32_t waiting;
	double rate;
} dff_owner_use_t;

/** dff_policy_owners() - owners' use at this node; returns how many */
size_t dff_policy_owners(
    const dff_policy_t *policy, dff_owner_use_t *uses, size_t max);

/** dff_policy_status() - text for the status page, one line an upstream,
 *	malloc'ed; the caller frees it */
char *dff_policy_status(const dff_policy_t *policy, dff_time_t now);

/* ---- role changes, decided beside the authority ---- */

/**
 * struct dff_role_change - a change of role that pays
 */
typedef struct dff_role_change {
	char vm[DFF_NAME_MAX];
	dff_role_t role;
	char why[160];
} dff_role_change_t;

/** typedef dff_roles_t - controller of role changes */
typedef struct dff_roles dff_roles_t;

/** dff_roles_new() - controller; the caller drops it */
dff_roles_t *dff_roles_new(dff_ctx_t *ctx);

/** dff_roles_drop() - free the controller; NULL is allowed */
void dff_roles_drop(dff_roles_t *roles);

/** dff_roles_set_catalogue() - follow the catalogue */
void dff_roles_set_catalogue(dff_roles_t *roles, dff_catalogue_t *cat);

/** dff_roles_load_vms() - follow the VM list */
void dff_roles_load_vms(
    dff_roles_t *roles, const dff_vm_t *vms, size_t count, dff_time_t now);

/** dff_roles_load_report() - an engine's load report */
void dff_roles_load_report(dff_ctx_t *ctx, dff_roles_t *roles,
    const dff_ev_engine_report_t *report, dff_time_t now);

/**
 * dff_roles_propose() - the change of role that pays most, if any does
 * @domain: only engines of this failure domain; "" for any
 *
 * Return: true with @change set.
 */
bool dff_roles_propose(dff_ctx_t *ctx, dff_roles_t *roles, const char *domain,
    dff_time_t now, dff_role_change_t *change);

/** dff_roles_note() - a proposed change was taken up */
void dff_roles_note(
    dff_roles_t *roles, const dff_role_change_t *change, dff_time_t now);

#endif
