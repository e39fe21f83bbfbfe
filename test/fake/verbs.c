/*
 * What each verb of the scenario language does.
 */
#include "verbs.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* ---- words and values ---- */

static const char *
word(const step_t *step, int i)
{
	return step->words[i];
}

static const char *
value(const step_t *step, const char *key)
{
	size_t len = strlen(key);

	for (int i = step->count; step->words[i] != NULL; i++) {
		if (strncmp(step->words[i], key, len) == 0 &&
		    step->words[i][len] == '=')
			return step->words[i] + len + 1;
	}
	return NULL;
}

static bool
parse_number(const char *text, double *number)
{
	char *end;

	*number = g_ascii_strtod(text, &end);
	return end != text && *end == '\0';
}

/* A time is a number with "ms" or "s". */
static bool
parse_time(const char *text, dff_time_t *time)
{
	char *end;
	double number = g_ascii_strtod(text, &end);

	if (end == text || number < 0)
		return false;
	if (strcmp(end, "ms") == 0)
		*time = (dff_time_t)(number * (double)DFF_MSEC);
	else if (strcmp(end, "s") == 0)
		*time = (dff_time_t)(number * (double)DFF_SEC);
	else
		return false;
	return true;
}

static int fail(run_t *run, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static int
fail(run_t *run, const char *fmt, ...)
{
	va_list args;

	if (run->error != NULL)
		return -EINVAL;
	va_start(args, fmt);
	run->error = g_strdup_vprintf(fmt, args);
	va_end(args);
	return -EINVAL;
}

static int
get_time(run_t *run, const char *text, dff_time_t *time)
{
	if (text == NULL || parse_time(text, time))
		return 0;
	return fail(run, "\"%s\" is no time, such as 20ms or 5s", text);
}

static int
get_number(run_t *run, const char *text, double *number)
{
	if (text == NULL || parse_number(text, number))
		return 0;
	return fail(run, "\"%s\" is no number", text);
}

static int
get_count(run_t *run, const char *text, uint32_t *count)
{
	double number = *count;

	if (get_number(run, text, &number) < 0)
		return -EINVAL;
	if (number < 0 || number > 1e9)
		return fail(run, "\"%s\" is out of range", text);
	*count = (uint32_t)number;
	return 0;
}

static bool
get_flag(const char *text)
{
	return text != NULL && strcmp(text, "yes") == 0;
}

/* A verb on one name failed because the name is not there. */
static int
named(run_t *run, int err, const step_t *step)
{
	if (err == -ENOENT)
		return fail(run, "there is no \"%s\"", word(step, 1));
	return 0;
}

/* ---- the world ---- */

static int
run_world(run_t *run, const step_t *step)
{
	dff_world_config_t *config = &run->config;
	const char *fencing = value(step, "fencing");

	if (run->world != NULL)
		return fail(run, "the world must come first");
	if (get_count(run, value(step, "seed"), &config->seed) < 0 ||
	    get_count(run, value(step, "domains"), &config->domains) < 0 ||
	    get_count(run, value(step, "entries"), &config->entries) < 0 ||
	    get_count(run, value(step, "engines"), &config->engines) < 0 ||
	    get_count(run, value(step, "services"), &config->services) < 0 ||
	    get_number(run, value(step, "loss"), &config->loss) < 0 ||
	    get_time(run, value(step, "far"), &config->far) < 0 ||
	    get_time(run, value(step, "vm-lag"), &config->vm_lag) < 0 ||
	    get_time(run, value(step, "retention"), &config->log.retention) <
		0 ||
	    get_time(run, value(step, "snapshots"),
		&config->node.snapshot_period) < 0)
		return -EINVAL;
	if (config->domains < 1 || config->domains > 3 || config->entries < 1 ||
	    config->entries > 60)
		return fail(run, "1 to 3 domains, 1 to 60 entries");
	if (fencing != NULL)
		config->engine.check_fence = strcmp(fencing, "checked") == 0;
	config->engine.abort_on_order = get_flag(value(step, "cut-on-order"));
	if (value(step, "placers") != NULL)
		config->placers = get_flag(value(step, "placers"));
	return 0;
}

static int
run_run(run_t *run, const step_t *step)
{
	dff_time_t time = 0;

	if (get_time(run, word(step, 1), &time) < 0)
		return -EINVAL;
	dff_world_run(run->world, dff_world_now(run->world) + time);
	return 0;
}

/* ---- nodes ---- */

static int
run_kill(run_t *run, const step_t *step)
{
	return named(run, dff_world_kill(run->world, word(step, 1)), step);
}

static int
run_restart(run_t *run, const step_t *step)
{
	return named(run, dff_world_restart(run->world, word(step, 1)), step);
}

static int
run_pause(run_t *run, const step_t *step)
{
	(void)dff_world_pause(run->world, word(step, 1));
	return 0;
}

static int
run_pause_at_order(run_t *run, const step_t *step)
{
	(void)dff_world_pause_at_order(run->world, word(step, 1));
	return 0;
}

static int
run_wake(run_t *run, const step_t *step)
{
	(void)dff_world_wake(run->world, word(step, 1));
	return 0;
}

static int
run_stop(run_t *run, const step_t *step)
{
	(void)dff_world_stop(run->world, word(step, 1));
	return 0;
}

/* ---- links ---- */

static int
set_cut(run_t *run, const step_t *step, bool cut)
{
	const char *from = word(step, 1);
	const char *to = word(step, 2);
	bool both = step->count > 3 && strcmp(word(step, 3), "both") == 0;

	if (dff_world_cut(run->world, from, to, cut) < 0 ||
	    (both && dff_world_cut(run->world, to, from, cut) < 0))
		return fail(run, "there is no link %s %s", from, to);
	return 0;
}

static int
run_cut(run_t *run, const step_t *step)
{
	return set_cut(run, step, true);
}

static int
run_mend(run_t *run, const step_t *step)
{
	return set_cut(run, step, false);
}

static int
run_delay(run_t *run, const step_t *step)
{
	dff_time_t time = 0;

	if (get_time(run, word(step, 3), &time) < 0)
		return -EINVAL;
	if (dff_world_delay(run->world, word(step, 1), word(step, 2), time) < 0)
		return fail(run, "there is no such link");
	return 0;
}

static int
run_loss(run_t *run, const step_t *step)
{
	double loss = 0;

	if (get_number(run, word(step, 3), &loss) < 0)
		return -EINVAL;
	if (dff_world_loss(run->world, word(step, 1), word(step, 2), loss) < 0)
		return fail(run, "there is no such link");
	return 0;
}

/* ---- upstreams and platform ---- */

static int
run_crash(run_t *run, const step_t *step)
{
	return named(run, dff_world_crash(run->world, word(step, 1)), step);
}

static int
run_crash_in_change(run_t *run, const step_t *step)
{
	dff_engine_model_t *engine;

	engine = dff_world_engine(run->world, word(step, 1));
	if (engine == NULL)
		return fail(run, "there is no engine \"%s\"", word(step, 1));
	dff_engine_model_crash_next_reconfig(engine);
	return 0;
}

static int
run_outage(run_t *run, const step_t *step)
{
	const char *what = word(step, 1);
	bool all = strcmp(what, "all") == 0;

	if (!all && strcmp(what, "appends") != 0 &&
	    strcmp(what, "reads") != 0 && strcmp(what, "none") != 0)
		return fail(run, "outage of appends, reads, all or none");
	dff_log_model_set_outage(dff_world_log(run->world),
	    all || strcmp(what, "appends") == 0,
	    all || strcmp(what, "reads") == 0);
	return 0;
}

static int
run_slow(run_t *run, const step_t *step)
{
	dff_time_t time = 0;

	if (get_time(run, word(step, 1), &time) < 0)
		return -EINVAL;
	dff_world_slow(run->world, time);
	return 0;
}

static int
run_lose_answers(run_t *run, const step_t *step)
{
	uint32_t count = 0;

	if (get_count(run, word(step, 1), &count) < 0)
		return -EINVAL;
	dff_log_model_lose_answers(dff_world_log(run->world), count);
	return 0;
}

static int
run_delay_appends(run_t *run, const step_t *step)
{
	dff_time_t time = 0;
	uint32_t count = 0;

	if (get_count(run, word(step, 1), &count) < 0 ||
	    get_time(run, word(step, 2), &time) < 0)
		return -EINVAL;
	dff_log_model_delay_appends(dff_world_log(run->world), count, time);
	return 0;
}

static int
run_retention(run_t *run, const step_t *step)
{
	dff_log_model_t *log = dff_world_log(run->world);

	return get_time(
	    run, word(step, 1), &dff_log_model_config(log)->retention);
}

static int
run_vm(run_t *run, const step_t *step)
{
	const char *state = word(step, 2);

	if (strcmp(state, "live") != 0 && strcmp(state, "leaving") != 0 &&
	    strcmp(state, "gone") != 0)
		return fail(run, "a VM is live, leaving or gone");
	(void)dff_world_vm(run->world, word(step, 1), state);
	return 0;
}

static int
run_edit(run_t *run, const step_t *step)
{
	const char *against = value(step, "against");
	uint32_t limit = 100;
	double revision = -1;

	if (get_count(run, value(step, "limit"), &limit) < 0 ||
	    get_number(run, against, &revision) < 0)
		return -EINVAL;
	(void)dff_world_edit(
	    run->world, word(step, 1), (int64_t)revision, limit);
	return 0;
}

static int
run_edit_model(run_t *run, const step_t *step)
{
	(void)dff_world_edit_model(run->world, word(step, 1), word(step, 2));
	return 0;
}

static int
run_garbage(run_t *run, const step_t *step)
{
	for (int i = 0; i < DFF_STREAM_COUNT; i++) {
		if (strcmp(word(step, 1), dff_stream_name((dff_stream_t)i)) !=
		    0)
			continue;
		(void)dff_world_garbage(run->world, (dff_stream_t)i);
		return 0;
	}
	return fail(run, "there is no stream \"%s\"", word(step, 1));
}

/* ---- callers ---- */

static int
read_call(run_t *run, const step_t *step, dff_world_call_t *call)
{
	call->node = value(step, "at");
	call->prompt = value(step, "prompt");
	call->key = value(step, "key");
	call->poison = get_flag(value(step, "poison"));
	call->max_tokens = 20;
	if (get_count(run, value(step, "tokens"), &call->max_tokens) < 0 ||
	    get_count(run, value(step, "resend"), &call->resend) < 0 ||
	    get_time(run, value(step, "patience"), &call->patience) < 0)
		return -EINVAL;
	if (call->node != NULL && !g_ascii_isalpha(call->node[0]))
		return fail(run, "there is no \"%s\"", call->node);
	return 0;
}

static int
run_call(run_t *run, const step_t *step)
{
	dff_world_call_t call = {.entry = word(step, 2)};
	uint32_t number;

	if (read_call(run, step, &call) < 0)
		return -EINVAL;
	if (call.prompt == NULL)
		call.prompt = word(step, 1);
	number = dff_world_call(run->world, &call);
	g_hash_table_insert(
	    run->callers, g_strdup(word(step, 1)), GUINT_TO_POINTER(number));
	return 0;
}

/* Many calls, one after the other; keys and prompts are numbered. */
static int
run_calls(run_t *run, const step_t *step)
{
	uint32_t count = 0;
	dff_time_t every = 100 * DFF_MSEC;

	if (get_count(run, word(step, 1), &count) < 0 ||
	    get_time(run, value(step, "every"), &every) < 0)
		return -EINVAL;
	for (uint32_t i = 0; i < count; i++) {
		dff_world_call_t call = {.entry = word(step, 2)};
		char *name;

		if (read_call(run, step, &call) < 0)
			return -EINVAL;
		name = g_strdup_printf("%s-%s-%u-%u", word(step, 2),
		    call.prompt != NULL ? call.prompt : "", step->line, i);
		call.prompt = name;
		if (call.key != NULL)
			call.key = name;
		(void)dff_world_call(run->world, &call);
		g_free(name);
		dff_world_run(run->world, dff_world_now(run->world) + every);
	}
	return 0;
}

/* ---- expectations ---- */

static bool
is_one_of(const char *text, const char *words)
{
	char **list = g_strsplit(words, "|", -1);
	bool found = g_strv_contains((const char *const *)list, text);

	g_strfreev(list);
	return found;
}

static int
run_expect(run_t *run, const step_t *step)
{
	uint32_t number =
	    GPOINTER_TO_UINT(g_hash_table_lookup(run->callers, word(step, 1)));
	const char *got;

	if (number == 0)
		return fail(run, "there is no caller \"%s\"", word(step, 1));
	got = dff_got_name(dff_world_got(run->world, number));
	if (is_one_of(got, word(step, 2)))
		return 0;
	return fail(run, "%s got %s %s", word(step, 1), got,
	    dff_world_code(run->world, number));
}

/* "N" is exactly N, "<=N" and ">=N" are bounds. */
static int
compare(run_t *run, const char *what, uint32_t found, const char *text)
{
	bool at_most = g_str_has_prefix(text, "<=");
	bool at_least = g_str_has_prefix(text, ">=");
	uint32_t wanted = 0;
	bool good;

	if (get_count(run, text + (at_most || at_least ? 2 : 0), &wanted) < 0)
		return -EINVAL;
	good = at_most ? found <= wanted :
	    at_least   ? found >= wanted :
			 found == wanted;
	return good ? 0 : fail(run, "%s is %u, not %s", what, found, text);
}

static int
run_expect_ran(run_t *run, const step_t *step)
{
	return compare(run, word(step, 1),
	    dff_world_ran(run->world, word(step, 1)), word(step, 2));
}

static int
run_expect_crashes(run_t *run, const step_t *step)
{
	return compare(
	    run, "engines lost", dff_world_crashes(run->world), word(step, 1));
}

static int
run_expect_count(run_t *run, const step_t *step)
{
	for (int got = DFF_GOT_NOTHING_YET; got <= DFF_GOT_HUNG_UP; got++) {
		const char *name = dff_got_name((dff_got_t)got);

		if (strcmp(name, word(step, 1)) != 0)
			continue;
		return compare(run, name,
		    dff_world_count(run->world, (dff_got_t)got), word(step, 2));
	}
	return fail(run, "callers get no \"%s\"", word(step, 1));
}

static int
run_expect_revision(run_t *run, const step_t *step)
{
	const dff_node_t *node = dff_world_node(run->world, word(step, 1));

	if (node == NULL)
		return fail(run, "%s does not run", word(step, 1));
	if (strcmp(word(step, 2), "current") != 0)
		return compare(run, "revision",
		    (uint32_t)dff_node_revision(node), word(step, 2));
	if (dff_node_revision(node) == dff_world_revision(run->world))
		return 0;
	return fail(run, "revision is %u, the log has %u",
	    (uint32_t)dff_node_revision(node),
	    (uint32_t)dff_world_revision(run->world));
}

static int
run_expect_up(run_t *run, const step_t *step)
{
	if (dff_world_up(run->world, word(step, 1)) == get_flag(word(step, 2)))
		return 0;
	return fail(run, "%s does not", word(step, 1));
}

static int
run_expect_engine(run_t *run, const step_t *step)
{
	dff_engine_model_t *engine;
	dff_engine_state_t state;
	const char *model = value(step, "model");
	const char *role = value(step, "role");

	engine = dff_world_engine(run->world, word(step, 1));
	if (engine == NULL)
		return fail(run, "there is no engine \"%s\"", word(step, 1));
	dff_engine_model_state(engine, &state);
	if (model != NULL && strcmp(model, state.model) != 0)
		return fail(run, "%s has model %s", word(step, 1), state.model);
	if (role != NULL && strcmp(role, dff_role_name(state.role)) != 0)
		return fail(run, "%s has role %s", word(step, 1),
		    dff_role_name(state.role));
	return 0;
}

static const verb_t verbs[] = {
    {"world", 0, 0,
	"seed domains entries engines services loss far vm-lag retention "
	"snapshots fencing cut-on-order placers",
	run_world},
    {"run", 1, 1, "", run_run},
    {"kill", 1, 1, "", run_kill},
    {"restart", 1, 1, "", run_restart},
    {"pause", 1, 1, "", run_pause},
    {"pause-at-order", 1, 1, "", run_pause_at_order},
    {"wake", 1, 1, "", run_wake},
    {"stop", 1, 1, "", run_stop},
    {"cut", 2, 3, "", run_cut},
    {"mend", 2, 3, "", run_mend},
    {"delay", 3, 3, "", run_delay},
    {"loss", 3, 3, "", run_loss},
    {"crash", 1, 1, "", run_crash},
    {"crash-in-change", 1, 1, "", run_crash_in_change},
    {"outage", 1, 1, "", run_outage},
    {"slow", 1, 1, "", run_slow},
    {"lose-answers", 1, 1, "", run_lose_answers},
    {"delay-appends", 2, 2, "", run_delay_appends},
    {"retention", 1, 1, "", run_retention},
    {"vm", 2, 2, "", run_vm},
    {"edit", 1, 1, "limit against", run_edit},
    {"edit-model", 2, 2, "", run_edit_model},
    {"garbage", 1, 1, "", run_garbage},
    {"call", 2, 2, "at prompt tokens key poison resend patience", run_call},
    {"calls", 2, 2, "every at prompt tokens key poison resend patience",
	run_calls},
    {"expect", 2, 2, "", run_expect},
    {"expect-ran", 2, 2, "", run_expect_ran},
    {"expect-crashes", 1, 1, "", run_expect_crashes},
    {"expect-count", 2, 2, "", run_expect_count},
    {"expect-revision", 2, 2, "", run_expect_revision},
    {"expect-up", 2, 2, "", run_expect_up},
    {"expect-engine", 1, 1, "model role", run_expect_engine},
};

const verb_t *
verb_find(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(verbs); i++) {
		if (strcmp(verbs[i].name, name) == 0)
			return &verbs[i];
	}
	return NULL;
}
