/*
 * The cost of a decision as the fleet and the number of owners grow: time
 * for each offer, begin, first token and end, and bytes of state.
 */
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "dragonflyfall/policy.h"

#define CALLS	20000
#define BLOCKS	40
#define START	(1000 * DFF_SEC)
#define PACE_US 100

/** struct setting - one size that is measured */
typedef struct setting {
	uint32_t workers;
	uint32_t owners;
} setting_t;

static const setting_t settings[] = {
    {12, 2}, {120, 2}, {480, 2}, {2400, 2}, {2400, 250}, {2400, 2500}};

/** struct bench - one run */
typedef struct bench {
	dff_ctx_t *ctx;
	dff_policy_t *policy;
	dff_catalogue_t *cat;
	const setting_t *setting;
	uint64_t prefix[BLOCKS];
	uint64_t refused;
	dff_time_t now;
	size_t before;
} bench_t;

static double
seconds(void)
{
	struct timespec time;

	(void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
	return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

static size_t
bytes_used(void)
{
	return mallinfo2().uordblks;
}

static dff_catalogue_t *
make_catalogue(dff_ctx_t *ctx, uint32_t owners)
{
	GString *text = g_string_new("[dragonflyfall]\nformat=1\n");
	dff_catalogue_t *cat;
	dff_problem_t problem = {0};
	size_t problems;

	for (uint32_t i = 0; i < owners; i++)
		g_string_append_printf(text,
		    "[owner o%u]\nsecret_sha256=%064x\nweight=1\n"
		    "max_running=100000\n",
		    i, i + 1);
	g_string_append(text,
	    "[class fast]\nfirst_token_ms=1000\ntoken_gap_ms=200\n"
	    "whole_ms=10000\npriority=0\n"
	    "[pool engines]\nkind=engine\nmodel=m\nfencing=checked\n");
	for (uint32_t i = 0; i < owners; i++)
		g_string_append_printf(text,
		    "[entry e%u]\nowner=o%u\nclass=fast\npool=engines\n"
		    "max_prompt_tokens=30000\nmax_output_tokens=100\n",
		    i, i);
	if (dff_catalogue_load(
		ctx, text->str, text->len, &problem, 1, &problems, &cat) != 0)
		(void)fprintf(
		    stderr, "line %u: %s\n", problem.line, problem.text);
	g_string_free(text, TRUE);
	return cat;
}

static void
load_reports(bench_t *bench, const dff_vm_t *vms)
{
	for (uint32_t i = 0; i < bench->setting->workers; i++) {
		dff_ev_engine_report_t report = {0};

		report.vm = vms[i].id;
		report.incarnation = 1;
		report.sampled_at = bench->now;
		report.model = "m";
		report.running = 4 + i % 8;
		report.backlog_tokens = (i % 16) * 100;
		report.free_pieces = 600;
		report.total_pieces = 1000;
		report.token_us = 12000 + 400.0 * report.running;
		report.prefill_us = 60;
		dff_policy_apply_report(
		    bench->ctx, bench->policy, &report, bench->now);
	}
}

static void
make_fleet(bench_t *bench)
{
	uint32_t workers = bench->setting->workers;
	dff_vm_t *vms = g_new0(dff_vm_t, workers);

	for (uint32_t i = 0; i < workers; i++) {
		(void)g_snprintf(vms[i].id, sizeof(vms[i].id), "e%05u", i);
		(void)g_snprintf(vms[i].addr, sizeof(vms[i].addr), "%u", i);
		(void)g_snprintf(
		    vms[i].domain, sizeof(vms[i].domain), "d%u", i % 3);
		(void)dff_name_copy(vms[i].pool, "engines");
		vms[i].kind = DFF_VM_ENGINE;
		vms[i].incarnation = 1;
	}
	dff_policy_set_vms(bench->ctx, bench->policy, vms, workers, bench->now);
	load_reports(bench, vms);
	g_free(vms);
}

static void
one_call(bench_t *bench, uint64_t id)
{
	dff_policy_call_t work = {0};
	dff_decision_t decision;
	dff_ev_attempt_end_t usage = {0};

	work.handle = id;
	work.entry = (uint32_t)(id % bench->setting->owners);
	work.arrived_at = bench->now;
	work.prompt_tokens = 2600;
	work.max_tokens = 40;
	work.body_hash = id;
	work.prefix = bench->prefix;
	work.prefix_count = BLOCKS;
	dff_policy_offer(
	    bench->ctx, bench->policy, &work, bench->now, &decision);
	if (decision.kind != DFF_DECISION_RUN) {
		bench->refused++;
		dff_policy_remove_waiting(bench->policy, id);
		return;
	}
	dff_policy_begin_attempt(bench->ctx, bench->policy, id, &work,
	    decision.vm, decision.cached_tokens, bench->now);
	dff_policy_add_tokens(
	    bench->ctx, bench->policy, id, 1, bench->now + 90000);
	usage.prompt_tokens = work.prompt_tokens;
	usage.cached_tokens = decision.cached_tokens;
	usage.output_tokens = 20;
	dff_policy_end_attempt(bench->ctx, bench->policy, id, DFF_ATTEMPT_DONE,
	    &usage, bench->now + 400000);
}

static double
run(const setting_t *setting)
{
	dff_policy_config_t config = {.domain = "d0"};
	bench_t bench = {.setting = setting, .now = START};
	double began;
	double each;
	size_t idle;

	bench.ctx = dff_ctx_new(1, DFF_LOG_ERR, NULL, NULL);
	for (uint64_t i = 0; i < BLOCKS; i++)
		bench.prefix[i] = dff_hash(&i, sizeof(i), 3);
	bench.cat = make_catalogue(bench.ctx, setting->owners);
	bench.before = bytes_used();
	bench.policy = dff_policy_new(bench.ctx, &config);
	dff_policy_set_catalogue(bench.ctx, bench.policy, bench.cat);
	make_fleet(&bench);
	idle = bytes_used() - bench.before;
	began = seconds();
	for (uint64_t i = 1; i <= CALLS; i++) {
		bench.now += PACE_US;
		one_call(&bench, i);
	}
	each = (seconds() - began) / CALLS * 1e6;
	(void)printf("%8u %7u %10.2f %9.1f %12zu %12zu\n", setting->workers,
	    setting->owners, each, 100.0 * (double)bench.refused / CALLS,
	    idle / setting->workers,
	    (bytes_used() - bench.before) / setting->workers);
	dff_policy_drop(bench.policy);
	dff_catalogue_drop(bench.cat);
	dff_ctx_drop(bench.ctx);
	return each;
}

int
main(void)
{
	(void)printf("%8s %7s %10s %9s %12s %12s\n", "workers", "owners",
	    "us/call", "%not run", "B/worker", "B/w. cached");
	for (size_t i = 0; i < G_N_ELEMENTS(settings); i++)
		(void)run(&settings[i]);
	return 0;
}
