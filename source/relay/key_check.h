/*
 * Decides whether a caller's key allows its request.
 */
#ifndef DFF_RELAY_KEY_CHECK_H
#define DFF_RELAY_KEY_CHECK_H

#include "dragonflyfall/relay.h"

/** enum key_verdict - result of a check */
typedef enum key_verdict {
	KEY_ACCEPTED,
	KEY_MISSING, /* the request has no key: 401 */
	KEY_UNKNOWN, /* no organisation has it: 401 */
	/* The configuration of this node may be too old to decide: 503. */
	KEY_UNCONFIRMED,
} key_verdict_t;

/**
 * struct key_rules - what a check depends on beside the key
 * @age: time since the moment up to which the configuration is confirmed;
 *	DFF_TIME_NEVER if it never was
 * @strict: a removed key counts nowhere after @revoke_time
 * @revoke_time: time from the store's answer to a configuration after which the
 *	keys that it removes do not count
 * @config_time: time within which a new configuration is in force
 */
typedef struct key_rules {
	dff_time_t age;
	bool strict;
	dff_time_t revoke_time;
	dff_time_t config_time;
} key_rules_t;

/**
 * key_check() - check a key against the organisations of a configuration
 * @found: set to the organisation that has the key, else to NULL
 */
key_verdict_t key_check(const dff_organisations_t *organisations,
    const char *key, const key_rules_t *rules,
    const dff_organisation_t **found);

#endif
