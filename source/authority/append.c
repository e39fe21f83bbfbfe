#include <string.h>

#include "authority/internal.h"

/* Appends of one record within a lease term while none is read back. */
#define APPENDS_PER_TERM 8

dff_time_t
append_retry_delay(const dff_authority_t *auth)
{
	return auth->config.term / APPENDS_PER_TERM;
}

static uint64_t
add_append(dff_authority_t *auth, append_kind_t kind, const char *shard,
    Dff__Record *record, dff_time_t now, dff_effects_t *fx)
{
	append_t *append = g_new0(append_t, 1);
	dff_effect_t *effect;
	uint8_t *data;
	size_t len;

	append->sequence = ++auth->sequence;
	append->kind = kind;
	append->appended_at = now;
	g_strlcpy(append->shard, shard, sizeof(append->shard));
	g_hash_table_insert(auth->appends, &append->sequence, append);

	record->version = AUTHORITY_RECORD_VERSION;
	record->writer = auth->config.node;
	record->incarnation = auth->config.incarnation;
	record->sequence = append->sequence;
	len = dff__record__get_packed_size(record);
	data = g_malloc(len);
	(void)dff__record__pack(record, data);
	effect = dff_effects_add(fx, DFF_FX_LOG_APPEND);
	effect->u.log_append.id = DFF_AUTHORITY_APPEND_TAG | append->sequence;
	effect->u.log_append.stream = DFF_STREAM_AUTHORITY;
	effect->u.log_append.data = dff_effects_copy(fx, data, len);
	effect->u.log_append.len = len;
	g_free(data);
	return append->sequence;
}

uint64_t
append_lease(dff_authority_t *auth, append_kind_t kind, const Dff__Lease *body,
    dff_time_t now, dff_effects_t *fx)
{
	Dff__Record record = DFF__RECORD__INIT;

	switch (kind) {
	case APPEND_CLAIM:
		record.body_case = DFF__RECORD__BODY_LEASE_CLAIM;
		break;
	case APPEND_RENEW:
		record.body_case = DFF__RECORD__BODY_LEASE_RENEW;
		break;
	case APPEND_RELEASE:
		record.body_case = DFF__RECORD__BODY_LEASE_RELEASE;
		break;
	default:
		record.body_case = DFF__RECORD__BODY_LEASE_ACK;
		break;
	}
	/* All four are members of one union of pointers. */
	record.lease_claim = (Dff__Lease *)body;
	return add_append(auth, kind, body->shard, &record, now, fx);
}

uint64_t
append_mark(dff_authority_t *auth, const Dff__DrainMark *body, dff_time_t now,
    dff_effects_t *fx)
{
	Dff__Record record = DFF__RECORD__INIT;

	record.body_case = DFF__RECORD__BODY_DRAIN;
	record.drain = (Dff__DrainMark *)body;
	return add_append(auth, APPEND_MARK, body->shard, &record, now, fx);
}

uint64_t
append_intent(dff_authority_t *auth, const Dff__OrderIntent *body,
    dff_time_t now, dff_effects_t *fx)
{
	Dff__Record record = DFF__RECORD__INIT;

	record.body_case = DFF__RECORD__BODY_INTENT;
	record.intent = (Dff__OrderIntent *)body;
	return add_append(auth, APPEND_INTENT, body->shard, &record, now, fx);
}

uint64_t
append_outcome(dff_authority_t *auth, const Dff__OrderOutcome *body,
    dff_time_t now, dff_effects_t *fx)
{
	Dff__Record record = DFF__RECORD__INIT;

	record.body_case = DFF__RECORD__BODY_ORDER_OUTCOME;
	record.order_outcome = (Dff__OrderOutcome *)body;
	return add_append(auth, APPEND_OUTCOME, body->shard, &record, now, fx);
}
