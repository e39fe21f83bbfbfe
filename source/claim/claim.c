/*
 * This node's calls that wait for a claim or hold one, and the batches that
 * append claims and outcomes to the stream.
 *
 * A claim whose append may have taken effect is not appended again: only the
 * stream shows whether it did. An outcome names the claim that it ends, so a
 * second copy has no effect, and outcomes are appended until they are read
 * back.
 */
#include "dragonflyfall/claim.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/fault.h"
#include "claim/store.h"

/*
 * Least time between flushes, in batch delays. It bounds a busy node's share
 * of the log, while an idle node waits for one batch delay only.
 */
#define APPEND_GAP_BATCHES 6
/* Batch delays that outcomes wait, to share an append with claims. */
#define OUTCOME_DELAY_BATCHES 20
/* Batch delays before a refused append is retried. */
#define REFUSED_DELAY_BATCHES 4
/*
 * Age, by the platform's clock, after which another node's claim without an
 * outcome counts as unknown.
 */
#define OPEN_CLAIM_MAX_MS (10 * 60 * 1000)
/* Sweeps for timed-out claims per decision_timeout. */
#define SWEEPS_PER_TIMEOUT 4

static const char not_kept_content_type[] = "application/json";
static const char not_kept_body[] =
    "{\"error\":{\"code\":\"answer_not_kept\",\"ran\":\"ran\","
    "\"message\":\"the call was done; its answer was not kept\"}}";

/** enum local_state - progress of a claim of this node */
typedef enum local_state {
	LOCAL_QUEUED, /* the claim waits for a batch */
	LOCAL_APPENDED, /* in an append; undecided until read back */
	LOCAL_RUNNING, /* the claim was won; the call may be executed */
	LOCAL_OUTCOME_QUEUED, /* the outcome waits for a batch */
	LOCAL_OUTCOME_APPENDED, /* the outcome is in an append */
} local_state_t;

/**
 * struct local_claim - a claim of this node
 * @key: key
 * @body_hash: hash of the request
 * @call: handle of the call
 * @state: progress
 * @since: time of the request; for an outcome, time of entering @state
 * @append: id of the append that contains it
 * @claim: offset of the claim in the stream, once won
 * @verdict_taken: the node has taken the verdict
 * @outcome: outcome to record
 * @status: HTTP status, with CLAIM_OUTCOME_DONE
 * @content_type: owned, or NULL
 * @body: owned, or NULL
 * @len: size of @body in bytes
 * @not_kept: the answer is too large to be stored
 */
typedef struct local_claim {
	dff_key_t key;
	uint64_t body_hash;
	uint64_t call;
	local_state_t state;
	dff_time_t since;
	uint64_t append;
	uint64_t claim;
	bool verdict_taken;
	claim_outcome_t outcome;
	int status;
	char *content_type;
	uint8_t *body;
	size_t len;
	bool not_kept;
} local_claim_t;

/* A verdict not yet taken. The answer is looked up when it is taken. */
typedef struct pending_verdict {
	uint64_t call;
	dff_key_t key;
	dff_claim_state_t state;
} pending_verdict_t;

struct dff_claims {
	dff_claims_config_t config;
	dff_timers_t *timers;
	claim_store_t store;
	GHashTable *local_claims; /* dff_key_t -> local_claim_t, owned */
	GQueue append_queue; /* local_claim_t to append, borrowed */
	GHashTable *in_flight; /* ids of appends without a result */
	GHashTable *latest_incarnation; /* node -> highest that wrote */
	GHashTable *ended_incarnation; /* node -> highest that ended */
	GQueue verdicts; /* pending_verdict_t */
	uint64_t next_append;
	dff_time_t flush_at;
	dff_time_t last_flush_at;
	dff_time_t sweep_at;
	dff_time_t now;
};

static const char *const state_names[] = {
    "wait", "won", "repeated", "running", "unknown", "mismatch", "down"};

const char *
dff_claim_state_name(dff_claim_state_t state)
{
	return state < G_N_ELEMENTS(state_names) ? state_names[state] : "?";
}

dff_key_t
dff_key_make(const char *owner, const char *entry, const char *idempotency_key)
{
	const char *const parts[] = {owner, entry, idempotency_key};
	dff_key_t key = {1, 2};

	/* The NUL is hashed too, so that it separates the parts. */
	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
		size_t len = strlen(parts[i]) + 1;

		key.hi = dff_hash(parts[i], len, key.hi);
		key.lo = dff_hash(parts[i], len, key.lo);
	}
	return key;
}

