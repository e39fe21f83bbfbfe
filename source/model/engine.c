/*
 * The engine model: requests, steps of the batch, crashes, reports.
 */
#include <errno.h>
#include <string.h>

#include "engine.h"

static const char *const verdict_names[] = {
    "taken", "role", "model", "away", "full"};

const char *
dff_engine_verdict_name(dff_engine_verdict_t verdict)
{
	return verdict < G_N_ELEMENTS(verdict_names) ? verdict_names[verdict] :
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
	config->kv_near_us = 200;
	config->kv_far_us = 1000;
	config->kv_keep = 10 * DFF_SEC;
	config->role_away = 4 * DFF_SEC;
	config->load_away = 15 * DFF_SEC;
	config->restart_away = 10 * DFF_SEC;
	config->report_lag = 500 * DFF_MSEC;
	config->report_every = 100 * DFF_MSEC;
	config->cache_lag = 1 * DFF_SEC;
	config->cache_loss = 0.02;
}

static void
free_job(gpointer job)
{
	g_free(job);
}

void
engine_set_loaded(dff_engine_model_t *model)
{
	model->role = model->config.role;
	g_strlcpy(model->name, model->config.model, sizeof(model->name));
	model->version = model->config.version;
	model->adapter[0] = '\0';
	model->last_order = 0;
	/* An engine that checks the number does so across its crashes. */
	if (!model->config.check_fence)
		model->fence = 0;
	model->back_at = DFF_TIME_NEVER;
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
	model->kept = g_array_new(FALSE, FALSE, sizeof(kept_kv_t));
	model->journal = g_array_new(FALSE, TRUE, sizeof(dff_engine_note_t));
	model->cache = cache_new();
	g_queue_init(&model->reports);
	engine_set_loaded(model);
	engine_touch(model, now);
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
	g_array_unref(model->kept);
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
	return model->back_at == DFF_TIME_NEVER;
}

dff_engine_note_t *
engine_note(
    dff_engine_model_t *model, dff_engine_note_type_t type, dff_time_t now)
{
	dff_engine_note_t *note;

	g_array_set_size(model->journal, model->journal->len + 1);
	note = &g_array_index(
	    model->journal, dff_engine_note_t, model->journal->len - 1);
	note->type = type;
	note->at = now;
	note->incarnation = model->incarnation;
	return note;
}

const dff_engine_note_t *
dff_engine_model_journal(const dff_engine_model_t *model, size_t *count)
{
	*count = model->journal->len;
	return (const dff_engine_note_t *)(const void *)model->journal->data;
}

void
engine_emit(GArray *out, dff_engine_out_type_t type, uint64_t id)
{
	dff_engine_out_t item = {.type = type, .id = id};

	g_array_append_val(out, item);
}

/* ---- pieces and the batch ---- */

static size_t
room(const dff_engine_model_t *model)
{
	return model->config.pieces - model->held;
}

static void
hold(dff_ctx_t *ctx, dff_engine_model_t *model, uint32_t pieces, dff_time_t now)
{
	model->held += pieces;
	cache_shrink(
	    ctx, model->cache, room(model), now, model->config.cache_loss);
}

static uint32_t
pieces_of(const dff_engine_request_t *request)
{
	uint64_t tokens = request->prompt_tokens;

	if (request->phase != DFF_PHASE_PREFILL)
		tokens += request->max_tokens;
	return (uint32_t)MIN(
	    (tokens + DFF_PIECE_TOKENS - 1) / DFF_PIECE_TOKENS, UINT32_MAX);
}

static void
forget_job(dff_engine_model_t *model, job_t *job)
{
	switch (job->state) {
	case JOB_WAIT:
		g_ptr_array_remove(model->waiting, job);
		break;
	case JOB_IMPORT:
		g_ptr_array_remove(model->importing, job);
		break;
	case JOB_PREFILL:
	case JOB_DECODE:
		model->held -= job->pieces;
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
		job->prefill_left -= job->cached;
	}
	hold(ctx, model, job->pieces, now);
}

static void
admit_waiting(dff_ctx_t *ctx, dff_engine_model_t *model, dff_time_t now)
{
	while (model->waiting->len > 0 &&
	    model->batch->len < model->config.batch_max) {
		job_t *job = g_ptr_array_index(model->waiting, 0);

		if (job->pieces > room(model))
			return;
		admit(ctx, model, job, now);
	}
}

static double
plan_job(job_t *job, const dff_engine_config_t *config, uint32_t *budget)
{
	double time;

	if (job->state == JOB_DECODE) {
		time = config->request_us + job->import_us;
		job->import_us = 0;
		return time;
	}
	job->chunk = MIN(job->prefill_left, *budget);
	*budget -= job->chunk;
	return job->chunk * config->prefill_us;
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
		time += plan_job(g_ptr_array_index(model->batch, i),
		    &model->config, &budget);
	}
	model->step_end = now + MAX((dff_time_t)time, 1);
}

/* ---- what a step gives ---- */

