#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "fake/world.h"

/* Long enough for a world to have leases, reports and its catalogue. */
#define SETTLED (12 * DFF_SEC)

static dff_world_t *
settled_world(uint32_t seed)
{
	dff_world_config_t config;
	dff_world_t *world;

	dff_world_defaults(&config);
	config.seed = seed;
	config.trace = getenv("DFF_TRACE") != NULL;
	world = dff_world_new(&config);
	dff_world_run(world, SETTLED);
	return world;
}

static void
run_for(dff_world_t *world, dff_time_t time)
{
	dff_world_run(world, dff_world_now(world) + time);
}

static void
expect_sound(const dff_world_t *world)
{
	const char *problem = dff_world_problem(world);

	ck_assert_msg(problem == NULL, "%s", problem);
}

static uint32_t
chat(dff_world_t *world, const char *node, const char *prompt, uint32_t tokens)
{
	dff_world_call_t call = {.node = node,
	    .entry = "chat",
	    .prompt = prompt,
	    .max_tokens = tokens};

	return dff_world_call(world, &call);
}

static uint32_t
pay(dff_world_t *world, const char *node, const char *key, uint32_t resend)
{
	dff_world_call_t call = {.node = node,
	    .entry = "pay",
	    .prompt = key,
	    .key = key,
	    .resend = resend};

	return dff_world_call(world, &call);
}

START_TEST(calls_are_served)
{
	dff_world_t *world = settled_world(1);
	uint32_t a = chat(world, "a1", "grade this tank", 20);
	uint32_t b = chat(world, "b1", "another tank", 40);
	uint32_t c = pay(world, "c1", "k1", 0);

	run_for(world, 5 * DFF_SEC);
	expect_sound(world);
	ck_assert_str_eq(dff_got_name(dff_world_got(world, a)), "whole");
	ck_assert_str_eq(dff_got_name(dff_world_got(world, b)), "whole");
	ck_assert_str_eq(dff_got_name(dff_world_got(world, c)), "whole");
	ck_assert_uint_eq(dff_world_ran(world, "k1"), 1);
	dff_world_drop(world);
}
END_TEST

START_TEST(same_seed_same_run)
{
	uint64_t steps[2];

	for (int i = 0; i < 2; i++) {
		dff_world_t *world = settled_world(7);

		chat(world, NULL, "x", 30);
		pay(world, NULL, "k1", 1);
		run_for(world, 5 * DFF_SEC);
		steps[i] = dff_world_steps(world);
		dff_world_drop(world);
	}
	ck_assert_uint_eq(steps[0], steps[1]);
}
END_TEST

START_TEST(engine_crash_is_resumed)
{
	dff_world_t *world = settled_world(2);
	uint32_t callers[12];

	/* Prompts differ: one that met two crashes would be a suspect. */
	for (int i = 0; i < 12; i++) {
		char prompt[] = "long answer x";

		prompt[sizeof(prompt) - 2] = (char)('a' + i);
		callers[i] = chat(world, NULL, prompt, 200);
	}
	run_for(world, DFF_SEC);
	dff_world_crash(world, "e1");
	dff_world_crash(world, "e2");
	run_for(world, 30 * DFF_SEC);
	expect_sound(world);
	for (int i = 0; i < 12; i++)
		ck_assert_str_eq(
		    dff_got_name(dff_world_got(world, callers[i])), "whole");
	dff_world_drop(world);
}
END_TEST

START_TEST(killed_entry_breaks_its_callers)
{
	dff_world_t *world = settled_world(3);
	uint32_t a = chat(world, "a1", "long", 200);
	uint32_t b = chat(world, "b1", "long", 200);

	run_for(world, DFF_SEC);
	ck_assert_int_eq(dff_world_kill(world, "a1"), 0);
	run_for(world, 10 * DFF_SEC);
	ck_assert_int_eq(dff_world_restart(world, "a1"), 0);
	run_for(world, 10 * DFF_SEC);
	expect_sound(world);
	ck_assert_str_eq(dff_got_name(dff_world_got(world, a)), "broken");
	ck_assert_str_eq(dff_got_name(dff_world_got(world, b)), "whole");
	a = chat(world, "a1", "short", 5);
	run_for(world, 5 * DFF_SEC);
	ck_assert_str_eq(dff_got_name(dff_world_got(world, a)), "whole");
	dff_world_drop(world);
}
END_TEST

START_TEST(graceful_stop_cuts_nothing)
{
	dff_world_t *world = settled_world(4);
	uint32_t a = chat(world, "a1", "long", 200);

	run_for(world, DFF_SEC);
	ck_assert_int_eq(dff_world_stop(world, "a1"), 0);
	run_for(world, 30 * DFF_SEC);
	expect_sound(world);
	ck_assert_str_eq(dff_got_name(dff_world_got(world, a)), "whole");
	ck_assert(!dff_world_up(world, "a1"));
	dff_world_drop(world);
}
END_TEST

