/*
 * A server on loopback that sends the first bytes of an answer to each request
 * and then closes or resets the connection.
 */
#ifndef FAKE_CUT_SERVER_H
#define FAKE_CUT_SERVER_H

#include <stdbool.h>
#include <stddef.h>

#include <uv.h>

/**
 * struct cut_server - the server; it takes one connection at a time
 * @answer: text of the answer
 * @len: bytes of it that are sent
 * @resets: reset the connection after them
 */
typedef struct cut_server {
	const char *answer;
	size_t len;
	bool resets;
	uv_tcp_t listener;
	uv_tcp_t conn;
} cut_server_t;

/** Heads of answers whose body is empty or ends with the connection, so that an
 *	end of the connection could be taken for that of the answer */
extern const char *const cut_heads[];

/** Number of @cut_heads */
extern const int cut_heads_count;

/** cut_server_start() - listen on a port, without an answer yet */
void cut_server_start(cut_server_t *server, uv_loop_t *loop, int port);

/** cut_server_stop() - close the server; the loop has to run once more */
void cut_server_stop(cut_server_t *server);

#endif
