/*
 * State shared by the modules of the policy. Private to source/policy.
 */
#ifndef DFF_POLICY_STATE_H
#define DFF_POLICY_STATE_H

#include <glib.h>

#include "dragonflyfall/policy.h"

/*
 * Load samples kept per upstream, to look up the load at the time of a report.
 */
#define SAMPLE_COUNT 64
/* Shortest time between two samples. */
#define SAMPLE_INTERVAL (50 * DFF_MSEC)
/* Age from which a load report is ignored. */
#define REPORT_MAX_AGE (10 * DFF_SEC)
/* Age from which load and use reported by a peer are ignored. */
#define PEER_MAX_AGE (3 * DFF_SEC)
/*
 * Owners whose weighted use differs by less than this factor are served by due
 * time alone.
 */
#define WEIGHT_TOLERANCE 1.3
/* Buckets of the output length histogram, four per doubling. */
#define LENGTH_BUCKETS 72

/**
 * struct load - load on one upstream: calls, and tokens still to be processed
 */
typedef struct load {
	double running;
	double prefill;
	double decode;
} load_t;

/** struct sample - load of this node and its peers on an upstream at a time */
typedef struct sample {
	dff_time_t at;
	load_t outstanding;
} sample_t;

/** struct peer_load - load on an upstream that a peer reported */
typedef struct peer_load {
	uint32_t peer;
	dff_time_t at;
	load_t load;
} peer_load_t;

/** struct prefix_cache - prefix blocks expected to be cached at one engine */
typedef struct prefix_cache {
	GHashTable *blocks;
	dff_time_t gap_at;
	double accuracy; /* fraction of the expected tokens that were cached */
} prefix_cache_t;

/** struct upstream - one upstream of the fleet */
typedef struct upstream {
	dff_vm_t vm;
	int pool;
	uint32_t pool_position; /* index in the pool, by VM id */
	bool removed;
	bool drained;

	bool has_report;
	bool changing_role;
	bool model_mismatch;
	bool prev_batch_full; /* the previous report showed a full batch */
	uint32_t prev_running;
	dff_time_t report_taken_at;
	uint64_t incarnation;
	dff_role_t role;
	load_t reported_load;
	uint32_t waiting;
	uint32_t free_pieces;
	uint32_t total_pieces;
	double step_us;
	double prefill_us;
	double slowness;

	load_t load_at_report;
	load_t own_load;
	load_t peers_load;
	GArray *peer_loads;
	sample_t samples[SAMPLE_COUNT];
	uint32_t sample_next;
	dff_time_t last_used_at;

	uint32_t suspects;
	uint32_t failures;
	uint32_t ejections;
	dff_time_t ejected_until;

	prefix_cache_t cache;
} upstream_t;

/** struct lengths - decaying histogram of output lengths */
typedef struct lengths {
	double count[LENGTH_BUCKETS];
	double total;
	double mean;
} lengths_t;

/** struct fit - least squares line through (x, y), with decaying weights */
typedef struct fit {
	double n;
	double x;
	double y;
	double xx;
	double xy;
} fit_t;

/** struct entry_state - what was learned of an entry, kept by its name */
typedef struct entry_state {
	lengths_t lengths;
	double service_us;
} entry_state_t;

/** struct pool_state - what was learned of a pool, kept by its name */
typedef struct pool_state {
	int index;
	GPtrArray *upstreams;
	fit_t step;
	fit_t first_token;
	double first_token_margin;
	double pace_ratio;
	double batch_cap; /* 0 if unknown */
	dff_time_t batch_cap_at; /* time of the last confirmation */
	double retry_tokens;
	uint32_t next_index;
	uint32_t waiting;
	uint32_t full_epoch; /* epoch without room at any engine */
	dff_time_t counted_at; /* time of the next two counts */
	uint32_t usable;
	uint32_t peers_waiting;
} pool_state_t;

/** struct use - an owner's use of an entry, at this node or at a peer */
typedef struct use {
	uint32_t running;
	uint32_t waiting;
	double rate;
	dff_time_t at;
} use_t;

