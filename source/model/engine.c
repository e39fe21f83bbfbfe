/*
 * The engine model: requests, batch steps, crashes and KV cache transfers.
 */
#include <errno.h>
#include <string.h>

#include "engine.h"

static const char *const submit_result_names[] = {
    "taken", "role", "model", "away", "full"};

const char *
dff_engine_submit_result_name(dff_engine_submit_result_t result)
{
	return result < G_N_ELEMENTS(submit_result_names) ?
	    submit_result_names[result] :
	    "?";
}

void
dff_engine_config_defaults(dff_engine_config_t *config)
{
	memset(config, 0, sizeof(*config));
	config->incarnation = 1;
	config->role = DFF_ROLE_MIXED;
	g_strlcpy(config->model, "model", sizeof(config->model));
	config->version = 1;
	config->pieces = 1000;
	config->batch_max = 32;
	config->queue_max = 256;
	config->chunk_tokens = 512;
	config->prefill_us = 60;
	config->step_us = 12000;
	config->request_us = 400;
	config->kv_piece_us = 100;
	config->kv_same_domain_us = 200;
	config->kv_cross_domain_us = 1000;
	config->kv_hold_time = 10 * DFF_SEC;
	config->role_downtime = 4 * DFF_SEC;
	config->load_downtime = 15 * DFF_SEC;
	config->restart_downtime = 10 * DFF_SEC;
	config->report_lag = 500 * DFF_MSEC;
	config->report_period = 100 * DFF_MSEC;
	config->cache_lag = 1 * DFF_SEC;
	config->cache_loss = 0.02;
}

static void
free_job(gpointer job)
{
	g_free(job);
}

void
engine_reset_state(dff_engine_model_t *model)
{
	model->role = model->config.role;
	g_strlcpy(
	    model->model_name, model->config.model, sizeof(model->model_name));
	model->version = model->config.version;
	model->adapter[0] = '\0';
	model->last_order = 0;
	/* An engine that checks fencing numbers remembers them across
	 * crashes. */
	if (!model->config.check_fence)
		model->fence = 0;
	model->restart_at = DFF_TIME_NEVER;
	model->step_end = DFF_TIME_NEVER;
}

dff_engine_model_t *
dff_engine_model_new(
    dff_ctx_t *ctx, const dff_engine_config_t *config, dff_time_t now)
{
	dff_engine_model_t *model;

	(void)ctx;
	model = g_new0(dff_engine_model_t, 1);
	model->config = *config;
	model->incarnation = config->incarnation;
	model->jobs =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_job);
	model->batch = g_ptr_array_new();
	model->waiting = g_ptr_array_new();
	model->importing = g_ptr_array_new();
	model->pending_exports =
	    g_array_new(FALSE, FALSE, sizeof(pending_export_t));
	model->journal =
	    g_array_new(FALSE, TRUE, sizeof(dff_engine_journal_entry_t));
	model->cache = cache_new();
	g_queue_init(&model->reports);
	engine_reset_state(model);
	engine_state_changed(model, now);
	return model;
}

void
dff_engine_model_drop(dff_engine_model_t *model)
{
	if (model == NULL)
		return;
	g_hash_table_unref(model->jobs);
	g_ptr_array_unref(model->batch);
	g_ptr_array_unref(model->waiting);
	g_ptr_array_unref(model->importing);
	g_array_unref(model->pending_exports);
	g_array_unref(model->journal);
	cache_drop(model->cache);
	g_queue_clear_full(&model->reports, g_free);
	g_free(model);
}

dff_engine_config_t *
dff_engine_model_config(dff_engine_model_t *model)
{
	return &model->config;
}

bool
dff_engine_model_up(const dff_engine_model_t *model)
{
	return model->restart_at == DFF_TIME_NEVER;
}

