/*
 * Exchange with peers: the state that they send (work at upstreams and use of
 * entries by owners), its encoding in frames, load reports and log records.
 * Private to source/node.
 */
#ifndef DFF_NODE_PEERS_H
#define DFF_NODE_PEERS_H

#include "internal.h"

/**
 * struct peer_state - state of one node, or sum of the states of several
 * @work: array of dff_upstream_load_t, work in progress at upstreams
 * @use: array of dff_owner_use_t, use of entries by their owners
 * @live: number of live nodes that are summed
 * @offsets: last offset applied of each stream; in a sum, the highest
 * @at: time at which it was received
 */
typedef struct peer_state {
	GArray *work;
	GArray *use;
	uint32_t live;
	uint64_t offsets[DFF_STREAM_COUNT];
	dff_time_t at;
} peer_state_t;

struct peers {
	GHashTable *same_domain; /* VM id -> peer_state_t */
	GHashTable *other_domains; /* domain -> peer_state_t of its relay */
	GHashTable *in_policy; /* peer -> peer_state_t held by the policy */
};

/**
 * struct packed_rows - messages and the pointer arrays that protobuf-c needs
 */
typedef struct packed_rows {
	Dff__EngineWork work[FRAME_ROWS_MAX];
	Dff__EngineWork *work_at[FRAME_ROWS_MAX];
	Dff__OwnerUse use[FRAME_ROWS_MAX];
	Dff__OwnerUse *use_at[FRAME_ROWS_MAX];
	Dff__EngineReport report[FRAME_ROWS_MAX];
	Dff__EngineReport *report_at[FRAME_ROWS_MAX];
	Dff__StreamOffset offset[DFF_STREAM_COUNT];
	Dff__StreamOffset *offset_at[DFF_STREAM_COUNT];
	size_t work_count;
	size_t use_count;
} packed_rows_t;

/** peer_state_new() - make an empty state; peer_state_free() frees it */
peer_state_t *peer_state_new(void);

/** peer_state_free() - free a state; usable as GDestroyNotify */
void peer_state_free(void *state);

/** peer_state_refresh() - find or make the state of a name and set its time */
peer_state_t *peer_state_refresh(
    GHashTable *table, const char *name, dff_time_t now);

/** peer_state_of_node() - the state of this node; the caller frees it */
peer_state_t *peer_state_of_node(const dff_node_t *node);

/** peer_state_sum() - sum of the states received since a time, and of @more;
 *	the caller frees it */
peer_state_t *peer_state_sum(
    GHashTable *table, dff_time_t since, const peer_state_t *more);

/** peer_state_set_rows() - replace the rows by those of a frame */
void peer_state_set_rows(const dff_node_t *node, peer_state_t *state,
    size_t n_work, Dff__EngineWork **work, size_t n_use, Dff__OwnerUse **use);

/** peer_state_set_offsets() - set the offsets given in a frame */
void peer_state_set_offsets(
    uint64_t *applied, size_t count, Dff__StreamOffset **offsets);

/** peer_state_pack() - encode the rows and offsets for a frame */
void peer_state_pack(packed_rows_t *rows, const peer_state_t *state);

/** peer_state_load_policy() - replace the state of a peer in the policy */
void peer_state_load_policy(dff_ctx_t *ctx, dff_node_t *node, const char *peer,
    const peer_state_t *state, dff_time_t now);

/** peer_state_forget() - drop the state of a peer, here and in the policy */
void peer_state_forget(dff_ctx_t *ctx, dff_node_t *node, const char *peer);

/* ---- watch.c: load reports exchanged with peers ---- */

/** enum watch_scope - which reports are sent */
typedef enum watch_scope {
	WATCH_READ_LOCALLY, /* read by this node; sent to its own domain */
	WATCH_OWN_DOMAIN, /* of its domain; sent to other domains */
	WATCH_OTHER_DOMAINS, /* of other domains; sent to its own domain */
} watch_scope_t;

/** watch_pack_reports() - encode recent reports, least loaded first */
size_t watch_pack_reports(const dff_node_t *node, watch_scope_t scope,
    Dff__EngineReport *rows, Dff__EngineReport **at, size_t max);

/** watch_receive_reports() - apply load reports received from a peer */
void watch_receive_reports(dff_ctx_t *ctx, dff_node_t *node, size_t count,
    Dff__EngineReport **rows, dff_time_t now);

/* ---- peer_send.c: sending of frames ---- */

/** send_frame() - send a frame to one peer; sets version and sender */
void send_frame(dff_node_t *node, const dff_member_t *peer, Dff__Frame *frame,
    bool replace_queued, dff_effects_t *fx);

/** send_to_domain() - send a frame to the peers of this failure domain */
void send_to_domain(dff_node_t *node, Dff__Frame *frame, bool replace_queued,
    dff_effects_t *fx);

/** send_to_relays() - send a frame to the relay of each other domain */
void send_to_relays(dff_node_t *node, Dff__Frame *frame, bool replace_queued,
    dff_effects_t *fx);

/** send_suspect() - send a suspect request to the domain, and to relays */
void send_suspect(dff_node_t *node, uint64_t body_hash, uint64_t process,
    bool relays, dff_effects_t *fx);

/* ---- peer_records.c: records for peers that cannot read the log ---- */

/** peer_records_request() - request the records that the log does not give */
void peer_records_request(
    dff_node_t *node, const dff_member_t *peer, dff_effects_t *fx);

/** peer_records_request_snapshot() - request a snapshot of a stream */
void peer_records_request_snapshot(dff_node_t *node, const dff_member_t *peer,
    dff_stream_t id, dff_effects_t *fx);

/** peer_records_answer() - send the records that a peer requested */
void peer_records_answer(dff_ctx_t *ctx, dff_node_t *node,
    const dff_member_t *peer, const Dff__RecordsWanted *wanted,
    dff_effects_t *fx);

/** peer_records_receive() - apply records received from a peer */
void peer_records_receive(dff_ctx_t *ctx, dff_node_t *node,
    const Dff__Records *records, dff_time_t now, dff_effects_t *fx);

#endif
