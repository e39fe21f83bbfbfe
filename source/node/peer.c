/*
 * What entry nodes tell each other: heartbeats with detail inside the
 * failure domain, summaries between domains by relays, and suspects.
 */
#include "told.h"

#include <inttypes.h>
#include <string.h>

#define PART "peer"

/* Heartbeats between two summaries of a relay. */
#define FAR_EVERY 3
/* Bytes a second that heartbeats may take; with more to tell they come less
 * often, but never less often than twice within suspect_after. */
#define BEAT_BYTES_PER_S (10 * 1024)
/* Name under which the policy keeps what is told of all other domains. */
#define FAR_PEER "@far"

static void
beat_near(dff_node_t *node, const told_t *self, dff_effects_t *fx)
{
	Dff__Heartbeat beat = DFF__HEARTBEAT__INIT;
	Dff__Frame frame = DFF__FRAME__INIT;
	packed_rows_t *rows;

	rows = g_new0(packed_rows_t, 1);
	told_pack(rows, self);
	beat.sequence = node->beat_count;
	beat.domain = node->config.domain;
	beat.log_down = node->streams[DFF_STREAM_CATALOGUE].down;
	beat.draining = node->stopping;
	beat.n_offsets = DFF_STREAM_COUNT;
	beat.offsets = rows->offset_at;
	beat.n_work = MIN(rows->work_count, WORK_ROWS_MAX);
	beat.work = rows->work_at;
	beat.n_use = MIN(rows->use_count, USE_ROWS_MAX);
	beat.use = rows->use_at;
	beat.n_reports = watch_pack(node, WATCH_READ_HERE, rows->report,
	    rows->report_at, BEAT_ROWS_MAX);
	beat.reports = rows->report_at;
	frame.body_case = DFF__FRAME__BODY_HEARTBEAT;
	frame.heartbeat = &beat;
	send_near(node, &frame, true, fx);
	g_free(rows);
}

static void
send_summary(
    dff_node_t *node, const told_t *sum, bool merged, dff_effects_t *fx)
{
	Dff__Summary summary = DFF__SUMMARY__INIT;
	Dff__Frame frame = DFF__FRAME__INIT;
	bool shared = watch_shared(node);
	packed_rows_t *rows;

	rows = g_new0(packed_rows_t, 1);
	told_pack(rows, sum);
	summary.sequence = node->beat_count;
	summary.domain = node->config.domain;
	summary.live = sum->live;
	summary.merged = merged;
	summary.n_offsets = DFF_STREAM_COUNT;
	summary.offsets = rows->offset_at;
	summary.n_work =
	    MIN(rows->work_count, shared ? FAR_WORK_ROWS_MAX : WORK_ROWS_MAX);
	summary.work = rows->work_at;
	summary.n_use =
	    MIN(rows->use_count, shared ? FAR_USE_ROWS_MAX : USE_ROWS_MAX);
	summary.use = rows->use_at;
	summary.n_reports = watch_pack(node,
	    merged ? WATCH_OTHER_DOMAINS : WATCH_OWN_DOMAIN, rows->report,
	    rows->report_at, merged ? MERGED_REPORTS_MAX : SUMMARY_REPORTS_MAX);
	summary.reports = rows->report_at;
	frame.body_case = DFF__FRAME__BODY_SUMMARY;
	frame.summary = &summary;
	if (merged)
		send_near(node, &frame, true, fx);
	else
		send_relays(node, &frame, true, fx);
	g_free(rows);
}

/* A relay tells its domain to the others, and the others to its domain. */
static void
beat_far(dff_ctx_t *ctx, dff_node_t *node, const told_t *self, dff_time_t now,
    dff_effects_t *fx)
{
	dff_time_t since = now - node->config.dead_after;
	told_t *sum;

	if (!dff_members_is_relay(node->members))
		return;
	sum = told_sum(node->peers->near, since, self);
	send_summary(node, sum, false, fx);
	told_free(sum);
	sum = told_sum(node->peers->far, since, NULL);
	told_load(ctx, node, FAR_PEER, sum, now);
	send_summary(node, sum, true, fx);
	told_free(sum);
}

static dff_time_t
next_beat(const dff_node_t *node, uint64_t sent)
{
	dff_time_t paced = (dff_time_t)sent * DFF_SEC / BEAT_BYTES_PER_S;
	dff_time_t most = node->config.suspect_after / 2;

	return MAX(node->config.beat, MIN(paced, most));
}

void
peer_beat(dff_ctx_t *ctx, dff_node_t *node, dff_time_t now, dff_effects_t *fx)
{
	const dff_member_t *dead;
	uint32_t seen;
	uint32_t all;
	uint64_t before = node->counters[DFF_COUNT_BYTES_OUT];
	uint64_t sent;
	told_t *self;

	while ((dead = dff_members_sweep(ctx, node->members, now)) != NULL) {
		told_drop(ctx, node, dead->id);
		dff_claims_holder_gone(
		    ctx, node->claims, dead->id, dead->incarnation);
	}
	watch_update(node, now, fx);
	stream_check_base(ctx, node, now, fx);
	seen = dff_members_seen(node->members, now, &all);
	dff_policy_set_alone(node->policy, seen, all);
	self = told_self(node);
	beat_near(node, self, fx);
	if (node->beat_count % FAR_EVERY == 0)
		beat_far(ctx, node, self, now, fx);
	told_free(self);
	node->beat_count++;
	sent = node->counters[DFF_COUNT_BYTES_OUT] - before;
	dff_timers_set(node->timers, DFF_TIMER_MEMBER_BEAT, 0,
	    now + next_beat(node, sent));
}

