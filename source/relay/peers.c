#include <string.h>

#include "base/fault.h"
#include "relay/peers.h"

/* A peer that was silent for this many frame intervals is not alive. */
#define SILENT_INTERVALS 8
/* The same for a peer on whose reads of the record source others rely: reading
 * in its place costs little, a change that is missed much. */
#define READER_SILENT_INTERVALS 4
/* Silence after which a peer is removed; a live one announces itself within
 * a minute. */
#define PEER_RETENTION (150 * DFF_SEC)
/* With more peers, frames go to the own domain only, and its leader sends
 * summaries to other domains: a full mesh grows with the square. */
#define MESH_MAX 12
/* Factor by which frames are less frequent in a large fleet. */
#define LARGE_FLEET_FACTOR 2
/* Up to this many nodes summaries are as frequent as frames. */
#define SUMMARY_FLEET_SIZE 100
/* Nodes that read the record source: one more than needed, so that one may
 * fail. In a small fleet each group of nodes that receive each other's frames
 * has as many. */
#define READERS 2
/* Above this many peers each domain reads for itself: a fetch from another one
 * carries the heartbeats of all upstreams, and two in a row take too long. */
#define SHARED_READ_PEERS_MAX 250
/* Number of substitutes that read at one time in place of failed readers, and
 * the length of their turn, enough for several tries. */
