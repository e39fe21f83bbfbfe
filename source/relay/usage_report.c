/*
 * Usage reports of the holder of the duty. A report is stored before it may be
 * sent, and is then sent unchanged until the platform has answered, also by a
 * later holder. One call to the store or the platform is under way at a time.
 *
 * A store that came back from an older copy may lack reports that were sent:
 * windows before the first one that has a report of the store's era are not
 * reported anew then.
 */
#include <inttypes.h>
#include <string.h>

#include "base/fault.h"
#include "relay/duty.h"
#include "relay/peers.h"
#include "relay/usage_parts.h"

/* Time from a window's end until its counts are collected: by then frames have
 * repeated the last ones. */
#define SETTLE_TIME (1500 * DFF_MSEC)
/* Time after a window's end at which its report is stored although not all
 * nodes that were asked have answered. */
#define COLLECT_TIME (4 * DFF_SEC)
/* Time for the nodes' answers, and what is left of a report's time after
 * them. */
#define ASK_TIME     (1400 * DFF_MSEC)
#define STORE_MARGIN (1500 * DFF_MSEC)
/* Time until the next call after a failed one. */
#define RETRY_TIME (400 * DFF_MSEC)
/* A report without an answer is repeated after longer and longer times, up to
 * this many of it. */
#define RETRY_FACTOR_MAX 4
/* A report is not sent this close to the end of its time. */
#define SEND_MARGIN (300 * DFF_MSEC)

static void
free_kept(gpointer data)
{
	kept_t *kept = data;

	g_array_unref(kept->rows);
	g_free(kept);
}

usage_reports_t *
usage_reports_new(void)
{
	usage_reports_t *reports = g_new0(usage_reports_t, 1);

	reports->kept = g_ptr_array_new_with_free_func(free_kept);
	reports->asked = g_array_new(FALSE, TRUE, sizeof(asked_t));
	return reports;
}

void
usage_reports_drop(usage_reports_t *reports)
{
	g_ptr_array_unref(reports->kept);
	g_array_unref(reports->asked);
	g_clear_pointer(&reports->rows, g_array_unref);
	g_free(reports);
}

static kept_t *
find_kept(const usage_reports_t *reports, uint64_t window)
{
	for (guint i = 0; i < reports->kept->len; i++) {
		kept_t *kept = reports->kept->pdata[i];

		if (kept->window == window)
			return kept;
	}
	return NULL;
}

/* ---- windows ---- */

static dff_time_t
window_end(const dff_relay_t *relay, uint64_t window)
{
	return (dff_time_t)(window + 1) * usage_config(relay)->window;
}

/* The first window whose report is still due. */
static uint64_t
first_due(const dff_relay_t *relay, dff_time_t true_now)
{
	const dff_usage_config_t *config = usage_config(relay);

	return (
	    uint64_t)((true_now + SEND_MARGIN - config->late) / config->window);
}

/* The window to report next, whose counts have settled; 0 for none. */
static uint64_t
next_window(step_t *step, dff_time_t true_now)
{
	const dff_relay_t *relay = step->relay;
	usage_reports_t *reports = usage_reports_of(relay);
	uint64_t due = first_due(relay, true_now);

	if (reports->next < due) {
		if (reports->next != 0)
			reports->missed += due - reports->next;
		reports->next = due;
	}
	while (find_kept(reports, reports->next) != NULL)
		reports->next++;
	if (true_now < window_end(relay, reports->next) + SETTLE_TIME)
		return 0;
	return reports->next;
}

/* Windows that a lost part of the store may have had reports of are left
 * out. */
static void
skip_unsure(step_t *step, uint64_t era, dff_time_t true_now)
{
	usage_reports_t *reports = usage_reports_of(step->relay);
	uint64_t first =
	    (uint64_t)(true_now / usage_config(step->relay)->window);

	if (era == 0 || DFF_FAULT(RELAY_USAGE_OLD_COPY))
		return;
	for (guint i = 0; i < reports->kept->len; i++) {
		const kept_t *kept = reports->kept->pdata[i];

		if (kept->era == era)
			first = MIN(first, kept->window);
	}
	if (first > reports->next)
		dff_log(step->ctx, DFF_LOG_WARNING, "usage",
		    "windows are left out as the store may have lost their "
		    "reports from=%" PRIu64 " to=%" PRIu64,
		    reports->next, first - 1);
	reports->next = MAX(reports->next, first);
}

/* ---- storing and sending ---- */

