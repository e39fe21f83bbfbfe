/*
 * Calls of this node that wait for a claim or run under one, and the
 * batches that carry claims and outcomes to the stream.
 *
 * An append is never repeated for its claims: whether they took effect is
 * seen in the stream alone. Outcomes name the claim that they end, so a
 * second copy does nothing and they are appended until they are seen.
 */
#include "dragonflyfall/claim.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/fault.h"
#include "claim/store.h"

/*
 * A node's appends are this many batch times apart, so that a busy node
 * takes a bounded share of the log and a quiet one waits a batch time only.
 */
#define APPEND_GAP 6
/* Outcomes wait this many batch times for claims to travel with. */
#define OUTCOME_PATIENCE 20
/* What the log refused waits this many. */
#define REFUSED_PATIENCE 4
/* Age, by the platform's clock, at which a call without outcome is unknown. */
#define OPEN_MAX_MS (10 * 60 * 1000)
/* Sweeps in the time that an append may stay undecided. */
#define SWEEPS_PER_GIVE_UP 4

static const char not_kept_type[] = "application/json";
static const char not_kept_body[] =
    "{\"error\":{\"code\":\"answer_not_kept\",\"ran\":\"ran\","
    "\"message\":\"the call was done; its answer was not kept\"}}";

/** enum mine_state - how far a call of this node is */
typedef enum mine_state {
	MINE_QUEUED, /* the claim waits for a batch */
	MINE_SENT, /* the claim is in an append; undecided until read */
	MINE_RUNNING, /* the claim was won, the call may run */
	MINE_ENDED, /* the outcome waits for a batch */
	MINE_ENDED_SENT, /* the outcome is in an append */
} mine_state_t;

/**
 * struct mine - a key that this node waits for or runs
 * @key: key
 * @body_hash: hash of the request
 * @call: handle of the call
 * @state: how far it is
 * @since: moment at which it came into @state, or for a claim was asked for
 * @append: id of the append that carries it
 * @claim: offset of the claim, once won
 * @told: the verdict was taken
 * @outcome: what to record
 * @status: with HELD_DONE, HTTP status
 * @content_type: owned, or NULL
 * @body: owned, or NULL
 * @len: bytes at @body
 * @not_kept: the answer is too large to be kept
 */
typedef struct mine {
	dff_key_t key;
	uint64_t body_hash;
	uint64_t call;
	mine_state_t state;
	dff_time_t since;
	uint64_t append;
	uint64_t claim;
	bool told;
	held_state_t outcome;
	int status;
	char *content_type;
	uint8_t *body;
	size_t len;
	bool not_kept;
} mine_t;

/* A verdict not yet taken; the answer is looked up when it is. */
typedef struct pending {
	uint64_t call;
	dff_key_t key;
	dff_claim_state_t state;
} pending_t;

struct dff_claims {
	dff_claims_config_t config;
	dff_timers_t *timers;
	claim_store_t store;
	GHashTable *mine; /* dff_key_t -> mine_t, owned */
	GQueue batch; /* mine_t to be appended, borrowed */
	GHashTable *in_flight; /* ids of appends not answered yet */
	GHashTable *heard; /* node -> highest incarnation that wrote */
	GHashTable *gone; /* node -> highest incarnation that has ended */
	GQueue verdicts; /* pending_t */
	uint64_t next_append;
	dff_time_t flush_at;
	dff_time_t flushed_at;
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
dff_key_make(const char *owner, const char *entry, const char *idem_key)
{
	const char *const parts[] = {owner, entry, idem_key};
	dff_key_t key = {1, 2};

	/* The NUL goes in too, so that parts cannot run into each other. */
	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
		size_t len = strlen(parts[i]) + 1;

		key.hi = dff_hash(parts[i], len, key.hi);
		key.lo = dff_hash(parts[i], len, key.lo);
	}
	return key;
}

