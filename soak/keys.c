/*
 * Keys of organisations: the operator adds and removes keys all the time, and
 * callers also send keys that were removed long ago or never were there.
 * Upstreams check the organisation of each request that reaches them.
 */
#include <string.h>

#include "soak/soak.h"

#define ORGANISATIONS 5
/* revoke_ms of the settings: a request sent later than this after its key was
 * removed must not run. */
#define REVOKE_MSEC 3000
#define REVOKE_TIME (REVOKE_MSEC * DFF_MSEC)
/* config_apply_ms of the settings: later a new key is not refused with 401. */
#define APPLY_TIME (2 * DFF_SEC)
/* Age of a key from which callers rely on it. */
#define RELIED_AFTER (3 * DFF_SEC)
/* Longest time for which a process that starts does not reach the store. */
#define START_TIME (3 * DFF_SEC)
/* Mean time between two changes. */
#define CHANGE_MEAN_INTERVAL (400 * DFF_MSEC)
/* Keys that come and go: at the start, and most at one time. */
#define PASSING_FIRST 8
#define PASSING_MAX   12
/* Share of removals that take the oldest of them, which nodes know for sure. */
#define OLDEST_SHARE 0.7
/* Probability that a tick sends a request with a key that was removed or never
 * was there. */
#define ODD_PER_TICK 0.3
/* Share of callers that name an organisation themselves. */
#define FORGED_SHARE 0.25
/* Bounds of the time for which the store answers no reads. */
#define SILENCE_MIN_MSEC 4500
#define SILENCE_MAX_MSEC 7500
/* Upper bounds of the time until the first such silence, and until the next. */
#define SILENCE_FIRST_MSEC 500
#define SILENCE_NEXT_MSEC  20000

/** struct key_sim - a key that a caller sends */
struct key_sim {
	char text[40]; /* "" for none */
	int organisation; /* that has or had it; -1 for none ever */
	dff_time_t added_at; /* 0 if the first configuration has it */
	dff_time_t removed_at; /* 0 if it was not removed */
};

struct keys_sim {
	GRand *rng;
	GPtrArray *all; /* key_sim_t that some configuration has or had */
	GPtrArray *current; /* those of the newest one */
	GPtrArray *removed;
	dff_time_t next_change;
	dff_time_t next_silence;
	dff_time_t silent_until; /* 0 unless the store is silent now */
	bool silence_begins; /* the next change is a removal */
	const key_sim_t *unheard; /* removed when the last one began; or NULL */
	int changes;
	int odd; /* requests with removed and unknown keys */
	int refused; /* of these, with 401 */
	int unconfirmed; /* of these, with 503 */
	int ran_in_time; /* runs after the removal, but within the bound */
	int excused; /* runs after the bound, see believes_copy() */
};

static bool
one_in(keys_sim_t *keys, double share)
{
	return g_rand_double(keys->rng) < share;
}

static key_sim_t *
pick(keys_sim_t *keys, const GPtrArray *from)
{
	return from->pdata[g_rand_int_range(keys->rng, 0, (gint32)from->len)];
}

/* ---- the operator ---- */

static key_sim_t *
new_key(keys_sim_t *keys)
{
	key_sim_t *key = g_new0(key_sim_t, 1);

	key->organisation = -1;
	(void)g_snprintf(key->text, sizeof(key->text), "k%08x%08x%08x",
	    g_rand_int(keys->rng), g_rand_int(keys->rng),
	    g_rand_int(keys->rng));
	return key;
}

static key_sim_t *
add_key(keys_sim_t *keys, int organisation)
{
	key_sim_t *key = new_key(keys);

	key->organisation = organisation;
	g_ptr_array_add(keys->all, key);
	g_ptr_array_add(keys->current, key);
	return key;
}

void
keys_start(soak_t *soak)
{
	keys_sim_t *keys = g_new0(keys_sim_t, 1);

	soak->keys = keys;
	keys->rng = g_rand_new_with_seed(soak->seed + 3);
	keys->all = g_ptr_array_new();
	keys->current = g_ptr_array_new();
	keys->removed = g_ptr_array_new();
	for (int i = 0; i < ORGANISATIONS + PASSING_FIRST; i++)
		(void)add_key(keys, i % ORGANISATIONS);
}

