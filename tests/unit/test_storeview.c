#include <stdio.h>
#include <string.h>

#include "libplantainlug/track/backoff.h"
#include "libplantainlug/track/storeview_internal.h"
#include "suites.h"

#define START (1000 * PLUG_SEC)
/* What a restore has lost is back after 2 s, an entry that nobody renews lapses
 * after three heartbeats of 1.2 s; both are noticed a little later. */
#define SETTLED_AFTER (2600 * PLUG_MSEC)
#define LAPSED_AFTER  (3700 * PLUG_MSEC)
#define TEXT_SIZE     256
#define NORTH	      1U /* domains */
#define SOUTH	      2U

#define SERVICE 7U /* the only one that is configured */

static struct plug_client client;
static struct plug_storeview view;
static char logged[8192];
static plug_time now;

static void
append_log(void *data, enum plug_log_level level, struct plug_str line)
{
	size_t len = strlen(logged);

	(void)data;
	(void)level;
	(void)snprintf(logged + len, sizeof(logged) - len, "%.*s\n",
	    (int)line.len, line.data);
}

static void
setup(void)
{
	logged[0] = '\0';
	now = START;
	client = (struct plug_client){ .log = append_log };
	plug_storeview_init(&view, &client);
}

static void
teardown(void)
{
	plug_storeview_finish(&view);
}

static void
take_config(uint64_t version)
{
	struct plug_config *config = plug_config_create(0, 0, 0);

	ck_assert_ptr_nonnull(config);
	config->version = version;
	(void)plug_storeview_take_config(&view, config);
}

/* Hosts are separated by spaces; a trailing '-' marks one that drains. */
static void
add_hosts(const char *hosts)
{
	while (*hosts != '\0') {
		struct plug_fleet_host host = { .slots = 1, .started_ms = 1 };
		size_t len = strcspn(hosts, "- ");
		const struct plug_str id = { hosts, len };

		host.id = plug_str_hash(id);
		(void)plug_str_copy(id, host.name, sizeof(host.name));
		host.address = 0x0a000000U + (uint8_t)hosts[0];
		host.draining = hosts[len] == '-';
		plug_storeview_add_host(&view, now, &host);
		hosts += strcspn(hosts, " ");
		hosts += strspn(hosts, " ");
	}
}

static bool
read_hosts_of(
    uint64_t generation, uint64_t revision, bool consistent, const char *hosts)
{
	const struct plug_storeview_read read = {
		.began = now,
		.position = { generation, revision },
		.consistent = consistent,
	};

	plug_storeview_note_generation(&view, now, generation, "hosts");
	plug_storeview_begin_hosts(&view);
	add_hosts(hosts);
	return plug_storeview_end_hosts(&view, now, &read);
}

static bool
read_hosts(uint64_t revision, bool consistent, const char *hosts)
{
	return read_hosts_of(0, revision, consistent, hosts);
}

/* A complete read that shows @out, names separated by spaces, as out of
 * service. */
static void
read_operators(uint64_t generation, uint64_t revision, const char *out)
{
	const struct plug_store_position at = { generation, revision };

	plug_storeview_note_generation(&view, now, generation, "operators");
	ck_assert(plug_storeview_begin_operators(&view, generation, false));
	if (strstr(out, "north") != NULL)
		plug_storeview_take_domain(&view, now, NORTH, true, at);
	if (strstr(out, "south") != NULL)
		plug_storeview_take_domain(&view, now, SOUTH, true, at);
	plug_storeview_end_operators(&view, now, at, false);
}

/* An answer with one change that is older than @revision or the same. */
static void
read_change(uint64_t revision, uint64_t changed_at, uint32_t domain, bool out)
{
	const struct plug_store_position at = { 1, changed_at };

	ck_assert(plug_storeview_begin_operators(&view, 1, true));
	plug_storeview_take_domain(&view, now, domain, out, at);
	plug_storeview_end_operators(
	    &view, now, (struct plug_store_position){ 1, revision }, true);
}

/* A read of the domains alone that shows NORTH as out of service, or none.
 * Return: whether it counts. */
