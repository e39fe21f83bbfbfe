/*
 * Callers: they send one request, note all they get, and may send it again
 * at another entry.
 */
#include <string.h>

#include "parts.h"

/* From a caller to an entry, one way. */
#define CALLER_DELAY (1 * DFF_MSEC)
/* Wait before a request is sent again. */
#define RESEND_AFTER (500 * DFF_MSEC)

static const char *const got_names[] = {
    "nothing", "whole", "not_run", "unknown", "ran", "broken", "hung_up"};

const char *
dff_got_name(dff_got_t got)
{
	return got < G_N_ELEMENTS(got_names) ? got_names[got] : "?";
}

caller_t *
caller_of(const dff_world_t *world, uint64_t call)
{
	if (call == 0 || call > world->callers->len)
		return NULL;
	return g_ptr_array_index(world->callers, call - 1);
}

static caller_t *
first_of(const dff_world_t *world, const caller_t *caller)
{
	return caller_of(world, caller->first);
}

void
caller_free(caller_t *caller)
{
	g_free(caller->entry);
	g_free(caller->prompt);
	g_free(caller->key);
	g_free(caller);
}

static void send_request(dff_world_t *world, caller_t *caller);

static void
on_resend(dff_world_t *world, parcel_t *parcel)
{
	const caller_t *old = caller_of(world, parcel->id);
	caller_t *caller = g_new0(caller_t, 1);

	g_ptr_array_add(world->callers, caller);
	caller->number = world->callers->len;
	caller->first = old->first;
	caller->resend = old->resend - 1;
	caller->kind = old->kind;
	caller->entry = g_strdup(old->entry);
	caller->prompt = g_strdup(old->prompt);
	caller->key = g_strdup(old->key);
	caller->body_hash = old->body_hash;
	caller->max_tokens = old->max_tokens;
	caller->poison = old->poison;
	caller->patience = old->patience;
	send_request(world, caller);
}

static bool
wants_resend(const caller_t *caller)
{
	if (caller->resend == 0)
		return false;
	/* Tokens that were shown cannot be taken back. */
	return caller->got != DFF_GOT_WHOLE && caller->got != DFF_GOT_HUNG_UP;
}

static void
end_call(dff_world_t *world, caller_t *caller, dff_got_t got, const char *code)
{
	parcel_t *parcel;

	caller->got = got;
	caller->over = true;
	g_strlcpy(caller->code, code, sizeof(caller->code));
	if (wants_resend(caller)) {
		parcel = parcel_new(NULL);
		parcel->id = caller->number;
		world_timer(world, NULL, RESEND_AFTER, on_resend, parcel);
		return;
	}
	first_of(world, caller)->got = got;
	g_strlcpy(first_of(world, caller)->code, code, sizeof(caller->code));
}

/* ---- what a caller gets ---- */

static void
take_tokens(
    dff_world_t *world, caller_t *caller, const dff_fx_call_tokens_t *tokens)
{
	uint64_t hash = dff_model_prompt_hash(
	    caller->model, caller->prompt, strlen(caller->prompt));
	size_t at = 0;

	if (tokens->first != caller->next) {
		world_problem(world, "caller %u got token %u in place of %u",
		    caller->number, tokens->first, caller->next);
		return;
	}
	for (uint32_t i = 0; i < tokens->count; i++) {
		char text[DFF_TOKEN_TEXT_MAX];
		size_t len = dff_model_token(hash, caller->next++, text);

		if (at + len > tokens->len ||
		    memcmp(tokens->text + at, text, len) != 0) {
			world_problem(world,
			    "caller %u got another's token at %u",
			    caller->number, caller->next - 1);
			return;
		}
		at += len;
	}
}

static void
take_end(dff_world_t *world, caller_t *caller, const dff_fx_call_end_t *end)
{
	uint64_t hash = dff_model_prompt_hash(
	    caller->model, caller->prompt, strlen(caller->prompt));
	uint32_t whole = MIN(caller->max_tokens,
	    dff_model_answer_tokens(hash, world->config.engine.output_mean));

	if (caller->next != whole || end->output_tokens != whole)
		world_problem(world,
		    "caller %u got %u tokens of %u as a whole answer",
		    caller->number, caller->next, whole);
	end_call(world, caller, DFF_GOT_WHOLE, "");
}

