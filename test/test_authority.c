#include <check.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "dragonflyfall/authority.h"

#define TERM	      (4 * DFF_SEC)
#define DRIFT	      (200 * DFF_MSEC)
#define TCP_TIMEOUT   (3 * DFF_SEC)
#define DRAIN_TIMEOUT (10 * DFF_SEC)
#define STEP	      (50 * DFF_MSEC)
#define SHARD	      "models@east"

/* A record of the simulated log. */
typedef struct record {
	uint8_t *data;
	size_t len;
} record_t;

/* A placer; the fixture has two, which read one log. */
typedef struct node {
	dff_ctx_t *ctx;
	dff_timers_t *timers;
	dff_authority_t *auth;
	dff_effects_t *fx;
	bool paused;
} node_t;

typedef struct engine {
	uint64_t incarnation;
	dff_role_t role;
	uint32_t running;
	uint64_t last_order;
	uint32_t orders; /* number of orders received */
	dff_order_answer_t next_answer;
	bool applies_orders; /* orders take effect, regardless of next_answer */
} engine_t;

typedef struct fixture {
	node_t nodes[2];
	GArray *log; /* record_t */
	bool log_down;
	engine_t engine;
	dff_time_t now;
} fixture_t;

static void
load_vms(fixture_t *fixture)
{
	dff_vm_t vms[3] = {
	    {"a", "10.0.0.1:1", "east", "", DFF_VM_ENTRY, 1, false},
	    {"b", "10.0.0.2:1", "east", "", DFF_VM_ENTRY, 1, false},
	    {"e1", "10.0.0.3:1", "east", "models", DFF_VM_ENGINE, 1, false},
	};

	for (size_t i = 0; i < 2; i++)
		dff_authority_load_vms(fixture->nodes[i].ctx,
		    fixture->nodes[i].auth, vms, 3, fixture->now);
}

static void
node_start(node_t *node, const char *name, uint64_t incarnation, dff_time_t now)
{
	dff_authority_config_t config = {
	    .incarnation = incarnation,
	    .can_hold_leases = true,
	    .term = TERM,
	    .drift = DRIFT,
	    .tcp_timeout = TCP_TIMEOUT,
	    .drain_timeout = DRAIN_TIMEOUT,
	};

	(void)dff_name_copy(config.node, name);
	(void)dff_name_copy(config.domain, "east");
	node->ctx = dff_ctx_new(1, DFF_LOG_ERR, NULL, NULL);
	node->timers = dff_timers_new();
	node->fx = dff_effects_new();
	node->auth = dff_authority_new(node->ctx, &config, node->timers);
	node->paused = false;
	dff_authority_start(node->auth, now);
}

static void
node_stop(node_t *node)
{
	dff_authority_drop(node->auth);
	dff_effects_drop(node->fx);
	dff_timers_drop(node->timers);
	dff_ctx_drop(node->ctx);
}

static fixture_t *
fixture_new(void)
{
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->now = DFF_SEC;
	fixture->log = g_array_new(FALSE, FALSE, sizeof(record_t));
	fixture->engine.incarnation = 7;
	fixture->engine.next_answer = DFF_ORDER_ACCEPTED;
	fixture->engine.applies_orders = true;
	node_start(&fixture->nodes[0], "a.placer", 1, fixture->now);
	node_start(&fixture->nodes[1], "b.placer", 1, fixture->now);
	load_vms(fixture);
	return fixture;
}

static void
fixture_drop(fixture_t *fixture)
{
	node_stop(&fixture->nodes[0]);
	node_stop(&fixture->nodes[1]);
	for (guint i = 0; i < fixture->log->len; i++)
		g_free(g_array_index(fixture->log, record_t, i).data);
	g_array_unref(fixture->log);
	g_free(fixture);
}

static void
log_append(fixture_t *fixture, node_t *node, const dff_fx_log_append_t *append)
{
	dff_ev_log_appended_t ev = {.id = append->id};
	record_t record;

	ev.outcome = DFF_APPEND_REFUSED;
	if (!fixture->log_down) {
		record.data = g_memdup2(append->data, append->len);
		record.len = append->len;
		g_array_append_val(fixture->log, record);
		ev.outcome = DFF_APPEND_DONE;
		ev.offset = fixture->log->len;
	}
	dff_authority_appended(
	    node->ctx, node->auth, &ev, fixture->now, node->fx);
}

