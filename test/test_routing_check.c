/*
 * What dff_routing_check() finds in a routing, and what
 * dff_routing_compare() finds between two.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "dragonflyfall/routing_check.h"

static dff_routing_t *routing;

static dff_route_t *
add_route(dff_routing_t *to, const char *host, const char *prefix)
{
	dff_route_t *route = dff_routing_add_route(to, host, prefix);
	dff_route_share_t share = {.weight = 1};

	g_strlcpy(share.pool, "pool", sizeof(share.pool));
	g_array_append_val(route->shares, share);
	(void)g_snprintf(
	    route->name, sizeof(route->name), "route-%u", to->routes->len - 1);
	return route;
}

static dff_pool_t *
add_pool(dff_routing_t *to, const char *name)
{
	dff_pool_t pool = {.conns_max = 10};

	g_strlcpy(pool.name, name, sizeof(pool.name));
	g_array_append_val(to->pools, pool);
	return &g_array_index(to->pools, dff_pool_t, to->pools->len - 1);
}

static uint32_t
add_organisation(dff_routing_t *to, const char *name, const char *key)
{
	dff_organisation_t organisation = {.has_priority = false};
	uint32_t index;

	if (to->organisations == NULL)
		to->organisations = dff_organisations_new();
	g_strlcpy(organisation.name, name, sizeof(organisation.name));
	index = dff_organisations_add(to->organisations, &organisation);
	dff_organisations_add_key(to->organisations, index, key);
	return index;
}

static void
set_scaling(dff_pool_t *pool, uint32_t min, uint32_t max, const char *domain)
{
	pool->scaling.enabled = true;
	pool->scaling.min = min;
	pool->scaling.max = max;
	pool->scaling.reclaimable_price = 0.3;
	g_strlcpy(pool->scaling.prices[0].domain, domain,
	    sizeof(pool->scaling.prices[0].domain));
	pool->scaling.prices[0].price = 1;
	pool->scaling.price_count = 1;
}

static dff_routing_t *
good_routing(uint64_t version)
{
	dff_routing_t *good = dff_routing_new(version);

	(void)add_route(good, "h", "/a/");
	(void)add_pool(good, "pool");
	return good;
}

static void
setup(void)
{
	routing = good_routing(7);
}

static void
teardown(void)
{
	dff_routing_drop(routing);
}

static void
expect_none_in(const char *const *domains)
{
	GArray *found = dff_routing_check(routing, domains, NULL);

	ck_assert_uint_eq(found->len, 0);
	g_array_unref(found);
}

/* Exactly one finding. */
static void
expect_in(const char *const *domains, const dff_routing_t *in_force,
    bool is_error, dff_section_t section, uint32_t index, const char *code)
{
	GArray *found = dff_routing_check(routing, domains, in_force);
	const dff_finding_t *finding;

	ck_assert_uint_eq(found->len, 1);
	finding = &g_array_index(found, dff_finding_t, 0);
	ck_assert_str_eq(finding->code, code);
	ck_assert_int_eq(finding->is_error, is_error);
	ck_assert_int_eq(finding->section, section);
	ck_assert_uint_eq(finding->index, index);
	ck_assert_str_ne(finding->text, "");
	g_array_unref(found);
}

static void
expect_error(dff_section_t section, uint32_t index, const char *code)
{
	expect_in(NULL, NULL, true, section, index, code);
}

static void
expect_warning(dff_section_t section, uint32_t index, const char *code)
{
	expect_in(NULL, NULL, false, section, index, code);
}

START_TEST(good_routing_has_no_findings)
{
	static const char *const domains[] = {"z1", NULL};

	(void)add_organisation(routing, "one", "k1");
	(void)add_organisation(routing, "two", "k2");
	set_scaling(&g_array_index(routing->pools, dff_pool_t, 0), 1, 1, "z1");
	(void)add_route(routing, "h", "/a/b/");
	(void)add_route(routing, "g", "/a/");
	expect_none_in(domains);
	expect_none_in(NULL);
}
END_TEST

START_TEST(second_route_of_a_prefix_never_matches)
{
	const dff_route_t *second = add_route(routing, "H", "/a/");

	expect_error(DFF_SECTION_ROUTES, 1, "never_matches");
	ck_assert_ptr_ne(dff_routing_match(routing, "h", "/a/x"), second);
}
END_TEST

