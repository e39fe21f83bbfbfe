/*
 * Random scenarios and their shrinking.
 */
#include "explore.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

/* Faults in one scenario. */
#define FAULTS_MIN 4
#define FAULTS_MAX 14
/* Time to settle at the end; longer than any bound that is checked. */
#define SETTLE "run 100s\n"

static const char *const entries[] = {"a1", "b1", "c1"};
static const char *const nodes[] = {
    "a1", "b1", "c1", "a1.placer", "b1.placer", "c1.placer"};
static const char *const engines[] = {"e1", "e2", "e3", "e4"};
static const char *const services[] = {"s1", "s2"};
static const char *const places[] = {"a1", "b1", "c1", "a1.placer", "b1.placer",
    "c1.placer", "platform", "e1", "e2", "s1", "*"};
static const char *const streams[] = {"catalogue", "authority", "claims"};
static const char *const outages[] = {"appends", "reads", "all", "none"};
static const char *const states[] = {"leaving", "live"};
static const char *const models[] = {"m1", "m2"};

typedef struct writer {
	GRand *rand;
	GString *text;
	uint32_t count; /* of names given so far */
} writer_t;

typedef void (*write_fn)(writer_t *writer);

static guint32
below(writer_t *writer, guint32 bound)
{
	return (guint32)g_rand_int_range(writer->rand, 0, (gint32)bound);
}

#define PICK(writer, list) list[below((writer), G_N_ELEMENTS(list))]

static void
write_run(writer_t *writer)
{
	static const guint32 ms[] = {3, 20, 100, 400, 1500, 4000, 9000};

	g_string_append_printf(writer->text, "run %ums\n", PICK(writer, ms));
}

static void
write_chat(writer_t *writer)
{
	g_string_append_printf(writer->text,
	    "call c%u chat tokens=%u at=%s resend=%u\n", writer->count++,
	    1 + below(writer, 300), PICK(writer, entries), below(writer, 3));
}

static void
write_chats(writer_t *writer)
{
	g_string_append_printf(writer->text,
	    "calls %u chat tokens=%u every=%ums\n", 1 + below(writer, 10),
	    1 + below(writer, 200), 1 + below(writer, 200));
}

static void
write_pay(writer_t *writer)
{
	guint32 key = below(writer, 4);

	g_string_append_printf(writer->text,
	    "call c%u pay key=k%u prompt=p%u at=%s resend=%u\n",
	    writer->count++, key, key, PICK(writer, entries), below(writer, 3));
}

static void
write_pays(writer_t *writer)
{
	g_string_append_printf(writer->text,
	    "calls %u pay key=yes resend=2 every=%ums\n", 1 + below(writer, 10),
	    1 + below(writer, 200));
}

static void
write_poison(writer_t *writer)
{
	g_string_append_printf(writer->text,
	    "call c%u chat poison=yes prompt=bad%u resend=3\n", writer->count++,
	    below(writer, 2));
}

static void
write_impatient(writer_t *writer)
{
	g_string_append_printf(writer->text,
	    "call c%u chat tokens=300 patience=%ums\n", writer->count++,
	    1 + below(writer, 4000));
}

static void
write_kill(writer_t *writer)
{
	g_string_append_printf(
	    writer->text, "restart %s\n", PICK(writer, nodes));
}

static void
write_down(writer_t *writer)
{
	const char *node = PICK(writer, nodes);

	g_string_append_printf(writer->text, "stop %s\n", node);
}

static void
write_pause(writer_t *writer)
{
	g_string_append_printf(writer->text, "pause %s\n", PICK(writer, nodes));
}

static void
write_pause_at_order(writer_t *writer)
{
	g_string_append_printf(
	    writer->text, "pause-at-order %s\n", nodes[3 + below(writer, 3)]);
}

static void
write_wake(writer_t *writer)
{
	g_string_append_printf(writer->text, "wake %s\n", PICK(writer, nodes));
}

static void
write_cut(writer_t *writer)
{
	const char *from = PICK(writer, nodes);
	const char *to = PICK(writer, places);

	if (strcmp(from, to) == 0)
		return;
	g_string_append_printf(writer->text, "cut %s %s%s\n", from, to,
	    below(writer, 3) > 0 ? " both" : "");
}

static void
write_mend(writer_t *writer)
{
	g_string_append(writer->text, "mend * *\n");
}

static void
write_loss(writer_t *writer)
{
	g_string_append_printf(writer->text, "loss %s * 0.%u\n",
	    PICK(writer, nodes), below(writer, 4));
}

static void
write_crash(writer_t *writer)
{
	g_string_append_printf(
	    writer->text, "crash %s\n", PICK(writer, engines));
}

static void
write_service_crash(writer_t *writer)
{
	g_string_append_printf(
	    writer->text, "crash %s\n", PICK(writer, services));
}