dff_engine_journal_entry_t *
engine_journal_add(
    dff_engine_model_t *model, dff_engine_journal_type_t type, dff_time_t now)
{
	dff_engine_journal_entry_t *entry;

	g_array_set_size(model->journal, model->journal->len + 1);
	entry = &g_array_index(model->journal, dff_engine_journal_entry_t,
	    model->journal->len - 1);
	entry->type = type;
	entry->at = now;
	entry->incarnation = model->incarnation;
	return entry;
}

const dff_engine_journal_entry_t *
dff_engine_model_journal(const dff_engine_model_t *model, size_t *count)
{
	*count = model->journal->len;
	return (const dff_engine_journal_entry_t *)(const void *)
	    model->journal->data;
}

void
engine_emit(GArray *out, dff_engine_out_type_t type, uint64_t id)
{
	dff_engine_out_t item = {.type = type, .id = id};

	g_array_append_val(out, item);
}

/* ---- pieces and the batch ---- */

static size_t
free_pieces(const dff_engine_model_t *model)
{
	return model->config.pieces - model->pieces_used;
}

static void
use_pieces(
    dff_ctx_t *ctx, dff_engine_model_t *model, uint32_t pieces, dff_time_t now)
{
	model->pieces_used += pieces;
	cache_shrink(ctx, model->cache, free_pieces(model), now,
	    model->config.cache_loss);
}

static uint32_t
required_pieces(const dff_engine_request_t *request)
{
	uint64_t tokens = request->prompt_tokens;

	if (request->phase != DFF_PHASE_PREFILL)
		tokens += request->max_tokens;
	return (uint32_t)MIN(
	    (tokens + DFF_PIECE_TOKENS - 1) / DFF_PIECE_TOKENS, UINT32_MAX);
}

static void
remove_job(dff_engine_model_t *model, job_t *job)
{
	switch (job->state) {
	case JOB_WAITING:
		g_ptr_array_remove(model->waiting, job);
		break;
	case JOB_IMPORTING:
		g_ptr_array_remove(model->importing, job);
		break;
	case JOB_PREFILL:
	case JOB_DECODE:
		model->pieces_used -= job->pieces;
		g_ptr_array_remove(model->batch, job);
		break;
	}
	g_hash_table_remove(model->jobs, &job->id);
}

static void
admit(dff_ctx_t *ctx, dff_engine_model_t *model, job_t *job, dff_time_t now)
{
	size_t hits;

	g_ptr_array_remove_index(model->waiting, 0);
	g_ptr_array_add(model->batch, job);
	if (job->phase == DFF_PHASE_DECODE) {
		job->state = JOB_DECODE;
		job->cached = job->prompt_tokens;
	} else {
		job->state = JOB_PREFILL;
		hits =
		    cache_match(model->cache, job->prefix, job->prefix_count);
		job->cached = (uint32_t)MIN(
		    hits * DFF_PIECE_TOKENS, job->prompt_tokens - 1);
		job->prefill_remaining -= job->cached;
	}
	use_pieces(ctx, model, job->pieces, now);
}

static void
admit_waiting(dff_ctx_t *ctx, dff_engine_model_t *model, dff_time_t now)
{
	while (model->waiting->len > 0 &&
	    model->batch->len < model->config.batch_max) {
		job_t *job = g_ptr_array_index(model->waiting, 0);

		if (job->pieces > free_pieces(model))
			return;
		admit(ctx, model, job, now);
	}
}

static double
plan_job_step(job_t *job, const dff_engine_config_t *config, uint32_t *budget)
{
	double time;

	if (job->state == JOB_DECODE) {
		time = config->request_us + job->import_us;
		job->import_us = 0;
		return time;
	}
	job->step_tokens = MIN(job->prefill_remaining, *budget);
	*budget -= job->step_tokens;
	return job->step_tokens * config->prefill_us;
}

static void
start_step(dff_ctx_t *ctx, dff_engine_model_t *model, dff_time_t now)
{
	uint32_t budget = model->config.chunk_tokens;
	double time = model->config.step_us;

	model->step_end = DFF_TIME_NEVER;
	admit_waiting(ctx, model, now);
	if (model->batch->len == 0)
		return;
	for (guint i = 0; i < model->batch->len; i++) {
		time += plan_job_step(g_ptr_array_index(model->batch, i),
		    &model->config, &budget);
	}
	model->step_end = now + MAX((dff_time_t)time, 1);
}

