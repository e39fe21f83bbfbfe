#include "dragonflyfall/program.h"

#include <errno.h>
#include <inttypes.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <glib.h>

#include "net/address.h"

#define DFF_VERSION "0.1.0"

/* Lines with the same sentence that are written in one window. */
#define REPEAT_MAX 10
/* Length of a window. */
#define REPEAT_WINDOW DFF_SEC
/* Most sentences whose rate is tracked at the same time. */
#define REPEAT_SENTENCES 512
/* Exit status after a second signal. */
#define EXIT_SIGNALLED 130

/* Parts whose lines report decisions and are never suppressed. */
static const char *const decision_parts[] = {
    "call", "route", "place", "order", "lease", NULL};

static const char *const level_names = "err|warning|notice|info|debug";

/* Number of lines with one sentence in the current window. */
typedef struct repeat {
	dff_time_t since;
	uint32_t count;
	uint32_t suppressed;
	dff_level_t level;
} repeat_t;

/* State of the process: log output, log level and signals. */
static struct {
	char name[DFF_NAME_MAX];
	dff_level_t level;
	GHashTable *repeats; /* "part: sentence" to repeat_t */
	dff_time_t swept_at;
	uv_signal_t signals[2];
	void (*stop)(void *arg);
	void *stop_arg;
	bool stopping;
} process = {.name = "dff", .level = DFF_LOG_INFO};

/* ---- clocks ---- */

dff_time_t
dff_program_now(void)
{
	struct timespec ts;

	(void)clock_gettime(CLOCK_BOOTTIME, &ts);
	return (dff_time_t)ts.tv_sec * DFF_SEC + ts.tv_nsec / 1000;
}

dff_time_t
dff_program_time_until(dff_time_t at)
{
	/* Reads the clock once; MAX() would read it twice. */
	dff_time_t left = at - dff_program_now();

	return left > 0 ? left : 0;
}

uint64_t
dff_program_wall_ms(void)
{
	struct timespec ts;

	(void)clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

/* ---- log lines ---- */

static void
print_line(dff_level_t level, const char *part, const char *text)
{
	char line[1400];
	int len;

	len = snprintf(line, sizeof(line), "<%d>%s %s: %s\n", (int)level,
	    process.name, part, text);
	if (len >= (int)sizeof(line)) {
		len = sizeof(line) - 1;
		line[len - 1] = '\n';
	}
	/* One write per line, so that lines of several processes do not mix. */
	if (write(STDERR_FILENO, line, (size_t)len) < 0)
		return;
}

static bool
is_decision(const char *part)
{
	for (size_t i = 0; decision_parts[i] != NULL; i++) {
		if (strcmp(part, decision_parts[i]) == 0)
			return true;
	}
	return false;
}

/* The sentence is the text before the first key=value field. */
static char *
repeat_key(const char *part, const char *text)
{
	const char *end;

	end = strchr(text, '=');
	if (end == NULL)
		end = text + strlen(text);
	while (*end != '\0' && end > text && end[-1] != ' ')
		end--;
	return g_strdup_printf("%s: %.*s", part, (int)(end - text), text);
}

static void
report_suppressed(const char *sentence, const repeat_t *repeat)
{
	char text[400];

	if (repeat->suppressed == 0)
		return;
	(void)snprintf(text, sizeof(text),
	    "repeated lines suppressed count=%" PRIu32 " sentence=\"%.300s\"",
	    repeat->suppressed, sentence);
	print_line(repeat->level, "log", text);
}

/* Reports the suppressed lines of ended windows, and removes these. */
static void
sweep_repeats(dff_time_t now)
{
	GHashTableIter iter;
	void *key;
	void *value;

	process.swept_at = now;
	g_hash_table_iter_init(&iter, process.repeats);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const repeat_t *repeat = value;

		if (now - repeat->since < REPEAT_WINDOW)
			continue;
		report_suppressed(key, repeat);
		g_hash_table_iter_remove(&iter);
	}
}

static bool
check_repeat(dff_level_t level, const char *part, const char *text)
{
	dff_time_t now = dff_program_now();
	repeat_t *repeat;
	char *key;

	if (now - process.swept_at >= REPEAT_WINDOW)
		sweep_repeats(now);
	key = repeat_key(part, text);
	repeat = g_hash_table_lookup(process.repeats, key);
	if (repeat == NULL) {
		if (g_hash_table_size(process.repeats) >= REPEAT_SENTENCES) {
			g_free(key);
			return true;
		}
		repeat = g_new0(repeat_t, 1);
		repeat->since = now;
		repeat->level = level;
		g_hash_table_insert(process.repeats, key, repeat);
	} else
		g_free(key);
	repeat->count++;
	if (repeat->count <= REPEAT_MAX)
		return true;
	repeat->suppressed++;
	return false;
}

