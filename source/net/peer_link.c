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

/* Bytes handed to one write, unless a single frame is larger. */
#define WRITE_BYTES (64 * 1024)
/* Bytes of the length before a frame. */
#define LENGTH_BYTES 4
/* Longest time to connect. */
#define CONNECT_MSEC 3000
/* A peer sends nothing back; what it sends is read to see its end. */
#define READ_BYTES 256

typedef enum link_state {
	LINK_WAITING, /* for the next try to connect */
	LINK_CONNECTING,
	LINK_UP,
	LINK_CLOSING,
} link_state_t;

/* One frame that waits. */
typedef struct waiting {
	GBytes *data;
	bool newest;
	int class; /* of a newest frame */
} waiting_t;

struct peer_link {
	peer_link_owner_t owner;
	char id[DFF_NAME_MAX];
	char addr[DFF_ADDR_MAX];
	link_state_t state;
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	uv_timer_t timer;
	GQueue frames; /* waiting_t */
	size_t frames_bytes;
	GByteArray *writing; /* what uv_write() was given */
	bool in_write;
	bool was_up;
	bool dropped;
	bool timer_closed;
	bool tcp_open;
	dff_time_t retry;
	dff_time_t used;
	char read_bytes[READ_BYTES];
};

static void try_connect(peer_link_t *link);
static void close_tcp(peer_link_t *link);
static void write_more(peer_link_t *link);

/* ---- frames that wait ---- */

static void
free_waiting(void *data)
{
	waiting_t *waiting = data;

	g_bytes_unref(waiting->data);
	g_free(waiting);
}

static void
drop_front(peer_link_t *link)
{
	waiting_t *waiting = g_queue_pop_head(&link->frames);

	link->frames_bytes -= g_bytes_get_size(waiting->data);
	free_waiting(waiting);
}

/* After a break only the newest frames are still worth sending. */
static void
drop_stale(peer_link_t *link)
{
	GList *next;

	for (GList *item = link->frames.head; item != NULL; item = next) {
		waiting_t *waiting = item->data;

		next = item->next;
		if (waiting->newest)
			continue;
		link->frames_bytes -= g_bytes_get_size(waiting->data);
		link->owner.counts->dropped++;
		g_queue_delete_link(&link->frames, item);
		free_waiting(waiting);
	}
}

static int
frame_class(const uint8_t *data, size_t len)
{
	Dff__Frame *frame = dff__frame__unpack(NULL, len, data);
	int class = -1;

	if (frame != NULL)
		class = (int)frame->body_case;
	dff__frame__free_unpacked(frame, NULL);
	return class;
}

static bool
replace_waiting(peer_link_t *link, const dff_fx_peer_send_t *send, int class)
{
	for (GList *item = link->frames.head; item != NULL; item = item->next) {
		waiting_t *waiting = item->data;

		if (!waiting->newest || waiting->class != class)
			continue;
		link->frames_bytes -= g_bytes_get_size(waiting->data);
		g_bytes_unref(waiting->data);
		waiting->data = g_bytes_new(send->data, send->len);
		link->frames_bytes += send->len;
		link->owner.counts->replaced++;
		return true;
	}
	return false;
}

static void
append_waiting(peer_link_t *link, const dff_fx_peer_send_t *send, int class)
{
	waiting_t *waiting = g_new0(waiting_t, 1);

	waiting->data = g_bytes_new(send->data, send->len);
	waiting->newest = send->replace_queued;
	waiting->class = class;
	g_queue_push_tail(&link->frames, waiting);
	link->frames_bytes += send->len;
}

static bool
has_room(const peer_link_t *link, const dff_fx_peer_send_t *send)
{
	if (send->len > DFF_FRAME_MAX)
		return false;
	if (!send->replace_queued && link->state != LINK_UP)
		return false;
	return link->frames_bytes + send->len <= link->owner.config->queue_max;
}

void
peer_link_send(peer_link_t *link, const dff_fx_peer_send_t *send)
{
	int class = -1;

	link->used = dff_program_now();
	if (send->replace_queued)
		class = frame_class(send->data, send->len);
	if (send->replace_queued && replace_waiting(link, send, class))
		return;
	if (!has_room(link, send)) {
		link->owner.counts->dropped++;
		return;
	}
	append_waiting(link, send, class);
	if (link->state == LINK_UP)
		write_more(link);
}

size_t
peer_link_unsent(const peer_link_t *link)
{
	if (link->state != LINK_UP)
		return 0;
	return link->frames_bytes + (link->in_write ? link->writing->len : 0);
}