static void
engine_receive_order(
    fixture_t *fixture, node_t *node, const dff_fx_order_send_t *order)
{
	engine_t *engine = &fixture->engine;
	dff_ev_order_answer_t ev = {.order = order->order};

	engine->orders++;
	ev.answer = engine->next_answer;
	if (engine->running > 0)
		ev.answer = DFF_ORDER_BUSY;
	if (engine->running == 0 && engine->applies_orders) {
		engine->last_order = order->order;
		engine->role = (dff_role_t)dff_role_parse(order->target);
	}
	dff_authority_order_answer(
	    node->ctx, node->auth, &ev, fixture->now, node->fx);
}

static void
engine_answer_query(fixture_t *fixture, node_t *node)
{
	dff_ev_engine_state_t ev = {
	    .vm = "e1",
	    .ok = true,
	    .sent_at = fixture->now,
	    .incarnation = fixture->engine.incarnation,
	    .role = fixture->engine.role,
	    .model = "m",
	    .adapter = "",
	    .running = fixture->engine.running,
	    .last_order = fixture->engine.last_order,
	};

	dff_authority_engine_state(
	    node->ctx, node->auth, &ev, fixture->now, node->fx);
}

/* Processing an effect may add further effects. */
static void
process_effects(fixture_t *fixture, node_t *node)
{
	for (size_t i = 0; i < dff_effects_count(node->fx); i++) {
		dff_effect_t effect = *dff_effects_at(node->fx, i);

		if (effect.type == DFF_FX_LOG_APPEND)
			log_append(fixture, node, &effect.u.log_append);
		else if (effect.type == DFF_FX_ORDER_SEND)
			engine_receive_order(
			    fixture, node, &effect.u.order_send);
		else if (effect.type == DFF_FX_ENGINE_QUERY)
			engine_answer_query(fixture, node);
	}
	dff_effects_clear(node->fx);
}

static void
read_log(fixture_t *fixture, node_t *node)
{
	uint64_t next = dff_authority_applied(node->auth) + 1;

	if (fixture->log_down)
		return;
	for (; next <= fixture->log->len; next++) {
		record_t *record =
		    &g_array_index(fixture->log, record_t, next - 1);

		ck_assert_int_ge(
		    dff_authority_apply(node->ctx, node->auth, next,
			record->data, record->len, 0, fixture->now, node->fx),
		    0);
	}
	dff_authority_caught_up(node->auth, fixture->now);
}

static void
step(fixture_t *fixture)
{
	dff_timer_t due;

	fixture->now += STEP;
	for (size_t i = 0; i < 2; i++) {
		node_t *node = &fixture->nodes[i];

		if (node->paused)
			continue;
		read_log(fixture, node);
		while (dff_timers_pop(node->timers, fixture->now, &due))
			dff_authority_due(
			    node->ctx, node->auth, fixture->now, node->fx);
		process_effects(fixture, node);
	}
}

static void
run_for(fixture_t *fixture, dff_time_t time)
{
	for (dff_time_t until = fixture->now + time; fixture->now < until;)
		step(fixture);
}

/* The node that considers itself the holder of the lease, or NULL. */
static node_t *
find_holder(fixture_t *fixture)
{
	node_t *found = NULL;

	for (size_t i = 0; i < 2; i++) {
		dff_lease_view_t view;

		if (fixture->nodes[i].paused ||
		    dff_authority_leases(fixture->nodes[i].auth, &view, 1) ==
			0 ||
		    !view.held_here)
			continue;
		ck_assert_str_eq(view.shard, SHARD);
		ck_assert_ptr_null(found);
		found = &fixture->nodes[i];
	}
	return found;
}

static int
propose(fixture_t *fixture, node_t *node, const char *role)
{
	return dff_authority_propose(node->ctx, node->auth, "e1",
	    DFF_ORDER_ROLE, role, fixture->now, node->fx);
}

