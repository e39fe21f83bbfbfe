/*
 * The prefix blocks that each engine is expected to have cached. The estimate
 * comes from cache events and from prompts sent to the engine, and is corrected
 * by the usage that answers report. A block expires unless it is confirmed;
 * blocks recorded before a gap in the events expire sooner.
 */
#include "policy/state.h"

/* Age at which a block that was not confirmed expires. */
#define BLOCK_MAX_AGE (120 * DFF_SEC)
/* The same for blocks recorded before a gap in the events. */
#define BLOCK_MAX_AGE_BEFORE_GAP (20 * DFF_SEC)
/* Blocks kept per engine before the older half is dropped. */
#define BLOCKS_MAX 8192
/* Weight of one answer in the accuracy, and its lower bound. */
#define ACCURACY_GAIN 0.2
#define ACCURACY_MIN  0.05
/* Tokens in one prefix block. */
#define BLOCK_TOKENS (DFF_PREFIX_BLOCK_BYTES / DFF_BYTES_PER_TOKEN)

/** struct cached_block - a block, and when it was last confirmed as cached */
typedef struct cached_block {
	uint64_t hash;
	dff_time_t seen_at;
} cached_block_t;

void
dff_cache_init(prefix_cache_t *cache)
{
	cache->blocks =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	cache->gap_at = 0;
	cache->accuracy = 1;
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
is_cached(const prefix_cache_t *cache, uint64_t hash, dff_time_t now)
{
	const cached_block_t *block = g_hash_table_lookup(cache->blocks, &hash);
	dff_time_t limit;

	if (block == NULL)
		return false;
	limit = block->seen_at < cache->gap_at ? BLOCK_MAX_AGE_BEFORE_GAP :
						 BLOCK_MAX_AGE;
	return now - block->seen_at < limit;
}

uint32_t
dff_cache_match(const prefix_cache_t *cache, const uint64_t *prefix,
    size_t count, dff_time_t now)
{
	size_t low = 0;
	size_t high = count;

	/* A block is usable only if all before it are cached, so bisect. */
	while (low < high) {
		size_t mid = (low + high + 1) / 2;

		if (is_cached(cache, prefix[mid - 1], now))
			low = mid;
		else
			high = mid - 1;
	}
	return (uint32_t)((double)low * BLOCK_TOKENS * cache->accuracy);
}

static gboolean
is_older(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	return ((const cached_block_t *)value)->seen_at <
	    *(const dff_time_t *)data;
}

/* Drop the older half of the blocks, by age. */
static void
prune(prefix_cache_t *cache, dff_time_t now)
{
	dff_time_t age = BLOCK_MAX_AGE;

	while (g_hash_table_size(cache->blocks) > BLOCKS_MAX / 2 && age > 0) {
		dff_time_t limit = now - age;

		g_hash_table_foreach_remove(cache->blocks, is_older, &limit);
		age /= 2;
	}
	if (g_hash_table_size(cache->blocks) > BLOCKS_MAX)
		g_hash_table_remove_all(cache->blocks);
}

void
dff_cache_store(
    prefix_cache_t *cache, const uint64_t *prefix, size_t count, dff_time_t now)
{
	if (g_hash_table_size(cache->blocks) + count > BLOCKS_MAX)
		prune(cache, now);
	for (size_t i = 0; i < count; i++) {
		cached_block_t *block;

		block = g_hash_table_lookup(cache->blocks, &prefix[i]);
		if (block == NULL) {
			block = g_new(cached_block_t, 1);
			block->hash = prefix[i];
			g_hash_table_insert(cache->blocks, &block->hash, block);
		}
		block->seen_at = now;
	}
}

void
dff_cache_evict(prefix_cache_t *cache, const uint64_t *prefix, size_t count)
{
	for (size_t i = 0; i < count; i++)
		g_hash_table_remove(cache->blocks, &prefix[i]);
}

void
dff_cache_correct(prefix_cache_t *cache, uint32_t expected, uint32_t cached,
    const uint64_t *prefix, size_t count, dff_time_t now)
{
	double found;

	if (expected > 0) {
		found = MIN((double)cached / expected, 1 / cache->accuracy);
		cache->accuracy *= 1 + ACCURACY_GAIN * (found - 1);
		cache->accuracy = CLAMP(cache->accuracy, ACCURACY_MIN, 1);
	}
	/* Evictions were missed: let older blocks expire sooner. */
	if (cached + BLOCK_TOKENS <= expected)
		cache->gap_at = now;
	dff_cache_store(cache, prefix, count, now);
}

void
dff_policy_apply_cache_events(dff_ctx_t *ctx, dff_policy_t *policy,
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
