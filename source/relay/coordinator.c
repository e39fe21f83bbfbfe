/*
 * Each limited upstream has one coordinator, chosen by rendezvous hashing among
 * the nodes that are alive: all nodes of a small fleet, the leaders of the
 * failure domains of a large one. Nodes that see the same members choose the
 * same coordinator, and its loss moves only its own upstreams.
 *
 * Views differ for a moment when a node starts or fails, and for long when the
 * fleet is partitioned. A node therefore begins with an empty bucket, grants
 * permits to others only if it is the coordinator in its own view, and issues
 * them at a part of the rate if it does not hear most of the members that it
 * knows, or misses some that others hear. Of several parts of a fleet at most
 * one has the majority, so that all parts together issue at most 1.5 times the
 * rate.
 */
#include <string.h>

#include "base/fault.h"
#include "relay/coordinator.h"
#include "relay/peers.h"

/*
 * Members of a fleet, or of a failure domain.
 * @alive: that this node hears
 * @known: that it knows of
 * @others_see: most that another of them hears
 */
typedef struct members {
	uint32_t alive;
	uint32_t known;
	uint32_t others_see;
} members_t;

/* The best candidate so far. */
typedef struct candidate {
	uint64_t score;
	const char *addr;
} candidate_t;

static void
consider(
    candidate_t *best, const upstream_t *up, const char *name, const char *addr)
{
	uint64_t score = dff_hash(name, strlen(name), up->hash);

	if (best->addr != NULL && score <= best->score)
		return;
	best->score = score;
	best->addr = addr;
}

/* The domain's node to which other domains' nodes send permit requests. */
static const char *
own_leader(const dff_relay_t *relay, dff_time_t now)
{
	const char *addr = relay->config.addr;
	uint64_t rank = peer_rank(addr, relay->config.link_mbps);

	for (guint i = 0; i < relay->peers->len; i++) {
		const peer_t *peer = relay->peers->pdata[i];

		if (!peer_is_direct(relay, peer) ||
		    !peer_is_alive(relay, peer, now) ||
		    peer_rank(peer->addr, peer->link_mbps) <= rank)
			continue;
		rank = peer_rank(peer->addr, peer->link_mbps);
		addr = peer->addr;
	}
	return addr;
}

/* An entry that stands for another domain, by the summary that names its
 * leader. */
static bool
is_domain(const peer_t *peer)
{
	return *peer->addr == '\0' && *peer->leader != '\0';
}

const char *
coordinator_addr(const dff_relay_t *relay, const upstream_t *up, dff_time_t now)
{
	bool large = peers_fleet_is_large(relay);
	candidate_t best = {0};

	if (DFF_FAULT(RELAY_LIMIT_ALONE))
		return relay->config.addr;
	if (large)
		consider(
		    &best, up, relay->config.domain, own_leader(relay, now));
	else
		consider(&best, up, relay->config.addr, relay->config.addr);
	for (guint i = 0; i < relay->peers->len; i++) {
		const peer_t *peer = relay->peers->pdata[i];

		if (!peer_is_alive(relay, peer, now))
			continue;
		if (large && is_domain(peer))
			consider(&best, up, peer->domain, peer->leader);
		else if (!large && *peer->addr != '\0')
			consider(&best, up, peer->addr, peer->addr);
	}
	return best.addr;
}

/* A node that misses some of the members, as after a start without the record
 * source, may be the only one that sees itself as the coordinator. */
static double
share_of(const members_t *members)
{
	uint32_t known = MAX(members->known, members->others_see);

	if (members->alive < members->others_see)
		return 1.0 / known;
	if (2 * members->alive > known)
		return 1;
	return (double)members->alive / known;
}

/* Part of each rate that this node may issue as a coordinator. */
static double
own_share(const dff_relay_t *relay, dff_time_t now)
{
	members_t nodes = {1, 1, 1}; /* that send frames to each other */
	members_t domains = {1, 1, 1};

	if (DFF_FAULT(RELAY_LIMIT_ALONE) || DFF_FAULT(RELAY_LIMIT_SPLIT))
		return 1;
	for (guint i = 0; i < relay->peers->len; i++) {
		const peer_t *peer = relay->peers->pdata[i];
		uint32_t alive = peer_is_alive(relay, peer, now);

		if (is_domain(peer)) {
			domains.known++;
			domains.alive += alive;
		} else if (peer_is_direct(relay, peer)) {
			nodes.known++;
			nodes.alive += alive;
			if (alive)
				nodes.others_see =
				    MAX(nodes.others_see, peer->nodes);
		}
	}
	return share_of(&nodes) *
	    (peers_fleet_is_large(relay) ? share_of(&domains) : 1);
}

void
coordinator_update(step_t *step, upstream_t *up)
{
	dff_relay_t *relay = step->relay;
	double share = 0;

	if (rate_limit_is_set(&up->limit) &&
	    strcmp(coordinator_addr(relay, up, step->now),
		relay->config.addr) == 0)
		share = own_share(relay, step->now);
	if ((share > 0) != (up->limit.share > 0))
		dff_log(step->ctx, DFF_LOG_NOTICE, "upstream",
		    "%s permits for limited upstream id=%s limit=%.2f "
		    "share=%.2f",
		    share > 0 ? "issues" : "no longer issues", up->record.id,
		    rate_limit_newest(&up->limit)->rate, share);
	rate_limit_coordinate(&up->limit, share, step->now);
}

void
coordinator_update_all(step_t *step)
{
	upstream_t *up;

	for (dff_handle_t h = 0;
	     (h = upstreams_next(step->relay->upstreams, h, &up)) != 0;) {
		if (rate_limit_is_set(&up->limit) || up->limit.share > 0)
			coordinator_update(step, up);
	}
}
