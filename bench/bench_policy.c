/*
 * Runs workloads in virtual time, side by side: baselines, the policy, and
 * the policy with each of its parts off, against the fluid bound.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "plot.h"
#include "fleet.h"

/* Runs at once. */
#define THREADS 4

/** struct variant - one column of the comparison */
typedef struct variant {
	const char *name;
	dff_policy_kind_t kind;
	uint32_t parts_off;
	bool roles;
	bool ablation;
} variant_t;

static const variant_t variants[] = {
    {"round-robin", DFF_POLICY_ROUND_ROBIN, 0, false, false},
    {"least-outstanding", DFF_POLICY_LEAST_OUTSTANDING, 0, false, false},
    {"policy", DFF_POLICY_PREDICT, 0, true, false},
    {"no-roles", DFF_POLICY_PREDICT, 0, false, true},
    {"no-affinity", DFF_POLICY_PREDICT, DFF_FEATURE_AFFINITY, true, true},
    {"no-correction", DFF_POLICY_PREDICT, DFF_FEATURE_CORRECTION, true, true},
    {"no-peers", DFF_POLICY_PREDICT, DFF_FEATURE_PEERS, true, true},
    {"no-admission", DFF_POLICY_PREDICT, DFF_FEATURE_ADMISSION, true, true},
    {"no-slack", DFF_POLICY_PREDICT, DFF_FEATURE_SLACK, true, true},
    {"no-weights", DFF_POLICY_PREDICT, DFF_FEATURE_WEIGHTS, true, true},
    {"no-ejection", DFF_POLICY_PREDICT, DFF_FEATURE_EJECTION, true, true},
    {"no-learning", DFF_POLICY_PREDICT, DFF_FEATURE_LEARNING, true, true},
    {"no-sampling", DFF_POLICY_PREDICT, DFF_FEATURE_SAMPLING, true, true},
};

static gint seeds = 3;
static gint first_seed = 1;
static gboolean ablate;
static gchar *out_folder;
static gchar *only;

