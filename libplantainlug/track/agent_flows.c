#include "agent_internal.h"

/* After both sides have closed, client and host finish a flow within a few
 * retransmissions. Entries keep it for 5 s and the agent a little longer, so
 * that a late segment isn't taken for one of an unknown flow. */
#define CLOSED_TIME (6 * PLUG_SEC)

/* A host returns a segment of an unknown flow at once. If it hasn't done so
 * after this time, it holds the flow or has dropped the segment. */
#define PROBE_TIME (2 * PLUG_SEC)

/* The table is at most this full of flows before one that the host doesn't hold
 * is no longer remembered, so that those leave room for the host's own. */
#define RETURNED_FILL_MAX 0.5

/* Added to the idle timeout, so that entries forget an idle flow first. */
#define IDLE_SLACK (10 * PLUG_SEC)

/* Added to the age at which flows may be discarded, as the agent sees a flow a
 * little later than its client opens it. */
#define AGE_SLACK (2 * PLUG_SEC)

/**
 * plug_host_flow_is_closed() - whether both sides have closed a flow
 * @flow: flow
 */
bool
plug_host_flow_is_closed(const struct plug_host_flow *flow)
{
	return flow->client_fin && flow->host_fin;
}

/**
 * plug_host_flow_is_held() - whether the host is known to hold a flow
 * @flow: flow of the table
 */
bool
plug_host_flow_is_held(const struct plug_host_flow *flow)
{
	return flow->state != PLUG_HOST_FLOW_PROBED &&
	       flow->state != PLUG_HOST_FLOW_RETURNED;
}

/**
 * plug_host_flow_account() - add a flow to the agent's totals or subtract it
 * @agent: agent
 * @flow: flow
 * @sign: 1 to add, -1 to subtract
 *
 * Keeps open_flow_count, running and opening up to date. A change to a flow
 * that affects them must be enclosed by a call with -1 and one with 1.
 */
void
plug_host_flow_account(
    struct plug_track_agent *agent, const struct plug_host_flow *flow, int sign)
{
	if (!plug_host_flow_is_held(flow) || flow->idle ||
	    plug_host_flow_is_closed(flow))
		return;
	agent->open_flow_count += (uint32_t)sign;
	if (flow->request_running)
		agent->running += (uint32_t)sign;
	if (flow->awaits_request)
		agent->opening += (uint32_t)sign;
}

/**
 * plug_host_flow_touch() - note that a segment of a flow has passed
 * @agent: agent
 * @now: current time
 * @flow: flow; counts as open again if it was idle
 */
void
plug_host_flow_touch(
    struct plug_track_agent *agent, plug_time now, struct plug_host_flow *flow)
{
	plug_conntable_touch(&agent->flows, &flow->conn, now);
	if (!flow->idle)
		return;
	flow->idle = false;
	plug_host_flow_account(agent, flow, 1);
}

/**
 * plug_host_flow_remove() - remove a flow from the table
 * @agent: agent
 * @flow: flow; freed
 */
void
plug_host_flow_remove(
    struct plug_track_agent *agent, struct plug_host_flow *flow)
{
	plug_host_flow_account(agent, flow, -1);
	plug_conntable_remove(&agent->flows, &flow->conn);
}

/* Records that the host may have a flow that isn't in the table. */
static void
mark_incomplete(struct plug_track_agent *agent, plug_time now)
{
	agent->all_flows_seen = false;
	agent->observed_since = now;
}

/**
 * plug_host_flow_add() - add a flow to the table
 * @agent: agent
 * @now: current time
 * @tuple: flow that isn't in the table
 * @state: state of the flow
 * @entry: address of the entry that sent a segment of it, or 0 if unknown
 *
 * A full table drops the least recently used flow.
 *
 * Return: the flow, owned by the table, or NULL if memory ran out.
 */
struct plug_host_flow *
plug_host_flow_add(struct plug_track_agent *agent, plug_time now,
    const struct plug_tuple *tuple, enum plug_host_flow_state state,
    uint32_t entry)
{
	struct plug_host_flow *flow;

	if (plug_conntable_is_full(&agent->flows)) {
		plug_host_flow_remove(
		    agent, (struct plug_host_flow *)agent->flows.oldest);
		mark_incomplete(agent, now);
	}
	flow = plug_conntable_add(&agent->flows, tuple, now);
	if (flow == NULL) {
		mark_incomplete(agent, now);
		return NULL;
	}
	flow->state = state;
	flow->entry = entry;
	flow->first_seen_at = now;
	plug_host_flow_account(agent, flow, 1);
	return flow;
}

/**
 * plug_host_flow_log() - log a decision about a flow
 * @agent: agent
 * @level: severity
 * @event: name of the event
 * @tuple: flow
 * @reason: reason of the decision
 */
void
plug_host_flow_log(const struct plug_track_agent *agent,
    enum plug_log_level level, const char *event,
    const struct plug_tuple *tuple, const char *reason)
{
	char text[PLUG_TUPLE_TEXT];

	(void)plug_tuple_format(tuple, text, sizeof(text));
	plug_client_log(&agent->driver->client, level,
	    "event=%s flow=%s reason=%s host=%016llx flows=%u running=%u "
	    "opening=%u waiting=%u",
	    event, text, reason, (unsigned long long)agent->host,
	    agent->open_flow_count, agent->running, agent->opening,
	    agent->admission.waiter_count);
}

