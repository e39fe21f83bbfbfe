/*
 * Functions shared by the stand-ins.
 */
#include "standin.h"

#include <string.h>

/* Largest request body, bytes. */
#define BODY_MAX (4 * 1024 * 1024)
/* Largest unsent part of answers to a slow reader, bytes. */
#define UNREAD_MAX (4 * 1024 * 1024)
/* Longest time for a request to arrive completely. */
#define HEADER_TIME (10 * DFF_SEC)
/* Interval at which a stopping stand-in checks for open requests. */
#define STOP_POLL_MSEC 20

typedef struct delayed_answer {
	dff_httpd_req_t *req;
	dff_time_t due;
	int status;
	char *type;
	GBytes *body;
} delayed_answer_t;

static void
free_delayed(gpointer data)
{
	delayed_answer_t *delayed = data;

	g_free(delayed->type);
	g_bytes_unref(delayed->body);
	g_free(delayed);
}

static void on_delayed_timer(uv_timer_t *timer);

static void
set_delayed_timer(standin_t *standin)
{
	const delayed_answer_t *first = g_queue_peek_head(&standin->delayed);
	dff_time_t wait;

	if (first == NULL) {
		(void)uv_timer_stop(&standin->delayed_timer);
		return;
	}
	wait = dff_program_time_until(first->due);
	uv_update_time(standin->loop);
	(void)uv_timer_start(&standin->delayed_timer, on_delayed_timer,
	    (uint64_t)((wait + DFF_MSEC - 1) / DFF_MSEC), 0);
}

static void
on_delayed_timer(uv_timer_t *timer)
{
	standin_t *standin = timer->data;
	dff_time_t now = dff_program_now();
	delayed_answer_t *delayed;

	while ((delayed = g_queue_peek_head(&standin->delayed)) != NULL &&
	    delayed->due <= now) {
		size_t len;
		const void *data = g_bytes_get_data(delayed->body, &len);

		g_queue_pop_head(&standin->delayed);
		dff_httpd_answer(
		    delayed->req, delayed->status, delayed->type, data, len);
		free_delayed(delayed);
	}
	set_delayed_timer(standin);
}

static gint
compare_due(gconstpointer a, gconstpointer b, gpointer arg)
{
	const delayed_answer_t *x = a;
	const delayed_answer_t *y = b;

	(void)arg;
	return x->due < y->due ? -1 : x->due > y->due;
}

void
standin_answer_delayed(standin_t *standin, dff_httpd_req_t *req, int status,
    const char *type, const void *data, size_t len, dff_time_t delay)
{
	delayed_answer_t *delayed;

	if (delay <= 0) {
		dff_httpd_answer(req, status, type, data, len);
		return;
	}
	delayed = g_new0(delayed_answer_t, 1);
	delayed->req = req;
	delayed->due = dff_program_now() + delay;
	delayed->status = status;
	delayed->type = g_strdup(type);
	delayed->body = g_bytes_new(data, len);
	g_queue_insert_sorted(&standin->delayed, delayed, compare_due, NULL);
	set_delayed_timer(standin);
}

void
standin_cancel_delayed(standin_t *standin, dff_httpd_req_t *req)
{
	GList *link = standin->delayed.head;

	while (link != NULL) {
		delayed_answer_t *delayed = link->data;
		GList *next = link->next;

		if (delayed->req == req) {
			g_queue_delete_link(&standin->delayed, link);
			free_delayed(delayed);
		}
		link = next;
	}
}

/* ---- start and stop ---- */

static void
stop_loop(standin_t *standin)
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
		dff_log(standin->ctx, DFF_LOG_NOTICE, "stop",
		    "all requests finished");
		stop_loop(standin);
		return;
	}
	if (dff_program_now() < standin->stop_deadline)
		return;
	dff_log(standin->ctx, DFF_LOG_WARNING, "stop",
	    "drain time reached open=%zu",
	    dff_httpd_count_open(standin->httpd));
	stop_loop(standin);
}

static void
on_stop(void *arg)
{
	standin_t *standin = arg;

	dff_log(standin->ctx, DFF_LOG_NOTICE, "stop", "stop requested");
	standin->stopping = true;
	standin->stop_deadline = dff_program_now() + standin->drain_time;
	if (standin->httpd != NULL)
		dff_httpd_stop_accepting(standin->httpd);
	(void)uv_timer_start(
	    &standin->stop_timer, on_stop_poll, STOP_POLL_MSEC, STOP_POLL_MSEC);
}

int
standin_listen(standin_t *standin)
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

	g_queue_init(&standin->delayed);
	(void)uv_timer_init(standin->loop, &standin->delayed_timer);
	(void)uv_timer_init(standin->loop, &standin->stop_timer);
	standin->delayed_timer.data = standin;
	standin->stop_timer.data = standin;
	err = dff_program_on_stop(standin->loop, on_stop, standin);
	if (err < 0)
		return err;
	return standin_listen(standin);
}

void
standin_close(standin_t *standin)
{
	g_queue_clear_full(&standin->delayed, free_delayed);
	set_delayed_timer(standin);
	dff_httpd_drop(standin->httpd);
	standin->httpd = NULL;
}

void
standin_drop(standin_t *standin)
{
	standin_close(standin);
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
    dff_httpd_req_t *req, int status, const char *error, dff_time_t retry)
{
	json_t *body;

	body = json_pack("{s:s}", "error", error);
	if (retry > 0) {
		json_object_set_new(body, "retry_after_ms",
		    json_integer((retry + DFF_MSEC - 1) / DFF_MSEC));
	}
	standin_answer(req, status, body);
}

json_t *
standin_parse_body(dff_httpd_req_t *req)
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
standin_request_is(
    const dff_httpd_req_t *req, const char *method, const char *path)
{
	return strcmp(dff_httpd_method(req), method) == 0 &&
	    strcmp(dff_httpd_path(req), path) == 0;
}

int64_t
standin_get_int(const json_t *object, const char *key, int64_t fallback)
{
	const json_t *value = json_object_get(object, key);

	return json_is_integer(value) ? json_integer_value(value) : fallback;
}

const char *
standin_get_string(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text != NULL ? text : "";
}
