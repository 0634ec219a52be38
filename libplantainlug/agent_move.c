#include "agent_internal.h"

/* Requests that are queued when the agent begins to leave may still start
 * within this time. Together with the delay until the view shows the change, it
 * must stay below the 3 s after which a leaving upstream receives no new
 * requests. */
#define LEAVE_QUEUE_GRACE (2 * PLUG_SEC)

/* Time that a leaving agent stays after its last move to forward packets with
 * old tokens. Callers send a heartbeat every 5 s and learn the token of the new
 * owner from its reply; this covers three heartbeats. */
#define FORWARD_LINGER (15 * PLUG_SEC)

/* A graceful stop ends after this time if no sibling takes the open flows. */
#define NO_SIBLING_TIMEOUT (10 * PLUG_SEC)

/* Delay of the next offer after no sibling could take a batch. */
#define OFFER_RETRY_INTERVAL (100 * PLUG_MSEC)

/* Time without new offers to a sibling that has refused flows. */
#define REFUSAL_AVOID_TIME PLUG_SEC

/* An agent is overloaded above this ratio of its load to the mean of the
 * siblings. The load of a host may reach 1.10 times the mean; the factor is
 * lower so that the agent acts before that. */
#define OVERLOAD_FACTOR 1.03

#define OVERLOAD_TIME	 (5 * PLUG_SEC) /* overload before flows are moved */
#define REBALANCE_PERIOD PLUG_SEC

/* One in this many of all flows may be moved in a period: 2%. */
#define REBALANCE_DIVISOR 50

/* One in this many of the flows above the mean may be moved in a period: a host
 * that starts with twice the mean is within 1.25 times the mean after 15 s. */
#define REBALANCE_EXCESS_DIVISOR 8

#define MILLI 1000.0

static void
log_move(
    struct plug_agent *agent, const char *verdict, const struct plug_flow *flow)
{
	char peer[PLUG_ENDPOINT_TEXT];

	(void)plug_endpoint_format(flow->peer, peer, sizeof(peer));
	plug_client_log(agent->client, PLUG_LOG_INFO,
	    "event=move verdict=%s flow=%016llx generation=%u peer=%s "
	    "batch=%016llx version=%llu",
	    verdict, (unsigned long long)flow->id, flow->generation, peer,
	    (unsigned long long)flow->batch_id,
	    (unsigned long long)plug_agent_document_version(agent));
}

/* Sends a token of this agent to the caller of a flow that was taken over. */
static void
handle_flow_taken(
    struct plug_agent *agent, plug_time now, struct plug_flow *flow)
{
	agent->counters[PLUG_COUNT_MOVED_IN]++;
	log_move(agent, "taken", flow);
	if (agent->service == NULL)
		return;
	flow->service = agent->service->document.address;
	plug_agent_send_token(agent, now, flow);
}

static void
handle_transfer_note(void *data, plug_time now, enum plug_transfer_event note,
    struct plug_flow *flow, struct plug_request *request)
{
	struct plug_agent *agent = data;

	switch (note) {
	case PLUG_TRANSFER_RESUMED:
		log_move(agent, "resumed", flow);
		plug_placement_avoid(
		    &agent->placement, flow->peer, now + REFUSAL_AVOID_TIME);
		return;
	case PLUG_TRANSFER_MOVED:
		agent->counters[PLUG_COUNT_MOVED_OUT]++;
		agent->leaving.last_commit = now;
		log_move(agent, "moved", flow);
		return;
	case PLUG_TRANSFER_LOST:
		log_move(agent, "lost", flow);
		plug_agent_close_flow(agent, now, flow);
		return;
	case PLUG_TRANSFER_TAKEN_OVER:
		handle_flow_taken(agent, now, flow);
		return;
	case PLUG_TRANSFER_REQUEST_ENDED:
		if (request->caller_resent && flow->state == PLUG_FLOW_OPEN)
			plug_agent_reply_block(agent, now, flow, request, 0);
		return;
	case PLUG_TRANSFER_TOKEN_USED:
		return;
	}
}