static void
log_line(void *arg, dff_level_t level, const char *part, const char *text)
{
	(void)arg;
	if (is_decision(part) || check_repeat(level, part, text))
		print_line(level, part, text);
}

dff_ctx_t *
dff_program_ctx(const char *name, uint32_t seed)
{
	(void)snprintf(process.name, sizeof(process.name), "%s", name);
	if (process.repeats == NULL)
		process.repeats = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, g_free);
	return dff_ctx_new(seed, process.level, log_line, NULL);
}

/* ---- settings ---- */

/* Values of the flags, before they are parsed. */
typedef struct flags {
	const dff_setting_t *settings;
	size_t count;
	char **raw; /* one per setting; NULL if the flag is absent */
	char *level;
	gboolean help;
	gboolean version;
	gboolean check;
} flags_t;

static void report_error(const char *fmt, ...)
    __attribute__((format(printf, 1, 2)));

static void
report_error(const char *fmt, ...)
{
	char text[800];
	va_list args;

	va_start(args, fmt);
	(void)vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	print_line(DFF_LOG_ERR, "settings", text);
}

static gboolean
store_flag(const char *name, const char *value, void *data, GError **error)
{
	flags_t *flags = data;

	(void)error;
	while (*name == '-')
		name++;
	for (size_t i = 0; i < flags->count; i++) {
		if (strcmp(name, flags->settings[i].name) != 0)
			continue;
		g_free(flags->raw[i]);
		flags->raw[i] = g_strdup(value != NULL ? value : "true");
		return TRUE;
	}
	return FALSE;
}

static char *
env_name(const char *flag)
{
	char *name;

	name = g_strdup_printf("DFF_%s", flag);
	for (char *c = name; *c != '\0'; c++)
		*c = *c == '-' ? '_' : g_ascii_toupper(*c);
	return name;
}

static const char *
setting_unit(const dff_setting_t *setting)
{
	if (setting->unit != NULL)
		return setting->unit;
	return setting->kind == DFF_SETTING_MSEC ? "ms" : "";
}

/* Text on a setting's allowed values; the caller frees it. */
static char *
describe_allowed(const dff_setting_t *setting)
{
	const char *unit = setting_unit(setting);
	const char *gap = *unit != '\0' ? " " : "";

	switch (setting->kind) {
	case DFF_SETTING_TEXT:
		return g_strdup("a text");
	case DFF_SETTING_ADDR:
		return g_strdup("ip:port");
	case DFF_SETTING_INT:
	case DFF_SETTING_MSEC:
		return g_strdup_printf("a whole number from %.0f to %.0f%s%s",
		    setting->min, setting->max, gap, unit);
	case DFF_SETTING_REAL:
		return g_strdup_printf("a number from %g to %g%s%s",
		    setting->min, setting->max, gap, unit);
	case DFF_SETTING_FLAG:
		return g_strdup("true or false");
	case DFF_SETTING_CHOICE:
		return g_strdup_printf("one of %s", setting->allowed);
	}
	return g_strdup("");
}

static const char *
kind_placeholder(dff_setting_kind_t kind)
{
	switch (kind) {
	case DFF_SETTING_ADDR:
		return "IP:PORT";
	case DFF_SETTING_INT:
		return "N";
	case DFF_SETTING_MSEC:
		return "MS";
	case DFF_SETTING_REAL:
		return "X";
	case DFF_SETTING_FLAG:
		return "BOOL";
	case DFF_SETTING_TEXT:
	case DFF_SETTING_CHOICE:
		return "TEXT";
	}
	return "";
}

static char *
setting_help(const dff_setting_t *setting)
{
	char *allowed = describe_allowed(setting);
	char *env = env_name(setting->name);
	char *help;

	help = g_strdup_printf("%s; %s; %s%s; %s", setting->help, allowed,
	    setting->fallback != NULL ? "default " : "must be given",
	    setting->fallback != NULL && *setting->fallback == '\0' ?
		"none" :
		(setting->fallback != NULL ? setting->fallback : ""),
	    env);
	g_free(allowed);
	g_free(env);
	return help;
}

static int
read_number(const char *text, const dff_setting_t *setting, double *number)
{
	char *end;

	errno = 0;
	*number = g_ascii_strtod(text, &end);
	if (errno != 0 || end == text || *end != '\0' || !isfinite(*number))
		return -EINVAL;
	if (*number < setting->min || *number > setting->max)
		return -ERANGE;
	if (setting->kind != DFF_SETTING_REAL && *number != floor(*number))
		return -EINVAL;
	return 0;
}

