#include "net/peer_link.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include <glib.h>

#include "dragonflyfall/program.h"
#include "net/address.h"
#include "proto/dragonflyfall.pb-c.h"

#define PART "peer"

/* Most bytes of one write, unless a single frame is larger. */
#define WRITE_BYTES (64 * 1024)
/* Size of the length before a frame. */
#define LENGTH_BYTES 4
/* Longest time to connect. */
#define CONNECT_TIMEOUT_MSEC 3000
/* A peer sends nothing back; reading detects the end of the connection. */
#define READ_BYTES 256

typedef enum link_state {
	LINK_WAITING, /* until the next connection attempt */
	LINK_CONNECTING,
	LINK_UP,
	LINK_CLOSING,
} link_state_t;

/* One queued frame. */
typedef struct queued {
	GBytes *data;
	bool replaceable; /* a newer frame of its kind takes its place */
	int kind; /* of a replaceable frame, its body_case, else -1 */
} queued_t;

struct peer_link {
	peer_link_env_t env;
	char id[DFF_NAME_MAX];
	char addr[DFF_ADDR_MAX];
	link_state_t state;
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	uv_timer_t timer;
	GQueue queue; /* queued_t */
	size_t queue_bytes;
	GByteArray *writing; /* bytes passed to uv_write() */
	bool in_write;
	bool was_up;
	bool dropped;
	bool timer_closed;
	bool tcp_open;
	dff_time_t retry_delay;
	dff_time_t last_used;
	char read_bytes[READ_BYTES];
};

static void start_connect(peer_link_t *link);
static void close_tcp(peer_link_t *link);
static void write_more(peer_link_t *link);

/* ---- queued frames ---- */

static void
free_queued(void *data)
{
	queued_t *queued = data;

	g_bytes_unref(queued->data);
	g_free(queued);
}

static void
drop_first(peer_link_t *link)
{
	queued_t *queued = g_queue_pop_head(&link->queue);

	link->queue_bytes -= g_bytes_get_size(queued->data);
	free_queued(queued);
}

/* After a disconnection only replaceable frames are kept. */
static void
drop_stale(peer_link_t *link)
{
	GList *next;

	for (GList *item = link->queue.head; item != NULL; item = next) {
		queued_t *queued = item->data;

		next = item->next;
		if (queued->replaceable)
			continue;
		link->queue_bytes -= g_bytes_get_size(queued->data);
		link->env.counts->dropped++;
		g_queue_delete_link(&link->queue, item);
		free_queued(queued);
	}
}

static int
frame_kind(const uint8_t *data, size_t len)
{
	Dff__Frame *frame = dff__frame__unpack(NULL, len, data);
	int kind = -1;

	if (frame != NULL)
		kind = (int)frame->body_case;
	dff__frame__free_unpacked(frame, NULL);
	return kind;
}

static bool
replace_queued_frame(
    peer_link_t *link, const dff_fx_peer_send_t *send, int kind)
{
	for (GList *item = link->queue.head; item != NULL; item = item->next) {
		queued_t *queued = item->data;

		if (!queued->replaceable || queued->kind != kind)
			continue;
		link->queue_bytes -= g_bytes_get_size(queued->data);
		g_bytes_unref(queued->data);
		queued->data = g_bytes_new(send->data, send->len);
		link->queue_bytes += send->len;
		link->env.counts->replaced++;
		return true;
	}
	return false;
}

static void
append_frame(peer_link_t *link, const dff_fx_peer_send_t *send, int kind)
{
	queued_t *queued = g_new0(queued_t, 1);

	queued->data = g_bytes_new(send->data, send->len);
	queued->replaceable = send->replace_queued;
	queued->kind = kind;
	g_queue_push_tail(&link->queue, queued);
	link->queue_bytes += send->len;
}

static bool
may_queue(const peer_link_t *link, const dff_fx_peer_send_t *send)
{
	if (send->len > DFF_FRAME_MAX)
		return false;
	if (!send->replace_queued && link->state != LINK_UP)
		return false;
	return link->queue_bytes + send->len <= link->env.config->queue_max;
}

void
peer_link_send(peer_link_t *link, const dff_fx_peer_send_t *send)
{
	int kind = -1;

	link->last_used = dff_program_now();
	if (send->replace_queued)
		kind = frame_kind(send->data, send->len);
	if (send->replace_queued && replace_queued_frame(link, send, kind))
		return;
	if (!may_queue(link, send)) {
		link->env.counts->dropped++;
		return;
	}
	append_frame(link, send, kind);
	if (link->state == LINK_UP)
		write_more(link);
}

size_t
peer_link_unsent(const peer_link_t *link)
{
	if (link->state != LINK_UP)
		return 0;
	return link->queue_bytes + (link->in_write ? link->writing->len : 0);
}

dff_time_t
peer_link_last_used(const peer_link_t *link)
{
	return link->last_used;
}

/* ---- closing and reconnecting ---- */

static void
free_if_closed(peer_link_t *link)
{
	if (!link->dropped || !link->timer_closed || link->tcp_open)
		return;
	g_queue_clear_full(&link->queue, free_queued);
	g_byte_array_unref(link->writing);
	g_free(link);
}

static void
feed(peer_link_t *link, dff_event_type_t type)
{
	const dff_event_t event = {.type = type, .u.peer = {.id = link->id}};

	link->env.sink.feed(link->env.sink.arg, &event);
}

static void
on_timer(uv_timer_t *timer)
{
	peer_link_t *link = timer->data;

	if (link->state == LINK_CONNECTING)
		close_tcp(link);
	else if (link->state == LINK_WAITING)
		start_connect(link);
}

