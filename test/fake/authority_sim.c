#include "authority_sim.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "authority/state.h"
#include "dragonflyfall/model_engine.h"
#include "dragonflyfall/model_log.h"
#include "proto/dragonflyfall.pb-c.h"
#include "queue.h"

#define NODES_MAX   9
#define ENGINES_MAX 12

#define TERM		 (3 * DFF_SEC)
#define DRIFT		 (200 * DFF_MSEC)
#define TCP_TIMEOUT	 (2 * DFF_SEC)
#define DRAIN_TIMEOUT	 (5 * DFF_SEC)
#define STEP		 (20 * DFF_MSEC)
#define VM_LIST_INTERVAL DFF_SEC
/* Orders, appends and state queries time out after this. */
#define REPLY_TIMEOUT (800 * DFF_MSEC)
/* Time between reads over a slow link, each of which returns one record. */
#define SLOW_READ_TIME (300 * DFF_MSEC)
/* An order whose answer timed out arrives within this time after that. */
#define ORDER_DELAY_MAX (1500 * DFF_MSEC)
#define POOL		"models"

typedef enum event_kind {
	EVENT_NODE_STEP, /* a node reads the log and runs its timers */
	EVENT_VM_LIST, /* a node reads the VM list */
	EVENT_APPEND, /* an append reaches the log */
	EVENT_APPEND_RESULT, /* its result reaches the node */
	EVENT_ORDER_WRITE, /* a node writes an order to its socket */
	EVENT_ORDER_RECEIVE, /* the order reaches the engine */
	EVENT_ORDER_ANSWER, /* the order's answer reaches the node */
	EVENT_STATE_QUERY, /* a state query reaches an engine */
	EVENT_STATE_ANSWER, /* the state reaches the node */
	EVENT_REQUEST, /* a request reaches an engine */
	EVENT_PROPOSE, /* a node proposes a change */
	EVENT_ENGINES_STEP, /* engines and the log advance */
	EVENT_FAULT, /* a fault is injected */
	EVENT_NODE_START, /* a killed node restarts */
} event_kind_t;

typedef struct node {
	char vm[DFF_NAME_MAX];
	char id[DFF_NAME_MAX];
	char domain[DFF_NAME_MAX];
	dff_ctx_t *ctx;
	dff_timers_t *timers;
	dff_authority_t *auth; /* NULL while it is killed */
	dff_effects_t *fx;
	uint64_t life;
	dff_time_t paused_until;
	dff_time_t partitioned_until; /* no connection to the log */
	dff_time_t slow_until; /* reads slowly, cannot append */
	dff_time_t read_at; /* time of the next slow read */
	uint64_t read_to; /* end of the read that the next step delivers */
	dff_time_t read_asked;
} node_t;

typedef struct engine {
	char vm[DFF_NAME_MAX];
	char shard[DFF_NAME_MAX * 2];
	dff_engine_model_t *model;
	uint64_t newest_order; /* highest order id received */
} engine_t;

/* State of a lease, derived from the log independently of the product. */
typedef struct oracle_lease {
	char holder[DFF_NAME_MAX];
	uint64_t incarnation;
	uint64_t fence;
	uint64_t last;
} oracle_lease_t;

typedef struct oracle_order {
	char vm[DFF_NAME_MAX];
	uint32_t kind;
	char target[DFF_NAME_MAX];
	bool received;
	uint32_t outcome; /* OrderOutcome.outcome; 0 for none */
} oracle_order_t;

typedef struct append {
	uint64_t id;
	size_t len;
	uint8_t data[];
} append_t;

typedef struct order {
	uint32_t engine;
	uint64_t fence;
	dff_order_kind_t kind;
	char target[DFF_NAME_MAX];
	bool timed_out; /* the answer timed out at the sender */
	dff_order_answer_t answer;
} order_t;

typedef struct state_query {
	uint32_t engine;
	dff_time_t asked;
	bool ok;
	dff_engine_state_t state;
	char model[DFF_NAME_MAX];
	char adapter[DFF_NAME_MAX];
} state_query_t;

typedef struct sim {
	const authority_sim_config_t *config;
	authority_sim_result_t *result;
	dff_ctx_t *ctx;
	queue_t *queue;
	dff_log_model_t *log;
	dff_catalogue_t *cat;
	node_t nodes[NODES_MAX];
	engine_t engines[ENGINES_MAX];
	GHashTable *leases; /* shard -> oracle_lease_t */
	GHashTable *orders; /* id -> oracle_order_t */
	GArray *out; /* dff_engine_out_t */
	uint64_t records_read; /* records that the oracle has read */
	uint64_t requests;
	dff_time_t now;
	dff_time_t holder_killed_at; /* time at which a holder was killed */
	char killed_holder_shard[DFF_NAME_MAX * 2];
} sim_t;

static const char catalogue_format[] =
    "[dragonflyfall]\nformat=1\n"
    "[owner k]\nsecret_sha256="
    "a906446263f86c8b71d003099a537d9a50b6ba335ca5f136d460ae8cd9da7ff7\n"
    "weight=1\n"
    "[class c]\nfirst_token_ms=1000\ntoken_gap_ms=100\nwhole_ms=5000\n"
    "priority=0\n"
    "[pool " POOL "]\nkind=engine\nmodel=m\nversion=%u\nfencing=%s\n"
    "roles=any\nrole_change_price=1\nrole_change_away_ms=1000\n"
    "[entry e]\nowner=k\nclass=c\npool=" POOL "\n"
    "max_prompt_tokens=100\nmax_output_tokens=100\n";

