/*
 * Frames between relays. Each tells its own sends under way at upstreams,
 * the parts that it had read lately and the requests that crash upstreams,
 * and nothing of what it heard from others: old word is never passed on. A
 * lost frame is made good by the next one.
 */
#include <string.h>

#include "proto/dragonflyfall.pb-c.h"
#include "relay/parts.h"

/* A peer that was silent for so many beats counts as gone. */
#define SILENT_BEATS 8
/* Silent peers are told more rarely, until they are forgotten. */
#define SILENT_TELL (2 * DFF_SEC)
#define PEER_LIFE   (60 * DFF_SEC)
/* A part is told for so long: some beats, as frames get lost. */
#define PART_TELL (300 * DFF_MSEC)
/* Rows of one frame; a frame stays below one packet. */
#define LOADS_MAX   40
#define PARTS_MAX   30
#define CRASHES_MAX 10
/* A crash is told for so long after it was noticed. */
#define CRASH_TELL (2 * DFF_SEC)

static void
free_peer(peer_t *peer)
{
	g_free(peer->addr);
	g_free(peer->node);
	g_array_unref(peer->loads);
	g_free(peer);
}

static peer_t *
find_peer(const dff_relay_t *relay, const char *addr)
{
	for (guint i = 0; i < relay->peers->len; i++) {
		peer_t *peer = relay->peers->pdata[i];

		if (strcmp(peer->addr, addr) == 0)
			return peer;
	}
	return NULL;
}

void
beat_add_peer(dff_relay_t *relay, const char *addr, dff_time_t now)
{
	peer_t *peer = find_peer(relay, addr);

	if (strcmp(addr, relay->config.addr) == 0)
		return;
	if (peer == NULL) {
		peer = g_new0(peer_t, 1);
		peer->addr = g_strdup(addr);
		peer->loads = g_array_new(FALSE, FALSE, sizeof(peer_load_t));
		g_ptr_array_add(relay->peers, peer);
	}
	if (peer->heard == 0)
		peer->added = now;
}

static bool
is_alive(const dff_relay_t *relay, const peer_t *peer, dff_time_t now)
{
	return peer->heard != 0 &&
	    now - peer->heard < SILENT_BEATS * relay->config.beat;
}

uint32_t
beat_peers_alive(const dff_relay_t *relay, dff_time_t now)
{
	uint32_t alive = 0;

	for (guint i = 0; i < relay->peers->len; i++) {
		if (is_alive(relay, relay->peers->pdata[i], now))
			alive++;
	}
	return alive;
}

/* ---- what peers have under way ---- */

static void
take_out_loads(dff_relay_t *relay, peer_t *peer)
{
	for (guint i = 0; i < peer->loads->len; i++) {
		const peer_load_t *load =
		    &g_array_index(peer->loads, peer_load_t, i);
		upstream_t *up =
		    upstreams_find(relay->upstreams, load->upstream);

		if (up == NULL)
			continue;
		up->peer_running -= MIN(up->peer_running, load->running);
		up->peer_backlog -= MIN(up->peer_backlog, load->backlog);
		up->peer_memory -= MIN(up->peer_memory, load->memory);
	}
	g_array_set_size(peer->loads, 0);
}

static void
put_in_loads(dff_relay_t *relay, peer_t *peer, const Dff__RelayBeat *beat)
{
	for (size_t i = 0; i < beat->n_loads; i++) {
		const Dff__RelayLoad *row = beat->loads[i];
		upstream_t *up = upstreams_find(relay->upstreams, row->upstream);
		peer_load_t load = {.upstream = row->upstream,
		    .running = row->running,
		    .backlog = row->backlog,
		    .memory = row->memory};

		if (up == NULL)
			continue;
		up->peer_running += load.running;
		up->peer_backlog += load.backlog;
		up->peer_memory += load.memory;
		g_array_append_val(peer->loads, load);
	}
}

