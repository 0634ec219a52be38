#include <stdlib.h>
#include <string.h>

#include "agent.h"

#define FLOWS_MAX 50000 /* flows of one host, above its connection limit */

/* The client and its host finish a closed flow within a few retransmissions.
 * Entries keep it for 5 s; the agent a little longer, so that no late segment
 * is taken for one of an unknown flow. */
#define CLOSED_TIME (6 * PLUG_SEC)

/* A client sends its request as soon as the handshake is over, two ways across
 * a domain boundary later. When none has come by then, the client has given up
 * while its SYN waited, or another host has the flow; a place that is kept for
 * longer keeps out those that still wait. */
#define PENDING_TIME (50 * PLUG_MSEC)

/* A host returns a segment of an unknown flow at once; what it hasn't returned
 * by then, it holds or has dropped. */
#define PROBE_TIME (2 * PLUG_SEC)

/* Entries let a flow wait for twice the time in which its answer is in time. */
#define WAIT_PATIENCE 2

/* Answers that take longer are logged, as most objectives are 100 to 300 ms; at
 * most ten a second. */
#define SLOW_ANSWER  (200 * PLUG_MSEC)
#define SLOW_SPACING (100 * PLUG_MSEC)

/* A client that ends a flow so long after its request has given up on the host;
 * deadlines are 500 ms and more. */
#define GIVEN_UP_TIME (400 * PLUG_MSEC)

/* A leaving host closes its port and goes on serving its flows for seconds. One
 * that also answers no segment for this long is dead: a living host answers or
 * returns one within a few milliseconds, and while it works on all requests,
 * within the longest of them. */
#define UNANSWERED_TIME (250 * PLUG_MSEC)

#define IDLE_DEFAULT (15 * PLUG_SEC) /* until the configuration is known */
#define IDLE_SLACK   (10 * PLUG_SEC) /* entries forget first */

/* An entry that has sent nothing for this long gets no reports. */
#define REPORT_ACTIVE (2 * PLUG_SEC)

/* Answers of one datagram: 24 bytes each, so that it fits a packet of 1500
 * bytes with its headers. */
#define ANSWERS_PER_NOTICE 40

#define REPORT_SOON (20 * PLUG_MSEC)  /* after a new flow */
#define REPORT_TIME (250 * PLUG_MSEC) /* else, while flows are open */
#define GATE_TICK   (10 * PLUG_MSEC)  /* while new flows wait */
#define SWEEP_TIME  (500 * PLUG_MSEC)

/**
 * plug_track_agent_init() - prepare an agent that knows nothing of its host
 * @agent: agent to fill
 * @driver: handlers; kept by the caller
 * @now: time
 *
 * Return: PLUG_OK or PLUG_E_MEMORY.
 */
enum plug_code
plug_track_agent_init(struct plug_track_agent *agent,
    struct plug_track_driver *driver, plug_time now)
{
	*agent = (struct plug_track_agent){
		.driver = driver,
		.since = now,
		.idle_timeout = IDLE_DEFAULT,
	};
	plug_gate_init(&agent->gate, now);
	return plug_conntable_init(
	    &agent->flows, sizeof(struct plug_held_flow), FLOWS_MAX);
}

/**
 * plug_track_agent_finish() - free all flows
 * @agent: agent
 */
void
plug_track_agent_finish(struct plug_track_agent *agent)
{
	plug_conntable_finish(&agent->flows);
	plug_gate_finish(&agent->gate);
}

static bool
is_closed(const struct plug_held_flow *flow)
{
	return flow->client_fin && flow->host_fin;
}

/* Adds or takes a flow's part of the agent's sums; to be called around each
 * change of its state. */
static void
count_flow(
    struct plug_track_agent *agent, const struct plug_held_flow *flow, int sign)
{
	if (flow->state == PLUG_HELD_PROBED || is_closed(flow))
		return;
	agent->open += (uint32_t)sign;
	if (flow->working)
		agent->running += (uint32_t)sign;
	if (flow->pending)
		agent->opening += (uint32_t)sign;
}

static void
remove_flow(struct plug_track_agent *agent, struct plug_held_flow *flow)
{
	count_flow(agent, flow, -1);
	plug_conntable_remove(&agent->flows, &flow->conn);
}

static struct plug_held_flow *
add_flow(struct plug_track_agent *agent, plug_time now,
    const struct plug_tuple *tuple, enum plug_held_state state, uint32_t entry,
    bool pending)
{
	struct plug_held_flow *flow;

	if (plug_conntable_full(&agent->flows))
		remove_flow(
		    agent, (struct plug_held_flow *)agent->flows.oldest);
	flow = plug_conntable_add(&agent->flows, tuple, now);
	if (flow == NULL)
		return NULL;
	flow->state = state;
	flow->entry = entry;
	flow->pending = pending;
	count_flow(agent, flow, 1);
	return flow;
}

