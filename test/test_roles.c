#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dragonflyfall/policy.h"

/* The pool's settings for roles replace %s. */
static const char catalogue_format[] =
    "[dragonflyfall]\n"
    "format=1\n"
    "[owner one]\n"
    "secret_sha256="
    "a906446263f86c8b71d003099a537d9a50b6ba335ca5f136d460ae8cd9da7ff7\n"
    "weight=1\n"
    "[class fast]\n"
    "first_token_ms=1000\n"
    "token_gap_ms=200\n"
    "whole_ms=10000\n"
    "priority=0\n"
    "[pool engines]\n"
    "kind=engine\n"
    "model=m\n"
    "version=1\n"
    "fencing=checked\n"
    "%s\n"
    "[entry ask]\n"
    "owner=one\n"
    "class=fast\n"
    "pool=engines\n"
    "max_prompt_tokens=30000\n"
    "max_output_tokens=100\n";

#define ENGINES 6
#define T0	(1000 * DFF_SEC)
#define TICK	(500 * DFF_MSEC)

typedef struct fixture {
	dff_ctx_t *ctx;
	dff_roles_t *roles;
	dff_vm_t vms[ENGINES];
	dff_role_t role[ENGINES];
	bool changing[ENGINES];
	dff_time_t now;
	int changes;
	dff_role_change_t last;
} fixture_t;

/* Load that the engines of each role report. */
typedef struct load {
	uint64_t backlog; /* prompt tokens, at each prefilling engine */
	uint32_t pieces; /* pieces used of 1000, at each decoding one */
} load_t;

static const load_t prompt_heavy = {60000, 100};
static const load_t output_heavy = {0, 990};
static const load_t even = {1000, 600};

static void
set_up(fixture_t *f, bool allow_changes, int price, int prefill)
{
	dff_problem_t problems[4];
	dff_catalogue_t *cat;
	char text[sizeof(catalogue_format) + 128];
	char roles[128];
	size_t count;

	memset(f, 0, sizeof(*f));
	f->now = T0;
	f->ctx = dff_ctx_new(1, DFF_LOG_ERR, NULL, NULL);
	(void)snprintf(roles, sizeof(roles),
	    "roles=any\nrole_change_price=%d\nrole_change_away_ms=6000", price);
	(void)snprintf(text, sizeof(text), catalogue_format,
	    allow_changes ? roles : "roles=mixed");
	ck_assert_int_eq(dff_catalogue_load(f->ctx, text, strlen(text),
			     problems, 4, &count, &cat),
	    0);
	f->roles = dff_roles_new(f->ctx);
	dff_roles_set_catalogue(f->roles, cat);
	dff_catalogue_drop(cat);
	for (int i = 0; i < ENGINES; i++) {
		(void)snprintf(f->vms[i].id, sizeof(f->vms[i].id), "e%d", i);
		(void)dff_name_copy(f->vms[i].pool, "engines");
		(void)dff_name_copy(
		    f->vms[i].domain, i % 2 == 0 ? "north" : "south");
		f->vms[i].kind = DFF_VM_ENGINE;
		f->vms[i].incarnation = 1;
		f->role[i] = i < prefill ? DFF_ROLE_PREFILL : DFF_ROLE_DECODE;
	}
	dff_roles_set_vms(f->roles, f->vms, ENGINES, f->now);
}

static void
tear_down(fixture_t *f)
{
	dff_roles_drop(f->roles);
	dff_ctx_drop(f->ctx);
}

static void
report(fixture_t *f, int i, const load_t *load)
{
	dff_ev_engine_report_t ev = {0};

	ev.vm = f->vms[i].id;
	ev.incarnation = 1;
	ev.sampled_at = f->now;
	ev.role = f->role[i];
	ev.reconfiguring = f->changing[i];
	ev.model = "m";
	ev.total_pieces = 1000;
	ev.free_pieces = 1000;
	ev.prefill_us = 60;
	ev.token_us = 12000;
	ev.running = 4;
	if (f->role[i] == DFF_ROLE_PREFILL)
		ev.backlog_tokens = load->backlog;
	else
		ev.free_pieces = 1000 - load->pieces;
	dff_roles_apply_report(f->ctx, f->roles, &ev, f->now);
}

/* Run for a time under a load; role changes take effect at once. */
static void
run_for(fixture_t *f, const load_t *load, dff_time_t length)
{
	dff_time_t end = f->now + length;

	for (; f->now < end; f->now += TICK) {
		dff_role_change_t change;

		for (int i = 0; i < ENGINES; i++)
			report(f, i, load);
		if (!dff_roles_propose(f->ctx, f->roles, "", f->now, &change))
			continue;
		dff_roles_record_change(f->roles, &change, f->now);
		f->changes++;
		f->last = change;
		f->role[atoi(change.vm + 1)] = change.role;
	}
}

