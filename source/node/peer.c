/*
 * Frames between entry nodes: detailed heartbeats within a failure domain,
 * summaries that relays exchange between domains, and requests suspected of
 * crashing engines.
 */
#include "peers.h"

#include <inttypes.h>
#include <string.h>

#define PART "peer"

/* Heartbeats of a relay per summary. */
#define HEARTBEATS_PER_SUMMARY 3
/* Limit of bytes a second for heartbeats. Larger heartbeats are sent less
 * often, but at least twice within suspect_after. */
#define HEARTBEAT_BYTES_PER_S (10 * 1024)
/* Peer name under which the policy keeps the load of all other domains. */
#define OTHER_DOMAINS_PEER "@far"

static void
send_heartbeat(dff_node_t *node, const peer_state_t *self, dff_effects_t *fx)
{
	Dff__Heartbeat beat = DFF__HEARTBEAT__INIT;
	Dff__Frame frame = DFF__FRAME__INIT;
	packed_rows_t *rows;

	rows = g_new0(packed_rows_t, 1);
	peer_state_pack(rows, self);
	beat.sequence = node->heartbeat_count;
	beat.domain = node->config.domain;
	beat.log_down = node->streams[DFF_STREAM_CATALOGUE].down;
	beat.draining = node->stopping;
	beat.n_offsets = DFF_STREAM_COUNT;
	beat.offsets = rows->offset_at;
	beat.n_work = MIN(rows->work_count, WORK_ROWS_MAX);
	beat.work = rows->work_at;
	beat.n_use = MIN(rows->use_count, USE_ROWS_MAX);
	beat.use = rows->use_at;
	beat.n_reports = watch_pack_reports(node, WATCH_READ_LOCALLY,
	    rows->report, rows->report_at, FRAME_ROWS_MAX);
	beat.reports = rows->report_at;
	frame.body_case = DFF__FRAME__BODY_HEARTBEAT;
	frame.heartbeat = &beat;
	send_to_domain(node, &frame, true, fx);
	g_free(rows);
}

static void
send_summary(
    dff_node_t *node, const peer_state_t *sum, bool merged, dff_effects_t *fx)
{
	Dff__Summary summary = DFF__SUMMARY__INIT;
	Dff__Frame frame = DFF__FRAME__INIT;
	bool partitioned = watch_is_partitioned(node);
	packed_rows_t *rows;

	rows = g_new0(packed_rows_t, 1);
	peer_state_pack(rows, sum);
	summary.sequence = node->heartbeat_count;
	summary.domain = node->config.domain;
	summary.live = sum->live;
	summary.merged = merged;
	summary.n_offsets = DFF_STREAM_COUNT;
	summary.offsets = rows->offset_at;
	summary.n_work = MIN(rows->work_count,
	    partitioned ? SUMMARY_WORK_ROWS_MAX : WORK_ROWS_MAX);
	summary.work = rows->work_at;
	summary.n_use = MIN(
	    rows->use_count, partitioned ? SUMMARY_USE_ROWS_MAX : USE_ROWS_MAX);
	summary.use = rows->use_at;
	summary.n_reports = watch_pack_reports(node,
	    merged ? WATCH_OTHER_DOMAINS : WATCH_OWN_DOMAIN, rows->report,
	    rows->report_at, merged ? MERGED_REPORTS_MAX : SUMMARY_REPORTS_MAX);
	summary.reports = rows->report_at;
	frame.body_case = DFF__FRAME__BODY_SUMMARY;
	frame.summary = &summary;
	if (merged)
		send_to_domain(node, &frame, true, fx);
	else
		send_to_relays(node, &frame, true, fx);
	g_free(rows);
}

/*
 * A relay sends the summary of its domain to the other relays, and the merged
 * summary of the other domains to its own domain.
 */
static void
send_summaries(dff_ctx_t *ctx, dff_node_t *node, const peer_state_t *self,
    dff_time_t now, dff_effects_t *fx)
{
	dff_time_t since = now - node->config.dead_after;
	peer_state_t *sum;

	if (!dff_members_is_relay(node->members))
		return;
	sum = peer_state_sum(node->peers->same_domain, since, self);
	send_summary(node, sum, false, fx);
	peer_state_free(sum);
	sum = peer_state_sum(node->peers->other_domains, since, NULL);
	peer_state_load_policy(ctx, node, OTHER_DOMAINS_PEER, sum, now);
	send_summary(node, sum, true, fx);
	peer_state_free(sum);
}

