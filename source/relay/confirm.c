/*
 * Where requests need keys, each node has to know up to which moment its
 * configuration is confirmed as the newest (freshness.h). Nodes that read the
 * record source know it from its answers: an answer counts from the moment at
 * which the source was asked. The others ask a peer: one that reads the source
 * in their failure domain, else the domain's leader, which asks the leader of a
 * domain that reads.
 *
 * A question bears the asker's time, and the reply repeats it together with the
 * time from the confirmed moment to the question's receipt. So the asker gets a
 * moment by its own clock that is never later than the true one, however long
 * the question or the reply was under way, and also if it was buffered while
 * one of the processes was stopped. The peer keeps a question until it has a
 * later moment to report, so that a chain of peers adds little more than the
 * times under way.
 */
#include "relay/confirm.h"

#include <string.h>

#include "base/fault.h"
#include "relay/peers.h"

/* Shortest time between questions of one node: somewhat less than that between
 * answers of the record source. */
#define ASK_INTERVAL (800 * DFF_MSEC)
/* Time after which a question to another peer may follow. */
#define ASK_AGAIN_INTERVAL (300 * DFF_MSEC)
/* A reply is awaited for this time, which is more than that between answers of
 * the record source. */
#define REPLY_TIME (1400 * DFF_MSEC)
/* The same once the moment is this share of the longest allowed time ago. */
#define REPLY_TIME_LATE (500 * DFF_MSEC)
#define LATE_SHARE	0.5
/* Period of checks. */
#define CHECK_PERIOD (250 * DFF_MSEC)
/* After an answer of the record source, this node asks no peer for this time. */
#define SOURCE_TIME (1600 * DFF_MSEC)
/* A reply that gains less than this waits for a later moment. */
#define GAIN_MIN (200 * DFF_MSEC)
/* A question is kept for this time. */
#define KEEP_TIME (2500 * DFF_MSEC)
/* Questions that are kept. */
#define KEPT_MAX 512
/* Of nodes whose configuration is not confirmed, about so many ask the record
 * source at one time, for this long. */
#define READERS	  8
#define TURN_TIME (600 * DFF_MSEC)
/* Questions whose replies are accepted. */
#define ASKED_MAX 8

/** struct kept_question - a peer's question without a reply */
typedef struct kept_question {
	char addr[DFF_ADDR_MAX];
	dff_time_t received_at;
	uint64_t asked_at; /* by the peer's clock */
	uint64_t version; /* in force there */
} kept_question_t;

struct confirm {
	freshness_t freshness;
	GArray *kept; /* kept_question_t */
	dff_time_t asked[ASKED_MAX]; /* times of the last questions */
	uint32_t asked_count;
	char asked_addr[DFF_ADDR_MAX]; /* the last peer asked */
	bool awaits_reply;
	dff_time_t source_answered_at; /* 0 for never */
	bool was_late;
};

confirm_t *
confirm_new(void)
{
	confirm_t *confirm = g_new0(confirm_t, 1);

	confirm->kept = g_array_new(FALSE, FALSE, sizeof(kept_question_t));
	return confirm;
}

void
confirm_drop(confirm_t *confirm)
{
	g_array_unref(confirm->kept);
	g_free(confirm);
}

static bool
is_needed(const dff_relay_t *relay)
{
	return relay->routing != NULL && relay->routing->organisations != NULL;
}

dff_time_t
confirm_age(const dff_relay_t *relay, dff_time_t now)
{
	return freshness_age(&relay->confirm->freshness, now);
}

static bool
is_late(const dff_relay_t *relay, dff_time_t now)
{
	dff_time_t limit = relay->config.revoke_time;

	return confirm_age(relay, now) >
	    (dff_time_t)(LATE_SHARE * (double)limit);
}

/* They take turns: a source that is down should not be asked by all. */
bool
dff_relay_needs_confirmation(const dff_relay_t *relay, dff_time_t now)
{
	const char *addr = relay->config.addr;
	uint64_t groups = relay->peers->len / READERS + 1;

	return is_needed(relay) && is_late(relay, now) &&
	    (dff_hash(addr, strlen(addr), 0) + (uint64_t)(now / TURN_TIME)) %
		groups ==
	    0;
}

/* ---- frames ---- */

