#include <check.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "dragonflyfall/catalogue.h"

#define PROBLEMS_MAX 16

#define SECRET \
	"0000000000000000000000000000000000000000000000000000000000000000"
#define FILE_GROUP  "[dragonflyfall]\nformat=1\n"
#define OWNER_GROUP "[owner o]\nsecret_sha256=" SECRET "\n"
#define CLASS_GROUP                                                    \
	"[class c]\nfirst_token_ms=10\ntoken_gap_ms=5\nwhole_ms=100\n" \
	"priority=1\n"
#define ENGINE_GROUP  "[pool p]\nkind=engine\nmodel=m\nfencing=ignored\n"
#define SERVICE_GROUP "[pool s]\nkind=service\n"
#define ENTRY_GROUP                                                   \
	"[entry e]\nowner=o\nclass=c\npool=p\nmax_prompt_tokens=10\n" \
	"max_output_tokens=10\n"
#define ALL_GROUPS FILE_GROUP OWNER_GROUP CLASS_GROUP ENGINE_GROUP SERVICE_GROUP

static dff_ctx_t *ctx;

static void
setup(void)
{
	ctx = dff_ctx_new(1, DFF_LOG_DEBUG, NULL, NULL);
}

static void
teardown(void)
{
	dff_ctx_drop(ctx);
}

static dff_catalogue_t *
load_good(const char *text)
{
	dff_problem_t problems[PROBLEMS_MAX];
	dff_catalogue_t *cat;
	size_t count;

	if (dff_catalogue_load(ctx, text, strlen(text), problems, PROBLEMS_MAX,
		&count, &cat) < 0) {
		ck_abort_msg("line %u [%s] %s: %s", problems[0].line,
		    problems[0].group, problems[0].key, problems[0].text);
	}
	ck_assert_uint_eq(count, 0);
	return cat;
}

/* Expect exactly one problem, at the given line and key. */
static void
expect_problem(
    const char *text, uint32_t line, const char *key, const char *expected)
{
	dff_problem_t problems[PROBLEMS_MAX];
	dff_catalogue_t *cat;
	size_t count;

	ck_assert_int_eq(dff_catalogue_load(ctx, text, strlen(text), problems,
			     PROBLEMS_MAX, &count, &cat),
	    -EINVAL);
	ck_assert_ptr_null(cat);
	ck_assert_msg(count == 1, "%zu problems in:\n%s", count, text);
	ck_assert_str_eq(problems[0].key, key);
	ck_assert_msg(strstr(problems[0].text, expected) != NULL,
	    "\"%s\" is not in \"%s\"", expected, problems[0].text);
	ck_assert_msg(problems[0].line == line, "line %u, not %u, for %s",
	    problems[0].line, line, expected);
}

static dff_catalogue_t *
load_file(const char *path)
{
	dff_catalogue_t *cat;
	char *text;

	ck_assert(g_file_get_contents(path, &text, NULL, NULL));
	cat = load_good(text);
	g_free(text);
	return cat;
}

START_TEST(keelwater_loads)
{
	dff_catalogue_t *cat = load_file("catalogues/keelwater.conf");
	const dff_entry_t *entries;
	const dff_pool_t *pools;
	const dff_pool_t *pool;
	const dff_entry_t *order;
	uint32_t count;
	int owner;

	entries = dff_catalogue_entries(cat, &count);
	pools = dff_catalogue_pools(cat, &count);
	pool = &pools[dff_catalogue_find_pool(cat, "stock-models")];
	ck_assert_int_eq(pool->kind, DFF_VM_ENGINE);
	ck_assert_int_eq(pool->fencing, DFF_FENCING_IGNORED);
	ck_assert(pool->roles);
	ck_assert_int_eq(pool->role_change_away, 8 * DFF_SEC);
	order = &entries[dff_catalogue_find_entry(cat, "transfer-order")];
	ck_assert(!order->may_repeat);
	ck_assert_str_eq(order->path, "/transfer");
	ck_assert_int_eq(order->retry_window, 600 * DFF_SEC);
	ck_assert_str_eq(pools[order->pool].name, "pound-ledger");
	ck_assert_int_eq(pools[order->pool].kind, DFF_VM_SERVICE);
	owner = dff_catalogue_find_secret(cat, "keelwater-demo");
	ck_assert_int_eq(owner, dff_catalogue_find_owner(cat, "keelwater"));
	ck_assert_uint_eq(order->owner, (uint32_t)owner);
	ck_assert_int_eq(dff_catalogue_find_secret(cat, "wrong"), -ENOENT);
	ck_assert_int_eq(dff_catalogue_find_entry(cat, "none"), -ENOENT);
	dff_catalogue_drop(cat);
}
END_TEST

