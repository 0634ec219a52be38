#include "agent_internal.h"

/**
 * plug_agent_refuse_request() - end a request that will not run and answer it
 * @agent: agent
 * @now: current monotonic time
 * @request: request in no queue and not running; its flow is NULL if it was
 *   detached from the flow while it ran, and then it is freed without an answer
 * @reason: reason in the log line
 * @retry_after_ms: delay in milliseconds before the caller should retry; 0 when
 *   not stated
 *
 * The answer is "not run", or "unknown" if an earlier attempt failed or lost
 * its connection, and so may have run. It is recorded, so that a late duplicate
 * gets the same answer and doesn't run.
 */
void
plug_agent_refuse_request(struct plug_agent *agent, plug_time now,
    struct plug_request *request, const char *reason, uint32_t retry_after_ms)
{
	const struct plug_flow *flow = request->flow;

	request->retry_after_ms = retry_after_ms;
	plug_client_log(agent->client, PLUG_LOG_INFO,
	    "event=refuse reason=%s flow=%016llx xid=%u procedure=%u "
	    "retry_after_ms=%u running=%u queued=%u limit=%u version=%llu",
	    reason, flow != NULL ? (unsigned long long)flow->id : 0,
	    request->xid, request->procedure, retry_after_ms,
	    agent->limiter.running, plug_limiter_queued(&agent->limiter),
	    plug_limiter_limit(&agent->limiter),
	    (unsigned long long)plug_agent_document_version(agent));
	plug_agent_finish_request(agent, now, request,
	    request->may_have_run ? PLUG_REQUEST_UNKNOWN
				  : PLUG_REQUEST_REFUSED);
}

/* Takes a request out of the queue that it waits in, if any. */
static void
remove_from_queue(struct plug_agent *agent, struct plug_request *request)
{
	if (request->queue_entry.heap_index == 0)
		return;
	if (request->is_delayed)
		plug_queue_remove(&agent->delayed, &request->queue_entry);
	else
		plug_limiter_remove(
		    &agent->limiter, &request->queue_entry, request->bulk);
	request->is_delayed = false;
}

/**
 * plug_agent_settle_requests() - drop the requests below the caller's floor
 * @agent: agent
 * @flow: flow of the requests
 * @floor: lowest xid that the caller hasn't settled; UINT32_MAX drops all
 *
 * The caller needs no further reply to a settled xid. A request that still runs
 * is cancelled, and freed when the upstream ends it; the others are freed at
 * once.
 */
void
plug_agent_settle_requests(
    struct plug_agent *agent, struct plug_flow *flow, uint32_t floor)
{
	struct plug_request *settled[PLUG_FLOW_WINDOW];
	unsigned int count = plug_flow_raise_floor(flow, floor, settled);

	for (unsigned int i = 0; i < count; i++) {
		remove_from_queue(agent, settled[i]);
		/* The reply to a running request frees it. */
		if (settled[i]->is_running)
			plug_agent_cancel_request(agent, settled[i]);
		else
			plug_request_free(settled[i], &agent->flows.answers);
	}
}

/**
 * plug_agent_raise_floor() - apply the floor that a call states
 * @agent: agent
 * @flow: flow of the call; nothing is done unless it is open
 * @floor: lowest xid that the caller hasn't settled
 *
 * The floor of a frozen flow stays, since PREPARE has told the target the old
 * one and COMMIT must list every xid above it that was refused meanwhile.
 */
void
plug_agent_raise_floor(
    struct plug_agent *agent, struct plug_flow *flow, uint32_t floor)
{
	if (flow->state == PLUG_FLOW_OPEN)
		plug_agent_settle_requests(agent, flow, floor);
}

/**
 * plug_agent_refuse_queued() - refuse the queued and delayed requests of a flow
 * @agent: agent
 * @now: current monotonic time
 * @flow: flow of the requests
 * @reason: reason in the log lines
 * @retry_after_ms: delay in milliseconds before the caller should retry
 */