static void
keep_kv(dff_engine_model_t *model, const job_t *job, dff_time_t now)
{
	kept_kv_t kept = {.id = job->id, .pieces = job->pieces};

	kept.until = now + model->config.kv_keep;
	model->held += kept.pieces;
	g_array_append_val(model->kept, kept);
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
	end->output_tokens = job->next;
	if (job->phase == DFF_PHASE_PREFILL)
		keep_kv(model, job, now);
	forget_job(model, job);
}

/* Return: false if the job has ended. */
static bool
give_token(dff_engine_model_t *model, job_t *job, dff_time_t now, GArray *out)
{
	dff_engine_out_t item = {.type = DFF_ENGINE_OUT_TOKEN};

	if (job->phase != DFF_PHASE_PREFILL && job->next < job->stop) {
		item.id = job->id;
		item.prompt_hash = job->prompt_hash;
		item.index = job->next++;
		g_array_append_val(out, item);
	}
	if (job->phase != DFF_PHASE_PREFILL && job->next < job->stop)
		return true;
	finish_job(model, job, now, out);
	return false;
}

static void
crash_by(dff_engine_model_t *model, uint64_t id, dff_time_t now, GArray *out)
{
	engine_note(model, DFF_ENGINE_NOTE_CRASH, now)->id = id;
	engine_break_all(model, out);
	g_array_set_size(model->kept, 0);
	model->held = 0;
	cache_clear(model->cache);
	memset(&model->change, 0, sizeof(model->change));
	model->step_end = DFF_TIME_NEVER;
	model->back_at = now + model->config.restart_away;
	engine_emit(out, DFF_ENGINE_OUT_CRASH, 0);
	engine_touch(model, now);
}

void
dff_engine_model_crash(dff_engine_model_t *model, dff_time_t now, GArray *out)
{
	if (dff_engine_model_up(model))
		crash_by(model, 0, now, out);
}

/* Return: false if the job has ended, or with it the engine. */
static bool
finish_chunk(dff_ctx_t *ctx, dff_engine_model_t *model, job_t *job,
    dff_time_t now, GArray *out)
{
	job->prefill_left -= job->chunk;
	if (job->prefill_left > 0)
		return true;
	if (job->poison) {
		crash_by(model, job->id, now, out);
		return false;
	}
	job->state = JOB_DECODE;
	cache_store(ctx, model->cache, job->prefix, job->prefix_count,
	    room(model), now, model->config.cache_loss);
	return give_token(model, job, now, out);
}

static void
finish_step(
    dff_ctx_t *ctx, dff_engine_model_t *model, dff_time_t now, GArray *out)
{
	guint i = 0;

	while (i < model->batch->len) {
		job_t *job = g_ptr_array_index(model->batch, i);
		bool stays;

		if (job->state == JOB_PREFILL)
			stays = finish_chunk(ctx, model, job, now, out);
		else
			stays = give_token(model, job, now, out);
		if (stays)
			i++;
	}
	if (!dff_engine_model_up(model))
		return;
	start_step(ctx, model, now);
	engine_touch(model, now);
}

/* ---- time ---- */

static dff_time_t
kept_next(const dff_engine_model_t *model)
{
	/* Each is kept for the same time, so the first ends first. */
	if (model->kept->len == 0)
		return DFF_TIME_NEVER;
	return g_array_index(model->kept, kept_kv_t, 0).until;
}

dff_time_t
dff_engine_model_next(const dff_engine_model_t *model)
{
	dff_time_t next;

	if (!dff_engine_model_up(model))
		return model->back_at;
	next = MIN(model->step_end, kept_next(model));
	return MIN(next, engine_change_next(model));
}

static void
start_idle(dff_ctx_t *ctx, dff_engine_model_t *model, dff_time_t now)
{
	if (model->step_end == DFF_TIME_NEVER && dff_engine_model_up(model))
		start_step(ctx, model, now);
}

static void
do_due(dff_ctx_t *ctx, dff_engine_model_t *model, dff_time_t now, GArray *out)
{
	if (!dff_engine_model_up(model)) {
		model->incarnation++;
		engine_set_loaded(model);
		/* A new process publishes nothing of the old one. */
		g_queue_clear_full(&model->reports, g_free);
		engine_emit(out, DFF_ENGINE_OUT_BACK, 0);
		engine_touch(model, now);
		return;
	}
	while (kept_next(model) <= now) {
		model->held -= g_array_index(model->kept, kept_kv_t, 0).pieces;
		g_array_remove_index(model->kept, 0);
	}
	engine_change_due(model, now, out);
	if (model->step_end <= now)
		finish_step(ctx, model, now, out);
	start_idle(ctx, model, now);
}

void
dff_engine_model_advance(
    dff_ctx_t *ctx, dff_engine_model_t *model, dff_time_t now, GArray *out)
{
	dff_time_t next;

	while ((next = dff_engine_model_next(model)) <= now)
		do_due(ctx, model, next, out);
}

/* ---- requests ---- */

