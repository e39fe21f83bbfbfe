/*
 * Nodes that hold a duty, in virtual time. The store runs an append at a random
 * moment after it was sent, if its condition holds then, also after its sender
 * gave up. The platform carries out calls likewise.
 */
#include "duty_sim.h"

#include <glib.h>
#include <string.h>

#include "relay/duty.h"

#define NODES	      5
#define RECORDS_MAX   4096
#define TICK	      (100 * DFF_MSEC)
#define FRAME_PERIOD  (200 * DFF_MSEC)
#define STORE_TIMEOUT (700 * DFF_MSEC)
#define CALL_TIMEOUT  (900 * DFF_MSEC)
/* Latest moment at which a call without an answer is carried out. */
#define LATE_MAX   (2400 * DFF_MSEC)
#define LEASE_TIME (3 * DFF_SEC)
#define DUTY	   "duty"

typedef enum event_kind {
	EVENT_TICK,
	EVENT_FAULT,
	EVENT_FRAME,
	EVENT_STORE_RUNS,
	EVENT_STORE_ANSWER,
	EVENT_CALL_RUNS,
	EVENT_CALL_ENDS,
	EVENT_THAW,
	EVENT_KILL,
	EVENT_START,
	EVENT_STORE_BACK,
	EVENT_HEAL,
} event_kind_t;

typedef struct event {
	dff_time_t at;
	uint64_t order;
	event_kind_t kind;
	int node;
	uint64_t incarnation; /* of the node; events of an older one are void */
	uint64_t token;
	uint64_t end;
	bool answered;
	dff_duty_request_t request;
	dff_duty_appended_t appended;
	dff_duty_record_t *records;
	size_t count;
} event_t;

typedef struct node {
	duties_t *duties;
	char name[DFF_NAME_MAX];
	uint64_t incarnation;
	dff_time_t offset; /* of its clock */
	bool alive;
	bool frozen;
	GQueue held; /* event_t that arrived while it was frozen */
	bool cut_from_store;
	bool deaf; /* gets no frames */
	bool mute; /* its frames are lost */
	dff_time_t frame_at;
	bool call_open;
	uint64_t store_call; /* number of the call to the store under way */
} node_t;

typedef struct sim {
	GRand *rng;
	dff_ctx_t *ctx;
	unsigned faults;
	dff_duty_config_t config;
	dff_time_t now;
	dff_time_t end;
	uint64_t order;
	GSequence *events;
	node_t nodes[NODES];
	dff_duty_record_t log[RECORDS_MAX];
	size_t log_len; /* offset at which it ends */
	size_t log_first; /* oldest record that is kept */
	uint64_t era;
	bool store_down;
	bool store_slow;
	/* The platform. */
	uint64_t token_seen;
	int actors[3]; /* newest last */
	dff_time_t acted_at[3];
	GHashTable *token_holders; /* token to 1 + node */
	dff_time_t last_call_at;
	duty_sim_result_t result;
} sim_t;

static gint
compare_events(gconstpointer a, gconstpointer b, gpointer arg)
{
	const event_t *x = a;
	const event_t *y = b;

	(void)arg;
	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return x->order < y->order ? -1 : 1;
}

static void
free_event(gpointer data)
{
	event_t *event = data;

	g_free(event->records);
	g_free(event);
}

static void
drop_event(gpointer data, gpointer arg)
{
	(void)arg;
	free_event(data);
}

static event_t *
add_event(sim_t *sim, event_kind_t kind, int node, dff_time_t delay)
{
	event_t *event = g_new0(event_t, 1);

	event->at = sim->now + delay;
	event->order = ++sim->order;
	event->kind = kind;
	event->node = node;
	event->incarnation = node >= 0 ? sim->nodes[node].incarnation : 0;
	g_sequence_insert_sorted(sim->events, event, compare_events, NULL);
	return event;
}

static bool
chance(sim_t *sim, int percent)
{
	return g_rand_int_range(sim->rng, 0, 100) < percent;
}

static dff_time_t
pick_time(sim_t *sim, int min_ms, int max_ms)
{
	return g_rand_int_range(sim->rng, min_ms, max_ms) * DFF_MSEC;
}

static dff_time_t
clock_of(const sim_t *sim, const node_t *node)
{
	return sim->now + node->offset;
}

/* ---- the platform ---- */

static void
fail(sim_t *sim, const char *problem)
{
	if (sim->result.problem != NULL)
		return;
	sim->result.problem = problem;
	sim->result.at = sim->now;
}

