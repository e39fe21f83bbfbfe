/*
 * Probes that test whether a server accepts connections. The connection of
 * a successful probe is kept for a later request.
 */
#include "net/address.h"
#include "net/h1_conn.h"

/* A connection that is closed within this time does not count as accepted: a
 * proxy in front of a server that has ended may accept and close it. */
#define CONFIRM_MSEC 20
/* Connections of one probe, if each is closed at once, and the pause between
 * them: a server that crashes may close its port after its connections. */
#define TRIES_MAX  3
#define PAUSE_MSEC 20

static void
on_probe_closed(uv_handle_t *handle)
{
	probe_t *probe = handle->data;
	dff_h1c_t *h1c = probe->h1c;

	g_free(probe->addr);
	g_free(probe->peer);
	g_free(probe);
	h1c->handles--;
	h1_free_when_done(h1c);
}

void
h1_probe_drop(probe_t *probe)
{
	conn_t *conn = probe->conn;

	probe->conn = NULL;
	if (conn != NULL) {
		conn->probe = NULL;
		h1_conn_close(conn);
	}
	g_queue_unlink(&probe->h1c->probes, &probe->link);
	uv_close((uv_handle_t *)&probe->timer, on_probe_closed);
}

static void
end_probe(probe_t *probe, dff_h1c_probe_result_t reach)
{
	h1_probe_drop(probe);
	/* The probe is freed only when its timer has closed, in a later loop
	 * iteration. */
	probe->done(probe->arg, probe->peer, probe->token, reach);
}

static void
on_probe_timeout(uv_timer_t *timer)
{
	end_probe(timer->data, DFF_H1C_UNREACHABLE);
}

static void
on_probe_confirmed(uv_timer_t *timer)
{
	probe_t *probe = timer->data;
	conn_t *conn = probe->conn;

	probe->conn = NULL;
	conn->probe = NULL;
	h1_conn_set_idle(conn);
	end_probe(probe, DFF_H1C_REACHED);
}

/* Returns whether a connection is being opened. */
static bool
connect_probe(probe_t *probe)
{
	dff_h1c_call_t call = {.addr = probe->addr, .peer = probe->peer};
	uint64_t now = uv_now(probe->h1c->loop);

	if (probe->tries_left == 0 || now >= probe->until)
		return false;
	probe->tries_left--;
	probe->conn = h1_conn_open(
	    probe->h1c, &call, (const struct sockaddr *)&probe->sa);
	if (probe->conn == NULL)
		return false;
	probe->conn->probe = probe;
	(void)uv_timer_start(
	    &probe->timer, on_probe_timeout, probe->until - now, 0);
	return true;
}

static void
on_probe_retry(uv_timer_t *timer)
{
	if (!connect_probe(timer->data))
		end_probe(timer->data, DFF_H1C_UNREACHABLE);
}

void
h1_probe_read(conn_t *conn)
{
	probe_t *probe = conn->probe;

	probe->conn = NULL;
	conn->probe = NULL;
	h1_conn_close(conn);
	(void)uv_timer_start(&probe->timer, on_probe_retry, PAUSE_MSEC, 0);
}

void
h1_probe_connected(conn_t *conn, int status)
{
	probe_t *probe = conn->probe;

	if (status == 0 && h1_conn_start_reading(conn) == 0)
		(void)uv_timer_start(
		    &probe->timer, on_probe_confirmed, CONFIRM_MSEC, 0);
	else
		end_probe(probe,
		    status == UV_ECONNREFUSED ? DFF_H1C_REFUSED :
						DFF_H1C_UNREACHABLE);
}

void
dff_h1c_probe(dff_h1c_t *h1c, const dff_h1c_call_t *call, uint64_t token,
    dff_h1c_probe_done_fn done, void *arg)
{
	probe_t *probe = g_new0(probe_t, 1);

	probe->h1c = h1c;
	probe->addr = g_strdup(call->addr);
	probe->peer = g_strdup(call->peer);
	probe->link.data = probe;
	probe->timer.data = probe;
	uv_update_time(h1c->loop);
	probe->until =
	    uv_now(h1c->loop) + (uint64_t)(call->connect_time / DFF_MSEC);
	probe->tries_left = TRIES_MAX;
	probe->token = token;
	probe->done = done;
	probe->arg = arg;
	h1c->handles++;
	(void)uv_timer_init(h1c->loop, &probe->timer);
	g_queue_push_tail_link(&h1c->probes, &probe->link);
	if (dff_address_parse(call->addr, &probe->sa) < 0)
		probe->tries_left = 0;
	/* Its end is never reported from inside this call. */
	if (!connect_probe(probe))
		(void)uv_timer_start(&probe->timer, on_probe_retry, 0, 0);
}
