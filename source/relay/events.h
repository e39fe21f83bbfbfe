/*
 * Bounds of the events of a stream (text/event-stream) whose bytes arrive in
 * pieces. Lines end with LF, CRLF or CR; an event ends with an empty line.
 */
#ifndef DFF_RELAY_EVENTS_H
#define DFF_RELAY_EVENTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct event_scan - state after the bytes of a stream so far
 * @partial: bytes after the last complete event
 * @events: complete events, not counting comments
 * @last_id: number in the last "id" field of a complete event; -1 for none
 *
 * The other members belong to events.c.
 */
typedef struct event_scan {
	size_t partial;
	uint64_t events;
	int64_t last_id;
	int64_t next_id; /* of the event in progress; -1 for none */
	bool has_line; /* that event has a line, which may be a comment */
	bool has_field; /* it has a line that is no comment */
	size_t line_len; /* bytes of the line in progress */
	bool line_is_comment;
	size_t id_matched; /* bytes of the line that match "id:" */
	int64_t line_id; /* number in its "id" field so far; -1 for none */
	bool id_ended; /* further digits do not belong to it */
	bool after_cr; /* the last byte is a CR */
	bool lines_end_with_crlf;
	bool lf_completes; /* an LF as the next byte completes the event */
	uint64_t bytes; /* of the stream */
} event_scan_t;

/** events_begin() - the state at the beginning of a stream */
void events_begin(event_scan_t *scan);

/**
 * events_scan() - update the state with further bytes
 *
 * Return: the length up to the end of the last event that these bytes complete;
 * 0 if they complete none.
 */
size_t events_scan(event_scan_t *scan, const char *bytes, size_t len);

/** events_inside() - whether a stream that ends here ends inside an event */
bool events_inside(const event_scan_t *scan);

#endif
