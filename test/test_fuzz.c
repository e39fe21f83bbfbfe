/*
 * Random and mutated input to the parsers of peer frames, log records,
 * catalogue files and scenario files. No parser may crash, and a node must
 * keep processing its input. Seeds and counts are fixed; DFF_FUZZ_RUNS sets
 * another count.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "dragonflyfall/node.h"
#include "fake/scenario.h"
#include "proto/dragonflyfall.pb-c.h"

/* Inputs of each test. */
#define FUZZ_RUNS 20000
/* Maximum size of a random input, in bytes. */
#define RANDOM_BYTES_MAX 300
/* Exclusive bound on the changes to one input. */
#define CHANGES_BOUND 8

static const char seed_catalogue[] =
    "[dragonflyfall]\nformat=1\n[owner o]\nweight=1\nsecret_sha256="
    "62af8704764faf8ea82fc61ce9c4c3908b6cb97d463a634e9e587d7c885db0ef\n"
    "[class c]\nfirst_token_ms=2000\ntoken_gap_ms=500\nwhole_ms=20000\n"
    "priority=0\n[pool p]\nkind=engine\nmodel=m\nversion=1\n"
    "fencing=checked\n[entry e]\nowner=o\nclass=c\npool=p\n"
    "max_prompt_tokens=1000\nmax_output_tokens=16\n";

static const char seed_scenario[] =
    "world seed=3 fencing=checked\nrun 2s\ncall x chat tokens=3 at=a1\n"
    "cut a1 b1 both\nedit one limit=3\nexpect x whole|not_run\n";

static dff_ctx_t *ctx;

static void
setup(void)
{
	ctx = dff_ctx_new(4711, DFF_LOG_ERR, NULL, NULL);
}

static void
teardown(void)
{
	dff_ctx_drop(ctx);
}

static int
runs(void)
{
	const char *text = getenv("DFF_FUZZ_RUNS");

	return text != NULL ? atoi(text) : FUZZ_RUNS;
}

/*
 * Random bytes, or the seed with bytes and bits changed, its end cut off or its
 * first half appended.
 */
static GByteArray *
make_input(const void *seed, size_t len)
{
	GByteArray *input = g_byte_array_new();
	uint32_t changes = dff_rand_below(ctx, CHANGES_BOUND);

	if (dff_rand_below(ctx, 8) == 0) {
		g_byte_array_set_size(
		    input, dff_rand_below(ctx, RANDOM_BYTES_MAX));
		for (guint i = 0; i < input->len; i++)
			input->data[i] = (guint8)dff_rand_below(ctx, 256);
		return input;
	}
	g_byte_array_append(input, seed, (guint)len);
	for (uint32_t i = 0; i < changes && input->len > 0; i++) {
		guint at = dff_rand_below(ctx, input->len);

		switch (dff_rand_below(ctx, 4)) {
		case 0:
			input->data[at] = (guint8)dff_rand_below(ctx, 256);
			break;
		case 1:
			input->data[at] ^=
			    (guint8)(1U << dff_rand_below(ctx, 8));
			break;
		case 2:
			g_byte_array_set_size(input, at);
			break;
		default:
			g_byte_array_append(input, seed, (guint)(len / 2));
			break;
		}
	}
	return input;
}

static dff_node_t *
make_node(dff_effects_t *fx)
{
	dff_event_t event = {.type = DFF_EV_START};
	dff_node_config_t config;
	dff_vm_t vms[3];
	dff_node_t *node;

	dff_node_defaults(&config);
	(void)strcpy(config.id, "entry-0");
	(void)strcpy(config.domain, "a");
	config.incarnation = 1;
	config.serve = true;
	node = dff_node_new(ctx, &config);
	(void)dff_node_step(ctx, node, &event, DFF_SEC, fx);
	memset(vms, 0, sizeof(vms));
	for (int i = 0; i < 3; i++) {
		(void)snprintf(vms[i].id, sizeof(vms[i].id), "entry-%d", i);
		(void)strcpy(vms[i].domain, "a");
		(void)strcpy(vms[i].addr, "127.0.0.1:1");
	}
	memset(&event, 0, sizeof(event));
	event.type = DFF_EV_VM_LIST;
	event.u.vm_list.vms = vms;
	event.u.vm_list.count = 3;
	(void)dff_node_step(ctx, node, &event, DFF_SEC, fx);
	return node;
}

static size_t
make_frame(uint8_t *out)
{
	Dff__EngineWork work = DFF__ENGINE_WORK__INIT;
	Dff__EngineWork *works[] = {&work};
	Dff__OwnerUse use = DFF__OWNER_USE__INIT;
	Dff__OwnerUse *uses[] = {&use};
	Dff__EngineReport report = DFF__ENGINE_REPORT__INIT;
	Dff__EngineReport *reports[] = {&report};
	Dff__StreamOffset offset = DFF__STREAM_OFFSET__INIT;
	Dff__StreamOffset *offsets[] = {&offset};
	Dff__Heartbeat beat = DFF__HEARTBEAT__INIT;
	Dff__Frame frame = DFF__FRAME__INIT;
	char domain[] = "a";
	char from[] = "entry-1";

	beat.domain = domain;
	beat.n_work = 1;
	beat.work = works;
	beat.n_use = 1;
	beat.use = uses;
	beat.n_reports = 1;
	beat.reports = reports;
	offset.applied = 7;
	beat.n_offsets = 1;
	beat.offsets = offsets;
	frame.version = 1;
	frame.from = from;
	frame.incarnation = 1;
	frame.body_case = DFF__FRAME__BODY_HEARTBEAT;
	frame.heartbeat = &beat;
	return dff__frame__pack(&frame, out);
}

