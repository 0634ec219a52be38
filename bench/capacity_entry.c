/*
 * What an entry's control state costs: memory by the number of services, of
 * upstreams and of entries known; processor time of a tick, of a digest, of a
 * list of versions, of an announced version and of a configuration change by
 * the number of services. One node is driven directly.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common.h"
#include "config.h"

#define ROUNDS	     300
#define TICK	     (100 * PLUG_MSEC)
#define NSEC_PER_SEC 1e9
#define SETTLE_TICKS 20
#define POINTS	     4
#define LIST_KEYS    64 /* keys of a list after a digest */

static const unsigned int service_sizes[POINTS] = { 80, 160, 240, 330 };
static const unsigned int host_sizes[POINTS] = { 4, 13, 26, 52 };
static const unsigned int entry_sizes[POINTS] = { 100, 300, 500, 660 };

/* Proportions of design section 2, for what does not vary. */
#define SERVICES 100
#define HOSTS	 13
#define ENTRIES	 100

struct solo {
	struct plug_client client;
	struct plug_node *node;
	struct plug_view *view;
	uint64_t views;
	uint64_t messages;
	uint64_t digest; /* of the last digest that was sent */
};

static struct bench_config config;
static struct solo solo;
static plug_time now;
static struct bench_samples samples;
static uint64_t agent_digest; /* of service 0 */

static double
allocated(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)info.uordblks + (double)info.hblkhd;
}

static void
on_emit(void *data, const struct plug_action *action)
{
	struct solo *self = data;

	if (action->kind == PLUG_ACTION_VIEW) {
		self->views++;
		plug_view_release(self->view);
		self->view = plug_view_reference(action->view);
	} else if (action->kind == PLUG_ACTION_PEER) {
		self->messages++;
		if (action->peer.message->body_case ==
		    PLUG__MESSAGE__BODY_DIGEST)
			self->digest = action->peer.message->digest->hash;
	}
}

static void
tick(void)
{
	const struct plug_node_event event = { .kind = PLUG_NODE_TICK };

	now += TICK;
	plug_node_handle(solo.node, now, &event);
}

static void
give_value(unsigned int place)
{
	const struct bench_value *value = &config.values[place];
	struct plug_node_event event = { .kind = PLUG_NODE_VALUE };

	event.value.key = plug_str_from(value->key);
	event.value.version = value->version;
	event.value.data = plug_str_from(value->text);
	plug_node_handle(solo.node, now, &event);
}

static void
give_message(Plug__Message__BodyCase body_case, void *body)
{
	struct plug_node_event event = { .kind = PLUG_NODE_PEER };
	struct plug_endpoint from = bench_entry_endpoint(1);
	Plug__Sender sender = PLUG__SENDER__INIT;
	Plug__Message message = PLUG__MESSAGE__INIT;

	sender.instance = 77;
	sender.address = from.address;
	sender.port = from.port;
	sender.domain = plug_domain_hash(PLUG_STR("domain-0"));
	message.sender = &sender;
	message.body_case = body_case;
	message.digest = body;
	event.peer = &message;
	plug_node_handle(solo.node, now, &event);
}

static void
start(unsigned int entries, unsigned int services, unsigned int hosts)
{
	struct plug_endpoint seed = bench_entry_endpoint(1);
	const struct plug_node_config node_config = { .instance = 9,
		.endpoint = bench_entry_endpoint(0),
		.domain = plug_domain_hash(PLUG_STR("domain-0")),
		.domain_name = PLUG_STR("domain-0"),
		.service_name = PLUG_STR(""),
		.seeds = &seed,
		.seed_count = 1 };

	bench_config_init(&config, entries, services, hosts);
	now = PLUG_SEC;
	memset(&solo, 0, sizeof(solo));
	solo.client = (struct plug_client){
		.emit = on_emit, .emit_data = &solo, .random = { 1, 2, 3 }
	};
	solo.node = plug_node_create(&solo.client, &node_config, now);
	if (solo.node == NULL)
		abort();
	tick();
	for (unsigned int i = 0; i < config.count; i++)
		give_value(i);
	for (int i = 0; i < SETTLE_TICKS; i++)
		tick();
	if (solo.view == NULL || solo.view->service_count != services)
		abort();
}

static void
stop(void)
{
	plug_node_destroy(solo.node);
	plug_view_release(solo.view);
	bench_config_finish(&config);
}

/* The values of the stand-in are allocated before and freed after. */
static double
measure_memory(unsigned int entries, unsigned int services, unsigned int hosts)
{
	double held;

	start(entries, services, hosts);
	held = allocated();
	plug_node_destroy(solo.node);
	plug_view_release(solo.view);
	held -= allocated();
	bench_config_finish(&config);
	return held;
}

static void
print_fit(const char *figure, const char *unit, const unsigned int *sizes,
    const double *values)
{
	double points[POINTS];
	struct bench_fit fit;

	for (int i = 0; i < POINTS; i++)
		points[i] = sizes[i];
	fit = bench_fit_line(points, values, POINTS);
	(void)printf("event=capacity name=entry figure=%s", figure);
	for (int i = 0; i < POINTS; i++)
		(void)printf(" at_%u=%.0f", sizes[i], values[i]);
	(void)printf(" slope_per_%s=%.3f intercept=%.0f error=%.3f\n", unit,
	    fit.slope, fit.intercept, fit.error);
	(void)fflush(stdout);
}

