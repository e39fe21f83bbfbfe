#include <string.h>
#include <strings.h>

#include "dragonflyfall/relay.h"

/* Defaults of a route and of the routing. */
#define TIMEOUT_DEFAULT	       (30 * DFF_SEC)
#define TARGET_LATENCY_DEFAULT DFF_SEC
#define HEAD_DEFAULT	       16384
#define BODY_DEFAULT	       ((size_t)4 << 20)
#define IDLE_DEFAULT	       (15 * DFF_SEC)

static void
free_route(void *data)
{
	dff_route_t *route = data;

	g_free(route->host);
	g_free(route->prefix);
	g_array_unref(route->shares);
	g_free(route);
}

dff_routing_t *
dff_routing_new(uint64_t version)
{
	dff_routing_t *routing = g_new0(dff_routing_t, 1);

	routing->version = version;
	routing->routes = g_ptr_array_new_with_free_func(free_route);
	routing->pools = g_array_new(FALSE, TRUE, sizeof(dff_pool_t));
	routing->head_max = HEAD_DEFAULT;
	routing->body_max = BODY_DEFAULT;
	routing->idle_time = IDLE_DEFAULT;
	routing->refs = 1;
	return routing;
}

dff_routing_t *
dff_routing_keep(dff_routing_t *routing)
{
	routing->refs++;
	return routing;
}

void
dff_routing_drop(dff_routing_t *routing)
{
	if (routing == NULL || --routing->refs > 0)
		return;
	g_ptr_array_unref(routing->routes);
	g_array_unref(routing->pools);
	dff_organisations_drop(routing->organisations);
	g_free(routing);
}

dff_route_t *
dff_routing_add_route(
    dff_routing_t *routing, const char *host, const char *prefix)
{
	dff_route_t *route = g_new0(dff_route_t, 1);

	route->host = g_strdup(host);
	route->prefix = g_strdup(prefix);
	route->kind = DFF_ROUTE_ONCE;
	route->timeout = TIMEOUT_DEFAULT;
	route->target_latency = TARGET_LATENCY_DEFAULT;
	route->runs_max = 1;
	route->shares = g_array_new(FALSE, TRUE, sizeof(dff_route_share_t));
	g_ptr_array_add(routing->routes, route);
	return route;
}

const dff_route_t *
dff_routing_match(
    const dff_routing_t *routing, const char *host, const char *target)
{
	const dff_route_t *best = NULL;
	size_t best_len = 0;

	for (guint i = 0; i < routing->routes->len; i++) {
		const dff_route_t *route = routing->routes->pdata[i];
		size_t len = strlen(route->prefix);

		if (best != NULL && len <= best_len)
			continue;
		if (strncmp(target, route->prefix, len) != 0 ||
		    strcasecmp(host, route->host) != 0)
			continue;
		best = route;
		best_len = len;
	}
	return best;
}

const dff_pool_t *
dff_routing_pool(const dff_routing_t *routing, const char *name)
{
	for (guint i = 0; i < routing->pools->len; i++) {
		const dff_pool_t *pool =
		    &g_array_index(routing->pools, dff_pool_t, i);

		if (strcmp(pool->name, name) == 0)
			return pool;
	}
	return NULL;
}

const char *
dff_route_pool(const dff_route_t *route, uint64_t hash)
{
	const dff_route_share_t *share = NULL;
	uint64_t sum = 0;
	uint64_t position;

	for (guint i = 0; i < route->shares->len; i++)
		sum +=
		    g_array_index(route->shares, dff_route_share_t, i).weight;
	position = sum > 0 ? hash % sum : 0;
	for (guint i = 0; i < route->shares->len; i++) {
		share = &g_array_index(route->shares, dff_route_share_t, i);
		if (position < share->weight)
			break;
		position -= share->weight;
	}
	return share != NULL ? share->pool : "";
}

bool
dff_route_is_resumable(const dff_route_t *route)
{
	return route->kind == DFF_ROUTE_STREAM && route->resumable;
}