static int
read_bool(const char *text, bool *value)
{
	if (strcmp(text, "true") == 0 || strcmp(text, "1") == 0)
		*value = true;
	else if (strcmp(text, "false") == 0 || strcmp(text, "0") == 0)
		*value = false;
	else
		return -EINVAL;
	return 0;
}

static bool
is_allowed(const char *text, const char *allowed)
{
	char **choices = g_strsplit(allowed, "|", -1);
	bool found = g_strv_contains((const char *const *)choices, text);

	g_strfreev(choices);
	return found;
}

static void
store_text(const dff_setting_t *setting, const char *text)
{
	char **value = setting->value;

	g_free(*value);
	*value = g_strdup(text);
}

static int
store_setting(const dff_setting_t *setting, const char *text)
{
	struct sockaddr_storage addr;
	double number = 0;
	int err;

	switch (setting->kind) {
	case DFF_SETTING_ADDR:
		/* An empty default means that the setting is optional. */
		if (*text != '\0' && dff_address_parse(text, &addr) < 0)
			return -EINVAL;
		store_text(setting, text);
		return 0;
	case DFF_SETTING_CHOICE:
		if (!is_allowed(text, setting->allowed))
			return -EINVAL;
		store_text(setting, text);
		return 0;
	case DFF_SETTING_TEXT:
		store_text(setting, text);
		return 0;
	case DFF_SETTING_FLAG:
		return read_bool(text, setting->value);
	case DFF_SETTING_INT:
	case DFF_SETTING_MSEC:
	case DFF_SETTING_REAL:
		break;
	}
	err = read_number(text, setting, &number);
	if (err < 0)
		return err;
	if (setting->kind == DFF_SETTING_INT)
		*(int64_t *)setting->value = (int64_t)number;
	else if (setting->kind == DFF_SETTING_MSEC)
		*(dff_time_t *)setting->value = (dff_time_t)number * DFF_MSEC;
	else
		*(double *)setting->value = number;
	return 0;
}

static int
load_setting(const dff_setting_t *setting, const char *raw)
{
	char *env = env_name(setting->name);
	const char *text = raw;
	char *allowed;
	int err = 0;

	if (text == NULL)
		text = getenv(env);
	if (text == NULL)
		text = setting->fallback;
	allowed = describe_allowed(setting);
	if (text == NULL) {
		report_error("flag --%s (or %s) is missing, allowed: %s",
		    setting->name, env, allowed);
		err = -EINVAL;
	} else if (store_setting(setting, text) < 0) {
		report_error("flag --%s (or %s) has value \"%s\", allowed: %s",
		    setting->name, env, text, allowed);
		err = -EINVAL;
	}
	g_free(allowed);
	g_free(env);
	return err;
}

static int
load_level(const char *raw)
{
	static const dff_level_t levels[] = {DFF_LOG_ERR, DFF_LOG_WARNING,
	    DFF_LOG_NOTICE, DFF_LOG_INFO, DFF_LOG_DEBUG};
	char **choices;
	char *name = NULL;
	const dff_setting_t setting = {.name = "log-level",
	    .kind = DFF_SETTING_CHOICE,
	    .value = &name,
	    .fallback = "info",
	    .allowed = level_names};

	if (load_setting(&setting, raw) < 0)
		return -EINVAL;
	choices = g_strsplit(level_names, "|", -1);
	for (size_t i = 0; choices[i] != NULL; i++) {
		if (strcmp(choices[i], name) == 0)
			process.level = levels[i];
	}
	g_strfreev(choices);
	g_free(name);
	return 0;
}

static int
load_all(const flags_t *flags)
{
	int err;

	err = load_level(flags->level);
	for (size_t i = 0; i < flags->count; i++) {
		if (load_setting(&flags->settings[i], flags->raw[i]) < 0)
			err = -EINVAL;
	}
	return err;
}

/* One option per setting; @texts owns the help texts. */
static GOptionEntry *
make_entries(const flags_t *flags, GPtrArray *texts)
{
	GOptionEntry *entries = g_new0(GOptionEntry, flags->count + 1);

	for (size_t i = 0; i < flags->count; i++) {
		const dff_setting_t *setting = &flags->settings[i];
		char *help = setting_help(setting);

		g_ptr_array_add(texts, help);
		entries[i].long_name = setting->name;
		entries[i].arg = G_OPTION_ARG_CALLBACK;
		entries[i].arg_data = (void *)store_flag;
		entries[i].description = help;
		entries[i].arg_description = kind_placeholder(setting->kind);
		if (setting->kind == DFF_SETTING_FLAG)
			entries[i].flags = G_OPTION_FLAG_OPTIONAL_ARG;
	}
	return entries;
}