/* ---- results of a step ---- */

static void
add_pending_export(dff_engine_model_t *model, const job_t *job, dff_time_t now)
{
	pending_export_t export = {.id = job->id, .pieces = job->pieces};

	export.expires_at = now + model->config.kv_hold_time;
	model->pieces_used += export.pieces;
	g_array_append_val(model->pending_exports, export);
}

static void
finish_job(dff_engine_model_t *model, job_t *job, dff_time_t now, GArray *out)
{
	dff_engine_out_t *end;

	engine_emit(out, DFF_ENGINE_OUT_END, job->id);
	end = &g_array_index(out, dff_engine_out_t, out->len - 1);
	end->finish = job->finish;
	end->prompt_tokens = job->prompt_tokens;
	end->cached_tokens = job->cached;
	end->output_tokens = job->next_token;
	if (job->phase == DFF_PHASE_PREFILL)
		add_pending_export(model, job, now);
	remove_job(model, job);
}

/* Return: false if the job has ended. */
static bool
emit_token(dff_engine_model_t *model, job_t *job, dff_time_t now, GArray *out)
{
	dff_engine_out_t item = {.type = DFF_ENGINE_OUT_TOKEN};

	if (job->phase != DFF_PHASE_PREFILL &&
	    job->next_token < job->end_token) {
		item.id = job->id;
		item.prompt_hash = job->prompt_hash;
		item.index = job->next_token++;
		g_array_append_val(out, item);
	}
	if (job->phase != DFF_PHASE_PREFILL && job->next_token < job->end_token)
		return true;
	finish_job(model, job, now, out);
	return false;
}

static void
crash(dff_engine_model_t *model, uint64_t id, dff_time_t now, GArray *out)
{
	engine_journal_add(model, DFF_ENGINE_JOURNAL_CRASH, now)->id = id;
	engine_abort_all(model, out);
	g_array_set_size(model->pending_exports, 0);
	model->pieces_used = 0;
	cache_clear(model->cache);
	memset(&model->reconfig, 0, sizeof(model->reconfig));
	model->step_end = DFF_TIME_NEVER;
	model->restart_at = now + model->config.restart_downtime;
	engine_emit(out, DFF_ENGINE_OUT_CRASH, 0);
	engine_state_changed(model, now);
}

void
dff_engine_model_crash(dff_engine_model_t *model, dff_time_t now, GArray *out)
{
	if (dff_engine_model_up(model))
		crash(model, 0, now, out);
}

/* Return: false if the job has ended or the engine crashed. */
static bool
finish_chunk(dff_ctx_t *ctx, dff_engine_model_t *model, job_t *job,
    dff_time_t now, GArray *out)
{
	job->prefill_remaining -= job->step_tokens;
	if (job->prefill_remaining > 0)
		return true;
	if (job->poison) {
		crash(model, job->id, now, out);
		return false;
	}
	job->state = JOB_DECODE;
	cache_store(ctx, model->cache, job->prefix, job->prefix_count,
	    free_pieces(model), now, model->config.cache_loss);
	return emit_token(model, job, now, out);
}

static void
finish_step(
    dff_ctx_t *ctx, dff_engine_model_t *model, dff_time_t now, GArray *out)
{
	guint i = 0;

	while (i < model->batch->len) {
		job_t *job = g_ptr_array_index(model->batch, i);
		bool running;

		if (job->state == JOB_PREFILL)
			running = finish_chunk(ctx, model, job, now, out);
		else
			running = emit_token(model, job, now, out);
		if (running)
			i++;
	}
	if (!dff_engine_model_up(model))
		return;
	start_step(ctx, model, now);
	engine_state_changed(model, now);
}

/* ---- time ---- */