static bool
read_domains(uint64_t generation, uint64_t revision, bool north)
{
	plug_storeview_note_generation(&view, now, generation, "domains");
	plug_storeview_begin_domains(&view);
	if (north)
		plug_storeview_add_domain(&view, NORTH);
	return plug_storeview_end_domains(
	    &view, now, (struct plug_store_position){ generation, revision });
}

/* @hosts is sorted by name. */
static void
expect_hosts(const char *hosts)
{
	char text[TEXT_SIZE] = "";
	size_t len = 0;

	for (int name = 'a'; name <= 'z'; name++) {
		const char id[] = { (char)name, '\0' };
		const struct plug_fleet_host *host = NULL;

		for (unsigned int i = 0; i < view.hosts.count; i++) {
			if (strcmp(view.hosts.hosts[i].name, id) == 0)
				host = &view.hosts.hosts[i];
		}
		if (host != NULL)
			len += (size_t)snprintf(text + len, sizeof(text) - len,
			    "%s%s%s", len > 0 ? " " : "", id,
			    host->draining ? "-" : "");
	}
	ck_assert_str_eq(text, hosts);
}

static plug_time
consistent_read_at(void)
{
	struct plug_fleet *fleet = plug_storeview_fleet(&view, now);
	plug_time at;

	ck_assert_ptr_nonnull(fleet);
	at = fleet->consistent_read_at;
	plug_fleet_release(fleet);
	return at;
}

static bool
is_authoritative(void)
{
	struct plug_fleet *fleet = plug_storeview_fleet(&view, now);
	bool authoritative;

	ck_assert_ptr_nonnull(fleet);
	authoritative = fleet->authoritative;
	plug_fleet_release(fleet);
	return authoritative;
}

/* Guards against a host that is back in use because a read that may lag showed
 * it after a newer one had not. */
START_TEST(lagging_host_list_is_ignored)
{
	take_config(1);
	ck_assert(read_hosts(5, true, "a b"));
	ck_assert(read_hosts(7, false, "a"));
	ck_assert(!read_hosts(6, false, "a b"));
	expect_hosts("a");
	ck_assert(!plug_storeview_is_outdated(&view, now));
	now += 2 * PLUG_SEC;
	ck_assert(!read_hosts(6, false, "a b"));
	ck_assert(plug_storeview_is_outdated(&view, now));
	ck_assert(read_hosts(7, true, "a"));
	ck_assert(!plug_storeview_is_outdated(&view, now));
	ck_assert_int_eq(consistent_read_at(), now);
}
END_TEST

/* Guards against a flow reset on the word of a list older than the lookup. */
START_TEST(ignored_list_is_not_a_consistent_read)
{
	bool adopted;

	take_config(1);
	ck_assert(read_hosts(9, true, "a"));
	now += PLUG_SEC;
	adopted = read_hosts(4, true, "a b");
	ck_assert_int_eq(consistent_read_at(), adopted ? now : START);
}
END_TEST

/* Guards against host lists that are ignored after a restore of the store until
 * its revisions have passed those from before. */
START_TEST(restored_host_list_is_adopted)
{
	take_config(1);
	ck_assert(read_hosts_of(1, 20, true, "a b"));
	ck_assert(read_hosts_of(2, 13, false, "a b- c"));
	expect_hosts("a b- c");
	ck_assert(!plug_storeview_is_outdated(&view, now + 2 * PLUG_SEC));
}
END_TEST

/* Guards against a lagging read that brings back what the store was before its
 * restore. */
START_TEST(host_list_from_before_restore_is_ignored)
{
	ck_assert(read_hosts_of(1, 20, true, "a b"));
	ck_assert(read_hosts_of(2, 13, false, "a b c"));
	ck_assert(!read_hosts_of(1, 25, false, "a b d"));
	expect_hosts("a b c");
}
END_TEST

/* Guards against the same ignored lists with a store that names no generation.
 */
