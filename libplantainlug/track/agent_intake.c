#include <stdlib.h>
#include <string.h>

#include "agent_internal.h"
#include "mechanism.h"

/*
 * Admits new flows to the host and refuses them, as admission.c decides, and
 * updates the table of flows.
 */

/* An admitted flow counts as load until its first request, but at most for the
 * upper bound of the handshake time, which is kept within these limits. A
 * client sends its request as soon as the handshake is over. If none has come
 * by then, the client gave up while its SYN waited, or another host has the
 * flow; counting it for longer would keep out flows that still wait. */
#define REQUEST_WAIT_DEFAULT (200 * PLUG_MSEC) /* before one was measured */
#define REQUEST_WAIT_MIN     (10 * PLUG_MSEC)
#define REQUEST_WAIT_MAX     (500 * PLUG_MSEC)

/* The host has surely not been replaced while it was last seen less than this
 * fraction of the address hold ago. The rest covers the time until a SYN that
 * is handed over arrives. */
#define SEEN_FRACTION 0.75

/* Load of the host; the result borrows from the agent. */
static struct plug_host_workload
load_of(const struct plug_track_agent *agent)
{
	return (struct plug_host_workload){
		.running = agent->running,
		.opening = agent->opening,
		.times = &agent->work_times,
		.handshake_time = (plug_time)agent->handshake_time.mean,
	};
}

/**
 * plug_intake_hand_to_host() - hand a client's segment to the host
 * @agent: agent
 * @now: current time
 * @segment: segment
 *
 * The host counts as silent from now on until it sends a segment, unless it has
 * been silent since an earlier one was handed to it.
 */
void
plug_intake_hand_to_host(struct plug_track_agent *agent, plug_time now,
    const struct plug_segment *segment)
{
	if (agent->unanswered_since == 0)
		agent->unanswered_since = now;
	plug_track_send_segment(agent->driver, PLUG_TRACK_TO_HOST, 0, segment);
}

/**
 * plug_intake_mark_unanswered() - expect the host's answer to a segment
 * @now: current time
 * @flow: flow of the segment; unchanged if an answer is outstanding already
 * @segment: segment; ignored without data or FIN, as no host answers a pure
 *   acknowledgement
 */
void
plug_intake_mark_unanswered(plug_time now, struct plug_host_flow *flow,
    const struct plug_segment *segment)
{
	if (flow->unanswered_since == 0 &&
	    (segment->len > 0 || (segment->flags & PLUG_SEGMENT_FIN) != 0))
		flow->unanswered_since = now;
}

/* Segment of a waiter, borrowed from it. Only the flow and the encoded bytes
 * are set. */
static struct plug_segment
waiter_segment(const struct plug_waiter *waiter)
{
	return (struct plug_segment){
		.tuple = waiter->tuple,
		.bytes = { (const char *)waiter->bytes, waiter->len },
	};
}

/**
 * plug_intake_send_refusal() - return a refused SYN to its entry
 * @agent: agent
 * @entry: address of the entry's machine
 * @host: hash of the instance id of the host that the entry chose
 * @segment: SYN
 * @reason: reason of the refusal
 */
void
plug_intake_send_refusal(struct plug_track_agent *agent, uint32_t entry,
    uint64_t host, const struct plug_segment *segment,
    Plug__RefusalReason reason)
{
	Plug__TrackNotice notice = PLUG__TRACK_NOTICE__INIT;
	Plug__Refused refused = PLUG__REFUSED__INIT;
	Plug__Load load;

	plug_report_fill_load(agent, &load);
	refused.load = &load;
	refused.host = host;
	refused.reason = reason;
	refused.segment = plug_track_segment_field(segment->bytes);
	notice.body_case = PLUG__TRACK_NOTICE__BODY_REFUSED;
	notice.refused = &refused;
	agent->counters[PLUG_AGENT_REFUSED]++;
	plug_host_flow_log(agent, PLUG_LOG_INFO, "open_refused",
	    &segment->tuple, plug_refusal_name(reason));
	plug_track_notify(agent->driver, entry, &notice);
}

static void
refuse_waiter(struct plug_track_agent *agent, struct plug_waiter *waiter,
    Plug__RefusalReason reason)
{
	const struct plug_segment segment = waiter_segment(waiter);

	plug_intake_send_refusal(
	    agent, waiter->entry, waiter->host, &segment, reason);
	free(waiter);
}

