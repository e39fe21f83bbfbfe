#include "net/relay_host_internal.h"

#include <string.h>

/* Finds a call's request; NULL if the caller has disconnected. */
static dff_h1d_req_t *
find_req(const dff_relay_host_t *host, uint64_t number)
{
	const host_call_t *call = g_hash_table_lookup(host->calls, &number);

	return call != NULL ? call->req : NULL;
}

static void
forget_call(dff_relay_host_t *host, uint64_t number)
{
	(void)g_hash_table_remove(host->calls, &number);
}

/* Removes a call that is now answered to its end; returns its request. */
static dff_h1d_req_t *
remove_call(dff_relay_host_t *host, uint64_t number)
{
	dff_h1d_req_t *req = find_req(host, number);

	forget_call(host, number);
	return req;
}

void
host_answer_call(dff_relay_host_t *host, const dff_relay_answer_t *answer)
{
	dff_h1d_req_t *req = remove_call(host, answer->call);
	char fields[64] = "";

	if (req == NULL)
		return;
	if (answer->retry_after > 0)
		(void)g_snprintf(fields, sizeof(fields),
		    "Retry-After: %.3f\r\n",
		    (double)answer->retry_after / DFF_SEC);
	dff_h1d_answer(req, answer->status, fields, "", 0);
}

void
host_forward_head(dff_relay_host_t *host, const dff_relay_forward_t *forward)
{
	dff_h1d_req_t *req = find_req(host, forward->call);
	host_send_t *send = g_hash_table_lookup(host->sends, &forward->send);

	if (req != NULL && send != NULL)
		dff_h1d_begin(req, send->status, send->fields->str,
		    forward->open_length ? -1 : send->length);
}

void
host_forward_data(dff_relay_host_t *host, const dff_relay_forward_t *forward)
{
	dff_h1d_req_t *req = find_req(host, forward->call);
	host_send_t *send = g_hash_table_lookup(host->sends, &forward->send);

	if (send != NULL)
		host_hold(send, -(int64_t)MIN(send->held, forward->len));
	if (req != NULL)
		dff_h1d_write(req, forward->bytes, forward->len);
}

void
host_forward_end(dff_relay_host_t *host, uint64_t number)
{
	dff_h1d_req_t *req = remove_call(host, number);

	if (req != NULL)
		dff_h1d_end(req);
}

void
host_abort_call(dff_relay_host_t *host, uint64_t number)
{
	dff_h1d_req_t *req = remove_call(host, number);

	if (req != NULL)
		dff_h1d_abort(req);
}

static void
open_call(dff_relay_host_t *host, dff_h1d_req_t *req, bool from_peer)
{
	dff_relay_event_t event = {.type = DFF_RELAY_OPEN};
	char host_name[DFF_HOST_NAME_MAX];
	host_call_t *call;
	int status;

	status = host->wire.decode_request(
	    dff_h1d_head(req), dff_h1d_body(req), &event.open, host_name);
	if (status != 0) {
		dff_log(host->ctx, DFF_LOG_INFO, "call",
		    "request is invalid status=%d target=%.48s", status,
		    dff_h1d_head(req)->target);
		dff_h1d_answer(req, status, "", "", 0);
		return;
	}
	call = g_new0(host_call_t, 1);
	call->number = ++host->next_call;
	call->req = req;
	dff_h1d_set_data(req, call->number);
	g_hash_table_insert(host->calls, &call->number, call);
	event.open.call = call->number;
	event.open.from_peer = from_peer;
	dff_relay_host_feed(host, &event);
}

void
host_on_request(void *arg, dff_h1d_req_t *req)
{
	open_call(arg, req, false);
}

void
host_on_peer_request(void *arg, dff_h1d_req_t *req)
{
	open_call(arg, req, true);
}

void
host_on_caller_gone(void *arg, dff_h1d_req_t *req)
{
	dff_relay_host_t *host = arg;
	dff_relay_event_t event = {.type = DFF_RELAY_CALLER_GONE};

	event.caller_gone = dff_h1d_data(req);
	/* Timers may end the call in this same step: it must no longer be
	 * found. */
	forget_call(host, event.caller_gone);
	dff_relay_host_feed(host, &event);
}