START_TEST(consistent_host_list_is_never_older)
{
	ck_assert(read_hosts(20, true, "a b"));
	ck_assert(!read_hosts(13, false, "a c"));
	ck_assert(read_hosts(13, true, "a b c"));
	ck_assert(read_hosts(14, false, "a b c d"));
	expect_hosts("a b c d");
	ck_assert_uint_eq(view.counters[PLUG_STOREVIEW_RESTORED], 1);
	ck_assert_ptr_nonnull(strstr(logged, "event=store_restored"));
}
END_TEST

/* Guards against a configuration that goes back within one run. */
START_TEST(older_config_is_ignored)
{
	take_config(7);
	take_config(5);
	ck_assert_uint_eq(view.config->version, 7);
	ck_assert_ptr_nonnull(strstr(logged, "event=config_ignored"));
}
END_TEST

/* Guards against a domain that stays out of service because its return was
 * written while the history was dropped. */
START_TEST(complete_read_takes_domains_back)
{
	read_operators(1, 8, "north south");
	ck_assert_uint_eq(view.out_count, 2);
	read_operators(1, 9, "south");
	ck_assert_uint_eq(view.out_count, 1);
	ck_assert_uint_eq(view.out[0], SOUTH);
}
END_TEST

/* Guards against an evacuation or a version that is missed because the changes
 * after a revision of the old history are asked for in the new one. */
START_TEST(changes_are_not_continued_across_a_restore)
{
	uint64_t after;

	read_operators(1, 20, "");
	ck_assert(plug_storeview_next_changes(&view, now, &after));
	ck_assert_uint_eq(after, 20);
	ck_assert(!plug_storeview_begin_operators(&view, 2, true));
	ck_assert(!plug_storeview_next_changes(&view, now, &after));
	read_operators(2, 26, "north");
	ck_assert_uint_eq(view.out_count, 1);
	ck_assert(plug_storeview_next_changes(&view, now, &after));
	ck_assert_uint_eq(after, 26);
	ck_assert(plug_storeview_begin_operators(&view, 2, true));
}
END_TEST

/* Guards against a restore that only the host list shows for seconds, as no
 * change is written that would end the waiting read. */
START_TEST(restore_seen_by_another_read_ends_the_wait)
{
	uint64_t after;

	read_operators(1, 20, "");
	ck_assert(!plug_storeview_note_generation(&view, now, 1, "hosts"));
	ck_assert(plug_storeview_next_changes(&view, now, &after));
	ck_assert(plug_storeview_note_generation(&view, now, 2, "hosts"));
	ck_assert(!plug_storeview_next_changes(&view, now, &after));
}
END_TEST

/* Guards against the same with a store that names no generation. */
START_TEST(changes_that_go_back_lead_to_a_complete_read)
{
	uint64_t after;

	read_operators(0, 20, "");
	ck_assert(plug_storeview_begin_operators(&view, 0, true));
	plug_storeview_end_operators(
	    &view, now, (struct plug_store_position){ 0, 15 }, true);
	ck_assert(!plug_storeview_next_changes(&view, now, &after));
}
END_TEST

/* Guards against an evacuation that is undone because a copy lacks it. */
START_TEST(restored_copy_takes_no_domain_back)
{
	uint64_t after;

	read_operators(1, 20, "north");
	read_operators(2, 12, "");
	ck_assert_uint_eq(view.out_count, 1);
	ck_assert_int_le(
	    plug_storeview_next_changes(&view, now, &after), SETTLED_AFTER);
	now += SETTLED_AFTER;
	ck_assert_int_eq(plug_storeview_next_changes(&view, now, &after), 0);
	read_operators(2, 13, "");
	ck_assert_uint_eq(view.out_count, 0);
	ck_assert_int_gt(plug_storeview_next_changes(&view, now, &after), 0);
}
END_TEST

/* Guards against what operators take back after a restore staying out. */
START_TEST(domain_taken_back_after_a_restore_is_back)
{
	read_operators(1, 20, "north");
	read_operators(2, 12, "north");
	ck_assert(plug_storeview_begin_operators(&view, 2, true));
	plug_storeview_take_domain(
	    &view, now, NORTH, false, (struct plug_store_position){ 2, 13 });
	plug_storeview_end_operators(
	    &view, now, (struct plug_store_position){ 2, 13 }, true);
	ck_assert_uint_eq(view.out_count, 0);
}
END_TEST

