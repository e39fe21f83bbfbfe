/*
 * Requests to upstreams: executes the relay's effects on connections.
 */
#include <string.h>
#include <strings.h>

#include "net/relay_host_internal.h"

/* Content type of a stream of events. */
#define EVENTS_TYPE "text/event-stream"
/* Largest answer of a prefill. */
#define PREFILL_MAX 4096
/* Longest times to connect and to answer for requests that belong to no
 * caller's request. */
#define BACKGROUND_CONNECT_TIME (300 * DFF_MSEC)
#define BACKGROUND_ANSWER_TIME	(5 * DFF_SEC)
/* Longest times to connect and to answer when an upstream is asked for its
 * start, and its largest answer. */
#define IDENTIFY_TIME (250 * DFF_MSEC)
#define IDENTITY_MAX  (64u << 10)
/* Largest list of cached parts: some thousand of about 50 bytes. */
#define CACHE_LIST_MAX (1u << 20)

void
host_hold(host_send_t *send, int64_t bytes)
{
	send->held += (size_t)bytes;
	dff_account_add(send->host->account, DFF_ACCOUNT_ANSWERS, bytes);
}

void
host_free_send(void *data)
{
	host_send_t *send = data;

	host_hold(send, -(int64_t)send->held);
	if (send->fields != NULL)
		(void)g_string_free(send->fields, TRUE);
	if (send->body != NULL)
		g_byte_array_unref(send->body);
	g_free(send);
}

/* ---- upstreams ---- */

static bool
has_events(const dff_h1_head_t *head)
{
	const char *type = dff_h1_field(head, "content-type");

	return type != NULL &&
	    strncasecmp(type, EVENTS_TYPE, strlen(EVENTS_TYPE)) == 0;
}

static void
decode_head(dff_relay_host_t *host, const dff_h1_head_t *head,
    const char *upstream, dff_relay_head_t *out)
{
	const char *invalid;

	out->status = head->status;
	out->events = has_events(head);
	invalid = host->wire.decode_head(head, out);
	if (invalid != NULL)
		dff_log(host->ctx, DFF_LOG_WARNING, "upstream",
		    "field of an answer cannot be read id=%s field=%s "
		    "value=\"%.32s\"",
		    upstream, invalid, dff_h1_field(head, invalid));
}

static void
on_send_head(void *arg, const dff_h1_head_t *head)
{
	host_send_t *send = arg;
	dff_relay_event_t event = {.type = DFF_RELAY_HEAD};
	const char *length = dff_h1_field(head, "content-length");

	send->status = head->status;
	send->fields = g_string_new(NULL);
	send->length = length != NULL ? g_ascii_strtoll(length, NULL, 10) : -1;
	for (guint i = 0; i < head->fields->len; i++) {
		const dff_h1_field_t *field =
		    &g_array_index(head->fields, dff_h1_field_t, i);

		if (!dff_h1_is_hop_by_hop(head, field->name) &&
		    !send->host->wire.is_private(field->name))
			g_string_append_printf(send->fields, "%s: %s\r\n",
			    field->name, field->value);
	}
	decode_head(send->host, head, send->upstream, &event.head);
	event.head.send = send->number;
	dff_relay_host_feed(send->host, &event);
}

static void
on_send_data(void *arg, const char *data, size_t len)
{
	host_send_t *send = arg;
	const dff_account_t *account = send->host->account;
	dff_relay_event_t event = {.type = DFF_RELAY_DATA};

	if (send->stage == DFF_STAGE_PREFILL) {
		g_byte_array_append(
		    send->body, (const guint8 *)data, (guint)len);
		return;
	}
	event.data.send = send->number;
	event.data.bytes = data;
	event.data.len = len;
	event.data.no_room =
	    !dff_account_has_room(account, DFF_ACCOUNT_ANSWERS, len);
	host_hold(send, (int64_t)len);
	dff_relay_host_feed(send->host, &event);
}

static void
on_send_end(void *arg, dff_h1c_end_t end)
{
	host_send_t *send = arg;
	dff_relay_host_t *host = send->host;
	uint64_t number = send->number;
	dff_relay_event_t event = {.type = DFF_RELAY_END};

	send->req = NULL;
	switch (end) {
	case DFF_H1C_DONE:
		event.end.result = DFF_SEND_DONE;
		break;
	case DFF_H1C_CLOSED:
		event.end.result = DFF_SEND_CLOSED;
		break;
	case DFF_H1C_UNSENT:
		event.end.result = DFF_SEND_UNSENT;
		break;
	case DFF_H1C_BROKEN:
		event.end.result = DFF_SEND_BROKEN;
		break;
	}
	if (send->stage == DFF_STAGE_PREFILL && dff_h1c_may_be_whole(end) &&
	    send->status == 200 &&
	    host->wire.decode_prefill((const char *)send->body->data,
		send->body->len, &event.end) < 0)
		dff_log(host->ctx, DFF_LOG_WARNING, "upstream",
		    "answer of a prefill cannot be read send=%" G_GUINT64_FORMAT
		    " bytes=%u",
		    number, send->body->len);
	event.end.send = number;
	dff_relay_host_feed(host, &event);
	send = g_hash_table_lookup(host->sends, &number);
	if (send != NULL && !send->probed_after_end)
		(void)g_hash_table_remove(host->sends, &number);
}

