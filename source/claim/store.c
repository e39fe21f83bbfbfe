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
free_claimed_key(gpointer value)
{
	claimed_key_t *claimed = value;

	g_free(claimed->content_type);
	g_free(claimed->body);
	g_free(claimed);
}

void
claim_store_init(claim_store_t *store)
{
	memset(store, 0, sizeof(*store));
	store->by_key = g_hash_table_new_full(
	    claim_key_hash, claim_key_equal, NULL, free_claimed_key);
	g_queue_init(&store->by_last_update);
}

void
claim_store_clear(claim_store_t *store)
{
	g_queue_clear(&store->by_last_update);
	g_hash_table_unref(store->by_key);
	store->by_key = NULL;
}

claimed_key_t *
claim_store_find(const claim_store_t *store, dff_key_t key)
{
	return g_hash_table_lookup(store->by_key, &key);
}

static void
discard_answer(claim_store_t *store, claimed_key_t *claimed)
{
	store->answer_bytes -= claimed->body_len;
	g_free(claimed->content_type);
	g_free(claimed->body);
	claimed->content_type = NULL;
	claimed->body = NULL;
	claimed->body_len = 0;
	claimed->not_kept = true;
}

static void
remove_key(claim_store_t *store, claimed_key_t *claimed)
{
	store->answer_bytes -= claimed->body_len;
	g_queue_delete_link(&store->by_last_update, claimed->update_link);
	g_hash_table_remove(store->by_key, &claimed->key);
}

/* Moves a key to the most recent end of by_last_update. */
static void
mark_updated(claim_store_t *store, claimed_key_t *claimed)
{
	claimed->time_ms = store->clock_ms;
	g_queue_unlink(&store->by_last_update, claimed->update_link);
	g_queue_push_tail_link(&store->by_last_update, claimed->update_link);
}

static void
add_key(claim_store_t *store, claimed_key_t *claimed)
{
	g_hash_table_insert(store->by_key, &claimed->key, claimed);
	g_queue_push_tail(&store->by_last_update, claimed);
	claimed->update_link = g_queue_peek_tail_link(&store->by_last_update);
	store->answer_bytes += claimed->body_len;
}

/*
 * Expiry uses only the platform's clock from the records, and clock_ms never
 * decreases, so every node removes the same keys at the same offset.
 */
void
claim_store_advance_clock(
    claim_store_t *store, uint64_t time_ms, uint64_t retention_ms)
{
	claimed_key_t *oldest;

	store->clock_ms = MAX(store->clock_ms, time_ms);
	while ((oldest = g_queue_peek_head(&store->by_last_update)) != NULL) {
		if (store->clock_ms - oldest->time_ms <= retention_ms &&
		    !(DFF_FAULT(PRUNED_EARLY) &&
			oldest->outcome == CLAIM_OUTCOME_DONE))
			return;
		remove_key(store, oldest);
	}
}

/* Discards answers, oldest first; their keys stay claimed. */
static void
limit_answer_bytes(claim_store_t *store)
{
	GList *link;

	link = g_queue_peek_head_link(&store->by_last_update);
	for (; link != NULL && store->answer_bytes > CLAIM_ANSWER_BYTES_MAX;
	     link = link->next) {
		claimed_key_t *claimed = link->data;

		if (claimed->body_len > 0)
			discard_answer(store, claimed);
	}
}

static bool
outcome_valid(const Dff__ClaimOutcome *outcome)
{
	if (outcome->state < CLAIM_OUTCOME_DONE ||
	    outcome->state > CLAIM_OUTCOME_UNKNOWN)
		return false;
	if (outcome->body.len > DFF_CLAIM_BODY_MAX)
		return false;
	return strlen(outcome->content_type) < CLAIM_CONTENT_TYPE_MAX;
}

bool
claim_store_batch_valid(const Dff__ClaimBatch *batch)
{
	for (size_t i = 0; i < batch->n_outcomes; i++) {
		if (!outcome_valid(batch->outcomes[i]))
			return false;
	}
	return true;
}

bool
claim_store_apply_claim(claim_store_t *store, const Dff__Claim *claim,
    uint64_t offset, const char *writer, uint64_t incarnation)
{
	dff_key_t key = {claim->key_hi, claim->key_lo};
	claimed_key_t *claimed;

	if (claim_store_find(store, key) != NULL)
		return false;
	claimed = g_new0(claimed_key_t, 1);
	claimed->key = key;
	claimed->body_hash = claim->body_hash;
	claimed->offset = offset;
	claimed->incarnation = incarnation;
	claimed->time_ms = store->clock_ms;
	(void)dff_name_copy(claimed->holder, writer);
	add_key(store, claimed);
	return true;
}

