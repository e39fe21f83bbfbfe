#include "stream_sim.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

#include "base/fault.h"

#define TICK	   (2 * DFF_MSEC)
#define START_TIME (1000 * DFF_SEC)
/* Events of a stream, and the time between them. */
#define EVENTS	   8
#define EVENT_TIME (40 * DFF_MSEC)
/* Bounds of the time from a send to its first event. */
#define FIRST_MIN (20 * DFF_MSEC)
#define FIRST_MAX (250 * DFF_MSEC)
/* Bounds of the time that the store takes. */
#define APPEND_MIN (8 * DFF_MSEC)
#define APPEND_MAX (50 * DFF_MSEC)
#define READ_MIN   (4 * DFF_MSEC)
#define READ_MAX   (25 * DFF_MSEC)
#define LATE_TIME  DFF_SEC
/* Records that the store loses when it comes back from an older copy. */
#define RETURN_ROWS 20
/* Time between answers of the record source. */
#define SOURCE_INTERVAL (500 * DFF_MSEC)
/* Downtime of a crashed engine, and time from its record to its service. */
#define RESTART_MIN (800 * DFF_MSEC)
#define RESTART_MAX (2 * DFF_SEC)
#define LISTEN_LAG  (100 * DFF_MSEC)
/* Requests by which a caller tries to get one stream. */
#define TRIES_MAX 5
#define RETRY_MIN (100 * DFF_MSEC)
/* Time after a disturbance in which resumptions do not count. */
#define CONTACT_TIME (3 * DFF_SEC)

typedef struct engine {
	char id[16];
	int version;
	uint64_t started;
	uint64_t seq;
	int starts;
	dff_time_t listens_at; /* DFF_TIME_NEVER while it is down */
	dff_time_t record_at; /* of its restart; 0 if none is due */
} engine_t;

typedef struct node {
	relay_bench_t *bench; /* NULL while it is down */
	uint64_t incarnation;
	dff_time_t start_at; /* while it is down */
	dff_time_t started;
	guint next_row; /* of the store's log that it reads next */
	uint64_t era; /* of the store, as it knows it */
	GHashTable *streams; /* number of a call to index of a stream, plus 1 */
} node_t;

typedef struct stream {
	int tries;
	int events; /* that its caller has */
	int version; /* of these; 0 before any */
	char first[16]; /* attempt that brought the first event */
	char attempt[16];
	bool got_event; /* in this attempt */
	bool resumes; /* this attempt */
	bool counted; /* in @resumed */
	bool joined;
	dff_time_t retry_at; /* 0 while a request is open, or at the end */
} stream_t;

typedef struct job {
	int node;
	uint64_t incarnation; /* of the node */
	uint64_t send;
	int engine;
	int start; /* of the engine */
	int version;
	int event; /* last one sent */
	bool rejects;
	bool unreached;
	bool head_sent;
	dff_time_t at;
} job_t;

typedef struct row {
	dff_stream_origin_t stream;
	uint64_t era; /* in which its node wrote it */
} row_t;

typedef struct store_call {
	int node;
	uint64_t incarnation;
	dff_time_t at;
	GArray *rows; /* row_t to be appended; NULL for a read */
	uint64_t batch;
	bool silent; /* its answer is lost */
} store_call_t;

static stream_sim_config_t config;
static stream_sim_counts_t counts;
static GRand *rng;
static dff_time_t now;
static node_t nodes[STREAM_SIM_NODES_MAX];
static engine_t engines[STREAM_SIM_ENGINES_MAX];
static GArray *streams;
static GArray *jobs;
static GArray *store_calls;
static GArray *store_log; /* row_t */
static uint64_t store_era;
static dff_time_t outage_end;
static const job_t *feeding; /* job whose bytes a relay is given */

static void take_effects(int index);

static dff_time_t
rand_time(dff_time_t min, dff_time_t max)
{
	return min + (dff_time_t)(g_rand_double(rng) * (double)(max - min));
}

