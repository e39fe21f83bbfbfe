#include "review/common/world.h"

#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* As deploy/system.toml builds and runs it. */
#define PROGRAM	    "target/dff-edge"
#define STORE_PORT  8142
#define WORKER_PORT 9000
#define TICK_MSEC   20
/* heartbeatMs; an entry is removed after three of them without a heartbeat. */
#define HEARTBEAT (1200 * DFF_MSEC)
/* Bounds of the work of a sound request in ms. */
#define WORK_MIN 20
#define WORK_MAX 100
/* Time to the first event of a stream, between events, and their number. */
#define FIRST_MIN     20
#define FIRST_MAX     60
#define EVENT_MSEC    70
#define STREAM_EVENTS 35
/* Shared first parts of prompts. */
#define THINGS 100
/* Bytes of a body that crashes workers. */
#define BAD_BODY "bad"

/* A request that a worker runs. */
typedef struct job {
	uv_timer_t timer;
	worker_t *worker;
	dff_h1d_req_t *req; /* NULL once its connection is closed */
	char id[24];
	int event; /* last event of a stream that was sent */
	bool begun;
} job_t;

double
world_now(const world_t *world)
{
	return (double)(dff_program_now() - world->start) / DFF_SEC;
}

void
world_note(world_t *world, const char *fmt, ...)
{
	va_list args;

	(void)fprintf(world->record, "%8.3f ", world_now(world));
	va_start(args, fmt);
	(void)vfprintf(world->record, fmt, args);
	va_end(args);
	(void)fputc('\n', world->record);
}

static void
fail_to_run(world_t *world, const char *why)
{
	(void)fprintf(stderr, "the case cannot run: %s\n", why);
	world_end(world, 2);
}

/* ---- workers ---- */

static void
on_job_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void
end_job(job_t *job)
{
	if (job->req != NULL)
		dff_h1d_set_data(job->req, 0);
	(void)g_ptr_array_remove_fast(job->worker->jobs, job);
	uv_close((uv_handle_t *)&job->timer, on_job_closed);
}

static char *
answer_fields(const job_t *job, const char *more)
{
	return g_strdup_printf("X-Attempt-Id: %s\r\nX-Server-Stamp: s-%s\r\n"
			       "Keep-Alive: timeout=5\r\n"
			       "X-Server-Load: %u,0,%d\r\n%s",
	    job->id, job->id, job->worker->jobs->len,
	    job->worker->world->engines ? 64 : 6, more);
}

static void
answer_plain(job_t *job)
{
	char *fields = answer_fields(job, "");
	char *body = g_strdup_printf("answer to %s", job->id);

	dff_h1d_set_data(job->req, 0);
	dff_h1d_answer(job->req, 200, fields, body, strlen(body));
	job->req = NULL;
	g_free(fields);
	g_free(body);
	end_job(job);
}

static void
answer_event(job_t *job)
{
	char *fields;
	char *text;

	if (!job->begun) {
		fields = answer_fields(job,
		    "Content-Type: text/event-stream\r\n"
		    "X-Weight-Versions: 1\r\n");
		dff_h1d_begin(job->req, 200, fields, -1);
		g_free(fields);
		job->begun = true;
	}
	job->event++;
	text = g_strdup_printf("id: %d\ndata: %s %s\n\n", job->event, job->id,
	    job->worker->software);
	dff_h1d_write(job->req, text, strlen(text));
	g_free(text);
	if (job->event < STREAM_EVENTS)
		return;
	dff_h1d_set_data(job->req, 0);
	dff_h1d_end(job->req);
	job->req = NULL;
	end_job(job);
}

static void
on_job(uv_timer_t *timer)
{
	job_t *job = timer->data;

	if (job->req == NULL)
		end_job(job);
	else if (job->worker->world->engines)
		answer_event(job);
	else
		answer_plain(job);
}

