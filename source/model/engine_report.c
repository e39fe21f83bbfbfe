/*
 * What the engine model tells of itself: load reports with a lag, cache
 * events, and its state right now.
 */
#include "engine.h"

static uint64_t
backlog(const GPtrArray *jobs)
{
	uint64_t tokens = 0;

	for (guint i = 0; i < jobs->len; i++) {
		const job_t *job = g_ptr_array_index(jobs, i);

		if (job->phase != DFF_PHASE_DECODE)
			tokens += job->prefill_left;
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
push_report(dff_engine_model_t *model, dff_time_t from)
{
	dff_engine_report_t *report;

	report = g_new0(dff_engine_report_t, 1);
	report->taken = from;
	report->incarnation = model->incarnation;
	report->role = model->role;
	report->changing = model->change.open;
	g_strlcpy(report->model, model->name, sizeof(report->model));
	report->version = model->version;
	report->running = model->batch->len;
	report->waiting = model->waiting->len + model->importing->len;
	report->backlog_tokens =
	    backlog(model->batch) + backlog(model->waiting);
	report->free_pieces = model->config.pieces - model->held;
	report->token_us = step_time(model);
	report->fence = model->config.check_fence ? model->fence : 0;
	g_queue_push_tail(&model->reports, report);
	model->report_due = false;
}

static dff_time_t
report_from(const dff_engine_model_t *model)
{
	const dff_engine_report_t *last;

	last = g_queue_peek_tail((GQueue *)&model->reports);
	return last == NULL ? 0 : last->taken + model->config.report_every;
}

static void
drop_old(dff_engine_model_t *model, dff_time_t until)
{
	while (model->reports.length > 1) {
		const dff_engine_report_t *second;

		second = model->reports.head->next->data;
		if (second->taken > until)
			return;
		g_free(g_queue_pop_head(&model->reports));
	}
}

void
engine_touch(dff_engine_model_t *model, dff_time_t now)
{
	if (model->reports.length == 0 || now >= report_from(model)) {
		push_report(model, now);
		drop_old(model, now - model->config.report_lag);
		return;
	}
	model->report_due = true;
	model->report_from = now;
}

void
dff_engine_model_report(
    dff_engine_model_t *model, dff_time_t now, dff_engine_report_t *report)
{
	dff_time_t until = now - model->config.report_lag;

	if (model->report_due && now >= report_from(model))
		push_report(model, MAX(model->report_from, report_from(model)));
	drop_old(model, until);
	*report = *(dff_engine_report_t *)model->reports.head->data;
	report->taken = MAX(report->taken, until);
}

void
dff_engine_model_state(
    const dff_engine_model_t *model, dff_engine_state_t *state)
{
	state->incarnation = model->incarnation;
	state->role = model->role;
	state->model = model->name;
	state->version = model->version;
	state->adapter = model->adapter;
	state->changing = model->change.open;
	state->running = g_hash_table_size(model->jobs);
	state->last_order = model->last_order;
	state->fence = model->fence;
}

uint64_t
dff_engine_model_cache(dff_engine_model_t *model, uint64_t since,
    dff_time_t now, GArray *stored, GArray *evicted, bool *gap)
{
	*gap = false;
	return cache_events(model->cache, since, now - model->config.cache_lag,
	    stored, evicted, gap);
}
