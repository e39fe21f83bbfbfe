/*
 * Each file of test/scenarios is one check: it runs in virtual time.
 * DFF_SCENARIO names one file to run alone.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "fake/scenario.h"

#define FOLDER "test/scenarios"

/* The files, sorted; check calls its tests with an index and no more. */
static GPtrArray *files;

START_TEST(wrong_lines_are_told)
{
	static const struct {
		const char *text;
		const char *error;
	} cases[] = {
	    {"run 5s\nfly a1\n", "x:2: there is no verb \"fly\""},
	    {"run\n", "x:1: run takes 1 to 1 words"},
	    {"# a note\n\nedit one colour=red\n",
		"x:3: edit takes no \"colour=red\"; keys: limit against"},
	    {"run 'a\n", "x:1: "},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *error = NULL;

		ck_assert_ptr_null(
		    dff_scenario_parse("x", cases[i].text, &error));
		ck_assert_msg(g_str_has_prefix(error, cases[i].error),
		    "%s is not %s", error, cases[i].error);
		g_free(error);
	}
}
END_TEST

START_TEST(wrong_values_are_told)
{
	static const char *const texts[] = {"run soon", "outage some",
	    "kill nobody", "vm e1 sick", "cut a1 nowhere",
	    "run 1s\nworld seed=1", "expect nobody whole",
	    "run 1s\nexpect-up a1 no"};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		char *error = NULL;
		dff_scenario_t *scenario;

		scenario = dff_scenario_parse("x", texts[i], &error);
		ck_assert_msg(scenario != NULL, "%s", error);
		error = dff_scenario_run(scenario, 1, NULL);
		ck_assert_msg(error != NULL && g_str_has_prefix(error, "x:"),
		    "\"%s\" passed", texts[i]);
		g_free(error);
		dff_scenario_drop(scenario);
	}
}
END_TEST

static void
run_file(int i)
{
	char *path = g_ptr_array_index(files, i);
	char *error = NULL;
	dff_scenario_t *scenario;

	scenario = dff_scenario_load(path, &error);
	ck_assert_msg(scenario != NULL, "%s", error);
	error = dff_scenario_run(scenario, 1, NULL);
	ck_assert_msg(error == NULL, "%s", error);
	dff_scenario_drop(scenario);
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static void
find_files(void)
{
	GDir *dir = g_dir_open(FOLDER, 0, NULL);
	const char *name;

	files = g_ptr_array_new_with_free_func(g_free);
	if (getenv("DFF_SCENARIO") != NULL) {
		g_ptr_array_add(files, g_strdup(getenv("DFF_SCENARIO")));
		return;
	}
	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		if (g_str_has_suffix(name, ".scn"))
			g_ptr_array_add(
			    files, g_build_filename(FOLDER, name, NULL));
	}
	if (dir != NULL)
		g_dir_close(dir);
	g_ptr_array_sort(files, compare_names);
}

START_TEST(files_are_found)
{
	ck_assert_uint_gt(files->len, 0);
}
END_TEST

/* A test of its own for each file, so that a verdict names its file. */
static void
add_file(TCase *tcase, TTest *test, guint i)
{
	char *name = g_path_get_basename(g_ptr_array_index(files, i));

	name[strlen(name) - strlen(".scn")] = '\0';
	test->name = name;
	test->fn = run_file;
	test->file = __FILE__;
	test->line = __LINE__;
	tcase_add_loop_test(tcase, test, (int)i, (int)i + 1);
}

int
main(void)
{
	Suite *suite = suite_create("scenarios");
	TCase *tcase = tcase_create("scenarios");
	SRunner *runner;
	TTest *tests;
	int failed;

	find_files();
	tests = g_new0(TTest, files->len + 1);
	tcase_set_timeout(tcase, 120);
	tcase_add_test(tcase, wrong_lines_are_told);
	tcase_add_test(tcase, wrong_values_are_told);
	tcase_add_test(tcase, files_are_found);
	for (guint i = 0; i < files->len; i++)
		add_file(tcase, &tests[i], i);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	for (guint i = 0; i < files->len; i++)
		g_free((char *)(uintptr_t)tests[i].name);
	g_free(tests);
	g_ptr_array_unref(files);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
