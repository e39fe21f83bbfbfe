/*
 * Prefix cache of the engine model: least recently used blocks go first,
 * and what came and went is told by numbered events, some of which are lost.
 */
#include "engine.h"

/* Events kept for those who ask; older ones are a gap. */
#define EVENTS_MAX 8192

typedef struct event {
	uint64_t number;
	uint64_t hash;
	dff_time_t at;
	bool stored;
	bool lost;
} event_t;

struct cache {
	GHashTable *links; /* hash -> link of @order */
	GQueue order; /* uint64_t, oldest first */
	GQueue events;
	uint64_t next;
};

cache_t *
cache_new(void)
{
	cache_t *cache;

	cache = g_new0(cache_t, 1);
	cache->links = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&cache->order);
	g_queue_init(&cache->events);
	cache->next = 1;
	return cache;
}

void
cache_clear(cache_t *cache)
{
	g_hash_table_remove_all(cache->links);
	g_queue_clear_full(&cache->order, g_free);
	g_queue_clear_full(&cache->events, g_free);
	/* Numbers go on, so that an asker sees the gap. */
	cache->next++;
}

void
cache_drop(cache_t *cache)
{
	cache_clear(cache);
	g_hash_table_unref(cache->links);
	g_free(cache);
}

static void
tell(dff_ctx_t *ctx, cache_t *cache, uint64_t hash, bool stored, dff_time_t now,
    double loss)
{
	event_t *event;

	event = g_new0(event_t, 1);
	event->number = cache->next++;
	event->hash = hash;
	event->at = now;
	event->stored = stored;
	event->lost = loss > 0 && dff_rand_unit(ctx) < loss;
	g_queue_push_tail(&cache->events, event);
	if (cache->events.length > EVENTS_MAX)
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
		g_queue_unlink(&cache->order, link);
		g_queue_push_tail_link(&cache->order, link);
		hits++;
	}
	return hits;
}

void
cache_shrink(
    dff_ctx_t *ctx, cache_t *cache, size_t room, dff_time_t now, double loss)
{
	while (cache->order.length > room) {
		uint64_t *hash;

		hash = g_queue_pop_head(&cache->order);
		g_hash_table_remove(cache->links, hash);
		tell(ctx, cache, *hash, false, now, loss);
		g_free(hash);
	}
}

void
cache_store(dff_ctx_t *ctx, cache_t *cache, const uint64_t *hashes,
    size_t count, size_t room, dff_time_t now, double loss)
{
	/* The first blocks serve the most prompts. */
	count = MIN(count, room);
	for (size_t i = 0; i < count; i++) {
		uint64_t *hash;

		if (cache_match(cache, &hashes[i], 1) == 1)
			continue;
		hash = g_new(uint64_t, 1);
		*hash = hashes[i];
		g_queue_push_tail(&cache->order, hash);
		g_hash_table_insert(cache->links, hash, cache->order.tail);
		tell(ctx, cache, *hash, true, now, loss);
	}
	cache_shrink(ctx, cache, room, now, loss);
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
