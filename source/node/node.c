/*
 * The reducer: passes each event to the modules that handle it, applies their
 * decisions on calls, then reports the node's readiness and its next wake-up.
 */
#include "internal.h"

#include <errno.h>
#include <inttypes.h>
#include <string.h>

#define PART "node"

/* Period in which a placer reconsiders the roles of engines. */
#define ROLE_PERIOD (1 * DFF_SEC)
/* Maximum number of leases for which role changes are considered. */
#define LEASES_MAX 512
/* Low bits of an attempt id that count; the others identify the process. */
#define ATTEMPT_COUNT_BITS 32

void
dff_node_defaults(dff_node_config_t *config)
{
	memset(config, 0, sizeof(*config));
	config->heartbeat_period = 200 * DFF_MSEC;
	config->suspect_after = 3 * DFF_SEC;
	config->dead_after = 6 * DFF_SEC;
	config->isolated_after = 5 * DFF_SEC;
	config->snapshot_period = 60 * DFF_SEC;
	config->drain_time = 30 * DFF_SEC;
	config->attempt_idle_timeout = 10 * DFF_SEC;
	config->max_calls = 10000;
	config->policy.kind = DFF_POLICY_PREDICT;
	config->claims.batch_delay = 5 * DFF_MSEC;
	config->claims.batch_max = 256;
	config->claims.decision_timeout = 3 * DFF_SEC;
	config->claims.key_retention_ms = 24ULL * 3600 * 1000;
	config->authority.term = 6 * DFF_SEC;
	config->authority.drift = 500 * DFF_MSEC;
	config->authority.tcp_timeout = 5 * DFF_SEC;
	config->authority.drain_timeout = 60 * DFF_SEC;
}

static void
fill_config(dff_node_t *node, const dff_node_config_t *settings)
{
	dff_node_config_t *config = &node->config;

	*config = *settings;
	(void)dff_name_copy(config->claims.node, config->id);
	config->claims.incarnation = config->incarnation;
	(void)dff_name_copy(config->authority.node, config->id);
	(void)dff_name_copy(config->authority.domain, config->domain);
	config->authority.incarnation = config->incarnation;
	config->authority.can_hold_leases = config->place;
	(void)dff_name_copy(config->policy.domain, config->domain);
}

dff_node_t *
dff_node_new(dff_ctx_t *ctx, const dff_node_config_t *settings)
{
	dff_members_config_t members = {0};
	const dff_node_config_t *config;
	uint64_t process;
	dff_node_t *node;

	node = g_new0(dff_node_t, 1);
	fill_config(node, settings);
	config = &node->config;
	node->timers = dff_timers_new();
	node->history = dff_history_new(ctx);
	node->claims = dff_claims_new(ctx, &config->claims, node->timers);
	node->authority =
	    dff_authority_new(ctx, &config->authority, node->timers);
	node->policy = dff_policy_new(ctx, &config->policy);
	node->roles = dff_roles_new(ctx);
	(void)dff_name_copy(members.id, config->id);
	(void)dff_name_copy(members.domain, config->domain);
	members.incarnation = config->incarnation;
	members.suspect_after = config->suspect_after;
	members.dead_after = config->dead_after;
	node->members = dff_members_new(ctx, &members);
	node->poison = poison_new();
	node->peers = peers_new();
	node->watch = watch_new();
	node->names = names_new();
	node->calls = dff_table_new(sizeof(call_t));
	node->calls_by_id =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	node->calls_by_attempt =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	node->vms = g_array_new(FALSE, FALSE, sizeof(dff_vm_t));
	node->incarnations =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	stream_init(node);
	process = dff_hash(config->id, strlen(config->id), config->incarnation);
	node->attempt_base = process << ATTEMPT_COUNT_BITS;
	node->wake_at = DFF_TIME_NEVER;
	node->ready_reason = "starting";
	return node;
}

static void
drop_calls(dff_node_t *node)
{
	void *row;

	for (dff_handle_t h = 0;
	     (h = dff_table_next(node->calls, h, &row)) != 0;)
		call_close(node, row);
}