static Plug__Sender
own_sender(const struct plug_agent *agent)
{
	Plug__Sender sender = PLUG__SENDER__INIT;

	sender.instance = agent->config.instance;
	sender.address = agent->config.endpoint.address;
	sender.port = agent->config.endpoint.port;
	sender.service = agent->config.service;
	sender.domain = agent->config.domain;
	return sender;
}

/**
 * plug_agent_moves_init() - initialize the transfer of flows to and from
 * siblings
 * @agent: agent whose client, configuration and flow table are set
 */
void
plug_agent_moves_init(struct plug_agent *agent)
{
	const Plug__Sender sender = own_sender(agent);

	plug_transfer_init(
	    &agent->transfer, agent->client, &agent->flows, &sender);
	agent->transfer.notify = handle_transfer_note;
	agent->transfer.notify_data = agent;
}

/**
 * plug_agent_handle_peer() - process a control message from a sibling
 * @agent: agent
 * @now: current monotonic time
 * @message: message; dropped and counted as foreign when it names no sender,
 *   another service or this instance
 */
void
plug_agent_handle_peer(
    struct plug_agent *agent, plug_time now, const Plug__Message *message)
{
	const Plug__Sender *sender = message->sender;

	if (sender == NULL || sender->service != agent->config.service ||
	    sender->instance == agent->config.instance) {
		agent->counters[PLUG_COUNT_FOREIGN]++;
		return;
	}
	if (message->body_case == PLUG__MESSAGE__BODY_REPORT) {
		plug_placement_store_report(
		    &agent->placement, now, sender, message->report);
		return;
	}
	/* While the domain is out of service no flow is prepared here, so every
	 * COMMIT is answered with known = false and the source stops
	 * repeating it. */
	plug_transfer_handle(&agent->transfer, now, message,
	    agent->service != NULL && !agent->domain_out &&
		!plug_agent_is_leaving(agent) &&
		!plug_agent_is_upstream_down(agent, now));
}

static void
send_report(struct plug_agent *agent, Plug__Message *message,
    struct plug_endpoint target)
{
	const struct plug_action action = {
		.kind = PLUG_ACTION_PEER,
		.peer = { target, message },
	};

	plug_client_emit(agent->client, &action);
}

/**
 * plug_agent_send_reports() - send the load of this agent to siblings
 * @agent: agent
 * @now: current monotonic time
 *
 * The receivers are up to PLUG_REPORT_RECEIVERS_MAX members that follow this
 * agent in the instance list, those of its domain first, so that each member
 * receives reports from a stable set of siblings.
 */
void
plug_agent_send_reports(struct plug_agent *agent, plug_time now)
{
	const struct plug_service *service = agent->service;
	Plug__Message message = PLUG__MESSAGE__INIT;
	Plug__Report report = PLUG__REPORT__INIT;
	Plug__Sender sender = own_sender(agent);
	unsigned int sent = 0, start = 0;
	struct plug_load load;

	if (service == NULL)
		return;
	plug_agent_get_load(agent, now, &load);
	report.running = load.running;
	report.queued = load.queued;
	report.work_milli = (uint32_t)(load.mean_requests * MILLI);
	report.flows = load.flows;
	report.limit = load.limit;
	report.slots = load.slots;
	report.leaving = load.leaving;
	report.refusing = load.refusing;
	report.config_version = plug_agent_document_version(agent);
	message.sender = &sender;
	message.body_case = PLUG__MESSAGE__BODY_REPORT;
	message.report = &report;
	for (unsigned int i = 0; i < service->member_count; i++) {
		if (plug_endpoint_equal(
			service->members[i].endpoint, agent->config.endpoint))
			start = i;
	}
	for (unsigned int pass = 0; pass < 2; pass++) {
		for (unsigned int i = 0; i < service->member_count &&
					 sent < PLUG_REPORT_RECEIVERS_MAX;
		     i++) {
			const struct plug_member *member =
			    &service
				 ->members[(start + i) % service->member_count];
			bool same_domain =
			    member->domain == agent->config.domain;

			if (same_domain != (pass == 0) ||
			    plug_endpoint_equal(
				member->endpoint, agent->config.endpoint))
				continue;
			send_report(agent, &message, member->endpoint);
			sent++;
		}
	}
}

