#include <check.h>
#include <string.h>

#include "libplantainlug/packet.h"
#include "suites.h"

static struct plug_call
sample_call(void)
{
	struct plug_call call = {
		.caller = { 0x0a000001, 1234 },
		.service = { 0x0a000002, 80 },
		.ttl = PLUG_INITIAL_TTL,
		.xid = 42,
		.program = 7,
		.procedure = 3,
		.has_token = true,
		.floor = 40,
		.attempt = 1,
		.budget_ms = 2000,
		.offset = 1200,
		.body = PLUG_STR("hello"),
	};

	memset(call.token, 0x5a, sizeof(call.token));
	return call;
}

/* Guards against fields that differ between what a caller sent and what an
 * agent reads. */
START_TEST(call_round_trip)
{
	struct plug_call call = sample_call(), out;
	uint8_t buf[PLUG_PACKET_MAX];
	size_t len = plug_packet_encode_call(&call, buf, sizeof(buf));

	ck_assert_uint_gt(len, 0);
	ck_assert_int_eq(
	    plug_packet_decode_call(buf, len, &out, NULL), PLUG_OK);
	ck_assert(plug_endpoint_equal(call.caller, out.caller));
	ck_assert(plug_endpoint_equal(call.service, out.service));
	ck_assert_uint_eq(out.xid, 42);
	ck_assert_uint_eq(out.program, 7);
	ck_assert_uint_eq(out.procedure, 3);
	ck_assert(out.has_token);
	ck_assert_mem_eq(out.token, call.token, PLUG_TOKEN_SIZE);
	ck_assert_uint_eq(out.floor, 40);
	ck_assert_uint_eq(out.attempt, 1);
	ck_assert_uint_eq(out.budget_ms, 2000);
	ck_assert_uint_eq(out.offset, 1200);
	ck_assert(plug_str_equal(out.body, call.body));
}
END_TEST

START_TEST(reply_round_trip)
{
	struct plug_reply reply = {
		.caller = { 0x0a000001, 1234 },
		.service = { 0x0a000002, 80 },
		.xid = 42,
		.has_token = true,
		.outcome = PLUG_OUTCOME_NOT_RUN,
		.retry_after_ms = 50,
		.total = 10,
		.offset = 5,
		.crc = 99,
		.body = PLUG_STR("world"),
	};
	struct plug_reply out;
	uint8_t buf[PLUG_PACKET_MAX];
	size_t len;

	memset(reply.token, 0xa5, sizeof(reply.token));
	len = plug_packet_encode_reply(&reply, buf, sizeof(buf));
	ck_assert_uint_gt(len, 0);
	ck_assert_int_eq(
	    plug_packet_decode_reply(buf, len, &out, NULL), PLUG_OK);
	ck_assert(plug_endpoint_equal(reply.caller, out.caller));
	ck_assert_uint_eq(out.xid, 42);
	ck_assert(out.has_token);
	ck_assert_int_eq(out.outcome, PLUG_OUTCOME_NOT_RUN);
	ck_assert_uint_eq(out.retry_after_ms, 50);
	ck_assert_uint_eq(out.total, 10);
	ck_assert_uint_eq(out.offset, 5);
	ck_assert(plug_str_equal(out.body, reply.body));
}
END_TEST

/* Guards against reads past the end of a packet that was cut short. */
START_TEST(every_truncation_is_refused)
{
	struct plug_call call = sample_call(), out;
	uint8_t buf[PLUG_PACKET_MAX];
	size_t len = plug_packet_encode_call(&call, buf, sizeof(buf));

	for (size_t n = 0; n < len; n++)
		ck_assert_int_ne(
		    plug_packet_decode_call(buf, n, &out, NULL), PLUG_OK);
}
END_TEST

/* Guards against forwarding loops between agents with differing views. */
START_TEST(hops_run_out)
{
	struct plug_call call = sample_call(), out;
	uint8_t buf[PLUG_PACKET_MAX];
	size_t len;

	call.ttl = 2;
	len = plug_packet_encode_call(&call, buf, sizeof(buf));
	ck_assert(plug_packet_take_hop(buf, len));
	ck_assert_int_eq(
	    plug_packet_decode_call(buf, len, &out, NULL), PLUG_OK);
	ck_assert_uint_eq(out.ttl, 1);
	ck_assert(!plug_packet_take_hop(buf, len));
}
END_TEST

START_TEST(endpoint_text)
{
	static const char *const bad[] = { "", "1.2.3.4",
		"1.2.3.4:", "1.2.3.4:0", "1.2.3.4:65536", "1.2.3:1",
		"1.2.3.4:1x", "host:80" };
	struct plug_endpoint endpoint;
	char buf[32];

	ck_assert_int_eq(
	    plug_endpoint_parse(PLUG_STR("127.0.0.9:4754"), &endpoint, NULL),
	    PLUG_OK);
	(void)plug_endpoint_format(endpoint, buf, sizeof(buf));
	ck_assert_str_eq(buf, "127.0.0.9:4754");
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		ck_assert_int_eq(
		    plug_endpoint_parse(plug_str_from(bad[i]), &endpoint, NULL),
		    PLUG_E_SYNTAX);
}
END_TEST

Suite *
packet_suite(void)
{
	Suite *suite = suite_create("packet");
	TCase *test = tcase_create("packet");

	tcase_add_test(test, call_round_trip);
	tcase_add_test(test, reply_round_trip);
	tcase_add_test(test, every_truncation_is_refused);
	tcase_add_test(test, hops_run_out);
	tcase_add_test(test, endpoint_text);
	suite_add_tcase(suite, test);
	return suite;
}