void
plug_agent_refuse_queued(struct plug_agent *agent, plug_time now,
    struct plug_flow *flow, const char *reason, uint32_t retry_after_ms)
{
	for (unsigned int i = 0; i < PLUG_FLOW_WINDOW; i++) {
		struct plug_request *request = flow->window[i];

		if (request == NULL || request->state != PLUG_REQUEST_QUEUED)
			continue;
		remove_from_queue(agent, request);
		plug_agent_refuse_request(
		    agent, now, request, reason, retry_after_ms);
	}
}

/**
 * plug_agent_close_flow() - turn a flow into a tombstone
 * @agent: agent
 * @now: current monotonic time
 * @flow: flow whose queued requests were refused
 *
 * Requests that still run are detached from the flow, cancelled, and freed when
 * the upstream ends them.
 */
void
plug_agent_close_flow(
    struct plug_agent *agent, plug_time now, struct plug_flow *flow)
{
	plug_agent_settle_requests(agent, flow, UINT32_MAX);
	plug_flowtable_set_state(&agent->flows, flow, PLUG_FLOW_CLOSED, now);
}

/**
 * plug_agent_abandon_running() - cancel the running requests of a flow
 * @agent: agent
 * @now: current monotonic time
 * @flow: flow of the requests
 *
 * Each is answered with "unknown", since it may have run.
 */
void
plug_agent_abandon_running(
    struct plug_agent *agent, plug_time now, struct plug_flow *flow)
{
	for (unsigned int i = 0; i < PLUG_FLOW_WINDOW; i++) {
		struct plug_request *request = flow->window[i];

		if (request == NULL || request->state != PLUG_REQUEST_RUNNING)
			continue;
		request->abandoned = true;
		plug_agent_cancel_request(agent, request);
		plug_agent_finish_request(
		    agent, now, request, PLUG_REQUEST_UNKNOWN);
	}
}

/* While a move is in progress, a new owner can be expected soon. */
static uint32_t
leaving_retry_ms(const struct plug_agent *agent)
{
	return plug_transfer_has_outgoing(&agent->transfer)
		   ? PLUG_RETRY_SOON_MS
		   : PLUG_RETRY_LATER_MS;
}

/*
 * Returns the retry delay for a flow that is being moved. A move usually takes
 * a few milliseconds. If it takes longer, the delay grows with its duration: a
 * frozen flow keeps its floor, so every refused request uses up a part of its
 * window.
 */
static uint32_t
moving_retry_ms(const struct plug_flow *flow, plug_time now)
{
	uint32_t age_ms =
	    (uint32_t)((now - flow->state_changed_at) / PLUG_MSEC);

	return age_ms > PLUG_RETRY_SOON_MS ? age_ms : PLUG_RETRY_SOON_MS;
}

/* Queues a request and starts it if there is a free slot, or refuses it. */
static void
admit(struct plug_agent *agent, plug_time now, struct plug_request *request,
    const struct plug_call *call)
{
	struct plug_limiter *limiter = &agent->limiter;
	enum plug_code code;

	if (request->flow->state == PLUG_FLOW_FROZEN) {
		plug_agent_refuse_request(agent, now, request, "moving",
		    moving_retry_ms(request->flow, now));
		return;
	}
	if (plug_agent_is_leaving(agent)) {
		plug_agent_refuse_request(
		    agent, now, request, "leaving", leaving_retry_ms(agent));
		return;
	}
	if (plug_agent_is_upstream_down(agent, now)) {
		plug_agent_refuse_request(
		    agent, now, request, "no_upstream", PLUG_RETRY_LATER_MS);
		return;
	}
	if (!request->idempotent && agent->flows.answers.nonidempotent_bytes >
					PLUG_NONIDEMPOTENT_BYTES_MAX) {
		plug_agent_refuse_request(
		    agent, now, request, "answers_full", PLUG_RETRY_LATER_MS);
		return;
	}
	code = plug_request_set_data(request, call->body);
	if (code == PLUG_OK)
		code = plug_limiter_push(limiter, &request->queue_entry,
		    request->deadline, request->bulk);
	if (code == PLUG_E_FULL)
		plug_agent_refuse_request(agent, now, request, "queue_full",
		    plug_limiter_retry_after_ms(limiter));
	else if (code != PLUG_OK)
		plug_agent_refuse_request(
		    agent, now, request, "memory", PLUG_RETRY_LATER_MS);
	else
		plug_agent_dispatch(agent, now);
}

