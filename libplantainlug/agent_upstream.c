#include "agent_internal.h"

#define HEARTBEAT_INTERVAL PLUG_SEC
#define SILENCE_MAX	   (3 * PLUG_SEC) /* without a byte: replaced */

/* A cancelled request that doesn't end is answered as unknown after this time,
 * and the connection is replaced after the longer one. */
#define OVERDUE_ANSWER	  (2 * PLUG_SEC)
#define OVERDUE_RECONNECT (60 * PLUG_SEC)

/**
 * plug_agent_reset_limit() - go back to the cold limit
 * @agent: agent
 * @now: time
 * @signal: what showed that the upstream is cold
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
 * plug_agent_finish_request() - end a request and answer it
 * @agent: agent
 * @now: time
 * @request: request that is neither queued nor running
 * @state: final state; an answer has been stored already for a done request
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
 * plug_agent_cancel_request() - tell the upstream that an answer isn't wanted
 * @agent: agent
 * @request: running request
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
start(struct plug_agent *agent, plug_time now, struct plug_request *request)
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
 * plug_agent_dispatch() - start waiting requests within the limit
 * @agent: agent
 * @now: time
 */
void
plug_agent_dispatch(struct plug_agent *agent, plug_time now)
{
	struct plug_queue_entry *entry;

	if (agent->domain_out)
		return;
	/* Work whose deadline has passed is dropped by the next tick. */
	while (agent->upstream.connected &&
	       plug_limiter_first_expired(&agent->limiter, now) == NULL &&
	       (entry = plug_limiter_start_next(&agent->limiter)) != NULL)
		start(agent, now, (struct plug_request *)entry);
}

/*
 * Sends a request once more if that is safe, within the budget. The owner of a
 * frozen flow may start nothing on it.
 */
static bool
retry(struct plug_agent *agent, plug_time now, struct plug_request *request)
{
	plug_time at;

	if (request->flow == NULL || request->flow->state != PLUG_FLOW_OPEN ||
	    request->cancel_sent || request->abandoned ||
	    plug_agent_is_leaving(agent) ||
	    (request->may_have_run && !request->idempotent) ||
	    !plug_retry_budget_schedule(&agent->retry, agent->client, now,
		request->deadline, request->upstream_attempts, &at) ||
	    plug_queue_push(&agent->delayed, &request->queue_entry, at) !=
		PLUG_OK)
		return false;
	request->state = PLUG_REQUEST_QUEUED;
	request->is_delayed = true;
	return true;
}

static void
take_from_running(struct plug_agent *agent, struct plug_request *request)
{
	TAILQ_REMOVE(&agent->upstream.running, request, list_link);
	request->is_running = false;
	plug_limiter_release(&agent->limiter, request->bulk);
}

/* A request that broke while running. */
static void
broken(struct plug_agent *agent, plug_time now, struct plug_request *request)
{
	request->may_have_run = true;
	if (!retry(agent, now, request))
		plug_agent_finish_request(
		    agent, now, request, PLUG_REQUEST_UNKNOWN);
}

/**
 * plug_agent_fail_running() - give up everything that runs at the upstream
 * @agent: agent
 * @now: time
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
		broken(agent, now, request);
	}
}

/**
 * plug_agent_upstream_opened() - the connection was established
 * @agent: agent
 * @now: time
 */
void
plug_agent_upstream_opened(struct plug_agent *agent, plug_time now)
{
	/* A driver that replaced the connection may not report the loss. */
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
 * plug_agent_upstream_lost() - the connection was lost or given up
 * @agent: agent
 * @now: time
 * @reason: why, for the log
 *
 * Running non-idempotent requests are answered as unknown, idempotent ones are
 * sent again within the retry budget, and the limit goes back to cold.
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

static void
done(struct plug_agent *agent, plug_time now, struct plug_request *request,
    struct plug_str answer)
{
	enum plug_restart_signal signal =
	    plug_limiter_add_sample(&agent->limiter, now, request->procedure,
		now - request->started_at, now <= request->deadline);

	if (signal != PLUG_RESTART_NONE)
		plug_agent_reset_limit(agent, now, signal);
	/* The true outcome replaces "unknown" for later duplicates. */
	if (request->flow != NULL)
		(void)plug_request_store_answer(
		    request, &agent->flows.answers, answer, now);
	plug_agent_finish_request(agent, now, request, PLUG_REQUEST_DONE);
}

static void
not_run(struct plug_agent *agent, plug_time now, struct plug_request *request,
    const char *reason)
{
	if (!retry(agent, now, request))
		plug_agent_refuse_request(agent, now, request, reason,
		    plug_limiter_retry_after_ms(&agent->limiter));
}

/**
 * plug_agent_upstream_reply() - a call at the upstream ended
 * @agent: agent
 * @now: time
 * @event: event of kind PLUG_AGENT_UPSTREAM_REPLY
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
	take_from_running(agent, request);
	switch (event->reply.result) {
	case PLUG_UPSTREAM_DONE:
		done(agent, now, request, event->reply.body);
		break;
	case PLUG_UPSTREAM_SHED:
		plug_agent_reset_limit(agent, now, PLUG_RESTART_SHED);
		not_run(agent, now, request, "upstream_shed");
		break;
	case PLUG_UPSTREAM_CANCELLED:
		not_run(agent, now, request, "cancelled");
		break;
	case PLUG_UPSTREAM_FAILED:
		plug_limiter_stop_ramp(&agent->limiter);
		broken(agent, now, request);
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

/* Returns false when a request has been stuck for too long. */
static bool
check_overdue(struct plug_agent *agent, plug_time now)
{
	struct plug_request *request;

	TAILQ_FOREACH(request, &agent->upstream.running, list_link)
	{
		plug_time late = now - request->deadline;

		if (late < 0)
			continue;
		plug_limiter_stop_ramp(&agent->limiter);
		plug_agent_cancel_request(agent, request);
		if (late >= OVERDUE_RECONNECT)
			return false;
		if (late < OVERDUE_ANSWER || request->abandoned ||
		    request->flow == NULL)
			continue;
		/* It keeps its slot, since the upstream still works on it. */
		request->abandoned = true;
		plug_agent_finish_request(
		    agent, now, request, PLUG_REQUEST_UNKNOWN);
	}
	return true;
}

/* The upstream may have been paused with the agent, and what it has sent since
 * may not be read yet. Such a time is no silence. */
static void
skip_pause(struct plug_upstream *upstream, plug_time now)
{
	plug_time gap = now - upstream->last_tick;

	upstream->last_tick = now;
	if (gap <= PLUG_TICK_GAP_MAX)
		return;
	upstream->last_heard = now;
	upstream->heartbeat_sent = now;
}

/**
 * plug_agent_upstream_tick() - heartbeat and deadlines of running requests
 * @agent: agent
 * @now: time
 */
void
plug_agent_upstream_tick(struct plug_agent *agent, plug_time now)
{
	struct plug_upstream *upstream = &agent->upstream;
	struct plug_action action = { .kind = PLUG_ACTION_UPSTREAM_CALL };

	skip_pause(upstream, now);
	if (!upstream->connected)
		return;
	if (!check_overdue(agent, now)) {
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
