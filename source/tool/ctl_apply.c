#include "ctl.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* How long an append without answer is looked for before it is sent again.
 * Sending it again is harmless: of records with one edit id the first counts. */
#define LOST_TIME (2 * DFF_SEC)
/* Time to wait when the platform is busy or away. */
#define BUSY_TIME (200 * DFF_MSEC)
/* How long one read of the log waits for a record. */
#define POLL_TIME (500 * DFF_MSEC)
/* Time between two looks at the nodes. */
#define CONFIRM_POLL (250 * DFF_MSEC)

/* One edit on its way. */
typedef struct apply {
	ctl_t *ctl;
	ctl_log_t *log;
	char *edit_id;
	uint64_t against;
	uint8_t *record;
	size_t len;
	dff_time_t deadline;
	uint64_t offset;
	uint64_t beaten_by;
} apply_t;

static dff_edit_verdict_t
verdict_of(apply_t *apply)
{
	return dff_history_find(apply->log->history, apply->edit_id,
	    &apply->offset, &apply->beaten_by);
}

/* Read the log until the edit is seen or the time is over. */
static dff_edit_verdict_t
look_for(apply_t *apply, dff_time_t until)
{
	dff_edit_verdict_t verdict = verdict_of(apply);

	while (verdict == DFF_EDIT_NONE && dff_program_now() < until) {
		dff_time_t left = until - dff_program_now();

		if (ctl_log_read(
			apply->ctl, apply->log, CLAMP(left, 0, POLL_TIME)) < 0)
			ctl_sleep(apply->ctl, BUSY_TIME);
		verdict = verdict_of(apply);
	}
	return verdict;
}

/* Append once. Returns the moment until which the outcome is looked for. */
static dff_time_t
append_edit(apply_t *apply)
{
	dff_time_t now;
	ctl_fetch_t fetch;
	dff_time_t until;

	ctl_fetch_start(apply->ctl, &fetch, apply->ctl->platform, "POST",
	    "/log/catalogue", apply->record, apply->len);
	ctl_fetch_wait(apply->ctl, &fetch, 1);
	now = dff_program_now();
	if (fetch.end == DFF_HTTPC_DONE && fetch.status == 200) {
		until = apply->deadline;
	} else if (fetch.end == DFF_HTTPC_CONNECT_FAILED) {
		(void)fprintf(stderr, "dff-ctl: no connection to %s\n",
		    apply->ctl->platform);
		until = now + BUSY_TIME;
	} else if (fetch.end == DFF_HTTPC_DONE) {
		(void)fprintf(stderr,
		    "dff-ctl: the platform refuses the append, status %d\n",
		    fetch.status);
		until = now + BUSY_TIME;
	} else {
		(void)fprintf(stderr,
		    "dff-ctl: no answer to the append, looking for edit %s\n",
		    apply->edit_id);
		until = now + LOST_TIME;
	}
	ctl_fetch_clear(&fetch);
	return MIN(until, apply->deadline);
}

static dff_edit_verdict_t
submit(apply_t *apply)
{
	dff_edit_verdict_t verdict = verdict_of(apply);

	while (
	    verdict == DFF_EDIT_NONE && dff_program_now() < apply->deadline) {
		dff_time_t until = append_edit(apply);

		verdict = look_for(apply, until);
	}
	return verdict;
}

static bool
is_stopped(const ctl_node_t *node)
{
	/* A node on its way out serves what runs and takes no new work. */
	return strcmp(ctl_json_text(node->status, "why"), "draining") == 0;
}

/* Nodes in which the revision, or a later one, is in force. */
static guint
count_having(const GArray *nodes, uint64_t revision)
{
	guint having = 0;

	for (guint i = 0; i < nodes->len; i++) {
		const ctl_node_t *node = &g_array_index(nodes, ctl_node_t, i);

		having += node->revision >= revision || is_stopped(node);
	}
	return having;
}

static void
print_having(const GArray *nodes, uint64_t revision)
{
	for (guint i = 0; i < nodes->len; i++) {
		const ctl_node_t *node = &g_array_index(nodes, ctl_node_t, i);

		if (node->status == NULL)
			(void)printf("  %s: does not answer\n", node->id);
		else if (node->revision > revision)
			(void)printf("  %s: has it, and now revision %" PRIu64
				     "\n",
			    node->id, node->revision);
		else if (node->revision == revision)
			(void)printf("  %s: has it\n", node->id);
		else if (is_stopped(node))
			(void)printf("  %s: is being stopped\n", node->id);
		else
			(void)printf("  %s: lacks it, has revision %" PRIu64
				     "\n",
			    node->id, node->revision);
	}
}