static void
start_job(worker_t *worker, dff_h1d_req_t *req, const char *id)
{
	world_t *world = worker->world;
	const char *last = dff_h1_field(dff_h1d_head(req), "Last-Event-Id");
	job_t *job = g_new0(job_t, 1);
	int first =
	    g_rand_int_range(world->rng, world->engines ? FIRST_MIN : WORK_MIN,
		world->engines ? FIRST_MAX : WORK_MAX);

	job->worker = worker;
	job->req = req;
	job->event = last != NULL ? atoi(last) : 0;
	g_strlcpy(job->id, id, sizeof(job->id));
	g_ptr_array_add(worker->jobs, job);
	job->timer.data = job;
	dff_h1d_set_data(req, (uint64_t)(uintptr_t)job);
	(void)uv_timer_init(&world->loop, &job->timer);
	(void)uv_timer_start(&job->timer, on_job, (uint64_t)first,
	    world->engines ? EVENT_MSEC : 0);
}

/* What an incarnation ran is gone with it. */
static void
forget_jobs(worker_t *worker)
{
	for (guint i = 0; i < worker->jobs->len; i++)
		((job_t *)worker->jobs->pdata[i])->req = NULL;
}

static void
on_worker_request(void *arg, dff_h1d_req_t *req)
{
	worker_t *worker = arg;
	world_t *world = worker->world;
	const dff_h1_head_t *head = dff_h1d_head(req);
	const char *expected = dff_h1_field(head, "X-Expect-Instance");
	const char *id = dff_h1_field(head, "X-Attempt-Id");
	static const char list[] = "{\"epoch\":1,\"next\":1,\"held\":[]}";
	attempt_t *attempt;

	if (expected != NULL && strcmp(expected, worker->id) != 0) {
		dff_h1d_answer(req, 421, "X-Not-Executed: 1\r\n", "", 0);
		return;
	}
	if (g_str_has_prefix(head->target, "/kv-list")) {
		dff_h1d_answer(req, 200, "Content-Type: application/json\r\n",
		    list, strlen(list));
		return;
	}
	/* The pages: born is at the top level of all that a worker says of
	 * itself. */
	if (strcmp(head->target, "/report") == 0) {
		char *report = g_strdup_printf(
		    "{\"stage\":\"decode\",\"born\":%" G_GUINT64_FORMAT "}",
		    worker->started_ms);

		dff_h1d_answer(req, 200, "Content-Type: application/json\r\n",
		    report, strlen(report));
		g_free(report);
		return;
	}
	attempt =
	    id != NULL ? g_hash_table_lookup(world->attempts_by_id, id) : NULL;
	if (attempt == NULL) {
		dff_h1d_answer(req, 400, "X-Not-Executed: 1\r\n", "", 0);
		return;
	}
	attempt->runs++;
	world_note(world, "runs id=%s worker=%s software=%s after=%s%s", id,
	    worker->id, worker->software,
	    dff_h1_field(head, "Last-Event-Id") != NULL ?
		dff_h1_field(head, "Last-Event-Id") :
		"-",
	    attempt->bad ? " bad" : "");
	if (attempt->bad && world->trouble)
		world->on_bad_run(world, worker, attempt);
	else
		start_job(worker, req, id);
}

static void
on_worker_caller_gone(void *arg, dff_h1d_req_t *req)
{
	job_t *job = (job_t *)(uintptr_t)dff_h1d_data(req);

	(void)arg;
	if (job != NULL)
		job->req = NULL;
}

static void
write_entry(worker_t *worker)
{
	bool engine = worker->world->engines;
	char *text = g_strdup_printf(
	    "{\"service\":\"%s\",\"address\":\"127.%d.3.%d:%d\","
	    "\"zone\":\"z\",\"version\":\"%s\",\"capacitySlots\":%d,"
	    "\"state\":\"ready\",\"coldLeftMs\":0,%s"
	    "\"seqNo\":%" G_GUINT64_FORMAT ",\"born\":%" G_GUINT64_FORMAT "}",
	    engine ? "llm" : "plain", worker->world->net, worker->index + 1,
	    WORKER_PORT, worker->software, engine ? 64 : 6,
	    engine ? "\"stage\":\"decode\"," : "", ++worker->seq,
	    worker->started_ms);

	worker->heartbeat_at = dff_program_now();
	standin_put(worker->world->store, "keyed.servers", worker->id, text);
	g_free(text);
}