START_TEST(host_with_a_port_never_matches)
{
	(void)add_route(routing, "g:80", "/");
	expect_error(DFF_SECTION_ROUTES, 1, "never_matches");
}
END_TEST

START_TEST(timeout_under_a_target_is_an_error)
{
	dff_route_t *route = routing->routes->pdata[0];

	route->target_latency = 300 * DFF_MSEC;
	route->timeout = 300 * DFF_MSEC;
	expect_none_in(NULL);
	route->timeout = 299 * DFF_MSEC;
	expect_error(DFF_SECTION_ROUTES, 0, "timeout_under_target");
	route->timeout = DFF_SEC;
	route->kind = DFF_ROUTE_STREAM;
	route->target_gap = DFF_SEC + DFF_MSEC;
	expect_error(DFF_SECTION_ROUTES, 0, "timeout_under_target");
}
END_TEST

/* Nobody wrote the target. */
START_TEST(timeout_under_the_default_target_is_a_warning)
{
	dff_route_t *route = routing->routes->pdata[0];

	route->timeout = 500 * DFF_MSEC;
	expect_warning(DFF_SECTION_ROUTES, 0, "timeout_under_target");
}
END_TEST

START_TEST(fields_of_streams_have_no_effect_elsewhere)
{
	dff_route_t *route = routing->routes->pdata[0];

	route->resumable = true;
	expect_warning(DFF_SECTION_ROUTES, 0, "no_effect");
	route->resumable = false;
	route->target_gap = DFF_MSEC;
	expect_warning(DFF_SECTION_ROUTES, 0, "no_effect");
	route->kind = DFF_ROUTE_STREAM;
	expect_none_in(NULL);
}
END_TEST

START_TEST(pool_that_is_not_there_is_an_error)
{
	(void)add_route(routing, "h", "/b/");
	g_strlcpy(
	    g_array_index(((dff_route_t *)routing->routes->pdata[1])->shares,
		dff_route_share_t, 0)
		.pool,
	    "other", DFF_NAME_MAX);
	expect_error(DFF_SECTION_ROUTES, 1, "unknown_pool");
	(void)add_pool(routing, "other");
	expect_none_in(NULL);
}
END_TEST

START_TEST(weights_of_zero)
{
	dff_route_t *route = routing->routes->pdata[0];
	dff_route_share_t share = {.pool = "pool", .weight = 0};

	g_array_append_val(route->shares, share);
	expect_warning(DFF_SECTION_ROUTES, 0, "never_matches");
	g_array_index(route->shares, dff_route_share_t, 0).weight = 0;
	expect_error(DFF_SECTION_ROUTES, 0, "no_weight");
}
END_TEST

START_TEST(prompts_need_engines)
{
	((dff_route_t *)routing->routes->pdata[0])->generates = true;
	expect_warning(DFF_SECTION_ROUTES, 0, "no_engine");
	g_array_index(routing->pools, dff_pool_t, 0).slots = 4;
	expect_none_in(NULL);
}
END_TEST

START_TEST(pool_without_routes_and_pool_of_a_used_name)
{
	(void)add_pool(routing, "other");
	expect_warning(DFF_SECTION_POOLS, 1, "never_matches");
	g_strlcpy(g_array_index(routing->pools, dff_pool_t, 1).name, "pool",
	    DFF_NAME_MAX);
	expect_error(DFF_SECTION_POOLS, 1, "never_matches");
}
END_TEST

START_TEST(slots_over_connections_are_a_warning)
{
	g_array_index(routing->pools, dff_pool_t, 0).slots = 11;
	expect_warning(DFF_SECTION_POOLS, 0, "slots_over_connections");
}
END_TEST

START_TEST(scaling_bounds_that_contradict_each_other)
{
	dff_pool_t *pool = &g_array_index(routing->pools, dff_pool_t, 0);

	set_scaling(pool, 2, 1, "z1");
	expect_error(DFF_SECTION_POOLS, 0, "scaling_bounds");
	set_scaling(pool, 0, 0, "z1");
	expect_error(DFF_SECTION_POOLS, 0, "scaling_bounds");
	set_scaling(pool, 0, 1, "z1");
	expect_warning(DFF_SECTION_POOLS, 0, "scaling_bounds");
	set_scaling(pool, 1, 1, "z1");
	pool->scaling.prices[0].price = -1;
	expect_error(DFF_SECTION_POOLS, 0, "scaling_bounds");
	set_scaling(pool, 1, 1, "z1");
	pool->scaling.reclaimable_price = 1;
	expect_warning(DFF_SECTION_POOLS, 0, "no_effect");
}
END_TEST

