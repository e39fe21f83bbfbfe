/*
 * A TCP proxy in front of a worker. It can fall silent like a machine that has
 * gone dark: open connections carry nothing, new ones hang. It can also behave
 * as one whose process has ended.
 */
#ifndef REVIEW_TUNNEL_H
#define REVIEW_TUNNEL_H

#include <stdbool.h>
#include <uv.h>

typedef struct tunnel tunnel_t;

/** tunnel_new() - forward connections from one address to another; NULL if it
 *	cannot listen */
tunnel_t *tunnel_new(uv_loop_t *loop, const char *from, const char *to);

/** tunnel_go_dark() - fall silent; returns false if that fails */
bool tunnel_go_dark(tunnel_t *tunnel);

/** tunnel_crash() - reset what is open, and refuse new connections */
void tunnel_crash(tunnel_t *tunnel);

/** tunnel_return() - reset what was open, and forward new connections; returns
 *	false if it cannot listen */
bool tunnel_return(tunnel_t *tunnel);

#endif
