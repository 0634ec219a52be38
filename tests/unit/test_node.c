#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libplantainlug/node.h"
#include "suites.h"

#define NODES_MAX   41
#define QUEUE_MAX   65536
#define WATCHES_MAX 8
#define VALUES_MAX  7
#define AGENT_KEYS  3		    /* keys of an agent */
#define AGENT_DELAY (60 * PLUG_SEC) /* longest random delay */
#define DOMAINS	    3
#define STEP	    (5 * PLUG_MSEC) /* delay of every message */
#define TICK	    (100 * PLUG_MSEC)
#define FAILURE_TIME                                             \
	(PLUG_SEC) /* between failures while the service is down \
		    */

struct sim;

/* One simulated process and what its driver would hold for it. */
struct process {
	struct sim *sim;
	struct plug_client client;
	struct plug_node *node;
	struct plug_node_config config;
	struct plug_endpoint seeds[3];
	char domain[8];
	bool paused;
	bool deaf; /* gets no answer from the configuration service */
	plug_time next_tick;
	plug_time next_failure;
	unsigned int views;
	uint64_t first_version;
	uint64_t version;
	uint64_t index[VALUES_MAX];
	bool watched[VALUES_MAX];
};

struct envelope {
	plug_time due;
	struct plug_endpoint target;
	size_t len;
	uint8_t *bytes;
};

struct value {
	const char *key;
	uint64_t version;
	char text[8192];
};

/* Values by place in sim.values. */
enum { LISTING, DOMAIN_LIST, ENTRIES, DOCUMENT = ENTRIES + DOMAINS, MEMBERS };

struct sim {
	plug_time now;
	unsigned short random[3];
	unsigned int loss_permille;
	bool service_down;
	unsigned int count;
	struct process processes[NODES_MAX];
	struct value values[VALUES_MAX];
	struct envelope queue[QUEUE_MAX];
	unsigned int head, tail;
	unsigned int fetches, versions;
	unsigned int calls;		 /* watches of agents */
	bool apart;			 /* domain d0 is out of contact */
	bool used[NODES_MAX][NODES_MAX]; /* messages from and to */
	unsigned int stale_lines, refused_lines;
};

static struct sim *sim;

static struct plug_endpoint
endpoint_of(unsigned int i)
{
	return (struct plug_endpoint){ 0x7f000001 + i, 4754 };
}

/* Answers use the connection that the question came by. */
static void
note_use(const struct process *process, struct plug_endpoint target,
    const Plug__Message *message)
{
	unsigned int i = target.address - 0x7f000001;

	if (i < NODES_MAX &&
	    (message->body_case == PLUG__MESSAGE__BODY_NOTICE ||
		(message->body_case == PLUG__MESSAGE__BODY_DIGEST &&
		    !message->digest->answer)))
		sim->used[process - sim->processes][i] = true;
}

static bool
separated(const struct process *process, struct plug_endpoint target)
{
	unsigned int from = (unsigned int)(process - sim->processes);
	unsigned int to = target.address - 0x7f000001;

	return sim->apart && (from % DOMAINS == 0) != (to % DOMAINS == 0);
}

