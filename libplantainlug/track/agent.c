#include "agent_internal.h"
#include "mechanism.h"

#define FLOWS_MAX 50000 /* flows of one host, above its connection limit */

/* Answers that take at least this long are logged, at most ten a second. Most
 * objectives are 100 to 300 ms. */
#define SLOW_ANSWER	  (200 * PLUG_MSEC)
#define SLOW_LOG_INTERVAL (100 * PLUG_MSEC)

/* A client that closes a flow this long after an unanswered request has given
 * up on the host. Clients' deadlines are 500 ms and more. */
#define GIVEN_UP_TIME (400 * PLUG_MSEC)

/* A leaving host closes its port and goes on serving its flows for seconds. A
 * host that refuses connections is declared dead if it has sent nothing for
 * UNANSWERED_MIN, should have answered MISSED_ANSWERS requests meanwhile if
 * they take as long as others, and has answered no copy of an answered request.
 */
#define MISSED_ANSWERS 14.0
#define UNANSWERED_MIN (250 * PLUG_MSEC)

/* Upper limit of the time between two ticks that counts as silence of a host
 * that refuses connections. If more time has passed, the agent was paused, and
 * the excess doesn't count. A few times INTAKE_TICK, as a busy machine delays
 * ticks. */
#define TICK_GAP_MAX (50 * PLUG_MSEC)

/* Work time that is assumed before a request was measured. */
#define WORK_TIME_DEFAULT (100 * PLUG_MSEC)

/* A request no longer counts as running if it is unanswered for this time and
 * for this many times the upper bound of the work time. */
#define LOST_ANSWER_TIME   (2 * PLUG_SEC)
#define LOST_ANSWER_FACTOR 4

/* Idle timeout before a configuration was received. */
#define IDLE_TIMEOUT_DEFAULT (15 * PLUG_SEC)

/* Time between ticks while flows wait or the host refuses connections. */
#define INTAKE_TICK (10 * PLUG_MSEC)

/* Time between searches for expired flows and requests. */
#define SWEEP_INTERVAL (500 * PLUG_MSEC)

/**
 * plug_track_agent_init() - initialize an agent whose host is unknown
 * @agent: agent to initialize
 * @driver: handlers; must outlive the agent
 * @now: current time
 * @limits: limits of the platform; copied
 *
 * Return: PLUG_OK or PLUG_E_MEMORY.
 */
enum plug_code
plug_track_agent_init(struct plug_track_agent *agent,
    struct plug_track_driver *driver, plug_time now,
    const struct plug_track_limits *limits)
{
	*agent = (struct plug_track_agent){
		.driver = driver,
		.address_hold = limits->address_hold,
		.flow_age_max = limits->flow_age_max,
		.host_drained_at = now,
		.observed_since = now,
		.ticked_at = now,
		.idle_timeout = IDLE_TIMEOUT_DEFAULT,
	};
	plug_admission_init(&agent->admission, now);
	return plug_conntable_init(
	    &agent->flows, sizeof(struct plug_host_flow), FLOWS_MAX);
}

/**
 * plug_track_agent_finish() - free all flows and waiters
 * @agent: agent
 */
void
plug_track_agent_finish(struct plug_track_agent *agent)
{
	plug_conntable_finish(&agent->flows);
	plug_admission_finish(&agent->admission);
}

/* Records a request that ended without an answer. If this makes the host count
 * as failing, the entries get a report. */
static void
record_failure(struct plug_track_agent *agent, plug_time now,
    const struct plug_host_flow *flow, const char *reason)
{
	agent->counters[PLUG_AGENT_FAILED]++;
	plug_host_flow_log(
	    agent, PLUG_LOG_INFO, "request_failed", &flow->conn.tuple, reason);
	if (!plug_failures_record(&agent->failures, now, true))
		return;
	agent->reported_failing = true;
	plug_client_log(&agent->driver->client, PLUG_LOG_WARN,
	    "event=host_failing host=%016llx for_ms=%lld flows=%u running=%u",
	    (unsigned long long)agent->host,
	    (long long)(agent->failures.failing_period / PLUG_MSEC),
	    agent->open_flow_count, agent->running);
	plug_report_schedule_all(agent);
}