static GOptionContext *
make_context(const char *summary, flags_t *flags, GPtrArray *texts)
{
	GOptionEntry common[] = {
	    {"log-level", 0, 0, G_OPTION_ARG_STRING, &flags->level,
		"least severe lines logged; one of "
		"err|warning|notice|info|debug; default info; DFF_LOG_LEVEL",
		"TEXT"},
	    {"check", 0, 0, G_OPTION_ARG_NONE, &flags->check,
		"check the settings and exit", NULL},
	    {"version", 0, 0, G_OPTION_ARG_NONE, &flags->version,
		"print the version and exit", NULL},
	    {"help", 'h', 0, G_OPTION_ARG_NONE, &flags->help,
		"print this help and exit", NULL},
	    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};
	GOptionContext *context = g_option_context_new(NULL);
	GOptionEntry *entries = make_entries(flags, texts);
	GOptionGroup *group;

	group = g_option_group_new("main", "", "", flags, NULL);
	g_option_group_add_entries(group, entries);
	g_option_group_add_entries(group, common);
	g_option_context_set_main_group(context, group);
	g_option_context_set_help_enabled(context, FALSE);
	g_option_context_set_summary(context, summary);
	g_free(entries);
	return context;
}

static void
name_process(const char *arg)
{
	char *base = g_path_get_basename(arg);

	(void)snprintf(process.name, sizeof(process.name), "%s", base);
	g_free(base);
}

static int
run_context(GOptionContext *context, flags_t *flags, int *argc, char ***argv)
{
	GError *error = NULL;
	char *help;

	if (!g_option_context_parse(context, argc, argv, &error)) {
		report_error("%s; --help lists the flags", error->message);
		g_error_free(error);
		return -EINVAL;
	}
	if (flags->help) {
		help = g_option_context_get_help(context, TRUE, NULL);
		(void)fputs(help, stdout);
		g_free(help);
		return 1;
	}
	if (flags->version) {
		(void)printf("%s %s\n", process.name, DFF_VERSION);
		return 1;
	}
	if (load_all(flags) < 0)
		return -EINVAL;
	if (flags->check) {
		(void)printf("%s: the settings are valid\n", process.name);
		return 1;
	}
	return 0;
}

int
dff_settings_load(
    const char *summary, const dff_setting_t *settings, int *argc, char ***argv)
{
	GPtrArray *texts = g_ptr_array_new_with_free_func(g_free);
	flags_t flags = {.settings = settings};
	GOptionContext *context;
	int rc;

	if (*argc > 0)
		name_process((*argv)[0]);
	while (settings[flags.count].name != NULL)
		flags.count++;
	flags.raw = g_new0(char *, flags.count + 1);
	context = make_context(summary, &flags, texts);
	rc = run_context(context, &flags, argc, argv);
	g_option_context_free(context);
	for (size_t i = 0; i < flags.count; i++)
		g_free(flags.raw[i]);
	g_free(flags.raw);
	g_free(flags.level);
	g_ptr_array_unref(texts);
	return rc;
}

void
dff_settings_drop(const dff_setting_t *settings)
{
	for (; settings->name != NULL; settings++) {
		if (settings->kind != DFF_SETTING_TEXT &&
		    settings->kind != DFF_SETTING_ADDR &&
		    settings->kind != DFF_SETTING_CHOICE)
			continue;
		g_free(*(char **)settings->value);
		*(char **)settings->value = NULL;
	}
}

/* ---- signals ---- */

static void
on_signal(uv_signal_t *handle, int signum)
{
	(void)handle;
	(void)signum;
	if (process.stopping)
		_exit(EXIT_SIGNALLED);
	process.stopping = true;
	process.stop(process.stop_arg);
}

int
dff_program_on_stop(uv_loop_t *loop, void (*stop)(void *arg), void *arg)
{
	static const int signums[] = {SIGTERM, SIGINT};
	int err;

	process.stop = stop;
	process.stop_arg = arg;
	process.stopping = false;
	if (signal(SIGPIPE, SIG_IGN) == SIG_ERR)
		return -errno;
	for (size_t i = 0; i < G_N_ELEMENTS(signums); i++) {
		err = uv_signal_init(loop, &process.signals[i]);
		if (err < 0)
			return err;
		/* A signal handle alone must not keep the loop running. */
		uv_unref((uv_handle_t *)&process.signals[i]);
		err =
		    uv_signal_start(&process.signals[i], on_signal, signums[i]);
		if (err < 0)
			return err;
	}
	return 0;
}
