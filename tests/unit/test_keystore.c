#include <check.h>

#include "libplantainlug/keystore.h"
#include "suites.h"

/* Guards against a configuration that reverts when a replica lags, and against
 * two contents of one version replacing each other in turn. */
START_TEST(versions_only_go_forward)
{
	struct plug_keystore store;
	struct plug_str key = PLUG_STR("service/a");

	plug_keystore_init(&store);
	ck_assert_int_eq(plug_keystore_put(&store, key, 0, PLUG_STR("x"), NULL),
	    PLUG_E_RANGE);
	ck_assert_int_eq(
	    plug_keystore_put(&store, key, 5, PLUG_STR("five"), NULL), PLUG_OK);
	ck_assert_int_eq(
	    plug_keystore_put(&store, key, 5, PLUG_STR("five"), NULL), PLUG_OK);
	ck_assert_int_eq(
	    plug_keystore_put(&store, key, 4, PLUG_STR("four"), NULL),
	    PLUG_E_STALE);
	ck_assert_int_eq(
	    plug_keystore_put(&store, key, 5, PLUG_STR("other"), NULL),
	    PLUG_E_CONFLICT);
	ck_assert(plug_str_equal(
	    plug_keystore_find(&store, key)->data, PLUG_STR("five")));
	ck_assert_int_eq(
	    plug_keystore_put(&store, key, 9, PLUG_STR(""), NULL), PLUG_OK);
	ck_assert_uint_eq(plug_keystore_find(&store, key)->version, 9);
	plug_keystore_finish(&store);
}
END_TEST

/* Guards against digests that depend on the order of arrival, or that mix the
 * keys of two services. */
START_TEST(digest_depends_on_scope_and_versions)
{
	static const char *const keys[] = { "service/a", "instances/a",
		"service/ba", "service/b", "instances/entries" };
	const size_t count = sizeof(keys) / sizeof(keys[0]);
	struct plug_keystore first, second;
	uint64_t scoped;

	plug_keystore_init(&first);
	plug_keystore_init(&second);
	for (size_t i = 0; i < count; i++) {
		(void)plug_keystore_put(
		    &first, plug_str_from(keys[i]), i + 1, PLUG_STR("x"), NULL);
		(void)plug_keystore_put(&second,
		    plug_str_from(keys[count - 1 - i]), count - i,
		    PLUG_STR("x"), NULL);
	}
	ck_assert_uint_eq(plug_keystore_digest(&first, PLUG_STR("")),
	    plug_keystore_digest(&second, PLUG_STR("")));
	scoped = plug_keystore_digest(&first, PLUG_STR("a"));
	(void)plug_keystore_put(
	    &first, PLUG_STR("service/ba"), 9, PLUG_STR("y"), NULL);
	ck_assert_uint_eq(plug_keystore_digest(&first, PLUG_STR("a")), scoped);
	(void)plug_keystore_put(
	    &first, PLUG_STR("instances/a"), 9, PLUG_STR("y"), NULL);
	ck_assert_uint_ne(plug_keystore_digest(&first, PLUG_STR("a")), scoped);
	plug_keystore_finish(&first);
	plug_keystore_finish(&second);
}
END_TEST

Suite *
keystore_suite(void)
{
	Suite *suite = suite_create("keystore");
	TCase *test = tcase_create("keystore");

	tcase_add_test(test, versions_only_go_forward);
	tcase_add_test(test, digest_depends_on_scope_and_versions);
	suite_add_tcase(suite, test);
	return suite;
}