START_TEST(lasting_shift_causes_one_change)
{
	fixture_t f;

	set_up(&f, true, 120, 2);
	run_for(&f, &even, 30 * DFF_SEC);
	ck_assert_int_eq(f.changes, 0);
	run_for(&f, &prompt_heavy, 240 * DFF_SEC);
	ck_assert_int_eq(f.changes, 1);
	ck_assert_int_eq(f.last.role, DFF_ROLE_MIXED);
	ck_assert_int_ge(atoi(f.last.vm + 1), 2);
	ck_assert_ptr_nonnull(strstr(f.last.reason, "short_of=prefill"));
	tear_down(&f);
}
END_TEST

START_TEST(short_swings_cause_no_change)
{
	fixture_t f;

	set_up(&f, true, 120, 3);
	for (int i = 0; i < 10; i++) {
		run_for(&f, &prompt_heavy, 40 * DFF_SEC);
		run_for(&f, &output_heavy, 40 * DFF_SEC);
	}
	ck_assert_int_eq(f.changes, 0);
	tear_down(&f);
}
END_TEST

START_TEST(low_price_changes_sooner)
{
	fixture_t expensive;
	fixture_t cheap;

	set_up(&expensive, true, 120, 2);
	set_up(&cheap, true, 15, 2);
	run_for(&expensive, &prompt_heavy, 60 * DFF_SEC);
	run_for(&cheap, &prompt_heavy, 60 * DFF_SEC);
	ck_assert_int_eq(expensive.changes, 0);
	ck_assert_int_eq(cheap.changes, 1);
	tear_down(&expensive);
	tear_down(&cheap);
}
END_TEST

START_TEST(learned_length_of_swings_prevents_changes)
{
	fixture_t f;
	int first;

	set_up(&f, true, 15, 2);
	run_for(&f, &prompt_heavy, 25 * DFF_SEC);
	run_for(&f, &even, 25 * DFF_SEC);
	first = f.changes;
	for (int i = 0; i < 10; i++) {
		run_for(&f, &prompt_heavy, 25 * DFF_SEC);
		run_for(&f, &even, 25 * DFF_SEC);
	}
	ck_assert_int_le(f.changes, first + 1);
	tear_down(&f);
}
END_TEST

START_TEST(last_engine_of_a_role_is_kept)
{
	fixture_t f;

	set_up(&f, true, 0, 5);
	run_for(&f, &prompt_heavy, 600 * DFF_SEC);
	ck_assert_int_eq(f.changes, 0);
	tear_down(&f);
}
END_TEST

START_TEST(no_change_with_a_stale_report)
{
	fixture_t f;
	dff_role_change_t change;

	set_up(&f, true, 0, 2);
	for (int t = 0; t < 200; t++) {
		for (int i = 1; i < ENGINES; i++)
			report(&f, i, &prompt_heavy);
		ck_assert(
		    !dff_roles_propose(f.ctx, f.roles, "", f.now, &change));
		f.now += TICK;
	}
	tear_down(&f);
}
END_TEST

START_TEST(no_second_change_while_one_is_pending)
{
	fixture_t f;
	dff_role_change_t change;

	set_up(&f, true, 0, 2);
	run_for(&f, &prompt_heavy, 60 * DFF_SEC);
	ck_assert_int_ge(f.changes, 1);
	f.changing[atoi(f.last.vm + 1)] = true;
	for (int t = 0; t < 400; t++) {
		for (int i = 0; i < ENGINES; i++)
			report(&f, i, &prompt_heavy);
		ck_assert(
		    !dff_roles_propose(f.ctx, f.roles, "", f.now, &change));
		f.now += TICK;
	}
	tear_down(&f);
}
END_TEST

START_TEST(pool_without_role_changes_keeps_its_roles)
{
	fixture_t f;

	set_up(&f, false, 0, 2);
	run_for(&f, &prompt_heavy, 300 * DFF_SEC);
	ck_assert_int_eq(f.changes, 0);
	tear_down(&f);
}
END_TEST

START_TEST(proposal_is_limited_to_the_domain)
{
	fixture_t f;
	dff_role_change_t change = {0};
	bool found = false;

	set_up(&f, true, 0, 2);
	for (int t = 0; t < 400 && !found; t++) {
		for (int i = 0; i < ENGINES; i++)
			report(&f, i, &prompt_heavy);
		found =
		    dff_roles_propose(f.ctx, f.roles, "south", f.now, &change);
		f.now += TICK;
	}
	ck_assert(found);
	ck_assert_int_eq(atoi(change.vm + 1) % 2, 1);
	tear_down(&f);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("roles");
	TCase *tcase = tcase_create("roles");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, lasting_shift_causes_one_change);
	tcase_add_test(tcase, short_swings_cause_no_change);
	tcase_add_test(tcase, low_price_changes_sooner);
	tcase_add_test(tcase, learned_length_of_swings_prevents_changes);
	tcase_add_test(tcase, last_engine_of_a_role_is_kept);
	tcase_add_test(tcase, no_change_with_a_stale_report);
	tcase_add_test(tcase, no_second_change_while_one_is_pending);
	tcase_add_test(tcase, pool_without_role_changes_keeps_its_roles);
	tcase_add_test(tcase, proposal_is_limited_to_the_domain);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
