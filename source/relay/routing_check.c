#include "dragonflyfall/routing_check.h"

#include <stdarg.h>
#include <string.h>

typedef struct check {
	const dff_routing_t *routing;
	const char *const *domains;
	GArray *findings;
} check_t;

static void add_finding(check_t *check, bool is_error, dff_section_t section,
    uint32_t index, const char *name, const char *code, const char *format, ...)
    G_GNUC_PRINTF(7, 8);

static void
add_finding(check_t *check, bool is_error, dff_section_t section,
    uint32_t index, const char *name, const char *code, const char *format, ...)
{
	dff_finding_t finding = {.is_error = is_error,
	    .section = section,
	    .index = index,
	    .code = code};
	const char *valid_end;
	va_list args;

	g_strlcpy(finding.name, name, sizeof(finding.name));
	va_start(args, format);
	(void)g_vsnprintf(finding.text, sizeof(finding.text), format, args);
	va_end(args);
	/* The end may be in the middle of a character. */
	if (!g_utf8_validate(finding.text, -1, &valid_end))
		finding.text[valid_end - finding.text] = '\0';
	g_array_append_val(check->findings, finding);
}

static long long
msec(dff_time_t time)
{
	return (long long)(time / DFF_MSEC);
}

/* ---- routes ---- */

static void
check_match(check_t *check, uint32_t index, GHashTable *seen)
{
	const dff_route_t *route = check->routing->routes->pdata[index];
	char *host = g_ascii_strdown(route->host, -1);
	char *key = g_strconcat(host, route->prefix, NULL);
	gpointer first;

	if (strchr(route->host, ':') != NULL)
		add_finding(check, true, DFF_SECTION_ROUTES, index, route->name,
		    "never_matches",
		    "never matches: hosts are compared without port, and this "
		    "one is %s",
		    route->host);
	if (strpbrk(route->prefix, " \t\r\n") != NULL)
		add_finding(check, true, DFF_SECTION_ROUTES, index, route->name,
		    "never_matches",
		    "never matches: its prefix contains white space");
	if (g_hash_table_lookup_extended(seen, key, NULL, &first))
		add_finding(check, true, DFF_SECTION_ROUTES, index, route->name,
		    "never_matches",
		    "never matches: entry %u has the same host and prefix",
		    GPOINTER_TO_UINT(first));
	else
		g_hash_table_insert(
		    seen, g_strdup(key), GUINT_TO_POINTER(index));
	g_free(key);
	g_free(host);
}

/* A target that nobody set contradicts nothing that an operator wrote. */
static bool
is_default_target(const dff_route_t *route)
{
	dff_routing_t *defaults = dff_routing_new(0);
	bool same = route->target_latency ==
	    dff_routing_add_route(defaults, "", "")->target_latency;

	dff_routing_drop(defaults);
	return same;
}

static void
check_times(check_t *check, uint32_t index)
{
	const dff_route_t *route = check->routing->routes->pdata[index];

	if (route->timeout < route->target_latency)
		add_finding(check, !is_default_target(route),
		    DFF_SECTION_ROUTES, index, route->name,
		    "timeout_under_target",
		    "its timeout of %lld ms is under its target latency of "
		    "%lld ms",
		    msec(route->timeout), msec(route->target_latency));
	if (route->target_gap > route->timeout)
		add_finding(check, true, DFF_SECTION_ROUTES, index, route->name,
		    "timeout_under_target",
		    "its timeout of %lld ms is under its target gap of "
		    "%lld ms",
		    msec(route->timeout), msec(route->target_gap));
	if (route->kind == DFF_ROUTE_STREAM)
		return;
	if (route->target_gap > 0)
		add_finding(check, false, DFF_SECTION_ROUTES, index,
		    route->name, "no_effect",
		    "its target gap has no effect: it is no stream");
	if (route->resumable)
		add_finding(check, false, DFF_SECTION_ROUTES, index,
		    route->name, "no_effect",
		    "it cannot be resumed: it is no stream");
}

