#include "claim_sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dragonflyfall/claim.h"
#include "dragonflyfall/model_log.h"
#include "proto/dragonflyfall.pb-c.h"
#include "queue.h"

#define NODES_MAX   9
#define STEP	    (5 * DFF_MSEC)
#define GIVE_UP	    DFF_SEC
#define ANSWER_TIME (500 * DFF_MSEC)
#define WINDOW_MS   (24 * 3600 * 1000)
/* A caller that is not answered in this time is told "not run". */
#define CALL_TIME (2 * DFF_SEC)
/* Time after which a killed node counts as gone at the others. */
#define GONE_TIME (500 * DFF_MSEC)
/* One key in this many calls is sent with another body. */
#define OTHER_BODY 20

typedef enum happening {
	AT_STEP,
	AT_APPEND,
	AT_APPENDED,
	AT_CALL, /* a caller's request comes */
	AT_CALL_TIME, /* its time is over */
	AT_SEND, /* a won call leaves for the service */
	AT_REPLY, /* the service's reply, or its loss */
	AT_GONE, /* the others learn that a node has ended */
	AT_START,
	AT_FAULT,
	AT_LOG,
} happening_t;

typedef struct node {
	char id[DFF_NAME_MAX];
	dff_ctx_t *ctx;
	dff_timers_t *timers;
	dff_claims_t *claims; /* NULL while it is dead */
	dff_effects_t *fx;
	uint64_t life;
	dff_time_t paused_until;
	uint64_t read_to;
} node_t;

/* A call as its caller and the service see it. */
typedef struct call {
	dff_key_t key;
	uint64_t body;
	dff_time_t begun;
	bool over; /* the caller was told something */
	bool told_not_run;
	bool ran;
} call_t;

/* The service's journal of one key. */
typedef struct journal {
	uint32_t runs;
	uint64_t reply; /* number of the call whose reply it was */
} journal_t;

typedef struct bytes {
	uint64_t id;
	size_t len;
	uint8_t data[];
} bytes_t;

typedef struct sim {
	const claim_sim_config_t *config;
	claim_sim_result_t *result;
	dff_ctx_t *ctx;
	queue_t *queue;
	dff_log_model_t *log;
	node_t nodes[NODES_MAX];
	GPtrArray *calls; /* call_t, by number from 1 */
	GHashTable *journal; /* key.lo -> journal_t */
	dff_time_t now;
} sim_t;

void
claim_sim_chaos(claim_sim_config_t *config, uint32_t seed)
{
	memset(config, 0, sizeof(*config));
	config->seed = seed;
	config->nodes = 3;
	config->keys = 12;
	config->calls_per_s = 6;
	config->batch_time = 20 * DFF_MSEC;
	config->faults = true;
	config->chaos = 10 * DFF_SEC;
	config->calm = 20 * DFF_SEC;
}

/* ---- helpers ---- */

static void
fail(sim_t *sim, const char *check)
{
	if (sim->result->broken != NULL)
		return;
	sim->result->broken = check;
	sim->result->at = sim->now;
}

static bool
chance(sim_t *sim, uint32_t percent)
{
	return sim->config->faults && sim->now < sim->config->chaos &&
	    dff_rand_below(sim->ctx, 100) < percent;
}

static dff_time_t
some_time(sim_t *sim, dff_time_t from, dff_time_t to)
{
	return from +
	    (dff_time_t)(dff_rand_unit(sim->ctx) * (double)(to - from));
}

static void
plan(sim_t *sim, dff_time_t in, happening_t kind, const node_t *node,
    uint64_t id, void *data)
{
	queue_item_t item = {.at = sim->now + in, .kind = kind, .id = id};

	if (node != NULL) {
		item.node = (uint32_t)(node - sim->nodes);
		item.life = node->life;
	}
	item.data = data;
	queue_add(sim->queue, &item);
}

static call_t *
call_at(const sim_t *sim, uint64_t number)
{
	return g_ptr_array_index(sim->calls, number - 1);
}

static journal_t *
journal_of(sim_t *sim, dff_key_t key)
{
	journal_t *journal = g_hash_table_lookup(sim->journal, &key.lo);

	if (journal != NULL)
		return journal;
	journal = g_new0(journal_t, 1);
	g_hash_table_insert(
	    sim->journal, g_memdup2(&key.lo, sizeof(key.lo)), journal);
	return journal;
}

