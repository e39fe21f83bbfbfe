#include <string.h>

#include "base/fault.h"
#include "relay/answer_end.h"
#include "relay/confirm.h"
#include "relay/coordinator.h"
#include "relay/identity.h"
#include "relay/duty.h"
#include "relay/origin.h"
#include "relay/reach.h"
#include "relay/scaling_run.h"
#include "relay/suspect.h"
#include "relay/usage.h"

/* Defaults for a small fleet. */
#define HEARTBEAT_DEFAULT	     (100 * DFF_MSEC)
#define STALE_DEFAULT		     (4 * DFF_SEC)
#define WINDOW_DEFAULT		     (10 * DFF_SEC)
#define RATIO_DEFAULT		     0.2
#define SLACK_DEFAULT		     10.0
#define STORE_WRITES_DEFAULT	     400.0
#define CROSS_DOMAIN_LATENCY_DEFAULT (5 * DFF_MSEC)
#define CONFIG_TIME_DEFAULT	     (2 * DFF_SEC)
#define REVOKE_TIME_DEFAULT	     (5 * DFF_SEC)
/* Time between sweeps of expired state. */
#define SWEEP_EVERY DFF_SEC
/* Silence of the record source that counts as an outage: some polls. In a
 * large fleet most nodes learn of its answers from other domains' summaries,
 * which come later. */
#define OUTAGE_AFTER	   (1500 * DFF_MSEC)
#define OUTAGE_AFTER_LARGE (2500 * DFF_MSEC)
/* For this time after an outage, records of live upstreams may be missing: the
 * platform states about two seconds. */
#define SETTLE_TIME (2200 * DFF_MSEC)

void
dff_relay_defaults(dff_relay_config_t *config)
{
	memset(config, 0, sizeof(*config));
	config->heartbeat_interval = HEARTBEAT_DEFAULT;
	config->stale_after = STALE_DEFAULT;
	config->budget_window = WINDOW_DEFAULT;
	config->budget_ratio = RATIO_DEFAULT;
	config->budget_slack = SLACK_DEFAULT;
	config->store_writes_rate = STORE_WRITES_DEFAULT;
	config->cross_domain_latency = CROSS_DOMAIN_LATENCY_DEFAULT;
	config->config_time = CONFIG_TIME_DEFAULT;
	config->revoke_time = REVOKE_TIME_DEFAULT;
	config->learn_capacity = true;
}

/* Give each node of the fleet an equal part of the slack. */
static void
share_budget(dff_relay_t *relay)
{
	budget_set(relay->budget, relay->config.budget_window,
	    relay->config.budget_ratio, relay->config.budget_slack,
	    relay->peers->len + 1);
}

dff_relay_t *
dff_relay_new(dff_ctx_t *ctx, const dff_relay_config_t *config)
{
	dff_relay_t *relay = g_new0(dff_relay_t, 1);

	(void)ctx;
	relay->config = *config;
	relay->upstreams = upstreams_new();
	pool_stats_init(&relay->pool_stats);
	relay->pool_stats.learns = config->learn_capacity;
	relay->budget = budget_new();
	relay->shares = shares_new();
	relay->calls = dff_table_new(sizeof(call_t));
	relay->by_number = g_hash_table_new(g_int64_hash, g_int64_equal);
	relay->by_send = g_hash_table_new(g_int64_hash, g_int64_equal);
	relay->timers = dff_timers_new();
	relay->peers = g_ptr_array_new();
	relay->recent_parts = g_array_new(FALSE, FALSE, sizeof(recent_part_t));
	relay->summary_parts = g_array_new(FALSE, FALSE, sizeof(recent_part_t));
	relay->suspects = suspects_new();
	relay->reach = reach_new();
	relay->origins = origins_new();
	relay->confirm = confirm_new();
	relay->scalers = scalers_new();
	relay->duties = duties_new();
	relay->usage = usage_new();
	relay->organisation_counts = organisation_counts_new();
	relay->frames =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_byte_array_unref);
	relay->batches =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_array_unref);
	relay->forward_buffer = g_byte_array_new();
	relay->first_byte_time = dff_hist_new();
	relay->answer_time = dff_hist_new();
	relay->prefill_time = dff_hist_new();
	share_budget(relay);
	dff_timers_set(relay->timers, DFF_TIMER_MEMBER_HEARTBEAT, 0, 0);
	dff_timers_set(relay->timers, DFF_TIMER_FLEET_TICK, TICK_SWEEP, 0);
	return relay;
}

