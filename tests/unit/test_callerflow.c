#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "standins/callerflow.h"
#include "suites.h"

#define SEND_MAX 64 /* calls remembered */
#define DEADLINE (8 * PLUG_SEC)

/* What the flow under test has done, and the flow itself. */
static struct {
	struct plug_callerflow flow;
	struct plug_client client;
	struct plug_call calls[SEND_MAX];
	size_t sent;
	unsigned int settled;
	unsigned int broken;
	unsigned int renewed;
	struct plug_callerflow_result last;
	uint8_t answer[21 * PLUG_BLOCK_SIZE];
} t;

static struct plug_endpoint caller = { 0x7f000001, 1000 };
static struct plug_endpoint service = { 0x7f000001, 2000 };

static void
on_send(void *data, const uint8_t *packet, size_t len)
{
	struct plug_call *call = &t.calls[t.sent % SEND_MAX];

	(void)data;
	ck_assert_int_eq(
	    plug_packet_decode_call(packet, len, call, NULL), PLUG_OK);
	t.sent++;
}

static void
on_settled(void *data, const struct plug_callerflow_result *result)
{
	(void)data;
	t.settled++;
	t.last = *result;
	if (result->answer.len > 0 && result->answer.len <= sizeof(t.answer))
		memcpy(t.answer, result->answer.data, result->answer.len);
}

static void
on_broken(void *data, enum plug_callerflow_reason reason)
{
	(void)data;
	(void)reason;
	t.broken++;
}

static void
on_renew(void *data)
{
	(void)data;
	t.renewed++;
}

static const struct plug_callerflow_handler handler = { NULL, on_send,
	on_settled, on_broken, on_renew };

static const struct plug_call *
last_call(void)
{
	return &t.calls[(t.sent - 1) % SEND_MAX];
}

static void
deliver(plug_time now, struct plug_reply reply, const char *token)
{
	uint8_t buf[PLUG_PACKET_MAX];
	size_t len;

	reply.caller = caller;
	reply.service = service;
	if (token != NULL) {
		reply.has_token = true;
		memset(reply.token, token[0], sizeof(reply.token));
	}
	len = plug_packet_encode_reply(&reply, buf, sizeof(buf));
	ck_assert_uint_gt(len, 0);
	plug_callerflow_receive(&t.flow, now, buf, len);
}

static void
setup(void)
{
	memset(&t, 0, sizeof(t));
	t.client.random[0] = 1;
	plug_callerflow_init(&t.flow, &t.client, &handler, caller, service, 7);
	plug_callerflow_open(&t.flow, 0);
	deliver(0, (struct plug_reply){ .xid = t.calls[0].xid }, "A");
}

static void
teardown(void)
{
	plug_callerflow_finish(&t.flow);
}

static uint32_t
submit(plug_time now)
{
	uint32_t xid;

	ck_assert_int_eq(plug_callerflow_submit(&t.flow, now, 2,
			     PLUG_STR("body"), false, now + DEADLINE, 9, &xid),
	    PLUG_OK);
	return xid;
}

/* Ticks every 10 ms from one time to another. */
static void
run(plug_time from, plug_time to)
{
	for (; from <= to; from += 10 * PLUG_MSEC)
		plug_callerflow_tick(&t.flow, from);
}

/*
 * Guards against a flow that stays on the second token of a duplicated opening
 * call, for which no agent keeps a record.
 */
START_TEST(first_token_wins)
{
	ck_assert(!t.calls[0].has_token);
	ck_assert_uint_eq(t.calls[0].procedure, PLUG_PROCEDURE_NULL);
	ck_assert(t.calls[1].has_token);
	deliver(0, (struct plug_reply){ .xid = t.calls[0].xid }, "B");
	ck_assert_uint_eq(submit(0), 1);
	ck_assert_uint_eq(last_call()->token[0], 'A');
	ck_assert_uint_eq(last_call()->program, 7);
}
END_TEST

/* Guards against a flow that keeps the token of an agent that has left. */
START_TEST(moved_flow_uses_new_token)
{
	deliver(0, (struct plug_reply){ .xid = 0 }, "C");
	submit(0);
	ck_assert_uint_eq(last_call()->token[0], 'C');
	ck_assert_uint_eq(t.flow.moves, 1);
}
END_TEST

/*
 * Guards against a request that is given up early, resent without limit or
 * settled twice when its answer is late.
 */
START_TEST(resends_until_the_deadline)
{
	struct plug_reply late = { .xid = submit(0) };
	size_t sent = t.sent;

	run(0, 190 * PLUG_MSEC);
	ck_assert_uint_eq(t.sent, sent);
	run(200 * PLUG_MSEC, 250 * PLUG_MSEC);
	ck_assert_uint_eq(t.sent, sent + 1);
	ck_assert_uint_eq(last_call()->attempt, 1);
	ck_assert_uint_eq(last_call()->xid, late.xid);
	run(260 * PLUG_MSEC, DEADLINE - 10 * PLUG_MSEC);
	ck_assert_uint_eq(t.settled, 0);
	ck_assert_uint_ge(t.flow.resends, 4);
	ck_assert_uint_le(t.flow.resends, 6);
	run(DEADLINE, DEADLINE);
	ck_assert_uint_eq(t.settled, 1);
	ck_assert_int_eq(t.last.outcome, PLUG_CALLERFLOW_UNKNOWN);
	ck_assert_uint_eq(t.last.tag, 9);
	deliver(DEADLINE, late, NULL);
	ck_assert_uint_eq(t.settled, 1);
}
END_TEST

