/*
 * Sends of a running relay, from its effects to the connections.
 */
#include <string.h>

#include "net/run_parts.h"

/* Largest answer of a prefill. */
#define PREFILL_MAX 4096
/* Longest times for the connection of a call that belongs to no request, and
 * for its answer. */
#define ASIDE_CONNECT_TIME (300 * DFF_MSEC)
#define ASIDE_ANSWER_TIME  (5 * DFF_SEC)
/* Largest list of kept parts: some thousand of about 50 bytes. */
#define LIST_MAX (1u << 20)

void
run_free_send(void *data)
{
	run_send_t *send = data;

	if (send->fields != NULL)
		(void)g_string_free(send->fields, TRUE);
	if (send->body != NULL)
		g_byte_array_unref(send->body);
	g_free(send);
}

/* ---- upstreams ---- */

static void
decode_head(dff_run_t *run, const dff_h1_head_t *head, const char *upstream,
    dff_relay_head_t *out)
{
	const char *unreadable;

	out->status = head->status;
	unreadable = run->wire.decode_head(head, out);
	if (unreadable != NULL)
		dff_log(run->ctx, DFF_LOG_WARNING, "upstream",
		    "field of an answer cannot be read id=%s field=%s "
		    "value=\"%.32s\"",
		    upstream, unreadable, dff_h1_field(head, unreadable));
}

static void
on_send_head(void *arg, const dff_h1_head_t *head)
{
	run_send_t *send = arg;
	dff_relay_event_t event = {.type = DFF_RELAY_HEAD};
	const char *length = dff_h1_field(head, "content-length");

	send->status = head->status;
	send->fields = g_string_new(NULL);
	send->length = length != NULL ? g_ascii_strtoll(length, NULL, 10) : -1;
	for (guint i = 0; i < head->fields->len; i++) {
		const dff_h1_field_t *field =
		    &g_array_index(head->fields, dff_h1_field_t, i);

		if (!dff_h1_is_hop(head, field->name) &&
		    !send->run->wire.is_private(field->name))
			g_string_append_printf(send->fields, "%s: %s\r\n",
			    field->name, field->value);
	}
	decode_head(send->run, head, send->upstream, &event.head);
	event.head.send = send->number;
	dff_run_feed(send->run, &event);
}

static void
on_send_data(void *arg, const char *data, size_t len)
{
	run_send_t *send = arg;
	dff_relay_event_t event = {.type = DFF_RELAY_DATA};

	if (send->step == DFF_STAGE_PREFILL) {
		g_byte_array_append(
		    send->body, (const guint8 *)data, (guint)len);
		return;
	}
	event.data.send = send->number;
	event.data.bytes = data;
	event.data.len = len;
	dff_run_feed(send->run, &event);
}

static void
on_send_end(void *arg, dff_h1c_end_t end)
{
	run_send_t *send = arg;
	dff_run_t *run = send->run;
	uint64_t number = send->number;
	dff_relay_event_t event = {.type = DFF_RELAY_END};

	send->req = NULL;
	switch (end) {
	case DFF_H1C_DONE:
		event.end.result = DFF_SEND_DONE;
		break;
	case DFF_H1C_UNSENT:
		event.end.result = DFF_SEND_UNSENT;
		break;
	case DFF_H1C_BROKEN:
		event.end.result = DFF_SEND_BROKEN;
		break;
	}
	if (send->step == DFF_STAGE_PREFILL && end == DFF_H1C_DONE &&
	    send->status == 200 &&
	    run->wire.decode_prefill((const char *)send->body->data,
		send->body->len, &event.end) < 0)
		dff_log(run->ctx, DFF_LOG_WARNING, "upstream",
		    "answer of a prefill cannot be read send=%" G_GUINT64_FORMAT
		    " bytes=%u",
		    number, send->body->len);
	event.end.send = number;
	dff_run_feed(run, &event);
	(void)g_hash_table_remove(run->sends, &number);
}

