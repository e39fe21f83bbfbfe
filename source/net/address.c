#include "net/address.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

#include <uv.h>

#include "dragonflyfall/base.h"

#define PORT_MAX 65535

static int
parse_port(const char *text)
{
	char *end;
	long port;

	if (*text < '0' || *text > '9')
		return -EINVAL;
	port = strtol(text, &end, 10);
	if (*end != '\0' || port > PORT_MAX)
		return -EINVAL;
	return (int)port;
}

int
dff_address_parse(const char *text, struct sockaddr_storage *addr)
{
	char host[DFF_ADDR_MAX];
	const char *colon = strrchr(text, ':');
	size_t len;
	int port;

	memset(addr, 0, sizeof(*addr));
	if (colon == NULL)
		return -EINVAL;
	port = parse_port(colon + 1);
	len = (size_t)(colon - text);
	if (port < 0 || len == 0 || len >= sizeof(host))
		return -EINVAL;
	memcpy(host, text, len);
	host[len] = '\0';
	if (host[0] != '[') {
		if (uv_ip4_addr(host, port, (struct sockaddr_in *)addr) < 0)
			return -EINVAL;
		return sizeof(struct sockaddr_in);
	}
	if (host[len - 1] != ']')
		return -EINVAL;
	host[len - 1] = '\0';
	if (uv_ip6_addr(host + 1, port, (struct sockaddr_in6 *)addr) < 0)
		return -EINVAL;
	return sizeof(struct sockaddr_in6);
}

int
dff_address_port(const struct sockaddr_storage *addr)
{
	const void *any = addr;

	return ntohs(addr->ss_family == AF_INET6 ?
		((const struct sockaddr_in6 *)any)->sin6_port :
		((const struct sockaddr_in *)any)->sin_port);
}

void
dff_tcp_set_options(uv_tcp_t *tcp, unsigned unacked_msec)
{
	uv_os_fd_t fd;

	(void)uv_tcp_nodelay(tcp, 1);
	if (uv_fileno((uv_handle_t *)tcp, &fd) == 0)
		(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
		    &unacked_msec, sizeof(unacked_msec));
}
