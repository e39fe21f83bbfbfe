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
/* A part that an engine was given to read is kept there after this time, a
 * long prompt and those ahead of it, unless its answer came before. */
#define READ_WITHIN (900 * DFF_MSEC)

typedef struct kept {
	uint32_t tokens;
	dff_time_t read_at; /* by then it has been read there */
	dff_time_t used;
} kept_t;

/* A part counts only behind all before it, so their hash goes into its own. */
static uint64_t
chain_add(uint64_t hash, const dff_part_t *part)
{
	return dff_hash(&part->id, sizeof(part->id), hash);
}

uint64_t
chain_hash(const dff_prompt_t *prompt, uint32_t count)
{
	uint64_t hash = 0;

	for (uint32_t i = 0; i < count; i++)
		hash = chain_add(hash, &prompt->parts[i]);
	return hash;
}

/* Tokens of the leading parts that are believed kept and read by @by. */
static uint32_t
leading_tokens(const upstream_t *up, const dff_prompt_t *prompt, dff_time_t by)
{
	uint32_t tokens = 0;
	uint64_t hash = 0;

	if (DFF_FAULT(RELAY_KEPT_FORGOTTEN))
		return 0;
	for (uint32_t i = 0; i < prompt->count; i++) {
		const kept_t *kept;

		hash = chain_add(hash, &prompt->parts[i]);
		kept = g_hash_table_lookup(up->kept, &hash);
		if (kept == NULL || kept->read_at > by)
			break;
		tokens += prompt->parts[i].tokens;
	}
	return tokens;
}

uint32_t
upstream_cached(const upstream_t *up, const dff_prompt_t *prompt)
{
	return leading_tokens(up, prompt, DFF_TIME_NEVER);
}

uint32_t
upstream_cached_by(
    const upstream_t *up, const dff_prompt_t *prompt, dff_time_t now)
{
	return leading_tokens(
	    up, prompt, DFF_FAULT(RELAY_UNREAD_IS_KEPT) ? DFF_TIME_NEVER : now);
}

void
upstream_note_read(upstream_t *up, const dff_prompt_t *prompt, dff_time_t now)
{
	uint64_t hash = 0;

	for (uint32_t i = 0; i < prompt->count; i++) {
		kept_t *kept;

		hash = chain_add(hash, &prompt->parts[i]);
		kept = g_hash_table_lookup(up->kept, &hash);
		if (kept != NULL)
			kept->read_at = MIN(kept->read_at, now);
	}
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
		kept->read_at = now + READ_WITHIN;
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
		hash = chain_add(hash, &prompt->parts[i]);
		upstream_keep_part(
		    up, hash, prompt->parts[i].tokens, capacity, now);
	}
}
