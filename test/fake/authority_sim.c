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

#define TERM	     (3 * DFF_SEC)
#define DRIFT	     (200 * DFF_MSEC)
#define TCP_TIMEOUT  (2 * DFF_SEC)
#define DRAIN_TIME   (5 * DFF_SEC)
#define STEP	     (20 * DFF_MSEC)
#define VM_LIST_TIME DFF_SEC
/* The shell gives up an order, an append or a question after this. */
#define ANSWER_TIME (800 * DFF_MSEC)
/* Time of a read over a slow link, which gives one record. */
#define SLOW_READ (300 * DFF_MSEC)
/* Bytes arrive after this at the latest. */
#define LATE_MAX (1500 * DFF_MSEC)
#define POOL	 "models"

typedef enum happening {
	AT_STEP, /* a node reads and runs its timers */
	AT_VMS, /* a node reads the VM list */
	AT_APPEND, /* an append reaches the log */
	AT_APPENDED, /* its answer reaches the node */
	AT_WRITE, /* a node writes an order to its socket */
	AT_ORDER, /* it reaches the engine */
	AT_ANSWER, /* the answer reaches the node */
	AT_ASK, /* a question reaches an engine */
	AT_STATE, /* the answer reaches the node */
	AT_REQUEST, /* a request reaches an engine */
	AT_PROPOSE, /* a node proposes a change */
	AT_ENGINES, /* engines go on */
	AT_FAULT, /* something breaks */
	AT_START, /* a killed node comes back */
} happening_t;

typedef struct node {
	char vm[DFF_NAME_MAX];
	char id[DFF_NAME_MAX];
	char domain[DFF_NAME_MAX];
	dff_ctx_t *ctx;
	dff_timers_t *timers;
	dff_authority_t *auth; /* NULL while it is dead */
	dff_effects_t *fx;
	uint64_t life;
	dff_time_t paused_until;
	dff_time_t deaf_until; /* cut off from the log */
	dff_time_t slow_until; /* reads it slowly, cannot append */
	dff_time_t read_at; /* when it is slow, its next read */
	uint64_t read_to; /* asked for, delivered at the next step */
	dff_time_t read_asked;
} node_t;

typedef struct engine {
	char vm[DFF_NAME_MAX];
	char shard[DFF_NAME_MAX * 2];
	dff_engine_model_t *model;
	uint64_t newest; /* highest order received */
} engine_t;

/* What the log says of a lease, worked out here and not by the product. */
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
	uint32_t outcome; /* OrderOutcome.outcome, 0 none */
} oracle_order_t;

typedef struct bytes {
	uint64_t id;
	size_t len;
	uint8_t data[];
} bytes_t;

typedef struct order {
	uint32_t engine;
	uint64_t fence;
	dff_order_kind_t kind;
	char target[DFF_NAME_MAX];
	bool told; /* the sender was told that there is no answer */
	dff_order_answer_t answer;
} order_t;

typedef struct question {
	uint32_t engine;
	dff_time_t asked;
	bool ok;
	dff_engine_state_t state;
	char model[DFF_NAME_MAX];
	char adapter[DFF_NAME_MAX];
} question_t;

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
	uint64_t landed; /* records that the oracle has seen */
	uint64_t requests;
	dff_time_t now;
	dff_time_t lost_at; /* a holder was killed */
	char lost_shard[DFF_NAME_MAX * 2];
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
authority_sim_chaos(authority_sim_config_t *config, uint32_t seed)
{
	memset(config, 0, sizeof(*config));
	config->seed = seed;
	config->nodes = 3;
	config->engines = 4;
	config->work = true;
	config->pauses = true;
	config->kills = true;
	config->outages = true;
	config->lost_appends = true;
	config->lost_orders = true;
	config->crashes = true;
	config->deaf = true;
	config->slow = true;
	config->check_fence = seed % 2 == 0;
	config->chaos = 40 * DFF_SEC;
	config->calm = 60 * DFF_SEC;
}

void
authority_sim_hurry(authority_sim_config_t *config, uint32_t seed)
{
	memset(config, 0, sizeof(*config));
	config->seed = seed;
	config->nodes = 3;
	config->engines = 2;
	config->pauses = true;
	config->lost_orders = true;
	config->hurry = true;
	config->chaos = 30 * DFF_SEC;
	config->calm = 30 * DFF_SEC;
}