/* Guards against a domain that stays in use without a log line because too many
 * are out of service. */
START_TEST(domain_beyond_the_limit_is_logged)
{
	read_operators(1, 20, "");
	for (uint32_t domain = 1; domain <= PLUG_DOMAINS_OUT_MAX; domain++)
		read_change(20 + domain, 20 + domain, domain, true);
	ck_assert_ptr_null(strstr(logged, "event=domain_ignored"));
	read_change(50, 50, PLUG_DOMAINS_OUT_MAX + 1, true);
	ck_assert_ptr_nonnull(strstr(logged, "event=domain_ignored"));
	ck_assert_uint_eq(view.out_count, PLUG_DOMAINS_OUT_MAX);
	read_change(60, 60, 1, false);
	ck_assert_uint_eq(view.out_count, PLUG_DOMAINS_OUT_MAX - 1);
}
END_TEST

/* Guards against hosts that get more than they bear when their domain is taken
 * back: they may be cold since then, and the list shows it later. */
START_TEST(hosts_of_a_domain_taken_back_are_cold)
{
	struct plug_config *config = plug_config_create(0, 0, 1);
	struct plug_fleet *fleet;

	ck_assert_ptr_nonnull(config);
	config->version = 1;
	config->services[0].id = SERVICE;
	config->services[0].cold_time = 4 * PLUG_SEC;
	(void)plug_storeview_take_config(&view, config);
	read_operators(1, 20, "north");
	for (uint32_t domain = NORTH; domain <= SOUTH; domain++) {
		const struct plug_fleet_host host = { .id = domain,
			.service = SERVICE,
			.domain = domain,
			.slots = 1 };

		plug_storeview_add_host(&view, now, &host);
	}
	ck_assert(plug_storeview_end_hosts(&view, now,
	    &(struct plug_storeview_read){
		.began = now, .position = { 1, 21 }, .consistent = true }));
	now += PLUG_SEC;
	read_change(30, 25, NORTH, false);
	fleet = plug_storeview_fleet(&view, now);
	ck_assert_ptr_nonnull(fleet);
	ck_assert_int_eq(
	    plug_fleet_find_host(fleet, NORTH)->cold_until, now + 4 * PLUG_SEC);
	ck_assert_int_eq(plug_fleet_find_host(fleet, SOUTH)->cold_until, 0);
	plug_fleet_release(fleet);
}
END_TEST

/* Guards against an evacuation that is undone by changes, or a complete read,
 * which are older than the read of the domains that has shown it, and against
 * one that stays after it was taken back. */
START_TEST(older_items_do_not_undo_the_domains)
{
	read_operators(1, 20, "");
	ck_assert(read_domains(1, 50, true));
	ck_assert_uint_eq(view.out_count, 1);
	read_change(30, 25, NORTH, true);
	read_change(40, 35, NORTH, false);
	ck_assert_uint_eq(view.out_count, 1);
	read_operators(1, 45, "");
	ck_assert_uint_eq(view.out_count, 1);
	read_change(60, 55, NORTH, false);
	ck_assert_uint_eq(view.out_count, 0);
	ck_assert(read_domains(1, 70, true));
	ck_assert(read_domains(1, 80, false));
	ck_assert_uint_eq(view.out_count, 0);
	read_operators(1, 90, "north");
	ck_assert_uint_eq(view.out_count, 1);
}
END_TEST

/* Guards against a read of the domains alone that undoes a newer change, or
 * what a restored copy lacks, and against changes after a restore that are
 * taken for older ones as their revisions are lower. */
