/*
 * Lists in JSON, split into the texts of their elements.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "net/json_split.h"

/* The elements, joined by '|'; NULL for no list. */
static char *
join(const char *text)
{
	GArray *elements = json_split_list(text, strlen(text), "l");
	GString *joined = g_string_new(NULL);

	if (elements == NULL) {
		(void)g_string_free(joined, TRUE);
		return NULL;
	}
	for (guint i = 0; i < elements->len; i++) {
		const json_text_t *element =
		    &g_array_index(elements, json_text_t, i);

		g_string_append_len(
		    joined, element->start, (gssize)element->len);
		g_string_append_c(joined, '|');
	}
	g_array_unref(elements);
	return g_string_free(joined, FALSE);
}

static void
expect(const char *text, const char *joined)
{
	char *seen = join(text);

	ck_assert_pstr_eq(seen, joined);
	g_free(seen);
}

START_TEST(elements_are_told_apart)
{
	expect("{\"l\":[]}", "");
	expect("{\"l\":[1]}", "1|");
	expect(" { \"l\" : [ 1,{\"a\":[2,3]},\"x\" ] } \n",
	    "1|{\"a\":[2,3]}|\"x\" |");
	expect("{\"a\":{\"l\":[9]},\"l\":[1],\"b\":[],\"l\":[2]}", "1|");
	expect("{\"l\":[\"],}\\\"[\",[[\"]\"]],{]}", NULL);
	expect("{\"l\":[\"],}\\\"[\",[[\"]\"]]]}", "\"],}\\\"[\"|[[\"]\"]]|");
}
END_TEST

START_TEST(texts_without_the_list_are_rejected)
{
	static const char *const texts[] = {"", "{", "[]", "{}", "{\"a\":1}",
	    "{\"l\":1}", "{\"l\":{}}", "{\"l\":[}", "{\"l\":[1}", "{\"l\":[1]",
	    "{\"l\":[1,]}", "{\"l\":[,1]}", "{\"l\":[1],}", "{\"l\" [1]}",
	    "{\"l\":[1]}x", "{\"l\":[\"1]}", "{\"l\":[\"1\\", "{\"l",
	    "{l:[1]}"};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		expect(texts[i], NULL);
}
END_TEST

/* Depth costs no stack. */
START_TEST(deep_elements_are_split)
{
	GString *text = g_string_new("{\"l\":[");
	GArray *elements;

	for (int i = 0; i < 1000000; i++)
		g_string_append_c(text, '[');
	for (int i = 0; i < 1000000; i++)
		g_string_append_c(text, ']');
	g_string_append(text, ",1]}");
	elements = json_split_list(text->str, text->len, "l");
	ck_assert_ptr_nonnull(elements);
	ck_assert_uint_eq(elements->len, 2);
	g_array_unref(elements);
	(void)g_string_free(text, TRUE);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("json_split");
	TCase *tcase = tcase_create("json_split");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, elements_are_told_apart);
	tcase_add_test(tcase, texts_without_the_list_are_rejected);
	tcase_add_test(tcase, deep_elements_are_split);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