static void
note_actor(sim_t *sim, int node)
{
	if (sim->actors[2] == node) {
		sim->acted_at[2] = sim->now;
		return;
	}
	memmove(sim->actors, sim->actors + 1, 2 * sizeof(sim->actors[0]));
	memmove(sim->acted_at, sim->acted_at + 1, 2 * sizeof(sim->acted_at[0]));
	sim->actors[2] = node;
	sim->acted_at[2] = sim->now;
	sim->result.holders++;
	if (sim->actors[0] == node && sim->now - sim->acted_at[0] < LEASE_TIME)
		fail(sim, "holders alternate within the lease");
}

static void
run_call(sim_t *sim, const event_t *event)
{
	gpointer holder = g_hash_table_lookup(
	    sim->token_holders, GSIZE_TO_POINTER(event->token));

	if (holder != NULL && GPOINTER_TO_INT(holder) != event->node + 1)
		fail(sim, "two holders have one token");
	g_hash_table_insert(sim->token_holders, GSIZE_TO_POINTER(event->token),
	    GINT_TO_POINTER(event->node + 1));
	if (event->token < sim->token_seen) {
		if (!sim->config.fence_required)
			fail(sim, "lower token after a higher one");
		return;
	}
	sim->token_seen = event->token;
	note_actor(sim, event->node);
	sim->result.calls++;
	sim->result.longest_rest =
	    MAX(sim->result.longest_rest, sim->now - sim->last_call_at);
	sim->last_call_at = sim->now;
}

/* A frozen process does not act. */
static void
check_alone(sim_t *sim, int index)
{
	for (int i = 0; i < NODES; i++) {
		const node_t *node = &sim->nodes[i];

		if (i != index && node->alive && !node->frozen &&
		    duty_token(node->duties, DUTY, clock_of(sim, node)) != 0)
			fail(sim, "two nodes may act");
	}
}

static void
act(sim_t *sim, int index)
{
	node_t *node = &sim->nodes[index];
	uint64_t token = duty_token(node->duties, DUTY, clock_of(sim, node));
	bool late = (sim->faults & DUTY_SIM_STORE) != 0 && chance(sim, 10);
	event_t *event;

	if (token == 0)
		return;
	check_alone(sim, index);
	if (node->call_open)
		return;
	node->call_open = true;
	duties_note_call(node->duties, false, clock_of(sim, node));
	/* One in ten of the late calls is lost. */
	if (!late || !chance(sim, 10)) {
		event = add_event(sim, EVENT_CALL_RUNS, index,
		    late ? pick_time(sim, 1, LATE_MAX / DFF_MSEC) :
			   pick_time(sim, 1, 300));
		event->token = token;
	}
	event = add_event(sim, EVENT_CALL_ENDS, index,
	    late ? CALL_TIMEOUT : pick_time(sim, 300, 600));
	event->answered = !late;
}

static void
end_call(sim_t *sim, const event_t *event)
{
	node_t *node = &sim->nodes[event->node];

	node->call_open = false;
	if (event->answered)
		duties_note_call(node->duties, true, clock_of(sim, node));
}

/* ---- the store ---- */

static uint64_t
log_position(const sim_t *sim, size_t offset)
{
	return sim->era << DFF_POSITION_OFFSET_BITS | offset;
}

static void
send_to_store(sim_t *sim, int index, const dff_duty_request_t *request)
{
	node_t *node = &sim->nodes[index];
	int percent_lost = (sim->faults & DUTY_SIM_STORE) != 0 ? 6 : 0;
	dff_time_t delay =
	    sim->store_slow ? pick_time(sim, 1, 1500) : pick_time(sim, 1, 8);
	event_t *event;

	sim->result.store_calls++;
	node->store_call++;
	if (node->cut_from_store || sim->store_down ||
	    chance(sim, percent_lost)) {
		/* Nothing was done, or nobody knows. */
		event = add_event(sim, EVENT_STORE_ANSWER, index,
		    chance(sim, 50) ? 5 * DFF_MSEC : STORE_TIMEOUT);
		event->appended.result = event->at - sim->now == STORE_TIMEOUT ?
		    DFF_DUTY_UNKNOWN :
		    DFF_DUTY_NOT_DONE;
		event->request = *request;
		event->token = node->store_call;
		if (event->appended.result == DFF_DUTY_NOT_DONE ||
		    chance(sim, 50))
			return;
		delay = pick_time(sim, 1, 3000);
	}
	event = add_event(sim, EVENT_STORE_RUNS, index, delay);
	event->request = *request;
	event->token = node->store_call;
}