/* Whether a flow that isn't in the table can't be at the host. */
static bool
is_sure(const struct plug_track_agent *agent, plug_time now)
{
	return agent->state == PLUG_HOST_DOWN || agent->whole ||
	       now - agent->since > agent->idle_timeout + IDLE_SLACK;
}

static void
log_flow(const struct plug_track_agent *agent, enum plug_log_level level,
    const char *event, const struct plug_tuple *tuple, const char *reason)
{
	char text[PLUG_TUPLE_TEXT];

	(void)plug_tuple_format(tuple, text, sizeof(text));
	plug_client_log(&agent->driver->client, level,
	    "event=%s flow=%s reason=%s host=%016llx flows=%u running=%u "
	    "opening=%u waiting=%u",
	    event, text, reason, (unsigned long long)agent->host, agent->open,
	    agent->running, agent->opening, agent->gate.waiting);
}

static struct plug_reported *
find_reported(struct plug_track_agent *agent, plug_time now, uint32_t entry)
{
	struct plug_reported *oldest = &agent->reported[0];

	for (unsigned int i = 0; i < PLUG_REPORTED_MAX; i++) {
		struct plug_reported *reported = &agent->reported[i];

		if (reported->address == entry)
			return reported;
		if (reported->active < oldest->active)
			oldest = reported;
	}
	*oldest = (struct plug_reported){ .address = entry };
	oldest->active = now;
	return oldest;
}

static void
report_to_all(struct plug_track_agent *agent)
{
	for (unsigned int i = 0; i < PLUG_REPORTED_MAX; i++) {
		agent->reported[i].due = agent->reported[i].address != 0;
		agent->reported[i].sent = 0;
	}
}

/* A request has ended without an answer. */
static void
count_failure(struct plug_track_agent *agent, plug_time now,
    const struct plug_held_flow *flow, const char *reason)
{
	agent->counters[PLUG_AGENT_FAILED]++;
	log_flow(
	    agent, PLUG_LOG_INFO, "request_failed", &flow->conn.tuple, reason);
	if (!plug_failures_count(&agent->failures, now, true))
		return;
	agent->failing = true;
	plug_client_log(&agent->driver->client, PLUG_LOG_WARN,
	    "event=host_failing host=%016llx for_ms=%lld flows=%u running=%u",
	    (unsigned long long)agent->host,
	    (long long)(agent->failures.hold / PLUG_MSEC), agent->open,
	    agent->running);
	report_to_all(agent);
}

/* Entries hear of it when a failing host may be tried again. */
static void
check_failing(struct plug_track_agent *agent, plug_time now)
{
	if (!agent->failing || plug_failures_failing(&agent->failures, now))
		return;
	agent->failing = false;
	plug_client_log(&agent->driver->client, PLUG_LOG_INFO,
	    "event=host_tried_again host=%016llx",
	    (unsigned long long)agent->host);
	report_to_all(agent);
}

static void
send_refused(struct plug_track_agent *agent, uint32_t entry, uint64_t host,
    const struct plug_segment *segment, Plug__RefusalReason reason)
{
	Plug__TrackNotice notice = PLUG__TRACK_NOTICE__INIT;
	Plug__Refused refused = PLUG__REFUSED__INIT;

	refused.host = host;
	refused.reason = reason;
	refused.segment = plug_track_bytes(segment->bytes);
	notice.body_case = PLUG__TRACK_NOTICE__BODY_REFUSED;
	notice.refused = &refused;
	agent->counters[PLUG_AGENT_REFUSED]++;
	log_flow(agent, PLUG_LOG_INFO, "open_refused", &segment->tuple,
	    plug_refusal_name(reason));
	plug_track_notify(agent->driver, entry, &notice);
}

static void
send_located(struct plug_track_agent *agent, uint32_t entry,
    Plug__Answer **answers, size_t count)
{
	Plug__TrackNotice notice = PLUG__TRACK_NOTICE__INIT;
	Plug__Located located = PLUG__LOCATED__INIT;

	if (count == 0)
		return;
	located.n_answers = count;
	located.answers = answers;
	notice.body_case = PLUG__TRACK_NOTICE__BODY_LOCATED;
	notice.located = &located;
	plug_track_notify(agent->driver, entry, &notice);
}

