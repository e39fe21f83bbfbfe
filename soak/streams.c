/*
 * Resumable streams: their callers resume them at any edge after a break, and
 * all events of one stream must come from one software version.
 */
#include <string.h>

#include "soak/soak.h"

/* Requests by which a caller tries to resume one stream. */
#define RESUME_TRIES 3
/* Events of a complete stream. */
#define STREAM_EVENTS 8

/* The number of the software version that made an event; 0 if the event is not
 * the one expected. */
static int
version_of(const attempt_t *attempt, const char *event, int number)
{
	char *expected =
	    g_strdup_printf("id: %d\ndata: %s v", number, attempt->id);
	size_t len = strlen(expected);
	int version = 0;

	if (strncmp(event, expected, len) == 0 && strlen(event) == len + 1 &&
	    g_ascii_isdigit(event[len]))
		version = event[len] - '0';
	g_free(expected);
	return version;
}

void
stream_check(soak_t *soak, attempt_t *attempt)
{
	char **events = g_strsplit(attempt->body->str, "\n\n", -1);
	int count = (int)g_strv_length(events) - 1;

	for (int i = 0; i < count; i++) {
		int number = attempt->after_event + i + 1;
		int version = version_of(attempt, events[i], number);

		if (version == 0)
			soak_fail(soak,
			    "stream out of order id=%s at=%d event=\"%s\"",
			    attempt->id, number, events[i]);
		else if (attempt->version != 0 && version != attempt->version)
			soak_fail(soak,
			    "stream of two versions id=%s first=%s at=%d "
			    "version=%d before=%d",
			    attempt->id, attempt->first, number, version,
			    attempt->version);
		attempt->version = version;
	}
	attempt->events = attempt->after_event + MAX(count, 0);
	if (attempt->complete && attempt->events != STREAM_EVENTS)
		soak_fail(soak, "stream looks whole id=%s events=%d",
		    attempt->id, attempt->events);
	g_strfreev(events);
}

void
stream_resume(soak_t *soak, const attempt_t *attempt)
{
	bool failed = attempt->status == 200 ? !attempt->complete :
					       attempt->first[0] != '\0';
	int events =
	    attempt->status == 200 ? attempt->events : attempt->after_event;
	attempt_t *next;

	if (attempt->kind != KIND_RESUME || !failed || events == 0 ||
	    attempt->resumptions >= RESUME_TRIES || callers_have_stopped(soak))
		return;
	next = callers_new(soak, KIND_RESUME);
	g_strlcpy(next->first,
	    attempt->first[0] != '\0' ? attempt->first : attempt->id,
	    sizeof(next->first));
	next->resumptions = attempt->resumptions + 1;
	next->after_event = events;
	next->version = attempt->version;
	soak->resumed++;
	callers_send(soak, next);
}
