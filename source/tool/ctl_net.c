#include "ctl.h"

#include <string.h>

static void
on_head(void *arg, dff_httpc_req_t *req, int status)
{
	ctl_fetch_t *fetch = arg;

	(void)req;
	fetch->status = status;
}

static void
on_data(void *arg, dff_httpc_req_t *req, const char *data, size_t len)
{
	ctl_fetch_t *fetch = arg;

	(void)req;
	g_byte_array_append(fetch->body, (const guint8 *)data, (guint)len);
}

static void
on_end(void *arg, dff_httpc_req_t *req, dff_httpc_end_t end)
{
	ctl_fetch_t *fetch = arg;

	(void)req;
	fetch->end = end;
	fetch->done = true;
}

void
ctl_fetch_start(ctl_t *ctl, ctl_fetch_t *fetch, const char *addr,
    const char *method, const char *path, const void *body, size_t len)
{
	static const dff_httpc_handlers_t handlers = {on_head, on_data, on_end};
	dff_httpc_call_t call = {
	    .addr = addr,
	    .method = method,
	    .path = path,
	    .content_type = body != NULL ? "application/octet-stream" : NULL,
	    .body = body,
	    .len = len,
	    .idle_timeout = ctl->idle_timeout,
	};

	memset(fetch, 0, sizeof(*fetch));
	fetch->body = g_byte_array_new();
	if (dff_httpc_start(ctl->httpc, &call, &handlers, fetch) == NULL) {
		fetch->end = DFF_HTTPC_CONNECT_FAILED;
		fetch->done = true;
	}
}

static bool
all_done(const ctl_fetch_t *fetches, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (!fetches[i].done)
			return false;
	}
	return true;
}

void
ctl_fetch_wait(ctl_t *ctl, ctl_fetch_t *fetches, size_t count)
{
	while (!all_done(fetches, count))
		(void)uv_run(&ctl->loop, UV_RUN_ONCE);
}

void
ctl_fetch_clear(ctl_fetch_t *fetch)
{
	g_byte_array_unref(fetch->body);
	fetch->body = NULL;
}

json_t *
ctl_fetch_json(const ctl_fetch_t *fetch)
{
	json_t *object;

	if (fetch->end != DFF_HTTPC_DONE || fetch->status != 200)
		return NULL;
	object = json_loadb(
	    (const char *)fetch->body->data, fetch->body->len, 0, NULL);
	if (json_is_object(object))
		return object;
	json_decref(object);
	return NULL;
}

json_t *
ctl_get_json(ctl_t *ctl, const char *addr, const char *path)
{
	ctl_fetch_t fetch;
	json_t *object;

	ctl_fetch_start(ctl, &fetch, addr, "GET", path, NULL, 0);
	ctl_fetch_wait(ctl, &fetch, 1);
	object = ctl_fetch_json(&fetch);
	ctl_fetch_clear(&fetch);
	return object;
}

static void
on_timer(uv_timer_t *timer)
{
	*(bool *)timer->data = true;
}

static void
on_closed(uv_handle_t *handle)
{
	*(bool *)handle->data = false;
}

void
ctl_sleep(ctl_t *ctl, dff_time_t time)
{
	uv_timer_t timer;
	bool flag = false; /* set by on_timer(), cleared by on_closed() */

	(void)uv_timer_init(&ctl->loop, &timer);
	timer.data = &flag;
	uv_update_time(&ctl->loop);
	(void)uv_timer_start(&timer, on_timer, (uint64_t)(time / DFF_MSEC), 0);
	while (!flag)
		(void)uv_run(&ctl->loop, UV_RUN_ONCE);
	uv_close((uv_handle_t *)&timer, on_closed);
	while (flag)
		(void)uv_run(&ctl->loop, UV_RUN_ONCE);
}

const char *
ctl_json_text(const json_t *object, const char *key)
{
	const char *text;

	text = json_string_value(json_object_get(object, key));
	return text != NULL ? text : "";
}

uint64_t
ctl_json_number(const json_t *object, const char *key)
{
	json_int_t number;

	number = json_integer_value(json_object_get(object, key));
	return number > 0 ? (uint64_t)number : 0;
}