static void
check_shares(check_t *check, uint32_t index)
{
	const dff_route_t *route = check->routing->routes->pdata[index];
	uint64_t sum = 0;

	for (guint i = 0; i < route->shares->len; i++)
		sum +=
		    g_array_index(route->shares, dff_route_share_t, i).weight;
	if (sum == 0)
		add_finding(check, true, DFF_SECTION_ROUTES, index, route->name,
		    "no_weight", "all of its pools have the weight 0");
	for (guint i = 0; i < route->shares->len; i++) {
		const dff_route_share_t *share =
		    &g_array_index(route->shares, dff_route_share_t, i);
		const dff_pool_t *pool =
		    dff_routing_pool(check->routing, share->pool);

		if (sum > 0 && share->weight == 0)
			add_finding(check, false, DFF_SECTION_ROUTES, index,
			    route->name, "never_matches",
			    "pool %s gets no request: its weight is 0",
			    share->pool);
		if (pool == NULL)
			add_finding(check, true, DFF_SECTION_ROUTES, index,
			    route->name, "unknown_pool",
			    "pool %s is not in this configuration",
			    share->pool);
		else if (route->generates && pool->slots == 0)
			add_finding(check, false, DFF_SECTION_ROUTES, index,
			    route->name, "no_engine",
			    "its requests have prompts, but pool %s has no "
			    "slots of an engine",
			    share->pool);
	}
}

static void
check_routes(check_t *check)
{
	GHashTable *seen =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (guint i = 0; i < check->routing->routes->len; i++) {
		check_match(check, i, seen);
		check_times(check, i);
		check_shares(check, i);
	}
	g_hash_table_unref(seen);
}

/* ---- pools ---- */

static bool
is_routed_to(const dff_routing_t *routing, const char *pool)
{
	for (guint i = 0; i < routing->routes->len; i++) {
		const dff_route_t *route = routing->routes->pdata[i];

		for (guint k = 0; k < route->shares->len; k++) {
			if (strcmp(g_array_index(
				       route->shares, dff_route_share_t, k)
				       .pool,
				pool) == 0)
				return true;
		}
	}
	return false;
}

static bool
is_priced(const dff_scaling_t *scaling, const char *domain)
{
	for (uint32_t i = 0; i < scaling->price_count; i++) {
		if (strcmp(scaling->prices[i].domain, domain) == 0)
			return true;
	}
	return false;
}

static void
check_domains(check_t *check, uint32_t index, const dff_pool_t *pool)
{
	const dff_scaling_t *scaling = &pool->scaling;

	if (check->domains == NULL)
		return;
	for (uint32_t i = 0; i < scaling->price_count; i++) {
		if (!g_strv_contains(check->domains, scaling->prices[i].domain))
			add_finding(check, true, DFF_SECTION_POOLS, index,
			    pool->name, "unreachable_domain",
			    "there is no failure domain %s, which has a price",
			    scaling->prices[i].domain);
	}
	for (size_t i = 0; check->domains[i] != NULL; i++) {
		if (!is_priced(scaling, check->domains[i]))
			add_finding(check, false, DFF_SECTION_POOLS, index,
			    pool->name, "no_price",
			    "there is no price for failure domain %s",
			    check->domains[i]);
	}
}

static void
check_scaling(check_t *check, uint32_t index, const dff_pool_t *pool)
{
	const dff_scaling_t *scaling = &pool->scaling;

	if (!scaling->enabled)
		return;
	if (scaling->min > scaling->max)
		add_finding(check, true, DFF_SECTION_POOLS, index, pool->name,
		    "scaling_bounds",
		    "fewest upstreams %u are more than most upstreams %u",
		    scaling->min, scaling->max);
	else if (scaling->max == 0)
		add_finding(check, true, DFF_SECTION_POOLS, index, pool->name,
		    "scaling_bounds", "it may have no upstream at all");
	else if (scaling->min == 0)
		add_finding(check, false, DFF_SECTION_POOLS, index, pool->name,
		    "scaling_bounds",
		    "it may be left without an upstream in a failure domain");
	if (scaling->reclaimable_price < 0 || scaling->boot_time < 0)
		add_finding(check, true, DFF_SECTION_POOLS, index, pool->name,
		    "scaling_bounds", "a price or a boot time is negative");
	else if (scaling->reclaimable_price >= 1)
		add_finding(check, false, DFF_SECTION_POOLS, index, pool->name,
		    "no_effect",
		    "upstreams that may be reclaimed are never ordered: they "
		    "cost no less than others");
	for (uint32_t i = 0; i < scaling->price_count; i++) {
		if (scaling->prices[i].price < 0)
			add_finding(check, true, DFF_SECTION_POOLS, index,
			    pool->name, "scaling_bounds",
			    "the price in failure domain %s is negative",
			    scaling->prices[i].domain);
	}
	check_domains(check, index, pool);
}

