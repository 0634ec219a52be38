#include "world.h"

#define LOOPBACK      100 /* microseconds between agent and upstream */
#define COLD_TIME     (10 * PLUG_SEC)
#define CONNECT_EVERY (200 * PLUG_MSEC)
#define SIGN_GRACE    (10 * PLUG_MSEC) /* for an agent to act on a sign */
#define LEAVE_BOUND   (3 * PLUG_SEC)
#define SHORT_TIME    (5 * PLUG_MSEC) /* mean service times */
#define BULK_TIME     (200 * PLUG_MSEC)

static struct event *
tell(const struct process *p, int kind)
{
	return event_new(LOOPBACK, kind, p->index, p->epoch);
}

/* Closes the agent's connection and opens a new one. */
void
upstream_reconnect(struct process *p)
{
	if (p->upstream.connection != 0)
		(void)tell(p, AGENT(UPSTREAM_CLOSED));
	p->upstream.connection = 0;
	(void)tell(p, EV_CONNECT);
}

/* Starts an upstream that has been warm for an age. */
void
upstream_start(struct process *p, plug_time age)
{
	p->upstream.alive = true;
	p->upstream.draining = false;
	p->upstream.running = 0;
	p->upstream.started = world.now - age;
	p->upstream.epoch = ++world.seq;
	p->leave_time = 0;
	upstream_reconnect(p);
}

/* Ends an upstream with everything that it runs. */
void
upstream_kill(struct process *p)
{
	p->upstream.alive = false;
	p->upstream.epoch = ++world.seq;
	upstream_reconnect(p);
}

/* Carries a request from an agent to its upstream. */
void
upstream_call(
    struct process *p, uint64_t id, uint32_t procedure, struct plug_str body)
{
	struct event *call = tell(p, EV_CALL);

	call->epoch = p->upstream.connection;
	call->a = id;
	call->b = procedure;
	call->data = apr_pmemdup(world.pool, body.data, body.len);
	call->len = body.len;
}

static unsigned int
bearable(const struct process *p)
{
	plug_time age = world.now - p->upstream.started;
	unsigned int slots = world.services[p->service].slots;

	return age >= COLD_TIME
		   ? slots
		   : 1 + (unsigned int)((slots - 1) * age / COLD_TIME);
}

/* Refuses work that it can't bear; a first surprise is not held against it. */
static void
shed(struct process *p, uint64_t id)
{
	struct upstream *u = &p->upstream;
	struct event *reply = tell(p, AGENT(UPSTREAM_REPLY));

	reply->a = id;
	reply->b = PLUG_UPSTREAM_SHED;
	world.figures.overload +=
	    !u->unannounced ||
	    (u->told > 0 && world.now - u->told > SIGN_GRACE);
	if (u->told == 0)
		u->told = world.now;
}

static void
run_call(struct process *p, const struct event *call)
{
	struct upstream *u = &p->upstream;
	struct request *r;
	struct event *end;
	uint64_t tag;
	double took;

	if (call->len != sizeof(tag))
		return;
	memcpy(&tag, call->data, sizeof(tag));
	r = &world.requests[tag];
	world.figures.foreign_work += r->service != p->service;
	world.figures.late_work +=
	    p->leave_time > 0 && world.now - p->leave_time > LEAVE_BOUND;
	if (u->running >= bearable(p)) {
		shed(p, call->a);
		return;
	}
	u->running++;
	world.figures.runs++;
	world.figures.repeated_runs += r->runs > 0;
	world.figures.duplicate_runs += r->runs > 0 && r->operation == 0;
	world.figures.false_refusals += r->runs == 0 && r->end == END_NOT_RUN;
	r->runs++;
	took =
	    (r->operation == BULK ? BULK_TIME : SHORT_TIME) * (0.5 + uniform());
	u->busy[world.now / PLUG_SEC] += (float)took;
	end = event_new((plug_time)took, EV_WORK_END, call->target, u->epoch);
	end->a = call->a;
	end->b = u->connection;
	end->data = request_answer(tag, &end->len);
}

static void
end_call(struct process *p, struct event *event)
{
	struct upstream *u = &p->upstream;

	if (u->epoch != event->epoch)
		return;
	u->running--;
	if (u->connection != event->b || u->silent == event->b)
		return;
	event->kind = AGENT(UPSTREAM_REPLY);
	event->epoch = p->epoch;
	event->b = PLUG_UPSTREAM_DONE;
	event_at(event, LOOPBACK);
}

/* Something happens at an upstream. */
void
upstream_event(struct event *event)
{
	struct process *p = &world.processes[event->target];
	struct upstream *u = &p->upstream;

	if (event->kind == EV_WORK_END)
		end_call(p, event);
	else if (event->kind == EV_CALL) {
		if (!u->alive || event->epoch == 0 ||
		    event->epoch != u->connection || event->epoch == u->silent)
			return;
		if (event->b == PLUG_PROCEDURE_NULL)
			tell(p, AGENT(UPSTREAM_REPLY))->a = event->a;
		else
			run_call(p, event);
	} else if (p->alive && p->epoch == event->epoch && u->connection == 0) {
		if (!u->alive) {
			event_at(event, CONNECT_EVERY);
			return;
		}
		u->connection = ++world.seq;
		(void)tell(p, AGENT(UPSTREAM_OPEN));
	}
}

/* The agent's driver reads the health endpoint. */
void
upstream_poll(struct process *p)
{
	const struct upstream *u = &p->upstream;
	plug_time then = world.now - u->lag;
	plug_time uptime = then - u->started;
	struct event *health;

	if (u->connection == 0 || u->connection == u->silent)
		return;
	health = tell(p, AGENT(UPSTREAM_HEALTH));
	uptime = uptime < 0 ? LONG_UPTIME : uptime;
	health->a = (uint64_t)(uptime / PLUG_SEC);
	health->b = u->draining;
	if (then >= PLUG_SEC)
		health->load = u->busy[then / PLUG_SEC - 1] / (double)PLUG_SEC /
			       world.services[p->service].slots;
	if (u->lie >= 0)
		health->load = u->lie;
}