static void
free_mine(gpointer value)
{
	mine_t *mine = value;

	g_free(mine->content_type);
	g_free(mine->body);
	g_free(mine);
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
	claims->mine = g_hash_table_new_full(
	    claim_key_hash, claim_key_equal, NULL, free_mine);
	claims->in_flight =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	claims->heard =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	claims->gone =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_queue_init(&claims->batch);
	g_queue_init(&claims->verdicts);
	claims->next_append = DFF_CLAIM_APPEND_TAG;
	claims->flush_at = DFF_TIME_NEVER;
	claims->flushed_at = INT64_MIN / 2;
	claims->sweep_at = DFF_TIME_NEVER;
	/* This process is here, so its predecessors have ended. */
	if (config->incarnation > 0)
		dff_claims_holder_gone(
		    ctx, claims, config->node, config->incarnation - 1);
	return claims;
}

void
dff_claims_drop(dff_claims_t *claims)
{
	if (claims == NULL)
		return;
	g_queue_clear_full(&claims->verdicts, g_free);
	g_queue_clear(&claims->batch);
	g_hash_table_unref(claims->mine);
	g_hash_table_unref(claims->in_flight);
	g_hash_table_unref(claims->heard);
	g_hash_table_unref(claims->gone);
	claim_store_clear(&claims->store);
	g_free(claims);
}

/* ---- what is known of a key ---- */

static bool
is_own(const dff_claims_t *claims, const held_t *held)
{
	return held->incarnation == claims->config.incarnation &&
	    strcmp(held->holder, claims->config.node) == 0;
}

static bool
is_gone(const dff_claims_t *claims, const char *node, uint64_t incarnation)
{
	const uint64_t *gone = g_hash_table_lookup(claims->gone, node);

	return gone != NULL && incarnation <= *gone;
}

static void
fill_answer(const held_t *held, dff_claim_answer_t *answer)
{
	if (held->not_kept) {
		answer->status = DFF_CLAIM_NOT_KEPT_STATUS;
		answer->content_type = not_kept_type;
		answer->body = (const uint8_t *)not_kept_body;
		answer->len = sizeof(not_kept_body) - 1;
		return;
	}
	answer->status = held->status;
	answer->content_type =
	    held->content_type != NULL ? held->content_type : "";
	answer->body = held->body;
	answer->len = held->len;
}

/*
 * No call is under way for so long. It helps a node that has never heard of
 * the holder's process, and so cannot learn that it has ended.
 */
static bool
is_stale(const dff_claims_t *claims, const held_t *held)
{
	return claims->store.clock_ms - held->time_ms > OPEN_MAX_MS;
}