static void
free_local(gpointer value)
{
	local_claim_t *local = value;

	g_free(local->content_type);
	g_free(local->body);
	g_free(local);
}

dff_claims_t *
dff_claims_new(
    dff_ctx_t *ctx, const dff_claims_config_t *config, dff_timers_t *timers)
{
	dff_claims_t *claims;

	claims = g_new0(dff_claims_t, 1);
	claims->config = *config;
	claims->timers = timers;
	claim_store_init(&claims->store);
	claims->local_claims = g_hash_table_new_full(
	    claim_key_hash, claim_key_equal, NULL, free_local);
	claims->in_flight =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	claims->latest_incarnation =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	claims->ended_incarnation =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_queue_init(&claims->append_queue);
	g_queue_init(&claims->verdicts);
	claims->next_append = DFF_CLAIM_APPEND_TAG;
	claims->flush_at = DFF_TIME_NEVER;
	claims->last_flush_at = INT64_MIN / 2;
	claims->sweep_at = DFF_TIME_NEVER;
	/* This process runs, so earlier ones of this node have ended. */
	if (config->incarnation > 0)
		dff_claims_holder_ended(
		    ctx, claims, config->node, config->incarnation - 1);
	return claims;
}

void
dff_claims_drop(dff_claims_t *claims)
{
	if (claims == NULL)
		return;
	g_queue_clear_full(&claims->verdicts, g_free);
	g_queue_clear(&claims->append_queue);
	g_hash_table_unref(claims->local_claims);
	g_hash_table_unref(claims->in_flight);
	g_hash_table_unref(claims->latest_incarnation);
	g_hash_table_unref(claims->ended_incarnation);
	claim_store_clear(&claims->store);
	g_free(claims);
}

/* ---- state of a key ---- */

static bool
is_own(const dff_claims_t *claims, const claimed_key_t *claimed)
{
	return claimed->incarnation == claims->config.incarnation &&
	    strcmp(claimed->holder, claims->config.node) == 0;
}

static bool
process_ended(
    const dff_claims_t *claims, const char *node, uint64_t incarnation)
{
	const uint64_t *ended =
	    g_hash_table_lookup(claims->ended_incarnation, node);

	return ended != NULL && incarnation <= *ended;
}

static void
fill_answer(const claimed_key_t *claimed, dff_claim_answer_t *answer)
{
	if (claimed->not_kept) {
		answer->status = DFF_CLAIM_NOT_KEPT_STATUS;
		answer->content_type = not_kept_content_type;
		answer->body = (const uint8_t *)not_kept_body;
		answer->len = sizeof(not_kept_body) - 1;
		return;
	}
	answer->status = claimed->status;
	answer->content_type =
	    claimed->content_type != NULL ? claimed->content_type : "";
	answer->body = claimed->body;
	answer->len = claimed->body_len;
}

/*
 * No call stays in progress for this long. The check serves a node that does
 * not know the holder's process and so cannot learn that it has ended.
 */
static bool
is_stale(const dff_claims_t *claims, const claimed_key_t *claimed)
{
	return claims->store.clock_ms - claimed->time_ms > OPEN_CLAIM_MAX_MS;
}

/* State for a call whose key is claimed by another call. */
static dff_claim_state_t
state_for_claimed_key(const dff_claims_t *claims, const claimed_key_t *claimed,
    uint64_t body_hash)
{
	if (claimed->body_hash != body_hash && !DFF_FAULT(BODY_UNCHECKED))
		return DFF_CLAIM_MISMATCH;
	switch (claimed->outcome) {
	case CLAIM_OUTCOME_DONE:
		return DFF_CLAIM_REPLAYED;
	case CLAIM_OUTCOME_UNKNOWN:
		return DFF_CLAIM_UNKNOWN;
	case CLAIM_OUTCOME_NONE:
	case CLAIM_OUTCOME_RELEASED:
		break;
	}
	if (!is_own(claims, claimed) &&
	    (process_ended(claims, claimed->holder, claimed->incarnation) ||
		is_stale(claims, claimed)))
		return DFF_FAULT(GONE_IS_NOT_RUN) ? DFF_CLAIM_NOT_EXECUTED :
						    DFF_CLAIM_UNKNOWN;
	return DFF_CLAIM_RUNNING;
}