const char *
keys_settings(const soak_t *soak)
{
	return soak->keys != NULL ?
	    "strict_revoke=true\nrevoke_ms=" G_STRINGIFY(REVOKE_MSEC) "\n" :
	    "";
}

bool
keys_is_public(const soak_t *soak, int kind)
{
	/* Requests that crash upstreams are not put off by a long silence, or
	 * upstreams would be down after the faults. */
	return soak->keys != NULL &&
	    (kind == KIND_ORDER || kind == KIND_BAD || kind == KIND_PART);
}

static void
append_keys(GString *text, const keys_sim_t *keys, int organisation)
{
	const char *before = "";

	for (guint i = 0; i < keys->current->len; i++) {
		const key_sim_t *key = keys->current->pdata[i];

		if (key->organisation != organisation)
			continue;
		g_string_append_printf(text, "%s\"%s\"", before, key->text);
		before = ",";
	}
}

void
keys_append_config(const soak_t *soak, GString *text)
{
	if (soak->keys == NULL)
		return;
	g_string_append(text, ",\"tenants\":[");
	for (int i = 0; i < ORGANISATIONS; i++) {
		g_string_append_printf(text,
		    "%s{\"name\":\"org%d\",\"apiKeys\":[", i > 0 ? "," : "", i);
		append_keys(text, soak->keys, i);
		g_string_append(text, "]}");
	}
	g_string_append(text, "]");
}

static void
change(soak_t *soak)
{
	keys_sim_t *keys = soak->keys;
	guint passing = keys->current->len - ORGANISATIONS;
	bool adds = passing == 0 ||
	    (passing < PASSING_MAX && !keys->silence_begins &&
		one_in(keys, 0.5));
	guint at = ORGANISATIONS;
	dff_time_t routes_changed_at = soak->config_written_at;
	key_sim_t *key;

	if (adds)
		key = add_key(
		    keys, g_rand_int_range(keys->rng, 0, ORGANISATIONS));
	else {
		if (!one_in(keys, OLDEST_SHARE))
			at += (guint)g_rand_int_range(
			    keys->rng, 0, (gint32)passing);
		key = keys->current->pdata[at];
		g_ptr_array_remove_index(keys->current, at);
		g_ptr_array_add(keys->removed, key);
	}
	config_write(soak);
	soak->config_written_at = routes_changed_at;
	if (!adds && keys->silence_begins)
		keys->unheard = key;
	keys->silence_begins = false;
	/* The store has acknowledged it. */
	if (adds)
		key->added_at = dff_program_now();
	else
		key->removed_at = dff_program_now();
	keys->changes++;
	soak_trace(soak, "key is %s key=%s organisation=%d",
	    adds ? "added" : "removed", key->text, key->organisation);
}

/* ---- a store that is silent for long ---- */

standin_fault_t
keys_store_fault(const soak_t *soak)
{
	return soak->keys != NULL && soak->keys->silent_until != 0 ?
	    STANDIN_SILENT :
	    STANDIN_HEALTHY;
}

static void
tick_silence(soak_t *soak, dff_time_t now)
{
	keys_sim_t *keys = soak->keys;

	if (keys->silent_until != 0) {
		bool ends = now >= keys->silent_until;

		standin_set_fault(
		    soak->store, ends ? STANDIN_HEALTHY : STANDIN_SILENT);
		soak->store_last_fault = now;
		if (!ends)
			return;
		soak_trace(soak, "store's long silence ends");
		keys->silent_until = 0;
		keys->next_silence = now +
		    g_rand_int_range(keys->rng, 0, SILENCE_NEXT_MSEC) *
			DFF_MSEC;
	}
	if (keys->next_silence == 0)
		keys->next_silence = now +
		    g_rand_int_range(keys->rng, 0, SILENCE_FIRST_MSEC) *
			DFF_MSEC;
	if (now < keys->next_silence || now >= soak->faults_end ||
	    soak->duties != NULL)
		return;
	keys->silent_until = MIN(soak->faults_end,
	    now +
		g_rand_int_range(
		    keys->rng, SILENCE_MIN_MSEC, SILENCE_MAX_MSEC) *
		    DFF_MSEC);
	keys->silence_begins = true;
	keys->next_change = now;
	standin_set_fault(soak->store, STANDIN_SILENT);
	soak->store_last_fault = now;
	soak_trace(soak, "store is silent for long");
}