/* What a call gets that finds its key held by another call. */
static dff_claim_state_t
state_of_held(
    const dff_claims_t *claims, const held_t *held, uint64_t body_hash)
{
	if (held->body_hash != body_hash && !DFF_FAULT(BODY_UNCHECKED))
		return DFF_CLAIM_MISMATCH;
	switch (held->state) {
	case HELD_DONE:
		return DFF_CLAIM_REPEATED;
	case HELD_UNKNOWN:
		return DFF_CLAIM_UNKNOWN;
	case HELD_OPEN:
	case HELD_RELEASED:
		break;
	}
	if (!is_own(claims, held) &&
	    (is_gone(claims, held->holder, held->incarnation) ||
		is_stale(claims, held)))
		return DFF_FAULT(GONE_IS_NOT_RUN) ? DFF_CLAIM_DOWN :
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
plan_flush(dff_claims_t *claims, dff_time_t at)
{
	dff_time_t gap = APPEND_GAP * claims->config.batch_time;

	at = MAX(at, claims->flushed_at + gap);
	if (at >= claims->flush_at)
		return;
	claims->flush_at = at;
	dff_timers_set(claims->timers, DFF_TIMER_CLAIM_FLUSH, 0, at);
}

static void
plan_sweep(dff_claims_t *claims, dff_time_t now)
{
	if (claims->sweep_at != DFF_TIME_NEVER)
		return;
	claims->sweep_at = now + claims->config.give_up / SWEEPS_PER_GIVE_UP;
	dff_timers_set(
	    claims->timers, DFF_TIMER_CLAIM_SWEEP, 0, claims->sweep_at);
}

static void
pack_outcome(const mine_t *mine, Dff__ClaimOutcome *out)
{
	dff__claim_outcome__init(out);
	out->key_hi = mine->key.hi;
	out->key_lo = mine->key.lo;
	out->claim = mine->claim;
	out->state = mine->outcome;
	out->status = (uint32_t)mine->status;
	out->not_kept = mine->not_kept;
	if (mine->content_type != NULL)
		out->content_type = mine->content_type;
	out->body.data = mine->body;
	out->body.len = mine->len;
}

static void
pack_claim(const mine_t *mine, Dff__Claim *out)
{
	dff__claim__init(out);
	out->key_hi = mine->key.hi;
	out->key_lo = mine->key.lo;
	out->body_hash = mine->body_hash;
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

/* Append up to batch_max of what is queued as one record. */
static void
append_batch(
    dff_ctx_t *ctx, dff_claims_t *claims, dff_time_t now, dff_effects_t *fx)
{
	Dff__ClaimBatch batch = DFF__CLAIM_BATCH__INIT;
	guint count = MIN(claims->batch.length, claims->config.batch_max);
	Dff__Claim *claim = g_new(Dff__Claim, count);
	Dff__ClaimOutcome *outcome = g_new(Dff__ClaimOutcome, count);
	Dff__Claim **claim_list = g_new(Dff__Claim *, count);
	Dff__ClaimOutcome **outcome_list = g_new(Dff__ClaimOutcome *, count);
	uint64_t id = claims->next_append++;

	batch.claims = claim_list;
	batch.outcomes = outcome_list;
	for (guint i = 0; i < count; i++) {
		mine_t *mine = g_queue_pop_head(&claims->batch);

		mine->append = id;
		if (mine->state == MINE_QUEUED) {
			pack_claim(mine, &claim[batch.n_claims]);
			claim_list[batch.n_claims] = &claim[batch.n_claims];
			batch.n_claims++;
			mine->state = MINE_SENT;
			continue;
		}
		pack_outcome(mine, &outcome[batch.n_outcomes]);
		outcome_list[batch.n_outcomes] = &outcome[batch.n_outcomes];
		batch.n_outcomes++;
		mine->state = MINE_ENDED_SENT;
		mine->since = now;
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
	if (claims->batch.length > 0)
		claims->flushed_at = now;
	dff_timers_cancel(claims->timers, DFF_TIMER_CLAIM_FLUSH, 0);
	while (claims->batch.length > 0)
		append_batch(ctx, claims, now, fx);
}

static void
queue_mine(dff_ctx_t *ctx, dff_claims_t *claims, mine_t *mine, dff_time_t wait,
    dff_time_t now, dff_effects_t *fx)
{
	g_queue_push_tail(&claims->batch, mine);
	plan_sweep(claims, now);
	if (fx != NULL && claims->batch.length >= claims->config.batch_max)
		flush(ctx, claims, now, fx);
	else
		plan_flush(claims, now + wait);
}

/* ---- calls ---- */

static void
add_verdict(dff_ctx_t *ctx, dff_claims_t *claims, const mine_t *mine,
    dff_claim_state_t state, uint64_t offset)
{
	pending_t *pending;

	pending = g_new0(pending_t, 1);
	pending->call = mine->call;
	pending->key = mine->key;
	pending->state = state;
	g_queue_push_tail(&claims->verdicts, pending);
	log_verdict(ctx, claims, mine->key, mine->call, state, offset);
}

static void
forget_mine(dff_claims_t *claims, mine_t *mine)
{
	g_queue_remove(&claims->batch, mine);
	g_hash_table_remove(claims->mine, &mine->key);
}

/* End a claim that was won; @fx may be NULL, then a timer sends it. */
static void
end_mine(dff_ctx_t *ctx, dff_claims_t *claims, mine_t *mine,
    held_state_t outcome, dff_time_t now, dff_effects_t *fx)
{
	dff_time_t wait = claims->config.batch_time;

	/* Someone may wait for a key that is free again; not so for others. */
	if (outcome != HELD_RELEASED)
		wait *= OUTCOME_PATIENCE;
	mine->outcome = outcome;
	mine->state = MINE_ENDED;
	mine->since = now;
	queue_mine(ctx, claims, mine, wait, now, fx);
}

dff_claim_state_t
dff_claims_begin(dff_ctx_t *ctx, dff_claims_t *claims, dff_key_t key,
    uint64_t body_hash, uint64_t call, bool log_up, dff_time_t now,
    dff_effects_t *fx, dff_claim_answer_t *answer)
{
	dff_claim_state_t state;
	const held_t *held;
	mine_t *mine;

	claims->now = now;
	held = claim_store_find(&claims->store, key);
	mine = g_hash_table_lookup(claims->mine, &key);
	if (held != NULL) {
		state = state_of_held(claims, held, body_hash);
		if (state == DFF_CLAIM_REPEATED)
			fill_answer(held, answer);
	} else if (mine != NULL) {
		state = mine->body_hash == body_hash ? DFF_CLAIM_RUNNING :
						       DFF_CLAIM_MISMATCH;
	} else if (!log_up) {
		state = DFF_CLAIM_DOWN;
	} else {
		state = DFF_CLAIM_WAIT;
	}
	if (state != DFF_CLAIM_WAIT) {
		log_verdict(ctx, claims, key, call, state,
		    held != NULL ? held->offset : 0);
		return state;
	}
	mine = g_new0(mine_t, 1);
	mine->key = key;
	mine->body_hash = body_hash;
	mine->call = call;
	mine->since = now;
	g_hash_table_insert(claims->mine, &mine->key, mine);
	queue_mine(ctx, claims, mine, claims->config.batch_time, now, fx);
	return DFF_CLAIM_WAIT;
}

static mine_t *
find_call(const dff_claims_t *claims, uint64_t call)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, claims->mine);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		mine_t *mine = value;

		if (mine->call == call && mine->state <= MINE_RUNNING)
			return mine;
	}
	return NULL;
}

