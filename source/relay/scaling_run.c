#include "relay/scaling_run.h"

#include <string.h>

#include "relay/duty.h"
#include "relay/peers.h"
#include "relay/scaling.h"

/* Time over which the rate of reading is measured. */
#define READING_TIME DFF_SEC
/* Tokens whose reading time shows the speed of an upstream. */
#define SPEED_TOKENS 1000
/* Bytes of the records of an upstream that starts or leaves, with what carries
 * them, and the share of a node's link for them. */
#define CHANGE_BYTES   1200
#define CHANGE_SHARE   0.12
#define BYTES_PER_MBIT 125000.0
/* Numbers of orders of one pool. */
#define NUMBERS_BITS 32

/**
 * struct scaler - one pool with scaling
 * @pool: its name
 * @scaling: its orders
 * @token: token of the duty under which it orders; 0 for none
 * @view: what was known last
 * @hash: of the pool's name, for frames
 * @tokens: prompt tokens that this node had read since @since
 * @rate: the same in a second, last measured
 */
typedef struct scaler {
	char pool[DFF_NAME_MAX];
	scaling_t *scaling;
	uint64_t token;
	scaling_view_t view;
	uint32_t hash;
	uint64_t tokens;
	dff_time_t since;
	uint32_t rate;
} scaler_t;

struct scalers {
	GPtrArray *pools; /* scaler_t */
};

static void
free_scaler(void *data)
{
	scaler_t *scaler = data;

	scaling_drop(scaler->scaling);
	g_free(scaler);
}

scalers_t *
scalers_new(void)
{
	scalers_t *scalers = g_new0(scalers_t, 1);

	scalers->pools = g_ptr_array_new_with_free_func(free_scaler);
	return scalers;
}

void
scalers_drop(scalers_t *scalers)
{
	g_ptr_array_unref(scalers->pools);
	g_free(scalers);
}

static scaler_t *
find_scaler(scalers_t *scalers, const char *pool)
{
	scaler_t *scaler;

	for (guint i = 0; i < scalers->pools->len; i++) {
		scaler = scalers->pools->pdata[i];
		if (strcmp(scaler->pool, pool) == 0)
			return scaler;
	}
	scaler = g_new0(scaler_t, 1);
	g_strlcpy(scaler->pool, pool, sizeof(scaler->pool));
	scaler->hash = upstream_hash(pool);
	scaler->scaling =
	    scaling_new(((uint64_t)scalers->pools->len << NUMBERS_BITS) + 1);
	g_ptr_array_add(scalers->pools, scaler);
	return scaler;
}

/* ---- prompt tokens to be read ---- */

void
scaling_note_read(dff_relay_t *relay, const dff_pool_t *pool, uint32_t tokens)
{
	if (relay->config.orders_upstreams && pool != NULL &&
	    pool->scaling.enabled)
		find_scaler(relay->scalers, pool->name)->tokens += tokens;
}

static void
measure_rate(scaler_t *scaler, dff_time_t now)
{
	if (scaler->since != 0 && now - scaler->since < READING_TIME)
		return;
	if (scaler->since != 0)
		scaler->rate = (uint32_t)((double)scaler->tokens * DFF_SEC /
		    (double)(now - scaler->since));
	scaler->tokens = 0;
	scaler->since = now;
}

static uint32_t
rate_of_peer(const peer_t *peer, uint32_t pool)
{
	for (size_t i = 0; i < PEER_READINGS_MAX; i++) {
		if (peer->readings[i].pool == pool)
			return peer->readings[i].tokens;
	}
	return 0;
}

/* Rate of this node and of those whose frames it gets; with @fleet, also of
 * other domains. */
static uint32_t
sum_rates(const dff_relay_t *relay, const scaler_t *scaler, bool fleet,
    dff_time_t now)
{
	uint32_t sum = scaler->rate;

	for (guint i = 0; i < relay->peers->len; i++) {
		const peer_t *peer = relay->peers->pdata[i];
		bool summary = *peer->addr == '\0';

		if (!peer_is_alive(relay, peer, now) || (summary && !fleet) ||
		    (!summary && !peer_is_direct(relay, peer)))
			continue;
		sum += rate_of_peer(peer, scaler->hash);
	}
	return sum;
}

size_t
scaling_fill_frame(step_t *step, bool summary, Dff__RelayReading *rows,
    Dff__RelayReading **pointers)
{
	const dff_relay_t *relay = step->relay;
	size_t count = 0;

	for (guint i = 0;
	     i < relay->scalers->pools->len && count < PEER_READINGS_MAX; i++) {
		const scaler_t *scaler = relay->scalers->pools->pdata[i];
		uint32_t rate = summary ?
		    sum_rates(relay, scaler, false, step->now) :
		    scaler->rate;

		if (rate == 0)
			continue;
		dff__relay_reading__init(&rows[count]);
		rows[count].pool = scaler->hash;
		rows[count].tokens = rate;
		pointers[count] = &rows[count];
		count++;
	}
	return count;
}