static void
feed(int index, const dff_relay_event_t *event)
{
	nodes[index].bench->now = now;
	relay_bench_step(nodes[index].bench, event);
	take_effects(index);
}

static bool
is_alive(int index, uint64_t incarnation)
{
	return nodes[index].bench != NULL &&
	    nodes[index].incarnation == incarnation;
}

/* ---- engines ---- */

static void
send_record(int index, const engine_t *engine, bool leaving, bool removed)
{
	dff_relay_event_t event = {.type = DFF_RELAY_UPSTREAM};
	dff_upstream_record_t *record = &event.upstream;

	g_strlcpy(record->id, engine->id, sizeof(record->id));
	(void)g_snprintf(record->addr, sizeof(record->addr), "10.9.0.%d:80",
	    (int)(engine - engines) + 1);
	g_strlcpy(record->domain, "a", sizeof(record->domain));
	g_strlcpy(record->pool, "llm", sizeof(record->pool));
	(void)g_snprintf(
	    record->software, sizeof(record->software), "v%d", engine->version);
	record->role = DFF_ROLE_DECODE;
	record->slots = 64;
	record->started_ms = engine->started;
	record->seq = engine->seq;
	record->leaving = leaving;
	record->removed = removed;
	feed(index, &event);
}

static void
tell_all(engine_t *engine, bool leaving, bool removed)
{
	engine->seq++;
	for (int i = 0; i < config.nodes; i++) {
		if (nodes[i].bench != NULL)
			send_record(i, engine, leaving, removed);
	}
}

static void
start_engine(engine_t *engine, bool same_id)
{
	engine->starts++;
	engine->version = g_rand_int_range(rng, 1, 3);
	engine->started = (uint64_t)(now / DFF_MSEC);
	engine->seq = 0;
	if (!same_id)
		(void)g_snprintf(engine->id, sizeof(engine->id), "e%d-%d",
		    (int)(engine - engines), engine->starts);
	engine->record_at = 0;
	engine->listens_at = now + LISTEN_LAG;
	tell_all(engine, false, false);
}

static void
crash_engine(engine_t *engine)
{
	if (engine->listens_at > now)
		return;
	for (guint i = 0; i < jobs->len; i++) {
		job_t *job = &g_array_index(jobs, job_t, i);

		if (&engines[job->engine] == engine &&
		    job->start == engine->starts)
			job->at = MIN(job->at, now);
	}
	engine->listens_at = DFF_TIME_NEVER;
	engine->record_at = now + rand_time(RESTART_MIN, RESTART_MAX);
}

/* A new engine takes the place of one that goes on with what it runs. */
static void
replace_engine(engine_t *engine)
{
	if (engine->listens_at > now)
		return;
	tell_all(engine, true, false);
	start_engine(engine, false);
}

static void
run_engines(void)
{
	for (int i = 0; i < config.engines; i++) {
		engine_t *engine = &engines[i];
		bool same_id = g_rand_boolean(rng);

		if (engine->record_at == 0 || engine->record_at > now)
			continue;
		if (!same_id)
			tell_all(engine, false, true);
		start_engine(engine, same_id);
	}
}

static bool
version_serves(int version)
{
	int count = 0;

	for (int i = 0; i < config.engines; i++)
		count += engines[i].version == version &&
		    engines[i].listens_at <= now;
	return count >= 2;
}

/* ---- callers ---- */

static int
pick_node(void)
{
	for (int i = 0; i < 20; i++) {
		int index = g_rand_int_range(rng, 0, config.nodes);

		if (nodes[index].bench != NULL)
			return index;
	}
	return -1;
}

