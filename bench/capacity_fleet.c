/*
 * Control traffic of entries and agents at several fleet sizes: real node
 * code, packed messages, simulated time. The fleet is the load generator; the
 * figures are those of one node. Sizes keep the proportions of design section
 * 2 (660 entries, 330 services, 13 hosts each), so that a figure that bends
 * with the size shows in the error of the fit.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "common.h"
#include "config.h"
#include "net/frame.h"

#define STEP	      (5 * PLUG_MSEC) /* delay of each message and answer */
#define TICK	      (100 * PLUG_MSEC)
#define SECONDS_MAX   256  /* simulated seconds of one fleet */
#define HOSTS	      13   /* of each service: 4,300 over 330 */
#define QUEUE_MIN     1024 /* messages; doubled when full */
#define SEEDS	      3
#define TIMED_EVERY   16 /* one node in so many is timed */
#define RACK	      30 /* hosts of a rack, each of another service */
#define MISSED	      60 /* versions that a region missed */
#define WARMUP	      8	 /* seconds */
#define QUIET	      60 /* seconds; a connection is kept as long */
#define BURST	      10 /* seconds watched after an event */
#define WATCH_PERIOD  (50 * PLUG_MSEC) /* between looks at a new version */
#define WATCH_SECONDS 30.0 /* shortest time between calls of a watch */
#define APART	      30   /* seconds that a region is out of contact */
#define REGIONS	      3
#define LOSS	      333 /* messages lost of 1,000 in one phase */

#define SCALES	 4
#define ENTRIES	 660
#define SERVICES 330

static double scales[SCALES] = { 1.0 / 8, 1.0 / 4, 3.0 / 8, 1.0 / 2 };
static size_t scale_count = SCALES;

struct process {
	unsigned int number;
	bool agent;
	bool timed;
	struct plug_client client;
	struct plug_node *node;
	struct plug_node_config config;
	struct plug_endpoint seeds[SEEDS];
	char name[16];
	char domain[16];
	struct plug_view *view;
	plug_time next_tick;
	uint64_t *index; /* of each watched value plus 1; 0: not watched */
	uint64_t bytes, messages;
	double second_bytes[SECONDS_MAX];
	double cpu;
};

struct envelope {
	plug_time due;
	unsigned int target;
	int value; /* answer of the configuration service, or -1 */
	size_t len;
	uint8_t *bytes;
};

/* Messages and answers in the order of their arrival. */
struct queue {
	struct envelope *ring;
	size_t head, tail, capacity;
};

static struct bench_config config;
static struct process *processes;
static unsigned int count;
static plug_time now;
static struct queue queue;
static uint64_t service_calls;
static uint64_t answers; /* by the configuration service */
static unsigned int second_calls[SECONDS_MAX];
static bool apart;	  /* the last region is out of contact */
static unsigned int loss; /* messages lost of 1,000 */
static unsigned short loss_random[3] = { 1, 2, 3 };
static bool *linked; /* pairs of nodes with a message since a phase began */

static bool
is_apart(unsigned int number)
{
	return apart && number % REGIONS == REGIONS - 1;
}

static void
count_bytes(struct process *process, size_t len)
{
	process->bytes += len;
	process->messages++;
	process->second_bytes[now / PLUG_SEC] += (double)len;
}

static unsigned int
process_at(struct plug_endpoint endpoint)
{
	unsigned int agent =
	    endpoint.address - bench_host_endpoint(&config, 0, 0).address;

	if (agent < config.services * config.hosts)
		return config.entries + agent;
	return endpoint.address - bench_entry_endpoint(0).address;
}

static void
grow_queue(void)
{
	size_t capacity = queue.capacity == 0 ? QUEUE_MIN : 2 * queue.capacity;
	struct envelope *ring = malloc(capacity * sizeof(*ring));

	if (ring == NULL)
		abort();
	for (size_t i = queue.head; queue.capacity > 0 && i < queue.tail; i++)
		ring[i % capacity] = queue.ring[i % queue.capacity];
	free(queue.ring);
	queue.ring = ring;
	queue.capacity = capacity;
}

static void
enqueue(unsigned int target, int value, size_t len, uint8_t *bytes)
{
	if (queue.tail - queue.head == queue.capacity)
		grow_queue();
	queue.ring[queue.tail++ % queue.capacity] =
	    (struct envelope){ .due = now + STEP,
		    .target = target,
		    .value = value,
		    .len = len,
		    .bytes = bytes };
}