static void
take_reply(
    dff_world_t *world, caller_t *caller, const dff_fx_call_reply_t *reply)
{
	char *wanted = g_strdup_printf(
	    "done %016" G_GINT64_MODIFIER "x", caller->body_hash);
	bool own = reply->len == strlen(wanted) &&
	    memcmp(reply->body, wanted, reply->len) == 0;

	g_free(wanted);
	if (reply->status == 200 && !own)
		world_problem(
		    world, "caller %u got another's reply", caller->number);
	end_call(world, caller,
	    reply->status == 200 ? DFF_GOT_WHOLE : DFF_GOT_ERROR_UNKNOWN, "");
}

static void
take_refusal(
    dff_world_t *world, caller_t *caller, const dff_fx_call_refuse_t *refuse)
{
	switch (refuse->execution) {
	case DFF_EXECUTION_NOT_RUN:
		if (caller->ran > 0 || caller->next > 0)
			world_problem(world,
			    "caller %u was told not_run, but it was run (%s)",
			    caller->number, refuse->code);
		end_call(world, caller, DFF_GOT_REFUSED_NOT_RUN, refuse->code);
		return;
	case DFF_EXECUTION_UNKNOWN:
		end_call(world, caller, DFF_GOT_ERROR_UNKNOWN, refuse->code);
		return;
	case DFF_EXECUTION_RAN:
		end_call(world, caller, DFF_GOT_ERROR_RAN, refuse->code);
		return;
	}
}

static uint64_t
call_of(const dff_effect_t *effect)
{
	switch (effect->type) {
	case DFF_FX_CALL_BEGIN:
		return effect->u.call_begin.call;
	case DFF_FX_CALL_TOKENS:
		return effect->u.call_tokens.call;
	case DFF_FX_CALL_END:
		return effect->u.call_end.call;
	case DFF_FX_CALL_REPLY:
		return effect->u.call_reply.call;
	case DFF_FX_CALL_REFUSE:
		return effect->u.call_refuse.call;
	default:
		return 0;
	}
}

static void
take_effect(dff_world_t *world, caller_t *caller, const dff_effect_t *effect)
{
	switch (effect->type) {
	case DFF_FX_CALL_BEGIN:
		caller->begun = true;
		return;
	case DFF_FX_CALL_TOKENS:
		take_tokens(world, caller, &effect->u.call_tokens);
		return;
	case DFF_FX_CALL_END:
		take_end(world, caller, &effect->u.call_end);
		return;
	case DFF_FX_CALL_REPLY:
		take_reply(world, caller, &effect->u.call_reply);
		return;
	case DFF_FX_CALL_REFUSE:
		take_refusal(world, caller, &effect->u.call_refuse);
		return;
	default:
		return;
	}
}

void
caller_effect(dff_world_t *world, fake_node_t *node, const dff_effect_t *effect)
{
	caller_t *caller = caller_of(world, call_of(effect));

	if (caller == NULL || caller->node != node ||
	    caller->epoch != node->epoch) {
		world_problem(world, "%s answers a call that it has not",
		    node->place.name);
		return;
	}
	if (caller->over && caller->got == DFF_GOT_HUNG_UP)
		return;
	if (caller->over) {
		world_problem(
		    world, "caller %u got more after the end", caller->number);
		return;
	}
	take_effect(world, caller, effect);
}

void
caller_process_gone(
    dff_world_t *world, fake_node_t *node, uint64_t epoch, bool planned)
{
	for (guint i = 0; i < world->callers->len; i++) {
		caller_t *caller = g_ptr_array_index(world->callers, i);

		if (caller->node != node || caller->epoch != epoch ||
		    caller->over)
			continue;
		/* One that was still under way sees a refused connection. */
		if (planned && caller->delivered)
			world_problem(world,
			    "a graceful stop of %s cut caller %u",
			    node->place.name, caller->number);
		end_call(world, caller, DFF_GOT_BROKEN, "");
	}
}

/* ---- sending ---- */

static void
on_hang_up(dff_world_t *world, parcel_t *parcel)
{
	caller_t *caller = caller_of(world, parcel->id);
	dff_event_t event = {.type = DFF_EV_CALL_DISCONNECTED};

	if (caller->over)
		return;
	end_call(world, caller, DFF_GOT_HUNG_UP, "");
	event.u.call_disconnected.call = caller->number;
	node_feed(world, caller->node, &event);
}

