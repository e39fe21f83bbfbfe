#include <stdlib.h>
#include <string.h>

#include "soak/soak.h"

/* Bounds of the run time of a plain request. */
#define RUN_MIN_MSEC 5
#define RUN_MAX_MSEC 80
/* Number of events of a stream, and the interval between them. */
#define EVENTS	   8
#define EVENT_MSEC 15
/* Half of the time after which the record of a draining upstream is
 * deleted. */
#define DRAIN_TIME (2 * DFF_SEC)
/* Longest time after the start of draining in which an upstream may still get
 * new requests: the platform's bound plus a margin for timer delays of this
 * program. The same limit holds for a new configuration. */
#define DRAIN_NOTICE_LIMIT (2200 * DFF_MSEC)
/* Time after the end of a fault in which its effects are excused, as on the
 * platform. */
#define FAULT_EFFECT_TIME (3 * DFF_SEC)
/* Time after which all nodes know a new upstream. */
#define DISCOVERY_TIME (2 * DFF_SEC)

/* Crashes by one kind of request after which further ones are late: as the
 * platform counts requests that return, and parts of prompts. */
#define BAD_CRASHES  3
#define PART_CRASHES 5
/* Accepted crashes later than FAULT_EFFECT_TIME after that, from edges without
 * a recent fault or start. */
#define LATE_MAX 3

/* Share of answers with neither a length nor chunks. */
#define UNFRAMED_SHARE 0.25

/* Size of the header line that names a rate limit. */
#define LIMIT_FIELD_MAX 40

/* Software versions of the engines. */
#define VERSIONS 2
/* Share of crashed upstreams that start again under the same id. */
#define SAME_ID_SHARE 0.3

static double corrupt_share; /* share of answers that are lost or truncated */

/* A request that an upstream executes. */
typedef struct job {
	uv_timer_t timer;
	soak_upstream_t *up;
	soak_t *soak;
	dff_h1d_req_t *req; /* NULL once answered or cancelled */
	char id[32];
	int event;
	int corruption; /* 0 none, 1 answer lost, 2 truncated */
	int version; /* of the software that runs it */
	bool stream;
	bool unframed; /* its answer ends with its connection */
} job_t;

static const char *
pool_name(int index)
{
	return index < 3 ? "plain" : index == 3 ? "other" : "llm";
}

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
	uv_close((uv_handle_t *)&job->timer, on_job_closed);
}

static char *
head_fields(const job_t *job)
{
	char limit[LIMIT_FIELD_MAX];

	return g_strdup_printf("X-Attempt-Id: %s\r\nX-Server-Stamp: s-%s\r\n"
			       "Keep-Alive: timeout=5\r\n%s",
	    job->id, job->id,
	    limit_field(job->up, job->id, limit, sizeof(limit)));
}

static void
answer_plain(job_t *job)
{
	char *fields = head_fields(job);
	char *body = g_strdup_printf("answer to %s", job->id);
	dff_h1d_req_t *req = job->req;

	job->req = NULL;
	switch (job->corruption) {
	case 0:
		dff_h1d_begin(req, 200, fields,
		    job->unframed ? DFF_H1D_UNTIL_CLOSE :
				    (int64_t)strlen(body));
		dff_h1d_write(req, body, strlen(body));
		dff_h1d_end(req);
		break;
	case 1:
		dff_h1d_abort(req);
		break;
	default:
		dff_h1d_begin(req, 200, fields,
		    job->unframed ? DFF_H1D_UNTIL_CLOSE : 1000);
		dff_h1d_write(req, body, strlen(body));
		dff_h1d_abort(req);
		break;
	}
	g_free(fields);
	g_free(body);
}

/* Ends a stream inside an event; without framing the connection may be closed
 * in order. */
static void
cut_stream(job_t *job, const char *event)
{
	gint32 len = g_rand_int_range(job->soak->rng, 1, (gint32)strlen(event));
	dff_h1d_req_t *req = job->req;

	job->req = NULL;
	dff_h1d_write(req, event, (size_t)len);
	dff_h1d_set_data(req, 0);
	if (job->unframed && job->corruption == 1)
		dff_h1d_end(req);
	else
		dff_h1d_abort(req);
	end_job(job);
}

