#include "relay_net.h"

#include <stdio.h>
#include <string.h>

void
relay_net_add(
    relay_net_t *net, const char *domain, int index, uint32_t link_mbps)
{
	char id[32];
	char addr[32];

	(void)snprintf(id, sizeof(id), "%s%d", domain, index);
	(void)snprintf(addr, sizeof(addr), "10.0.%d.%d:7000", domain[0], index);
	net->nodes[net->count] =
	    relay_bench_new_as(id, domain, addr, link_mbps);
	g_strlcpy(net->nodes[net->count]->frame_addr, addr,
	    sizeof(net->nodes[net->count]->frame_addr));
	net->count++;
}

void
relay_net_add_all_peers(relay_net_t *net)
{
	for (int i = 0; i < net->count; i++) {
		for (int k = 0; k < net->count; k++) {
			char domain[2] = {net->nodes[k]->frame_addr[0], '\0'};
			int x;
			int y;

			(void)sscanf(
			    net->nodes[k]->frame_addr, "10.0.%d.%d", &x, &y);
			domain[0] = (char)x;
			dff_relay_add_peer(net->nodes[i]->relay,
			    net->nodes[k]->frame_addr, domain,
			    y == 1 ? 200 : 10, net->nodes[i]->now);
		}
	}
}

void
relay_net_drop(relay_net_t *net)
{
	for (int i = 0; i < net->count; i++)
		relay_bench_drop(net->nodes[i]);
	net->count = 0;
	g_clear_pointer(&net->links, g_array_unref);
	memset(net->isolated, 0, sizeof(net->isolated));
	memset(net->frames_sent, 0, sizeof(net->frames_sent));
	memset(net->bytes_sent, 0, sizeof(net->bytes_sent));
	net->fetch = NULL;
}

/* ---- calls that nodes pass on ---- */

const relay_link_t *
relay_net_send_to_peer(relay_net_t *net, int from, const dff_relay_send_t *send)
{
	dff_relay_event_t event = {.type = DFF_RELAY_OPEN};
	int to = relay_net_find(net, send->addr);
	const dff_relay_open_t *open =
	    g_hash_table_lookup(net->nodes[from]->opens, &send->call);
	relay_link_t link = {from, send->send, to, 0};

	if (to < 0 || net->isolated[to] || net->isolated[from] || open == NULL)
		return NULL;
	event.open = *open;
	event.open.call = ++net->nodes[to]->next_call;
	event.open.from_peer = true;
	event.open.organisation = send->organisation;
	if (send->checks_keys)
		event.open.credential = "";
	event.open.timeout = send->time_left;
	event.open.after_event = send->after_event;
	link.call = event.open.call;
	if (net->links == NULL)
		net->links = g_array_new(FALSE, FALSE, sizeof(relay_link_t));
	g_array_append_val(net->links, link);
	relay_bench_step(net->nodes[to], &event);
	return &g_array_index(net->links, relay_link_t, net->links->len - 1);
}

static uint64_t
call_of_effect(const dff_relay_effect_t *fx)
{
	switch (fx->type) {
	case DFF_RELAY_FX_ANSWER:
		return fx->answer.call;
	case DFF_RELAY_FX_FORWARD_HEAD:
	case DFF_RELAY_FX_FORWARD_DATA:
	case DFF_RELAY_FX_FORWARD_END:
		return fx->forward.call;
	case DFF_RELAY_FX_ABORT:
		return fx->call;
	default:
		return 0;
	}
}

static void
pass_back(relay_bench_t *to, uint64_t send, const dff_relay_effect_t *fx)
{
	dff_relay_event_t head = {.type = DFF_RELAY_HEAD};

	head.head.send = send;
	switch (fx->type) {
	case DFF_RELAY_FX_ANSWER:
		head.head.status = fx->answer.status;
		head.head.notice.pause = fx->answer.retry_after;
		relay_bench_step(to, &head);
		relay_bench_end(to, send, DFF_SEND_DONE, NULL);
		break;
	case DFF_RELAY_FX_FORWARD_HEAD:
		head.head.status = 200;
		head.head.stamped = true;
		relay_bench_step(to, &head);
		break;
	case DFF_RELAY_FX_FORWARD_END:
		relay_bench_end(to, send, DFF_SEND_DONE, NULL);
		break;
	default:
		relay_bench_end(to, send, DFF_SEND_BROKEN, NULL);
		break;
	}
}

int
relay_net_answer_peer(relay_net_t *net, int node, const dff_relay_effect_t *fx)
{
	uint64_t call = call_of_effect(fx);

	for (guint i = 0;
	     call != 0 && net->links != NULL && i < net->links->len; i++) {
		relay_link_t link = g_array_index(net->links, relay_link_t, i);

		if (link.to != node || link.call != call)
			continue;
		if (fx->type != DFF_RELAY_FX_FORWARD_HEAD)
			g_array_remove_index_fast(net->links, i);
		pass_back(net->nodes[link.from], link.send, fx);
		return link.from;
	}
	return -1;
}

int
relay_net_find(const relay_net_t *net, const char *addr)
{
	for (int i = 0; i < net->count; i++) {
		if (strcmp(net->nodes[i]->frame_addr, addr) == 0)
			return i;
	}
	return -1;
}

void
relay_net_deliver(relay_net_t *net, int from)
{
	GArray *fx = net->nodes[from]->fx;

	net->nodes[from]->fx =
	    g_array_new(FALSE, FALSE, sizeof(dff_relay_effect_t));
	for (guint i = 0; i < fx->len; i++) {
		const dff_relay_effect_t *effect =
		    &g_array_index(fx, dff_relay_effect_t, i);
		dff_relay_event_t event = {.type = DFF_RELAY_HEARTBEAT};
		int to;

		if (effect->type == DFF_RELAY_FX_FETCH && net->fetch != NULL &&
		    !net->isolated[from])
			net->fetch(from, &effect->fetch);
		if (effect->type != DFF_RELAY_FX_FRAME)
			continue;
		net->frames_sent[from]++;
		net->bytes_sent[from] += effect->frame.len;
		to = relay_net_find(net, effect->frame.addr);
		if (to < 0 || net->isolated[to] || net->isolated[from])
			continue;
		event.heartbeat.addr = net->nodes[from]->frame_addr;
		event.heartbeat.bytes = effect->frame.bytes;
		event.heartbeat.len = effect->frame.len;
		relay_bench_step(net->nodes[to], &event);
		relay_net_deliver(net, to);
	}
	g_array_unref(fx);
}

void
relay_net_advance(relay_net_t *net, dff_time_t time)
{
	const dff_relay_event_t wake = {.type = DFF_RELAY_WAKE};

	for (dff_time_t t = 0; t < time; t += 5 * DFF_MSEC) {
		for (int i = 0; i < net->count; i++) {
			net->nodes[i]->now += 5 * DFF_MSEC;
			if (dff_relay_wake(net->nodes[i]->relay) >
			    net->nodes[i]->now)
				continue;
			relay_bench_step(net->nodes[i], &wake);
			relay_net_deliver(net, i);
		}
	}
}