static dff_duty_appended_t
append(sim_t *sim, const dff_duty_request_t *request)
{
	dff_duty_appended_t result = {.result = DFF_DUTY_REJECTED};
	uint64_t offset =
	    request->position & ((UINT64_C(1) << DFF_POSITION_OFFSET_BITS) - 1);

	if (offset != sim->log_len || sim->log_len == RECORDS_MAX)
		return result;
	sim->log[sim->log_len] = request->record;
	result.result = DFF_DUTY_ACCEPTED;
	result.position = log_position(sim, sim->log_len++);
	return result;
}

static void
run_in_store(sim_t *sim, const event_t *event)
{
	node_t *node = &sim->nodes[event->node];
	bool lost = (sim->faults & DUTY_SIM_STORE) != 0 && chance(sim, 6);
	event_t *answer;
	dff_duty_appended_t appended = {0};

	if (sim->store_down)
		return;
	if (event->request.append)
		appended = append(sim, &event->request);
	if (lost || node->store_call != event->token)
		return;
	answer = add_event(sim, EVENT_STORE_ANSWER, event->node,
	    sim->store_slow ? pick_time(sim, 1, 600) : pick_time(sim, 1, 8));
	answer->incarnation = event->incarnation;
	answer->token = event->token;
	answer->request = event->request;
	answer->appended = appended;
	answer->answered = true;
	answer->end = log_position(sim, sim->log_len);
	if (event->request.append)
		return;
	answer->records = g_new0(dff_duty_record_t, sim->log_len + 1);
	for (size_t i = sim->log_first; i < sim->log_len; i++) {
		if (log_position(sim, i) < event->request.position)
			continue;
		answer->records[answer->count] = sim->log[i];
		answer->records[answer->count++].position =
		    log_position(sim, i);
	}
}

static void run_duties(sim_t *sim, int index);

static void
answer_from_store(sim_t *sim, const event_t *event)
{
	node_t *node = &sim->nodes[event->node];
	dff_time_t now = clock_of(sim, node);

	if (node->store_call != event->token)
		return;
	node->store_call++;
	if (event->request.append)
		duties_apply_append(
		    sim->ctx, node->duties, &event->appended, now);
	else {
		const dff_duty_read_t read = {.answered = event->answered,
		    .end = event->end,
		    .records = event->records,
		    .count = event->count};

		duties_apply_read(sim->ctx, node->duties, &read, now);
	}
	run_duties(sim, event->node);
}

/* A call that the store does not answer in time. */
static void
watch_answer(sim_t *sim, int index, const dff_duty_request_t *request)
{
	event_t *event =
	    add_event(sim, EVENT_STORE_ANSWER, index, STORE_TIMEOUT);

	event->request = *request;
	event->token = sim->nodes[index].store_call;
	event->appended.result = DFF_DUTY_UNKNOWN;
}

/* ---- nodes ---- */

static void
run_duties(sim_t *sim, int index)
{
	node_t *node = &sim->nodes[index];
	const duty_view_t view = {
	    .is_candidate = true, .turn = (uint32_t)index};
	dff_duty_request_t request;

	if (!duties_next(
		sim->ctx, node->duties, &view, clock_of(sim, node), &request))
		return;
	send_to_store(sim, index, &request);
	watch_answer(sim, index, &request);
}

static void
send_frames(sim_t *sim, int index)
{
	node_t *node = &sim->nodes[index];

	if (sim->now < node->frame_at)
		return;
	node->frame_at = sim->now + FRAME_PERIOD;
	if (duty_held_since(node->duties) == 0 || node->mute)
		return;
	for (int i = 0; i < NODES; i++) {
		event_t *event;

		if (i == index || sim->nodes[i].deaf || chance(sim, 5))
			continue;
		event = add_event(sim, EVENT_FRAME, i, pick_time(sim, 1, 60));
		event->token = duty_token_known(node->duties);
		event->end = duty_log_end(node->duties);
	}
}

static void
tick(sim_t *sim, int index)
{
	run_duties(sim, index);
	act(sim, index);
	send_frames(sim, index);
	(void)add_event(sim, EVENT_TICK, index, TICK);
}

static void
start_node(sim_t *sim, int index)
{
	node_t *node = &sim->nodes[index];

	node->alive = true;
	node->incarnation++;
	node->call_open = false;
	node->duties = duties_new();
	duties_set_config(node->duties, node->name, node->incarnation,
	    &sim->config, clock_of(sim, node));
	(void)add_event(sim, EVENT_TICK, index, pick_time(sim, 0, 100));
}

