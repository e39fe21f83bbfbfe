/*
 * Organisations and their keys, and what a relay does with requests that have
 * one, another or none.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "fake/relay_bench.h"
#include "relay/key_check.h"

#define ORGANISATIONS 2500
#define KEYS_EACH     2
/* Changes of keys that are looked up one after the other. */
#define CHANGES 50

static relay_bench_t *bench;

/* ---- the table ---- */

static void
add(dff_organisations_t *all, const char *name, const char *key)
{
	dff_organisation_t organisation = {0};

	g_strlcpy(organisation.name, name, sizeof(organisation.name));
	dff_organisations_add_key(
	    all, dff_organisations_add(all, &organisation), key);
}

START_TEST(key_is_found_as_a_whole_only)
{
	dff_organisations_t *all = dff_organisations_new();

	add(all, "o1", "abcdefgh");
	add(all, "o2", "ijklmnop");
	add(all, "o3", "");
	ck_assert_str_eq(dff_organisations_find(all, "abcdefgh")->name, "o1");
	ck_assert_str_eq(dff_organisations_find(all, "ijklmnop")->name, "o2");
	ck_assert_ptr_null(dff_organisations_find(all, "abcdefg"));
	ck_assert_ptr_null(dff_organisations_find(all, "abcdefghi"));
	ck_assert_ptr_null(dff_organisations_find(all, "Abcdefgh"));
	ck_assert_ptr_null(dff_organisations_find(all, ""));
	ck_assert_uint_eq(dff_organisations_keys(all), 2);
	ck_assert_ptr_nonnull(dff_organisations_find_name(all, "o3"));
	ck_assert_ptr_null(dff_organisations_find_name(all, "o4"));
	dff_organisations_drop(all);
}
END_TEST

START_TEST(key_of_two_organisations_stays_the_firsts)
{
	dff_organisations_t *all = dff_organisations_new();

	add(all, "o1", "k");
	add(all, "o1", "k2");
	add(all, "o2", "k");
	ck_assert_str_eq(dff_organisations_find(all, "k")->name, "o1");
	ck_assert_uint_eq(dff_organisations_conflicts(all), 1);
	dff_organisations_drop(all);
}
END_TEST

/* Keys of one version: the first of each organisation is different in each. */
static dff_organisations_t *
make_many(int version)
{
	dff_organisations_t *all = dff_organisations_new();
	dff_organisation_t organisation = {0};
	char key[64];

	for (uint32_t i = 0; i < ORGANISATIONS; i++) {
		(void)g_snprintf(organisation.name, sizeof(organisation.name),
		    "organisation-%u", i);
		(void)dff_organisations_add(all, &organisation);
		for (uint32_t k = 0; k < KEYS_EACH; k++) {
			(void)g_snprintf(key, sizeof(key), "key-%u-%u-%d", i, k,
			    k == 0 ? version : 0);
			dff_organisations_add_key(all, i, key);
		}
	}
	return all;
}

START_TEST(many_organisations_change_their_keys)
{
	for (int version = 1; version <= CHANGES; version += CHANGES - 1) {
		dff_organisations_t *all = make_many(version);

		ck_assert_uint_eq(dff_organisations_count(all), ORGANISATIONS);
		ck_assert_uint_eq(
		    dff_organisations_keys(all), ORGANISATIONS * KEYS_EACH);
		for (uint32_t i = 0; i < ORGANISATIONS; i++) {
			char name[64];
			char key[64];

			(void)g_snprintf(
			    name, sizeof(name), "organisation-%u", i);
			(void)g_snprintf(
			    key, sizeof(key), "key-%u-0-%d", i, version);
			ck_assert_str_eq(
			    dff_organisations_find(all, key)->name, name);
			(void)g_snprintf(
			    key, sizeof(key), "key-%u-0-%d", i, version + 1);
			ck_assert_ptr_null(dff_organisations_find(all, key));
		}
		dff_organisations_drop(all);
	}
}
END_TEST

/* ---- the decision ---- */

