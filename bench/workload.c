#include "workload.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fluid.h"

/** struct source - a file and the base that it leans on */
typedef struct source {
	GKeyFile *own;
	GKeyFile *base;
} source_t;

static char *
text_of(const source_t *source, const char *group, const char *key,
    const char *fallback)
{
	char *text;

	text = g_key_file_get_string(source->own, group, key, NULL);
	if (text == NULL && source->base != NULL)
		text = g_key_file_get_string(source->base, group, key, NULL);
	return text != NULL ? text : g_strdup(fallback);
}

static double
number_of(
    const source_t *source, const char *group, const char *key, double fallback)
{
	char *text = text_of(source, group, key, NULL);
	double value = fallback;

	if (text != NULL)
		value = g_ascii_strtod(text, NULL);
	g_free(text);
	return value;
}

static uint32_t
count_of(const source_t *source, const char *group, const char *key,
    uint32_t fallback)
{
	return (uint32_t)number_of(source, group, key, fallback);
}

static dff_time_t
msec_of(
    const source_t *source, const char *group, const char *key, double fallback)
{
	return (dff_time_t)(number_of(source, group, key, fallback) *
	    (double)DFF_MSEC);
}

static dff_time_t
sec_of(
    const source_t *source, const char *group, const char *key, double fallback)
{
	return (dff_time_t)(number_of(source, group, key, fallback) *
	    (double)DFF_SEC);
}

static void
name_of(const source_t *source, const char *group, const char *key, char *dst)
{
	char *text = text_of(source, group, key, "");

	(void)dff_name_copy(dst, text);
	g_free(text);
}

static void
read_fleet(bench_workload_t *workload, const source_t *source)
{
	const char *group = "workload";

	name_of(source, group, "engine_pool", workload->engine_pool);
	name_of(source, group, "service_pool", workload->service_pool);
	workload->nodes = count_of(source, group, "nodes", 9);
	workload->domains = count_of(source, group, "domains", 3);
	workload->engines = count_of(source, group, "engines", 10);
	workload->services = count_of(source, group, "services", 0);
	workload->link = msec_of(source, group, "link_ms", 4);
	workload->link_loss = number_of(source, group, "link_loss", 0);
	workload->report_lag = msec_of(source, group, "report_lag_ms", 500);
	workload->report_every = msec_of(source, group, "report_every_ms", 250);
	workload->beat = msec_of(source, group, "beat_ms", 200);
	workload->length = sec_of(source, group, "length_s", 120);
	workload->warm = sec_of(source, group, "warm_s", 10);
	workload->load = number_of(source, group, "load", 0.85);
	workload->service_rate = number_of(source, group, "service_rate", 0);
	workload->retries = count_of(source, group, "retries", 0);
	workload->prefill_engines =
	    count_of(source, group, "prefill_engines", 0);
	workload->decode_engines = count_of(source, group, "decode_engines", 0);
	dff_engine_config_defaults(&workload->engine);
	workload->engine.report_lag = workload->report_lag;
}

static void
read_shape(
    bench_workload_t *workload, const source_t *source, const char *group)
{
	bench_shape_t shape = {0};

	(void)dff_name_copy(shape.name, group + strlen("shape "));
	name_of(source, group, "entry", shape.entry);
	shape.prompt_mean = number_of(source, group, "prompt_mean", 1000);
	shape.prompt_spread = number_of(source, group, "prompt_spread", 0.4);
	shape.output_mean = number_of(source, group, "output_mean", 20);
	shape.output_spread = number_of(source, group, "output_spread", 0.4);
	shape.prefixes = count_of(source, group, "prefixes", 1);
	shape.prefix_tokens = count_of(source, group, "prefix_tokens", 0);
	g_array_append_val(workload->shapes, shape);
}

static void
read_phase(
    bench_workload_t *workload, const source_t *source, const char *group)
{
	bench_phase_t phase = {0};
	char *text = text_of(source, group, "mix", "");
	char **parts = g_strsplit(text, " ", -1);

	phase.length = sec_of(source, group, "length_s", 3600);
	phase.load = number_of(source, group, "load", workload->load);
	phase.mix = g_array_new(FALSE, TRUE, sizeof(double));
	g_array_set_size(phase.mix, workload->shapes->len);
	for (char **part = parts; *part != NULL; part++) {
		char **pair = g_strsplit(*part, ":", 2);

		for (guint i = 0; i < workload->shapes->len; i++) {
			const bench_shape_t *shape;

			shape =
			    &g_array_index(workload->shapes, bench_shape_t, i);
			if (pair[0] != NULL && pair[1] != NULL &&
			    strcmp(pair[0], shape->name) == 0)
				g_array_index(phase.mix, double, i) =
				    g_ascii_strtod(pair[1], NULL);
		}
		g_strfreev(pair);
	}
	g_strfreev(parts);
	g_free(text);
	g_array_append_val(workload->phases, phase);
}

static void
read_fault(
    bench_workload_t *workload, const source_t *source, const char *group)
{
	bench_fault_t fault = {0};
	char *kind = text_of(source, group, "kind", "crash");

	if (strcmp(kind, "withdraw") == 0)
		fault.kind = BENCH_FAULT_WITHDRAW;
	else if (strcmp(kind, "poison") == 0)
		fault.kind = BENCH_FAULT_POISON;
	else
		fault.kind = BENCH_FAULT_CRASH;
	fault.at = sec_of(source, group, "at_s", 60);
	fault.engine = count_of(source, group, "engine", 0);
	g_array_append_val(workload->faults, fault);
	g_free(kind);
}

