#include "dragonflyfall/event.h"

#include <errno.h>
#include <string.h>

#include <glib.h>

/* Size in bytes of one memory block of an effect list. */
#define BLOCK_BYTES (16 * 1024)

struct dff_effects {
	GArray *list;
	GPtrArray *blocks;
	size_t used; /* in the last block */
	size_t size; /* of the last block */
};

static const char *const stream_names[] = {"catalogue", "authority", "claims"};
static const char *const role_names[] = {"mixed", "prefill", "decode"};
static const char *const order_names[] = {
    "role", "model", "adapter", "version"};
static const char *const ran_names[] = {"not_run", "unknown", "ran"};
static const char *const fail_names[] = {
    "connect", "rejected", "broken", "timeout", "protocol"};
static const char *const answer_names[] = {
    "accepted", "fenced", "busy", "refused", "not_sent", "unknown"};

const char *
dff_stream_name(dff_stream_t stream)
{
	return stream < DFF_STREAM_COUNT ? stream_names[stream] : "?";
}

const char *
dff_role_name(dff_role_t role)
{
	return role < DFF_ROLE_COUNT ? role_names[role] : "?";
}

int
dff_role_parse(const char *name)
{
	for (int role = 0; role < DFF_ROLE_COUNT; role++) {
		if (strcmp(name, role_names[role]) == 0)
			return role;
	}
	return -EINVAL;
}

const char *
dff_order_kind_name(dff_order_kind_t kind)
{
	return kind < G_N_ELEMENTS(order_names) ? order_names[kind] : "?";
}

const char *
dff_execution_name(dff_execution_t ran)
{
	return ran < G_N_ELEMENTS(ran_names) ? ran_names[ran] : "?";
}

const char *
dff_attempt_failure_name(dff_attempt_failure_t fail)
{
	return fail < G_N_ELEMENTS(fail_names) ? fail_names[fail] : "?";
}

const char *
dff_order_answer_name(dff_order_answer_t answer)
{
	return answer < G_N_ELEMENTS(answer_names) ? answer_names[answer] : "?";
}

dff_effects_t *
dff_effects_new(void)
{
	dff_effects_t *fx;

	fx = g_new0(dff_effects_t, 1);
	fx->list = g_array_new(FALSE, TRUE, sizeof(dff_effect_t));
	fx->blocks = g_ptr_array_new_with_free_func(g_free);
	return fx;
}

void
dff_effects_drop(dff_effects_t *fx)
{
	if (fx == NULL)
		return;
	g_array_unref(fx->list);
	g_ptr_array_unref(fx->blocks);
	g_free(fx);
}

void
dff_effects_clear(dff_effects_t *fx)
{
	g_array_set_size(fx->list, 0);
	/* Keep a single block for reuse: most steps need only one. */
	if (fx->blocks->len > 1) {
		g_ptr_array_set_size(fx->blocks, 0);
		fx->size = 0;
	}
	fx->used = 0;
}

size_t
dff_effects_count(const dff_effects_t *fx)
{
	return fx->list->len;
}

const dff_effect_t *
dff_effects_at(const dff_effects_t *fx, size_t i)
{
	return &g_array_index(fx->list, dff_effect_t, i);
}

dff_effect_t *
dff_effects_add(dff_effects_t *fx, dff_effect_type_t type)
{
	dff_effect_t *effect;

	g_array_set_size(fx->list, fx->list->len + 1);
	effect = &g_array_index(fx->list, dff_effect_t, fx->list->len - 1);
	memset(effect, 0, sizeof(*effect));
	effect->type = type;
	return effect;
}

static void *
take_bytes(dff_effects_t *fx, size_t len)
{
	char *block;

	len = (len + 15) & ~(size_t)15;
	if (fx->blocks->len == 0 || fx->used + len > fx->size) {
		fx->size = MAX(len, BLOCK_BYTES);
		fx->used = 0;
		g_ptr_array_add(fx->blocks, g_malloc(fx->size));
	}
	block = g_ptr_array_index(fx->blocks, fx->blocks->len - 1);
	block += fx->used;
	fx->used += len;
	return block;
}

void *
dff_effects_copy(dff_effects_t *fx, const void *data, size_t len)
{
	char *copy;

	copy = take_bytes(fx, len + 1);
	if (len > 0)
		memcpy(copy, data, len);
	copy[len] = '\0';
	return copy;
}

const char *
dff_effects_strdup(dff_effects_t *fx, const char *text)
{
	if (text == NULL)
		text = "";
	return dff_effects_copy(fx, text, strlen(text));
}
