/*
 * Requests that began, by organisation and window of true time. Each node
 * counts those that it sent; its frames carry counts that changed, so that the
 * nodes of its domain have them when it fails. The holder of the duty collects
 * the counts of a window, stores the report and then sends it.
 */
#ifndef DFF_RELAY_USAGE_H
#define DFF_RELAY_USAGE_H

#include "proto/dragonflyfall.pb-c.h"
#include "relay/internal.h"

/* Rows of counts in one frame. */
#define USAGE_ROWS_MAX 48

/** usage_new() - nothing counted; the caller drops it */
usage_t *usage_new(void);

/** usage_drop() - free it */
void usage_drop(usage_t *usage);

/** usage_set_config() - set the windows */
void usage_set_config(dff_relay_t *relay, const dff_usage_config_t *config);

/** usage_is_enabled() - whether usage is counted */
bool usage_is_enabled(const dff_relay_t *relay);

/** usage_true_time() - true time as far as the nodes know it: the median of
 *	their clocks, since 1970; 0 if it is not known */
dff_time_t usage_true_time(const dff_relay_t *relay, dff_time_t now);

/** usage_note_begin() - the call began to run by @at, its first byte or its
 *	answer; counts once a call */
void usage_note_begin(step_t *step, call_t *call);

/** usage_note_count() - a node's count of a window; the highest one holds */
void usage_note_count(
    usage_t *usage, const dff_usage_count_t *count, uint64_t window);

/** usage_receive_frame() - counts and time of day in a peer's frame */
void usage_receive_frame(
    step_t *step, peer_t *peer, const Dff__RelayBeat *frame);

/** usage_fill_frame() - add counts that changed of late; @rows has to last
 *	until the frame is packed */
void usage_fill_frame(step_t *step, Dff__RelayBeat *frame,
    Dff__RelayUsage *rows, Dff__RelayUsage **list);

/** usage_sum() - rows of a report by organisation, sorted; a GArray of
 *	dff_usage_row_t, which the caller drops */
GArray *usage_sum(const usage_t *usage, uint64_t window);

/** usage_sweep() - at each heartbeat: time, names, and counts that are due no
 *	more */
void usage_sweep(step_t *step);

/** usage_metrics() - counters as text */
void usage_metrics(const dff_relay_t *relay, GString *text);

/* ---- usage_report.c: reports of the holder ---- */

/** typedef usage_reports_t - reports of the holder */
typedef struct usage_reports usage_reports_t;

usage_reports_t *usage_reports_new(void);
void usage_reports_drop(usage_reports_t *reports);

/** usage_reports_of() - those of a relay */
usage_reports_t *usage_reports_of(const dff_relay_t *relay);

/** usage_config() - windows of reports */
const dff_usage_config_t *usage_config(const dff_relay_t *relay);

/** usage_report_run() - make the calls that are due */
void usage_report_run(step_t *step);

/** usage_report_result() - the result of a call */
void usage_report_result(step_t *step, const dff_usage_result_t *result);

/** usage_reports_metrics() - counters as text */
void usage_reports_metrics(const usage_reports_t *reports, GString *text);

#endif