static void
kill_node(sim_t *sim, int index)
{
	node_t *node = &sim->nodes[index];

	if (!node->alive || node->frozen)
		return;
	duties_drop(node->duties);
	node->duties = NULL;
	node->alive = false;
	node->incarnation++;
	node->store_call++;
	(void)add_event(sim, EVENT_START, index, pick_time(sim, 300, 8000));
}

static int
find_holder(const sim_t *sim)
{
	for (int i = 0; i < NODES; i++) {
		const node_t *node = &sim->nodes[i];

		if (node->alive && duty_held_since(node->duties) != 0)
			return i;
	}
	return -1;
}

static void
freeze_node(sim_t *sim, int index)
{
	node_t *node = &sim->nodes[index];

	if (!node->alive || node->frozen)
		return;
	node->frozen = true;
	(void)add_event(sim, EVENT_THAW, index, pick_time(sim, 200, 12000));
}

static void handle(sim_t *sim, event_t *event);

static void
thaw_node(sim_t *sim, int index)
{
	node_t *node = &sim->nodes[index];
	event_t *event;

	node->frozen = false;
	while ((event = g_queue_pop_head(&node->held)) != NULL) {
		handle(sim, event);
		free_event(event);
	}
}

/* ---- faults ---- */

static void
plant_node_fault(sim_t *sim, int index)
{
	switch (g_rand_int_range(sim->rng, 0, 3)) {
	case 0:
		kill_node(sim, index);
		break;
	case 1:
		freeze_node(sim, index);
		break;
	case 2:
		if (!sim->nodes[index].alive || sim->nodes[index].frozen)
			break;
		duties_stop(sim->nodes[index].duties,
		    clock_of(sim, &sim->nodes[index]));
		(void)add_event(
		    sim, EVENT_KILL, index, pick_time(sim, 100, 5000));
		break;
	}
}

static void
plant_store_fault(sim_t *sim)
{
	switch (g_rand_int_range(sim->rng, 0, 3)) {
	case 0:
		sim->store_down = true;
		break;
	case 1:
		sim->store_slow = true;
		break;
	case 2:
		sim->log_first = sim->log_len;
		return;
	}
	(void)add_event(sim, EVENT_STORE_BACK, -1, pick_time(sim, 300, 9000));
}

static void
plant_cut(sim_t *sim, int index)
{
	node_t *node = &sim->nodes[index];

	node->cut_from_store |= chance(sim, 50);
	node->deaf |= chance(sim, 40);
	node->mute |= chance(sim, 40);
	(void)add_event(sim, EVENT_HEAL, index, pick_time(sim, 300, 12000));
}

static void
return_store(sim_t *sim)
{
	size_t lost = (size_t)g_rand_int_range(sim->rng, 0, 6);

	sim->log_len -= MIN(lost, sim->log_len);
	sim->log_first = MIN(sim->log_first, sim->log_len);
	sim->era++;
}

static void
plant_fault(sim_t *sim)
{
	int holder = find_holder(sim);
	int index = holder >= 0 && chance(sim, 60) ?
	    holder :
	    g_rand_int_range(sim->rng, 0, NODES);
	unsigned kind = 1u << g_rand_int_range(sim->rng, 0, 4);

	if (sim->now > sim->end * 2 / 3)
		return;
	(void)add_event(sim, EVENT_FAULT, -1, pick_time(sim, 200, 5000));
	switch (kind & sim->faults) {
	case DUTY_SIM_NODES:
		plant_node_fault(sim, index);
		break;
	case DUTY_SIM_STORE:
		plant_store_fault(sim);
		break;
	case DUTY_SIM_CUTS:
		plant_cut(sim, index);
		break;
	case DUTY_SIM_RETURNS:
		return_store(sim);
		break;
	default:
		break;
	}
}

static void
heal(sim_t *sim, int index)
{
	sim->nodes[index].cut_from_store = false;
	sim->nodes[index].deaf = false;
	sim->nodes[index].mute = false;
}

/* ---- the run ---- */

/* Whether the event is for a process of a node, not for the platform. */
static bool
is_for_process(event_kind_t kind)
{
	return kind == EVENT_TICK || kind == EVENT_FRAME ||
	    kind == EVENT_STORE_ANSWER || kind == EVENT_CALL_ENDS ||
	    kind == EVENT_KILL;
}

