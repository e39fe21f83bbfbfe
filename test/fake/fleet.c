#include "fleet.h"

#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

static const char vms[] =
    "{\"vms\":["
    "{\"id\":\"e1\",\"addr\":\"" FLEET_ENTRY_PEER "\",\"domain\":\"d1\","
    "\"pool\":\"\",\"kind\":\"entry\",\"incarnation\":1,\"state\":\"live\"},"
    "{\"id\":\"e2\",\"addr\":\"" FLEET_ENTRY2_PEER "\",\"domain\":\"d2\","
    "\"pool\":\"\",\"kind\":\"entry\",\"incarnation\":1,\"state\":\"live\"},"
    "{\"id\":\"m1\",\"addr\":\"" FLEET_ENGINE "\",\"domain\":\"d1\","
    "\"pool\":\"assessor-llm\",\"kind\":\"engine\",\"incarnation\":1,"
    "\"state\":\"live\"},"
    "{\"id\":\"m2\",\"addr\":\"" FLEET_ENGINE2 "\",\"domain\":\"d2\","
    "\"pool\":\"assessor-llm\",\"kind\":\"engine\",\"incarnation\":1,"
    "\"state\":\"live\"},"
    "{\"id\":\"s1\",\"addr\":\"" FLEET_SERVICE "\",\"domain\":\"d1\","
    "\"pool\":\"yard-ledger\",\"kind\":\"service\",\"incarnation\":1,"
    "\"state\":\"live\"}]}";

static void
start_engine(process_t *process, const char *addr, const char *id,
    const char *domain, unsigned prefill_us)
{
	process_start(process,
	    "dff-engine --addr %s --id %s --domain %s --model assessor "
	    "--model-version 7 --check-fence=true --prefill-us %u "
	    "--report-lag 50",
	    addr, id, domain, prefill_us);
}

void
fleet_start_entry(process_t *process, const char *id, const char *domain,
    const char *listen, const char *peer)
{
	process_start(process,
	    "dff-entry --id %s --domain %s --listen %s --peer-listen %s "
	    "--platform " FLEET_PLATFORM " --load-every 50 --request-time 500 "
	    "--body-max 200000 --drain-time 5000 --try-silence 2500",
	    id, domain, listen, peer);
}

void
fleet_start_service(fleet_t *fleet)
{
	process_start(&fleet->service,
	    "dff-service --addr " FLEET_SERVICE " --id s1 --run-time 200");
}

void
fleet_open(fleet_t *fleet, unsigned prefill_us)
{
	char *catalogue = read_file("catalogues/katalyst.conf");

	memset(fleet, 0, sizeof(*fleet));
	netloop_open(&fleet->net);
	g_snprintf(fleet->vms, sizeof(fleet->vms), "%s/dff-vms-%d.json",
	    g_get_tmp_dir(), (int)getpid());
	ck_assert(g_file_set_contents(fleet->vms, vms, -1, NULL));
	process_start(&fleet->platform,
	    "dff-platform --addr " FLEET_PLATFORM " --vms %s", fleet->vms);
	start_engine(&fleet->engine, FLEET_ENGINE, "m1", "d1", prefill_us);
	start_engine(&fleet->engine2, FLEET_ENGINE2, "m2", "d2", prefill_us);
	fleet_start_service(fleet);
	fleet_start_entry(
	    &fleet->entry, "e1", "d1", FLEET_ENTRY, FLEET_ENTRY_PEER);
	http_wait(&fleet->net, FLEET_PLATFORM, "/vms", 200);
	publish_catalogue(&fleet->net, FLEET_PLATFORM, "edit-1", 0, catalogue);
	http_wait(&fleet->net, FLEET_ENTRY, "/healthz", 200);
	http_wait(&fleet->net, FLEET_ENGINE, "/v1/state", 200);
	http_wait(&fleet->net, FLEET_ENGINE2, "/v1/state", 200);
	http_wait(&fleet->net, FLEET_SERVICE, "/load", 200);
	/* Until reports of all upstreams have come. */
	netloop_run(&fleet->net, 300 * DFF_MSEC);
	g_free(catalogue);
}

void
fleet_close(fleet_t *fleet)
{
	ck_assert_int_eq(process_stop(&fleet->placer, SIGTERM), 0);
	ck_assert_int_eq(process_stop(&fleet->entry2, SIGTERM), 0);
	ck_assert_int_eq(process_stop(&fleet->entry, SIGTERM), 0);
	ck_assert_int_eq(process_stop(&fleet->engine, SIGTERM), 0);
	ck_assert_int_eq(process_stop(&fleet->engine2, SIGTERM), 0);
	ck_assert_int_eq(process_stop(&fleet->service, SIGTERM), 0);
	ck_assert_int_eq(process_stop(&fleet->platform, SIGTERM), 0);
	(void)unlink(fleet->vms);
	netloop_close(&fleet->net);
}

void
fleet_ask(fleet_t *fleet, const char *headers, const char *body, reply_t *reply)
{
	http_call(
	    &fleet->net, FLEET_ENTRY, "/v1/completions", headers, body, reply);
}

long
fleet_metric(fleet_t *fleet, const char *addr, const char *name)
{
	char *start = g_strdup_printf("\n%s ", name);
	const char *found;
	long value = -1;
	reply_t reply;

	http_call(&fleet->net, addr, "/metrics", NULL, NULL, &reply);
	found = strstr(reply.body, start);
	if (found != NULL)
		value = strtol(found + strlen(start), NULL, 10);
	reply_clear(&reply);
	g_free(start);
	return value;
}

int
fleet_engine_running(fleet_t *fleet, const char *addr)
{
	reply_t reply;
	json_t *body;
	int running;

	http_call(&fleet->net, addr, "/v1/state", NULL, NULL, &reply);
	body = json_loads(reply.body, 0, NULL);
	running = (int)json_integer_value(json_object_get(body, "running"));
	json_decref(body);
	reply_clear(&reply);
	return running;
}

int
fleet_running(fleet_t *fleet)
{
	return fleet_engine_running(fleet, FLEET_ENGINE) +
	    fleet_engine_running(fleet, FLEET_ENGINE2);
}

void
fleet_wait_running(fleet_t *fleet, int wanted)
{
	while (fleet_running(fleet) != wanted)
		netloop_run(&fleet->net, 20 * DFF_MSEC);
}

int
fleet_send_call(const char *entry, unsigned prompt_bytes, unsigned max_tokens)
{
	char *prompt = g_strnfill(prompt_bytes, 'x');
	char *body = g_strdup_printf("{\"model\":\"%s\",\"prompt\":\"%s\","
				     "\"max_tokens\":%u,\"stream\":true}",
	    entry, prompt, max_tokens);
	char *text = g_strdup_printf("POST /v1/completions HTTP/1.1\r\n"
				     "host: a\r\n" FLEET_OWNER
				     "content-length: %zu\r\n\r\n%s",
	    strlen(body), body);
	int fd = netloop_connect(FLEET_ENTRY_PORT, text, strlen(text));

	g_free(text);
	g_free(body);
	g_free(prompt);
	return fd;
}