START_TEST(katalyst_loads)
{
	dff_catalogue_t *cat = load_file("catalogues/katalyst.conf");
	const dff_entry_t *entries;
	const dff_class_t *classes;
	const dff_pool_t *pools;
	uint32_t count;
	int entry;

	pools = dff_catalogue_pools(cat, &count);
	ck_assert_int_eq(
	    pools[dff_catalogue_find_pool(cat, "assessor-llm")].fencing,
	    DFF_FENCING_CHECKED);
	entries = dff_catalogue_entries(cat, &count);
	classes = dff_catalogue_classes(cat, &count);
	entry = dff_catalogue_find_entry(cat, "serial-lookup");
	ck_assert_int_ge(entry, 0);
	ck_assert_int_eq(
	    classes[entries[entry].cls].first_token, 800 * DFF_MSEC);
	entry = dff_catalogue_find_entry(cat, "seller-payout");
	ck_assert(!entries[entry].may_repeat);
	ck_assert_int_ge(
	    dff_catalogue_find_secret(cat, "katalyst-partner-demo"), 0);
	dff_catalogue_drop(cat);
}
END_TEST

START_TEST(defaults_are_set)
{
	dff_catalogue_t *cat = load_good(ALL_GROUPS ENTRY_GROUP);
	const dff_owner_t *owner;
	const dff_entry_t *entry;
	const dff_pool_t *pool;
	uint32_t count;

	owner = dff_catalogue_owners(cat, &count);
	ck_assert_uint_eq(count, 1);
	ck_assert(owner->weight == 1);
	ck_assert_uint_eq(owner->max_running, 0);
	entry = dff_catalogue_entries(cat, &count);
	ck_assert(entry->may_repeat);
	ck_assert_int_eq(entry->retry_window, 0);
	ck_assert_str_eq(entry->path, "");
	pool = dff_catalogue_pools(cat, &count);
	ck_assert_uint_eq(count, 2);
	ck_assert(!pool->roles);
	dff_catalogue_drop(cat);
}
END_TEST

START_TEST(references_are_counted)
{
	dff_catalogue_t *cat = load_good(FILE_GROUP);

	ck_assert_ptr_eq(dff_catalogue_keep(cat), cat);
	dff_catalogue_drop(cat);
	ck_assert_int_eq(dff_catalogue_find_owner(cat, "o"), -ENOENT);
	dff_catalogue_drop(cat);
	dff_catalogue_drop(NULL);
}
END_TEST

START_TEST(lines_are_checked)
{
	expect_problem("", 0, "format", "[dragonflyfall]");
	expect_problem("format=1\n", 1, "format", "must be in a group");
	expect_problem("[dragonflyfall\nformat=1\n", 1, "", "ends with ]");
	expect_problem(FILE_GROUP "format=1\n", 3, "format", "line 2");
	expect_problem(FILE_GROUP "nothing\n", 3, "", "KEY=VALUE");
	expect_problem(FILE_GROUP "Weight=1\n", 3, "", "lower-case");
	expect_problem(FILE_GROUP OWNER_GROUP OWNER_GROUP, 5, "", "line 3");
	expect_problem(
	    "[dragonflyfall]\nformat=2\n", 2, "format", "from 1 to 1");
	expect_problem("[dragonflyfall]\n", 1, "format", "must be given");
	expect_problem(FILE_GROUP "[zone a]\n", 3, "", "unknown group");
	expect_problem(FILE_GROUP "[owner]\n", 3, "", "unknown group");
	expect_problem(FILE_GROUP "[owner a b]\n", 3, "", "a name has");
	expect_problem(
	    FILE_GROUP "[dragonflyfall x]\n", 3, "", "unknown group");
	expect_problem(
	    FILE_GROUP OWNER_GROUP "colour=red\n", 5, "colour", "weight");
}
END_TEST

