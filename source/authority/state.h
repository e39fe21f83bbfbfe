/*
 * State of the authority stream: leases, drain marks and orders. It depends
 * only on the records applied, except for the times at which this node read
 * the leases' records; snapshots do not contain those.
 */
#ifndef AUTHORITY_STATE_H
#define AUTHORITY_STATE_H

#include <glib.h>

#include "dragonflyfall/authority.h"
#include "proto/dragonflyfall.pb-c.h"

#define SHARD_NAME_MAX (DFF_NAME_MAX * 2)
/* Version of the records written and read. */
#define AUTHORITY_RECORD_VERSION 1

/** enum order_outcome - OrderOutcome.outcome, as written in records */
typedef enum order_outcome {
	OUTCOME_NONE,
	OUTCOME_DONE,
	OUTCOME_REFUSED, /* the engine cannot do it */
	OUTCOME_CRASHED, /* the engine's process ended before it was done */
	OUTCOME_BUSY, /* it did not drain in time */
	OUTCOME_UNREACHABLE, /* it does not answer */
	OUTCOME_CANCELLED, /* the order was never sent */
	OUTCOME_FAILED, /* it accepted the order, but is not as ordered */
} order_outcome_t;

/** outcome_name() - "done", "refused", ... */
const char *outcome_name(order_outcome_t outcome);

/**
 * struct lease - the lease of one shard
 * @shard: "pool@domain"
 * @holder: id of the node that holds it
 * @incarnation: incarnation of the holder's process
 * @fence: offset of the claim, which is the fencing number
 * @last_offset: offset of the last claim, renewal or release
 * @term: length of the lease
 * @released: the holder released it
 * @read_at: time at which this node read the record at @last_offset
 */
typedef struct lease {
	char shard[SHARD_NAME_MAX];
	char holder[DFF_NAME_MAX];
	uint64_t incarnation;
	uint64_t fence;
	uint64_t last_offset;
	dff_time_t term;
	bool released;
	dff_time_t read_at;
} lease_t;

/**
 * struct drain_mark - mark of an engine that gets no new requests
 * @vm: VM id of the engine
 * @shard: shard of the engine
 * @offset: offset of the mark's record
 * @loads_weights: the change for which the engine drains loads weights
 */
typedef struct drain_mark {
	char vm[DFF_NAME_MAX];
	char shard[SHARD_NAME_MAX];
	uint64_t offset;
	bool loads_weights;
} drain_mark_t;

/** struct sender - a process that may still send a copy of an order */
typedef struct sender {
	char node[DFF_NAME_MAX];
	uint64_t incarnation;
	uint64_t fence;
} sender_t;

/**
 * struct intent - an order whose intent is in the log
 * @order: offset of the intent, which is the order's id
 * @shard: shard of the engine
 * @vm: VM id of the engine
 * @vm_incarnation: incarnation of the engine's process when it was written
 * @kind: what changes
 * @target: new value, as text
 * @writer: process that wrote the intent
 * @sequence: writer's sequence number of the record
 * @open: no outcome is recorded yet
 * @senders: sender_t; a closed order is kept while there are any
 */
typedef struct intent {
	uint64_t order;
	char shard[SHARD_NAME_MAX];
	char vm[DFF_NAME_MAX];
	uint64_t vm_incarnation;
	dff_order_kind_t kind;
	char target[DFF_NAME_MAX];
	sender_t writer;
	uint64_t sequence;
	bool open;
	GArray *senders;
} intent_t;

/** typedef authority_state_t - leases, marks and orders */
typedef struct authority_state {
	GTree *leases; /* shard -> lease_t, owned */
	GTree *marks; /* vm -> drain_mark_t, owned */
	GPtrArray *intents; /* intent_t in order of offset, owned */
	uint64_t applied;
} authority_state_t;

/** name_compare() - compare the names that are keys of a GTree */
gint name_compare(gconstpointer a, gconstpointer b, gpointer arg);

/** authority_state_init() - state before the first record */
void authority_state_init(authority_state_t *state);

/** authority_state_clear() - free what the state owns */
void authority_state_clear(authority_state_t *state);

/** authority_state_lease() - a shard's lease record, or NULL if it has none */
lease_t *authority_state_lease(
    const authority_state_t *state, const char *shard);

/** authority_state_engine_mark() - an engine's drain mark, or NULL */
const drain_mark_t *authority_state_engine_mark(
    const authority_state_t *state, const char *vm);

/** authority_state_shard_mark() - the drain mark in a shard, or NULL */
const drain_mark_t *authority_state_shard_mark(
    const authority_state_t *state, const char *shard);

/** authority_state_open_order() - a shard's order without outcome, or NULL */
const intent_t *authority_state_open_order(
    const authority_state_t *state, const char *shard);

/** authority_state_order() - an order by its id, or NULL */
const intent_t *authority_state_order(
    const authority_state_t *state, uint64_t order);

/** lease_is_held_by() - the process holds the lease according to the log */
bool lease_is_held_by(
    const lease_t *lease, const char *node, uint64_t incarnation);

/**
 * authority_state_apply() - apply one decoded record
 *
 * A record from a process without the shard's lease, or one that conflicts
 * with the state, is ignored. All nodes ignore the same records.
 *
 * Return: 1 if drain marks changed, 0 if not, -EINVAL for a record that is
 * malformed or does not belong to this stream.
 */
int authority_state_apply(authority_state_t *state, const Dff__Record *record,
    uint64_t offset, dff_time_t now);

/** authority_state_save() - like dff_authority_save(); returns the length */
size_t authority_state_save(const authority_state_t *state, const char *writer,
    uint64_t incarnation, uint8_t **data);

/** authority_state_load() - like dff_authority_load() */
int authority_state_load(authority_state_t *state, const uint8_t *data,
    size_t len, uint64_t first, dff_time_t now);

#endif
