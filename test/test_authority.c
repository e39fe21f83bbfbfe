#include <check.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "dragonflyfall/authority.h"

#define TERM	    (4 * DFF_SEC)
#define DRIFT	    (200 * DFF_MSEC)
#define TCP_TIMEOUT (3 * DFF_SEC)
#define DRAIN_TIME  (10 * DFF_SEC)
#define STEP	    (50 * DFF_MSEC)
#define SHARD	    "models@east"

/* One record of the test's log. */
typedef struct record {
	uint8_t *data;
	size_t len;
} record_t;

/* Two placers, one log that both read at once, and one engine. */
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
	uint32_t orders; /* that it got */
	dff_order_answer_t next_answer;
	bool takes; /* the order has effect whatever the answer says */
} engine_t;

typedef struct bench {
	node_t nodes[2];
	GArray *log; /* record_t */
	bool log_down;
	engine_t engine;
	dff_time_t now;
} bench_t;

static void
load_vms(bench_t *bench)
{
	dff_vm_t vms[3] = {
	    {"a", "10.0.0.1:1", "east", "", DFF_VM_ENTRY, 1, false},
	    {"b", "10.0.0.2:1", "east", "", DFF_VM_ENTRY, 1, false},
	    {"e1", "10.0.0.3:1", "east", "models", DFF_VM_ENGINE, 1, false},
	};

	for (size_t i = 0; i < 2; i++)
		dff_authority_load_vms(bench->nodes[i].ctx,
		    bench->nodes[i].auth, vms, 3, bench->now);
}

