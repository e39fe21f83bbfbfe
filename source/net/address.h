/*
 * Addresses as the settings and the VM list write them.
 */
#ifndef DFF_NET_ADDRESS_H
#define DFF_NET_ADDRESS_H

#include <sys/socket.h>

/**
 * dff_address_parse() - read "a.b.c.d:port" or "[v6]:port"
 * @text: address
 * @addr: set to it
 *
 * Return: its length in bytes, or -EINVAL.
 */
int dff_address_parse(const char *text, struct sockaddr_storage *addr);

#endif