static void
on_emit(void *data, const struct plug_action *action)
{
	struct process *process = data;
	struct envelope *envelope;

	switch (action->kind) {
	case PLUG_ACTION_PEER:
		sim->fetches += action->peer.message->body_case ==
				PLUG__MESSAGE__BODY_FETCH;
		sim->versions += action->peer.message->body_case ==
				 PLUG__MESSAGE__BODY_VERSIONS;
		note_use(process, action->peer.target, action->peer.message);
		if (separated(process, action->peer.target) ||
		    nrand48(sim->random) % 1000 < sim->loss_permille)
			return;
		envelope = &sim->queue[sim->tail++ % QUEUE_MAX];
		ck_assert_uint_lt(sim->tail - sim->head, QUEUE_MAX);
		envelope->due = sim->now + STEP;
		envelope->target = action->peer.target;
		envelope->len =
		    plug__message__get_packed_size(action->peer.message);
		envelope->bytes = malloc(envelope->len);
		ck_assert_ptr_nonnull(envelope->bytes);
		(void)plug__message__pack(
		    action->peer.message, envelope->bytes);
		break;
	case PLUG_ACTION_WATCH:
	case PLUG_ACTION_UNWATCH:
		for (unsigned int i = 0; i < VALUES_MAX; i++) {
			if (!plug_str_equal(action->watch.key,
				plug_str_from(sim->values[i].key)))
				continue;
			process->watched[i] = action->kind == PLUG_ACTION_WATCH;
			sim->calls +=
			    process->watched[i] && process->config.service != 0;
			process->index[i] = action->watch.index;
		}
		break;
	case PLUG_ACTION_VIEW:
		process->version = action->view->services[0].document_version;
		if (process->views++ == 0)
			process->first_version = process->version;
		break;
	default:
		break;
	}
}

static void
on_log(void *data, enum plug_log_level level, struct plug_str line)
{
	(void)data;
	(void)level;
	sim->stale_lines += strncmp(line.data, "event=stale", 11) == 0;
	sim->refused_lines += strncmp(line.data, "event=refused", 13) == 0;
}

static void
publish(unsigned int value, uint64_t version, const char *text)
{
	sim->values[value].version = version;
	(void)snprintf(sim->values[value].text, sizeof(sim->values[value].text),
	    "%s", text);
}

static void
publish_document(uint64_t version, const char *out)
{
	char text[1024];

	(void)snprintf(text, sizeof(text),
	    "{\"schema\": 1, \"service\": \"a\", \"service_id\": 7, "
	    "\"address\": \"10.0.0.1:1\", \"slots\": 2, \"connections\": 9, "
	    "\"queue\": 1, \"cold_start\": {\"seconds\": 1, \"slots\": 1}, "
	    "\"operations\": [{\"procedure\": 1, \"name\": \"x\", "
	    "\"idempotent\": true, \"class\": \"short\", "
	    "\"deadline_ms\": 100}], \"domains_out\": [%s], "
	    "\"token_keys\": [\"000102030405060708090a0b0c0d0e0f\"]}",
	    out);
	publish(DOCUMENT, version, text);
}

static void
publish_members(unsigned int value, unsigned int first, unsigned int count,
    unsigned int step)
{
	char text[sizeof(sim->values[0].text)] = "[";
	size_t len = 1;

	for (unsigned int i = first; i < first + count; i += step)
		len += (size_t)snprintf(text + len, sizeof(text) - len,
		    "%s{\"name\": \"n%02u\", \"address\": \"127.0.0.%u:4754\", "
		    "\"domain\": \"d%u\", \"state\": \"live\"}",
		    i == first ? "" : ",", i, i + 1, i % DOMAINS);
	(void)snprintf(text + len, sizeof(text) - len, "]");
	publish(value, 1, text);
}

/* Starts a process; its seeds are the first ones of the simulation. */
static struct process *
start(bool agent)
{
	unsigned int i = sim->count++;
	struct process *process = &sim->processes[i];

	(void)snprintf(
	    process->domain, sizeof(process->domain), "d%u", i % DOMAINS);
	process->client = (struct plug_client){ .emit = on_emit,
		.emit_data = process,
		.log = on_log,
		.random = { (unsigned short)i, sim->random[0], 1 } };
	for (unsigned int j = 0; j < 3; j++)
		process->seeds[j] = endpoint_of(j);
	process->config = (struct plug_node_config){ .instance = i + 1,
		.endpoint = endpoint_of(i),
		.domain = plug_domain_hash(plug_str_from(process->domain)),
		.domain_name = plug_str_from(process->domain),
		.service = agent ? 7 : 0,
		.service_name = plug_str_from(agent ? "a" : ""),
		.seeds = process->seeds,
		.seed_count = 3 };
	process->node =
	    plug_node_create(&process->client, &process->config, sim->now);
	ck_assert_ptr_nonnull(process->node);
	process->next_tick = sim->now + (plug_time)(i % 20) * STEP;
	return process;
}

