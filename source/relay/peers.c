#include <string.h>

#include "base/fault.h"
#include "relay/peers.h"

/* A peer that was silent for so many beats counts as gone. */
#define SILENT_BEATS 8
/* Silence after which a peer is forgotten; a live one announces itself
 * within a minute. */
#define PEER_LIFE (150 * DFF_SEC)
/* With more peers, frames go to the own domain only, and relays tell the
 * other domains: a full mesh grows with the square. */
#define MESH_MAX 12
/* Frames are rarer in a large fleet. */
#define LARGE_BEATS 2
/* Up to so many nodes sums of domains come as often as beats. */
#define FLEET_USUAL 100
/* Nodes that read the record source: one more than needed, so that one may
 * fail. In a small fleet these are of those that hear each other. */
#define READERS 2
/* Above so many peers each domain reads for itself: a fetch from another one
 * bears the heartbeats of all upstreams, and two in a row take too long. */
#define READ_TOGETHER_MAX 250
/* Nodes that try in place of readers that do not read, at one moment, and for
 * how long: some tries. */
#define STANDINS  3
#define TURN_TIME (600 * DFF_MSEC)

static void
free_peer(peer_t *peer)
{
	g_free(peer->addr);
	g_free(peer->node);
	g_array_unref(peer->loads);
	g_array_unref(peer->unreachable);
	g_free(peer);
}

static peer_t *
add_peer(dff_relay_t *relay, const char *addr)
{
	peer_t *peer = g_new0(peer_t, 1);

	peer->addr = g_strdup(addr);
	peer->loads = g_array_new(FALSE, FALSE, sizeof(peer_load_t));
	peer->unreachable = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_ptr_array_add(relay->peers, peer);
	return peer;
}

peer_t *
peers_find(const dff_relay_t *relay, const char *addr)
{
	for (guint i = 0; i < relay->peers->len; i++) {
		peer_t *peer = relay->peers->pdata[i];

		if (strcmp(peer->addr, addr) == 0)
			return peer;
	}
	return NULL;
}

peer_t *
peers_find_summary(dff_relay_t *relay, const char *node)
{
	peer_t *peer;

	for (guint i = 0; i < relay->peers->len; i++) {
		peer = relay->peers->pdata[i];
		if (*peer->addr == '\0' && strcmp(peer->node, node) == 0)
			return peer;
	}
	peer = add_peer(relay, "");
	peer->node = g_strdup(node);
	return peer;
}

void
beat_add_peer(dff_relay_t *relay, const char *addr, const char *domain,
    uint32_t link_mbps, dff_time_t now)
{
	peer_t *peer = peers_find(relay, addr);

	if (strcmp(addr, relay->config.addr) == 0)
		return;
	if (peer == NULL)
		peer = add_peer(relay, addr);
	if (*domain != '\0')
		g_strlcpy(peer->domain, domain, sizeof(peer->domain));
	if (link_mbps > 0)
		peer->link_mbps = link_mbps;
	peer->added_at = now;
}

bool
beat_is_large(const dff_relay_t *relay)
{
	return relay->peers->len > MESH_MAX;
}

dff_time_t
beat_interval(const dff_relay_t *relay)
{
	return relay->config.heartbeat_interval *
	    (beat_is_large(relay) ? LARGE_BEATS : 1);
}

dff_time_t
peers_sum_time(const dff_relay_t *relay, dff_time_t usual)
{
	return usual * MAX(relay->peers->len, FLEET_USUAL) / FLEET_USUAL;
}

dff_time_t
peer_interval(const dff_relay_t *relay, const peer_t *peer)
{
	dff_time_t beat = beat_interval(relay);

	return *peer->addr != '\0' ? beat : peers_sum_time(relay, beat);
}

bool
peer_is_alive(const dff_relay_t *relay, const peer_t *peer, dff_time_t now)
{
	return peer->heard_at != 0 &&
	    now - peer->heard_at < SILENT_BEATS * peer_interval(relay, peer);
}

bool
peer_is_direct(const dff_relay_t *relay, const peer_t *peer)
{
	if (*peer->addr == '\0')
		return false;
	return !beat_is_large(relay) || *peer->domain == '\0' ||
	    strcmp(peer->domain, relay->config.domain) == 0;
}

uint32_t
beat_peers_alive(const dff_relay_t *relay, dff_time_t now)
{
	uint32_t alive = 0;

	for (guint i = 0; i < relay->peers->len; i++) {
		if (peer_is_alive(relay, relay->peers->pdata[i], now))
			alive++;
	}
	return alive;
}