/* Wait until every node has the revision, then say which do. */
static int
confirm(ctl_t *ctl, uint64_t revision)
{
	dff_time_t until = dff_program_now() + ctl->confirm_time;
	GArray *nodes;
	json_t *vms;
	guint having;
	guint count;

	for (;;) {
		nodes = ctl_nodes_read(ctl, &vms);
		json_decref(vms);
		count = nodes->len;
		having = count_having(nodes, revision);
		if (having == count || dff_program_now() >= until)
			break;
		ctl_nodes_drop(nodes);
		ctl_sleep(ctl, CONFIRM_POLL);
	}
	(void)printf("in force at revision %" PRIu64 " on %u of %u nodes\n",
	    revision, having, count);
	print_having(nodes, revision);
	ctl_nodes_drop(nodes);
	return having == count ? CTL_OK : CTL_PARTIAL;
}

static int
tell_verdict(apply_t *apply, dff_edit_verdict_t verdict)
{
	switch (verdict) {
	case DFF_EDIT_ACCEPTED:
		(void)printf(
		    "accepted as revision %" PRIu64 "\n", apply->offset);
		return confirm(apply->ctl, apply->offset);
	case DFF_EDIT_BEATEN:
		(void)printf("beaten: revision %" PRIu64
			     " came first; this edit, made against revision "
			     "%" PRIu64 ", has no effect\n",
		    apply->beaten_by, apply->against);
		return CTL_BEATEN;
	case DFF_EDIT_BAD:
		(void)printf("refused: the edit at offset %" PRIu64
			     " does not pass the nodes' checks\n",
		    apply->offset);
		return CTL_DIFFERS;
	case DFF_EDIT_NONE:
		break;
	}
	(void)printf("undecided: edit %s was not seen in the log in time and "
		     "may still take effect; run again with --edit-id %s "
		     "--against %" PRIu64 "\n",
	    apply->edit_id, apply->edit_id, apply->against);
	return CTL_UNDECIDED;
}

static int
pack(apply_t *apply, const char *text)
{
	const ctl_t *ctl = apply->ctl;
	dff_edit_t edit = {
	    .edit_id = apply->edit_id,
	    .against = apply->against,
	    .text = text,
	    .author = *ctl->author != '\0' ? ctl->author : g_get_user_name(),
	    .note = ctl->note,
	    .written_ms = dff_program_wall_ms(),
	};
	int len;

	len = dff_edit_pack(&edit, &apply->record);
	if (len < 0) {
		(void)fprintf(stderr,
		    "dff-ctl: --edit-id \"%s\" is not allowed; 1 to %d "
		    "printable characters without blanks are\n",
		    apply->edit_id, DFF_NAME_MAX - 1);
		return CTL_USAGE;
	}
	apply->len = (size_t)len;
	return CTL_OK;
}

/* Tell what the edit will change, so that a wrong base is noticed. */
static int
tell_plan(apply_t *apply, const char *text)
{
	uint64_t in_force = dff_history_revision(apply->log->history);
	const char *before = dff_history_text(apply->log->history);

	if (apply->against != in_force && verdict_of(apply) == DFF_EDIT_NONE) {
		(void)printf("beaten: revision %" PRIu64
			     " is in force, not %" PRIu64
			     "; nothing was sent\n",
		    in_force, apply->against);
		return CTL_BEATEN;
	}
	(void)printf("edit %s against revision %" PRIu64 "\n", apply->edit_id,
	    apply->against);
	if (verdict_of(apply) == DFF_EDIT_NONE)
		(void)ctl_print_diff(before != NULL ? before : "", text);
	(void)fflush(stdout);
	return CTL_OK;
}

static int
run_apply(apply_t *apply, const char *text)
{
	ctl_t *ctl = apply->ctl;
	int rc;

	apply->log = ctl_log_open(ctl);
	if (apply->log == NULL) {
		(void)printf("nothing was sent\n");
		return CTL_UNDECIDED;
	}
	apply->against = ctl->against >= 0 ?
	    (uint64_t)ctl->against :
	    dff_history_revision(apply->log->history);
	rc = pack(apply, text);
	if (rc == CTL_OK)
		rc = tell_plan(apply, text);
	if (rc != CTL_OK)
		return rc;
	apply->deadline = dff_program_now() + ctl->timeout;
	return tell_verdict(apply, submit(apply));
}

int
ctl_apply(ctl_t *ctl, const char *path)
{
	apply_t apply = {.ctl = ctl};
	char *text;
	int rc;

	/* Against what is in force now it could undo an edit made since. */
	if (*ctl->edit_id != '\0' && ctl->against < 0) {
		(void)fprintf(stderr,
		    "dff-ctl: --edit-id needs --against with the revision "
		    "of the first run\n");
		return CTL_USAGE;
	}
	rc = ctl_load_file(ctl, path, &text);
	if (rc != CTL_OK)
		return rc;
	apply.edit_id = *ctl->edit_id != '\0' ? g_strdup(ctl->edit_id) :
						g_uuid_string_random();
	rc = run_apply(&apply, text);
	ctl_log_drop(apply.log);
	free(apply.record);
	g_free(apply.edit_id);
	g_free(text);
	return rc;
}
