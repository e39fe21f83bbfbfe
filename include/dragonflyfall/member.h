/*
 * Membership of the entry nodes. Nodes exchange details within a failure
 * domain. Between domains one relay of each domain, chosen by hash among the
 * members believed live, sends a summary. A relay has no authority: if two
 * nodes both act as the relay, the only effect is some extra traffic.
 */
#ifndef DRAGONFLYFALL_MEMBER_H
#define DRAGONFLYFALL_MEMBER_H

#include "dragonflyfall/event.h"

/**
 * struct dff_members_config - settings of membership
 * @id: VM id of this node
 * @domain: failure domain of this node
 * @incarnation: incarnation of this process
 * @suspect_after: silence after which a peer is suspected
 * @dead_after: silence after which a peer counts as dead
 */
typedef struct dff_members_config {
	char id[DFF_NAME_MAX];
	char domain[DFF_NAME_MAX];
	uint64_t incarnation;
	dff_time_t suspect_after;
	dff_time_t dead_after;
} dff_members_config_t;

/** enum dff_member_state - state of a peer as this node believes it */
typedef enum dff_member_state {
	DFF_MEMBER_UNKNOWN, /* in the VM list, no frame received yet */
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
 * @addr: address at which it listens for peers
 * @domain: failure domain
 * @same_domain: it is in the failure domain of this node
 * @state: state
 * @incarnation: incarnation of its process; 0 before the first frame
 * @last_frame_at: time of the last frame
 * @log_down: it reported that it has lost the log
 * @offsets: last offsets that it has applied
 * @remote_live: as reported by a relay of another domain, live members of that
 *	domain; by a member of this domain, live members of all other domains
 */
typedef struct dff_member {
	char id[DFF_NAME_MAX];
	char addr[DFF_ADDR_MAX];
	char domain[DFF_NAME_MAX];
	bool same_domain;
	dff_member_state_t state;
	uint64_t incarnation;
	dff_time_t last_frame_at;
	bool log_down;
	uint64_t offsets[DFF_STREAM_COUNT];
	uint32_t remote_live;
} dff_member_t;

/** typedef dff_members_t - all peers of one node */
typedef struct dff_members dff_members_t;

/** dff_members_new() - create an empty member list; the caller drops it */
dff_members_t *dff_members_new(
    dff_ctx_t *ctx, const dff_members_config_t *config);

/** dff_members_drop() - free the member list; NULL is allowed */
void dff_members_drop(dff_members_t *members);

/** dff_members_set_vms() - replace the VM list; peers not in it are removed */
void dff_members_set_vms(dff_ctx_t *ctx, dff_members_t *members,
    const dff_vm_t *vms, size_t count, dff_time_t now);

/** enum dff_frame_sender - state of the sender of a frame */
typedef enum dff_frame_sender {
	DFF_SENDER_LIVE,
	DFF_SENDER_RETURNED, /* it was not live before this frame */
	DFF_SENDER_RESTARTED, /* its process was replaced by a newer one */
	DFF_SENDER_STALE, /* old process, or it has left; drop the frame */
	DFF_SENDER_UNKNOWN, /* it is not in the VM list; drop the frame */
} dff_frame_sender_t;

/**
 * dff_members_receive_frame() - record that a frame came from a peer
 * @id: VM id in the frame
 * @incarnation: incarnation in the frame
 * @member: set to the peer, borrowed, unless DFF_SENDER_UNKNOWN is returned
 */
dff_frame_sender_t dff_members_receive_frame(dff_ctx_t *ctx,
    dff_members_t *members, const char *id, uint64_t incarnation,
    dff_time_t now, dff_member_t **member);

/** dff_members_mark_left() - record that a peer announced that it leaves */
void dff_members_mark_left(
    dff_ctx_t *ctx, dff_members_t *members, const char *id);

/**
 * dff_members_sweep() - find a peer that has been silent for too long
 *
 * Return: a peer that has just been declared dead, or NULL; call again until
 * NULL.
 */
const dff_member_t *dff_members_sweep(
    dff_ctx_t *ctx, dff_members_t *members, dff_time_t now);

/** dff_members_count() - number of peers in the VM list, without this node */
size_t dff_members_count(const dff_members_t *members);

/** dff_members_at() - the peer at index @i, borrowed */
const dff_member_t *dff_members_at(const dff_members_t *members, size_t i);

/** dff_members_find() - the peer with a VM id, borrowed, or NULL */
const dff_member_t *dff_members_find(
    const dff_members_t *members, const char *id);

/** dff_members_is_relay() - whether this node is the relay of its domain */
bool dff_members_is_relay(const dff_members_t *members);

/**
 * dff_members_relays() - list the relay of each other domain
 * @relays: array that is filled
 * @max: capacity of @relays
 *
 * Return: the number of relays set.
 */
size_t dff_members_relays(const dff_members_t *members, dff_time_t now,
    const dff_member_t **relays, size_t max);

/**
 * dff_members_count_visible() - count the entry nodes believed live
 * @total: set to the number of entry nodes, including this one
 *
 * Return: the number of live nodes, including this one.
 */
uint32_t dff_members_count_visible(
    const dff_members_t *members, dff_time_t now, uint32_t *total);

#endif
