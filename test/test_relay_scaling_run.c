/*
 * A relay with a pool whose upstreams are ordered: it orders only with the duty,
 * under its token, and gives nothing to what leaves.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "fake/relay_bench.h"
#include "relay/internal.h"

#define PER_DOMAIN 4
#define DOMAINS	   3

static const char *const domains[DOMAINS] = {"a", "b", "c"};

static void
load_routing(relay_bench_t *bench)
{
	dff_routing_t *routing = relay_bench_new_routing(1);
	dff_relay_event_t event = {.type = DFF_RELAY_ROUTING};
	const dff_scaling_t scaling = {.enabled = true,
	    .min = 1,
	    .max = 20,
	    .boot_time = 4 * DFF_SEC,
	    .reclaimable_price = 0.22};

	for (guint i = 0; i < routing->pools->len; i++) {
		dff_pool_t *pool =
		    &g_array_index(routing->pools, dff_pool_t, i);

		if (strcmp(pool->name, "llm") == 0)
			pool->scaling = scaling;
	}
	event.routing = routing;
	relay_bench_step(bench, &event);
	dff_routing_drop(routing);
}

static void
load_upstreams(relay_bench_t *bench)
{
	for (int d = 0; d < DOMAINS; d++) {
		for (int i = 0; i < PER_DOMAIN; i++) {
			char id[DFF_NAME_MAX];

			(void)g_snprintf(
			    id, sizeof(id), "e-%s-%d", domains[d], i);
			relay_bench_load_upstream(
			    bench, id, "llm", DFF_ROLE_MIXED, domains[d], 1);
		}
	}
}

static relay_bench_t *
begin(bool orders)
{
	relay_bench_t *bench = relay_bench_new();
	dff_relay_config_t config;

	dff_relay_defaults(&config);
	config.orders_upstreams = orders;
	dff_relay_set_config(bench->relay, &config);
	if (orders) {
		dff_duty_config_t duties = {
		    .count = 1, .lease_time = 3 * DFF_SEC};
		dff_usage_config_t usage = {0};

		g_strlcpy(duties.names[0], DFF_DUTY_SCALING, DFF_NAME_MAX);
		dff_relay_set_duties(bench->relay, &duties, &usage, bench->now);
	}
	load_routing(bench);
	load_upstreams(bench);
	return bench;
}

/* The log of duties, which has only this node's records. */
typedef struct duty_log {
	dff_duty_record_t records[64];
	uint64_t end;
} duty_log_t;

static void
answer_log(relay_bench_t *bench, duty_log_t *log, dff_duty_request_t request)
{
	dff_relay_event_t event = {.type = DFF_RELAY_DUTY_READ};

	if (request.append) {
		event.type = DFF_RELAY_DUTY_APPENDED;
		event.duty_appended.result = DFF_DUTY_ACCEPTED;
		event.duty_appended.position = log->end;
		request.record.position = log->end;
		ck_assert_uint_lt(log->end, G_N_ELEMENTS(log->records));
		log->records[log->end++] = request.record;
	} else {
		event.duty_read.answered = true;
		event.duty_read.end = log->end;
		event.duty_read.records = &log->records[request.position];
		event.duty_read.count = log->end - request.position;
	}
	relay_bench_step(bench, &event);
}

/* Runs for @time, answers the log, and collects the orders. */
static GArray *
run_for(relay_bench_t *bench, duty_log_t *log, dff_time_t time)
{
	GArray *orders = g_array_new(FALSE, FALSE, sizeof(dff_relay_order_t));
	dff_relay_event_t answered = {.type = DFF_RELAY_SOURCE_ANSWERED};

	for (dff_time_t until = bench->now + time; bench->now < until;) {
		const dff_relay_effect_t *log_fx;

		relay_bench_step(bench, &answered);
		relay_bench_wait(bench, 100 * DFF_MSEC);
		for (guint i = 0; i < bench->fx->len; i++) {
			const dff_relay_effect_t *fx =
			    &g_array_index(bench->fx, dff_relay_effect_t, i);

			if (fx->type == DFF_RELAY_FX_ORDER_UPSTREAMS)
				g_array_append_val(orders, fx->order);
		}
		log_fx = relay_bench_find(bench, DFF_RELAY_FX_DUTY_LOG);
		while (log_fx != NULL) {
			answer_log(bench, log, log_fx->duty_request);
			log_fx = relay_bench_find(bench, DFF_RELAY_FX_DUTY_LOG);
		}
	}
	return orders;
}

