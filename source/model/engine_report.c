/*
 * Status of the engine model: load reports and cache events with a lag, and the
 * current state.
 */
#include "engine.h"

static uint64_t
backlog_of(const GPtrArray *jobs)
{
	uint64_t tokens = 0;

	for (guint i = 0; i < jobs->len; i++) {
		const job_t *job = g_ptr_array_index(jobs, i);

		if (job->phase != DFF_PHASE_DECODE)
			tokens += job->prefill_remaining;
	}
	return tokens;
}

static double
step_time(const dff_engine_model_t *model)
{
	return model->config.step_us +
	    model->config.request_us * model->batch->len;
}

static void
append_report(dff_engine_model_t *model, dff_time_t sampled_at)
{
	dff_engine_report_t *report;

	report = g_new0(dff_engine_report_t, 1);
	report->sampled_at = sampled_at;
	report->incarnation = model->incarnation;
	report->role = model->role;
	report->reconfiguring = model->reconfig.active;
	g_strlcpy(report->model, model->model_name, sizeof(report->model));
	report->version = model->version;
	report->running = model->batch->len;
	report->waiting = model->waiting->len + model->importing->len;
	report->backlog_tokens =
	    backlog_of(model->batch) + backlog_of(model->waiting);
	report->free_pieces = model->config.pieces - model->pieces_used;
	report->token_us = step_time(model);
	report->fence = model->config.check_fence ? model->fence : 0;
	g_queue_push_tail(&model->reports, report);
	model->report_pending = false;
}

static dff_time_t
next_report_at(const dff_engine_model_t *model)
{
	const dff_engine_report_t *last;

	last = g_queue_peek_tail((GQueue *)&model->reports);
	return last == NULL ? 0 :
			      last->sampled_at + model->config.report_period;
}

static void
drop_old_reports(dff_engine_model_t *model, dff_time_t until)
{
	while (model->reports.length > 1) {
		const dff_engine_report_t *second;

		second = model->reports.head->next->data;
		if (second->sampled_at > until)
			return;
		g_free(g_queue_pop_head(&model->reports));
	}
}

void
engine_state_changed(dff_engine_model_t *model, dff_time_t now)
{
	if (model->reports.length == 0 || now >= next_report_at(model)) {
		append_report(model, now);
		drop_old_reports(model, now - model->config.report_lag);
		return;
	}
	model->report_pending = true;
	model->pending_sampled_at = now;
}

void
dff_engine_model_report(
    dff_engine_model_t *model, dff_time_t now, dff_engine_report_t *report)
{
	dff_time_t until = now - model->config.report_lag;

	if (model->report_pending && now >= next_report_at(model))
		append_report(model,
		    MAX(model->pending_sampled_at, next_report_at(model)));
	drop_old_reports(model, until);
	*report = *(dff_engine_report_t *)model->reports.head->data;
	report->sampled_at = MAX(report->sampled_at, until);
}

void
dff_engine_model_state(
    const dff_engine_model_t *model, dff_engine_state_t *state)
{
	state->incarnation = model->incarnation;
	state->role = model->role;
	state->model = model->model_name;
	state->version = model->version;
	state->adapter = model->adapter;
	state->reconfiguring = model->reconfig.active;
	state->running = g_hash_table_size(model->jobs);
	state->last_order = model->last_order;
	state->fence = model->fence;
}

uint64_t
dff_engine_model_cache_events(dff_engine_model_t *model, uint64_t since,
    dff_time_t now, GArray *stored, GArray *evicted, bool *gap)
{
	*gap = false;
	return cache_events(model->cache, since, now - model->config.cache_lag,
	    stored, evicted, gap);
}