/* Tells the entries when the failing period of the host has ended. */
static void
end_failing_period(struct plug_track_agent *agent, plug_time now)
{
	if (!agent->reported_failing ||
	    plug_failures_is_failing(&agent->failures, now))
		return;
	agent->reported_failing = false;
	plug_client_log(&agent->driver->client, PLUG_LOG_INFO,
	    "event=host_tried_again host=%016llx",
	    (unsigned long long)agent->host);
	plug_report_schedule_all(agent);
}

/**
 * plug_track_agent_set_idle_timeout() - take over the timeout of idle flows
 * @agent: agent
 * @version: version of the configuration that it is from; ignored unless it is
 *   newer than the one known
 * @idle_timeout: timeout
 *
 * An agent reads the configuration rarely, and may have read it from an old
 * copy; entries tell it the timeout with each new flow.
 */
void
plug_track_agent_set_idle_timeout(
    struct plug_track_agent *agent, uint64_t version, plug_time idle_timeout)
{
	if (version <= agent->config_version)
		return;
	if (idle_timeout != agent->idle_timeout)
		plug_client_log(&agent->driver->client, PLUG_LOG_INFO,
		    "event=idle_timeout version=%llu before=%llu idle_ms=%lld",
		    (unsigned long long)version,
		    (unsigned long long)agent->config_version,
		    (long long)(idle_timeout / PLUG_MSEC));
	agent->config_version = version;
	agent->idle_timeout = idle_timeout;
}

static bool
is_change(
    const struct plug_track_agent *agent, const struct plug_host_report *report)
{
	return report->state != agent->host_state ||
	       (report->state == PLUG_HOST_UP &&
		   (report->host != agent->host ||
		       report->draining != agent->draining));
}

/**
 * plug_track_agent_set_host() - apply a result of the health check
 * @agent: agent
 * @now: current time
 * @report: result; each answer of the host is one, also if nothing has changed
 *
 * A host that is up counts as new if its id differs from the previous host's,
 * if the state before was PLUG_HOST_DOWN, or if there was no host yet and the
 * state before was PLUG_HOST_REFUSING. For a new host, drops all flows, resets
 * the recorded failures and regards the table of flows as complete.
 *
 * A change schedules a report to every entry. Waiting flows are refused or
 * admitted. After PLUG_HOST_DOWN, PLUG_HOST_REFUSING is ignored.
 */
void
plug_track_agent_set_host(struct plug_track_agent *agent, plug_time now,
    const struct plug_host_report *report)
{
	bool was_refusing = agent->host_state == PLUG_HOST_DOWN ||
			    agent->host_state == PLUG_HOST_REFUSING;
	bool is_new =
	    agent->host_state == PLUG_HOST_DOWN ||
	    (agent->host != report->host && (agent->host != 0 || was_refusing));
	bool changed = is_change(agent, report);

	agent->check_requested = false;
	switch (report->state) {
	case PLUG_HOST_UNKNOWN:
		break;
	case PLUG_HOST_REFUSING:
	case PLUG_HOST_DOWN:
		if (agent->host_state == PLUG_HOST_DOWN)
			return;
		break;
	case PLUG_HOST_UP:
		if (is_new) {
			plug_host_flow_drop_all(agent, "host_replaced");
			agent->all_flows_seen = true;
			agent->liveness = (struct plug_liveness){ 0 };
			agent->failures = (struct plug_failures){ 0 };
			agent->reported_failing = false;
		}
		if (is_new || was_refusing)
			agent->host_started_at = now;
		if (agent->host != report->host ||
		    report->checked_at > agent->host_seen_at)
			agent->host_seen_at = report->checked_at;
		agent->host = report->host;
		agent->draining = report->draining;
		break;
	}
	agent->host_state = report->state;
	if (changed)
		plug_report_schedule_all(agent);
	/* The waiters may be for the previous host. */
	plug_intake_refuse_waiters(agent, now);
	plug_intake_admit(agent, now);
}