void
scaling_receive_frame(peer_t *peer, const Dff__RelayBeat *frame)
{
	memset(peer->readings, 0, sizeof(peer->readings));
	for (size_t i = 0; i < MIN(frame->n_reading, PEER_READINGS_MAX); i++) {
		peer->readings[i].pool = frame->reading[i]->pool;
		peer->readings[i].tokens = frame->reading[i]->tokens;
	}
}

/* ---- what is known of a pool ---- */

/* Changes that the nodes of a failure domain can learn of in a second: the one
 * with the fastest link reads the records and serves them to all others. */
static double
changes_per_s(const dff_relay_t *relay, dff_time_t now)
{
	uint32_t link = relay->config.link_mbps;
	uint32_t nodes = 1;

	for (guint i = 0; i < relay->peers->len; i++) {
		const peer_t *peer = relay->peers->pdata[i];

		if (!peer_is_direct(relay, peer) ||
		    !peer_is_alive(relay, peer, now))
			continue;
		link = MAX(link, peer->link_mbps);
		nodes++;
	}
	return link * BYTES_PER_MBIT * CHANGE_SHARE / CHANGE_BYTES / nodes;
}

static void
gather(const dff_relay_t *relay, const dff_pool_t *pool, const scaler_t *scaler,
    dff_time_t now, scaling_view_t *view)
{
	scaling_load_t load = {.reading = sum_rates(relay, scaler, true, now)};
	upstream_t *up;

	*view = (scaling_view_t){.bounds = &pool->scaling,
	    .changes_per_s = changes_per_s(relay, now)};
	for (uint32_t i = 0; i < pool->scaling.price_count; i++)
		(void)scaling_view_domain(view, pool->scaling.prices[i].domain);
	for (dff_handle_t h = 0;
	     (h = upstreams_next(relay->upstreams, h, &up)) != 0;) {
		scaling_role_t *role = &load.roles[up->record.role];
		scaling_domain_t *domain;

		if (strcmp(up->record.pool, pool->name) != 0)
			continue;
		/* At upstreams that leave too: others get what comes next. */
		role->running += up->running + up->peer_sends.running;
		if (!upstream_is_listed(up, now))
			continue;
		role->upstreams++;
		role->slots += up->record.slots;
		load.speed += SPEED_TOKENS * (double)DFF_SEC /
		    (double)MAX(pool_stats_read_time(
				    &relay->pool_stats, up, SPEED_TOKENS, now),
			1);
		view->keeps_parts |= up->cached_tokens > 0;
		domain = scaling_view_domain(view, up->record.domain);
		if (domain != NULL)
			domain->listed[up->record.reclaimable ?
				SCALING_RECLAIMABLE :
				SCALING_REGULAR]++;
	}
	for (int role = 0; role < DFF_ROLE_COUNT; role++)
		view->loaded |= load.roles[role].running > 0;
	view->need = scaling_demand_need(&load);
}

static void
send_order(step_t *step, const scaler_t *scaler, const scaling_order_t *order)
{
	dff_relay_effect_t *fx =
	    relay_add_fx(step, DFF_RELAY_FX_ORDER_UPSTREAMS);
	dff_relay_order_t *out = &fx->order;

	out->order = order->number;
	g_strlcpy(out->pool, scaler->pool, sizeof(out->pool));
	g_strlcpy(out->domain, order->domain, sizeof(out->domain));
	out->count = order->count;
	out->reclaimable = order->kind == SCALING_RECLAIMABLE;
	out->token = scaler->token;
	duties_note_call(step->relay->duties, false, step->now);
	step->relay->counts[COUNT_ORDERS]++;
	dff_log(step->ctx, DFF_LOG_NOTICE, "scaling",
	    "upstreams ordered pool=%s domain=%s kind=%s count=%u listed=%u "
	    "why=%s need=%u need_now=%.1f order=%" G_GUINT64_FORMAT
	    " token=%" G_GUINT64_FORMAT,
	    scaler->pool, order->domain, scaling_kind_name(order->kind),
	    order->count, order->listed, order->why,
	    scaling_plan(scaler->scaling)->need, scaler->view.need,
	    (guint64)order->number, (guint64)scaler->token);
}

