/*
 * Collects the counts of a window: in each failure domain a few nodes are asked
 * for all that they have counted and heard.
 */
#include <string.h>

#include "relay/peers.h"
#include "relay/usage_parts.h"

/* Nodes that are asked in the own failure domain, whose counts this node has
 * heard, and in others. */
#define ASKED_OWN   1
#define ASKED_OTHER 2
/* Nodes of one domain that are asked in place of silent ones. */
#define TRIES_MAX 5

dff_usage_call_t *
usage_add_call(step_t *step, dff_usage_call_type_t type)
{
	dff_relay_effect_t *fx = relay_add_fx(step, DFF_RELAY_FX_USAGE);

	fx->usage.type = type;
	return &fx->usage;
}

static bool
was_asked(const usage_reports_t *reports, const char *addr)
{
	for (guint i = 0; i < reports->asked->len; i++) {
		if (strcmp(g_array_index(reports->asked, asked_t, i).addr,
			addr) == 0)
			return true;
	}
	return false;
}

/* Where a peer serves its counts: the host of its frames and the port of this
 * node, as ports do not differ between nodes. */
static void
make_addr(const dff_relay_t *relay, const peer_t *peer, char *addr)
{
	const char *port = strrchr(relay->config.records, ':');
	const char *colon = strrchr(peer->addr, ':');

	(void)g_snprintf(addr, DFF_ADDR_MAX, "%.*s%s",
	    (int)(colon != NULL ? colon - peer->addr : 0), peer->addr,
	    port != NULL ? port : "");
}

/* The highest-ranking node of a domain that was not asked yet, or NULL. */
static const peer_t *
pick_node(step_t *step, const char *domain)
{
	const dff_relay_t *relay = step->relay;
	const usage_reports_t *reports = usage_reports_of(relay);
	const peer_t *picked = NULL;
	char addr[DFF_ADDR_MAX];

	for (guint i = 0; i < relay->peers->len; i++) {
		const peer_t *peer = relay->peers->pdata[i];

		if (*peer->addr == '\0' || strcmp(peer->domain, domain) != 0 ||
		    (peer_is_direct(relay, peer) &&
			!peer_is_alive(relay, peer, step->now)))
			continue;
		make_addr(relay, peer, addr);
		if (was_asked(reports, addr) ||
		    (picked != NULL &&
			peer_rank(picked->addr, picked->link_mbps) >
			    peer_rank(peer->addr, peer->link_mbps)))
			continue;
		picked = peer;
	}
	return picked;
}

/* Asks nodes of a domain; returns whether enough have answered, or all that can
 * be asked. */
static bool
collect_domain(step_t *step, const char *domain)
{
	const dff_relay_t *relay = step->relay;
	usage_reports_t *reports = usage_reports_of(relay);
	uint32_t wanted =
	    strcmp(domain, relay->config.domain) == 0 ? ASKED_OWN : ASKED_OTHER;
	uint32_t answered = 0;
	uint32_t pending = 0;
	uint32_t tries = 0;

	for (guint i = 0; i < reports->asked->len; i++) {
		const asked_t *asked =
		    &g_array_index(reports->asked, asked_t, i);

		if (strcmp(asked->domain, domain) != 0)
			continue;
		tries++;
		answered += asked->answered;
		pending += asked->pending;
	}
	while (answered + pending < wanted && tries < TRIES_MAX) {
		const peer_t *peer = pick_node(step, domain);
		asked_t asked = {.pending = true};
		dff_usage_call_t *call;

		if (peer == NULL)
			break;
		make_addr(relay, peer, asked.addr);
		g_strlcpy(asked.domain, domain, sizeof(asked.domain));
		g_array_append_val(reports->asked, asked);
		call = usage_add_call(step, DFF_USAGE_ASK);
		g_strlcpy(call->addr, asked.addr, sizeof(call->addr));
		call->report.window = reports->collecting;
		pending++;
		tries++;
	}
	return answered >= wanted || pending == 0;
}

bool
usage_collect(step_t *step)
{
	const dff_relay_t *relay = step->relay;
	GHashTable *domains = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer domain;
	bool complete = true;

	for (guint i = 0; i < relay->peers->len; i++) {
		peer_t *peer = relay->peers->pdata[i];

		if (*peer->addr != '\0' && *peer->domain != '\0')
			(void)g_hash_table_add(domains, peer->domain);
	}
	g_hash_table_iter_init(&iter, domains);
	while (g_hash_table_iter_next(&iter, &domain, NULL))
		complete &= collect_domain(step, domain);
	g_hash_table_unref(domains);
	return complete;
}

void
usage_apply_counts(step_t *step, const dff_usage_result_t *result)
{
	dff_relay_t *relay = step->relay;
	usage_reports_t *reports = usage_reports_of(relay);

	for (size_t i = 0; i < result->count && result->answered; i++)
		usage_note_count(
		    relay->usage, &result->counts[i], result->window);
	if (result->window != reports->collecting)
		return;
	for (guint i = 0; i < reports->asked->len; i++) {
		asked_t *asked = &g_array_index(reports->asked, asked_t, i);

		if (strcmp(asked->addr, result->addr) != 0)
			continue;
		asked->pending = false;
		asked->answered = result->answered;
	}
}