/**
 * plug_track_agent_host_drained() - note that no segment of the host is unread
 * @agent: agent
 * @at: time at which there was none
 */
void
plug_track_agent_host_drained(struct plug_track_agent *agent, plug_time at)
{
	agent->host_drained_at = at;
}

/* Number of answers that a live host would have given since it last sent a
 * segment. */
static double
missed_answers(const struct plug_track_agent *agent, plug_time now)
{
	const struct plug_conn *conn = agent->flows.newest;
	unsigned int waiting = 0;
	double missed = 0;

	for (; conn != NULL; conn = conn->older) {
		const struct plug_host_flow *flow =
		    (const struct plug_host_flow *)conn;
		const struct plug_estimate *work;
		plug_time since = agent->unanswered_since;

		if (flow->unanswered_since == 0)
			continue;
		waiting++;
		work = plug_worktimes_estimate(
		    &agent->work_times, plug_worktimes_find(&agent->work_times,
					    plug_tuple_route(&conn->tuple)));
		if (flow->unanswered_since > since)
			since = flow->unanswered_since;
		missed +=
		    (double)(now - since) /
		    (work->measurement_count > 0 ? work->mean
						 : (double)WORK_TIME_DEFAULT);
	}
	if (waiting > agent->admission.slots)
		missed *= (double)agent->admission.slots / waiting;
	return missed;
}

/* Excludes a pause of the agent from the silence of the host. What the host has
 * sent meanwhile is only read after this, and the host may have been paused
 * together with the agent. */
static void
exclude_pause(struct plug_track_agent *agent, plug_time now)
{
	plug_time gap = now - agent->ticked_at;

	agent->ticked_at = now;
	if (agent->unanswered_since != 0 && gap > TICK_GAP_MAX)
		agent->unanswered_since += gap - TICK_GAP_MAX;
}

/* Declares a host dead if it refuses connections and doesn't answer. */
static void
detect_dead_host(struct plug_track_agent *agent, plug_time now)
{
	double missed;

	if (!plug_built_with(PLUG_MECHANISM_DEATH) ||
	    agent->host_state != PLUG_HOST_REFUSING ||
	    agent->unanswered_since == 0)
		return;
	plug_liveness_probe(agent, now);
	if (now - agent->unanswered_since < UNANSWERED_MIN ||
	    plug_liveness_is_awaited(agent, now))
		return;
	missed = missed_answers(agent, now);
	if (missed < MISSED_ANSWERS)
		return;
	plug_client_log(&agent->driver->client, PLUG_LOG_INFO,
	    "event=host_dead host=%016llx flows=%u running=%u silent_ms=%lld "
	    "missed=%.0f copies=%u",
	    (unsigned long long)agent->host, agent->open_flow_count,
	    agent->running,
	    (long long)((now - agent->unanswered_since) / PLUG_MSEC), missed,
	    agent->liveness.unanswered);
	agent->host_state = PLUG_HOST_DOWN;
	plug_host_flow_drop_all(agent, "host_dead");
	plug_report_schedule_all(agent);
}

/* Whether a segment of the client has data that isn't a retransmission. */
static bool
has_new_data(
    const struct plug_host_flow *flow, const struct plug_segment *segment)
{
	uint32_t end = segment->seq + segment->len;

	return segment->len > 0 &&
	       (!flow->client_sent_data ||
		   (int32_t)(end - flow->client_next_seq) > 0);
}

static void
handle_client_segment(struct plug_track_agent *agent, plug_time now,
    struct plug_host_flow *flow, const struct plug_segment *segment)
{
	const bool fin = (segment->flags & PLUG_SEGMENT_FIN) != 0;
	const bool reset = (segment->flags & PLUG_SEGMENT_RST) != 0;
	const bool new_data = has_new_data(flow, segment);

