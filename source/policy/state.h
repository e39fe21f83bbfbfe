/*
 * What the policy's modules share. An upstream is a row of the fleet, a
 * waiting call a row of the queue, a try a call that was sent. Private.
 */
#ifndef DFF_POLICY_STATE_H
#define DFF_POLICY_STATE_H

#include <glib.h>

#include "dragonflyfall/policy.h"

/* Samples of sent work kept an upstream, to look back to a report's time. */
#define SAMPLE_COUNT 64
/* Shortest time between two samples. */
#define SAMPLE_EVERY (50 * DFF_MSEC)
/* A report older than this says nothing any more. */
#define REPORT_STALE (10 * DFF_SEC)
/* What a peer said longer ago than this is forgotten. */
#define PEER_STALE (3 * DFF_SEC)
/* Owners whose use differs by less are served by slack alone. */
#define WEIGHT_SLACK 1.3
/* Buckets of the length histogram, four to a doubling. */
#define LENGTH_BUCKETS 72

/** struct load - work at one upstream: calls, and tokens still to be done */
typedef struct load {
	double running;
	double prefill;
	double decode;
} load_t;

/** struct sample - the sent work that was known at a moment */
typedef struct sample {
	dff_time_t at;
	load_t sent;
} sample_t;

/** struct peer_load - what a peer said that it has at an upstream */
typedef struct peer_load {
	uint32_t peer;
	dff_time_t at;
	load_t load;
} peer_load_t;

/** struct prefix_cache - prefix blocks believed to be held by one engine */
typedef struct prefix_cache {
	GHashTable *blocks;
	dff_time_t gap_at;
	double trust; /* part of what was believed that was there */
} prefix_cache_t;

/** struct upstream - one upstream of the fleet */
typedef struct upstream {
	dff_vm_t vm;
	int pool;
	uint32_t place; /* in its pool, by VM id */
	bool gone;
	bool drained;

	bool reported;
	bool changing;
	bool wrong_model;
	bool was_full; /* calls waited at the report before */
	uint32_t was_running;
	dff_time_t taken;
	uint64_t incarnation;
	dff_role_t role;
	load_t said;
	uint32_t waiting;
	uint32_t free_pieces;
	uint32_t total_pieces;
	double step_us;
	double prefill_us;
	double slowness;

	load_t base;
	load_t own;
	load_t peers;
	GArray *peer_loads;
	sample_t samples[SAMPLE_COUNT];
	uint32_t sample_next;
	dff_time_t touched;

	uint32_t suspects;
	uint32_t failures;
	uint32_t ejections;
	dff_time_t ejected_until;

	prefix_cache_t cache;
} upstream_t;

/** struct lengths - decayed histogram of output lengths */
typedef struct lengths {
	double count[LENGTH_BUCKETS];
	double total;
	double mean;
} lengths_t;

/** struct fit - decayed least squares of a line through (x, y) */
typedef struct fit {
	double n;
	double x;
	double y;
	double xx;
	double xy;
} fit_t;

/** struct entry_state - what is learned of an entry, kept by its name */
typedef struct entry_state {
	lengths_t lengths;
	double service_us;
} entry_state_t;

/** struct pool_state - what is learned of a pool, kept by its name */
typedef struct pool_state {
	int index;
	GPtrArray *upstreams;
	fit_t step;
	fit_t first;
	double first_margin;
	double stretch;
	double batch_cap; /* 0 unknown */
	dff_time_t batch_cap_at; /* moment it was last confirmed */
	double retry_tokens;
	uint32_t turn;
	uint32_t waiting;
	uint32_t full_round; /* round in which no engine took any call */
	dff_time_t counted_at; /* moment of the next two */
	uint32_t usable;
	uint32_t peers_waiting;
} pool_state_t;

/** struct use - an owner's use of an entry, here or at a peer */
typedef struct use {
	uint32_t running;
	uint32_t waiting;
	double rate;
	dff_time_t at;
} use_t;

/** struct account - an owner's, or an entry's, use over all nodes */
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

/** struct account_pair - own use of one entry by one owner */
typedef struct account_pair {
	char owner[DFF_NAME_MAX];
	char entry[DFF_NAME_MAX];
	account_t here;
	GHashTable *peers;
	struct account_pair *next; /* of the same owner */
} account_pair_t;

/** struct waiting - a call that waits */
typedef struct waiting {
	dff_work_t work;
	dff_time_t due;
	dff_time_t tried;
	uint32_t round;
	double cost;
	uint32_t owner;
	uint32_t pool;
	bool orphan;
} waiting_t;

/** struct attempt - a call that was sent to an upstream */
typedef struct attempt {
	upstream_t *up;
	char entry[DFF_NAME_MAX];
	char owner[DFF_NAME_MAX];
	load_t left;
	uint32_t prompt_tokens;
	uint32_t cached_tokens;
	uint32_t tokens;
	dff_time_t began;
	dff_time_t first_at;
	double first_us;
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
	uint32_t seen;
	uint32_t all;

	GHashTable *upstreams; /* VM id to upstream_t */
	GHashTable *peer_ids; /* VM id to number */
	GHashTable *entry_states; /* name to entry_state_t */
	GHashTable *pool_states; /* name to pool_state_t */
	pool_state_t **pool_at; /* by index in the catalogue */
	entry_state_t **entry_at; /* by index in the catalogue */
	account_t **owner_at; /* by index in the catalogue */
	GHashTable *pairs; /* "owner\nentry" to account_pair_t */
	GHashTable *owner_accounts; /* name to account_t */
	GHashTable *attempts; /* number to attempt_t */
	GPtrArray *waiting; /* waiting_t, by due time */
	uint32_t round; /* grows when there may be more room */
};

