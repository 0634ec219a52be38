#include <check.h>

#include "libplantainlug/limiter.h"
#include "libplantainlug/retry.h"
#include "suites.h"

#define NOW (1000 * PLUG_SEC)

static struct plug_document document = {
	.slots = 8,
	.cold_slots = 1,
	.cold_seconds = 10,
	.bulk_share = 0.5,
	.queue = 6,
};

static struct plug_limiter limiter;

static void
setup(void)
{
	plug_limiter_init(&limiter, NOW);
	plug_limiter_configure(&limiter, &document);
}

static void
teardown(void)
{
	plug_limiter_finish(&limiter);
}

static void
finish_ramp(void)
{
	limiter.ramp_elapsed = limiter.ramp_time;
}

/* Guards against a limit that rises faster than linearly, or that rises while
 * no request succeeds. */
START_TEST(ramp_is_linear_and_needs_success)
{
	plug_time now = NOW;

	for (unsigned int s = 0; s < 30; s++) {
		now += PLUG_SEC;
		plug_limiter_tick(&limiter, now);
	}
	ck_assert_uint_eq(plug_limiter_limit(&limiter), 1);
	for (plug_time t = 0; t < 20 * PLUG_SEC; t += 100 * PLUG_MSEC) {
		(void)plug_limiter_add_sample(
		    &limiter, now + t, 1, 10 * PLUG_MSEC, true);
		plug_limiter_tick(&limiter, now + t);
		ck_assert_uint_le(plug_limiter_limit(&limiter),
		    1 + 7 * t / (10 * PLUG_SEC) + 1);
	}
	ck_assert_uint_eq(plug_limiter_limit(&limiter), 8);
	ck_assert(plug_limiter_reset_ramp(&limiter, now + 20 * PLUG_SEC));
	ck_assert_uint_eq(plug_limiter_limit(&limiter), 1);
	ck_assert(!plug_limiter_reset_ramp(&limiter, now + 20 * PLUG_SEC));
}
END_TEST

/* Guards against a ramp that counts a pause of the process, so that a cold
 * upstream gets the full limit. */
START_TEST(pause_does_not_skip_the_ramp)
{
	(void)plug_limiter_add_sample(&limiter, NOW, 1, 10 * PLUG_MSEC, true);
	plug_limiter_tick(&limiter, NOW + 60 * PLUG_SEC);
	ck_assert_uint_eq(plug_limiter_limit(&limiter), 1);
}
END_TEST

/* Guards against requests that miss their deadline while ones with a later
 * deadline run, and against bulk requests that take all slots. */
START_TEST(earliest_deadline_first_within_bulk_share)
{
	struct plug_queue_entry bulk[6] = { 0 }, short_entries[6] = { 0 };

	finish_ramp();
	for (unsigned int i = 0; i < 6; i++)
		ck_assert_int_eq(plug_limiter_push(&limiter, &bulk[i],
				     NOW + (plug_time)(10 - i), true),
		    PLUG_OK);
	for (unsigned int i = 0; i < 4; i++)
		ck_assert_ptr_eq(
		    plug_limiter_start_next(&limiter), &bulk[5 - i]);
	/* Bulk requests get half of the 8 slots; the others stay free. */
	ck_assert_ptr_null(plug_limiter_start_next(&limiter));
	ck_assert_int_eq(
	    plug_limiter_push(&limiter, &short_entries[0], NOW + 200, false),
	    PLUG_OK);
	ck_assert_int_eq(
	    plug_limiter_push(&limiter, &short_entries[1], NOW + 100, false),
	    PLUG_OK);
	ck_assert_ptr_eq(plug_limiter_start_next(&limiter), &short_entries[1]);
	ck_assert_ptr_eq(plug_limiter_start_next(&limiter), &short_entries[0]);
	plug_limiter_release(&limiter, true);
	ck_assert_ptr_eq(plug_limiter_start_next(&limiter), &bulk[1]);
}
END_TEST

/* Guards against a bulk_share of 1 that leaves no slot for short requests. */
START_TEST(one_slot_is_left_for_short_work)
{
	struct plug_document all = document;
	struct plug_queue_entry bulk[4] = { 0 }, entry = { 0 };

	all.slots = 2;
	all.bulk_share = 1.0;
	plug_limiter_configure(&limiter, &all);
	finish_ramp();
	for (unsigned int i = 0; i < 4; i++)
		(void)plug_limiter_push(&limiter, &bulk[i], NOW, true);
	ck_assert_ptr_nonnull(plug_limiter_start_next(&limiter));
	ck_assert_ptr_null(plug_limiter_start_next(&limiter));
	(void)plug_limiter_push(&limiter, &entry, NOW + 1, false);
	ck_assert_ptr_eq(plug_limiter_start_next(&limiter), &entry);
}
END_TEST

/* Guards against a queue that grows without bound or keeps requests past their
 * deadline. */