static void
send_answer(struct plug_track_agent *agent, uint32_t entry,
    const struct plug_tuple *tuple, Plug__Holding holding,
    const struct plug_segment *segment)
{
	Plug__Answer answer = PLUG__ANSWER__INIT, *list = &answer;
	Plug__Tuple wire = PLUG__TUPLE__INIT;

	plug_tuple_write(tuple, &wire);
	answer.tuple = &wire;
	answer.holding = holding;
	if (segment != NULL)
		answer.segment = plug_track_bytes(segment->bytes);
	send_located(agent, entry, &list, 1);
}

static void
send_lost(struct plug_track_agent *agent, const struct plug_held_flow *flow)
{
	Plug__TrackNotice notice = PLUG__TRACK_NOTICE__INIT;
	Plug__Lost lost = PLUG__LOST__INIT;
	Plug__Tuple tuple = PLUG__TUPLE__INIT;

	if (flow->entry == 0)
		return;
	plug_tuple_write(&flow->conn.tuple, &tuple);
	lost.tuple = &tuple;
	notice.body_case = PLUG__TRACK_NOTICE__BODY_LOST;
	notice.lost = &lost;
	plug_track_notify(agent->driver, flow->entry, &notice);
}

/* The host no longer has a flow that it had: the client is told at once. */
static void
lose_flow(struct plug_track_agent *agent, struct plug_held_flow *flow,
    const char *reason)
{
	switch (flow->state) {
	case PLUG_HELD_OPEN:
		if (is_closed(flow))
			break;
		agent->counters[PLUG_AGENT_RESETS]++;
		log_flow(agent, PLUG_LOG_INFO, "flow_reset", &flow->conn.tuple,
		    reason);
		plug_track_reset(agent->driver, &flow->conn.tuple, flow->ack);
		send_lost(agent, flow);
		break;
	case PLUG_HELD_OPENING:
		send_lost(agent, flow);
		break;
	case PLUG_HELD_PROBED:
		send_answer(agent, flow->entry, &flow->conn.tuple,
		    PLUG__HOLDING__NO, NULL);
		break;
	}
	remove_flow(agent, flow);
}

static void
lose_all(struct plug_track_agent *agent, const char *reason)
{
	while (agent->flows.oldest != NULL)
		lose_flow(agent, (struct plug_held_flow *)agent->flows.oldest,
		    reason);
}

static void
hand_to_host(struct plug_track_agent *agent, plug_time now,
    const struct plug_segment *segment)
{
	if (agent->unanswered == 0)
		agent->unanswered = now;
	plug_track_segment(agent->driver, PLUG_TRACK_TO_HOST, 0, segment);
}

static void
open_flow(struct plug_track_agent *agent, plug_time now, uint32_t entry,
    const struct plug_segment *segment)
{
	if (add_flow(agent, now, &segment->tuple, PLUG_HELD_OPENING, entry,
		true) == NULL)
		return;
	agent->counters[PLUG_AGENT_ADMITTED]++;
	log_flow(
	    agent, PLUG_LOG_INFO, "open_admitted", &segment->tuple, "room");
	hand_to_host(agent, now, segment);
}

/* Why a new flow for a host can't be admitted now or later; UNSPECIFIED when
 * it may be. */
static Plug__RefusalReason
refusal(const struct plug_track_agent *agent, uint64_t host)
{
	switch (agent->state) {
	case PLUG_HOST_UNKNOWN:
		break;
	case PLUG_HOST_REFUSING:
	case PLUG_HOST_DOWN:
		return PLUG__REFUSAL_REASON__OTHER_HOST;
	case PLUG_HOST_UP:
		if (host != agent->host)
			return PLUG__REFUSAL_REASON__OTHER_HOST;
		break;
	}
	return agent->draining ? PLUG__REFUSAL_REASON__DRAINING
			       : PLUG__REFUSAL_REASON__UNSPECIFIED;
}

struct refusal {
	const struct plug_track_agent *agent;
	plug_time now;
	Plug__RefusalReason reason;
};

static bool
is_refused(void *data, const struct plug_gate_waiter *waiter)
{
	struct refusal *refused = data;

	refused->reason = refusal(refused->agent, waiter->host);
	if (refused->reason == PLUG__REFUSAL_REASON__UNSPECIFIED &&
	    refused->now >= waiter->deadline)
		refused->reason = PLUG__REFUSAL_REASON__WAITED;
	return refused->reason != PLUG__REFUSAL_REASON__UNSPECIFIED;
}

static struct plug_segment
waiting_segment(const struct plug_gate_waiter *waiter)
{
	return (struct plug_segment){
		.tuple = waiter->tuple,
		.bytes = { (const char *)waiter->bytes, waiter->len },
	};
}

