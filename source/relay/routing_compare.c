#include <string.h>

#include "dragonflyfall/routing_check.h"

static void
clear_difference(void *data)
{
	dff_difference_t *difference = data;

	g_free(difference->name);
	g_free(difference->text);
}

static void
add_difference(GArray *list, dff_change_t change, dff_section_t section,
    const char *name, GString *text)
{
	dff_difference_t difference = {
	    change, section, g_strdup(name), g_strdup(text->str)};

	g_array_append_val(list, difference);
}

/* ---- fields ---- */

static void
note_text(
    GString *text, const char *field, const char *before, const char *after)
{
	if (strcmp(before, after) != 0)
		g_string_append_printf(text, "%s%s %s, was %s",
		    text->len > 0 ? "; " : "", field, after, before);
}

static void
note_real(GString *text, const char *field, double before, double after)
{
	char old[G_ASCII_DTOSTR_BUF_SIZE];
	char new[G_ASCII_DTOSTR_BUF_SIZE];

	note_text(text, field,
	    g_ascii_formatd(old, sizeof(old), "%.15g", before),
	    g_ascii_formatd(new, sizeof(new), "%.15g", after));
}

static void
note_msec(GString *text, const char *field, dff_time_t before, dff_time_t after)
{
	note_real(
	    text, field, (double)before / DFF_MSEC, (double)after / DFF_MSEC);
}

static void
note_flag(GString *text, const char *field, bool before, bool after)
{
	note_text(text, field, before ? "yes" : "no", after ? "yes" : "no");
}

/* ---- routes ---- */

static const char *
kind_name(dff_route_kind_t kind)
{
	switch (kind) {
	case DFF_ROUTE_REPEATABLE:
		return "repeatable";
	case DFF_ROUTE_ONCE:
		return "once";
	case DFF_ROUTE_STREAM:
		return "stream";
	}
	g_assert_not_reached();
}

static char *
shares_text(const dff_route_t *route)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < route->shares->len; i++) {
		const dff_route_share_t *share =
		    &g_array_index(route->shares, dff_route_share_t, i);

		g_string_append_printf(text, "%s%s:%u", i > 0 ? "," : "",
		    share->pool, share->weight);
	}
	return g_string_free(text, FALSE);
}

static const dff_route_t *
find_route(const dff_routing_t *routing, const dff_route_t *like)
{
	for (guint i = 0; i < routing->routes->len; i++) {
		const dff_route_t *route = routing->routes->pdata[i];

		if (g_ascii_strcasecmp(route->host, like->host) == 0 &&
		    strcmp(route->prefix, like->prefix) == 0)
			return route;
	}
	return NULL;
}

static void
note_route(GString *text, const dff_route_t *before, const dff_route_t *after)
{
	char *old = shares_text(before);
	char *new = shares_text(after);

	note_text(text, "name", before->name, after->name);
	note_text(
	    text, "kind", kind_name(before->kind), kind_name(after->kind));
	note_text(text, "pools", old, new);
	note_msec(text, "timeout_ms", before->timeout, after->timeout);
	note_msec(text, "target_latency_ms", before->target_latency,
	    after->target_latency);
	note_msec(text, "target_gap_ms", before->target_gap, after->target_gap);
	note_real(text, "priority", before->priority, after->priority);
	note_real(text, "runs_max", before->runs_max, after->runs_max);
	note_flag(text, "resumable", before->resumable, after->resumable);
	note_flag(text, "generates", before->generates, after->generates);
	note_flag(text, "public", before->is_public, after->is_public);
	g_free(old);
	g_free(new);
}

/* ---- pools ---- */

static char *
prices_text(const dff_scaling_t *scaling)
{
	GString *text = g_string_new(NULL);
	char price[G_ASCII_DTOSTR_BUF_SIZE];

	for (uint32_t i = 0; i < scaling->price_count; i++)
		g_string_append_printf(text, "%s%s:%s", i > 0 ? "," : "",
		    scaling->prices[i].domain,
		    g_ascii_formatd(price, sizeof(price), "%.15g",
			scaling->prices[i].price));
	return g_string_free(text, FALSE);
}

static void
note_scaling(
    GString *text, const dff_scaling_t *before, const dff_scaling_t *after)
{
	char *old = prices_text(before);
	char *new = prices_text(after);

	note_flag(text, "scaling", before->enabled, after->enabled);
	note_real(text, "scaling_min", before->min, after->min);
	note_real(text, "scaling_max", before->max, after->max);
	note_msec(text, "boot_time_ms", before->boot_time, after->boot_time);
	note_real(text, "reclaimable_price", before->reclaimable_price,
	    after->reclaimable_price);
	note_text(text, "prices", old, new);
	g_free(old);
	g_free(new);
}

static void
note_pool(GString *text, const dff_pool_t *before, const dff_pool_t *after)
{
	note_real(text, "connections", before->conns_max, after->conns_max);
	note_real(text, "slots", before->slots, after->slots);
	note_real(text, "kv_tokens", (double)before->kv_tokens,
	    (double)after->kv_tokens);
	note_real(text, "token_bytes", (double)before->token_bytes,
	    (double)after->token_bytes);
	note_real(text, "link_mbps", before->link_mbps, after->link_mbps);
	note_msec(text, "handle_lifetime_ms", before->handle_lifetime,
	    after->handle_lifetime);
	note_scaling(text, &before->scaling, &after->scaling);
}

/* ---- two versions ---- */

