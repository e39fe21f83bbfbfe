/*
 * Slopes behind docs/CAPACITY.md: the reducers of a whole fleet in virtual
 * time, told of a VM list, load reports and a quiet log, with frames carried
 * between them. Prints, for each fleet size, what control costs a node in
 * processor time, bytes and memory, and what a call adds.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "dragonflyfall/node.h"
#include "proto/dragonflyfall.pb-c.h"

/* One step of virtual time. */
#define TICK (20 * DFF_MSEC)
/* Virtual time before measuring, so that membership has settled. */
#define SETTLE (12 * DFF_SEC)
/* Virtual time that is measured. */
#define MEASURED (20 * DFF_SEC)
/* Time between two load reports of an upstream. */
#define REPORT_EVERY (500 * DFF_MSEC)
/* Time between two answered reads of a quiet stream. */
#define HEAD_EVERY (1 * DFF_SEC)
/* Time between two reads of the VM list. */
#define VMS_EVERY (500 * DFF_MSEC)
/* Time to the first token of a call, and until its answer ends. */
#define FIRST_TIME (100 * DFF_MSEC)
#define CALL_TIME  (3 * DFF_SEC)
/* Tokens of each answer, and how they come: one, then equal parts. */
#define CALL_TOKENS 128
#define CALL_PARTS  29
/* Calls a second at one node at the size of the users' letter. */
#define CALLS_PER_S 10.6
/* Budget of one node for control, from the users' letter. */
#define BUDGET_CORE   0.022
#define BUDGET_BYTES  (20 * 1024)
#define BUDGET_MEMORY (128.0 * 1024 * 1024)

/** struct size - one fleet size */
typedef struct size {
	int nodes;
	int domains;
	int pools;
	int engines;
	int owners;
} fleet_size_t;

/* The same shape at each size; the last one is that of the letter. */
static const fleet_size_t sizes[] = {
    {9, 3, 2, 24, 24},
    {34, 5, 4, 240, 250},
    {136, 10, 8, 960, 1000},
    {340, 19, 12, 2400, 2500},
};

/** struct running - a call under way */
typedef struct running {
	uint64_t attempt;
	uint32_t given;
	uint32_t parts;
	dff_time_t next;
} running_t;

/** struct fake - one node and what surrounds it */
typedef struct fake {
	dff_ctx_t *ctx;
	dff_node_t *node;
	dff_effects_t *fx;
	dff_time_t wake_at;
	GHashTable *watched;
	GArray *running;
	GPtrArray *inbox;
	double calls_owed;
	uint64_t calls;
	uint64_t refused;
	char code[64]; /* of the last refusal */
} fake_t;

/** struct letter - a frame under way */
typedef struct letter {
	char from[DFF_NAME_MAX];
	GBytes *data;
} letter_t;

/** struct fleet - all of them */
typedef struct fleet {
	const fleet_size_t *size;
	fake_t *fakes;
	GHashTable *by_id;
	dff_vm_t *vms;
	size_t vm_count;
	uint8_t *record;
	size_t record_len;
	dff_time_t now;
	double call_rate;
	uint64_t next_call;
} fleet_t;

static double
cpu_seconds(void)
{
	struct timespec ts;

	(void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static double
heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)info.uordblks + (double)info.hblkhd;
}

static void
letter_free(void *arg)
{
	letter_t *letter = arg;

	g_bytes_unref(letter->data);
	g_free(letter);
}