static void
end_stream(job_t *job)
{
	dff_h1d_set_data(job->req, 0);
	dff_h1d_end(job->req);
	job->req = NULL;
	end_job(job);
}

static void
on_event(job_t *job)
{
	char *text;

	text = g_strdup_printf(
	    "id: %d\ndata: %s v%d\n\n", job->event + 1, job->id, job->version);
	if (job->corruption != 0 && job->event == EVENTS / 2) {
		cut_stream(job, text);
		g_free(text);
		return;
	}
	job->event++;
	dff_h1d_write(job->req, text, strlen(text));
	g_free(text);
	if (job->event == EVENTS)
		end_stream(job);
}

static void
on_job(uv_timer_t *timer)
{
	job_t *job = timer->data;

	if (job->req == NULL)
		end_job(job);
	else if (job->stream && job->event >= EVENTS)
		end_stream(job);
	else if (job->stream)
		on_event(job);
	else {
		answer_plain(job);
		end_job(job);
	}
}

/* Records that a request begins to run on an upstream, and checks that it may.
 * Returns false if no caller sent it. */
static bool
count_run(soak_t *soak, soak_upstream_t *up, const char *id, const char *path)
{
	attempt_t *attempt = callers_find(soak, id);
	dff_time_t now = dff_program_now();

	if (attempt == NULL) {
		soak_fail(soak, "unasked id=%s upstream=%s", id, up->id);
		return false;
	}
	attempt->runs++;
	soak_trace(soak, "runs id=%s upstream=%s path=%s", id, up->id, path);
	if ((attempt->kind == KIND_ORDER || attempt->kind == KIND_TALK) &&
	    attempt->runs > 1)
		soak_fail(soak, "twice id=%s upstream=%s", id, up->id);
	if (attempt->ended && attempt->status == 503)
		soak_fail(soak, "runs after 'not run' id=%s", id);
	if (up->drain_start != 0 &&
	    now - up->drain_start > DRAIN_NOTICE_LIMIT &&
	    attempt->sent - up->drain_start > DRAIN_NOTICE_LIMIT &&
	    now - soak->store_last_fault > FAULT_EFFECT_TIME &&
	    now - soak->edges[attempt->edge].last_fault > FAULT_EFFECT_TIME)
		soak_fail(soak, "leaving upstream gets work id=%s upstream=%s",
		    id, up->id);
	if (attempt->kind == KIND_MOVE &&
	    attempt->sent - soak->config_written_at > DRAIN_NOTICE_LIMIT &&
	    now - soak->store_last_fault > FAULT_EFFECT_TIME &&
	    now - soak->edges[attempt->edge].last_fault > FAULT_EFFECT_TIME &&
	    (up->index == 3) != soak->move_uses_other)
		soak_fail(soak, "old version id=%s upstream=%s", id, up->id);
	return true;
}

static void
start_job(soak_t *soak, soak_upstream_t *up, dff_h1d_req_t *req, const char *id)
{
	const char *last = dff_h1_field(dff_h1d_head(req), "Last-Event-Id");
	job_t *job = g_new0(job_t, 1);
	uint64_t first =
	    (uint64_t)g_rand_int_range(soak->rng, RUN_MIN_MSEC, RUN_MAX_MSEC);
	char *fields;

	job->soak = soak;
	job->up = up;
	job->version = up->version;
	job->req = req;
	job->stream = up->index >= 4;
	job->event = last != NULL ? atoi(last) : 0;
	g_strlcpy(job->id, id, sizeof(job->id));
	if (g_rand_double(soak->rng) < corrupt_share)
		job->corruption = g_rand_int_range(soak->rng, 1, 3);
	job->unframed = g_rand_double(soak->rng) < UNFRAMED_SHARE;
	job->timer.data = job;
	dff_h1d_set_data(req, (uint64_t)(uintptr_t)job);
	(void)uv_timer_init(&soak->loop, &job->timer);
	(void)uv_timer_start(
	    &job->timer, on_job, first, job->stream ? EVENT_MSEC : 0);
	if (!job->stream)
		return;
	fields = head_fields(job);
	dff_h1d_begin(
	    req, 200, fields, job->unframed ? DFF_H1D_UNTIL_CLOSE : -1);
	g_free(fields);
}