static void
forget_verdict(dff_claims_t *claims, uint64_t call)
{
	for (GList *link = claims->verdicts.head; link != NULL;
	     link = link->next) {
		pending_t *pending = link->data;

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
	mine_t *mine;

	forget_verdict(claims, call);
	mine = find_call(claims, call);
	if (mine == NULL || DFF_FAULT(ABANDONED_WINS))
		return;
	if (mine->state != MINE_RUNNING) {
		/* Should it still win, apply_claim() finds nobody waiting. */
		forget_mine(claims, mine);
		return;
	}
	if (mine->told)
		return;
	end_mine(ctx, claims, mine, HELD_RELEASED, claims->now, NULL);
}

static void
set_answer(mine_t *mine, const dff_claim_answer_t *answer)
{
	const char *type =
	    answer->content_type != NULL ? answer->content_type : "";

	mine->status = answer->status;
	if (answer->len > DFF_CLAIM_BODY_MAX ||
	    strlen(type) >= CLAIM_TYPE_MAX) {
		mine->not_kept = true;
		return;
	}
	mine->content_type = g_strdup(type);
	if (answer->len > 0)
		mine->body = g_memdup2(answer->body, answer->len);
	mine->len = answer->len;
}

void
dff_claims_finish(dff_ctx_t *ctx, dff_claims_t *claims, dff_key_t key,
    dff_claim_state_t state, const dff_claim_answer_t *answer, dff_time_t now,
    dff_effects_t *fx)
{
	held_state_t outcome = HELD_UNKNOWN;
	mine_t *mine;

	claims->now = now;
	mine = g_hash_table_lookup(claims->mine, &key);
	if (mine == NULL || mine->state != MINE_RUNNING)
		return;
	if (state == DFF_CLAIM_DOWN)
		outcome = HELD_RELEASED;
	if (state == DFF_CLAIM_REPEATED && answer != NULL) {
		outcome = HELD_DONE;
		set_answer(mine, answer);
	}
	dff_log(ctx, DFF_LOG_INFO, "claim",
	    "ended. call=%s-%" G_GUINT64_FORMAT " offset=%" G_GUINT64_FORMAT
	    " outcome=%s",
	    claims->config.node, mine->call, mine->claim,
	    outcome == HELD_RELEASED ? "not_run" :
		outcome == HELD_DONE ? "done" :
				       "unknown");
	end_mine(ctx, claims, mine, outcome, now, fx);
}

bool
dff_claims_next_verdict(dff_claims_t *claims, dff_claim_verdict_t *verdict)
{
	pending_t *pending;
	const held_t *held;
	mine_t *mine;

	pending = g_queue_pop_head(&claims->verdicts);
	if (pending == NULL)
		return false;
	memset(verdict, 0, sizeof(*verdict));
	verdict->call = pending->call;
	verdict->state = pending->state;
	if (pending->state == DFF_CLAIM_WON) {
		mine = g_hash_table_lookup(claims->mine, &pending->key);
		mine->told = true;
	} else if (pending->state == DFF_CLAIM_REPEATED) {
		held = claim_store_find(&claims->store, pending->key);
		/* Its key may be pruned in the meantime: then nothing is
		 * left to give, but it did run. */
		if (held != NULL)
			fill_answer(held, &verdict->answer);
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
	/* Done or unknown: the stream will tell, and only the stream. */
	if (ev->outcome != DFF_APPEND_REFUSED)
		return;
	dff_log(ctx, DFF_LOG_NOTICE, "claim",
	    "batch refused by the log. append=%" G_GUINT64_FORMAT, ev->id);
	g_hash_table_iter_init(&iter, claims->mine);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		mine_t *mine = value;

		if (mine->append != ev->id)
			continue;
		if (mine->state == MINE_SENT)
			mine->state = MINE_QUEUED;
		else if (mine->state == MINE_ENDED_SENT)
			mine->state = MINE_ENDED;
		else
			continue;
		mine->append = 0;
		queue_mine(ctx, claims, mine,
		    claims->config.batch_time * REFUSED_PATIENCE, now, NULL);
	}
	(void)fx;
}

/*
 * A claim that nobody decided in time: the call is told that it did not
 * run. Should the claim land later, it is released.
 */
static bool
give_up(dff_ctx_t *ctx, dff_claims_t *claims, mine_t *mine, dff_time_t now)
{
	if (mine->state > MINE_SENT ||
	    now - mine->since < claims->config.give_up)
		return false;
	add_verdict(ctx, claims, mine, DFF_CLAIM_DOWN, 0);
	g_queue_remove(&claims->batch, mine);
	return true;
}

static void
sweep(dff_ctx_t *ctx, dff_claims_t *claims, dff_time_t now)
{
	GHashTableIter iter;
	gpointer value;

	claims->sweep_at = DFF_TIME_NEVER;
	g_hash_table_iter_init(&iter, claims->mine);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		mine_t *mine = value;

		if (give_up(ctx, claims, mine, now)) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		if (mine->state == MINE_ENDED_SENT &&
		    now - mine->since >= claims->config.give_up &&
		    !DFF_FAULT(OUTCOME_ONCE)) {
			mine->state = MINE_ENDED;
			g_queue_push_tail(&claims->batch, mine);
		}
	}
	if (claims->batch.length > 0)
		plan_flush(claims, now + claims->config.batch_time);
	if (g_hash_table_size(claims->mine) > 0)
		plan_sweep(claims, now);
}

