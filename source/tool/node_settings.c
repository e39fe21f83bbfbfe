#include "node_settings.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "dragonflyfall/program.h"

/* Exit status for invalid settings. */
#define EXIT_BAD_SETTINGS 2
/* Bounds of settings, in their flags' units. */
#define HOUR_MSEC 3600000
#define DAY_MSEC  86400000.0
#define GIBIBYTE  1073741824.0

static const char *const policy_names = "predict|round-robin|least-outstanding";

struct node_settings {
	GArray *list; /* dff_setting_t; the last one is empty */
	GPtrArray *fallbacks;
	char *id;
	char *domain;
	char *listen;
	char *peer_listen;
	char *platform;
	char *policy;
	dff_time_t key_window;
	int64_t max_calls;
	int64_t batch_max;
	int64_t body_max;
	int64_t unread_max;
	int64_t reply_max;
};

/* ---- list of settings ---- */

static void
add_setting(node_settings_t *settings, const dff_setting_t *setting)
{
	g_array_append_vals(settings->list, setting, 1);
}

static void
add_text(node_settings_t *settings, const char *name, dff_setting_kind_t kind,
    char **value, const char *fallback, const char *help)
{
	const dff_setting_t setting = {.name = name,
	    .kind = kind,
	    .value = value,
	    .fallback = fallback,
	    .help = help};

	add_setting(settings, &setting);
}

/* Add a time setting; the current value of @value is its default. */
static void
add_time(node_settings_t *settings, const char *name, dff_time_t *value,
    double min, double max, const char *help)
{
	char *fallback = g_strdup_printf("%" PRId64, *value / DFF_MSEC);
	const dff_setting_t setting = {.name = name,
	    .kind = DFF_SETTING_MSEC,
	    .value = value,
	    .fallback = fallback,
	    .min = min,
	    .max = max,
	    .help = help};

	g_ptr_array_add(settings->fallbacks, fallback);
	add_setting(settings, &setting);
}

/* Add a number setting; the current value of @value is its default. */
static void
add_number(node_settings_t *settings, const char *name, int64_t *value,
    double min, double max, const char *unit, const char *help)
{
	char *fallback = g_strdup_printf("%" PRId64, *value);
	const dff_setting_t setting = {.name = name,
	    .kind = DFF_SETTING_INT,
	    .value = value,
	    .fallback = fallback,
	    .min = min,
	    .max = max,
	    .unit = unit,
	    .help = help};

	g_ptr_array_add(settings->fallbacks, fallback);
	add_setting(settings, &setting);
}

static void
add_addresses(node_settings_t *s, node_kind_t kind)
{
	add_text(s, "id", DFF_SETTING_TEXT, &s->id, NULL,
	    "id of this VM, as in the VM list");
	add_text(s, "domain", DFF_SETTING_TEXT, &s->domain, NULL,
	    "failure domain of this VM");
	add_text(s, "listen", DFF_SETTING_ADDR, &s->listen, NULL,
	    kind == NODE_ENTRY ?
		"address on which callers' requests are accepted" :
		"address on which /status, /metrics and /healthz are served");
	add_text(s, "peer-listen", DFF_SETTING_ADDR, &s->peer_listen,
	    kind == NODE_ENTRY ? NULL : "",
	    "address on which connections of other nodes are accepted");
	add_text(s, "platform", DFF_SETTING_ADDR, &s->platform, NULL,
	    "address of the platform, which holds the log and the VM list");
}

static void
add_membership(node_settings_t *s, dff_runner_config_t *config)
{
	dff_node_config_t *node = &config->node;

	add_time(s, "beat", &node->heartbeat_period, 10, 60000,
	    "time between heartbeats");
	add_time(s, "suspect-after", &node->suspect_after, 10, HOUR_MSEC,
	    "silence after which a peer is suspected");
	add_time(s, "dead-after", &node->dead_after, 10, HOUR_MSEC,
	    "silence after which a peer is considered dead");
	add_time(s, "blind-after", &node->isolated_after, 10, HOUR_MSEC,
	    "time without log and peers after which no new work is accepted");
	add_time(s, "snapshot-every", &node->snapshot_period, 100, DAY_MSEC,
	    "time between snapshots of a stream");
	add_time(s, "drain-time", &node->drain_time, 0, HOUR_MSEC,
	    "bound on a graceful stop");
	add_time(s, "tcp-timeout", &node->authority.tcp_timeout, 100, 600000,
	    "longest time that sent bytes may stay unacknowledged");
}

