#include "relay/duty.h"

#include <inttypes.h>
#include <string.h>

#include "base/fault.h"

/* A lease lasts this much longer than holders may not alternate for. */
#define LEASE_EXTRA DFF_SEC
#define LEASE_MIN   (4 * DFF_SEC)
/* A call without an answer may be carried out up to this time later, where the
 * platform does not check the token then. */
#define LATE_CALL_TIME (2500 * DFF_MSEC)
/* Slack between the end of a lease and a claim of another node. */
#define CLAIM_SLACK (50 * DFF_MSEC)
/* Without a frame about the holder for this time, candidates read the log. */
#define SILENCE_TIME (1200 * DFF_MSEC)
/* Distance of the candidates' turns. */
#define TURN_TIME (120 * DFF_MSEC)
/* Time until the next call after one that failed. */
#define HOLDER_RETRY	(250 * DFF_MSEC)
#define CANDIDATE_RETRY DFF_SEC
/* Own records without an answer that are remembered. */
#define UNDECIDED_MAX 8

/* An append that may have been carried out, or still may be. */
typedef struct undecided {
	uint64_t number; /* 0 for none */
	dff_time_t asked_at;
} undecided_t;

struct duties {
	char node[DFF_NAME_MAX];
	uint64_t incarnation;
	dff_duty_config_t config;
	dff_time_t lease;
	dff_time_t late_call_time;
	/* The log as far as it is known. */
	bool end_known;
	uint64_t end;
	dff_time_t end_known_at; /* when this end became known */
	bool released; /* its last record is a release */
	dff_time_t quiet; /* to be waited for after it */
	uint64_t token; /* of the last claim; 0 if unknown */
	/* This node as the holder. */
	uint64_t own_token; /* 0 if it is not */
	dff_time_t held_since;
	dff_time_t renewed_at; /* when its last accepted record was asked for */
	dff_time_t claims_allowed_at;
	/* Calls under the token. */
	uint32_t open_calls;
	dff_time_t late_until;
	/* The call to the store under way, and what is to follow. */
	bool busy;
	dff_duty_request_t request;
	dff_time_t asked_at;
	bool must_read;
	dff_time_t retry_at;
	dff_time_t heard_at; /* last frame about the holder */
	dff_time_t read_at; /* last answer to a read */
	uint64_t last_number;
	undecided_t undecided[UNDECIDED_MAX];
	bool stopping;
	uint64_t counters[DUTY_COUNT_MAX];
};

duties_t *
duties_new(void)
{
	return g_new0(duties_t, 1);
}

void
duties_drop(duties_t *duties)
{
	g_free(duties);
}

void
duties_set_config(duties_t *duties, const char *node, uint64_t incarnation,
    const dff_duty_config_t *config, dff_time_t now)
{
	duties->config = *config;
	duties->lease = MAX(config->lease_time + LEASE_EXTRA, LEASE_MIN);
	duties->late_call_time = config->fence_required ? 0 : LATE_CALL_TIME;
	if (DFF_FAULT(RELAY_DUTY_LATE_CALLS))
		duties->late_call_time = 0;
	if (*duties->node != '\0')
		return;
	g_strlcpy(duties->node, node, sizeof(duties->node));
	duties->incarnation = incarnation;
	duties->heard_at = now;
	/* An earlier process of this node may have acted until now. */
	duties->claims_allowed_at =
	    now + config->lease_time + duties->late_call_time;
}

bool
duties_are_enabled(const duties_t *duties)
{
	return duties->config.count > 0;
}

static bool
has_name(const duties_t *duties, const char *name)
{
	for (size_t i = 0; i < duties->config.count; i++) {
		if (strcmp(duties->config.names[i], name) == 0)
			return true;
	}
	return false;
}

static dff_time_t
lease_end(const duties_t *duties)
{
	return duties->renewed_at + duties->lease;
}

uint64_t
duty_token(const duties_t *duties, const char *name, dff_time_t now)
{
	dff_time_t margin =
	    DFF_FAULT(RELAY_DUTY_NO_MARGIN) ? 0 : DUTY_CALL_TIME;

	if (duties->own_token == 0 || duties->stopping ||
	    !has_name(duties, name))
		return 0;
	if (now + margin >= lease_end(duties) &&
	    !DFF_FAULT(RELAY_DUTY_LAPSED_ACTS))
		return 0;
	return duties->own_token;
}