void
dff_claims_due(dff_ctx_t *ctx, dff_claims_t *claims, const dff_timer_t *timer,
    dff_time_t now, dff_effects_t *fx)
{
	claims->now = now;
	if (timer->kind == DFF_TIMER_CLAIM_FLUSH)
		flush(ctx, claims, now, fx);
	else if (timer->kind == DFF_TIMER_CLAIM_SWEEP)
		sweep(ctx, claims, now);
}

void
dff_claims_holder_gone(dff_ctx_t *ctx, dff_claims_t *claims, const char *node,
    uint64_t incarnation)
{
	/* Of a VM that is gone, the processes that were heard of so far: the
	 * name may come again with another VM. */
	if (incarnation == UINT64_MAX) {
		const uint64_t *heard =
		    g_hash_table_lookup(claims->heard, node);

		if (heard == NULL)
			return;
		incarnation = *heard;
	}
	if (is_gone(claims, node, incarnation))
		return;
	g_hash_table_insert(claims->gone, g_strdup(node),
	    g_memdup2(&incarnation, sizeof(incarnation)));
	/* Of a holder that never claimed there is nothing to tell. */
	if (g_hash_table_lookup(claims->heard, node) == NULL)
		return;
	dff_log(ctx, DFF_LOG_INFO, "claim",
	    "holder is gone, its open claims are unknown. node=%s "
	    "incarnation=%" G_GUINT64_FORMAT,
	    node, incarnation);
}