/* ---- callers ---- */

/* A text that no configuration ever has as a key. */
static key_sim_t *
unknown_key(keys_sim_t *keys)
{
	key_sim_t *key = new_key(keys);
	const char *other = pick(keys, keys->all)->text;

	switch (g_rand_int_range(keys->rng, 0, 5)) {
	case 0:
		key->text[0] = '\0';
		break;
	case 1:
		g_strlcpy(key->text, other, strlen(other));
		break;
	case 2:
		(void)g_snprintf(key->text, sizeof(key->text), "%s0", other);
		break;
	case 3:
		(void)g_snprintf(key->text, sizeof(key->text), "org%d",
		    g_rand_int_range(keys->rng, 0, ORGANISATIONS));
		break;
	default:
		break;
	}
	return key;
}

static const key_sim_t *
relied_key(keys_sim_t *keys, dff_time_t now)
{
	const key_sim_t *key = pick(keys, keys->current);

	return now - key->added_at > RELIED_AFTER ?
	    key :
	    keys->current->pdata[key->organisation];
}

static const key_sim_t *
removed_key(keys_sim_t *keys)
{
	switch (g_rand_int_range(keys->rng, 0, 3)) {
	case 0:
		return keys->removed->pdata[keys->removed->len - 1];
	case 1:
		return keys->unheard != NULL ? keys->unheard :
					       pick(keys, keys->removed);
	default:
		return pick(keys, keys->removed);
	}
}

static void
send_odd(soak_t *soak)
{
	keys_sim_t *keys = soak->keys;
	attempt_t *attempt =
	    callers_new(soak, g_rand_int_range(keys->rng, 0, KIND_BAD));

	attempt->has_odd_key = true;
	attempt->key = keys->removed->len > 0 && one_in(keys, 0.7) ?
	    removed_key(keys) :
	    unknown_key(keys);
	keys->odd++;
	callers_send(soak, attempt);
}

/* A stream is resumed with the key that began it. */
static const key_sim_t *
choose_key(soak_t *soak, const attempt_t *attempt)
{
	const attempt_t *first = callers_find(soak, attempt->first);

	if (attempt->key != NULL)
		return attempt->key;
	return first != NULL ? first->key :
			       relied_key(soak->keys, attempt->sent);
}

char *
keys_fields(soak_t *soak, attempt_t *attempt)
{
	keys_sim_t *keys = soak->keys;
	GString *text = g_string_new(NULL);

	if (keys == NULL)
		return g_string_free(text, FALSE);
	attempt->key = choose_key(soak, attempt);
	if (attempt->key->text[0] != '\0')
		g_string_append_printf(
		    text, "X-Credential: %s\r\n", attempt->key->text);
	if (one_in(keys, FORGED_SHARE))
		g_string_append(
		    text, "X-Tenant: org0\r\nX-Checked-Tenant: org0\r\n");
	soak_trace(soak, "key of id=%s is key=%s organisation=%d", attempt->id,
	    attempt->key->text, attempt->key->organisation);
	return g_string_free(text, FALSE);
}

void
keys_tick(soak_t *soak)
{
	keys_sim_t *keys = soak->keys;
	dff_time_t now = dff_program_now();

	if (keys == NULL)
		return;
	tick_silence(soak, now);
	if (now >= keys->next_change && now < soak->faults_end) {
		change(soak);
		keys->next_change = now +
		    (dff_time_t)(2 * g_rand_double(keys->rng) *
			CHANGE_MEAN_INTERVAL);
	}
	if (!callers_have_stopped(soak) && one_in(keys, ODD_PER_TICK))
		send_odd(soak);
}

/* ---- checks ---- */

/* A process that starts while the store lacks what it lost believes the older
 * copy until the operator has written again (docs/design/keys.md, "Not
 * covered"). @changed_at: when the key was added or removed. */
static bool
believes_copy(
    const soak_t *soak, const attempt_t *attempt, dff_time_t changed_at)
{
	return soak->returned_at != 0 && changed_at >= soak->lost_from &&
	    changed_at <= soak->returned_at &&
	    soak->edges[attempt->edge].started > changed_at - START_TIME &&
	    (soak->written_at < soak->returned_at ||
		attempt->sent <= soak->written_at + REVOKE_TIME);
}

