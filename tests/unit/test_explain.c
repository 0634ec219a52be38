#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libplantainlug/document.h"
#include "libplantainlug/explain.h"
#include "net/bytecount.h"
#include "suites.h"

#define REPORT_SIZE 8192 /* bytes of a whole report */
#define AT(second)  "time=2026-12-04T10:00:" second ".000000Z "

static void
append_row(void *data, struct plug_str line)
{
	char *report = data;
	size_t len = strlen(report);

	(void)snprintf(report + len, REPORT_SIZE - len, "%.*s\n", (int)line.len,
	    line.data);
}

static bool
explain(const struct plug_explain_query *query, const char *const *lines,
    size_t count, char report[REPORT_SIZE])
{
	const struct plug_explain_output output = { append_row, report };
	struct plug_explain *explain = plug_explain_create(query);
	bool found;

	ck_assert_ptr_nonnull(explain);
	report[0] = '\0';
	for (size_t i = 0; i < count; i++)
		(void)plug_explain_feed(explain, plug_str_from(lines[i]), NULL);
	found = plug_explain_report(explain, &output);
	plug_explain_destroy(explain);
	return found;
}

/* Guards against reasons that quote a name and thereby hide later fields. */
START_TEST(reads_a_line)
{
	struct plug_logline line;

	ck_assert_int_eq(plug_logline_parse(
			     PLUG_STR(AT("01") "name=e1 event=refused key=k "
					       "reason=\"key \"a b\"; did you\""
					       " version=12"),
			     &line, NULL),
	    PLUG_OK);
	ck_assert_int_eq(line.time % (60 * PLUG_SEC), PLUG_SEC);
	ck_assert(plug_str_equal(line.name, PLUG_STR("e1")));
	ck_assert(plug_str_equal(line.event, PLUG_STR("refused")));
	ck_assert(plug_logline_has(&line, "reason", "key \"a b\"; did you"));
	ck_assert_uint_eq(plug_logline_number(&line, "version"), 12);
	ck_assert_uint_eq(plug_logline_get(&line, "absent").len, 0);
}
END_TEST

/* Guards against a cut or foreign line that is taken for an event. */
START_TEST(refuses_a_line)
{
	static const struct {
		const char *text;
		const char *message;
	} bad[] = {
		{ "garbage", "expected key=value" },
		{ "event=listening address=1.2.3.4:5", "no time" },
		{ "time=2026-13-04T10:00:00Z name=a event=b", "not a time" },
		{ "time=2026-12-04T10:00:00.Z name=a event=b", "not a time" },
		{ "time=2026-12-04 name=a event=b", "not a time" },
		{ AT("01") "event=view", "no name" },
		{ AT("01") "name= event=view", "no name" },
		{ AT("01") "name=a event=b c=\"d", "c: the quoted value" },
		{ AT("01") "name=a event=b c", "expected key=value at \"c\"" },
	};
	struct plug_logline line;
	struct plug_status status;

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		plug_status_init(&status);
		ck_assert_int_eq(plug_logline_parse(plug_str_from(bad[i].text),
				     &line, &status),
		    PLUG_E_SYNTAX);
		ck_assert_msg(strstr(status.message, bad[i].message) != NULL,
		    "%s: %s", bad[i].text, status.message);
	}
}
END_TEST

/* Guards against logs of several processes that are told in the order of the
 * files, and against a bad line that ends the reading. */
START_TEST(orders_by_time)
{
	static const char *const lines[] = {
		AT("09") "name=b event=flow_lost reason=owner_gone "
			 "flow=00000000000000a1 xid=2 version=3",
		"cut li",
		AT("01") "name=a event=placement verdict=keep reason=own_load "
			 "flow=00000000000000a1 target=- version=3",
		AT("02") "name=a event=placement verdict=keep reason=own_load "
			 "flow=00000000000000a2 target=- version=3",
	};
	const struct plug_explain_query query = { .flow = 0xa1 };
	const struct plug_explain_query absent = { .flow = 0xa3 };
	char report[REPORT_SIZE];
	const char *placement, *lost;

	ck_assert(explain(&query, lines, 4, report));
	placement = strstr(report, "event=placement");
	lost = strstr(report, "event=flow_lost");
	ck_assert(placement != NULL && lost != NULL && placement < lost);
	ck_assert_ptr_null(strstr(report, "a2"));
	ck_assert_ptr_nonnull(
	    strstr(report, "event=cause cause=agent_killed effect=flow_lost "
			   "flow=00000000000000a1 node=a"));
	ck_assert_ptr_nonnull(strstr(report, "event=unreadable lines=1\n"));
	ck_assert(!explain(&absent, lines, 4, report));
}
END_TEST