/* Guards against a caller that stays on a source port whose path is dead. */
START_TEST(silent_path_renews_the_port)
{
	submit(0);
	run(0, 1700 * PLUG_MSEC);
	ck_assert_uint_eq(t.flow.resends, 3);
	ck_assert_uint_eq(t.renewed, 0);
	run(1710 * PLUG_MSEC, 4 * PLUG_SEC);
	ck_assert_uint_eq(t.flow.resends, 4);
	ck_assert_uint_eq(t.renewed, 1);
}
END_TEST

/* Guards against an idle flow that doesn't notice a dead path. */
START_TEST(unanswered_heartbeats_renew_the_port)
{
	run(0, 14 * PLUG_SEC);
	ck_assert_uint_eq(t.renewed, 0);
	run(15 * PLUG_SEC, 15 * PLUG_SEC);
	ck_assert_uint_eq(t.renewed, 1);
	ck_assert_uint_eq(t.flow.next_xid, 1);
}
END_TEST

/* Guards against a refusal whose time to retry is lost, or that is resent. */
START_TEST(refused_request_is_not_resent)
{
	struct plug_reply refusal = { .xid = submit(0),
		.outcome = PLUG_OUTCOME_NOT_RUN,
		.retry_after_ms = 50 };
	size_t sent = t.sent;

	deliver(0, refusal, NULL);
	ck_assert_int_eq(t.last.outcome, PLUG_CALLERFLOW_NOT_RUN);
	ck_assert_uint_eq(t.last.retry_after_ms, 50);
	run(0, 4 * PLUG_SEC);
	ck_assert_uint_eq(t.sent, sent);
	ck_assert_uint_eq(submit(0), 2);
	ck_assert_uint_eq(last_call()->floor, 2);
}
END_TEST

/* Guards against requests of a lost flow that are never settled. */
START_TEST(lost_flow_settles_everything)
{
	struct plug_reply lost = { .xid = submit(0),
		.outcome = PLUG_OUTCOME_FLOW_LOST };

	submit(0);
	deliver(0, lost, NULL);
	ck_assert_uint_eq(t.settled, 2);
	ck_assert_int_eq(t.last.outcome, PLUG_CALLERFLOW_UNKNOWN);
	ck_assert_uint_eq(t.broken, 1);
	ck_assert_int_eq(plug_callerflow_submit(&t.flow, 0, 2, PLUG_STR("body"),
			     false, DEADLINE, 0, NULL),
	    PLUG_E_FLOW_LOST);
	run(0, DEADLINE);
	ck_assert_uint_eq(t.settled, 2);
	ck_assert_uint_eq(t.broken, 1);
}
END_TEST

/* Guards against more xids above the floor than an agent records. */
START_TEST(window_is_bounded)
{
	struct plug_reply reply = { 0 };

	for (uint32_t i = 1; i <= PLUG_CALLERFLOW_WINDOW; i++)
		ck_assert_uint_eq(submit(0), i);
	reply.xid = 2;
	deliver(0, reply, NULL);
	ck_assert_int_eq(plug_callerflow_submit(&t.flow, 0, 2, PLUG_STR("body"),
			     false, DEADLINE, 0, NULL),
	    PLUG_E_WINDOW);
	reply.xid = 1;
	deliver(0, reply, NULL);
	ck_assert_uint_eq(submit(0), PLUG_CALLERFLOW_WINDOW + 1);
	ck_assert_uint_eq(last_call()->floor, 3);
}
END_TEST

/*
 * Guards against answers that are accepted incomplete, damaged or put together
 * in the wrong order, and against more than 16 blocks on their way.
 */
START_TEST(large_answer_is_complete)
{
	static uint8_t whole[20 * PLUG_BLOCK_SIZE + 5];
	struct plug_reply reply = { .xid = submit(0), .total = sizeof(whole) };
	size_t sent = t.sent;

	for (size_t i = 0; i < sizeof(whole); i++)
		whole[i] = (uint8_t)(i / PLUG_BLOCK_SIZE + i % 7);
	reply.crc = XXH32(whole, sizeof(whole), 0);
	for (uint32_t i = 21; i-- > 0;) {
		reply.offset = i * PLUG_BLOCK_SIZE;
		reply.body.data = (const char *)whole + reply.offset;
		reply.body.len = i == 20 ? 5 : PLUG_BLOCK_SIZE;
		deliver(0, reply, NULL);
		deliver(0, reply, NULL);
		ck_assert_uint_eq(t.settled, i == 0 ? 1 : 0);
		if (i == 20)
			ck_assert_uint_eq(
			    t.sent - sent, PLUG_CALLERFLOW_BLOCKS);
	}
	ck_assert_int_eq(t.last.outcome, PLUG_CALLERFLOW_ANSWERED);
	ck_assert_uint_eq(t.last.answer.len, sizeof(whole));
	ck_assert_mem_eq(t.answer, whole, sizeof(whole));
}
END_TEST