static void
print_line(void *arg, dff_level_t level, const char *part, const char *text)
{
	const node_t *node = arg;

	(void)level;
	printf("%s %s: %s\n", node->id, part, text);
}

/* ---- callers ---- */

static void
tell_not_run(sim_t *sim, uint64_t number)
{
	call_t *call = call_at(sim, number);

	if (call->over)
		return;
	call->over = true;
	call->told_not_run = true;
	sim->result->not_run++;
	if (call->ran)
		fail(sim, "not run, but it ran");
}

static void
check_answer(sim_t *sim, const call_t *call, const dff_claim_answer_t *answer)
{
	const journal_t *journal = journal_of(sim, call->key);
	uint64_t reply = 0;

	if (answer->len == sizeof(reply))
		memcpy(&reply, answer->body, sizeof(reply));
	if (reply != journal->reply || reply == 0)
		fail(sim, "repeat got another answer");
	if (call_at(sim, reply)->body != call->body)
		fail(sim, "repeat with another body got an answer");
}

static void
take_verdict(sim_t *sim, node_t *node, uint64_t number, dff_claim_state_t state,
    const dff_claim_answer_t *answer)
{
	call_t *call = call_at(sim, number);

	if (state == DFF_CLAIM_WAIT)
		return;
	sim->result->wait += sim->now - call->begun;
	sim->result->decided++;
	switch (state) {
	case DFF_CLAIM_WON:
		if (call->over)
			fail(sim, "won after it was told");
		/* Some calls fail before the send: not run, release. */
		if (chance(sim, 10)) {
			dff_claims_finish(node->ctx, node->claims, call->key,
			    DFF_CLAIM_DOWN, NULL, sim->now, node->fx);
			tell_not_run(sim, number);
			return;
		}
		plan(sim, some_time(sim, 0, 2 * DFF_MSEC), AT_SEND, node,
		    number, NULL);
		return;
	case DFF_CLAIM_REPEATED:
		sim->result->repeated++;
		call->over = true;
		check_answer(sim, call, answer);
		return;
	case DFF_CLAIM_DOWN:
		tell_not_run(sim, number);
		return;
	case DFF_CLAIM_RUNNING:
		sim->result->running++;
		call->over = true;
		return;
	case DFF_CLAIM_UNKNOWN:
		sim->result->unknown++;
		call->over = true;
		return;
	case DFF_CLAIM_MISMATCH:
	case DFF_CLAIM_WAIT:
		call->over = true;
		return;
	}
}

static void
pump(sim_t *sim, node_t *node)
{
	dff_claim_verdict_t verdict;

	while (dff_claims_next_verdict(node->claims, &verdict))
		take_verdict(
		    sim, node, verdict.call, verdict.state, &verdict.answer);
}

static void
open_call(sim_t *sim, node_t *node)
{
	call_t *call = g_new0(call_t, 1);
	dff_claim_answer_t answer = {0};
	dff_claim_state_t state;
	dff_log_range_t range;
	bool up;

	g_ptr_array_add(sim->calls, call);
	sim->result->calls++;
	call->begun = sim->now;
	call->key.lo = sim->config->keys == 0 ?
	    sim->calls->len :
	    1 + dff_rand_below(sim->ctx, sim->config->keys);
	call->body = dff_rand_below(sim->ctx, OTHER_BODY) == 0 ? 2 : 1;
	up = dff_log_model_range(
		 sim->log, DFF_STREAM_CLAIMS, sim->now, &range) == DFF_LOG_OK;
	state = dff_claims_begin(node->ctx, node->claims, call->key, call->body,
	    sim->calls->len, up, sim->now, node->fx, &answer);
	if (state == DFF_CLAIM_DOWN && up)
		fail(sim, "not run though the log is up");
	take_verdict(sim, node, sim->calls->len, state, &answer);
	if (state == DFF_CLAIM_WAIT)
		plan(sim, some_time(sim, CALL_TIME / 8, CALL_TIME),
		    AT_CALL_TIME, node, sim->calls->len, NULL);
}

static void
next_call(sim_t *sim, node_t *node)
{
	double gap = (double)DFF_SEC / sim->config->calls_per_s;

	plan(sim, (dff_time_t)(2 * gap * dff_rand_unit(sim->ctx)), AT_CALL,
	    node, 0, NULL);
}

/* ---- the service ---- */

