#include "load.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* Bounds of the numbers in a mix file. */
#define NUMBER_MAX 1e7
/* The longest line of a prompt. */
#define WORDS_TEXT "tank 12 water 4.1C oxygen 87 crate weak claws lot "

struct load_mix {
	GArray *kinds; /* load_kind_t */
	double shares;
};

/* One number of a group; the field is a double. */
typedef struct number {
	const char *key;
	size_t offset;
	double fallback;
} number_t;

static const number_t numbers[] = {
    {"share", offsetof(load_kind_t, share), 1},
    {"prompt_tokens", offsetof(load_kind_t, prompt_tokens), 500},
    {"prompt_sigma", offsetof(load_kind_t, prompt_sigma), 0},
    {"prompt_max", offsetof(load_kind_t, prompt_max), 100000},
    {"output_tokens", offsetof(load_kind_t, output_tokens), 50},
    {"output_sigma", offsetof(load_kind_t, output_sigma), 0},
    {"output_max", offsetof(load_kind_t, output_max), 100000},
    {"prefixes", offsetof(load_kind_t, prefixes), 0},
    {"prefix_share", offsetof(load_kind_t, prefix_share), 0.5},
};

static const char *const other_keys[] = {"kind", "key", "model", "stream",
    "idempotent", "first_token_ms", "token_gap_ms", "whole_ms", NULL};

static bool
is_known(const char *key)
{
	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
		if (strcmp(numbers[i].key, key) == 0)
			return true;
	}
	return g_strv_contains(other_keys, key);
}

static bool
complain(const char *group, const char *key, const char *allowed)
{
	(void)fprintf(
	    stderr, "dff-load: mix file: [%s] %s: %s\n", group, key, allowed);
	return false;
}

static bool
read_number(GKeyFile *file, const char *group, const char *key, double *value)
{
	GError *error = NULL;
	double number;

	if (!g_key_file_has_key(file, group, key, NULL))
		return true;
	number = g_key_file_get_double(file, group, key, &error);
	if (error != NULL || !(number >= 0 && number <= NUMBER_MAX)) {
		g_clear_error(&error);
		return complain(
		    group, key, "a number from 0 to 1e7 is allowed");
	}
	*value = number;
	return true;
}

static bool
read_time(GKeyFile *file, const char *group, const char *key, dff_time_t *value)
{
	double ms = -1;

	if (!read_number(file, group, key, &ms))
		return false;
	if (ms >= 0)
		*value = (dff_time_t)(ms * DFF_MSEC);
	return true;
}

static bool
read_flag(GKeyFile *file, const char *group, const char *key, bool *value)
{
	GError *error = NULL;

	if (!g_key_file_has_key(file, group, key, NULL))
		return true;
	*value = g_key_file_get_boolean(file, group, key, &error);
	if (error == NULL)
		return true;
	g_error_free(error);
	return complain(group, key, "true or false is allowed");
}

static void
read_text(
    GKeyFile *file, const char *group, const char *key, char *text, size_t size)
{
	char *value = g_key_file_get_string(file, group, key, NULL);

	if (value != NULL)
		(void)g_strlcpy(text, value, size);
	g_free(value);
}

static bool
check_keys(GKeyFile *file, const char *group)
{
	char **keys = g_key_file_get_keys(file, group, NULL, NULL);
	bool known = true;

	for (size_t i = 0; keys[i] != NULL; i++) {
		if (!is_known(keys[i]))
			known = complain(group, keys[i], "unknown key");
	}
	g_strfreev(keys);
	return known;
}

static bool
read_numbers(GKeyFile *file, const char *group, load_kind_t *kind)
{
	bool sound = true;

	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
		double *value =
		    (double *)(void *)((char *)kind + numbers[i].offset);

		*value = numbers[i].fallback;
		sound =
		    read_number(file, group, numbers[i].key, value) && sound;
	}
	return sound;
}

static bool
read_kind(GKeyFile *file, const char *group, load_kind_t *kind)
{
	char word[16] = "model";
	bool sound;

	sound = check_keys(file, group);
	sound = read_numbers(file, group, kind) && sound;
	sound = read_flag(file, group, "stream", &kind->stream) && sound;
	sound =
	    read_flag(file, group, "idempotent", &kind->idempotent) && sound;
	sound = read_time(file, group, "first_token_ms", &kind->first_token) &&
	    sound;
	sound =
	    read_time(file, group, "token_gap_ms", &kind->token_gap) && sound;
	sound = read_time(file, group, "whole_ms", &kind->whole) && sound;
	read_text(file, group, "key", kind->key, sizeof(kind->key));
	read_text(file, group, "model", kind->model, sizeof(kind->model));
	read_text(file, group, "kind", word, sizeof(word));
	kind->service = strcmp(word, "service") == 0;
	if (!kind->service && strcmp(word, "model") != 0)
		return complain(group, "kind", "model or service is allowed");
	return sound;
}

