#include <stdlib.h>
#include <string.h>

#include "soak/soak.h"

/* Requests of a tick of 10 ms, in parts of one. */
#define RATE 0.5
/* The route's timeout, as in the configuration. */
#define TIMEOUT (1500 * DFF_MSEC)
/* How long after it a final answer may come. */
#define LATE (700 * DFF_MSEC)
/* A caller gives a request this time. */
#define PATIENCE (4 * DFF_SEC)

static const char *const paths[KIND_COUNT] = {
    "read", "order", "talk", "resume", "move", "bad"};
/* Share of requests that crash upstreams. */
#define BAD_SHARE 0.02

attempt_t *
callers_find(soak_t *soak, const char *id)
{
	return g_hash_table_lookup(soak->attempts, id);
}

/* ---- what a caller may see ---- */

/* Events must come in order, none missing, none twice, all of this id. */
static void
check_events(soak_t *soak, attempt_t *attempt)
{
	char **events = g_strsplit(attempt->body->str, "\n\n", -1);
	int count = (int)g_strv_length(events) - 1;

	for (int i = 0; i < count; i++) {
		char *want =
		    g_strdup_printf("id: %d\ndata: %s", i + 1, attempt->id);

		if (strcmp(events[i], want) != 0)
			soak_fail(soak,
			    "stream out of order id=%s at=%d "
			    "event=\"%s\"",
			    attempt->id, i, events[i]);
		g_free(want);
	}
	if (attempt->whole && count != 8)
		soak_fail(soak, "stream looks whole id=%s events=%d",
		    attempt->id, count);
	g_strfreev(events);
}

static void
check_answer(soak_t *soak, attempt_t *attempt)
{
	char *want;

	if (attempt->status != 200)
		return;
	if (attempt->kind == KIND_TALK || attempt->kind == KIND_RESUME) {
		check_events(soak, attempt);
		return;
	}
	want = g_strdup_printf("answer to %s", attempt->id);
	if (attempt->whole && strcmp(attempt->body->str, want) != 0)
		soak_fail(soak, "wrong answer id=%s body=\"%s\"", attempt->id,
		    attempt->body->str);
	g_free(want);
}

static void
check_end(soak_t *soak, attempt_t *attempt)
{
	const edge_proc_t *edge = &soak->edges[attempt->edge];
	dff_time_t took = attempt->done - attempt->sent;

	check_answer(soak, attempt);
	if (attempt->status == 503 && attempt->runs > 0)
		soak_fail(soak, "'not run' of a run id=%s", attempt->id);
	if (attempt->status == 404)
		soak_fail(
		    soak, "not found though it is there id=%s", attempt->id);
	if (took > TIMEOUT + LATE && edge->disturbed < attempt->sent &&
	    !soak_is_stalled(soak) && soak->stalled < attempt->sent)
		soak_fail(soak,
		    "held past its timeout id=%s took_ms=%" G_GINT64_FORMAT,
		    attempt->id, took / DFF_MSEC);
}

/* ---- requests ---- */

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

/* The upstreams are in this program: while it was held up, none answered. */
static void
forgive_stall(soak_t *soak, attempt_t *attempt)
{
	if (!attempt->calm ||
	    (!soak_is_stalled(soak) && soak->stalled < attempt->sent))
		return;
	attempt->calm = false;
	soak->calm_asked--;
}

static void
on_end(void *arg, dff_h1c_end_t end)
{
	attempt_t *attempt = arg;
	soak_t *soak = attempt->soak;
	bool served;

	attempt->req = NULL;
	attempt->ended = true;
	attempt->whole = end == DFF_H1C_DONE;
	attempt->done = dff_program_now();
	served = attempt->whole && attempt->status == 200;
	soak_note(soak, "ends id=%s kind=%s edge=%d status=%d whole=%d",
	    attempt->id, paths[attempt->kind], attempt->edge, attempt->status,
	    attempt->whole);
	forgive_stall(soak, attempt);
	soak->served += served;
	if (attempt->calm)
		soak->calm_served += served;
	check_end(soak, attempt);
}

