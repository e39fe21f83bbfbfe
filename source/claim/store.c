#include "claim/store.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/fault.h"

guint
claim_key_hash(gconstpointer key)
{
	const dff_key_t *k = key;

	return (guint)k->lo;
}

gboolean
claim_key_equal(gconstpointer a, gconstpointer b)
{
	const dff_key_t *x = a;
	const dff_key_t *y = b;

	return x->hi == y->hi && x->lo == y->lo;
}

static void
free_held(gpointer value)
{
	held_t *held = value;

	g_free(held->content_type);
	g_free(held->body);
	g_free(held);
}

void
claim_store_init(claim_store_t *store)
{
	memset(store, 0, sizeof(*store));
	store->by_key = g_hash_table_new_full(
	    claim_key_hash, claim_key_equal, NULL, free_held);
	g_queue_init(&store->by_age);
}

void
claim_store_clear(claim_store_t *store)
{
	g_queue_clear(&store->by_age);
	g_hash_table_unref(store->by_key);
	store->by_key = NULL;
}

held_t *
claim_store_find(const claim_store_t *store, dff_key_t key)
{
	return g_hash_table_lookup(store->by_key, &key);
}

static void
forget_answer(claim_store_t *store, held_t *held)
{
	store->kept_bytes -= held->len;
	g_free(held->content_type);
	g_free(held->body);
	held->content_type = NULL;
	held->body = NULL;
	held->len = 0;
	held->not_kept = true;
}

static void
remove_held(claim_store_t *store, held_t *held)
{
	store->kept_bytes -= held->len;
	g_queue_delete_link(&store->by_age, held->link);
	g_hash_table_remove(store->by_key, &held->key);
}

/* The youngest end of the order of age. */
static void
touch(claim_store_t *store, held_t *held)
{
	held->time_ms = store->clock_ms;
	g_queue_unlink(&store->by_age, held->link);
	g_queue_push_tail_link(&store->by_age, held->link);
}

static void
add_held(claim_store_t *store, held_t *held)
{
	g_hash_table_insert(store->by_key, &held->key, held);
	g_queue_push_tail(&store->by_age, held);
	held->link = g_queue_peek_tail_link(&store->by_age);
	store->kept_bytes += held->len;
}

/*
 * Only the platform's clock counts, and it never goes back here, so every
 * node prunes the same keys at the same offset.
 */
void
claim_store_tick(claim_store_t *store, uint64_t time_ms, uint64_t window_ms)
{
	held_t *oldest;

	store->clock_ms = MAX(store->clock_ms, time_ms);
	while ((oldest = g_queue_peek_head(&store->by_age)) != NULL) {
		if (store->clock_ms - oldest->time_ms <= window_ms &&
		    !(DFF_FAULT(PRUNED_EARLY) && oldest->state == HELD_DONE))
			return;
		remove_held(store, oldest);
	}
}

/* Answers are dropped oldest first; their keys stay held. */
static void
bound_answers(claim_store_t *store)
{
	GList *link;

	link = g_queue_peek_head_link(&store->by_age);
	for (; link != NULL && store->kept_bytes > CLAIM_KEPT_MAX;
	     link = link->next) {
		held_t *held = link->data;

		if (held->len > 0)
			forget_answer(store, held);
	}
}

static bool
check_outcome(const Dff__ClaimOutcome *outcome)
{
	if (outcome->state < HELD_DONE || outcome->state > HELD_UNKNOWN)
		return false;
	if (outcome->body.len > DFF_CLAIM_BODY_MAX)
		return false;
	return strlen(outcome->content_type) < CLAIM_TYPE_MAX;
}

bool
claim_store_check(const Dff__ClaimBatch *batch)
{
	for (size_t i = 0; i < batch->n_outcomes; i++) {
		if (!check_outcome(batch->outcomes[i]))
			return false;
	}
	return true;
}

bool
claim_store_claim(claim_store_t *store, const Dff__Claim *claim,
    uint64_t offset, const char *writer, uint64_t incarnation)
{
	dff_key_t key = {claim->key_hi, claim->key_lo};
	held_t *held;

	if (claim_store_find(store, key) != NULL)
		return false;
	held = g_new0(held_t, 1);
	held->key = key;
	held->body_hash = claim->body_hash;
	held->offset = offset;
	held->incarnation = incarnation;
	held->time_ms = store->clock_ms;
	(void)dff_name_copy(held->holder, writer);
	add_held(store, held);
	return true;
}

static void
keep_answer(
    claim_store_t *store, held_t *held, const Dff__ClaimOutcome *outcome)
{
	held->state = outcome->state;
	held->status = (int)outcome->status;
	held->not_kept = outcome->not_kept;
	held->content_type = g_strdup(outcome->content_type);
	if (outcome->body.len > 0)
		held->body = g_memdup2(outcome->body.data, outcome->body.len);
	held->len = outcome->body.len;
	store->kept_bytes += held->len;
}

bool
claim_store_outcome(claim_store_t *store, const Dff__ClaimOutcome *outcome,
    const char *writer, uint64_t incarnation)
{
	dff_key_t key = {outcome->key_hi, outcome->key_lo};
	held_t *held;

	held = claim_store_find(store, key);
	if (held == NULL || held->state != HELD_OPEN)
		return false;
	/* A claim is given back by nobody but the process that made it. */
	if (held->offset != outcome->claim ||
	    held->incarnation != incarnation ||
	    strcmp(held->holder, writer) != 0)
		return false;
	if (outcome->state == HELD_RELEASED) {
		remove_held(store, held);
		return true;
	}
	keep_answer(store, held, outcome);
	touch(store, held);
	bound_answers(store);
	return true;
}

