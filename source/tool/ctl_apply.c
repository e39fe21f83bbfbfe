#include "ctl.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* How long to look for an unanswered append in the log before resending it.
 * Resending is harmless: of several records with one edit id only the first
 * counts. */
#define RESEND_AFTER (2 * DFF_SEC)
/* Delay before a retry when the platform refuses or does not answer. */
#define RETRY_DELAY (200 * DFF_MSEC)
/* Longest wait for a record in one read of the log. */
#define READ_WAIT (500 * DFF_MSEC)
/* Time between two reads of the node status pages. */
#define CONFIRM_PERIOD (250 * DFF_MSEC)

/* One edit that is being submitted. */
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
find_verdict(apply_t *apply)
{
	return dff_history_find(apply->log->history, apply->edit_id,
	    &apply->offset, &apply->beaten_by);
}

/* Read the log until the edit has a verdict or @until has passed. */
static dff_edit_verdict_t
wait_for_verdict(apply_t *apply, dff_time_t until)
{
	dff_edit_verdict_t verdict = find_verdict(apply);

	while (verdict == DFF_EDIT_NONE && dff_program_now() < until) {
		dff_time_t left = until - dff_program_now();

		if (ctl_log_read(
			apply->ctl, apply->log, CLAMP(left, 0, READ_WAIT)) < 0)
			ctl_sleep(apply->ctl, RETRY_DELAY);
		verdict = find_verdict(apply);
	}
	return verdict;
}

/* Append once. Returns the time until which to look for the verdict. */
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
		until = now + RETRY_DELAY;
	} else if (fetch.end == DFF_HTTPC_DONE) {
		(void)fprintf(stderr,
		    "dff-ctl: the platform refused the append, status %d\n",
		    fetch.status);
		until = now + RETRY_DELAY;
	} else {
		(void)fprintf(stderr,
		    "dff-ctl: no answer to the append, looking for edit %s\n",
		    apply->edit_id);
		until = now + RESEND_AFTER;
	}
	ctl_fetch_clear(&fetch);
	return MIN(until, apply->deadline);
}

static dff_edit_verdict_t
submit_edit(apply_t *apply)
{
	dff_edit_verdict_t verdict = find_verdict(apply);

	while (
	    verdict == DFF_EDIT_NONE && dff_program_now() < apply->deadline) {
		dff_time_t until = append_edit(apply);

		verdict = wait_for_verdict(apply, until);
	}
	return verdict;
}

static bool
is_draining(const ctl_node_t *node)
{
	/* A draining node finishes running requests and accepts no new ones. */
	return strcmp(ctl_json_text(node->status, "why"), "draining") == 0;
}

/* Number of nodes that have the revision or a later one in force, or that
 * are draining. */
static guint
count_up_to_date(const GArray *nodes, uint64_t revision)
{
	guint up_to_date = 0;

	for (guint i = 0; i < nodes->len; i++) {
		const ctl_node_t *node = &g_array_index(nodes, ctl_node_t, i);

		up_to_date += node->revision >= revision || is_draining(node);
	}
	return up_to_date;
}

static void
print_confirmations(const GArray *nodes, uint64_t revision)
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
		else if (is_draining(node))
			(void)printf("  %s: is being stopped\n", node->id);
		else
			(void)printf("  %s: lacks it, has revision %" PRIu64
				     "\n",
			    node->id, node->revision);
	}
}

/* Wait until every node has the revision in force, at most the confirm time,
 * then print the state of each node. */
static int
confirm(ctl_t *ctl, uint64_t revision)
{
	dff_time_t until = dff_program_now() + ctl->confirm_time;
	GArray *nodes;
	json_t *vms;
	guint up_to_date;
	guint count;

	for (;;) {
		nodes = ctl_nodes_read(ctl, &vms);
		json_decref(vms);
		count = nodes->len;
		up_to_date = count_up_to_date(nodes, revision);
		if (up_to_date == count || dff_program_now() >= until)
			break;
		ctl_nodes_drop(nodes);
		ctl_sleep(ctl, CONFIRM_PERIOD);
	}
	(void)printf("in force at revision %" PRIu64 " on %u of %u nodes\n",
	    revision, up_to_date, count);
	print_confirmations(nodes, revision);
	ctl_nodes_drop(nodes);
	return up_to_date == count ? CTL_OK : CTL_PARTIAL;
}

static int
report_verdict(apply_t *apply, dff_edit_verdict_t verdict)
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
		return CTL_CONFLICT;
	case DFF_EDIT_BAD:
		(void)printf("refused: the edit at offset %" PRIu64
			     " fails the nodes' checks\n",
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
pack_edit(apply_t *apply, const char *text)
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

/* Print what the edit changes, so that the operator notices a wrong base. */
static int
report_changes(apply_t *apply, const char *text)
{
	uint64_t in_force = dff_history_revision(apply->log->history);
	const char *before = dff_history_text(apply->log->history);

	if (apply->against != in_force &&
	    find_verdict(apply) == DFF_EDIT_NONE) {
		(void)printf("beaten: revision %" PRIu64
			     " is in force, not %" PRIu64
			     "; nothing was sent\n",
		    in_force, apply->against);
		return CTL_CONFLICT;
	}
	(void)printf("edit %s against revision %" PRIu64 "\n", apply->edit_id,
	    apply->against);
	if (find_verdict(apply) == DFF_EDIT_NONE)
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
	rc = pack_edit(apply, text);
	if (rc == CTL_OK)
		rc = report_changes(apply, text);
	if (rc != CTL_OK)
		return rc;
	apply->deadline = dff_program_now() + ctl->timeout;
	return report_verdict(apply, submit_edit(apply));
}

int
ctl_apply(ctl_t *ctl, const char *path)
{
	apply_t apply = {.ctl = ctl};
	char *text;
	int rc;

	/* With the revision now in force as base, a repeated run could undo an
	 * edit made since the first run. */
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