START_TEST(decision_depends_on_the_age_of_the_configuration)
{
	static const struct {
		const char *key;
		dff_time_t age;
		bool strict;
		key_verdict_t verdict;
	} rows[] = {{"k", 0, true, KEY_ACCEPTED},
	    {"k", 4900 * DFF_MSEC, true, KEY_ACCEPTED},
	    {"k", 5000 * DFF_MSEC, true, KEY_UNCONFIRMED},
	    {"k", DFF_TIME_NEVER, true, KEY_UNCONFIRMED},
	    {"k", DFF_TIME_NEVER, false, KEY_ACCEPTED},
	    {"x", 0, true, KEY_UNKNOWN}, {"x", 0, false, KEY_UNKNOWN},
	    {"x", 2900 * DFF_MSEC, true, KEY_UNKNOWN},
	    {"x", 3000 * DFF_MSEC, true, KEY_UNCONFIRMED},
	    {"x", 3000 * DFF_MSEC, false, KEY_UNCONFIRMED},
	    {"", 0, true, KEY_MISSING},
	    {"", 3000 * DFF_MSEC, true, KEY_UNCONFIRMED}};
	dff_organisations_t *all = dff_organisations_new();

	add(all, "o1", "k");
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		const key_rules_t rules = {.age = rows[i].age,
		    .strict = rows[i].strict,
		    .revoke_time = 5 * DFF_SEC,
		    .config_time = 3 * DFF_SEC};
		const dff_organisation_t *found;

		ck_assert_int_eq(key_check(all, rows[i].key, &rules, &found),
		    rows[i].verdict);
		ck_assert_int_eq(
		    found != NULL, rows[i].verdict == KEY_ACCEPTED);
	}
	dff_organisations_drop(all);
}
END_TEST

/* ---- a relay ---- */

static void
confirm(uint64_t version)
{
	dff_relay_event_t event = {.type = DFF_RELAY_ROUTING_CONFIRMED};

	event.confirmed.asked_at = bench->now;
	event.confirmed.version = version;
	relay_bench_step(bench, &event);
}

/* Organisation "o1" with key "k1" and its own priority, and "o2" with "k2" in
 * odd versions; "/order/" is public. */
static void
load_organisations(uint64_t version)
{
	dff_relay_event_t event = {.type = DFF_RELAY_ROUTING};
	dff_organisation_t first = {
	    .name = "o1", .has_priority = true, .priority = 7};

	event.routing = relay_bench_new_routing(version);
	event.routing->organisations = dff_organisations_new();
	dff_organisations_add_key(event.routing->organisations,
	    dff_organisations_add(event.routing->organisations, &first), "k1");
	if (version % 2 == 1)
		add(event.routing->organisations, "o2", "k2");
	for (guint i = 0; i < event.routing->routes->len; i++) {
		dff_route_t *route = event.routing->routes->pdata[i];

		route->priority = 3;
		route->is_public = strcmp(route->prefix, "/order/") == 0;
	}
	relay_bench_step(bench, &event);
	dff_routing_drop(event.routing);
	confirm(version);
}

static void
setup(void)
{
	bench = relay_bench_new();
	load_organisations(1);
	relay_bench_load_upstream(bench, "p1", "plain", DFF_ROLE_MIXED, "a", 1);
}

static void
teardown(void)
{
	relay_bench_drop(bench);
}

static void
open_with(const char *target, const char *key, const char *organisation,
    bool from_peer)
{
	dff_relay_event_t event = {.type = DFF_RELAY_OPEN};

	event.open.call = ++bench->next_call;
	event.open.id = "id";
	event.open.host = "h";
	event.open.target = target;
	event.open.content_hash = bench->next_call;
	event.open.timeout = 3 * DFF_SEC;
	event.open.after_event = -1;
	event.open.resumes = "";
	event.open.credential = key;
	event.open.organisation = organisation;
	event.open.from_peer = from_peer;
	relay_bench_step(bench, &event);
}