static void
open_request(guint number)
{
	stream_t *stream = &g_array_index(streams, stream_t, number);
	int index = pick_node();
	uint64_t call;

	if (index < 0) {
		stream->retry_at = now + RETRY_MIN;
		return;
	}
	stream->retry_at = 0;
	stream->got_event = false;
	stream->resumes = stream->events > 0;
	(void)g_snprintf(stream->attempt, sizeof(stream->attempt), "s%u.%d",
	    number, stream->tries++);
	stream->counted = stream->resumes && version_serves(stream->version) &&
	    now - outage_end > CONTACT_TIME &&
	    now - nodes[index].started > CONTACT_TIME;
	counts.resumed += stream->counted;
	counts.resumed_all += stream->resumes;
	counts.opened += !stream->resumes;
	call = nodes[index].bench->next_call + 1;
	g_hash_table_insert(nodes[index].streams, GUINT_TO_POINTER((guint)call),
	    GUINT_TO_POINTER(number + 1));
	nodes[index].bench->now = now;
	(void)relay_bench_open_stream(nodes[index].bench, "/resume/x",
	    stream->attempt, stream->resumes ? stream->first : "",
	    stream->resumes ? stream->events : -1);
	take_effects(index);
}

static stream_t *
find_stream(int index, uint64_t call)
{
	gpointer number = g_hash_table_lookup(
	    nodes[index].streams, GUINT_TO_POINTER((guint)call));

	return number == NULL ?
	    NULL :
	    &g_array_index(streams, stream_t, GPOINTER_TO_UINT(number) - 1);
}

static void
end_request(int index, uint64_t call, dff_time_t retry_after)
{
	stream_t *stream = find_stream(index, call);

	if (stream == NULL)
		return;
	(void)g_hash_table_remove(
	    nodes[index].streams, GUINT_TO_POINTER((guint)call));
	if (stream->events < EVENTS && stream->tries < TRIES_MAX)
		stream->retry_at = now + MAX(retry_after, RETRY_MIN);
}

static void
note_event(stream_t *stream, int number)
{
	if (number != stream->events + 1)
		counts.disordered++;
	if (stream->events == 0)
		g_strlcpy(
		    stream->first, stream->attempt, sizeof(stream->first));
	if (stream->version != 0 && stream->version != feeding->version &&
	    !stream->joined) {
		stream->joined = true;
		counts.joined++;
	}
	stream->version = feeding->version;
	stream->events = number;
	if (!stream->got_event) {
		counts.begun += !stream->resumes;
		counts.went_on += stream->counted;
	}
	stream->got_event = true;
}

static void
note_bytes(int index, const dff_relay_forward_t *fx)
{
	stream_t *stream = find_stream(index, fx->call);
	char *text = g_strndup(fx->bytes, fx->len);
	char **events = g_strsplit(text, "\n\n", -1);

	for (int i = 0; stream != NULL && events[i] != NULL; i++) {
		int number;

		if (sscanf(events[i], "id: %d", &number) == 1)
			note_event(stream, number);
	}
	g_strfreev(events);
	g_free(text);
}

static void
note_end(int index, uint64_t call)
{
	const stream_t *stream = find_stream(index, call);

	if (stream == NULL)
		return;
	if (stream->events < EVENTS)
		counts.short_streams++;
	else
		counts.completed++;
	end_request(index, call, 0);
}

/* ---- sends ---- */

static void
start_job(int index, const dff_relay_send_t *fx)
{
	job_t job = {.node = index,
	    .incarnation = nodes[index].incarnation,
	    .send = fx->send,
	    .engine = -1,
	    .event = (int)MAX(fx->after_event, 0),
	    .rejects = g_rand_double(rng) < config.reject_share};

	for (int i = 0; i < config.engines; i++) {
		if (strcmp(engines[i].id, fx->upstream) == 0)
			job.engine = i;
	}
	job.unreached = job.engine < 0 || engines[job.engine].listens_at > now;
	if (job.engine >= 0) {
		job.start = engines[job.engine].starts;
		job.version = engines[job.engine].version;
	}
	job.at = now +
	    (job.unreached || job.rejects ? TICK :
					    rand_time(FIRST_MIN, FIRST_MAX));
	g_array_append_val(jobs, job);
}

