/*
 * The authority stream as state: leases, drain marks and orders. A pure
 * function of the stream's prefix, but for the moments at which this node
 * read a lease, which no snapshot carries.
 */
#ifndef AUTHORITY_STATE_H
#define AUTHORITY_STATE_H

#include <glib.h>

#include "dragonflyfall/authority.h"
#include "proto/dragonflyfall.pb-c.h"

#define SHARD_NAME_MAX (DFF_NAME_MAX * 2)
/* Version of the records written and read. */
#define AUTHORITY_RECORD 1

/** enum order_outcome - OrderOutcome.outcome, as written in records */
typedef enum order_outcome {
	OUTCOME_NONE,
	OUTCOME_DONE,
	OUTCOME_REFUSED, /* the engine cannot do it */
	OUTCOME_CRASHED, /* the engine's process ended on the way */
	OUTCOME_BUSY, /* it would not run dry */
	OUTCOME_UNREACHABLE, /* it does not answer */
	OUTCOME_CANCELLED, /* never sent */
	OUTCOME_FAILED, /* it took the order and is not what it should be */
} order_outcome_t;

/** outcome_name() - "done", "refused", ... */
const char *outcome_name(order_outcome_t outcome);

/**
 * struct lease - the lease of one shard
 * @shard: "pool@domain"
 * @holder: VM id
 * @incarnation: holder's process
 * @fence: offset of the claim
 * @last: offset of the last claim or renewal
 * @term: length
 * @released: given back
 * @read_at: moment at which this node read the last of its records
 */
typedef struct lease {
	char shard[SHARD_NAME_MAX];
	char holder[DFF_NAME_MAX];
	uint64_t incarnation;
	uint64_t fence;
	uint64_t last;
	dff_time_t term;
	bool released;
	dff_time_t read_at;
} lease_t;

/**
 * struct mark - an engine that gets no new work
 * @vm: VM id of the engine
 * @shard: its shard
 * @offset: offset of the mark
 * @weights: the change loads weights
 */
typedef struct mark {
	char vm[DFF_NAME_MAX];
	char shard[SHARD_NAME_MAX];
	uint64_t offset;
	bool weights;
} mark_t;

/** struct sender - a process that may have a copy of an order under way */
typedef struct sender {
	char node[DFF_NAME_MAX];
	uint64_t incarnation;
	uint64_t fence;
} sender_t;

/**
 * struct intent - an order, from its intent on
 * @order: offset of the intent
 * @shard: shard of the engine
 * @vm: VM id of the engine
 * @vm_incarnation: engine's process when the intent was written
 * @kind: what changes
 * @target: to what
 * @writer: who wrote it
 * @sequence: writer's number of the record
 * @open: no outcome is recorded
 * @senders: sender_t; an order that is closed stays while there are any
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
	GTree *marks; /* vm -> mark_t, owned */
	GPtrArray *intents; /* intent_t in order of offset, owned */
	uint64_t applied;
} authority_state_t;

/** name_compare() - order of names, for trees */
gint name_compare(gconstpointer a, gconstpointer b, gpointer arg);

/** authority_state_init() - state before the first record */
void authority_state_init(authority_state_t *state);

/** authority_state_clear() - free what the state owns */
void authority_state_clear(authority_state_t *state);

/** authority_state_lease() - a shard's lease, or NULL if it never had one */
lease_t *authority_state_lease(
    const authority_state_t *state, const char *shard);

/** authority_state_mark() - an engine's drain mark, or NULL */
const mark_t *authority_state_mark(
    const authority_state_t *state, const char *vm);

/** authority_state_marked() - the mark that is on in a shard, or NULL */
const mark_t *authority_state_marked(
    const authority_state_t *state, const char *shard);

/** authority_state_open() - the order of a shard without outcome, or NULL */
const intent_t *authority_state_open(
    const authority_state_t *state, const char *shard);

/** authority_state_order() - an order by its id, or NULL */
const intent_t *authority_state_order(
    const authority_state_t *state, uint64_t order);

/** lease_is_held_by() - the log says that this process holds it */
bool lease_is_held_by(
    const lease_t *lease, const char *node, uint64_t incarnation);

/**
 * authority_state_apply() - apply one decoded record
 *
 * A record that comes from a process without the shard's lease, or that
 * does not fit the state, changes nothing; every node sees that alike.
 *
 * Return: 1 if drain marks changed, 0 if not, -EINVAL for a record that is
 * not of this stream or malformed.
 */
int authority_state_apply(authority_state_t *state, const Dff__Record *record,
    uint64_t offset, dff_time_t now);

/** authority_state_save() - as dff_authority_save(); returns the length */
size_t authority_state_save(const authority_state_t *state, const char *writer,
    uint64_t incarnation, uint8_t **data);

/** authority_state_load() - as dff_authority_load() */
int authority_state_load(authority_state_t *state, const uint8_t *data,
    size_t len, uint64_t first, dff_time_t now);

#endif