enum figure {
	TICK_COST,
	DIGEST,
	AGENT_DIGEST,
	VERSIONS,
	NOTICE,
	CHANGE,
	FIGURES
};
static const char *const names[] = { "tick_ns", "digest_ns", "agent_digest_ns",
	"versions_ns", "notice_ns", "change_ns" };

static void
do_digest(unsigned int round)
{
	Plug__Digest digest = PLUG__DIGEST__INIT;

	(void)round;
	digest.hash = solo.digest;
	give_message(PLUG__MESSAGE__BODY_DIGEST, &digest);
}

/* Hash over the keys that an agent of the service holds. */
static uint64_t
agent_hash(unsigned int service)
{
	const struct plug_keystore *store = plug_node_keystore(solo.node);
	uint64_t entries =
	    plug_keystore_digest(store, PLUG_STR("entries/domain-0"));
	char name[16];

	(void)snprintf(name, sizeof(name), "s%u", service);
	return plug_keystore_digest(store, plug_str_from(name)) ^
	       (entries << 1 | entries >> 63);
}

/* An agent's digest covers the keys of its service only. */
static void
do_agent_digest(unsigned int round)
{
	Plug__Digest digest = PLUG__DIGEST__INIT;

	(void)round;
	digest.scope = 1;
	digest.hash = agent_digest;
	give_message(PLUG__MESSAGE__BODY_DIGEST, &digest);
	if (solo.digest != agent_digest)
		abort();
}

static void
do_versions(unsigned int round)
{
	Plug__Versions versions = PLUG__VERSIONS__INIT;
	Plug__KeyVersion keys[LIST_KEYS];
	Plug__KeyVersion *list[LIST_KEYS];

	for (unsigned int i = 0; i < LIST_KEYS; i++) {
		const struct bench_value *value =
		    &config.values[(round + i) % config.count];

		plug__key_version__init(&keys[i]);
		keys[i].key = (char *)(uintptr_t)value->key;
		keys[i].version = value->version;
		keys[i].hash = plug_str_hash(plug_str_from(value->text));
		list[i] = &keys[i];
	}
	versions.n_keys = LIST_KEYS;
	versions.keys = list;
	give_message(PLUG__MESSAGE__BODY_VERSIONS, &versions);
}

static void
do_notice(unsigned int round)
{
	Plug__Notice notice = PLUG__NOTICE__INIT;
	Plug__KeyVersion key = PLUG__KEY_VERSION__INIT;
	const struct bench_value *value = &config.values[round % config.count];

	key.key = (char *)(uintptr_t)value->key;
	key.version = value->version;
	key.hash = plug_str_hash(plug_str_from(value->text));
	notice.key = &key;
	give_message(PLUG__MESSAGE__BODY_NOTICE, &notice);
}

/* A changed document and the view that follows it. */
static void
do_change(unsigned int round)
{
	uint64_t views = solo.views;

	(void)round;
	give_value(BENCH_DOCUMENT(0));
	if (solo.views == views)
		abort();
}

static void
do_tick(unsigned int round)
{
	(void)round;
	tick();
}

static void (*const actions[])(unsigned int round) = { do_tick, do_digest,
	do_agent_digest, do_versions, do_notice, do_change };

static double
time_action(enum figure figure)
{
	double start_time;

	samples.count = 0;
	agent_digest = agent_hash(0);
	for (unsigned int round = 0; round < ROUNDS; round++) {
		if (round % 8 == 0)
			tick();
		if (figure == CHANGE) {
			bench_config_document(&config, 0);
			tick();
		}
		start_time = bench_now();
		actions[figure](round);
		bench_samples_add(
		    &samples, (bench_now() - start_time) * NSEC_PER_SEC);
	}
	bench_samples_sort(&samples);
	return bench_samples_quantile(&samples, 0.5);
}

static double
mean_tick(void)
{
	double start_time = bench_now();

	for (int i = 0; i < ROUNDS; i++)
		tick();
	return (bench_now() - start_time) * NSEC_PER_SEC / ROUNDS;
}

static void
measure_times(void)
{
	static double values[FIGURES][POINTS];

	for (int i = 0; i < POINTS; i++) {
		/* Entries grow with the services: two for each. */
		start(2 * service_sizes[i], service_sizes[i], HOSTS);
		for (int f = 0; f < FIGURES; f++)
			values[f][i] = f == TICK_COST
					   ? mean_tick()
					   : time_action((enum figure)f);
		stop();
	}
	for (int f = 0; f < FIGURES; f++)
		print_fit(names[f], "service", service_sizes, values[f]);
}

int
main(void)
{
	double values[POINTS];

	for (int i = 0; i < POINTS; i++)
		values[i] = measure_memory(ENTRIES, service_sizes[i], 0);
	print_fit("service_bytes", "service", service_sizes, values);
	for (int i = 0; i < POINTS; i++)
		values[i] = measure_memory(ENTRIES, SERVICES, host_sizes[i]);
	print_fit(
	    "host_bytes_100_services", "host_of_each", host_sizes, values);
	for (int i = 0; i < POINTS; i++)
		values[i] = measure_memory(entry_sizes[i], 10, HOSTS);
	print_fit("peer_bytes", "entry", entry_sizes, values);
	(void)printf("event=capacity name=entry figure=target_bytes "
		     "services=330 hosts=4290 entries=660 bytes=%.0f\n",
	    measure_memory(660, 330, HOSTS));
	measure_times();
	return 0;
}