static void
carry(fleet_t *fleet, fake_t *fake, const char *id, const dff_effect_t *effect)
{
	running_t running;
	letter_t *letter;
	fake_t *to;

	switch (effect->type) {
	case DFF_FX_WAKE_AT:
		fake->wake_at = effect->u.wake_at.at;
		return;
	case DFF_FX_PEER_SEND:
		to =
		    g_hash_table_lookup(fleet->by_id, effect->u.peer_send.peer);
		if (to == NULL)
			return;
		letter = g_new0(letter_t, 1);
		(void)dff_name_copy(letter->from, id);
		letter->data = g_bytes_new(
		    effect->u.peer_send.data, effect->u.peer_send.len);
		g_ptr_array_add(to->inbox, letter);
		return;
	case DFF_FX_ENGINE_WATCH:
		if (effect->u.engine_watch.enabled)
			g_hash_table_add(
			    fake->watched, g_strdup(effect->u.engine_watch.vm));
		else
			g_hash_table_remove(
			    fake->watched, effect->u.engine_watch.vm);
		return;
	case DFF_FX_ATTEMPT_START:
		running.attempt = effect->u.attempt_start.attempt;
		running.given = 0;
		running.parts = 0;
		running.next = fleet->now + FIRST_TIME;
		g_array_append_val(fake->running, running);
		return;
	case DFF_FX_CALL_REFUSE:
		fake->refused++;
		(void)g_strlcpy(
		    fake->code, effect->u.call_refuse.code, sizeof(fake->code));
		return;
	default:
		return;
	}
}

static void
feed(fleet_t *fleet, int index, const dff_event_t *event)
{
	fake_t *fake = &fleet->fakes[index];

	dff_effects_clear(fake->fx);
	(void)dff_node_step(fake->ctx, fake->node, event, fleet->now, fake->fx);
	for (size_t i = 0; i < dff_effects_count(fake->fx); i++)
		carry(fleet, fake, fleet->vms[index].id,
		    dff_effects_at(fake->fx, i));
}

static void
feed_report(fleet_t *fleet, int index, const char *vm)
{
	dff_event_t event = {.type = DFF_EV_ENGINE_REPORT};
	dff_ev_engine_report_t *report = &event.u.engine_report;

	report->vm = vm;
	report->incarnation = 1;
	report->sampled_at = fleet->now - 100 * DFF_MSEC;
	report->model = "m";
	report->version = 1;
	report->running = 5;
	report->free_pieces = 800;
	report->total_pieces = 1000;
	report->token_us = 20000;
	report->prefill_us = 50;
	feed(fleet, index, &event);
}

static void
feed_reports(fleet_t *fleet, int index)
{
	GHashTableIter iter;
	GPtrArray *names;
	void *name;

	/* A copy: a report may change what is watched. */
	names = g_ptr_array_new_with_free_func(g_free);
	g_hash_table_iter_init(&iter, fleet->fakes[index].watched);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		g_ptr_array_add(names, g_strdup(name));
	for (guint i = 0; i < names->len; i++)
		feed_report(fleet, index, g_ptr_array_index(names, i));
	g_ptr_array_unref(names);
}

static void
feed_heads(fleet_t *fleet, int index)
{
	dff_event_t event = {.type = DFF_EV_LOG_HEAD};

	for (int i = 0; i < DFF_STREAM_COUNT; i++) {
		event.u.log_head.stream = (dff_stream_t)i;
		event.u.log_head.first = 1;
		event.u.log_head.next = i == DFF_STREAM_CATALOGUE ? 2 : 1;
		event.u.log_head.sent_at = fleet->now;
		feed(fleet, index, &event);
	}
}

static void
feed_vms(fleet_t *fleet, int index)
{
	dff_event_t event = {.type = DFF_EV_VM_LIST};

	event.u.vm_list.vms = fleet->vms;
	event.u.vm_list.count = fleet->vm_count;
	feed(fleet, index, &event);
}

static void
feed_inbox(fleet_t *fleet, int index)
{
	fake_t *fake = &fleet->fakes[index];
	GPtrArray *inbox = fake->inbox;

	fake->inbox = g_ptr_array_new_with_free_func(letter_free);
	for (guint i = 0; i < inbox->len; i++) {
		const letter_t *letter = g_ptr_array_index(inbox, i);
		dff_event_t event = {.type = DFF_EV_PEER_FRAME};

		event.u.peer.id = letter->from;
		event.u.peer.data =
		    g_bytes_get_data(letter->data, &event.u.peer.len);
		feed(fleet, index, &event);
	}
	g_ptr_array_unref(inbox);
}