static void
send_message(struct process *process, const struct plug_action *action)
{
	unsigned int target = process_at(action->peer.target);
	size_t len = plug__message__get_packed_size(action->peer.message);
	uint8_t *bytes;

	count_bytes(process, len + PLUG_FRAME_HEADER);
	if (target >= count || is_apart(process->number) != is_apart(target))
		return;
	linked[(size_t)process->number * count + target] = true;
	linked[(size_t)target * count + process->number] = true;
	if (loss > 0 && (unsigned int)(nrand48(loss_random) % 1000) < loss)
		return;
	bytes = malloc(len);
	if (bytes == NULL)
		abort();
	(void)plug__message__pack(action->peer.message, bytes);
	enqueue(target, -1, len, bytes);
}

static void
count_call(void)
{
	service_calls++;
	second_calls[now / PLUG_SEC]++;
}

static void
on_emit(void *data, const struct plug_action *action)
{
	struct process *process = data;
	int value;

	switch (action->kind) {
	case PLUG_ACTION_PEER:
		send_message(process, action);
		return;
	case PLUG_ACTION_WATCH:
		value = bench_config_find(&config, action->watch.key);
		count_call();
		if (value < 0)
			return;
		process->index[value] = action->watch.index + 1;
		if (config.values[value].version != action->watch.index)
			enqueue(process->number, value, 0, NULL);
		return;
	case PLUG_ACTION_UNWATCH:
		value = bench_config_find(&config, action->watch.key);
		if (value >= 0)
			process->index[value] = 0;
		return;
	case PLUG_ACTION_VIEW:
		plug_view_release(process->view);
		process->view = plug_view_reference(action->view);
		return;
	default:
		return;
	}
}