static void
refuse_waiters(struct plug_track_agent *agent, plug_time now)
{
	struct refusal refused = { .agent = agent, .now = now };
	struct plug_gate_waiter *waiter;

	while ((waiter = plug_gate_take_if(
		    &agent->gate, is_refused, &refused)) != NULL) {
		struct plug_segment segment = waiting_segment(waiter);

		send_refused(agent, waiter->entry, waiter->host, &segment,
		    refused.reason);
		free(waiter);
	}
}

static void
expire_pending(struct plug_track_agent *agent, plug_time now)
{
	struct plug_conn *conn = agent->flows.newest;
	uint32_t left = agent->opening;

	for (; conn != NULL && left > 0; conn = conn->older) {
		struct plug_held_flow *flow = (struct plug_held_flow *)conn;

		if (!flow->pending)
			continue;
		left--;
		if (now - conn->touched < PENDING_TIME)
			continue;
		count_flow(agent, flow, -1);
		flow->pending = false;
		count_flow(agent, flow, 1);
	}
}

/* Requests at the host, and those that its new flows will bring. */
static uint32_t
work_of(const struct plug_track_agent *agent)
{
	return agent->running + agent->opening;
}

static void
admit_waiters(struct plug_track_agent *agent, plug_time now)
{
	while (agent->gate.first != NULL && agent->state == PLUG_HOST_UP &&
	       plug_gate_admit(&agent->gate, now, work_of(agent),
		   agent->gate.first->rank)) {
		struct plug_gate_waiter *waiter =
		    plug_gate_take(&agent->gate, now);
		struct plug_segment segment = waiting_segment(waiter);

		open_flow(agent, now, waiter->entry, &segment);
		free(waiter);
	}
}

/**
 * plug_track_agent_host() - what is known of the host has changed
 * @agent: agent
 * @now: time
 * @state: what the probe has seen; PLUG_HOST_DOWN is the agent's own finding
 * @host: hash of its instance id, for PLUG_HOST_UP
 * @draining: its health check says that it is leaving
 */
void
plug_track_agent_host(struct plug_track_agent *agent, plug_time now,
    enum plug_host_state state, uint64_t host, bool draining)
{
	bool was_away = agent->state == PLUG_HOST_DOWN ||
			agent->state == PLUG_HOST_REFUSING;
	bool is_new = agent->state == PLUG_HOST_DOWN ||
		      (agent->host != host && (agent->host != 0 || was_away));

	switch (state) {
	case PLUG_HOST_UNKNOWN:
		break;
	case PLUG_HOST_REFUSING:
	case PLUG_HOST_DOWN:
		if (agent->state == PLUG_HOST_DOWN)
			return;
		break;
	case PLUG_HOST_UP:
		if (is_new) {
			lose_all(agent, "host_replaced");
			agent->whole = true;
			agent->failures = (struct plug_failures){ 0 };
			agent->failing = false;
		}
		agent->host = host;
		agent->draining = draining;
		break;
	}
	agent->state = state;
	report_to_all(agent);
	refuse_waiters(agent, now);
	admit_waiters(agent, now);
}

/* Declares a host dead that refuses connections and answers no segment. */
static void
check_host(struct plug_track_agent *agent, plug_time now)
{
	if (agent->state != PLUG_HOST_REFUSING || agent->unanswered == 0 ||
	    now - agent->unanswered < UNANSWERED_TIME)
		return;
	plug_client_log(&agent->driver->client, PLUG_LOG_INFO,
	    "event=host_dead host=%016llx flows=%u silent_ms=%lld",
	    (unsigned long long)agent->host, agent->open,
	    (long long)((now - agent->unanswered) / PLUG_MSEC));
	agent->state = PLUG_HOST_DOWN;
	lose_all(agent, "host_dead");
	report_to_all(agent);
}

static void
client_sent(struct plug_track_agent *agent, plug_time now,
    struct plug_held_flow *flow, const struct plug_segment *segment)
{
	if ((segment->flags & (PLUG_SEGMENT_FIN | PLUG_SEGMENT_RST)) != 0 &&
	    flow->working && !flow->client_fin && !flow->host_fin &&
	    now - flow->asked >= GIVEN_UP_TIME)
		count_failure(agent, now, flow, "client_gave_up");
	count_flow(agent, flow, -1);
	if ((segment->flags & PLUG_SEGMENT_FIN) != 0)
		flow->client_fin = true;
	if ((segment->flags & PLUG_SEGMENT_ACK) != 0)
		flow->ack = segment->ack;
	if (segment->len > 0 && !flow->client_fin) {
		if (!flow->working) {
			flow->asked = now;
			flow->waited = agent->running >= agent->gate.slots;
		}
		flow->working = true;
		flow->pending = false;
	}
	count_flow(agent, flow, 1);
	plug_conntable_touch(&agent->flows, &flow->conn, now);
	hand_to_host(agent, now, segment);
	if ((segment->flags & PLUG_SEGMENT_RST) != 0)
		remove_flow(agent, flow);
}