static void
cancel_job(int index, uint64_t send)
{
	for (guint i = 0; i < jobs->len; i++) {
		job_t *job = &g_array_index(jobs, job_t, i);

		if (job->node == index && job->send == send)
			job->incarnation = 0;
	}
}

static void
end_job(const job_t *job, dff_send_result_t result)
{
	dff_relay_event_t event = {.type = DFF_RELAY_END};

	event.end.send = job->send;
	event.end.result = result;
	feed(job->node, &event);
}

static void
send_head(const job_t *job, int status, bool not_run)
{
	dff_relay_event_t event = {.type = DFF_RELAY_HEAD};

	event.head.send = job->send;
	event.head.status = status;
	event.head.not_run = not_run;
	event.head.stamped = !not_run;
	event.head.events = !not_run;
	feed(job->node, &event);
}

static void
send_event(const job_t *job)
{
	dff_relay_event_t event = {.type = DFF_RELAY_DATA};
	char text[48];

	(void)g_snprintf(text, sizeof(text), "id: %d\ndata: x\n\n", job->event);
	event.data.send = job->send;
	event.data.bytes = text;
	event.data.len = strlen(text);
	feeding = job;
	feed(job->node, &event);
}

/* Whether the process that runs a job has ended. */
static bool
has_crashed(const job_t *job)
{
	const engine_t *engine = &engines[job->engine];

	return job->start == engine->starts &&
	    engine->listens_at == DFF_TIME_NEVER;
}

/* Runs the next step of a job; returns whether it goes on. */
static bool
run_job(job_t *job)
{
	if (!is_alive(job->node, job->incarnation))
		return false;
	if (job->unreached) {
		end_job(job, DFF_SEND_UNSENT);
		return false;
	}
	if (job->rejects) {
		send_head(job, 503, true);
		end_job(job, DFF_SEND_DONE);
		return false;
	}
	if (has_crashed(job) || g_rand_double(rng) < config.break_share) {
		end_job(job, DFF_SEND_BROKEN);
		return false;
	}
	if (!job->head_sent)
		send_head(job, 200, false);
	job->head_sent = true;
	if (job->event < EVENTS) {
		job->event++;
		send_event(job);
		job->at = now + EVENT_TIME;
		return true;
	}
	end_job(job, DFF_SEND_DONE);
	return false;
}

static void
run_jobs(void)
{
	for (guint i = 0; i < jobs->len; i++) {
		job_t job = g_array_index(jobs, job_t, i);
		bool goes_on;

		if (job.at > now)
			continue;
		goes_on = run_job(&job);
		/* A cancel in that step has marked the entry. */
		if (g_array_index(jobs, job_t, i).incarnation == 0)
			goes_on = false;
		g_array_index(jobs, job_t, i) = job;
		if (!goes_on)
			g_array_remove_index_fast(jobs, i--);
	}
}

static void
answer_probe(int index, const dff_relay_probe_t *fx)
{
	dff_relay_event_t event = {.type = DFF_RELAY_PROBED};
	bool listens = false;

	for (int i = 0; i < config.engines; i++)
		listens |= strcmp(engines[i].id, fx->upstream) == 0 &&
		    engines[i].listens_at <= now;
	event.probed.upstream = fx->upstream;
	event.probed.send = fx->send;
	event.probed.result = listens ? DFF_PROBE_ACCEPTED : DFF_PROBE_REFUSED;
	feed(index, &event);
}

static void
answer_identify(int index, const dff_relay_identify_t *fx)
{
	dff_relay_event_t event = {.type = DFF_RELAY_IDENTIFIED};

	event.identified.send = fx->send;
	for (int i = 0; i < config.engines; i++) {
		if (strcmp(engines[i].id, fx->upstream) != 0 ||
		    engines[i].listens_at > now)
			continue;
		event.identified.answered = true;
		event.identified.said = true;
		event.identified.started_ms = engines[i].started;
	}
	feed(index, &event);
}

/* ---- the store ---- */