void
peer_leave(dff_ctx_t *ctx, dff_node_t *node, dff_effects_t *fx)
{
	Dff__Leave leave = DFF__LEAVE__INIT;
	Dff__Frame frame = DFF__FRAME__INIT;

	(void)ctx;
	leave.sequence = node->beat_count;
	frame.body_case = DFF__FRAME__BODY_LEAVE;
	frame.leave = &leave;
	send_near(node, &frame, false, fx);
	if (dff_members_is_relay(node->members))
		send_relays(node, &frame, false, fx);
}

void
peer_tell_suspect(dff_ctx_t *ctx, dff_node_t *node, uint64_t body_hash,
    uint64_t process, dff_effects_t *fx)
{
	(void)ctx;
	send_suspect(node, body_hash, process, true, fx);
}

static void
take_heartbeat(dff_ctx_t *ctx, dff_node_t *node, dff_member_t *peer,
    const Dff__Heartbeat *beat, dff_time_t now, dff_effects_t *fx)
{
	told_t *told;

	if (!peer->near)
		return;
	told = told_of(node->peers->near, peer->id, now);
	told->live = 1;
	told_set_rows(
	    node, told, beat->n_work, beat->work, beat->n_use, beat->use);
	told_set_offsets(told->offsets, beat->n_offsets, beat->offsets);
	told_set_offsets(peer->offsets, beat->n_offsets, beat->offsets);
	peer->log_down = beat->log_down;
	told_load(ctx, node, peer->id, told, now);
	watch_take(ctx, node, beat->n_reports, beat->reports, now);
	help_ask(node, peer, fx);
}

static void
take_summary(dff_ctx_t *ctx, dff_node_t *node, dff_member_t *peer,
    const Dff__Summary *summary, dff_time_t now, dff_effects_t *fx)
{
	told_t *told;

	if (summary->merged != peer->near)
		return;
	peer->far_live = summary->live;
	if (!peer->near)
		told_set_offsets(
		    peer->offsets, summary->n_offsets, summary->offsets);
	if (summary->merged) {
		told = told_new();
		told_set_rows(node, told, summary->n_work, summary->work,
		    summary->n_use, summary->use);
		told_load(ctx, node, FAR_PEER, told, now);
		told_free(told);
	} else {
		told = told_of(node->peers->far, peer->domain, now);
		told->live = summary->live;
		told_set_rows(node, told, summary->n_work, summary->work,
		    summary->n_use, summary->use);
		told_set_offsets(
		    told->offsets, summary->n_offsets, summary->offsets);
	}
	watch_take(ctx, node, summary->n_reports, summary->reports, now);
	help_ask(node, peer, fx);
}

static void
take_suspects(dff_ctx_t *ctx, dff_node_t *node, const dff_member_t *peer,
    const Dff__Suspects *suspects, dff_time_t now, dff_effects_t *fx)
{
	(void)ctx;
	for (size_t i = 0; i < suspects->n_suspects; i++) {
		const Dff__Suspect *suspect = suspects->suspects[i];
		bool news = poison_note_broken(
		    node->poison, suspect->body_hash, suspect->process, now);

		/* What came from another domain is passed on in this one. */
		if (!peer->near && news)
			send_suspect(node, suspect->body_hash, suspect->process,
			    false, fx);
	}
}

static void
take_leave(dff_ctx_t *ctx, dff_node_t *node, const dff_member_t *peer)
{
	dff_members_left(ctx, node->members, peer->id);
	told_drop(ctx, node, peer->id);
}

static void
take_body(dff_ctx_t *ctx, dff_node_t *node, dff_member_t *peer,
    const Dff__Frame *frame, dff_time_t now, dff_effects_t *fx)
{
	switch (frame->body_case) {
	case DFF__FRAME__BODY_HEARTBEAT:
		take_heartbeat(ctx, node, peer, frame->heartbeat, now, fx);
		return;
	case DFF__FRAME__BODY_SUMMARY:
		take_summary(ctx, node, peer, frame->summary, now, fx);
		return;
	case DFF__FRAME__BODY_LEAVE:
		take_leave(ctx, node, peer);
		return;
	case DFF__FRAME__BODY_WANTED:
		help_give(ctx, node, peer, frame->wanted, fx);
		return;
	case DFF__FRAME__BODY_RECORDS:
		help_take(ctx, node, frame->records, now, fx);
		return;
	case DFF__FRAME__BODY_SUSPECTS:
		take_suspects(ctx, node, peer, frame->suspects, now, fx);
		return;
	case DFF__FRAME__BODY__NOT_SET:
	case _DFF__FRAME__BODY__CASE_IS_INT_SIZE:
		/* A later release may send what this one does not know. */
		node->counters[DFF_COUNT_FRAMES_BAD]++;
		return;
	}
}

void
peer_frame(dff_ctx_t *ctx, dff_node_t *node, const dff_ev_peer_t *ev,
    dff_time_t now, dff_effects_t *fx)
{
	dff_member_t *peer = NULL;
	Dff__Frame *frame;
	uint64_t before = 0;
	const dff_member_t *known;
	dff_heard_t heard;

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
	heard = dff_members_hear(
	    ctx, node->members, ev->id, frame->incarnation, now, &peer);
	/* What ran there before the process that speaks has ended. */
	if (heard == DFF_HEARD_NEW || (heard == DFF_HEARD_BACK && before == 0))
		dff_claims_holder_gone(
		    ctx, node->claims, ev->id, frame->incarnation - 1);
	if (heard == DFF_HEARD_ALIEN || heard == DFF_HEARD_STALE)
		node->counters[DFF_COUNT_FRAMES_BAD]++;
	else
		take_body(ctx, node, peer, frame, now, fx);
	dff__frame__free_unpacked(frame, NULL);
}