/* Groups of one kind: the file's own, or else all of the base's. */
static void
read_groups(bench_workload_t *workload, const source_t *source,
    const char *prefix,
    void (*read)(bench_workload_t *, const source_t *, const char *))
{
	GKeyFile *files[] = {source->own, source->base};

	for (size_t i = 0; i < G_N_ELEMENTS(files); i++) {
		char **groups;
		guint found = 0;

		if (files[i] == NULL)
			continue;
		groups = g_key_file_get_groups(files[i], NULL);
		for (char **group = groups; *group != NULL; group++) {
			if (!g_str_has_prefix(*group, prefix))
				continue;
			read(workload, source, *group);
			found++;
		}
		g_strfreev(groups);
		if (found > 0)
			return;
	}
}

static GKeyFile *
open_file(const char *path)
{
	GKeyFile *file = g_key_file_new();
	GError *error = NULL;

	if (g_key_file_load_from_file(file, path, G_KEY_FILE_NONE, &error))
		return file;
	(void)fprintf(stderr, "%s: %s\n", path, error->message);
	g_error_free(error);
	g_key_file_free(file);
	return NULL;
}

static GKeyFile *
open_base(GKeyFile *own, const char *folder)
{
	GKeyFile *file;
	char *name = g_key_file_get_string(own, "workload", "base", NULL);
	char *path;

	if (name == NULL)
		return NULL;
	path = g_build_filename(folder, name, NULL);
	file = open_file(path);
	g_free(path);
	g_free(name);
	return file;
}

static char *
read_catalogue(const source_t *source, const char *folder)
{
	char *name = text_of(source, "workload", "catalogue", "");
	char *path = g_build_filename(folder, "..", "..", name, NULL);
	char *text = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		(void)fprintf(stderr, "%s: cannot be read\n", path);
	g_free(path);
	g_free(name);
	return text;
}

bench_workload_t *
bench_workload_load(const char *path)
{
	source_t source = {0};
	bench_workload_t *workload;
	char *folder;
	char *name;

	source.own = open_file(path);
	if (source.own == NULL)
		return NULL;
	folder = g_path_get_dirname(path);
	source.base = open_base(source.own, folder);
	workload = g_new0(bench_workload_t, 1);
	name = g_path_get_basename(path);
	name[strcspn(name, ".")] = '\0';
	(void)dff_name_copy(workload->name, name);
	g_free(name);
	workload->shapes = g_array_new(FALSE, TRUE, sizeof(bench_shape_t));
	workload->phases = g_array_new(FALSE, TRUE, sizeof(bench_phase_t));
	workload->faults = g_array_new(FALSE, TRUE, sizeof(bench_fault_t));
	read_fleet(workload, &source);
	read_groups(workload, &source, "shape ", read_shape);
	read_groups(workload, &source, "phase ", read_phase);
	read_groups(workload, &source, "fault ", read_fault);
	workload->catalogue = read_catalogue(&source, folder);
	g_key_file_free(source.own);
	if (source.base != NULL)
		g_key_file_free(source.base);
	g_free(folder);
	if (workload->catalogue == NULL || workload->phases->len == 0) {
		bench_workload_drop(workload);
		return NULL;
	}
	return workload;
}

void
bench_workload_drop(bench_workload_t *workload)
{
	if (workload == NULL)
		return;
	for (guint i = 0; i < workload->phases->len; i++)
		g_array_unref(
		    g_array_index(workload->phases, bench_phase_t, i).mix);
	g_array_unref(workload->shapes);
	g_array_unref(workload->phases);
	g_array_unref(workload->faults);
	g_free(workload->catalogue);
	g_free(workload);
}

const bench_phase_t *
bench_workload_phase(const bench_workload_t *workload, dff_time_t at)
{
	dff_time_t cycle = 0;

	for (guint i = 0; i < workload->phases->len; i++)
		cycle +=
		    g_array_index(workload->phases, bench_phase_t, i).length;
	at %= MAX(cycle, 1);
	for (guint i = 0; i < workload->phases->len; i++) {
		const bench_phase_t *phase;

		phase = &g_array_index(workload->phases, bench_phase_t, i);
		if (at < phase->length)
			return phase;
		at -= phase->length;
	}
	return &g_array_index(workload->phases, bench_phase_t, 0);
}

double
bench_workload_rate(
    const bench_workload_t *workload, const bench_phase_t *phase)
{
	double share = 0;
	double prompt = 0;
	double output = 0;
	double each;

	for (guint i = 0; i < workload->shapes->len; i++) {
		const bench_shape_t *shape;
		double part = g_array_index(phase->mix, double, i);

		shape = &g_array_index(workload->shapes, bench_shape_t, i);
		share += part;
		prompt += part *
		    (shape->prompt_mean -
			MIN(shape->prefix_tokens, shape->prompt_mean / 2));
		output += part * shape->output_mean;
	}
	if (share <= 0)
		return 0;
	each =
	    bench_fluid_cost(&workload->engine, prompt / share, output / share);
	return phase->load * workload->engines * (double)DFF_SEC / each;
}
