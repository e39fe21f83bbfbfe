/*
 * Checks that a request must pass before it becomes a call.
 */
#include "admission.h"

#include <string.h>

/* Maximum length of an Idempotency-Key in bytes. */
#define IDEM_KEY_MAX 200
/* Retry-After of a node that is starting, stopping, not ready or full. */
#define RETRY_NOT_READY (1 * DFF_SEC)

/* Checks the state of the node, without catalogue and owner. */
static const refusal_t *
check_node(const dff_node_t *node)
{
	static const refusal_t draining = {503, "draining",
	    "this node is being stopped; ask another", RETRY_NOT_READY};
	static const refusal_t not_ready = {503, "not_ready",
	    "this node takes no new work now; ask another", RETRY_NOT_READY};
	static const refusal_t full = {503, "too_many_calls",
	    "this node has as many calls as it may", RETRY_NOT_READY};

	if (node->stopping)
		return &draining;
	if (!node->ready)
		return &not_ready;
	if (dff_table_count(node->calls) >= node->config.max_calls)
		return &full;
	return NULL;
}

static const refusal_t *
check_owner(
    const dff_catalogue_t *cat, const dff_ev_call_open_t *ev, int *entry)
{
	static const refusal_t no_entry = {
	    404, "unknown_entry", "the catalogue has no such entry", 0};
	static const refusal_t no_key = {
	    401, "unknown_key", "the API key belongs to no owner", 0};
	static const refusal_t wrong_owner = {
	    403, "wrong_owner", "the entry belongs to another owner", 0};
	const dff_entry_t *entries;
	uint32_t count;
	int owner;

	owner = dff_catalogue_find_secret(cat, ev->secret);
	if (owner < 0)
		return &no_key;
	*entry = dff_catalogue_find_entry(cat, ev->entry);
	if (*entry < 0)
		return &no_entry;
	entries = dff_catalogue_entries(cat, &count);
	if (entries[*entry].owner != (uint32_t)owner)
		return &wrong_owner;
	return NULL;
}

static const refusal_t *
check_key(const dff_entry_t *entry, const dff_ev_call_open_t *ev)
{
	static const refusal_t no_key = {400, "key_required",
	    "calls to this entry need an Idempotency-Key", 0};
	static const refusal_t long_key = {400, "key_too_long",
	    "the Idempotency-Key is longer than 200 bytes", 0};
	static const refusal_t old_key = {409, "key_expired",
	    "the Idempotency-Key is older than the entry's retry window", 0};
	uint64_t window_ms = (uint64_t)(entry->retry_window / DFF_MSEC);

	if (strlen(ev->idem_key) > IDEM_KEY_MAX)
		return &long_key;
	if (entry->may_repeat)
		return NULL;
	if (ev->idem_key[0] == '\0')
		return &no_key;
	if (ev->key_created_ms != 0 &&
	    ev->key_created_ms + window_ms < ev->now_ms)
		return &old_key;
	return NULL;
}

static const refusal_t *
check_size(const dff_catalogue_t *cat, const dff_entry_t *entry,
    const dff_ev_call_open_t *ev)
{
	static const refusal_t wrong_kind = {400, "wrong_kind",
	    "the entry is of the other kind: model or service", 0};
	static const refusal_t long_prompt = {413, "prompt_too_long",
	    "the prompt is longer than the entry allows", 0};
	static const refusal_t long_answer = {400, "max_tokens_too_large",
	    "max_tokens is more than the entry allows", 0};
	const dff_pool_t *pools;
	dff_vm_kind_t want;
	uint32_t count;

	pools = dff_catalogue_pools(cat, &count);
	want = ev->kind == DFF_CALL_MODEL ? DFF_VM_ENGINE : DFF_VM_SERVICE;
	if (pools[entry->pool].kind != want)
		return &wrong_kind;
	if (ev->kind != DFF_CALL_MODEL)
		return NULL;
	if (ev->prompt_len / DFF_BYTES_PER_TOKEN > entry->max_prompt_tokens)
		return &long_prompt;
	if (ev->max_tokens > entry->max_output_tokens)
		return &long_answer;
	return NULL;
}

const refusal_t *
admission_check(
    const dff_node_t *node, const dff_ev_call_open_t *ev, int *index)
{
	const dff_catalogue_t *cat = node_catalogue(node);
	const dff_entry_t *entries;
	const refusal_t *refusal;
	uint32_t count;

	refusal = check_node(node);
	if (refusal != NULL)
		return refusal;
	refusal = check_owner(cat, ev, index);
	if (refusal != NULL)
		return refusal;
	entries = dff_catalogue_entries(cat, &count);
	refusal = check_key(&entries[*index], ev);
	if (refusal != NULL)
		return refusal;
	return check_size(cat, &entries[*index], ev);
}
