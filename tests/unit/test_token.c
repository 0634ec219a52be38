#include <check.h>
#include <string.h>

#include "libplantainlug/token.h"
#include "suites.h"

static struct plug_token_keys keys = { .count = 2,
	.keys = { { 1, 2, 3 }, { 4, 5, 6 } } };

static struct plug_token sample = {
	.service = 7,
	.agent = { 0x7f000001, 4754 },
	.domain = 0x12345678,
	.generation = 3,
	.instance = 0x1122334455667788ULL,
	.flow = 0x99aabbccddeeff00ULL,
	.minted_ms = 4000000000U,
};

/* Guards against a field that is lost or moved between seal and open. */
START_TEST(round_trip)
{
	uint8_t wire[PLUG_TOKEN_SIZE];
	struct plug_token token;

	plug_token_seal(&sample, &keys, wire);
	ck_assert_int_eq(plug_token_open(wire, &keys, &token), PLUG_OK);
	ck_assert_uint_eq(token.service, sample.service);
	ck_assert(plug_endpoint_equal(token.agent, sample.agent));
	ck_assert_uint_eq(token.domain, sample.domain);
	ck_assert_uint_eq(token.generation, sample.generation);
	ck_assert_uint_eq(token.instance, sample.instance);
	ck_assert_uint_eq(token.flow, sample.flow);
	ck_assert_uint_eq(token.minted_ms, sample.minted_ms);
}
END_TEST

/* Guards against a forged token that steers packets to another host. */
START_TEST(any_changed_bit_is_refused)
{
	uint8_t wire[PLUG_TOKEN_SIZE];
	struct plug_token token;

	for (int i = 0; i < PLUG_TOKEN_SIZE * 8; i++) {
		plug_token_seal(&sample, &keys, wire);
		wire[i / 8] ^= (uint8_t)(1 << i % 8);
		ck_assert_int_ne(plug_token_open(wire, &keys, &token), PLUG_OK);
	}
}
END_TEST

/* Guards against flows that break when a service's key is rotated. */
START_TEST(older_key_still_verifies)
{
	struct plug_token_keys rotated = keys;
	uint8_t wire[PLUG_TOKEN_SIZE];
	struct plug_token token;

	plug_token_seal(&sample, &keys, wire);
	memcpy(rotated.keys[0], keys.keys[1], PLUG_TOKEN_KEY_SIZE);
	memcpy(rotated.keys[1], keys.keys[0], PLUG_TOKEN_KEY_SIZE);
	ck_assert_int_eq(plug_token_open(wire, &rotated, &token), PLUG_OK);
	rotated.count = 1;
	ck_assert_int_eq(plug_token_open(wire, &rotated, &token), PLUG_E_TOKEN);
}
END_TEST

/* Guards against a token that is accepted after its key was withdrawn. */
START_TEST(withdrawn_key_is_refused)
{
	struct plug_token_keys left = { .count = 1 };
	uint8_t wire[PLUG_TOKEN_SIZE];
	struct plug_token token;

	plug_token_seal(&sample, &keys, wire);
	memcpy(left.keys[0], keys.keys[1], PLUG_TOKEN_KEY_SIZE);
	ck_assert_int_ne(plug_token_open(wire, &left, &token), PLUG_OK);
}
END_TEST

Suite *
token_suite(void)
{
	Suite *suite = suite_create("token");
	TCase *test = tcase_create("token");

	tcase_add_test(test, round_trip);
	tcase_add_test(test, any_changed_bit_is_refused);
	tcase_add_test(test, older_key_still_verifies);
	tcase_add_test(test, withdrawn_key_is_refused);
	suite_add_tcase(suite, test);
	return suite;
}