/* Starts an incarnation of a worker, which knows nothing of earlier ones. */
static void
start_worker(worker_t *worker)
{
	static const dff_h1d_handlers_t handlers = {
	    on_worker_request, on_worker_caller_gone};
	const dff_h1d_limits_t limits = {16384, 1 << 20, 1 << 20, 5 * DFF_SEC};
	world_t *world = worker->world;
	char addr[32];

	worker->incarnation++;
	if (!worker->keeps_id || worker->incarnation == 1)
		(void)g_snprintf(worker->id, sizeof(worker->id), "i-%c%05d",
		    'a' + worker->index, worker->incarnation);
	(void)g_snprintf(addr, sizeof(addr), "127.%d.4.%d:%d", world->net,
	    worker->index + 1, WORKER_PORT);
	worker->started_ms = dff_program_wall_ms();
	worker->seq = 0;
	worker->back_at = 0;
	if (dff_h1d_new(world->ctx, &world->loop, addr, &limits, &handlers,
		worker, &worker->server) < 0)
		fail_to_run(world, "a worker cannot listen");
	write_entry(worker);
	world_note(world, "worker %s starts software=%s", worker->id,
	    worker->software);
}

static void
add_worker(world_t *world)
{
	worker_t *worker = &world->workers[world->worker_count];
	char from[32];
	char to[32];

	worker->world = world;
	worker->index = world->worker_count++;
	worker->jobs = g_ptr_array_new();
	if (worker->software[0] == '\0')
		g_strlcpy(worker->software, "v1", sizeof(worker->software));
	(void)g_snprintf(from, sizeof(from), "127.%d.3.%d:%d", world->net,
	    worker->index + 1, WORKER_PORT);
	(void)g_snprintf(to, sizeof(to), "127.%d.4.%d:%d", world->net,
	    worker->index + 1, WORKER_PORT);
	worker->tunnel = tunnel_new(&world->loop, from, to);
	if (worker->tunnel == NULL)
		fail_to_run(world, "a proxy cannot listen");
	start_worker(worker);
}

void
world_crash(worker_t *worker, crash_t how)
{
	world_t *world = worker->world;
	dff_time_t now = dff_program_now();
	entry_end_t end = {.at = worker->heartbeat_at + 3 * HEARTBEAT};

	if (worker->back_at != 0)
		return;
	g_strlcpy(end.id, worker->id, sizeof(end.id));
	if (!worker->keeps_id)
		g_array_append_val(world->entry_ends, end);
	worker->back_at = now + world->down_ms * DFF_MSEC;
	world_note(world, "worker %s crashes%s", worker->id,
	    how == CRASH_DARK ? " and is dark" : "");
	if (how == CRASH_DARK && !tunnel_go_dark(worker->tunnel))
		fail_to_run(world, "a proxy cannot go dark");
	if (how == CRASH_RESET)
		tunnel_crash(worker->tunnel);
	forget_jobs(worker);
	/* Its proxy hides this from the edges. */
	dff_h1d_drop(worker->server);
}

static void
return_worker(worker_t *worker)
{
	if (!tunnel_return(worker->tunnel))
		fail_to_run(worker->world, "a proxy cannot listen again");
	start_worker(worker);
}