void
dff_node_drop(dff_node_t *node)
{
	if (node == NULL)
		return;
	drop_calls(node);
	stream_free(node);
	g_hash_table_unref(node->calls_by_id);
	g_hash_table_unref(node->calls_by_attempt);
	g_hash_table_unref(node->incarnations);
	g_array_unref(node->vms);
	dff_table_drop(node->calls);
	poison_drop(node->poison);
	peers_drop(node->peers);
	watch_drop(node->watch);
	names_drop(node->names);
	dff_members_drop(node->members);
	dff_roles_drop(node->roles);
	dff_policy_drop(node->policy);
	dff_authority_drop(node->authority);
	dff_claims_drop(node->claims);
	dff_history_drop(node->history);
	dff_timers_drop(node->timers);
	g_free(node);
}

uint64_t
node_append_id(dff_node_t *node)
{
	node->append_count++;
	return APPEND_ID_SNAPSHOT | node->append_count;
}

dff_catalogue_t *
node_catalogue(const dff_node_t *node)
{
	return dff_history_catalogue(node->history);
}

void
node_drains_changed(dff_ctx_t *ctx, dff_node_t *node)
{
	for (guint i = 0; i < node->vms->len; i++) {
		const dff_vm_t *vm = &g_array_index(node->vms, dff_vm_t, i);

		if (vm->kind != DFF_VM_ENGINE)
			continue;
		dff_policy_set_drain(ctx, node->policy, vm->id,
		    dff_authority_is_draining(node->authority, vm->id) &&
			!DFF_FAULT(DRAINS_IGNORED));
	}
}

void
node_catalogue_changed(dff_ctx_t *ctx, dff_node_t *node)
{
	dff_catalogue_t *cat = node_catalogue(node);

	if (cat == NULL)
		return;
	dff_log(ctx, DFF_LOG_NOTICE, PART,
	    "catalogue in force. revision=%" PRIu64,
	    dff_history_revision(node->history));
	names_set_catalogue(node->names, cat);
	dff_policy_set_catalogue(ctx, node->policy, cat);
	dff_authority_set_catalogue(node->authority, cat);
	dff_roles_set_catalogue(node->roles, cat);
}

/* Claims held by a removed entry VM will get no outcome from it. */
static void
forget_removed_vms(dff_ctx_t *ctx, dff_node_t *node, const GArray *old_vms)
{
	for (guint i = 0; i < old_vms->len; i++) {
		const dff_vm_t *old = &g_array_index(old_vms, dff_vm_t, i);
		const dff_member_t *peer;
		uint64_t incarnation;

		if (names_vm_by_id(node, old->id) != NULL)
			continue;
		g_hash_table_remove(node->incarnations, old->id);
		if (old->kind != DFF_VM_ENTRY)
			continue;
		peer = dff_members_find(node->members, old->id);
		incarnation = peer != NULL ? peer->incarnation : 0;
		dff_claims_holder_ended(ctx, node->claims, old->id,
		    incarnation != 0 ? incarnation : UINT64_MAX);
	}
}

static bool
is_same_list(const GArray *old, const dff_ev_vm_list_t *ev)
{
	return old->len == ev->count &&
	    (ev->count == 0 ||
		memcmp(old->data, ev->vms, ev->count * sizeof(dff_vm_t)) == 0);
}

static void
update_vm_list(dff_ctx_t *ctx, dff_node_t *node, const dff_ev_vm_list_t *ev,
    dff_time_t now, dff_effects_t *fx)
{
	GArray *old_vms = node->vms;

	/* The authority counts the lists received, also unchanged ones. */
	if (node->vms_known && is_same_list(old_vms, ev)) {
		if (node->config.place)
			dff_authority_load_vms(
			    ctx, node->authority, ev->vms, ev->count, now);
		return;
	}
	node->vms = g_array_new(FALSE, FALSE, sizeof(dff_vm_t));
	if (ev->count > 0)
		g_array_append_vals(node->vms, ev->vms, (guint)ev->count);
	names_load_vms(node->names, node->vms);
	forget_removed_vms(ctx, node, old_vms);
	g_array_unref(old_vms);
	node->vms_known = true;
	dff_members_set_vms(ctx, node->members, ev->vms, ev->count, now);
	dff_policy_set_vms(ctx, node->policy, ev->vms, ev->count, now);
	dff_authority_load_vms(ctx, node->authority, ev->vms, ev->count, now);
	dff_roles_set_vms(node->roles, ev->vms, ev->count, now);
	node_drains_changed(ctx, node);
	watch_update(node, now, fx);
}