START_TEST(queue_is_bounded_and_expires)
{
	struct plug_queue_entry entries[8] = { 0 };

	limiter.running = 1;
	for (unsigned int i = 0; i < 6; i++)
		ck_assert_int_eq(plug_limiter_push(&limiter, &entries[i],
				     NOW + (plug_time)i, false),
		    PLUG_OK);
	ck_assert_int_eq(
	    plug_limiter_push(&limiter, &entries[6], NOW, false), PLUG_E_FULL);
	ck_assert_ptr_eq(
	    plug_limiter_first_expired(&limiter, NOW + 1), &entries[0]);
	plug_limiter_remove(&limiter, &entries[0], false);
	plug_limiter_remove(&limiter, &entries[3], false);
	ck_assert_ptr_eq(
	    plug_limiter_first_expired(&limiter, NOW + 1), &entries[1]);
	plug_limiter_remove(&limiter, &entries[1], false);
	ck_assert_ptr_null(plug_limiter_first_expired(&limiter, NOW + 1));
	limiter.running = 0;
	ck_assert_ptr_eq(plug_limiter_start_next(&limiter), &entries[2]);
	plug_limiter_release(&limiter, false);
	ck_assert_ptr_eq(plug_limiter_start_next(&limiter), &entries[4]);
}
END_TEST

/* Guards against an undetected restart of the upstream when its connection
 * shows no change, or when neither its connection nor its uptime does. */
START_TEST(slow_requests_and_uptime_show_a_restart)
{
	for (unsigned int i = 0; i < 100; i++)
		ck_assert_int_eq(plug_limiter_add_sample(&limiter, NOW, 1,
				     (9 + i % 3) * PLUG_MSEC, true),
		    PLUG_RESTART_NONE);
	/* Four slow requests and a normal one don't signal a restart. */
	for (unsigned int i = 0; i < 5; i++)
		ck_assert_int_eq(plug_limiter_add_sample(&limiter, NOW, 1,
				     (i < 4 ? 50 : 10) * PLUG_MSEC, true),
		    PLUG_RESTART_NONE);
	for (unsigned int i = 0; i < 4; i++)
		ck_assert_int_eq(plug_limiter_add_sample(
				     &limiter, NOW, 1, 50 * PLUG_MSEC, true),
		    PLUG_RESTART_NONE);
	ck_assert_int_eq(
	    plug_limiter_add_sample(&limiter, NOW, 1, 50 * PLUG_MSEC, true),
	    PLUG_RESTART_SLOW);
	ck_assert_int_eq(plug_limiter_update_health(&limiter, NOW, 100, 0),
	    PLUG_RESTART_NONE);
	ck_assert_int_eq(plug_limiter_update_health(&limiter, NOW, 3, 0),
	    PLUG_RESTART_UPTIME);
}
END_TEST

/* Guards against a wrong published load that raises the limit or lowers it to
 * where the host gets no requests. */
START_TEST(published_load_only_lowers_by_half)
{
	static const double loads[] = { -5, 0, 0.2, 1, 50, 1e9 };

	finish_ramp();
	for (size_t i = 0; i < sizeof(loads) / sizeof(loads[0]); i++) {
		(void)plug_limiter_update_health(&limiter, NOW, 1, loads[i]);
		ck_assert_uint_le(plug_limiter_limit(&limiter), 8);
		ck_assert_uint_ge(plug_limiter_limit(&limiter), 4);
	}
	/* Load from the agent's own requests doesn't lower the limit. */
	limiter.running = 8;
	plug_limiter_tick(&limiter, NOW);
	(void)plug_limiter_update_health(&limiter, NOW, 1, 1.0);
	ck_assert_uint_eq(plug_limiter_limit(&limiter), 8);
}
END_TEST

/* Guards against retries that multiply the load of a failing upstream or start
 * after the caller's deadline. */
START_TEST(retries_stay_within_a_tenth)
{
	struct plug_client client = { .random = { 1, 2, 3 } };
	struct plug_retry_budget budget;
	unsigned int allowed = 0;
	plug_time retry_at;

	plug_retry_budget_init(&budget);
	for (unsigned int i = 0; i < 10000; i++) {
		plug_retry_budget_deposit(&budget);
		allowed += plug_retry_budget_take(
		    &budget, &client, NOW, NOW + PLUG_SEC, 1, &retry_at);
	}
	ck_assert_uint_le(allowed, 1000 + 10);
	ck_assert_uint_ge(allowed, 1000);
	plug_retry_budget_init(&budget);
	ck_assert(!plug_retry_budget_take(
	    &budget, &client, NOW, NOW + 5 * PLUG_MSEC, 1, &retry_at));
	for (unsigned int attempts = 1; attempts < 9; attempts++) {
		ck_assert(plug_retry_budget_take(&budget, &client, NOW,
		    NOW + 9 * PLUG_SEC, attempts, &retry_at));
		ck_assert_int_ge(retry_at - NOW, 10 * PLUG_MSEC);
		ck_assert_int_le(retry_at - NOW, PLUG_SEC);
	}
}
END_TEST

Suite *
limiter_suite(void)
{
	Suite *suite = suite_create("limiter");
	TCase *test = tcase_create("limiter");

	tcase_add_checked_fixture(test, setup, teardown);
	tcase_add_test(test, ramp_is_linear_and_needs_success);
	tcase_add_test(test, pause_does_not_skip_the_ramp);
	tcase_add_test(test, earliest_deadline_first_within_bulk_share);
	tcase_add_test(test, one_slot_is_left_for_short_work);
	tcase_add_test(test, queue_is_bounded_and_expires);
	tcase_add_test(test, slow_requests_and_uptime_show_a_restart);
	tcase_add_test(test, published_load_only_lowers_by_half);
	tcase_add_test(test, retries_stay_within_a_tenth);
	suite_add_tcase(suite, test);
	return suite;
}