static void
log_verdict(dff_ctx_t *ctx, const dff_claims_t *claims, dff_key_t key,
    uint64_t call, dff_claim_state_t state, uint64_t offset)
{
	dff_log(ctx, DFF_LOG_DEBUG, "claim",
	    "decided. call=%s-%" G_GUINT64_FORMAT " key=%016" G_GINT64_MODIFIER
	    "x%016" G_GINT64_MODIFIER "x state=%s offset=%" G_GUINT64_FORMAT,
	    claims->config.node, call, key.hi, key.lo,
	    dff_claim_state_name(state), offset);
}

/* ---- batches ---- */

static void
schedule_flush(dff_claims_t *claims, dff_time_t at)
{
	dff_time_t gap = APPEND_GAP_BATCHES * claims->config.batch_delay;

	at = MAX(at, claims->last_flush_at + gap);
	if (at >= claims->flush_at)
		return;
	claims->flush_at = at;
	dff_timers_set(claims->timers, DFF_TIMER_CLAIM_FLUSH, 0, at);
}

static void
schedule_sweep(dff_claims_t *claims, dff_time_t now)
{
	if (claims->sweep_at != DFF_TIME_NEVER)
		return;
	claims->sweep_at =
	    now + claims->config.decision_timeout / SWEEPS_PER_TIMEOUT;
	dff_timers_set(
	    claims->timers, DFF_TIMER_CLAIM_SWEEP, 0, claims->sweep_at);
}

static void
pack_outcome(const local_claim_t *local, Dff__ClaimOutcome *out)
{
	dff__claim_outcome__init(out);
	out->key_hi = local->key.hi;
	out->key_lo = local->key.lo;
	out->claim = local->claim;
	out->state = local->outcome;
	out->status = (uint32_t)local->status;
	out->not_kept = local->not_kept;
	if (local->content_type != NULL)
		out->content_type = local->content_type;
	out->body.data = local->body;
	out->body.len = local->len;
}

static void
pack_claim(const local_claim_t *local, Dff__Claim *out)
{
	dff__claim__init(out);
	out->key_hi = local->key.hi;
	out->key_lo = local->key.lo;
	out->body_hash = local->body_hash;
}

static void
add_append(dff_claims_t *claims, Dff__ClaimBatch *batch, uint64_t id,
    dff_effects_t *fx)
{
	Dff__Record record = DFF__RECORD__INIT;
	dff_effect_t *effect;
	uint8_t *data;
	size_t len;

	record.version = CLAIM_RECORD_VERSION;
	record.writer = claims->config.node;
	record.incarnation = claims->config.incarnation;
	record.body_case = DFF__RECORD__BODY_CLAIMS;
	record.claims = batch;
	len = dff__record__get_packed_size(&record);
	data = g_malloc(len);
	(void)dff__record__pack(&record, data);
	effect = dff_effects_add(fx, DFF_FX_LOG_APPEND);
	effect->u.log_append.id = id;
	effect->u.log_append.stream = DFF_STREAM_CLAIMS;
	effect->u.log_append.data = dff_effects_copy(fx, data, len);
	effect->u.log_append.len = len;
	g_free(data);
	g_hash_table_add(claims->in_flight, g_memdup2(&id, sizeof(id)));
}

/* Appends up to batch_max queued claims and outcomes as one record. */
static void
append_batch(
    dff_ctx_t *ctx, dff_claims_t *claims, dff_time_t now, dff_effects_t *fx)
{
	Dff__ClaimBatch batch = DFF__CLAIM_BATCH__INIT;
	guint count =
	    MIN(claims->append_queue.length, claims->config.batch_max);
	Dff__Claim *claim = g_new(Dff__Claim, count);
	Dff__ClaimOutcome *outcome = g_new(Dff__ClaimOutcome, count);
	Dff__Claim **claim_list = g_new(Dff__Claim *, count);
	Dff__ClaimOutcome **outcome_list = g_new(Dff__ClaimOutcome *, count);
	uint64_t id = claims->next_append++;

	batch.claims = claim_list;
	batch.outcomes = outcome_list;
	for (guint i = 0; i < count; i++) {
		local_claim_t *local = g_queue_pop_head(&claims->append_queue);

		local->append = id;
		if (local->state == LOCAL_QUEUED) {
			pack_claim(local, &claim[batch.n_claims]);
			claim_list[batch.n_claims] = &claim[batch.n_claims];
			batch.n_claims++;
			local->state = LOCAL_APPENDED;
			continue;
		}
		pack_outcome(local, &outcome[batch.n_outcomes]);
		outcome_list[batch.n_outcomes] = &outcome[batch.n_outcomes];
		batch.n_outcomes++;
		local->state = LOCAL_OUTCOME_APPENDED;
		local->since = now;
	}
	add_append(claims, &batch, id, fx);
	dff_log(ctx, DFF_LOG_DEBUG, "claim",
	    "appended a batch. claims=%zu outcomes=%zu", batch.n_claims,
	    batch.n_outcomes);
	g_free(claim);
	g_free(outcome);
	g_free(claim_list);
	g_free(outcome_list);
}

