/*
 * Estimates which prompt parts an engine has cached. Prompts share most of
 * their tokens, and reading them again each time would take more time than the
 * engines have.
 */
#include "base/fault.h"
#include "relay/upstream.h"

/* Share of an engine's memory assumed for cached parts; running requests need
 * the rest. */
#define CACHE_SHARE 0.62
/* A part sent to an engine is assumed to be cached after this time, enough
 * for a long prompt and those queued before it, or at its answer's head. */
#define READ_TIME_MAX (900 * DFF_MSEC)

typedef struct cached_part {
	uint32_t tokens;
	dff_time_t read_at; /* by then the engine has read it */
	dff_time_t used_at;
} cached_part_t;

/* Tokens of the leading parts that are assumed cached, read until @by: a part
 * is useful only if all parts before it are cached, too. */
static uint32_t
leading_tokens(const upstream_t *up, const dff_prompt_t *prompt, dff_time_t by)
{
	uint32_t tokens = 0;

	if (DFF_FAULT(RELAY_KEPT_FORGOTTEN))
		return 0;
	for (uint32_t i = 0; i < prompt->count; i++) {
		const dff_part_t *part = &prompt->parts[i];
		const cached_part_t *cached =
		    g_hash_table_lookup(up->cached_parts, &part->id);

		if (cached == NULL || cached->read_at > by)
			break;
		tokens += MIN(cached->tokens, part->tokens);
		if (cached->tokens < part->tokens)
			break;
	}
	return tokens;
}

uint32_t
upstream_cached_tokens(const upstream_t *up, const dff_prompt_t *prompt)
{
	return leading_tokens(up, prompt, DFF_TIME_NEVER);
}

uint32_t
upstream_fetchable_tokens(
    const upstream_t *up, const dff_prompt_t *prompt, dff_time_t now)
{
	return leading_tokens(
	    up, prompt, DFF_FAULT(RELAY_UNREAD_IS_KEPT) ? DFF_TIME_NEVER : now);
}

void
upstream_note_prompt_read(
    upstream_t *up, const dff_prompt_t *prompt, dff_time_t now)
{
	for (uint32_t i = 0; i < prompt->count; i++) {
		cached_part_t *cached =
		    g_hash_table_lookup(up->cached_parts, &prompt->parts[i].id);

		if (cached != NULL)
			cached->read_at = MIN(cached->read_at, now);
	}
}

/* Evict the least recently used part. */
static void
evict_oldest(upstream_t *up)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	gpointer oldest = NULL;
	const cached_part_t *least_recent = NULL;

	g_hash_table_iter_init(&iter, up->cached_parts);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const cached_part_t *cached = value;

		if (least_recent != NULL &&
		    cached->used_at >= least_recent->used_at)
			continue;
		least_recent = cached;
		oldest = key;
	}
	up->cached_tokens -= least_recent->tokens;
	(void)g_hash_table_remove(up->cached_parts, oldest);
}

void
upstream_cache_part(upstream_t *up, uint64_t part, uint32_t tokens,
    uint64_t capacity, dff_time_t now)
{
	cached_part_t *cached = g_hash_table_lookup(up->cached_parts, &part);

	if (cached == NULL) {
		cached = g_new0(cached_part_t, 1);
		cached->read_at = now + READ_TIME_MAX;
		g_hash_table_insert(
		    up->cached_parts, g_memdup2(&part, sizeof(part)), cached);
	}
	if (cached->tokens < tokens) {
		up->cached_tokens += tokens - cached->tokens;
		cached->tokens = tokens;
	}
	cached->used_at = now;
	while ((double)up->cached_tokens > CACHE_SHARE * (double)capacity &&
	    g_hash_table_size(up->cached_parts) > 1)
		evict_oldest(up);
}

void
upstream_load_cache(upstream_t *up, const dff_part_t *parts, size_t count,
    uint64_t capacity, dff_time_t now)
{
	for (size_t i = 0; i < count; i++) {
		cached_part_t *cached;

		upstream_cache_part(
		    up, parts[i].id, parts[i].tokens, capacity, now);
		cached = g_hash_table_lookup(up->cached_parts, &parts[i].id);
		if (cached != NULL)
			cached->read_at = MIN(cached->read_at, now);
	}
}

void
upstream_cache_prompt(upstream_t *up, const dff_prompt_t *prompt,
    uint64_t capacity, dff_time_t now)
{
	for (uint32_t i = 0; i < prompt->count; i++)
		upstream_cache_part(up, prompt->parts[i].id,
		    prompt->parts[i].tokens, capacity, now);
}