static void
run_call(sim_t *sim, node_t *node, uint64_t number)
{
	call_t *call = call_at(sim, number);
	journal_t *journal = journal_of(sim, call->key);

	if (call->told_not_run)
		fail(sim, "not run, but it ran");
	call->ran = true;
	journal->runs++;
	journal->reply = number;
	sim->result->ran++;
	if (journal->runs > 1)
		fail(sim, "ran twice");
	plan(sim, some_time(sim, DFF_MSEC, 100 * DFF_MSEC), AT_REPLY, node,
	    number, NULL);
}

static void
end_call(sim_t *sim, node_t *node, uint64_t number)
{
	call_t *call = call_at(sim, number);
	dff_claim_answer_t answer = {
	    .status = 200,
	    .content_type = "text/plain",
	    .body = (const uint8_t *)&number,
	    .len = sizeof(number),
	};
	bool lost = chance(sim, 10);

	dff_claims_finish(node->ctx, node->claims, call->key,
	    lost ? DFF_CLAIM_UNKNOWN : DFF_CLAIM_REPEATED, &answer, sim->now,
	    node->fx);
	call->over = true;
}

/* ---- nodes and the log ---- */

static void
node_start(sim_t *sim, node_t *node)
{
	dff_claims_config_t config = {
	    .incarnation = ++node->life,
	    .batch_time = sim->config->batch_time,
	    .batch_max = 64,
	    .give_up = GIVE_UP,
	    .window_ms = WINDOW_MS,
	};

	(void)dff_name_copy(config.node, node->id);
	node->ctx = dff_ctx_new(dff_rand_below(sim->ctx, UINT32_MAX),
	    DFF_LOG_INFO, sim->config->log ? print_line : NULL, node);
	node->timers = dff_timers_new();
	node->fx = dff_effects_new();
	node->claims = dff_claims_new(node->ctx, &config, node->timers);
	node->paused_until = 0;
	node->read_to = 0;
	plan(sim, some_time(sim, 0, STEP), AT_STEP, node, 0, NULL);
	plan(sim, GONE_TIME, AT_GONE, NULL, 0, NULL);
	next_call(sim, node);
}

static void
node_kill(node_t *node)
{
	if (node->claims == NULL)
		return;
	dff_claims_drop(node->claims);
	dff_effects_drop(node->fx);
	dff_timers_drop(node->timers);
	dff_ctx_drop(node->ctx);
	node->claims = NULL;
}

static void
answer_append(sim_t *sim, node_t *node, uint64_t id, dff_append_t outcome,
    uint64_t offset, dff_time_t in)
{
	dff_ev_log_appended_t *ev = g_new0(dff_ev_log_appended_t, 1);

	ev->id = id;
	ev->outcome = outcome;
	ev->offset = offset;
	plan(sim, in, AT_APPENDED, node, 0, ev);
}

static void
log_append(sim_t *sim, node_t *node, const bytes_t *append)
{
	uint64_t offset = 0;
	dff_log_status_t status;

	if (chance(sim, 5))
		dff_log_model_delay_appends(
		    sim->log, 1, some_time(sim, 0, 4 * GIVE_UP));
	else if (chance(sim, 5))
		dff_log_model_lose_answers(sim->log, 1);
	if (chance(sim, 3)) {
		answer_append(
		    sim, node, append->id, DFF_APPEND_UNKNOWN, 0, ANSWER_TIME);
		return;
	}
	status = dff_log_model_append(sim->log, DFF_STREAM_CLAIMS, append->data,
	    append->len, sim->now, &offset);
	if (status == DFF_LOG_OK)
		answer_append(sim, node, append->id, DFF_APPEND_DONE, offset,
		    some_time(sim, DFF_MSEC, 5 * DFF_MSEC));
	else if (status == DFF_LOG_SILENT)
		answer_append(
		    sim, node, append->id, DFF_APPEND_UNKNOWN, 0, ANSWER_TIME);
	else
		answer_append(sim, node, append->id, DFF_APPEND_REFUSED, 0,
		    some_time(sim, DFF_MSEC, 5 * DFF_MSEC));
}

static void
node_read(sim_t *sim, node_t *node)
{
	dff_log_range_t range;
	dff_log_entry_t entry;
	uint64_t next = dff_claims_applied(node->claims) + 1;

	for (; next < node->read_to; next++) {
		if (!dff_log_model_get(
			sim->log, DFF_STREAM_CLAIMS, next, &entry))
			break;
		(void)dff_claims_apply(node->ctx, node->claims, next,
		    entry.data, entry.len, entry.time_ms, sim->now, node->fx);
	}
	node->read_to = 0;
	if (dff_log_model_range(
		sim->log, DFF_STREAM_CLAIMS, sim->now, &range) == DFF_LOG_OK)
		node->read_to = range.next;
}

