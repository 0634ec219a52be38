#include "agent_internal.h"

#define HEARTBEAT_INTERVAL PLUG_SEC

/* An upstream that is silent for this long gets a new connection. */
#define SILENCE_MAX (3 * PLUG_SEC)

/* A request is cancelled at its deadline. If it doesn't end, it is answered
 * with "unknown" after the first of these times, counted from the deadline, and
 * the connection is replaced after the second. */
#define OVERDUE_ANSWER	  (2 * PLUG_SEC)
#define OVERDUE_RECONNECT (60 * PLUG_SEC)

/**
 * plug_agent_reset_limit() - lower the concurrency limit to that of a cold
 * upstream
 * @agent: agent
 * @now: current monotonic time
 * @signal: how the restart of the upstream was detected
 *
 * Nothing is counted or logged if the limit is still at the start of its ramp.
 */
void
plug_agent_reset_limit(
    struct plug_agent *agent, plug_time now, enum plug_restart_signal signal)
{
	if (!plug_limiter_reset_ramp(&agent->limiter, now))
		return;
	agent->counters[PLUG_COUNT_COLD_STARTS]++;
	plug_client_log(agent->client, PLUG_LOG_WARN,
	    "event=restart_detected reason=%s limit=%u running=%u queued=%u "
	    "version=%llu",
	    plug_restart_signal_name(signal),
	    plug_limiter_limit(&agent->limiter), agent->limiter.running,
	    plug_limiter_queued(&agent->limiter),
	    (unsigned long long)plug_agent_document_version(agent));
}

/**
 * plug_agent_finish_request() - put a request in a final state and answer it
 * @agent: agent
 * @now: current monotonic time
 * @request: request in no queue; if its flow is NULL it must not be running,
 *   and is freed
 * @state: final state, ignored if the request already has one, as it has after
 *   plug_request_store_answer()
 *
 * The new owner of a flow that was moved is told the outcome, too.
 */
void
plug_agent_finish_request(struct plug_agent *agent, plug_time now,
    struct plug_request *request, enum plug_request_state state)
{
	struct plug_flow *flow = request->flow;

	if (flow == NULL) {
		plug_request_free(request, &agent->flows.answers);
		return;
	}
	if (!plug_request_is_final(request)) {
		plug_request_end(request, state, now);
		if (state == PLUG_REQUEST_UNKNOWN)
			plug_client_log(agent->client, PLUG_LOG_INFO,
			    "event=unknown flow=%016llx xid=%u procedure=%u "
			    "version=%llu",
			    (unsigned long long)flow->id, request->xid,
			    request->procedure,
			    (unsigned long long)plug_agent_document_version(
				agent));
	}
	plug_agent_reply_block(agent, now, flow, request, 0);
	plug_transfer_request_ended(&agent->transfer, flow, request);
}

/**
 * plug_agent_cancel_request() - ask the upstream to cancel a request
 * @agent: agent
 * @request: running request; nothing is done if it was cancelled before
 */
void
plug_agent_cancel_request(
    struct plug_agent *agent, struct plug_request *request)
{
	const struct plug_action action = {
		.kind = PLUG_ACTION_UPSTREAM_CANCEL,
		.upstream = { .id = request->upstream_call_id },
	};

	if (request->cancel_sent)
		return;
	request->cancel_sent = true;
	plug_client_emit(agent->client, &action);
}

static void
start_request(
    struct plug_agent *agent, plug_time now, struct plug_request *request)
{
	struct plug_action action = {
		.kind = PLUG_ACTION_UPSTREAM_CALL,
		.upstream = {
			.id = ++agent->upstream.last_id,
			.procedure = request->procedure,
			.budget_ms = (uint32_t)((request->deadline - now) /
						PLUG_MSEC),
			.body = { (const char *)request->data, request->len },
		},
	};