size_t
dff_claims_open(const dff_claims_t *claims)
{
	return g_hash_table_size(claims->mine) +
	    g_hash_table_size(claims->in_flight);
}

/* ---- the stream ---- */

/* A claim of this process holds its key, and nobody here waits for it. */
static void
release_orphan(dff_ctx_t *ctx, dff_claims_t *claims, const held_t *held,
    dff_time_t now, dff_effects_t *fx)
{
	mine_t *mine;

	mine = g_new0(mine_t, 1);
	mine->key = held->key;
	mine->body_hash = held->body_hash;
	mine->claim = held->offset;
	g_hash_table_insert(claims->mine, &mine->key, mine);
	dff_log(ctx, DFF_LOG_NOTICE, "claim",
	    "claim landed after its call had left, released. "
	    "offset=%" G_GUINT64_FORMAT,
	    held->offset);
	end_mine(ctx, claims, mine, HELD_RELEASED, now, fx);
}

/* Tell the call that waits for this key, if one does, who has it. */
static void
settle(dff_ctx_t *ctx, dff_claims_t *claims, const held_t *held, dff_time_t now,
    dff_effects_t *fx)
{
	mine_t *mine;

	mine = g_hash_table_lookup(claims->mine, &held->key);
	if (!is_own(claims, held) && !DFF_FAULT(LOSER_RUNS)) {
		if (mine == NULL || mine->state > MINE_SENT)
			return;
		add_verdict(ctx, claims, mine,
		    state_of_held(claims, held, mine->body_hash), held->offset);
		forget_mine(claims, mine);
		return;
	}
	if (held->state != HELD_OPEN)
		return;
	if (mine == NULL) {
		if (DFF_FAULT(LATE_CLAIM_KEPT))
			return;
		release_orphan(ctx, claims, held, now, fx);
		return;
	}
	if (mine->state > MINE_SENT)
		return;
	/*
	 * An earlier call's late claim on this key serves as well, if it was
	 * for the same request and this call is still in time.
	 */
	if (mine->body_hash != held->body_hash ||
	    now - mine->since >= claims->config.give_up) {
		add_verdict(ctx, claims, mine, DFF_CLAIM_DOWN, held->offset);
		forget_mine(claims, mine);
		release_orphan(ctx, claims, held, now, fx);
		return;
	}
	g_queue_remove(&claims->batch, mine);
	mine->state = MINE_RUNNING;
	mine->claim = held->offset;
	add_verdict(ctx, claims, mine, DFF_CLAIM_WON, held->offset);
}

