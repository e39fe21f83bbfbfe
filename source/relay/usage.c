#include "relay/usage.h"

#include <string.h>

#include "base/fault.h"
#include "relay/peers.h"

/* One-way latency inside a failure domain. */
#define NEAR_LATENCY (200 * DFF_USEC)
/* A count is sent in this many frames, as frames get lost. */
#define REPEAT_FRAMES 4
/* Windows are sent modulo this. */
#define WINDOW_MODULO 4096
/* Counts are kept for this time after their report is due. */
#define KEEP_TIME (10 * DFF_SEC)

typedef struct usage_key {
	uint64_t node;
	uint64_t window;
	uint32_t organisation;
	uint32_t unused; /* 0 */
} usage_key_t;

typedef struct usage_entry {
	usage_key_t key;
	uint32_t count;
	bool own;
	uint32_t untold; /* frames in which it is still to be sent */
} usage_entry_t;

struct usage {
	dff_usage_config_t config;
	dff_time_t since; /* when counting began, this node's time */
	uint64_t node; /* hash of this process */
	GHashTable *entries;
	GHashTable *names; /* hash to name of an organisation */
	uint64_t names_version; /* of the routing that they are from */
	int64_t own_offset; /* time of day less this node's time */
	bool own_known;
	int64_t offset; /* the median of the nodes */
	bool offset_known;
	uint64_t begun; /* requests counted */
	usage_reports_t *reports;
};

static guint
hash_key(gconstpointer data)
{
	return (guint)dff_hash(data, sizeof(usage_key_t), 0);
}

static gboolean
equal_keys(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(usage_key_t)) == 0;
}

usage_t *
usage_new(void)
{
	usage_t *usage = g_new0(usage_t, 1);

	usage->entries =
	    g_hash_table_new_full(hash_key, equal_keys, NULL, g_free);
	usage->names = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	usage->reports = usage_reports_new();
	return usage;
}

void
usage_drop(usage_t *usage)
{
	g_hash_table_unref(usage->entries);
	g_hash_table_unref(usage->names);
	usage_reports_drop(usage->reports);
	g_free(usage);
}

usage_reports_t *
usage_reports_of(const dff_relay_t *relay)
{
	return relay->usage->reports;
}

const dff_usage_config_t *
usage_config(const dff_relay_t *relay)
{
	return &relay->usage->config;
}

static uint64_t
hash_process(const char *node, uint64_t incarnation)
{
	return dff_hash(node, strlen(node), incarnation);
}

void
usage_set_config(dff_relay_t *relay, const dff_usage_config_t *config)
{
	relay->usage->config = *config;
	relay->usage->node =
	    hash_process(relay->config.id, relay->config.incarnation);
}

bool
usage_is_enabled(const dff_relay_t *relay)
{
	return relay->usage->config.window > 0;
}

/* ---- true time ---- */

void
dff_relay_set_wall(dff_relay_t *relay, uint64_t wall_ms, dff_time_t now)
{
	relay->usage->own_offset = (int64_t)wall_ms * DFF_MSEC - now;
	relay->usage->own_known = true;
}