#define SUBSTITUTES 3
#define TURN_TIME   (600 * DFF_MSEC)

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
peers_find_or_add_summary(dff_relay_t *relay, const char *node)
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
peers_add(dff_relay_t *relay, const char *addr, const char *domain,
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
peers_fleet_is_large(const dff_relay_t *relay)
{
	return relay->peers->len > MESH_MAX;
}

dff_time_t
peers_frame_interval(const dff_relay_t *relay)
{
	return relay->config.heartbeat_interval *
	    (peers_fleet_is_large(relay) ? LARGE_FLEET_FACTOR : 1);
}

dff_time_t
peers_scale_summary_time(const dff_relay_t *relay, dff_time_t usual)
{
	return usual * MAX(relay->peers->len, SUMMARY_FLEET_SIZE) /
	    SUMMARY_FLEET_SIZE;
}

dff_time_t
peer_frame_interval(const dff_relay_t *relay, const peer_t *peer)
{
	dff_time_t interval = peers_frame_interval(relay);

	return *peer->addr != '\0' ? interval :
				     peers_scale_summary_time(relay, interval);
}

bool
peer_is_alive(const dff_relay_t *relay, const peer_t *peer, dff_time_t now)
{
	return peer->heard_at != 0 &&
	    now - peer->heard_at <
	    SILENT_INTERVALS * peer_frame_interval(relay, peer);
}

/* Whether frames of the peer still come, so that a change that it reads will be
 * told. */
static bool
tells_changes(const dff_relay_t *relay, const peer_t *peer, dff_time_t now)
{
	return now - peer->heard_at <
	    READER_SILENT_INTERVALS * peer_frame_interval(relay, peer) ||
	    DFF_FAULT(RELAY_SILENT_READER);
}

bool
peer_is_direct(const dff_relay_t *relay, const peer_t *peer)
{
	if (*peer->addr == '\0')
		return false;
	return !peers_fleet_is_large(relay) || *peer->domain == '\0' ||
	    strcmp(peer->domain, relay->config.domain) == 0;
}

uint32_t
peers_count_alive(const dff_relay_t *relay, dff_time_t now)
{
	uint32_t alive = 0;

	for (guint i = 0; i < relay->peers->len; i++) {
		if (peer_is_alive(relay, relay->peers->pdata[i], now))
			alive++;
	}
	return alive;
}

uint32_t
peers_count_direct(const dff_relay_t *relay, dff_time_t now)
{
	uint32_t alive = 0;

	for (guint i = 0; i < relay->peers->len; i++)
		alive += peer_is_direct(relay, relay->peers->pdata[i]) &&
		    peer_is_alive(relay, relay->peers->pdata[i], now);
	return alive;
}

bool
peers_upstream_is_remote(const dff_relay_t *relay, const upstream_t *up)
{
	return strcmp(up->record.domain, relay->config.domain) != 0;
}

uint64_t
peer_rank(const char *addr, uint32_t link_mbps)
{
	return (uint64_t)link_mbps << 32 |
	    (dff_hash(addr, strlen(addr), 0) & UINT32_MAX);
}

/* Whether a peer is direct, alive and ranks above this node. */
static bool
ranks_higher(const dff_relay_t *relay, const peer_t *peer, dff_time_t now)
{
	return peer_is_direct(relay, peer) && peer_is_alive(relay, peer, now) &&
	    peer_rank(peer->addr, peer->link_mbps) >
	    peer_rank(relay->config.addr, relay->config.link_mbps);
}

bool
peers_is_domain_leader(const dff_relay_t *relay, dff_time_t now)
{
	for (guint i = 0; i < relay->peers->len; i++) {
		if (ranks_higher(relay, relay->peers->pdata[i], now))
			return false;
	}
	return true;
}

bool
peers_sends_summaries(const dff_relay_t *relay, dff_time_t now)
{
	return peers_fleet_is_large(relay) &&
	    peers_is_domain_leader(relay, now);
}

static bool
read_recently(dff_time_t source_heard, dff_time_t now)
{
	return source_heard != 0 && now - source_heard < READER_AGE_MAX;
}

/* Whether the substitute with this index has its turn. */
static bool
is_turn(uint32_t index, uint32_t substitutes, dff_time_t now)
{
	uint32_t groups = (substitutes + SUBSTITUTES - 1) / SUBSTITUTES;

	return index / SUBSTITUTES == (uint64_t)(now / TURN_TIME) % groups ||
	    DFF_FAULT(RELAY_ALL_STAND_IN);
}

/* Rank of a domain, the same on all nodes. */
static uint64_t
domain_rank(const char *domain)
{
	return dff_hash(domain, strlen(domain), 0);
}

/* Number of domains that rank above this one and read the record source. */
static uint32_t
count_reading_domains(const dff_relay_t *relay, dff_time_t now)
{
	uint64_t own = domain_rank(relay->config.domain);
	uint32_t count = 0;

	for (guint i = 0; i < relay->peers->len; i++) {
		const peer_t *peer = relay->peers->pdata[i];

		count += *peer->addr == '\0' && peer->source_read_at != 0 &&
		    now - peer->source_read_at < DOMAIN_READ_AGE_MAX &&
		    tells_changes(relay, peer, now) &&
		    domain_rank(peer->domain) > own;
	}
	return count;
}

/*
 * The highest-ranking nodes read. Where they fail, others substitute for them,
 * a few at a time: the source may refuse only some nodes, and a source that is
 * down should not be polled by all.
 */
static bool
reads_for_domain(const dff_relay_t *relay, uint32_t wanted, dff_time_t now)
{
	uint32_t higher = 0;
	uint32_t readers = 0;
	uint32_t alive = 0;

	for (guint i = 0; i < relay->peers->len; i++) {
		const peer_t *peer = relay->peers->pdata[i];

		if (!peer_is_direct(relay, peer) ||
		    !peer_is_alive(relay, peer, now))
			continue;
		alive++;
		if (!ranks_higher(relay, peer, now))
			continue;
		higher++;
		readers += read_recently(peer->source_read_at, now) &&
		    tells_changes(relay, peer, now);
	}
	if (readers >= wanted)
		return false;
	if (higher < wanted || read_recently(relay->source_read_at, now))
		return true;
	return is_turn(higher - wanted, alive + 1 - wanted, now);
}

static bool
has_alive_direct_peer(const dff_relay_t *relay, dff_time_t now)
{
	for (guint i = 0; i < relay->peers->len; i++) {
		const peer_t *peer = relay->peers->pdata[i];

		if (peer_is_direct(relay, peer) &&
		    peer_is_alive(relay, peer, now))
			return true;
	}
	return false;
}

/* Whether nodes of a domain read the record source for other domains. */
static bool
domains_share_readers(const dff_relay_t *relay)
{
	return peers_fleet_is_large(relay) &&
	    relay->peers->len <= SHARED_READ_PEERS_MAX &&
	    !DFF_FAULT(RELAY_DOMAINS_READ);
}

/* In a large fleet one node in each of the highest-ranking domains reads for
 * all domains; in the largest fleets two nodes of each domain read for it. */
bool
dff_relay_reads_source(const dff_relay_t *relay, dff_time_t now)
{
	if (!domains_share_readers(relay))
		return reads_for_domain(relay, READERS, now);
	if (count_reading_domains(relay, now) >= READERS &&
	    has_alive_direct_peer(relay, now))
		return false;
	return reads_for_domain(relay, 1, now);
}

bool
dff_relay_sends_summaries(const dff_relay_t *relay, dff_time_t now)
{
	return peers_sends_summaries(relay, now);
}

bool
peers_receives_summaries(const dff_relay_t *relay, dff_time_t now)
{
	uint32_t higher = 0;

	for (guint i = 0; i < relay->peers->len; i++)
		higher += ranks_higher(relay, relay->peers->pdata[i], now);
	return domains_share_readers(relay) && higher < SUMMARY_RECEIVERS;
}

dff_time_t
peers_last_source_read(const dff_relay_t *relay)
{
	dff_time_t read_at = relay->source_read_at;

	for (guint i = 0; i < relay->peers->len; i++) {
		const peer_t *peer = relay->peers->pdata[i];

		if (peer_is_direct(relay, peer))
			read_at = MAX(read_at, peer->source_read_at);
	}
	return read_at;
}

/* ---- loads ---- */

static void
add_sends(in_flight_t *sum, const in_flight_t *sends)
{
	sum->running += sends->running;
	sum->backlog += sends->backlog;
	sum->memory += sends->memory;
	sum->unshared += sends->unshared;
}

static void
subtract_sends(in_flight_t *sum, const in_flight_t *sends)
{
	sum->running -= MIN(sum->running, sends->running);
	sum->backlog -= MIN(sum->backlog, sends->backlog);
	sum->memory -= MIN(sum->memory, sends->memory);
	sum->unshared -= MIN(sum->unshared, sends->unshared);
}

static bool
is_summary(const peer_t *peer)
{
	return *peer->addr == '\0';
}

static void
remove_load(dff_relay_t *relay, const peer_t *peer, const peer_load_t *load)
{
	upstream_t *up = upstreams_find(relay->upstreams, load->upstream);

	if (up == NULL)
		return;
	subtract_sends(&up->peer_sends, &load->sends);
	if (is_summary(peer))
		subtract_sends(&up->domain_sends, &load->sends);
}

static void
remove_loads(dff_relay_t *relay, peer_t *peer)
{
	for (guint i = 0; i < peer->loads->len; i++)
		remove_load(
		    relay, peer, &g_array_index(peer->loads, peer_load_t, i));
	g_array_set_size(peer->loads, 0);
}

/* Removes the load that the peer last reported at one upstream. */
static void
remove_load_at(dff_relay_t *relay, peer_t *peer, uint32_t upstream)
{
	for (guint i = 0; i < peer->loads->len; i++) {
		peer_load_t load = g_array_index(peer->loads, peer_load_t, i);

		if (load.upstream != upstream)
			continue;
		remove_load(relay, peer, &load);
		g_array_remove_index_fast(peer->loads, i);
		return;
	}
}

static void
add_load(dff_relay_t *relay, peer_t *peer, const Dff__RelayLoad *row)
{
	upstream_t *up = upstreams_find(relay->upstreams, row->upstream);
	peer_load_t load = {.upstream = row->upstream,
	    .sends = {row->running, row->backlog, row->memory,
		/* Nodes of the version before do not report it. */
		row->unshared != 0 ? row->unshared : row->memory}};

	if (up == NULL || (load.sends.running == 0 && load.sends.unshared == 0))
		return;
	add_sends(&up->peer_sends, &load.sends);
	if (is_summary(peer))
		add_sends(&up->domain_sends, &load.sends);
	g_array_append_val(peer->loads, load);
}

void
peer_apply_loads(dff_relay_t *relay, peer_t *peer, const Dff__RelayBeat *frame)
{
	if (!frame->changes)
		remove_loads(relay, peer);
	for (size_t i = 0; i < frame->n_loads; i++) {
		if (frame->changes)
			remove_load_at(relay, peer, frame->loads[i]->upstream);
		add_load(relay, peer, frame->loads[i]);
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
		remove_loads(relay, peer);
		unreachable_apply_peer(step, peer, NULL, 0);
		if (now - MAX(peer->heard_at, peer->added_at) <= PEER_RETENTION)
			continue;
		g_ptr_array_remove_index_fast(relay->peers, i);
		free_peer(peer);
	}
}

void
peers_free_all(dff_relay_t *relay)
{
	for (guint i = 0; i < relay->peers->len; i++)
		free_peer(relay->peers->pdata[i]);
	g_ptr_array_unref(relay->peers);
}