static void
setup(unsigned int seed, unsigned int entries, unsigned int agents)
{
	sim = calloc(1, sizeof(*sim));
	ck_assert_ptr_nonnull(sim);
	sim->random[0] = (unsigned short)seed;
	sim->now = PLUG_SEC;
	sim->values[LISTING].key = "service/?keys";
	sim->values[DOMAIN_LIST].key = "instances/entries/?keys";
	sim->values[ENTRIES].key = "instances/entries/d0";
	sim->values[ENTRIES + 1].key = "instances/entries/d1";
	sim->values[ENTRIES + 2].key = "instances/entries/d2";
	sim->values[DOCUMENT].key = "service/a";
	sim->values[MEMBERS].key = "instances/a";
	publish(LISTING, 1, "[\"service/a\"]");
	publish(DOMAIN_LIST, 1,
	    "[\"instances/entries/d0\", \"instances/entries/d1\", "
	    "\"instances/entries/d2\"]");
	for (unsigned int i = 0; i < DOMAINS; i++)
		publish_members(
		    ENTRIES + i, i, entries > i ? entries - i : 0, DOMAINS);
	publish_members(MEMBERS, entries, agents, 1);
	publish_document(1, "");
	for (unsigned int i = 0; i < entries + agents; i++)
		(void)start(i >= entries);
}

static void
teardown(void)
{
	while (sim->head != sim->tail)
		free(sim->queue[sim->head++ % QUEUE_MAX].bytes);
	for (unsigned int i = 0; i < sim->count; i++)
		plug_node_destroy(sim->processes[i].node);
	free(sim);
}

static void
deliver(void)
{
	while (sim->head != sim->tail) {
		struct envelope *envelope = &sim->queue[sim->head % QUEUE_MAX];
		unsigned int i = envelope->target.address - 0x7f000001;
		struct plug_node_event event = { .kind = PLUG_NODE_PEER };
		Plug__Message *message;

		if (envelope->due > sim->now)
			return;
		sim->head++;
		message =
		    plug__message__unpack(NULL, envelope->len, envelope->bytes);
		free(envelope->bytes);
		ck_assert_ptr_nonnull(message);
		event.peer = message;
		if (i < sim->count && !sim->processes[i].paused)
			plug_node_handle(
			    sim->processes[i].node, sim->now, &event);
		plug__message__free_unpacked(message, NULL);
	}
}

static void
serve(struct process *process)
{
	bool failing = sim->service_down && sim->now >= process->next_failure;

	if (failing)
		process->next_failure = sim->now + FAILURE_TIME;
	for (unsigned int i = 0; i < VALUES_MAX; i++) {
		const struct value *value = &sim->values[i];
		struct plug_node_event event = { .kind = PLUG_NODE_VALUE };

		if (!process->watched[i] || process->deaf)
			continue;
		if (failing) {
			event.kind = PLUG_NODE_FAILURE;
			event.failure = plug_str_from(value->key);
		} else if (!sim->service_down &&
			   value->version != process->index[i]) {
			process->index[i] = value->version;
			event.value.key = plug_str_from(value->key);
			event.value.version = value->version;
			event.value.data = plug_str_from(value->text);
		} else {
			continue;
		}
		plug_node_handle(process->node, sim->now, &event);
	}
}

static void
run(plug_time duration)
{
	plug_time end = sim->now + duration;

	for (; sim->now < end; sim->now += STEP) {
		deliver();
		for (unsigned int i = 0; i < sim->count; i++) {
			struct process *process = &sim->processes[i];
			struct plug_node_event event = { .kind =
							     PLUG_NODE_TICK };

			if (process->paused)
				continue;
			if (sim->now >= process->next_tick) {
				process->next_tick = sim->now + TICK;
				plug_node_handle(
				    process->node, sim->now, &event);
			}
			serve(process);
		}
	}
}