static void
set_class_and_deadline(plug_time now, struct plug_request *request,
    const struct plug_operation *operation, const struct plug_call *call)
{
	uint32_t budget_ms = operation->deadline_ms;

	/* The caller's budget may only shorten the deadline of the operation; 0
	 * means that none is stated. */
	if (call->budget_ms > 0 && call->budget_ms < budget_ms)
		budget_ms = call->budget_ms;
	request->bulk = operation->class == PLUG_CLASS_BULK;
	request->deadline = now + budget_ms * PLUG_MSEC;
}

/* Handles the first call with an xid. */
static void
handle_new_request(struct plug_agent *agent, plug_time now,
    struct plug_flow *flow, const struct plug_call *call,
    const struct plug_operation *operation)
{
	struct plug_request *request = plug_flow_add_request(flow, call->xid,
	    call->procedure, operation != NULL && operation->idempotent);

	/* Out of memory: a request may not run without a record, and the caller
	 * sends it again. */
	if (request == NULL)
		return;
	if (operation == NULL) {
		plug_agent_refuse_request(
		    agent, now, request, "no_operation", 0);
		return;
	}
	set_class_and_deadline(now, request, operation, call);
	/* The call asks for a further block of an answer that isn't stored
	 * here. */
	if (call->offset > 0) {
		plug_agent_finish_request(
		    agent, now, request, PLUG_REQUEST_UNKNOWN);
		return;
	}
	admit(agent, now, request, call);
}

/*
 * Leaves a request unanswered while its outcome may still arrive from the
 * previous owner; otherwise ends it as unknown.
 */
static void
await_previous_owner(
    struct plug_agent *agent, plug_time now, struct plug_request *request)
{
	struct plug_flow *flow = request->flow;

	if (plug_service_member(agent->service, flow->peer) != NULL &&
	    now < request->elsewhere_deadline) {
		request->caller_resent = true;
		return;
	}
	plug_request_end(request, PLUG_REQUEST_UNKNOWN, now);
	plug_agent_reply_block(agent, now, flow, request, 0);
}

/* Handles a further call with a recorded xid: a resend or a block request. */
static void
handle_known_request(struct plug_agent *agent, plug_time now,
    struct plug_request *request, const struct plug_call *call,
    const struct plug_operation *operation)
{
	struct plug_flow *flow = request->flow;

	switch (request->state) {
	case PLUG_REQUEST_QUEUED:
	case PLUG_REQUEST_RUNNING:
		agent->counters[PLUG_COUNT_DUPLICATES]++;
		return;
	case PLUG_REQUEST_ELSEWHERE:
		agent->counters[PLUG_COUNT_DUPLICATES]++;
		await_previous_owner(agent, now, request);
		return;
	case PLUG_REQUEST_DONE:
		/* Blocks of two runs must not be mixed, so a request whose
		 * stored answer was dropped runs again only for a call that
		 * wants the answer from its first byte. */
		if (!request->has_answer && call->offset > 0) {
			plug_agent_reply_outcome(
			    agent, now, call, flow, PLUG_OUTCOME_UNKNOWN, 0);
			return;
		}
		if (request->idempotent && !request->has_answer &&
		    operation != NULL) {
			plug_request_reset(request);
			set_class_and_deadline(now, request, operation, call);
			admit(agent, now, request, call);
			return;
		}
		break;
	case PLUG_REQUEST_REFUSED:
	case PLUG_REQUEST_UNKNOWN:
		break;
	}
	if (call->offset == 0)
		agent->counters[PLUG_COUNT_DUPLICATES]++;
	else
		plug_answers_touch(&agent->flows.answers, request, now);
	plug_agent_reply_block(agent, now, flow, request, call->offset);
}