/* Crashes the upstream that began a request, and checks that the edges soon
 * stop forwarding such requests. */
static void
crash_by_request(soak_t *soak, soak_upstream_t *up, const attempt_t *attempt)
{
	const edge_proc_t *edge = &soak->edges[attempt->edge];
	bool part = attempt->kind == KIND_PART;
	crash_count_t *count = part ? &soak->part : &soak->bad;
	dff_time_t now = dff_program_now();

	if (up->crashed || up->drain_start != 0)
		return;
	if (count->last_allowed != 0 &&
	    now - count->last_allowed > FAULT_EFFECT_TIME &&
	    now - edge->last_fault > FAULT_EFFECT_TIME &&
	    now - edge->started > FAULT_EFFECT_TIME && ++count->late > LATE_MAX)
		soak_fail(soak,
		    "request goes on crashing upstreams part=%d ended=%d", part,
		    count->crashes);
	if (++count->crashes == (part ? PART_CRASHES : BAD_CRASHES))
		count->last_allowed = now;
	upstream_crash(soak, up);
}

static void
reject(soak_upstream_t *up, dff_h1d_req_t *req, const char *id)
{
	char limit[LIMIT_FIELD_MAX];
	char *fields =
	    g_strdup_printf("X-Attempt-Id: %s\r\nX-Not-Executed: 1\r\n%s", id,
		limit_field(up, id, limit, sizeof(limit)));

	dff_h1d_answer(req, 503, fields, "", 0);
	g_free(fields);
}

static void
answer_prefill(soak_upstream_t *up, dff_h1d_req_t *req, const char *id)
{
	char limit[LIMIT_FIELD_MAX];
	char *text = g_strdup_printf(
	    "{\"kvHandle\":\"h-%s\",\"tokens\":10,\"version\":1}", id);

	char *fields = g_strdup_printf("X-Attempt-Id: %s\r\n%s", id,
	    limit_field(up, id, limit, sizeof(limit)));

	dff_h1d_answer(req, 200, fields, text, strlen(text));
	g_free(fields);
	g_free(text);
}

static void
report(const soak_upstream_t *up, dff_h1d_req_t *req)
{
	char *text = g_strdup_printf(
	    "{\"stage\":\"decode\",\"born\":%" G_GUINT64_FORMAT "}",
	    up->start_wall_ms);

	dff_h1d_answer(
	    req, 200, "Content-Type: application/json\r\n", text, strlen(text));
	g_free(text);
}

static void
on_request(void *arg, dff_h1d_req_t *req)
{
	soak_upstream_t *up = arg;
	const dff_h1_head_t *head = dff_h1d_head(req);
	const char *expected = dff_h1_field(head, "X-Expect-Instance");
	const char *id = dff_h1_field(head, "X-Attempt-Id");
	const char *stage = dff_h1_field(head, "X-Stage");
	soak_t *soak = up->soak;

	if (expected != NULL && strcmp(expected, up->id) == 0 &&
	    strcmp(head->target, "/report") == 0) {
		report(up, req);
		return;
	}
	if (expected == NULL || strcmp(expected, up->id) != 0 || id == NULL) {
		dff_h1d_answer(req, 421, "X-Not-Executed: 1\r\n", "", 0);
		return;
	}
	limit_count(soak, up, id);
	keys_check_request(soak, head, id);
	if (g_rand_double(soak->rng) < corrupt_share / 2) {
		reject(up, req, id);
		return;
	}
	if (stage != NULL) {
		answer_prefill(up, req, id);
		return;
	}
	if (strcmp(head->method, "DELETE") == 0)
		dff_h1d_answer(req, 200, "", "", 0);
	else if (!count_run(soak, up, id, head->target))
		dff_h1d_abort(req);
	else if (callers_find(soak, id)->kind >= KIND_BAD) {
		dff_h1d_abort(req);
		crash_by_request(soak, up, callers_find(soak, id));
	} else
		start_job(soak, up, req, id);
}

static void
on_caller_gone(void *arg, dff_h1d_req_t *req)
{
	job_t *job = (job_t *)(uintptr_t)dff_h1d_data(req);

	(void)arg;
	if (job != NULL)
		job->req = NULL;
}

