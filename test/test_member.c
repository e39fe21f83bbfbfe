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

/* Nine entry VMs, three a domain; this node is entry-0 of domain a. */
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
	dff_members_load_vms(ctx, members, vms, 9, 0);
}

static void
teardown(void)
{
	dff_members_drop(members);
	dff_ctx_drop(ctx);
}

static dff_heard_t
hear(const char *id, uint64_t incarnation, dff_time_t now)
{
	dff_member_t *member;

	return dff_members_hear(ctx, members, id, incarnation, now, &member);
}

START_TEST(silence_makes_suspect_then_dead)
{
	const dff_member_t *peer;

	ck_assert_int_eq(hear("entry-1", 5, 0), DFF_HEARD_BACK);
	ck_assert_int_eq(hear("entry-2", 5, 7 * DFF_SEC), DFF_HEARD_BACK);
	ck_assert_int_eq(hear("entry-1", 5, 2 * DFF_SEC), DFF_HEARD_SAME);
	ck_assert_ptr_null(dff_members_sweep(ctx, members, 5 * DFF_SEC));
	peer = dff_members_find(members, "entry-1");
	ck_assert_int_eq(peer->state, DFF_MEMBER_SUSPECT);
	ck_assert_ptr_eq(dff_members_sweep(ctx, members, 8 * DFF_SEC), peer);
	ck_assert_int_eq(peer->state, DFF_MEMBER_DEAD);
	ck_assert_ptr_null(dff_members_sweep(ctx, members, 8 * DFF_SEC));
	/* It was only slow: its next frame brings it back. */
	ck_assert_int_eq(hear("entry-1", 5, 9 * DFF_SEC), DFF_HEARD_BACK);
}
END_TEST

START_TEST(old_processes_and_strangers_are_not_heard)
{
	ck_assert_int_eq(hear("entry-1", 5, 0), DFF_HEARD_BACK);
	ck_assert_int_eq(hear("entry-1", 6, 1), DFF_HEARD_NEW);
	ck_assert_int_eq(hear("entry-1", 5, 2), DFF_HEARD_STALE);
	ck_assert_int_eq(hear("stranger", 1, 2), DFF_HEARD_ALIEN);
}
END_TEST

START_TEST(a_peer_that_left_stays_away_until_it_restarts)
{
	ck_assert_int_eq(hear("entry-1", 5, 0), DFF_HEARD_BACK);
	dff_members_left(ctx, members, "entry-1");
	ck_assert_int_eq(hear("entry-1", 5, 1), DFF_HEARD_STALE);
	ck_assert_int_eq(hear("entry-1", 6, 2), DFF_HEARD_NEW);
}
END_TEST

START_TEST(a_vm_replaced_at_its_name_is_a_new_peer)
{
	dff_vm_t vms[2];

	ck_assert_int_eq(hear("entry-1", 50, 0), DFF_HEARD_BACK);
	add_vm(&vms[0], 0, "a");
	add_vm(&vms[1], 1, "a");
	(void)strcpy(vms[1].addr, "127.0.0.1:1");
	dff_members_load_vms(ctx, members, vms, 2, 1);
	ck_assert_uint_eq(dff_members_count(members), 1);
	/* The new machine counts its own incarnations from the beginning. */
	ck_assert_int_eq(hear("entry-1", 1, 2), DFF_HEARD_BACK);
}
END_TEST

/* Whatever a domain's members know, exactly one of them is its relay. */
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
		dff_members_load_vms(ctx, view, vms, 3, 0);
		relays += dff_members_is_relay(view);
		dff_members_drop(view);
	}
	ck_assert_int_eq(relays, 1);
}
END_TEST

START_TEST(relays_are_told_one_a_domain)
{
	const dff_member_t *relays[9];
	size_t count;

	count = dff_members_relays(members, 0, relays, 9);
	ck_assert_uint_eq(count, 2);
	ck_assert_str_eq(relays[0]->domain, "b");
	ck_assert_str_eq(relays[1]->domain, "c");
}
END_TEST

/* A far relay that died unseen must not be asked for ever. */
START_TEST(a_silent_domain_is_asked_in_turns)
{
	const dff_member_t *relays[9];
	bool asked[9] = {false};

	for (int turn = 0; turn < 60; turn++) {
		dff_time_t now = (100 + 3 * turn) * DFF_SEC;

		(void)dff_members_relays(members, now, relays, 9);
		asked[atoi(relays[0]->id + strlen("entry-"))] = true;
	}
	ck_assert(asked[3] && asked[4] && asked[5]);
}
END_TEST

START_TEST(seen_counts_what_relays_tell)
{
	dff_member_t *relay;
	uint32_t all;

	ck_assert_uint_eq(dff_members_seen(members, 0, &all), 1);
	ck_assert_uint_eq(all, 9);
	(void)hear("entry-1", 1, 0);
	(void)dff_members_hear(ctx, members, "entry-4", 1, 0, &relay);
	relay->far_live = 3;
	ck_assert_uint_eq(dff_members_seen(members, 1, &all), 5);
	ck_assert_uint_eq(dff_members_seen(members, 20 * DFF_SEC, &all), 1);
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
	tcase_add_test(tcase, old_processes_and_strangers_are_not_heard);
	tcase_add_test(tcase, a_peer_that_left_stays_away_until_it_restarts);
	tcase_add_test(tcase, a_vm_replaced_at_its_name_is_a_new_peer);
	tcase_add_test(tcase, each_domain_has_one_relay);
	tcase_add_test(tcase, relays_are_told_one_a_domain);
	tcase_add_test(tcase, a_silent_domain_is_asked_in_turns);
	tcase_add_test(tcase, seen_counts_what_relays_tell);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
