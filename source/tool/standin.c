/*
 * What the stand-ins share.
 */
#include "standin.h"

#include <string.h>

/* The largest request body. */
#define BODY_MAX (4 * 1024 * 1024)
/* Bytes that may wait for a slow reader. */
#define UNREAD_MAX (4 * 1024 * 1024)
/* Longest time for a request to arrive whole. */
#define HEADER_TIME (10 * DFF_SEC)
/* How often a stopping stand-in looks whether it has run dry. */
#define STOP_POLL_MSEC 20

typedef struct later {
	dff_httpd_req_t *req;
	dff_time_t at;
	int status;
	char *type;
	GBytes *body;
} later_t;

static void
free_later(gpointer data)
{
	later_t *later = data;

	g_free(later->type);
	g_bytes_unref(later->body);
	g_free(later);
}

static void on_later(uv_timer_t *timer);

static void
set_later_timer(standin_t *standin)
{
	const later_t *first = g_queue_peek_head(&standin->later);
	dff_time_t wait;

	if (first == NULL) {
		(void)uv_timer_stop(&standin->later_timer);
		return;
	}
	wait = dff_program_time_until(first->at);
	uv_update_time(standin->loop);
	(void)uv_timer_start(&standin->later_timer, on_later,
	    (uint64_t)((wait + DFF_MSEC - 1) / DFF_MSEC), 0);
}

static void
on_later(uv_timer_t *timer)
{
	standin_t *standin = timer->data;
	dff_time_t now = dff_program_now();
	later_t *later;

	while ((later = g_queue_peek_head(&standin->later)) != NULL &&
	    later->at <= now) {
		size_t len;
		const void *data = g_bytes_get_data(later->body, &len);

		g_queue_pop_head(&standin->later);
		dff_httpd_answer(
		    later->req, later->status, later->type, data, len);
		free_later(later);
	}
	set_later_timer(standin);
}

static gint
compare_later(gconstpointer a, gconstpointer b, gpointer arg)
{
	const later_t *x = a;
	const later_t *y = b;

	(void)arg;
	return x->at < y->at ? -1 : x->at > y->at;
}

void
standin_answer_later(standin_t *standin, dff_httpd_req_t *req, int status,
    const char *type, const void *data, size_t len, dff_time_t delay)
{
	later_t *later;

	if (delay <= 0) {
		dff_httpd_answer(req, status, type, data, len);
		return;
	}
	later = g_new0(later_t, 1);
	later->req = req;
	later->at = dff_program_now() + delay;
	later->status = status;
	later->type = g_strdup(type);
	later->body = g_bytes_new(data, len);
	g_queue_insert_sorted(&standin->later, later, compare_later, NULL);
	set_later_timer(standin);
}

void
standin_forget(standin_t *standin, dff_httpd_req_t *req)
{
	GList *link = standin->later.head;

	while (link != NULL) {
		later_t *later = link->data;
		GList *next = link->next;

		if (later->req == req) {
			g_queue_delete_link(&standin->later, link);
			free_later(later);
		}
		link = next;
	}
}

/* ---- life ---- */

static void
end(standin_t *standin)
{
	(void)uv_timer_stop(&standin->stop_timer);
	uv_stop(standin->loop);
}

static void
on_stop_poll(uv_timer_t *timer)
{
	standin_t *standin = timer->data;

	if (standin->httpd == NULL ||
	    dff_httpd_count_open(standin->httpd) == 0) {
		dff_log(standin->ctx, DFF_LOG_NOTICE, "stop", "ran dry");
		end(standin);
		return;
	}
	if (dff_program_now() < standin->stop_at)
		return;
	dff_log(standin->ctx, DFF_LOG_WARNING, "stop", "bound reached open=%zu",
	    dff_httpd_count_open(standin->httpd));
	end(standin);
}

static void
on_stop(void *arg)
{
	standin_t *standin = arg;

	dff_log(standin->ctx, DFF_LOG_NOTICE, "stop", "asked to stop");
	standin->stopping = true;
	standin->stop_at = dff_program_now() + standin->drain_time;
	if (standin->httpd != NULL)
		dff_httpd_stop_accepting(standin->httpd);
	(void)uv_timer_start(
	    &standin->stop_timer, on_stop_poll, STOP_POLL_MSEC, STOP_POLL_MSEC);
}

int
standin_open(standin_t *standin)
{
	dff_httpd_config_t config = {.addr = standin->addr,
	    .body_max = BODY_MAX,
	    .unread_max = UNREAD_MAX,
	    .header_time = HEADER_TIME};
	int err;

	err = dff_httpd_new(standin->ctx, standin->loop, &config,
	    &standin->handlers, standin->arg, &standin->httpd);
	if (err < 0) {
		dff_log(standin->ctx, DFF_LOG_ERR, "http",
		    "cannot listen addr=%s error=%s", standin->addr,
		    dff_strerror(err));
		return err;
	}
	dff_log(standin->ctx, DFF_LOG_NOTICE, "http", "listening addr=%s",
	    standin->addr);
	return 0;
}

int
standin_start(standin_t *standin)
{
	int err;

	g_queue_init(&standin->later);
	(void)uv_timer_init(standin->loop, &standin->later_timer);
	(void)uv_timer_init(standin->loop, &standin->stop_timer);
	standin->later_timer.data = standin;
	standin->stop_timer.data = standin;
	err = dff_program_on_stop(standin->loop, on_stop, standin);
	if (err < 0)
		return err;
	return standin_open(standin);
}

void
standin_vanish(standin_t *standin)
{
	g_queue_clear_full(&standin->later, free_later);
	set_later_timer(standin);
	dff_httpd_drop(standin->httpd);
	standin->httpd = NULL;
}

void
standin_drop(standin_t *standin)
{
	standin_vanish(standin);
}

/* ---- JSON ---- */

void
standin_answer(dff_httpd_req_t *req, int status, json_t *body)
{
	char *text;

	text = json_dumps(body, JSON_COMPACT);
	dff_httpd_answer(req, status, "application/json", text, strlen(text));
	free(text);
	json_decref(body);
}

void
standin_answer_error(
    dff_httpd_req_t *req, int status, const char *word, dff_time_t retry)
{
	json_t *body;

	body = json_pack("{s:s}", "error", word);
	if (retry > 0) {
		json_object_set_new(body, "retry_after_ms",
		    json_integer((retry + DFF_MSEC - 1) / DFF_MSEC));
	}
	standin_answer(req, status, body);
}

json_t *
standin_body(dff_httpd_req_t *req)
{
	const char *data;
	size_t len;
	json_t *body;

	data = dff_httpd_body(req, &len);
	body = json_loadb(data, len, 0, NULL);
	if (json_is_object(body))
		return body;
	json_decref(body);
	standin_answer_error(req, 400, "malformed", 0);
	return NULL;
}

bool
standin_is(const dff_httpd_req_t *req, const char *method, const char *path)
{
	return strcmp(dff_httpd_method(req), method) == 0 &&
	    strcmp(dff_httpd_path(req), path) == 0;
}

int64_t
standin_number(const json_t *object, const char *key, int64_t fallback)
{
	const json_t *value = json_object_get(object, key);

	return json_is_integer(value) ? json_integer_value(value) : fallback;
}

const char *
standin_text(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text != NULL ? text : "";
}
