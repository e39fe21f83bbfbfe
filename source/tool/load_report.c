#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "load.h"

static const char *const outcome_names[] = {
    "done", "refused", "failed", "broken", "wrong"};

G_STATIC_ASSERT(G_N_ELEMENTS(outcome_names) == LOAD_OUTCOMES);

/* Statistics of the requests of one group at one side. */
typedef struct group_stats {
	uint64_t outcomes[LOAD_OUTCOMES];
	uint64_t in_time;
	uint64_t attempts;
	uint64_t tokens;
	dff_hist_t *first_from_sent; /* from sending to the first token */
	dff_hist_t *first_from_arrival; /* from arrival to the first token */
	dff_hist_t *end_from_arrival; /* from arrival to the end */
} group_stats_t;

struct load_report {
	const load_mix_t *mix;
	FILE *csv;
	uint32_t group_count;
	group_stats_t *stats[LOAD_SIDES];
	dff_hist_t *gaps[LOAD_SIDES];
	GHashTable *error_counts; /* "SIDE OUTCOME CODE" to count */
};

static void
init_stats(group_stats_t *stats)
{
	stats->first_from_sent = dff_hist_new();
	stats->first_from_arrival = dff_hist_new();
	stats->end_from_arrival = dff_hist_new();
}

static void
clear_stats(group_stats_t *stats)
{
	dff_hist_drop(stats->first_from_sent);
	dff_hist_drop(stats->first_from_arrival);
	dff_hist_drop(stats->end_from_arrival);
}

load_report_t *
load_report_new(const load_mix_t *mix, const char *csv)
{
	load_report_t *report = g_new0(load_report_t, 1);

	report->mix = mix;
	(void)load_mix_groups(mix, &report->group_count);
	report->error_counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (int side = 0; side < LOAD_SIDES; side++) {
		report->gaps[side] = dff_hist_new();
		report->stats[side] =
		    g_new0(group_stats_t, report->group_count);
		for (uint32_t i = 0; i < report->group_count; i++)
			init_stats(&report->stats[side][i]);
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
		for (uint32_t i = 0; i < report->group_count; i++)
			clear_stats(&report->stats[side][i]);
		g_free(report->stats[side]);
		dff_hist_drop(report->gaps[side]);
	}
	if (report->csv != NULL)
		(void)fclose(report->csv);
	g_hash_table_unref(report->error_counts);
	g_free(report);
}

void
load_report_add_gap(load_report_t *report, load_side_t side, dff_time_t gap)
{
	dff_hist_add(report->gaps[side], gap);
}

/* True for a complete answer within the time limits of its group. */
static bool
is_in_time(const load_group_t *group, const load_result_t *result)
{
	if (result->outcome != LOAD_DONE ||
	    result->ended - result->arrived > group->total_limit)
		return false;
	if (group->service || !group->stream)
		return true;
	return result->first_token - result->arrived <=
	    group->first_token_limit &&
	    result->longest_gap <= group->token_gap_limit;
}

static void
write_csv_line(const load_report_t *report, const load_group_t *group,
    const load_result_t *result)
{
	(void)fprintf(report->csv,
	    "%s,%s,%016" PRIx64 ",%" PRId64 ",%" PRId64 ",%" PRId64 ",%" PRId64
	    ",%" PRId64 ",%u,%u,%u,%d,%s,%s,%d\n",
	    load_side_name(result->side), group->name, result->serial,
	    result->arrived, result->sent, result->first_token, result->ended,
	    result->longest_gap, result->prompt_tokens, result->tokens,
	    result->attempts, result->status, result->code,
	    outcome_names[result->outcome], is_in_time(group, result));
}