static dff_time_t
next_heartbeat(const dff_node_t *node, uint64_t sent)
{
	dff_time_t paced = (dff_time_t)sent * DFF_SEC / HEARTBEAT_BYTES_PER_S;
	dff_time_t longest = node->config.suspect_after / 2;

	return MAX(node->config.heartbeat_period, MIN(paced, longest));
}

void
peer_send_heartbeat(
    dff_ctx_t *ctx, dff_node_t *node, dff_time_t now, dff_effects_t *fx)
{
	const dff_member_t *dead;
	uint32_t seen;
	uint32_t all;
	uint64_t before = node->counters[DFF_COUNT_BYTES_OUT];
	uint64_t sent;
	peer_state_t *self;

	while ((dead = dff_members_sweep(ctx, node->members, now)) != NULL) {
		peer_state_forget(ctx, node, dead->id);
		dff_claims_holder_ended(
		    ctx, node->claims, dead->id, dead->incarnation);
	}
	watch_update(node, now, fx);
	stream_check_base(ctx, node, now, fx);
	seen = dff_members_count_visible(node->members, now, &all);
	dff_policy_set_visible_nodes(node->policy, seen, all);
	self = peer_state_of_node(node);
	send_heartbeat(node, self, fx);
	if (node->heartbeat_count % HEARTBEATS_PER_SUMMARY == 0)
		send_summaries(ctx, node, self, now, fx);
	peer_state_free(self);
	node->heartbeat_count++;
	sent = node->counters[DFF_COUNT_BYTES_OUT] - before;
	dff_timers_set(node->timers, DFF_TIMER_MEMBER_HEARTBEAT, 0,
	    now + next_heartbeat(node, sent));
}

void
peer_announce_leave(dff_ctx_t *ctx, dff_node_t *node, dff_effects_t *fx)
{
	Dff__Leave leave = DFF__LEAVE__INIT;
	Dff__Frame frame = DFF__FRAME__INIT;

	(void)ctx;
	leave.sequence = node->heartbeat_count;
	frame.body_case = DFF__FRAME__BODY_LEAVE;
	frame.leave = &leave;
	send_to_domain(node, &frame, false, fx);
	if (dff_members_is_relay(node->members))
		send_to_relays(node, &frame, false, fx);
}

void
peer_report_suspect(dff_ctx_t *ctx, dff_node_t *node, uint64_t body_hash,
    uint64_t process, dff_effects_t *fx)
{
	(void)ctx;
	send_suspect(node, body_hash, process, true, fx);
}

static void
receive_heartbeat(dff_ctx_t *ctx, dff_node_t *node, dff_member_t *peer,
    const Dff__Heartbeat *beat, dff_time_t now, dff_effects_t *fx)
{
	peer_state_t *state;

	if (!peer->same_domain)
		return;
	state = peer_state_refresh(node->peers->same_domain, peer->id, now);
	state->live = 1;
	peer_state_set_rows(
	    node, state, beat->n_work, beat->work, beat->n_use, beat->use);
	peer_state_set_offsets(state->offsets, beat->n_offsets, beat->offsets);
	peer_state_set_offsets(peer->offsets, beat->n_offsets, beat->offsets);
	peer->log_down = beat->log_down;
	peer_state_load_policy(ctx, node, peer->id, state, now);
	watch_receive_reports(ctx, node, beat->n_reports, beat->reports, now);
	peer_records_request(node, peer, fx);
}

static void
receive_summary(dff_ctx_t *ctx, dff_node_t *node, dff_member_t *peer,
    const Dff__Summary *summary, dff_time_t now, dff_effects_t *fx)
{
	peer_state_t *state;

	if (summary->merged != peer->same_domain)
		return;
	peer->remote_live = summary->live;
	if (!peer->same_domain)
		peer_state_set_offsets(
		    peer->offsets, summary->n_offsets, summary->offsets);
	if (summary->merged) {
		state = peer_state_new();
		peer_state_set_rows(node, state, summary->n_work, summary->work,
		    summary->n_use, summary->use);
		peer_state_load_policy(
		    ctx, node, OTHER_DOMAINS_PEER, state, now);
		peer_state_free(state);
	} else {
		state = peer_state_refresh(
		    node->peers->other_domains, peer->domain, now);
		state->live = summary->live;
		peer_state_set_rows(node, state, summary->n_work, summary->work,
		    summary->n_use, summary->use);
		peer_state_set_offsets(
		    state->offsets, summary->n_offsets, summary->offsets);
	}
	watch_receive_reports(
	    ctx, node, summary->n_reports, summary->reports, now);
	peer_records_request(node, peer, fx);
}