	if (request->upstream_attempts++ == 0) {
		plug_retry_budget_deposit(&agent->retry);
		agent->counters[PLUG_COUNT_STARTED]++;
	} else {
		agent->counters[PLUG_COUNT_RETRIES]++;
	}
	request->upstream_call_id = action.upstream.id;
	request->state = PLUG_REQUEST_RUNNING;
	request->started_at = now;
	request->is_running = true;
	TAILQ_INSERT_TAIL(&agent->upstream.running, request, list_link);
	plug_client_log(agent->client, PLUG_LOG_DEBUG,
	    "event=request_started flow=%016llx xid=%u procedure=%u call=%llu",
	    (unsigned long long)request->flow->id, request->xid,
	    request->procedure, (unsigned long long)request->upstream_call_id);
	plug_client_emit(agent->client, &action);
}

/**
 * plug_agent_dispatch() - start queued requests within the concurrency limit
 * @agent: agent
 * @now: current monotonic time
 */
void
plug_agent_dispatch(struct plug_agent *agent, plug_time now)
{
	struct plug_queue_entry *entry;

	if (agent->domain_out)
		return;
	/* Nothing starts while a queued request is past its deadline; the next
	 * tick refuses it. */
	while (agent->upstream.connected &&
	       plug_limiter_first_expired(&agent->limiter, now) == NULL &&
	       (entry = plug_limiter_start_next(&agent->limiter)) != NULL)
		start_request(agent, now, (struct plug_request *)entry);
}

/*
 * Schedules a further attempt of a request if that is safe and the retry budget
 * allows it; otherwise returns false. The owner of a frozen flow may start
 * nothing on it.
 */
static bool
schedule_retry(
    struct plug_agent *agent, plug_time now, struct plug_request *request)
{
	plug_time at;

	if (request->flow == NULL || request->flow->state != PLUG_FLOW_OPEN ||
	    request->cancel_sent || request->abandoned ||
	    plug_agent_is_leaving(agent) ||
	    (request->may_have_run && !request->idempotent) ||
	    !plug_retry_budget_take(&agent->retry, agent->client, now,
		request->deadline, request->upstream_attempts, &at) ||
	    plug_queue_push(&agent->delayed, &request->queue_entry, at) !=
		PLUG_OK)
		return false;
	request->state = PLUG_REQUEST_QUEUED;
	request->is_delayed = true;
	return true;
}

static void
remove_from_running(struct plug_agent *agent, struct plug_request *request)
{
	TAILQ_REMOVE(&agent->upstream.running, request, list_link);
	request->is_running = false;
	plug_limiter_release(&agent->limiter, request->bulk);
}

/* Handles a request that failed, or lost its connection, while it ran. */
static void
retry_or_report_unknown(
    struct plug_agent *agent, plug_time now, struct plug_request *request)
{
	request->may_have_run = true;
	if (!schedule_retry(agent, now, request))
		plug_agent_finish_request(
		    agent, now, request, PLUG_REQUEST_UNKNOWN);
}

/**
 * plug_agent_fail_running() - treat all requests at the upstream as failed
 * @agent: agent
 * @now: current monotonic time
 *
 * Each is retried if that is safe, or answered with "unknown".
 */
void
plug_agent_fail_running(struct plug_agent *agent, plug_time now)
{
	struct plug_request_list running;
	struct plug_request *request;

	TAILQ_INIT(&running);
	TAILQ_CONCAT(&running, &agent->upstream.running, list_link);
	while ((request = TAILQ_FIRST(&running)) != NULL) {
		TAILQ_REMOVE(&running, request, list_link);
		request->is_running = false;
		plug_limiter_release(&agent->limiter, request->bulk);
		retry_or_report_unknown(agent, now, request);
	}
}

/**
 * plug_agent_upstream_opened() - handle an established upstream connection
 * @agent: agent
 * @now: current monotonic time
 */