static void
store_outcome(claim_store_t *store, claimed_key_t *claimed,
    const Dff__ClaimOutcome *outcome)
{
	claimed->outcome = outcome->state;
	claimed->status = (int)outcome->status;
	claimed->not_kept = outcome->not_kept;
	claimed->content_type = g_strdup(outcome->content_type);
	if (outcome->body.len > 0)
		claimed->body =
		    g_memdup2(outcome->body.data, outcome->body.len);
	claimed->body_len = outcome->body.len;
	store->answer_bytes += claimed->body_len;
}

bool
claim_store_apply_outcome(claim_store_t *store,
    const Dff__ClaimOutcome *outcome, const char *writer, uint64_t incarnation)
{
	dff_key_t key = {outcome->key_hi, outcome->key_lo};
	claimed_key_t *claimed;

	claimed = claim_store_find(store, key);
	if (claimed == NULL || claimed->outcome != CLAIM_OUTCOME_NONE)
		return false;
	/* Only the process that made a claim may end it. */
	if (claimed->offset != outcome->claim ||
	    claimed->incarnation != incarnation ||
	    strcmp(claimed->holder, writer) != 0)
		return false;
	if (outcome->state == CLAIM_OUTCOME_RELEASED) {
		remove_key(store, claimed);
		return true;
	}
	store_outcome(store, claimed, outcome);
	mark_updated(store, claimed);
	limit_answer_bytes(store);
	return true;
}

/* ---- snapshots ---- */

static void
encode_key(const claimed_key_t *claimed, Dff__ClaimHeld *out)
{
	out->claim->key_hi = claimed->key.hi;
	out->claim->key_lo = claimed->key.lo;
	out->claim->body_hash = claimed->body_hash;
	out->offset = claimed->offset;
	out->holder = (char *)claimed->holder;
	out->incarnation = claimed->incarnation;
	out->time_ms = claimed->time_ms;
	if (claimed->outcome == CLAIM_OUTCOME_NONE) {
		out->outcome = NULL;
		return;
	}
	out->outcome->state = claimed->outcome;
	out->outcome->status = (uint32_t)claimed->status;
	out->outcome->not_kept = claimed->not_kept;
	if (claimed->content_type != NULL)
		out->outcome->content_type = claimed->content_type;
	out->outcome->body.data = claimed->body;
	out->outcome->body.len = claimed->body_len;
}

/* One key of a snapshot with the messages that it points to. */
typedef struct snapshot_row {
	Dff__ClaimHeld held;
	Dff__Claim claim;
	Dff__ClaimOutcome outcome;
} snapshot_row_t;

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
	size_t count = store->by_last_update.length;
	Dff__ClaimHeld **list = g_new(Dff__ClaimHeld *, count + 1);
	snapshot_row_t *rows = g_new(snapshot_row_t, count + 1);
	GList *link = store->by_last_update.head;
	size_t len;

	for (size_t i = 0; i < count; i++, link = link->next) {
		dff__claim_held__init(&rows[i].held);
		dff__claim__init(&rows[i].claim);
		dff__claim_outcome__init(&rows[i].outcome);
		rows[i].held.claim = &rows[i].claim;
		rows[i].held.outcome = &rows[i].outcome;
		encode_key(link->data, &rows[i].held);
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
load_key(claim_store_t *store, const Dff__ClaimHeld *in)
{
	dff_key_t key;
	claimed_key_t *claimed;

	if (in->claim == NULL || strlen(in->holder) >= DFF_NAME_MAX)
		return false;
	if (in->outcome != NULL &&
	    (!outcome_valid(in->outcome) ||
		in->outcome->state == CLAIM_OUTCOME_RELEASED))
		return false;
	key = (dff_key_t){in->claim->key_hi, in->claim->key_lo};
	if (claim_store_find(store, key) != NULL)
		return false;
	(void)claim_store_apply_claim(
	    store, in->claim, in->offset, in->holder, in->incarnation);
	claimed = claim_store_find(store, key);
	claimed->time_ms = in->time_ms;
	if (in->outcome != NULL)
		store_outcome(store, claimed, in->outcome);
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
		if (!load_key(store, snapshot->held[i]))
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