/* ---- records of the store ---- */

static void
write_record(soak_t *soak, soak_upstream_t *up)
{
	char *text = g_strdup_printf(
	    "{\"service\":\"%s\",\"address\":\"%s\","
	    "\"zone\":\"z\",\"version\":\"v%d\",\"capacitySlots\":16,"
	    "\"state\":\"%s\",\"coldLeftMs\":0,%s\"seqNo\":%" G_GUINT64_FORMAT
	    ",\"born\":%" G_GUINT64_FORMAT "}",
	    pool_name(up->index), up->addr, up->version,
	    up->drain_start != 0 ? "draining" : "ready",
	    up->index == 4    ? "\"stage\":\"prefill\"," :
		up->index > 4 ? "\"stage\":\"decode\"," :
				"",
	    ++up->record_seq, up->start_wall_ms);

	standin_put(soak->store, "keyed.servers", up->id, text);
	g_free(text);
}

static bool
generates(int kind)
{
	return kind == KIND_TALK || kind == KIND_RESUME || kind == KIND_PART;
}

void
config_write(soak_t *soak)
{
	static const char *const kinds[KIND_COUNT] = {"idempotent",
	    "non_idempotent", "streaming", "streaming", "idempotent",
	    "non_idempotent", "streaming"};
	static const char *const paths[KIND_COUNT] = {
	    "read", "order", "talk", "resume", "move", "bad", "part"};
	GString *text = g_string_new(NULL);

	g_string_append_printf(text,
	    "{\"version\":%" G_GUINT64_FORMAT ",\"routes\":[",
	    soak->version += 3);
	for (int k = 0; k < KIND_COUNT; k++)
		g_string_append_printf(text,
		    "%s{%s\"name\":\"%s\",\"host\":"
		    "\"h.example\",\"pathPrefix\":\"/%s/\",\"kind\":\"%s\","
		    "\"timeoutMs\":1500,\"targetLatencyMs\":300,\"service\":"
		    "\"%s\",\"maxAttempts\":2,\"resumable\":%s,"
		    "\"sessionAffinity\":%s}",
		    k > 0 ? "," : "",
		    keys_is_public(soak, k) ? "\"public\":true," : "", paths[k],
		    paths[k], kinds[k],
		    generates(k)				? "llm" :
			k == KIND_MOVE && soak->move_uses_other ? "other" :
								  "plain",
		    k == KIND_RESUME ? "true" : "false",
		    generates(k) ? "true" : "false");
	g_string_append(text,
	    "],\"services\":[{\"name\":\"plain\"},"
	    "{\"name\":\"other\"},{\"name\":\"llm\",\"engineKind\":"
	    "{\"capacitySlots\":16,\"kvCapacity\":100000,\"tokenKvBytes\":1000,"
	    "\"linkMbps\":100000.0,\"handleTtlS\":5.0}}],\"limits\":{}");
	keys_append_config(soak, text);
	g_string_append(text, "}");
	standin_put(soak->store, "keyed.op", "config", text->str);
	soak->config_written_at = dff_program_now();
	soak->written_at = soak->config_written_at;
	soak_trace(soak, "configuration version=%" G_GUINT64_FORMAT " other=%d",
	    soak->version, soak->move_uses_other);
	g_free(soak->config_text);
	soak->config_text = g_string_free(text, FALSE);
}

void
upstreams_start(soak_t *soak)
{
	static const dff_h1d_handlers_t handlers = {on_request, on_caller_gone};
	const dff_h1d_limits_t limits = {16384, 1 << 20, 1 << 20, 5 * DFF_SEC};

	corrupt_share = 0;
	for (int i = 0; i < UPSTREAMS; i++) {
		soak_upstream_t *up = &soak->upstreams[i];
		char to[32];

		up->soak = soak;
		up->index = i;
		up->start_wall_ms = dff_program_wall_ms();
		up->version = 1;
		(void)g_snprintf(up->id, sizeof(up->id), "u%d-0", i);
		(void)g_snprintf(up->addr, sizeof(up->addr), "127.%d.3.%d:9000",
		    soak->net, i + 1);
		(void)g_snprintf(
		    to, sizeof(to), "127.%d.4.%d:9000", soak->net, i + 1);
		if (dff_h1d_new(soak->ctx, &soak->loop, to, &limits, &handlers,
			up, &up->server) < 0)
			g_error("upstream cannot listen addr=%s", to);
		up->proxy = proxy_new(soak, up->addr, to);
		write_record(soak, up);
	}
}