void
authority_sim_upgrade(authority_sim_config_t *config, uint32_t seed)
{
	memset(config, 0, sizeof(*config));
	config->seed = seed;
	config->nodes = 3;
	config->engines = 6;
	config->work = true;
	config->pauses = true;
	config->lost_appends = true;
	config->upgrade = true;
	config->check_fence = seed % 2 == 0;
	config->chaos = 60 * DFF_SEC;
	config->calm = 340 * DFF_SEC;
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
chance(sim_t *sim, bool on, uint32_t percent)
{
	return on && sim->now < sim->config->chaos &&
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

static engine_t *
engine_of(sim_t *sim, const char *vm)
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
	    .act = true,
	    .term = sim->config->term != 0 ? sim->config->term : TERM,
	    .drift = DRIFT,
	    .tcp_timeout = TCP_TIMEOUT,
	    .drain_time = DRAIN_TIME,
	};

	(void)dff_name_copy(config.node, node->id);
	(void)dff_name_copy(config.domain, node->domain);
	node->ctx = dff_ctx_new(dff_rand_below(sim->ctx, UINT32_MAX),
	    DFF_LOG_INFO, sim->config->log ? print_line : NULL, node);
	node->timers = dff_timers_new();
	node->fx = dff_effects_new();
	node->auth = dff_authority_new(node->ctx, &config, node->timers);
	node->paused_until = 0;
	node->read_to = 0;
	dff_authority_set_catalogue(node->auth, sim->cat);
	dff_authority_start(node->auth, sim->now);
	plan(sim, some_time(sim, 0, STEP), AT_STEP, node, 0, NULL);
	plan(sim, 0, AT_VMS, node, 0, NULL);
	plan(sim, some_time(sim, 0, DFF_SEC), AT_PROPOSE, node, 0, NULL);
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
	plan(sim, VM_LIST_TIME, AT_VMS, node, 0, NULL);
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
	if (sim->lost_at != 0 && sim->result->to_authority == 0 &&
	    strcmp(sim->lost_shard, record->lease_claim->shard) == 0)
		sim->result->to_authority = sim->now - sim->lost_at;
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

/* What was recorded as never sent must not come to an engine. */
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
	    sim->log, DFF_STREAM_AUTHORITY, sim->landed + 1, &entry)) {
		Dff__Record *record =
		    dff__record__unpack(NULL, entry.len, entry.data);

		sim->landed++;
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
	plan(sim, in, AT_APPENDED, node, 0, ev);
}