static void
receive_suspects(dff_ctx_t *ctx, dff_node_t *node, const dff_member_t *peer,
    const Dff__Suspects *suspects, dff_time_t now, dff_effects_t *fx)
{
	(void)ctx;
	for (size_t i = 0; i < suspects->n_suspects; i++) {
		const Dff__Suspect *suspect = suspects->suspects[i];
		bool added = poison_add_crash(
		    node->poison, suspect->body_hash, suspect->process, now);

		/* Suspects from another domain are passed on in this one. */
		if (!peer->same_domain && added)
			send_suspect(node, suspect->body_hash, suspect->process,
			    false, fx);
	}
}

static void
receive_leave(dff_ctx_t *ctx, dff_node_t *node, const dff_member_t *peer)
{
	dff_members_mark_left(ctx, node->members, peer->id);
	peer_state_forget(ctx, node, peer->id);
}

static void
receive_body(dff_ctx_t *ctx, dff_node_t *node, dff_member_t *peer,
    const Dff__Frame *frame, dff_time_t now, dff_effects_t *fx)
{
	switch (frame->body_case) {
	case DFF__FRAME__BODY_HEARTBEAT:
		receive_heartbeat(ctx, node, peer, frame->heartbeat, now, fx);
		return;
	case DFF__FRAME__BODY_SUMMARY:
		receive_summary(ctx, node, peer, frame->summary, now, fx);
		return;
	case DFF__FRAME__BODY_LEAVE:
		receive_leave(ctx, node, peer);
		return;
	case DFF__FRAME__BODY_WANTED:
		peer_records_answer(ctx, node, peer, frame->wanted, fx);
		return;
	case DFF__FRAME__BODY_RECORDS:
		peer_records_receive(ctx, node, frame->records, now, fx);
		return;
	case DFF__FRAME__BODY_SUSPECTS:
		receive_suspects(ctx, node, peer, frame->suspects, now, fx);
		return;
	case DFF__FRAME__BODY__NOT_SET:
	case _DFF__FRAME__BODY__CASE_IS_INT_SIZE:
		/* A later release may send a type of frame unknown here. */
		node->counters[DFF_COUNT_FRAMES_BAD]++;
		return;
	}
}

void
peer_receive_frame(dff_ctx_t *ctx, dff_node_t *node, const dff_ev_peer_t *ev,
    dff_time_t now, dff_effects_t *fx)
{
	dff_member_t *peer = NULL;
	Dff__Frame *frame;
	uint64_t before = 0;
	const dff_member_t *known;
	dff_frame_sender_t sender;

	node->counters[DFF_COUNT_FRAMES_IN]++;
	frame = dff__frame__unpack(NULL, ev->len, ev->data);
	if (frame == NULL || strcmp(frame->from, ev->id) != 0) {
		node->counters[DFF_COUNT_FRAMES_BAD]++;
		dff_log(ctx, DFF_LOG_NOTICE, PART,
		    "frame not understood. peer=%s bytes=%zu", ev->id, ev->len);
		if (frame != NULL)
			dff__frame__free_unpacked(frame, NULL);
		return;
	}
	known = dff_members_find(node->members, ev->id);
	if (known != NULL)
		before = known->incarnation;
	sender = dff_members_receive_frame(
	    ctx, node->members, ev->id, frame->incarnation, now, &peer);
	/* Processes that ran there before the sender have ended. */
	if (sender == DFF_SENDER_RESTARTED ||
	    (sender == DFF_SENDER_RETURNED && before == 0))
		dff_claims_holder_ended(
		    ctx, node->claims, ev->id, frame->incarnation - 1);
	if (sender == DFF_SENDER_UNKNOWN || sender == DFF_SENDER_STALE)
		node->counters[DFF_COUNT_FRAMES_BAD]++;
	else
		receive_body(ctx, node, peer, frame, now, fx);
	dff__frame__free_unpacked(frame, NULL);
}