static int
compare_offsets(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* The lower one of two medians. */
static void
update_offset(dff_relay_t *relay, dff_time_t now)
{
	usage_t *usage = relay->usage;
	GArray *offsets = g_array_new(FALSE, FALSE, sizeof(int64_t));

	if (usage->own_known)
		g_array_append_val(offsets, usage->own_offset);
	for (guint i = 0; i < relay->peers->len; i++) {
		const peer_t *peer = relay->peers->pdata[i];

		if (peer->clock_known && peer_is_direct(relay, peer) &&
		    peer_is_alive(relay, peer, now) &&
		    !DFF_FAULT(RELAY_USAGE_OWN_CLOCK))
			g_array_append_val(offsets, peer->clock_offset);
	}
	usage->offset_known = offsets->len > 0;
	if (usage->offset_known) {
		g_array_sort(offsets, compare_offsets);
		usage->offset =
		    g_array_index(offsets, int64_t, (offsets->len - 1) / 2);
	}
	g_array_unref(offsets);
}

dff_time_t
usage_true_time(const dff_relay_t *relay, dff_time_t now)
{
	return relay->usage->offset_known ? now + relay->usage->offset : 0;
}

/* ---- counts ---- */

static usage_entry_t *
find_or_add(
    usage_t *usage, uint64_t node, uint64_t window, uint32_t organisation)
{
	const usage_key_t key = {
	    .node = node, .window = window, .organisation = organisation};
	usage_entry_t *entry = g_hash_table_lookup(usage->entries, &key);

	if (entry != NULL)
		return entry;
	entry = g_new0(usage_entry_t, 1);
	entry->key = key;
	g_hash_table_insert(usage->entries, &entry->key, entry);
	return entry;
}

static uint32_t
hash_name(const char *name)
{
	return (uint32_t)dff_hash(name, strlen(name), 0);
}

static void
add_name(usage_t *usage, const char *name)
{
	gpointer key = GUINT_TO_POINTER(hash_name(name));

	if (!g_hash_table_contains(usage->names, key))
		g_hash_table_insert(usage->names, key, g_strdup(name));
}

/* When the upstream began the call, whose first bytes arrive now. A plain
 * request begins when it arrives there. */
static dff_time_t
estimate_begin(const step_t *step, const call_t *call)
{
	const dff_relay_t *relay = step->relay;
	const upstream_t *up =
	    upstreams_get(relay->upstreams, call->send.upstream);
	dff_time_t way = up != NULL && peers_upstream_is_remote(relay, up) ?
	    relay->config.cross_domain_latency :
	    NEAR_LATENCY;

	return call->prompt.count > 0 ? step->now - way :
					call->send.sent_at + way;
}

void
usage_note_begin(step_t *step, call_t *call)
{
	usage_t *usage = step->relay->usage;
	dff_time_t began_at;
	usage_entry_t *entry;

	if (!usage_is_enabled(step->relay) || call->begun ||
	    call->send.to_peer || call->organisation[0] == '\0' ||
	    !usage->offset_known)
		return;
	call->begun = !DFF_FAULT(RELAY_USAGE_EACH_RUN);
	began_at = usage_true_time(step->relay, estimate_begin(step, call));
	add_name(usage, call->organisation);
	entry = find_or_add(usage, usage->node,
	    (uint64_t)(began_at / usage->config.window),
	    hash_name(call->organisation));
	entry->own = true;
	entry->count++;
	entry->untold = REPEAT_FRAMES;
	usage->begun++;
}

void
usage_note_count(
    usage_t *usage, const dff_usage_count_t *count, uint64_t window)
{
	usage_entry_t *entry =
	    find_or_add(usage, count->node, window, count->organisation);

	entry->count = DFF_FAULT(RELAY_USAGE_COUNTS_ADD) ?
	    entry->count + count->count :
	    MAX(entry->count, count->count);
}

GArray *
dff_relay_usage(const dff_relay_t *relay, uint64_t window)
{
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(dff_usage_count_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, relay->usage->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const usage_entry_t *entry = value;
		dff_usage_count_t row = {
		    entry->key.node, entry->key.organisation, entry->count};

		if (entry->key.window == window)
			g_array_append_val(rows, row);
	}
	return rows;
}

static int
compare_rows(const void *a, const void *b)
{
	return strcmp(((const dff_usage_row_t *)a)->organisation,
	    ((const dff_usage_row_t *)b)->organisation);
}

GArray *
usage_sum(const usage_t *usage, uint64_t window)
{
	GArray *rows = g_array_new(FALSE, TRUE, sizeof(dff_usage_row_t));
	GHashTable *sums = g_hash_table_new(NULL, NULL);
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, usage->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const usage_entry_t *entry = value;

		if (entry->key.window != window)
			continue;
		key = GUINT_TO_POINTER(entry->key.organisation);
		g_hash_table_insert(sums, key,
		    GUINT_TO_POINTER(
			GPOINTER_TO_UINT(g_hash_table_lookup(sums, key)) +
			entry->count));
	}
	g_hash_table_iter_init(&iter, sums);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const char *name = g_hash_table_lookup(usage->names, key);
		dff_usage_row_t row = {.count = GPOINTER_TO_UINT(value)};

		if (name == NULL)
			continue;
		g_strlcpy(row.organisation, name, sizeof(row.organisation));
		g_array_append_val(rows, row);
	}
	g_array_sort(rows, compare_rows);
	g_hash_table_unref(sums);
	return rows;
}

/* ---- frames ---- */