static void
probe(struct plug_track_agent *agent, plug_time now, uint32_t entry,
    const struct plug_segment *segment)
{
	struct plug_held_flow *flow = add_flow(
	    agent, now, &segment->tuple, PLUG_HELD_PROBED, entry, false);

	if (flow == NULL)
		return;
	flow->ack = segment->ack;
	agent->counters[PLUG_AGENT_PROBES]++;
	hand_to_host(agent, now, segment);
}

/**
 * plug_track_agent_forwarded() - an entry has sent a client's segment
 * @agent: agent
 * @now: time
 * @from: address of the entry's machine
 * @segment: segment of a flow that this agent's host shall have
 */
void
plug_track_agent_forwarded(struct plug_track_agent *agent, plug_time now,
    uint32_t from, const struct plug_segment *segment)
{
	struct plug_held_flow *flow;

	agent->counters[PLUG_AGENT_FORWARDED]++;
	find_reported(agent, now, from)->active = now;
	flow = plug_conntable_find(&agent->flows, &segment->tuple);
	if (flow != NULL) {
		flow->entry = from;
		client_sent(agent, now, flow, segment);
		return;
	}
	if ((segment->flags & PLUG_SEGMENT_RST) != 0 ||
	    plug_segment_opens(segment))
		return;
	if (is_sure(agent, now))
		send_answer(
		    agent, from, &segment->tuple, PLUG__HOLDING__NO, segment);
	else
		probe(agent, now, from, segment);
}

static void
handle_bounced(
    struct plug_track_agent *agent, const struct plug_segment *segment)
{
	struct plug_held_flow *flow =
	    plug_conntable_find(&agent->flows, &segment->tuple);
	struct plug_segment original = *segment;
	uint32_t entry;

	agent->counters[PLUG_AGENT_BOUNCED]++;
	original.flags &= ~PLUG_SEGMENT_BOUNCED;
	if (flow == NULL)
		return;
	if (flow->state == PLUG_HELD_OPEN) {
		lose_flow(agent, flow, "host_returned_it");
		return;
	}
	entry = flow->entry;
	remove_flow(agent, flow);
	if (plug_segment_opens(&original))
		send_refused(agent, entry, agent->host, &original,
		    PLUG__REFUSAL_REASON__BOUNCED);
	else
		send_answer(agent, entry, &original.tuple, PLUG__HOLDING__NO,
		    &original);
}

static struct plug_endpoint
route_of(const struct plug_tuple *tuple)
{
	return (struct plug_endpoint){ tuple->service, tuple->service_port };
}

static void
count_answer(struct plug_track_agent *agent, plug_time now,
    const struct plug_held_flow *flow)
{
	plug_time time = now - flow->asked;
	unsigned int bucket = 0;
	char text[PLUG_TUPLE_TEXT];

	while (bucket + 1 < PLUG_ANSWER_BUCKETS && time >= PLUG_ANSWER_FIRST
							       << bucket)
		bucket++;
	agent->answers[bucket]++;
	if (!flow->waited)
		plug_worktimes_add(
		    &agent->times, route_of(&flow->conn.tuple), time);
	if (time < SLOW_ANSWER || now - agent->slow_logged < SLOW_SPACING)
		return;
	agent->slow_logged = now;
	(void)plug_tuple_format(&flow->conn.tuple, text, sizeof(text));
	plug_client_log(&agent->driver->client, PLUG_LOG_INFO,
	    "event=answer_slow flow=%s ms=%lld running=%u slots=%u waiting=%u "
	    "cold=%d host=%016llx",
	    text, (long long)(time / PLUG_MSEC), agent->running,
	    agent->gate.slots, agent->gate.waiting,
	    now < agent->gate.cold_until, (unsigned long long)agent->host);
}

static void
host_sent(struct plug_track_agent *agent, plug_time now,
    struct plug_held_flow *flow, const struct plug_segment *segment)
{
	bool probed = flow->state == PLUG_HELD_PROBED;