/* An edit with a unique id, as later edits with the same id are ignored. */
static size_t
make_record(uint8_t *out, int number)
{
	Dff__CatalogueEdit edit = DFF__CATALOGUE_EDIT__INIT;
	Dff__Record record = DFF__RECORD__INIT;
	char id[32];

	(void)snprintf(id, sizeof(id), "edit-%d", number);
	edit.edit_id = id;
	edit.text = (char *)(uintptr_t)seed_catalogue;
	record.version = 1;
	record.body_case = DFF__RECORD__BODY_EDIT;
	record.edit = &edit;
	return dff__record__pack(&record, out);
}

START_TEST(frames)
{
	dff_effects_t *fx = dff_effects_new();
	dff_node_t *node = make_node(fx);
	uint8_t seed[512];
	size_t len = make_frame(seed);
	uint64_t bad;

	for (int i = 0; i < runs(); i++) {
		GByteArray *input = make_input(seed, len);
		dff_event_t event = {.type = DFF_EV_PEER_FRAME};

		event.u.peer.id = "entry-1";
		event.u.peer.data = input->data;
		event.u.peer.len = input->len;
		dff_effects_clear(fx);
		(void)dff_node_step(
		    ctx, node, &event, DFF_SEC + i * DFF_MSEC, fx);
		g_byte_array_unref(input);
	}
	bad = dff_node_counter(node, DFF_COUNT_FRAMES_BAD);
	ck_assert_uint_gt(bad, 0);
	ck_assert_uint_lt(bad, dff_node_counter(node, DFF_COUNT_FRAMES_IN));
	dff_node_drop(node);
	dff_effects_drop(fx);
}
END_TEST

START_TEST(records)
{
	dff_effects_t *fx = dff_effects_new();
	dff_node_t *node = make_node(fx);
	uint8_t seed[1024];

	for (int i = 0; i < runs(); i++) {
		size_t len = make_record(seed, i);
		GByteArray *input = make_input(seed, len);
		dff_event_t event = {.type = DFF_EV_LOG_RECORD};

		event.u.log_record.stream =
		    (dff_stream_t)(i % DFF_STREAM_COUNT);
		event.u.log_record.offset =
		    (uint64_t)(i / DFF_STREAM_COUNT) + 1;
		event.u.log_record.data = input->data;
		event.u.log_record.len = input->len;
		dff_effects_clear(fx);
		(void)dff_node_step(
		    ctx, node, &event, DFF_SEC + i * DFF_MSEC, fx);
		g_byte_array_unref(input);
	}
	/* Every record was applied or skipped; none stopped the stream. */
	ck_assert_uint_eq(
	    dff_node_counter(node, DFF_COUNT_RECORDS), (uint64_t)runs());
	ck_assert_uint_gt(dff_node_revision(node), 0);
	dff_node_drop(node);
	dff_effects_drop(fx);
}
END_TEST

START_TEST(catalogue_files)
{
	int valid = 0;

	for (int i = 0; i < runs(); i++) {
		GByteArray *input =
		    make_input(seed_catalogue, sizeof(seed_catalogue) - 1);
		dff_problem_t problems[4];
		dff_catalogue_t *cat = NULL;
		size_t count = 0;
		int err;

		err = dff_catalogue_load(ctx, (const char *)input->data,
		    input->len, problems, 4, &count, &cat);
		/* The file is either loaded or refused with a problem. */
		ck_assert((err == 0) == (cat != NULL));
		ck_assert(err == 0 || count > 0);
		valid += err == 0;
		dff_catalogue_drop(cat);
		g_byte_array_unref(input);
	}
	ck_assert_int_gt(valid, 0);
	ck_assert_int_lt(valid, runs());
}
END_TEST

START_TEST(scenario_files)
{
	int valid = 0;

	for (int i = 0; i < runs(); i++) {
		GByteArray *input =
		    make_input(seed_scenario, sizeof(seed_scenario) - 1);
		dff_scenario_t *scenario;
		char *error = NULL;

		g_byte_array_append(input, (const guint8 *)"", 1);
		scenario = dff_scenario_parse(
		    "fuzz", (const char *)input->data, &error);
		ck_assert((scenario == NULL) == (error != NULL));
		valid += scenario != NULL;
		dff_scenario_drop(scenario);
		g_free(error);
		g_byte_array_unref(input);
	}
	ck_assert_int_gt(valid, 0);
	ck_assert_int_lt(valid, runs());
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("fuzz");
	TCase *tcase = tcase_create("fuzz");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 120);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, frames);
	tcase_add_test(tcase, records);
	tcase_add_test(tcase, catalogue_files);
	tcase_add_test(tcase, scenario_files);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