static void
on_open(dff_world_t *world, parcel_t *parcel)
{
	caller_t *caller = caller_of(world, parcel->id);
	dff_event_t event = {.type = DFF_EV_CALL_OPEN};
	dff_ev_call_open_t *ev = &event.u.call_open;
	uint64_t prefix[DFF_PREFIX_BLOCKS_MAX];
	size_t len = strlen(caller->prompt);

	if (caller->over)
		return;
	caller->delivered = true;
	ev->call = caller->number;
	ev->kind = caller->kind;
	ev->secret = DFF_WORLD_SECRET;
	ev->entry = caller->entry;
	ev->idem_key = caller->key != NULL ? caller->key : "";
	ev->now_ms =
	    world->config.log.wall_start_ms + (uint64_t)(world->now / DFF_MSEC);
	ev->stream = true;
	ev->prompt_len = (uint32_t)len;
	ev->max_tokens = caller->max_tokens;
	ev->body_hash = caller->body_hash;
	ev->prefix = prefix;
	ev->prefix_count = dff_model_prefix(caller->prompt, len, prefix);
	node_feed(world, caller->node, &event);
}

static fake_node_t *
pick_node(dff_world_t *world)
{
	fake_node_t *ready[64];
	uint32_t count = 0;

	for (guint i = 0; i < world->nodes->len && count < 64; i++) {
		fake_node_t *node = g_ptr_array_index(world->nodes, i);

		if (node->config.serve && node->node != NULL && node->ready &&
		    !node->stopping)
			ready[count++] = node;
	}
	return count > 0 ? ready[dff_rand_below(world->ctx, count)] : NULL;
}

static void
send_request(dff_world_t *world, caller_t *caller)
{
	parcel_t *parcel;

	caller->opened = world->now;
	if (caller->node == NULL)
		caller->node = pick_node(world);
	if (caller->node == NULL || caller->node->node == NULL) {
		end_call(world, caller, DFF_GOT_BROKEN, "");
		return;
	}
	caller->epoch = caller->node->epoch;
	parcel = parcel_new(caller->node);
	parcel->id = caller->number;
	world_timer(world, caller->node, CALLER_DELAY, on_open, parcel);
	if (caller->patience == 0)
		return;
	parcel = parcel_new(caller->node);
	parcel->id = caller->number;
	world_timer(world, caller->node, caller->patience, on_hang_up, parcel);
}

uint32_t
dff_world_call(dff_world_t *world, const dff_world_call_t *call)
{
	caller_t *caller = g_new0(caller_t, 1);
	uint64_t hash;

	g_ptr_array_add(world->callers, caller);
	caller->number = caller->first = world->callers->len;
	caller->resend = call->resend;
	caller->kind = strcmp(call->entry, "chat") == 0 ? DFF_CALL_MODEL :
							  DFF_CALL_SERVICE;
	caller->entry = g_strdup(call->entry);
	caller->prompt = g_strdup(call->prompt != NULL ? call->prompt : "");
	caller->key = g_strdup(call->key);
	caller->max_tokens = call->max_tokens;
	caller->poison = call->poison;
	caller->patience = call->patience;
	hash = dff_hash(call->entry, strlen(call->entry), call->max_tokens);
	caller->body_hash =
	    dff_hash(caller->prompt, strlen(caller->prompt), hash);
	if (call->node != NULL)
		caller->node = world_node(world, call->node);
	send_request(world, caller);
	return caller->number;
}

/* ---- what a test asks ---- */

dff_got_t
dff_world_got(const dff_world_t *world, uint32_t number)
{
	return caller_of(world, number)->got;
}

const char *
dff_world_code(const dff_world_t *world, uint32_t number)
{
	return caller_of(world, number)->code;
}

uint32_t
dff_world_count(const dff_world_t *world, dff_got_t got)
{
	uint32_t count = 0;

	for (guint i = 0; i < world->callers->len; i++) {
		const caller_t *caller = g_ptr_array_index(world->callers, i);

		count += caller->first == caller->number && caller->got == got;
	}
	return count;
}

uint32_t
dff_world_ran(const dff_world_t *world, const char *key)
{
	uint32_t ran = 0;

	for (guint i = 0; i < world->upstreams->len; i++) {
		const upstream_t *up = g_ptr_array_index(world->upstreams, i);
		const dff_service_journal_entry_t *notes;
		size_t count;

		if (up->is_engine)
			continue;
		notes = dff_service_model_journal(up->service, &count);
		for (size_t k = 0; k < count; k++)
			ran += strcmp(notes[k].key, key) == 0;
	}
	return ran;
}

uint32_t
dff_world_crashes(const dff_world_t *world)
{
	return world->crashes;
}