static const dff_relay_send_t *
expect_send(const char *organisation, uint32_t priority)
{
	const dff_relay_effect_t *fx =
	    relay_bench_find(bench, DFF_RELAY_FX_SEND);

	ck_assert_ptr_nonnull(fx);
	ck_assert_str_eq(fx->send.organisation, organisation);
	ck_assert_uint_eq(fx->send.priority, priority);
	ck_assert(fx->send.checks_keys);
	return &fx->send;
}

static void
expect_status(int status)
{
	ck_assert_int_eq(relay_bench_answer(bench), status);
	ck_assert_ptr_null(relay_bench_find(bench, DFF_RELAY_FX_SEND));
}

START_TEST(request_runs_for_the_organisation_of_its_key)
{
	open_with("/read/x", "k1", "", false);
	expect_send("o1", 7);
	open_with("/read/x", "k2", "", false);
	expect_send("o2", 3);
}
END_TEST

START_TEST(second_send_names_the_organisation_too)
{
	uint64_t send;

	relay_bench_load_upstream(bench, "p2", "plain", DFF_ROLE_MIXED, "a", 1);
	open_with("/read/x", "k1", "", false);
	send = expect_send("o1", 7)->send;
	relay_bench_head(bench, send, 503, true);
	relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
	expect_send("o1", 7);
}
END_TEST

START_TEST(request_without_a_known_key_is_refused)
{
	open_with("/read/x", "k3", "", false);
	expect_status(401);
	open_with("/read/x", "", "", false);
	expect_status(401);
	/* Only a peer names the organisation. */
	open_with("/read/x", "", "o1", false);
	expect_status(401);
	open_with("/none/x", "", "", false);
	expect_status(404);
}
END_TEST

START_TEST(public_route_needs_no_key)
{
	open_with("/order/x", "", "", false);
	expect_send("", 3);
	open_with("/order/x", "k1", "", false);
	expect_send("", 3);
}
END_TEST

START_TEST(removed_key_is_refused_from_the_next_version_on)
{
	open_with("/read/x", "k2", "", false);
	expect_send("o2", 3);
	load_organisations(2);
	open_with("/read/x", "k2", "", false);
	expect_status(401);
	load_organisations(3);
	open_with("/read/x", "k2", "", false);
	expect_send("o2", 3);
}
END_TEST

START_TEST(peer_is_believed_about_the_organisation)
{
	open_with("/read/x", "", "o1", true);
	expect_send("o1", 7);
	/* Of a version that this node does not have. */
	open_with("/read/x", "", "o9", true);
	expect_send("o9", 3);
	open_with("/order/x", "", "", true);
	expect_send("", 3);
	open_with("/read/x", "", "", true);
	expect_status(503);
}
END_TEST

START_TEST(refusals_are_counted_and_no_key_is_logged)
{
	char *text;

	open_with("/read/x", "k3", "", false);
	open_with("/read/x", "", "", false);
	text = dff_relay_metrics(bench->relay, bench->now);
	ck_assert_ptr_nonnull(
	    strstr(text, "dff_relay_refused_no_key_total 1\n"));
	ck_assert_ptr_nonnull(
	    strstr(text, "dff_relay_refused_unknown_key_total 1\n"));
	ck_assert_ptr_null(strstr(text, "k3"));
	g_free(text);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_organisation");
	TCase *tcase = tcase_create("relay_organisation");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, key_is_found_as_a_whole_only);
	tcase_add_test(tcase, key_of_two_organisations_stays_the_firsts);
	tcase_add_test(tcase, many_organisations_change_their_keys);
	tcase_add_test(tcase, decision_depends_on_the_age_of_the_configuration);
	tcase_add_test(tcase, request_runs_for_the_organisation_of_its_key);
	tcase_add_test(tcase, second_send_names_the_organisation_too);
	tcase_add_test(tcase, request_without_a_known_key_is_refused);
	tcase_add_test(tcase, public_route_needs_no_key);
	tcase_add_test(tcase, removed_key_is_refused_from_the_next_version_on);
	tcase_add_test(tcase, peer_is_believed_about_the_organisation);
	tcase_add_test(tcase, refusals_are_counted_and_no_key_is_logged);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