static dff_engine_verdict_t
judge(const dff_engine_model_t *model, const dff_engine_request_t *request)
{
	if (!dff_engine_model_up(model) || model->change.open)
		return DFF_ENGINE_AWAY;
	if (model->role == DFF_ROLE_PREFILL &&
	    request->phase != DFF_PHASE_PREFILL)
		return DFF_ENGINE_WRONG_ROLE;
	if (model->role == DFF_ROLE_DECODE &&
	    request->phase != DFF_PHASE_DECODE)
		return DFF_ENGINE_WRONG_ROLE;
	if (request->model[0] != '\0' &&
	    strcmp(request->model, model->name) != 0)
		return DFF_ENGINE_WRONG_MODEL;
	if (pieces_of(request) > model->config.pieces ||
	    model->waiting->len + model->importing->len >=
		model->config.queue_max)
		return DFF_ENGINE_FULL;
	return DFF_ENGINE_TAKEN;
}

static job_t *
new_job(dff_engine_model_t *model, const dff_engine_request_t *request)
{
	size_t count = MIN(request->prefix_count, DFF_PREFIX_BLOCKS_MAX);
	uint32_t answer = request->answer_tokens;
	job_t *job;

	job = g_malloc0(sizeof(*job) + count * sizeof(job->prefix[0]));
	job->id = request->id;
	job->order = model->arrivals++;
	job->prompt_hash = request->prompt_hash;
	job->prompt_tokens = MAX(request->prompt_tokens, 1);
	job->priority = request->priority;
	job->pieces = pieces_of(request);
	job->prefill_left = job->prompt_tokens + request->resume_at;
	job->next = request->resume_at;
	if (answer == 0) {
		answer = dff_model_answer_tokens(
		    request->prompt_hash, model->config.output_mean);
	}
	job->stop = MIN(answer, request->max_tokens);
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
queue_job(dff_engine_model_t *model, job_t *job)
{
	guint at = model->waiting->len;

	while (at > 0) {
		const job_t *before = g_ptr_array_index(model->waiting, at - 1);

		if (before->priority <= job->priority)
			break;
		at--;
	}
	job->state = JOB_WAIT;
	g_ptr_array_insert(model->waiting, (gint)at, job);
}

dff_engine_verdict_t
dff_engine_model_submit(dff_ctx_t *ctx, dff_engine_model_t *model,
    const dff_engine_request_t *request, dff_time_t now)
{
	dff_engine_verdict_t verdict;
	job_t *job;

	verdict = judge(model, request);
	if (verdict != DFF_ENGINE_TAKEN)
		return verdict;
	/* A number that is used twice is a caller's fault; the first stays. */
	if (g_hash_table_contains(model->jobs, &request->id))
		return DFF_ENGINE_FULL;
	job = new_job(model, request);
	g_hash_table_insert(model->jobs, &job->id, job);
	if (model->config.keep_journal) {
		engine_note(model, DFF_ENGINE_NOTE_GENERATE, now)->id = job->id;
	}
	if (job->phase == DFF_PHASE_DECODE) {
		job->state = JOB_IMPORT;
		g_ptr_array_add(model->importing, job);
	} else {
		queue_job(model, job);
		start_idle(ctx, model, now);
	}
	engine_touch(model, now);
	return verdict;
}

void
dff_engine_model_cancel(dff_engine_model_t *model, uint64_t id, dff_time_t now)
{
	job_t *job;

	job = g_hash_table_lookup(model->jobs, &id);
	if (job == NULL)
		return;
	forget_job(model, job);
	engine_touch(model, now);
}

uint32_t
engine_break_all(dff_engine_model_t *model, GArray *out)
{
	GPtrArray *lists[] = {model->batch, model->waiting, model->importing};
	uint32_t count = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
		while (lists[i]->len > 0) {
			job_t *job = g_ptr_array_index(lists[i], 0);

			engine_emit(out, DFF_ENGINE_OUT_BROKEN, job->id);
			forget_job(model, job);
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
	for (guint i = 0; i < model->kept->len; i++) {
		kept_kv_t kept = g_array_index(model->kept, kept_kv_t, i);

		if (kept.id != id)
			continue;
		*pieces = kept.pieces;
		model->held -= kept.pieces;
		g_array_remove_index(model->kept, i);
		engine_touch(model, now);
		return (dff_time_t)(kept.pieces * model->config.kv_piece_us);
	}
	return -ENOENT;
}

dff_time_t
dff_engine_model_link_time(
    const dff_engine_model_t *model, uint32_t pieces, bool near)
{
	double each = near ? model->config.kv_near_us : model->config.kv_far_us;

	return (dff_time_t)(pieces * each);
}

int
dff_engine_model_import(
    dff_engine_model_t *model, uint64_t id, uint32_t pieces, dff_time_t now)
{
	job_t *job;

	job = g_hash_table_lookup(model->jobs, &id);
	if (job == NULL || job->state != JOB_IMPORT)
		return -ENOENT;
	g_ptr_array_remove(model->importing, job);
	job->import_us = pieces * model->config.kv_piece_us;
	queue_job(model, job);
	/* An idle engine takes it up at its next moment, which is now. */
	if (model->step_end == DFF_TIME_NEVER)
		model->step_end = now;
	engine_touch(model, now);
	return 0;
}