static dff_time_t
next_export_expiry(const dff_engine_model_t *model)
{
	/* All are held for the same time, so the first expires first. */
	if (model->pending_exports->len == 0)
		return DFF_TIME_NEVER;
	return g_array_index(model->pending_exports, pending_export_t, 0)
	    .expires_at;
}

dff_time_t
dff_engine_model_next(const dff_engine_model_t *model)
{
	dff_time_t next;

	if (!dff_engine_model_up(model))
		return model->restart_at;
	next = MIN(model->step_end, next_export_expiry(model));
	return MIN(next, engine_reconfig_next(model));
}

static void
start_if_idle(dff_ctx_t *ctx, dff_engine_model_t *model, dff_time_t now)
{
	if (model->step_end == DFF_TIME_NEVER && dff_engine_model_up(model))
		start_step(ctx, model, now);
}

static void
run_next_event(
    dff_ctx_t *ctx, dff_engine_model_t *model, dff_time_t now, GArray *out)
{
	if (!dff_engine_model_up(model)) {
		model->incarnation++;
		engine_reset_state(model);
		/* A new process publishes no reports of the old one. */
		g_queue_clear_full(&model->reports, g_free);
		engine_emit(out, DFF_ENGINE_OUT_RESTARTED, 0);
		engine_state_changed(model, now);
		return;
	}
	while (next_export_expiry(model) <= now) {
		model->pieces_used -=
		    g_array_index(model->pending_exports, pending_export_t, 0)
			.pieces;
		g_array_remove_index(model->pending_exports, 0);
	}
	engine_reconfig_advance(model, now, out);
	if (model->step_end <= now)
		finish_step(ctx, model, now, out);
	start_if_idle(ctx, model, now);
}

void
dff_engine_model_advance(
    dff_ctx_t *ctx, dff_engine_model_t *model, dff_time_t now, GArray *out)
{
	dff_time_t next;

	while ((next = dff_engine_model_next(model)) <= now)
		run_next_event(ctx, model, next, out);
}

/* ---- requests ---- */

static dff_engine_submit_result_t
check_admission(
    const dff_engine_model_t *model, const dff_engine_request_t *request)
{
	if (!dff_engine_model_up(model) || model->reconfig.active)
		return DFF_ENGINE_UNAVAILABLE;
	if (model->role == DFF_ROLE_PREFILL &&
	    request->phase != DFF_PHASE_PREFILL)
		return DFF_ENGINE_WRONG_ROLE;
	if (model->role == DFF_ROLE_DECODE &&
	    request->phase != DFF_PHASE_DECODE)
		return DFF_ENGINE_WRONG_ROLE;
	if (request->model[0] != '\0' &&
	    strcmp(request->model, model->model_name) != 0)
		return DFF_ENGINE_WRONG_MODEL;
	if (required_pieces(request) > model->config.pieces ||
	    model->waiting->len + model->importing->len >=
		model->config.queue_max)
		return DFF_ENGINE_FULL;
	return DFF_ENGINE_ACCEPTED;
}

static job_t *
new_job(dff_engine_model_t *model, const dff_engine_request_t *request)
{
	size_t count = MIN(request->prefix_count, DFF_PREFIX_BLOCKS_MAX);
	uint32_t answer = request->answer_tokens;
	job_t *job;

	job = g_malloc0(sizeof(*job) + count * sizeof(job->prefix[0]));
	job->id = request->id;
	job->arrival = model->arrivals++;
	job->prompt_hash = request->prompt_hash;
	job->prompt_tokens = MAX(request->prompt_tokens, 1);
	job->priority = request->priority;
	job->pieces = required_pieces(request);
	job->prefill_remaining = job->prompt_tokens + request->resume_at;
	job->next_token = request->resume_at;
	if (answer == 0) {
		answer = dff_model_answer_tokens(
		    request->prompt_hash, model->config.output_mean);
	}
	job->end_token = MIN(answer, request->max_tokens);
	job->finish =
	    answer <= request->max_tokens ? DFF_FINISH_STOP : DFF_FINISH_LENGTH;
	job->phase = request->phase;
	job->poison = request->poison;
	job->prefix_count = (uint32_t)count;
	if (count > 0)
		memcpy(job->prefix, request->prefix,
		    count * sizeof(job->prefix[0]));
	return job;
}

