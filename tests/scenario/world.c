#include "world.h"

#define AGENT_TICK   (10 * PLUG_MSEC)
#define LOCAL_DELAY  200 /* microseconds inside one domain */
#define HELD_MAX     4096
#define HEALTH_EVERY PLUG_SEC
#define OUT_BOUND    3.0 /* seconds until a domain must be silent */

struct world world;

double
uniform(void)
{
	return erand48(world.rng);
}

plug_time
seconds(double value)
{
	return (plug_time)(value * (double)PLUG_SEC);
}

void
trace(const char *format, ...)
{
	va_list ap;

	if (!world.trace)
		return;
	printf("t=%.6f who=", (double)world.now / (double)PLUG_SEC);
	va_start(ap, format);
	(void)vprintf(format, ap);
	va_end(ap);
	printf("\n");
}

/* Queues an event that is not queued yet. */
void
event_at(struct event *event, plug_time delay)
{
	event->time = world.now + delay;
	event->seq = world.seq++;
	(void)apr_skiplist_insert(world.queue, event);
}

/* Allocates and queues an event; the caller may fill in the arguments. */
struct event *
event_new(plug_time delay, int kind, int target, uint64_t epoch)
{
	struct event *event = apr_pcalloc(world.pool, sizeof(*event));

	event->kind = kind;
	event->target = target;
	event->epoch = epoch;
	event_at(event, delay);
	return event;
}

static int
compare_event(void *left, void *right)
{
	const struct event *a = left, *b = right;

	if (a->time != b->time)
		return a->time < b->time ? -1 : 1;
	return a->seq < b->seq ? -1 : a->seq > b->seq;
}

static bool
covers(int rule, int place)
{
	if (rule <= PLACE_DOMAIN && place >= 0)
		return world.processes[place].domain == PLACE_DOMAIN - rule;
	return rule == place;
}

/* Whether a cut separates two places in this direction. */
bool
link_cut(int from, int to)
{
	for (int i = 0; i < world.cut_count; i++)
		if (covers(world.cuts[i][0], from) &&
		    covers(world.cuts[i][1], to))
			return true;
	return false;
}

/* Sends a copy of an event over a link; jitter alone changes the order. */
void
link_send(enum link_class class, int from, int to, const struct event *event)
{
	const struct link *link = &world.links[class];
	plug_time delay = world.across;

	if (from < 0 || to < 0)
		delay = world.to_caller;
	else if (world.processes[from].domain == world.processes[to].domain)
		delay = LOCAL_DELAY;
	if (link_cut(from, to) || uniform() < link->loss)
		return;
	for (int copies = uniform() < link->duplicate ? 2 : 1; copies > 0;
	     copies--) {
		struct event *copy =
		    apr_pmemdup(world.pool, event, sizeof(*event));

		copy->data = apr_pmemdup(world.pool, event->data, event->len);
		event_at(copy, delay + seconds(uniform() * link->jitter));
	}
}

/* Whether the process's domain is taken out for its service. */
bool
process_out(const struct process *p)
{
	return p->service >= 0 && world.services[p->service].out[p->domain];
}

/* Adds a process that is not running yet; number 0 is not in its name. */
struct process *
process_add(
    const char *name, int number, int domain, int service, uint32_t address)
{
	struct process *p = &world.processes[world.process_count];

	if (world.process_count == PROCESSES_MAX)
		abort();
	p->name =
	    number == 0 ? name : apr_psprintf(world.pool, "%s%d", name, number);
	p->index = world.process_count++;
	p->domain = domain;
	p->service = service;
	p->endpoint = (struct plug_endpoint){ address, 7000 };
	p->upstream.lie = -1;
	p->held = apr_array_make(world.pool, 16, sizeof(struct event *));
	return p;
}

static void
start_ticks(const struct process *p)
{
	(void)event_new(0, NODE(TICK), p->index, p->epoch);
	if (p->agent != NULL)
		(void)event_new(0, AGENT(TICK), p->index, p->epoch);
}

/* Starts a process with an empty memory and a new instance id. */
void
process_start(struct process *p)
{
	if (p->alive)
		return;
	p->seed_count = 0;
	for (int i = 0; i < world.process_count; i++)
		if (i != p->index && world.processes[i].service < 0 &&
		    p->seed_count < SEEDS)
			p->seeds[p->seed_count++] = world.processes[i].endpoint;
	p->alive = true;
	p->leaving = p->stopped = false;
	p->leave_time = 0;
	p->since = world.now;
	p->epoch = ++world.seq;
	p->instance = p->epoch << 32 | 1;
	for (int i = 0; i < 3; i++)
		p->client.random[i] = (unsigned short)(uniform() * 65536);
	memset(p->seen, 0, sizeof(p->seen));
	process_create(p);
	start_ticks(p);
	config_members(p->service, p->domain);
	if (p->upstream.alive)
		upstream_reconnect(p);
}