void
node_load_report(dff_ctx_t *ctx, dff_node_t *node,
    const dff_ev_engine_report_t *ev, dff_time_t now)
{
	uint64_t *incarnation;

	incarnation = g_hash_table_lookup(node->incarnations, ev->vm);
	if (incarnation == NULL) {
		incarnation = g_new0(uint64_t, 1);
		g_hash_table_insert(
		    node->incarnations, g_strdup(ev->vm), incarnation);
	}
	*incarnation = ev->incarnation;
	poison_apply_report(
	    node->poison, ev->vm, ev->incarnation, ev->sampled_at);
	dff_policy_apply_report(ctx, node->policy, ev, now);
	dff_roles_apply_report(ctx, node->roles, ev, now);
}

static void
start(dff_ctx_t *ctx, dff_node_t *node, dff_time_t now, dff_effects_t *fx)
{
	const dff_node_config_t *config = &node->config;

	node->started = true;
	node->started_at = now;
	dff_log(ctx, DFF_LOG_NOTICE, PART,
	    "node starts. id=%s domain=%s incarnation=%" PRIu64
	    " serve=%d place=%d",
	    config->id, config->domain, config->incarnation, config->serve,
	    config->place);
	stream_start(node, now, fx);
	if (config->serve)
		dff_timers_set(
		    node->timers, DFF_TIMER_MEMBER_HEARTBEAT, 0, now);
	if (config->place) {
		dff_authority_start(node->authority, now);
		dff_timers_set(
		    node->timers, DFF_TIMER_ROLE_TICK, 0, now + ROLE_PERIOD);
	}
	for (int i = 0; i < DFF_STREAM_COUNT; i++)
		dff_timers_set(node->timers, DFF_TIMER_SNAPSHOT, (uint64_t)i,
		    now + config->snapshot_period);
}

static void
stop(dff_ctx_t *ctx, dff_node_t *node, dff_time_t now, dff_effects_t *fx)
{
	if (node->stopping)
		return;
	node->stopping = true;
	dff_log(ctx, DFF_LOG_NOTICE, PART, "node drains. calls=%zu",
	    dff_table_count(node->calls));
	if (node->config.serve)
		peer_announce_leave(ctx, node, fx);
	if (node->config.place)
		dff_authority_stop(ctx, node->authority, now, fx);
	dff_timers_set(
	    node->timers, DFF_TIMER_DRAIN, 0, now + node->config.drain_time);
}

/* Proposes the most useful role change in each domain whose lease is held. */
static void
propose_role_changes(
    dff_ctx_t *ctx, dff_node_t *node, dff_time_t now, dff_effects_t *fx)
{
	dff_lease_view_t *views;
	dff_role_change_t change;
	size_t count;
	int err;

	dff_timers_set(node->timers, DFF_TIMER_ROLE_TICK, 0, now + ROLE_PERIOD);
	if (node->stopping)
		return;
	watch_update(node, now, fx);
	stream_check_base(ctx, node, now, fx);
	views = g_new0(dff_lease_view_t, LEASES_MAX);
	count = dff_authority_leases(node->authority, views, LEASES_MAX);
	for (size_t i = 0; i < MIN(count, LEASES_MAX); i++) {
		const char *domain = strrchr(views[i].shard, '@');

		if (!views[i].held_here || domain == NULL)
			continue;
		if (!dff_roles_propose(
			ctx, node->roles, domain + 1, now, &change))
			continue;
		err = dff_authority_propose(ctx, node->authority, change.vm,
		    DFF_ORDER_ROLE, dff_role_name(change.role), now, fx);
		dff_log(ctx, DFF_LOG_INFO, "place",
		    "role change proposed. vm=%s role=%s taken=%d %s",
		    change.vm, dff_role_name(change.role), err, change.reason);
		if (err == 0)
			dff_roles_record_change(node->roles, &change, now);
	}
	g_free(views);
}