/* Milliseconds since the host was last seen; -1 if it never was. */
static long long
seen_ms(const struct plug_track_agent *agent, plug_time now)
{
	return agent->host_seen_at == 0
		   ? -1
		   : (long long)((now - agent->host_seen_at) / PLUG_MSEC);
}

/**
 * plug_intake_is_host_certain() - whether no other host can have replaced the
 * agent's host yet
 * @agent: agent
 * @now: current time
 *
 * A host that falls silent doesn't close the connection of the health check,
 * and the next host at its address takes any SYN, also one for the route of
 * another service. A SYN must not be handed over while this is false.
 */
bool
plug_intake_is_host_certain(const struct plug_track_agent *agent, plug_time now)
{
	return agent->host_seen_at != 0 &&
	       (double)(now - agent->host_seen_at) <
		   SEEN_FRACTION * (double)agent->address_hold;
}

/* Requests a health check, unless one was requested that isn't over. */
static void
request_check(struct plug_track_agent *agent, plug_time now)
{
	static const struct plug_track_action check = {
		.kind = PLUG_TRACK_CHECK_HOST,
	};

	if (agent->check_requested)
		return;
	agent->check_requested = true;
	agent->counters[PLUG_AGENT_CHECKS]++;
	plug_client_log(&agent->driver->client, PLUG_LOG_INFO,
	    "event=host_uncertain host=%016llx seen_ms=%lld waiting=%u",
	    (unsigned long long)agent->host, seen_ms(agent, now),
	    agent->admission.waiter_count);
	plug_track_emit(agent->driver, &check);
}

/* Why a new flow for a host can be admitted neither now nor later; UNSPECIFIED
 * if it may be admitted. */