static void
open_call(fleet_t *fleet, int index)
{
	dff_event_t event = {.type = DFF_EV_CALL_OPEN};
	dff_ev_call_open_t *call = &event.u.call_open;
	uint64_t prefix[16];
	char entry[32];
	char secret[32];
	uint32_t owner;

	owner =
	    (uint32_t)(fleet->next_call * 7919 % (uint64_t)fleet->size->owners);
	(void)snprintf(entry, sizeof(entry), "entry-%u", owner);
	(void)snprintf(secret, sizeof(secret), "key-%u", owner);
	for (size_t i = 0; i < G_N_ELEMENTS(prefix); i++)
		prefix[i] = dff_hash(&owner, sizeof(owner), i);
	call->call = ++fleet->next_call;
	call->kind = DFF_CALL_MODEL;
	call->secret = secret;
	call->entry = entry;
	call->idem_key = "";
	call->prompt_len = 16 * DFF_PREFIX_BLOCK_BYTES;
	call->max_tokens = CALL_TOKENS;
	call->body_hash = fleet->next_call;
	call->prefix = prefix;
	call->prefix_count = G_N_ELEMENTS(prefix);
	fleet->fakes[index].calls++;
	feed(fleet, index, &event);
}

/* The next tokens of a running call; true once its answer has ended. */
static bool
go_on(fleet_t *fleet, int index, running_t *running)
{
	static const char text[CALL_TOKENS] = {'x'};
	dff_event_t event = {.type = DFF_EV_ATTEMPT_TOKENS};
	dff_ev_attempt_tokens_t *tokens = &event.u.attempt_tokens;

	tokens->attempt = running->attempt;
	tokens->first = running->given;
	tokens->count = 1 + running->parts * (CALL_TOKENS - 1) / CALL_PARTS -
	    running->given;
	tokens->text = text;
	tokens->len = tokens->count;
	running->given += tokens->count;
	running->next += (CALL_TIME - FIRST_TIME) / CALL_PARTS;
	if (tokens->count > 0)
		feed(fleet, index, &event);
	if (running->parts++ < CALL_PARTS)
		return false;
	memset(&event, 0, sizeof(event));
	event.type = DFF_EV_ATTEMPT_END;
	event.u.attempt_end.attempt = running->attempt;
	event.u.attempt_end.prompt_tokens = 1024;
	event.u.attempt_end.output_tokens = running->given;
	feed(fleet, index, &event);
	return true;
}

static void
run_calls(fleet_t *fleet, int index)
{
	fake_t *fake = &fleet->fakes[index];

	for (guint i = 0; i < fake->running->len;) {
		running_t running = g_array_index(fake->running, running_t, i);

		if (running.next > fleet->now) {
			i++;
		} else if (go_on(fleet, index, &running)) {
			g_array_remove_index_fast(fake->running, i);
		} else {
			g_array_index(fake->running, running_t, i) = running;
			i++;
		}
	}
}

static void
step_node(fleet_t *fleet, int index)
{
	fake_t *fake = &fleet->fakes[index];
	/* Nodes do not act in step. */
	dff_time_t phase = fleet->now + index * 7 * TICK;

	feed_inbox(fleet, index);
	if (fake->wake_at <= fleet->now) {
		dff_event_t wake = {.type = DFF_EV_WAKE};

		fake->wake_at = DFF_TIME_NEVER;
		feed(fleet, index, &wake);
	}
	if (phase % HEAD_EVERY < TICK)
		feed_heads(fleet, index);
	if (phase % VMS_EVERY < TICK)
		feed_vms(fleet, index);
	if (phase % REPORT_EVERY < TICK)
		feed_reports(fleet, index);
	run_calls(fleet, index);
	fake->calls_owed += fleet->call_rate * (double)TICK / (double)DFF_SEC;
	while (fake->calls_owed >= 1) {
		fake->calls_owed -= 1;
		open_call(fleet, index);
	}
}