uint64_t
duty_token_known(const duties_t *duties)
{
	return duties->token;
}

uint64_t
duty_log_end(const duties_t *duties)
{
	return duties->end;
}

dff_time_t
duty_held_since(const duties_t *duties)
{
	return duties->own_token != 0 ? duties->held_since : 0;
}

void
duties_note_call(duties_t *duties, bool answered, dff_time_t now)
{
	if (answered) {
		duties->open_calls -= MIN(duties->open_calls, 1);
		return;
	}
	if (duties->late_until <= now)
		duties->open_calls = 0;
	duties->open_calls++;
	duties->late_until = now + duties->late_call_time;
}

uint64_t
duties_counter(const duties_t *duties, duty_count_t counter)
{
	return duties->counters[counter];
}

/* ---- what is known of the log ---- */

/* The log is known to end at @end; what is there is not. */
static void
set_end(duties_t *duties, uint64_t end, dff_time_t known_at)
{
	if (duties->end_known && end <= duties->end)
		return;
	duties->end_known = true;
	duties->end = end;
	duties->end_known_at = known_at;
	duties->released = false;
}

static void
lose(dff_ctx_t *ctx, duties_t *duties, dff_time_t now, const char *why)
{
	dff_log(ctx, DFF_LOG_NOTICE, "duty",
	    "duties lost token=%" PRIu64 " held_ms=%" PRId64
	    " lease_left_ms=%" PRId64 " newest_token=%" PRIu64 " why=%s",
	    duties->own_token, (now - duties->held_since) / DFF_MSEC,
	    (lease_end(duties) - now) / DFF_MSEC, duties->token, why);
	duties->counters[DUTY_LOST]++;
	duties->own_token = 0;
	duties->claims_allowed_at = lease_end(duties) +
	    duties->config.lease_time + duties->late_call_time;
	if (DFF_FAULT(RELAY_DUTY_RECLAIMS))
		duties->claims_allowed_at = now;
}

static void
gain(dff_ctx_t *ctx, duties_t *duties, uint64_t token, dff_time_t asked_at,
    dff_time_t now)
{
	duties->own_token = token;
	duties->token = token;
	duties->held_since = now;
	duties->renewed_at =
	    DFF_FAULT(RELAY_DUTY_LEASE_FROM_ANSWER) ? now : asked_at;
	duties->open_calls = 0;
	duties->counters[DUTY_GAINED]++;
	dff_log(ctx, DFF_LOG_NOTICE, "duty",
	    "duties gained token=%" PRIu64 " lease_ms=%" PRId64
	    " asked_ms_ago=%" PRId64,
	    token, duties->lease / DFF_MSEC, (now - asked_at) / DFF_MSEC);
}

void
duties_hear(duties_t *duties, uint64_t token, uint64_t end, dff_time_t now)
{
	if (!duties_are_enabled(duties) || token < duties->token)
		return;
	duties->heard_at = now;
	duties->token = token;
	/* What the holder has done is for itself to find out. */
	if (duties->own_token != 0 && end > duties->end)
		duties->must_read = true;
	else
		set_end(duties, end, now);
}

/* Nobody has held the duties: the log is empty, and the store in its first era.
 */
static bool
were_never_held(const duties_t *duties)
{
	uint64_t end = duties->end;

	if (DFF_FAULT(RELAY_DUTY_EMPTY_COPY))
		end -= dff_position_era(end) << DFF_POSITION_OFFSET_BITS;
	return duties->end_known && end == 0;
}

/* When a claim of a node other than the holder may be carried out at the
 * earliest. */
static dff_time_t
free_at(const duties_t *duties)
{
	if (were_never_held(duties))
		return duties->end_known_at;
	if (duties->released)
		return duties->end_known_at + duties->quiet;
	if (DFF_FAULT(RELAY_DUTY_NO_WAIT))
		return duties->end_known_at;
	return duties->end_known_at + duties->lease + duties->late_call_time +
	    CLAIM_SLACK;
}

/* ---- calls to the store ---- */

static void
prepare_read(duties_t *duties, dff_duty_request_t *request)
{
	memset(request, 0, sizeof(*request));
	request->position = duties->end;
	duties->counters[DUTY_READS]++;
}