static void
flush(dff_ctx_t *ctx, dff_claims_t *claims, dff_time_t now, dff_effects_t *fx)
{
	claims->flush_at = DFF_TIME_NEVER;
	if (claims->append_queue.length > 0)
		claims->last_flush_at = now;
	dff_timers_cancel(claims->timers, DFF_TIMER_CLAIM_FLUSH, 0);
	while (claims->append_queue.length > 0)
		append_batch(ctx, claims, now, fx);
}

static void
queue_local(dff_ctx_t *ctx, dff_claims_t *claims, local_claim_t *local,
    dff_time_t wait, dff_time_t now, dff_effects_t *fx)
{
	g_queue_push_tail(&claims->append_queue, local);
	schedule_sweep(claims, now);
	if (fx != NULL &&
	    claims->append_queue.length >= claims->config.batch_max)
		flush(ctx, claims, now, fx);
	else
		schedule_flush(claims, now + wait);
}

/* ---- calls ---- */

static void
add_verdict(dff_ctx_t *ctx, dff_claims_t *claims, const local_claim_t *local,
    dff_claim_state_t state, uint64_t offset)
{
	pending_verdict_t *pending;

	pending = g_new0(pending_verdict_t, 1);
	pending->call = local->call;
	pending->key = local->key;
	pending->state = state;
	g_queue_push_tail(&claims->verdicts, pending);
	log_verdict(ctx, claims, local->key, local->call, state, offset);
}

static void
remove_local(dff_claims_t *claims, local_claim_t *local)
{
	g_queue_remove(&claims->append_queue, local);
	g_hash_table_remove(claims->local_claims, &local->key);
}

/* Ends a won claim. If @fx is NULL, a timer appends the outcome. */
static void
queue_outcome(dff_ctx_t *ctx, dff_claims_t *claims, local_claim_t *local,
    claim_outcome_t outcome, dff_time_t now, dff_effects_t *fx)
{
	dff_time_t wait = claims->config.batch_delay;

	/* A caller may be retrying a released key; other outcomes can wait. */
	if (outcome != CLAIM_OUTCOME_RELEASED)
		wait *= OUTCOME_DELAY_BATCHES;
	local->outcome = outcome;
	local->state = LOCAL_OUTCOME_QUEUED;
	local->since = now;
	queue_local(ctx, claims, local, wait, now, fx);
}

dff_claim_state_t
dff_claims_begin(dff_ctx_t *ctx, dff_claims_t *claims, dff_key_t key,
    uint64_t body_hash, uint64_t call, bool log_up, dff_time_t now,
    dff_effects_t *fx, dff_claim_answer_t *answer)
{
	dff_claim_state_t state;
	const claimed_key_t *claimed;
	local_claim_t *local;

	claims->now = now;
	claimed = claim_store_find(&claims->store, key);
	local = g_hash_table_lookup(claims->local_claims, &key);
	if (claimed != NULL) {
		state = state_for_claimed_key(claims, claimed, body_hash);
		if (state == DFF_CLAIM_REPLAYED)
			fill_answer(claimed, answer);
	} else if (local != NULL) {
		state = local->body_hash == body_hash ? DFF_CLAIM_RUNNING :
							DFF_CLAIM_MISMATCH;
	} else if (!log_up) {
		state = DFF_CLAIM_NOT_EXECUTED;
	} else {
		state = DFF_CLAIM_WAIT;
	}
	if (state != DFF_CLAIM_WAIT) {
		log_verdict(ctx, claims, key, call, state,
		    claimed != NULL ? claimed->offset : 0);
		return state;
	}
	local = g_new0(local_claim_t, 1);
	local->key = key;
	local->body_hash = body_hash;
	local->call = call;
	local->since = now;
	g_hash_table_insert(claims->local_claims, &local->key, local);
	queue_local(ctx, claims, local, claims->config.batch_delay, now, fx);
	return DFF_CLAIM_WAIT;
}

