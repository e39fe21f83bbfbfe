#include "relay/key_check.h"

#include "base/fault.h"

/* Part of the time limits that is left unused: clocks of VMs differ in speed,
 * and a caller's clock may be read a little before the request is sent. */
#define MARGIN_SHARE 0.02

static dff_time_t
with_margin(dff_time_t limit)
{
	return (dff_time_t)((double)limit * (1 - MARGIN_SHARE));
}

/*
 * A configuration that the store accepted later than the confirmed moment may
 * be missing here. It removes a key for requests sent @revoke_time after that,
 * and adds one for those sent @config_time after it; a request is sent before
 * it is checked.
 */
key_verdict_t
key_check(const dff_organisations_t *organisations, const char *key,
    const key_rules_t *rules, const dff_organisation_t **found)
{
	*found = dff_organisations_find(organisations, key);
	if (*found != NULL) {
		if (!rules->strict ||
		    rules->age <= with_margin(rules->revoke_time) ||
		    DFF_FAULT(RELAY_REVOKED_KEY_RUNS))
			return KEY_ACCEPTED;
		*found = NULL;
		return KEY_UNCONFIRMED;
	}
	if (rules->age > with_margin(rules->config_time) &&
	    !DFF_FAULT(RELAY_UNKNOWN_KEY_UNCONFIRMED))
		return KEY_UNCONFIRMED;
	if (DFF_FAULT(RELAY_UNKNOWN_KEY_RUNS))
		return KEY_ACCEPTED;
	return *key == '\0' ? KEY_MISSING : KEY_UNKNOWN;
}
