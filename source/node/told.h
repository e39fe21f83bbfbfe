/*
 * What peers told: rows of work at upstreams and of owners' use, their sums,
 * and their form on the wire. Private to source/node.
 */
#ifndef DFF_NODE_TOLD_H
#define DFF_NODE_TOLD_H

#include "parts.h"

/**
 * struct told - what one near peer, or the relay of one far domain, told
 * @work: dff_policy_use_t, work that it has at upstreams
 * @use: dff_owner_use_t, owners' use of entries
 * @live: live nodes that this speaks for
 * @offsets: last offsets that it has applied
 * @at: moment it was told
 */
typedef struct told {
	GArray *work;
	GArray *use;
	uint32_t live;
	uint64_t offsets[DFF_STREAM_COUNT];
	dff_time_t at;
} told_t;

struct peers {
	GHashTable *near; /* VM id -> told_t */
	GHashTable *far; /* domain -> told_t */
	GHashTable *loaded; /* peer -> told_t that the policy has */
};

/**
 * struct packed_rows - rows as protobuf-c wants them: pointers to messages
 */
typedef struct packed_rows {
	Dff__EngineWork work[BEAT_ROWS_MAX];
	Dff__EngineWork *work_at[BEAT_ROWS_MAX];
	Dff__OwnerUse use[BEAT_ROWS_MAX];
	Dff__OwnerUse *use_at[BEAT_ROWS_MAX];
	Dff__EngineReport report[BEAT_ROWS_MAX];
	Dff__EngineReport *report_at[BEAT_ROWS_MAX];
	Dff__StreamOffset offset[DFF_STREAM_COUNT];
	Dff__StreamOffset *offset_at[DFF_STREAM_COUNT];
	size_t work_count;
	size_t use_count;
} packed_rows_t;

/** told_new() - nothing told; told_free() frees it */
told_t *told_new(void);

/** told_free() - free it; fits GDestroyNotify */
void told_free(void *told);

/** told_of() - what is kept under a name, made if need be, now told anew */
told_t *told_of(GHashTable *table, const char *name, dff_time_t now);

/** told_self() - what this node itself has to tell; the caller frees it */
told_t *told_self(const dff_node_t *node);

/** told_sum() - sum of what was told since a moment; the caller frees it */
told_t *told_sum(GHashTable *table, dff_time_t since, const told_t *more);

/** told_set_rows() - take rows over from a frame */
void told_set_rows(const dff_node_t *node, told_t *told, size_t n_work,
    Dff__EngineWork **work, size_t n_use, Dff__OwnerUse **use);

/** told_set_offsets() - take offsets over from a frame */
void told_set_offsets(uint64_t *to, size_t count, Dff__StreamOffset **offsets);

/** told_pack() - prepare for a frame; @rows points into @told */
void told_pack(packed_rows_t *rows, const told_t *told);

/** told_load() - tell the policy, under a peer's name */
void told_load(dff_ctx_t *ctx, dff_node_t *node, const char *peer,
    const told_t *told, dff_time_t now);

/** told_drop() - forget a peer, here and in the policy */
void told_drop(dff_ctx_t *ctx, dff_node_t *node, const char *peer);

/* ---- watch.c: load reports told to others ---- */

/** enum watch_scope - which reports are told */
typedef enum watch_scope {
	WATCH_READ_HERE, /* read by this node: to its own domain */
	WATCH_OWN_DOMAIN, /* of its domain: to other domains */
	WATCH_OTHER_DOMAINS, /* of other domains: to its own domain */
} watch_scope_t;

/** watch_pack() - reports to tell, those with the most room first */
size_t watch_pack(const dff_node_t *node, watch_scope_t scope,
    Dff__EngineReport *rows, Dff__EngineReport **at, size_t max);

/** watch_take() - reports told by a peer */
void watch_take(dff_ctx_t *ctx, dff_node_t *node, size_t count,
    Dff__EngineReport **rows, dff_time_t now);

/* ---- send.c: frames out ---- */

/** send_frame() - send a frame to one peer; fills in who speaks */
void send_frame(dff_node_t *node, const dff_member_t *peer, Dff__Frame *frame,
    bool newest, dff_effects_t *fx);

/** send_near() - send a frame to the peers of this failure domain */
void send_near(
    dff_node_t *node, Dff__Frame *frame, bool newest, dff_effects_t *fx);

/** send_relays() - send a frame to the relay of each other domain */
void send_relays(
    dff_node_t *node, Dff__Frame *frame, bool newest, dff_effects_t *fx);

/** send_suspect() - tell of a request that met a crash */
void send_suspect(dff_node_t *node, uint64_t body_hash, uint64_t process,
    bool relays, dff_effects_t *fx);

/* ---- help.c: records for peers that lost the log ---- */

/** help_ask() - ask a peer that has records which the log does not give */
void help_ask(dff_node_t *node, const dff_member_t *peer, dff_effects_t *fx);

/** help_ask_snapshot() - ask a peer for its whole state of a stream */
void help_ask_snapshot(dff_node_t *node, const dff_member_t *peer,
    dff_stream_t id, dff_effects_t *fx);

/** help_give() - a peer wants records */
void help_give(dff_ctx_t *ctx, dff_node_t *node, const dff_member_t *peer,
    const Dff__RecordsWanted *wanted, dff_effects_t *fx);

/** help_take() - a peer gave records */
void help_take(dff_ctx_t *ctx, dff_node_t *node, const Dff__Records *records,
    dff_time_t now, dff_effects_t *fx);

#endif
