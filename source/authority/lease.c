/*
 * Leases of shards. The holder counts its term from a time before it sent
 * the append. All other nodes count from a time after they read the record
 * and add the allowance for clock drift, so no two terms overlap. A claim
 * names the last record of the lease that its writer had read; it is ignored
 * if a renewal or another claim precedes it in the log.
 *
 * A holder renews when half of its term is left, which makes two appends per
 * shard and term. Candidates may claim one after another, a step apart, so
 * that a free lease costs about one claim instead of one per node.
 */
#include <string.h>

#include "authority/internal.h"

/* Steps between candidates in one term, and the longest step. */
#define RANK_STEPS_PER_TERM 8
#define RANK_STEP_MAX	    DFF_SEC
/* Candidates of a higher rank all wait this many steps. */
#define RANK_MAX 8

bool
lease_valid(const dff_authority_t *auth, const shard_t *shard, dff_time_t now)
{
	return now < shard->lease_valid_until &&
	    lease_is_held_by(authority_state_lease(&auth->state, shard->name),
		auth->config.node, auth->config.incarnation);
}

static uint64_t
rank_hash(const char *vm, const char *shard)
{
	return dff_hash(vm, strlen(vm), dff_hash(shard, strlen(shard), 0));
}

/* Ranks nodes of the shard's domain first, then by hash. */
uint32_t
lease_rank(const dff_authority_t *auth, const shard_t *shard)
{
	char id[DFF_NAME_MAX];
	uint64_t own_hash;
	bool own_remote;
	uint32_t rank = 0;

	vm_id_of_node(auth->config.node, id);
	own_hash = rank_hash(id, shard->name);
	own_remote = strcmp(auth->config.domain, shard->domain) != 0;
	for (guint i = 0; i < auth->vms->len; i++) {
		const dff_vm_t *vm = &g_array_index(auth->vms, dff_vm_t, i);
		bool remote = strcmp(vm->domain, shard->domain) != 0;

		if (vm->kind != DFF_VM_ENTRY || vm->leaving ||
		    strcmp(vm->id, id) == 0)
			continue;
		if (remote != own_remote)
			rank += own_remote;
		else if (rank_hash(vm->id, shard->name) < own_hash)
			rank++;
	}
	return rank;
}

/* The time from which this node may claim a lease. */
static dff_time_t
earliest_claim_at(
    const dff_authority_t *auth, const shard_t *shard, const lease_t *lease)
{
	dff_time_t step =
	    MIN(auth->config.term / RANK_STEPS_PER_TERM, RANK_STEP_MAX);
	dff_time_t free_at = shard->first_seen_at;

	if (lease != NULL && lease->fence != 0) {
		free_at = lease->read_at;
		if (!lease->released && !DFF_FAULT(NO_TERM_WAIT))
			free_at += lease->term + auth->config.drift;
	} else if (auth->rebased_at != 0) {
		/* A holder whose claim is unknown here renews in its term. */
		free_at = MAX(free_at, auth->rebased_at) + auth->config.term +
		    auth->config.drift;
	}
	return free_at + MIN(shard->rank, RANK_MAX) * step;
}

static void
append_claim(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const lease_t *lease, dff_time_t now, dff_effects_t *fx)
{
	Dff__Lease body = DFF__LEASE__INIT;

	body.shard = shard->name;
	body.holder = auth->config.node;
	body.incarnation = auth->config.incarnation;
	body.term_ms = (uint64_t)(auth->config.term / DFF_MSEC);
	body.after = lease != NULL ? lease->last_offset : 0;
	(void)append_lease(auth, APPEND_CLAIM, &body, now, fx);
	shard->next_lease_append_at = now + auth->config.term / 2;
	dff_log(ctx, DFF_LOG_INFO, "lease",
	    "lease claimed, not read back yet. shard=%s rank=%u", shard->name,
	    shard->rank);
}

static void
append_own_lease(dff_authority_t *auth, shard_t *shard, const lease_t *lease,
    append_kind_t kind, dff_time_t now, dff_effects_t *fx)
{
	Dff__Lease body = DFF__LEASE__INIT;

	body.shard = shard->name;
	body.holder = auth->config.node;
	body.incarnation = auth->config.incarnation;
	body.term_ms = (uint64_t)(lease->term / DFF_MSEC);
	body.fence = lease->fence;
	(void)append_lease(auth, kind, &body, now, fx);
	shard->next_lease_append_at = now + append_retry_delay(auth);
}

static bool
has_open_change(const dff_authority_t *auth, const shard_t *shard)
{
	return shard->change.phase != CHANGE_NONE ||
	    authority_state_shard_mark(&auth->state, shard->name) != NULL ||
	    authority_state_open_order(&auth->state, shard->name) != NULL;
}

static void
maintain_lease(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const lease_t *lease, dff_time_t now, dff_effects_t *fx)
{
	bool open = has_open_change(auth, shard);

	if (!open && (auth->stopping || shard->engine_count == 0)) {
		dff_log(ctx, DFF_LOG_INFO, "lease",
		    "lease release appended. shard=%s fence=%" G_GUINT64_FORMAT,
		    shard->name, lease->fence);
		append_own_lease(auth, shard, lease, APPEND_RELEASE, now, fx);
		return;
	}
	if (shard->lease_valid_until - now <= lease->term / 2)
		append_own_lease(auth, shard, lease, APPEND_RENEW, now, fx);
}

static bool
may_claim(const dff_authority_t *auth, const shard_t *shard,
    const lease_t *lease, dff_time_t now)
{
	if (auth->stopping)
		return false;
	if (shard->engine_count == 0 && !has_open_change(auth, shard))
		return false;
	/* A claim based on an old state of the stream would be ignored. */
	if (auth->caught_up_at == 0 ||
	    now - auth->caught_up_at > auth->config.term)
		return false;
	return now >= earliest_claim_at(auth, shard, lease);
}

void
lease_step(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    dff_time_t now, dff_effects_t *fx)
{
	const lease_t *lease;

	if (now < shard->next_lease_append_at)
		return;
	lease = authority_state_lease(&auth->state, shard->name);
	if (lease_is_held_by(
		lease, auth->config.node, auth->config.incarnation))
		maintain_lease(ctx, auth, shard, lease, now, fx);
	else if (may_claim(auth, shard, lease, now))
		append_claim(ctx, auth, shard, lease, now, fx);
}

void
lease_read_back(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const append_t *append, uint64_t offset, dff_time_t now)
{
	const lease_t *lease = authority_state_lease(&auth->state, shard->name);
	dff_time_t from = append->appended_at;

	if (!lease_is_held_by(
		lease, auth->config.node, auth->config.incarnation) ||
	    lease->last_offset != offset)
		return;
	if (DFF_FAULT(TERM_FROM_READ))
		from = now;
	if (append->kind == APPEND_CLAIM) {
		shard->lease_valid_until = 0;
		dff_log(ctx, DFF_LOG_NOTICE, "lease",
		    "lease acquired. shard=%s fence=%" G_GUINT64_FORMAT,
		    shard->name, lease->fence);
	}
	shard->lease_valid_until =
	    MAX(shard->lease_valid_until, from + lease->term);
	shard->next_lease_append_at = 0;
}