	count_flow(agent, flow, -1);
	if ((segment->flags & PLUG_SEGMENT_SYN) != 0) {
		flow->answered = true;
		flow->host_seq = segment->seq;
	} else {
		flow->state = PLUG_HELD_OPEN;
	}
	if (segment->len > 0 && flow->working) {
		flow->working = false;
		count_answer(agent, now, flow);
		(void)plug_failures_count(&agent->failures, now, false);
	}
	/* A host resets a flow that it has closed before, too. */
	if ((segment->flags & PLUG_SEGMENT_RST) != 0 && flow->working &&
	    !flow->host_fin)
		count_failure(agent, now, flow, "host_reset_it");
	if ((segment->flags & PLUG_SEGMENT_FIN) != 0) {
		flow->host_fin = true;
		flow->working = false;
	}
	count_flow(agent, flow, 1);
	plug_conntable_touch(&agent->flows, &flow->conn, now);
	if (probed && flow->state == PLUG_HELD_OPEN)
		send_answer(agent, flow->entry, &segment->tuple,
		    PLUG__HOLDING__YES, NULL);
	if ((segment->flags & PLUG_SEGMENT_RST) != 0)
		remove_flow(agent, flow);
}

/**
 * plug_track_agent_returned() - the host has sent a segment
 * @agent: agent
 * @now: time
 * @segment: segment for a client, or one that the host returns
 */
void
plug_track_agent_returned(struct plug_track_agent *agent, plug_time now,
    const struct plug_segment *segment)
{
	struct plug_held_flow *flow;

	agent->counters[PLUG_AGENT_RETURNED]++;
	agent->unanswered = 0;
	if ((segment->flags & PLUG_SEGMENT_BOUNCED) != 0) {
		handle_bounced(agent, segment);
		admit_waiters(agent, now);
		return;
	}
	plug_track_segment(agent->driver, PLUG_TRACK_TO_CLIENT, 0, segment);
	flow = plug_conntable_find(&agent->flows, &segment->tuple);
	if (flow == NULL &&
	    (segment->flags & (PLUG_SEGMENT_RST | PLUG_SEGMENT_FIN)) == 0)
		flow = add_flow(
		    agent, now, &segment->tuple, PLUG_HELD_OPENING, 0, false);
	if (flow == NULL)
		return;
	host_sent(agent, now, flow, segment);
	admit_waiters(agent, now);
}

static bool
wait_at_gate(struct plug_track_agent *agent, plug_time now, uint32_t from,
    const Plug__Open *open, const struct plug_segment *segment, uint64_t rank)
{
	struct plug_gate_waiter waiter = {
		.tuple = segment->tuple,
		.entry = from,
		.host = open->host,
		.patience = now + open->wait_ms * PLUG_MSEC / WAIT_PATIENCE,
		.deadline = now + open->wait_ms * PLUG_MSEC,
		.rank = rank,
		.len = segment->bytes.len,
	};
	struct plug_gate_waiter *displaced;

	if (segment->bytes.len > sizeof(waiter.bytes))
		return false;
	memcpy(waiter.bytes, segment->bytes.data, segment->bytes.len);
	if (!plug_gate_wait(&agent->gate, now, &waiter, &displaced))
		return false;
	if (displaced != NULL) {
		struct plug_segment last = waiting_segment(displaced);

		send_refused(agent, displaced->entry, displaced->host, &last,
		    PLUG__REFUSAL_REASON__BUSY);
		free(displaced);
	}
	return true;
}

static void
handle_open(struct plug_track_agent *agent, plug_time now, uint32_t from,
    const Plug__Open *open)
{
	struct plug_reported *reported = find_reported(agent, now, from);
	struct plug_held_flow *flow;
	struct plug_segment segment;
	Plug__RefusalReason reason;
	uint64_t rank;

	if (!plug_track_decode(agent->driver, &open->segment, &segment) ||
	    !plug_segment_opens(&segment)) {
		agent->counters[PLUG_AGENT_BAD]++;
		return;
	}
	reported->active = now;
	reported->due = true;
	flow = plug_conntable_find(&agent->flows, &segment.tuple);
	if (flow != NULL && flow->state != PLUG_HELD_PROBED) {
		flow->entry = from;
		hand_to_host(agent, now, &segment);
		return;
	}
	if (flow != NULL)
		remove_flow(agent, flow);
	reason = refusal(agent, open->host);
	if (reason != PLUG__REFUSAL_REASON__UNSPECIFIED) {
		send_refused(agent, from, open->host, &segment, reason);
		return;
	}
	plug_gate_configure(&agent->gate, now, open->slots,
	    open->cold_milli_per_s / 1000.0,
	    open->cold_ms > 0 ? now + open->cold_ms * PLUG_MSEC : 0);
	rank = plug_gate_rank(open->priority,
	    plug_worktimes_short(&agent->times, route_of(&segment.tuple)));
	if (agent->state == PLUG_HOST_UP &&
	    (agent->gate.first == NULL || agent->gate.first->rank > rank) &&
	    plug_gate_admit(&agent->gate, now, work_of(agent), rank)) {
		open_flow(agent, now, from, &segment);
		return;
	}
	agent->counters[PLUG_AGENT_QUEUED]++;
	if (!wait_at_gate(agent, now, from, open, &segment, rank))
		send_refused(agent, from, open->host, &segment,
		    PLUG__REFUSAL_REASON__BUSY);
}

