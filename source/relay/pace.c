/*
 * Times are reported once, as the sum of those since the last report, so that
 * no node counts one twice. A lost frame loses a few of them.
 */
#include "relay/pace.h"

#include <math.h>

#include "base/fault.h"

/* Units of a row. */
#define LOG_UNIT   100.0
#define COUNT_UNIT 10.0
#define PACE_UNIT  100.0
/* Bounds of the values that are accepted from a row: logarithms of times in
 * milliseconds, and times in one row. */
#define LOG_BOUND   20.0
#define COUNT_BOUND 20.0
/* Older statements are not reported. */
#define AGE_MAX (500 * DFF_MSEC)

static void
note_pace(dff_relay_t *relay, upstream_t *up, double pace, dff_time_t at)
{
	capacity_mean_t *mean = pool_stats_mean(&relay->pool_stats, up);

	capacity_note_pace(&up->capacity, pace, at);
	if (mean != NULL && pace != 1)
		mean->paced = true;
}

void
pace_note_head(step_t *step, upstream_t *up, const dff_relay_head_t *head)
{
	if (!head->loaded || head->pace <= 0 || !step->relay->pool_stats.learns)
		return;
	note_pace(step->relay, up, head->pace, step->now);
	up->capacity.own.pace = true;
	up->capacity.domain.pace = true;
}

static void
apply_times(
    step_t *step, upstream_t *up, const Dff__RelayPace *row, bool summary)
{
	double log_time =
	    CLAMP(row->log_time / LOG_UNIT, -LOG_BOUND, LOG_BOUND);
	double count = MIN(row->count / COUNT_UNIT, COUNT_BOUND);

	pool_stats_add_reported(
	    &step->relay->pool_stats, up, log_time, count, step->now);
	if (summary)
		return;
	up->capacity.domain.sum += log_time * count;
	up->capacity.domain.count += count;
}

void
pace_apply_frame(step_t *step, const Dff__RelayBeat *frame)
{
	dff_relay_t *relay = step->relay;

	if (!relay->pool_stats.learns || DFF_FAULT(RELAY_PEERS_TIMES_UNHEARD))
		return;
	for (size_t i = 0; i < frame->n_paces; i++) {
		const Dff__RelayPace *row = frame->paces[i];
		upstream_t *up =
		    upstreams_find(relay->upstreams, row->upstream);

		if (up == NULL)
			continue;
		apply_times(step, up, row, frame->summary);
		if (row->pace == 0)
			continue;
		note_pace(relay, up, row->pace / PACE_UNIT,
		    step->now - row->age_ms * DFF_MSEC);
		if (!frame->summary)
			up->capacity.domain.pace = true;
	}
}

static bool
fill_row(Dff__RelayPace *row, const upstream_t *up,
    const capacity_report_t *report, dff_time_t now)
{
	const capacity_t *capacity = &up->capacity;
	dff_time_t age = now - capacity->pace_at;
	uint32_t count = (uint32_t)(report->count * COUNT_UNIT);

	dff__relay_pace__init(row);
	row->upstream = up->hash;
	if (count > 0) {
		row->count = count;
		row->log_time =
		    (int32_t)lrint(report->sum / report->count * LOG_UNIT);
	}
	if (report->pace && age <= AGE_MAX) {
		row->pace = (uint32_t)lrint(capacity->pace * PACE_UNIT);
		row->age_ms = (uint32_t)(MAX(age, 0) / DFF_MSEC);
	}
	return row->count > 0 || row->pace > 0;
}

size_t
pace_list(
    dff_relay_t *relay, bool summary, Dff__RelayPace *rows, dff_time_t now)
{
	size_t count = 0;
	upstream_t *up;

	for (dff_handle_t h = 0; count < PACE_ROWS_MAX &&
	     (h = upstreams_next(relay->upstreams, h, &up)) != 0;) {
		capacity_report_t *report =
		    summary ? &up->capacity.domain : &up->capacity.own;
		const capacity_mean_t *mean;

		if (report->count <= 0 && !report->pace)
			continue;
		mean = pool_stats_mean(&relay->pool_stats, up);
		if (mean != NULL && capacity_is_uneven(mean) &&
		    fill_row(&rows[count], up, report, now))
			count++;
		*report = (capacity_report_t){0};
	}
	return count;
}