static const dff_h1c_handlers_t send_handlers = {
    .head = on_send_head,
    .data = on_send_data,
    .end = on_send_end,
};

void
run_start_send(dff_run_t *run, const dff_relay_send_t *fx)
{
	run_call_t *call = g_hash_table_lookup(run->calls, &fx->call);
	dff_h1c_call_t http = {.addr = fx->addr,
	    .peer = fx->upstream,
	    .echo_name = run->wire.echo_field,
	    .connect_time = fx->connect_time,
	    .anew = fx->fresh_connection};
	const dff_h1_head_t *head;
	run_send_t *send;

	if (call == NULL)
		return;
	head = dff_h1d_head(call->req);
	http.echo_value = dff_h1_field(head, run->wire.echo_field);
	send = g_new0(run_send_t, 1);
	send->number = fx->send;
	send->run = run;
	send->step = fx->stage;
	g_strlcpy(send->upstream, fx->upstream, sizeof(send->upstream));
	send->body = g_byte_array_new();
	g_hash_table_insert(run->sends, &send->number, send);
	if (http.echo_value == NULL)
		http.echo_name = NULL;
	if (fx->stage == DFF_STAGE_PREFILL)
		http.body_max = PREFILL_MAX;
	http.bytes = run->wire.encode_send(head, dff_h1d_body(call->req), fx);
	send->req = dff_h1c_start(run->client, &http, &send_handlers, send);
	if (send->req == NULL) {
		dff_relay_event_t event = {.type = DFF_RELAY_END};

		dff_log(run->ctx, DFF_LOG_WARNING, "upstream",
		    "address cannot be understood upstream=%s addr=%s",
		    fx->upstream, fx->addr);
		event.end.send = fx->send;
		event.end.result = DFF_SEND_UNSENT;
		dff_run_feed(run, &event);
		(void)g_hash_table_remove(run->sends, &fx->send);
	}
}

void
run_cancel_send(dff_run_t *run, uint64_t number)
{
	run_send_t *send;

	if (run_unqueue_send(run, number))
		return;
	send = g_hash_table_lookup(run->sends, &number);
	/* None if this send has just ended. */
	if (send == NULL || send->req == NULL)
		return;
	dff_h1c_cancel(send->req);
	(void)g_hash_table_remove(run->sends, &number);
}

/* ---- calls that belong to no request ---- */

/* A call to an upstream that is on its way. */
typedef struct aside {
	dff_run_t *run;
	char upstream[DFF_NAME_MAX];
	GByteArray *body;
	int status;
} aside_t;

static void
drop_aside(aside_t *aside)
{
	g_byte_array_unref(aside->body);
	g_free(aside);
}

static void
on_aside_head(void *arg, const dff_h1_head_t *head)
{
	aside_t *aside = arg;
	dff_relay_event_t event = {.type = DFF_RELAY_NOTICE};
	dff_relay_head_t seen = {.status = 0};

	aside->status = head->status;
	decode_head(aside->run, head, aside->upstream, &seen);
	event.notice.upstream = aside->upstream;
	event.notice.notice = seen.notice;
	if (seen.notice.leaving || seen.notice.pause > 0)
		dff_run_feed(aside->run, &event);
}

static void
on_aside_data(void *arg, const char *data, size_t len)
{
	aside_t *aside = arg;

	g_byte_array_append(aside->body, (const guint8 *)data, (guint)len);
}

static void
start_aside(dff_run_t *run, const char *upstream, const char *addr,
    GByteArray *bytes, const dff_h1c_handlers_t *handlers)
{
	dff_h1c_call_t http = {.addr = addr,
	    .peer = upstream,
	    .bytes = bytes,
	    .connect_time = ASIDE_CONNECT_TIME,
	    .body_max = LIST_MAX,
	    .answer_time = ASIDE_ANSWER_TIME};
	aside_t *aside = g_new0(aside_t, 1);

	aside->run = run;
	aside->body = g_byte_array_new();
	g_strlcpy(aside->upstream, upstream, sizeof(aside->upstream));
	if (dff_h1c_start(run->client, &http, handlers, aside) == NULL)
		drop_aside(aside);
}

