#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libplantainlug/document.h"
#include "libplantainlug/view.h"
#include "suites.h"

#define HEAD                                                         \
	"{ // comment\n\"schema\": 1, \"service\": \"numbering\",\n" \
	"\"service_id\": 7, \"address\": \"10.0.0.1:4750\",\n"
#define LIMITS                                                 \
	"\"slots\": 2, \"connections\": 2000, \"queue\": 8,\n" \
	"\"cold_start\": {\"seconds\": 20, \"slots\": 1},\n"
#define OPERATIONS                                                             \
	"\"operations\": [{\"procedure\": 1, \"name\": \"confirm\",\n"         \
	"\"idempotent\": false, \"class\": \"short\", \"deadline_ms\": 2000}," \
	"\n{\"procedure\": 2, \"name\": \"book\", \"idempotent\": true,\n"     \
	"\"class\": \"bulk\", \"deadline_ms\": 60000}],\n"
#define KEYS                                                       \
	"\"token_keys\": [\"000102030405060708090a0b0c0d0e0f\",\n" \
	"\"101112131415161718191a1b1c1d1e1f\"]"

static const char good[] =
    HEAD LIMITS OPERATIONS "\"bulk_share\": 0.5, /* half */\n"
			   "\"domains_out\": [\"east\"],\n" KEYS "}\n// end\n";

/* Guards against a key that is checked but not stored. */
START_TEST(accepts_every_key)
{
	struct plug_document document;
	struct plug_status status;

	plug_status_init(&status);
	ck_assert_msg(plug_document_parse(
			  plug_str_from(good), &document, &status) == PLUG_OK,
	    "%s", status.message);
	ck_assert_str_eq(document.name, "numbering");
	ck_assert_uint_eq(document.service, 7);
	ck_assert_uint_eq(document.address.port, 4750);
	ck_assert_uint_eq(document.connections, 2000);
	ck_assert_uint_eq(document.queue, 8);
	ck_assert_uint_eq(document.cold_seconds, 20);
	ck_assert_uint_eq(document.cold_slots, 1);
	ck_assert_double_eq(document.bulk_share, 0.5);
	ck_assert_uint_eq(document.operation_count, 2);
	ck_assert_int_eq(document.operations[1].class, PLUG_CLASS_BULK);
	ck_assert(document.operations[1].idempotent);
	ck_assert(plug_document_domain_out(
	    &document, plug_domain_hash(PLUG_STR("east"))));
	ck_assert_uint_eq(document.token_keys.count, 2);
	ck_assert_uint_eq(document.token_keys.keys[1][15], 0x1f);
}
END_TEST

static const struct {
	const char *from;
	const char *to;
	enum plug_code code;
	const char *message;
} bad_documents[] = {
	{ "\"schema\": 1", "\"schema\": 2", PLUG_E_SCHEMA, "line 2: unknown" },
	{ "\"schema\": 1,", "", PLUG_E_MISSING_KEY, "missing key \"schema\"" },
	{ "\"service_id\": 7", "\"service_id\": 0", PLUG_E_RANGE, "line 3: " },
	{ "\"service_id\": 7", "\"service_id\": 2147483648", PLUG_E_RANGE,
	    "line 3: " },
	{ "\"service_id\": 7", "\"service_id\": \"7\"", PLUG_E_TYPE,
	    "line 3: service_id: must be a whole number" },
	{ "\"service_id\": 7", "\"service_id\": 7.5", PLUG_E_TYPE, "line 3: " },
	{ "numbering", "num bering", PLUG_E_RANGE, "line 2: " },
	{ "numbering", "entries", PLUG_E_RANGE, "line 2: service: the name" },
	{ "10.0.0.1:4750", "10.0.0.1", PLUG_E_RANGE, "line 3: " },
	{ "\"slots\": 2", "\"slots\": 1025", PLUG_E_RANGE, "line 4: slots" },
	{ "\"queue\"", "\"queu\"", PLUG_E_UNKNOWN_KEY,
	    "line 4: unknown key \"queu\"; did you mean \"queue\"?" },
	{ "\"queue\": 8", "\"queue\": -1", PLUG_E_RANGE, "line 4: queue" },
	{ "\"queue\"", "\"slots\"", PLUG_E_SYNTAX, "appears twice" },
	{ "\"slots\": 1}", "\"slots\": 3}", PLUG_E_RANGE,
	    "line 5: cold_start.slots" },
	{ "\"seconds\": 20", "\"seconds\": 3601", PLUG_E_RANGE,
	    "line 5: seconds" },
	{ "\"procedure\": 2", "\"procedure\": 1", PLUG_E_RANGE,
	    "line 8: operations: procedure 1 appears twice" },
	{ "\"procedure\": 1", "\"procedure\": 0", PLUG_E_RANGE, "line 6: " },
	{ "\"bulk\"", "\"large\"", PLUG_E_RANGE, "line 9: class" },
	{ "\"idempotent\": true", "\"idempotent\": 1", PLUG_E_TYPE,
	    "line 8: idempotent: must be true or false" },
	{ "60000", "600001", PLUG_E_RANGE, "line 9: deadline_ms" },
	{ "0.5", "0.05", PLUG_E_RANGE, "line 10: bulk_share" },
	{ "0.5", "NaN", PLUG_E_RANGE, "line 10: bulk_share" },
	{ "[\"east\"]", "\"east\"", PLUG_E_TYPE, "line 11: domains_out" },
	{ "1a1b1c1d1e1f", "1a1b1c1d1e1", PLUG_E_RANGE, "line 13: token_keys" },
	{ "1a1b1c1d1e1f", "1a1b1c1d1e1g", PLUG_E_RANGE, "line 13: " },
	{ "// end", "end", PLUG_E_SYNTAX, "line 14: " },
	{ "\"queue\": 8", "\"queue\" 8", PLUG_E_SYNTAX, "line 4: " },
};

