#include "relay/events.h"

#include <glib.h>
#include <string.h>

#include "base/fault.h"

/* A larger number in an "id" field is cut off after as many digits. */
#define ID_MAX ((INT64_MAX - 9) / 10)

static const uint8_t byte_order_mark[] = {0xef, 0xbb, 0xbf};
static const char id_field[] = "id:";
#define ID_FIELD_LEN (sizeof(id_field) - 1)

static void
begin_line(event_scan_t *scan)
{
	scan->line_len = 0;
	scan->line_is_comment = false;
	scan->id_matched = 0;
	scan->line_id = -1;
	scan->id_ended = false;
}

void
events_begin(event_scan_t *scan)
{
	memset(scan, 0, sizeof(*scan));
	scan->last_id = -1;
	scan->next_id = -1;
	begin_line(scan);
}

bool
events_inside(const event_scan_t *scan)
{
	return scan->line_len > 0 || scan->has_field ||
	    (scan->after_cr && scan->lines_end_with_crlf);
}

static void
complete_event(event_scan_t *scan)
{
	if (scan->next_id >= 0)
		scan->last_id = scan->next_id;
	scan->next_id = -1;
	scan->events += scan->has_field;
	scan->partial = 0;
	scan->has_line = false;
	scan->has_field = false;
}

/* Returns whether the end of the line completes an event. */
static bool
end_line(event_scan_t *scan, uint8_t byte)
{
	if (scan->line_len > 0) {
		scan->has_line = true;
		scan->has_field |= !scan->line_is_comment;
		if (scan->line_id >= 0)
			scan->next_id = scan->line_id;
		begin_line(scan);
		return false;
	}
	if (!scan->has_line)
		return false;
	/* The LF of this line belongs to the event too. */
	scan->lf_completes = byte == '\r' && scan->lines_end_with_crlf;
	if (scan->lf_completes)
		return false;
	complete_event(scan);
	return true;
}

/* Returns whether an LF after a CR completes an event, or belongs to one that
 * its CR completed. */
static bool
end_crlf(event_scan_t *scan)
{
	bool completes = scan->lf_completes || scan->partial == 0;

	scan->after_cr = false;
	scan->lines_end_with_crlf = true;
	if (scan->lf_completes)
		complete_event(scan);
	scan->lf_completes = false;
	if (!completes)
		scan->partial++;
	return completes;
}

static void
add_to_id(event_scan_t *scan, uint8_t byte)
{
	if (!g_ascii_isdigit(byte) || scan->line_id > ID_MAX)
		scan->id_ended |= scan->line_id >= 0 || byte != ' ';
	else if (!scan->id_ended)
		scan->line_id = MAX(scan->line_id, 0) * 10 + (byte - '0');
}

static void
add_to_line(event_scan_t *scan, uint8_t byte)
{
	if (scan->line_len == 0)
		scan->line_is_comment = byte == ':';
	if (scan->line_len < ID_FIELD_LEN)
		scan->id_matched += byte == (uint8_t)id_field[scan->line_len];
	else if (scan->id_matched == ID_FIELD_LEN)
		add_to_id(scan, byte);
	scan->line_len++;
}

/* Returns whether the byte is the last one of an event. */
static bool
scan_byte(event_scan_t *scan, uint8_t byte)
{
	uint64_t at = scan->bytes++;

	if (byte == '\n' && scan->after_cr)
		return end_crlf(scan);
	scan->after_cr = byte == '\r';
	scan->lf_completes = false;
	scan->partial++;
	if (at < sizeof(byte_order_mark) && byte == byte_order_mark[at])
		return false;
	if (byte == '\n' || byte == '\r')
		return end_line(scan, byte);
	add_to_line(scan, byte);
	return false;
}

size_t
events_scan(event_scan_t *scan, const char *bytes, size_t len)
{
	size_t complete = 0;

	for (size_t i = 0; i < len; i++) {
		if (scan_byte(scan, (uint8_t)bytes[i]))
			complete = i + 1;
	}
	return DFF_FAULT(RELAY_PARTIAL_EVENTS) ? len : complete;
}