static void
on_free_end(void *arg, dff_h1c_end_t end)
{
	aside_t *aside = arg;

	if (end != DFF_H1C_DONE)
		dff_log(aside->run->ctx, DFF_LOG_INFO, "upstream",
		    "memory of a prompt could not be freed; it lapses id=%s "
		    "end=%d",
		    aside->upstream, (int)end);
	drop_aside(aside);
}

void
run_free_memory(dff_run_t *run, const dff_relay_release_t *release)
{
	static const dff_h1c_handlers_t handlers = {
	    .head = on_aside_head, .end = on_free_end};

	start_aside(run, release->upstream, release->addr,
	    run->wire.encode_free(release), &handlers);
}

static void
feed_list(const aside_t *list)
{
	dff_run_t *run = list->run;
	dff_relay_event_t event = {.type = DFF_RELAY_CACHE_LIST};
	GArray *parts = g_array_new(FALSE, FALSE, sizeof(dff_part_t));

	if (run->wire.decode_kept(
		(const char *)list->body->data, list->body->len, parts) == 0) {
		event.cache_list.upstream = list->upstream;
		event.cache_list.parts =
		    (const dff_part_t *)(void *)parts->data;
		event.cache_list.count = parts->len;
		dff_run_feed(run, &event);
	} else
		dff_log(run->ctx, DFF_LOG_WARNING, "upstream",
		    "list of kept parts cannot be read id=%s bytes=%u",
		    list->upstream, list->body->len);
	g_array_unref(parts);
}

static void
on_list_end(void *arg, dff_h1c_end_t end)
{
	aside_t *list = arg;

	if (end == DFF_H1C_DONE && list->status == 200)
		feed_list(list);
	else
		dff_log(list->run->ctx, DFF_LOG_INFO, "upstream",
		    "kept parts are not told id=%s end=%d status=%d",
		    list->upstream, (int)end, list->status);
	drop_aside(list);
}

void
run_list_kept(dff_run_t *run, const dff_relay_cache_query_t *fx)
{
	static const dff_h1c_handlers_t handlers = {
	    .head = on_aside_head, .data = on_aside_data, .end = on_list_end};

	start_aside(
	    run, fx->upstream, fx->addr, run->wire.encode_list(fx), &handlers);
}

/* ---- probes ---- */

static void
feed_probed(dff_run_t *run, const char *upstream, dff_probe_result_t reach)
{
	dff_relay_event_t event = {.type = DFF_RELAY_PROBED};

	event.probed.upstream = upstream;
	event.probed.result = reach;
	dff_run_feed(run, &event);
}

static void
on_probed(void *arg, const char *upstream, dff_h1c_reach_t reach)
{
	dff_run_t *run = arg;

	switch (reach) {
	case DFF_H1C_REACHED:
		feed_probed(run, upstream, DFF_PROBE_ACCEPTED);
		break;
	case DFF_H1C_REFUSED:
		feed_probed(run, upstream, DFF_PROBE_REFUSED);
		break;
	case DFF_H1C_SILENT:
		feed_probed(run, upstream, DFF_PROBE_INCONCLUSIVE);
		break;
	}
}

void
run_probe(dff_run_t *run, const dff_relay_probe_t *fx)
{
	dff_h1c_call_t call = {.addr = fx->addr,
	    .peer = fx->upstream,
	    .connect_time = fx->connect_time};

	if (dff_h1c_probe(run->client, &call, on_probed, run) == 0)
		return;
	dff_log(run->ctx, DFF_LOG_WARNING, "upstream",
	    "connection cannot be tried upstream=%s addr=%s", fx->upstream,
	    fx->addr);
	feed_probed(run, fx->upstream, DFF_PROBE_INCONCLUSIVE);
}
