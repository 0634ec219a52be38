#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "net/platform.h"
#include "standins/configservice.h"
#include "suites.h"

#define POLLS_MAX 1000 /* of at most 20 ms; a bound for a test that hangs */
#define POLL_MS	  20
#define PATH_SIZE 512

/* Directory, service and reader of one test. */
static char dir[PATH_SIZE];
static struct plug_standin_config *service;
static struct plug_platform *platform;

/* What the handlers have received. */
static uint64_t last_version;
static char last_value[64];
static unsigned int value_count, failure_count;

static void
on_value(
    void *data, struct plug_str key, uint64_t version, struct plug_str bytes)
{
	(void)data;
	(void)key;
	last_version = version;
	(void)plug_str_copy(bytes, last_value, sizeof(last_value));
	value_count++;
}

static void
on_failure(void *data, struct plug_str key, const char *reason)
{
	(void)data;
	(void)key;
	(void)reason;
	failure_count++;
}

/* Writes a value like a deployment does: a complete file is renamed. */
static void
write_value(const char *name, const char *text)
{
	char path[PATH_SIZE + 32], temporary[PATH_SIZE + 40];
	FILE *file;

	(void)snprintf(path, sizeof(path), "%s/service/%s.json", dir, name);
	(void)snprintf(temporary, sizeof(temporary), "%s.tmp", path);
	file = fopen(temporary, "we");
	ck_assert_ptr_nonnull(file);
	ck_assert_int_ge(fputs(text, file), 0);
	ck_assert_int_eq(fclose(file), 0);
	ck_assert_int_eq(rename(temporary, path), 0);
}

static void
setup(void)
{
	const struct plug_endpoint any = { 0x7f000001, 0 };
	const char *base = getenv("TMPDIR");
	struct plug_status status;
	char path[PATH_SIZE + 16];

	(void)snprintf(dir, sizeof(dir), "%s/plantainlug-XXXXXX",
	    base != NULL ? base : P_tmpdir);
	ck_assert_ptr_nonnull(mkdtemp(dir));
	(void)snprintf(path, sizeof(path), "%s/service", dir);
	ck_assert_int_eq(mkdir(path, 0700), 0);
	write_value("a", "one");
	service = plug_standin_config_start(dir, any, 1, &status);
	ck_assert_ptr_nonnull(service);
	last_version = 0;
	value_count = failure_count = 0;
}

static void
start_reader(const struct plug_endpoint *replicas, unsigned int count)
{
	static const struct plug_platform_handlers handlers = { on_value,
		on_failure, NULL };

	platform = plug_platform_create(replicas, count, 1, &handlers);
	ck_assert_ptr_nonnull(platform);
}

static void
teardown(void)
{
	static const char *const names[] = { "a", "b" };
	char path[PATH_SIZE + 32];

	plug_platform_destroy(platform);
	plug_standin_config_stop(service);
	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		(void)snprintf(
		    path, sizeof(path), "%s/service/%s.json", dir, names[i]);
		(void)unlink(path);
	}
	(void)snprintf(path, sizeof(path), "%s/service", dir);
	(void)rmdir(path);
	(void)rmdir(dir);
}

static void
poll_until(const unsigned int *counter, unsigned int wanted)
{
	for (unsigned int i = 0; i < POLLS_MAX && *counter < wanted; i++) {
		plug_platform_poll(platform, POLL_MS);
		plug_standin_config_scan(service);
	}
	ck_assert_uint_ge(*counter, wanted);
}

/* Guards against a change that is noticed only when the query's wait ends, and
 * against values that are handed on twice. */
START_TEST(watch_reports_each_change)
{
	struct plug_endpoint address;
	uint64_t first;

	address = plug_standin_config_address(service);
	start_reader(&address, 1);
	ck_assert_int_eq(
	    plug_platform_watch(platform, PLUG_STR("service/a"), 0), PLUG_OK);
	poll_until(&value_count, 1);
	ck_assert_str_eq(last_value, "one");
	first = last_version;
	write_value("a", "two");
	poll_until(&value_count, 2);
	ck_assert_str_eq(last_value, "two");
	ck_assert_uint_gt(last_version, first);
	ck_assert_uint_eq(failure_count, 0);
}
END_TEST

/* Guards against a service that appears later and is never found. */
START_TEST(missing_key_and_listing)
{
	struct plug_endpoint address;

	address = plug_standin_config_address(service);
	start_reader(&address, 1);
	(void)plug_platform_watch(platform, PLUG_STR("service/b"), 0);
	poll_until(&failure_count, 1);
	write_value("b", "new");
	poll_until(&value_count, 1);
	ck_assert_str_eq(last_value, "new");
	plug_platform_unwatch(platform, PLUG_STR("service/b"));
	(void)plug_platform_watch(platform, PLUG_STR("service/?keys"), 0);
	poll_until(&value_count, 2);
	ck_assert_ptr_nonnull(strstr(last_value, "\"service/a\""));
	ck_assert_ptr_nonnull(strstr(last_value, "\"service/b\""));
}
END_TEST

/* Guards against a reader that stays with a replica that is down. */
START_TEST(other_replica_is_tried)
{
	struct plug_endpoint replicas[2];
	struct plug_standin_config *other;
	const struct plug_endpoint any = { 0x7f000001, 0 };
	struct plug_status status;

	other = plug_standin_config_start(dir, any, 1, &status);
	ck_assert_ptr_nonnull(other);
	replicas[0] = plug_standin_config_address(other);
	replicas[1] = plug_standin_config_address(service);
	plug_standin_config_stop(other);
	start_reader(replicas, 2);
	for (unsigned int i = 1; i <= 4; i++) {
		plug_platform_unwatch(platform, PLUG_STR("service/a"));
		(void)plug_platform_watch(platform, PLUG_STR("service/a"), 0);
		poll_until(&value_count, i);
	}
	ck_assert_uint_gt(failure_count, 0);
}
END_TEST

Suite *
platform_suite(void)
{
	Suite *suite = suite_create("platform");
	TCase *test = tcase_create("platform");

	tcase_set_timeout(test, 60);
	tcase_add_checked_fixture(test, setup, teardown);
	tcase_add_test(test, watch_reports_each_change);
	tcase_add_test(test, missing_key_and_listing);
	tcase_add_test(test, other_replica_is_tried);
	suite_add_tcase(suite, test);
	return suite;
}
