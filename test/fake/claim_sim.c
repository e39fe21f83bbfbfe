#include "claim_sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dragonflyfall/claim.h"
#include "dragonflyfall/model_log.h"
#include "proto/dragonflyfall.pb-c.h"
#include "queue.h"

#define NODES_MAX	 9
#define STEP		 (5 * DFF_MSEC)
#define DECISION_TIMEOUT DFF_SEC
#define APPEND_TIMEOUT	 (500 * DFF_MSEC)
#define KEY_RETENTION_MS (24 * 3600 * 1000)
/* A caller still waiting after this time is answered as not executed. */
#define CALL_TIMEOUT (2 * DFF_SEC)
/* Time until the other nodes learn that a killed node has ended. */
#define END_DETECTION_TIME (500 * DFF_MSEC)
/* One call in this many has a different body. */
#define CALLS_PER_OTHER_BODY 20

typedef enum event_kind {
	EVENT_NODE_STEP,
	EVENT_LOG_APPEND,
	EVENT_APPEND_ENDED,
	EVENT_CALL_ARRIVES, /* a caller's request arrives */
	EVENT_CALL_TIMEOUT, /* a caller stops waiting */
	EVENT_CALL_SENT, /* a won call is sent to the service */
	EVENT_REPLY, /* the service's reply, or its loss */
	EVENT_NODE_END_KNOWN, /* the others learn that a node has ended */
	EVENT_NODE_START,
	EVENT_FAULT,
	EVENT_LOG_STEP,
} event_kind_t;

typedef struct node {
	char id[DFF_NAME_MAX];
	dff_ctx_t *ctx;
	dff_timers_t *timers;
	dff_claims_t *claims; /* NULL while the process is not running */
	dff_effects_t *fx;
	uint64_t incarnation;
	dff_time_t paused_until;
	uint64_t read_limit; /* end of the next read, an offset */
} node_t;

/* A call, with its answer and its execution by the service. */
typedef struct call {
	dff_key_t key;
	uint64_t body;
	dff_time_t begun;
	bool answered; /* the caller got an answer */
	bool answered_not_executed;
	bool executed;
} call_t;

/* The service's journal of one key. */
typedef struct journal {
	uint32_t executions;
	uint64_t reply; /* number of the call executed last */
} journal_t;

typedef struct append {
	uint64_t id;
	size_t len;
	uint8_t data[];
} append_t;

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
claim_sim_config_faults(claim_sim_config_t *config, uint32_t seed)
{
	memset(config, 0, sizeof(*config));
	config->seed = seed;
	config->nodes = 3;
	config->keys = 12;
	config->calls_per_s = 6;
	config->batch_delay = 20 * DFF_MSEC;
	config->faults = true;
	config->fault_time = 10 * DFF_SEC;
	config->recovery_time = 20 * DFF_SEC;
}

/* ---- helpers ---- */

static void
fail(sim_t *sim, const char *check)
{
	if (sim->result->failed_check != NULL)
		return;
	sim->result->failed_check = check;
	sim->result->failed_at = sim->now;
}

static bool
chance(sim_t *sim, uint32_t percent)
{
	return sim->config->faults && sim->now < sim->config->fault_time &&
	    dff_rand_below(sim->ctx, 100) < percent;
}

static dff_time_t
random_time(sim_t *sim, dff_time_t from, dff_time_t to)
{
	return from +
	    (dff_time_t)(dff_rand_unit(sim->ctx) * (double)(to - from));
}