static bool
read_groups(GKeyFile *file, load_mix_t *mix, const load_kind_t *defaults)
{
	char **groups = g_key_file_get_groups(file, NULL);
	bool sound = true;

	for (size_t i = 0; groups[i] != NULL; i++) {
		load_kind_t kind = *defaults;

		if (!g_str_has_prefix(groups[i], "entry ")) {
			sound = complain(
			    groups[i], "", "only [entry NAME] is allowed");
			continue;
		}
		(void)g_strlcpy(
		    kind.name, groups[i] + strlen("entry "), sizeof(kind.name));
		sound = read_kind(file, groups[i], &kind) && sound;
		mix->shares += kind.share;
		g_array_append_val(mix->kinds, kind);
	}
	if (mix->shares <= 0)
		sound = complain("entry NAME", "share", "no group has a share");
	g_strfreev(groups);
	return sound;
}

load_mix_t *
load_mix_read(const char *path, const load_kind_t *defaults)
{
	GKeyFile *file = g_key_file_new();
	load_mix_t *mix = g_new0(load_mix_t, 1);
	GError *error = NULL;
	bool sound;

	mix->kinds = g_array_new(FALSE, TRUE, sizeof(load_kind_t));
	sound = g_key_file_load_from_file(file, path, G_KEY_FILE_NONE, &error);
	if (sound) {
		sound = read_groups(file, mix, defaults);
	} else {
		(void)fprintf(
		    stderr, "dff-load: %s: %s\n", path, error->message);
		g_error_free(error);
	}
	g_key_file_free(file);
	if (sound)
		return mix;
	load_mix_drop(mix);
	return NULL;
}

void
load_mix_drop(load_mix_t *mix)
{
	if (mix == NULL)
		return;
	g_array_unref(mix->kinds);
	g_free(mix);
}

const load_kind_t *
load_mix_kinds(const load_mix_t *mix, uint32_t *count)
{
	*count = mix->kinds->len;
	return (const load_kind_t *)mix->kinds->data;
}

/* A number with the standard normal distribution (Box and Muller). */
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
draw_kind(dff_ctx_t *ctx, const load_mix_t *mix)
{
	double point = dff_rand_unit(ctx) * mix->shares;
	uint32_t i;

	for (i = 0; i + 1 < mix->kinds->len; i++) {
		point -= g_array_index(mix->kinds, load_kind_t, i).share;
		if (point < 0)
			break;
	}
	return i;
}

void
load_mix_draw(dff_ctx_t *ctx, const load_mix_t *mix, load_draw_t *draw)
{
	const load_kind_t *kind;

	draw->kind = draw_kind(ctx, mix);
	kind = &g_array_index(mix->kinds, load_kind_t, draw->kind);
	draw->prompt_bytes = (uint32_t)(DFF_BYTES_PER_TOKEN *
	    draw_size(ctx, kind->prompt_tokens, kind->prompt_sigma,
		kind->prompt_max));
	draw->max_tokens = (uint32_t)draw_size(
	    ctx, kind->output_tokens, kind->output_sigma, kind->output_max);
	draw->prefix = dff_rand_below(ctx, (uint32_t)kind->prefixes);
	draw->serial = dff_rand_u64(ctx);
}

/* Fill up to @len bytes with words that follow from a number. */
static void
add_words(GString *text, size_t len, uint64_t number)
{
	g_string_append_printf(text, "%016llx ", (unsigned long long)number);
	while (text->len < len)
		g_string_append(text, WORDS_TEXT);
	g_string_truncate(text, len);
}

char *
load_mix_prompt(
    const load_mix_t *mix, const load_draw_t *draw, load_side_t side)
{
	const load_kind_t *kind =
	    &g_array_index(mix->kinds, load_kind_t, draw->kind);
	GString *text = g_string_sized_new(draw->prompt_bytes + 64);
	size_t common = 0;

	/* The sides have other beginnings, or one would warm the other's. */
	if (kind->prefixes >= 1) {
		common =
		    (size_t)(kind->prefix_share * (double)draw->prompt_bytes);
		add_words(
		    text, common, (uint64_t)draw->prefix << 8 | (uint64_t)side);
	}
	add_words(text, draw->prompt_bytes, draw->serial ^ (uint64_t)side);
	return g_string_free(text, FALSE);
}