static void
write_crash_in_change(writer_t *writer)
{
	g_string_append_printf(
	    writer->text, "crash-in-change %s\n", PICK(writer, engines));
}

static void
write_outage(writer_t *writer)
{
	g_string_append_printf(
	    writer->text, "outage %s\n", PICK(writer, outages));
}

static void
write_slow(writer_t *writer)
{
	g_string_append_printf(
	    writer->text, "slow %ums\n", below(writer, 3) * 700);
}

static void
write_lose(writer_t *writer)
{
	g_string_append_printf(
	    writer->text, "lose-answers %u\n", 1 + below(writer, 3));
}

static void
write_delay(writer_t *writer)
{
	g_string_append_printf(writer->text, "delay-appends %u %us\n",
	    1 + below(writer, 3), 1 + below(writer, 8));
}

static void
write_vm(writer_t *writer)
{
	bool engine = below(writer, 3) > 0;

	g_string_append_printf(writer->text, "vm %s %s\n",
	    engine ? PICK(writer, engines) : PICK(writer, services),
	    PICK(writer, states));
}

static void
write_edit(writer_t *writer)
{
	g_string_append_printf(writer->text, "edit edit%u limit=%u\n",
	    writer->count++, below(writer, 4) * 30);
}

static void
write_race(writer_t *writer)
{
	g_string_append_printf(writer->text,
	    "edit edit%u limit=40 against=%u\n", below(writer, 4),
	    below(writer, 4));
}

static void
write_edit_model(writer_t *writer)
{
	g_string_append_printf(writer->text, "edit-model edit%u %s\n",
	    writer->count++, PICK(writer, models));
}

static void
write_garbage(writer_t *writer)
{
	g_string_append_printf(
	    writer->text, "garbage %s\n", PICK(writer, streams));
}

/* The same key at two entries at once. */
static void
write_pay_twice(writer_t *writer)
{
	guint32 key = below(writer, 4);

	for (int i = 0; i < 2; i++)
		g_string_append_printf(writer->text,
		    "call c%u pay key=k%u prompt=p%u at=%s resend=1\n",
		    writer->count++, key, key, PICK(writer, entries));
}

static const char *
pick_placer(writer_t *writer)
{
	return nodes[3 + below(writer, 3)];
}

static void
write_placer_restart(writer_t *writer)
{
	g_string_append_printf(
	    writer->text, "restart %s\n", pick_placer(writer));
}

static void
write_placer_pause(writer_t *writer)
{
	g_string_append_printf(writer->text, "pause %s\n", pick_placer(writer));
}

static void
write_placer_wake(writer_t *writer)
{
	g_string_append_printf(writer->text, "wake %s\n", pick_placer(writer));
}

static void
write_placer_cut(writer_t *writer)
{
	const char *placer = pick_placer(writer);

	if (below(writer, 2) == 0)
		g_string_append_printf(
		    writer->text, "cut %s platform both\n", placer);
	else
		g_string_append_printf(writer->text, "cut %s %s%s\n", placer,
		    PICK(writer, engines), below(writer, 2) ? " both" : "");
}

static void
write_long_run(writer_t *writer)
{
	static const guint32 ms[] = {200, 900, 3000, 7000, 12000, 25000};

	g_string_append_printf(writer->text, "run %ums\n", PICK(writer, ms));
}

/* ---- themes ---- */

static const write_fn all_loads[] = {write_chat, write_chat, write_chats,
    write_pay, write_pay, write_pays, write_impatient};
static const write_fn all_faults[] = {write_kill, write_kill, write_down,
    write_pause, write_pause, write_pause_at_order, write_wake, write_wake,
    write_cut, write_cut, write_cut, write_mend, write_loss, write_crash,
    write_service_crash, write_crash_in_change, write_outage, write_outage,
    write_slow, write_lose, write_delay, write_vm, write_edit, write_race,
    write_edit_model, write_edit_model, write_garbage, write_poison};

static const write_fn order_loads[] = {
    write_chat, write_chats, write_chats, write_edit_model, write_edit_model};
static const write_fn order_faults[] = {write_edit_model, write_pause_at_order,
    write_pause_at_order, write_pause_at_order, write_placer_restart,
    write_placer_restart, write_placer_pause, write_placer_wake,
    write_placer_wake, write_placer_cut, write_placer_cut, write_mend,
    write_mend, write_crash, write_crash_in_change, write_outage, write_lose,
    write_delay, write_vm};

static const write_fn claim_loads[] = {
    write_pay, write_pay, write_pays, write_pay_twice, write_pay_twice};
static const write_fn claim_faults[] = {write_kill, write_kill, write_pause,
    write_wake, write_wake, write_cut, write_mend, write_loss,
    write_service_crash, write_outage, write_slow, write_lose, write_lose,
    write_delay, write_delay, write_down};

