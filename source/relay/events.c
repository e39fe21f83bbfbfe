/*
 * Numbered events (text/event-stream) of resumable streams: only complete
 * events are forwarded, so that another upstream can continue right after the
 * last event that the caller has.
 */
#include <stdlib.h>
#include <string.h>

#include "base/fault.h"
#include "relay/internal.h"

/* Get the number of the last "id:" field, or -1. */
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
events_complete_len(const GByteArray *bytes, int64_t *last)
{
	const char *text = (const char *)bytes->data;
	size_t complete = 0;
	int64_t id;

	for (size_t i = 1; i < bytes->len; i++) {
		if (text[i] != '\n')
			continue;
		if (text[i - 1] == '\n' ||
		    (i >= 3 && memcmp(text + i - 3, "\r\n\r", 3) == 0))
			complete = i + 1;
	}
	if (DFF_FAULT(RELAY_PARTIAL_EVENTS))
		complete = bytes->len;
	id = complete > 0 ? last_id(text, complete) : -1;
	if (id >= 0)
		*last = id;
	return complete;
}

void
events_track(partial_event_t *partial, const char *bytes, size_t len)
{
	partial->bytes += len;
	for (size_t i = 0; i < len; i++) {
		if (bytes[i] == '\r')
			continue;
		if (bytes[i] != '\n') {
			partial->newlines = 0;
			partial->content = true;
			continue;
		}
		if (++partial->newlines < 2 || !partial->content)
			continue;
		memset(partial, 0, sizeof(*partial));
		partial->bytes = len - i - 1;
	}
}
