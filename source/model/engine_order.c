/*
 * Orders to the engine model, and the time away that they cost.
 */
#include <errno.h>
#include <string.h>

#include "engine.h"

static bool
was_accepted(const dff_engine_model_t *model, uint64_t order)
{
	for (guint i = 0; i < model->journal->len; i++) {
		const dff_engine_note_t *note;

		note = &g_array_index(model->journal, dff_engine_note_t, i);
		if (note->type == DFF_ENGINE_NOTE_ORDER &&
		    note->incarnation == model->incarnation &&
		    note->order == order && note->answer == DFF_ORDER_ACCEPTED)
			return true;
	}
	return false;
}

static bool
target_sound(dff_order_kind_t kind, const char *target)
{
	if (target[0] == '\0' || strlen(target) >= DFF_NAME_MAX)
		return false;
	switch (kind) {
	case DFF_ORDER_ROLE:
		return dff_role_parse(target) >= 0;
	case DFF_ORDER_VERSION:
		return g_ascii_string_to_unsigned(
		    target, 10, 1, UINT32_MAX, NULL, NULL);
	case DFF_ORDER_MODEL:
	case DFF_ORDER_ADAPTER:
		return true;
	}
	return false;
}

static dff_order_answer_t
answer_order(const dff_engine_model_t *model, uint64_t fence,
    dff_order_kind_t kind, const char *target)
{
	if (model->config.check_fence && fence < model->fence)
		return DFF_ORDER_FENCED;
	if (model->change.open)
		return DFF_ORDER_BUSY;
	if (!target_sound(kind, target))
		return DFF_ORDER_REFUSED;
	if (g_hash_table_size(model->jobs) > 0 && !model->config.cut_on_order)
		return DFF_ORDER_BUSY;
	return DFF_ORDER_ACCEPTED;
}

static void
cut_all(dff_engine_model_t *model, dff_time_t now, GArray *out)
{
	guint first;

	first = out->len;
	engine_break_all(model, out);
	for (guint i = first; i < out->len; i++) {
		dff_engine_note_t *note;

		note = engine_note(model, DFF_ENGINE_NOTE_CUT, now);
		note->id = g_array_index(out, dff_engine_out_t, i).id;
	}
}

static void
begin_away(dff_engine_model_t *model, dff_time_t away, dff_time_t now)
{
	model->change.done_at = now + away;
	if (!model->crash_next)
		return;
	model->crash_next = false;
	model->change.crash_at = now + away / 2;
}

dff_order_answer_t
dff_engine_model_order(dff_engine_model_t *model, uint64_t order,
    uint64_t fence, dff_order_kind_t kind, const char *target, dff_time_t now,
    GArray *out)
{
	dff_order_answer_t answer;
	dff_engine_note_t *note;
	change_t *change = &model->change;
	bool repeated;

	if (!dff_engine_model_up(model))
		return DFF_ORDER_NOT_SENT;
	repeated = was_accepted(model, order);
	answer = repeated ? DFF_ORDER_ACCEPTED :
			    answer_order(model, fence, kind, target);
	note = engine_note(model, DFF_ENGINE_NOTE_ORDER, now);
	note->order = order;
	note->fence = fence;
	note->kind = kind;
	g_strlcpy(note->target, target, sizeof(note->target));
	note->answer = answer;
	note->repeated = repeated;
	if (repeated || answer != DFF_ORDER_ACCEPTED)
		return answer;
	cut_all(model, now, out);
	model->last_order = order;
	model->fence = MAX(model->fence, fence);
	memset(change, 0, sizeof(*change));
	change->open = true;
	change->order = order;
	change->kind = kind;
	g_strlcpy(change->target, target, sizeof(change->target));
	change->ask_at = DFF_TIME_NEVER;
	change->crash_at = DFF_TIME_NEVER;
	change->done_at = DFF_TIME_NEVER;
	if (kind == DFF_ORDER_ROLE)
		begin_away(model, model->config.role_away, now);
	else
		change->ask_at = now;
	engine_touch(model, now);
	return answer;
}

void
dff_engine_model_leave(
    dff_engine_model_t *model, dff_time_t wait, dff_time_t now)
{
	change_t *change = &model->change;

	if (!change->open || change->kind == DFF_ORDER_ROLE ||
	    change->done_at != DFF_TIME_NEVER)
		return;
	if (wait > 0)
		change->ask_at = now + wait;
	else
		begin_away(model, model->config.load_away, now);
}

static void
finish_change(dff_engine_model_t *model, dff_time_t now)
{
	change_t *change = &model->change;
	dff_engine_note_t *note;

	switch (change->kind) {
	case DFF_ORDER_ROLE:
		model->role = (dff_role_t)dff_role_parse(change->target);
		break;
	case DFF_ORDER_MODEL:
		g_strlcpy(model->name, change->target, sizeof(model->name));
		break;
	case DFF_ORDER_ADAPTER:
		g_strlcpy(
		    model->adapter, change->target, sizeof(model->adapter));
		break;
	case DFF_ORDER_VERSION:
		model->version =
		    (uint32_t)g_ascii_strtoull(change->target, NULL, 10);
		break;
	}
	if (change->kind != DFF_ORDER_ROLE)
		cache_clear(model->cache);
	note = engine_note(model, DFF_ENGINE_NOTE_DONE, now);
	note->order = change->order;
	memset(change, 0, sizeof(*change));
	engine_touch(model, now);
}

void
engine_change_due(dff_engine_model_t *model, dff_time_t now, GArray *out)
{
	change_t *change = &model->change;

	if (!change->open)
		return;
	if (change->ask_at <= now) {
		change->ask_at = DFF_TIME_NEVER;
		engine_emit(out, DFF_ENGINE_OUT_LEAVE, 0);
	}
	if (change->crash_at <= now) {
		dff_engine_model_crash(model, now, out);
		return;
	}
	if (change->done_at <= now)
		finish_change(model, now);
}

dff_time_t
engine_change_next(const dff_engine_model_t *model)
{
	const change_t *change = &model->change;

	if (!change->open)
		return DFF_TIME_NEVER;
	return MIN(change->ask_at, MIN(change->crash_at, change->done_at));
}

void
dff_engine_model_crash_in_change(dff_engine_model_t *model)
{
	model->crash_next = true;
}