START_TEST(one_placer_gets_the_lease)
{
	fixture_t *fixture = fixture_new();
	node_t *node;

	run_for(fixture, 2 * DFF_SEC);
	node = find_holder(fixture);
	ck_assert_ptr_nonnull(node);
	/* It keeps the lease, with two appends per term. */
	run_for(fixture, 10 * TERM);
	ck_assert_ptr_eq(find_holder(fixture), node);
	ck_assert_uint_le(fixture->log->len, 1 + 2 * 10 + 2);
	fixture_drop(fixture);
}
END_TEST

START_TEST(paused_holder_is_replaced_after_its_term)
{
	fixture_t *fixture = fixture_new();
	node_t *old_holder;
	node_t *new_holder;
	dff_time_t from;

	run_for(fixture, 2 * DFF_SEC);
	old_holder = find_holder(fixture);
	old_holder->paused = true;
	from = fixture->now;
	while ((new_holder = find_holder(fixture)) == NULL) {
		step(fixture);
		ck_assert_int_lt(fixture->now - from, 2 * TERM);
	}
	ck_assert_int_ge(fixture->now - from, TERM / 2);
	old_holder->paused = false;
	run_for(fixture, DFF_SEC);
	ck_assert_ptr_eq(find_holder(fixture), new_holder);
	ck_assert_int_eq(propose(fixture, old_holder, "decode"), -EPERM);
	fixture_drop(fixture);
}
END_TEST

START_TEST(released_lease_is_claimed_at_once)
{
	fixture_t *fixture = fixture_new();
	node_t *old_holder;

	run_for(fixture, 2 * DFF_SEC);
	old_holder = find_holder(fixture);
	dff_authority_stop(
	    old_holder->ctx, old_holder->auth, fixture->now, old_holder->fx);
	run_for(fixture, DFF_SEC);
	ck_assert(dff_authority_idle(old_holder->auth));
	ck_assert_ptr_nonnull(find_holder(fixture));
	ck_assert_ptr_ne(find_holder(fixture), old_holder);
	fixture_drop(fixture);
}
END_TEST

START_TEST(change_goes_through_all_its_steps)
{
	fixture_t *fixture = fixture_new();
	node_t *node;

	run_for(fixture, 2 * DFF_SEC);
	node = find_holder(fixture);
	fixture->engine.running = 2;
	ck_assert_int_eq(propose(fixture, node, "decode"), 0);
	ck_assert_int_eq(propose(fixture, node, "prefill"), -EBUSY);
	run_for(fixture, DFF_SEC);
	/* All nodes know the mark; no order is sent while requests run. */
	ck_assert(dff_authority_is_draining(fixture->nodes[0].auth, "e1"));
	ck_assert(dff_authority_is_draining(fixture->nodes[1].auth, "e1"));
	ck_assert_uint_eq(fixture->engine.orders, 0);
	fixture->engine.running = 0;
	run_for(fixture, DFF_SEC);
	ck_assert_uint_eq(fixture->engine.orders, 1);
	ck_assert_int_eq(fixture->engine.role, DFF_ROLE_DECODE);
	ck_assert(!dff_authority_is_draining(fixture->nodes[0].auth, "e1"));
	ck_assert(!dff_authority_is_draining(fixture->nodes[1].auth, "e1"));
	ck_assert_int_eq(propose(fixture, node, "mixed"), 0);
	fixture_drop(fixture);
}
END_TEST

START_TEST(change_is_given_up_if_engine_never_drains)
{
	fixture_t *fixture = fixture_new();
	node_t *node;

	run_for(fixture, 2 * DFF_SEC);
	node = find_holder(fixture);
	fixture->engine.running = 2;
	ck_assert_int_eq(propose(fixture, node, "decode"), 0);
	run_for(fixture, DRAIN_TIMEOUT + DFF_SEC);
	ck_assert_uint_eq(fixture->engine.orders, 0);
	ck_assert(!dff_authority_is_draining(node->auth, "e1"));
	fixture_drop(fixture);
}
END_TEST

START_TEST(lost_answer_is_resolved_by_engine_state)
{
	fixture_t *fixture = fixture_new();
	node_t *node;

	run_for(fixture, 2 * DFF_SEC);
	node = find_holder(fixture);
	fixture->engine.next_answer = DFF_ORDER_UNKNOWN;
	ck_assert_int_eq(propose(fixture, node, "decode"), 0);
	run_for(fixture, TCP_TIMEOUT / 2);
	ck_assert_uint_eq(fixture->engine.orders, 1);
	ck_assert(!dff_authority_is_draining(node->auth, "e1"));
	fixture_drop(fixture);
}
END_TEST