static void
run_for(fleet_t *fleet, dff_time_t length)
{
	dff_time_t until = fleet->now + length;

	while (fleet->now < until) {
		fleet->now += TICK;
		for (int i = 0; i < fleet->size->nodes; i++)
			step_node(fleet, i);
	}
}

static char *
catalogue_text(const fleet_size_t *size)
{
	GString *text = g_string_new("[dragonflyfall]\nformat=1\n"
				     "[class c]\nfirst_token_ms=430\n"
				     "token_gap_ms=27\nwhole_ms=20000\n"
				     "priority=0\n");

	for (int i = 0; i < size->pools; i++)
		g_string_append_printf(text,
		    "[pool pool-%d]\nkind=engine\nmodel=m\nversion=1\n"
		    "fencing=checked\n",
		    i);
	for (int i = 0; i < size->owners; i++) {
		char *secret = g_strdup_printf("key-%d", i);
		char *sha = g_compute_checksum_for_string(
		    G_CHECKSUM_SHA256, secret, -1);

		g_string_append_printf(text,
		    "[owner owner-%d]\nsecret_sha256=%s\nweight=1\n"
		    "max_running=100\n"
		    "[entry entry-%d]\nowner=owner-%d\nclass=c\n"
		    "pool=pool-%d\nmax_prompt_tokens=8000\n"
		    "max_output_tokens=1000\n",
		    i, sha, i, i, i % size->pools);
		g_free(secret);
		g_free(sha);
	}
	return g_string_free(text, FALSE);
}

static void
make_record(fleet_t *fleet)
{
	Dff__CatalogueEdit edit = DFF__CATALOGUE_EDIT__INIT;
	Dff__Record record = DFF__RECORD__INIT;
	char id[] = "edit";

	edit.edit_id = id;
	edit.text = catalogue_text(fleet->size);
	record.version = 1;
	record.body_case = DFF__RECORD__BODY_EDIT;
	record.edit = &edit;
	fleet->record = g_malloc(dff__record__get_packed_size(&record));
	fleet->record_len = dff__record__pack(&record, fleet->record);
	g_free(edit.text);
}

static void
make_vms(fleet_t *fleet)
{
	const fleet_size_t *size = fleet->size;

	fleet->vm_count = (size_t)(size->nodes + size->engines);
	fleet->vms = g_new0(dff_vm_t, fleet->vm_count);
	for (int i = 0; i < (int)fleet->vm_count; i++) {
		dff_vm_t *vm = &fleet->vms[i];
		int k = i < size->nodes ? i : i - size->nodes;

		vm->kind = i < size->nodes ? DFF_VM_ENTRY : DFF_VM_ENGINE;
		vm->incarnation = 1;
		(void)snprintf(vm->id, sizeof(vm->id), "%s-%d",
		    i < size->nodes ? "entry" : "engine", k);
		(void)snprintf(vm->addr, sizeof(vm->addr), "10.0.%d.%d:1",
		    i / 250, i % 250);
		(void)snprintf(vm->domain, sizeof(vm->domain), "domain-%d",
		    k % size->domains);
		if (i >= size->nodes)
			(void)snprintf(vm->pool, sizeof(vm->pool), "pool-%d",
			    k / size->domains % size->pools);
	}
}