static void
start_append(int index, const dff_relay_origins_t *fx)
{
	store_call_t call = {.node = index,
	    .incarnation = nodes[index].incarnation,
	    .at = now + rand_time(APPEND_MIN, APPEND_MAX),
	    .batch = fx->batch,
	    .silent = g_rand_double(rng) < config.lost_share};

	if (call.silent && g_rand_boolean(rng))
		call.at += LATE_TIME;
	call.rows = g_array_new(FALSE, FALSE, sizeof(row_t));
	for (size_t i = 0; i < fx->count; i++) {
		row_t row = {fx->rows[i], nodes[index].era};

		g_array_append_val(call.rows, row);
	}
	g_array_append_val(store_calls, call);
	counts.appends++;
}

static void
start_store_read(int index)
{
	store_call_t call = {.node = index,
	    .incarnation = nodes[index].incarnation,
	    .at = now + rand_time(READ_MIN, READ_MAX)};

	g_array_append_val(store_calls, call);
	counts.reads++;
}

/* A node learns the era from each answer of the store. */
static void
note_era(int index)
{
	const dff_relay_event_t lost = {.type = DFF_RELAY_ORIGINS_LOST};

	if (nodes[index].era == store_era)
		return;
	nodes[index].era = store_era;
	nodes[index].next_row = 0;
	feed(index, &lost);
}

static void
finish_append(const store_call_t *call)
{
	dff_relay_event_t event = {.type = DFF_RELAY_ORIGINS_STORED};
	bool away = now < outage_end;

	if (!away)
		g_array_append_vals(
		    store_log, call->rows->data, call->rows->len);
	g_array_unref(call->rows);
	if (call->silent || !is_alive(call->node, call->incarnation))
		return;
	note_era(call->node);
	event.stored.batch = call->batch;
	event.stored.accepted = !away;
	feed(call->node, &event);
}

static void
finish_read(const store_call_t *call)
{
	dff_relay_event_t event = {.type = DFF_RELAY_ORIGINS_READ};
	node_t *node = &nodes[call->node];
	GArray *rows;

	if (!is_alive(call->node, call->incarnation))
		return;
	if (now >= outage_end)
		note_era(call->node);
	rows = g_array_new(FALSE, FALSE, sizeof(dff_stream_origin_t));
	event.origins.complete = now >= outage_end;
	for (; event.origins.complete && node->next_row < store_log->len;
	     node->next_row++) {
		const row_t *row =
		    &g_array_index(store_log, row_t, node->next_row);

		if (row->era == store_era || DFF_FAULT(STORE_OLD_ORIGINS))
			g_array_append_val(rows, row->stream);
	}
	event.origins.rows = (const dff_stream_origin_t *)(void *)rows->data;
	event.origins.count = rows->len;
	feed(call->node, &event);
	g_array_unref(rows);
}

static void
run_store(void)
{
	for (guint i = 0; i < store_calls->len; i++) {
		store_call_t call = g_array_index(store_calls, store_call_t, i);

		if (call.at > now)
			continue;
		g_array_remove_index(store_calls, i--);
		if (call.rows != NULL)
			finish_append(&call);
		else
			finish_read(&call);
	}
}

/* The store comes back from an older copy. */
static void
return_store(void)
{
	g_array_set_size(
	    store_log, store_log->len - MIN(store_log->len, RETURN_ROWS));
	store_era++;
}

/* ---- nodes ---- */