static void
prepare_append(
    duties_t *duties, dff_duty_kind_t kind, dff_duty_request_t *request)
{
	dff_duty_record_t *record = &request->record;

	memset(request, 0, sizeof(*request));
	request->append = true;
	request->position = duties->end;
	record->kind = kind;
	g_strlcpy(record->node, duties->node, sizeof(record->node));
	record->incarnation = duties->incarnation;
	record->number = ++duties->last_number;
	record->era = dff_position_era(duties->end);
	if (kind != DFF_DUTY_CLAIM)
		record->token = duties->own_token;
	duties->counters[DUTY_APPENDS]++;
}

/* The store has not come back from an older copy since the claim, which such a
 * copy may lack. */
static bool
may_renew(const duties_t *duties)
{
	return dff_position_era(duties->own_token - 1) ==
	    dff_position_era(duties->end) ||
	    DFF_FAULT(RELAY_DUTY_OLD_ERA);
}

static bool
next_as_holder(dff_ctx_t *ctx, duties_t *duties, dff_time_t now,
    dff_duty_request_t *request)
{
	if (!may_renew(duties)) {
		if (now >= lease_end(duties))
			lose(ctx, duties, now, "store_is_older_copy");
		return false;
	}
	if (now < duties->retry_at)
		return false;
	if (duties->must_read) {
		prepare_read(duties, request);
		return true;
	}
	if (now < duties->renewed_at + duties->lease / 2)
		return false;
	prepare_append(duties, DFF_DUTY_RENEW, request);
	return true;
}

static bool
next_as_candidate(duties_t *duties, const duty_view_t *view, dff_time_t now,
    dff_duty_request_t *request)
{
	dff_time_t allowed_at;

	if (!view->is_candidate || now < duties->retry_at ||
	    now - duties->heard_at < SILENCE_TIME)
		return false;
	if (duties->must_read || !duties->end_known ||
	    duties->read_at <= duties->heard_at) {
		prepare_read(duties, request);
		return true;
	}
	allowed_at = free_at(duties);
	if (!were_never_held(duties))
		allowed_at = MAX(allowed_at, duties->claims_allowed_at);
	if (now < allowed_at + view->turn * TURN_TIME)
		return false;
	prepare_append(duties, DFF_DUTY_CLAIM, request);
	return true;
}

static bool
next_at_stop(duties_t *duties, dff_time_t now, dff_duty_request_t *request)
{
	if (duties->own_token == 0 || !may_renew(duties) ||
	    now < duties->retry_at)
		return false;
	if (duties->must_read) {
		prepare_read(duties, request);
		return true;
	}
	prepare_append(duties, DFF_DUTY_RELEASE, request);
	if (duties->open_calls > 0)
		request->record.quiet = MAX(duties->late_until - now, 0);
	return true;
}

bool
duties_next(dff_ctx_t *ctx, duties_t *duties, const duty_view_t *view,
    dff_time_t now, dff_duty_request_t *request)
{
	bool due;

	if (!duties_are_enabled(duties) || duties->busy)
		return false;
	if (duties->stopping)
		due = next_at_stop(duties, now, request);
	else if (duties->own_token != 0)
		due = next_as_holder(ctx, duties, now, request);
	else
		due = next_as_candidate(duties, view, now, request);
	if (due) {
		duties->busy = true;
		duties->request = *request;
		duties->asked_at = now;
	}
	return due;
}

static void
note_failure(duties_t *duties, dff_time_t now)
{
	duties->counters[DUTY_UNANSWERED]++;
	duties->retry_at =
	    now + (duties->own_token != 0 ? HOLDER_RETRY : CANDIDATE_RETRY);
}

/* ---- answers ---- */

/* When the own record with this number was asked for; 0 if that is not known
 * any more. */
static dff_time_t
take_undecided(duties_t *duties, uint64_t number)
{
	for (size_t i = 0; i < UNDECIDED_MAX; i++) {
		if (duties->undecided[i].number != number)
			continue;
		duties->undecided[i].number = 0;
		return duties->undecided[i].asked_at;
	}
	return 0;
}

static void
apply_own_record(dff_ctx_t *ctx, duties_t *duties,
    const dff_duty_record_t *record, dff_time_t now)
{
	dff_time_t asked_at = take_undecided(duties, record->number);

	switch (record->kind) {
	case DFF_DUTY_CLAIM:
		if (asked_at != 0)
			gain(ctx, duties, record->position + 1, asked_at, now);
		break;
	case DFF_DUTY_RENEW:
		if (record->token == duties->own_token)
			duties->renewed_at = MAX(duties->renewed_at, asked_at);
		break;
	case DFF_DUTY_RELEASE:
		break;
	}
}