/* Returns true if a request of the flow is queued or delayed. */
static bool
has_queued(const struct plug_flow *flow)
{
	for (unsigned int i = 0; i < PLUG_FLOW_WINDOW; i++) {
		if (flow->window[i] != NULL &&
		    flow->window[i]->state == PLUG_REQUEST_QUEUED)
			return true;
	}
	return false;
}

/*
 * Refuses the queued requests of flows and offers the flows to a sibling.
 * Returns the number of flows offered, 0 if too many batches are in progress.
 */
static unsigned int
begin_batch(struct plug_agent *agent, plug_time now,
    struct plug_endpoint target, struct plug_flow **flows, unsigned int count)
{
	for (unsigned int i = 0; i < count; i++)
		plug_agent_refuse_queued(
		    agent, now, flows[i], "moving", PLUG_RETRY_SOON_MS);
	count =
	    plug_transfer_begin(&agent->transfer, now, target, flows, count);
	plug_placement_add_sent(&agent->placement, target, count);
	return count;
}

/*
 * Offers the sibling that is chosen for the first open flow one batch of the
 * flows that it is chosen for. Until LEAVE_QUEUE_GRACE has passed, flows with
 * queued requests stay. Returns false if no flow was offered.
 */
static bool
offer_batch(struct plug_agent *agent, plug_time now)
{
	bool grace = now - agent->leaving.since < LEAVE_QUEUE_GRACE;
	struct plug_flow *flows[PLUG_BATCH_FLOWS_MAX];
	struct plug_endpoint target = { 0, 0 };
	struct plug_flow *flow = NULL;
	unsigned int count = 0;

	while (count < PLUG_BATCH_FLOWS_MAX &&
	       (flow = plug_flowtable_next(&agent->flows, flow)) != NULL) {
		const struct plug_sibling *sibling;

		if (flow->state != PLUG_FLOW_OPEN ||
		    (grace && has_queued(flow)))
			continue;
		sibling = plug_placement_leave_target(&agent->placement, now,
		    agent->service, agent->config.endpoint, flow->id,
		    agent->flows.open_count);
		if (sibling == NULL)
			break;
		if (count == 0)
			target = sibling->endpoint;
		if (plug_endpoint_equal(target, sibling->endpoint))
			flows[count++] = flow;
	}
	return begin_batch(agent, now, target, flows, count) > 0;
}

/* Returns true if the caller of a moved flow may still use the old token. */
static bool
has_callers_with_old_token(const struct plug_agent *agent)
{
	const struct plug_flow *flow = NULL;

	while ((flow = plug_flowtable_next(&agent->flows, flow)) != NULL) {
		if (flow->state == PLUG_FLOW_MOVED && !flow->token_used)
			return true;
	}
	return false;
}

static void
emit_stopped(struct plug_agent *agent, const char *reason)
{
	const struct plug_action action = { .kind = PLUG_ACTION_STOPPED };

	agent->leaving.stopped_emitted = true;
	plug_client_log(agent->client, PLUG_LOG_INFO,
	    "event=stopped reason=%s flows=%u version=%llu", reason,
	    agent->flows.open_count,
	    (unsigned long long)plug_agent_document_version(agent));
	plug_client_emit(agent->client, &action);
}