bool
peers_is_far(const dff_relay_t *relay, const upstream_t *up)
{
	return strcmp(up->news.domain, relay->config.domain) != 0;
}

uint64_t
peer_rank(const char *addr, uint32_t link_mbps)
{
	return (uint64_t)link_mbps << 32 |
	    (dff_hash(addr, strlen(addr), 0) & UINT32_MAX);
}

/* Whether a peer is heard and ranks before this node. */
static bool
is_before(const dff_relay_t *relay, const peer_t *peer, dff_time_t now)
{
	return peer_is_direct(relay, peer) && peer_is_alive(relay, peer, now) &&
	    peer_rank(peer->addr, peer->link_mbps) >
	    peer_rank(relay->config.addr, relay->config.link_mbps);
}

bool
peers_is_relay(const dff_relay_t *relay, dff_time_t now)
{
	for (guint i = 0; i < relay->peers->len; i++) {
		if (is_before(relay, relay->peers->pdata[i], now))
			return false;
	}
	return true;
}

bool
peers_speaks(const dff_relay_t *relay, dff_time_t now)
{
	return beat_is_large(relay) && peers_is_relay(relay, now);
}

static bool
is_fresh(dff_time_t source_heard, dff_time_t now)
{
	return source_heard != 0 && now - source_heard < READER_FRESH;
}

/* Whether it is the turn of the node with this place among stand-ins. */
static bool
is_turn(uint32_t place, uint32_t standins, dff_time_t now)
{
	uint32_t groups = (standins + STANDINS - 1) / STANDINS;

	return place / STANDINS == (uint64_t)(now / TURN_TIME) % groups ||
	    DFF_FAULT(RELAY_ALL_STAND_IN);
}

/* The same order of domains everywhere. */
static uint64_t
domain_rank(const char *domain)
{
	return dff_hash(domain, strlen(domain), 0);
}

/* Domains before this one whose nodes read the record source. */
static uint32_t
count_reading_domains(const dff_relay_t *relay, dff_time_t now)
{
	uint64_t own = domain_rank(relay->config.domain);
	uint32_t count = 0;

	for (guint i = 0; i < relay->peers->len; i++) {
		const peer_t *peer = relay->peers->pdata[i];

		count += *peer->addr == '\0' && peer->source_read_at != 0 &&
		    now - peer->source_read_at < DOMAIN_FRESH &&
		    domain_rank(peer->domain) > own;
	}
	return count;
}

/*
 * Where the first in rank do not read, the others stand in, a few at a time:
 * the source may turn away some nodes only, and one that is down needs not be
 * asked by all.
 */
static bool
reads_for_domain(const dff_relay_t *relay, uint32_t wanted, dff_time_t now)
{
	uint32_t before = 0;
	uint32_t readers = 0;
	uint32_t heard = 0;

	for (guint i = 0; i < relay->peers->len; i++) {
		const peer_t *peer = relay->peers->pdata[i];

		if (!peer_is_direct(relay, peer) ||
		    !peer_is_alive(relay, peer, now))
			continue;
		heard++;
		if (!is_before(relay, peer, now))
			continue;
		before++;
		readers += is_fresh(peer->source_read_at, now);
	}
	if (readers >= wanted)
		return false;
	if (before < wanted || is_fresh(relay->source_read_at, now))
		return true;
	return is_turn(before - wanted, heard + 1 - wanted, now);
}

static bool
hears_its_domain(const dff_relay_t *relay, dff_time_t now)
{
	for (guint i = 0; i < relay->peers->len; i++) {
		const peer_t *peer = relay->peers->pdata[i];

		if (peer_is_direct(relay, peer) &&
		    peer_is_alive(relay, peer, now))
			return true;
	}
	return false;
}

/* Whether domains read the record source for each other. */
static bool
read_together(const dff_relay_t *relay)
{
	return beat_is_large(relay) && relay->peers->len <= READ_TOGETHER_MAX &&
	    !DFF_FAULT(RELAY_DOMAINS_READ);
}

/* In a large fleet one node in each of the first domains reads for all, in
 * the largest two in each domain for that one. */
bool
dff_relay_reads(const dff_relay_t *relay, dff_time_t now)
{
	if (!read_together(relay))
		return reads_for_domain(relay, READERS, now);
	if (count_reading_domains(relay, now) >= READERS &&
	    hears_its_domain(relay, now))
		return false;
	return reads_for_domain(relay, 1, now);
}