static local_claim_t *
find_local_by_call(const dff_claims_t *claims, uint64_t call)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, claims->local_claims);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		local_claim_t *local = value;

		if (local->call == call && local->state <= LOCAL_RUNNING)
			return local;
	}
	return NULL;
}

static void
discard_verdict(dff_claims_t *claims, uint64_t call)
{
	for (GList *link = claims->verdicts.head; link != NULL;
	     link = link->next) {
		pending_verdict_t *pending = link->data;

		if (pending->call != call)
			continue;
		g_free(pending);
		g_queue_delete_link(&claims->verdicts, link);
		return;
	}
}

void
dff_claims_abandon(dff_ctx_t *ctx, dff_claims_t *claims, uint64_t call)
{
	local_claim_t *local;

	discard_verdict(claims, call);
	local = find_local_by_call(claims, call);
	if (local == NULL || DFF_FAULT(ABANDONED_WINS))
		return;
	if (local->state != LOCAL_RUNNING) {
		/* If it still wins, resolve_claim() releases it. */
		remove_local(claims, local);
		return;
	}
	if (local->verdict_taken)
		return;
	queue_outcome(
	    ctx, claims, local, CLAIM_OUTCOME_RELEASED, claims->now, NULL);
}

static void
set_answer(local_claim_t *local, const dff_claim_answer_t *answer)
{
	const char *type =
	    answer->content_type != NULL ? answer->content_type : "";

	local->status = answer->status;
	if (answer->len > DFF_CLAIM_BODY_MAX ||
	    strlen(type) >= CLAIM_CONTENT_TYPE_MAX) {
		local->not_kept = true;
		return;
	}
	local->content_type = g_strdup(type);
	if (answer->len > 0)
		local->body = g_memdup2(answer->body, answer->len);
	local->len = answer->len;
}

void
dff_claims_finish(dff_ctx_t *ctx, dff_claims_t *claims, dff_key_t key,
    dff_claim_state_t state, const dff_claim_answer_t *answer, dff_time_t now,
    dff_effects_t *fx)
{
	claim_outcome_t outcome = CLAIM_OUTCOME_UNKNOWN;
	local_claim_t *local;

	claims->now = now;
	local = g_hash_table_lookup(claims->local_claims, &key);
	if (local == NULL || local->state != LOCAL_RUNNING)
		return;
	if (state == DFF_CLAIM_NOT_EXECUTED)
		outcome = CLAIM_OUTCOME_RELEASED;
	if (state == DFF_CLAIM_REPLAYED && answer != NULL) {
		outcome = CLAIM_OUTCOME_DONE;
		set_answer(local, answer);
	}
	dff_log(ctx, DFF_LOG_INFO, "claim",
	    "ended. call=%s-%" G_GUINT64_FORMAT " offset=%" G_GUINT64_FORMAT
	    " outcome=%s",
	    claims->config.node, local->call, local->claim,
	    outcome == CLAIM_OUTCOME_RELEASED ? "not_run" :
		outcome == CLAIM_OUTCOME_DONE ? "done" :
						"unknown");
	queue_outcome(ctx, claims, local, outcome, now, fx);
}

bool
dff_claims_next_verdict(dff_claims_t *claims, dff_claim_verdict_t *verdict)
{
	pending_verdict_t *pending;
	const claimed_key_t *claimed;
	local_claim_t *local;

	pending = g_queue_pop_head(&claims->verdicts);
	if (pending == NULL)
		return false;
	memset(verdict, 0, sizeof(*verdict));
	verdict->call = pending->call;
	verdict->state = pending->state;
	if (pending->state == DFF_CLAIM_WON) {
		local =
		    g_hash_table_lookup(claims->local_claims, &pending->key);
		local->verdict_taken = true;
	} else if (pending->state == DFF_CLAIM_REPLAYED) {
		claimed = claim_store_find(&claims->store, pending->key);
		/* The key may have expired since. Then there is no answer
		 * to replay, but the call was executed. */
		if (claimed != NULL)
			fill_answer(claimed, &verdict->answer);
		else
			verdict->state = DFF_CLAIM_UNKNOWN;
	}
	g_free(pending);
	return true;
}