static void
handle_timer(dff_ctx_t *ctx, dff_node_t *node, const dff_timer_t *timer,
    dff_time_t now, dff_effects_t *fx)
{
	switch (timer->kind) {
	case DFF_TIMER_CALL_DEADLINE:
		call_timer_due(ctx, node, timer, now, fx);
		return;
	case DFF_TIMER_CLAIM_FLUSH:
	case DFF_TIMER_CLAIM_SWEEP:
		dff_claims_timer_due(ctx, node->claims, timer, now, fx);
		return;
	case DFF_TIMER_MEMBER_HEARTBEAT:
		if (!node->stopping)
			peer_send_heartbeat(ctx, node, now, fx);
		return;
	case DFF_TIMER_AUTHORITY_TICK:
		dff_authority_due(ctx, node->authority, now, fx);
		return;
	case DFF_TIMER_ROLE_TICK:
		propose_role_changes(ctx, node, now, fx);
		return;
	case DFF_TIMER_SNAPSHOT:
		stream_snapshot(
		    ctx, node, (dff_stream_t)timer->subject, now, fx);
		return;
	case DFF_TIMER_DRAIN:
		if (node->stopping && !node->stopped) {
			node->stopped = true;
			dff_log(ctx, DFF_LOG_WARNING, PART,
			    "drain time is over. calls=%zu",
			    dff_table_count(node->calls));
			dff_effects_add(fx, DFF_FX_STOPPED);
		}
		return;
	case DFF_TIMER_CALL_QUEUE:
	case DFF_TIMER_ATTEMPT:
	case DFF_TIMER_FLEET_TICK:
	case DFF_TIMER_NONE:
	case DFF_TIMER_MEMBER_UPDATE:
		return;
	}
}

static void
run_timers(dff_ctx_t *ctx, dff_node_t *node, dff_time_t now, dff_effects_t *fx)
{
	dff_timer_t timer;

	while (dff_timers_pop(node->timers, now, &timer))
		handle_timer(ctx, node, &timer, now, fx);
}

static const char *
not_ready_reason(const dff_node_t *node, dff_time_t now)
{
	const stream_t *stream = &node->streams[DFF_STREAM_CATALOGUE];
	uint32_t seen;
	uint32_t all;

	if (node->stopping)
		return "draining";
	if (!node->started ||
	    ((!stream->caught_up || !stream->has_base) &&
		!DFF_FAULT(SERVE_BEFORE_CAUGHT_UP)))
		return "catalogue not read up to its end";
	if (node_catalogue(node) == NULL)
		return "no catalogue in force";
	if (!node->vms_known)
		return "VM list not read";
	if (now - stream->last_read_at <= node->config.isolated_after)
		return NULL;
	seen = dff_members_count_visible(node->members, now, &all);
	/* With most peers reachable, a newer revision would be known. */
	if (2 * seen > all)
		return NULL;
	return "log and most peers out of reach";
}

static void
update_ready(
    dff_ctx_t *ctx, dff_node_t *node, dff_time_t now, dff_effects_t *fx)
{
	const char *reason = not_ready_reason(node, now);
	dff_effect_t *effect;
	bool ready = reason == NULL;

	if (ready)
		reason = "ready";
	if (node->ready_reason == reason)
		return;
	node->ready = ready;
	node->ready_reason = reason;
	dff_log(ctx, DFF_LOG_NOTICE, PART, "health changed. ready=%d why=%s",
	    ready, reason);
	effect = dff_effects_add(fx, DFF_FX_HEALTH);
	effect->u.health.ready = ready;
	effect->u.health.reason = reason;
}

