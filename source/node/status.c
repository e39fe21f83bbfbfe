/*
 * Counters, read access to the state of a node, and the status page.
 */
#include "internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

/* Maximum number of leases on the status page. */
#define LEASES_SHOWN 512

static const char *const counter_names[] = {
    "calls_total",
    "calls_done_total",
    "calls_refused_total",
    "calls_failed_total",
    "callers_gone_total",
    "answers_repeated_total",
    "tries_total",
    "resumes_total",
    "tokens_total",
    "late_events_dropped_total",
    "log_records_total",
    "log_records_bad_total",
    "log_appends_total",
    "peer_frames_in_total",
    "peer_frames_out_total",
    "peer_frames_bad_total",
    "peer_bytes_out_total",
    "poison_refused_total",
};

G_STATIC_ASSERT(G_N_ELEMENTS(counter_names) == DFF_COUNT_COUNT);

const char *
dff_counter_name(dff_counter_t counter)
{
	return counter < DFF_COUNT_COUNT ? counter_names[counter] : "?";
}

uint64_t
dff_node_counter(const dff_node_t *node, dff_counter_t counter)
{
	return counter < DFF_COUNT_COUNT ? node->counters[counter] : 0;
}

bool
dff_node_ready(const dff_node_t *node, const char **reason)
{
	*reason = node->ready_reason;
	return node->ready;
}

uint64_t
dff_node_revision(const dff_node_t *node)
{
	return dff_history_revision(node->history);
}

const dff_history_t *
dff_node_history(const dff_node_t *node)
{
	return node->history;
}

const dff_authority_t *
dff_node_authority(const dff_node_t *node)
{
	return node->authority;
}

static json_t *
streams_json(const dff_node_t *node)
{
	json_t *object = json_object();

	for (int i = 0; i < DFF_STREAM_COUNT; i++) {
		const stream_t *stream = &node->streams[i];

		if (!stream->followed)
			continue;
		(void)json_object_set_new(object, dff_stream_name(stream->id),
		    json_pack("{s:I,s:b,s:b}", "applied",
			(json_int_t)stream_applied(node, stream->id),
			"caught_up", stream->caught_up, "down", stream->down));
	}
	return object;
}

static json_t *
peers_json(const dff_node_t *node, dff_time_t now)
{
	json_t *array = json_array();
	size_t count = dff_members_count(node->members);

	for (size_t i = 0; i < count; i++) {
		const dff_member_t *peer = dff_members_at(node->members, i);

		(void)json_array_append_new(array,
		    json_pack("{s:s,s:s,s:s,s:I,s:I}", "id", peer->id, "domain",
			peer->domain, "state",
			dff_member_state_name(peer->state), "incarnation",
			(json_int_t)peer->incarnation, "silence_ms",
			(json_int_t)((now - peer->last_frame_at) / DFF_MSEC)));
	}
	return array;
}

static json_t *
leases_json(const dff_node_t *node)
{
	json_t *array = json_array();
	dff_lease_view_t *views;
	size_t count;

	views = g_new0(dff_lease_view_t, LEASES_SHOWN);
	count = dff_authority_leases(node->authority, views, LEASES_SHOWN);
	for (size_t i = 0; i < MIN(count, LEASES_SHOWN); i++)
		(void)json_array_append_new(array,
		    json_pack("{s:s,s:s,s:I,s:b}", "shard", views[i].shard,
			"holder", views[i].holder, "fence",
			(json_int_t)views[i].fence, "mine",
			views[i].held_here));
	g_free(views);
	return array;
}

char *
dff_node_status(const dff_node_t *node, dff_time_t now)
{
	json_t *status;
	char *engines;
	char *text;

	engines = dff_policy_status(node->policy, now);
	status = json_pack("{s:s,s:s,s:I,s:b,s:s,s:I,s:I,s:o,s:o,s:o,s:s}",
	    "id", node->config.id, "domain", node->config.domain, "incarnation",
	    (json_int_t)node->config.incarnation, "ready", node->ready, "why",
	    node->ready_reason, "revision",
	    (json_int_t)dff_history_revision(node->history), "calls",
	    (json_int_t)dff_table_count(node->calls), "streams",
	    streams_json(node), "peers", peers_json(node, now), "leases",
	    leases_json(node), "upstreams", engines != NULL ? engines : "");
	free(engines);
	text = json_dumps(status, JSON_INDENT(1));
	json_decref(status);
	return text;
}
