#include <stdlib.h>
#include <string.h>

#include "soak/soak.h"

/* Time after the beginning of a cut, and after any other fault, from which an
 * edge must serve. */
#define CONTACT_TIME (3 * DFF_SEC)
/* First tries that may fail at edges that are cut off. */
#define CUT_FAILED_MAX 10

/* Probability that a tick of 10 ms sends a request. */
#define REQUESTS_PER_TICK 0.5
/* Timeout of all routes: timeoutMs of the configuration. */
#define ROUTE_TIMEOUT (1500 * DFF_MSEC)
/* Accepted delay of a final answer after the route timeout. */
#define ANSWER_GRACE (700 * DFF_MSEC)
/* Time after which a caller cancels its request. */
#define CALLER_TIMEOUT (4 * DFF_SEC)

static const char *const paths[KIND_COUNT] = {
    "read", "order", "talk", "resume", "move", "bad", "part"};
/* Share of requests that crash upstreams, of each kind. */
#define BAD_SHARE 0.02

attempt_t *
callers_find(soak_t *soak, const char *id)
{
	return g_hash_table_lookup(soak->attempts, id);
}

/* ---- checks of answers ---- */

static void
check_answer(soak_t *soak, attempt_t *attempt)
{
	char *expected;

	if (attempt->status != 200)
		return;
	if (attempt->kind == KIND_TALK || attempt->kind == KIND_RESUME) {
		stream_check(soak, attempt);
		return;
	}
	expected = g_strdup_printf("answer to %s", attempt->id);
	if (attempt->complete && strcmp(attempt->body->str, expected) != 0)
		soak_fail(soak, "wrong answer id=%s body=\"%s\"", attempt->id,
		    attempt->body->str);
	g_free(expected);
}

static void
check_end(soak_t *soak, attempt_t *attempt)
{
	const edge_proc_t *edge = &soak->edges[attempt->edge];
	dff_time_t took = attempt->done - attempt->sent;

	check_answer(soak, attempt);
	keys_check_answer(soak, attempt);
	if (attempt->status == 503 && attempt->runs > 0)
		soak_fail(soak, "'not run' of a run id=%s", attempt->id);
	if (attempt->status == 404)
		soak_fail(
		    soak, "not found though it is there id=%s", attempt->id);
	if (took > ROUTE_TIMEOUT + ANSWER_GRACE &&
	    edge->last_fault < attempt->sent && !soak_is_stalled(soak) &&
	    soak->last_stall < attempt->sent)
		soak_fail(soak,
		    "held past its timeout id=%s took_ms=%" G_GINT64_FORMAT,
		    attempt->id, took / DFF_MSEC);
}

/* ---- requests ---- */

static int
choose_kind(soak_t *soak)
{
	double share = g_rand_double(soak->rng);

	if (share < BAD_SHARE)
		return KIND_BAD;
	if (share < 2 * BAD_SHARE)
		return KIND_PART;
	return g_rand_int_range(soak->rng, 0, KIND_BAD);
}

/* Header lines of the prompt, or "". Streams share the first part. */
static char *
prompt_fields(const attempt_t *attempt)
{
	if (attempt->kind == KIND_PART)
		return g_strdup_printf("X-Token-Count: 900,8\r\n"
				       "X-Prompt-Prefix: aa:800,dead:50,%s:"
				       "50\r\n",
		    attempt->id);
	if (attempt->kind == KIND_TALK || attempt->kind == KIND_RESUME)
		return g_strdup("X-Token-Count: 900,8\r\n"
				"X-Prompt-Prefix: aa:800,bb:100\r\n");
	return g_strdup("");
}

static void
on_head(void *arg, const dff_h1_head_t *head)
{
	attempt_t *attempt = arg;
	const char *stamp = dff_h1_field(head, "X-Server-Stamp");

	attempt->status = head->status;
	if (head->status == 200 &&
	    (stamp == NULL || strcmp(stamp + 2, attempt->id) != 0))
		soak_fail(
		    attempt->soak, "signature of another id=%s", attempt->id);
}

static void
on_data(void *arg, const char *data, size_t len)
{
	g_string_append_len(((attempt_t *)arg)->body, data, (gssize)len);
}