	if (plug_segment_opens_flow(segment) &&
	    !plug_intake_is_host_certain(agent, now)) {
		plug_host_flow_log(agent, PLUG_LOG_INFO, "syn_dropped",
		    &segment->tuple, "host_uncertain");
		return;
	}
	plug_host_flow_touch(agent, now, flow);
	if ((fin || reset) && flow->request_running && !flow->client_fin &&
	    !flow->host_fin && now - flow->handed_at >= GIVEN_UP_TIME)
		record_failure(agent, now, flow, "client_gave_up");
	if ((segment->flags & PLUG_SEGMENT_ACK) != 0)
		flow->client_ack = segment->ack;
	if (new_data) {
		flow->client_next_seq = segment->seq + segment->len;
		flow->client_sent_data = true;
	}
	if (new_data && !fin && !flow->request_running && !flow->client_fin) {
		plug_intake_start_request(agent, now, flow);
		plug_liveness_keep(agent, now, segment);
	}
	if (!flow->host_fin)
		plug_intake_mark_unanswered(now, flow, segment);
	if (fin) {
		plug_host_flow_account(agent, flow, -1);
		flow->client_fin = true;
		plug_host_flow_account(agent, flow, 1);
	}
	plug_intake_hand_to_host(agent, now, segment);
	if (reset)
		plug_host_flow_remove(agent, flow);
}

/**
 * plug_track_agent_client_segment() - handle a client's segment from an entry
 * @agent: agent
 * @now: current time
 * @from: address of the entry's machine
 * @segment: segment of a flow that the entry assigns to this agent's host
 */
void
plug_track_agent_client_segment(struct plug_track_agent *agent, plug_time now,
    uint32_t from, const struct plug_segment *segment)
{
	struct plug_host_flow *flow;

	agent->counters[PLUG_AGENT_FORWARDED]++;
	plug_report_get_receiver(agent, now, from)->last_heard = now;
	flow = plug_conntable_find(&agent->flows, &segment->tuple);
	if (flow == NULL || flow->state == PLUG_HOST_FLOW_RETURNED) {
		plug_locate_handle_unknown_flow(
		    agent, now, from, flow, segment);
		return;
	}
	flow->entry = from;
	handle_client_segment(agent, now, flow, segment);
}

/* Handles a segment that the host has returned because it doesn't hold the
 * flow. */
static void
handle_bounced(struct plug_track_agent *agent, plug_time now,
    const struct plug_segment *segment)
{
	struct plug_host_flow *flow =
	    plug_conntable_find(&agent->flows, &segment->tuple);
	struct plug_segment original = *segment;
	uint32_t entry;

	agent->counters[PLUG_AGENT_BOUNCED]++;
	original.flags &= ~PLUG_SEGMENT_BOUNCED;
	if (flow == NULL)
		return;
	if (flow->state == PLUG_HOST_FLOW_OPEN) {
		plug_host_flow_drop(agent, flow, "host_returned_it");
		return;
	}
	entry = flow->entry;
	if (plug_segment_opens_flow(&original)) {
		plug_host_flow_remove(agent, flow);
		plug_intake_send_refusal(agent, entry, agent->host, &original,
		    PLUG__REFUSAL_REASON__BOUNCED);
		return;
	}
	plug_host_flow_mark_returned(agent, now, flow);
	plug_locate_send_answer(
	    agent, entry, &original.tuple, PLUG__HOLDING__NO, &original);
}

static void
record_answer(struct plug_track_agent *agent, plug_time now,
    const struct plug_host_flow *flow)
{
	plug_time time = now - flow->handed_at;
	unsigned int bucket = 0;
	char text[PLUG_TUPLE_TEXT];

	while (bucket + 1 < PLUG_ANSWER_BUCKETS &&
	       time >= PLUG_ANSWER_FIRST_LIMIT << bucket)
		bucket++;
	agent->answer_buckets[bucket]++;
	if (!flow->slots_full)
		plug_worktimes_record(&agent->work_times,
		    plug_tuple_route(&flow->conn.tuple), time);
	if (time < SLOW_ANSWER ||
	    now - agent->slow_logged_at < SLOW_LOG_INTERVAL)
		return;
	agent->slow_logged_at = now;
	(void)plug_tuple_format(&flow->conn.tuple, text, sizeof(text));
	plug_client_log(&agent->driver->client, PLUG_LOG_INFO,
	    "event=answer_slow flow=%s ms=%lld running=%u slots=%u waiting=%u "
	    "cold=%d host=%016llx",
	    text, (long long)(time / PLUG_MSEC), agent->running,
	    agent->admission.slots, agent->admission.waiter_count,
	    now < agent->admission.cold_until, (unsigned long long)agent->host);
}