static void
enqueue_job(dff_engine_model_t *model, job_t *job)
{
	guint at = model->waiting->len;

	while (at > 0) {
		const job_t *before = g_ptr_array_index(model->waiting, at - 1);

		if (before->priority <= job->priority)
			break;
		at--;
	}
	job->state = JOB_WAITING;
	g_ptr_array_insert(model->waiting, (gint)at, job);
}

dff_engine_submit_result_t
dff_engine_model_submit(dff_ctx_t *ctx, dff_engine_model_t *model,
    const dff_engine_request_t *request, dff_time_t now)
{
	dff_engine_submit_result_t result;
	job_t *job;

	result = check_admission(model, request);
	if (result != DFF_ENGINE_ACCEPTED)
		return result;
	/* A duplicate id is the caller's error; the first request stays. */
	if (g_hash_table_contains(model->jobs, &request->id))
		return DFF_ENGINE_FULL;
	job = new_job(model, request);
	g_hash_table_insert(model->jobs, &job->id, job);
	if (model->config.journal_requests) {
		engine_journal_add(model, DFF_ENGINE_JOURNAL_GENERATE, now)
		    ->id = job->id;
	}
	if (job->phase == DFF_PHASE_DECODE) {
		job->state = JOB_IMPORTING;
		g_ptr_array_add(model->importing, job);
	} else {
		enqueue_job(model, job);
		start_if_idle(ctx, model, now);
	}
	engine_state_changed(model, now);
	return result;
}

void
dff_engine_model_cancel(dff_engine_model_t *model, uint64_t id, dff_time_t now)
{
	job_t *job;

	job = g_hash_table_lookup(model->jobs, &id);
	if (job == NULL)
		return;
	remove_job(model, job);
	engine_state_changed(model, now);
}

uint32_t
engine_abort_all(dff_engine_model_t *model, GArray *out)
{
	GPtrArray *lists[] = {model->batch, model->waiting, model->importing};
	uint32_t count = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
		while (lists[i]->len > 0) {
			job_t *job = g_ptr_array_index(lists[i], 0);

			engine_emit(out, DFF_ENGINE_OUT_ABORTED, job->id);
			remove_job(model, job);
			count++;
		}
	}
	return count;
}

/* ---- KV cache ---- */

dff_time_t
dff_engine_model_export(
    dff_engine_model_t *model, uint64_t id, dff_time_t now, uint32_t *pieces)
{
	for (guint i = 0; i < model->pending_exports->len; i++) {
		pending_export_t export =
		    g_array_index(model->pending_exports, pending_export_t, i);

		if (export.id != id)
			continue;
		*pieces = export.pieces;
		model->pieces_used -= export.pieces;
		g_array_remove_index(model->pending_exports, i);
		engine_state_changed(model, now);
		return (dff_time_t)(export.pieces * model->config.kv_piece_us);
	}
	return -ENOENT;
}

dff_time_t
dff_engine_model_transfer_time(
    const dff_engine_model_t *model, uint32_t pieces, bool same_domain)
{
	double piece_us = same_domain ? model->config.kv_same_domain_us :
					model->config.kv_cross_domain_us;

	return (dff_time_t)(pieces * piece_us);
}

int
dff_engine_model_import(
    dff_engine_model_t *model, uint64_t id, uint32_t pieces, dff_time_t now)
{
	job_t *job;

	job = g_hash_table_lookup(model->jobs, &id);
	if (job == NULL || job->state != JOB_IMPORTING)
		return -ENOENT;
	g_ptr_array_remove(model->importing, job);
	job->import_us = pieces * model->config.kv_piece_us;
	enqueue_job(model, job);
	/* An idle engine starts a step now. */
	if (model->step_end == DFF_TIME_NEVER)
		model->step_end = now;
	engine_state_changed(model, now);
	return 0;
}