static void
add_leases(node_settings_t *s, dff_runner_config_t *config)
{
	dff_authority_config_t *authority = &config->node.authority;

	add_time(s, "lease-term", &authority->term, 100, HOUR_MSEC,
	    "length of a lease");
	add_time(s, "lease-drift", &authority->drift, 0, 60000,
	    "allowance for clock drift between VMs");
	add_time(s, "engine-drain-time", &authority->drain_timeout, 0,
	    HOUR_MSEC, "longest wait for a draining engine to finish its work");
	add_time(s, "order-silence", &config->engine.order_idle_timeout, 100,
	    600000, "longest silence of an engine after an order");
}

static void
add_polls(node_settings_t *s, dff_runner_config_t *config)
{
	add_time(s, "vms-every", &config->platform.vms_interval, 10, 600000,
	    "time between reads of the VM list");
	add_time(s, "log-wait", &config->platform.poll_wait, 0, 60000,
	    "how long a read of the log waits for a record");
	add_time(s, "platform-silence", &config->platform.idle_timeout, 10,
	    600000, "longest silence of the platform");
	add_time(s, "load-every", &config->engine.load_interval, 10, 600000,
	    "time between load reports of one upstream");
	add_time(s, "poll-silence", &config->engine.poll_idle_timeout, 10,
	    600000, "longest silence of an upstream during a load report");
}

static void
add_calls(node_settings_t *s, dff_runner_config_t *config)
{
	dff_node_config_t *node = &config->node;

	add_time(s, "try-silence", &node->attempt_idle_timeout, 10, HOUR_MSEC,
	    "longest silence of an upstream during an attempt");
	add_number(s, "max-calls", &s->max_calls, 1, 1000000, "calls",
	    "calls at once");
	add_time(s, "claim-batch-time", &node->claims.batch_delay, 0, 10000,
	    "longest wait of a claim for others in the same append");
	add_number(s, "claim-batch-max", &s->batch_max, 1, 100000, "claims",
	    "claims and outcomes in one append");
	add_time(s, "claim-give-up", &node->claims.decision_timeout, 10,
	    HOUR_MSEC, "how long an append of claims may stay undecided");
	add_time(s, "key-window", &s->key_window, 1000, 30 * DAY_MSEC,
	    "how long an Idempotency-Key is remembered");
	add_text(s, "policy", DFF_SETTING_CHOICE, &s->policy, "predict",
	    "rule that selects the upstream of a call");
	g_array_index(s->list, dff_setting_t, s->list->len - 1).allowed =
	    policy_names;
}

static void
add_front(node_settings_t *s, dff_runner_config_t *config)
{
	add_time(s, "request-time", &config->front.header_time, 10, 600000,
	    "longest time for a request to arrive whole");
	add_number(s, "body-max", &s->body_max, 1, GIBIBYTE, "bytes",
	    "largest request body");
	add_number(s, "unread-max", &s->unread_max, 1024, GIBIBYTE, "bytes",
	    "response bytes that may be buffered for a slow caller");
	add_number(s, "reply-max", &s->reply_max, 1, GIBIBYTE, "bytes",
	    "largest reply of a plain service");
	add_time(s, "cache-every", &config->engine.cache_interval, 10, 600000,
	    "time between reads of one engine's cache events");
}

static node_settings_t *
new_settings(node_kind_t kind, dff_runner_config_t *config)
{
	node_settings_t *settings = g_new0(node_settings_t, 1);

	settings->list = g_array_new(TRUE, TRUE, sizeof(dff_setting_t));
	settings->fallbacks = g_ptr_array_new_with_free_func(g_free);
	settings->key_window =
	    (dff_time_t)config->node.claims.key_retention_ms * DFF_MSEC;
	settings->max_calls = config->node.max_calls;
	settings->batch_max = config->node.claims.batch_max;
	settings->body_max = (int64_t)config->front.body_max;
	settings->unread_max = (int64_t)config->front.unread_max;
	settings->reply_max = (int64_t)config->service.reply_max;
	add_addresses(settings, kind);
	add_membership(settings, config);
	add_leases(settings, config);
	add_polls(settings, config);
	if (kind == NODE_ENTRY) {
		add_calls(settings, config);
		add_front(settings, config);
	}
	return settings;
}