static void
handle_host_segment(struct plug_track_agent *agent, plug_time now,
    struct plug_host_flow *flow, const struct plug_segment *segment)
{
	bool probed = flow->state == PLUG_HOST_FLOW_PROBED;

	/* Only the host that got the flow's SYN sends segments of it. */
	if (agent->host_drained_at > agent->host_seen_at)
		agent->host_seen_at = agent->host_drained_at;
	flow->unanswered_since = 0;
	plug_host_flow_account(agent, flow, -1);
	if ((segment->flags & PLUG_SEGMENT_SYN) != 0) {
		flow->syn_acked = true;
		flow->host_isn = segment->seq;
	} else {
		flow->state = PLUG_HOST_FLOW_OPEN;
	}
	if (segment->len > 0 && flow->request_running) {
		flow->request_running = false;
		record_answer(agent, now, flow);
		(void)plug_failures_record(&agent->failures, now, false);
	}
	/* A reset of a flow that the host has closed before is no failure. */
	if ((segment->flags & PLUG_SEGMENT_RST) != 0 && flow->request_running &&
	    !flow->host_fin)
		record_failure(agent, now, flow, "host_reset_it");
	if ((segment->flags & PLUG_SEGMENT_FIN) != 0) {
		flow->host_fin = true;
		flow->request_running = false;
	}
	plug_host_flow_account(agent, flow, 1);
	plug_host_flow_touch(agent, now, flow);
	if (probed && flow->state == PLUG_HOST_FLOW_OPEN)
		plug_locate_send_answer(agent, flow->entry, &segment->tuple,
		    PLUG__HOLDING__YES, NULL);
	if ((segment->flags & PLUG_SEGMENT_RST) != 0)
		plug_host_flow_remove(agent, flow);
}

/**
 * plug_track_agent_host_segment() - handle a segment from the host
 * @agent: agent
 * @now: current time
 * @segment: segment for a client, or a client's segment that the host returns,
 *   marked by PLUG_SEGMENT_BOUNCED
 */
void
plug_track_agent_host_segment(struct plug_track_agent *agent, plug_time now,
    const struct plug_segment *segment)
{
	struct plug_host_flow *flow;

	agent->counters[PLUG_AGENT_RETURNED]++;
	agent->unanswered_since = 0;
	agent->liveness.unanswered = 0;
	if ((segment->flags & PLUG_SEGMENT_BOUNCED) != 0) {
		handle_bounced(agent, now, segment);
		plug_intake_admit(agent, now);
		return;
	}
	plug_track_send_segment(
	    agent->driver, PLUG_TRACK_TO_CLIENT, 0, segment);
	flow = plug_conntable_find(&agent->flows, &segment->tuple);
	if (flow != NULL && flow->state == PLUG_HOST_FLOW_RETURNED) {
		plug_host_flow_remove(agent, flow);
		flow = NULL;
	}
	/* If the table is complete, a flow that isn't in it has ended, and the
	 * segment is a late duplicate. */
	if (flow == NULL && !plug_host_flows_complete(agent, now) &&
	    (segment->flags & (PLUG_SEGMENT_RST | PLUG_SEGMENT_FIN)) == 0)
		flow = plug_host_flow_add(
		    agent, now, &segment->tuple, PLUG_HOST_FLOW_OPENING, 0);
	if (flow == NULL)
		return;
	handle_host_segment(agent, now, flow, segment);
	plug_intake_admit(agent, now);
}