static int
dispatch_event(dff_ctx_t *ctx, dff_node_t *node, const dff_event_t *event,
    dff_time_t now, dff_effects_t *fx)
{
	switch (event->type) {
	case DFF_EV_START:
		if (node->started)
			return -EINVAL;
		start(ctx, node, now, fx);
		return 0;
	case DFF_EV_WAKE:
		return 0;
	case DFF_EV_STOP:
		stop(ctx, node, now, fx);
		return 0;
	case DFF_EV_VM_LIST:
		update_vm_list(ctx, node, &event->u.vm_list, now, fx);
		return 0;
	case DFF_EV_LOG_RECORD:
		stream_record(ctx, node, &event->u.log_record, now, fx);
		return 0;
	case DFF_EV_LOG_HEAD:
		stream_read_answered(ctx, node, &event->u.log_head, now);
		return 0;
	case DFF_EV_LOG_DOWN:
		stream_read_failed(ctx, node, event->u.log_down.stream);
		return 0;
	case DFF_EV_LOG_APPENDED:
		node->counters[DFF_COUNT_APPENDS]++;
		if (event->u.log_appended.id >> 56 == APPEND_ID_SNAPSHOT >> 56)
			return 0;
		dff_claims_appended(
		    ctx, node->claims, &event->u.log_appended, now, fx);
		dff_authority_appended(
		    ctx, node->authority, &event->u.log_appended, now, fx);
		return 0;
	case DFF_EV_PEER_UP:
	case DFF_EV_PEER_DOWN:
		return 0;
	case DFF_EV_PEER_FRAME:
		peer_receive_frame(ctx, node, &event->u.peer, now, fx);
		return 0;
	case DFF_EV_CALL_OPEN:
		call_open(ctx, node, &event->u.call_open, now, fx);
		return 0;
	case DFF_EV_CALL_DISCONNECTED:
		call_disconnected(
		    ctx, node, event->u.call_disconnected.call, now, fx);
		return 0;
	case DFF_EV_ATTEMPT_TOKENS:
		attempt_tokens(ctx, node, &event->u.attempt_tokens, now, fx);
		return 0;
	case DFF_EV_ATTEMPT_END:
		attempt_end(ctx, node, &event->u.attempt_end, now, fx);
		return 0;
	case DFF_EV_ATTEMPT_REPLY:
		attempt_reply(ctx, node, &event->u.attempt_reply, now, fx);
		return 0;
	case DFF_EV_ATTEMPT_FAILED:
		attempt_failed(ctx, node, &event->u.attempt_failed, now, fx);
		return 0;
	case DFF_EV_ENGINE_REPORT:
		watch_add_report(node, &event->u.engine_report, now);
		node_load_report(ctx, node, &event->u.engine_report, now);
		return 0;
	case DFF_EV_ENGINE_CACHE:
		dff_policy_apply_cache_events(
		    ctx, node->policy, &event->u.engine_cache, now);
		return 0;
	case DFF_EV_ENGINE_STATE:
		dff_authority_engine_state(
		    ctx, node->authority, &event->u.engine_state, now, fx);
		return 0;
	case DFF_EV_ORDER_ANSWER:
		dff_authority_order_answer(
		    ctx, node->authority, &event->u.order_answer, now, fx);
		return 0;
	}
	return -EINVAL;
}

static bool
is_idle(const dff_node_t *node)
{
	return dff_table_count(node->calls) == 0 &&
	    dff_claims_open_count(node->claims) == 0 &&
	    (!node->config.place || dff_authority_idle(node->authority));
}

static void
check_stopped(dff_ctx_t *ctx, dff_node_t *node, dff_effects_t *fx)
{
	if (!node->stopping || node->stopped ||
	    (!is_idle(node) && !DFF_FAULT(STOP_AT_ONCE)))
		return;
	node->stopped = true;
	dff_log(ctx, DFF_LOG_NOTICE, PART, "node has drained.");
	dff_effects_add(fx, DFF_FX_STOPPED);
}

static void
update_wake(dff_node_t *node, dff_time_t now, dff_effects_t *fx)
{
	dff_time_t at;

	at = dff_timers_next(node->timers);
	at = MIN(at, dff_policy_next_check(node->policy, now));
	if (at == node->wake_at)
		return;
	node->wake_at = at;
	dff_effects_add(fx, DFF_FX_WAKE_AT)->u.wake_at.at = at;
}

int
dff_node_step(dff_ctx_t *ctx, dff_node_t *node, const dff_event_t *event,
    dff_time_t now, dff_effects_t *fx)
{
	int err;

	node->now = now;
	if (event->type == DFF_EV_WAKE)
		node->wake_at = DFF_TIME_NEVER;
	/* A process that was suspended must not act on outdated readiness. */
	update_ready(ctx, node, now, fx);
	run_timers(ctx, node, now, fx);
	err = dispatch_event(ctx, node, event, now, fx);
	if (err != 0)
		return err;
	call_apply_decisions(ctx, node, now, fx);
	update_ready(ctx, node, now, fx);
	check_stopped(ctx, node, fx);
	update_wake(node, now, fx);
	return 0;
}