START_TEST(values_are_checked)
{
	expect_problem(
	    FILE_GROUP "[owner o]\n", 3, "secret_sha256", "must be given");
	expect_problem(FILE_GROUP "[owner o]\nsecret_sha256=ab\n", 4,
	    "secret_sha256", "64 lower-case");
	expect_problem(
	    FILE_GROUP OWNER_GROUP "weight=0\n", 5, "weight", "0.01 to 1000");
	expect_problem(FILE_GROUP OWNER_GROUP "weight=inf\n", 5, "weight", "");
	expect_problem(FILE_GROUP OWNER_GROUP "weight=nan\n", 5, "weight", "");
	expect_problem(FILE_GROUP OWNER_GROUP "weight=\n", 5, "weight", "");
	expect_problem(FILE_GROUP OWNER_GROUP "weight=\\q\n", 5, "weight", "");
	expect_problem(FILE_GROUP OWNER_GROUP "max_running=-1\n", 5,
	    "max_running", "whole number");
	expect_problem(FILE_GROUP OWNER_GROUP "max_running=1.5\n", 5,
	    "max_running", "whole number");
	expect_problem(FILE_GROUP OWNER_GROUP
	    "max_running=99999999999999999999\n",
	    5, "max_running", "to 1000000");
	expect_problem(
	    FILE_GROUP "[pool p]\nkind=engines\n", 4, "kind", "engine|service");
	expect_problem(FILE_GROUP "[pool p]\nkind=engine\nfencing=ignored\n"
				  "model=a b\n",
	    6, "model", "a name has");
	expect_problem(ALL_GROUPS "[entry e]\nowner=o\nclass=c\npool=s\n"
				  "path=stock\n",
	    20, "path", "begins with /");
	expect_problem(ALL_GROUPS "[entry e]\nowner=o\nclass=c\npool=s\n"
				  "path=/s\nmay_repeat=yes\n",
	    21, "may_repeat", "false|true");
}
END_TEST

START_TEST(inconsistencies_are_found)
{
	expect_problem(FILE_GROUP OWNER_GROUP "[owner q]\nsecret_sha256=" SECRET
					      "\n",
	    6, "secret_sha256", "owner o has");
	expect_problem(FILE_GROUP "[class c]\nfirst_token_ms=200\n"
				  "token_gap_ms=5\nwhole_ms=100\npriority=1\n",
	    4, "first_token_ms", "whole_ms");
	expect_problem(FILE_GROUP
	    "[class c]\nfirst_token_ms=2\n"
	    "token_gap_ms=500\nwhole_ms=100\npriority=1\n",
	    5, "token_gap_ms", "whole_ms");
	expect_problem(FILE_GROUP "[pool p]\nkind=engine\nmodel=m\n", 3,
	    "fencing", "must be given");
	expect_problem(FILE_GROUP SERVICE_GROUP "fencing=checked\n", 5,
	    "fencing", "engines only");
	expect_problem(FILE_GROUP ENGINE_GROUP "role_change_price=3\n", 7,
	    "role_change_price", "roles=any only");
	expect_problem(FILE_GROUP ENGINE_GROUP "roles=any\n"
					       "role_change_price=3\n",
	    3, "role_change_away_ms", "with roles=any");
	expect_problem(
	    ALL_GROUPS ENTRY_GROUP "path=/x\n", 22, "path", "services only");
	expect_problem(ALL_GROUPS ENTRY_GROUP "may_repeat=false\n", 22,
	    "may_repeat", "must be true");
	expect_problem(ALL_GROUPS "[entry e]\nowner=o\nclass=c\npool=s\n", 16,
	    "path", "must be given");
	expect_problem(ALL_GROUPS "[entry e]\nowner=o\nclass=c\npool=s\n"
				  "path=/x\nmay_repeat=false\n",
	    16, "retry_window_ms", "may_repeat=false");
	expect_problem(ALL_GROUPS "[entry e]\nowner=o\nclass=c\npool=s\n"
				  "path=/x\nmax_prompt_tokens=5\n",
	    21, "max_prompt_tokens", "engines only");
	expect_problem(ALL_GROUPS "[entry e]\nowner=x\nclass=c\npool=s\n"
				  "path=/x\n",
	    17, "owner", "[owner x]");
	expect_problem(ALL_GROUPS "[entry e]\nowner=o\nclass=x\npool=s\n"
				  "path=/x\n",
	    18, "class", "[class x]");
	expect_problem(ALL_GROUPS "[entry e]\nowner=o\nclass=c\npool=x\n"
				  "path=/x\n",
	    19, "pool", "[pool x]");
}
END_TEST