static void
run_pool(step_t *step, const dff_pool_t *pool)
{
	dff_relay_t *relay = step->relay;
	scaler_t *scaler = find_scaler(relay->scalers, pool->name);
	scaling_order_t order;
	uint64_t token = duty_token(relay->duties, DFF_DUTY_SCALING, step->now);

	scaling_view_t view;

	measure_rate(scaler, step->now);
	gather(relay, pool, scaler, step->now, &view);
	scaler->view = view;
	if (token != 0 && token != scaler->token)
		scaling_begin(scaler->scaling, &scaler->view);
	if (token != 0)
		scaler->token = token;
	scaling_observe(scaler->scaling, &scaler->view, step->now);
	/* Records are outdated while the source does not answer. */
	if (token == 0 || relay->stop_at != 0 ||
	    step->now - relay->source_answered_at > relay->config.stale_after)
		return;
	while (scaling_next_order(
	    scaler->scaling, &scaler->view, step->now, &order))
		send_order(step, scaler, &order);
}

void
scaling_run(step_t *step)
{
	const dff_relay_t *relay = step->relay;

	if (!relay->config.orders_upstreams || relay->routing == NULL)
		return;
	for (guint i = 0; i < relay->routing->pools->len; i++) {
		const dff_pool_t *pool =
		    &g_array_index(relay->routing->pools, dff_pool_t, i);

		if (pool->scaling.enabled)
			run_pool(step, pool);
	}
}

static const char *
result_name(dff_order_result_t result)
{
	switch (result) {
	case DFF_ORDERED_ACCEPTED:
		return "accepted";
	case DFF_ORDERED_NONE_AVAILABLE:
		return "none_available";
	case DFF_ORDERED_TOO_MANY:
		return "too_many_calls";
	case DFF_ORDERED_UNANSWERED:
		return "unanswered";
	case DFF_ORDERED_REJECTED:
		return "rejected";
	}
	g_assert_not_reached();
}

static void
count_result(dff_relay_t *relay, dff_order_result_t result)
{
	switch (result) {
	case DFF_ORDERED_ACCEPTED:
		break;
	case DFF_ORDERED_NONE_AVAILABLE:
		relay->counts[COUNT_ORDERS_NONE_AVAILABLE]++;
		break;
	case DFF_ORDERED_UNANSWERED:
		relay->counts[COUNT_ORDERS_UNANSWERED]++;
		break;
	case DFF_ORDERED_TOO_MANY:
	case DFF_ORDERED_REJECTED:
		relay->counts[COUNT_ORDERS_REJECTED]++;
		break;
	}
}

void
scaling_receive_result(step_t *step, const dff_relay_ordered_t *ordered)
{
	GPtrArray *pools = step->relay->scalers->pools;
	uint64_t index = ordered->order >> NUMBERS_BITS;
	scaler_t *scaler;

	duties_note_call(step->relay->duties,
	    ordered->result != DFF_ORDERED_UNANSWERED, step->now);
	if (index >= pools->len)
		return;
	scaler = pools->pdata[index];
	/* The node may have lost the duty and got it again since. */
	if (!scaling_note_result(
		scaler->scaling, ordered->order, ordered->result, step->now))
		return;
	count_result(step->relay, ordered->result);
	dff_log(step->ctx,
	    ordered->result == DFF_ORDERED_ACCEPTED ? DFF_LOG_INFO :
						      DFF_LOG_NOTICE,
	    "scaling",
	    "order of upstreams ended pool=%s order=%" G_GUINT64_FORMAT
	    " result=%s",
	    scaler->pool, (guint64)ordered->order,
	    result_name(ordered->result));
}

/* ---- metrics ---- */

static void
add_gauge(GString *text, const char *name, const char *pool, const char *domain,
    const uint32_t counts[SCALING_KIND_COUNT])
{
	for (int kind = 0; kind < SCALING_KIND_COUNT; kind++)
		g_string_append_printf(text,
		    "dff_relay_upstreams_%s{pool=\"%s\",domain=\"%s\","
		    "kind=\"%s\"} %u\n",
		    name, pool, domain, scaling_kind_name(kind), counts[kind]);
}

void
scaling_add_metrics(const dff_relay_t *relay, GString *text)
{
	for (guint i = 0; i < relay->scalers->pools->len; i++) {
		const scaler_t *scaler = relay->scalers->pools->pdata[i];
		const scaling_plan_t *plan = scaling_plan(scaler->scaling);

		for (uint32_t d = 0; d < scaler->view.domain_count; d++)
			add_gauge(text, "listed", scaler->pool,
			    scaler->view.domains[d].name,
			    scaler->view.domains[d].listed);
		for (uint32_t d = 0; d < plan->target_count; d++)
			add_gauge(text, "wanted", scaler->pool,
			    plan->targets[d].domain, plan->targets[d].wanted);
		g_string_append_printf(text,
		    "dff_relay_upstreams_needed{pool=\"%s\"} %.1f\n",
		    scaler->pool, scaler->view.need);
	}
}