static void
boot_node(fleet_t *fleet, int index)
{
	fake_t *fake = &fleet->fakes[index];
	dff_event_t event = {.type = DFF_EV_START};
	dff_node_config_t config;

	dff_node_defaults(&config);
	(void)dff_name_copy(config.id, fleet->vms[index].id);
	(void)dff_name_copy(config.domain, fleet->vms[index].domain);
	config.incarnation = 1;
	config.serve = true;
	fake->ctx = dff_ctx_new((uint32_t)index, DFF_LOG_ERR, NULL, NULL);
	fake->fx = dff_effects_new();
	fake->watched =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fake->running = g_array_new(FALSE, FALSE, sizeof(running_t));
	fake->inbox = g_ptr_array_new_with_free_func(letter_free);
	fake->node = dff_node_new(fake->ctx, &config);
	feed(fleet, index, &event);
	feed_vms(fleet, index);
	memset(&event, 0, sizeof(event));
	event.type = DFF_EV_LOG_RECORD;
	event.u.log_record.stream = DFF_STREAM_CATALOGUE;
	event.u.log_record.offset = 1;
	event.u.log_record.data = fleet->record;
	event.u.log_record.len = fleet->record_len;
	feed(fleet, index, &event);
	feed_heads(fleet, index);
}

static void
fleet_free(fleet_t *fleet)
{
	for (int i = 0; i < fleet->size->nodes; i++) {
		fake_t *fake = &fleet->fakes[i];

		dff_node_drop(fake->node);
		dff_effects_drop(fake->fx);
		dff_ctx_drop(fake->ctx);
		g_hash_table_unref(fake->watched);
		g_array_unref(fake->running);
		g_ptr_array_unref(fake->inbox);
	}
	g_hash_table_unref(fleet->by_id);
	g_free(fleet->fakes);
	g_free(fleet->vms);
	g_free(fleet->record);
}

/** struct figures - what one run measured, a node */
typedef struct figures {
	double core; /* of one core, control alone */
	double bytes_mean; /* sent to peers a second */
	double bytes_most; /* by the node that sends most */
	double polls_mean; /* load reports read a second */
	double memory; /* bytes a node */
	double call_us; /* processor time that a call adds */
	double refused; /* share of calls refused */
	double edit_ms; /* processor time to take an edit over */
} figures_t;

static uint64_t
bytes_of(const fleet_t *fleet, int index)
{
	return dff_node_counter(fleet->fakes[index].node, DFF_COUNT_BYTES_OUT);
}

static void
measure_quiet(fleet_t *fleet, figures_t *out)
{
	int nodes = fleet->size->nodes;
	double seconds = (double)MEASURED / (double)DFF_SEC;
	uint64_t *before = g_new0(uint64_t, nodes);
	double cpu;

	for (int i = 0; i < nodes; i++)
		before[i] = bytes_of(fleet, i);
	cpu = cpu_seconds();
	run_for(fleet, MEASURED);
	out->core = (cpu_seconds() - cpu) / seconds / nodes;
	for (int i = 0; i < nodes; i++) {
		double rate =
		    (double)(bytes_of(fleet, i) - before[i]) / seconds;

		out->bytes_mean += rate / nodes;
		out->bytes_most = MAX(out->bytes_most, rate);
		out->polls_mean +=
		    (double)g_hash_table_size(fleet->fakes[i].watched) *
		    (double)DFF_SEC / (double)REPORT_EVERY / nodes;
	}
	g_free(before);
}

static void
measure_calls(fleet_t *fleet, figures_t *out)
{
	int nodes = fleet->size->nodes;
	double seconds = (double)MEASURED / (double)DFF_SEC;
	uint64_t *before = g_new0(uint64_t, nodes);
	uint64_t calls = 0;
	uint64_t refused = 0;
	double cpu;

	fleet->call_rate = CALLS_PER_S;
	run_for(fleet, CALL_TIME);
	for (int i = 0; i < nodes; i++) {
		before[i] = bytes_of(fleet, i);
		calls -= fleet->fakes[i].calls;
		refused -= fleet->fakes[i].refused;
	}
	cpu = cpu_seconds();
	run_for(fleet, MEASURED);
	cpu = cpu_seconds() - cpu - out->core * seconds * nodes;
	out->bytes_mean = 0;
	for (int i = 0; i < nodes; i++) {
		double rate =
		    (double)(bytes_of(fleet, i) - before[i]) / seconds;

		calls += fleet->fakes[i].calls;
		refused += fleet->fakes[i].refused;
		out->bytes_mean += rate / nodes;
		out->bytes_most = MAX(out->bytes_most, rate);
	}
	out->call_us = calls > 0 ? cpu * 1e6 / (double)calls : 0;
	out->refused = calls > 0 ? (double)refused / (double)calls : 0;
	g_free(before);
}

