#include "world.h"

#define BULK_SIZE      20000 /* bytes of a large answer */
#define CALLER_TICK    (20 * PLUG_MSEC)
#define CALLER_ADDRESS 0x0a090000U
#define CALLER_PORT    20000
#define PORTS_PER_FLOW 16
#define SHORT_DEADLINE (2 * PLUG_SEC)
#define BULK_DEADLINE  (10 * PLUG_SEC)
#define FABRIC_NOTICE  PLUG_SEC /* until the fabric skips a dead entry */
#define RETRY_DEFAULT  (100 * PLUG_MSEC)
#define FIRST_CALL     (2 * PLUG_SEC) /* when callers arrive */

/* Builds the one right answer to a request. */
uint8_t *
request_answer(uint64_t tag, size_t *len)
{
	uint8_t *answer;

	*len = world.requests[tag].operation == BULK ? BULK_SIZE : 16;
	answer = apr_palloc(world.pool, *len);
	for (size_t i = 0; i < *len; i++)
		answer[i] = (uint8_t)(tag >> 8 * (i % 8) ^ i / 8);
	return answer;
}

/* The fabric sprays over the entries that it believes to be alive. */
static void
send_packet(void *data, const uint8_t *packet, size_t len)
{
	struct caller *c = data;
	struct event event = {
		.kind = AGENT(DATAGRAM), .target = -1, .len = len
	};
	int seen = 0;

	if (c->flow.caller.port == c->silent_port)
		return;
	for (int i = 0; i < world.process_count; i++) {
		const struct process *p = &world.processes[i];

		if (p->service < 0 &&
		    ((p->alive && !p->paused) ||
			world.now - p->gone < FABRIC_NOTICE) &&
		    uniform() * ++seen < 1)
			event.target = i;
	}
	if (event.target < 0)
		return;
	trace("caller%d event=send xid=%d entry=%s", c->index,
	    packet[PLUG_PACKET_HEADER + 2] << 8 |
		packet[PLUG_PACKET_HEADER + 3],
	    world.processes[event.target].name);
	event.epoch = world.processes[event.target].epoch;
	event.data = (uint8_t *)packet;
	link_send(LINK_CALLER, PLACE_CALLERS, event.target, &event);
}

static void
settled(void *data, const struct plug_callerflow_result *result)
{
	struct caller *c = data;
	struct request *r = &world.requests[result->tag];
	plug_time wait = result->retry_after_ms * PLUG_MSEC;
	size_t len;

	trace("caller%d event=settled outcome=%s request=%llu", c->index,
	    plug_callerflow_outcome_name(result->outcome),
	    (unsigned long long)result->tag);
	r->ended = world.now;
	r->end = END_UNKNOWN;
	if (result->outcome == PLUG_CALLERFLOW_ANSWERED) {
		const uint8_t *right = request_answer(result->tag, &len);

		r->end = END_ANSWERED;
		world.figures.wrong_answers +=
		    len != result->answer.len ||
		    memcmp(right, result->answer.data, len) != 0;
	} else if (result->outcome == PLUG_CALLERFLOW_NOT_RUN) {
		r->end = END_NOT_RUN;
		world.figures.false_refusals += r->runs > 0;
		wait = wait > 0 ? wait : RETRY_DEFAULT;
		r->retried = world.now + wait < r->deadline;
		if (r->retried)
			event_new(wait, EV_SUBMIT, c->index, 0)->a =
			    result->tag + 1;
	}
}

/* Attributes a lost flow to its owner's crash, its domain or to a fault. */
static void
broken(void *data, enum plug_callerflow_reason reason)
{
	struct caller *c = data;
	struct plug_token_keys keys = { .count = 1 };
	struct plug_token token = { 0 };
	double *figure = &world.figures.broken_flows;

	c->reopen = true;
	if (reason == PLUG_CALLERFLOW_NO_OPEN)
		return;
	for (int i = 0; i < PLUG_TOKEN_KEY_SIZE; i++)
		keys.keys[0][i] = (uint8_t)i;
	keys.keys[0][PLUG_TOKEN_KEY_SIZE - 1] = (uint8_t)c->service;
	(void)plug_token_open(c->flow.token, &keys, &token);
	if (world.baseline) /* its token is the instance id in the clear */
		memcpy(&token.instance, c->flow.token, sizeof(token.instance));
	for (int i = 0; i < world.killed_count; i++)
		if (world.killed[i] == token.instance)
			figure = &world.figures.lost_with_owner;
	for (int i = 0; i < world.process_count; i++)
		if (world.processes[i].instance == token.instance &&
		    process_out(&world.processes[i]))
			figure = &world.figures.lost_with_domain;
	(*figure)++;
	trace("caller%d event=broken reason=%s flow=%016llx instance=%016llx",
	    c->index, plug_callerflow_reason_name(reason),
	    (unsigned long long)token.flow, (unsigned long long)token.instance);
}