/* A record that was written for another era says nothing: its writer did not
 * know what the log contains. */
static void
apply_record(dff_ctx_t *ctx, duties_t *duties, const dff_duty_record_t *record,
    dff_time_t now)
{
	uint64_t token = record->kind == DFF_DUTY_CLAIM ? record->position + 1 :
							  record->token;

	duties->released = false;
	if (record->era != dff_position_era(record->position) &&
	    !DFF_FAULT(RELAY_DUTY_OLD_ERA))
		return;
	duties->token = MAX(duties->token, token);
	if (duties->own_token != 0 && token > duties->own_token)
		lose(ctx, duties, now, "claimed_by_another");
	if (record->incarnation == duties->incarnation &&
	    strcmp(record->node, duties->node) == 0)
		apply_own_record(ctx, duties, record, now);
	duties->released = record->kind == DFF_DUTY_RELEASE;
	duties->quiet = record->quiet;
}

/* Whether records after the known end have expired: among them may be another
 * node's claim. */
static bool
lacks_records(const duties_t *duties, const dff_duty_read_t *read)
{
	return read->end > duties->end &&
	    (read->count == 0 || read->records[0].position != duties->end) &&
	    !DFF_FAULT(RELAY_DUTY_GAP_UNSEEN);
}

void
duties_apply_read(dff_ctx_t *ctx, duties_t *duties, const dff_duty_read_t *read,
    dff_time_t now)
{
	dff_time_t known_at =
	    DFF_FAULT(RELAY_DUTY_READ_ASKED) ? duties->asked_at : now;

	duties->busy = false;
	if (!read->answered) {
		note_failure(duties, now);
		return;
	}
	duties->read_at = now;
	duties->must_read = false;
	if (read->end < duties->end)
		return;
	if (duties->own_token != 0 && lacks_records(duties, read))
		lose(ctx, duties, now, "records_expired");
	set_end(duties, read->end, known_at);
	for (size_t i = 0; i < read->count; i++)
		apply_record(ctx, duties, &read->records[i], now);
}

static void
apply_accepted(
    dff_ctx_t *ctx, duties_t *duties, uint64_t position, dff_time_t now)
{
	const dff_duty_record_t *record = &duties->request.record;

	/* The log of another era happened to end there. */
	if (dff_position_era(position) != record->era &&
	    !DFF_FAULT(RELAY_DUTY_OLD_ERA)) {
		duties->must_read = true;
		return;
	}
	set_end(duties, position + 1, now);
	switch (record->kind) {
	case DFF_DUTY_CLAIM:
		gain(ctx, duties, position + 1, duties->asked_at, now);
		break;
	case DFF_DUTY_RENEW:
		duties->renewed_at = DFF_FAULT(RELAY_DUTY_LEASE_FROM_ANSWER) ?
		    now :
		    duties->asked_at;
		break;
	case DFF_DUTY_RELEASE:
		lose(ctx, duties, now, "released");
		duties->released = true;
		duties->quiet = record->quiet;
		break;
	}
}

static void
remember_undecided(duties_t *duties)
{
	uint64_t number = duties->request.record.number;

	duties->undecided[number % UNDECIDED_MAX] =
	    (undecided_t){number, duties->asked_at};
}

void
duties_apply_append(dff_ctx_t *ctx, duties_t *duties,
    const dff_duty_appended_t *appended, dff_time_t now)
{
	duties->busy = false;
	switch (appended->result) {
	case DFF_DUTY_ACCEPTED:
		apply_accepted(ctx, duties, appended->position, now);
		break;
	case DFF_DUTY_REJECTED:
		duties->counters[DUTY_REJECTED]++;
		duties->must_read = true;
		break;
	case DFF_DUTY_NOT_DONE:
		note_failure(duties, now);
		break;
	case DFF_DUTY_UNKNOWN:
		remember_undecided(duties);
		duties->must_read = true;
		note_failure(duties, now);
		break;
	}
}

void
duties_stop(duties_t *duties, dff_time_t now)
{
	(void)now;
	duties->stopping = true;
}