/* Two hosts may have answered the same SYN. The client acknowledges the
 * sequence number of one of them; data makes no more difference than this. */
#define HANDSHAKE_WINDOW 76800U

static Plug__Holding
holding(const struct plug_track_agent *agent, plug_time now,
    const struct plug_held_flow *flow, uint32_t ack)
{
	if (agent->state == PLUG_HOST_DOWN)
		return PLUG__HOLDING__NO;
	if (flow == NULL)
		return is_sure(agent, now) ? PLUG__HOLDING__NO
					   : PLUG__HOLDING__UNSURE;
	switch (flow->state) {
	case PLUG_HELD_OPEN:
		return PLUG__HOLDING__YES;
	case PLUG_HELD_OPENING:
		if (flow->answered && ack - flow->host_seq <= HANDSHAKE_WINDOW)
			return PLUG__HOLDING__YES;
		return flow->answered ? PLUG__HOLDING__NO
				      : PLUG__HOLDING__UNSURE;
	case PLUG_HELD_PROBED:
		break;
	}
	return PLUG__HOLDING__UNSURE;
}

/* Return: whether the question is to be answered at once. */
static bool
handle_question(struct plug_track_agent *agent, plug_time now, uint32_t from,
    const Plug__Question *question, Plug__Holding *answer)
{
	struct plug_held_flow *flow;
	struct plug_segment segment;
	struct plug_tuple tuple;

	if (!plug_tuple_read(question->tuple, &tuple)) {
		agent->counters[PLUG_AGENT_BAD]++;
		return false;
	}
	flow = plug_conntable_find(&agent->flows, &tuple);
	*answer = holding(agent, now, flow, question->ack);
	if (*answer == PLUG__HOLDING__YES)
		flow->entry = from;
	if (*answer != PLUG__HOLDING__UNSURE || question->segment.len == 0)
		return true;
	if (!plug_track_decode(agent->driver, &question->segment, &segment) ||
	    !plug_tuple_equal(&segment.tuple, &tuple)) {
		agent->counters[PLUG_AGENT_BAD]++;
		return false;
	}
	if (flow == NULL) {
		probe(agent, now, from, &segment);
		return false;
	}
	flow->entry = from;
	hand_to_host(agent, now, &segment);
	return false;
}

static void
relay_locate(
    struct plug_track_agent *agent, uint32_t from, const Plug__Locate *locate)
{
	Plug__TrackNotice notice = PLUG__TRACK_NOTICE__INIT;
	Plug__Locate relayed = *locate;

	relayed.n_relay_to = 0;
	relayed.reply_to = from;
	notice.body_case = PLUG__TRACK_NOTICE__BODY_LOCATE;
	notice.locate = &relayed;
	for (size_t i = 0; i < locate->n_relay_to; i++)
		plug_track_notify(agent->driver, locate->relay_to[i], &notice);
}

static void
handle_locate(struct plug_track_agent *agent, plug_time now, uint32_t from,
    const Plug__Locate *locate)
{
	Plug__Answer answers[ANSWERS_PER_NOTICE], *list[ANSWERS_PER_NOTICE];
	uint32_t entry = locate->reply_to != 0 ? locate->reply_to : from;
	size_t count = 0;

	relay_locate(agent, entry, locate);
	for (size_t i = 0; i < locate->n_questions; i++) {
		const Plug__Question *question = locate->questions[i];
		Plug__Answer *answer = &answers[count];

		plug__answer__init(answer);
		if (!handle_question(
			agent, now, entry, question, &answer->holding))
			continue;
		answer->tuple = question->tuple;
		list[count++] = answer;
		if (count == ANSWERS_PER_NOTICE) {
			send_located(agent, entry, list, count);
			count = 0;
		}
	}
	send_located(agent, entry, list, count);
}

static void
handle_inquire(struct plug_track_agent *agent, plug_time now, uint32_t from)
{
	struct plug_reported *reported = find_reported(agent, now, from);

	reported->active = now;
	reported->due = true;
}

/**
 * plug_track_agent_notice() - an entry has sent a notice
 * @agent: agent
 * @now: time
 * @from: address of the entry's machine
 * @notice: notice; one that agents don't expect is ignored
 */
