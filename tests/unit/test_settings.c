#include <check.h>
#include <stdio.h>
#include <string.h>

#include "libplantainlug/settings.h"
#include "suites.h"

#define COMMON                                                              \
	"\"name\": \"a1\", \"domain\": \"east\",\n"                         \
	"\"listen\": \"127.0.0.1:4754\", \"fabric\": \"127.0.0.1:4755\",\n" \
	"\"config_service\": [\"127.0.0.1:8500\"],\n"
#define AGENT                                              \
	"\"service\": \"numbering\", \"service_id\": 7,\n" \
	"\"upstream\": \"127.0.0.1:9000\""

/* Guards against settings that are accepted and then ignored. */
START_TEST(accepts_both_roles)
{
	struct plug_settings settings;
	struct plug_status status;

	plug_status_init(&status);
	ck_assert_msg(plug_settings_parse(
			  PLUG_STR("{\"role\": \"entry\",\n" COMMON
				   "\"peers\": [\"127.0.0.2:4754\"],"
				   "\"log\": {\"level\": \"debug\", \"file\": "
				   "\"/tmp/e.log\"}, \"threads\": 4}"),
			  &settings, &status) == PLUG_OK,
	    "%s", status.message);
	ck_assert_int_eq(settings.role, PLUG_ROLE_ENTRY);
	ck_assert_uint_eq(settings.threads, 4);
	ck_assert_uint_eq(settings.seed_count, 1);
	ck_assert_uint_eq(settings.config_services[0].port, 8500);
	ck_assert_int_eq(settings.log_level, PLUG_LOG_DEBUG);
	ck_assert_str_eq(settings.log_file, "/tmp/e.log");
	ck_assert_int_eq(plug_settings_parse(
			     PLUG_STR("{\"role\": \"agent\"," COMMON AGENT "}"),
			     &settings, NULL),
	    PLUG_OK);
	ck_assert_uint_eq(settings.service_id, 7);
	ck_assert_uint_eq(settings.upstream.port, 9000);
	ck_assert_int_eq(settings.log_level, PLUG_LOG_INFO);
}
END_TEST

/* Guards against a process that starts with settings meant for another role or
 * with a misspelt key. */
START_TEST(refuses_wrong_settings)
{
	static const struct {
		const char *text;
		enum plug_code code;
		const char *message;
	} bad[] = {
		{ "{\"role\": \"entry\",\n" COMMON "\"thread\": 4}",
		    PLUG_E_UNKNOWN_KEY,
		    "line 5: unknown key \"thread\"; did you mean "
		    "\"threads\"" },
		{ "{\"role\": \"entry\",\n" COMMON "\"threads\": 17}",
		    PLUG_E_RANGE, "line 5: threads" },
		{ "{\"role\": \"entry\",\n" COMMON AGENT "}",
		    PLUG_E_UNKNOWN_KEY, "line 5: service: only an agent" },
		{ "{\"role\": \"agent\",\n" COMMON "\"service\": \"s\"}",
		    PLUG_E_MISSING_KEY, "service_id" },
		{ "{\"role\": \"agent\",\n" COMMON AGENT ",\n\"threads\": 1}",
		    PLUG_E_UNKNOWN_KEY, "line 7: threads" },
		{ "{\"role\": \"router\",\n" COMMON "\"threads\": 1}",
		    PLUG_E_RANGE, "line 1: role" },
		{ "{\"role\": \"entry\",\n" COMMON "\"log\": {\"level\": 1}}",
		    PLUG_E_TYPE, "line 5: level" },
		{ "{\"role\": \"entry\", \"name\": \"a\", \"domain\": \"b\", "
		  "\"listen\": \"127.0.0.1:1\", \"fabric\": \"127.0.0.1:2\"}",
		    PLUG_E_MISSING_KEY, "config_service" },
		{ "[]", PLUG_E_TYPE, "an object" },
	};
	struct plug_settings settings;
	struct plug_status status;

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		plug_status_init(&status);
		ck_assert_int_eq(plug_settings_parse(plug_str_from(bad[i].text),
				     &settings, &status),
		    bad[i].code);
		ck_assert_msg(strstr(status.message, bad[i].message) != NULL,
		    "%s", status.message);
	}
}
END_TEST

/*
 * Guards against processes that can't take an ephemeral port, and against a
 * port 0 that names a peer.
 */
START_TEST(only_listen_takes_port_0)
{
	static const char text[] =
	    "{\"role\": \"entry\", \"name\": \"a\", "
	    "\"domain\": \"b\", \"listen\": \"127.0.0.1:0\", "
	    "\"fabric\": \"127.0.0.1:1\", "
	    "\"peers\": [\"127.0.0.1:%d\"]}";
	struct plug_settings settings;
	char buf[256];

	(void)snprintf(buf, sizeof(buf), text, 2);
	ck_assert_int_eq(
	    plug_settings_parse(plug_str_from(buf), &settings, NULL), PLUG_OK);
	ck_assert_uint_eq(settings.listen.port, 0);
	(void)snprintf(buf, sizeof(buf), text, 0);
	ck_assert_int_eq(
	    plug_settings_parse(plug_str_from(buf), &settings, NULL),
	    PLUG_E_RANGE);
}
END_TEST

Suite *
settings_suite(void)
{
	Suite *suite = suite_create("settings");
	TCase *test = tcase_create("settings");

	tcase_add_test(test, accepts_both_roles);
	tcase_add_test(test, refuses_wrong_settings);
	tcase_add_test(test, only_listen_takes_port_0);
	suite_add_tcase(suite, test);
	return suite;
}