/* ---- appends and timers ---- */

void
dff_claims_appended(dff_ctx_t *ctx, dff_claims_t *claims,
    const dff_ev_log_appended_t *ev, dff_time_t now, dff_effects_t *fx)
{
	GHashTableIter iter;
	gpointer value;

	claims->now = now;
	if (!g_hash_table_remove(claims->in_flight, &ev->id))
		return;
	/* Done or unknown: only the stream shows whether it took effect. */
	if (ev->outcome != DFF_APPEND_REFUSED)
		return;
	dff_log(ctx, DFF_LOG_NOTICE, "claim",
	    "the log refused a batch of claims. append=%" G_GUINT64_FORMAT,
	    ev->id);
	g_hash_table_iter_init(&iter, claims->local_claims);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		local_claim_t *local = value;

		if (local->append != ev->id)
			continue;
		if (local->state == LOCAL_APPENDED)
			local->state = LOCAL_QUEUED;
		else if (local->state == LOCAL_OUTCOME_APPENDED)
			local->state = LOCAL_OUTCOME_QUEUED;
		else
			continue;
		local->append = 0;
		queue_local(ctx, claims, local,
		    claims->config.batch_delay * REFUSED_DELAY_BATCHES, now,
		    NULL);
	}
	(void)fx;
}

/*
 * Answers a call whose claim was not decided in time as not executed. If the
 * claim still appears in the stream, it is released.
 */
static bool
expire_claim(
    dff_ctx_t *ctx, dff_claims_t *claims, local_claim_t *local, dff_time_t now)
{
	if (local->state > LOCAL_APPENDED ||
	    now - local->since < claims->config.decision_timeout)
		return false;
	add_verdict(ctx, claims, local, DFF_CLAIM_NOT_EXECUTED, 0);
	g_queue_remove(&claims->append_queue, local);
	return true;
}

static void
sweep(dff_ctx_t *ctx, dff_claims_t *claims, dff_time_t now)
{
	GHashTableIter iter;
	gpointer value;

	claims->sweep_at = DFF_TIME_NEVER;
	g_hash_table_iter_init(&iter, claims->local_claims);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		local_claim_t *local = value;

		if (expire_claim(ctx, claims, local, now)) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		if (local->state == LOCAL_OUTCOME_APPENDED &&
		    now - local->since >= claims->config.decision_timeout &&
		    !DFF_FAULT(OUTCOME_ONCE)) {
			local->state = LOCAL_OUTCOME_QUEUED;
			g_queue_push_tail(&claims->append_queue, local);
		}
	}
	if (claims->append_queue.length > 0)
		schedule_flush(claims, now + claims->config.batch_delay);
	if (g_hash_table_size(claims->local_claims) > 0)
		schedule_sweep(claims, now);
}

void
dff_claims_timer_due(dff_ctx_t *ctx, dff_claims_t *claims,
    const dff_timer_t *timer, dff_time_t now, dff_effects_t *fx)
{
	claims->now = now;
	if (timer->kind == DFF_TIMER_CLAIM_FLUSH)
		flush(ctx, claims, now, fx);
	else if (timer->kind == DFF_TIMER_CLAIM_SWEEP)
		sweep(ctx, claims, now);
}

void
dff_claims_holder_ended(dff_ctx_t *ctx, dff_claims_t *claims, const char *node,
    uint64_t incarnation)
{
	/* For a removed VM only the known processes have ended: a new VM may
	 * get the same name. */
	if (incarnation == UINT64_MAX) {
		const uint64_t *latest =
		    g_hash_table_lookup(claims->latest_incarnation, node);

		if (latest == NULL)
			return;
		incarnation = *latest;
	}
	if (process_ended(claims, node, incarnation))
		return;
	g_hash_table_insert(claims->ended_incarnation, g_strdup(node),
	    g_memdup2(&incarnation, sizeof(incarnation)));
	/* A node without records has no claims, so nothing is logged. */
	if (g_hash_table_lookup(claims->latest_incarnation, node) == NULL)
		return;
	dff_log(ctx, DFF_LOG_INFO, "claim",
	    "claim holder has ended; its open claims are unknown. node=%s "
	    "incarnation=%" G_GUINT64_FORMAT,
	    node, incarnation);
}

size_t
dff_claims_open_count(const dff_claims_t *claims)
{
	return g_hash_table_size(claims->local_claims) +
	    g_hash_table_size(claims->in_flight);
}