/* Excludes a request from the recovery check if this program stalled while it
 * was open: the upstreams run in this program and could not answer. */
static void
exclude_stalled(soak_t *soak, attempt_t *attempt)
{
	if (!attempt->counts_for_recovery ||
	    (!soak_is_stalled(soak) && soak->last_stall < attempt->sent))
		return;
	attempt->counts_for_recovery = false;
	soak->recovery_requests--;
}

static bool
had_fault(const edge_proc_t *edge, const attempt_t *attempt)
{
	return attempt->sent - MAX(edge->last_fault, edge->started) <=
	    CONTACT_TIME;
}

/* Whether first tries at edges that are not cut off count, too: otherwise what
 * the others serve would be that of another time, with other upstreams. */
static bool
others_count(const soak_t *soak, const attempt_t *attempt)
{
	for (int i = 0; i < EDGES; i++) {
		if (soak->edges[i].cut_since == 0 &&
		    !had_fault(&soak->edges[i], attempt))
			return true;
	}
	return false;
}

/* Counts a first try that was sent while an edge was cut off from all upstreams
 * for long, and nothing else was wrong with it: at that edge or at the others. */
static void
count_in_cut(soak_t *soak, const attempt_t *attempt, bool served)
{
	const edge_proc_t *edge = &soak->edges[attempt->edge];
	const edge_proc_t *cut = NULL;

	for (int i = 0; i < EDGES; i++) {
		if (soak->edges[i].cut_since != 0 &&
		    attempt->sent - soak->edges[i].cut_since > CONTACT_TIME)
			cut = &soak->edges[i];
	}
	if (cut == NULL || attempt->first[0] != '\0' || attempt->has_odd_key ||
	    attempt->kind == KIND_BAD || attempt->kind == KIND_PART ||
	    attempt->sent - soak->store_last_fault <= CONTACT_TIME ||
	    had_fault(edge, attempt) || !others_count(soak, attempt))
		return;
	if (edge->cut_since == 0) {
		soak->others_first++;
		soak->others_served += served;
	} else if (edge == cut) {
		soak->cut_first++;
		soak->cut_served += served;
	}
}

static void
on_end(void *arg, dff_h1c_end_t end)
{
	attempt_t *attempt = arg;
	soak_t *soak = attempt->soak;
	bool served;

	attempt->req = NULL;
	attempt->ended = true;
	attempt->complete = end == DFF_H1C_DONE;
	attempt->done = dff_program_now();
	served = attempt->complete && attempt->status == 200;
	soak_trace(soak, "ends id=%s kind=%s edge=%d status=%d whole=%d",
	    attempt->id, paths[attempt->kind], attempt->edge, attempt->status,
	    attempt->complete);
	exclude_stalled(soak, attempt);
	soak->served += served;
	count_in_cut(soak, attempt, served);
	if (attempt->counts_for_recovery)
		soak->recovery_served += served;
	check_end(soak, attempt);
	if (attempt->first[0] != '\0' && attempt->status == 200)
		soak->went_on++;
	stream_resume(soak, attempt);
}

attempt_t *
callers_new(soak_t *soak, int kind)
{
	attempt_t *attempt = g_new0(attempt_t, 1);

	(void)g_snprintf(attempt->id, sizeof(attempt->id),
	    "a%08x-%06" G_GUINT64_FORMAT, soak->seed, soak->next_attempt++);
	attempt->soak = soak;
	attempt->kind = kind;
	attempt->edge = g_rand_int_range(soak->rng, 0, EDGES);
	attempt->body = g_string_new(NULL);
	attempt->sent = dff_program_now();
	g_hash_table_insert(soak->attempts, attempt->id, attempt);
	return attempt;
}

static char *
resume_fields(const attempt_t *attempt)
{
	if (attempt->first[0] == '\0')
		return g_strdup("");
	return g_strdup_printf("Last-Event-Id: %d\r\nResumes: %s\r\n",
	    attempt->after_event, attempt->first);
}

