/*
 * The invariants, judged by what engines and services received, what
 * callers got, and what the log holds.
 */
#include <inttypes.h>
#include <string.h>

#include "parts.h"
#include "proto/dragonflyfall.pb-c.h"

/* An accepted edit is in force so soon where it can be heard of. */
#define FORCE_TIME (10 * DFF_SEC)
/* A leaving upstream gets no new work after this. */
#define LEAVE_TIME (5 * DFF_SEC)
/* Each caller has its final answer after this, if its entry runs. */
#define ANSWER_TIME (90 * DFF_SEC)

/* ---- orders ---- */

static bool
same_order(
    const dff_engine_journal_entry_t *a, const dff_engine_journal_entry_t *b)
{
	return a->order == b->order && a->kind == b->kind &&
	    strcmp(a->target, b->target) == 0;
}

/*
 * An engine that ignores the number and has forgotten, by a crash, what it
 * accepted may take a late copy of an order again. No sender could prevent
 * that, and it is no other order.
 */
static bool
accepted_before(const upstream_t *up, const dff_engine_journal_entry_t *note)
{
	const dff_engine_journal_entry_t *notes;
	size_t count;

	notes = dff_engine_model_journal(up->engine, &count);
	for (const dff_engine_journal_entry_t *old = notes; old < note; old++) {
		if (old->type == DFF_ENGINE_JOURNAL_ORDER &&
		    old->answer == DFF_ORDER_ACCEPTED && same_order(old, note))
			return true;
	}
	return false;
}

static void
check_order(
    dff_world_t *world, upstream_t *up, const dff_engine_journal_entry_t *note)
{
	if (note->answer == DFF_ORDER_FENCED)
		return;
	/* Where the number is checked, a late copy bounces either way. */
	if (note->repeated && world->config.engine.check_fence)
		return;
	if (up->order_open && !same_order(&up->order, note))
		world_problem(world,
		    "%s got order %" PRIu64 " (%s) while %" PRIu64
		    " (%s) was open",
		    up->place.name, note->order, note->target, up->order.order,
		    up->order.target);
	if (note->answer != DFF_ORDER_ACCEPTED)
		return;
	if (note->fence < up->fence_max && !accepted_before(up, note))
		world_problem(world,
		    "%s took an order of fence %" PRIu64 " after %" PRIu64,
		    up->place.name, note->fence, up->fence_max);
	up->fence_max = MAX(up->fence_max, note->fence);
	if (!note->repeated) {
		up->order_open = true;
		up->order = *note;
	}
}

/* ---- work at upstreams ---- */

static void
check_key(dff_world_t *world, const attempt_t *attempt)
{
	uint32_t ran;

	if (strcmp(attempt->caller->entry, "pay") != 0)
		return;
	ran = attempt->key[0] != '\0' ? dff_world_ran(world, attempt->key) :
					attempt->caller->ran;
	if (ran > 1)
		world_problem(world, "key %s was run %u times by the services",
		    attempt->key, ran);
}

static void
check_leaving(dff_world_t *world, const attempt_t *attempt)
{
	const dff_time_t *told;

	if (attempt->node->epoch != attempt->epoch)
		return;
	told = g_hash_table_lookup(
	    attempt->node->told_leaving, attempt->up->place.name);
	if (told != NULL && attempt->sent > *told + LEAVE_TIME)
		world_problem(world,
		    "%s sent work to %s, told %.1f s before "
		    "that it leaves",
		    attempt->node->place.name, attempt->up->place.name,
		    (double)(attempt->sent - *told) / (double)DFF_SEC);
}

static void
check_work(dff_world_t *world, uint64_t id)
{
	attempt_t *attempt = g_hash_table_lookup(world->attempts, &id);
	caller_t *caller = attempt->caller;

	attempt->ran = true;
	caller->ran++;
	if (caller->over && caller->got == DFF_GOT_REFUSED_NOT_RUN)
		world_problem(world,
		    "caller %u was told not_run, and then it was run at %s",
		    caller->number, attempt->up->place.name);
	check_key(world, attempt);
	check_leaving(world, attempt);
}

static void
check_engine_note(
    dff_world_t *world, upstream_t *up, const dff_engine_journal_entry_t *note)
{
	switch (note->type) {
	case DFF_ENGINE_JOURNAL_ORDER:
		check_order(world, up, note);
		return;
	case DFF_ENGINE_JOURNAL_ORDER_DONE:
	case DFF_ENGINE_JOURNAL_CRASH:
		up->order_open = false;
		return;
	case DFF_ENGINE_JOURNAL_GENERATE:
		check_work(world, note->id);
		return;
	case DFF_ENGINE_JOURNAL_ABORTED:
		world_problem(
		    world, "an order cut a request at %s", up->place.name);
		return;
	}
}