void
dff_relay_drop(dff_relay_t *relay)
{
	if (relay == NULL)
		return;
	relay_call_free_all(relay);
	peers_free_all(relay);
	dff_routing_drop(relay->routing);
	upstreams_drop(relay->upstreams);
	budget_drop(relay->budget);
	shares_drop(relay->shares);
	dff_table_drop(relay->calls);
	g_hash_table_unref(relay->by_number);
	g_hash_table_unref(relay->by_send);
	dff_timers_drop(relay->timers);
	g_array_unref(relay->recent_parts);
	g_array_unref(relay->summary_parts);
	suspects_drop(relay->suspects);
	reach_drop(relay->reach);
	origins_drop(relay->origins);
	confirm_drop(relay->confirm);
	scalers_drop(relay->scalers);
	duties_drop(relay->duties);
	usage_drop(relay->usage);
	organisation_counts_drop(relay->organisation_counts);
	g_ptr_array_unref(relay->frames);
	g_ptr_array_unref(relay->batches);
	g_byte_array_unref(relay->forward_buffer);
	dff_hist_drop(relay->first_byte_time);
	dff_hist_drop(relay->answer_time);
	dff_hist_drop(relay->prefill_time);
	g_free(relay);
}

void
dff_relay_set_config(dff_relay_t *relay, const dff_relay_config_t *config)
{
	relay->config.heartbeat_interval = config->heartbeat_interval;
	relay->config.stale_after = config->stale_after;
	relay->config.budget_window = config->budget_window;
	relay->config.budget_ratio = config->budget_ratio;
	relay->config.budget_slack = config->budget_slack;
	relay->config.store_writes_rate = config->store_writes_rate;
	relay->config.cross_domain_latency = config->cross_domain_latency;
	relay->config.config_time = config->config_time;
	relay->config.revoke_strictly = config->revoke_strictly;
	relay->config.revoke_time = config->revoke_time;
	relay->config.learn_capacity = config->learn_capacity;
	relay->pool_stats.learns = config->learn_capacity;
	relay->config.orders_upstreams = config->orders_upstreams;
}

void
dff_relay_add_peer(dff_relay_t *relay, const char *addr, const char *domain,
    uint32_t link_mbps, dff_time_t now)
{
	peers_add(relay, addr, domain, link_mbps, now);
}

void
dff_relay_set_duties(dff_relay_t *relay, const dff_duty_config_t *duties,
    const dff_usage_config_t *usage, dff_time_t now)
{
	duties_set_config(relay->duties, relay->config.id,
	    relay->config.incarnation, duties, now);
	usage_set_config(relay, usage);
}

void
dff_relay_report_feed(dff_relay_t *relay, dff_feed_t feed)
{
	relay->feed_changed[feed] = true;
}

void
dff_relay_set_feed_offset(dff_relay_t *relay, dff_feed_t feed, uint64_t offset)
{
	relay->read_offsets[feed] = MAX(relay->read_offsets[feed], offset);
	if (relay->feed_changed[feed])
		relay->changed_offsets[feed] =
		    MAX(relay->changed_offsets[feed], offset);
	relay->feed_changed[feed] = false;
}

dff_relay_effect_t *
relay_add_fx(step_t *step, dff_relay_effect_type_t type)
{
	guint at = step->fx->len;
	dff_relay_effect_t *fx;

	g_array_set_size(step->fx, at + 1);
	fx = &g_array_index(step->fx, dff_relay_effect_t, at);
	memset(fx, 0, sizeof(*fx));
	fx->type = type;
	return fx;
}

/* ---- records ---- */

static void
note_organisations(step_t *step, const dff_routing_t *routing)
{
	const dff_organisations_t *all = routing->organisations;

	if (all == NULL)
		return;
	dff_log(step->ctx, DFF_LOG_NOTICE, "routing",
	    "requests need keys version=%" G_GUINT64_FORMAT
	    " organisations=%u keys=%u",
	    routing->version, dff_organisations_count(all),
	    dff_organisations_keys(all));
	if (dff_organisations_conflicts(all) > 0)
		dff_log(step->ctx, DFF_LOG_WARNING, "routing",
		    "keys of two organisations stay the first's "
		    "version=%" G_GUINT64_FORMAT " keys=%u",
		    routing->version, dff_organisations_conflicts(all));
}

static void
load_routing(step_t *step, dff_routing_t *routing)
{
	dff_relay_t *relay = step->relay;
	uint64_t old = relay->routing != NULL ? relay->routing->version : 0;

	if (relay->routing != NULL && routing->version <= old &&
	    !DFF_FAULT(RELAY_VERSION_BACK)) {
		/* Written again, as after a loss: a node that started from an
		 * older copy of the records lacks it. */
		if (routing->version == old && !DFF_FAULT(RELAY_REWRITE_UNTOLD))
			relay->feed_changed[DFF_FEED_ROUTING] = true;
		return;
	}
	origin_note_routing(step, relay->routing, routing);
	dff_routing_drop(relay->routing);
	relay->routing = dff_routing_keep(routing);
	relay->feed_changed[DFF_FEED_ROUTING] = true;
	dff_log(step->ctx, DFF_LOG_NOTICE, "routing",
	    "routing in force version=%" G_GUINT64_FORMAT
	    " before=%" G_GUINT64_FORMAT " routes=%u pools=%u",
	    routing->version, old, routing->routes->len, routing->pools->len);
	note_organisations(step, routing);
	confirm_note_routing(step);
}