/* Returns the good document with one replacement; the caller frees it. */
static char *
replace(const char *from, const char *to)
{
	const char *at = strstr(good, from);
	size_t size = sizeof(good) + strlen(to);
	char *text = malloc(size);

	ck_assert_ptr_nonnull(at);
	ck_assert_ptr_nonnull(text);
	(void)snprintf(text, size, "%.*s%s%s", (int)(at - good), good, to,
	    at + strlen(from));
	return text;
}

/* Guards against a wrong document that comes into force, and against reasons
 * that point an operator to the wrong line. */
START_TEST(refuses_with_line_and_reason)
{
	struct plug_document document;
	struct plug_status status;
	char *text = replace(bad_documents[_i].from, bad_documents[_i].to);

	plug_status_init(&status);
	ck_assert_int_eq(
	    plug_document_parse(plug_str_from(text), &document, &status),
	    bad_documents[_i].code);
	ck_assert_msg(strstr(status.message, bad_documents[_i].message) != NULL,
	    "%s", status.message);
	free(text);
}
END_TEST

/* Guards against reads past the end and leaks when a value is cut short. */
START_TEST(refuses_every_truncation)
{
	struct plug_document document;

	for (size_t n = 0; n < strlen(good) - strlen("\n// end\n"); n++)
		ck_assert_int_eq(
		    plug_document_parse(
			(struct plug_str){ good, n }, &document, NULL),
		    PLUG_E_SYNTAX);
}
END_TEST

#define MEMBER(name, address, state)                       \
	"{\"name\": \"" name "\", \"address\": \"" address \
	"\", \"domain\": \"east\", \"state\": \"" state "\"}"

/* Guards against an instance list in another order than every process uses,
 * and against lists with doubtful lines. */
START_TEST(reads_instance_lists)
{
	static const char list[] = "[" MEMBER("b", "127.0.0.2:1",
	    "leaving") "," MEMBER("a", "127.0.0.1:1", "live") "]";
	static const char *const bad[] = { "{}", "[1]", "[{}]",
		"[" MEMBER("a", "127.0.0.1:1", "dead") "]",
		"[" MEMBER("a", "127.0.0.1", "live") "]",
		"[" MEMBER("a", "127.0.0.1:1", "live") "," MEMBER(
		    "a", "127.0.0.2:1", "live") "]" };
	struct plug_member *members;
	unsigned int count;

	ck_assert_int_eq(
	    plug_members_parse(plug_str_from(list), &members, &count, NULL),
	    PLUG_OK);
	ck_assert_uint_eq(count, 2);
	ck_assert_str_eq(members[0].name, "a");
	ck_assert_int_eq(members[1].state, PLUG_MEMBER_LEAVING);
	ck_assert_uint_eq(
	    members[0].domain, plug_domain_hash(PLUG_STR("east")));
	free(members);
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		ck_assert_int_ne(plug_members_parse(plug_str_from(bad[i]),
				     &members, &count, NULL),
		    PLUG_OK);
}
END_TEST

Suite *
document_suite(void)
{
	Suite *suite = suite_create("document");
	TCase *test = tcase_create("document");

	tcase_add_test(test, accepts_every_key);
	tcase_add_loop_test(test, refuses_with_line_and_reason, 0,
	    sizeof(bad_documents) / sizeof(bad_documents[0]));
	tcase_add_test(test, refuses_every_truncation);
	tcase_add_test(test, reads_instance_lists);
	suite_add_tcase(suite, test);
	return suite;
}