void
check_upstream(dff_world_t *world, upstream_t *up)
{
	size_t count;

	if (up->is_engine) {
		const dff_engine_journal_entry_t *notes;

		notes = dff_engine_model_journal(up->engine, &count);
		while (up->seen < count)
			check_engine_note(world, up, &notes[up->seen++]);
	} else {
		const dff_service_journal_entry_t *notes;

		notes = dff_service_model_journal(up->service, &count);
		while (up->seen < count)
			check_work(world, notes[up->seen++].id);
	}
}

/* ---- catalogue ---- */

static bool
text_sound(dff_world_t *world, const char *text)
{
	dff_problem_t problem;
	dff_catalogue_t *cat = NULL;
	size_t count;
	int err;

	err = dff_catalogue_load(
	    world->ctx, text, strlen(text), &problem, 1, &count, &cat);
	dff_catalogue_drop(cat);
	return err == 0;
}

static void
check_record(dff_world_t *world, const dff_log_entry_t *entry)
{
	Dff__Record *record =
	    dff__record__unpack(NULL, entry->len, entry->data);
	revision_t revision = {.offset = entry->offset, .at = world->now};

	if (record == NULL)
		return;
	if (record->body_case == DFF__RECORD__BODY_EDIT &&
	    g_hash_table_add(
		world->edit_ids, g_strdup(record->edit->edit_id)) &&
	    record->edit->against == world->revision &&
	    text_sound(world, record->edit->text)) {
		world->revision = entry->offset;
		g_array_append_val(world->revisions, revision);
	}
	dff__record__free_unpacked(record, NULL);
}

void
check_log(dff_world_t *world)
{
	dff_log_entry_t entry;

	while (dff_log_model_get(
	    world->log, DFF_STREAM_CATALOGUE, world->edits_seen + 1, &entry)) {
		world->edits_seen++;
		check_record(world, &entry);
	}
}

static bool
was_in_force(const dff_world_t *world, uint64_t offset)
{
	for (guint i = 0; i < world->revisions->len; i++) {
		if (g_array_index(world->revisions, revision_t, i).offset ==
		    offset)
			return true;
	}
	return false;
}

void
check_node(dff_world_t *world, fake_node_t *node)
{
	uint64_t revision;

	if (node->node == NULL)
		return;
	revision = dff_node_revision(node->node);
	if (revision != 0 && !was_in_force(world, revision))
		world_problem(world,
		    "%s has revision %" PRIu64 ", which never was in force",
		    node->place.name, revision);
	if (revision < node->revision_max && node->ready)
		world_problem(world,
		    "%s went from revision %" PRIu64 " back to %" PRIu64,
		    node->place.name, node->revision_max, revision);
	node->revision_max = MAX(node->revision_max, revision);
}

/* Keep the moment since which a node could hear the log. */
static bool
in_touch(dff_world_t *world, fake_node_t *node)
{
	dff_log_range_t range;

	if (node->node == NULL || node->paused)
		return false;
	if (world_link(world, &node->place, &world->platform)->cut ||
	    world_link(world, &world->platform, &node->place)->cut)
		return false;
	return dff_log_model_range(world->log, DFF_STREAM_CATALOGUE, world->now,
		   &range) == DFF_LOG_OK;
}

static void
check_force(dff_world_t *world, fake_node_t *node)
{
	dff_time_t since;

	if (!in_touch(world, node)) {
		node->reach_since = DFF_TIME_NEVER;
		return;
	}
	if (node->reach_since == DFF_TIME_NEVER)
		node->reach_since = world->now;
	for (guint i = 0; i < world->revisions->len; i++) {
		const revision_t *revision;

		revision = &g_array_index(world->revisions, revision_t, i);
		since = MAX(revision->at, node->reach_since);
		if (world->now > since + FORCE_TIME + world->slow &&
		    dff_node_revision(node->node) < revision->offset)
			world_problem(world,
			    "%s has not revision %" PRIu64 " after %.1f s",
			    node->place.name, revision->offset,
			    (double)(world->now - since) / (double)DFF_SEC);
	}
}

static void
check_served(dff_world_t *world, const caller_t *caller)
{
	dff_time_t since;

	if (caller->over || caller->node->paused)
		return;
	since = MAX(caller->opened, caller->node->awake_since);
	if (world->now > since + ANSWER_TIME)
		world_problem(world, "caller %u has no answer after %.0f s",
		    caller->number,
		    (double)(world->now - since) / (double)DFF_SEC);
}

void
check_reach(dff_world_t *world)
{
	for (guint i = 0; i < world->nodes->len; i++)
		check_force(world, g_ptr_array_index(world->nodes, i));
	for (guint i = 0; i < world->callers->len; i++)
		check_served(world, g_ptr_array_index(world->callers, i));
}