void
authority_sim_all_faults(authority_sim_config_t *config, uint32_t seed)
{
	memset(config, 0, sizeof(*config));
	config->seed = seed;
	config->nodes = 3;
	config->engines = 4;
	config->send_requests = true;
	config->pauses = true;
	config->kills = true;
	config->log_outages = true;
	config->lost_appends = true;
	config->lost_orders = true;
	config->engine_crashes = true;
	config->log_partitions = true;
	config->slow_log = true;
	config->check_fence = seed % 2 == 0;
	config->fault_time = 40 * DFF_SEC;
	config->recovery_time = 60 * DFF_SEC;
}

void
authority_sim_late_orders(authority_sim_config_t *config, uint32_t seed)
{
	memset(config, 0, sizeof(*config));
	config->seed = seed;
	config->nodes = 3;
	config->engines = 2;
	config->pauses = true;
	config->lost_orders = true;
	config->late_orders = true;
	config->fault_time = 30 * DFF_SEC;
	config->recovery_time = 30 * DFF_SEC;
}

void
authority_sim_upgrade(authority_sim_config_t *config, uint32_t seed)
{
	memset(config, 0, sizeof(*config));
	config->seed = seed;
	config->nodes = 3;
	config->engines = 6;
	config->send_requests = true;
	config->pauses = true;
	config->lost_appends = true;
	config->upgrade = true;
	config->check_fence = seed % 2 == 0;
	config->fault_time = 60 * DFF_SEC;
	config->recovery_time = 340 * DFF_SEC;
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
chance(sim_t *sim, bool on, uint32_t percent)
{
	return on && sim->now < sim->config->fault_time &&
	    dff_rand_below(sim->ctx, 100) < percent;
}

static dff_time_t
random_time(sim_t *sim, dff_time_t from, dff_time_t to)
{
	return from +
	    (dff_time_t)(dff_rand_unit(sim->ctx) * (double)(to - from));
}

static void
schedule(sim_t *sim, dff_time_t in, event_kind_t kind, const node_t *node,
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

static engine_t *
find_engine(sim_t *sim, const char *vm)
{
	for (uint32_t i = 0; i < sim->config->engines; i++) {
		if (strcmp(sim->engines[i].vm, vm) == 0)
			return &sim->engines[i];
	}
	return NULL;
}

static void
print_line(void *arg, dff_level_t level, const char *part, const char *text)
{
	const node_t *node = arg;

	(void)level;
	printf("%s %s: %s\n", node->id, part, text);
}

/* ---- nodes ---- */

static void
node_start(sim_t *sim, node_t *node)
{
	dff_authority_config_t config = {
	    .incarnation = ++node->life,
	    .can_hold_leases = true,
	    .term = sim->config->term != 0 ? sim->config->term : TERM,
	    .drift = DRIFT,
	    .tcp_timeout = TCP_TIMEOUT,
	    .drain_timeout = DRAIN_TIMEOUT,
	};

	(void)dff_name_copy(config.node, node->id);
	(void)dff_name_copy(config.domain, node->domain);
	node->ctx = dff_ctx_new(dff_rand_below(sim->ctx, UINT32_MAX),
	    DFF_LOG_INFO, sim->config->print_log ? print_line : NULL, node);
	node->timers = dff_timers_new();
	node->fx = dff_effects_new();
	node->auth = dff_authority_new(node->ctx, &config, node->timers);
	node->paused_until = 0;
	node->read_to = 0;
	dff_authority_set_catalogue(node->auth, sim->cat);
	dff_authority_start(node->auth, sim->now);
	schedule(
	    sim, random_time(sim, 0, STEP), EVENT_NODE_STEP, node, 0, NULL);
	schedule(sim, 0, EVENT_VM_LIST, node, 0, NULL);
	schedule(
	    sim, random_time(sim, 0, DFF_SEC), EVENT_PROPOSE, node, 0, NULL);
}

static void
node_kill(node_t *node)
{
	if (node->auth == NULL)
		return;
	dff_authority_drop(node->auth);
	dff_effects_drop(node->fx);
	dff_timers_drop(node->timers);
	dff_ctx_drop(node->ctx);
	node->auth = NULL;
}

static void
load_vms(sim_t *sim, node_t *node)
{
	dff_vm_t vms[NODES_MAX + ENGINES_MAX];
	size_t count = 0;

	memset(vms, 0, sizeof(vms));
	for (uint32_t i = 0; i < sim->config->nodes; i++) {
		const node_t *other = &sim->nodes[i];

		if (other->vm[0] == '\0')
			continue;
		(void)dff_name_copy(vms[count].id, other->vm);
		(void)dff_name_copy(vms[count].domain, other->domain);
		vms[count].kind = DFF_VM_ENTRY;
		vms[count++].incarnation = 1;
	}
	for (uint32_t i = 0; i < sim->config->engines; i++) {
		(void)dff_name_copy(vms[count].id, sim->engines[i].vm);
		(void)dff_name_copy(
		    vms[count].domain, i % 2 == 0 ? "east" : "west");
		(void)dff_name_copy(vms[count].pool, POOL);
		(void)snprintf(vms[count].addr, DFF_ADDR_MAX, "10.0.0.%u:1", i);
		vms[count++].kind = DFF_VM_ENGINE;
	}
	dff_authority_load_vms(node->ctx, node->auth, vms, count, sim->now);
	schedule(sim, VM_LIST_INTERVAL, EVENT_VM_LIST, node, 0, NULL);
}

/* ---- the log ---- */

static oracle_lease_t *
oracle_lease(sim_t *sim, const char *shard)
{
	oracle_lease_t *lease = g_hash_table_lookup(sim->leases, shard);

	if (lease != NULL)
		return lease;
	lease = g_new0(oracle_lease_t, 1);
	g_hash_table_insert(sim->leases, g_strdup(shard), lease);
	return lease;
}

static void
oracle_claim(sim_t *sim, const Dff__Record *record, uint64_t offset)
{
	oracle_lease_t *lease = oracle_lease(sim, record->lease_claim->shard);

	if (record->lease_claim->after != lease->last)
		return;
	(void)dff_name_copy(lease->holder, record->writer);
	lease->incarnation = record->incarnation;
	lease->fence = offset;
	lease->last = offset;
	sim->result->grants++;
	if (sim->holder_killed_at != 0 && sim->result->failover_time == 0 &&
	    strcmp(sim->killed_holder_shard, record->lease_claim->shard) == 0)
		sim->result->failover_time = sim->now - sim->holder_killed_at;
}

static void
oracle_renewal(sim_t *sim, const Dff__Record *record, const Dff__Lease *body,
    uint64_t offset)
{
	oracle_lease_t *lease = oracle_lease(sim, body->shard);

	if (lease->fence == body->fence &&
	    lease->incarnation == record->incarnation &&
	    strcmp(lease->holder, record->writer) == 0)
		lease->last = offset;
}

static void
oracle_intent(sim_t *sim, const Dff__Record *record, uint64_t offset)
{
	const Dff__OrderIntent *body = record->intent;
	const oracle_lease_t *lease = oracle_lease(sim, body->shard);
	oracle_order_t *order;

	if (lease->fence != body->fence)
		return;
	order = g_new0(oracle_order_t, 1);
	(void)dff_name_copy(order->vm, body->vm);
	order->kind = body->kind;
	(void)dff_name_copy(order->target, body->target);
	g_hash_table_insert(
	    sim->orders, g_memdup2(&offset, sizeof(offset)), order);
}

/* An order recorded as cancelled must not have reached an engine. */
static void
oracle_outcome(sim_t *sim, const Dff__Record *record)
{
	const Dff__OrderOutcome *body = record->order_outcome;
	const oracle_lease_t *lease = oracle_lease(sim, body->shard);
	oracle_order_t *order = g_hash_table_lookup(sim->orders, &body->order);

	if (order == NULL || lease->fence != body->fence || order->outcome != 0)
		return;
	order->outcome = body->outcome;
	if (body->outcome == OUTCOME_CANCELLED && order->received)
		fail(sim, "cancelled order was sent");
}

static void
oracle_read(sim_t *sim)
{
	dff_log_entry_t entry;

	while (dff_log_model_get(
	    sim->log, DFF_STREAM_AUTHORITY, sim->records_read + 1, &entry)) {
		Dff__Record *record =
		    dff__record__unpack(NULL, entry.len, entry.data);

		sim->records_read++;
		switch (record->body_case) {
		case DFF__RECORD__BODY_LEASE_CLAIM:
			oracle_claim(sim, record, entry.offset);
			break;
		case DFF__RECORD__BODY_LEASE_RENEW:
			oracle_renewal(
			    sim, record, record->lease_renew, entry.offset);
			break;
		case DFF__RECORD__BODY_LEASE_RELEASE:
			oracle_renewal(
			    sim, record, record->lease_release, entry.offset);
			break;
		case DFF__RECORD__BODY_INTENT:
			oracle_intent(sim, record, entry.offset);
			break;
		case DFF__RECORD__BODY_ORDER_OUTCOME:
			oracle_outcome(sim, record);
			break;
		default:
			break;
		}
		dff__record__free_unpacked(record, NULL);
	}
}

static void
answer_append(sim_t *sim, node_t *node, uint64_t id, dff_append_t outcome,
    uint64_t offset, dff_time_t in)
{
	dff_ev_log_appended_t *ev = g_new0(dff_ev_log_appended_t, 1);

	ev->id = id;
	ev->outcome = outcome;
	ev->offset = offset;
	schedule(sim, in, EVENT_APPEND_RESULT, node, 0, ev);
}

static void
log_append(sim_t *sim, node_t *node, const append_t *append)
{
	uint64_t offset = 0;
	dff_log_status_t status;

	if (sim->now < MAX(node->partitioned_until, node->slow_until)) {
		answer_append(
		    sim, node, append->id, DFF_APPEND_REFUSED, 0, DFF_MSEC);
		return;
	}
	if (chance(sim, sim->config->lost_appends, 3))
		dff_log_model_delay_appends(
		    sim->log, 1, random_time(sim, 0, 15 * DFF_SEC));
	else if (chance(sim, sim->config->lost_appends, 5))
		dff_log_model_lose_answers(sim->log, 1);
	if (chance(sim, sim->config->lost_appends, 2)) {
		answer_append(sim, node, append->id, DFF_APPEND_UNKNOWN, 0,
		    REPLY_TIMEOUT);
		return;
	}
	status = dff_log_model_append(sim->log, DFF_STREAM_AUTHORITY,
	    append->data, append->len, sim->now, &offset);
	oracle_read(sim);
	if (status == DFF_LOG_OK)
		answer_append(sim, node, append->id, DFF_APPEND_DONE, offset,
		    random_time(sim, DFF_MSEC, 5 * DFF_MSEC));
	else if (status == DFF_LOG_NO_ANSWER)
		answer_append(sim, node, append->id, DFF_APPEND_UNKNOWN, 0,
		    REPLY_TIMEOUT);
	else
		answer_append(sim, node, append->id, DFF_APPEND_REFUSED, 0,
		    random_time(sim, DFF_MSEC, 5 * DFF_MSEC));
}

static void
node_read(sim_t *sim, node_t *node)
{
	dff_log_range_t range;
	dff_log_entry_t entry;
	uint64_t next = dff_authority_applied(node->auth) + 1;

	if (sim->now < node->partitioned_until)
		return;
	if (sim->now < node->slow_until) {
		if (sim->now < node->read_at)
			return;
		node->read_at = sim->now + SLOW_READ_TIME;
		node->read_to = MIN(node->read_to, next + 1);
	}
	for (; next < node->read_to; next++) {
		if (!dff_log_model_get(
			sim->log, DFF_STREAM_AUTHORITY, next, &entry))
			break;
		(void)dff_authority_apply(node->ctx, node->auth, next,
		    entry.data, entry.len, entry.time_ms, sim->now, node->fx);
	}
	if (node->read_to != 0 && sim->now >= node->slow_until)
		dff_authority_caught_up(node->auth, node->read_asked);
	node->read_to = 0;
	if (dff_log_model_range(
		sim->log, DFF_STREAM_AUTHORITY, sim->now, &range) != DFF_LOG_OK)
		return;
	node->read_to = range.next;
	node->read_asked = sim->now;
}

/* ---- engines ---- */

static void
engine_advance(sim_t *sim, engine_t *engine)
{
	g_array_set_size(sim->out, 0);
	dff_engine_model_advance(sim->ctx, engine->model, sim->now, sim->out);
	for (guint i = 0; i < sim->out->len; i++) {
		if (g_array_index(sim->out, dff_engine_out_t, i).type ==
		    DFF_ENGINE_OUT_LOAD_REQUEST)
			dff_engine_model_load_reply(engine->model, 0, sim->now);
	}
}

/* The engine had already received its latest order and ignored this copy. */
static bool
was_duplicate(const engine_t *engine)
{
	const dff_engine_journal_entry_t *notes;
	size_t count;

	notes = dff_engine_model_journal(engine->model, &count);
	return count > 0 && notes[count - 1].repeated;
}

static void
count_late_order(sim_t *sim)
{
	sim->result->orders_late++;
	if (sim->config->check_fence)
		fail(sim, "order had effect after its outcome");
}

/* An order must be in the log, and no older than others the engine got. */
static void
check_received(sim_t *sim, engine_t *engine, uint64_t id, const order_t *order)
{
	oracle_order_t *expected = g_hash_table_lookup(sim->orders, &id);

	if (expected == NULL || expected->kind != order->kind ||
	    strcmp(expected->vm, engine->vm) != 0 ||
	    strcmp(expected->target, order->target) != 0) {
		fail(sim, "order not in the log");
		return;
	}
	expected->received = true;
	if (expected->outcome == OUTCOME_CANCELLED)
		fail(sim, "cancelled order was sent");
	if (expected->outcome != 0 && order->answer == DFF_ORDER_ACCEPTED &&
	    !was_duplicate(engine))
		count_late_order(sim);
	if (id < engine->newest_order &&
	    !(sim->config->check_fence && was_duplicate(engine)))
		fail(sim, "conflicting orders");
	engine->newest_order = MAX(engine->newest_order, id);
}

static void
engine_receive(sim_t *sim, node_t *node, uint64_t id, order_t *order)
{
	engine_t *engine = &sim->engines[order->engine];
	guint before;

	engine_advance(sim, engine);
	g_array_set_size(sim->out, 0);
	before = sim->out->len;
	order->answer = dff_engine_model_order(engine->model, id, order->fence,
	    order->kind, order->target, sim->now, sim->out);
	if (order->answer == DFF_ORDER_FENCED) {
		sim->result->orders_fenced++;
	} else if (order->answer != DFF_ORDER_NOT_SENT) {
		sim->result->orders_received++;
		check_received(sim, engine, id, order);
	}
	if (sim->out->len > before) {
		sim->result->requests_cut += sim->out->len - before;
		fail(sim, "request cut");
	}
	if (order->timed_out || chance(sim, sim->config->lost_orders, 15)) {
		if (!order->timed_out)
			order->answer = DFF_ORDER_UNKNOWN;
		else
			return;
		schedule(sim, REPLY_TIMEOUT, EVENT_ORDER_ANSWER, node, id,
		    g_memdup2(order, sizeof(*order)));
		return;
	}
	schedule(sim, random_time(sim, DFF_MSEC, 3 * DFF_MSEC),
	    EVENT_ORDER_ANSWER, node, id, g_memdup2(order, sizeof(*order)));
}

/* Sends the order from the node, possibly with a fault. */
static void
node_write_order(sim_t *sim, node_t *node, uint64_t id, const order_t *order)
{
	order_t *sent = g_memdup2(order, sizeof(*order));
	dff_time_t in = random_time(sim, DFF_MSEC, 5 * DFF_MSEC);

	if (chance(sim, sim->config->lost_orders, 5)) {
		sent->answer = DFF_ORDER_NOT_SENT;
		schedule(sim, in, EVENT_ORDER_ANSWER, node, id, sent);
		return;
	}
	if (chance(sim, sim->config->lost_orders, 10)) {
		sent->answer = DFF_ORDER_UNKNOWN;
		schedule(
		    sim, REPLY_TIMEOUT, EVENT_ORDER_ANSWER, node, id, sent);
		return;
	}
	if (chance(sim, sim->config->lost_orders,
		sim->config->late_orders ? 50 : 15)) {
		order_t *timed_out = g_memdup2(order, sizeof(*order));

		timed_out->answer = DFF_ORDER_UNKNOWN;
		schedule(sim, REPLY_TIMEOUT, EVENT_ORDER_ANSWER, node, id,
		    timed_out);
		sent->timed_out = true;
		in = random_time(
		    sim, REPLY_TIMEOUT, REPLY_TIMEOUT + ORDER_DELAY_MAX);
	}
	schedule(sim, in, EVENT_ORDER_RECEIVE, node, id, sent);
}

static void
engine_answer_query(sim_t *sim, node_t *node, state_query_t *query)
{
	engine_t *engine = &sim->engines[query->engine];
	state_query_t *answer = g_memdup2(query, sizeof(*query));

	engine_advance(sim, engine);
	answer->ok = dff_engine_model_up(engine->model) &&
	    !chance(sim, sim->config->lost_orders, 10);
	dff_engine_model_state(engine->model, &answer->state);
	g_strlcpy(answer->model, answer->state.model, sizeof(answer->model));
	g_strlcpy(
	    answer->adapter, answer->state.adapter, sizeof(answer->adapter));
	schedule(sim,
	    answer->ok ? random_time(sim, DFF_MSEC, 3 * DFF_MSEC) :
			 REPLY_TIMEOUT,
	    EVENT_STATE_ANSWER, node, 0, answer);
}

static void
node_receive_state(sim_t *sim, node_t *node, const state_query_t *answer)
{
	dff_ev_engine_state_t ev = {
	    .vm = sim->engines[answer->engine].vm,
	    .ok = answer->ok,
	    .sent_at = answer->asked,
	    .incarnation = answer->state.incarnation,
	    .role = answer->state.role,
	    .model = answer->model,
	    .version = answer->state.version,
	    .adapter = answer->adapter,
	    .reconfiguring = answer->state.reconfiguring,
	    .running = answer->state.running,
	    .last_order = answer->state.last_order,
	    .fence = answer->state.fence,
	};

	dff_authority_engine_state(
	    node->ctx, node->auth, &ev, sim->now, node->fx);
}

static void
submit_request(sim_t *sim, uint32_t engine)
{
	dff_engine_request_t request = {
	    .id = ++sim->requests,
	    .model = "",
	    .prompt_hash = sim->requests,
	    .prompt_tokens = 10,
	    .max_tokens = 200,
	    .answer_tokens = 5 + dff_rand_below(sim->ctx, 195),
	    .phase = DFF_PHASE_WHOLE,
	};

	engine_advance(sim, &sim->engines[engine]);
	if (dff_engine_model_submit(sim->ctx, sim->engines[engine].model,
		&request, sim->now) == DFF_ENGINE_ACCEPTED)
		sim->result->requests++;
}

/* ---- effects ---- */

/* An order may be sent only while its fencing number is the shard's latest. */
static void
check_sent(sim_t *sim, const engine_t *engine, const dff_fx_order_send_t *fx)
{
	oracle_read(sim);
	if (oracle_lease(sim, engine->shard)->fence != fx->fence)
		fail(sim, "order without authority");
}

static void
process_effects(sim_t *sim, node_t *node)
{
	for (size_t i = 0; i < dff_effects_count(node->fx); i++) {
		const dff_effect_t *effect = dff_effects_at(node->fx, i);

		if (effect->type == DFF_FX_LOG_APPEND) {
			const dff_fx_log_append_t *fx = &effect->u.log_append;
			append_t *append = g_malloc(sizeof(*append) + fx->len);

			append->id = fx->id;
			append->len = fx->len;
			memcpy(append->data, fx->data, fx->len);
			schedule(sim, random_time(sim, DFF_MSEC, 5 * DFF_MSEC),
			    EVENT_APPEND, node, 0, append);
		} else if (effect->type == DFF_FX_ORDER_SEND) {
			const dff_fx_order_send_t *fx = &effect->u.order_send;
			engine_t *engine = find_engine(sim, fx->vm);
			order_t *order = g_new0(order_t, 1);

			check_sent(sim, engine, fx);
			order->engine = (uint32_t)(engine - sim->engines);
			order->fence = fx->fence;
			order->kind = fx->kind;
			(void)dff_name_copy(order->target, fx->target);
			/* The process may pause before it writes. */
			if (chance(sim, sim->config->pauses, 15))
				node->paused_until = sim->now +
				    random_time(sim, DFF_SEC, 20 * DFF_SEC);
			schedule(sim, random_time(sim, 0, DFF_MSEC),
			    EVENT_ORDER_WRITE, node, fx->order, order);
		} else if (effect->type == DFF_FX_ENGINE_QUERY) {
			engine_t *engine =
			    find_engine(sim, effect->u.engine_query.vm);
			state_query_t *query = g_new0(state_query_t, 1);

			query->engine = (uint32_t)(engine - sim->engines);
			query->asked = sim->now;
			schedule(sim, random_time(sim, DFF_MSEC, 3 * DFF_MSEC),
			    EVENT_STATE_QUERY, node, 0, query);
		}
	}
	dff_effects_clear(node->fx);
}

/* ---- events ---- */

/* A node's term must have ended before another node's claim is logged. */
static void
check_terms(sim_t *sim, const node_t *node)
{
	dff_lease_view_t views[4];
	size_t count = dff_authority_leases(node->auth, views, 4);

	for (size_t i = 0; i < MIN(count, 4); i++) {
		if (views[i].held_here &&
		    oracle_lease(sim, views[i].shard)->fence != views[i].fence)
			fail(sim, "overlapping lease terms");
	}
}

static void
node_step(sim_t *sim, node_t *node)
{
	dff_timer_t due;

	node_read(sim, node);
	while (dff_timers_pop(node->timers, sim->now, &due)) {
		dff_authority_due(node->ctx, node->auth, sim->now, node->fx);
		check_terms(sim, node);
	}
	if (sim->config->send_requests && dff_rand_below(sim->ctx, 100) < 10) {
		uint32_t i = dff_rand_below(sim->ctx, sim->config->engines);

		if (!dff_authority_is_draining(node->auth, sim->engines[i].vm))
			schedule(sim, random_time(sim, DFF_MSEC, 5 * DFF_MSEC),
			    EVENT_REQUEST, node, i, NULL);
	}
	schedule(sim, STEP, EVENT_NODE_STEP, node, 0, NULL);
}

static void
node_propose(sim_t *sim, node_t *node)
{
	uint32_t i = dff_rand_below(sim->ctx, sim->config->engines);
	dff_role_t role = dff_rand_below(sim->ctx, DFF_ROLE_COUNT);
	dff_time_t wait = random_time(sim, DFF_SEC / 2, 2 * DFF_SEC);
	int err;

	if (sim->config->late_orders)
		wait = random_time(sim, DFF_SEC / 20, DFF_SEC / 10);
	schedule(sim, wait, EVENT_PROPOSE, node, 0, NULL);
	if (sim->now >= sim->config->fault_time || sim->config->upgrade)
		return;
	err = dff_authority_propose(node->ctx, node->auth, sim->engines[i].vm,
	    DFF_ORDER_ROLE, dff_role_name(role), sim->now, node->fx);
	if (err == -EBUSY)
		sim->result->proposals_refused++;
}

static void
inject_node_fault(sim_t *sim, node_t *node)
{
	if (node->auth == NULL)
		return;
	if (chance(sim, sim->config->kills, 30)) {
		node_kill(node);
		schedule(sim, random_time(sim, DFF_SEC, 8 * DFF_SEC),
		    EVENT_NODE_START, NULL, (uint64_t)(node - sim->nodes),
		    NULL);
		return;
	}
	if (chance(sim, sim->config->log_partitions, 50))
		node->partitioned_until =
		    sim->now + random_time(sim, DFF_SEC, 20 * DFF_SEC);
	if (chance(sim, sim->config->slow_log, 30))
		node->slow_until =
		    sim->now + random_time(sim, DFF_SEC, 20 * DFF_SEC);
	if (chance(sim, sim->config->pauses, 60))
		node->paused_until =
		    sim->now + random_time(sim, DFF_SEC / 10, 20 * DFF_SEC);
}

/* A node loads another node's snapshot if that is further in the stream. */
static void
load_snapshot(sim_t *sim, node_t *node)
{
	const node_t *other =
	    &sim->nodes[dff_rand_below(sim->ctx, sim->config->nodes)];
	uint8_t *data = NULL;
	int len;

	if (other->auth == NULL)
		return;
	len = dff_authority_save(other->ctx, other->auth, &data);
	if (len > 0)
		(void)dff_authority_load(
		    node->ctx, node->auth, data, (size_t)len, 1, sim->now);
	free(data);
}

static void
inject_fault(sim_t *sim)
{
	uint32_t node = dff_rand_below(sim->ctx, sim->config->nodes);
	uint32_t engine = dff_rand_below(sim->ctx, sim->config->engines);
	bool down = chance(sim, sim->config->log_outages, 15);

	schedule(sim, random_time(sim, DFF_SEC, 4 * DFF_SEC), EVENT_FAULT, NULL,
	    0, NULL);
	if (sim->nodes[node].auth != NULL &&
	    chance(sim, sim->config->kills, 20))
		load_snapshot(sim, &sim->nodes[node]);
	inject_node_fault(sim, &sim->nodes[node]);
	dff_log_model_set_outage(sim->log, down, down);
	if (chance(sim, sim->config->engine_crashes, 15))
		dff_engine_model_crash(
		    sim->engines[engine].model, sim->now, sim->out);
	else if (chance(sim, sim->config->engine_crashes, 15))
		dff_engine_model_crash_next_reconfig(
		    sim->engines[engine].model);
}

/* Restarts a killed process, on its VM or on a new VM that replaces it. */
static void
node_restart(sim_t *sim, node_t *node)
{
	if (chance(sim, sim->config->kills, 40)) {
		g_strlcat(node->vm, "x", sizeof(node->vm));
		g_strlcpy(node->id, node->vm, sizeof(node->id));
		g_strlcat(node->id, ".placer", sizeof(node->id));
	}
	node_start(sim, node);
}

static void
kill_holder(sim_t *sim)
{
	const char *shard = sim->engines[0].shard;
	const oracle_lease_t *lease = oracle_lease(sim, shard);

	for (uint32_t i = 0; i < sim->config->nodes; i++) {
		node_t *node = &sim->nodes[i];

		if (strcmp(node->id, lease->holder) != 0)
			continue;
		node_kill(node);
		sim->holder_killed_at = sim->now;
		g_strlcpy(sim->killed_holder_shard, shard,
		    sizeof(sim->killed_holder_shard));
	}
}

static void
handle_node_event(sim_t *sim, node_t *node, const queue_item_t *item)
{
	switch ((event_kind_t)item->kind) {
	case EVENT_NODE_STEP:
		node_step(sim, node);
		break;
	case EVENT_VM_LIST:
		load_vms(sim, node);
		break;
	case EVENT_APPEND_RESULT:
		dff_authority_appended(
		    node->ctx, node->auth, item->data, sim->now, node->fx);
		break;
	case EVENT_ORDER_WRITE:
		node_write_order(sim, node, item->id, item->data);
		break;
	case EVENT_ORDER_ANSWER: {
		const order_t *order = item->data;
		dff_ev_order_answer_t ev = {
		    .order = item->id, .answer = order->answer};

		dff_authority_order_answer(
		    node->ctx, node->auth, &ev, sim->now, node->fx);
		break;
	}
	case EVENT_STATE_ANSWER:
		node_receive_state(sim, node, item->data);
		break;
	case EVENT_PROPOSE:
		node_propose(sim, node);
		break;
	default:
		break;
	}
	process_effects(sim, node);
}

/* The weight store is rate-limited: one engine of a pool loads at a time. */
static void
check_weight_loads(sim_t *sim)
{
	uint32_t loads = 0;

	if (!sim->config->upgrade)
		return;
	for (uint32_t i = 0; i < sim->config->engines; i++) {
		dff_engine_state_t state;

		dff_engine_model_state(sim->engines[i].model, &state);
		loads += state.reconfiguring;
	}
	if (loads > 1)
		fail(sim, "concurrent weight loads");
}

/* Handles events that occur even if the node that caused them is killed. */
static bool
handle_shared_event(sim_t *sim, const queue_item_t *item)
{
	node_t *node = &sim->nodes[item->node];

	switch ((event_kind_t)item->kind) {
	case EVENT_APPEND:
		log_append(sim, node, item->data);
		return true;
	case EVENT_ORDER_RECEIVE:
		engine_receive(sim, node, item->id, item->data);
		return true;
	case EVENT_STATE_QUERY:
		engine_answer_query(sim, node, item->data);
		return true;
	case EVENT_REQUEST:
		submit_request(sim, (uint32_t)item->id);
		return true;
	case EVENT_ENGINES_STEP:
		for (uint32_t i = 0; i < sim->config->engines; i++)
			engine_advance(sim, &sim->engines[i]);
		check_weight_loads(sim);
		(void)dff_log_model_advance(sim->log, sim->now);
		oracle_read(sim);
		schedule(sim, STEP, EVENT_ENGINES_STEP, NULL, 0, NULL);
		return true;
	case EVENT_FAULT:
		inject_fault(sim);
		return true;
	case EVENT_NODE_START:
		node_restart(sim, &sim->nodes[item->id]);
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
	if (handle_shared_event(sim, item)) {
		g_free(item->data);
		return;
	}
	if (node->auth == NULL || node->life != item->life) {
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

/* ---- final checks ---- */

/* One holder per shard, no drain marks, the declared version. */
static void
check_final_state(sim_t *sim)
{
	dff_lease_view_t views[4];
	uint32_t mine = 0;

	for (uint32_t i = 0; i < sim->config->nodes; i++) {
		const node_t *node = &sim->nodes[i];
		size_t count;

		if (node->auth == NULL)
			continue;
		count = dff_authority_leases(node->auth, views, 4);
		for (size_t k = 0; k < MIN(count, 4); k++)
			mine += views[k].held_here;
		for (uint32_t k = 0; k < sim->config->engines; k++) {
			if (dff_authority_is_draining(
				node->auth, sim->engines[k].vm))
				fail(sim, "drain mark not removed");
		}
	}
	if (mine != 2)
		fail(sim, "not one holder per shard");
	for (uint32_t k = 0; k < sim->config->engines; k++) {
		dff_engine_state_t state;

		dff_engine_model_state(sim->engines[k].model, &state);
		if (sim->config->upgrade && state.version != 2)
			fail(sim, "engine not as declared");
	}
}

static uint64_t
snapshot_hash(const node_t *node)
{
	Dff__Record *record;
	uint8_t *data = NULL;
	uint64_t hash;
	int len;

	len = dff_authority_save(node->ctx, node->auth, &data);
	if (len < 0)
		return 0;
	record = dff__record__unpack(NULL, (size_t)len, data);
	hash = record->authority_snapshot->hash;
	dff__record__free_unpacked(record, NULL);
	free(data);
	return hash;
}

static void
check_equal_states(sim_t *sim)
{
	const node_t *first = NULL;

	for (uint32_t i = 0; i < sim->config->nodes; i++) {
		const node_t *node = &sim->nodes[i];

		if (node->auth == NULL)
			continue;
		if (first == NULL)
			first = node;
		if (dff_authority_applied(node->auth) ==
			dff_authority_applied(first->auth) &&
		    snapshot_hash(node) != snapshot_hash(first))
			fail(sim, "states differ");
	}
}

/* ---- a run ---- */

static void
open_catalogue(sim_t *sim)
{
	char text[1024];
	dff_problem_t problem = {0};
	size_t count = 0;

	(void)snprintf(text, sizeof(text), catalogue_format,
	    sim->config->upgrade ? 2u : 1u,
	    sim->config->check_fence ? "checked" : "ignored");
	if (dff_catalogue_load(sim->ctx, text, strlen(text), &problem, 1,
		&count, &sim->cat) != 0)
		g_error("catalogue: line %u %s %s", problem.line, problem.key,
		    problem.text);
}

static void
open_engines(sim_t *sim)
{
	dff_engine_config_t config;

	dff_engine_config_defaults(&config);
	config.check_fence = sim->config->check_fence;
	config.abort_on_order = sim->config->cut_on_order;
	config.role_downtime =
	    sim->config->late_orders ? DFF_SEC / 20 : DFF_SEC;
	config.load_downtime = DFF_SEC;
	config.restart_downtime = 2 * DFF_SEC;
	config.version = 1;
	(void)dff_name_copy(config.model, "m");
	for (uint32_t i = 0; i < sim->config->engines; i++) {
		engine_t *engine = &sim->engines[i];

		(void)snprintf(engine->vm, sizeof(engine->vm), "e%u", i);
		(void)snprintf(engine->shard, sizeof(engine->shard), "%s@%s",
		    POOL, i % 2 == 0 ? "east" : "west");
		config.incarnation = 1 + i;
		engine->model = dff_engine_model_new(sim->ctx, &config, 0);
	}
}

static void
open_nodes(sim_t *sim)
{
	for (uint32_t i = 0; i < sim->config->nodes; i++) {
		node_t *node = &sim->nodes[i];

		(void)snprintf(node->vm, sizeof(node->vm), "n%u", i);
		(void)snprintf(node->id, sizeof(node->id), "n%u.placer", i);
		(void)dff_name_copy(node->domain, i % 2 == 0 ? "east" : "west");
	}
	for (uint32_t i = 0; i < sim->config->nodes; i++)
		node_start(sim, &sim->nodes[i]);
}

static void
run(sim_t *sim)
{
	dff_time_t until = sim->config->fault_time + sim->config->recovery_time;
	queue_item_t item;

	while (
	    sim->result->failed_check == NULL && queue_pop(sim->queue, &item)) {
		if (item.at >= until) {
			g_free(item.data);
			break;
		}
		if (sim->config->kill_holder_at != 0 &&
		    sim->holder_killed_at == 0 &&
		    item.at >= sim->config->kill_holder_at) {
			sim->now = item.at;
			kill_holder(sim);
		}
		handle_event(sim, &item);
	}
	if (sim->result->failed_check != NULL)
		return;
	check_final_state(sim);
	check_equal_states(sim);
}

static void
count_done(sim_t *sim)
{
	for (uint32_t i = 0; i < sim->config->engines; i++) {
		const dff_engine_journal_entry_t *notes;
		size_t count;

		notes = dff_engine_model_journal(sim->engines[i].model, &count);
		for (size_t k = 0; k < count; k++)
			sim->result->orders_done +=
			    notes[k].type == DFF_ENGINE_JOURNAL_ORDER_DONE;
	}
	sim->result->appends = dff_log_model_append_count(sim->log);
}

void
authority_sim_run(
    const authority_sim_config_t *config, authority_sim_result_t *result)
{
	dff_log_config_t log_config;
	sim_t sim = {.config = config, .result = result};

	memset(result, 0, sizeof(*result));
	dff_log_config_defaults(&log_config);
	sim.ctx = dff_ctx_new(config->seed, DFF_LOG_ERR, NULL, NULL);
	sim.queue = queue_new();
	sim.log = dff_log_model_new(&log_config);
	sim.leases =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sim.orders =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	sim.out = g_array_new(FALSE, FALSE, sizeof(dff_engine_out_t));
	open_catalogue(&sim);
	open_engines(&sim);
	open_nodes(&sim);
	schedule(&sim, 0, EVENT_ENGINES_STEP, NULL, 0, NULL);
	schedule(&sim, DFF_SEC, EVENT_FAULT, NULL, 0, NULL);
	run(&sim);
	count_done(&sim);
	for (uint32_t i = 0; i < config->nodes; i++)
		node_kill(&sim.nodes[i]);
	for (uint32_t i = 0; i < config->engines; i++)
		dff_engine_model_drop(sim.engines[i].model);
	g_array_unref(sim.out);
	g_hash_table_unref(sim.orders);
	g_hash_table_unref(sim.leases);
	dff_catalogue_drop(sim.cat);
	dff_log_model_drop(sim.log);
	queue_drop(sim.queue);
	dff_ctx_drop(sim.ctx);
}