/* ---- configuration ---- */

static dff_policy_kind_t
policy_kind(const char *name)
{
	if (g_strcmp0(name, "round-robin") == 0)
		return DFF_POLICY_ROUND_ROBIN;
	if (g_strcmp0(name, "least-outstanding") == 0)
		return DFF_POLICY_LEAST_OUTSTANDING;
	return DFF_POLICY_PREDICT;
}

static int
set_names(
    node_kind_t kind, const node_settings_t *settings, dff_node_config_t *node)
{
	char *id = g_strconcat(
	    settings->id, kind == NODE_PLACER ? ".placer" : "", NULL);
	int err = dff_name_copy(node->id, id);

	g_free(id);
	if (err == 0)
		err = dff_name_copy(node->domain, settings->domain);
	if (err == 0)
		(void)g_strlcpy(
		    node->addr, settings->peer_listen, sizeof(node->addr));
	return err;
}

static void
set_config(node_kind_t kind, const node_settings_t *settings,
    dff_runner_config_t *config)
{
	dff_node_config_t *node = &config->node;

	node->incarnation = dff_program_wall_ms();
	node->serve = kind == NODE_ENTRY;
	node->place = kind == NODE_PLACER;
	node->max_calls = (uint32_t)settings->max_calls;
	node->policy.kind = policy_kind(settings->policy);
	node->claims.batch_max = (uint32_t)settings->batch_max;
	node->claims.key_retention_ms =
	    (uint64_t)(settings->key_window / DFF_MSEC);
	config->front.listen = settings->listen;
	config->front.serve = node->serve;
	config->front.body_max = (size_t)settings->body_max;
	config->front.unread_max = (size_t)settings->unread_max;
	config->peers.listen = settings->peer_listen;
	config->peers.tcp_timeout = node->authority.tcp_timeout;
	config->platform.addr = settings->platform;
	config->service.reply_max = (size_t)settings->reply_max;
	config->service.load_interval = config->engine.load_interval;
	config->service.poll_idle_timeout = config->engine.poll_idle_timeout;
	/* A placer sends no calls and needs no cache events. */
	if (kind == NODE_PLACER)
		config->engine.cache_interval = 0;
}

int
node_settings_load(node_kind_t kind, const char *summary, int *argc,
    char ***argv, node_settings_t **settings, dff_runner_config_t *config)
{
	node_settings_t *loaded;
	int rc;

	dff_runner_defaults(config);
	loaded = new_settings(kind, config);
	*settings = loaded;
	rc = dff_settings_load(summary,
	    (const dff_setting_t *)(void *)loaded->list->data, argc, argv);
	if (rc != 0)
		return rc;
	if (*argc > 1) {
		(void)fprintf(stderr,
		    "<3>settings: \"%s\" is not a flag; "
		    "--help lists the flags\n",
		    (*argv)[1]);
		return -EINVAL;
	}
	if (set_names(kind, loaded, &config->node) < 0) {
		(void)fprintf(stderr,
		    "<3>settings: --id and --domain may have at most %d "
		    "bytes\n",
		    DFF_NAME_MAX - 1);
		return -EINVAL;
	}
	set_config(kind, loaded, config);
	return 0;
}

void
node_settings_drop(node_settings_t *settings)
{
	if (settings == NULL)
		return;
	dff_settings_drop((const dff_setting_t *)(void *)settings->list->data);
	g_array_unref(settings->list);
	g_ptr_array_unref(settings->fallbacks);
	g_free(settings);
}

/* ---- program ---- */

static int
run_node(const char *name, const dff_runner_config_t *config)
{
	dff_ctx_t *ctx = dff_program_ctx(name, g_random_int());
	int err = dff_runner_run(ctx, config);

	dff_ctx_drop(ctx);
	return err < 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}

int
node_main(node_kind_t kind, const char *name, const char *summary, int argc,
    char **argv)
{
	node_settings_t *settings;
	dff_runner_config_t config;
	int rc;

	rc =
	    node_settings_load(kind, summary, &argc, &argv, &settings, &config);
	if (rc == 0)
		rc = run_node(name, &config);
	else
		rc = rc < 0 ? EXIT_BAD_SETTINGS : EXIT_SUCCESS;
	node_settings_drop(settings);
	return rc;
}
