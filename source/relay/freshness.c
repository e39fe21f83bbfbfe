#include "relay/freshness.h"

#include <glib.h>

#include "base/fault.h"

static bool
confirm_up_to(freshness_t *freshness, dff_time_t at)
{
	if (freshness->confirmed && at <= freshness->confirmed_at)
		return false;
	freshness->confirmed = true;
	freshness->confirmed_at = at;
	return true;
}

/* The lowest awaited version is kept, so that the node is confirmed although
 * versions follow each other faster than it can fetch them. */
static void
await(freshness_t *freshness, dff_time_t at, uint64_t version)
{
	if (freshness->next.version == 0)
		freshness->next = (awaited_version_t){version, at};
	else if (version <= freshness->next.version)
		freshness->next.at = MAX(freshness->next.at, at);
	else
		freshness->last =
		    (awaited_version_t){MAX(version, freshness->last.version),
			MAX(at, freshness->last.at)};
}

bool
freshness_confirm(
    freshness_t *freshness, dff_time_t at, uint64_t newest, uint64_t in_force)
{
	if (newest == in_force || DFF_FAULT(RELAY_CONFIRMED_BEFORE_FETCH))
		return confirm_up_to(freshness, at);
	if (newest < in_force)
		return DFF_FAULT(RELAY_OLD_COPY_CONFIRMS) &&
		    confirm_up_to(freshness, at);
	await(freshness, at, newest);
	return false;
}

bool
freshness_note_version(freshness_t *freshness, uint64_t in_force)
{
	bool grown = false;

	if (freshness->next.version != 0 &&
	    in_force >= freshness->next.version) {
		grown = confirm_up_to(freshness, freshness->next.at);
		freshness->next = freshness->last;
		freshness->last = (awaited_version_t){0};
	}
	if (freshness->next.version != 0 &&
	    in_force >= freshness->next.version) {
		grown |= confirm_up_to(freshness, freshness->next.at);
		freshness->next = (awaited_version_t){0};
	}
	return grown;
}

dff_time_t
freshness_age(const freshness_t *freshness, dff_time_t now)
{
	return freshness->confirmed ? now - freshness->confirmed_at :
				      DFF_TIME_NEVER;
}
