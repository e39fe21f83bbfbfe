#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "load.h"

static const char *const outcome_names[] = {
    "done", "refused", "failed", "broken", "wrong"};

G_STATIC_ASSERT(G_N_ELEMENTS(outcome_names) == LOAD_OUTCOMES);

/* What was measured of one kind of request at one side. */
typedef struct tally {
	uint64_t outcomes[LOAD_OUTCOMES];
	uint64_t in_time;
	uint64_t tries;
	uint64_t tokens;
	dff_hist_t *first; /* first token, from the moment it was sent */
	dff_hist_t *felt; /* first token, from the moment it was due */
	dff_hist_t *whole; /* end, from the moment it was due */
} tally_t;

struct load_report {
	const load_mix_t *mix;
	FILE *csv;
	uint32_t kinds;
	tally_t *tallies[LOAD_SIDES];
	dff_hist_t *gaps[LOAD_SIDES];
	GHashTable *codes; /* code to count */
};

static void
init_tally(tally_t *tally)
{
	tally->first = dff_hist_new();
	tally->felt = dff_hist_new();
	tally->whole = dff_hist_new();
}

static void
clear_tally(tally_t *tally)
{
	dff_hist_drop(tally->first);
	dff_hist_drop(tally->felt);
	dff_hist_drop(tally->whole);
}

load_report_t *
load_report_new(const load_mix_t *mix, const char *csv)
{
	load_report_t *report = g_new0(load_report_t, 1);

	report->mix = mix;
	(void)load_mix_kinds(mix, &report->kinds);
	report->codes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (int side = 0; side < LOAD_SIDES; side++) {
		report->gaps[side] = dff_hist_new();
		report->tallies[side] = g_new0(tally_t, report->kinds);
		for (uint32_t i = 0; i < report->kinds; i++)
			init_tally(&report->tallies[side][i]);
	}
	if (*csv == '\0')
		return report;
	report->csv = fopen(csv, "w");
	if (report->csv == NULL) {
		(void)fprintf(stderr, "dff-load: cannot write %s\n", csv);
		load_report_drop(report);
		return NULL;
	}
	(void)fputs("side,entry,serial,arrived_us,sent_us,first_us,ended_us,"
		    "longest_gap_us,prompt_tokens,tokens,tries,status,code,"
		    "outcome,in_time\n",
	    report->csv);
	return report;
}

void
load_report_drop(load_report_t *report)
{
	if (report == NULL)
		return;
	for (int side = 0; side < LOAD_SIDES; side++) {
		for (uint32_t i = 0; i < report->kinds; i++)
			clear_tally(&report->tallies[side][i]);
		g_free(report->tallies[side]);
		dff_hist_drop(report->gaps[side]);
	}
	if (report->csv != NULL)
		(void)fclose(report->csv);
	g_hash_table_unref(report->codes);
	g_free(report);
}

void
load_report_gap(load_report_t *report, load_side_t side, dff_time_t gap)
{
	dff_hist_add(report->gaps[side], gap);
}

/* Whether a whole answer came within its class's times. */
static bool
in_time(const load_kind_t *kind, const load_result_t *result)
{
	if (result->outcome != LOAD_DONE ||
	    result->ended - result->arrived > kind->whole)
		return false;
	if (kind->service || !kind->stream)
		return true;
	return result->first - result->arrived <= kind->first_token &&
	    result->longest_gap <= kind->token_gap;
}

static void
write_line(const load_report_t *report, const load_kind_t *kind,
    const load_result_t *result)
{
	(void)fprintf(report->csv,
	    "%s,%s,%016" PRIx64 ",%" PRId64 ",%" PRId64 ",%" PRId64 ",%" PRId64
	    ",%" PRId64 ",%u,%u,%u,%d,%s,%s,%d\n",
	    load_side_name(result->side), kind->name, result->serial,
	    result->arrived, result->sent, result->first, result->ended,
	    result->longest_gap, result->prompt_tokens, result->tokens,
	    result->tries, result->status, result->code,
	    outcome_names[result->outcome], in_time(kind, result));
}