static void
measure(const fleet_size_t *size, figures_t *out)
{
	fleet_t fleet = {.size = size, .now = DFF_SEC};
	double heap;
	double cpu;

	memset(out, 0, sizeof(*out));
	fleet.fakes = g_new0(fake_t, size->nodes);
	fleet.by_id = g_hash_table_new(g_str_hash, g_str_equal);
	make_vms(&fleet);
	make_record(&fleet);
	for (int i = 0; i < size->nodes; i++)
		g_hash_table_insert(
		    fleet.by_id, fleet.vms[i].id, &fleet.fakes[i]);
	heap = heap_bytes();
	cpu = cpu_seconds();
	for (int i = 0; i < size->nodes; i++)
		boot_node(&fleet, i);
	out->edit_ms = (cpu_seconds() - cpu) * 1e3 / size->nodes;
	run_for(&fleet, SETTLE);
	measure_quiet(&fleet, out);
	measure_calls(&fleet, out);
	out->memory = (heap_bytes() - heap) / size->nodes;
	fleet_free(&fleet);
}

/* The slope between two sizes, per node added to the fleet. */
static double
slope(double a, double b, int from, int to)
{
	return (b - a) / (double)(to - from);
}

int
main(int argc, char **argv)
{
	figures_t figures[G_N_ELEMENTS(sizes)];
	size_t count = G_N_ELEMENTS(sizes);
	const figures_t *last;
	const figures_t *mid;

	/* "--quick" leaves the largest fleet out; "--small" the next as
	 * well. */
	if (argc > 1 && strcmp(argv[1], "--quick") == 0)
		count--;
	if (argc > 1 && strcmp(argv[1], "--small") == 0)
		count -= 2;
	(void)printf("%6s %7s %7s %7s | %9s %9s %9s %8s %8s %8s %8s %7s\n",
	    "nodes", "domains", "workers", "owners", "core %", "B/s mean",
	    "B/s most", "polls/s", "MB", "us/call", "boot ms", "refused");
	for (size_t i = 0; i < count; i++) {
		const fleet_size_t *size = &sizes[i];
		figures_t *f = &figures[i];

		measure(size, f);
		(void)printf("%6d %7d %7d %7d | %9.3f %9.0f %9.0f %8.1f "
			     "%8.2f %8.1f %8.1f %7.3f\n",
		    size->nodes, size->domains, size->engines, size->owners,
		    f->core * 100, f->bytes_mean, f->bytes_most, f->polls_mean,
		    f->memory / 1048576, f->call_us, f->edit_ms, f->refused);
		(void)fflush(stdout);
	}
	last = &figures[count - 1];
	mid = &figures[count - 2];
	(void)printf("slope per node added: core %.5f %%, %.1f B/s, %.3f MB\n",
	    100 *
		slope(mid->core, last->core, sizes[count - 2].nodes,
		    sizes[count - 1].nodes),
	    slope(mid->bytes_mean, last->bytes_mean, sizes[count - 2].nodes,
		sizes[count - 1].nodes),
	    slope(mid->memory, last->memory, sizes[count - 2].nodes,
		sizes[count - 1].nodes) /
		1048576);
	(void)printf("largest fleet against the budget: core %.2f of %.2f %%, "
		     "bytes %.0f (most %.0f) of %d, memory %.1f of %.0f MB\n",
	    100 * (last->core + last->call_us / 1e6 * CALLS_PER_S),
	    100 * BUDGET_CORE, last->bytes_mean, last->bytes_most, BUDGET_BYTES,
	    last->memory / 1048576, BUDGET_MEMORY / 1048576);
	return 0;
}
