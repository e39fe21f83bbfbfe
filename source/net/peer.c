#include "net/peer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>

#include <glib.h>

#include "dragonflyfall/program.h"
#include "net/address.h"
#include "net/peer_link.h"
#include "proto/dragonflyfall.pb-c.h"

#define PART "peer"

#define BACKLOG 128
/* Most incoming links at the same time. */
#define INBOUND_MAX 1024
/* Longest time until the first frame identifies the peer. */
#define FIRST_FRAME_TIMEOUT (5 * DFF_SEC)
/* Size of the length before a frame. */
#define LENGTH_BYTES 4
#define READ_BYTES   (64 * 1024)
#define SWEEP_MSEC   1000
/* Idle time after which an incoming link is probed. */
#define KEEPALIVE_SEC 10

/* One incoming link. */
typedef struct inbound {
	dff_peers_t *peers;
	uv_tcp_t tcp;
	GList link;
	GByteArray *bytes; /* received bytes of incomplete frames */
	char id[DFF_NAME_MAX]; /* "" before the first frame */
	dff_time_t opened;
} inbound_t;

/* An outgoing link and its peer. */
typedef struct outbound {
	char id[DFF_NAME_MAX];
	char addr[DFF_ADDR_MAX];
	peer_link_t *link;
} outbound_t;

struct dff_peers {
	dff_ctx_t *ctx;
	uv_loop_t *loop;
	dff_peers_config_t config;
	dff_sink_t sink;
	dff_peers_counts_t counts;
	uv_tcp_t listener;
	uv_timer_t sweep;
	GQueue inbound; /* inbound_t */
	GHashTable *outbound; /* VM id to outbound_t */
	unsigned open_handles; /* listener, sweep timer and incoming links */
	bool dropped;
	char read_bytes[READ_BYTES];
};

void
dff_peers_defaults(dff_peers_config_t *config)
{
	config->listen = "";
	config->tcp_timeout = 5 * DFF_SEC;
	config->retry_min = 100 * DFF_MSEC;
	config->retry_max = 3 * DFF_SEC;
	config->queue_max = 2 * DFF_FRAME_MAX;
	config->idle_max = 60 * DFF_SEC;
}

static void
release_handle(dff_peers_t *peers)
{
	if (--peers->open_handles == 0 && peers->dropped)
		g_free(peers);
}

/* ---- incoming links ---- */

static void
on_inbound_closed(uv_handle_t *handle)
{
	inbound_t *inbound = handle->data;
	dff_peers_t *peers = inbound->peers;

	g_byte_array_unref(inbound->bytes);
	g_free(inbound);
	release_handle(peers);
}

static void
close_inbound(inbound_t *inbound)
{
	if (uv_is_closing((uv_handle_t *)&inbound->tcp))
		return;
	g_queue_unlink(&inbound->peers->inbound, &inbound->link);
	uv_close((uv_handle_t *)&inbound->tcp, on_inbound_closed);
}

static void
reject_inbound(inbound_t *inbound, const char *reason)
{
	dff_log(inbound->peers->ctx, DFF_LOG_WARNING, PART,
	    "incoming link closed why=%s peer=%s", reason,
	    inbound->id[0] != '\0' ? inbound->id : "unknown");
	inbound->peers->counts.bad++;
	close_inbound(inbound);
}

/* A peer that connects again has lost its previous connection. */
static void
close_previous(inbound_t *inbound)
{
	GList *next;

	for (GList *item = inbound->peers->inbound.head; item != NULL;
	     item = next) {
		inbound_t *other = item->data;

		next = item->next;
		if (other != inbound && strcmp(other->id, inbound->id) == 0)
			close_inbound(other);
	}
}

