/*
 * Which edge has opened a connection: all edges connect from 127.0.0.1, and
 * read the addresses of upstreams from one another, so that neither address
 * tells. The kernel knows the socket of the other end, and /proc its process.
 */
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "soak/soak.h"

typedef struct question {
	struct nlmsghdr head;
	struct inet_diag_req_v2 body;
} question_t;

/* Inode of the socket of the other end; 0 if it is closed. */
static uint32_t
find_inode(const struct sockaddr_in *own, const struct sockaddr_in *other)
{
	question_t question = {.head = {.nlmsg_len = sizeof(question),
				   .nlmsg_type = SOCK_DIAG_BY_FAMILY,
				   .nlmsg_flags = NLM_F_REQUEST},
	    .body = {.sdiag_family = AF_INET,
		.sdiag_protocol = IPPROTO_TCP,
		.idiag_states = UINT32_MAX,
		.id = {.idiag_sport = other->sin_port,
		    .idiag_dport = own->sin_port,
		    .idiag_src = {other->sin_addr.s_addr},
		    .idiag_dst = {own->sin_addr.s_addr},
		    .idiag_cookie = {INET_DIAG_NOCOOKIE, INET_DIAG_NOCOOKIE}}}};
	char answer[1024];
	struct nlmsghdr head;
	struct inet_diag_msg found;
	int fd = socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
	ssize_t got = -1;

	if (fd < 0 ||
	    send(fd, &question, sizeof(question), 0) !=
		(ssize_t)sizeof(question) ||
	    (got = recv(fd, answer, sizeof(answer), 0)) < (ssize_t)sizeof(head))
		g_error("the kernel does not tell whose a connection is");
	(void)close(fd);
	memcpy(&head, answer, sizeof(head));
	if (head.nlmsg_type != SOCK_DIAG_BY_FAMILY ||
	    (size_t)got < NLMSG_HDRLEN + sizeof(found))
		return 0;
	memcpy(&found, answer + NLMSG_HDRLEN, sizeof(found));
	return found.idiag_inode;
}

static bool
has_socket(int pid, uint32_t inode)
{
	char folder[32];
	char wanted[32];
	const char *name;
	bool found = false;
	GDir *dir;

	(void)g_snprintf(folder, sizeof(folder), "/proc/%d/fd", pid);
	(void)g_snprintf(wanted, sizeof(wanted), "socket:[%u]", inode);
	dir = g_dir_open(folder, 0, NULL);
	while (!found && dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		char *path = g_build_filename(folder, name, NULL);
		char target[64];
		ssize_t len = readlink(path, target, sizeof(target) - 1);

		target[MAX(len, 0)] = '\0';
		found = strcmp(target, wanted) == 0;
		g_free(path);
	}
	if (dir != NULL)
		g_dir_close(dir);
	return found;
}

int
edges_find_owner(const soak_t *soak, const uv_tcp_t *tcp)
{
	struct sockaddr_storage own;
	struct sockaddr_storage other;
	int own_len = sizeof(own);
	int other_len = sizeof(other);
	uint32_t inode;

	if (uv_tcp_getsockname(tcp, (struct sockaddr *)&own, &own_len) != 0 ||
	    uv_tcp_getpeername(tcp, (struct sockaddr *)&other, &other_len) != 0)
		return -1;
	inode = find_inode((const struct sockaddr_in *)&own,
	    (const struct sockaddr_in *)&other);
	for (int i = 0; inode != 0 && i < EDGES; i++) {
		if (soak->edges[i].running &&
		    has_socket(soak->edges[i].process.pid, inode))
			return i;
	}
	return -1;
}
