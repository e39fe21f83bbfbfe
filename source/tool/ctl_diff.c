#include "ctl.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

/* Largest number of problems that are printed for one file. */
#define PROBLEMS_MAX 50

static void
print_problem(const char *path, const dff_problem_t *problem)
{
	(void)fprintf(stderr, "%s:%u:", path, problem->line);
	if (problem->group[0] != '\0')
		(void)fprintf(stderr, " [%s]", problem->group);
	if (problem->key[0] != '\0')
		(void)fprintf(stderr, " %s:", problem->key);
	(void)fprintf(stderr, " %s\n", problem->text);
}

static int
check_text(ctl_t *ctl, const char *path, const char *text, size_t len)
{
	dff_problem_t *problems = g_new0(dff_problem_t, PROBLEMS_MAX);
	dff_catalogue_t *cat;
	size_t count;
	int err;

	err = dff_catalogue_load(
	    ctl->ctx, text, len, problems, PROBLEMS_MAX, &count, &cat);
	if (err == -EFBIG)
		(void)fprintf(stderr, "%s:0: more than %d bytes\n", path,
		    DFF_CATALOGUE_BYTES_MAX);
	for (size_t i = 0; i < MIN(count, PROBLEMS_MAX); i++)
		print_problem(path, &problems[i]);
	if (count > PROBLEMS_MAX)
		(void)fprintf(stderr, "%s: %zu more problems\n", path,
		    count - PROBLEMS_MAX);
	dff_catalogue_drop(cat);
	g_free(problems);
	return err == 0 ? CTL_OK : CTL_DIFFERS;
}

int
ctl_load_file(ctl_t *ctl, const char *path, char **text)
{
	GError *error = NULL;
	gsize len;
	int rc;

	*text = NULL;
	if (!g_file_get_contents(path, text, &len, &error)) {
		(void)fprintf(stderr, "dff-ctl: %s\n", error->message);
		g_error_free(error);
		return CTL_USAGE;
	}
	rc = check_text(ctl, path, *text, len);
	if (rc != CTL_OK) {
		g_free(*text);
		*text = NULL;
	}
	return rc;
}

int
ctl_check(ctl_t *ctl, const char *path)
{
	char *text;
	int rc;

	rc = ctl_load_file(ctl, path, &text);
	if (rc == CTL_OK)
		(void)printf("%s: no problems\n", path);
	g_free(text);
	return rc;
}

/* ---- differences ---- */

static GKeyFile *
parse_key_file(const char *text)
{
	GKeyFile *file = g_key_file_new();

	(void)g_key_file_load_from_data(
	    file, text, strlen(text), G_KEY_FILE_NONE, NULL);
	return file;
}

/* Print the keys of @file that @other lacks and, if @added, those with another
 * value in @other. Returns the number of lines. */
static size_t
print_keys(GKeyFile *file, GKeyFile *other, const char *group, bool added)
{
	char **keys = g_key_file_get_keys(file, group, NULL, NULL);
	size_t count = 0;

	for (size_t i = 0; keys != NULL && keys[i] != NULL; i++) {
		char *value = g_key_file_get_value(file, group, keys[i], NULL);
		char *other_value =
		    g_key_file_get_value(other, group, keys[i], NULL);

		if (other_value == NULL) {
			(void)printf("%c [%s] %s=%s\n", added ? '+' : '-',
			    group, keys[i], value);
			count++;
		} else if (added && strcmp(value, other_value) != 0) {
			(void)printf("~ [%s] %s=%s, was %s\n", group, keys[i],
			    value, other_value);
			count++;
		}
		g_free(value);
		g_free(other_value);
	}
	g_strfreev(keys);
	return count;
}

static size_t
print_groups(GKeyFile *file, GKeyFile *other, bool added)
{
	char **groups = g_key_file_get_groups(file, NULL);
	size_t count = 0;

	for (size_t i = 0; groups[i] != NULL; i++) {
		if (!g_key_file_has_group(other, groups[i])) {
			(void)printf("%c [%s]\n", added ? '+' : '-', groups[i]);
			count++;
		}
		if (added || g_key_file_has_group(other, groups[i]))
			count += print_keys(file, other, groups[i], added);
	}
	g_strfreev(groups);
	return count;
}

size_t
ctl_print_diff(const char *before, const char *after)
{
	GKeyFile *old = parse_key_file(before);
	GKeyFile *new = parse_key_file(after);
	size_t count;

	count = print_groups(old, new, false);
	count += print_groups(new, old, true);
	g_key_file_free(old);
	g_key_file_free(new);
	return count;
}

static int
diff_in_force(ctl_t *ctl, const char *text)
{
	ctl_log_t *log = ctl_log_open(ctl);
	const char *in_force;
	size_t count;

	if (log == NULL)
		return CTL_UNDECIDED;
	in_force = dff_history_text(log->history);
	count = ctl_print_diff(in_force != NULL ? in_force : "", text);
	(void)fprintf(stderr, "%zu differences from revision %llu\n", count,
	    (unsigned long long)dff_history_revision(log->history));
	ctl_log_drop(log);
	return count == 0 ? CTL_OK : CTL_DIFFERS;
}

int
ctl_diff(ctl_t *ctl, const char *path, const char *other)
{
	char *before = NULL;
	char *text;
	int rc;

	rc = ctl_load_file(ctl, path, &text);
	if (rc != CTL_OK)
		return rc;
	if (other == NULL) {
		rc = diff_in_force(ctl, text);
		g_free(text);
		return rc;
	}
	rc = ctl_load_file(ctl, other, &before);
	if (rc == CTL_OK && ctl_print_diff(before, text) > 0)
		rc = CTL_DIFFERS;
	g_free(before);
	g_free(text);
	return rc;
}