/** part_on() - whether a part of the policy is in use */
static inline bool
part_on(const dff_policy_t *policy, uint32_t part)
{
	return (policy->config.parts_off & part) == 0;
}

/* ---- fleet.c ---- */

upstream_t *dff_fleet_find(const dff_policy_t *policy, const char *vm);
void dff_fleet_index(dff_policy_t *policy);
void dff_fleet_sample(
    const dff_policy_t *policy, upstream_t *up, dff_time_t now);
/* Its load is known: it reported not long ago. */
bool dff_fleet_fresh(const upstream_t *up, dff_time_t now);
load_t dff_fleet_load(
    const dff_policy_t *policy, const upstream_t *up, dff_time_t now);
bool dff_fleet_usable(
    const dff_policy_t *policy, const upstream_t *up, dff_time_t now);
void dff_fleet_failed(dff_policy_t *policy, upstream_t *up,
    dff_try_outcome_t outcome, dff_time_t now);
void dff_fleet_worked(upstream_t *up);
void dff_fleet_release(dff_policy_t *policy, upstream_t *up);
void dff_upstream_drop(gpointer data);

/* ---- cost.c ---- */

void dff_lengths_add(lengths_t *lengths, uint32_t tokens);
double dff_lengths_quantile(const lengths_t *lengths, double quantile);
void dff_fit_add(fit_t *fit, double x, double y, double keep);
bool dff_fit_line(const fit_t *fit, double *base, double *slope);
double dff_cost_step(
    const dff_policy_t *policy, const upstream_t *up, double batch);
double dff_cost_output(
    const dff_policy_t *policy, const dff_work_t *work, double quantile);
double dff_cost_first(
    const dff_policy_t *policy, const upstream_t *up, double tokens);
double dff_cost_margin(const dff_policy_t *policy, const pool_state_t *pool);
double dff_cost_stretch(const dff_policy_t *policy, const pool_state_t *pool);
void dff_cost_learn_first(
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
void dff_cache_correct(prefix_cache_t *cache, uint32_t believed,
    uint32_t cached, const uint64_t *prefix, size_t count, dff_time_t now);

/* ---- limit.c ---- */

account_t *dff_limit_owner(dff_policy_t *policy, const char *owner);
account_pair_t *dff_limit_pair(
    dff_policy_t *policy, const char *owner, const char *entry);
void dff_limit_drop_pair(gpointer data);
void dff_limit_offered(
    dff_policy_t *policy, const dff_entry_t *entry, dff_time_t now);
dff_time_t dff_limit_rate(
    dff_policy_t *policy, const dff_entry_t *entry, dff_time_t now);
bool dff_limit_running(
    dff_policy_t *policy, const dff_entry_t *entry, dff_time_t now);
void dff_limit_serve(
    dff_policy_t *policy, const char *owner, double cost, dff_time_t now);
double dff_limit_served(dff_policy_t *policy, uint32_t owner, dff_time_t now);
uint32_t dff_limit_peers_waiting(
    const dff_policy_t *policy, uint32_t pool, dff_time_t now);

/* ---- choose.c ---- */

/** struct forecast - what sending a call to an upstream would bring */
typedef struct forecast {
	upstream_t *up;
	upstream_t *prefill_up;
	dff_time_t first;
	dff_time_t first_safe;
	dff_time_t gap;
	dff_time_t whole;
	double queued_tokens;
	double step_us;
	uint32_t cached;
	double batch;
	double ahead_us;
	double cost;
	double score;
	bool in_time;
	bool room;
	bool full; /* no room for any call, whatever its size */
} forecast_t;

void dff_choose_forecast(const dff_policy_t *policy, const dff_work_t *work,
    upstream_t *up, dff_time_t now, forecast_t *forecast);
bool dff_choose_upstream(dff_ctx_t *ctx, dff_policy_t *policy,
    const dff_work_t *work, dff_time_t now, forecast_t *best);

/* ---- queue.c ---- */

void dff_queue_add(
    dff_policy_t *policy, const dff_work_t *work, double cost, dff_time_t now);
void dff_queue_remove(dff_policy_t *policy, guint index);
guint dff_queue_pick(dff_policy_t *policy, dff_time_t now);
void dff_queue_sort(dff_policy_t *policy);
int dff_queue_find(const dff_policy_t *policy, uint64_t call);
double dff_queue_ahead(dff_policy_t *policy, const dff_work_t *work,
    dff_time_t due, dff_time_t now);
dff_time_t dff_queue_due(const dff_policy_t *policy, const dff_work_t *work);

/* ---- baseline.c ---- */

upstream_t *dff_baseline_choose(dff_ctx_t *ctx, dff_policy_t *policy,
    const dff_work_t *work, dff_time_t now);

#endif