void
callers_send(soak_t *soak, attempt_t *attempt)
{
	static const dff_h1c_handlers_t handlers = {on_head, on_data, on_end};
	dff_h1c_call_t call = {.connect_time = DFF_SEC};
	const char *body = attempt->kind == KIND_BAD ? "bad" : attempt->id;
	char *prompt = prompt_fields(attempt);
	char *resume = resume_fields(attempt);
	char *key = keys_fields(soak, attempt);
	char *text;

	call.addr = soak->edges[attempt->edge].front;
	call.peer = "edge";
	text = g_strdup_printf(
	    "POST /%s/x HTTP/1.1\r\nHost: h.example\r\n"
	    "X-Attempt-Id: %s\r\nX-Deadline-Ms: 3000\r\n%s%s%sContent-Length: "
	    "%zu\r\n\r\n%s",
	    paths[attempt->kind], attempt->id, prompt, resume, key,
	    strlen(body), body);
	g_free(key);
	g_free(prompt);
	g_free(resume);
	call.bytes = g_byte_array_new();
	g_byte_array_append(
	    call.bytes, (const guint8 *)text, (guint)strlen(text));
	g_free(text);
	soak_trace(soak, "asks id=%s kind=%s edge=%d resumes=%s after=%d",
	    attempt->id, paths[attempt->kind], attempt->edge, attempt->first,
	    attempt->after_event);
	attempt->req = dff_h1c_start(soak->client, &call, &handlers, attempt);
}

static void
send_request(soak_t *soak)
{
	attempt_t *attempt = callers_new(soak, choose_kind(soak));

	soak->requests++;
	attempt->counts_for_recovery = attempt->kind < KIND_BAD &&
	    attempt->sent > soak->faults_end + 4 * DFF_SEC &&
	    upstreams_can_serve(soak, attempt->kind);
	if (attempt->counts_for_recovery)
		soak->recovery_requests++;
	callers_send(soak, attempt);
}

/* Cancels requests that are older than CALLER_TIMEOUT, and at random a few
 * earlier ones. */
static void
cancel_requests(soak_t *soak)
{
	GHashTableIter iter;
	gpointer value;
	dff_time_t now = dff_program_now();

	g_hash_table_iter_init(&iter, soak->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		attempt_t *attempt = value;

		if (attempt->ended || attempt->req == NULL ||
		    (now - attempt->sent < CALLER_TIMEOUT &&
			g_rand_double(soak->rng) > 0.0005))
			continue;
		if (now - attempt->sent >= CALLER_TIMEOUT) {
			attempt->done = now;
			check_end(soak, attempt);
		}
		exclude_stalled(soak, attempt);
		dff_h1c_cancel(attempt->req);
		attempt->req = NULL;
		attempt->ended = true;
		attempt->done = now;
	}
}

bool
callers_have_stopped(const soak_t *soak)
{
	return dff_program_now() >= soak->end - CALLER_TIMEOUT;
}

void
callers_tick(soak_t *soak)
{
	if (!callers_have_stopped(soak) &&
	    g_rand_double(soak->rng) < REQUESTS_PER_TICK)
		send_request(soak);
	cancel_requests(soak);
}

void
callers_check_all(soak_t *soak)
{
	int cut_failed = soak->cut_first - soak->cut_served;
	GHashTableIter iter;
	gpointer value;

	/* As on the platform: less than two thirds as often as the others, and
	 * not only by a few. */
	if (cut_failed >
		CUT_FAILED_MAX + (soak->cut_first + soak->others_first) / 50 &&
	    3 * soak->cut_served * soak->others_first <
		2 * soak->others_served * soak->cut_first)
		soak_fail(soak,
		    "edges that are cut off serve %d of %d, others %d of %d",
		    soak->cut_served, soak->cut_first, soak->others_served,
		    soak->others_first);
	g_hash_table_iter_init(&iter, soak->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const attempt_t *attempt = value;

		if (attempt->status == 503 && attempt->runs > 0)
			soak_fail(
			    soak, "'not run' of a run id=%s", attempt->id);
	}
	if (10 * soak->recovery_served < 8 * soak->recovery_requests)
		soak_fail(soak, "not recovered asked=%d served=%d",
		    soak->recovery_requests, soak->recovery_served);
}
