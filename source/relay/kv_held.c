#include "relay/kv_held.h"

#include "base/fault.h"

/* A part that a peer has reported counts as held for this time: a peer reports
 * a part that it goes on sending again after 3 s, and in its next full frame. */
#define PEER_PART_TIME (4200 * DFF_MSEC)
/* Parts of peers are looked through at most this often. */
#define SWEEP_INTERVAL (300 * DFF_MSEC)

typedef struct held_part {
	uint32_t tokens;
	uint32_t users; /* own requests */
	dff_time_t peers_until; /* it counts as held by peers until then */
} held_part_t;

void
kv_held_clear(kv_held_t *held)
{
	g_clear_pointer(&held->parts, g_hash_table_unref);
	held->shared = 0;
	held->unshared = 0;
}

uint32_t
prompt_shared_tokens(const dff_prompt_t *prompt)
{
	uint32_t tokens = 0;

	for (uint32_t i = 0; i + 1 < prompt->count; i++)
		tokens += prompt->parts[i].tokens;
	return tokens;
}

static uint32_t
unshared_tokens(const dff_prompt_t *prompt, uint32_t tokens_out)
{
	uint32_t shared = prompt_shared_tokens(prompt);

	return prompt->tokens - MIN(shared, prompt->tokens) + tokens_out;
}

static held_part_t *
take_part(kv_held_t *held, uint64_t id, uint32_t tokens)
{
	held_part_t *part;

	if (held->parts == NULL)
		held->parts = g_hash_table_new_full(
		    g_int64_hash, g_int64_equal, g_free, g_free);
	part = g_hash_table_lookup(held->parts, &id);
	if (part == NULL) {
		part = g_new0(held_part_t, 1);
		g_hash_table_insert(
		    held->parts, g_memdup2(&id, sizeof(id)), part);
	}
	if (part->tokens < tokens) {
		held->shared += tokens - part->tokens;
		part->tokens = tokens;
	}
	return part;
}

static bool
is_unused(const held_part_t *part, dff_time_t now)
{
	return part->users == 0 && part->peers_until <= now;
}

/* Forgets parts that peers have reported and nobody uses any more. */
static void
expire_parts(kv_held_t *held, dff_time_t now)
{
	GHashTableIter iter;
	gpointer value;

	if (held->parts == NULL || now < held->sweep_at)
		return;
	held->sweep_at = now + SWEEP_INTERVAL;
	g_hash_table_iter_init(&iter, held->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const held_part_t *part = value;

		if (!is_unused(part, now))
			continue;
		held->shared -= part->tokens;
		g_hash_table_iter_remove(&iter);
	}
}

static void
release_part(kv_held_t *held, uint64_t id, dff_time_t now)
{
	held_part_t *part =
	    held->parts != NULL ? g_hash_table_lookup(held->parts, &id) : NULL;

	if (part == NULL)
		return;
	part->users -= MIN(part->users, 1);
	if (!is_unused(part, now))
		return;
	held->shared -= part->tokens;
	g_hash_table_remove(held->parts, &id);
}

void
kv_held_add(kv_held_t *held, const dff_prompt_t *prompt, uint32_t tokens_out,
    dff_time_t now)
{
	expire_parts(held, now);
	held->unshared += unshared_tokens(prompt, tokens_out);
	for (uint32_t i = 0; i + 1 < prompt->count; i++)
		take_part(held, prompt->parts[i].id, prompt->parts[i].tokens)
		    ->users++;
}

void
kv_held_remove(kv_held_t *held, const dff_prompt_t *prompt, uint32_t tokens_out,
    dff_time_t now)
{
	held->unshared -=
	    MIN(held->unshared, unshared_tokens(prompt, tokens_out));
	for (uint32_t i = 0; i + 1 < prompt->count; i++)
		release_part(held, prompt->parts[i].id, now);
}

void
kv_held_note_peer(
    kv_held_t *held, uint64_t part, uint32_t tokens, dff_time_t now)
{
	if (!DFF_FAULT(RELAY_PEER_PARTS_KEPT))
		expire_parts(held, now);
	held->peers_until = now + PEER_PART_TIME;
	take_part(held, part, tokens)->peers_until = held->peers_until;
}

void
kv_held_forget_peers(kv_held_t *held, dff_time_t now)
{
	GHashTableIter iter;
	gpointer value;

	if (held->parts == NULL || held->peers_until <= now)
		return;
	g_hash_table_iter_init(&iter, held->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		held_part_t *part = value;

		part->peers_until = MIN(part->peers_until, now);
	}
	held->peers_until = now;
	held->sweep_at = now;
}

uint64_t
kv_held_with(kv_held_t *held, uint64_t others, const dff_prompt_t *prompt,
    uint32_t tokens_out, dff_time_t now)
{
	uint64_t added = 0;

	expire_parts(held, now);
	for (uint32_t i = 0; i + 1 < prompt->count; i++) {
		const held_part_t *part = held->parts != NULL ?
		    g_hash_table_lookup(held->parts, &prompt->parts[i].id) :
		    NULL;
		uint32_t tokens = prompt->parts[i].tokens;

		added += tokens - MIN(part != NULL ? part->tokens : 0, tokens);
	}
	return held->unshared + held->shared + others + added +
	    unshared_tokens(prompt, tokens_out);
}
