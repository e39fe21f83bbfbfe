/*
 * A small fleet in separate processes: platform, two engines, a plain
 * service, an entry; a second entry and a placer if a test starts them.
 */
#ifndef FAKE_FLEET_H
#define FAKE_FLEET_H

#include "netloop.h"
#include "process.h"

#define FLEET_PLATFORM	  "127.0.0.1:21200"
#define FLEET_ENTRY	  "127.0.0.1:21201"
#define FLEET_ENTRY_PORT  21201
#define FLEET_ENTRY_PEER  "127.0.0.1:21202"
#define FLEET_ENTRY2	  "127.0.0.1:21203"
#define FLEET_ENTRY2_PEER "127.0.0.1:21204"
#define FLEET_PLACER	  "127.0.0.1:21205"
#define FLEET_ENGINE	  "127.0.0.1:21211"
#define FLEET_ENGINE2	  "127.0.0.1:21212"
#define FLEET_SERVICE	  "127.0.0.1:21221"
#define FLEET_OWNER	  "authorization: Bearer katalyst-demo\r\n"

/** struct fleet - a small fleet in separate processes */
typedef struct fleet {
	netloop_t net;
	process_t platform;
	process_t engine;
	process_t engine2;
	process_t service;
	process_t entry;
	process_t entry2;
	process_t placer;
	char vms[256];
} fleet_t;

/**
 * fleet_open() - start all but the second entry and the placer, put a
 *	catalogue in force and wait until calls can be made
 * @prefill_us: time to prefill a token, for a prefill as long as is needed
 */
void fleet_open(fleet_t *fleet, unsigned prefill_us);

/** fleet_close() - stop all; each must end with status 0 */
void fleet_close(fleet_t *fleet);

/** fleet_start_entry() - start an entry */
void fleet_start_entry(process_t *process, const char *id, const char *domain,
    const char *listen, const char *peer);

/** fleet_start_service() - start the plain service (again) */
void fleet_start_service(fleet_t *fleet);

/** fleet_ask() - a model call at the first entry */
void fleet_ask(
    fleet_t *fleet, const char *headers, const char *body, reply_t *reply);

/** fleet_metric() - a counter of a process's metrics page; -1 if missing */
long fleet_metric(fleet_t *fleet, const char *addr, const char *name);

/** fleet_engine_running() - requests that an engine runs or queues */
int fleet_engine_running(fleet_t *fleet, const char *addr);

/** fleet_running() - requests that both engines run or queue */
int fleet_running(fleet_t *fleet);

/** fleet_wait_running() - wait until there are so many */
void fleet_wait_running(fleet_t *fleet, int wanted);

/** fleet_send_call() - send a streamed model call over a plain socket;
 *	returns the socket */
int fleet_send_call(
    const char *entry, unsigned prompt_bytes, unsigned max_tokens);

#endif