static void
schedule(sim_t *sim, dff_time_t delay, event_kind_t kind, const node_t *node,
    uint64_t id, void *data)
{
	queue_item_t item = {.at = sim->now + delay, .kind = kind, .id = id};

	if (node != NULL) {
		item.node = (uint32_t)(node - sim->nodes);
		item.life = node->incarnation;
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
answer_not_executed(sim_t *sim, uint64_t number)
{
	call_t *call = call_at(sim, number);

	if (call->answered)
		return;
	call->answered = true;
	call->answered_not_executed = true;
	sim->result->not_executed++;
	if (call->executed)
		fail(sim, "answered as not executed, but executed");
}

static void
check_answer(sim_t *sim, const call_t *call, const dff_claim_answer_t *answer)
{
	const journal_t *journal = journal_of(sim, call->key);
	uint64_t reply = 0;

	if (answer->len == sizeof(reply))
		memcpy(&reply, answer->body, sizeof(reply));
	if (reply != journal->reply || reply == 0)
		fail(sim, "replay returned a different answer");
	if (call_at(sim, reply)->body != call->body)
		fail(sim, "replay to a call with a different body");
}

static void
take_verdict(sim_t *sim, node_t *node, uint64_t number, dff_claim_state_t state,
    const dff_claim_answer_t *answer)
{
	call_t *call = call_at(sim, number);

	if (state == DFF_CLAIM_WAIT)
		return;
	sim->result->decision_time += sim->now - call->begun;
	sim->result->verdicts++;
	switch (state) {
	case DFF_CLAIM_WON:
		if (call->answered)
			fail(sim, "won after the call was answered");
		/* Some calls fail before the send: released, not executed. */
		if (chance(sim, 10)) {
			dff_claims_finish(node->ctx, node->claims, call->key,
			    DFF_CLAIM_NOT_EXECUTED, NULL, sim->now, node->fx);
			answer_not_executed(sim, number);
			return;
		}
		schedule(sim, random_time(sim, 0, 2 * DFF_MSEC),
		    EVENT_CALL_SENT, node, number, NULL);
		return;
	case DFF_CLAIM_REPLAYED:
		sim->result->replayed++;
		call->answered = true;
		check_answer(sim, call, answer);
		return;
	case DFF_CLAIM_NOT_EXECUTED:
		answer_not_executed(sim, number);
		return;
	case DFF_CLAIM_RUNNING:
		sim->result->running++;
		call->answered = true;
		return;
	case DFF_CLAIM_UNKNOWN:
		sim->result->unknown++;
		call->answered = true;
		return;
	case DFF_CLAIM_MISMATCH:
	case DFF_CLAIM_WAIT:
		call->answered = true;
		return;
	}
}

static void
take_verdicts(sim_t *sim, node_t *node)
{
	dff_claim_verdict_t verdict;

	while (dff_claims_next_verdict(node->claims, &verdict))
		take_verdict(
		    sim, node, verdict.call, verdict.state, &verdict.answer);
}

static void
start_call(sim_t *sim, node_t *node)
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
	call->body =
	    dff_rand_below(sim->ctx, CALLS_PER_OTHER_BODY) == 0 ? 2 : 1;
	up = dff_log_model_range(
		 sim->log, DFF_STREAM_CLAIMS, sim->now, &range) == DFF_LOG_OK;
	state = dff_claims_begin(node->ctx, node->claims, call->key, call->body,
	    sim->calls->len, up, sim->now, node->fx, &answer);
	if (state == DFF_CLAIM_NOT_EXECUTED && up)
		fail(sim, "answered as not executed while the log is up");
	take_verdict(sim, node, sim->calls->len, state, &answer);
	if (state == DFF_CLAIM_WAIT)
		schedule(sim, random_time(sim, CALL_TIMEOUT / 8, CALL_TIMEOUT),
		    EVENT_CALL_TIMEOUT, node, sim->calls->len, NULL);
}

static void
schedule_next_call(sim_t *sim, node_t *node)
{
	double gap = (double)DFF_SEC / sim->config->calls_per_s;

	schedule(sim, (dff_time_t)(2 * gap * dff_rand_unit(sim->ctx)),
	    EVENT_CALL_ARRIVES, node, 0, NULL);
}

/* ---- the service ---- */

static void
execute_call(sim_t *sim, node_t *node, uint64_t number)
{
	call_t *call = call_at(sim, number);
	journal_t *journal = journal_of(sim, call->key);

	if (call->answered_not_executed)
		fail(sim, "answered as not executed, but executed");
	call->executed = true;
	journal->executions++;
	journal->reply = number;
	sim->result->executed++;
	if (journal->executions > 1)
		fail(sim, "ran twice");
	schedule(sim, random_time(sim, DFF_MSEC, 100 * DFF_MSEC), EVENT_REPLY,
	    node, number, NULL);
}

static void
finish_call(sim_t *sim, node_t *node, uint64_t number)
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
	    lost ? DFF_CLAIM_UNKNOWN : DFF_CLAIM_REPLAYED, &answer, sim->now,
	    node->fx);
	call->answered = true;
}

