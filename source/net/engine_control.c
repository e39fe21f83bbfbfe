#include "net/engine.h"

#include <inttypes.h>
#include <string.h>

#include <glib.h>

#include "dragonflyfall/program.h"
#include "net/json_read.h"

/* Largest accepted answer. */
#define ANSWER_MAX 4096

struct dff_control {
	dff_engine_config_t config;
	dff_sink_t sink;
	dff_fetcher_t *fetcher;
};

/* A state query in progress. */
typedef struct query {
	char vm[DFF_NAME_MAX];
	dff_time_t sent_at;
} query_t;

/* ---- orders ---- */

static dff_order_answer_t
read_order_answer(const dff_fetch_result_t *fetched, const json_t *body)
{
	const char *error = json_get_text(body, "error");

	if (fetched->end == DFF_HTTPC_CONNECT_FAILED)
		return DFF_ORDER_NOT_SENT;
	if (fetched->end != DFF_HTTPC_DONE)
		return DFF_ORDER_UNKNOWN;
	if (fetched->status == 202 && json_get_flag(body, "accepted"))
		return DFF_ORDER_ACCEPTED;
	if (fetched->status == 409 && strcmp(error, "fenced") == 0)
		return DFF_ORDER_FENCED;
	if (fetched->status == 409 && strcmp(error, "busy") == 0)
		return DFF_ORDER_BUSY;
	if (fetched->status == 422 && strcmp(error, "refused") == 0)
		return DFF_ORDER_REFUSED;
	return DFF_ORDER_UNKNOWN;
}

static void
on_order(void *arg, void *data, const dff_fetch_result_t *fetched)
{
	dff_control_t *control = arg;
	json_t *body = json_loadb(fetched->body, fetched->len, 0, NULL);
	const dff_event_t event = {.type = DFF_EV_ORDER_ANSWER,
	    .u.order_answer = {.order = *(uint64_t *)data,
		.answer = read_order_answer(fetched, body),
		.fence = json_get_u64(body, "fence")}};

	json_decref(body);
	control->sink.feed(control->sink.arg, &event);
}

static char *
make_order(const dff_fx_order_send_t *order)
{
	json_t *object = json_object();
	char *text;

	json_object_set_new(
	    object, "order", json_integer((json_int_t)order->order));
	json_object_set_new(
	    object, "fence", json_integer((json_int_t)order->fence));
	json_object_set_new(
	    object, "kind", json_string(dff_order_kind_name(order->kind)));
	json_object_set_new(object, "target", json_string(order->target));
	text = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	return text;
}

void
dff_control_order(dff_control_t *control, const dff_fx_order_send_t *order)
{
	char *text = make_order(order);
	const dff_httpc_call_t call = {.addr = order->addr,
	    .method = "POST",
	    .path = "/v1/orders",
	    .content_type = "application/json",
	    .body = text,
	    .len = strlen(text),
	    .idle_timeout = control->config.order_idle_timeout};

	(void)dff_fetch_start(control->fetcher, &call, ANSWER_MAX, on_order,
	    g_memdup2(&order->order, sizeof(order->order)));
	free(text);
}

/* ---- state queries ---- */

static bool
read_state(const json_t *body, dff_ev_engine_state_t *state)
{
	int role = dff_role_parse(json_get_text(body, "role"));

	if (role < 0 ||
	    !json_is_integer(json_object_get(body, "incarnation")) ||
	    !json_is_integer(json_object_get(body, "running")) ||
	    !json_is_boolean(json_object_get(body, "changing")))
		return false;
	state->incarnation = json_get_u64(body, "incarnation");
	state->role = (dff_role_t)role;
	state->model = json_get_text(body, "model");
	state->version = json_get_u32(body, "version");
	state->adapter = json_get_text(body, "adapter");
	state->reconfiguring = json_get_flag(body, "changing");
	state->running = json_get_u32(body, "running");
	state->last_order = json_get_u64(body, "last_order");
	state->fence = json_get_u64(body, "fence");
	return true;
}

static void
on_state(void *arg, void *data, const dff_fetch_result_t *fetched)
{
	dff_control_t *control = arg;
	const query_t *query = data;
	dff_event_t event = {.type = DFF_EV_ENGINE_STATE,
	    .u.engine_state = {.vm = query->vm,
		.sent_at = query->sent_at,
		.model = "",
		.adapter = ""}};
	json_t *body = NULL;

	if (fetched->end == DFF_HTTPC_DONE && fetched->status == 200)
		body = json_loadb(fetched->body, fetched->len, 0, NULL);
	event.u.engine_state.ok = read_state(body, &event.u.engine_state);
	control->sink.feed(control->sink.arg, &event);
	json_decref(body);
}

void
dff_control_query(dff_control_t *control, const dff_fx_engine_query_t *fx)
{
	const dff_httpc_call_t call = {.addr = fx->addr,
	    .method = "GET",
	    .path = "/v1/state",
	    .idle_timeout = control->config.order_idle_timeout};
	query_t *query = g_new0(query_t, 1);

	(void)g_strlcpy(query->vm, fx->vm, sizeof(query->vm));
	query->sent_at = dff_program_now();
	(void)dff_fetch_start(
	    control->fetcher, &call, ANSWER_MAX, on_state, query);
}

dff_control_t *
dff_control_new(dff_httpc_t *httpc, const dff_engine_config_t *config,
    const dff_sink_t *sink)
{
	dff_control_t *control = g_new0(dff_control_t, 1);

	control->config = *config;
	control->sink = *sink;
	control->fetcher = dff_fetcher_new(httpc, control);
	return control;
}

void
dff_control_drop(dff_control_t *control)
{
	if (control == NULL)
		return;
	dff_fetcher_drop(control->fetcher);
	g_free(control);
}