START_TEST(holder_orders_under_its_token)
{
	relay_bench_t *bench = begin(true);
	duty_log_t log = {.end = 1};
	GArray *orders = run_for(bench, &log, 20 * DFF_SEC);

	ck_assert_uint_ge(orders->len, DOMAINS);
	for (guint i = 0; i < orders->len; i++) {
		const dff_relay_order_t *order =
		    &g_array_index(orders, dff_relay_order_t, i);

		ck_assert_str_eq(order->pool, "llm");
		ck_assert_uint_gt(order->token, 0);
		/* No answer has come: one order for each domain. */
		for (guint j = 0; j < i; j++)
			ck_assert_str_ne(order->domain,
			    g_array_index(orders, dff_relay_order_t, j).domain);
	}
	g_array_unref(orders);
	relay_bench_drop(bench);
}
END_TEST

START_TEST(results_lead_to_further_orders)
{
	relay_bench_t *bench = begin(true);
	duty_log_t log = {.end = 1};
	GArray *orders = run_for(bench, &log, 20 * DFF_SEC);
	dff_relay_event_t event = {.type = DFF_RELAY_UPSTREAMS_ORDERED};
	dff_relay_order_t first;
	char *metrics;

	ck_assert_uint_ge(orders->len, 1);
	first = g_array_index(orders, dff_relay_order_t, 0);
	g_array_unref(orders);
	event.ordered.order = first.order;
	event.ordered.result = DFF_ORDERED_UNANSWERED;
	relay_bench_step(bench, &event);
	orders = run_for(bench, &log, 2 * DFF_SEC);
	ck_assert_uint_eq(orders->len, 1);
	ck_assert_uint_eq(
	    g_array_index(orders, dff_relay_order_t, 0).count, first.count);
	ck_assert_str_eq(
	    g_array_index(orders, dff_relay_order_t, 0).domain, first.domain);
	metrics = dff_relay_metrics(bench->relay, bench->now);
	ck_assert_ptr_nonnull(
	    strstr(metrics, "dff_relay_upstream_orders_unanswered_total 1"));
	ck_assert_ptr_nonnull(strstr(metrics,
	    "dff_relay_upstreams_listed{pool=\"llm\",domain=\"a\","
	    "kind=\"regular\"} 4"));
	g_free(metrics);
	g_array_unref(orders);
	relay_bench_drop(bench);
}
END_TEST

START_TEST(nothing_is_ordered_without_the_duty)
{
	relay_bench_t *bench = begin(false);
	duty_log_t log = {.end = 1};
	GArray *orders = run_for(bench, &log, 20 * DFF_SEC);

	ck_assert_uint_eq(orders->len, 0);
	g_array_unref(orders);
	relay_bench_drop(bench);
}
END_TEST

/* The whole domain is reclaimed: no request goes there any more. */
START_TEST(reclaimed_upstreams_get_nothing)
{
	relay_bench_t *bench = begin(true);

	for (int i = 0; i < PER_DOMAIN; i++) {
		dff_upstream_record_t record;
		char id[DFF_NAME_MAX];

		(void)g_snprintf(id, sizeof(id), "e-a-%d", i);
		record = relay_bench_make_record(
		    id, "llm", DFF_ROLE_MIXED, "a", 2, "");
		record.reclaimable = true;
		record.leaving = true;
		record.leaves_in = 2 * DFF_SEC;
		relay_bench_load_record(bench, &record);
	}
	for (uint64_t i = 0; i < 20; i++) {
		const dff_relay_effect_t *fx;

		(void)relay_bench_open_prompt(
		    bench, "/talk/x", i % 3, 2000, 100 + i, 100);
		fx = relay_bench_find(bench, DFF_RELAY_FX_SEND);
		ck_assert_ptr_nonnull(fx);
		ck_assert(!g_str_has_prefix(fx->send.upstream, "e-a-"));
	}
	relay_bench_drop(bench);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("relay_scaling_run");
	TCase *tc = tcase_create("relay_scaling_run");
	SRunner *runner;
	int failed;

	tcase_add_test(tc, holder_orders_under_its_token);
	tcase_add_test(tc, results_lead_to_further_orders);
	tcase_add_test(tc, nothing_is_ordered_without_the_duty);
	tcase_add_test(tc, reclaimed_upstreams_get_nothing);
	suite_add_tcase(s, tc);
	runner = srunner_create(s);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