static void
send_row(step_t *step, const char *addr, Dff__RelayConfirm *row)
{
	Dff__RelayBeat frame = DFF__RELAY_BEAT__INIT;

	frame.confirms = &row;
	frame.n_confirms = 1;
	step->relay->counts[COUNT_CONFIRM_BYTES_OUT] +=
	    frame_send_rows(step, addr, &frame);
}

static uint64_t
version_in_force(const dff_relay_t *relay)
{
	return relay->routing != NULL ? relay->routing->version : 0;
}

/* ---- replies to peers ---- */

static void
reply(step_t *step, const kept_question_t *question)
{
	dff_relay_t *relay = step->relay;
	dff_time_t moment = relay->confirm->freshness.confirmed_at;
	dff_time_t age = question->received_at - moment;
	Dff__RelayConfirm row = DFF__RELAY_CONFIRM__INIT;

	row.asked_at = question->asked_at;
	row.reply = true;
	row.version = version_in_force(relay);
	/* Rounded up also below 0. */
	row.age_ms = (int32_t)MIN(
	    age / DFF_MSEC + (age % DFF_MSEC > 0), (dff_time_t)INT32_MAX);
	if (row.version > question->version)
		row.records = relay->config.records;
	send_row(step, question->addr, &row);
}

static void
reply_to_all(step_t *step)
{
	GArray *kept = step->relay->confirm->kept;

	for (guint i = 0; i < kept->len; i++) {
		const kept_question_t *question =
		    &g_array_index(kept, kept_question_t, i);

		if (step->now - question->received_at < KEEP_TIME)
			reply(step, question);
	}
	g_array_set_size(kept, 0);
}

/* A peer's later question replaces its earlier one. */
static void
keep_question(step_t *step, const kept_question_t *question)
{
	GArray *kept = step->relay->confirm->kept;

	for (guint i = kept->len; i-- > 0;) {
		const kept_question_t *other =
		    &g_array_index(kept, kept_question_t, i);

		if (strcmp(other->addr, question->addr) == 0 ||
		    step->now - other->received_at >= KEEP_TIME)
			g_array_remove_index_fast(kept, i);
	}
	if (kept->len < KEPT_MAX)
		g_array_append_vals(kept, question, 1);
}

static void
handle_question(step_t *step, const char *addr, const Dff__RelayConfirm *row)
{
	const freshness_t *freshness = &step->relay->confirm->freshness;
	kept_question_t question = {.received_at = step->now,
	    .asked_at = row->asked_at,
	    .version = row->version};
	dff_time_t known_age = (dff_time_t)row->age_ms * DFF_MSEC;

	g_strlcpy(question.addr, addr, sizeof(question.addr));
	if (freshness->confirmed &&
	    step->now - freshness->confirmed_at + GAIN_MIN < known_age)
		reply(step, &question);
	else
		keep_question(step, &question);
}

/* ---- own questions ---- */

static bool
is_reader(const peer_t *peer, dff_time_t now)
{
	return peer->source_read_at != 0 &&
	    now - peer->source_read_at <
	    (*peer->addr != '\0' ? READER_AGE_MAX : DOMAIN_READ_AGE_MAX);
}

/* Address of the node that answers for an entry of the list of peers; "" for
 * none. */
static const char *
answering_addr(const dff_relay_t *relay, const peer_t *peer, dff_time_t now)
{
	if (!peer_is_alive(relay, peer, now))
		return "";
	if (*peer->addr == '\0')
		return peer->leader;
	return peer_is_direct(relay, peer) ? peer->addr : "";
}

/* Preference for a peer; 0 for none. A reader of the own domain comes first,
 * then the domain's leader, and at the leader those of other domains that
 * read. */
static uint64_t
preference(const step_t *step, const peer_t *peer)
{
	const dff_relay_t *relay = step->relay;
	bool direct = *peer->addr != '\0';
	bool reads = is_reader(peer, step->now);

	if (*answering_addr(relay, peer, step->now) == '\0')
		return 0;
	if (direct && reads)
		return UINT64_C(1) << 62 |
		    peer_rank(peer->addr, peer->link_mbps) >> 2;
	if (direct && peers_fleet_is_large(relay) &&
	    !peers_is_domain_leader(relay, step->now))
		return UINT64_C(1) << 61 |
		    peer_rank(peer->addr, peer->link_mbps) >> 3;
	if (!direct && reads)
		return 1 +
		    (dff_hash(peer->domain, strlen(peer->domain), 0) >> 4);
	return 0;
}