void
plug_agent_upstream_opened(struct plug_agent *agent, plug_time now)
{
	/* A driver that replaced the connection may not have reported the loss
	 * of the old one. */
	if (!TAILQ_EMPTY(&agent->upstream.running))
		plug_agent_upstream_lost(agent, now, "reopened");
	agent->upstream.connected = true;
	agent->upstream.connection_changed = now;
	agent->upstream.last_heard = now;
	agent->upstream.heartbeat_id = 0;
	agent->upstream.heartbeat_sent = now;
	plug_client_log(agent->client, PLUG_LOG_INFO,
	    "event=upstream_open limit=%u version=%llu",
	    plug_limiter_limit(&agent->limiter),
	    (unsigned long long)plug_agent_document_version(agent));
	plug_agent_dispatch(agent, now);
}

/**
 * plug_agent_upstream_lost() - handle the loss of the upstream connection
 * @agent: agent
 * @now: current monotonic time
 * @reason: reason in the log line
 *
 * Running non-idempotent requests are answered with "unknown", idempotent ones
 * are retried within the retry budget, and the concurrency limit goes back to
 * that of a cold upstream.
 */
void
plug_agent_upstream_lost(
    struct plug_agent *agent, plug_time now, const char *reason)
{
	if (!agent->upstream.connected && TAILQ_EMPTY(&agent->upstream.running))
		return;
	agent->upstream.connected = false;
	agent->upstream.connection_changed = now;
	agent->upstream.heartbeat_id = 0;
	plug_client_log(agent->client, PLUG_LOG_WARN,
	    "event=upstream_lost reason=%s running=%u version=%llu", reason,
	    agent->limiter.running,
	    (unsigned long long)plug_agent_document_version(agent));
	plug_agent_reset_limit(agent, now, PLUG_RESTART_CONNECTION);
	plug_agent_fail_running(agent, now);
}

static struct plug_request *
find_running(struct plug_agent *agent, uint64_t id)
{
	struct plug_request *request;

	TAILQ_FOREACH(request, &agent->upstream.running, list_link)
	{
		if (request->upstream_call_id == id)
			return request;
	}
	return NULL;
}

/* Stores the answer of a request that ran to its end, and sends it. */
static void
complete_request(struct plug_agent *agent, plug_time now,
    struct plug_request *request, struct plug_str answer)
{
	enum plug_restart_signal signal =
	    plug_limiter_add_sample(&agent->limiter, now, request->procedure,
		now - request->started_at, now <= request->deadline);

	if (signal != PLUG_RESTART_NONE)
		plug_agent_reset_limit(agent, now, signal);
	/* Later duplicates get the answer even after an "unknown". */
	if (request->flow != NULL)
		(void)plug_request_store_answer(
		    request, &agent->flows.answers, answer, now);
	plug_agent_finish_request(agent, now, request, PLUG_REQUEST_DONE);
}

/* Handles a request that the upstream has not run. */
static void
retry_or_refuse(struct plug_agent *agent, plug_time now,
    struct plug_request *request, const char *reason)
{
	if (!schedule_retry(agent, now, request))
		plug_agent_refuse_request(agent, now, request, reason,
		    plug_limiter_retry_after_ms(&agent->limiter));
}

/**
 * plug_agent_upstream_reply() - handle the end of a call at the upstream
 * @agent: agent
 * @now: current monotonic time
 * @event: event of kind PLUG_AGENT_UPSTREAM_REPLY; dropped if its id names
 *   neither the heartbeat nor a running request
 */