static void
take_parts(step_t *step, const Dff__RelayBeat *beat)
{
	dff_relay_t *relay = step->relay;

	for (size_t i = 0; i < beat->n_kept; i++) {
		const Dff__RelayKept *row = beat->kept[i];
		upstream_t *up = upstreams_find(relay->upstreams, row->upstream);
		const dff_pool_t *pool = NULL;

		if (up == NULL)
			continue;
		if (relay->routing != NULL)
			pool = dff_routing_pool(relay->routing, up->news.pool);
		upstream_keep_part(up, row->chain, row->tokens,
		    pool != NULL ? pool->kv_tokens : 0, step->now);
	}
}

void
beat_take(step_t *step, const dff_relay_beat_t *in)
{
	dff_relay_t *relay = step->relay;
	Dff__RelayBeat *beat =
	    dff__relay_beat__unpack(NULL, in->len, in->bytes);
	peer_t *peer;

	if (beat == NULL) {
		relay->counts[COUNT_BEATS_BAD]++;
		dff_log(step->ctx, DFF_LOG_WARNING, "peer",
		    "frame cannot be read from=%s bytes=%zu", in->addr, in->len);
		return;
	}
	beat_add_peer(relay, in->addr, step->now);
	peer = find_peer(relay, in->addr);
	/* Frames may overtake each other. */
	if (peer == NULL || (beat->incarnation == peer->incarnation &&
				beat->sequence <= peer->sequence)) {
		dff__relay_beat__free_unpacked(beat, NULL);
		return;
	}
	relay->counts[COUNT_BEATS_IN]++;
	if (!is_alive(relay, peer, step->now))
		dff_log(step->ctx, DFF_LOG_NOTICE, "peer",
		    "peer heard node=%s addr=%s version=%" G_GUINT64_FORMAT,
		    beat->node, in->addr, (guint64)beat->version);
	if (peer->node == NULL)
		peer->node = g_strdup(beat->node);
	peer->incarnation = beat->incarnation;
	peer->sequence = beat->sequence;
	peer->version = beat->version;
	peer->heard = step->now;
	take_out_loads(relay, peer);
	put_in_loads(relay, peer, beat);
	take_parts(step, beat);
	for (size_t i = 0; i < beat->n_crashes; i++)
		suspect_load(relay, beat->crashes[i]->content,
		    beat->crashes[i]->count, step->now);
	dff__relay_beat__free_unpacked(beat, NULL);
}

/* ---- what this node tells ---- */

void
beat_note_part(dff_relay_t *relay, const upstream_t *up, uint64_t chain,
    uint32_t tokens, dff_time_t now)
{
	told_part_t part = {.upstream = up->hash,
	    .chain = chain,
	    .tokens = tokens,
	    .at = now};

	g_array_append_val(relay->told_parts, part);
}

static void
forget_old_parts(dff_relay_t *relay, dff_time_t now)
{
	guint old = 0;

	while (old < relay->told_parts->len &&
	    now - g_array_index(relay->told_parts, told_part_t, old).at >
		PART_TELL)
		old++;
	if (old > 0)
		g_array_remove_range(relay->told_parts, 0, old);
}

static size_t
fill_loads(const dff_relay_t *relay, Dff__RelayLoad *rows)
{
	size_t count = 0;
	upstream_t *up;

	for (dff_handle_t h = 0;
	     (h = upstreams_next(relay->upstreams, h, &up)) != 0 &&
	     count < LOADS_MAX;) {
		if (up->running == 0)
			continue;
		dff__relay_load__init(&rows[count]);
		rows[count].upstream = up->hash;
		rows[count].running = up->running;
		rows[count].backlog = (uint32_t)up->backlog;
		rows[count].memory = (uint32_t)up->memory;
		count++;
	}
	return count;
}