static void
carry_out(sim_t *sim, node_t *node)
{
	for (size_t i = 0; i < dff_effects_count(node->fx); i++) {
		const dff_fx_log_append_t *fx =
		    &dff_effects_at(node->fx, i)->u.log_append;
		bytes_t *bytes = g_malloc(sizeof(*bytes) + fx->len);

		bytes->id = fx->id;
		bytes->len = fx->len;
		memcpy(bytes->data, fx->data, fx->len);
		plan(sim, some_time(sim, DFF_MSEC, 5 * DFF_MSEC), AT_APPEND,
		    node, 0, bytes);
	}
	dff_effects_clear(node->fx);
}

static void
node_step(sim_t *sim, node_t *node)
{
	dff_timer_t due;

	node_read(sim, node);
	while (dff_timers_pop(node->timers, sim->now, &due))
		dff_claims_due(
		    node->ctx, node->claims, &due, sim->now, node->fx);
	plan(sim, STEP, AT_STEP, node, 0, NULL);
}

/* Membership: each node learns which processes of the others have ended. */
static void
tell_gone(sim_t *sim)
{
	for (uint32_t i = 0; i < sim->config->nodes; i++) {
		node_t *node = &sim->nodes[i];

		for (uint32_t k = 0; k < sim->config->nodes; k++) {
			const node_t *other = &sim->nodes[k];

			if (node->claims == NULL || i == k)
				continue;
			dff_claims_holder_gone(node->ctx, node->claims,
			    other->id, other->life - (other->claims != NULL));
		}
	}
}

/* A node takes over another one's snapshot, if that has read further. */
static void
load_snapshot(sim_t *sim, node_t *node)
{
	const node_t *other =
	    &sim->nodes[dff_rand_below(sim->ctx, sim->config->nodes)];
	uint8_t *data = NULL;
	int len;

	if (other->claims == NULL)
		return;
	len = dff_claims_save(other->ctx, other->claims, &data);
	if (len > 0)
		(void)dff_claims_load(
		    node->ctx, node->claims, data, (size_t)len, 1);
	free(data);
}

static void
break_something(sim_t *sim)
{
	node_t *node =
	    &sim->nodes[dff_rand_below(sim->ctx, sim->config->nodes)];
	bool down = chance(sim, 10);

	plan(
	    sim, some_time(sim, DFF_SEC / 5, DFF_SEC), AT_FAULT, NULL, 0, NULL);
	dff_log_model_set_outage(sim->log, down, down);
	if (node->claims == NULL)
		return;
	if (chance(sim, 20))
		load_snapshot(sim, node);
	if (chance(sim, 20)) {
		node_kill(node);
		plan(sim, GONE_TIME, AT_GONE, NULL, 0, NULL);
		plan(sim, some_time(sim, DFF_SEC / 5, 2 * DFF_SEC), AT_START,
		    NULL, (uint64_t)(node - sim->nodes), NULL);
	} else if (chance(sim, 40)) {
		node->paused_until =
		    sim->now + some_time(sim, DFF_SEC / 10, 3 * DFF_SEC);
	}
}

/* ---- a run ---- */

static void
at_node(sim_t *sim, node_t *node, const queue_item_t *item)
{
	switch ((happening_t)item->kind) {
	case AT_STEP:
		node_step(sim, node);
		break;
	case AT_APPENDED:
		dff_claims_appended(
		    node->ctx, node->claims, item->data, sim->now, node->fx);
		break;
	case AT_CALL:
		if (sim->now >= sim->config->chaos)
			break;
		open_call(sim, node);
		next_call(sim, node);
		break;
	case AT_CALL_TIME:
		/* Won calls are told what became of them. */
		if (!call_at(sim, item->id)->over &&
		    !call_at(sim, item->id)->ran) {
			dff_claims_abandon(node->ctx, node->claims, item->id);
			tell_not_run(sim, item->id);
		}
		break;
	case AT_SEND:
		if (call_at(sim, item->id)->over)
			dff_claims_finish(node->ctx, node->claims,
			    call_at(sim, item->id)->key, DFF_CLAIM_DOWN, NULL,
			    sim->now, node->fx);
		else
			run_call(sim, node, item->id);
		break;
	case AT_REPLY:
		end_call(sim, node, item->id);
		break;
	default:
		break;
	}
	pump(sim, node);
	carry_out(sim, node);
}