void
plug_agent_upstream_reply(struct plug_agent *agent, plug_time now,
    const struct plug_agent_event *event)
{
	struct plug_request *request;

	agent->upstream.last_heard = now;
	if (event->reply.id == agent->upstream.heartbeat_id) {
		agent->upstream.heartbeat_id = 0;
		return;
	}
	request = find_running(agent, event->reply.id);
	if (request == NULL)
		return;
	remove_from_running(agent, request);
	switch (event->reply.result) {
	case PLUG_UPSTREAM_DONE:
		complete_request(agent, now, request, event->reply.body);
		break;
	case PLUG_UPSTREAM_SHED:
		plug_agent_reset_limit(agent, now, PLUG_RESTART_SHED);
		retry_or_refuse(agent, now, request, "upstream_shed");
		break;
	case PLUG_UPSTREAM_CANCELLED:
		retry_or_refuse(agent, now, request, "cancelled");
		break;
	case PLUG_UPSTREAM_FAILED:
		plug_limiter_stop_ramp(&agent->limiter);
		retry_or_report_unknown(agent, now, request);
		break;
	}
	plug_agent_dispatch(agent, now);
}

static void
reconnect(struct plug_agent *agent, plug_time now, const char *reason)
{
	const struct plug_action action = {
		.kind = PLUG_ACTION_UPSTREAM_RECONNECT,
	};

	plug_client_emit(agent->client, &action);
	plug_agent_upstream_lost(agent, now, reason);
}

/*
 * Cancels requests at their deadline and answers them with "unknown"
 * OVERDUE_ANSWER later. Returns false if one is late by OVERDUE_RECONNECT.
 */
static bool
handle_overdue(struct plug_agent *agent, plug_time now)
{
	struct plug_request *request;

	TAILQ_FOREACH(request, &agent->upstream.running, list_link)
	{
		plug_time overdue = now - request->deadline;

		if (overdue < 0)
			continue;
		plug_limiter_stop_ramp(&agent->limiter);
		plug_agent_cancel_request(agent, request);
		if (overdue >= OVERDUE_RECONNECT)
			return false;
		if (overdue < OVERDUE_ANSWER || request->abandoned ||
		    request->flow == NULL)
			continue;
		/* It keeps its slot, since the upstream still runs it. */
		request->abandoned = true;
		plug_agent_finish_request(
		    agent, now, request, PLUG_REQUEST_UNKNOWN);
	}
	return true;
}

/*
 * Restarts the silence timeout after a pause of this process. The upstream may
 * have been paused as well, and what it has sent since may not be read yet.
 */
static void
restart_timeout_after_pause(struct plug_upstream *upstream, plug_time now)
{
	plug_time gap = now - upstream->last_tick;

	upstream->last_tick = now;
	if (gap <= PLUG_TICK_GAP_MAX)
		return;
	upstream->last_heard = now;
	upstream->heartbeat_sent = now;
}

/**
 * plug_agent_upstream_tick() - send heartbeats, cancel overdue requests and
 * replace a connection that is silent or stuck
 * @agent: agent
 * @now: current monotonic time
 */
void
plug_agent_upstream_tick(struct plug_agent *agent, plug_time now)
{
	struct plug_upstream *upstream = &agent->upstream;
	struct plug_action action = { .kind = PLUG_ACTION_UPSTREAM_CALL };

	restart_timeout_after_pause(upstream, now);
	if (!upstream->connected)
		return;
	if (!handle_overdue(agent, now)) {
		reconnect(agent, now, "request_stuck");
		return;
	}
	if (upstream->heartbeat_id != 0 &&
	    now - upstream->heartbeat_sent >= SILENCE_MAX &&
	    now - upstream->last_heard >= SILENCE_MAX) {
		reconnect(agent, now, "silent");
		return;
	}
	if (upstream->heartbeat_id != 0 ||
	    now - upstream->heartbeat_sent < HEARTBEAT_INTERVAL)
		return;
	upstream->heartbeat_id = ++upstream->last_id;
	upstream->heartbeat_sent = now;
	action.upstream.id = upstream->heartbeat_id;
	action.upstream.procedure = PLUG_PROCEDURE_NULL;
	action.upstream.budget_ms = SILENCE_MAX / PLUG_MSEC;
	plug_client_emit(agent->client, &action);
}