static void
check_secret(soak_t *soak, const dff_h1_head_t *head, const attempt_t *attempt)
{
	const char *key = attempt->key->text;

	for (guint i = 0; i < head->fields->len; i++) {
		const dff_h1_field_t *field =
		    &g_array_index(head->fields, dff_h1_field_t, i);

		if (g_ascii_strcasecmp(field->name, "X-Credential") == 0 ||
		    (attempt->key->organisation >= 0 &&
			strstr(field->value, key) != NULL))
			soak_fail(soak,
			    "key reaches an upstream id=%s field=%s",
			    attempt->id, field->name);
	}
}

static void
check_organisation(
    soak_t *soak, const dff_h1_head_t *head, const attempt_t *attempt)
{
	const char *named = dff_h1_field(head, "X-Tenant");
	bool is_public = keys_is_public(soak, attempt->kind);
	char expected[16] = "";

	if (!is_public && attempt->key->organisation >= 0)
		(void)g_snprintf(expected, sizeof(expected), "org%d",
		    attempt->key->organisation);
	if (strcmp(named != NULL ? named : "", expected) != 0)
		soak_fail(soak, "other organisation id=%s named=%s holder=%s",
		    attempt->id, named != NULL ? named : "", expected);
}

static void
check_may_run(soak_t *soak, const attempt_t *attempt)
{
	keys_sim_t *keys = soak->keys;
	const key_sim_t *key = attempt->key;
	dff_time_t late = attempt->sent - key->removed_at;

	if (keys_is_public(soak, attempt->kind))
		return;
	if (key->organisation < 0) {
		soak_fail(soak, "unknown key runs id=%s key=%s", attempt->id,
		    key->text);
		return;
	}
	if (key->removed_at == 0 || late <= 0)
		return;
	if (late <= REVOKE_TIME)
		keys->ran_in_time++;
	else if (believes_copy(soak, attempt, key->removed_at)) {
		keys->excused++;
		soak_trace(soak, "removed key runs after an older copy id=%s",
		    attempt->id);
	} else
		soak_fail(soak,
		    "removed key runs id=%s key=%s edge=%d "
		    "sent_after_ms=%" G_GINT64_FORMAT,
		    attempt->id, key->text, attempt->edge, late / DFF_MSEC);
}

void
keys_check_request(soak_t *soak, const dff_h1_head_t *head, const char *id)
{
	const attempt_t *attempt = callers_find(soak, id);

	if (soak->keys == NULL || attempt == NULL)
		return;
	check_secret(soak, head, attempt);
	if (strcmp(head->method, "DELETE") == 0)
		return;
	check_organisation(soak, head, attempt);
	check_may_run(soak, attempt);
}

/* A node that is not sure answers 503, so that no fault excuses a 401 for a key
 * that is there. */
static void
check_refusal(soak_t *soak, const attempt_t *attempt)
{
	const key_sim_t *key = attempt->key;
	bool is_public = keys_is_public(soak, attempt->kind);

	if (!is_public &&
	    (key->organisation < 0 ||
		(key->removed_at != 0 && key->removed_at <= attempt->done) ||
		attempt->sent - key->added_at <= APPLY_TIME ||
		(key->added_at != 0 &&
		    believes_copy(soak, attempt, key->added_at))))
		return;
	soak_fail(soak, "401 for a good key id=%s key=%s edge=%d public=%d",
	    attempt->id, key->text, attempt->edge, is_public);
}

void
keys_check_answer(soak_t *soak, const attempt_t *attempt)
{
	keys_sim_t *keys = soak->keys;

	if (keys == NULL)
		return;
	if (attempt->has_odd_key) {
		keys->refused += attempt->status == 401;
		keys->unconfirmed += attempt->status == 503;
	}
	if (attempt->status == 401 || attempt->status == 403)
		check_refusal(soak, attempt);
}

void
keys_print(const soak_t *soak)
{
	const keys_sim_t *keys = soak->keys;

	if (keys != NULL)
		(void)printf("seed=%u keys changes=%d odd=%d refused=%d "
			     "unconfirmed=%d ran_in_time=%d excused=%d\n",
		    soak->seed, keys->changes, keys->odd, keys->refused,
		    keys->unconfirmed, keys->ran_in_time, keys->excused);
}