static void
count_code(load_report_t *report, const load_result_t *result)
{
	char *key;
	gpointer count;

	key = g_strdup_printf("%s %s %s", load_side_name(result->side),
	    outcome_names[result->outcome], result->code);
	count = g_hash_table_lookup(report->codes, key);
	g_hash_table_replace(
	    report->codes, key, GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
}

void
load_report_add(load_report_t *report, const load_result_t *result)
{
	tally_t *tally = &report->tallies[result->side][result->kind];
	const load_kind_t *kind;
	uint32_t count;

	kind = &load_mix_kinds(report->mix, &count)[result->kind];
	tally->outcomes[result->outcome]++;
	tally->tries += result->tries;
	tally->tokens += result->tokens;
	tally->in_time += in_time(kind, result);
	if (result->outcome == LOAD_DONE) {
		dff_hist_add(tally->first, result->first - result->sent);
		dff_hist_add(tally->felt, result->first - result->arrived);
		dff_hist_add(tally->whole, result->ended - result->arrived);
	} else {
		count_code(report, result);
	}
	if (report->csv != NULL)
		write_line(report, kind, result);
}

static double
ms(dff_time_t time)
{
	return (double)time / DFF_MSEC;
}

static void
print_tally(
    const char *side, const char *name, const tally_t *tally, dff_time_t time)
{
	uint64_t all = 0;

	for (int i = 0; i < LOAD_OUTCOMES; i++)
		all += tally->outcomes[i];
	if (all == 0)
		return;
	(void)printf("%-7s %-22s %8" PRIu64 " %8" PRIu64 " %8" PRIu64
		     " %8" PRIu64 " %8" PRIu64 " %6.2f%% %8.2f %8.2f %8.2f"
		     " %8.2f %9.2f %9.1f\n",
	    side, name, all, tally->outcomes[LOAD_DONE],
	    tally->outcomes[LOAD_REFUSED],
	    tally->outcomes[LOAD_FAILED] + tally->outcomes[LOAD_BROKEN] +
		tally->outcomes[LOAD_WRONG],
	    tally->tries - all, 100.0 * (double)tally->in_time / (double)all,
	    ms(dff_hist_quantile(tally->first, 0.5)),
	    ms(dff_hist_quantile(tally->first, 0.99)),
	    ms(dff_hist_quantile(tally->felt, 0.5)),
	    ms(dff_hist_quantile(tally->felt, 0.99)),
	    ms(dff_hist_quantile(tally->whole, 0.5)),
	    (double)tally->in_time * DFF_SEC / (double)time);
}

static void
print_side(const load_report_t *report, load_side_t side, dff_time_t time)
{
	const load_kind_t *kinds;
	tally_t all = {0};
	uint32_t count;

	kinds = load_mix_kinds(report->mix, &count);
	init_tally(&all);
	for (uint32_t i = 0; i < count; i++) {
		const tally_t *tally = &report->tallies[side][i];

		print_tally(load_side_name(side), kinds[i].name, tally, time);
		for (int j = 0; j < LOAD_OUTCOMES; j++)
			all.outcomes[j] += tally->outcomes[j];
		all.in_time += tally->in_time;
		all.tries += tally->tries;
		all.tokens += tally->tokens;
		dff_hist_merge(all.first, tally->first);
		dff_hist_merge(all.felt, tally->felt);
		dff_hist_merge(all.whole, tally->whole);
	}
	print_tally(load_side_name(side), "all", &all, time);
	if (all.tokens > 0)
		(void)printf("%-7s tokens_per_s=%.1f gap_ms p50=%.3f p90=%.3f "
			     "p99=%.3f max=%.3f gaps=%" PRIu64 "\n",
		    load_side_name(side),
		    (double)all.tokens * DFF_SEC / (double)time,
		    ms(dff_hist_quantile(report->gaps[side], 0.5)),
		    ms(dff_hist_quantile(report->gaps[side], 0.9)),
		    ms(dff_hist_quantile(report->gaps[side], 0.99)),
		    ms(dff_hist_max(report->gaps[side])),
		    dff_hist_count(report->gaps[side]));
	clear_tally(&all);
}

void
load_report_print(const load_report_t *report, dff_time_t time)
{
	GHashTableIter iter;
	gpointer key;
	gpointer count;

	(void)printf("%-7s %-22s %8s %8s %8s %8s %8s %7s %8s %8s %8s %8s %9s "
		     "%9s\n",
	    "side", "entry", "requests", "done", "refused", "failed", "retries",
	    "in time", "first50", "first99", "felt50", "felt99", "whole50",
	    "goodput/s");
	for (int side = 0; side < LOAD_SIDES; side++)
		print_side(report, (load_side_t)side, time);
	g_hash_table_iter_init(&iter, report->codes);
	while (g_hash_table_iter_next(&iter, &key, &count))
		(void)printf("error %s: %u\n", (const char *)key,
		    GPOINTER_TO_UINT(count));
}

uint64_t
load_report_faults(const load_report_t *report)
{
	uint64_t faults = 0;

	for (int side = 0; side < LOAD_SIDES; side++) {
		for (uint32_t i = 0; i < report->kinds; i++)
			faults +=
			    report->tallies[side][i].outcomes[LOAD_BROKEN] +
			    report->tallies[side][i].outcomes[LOAD_WRONG];
	}
	return faults;
}