/** struct account - this node's use by an owner, or by an owner of one entry */
typedef struct account {
	uint32_t running;
	uint32_t waiting;
	double rate;
	dff_time_t rate_at;
	double bucket;
	dff_time_t bucket_at;
	double served;
	dff_time_t served_at;
	struct account_pair *pairs; /* of an owner */
} account_t;

/** struct account_pair - use of one entry by one owner, here and at peers */
typedef struct account_pair {
	char owner[DFF_NAME_MAX];
	char entry[DFF_NAME_MAX];
	account_t local;
	GHashTable *peers;
	struct account_pair *next; /* next pair of the same owner */
} account_pair_t;

/** struct waiting - a waiting call */
typedef struct waiting {
	dff_policy_call_t call;
	dff_time_t due;
	dff_time_t decided_at;
	uint32_t epoch;
	double cost;
	uint32_t owner;
	uint32_t pool;
	bool entry_removed;
} waiting_t;

/** struct attempt - an attempt that was sent to an upstream */
typedef struct attempt {
	upstream_t *up;
	char entry[DFF_NAME_MAX];
	char owner[DFF_NAME_MAX];
	load_t remaining;
	uint32_t prompt_tokens;
	uint32_t cached_tokens;
	uint32_t tokens;
	dff_time_t started_at;
	dff_time_t first_token_at;
	double predicted_first_us;
	double queued_tokens;
	double step_us;
	double cost;
	bool suspect;
	uint64_t *prefix;
	size_t prefix_count;
} attempt_t;

struct dff_policy {
	dff_policy_config_t config;
	dff_catalogue_t *cat;
	const dff_entry_t *entries;
	const dff_class_t *classes;
	const dff_pool_t *pools;
	const dff_owner_t *owners;
	uint32_t entry_count;
	uint32_t pool_count;
	uint32_t owner_count;
	uint32_t visible_nodes;
	uint32_t total_nodes;

	GHashTable *upstreams; /* VM id to upstream_t */
	GHashTable *peer_ids; /* VM id to number */
	GHashTable *entry_states; /* name to entry_state_t */
	GHashTable *pool_states; /* name to pool_state_t */
	pool_state_t **pool_by_index; /* by index in the catalogue */
	entry_state_t **entry_by_index; /* by index in the catalogue */
	account_t **owner_by_index; /* by index in the catalogue */
	GHashTable *pairs; /* "owner\nentry" to account_pair_t */
	GHashTable *owner_accounts; /* name to account_t */
	GHashTable *attempts; /* number to attempt_t */
	GPtrArray *waiting; /* waiting_t, by due time */
	uint32_t epoch; /* incremented when capacity may have become free */
};

/** feature_enabled() - whether a feature of the policy is turned on */
static inline bool
feature_enabled(const dff_policy_t *policy, uint32_t feature)
{
	return (policy->config.features_off & feature) == 0;
}

/* ---- fleet.c ---- */

upstream_t *dff_fleet_find(const dff_policy_t *policy, const char *vm);
void dff_fleet_index(dff_policy_t *policy);
void dff_fleet_sample(
    const dff_policy_t *policy, upstream_t *up, dff_time_t now);
/* Whether the last report is recent enough to rely on. */
bool dff_fleet_has_fresh_report(const upstream_t *up, dff_time_t now);
load_t dff_fleet_load(
    const dff_policy_t *policy, const upstream_t *up, dff_time_t now);
bool dff_fleet_is_usable(
    const dff_policy_t *policy, const upstream_t *up, dff_time_t now);
void dff_fleet_record_failure(dff_policy_t *policy, upstream_t *up,
    dff_attempt_outcome_t outcome, dff_time_t now);
void dff_fleet_record_success(upstream_t *up);
void dff_fleet_remove_if_idle(dff_policy_t *policy, upstream_t *up);
void dff_upstream_drop(gpointer data);

/* ---- cost.c ---- */

void dff_lengths_add(lengths_t *lengths, uint32_t tokens);
double dff_lengths_quantile(const lengths_t *lengths, double quantile);
void dff_fit_add(fit_t *fit, double x, double y, double decay);
bool dff_fit_line(const fit_t *fit, double *base, double *slope);
double dff_cost_step_time(
    const dff_policy_t *policy, const upstream_t *up, double batch);