START_TEST(problems_are_sorted_by_line)
{
	static const char text[] =
	    FILE_GROUP "[owner a]\nweight=0\n[owner b]\nweight=0\n";
	dff_problem_t problems[2];
	dff_catalogue_t *cat;
	size_t count;

	ck_assert_int_eq(dff_catalogue_load(ctx, text, strlen(text), problems,
			     2, &count, &cat),
	    -EINVAL);
	ck_assert_uint_eq(count, 4);
	ck_assert_uint_eq(problems[0].line, 3);
	ck_assert_uint_eq(problems[1].line, 4);
	ck_assert_str_eq(problems[1].group, "owner a");
}
END_TEST

START_TEST(bytes_are_checked)
{
	char *big = g_malloc0(DFF_CATALOGUE_BYTES_MAX + 1);
	dff_problem_t problem;
	dff_catalogue_t *cat;
	size_t count;

	ck_assert_int_eq(
	    dff_catalogue_load(ctx, big, DFF_CATALOGUE_BYTES_MAX + 1, &problem,
		1, &count, &cat),
	    -EFBIG);
	ck_assert_int_eq(
	    dff_catalogue_load(ctx, big, 10, &problem, 1, &count, &cat),
	    -EINVAL);
	ck_assert_int_eq(
	    dff_catalogue_load(ctx, "\xff\xfe", 2, &problem, 1, &count, &cat),
	    -EINVAL);
	ck_assert_uint_eq(count, 1);
	g_free(big);
}
END_TEST

/* A valid file with random bytes changed or its end cut off must not crash. */
START_TEST(mutated_files_never_crash)
{
	static const char source[] = ALL_GROUPS ENTRY_GROUP;
	char text[sizeof(source)];

	for (int round = 0; round < 20000; round++) {
		dff_problem_t problems[4];
		dff_catalogue_t *cat;
		size_t count;
		size_t len = sizeof(source) - 1;
		int err;

		memcpy(text, source, sizeof(source));
		for (uint32_t i = dff_rand_below(ctx, 6); i > 0; i--)
			text[dff_rand_below(ctx, (uint32_t)len)] =
			    (char)dff_rand_below(ctx, 256);
		len -= dff_rand_below(ctx, 40);
		err = dff_catalogue_load(
		    ctx, text, len, problems, 4, &count, &cat);
		ck_assert((err == 0) == (cat != NULL));
		ck_assert((err == 0) == (count == 0));
		dff_catalogue_drop(cat);
	}
}
END_TEST

START_TEST(many_owners_load)
{
	GString *text = g_string_new(FILE_GROUP CLASS_GROUP ENGINE_GROUP);
	dff_catalogue_t *cat;
	uint32_t count;

	for (int i = 0; i < 2500; i++) {
		char *key = g_strdup_printf("key-%d", i);
		char *hex =
		    g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);

		g_string_append_printf(text,
		    "[owner o%d]\nsecret_sha256=%s\n"
		    "[entry e%d]\nowner=o%d\nclass=c\npool=p\n"
		    "max_prompt_tokens=100\nmax_output_tokens=100\n",
		    i, hex, i, i);
		g_free(hex);
		g_free(key);
	}
	ck_assert_uint_lt(text->len, DFF_CATALOGUE_BYTES_MAX);
	cat = load_good(text->str);
	(void)dff_catalogue_owners(cat, &count);
	ck_assert_uint_eq(count, 2500);
	ck_assert_int_eq(dff_catalogue_find_secret(cat, "key-2499"), 2499);
	ck_assert_int_eq(dff_catalogue_find_entry(cat, "e1234"), 1234);
	dff_catalogue_drop(cat);
	g_string_free(text, TRUE);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("catalogue");
	TCase *tcase = tcase_create("catalogue");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 120);
	tcase_add_test(tcase, keelwater_loads);
	tcase_add_test(tcase, katalyst_loads);
	tcase_add_test(tcase, defaults_are_set);
	tcase_add_test(tcase, references_are_counted);
	tcase_add_test(tcase, lines_are_checked);
	tcase_add_test(tcase, values_are_checked);
	tcase_add_test(tcase, inconsistencies_are_found);
	tcase_add_test(tcase, problems_are_sorted_by_line);
	tcase_add_test(tcase, bytes_are_checked);
	tcase_add_test(tcase, mutated_files_never_crash);
	tcase_add_test(tcase, many_owners_load);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
