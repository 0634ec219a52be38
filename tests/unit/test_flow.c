#include <check.h>
#include <stdlib.h>

#include "libplantainlug/flowtable.h"
#include "suites.h"

#define NOW (1000 * PLUG_SEC)

/* Guards against a request that runs twice because its xid is accepted again
 * after the floor has passed it. */
START_TEST(window_refuses_old_and_far_xids)
{
	struct plug_flow *flow = plug_flow_create(1, NOW);
	struct plug_request *settled[PLUG_FLOW_WINDOW];
	struct plug_answers answers;

	plug_answers_init(&answers);
	ck_assert_int_eq(plug_flow_check_xid(flow, 0), PLUG_E_DUPLICATE);
	ck_assert_int_eq(plug_flow_check_xid(flow, 1), PLUG_OK);
	ck_assert_int_eq(plug_flow_check_xid(flow, 32), PLUG_OK);
	ck_assert_int_eq(plug_flow_check_xid(flow, 33), PLUG_E_WINDOW);
	for (uint32_t xid = 1; xid <= 32; xid++)
		plug_request_end(plug_flow_add_request(flow, xid, 1, false),
		    PLUG_REQUEST_REFUSED, NOW);
	ck_assert_uint_eq(flow->active_requests, 0);
	ck_assert_uint_eq(plug_flow_raise_floor(flow, 11, settled), 10);
	for (unsigned int i = 0; i < 10; i++)
		plug_request_free(settled[i], &answers);
	ck_assert_ptr_null(plug_flow_find_request(flow, 10));
	ck_assert_ptr_nonnull(plug_flow_find_request(flow, 11));
	ck_assert_int_eq(plug_flow_check_xid(flow, 10), PLUG_E_DUPLICATE);
	ck_assert_int_eq(plug_flow_check_xid(flow, 42), PLUG_OK);
	/* A delayed packet can't lower the floor. */
	ck_assert_uint_eq(plug_flow_raise_floor(flow, 3, settled), 0);
	ck_assert_uint_eq(flow->floor, 11);
	plug_flow_destroy(flow, &answers);
}
END_TEST

/* Guards against a store of idempotent answers that grows without bound, and
 * against dropping an answer that alone shows that a non-idempotent request has
 * run. */
START_TEST(idempotent_answers_are_bounded)
{
	static const char body[1 << 20];
	const struct plug_str answer = { body, sizeof(body) };
	struct plug_flow *flow = plug_flow_create(1, NOW);
	struct plug_answers answers;
	unsigned int stored = 0;

	plug_answers_init(&answers);
	for (uint32_t xid = 1; xid <= 32; xid++)
		ck_assert_int_eq(
		    plug_request_store_answer(
			plug_flow_add_request(flow, xid, 1, xid > 2), &answers,
			answer, NOW + xid),
		    PLUG_OK);
	for (uint32_t xid = 3; xid <= 32; xid++)
		stored += plug_flow_find_request(flow, xid)->has_answer;
	ck_assert_uint_eq(stored, 16);
	ck_assert_uint_le(answers.idempotent_bytes, PLUG_IDEMPOTENT_BYTES_MAX);
	plug_answers_expire(&answers, NOW + 31 * PLUG_SEC);
	ck_assert_uint_eq(answers.idempotent_bytes, 0);
	ck_assert(plug_flow_find_request(flow, 1)->has_answer);
	ck_assert_uint_eq(answers.nonidempotent_bytes, 2 * sizeof(body));
	plug_flow_destroy(flow, &answers);
	ck_assert_uint_eq(answers.nonidempotent_bytes, 0);
}
END_TEST

/* Guards against a closed flow that a late first packet creates again, and
 * against tombstones that are never removed. */
START_TEST(tombstones_last_thirty_seconds)
{
	struct plug_flow *flow = plug_flow_create(5, NOW);
	struct plug_flowtable table;
	plug_time t;

	ck_assert_int_eq(plug_flowtable_init(&table), PLUG_OK);
	plug_flowtable_insert(&table, flow);
	ck_assert_uint_eq(table.open_count, 1);
	for (t = NOW; t < NOW + 119 * PLUG_SEC; t += PLUG_SEC)
		ck_assert_ptr_null(plug_flowtable_next_expired(&table, t));
	/* 65 calls check all 4096 buckets, 64 each, with one call to spare. */
	t = NOW + 120 * PLUG_SEC;
	for (unsigned int i = 0; i < 65 && flow->state == PLUG_FLOW_OPEN; i++) {
		if (plug_flowtable_next_expired(&table, t) == flow)
			plug_flowtable_set_state(
			    &table, flow, PLUG_FLOW_CLOSED, t);
	}
	ck_assert_int_eq(flow->state, PLUG_FLOW_CLOSED);
	ck_assert_uint_eq(table.open_count, 0);
	for (unsigned int i = 0; i < 65; i++)
		ck_assert_ptr_null(
		    plug_flowtable_next_expired(&table, t + 29 * PLUG_SEC));
	ck_assert_ptr_eq(plug_flowtable_find(&table, 5), flow);
	for (unsigned int i = 0;
	     i < 65 && plug_flowtable_find(&table, 5) != NULL; i++) {
		flow = plug_flowtable_next_expired(&table, t + 30 * PLUG_SEC);
		if (flow != NULL)
			plug_flowtable_remove(&table, flow);
	}
	ck_assert_uint_eq(table.total_count, 0);
	plug_flowtable_finish(&table);
}
END_TEST

Suite *
flow_suite(void)
{
	Suite *suite = suite_create("flow");
	TCase *test = tcase_create("flow");

	tcase_add_test(test, window_refuses_old_and_far_xids);
	tcase_add_test(test, idempotent_answers_are_bounded);
	tcase_add_test(test, tombstones_last_thirty_seconds);
	suite_add_tcase(suite, test);
	return suite;
}