static void
handle_inquire(struct plug_track_agent *agent, plug_time now, uint32_t from)
{
	struct plug_report_receiver *receiver =
	    plug_report_get_receiver(agent, now, from);

	receiver->last_heard = now;
	receiver->report_soon = true;
}

/**
 * plug_track_agent_notice() - handle a notice from an entry
 * @agent: agent
 * @now: current time
 * @from: address of the sender's machine
 * @notice: notice; kinds that agents don't expect are counted and ignored
 */
void
plug_track_agent_notice(struct plug_track_agent *agent, plug_time now,
    uint32_t from, const Plug__TrackNotice *notice)
{
	switch (notice->body_case) {
	case PLUG__TRACK_NOTICE__BODY_OPEN:
		plug_intake_handle_open(agent, now, from, notice->open);
		return;
	case PLUG__TRACK_NOTICE__BODY_LOCATE:
		plug_locate_handle_questions(agent, now, from, notice->locate);
		return;
	case PLUG__TRACK_NOTICE__BODY_INQUIRE:
		handle_inquire(agent, now, from);
		return;
	default:
		agent->counters[PLUG_AGENT_BAD]++;
		return;
	}
}

/* Stops counting requests whose answer the agent may have missed, for example
 * while it was paused. */
static void
expire_requests(struct plug_track_agent *agent, plug_time now)
{
	struct plug_conn *conn = agent->flows.oldest;
	plug_time limit = LOST_ANSWER_FACTOR *
			  plug_estimate_upper_bound(&agent->work_times.overall);

	if (limit < LOST_ANSWER_TIME)
		limit = LOST_ANSWER_TIME;
	for (; conn != NULL && agent->running > 0; conn = conn->newer) {
		struct plug_host_flow *flow = (struct plug_host_flow *)conn;

		if (!flow->request_running || now - flow->handed_at < limit)
			continue;
		plug_host_flow_account(agent, flow, -1);
		flow->request_running = false;
		plug_host_flow_account(agent, flow, 1);
	}
}

/**
 * plug_track_agent_tick() - do the periodic work of an agent
 * @agent: agent
 * @now: current time
 *
 * Detects that the host is dead or that its failing period has ended, admits
 * and refuses waiting flows, sends reports, and expires old flows and requests.
 *
 * Return: latest time for the next call.
 */
plug_time
plug_track_agent_tick(struct plug_track_agent *agent, plug_time now)
{
	plug_time next;

	exclude_pause(agent, now);
	detect_dead_host(agent, now);
	end_failing_period(agent, now);
	plug_intake_expire_opening(agent, now);
	plug_intake_admit(agent, now);
	plug_intake_refuse_waiters(agent, now);
	next = plug_report_send_due(agent, now);
	if (now >= agent->next_sweep) {
		agent->next_sweep = now + SWEEP_INTERVAL;
		expire_requests(agent, now);
		plug_host_flow_expire(agent, now);
	}
	if (agent->next_sweep < next)
		next = agent->next_sweep;
	if ((agent->admission.first != NULL ||
		agent->host_state == PLUG_HOST_REFUSING) &&
	    now + INTAKE_TICK < next)
		next = now + INTAKE_TICK;
	return next;
}

/**
 * plug_host_state_name() - get the name of a host's state in logs
 * @state: state
 */
const char *
plug_host_state_name(enum plug_host_state state)
{
	switch (state) {
	case PLUG_HOST_UNKNOWN:
		return "unknown";
	case PLUG_HOST_UP:
		return "up";
	case PLUG_HOST_REFUSING:
		return "refusing";
	case PLUG_HOST_DOWN:
		return "down";
	}
	return "-";
}

/**
 * plug_track_agent_counter_name() - get the name of a counter in metrics
 * @counter: counter; less than PLUG_AGENT_COUNTERS
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
		[PLUG_AGENT_COPIES] = "copies",
		[PLUG_AGENT_CHECKS] = "checks_awaited",
	};

	return names[counter];
}