START_TEST(edits_come_into_force)
{
	dff_world_t *world = settled_world(5);

	ck_assert_int_eq(dff_world_edit(world, "one", -1, 50), 0);
	ck_assert_int_eq(dff_world_edit(world, "late", 1, 60), 0);
	ck_assert_int_eq(dff_world_edit(world, "bad", -1, 0), 0);
	ck_assert_int_eq(dff_world_garbage(world, DFF_STREAM_CATALOGUE), 0);
	run_for(world, 15 * DFF_SEC);
	expect_sound(world);
	ck_assert_uint_eq(dff_world_revision(world), 2);
	ck_assert_uint_eq(dff_node_revision(dff_world_node(world, "a1")), 2);
	dff_world_drop(world);
}
END_TEST

START_TEST(paused_node_hears_late)
{
	dff_world_t *world = settled_world(6);
	uint32_t a;

	ck_assert_int_eq(dff_world_pause(world, "a1"), 0);
	a = chat(world, "a1", "late", 5);
	dff_world_edit(world, "one", -1, 50);
	run_for(world, 20 * DFF_SEC);
	ck_assert_uint_eq(dff_node_revision(dff_world_node(world, "a1")), 1);
	ck_assert_str_eq(dff_got_name(dff_world_got(world, a)), "nothing");
	ck_assert_int_eq(dff_world_wake(world, "a1"), 0);
	run_for(world, 15 * DFF_SEC);
	expect_sound(world);
	ck_assert_uint_eq(dff_node_revision(dff_world_node(world, "a1")), 2);
	dff_world_drop(world);
}
END_TEST

START_TEST(cut_link_delivers_nothing)
{
	dff_world_t *world = settled_world(8);

	ck_assert_int_eq(dff_world_cut(world, "a1", "platform", true), 0);
	ck_assert_int_eq(dff_world_cut(world, "platform", "a1", true), 0);
	ck_assert_int_eq(dff_world_cut(world, "a1", "b1", true), 0);
	ck_assert_int_eq(dff_world_cut(world, "b1", "a1", true), 0);
	ck_assert_int_eq(dff_world_cut(world, "a1", "c1", true), 0);
	ck_assert_int_eq(dff_world_cut(world, "c1", "a1", true), 0);
	ck_assert_int_lt(dff_world_cut(world, "a1", "nowhere", true), 0);
	run_for(world, 2 * DFF_SEC);
	dff_world_edit(world, "one", -1, 50);
	run_for(world, 20 * DFF_SEC);
	ck_assert_uint_eq(dff_node_revision(dff_world_node(world, "a1")), 1);
	ck_assert_uint_eq(dff_node_revision(dff_world_node(world, "b1")), 2);
	dff_world_cut(world, "*", "*", false);
	run_for(world, 20 * DFF_SEC);
	expect_sound(world);
	ck_assert_uint_eq(dff_node_revision(dff_world_node(world, "a1")), 2);
	dff_world_drop(world);
}
END_TEST

START_TEST(poison_takes_two_engines_at_most)
{
	dff_world_t *world = settled_world(9);
	dff_world_call_t call = {.entry = "chat",
	    .prompt = "poison",
	    .max_tokens = 20,
	    .poison = true,
	    .resend = 6};

	dff_world_call(world, &call);
	run_for(world, 60 * DFF_SEC);
	expect_sound(world);
	ck_assert_uint_le(dff_world_crashes(world), 2);
	dff_world_drop(world);
}
END_TEST

/* Each copy may run again before its node hears of the others. */
START_TEST(copies_of_poison_at_once_take_two_engines_each_at_most)
{
	static const char *const nodes[] = {"a1", "b1", "c1"};
	dff_world_t *world = settled_world(9);

	for (size_t i = 0; i < G_N_ELEMENTS(nodes); i++) {
		dff_world_call_t call = {.entry = "chat",
		    .prompt = "poison",
		    .max_tokens = 20,
		    .poison = true,
		    .node = nodes[i],
		    .resend = 6};

		dff_world_call(world, &call);
	}
	run_for(world, 60 * DFF_SEC);
	expect_sound(world);
	ck_assert_uint_le(dff_world_crashes(world), 2 * G_N_ELEMENTS(nodes));
	dff_world_drop(world);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("world");
	TCase *tcase = tcase_create("world");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, calls_are_served);
	tcase_add_test(tcase, same_seed_same_run);
	tcase_add_test(tcase, engine_crash_is_resumed);
	tcase_add_test(tcase, killed_entry_breaks_its_callers);
	tcase_add_test(tcase, graceful_stop_cuts_nothing);
	tcase_add_test(tcase, edits_come_into_force);
	tcase_add_test(tcase, paused_node_hears_late);
	tcase_add_test(tcase, cut_link_delivers_nothing);
	tcase_add_test(tcase, poison_takes_two_engines_at_most);
	tcase_add_test(
	    tcase, copies_of_poison_at_once_take_two_engines_each_at_most);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
