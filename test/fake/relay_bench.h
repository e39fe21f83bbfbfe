/*
 * A test bench for one relay: passes events to it, holds its effects and sets
 * its time.
 */
#ifndef DFF_FAKE_RELAY_BENCH_H
#define DFF_FAKE_RELAY_BENCH_H

#include "dragonflyfall/relay.h"

/**
 * struct relay_bench - one relay and its last effects
 * @fx: effects of the last step
 * @rows: origins of streams that effects borrow, kept until the end
 * @opens: requests by the number of their call, dff_relay_open_t
 * @strings: their texts
 * @now: time of the next step
 * @frame_addr: address of its frames, set by relay_net_add()
 */
typedef struct relay_bench {
	dff_ctx_t *ctx;
	dff_relay_t *relay;
	GArray *fx;
	GPtrArray *rows;
	GHashTable *opens;
	GStringChunk *strings;
	dff_time_t now;
	uint64_t next_call;
	char frame_addr[DFF_ADDR_MAX];
} relay_bench_t;

/** relay_bench_new() - make a relay "a1" in domain "a" at 10.0.0.1:7000 */
relay_bench_t *relay_bench_new(void);

/** relay_bench_new_as() - make a relay with another name, domain and address */
relay_bench_t *relay_bench_new_as(
    const char *id, const char *domain, const char *addr, uint32_t link_mbps);

/** relay_bench_new_restarted() - the same with an incarnation, which grows with
 *	each start of a node */
relay_bench_t *relay_bench_new_restarted(const char *id, const char *domain,
    const char *addr, uint32_t link_mbps, uint64_t incarnation);

/** relay_bench_drop() - free it */
void relay_bench_drop(relay_bench_t *bench);

/** relay_bench_step() - process one event at the current time */
void relay_bench_step(relay_bench_t *bench, const dff_relay_event_t *event);

/** relay_bench_wait() - advance the time and run timers; @fx gets the effects
 *	of all of them */
void relay_bench_wait(relay_bench_t *bench, dff_time_t time);

/**
 * relay_bench_new_routing() - make a version with routes under host "h":
 *	"/read/" repeatable with two runs, "/order/" once, "/talk/" a stream,
 *	"/resume/" a resumable stream with two runs; pools "plain" and "llm"
 */
dff_routing_t *relay_bench_new_routing(uint64_t version);

/** relay_bench_load_routing() - make it and pass it to the relay */
void relay_bench_load_routing(relay_bench_t *bench, uint64_t version);

/** relay_bench_load_upstream() - pass a record of an upstream */
void relay_bench_load_upstream(relay_bench_t *bench, const char *id,
    const char *pool, dff_role_t role, const char *domain, uint64_t seq);

/** relay_bench_make_record() - a record of an upstream in its first start */
dff_upstream_record_t relay_bench_make_record(const char *id, const char *pool,
    dff_role_t role, const char *domain, uint64_t seq, const char *software);

/** relay_bench_load_record() - pass it to the relay */
void relay_bench_load_record(
    relay_bench_t *bench, const dff_upstream_record_t *record);

/** relay_bench_load_software() - the same with the version of its software */
void relay_bench_load_software(relay_bench_t *bench, const char *id,
    const char *pool, dff_role_t role, const char *domain, uint64_t seq,
    const char *software);

/** relay_bench_open() - pass a plain request; returns the number of its call */
uint64_t relay_bench_open(
    relay_bench_t *bench, const char *target, uint64_t content);

/** relay_bench_open_prompt() - pass a request with a prompt of two parts */
uint64_t relay_bench_open_prompt(relay_bench_t *bench, const char *target,
    uint64_t shared_id, uint32_t shared, uint64_t own_id, uint32_t own);

/** relay_bench_open_parts() - pass a request with any prompt */
uint64_t relay_bench_open_parts(relay_bench_t *bench, const char *target,
    uint64_t content, const dff_prompt_t *prompt);

/** relay_bench_open_stream() - pass a request of attempt @id that resumes the
 *	stream of attempt @resumes after an event; -1 and "" for a new stream */
uint64_t relay_bench_open_stream(relay_bench_t *bench, const char *target,
    const char *id, const char *resumes, int64_t after_event);

/** relay_bench_find() - find the last effect of a type, or NULL */
const dff_relay_effect_t *relay_bench_find(
    const relay_bench_t *bench, dff_relay_effect_type_t type);

/** relay_bench_count() - count the effects of a type */
size_t relay_bench_count(
    const relay_bench_t *bench, dff_relay_effect_type_t type);

/** relay_bench_send() - number of the last send; 0 if there is none */
uint64_t relay_bench_send(const relay_bench_t *bench);

/** relay_bench_head() - pass the head of an answer */
void relay_bench_head(
    relay_bench_t *bench, uint64_t send, int status, bool not_run);

/** relay_bench_head_notice() - the same with an upstream's notice */
void relay_bench_head_notice(relay_bench_t *bench, uint64_t send, int status,
    bool not_run, dff_upstream_notice_t notice);

/** relay_bench_data() - pass bytes of an answer */
void relay_bench_data(relay_bench_t *bench, uint64_t send, const char *text);

/** relay_bench_end() - end a send; @handle may be NULL */
void relay_bench_end(relay_bench_t *bench, uint64_t send,
    dff_send_result_t result, const char *handle);

/** relay_bench_end_probes() - end the probes of the last step with a result,
 *	and those that result from them with another */
void relay_bench_end_probes(
    relay_bench_t *bench, dff_probe_result_t result, dff_probe_result_t next);

/** relay_bench_identify() - the upstream of a send states the start that the
 *	records of relay_bench_make_record() have */
void relay_bench_identify(relay_bench_t *bench, uint64_t send);

/** relay_bench_refuse_probe() - refuse the probe of the last step; other
 *	upstreams accept those that result from it */
void relay_bench_refuse_probe(relay_bench_t *bench);

/** relay_bench_answer() - status of the last answer made by the relay itself; 0
 *	for none */
int relay_bench_answer(const relay_bench_t *bench);

#endif
