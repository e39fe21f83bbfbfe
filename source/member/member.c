#include "dragonflyfall/member.h"

#include <inttypes.h>
#include <string.h>

#include <glib.h>

#define PART "member"

struct dff_members {
	dff_members_config_t config;
	GPtrArray *list; /* dff_member_t, in order of id */
	GHashTable *by_id; /* id -> dff_member_t, borrowed */
	GPtrArray *domains; /* names of the other domains, borrowed */
};

static const char *const state_names[] = {
    "unknown", "live", "suspect", "dead", "left"};

const char *
dff_member_state_name(dff_member_state_t state)
{
	return state < G_N_ELEMENTS(state_names) ? state_names[state] : "?";
}

dff_members_t *
dff_members_new(dff_ctx_t *ctx, const dff_members_config_t *config)
{
	dff_members_t *members;

	(void)ctx;
	members = g_new0(dff_members_t, 1);
	members->config = *config;
	members->list = g_ptr_array_new_with_free_func(g_free);
	members->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	members->domains = g_ptr_array_new();
	return members;
}

void
dff_members_drop(dff_members_t *members)
{
	if (members == NULL)
		return;
	g_hash_table_unref(members->by_id);
	g_ptr_array_unref(members->domains);
	g_ptr_array_unref(members->list);
	g_free(members);
}

static dff_member_t *
find_member(const dff_members_t *members, const char *id)
{
	return g_hash_table_lookup(members->by_id, id);
}

/*
 * The member for a peer in the VM list: a copy if already known at that
 * address, otherwise a new one.
 */
static dff_member_t *
member_of_vm(
    dff_ctx_t *ctx, dff_members_t *members, const dff_vm_t *vm, dff_time_t now)
{
	dff_member_t *old;
	dff_member_t *member;

	member = g_new0(dff_member_t, 1);
	old = find_member(members, vm->id);
	if (old != NULL && strcmp(old->addr, vm->addr) == 0) {
		*member = *old;
	} else {
		(void)dff_name_copy(member->id, vm->id);
		member->last_frame_at = now;
		dff_log(ctx, DFF_LOG_INFO, PART,
		    "peer added from the VM list. peer=%s addr=%s domain=%s",
		    vm->id, vm->addr, vm->domain);
	}
	(void)g_strlcpy(member->addr, vm->addr, sizeof(member->addr));
	(void)dff_name_copy(member->domain, vm->domain);
	member->same_domain = strcmp(vm->domain, members->config.domain) == 0;
	return member;
}

static bool
has_domain(const dff_members_t *members, const char *domain)
{
	for (guint i = 0; i < members->domains->len; i++) {
		if (strcmp(g_ptr_array_index(members->domains, i), domain) == 0)
			return true;
	}
	return false;
}

static void
index_members(dff_members_t *members)
{
	g_hash_table_remove_all(members->by_id);
	g_ptr_array_set_size(members->domains, 0);
	for (guint i = 0; i < members->list->len; i++) {
		dff_member_t *member = g_ptr_array_index(members->list, i);

		g_hash_table_insert(members->by_id, member->id, member);
		if (!member->same_domain &&
		    !has_domain(members, member->domain))
			g_ptr_array_add(members->domains, member->domain);
	}
}

static gint
compare_id(gconstpointer a, gconstpointer b)
{
	const dff_member_t *const *x = a;
	const dff_member_t *const *y = b;

	return strcmp((*x)->id, (*y)->id);
}

void
dff_members_set_vms(dff_ctx_t *ctx, dff_members_t *members, const dff_vm_t *vms,
    size_t count, dff_time_t now)
{
	GPtrArray *list;

	list = g_ptr_array_new_with_free_func(g_free);
	for (size_t i = 0; i < count; i++) {
		if (vms[i].kind != DFF_VM_ENTRY)
			continue;
		if (strcmp(vms[i].id, members->config.id) == 0)
			continue;
		g_ptr_array_add(list, member_of_vm(ctx, members, &vms[i], now));
	}
	g_ptr_array_sort(list, compare_id);
	g_hash_table_remove_all(members->by_id);
	g_ptr_array_unref(members->list);
	members->list = list;
	index_members(members);
}

dff_frame_sender_t
dff_members_receive_frame(dff_ctx_t *ctx, dff_members_t *members,
    const char *id, uint64_t incarnation, dff_time_t now, dff_member_t **member)
{
	dff_member_t *peer;
	dff_frame_sender_t sender = DFF_SENDER_LIVE;

	peer = find_member(members, id);
	if (peer == NULL)
		return DFF_SENDER_UNKNOWN;
	*member = peer;
	if (incarnation < peer->incarnation) {
		dff_log(ctx, DFF_LOG_NOTICE, PART,
		    "frame from an old process dropped. peer=%s", id);
		return DFF_SENDER_STALE;
	}
	if (peer->state == DFF_MEMBER_LEFT && incarnation == peer->incarnation)
		return DFF_SENDER_STALE;
	if (incarnation > peer->incarnation && peer->incarnation != 0)
		sender = DFF_SENDER_RESTARTED;
	else if (peer->state != DFF_MEMBER_LIVE)
		sender = DFF_SENDER_RETURNED;
	if (sender != DFF_SENDER_LIVE)
		dff_log(ctx, DFF_LOG_NOTICE, PART,
		    "peer is live. peer=%s incarnation=%" PRIu64 " was=%s", id,
		    incarnation, dff_member_state_name(peer->state));
	peer->incarnation = incarnation;
	peer->state = DFF_MEMBER_LIVE;
	peer->last_frame_at = now;
	return sender;
}