static void
check_pools(check_t *check)
{
	const dff_routing_t *routing = check->routing;

	for (guint i = 0; i < routing->pools->len; i++) {
		const dff_pool_t *pool =
		    &g_array_index(routing->pools, dff_pool_t, i);

		if (dff_routing_pool(routing, pool->name) != pool)
			add_finding(check, true, DFF_SECTION_POOLS, i,
			    pool->name, "never_matches",
			    "never used: an entry before it has this name");
		else if (!is_routed_to(routing, pool->name))
			add_finding(check, false, DFF_SECTION_POOLS, i,
			    pool->name, "never_matches",
			    "no route sends requests to it");
		if (pool->conns_max > 0 && pool->conns_max < pool->slots)
			add_finding(check, false, DFF_SECTION_POOLS, i,
			    pool->name, "slots_over_connections",
			    "an engine accepts %u connections and runs %u "
			    "requests at once",
			    pool->conns_max, pool->slots);
		check_scaling(check, i, pool);
	}
}

/* ---- organisations ---- */

static void
check_organisations(check_t *check)
{
	const dff_organisations_t *all = check->routing->organisations;
	uint32_t count;
	uint32_t *keys;

	if (all == NULL)
		return;
	count = dff_organisations_count(all);
	keys = g_new0(uint32_t, (gsize)count + 1);
	dff_organisations_count_keys(all, keys);
	for (uint32_t i = 0; i < count; i++) {
		const dff_organisation_t *one = dff_organisations_get(all, i);

		if (dff_organisations_find_name(all, one->name) != one)
			add_finding(check, true, DFF_SECTION_ORGANISATIONS, i,
			    one->name, "name_twice",
			    "an entry before it has this name");
		if (keys[i] == 0)
			add_finding(check, false, DFF_SECTION_ORGANISATIONS, i,
			    one->name, "never_matches",
			    "it has no key that is its own, so that nobody can "
			    "call for it");
	}
	for (uint32_t i = 0; i < dff_organisations_conflicts(all); i++) {
		dff_key_conflict_t conflict =
		    dff_organisations_conflict(all, i);

		add_finding(check, true, DFF_SECTION_ORGANISATIONS,
		    conflict.index,
		    dff_organisations_get(all, conflict.index)->name,
		    "key_of_two", "a key of it is already one of entry %u, %s",
		    conflict.owner,
		    dff_organisations_get(all, conflict.owner)->name);
	}
	g_free(keys);
}

/* ---- the whole ---- */

static void
check_whole(check_t *check, const dff_routing_t *in_force)
{
	const dff_routing_t *routing = check->routing;

	if (routing->routes->len == 0)
		add_finding(check, false, DFF_SECTION_WHOLE, 0, "", "empty",
		    "there is no route: every request is refused");
	if (in_force != NULL && routing->version <= in_force->version)
		add_finding(check, true, DFF_SECTION_WHOLE, 0, "",
		    "version_not_newer",
		    "version %" G_GUINT64_FORMAT
		    " is not newer than the one in force, %" G_GUINT64_FORMAT
		    ": nodes will not take it",
		    routing->version, in_force->version);
}

static void
check_limits(check_t *check)
{
	const dff_routing_t *routing = check->routing;

	if (routing->idle_time < routing->head_time)
		add_finding(check, false, DFF_SECTION_LIMITS, 0, "",
		    "idle_under_head",
		    "a head may take %lld ms, but its connection is closed "
		    "after %lld ms without a byte",
		    msec(routing->head_time), msec(routing->idle_time));
	for (guint i = 0; i < routing->routes->len; i++) {
		const dff_route_t *route = routing->routes->pdata[i];

		if (strlen(route->prefix) < routing->head_max)
			continue;
		add_finding(check, true, DFF_SECTION_LIMITS, 0, "",
		    "head_under_prefix",
		    "a head of %zu bytes has no room for the prefix of route "
		    "%u",
		    routing->head_max, i);
	}
}

GArray *
dff_routing_check(const dff_routing_t *routing, const char *const *domains,
    const dff_routing_t *in_force)
{
	check_t check = {.routing = routing,
	    .domains = domains,
	    .findings = g_array_new(FALSE, FALSE, sizeof(dff_finding_t))};

	check_whole(&check, in_force);
	check_routes(&check);
	check_pools(&check);
	check_organisations(&check);
	check_limits(&check);
	return check.findings;
}