/* ---- the stream ---- */

/* Releases a claim of this process for which no call waits. */
static void
release_orphan(dff_ctx_t *ctx, dff_claims_t *claims,
    const claimed_key_t *claimed, dff_time_t now, dff_effects_t *fx)
{
	local_claim_t *local;

	local = g_new0(local_claim_t, 1);
	local->key = claimed->key;
	local->body_hash = claimed->body_hash;
	local->claim = claimed->offset;
	g_hash_table_insert(claims->local_claims, &local->key, local);
	dff_log(ctx, DFF_LOG_NOTICE, "claim",
	    "late claim has no waiting call and is released. "
	    "offset=%" G_GUINT64_FORMAT,
	    claimed->offset);
	queue_outcome(ctx, claims, local, CLAIM_OUTCOME_RELEASED, now, fx);
}

/* Decides the waiting call of a claimed key, if there is one. */
static void
resolve_claim(dff_ctx_t *ctx, dff_claims_t *claims,
    const claimed_key_t *claimed, dff_time_t now, dff_effects_t *fx)
{
	local_claim_t *local;

	local = g_hash_table_lookup(claims->local_claims, &claimed->key);
	if (!is_own(claims, claimed) && !DFF_FAULT(LOSER_RUNS)) {
		if (local == NULL || local->state > LOCAL_APPENDED)
			return;
		add_verdict(ctx, claims, local,
		    state_for_claimed_key(claims, claimed, local->body_hash),
		    claimed->offset);
		remove_local(claims, local);
		return;
	}
	if (claimed->outcome != CLAIM_OUTCOME_NONE)
		return;
	if (local == NULL) {
		if (DFF_FAULT(LATE_CLAIM_KEPT))
			return;
		release_orphan(ctx, claims, claimed, now, fx);
		return;
	}
	if (local->state > LOCAL_APPENDED)
		return;
	/*
	 * A late claim of an earlier call with this key is used for this call,
	 * if the request is the same and this call has not timed out.
	 */
	if (local->body_hash != claimed->body_hash ||
	    now - local->since >= claims->config.decision_timeout) {
		add_verdict(ctx, claims, local, DFF_CLAIM_NOT_EXECUTED,
		    claimed->offset);
		remove_local(claims, local);
		release_orphan(ctx, claims, claimed, now, fx);
		return;
	}
	g_queue_remove(&claims->append_queue, local);
	local->state = LOCAL_RUNNING;
	local->claim = claimed->offset;
	add_verdict(ctx, claims, local, DFF_CLAIM_WON, claimed->offset);
}

/* Removes a local claim whose outcome was read back from the stream. */
static void
confirm_outcome(dff_claims_t *claims, dff_key_t key, uint64_t claim)
{
	local_claim_t *local;

	local = g_hash_table_lookup(claims->local_claims, &key);
	if (local == NULL || local->claim != claim)
		return;
	if (local->state == LOCAL_OUTCOME_QUEUED ||
	    local->state == LOCAL_OUTCOME_APPENDED)
		remove_local(claims, local);
}

static void
apply_batch(dff_ctx_t *ctx, dff_claims_t *claims, const Dff__Record *record,
    uint64_t offset, dff_time_t now, dff_effects_t *fx)
{
	const Dff__ClaimBatch *batch = record->claims;
	bool own;

	own = record->incarnation == claims->config.incarnation &&
	    strcmp(record->writer, claims->config.node) == 0;
	for (size_t i = 0; i < batch->n_outcomes; i++) {
		const Dff__ClaimOutcome *outcome = batch->outcomes[i];
		dff_key_t key = {outcome->key_hi, outcome->key_lo};

		(void)claim_store_apply_outcome(&claims->store, outcome,
		    record->writer, record->incarnation);
		if (own)
			confirm_outcome(claims, key, outcome->claim);
	}
	for (size_t i = 0; i < batch->n_claims; i++) {
		const Dff__Claim *claim = batch->claims[i];
		dff_key_t key = {claim->key_hi, claim->key_lo};

		if (!claim_store_apply_claim(&claims->store, claim, offset,
			record->writer, record->incarnation))
			continue;
		resolve_claim(ctx, claims,
		    claim_store_find(&claims->store, key), now, fx);
	}
}

