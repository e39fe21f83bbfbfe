/*
 * The moment up to which this node's configuration is confirmed: every version
 * that the store accepted before it is in force here, or replaced by a later
 * one. Moments are by this node's own clock.
 */
#ifndef DFF_RELAY_FRESHNESS_H
#define DFF_RELAY_FRESHNESS_H

#include "dragonflyfall/base.h"

/** struct awaited_version - a moment that is confirmed once @version is in
 *	force; 0 for none */
typedef struct awaited_version {
	uint64_t version;
	dff_time_t at;
} awaited_version_t;

/**
 * struct freshness - what is known of it
 * @confirmed: whether there was a confirmation
 * @confirmed_at: the confirmed moment
 * @next: the lowest version that is awaited
 * @last: the highest one, if it is another
 */
typedef struct freshness {
	bool confirmed;
	dff_time_t confirmed_at;
	awaited_version_t next;
	awaited_version_t last;
} freshness_t;

/**
 * freshness_confirm() - apply a confirmation
 * @at: when the question was asked to which the newest version was @newest
 * @in_force: version in force at this node
 *
 * A source whose newest version is older than that in force may have lost
 * versions and confirms nothing.
 *
 * Return: whether the confirmed moment has grown.
 */
bool freshness_confirm(
    freshness_t *freshness, dff_time_t at, uint64_t newest, uint64_t in_force);

/** freshness_note_version() - a version is in force now; returns the same */
bool freshness_note_version(freshness_t *freshness, uint64_t in_force);

/** freshness_age() - time since the confirmed moment, DFF_TIME_NEVER if there is
 *	none */
dff_time_t freshness_age(const freshness_t *freshness, dff_time_t now);

#endif