/**
 * plug_agent_handle_request() - process a request on a flow that this agent
 * owns
 * @agent: agent
 * @now: current monotonic time
 * @flow: open or frozen flow
 * @call: call whose token names @flow
 *
 * Once an xid was answered with "not run" it stays refused, here and at any
 * later owner of the flow, so a caller retries under a new xid. A call with
 * an xid above the window is dropped without an answer, since a refusal
 * couldn't be recorded.
 */
void
plug_agent_handle_request(struct plug_agent *agent, plug_time now,
    struct plug_flow *flow, const struct plug_call *call)
{
	const struct plug_operation *operation =
	    plug_document_operation(&agent->service->document, call->procedure);
	struct plug_request *request;

	plug_agent_raise_floor(agent, flow, call->floor);
	switch (plug_flow_check_xid(flow, call->xid)) {
	case PLUG_OK:
		break;
	case PLUG_E_DUPLICATE:
		agent->counters[PLUG_COUNT_DUPLICATES]++;
		return;
	default:
		agent->counters[PLUG_COUNT_BAD_PACKETS]++;
		return;
	}
	request = plug_flow_find_request(flow, call->xid);
	if (request == NULL)
		handle_new_request(agent, now, flow, call, operation);
	else
		handle_known_request(agent, now, request, call, operation);
}

/* Refuses all queued requests and all retries that wait for their backoff. */
static void
refuse_all_queued(struct plug_agent *agent, plug_time now, const char *reason)
{
	struct plug_queue *const queues[] = { &agent->limiter.short_queue,
		&agent->limiter.bulk_queue, &agent->delayed };

	for (size_t i = 0; i < sizeof(queues) / sizeof(queues[0]); i++) {
		struct plug_queue_entry *entry;

		while ((entry = plug_queue_first(queues[i])) != NULL) {
			struct plug_request *request =
			    (struct plug_request *)entry;

			remove_from_queue(agent, request);
			plug_agent_refuse_request(
			    agent, now, request, reason, PLUG_RETRY_LATER_MS);
		}
	}
}

/* Moves retries whose backoff has passed to the queue of the limiter. */
static void
requeue_delayed(struct plug_agent *agent, plug_time now)
{
	struct plug_queue_entry *entry;

	while ((entry = plug_queue_first(&agent->delayed)) != NULL &&
	       entry->key <= now) {
		struct plug_request *request = (struct plug_request *)entry;

		remove_from_queue(agent, request);
		if (plug_limiter_push(&agent->limiter, &request->queue_entry,
			request->deadline, request->bulk) != PLUG_OK)
			plug_agent_refuse_request(agent, now, request,
			    "queue_full",
			    plug_limiter_retry_after_ms(&agent->limiter));
	}
}

/**
 * plug_agent_requests_tick() - refuse expired requests, queue due retries, drop
 * old answers, close idle flows, and remove old records of moved and closed
 * ones
 * @agent: agent
 * @now: current monotonic time
 */
void
plug_agent_requests_tick(struct plug_agent *agent, plug_time now)
{
	struct plug_queue_entry *entry;
	struct plug_flow *flow;

	while ((entry = plug_limiter_first_expired(&agent->limiter, now)) !=
	       NULL) {
		struct plug_request *request = (struct plug_request *)entry;

		remove_from_queue(agent, request);
		plug_agent_refuse_request(agent, now, request, "deadline",
		    plug_limiter_retry_after_ms(&agent->limiter));
	}
	requeue_delayed(agent, now);
	if (plug_agent_is_upstream_down(agent, now))
		refuse_all_queued(agent, now, "no_upstream");
	plug_answers_expire(&agent->flows.answers, now);
	while (
	    (flow = plug_flowtable_next_expired(&agent->flows, now)) != NULL) {
		if (flow->state == PLUG_FLOW_OPEN) {
			plug_agent_close_flow(agent, now, flow);
			continue;
		}
		plug_agent_settle_requests(agent, flow, UINT32_MAX);
		plug_flowtable_remove(&agent->flows, flow);
	}
}