START_TEST(lost_order_is_sent_again_after_the_timeout)
{
	fixture_t *fixture = fixture_new();
	node_t *node;

	run_for(fixture, 2 * DFF_SEC);
	node = find_holder(fixture);
	fixture->engine.next_answer = DFF_ORDER_UNKNOWN;
	fixture->engine.applies_orders = false;
	ck_assert_int_eq(propose(fixture, node, "decode"), 0);
	run_for(fixture, TCP_TIMEOUT - DFF_SEC);
	ck_assert_uint_eq(fixture->engine.orders, 1);
	fixture->engine.next_answer = DFF_ORDER_ACCEPTED;
	fixture->engine.applies_orders = true;
	run_for(fixture, 2 * DFF_SEC);
	ck_assert_uint_eq(fixture->engine.orders, 2);
	ck_assert(!dff_authority_is_draining(node->auth, "e1"));
	fixture_drop(fixture);
}
END_TEST

START_TEST(nothing_is_ordered_while_the_log_is_down)
{
	fixture_t *fixture = fixture_new();
	node_t *node;

	run_for(fixture, 2 * DFF_SEC);
	node = find_holder(fixture);
	fixture->engine.running = 1;
	ck_assert_int_eq(propose(fixture, node, "decode"), 0);
	run_for(fixture, DFF_SEC);
	fixture->log_down = true;
	fixture->engine.running = 0;
	run_for(fixture, 3 * TERM);
	ck_assert_uint_eq(fixture->engine.orders, 0);
	ck_assert_int_eq(propose(fixture, node, "prefill"), -EPERM);
	fixture->log_down = false;
	run_for(fixture, 3 * TERM);
	ck_assert(!dff_authority_is_draining(node->auth, "e1"));
	ck_assert_ptr_nonnull(find_holder(fixture));
	fixture_drop(fixture);
}
END_TEST

START_TEST(successor_completes_order_and_waits_for_acknowledgement)
{
	fixture_t *fixture = fixture_new();
	node_t *old_holder;
	node_t *new_holder;

	run_for(fixture, 2 * DFF_SEC);
	old_holder = find_holder(fixture);
	/* The order is sent, and no answer reaches the old holder. */
	fixture->engine.applies_orders = false;
	fixture->engine.next_answer = DFF_ORDER_UNKNOWN;
	ck_assert_int_eq(propose(fixture, old_holder, "decode"), 0);
	while (fixture->engine.orders == 0)
		step(fixture);
	old_holder->paused = true;
	fixture->engine.applies_orders = true;
	fixture->engine.next_answer = DFF_ORDER_ACCEPTED;
	run_for(fixture, 3 * TERM);
	new_holder = find_holder(fixture);
	ck_assert_ptr_nonnull(new_holder);
	ck_assert_uint_eq(fixture->engine.orders, 2);
	ck_assert_int_eq(fixture->engine.role, DFF_ROLE_DECODE);
	ck_assert(!dff_authority_is_draining(new_holder->auth, "e1"));
	/* The engine ignores fencing numbers; the old holder may still send. */
	ck_assert_int_eq(propose(fixture, new_holder, "prefill"), -EBUSY);
	old_holder->paused = false;
	run_for(fixture, DFF_SEC);
	ck_assert_int_eq(propose(fixture, new_holder, "prefill"), 0);
	fixture_drop(fixture);
}
END_TEST

START_TEST(engine_crash_ends_the_change)
{
	fixture_t *fixture = fixture_new();
	node_t *node;

	run_for(fixture, 2 * DFF_SEC);
	node = find_holder(fixture);
	fixture->engine.applies_orders = false;
	ck_assert_int_eq(propose(fixture, node, "decode"), 0);
	while (fixture->engine.orders == 0)
		step(fixture);
	fixture->engine.incarnation++;
	run_for(fixture, DFF_SEC);
	ck_assert_uint_eq(fixture->engine.orders, 1);
	ck_assert(!dff_authority_is_draining(node->auth, "e1"));
	fixture_drop(fixture);
}
END_TEST