void
dff_members_mark_left(dff_ctx_t *ctx, dff_members_t *members, const char *id)
{
	dff_member_t *peer;

	peer = find_member(members, id);
	if (peer == NULL)
		return;
	peer->state = DFF_MEMBER_LEFT;
	dff_log(ctx, DFF_LOG_NOTICE, PART, "peer is leaving. peer=%s", id);
}

/*
 * Whether silence counts: a member of another domain that is no relay sends
 * nothing.
 */
static bool
is_watched(const dff_member_t *member)
{
	return member->same_domain || member->incarnation != 0;
}

const dff_member_t *
dff_members_sweep(dff_ctx_t *ctx, dff_members_t *members, dff_time_t now)
{
	const dff_members_config_t *config = &members->config;

	for (guint i = 0; i < members->list->len; i++) {
		dff_member_t *member = g_ptr_array_index(members->list, i);
		dff_time_t silence = now - member->last_frame_at;

		if (member->state == DFF_MEMBER_DEAD ||
		    member->state == DFF_MEMBER_LEFT || !is_watched(member))
			continue;
		if (silence >= config->dead_after) {
			member->state = DFF_MEMBER_DEAD;
			dff_log(ctx, DFF_LOG_WARNING, PART,
			    "peer declared dead. peer=%s silence_ms=%" PRId64,
			    member->id, silence / DFF_MSEC);
			return member;
		}
		if (silence >= config->suspect_after &&
		    member->state == DFF_MEMBER_LIVE) {
			member->state = DFF_MEMBER_SUSPECT;
			dff_log(ctx, DFF_LOG_NOTICE, PART,
			    "peer suspected. peer=%s silence_ms=%" PRId64,
			    member->id, silence / DFF_MSEC);
		}
	}
	return NULL;
}

size_t
dff_members_count(const dff_members_t *members)
{
	return members->list->len;
}

const dff_member_t *
dff_members_at(const dff_members_t *members, size_t i)
{
	return g_ptr_array_index(members->list, i);
}

const dff_member_t *
dff_members_find(const dff_members_t *members, const char *id)
{
	return find_member(members, id);
}

static uint64_t
relay_rank(const char *domain, const char *id)
{
	return dff_hash(id, strlen(id), dff_hash(domain, strlen(domain), 0));
}

static bool
is_relay_candidate(const dff_member_t *member)
{
	return member->state != DFF_MEMBER_DEAD &&
	    member->state != DFF_MEMBER_LEFT;
}

bool
dff_members_is_relay(const dff_members_t *members)
{
	const dff_members_config_t *config = &members->config;
	uint64_t own;

	own = relay_rank(config->domain, config->id);
	for (guint i = 0; i < members->list->len; i++) {
		const dff_member_t *peer = g_ptr_array_index(members->list, i);

		if (!peer->same_domain || !is_relay_candidate(peer))
			continue;
		if (relay_rank(peer->domain, peer->id) > own)
			return false;
	}
	return true;
}

/*
 * The member of a domain with the highest rank. While the whole domain is
 * silent its members take turns, since the one with the highest rank may have
 * died without any node here having learned of it.
 */
static const dff_member_t *
relay_of(const dff_members_t *members, const char *domain, dff_time_t now)
{
	const dff_member_t *best = NULL;
	dff_time_t turn = now / members->config.suspect_after;
	dff_time_t last_frame_at = INT64_MIN;
	uint64_t best_rank = 0;

	for (guint i = 0; i < members->list->len; i++) {
		const dff_member_t *peer = g_ptr_array_index(members->list, i);

		if (strcmp(peer->domain, domain) == 0 && peer->incarnation != 0)
			last_frame_at = MAX(last_frame_at, peer->last_frame_at);
	}
	for (guint i = 0; i < members->list->len; i++) {
		const dff_member_t *peer = g_ptr_array_index(members->list, i);
		uint64_t rank;

		if (!is_relay_candidate(peer) ||
		    strcmp(peer->domain, domain) != 0)
			continue;
		rank = relay_rank(domain, peer->id);
		if (last_frame_at < now - members->config.suspect_after)
			rank = dff_hash(&turn, sizeof(turn), rank);
		if (best == NULL || rank > best_rank) {
			best = peer;
			best_rank = rank;
		}
	}
	return best;
}

size_t
dff_members_relays(const dff_members_t *members, dff_time_t now,
    const dff_member_t **relays, size_t max)
{
	size_t count = 0;

	for (guint i = 0; i < members->domains->len && count < max; i++) {
		const char *domain = g_ptr_array_index(members->domains, i);

		relays[count] = relay_of(members, domain, now);
		if (relays[count] != NULL)
			count++;
	}
	return count;
}

uint32_t
dff_members_count_visible(
    const dff_members_t *members, dff_time_t now, uint32_t *total)
{
	dff_time_t max_silence = members->config.dead_after;
	uint32_t local_live = 1;
	uint32_t relayed_live = 0;
	uint32_t reported_live = 0;

	for (guint i = 0; i < members->list->len; i++) {
		const dff_member_t *peer = g_ptr_array_index(members->list, i);

		if (peer->incarnation == 0 ||
		    now - peer->last_frame_at >= max_silence ||
		    !is_relay_candidate(peer))
			continue;
		if (peer->same_domain) {
			local_live++;
			reported_live = MAX(reported_live, peer->remote_live);
		} else {
			relayed_live += peer->remote_live;
		}
	}
	*total = members->list->len + 1;
	return MIN(local_live + MAX(relayed_live, reported_live), *total);
}