static void
take_effect(int index, const dff_relay_effect_t *fx)
{
	switch (fx->type) {
	case DFF_RELAY_FX_SEND:
		start_job(index, &fx->send);
		break;
	case DFF_RELAY_FX_CANCEL:
		cancel_job(index, fx->cancel);
		break;
	case DFF_RELAY_FX_FORWARD_DATA:
		note_bytes(index, &fx->forward);
		break;
	case DFF_RELAY_FX_FORWARD_END:
		note_end(index, fx->forward.call);
		break;
	case DFF_RELAY_FX_ANSWER:
		end_request(index, fx->answer.call, fx->answer.retry_after);
		break;
	case DFF_RELAY_FX_ABORT:
		end_request(index, fx->call, 0);
		break;
	case DFF_RELAY_FX_PROBE:
		answer_probe(index, &fx->probe);
		break;
	case DFF_RELAY_FX_IDENTIFY:
		answer_identify(index, &fx->identify);
		break;
	case DFF_RELAY_FX_STORE_ORIGINS:
		start_append(index, &fx->origins);
		break;
	case DFF_RELAY_FX_READ_ORIGINS:
		start_store_read(index);
		break;
	case DFF_RELAY_FX_FORWARD_HEAD:
	case DFF_RELAY_FX_RELEASE:
	case DFF_RELAY_FX_CACHE_QUERY:
	case DFF_RELAY_FX_STORE_CRASHES:
	case DFF_RELAY_FX_CLOSE_IDLE:
	case DFF_RELAY_FX_FRAME:
	case DFF_RELAY_FX_FETCH:
	case DFF_RELAY_FX_ORDER_UPSTREAMS:
	case DFF_RELAY_FX_DUTY_LOG:
	case DFF_RELAY_FX_USAGE:
		break;
	}
}

/* Rows, bytes and probes of an effect are valid until the relay's next step:
 * those that take a step are handled last. */
static void
take_effects(int index)
{
	GArray *fx = nodes[index].bench->fx;

	nodes[index].bench->fx =
	    g_array_new(FALSE, FALSE, sizeof(dff_relay_effect_t));
	for (guint i = 0; i < fx->len; i++) {
		const dff_relay_effect_t *effect =
		    &g_array_index(fx, dff_relay_effect_t, i);

		if (effect->type != DFF_RELAY_FX_PROBE &&
		    effect->type != DFF_RELAY_FX_IDENTIFY)
			take_effect(index, effect);
	}
	for (guint i = 0; i < fx->len; i++) {
		const dff_relay_effect_t *effect =
		    &g_array_index(fx, dff_relay_effect_t, i);

		if (effect->type == DFF_RELAY_FX_PROBE ||
		    effect->type == DFF_RELAY_FX_IDENTIFY)
			take_effect(index, effect);
	}
	g_array_unref(fx);
}

static void
start_node(int index)
{
	node_t *node = &nodes[index];
	const dff_relay_event_t answered = {.type = DFF_RELAY_SOURCE_ANSWERED};
	dff_relay_config_t relay;
	char id[16];
	char addr[32];

	(void)g_snprintf(id, sizeof(id), "a%d", index);
	(void)g_snprintf(addr, sizeof(addr), "10.0.0.%d:7000", index + 1);
	node->bench =
	    relay_bench_new_restarted(id, "a", addr, 100, ++node->incarnation);
	node->bench->now = now;
	node->started = now;
	node->next_row = 0;
	node->era = store_era;
	for (int i = 0; i < config.nodes; i++) {
		(void)g_snprintf(addr, sizeof(addr), "10.0.0.%d:7000", i + 1);
		if (i != index)
			dff_relay_add_peer(
			    node->bench->relay, addr, "a", 100, now);
	}
	dff_relay_defaults(&relay);
	if (config.store_writes_rate > 0)
		relay.store_writes_rate = config.store_writes_rate;
	dff_relay_set_config(node->bench->relay, &relay);
	relay_bench_load_routing(node->bench, 1);
	for (int i = 0; i < config.engines; i++) {
		if (engines[i].listens_at != DFF_TIME_NEVER)
			send_record(index, &engines[i], false, false);
	}
	feed(index, &answered);
}

static void
kill_node(int index)
{
	node_t *node = &nodes[index];
	GList *calls;

	if (node->bench == NULL)
		return;
	calls = g_hash_table_get_keys(node->streams);
	for (GList *link = calls; link != NULL; link = link->next)
		end_request(index, GPOINTER_TO_UINT(link->data), 0);
	g_list_free(calls);
	relay_bench_drop(node->bench);
	node->bench = NULL;
	node->start_at = now + config.kill_time;
}

