/*
 * Numbered events (text/event-stream) of streams that may be resumed: only
 * whole events are passed on, so that a stream goes on elsewhere right after
 * the last one that the caller has.
 */
#include <stdlib.h>
#include <string.h>

#include "base/fault.h"
#include "relay/parts.h"

/* The number of the last "id:" field in whole lines, or -1. */
static int64_t
last_id(const char *text, size_t len)
{
	int64_t id = -1;
	const char *end = text + len;

	while (text < end) {
		const char *line = text;
		const char *stop = memchr(text, '\n', (size_t)(end - text));
		size_t size = (size_t)((stop != NULL ? stop : end) - line);

		text = line + size + 1;
		if (size > 3 && strncmp(line, "id:", 3) == 0)
			id = strtoll(line + 3, NULL, 10);
	}
	return id;
}

size_t
events_whole(const GByteArray *bytes, int64_t *last)
{
	const char *text = (const char *)bytes->data;
	size_t whole = 0;
	int64_t id;

	for (size_t i = 1; i < bytes->len; i++) {
		if (text[i] != '\n')
			continue;
		if (text[i - 1] == '\n' ||
		    (i >= 3 && memcmp(text + i - 3, "\r\n\r", 3) == 0))
			whole = i + 1;
	}
	if (DFF_FAULT(RELAY_PARTIAL_EVENTS))
		whole = bytes->len;
	id = whole > 0 ? last_id(text, whole) : -1;
	if (id >= 0)
		*last = id;
	return whole;
}

void
events_note(event_tail_t *tail, const char *bytes, size_t len)
{
	tail->bytes += len;
	for (size_t i = 0; i < len; i++) {
		if (bytes[i] == '\r')
			continue;
		if (bytes[i] != '\n') {
			tail->newlines = 0;
			tail->content = true;
			continue;
		}
		if (++tail->newlines < 2 || !tail->content)
			continue;
		memset(tail, 0, sizeof(*tail));
		tail->bytes = len - i - 1;
	}
}