/* Refuses all waiting requests, queued or delayed. */
static void
refuse_queued_of_all_flows(struct plug_agent *agent, plug_time now)
{
	struct plug_flow *flow = NULL;

	if (plug_limiter_queued(&agent->limiter) + agent->delayed.count == 0)
		return;
	while ((flow = plug_flowtable_next(&agent->flows, flow)) != NULL)
		plug_agent_refuse_queued(
		    agent, now, flow, "leaving", PLUG_RETRY_LATER_MS);
}

/*
 * Offers flows to siblings, and emits PLUG_ACTION_STOPPED when no flow or
 * request is left here and no caller needs its packets with an old token
 * forwarded any more, at the latest FORWARD_LINGER after the last move. A
 * graceful stop waits for flows to be moved only until NO_SIBLING_TIMEOUT.
 */
static void
tick_leaving(struct plug_agent *agent, plug_time now)
{
	struct plug_leaving *leaving = &agent->leaving;

	if (leaving->stopped_emitted)
		return;
	if (agent->service != NULL && !agent->domain_out &&
	    agent->flows.open_count > 0 && now >= leaving->next_offer) {
		while (plug_transfer_can_begin(&agent->transfer)) {
			if (!offer_batch(agent, now)) {
				leaving->next_offer =
				    now + OFFER_RETRY_INTERVAL;
				break;
			}
		}
	}
	if (now - leaving->since >= LEAVE_QUEUE_GRACE)
		refuse_queued_of_all_flows(agent, now);
	if (plug_transfer_has_outgoing(&agent->transfer) ||
	    !TAILQ_EMPTY(&agent->upstream.running) ||
	    plug_limiter_queued(&agent->limiter) + agent->delayed.count > 0)
		return;
	if (agent->flows.open_count > 0) {
		if (leaving->stop_received &&
		    now - leaving->since >= NO_SIBLING_TIMEOUT)
			emit_stopped(agent, "no_sibling");
		return;
	}
	if (now - leaving->last_commit >= FORWARD_LINGER ||
	    !has_callers_with_old_token(agent))
		emit_stopped(agent, "complete");
}

/**
 * plug_agent_leaving_changed() - reset the progress of leaving, log the
 * change and send reports when the agent begins or ceases to leave
 * @agent: agent
 * @now: current monotonic time
 * @was_leaving: plug_agent_is_leaving() before the event; nothing is done if it
 *   still has this value
 */
void
plug_agent_leaving_changed(
    struct plug_agent *agent, plug_time now, bool was_leaving)
{
	const struct plug_leaving *leaving = &agent->leaving;
	bool is_leaving = plug_agent_is_leaving(agent);

	if (is_leaving == was_leaving)
		return;
	agent->leaving.since = now;
	agent->leaving.next_offer = now;
	agent->leaving.stopped_emitted = false;
	plug_client_log(agent->client, PLUG_LOG_INFO,
	    "event=leaving active=%d stop=%d draining=%d listed=%d "
	    "unreachable=%d flows=%u running=%u queued=%u version=%llu",
	    is_leaving, leaving->stop_received, leaving->upstream_draining,
	    leaving->listed_as_leaving, leaving->upstream_unreachable,
	    agent->flows.open_count, agent->limiter.running,
	    plug_limiter_queued(&agent->limiter),
	    (unsigned long long)plug_agent_document_version(agent));
	/* Siblings choose targets by reports and need the change at once. */
	plug_agent_send_reports(agent, now);
}

/*
 * Returns true if the load of this agent per warm slot exceeds the mean of the
 * siblings by the factor OVERLOAD_FACTOR. Stores the load of this agent in
 * @load, and the mean in @mean unless no sibling is usable; then it returns
 * false.
 */
static bool
is_overloaded(
    const struct plug_agent *agent, plug_time now, double *load, double *mean)
{
	struct plug_load own;

	plug_agent_get_load(agent, now, &own);
	own.limit = own.slots;
	*load = plug_load_per_slot(&own, 0);
	return plug_placement_mean_load(
		   &agent->placement, now, agent->service, mean) &&
	       *load > OVERLOAD_FACTOR * *mean;
}

