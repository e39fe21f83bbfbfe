#include "catalogue/problem.h"

#include <stdio.h>
#include <string.h>

#include <glib.h>

struct dff_problems {
	GArray *list;
};

dff_problems_t *
dff_problems_new(void)
{
	dff_problems_t *problems;

	problems = g_new0(dff_problems_t, 1);
	problems->list = g_array_new(FALSE, TRUE, sizeof(dff_problem_t));
	return problems;
}

void
dff_problems_drop(dff_problems_t *problems)
{
	if (problems == NULL)
		return;
	g_array_unref(problems->list);
	g_free(problems);
}

void
dff_problems_add(dff_problems_t *problems, uint32_t line, const char *group,
    const char *key, const char *fmt, ...)
{
	dff_problem_t problem = {.line = line};
	va_list args;

	(void)g_strlcpy(
	    problem.group, group != NULL ? group : "", sizeof(problem.group));
	(void)g_strlcpy(
	    problem.key, key != NULL ? key : "", sizeof(problem.key));
	va_start(args, fmt);
	(void)vsnprintf(problem.text, sizeof(problem.text), fmt, args);
	va_end(args);
	g_array_append_val(problems->list, problem);
}

size_t
dff_problems_count(const dff_problems_t *problems)
{
	return problems->list->len;
}

static gint
compare_lines(gconstpointer a, gconstpointer b)
{
	const dff_problem_t *left = a;
	const dff_problem_t *right = b;

	if (left->line != right->line)
		return left->line < right->line ? -1 : 1;
	return strcmp(left->key, right->key);
}

void
dff_problems_copy(dff_problems_t *problems, dff_problem_t *out, size_t max)
{
	g_array_sort(problems->list, compare_lines);
	for (size_t i = 0; i < problems->list->len && i < max; i++)
		out[i] = g_array_index(problems->list, dff_problem_t, i);
}