static void
keep_report(step_t *step, uint64_t window, bool complete)
{
	const dff_relay_t *relay = step->relay;
	usage_reports_t *reports = usage_reports_of(relay);
	dff_usage_call_t *call = usage_add_call(step, DFF_USAGE_KEEP);
	uint64_t total = 0;
	uint32_t answered = 0;

	g_clear_pointer(&reports->rows, g_array_unref);
	reports->rows = usage_sum(relay->usage, window);
	for (guint i = 0; i < reports->rows->len; i++)
		total += g_array_index(reports->rows, dff_usage_row_t, i).count;
	for (guint i = 0; i < reports->asked->len; i++)
		answered += g_array_index(reports->asked, asked_t, i).answered;
	reports->incomplete += !complete;
	reports->busy = true;
	call->position = reports->end;
	call->report.window = window;
	call->report.era = dff_position_era(reports->end);
	call->report.rows =
	    (const dff_usage_row_t *)(void *)reports->rows->data;
	call->report.count = reports->rows->len;
	dff_log(step->ctx, DFF_LOG_NOTICE, "usage",
	    "report is stored window=%" PRIu64
	    " organisations=%u requests=%" PRIu64
	    " asked=%u answered=%u complete=%d after_end_ms=%" PRId64
	    " token=%" PRIu64,
	    window, reports->rows->len, total, reports->asked->len, answered,
	    complete,
	    (usage_true_time(relay, step->now) - window_end(relay, window)) /
		DFF_MSEC,
	    reports->token);
}

static void
send_report(step_t *step, kept_t *kept)
{
	usage_reports_t *reports = usage_reports_of(step->relay);
	dff_usage_call_t *call = usage_add_call(step, DFF_USAGE_SEND);

	reports->busy = true;
	kept->tries++;
	duties_note_call(step->relay->duties, false, step->now);
	call->token = reports->token;
	call->report.window = kept->window;
	call->report.rows = (const dff_usage_row_t *)(void *)kept->rows->data;
	call->report.count = kept->rows->len;
}

static kept_t *
add_kept(usage_reports_t *reports, uint64_t window, uint64_t era)
{
	kept_t *kept = g_new0(kept_t, 1);

	kept->window = window;
	kept->era = era;
	kept->rows = g_array_new(FALSE, TRUE, sizeof(dff_usage_row_t));
	g_ptr_array_add(reports->kept, kept);
	return kept;
}

static void
apply_list(step_t *step, const dff_usage_result_t *result)
{
	const dff_relay_t *relay = step->relay;
	usage_reports_t *reports = usage_reports_of(relay);
	dff_time_t true_now = usage_true_time(relay, step->now);

	if (!result->answered) {
		reports->retry_at = step->now + RETRY_TIME;
		return;
	}
	reports->listed = true;
	reports->end = result->end;
	for (size_t i = 0; i < result->count; i++) {
		const dff_usage_report_t *report = &result->reports[i];
		kept_t *kept;

		if (find_kept(reports, report->window) != NULL)
			continue;
		kept = add_kept(reports, report->window, report->era);
		g_array_append_vals(
		    kept->rows, report->rows, (guint)report->count);
	}
	skip_unsure(step, dff_position_era(result->end), true_now);
	dff_log(step->ctx, DFF_LOG_INFO, "usage",
	    "stored reports read reports=%zu next_window=%" PRIu64
	    " token=%" PRIu64,
	    result->count, reports->next, reports->token);
}

static void
apply_kept(step_t *step, const dff_usage_result_t *result)
{
	usage_reports_t *reports = usage_reports_of(step->relay);
	kept_t *kept;

	switch (result->kept.result) {
	case DFF_DUTY_ACCEPTED:
		if (dff_position_era(result->kept.position) !=
		    dff_position_era(reports->end)) {
			reports->listed = false;
			return;
		}
		reports->end = result->kept.position + 1;
		kept = add_kept(reports, result->window,
		    dff_position_era(result->kept.position));
		g_array_unref(kept->rows);
		kept->rows = g_steal_pointer(&reports->rows);
		reports->collecting = 0;
		return;
	case DFF_DUTY_NOT_DONE:
		reports->retry_at = step->now + RETRY_TIME;
		return;
	case DFF_DUTY_UNKNOWN:
		reports->retry_at = step->now + RETRY_TIME;
		reports->listed = false;
		return;
	case DFF_DUTY_REJECTED:
		reports->listed = false;
		return;
	}
}

static void
apply_sent(step_t *step, const dff_usage_result_t *result)
{
	static const char *const names[] = {
	    "accepted", "outdated", "refused", "unanswered"};
	usage_reports_t *reports = usage_reports_of(step->relay);
	kept_t *kept = find_kept(reports, result->window);

	if (result->sent != DFF_USAGE_UNANSWERED)
		duties_note_call(step->relay->duties, true, step->now);
	dff_log(step->ctx, DFF_LOG_NOTICE, "usage",
	    "report sent window=%" PRIu64 " token=%" PRIu64
	    " answer=%s tries=%u",
	    result->window, reports->token, names[result->sent],
	    kept != NULL ? kept->tries : 0);
	switch (result->sent) {
	case DFF_USAGE_ACCEPTED:
		reports->sent++;
		if (kept != NULL)
			kept->sent = true;
		return;
	case DFF_USAGE_OUTDATED:
		/* A later holder has begun to act. */
		reports->refused++;
		if (kept != NULL)
			kept->sent = true;
		return;
	case DFF_USAGE_REFUSED:
		reports->refused++;
		break;
	case DFF_USAGE_UNANSWERED:
		reports->unanswered++;
		break;
	}
	if (kept != NULL)
		kept->retry_at =
		    step->now + RETRY_TIME * MIN(kept->tries, RETRY_FACTOR_MAX);
}

