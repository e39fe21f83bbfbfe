/*
 * Defers timers and sends until the loop has read its sockets. After a process
 * was paused, its timers are due while answers, disconnections and frames are
 * unread in its sockets: these must be handled first.
 */
#include "net/relay_host_internal.h"

#include "base/fault.h"
#include "dragonflyfall/program.h"

/* Loop iterations for which due work waits until the client has reported the
 * ends of requests: one is needed, and with more a busy client could delay
 * the work. */
#define DEFER_MAX 2

static void
on_idle(uv_idle_t *idle)
{
	(void)idle;
}

static void on_check(uv_check_t *check);

/* Makes the loop poll its sockets without blocking, then call on_check(). */
static void
schedule_iteration_end(dff_relay_host_t *host)
{
	if (uv_is_active((uv_handle_t *)&host->no_wait))
		return;
	host->deferred = 0;
	(void)uv_idle_start(&host->no_wait, on_idle);
	(void)uv_check_start(&host->check, on_check);
}

/* Sends that are queued meanwhile wait for the next iteration. */
static void
flush_outbox(dff_relay_host_t *host)
{
	guint count = host->outbox->len;

	for (guint i = 0; i < count; i++) {
		queued_send_t *queued =
		    &g_array_index(host->outbox, queued_send_t, i);
		dff_relay_event_t event = {.type = DFF_RELAY_BEFORE_SEND};

		if (queued->cancelled)
			continue;
		event.before_send = queued->send.send;
		dff_relay_host_feed(host, &event);
		/* The event may have reallocated the array. */
		queued = &g_array_index(host->outbox, queued_send_t, i);
		if (queued->cancelled)
			continue;
		queued->cancelled = true;
		queued->send.time_left -= dff_program_now() - queued->at;
		host_start_send(host, &queued->send);
	}
	g_array_remove_range(host->outbox, 0, count);
}

static void
on_check(uv_check_t *check)
{
	dff_relay_host_t *host = check->data;
	const dff_relay_event_t wake = {.type = DFF_RELAY_WAKE};

	if (!dff_h1c_ends_delivered(host->client) &&
	    ++host->deferred < DEFER_MAX)
		return;
	if (host->wake_pending) {
		host->wake_pending = false;
		dff_relay_host_feed(host, &wake);
	}
	flush_outbox(host);
	host->deferred = 0;
	if (host->wake_pending || host->outbox->len > 0)
		return;
	(void)uv_idle_stop(&host->no_wait);
	(void)uv_check_stop(&host->check);
}

void
host_init_outbox(dff_relay_host_t *host)
{
	host->outbox = g_array_new(FALSE, FALSE, sizeof(queued_send_t));
	host->no_wait.data = host;
	host->check.data = host;
	(void)uv_idle_init(host->loop, &host->no_wait);
	(void)uv_check_init(host->loop, &host->check);
	host->open_handles += 2;
}

void
host_schedule_wake(dff_relay_host_t *host)
{
	const dff_relay_event_t wake = {.type = DFF_RELAY_WAKE};

	if (DFF_FAULT(NET_TIMERS_FIRST)) {
		dff_relay_host_feed(host, &wake);
		return;
	}
	host->wake_pending = true;
	schedule_iteration_end(host);
}

void
host_queue_send(dff_relay_host_t *host, const dff_relay_send_t *fx)
{
	queued_send_t queued = {.send = *fx, .at = dff_program_now()};

	g_array_append_val(host->outbox, queued);
	schedule_iteration_end(host);
}

bool
host_unqueue_send(dff_relay_host_t *host, uint64_t number)
{
	for (guint i = 0; i < host->outbox->len; i++) {
		queued_send_t *queued =
		    &g_array_index(host->outbox, queued_send_t, i);

		if (queued->send.send != number || queued->cancelled)
			continue;
		queued->cancelled = true;
		return true;
	}
	return false;
}
