#include <string.h>

#include "net/address.h"
#include "soak/soak.h"

typedef struct pair pair_t;

/* One end of a proxied connection. */
typedef struct side {
	uv_tcp_t tcp; /* first, so that a handle is a side */
	pair_t *pair;
	struct side *other;
	bool to_caller; /* what is read here goes back to the caller */
	bool open;
} side_t;

struct pair {
	proxy_t *proxy;
	side_t sides[2];
	uv_connect_t connect;
	GList link;
	int closing;
	bool connected;
};

struct proxy {
	soak_t *soak;
	uv_tcp_t listener;
	struct sockaddr_storage to;
	link_fault_t fault;
	GQueue pairs;
};

typedef struct parcel {
	uv_write_t write; /* first, so that a uv request is a parcel */
	char *bytes;
} parcel_t;

static void
on_closed(uv_handle_t *handle)
{
	pair_t *pair = ((side_t *)handle)->pair;

	if (--pair->closing > 0)
		return;
	g_queue_unlink(&pair->proxy->pairs, &pair->link);
	g_free(pair);
}

static void
close_pair(pair_t *pair, bool reset)
{
	for (int i = 0; i < 2; i++) {
		side_t *side = &pair->sides[i];

		if (!side->open)
			continue;
		side->open = false;
		if (!reset || uv_tcp_close_reset(&side->tcp, on_closed) != 0)
			uv_close((uv_handle_t *)&side->tcp, on_closed);
	}
}

static void
on_written(uv_write_t *write, int status)
{
	parcel_t *parcel = (parcel_t *)write;

	(void)status;
	g_free(parcel->bytes);
	g_free(parcel);
}

static void
write_to(side_t *side, const char *bytes, size_t len)
{
	parcel_t *parcel = g_new0(parcel_t, 1);
	uv_buf_t buf;

	parcel->bytes = g_memdup2(bytes, len);
	buf = uv_buf_init(parcel->bytes, (unsigned)len);
	if (uv_write(&parcel->write, (uv_stream_t *)&side->tcp, &buf, 1,
		on_written) != 0)
		on_written(&parcel->write, -1);
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
	side_t *side = (side_t *)stream;
	proxy_t *proxy = side->pair->proxy;

	if (got < 0) {
		/* A silent link tells nobody that the other end is gone. */
		if (proxy->fault != LINK_SILENT)
			close_pair(side->pair, got == UV_ECONNRESET);
		else
			(void)uv_read_stop(stream);
		return;
	}
	if (proxy->fault == LINK_SILENT ||
	    (proxy->fault == LINK_ONE_WAY && side->to_caller))
		return;
	if (side->other->open)
		write_to(side->other, buf->base, (size_t)got);
}

/* A stalled link is not read; what was sent comes when that ends. */
static void
set_reading(pair_t *pair, bool reads)
{
	for (int i = 0; i < 2; i++) {
		uv_stream_t *stream = (uv_stream_t *)&pair->sides[i].tcp;

		if (!pair->sides[i].open || !pair->connected)
			continue;
		if (reads)
			(void)uv_read_start(stream, on_alloc, on_read);
		else
			(void)uv_read_stop(stream);
	}
}

static void
on_connected(uv_connect_t *connect, int status)
{
	pair_t *pair = connect->data;

	if (!pair->sides[0].open)
		return;
	if (status < 0) {
		close_pair(pair, true);
		return;
	}
	pair->connected = true;
	if (pair->proxy->fault != LINK_STALLED)
		set_reading(pair, true);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	proxy_t *proxy = listener->data;
	pair_t *pair;

	if (status < 0)
		return;
	pair = g_new0(pair_t, 1);
	pair->proxy = proxy;
	pair->link.data = pair;
	pair->connect.data = pair;
	pair->closing = 2;
	g_queue_push_tail_link(&proxy->pairs, &pair->link);
	for (int i = 0; i < 2; i++) {
		side_t *side = &pair->sides[i];

		(void)uv_tcp_init(&proxy->soak->loop, &side->tcp);
		side->pair = pair;
		side->other = &pair->sides[1 - i];
		side->to_caller = i == 1;
		side->open = true;
	}
	if (uv_accept(listener, (uv_stream_t *)&pair->sides[0].tcp) != 0 ||
	    proxy->fault == LINK_REFUSED ||
	    uv_tcp_connect(&pair->connect, &pair->sides[1].tcp,
		(const struct sockaddr *)&proxy->to, on_connected) != 0)
		close_pair(pair, true);
}

proxy_t *
proxy_new(soak_t *soak, const char *from, const char *to)
{
	proxy_t *proxy = g_new0(proxy_t, 1);
	struct sockaddr_storage sa;

	proxy->soak = soak;
	proxy->listener.data = proxy;
	g_queue_init(&proxy->pairs);
	(void)dff_address_parse(from, &sa);
	(void)dff_address_parse(to, &proxy->to);
	(void)uv_tcp_init(&soak->loop, &proxy->listener);
	if (uv_tcp_bind(&proxy->listener, (struct sockaddr *)&sa, 0) != 0 ||
	    uv_listen((uv_stream_t *)&proxy->listener, 128, on_connection) != 0)
		g_error("proxy cannot listen addr=%s", from);
	return proxy;
}

void
proxy_set(proxy_t *proxy, link_fault_t fault)
{
	link_fault_t before = proxy->fault;
	GList *next;

	proxy->fault = fault;
	for (GList *link = proxy->pairs.head; link != NULL; link = next) {
		next = link->next;
		if (fault == LINK_REFUSED)
			close_pair(link->data, true);
		else if (fault == LINK_STALLED || before == LINK_STALLED)
			set_reading(link->data, fault != LINK_STALLED);
	}
}