/*
 * Returns the number of flows to move in this period: 2%, or more if the load
 * is far above the mean; at least 1 and at most PLUG_BATCH_FLOWS_MAX, but no
 * more than makes the loads of this agent and the target equal, so that a flow
 * isn't moved back and forth. All loads are per warm slot.
 */
static unsigned int
rebalance_count(const struct plug_agent *agent, double load, double mean,
    double target_load)
{
	unsigned int count = agent->flows.open_count / REBALANCE_DIVISOR;
	unsigned int excess =
	    (unsigned int)(agent->flows.open_count * (load - mean) / load /
			   REBALANCE_EXCESS_DIVISOR);
	double equalizing = (load - target_load) * agent->limiter.slots / 2;

	if (count < excess)
		count = excess;
	if (count == 0)
		count = 1;
	if (count > PLUG_BATCH_FLOWS_MAX)
		count = PLUG_BATCH_FLOWS_MAX;
	return count > equalizing ? (unsigned int)equalizing : count;
}

/* Moves some flows without active requests to a less loaded sibling. */
static void
rebalance(struct plug_agent *agent, plug_time now, double load, double mean)
{
	unsigned int max;
	struct plug_flow *flows[PLUG_BATCH_FLOWS_MAX];
	const struct plug_sibling *sibling;
	struct plug_flow *flow = NULL;
	unsigned int count = 0;
	char target[PLUG_ENDPOINT_TEXT];

	sibling = plug_placement_rebalance_target(&agent->placement,
	    agent->client, now, agent->service, agent->config.domain, load);
	if (sibling == NULL)
		return;
	max =
	    rebalance_count(agent, load, mean, plug_sibling_warm_load(sibling));
	while (count < max &&
	       (flow = plug_flowtable_next(&agent->flows, flow)) != NULL) {
		if (flow->state == PLUG_FLOW_OPEN && flow->active_requests == 0)
			flows[count++] = flow;
	}
	if (count == 0)
		return;
	(void)plug_endpoint_format(sibling->endpoint, target, sizeof(target));
	plug_client_log(agent->client, PLUG_LOG_INFO,
	    "event=rebalance flows=%u target=%s load=%.3f mean=%.3f "
	    "version=%llu",
	    count, target, load, mean,
	    (unsigned long long)plug_agent_document_version(agent));
	(void)begin_batch(agent, now, sibling->endpoint, flows, count);
}

static void
tick_rebalance(struct plug_agent *agent, plug_time now)
{
	double load, mean;

	if (!is_overloaded(agent, now, &load, &mean)) {
		agent->is_overloaded = false;
		return;
	}
	if (!agent->is_overloaded) {
		agent->is_overloaded = true;
		agent->overloaded_since = now;
	}
	if (now - agent->overloaded_since < OVERLOAD_TIME ||
	    now - agent->last_rebalance < REBALANCE_PERIOD ||
	    plug_transfer_has_outgoing(&agent->transfer))
		return;
	agent->last_rebalance = now;
	rebalance(agent, now, load, mean);
}

static bool
is_listed(const void *data, struct plug_endpoint endpoint)
{
	const struct plug_agent *agent = data;

	return agent->service != NULL &&
	       plug_service_member(agent->service, endpoint) != NULL;
}

/**
 * plug_agent_moves_tick() - advance moves, send periodic reports, then continue
 * to leave or rebalance
 * @agent: agent
 * @now: current monotonic time
 */
void
plug_agent_moves_tick(struct plug_agent *agent, plug_time now)
{
	plug_transfer_tick(&agent->transfer, now, is_listed, agent);
	if (now - agent->last_report >= PLUG_REPORT_INTERVAL) {
		agent->last_report = now;
		plug_agent_send_reports(agent, now);
	}
	if (plug_agent_is_leaving(agent))
		tick_leaving(agent, now);
	else if (agent->service != NULL && !agent->domain_out)
		tick_rebalance(agent, now);
}
