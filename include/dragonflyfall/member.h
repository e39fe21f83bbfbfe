/*
 * Membership of the entry nodes. Detail is told within a failure domain;
 * between domains one relay each, chosen by hash among the members that are
 * thought to be live, tells a summary. A relay has work, not authority: two
 * nodes that think they are the relay only send a little more.
 */
#ifndef DRAGONFLYFALL_MEMBER_H
#define DRAGONFLYFALL_MEMBER_H

#include "dragonflyfall/event.h"

/**
 * struct dff_members_config - settings of membership
 * @id: VM id of this node
 * @domain: its failure domain
 * @incarnation: this process's incarnation
 * @suspect_after: silence after which a peer is suspected
 * @dead_after: silence after which a peer counts as gone
 */
typedef struct dff_members_config {
	char id[DFF_NAME_MAX];
	char domain[DFF_NAME_MAX];
	uint64_t incarnation;
	dff_time_t suspect_after;
	dff_time_t dead_after;
} dff_members_config_t;

/** enum dff_member_state - what is thought of a peer */
typedef enum dff_member_state {
	DFF_MEMBER_UNKNOWN, /* in the VM list, not heard of yet */
	DFF_MEMBER_LIVE,
	DFF_MEMBER_SUSPECT,
	DFF_MEMBER_DEAD,
	DFF_MEMBER_LEFT,
} dff_member_state_t;

/** dff_member_state_name() - "unknown", "live", "suspect", ... */
const char *dff_member_state_name(dff_member_state_t state);

/**
 * struct dff_member - one peer
 * @id: VM id
 * @addr: where it listens for peers
 * @domain: failure domain
 * @near: it is of this node's failure domain
 * @state: state
 * @incarnation: of its process; 0 before the first frame
 * @heard: moment of the last frame
 * @log_down: it says that it has lost the log
 * @offsets: last offsets that it has applied
 * @far_live: of a far relay, live members of its domain as it said; of a
 *	near relay, live members of all other domains as it said
 */
typedef struct dff_member {
	char id[DFF_NAME_MAX];
	char addr[DFF_ADDR_MAX];
	char domain[DFF_NAME_MAX];
	bool near;
	dff_member_state_t state;
	uint64_t incarnation;
	dff_time_t heard;
	bool log_down;
	uint64_t offsets[DFF_STREAM_COUNT];
	uint32_t far_live;
} dff_member_t;

/** typedef dff_members_t - all peers of one node */
typedef struct dff_members dff_members_t;

/** dff_members_new() - no peers yet; the caller drops it */
dff_members_t *dff_members_new(
    dff_ctx_t *ctx, const dff_members_config_t *config);

/** dff_members_drop() - free it; NULL is allowed */
void dff_members_drop(dff_members_t *members);

/** dff_members_load_vms() - follow the VM list; entries not in it go */
void dff_members_load_vms(dff_ctx_t *ctx, dff_members_t *members,
    const dff_vm_t *vms, size_t count, dff_time_t now);

/** enum dff_heard - what a frame says of its sender */
typedef enum dff_heard {
	DFF_HEARD_SAME,
	DFF_HEARD_BACK, /* it was not live before */
	DFF_HEARD_NEW, /* another process runs there now */
	DFF_HEARD_STALE, /* an old process speaks; drop the frame */
	DFF_HEARD_ALIEN, /* it is not in the VM list; drop the frame */
} dff_heard_t;

/**
 * dff_members_hear() - a frame came from a peer
 * @id: who says it is
 * @incarnation: incarnation in the frame
 * @member: set to the peer, borrowed, unless it is alien
 */
dff_heard_t dff_members_hear(dff_ctx_t *ctx, dff_members_t *members,
    const char *id, uint64_t incarnation, dff_time_t now,
    dff_member_t **member);

/** dff_members_left() - a peer announced that it leaves */
void dff_members_left(dff_ctx_t *ctx, dff_members_t *members, const char *id);

/**
 * dff_members_sweep() - find a peer that has become silent too long
 *
 * Return: a peer that has just been declared dead, or NULL; call again
 * until NULL.
 */
const dff_member_t *dff_members_sweep(
    dff_ctx_t *ctx, dff_members_t *members, dff_time_t now);

/** dff_members_count() - peers in the VM list, without this node */
size_t dff_members_count(const dff_members_t *members);

/** dff_members_at() - peer @i, borrowed */
const dff_member_t *dff_members_at(const dff_members_t *members, size_t i);

/** dff_members_find() - a peer by VM id, borrowed, or NULL */
const dff_member_t *dff_members_find(
    const dff_members_t *members, const char *id);

/** dff_members_is_relay() - this node is the relay of its domain */
bool dff_members_is_relay(const dff_members_t *members);

/**
 * dff_members_relays() - the relay of each other domain
 * @relays: room for them
 * @max: how many fit
 *
 * Return: how many were set.
 */
size_t dff_members_relays(const dff_members_t *members, dff_time_t now,
    const dff_member_t **relays, size_t max);

/**
 * dff_members_seen() - how much of the fleet this node sees
 * @all: set to the entry nodes there are, this one among them
 *
 * Return: those that are live as far as it knows, this one among them.
 */
uint32_t dff_members_seen(
    const dff_members_t *members, dff_time_t now, uint32_t *all);

#endif