static Plug__RefusalReason
refusal_reason(const struct plug_track_agent *agent, uint64_t host)
{
	switch (agent->host_state) {
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

/* Argument of is_refused(), which sets the reason. */
struct refusal {
	const struct plug_track_agent *agent;
	plug_time now;
	Plug__RefusalReason reason;
};

static bool
is_refused(void *data, const struct plug_waiter *waiter)
{
	struct refusal *refused = data;

	refused->reason = refusal_reason(refused->agent, waiter->host);
	if (refused->reason == PLUG__REFUSAL_REASON__UNSPECIFIED &&
	    (refused->now >= waiter->refuse_at ||
		!plug_built_with(PLUG_MECHANISM_QUEUE)))
		refused->reason = PLUG__REFUSAL_REASON__WAITED;
	return refused->reason != PLUG__REFUSAL_REASON__UNSPECIFIED;
}

/* Refuses the waiters to be admitted last while the queue is too long. */
static void
refuse_excess(struct plug_track_agent *agent, plug_time now)
{
	const struct plug_host_workload load = load_of(agent);
	struct plug_waiter *waiter;

	while ((waiter = plug_admission_shed(&agent->admission, now, &load)) !=
	       NULL)
		refuse_waiter(agent, waiter, PLUG__REFUSAL_REASON__BUSY);
}

/**
 * plug_intake_refuse_waiters() - refuse new flows that have waited for too long
 * @agent: agent
 * @now: current time
 *
 * Also refuses those that the host no longer accepts, because it is leaving,
 * refuses connections or was replaced.
 */
void
plug_intake_refuse_waiters(struct plug_track_agent *agent, plug_time now)
{
	struct refusal refused = { .agent = agent, .now = now };
	struct plug_waiter *waiter;

	while ((waiter = plug_admission_remove_if(
		    &agent->admission, is_refused, &refused)) != NULL)
		refuse_waiter(agent, waiter, refused.reason);
}

/* Logs that a SYN goes to the host, and the host that its entry chose. */
static void
log_handed_syn(const struct plug_track_agent *agent, plug_time now,
    const char *event, const struct plug_tuple *tuple, uint64_t chosen,
    const char *reason)
{
	char text[PLUG_TUPLE_TEXT];

	(void)plug_tuple_format(tuple, text, sizeof(text));
	plug_client_log(&agent->driver->client, PLUG_LOG_INFO,
	    "event=%s flow=%s reason=%s host=%016llx flows=%u running=%u "
	    "opening=%u waiting=%u chosen=%016llx state=%s seen_ms=%lld",
	    event, text, reason, (unsigned long long)agent->host,
	    agent->open_flow_count, agent->running, agent->opening,
	    agent->admission.waiter_count, (unsigned long long)chosen,
	    plug_host_state_name(agent->host_state), seen_ms(agent, now));
}

/* Adds a flow to the table and hands its SYN to the host. */
static void
admit(struct plug_track_agent *agent, plug_time now,
    const struct plug_waiter *waiter)
{
	const struct plug_segment segment = waiter_segment(waiter);
	struct plug_host_flow *flow = plug_host_flow_add(
	    agent, now, &waiter->tuple, PLUG_HOST_FLOW_OPENING, waiter->entry);

	if (flow == NULL)
		return;
	plug_host_flow_account(agent, flow, -1);
	flow->awaits_request = true;
	flow->handed_at = now;
	plug_host_flow_account(agent, flow, 1);
	agent->counters[PLUG_AGENT_ADMITTED]++;
	log_handed_syn(
	    agent, now, "open_admitted", &waiter->tuple, waiter->host, "room");
	plug_intake_hand_to_host(agent, now, &segment);
}

/**
 * plug_intake_admit() - hand new flows to the host while it has room
 * @agent: agent
 * @now: current time
 *
 * If another host may have replaced it since it was last seen, requests a
 * health check instead.
 */
void
plug_intake_admit(struct plug_track_agent *agent, plug_time now)
{
	if (agent->admission.first == NULL || agent->host_state != PLUG_HOST_UP)
		return;
	if (!plug_intake_is_host_certain(agent, now)) {
		request_check(agent, now);
		return;
	}
	while (agent->admission.first != NULL) {
		const struct plug_host_workload load = load_of(agent);
		struct plug_waiter *waiter =
		    plug_admission_dequeue(&agent->admission, now, &load);

		if (waiter == NULL)
			break;
		admit(agent, now, waiter);
		free(waiter);
	}
}

static plug_time
request_wait_limit(const struct plug_track_agent *agent)
{
	plug_time upper = plug_estimate_upper_bound(&agent->handshake_time);

	if (upper == 0)
		return REQUEST_WAIT_DEFAULT;
	if (upper < REQUEST_WAIT_MIN)
		return REQUEST_WAIT_MIN;
	return upper < REQUEST_WAIT_MAX ? upper : REQUEST_WAIT_MAX;
}

/**
 * plug_intake_expire_opening() - stop waiting for overdue first requests
 * @agent: agent
 * @now: current time
 *
 * The flows stay in the table, but no longer count as opening.
 */
void
plug_intake_expire_opening(struct plug_track_agent *agent, plug_time now)
{
	struct plug_conn *conn = agent->flows.newest;
	uint32_t left = agent->opening;

	for (; conn != NULL && left > 0; conn = conn->older) {
		struct plug_host_flow *flow = (struct plug_host_flow *)conn;

		if (!flow->awaits_request)
			continue;
		left--;
		if (now - conn->touched_at < request_wait_limit(agent))
			continue;
		plug_host_flow_account(agent, flow, -1);
		flow->awaits_request = false;
		plug_host_flow_account(agent, flow, 1);
	}
}

/* Sets the entry of a flow's waiter to the one that sent the latest copy of the
 * SYN. Return: whether the flow has a waiter. */
static bool
set_waiter_entry(struct plug_track_agent *agent, const struct plug_tuple *tuple,
    uint32_t from)
{
	struct plug_waiter *waiter =
	    plug_admission_find(&agent->admission, tuple);

	if (waiter != NULL)
		waiter->entry = from;
	return waiter != NULL;
}

/* Queues a new flow, then admits waiters that the host has room for and refuses
 * the excess. */
static void
enqueue(struct plug_track_agent *agent, plug_time now, uint32_t from,
    const Plug__Open *open, const struct plug_segment *segment)
{
	unsigned int waiting = agent->admission.waiter_count;
	struct plug_waiter *waiter = malloc(sizeof(*waiter));

	if (waiter == NULL)
		return;
	*waiter = (struct plug_waiter){
		.tuple = segment->tuple,
		.worktime = plug_worktimes_find_or_add(
		    &agent->work_times, plug_tuple_route(&segment->tuple)),
		.entry = from,
		.host = open->host,
		.priority = open->priority,
		.answer_due =
		    now + ((plug_time)open->aim_ms - open->aged_ms) * PLUG_MSEC,
		.refuse_at = now + open->wait_ms * PLUG_MSEC,
		.len = segment->bytes.len,
	};
	memcpy(waiter->bytes, segment->bytes.data, segment->bytes.len);
	plug_admission_enqueue(&agent->admission, waiter);
	plug_intake_admit(agent, now);
	refuse_excess(agent, now);
	if (agent->admission.waiter_count > waiting)
		agent->counters[PLUG_AGENT_QUEUED]++;
}

/* Handles a copy of a SYN that the host has got before. If another host may
 * have replaced it since, the entry tries another one. */
static void
handle_copy(struct plug_track_agent *agent, plug_time now, uint32_t from,
    const Plug__Open *open, struct plug_host_flow *flow,
    const struct plug_segment *segment)
{
	if (!plug_intake_is_host_certain(agent, now)) {
		request_check(agent, now);
		plug_intake_send_refusal(agent, from, open->host, segment,
		    PLUG__REFUSAL_REASON__OTHER_HOST);
		return;
	}
	flow->entry = from;
	log_handed_syn(
	    agent, now, "open_repeated", &segment->tuple, open->host, "copy");
	plug_intake_hand_to_host(agent, now, segment);
}

/* When the host stops being cold; 0 if it isn't. The entry's host list may lag,
 * and shows no restart under the same id until the host has written its entry,
 * so the agent goes by the start that it has seen as well. */
static plug_time
cold_until(
    const struct plug_track_agent *agent, plug_time now, const Plug__Open *open)
{
	plug_time listed =
	    open->cold_ms > 0 ? now + open->cold_ms * PLUG_MSEC : 0;
	plug_time seen =
	    agent->host_started_at == 0
		? 0
		: agent->host_started_at + open->cold_time_ms * PLUG_MSEC;

	return listed > seen ? listed : seen;
}

/**
 * plug_intake_handle_open() - handle a new flow from an entry
 * @agent: agent
 * @now: current time
 * @from: address of the entry's machine
 * @open: notice; counted as bad unless it has a valid SYN
 */
void
plug_intake_handle_open(struct plug_track_agent *agent, plug_time now,
    uint32_t from, const Plug__Open *open)
{
	struct plug_report_receiver *receiver =
	    plug_report_get_receiver(agent, now, from);
	struct plug_host_flow *flow;
	struct plug_segment segment;
	Plug__RefusalReason reason;

	if (!plug_track_decode_segment(
		agent->driver, &open->segment, &segment) ||
	    !plug_segment_opens_flow(&segment) ||
	    segment.bytes.len > PLUG_SEGMENT_MAX) {
		agent->counters[PLUG_AGENT_BAD]++;
		return;
	}
	plug_track_agent_set_idle_timeout(
	    agent, open->version, open->idle_ms * PLUG_MSEC);
	receiver->last_heard = now;
	receiver->report_soon = true;
	flow = plug_conntable_find(&agent->flows, &segment.tuple);
	if (flow != NULL && plug_host_flow_is_held(flow) && !flow->idle &&
	    !plug_host_flow_is_closed(flow)) {
		handle_copy(agent, now, from, open, flow, &segment);
		return;
	}
	if (flow != NULL)
		plug_host_flow_remove(agent, flow);
	reason = refusal_reason(agent, open->host);
	if (reason != PLUG__REFUSAL_REASON__UNSPECIFIED) {
		plug_intake_send_refusal(
		    agent, from, open->host, &segment, reason);
		return;
	}
	plug_admission_configure(&agent->admission, now, open->slots,
	    open->cold_milli_per_s / 1000.0, cold_until(agent, now, open));
	if (!set_waiter_entry(agent, &segment.tuple, from))
		enqueue(agent, now, from, open, &segment);
}

/**
 * plug_intake_start_request() - record that a request goes to the host
 * @agent: agent
 * @now: current time
 * @flow: flow of the request; no other request of it is running
 */
void
plug_intake_start_request(
    struct plug_track_agent *agent, plug_time now, struct plug_host_flow *flow)
{
	if (flow->awaits_request)
		plug_estimate_add(
		    &agent->handshake_time, now - flow->handed_at);
	plug_host_flow_account(agent, flow, -1);
	flow->awaits_request = false;
	flow->slots_full = agent->running >= agent->admission.slots;
	flow->request_running = true;
	flow->handed_at = now;
	plug_host_flow_account(agent, flow, 1);
}