static void
handle(sim_t *sim, event_t *event)
{
	node_t *node = event->node >= 0 ? &sim->nodes[event->node] : NULL;

	if (is_for_process(event->kind) &&
	    (!node->alive || event->incarnation != node->incarnation))
		return;
	switch (event->kind) {
	case EVENT_TICK:
		tick(sim, event->node);
		break;
	case EVENT_FAULT:
		plant_fault(sim);
		break;
	case EVENT_FRAME:
		duties_hear(node->duties, event->token, event->end,
		    clock_of(sim, node));
		break;
	case EVENT_STORE_RUNS:
		run_in_store(sim, event);
		break;
	case EVENT_STORE_ANSWER:
		answer_from_store(sim, event);
		break;
	case EVENT_CALL_RUNS:
		run_call(sim, event);
		break;
	case EVENT_CALL_ENDS:
		end_call(sim, event);
		break;
	case EVENT_THAW:
		thaw_node(sim, event->node);
		break;
	case EVENT_KILL:
		kill_node(sim, event->node);
		break;
	case EVENT_START:
		if (!node->alive)
			start_node(sim, event->node);
		break;
	case EVENT_STORE_BACK:
		sim->store_down = false;
		sim->store_slow = false;
		break;
	case EVENT_HEAL:
		heal(sim, event->node);
		break;
	}
}

static sim_t *
sim_new(uint32_t seed, unsigned faults, bool fence_required, dff_time_t time)
{
	sim_t *sim = g_new0(sim_t, 1);

	sim->rng = g_rand_new_with_seed(seed);
	sim->ctx = dff_ctx_new(seed, DFF_LOG_ERR, NULL, NULL);
	sim->faults = faults;
	sim->end = time;
	sim->events = g_sequence_new(NULL);
	sim->token_holders = g_hash_table_new(NULL, NULL);
	g_strlcpy(sim->config.names[0], DUTY, DFF_NAME_MAX);
	sim->config.count = 1;
	sim->config.lease_time = LEASE_TIME;
	sim->config.fence_required = fence_required;
	for (int i = 0; i < 3; i++)
		sim->actors[i] = -1;
	for (int i = 0; i < NODES; i++) {
		node_t *node = &sim->nodes[i];

		(void)g_snprintf(node->name, sizeof(node->name), "node-%d", i);
		node->offset = pick_time(sim, 1000, 10000000);
		g_queue_init(&node->held);
		start_node(sim, i);
	}
	if (faults != DUTY_SIM_QUIET)
		(void)add_event(sim, EVENT_FAULT, -1, pick_time(sim, 0, 9000));
	return sim;
}

static void
run_until(sim_t *sim, dff_time_t until)
{
	GSequenceIter *first;

	while (!g_sequence_iter_is_end(
	    first = g_sequence_get_begin_iter(sim->events))) {
		event_t *event = g_sequence_get(first);

		if (event->at > until)
			break;
		sim->now = event->at;
		g_sequence_remove(first);
		if (is_for_process(event->kind) &&
		    sim->nodes[event->node].frozen) {
			g_queue_push_tail(&sim->nodes[event->node].held, event);
			continue;
		}
		handle(sim, event);
		free_event(event);
	}
	sim->now = until;
}

static duty_sim_result_t
sim_end(sim_t *sim)
{
	duty_sim_result_t result = sim->result;

	result.rest_at_end = sim->now - sim->last_call_at;
	for (int i = 0; i < NODES; i++) {
		duties_drop(sim->nodes[i].duties);
		g_queue_clear_full(&sim->nodes[i].held, free_event);
	}
	g_sequence_foreach(sim->events, drop_event, NULL);
	g_sequence_free(sim->events);
	g_hash_table_unref(sim->token_holders);
	g_rand_free(sim->rng);
	dff_ctx_drop(sim->ctx);
	g_free(sim);
	return result;
}

duty_sim_result_t
duty_sim_run(
    uint32_t seed, unsigned faults, bool fence_required, dff_time_t time)
{
	sim_t *sim = sim_new(seed, faults, fence_required, time);

	run_until(sim, time);
	return sim_end(sim);
}

dff_time_t
duty_sim_kill_holder(uint32_t seed, bool fence_required, bool stop)
{
	sim_t *sim =
	    sim_new(seed, DUTY_SIM_QUIET, fence_required, 60 * DFF_SEC);
	dff_time_t killed_at;
	int holder;

	run_until(sim, 20 * DFF_SEC + pick_time(sim, 0, 5000));
	holder = find_holder(sim);
	killed_at = sim->now;
	if (stop) {
		duties_stop(sim->nodes[holder].duties,
		    clock_of(sim, &sim->nodes[holder]));
	} else
		kill_node(sim, holder);
	while (sim->now < 60 * DFF_SEC &&
	    (sim->actors[2] == holder || sim->last_call_at < killed_at))
		run_until(sim, sim->now + 10 * DFF_MSEC);
	killed_at = sim->last_call_at - killed_at;
	(void)sim_end(sim);
	return killed_at;
}