/* An outcome of this process was read back: nothing more is to be done. */
static void
end_own(dff_claims_t *claims, dff_key_t key, uint64_t claim)
{
	mine_t *mine;

	mine = g_hash_table_lookup(claims->mine, &key);
	if (mine == NULL || mine->claim != claim)
		return;
	if (mine->state == MINE_ENDED || mine->state == MINE_ENDED_SENT)
		forget_mine(claims, mine);
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

		(void)claim_store_outcome(&claims->store, outcome,
		    record->writer, record->incarnation);
		if (own)
			end_own(claims, key, outcome->claim);
	}
	for (size_t i = 0; i < batch->n_claims; i++) {
		const Dff__Claim *claim = batch->claims[i];
		dff_key_t key = {claim->key_hi, claim->key_lo};

		if (!claim_store_claim(&claims->store, claim, offset,
			record->writer, record->incarnation))
			continue;
		settle(ctx, claims, claim_store_find(&claims->store, key), now,
		    fx);
	}
}

/* A newer process of a node proves that the older one has ended. */
static void
note_holder(dff_ctx_t *ctx, dff_claims_t *claims, const char *node,
    uint64_t incarnation)
{
	const uint64_t *heard = g_hash_table_lookup(claims->heard, node);

	if (heard != NULL && incarnation <= *heard)
		return;
	g_hash_table_insert(claims->heard, g_strdup(node),
	    g_memdup2(&incarnation, sizeof(incarnation)));
	if (incarnation > 0)
		dff_claims_holder_gone(ctx, claims, node, incarnation - 1);
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
	claim_store_tick(&claims->store, time_ms, claims->config.window_ms);
	record = dff__record__unpack(NULL, len, data);
	if (record == NULL)
		return -EINVAL;
	if (record->version != CLAIM_RECORD_VERSION ||
	    strlen(record->writer) >= DFF_NAME_MAX)
		goto out;
	if (record->body_case == DFF__RECORD__BODY_CLAIMS_SNAPSHOT)
		changed = 0;
	if (record->body_case != DFF__RECORD__BODY_CLAIMS ||
	    !claim_store_check(record->claims))
		goto out;
	note_holder(ctx, claims, record->writer, record->incarnation);
	apply_batch(ctx, claims, record, offset, now, fx);
	changed = 1;
out:
	dff__record__free_unpacked(record, NULL);
	return changed;
}

/* After a snapshot: what became of the calls that this node has. */
static void
settle_all(dff_ctx_t *ctx, dff_claims_t *claims)
{
	GList *keys = g_hash_table_get_values(claims->mine);

	for (GList *link = keys; link != NULL; link = link->next) {
		mine_t *mine = link->data;
		const held_t *held;

		held = claim_store_find(&claims->store, mine->key);
		if (mine->state <= MINE_SENT) {
			if (held != NULL)
				settle(ctx, claims, held, claims->now, NULL);
			continue;
		}
		if (mine->state != MINE_RUNNING &&
		    (held == NULL || held->offset != mine->claim ||
			held->state != HELD_OPEN))
			forget_mine(claims, mine);
	}
	g_list_free(keys);
}

/* Holders that the snapshot names, and own claims that nobody waits for. */
static void
take_held(dff_ctx_t *ctx, dff_claims_t *claims)
{
	for (GList *link = claims->store.by_age.head; link != NULL;
	     link = link->next) {
		const held_t *held = link->data;

		note_holder(ctx, claims, held->holder, held->incarnation);
		if (held->state == HELD_OPEN && is_own(claims, held) &&
		    g_hash_table_lookup(claims->mine, &held->key) == NULL)
			release_orphan(ctx, claims, held, claims->now, NULL);
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
	settle_all(ctx, claims);
	take_held(ctx, claims);
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
