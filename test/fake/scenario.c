/*
 * Reading and running scenarios.
 */
#include "scenario.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "verbs.h"

struct dff_scenario {
	char *name;
	GPtrArray *steps;
};

/* ---- reading ---- */

static bool
key_allowed(const verb_t *verb, const char *pair)
{
	char **keys = g_strsplit(verb->keys, " ", -1);
	char *key = g_strndup(pair, strcspn(pair, "="));
	bool found = g_strv_contains((const char *const *)keys, key);

	g_strfreev(keys);
	g_free(key);
	return found;
}

/* Return: what is wrong with a step, or NULL. */
static char *
check_step(step_t *step)
{
	const verb_t *verb = verb_find(step->words[0]);

	if (verb == NULL)
		return g_strdup_printf(
		    "there is no verb \"%s\"", step->words[0]);
	for (step->count = 1; step->words[step->count] != NULL; step->count++) {
		const char *text = step->words[step->count];

		if (strchr(text, '=') != NULL && text[0] != '<' &&
		    text[0] != '>')
			break;
	}
	if (step->count - 1 < verb->min || step->count - 1 > verb->max)
		return g_strdup_printf("%s takes %d to %d words", verb->name,
		    verb->min, verb->max);
	for (int i = step->count; step->words[i] != NULL; i++) {
		if (!key_allowed(verb, step->words[i]))
			return g_strdup_printf("%s takes no \"%s\"; keys: %s",
			    verb->name, step->words[i],
			    verb->keys[0] != '\0' ? verb->keys : "none");
	}
	return NULL;
}

static void
free_step(gpointer data)
{
	step_t *step = data;

	g_strfreev(step->words);
	g_free(step->text);
	g_free(step);
}

static char *
add_line(dff_scenario_t *scenario, const char *text, uint32_t line)
{
	GError *error = NULL;
	step_t *step;
	char *wrong;

	step = g_new0(step_t, 1);
	step->line = line;
	step->text = g_strdup(text);
	g_ptr_array_add(scenario->steps, step);
	if (!g_shell_parse_argv(text, NULL, &step->words, &error)) {
		wrong = g_strdup(error->message);
		g_error_free(error);
		return wrong;
	}
	return check_step(step);
}

dff_scenario_t *
dff_scenario_parse(const char *name, const char *text, char **error)
{
	dff_scenario_t *scenario = g_new0(dff_scenario_t, 1);
	char **lines = g_strsplit(text, "\n", -1);
	char *wrong = NULL;
	uint32_t i;

	scenario->name = g_strdup(name);
	scenario->steps = g_ptr_array_new_with_free_func(free_step);
	for (i = 0; lines[i] != NULL && wrong == NULL; i++) {
		const char *line = g_strstrip(lines[i]);

		if (line[0] != '\0' && line[0] != '#')
			wrong = add_line(scenario, line, i + 1);
	}
	g_strfreev(lines);
	*error = NULL;
	if (wrong == NULL)
		return scenario;
	*error = g_strdup_printf("%s:%u: %s", name, i, wrong);
	g_free(wrong);
	dff_scenario_drop(scenario);
	return NULL;
}

dff_scenario_t *
dff_scenario_load(const char *path, char **error)
{
	GError *read_error = NULL;
	dff_scenario_t *scenario;
	char *text;

	if (!g_file_get_contents(path, &text, NULL, &read_error)) {
		*error = g_strdup(read_error->message);
		g_error_free(read_error);
		return NULL;
	}
	scenario = dff_scenario_parse(path, text, error);
	g_free(text);
	return scenario;
}

void
dff_scenario_drop(dff_scenario_t *scenario)
{
	if (scenario == NULL)
		return;
	g_ptr_array_unref(scenario->steps);
	g_free(scenario->name);
	g_free(scenario);
}

size_t
dff_scenario_lines(const dff_scenario_t *scenario)
{
	return scenario->steps->len;
}

const char *
dff_scenario_line(const dff_scenario_t *scenario, size_t i)
{
	return ((step_t *)g_ptr_array_index(scenario->steps, i))->text;
}

/* ---- running ---- */

static void
make_world(run_t *run, const step_t *step)
{
	if (run->world == NULL && strcmp(step->words[0], "world") != 0)
		run->world = dff_world_new(&run->config);
}

static void
run_step(run_t *run, const step_t *step)
{
	const char *problem;

	make_world(run, step);
	(void)verb_find(step->words[0])->run(run, step);
	if (run->world == NULL)
		return;
	problem = dff_world_problem(run->world);
	if (problem != NULL && run->error == NULL)
		run->error = g_strdup(problem);
}

char *
dff_scenario_run(
    const dff_scenario_t *scenario, uint32_t seed, const bool *skip)
{
	run_t run = {0};
	char *answer = NULL;

	dff_world_defaults(&run.config);
	run.config.seed = seed;
	run.config.trace = g_getenv("DFF_TRACE") != NULL;
	run.callers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (guint i = 0; i < scenario->steps->len && run.error == NULL; i++) {
		const step_t *step = g_ptr_array_index(scenario->steps, i);

		if (skip != NULL && skip[i])
			continue;
		run_step(&run, step);
		if (run.error != NULL)
			answer = g_strdup_printf("%s:%u: %s: %s",
			    scenario->name, step->line, step->text, run.error);
	}
	dff_world_drop(run.world);
	g_hash_table_unref(run.callers);
	g_free(run.error);
	return answer;
}