static void
renew_port(void *data)
{
	struct caller *c = data;
	struct plug_endpoint address = c->flow.caller;

	address.port++;
	plug_callerflow_set_caller(&c->flow, address);
}

/* Adds a caller that keeps one flow and sends a request now and then. */
void
caller_add(
    int service, plug_time from, plug_time every, const unsigned int *weights)
{
	struct caller *c = &world.callers[world.caller_count];

	if (world.caller_count == CALLERS_MAX)
		abort();
	c->index = world.caller_count++;
	c->service = service;
	c->every = every;
	memcpy(c->weights, weights, sizeof(c->weights));
	c->client.random[0] = (unsigned short)c->index;
	c->client.random[1] = (unsigned short)world.seed;
	c->handler = (struct plug_callerflow_handler){ c, send_packet, settled,
		broken, renew_port };
	c->reopen = true;
	(void)event_new(FIRST_CALL + from + seconds(uniform()), EV_CALLER_TICK,
	    c->index, 0);
	(void)event_new(FIRST_CALL + from + 2 * PLUG_SEC +
			    (plug_time)(uniform() * (double)every),
	    EV_SUBMIT, c->index, 0);
}

static void
submit(struct caller *c, uint64_t retry_of)
{
	uint64_t tag = world.request_count++;
	struct request *r = &world.requests[tag];
	const struct plug_str body = { (const char *)&tag, sizeof(tag) };
	double point = 0;
	uint32_t xid;

	if (world.request_count == REQUESTS_MAX)
		abort();
	if (retry_of != 0) {
		*r = world.requests[retry_of - 1];
		r->retried = false;
		r->runs = 0;
	} else {
		for (int i = 0; i < OPERATIONS; i++)
			point += c->weights[i];
		for (point *= uniform(); point >= c->weights[r->operation];)
			point -= c->weights[r->operation++];
		r->service = c->service;
		r->sent = world.now;
		r->deadline =
		    world.now +
		    (r->operation == BULK ? BULK_DEADLINE : SHORT_DEADLINE);
		(void)event_new(
		    (plug_time)((0.5 + uniform()) * (double)c->every),
		    EV_SUBMIT, c->index, 0);
	}
	r->end = END_NONE;
	if (c->flow.state != PLUG_CALLERFLOW_OPEN ||
	    plug_callerflow_submit(&c->flow, world.now,
		(uint32_t)r->operation + 1, body, r->operation != 0,
		r->deadline, tag, &xid) != PLUG_OK)
		r->end = END_NOT_SENT;
}

static void
tick(struct caller *c)
{
	const struct plug_endpoint address = { CALLER_ADDRESS |
						   (uint32_t)c->index,
		(uint16_t)(CALLER_PORT + PORTS_PER_FLOW * c->flows) };

	if (c->reopen) {
		if (c->flows++ > 0)
			plug_callerflow_finish(&c->flow);
		c->reopen = false;
		plug_callerflow_init(&c->flow, &c->client, &c->handler, address,
		    world.services[c->service].address,
		    (uint32_t)(c->service + SERVICE_BASE));
		plug_callerflow_open(&c->flow, world.now);
	}
	plug_callerflow_tick(&c->flow, world.now);
}

/* Something happens at a caller. */
void
caller_event(struct event *event)
{
	struct caller *c = &world.callers[event->target];

	if (event->kind == EV_SUBMIT)
		submit(c, event->a);
	else if (event->kind == EV_CALLER_TICK) {
		tick(c);
		event_at(event, CALLER_TICK);
	} else if (event->b == c->flow.caller.port &&
		   event->b != c->silent_port)
		plug_callerflow_receive(
		    &c->flow, world.now, event->data, event->len);
}