static void
run_nodes(void)
{
	const dff_relay_event_t wake = {.type = DFF_RELAY_WAKE};

	for (int i = 0; i < config.nodes; i++) {
		if (nodes[i].bench == NULL && now >= nodes[i].start_at)
			start_node(i);
		else if (nodes[i].bench != NULL &&
		    dff_relay_wake(nodes[i].bench->relay) <= now)
			feed(i, &wake);
	}
}

static bool
is_due(dff_time_t interval)
{
	return interval > 0 && (now - START_TIME) % interval < TICK &&
	    now - START_TIME >= interval;
}

static void
cause_troubles(void)
{
	const dff_relay_event_t answered = {.type = DFF_RELAY_SOURCE_ANSWERED};

	for (int i = 0; is_due(config.kill_interval) && i < config.nodes; i++) {
		if (g_rand_double(rng) < config.kill_share)
			kill_node(i);
	}
	if (is_due(config.release_interval))
		replace_engine(
		    &engines[g_rand_int_range(rng, 0, config.engines)]);
	if (is_due(config.crash_interval))
		crash_engine(
		    &engines[g_rand_int_range(rng, 0, config.engines)]);
	if (is_due(config.outage_interval))
		outage_end = now + config.outage_time;
	if (is_due(config.return_interval))
		return_store();
	for (int i = 0; is_due(SOURCE_INTERVAL) && i < config.nodes; i++) {
		if (nodes[i].bench != NULL && now >= outage_end)
			feed(i, &answered);
	}
}

static void
run_callers(void)
{
	const stream_t fresh = {.tries = 0};

	for (guint i = 0; i < streams->len; i++) {
		dff_time_t at = g_array_index(streams, stream_t, i).retry_at;

		if (at != 0 && at <= now)
			open_request(i);
	}
	if (g_rand_double(rng) <
	    config.streams_rate * (double)TICK / (double)DFF_SEC) {
		g_array_append_val(streams, fresh);
		open_request(streams->len - 1);
	}
}

static void
clear(void)
{
	for (int i = 0; i < config.nodes; i++) {
		if (nodes[i].bench != NULL)
			relay_bench_drop(nodes[i].bench);
		g_hash_table_unref(nodes[i].streams);
	}
	for (guint i = 0; i < store_calls->len; i++) {
		GArray *rows = g_array_index(store_calls, store_call_t, i).rows;

		if (rows != NULL)
			g_array_unref(rows);
	}
	g_array_unref(streams);
	g_array_unref(jobs);
	g_array_unref(store_calls);
	g_array_unref(store_log);
	g_rand_free(rng);
}

stream_sim_counts_t
stream_sim_run(const stream_sim_config_t *with, guint32 seed)
{
	config = *with;
	ck_assert_int_le(config.nodes, STREAM_SIM_NODES_MAX);
	ck_assert_int_le(config.engines, STREAM_SIM_ENGINES_MAX);
	memset(&counts, 0, sizeof(counts));
	memset(nodes, 0, sizeof(nodes));
	memset(engines, 0, sizeof(engines));
	rng = g_rand_new_with_seed(seed);
	now = START_TIME;
	outage_end = 0;
	streams = g_array_new(FALSE, FALSE, sizeof(stream_t));
	jobs = g_array_new(FALSE, FALSE, sizeof(job_t));
	store_calls = g_array_new(FALSE, FALSE, sizeof(store_call_t));
	store_log = g_array_new(FALSE, FALSE, sizeof(row_t));
	for (int i = 0; i < config.nodes; i++)
		nodes[i].streams = g_hash_table_new(NULL, NULL);
	for (int i = 0; i < config.engines; i++)
		start_engine(&engines[i], false);
	for (; now < START_TIME + config.time; now += TICK) {
		run_nodes();
		cause_troubles();
		run_engines();
		run_store();
		run_jobs();
		run_callers();
	}
	clear();
	return counts;
}