void
relay_close_idle(step_t *step, const char *id)
{
	dff_relay_effect_t *fx = relay_add_fx(step, DFF_RELAY_FX_CLOSE_IDLE);

	g_strlcpy(fx->upstream, id, sizeof(fx->upstream));
}

static void
load_upstream(step_t *step, const dff_upstream_record_t *record)
{
	dff_relay_t *relay = step->relay;
	dff_handle_t handle;
	record_effect_t effect;
	const upstream_t *up;

	effect = upstreams_apply_record(relay->upstreams, record,
	    relay->records_settled_at, step->now, &handle);
	if (effect == RECORD_OUTDATED || effect == RECORD_SAME)
		return;
	relay->feed_changed[DFF_FEED_UPSTREAMS] = true;
	if (effect == RECORD_ADDED || effect == RECORD_RESTARTED)
		origin_note_versions(step);
	up = upstreams_get(relay->upstreams, handle);
	dff_log(step->ctx, DFF_LOG_NOTICE, "upstream",
	    "upstream %s id=%s pool=%s software=%s addr=%s domain=%s role=%s "
	    "born=%" G_GUINT64_FORMAT " seq=%" G_GUINT64_FORMAT,
	    record_effect_name(effect), up->record.id, up->record.pool,
	    up->record.software, up->record.addr, up->record.domain,
	    dff_role_name(up->record.role), (guint64)up->record.started_ms,
	    (guint64)up->record.seq);
	if (effect != RECORD_ADDED)
		relay_close_idle(step, up->record.id);
	else
		cache_query_schedule(step, up);
	if (effect == RECORD_RESTARTED) {
		origin_note_change(step);
		suspect_confirm_crash(step, handle, true);
	} else if (effect == RECORD_GONE || effect == RECORD_MISSING)
		suspect_confirm_crash(step, handle, false);
}

void
relay_note_source_answer(step_t *step, dff_time_t at)
{
	dff_relay_t *relay = step->relay;
	dff_time_t silence = at - relay->source_answered_at;
	dff_time_t outage_after =
	    peers_fleet_is_large(relay) ? OUTAGE_AFTER_LARGE : OUTAGE_AFTER;

	if (silence <= 0)
		return;
	if (relay->source_answered_at == 0)
		origin_note_start(step);
	else if (silence > outage_after)
		origin_note_change(step);
	if (relay->source_answered_at != 0 && silence > outage_after) {
		relay->records_settled_at = step->now + SETTLE_TIME;
		dff_log(step->ctx, DFF_LOG_NOTICE, "source",
		    "record source is back silence_ms=%" G_GINT64_FORMAT,
		    silence / DFF_MSEC);
	}
	relay->source_answered_at = at;
}

/* ---- time ---- */

static void
run_heartbeat_timer(step_t *step)
{
	dff_relay_t *relay = step->relay;

	coordinator_update_all(step);
	usage_sweep(step);
	duty_run(step);
	frame_send_periodic(step);
	share_budget(relay);
	scaling_run(step);
	dff_timers_set(relay->timers, DFF_TIMER_MEMBER_HEARTBEAT, 0,
	    step->now + peers_frame_interval(relay));
}

static void
run_sweep_timer(step_t *step)
{
	dff_relay_t *relay = step->relay;

	upstreams_sweep(relay->upstreams, step->now);
	suspect_sweep(step);
	origin_sweep(step);
	dff_timers_set(relay->timers, DFF_TIMER_FLEET_TICK, TICK_SWEEP,
	    step->now + SWEEP_EVERY);
}

static void
run_timers(step_t *step)
{
	dff_timer_t due;

	while (dff_timers_pop(step->relay->timers, step->now, &due)) {
		switch (due.kind) {
		case DFF_TIMER_CALL_DEADLINE:
			relay_call_deadline(step, due.subject);
			break;
		case DFF_TIMER_ATTEMPT:
			relay_call_retry_late(step, due.subject);
			break;
		case DFF_TIMER_MEMBER_HEARTBEAT:
			run_heartbeat_timer(step);
			break;
		case DFF_TIMER_MEMBER_UPDATE:
			frame_send_update(step, due.subject);
			break;
		case DFF_TIMER_FLEET_TICK:
			if (due.subject == TICK_CACHE_QUERY)
				cache_query_send_due(step);
			else if (due.subject == TICK_CONFIRM)
				confirm_run_timer(step);
			else if (due.subject == TICK_ORIGINS)
				origin_run_timer(step);
			else
				run_sweep_timer(step);
			break;
		case DFF_TIMER_NONE:
		case DFF_TIMER_CALL_QUEUE:
		case DFF_TIMER_CLAIM_FLUSH:
		case DFF_TIMER_CLAIM_SWEEP:
		case DFF_TIMER_AUTHORITY_TICK:
		case DFF_TIMER_ROLE_TICK:
		case DFF_TIMER_SNAPSHOT:
		case DFF_TIMER_DRAIN:
			break;
		}
	}
}

