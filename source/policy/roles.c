/*
 * The controller of role changes. It holds the engines of each pool, what
 * they report, and proposes a change only where it pays. Private state.
 */
#include <string.h>

#include <glib.h>

#include "dragonflyfall/policy.h"

struct dff_roles {
	dff_catalogue_t *cat;
};

dff_roles_t *
dff_roles_new(dff_ctx_t *ctx)
{
	(void)ctx;
	return g_new0(dff_roles_t, 1);
}

void
dff_roles_drop(dff_roles_t *roles)
{
	if (roles == NULL)
		return;
	dff_catalogue_drop(roles->cat);
	g_free(roles);
}

void
dff_roles_set_catalogue(dff_roles_t *roles, dff_catalogue_t *cat)
{
	dff_catalogue_drop(roles->cat);
	roles->cat = cat == NULL ? NULL : dff_catalogue_keep(cat);
}

void
dff_roles_load_vms(
    dff_roles_t *roles, const dff_vm_t *vms, size_t count, dff_time_t now)
{
	(void)roles;
	(void)vms;
	(void)count;
	(void)now;
}

void
dff_roles_load_report(dff_ctx_t *ctx, dff_roles_t *roles,
    const dff_ev_engine_report_t *report, dff_time_t now)
{
	(void)ctx;
	(void)roles;
	(void)report;
	(void)now;
}

bool
dff_roles_propose(dff_ctx_t *ctx, dff_roles_t *roles, const char *domain,
    dff_time_t now, dff_role_change_t *change)
{
	(void)ctx;
	(void)roles;
	(void)domain;
	(void)now;
	memset(change, 0, sizeof(*change));
	return false;
}

void
dff_roles_note(
    dff_roles_t *roles, const dff_role_change_t *change, dff_time_t now)
{
	(void)roles;
	(void)change;
	(void)now;
}
