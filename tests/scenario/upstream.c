#include "world.h"

#define LOOPBACK      100 /* microseconds between agent and upstream */
#define COLD_TIME     (10 * PLUG_SEC)
#define CONNECT_EVERY (200 * PLUG_MSEC)
#define SIGN_GRACE    (10 * PLUG_MSEC) /* for an agent to act on a sign */
#define LEAVE_BOUND   (3 * PLUG_SEC)
#define SHORT_TIME    (5 * PLUG_MSEC) /* mean service times */
#define BULK_TIME     (200 * PLUG_MSEC)

static struct event *
tell(const struct process *process, int kind)
{
	return event_new(LOOPBACK, kind, process->index, process->epoch);
}

/* Closes the agent's connection and opens a new one. */
void
upstream_reconnect(struct process *process)
{
	if (process->upstream.connection != 0)
		(void)tell(process, AGENT(UPSTREAM_CLOSED));
	process->upstream.connection = 0;
	(void)tell(process, EV_CONNECT);
}

/* Starts an upstream that has been warm for an age. */
void
upstream_start(struct process *process, plug_time age)
{
	process->upstream.alive = true;
	process->upstream.draining = false;
	process->upstream.running = 0;
	process->upstream.started = world.now - age;
	process->upstream.epoch = ++world.seq;
	process->leave_time = 0;
	upstream_reconnect(process);
}

/* Ends an upstream with everything that it runs. */
void
upstream_kill(struct process *process)
{
	process->upstream.alive = false;
	process->upstream.epoch = ++world.seq;
	upstream_reconnect(process);
}

/* Carries a request from an agent to its upstream. */
void
upstream_call(struct process *process, uint64_t id, uint32_t procedure,
    struct plug_str body)
{
	struct event *call = tell(process, EV_CALL);

	call->epoch = process->upstream.connection;
	call->a = id;
	call->b = procedure;
	call->data = apr_pmemdup(world.pool, body.data, body.len);
	call->len = body.len;
}

static unsigned int
bearable(const struct process *process)
{
	plug_time age = world.now - process->upstream.started;
	unsigned int slots = world.services[process->service].slots;

	return age >= COLD_TIME
		   ? slots
		   : 1 + (unsigned int)((slots - 1) * age / COLD_TIME);
}

/* Refuses work that it can't bear; a first surprise is not held against it. */
static void
shed(struct process *process, uint64_t id)
{
	struct upstream *upstream = &process->upstream;
	struct event *reply = tell(process, AGENT(UPSTREAM_REPLY));

	reply->a = id;
	reply->b = PLUG_UPSTREAM_SHED;
	world.figures.overload +=
	    !upstream->unannounced ||
	    (upstream->told > 0 && world.now - upstream->told > SIGN_GRACE);
	if (upstream->told == 0)
		upstream->told = world.now;
}

static void
run_call(struct process *process, const struct event *call)
{
	struct upstream *upstream = &process->upstream;
	struct request *request;
	struct event *end;
	uint64_t tag;
	double took;

	if (call->len != sizeof(tag))
		return;
	memcpy(&tag, call->data, sizeof(tag));
	request = &world.requests[tag];
	world.figures.foreign_work += request->service != process->service;
	world.figures.late_work +=
	    process->leave_time > 0 &&
	    world.now - process->leave_time > LEAVE_BOUND;
	if (upstream->running >= bearable(process)) {
		shed(process, call->a);
		return;
	}
	upstream->running++;
	world.figures.runs++;
	world.figures.repeated_runs += request->runs > 0;
	world.figures.duplicate_runs +=
	    request->runs > 0 && request->operation == 0;
	world.figures.false_refusals +=
	    request->runs == 0 && request->end == END_NOT_RUN;
	request->runs++;
	took = (request->operation == BULK ? BULK_TIME : SHORT_TIME) *
	       (0.5 + uniform());
	upstream->busy[world.now / PLUG_SEC] += (float)took;
	end = event_new(
	    (plug_time)took, EV_WORK_END, call->target, upstream->epoch);
	end->a = call->a;
	end->b = upstream->connection;
	end->data = request_answer(tag, &end->len);
}

static void
end_call(struct process *process, struct event *event)
{
	struct upstream *upstream = &process->upstream;

	if (upstream->epoch != event->epoch)
		return;
	upstream->running--;
	if (upstream->connection != event->b || upstream->silent == event->b)
		return;
	event->kind = AGENT(UPSTREAM_REPLY);
	event->epoch = process->epoch;
	event->b = PLUG_UPSTREAM_DONE;
	event_at(event, LOOPBACK);
}

/* Something happens at an upstream. */
void
upstream_event(struct event *event)
{
	struct process *process = &world.processes[event->target];
	struct upstream *upstream = &process->upstream;

	if (event->kind == EV_WORK_END)
		end_call(process, event);
	else if (event->kind == EV_CALL) {
		if (!upstream->alive || event->epoch == 0 ||
		    event->epoch != upstream->connection ||
		    event->epoch == upstream->silent)
			return;
		if (event->b == PLUG_PROCEDURE_NULL)
			tell(process, AGENT(UPSTREAM_REPLY))->a = event->a;
		else
			run_call(process, event);
	} else if (process->alive && process->epoch == event->epoch &&
		   upstream->connection == 0) {
		if (!upstream->alive) {
			event_at(event, CONNECT_EVERY);
			return;
		}
		upstream->connection = ++world.seq;
		(void)tell(process, AGENT(UPSTREAM_OPEN));
	}
}

/* The agent's driver reads the health endpoint. */
void
upstream_poll(struct process *process)
{
	const struct upstream *upstream = &process->upstream;
	plug_time then = world.now - upstream->lag;
	plug_time uptime = then - upstream->started;
	struct event *health;

	if (upstream->connection == 0 ||
	    upstream->connection == upstream->silent)
		return;
	health = tell(process, AGENT(UPSTREAM_HEALTH));
	uptime = uptime < 0 ? LONG_UPTIME : uptime;
	health->a = (uint64_t)(uptime / PLUG_SEC);
	health->b = upstream->draining;
	if (then >= PLUG_SEC)
		health->load = upstream->busy[then / PLUG_SEC - 1] /
			       (double)PLUG_SEC /
			       world.services[process->service].slots;
	if (upstream->lie >= 0)
		health->load = upstream->lie;
}
