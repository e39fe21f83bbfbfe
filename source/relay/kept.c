/*
 * Which prompt parts an engine is believed to keep. Load answered: prompts
 * that share most of their tokens, whose reading again would take more time
 * than the engines have.
 */
#include "base/fault.h"
#include "relay/upstream.h"

/* Share of an engine's memory that kept parts are believed to get; what
 * runs needs the rest. */
#define KEPT_SHARE 0.62
/* A part that an engine was given to read is kept there after this time, a
 * long prompt and those ahead of it, unless its answer came before. */
#define READ_WITHIN (900 * DFF_MSEC)

typedef struct kept {
	uint32_t tokens;
	dff_time_t read_at; /* by then it has been read there */
	dff_time_t used;
} kept_t;

/* Tokens of the leading parts that are believed kept and read by @by: a part
 * is of use only behind all before it. */
static uint32_t
leading_tokens(const upstream_t *up, const dff_prompt_t *prompt, dff_time_t by)
{
	uint32_t tokens = 0;

	if (DFF_FAULT(RELAY_KEPT_FORGOTTEN))
		return 0;
	for (uint32_t i = 0; i < prompt->count; i++) {
		const dff_part_t *part = &prompt->parts[i];
		const kept_t *kept = g_hash_table_lookup(up->kept, &part->id);

		if (kept == NULL || kept->read_at > by)
			break;
		tokens += MIN(kept->tokens, part->tokens);
		if (kept->tokens < part->tokens)
			break;
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
	for (uint32_t i = 0; i < prompt->count; i++) {
		kept_t *kept =
		    g_hash_table_lookup(up->kept, &prompt->parts[i].id);

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
upstream_keep_part(upstream_t *up, uint64_t part, uint32_t tokens,
    uint64_t capacity, dff_time_t now)
{
	kept_t *kept = g_hash_table_lookup(up->kept, &part);

	if (kept == NULL) {
		kept = g_new0(kept_t, 1);
		kept->read_at = now + READ_WITHIN;
		g_hash_table_insert(
		    up->kept, g_memdup2(&part, sizeof(part)), kept);
	}
	if (kept->tokens < tokens) {
		up->kept_tokens += tokens - kept->tokens;
		kept->tokens = tokens;
	}
	kept->used = now;
	while ((double)up->kept_tokens > KEPT_SHARE * (double)capacity &&
	    g_hash_table_size(up->kept) > 1)
		drop_oldest(up);
}

void
upstream_load_kept(upstream_t *up, const dff_part_t *parts, size_t count,
    uint64_t capacity, dff_time_t now)
{
	for (size_t i = 0; i < count; i++) {
		kept_t *kept;

		upstream_keep_part(
		    up, parts[i].id, parts[i].tokens, capacity, now);
		kept = g_hash_table_lookup(up->kept, &parts[i].id);
		if (kept != NULL)
			kept->read_at = MIN(kept->read_at, now);
	}
}

void
upstream_keep(upstream_t *up, const dff_prompt_t *prompt, uint64_t capacity,
    dff_time_t now)
{
	for (uint32_t i = 0; i < prompt->count; i++)
		upstream_keep_part(up, prompt->parts[i].id,
		    prompt->parts[i].tokens, capacity, now);
}