double dff_cost_output_tokens(
    const dff_policy_t *policy, const dff_policy_call_t *call, double quantile);
double dff_cost_first_token(
    const dff_policy_t *policy, const upstream_t *up, double tokens);
double dff_cost_first_token_margin(
    const dff_policy_t *policy, const pool_state_t *pool);
double dff_cost_pace_ratio(
    const dff_policy_t *policy, const pool_state_t *pool);
void dff_cost_learn_first_token(
    pool_state_t *pool, const attempt_t *attempt, dff_time_t now);
void dff_cost_learn_pace(
    pool_state_t *pool, const attempt_t *attempt, dff_time_t now);
double dff_cost_pieces(double tokens);

/* ---- cache.c ---- */

void dff_cache_init(prefix_cache_t *cache);
void dff_cache_clear(prefix_cache_t *cache);
void dff_cache_fini(prefix_cache_t *cache);
uint32_t dff_cache_match(const prefix_cache_t *cache, const uint64_t *prefix,
    size_t count, dff_time_t now);
void dff_cache_store(prefix_cache_t *cache, const uint64_t *prefix,
    size_t count, dff_time_t now);
void dff_cache_evict(
    prefix_cache_t *cache, const uint64_t *prefix, size_t count);
void dff_cache_correct(prefix_cache_t *cache, uint32_t expected,
    uint32_t cached, const uint64_t *prefix, size_t count, dff_time_t now);

/* ---- limit.c ---- */

account_t *dff_limit_owner(dff_policy_t *policy, const char *owner);
account_pair_t *dff_limit_pair(
    dff_policy_t *policy, const char *owner, const char *entry);
void dff_limit_drop_pair(gpointer data);
void dff_limit_count_arrival(
    dff_policy_t *policy, const dff_entry_t *entry, dff_time_t now);
dff_time_t dff_limit_take_rate(
    dff_policy_t *policy, const dff_entry_t *entry, dff_time_t now);
bool dff_limit_allows_running(
    dff_policy_t *policy, const dff_entry_t *entry, dff_time_t now);
void dff_limit_charge(
    dff_policy_t *policy, const char *owner, double cost, dff_time_t now);
double dff_limit_weighted_use(
    dff_policy_t *policy, uint32_t owner, dff_time_t now);
uint32_t dff_limit_peers_waiting(
    const dff_policy_t *policy, uint32_t pool, dff_time_t now);

/* ---- choose.c ---- */

/** struct forecast - predicted result of sending a call to an upstream */
typedef struct forecast {
	upstream_t *up;
	upstream_t *prefill_up;
	dff_time_t first_token;
	dff_time_t first_token_bound;
	dff_time_t token_gap;
	dff_time_t total_time;
	double queued_tokens;
	double step_us;
	uint32_t cached_tokens;
	double batch;
	double backlog_us;
	double cost;
	double score;
	bool in_time;
	bool has_room;
	bool full; /* no room for any call, whatever its size */
} forecast_t;

void dff_choose_forecast(const dff_policy_t *policy,
    const dff_policy_call_t *call, upstream_t *up, dff_time_t now,
    forecast_t *forecast);
bool dff_choose_upstream(dff_ctx_t *ctx, dff_policy_t *policy,
    const dff_policy_call_t *call, dff_time_t now, forecast_t *best);

/* ---- queue.c ---- */

void dff_queue_add(dff_policy_t *policy, const dff_policy_call_t *call,
    double cost, dff_time_t now);
void dff_queue_remove(dff_policy_t *policy, guint index);
guint dff_queue_pick(dff_policy_t *policy, dff_time_t now);
void dff_queue_sort(dff_policy_t *policy);
int dff_queue_find(const dff_policy_t *policy, uint64_t call);
double dff_queue_ahead(dff_policy_t *policy, const dff_policy_call_t *call,
    dff_time_t due, dff_time_t now);
dff_time_t dff_queue_due(
    const dff_policy_t *policy, const dff_policy_call_t *call);

/* ---- baseline.c ---- */

upstream_t *dff_baseline_choose(dff_ctx_t *ctx, dff_policy_t *policy,
    const dff_policy_call_t *call, dff_time_t now);

#endif
