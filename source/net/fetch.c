#include "net/fetch.h"

#include <glib.h>

/* Nothing can listen on port 0. */
#define UNREACHABLE_ADDR "127.0.0.1:0"

struct dff_fetcher {
	dff_httpc_t *httpc;
	void *arg;
	GQueue fetches;
};

struct dff_fetch {
	dff_fetcher_t *fetcher;
	dff_httpc_req_t *req;
	GList link;
	GString *body;
	char *content_type;
	int status;
	size_t body_max;
	dff_fetch_done_fn fn;
	void *data;
};

static void
free_fetch(dff_fetch_t *fetch)
{
	g_queue_unlink(&fetch->fetcher->fetches, &fetch->link);
	(void)g_string_free(fetch->body, TRUE);
	g_free(fetch->content_type);
	g_free(fetch->data);
	g_free(fetch);
}

static void
finish_fetch(dff_fetch_t *fetch, dff_httpc_end_t end, bool too_large)
{
	const dff_fetch_result_t result = {.end = end,
	    .too_large = too_large,
	    .status = fetch->status,
	    .content_type =
		fetch->content_type != NULL ? fetch->content_type : "",
	    .body = fetch->body->str,
	    .len = fetch->body->len};

	fetch->fn(fetch->fetcher->arg, fetch->data, &result);
	free_fetch(fetch);
}

static void
on_head(void *arg, dff_httpc_req_t *req, int status)
{
	dff_fetch_t *fetch = arg;

	fetch->status = status;
	fetch->content_type = g_strdup(dff_httpc_header(req, "content-type"));
}

static void
on_data(void *arg, dff_httpc_req_t *req, const char *data, size_t len)
{
	dff_fetch_t *fetch = arg;

	if (fetch->body->len + len <= fetch->body_max) {
		g_string_append_len(fetch->body, data, (gssize)len);
		return;
	}
	dff_httpc_cancel(req);
	finish_fetch(fetch, DFF_HTTPC_BROKEN, true);
}

static void
on_end(void *arg, dff_httpc_req_t *req, dff_httpc_end_t end)
{
	(void)req;
	finish_fetch(arg, end, false);
}

dff_httpc_req_t *
dff_httpc_start_nonnull(dff_httpc_t *httpc, const dff_httpc_call_t *call,
    const dff_httpc_handlers_t *handlers, void *arg)
{
	dff_httpc_call_t unreachable = *call;
	dff_httpc_req_t *req;

	req = dff_httpc_start(httpc, call, handlers, arg);
	if (req != NULL)
		return req;
	unreachable.addr = UNREACHABLE_ADDR;
	return dff_httpc_start(httpc, &unreachable, handlers, arg);
}

dff_fetcher_t *
dff_fetcher_new(dff_httpc_t *httpc, void *arg)
{
	dff_fetcher_t *fetcher = g_new0(dff_fetcher_t, 1);

	fetcher->httpc = httpc;
	fetcher->arg = arg;
	g_queue_init(&fetcher->fetches);
	return fetcher;
}

void
dff_fetcher_drop(dff_fetcher_t *fetcher)
{
	GList *link;

	if (fetcher == NULL)
		return;
	while ((link = fetcher->fetches.head) != NULL)
		dff_fetch_cancel(link->data);
	g_free(fetcher);
}

dff_fetch_t *
dff_fetch_start(dff_fetcher_t *fetcher, const dff_httpc_call_t *call,
    size_t max, dff_fetch_done_fn fn, void *data)
{
	static const dff_httpc_handlers_t handlers = {on_head, on_data, on_end};
	dff_fetch_t *fetch = g_new0(dff_fetch_t, 1);

	fetch->fetcher = fetcher;
	fetch->link.data = fetch;
	fetch->body = g_string_new(NULL);
	fetch->body_max = max;
	fetch->fn = fn;
	fetch->data = data;
	g_queue_push_tail_link(&fetcher->fetches, &fetch->link);
	fetch->req =
	    dff_httpc_start_nonnull(fetcher->httpc, call, &handlers, fetch);
	return fetch;
}

void
dff_fetch_cancel(dff_fetch_t *fetch)
{
	dff_httpc_cancel(fetch->req);
	free_fetch(fetch);
}
