#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dragonflyfall/member.h"

static dff_ctx_t *ctx;
static dff_members_t *members;

static void
add_vm(dff_vm_t *vm, int index, const char *domain)
{
	memset(vm, 0, sizeof(*vm));
	(void)snprintf(vm->id, sizeof(vm->id), "entry-%d", index);
	(void)snprintf(
	    vm->addr, sizeof(vm->addr), "127.0.0.1:%d", 9000 + index);
	(void)dff_name_copy(vm->domain, domain);
	vm->kind = DFF_VM_ENTRY;
}

/* Nine entry VMs, three per domain; this node is entry-0 of domain a. */
static void
setup(void)
{
	dff_members_config_t config = {.id = "entry-0",
	    .domain = "a",
	    .incarnation = 1,
	    .suspect_after = 3 * DFF_SEC,
	    .dead_after = 6 * DFF_SEC};
	dff_vm_t vms[9];

	for (int i = 0; i < 9; i++) {
		char domain[2] = {(char)('a' + i / 3), '\0'};

		add_vm(&vms[i], i, domain);
	}
	ctx = dff_ctx_new(1, DFF_LOG_DEBUG, NULL, NULL);
	members = dff_members_new(ctx, &config);
	dff_members_set_vms(ctx, members, vms, 9, 0);
}

static void
teardown(void)
{
	dff_members_drop(members);
	dff_ctx_drop(ctx);
}

static dff_frame_sender_t
receive(const char *id, uint64_t incarnation, dff_time_t now)
{
	dff_member_t *member;

	return dff_members_receive_frame(
	    ctx, members, id, incarnation, now, &member);
}

START_TEST(silence_makes_suspect_then_dead)
{
	const dff_member_t *peer;

	ck_assert_int_eq(receive("entry-1", 5, 0), DFF_SENDER_RETURNED);
	ck_assert_int_eq(
	    receive("entry-2", 5, 7 * DFF_SEC), DFF_SENDER_RETURNED);
	ck_assert_int_eq(receive("entry-1", 5, 2 * DFF_SEC), DFF_SENDER_LIVE);
	ck_assert_ptr_null(dff_members_sweep(ctx, members, 5 * DFF_SEC));
	peer = dff_members_find(members, "entry-1");
	ck_assert_int_eq(peer->state, DFF_MEMBER_SUSPECT);
	ck_assert_ptr_eq(dff_members_sweep(ctx, members, 8 * DFF_SEC), peer);
	ck_assert_int_eq(peer->state, DFF_MEMBER_DEAD);
	ck_assert_ptr_null(dff_members_sweep(ctx, members, 8 * DFF_SEC));
	/* It was only slow: its next frame makes it live again. */
	ck_assert_int_eq(
	    receive("entry-1", 5, 9 * DFF_SEC), DFF_SENDER_RETURNED);
}
END_TEST

START_TEST(stale_and_unknown_senders_are_rejected)
{
	ck_assert_int_eq(receive("entry-1", 5, 0), DFF_SENDER_RETURNED);
	ck_assert_int_eq(receive("entry-1", 6, 1), DFF_SENDER_RESTARTED);
	ck_assert_int_eq(receive("entry-1", 5, 2), DFF_SENDER_STALE);
	ck_assert_int_eq(receive("stranger", 1, 2), DFF_SENDER_UNKNOWN);
}
END_TEST

START_TEST(left_peer_is_ignored_until_it_restarts)
{
	ck_assert_int_eq(receive("entry-1", 5, 0), DFF_SENDER_RETURNED);
	dff_members_mark_left(ctx, members, "entry-1");
	ck_assert_int_eq(receive("entry-1", 5, 1), DFF_SENDER_STALE);
	ck_assert_int_eq(receive("entry-1", 6, 2), DFF_SENDER_RESTARTED);
}
END_TEST

START_TEST(vm_replaced_under_the_same_id_is_a_new_peer)
{
	dff_vm_t vms[2];

	ck_assert_int_eq(receive("entry-1", 50, 0), DFF_SENDER_RETURNED);
	add_vm(&vms[0], 0, "a");
	add_vm(&vms[1], 1, "a");
	(void)strcpy(vms[1].addr, "127.0.0.1:1");
	dff_members_set_vms(ctx, members, vms, 2, 1);
	ck_assert_uint_eq(dff_members_count(members), 1);
	/* The new VM counts its incarnations from the beginning. */
	ck_assert_int_eq(receive("entry-1", 1, 2), DFF_SENDER_RETURNED);
}
END_TEST

/* Members with the same view agree on exactly one relay per domain. */
START_TEST(each_domain_has_one_relay)
{
	int relays = 0;

	for (int self = 0; self < 3; self++) {
		dff_members_config_t config = {.domain = "a",
		    .incarnation = 1,
		    .suspect_after = 3 * DFF_SEC,
		    .dead_after = 6 * DFF_SEC};
		dff_members_t *view;
		dff_vm_t vms[3];

		(void)snprintf(config.id, sizeof(config.id), "entry-%d", self);
		for (int i = 0; i < 3; i++)
			add_vm(&vms[i], i, "a");
		view = dff_members_new(ctx, &config);
		dff_members_set_vms(ctx, view, vms, 3, 0);
		relays += dff_members_is_relay(view);
		dff_members_drop(view);
	}
	ck_assert_int_eq(relays, 1);
}
END_TEST

START_TEST(one_relay_is_listed_per_other_domain)
{
	const dff_member_t *relays[9];
	size_t count;

	count = dff_members_relays(members, 0, relays, 9);
	ck_assert_uint_eq(count, 2);
	ck_assert_str_eq(relays[0]->domain, "b");
	ck_assert_str_eq(relays[1]->domain, "c");
}
END_TEST

/* A relay of another domain may have died unnoticed: choose others as well. */
START_TEST(relay_of_a_silent_domain_rotates)
{
	const dff_member_t *relays[9];
	bool chosen[9] = {false};

	for (int turn = 0; turn < 60; turn++) {
		dff_time_t now = (100 + 3 * turn) * DFF_SEC;

		(void)dff_members_relays(members, now, relays, 9);
		chosen[atoi(relays[0]->id + strlen("entry-"))] = true;
	}
	ck_assert(chosen[3] && chosen[4] && chosen[5]);
}
END_TEST

START_TEST(visible_count_includes_nodes_reported_by_relays)
{
	dff_member_t *relay;
	uint32_t all;

	ck_assert_uint_eq(dff_members_count_visible(members, 0, &all), 1);
	ck_assert_uint_eq(all, 9);
	(void)receive("entry-1", 1, 0);
	(void)dff_members_receive_frame(ctx, members, "entry-4", 1, 0, &relay);
	relay->remote_live = 3;
	ck_assert_uint_eq(dff_members_count_visible(members, 1, &all), 5);
	ck_assert_uint_eq(
	    dff_members_count_visible(members, 20 * DFF_SEC, &all), 1);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("member");
	TCase *tcase = tcase_create("member");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, silence_makes_suspect_then_dead);
	tcase_add_test(tcase, stale_and_unknown_senders_are_rejected);
	tcase_add_test(tcase, left_peer_is_ignored_until_it_restarts);
	tcase_add_test(tcase, vm_replaced_under_the_same_id_is_a_new_peer);
	tcase_add_test(tcase, each_domain_has_one_relay);
	tcase_add_test(tcase, one_relay_is_listed_per_other_domain);
	tcase_add_test(tcase, relay_of_a_silent_domain_rotates);
	tcase_add_test(tcase, visible_count_includes_nodes_reported_by_relays);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
