#include "netloop.h"

#include <arpa/inet.h>
#include <check.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>

#include "dragonflyfall/program.h"

#define TIME_LIMIT_MSEC 20000

static void
on_limit(uv_timer_t *timer)
{
	const netloop_t *net = timer->data;

	ck_abort_msg(
	    "the test exceeded its time limit; events: %s", net->events->str);
}

static void
on_tick(uv_timer_t *timer)
{
	(void)timer;
}

void
netloop_open(netloop_t *net)
{
	memset(net, 0, sizeof(*net));
	(void)signal(SIGPIPE, SIG_IGN);
	net->ctx = dff_ctx_new(1, DFF_LOG_ERR, NULL, NULL);
	net->events = g_string_new(NULL);
	uv_loop_init(&net->loop);
	uv_timer_init(&net->loop, &net->limit);
	net->limit.data = net;
	uv_timer_start(&net->limit, on_limit, TIME_LIMIT_MSEC, 0);
	uv_timer_init(&net->loop, &net->tick);
	net->httpc = dff_httpc_new(net->ctx, &net->loop);
}

void
netloop_close(netloop_t *net)
{
	dff_httpc_drop(net->httpc);
	uv_close((uv_handle_t *)&net->limit, NULL);
	uv_close((uv_handle_t *)&net->tick, NULL);
	uv_run(&net->loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&net->loop), 0);
	g_string_free(net->events, TRUE);
	dff_ctx_drop(net->ctx);
}

void
netloop_run(netloop_t *net, dff_time_t time)
{
	dff_time_t until = dff_program_now() + time;

	uv_timer_start(&net->tick, on_tick, 1, 1);
	while (dff_program_now() < until)
		uv_run(&net->loop, UV_RUN_ONCE);
	uv_timer_stop(&net->tick);
}

void
netloop_until(netloop_t *net, const int *counter, int value)
{
	while (*counter < value)
		uv_run(&net->loop, UV_RUN_ONCE);
}

/* ---- events ---- */

static void
write_log_event(GString *out, const dff_event_t *event)
{
	const dff_ev_log_record_t *record = &event->u.log_record;
	const dff_ev_log_head_t *head = &event->u.log_head;
	const dff_ev_log_appended_t *appended = &event->u.log_appended;

	if (event->type == DFF_EV_LOG_RECORD)
		g_string_append_printf(out,
		    "record %s %" PRIu64 " %.*s %" PRIu64,
		    dff_stream_name(record->stream), record->offset,
		    (int)record->len, record->data, record->time_ms);
	else if (event->type == DFF_EV_LOG_HEAD)
		g_string_append_printf(out, "head %s %" PRIu64 " %" PRIu64,
		    dff_stream_name(head->stream), head->first, head->next);
	else if (event->type == DFF_EV_LOG_DOWN)
		g_string_append_printf(
		    out, "down %s", dff_stream_name(event->u.log_down.stream));
	else
		g_string_append_printf(out, "appended %" PRIu64 " %d %" PRIu64,
		    appended->id, (int)appended->outcome, appended->offset);
}

static void
write_attempt_event(GString *out, const dff_event_t *event)
{
	const dff_ev_attempt_tokens_t *tokens = &event->u.attempt_tokens;
	const dff_ev_attempt_end_t *end = &event->u.attempt_end;
	const dff_ev_attempt_reply_t *reply = &event->u.attempt_reply;
	const dff_ev_attempt_failed_t *failed = &event->u.attempt_failed;

	if (event->type == DFF_EV_ATTEMPT_TOKENS)
		g_string_append_printf(out, "tokens %" PRIu64 " %u+%u %.*s",
		    tokens->attempt, tokens->first, tokens->count,
		    (int)tokens->len, tokens->text);
	else if (event->type == DFF_EV_ATTEMPT_END)
		g_string_append_printf(out, "end %" PRIu64 " %d %u %u %u",
		    end->attempt, (int)end->finish, end->prompt_tokens,
		    end->cached_tokens, end->output_tokens);
	else if (event->type == DFF_EV_ATTEMPT_REPLY)
		g_string_append_printf(out, "reply %" PRIu64 " %d %s %.*s",
		    reply->attempt, reply->status, reply->content_type,
		    (int)reply->len, reply->body);
	else
		g_string_append_printf(out,
		    "failed %" PRIu64 " %s sent=%d retry=%" PRId64,
		    failed->attempt, dff_attempt_failure_name(failed->reason),
		    (int)failed->sent, failed->retry_after / DFF_MSEC);
}

