#include "load.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* Upper bound of the numbers in a mix file. */
#define NUMBER_MAX 1e7
/* Text that is repeated to fill a prompt. */
#define FILLER_TEXT "tank 12 water 4.1C oxygen 87 crate weak claws lot "

struct load_mix {
	GArray *groups; /* load_group_t */
	double share_sum;
};

/* A numeric key of a group; the field at @offset is a double. */
typedef struct number {
	const char *key;
	size_t offset;
	double fallback;
} number_key_t;

static const number_key_t number_keys[] = {
    {"share", offsetof(load_group_t, share), 1},
    {"prompt_tokens", offsetof(load_group_t, prompt_tokens), 500},
    {"prompt_sigma", offsetof(load_group_t, prompt_sigma), 0},
    {"prompt_max", offsetof(load_group_t, prompt_max), 100000},
    {"output_tokens", offsetof(load_group_t, output_tokens), 50},
    {"output_sigma", offsetof(load_group_t, output_sigma), 0},
    {"output_max", offsetof(load_group_t, output_max), 100000},
    {"prefixes", offsetof(load_group_t, prefix_count), 0},
    {"prefix_share", offsetof(load_group_t, prefix_share), 0.5},
};

static const char *const other_keys[] = {"kind", "key", "model", "stream",
    "idempotent", "first_token_ms", "token_gap_ms", "whole_ms", NULL};

static bool
is_known_key(const char *key)
{
	for (size_t i = 0; i < G_N_ELEMENTS(number_keys); i++) {
		if (strcmp(number_keys[i].key, key) == 0)
			return true;
	}
	return g_strv_contains(other_keys, key);
}

static bool
report_error(const char *section, const char *key, const char *allowed)
{
	(void)fprintf(
	    stderr, "dff-load: mix file: [%s] %s: %s\n", section, key, allowed);
	return false;
}

static bool
read_number(GKeyFile *file, const char *section, const char *key, double *value)
{
	GError *error = NULL;
	double number;

	if (!g_key_file_has_key(file, section, key, NULL))
		return true;
	number = g_key_file_get_double(file, section, key, &error);
	if (error != NULL || !(number >= 0 && number <= NUMBER_MAX)) {
		g_clear_error(&error);
		return report_error(
		    section, key, "a number from 0 to 1e7 is allowed");
	}
	*value = number;
	return true;
}

static bool
read_time(
    GKeyFile *file, const char *section, const char *key, dff_time_t *value)
{
	double ms = -1;

	if (!read_number(file, section, key, &ms))
		return false;
	if (ms >= 0)
		*value = (dff_time_t)(ms * DFF_MSEC);
	return true;
}

static bool
read_flag(GKeyFile *file, const char *section, const char *key, bool *value)
{
	GError *error = NULL;

	if (!g_key_file_has_key(file, section, key, NULL))
		return true;
	*value = g_key_file_get_boolean(file, section, key, &error);
	if (error == NULL)
		return true;
	g_error_free(error);
	return report_error(section, key, "true or false is allowed");
}

static void
read_text(GKeyFile *file, const char *section, const char *key, char *text,
    size_t size)
{
	char *value = g_key_file_get_string(file, section, key, NULL);

	if (value != NULL)
		(void)g_strlcpy(text, value, size);
	g_free(value);
}

static bool
check_keys(GKeyFile *file, const char *section)
{
	char **keys = g_key_file_get_keys(file, section, NULL, NULL);
	bool known = true;

	for (size_t i = 0; keys[i] != NULL; i++) {
		if (!is_known_key(keys[i]))
			known = report_error(section, keys[i], "unknown key");
	}
	g_strfreev(keys);
	return known;
}

static bool
read_numbers(GKeyFile *file, const char *section, load_group_t *group)
{
	bool valid = true;

	for (size_t i = 0; i < G_N_ELEMENTS(number_keys); i++) {
		double *value =
		    (double *)(void *)((char *)group + number_keys[i].offset);

		*value = number_keys[i].fallback;
		valid = read_number(file, section, number_keys[i].key, value) &&
		    valid;
	}
	return valid;
}

static bool
parse_group(GKeyFile *file, const char *section, load_group_t *group)
{
	char kind[16] = "model";
	bool valid;

	valid = check_keys(file, section);
	valid = read_numbers(file, section, group) && valid;
	valid = read_flag(file, section, "stream", &group->stream) && valid;
	valid =
	    read_flag(file, section, "idempotent", &group->idempotent) && valid;
	valid = read_time(file, section, "first_token_ms",
		    &group->first_token_limit) &&
	    valid;
	valid =
	    read_time(file, section, "token_gap_ms", &group->token_gap_limit) &&
	    valid;
	valid =
	    read_time(file, section, "whole_ms", &group->total_limit) && valid;
	read_text(file, section, "key", group->key, sizeof(group->key));
	read_text(file, section, "model", group->model, sizeof(group->model));
	read_text(file, section, "kind", kind, sizeof(kind));
	group->service = strcmp(kind, "service") == 0;
	if (!group->service && strcmp(kind, "model") != 0)
		return report_error(
		    section, "kind", "model or service is allowed");
	return valid;
}