/* ---- snapshots ---- */

static void
encode_held(const held_t *held, Dff__ClaimHeld *out)
{
	out->claim->key_hi = held->key.hi;
	out->claim->key_lo = held->key.lo;
	out->claim->body_hash = held->body_hash;
	out->offset = held->offset;
	out->holder = (char *)held->holder;
	out->incarnation = held->incarnation;
	out->time_ms = held->time_ms;
	if (held->state == HELD_OPEN) {
		out->outcome = NULL;
		return;
	}
	out->outcome->state = held->state;
	out->outcome->status = (uint32_t)held->status;
	out->outcome->not_kept = held->not_kept;
	if (held->content_type != NULL)
		out->outcome->content_type = held->content_type;
	out->outcome->body.data = held->body;
	out->outcome->body.len = held->len;
}

/* One row with the messages that it points to. */
typedef struct row {
	Dff__ClaimHeld held;
	Dff__Claim claim;
	Dff__ClaimOutcome outcome;
} row_t;

static uint64_t
hash_snapshot(Dff__ClaimsSnapshot *snapshot)
{
	uint64_t hash;
	size_t len;
	uint8_t *data;

	snapshot->hash = 0;
	len = dff__claims_snapshot__get_packed_size(snapshot);
	data = g_malloc(len + 1);
	(void)dff__claims_snapshot__pack(snapshot, data);
	hash = dff_hash(data, len, 0);
	g_free(data);
	return hash;
}

size_t
claim_store_save(const claim_store_t *store, const char *writer,
    uint64_t incarnation, uint8_t **data)
{
	Dff__ClaimsSnapshot snapshot = DFF__CLAIMS_SNAPSHOT__INIT;
	Dff__Record record = DFF__RECORD__INIT;
	size_t count = store->by_age.length;
	Dff__ClaimHeld **list = g_new(Dff__ClaimHeld *, count + 1);
	row_t *rows = g_new(row_t, count + 1);
	GList *link = store->by_age.head;
	size_t len;

	for (size_t i = 0; i < count; i++, link = link->next) {
		dff__claim_held__init(&rows[i].held);
		dff__claim__init(&rows[i].claim);
		dff__claim_outcome__init(&rows[i].outcome);
		rows[i].held.claim = &rows[i].claim;
		rows[i].held.outcome = &rows[i].outcome;
		encode_held(link->data, &rows[i].held);
		list[i] = &rows[i].held;
	}
	snapshot.through = store->applied;
	snapshot.clock_ms = store->clock_ms;
	snapshot.n_held = count;
	snapshot.held = list;
	snapshot.hash = hash_snapshot(&snapshot);
	record.version = CLAIM_RECORD_VERSION;
	record.writer = (char *)writer;
	record.incarnation = incarnation;
	record.body_case = DFF__RECORD__BODY_CLAIMS_SNAPSHOT;
	record.claims_snapshot = &snapshot;
	len = dff__record__get_packed_size(&record);
	*data = malloc(len + 1);
	if (*data == NULL)
		abort();
	(void)dff__record__pack(&record, *data);
	g_free(rows);
	g_free(list);
	return len;
}

static bool
load_held(claim_store_t *store, const Dff__ClaimHeld *in)
{
	dff_key_t key;
	held_t *held;

	if (in->claim == NULL || strlen(in->holder) >= DFF_NAME_MAX)
		return false;
	if (in->outcome != NULL &&
	    (!check_outcome(in->outcome) ||
		in->outcome->state == HELD_RELEASED))
		return false;
	key = (dff_key_t){in->claim->key_hi, in->claim->key_lo};
	if (claim_store_find(store, key) != NULL)
		return false;
	(void)claim_store_claim(
	    store, in->claim, in->offset, in->holder, in->incarnation);
	held = claim_store_find(store, key);
	held->time_ms = in->time_ms;
	if (in->outcome != NULL)
		keep_answer(store, held, in->outcome);
	return true;
}

static int
load_snapshot(claim_store_t *store, Dff__ClaimsSnapshot *snapshot)
{
	uint64_t hash = snapshot->hash;

	if (hash_snapshot(snapshot) != hash)
		return -EINVAL;
	store->applied = snapshot->through;
	store->clock_ms = snapshot->clock_ms;
	for (size_t i = 0; i < snapshot->n_held; i++) {
		if (!load_held(store, snapshot->held[i]))
			return -EINVAL;
	}
	return 0;
}

int
claim_store_load(
    claim_store_t *store, const uint8_t *data, size_t len, uint64_t first)
{
	claim_store_t fresh;
	Dff__Record *record;
	int err = -EINVAL;

	record = dff__record__unpack(NULL, len, data);
	if (record == NULL)
		return -EINVAL;
	if (record->version != CLAIM_RECORD_VERSION ||
	    record->body_case != DFF__RECORD__BODY_CLAIMS_SNAPSHOT)
		goto out;
	err = -EALREADY;
	if (record->claims_snapshot->through <= store->applied)
		goto out;
	err = -ERANGE;
	if (record->claims_snapshot->through + 1 < first)
		goto out;
	claim_store_init(&fresh);
	err = load_snapshot(&fresh, record->claims_snapshot);
	if (err != 0) {
		claim_store_clear(&fresh);
		goto out;
	}
	claim_store_clear(store);
	*store = fresh;
out:
	dff__record__free_unpacked(record, NULL);
	return err;
}