static const GOptionEntry options[] = {
    {"seeds", 's', 0, G_OPTION_ARG_INT, &seeds, "runs of each", "N"},
    {"first-seed", 'f', 0, G_OPTION_ARG_INT, &first_seed, "first seed", "N"},
    {"ablate", 'a', 0, G_OPTION_ARG_NONE, &ablate, "each part off too", NULL},
    {"out", 'o', 0, G_OPTION_ARG_STRING, &out_folder, "CSV and SVG", "DIR"},
    {"only", 'v', 0, G_OPTION_ARG_STRING, &only, "one variant", "NAME"},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

/** struct job - one run */
typedef struct job {
	const bench_workload_t *load;
	const variant_t *variant;
	uint32_t seed;
	bench_result_t *result;
} job_t;

static void
run_job(gpointer data, gpointer unused)
{
	job_t *job = data;
	bench_options_t how = {0};

	(void)unused;
	how.kind = job->variant->kind;
	how.parts_off = job->variant->parts_off;
	how.roles = job->variant->roles;
	how.seed = job->seed;
	job->result = bench_fleet_run(job->load, &how);
}

/** struct spread - mean, least and most over the seeds */
typedef struct spread {
	double sum;
	double least;
	double most;
	int count;
} spread_t;

static void
spread_add(spread_t *spread, double value)
{
	spread->least = spread->count == 0 ? value : MIN(spread->least, value);
	spread->most = spread->count == 0 ? value : MAX(spread->most, value);
	spread->sum += value;
	spread->count++;
}

static double
mean(const spread_t *spread)
{
	return spread->count > 0 ? spread->sum / spread->count : 0;
}

/** struct row - what a variant gave on a workload over the seeds */
typedef struct row {
	spread_t of_bound;
	spread_t good;
	spread_t seconds;
	spread_t of_bound_seconds;
	spread_t refused;
	spread_t blank;
	spread_t late;
	spread_t late_first;
	spread_t late_gap;
	spread_t failed;
	spread_t wasted;
	spread_t roles;
	spread_t fair;
	spread_t first[3];
	spread_t gap[3];
} row_t;

static void
row_add(row_t *row, const bench_result_t *result)
{
	static const double quantiles[] = {0.5, 0.95, 0.99};

	spread_add(&row->of_bound, 100 * bench_result_goodput(result));
	spread_add(&row->good, 100.0 * result->good / result->offered);
	spread_add(&row->seconds, result->good_seconds);
	spread_add(&row->of_bound_seconds,
	    100 * result->good_seconds / result->bound.seconds);
	spread_add(&row->refused, result->refused);
	spread_add(&row->blank, result->refused_blank);
	spread_add(&row->late, result->late);
	spread_add(&row->late_first, result->late_first);
	spread_add(&row->late_gap, result->late_gap);
	spread_add(&row->failed, result->failed);
	spread_add(&row->wasted, result->wasted_seconds);
	spread_add(&row->roles, result->role_changes);
	spread_add(&row->fair, bench_result_fairness(result));
	for (int i = 0; i < 3; i++) {
		spread_add(&row->first[i],
		    bench_result_quantile(result->first_count, quantiles[i]));
		spread_add(&row->gap[i],
		    bench_result_quantile(result->gap_count, quantiles[i]));
	}
}

static void
print_row(const bench_workload_t *load, const variant_t *variant,
    const row_t *row, FILE *csv)
{
	(void)printf(
	    "%-22s %-18s %5.1f [%5.1f %5.1f] %5.1f %8.0f %6.0f %5.0f %5.0f "
	    "%5.0f %6.0f %4.1f %5.3f %6.0f %6.0f %6.0f %5.0f %5.0f\n",
	    load->name, variant->name, mean(&row->of_bound),
	    row->of_bound.least, row->of_bound.most, mean(&row->good),
	    mean(&row->seconds), mean(&row->refused), mean(&row->late),
	    mean(&row->late_first), mean(&row->failed), mean(&row->wasted),
	    mean(&row->roles), mean(&row->fair), mean(&row->first[0]),
	    mean(&row->first[1]), mean(&row->first[2]), mean(&row->gap[1]),
	    mean(&row->gap[2]));
	(void)fflush(stdout);
	if (csv == NULL)
		return;
	(void)fprintf(csv,
	    "%s,%s,%d,%.2f,%.2f,%.2f,%.2f,%.1f,%.2f,%.1f,%.1f,%.1f,%.1f,%.1f,%.1f,%.1f,"
	    "%.2f,%.4f,%.1f,%.1f,%.1f,%.1f,%.1f,%.1f\n",
	    load->name, variant->name, row->good.count, mean(&row->of_bound),
	    row->of_bound.least, row->of_bound.most, mean(&row->good),
	    mean(&row->seconds), mean(&row->of_bound_seconds),
	    mean(&row->refused), mean(&row->blank), mean(&row->late),
	    mean(&row->late_first), mean(&row->late_gap), mean(&row->failed),
	    mean(&row->wasted), mean(&row->roles), mean(&row->fair),
	    mean(&row->first[0]), mean(&row->first[1]), mean(&row->first[2]),
	    mean(&row->gap[0]), mean(&row->gap[1]), mean(&row->gap[2]));
}

static bool
wanted(const variant_t *variant)
{
	if (only != NULL)
		return strcmp(only, variant->name) == 0;
	return ablate || !variant->ablation;
}

static void
print_shares(const bench_result_t *result)
{
	for (guint i = 0; i < result->shares->len; i++) {
		const bench_share_t *share;

		share = &g_array_index(result->shares, bench_share_t, i);
		if (share->offered > 0)
			(void)printf("%22s %-18s %u of %u\n", "", share->owner,
			    share->good, share->offered);
	}
}

static void
run_workload(const bench_workload_t *load, FILE *csv)
{
	GThreadPool *pool;
	job_t *jobs = g_new0(job_t, G_N_ELEMENTS(variants) * (size_t)seeds);

	pool = g_thread_pool_new(run_job, NULL, THREADS, TRUE, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(variants); i++) {
		for (int s = 0; s < seeds; s++) {
			job_t *job = &jobs[i * (size_t)seeds + (size_t)s];

			job->load = load;
			job->variant = &variants[i];
			job->seed = (uint32_t)(first_seed + s);
			if (wanted(job->variant))
				g_thread_pool_push(pool, job, NULL);
		}
	}
	g_thread_pool_free(pool, FALSE, TRUE);
	for (size_t i = 0; i < G_N_ELEMENTS(variants); i++) {
		row_t row = {0};

		for (int s = 0; s < seeds; s++) {
			job_t *job = &jobs[i * (size_t)seeds + (size_t)s];

			if (job->result != NULL)
				row_add(&row, job->result);
		}
		if (row.good.count == 0)
			continue;
		print_row(load, &variants[i], &row, csv);
		if (variants[i].roles && !variants[i].ablation) {
			print_shares(jobs[i * (size_t)seeds].result);
			if (out_folder != NULL)
				plot_write(out_folder, load,
				    jobs[i * (size_t)seeds].result);
		}
	}
	for (size_t i = 0; i < G_N_ELEMENTS(variants) * (size_t)seeds; i++)
		bench_result_drop(jobs[i].result);
	g_free(jobs);
}

static FILE *
open_csv(void)
{
	FILE *csv;
	char *path;

	if (out_folder == NULL)
		return NULL;
	(void)g_mkdir_with_parents(out_folder, 0755);
	path = g_build_filename(out_folder, "policy.csv", NULL);
	csv = fopen(path, "w");
	g_free(path);
	if (csv != NULL)
		(void)fprintf(csv,
		    "workload,variant,seeds,bound_pct,bound_pct_min,"
		    "bound_pct_max,good_pct,good_engine_s,bound_engine_s_pct,"
		    "refused,refused_without_time,late,late_first,late_gap,failed,"
		    "wasted_engine_s,role_changes,fairness,first_p50_ms,"
		    "first_p95_ms,first_p99_ms,gap_p50_ms,gap_p95_ms,"
		    "gap_p99_ms\n");
	return csv;
}

int
main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("WORKLOAD...");
	GError *error = NULL;
	FILE *csv;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		(void)fprintf(stderr, "%s\n", error->message);
		return 2;
	}
	g_option_context_free(context);
	csv = open_csv();
	(void)printf(
	    "%-22s %-18s %5s [ min   max ] %5s %8s %6s %5s %5s %5s %6s "
	    "%4s %5s %6s %6s %6s %5s %5s\n",
	    "workload", "variant", "%bnd", "%good", "good_es", "refusd", "late",
	    "ltfst", "faild", "wasted", "role", "fair", "ft50", "ft95", "ft99",
	    "gap95", "gap99");
	for (int i = 1; i < argc; i++) {
		bench_workload_t *load = bench_workload_load(argv[i]);

		if (load == NULL)
			return 1;
		run_workload(load, csv);
		bench_workload_drop(load);
	}
	if (csv != NULL)
		(void)fclose(csv);
	return 0;
}
