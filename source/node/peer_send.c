/*
 * Sends frames to the other entry nodes.
 */
#include "peers.h"

/* Maximum number of relays of other domains to send to. */
#define RELAYS_MAX 64

void
send_frame(dff_node_t *node, const dff_member_t *peer, Dff__Frame *frame,
    bool replace_queued, dff_effects_t *fx)
{
	dff_fx_peer_send_t *send;
	uint8_t *data;
	size_t len;

	frame->version = FRAME_VERSION;
	frame->from = node->config.id;
	frame->incarnation = node->config.incarnation;
	len = dff__frame__get_packed_size(frame);
	data = g_malloc(len);
	(void)dff__frame__pack(frame, data);
	send = &dff_effects_add(fx, DFF_FX_PEER_SEND)->u.peer_send;
	send->peer = dff_effects_strdup(fx, peer->id);
	send->addr = dff_effects_strdup(fx, peer->addr);
	send->replace_queued = replace_queued;
	send->data = dff_effects_copy(fx, data, len);
	send->len = len;
	g_free(data);
	node->counters[DFF_COUNT_FRAMES_OUT]++;
	node->counters[DFF_COUNT_BYTES_OUT] += len;
}

void
send_to_domain(
    dff_node_t *node, Dff__Frame *frame, bool replace_queued, dff_effects_t *fx)
{
	size_t count = dff_members_count(node->members);

	for (size_t i = 0; i < count; i++) {
		const dff_member_t *peer = dff_members_at(node->members, i);

		if (peer->same_domain && peer->state != DFF_MEMBER_LEFT)
			send_frame(node, peer, frame, replace_queued, fx);
	}
}

void
send_to_relays(
    dff_node_t *node, Dff__Frame *frame, bool replace_queued, dff_effects_t *fx)
{
	const dff_member_t *relays[RELAYS_MAX];
	size_t count;

	count =
	    dff_members_relays(node->members, node->now, relays, RELAYS_MAX);
	for (size_t i = 0; i < count; i++)
		send_frame(node, relays[i], frame, replace_queued, fx);
}

void
send_suspect(dff_node_t *node, uint64_t body_hash, uint64_t process,
    bool relays, dff_effects_t *fx)
{
	Dff__Suspect suspect = DFF__SUSPECT__INIT;
	Dff__Suspect *list[] = {&suspect};
	Dff__Suspects suspects = DFF__SUSPECTS__INIT;
	Dff__Frame frame = DFF__FRAME__INIT;

	suspect.body_hash = body_hash;
	suspect.process = process;
	suspects.n_suspects = 1;
	suspects.suspects = list;
	frame.body_case = DFF__FRAME__BODY_SUSPECTS;
	frame.suspects = &suspects;
	send_to_domain(node, &frame, false, fx);
	if (relays)
		send_to_relays(node, &frame, false, fx);
}