static void
write_engine_event(GString *out, const dff_event_t *event)
{
	const dff_ev_engine_report_t *report = &event->u.engine_report;
	const dff_ev_engine_cache_t *cache = &event->u.engine_cache;
	const dff_ev_engine_state_t *state = &event->u.engine_state;
	const dff_ev_order_answer_t *answer = &event->u.order_answer;

	if (event->type == DFF_EV_ENGINE_REPORT)
		g_string_append_printf(out, "report %s %s %s %u/%u %u/%u",
		    report->vm, dff_role_name(report->role), report->model,
		    report->running, report->waiting, report->free_pieces,
		    report->total_pieces);
	else if (event->type == DFF_EV_ENGINE_CACHE)
		g_string_append_printf(out, "cache %s +%zu -%zu gap=%d",
		    cache->vm, cache->stored_count, cache->evicted_count,
		    (int)cache->gap);
	else if (event->type == DFF_EV_ENGINE_STATE)
		g_string_append_printf(out, "state %s ok=%d %s %u %" PRIu64,
		    state->vm, (int)state->ok, state->model, state->running,
		    state->last_order);
	else
		g_string_append_printf(out, "order %" PRIu64 " %s %" PRIu64,
		    answer->order, dff_order_answer_name(answer->answer),
		    answer->fence);
}

static void
write_call_event(GString *out, const dff_event_t *event)
{
	const dff_ev_call_open_t *open = &event->u.call_open;

	if (event->type == DFF_EV_CALL_DISCONNECTED) {
		g_string_append_printf(
		    out, "gone %" PRIu64, event->u.call_disconnected.call);
		return;
	}
	g_string_append_printf(out,
	    "open %" PRIu64 " %s %s secret=%s key=%s made=%" PRIu64
	    " stream=%d prompt=%u max=%u prefix=%zu",
	    open->call, open->kind == DFF_CALL_MODEL ? "model" : "service",
	    open->entry, open->secret, open->idem_key, open->key_created_ms,
	    (int)open->stream, open->prompt_len, open->max_tokens,
	    open->prefix_count);
}

static void
write_peer_event(GString *out, const dff_event_t *event)
{
	static const char *const names[] = {"up", "down", "frame"};
	int name = (int)event->type - (int)DFF_EV_PEER_UP;

	g_string_append_printf(
	    out, "%s %s %zu", names[name], event->u.peer.id, event->u.peer.len);
}

static void
record_event(void *arg, const dff_event_t *event)
{
	netloop_t *net = arg;

	switch (event->type) {
	case DFF_EV_LOG_RECORD:
	case DFF_EV_LOG_HEAD:
	case DFF_EV_LOG_DOWN:
	case DFF_EV_LOG_APPENDED:
		write_log_event(net->events, event);
		break;
	case DFF_EV_PEER_UP:
	case DFF_EV_PEER_DOWN:
	case DFF_EV_PEER_FRAME:
		write_peer_event(net->events, event);
		break;
	case DFF_EV_CALL_OPEN:
	case DFF_EV_CALL_DISCONNECTED:
		write_call_event(net->events, event);
		break;
	case DFF_EV_ATTEMPT_TOKENS:
	case DFF_EV_ATTEMPT_END:
	case DFF_EV_ATTEMPT_REPLY:
	case DFF_EV_ATTEMPT_FAILED:
		write_attempt_event(net->events, event);
		break;
	case DFF_EV_ENGINE_REPORT:
	case DFF_EV_ENGINE_CACHE:
	case DFF_EV_ENGINE_STATE:
	case DFF_EV_ORDER_ANSWER:
		write_engine_event(net->events, event);
		break;
	case DFF_EV_VM_LIST:
		g_string_append_printf(
		    net->events, "vms %zu", event->u.vm_list.count);
		break;
	case DFF_EV_START:
	case DFF_EV_WAKE:
	case DFF_EV_STOP:
		break;
	}
	g_string_append_c(net->events, '\n');
	net->count++;
}

dff_sink_t
netloop_sink(netloop_t *net)
{
	const dff_sink_t sink = {.feed = record_event, .arg = net};

	return sink;
}

void
netloop_expect(netloop_t *net, int count, const char *lines)
{
	netloop_until(net, &net->count, count);
	ck_assert_str_eq(net->events->str, lines);
	g_string_truncate(net->events, 0);
	net->count = 0;
}

/* ---- raw sockets ---- */

int
netloop_connect(int port, const void *text, size_t len)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(
	    connect(fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
	ck_assert_int_eq(send(fd, text, len, 0), (int)len);
	return fd;
}

const char *
netloop_read(int fd)
{
	static char text[16 * 1024];
	ssize_t len = recv(fd, text, sizeof(text) - 1, MSG_DONTWAIT);

	if (len < 0)
		return NULL;
	text[len] = '\0';
	return text;
}

char *
netloop_read_all(netloop_t *net, int fd)
{
	GString *received = g_string_new(NULL);
	const char *more;

	while ((more = netloop_read(fd)) == NULL || *more != '\0') {
		if (more != NULL)
			g_string_append(received, more);
		else
			netloop_run(net, 5 * DFF_MSEC);
	}
	return g_string_free(received, FALSE);
}