void
dff_relay_step(dff_ctx_t *ctx, dff_relay_t *relay,
    const dff_relay_event_t *event, dff_time_t now, GArray *fx)
{
	step_t step = {.ctx = ctx, .relay = relay, .now = now, .fx = fx};

	g_ptr_array_set_size(relay->frames, 0);
	g_ptr_array_set_size(relay->batches, 0);
	switch (event->type) {
	case DFF_RELAY_WAKE:
		run_timers(&step);
		break;
	case DFF_RELAY_ROUTING:
		load_routing(&step, event->routing);
		break;
	case DFF_RELAY_ROUTING_CONFIRMED:
		confirm_note_source(&step, &event->confirmed);
		break;
	case DFF_RELAY_UPSTREAM:
		load_upstream(&step, &event->upstream);
		break;
	case DFF_RELAY_SOURCE_ANSWERED:
		relay->source_read_at = now;
		relay_note_source_answer(&step, now);
		break;
	case DFF_RELAY_OPEN:
		relay_call_open(&step, &event->open);
		break;
	case DFF_RELAY_CALLER_GONE:
		relay_call_caller_gone(&step, event->caller_gone);
		break;
	case DFF_RELAY_HEAD:
		relay_send_head(&step, &event->head);
		break;
	case DFF_RELAY_DATA:
		relay_send_data(&step, &event->data);
		break;
	case DFF_RELAY_BEFORE_SEND:
		relay_send_recheck(&step, event->before_send);
		break;
	case DFF_RELAY_END:
		relay_send_end(&step, &event->end);
		break;
	case DFF_RELAY_HEARTBEAT:
		frame_receive(&step, &event->heartbeat);
		break;
	case DFF_RELAY_CACHE_LIST:
		cache_query_load_list(&step, &event->cache_list);
		break;
	case DFF_RELAY_NOTICE:
		notice_receive_aside(&step, &event->notice);
		break;
	case DFF_RELAY_CRASH_REPORT:
		suspect_restore_evidence(&step, &event->crash_report);
		break;
	case DFF_RELAY_PROBED:
		if (event->probed.send != 0)
			answer_end_apply_probe(&step, &event->probed);
		else
			suspect_apply_probe(&step, &event->probed);
		break;
	case DFF_RELAY_IDENTIFIED:
		identity_apply(&step, &event->identified);
		break;
	case DFF_RELAY_ORIGINS_READ:
		origin_apply_read(&step, &event->origins);
		break;
	case DFF_RELAY_ORIGINS_LOST:
		origin_restore(&step);
		break;
	case DFF_RELAY_ORIGINS_STORED:
		origin_apply_stored(&step, &event->stored);
		break;
	case DFF_RELAY_UPSTREAMS_ORDERED:
		scaling_receive_result(&step, &event->ordered);
		break;
	case DFF_RELAY_DUTY_READ:
		duties_apply_read(ctx, relay->duties, &event->duty_read, now);
		duty_run(&step);
		break;
	case DFF_RELAY_DUTY_APPENDED:
		duties_apply_append(
		    ctx, relay->duties, &event->duty_appended, now);
		duty_run(&step);
		break;
	case DFF_RELAY_USAGE:
		usage_report_result(&step, &event->usage);
		break;
	case DFF_RELAY_STOP:
		relay->stop_at = now;
		duty_run(&step);
		break;
	}
}

dff_time_t
dff_relay_wake(const dff_relay_t *relay)
{
	return dff_timers_next(relay->timers);
}

/* ---- state for the event loop ---- */

bool
dff_relay_ready(const dff_relay_t *relay, dff_time_t now, const char **why)
{
	*why = "ready";
	if (relay->stop_at != 0)
		*why = "stopping";
	else if (relay->routing == NULL)
		*why = "no_routing";
	else if (upstreams_count_listed(relay->upstreams) == 0)
		*why = "no_upstreams";
	else if (now - relay->source_answered_at > relay->config.stale_after &&
	    peers_count_alive(relay, now) == 0)
		*why = "stale";
	else
		return true;
	return false;
}

size_t
dff_relay_calls(const dff_relay_t *relay)
{
	return dff_table_count(relay->calls);
}

const dff_routing_t *
dff_relay_routing(const dff_relay_t *relay)
{
	return relay->routing;
}
