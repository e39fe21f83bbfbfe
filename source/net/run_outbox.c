/*
 * What a turn of the loop does comes first, what it decides last: after a
 * process was held up, answers, hang-ups and news lie in its sockets and
 * timers are due. Timers and sends wait until the sockets were read.
 */
#include "net/run_parts.h"

#include "base/fault.h"
#include "dragonflyfall/program.h"

/* Turns that what is due waits for ends of requests to be told: one is
 * needed, and more would let a busy client put it off. */
#define TURNS_MAX 2

static void
on_turn(uv_idle_t *idle)
{
	(void)idle;
}

static void on_check(uv_check_t *check);

/* The loop looks at its sockets at once, and then calls on_check(). */
static void
end_turn_soon(dff_run_t *run)
{
	if (uv_is_active((uv_handle_t *)&run->turn))
		return;
	run->turns = 0;
	(void)uv_idle_start(&run->turn, on_turn);
	(void)uv_check_start(&run->check, on_check);
}

/* Sends that are decided on meanwhile wait for the next turn. */
static void
empty_outbox(dff_run_t *run)
{
	guint count = run->outbox->len;

	for (guint i = 0; i < count; i++) {
		outgoing_t *out = &g_array_index(run->outbox, outgoing_t, i);
		dff_relay_event_t event = {.type = DFF_RELAY_BEFORE_SEND};

		if (out->cancelled)
			continue;
		event.before_send = out->send.send;
		dff_run_feed(run, &event);
		/* The array may have moved. */
		out = &g_array_index(run->outbox, outgoing_t, i);
		if (out->cancelled)
			continue;
		out->cancelled = true;
		out->send.time_left -= dff_program_now() - out->at;
		run_start_send(run, &out->send);
	}
	g_array_remove_range(run->outbox, 0, count);
}

static void
on_check(uv_check_t *check)
{
	dff_run_t *run = check->data;
	const dff_relay_event_t wake = {.type = DFF_RELAY_WAKE};

	if (!dff_h1c_is_settled(run->client) && ++run->turns < TURNS_MAX)
		return;
	if (run->wake_due) {
		run->wake_due = false;
		dff_run_feed(run, &wake);
	}
	empty_outbox(run);
	run->turns = 0;
	if (run->wake_due || run->outbox->len > 0)
		return;
	(void)uv_idle_stop(&run->turn);
	(void)uv_check_stop(&run->check);
}

void
run_init_outbox(dff_run_t *run)
{
	run->outbox = g_array_new(FALSE, FALSE, sizeof(outgoing_t));
	run->turn.data = run;
	run->check.data = run;
	(void)uv_idle_init(run->loop, &run->turn);
	(void)uv_check_init(run->loop, &run->check);
	run->handles += 2;
}

void
run_wake(dff_run_t *run)
{
	const dff_relay_event_t wake = {.type = DFF_RELAY_WAKE};

	if (DFF_FAULT(NET_TIMERS_FIRST)) {
		dff_run_feed(run, &wake);
		return;
	}
	run->wake_due = true;
	end_turn_soon(run);
}

void
run_queue_send(dff_run_t *run, const dff_relay_send_t *fx)
{
	outgoing_t out = {.send = *fx, .at = dff_program_now()};

	g_array_append_val(run->outbox, out);
	end_turn_soon(run);
}

bool
run_unqueue_send(dff_run_t *run, uint64_t number)
{
	for (guint i = 0; i < run->outbox->len; i++) {
		outgoing_t *out = &g_array_index(run->outbox, outgoing_t, i);

		if (out->send.send != number || out->cancelled)
			continue;
		out->cancelled = true;
		return true;
	}
	return false;
}