static size_t
fill_parts(const dff_relay_t *relay, Dff__RelayKept *rows)
{
	const GArray *parts = relay->told_parts;
	size_t count = 0;

	/* The newest first: older ones were told before. */
	for (guint i = parts->len; i-- > 0 && count < PARTS_MAX;) {
		const told_part_t *part = &g_array_index(parts, told_part_t, i);

		dff__relay_kept__init(&rows[count]);
		rows[count].upstream = part->upstream;
		rows[count].chain = part->chain;
		rows[count].tokens = part->tokens;
		count++;
	}
	return count;
}

static size_t
fill_crashes(const dff_relay_t *relay, dff_time_t now, Dff__RelayCrash *rows)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	size_t count = 0;

	g_hash_table_iter_init(&iter, relay->suspects);
	while (count < CRASHES_MAX &&
	    g_hash_table_iter_next(&iter, &key, &value)) {
		const suspect_t *suspect = value;

		if (now - suspect->last > CRASH_TELL)
			continue;
		dff__relay_crash__init(&rows[count]);
		rows[count].content = *(uint64_t *)key;
		rows[count].count = suspect->count;
		count++;
	}
	return count;
}

static void
make_frame(step_t *step)
{
	dff_relay_t *relay = step->relay;
	Dff__RelayBeat beat = DFF__RELAY_BEAT__INIT;
	Dff__RelayLoad loads[LOADS_MAX];
	Dff__RelayLoad *load_rows[LOADS_MAX];
	Dff__RelayKept parts[PARTS_MAX];
	Dff__RelayKept *part_rows[PARTS_MAX];
	Dff__RelayCrash crashes[CRASHES_MAX];
	Dff__RelayCrash *crash_rows[CRASHES_MAX];

	for (size_t i = 0; i < LOADS_MAX; i++)
		load_rows[i] = &loads[i];
	for (size_t i = 0; i < PARTS_MAX; i++)
		part_rows[i] = &parts[i];
	for (size_t i = 0; i < CRASHES_MAX; i++)
		crash_rows[i] = &crashes[i];
	forget_old_parts(relay, step->now);
	beat.node = relay->config.id;
	beat.incarnation = relay->config.incarnation;
	beat.sequence = ++relay->sequence;
	beat.version = relay->routing != NULL ? relay->routing->version : 0;
	beat.n_loads = fill_loads(relay, loads);
	beat.loads = load_rows;
	beat.n_kept = fill_parts(relay, parts);
	beat.kept = part_rows;
	beat.n_crashes = fill_crashes(relay, step->now, crashes);
	beat.crashes = crash_rows;
	g_byte_array_set_size(
	    relay->frame, (guint)dff__relay_beat__get_packed_size(&beat));
	(void)dff__relay_beat__pack(&beat, relay->frame->data);
}

void
beat_send(step_t *step)
{
	dff_relay_t *relay = step->relay;
	uint32_t alive = beat_peers_alive(relay, step->now);

	relay->nodes_most = MAX(relay->nodes_most, alive + 1);
	make_frame(step);
	for (guint i = relay->peers->len; i-- > 0;) {
		peer_t *peer = relay->peers->pdata[i];
		dff_time_t last = MAX(peer->heard, peer->added);
		dff_relay_effect_t *fx;

		if (!is_alive(relay, peer, step->now)) {
			take_out_loads(relay, peer);
			if (step->now - last > PEER_LIFE) {
				g_ptr_array_remove_index_fast(relay->peers, i);
				free_peer(peer);
				continue;
			}
			if (step->now - peer->told < SILENT_TELL)
				continue;
		}
		peer->told = step->now;
		relay->counts[COUNT_BEATS_OUT]++;
		fx = relay_add_fx(step, DFF_RELAY_FX_FRAME);
		g_strlcpy(fx->frame.addr, peer->addr, sizeof(fx->frame.addr));
		fx->frame.bytes = relay->frame->data;
		fx->frame.len = relay->frame->len;
	}
}

void
beat_free_all(dff_relay_t *relay)
{
	for (guint i = 0; i < relay->peers->len; i++)
		free_peer(relay->peers->pdata[i]);
	g_ptr_array_unref(relay->peers);
}