START_TEST(domains_that_are_not_there_or_have_no_price)
{
	static const char *const one[] = {"z1", NULL};
	static const char *const other[] = {"z2", NULL};
	static const char *const both[] = {"z1", "z2", NULL};
	GArray *found;

	set_scaling(&g_array_index(routing->pools, dff_pool_t, 0), 1, 1, "z1");
	expect_none_in(one);
	expect_in(both, NULL, false, DFF_SECTION_POOLS, 0, "no_price");
	found = dff_routing_check(routing, other, NULL);
	ck_assert_uint_eq(found->len, 2);
	ck_assert_str_eq(
	    g_array_index(found, dff_finding_t, 0).code, "unreachable_domain");
	ck_assert(g_array_index(found, dff_finding_t, 0).is_error);
	g_array_unref(found);
}
END_TEST

START_TEST(key_of_two_organisations_is_an_error)
{
	(void)add_organisation(routing, "one", "k");
	dff_organisations_add_key(routing->organisations,
	    add_organisation(routing, "two", "k2"), "k");
	expect_error(DFF_SECTION_ORGANISATIONS, 1, "key_of_two");
}
END_TEST

START_TEST(organisations_without_a_key_or_with_a_used_name)
{
	(void)add_organisation(routing, "one", "k");
	(void)add_organisation(routing, "two", "");
	expect_warning(DFF_SECTION_ORGANISATIONS, 1, "never_matches");
	dff_organisations_add_key(routing->organisations, 1, "k2");
	expect_none_in(NULL);
	(void)add_organisation(routing, "two", "k3");
	expect_error(DFF_SECTION_ORGANISATIONS, 2, "name_twice");
}
END_TEST

START_TEST(limits_that_contradict_each_other)
{
	routing->head_max = 3;
	expect_error(DFF_SECTION_LIMITS, 0, "head_under_prefix");
	routing->head_max = 16384;
	routing->idle_time = routing->head_time - DFF_MSEC;
	expect_warning(DFF_SECTION_LIMITS, 0, "idle_under_head");
}
END_TEST

START_TEST(version_must_be_newer)
{
	dff_routing_t *in_force = good_routing(7);

	expect_in(
	    NULL, in_force, true, DFF_SECTION_WHOLE, 0, "version_not_newer");
	in_force->version = 6;
	g_array_unref(dff_routing_check(routing, NULL, in_force));
	expect_none_in(NULL);
	dff_routing_drop(in_force);
}
END_TEST

START_TEST(routing_without_routes)
{
	g_ptr_array_set_size(routing->routes, 0);
	g_array_set_size(routing->pools, 0);
	expect_warning(DFF_SECTION_WHOLE, 0, "empty");
}
END_TEST

/* ---- differences ---- */

static void
expect_difference(const dff_routing_t *before, dff_change_t change,
    dff_section_t section, const char *name, const char *text)
{
	GArray *found = dff_routing_compare(before, routing);
	const dff_difference_t *one;

	ck_assert_uint_eq(found->len, 1);
	one = &g_array_index(found, dff_difference_t, 0);
	ck_assert_int_eq(one->change, change);
	ck_assert_int_eq(one->section, section);
	ck_assert_str_eq(one->name, name);
	ck_assert_str_eq(one->text, text);
	g_array_unref(found);
}

START_TEST(equal_routings_do_not_differ)
{
	dff_routing_t *before = good_routing(6);
	GArray *found;

	(void)add_organisation(before, "one", "k");
	(void)add_organisation(routing, "one", "k");
	found = dff_routing_compare(before, routing);
	ck_assert_uint_eq(found->len, 0);
	g_array_unref(found);
	dff_routing_drop(before);
}
END_TEST