static unsigned int
count_at(uint64_t version)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < sim->count; i++)
		count += sim->processes[i].version == version;
	return count;
}

static unsigned int
count_watches(unsigned int value)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < sim->count; i++)
		count += sim->processes[i].watched[value];
	return count;
}

/* Guards against a configuration that misses its 7 s when a third of the
 * messages are lost, and against a fleet that watches as a whole. */
START_TEST(new_version_reaches_all)
{
	setup((unsigned int)_i, 32, 8);
	sim->loss_permille = 333;
	run(6 * PLUG_SEC);
	ck_assert_uint_eq(count_at(1), 40);
	for (unsigned int i = 0; i < VALUES_MAX; i++) {
		ck_assert_uint_ge(count_watches(i), 1);
		ck_assert_uint_le(count_watches(i), 8);
	}
	publish_document(2, "\"d1\"");
	run(7 * PLUG_SEC);
	ck_assert_uint_eq(count_at(2), 40);
	teardown();
}
END_TEST

/* Guards against views that are handed out again without a change, and against
 * more than three watchers of a key. */
START_TEST(quiet_when_nothing_changes)
{
	unsigned int views = 0, fetches;

	setup(1, 10, 2);
	run(5 * PLUG_SEC);
	for (unsigned int i = 0; i < sim->count; i++)
		views += sim->processes[i].views;
	fetches = sim->fetches;
	run(10 * PLUG_SEC);
	for (unsigned int i = 0; i < sim->count; i++)
		views -= sim->processes[i].views;
	ck_assert_uint_eq(views, 0);
	ck_assert_uint_eq(sim->fetches, fetches);
	for (unsigned int i = 0; i < VALUES_MAX; i++)
		ck_assert_uint_eq(count_watches(i), 3);
	teardown();
}
END_TEST

/* Guards against a newcomer that can't start while the configuration service
 * is down. */
START_TEST(newcomer_joins_during_outage)
{
	struct process *entry, *agent;

	setup(1, 5, 1);
	run(3 * PLUG_SEC);
	publish_document(2, "\"d2\"");
	run(3 * PLUG_SEC);
	sim->service_down = true;
	run(60 * PLUG_SEC);
	ck_assert_uint_eq(count_at(2), 6);
	entry = start(false);
	agent = start(true);
	run(1500 * PLUG_MSEC);
	ck_assert_uint_eq(entry->first_version, 2);
	ck_assert_uint_eq(agent->first_version, 2);
	ck_assert(plug_node_confirmed(entry->node, sim->now));
	teardown();
}
END_TEST

/* Guards against a newcomer that acts on what a lagging replica says, and a
 * running process that goes back to it. */
START_TEST(stale_replica_is_refused)
{
	struct process *newcomer;

	setup(1, 5, 1);
	run(3 * PLUG_SEC);
	publish_document(5, "\"d2\"");
	run(3 * PLUG_SEC);
	ck_assert_uint_eq(sim->stale_lines, 0);
	publish_document(4, "");
	newcomer = start(false);
	run(3 * PLUG_SEC);
	ck_assert_uint_eq(newcomer->first_version, 5);
	ck_assert_uint_eq(count_at(5), 7);
	ck_assert_uint_ge(sim->stale_lines, 1);
	teardown();
}
END_TEST

/* Guards against a paused process that forwards by the view it had before. */
START_TEST(paused_node_waits_for_confirmation)
{
	struct process *paused;

	setup(1, 5, 1);
	run(3 * PLUG_SEC);
	paused = &sim->processes[4];
	ck_assert(plug_node_confirmed(paused->node, sim->now));
	paused->paused = true;
	publish_document(2, "\"d1\"");
	run(5 * PLUG_SEC);
	ck_assert_uint_eq(paused->version, 1);
	ck_assert(!plug_node_confirmed(paused->node, sim->now));
	paused->paused = false;
	for (unsigned int i = 0; i < 200 && paused->version == 1; i++) {
		run(STEP);
		ck_assert(paused->version == 2 ||
			  !plug_node_confirmed(paused->node, sim->now));
	}
	run(TICK);
	ck_assert_uint_eq(paused->version, 2);
	ck_assert(plug_node_confirmed(paused->node, sim->now));
	teardown();
}
END_TEST