static void
on_tick(uv_timer_t *timer)
{
	world_t *world = timer->data;
	dff_time_t now = dff_program_now();

	for (int i = 0; i < world->worker_count; i++) {
		worker_t *worker = &world->workers[i];

		if (worker->back_at != 0 && now >= worker->back_at)
			return_worker(worker);
		else if (worker->back_at == 0 &&
		    now >= worker->heartbeat_at + HEARTBEAT)
			write_entry(worker);
	}
	for (guint i = world->entry_ends->len; i-- > 0;) {
		entry_end_t *end =
		    &g_array_index(world->entry_ends, entry_end_t, i);

		if (now < end->at)
			continue;
		world_note(world, "store removes the entry of %s", end->id);
		standin_put(world->store, "keyed.servers", end->id, NULL);
		g_array_remove_index_fast(world->entry_ends, i);
	}
}

/* ---- the operator ---- */

static void
write_config(world_t *world)
{
	char *text = g_strdup_printf(
	    "{\"version\":4,\"routes\":["
	    "{\"name\":\"order\",\"host\":\"h.example\","
	    "\"pathPrefix\":\"/order/\",\"kind\":\"non_idempotent\","
	    "\"timeoutMs\":%d,\"targetLatencyMs\":%d,\"priority\":1,"
	    "\"service\":\"plain\",\"maxAttempts\":1,\"resumable\":false,"
	    "\"sessionAffinity\":false},"
	    "{\"name\":\"stream\",\"host\":\"h.example\","
	    "\"pathPrefix\":\"/stream/\",\"kind\":\"streaming\","
	    "\"timeoutMs\":%d,\"targetLatencyMs\":%d,"
	    "\"targetGapMs\":200,\"priority\":1,\"service\":\"llm\","
	    "\"maxAttempts\":2,\"resumable\":true,"
	    "\"sessionAffinity\":true}],"
	    "\"services\":[{\"name\":\"plain\",\"maxConns\":100},"
	    "{\"name\":\"llm\",\"maxConns\":370,\"engineKind\":"
	    "{\"capacitySlots\":64,\"kvCapacity\":542132,"
	    "\"tokenKvBytes\":327680,\"linkMbps\":3200000.0,"
	    "\"handleTtlS\":5.0}}],"
	    "\"limits\":{\"maxHeaderBytes\":16384,"
	    "\"maxBodyBytes\":1048576,\"headerTimeoutMs\":5000,"
	    "\"idleTimeoutMs\":15000}}",
	    world->timeout_ms, world->target_ms, world->timeout_ms,
	    world->target_ms);

	standin_put(world->store, "keyed.op", "config", text);
	g_free(text);
}

/* ---- edges ---- */

static void
on_edge_exit(uv_process_t *process, int64_t status, int signal)
{
	edge_t *edge = process->data;
	world_t *world = process->loop->data;

	edge->running = false;
	world_note(world, "edge %d ends status=%d signal=%d", edge->index,
	    (int)status, signal);
	uv_close((uv_handle_t *)process, NULL);
}

/* The settings as deploy/settings.conf lays them out. */
static void
write_settings(world_t *world, const edge_t *edge)
{
	char ip[32];
	char *text;

	(void)g_snprintf(
	    ip, sizeof(ip), "127.%d.1.%d", world->net, edge->index + 1);
	text = g_strdup_printf("[dragonflyfall]\nnode=edge-%d\ndomain=z\n"
			       "front=%s\nhealth=%s:8001\ncontrol=%s:8002\n"
			       "peers=%s:8003\nmetrics=%s:8004\n"
			       "seeds=127.%d.1.1:8002\nstore=127.%d.5.%d:%d\n"
			       "store_writes_per_s=400\nstop_s=8\n"
			       "budget_window_s=10\nbudget_ratio=0.2\n"
			       "budget_slack=58\nconfig_apply_ms=2000\n"
			       "link_mbps=1000\nfirst_start=true\n",
	    edge->index, edge->front, ip, ip, ip, ip, world->net, world->net,
	    edge->index + 2, STORE_PORT);
	if (!g_file_set_contents(edge->settings, text, -1, NULL))
		fail_to_run(world, "settings cannot be written");
	g_free(text);
}