START_TEST(routes_that_differ)
{
	dff_routing_t *before = good_routing(6);
	dff_route_t *route = routing->routes->pdata[0];

	route->timeout = 2 * DFF_SEC;
	route->kind = DFF_ROUTE_REPEATABLE;
	expect_difference(before, DFF_CHANGE_CHANGED, DFF_SECTION_ROUTES,
	    "h/a/", "kind repeatable, was once; timeout_ms 2000, was 30000");
	dff_routing_drop(before);
	before = dff_routing_keep(routing);
	routing = good_routing(8);
	route = routing->routes->pdata[0];
	route->timeout = 2 * DFF_SEC;
	route->kind = DFF_ROUTE_REPEATABLE;
	(void)add_route(routing, "h", "/b/");
	expect_difference(
	    before, DFF_CHANGE_ADDED, DFF_SECTION_ROUTES, "h/b/", "");
	dff_routing_drop(before);
	dff_routing_drop(before);
	before = routing;
	routing = good_routing(9);
	route = routing->routes->pdata[0];
	route->timeout = 2 * DFF_SEC;
	route->kind = DFF_ROUTE_REPEATABLE;
	expect_difference(
	    before, DFF_CHANGE_REMOVED, DFF_SECTION_ROUTES, "h/b/", "");
	dff_routing_drop(before);
}
END_TEST

START_TEST(pools_that_differ)
{
	dff_routing_t *before = good_routing(6);
	dff_pool_t *pool = &g_array_index(routing->pools, dff_pool_t, 0);

	pool->conns_max = 20;
	expect_difference(before, DFF_CHANGE_CHANGED, DFF_SECTION_POOLS, "pool",
	    "connections 20, was 10");
	pool->conns_max = 10;
	set_scaling(pool, 1, 2, "z1");
	pool->scaling.reclaimable_price = 0;
	expect_difference(before, DFF_CHANGE_CHANGED, DFF_SECTION_POOLS, "pool",
	    "scaling yes, was no; scaling_min 1, was 0; scaling_max 2, was 0; "
	    "prices z1:1, was ");
	dff_routing_drop(before);
}
END_TEST

START_TEST(keys_that_differ_are_counted_and_not_shown)
{
	dff_routing_t *before = good_routing(6);

	(void)add_organisation(before, "one", "k1");
	dff_organisations_add_key(before->organisations, 0, "k2");
	(void)add_organisation(routing, "one", "k1");
	dff_organisations_add_key(routing->organisations, 0, "k3");
	dff_organisations_add_key(routing->organisations, 0, "k4");
	expect_difference(before, DFF_CHANGE_CHANGED, DFF_SECTION_ORGANISATIONS,
	    "one", "keys +2 -1");
	dff_routing_drop(before);
}
END_TEST

START_TEST(limits_that_differ)
{
	dff_routing_t *before = good_routing(6);

	routing->body_max = 1000;
	expect_difference(before, DFF_CHANGE_CHANGED, DFF_SECTION_LIMITS, "",
	    "body_max 1000, was 4194304");
	dff_routing_drop(before);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("routing_check");
	TCase *tcase = tcase_create("routing_check");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, good_routing_has_no_findings);
	tcase_add_test(tcase, second_route_of_a_prefix_never_matches);
	tcase_add_test(tcase, host_with_a_port_never_matches);
	tcase_add_test(tcase, timeout_under_a_target_is_an_error);
	tcase_add_test(tcase, timeout_under_the_default_target_is_a_warning);
	tcase_add_test(tcase, fields_of_streams_have_no_effect_elsewhere);
	tcase_add_test(tcase, pool_that_is_not_there_is_an_error);
	tcase_add_test(tcase, weights_of_zero);
	tcase_add_test(tcase, prompts_need_engines);
	tcase_add_test(tcase, pool_without_routes_and_pool_of_a_used_name);
	tcase_add_test(tcase, slots_over_connections_are_a_warning);
	tcase_add_test(tcase, scaling_bounds_that_contradict_each_other);
	tcase_add_test(tcase, domains_that_are_not_there_or_have_no_price);
	tcase_add_test(tcase, key_of_two_organisations_is_an_error);
	tcase_add_test(tcase, organisations_without_a_key_or_with_a_used_name);
	tcase_add_test(tcase, limits_that_contradict_each_other);
	tcase_add_test(tcase, version_must_be_newer);
	tcase_add_test(tcase, routing_without_routes);
	tcase_add_test(tcase, equal_routings_do_not_differ);
	tcase_add_test(tcase, routes_that_differ);
	tcase_add_test(tcase, pools_that_differ);
	tcase_add_test(tcase, keys_that_differ_are_counted_and_not_shown);
	tcase_add_test(tcase, limits_that_differ);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