static void
log_append(sim_t *sim, node_t *node, const bytes_t *append)
{
	uint64_t offset = 0;
	dff_log_status_t status;

	if (sim->now < MAX(node->deaf_until, node->slow_until)) {
		answer_append(
		    sim, node, append->id, DFF_APPEND_REFUSED, 0, DFF_MSEC);
		return;
	}
	if (chance(sim, sim->config->lost_appends, 3))
		dff_log_model_delay_appends(
		    sim->log, 1, some_time(sim, 0, 15 * DFF_SEC));
	else if (chance(sim, sim->config->lost_appends, 5))
		dff_log_model_lose_answers(sim->log, 1);
	if (chance(sim, sim->config->lost_appends, 2)) {
		answer_append(
		    sim, node, append->id, DFF_APPEND_UNKNOWN, 0, ANSWER_TIME);
		return;
	}
	status = dff_log_model_append(sim->log, DFF_STREAM_AUTHORITY,
	    append->data, append->len, sim->now, &offset);
	oracle_read(sim);
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
	uint64_t next = dff_authority_applied(node->auth) + 1;

	if (sim->now < node->deaf_until)
		return;
	if (sim->now < node->slow_until) {
		if (sim->now < node->read_at)
			return;
		node->read_at = sim->now + SLOW_READ;
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
		dff_authority_head(node->auth, node->read_asked);
	node->read_to = 0;
	if (dff_log_model_range(
		sim->log, DFF_STREAM_AUTHORITY, sim->now, &range) != DFF_LOG_OK)
		return;
	node->read_to = range.next;
	node->read_asked = sim->now;
}

/* ---- engines ---- */

static void
engine_go_on(sim_t *sim, engine_t *engine)
{
	g_array_set_size(sim->out, 0);
	dff_engine_model_advance(sim->ctx, engine->model, sim->now, sim->out);
	for (guint i = 0; i < sim->out->len; i++) {
		if (g_array_index(sim->out, dff_engine_out_t, i).type ==
		    DFF_ENGINE_OUT_LEAVE)
			dff_engine_model_leave(engine->model, 0, sim->now);
	}
}

/* The engine had the order before and did nothing. */
static bool
was_repeated(const engine_t *engine)
{
	const dff_engine_note_t *notes;
	size_t count;

	notes = dff_engine_model_journal(engine->model, &count);
	return count > 0 && notes[count - 1].repeated;
}

static void
order_too_late(sim_t *sim)
{
	sim->result->late++;
	if (sim->config->check_fence)
		fail(sim, "order had effect after its outcome");
}

/* The order must be one of the log, and no older than any other here. */
static void
check_received(sim_t *sim, engine_t *engine, uint64_t id, const order_t *order)
{
	oracle_order_t *known = g_hash_table_lookup(sim->orders, &id);

	if (known == NULL || known->kind != order->kind ||
	    strcmp(known->vm, engine->vm) != 0 ||
	    strcmp(known->target, order->target) != 0) {
		fail(sim, "order not in the log");
		return;
	}
	known->received = true;
	if (known->outcome == OUTCOME_CANCELLED)
		fail(sim, "cancelled order was sent");
	if (known->outcome != 0 && order->answer == DFF_ORDER_ACCEPTED &&
	    !was_repeated(engine))
		order_too_late(sim);
	if (id < engine->newest &&
	    !(sim->config->check_fence && was_repeated(engine)))
		fail(sim, "conflicting orders");
	engine->newest = MAX(engine->newest, id);
}

static void
engine_receive(sim_t *sim, node_t *node, uint64_t id, order_t *order)
{
	engine_t *engine = &sim->engines[order->engine];
	guint before;

	engine_go_on(sim, engine);
	g_array_set_size(sim->out, 0);
	before = sim->out->len;
	order->answer = dff_engine_model_order(engine->model, id, order->fence,
	    order->kind, order->target, sim->now, sim->out);
	if (order->answer == DFF_ORDER_FENCED) {
		sim->result->fenced++;
	} else if (order->answer != DFF_ORDER_NOT_SENT) {
		sim->result->orders++;
		check_received(sim, engine, id, order);
	}
	if (sim->out->len > before) {
		sim->result->cut += sim->out->len - before;
		fail(sim, "request cut");
	}
	if (order->told || chance(sim, sim->config->lost_orders, 15)) {
		if (!order->told)
			order->answer = DFF_ORDER_UNKNOWN;
		else
			return;
		plan(sim, ANSWER_TIME, AT_ANSWER, node, id,
		    g_memdup2(order, sizeof(*order)));
		return;
	}
	plan(sim, some_time(sim, DFF_MSEC, 3 * DFF_MSEC), AT_ANSWER, node, id,
	    g_memdup2(order, sizeof(*order)));
}

/* The moment at which the bytes leave the node. */
static void
node_write_order(sim_t *sim, node_t *node, uint64_t id, const order_t *order)
{
	order_t *sent = g_memdup2(order, sizeof(*order));
	dff_time_t in = some_time(sim, DFF_MSEC, 5 * DFF_MSEC);

	if (chance(sim, sim->config->lost_orders, 5)) {
		sent->answer = DFF_ORDER_NOT_SENT;
		plan(sim, in, AT_ANSWER, node, id, sent);
		return;
	}
	if (chance(sim, sim->config->lost_orders, 10)) {
		sent->answer = DFF_ORDER_UNKNOWN;
		plan(sim, ANSWER_TIME, AT_ANSWER, node, id, sent);
		return;
	}
	if (chance(
		sim, sim->config->lost_orders, sim->config->hurry ? 50 : 15)) {
		order_t *told = g_memdup2(order, sizeof(*order));

		told->answer = DFF_ORDER_UNKNOWN;
		plan(sim, ANSWER_TIME, AT_ANSWER, node, id, told);
		sent->told = true;
		in = some_time(sim, ANSWER_TIME, ANSWER_TIME + LATE_MAX);
	}
	plan(sim, in, AT_ORDER, node, id, sent);
}

static void
engine_asked(sim_t *sim, node_t *node, question_t *question)
{
	engine_t *engine = &sim->engines[question->engine];
	question_t *answer = g_memdup2(question, sizeof(*question));

	engine_go_on(sim, engine);
	answer->ok = dff_engine_model_up(engine->model) &&
	    !chance(sim, sim->config->lost_orders, 10);
	dff_engine_model_state(engine->model, &answer->state);
	g_strlcpy(answer->model, answer->state.model, sizeof(answer->model));
	g_strlcpy(
	    answer->adapter, answer->state.adapter, sizeof(answer->adapter));
	plan(sim,
	    answer->ok ? some_time(sim, DFF_MSEC, 3 * DFF_MSEC) : ANSWER_TIME,
	    AT_STATE, node, 0, answer);
}

static void
node_hear_state(sim_t *sim, node_t *node, const question_t *answer)
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
	    .reconfiguring = answer->state.changing,
	    .running = answer->state.running,
	    .last_order = answer->state.last_order,
	    .fence = answer->state.fence,
	};

	dff_authority_state(node->ctx, node->auth, &ev, sim->now, node->fx);
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

	engine_go_on(sim, &sim->engines[engine]);
	if (dff_engine_model_submit(sim->ctx, sim->engines[engine].model,
		&request, sim->now) == DFF_ENGINE_TAKEN)
		sim->result->requests++;
}