/* ---- the holder ---- */

/* The stored report that is to be sent next, the one with the fewest tries, or
 * NULL; those that are due no more are forgotten. */
static kept_t *
find_unsent(step_t *step, dff_time_t true_now)
{
	usage_reports_t *reports = usage_reports_of(step->relay);
	uint64_t due = first_due(step->relay, true_now);
	kept_t *found = NULL;

	for (guint i = reports->kept->len; i-- > 0;) {
		kept_t *kept = reports->kept->pdata[i];

		if (kept->window < due)
			g_ptr_array_remove_index_fast(reports->kept, i);
		else if (!kept->sent && step->now >= kept->retry_at &&
		    (found == NULL || kept->tries < found->tries))
			found = kept;
	}
	return found;
}

static void
begin_term(step_t *step, uint64_t token)
{
	usage_reports_t *reports = usage_reports_of(step->relay);

	reports->token = token;
	reports->listed = false;
	reports->collecting = 0;
	reports->next = 0;
	g_ptr_array_set_size(reports->kept, 0);
}

/* A holder that comes late to a window asks the nodes all the same. */
static dff_time_t
collect_deadline(step_t *step, uint64_t window)
{
	const dff_relay_t *relay = step->relay;
	dff_time_t since_end =
	    usage_true_time(relay, step->now) - window_end(relay, window);
	dff_time_t left = COLLECT_TIME - since_end;

	if (DFF_FAULT(RELAY_USAGE_UNASKED))
		return step->now + left;
	return step->now +
	    MAX(left,
		MIN(ASK_TIME,
		    usage_config(relay)->late - since_end - STORE_MARGIN));
}

static void
report_next(step_t *step, dff_time_t true_now)
{
	const dff_relay_t *relay = step->relay;
	usage_reports_t *reports = usage_reports_of(relay);
	uint64_t window = next_window(step, true_now);
	bool complete;

	if (window == 0)
		return;
	if (window != reports->collecting) {
		reports->collecting = window;
		reports->collect_until = collect_deadline(step, window);
		g_array_set_size(reports->asked, 0);
	}
	complete = usage_collect(step);
	if (complete || step->now >= reports->collect_until)
		keep_report(step, window, complete);
}

void
usage_report_run(step_t *step)
{
	dff_relay_t *relay = step->relay;
	usage_reports_t *reports = usage_reports_of(relay);
	dff_time_t true_now = usage_true_time(relay, step->now);
	uint64_t token = duty_token(relay->duties, DFF_DUTY_USAGE, step->now);
	kept_t *unsent;

	if (!usage_is_enabled(relay) || true_now == 0 || token == 0 ||
	    reports->busy)
		return;
	if (token != reports->token)
		begin_term(step, token);
	if (step->now < reports->retry_at)
		return;
	if (!reports->listed) {
		reports->busy = true;
		(void)usage_add_call(step, DFF_USAGE_LIST);
		return;
	}
	report_next(step, true_now);
	unsent = find_unsent(step, true_now);
	if (unsent != NULL && !reports->busy)
		send_report(step, unsent);
}

void
usage_report_result(step_t *step, const dff_usage_result_t *result)
{
	usage_reports_t *reports = usage_reports_of(step->relay);

	if (result->type == DFF_USAGE_ASK) {
		usage_apply_counts(step, result);
		usage_report_run(step);
		return;
	}
	reports->busy = false;
	switch (result->type) {
	case DFF_USAGE_ASK:
		break;
	case DFF_USAGE_LIST:
		apply_list(step, result);
		break;
	case DFF_USAGE_KEEP:
		apply_kept(step, result);
		break;
	case DFF_USAGE_SEND:
		apply_sent(step, result);
		break;
	}
	usage_report_run(step);
}

void
usage_reports_metrics(const usage_reports_t *reports, GString *text)
{
	g_string_append_printf(text,
	    "dff_usage_reports_sent_total %" PRIu64
	    "\ndff_usage_reports_unanswered_total %" PRIu64
	    "\ndff_usage_reports_refused_total %" PRIu64
	    "\ndff_usage_reports_incomplete_total %" PRIu64
	    "\ndff_usage_windows_missed_total %" PRIu64 "\n",
	    reports->sent, reports->unanswered, reports->refused,
	    reports->incomplete, reports->missed);
}
