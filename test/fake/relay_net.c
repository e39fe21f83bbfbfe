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
	memset(net->isolated, 0, sizeof(net->isolated));
	memset(net->frames_sent, 0, sizeof(net->frames_sent));
	memset(net->bytes_sent, 0, sizeof(net->bytes_sent));
	net->fetch = NULL;
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