/* ---- effects ---- */

/* An order may leave only while its number is the newest of the shard. */
static void
check_sent(sim_t *sim, const engine_t *engine, const dff_fx_order_send_t *fx)
{
	oracle_read(sim);
	if (oracle_lease(sim, engine->shard)->fence != fx->fence)
		fail(sim, "order without authority");
}

static void
carry_out(sim_t *sim, node_t *node)
{
	for (size_t i = 0; i < dff_effects_count(node->fx); i++) {
		const dff_effect_t *effect = dff_effects_at(node->fx, i);

		if (effect->type == DFF_FX_LOG_APPEND) {
			const dff_fx_log_append_t *fx = &effect->u.log_append;
			bytes_t *bytes = g_malloc(sizeof(*bytes) + fx->len);

			bytes->id = fx->id;
			bytes->len = fx->len;
			memcpy(bytes->data, fx->data, fx->len);
			plan(sim, some_time(sim, DFF_MSEC, 5 * DFF_MSEC),
			    AT_APPEND, node, 0, bytes);
		} else if (effect->type == DFF_FX_ORDER_SEND) {
			const dff_fx_order_send_t *fx = &effect->u.order_send;
			engine_t *engine = engine_of(sim, fx->vm);
			order_t *order = g_new0(order_t, 1);

			check_sent(sim, engine, fx);
			order->engine = (uint32_t)(engine - sim->engines);
			order->fence = fx->fence;
			order->kind = fx->kind;
			(void)dff_name_copy(order->target, fx->target);
			/* Here a process may be paused before the write. */
			if (chance(sim, sim->config->pauses, 15))
				node->paused_until = sim->now +
				    some_time(sim, DFF_SEC, 20 * DFF_SEC);
			plan(sim, some_time(sim, 0, DFF_MSEC), AT_WRITE, node,
			    fx->order, order);
		} else if (effect->type == DFF_FX_ENGINE_QUERY) {
			engine_t *engine =
			    engine_of(sim, effect->u.engine_query.vm);
			question_t *question = g_new0(question_t, 1);

			question->engine = (uint32_t)(engine - sim->engines);
			question->asked = sim->now;
			plan(sim, some_time(sim, DFF_MSEC, 3 * DFF_MSEC),
			    AT_ASK, node, 0, question);
		}
	}
	dff_effects_clear(node->fx);
}

/* ---- what happens ---- */