static void
start_edge(world_t *world, int index)
{
	edge_t *edge = &world->edges[index];
	char from[32];
	char to[32];
	char *variable;
	char *args[] = {(char *)(uintptr_t)PROGRAM, NULL};
	char *env[] = {NULL, NULL};
	uv_stdio_container_t stdio[3] = {{.flags = UV_IGNORE}};
	uv_process_options_t options = {.exit_cb = on_edge_exit,
	    .file = PROGRAM,
	    .args = args,
	    .env = env,
	    .stdio_count = 3,
	    .stdio = stdio};
	int fd;

	edge->index = index;
	(void)g_snprintf(edge->front, sizeof(edge->front), "127.%d.1.%d:8000",
	    world->net, index + 1);
	(void)g_snprintf(from, sizeof(from), "127.%d.5.%d:%d", world->net,
	    index + 2, STORE_PORT);
	(void)g_snprintf(
	    to, sizeof(to), "127.%d.5.1:%d", world->net, STORE_PORT);
	edge->store_link = tunnel_new(&world->loop, from, to);
	if (edge->store_link == NULL)
		fail_to_run(world, "a proxy of the store cannot listen");
	edge->settings =
	    g_strdup_printf("%s/edge-%d.conf", world->folder, index);
	edge->log = g_strdup_printf("%s/edge-%d.log", world->folder, index);
	write_settings(world, edge);
	variable = g_strdup_printf("DRAGONFLYFALL_BOOT=%s", edge->settings);
	env[0] = variable;
	fd = open(edge->log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	for (int i = 1; i < 3; i++) {
		stdio[i].flags = UV_INHERIT_FD;
		stdio[i].data.fd = fd;
	}
	edge->process.data = edge;
	if (uv_spawn(&world->loop, &edge->process, &options) != 0)
		fail_to_run(world, PROGRAM " cannot be started");
	(void)close(fd);
	edge->running = true;
	g_free(variable);
}

/* ---- callers ---- */

static void
on_head(void *arg, const dff_h1_head_t *head)
{
	attempt_t *attempt = arg;
	const char *retry = dff_h1_field(head, "Retry-After");

	attempt->status = head->status;
	attempt->retry_after = retry != NULL ? g_ascii_strtod(retry, NULL) : 0;
}

static void
on_data(void *arg, const char *data, size_t len)
{
	g_string_append_len(((attempt_t *)arg)->body, data, (gssize)len);
}

/* An answer that broke off has the status 0. */
static void
on_end(void *arg, dff_h1c_end_t end)
{
	attempt_t *attempt = arg;

	attempt->req = NULL;
	attempt->ended = true;
	attempt->ended_at = world_now(attempt->world);
	if (end != DFF_H1C_DONE)
		attempt->status = 0;
	world_note(attempt->world, "ends id=%s edge=%d status=%d", attempt->id,
	    attempt->edge, attempt->status);
	if (attempt->world->on_end != NULL)
		attempt->world->on_end(attempt->world, attempt);
}

void
world_kill_edge(world_t *world, int edge)
{
	if (!world->edges[edge].running)
		return;
	world_note(world, "edge %d is killed", edge);
	(void)uv_process_kill(&world->edges[edge].process, SIGKILL);
}

static attempt_t *
new_attempt(world_t *world, int edge)
{
	attempt_t *attempt = g_new0(attempt_t, 1);

	(void)g_snprintf(attempt->id, sizeof(attempt->id), "%08x%06x",
	    g_rand_int(world->rng), world->attempts->len);
	attempt->world = world;
	attempt->edge = edge;
	attempt->body = g_string_new(NULL);
	attempt->sent_at = world_now(world);
	attempt->thing = g_rand_int_range(world->rng, 0, THINGS);
	attempt->deadline_at = attempt->sent_at + world->timeout_ms / 1000.0;
	g_ptr_array_add(world->attempts, attempt);
	g_hash_table_insert(world->attempts_by_id, attempt->id, attempt);
	return attempt;
}

/* Sends an attempt; @lines are further header lines. */
static void
send_attempt(attempt_t *attempt, const char *route, const char *path,
    int wait_ms, const char *lines, const char *body)
{
	static const dff_h1c_handlers_t handlers = {
	    .head = on_head, .data = on_data, .end = on_end};
	world_t *world = attempt->world;
	dff_h1c_call_t call = {.addr = world->edges[attempt->edge].front,
	    .connect_time = DFF_SEC,
	    .answer_time = (world->timeout_ms + 1000) * DFF_MSEC,
	    .peer = "edge"};
	char *text =
	    g_strdup_printf("POST /%s/%s HTTP/1.1\r\nHost: h.example\r\n"
			    "X-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n"
			    "%sContent-Length: %zu\r\n\r\n%s",
		route, path, attempt->id, wait_ms, lines, strlen(body), body);

	/* Each retry is on a new connection. */
	if (attempt->resumes[0] != '\0')
		call.peer = attempt->id;
	call.bytes = g_byte_array_new();
	g_byte_array_append(
	    call.bytes, (const guint8 *)text, (guint)strlen(text));
	g_free(text);
	world_note(world, "sends id=%s edge=%d%s%s%s", attempt->id,
	    attempt->edge, attempt->bad ? " bad" : "",
	    attempt->resumes[0] != '\0' ? " resumes=" : "", attempt->resumes);
	attempt->req = dff_h1c_start(world->client, &call, &handlers, attempt);
}

/* @begun_by: attempt that began the stream */
static char *
prompt_lines(const attempt_t *attempt, const char *begun_by, const char *more)
{
	return g_strdup_printf("X-Model: m\r\nX-Token-Count: 900,35\r\n"
			       "X-Prompt-Prefix: b%x:700,%s:200\r\n%s",
	    attempt->thing, begun_by, more);
}

attempt_t *
world_send(world_t *world, int edge, bool bad)
{
	attempt_t *attempt = new_attempt(world, edge);
	char *lines;

	attempt->bad = bad;
	if (!world->engines) {
		send_attempt(attempt, "order", bad ? "again" : attempt->id,
		    bad ? world->bad_wait_ms : world->timeout_ms, "",
		    bad ? BAD_BODY : attempt->id);
		return attempt;
	}
	lines = prompt_lines(attempt, attempt->id, "");
	send_attempt(attempt, "stream", attempt->id, world->timeout_ms, lines,
	    attempt->id);
	g_free(lines);
	return attempt;
}

/* The number of the last complete event of a stream; 0 if it has none. */
static int
last_event(const attempt_t *attempt)
{
	char **events = g_strsplit(attempt->body->str, "\n\n", -1);
	int count = (int)g_strv_length(events) - 1;
	int last = attempt->after_event;

	if (count > 0 && g_str_has_prefix(events[count - 1], "id: "))
		last = atoi(events[count - 1] + 4);
	g_strfreev(events);
	return last;
}

attempt_t *
world_resume(world_t *world, const attempt_t *broken, int edge)
{
	attempt_t *attempt = new_attempt(world, edge);
	char *more;
	char *lines;

	g_strlcpy(attempt->resumes,
	    broken->resumes[0] != '\0' ? broken->resumes : broken->id,
	    sizeof(attempt->resumes));
	attempt->thing = broken->thing;
	attempt->deadline_at = broken->deadline_at;
	attempt->after_event = last_event(broken);
	attempt->tries = broken->resumes[0] != '\0' ? broken->tries + 1 : 0;
	more = g_strdup_printf("Last-Event-Id: %d\r\nResumes: %s\r\n",
	    attempt->after_event, attempt->resumes);
	lines = prompt_lines(attempt, attempt->resumes, more);
	send_attempt(attempt, "stream", attempt->resumes,
	    (int)((attempt->deadline_at - attempt->sent_at) * 1000), lines,
	    attempt->resumes);
	g_free(lines);
	g_free(more);
	return attempt;
}

/* ---- the world ---- */

static void
on_run_over(uv_timer_t *timer)
{
	uv_stop(timer->loop);
}

void
world_run(world_t *world, double seconds)
{
	uv_timer_t *timer = g_new0(uv_timer_t, 1);

	(void)uv_timer_init(&world->loop, timer);
	(void)uv_timer_start(timer, on_run_over, (uint64_t)(seconds * 1000), 0);
	(void)uv_run(&world->loop, UV_RUN_DEFAULT);
	uv_close((uv_handle_t *)timer, (uv_close_cb)g_free);
}

/* Picks a loopback network whose store address is free. */
static int
pick_net(world_t *world)
{
	const dff_h1d_limits_t limits = {4096, 0, 4096, DFF_SEC};
	const dff_h1d_handlers_t handlers = {NULL, NULL};

	for (int i = 0; i < 50; i++) {
		int net = 20 + (getpid() + 37 * i) % 200;
		dff_h1d_t *probe = NULL;
		char addr[32];

		(void)g_snprintf(
		    addr, sizeof(addr), "127.%d.5.1:%d", net, STORE_PORT);
		if (dff_h1d_new(world->ctx, &world->loop, addr, &limits,
			&handlers, NULL, &probe) < 0)
			continue;
		dff_h1d_drop(probe);
		(void)uv_run(&world->loop, UV_RUN_NOWAIT);
		return net;
	}
	return 0;
}

void
world_start(world_t *world, const char *record, int edges, int workers)
{
	char template[] = "/tmp/dff-review-XXXXXX";
	const char *trouble = getenv("TROUBLE");
	char *folder = mkdtemp(template);
	char addr[32];

	(void)signal(SIGPIPE, SIG_IGN);
	world->record = fopen(record, "w");
	if (folder == NULL || world->record == NULL)
		exit(2);
	world->folder = g_strdup(folder);
	world->start = dff_program_now();
	world->trouble = trouble == NULL || strcmp(trouble, "0") != 0;
	world->rng = g_rand_new();
	world->ctx = dff_ctx_new(1, DFF_LOG_ERR, NULL, NULL);
	world->attempts = g_ptr_array_new();
	world->attempts_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	world->entry_ends = g_array_new(FALSE, FALSE, sizeof(entry_end_t));
	(void)uv_loop_init(&world->loop);
	world->loop.data = world;
	world->net = pick_net(world);
	if (world->net == 0)
		fail_to_run(world, "no free loopback network");
	(void)g_snprintf(
	    addr, sizeof(addr), "127.%d.5.1:%d", world->net, STORE_PORT);
	world->store = standin_new(world->ctx, &world->loop, addr);
	world->client = dff_h1c_new(world->ctx, &world->loop);
	write_config(world);
	for (int i = 0; i < workers; i++)
		add_worker(world);
	world->tick.data = world;
	(void)uv_timer_init(&world->loop, &world->tick);
	(void)uv_timer_start(&world->tick, on_tick, TICK_MSEC, TICK_MSEC);
	for (int i = 0; i < edges; i++) {
		world->edge_count++;
		start_edge(world, i);
	}
	world_note(world, "net=127.%d trouble=%d", world->net, world->trouble);
}

static void
remove_folder(const char *folder)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		char *path = g_build_filename(folder, name, NULL);

		(void)unlink(path);
		g_free(path);
	}
	if (dir != NULL)
		g_dir_close(dir);
	(void)rmdir(folder);
}

void
world_end(world_t *world, int status)
{
	for (int i = 0; i < world->edge_count; i++) {
		edge_t *edge = &world->edges[i];

		if (edge->running)
			(void)uv_process_kill(&edge->process, SIGKILL);
	}
	/* KEEP=1 leaves the logs of the edges. */
	if (getenv("KEEP") == NULL)
		remove_folder(world->folder);
	else
		(void)printf("logs of the edges: %s\n", world->folder);
	(void)fclose(world->record);
	exit(status);
}