/* The window near @now with this number modulo WINDOW_MODULO. */
static uint64_t
expand_window(uint64_t now, uint32_t low)
{
	uint64_t window = now - now % WINDOW_MODULO + low % WINDOW_MODULO;

	if (window > now + WINDOW_MODULO / 2)
		window -= WINDOW_MODULO;
	else if (window + WINDOW_MODULO / 2 < now)
		window += WINDOW_MODULO;
	return window;
}

void
usage_receive_frame(step_t *step, peer_t *peer, const Dff__RelayBeat *frame)
{
	dff_relay_t *relay = step->relay;
	usage_t *usage = relay->usage;
	uint64_t now_window;

	if (!usage_is_enabled(relay) || frame->summary || frame->brief)
		return;
	peer->clock_known = frame->wall_ms != 0;
	peer->clock_offset = (int64_t)frame->wall_ms * DFF_MSEC - step->now;
	if (!usage->offset_known)
		return;
	now_window = (uint64_t)(usage_true_time(relay, step->now) /
	    usage->config.window);
	for (size_t i = 0; i < frame->n_usage; i++) {
		const Dff__RelayUsage *row = frame->usage[i];
		const dff_usage_count_t count = {
		    hash_process(frame->node, frame->incarnation),
		    row->organisation, row->count};

		usage_note_count(
		    usage, &count, expand_window(now_window, row->window));
	}
}

void
usage_fill_frame(step_t *step, Dff__RelayBeat *frame, Dff__RelayUsage *rows,
    Dff__RelayUsage **list)
{
	const dff_relay_t *relay = step->relay;
	const usage_t *usage = relay->usage;
	GHashTableIter iter;
	gpointer value;

	if (!usage_is_enabled(relay))
		return;
	frame->wall_ms = usage->own_known ?
	    (uint64_t)((step->now + usage->own_offset) / DFF_MSEC) :
	    0;
	frame->usage = list;
	g_hash_table_iter_init(&iter, usage->entries);
	while (frame->n_usage < USAGE_ROWS_MAX &&
	    g_hash_table_iter_next(&iter, NULL, &value)) {
		usage_entry_t *entry = value;
		Dff__RelayUsage *row = &rows[frame->n_usage];

		if (!entry->own || entry->untold == 0 ||
		    DFF_FAULT(RELAY_USAGE_UNTOLD))
			continue;
		entry->untold--;
		dff__relay_usage__init(row);
		row->window = (uint32_t)(entry->key.window % WINDOW_MODULO);
		row->organisation = entry->key.organisation;
		row->count = entry->count;
		list[frame->n_usage++] = row;
	}
}

/* ---- time passes ---- */

static void
update_names(dff_relay_t *relay)
{
	usage_t *usage = relay->usage;
	const dff_organisations_t *all;

	if (relay->routing == NULL ||
	    relay->routing->version == usage->names_version)
		return;
	usage->names_version = relay->routing->version;
	all = relay->routing->organisations;
	if (all == NULL)
		return;
	for (uint32_t i = 0; i < dff_organisations_count(all); i++)
		add_name(usage, dff_organisations_get(all, i)->name);
}

static gboolean
is_outdated(gpointer key, gpointer value, gpointer arg)
{
	(void)value;
	return ((const usage_key_t *)key)->window < *(const uint64_t *)arg;
}

void
usage_sweep(step_t *step)
{
	dff_relay_t *relay = step->relay;
	usage_t *usage = relay->usage;
	dff_time_t true_now;
	uint64_t oldest;

	if (!usage_is_enabled(relay))
		return;
	update_offset(relay, step->now);
	update_names(relay);
	true_now = usage_true_time(relay, step->now);
	if (true_now < usage->config.late + KEEP_TIME)
		return;
	oldest = (uint64_t)((true_now - usage->config.late - KEEP_TIME) /
	    usage->config.window);
	(void)g_hash_table_foreach_remove(usage->entries, is_outdated, &oldest);
}

void
usage_metrics(const dff_relay_t *relay, GString *text)
{
	const usage_t *usage = relay->usage;

	if (!usage_is_enabled(relay))
		return;
	g_string_append_printf(text,
	    "dff_usage_requests_total %" G_GUINT64_FORMAT
	    "\ndff_usage_rows %u\ndff_usage_clock_off_seconds %.3f\n",
	    (guint64)usage->begun, g_hash_table_size(usage->entries),
	    (double)(usage->own_offset - usage->offset) / DFF_SEC);
	usage_reports_metrics(usage->reports, text);
}