/* A node's term must be over before another node's claim lands. */
static void
check_terms(sim_t *sim, const node_t *node)
{
	dff_lease_view_t views[4];
	size_t count = dff_authority_leases(node->auth, views, 4);

	for (size_t i = 0; i < MIN(count, 4); i++) {
		if (views[i].mine &&
		    oracle_lease(sim, views[i].shard)->fence != views[i].fence)
			fail(sim, "two terms at once");
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
	if (sim->config->work && dff_rand_below(sim->ctx, 100) < 10) {
		uint32_t i = dff_rand_below(sim->ctx, sim->config->engines);

		if (!dff_authority_drained(node->auth, sim->engines[i].vm))
			plan(sim, some_time(sim, DFF_MSEC, 5 * DFF_MSEC),
			    AT_REQUEST, node, i, NULL);
	}
	plan(sim, STEP, AT_STEP, node, 0, NULL);
}

static void
node_propose(sim_t *sim, node_t *node)
{
	uint32_t i = dff_rand_below(sim->ctx, sim->config->engines);
	dff_role_t role = dff_rand_below(sim->ctx, DFF_ROLE_COUNT);
	dff_time_t wait = some_time(sim, DFF_SEC / 2, 2 * DFF_SEC);
	int err;

	if (sim->config->hurry)
		wait = some_time(sim, DFF_SEC / 20, DFF_SEC / 10);
	plan(sim, wait, AT_PROPOSE, node, 0, NULL);
	if (sim->now >= sim->config->chaos || sim->config->upgrade)
		return;
	err = dff_authority_propose(node->ctx, node->auth, sim->engines[i].vm,
	    DFF_ORDER_ROLE, dff_role_name(role), sim->now, node->fx);
	if (err == -EBUSY)
		sim->result->held_back++;
}

static void
break_node(sim_t *sim, node_t *node)
{
	if (node->auth == NULL)
		return;
	if (chance(sim, sim->config->kills, 30)) {
		node_kill(node);
		plan(sim, some_time(sim, DFF_SEC, 8 * DFF_SEC), AT_START, NULL,
		    (uint64_t)(node - sim->nodes), NULL);
		return;
	}
	if (chance(sim, sim->config->deaf, 50))
		node->deaf_until =
		    sim->now + some_time(sim, DFF_SEC, 20 * DFF_SEC);
	if (chance(sim, sim->config->slow, 30))
		node->slow_until =
		    sim->now + some_time(sim, DFF_SEC, 20 * DFF_SEC);
	if (chance(sim, sim->config->pauses, 60))
		node->paused_until =
		    sim->now + some_time(sim, DFF_SEC / 10, 20 * DFF_SEC);
}

/* A node takes over another one's snapshot, if that has read further. */
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
break_something(sim_t *sim)
{
	uint32_t node = dff_rand_below(sim->ctx, sim->config->nodes);
	uint32_t engine = dff_rand_below(sim->ctx, sim->config->engines);
	bool down = chance(sim, sim->config->outages, 15);

	plan(
	    sim, some_time(sim, DFF_SEC, 4 * DFF_SEC), AT_FAULT, NULL, 0, NULL);
	if (sim->nodes[node].auth != NULL &&
	    chance(sim, sim->config->kills, 20))
		load_snapshot(sim, &sim->nodes[node]);
	break_node(sim, &sim->nodes[node]);
	dff_log_model_set_outage(sim->log, down, down);
	if (chance(sim, sim->config->crashes, 15))
		dff_engine_model_crash(
		    sim->engines[engine].model, sim->now, sim->out);
	else if (chance(sim, sim->config->crashes, 15))
		dff_engine_model_crash_in_change(sim->engines[engine].model);
}

/* A killed process comes back, or its VM goes and another one comes. */
static void
node_back(sim_t *sim, node_t *node)
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
		sim->lost_at = sim->now;
		g_strlcpy(sim->lost_shard, shard, sizeof(sim->lost_shard));
	}
}