static void
node_open(node_t *node, const char *name, uint64_t incarnation, dff_time_t now)
{
	dff_authority_config_t config = {
	    .incarnation = incarnation,
	    .act = true,
	    .term = TERM,
	    .drift = DRIFT,
	    .tcp_timeout = TCP_TIMEOUT,
	    .drain_time = DRAIN_TIME,
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
node_close(node_t *node)
{
	dff_authority_drop(node->auth);
	dff_effects_drop(node->fx);
	dff_timers_drop(node->timers);
	dff_ctx_drop(node->ctx);
}

static bench_t *
bench_new(void)
{
	bench_t *bench = g_new0(bench_t, 1);

	bench->now = DFF_SEC;
	bench->log = g_array_new(FALSE, FALSE, sizeof(record_t));
	bench->engine.incarnation = 7;
	bench->engine.next_answer = DFF_ORDER_ACCEPTED;
	bench->engine.takes = true;
	node_open(&bench->nodes[0], "a.placer", 1, bench->now);
	node_open(&bench->nodes[1], "b.placer", 1, bench->now);
	load_vms(bench);
	return bench;
}

static void
bench_drop(bench_t *bench)
{
	node_close(&bench->nodes[0]);
	node_close(&bench->nodes[1]);
	for (guint i = 0; i < bench->log->len; i++)
		g_free(g_array_index(bench->log, record_t, i).data);
	g_array_unref(bench->log);
	g_free(bench);
}

static void
log_append(bench_t *bench, node_t *node, const dff_fx_log_append_t *append)
{
	dff_ev_log_appended_t ev = {.id = append->id};
	record_t record;

	ev.outcome = DFF_APPEND_REFUSED;
	if (!bench->log_down) {
		record.data = g_memdup2(append->data, append->len);
		record.len = append->len;
		g_array_append_val(bench->log, record);
		ev.outcome = DFF_APPEND_DONE;
		ev.offset = bench->log->len;
	}
	dff_authority_appended(
	    node->ctx, node->auth, &ev, bench->now, node->fx);
}

static void
engine_order(bench_t *bench, node_t *node, const dff_fx_order_send_t *order)
{
	engine_t *engine = &bench->engine;
	dff_ev_order_answer_t ev = {.order = order->order};

	engine->orders++;
	ev.answer = engine->next_answer;
	if (engine->running > 0)
		ev.answer = DFF_ORDER_BUSY;
	if (engine->running == 0 && engine->takes) {
		engine->last_order = order->order;
		engine->role = (dff_role_t)dff_role_parse(order->target);
	}
	dff_authority_answer(node->ctx, node->auth, &ev, bench->now, node->fx);
}

static void
engine_ask(bench_t *bench, node_t *node)
{
	dff_ev_engine_state_t ev = {
	    .vm = "e1",
	    .ok = true,
	    .sent_at = bench->now,
	    .incarnation = bench->engine.incarnation,
	    .role = bench->engine.role,
	    .model = "m",
	    .adapter = "",
	    .running = bench->engine.running,
	    .last_order = bench->engine.last_order,
	};

	dff_authority_state(node->ctx, node->auth, &ev, bench->now, node->fx);
}

/* Effects may cause more of them while they are carried out. */
static void
carry_out(bench_t *bench, node_t *node)
{
	for (size_t i = 0; i < dff_effects_count(node->fx); i++) {
		dff_effect_t effect = *dff_effects_at(node->fx, i);

		if (effect.type == DFF_FX_LOG_APPEND)
			log_append(bench, node, &effect.u.log_append);
		else if (effect.type == DFF_FX_ORDER_SEND)
			engine_order(bench, node, &effect.u.order_send);
		else if (effect.type == DFF_FX_ENGINE_QUERY)
			engine_ask(bench, node);
	}
	dff_effects_clear(node->fx);
}

static void
read_log(bench_t *bench, node_t *node)
{
	uint64_t next = dff_authority_applied(node->auth) + 1;

	if (bench->log_down)
		return;
	for (; next <= bench->log->len; next++) {
		record_t *record =
		    &g_array_index(bench->log, record_t, next - 1);

		ck_assert_int_ge(
		    dff_authority_apply(node->ctx, node->auth, next,
			record->data, record->len, 0, bench->now, node->fx),
		    0);
	}
	dff_authority_head(node->auth, bench->now);
}

static void
step(bench_t *bench)
{
	dff_timer_t due;

	bench->now += STEP;
	for (size_t i = 0; i < 2; i++) {
		node_t *node = &bench->nodes[i];

		if (node->paused)
			continue;
		read_log(bench, node);
		while (dff_timers_pop(node->timers, bench->now, &due))
			dff_authority_due(
			    node->ctx, node->auth, bench->now, node->fx);
		carry_out(bench, node);
	}
}

static void
run_for(bench_t *bench, dff_time_t time)
{
	for (dff_time_t until = bench->now + time; bench->now < until;)
		step(bench);
}

/* The node that holds the lease by its own belief, or NULL. */
static node_t *
holder(bench_t *bench)
{
	node_t *found = NULL;

	for (size_t i = 0; i < 2; i++) {
		dff_lease_view_t view;

		if (bench->nodes[i].paused ||
		    dff_authority_leases(bench->nodes[i].auth, &view, 1) == 0 ||
		    !view.mine)
			continue;
		ck_assert_str_eq(view.shard, SHARD);
		ck_assert_ptr_null(found);
		found = &bench->nodes[i];
	}
	return found;
}

static int
propose(bench_t *bench, node_t *node, const char *role)
{
	return dff_authority_propose(node->ctx, node->auth, "e1",
	    DFF_ORDER_ROLE, role, bench->now, node->fx);
}

START_TEST(one_placer_gets_the_lease)
{
	bench_t *bench = bench_new();
	node_t *node;

	run_for(bench, 2 * DFF_SEC);
	node = holder(bench);
	ck_assert_ptr_nonnull(node);
	/* It keeps it, with two appends a term. */
	run_for(bench, 10 * TERM);
	ck_assert_ptr_eq(holder(bench), node);
	ck_assert_uint_le(bench->log->len, 1 + 2 * 10 + 2);
	bench_drop(bench);
}
END_TEST

START_TEST(paused_holder_is_followed_after_its_term)
{
	bench_t *bench = bench_new();
	node_t *old;
	node_t *new;
	dff_time_t from;

	run_for(bench, 2 * DFF_SEC);
	old = holder(bench);
	old->paused = true;
	from = bench->now;
	while ((new = holder(bench)) == NULL) {
		step(bench);
		ck_assert_int_lt(bench->now - from, 2 * TERM);
	}
	ck_assert_int_ge(bench->now - from, TERM / 2);
	old->paused = false;
	run_for(bench, DFF_SEC);
	ck_assert_ptr_eq(holder(bench), new);
	ck_assert_int_eq(propose(bench, old, "decode"), -EPERM);
	bench_drop(bench);
}
END_TEST

START_TEST(released_lease_is_taken_at_once)
{
	bench_t *bench = bench_new();
	node_t *old;

	run_for(bench, 2 * DFF_SEC);
	old = holder(bench);
	dff_authority_stop(old->ctx, old->auth, bench->now, old->fx);
	run_for(bench, DFF_SEC);
	ck_assert(dff_authority_idle(old->auth));
	ck_assert_ptr_nonnull(holder(bench));
	ck_assert_ptr_ne(holder(bench), old);
	bench_drop(bench);
}
END_TEST

START_TEST(change_goes_through_all_its_steps)
{
	bench_t *bench = bench_new();
	node_t *node;

	run_for(bench, 2 * DFF_SEC);
	node = holder(bench);
	bench->engine.running = 2;
	ck_assert_int_eq(propose(bench, node, "decode"), 0);
	ck_assert_int_eq(propose(bench, node, "prefill"), -EBUSY);
	run_for(bench, DFF_SEC);
	/* All nodes know the mark; nothing is ordered while work runs. */
	ck_assert(dff_authority_drained(bench->nodes[0].auth, "e1"));
	ck_assert(dff_authority_drained(bench->nodes[1].auth, "e1"));
	ck_assert_uint_eq(bench->engine.orders, 0);
	bench->engine.running = 0;
	run_for(bench, DFF_SEC);
	ck_assert_uint_eq(bench->engine.orders, 1);
	ck_assert_int_eq(bench->engine.role, DFF_ROLE_DECODE);
	ck_assert(!dff_authority_drained(bench->nodes[0].auth, "e1"));
	ck_assert(!dff_authority_drained(bench->nodes[1].auth, "e1"));
	ck_assert_int_eq(propose(bench, node, "mixed"), 0);
	bench_drop(bench);
}
END_TEST

START_TEST(engine_that_never_runs_dry_is_let_go)
{
	bench_t *bench = bench_new();
	node_t *node;

	run_for(bench, 2 * DFF_SEC);
	node = holder(bench);
	bench->engine.running = 2;
	ck_assert_int_eq(propose(bench, node, "decode"), 0);
	run_for(bench, DRAIN_TIME + DFF_SEC);
	ck_assert_uint_eq(bench->engine.orders, 0);
	ck_assert(!dff_authority_drained(node->auth, "e1"));
	bench_drop(bench);
}
END_TEST

START_TEST(lost_answer_is_resolved_by_asking)
{
	bench_t *bench = bench_new();
	node_t *node;

	run_for(bench, 2 * DFF_SEC);
	node = holder(bench);
	bench->engine.next_answer = DFF_ORDER_UNKNOWN;
	ck_assert_int_eq(propose(bench, node, "decode"), 0);
	run_for(bench, TCP_TIMEOUT / 2);
	ck_assert_uint_eq(bench->engine.orders, 1);
	ck_assert(!dff_authority_drained(node->auth, "e1"));
	bench_drop(bench);
}
END_TEST

START_TEST(lost_order_is_sent_again_after_the_timeout)
{
	bench_t *bench = bench_new();
	node_t *node;

	run_for(bench, 2 * DFF_SEC);
	node = holder(bench);
	bench->engine.next_answer = DFF_ORDER_UNKNOWN;
	bench->engine.takes = false;
	ck_assert_int_eq(propose(bench, node, "decode"), 0);
	run_for(bench, TCP_TIMEOUT - DFF_SEC);
	ck_assert_uint_eq(bench->engine.orders, 1);
	bench->engine.next_answer = DFF_ORDER_ACCEPTED;
	bench->engine.takes = true;
	run_for(bench, 2 * DFF_SEC);
	ck_assert_uint_eq(bench->engine.orders, 2);
	ck_assert(!dff_authority_drained(node->auth, "e1"));
	bench_drop(bench);
}
END_TEST

START_TEST(nothing_is_ordered_while_the_log_is_down)
{
	bench_t *bench = bench_new();
	node_t *node;

	run_for(bench, 2 * DFF_SEC);
	node = holder(bench);
	bench->engine.running = 1;
	ck_assert_int_eq(propose(bench, node, "decode"), 0);
	run_for(bench, DFF_SEC);
	bench->log_down = true;
	bench->engine.running = 0;
	run_for(bench, 3 * TERM);
	ck_assert_uint_eq(bench->engine.orders, 0);
	ck_assert_int_eq(propose(bench, node, "prefill"), -EPERM);
	bench->log_down = false;
	run_for(bench, 3 * TERM);
	ck_assert(!dff_authority_drained(node->auth, "e1"));
	ck_assert_ptr_nonnull(holder(bench));
	bench_drop(bench);
}
END_TEST

START_TEST(successor_completes_and_holds_back_until_acknowledged)
{
	bench_t *bench = bench_new();
	node_t *old;
	node_t *new;

	run_for(bench, 2 * DFF_SEC);
	old = holder(bench);
	/* The order is sent, and no answer ever reaches the old holder. */
	bench->engine.takes = false;
	bench->engine.next_answer = DFF_ORDER_UNKNOWN;
	ck_assert_int_eq(propose(bench, old, "decode"), 0);
	while (bench->engine.orders == 0)
		step(bench);
	old->paused = true;
	bench->engine.takes = true;
	bench->engine.next_answer = DFF_ORDER_ACCEPTED;
	run_for(bench, 3 * TERM);
	new = holder(bench);
	ck_assert_ptr_nonnull(new);
	ck_assert_uint_eq(bench->engine.orders, 2);
	ck_assert_int_eq(bench->engine.role, DFF_ROLE_DECODE);
	ck_assert(!dff_authority_drained(new->auth, "e1"));
	/* The engine ignores numbers; the old holder may still send. */
	ck_assert_int_eq(propose(bench, new, "prefill"), -EBUSY);
	old->paused = false;
	run_for(bench, DFF_SEC);
	ck_assert_int_eq(propose(bench, new, "prefill"), 0);
	bench_drop(bench);
}
END_TEST

START_TEST(crash_on_the_way_is_an_outcome)
{
	bench_t *bench = bench_new();
	node_t *node;

	run_for(bench, 2 * DFF_SEC);
	node = holder(bench);
	bench->engine.takes = false;
	ck_assert_int_eq(propose(bench, node, "decode"), 0);
	while (bench->engine.orders == 0)
		step(bench);
	bench->engine.incarnation++;
	run_for(bench, DFF_SEC);
	ck_assert_uint_eq(bench->engine.orders, 1);
	ck_assert(!dff_authority_drained(node->auth, "e1"));
	bench_drop(bench);
}
END_TEST

START_TEST(state_that_began_anew_learns_the_holder)
{
	bench_t *bench = bench_new();
	node_t *old;
	node_t *other;

	run_for(bench, 2 * DFF_SEC);
	old = holder(bench);
	other = old == &bench->nodes[0] ? &bench->nodes[1] : &bench->nodes[0];
	node_close(other);
	node_open(other, other == &bench->nodes[0] ? "a.placer" : "b.placer", 2,
	    bench->now);
	load_vms(bench);
	ck_assert_int_eq(dff_authority_rebase(other->auth, bench->log->len), 0);
	for (int i = 0; i < 10; i++) {
		run_for(bench, TERM / 2);
		ck_assert_ptr_eq(holder(bench), old);
	}
	/* It follows a lease that it has never seen claimed. */
	old->paused = true;
	run_for(bench, 2 * TERM);
	ck_assert_ptr_eq(holder(bench), other);
	old->paused = false;
	run_for(bench, DFF_SEC);
	ck_assert_ptr_eq(holder(bench), other);
	bench_drop(bench);
}
END_TEST

START_TEST(snapshot_gives_the_same_state)
{
	bench_t *bench = bench_new();
	node_t *node;
	node_t fresh;
	uint8_t *data;
	uint8_t *again;
	int len;

	run_for(bench, 2 * DFF_SEC);
	node = holder(bench);
	bench->engine.running = 1;
	ck_assert_int_eq(propose(bench, node, "decode"), 0);
	run_for(bench, DFF_SEC);
	node_open(&fresh, node == &bench->nodes[0] ? "a.placer" : "b.placer", 1,
	    bench->now);
	len = dff_authority_save(node->ctx, node->auth, &data);
	ck_assert_int_gt(len, 0);
	ck_assert_int_eq(dff_authority_load(fresh.ctx, fresh.auth, data,
			     (size_t)len, bench->log->len + 2, bench->now),
	    -ERANGE);
	ck_assert_int_eq(dff_authority_load(fresh.ctx, fresh.auth, data,
			     (size_t)len, 1, bench->now),
	    0);
	ck_assert_int_eq(dff_authority_load(fresh.ctx, fresh.auth, data,
			     (size_t)len, 1, bench->now),
	    -EALREADY);
	ck_assert(dff_authority_drained(fresh.auth, "e1"));
	ck_assert_int_eq(
	    dff_authority_save(fresh.ctx, fresh.auth, &again), len);
	ck_assert_mem_eq(data, again, (size_t)len);
	free(again);
	node_close(&fresh);
	node_open(&fresh, "c.placer", 1, bench->now);
	data[len - 1] ^= 1;
	ck_assert_int_eq(dff_authority_load(fresh.ctx, fresh.auth, data,
			     (size_t)len, 1, bench->now),
	    -EINVAL);
	free(data);
	node_close(&fresh);
	bench_drop(bench);
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
	tcase_add_test(tcase, paused_holder_is_followed_after_its_term);
	tcase_add_test(tcase, released_lease_is_taken_at_once);
	tcase_add_test(tcase, change_goes_through_all_its_steps);
	tcase_add_test(tcase, engine_that_never_runs_dry_is_let_go);
	tcase_add_test(tcase, lost_answer_is_resolved_by_asking);
	tcase_add_test(tcase, lost_order_is_sent_again_after_the_timeout);
	tcase_add_test(tcase, nothing_is_ordered_while_the_log_is_down);
	tcase_add_test(
	    tcase, successor_completes_and_holds_back_until_acknowledged);
	tcase_add_test(tcase, crash_on_the_way_is_an_outcome);
	tcase_add_test(tcase, state_that_began_anew_learns_the_holder);
	tcase_add_test(tcase, snapshot_gives_the_same_state);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