/* Guards against a damaged answer that is taken for the right one. */
START_TEST(damaged_answer_is_refused)
{
	struct plug_reply reply = { .xid = submit(0),
		.total = 4,
		.crc = XXH32("good", 4, 0),
		.body = PLUG_STR("evil") };

	deliver(0, reply, NULL);
	ck_assert_uint_eq(t.settled, 0);
	reply.body = PLUG_STR("good");
	deliver(0, reply, NULL);
	ck_assert_uint_eq(t.settled, 1);
	ck_assert_int_eq(t.last.outcome, PLUG_CALLERFLOW_ANSWERED);
	ck_assert_mem_eq(t.answer, "good", 4);
}
END_TEST

/* Guards against a caller that gives up, or hurries, when nobody can open. */
START_TEST(refused_opening_waits)
{
	struct plug_reply refusal = { .outcome = PLUG_OUTCOME_NOT_RUN,
		.retry_after_ms = 100 };
	size_t sent;

	plug_callerflow_finish(&t.flow);
	plug_callerflow_init(&t.flow, &t.client, &handler, caller, service, 7);
	plug_callerflow_open(&t.flow, 0);
	refusal.xid = last_call()->xid;
	sent = t.sent;
	deliver(0, refusal, NULL);
	run(0, 90 * PLUG_MSEC);
	ck_assert_uint_eq(t.sent, sent);
	run(100 * PLUG_MSEC, 100 * PLUG_MSEC);
	ck_assert_uint_eq(t.sent, sent + 1);
	ck_assert_uint_eq(t.broken, 0);
	submit(100 * PLUG_MSEC);
	run(110 * PLUG_MSEC, PLUG_CALLERFLOW_PATIENCE);
	ck_assert_uint_eq(t.broken, 1);
	ck_assert_uint_eq(t.settled, 1);
	ck_assert_int_eq(t.last.outcome, PLUG_CALLERFLOW_NOT_RUN);
}
END_TEST

/* Guards against a download that stops at the first block that is lost. */
START_TEST(lost_block_is_asked_for_again)
{
	static const char zeros[2 * PLUG_BLOCK_SIZE];
	struct plug_reply reply = { .xid = submit(0),
		.total = sizeof(zeros),
		.crc = XXH32(zeros, sizeof(zeros), 0),
		.body = { zeros, PLUG_BLOCK_SIZE } };
	size_t sent;

	deliver(0, reply, NULL);
	ck_assert_uint_eq(last_call()->offset, PLUG_BLOCK_SIZE);
	ck_assert_uint_eq(last_call()->attempt, 0);
	sent = t.sent;
	run(0, 250 * PLUG_MSEC);
	ck_assert_uint_eq(t.sent, sent + 1);
	ck_assert_uint_eq(last_call()->offset, PLUG_BLOCK_SIZE);
	ck_assert_uint_eq(last_call()->attempt, 1);
	reply.offset = PLUG_BLOCK_SIZE;
	deliver(250 * PLUG_MSEC, reply, NULL);
	ck_assert_int_eq(t.last.outcome, PLUG_CALLERFLOW_ANSWERED);
}
END_TEST

/* Guards against "not run" for a request whose answer has begun to arrive. */
START_TEST(refusal_after_a_block_is_unknown)
{
	static const char zeros[2 * PLUG_BLOCK_SIZE];
	struct plug_reply reply = { .xid = submit(0),
		.total = sizeof(zeros),
		.body = { zeros, PLUG_BLOCK_SIZE } };
	struct plug_reply refusal = { .xid = reply.xid,
		.outcome = PLUG_OUTCOME_NOT_RUN };

	deliver(0, reply, NULL);
	deliver(0, refusal, NULL);
	ck_assert_uint_eq(t.settled, 1);
	ck_assert_int_eq(t.last.outcome, PLUG_CALLERFLOW_UNKNOWN);
}
END_TEST

Suite *
callerflow_suite(void)
{
	Suite *suite = suite_create("callerflow");
	TCase *test = tcase_create("callerflow");

	tcase_add_checked_fixture(test, setup, teardown);
	tcase_add_test(test, first_token_wins);
	tcase_add_test(test, moved_flow_uses_new_token);
	tcase_add_test(test, resends_until_the_deadline);
	tcase_add_test(test, silent_path_renews_the_port);
	tcase_add_test(test, unanswered_heartbeats_renew_the_port);
	tcase_add_test(test, refused_request_is_not_resent);
	tcase_add_test(test, lost_flow_settles_everything);
	tcase_add_test(test, window_is_bounded);
	tcase_add_test(test, large_answer_is_complete);
	tcase_add_test(test, damaged_answer_is_refused);
	tcase_add_test(test, refused_opening_waits);
	tcase_add_test(test, lost_block_is_asked_for_again);
	tcase_add_test(test, refusal_after_a_block_is_unknown);
	suite_add_tcase(suite, test);
	return suite;
}
