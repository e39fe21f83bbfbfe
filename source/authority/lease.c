/*
 * Leases of shards. The holder counts its term from before it sent the
 * append, all others from after they read it plus the allowance for drift,
 * so no two terms overlap. A claim names the record of the lease that its
 * writer had read last; one that was overtaken by a renewal has lost.
 *
 * Appends: a holder renews when half of its term is left, so two appends a
 * shard a term. Candidates come in turn, a step apart, so that a lease
 * that fell free costs about one claim and not one a node.
 */
#include <string.h>

#include "authority/parts.h"

/* Steps between candidates in a term, and the longest step. */
#define STEPS_PER_TERM 8
#define STEP_MAX       DFF_SEC
/* Later candidates all wait this many steps. */
#define RANK_MAX 8

bool
lease_valid(const dff_authority_t *auth, const shard_t *shard, dff_time_t now)
{
	return now < shard->valid_until &&
	    lease_is_held_by(authority_state_lease(&auth->state, shard->name),
		auth->config.node, auth->config.incarnation);
}

static uint64_t
weigh(const char *vm, const char *shard)
{
	return dff_hash(vm, strlen(vm), dff_hash(shard, strlen(shard), 0));
}

/* Nodes of the shard's own domain come first, then by hash. */
uint32_t
lease_rank(const dff_authority_t *auth, const shard_t *shard)
{
	char id[DFF_NAME_MAX];
	uint64_t own;
	bool own_far;
	uint32_t rank = 0;

	vm_of_node(auth->config.node, id);
	own = weigh(id, shard->name);
	own_far = strcmp(auth->config.domain, shard->domain) != 0;
	for (guint i = 0; i < auth->vms->len; i++) {
		const dff_vm_t *vm = &g_array_index(auth->vms, dff_vm_t, i);
		bool far = strcmp(vm->domain, shard->domain) != 0;

		if (vm->kind != DFF_VM_ENTRY || vm->leaving ||
		    strcmp(vm->id, id) == 0)
			continue;
		if (far != own_far)
			rank += own_far;
		else if (weigh(vm->id, shard->name) < own)
			rank++;
	}
	return rank;
}

/* The moment from which this node may claim a lease. */
static dff_time_t
claim_at(
    const dff_authority_t *auth, const shard_t *shard, const lease_t *lease)
{
	dff_time_t step = MIN(auth->config.term / STEPS_PER_TERM, STEP_MAX);
	dff_time_t free_at = shard->known_at;

	if (lease != NULL && lease->fence != 0) {
		free_at = lease->read_at;
		if (!lease->released && !DFF_FAULT(NO_TERM_WAIT))
			free_at += lease->term + auth->config.drift;
	} else if (auth->rebased_at != 0) {
		/* A holder from before that renews within its term. */
		free_at = MAX(free_at, auth->rebased_at) + auth->config.term +
		    auth->config.drift;
	}
	return free_at + MIN(shard->rank, RANK_MAX) * step;
}

static void
claim(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const lease_t *lease, dff_time_t now, dff_effects_t *fx)
{
	Dff__Lease body = DFF__LEASE__INIT;

	body.shard = shard->name;
	body.holder = auth->config.node;
	body.incarnation = auth->config.incarnation;
	body.term_ms = (uint64_t)(auth->config.term / DFF_MSEC);
	body.after = lease != NULL ? lease->last : 0;
	(void)append_lease(auth, APPEND_CLAIM, &body, now, fx);
	shard->lease_append_at = now + auth->config.term / 2;
	dff_log(ctx, DFF_LOG_INFO, "lease",
	    "claimed, not read back yet. shard=%s rank=%u", shard->name,
	    shard->rank);
}

static void
append_own(dff_authority_t *auth, shard_t *shard, const lease_t *lease,
    append_kind_t kind, dff_time_t now, dff_effects_t *fx)
{
	Dff__Lease body = DFF__LEASE__INIT;

	body.shard = shard->name;
	body.holder = auth->config.node;
	body.incarnation = auth->config.incarnation;
	body.term_ms = (uint64_t)(lease->term / DFF_MSEC);
	body.fence = lease->fence;
	(void)append_lease(auth, kind, &body, now, fx);
	shard->lease_append_at = now + append_retry(auth);
}

static bool
has_open_work(const dff_authority_t *auth, const shard_t *shard)
{
	return shard->change.phase != CHANGE_NONE ||
	    authority_state_marked(&auth->state, shard->name) != NULL ||
	    authority_state_open(&auth->state, shard->name) != NULL;
}

static void
keep(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const lease_t *lease, dff_time_t now, dff_effects_t *fx)
{
	bool open = has_open_work(auth, shard);

	if (!open && (auth->stopping || shard->engines == 0)) {
		dff_log(ctx, DFF_LOG_INFO, "lease",
		    "released. shard=%s fence=%" G_GUINT64_FORMAT, shard->name,
		    lease->fence);
		append_own(auth, shard, lease, APPEND_RELEASE, now, fx);
		return;
	}
	if (shard->valid_until - now <= lease->term / 2)
		append_own(auth, shard, lease, APPEND_RENEW, now, fx);
}

static bool
may_claim(const dff_authority_t *auth, const shard_t *shard,
    const lease_t *lease, dff_time_t now)
{
	if (auth->stopping)
		return false;
	if (shard->engines == 0 && !has_open_work(auth, shard))
		return false;
	/* Whoever has not read the stream of late would claim in vain. */
	if (auth->head_asked == 0 || now - auth->head_asked > auth->config.term)
		return false;
	return now >= claim_at(auth, shard, lease);
}

void
lease_step(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    dff_time_t now, dff_effects_t *fx)
{
	const lease_t *lease;

	if (now < shard->lease_append_at)
		return;
	lease = authority_state_lease(&auth->state, shard->name);
	if (lease_is_held_by(
		lease, auth->config.node, auth->config.incarnation))
		keep(ctx, auth, shard, lease, now, fx);
	else if (may_claim(auth, shard, lease, now))
		claim(ctx, auth, shard, lease, now, fx);
}

void
lease_read_back(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const append_t *append, uint64_t offset, dff_time_t now)
{
	const lease_t *lease = authority_state_lease(&auth->state, shard->name);
	dff_time_t from = append->sent_at;

	if (!lease_is_held_by(
		lease, auth->config.node, auth->config.incarnation) ||
	    lease->last != offset)
		return;
	if (DFF_FAULT(TERM_FROM_READ))
		from = now;
	if (append->kind == APPEND_CLAIM) {
		shard->valid_until = 0;
		dff_log(ctx, DFF_LOG_NOTICE, "lease",
		    "got. shard=%s fence=%" G_GUINT64_FORMAT, shard->name,
		    lease->fence);
	}
	shard->valid_until = MAX(shard->valid_until, from + lease->term);
	shard->lease_append_at = 0;
}
