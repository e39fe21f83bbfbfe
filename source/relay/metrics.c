#include "relay/confirm.h"
#include "relay/scaling_run.h"
#include "relay/duty.h"
#include "relay/usage.h"

static const char *const count_names[COUNT_COUNT] = {
    [COUNT_REQUESTS] = "requests",
    [COUNT_DONE] = "answered",
    [COUNT_REFUSED] = "refused",
    [COUNT_FAILED] = "failed",
    [COUNT_CALLERS_GONE] = "callers_left",
    [COUNT_SENDS] = "sends",
    [COUNT_EXTRA_SENDS] = "sends_extra",
    [COUNT_EXPLORED] = "sends_explored",
    [COUNT_PREFILLS] = "prefills",
    [COUNT_RESUMES] = "resumes",
    [COUNT_CUTS] = "cuts",
    [COUNT_FORWARDED] = "forwarded_to_peers",
    [COUNT_FROM_PEERS] = "requests_of_peers",
    [COUNT_ORIGIN_WRITES] = "origin_writes",
    [COUNT_ORIGIN_READS] = "origin_reads",
    [COUNT_ORIGINS_TOLD] = "origins_told",
    [COUNT_ORIGINS_HELPED] = "origins_stored_for_peers",
    [COUNT_STREAMS_RESUMED] = "streams_resumed",
    [COUNT_STREAMS_UNKNOWN] = "streams_unknown",
    [COUNT_STREAM_EVENTS_REJECTED] = "stream_events_rejected",
    [COUNT_IDENTITIES_ASKED] = "identities_asked",
    [COUNT_REJECTED] = "sends_rejected",
    [COUNT_BROKEN] = "sends_broken",
    [COUNT_UNREACHABLE] = "sends_unreachable",
    [COUNT_BUDGET_EMPTY] = "budget_empty",
    [COUNT_REFUSED_NO_KEY] = "refused_no_key",
    [COUNT_REFUSED_UNKNOWN_KEY] = "refused_unknown_key",
    [COUNT_REFUSED_UNCONFIRMED] = "refused_unconfirmed",
    [COUNT_REFUSED_POISON] = "refused_poison",
    [COUNT_REFUSED_PARTS] = "refused_parts",
    [COUNT_PROBES] = "probes",
    [COUNT_END_PROBES] = "answer_end_probes",
    [COUNT_RUNS_CRASHED] = "runs_crashed",
    [COUNT_BREAKS_FORGOTTEN] = "breaks_forgotten",
    [COUNT_LEAVING_NOTICES] = "upstreams_leaving_said",
    [COUNT_PAUSE_NOTICES] = "upstreams_away_said",
    [COUNT_LIMIT_CHANGES] = "upstream_limit_changes",
    [COUNT_PERMITS_REQUESTED] = "permits_requested",
    [COUNT_PERMITS_ISSUED] = "permits_issued",
    [COUNT_PERMITS_USED] = "permits_used",
    [COUNT_PERMITS_DENIED] = "permits_denied",
    [COUNT_PERMITS_UNANSWERED] = "permits_unanswered",
    [COUNT_REFUSED_LIMITED] = "refused_limited",
    [COUNT_REFUSED_KV_ROOM] = "refused_kv_room",
    [COUNT_BEYOND_SHARE] = "beyond_share",
    [COUNT_REFUSED_SHARE] = "refused_share",
    [COUNT_CONFIRM_QUESTIONS] = "confirmations_asked",
    [COUNT_CONFIRM_REPLIES] = "confirmations_received",
    [COUNT_CONFIRM_BYTES_OUT] = "confirmation_bytes_out",
    [COUNT_ORDERS] = "upstream_orders",
    [COUNT_ORDERS_NONE_AVAILABLE] = "upstream_orders_none_available",
    [COUNT_ORDERS_REJECTED] = "upstream_orders_rejected",
    [COUNT_ORDERS_UNANSWERED] = "upstream_orders_unanswered",
    [COUNT_HEARTBEATS_IN] = "beats_in",
    [COUNT_HEARTBEATS_OUT] = "beats_out",
    [COUNT_HEARTBEATS_BAD] = "beats_bad",
    [COUNT_HEARTBEAT_BYTES_IN] = "beat_bytes_in",
    [COUNT_HEARTBEAT_BYTES_OUT] = "beat_bytes_out",
};

static void
add_hist(GString *text, const char *name, const dff_hist_t *hist)
{
	static const double quantiles[] = {0.5, 0.9, 0.95, 0.99};

	for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++)
		g_string_append_printf(text,
		    "dff_relay_%s_seconds{quantile=\"%.2f\"} %.6f\n", name,
		    quantiles[i],
		    (double)dff_hist_quantile(hist, quantiles[i]) / DFF_SEC);
	g_string_append_printf(text,
	    "dff_relay_%s_seconds_count %" G_GUINT64_FORMAT "\n", name,
	    (guint64)dff_hist_count(hist));
}

static void
add_key_state(GString *text, const dff_relay_t *relay, dff_time_t now)
{
	dff_time_t age = confirm_age(relay, now);

	g_string_append_printf(text,
	    "dff_relay_organisations %u\ndff_relay_organisation_keys %u\n"
	    "dff_relay_configuration_age_seconds %.3f\n",
	    dff_organisations_count(relay->routing->organisations),
	    dff_organisations_keys(relay->routing->organisations),
	    age != DFF_TIME_NEVER ? (double)age / DFF_SEC : -1.0);
	organisation_counts_write(relay->organisation_counts, text);
}

char *
dff_relay_metrics(const dff_relay_t *relay, dff_time_t now)
{
	GString *text = g_string_new(NULL);
	const char *why;

	for (int i = 0; i < COUNT_COUNT; i++)
		g_string_append_printf(text,
		    "dff_relay_%s_total %" G_GUINT64_FORMAT "\n",
		    count_names[i], (guint64)relay->counts[i]);
	add_hist(text, "first_byte", relay->first_byte_time);
	add_hist(text, "whole", relay->answer_time);
	add_hist(text, "prefill", relay->prefill_time);
	g_string_append_printf(text,
	    "dff_relay_ready %d\ndff_relay_calls %zu\ndff_relay_peers %u\n"
	    "dff_relay_upstreams %zu\ndff_relay_routing_version %" G_GUINT64_FORMAT
	    "\ndff_relay_source_age_seconds %.3f\n"
	    "dff_relay_speed_spread %.3f\n"
	    "dff_relay_read_start_seconds %.6f\n",
	    dff_relay_ready(relay, now, &why), dff_relay_calls(relay),
	    peers_count_alive(relay, now),
	    upstreams_count_listed(relay->upstreams),
	    relay->routing != NULL ? (guint64)relay->routing->version : 0,
	    (double)(now - relay->source_answered_at) / DFF_SEC,
	    pool_stats_spread(&relay->pool_stats),
	    (double)relay->pool_stats.start_time / DFF_SEC);
	if (relay->routing != NULL && relay->routing->organisations != NULL) {
		add_key_state(text, relay, now);
		g_string_append_printf(text, "dff_relay_pools_short %u\n",
		    shares_count_short(relay->shares, now));
	}
	scaling_add_metrics(relay, text);
	duty_metrics(relay, now, text);
	usage_metrics(relay, text);
	return g_string_free(text, FALSE);
}