/* Guards against a process that stays silent for good when it resumes alone. */
START_TEST(paused_node_continues_alone)
{
	struct process *paused;

	setup(1, 5, 1);
	run(3 * PLUG_SEC);
	paused = &sim->processes[0];
	paused->paused = true;
	run(2 * PLUG_SEC);
	sim->loss_permille = 1000;
	sim->service_down = true;
	paused->paused = false;
	run(900 * PLUG_MSEC);
	ck_assert(!plug_node_confirmed(paused->node, sim->now));
	run(300 * PLUG_MSEC);
	ck_assert(plug_node_confirmed(paused->node, sim->now));
	ck_assert_uint_eq(paused->version, 1);
	teardown();
}
END_TEST

/* Guards against a wrong document that comes into force, spreads, or is fetched
 * again and again. */
START_TEST(bad_document_is_refused)
{
	unsigned int fetches;

	setup(1, 10, 2);
	run(3 * PLUG_SEC);
	fetches = sim->fetches;
	publish(DOCUMENT, 2, "{\"schema\": 2}");
	run(5 * PLUG_SEC);
	ck_assert_uint_eq(count_at(1), 12);
	ck_assert_uint_eq(sim->refused_lines, 3);
	ck_assert_uint_eq(sim->fetches, fetches);
	publish_document(3, "");
	run(3 * PLUG_SEC);
	ck_assert_uint_eq(count_at(3), 12);
	teardown();
}
END_TEST

/* Guards against an agent without peers that never gets a configuration, and
 * against one that reads it by itself before its peers could answer. */
START_TEST(agent_reads_when_peers_are_silent)
{
	setup((unsigned int)_i, 1, 1);
	sim->loss_permille = 1000;
	run(1900 * PLUG_MSEC);
	ck_assert(!sim->processes[1].watched[DOCUMENT]);
	ck_assert_uint_eq(sim->processes[1].views, 0);
	run(AGENT_DELAY + 600 * PLUG_MSEC);
	ck_assert_uint_eq(sim->processes[1].version, 1);
	publish_document(2, "");
	run(2 * AGENT_DELAY);
	ck_assert_uint_eq(sim->processes[1].version, 2);
	teardown();
}
END_TEST

/* Guards against agents that read the configuration service at the same time
 * when none of their peers answers, and against ones that then keep waiting
 * calls. 4,300 agents with 3 keys may make 300 calls a second, so at most 2.3%
 * of them may start in one second. Of 40 agents that would be one; random times
 * need more room, and 5 in one second are an eighth. */
START_TEST(agents_read_at_different_times)
{
	const unsigned int most = 5 * AGENT_KEYS;
	unsigned int worst = 0, watching = 0;

	setup((unsigned int)_i, 1, 40);
	sim->loss_permille = 1000;
	for (unsigned int i = 0; i < 64; i++) {
		unsigned int before = sim->calls;

		run(PLUG_SEC);
		if (sim->calls - before > worst)
			worst = sim->calls - before;
		watching += count_watches(DOCUMENT);
	}
	/* The entry reads as well, in the first second. */
	ck_assert_uint_le(worst, most);
	ck_assert_uint_eq(count_at(1), 41);
	ck_assert_uint_le(watching, 64 + 40);
	teardown();
}
END_TEST

static bool
holds(const struct process *process, unsigned int value)
{
	return plug_keystore_find(plug_node_keystore(process->node),
		   plug_str_from(sim->values[value].key)) != NULL;
}