/* Checks that a frame is valid and has the sender of the first frame. */
static bool
check_frame(inbound_t *inbound, const uint8_t *data, size_t len)
{
	Dff__Frame *frame = dff__frame__unpack(NULL, len, data);
	bool valid = false;

	if (frame != NULL && frame->from[0] != '\0' &&
	    strlen(frame->from) < DFF_NAME_MAX) {
		if (inbound->id[0] == '\0') {
			(void)dff_name_copy(inbound->id, frame->from);
			close_previous(inbound);
		}
		valid = strcmp(inbound->id, frame->from) == 0;
	}
	dff__frame__free_unpacked(frame, NULL);
	return valid;
}

static bool
deliver_frame(inbound_t *inbound, const uint8_t *data, size_t len)
{
	const dff_event_t event = {.type = DFF_EV_PEER_FRAME,
	    .u.peer = {.id = inbound->id, .data = data, .len = len}};

	if (!check_frame(inbound, data, len))
		return false;
	inbound->peers->sink.feed(inbound->peers->sink.arg, &event);
	return true;
}

/* Delivers the complete frames received so far. */
static void
deliver_frames(inbound_t *inbound)
{
	const uint8_t *data = inbound->bytes->data;
	size_t left = inbound->bytes->len;
	uint32_t len;

	while (left >= LENGTH_BYTES) {
		memcpy(&len, data, LENGTH_BYTES);
		len = ntohl(len);
		if (len == 0 || len > DFF_FRAME_MAX) {
			reject_inbound(inbound, "length");
			return;
		}
		if (left - LENGTH_BYTES < len)
			break;
		if (!deliver_frame(inbound, data + LENGTH_BYTES, len)) {
			reject_inbound(inbound, "frame");
			return;
		}
		data += LENGTH_BYTES + len;
		left -= LENGTH_BYTES + len;
	}
	g_byte_array_remove_range(
	    inbound->bytes, 0, (guint)(inbound->bytes->len - left));
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	inbound_t *inbound = handle->data;

	(void)suggested;
	*buf = uv_buf_init(
	    inbound->peers->read_bytes, sizeof(inbound->peers->read_bytes));
}

static void
on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	inbound_t *inbound = stream->data;

	if (len < 0) {
		close_inbound(inbound);
		return;
	}
	g_byte_array_append(
	    inbound->bytes, (const uint8_t *)buf->base, (guint)len);
	deliver_frames(inbound);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	dff_peers_t *peers = listener->data;
	inbound_t *inbound;

	if (status < 0)
		return;
	inbound = g_new0(inbound_t, 1);
	inbound->peers = peers;
	inbound->bytes = g_byte_array_new();
	inbound->opened = dff_program_now();
	inbound->link.data = inbound;
	inbound->tcp.data = inbound;
	(void)uv_tcp_init(peers->loop, &inbound->tcp);
	g_queue_push_tail_link(&peers->inbound, &inbound->link);
	peers->open_handles++;
	if (uv_accept(listener, (uv_stream_t *)&inbound->tcp) != 0 ||
	    peers->inbound.length > INBOUND_MAX) {
		close_inbound(inbound);
		return;
	}
	peers->counts.accepted++;
	(void)uv_tcp_keepalive(&inbound->tcp, 1, KEEPALIVE_SEC);
	(void)uv_read_start((uv_stream_t *)&inbound->tcp, on_alloc, on_read);
}

/* ---- outgoing links ---- */

static void
drop_outbound(void *data)
{
	outbound_t *outbound = data;

	peer_link_drop(outbound->link);
	g_free(outbound);
}

static outbound_t *
add_outbound(dff_peers_t *peers, const char *id, const char *addr)
{
	const peer_link_env_t owner = {.ctx = peers->ctx,
	    .loop = peers->loop,
	    .config = &peers->config,
	    .sink = peers->sink,
	    .counts = &peers->counts};
	outbound_t *outbound = g_new0(outbound_t, 1);

	(void)g_strlcpy(outbound->id, id, sizeof(outbound->id));
	(void)g_strlcpy(outbound->addr, addr, sizeof(outbound->addr));
	outbound->link = peer_link_new(&owner, id, addr);
	g_hash_table_insert(peers->outbound, outbound->id, outbound);
	return outbound;
}