static bool
elsewhere(sim_t *sim, const queue_item_t *item)
{
	switch ((happening_t)item->kind) {
	case AT_APPEND:
		log_append(sim, &sim->nodes[item->node], item->data);
		return true;
	case AT_GONE:
		tell_gone(sim);
		return true;
	case AT_START:
		node_start(sim, &sim->nodes[item->id]);
		return true;
	case AT_FAULT:
		break_something(sim);
		return true;
	case AT_LOG:
		(void)dff_log_model_advance(sim->log, sim->now);
		plan(sim, STEP, AT_LOG, NULL, 0, NULL);
		return true;
	default:
		return false;
	}
}

static void
happen(sim_t *sim, queue_item_t *item)
{
	node_t *node = &sim->nodes[item->node];

	sim->now = item->at;
	if (elsewhere(sim, item)) {
		g_free(item->data);
		return;
	}
	if (node->claims == NULL || node->life != item->life) {
		g_free(item->data);
		return;
	}
	if (sim->now < node->paused_until) {
		item->at = node->paused_until + some_time(sim, 0, DFF_MSEC);
		queue_add(sim->queue, item);
		return;
	}
	at_node(sim, node, item);
	g_free(item->data);
}

static uint64_t
snapshot_hash(const node_t *node)
{
	Dff__Record *record;
	uint8_t *data = NULL;
	uint64_t hash;
	int len;

	len = dff_claims_save(node->ctx, node->claims, &data);
	if (len < 0)
		return 0;
	record = dff__record__unpack(NULL, (size_t)len, data);
	hash = record->claims_snapshot->hash;
	dff__record__free_unpacked(record, NULL);
	free(data);
	return hash;
}

/* Nobody waits any more, and all nodes know the same. */
static void
check_rest(sim_t *sim)
{
	const node_t *first = &sim->nodes[0];
	dff_claim_answer_t answer;

	for (uint32_t i = 1; i <= sim->config->keys; i++) {
		dff_key_t key = {0, i};

		if (dff_claims_begin(first->ctx, first->claims, key, 1, 0,
			false, sim->now, first->fx,
			&answer) == DFF_CLAIM_RUNNING)
			fail(sim, "key held by no call");
	}
	for (uint32_t i = 0; i < sim->config->nodes; i++) {
		const node_t *node = &sim->nodes[i];

		if (dff_claims_open(node->claims) != 0)
			fail(sim, "claim left open");
		if (dff_claims_applied(node->claims) !=
		    dff_claims_applied(first->claims))
			fail(sim, "stream not read");
		else if (snapshot_hash(node) != snapshot_hash(first))
			fail(sim, "states differ");
	}
}

void
claim_sim_run(const claim_sim_config_t *config, claim_sim_result_t *result)
{
	dff_log_config_t log_config;
	sim_t sim = {.config = config, .result = result};
	queue_item_t item;

	memset(result, 0, sizeof(*result));
	dff_log_config_defaults(&log_config);
	sim.ctx = dff_ctx_new(config->seed, DFF_LOG_ERR, NULL, NULL);
	sim.queue = queue_new();
	sim.log = dff_log_model_new(&log_config);
	sim.calls = g_ptr_array_new_with_free_func(g_free);
	sim.journal =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	for (uint32_t i = 0; i < config->nodes; i++) {
		(void)snprintf(sim.nodes[i].id, DFF_NAME_MAX, "n%u", i);
		node_start(&sim, &sim.nodes[i]);
	}
	plan(&sim, 0, AT_LOG, NULL, 0, NULL);
	plan(&sim, DFF_SEC / 5, AT_FAULT, NULL, 0, NULL);
	while (result->broken == NULL && queue_pop(sim.queue, &item)) {
		if (item.at >= config->chaos + config->calm) {
			g_free(item.data);
			break;
		}
		happen(&sim, &item);
	}
	if (result->broken == NULL)
		check_rest(&sim);
	result->appends = dff_log_model_appends(sim.log);
	for (uint32_t i = 0; i < config->nodes; i++)
		node_kill(&sim.nodes[i]);
	g_hash_table_unref(sim.journal);
	g_ptr_array_unref(sim.calls);
	dff_log_model_drop(sim.log);
	queue_drop(sim.queue);
	dff_ctx_drop(sim.ctx);
}
