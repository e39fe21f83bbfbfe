#include <check.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "dragonflyfall/model_platform.h"
#include "dragonflyfall/model_service.h"

START_TEST(vm_list_lags)
{
	dff_vms_model_t *vms = dff_vms_model_new(2 * DFF_SEC);
	dff_vm_t vm = {.id = "e1", .kind = DFF_VM_ENGINE};
	const dff_vm_t *list;
	size_t count;

	dff_vms_model_set(vms, &vm, 0);
	dff_vms_model_read(vms, DFF_SEC, &count);
	ck_assert_uint_eq(count, 0);
	list = dff_vms_model_read(vms, 2 * DFF_SEC, &count);
	ck_assert_uint_eq(count, 1);
	ck_assert(!list[0].leaving);
	vm.leaving = true;
	dff_vms_model_set(vms, &vm, 10 * DFF_SEC);
	ck_assert(dff_vms_model_find(vms, "e1")->leaving);
	list = dff_vms_model_read(vms, 11 * DFF_SEC, &count);
	ck_assert(!list[0].leaving);
	list = dff_vms_model_read(vms, 12 * DFF_SEC, &count);
	ck_assert(list[0].leaving);
	ck_assert_int_eq(dff_vms_model_remove(vms, "e1", 13 * DFF_SEC), 0);
	ck_assert_int_eq(
	    dff_vms_model_remove(vms, "e1", 13 * DFF_SEC), -ENOENT);
	dff_vms_model_read(vms, 15 * DFF_SEC, &count);
	ck_assert_uint_eq(count, 0);
	dff_vms_model_drop(vms);
}
END_TEST

START_TEST(weight_store_limits_load_rate)
{
	dff_weights_model_t *weights = dff_weights_model_new(10 * DFF_SEC);

	ck_assert_int_eq(dff_weights_model_acquire(weights, 0), 0);
	ck_assert_int_eq(
	    dff_weights_model_acquire(weights, 4 * DFF_SEC), 6 * DFF_SEC);
	ck_assert_int_eq(dff_weights_model_acquire(weights, 10 * DFF_SEC), 0);
	dff_weights_model_drop(weights);
}
END_TEST

START_TEST(service_runs_in_slots_and_keeps_a_journal)
{
	dff_service_config_t config;
	dff_service_model_t *service;
	GArray *out = g_array_new(FALSE, TRUE, sizeof(dff_service_out_t));
	const dff_service_journal_entry_t *entries;
	size_t count;

	dff_service_config_defaults(&config);
	config.slots = 2;
	config.queue_max = 1;
	service = dff_service_model_new(&config);
	ck_assert_int_eq(dff_service_model_submit(service, 1, "k1", 11, 0), 0);
	ck_assert_int_eq(dff_service_model_submit(service, 2, "k2", 12, 0), 0);
	ck_assert_int_eq(dff_service_model_submit(service, 3, "k3", 13, 0), 0);
	ck_assert_int_eq(
	    dff_service_model_submit(service, 4, "k4", 14, 0), -EAGAIN);
	dff_service_model_journal(service, &count);
	ck_assert_uint_eq(count, 2);
	dff_service_model_advance(service, config.run_time, out);
	ck_assert_uint_eq(out->len, 2);
	entries = dff_service_model_journal(service, &count);
	ck_assert_uint_eq(count, 3);
	ck_assert_str_eq(entries[2].key, "k3");
	dff_service_model_crash(service, config.run_time, out);
	ck_assert_int_eq(
	    dff_service_model_submit(service, 5, "", 1, 0), -ESHUTDOWN);
	dff_service_model_advance(service, 60 * DFF_SEC, out);
	ck_assert(dff_service_model_up(service));
	ck_assert_uint_eq(dff_service_model_incarnation(service), 2);
	dff_service_model_journal(service, &count);
	ck_assert_uint_eq(count, 3);
	g_array_unref(out);
	dff_service_model_drop(service);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("platform_model");
	TCase *tcase = tcase_create("platform_model");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, vm_list_lags);
	tcase_add_test(tcase, weight_store_limits_load_rate);
	tcase_add_test(tcase, service_runs_in_slots_and_keeps_a_journal);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