static void
at_node(sim_t *sim, node_t *node, const queue_item_t *item)
{
	switch ((happening_t)item->kind) {
	case AT_STEP:
		node_step(sim, node);
		break;
	case AT_VMS:
		load_vms(sim, node);
		break;
	case AT_APPENDED:
		dff_authority_appended(
		    node->ctx, node->auth, item->data, sim->now, node->fx);
		break;
	case AT_WRITE:
		node_write_order(sim, node, item->id, item->data);
		break;
	case AT_ANSWER: {
		const order_t *order = item->data;
		dff_ev_order_answer_t ev = {
		    .order = item->id, .answer = order->answer};

		dff_authority_answer(
		    node->ctx, node->auth, &ev, sim->now, node->fx);
		break;
	}
	case AT_STATE:
		node_hear_state(sim, node, item->data);
		break;
	case AT_PROPOSE:
		node_propose(sim, node);
		break;
	default:
		break;
	}
	carry_out(sim, node);
}

/* The weight store is rate-limited: one engine of a pool loads at a time. */
static void
check_loads(sim_t *sim)
{
	uint32_t loads = 0;

	if (!sim->config->upgrade)
		return;
	for (uint32_t i = 0; i < sim->config->engines; i++) {
		dff_engine_state_t state;

		dff_engine_model_state(sim->engines[i].model, &state);
		loads += state.changing;
	}
	if (loads > 1)
		fail(sim, "two loads at once");
}

/* Things that happen wherever the node that caused them is by now. */
static bool
elsewhere(sim_t *sim, const queue_item_t *item)
{
	node_t *node = &sim->nodes[item->node];

	switch ((happening_t)item->kind) {
	case AT_APPEND:
		log_append(sim, node, item->data);
		return true;
	case AT_ORDER:
		engine_receive(sim, node, item->id, item->data);
		return true;
	case AT_ASK:
		engine_asked(sim, node, item->data);
		return true;
	case AT_REQUEST:
		submit_request(sim, (uint32_t)item->id);
		return true;
	case AT_ENGINES:
		for (uint32_t i = 0; i < sim->config->engines; i++)
			engine_go_on(sim, &sim->engines[i]);
		check_loads(sim);
		(void)dff_log_model_advance(sim->log, sim->now);
		oracle_read(sim);
		plan(sim, STEP, AT_ENGINES, NULL, 0, NULL);
		return true;
	case AT_FAULT:
		break_something(sim);
		return true;
	case AT_START:
		node_back(sim, &sim->nodes[item->id]);
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
	if (node->auth == NULL || node->life != item->life) {
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

/* ---- the end of a run ---- */

/* One holder a shard, nothing marked, nothing held back. */
static void
check_rest(sim_t *sim)
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
			mine += views[k].mine;
		for (uint32_t k = 0; k < sim->config->engines; k++) {
			if (dff_authority_drained(
				node->auth, sim->engines[k].vm))
				fail(sim, "mark left behind");
		}
	}
	if (mine != 2)
		fail(sim, "not one holder a shard");
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
check_same(sim_t *sim)
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
	config.cut_on_order = sim->config->cut_on_order;
	config.role_away = sim->config->hurry ? DFF_SEC / 20 : DFF_SEC;
	config.load_away = DFF_SEC;
	config.restart_away = 2 * DFF_SEC;
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
	dff_time_t until = sim->config->chaos + sim->config->calm;
	queue_item_t item;

	while (sim->result->broken == NULL && queue_pop(sim->queue, &item)) {
		if (item.at >= until) {
			g_free(item.data);
			break;
		}
		if (sim->config->kill_holder_at != 0 && sim->lost_at == 0 &&
		    item.at >= sim->config->kill_holder_at) {
			sim->now = item.at;
			kill_holder(sim);
		}
		happen(sim, &item);
	}
	if (sim->result->broken != NULL)
		return;
	check_rest(sim);
	check_same(sim);
}

static void
count_done(sim_t *sim)
{
	for (uint32_t i = 0; i < sim->config->engines; i++) {
		const dff_engine_note_t *notes;
		size_t count;

		notes = dff_engine_model_journal(sim->engines[i].model, &count);
		for (size_t k = 0; k < count; k++)
			sim->result->done +=
			    notes[k].type == DFF_ENGINE_NOTE_DONE;
	}
	sim->result->appends = dff_log_model_appends(sim->log);
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
	plan(&sim, 0, AT_ENGINES, NULL, 0, NULL);
	plan(&sim, DFF_SEC, AT_FAULT, NULL, 0, NULL);
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