static const dff_h1c_handlers_t send_handlers = {
    .head = on_send_head,
    .data = on_send_data,
    .end = on_send_end,
};

void
host_start_send(dff_relay_host_t *host, const dff_relay_send_t *fx)
{
	host_call_t *call = g_hash_table_lookup(host->calls, &fx->call);
	dff_h1c_call_t http = {.addr = fx->addr,
	    .peer = fx->upstream,
	    .echo_name = host->wire.echo_field,
	    .connect_time = fx->connect_time,
	    .new_connection = fx->fresh_connection};
	const dff_h1_head_t *head;
	host_send_t *send;

	if (call == NULL)
		return;
	head = dff_h1d_head(call->req);
	http.echo_value = dff_h1_field(head, host->wire.echo_field);
	send = g_new0(host_send_t, 1);
	send->number = fx->send;
	send->host = host;
	send->stage = fx->stage;
	g_strlcpy(send->upstream, fx->upstream, sizeof(send->upstream));
	send->body = g_byte_array_new();
	g_hash_table_insert(host->sends, &send->number, send);
	/* A peer's own answers do not repeat the field. */
	if (http.echo_value == NULL || fx->to_peer)
		http.echo_name = NULL;
	if (fx->stage == DFF_STAGE_PREFILL)
		http.body_max = PREFILL_MAX;
	http.bytes =
	    (fx->to_peer ? host->wire.encode_forward : host->wire.encode_send)(
		head, dff_h1d_body(call->req), fx);
	send->req = dff_h1c_start(host->client, &http, &send_handlers, send);
	if (send->req == NULL) {
		dff_relay_event_t event = {.type = DFF_RELAY_END};

		dff_log(host->ctx, DFF_LOG_WARNING, "upstream",
		    "address of an upstream is invalid upstream=%s addr=%s",
		    fx->upstream, fx->addr);
		event.end.send = fx->send;
		event.end.result = DFF_SEND_UNSENT;
		dff_relay_host_feed(host, &event);
		(void)g_hash_table_remove(host->sends, &fx->send);
	}
}

void
host_cancel_send(dff_relay_host_t *host, uint64_t number)
{
	host_send_t *send;

	if (host_unqueue_send(host, number))
		return;
	send = g_hash_table_lookup(host->sends, &number);
	/* The send may just have ended. */
	if (send == NULL)
		return;
	if (send->req != NULL)
		dff_h1c_cancel(send->req);
	(void)g_hash_table_remove(host->sends, &number);
}

/* ---- requests that belong to no caller's request ---- */

/* Such a request in progress. */
typedef struct background {
	dff_relay_host_t *host;
	char upstream[DFF_NAME_MAX];
	uint64_t send; /* for which it was made; 0 for none */
	GByteArray *body;
	int status;
} background_t;

static void
free_background(background_t *background)
{
	g_byte_array_unref(background->body);
	g_free(background);
}

static void
on_background_head(void *arg, const dff_h1_head_t *head)
{
	background_t *background = arg;
	dff_relay_event_t event = {.type = DFF_RELAY_NOTICE};
	dff_relay_head_t decoded = {.status = 0};

	background->status = head->status;
	decode_head(background->host, head, background->upstream, &decoded);
	event.notice.upstream = background->upstream;
	event.notice.notice = decoded.notice;
	if (decoded.notice.leaving || decoded.notice.pause > 0 ||
	    decoded.notice.rate == DFF_RATE_LIMITED)
		dff_relay_host_feed(background->host, &event);
}

static void
on_background_data(void *arg, const char *data, size_t len)
{
	background_t *background = arg;

	g_byte_array_append(background->body, (const guint8 *)data, (guint)len);
}

static background_t *
new_background(dff_relay_host_t *host, const char *upstream)
{
	background_t *background = g_new0(background_t, 1);

	background->host = host;
	background->body = g_byte_array_new();
	g_strlcpy(background->upstream, upstream, sizeof(background->upstream));
	return background;
}

static void
start_background(dff_relay_host_t *host, const char *upstream, const char *addr,
    GByteArray *bytes, const dff_h1c_handlers_t *handlers)
{
	dff_h1c_call_t http = {.addr = addr,
	    .peer = upstream,
	    .bytes = bytes,
	    .connect_time = BACKGROUND_CONNECT_TIME,
	    .body_max = CACHE_LIST_MAX,
	    .answer_time = BACKGROUND_ANSWER_TIME};
	background_t *background = new_background(host, upstream);

	if (dff_h1c_start(host->client, &http, handlers, background) == NULL)
		free_background(background);
}

static void
on_release_end(void *arg, dff_h1c_end_t end)
{
	background_t *background = arg;

	if (!dff_h1c_may_be_whole(end))
		dff_log(background->host->ctx, DFF_LOG_INFO, "upstream",
		    "memory of a prompt could not be freed; it expires id=%s "
		    "end=%d",
		    background->upstream, (int)end);
	free_background(background);
}

