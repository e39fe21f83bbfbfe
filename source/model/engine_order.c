/*
 * Orders to the engine model, and the time downtime that they cost.
 */
#include <errno.h>
#include <string.h>

#include "engine.h"

static bool
was_accepted(const dff_engine_model_t *model, uint64_t order)
{
	for (guint i = 0; i < model->journal->len; i++) {
		const dff_engine_journal_entry_t *entry;

		entry = &g_array_index(
		    model->journal, dff_engine_journal_entry_t, i);
		if (entry->type == DFF_ENGINE_JOURNAL_ORDER &&
		    entry->incarnation == model->incarnation &&
		    entry->order == order &&
		    entry->answer == DFF_ORDER_ACCEPTED)
			return true;
	}
	return false;
}

static bool
target_is_valid(dff_order_kind_t kind, const char *target)
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
	if (model->reconfig.active)
		return DFF_ORDER_BUSY;
	if (!target_is_valid(kind, target))
		return DFF_ORDER_REFUSED;
	if (g_hash_table_size(model->jobs) > 0 && !model->config.abort_on_order)
		return DFF_ORDER_BUSY;
	return DFF_ORDER_ACCEPTED;
}

static void
abort_all(dff_engine_model_t *model, dff_time_t now, GArray *out)
{
	guint first;

	first = out->len;
	engine_abort_all(model, out);
	for (guint i = first; i < out->len; i++) {
		dff_engine_journal_entry_t *entry;

		entry =
		    engine_journal_add(model, DFF_ENGINE_JOURNAL_ABORTED, now);
		entry->id = g_array_index(out, dff_engine_out_t, i).id;
	}
}

static void
begin_downtime(dff_engine_model_t *model, dff_time_t downtime, dff_time_t now)
{
	model->reconfig.done_at = now + downtime;
	if (!model->crash_next_reconfig)
		return;
	model->crash_next_reconfig = false;
	model->reconfig.crash_at = now + downtime / 2;
}

dff_order_answer_t
dff_engine_model_order(dff_engine_model_t *model, uint64_t order,
    uint64_t fence, dff_order_kind_t kind, const char *target, dff_time_t now,
    GArray *out)
{
	dff_order_answer_t answer;
	dff_engine_journal_entry_t *entry;
	reconfig_t *reconfig = &model->reconfig;
	bool repeated;

	if (!dff_engine_model_up(model))
		return DFF_ORDER_NOT_SENT;
	repeated = was_accepted(model, order);
	answer = repeated ? DFF_ORDER_ACCEPTED :
			    answer_order(model, fence, kind, target);
	entry = engine_journal_add(model, DFF_ENGINE_JOURNAL_ORDER, now);
	entry->order = order;
	entry->fence = fence;
	entry->kind = kind;
	g_strlcpy(entry->target, target, sizeof(entry->target));
	entry->answer = answer;
	entry->repeated = repeated;
	if (repeated || answer != DFF_ORDER_ACCEPTED)
		return answer;
	abort_all(model, now, out);
	model->last_order = order;
	model->fence = MAX(model->fence, fence);
	memset(reconfig, 0, sizeof(*reconfig));
	reconfig->active = true;
	reconfig->order = order;
	reconfig->kind = kind;
	g_strlcpy(reconfig->target, target, sizeof(reconfig->target));
	reconfig->load_request_at = DFF_TIME_NEVER;
	reconfig->crash_at = DFF_TIME_NEVER;
	reconfig->done_at = DFF_TIME_NEVER;
	if (kind == DFF_ORDER_ROLE)
		begin_downtime(model, model->config.role_downtime, now);
	else
		reconfig->load_request_at = now;
	engine_state_changed(model, now);
	return answer;
}

void
dff_engine_model_load_reply(
    dff_engine_model_t *model, dff_time_t wait, dff_time_t now)
{
	reconfig_t *reconfig = &model->reconfig;

	if (!reconfig->active || reconfig->kind == DFF_ORDER_ROLE ||
	    reconfig->done_at != DFF_TIME_NEVER)
		return;
	if (wait > 0)
		reconfig->load_request_at = now + wait;
	else
		begin_downtime(model, model->config.load_downtime, now);
}

static void
finish_reconfig(dff_engine_model_t *model, dff_time_t now)
{
	reconfig_t *reconfig = &model->reconfig;
	dff_engine_journal_entry_t *entry;

	switch (reconfig->kind) {
	case DFF_ORDER_ROLE:
		model->role = (dff_role_t)dff_role_parse(reconfig->target);
		break;
	case DFF_ORDER_MODEL:
		g_strlcpy(model->model_name, reconfig->target,
		    sizeof(model->model_name));
		break;
	case DFF_ORDER_ADAPTER:
		g_strlcpy(
		    model->adapter, reconfig->target, sizeof(model->adapter));
		break;
	case DFF_ORDER_VERSION:
		model->version =
		    (uint32_t)g_ascii_strtoull(reconfig->target, NULL, 10);
		break;
	}
	if (reconfig->kind != DFF_ORDER_ROLE)
		cache_clear(model->cache);
	entry = engine_journal_add(model, DFF_ENGINE_JOURNAL_ORDER_DONE, now);
	entry->order = reconfig->order;
	memset(reconfig, 0, sizeof(*reconfig));
	engine_state_changed(model, now);
}

void
engine_reconfig_advance(dff_engine_model_t *model, dff_time_t now, GArray *out)
{
	reconfig_t *reconfig = &model->reconfig;

	if (!reconfig->active)
		return;
	if (reconfig->load_request_at <= now) {
		reconfig->load_request_at = DFF_TIME_NEVER;
		engine_emit(out, DFF_ENGINE_OUT_LOAD_REQUEST, 0);
	}
	if (reconfig->crash_at <= now) {
		dff_engine_model_crash(model, now, out);
		return;
	}
	if (reconfig->done_at <= now)
		finish_reconfig(model, now);
}

dff_time_t
engine_reconfig_next(const dff_engine_model_t *model)
{
	const reconfig_t *reconfig = &model->reconfig;

	if (!reconfig->active)
		return DFF_TIME_NEVER;
	return MIN(reconfig->load_request_at,
	    MIN(reconfig->crash_at, reconfig->done_at));
}

void
dff_engine_model_crash_next_reconfig(dff_engine_model_t *model)
{
	model->crash_next_reconfig = true;
}