/* A newer incarnation of a node proves that the older ones have ended. */
static void
note_incarnation(dff_ctx_t *ctx, dff_claims_t *claims, const char *node,
    uint64_t incarnation)
{
	const uint64_t *latest =
	    g_hash_table_lookup(claims->latest_incarnation, node);

	if (latest != NULL && incarnation <= *latest)
		return;
	g_hash_table_insert(claims->latest_incarnation, g_strdup(node),
	    g_memdup2(&incarnation, sizeof(incarnation)));
	if (incarnation > 0)
		dff_claims_holder_ended(ctx, claims, node, incarnation - 1);
}

int
dff_claims_apply(dff_ctx_t *ctx, dff_claims_t *claims, uint64_t offset,
    const uint8_t *data, size_t len, uint64_t time_ms, dff_time_t now,
    dff_effects_t *fx)
{
	Dff__Record *record;
	int changed = -EINVAL;

	claims->now = now;
	if (offset <= claims->store.applied)
		return -EALREADY;
	if (offset != claims->store.applied + 1)
		return -ERANGE;
	claims->store.applied = offset;
	claim_store_advance_clock(
	    &claims->store, time_ms, claims->config.key_retention_ms);
	record = dff__record__unpack(NULL, len, data);
	if (record == NULL)
		return -EINVAL;
	if (record->version != CLAIM_RECORD_VERSION ||
	    strlen(record->writer) >= DFF_NAME_MAX)
		goto out;
	if (record->body_case == DFF__RECORD__BODY_CLAIMS_SNAPSHOT)
		changed = 0;
	if (record->body_case != DFF__RECORD__BODY_CLAIMS ||
	    !claim_store_batch_valid(record->claims))
		goto out;
	note_incarnation(ctx, claims, record->writer, record->incarnation);
	apply_batch(ctx, claims, record, offset, now, fx);
	changed = 1;
out:
	dff__record__free_unpacked(record, NULL);
	return changed;
}

/* Updates the local claims after a snapshot was loaded. */
static void
resolve_local_claims(dff_ctx_t *ctx, dff_claims_t *claims)
{
	GList *keys = g_hash_table_get_values(claims->local_claims);

	for (GList *link = keys; link != NULL; link = link->next) {
		local_claim_t *local = link->data;
		const claimed_key_t *claimed;

		claimed = claim_store_find(&claims->store, local->key);
		if (local->state <= LOCAL_APPENDED) {
			if (claimed != NULL)
				resolve_claim(
				    ctx, claims, claimed, claims->now, NULL);
			continue;
		}
		if (local->state != LOCAL_RUNNING &&
		    (claimed == NULL || claimed->offset != local->claim ||
			claimed->outcome != CLAIM_OUTCOME_NONE))
			remove_local(claims, local);
	}
	g_list_free(keys);
}

/*
 * Notes the incarnations in the loaded snapshot, and releases claims of this
 * process for which no call waits.
 */
static void
reconcile_snapshot_keys(dff_ctx_t *ctx, dff_claims_t *claims)
{
	for (GList *link = claims->store.by_last_update.head; link != NULL;
	     link = link->next) {
		const claimed_key_t *claimed = link->data;

		note_incarnation(
		    ctx, claims, claimed->holder, claimed->incarnation);
		if (claimed->outcome == CLAIM_OUTCOME_NONE &&
		    is_own(claims, claimed) &&
		    g_hash_table_lookup(claims->local_claims, &claimed->key) ==
			NULL)
			release_orphan(ctx, claims, claimed, claims->now, NULL);
	}
}

int
dff_claims_load(dff_ctx_t *ctx, dff_claims_t *claims, const uint8_t *data,
    size_t len, uint64_t first)
{
	int err;

	err = claim_store_load(&claims->store, data, len, first);
	if (err != 0)
		return err;
	resolve_local_claims(ctx, claims);
	reconcile_snapshot_keys(ctx, claims);
	return 0;
}

int
dff_claims_save(dff_ctx_t *ctx, const dff_claims_t *claims, uint8_t **data)
{
	(void)ctx;
	if (claims->store.applied == 0)
		return -ENODATA;
	return (int)claim_store_save(&claims->store, claims->config.node,
	    claims->config.incarnation, data);
}

uint64_t
dff_claims_applied(const dff_claims_t *claims)
{
	return claims->store.applied;
}

int
dff_claims_rebase(dff_claims_t *claims, uint64_t applied)
{
	if (claims->store.applied != 0)
		return -EALREADY;
	claims->store.applied = applied;
	return 0;
}
