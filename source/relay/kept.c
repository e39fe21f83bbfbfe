/*
 * Which prompt parts an engine is believed to keep. Load answered: prompts
 * that share most of their tokens, whose reading again would take more time
 * than the engines have.
 */
#include "base/fault.h"
#include "relay/upstream.h"

/* Share of an engine's memory that kept parts are believed to get; what
 * runs needs the rest. */
#define KEPT_SHARE 0.75

typedef struct kept {
	uint32_t tokens;
	dff_time_t used;
} kept_t;

uint64_t
chain_hash(const dff_prompt_t *prompt, uint32_t count)
{
	uint64_t hash = 0;

	for (uint32_t i = 0; i < count; i++)
		hash = dff_hash(
		    &prompt->parts[i].id, sizeof(prompt->parts[i].id), hash);
	return hash;
}

uint32_t
upstream_cached(const upstream_t *up, const dff_prompt_t *prompt)
{
	uint32_t tokens = 0;
	uint64_t hash = 0;

	if (DFF_FAULT(RELAY_KEPT_FORGOTTEN))
		return 0;
	for (uint32_t i = 0; i < prompt->count; i++) {
		hash = dff_hash(
		    &prompt->parts[i].id, sizeof(prompt->parts[i].id), hash);
		if (!g_hash_table_contains(up->kept, &hash))
			break;
		tokens += prompt->parts[i].tokens;
	}
	return tokens;
}

/* The least recently used part yields. */
static void
drop_oldest(upstream_t *up)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	gpointer oldest = NULL;
	const kept_t *least = NULL;

	g_hash_table_iter_init(&iter, up->kept);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const kept_t *kept = value;

		if (least != NULL && kept->used >= least->used)
			continue;
		least = kept;
		oldest = key;
	}
	up->kept_tokens -= least->tokens;
	(void)g_hash_table_remove(up->kept, oldest);
}

void
upstream_keep_part(upstream_t *up, uint64_t chain, uint32_t tokens,
    uint64_t capacity, dff_time_t now)
{
	kept_t *kept = g_hash_table_lookup(up->kept, &chain);

	if (kept == NULL) {
		kept = g_new0(kept_t, 1);
		kept->tokens = tokens;
		up->kept_tokens += tokens;
		g_hash_table_insert(
		    up->kept, g_memdup2(&chain, sizeof(chain)), kept);
	}
	kept->used = now;
	while ((double)up->kept_tokens > KEPT_SHARE * (double)capacity &&
	    g_hash_table_size(up->kept) > 1)
		drop_oldest(up);
}

void
upstream_keep(upstream_t *up, const dff_prompt_t *prompt, uint64_t capacity,
    dff_time_t now)
{
	uint64_t hash = 0;

	for (uint32_t i = 0; i < prompt->count; i++) {
		hash = dff_hash(
		    &prompt->parts[i].id, sizeof(prompt->parts[i].id), hash);
		upstream_keep_part(
		    up, hash, prompt->parts[i].tokens, capacity, now);
	}
}