static void
send_lost(struct plug_track_agent *agent, const struct plug_host_flow *flow)
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

/**
 * plug_host_flow_drop() - remove a flow that the host no longer holds
 * @agent: agent
 * @flow: flow; freed
 * @reason: reason for the log
 *
 * Resets the client's side of an open flow at once. The flow's entry gets a
 * notice, except for flows that both sides have closed.
 */
void
plug_host_flow_drop(struct plug_track_agent *agent, struct plug_host_flow *flow,
    const char *reason)
{
	switch (flow->state) {
	case PLUG_HOST_FLOW_OPEN:
		if (plug_host_flow_is_closed(flow))
			break;
		agent->counters[PLUG_AGENT_RESETS]++;
		plug_host_flow_log(agent, PLUG_LOG_INFO, "flow_reset",
		    &flow->conn.tuple, reason);
		plug_track_reset_flow(
		    agent->driver, &flow->conn.tuple, flow->client_ack);
		send_lost(agent, flow);
		break;
	case PLUG_HOST_FLOW_OPENING:
		send_lost(agent, flow);
		break;
	case PLUG_HOST_FLOW_PROBED:
		plug_locate_send_answer(agent, flow->entry, &flow->conn.tuple,
		    PLUG__HOLDING__NO, NULL);
		break;
	case PLUG_HOST_FLOW_RETURNED:
		break;
	}
	plug_host_flow_remove(agent, flow);
}

/**
 * plug_host_flow_drop_all() - drop all flows of a dead or replaced host
 * @agent: agent
 * @reason: reason for the log
 */
void
plug_host_flow_drop_all(struct plug_track_agent *agent, const char *reason)
{
	while (agent->flows.oldest != NULL)
		plug_host_flow_drop(agent,
		    (struct plug_host_flow *)agent->flows.oldest, reason);
}

/**
 * plug_host_flow_mark_returned() - note that the host doesn't hold a flow
 * @agent: agent
 * @now: current time
 * @flow: flow, of which the host has returned a segment; invalid afterwards
 *
 * It is remembered for as long as an entry may look for the flow: each further
 * segment of it at this host, by way of whichever entry, would be one more that
 * goes astray.
 */
void
plug_host_flow_mark_returned(
    struct plug_track_agent *agent, plug_time now, struct plug_host_flow *flow)
{
	if (agent->flows.count > RETURNED_FILL_MAX * agent->flows.limit) {
		plug_host_flow_remove(agent, flow);
		return;
	}
	plug_host_flow_account(agent, flow, -1);
	flow->state = PLUG_HOST_FLOW_RETURNED;
	flow->awaits_request = false;
	flow->request_running = false;
	flow->unanswered_since = 0;
	plug_conntable_touch(&agent->flows, &flow->conn, now);
}

static plug_time
idle_limit(const struct plug_track_agent *agent)
{
	return agent->idle_timeout + IDLE_SLACK;
}

/**
 * plug_host_flows_complete() - whether the table has all flows of the host
 * @agent: agent
 * @now: current time
 *
 * After complete observation for the greatest age of a flow, any flow that the
 * agent missed before has ended. The idle timeout doesn't tell, as the agent
 * may not know yet that it was raised.
 */
bool
plug_host_flows_complete(const struct plug_track_agent *agent, plug_time now)
{
	return agent->all_flows_seen ||
	       now - agent->observed_since > agent->flow_age_max + AGE_SLACK;
}

static bool
is_expired(const struct plug_track_agent *agent, plug_time now,
    const struct plug_host_flow *flow)
{
	const plug_time untouched = now - flow->conn.touched_at;

	if (flow->state == PLUG_HOST_FLOW_PROBED)
		return untouched > PROBE_TIME;
	if (flow->state == PLUG_HOST_FLOW_RETURNED)
		return untouched > PLUG_LOOKUP_TIME;
	if (plug_host_flow_is_closed(flow))
		return untouched > CLOSED_TIME;
	return untouched > idle_limit(agent) &&
	       now - flow->first_seen_at > agent->flow_age_max + AGE_SLACK;
}

/* An idle flow stays in the table, but doesn't count as load. */
static void
mark_idle(
    struct plug_track_agent *agent, plug_time now, struct plug_host_flow *flow)
{
	if (flow->idle || now - flow->conn.touched_at <= idle_limit(agent))
		return;
	plug_host_flow_account(agent, flow, -1);
	flow->idle = true;
}

/**
 * plug_host_flow_expire() - remove flows whose lifetime is over
 * @agent: agent
 * @now: current time
 *
 * These are probed flows without an answer, flows that the host doesn't hold,
 * flows that both sides have closed, and idle flows above the greatest age of a
 * flow.
 */
void
plug_host_flow_expire(struct plug_track_agent *agent, plug_time now)
{
	struct plug_conn *conn = agent->flows.oldest;

	while (conn != NULL && now - conn->touched_at > PROBE_TIME) {
		struct plug_host_flow *flow = (struct plug_host_flow *)conn;

		conn = conn->newer;
		if (is_expired(agent, now, flow))
			plug_host_flow_remove(agent, flow);
		else
			mark_idle(agent, now, flow);
	}
}