static const write_fn catalogue_loads[] = {
    write_edit, write_edit, write_race, write_chat};
static const write_fn catalogue_faults[] = {write_race, write_kill, write_kill,
    write_kill, write_pause, write_wake, write_wake, write_cut, write_mend,
    write_outage, write_outage, write_slow, write_lose, write_delay,
    write_garbage, write_long_run};

typedef struct theme {
	const write_fn *loads;
	guint32 load_count;
	const write_fn *faults;
	guint32 fault_count;
	write_fn run;
} theme_t;

#define THEME(name, run)                                                 \
	{                                                                \
		name##_loads, G_N_ELEMENTS(name##_loads), name##_faults, \
		    G_N_ELEMENTS(name##_faults), run                     \
	}

static const theme_t themes[] = {THEME(all, write_run),
    THEME(order, write_long_run), THEME(claim, write_run),
    THEME(catalogue, write_long_run)};

static void
write_world(writer_t *writer)
{
	/* A snapshot must be written well before what it stands for expires,
	 * also over the longest outage made here. */
	bool short_lived = below(writer, 2) == 0;

	g_string_append_printf(writer->text,
	    "world fencing=%s cut-on-order=%s loss=0.0%u retention=%us "
	    "snapshots=%us\n",
	    below(writer, 2) == 0 ? "checked" : "ignored",
	    below(writer, 4) == 0 ? "yes" : "no", below(writer, 3),
	    short_lived ? 300 : 3600, short_lived ? 10 : 60);
	g_string_append(writer->text, "run 10s\n");
}

/* All is mended, so that what was owed must be given now. */
static void
write_settle(writer_t *writer)
{
	g_string_append(writer->text,
	    "mend * *\nloss * * 0\noutage none\nslow 0s\n"
	    "lose-answers 0\ndelay-appends 0 0s\n");
	for (size_t i = 0; i < G_N_ELEMENTS(nodes); i++)
		g_string_append_printf(writer->text, "wake %s\n", nodes[i]);
	g_string_append(writer->text, SETTLE);
}

static void
write_steps(writer_t *writer, const theme_t *theme)
{
	guint32 count = FAULTS_MIN + below(writer, FAULTS_MAX - FAULTS_MIN);

	for (guint32 i = 0; i < count; i++) {
		if (below(writer, 2) == 0)
			theme->loads[below(writer, theme->load_count)](writer);
		theme->faults[below(writer, theme->fault_count)](writer);
		if (below(writer, 3) > 0)
			theme->run(writer);
	}
}

char *
dff_explore_script(uint32_t seed)
{
	writer_t writer = {.rand = g_rand_new_with_seed(seed)};

	writer.text = g_string_new(NULL);
	write_world(&writer);
	write_steps(&writer, &themes[seed % G_N_ELEMENTS(themes)]);
	write_settle(&writer);
	g_rand_free(writer.rand);
	return g_string_free(writer.text, FALSE);
}

static char *
shortest(const dff_scenario_t *scenario, const bool *skip)
{
	GString *text = g_string_new(NULL);

	for (size_t i = 0; i < dff_scenario_lines(scenario); i++) {
		if (!skip[i])
			g_string_append_printf(
			    text, "  %s\n", dff_scenario_line(scenario, i));
	}
	return g_string_free(text, FALSE);
}

/* Leave out line after line for as long as it still fails. */
static char *
shrink(const dff_scenario_t *scenario, uint32_t seed, char *why)
{
	size_t count = dff_scenario_lines(scenario);
	bool *skip = g_new0(bool, count);
	bool shorter = true;
	char *script;
	char *text;

	while (shorter) {
		shorter = false;
		for (size_t i = count; i-- > 1;) {
			char *again;

			if (skip[i])
				continue;
			skip[i] = true;
			again = dff_scenario_run(scenario, seed, skip);
			if (again == NULL) {
				skip[i] = false;
				continue;
			}
			g_free(why);
			why = again;
			shorter = true;
		}
	}
	script = shortest(scenario, skip);
	text = g_strdup_printf("seed %u: %s\n%s", seed, why, script);
	g_free(script);
	g_free(why);
	g_free(skip);
	return text;
}

char *
dff_explore_run(uint32_t seed)
{
	char *script = dff_explore_script(seed);
	char *error;
	dff_scenario_t *scenario;
	char *why;

	scenario = dff_scenario_parse("random", script, &error);
	g_free(script);
	if (scenario == NULL)
		return error;
	why = dff_scenario_run(scenario, seed, NULL);
	if (why != NULL)
		why = shrink(scenario, seed, why);
	dff_scenario_drop(scenario);
	return why;
}