void
host_release_memory(dff_relay_host_t *host, const dff_relay_release_t *release)
{
	static const dff_h1c_handlers_t handlers = {
	    .head = on_background_head, .end = on_release_end};

	start_background(host, release->upstream, release->addr,
	    host->wire.encode_release(release), &handlers);
}

static void
feed_cache_list(const background_t *background)
{
	dff_relay_host_t *host = background->host;
	dff_relay_event_t event = {.type = DFF_RELAY_CACHE_LIST};
	GArray *parts = g_array_new(FALSE, FALSE, sizeof(dff_part_t));

	if (host->wire.decode_cache_list((const char *)background->body->data,
		background->body->len, parts) == 0) {
		event.cache_list.upstream = background->upstream;
		event.cache_list.parts =
		    (const dff_part_t *)(void *)parts->data;
		event.cache_list.count = parts->len;
		dff_relay_host_feed(host, &event);
	} else
		dff_log(host->ctx, DFF_LOG_WARNING, "upstream",
		    "list of cached parts cannot be read id=%s bytes=%u",
		    background->upstream, background->body->len);
	g_array_unref(parts);
}

static void
on_cache_list_end(void *arg, dff_h1c_end_t end)
{
	background_t *background = arg;

	if (dff_h1c_may_be_whole(end) && background->status == 200)
		feed_cache_list(background);
	else
		dff_log(background->host->ctx, DFF_LOG_INFO, "upstream",
		    "list of cached parts not received id=%s end=%d status=%d",
		    background->upstream, (int)end, background->status);
	free_background(background);
}

void
host_query_cache(dff_relay_host_t *host, const dff_relay_cache_query_t *fx)
{
	static const dff_h1c_handlers_t handlers = {.head = on_background_head,
	    .data = on_background_data,
	    .end = on_cache_list_end};

	start_background(host, fx->upstream, fx->addr,
	    host->wire.encode_cache_query(fx), &handlers);
}

/* ---- statements of a process's start ---- */

static void
on_identity_end(void *arg, dff_h1c_end_t end)
{
	background_t *background = arg;
	dff_relay_host_t *host = background->host;
	dff_relay_event_t event = {.type = DFF_RELAY_IDENTIFIED};

	event.identified.send = background->send;
	event.identified.answered = dff_h1c_may_be_whole(end);
	if (event.identified.answered)
		event.identified.said = host->wire.decode_identity(
		    background->status, (const char *)background->body->data,
		    background->body->len, &event.identified.started_ms);
	dff_log(host->ctx, DFF_LOG_INFO, "upstream",
	    "upstream was asked for its start id=%s status=%d said=%d "
	    "started_ms=%" G_GUINT64_FORMAT,
	    background->upstream, background->status, event.identified.said,
	    event.identified.started_ms);
	free_background(background);
	dff_relay_host_feed(host, &event);
}

void
host_identify(dff_relay_host_t *host, const dff_relay_identify_t *fx)
{
	static const dff_h1c_handlers_t handlers = {.head = on_background_head,
	    .data = on_background_data,
	    .end = on_identity_end};
	dff_h1c_call_t http = {.addr = fx->addr,
	    .peer = fx->upstream,
	    .bytes = host->wire.encode_identify(fx),
	    .connect_time = IDENTIFY_TIME,
	    .body_max = IDENTITY_MAX,
	    .answer_time = IDENTIFY_TIME};
	background_t *background = new_background(host, fx->upstream);

	dff_h1c_req_t *req;

	background->send = fx->send;
	req = dff_h1c_start(host->client, &http, &handlers, background);
	/* The send that it is about was made to the same address. */
	g_assert(req != NULL);
}

/* ---- probes ---- */

static void
feed_probed(dff_relay_host_t *host, const char *upstream, uint64_t send,
    dff_probe_result_t result)
{
	dff_relay_event_t event = {.type = DFF_RELAY_PROBED};

	event.probed.upstream = upstream;
	event.probed.send = send;
	event.probed.result = result;
	dff_relay_host_feed(host, &event);
	(void)g_hash_table_remove(host->sends, &send);
}

static void
on_probed(void *arg, const char *upstream, uint64_t send,
    dff_h1c_probe_result_t result)
{
	dff_relay_host_t *host = arg;

	switch (result) {
	case DFF_H1C_REACHED:
		feed_probed(host, upstream, send, DFF_PROBE_ACCEPTED);
		break;
	case DFF_H1C_REFUSED:
		feed_probed(host, upstream, send, DFF_PROBE_REFUSED);
		break;
	case DFF_H1C_UNREACHABLE:
		feed_probed(host, upstream, send, DFF_PROBE_INCONCLUSIVE);
		break;
	}
}

void
host_probe(dff_relay_host_t *host, const dff_relay_probe_t *fx)
{
	dff_h1c_call_t call = {.addr = fx->addr,
	    .peer = fx->upstream,
	    .connect_time = fx->connect_time};
	host_send_t *send = g_hash_table_lookup(host->sends, &fx->send);

	if (send != NULL)
		send->probed_after_end = true;
	dff_h1c_probe(host->client, &call, fx->send, on_probed, host);
}