START_TEST(domains_read_alone_undo_nothing_newer)
{
	read_operators(1, 20, "");
	read_change(60, 55, NORTH, true);
	ck_assert(!read_domains(1, 50, false));
	ck_assert_uint_eq(view.out_count, 1);
	ck_assert(read_domains(2, 40, false));
	ck_assert_uint_eq(view.out_count, 1);
	ck_assert(!read_domains(1, 70, false));
	ck_assert_uint_eq(view.out_count, 1);
	now += SETTLED_AFTER;
	ck_assert(read_domains(2, 45, false));
	ck_assert_uint_eq(view.out_count, 0);
	plug_storeview_note_restored(&view, now, "changes", "revision", 2);
	ck_assert(plug_storeview_begin_operators(&view, 2, false));
	plug_storeview_take_domain(
	    &view, now, NORTH, true, (struct plug_store_position){ 2, 30 });
	ck_assert_uint_eq(view.out_count, 1);
}
END_TEST

/* Guards against new flows at a host that leaves, and against too few hosts,
 * because a copy is older than what was known. */
START_TEST(restored_copy_removes_no_host)
{
	ck_assert(read_hosts_of(1, 20, true, "a b- c"));
	ck_assert(read_hosts_of(2, 12, false, "a b"));
	expect_hosts("a b- c");
	now += PLUG_SEC;
	ck_assert(read_hosts_of(2, 14, false, "a b d"));
	expect_hosts("a b- c d");
	now += SETTLED_AFTER;
	ck_assert(read_hosts_of(2, 14, false, "b d"));
	expect_hosts("b d");
}
END_TEST

/* Guards against requests that no host takes because the entries of all hosts
 * have lapsed while the store was away. */
START_TEST(hosts_that_lapsed_in_an_outage_stay)
{
	ck_assert(read_hosts(20, true, "a b c-"));
	plug_storeview_note_failure(&view, now);
	now += PLUG_SEC;
	ck_assert(read_hosts(23, false, ""));
	expect_hosts("a b c-");
	now += PLUG_SEC;
	ck_assert(read_hosts(24, false, "a"));
	expect_hosts("a b c-");
	now += PLUG_SEC;
	ck_assert(read_hosts(24, false, "a"));
	expect_hosts("a");
}
END_TEST

/* Guards against new flows at a host that had left, which a copy lists until
 * its entry lapses. */
START_TEST(departed_host_is_not_used_after_a_restore)
{
	ck_assert(read_hosts_of(1, 20, true, "a b c"));
	ck_assert(read_hosts_of(1, 21, true, "a c"));
	ck_assert(read_hosts_of(2, 12, false, "a b c"));
	expect_hosts("a b- c");
	now += 2 * SETTLED_AFTER;
	ck_assert(read_hosts_of(2, 14, false, "a b c"));
	expect_hosts("a b- c");
	now += LAPSED_AFTER;
	ck_assert(read_hosts_of(2, 15, false, "a b c"));
	expect_hosts("a b c");
}
END_TEST

/* Guards against hosts that get no new flows after a restore because they had
 * been gone for a while long before. */
START_TEST(returned_host_stays_in_use_after_a_restore)
{
	ck_assert(read_hosts_of(1, 20, true, "a b"));
	ck_assert(read_hosts_of(1, 21, true, "a"));
	ck_assert(read_hosts_of(1, 22, true, "a b"));
	ck_assert(read_hosts_of(2, 12, false, "a b"));
	expect_hosts("a b");
}
END_TEST

/* Guards against a flow reset because a copy doesn't list its host yet. */
START_TEST(list_of_a_restored_copy_is_not_authoritative)
{
	take_config(1);
	ck_assert(read_hosts_of(1, 20, true, "a"));
	ck_assert(is_authoritative());
	now += PLUG_SEC;
	ck_assert(read_hosts_of(2, 12, true, "a"));
	ck_assert(!is_authoritative());
	now += SETTLED_AFTER;
	ck_assert(is_authoritative());
}
END_TEST

/* Guards against a part that waits on while the store answers the other one,
 * and against all processes asking a returned store in the same moment. */