static void
compare_routes(
    GArray *list, const dff_routing_t *before, const dff_routing_t *after)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < before->routes->len; i++) {
		const dff_route_t *old = before->routes->pdata[i];
		const dff_route_t *new = find_route(after, old);
		char *name = g_strconcat(old->host, old->prefix, NULL);

		g_string_truncate(text, 0);
		if (new == NULL)
			add_difference(list, DFF_CHANGE_REMOVED,
			    DFF_SECTION_ROUTES, name, text);
		else if (find_route(before, old) == old)
			note_route(text, old, new);
		if (text->len > 0)
			add_difference(list, DFF_CHANGE_CHANGED,
			    DFF_SECTION_ROUTES, name, text);
		g_free(name);
	}
	g_string_truncate(text, 0);
	for (guint i = 0; i < after->routes->len; i++) {
		const dff_route_t *new = after->routes->pdata[i];
		char *name = g_strconcat(new->host, new->prefix, NULL);

		if (find_route(before, new) == NULL)
			add_difference(list, DFF_CHANGE_ADDED,
			    DFF_SECTION_ROUTES, name, text);
		g_free(name);
	}
	(void)g_string_free(text, TRUE);
}

static void
compare_pools(
    GArray *list, const dff_routing_t *before, const dff_routing_t *after)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < before->pools->len; i++) {
		const dff_pool_t *old =
		    &g_array_index(before->pools, dff_pool_t, i);
		const dff_pool_t *new = dff_routing_pool(after, old->name);

		g_string_truncate(text, 0);
		if (new == NULL)
			add_difference(list, DFF_CHANGE_REMOVED,
			    DFF_SECTION_POOLS, old->name, text);
		else if (dff_routing_pool(before, old->name) == old)
			note_pool(text, old, new);
		if (text->len > 0)
			add_difference(list, DFF_CHANGE_CHANGED,
			    DFF_SECTION_POOLS, old->name, text);
	}
	g_string_truncate(text, 0);
	for (guint i = 0; i < after->pools->len; i++) {
		const dff_pool_t *new =
		    &g_array_index(after->pools, dff_pool_t, i);

		if (dff_routing_pool(before, new->name) == NULL)
			add_difference(list, DFF_CHANGE_ADDED,
			    DFF_SECTION_POOLS, new->name, text);
	}
	(void)g_string_free(text, TRUE);
}

static void
note_organisation(GString *text, const dff_organisations_t *before,
    const dff_organisation_t *old, const dff_organisations_t *after,
    const dff_organisation_t *new)
{
	uint32_t lost = dff_organisations_lost_keys(before, old, after, new);
	uint32_t added = dff_organisations_lost_keys(after, new, before, old);

	note_flag(text, "own_priority", old->has_priority, new->has_priority);
	note_real(text, "priority", old->priority, new->priority);
	if (lost > 0 || added > 0)
		g_string_append_printf(text, "%skeys +%u -%u",
		    text->len > 0 ? "; " : "", added, lost);
}

static const dff_organisation_t *
find_organisation(const dff_organisations_t *all, const char *name)
{
	return all != NULL ? dff_organisations_find_name(all, name) : NULL;
}

static uint32_t
count_organisations(const dff_organisations_t *all)
{
	return all != NULL ? dff_organisations_count(all) : 0;
}

static void
compare_organisations(GArray *list, const dff_organisations_t *before,
    const dff_organisations_t *after)
{
	GString *text = g_string_new(NULL);

	note_flag(text, "keys_asked_for", before != NULL, after != NULL);
	if (text->len > 0)
		add_difference(list, DFF_CHANGE_CHANGED,
		    DFF_SECTION_ORGANISATIONS, "", text);
	for (uint32_t i = 0; i < count_organisations(before); i++) {
		const dff_organisation_t *old =
		    dff_organisations_get(before, i);
		const dff_organisation_t *new =
		    find_organisation(after, old->name);

		g_string_truncate(text, 0);
		if (new == NULL)
			add_difference(list, DFF_CHANGE_REMOVED,
			    DFF_SECTION_ORGANISATIONS, old->name, text);
		else if (find_organisation(before, old->name) == old)
			note_organisation(text, before, old, after, new);
		if (text->len > 0)
			add_difference(list, DFF_CHANGE_CHANGED,
			    DFF_SECTION_ORGANISATIONS, old->name, text);
	}
	g_string_truncate(text, 0);
	for (uint32_t i = 0; i < count_organisations(after); i++) {
		const dff_organisation_t *new = dff_organisations_get(after, i);

		if (find_organisation(before, new->name) == NULL)
			add_difference(list, DFF_CHANGE_ADDED,
			    DFF_SECTION_ORGANISATIONS, new->name, text);
	}
	(void)g_string_free(text, TRUE);
}

GArray *
dff_routing_compare(const dff_routing_t *before, const dff_routing_t *after)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(dff_difference_t));
	GString *text = g_string_new(NULL);

	g_array_set_clear_func(list, clear_difference);
	compare_routes(list, before, after);
	compare_pools(list, before, after);
	compare_organisations(
	    list, before->organisations, after->organisations);
	note_real(text, "head_max", (double)before->head_max,
	    (double)after->head_max);
	note_real(text, "body_max", (double)before->body_max,
	    (double)after->body_max);
	note_msec(text, "idle_time_ms", before->idle_time, after->idle_time);
	note_msec(text, "head_time_ms", before->head_time, after->head_time);
	if (text->len > 0)
		add_difference(
		    list, DFF_CHANGE_CHANGED, DFF_SECTION_LIMITS, "", text);
	(void)g_string_free(text, TRUE);
	return list;
}