START_TEST(rebased_state_learns_the_holder)
{
	fixture_t *fixture = fixture_new();
	node_t *old_holder;
	node_t *other;

	run_for(fixture, 2 * DFF_SEC);
	old_holder = find_holder(fixture);
	other = old_holder == &fixture->nodes[0] ? &fixture->nodes[1] :
						   &fixture->nodes[0];
	node_stop(other);
	node_start(other, other == &fixture->nodes[0] ? "a.placer" : "b.placer",
	    2, fixture->now);
	load_vms(fixture);
	ck_assert_int_eq(
	    dff_authority_rebase(other->auth, fixture->log->len), 0);
	for (int i = 0; i < 10; i++) {
		run_for(fixture, TERM / 2);
		ck_assert_ptr_eq(find_holder(fixture), old_holder);
	}
	/* It succeeds the holder of a lease whose claim it has never read. */
	old_holder->paused = true;
	run_for(fixture, 2 * TERM);
	ck_assert_ptr_eq(find_holder(fixture), other);
	old_holder->paused = false;
	run_for(fixture, DFF_SEC);
	ck_assert_ptr_eq(find_holder(fixture), other);
	fixture_drop(fixture);
}
END_TEST

START_TEST(snapshot_restores_the_same_state)
{
	fixture_t *fixture = fixture_new();
	node_t *node;
	node_t loaded;
	uint8_t *data;
	uint8_t *resaved;
	int len;

	run_for(fixture, 2 * DFF_SEC);
	node = find_holder(fixture);
	fixture->engine.running = 1;
	ck_assert_int_eq(propose(fixture, node, "decode"), 0);
	run_for(fixture, DFF_SEC);
	node_start(&loaded,
	    node == &fixture->nodes[0] ? "a.placer" : "b.placer", 1,
	    fixture->now);
	len = dff_authority_save(node->ctx, node->auth, &data);
	ck_assert_int_gt(len, 0);
	ck_assert_int_eq(dff_authority_load(loaded.ctx, loaded.auth, data,
			     (size_t)len, fixture->log->len + 2, fixture->now),
	    -ERANGE);
	ck_assert_int_eq(dff_authority_load(loaded.ctx, loaded.auth, data,
			     (size_t)len, 1, fixture->now),
	    0);
	ck_assert_int_eq(dff_authority_load(loaded.ctx, loaded.auth, data,
			     (size_t)len, 1, fixture->now),
	    -EALREADY);
	ck_assert(dff_authority_is_draining(loaded.auth, "e1"));
	ck_assert_int_eq(
	    dff_authority_save(loaded.ctx, loaded.auth, &resaved), len);
	ck_assert_mem_eq(data, resaved, (size_t)len);
	free(resaved);
	node_stop(&loaded);
	node_start(&loaded, "c.placer", 1, fixture->now);
	data[len - 1] ^= 1;
	ck_assert_int_eq(dff_authority_load(loaded.ctx, loaded.auth, data,
			     (size_t)len, 1, fixture->now),
	    -EINVAL);
	free(data);
	node_stop(&loaded);
	fixture_drop(fixture);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("authority");
	TCase *tcase = tcase_create("authority");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, one_placer_gets_the_lease);
	tcase_add_test(tcase, paused_holder_is_replaced_after_its_term);
	tcase_add_test(tcase, released_lease_is_claimed_at_once);
	tcase_add_test(tcase, change_goes_through_all_its_steps);
	tcase_add_test(tcase, change_is_given_up_if_engine_never_drains);
	tcase_add_test(tcase, lost_answer_is_resolved_by_engine_state);
	tcase_add_test(tcase, lost_order_is_sent_again_after_the_timeout);
	tcase_add_test(tcase, nothing_is_ordered_while_the_log_is_down);
	tcase_add_test(
	    tcase, successor_completes_order_and_waits_for_acknowledgement);
	tcase_add_test(tcase, engine_crash_ends_the_change);
	tcase_add_test(tcase, rebased_state_learns_the_holder);
	tcase_add_test(tcase, snapshot_restores_the_same_state);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
