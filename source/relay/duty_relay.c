/*
 * Duties of a relay: who may claim them, and what frames say of the holder.
 * The domain leaders and the nodes next to them may.
 */
#include <string.h>

#include "relay/duty.h"
#include "relay/peers.h"
#include "relay/usage.h"

/* Nodes of a domain, by rank, that may claim duties. */
#define CANDIDATES 2
/* A holder is named in summaries if its frame is not older. */
#define WORD_AGE_MAX (500 * DFF_MSEC)

/* Number of domains that rank before this one. */
static uint32_t
count_domains_before(const dff_relay_t *relay)
{
	const char *own = relay->config.domain;
	uint32_t count = 0;

	for (guint i = 0; i < relay->peers->len; i++) {
		const peer_t *peer = relay->peers->pdata[i];

		/* One of a domain's two summaries. */
		if (*peer->addr == '\0' && g_str_has_suffix(peer->node, "near"))
			count += strcmp(peer->domain, own) < 0;
	}
	return count;
}

static duty_view_t
make_view(step_t *step)
{
	const dff_relay_t *relay = step->relay;
	uint32_t higher = 0;

	for (guint i = 0; i < relay->peers->len; i++) {
		const peer_t *peer = relay->peers->pdata[i];

		higher += peer_is_direct(relay, peer) &&
		    peer_is_alive(relay, peer, step->now) &&
		    peer_rank(peer->addr, peer->link_mbps) >
			peer_rank(relay->config.addr, relay->config.link_mbps);
	}
	return (duty_view_t){.is_candidate = higher < CANDIDATES,
	    .turn = higher * CANDIDATES + count_domains_before(relay)};
}

void
duty_run(step_t *step)
{
	dff_relay_t *relay = step->relay;
	dff_duty_request_t request;
	duty_view_t view;

	if (!duties_are_enabled(relay->duties))
		return;
	if (relay->stop_at != 0)
		duties_stop(relay->duties, step->now);
	view = make_view(step);
	if (duties_next(step->ctx, relay->duties, &view, step->now, &request))
		relay_add_fx(step, DFF_RELAY_FX_DUTY_LOG)->duty_request =
		    request;
	usage_report_run(step);
}

void
duty_receive_frame(step_t *step, peer_t *peer, const Dff__RelayBeat *frame)
{
	peer->duty_token = 0;
	if (frame->duty == NULL || frame->duty->token == 0)
		return;
	peer->duty_token = frame->duty->token;
	peer->duty_end = frame->duty->end;
	duties_hear(
	    step->relay->duties, peer->duty_token, peer->duty_end, step->now);
}

void
duty_fill_frame(step_t *step, Dff__RelayBeat *frame, Dff__RelayDuty *row)
{
	const dff_relay_t *relay = step->relay;

	dff__relay_duty__init(row);
	if (duty_held_since(relay->duties) != 0) {
		row->token = duty_token_known(relay->duties);
		row->end = duty_log_end(relay->duties);
	}
	for (guint i = 0; i < relay->peers->len && frame->summary; i++) {
		const peer_t *peer = relay->peers->pdata[i];

		if (peer->duty_token <= row->token ||
		    !peer_is_direct(relay, peer) ||
		    step->now - peer->heard_at > WORD_AGE_MAX)
			continue;
		row->token = peer->duty_token;
		row->end = peer->duty_end;
	}
	if (row->token != 0)
		frame->duty = row;
}

void
duty_metrics(const dff_relay_t *relay, dff_time_t now, GString *text)
{
	static const char *const names[] = {
	    "reads", "appends", "rejected", "unanswered", "gained", "lost"};
	const duties_t *duties = relay->duties;
	dff_time_t since = duty_held_since(duties);

	if (!duties_are_enabled(duties))
		return;
	g_string_append_printf(text,
	    "dff_duty_held %d\ndff_duty_token %" G_GUINT64_FORMAT
	    "\ndff_duty_held_seconds %.3f\n",
	    since != 0, (guint64)duty_token_known(duties),
	    since != 0 ? (double)(now - since) / DFF_SEC : 0.0);
	for (int i = 0; i < DUTY_COUNT_MAX; i++)
		g_string_append_printf(text,
		    "dff_duty_%s_total %" G_GUINT64_FORMAT "\n", names[i],
		    (guint64)duties_counter(duties, (duty_count_t)i));
}