/* ---- nodes and the log ---- */

static void
start_node(sim_t *sim, node_t *node)
{
	dff_claims_config_t config = {
	    .incarnation = ++node->incarnation,
	    .batch_delay = sim->config->batch_delay,
	    .batch_max = 64,
	    .decision_timeout = DECISION_TIMEOUT,
	    .key_retention_ms = KEY_RETENTION_MS,
	};

	(void)dff_name_copy(config.node, node->id);
	node->ctx = dff_ctx_new(dff_rand_below(sim->ctx, UINT32_MAX),
	    DFF_LOG_INFO, sim->config->log ? print_line : NULL, node);
	node->timers = dff_timers_new();
	node->fx = dff_effects_new();
	node->claims = dff_claims_new(node->ctx, &config, node->timers);
	node->paused_until = 0;
	node->read_limit = 0;
	schedule(
	    sim, random_time(sim, 0, STEP), EVENT_NODE_STEP, node, 0, NULL);
	schedule(sim, END_DETECTION_TIME, EVENT_NODE_END_KNOWN, NULL, 0, NULL);
	schedule_next_call(sim, node);
}

static void
kill_node(node_t *node)
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
schedule_append_result(sim_t *sim, node_t *node, uint64_t id,
    dff_append_t outcome, uint64_t offset, dff_time_t delay)
{
	dff_ev_log_appended_t *ev = g_new0(dff_ev_log_appended_t, 1);

	ev->id = id;
	ev->outcome = outcome;
	ev->offset = offset;
	schedule(sim, delay, EVENT_APPEND_ENDED, node, 0, ev);
}

static void
log_append(sim_t *sim, node_t *node, const append_t *append)
{
	uint64_t offset = 0;
	dff_log_status_t status;

	if (chance(sim, 5))
		dff_log_model_delay_appends(
		    sim->log, 1, random_time(sim, 0, 4 * DECISION_TIMEOUT));
	else if (chance(sim, 5))
		dff_log_model_lose_answers(sim->log, 1);
	if (chance(sim, 3)) {
		schedule_append_result(sim, node, append->id,
		    DFF_APPEND_UNKNOWN, 0, APPEND_TIMEOUT);
		return;
	}
	status = dff_log_model_append(sim->log, DFF_STREAM_CLAIMS, append->data,
	    append->len, sim->now, &offset);
	if (status == DFF_LOG_OK)
		schedule_append_result(sim, node, append->id, DFF_APPEND_DONE,
		    offset, random_time(sim, DFF_MSEC, 5 * DFF_MSEC));
	else if (status == DFF_LOG_NO_ANSWER)
		schedule_append_result(sim, node, append->id,
		    DFF_APPEND_UNKNOWN, 0, APPEND_TIMEOUT);
	else
		schedule_append_result(sim, node, append->id,
		    DFF_APPEND_REFUSED, 0,
		    random_time(sim, DFF_MSEC, 5 * DFF_MSEC));
}