static double
thread_cpu(void)
{
	struct timespec ts;

	(void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static void
handle(struct process *process, const struct plug_node_event *event)
{
	double start;

	if (!process->timed) {
		plug_node_handle(process->node, now, event);
		return;
	}
	start = thread_cpu();
	plug_node_handle(process->node, now, event);
	process->cpu += thread_cpu() - start;
}

static void
answer_watch(struct process *process, int place)
{
	const struct bench_value *value = &config.values[place];
	struct plug_node_event event = { .kind = PLUG_NODE_VALUE };

	if (process->index[place] == 0 ||
	    process->index[place] == value->version + 1 ||
	    is_apart(process->number))
		return;
	/* The driver asks again from the version that it has received. */
	process->index[place] = value->version + 1;
	count_call();
	answers++;
	event.value.key = plug_str_from(value->key);
	event.value.version = value->version;
	event.value.data = plug_str_from(value->text);
	handle(process, &event);
}

static void
deliver_message(struct process *process, const struct envelope *envelope)
{
	struct plug_node_event event = { .kind = PLUG_NODE_PEER };
	double start = thread_cpu();
	Plug__Message *message =
	    plug__message__unpack(NULL, envelope->len, envelope->bytes);

	if (message == NULL)
		abort();
	if (process->timed)
		process->cpu += thread_cpu() - start;
	count_bytes(process, envelope->len + PLUG_FRAME_HEADER);
	event.peer = message;
	handle(process, &event);
	plug__message__free_unpacked(message, NULL);
}

static void
deliver(void)
{
	while (queue.head != queue.tail) {
		/* A copy: what is delivered may enlarge the ring. */
		struct envelope envelope =
		    queue.ring[queue.head % queue.capacity];
		struct process *process = &processes[envelope.target];

		if (envelope.due > now)
			return;
		queue.head++;
		if (envelope.value >= 0)
			answer_watch(process, envelope.value);
		else
			deliver_message(process, &envelope);
		free(envelope.bytes);
	}
}

static void
run(plug_time duration)
{
	plug_time end = now + duration;
	const struct plug_node_event event = { .kind = PLUG_NODE_TICK };

	for (; now < end; now += STEP) {
		deliver();
		for (unsigned int i = 0; i < count; i++) {
			struct process *process = &processes[i];

			if (now < process->next_tick)
				continue;
			process->next_tick = now + TICK;
			handle(process, &event);
		}
	}
}

/* Wakes the watches of a value that was published. */
static void
wake_watches(unsigned int value)
{
	for (unsigned int i = 0; i < count; i++) {
		if (processes[i].index[value] != 0 && !is_apart(i))
			enqueue(i, (int)value, 0, NULL);
	}
}

static void
start_node(struct process *process)
{
	plug_view_release(process->view);
	process->view = NULL;
	plug_node_destroy(process->node);
	memset(process->index, 0, config.count * sizeof(*process->index));
	process->config.instance++;
	process->node =
	    plug_node_create(&process->client, &process->config, now);
	if (process->node == NULL)
		abort();
}

/* Common seeds are the first entries; spread ones differ between nodes. */
static void
set_seeds(struct process *process, bool spread)
{
	for (unsigned int i = 0; i < SEEDS; i++)
		process->seeds[i] = bench_entry_endpoint(
		    spread ? (process->number * SEEDS + i) % config.entries
			   : i);
}

static void
create_process(unsigned int number)
{
	struct process *process = &processes[number];
	unsigned int agent = number - config.entries;
	unsigned int service = agent / config.hosts;
	unsigned int host = agent % config.hosts;

	process->number = number;
	process->agent = number >= config.entries;
	process->timed = number % TIMED_EVERY == 0;
	process->index = calloc(config.count, sizeof(*process->index));
	if (process->index == NULL)
		abort();
	process->client = (struct plug_client){ .emit = on_emit,
		.emit_data = process,
		.random = { (unsigned short)number, 7, 1 } };
	process->config.instance = (uint64_t)number << 32;
	process->config.seeds = process->seeds;
	set_seeds(process, false);
	process->config.seed_count = SEEDS;
	(void)snprintf(process->domain, sizeof(process->domain), "domain-%u",
	    (process->agent ? host : number) % BENCH_DOMAINS);
	process->config.domain_name = plug_str_from(process->domain);
	process->config.domain = plug_domain_hash(process->config.domain_name);
	process->config.endpoint = bench_entry_endpoint(number);
	if (process->agent) {
		process->config.endpoint =
		    bench_host_endpoint(&config, service, host);
		process->config.service = service + 1;
		(void)snprintf(
		    process->name, sizeof(process->name), "s%u", service);
	}
	process->config.service_name = plug_str_from(process->name);
	start_node(process);
	process->next_tick = now + (plug_time)(number % (TICK / STEP)) * STEP;
}

static void
create_fleet(double scale)
{
	unsigned int services = (unsigned int)(SERVICES * scale);

	bench_config_init(
	    &config, (unsigned int)(ENTRIES * scale), services, HOSTS);
	now = PLUG_SEC;
	memset(second_calls, 0, sizeof(second_calls));
	count = config.entries + services * HOSTS;
	processes = calloc(count, sizeof(*processes));
	linked = calloc((size_t)count * count, sizeof(*linked));
	if (processes == NULL || linked == NULL)
		abort();
	for (unsigned int i = 0; i < count; i++)
		create_process(i);
}

static void
destroy_fleet(void)
{
	for (; queue.head != queue.tail; queue.head++)
		free(queue.ring[queue.head % queue.capacity].bytes);
	free(queue.ring);
	memset(&queue, 0, sizeof(queue));
	for (unsigned int i = 0; i < count; i++) {
		plug_node_destroy(processes[i].node);
		plug_view_release(processes[i].view);
		free(processes[i].index);
	}
	free(processes);
	free(linked);
	bench_config_finish(&config);
}

/**
 * struct figures - what nodes of one role did in one phase
 * @bytes: bytes sent and received by the mean node, each second
 * @worst: most bytes of one node in one second
 * @total: bytes of the mean node in the whole phase
 * @messages: messages of the mean node, each second
 * @cpu: processor time of the mean timed node, seconds for each second
 * @links: other nodes that the mean node exchanged messages with
 * @worst_links: the same of the node with most of them
 * @behind: nodes without the newest version of a key that they hold
 */
struct figures {
	double bytes;
	double worst;
	double total;
	double messages;
	double cpu;
	double links;
	unsigned int worst_links;
	unsigned int behind;
};

static bool
lacks(const struct process *process, unsigned int place)
{
	const struct plug_str key = plug_str_from(config.values[place].key);
	const struct plug_key_entry *entry =
	    plug_keystore_find(plug_node_keystore(process->node), key);
	bool own = key.len > process->config.domain_name.len &&
		   strcmp(key.data + key.len - process->config.domain_name.len,
		       process->domain) == 0;

	return entry == NULL ? !process->agent || own
			     : entry->version != config.values[place].version;
}

static bool
is_behind(const struct process *process)
{
	for (unsigned int i = 0; i < config.count; i++) {
		if (lacks(process, i))
			return true;
	}
	return false;
}

static unsigned int
count_links(const struct process *process)
{
	unsigned int links = 0;

	for (unsigned int i = 0; i < count; i++)
		links += linked[(size_t)process->number * count + i];
	return links;
}

static struct figures
measure(unsigned int seconds, bool agents, unsigned int first_second)
{
	struct figures figures = { 0 };
	unsigned int nodes = 0, timed = 0, links;

	for (unsigned int i = 0; i < count; i++) {
		struct process *process = &processes[i];

		if (process->agent != agents)
			continue;
		nodes++;
		figures.total += (double)process->bytes;
		figures.messages += (double)process->messages;
		timed += process->timed;
		figures.cpu += process->cpu;
		figures.behind += is_behind(process);
		links = count_links(process);
		figures.links += links;
		if (links > figures.worst_links)
			figures.worst_links = links;
		for (unsigned int s = first_second; s < first_second + seconds;
		     s++) {
			if (process->second_bytes[s] > figures.worst)
				figures.worst = process->second_bytes[s];
		}
	}
	figures.total /= nodes;
	figures.bytes = figures.total / seconds;
	figures.links /= nodes;
	figures.messages /= (double)nodes * seconds;
	figures.cpu /= (double)timed * seconds;
	return figures;
}

enum phase {
	PHASE_QUIET,
	PHASE_CHANGE,
	PHASE_LOSS,
	PHASE_ENTRY,
	PHASE_RACK,
	PHASE_REGION,
	PHASE_COMMON_SEEDS,
	PHASE_SPREAD_SEEDS,
	PHASES
};
static const char *const phase_names[] = { "quiet", "change", "change_loss",
	"entry_replaced", "rack_gone", "region_back", "agents_reconnect",
	"agents_reconnect_spread_seeds" };

static struct figures results[PHASES][2][SCALES];

/* Runs a phase; returns when the last node got the value, in milliseconds. */
static long long
run_phase(unsigned int seconds, int place)
{
	plug_time start = now, end = now + seconds * PLUG_SEC;
	long long last = -1;

	while (now < end) {
		bool late = false;

		run(WATCH_PERIOD);
		for (unsigned int i = 0; place >= 0 && last < 0 && i < count;
		     i++)
			late |= lacks(&processes[i], (unsigned int)place);
		if (place >= 0 && last < 0 && !late)
			last = (now - start) / PLUG_MSEC;
	}
	return last;
}

static void
record(enum phase phase, size_t scale, unsigned int seconds, int place)
{
	long long in_force;
	unsigned int first = (unsigned int)(now / PLUG_SEC);
	unsigned int watches = 0, worst = 0;

	for (unsigned int i = 0; i < count; i++) {
		processes[i].bytes = processes[i].messages = 0;
		processes[i].cpu = 0;
	}
	service_calls = answers = 0;
	memset(linked, 0, (size_t)count * count);
	in_force = run_phase(seconds, place);
	for (unsigned int i = 0; i < count; i++) {
		for (unsigned int j = 0; j < config.count; j++)
			watches += processes[i].index[j] != 0;
	}
	for (unsigned int i = first; i < first + seconds; i++) {
		if (second_calls[i] > worst)
			worst = second_calls[i];
	}
	for (int agents = 0; agents < 2; agents++) {
		struct figures *figures = &results[phase][agents][scale];

		*figures = measure(seconds, agents, first);
		(void)printf(
		    "event=capacity name=fleet phase=%s role=%s entries=%u "
		    "services=%u hosts=%u seconds=%u bytes_per_sec=%.0f "
		    "worst_second_bytes=%.0f phase_bytes=%.0f "
		    "messages_per_sec=%.1f core_share=%.5f links=%.1f "
		    "worst_links=%u behind=%u\n",
		    phase_names[phase], agents ? "agent" : "entry",
		    config.entries, config.services,
		    config.services * config.hosts, seconds, figures->bytes,
		    figures->worst, figures->total, figures->messages,
		    figures->cpu, figures->links, figures->worst_links,
		    figures->behind);
	}
	(void)printf("event=capacity name=fleet phase=%s role=config_service "
		     "entries=%u watches=%u calls=%llu "
		     "worst_second_calls=%u answers=%llu "
		     "seconds=%u renewals_per_sec=%.1f in_force_ms=%lld\n",
	    phase_names[phase], config.entries, watches,
	    (unsigned long long)service_calls, worst,
	    (unsigned long long)answers, seconds, watches / WATCH_SECONDS,
	    in_force);
	(void)fflush(stdout);
}

static void
reconnect_agents(bool spread)
{
	for (unsigned int i = config.entries; i < count; i++) {
		set_seeds(&processes[i], spread);
		start_node(&processes[i]);
	}
}

static void
measure_scale(size_t scale)
{
	create_fleet(scales[scale]);
	run(WARMUP * PLUG_SEC);
	record(PHASE_QUIET, scale, QUIET, -1);

	bench_config_document(&config, 0);
	wake_watches(BENCH_DOCUMENT(0));
	record(PHASE_CHANGE, scale, BURST, BENCH_DOCUMENT(0));

	loss = LOSS;
	bench_config_document(&config, 0);
	wake_watches(BENCH_DOCUMENT(0));
	record(PHASE_LOSS, scale, BURST, BENCH_DOCUMENT(0));
	loss = 0;

	bench_config_entries(&config, 0);
	wake_watches(BENCH_ENTRIES(0));
	record(PHASE_ENTRY, scale, BURST, BENCH_ENTRIES(0));

	for (unsigned int i = 0; i < RACK; i++) {
		unsigned int service = i % config.services;

		bench_config_members(&config, service, 1 + i / config.services);
		wake_watches(BENCH_MEMBERS(service));
	}
	record(PHASE_RACK, scale, BURST, BENCH_MEMBERS(0));

	apart = true;
	run(APART / 2 * PLUG_SEC);
	for (unsigned int i = 0; i < MISSED; i++) {
		bench_config_document(&config, i % config.services);
		wake_watches(BENCH_DOCUMENT(i % config.services));
		run(i % 10 == 0 ? PLUG_SEC : 0);
	}
	run(APART / 2 * PLUG_SEC);
	apart = false;
	for (unsigned int i = 0; i < config.count; i++)
		wake_watches(i);
	record(PHASE_REGION, scale, BURST, BENCH_DOCUMENT(0));

	reconnect_agents(false);
	record(PHASE_COMMON_SEEDS, scale, BURST, BENCH_ENTRIES(0));
	reconnect_agents(true);
	record(PHASE_SPREAD_SEEDS, scale, BURST, BENCH_ENTRIES(0));
	destroy_fleet();
}

static void
print_fit(const char *phase, const char *role, const char *figure,
    const double values[SCALES])
{
	double sizes[SCALES];
	struct bench_fit fit;

	for (size_t i = 0; i < scale_count; i++)
		sizes[i] = scales[i] * ENTRIES;
	fit = bench_fit_line(sizes, values, scale_count);
	(void)printf("event=fit name=fleet phase=%s role=%s figure=%s "
		     "slope_per_entry=%.6g intercept=%.6g error=%.3f "
		     "at_660=%.6g\n",
	    phase, role, figure, fit.slope, fit.intercept, fit.error,
	    fit.intercept + fit.slope * ENTRIES);
}

static void
print_fits(enum phase phase, int agents)
{
	const char *role = agents ? "agent" : "entry";
	double values[6][SCALES];

	for (size_t i = 0; i < scale_count; i++) {
		const struct figures *figures = &results[phase][agents][i];

		values[0][i] = figures->bytes;
		values[1][i] = figures->worst;
		values[2][i] = figures->messages;
		values[3][i] = figures->cpu;
		values[4][i] = figures->total;
		values[5][i] = figures->links;
	}
	print_fit(phase_names[phase], role, "bytes_per_sec", values[0]);
	print_fit(phase_names[phase], role, "worst_second_bytes", values[1]);
	print_fit(phase_names[phase], role, "messages_per_sec", values[2]);
	print_fit(phase_names[phase], role, "core_share", values[3]);
	print_fit(phase_names[phase], role, "phase_bytes", values[4]);
	print_fit(phase_names[phase], role, "links", values[5]);
}

/* With an argument, one fleet of that share of the design scale. */
int
main(int argc, char **argv)
{
	if (argc > 1) {
		scales[0] = strtod(argv[1], NULL);
		scale_count = 1;
	}
	for (size_t i = 0; i < scale_count; i++)
		measure_scale(i);
	for (int phase = 0; scale_count > 1 && phase < PHASES; phase++) {
		print_fits((enum phase)phase, 0);
		print_fits((enum phase)phase, 1);
	}
	return 0;
}