static void
count_error(load_report_t *report, const load_result_t *result)
{
	char *key;
	gpointer count;

	key = g_strdup_printf("%s %s %s", load_side_name(result->side),
	    outcome_names[result->outcome], result->code);
	count = g_hash_table_lookup(report->error_counts, key);
	g_hash_table_replace(report->error_counts, key,
	    GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
}

void
load_report_add(load_report_t *report, const load_result_t *result)
{
	group_stats_t *stats = &report->stats[result->side][result->group];
	const load_group_t *group;
	uint32_t count;

	group = &load_mix_groups(report->mix, &count)[result->group];
	stats->outcomes[result->outcome]++;
	stats->attempts += result->attempts;
	stats->tokens += result->tokens;
	stats->in_time += is_in_time(group, result);
	if (result->outcome == LOAD_DONE) {
		dff_hist_add(
		    stats->first_from_sent, result->first_token - result->sent);
		dff_hist_add(stats->first_from_arrival,
		    result->first_token - result->arrived);
		dff_hist_add(
		    stats->end_from_arrival, result->ended - result->arrived);
	} else {
		count_error(report, result);
	}
	if (report->csv != NULL)
		write_csv_line(report, group, result);
}

static double
to_ms(dff_time_t duration)
{
	return (double)duration / DFF_MSEC;
}

static void
print_stats(const char *side, const char *name, const group_stats_t *stats,
    dff_time_t duration)
{
	uint64_t all = 0;

	for (int i = 0; i < LOAD_OUTCOMES; i++)
		all += stats->outcomes[i];
	if (all == 0)
		return;
	(void)printf("%-7s %-22s %8" PRIu64 " %8" PRIu64 " %8" PRIu64
		     " %8" PRIu64 " %8" PRIu64 " %6.2f%% %8.2f %8.2f %8.2f"
		     " %8.2f %9.2f %9.1f\n",
	    side, name, all, stats->outcomes[LOAD_DONE],
	    stats->outcomes[LOAD_REFUSED],
	    stats->outcomes[LOAD_FAILED] + stats->outcomes[LOAD_BROKEN] +
		stats->outcomes[LOAD_WRONG],
	    stats->attempts - all, 100.0 * (double)stats->in_time / (double)all,
	    to_ms(dff_hist_quantile(stats->first_from_sent, 0.5)),
	    to_ms(dff_hist_quantile(stats->first_from_sent, 0.99)),
	    to_ms(dff_hist_quantile(stats->first_from_arrival, 0.5)),
	    to_ms(dff_hist_quantile(stats->first_from_arrival, 0.99)),
	    to_ms(dff_hist_quantile(stats->end_from_arrival, 0.5)),
	    (double)stats->in_time * DFF_SEC / (double)duration);
}

static void
print_side(const load_report_t *report, load_side_t side, dff_time_t duration)
{
	const load_group_t *groups;
	group_stats_t all = {0};
	uint32_t count;

	groups = load_mix_groups(report->mix, &count);
	init_stats(&all);
	for (uint32_t i = 0; i < count; i++) {
		const group_stats_t *stats = &report->stats[side][i];

		print_stats(
		    load_side_name(side), groups[i].name, stats, duration);
		for (int j = 0; j < LOAD_OUTCOMES; j++)
			all.outcomes[j] += stats->outcomes[j];
		all.in_time += stats->in_time;
		all.attempts += stats->attempts;
		all.tokens += stats->tokens;
		dff_hist_merge(all.first_from_sent, stats->first_from_sent);
		dff_hist_merge(
		    all.first_from_arrival, stats->first_from_arrival);
		dff_hist_merge(all.end_from_arrival, stats->end_from_arrival);
	}
	print_stats(load_side_name(side), "all", &all, duration);
	if (all.tokens > 0)
		(void)printf("%-7s tokens_per_s=%.1f gap_ms p50=%.3f p90=%.3f "
			     "p99=%.3f max=%.3f gaps=%" PRIu64 "\n",
		    load_side_name(side),
		    (double)all.tokens * DFF_SEC / (double)duration,
		    to_ms(dff_hist_quantile(report->gaps[side], 0.5)),
		    to_ms(dff_hist_quantile(report->gaps[side], 0.9)),
		    to_ms(dff_hist_quantile(report->gaps[side], 0.99)),
		    to_ms(dff_hist_max(report->gaps[side])),
		    dff_hist_count(report->gaps[side]));
	clear_stats(&all);
}

void
load_report_print(const load_report_t *report, dff_time_t duration)
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
		print_side(report, (load_side_t)side, duration);
	g_hash_table_iter_init(&iter, report->error_counts);
	while (g_hash_table_iter_next(&iter, &key, &count))
		(void)printf("error %s: %u\n", (const char *)key,
		    GPOINTER_TO_UINT(count));
}

uint64_t
load_report_count_invalid(const load_report_t *report)
{
	uint64_t invalid = 0;

	for (int side = 0; side < LOAD_SIDES; side++) {
		for (uint32_t i = 0; i < report->group_count; i++)
			invalid +=
			    report->stats[side][i].outcomes[LOAD_BROKEN] +
			    report->stats[side][i].outcomes[LOAD_WRONG];
	}
	return invalid;
}