static void
read_claims_stream(sim_t *sim, node_t *node)
{
	dff_log_range_t range;
	dff_log_entry_t entry;
	uint64_t next = dff_claims_applied(node->claims) + 1;

	for (; next < node->read_limit; next++) {
		if (!dff_log_model_get(
			sim->log, DFF_STREAM_CLAIMS, next, &entry))
			break;
		(void)dff_claims_apply(node->ctx, node->claims, next,
		    entry.data, entry.len, entry.time_ms, sim->now, node->fx);
	}
	node->read_limit = 0;
	if (dff_log_model_range(
		sim->log, DFF_STREAM_CLAIMS, sim->now, &range) == DFF_LOG_OK)
		node->read_limit = range.next;
}

static void
perform_effects(sim_t *sim, node_t *node)
{
	for (size_t i = 0; i < dff_effects_count(node->fx); i++) {
		const dff_fx_log_append_t *fx =
		    &dff_effects_at(node->fx, i)->u.log_append;
		append_t *append = g_malloc(sizeof(*append) + fx->len);

		append->id = fx->id;
		append->len = fx->len;
		memcpy(append->data, fx->data, fx->len);
		schedule(sim, random_time(sim, DFF_MSEC, 5 * DFF_MSEC),
		    EVENT_LOG_APPEND, node, 0, append);
	}
	dff_effects_clear(node->fx);
}

static void
step_node(sim_t *sim, node_t *node)
{
	dff_timer_t due;

	read_claims_stream(sim, node);
	while (dff_timers_pop(node->timers, sim->now, &due))
		dff_claims_timer_due(
		    node->ctx, node->claims, &due, sim->now, node->fx);
	schedule(sim, STEP, EVENT_NODE_STEP, node, 0, NULL);
}

/* Membership: tells each node which processes of the others have ended. */
static void
report_ended_processes(sim_t *sim)
{
	for (uint32_t i = 0; i < sim->config->nodes; i++) {
		node_t *node = &sim->nodes[i];

		for (uint32_t k = 0; k < sim->config->nodes; k++) {
			const node_t *other = &sim->nodes[k];

			if (node->claims == NULL || i == k)
				continue;
			dff_claims_holder_ended(node->ctx, node->claims,
			    other->id,
			    other->incarnation - (other->claims != NULL));
		}
	}
}

/* Loads the snapshot of a random node, which may have read further. */
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
inject_fault(sim_t *sim)
{
	node_t *node =
	    &sim->nodes[dff_rand_below(sim->ctx, sim->config->nodes)];
	bool down = chance(sim, 10);

	schedule(sim, random_time(sim, DFF_SEC / 5, DFF_SEC), EVENT_FAULT, NULL,
	    0, NULL);
	dff_log_model_set_outage(sim->log, down, down);
	if (node->claims == NULL)
		return;
	if (chance(sim, 20))
		load_snapshot(sim, node);
	if (chance(sim, 20)) {
		kill_node(node);
		schedule(sim, END_DETECTION_TIME, EVENT_NODE_END_KNOWN, NULL, 0,
		    NULL);
		schedule(sim, random_time(sim, DFF_SEC / 5, 2 * DFF_SEC),
		    EVENT_NODE_START, NULL, (uint64_t)(node - sim->nodes),
		    NULL);
	} else if (chance(sim, 40)) {
		node->paused_until =
		    sim->now + random_time(sim, DFF_SEC / 10, 3 * DFF_SEC);
	}
}

/* ---- a run ---- */