void
upstreams_set_links(soak_t *soak)
{
	for (int i = 0; i < UPSTREAMS; i++) {
		const soak_upstream_t *up = &soak->upstreams[i];

		for (int k = 0; k < EDGES; k++) {
			bool refused =
			    up->crashed || soak->edges[k].cut_since != 0;

			proxy_set(
			    up->proxy, k, refused ? LINK_REFUSED : up->link);
		}
	}
}

/* Starts the upstream again, an engine with any software version, under a new
 * id or the one that it had. */
static void
restart_upstream(soak_t *soak, soak_upstream_t *up)
{
	bool drained = up->drain_start != 0;

	limit_end(up);
	up->crashed = false;
	up->drain_start = 0;
	up->restart_at = 0;
	up->record_seq = 0;
	up->start_wall_ms = dff_program_wall_ms();
	up->started = dff_program_now();
	if (up->index >= 4)
		up->version = g_rand_int_range(soak->rng, 1, VERSIONS + 1);
	if (drained || g_rand_double(soak->rng) >= SAME_ID_SHARE)
		(void)g_snprintf(up->id, sizeof(up->id),
		    "u%d-%" G_GUINT64_FORMAT, up->index, up->start_wall_ms);
	up->link = LINK_OK;
	upstreams_set_links(soak);
	soak_trace(
	    soak, "upstream starts id=%s version=%d", up->id, up->version);
	write_record(soak, up);
}

void
upstreams_refresh_records(soak_t *soak)
{
	dff_time_t now = dff_program_now();

	for (int i = 0; i < UPSTREAMS; i++) {
		soak_upstream_t *up = &soak->upstreams[i];

		if (up->restart_at != 0 && now >= up->restart_at)
			restart_upstream(soak, up);
		else if (up->drain_start != 0 &&
		    now - up->drain_start > 2 * DRAIN_TIME &&
		    up->restart_at == 0) {
			standin_put(soak->store, "keyed.servers", up->id, NULL);
			up->restart_at = now + DFF_SEC;
		} else if (!up->crashed && up->restart_at == 0)
			write_record(soak, up);
	}
}

/* Finds the first and last upstream that may serve a kind of request. */
static void
find_pool(const soak_t *soak, int kind, int *first, int *last)
{
	bool other = kind == KIND_MOVE && soak->move_uses_other;

	*first = generates(kind) ? 5 : other ? 3 : 0;
	*last = generates(kind) ? 6 : other ? 3 : 2;
}

bool
upstreams_can_serve(const soak_t *soak, int kind)
{
	dff_time_t now = dff_program_now();
	int first;
	int last;

	find_pool(soak, kind, &first, &last);
	for (int i = first; i <= last; i++) {
		const soak_upstream_t *up = &soak->upstreams[i];

		if (!up->crashed && up->drain_start == 0 &&
		    up->restart_at == 0 && now - up->started > DISCOVERY_TIME)
			return true;
	}
	return false;
}

void
upstream_drain(soak_t *soak, soak_upstream_t *up)
{
	if (up->crashed || up->drain_start != 0)
		return;
	up->drain_start = dff_program_now();
	soak_trace(soak, "upstream leaves id=%s", up->id);
	write_record(soak, up);
}

void
upstream_crash(soak_t *soak, soak_upstream_t *up)
{
	if (up->crashed || up->drain_start != 0)
		return;
	up->crashed = true;
	up->restart_at = dff_program_now() + 2 * DFF_SEC;
	soak_trace(soak, "upstream crashes id=%s", up->id);
	upstreams_set_links(soak);
	standin_put(soak->store, "keyed.servers", up->id, NULL);
}

void
upstreams_set_corrupt_share(soak_t *soak, double share)
{
	corrupt_share = share;
	soak_trace(soak, "answers spoiled share=%.2f", share);
}