/* Ends a process at once; its upstream is not touched. */
void
process_end(struct process *p, bool crash)
{
	if (!p->alive)
		return;
	if (crash && world.killed_count < KILLED_MAX)
		world.killed[world.killed_count++] = p->instance;
	process_destroy(p);
	apr_array_clear(p->held);
	p->alive = p->paused = p->mute = false;
	p->gone = crash ? world.now : -PLUG_SEC * SECONDS_MAX;
	p->epoch = ++world.seq;
	p->upstream.connection = 0;
	config_members(p->service, p->domain);
}

/* Continues a paused process; what waited in its sockets comes first. */
void
process_resume(struct process *p)
{
	if (!p->paused)
		return;
	p->paused = false;
	p->since = world.now;
	for (int i = 0; i < p->held->nelts; i++)
		event_at(APR_ARRAY_IDX(p->held, i, struct event *), 0);
	apr_array_clear(p->held);
	start_ticks(p);
}

static void
run_input(struct event *event)
{
	struct process *p = &world.processes[event->target];
	double *silent = &world.figures.domain_silent_after, late;

	if (!p->alive || event->epoch != p->epoch)
		return;
	if (p->paused) {
		if (event->kind != AGENT(TICK) && event->kind != NODE(TICK) &&
		    p->held->nelts < HELD_MAX)
			APR_ARRAY_PUSH(p->held, struct event *) = event;
		return;
	}
	if (event->kind == AGENT(DATAGRAM) && process_out(p)) {
		late =
		    (double)(world.now -
			     world.services[p->service].out_since[p->domain]) /
		    (double)PLUG_SEC;
		world.figures.late_packets += late > OUT_BOUND;
		*silent = fmax(*silent, late);
	}
	process_input(p, event);
	if (event->kind == NODE(TICK))
		event_at(event, NODE_TICK);
	else if (event->kind == AGENT(TICK))
		event_at(event, AGENT_TICK);
	if (p->stopped)
		process_end(p, false);
}

static void
run_sample(struct event *event)
{
	for (int i = 0; i < world.process_count; i++) {
		struct process *p = &world.processes[i];

		if (!p->alive || p->paused)
			continue;
		config_poll(p);
		if (world.now % HEALTH_EVERY == 0 && p->upstream.alive)
			upstream_poll(p);
		for (int k = 0; k < world.key_count; k++)
			verdict_sample(p, k);
	}
	event_at(event, NODE_TICK);
}

/* Runs one scenario in a world whose options are set. */
void
world_run(void)
{
	struct event *event;

	(void)apr_pool_create(&world.pool, NULL);
	(void)apr_skiplist_init(&world.queue, world.pool);
	apr_skiplist_set_compare(world.queue, compare_event, compare_event);
	world.rng[0] = (unsigned short)world.seed;
	world.rng[1] = (unsigned short)(world.seed >> 16);
	world.callers =
	    apr_pcalloc(world.pool, CALLERS_MAX * sizeof(*world.callers));
	world.requests =
	    apr_pcalloc(world.pool, REQUESTS_MAX * sizeof(*world.requests));
	script_setup();
	(void)event_new(0, EV_SAMPLE, 0, 0);
	while ((event = apr_skiplist_pop(world.queue, NULL)) != NULL &&
	       event->time <= world.end) {
		world.now = event->time;
		if (event->kind < EV_CALL)
			run_input(event);
		else if (event->kind < EV_PACKET)
			upstream_event(event);
		else if (event->kind < EV_PUBLISH)
			caller_event(event);
		else if (event->kind == EV_PUBLISH)
			config_store(event->key, (char *)event->data);
		else if (event->kind == EV_SAMPLE)
			run_sample(event);
		else
			script_command(event->target);
	}
}

/* Frees everything that belongs to the world. */
void
world_finish(void)
{
	for (int i = 0; i < world.process_count; i++)
		process_destroy(&world.processes[i]);
	for (int i = 0; i < world.caller_count; i++)
		if (world.callers[i].flows > 0)
			plug_callerflow_finish(&world.callers[i].flow);
	apr_pool_destroy(world.pool);
}