static void
ask(soak_t *soak)
{
	static const dff_h1c_handlers_t handlers = {on_head, on_data, on_end};
	attempt_t *attempt = g_new0(attempt_t, 1);
	dff_h1c_call_t call = {.connect_time = DFF_SEC};
	const char *body;
	bool model;
	char *text;

	(void)g_snprintf(attempt->id, sizeof(attempt->id),
	    "a%08x-%06" G_GUINT64_FORMAT, soak->seed, soak->next_attempt++);
	attempt->soak = soak;
	attempt->kind = g_rand_double(soak->dice) < BAD_SHARE ?
	    KIND_BAD :
	    g_rand_int_range(soak->dice, 0, KIND_BAD);
	body = attempt->kind == KIND_BAD ? "bad" : attempt->id;
	attempt->edge = g_rand_int_range(soak->dice, 0, EDGES);
	attempt->body = g_string_new(NULL);
	attempt->sent = dff_program_now();
	model = attempt->kind == KIND_TALK || attempt->kind == KIND_RESUME;
	g_hash_table_insert(soak->attempts, attempt->id, attempt);
	soak->asked++;
	attempt->calm = attempt->kind != KIND_BAD &&
	    attempt->sent > soak->calm_from + 4 * DFF_SEC &&
	    upstreams_serve(soak, attempt->kind);
	if (attempt->calm)
		soak->calm_asked++;
	call.addr = soak->edges[attempt->edge].front;
	call.peer = "edge";
	text = g_strdup_printf(
	    "POST /%s/x HTTP/1.1\r\nHost: h.example\r\n"
	    "X-Attempt-Id: %s\r\nX-Deadline-Ms: 3000\r\n%sContent-Length: "
	    "%zu\r\n\r\n%s",
	    paths[attempt->kind], attempt->id,
	    model ?
		"X-Token-Count: 900,8\r\nX-Prompt-Prefix: aa:800,bb:100\r\n" :
		"",
	    strlen(body), body);
	call.bytes = g_byte_array_new();
	g_byte_array_append(
	    call.bytes, (const guint8 *)text, (guint)strlen(text));
	g_free(text);
	soak_note(soak, "asks id=%s kind=%s edge=%d", attempt->id,
	    paths[attempt->kind], attempt->edge);
	attempt->req = dff_h1c_start(soak->client, &call, &handlers, attempt);
}

/* Callers leave after their patience, and a few earlier. */
static void
leave(soak_t *soak)
{
	GHashTableIter iter;
	gpointer value;
	dff_time_t now = dff_program_now();

	g_hash_table_iter_init(&iter, soak->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		attempt_t *attempt = value;

		if (attempt->ended || attempt->req == NULL ||
		    (now - attempt->sent < PATIENCE &&
			g_rand_double(soak->dice) > 0.0005))
			continue;
		if (now - attempt->sent >= PATIENCE) {
			attempt->done = now;
			check_end(soak, attempt);
		}
		forgive_stall(soak, attempt);
		dff_h1c_cancel(attempt->req);
		attempt->req = NULL;
		attempt->ended = true;
		attempt->done = now;
	}
}

void
callers_tick(soak_t *soak)
{
	if (dff_program_now() < soak->end - PATIENCE &&
	    g_rand_double(soak->dice) < RATE)
		ask(soak);
	leave(soak);
}

void
callers_check_all(soak_t *soak)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, soak->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const attempt_t *attempt = value;

		if (attempt->status == 503 && attempt->runs > 0)
			soak_fail(
			    soak, "'not run' of a run id=%s", attempt->id);
	}
	if (10 * soak->calm_served < 8 * soak->calm_asked)
		soak_fail(soak, "not recovered asked=%d served=%d",
		    soak->calm_asked, soak->calm_served);
}
