#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "dragonflyfall/program.h"
#include "fake/netloop.h"
#include "net/peer.h"
#include "proto/dragonflyfall.pb-c.h"

#define ADDR "127.0.0.1:21131"
#define PORT 21131

/* Peer "b" listens at ADDR, and peer "a" sends to it. */
typedef struct rig {
	netloop_t net;
	dff_peers_t *from;
	dff_peers_t *to;
} rig_t;

static void
settings(dff_peers_config_t *config, const char *listen)
{
	dff_peers_defaults(config);
	config->listen = listen;
	config->retry_min = 20 * DFF_MSEC;
	config->retry_max = 100 * DFF_MSEC;
	config->queue_max = 4096;
}

static dff_peers_t *
open_peers(rig_t *rig, const char *listen)
{
	const dff_sink_t sink = netloop_sink(&rig->net);
	dff_peers_config_t config;
	dff_peers_t *peers;

	settings(&config, listen);
	ck_assert_int_eq(
	    dff_peers_new(rig->net.ctx, &rig->net.loop, &config, &sink, &peers),
	    0);
	return peers;
}

static void
rig_open(rig_t *rig)
{
	netloop_open(&rig->net);
	rig->to = open_peers(rig, ADDR);
	rig->from = open_peers(rig, "");
}

static void
rig_close(rig_t *rig)
{
	dff_peers_drop(rig->from);
	dff_peers_drop(rig->to);
	netloop_close(&rig->net);
}

/* Packs a heartbeat with a sequence number, or a leave if it is 0. */
static size_t
make_frame(const char *from, uint64_t sequence, uint8_t *data)
{
	Dff__Frame frame = DFF__FRAME__INIT;
	Dff__Heartbeat heartbeat = DFF__HEARTBEAT__INIT;
	Dff__Leave leave = DFF__LEAVE__INIT;

	frame.version = 1;
	frame.from = (char *)from;
	frame.incarnation = 5;
	heartbeat.sequence = sequence;
	frame.body_case =
	    sequence > 0 ? DFF__FRAME__BODY_HEARTBEAT : DFF__FRAME__BODY_LEAVE;
	if (sequence > 0)
		frame.heartbeat = &heartbeat;
	else
		frame.leave = &leave;
	return dff__frame__pack(&frame, data);
}

static void
send_frame(rig_t *rig, uint64_t sequence, bool replaceable)
{
	uint8_t data[256];
	const dff_fx_peer_send_t fx = {.peer = "b",
	    .addr = ADDR,
	    .replace_queued = replaceable,
	    .data = data,
	    .len = make_frame("a", sequence, data)};

	dff_peers_send(rig->from, &fx);
}

/* Packs such a frame with its length before it. */
static size_t
make_wire(const char *from, uint64_t sequence, uint8_t *wire)
{
	size_t len = make_frame(from, sequence, wire + 4);
	uint32_t length = htonl((uint32_t)len);

	memcpy(wire, &length, sizeof(length));
	return len + sizeof(length);
}

START_TEST(peer_frames_arrive)
{
	dff_peers_counts_t counts;
	rig_t rig;

	rig_open(&rig);
	/* The first frame is replaceable, so it is queued until the link is
	 * up. */
	send_frame(&rig, 1, true);
	netloop_expect(&rig.net, 2, "up b 0\nframe a 11\n");
	for (int i = 0; i < 3; i++)
		send_frame(&rig, 0, false);
	netloop_expect(&rig.net, 3, "frame a 9\nframe a 9\nframe a 9\n");
	dff_peers_counts(rig.to, &counts);
	ck_assert_uint_eq(counts.accepted, 1);
	ck_assert_uint_eq(counts.bad, 0);
	rig_close(&rig);
}
END_TEST

START_TEST(peer_replaceable_frame_replaces_the_queued_one)
{
	dff_peers_counts_t counts;
	rig_t rig;

	rig_open(&rig);
	for (uint64_t sequence = 1; sequence <= 5; sequence++)
		send_frame(&rig, sequence, true);
	/* While the link is down, other frames are dropped. */
	send_frame(&rig, 0, false);
	netloop_expect(&rig.net, 2, "up b 0\nframe a 11\n");
	netloop_run(&rig.net, 50 * DFF_MSEC);
	ck_assert_int_eq(rig.net.count, 0);
	dff_peers_counts(rig.from, &counts);
	ck_assert_uint_eq(counts.replaced, 4);
	ck_assert_uint_eq(counts.dropped, 1);
	rig_close(&rig);
}
END_TEST

START_TEST(peer_queue_is_bounded)
{
	dff_peers_counts_t counts;
	rig_t rig;

	rig_open(&rig);
	send_frame(&rig, 1, true);
	netloop_expect(&rig.net, 2, "up b 0\nframe a 11\n");
	/* Within one iteration of the loop all but the first are queued. */
	for (int i = 0; i < 1000; i++)
		send_frame(&rig, 0, false);
	dff_peers_counts(rig.from, &counts);
	ck_assert_uint_gt(counts.dropped, 500);
	ck_assert_uint_le(dff_peers_unsent(rig.from), 4096 + 16);
	rig_close(&rig);
}
END_TEST