dff_time_t
peer_link_used(const peer_link_t *link)
{
	return link->used;
}

/* ---- closing and trying again ---- */

static void
free_if_closed(peer_link_t *link)
{
	if (!link->dropped || !link->timer_closed || link->tcp_open)
		return;
	g_queue_clear_full(&link->frames, free_waiting);
	g_byte_array_unref(link->writing);
	g_free(link);
}

static void
feed(peer_link_t *link, dff_event_type_t type)
{
	const dff_event_t event = {.type = type, .u.peer = {.id = link->id}};

	link->owner.sink.feed(link->owner.sink.arg, &event);
}

static void
on_timer(uv_timer_t *timer)
{
	peer_link_t *link = timer->data;

	if (link->state == LINK_CONNECTING)
		close_tcp(link);
	else if (link->state == LINK_WAITING)
		try_connect(link);
}

/* Wait before the next try: doubled each time, and jittered. */
static void
retry_later(peer_link_t *link)
{
	dff_time_t half = link->retry / 2;
	dff_time_t wait;

	link->state = LINK_WAITING;
	wait =
	    half + (dff_time_t)(dff_rand_unit(link->owner.ctx) * (double)half);
	link->retry = MIN(link->retry * 2, link->owner.config->retry_max);
	(void)uv_timer_start(
	    &link->timer, on_timer, (uint64_t)(wait / DFF_MSEC), 0);
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
	retry_later(link);
	if (!link->was_up)
		return;
	link->was_up = false;
	drop_stale(link);
	dff_log(link->owner.ctx, DFF_LOG_NOTICE, PART, "link is down peer=%s",
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
take_frame(peer_link_t *link)
{
	const waiting_t *waiting = g_queue_peek_head(&link->frames);
	uint32_t length;
	size_t len;
	const void *data = g_bytes_get_data(waiting->data, &len);

	length = htonl((uint32_t)len);
	g_byte_array_append(
	    link->writing, (const uint8_t *)&length, LENGTH_BYTES);
	g_byte_array_append(link->writing, data, (guint)len);
	drop_front(link);
}

static void
write_more(peer_link_t *link)
{
	uv_buf_t buf;

	if (link->in_write || link->frames.length == 0)
		return;
	g_byte_array_set_size(link->writing, 0);
	while (link->frames.length > 0 && link->writing->len < WRITE_BYTES)
		take_frame(link);
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
	link->retry = link->owner.config->retry_min;
	link->owner.counts->connects++;
	(void)uv_read_start((uv_stream_t *)&link->tcp, on_alloc, on_read);
	dff_log(link->owner.ctx, DFF_LOG_NOTICE, PART, "link is up peer=%s",
	    link->id);
	write_more(link);
	feed(link, DFF_EV_PEER_UP);
}

/* Bytes that the peer does not acknowledge in time break the link. */
static void
set_tcp_options(peer_link_t *link)
{
	unsigned timeout =
	    (unsigned)(link->owner.config->tcp_timeout / DFF_MSEC);
	uv_os_fd_t fd;

	(void)uv_tcp_nodelay(&link->tcp, 1);
	if (uv_fileno((uv_handle_t *)&link->tcp, &fd) == 0)
		(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
		    sizeof(timeout));
}

static void
try_connect(peer_link_t *link)
{
	struct sockaddr_storage addr;

	if (dff_address_parse(link->addr, &addr) < 0) {
		retry_later(link);
		return;
	}
	(void)uv_tcp_init_ex(link->owner.loop, &link->tcp, addr.ss_family);
	link->tcp.data = link;
	link->connect.data = link;
	link->tcp_open = true;
	link->state = LINK_CONNECTING;
	set_tcp_options(link);
	(void)uv_timer_start(&link->timer, on_timer, CONNECT_MSEC, 0);
	if (uv_tcp_connect(&link->connect, &link->tcp,
		(const struct sockaddr *)&addr, on_connect) != 0)
		close_tcp(link);
}

peer_link_t *
peer_link_new(const peer_link_owner_t *owner, const char *id, const char *addr)
{
	peer_link_t *link = g_new0(peer_link_t, 1);

	link->owner = *owner;
	(void)g_strlcpy(link->id, id, sizeof(link->id));
	(void)g_strlcpy(link->addr, addr, sizeof(link->addr));
	g_queue_init(&link->frames);
	link->writing = g_byte_array_new();
	link->retry = owner->config->retry_min;
	link->used = dff_program_now();
	link->timer.data = link;
	(void)uv_timer_init(owner->loop, &link->timer);
	try_connect(link);
	return link;
}
