/*
 * Addresses in the form used by the settings and the VM list.
 */
#ifndef DFF_NET_ADDRESS_H
#define DFF_NET_ADDRESS_H

#include <sys/socket.h>

#include <uv.h>

/**
 * dff_address_parse() - parse "a.b.c.d:port" or "[v6]:port"
 * @text: address
 * @addr: set to the parsed address
 *
 * Return: length of @addr in bytes, or -EINVAL.
 */
int dff_address_parse(const char *text, struct sockaddr_storage *addr);

/** dff_address_port() - port of an address that was parsed */
int dff_address_port(const struct sockaddr_storage *addr);

/**
 * dff_tcp_set_options() - disable Nagle's algorithm and set
 *	TCP_USER_TIMEOUT
 * @unacked_msec: longest time that written bytes may stay unacknowledged
 */
void dff_tcp_set_options(uv_tcp_t *tcp, unsigned unacked_msec);

#endif