/* Schedules the next connection attempt; the delay doubles, with jitter. */
static void
schedule_retry(peer_link_t *link)
{
	dff_time_t half = link->retry_delay / 2;
	dff_time_t delay;

	link->state = LINK_WAITING;
	delay =
	    half + (dff_time_t)(dff_rand_unit(link->env.ctx) * (double)half);
	link->retry_delay =
	    MIN(link->retry_delay * 2, link->env.config->retry_max);
	(void)uv_timer_start(
	    &link->timer, on_timer, (uint64_t)(delay / DFF_MSEC), 0);
}

static void
on_tcp_closed(uv_handle_t *handle)
{
	peer_link_t *link = handle->data;

	link->tcp_open = false;
	if (link->dropped) {
		free_if_closed(link);
		return;
	}
	schedule_retry(link);
	if (!link->was_up)
		return;
	link->was_up = false;
	drop_stale(link);
	dff_log(link->env.ctx, DFF_LOG_NOTICE, PART, "link is down peer=%s",
	    link->id);
	feed(link, DFF_EV_PEER_DOWN);
}

static void
close_tcp(peer_link_t *link)
{
	if (!link->tcp_open || link->state == LINK_CLOSING)
		return;
	link->state = LINK_CLOSING;
	uv_close((uv_handle_t *)&link->tcp, on_tcp_closed);
}

static void
on_timer_closed(uv_handle_t *handle)
{
	peer_link_t *link = handle->data;

	link->timer_closed = true;
	free_if_closed(link);
}

void
peer_link_drop(peer_link_t *link)
{
	link->dropped = true;
	close_tcp(link);
	uv_close((uv_handle_t *)&link->timer, on_timer_closed);
}

/* ---- writing ---- */

static void
on_written(uv_write_t *write, int status)
{
	peer_link_t *link = write->data;

	link->in_write = false;
	if (status < 0) {
		close_tcp(link);
		return;
	}
	if (link->state == LINK_UP)
		write_more(link);
}

static void
pack_frame(peer_link_t *link)
{
	const queued_t *queued = g_queue_peek_head(&link->queue);
	uint32_t length;
	size_t len;
	const void *data = g_bytes_get_data(queued->data, &len);

	length = htonl((uint32_t)len);
	g_byte_array_append(
	    link->writing, (const uint8_t *)&length, LENGTH_BYTES);
	g_byte_array_append(link->writing, data, (guint)len);
	drop_first(link);
}

static void
write_more(peer_link_t *link)
{
	uv_buf_t buf;

	if (link->in_write || link->queue.length == 0)
		return;
	g_byte_array_set_size(link->writing, 0);
	while (link->queue.length > 0 && link->writing->len < WRITE_BYTES)
		pack_frame(link);
	buf = uv_buf_init((char *)link->writing->data, link->writing->len);
	link->write.data = link;
	link->in_write = true;
	if (uv_write(&link->write, (uv_stream_t *)&link->tcp, &buf, 1,
		on_written) == 0)
		return;
	link->in_write = false;
	close_tcp(link);
}

/* ---- connecting ---- */

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	peer_link_t *link = handle->data;

	(void)suggested;
	*buf = uv_buf_init(link->read_bytes, sizeof(link->read_bytes));
}

static void
on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	(void)buf;
	if (len < 0)
		close_tcp(stream->data);
}

static void
on_connect(uv_connect_t *connect, int status)
{
	peer_link_t *link = connect->data;

	if (status == UV_ECANCELED)
		return;
	if (status < 0) {
		close_tcp(link);
		return;
	}
	(void)uv_timer_stop(&link->timer);
	link->state = LINK_UP;
	link->was_up = true;
	link->retry_delay = link->env.config->retry_min;
	link->env.counts->connects++;
	(void)uv_read_start((uv_stream_t *)&link->tcp, on_alloc, on_read);
	dff_log(link->env.ctx, DFF_LOG_NOTICE, PART, "link is up peer=%s",
	    link->id);
	write_more(link);
	feed(link, DFF_EV_PEER_UP);
}

/* The link fails if the peer does not acknowledge bytes in time. */
static void
set_tcp_options(peer_link_t *link)
{
	unsigned timeout = (unsigned)(link->env.config->tcp_timeout / DFF_MSEC);
	uv_os_fd_t fd;

	(void)uv_tcp_nodelay(&link->tcp, 1);
	if (uv_fileno((uv_handle_t *)&link->tcp, &fd) == 0)
		(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
		    sizeof(timeout));
}

static void
start_connect(peer_link_t *link)
{
	struct sockaddr_storage addr;

	if (dff_address_parse(link->addr, &addr) < 0) {
		schedule_retry(link);
		return;
	}
	(void)uv_tcp_init_ex(link->env.loop, &link->tcp, addr.ss_family);
	link->tcp.data = link;
	link->connect.data = link;
	link->tcp_open = true;
	link->state = LINK_CONNECTING;
	set_tcp_options(link);
	(void)uv_timer_start(&link->timer, on_timer, CONNECT_TIMEOUT_MSEC, 0);
	if (uv_tcp_connect(&link->connect, &link->tcp,
		(const struct sockaddr *)&addr, on_connect) != 0)
		close_tcp(link);
}

peer_link_t *
peer_link_new(const peer_link_env_t *env, const char *id, const char *addr)
{
	peer_link_t *link = g_new0(peer_link_t, 1);

	link->env = *env;
	(void)g_strlcpy(link->id, id, sizeof(link->id));
	(void)g_strlcpy(link->addr, addr, sizeof(link->addr));
	g_queue_init(&link->queue);
	link->writing = g_byte_array_new();
	link->retry_delay = env->config->retry_min;
	link->last_used = dff_program_now();
	link->timer.data = link;
	(void)uv_timer_init(env->loop, &link->timer);
	start_connect(link);
	return link;
}