bool
dff_relay_speaks(const dff_relay_t *relay, dff_time_t now)
{
	return peers_speaks(relay, now);
}

bool
peers_hears_domains(const dff_relay_t *relay, dff_time_t now)
{
	uint32_t before = 0;

	for (guint i = 0; i < relay->peers->len; i++)
		before += is_before(relay, relay->peers->pdata[i], now);
	return read_together(relay) && before < RELAYS_TOLD;
}

dff_time_t
peers_source_heard(const dff_relay_t *relay)
{
	dff_time_t heard = relay->source_read_at;

	for (guint i = 0; i < relay->peers->len; i++) {
		const peer_t *peer = relay->peers->pdata[i];

		if (peer_is_direct(relay, peer))
			heard = MAX(heard, peer->source_read_at);
	}
	return heard;
}

/* ---- loads ---- */

static void
add_sends(under_way_t *sum, const under_way_t *sends)
{
	sum->running += sends->running;
	sum->backlog += sends->backlog;
	sum->memory += sends->memory;
}

static void
take_out_sends(under_way_t *sum, const under_way_t *sends)
{
	sum->running -= MIN(sum->running, sends->running);
	sum->backlog -= MIN(sum->backlog, sends->backlog);
	sum->memory -= MIN(sum->memory, sends->memory);
}

static bool
is_sum(const peer_t *peer)
{
	return *peer->addr == '\0';
}

static void
take_out_load(dff_relay_t *relay, const peer_t *peer, const peer_load_t *load)
{
	upstream_t *up = upstreams_find(relay->upstreams, load->upstream);

	if (up == NULL)
		return;
	take_out_sends(&up->peers, &load->sends);
	if (is_sum(peer))
		take_out_sends(&up->domains, &load->sends);
}

static void
take_out_loads(dff_relay_t *relay, peer_t *peer)
{
	for (guint i = 0; i < peer->loads->len; i++)
		take_out_load(
		    relay, peer, &g_array_index(peer->loads, peer_load_t, i));
	g_array_set_size(peer->loads, 0);
}

/* What the peer told of one upstream before does not count any more. */
static void
forget_load(dff_relay_t *relay, peer_t *peer, uint32_t upstream)
{
	for (guint i = 0; i < peer->loads->len; i++) {
		peer_load_t load = g_array_index(peer->loads, peer_load_t, i);

		if (load.upstream != upstream)
			continue;
		take_out_load(relay, peer, &load);
		g_array_remove_index_fast(peer->loads, i);
		return;
	}
}

static void
load_row(dff_relay_t *relay, peer_t *peer, const Dff__RelayLoad *row)
{
	upstream_t *up = upstreams_find(relay->upstreams, row->upstream);
	peer_load_t load = {.upstream = row->upstream,
	    .sends = {row->running, row->backlog, row->memory}};

	if (up == NULL || load.sends.running == 0)
		return;
	add_sends(&up->peers, &load.sends);
	if (is_sum(peer))
		add_sends(&up->domains, &load.sends);
	g_array_append_val(peer->loads, load);
}

void
peer_load_frame(dff_relay_t *relay, peer_t *peer, const Dff__RelayBeat *beat)
{
	if (!beat->changes)
		take_out_loads(relay, peer);
	for (size_t i = 0; i < beat->n_loads; i++) {
		if (beat->changes)
			forget_load(relay, peer, beat->loads[i]->upstream);
		load_row(relay, peer, beat->loads[i]);
	}
}

void
peers_sweep(step_t *step)
{
	dff_relay_t *relay = step->relay;
	dff_time_t now = step->now;

	for (guint i = relay->peers->len; i-- > 0;) {
		peer_t *peer = relay->peers->pdata[i];

		if (peer_is_alive(relay, peer, now))
			continue;
		take_out_loads(relay, peer);
		unreachable_load(step, peer, NULL, 0);
		if (now - MAX(peer->heard_at, peer->added_at) <= PEER_LIFE)
			continue;
		g_ptr_array_remove_index_fast(relay->peers, i);
		free_peer(peer);
	}
}

void
beat_free_all(dff_relay_t *relay)
{
	for (guint i = 0; i < relay->peers->len; i++)
		free_peer(relay->peers->pdata[i]);
	g_ptr_array_unref(relay->peers);
}