static bool
parse_groups(GKeyFile *file, load_mix_t *mix, const load_group_t *defaults)
{
	char **sections = g_key_file_get_groups(file, NULL);
	bool valid = true;

	for (size_t i = 0; sections[i] != NULL; i++) {
		load_group_t group = *defaults;

		if (!g_str_has_prefix(sections[i], "entry ")) {
			valid = report_error(
			    sections[i], "", "only [entry NAME] is allowed");
			continue;
		}
		(void)g_strlcpy(group.name, sections[i] + strlen("entry "),
		    sizeof(group.name));
		valid = parse_group(file, sections[i], &group) && valid;
		mix->share_sum += group.share;
		g_array_append_val(mix->groups, group);
	}
	if (mix->share_sum <= 0)
		valid =
		    report_error("entry NAME", "share", "no group has a share");
	g_strfreev(sections);
	return valid;
}

load_mix_t *
load_mix_read(const char *path, const load_group_t *defaults)
{
	GKeyFile *file = g_key_file_new();
	load_mix_t *mix = g_new0(load_mix_t, 1);
	GError *error = NULL;
	bool valid;

	mix->groups = g_array_new(FALSE, TRUE, sizeof(load_group_t));
	valid = g_key_file_load_from_file(file, path, G_KEY_FILE_NONE, &error);
	if (valid) {
		valid = parse_groups(file, mix, defaults);
	} else {
		(void)fprintf(
		    stderr, "dff-load: %s: %s\n", path, error->message);
		g_error_free(error);
	}
	g_key_file_free(file);
	if (valid)
		return mix;
	load_mix_drop(mix);
	return NULL;
}

void
load_mix_drop(load_mix_t *mix)
{
	if (mix == NULL)
		return;
	g_array_unref(mix->groups);
	g_free(mix);
}

const load_group_t *
load_mix_groups(const load_mix_t *mix, uint32_t *count)
{
	*count = mix->groups->len;
	return (const load_group_t *)mix->groups->data;
}

/* Draw from the standard normal distribution by the Box-Muller transform. */
static double
draw_normal(dff_ctx_t *ctx)
{
	double radius = sqrt(-2 * log(1 - dff_rand_unit(ctx)));

	return radius * cos(2 * G_PI * dff_rand_unit(ctx));
}

static double
draw_size(dff_ctx_t *ctx, double median, double sigma, double max)
{
	double size = median * exp(sigma * draw_normal(ctx));

	return CLAMP(size, 1, max);
}

static uint32_t
draw_group(dff_ctx_t *ctx, const load_mix_t *mix)
{
	double point = dff_rand_unit(ctx) * mix->share_sum;
	uint32_t i;

	for (i = 0; i + 1 < mix->groups->len; i++) {
		point -= g_array_index(mix->groups, load_group_t, i).share;
		if (point < 0)
			break;
	}
	return i;
}

void
load_mix_draw(dff_ctx_t *ctx, const load_mix_t *mix, load_draw_t *draw)
{
	const load_group_t *group;

	draw->group = draw_group(ctx, mix);
	group = &g_array_index(mix->groups, load_group_t, draw->group);
	draw->prompt_bytes = (uint32_t)(DFF_BYTES_PER_TOKEN *
	    draw_size(ctx, group->prompt_tokens, group->prompt_sigma,
		group->prompt_max));
	draw->max_tokens = (uint32_t)draw_size(
	    ctx, group->output_tokens, group->output_sigma, group->output_max);
	draw->prefix = dff_rand_below(ctx, (uint32_t)group->prefix_count);
	draw->serial = dff_rand_u64(ctx);
}

/* Fill @text up to @len bytes: first @number in hexadecimal, then filler. */
static void
append_filler(GString *text, size_t len, uint64_t number)
{
	g_string_append_printf(text, "%016llx ", (unsigned long long)number);
	while (text->len < len)
		g_string_append(text, FILLER_TEXT);
	g_string_truncate(text, len);
}

char *
load_mix_prompt(
    const load_mix_t *mix, const load_draw_t *draw, load_side_t side)
{
	const load_group_t *group =
	    &g_array_index(mix->groups, load_group_t, draw->group);
	GString *text = g_string_sized_new(draw->prompt_bytes + 64);
	size_t prefix_bytes = 0;

	/* The prefixes differ between the sides: a shared one would be cached
	 * by requests of the other side. */
	if (group->prefix_count >= 1) {
		prefix_bytes =
		    (size_t)(group->prefix_share * (double)draw->prompt_bytes);
		append_filler(text, prefix_bytes,
		    (uint64_t)draw->prefix << 8 | (uint64_t)side);
	}
	append_filler(text, draw->prompt_bytes, draw->serial ^ (uint64_t)side);
	return g_string_free(text, FALSE);
}