START_TEST(backoff_ends_when_another_read_is_answered)
{
	struct plug_backoff backoff;
	plug_time delay = 0, first;

	plug_backoff_init(&backoff);
	ck_assert(!plug_backoff_shorten(&backoff));
	first = plug_backoff_fail(&backoff, &client);
	for (unsigned int i = 0; i < 9; i++)
		delay = plug_backoff_fail(&backoff, &client);
	ck_assert_int_ge(delay, PLUG_SEC / 2);
	ck_assert_int_le(delay, PLUG_SEC);
	ck_assert_int_ne(delay, plug_backoff_fail(&backoff, &client));
	ck_assert(plug_backoff_shorten(&backoff));
	ck_assert_uint_eq(backoff.failures, 11);
	delay = plug_backoff_fail(&backoff, &client);
	ck_assert_int_le(delay, 2 * first);
}
END_TEST

/* Guards against hosts that get no flow because an entry of another writer
 * names their machine, and against flows for the previous host of an address.
 * Each digit of @services is the service of one host at the address, in the
 * order in which they started; an X in @expected marks a superseded one. */
static void
expect_superseded(const char *services, const char *expected)
{
	struct plug_config *config = plug_config_create(0, 0, 1);
	const size_t count = strlen(services);
	struct plug_fleet *fleet;

	ck_assert_ptr_nonnull(config);
	config->services[0].id = SERVICE;
	fleet = plug_fleet_create(config, (unsigned int)count);
	ck_assert_ptr_nonnull(fleet);
	for (unsigned int i = 0; i < count; i++)
		fleet->hosts[i] = (struct plug_fleet_host){
			.id = i,
			.address = 5,
			.service = (uint64_t)(services[i] - '0'),
			.started_ms = i + 1,
		};
	plug_fleet_complete(fleet);
	for (unsigned int i = 0; i < count; i++)
		ck_assert_msg(plug_fleet_find_host(fleet, i)->superseded ==
				  (expected[i] == 'X'),
		    "%s: host %u", services, i);
	plug_fleet_release(fleet);
	plug_config_release(config);
}

START_TEST(only_a_usable_host_supersedes)
{
	expect_superseded("7", "-");
	expect_superseded("77", "X-");
	expect_superseded("78", "--");
	expect_superseded("87", "X-");
	expect_superseded("778", "X--");
	expect_superseded("787", "XX-");
	expect_superseded("7888", "----");
	expect_superseded("7777", "XXX-");
}
END_TEST

Suite *
storeview_suite(void)
{
	Suite *suite = suite_create("storeview");
	TCase *test = tcase_create("storeview");

	tcase_add_checked_fixture(test, setup, teardown);
	tcase_add_test(test, lagging_host_list_is_ignored);
	tcase_add_test(test, ignored_list_is_not_a_consistent_read);
	tcase_add_test(test, restored_host_list_is_adopted);
	tcase_add_test(test, host_list_from_before_restore_is_ignored);
	tcase_add_test(test, consistent_host_list_is_never_older);
	tcase_add_test(test, older_config_is_ignored);
	tcase_add_test(test, complete_read_takes_domains_back);
	tcase_add_test(test, changes_are_not_continued_across_a_restore);
	tcase_add_test(test, restore_seen_by_another_read_ends_the_wait);
	tcase_add_test(test, changes_that_go_back_lead_to_a_complete_read);
	tcase_add_test(test, restored_copy_takes_no_domain_back);
	tcase_add_test(test, domain_taken_back_after_a_restore_is_back);
	tcase_add_test(test, domain_beyond_the_limit_is_logged);
	tcase_add_test(test, hosts_of_a_domain_taken_back_are_cold);
	tcase_add_test(test, older_items_do_not_undo_the_domains);
	tcase_add_test(test, domains_read_alone_undo_nothing_newer);
	tcase_add_test(test, restored_copy_removes_no_host);
	tcase_add_test(test, hosts_that_lapsed_in_an_outage_stay);
	tcase_add_test(test, departed_host_is_not_used_after_a_restore);
	tcase_add_test(test, returned_host_stays_in_use_after_a_restore);
	tcase_add_test(test, list_of_a_restored_copy_is_not_authoritative);
	tcase_add_test(test, backoff_ends_when_another_read_is_answered);
	tcase_add_test(test, only_a_usable_host_supersedes);
	suite_add_tcase(suite, test);
	return suite;
}