static const char *
pick_best(const step_t *step)
{
	const dff_relay_t *relay = step->relay;
	const char *best = "";
	uint64_t highest = 0;

	for (guint i = 0; i < relay->peers->len; i++) {
		const peer_t *peer = relay->peers->pdata[i];
		uint64_t value = preference(step, peer);

		if (value <= highest)
			continue;
		highest = value;
		best = answering_addr(relay, peer, step->now);
	}
	return best;
}

/* Another one than the last, which did not reply. */
static const char *
pick_other(step_t *step)
{
	const dff_relay_t *relay = step->relay;
	const char *picked = "";
	uint32_t seen = 0;

	for (guint i = 0; i < relay->peers->len; i++) {
		const char *addr =
		    answering_addr(relay, relay->peers->pdata[i], step->now);

		if (*addr != '\0' &&
		    strcmp(addr, relay->confirm->asked_addr) != 0 &&
		    strcmp(addr, relay->config.addr) != 0 &&
		    dff_rand_below(step->ctx, ++seen) == 0)
			picked = addr;
	}
	return picked;
}

static dff_time_t
last_asked_at(const confirm_t *confirm)
{
	return confirm->asked_count > 0 ?
	    confirm->asked[(confirm->asked_count - 1) % ASKED_MAX] :
	    0;
}

static void
ask(step_t *step, const char *addr)
{
	dff_relay_t *relay = step->relay;
	confirm_t *confirm = relay->confirm;
	dff_time_t age = confirm_age(relay, step->now);
	Dff__RelayConfirm row = DFF__RELAY_CONFIRM__INIT;

	if (*addr == '\0')
		return;
	row.asked_at = (uint64_t)step->now;
	row.version = version_in_force(relay);
	row.age_ms = (int32_t)MIN(age / DFF_MSEC, (dff_time_t)INT32_MAX);
	confirm->asked[confirm->asked_count++ % ASKED_MAX] = step->now;
	confirm->awaits_reply = true;
	if (addr != confirm->asked_addr)
		g_strlcpy(
		    confirm->asked_addr, addr, sizeof(confirm->asked_addr));
	relay->counts[COUNT_CONFIRM_QUESTIONS]++;
	send_row(step, addr, &row);
}

static void
ask_if_due(step_t *step)
{
	dff_relay_t *relay = step->relay;
	confirm_t *confirm = relay->confirm;
	bool late = is_late(relay, step->now);
	dff_time_t since = step->now - last_asked_at(confirm);
	const char *best;

	if (confirm->asked_count > 0 && since < ASK_AGAIN_INTERVAL)
		return;
	if (!late && confirm->source_answered_at != 0 &&
	    step->now - confirm->source_answered_at < SOURCE_TIME)
		return;
	best = pick_best(step);
	if (!confirm->awaits_reply) {
		if (confirm->asked_count == 0 || since >= ASK_INTERVAL)
			ask(step, *best != '\0' ? best : pick_other(step));
		return;
	}
	/* Another node reads the source now. */
	if (*best != '\0' && strcmp(best, confirm->asked_addr) != 0 &&
	    since < REPLY_TIME_LATE)
		ask(step, best);
	else if (since >= (late ? REPLY_TIME_LATE : REPLY_TIME))
		ask(step, pick_other(step));
}

static void
log_if_late(step_t *step)
{
	dff_relay_t *relay = step->relay;
	bool late = is_late(relay, step->now);

	if (late != relay->confirm->was_late)
		dff_log(step->ctx, late ? DFF_LOG_WARNING : DFF_LOG_NOTICE,
		    "config",
		    "configuration is %s confirmed version=%" G_GUINT64_FORMAT
		    " age_ms=%" G_GINT64_FORMAT " asked=%s",
		    late ? "not" : "again", version_in_force(relay),
		    confirm_age(relay, step->now) / DFF_MSEC,
		    relay->confirm->asked_addr);
	relay->confirm->was_late = late;
}

