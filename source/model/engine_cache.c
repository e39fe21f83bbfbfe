/*
 * Prefix cache of the engine model. The least recently used blocks are evicted
 * first. Numbered events report stored and evicted blocks; some are lost.
 */
#include "engine.h"

/* Retained events; readers see older ones as a gap. */
#define CACHE_EVENTS_MAX 8192

typedef struct event {
	uint64_t number;
	uint64_t hash;
	dff_time_t at;
	bool stored;
	bool lost;
} event_t;

struct cache {
	GHashTable *links; /* hash -> link of @lru */
	GQueue lru; /* uint64_t, oldest first */
	GQueue events;
	uint64_t next_number;
};

cache_t *
cache_new(void)
{
	cache_t *cache;

	cache = g_new0(cache_t, 1);
	cache->links = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&cache->lru);
	g_queue_init(&cache->events);
	cache->next_number = 1;
	return cache;
}

void
cache_clear(cache_t *cache)
{
	g_hash_table_remove_all(cache->links);
	g_queue_clear_full(&cache->lru, g_free);
	g_queue_clear_full(&cache->events, g_free);
	/* Skip a number, so that readers see a gap. */
	cache->next_number++;
}

void
cache_drop(cache_t *cache)
{
	cache_clear(cache);
	g_hash_table_unref(cache->links);
	g_free(cache);
}

static void
add_event(dff_ctx_t *ctx, cache_t *cache, uint64_t hash, bool stored,
    dff_time_t now, double loss)
{
	event_t *event;

	event = g_new0(event_t, 1);
	event->number = cache->next_number++;
	event->hash = hash;
	event->at = now;
	event->stored = stored;
	event->lost = loss > 0 && dff_rand_unit(ctx) < loss;
	g_queue_push_tail(&cache->events, event);
	if (cache->events.length > CACHE_EVENTS_MAX)
		g_free(g_queue_pop_head(&cache->events));
}

size_t
cache_match(cache_t *cache, const uint64_t *hashes, size_t count)
{
	size_t hits = 0;

	while (hits < count) {
		GList *link;

		link = g_hash_table_lookup(cache->links, &hashes[hits]);
		if (link == NULL)
			break;
		g_queue_unlink(&cache->lru, link);
		g_queue_push_tail_link(&cache->lru, link);
		hits++;
	}
	return hits;
}

void
cache_shrink(dff_ctx_t *ctx, cache_t *cache, size_t max_blocks, dff_time_t now,
    double loss)
{
	while (cache->lru.length > max_blocks) {
		uint64_t *hash;

		hash = g_queue_pop_head(&cache->lru);
		g_hash_table_remove(cache->links, hash);
		add_event(ctx, cache, *hash, false, now, loss);
		g_free(hash);
	}
}

void
cache_store(dff_ctx_t *ctx, cache_t *cache, const uint64_t *hashes,
    size_t count, size_t max_blocks, dff_time_t now, double loss)
{
	/* The first blocks are shared by the most prompts. */
	count = MIN(count, max_blocks);
	for (size_t i = 0; i < count; i++) {
		uint64_t *hash;

		if (cache_match(cache, &hashes[i], 1) == 1)
			continue;
		hash = g_new(uint64_t, 1);
		*hash = hashes[i];
		g_queue_push_tail(&cache->lru, hash);
		g_hash_table_insert(cache->links, hash, cache->lru.tail);
		add_event(ctx, cache, *hash, true, now, loss);
	}
	cache_shrink(ctx, cache, max_blocks, now, loss);
}

uint64_t
cache_events(cache_t *cache, uint64_t since, dff_time_t until, GArray *stored,
    GArray *evicted, bool *gap)
{
	uint64_t last = since;

	for (GList *link = cache->events.head; link != NULL;
	     link = link->next) {
		const event_t *event = link->data;

		if (event->number <= since)
			continue;
		if (event->at > until)
			break;
		if (event->number != last + 1 || event->lost)
			*gap = true;
		last = event->number;
		if (!event->lost) {
			g_array_append_val(
			    event->stored ? stored : evicted, event->hash);
		}
	}
	return last;
}