static void
handle_node_event(sim_t *sim, node_t *node, const queue_item_t *item)
{
	switch ((event_kind_t)item->kind) {
	case EVENT_NODE_STEP:
		step_node(sim, node);
		break;
	case EVENT_APPEND_ENDED:
		dff_claims_appended(
		    node->ctx, node->claims, item->data, sim->now, node->fx);
		break;
	case EVENT_CALL_ARRIVES:
		if (sim->now >= sim->config->fault_time)
			break;
		start_call(sim, node);
		schedule_next_call(sim, node);
		break;
	case EVENT_CALL_TIMEOUT:
		/* Executed calls are answered when the reply comes. */
		if (!call_at(sim, item->id)->answered &&
		    !call_at(sim, item->id)->executed) {
			dff_claims_abandon(node->ctx, node->claims, item->id);
			answer_not_executed(sim, item->id);
		}
		break;
	case EVENT_CALL_SENT:
		if (call_at(sim, item->id)->answered)
			dff_claims_finish(node->ctx, node->claims,
			    call_at(sim, item->id)->key, DFF_CLAIM_NOT_EXECUTED,
			    NULL, sim->now, node->fx);
		else
			execute_call(sim, node, item->id);
		break;
	case EVENT_REPLY:
		finish_call(sim, node, item->id);
		break;
	default:
		break;
	}
	take_verdicts(sim, node);
	perform_effects(sim, node);
}

static bool
handle_global_event(sim_t *sim, const queue_item_t *item)
{
	switch ((event_kind_t)item->kind) {
	case EVENT_LOG_APPEND:
		log_append(sim, &sim->nodes[item->node], item->data);
		return true;
	case EVENT_NODE_END_KNOWN:
		report_ended_processes(sim);
		return true;
	case EVENT_NODE_START:
		start_node(sim, &sim->nodes[item->id]);
		return true;
	case EVENT_FAULT:
		inject_fault(sim);
		return true;
	case EVENT_LOG_STEP:
		(void)dff_log_model_advance(sim->log, sim->now);
		schedule(sim, STEP, EVENT_LOG_STEP, NULL, 0, NULL);
		return true;
	default:
		return false;
	}
}

static void
handle_event(sim_t *sim, queue_item_t *item)
{
	node_t *node = &sim->nodes[item->node];

	sim->now = item->at;
	if (handle_global_event(sim, item)) {
		g_free(item->data);
		return;
	}
	if (node->claims == NULL || node->incarnation != item->life) {
		g_free(item->data);
		return;
	}
	if (sim->now < node->paused_until) {
		item->at = node->paused_until + random_time(sim, 0, DFF_MSEC);
		queue_add(sim->queue, item);
		return;
	}
	handle_node_event(sim, node, item);
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

/* After recovery no call waits, and all nodes have the same state. */
static void
check_final_state(sim_t *sim)
{
	const node_t *first = &sim->nodes[0];
	dff_claim_answer_t answer;

	for (uint32_t i = 1; i <= sim->config->keys; i++) {
		dff_key_t key = {0, i};

		if (dff_claims_begin(first->ctx, first->claims, key, 1, 0,
			false, sim->now, first->fx,
			&answer) == DFF_CLAIM_RUNNING)
			fail(sim, "key claimed by no call");
	}
	for (uint32_t i = 0; i < sim->config->nodes; i++) {
		const node_t *node = &sim->nodes[i];

		if (dff_claims_open_count(node->claims) != 0)
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
		start_node(&sim, &sim.nodes[i]);
	}
	schedule(&sim, 0, EVENT_LOG_STEP, NULL, 0, NULL);
	schedule(&sim, DFF_SEC / 5, EVENT_FAULT, NULL, 0, NULL);
	while (result->failed_check == NULL && queue_pop(sim.queue, &item)) {
		if (item.at >= config->fault_time + config->recovery_time) {
			g_free(item.data);
			break;
		}
		handle_event(&sim, &item);
	}
	if (result->failed_check == NULL)
		check_final_state(&sim);
	result->appends = dff_log_model_append_count(sim.log);
	for (uint32_t i = 0; i < config->nodes; i++)
		kill_node(&sim.nodes[i]);
	g_hash_table_unref(sim.journal);
	g_ptr_array_unref(sim.calls);
	dff_log_model_drop(sim.log);
	queue_drop(sim.queue);
	dff_ctx_drop(sim.ctx);
}