void
plug_track_agent_notice(struct plug_track_agent *agent, plug_time now,
    uint32_t from, const Plug__TrackNotice *notice)
{
	switch (notice->body_case) {
	case PLUG__TRACK_NOTICE__BODY_OPEN:
		handle_open(agent, now, from, notice->open);
		return;
	case PLUG__TRACK_NOTICE__BODY_LOCATE:
		handle_locate(agent, now, from, notice->locate);
		return;
	case PLUG__TRACK_NOTICE__BODY_INQUIRE:
		handle_inquire(agent, now, from);
		return;
	default:
		agent->counters[PLUG_AGENT_BAD]++;
		return;
	}
}

static plug_time
lifetime(
    const struct plug_track_agent *agent, const struct plug_held_flow *flow)
{
	if (flow->state == PLUG_HELD_PROBED)
		return PROBE_TIME;
	if (is_closed(flow))
		return CLOSED_TIME;
	return agent->idle_timeout + IDLE_SLACK;
}

static void
sweep(struct plug_track_agent *agent, plug_time now)
{
	struct plug_conn *conn = agent->flows.oldest;

	while (conn != NULL && now - conn->touched > PROBE_TIME) {
		struct plug_held_flow *flow = (struct plug_held_flow *)conn;

		conn = conn->newer;
		if (now - flow->conn.touched > lifetime(agent, flow)) {
			remove_flow(agent, flow);
		}
	}
}

static void
send_load(struct plug_track_agent *agent, uint32_t entry)
{
	Plug__TrackNotice notice = PLUG__TRACK_NOTICE__INIT;
	Plug__Load load = PLUG__LOAD__INIT;

	load.host = agent->host;
	load.flows = agent->open;
	load.running = work_of(agent);
	load.waiting = agent->gate.waiting;
	load.accepting = !agent->draining &&
			 agent->state != PLUG_HOST_REFUSING &&
			 agent->state != PLUG_HOST_DOWN;
	load.failing = agent->failing;
	notice.body_case = PLUG__TRACK_NOTICE__BODY_LOAD;
	notice.load = &load;
	plug_track_notify(agent->driver, entry, &notice);
}

/* Entries that send new flows hear of them soon, the others now and then.
 * Return: time of the next report. */
static plug_time
report(struct plug_track_agent *agent, plug_time now)
{
	plug_time next = now + REPORT_TIME;

	if (agent->host == 0)
		return next;
	for (unsigned int i = 0; i < PLUG_REPORTED_MAX; i++) {
		struct plug_reported *reported = &agent->reported[i];
		plug_time due = reported->sent +
				(reported->due ? REPORT_SOON : REPORT_TIME);

		if (reported->address == 0 ||
		    (!reported->due && now - reported->active > REPORT_ACTIVE))
			continue;
		if (now >= due) {
			send_load(agent, reported->address);
			reported->sent = now;
			reported->due = false;
			due = now + REPORT_TIME;
		}
		if (due < next)
			next = due;
	}
	return next;
}

/**
 * plug_track_agent_tick() - admit, report and forget
 * @agent: agent
 * @now: time
 *
 * Return: time of the next call, at the latest.
 */
plug_time
plug_track_agent_tick(struct plug_track_agent *agent, plug_time now)
{
	plug_time next;

	check_host(agent, now);
	check_failing(agent, now);
	expire_pending(agent, now);
	refuse_waiters(agent, now);
	admit_waiters(agent, now);
	next = report(agent, now);
	if (now >= agent->next_sweep) {
		agent->next_sweep = now + SWEEP_TIME;
		sweep(agent, now);
	}
	if (agent->next_sweep < next)
		next = agent->next_sweep;
	if ((agent->gate.first != NULL || agent->state == PLUG_HOST_REFUSING) &&
	    now + GATE_TICK < next)
		next = now + GATE_TICK;
	return next;
}

/**
 * plug_track_agent_counter_name() - name of a counter in metrics
 * @counter: counter
 */
const char *
plug_track_agent_counter_name(enum plug_agent_counter counter)
{
	static const char *const names[PLUG_AGENT_COUNTERS] = {
		[PLUG_AGENT_FORWARDED] = "forwarded",
		[PLUG_AGENT_RETURNED] = "returned",
		[PLUG_AGENT_BAD] = "bad",
		[PLUG_AGENT_ADMITTED] = "admitted",
		[PLUG_AGENT_QUEUED] = "queued",
		[PLUG_AGENT_REFUSED] = "refused",
		[PLUG_AGENT_BOUNCED] = "bounced",
		[PLUG_AGENT_RESETS] = "resets",
		[PLUG_AGENT_FAILED] = "failed",
		[PLUG_AGENT_PROBES] = "probes",
	};

	return names[counter];
}