START_TEST(peer_link_reconnects)
{
	rig_t rig;

	rig_open(&rig);
	send_frame(&rig, 1, true);
	netloop_expect(&rig.net, 2, "up b 0\nframe a 11\n");
	dff_peers_drop(rig.to);
	netloop_expect(&rig.net, 1, "down b 0\n");
	netloop_run(&rig.net, 300 * DFF_MSEC);
	send_frame(&rig, 2, true);
	ck_assert_int_eq(rig.net.count, 0);
	rig.to = open_peers(&rig, ADDR);
	netloop_expect(&rig.net, 2, "up b 0\nframe a 11\n");
	rig_close(&rig);
}
END_TEST

START_TEST(peer_garbage_closes_the_link)
{
	static const struct {
		const char *bytes;
		size_t len;
	} garbage[] = {
	    {"GET / HTTP/1.1\r\n\r\n", 18}, /* a length of over 1 MiB */
	    {"\0\0\0\0", 4}, {"\0\0\0\3xyz", 7},
	    {"\0\0\0\2\x08\x01", 6}, /* a frame without a sender */
	};
	dff_peers_counts_t counts;
	rig_t rig;
	int fd;

	rig_open(&rig);
	for (size_t i = 0; i < G_N_ELEMENTS(garbage); i++) {
		fd = netloop_connect(PORT, garbage[i].bytes, garbage[i].len);
		netloop_run(&rig.net, 30 * DFF_MSEC);
		dff_peers_counts(rig.to, &counts);
		ck_assert_uint_eq(counts.bad, i + 1);
		ck_assert_int_eq(rig.net.count, 0);
		ck_assert_ptr_nonnull(netloop_read(fd));
		close(fd);
	}
	rig_close(&rig);
}
END_TEST

START_TEST(peer_may_not_change_its_name)
{
	dff_peers_counts_t counts;
	uint8_t wire[256];
	size_t len;
	rig_t rig;
	int fd;

	rig_open(&rig);
	len = make_wire("x", 1, wire);
	fd = netloop_connect(PORT, wire, len);
	netloop_expect(&rig.net, 1, "frame x 11\n");
	len = make_wire("y", 1, wire);
	ck_assert_int_eq(send(fd, wire, len, 0), (int)len);
	netloop_run(&rig.net, 30 * DFF_MSEC);
	dff_peers_counts(rig.to, &counts);
	ck_assert_uint_eq(counts.bad, 1);
	ck_assert_int_eq(rig.net.count, 0);
	close(fd);
	rig_close(&rig);
}
END_TEST

START_TEST(peer_frames_in_pieces)
{
	uint8_t wire[256];
	size_t len = make_wire("x", 7, wire);
	rig_t rig;
	int fd;

	rig_open(&rig);
	fd = netloop_connect(PORT, wire, 2);
	for (size_t i = 2; i < len; i++) {
		netloop_run(&rig.net, 2 * DFF_MSEC);
		ck_assert_int_eq(rig.net.count, 0);
		ck_assert_int_eq(send(fd, wire + i, 1, 0), 1);
	}
	netloop_expect(&rig.net, 1, "frame x 11\n");
	close(fd);
	rig_close(&rig);
}
END_TEST

START_TEST(peer_new_connection_replaces_the_older)
{
	uint8_t wire[256];
	size_t len = make_wire("x", 7, wire);
	const char *end;
	rig_t rig;
	int old;
	int fd;

	rig_open(&rig);
	old = netloop_connect(PORT, wire, len);
	netloop_expect(&rig.net, 1, "frame x 11\n");
	fd = netloop_connect(PORT, wire, len);
	netloop_expect(&rig.net, 1, "frame x 11\n");
	netloop_run(&rig.net, 30 * DFF_MSEC);
	end = netloop_read(old);
	ck_assert_ptr_nonnull(end);
	ck_assert_str_eq(end, "");
	ck_assert_ptr_null(netloop_read(fd));
	close(old);
	close(fd);
	rig_close(&rig);
}
END_TEST

START_TEST(peer_port_in_use_is_reported)
{
	const dff_sink_t sink = {NULL, NULL};
	dff_peers_config_t config;
	dff_peers_t *peers;
	rig_t rig;

	rig_open(&rig);
	settings(&config, ADDR);
	ck_assert_int_eq(
	    dff_peers_new(rig.net.ctx, &rig.net.loop, &config, &sink, &peers),
	    -EADDRINUSE);
	ck_assert_ptr_null(peers);
	rig_close(&rig);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("peer");
	TCase *tcase = tcase_create("peer");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, peer_frames_arrive);
	tcase_add_test(tcase, peer_replaceable_frame_replaces_the_queued_one);
	tcase_add_test(tcase, peer_queue_is_bounded);
	tcase_add_test(tcase, peer_link_reconnects);
	tcase_add_test(tcase, peer_garbage_closes_the_link);
	tcase_add_test(tcase, peer_may_not_change_its_name);
	tcase_add_test(tcase, peer_frames_in_pieces);
	tcase_add_test(tcase, peer_new_connection_replaces_the_older);
	tcase_add_test(tcase, peer_port_in_use_is_reported);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