/* Guards against lines outside the window or of other hosts in the sums. */
START_TEST(sums_up_a_host)
{
	static const char *const lines[] = {
		AT("00") "name=a event=listening role=agent address=1.0.0.1:1",
		AT("01") "name=a event=placement verdict=keep reason=own_load",
		AT("11") "name=a event=placement verdict=keep reason=own_load",
		AT("12") "name=b event=placement verdict=forward "
			 "reason=less_loaded target=1.0.0.1:1",
		AT("12") "name=b event=placement verdict=forward "
			 "reason=less_loaded target=1.0.0.2:1",
		AT("13") "name=c event=placement verdict=forward "
			 "reason=leaving target=1.0.0.1:1",
		AT("14") "name=a event=refuse reason=queue_full "
			 "flow=00000000000000a1",
	};
	struct plug_explain_query query = { .kind = PLUG_EXPLAIN_HOST,
		.host = "a" };
	char report[REPORT_SIZE];

	ck_assert(
	    plug_logline_time(PLUG_STR("2026-12-04T10:00:10Z"), &query.from));
	ck_assert(
	    plug_logline_time(PLUG_STR("2026-12-04T10:00:20"), &query.to));
	ck_assert(explain(&query, lines, 7, report));
	ck_assert_msg(
	    strstr(report,
		"event=summary host=a cause=forwarded_opens kept=1 "
		"forwarded_away=0 received_from_siblings=2 "
		"moves_in=0 moves_out=0 refused=1 queue_full=1") != NULL,
	    "%s", report);
}
END_TEST

/* Guards against counters that are reported twice, and against domains that are
 * shown by their hash although a log names them. Several sums guard against
 * names that stay behind when the sums are ordered. */
START_TEST(sums_up_traffic)
{
	const struct plug_explain_query query = { .kind =
						      PLUG_EXPLAIN_TRAFFIC };
	char east[256], report[REPORT_SIZE];
	const char *const lines[] = { east,
		AT("01") "name=b event=listening role=entry domain=east",
		AT("02") "name=a event=traffic service=s from_domain=west "
			 "to_domain=west cause=answer bytes=900 packets=9",
		AT("02") "name=b event=traffic service=s from_domain=east "
			 "to_domain=west cause=answer bytes=800 packets=9",
		AT("02") "name=b event=traffic service=a from_domain=east "
			 "to_domain=east cause=move bytes=7 packets=1",
		AT("02") "name=b event=traffic service=- from_domain=east "
			 "to_domain=unknown cause=control bytes=5 packets=1",
		AT("03") "name=a event=traffic service=s from_domain=west "
			 "to_domain=east cause=request bytes=50 packets=1" };

	(void)snprintf(east, sizeof(east),
	    AT("00") "name=a event=traffic service=s from_domain=west "
		     "to_domain=#%08x cause=request bytes=100 packets=2",
	    plug_domain_hash(PLUG_STR("east")));
	ck_assert(explain(&query, lines, 7, report));
	ck_assert_ptr_nonnull(strstr(report,
	    "from_domain=west to_domain=east cause=request bytes=100 "
	    "packets=2 crosses=1\n"));
	ck_assert_ptr_nonnull(strstr(report,
	    "from_domain=east to_domain=west cause=answer bytes=800 "
	    "packets=9 crosses=1\n"));
	ck_assert_ptr_nonnull(strstr(report,
	    "from_domain=east to_domain=east cause=move bytes=7 packets=1 "
	    "crosses=0\n"));
	ck_assert_msg(
	    strstr(report, "event=summary crossing_bytes=950 inside_bytes=907 "
			   "unknown_bytes=5 largest_cause=answer "
			   "largest_service=s\n") != NULL,
	    "%s", report);
}
END_TEST

/* Guards against traffic that is counted for another service or twice. */
START_TEST(counts_traffic)
{
	const struct plug_bytecount_place place = { "west", "", NULL };
	struct plug_bytecount *traffic = calloc(1, sizeof(*traffic));
	char path[] = "/tmp/plantainlug-traffic-XXXXXX";
	char text[REPORT_SIZE] = "";
	struct plug_log *log;
	int fd = mkstemp(path);
	FILE *file;

	ck_assert(traffic != NULL && fd >= 0);
	log = plug_log_create("e", path, PLUG_LOG_INFO, NULL);
	ck_assert_ptr_nonnull(log);
	plug_bytecount_add(traffic, 7, 5, PLUG_BYTECOUNT_REQUEST, 100);
	plug_bytecount_add(traffic, 0, 0, PLUG_BYTECOUNT_CONTROL, 10);
	plug_bytecount_report(&traffic, 1, &place, log);
	plug_bytecount_add(traffic, 7, 5, PLUG_BYTECOUNT_REQUEST, 23);
	plug_bytecount_report(&traffic, 1, &place, log);
	plug_bytecount_report(&traffic, 1, &place, log);
	plug_log_destroy(log);
	file = fdopen(fd, "r");
	ck_assert_ptr_nonnull(file);
	(void)fread(text, 1, sizeof(text) - 1, file);
	(void)fclose(file);
	(void)remove(path);
	free(traffic);
	ck_assert_ptr_nonnull(strstr(text,
	    "service=7 from_domain=west to_domain=#00000005 cause=request "
	    "bytes=100 packets=1\n"));
	ck_assert_ptr_nonnull(strstr(text, "bytes=23 packets=1\n"));
	ck_assert_ptr_nonnull(strstr(text, "service=- "));
	ck_assert_ptr_null(strstr(text, "bytes=0"));
}
END_TEST

Suite *
explain_suite(void)
{
	Suite *suite = suite_create("explain");
	TCase *test = tcase_create("explain");

	tcase_add_test(test, reads_a_line);
	tcase_add_test(test, refuses_a_line);
	tcase_add_test(test, orders_by_time);
	tcase_add_test(test, sums_up_a_host);
	tcase_add_test(test, sums_up_traffic);
	tcase_add_test(test, counts_traffic);
	suite_add_tcase(suite, test);
	return suite;
}