void
confirm_run_timer(step_t *step)
{
	dff_relay_t *relay = step->relay;
	confirm_t *confirm = relay->confirm;
	dff_time_t at = step->now + CHECK_PERIOD;

	if (!is_needed(relay))
		return;
	log_if_late(step);
	ask_if_due(step);
	if (!confirm->awaits_reply && confirm->asked_count > 0 &&
	    last_asked_at(confirm) + ASK_INTERVAL > step->now)
		at = MIN(at, last_asked_at(confirm) + ASK_INTERVAL);
	dff_timers_set(relay->timers, DFF_TIMER_FLEET_TICK, TICK_CONFIRM, at);
}

/* ---- confirmations ---- */

static bool
was_asked(const confirm_t *confirm, uint64_t asked_at)
{
	for (uint32_t i = 0; i < MIN(confirm->asked_count, ASKED_MAX); i++) {
		if ((uint64_t)confirm->asked[i] == asked_at)
			return true;
	}
	return false;
}

static void
handle_reply(step_t *step, const char *addr, const Dff__RelayConfirm *row)
{
	dff_relay_t *relay = step->relay;
	confirm_t *confirm = relay->confirm;
	dff_time_t asked_at = (dff_time_t)row->asked_at;
	dff_time_t at = asked_at - (dff_time_t)row->age_ms * DFF_MSEC;

	if (!was_asked(confirm, row->asked_at))
		return;
	if (DFF_FAULT(RELAY_ECHO_IGNORED))
		at = step->now - MAX(row->age_ms, 0) * DFF_MSEC;
	relay->counts[COUNT_CONFIRM_REPLIES]++;
	if (asked_at == last_asked_at(confirm))
		confirm->awaits_reply = false;
	if (row->version > version_in_force(relay) && *row->records != '\0') {
		dff_relay_effect_t *fx = relay_add_fx(step, DFF_RELAY_FX_FETCH);

		fx->fetch.feed = DFF_FEED_ROUTING;
		g_strlcpy(fx->fetch.addr, row->records, sizeof(fx->fetch.addr));
		dff_log(step->ctx, DFF_LOG_INFO, "config",
		    "peer has a newer configuration peer=%s "
		    "version=%" G_GUINT64_FORMAT " own=%" G_GUINT64_FORMAT,
		    addr, (guint64)row->version, version_in_force(relay));
	}
	if (freshness_confirm(&confirm->freshness, MIN(at, step->now),
		row->version, version_in_force(relay)))
		reply_to_all(step);
	dff_timers_set(relay->timers, DFF_TIMER_FLEET_TICK, TICK_CONFIRM,
	    MAX(step->now, last_asked_at(confirm) + ASK_INTERVAL));
}

void
confirm_receive(step_t *step, const dff_relay_heartbeat_t *datagram,
    const Dff__RelayBeat *frame)
{
	for (size_t i = 0; i < frame->n_confirms; i++) {
		if (frame->confirms[i]->reply)
			handle_reply(step, datagram->addr, frame->confirms[i]);
		else
			handle_question(
			    step, datagram->addr, frame->confirms[i]);
	}
}

void
confirm_note_source(step_t *step, const dff_relay_confirmed_t *confirmed)
{
	dff_relay_t *relay = step->relay;
	confirm_t *confirm = relay->confirm;
	dff_time_t at = DFF_FAULT(RELAY_CONFIRMED_BY_ANSWER) ?
	    step->now :
	    confirmed->asked_at;

	confirm->source_answered_at = step->now;
	if (freshness_confirm(&confirm->freshness, at, confirmed->version,
		version_in_force(relay)))
		reply_to_all(step);
	else if (confirmed->version < version_in_force(relay) &&
	    is_needed(relay))
		dff_log(step->ctx, DFF_LOG_WARNING, "config",
		    "record source has an older configuration "
		    "version=%" G_GUINT64_FORMAT " own=%" G_GUINT64_FORMAT,
		    confirmed->version, version_in_force(relay));
}

void
confirm_note_routing(step_t *step)
{
	dff_relay_t *relay = step->relay;

	if (freshness_note_version(
		&relay->confirm->freshness, version_in_force(relay)))
		reply_to_all(step);
	if (is_needed(relay))
		dff_timers_set(relay->timers, DFF_TIMER_FLEET_TICK,
		    TICK_CONFIRM, step->now);
}
