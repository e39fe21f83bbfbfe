/*
 * Ordinary clients: reads on kept connections, and how many of them have no
 * answer at their route's timeout (rule CONFIG: "Of the requests that are still
 * unanswered at their route's timeoutMs, more than half have no answer half a
 * second later").
 */
#ifndef REVIEW_READERS_H
#define REVIEW_READERS_H

#include "rig.h"

/* The route's timeoutMs, and the time after it by which the rule wants an
 * answer, in ms. */
#define READERS_TIMEOUT_MS 1500
#define READERS_SLACK_MS   500
/* Overdue reads after which a case is decided, and the least that count. */
#define READERS_ENOUGH 20
#define READERS_LEAST  8

/** READERS_CONFIG - the parts of the configuration that the reads need */
#define READERS_ROUTE \
	"{\"name\":\"r-read\",\"host\":\"f.example\"," \
	"\"pathPrefix\":\"/read/\",\"kind\":\"idempotent\"," \
	"\"timeoutMs\":1500,\"targetLatencyMs\":300,\"priority\":2," \
	"\"service\":\"ledger\",\"maxAttempts\":2}"
#define READERS_SERVICE \
	"{\"name\":\"ledger\",\"healthPath\":\"/health\"," \
	"\"maxConns\":100,\"protocol\":\"h1\",\"tlsEnabled\":false}"
#define READERS_LIMITS \
	"{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304," \
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}"

/** readers_workers() - start two workers of the service */
void readers_workers(void);

/** readers_start() - start the clients of a front address */
void readers_start(int front);

void readers_stop(void);

/** readers_overdue() - reads that were unanswered at the timeout so far */
int readers_overdue(void);

/** readers_end() - record the counts and end the case with its verdict */
void readers_end(void) __attribute__((noreturn));

#endif
