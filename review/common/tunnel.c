#include "review/common/tunnel.h"

#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/address.h"

#define BACKLOG 128
/* Connections that fill the queue of a socket that listens with a backlog of 0;
 * the kernel drops the opening packets of further ones. */
#define FILLERS 3

typedef struct pair pair_t;

/* One end of a forwarded connection. */
typedef struct end {
	uv_tcp_t tcp; /* first, so that a handle is an end */
	pair_t *pair;
	struct end *other;
	bool open;
} end_t;

struct pair {
	tunnel_t *tunnel;
	end_t ends[2];
	uv_connect_t connect;
	GList link;
	int closing;
};

struct tunnel {
	uv_loop_t *loop;
	struct sockaddr_storage from;
	struct sockaddr_storage to;
	uv_tcp_t *listener; /* NULL while dark */
	int dark_socket; /* -1 if not dark */
	int fillers[FILLERS];
	GQueue pairs;
};

typedef struct write_req {
	uv_write_t super; /* first, so that a uv_write_t can be cast */
	char *bytes;
} write_req_t;

static void
on_end_closed(uv_handle_t *handle)
{
	pair_t *pair = ((end_t *)handle)->pair;

	if (--pair->closing > 0)
		return;
	g_queue_unlink(&pair->tunnel->pairs, &pair->link);
	g_free(pair);
}

static void
close_pair(pair_t *pair, bool reset)
{
	for (int i = 0; i < 2; i++) {
		end_t *end = &pair->ends[i];

		if (!end->open)
			continue;
		end->open = false;
		if (!reset || uv_tcp_close_reset(&end->tcp, on_end_closed) != 0)
			uv_close((uv_handle_t *)&end->tcp, on_end_closed);
	}
}

static void
on_written(uv_write_t *super, int status)
{
	write_req_t *write = (write_req_t *)super;

	(void)status;
	g_free(write->bytes);
	g_free(write);
}

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	static char bytes[65536];

	(void)handle;
	(void)size;
	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static void
on_read(uv_stream_t *stream, ssize_t got, const uv_buf_t *buf)
{
	end_t *end = (end_t *)stream;
	write_req_t *write;
	uv_buf_t out;

	if (got < 0) {
		close_pair(end->pair, got == UV_ECONNRESET);
		return;
	}
	if (got == 0 || !end->other->open)
		return;
	write = g_new0(write_req_t, 1);
	write->bytes = g_memdup2(buf->base, (gsize)got);
	out = uv_buf_init(write->bytes, (unsigned)got);
	if (uv_write(&write->super, (uv_stream_t *)&end->other->tcp, &out, 1,
		on_written) != 0)
		on_written(&write->super, -1);
}

static void
on_connected(uv_connect_t *connect, int status)
{
	pair_t *pair = connect->data;

	if (!pair->ends[0].open)
		return;
	if (status < 0) {
		close_pair(pair, true);
		return;
	}
	for (int i = 0; i < 2; i++) {
		(void)uv_tcp_nodelay(&pair->ends[i].tcp, 1);
		if (pair->tunnel->listener != NULL)
			(void)uv_read_start((uv_stream_t *)&pair->ends[i].tcp,
			    on_alloc, on_read);
	}
}

static void
on_connection(uv_stream_t *listener, int status)
{
	tunnel_t *tunnel = listener->data;
	pair_t *pair;

	if (status < 0)
		return;
	pair = g_new0(pair_t, 1);
	pair->tunnel = tunnel;
	pair->connect.data = pair;
	pair->link.data = pair;
	pair->closing = 2;
	g_queue_push_tail_link(&tunnel->pairs, &pair->link);
	for (int i = 0; i < 2; i++) {
		(void)uv_tcp_init(tunnel->loop, &pair->ends[i].tcp);
		pair->ends[i].pair = pair;
		pair->ends[i].other = &pair->ends[1 - i];
		pair->ends[i].open = true;
	}
	if (uv_accept(listener, (uv_stream_t *)&pair->ends[0].tcp) != 0 ||
	    uv_tcp_connect(&pair->connect, &pair->ends[1].tcp,
		(const struct sockaddr *)&tunnel->to, on_connected) != 0)
		close_pair(pair, true);
}

static bool
start_listening(tunnel_t *tunnel)
{
	uv_tcp_t *listener = g_new0(uv_tcp_t, 1);

	(void)uv_tcp_init(tunnel->loop, listener);
	listener->data = tunnel;
	if (uv_tcp_bind(listener, (const struct sockaddr *)&tunnel->from, 0) !=
		0 ||
	    uv_listen((uv_stream_t *)listener, BACKLOG, on_connection) != 0) {
		uv_close((uv_handle_t *)listener, (uv_close_cb)g_free);
		return false;
	}
	tunnel->listener = listener;
	return true;
}

tunnel_t *
tunnel_new(uv_loop_t *loop, const char *from, const char *to)
{
	tunnel_t *tunnel = g_new0(tunnel_t, 1);

	tunnel->loop = loop;
	tunnel->dark_socket = -1;
	g_queue_init(&tunnel->pairs);
	(void)dff_address_parse(from, &tunnel->from);
	(void)dff_address_parse(to, &tunnel->to);
	if (start_listening(tunnel))
		return tunnel;
	g_free(tunnel);
	return NULL;
}

static void
on_listener_closed(uv_handle_t *handle)
{
	g_free(handle);
}

/* Listens, with a queue that is full. */
static bool
block_address(tunnel_t *tunnel)
{
	const struct sockaddr *sa = (const struct sockaddr *)&tunnel->from;
	int one = 1;

	tunnel->dark_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	(void)setsockopt(
	    tunnel->dark_socket, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(tunnel->dark_socket, sa, sizeof(struct sockaddr_in)) != 0 ||
	    listen(tunnel->dark_socket, 0) != 0)
		return false;
	for (int i = 0; i < FILLERS; i++) {
		tunnel->fillers[i] = socket(
		    AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
		(void)connect(
		    tunnel->fillers[i], sa, sizeof(struct sockaddr_in));
	}
	return true;
}

bool
tunnel_go_dark(tunnel_t *tunnel)
{
	for (GList *link = tunnel->pairs.head; link != NULL;
	     link = link->next) {
		pair_t *pair = link->data;

		for (int i = 0; i < 2; i++) {
			if (pair->ends[i].open)
				(void)uv_read_stop(
				    (uv_stream_t *)&pair->ends[i].tcp);
		}
	}
	uv_close((uv_handle_t *)tunnel->listener, on_listener_closed);
	tunnel->listener = NULL;
	return block_address(tunnel);
}

static void
reset_pairs(tunnel_t *tunnel)
{
	for (GList *link = tunnel->pairs.head; link != NULL; link = link->next)
		close_pair(link->data, true);
}

void
tunnel_crash(tunnel_t *tunnel)
{
	reset_pairs(tunnel);
	uv_close((uv_handle_t *)tunnel->listener, on_listener_closed);
	tunnel->listener = NULL;
}

bool
tunnel_return(tunnel_t *tunnel)
{
	reset_pairs(tunnel);
	if (tunnel->dark_socket >= 0) {
		for (int i = 0; i < FILLERS; i++)
			(void)close(tunnel->fillers[i]);
		(void)close(tunnel->dark_socket);
	}
	tunnel->dark_socket = -1;
	return start_listening(tunnel);
}