void
dff_peers_send(dff_peers_t *peers, const dff_fx_peer_send_t *send)
{
	outbound_t *outbound = g_hash_table_lookup(peers->outbound, send->peer);

	if (outbound != NULL && strcmp(outbound->addr, send->addr) != 0) {
		(void)g_hash_table_remove(peers->outbound, send->peer);
		outbound = NULL;
	}
	if (outbound == NULL)
		outbound = add_outbound(peers, send->peer, send->addr);
	peer_link_send(outbound->link, send);
}

size_t
dff_peers_unsent(const dff_peers_t *peers)
{
	GHashTableIter iter;
	size_t unsent = 0;
	void *value;

	g_hash_table_iter_init(&iter, peers->outbound);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		unsent += peer_link_unsent(((outbound_t *)value)->link);
	return unsent;
}

void
dff_peers_counts(const dff_peers_t *peers, dff_peers_counts_t *counts)
{
	*counts = peers->counts;
}

/* ---- all links ---- */

static gboolean
is_unused(void *key, void *value, void *data)
{
	const outbound_t *outbound = value;
	const dff_peers_t *peers = data;

	(void)key;
	return dff_program_now() - peer_link_last_used(outbound->link) >
	    peers->config.idle_max;
}

static void
on_sweep(uv_timer_t *timer)
{
	dff_peers_t *peers = timer->data;
	dff_time_t now = dff_program_now();
	GList *next;

	for (GList *item = peers->inbound.head; item != NULL; item = next) {
		inbound_t *inbound = item->data;

		next = item->next;
		if (inbound->id[0] == '\0' &&
		    now - inbound->opened > FIRST_FRAME_TIMEOUT)
			reject_inbound(inbound, "silence");
	}
	(void)g_hash_table_foreach_remove(peers->outbound, is_unused, peers);
}

static int
start_listening(dff_peers_t *peers)
{
	struct sockaddr_storage addr;
	int err;

	if (peers->config.listen[0] == '\0')
		return 0;
	if (dff_address_parse(peers->config.listen, &addr) < 0)
		return -EINVAL;
	err = uv_tcp_bind(&peers->listener, (const struct sockaddr *)&addr, 0);
	if (err < 0)
		return err;
	return uv_listen(
	    (uv_stream_t *)&peers->listener, BACKLOG, on_connection);
}

int
dff_peers_new(dff_ctx_t *ctx, uv_loop_t *loop, const dff_peers_config_t *config,
    const dff_sink_t *sink, dff_peers_t **peers)
{
	dff_peers_t *new = g_new0(dff_peers_t, 1);
	int err;

	new->ctx = ctx;
	new->loop = loop;
	new->config = *config;
	new->sink = *sink;
	new->listener.data = new;
	new->sweep.data = new;
	g_queue_init(&new->inbound);
	new->outbound =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, drop_outbound);
	(void)uv_tcp_init(loop, &new->listener);
	(void)uv_timer_init(loop, &new->sweep);
	(void)uv_timer_start(&new->sweep, on_sweep, SWEEP_MSEC, SWEEP_MSEC);
	new->open_handles = 2;
	err = start_listening(new);
	if (err < 0) {
		dff_peers_drop(new);
		new = NULL;
	}
	*peers = new;
	return err;
}

static void
on_handle_closed(uv_handle_t *handle)
{
	release_handle(handle->data);
}

void
dff_peers_drop(dff_peers_t *peers)
{
	GList *item;

	if (peers == NULL)
		return;
	peers->dropped = true;
	g_hash_table_unref(peers->outbound);
	while ((item = peers->inbound.head) != NULL)
		close_inbound(item->data);
	uv_close((uv_handle_t *)&peers->listener, on_handle_closed);
	uv_close((uv_handle_t *)&peers->sweep, on_handle_closed);
}
