/*
 * A key is withdrawn while a machine is partitioned from the store. After the
 * cut the machine reads more configurations than one page of the store holds,
 * and takes the first page for all that there is.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

/* Routes that an operator's change has added (big_config). */
#define ROUTES 1400
/* Changes in quick succession (config_storm), and the time between two. */
#define CHANGES	  6
#define CHANGE_MS 330
/* Length of the cut (core_cut), and bound on a withdrawn key, in ms. */
#define CUT_MS	  7200
#define REVOKE_MS 5000
/* Clients use the key until this time after the cut's beginning. */
#define PLAY_MS	 9000
#define CLIENTS	 8
#define PAUSE_MS 5
#define SENDS_MAX 20000

#define KEY "key-one"

static double revoked_at;
static double sent_at[CLIENTS][SENDS_MAX];
static int late_runs;
static int late_sends;
static int runs;
static bool stop_clients;
static int front;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static bool
run(rig_worker_t *worker, rig_conn_t *conn, const rig_message_t *request)
{
	char id[64];
	int client = 0;
	int number = 0;
	double sent;

	(void)rig_field(request, "X-Attempt-Id", id, sizeof(id));
	if (sscanf(id, "c%d-%d", &client, &number) == 2) {
		(void)pthread_mutex_lock(&lock);
		sent = sent_at[client][number];
		runs++;
		if (revoked_at > 0 && sent > revoked_at + REVOKE_MS) {
			late_runs++;
			rig_record("worker %s RUNS %s with the withdrawn key, "
				   "sent %.0f ms after the acknowledgement",
			    worker->id, id, sent - revoked_at);
		}
		(void)pthread_mutex_unlock(&lock);
	}
	return rig_answer_run(worker, conn, request, "answer", 6);
}

/* A configuration of one tenant with two keys, or one of them withdrawn. */
static void
put_config(unsigned version, const char *keys)
{
	char *text = malloc(ROUTES * 256 + 2048);
	size_t len = (size_t)sprintf(text,
	    "{\"version\":%u,\"routes\":[{\"name\":\"r-read\","
	    "\"host\":\"f.example\",\"pathPrefix\":\"/read/\","
	    "\"kind\":\"idempotent\",\"timeoutMs\":1500,"
	    "\"targetLatencyMs\":300,\"priority\":2,\"service\":\"ledger\","
	    "\"maxAttempts\":2}",
	    version);

	for (int i = 0; i < ROUTES; i++)
		len += (size_t)sprintf(text + len,
		    ",{\"name\":\"r-%04d\",\"host\":\"f.example\","
		    "\"pathPrefix\":\"/more-%04d/\",\"kind\":\"idempotent\","
		    "\"timeoutMs\":1500,\"targetLatencyMs\":300,"
		    "\"priority\":2,\"service\":\"ledger\","
		    "\"maxAttempts\":2}",
		    i, i);
	(void)sprintf(text + len,
	    "],\"services\":[{\"name\":\"ledger\","
	    "\"healthPath\":\"/health\",\"maxConns\":460,"
	    "\"protocol\":\"h1\",\"tlsEnabled\":false}],"
	    "\"limits\":{\"maxHeaderBytes\":16384,"
	    "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
	    "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"tenant-one\","
	    "\"apiKeys\":[%s]}]}",
	    keys);
	rig_store_put("keyed.op", "config", text);
	rig_record("operator's version %u is acknowledged keys=%s bytes=%zu",
	    version, keys, strlen(text));
	free(text);
}

static void *
run_client(void *arg)
{
	int client = (int)(intptr_t)arg;
	rig_message_t *answer = calloc(1, sizeof(*answer));
	rig_conn_t *conn = NULL;

	for (int i = 1; i < SENDS_MAX && !stop_clients; i++) {
		char text[256];
		int len = snprintf(text, sizeof(text),
		    "GET /read/x HTTP/1.1\r\nHost: f.example\r\n"
		    "X-Attempt-Id: c%d-%d\r\nX-Deadline-Ms: 1000\r\n"
		    "X-Credential: " KEY "\r\n\r\n",
		    client, i);
		double sent;

		if (conn == NULL)
			conn = rig_connect(front, false);
		if (conn == NULL) {
			rig_sleep_ms(PAUSE_MS);
			continue;
		}
		(void)pthread_mutex_lock(&lock);
		sent = rig_ms();
		sent_at[client][i] = sent;
		late_sends += revoked_at > 0 && sent > revoked_at + REVOKE_MS;
		(void)pthread_mutex_unlock(&lock);
		if (!rig_write(conn, text, (size_t)len) ||
		    !rig_read_answer(conn, answer, 1500) || !answer->complete) {
			rig_close(conn);
			conn = NULL;
		} else if (answer->status == 200 && revoked_at > 0 &&
		    sent > revoked_at + REVOKE_MS)
			rig_record("client is answered 200 c%d-%d", client, i);
		rig_sleep_ms(PAUSE_MS);
	}
	rig_close(conn);
	return NULL;
}

int
main(int argc, char **argv)
{
	static const rig_value_t values[] = {{"bounds.strictRevoke", "true"},
	    {"bounds.revokeMs", "5000"}, {"bounds.configApplyMs", "3000"},
	    {"platform.writesPerS", "1200"}, {NULL, NULL}};
	bool trouble = rig_begin(argc, argv);
	int store = rig_proxy_start(rig_store_start());
	rig_edge_t edge;
	double cut_at;
	unsigned version = 7;

	(void)rig_worker_start("i-1", "ledger", NULL, 6, run);
	(void)rig_worker_start("i-2", "ledger", NULL, 6, run);
	put_config(version, "\"" KEY "\",\"key-two\"");
	rig_edge_start(&edge, store, values);
	if (!rig_edge_wait_ready(&edge, 15000))
		rig_end(RIG_FAILED);
	front = edge.front;
	for (int i = 0; i < CLIENTS; i++)
		rig_thread(run_client, (void *)(intptr_t)i);
	rig_sleep_ms(1000);
	if (runs == 0)
		rig_end(RIG_FAILED);
	cut_at = rig_ms();
	rig_proxy_cut(trouble);
	rig_record("the machine is cut off from the store: %d", trouble);
	for (int i = 0; i < CHANGES - 1; i++) {
		put_config(version += 3, "\"" KEY "\",\"key-two\"");
		rig_sleep_until(cut_at + (i + 1) * CHANGE_MS);
	}
	put_config(version += 3, "\"key-two\"");
	(void)pthread_mutex_lock(&lock);
	revoked_at = rig_ms();
	(void)pthread_mutex_unlock(&lock);
	rig_record("the store has acknowledged that " KEY " is withdrawn");
	rig_sleep_until(cut_at + CUT_MS);
	rig_proxy_cut(false);
	rig_record("the cut has ended");
	rig_sleep_until(cut_at + PLAY_MS);
	stop_clients = true;
	rig_sleep_ms(300);
	rig_record("requests with the withdrawn key sent later than %d ms=%d, "
		   "run=%d",
	    REVOKE_MS, late_sends, late_runs);
	if (late_sends < 100)
		rig_end(RIG_FAILED);
	rig_end(late_runs > 0 ? RIG_BROKEN : RIG_HELD);
}
