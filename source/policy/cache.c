/*
 * The belief of what prefix blocks an engine holds. It comes from cache
 * events, from prompts sent there, and is corrected by the usage that
 * answers report. A belief decays; after a gap in the events what was
 * believed before decays faster.
 */
#include "policy/state.h"

/* Age at which a belief that nothing confirmed is dropped. */
#define BELIEF_AGE (120 * DFF_SEC)
/* The same for what was believed before a gap in the events. */
#define BELIEF_AGE_GAP (20 * DFF_SEC)
/* Blocks believed of one engine before the older half is dropped. */
#define BELIEF_MAX 8192
/* Weight of one answer in the trust, and the least trust. */
#define TRUST_GAIN 0.2
#define TRUST_MIN  0.05
/* Tokens in one prefix block. */
#define BLOCK_TOKENS (DFF_PREFIX_BLOCK_BYTES / DFF_BYTES_PER_TOKEN)

/** struct belief - a block, and when it was last known to be held */
typedef struct belief {
	uint64_t hash;
	dff_time_t at;
} belief_t;

void
dff_cache_init(prefix_cache_t *cache)
{
	cache->blocks =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	cache->gap_at = 0;
	cache->trust = 1;
}

void
dff_cache_clear(prefix_cache_t *cache)
{
	g_hash_table_remove_all(cache->blocks);
	cache->gap_at = 0;
}

void
dff_cache_fini(prefix_cache_t *cache)
{
	g_hash_table_unref(cache->blocks);
}

static bool
holds(const prefix_cache_t *cache, uint64_t hash, dff_time_t now)
{
	const belief_t *belief = g_hash_table_lookup(cache->blocks, &hash);
	dff_time_t limit;

	if (belief == NULL)
		return false;
	limit = belief->at < cache->gap_at ? BELIEF_AGE_GAP : BELIEF_AGE;
	return now - belief->at < limit;
}

uint32_t
dff_cache_match(const prefix_cache_t *cache, const uint64_t *prefix,
    size_t count, dff_time_t now)
{
	size_t low = 0;
	size_t high = count;

	/* A block is of use only after all before it, so bisect. */
	while (low < high) {
		size_t mid = (low + high + 1) / 2;

		if (holds(cache, prefix[mid - 1], now))
			low = mid;
		else
			high = mid - 1;
	}
	return (uint32_t)((double)low * BLOCK_TOKENS * cache->trust);
}

static gboolean
older_than(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	return ((const belief_t *)value)->at < *(const dff_time_t *)data;
}

/* Drop the older half of the beliefs, by age. */
static void
prune(prefix_cache_t *cache, dff_time_t now)
{
	dff_time_t age = BELIEF_AGE;

	while (g_hash_table_size(cache->blocks) > BELIEF_MAX / 2 && age > 0) {
		dff_time_t limit = now - age;

		g_hash_table_foreach_remove(cache->blocks, older_than, &limit);
		age /= 2;
	}
	if (g_hash_table_size(cache->blocks) > BELIEF_MAX)
		g_hash_table_remove_all(cache->blocks);
}

void
dff_cache_store(
    prefix_cache_t *cache, const uint64_t *prefix, size_t count, dff_time_t now)
{
	if (g_hash_table_size(cache->blocks) + count > BELIEF_MAX)
		prune(cache, now);
	for (size_t i = 0; i < count; i++) {
		belief_t *belief;

		belief = g_hash_table_lookup(cache->blocks, &prefix[i]);
		if (belief == NULL) {
			belief = g_new(belief_t, 1);
			belief->hash = prefix[i];
			g_hash_table_insert(
			    cache->blocks, &belief->hash, belief);
		}
		belief->at = now;
	}
}

void
dff_cache_evict(prefix_cache_t *cache, const uint64_t *prefix, size_t count)
{
	for (size_t i = 0; i < count; i++)
		g_hash_table_remove(cache->blocks, &prefix[i]);
}

void
dff_cache_correct(prefix_cache_t *cache, uint32_t believed, uint32_t cached,
    const uint64_t *prefix, size_t count, dff_time_t now)
{
	double found;

	if (believed > 0) {
		found = MIN((double)cached / believed, 1 / cache->trust);
		cache->trust *= 1 + TRUST_GAIN * (found - 1);
		cache->trust = CLAMP(cache->trust, TRUST_MIN, 1);
	}
	/* Evictions went by unheard: believe what is older for less long. */
	if (cached + BLOCK_TOKENS <= believed)
		cache->gap_at = now;
	dff_cache_store(cache, prefix, count, now);
}

void
dff_policy_load_cache(dff_ctx_t *ctx, dff_policy_t *policy,
    const dff_ev_engine_cache_t *cache, dff_time_t now)
{
	upstream_t *up = dff_fleet_find(policy, cache->vm);

	(void)ctx;
	if (up == NULL)
		return;
	if (cache->gap)
		up->cache.gap_at = now;
	dff_cache_evict(&up->cache, cache->evicted, cache->evicted_count);
	dff_cache_store(&up->cache, cache->stored, cache->stored_count, now);
}