/* Guards against lists of entries that every agent gets. */
START_TEST(agent_holds_entries_of_own_domain)
{
	setup(1, 9, 6);
	run(3 * PLUG_SEC);
	for (unsigned int i = 0; i < sim->count; i++) {
		for (unsigned int j = 0; j < DOMAINS; j++)
			ck_assert(holds(&sim->processes[i], ENTRIES + j) ==
				  (i < 9 || i % DOMAINS == j));
	}
	/* The digests of agents and entries agree: nothing is exchanged. */
	ck_assert_uint_gt(sim->versions, 0);
	sim->versions = 0;
	run(10 * PLUG_SEC);
	ck_assert_uint_eq(sim->versions, 0);
	teardown();
}
END_TEST

/* Guards against a list that hides an entry from the agents of its domain. */
START_TEST(entry_in_wrong_domain_is_refused)
{
	setup(1, 9, 1);
	run(3 * PLUG_SEC);
	publish_members(ENTRIES, 1, 4, DOMAINS);
	sim->values[ENTRIES].version = 2;
	run(3 * PLUG_SEC);
	ck_assert_uint_eq(sim->refused_lines, 3);
	for (unsigned int i = 0; i < sim->count; i++) {
		const struct plug_key_entry *entry = plug_keystore_find(
		    plug_node_keystore(sim->processes[i].node),
		    plug_str_from(sim->values[ENTRIES].key));

		ck_assert(entry == NULL || entry->version == 1);
	}
	teardown();
}
END_TEST

/* Guards against digests and notices that open a connection to nearly every
 * peer: 6 partners, and the 4 that are replaced in 120 s. */
START_TEST(entries_keep_few_partners)
{
	setup((unsigned int)_i, 41, 0);
	run(10 * PLUG_SEC);
	memset(sim->used, 0, sizeof(sim->used));
	for (unsigned int i = 0; i < 4; i++) {
		run(30 * PLUG_SEC);
		publish_document(2 + i, "");
	}
	for (unsigned int i = 0; i < sim->count; i++) {
		unsigned int targets = 0;

		for (unsigned int j = 0; j < sim->count; j++)
			targets += sim->used[i][j];
		ck_assert_uint_ge(targets, 6);
		ck_assert_uint_le(targets, 10);
	}
	teardown();
}
END_TEST

/* Guards against partners that are all on one side after a partition, so that
 * a region that comes back stays behind. The service is down, so only peers
 * can tell. */
START_TEST(region_returns)
{
	setup((unsigned int)_i, 32, 8);
	run(6 * PLUG_SEC);
	sim->apart = true;
	run(120 * PLUG_SEC);
	for (unsigned int i = 0; i < sim->count; i++)
		sim->processes[i].deaf = i % DOMAINS == 0;
	publish_document(2, "\"d1\"");
	run(7 * PLUG_SEC);
	ck_assert_uint_eq(count_at(2), 26);
	sim->service_down = true;
	sim->apart = false;
	run(7 * PLUG_SEC);
	ck_assert_uint_eq(count_at(2), 40);
	teardown();
}
END_TEST

Suite *
node_suite(void)
{
	Suite *suite = suite_create("node");
	TCase *test = tcase_create("node");

	tcase_set_timeout(test, 60);
	tcase_add_loop_test(test, new_version_reaches_all, 0, 20);
	tcase_add_test(test, quiet_when_nothing_changes);
	tcase_add_test(test, newcomer_joins_during_outage);
	tcase_add_test(test, stale_replica_is_refused);
	tcase_add_test(test, paused_node_waits_for_confirmation);
	tcase_add_test(test, paused_node_continues_alone);
	tcase_add_test(test, bad_document_is_refused);
	tcase_add_loop_test(test, agent_reads_when_peers_are_silent, 0, 10);
	tcase_add_loop_test(test, agents_read_at_different_times, 0, 10);
	tcase_add_test(test, agent_holds_entries_of_own_domain);
	tcase_add_test(test, entry_in_wrong_domain_is_refused);
	tcase_add_loop_test(test, entries_keep_few_partners, 0, 5);
	tcase_add_loop_test(test, region_returns, 0, 20);
	suite_add_tcase(suite, test);
	return suite;
}
