#include "agent_internal.h"

/* Requests that wait when the agent begins to leave may still start within
 * this time; together with the view's delay it stays below 3 s. */
#define LEAVE_QUEUE_GRACE (2 * PLUG_SEC)

/* Callers send a heartbeat every 5 s; in three of them they learn the token of
 * the new owner. */
#define LINGER (15 * PLUG_SEC)

/* A stop without any sibling that takes the flows ends after this time. */
#define STOP_ALONE (10 * PLUG_SEC)

#define MILLI	      1000.0
#define LEAVE_RETRY   (100 * PLUG_MSEC) /* when no sibling takes flows */
#define REFUSED_AVOID PLUG_SEC		/* a sibling that has refused flows */
/* Own load over the mean; acts before the limit of 1.10 is reached. */
#define OVERLOAD_FACTOR	 1.03
#define OVERLOAD_TIME	 (5 * PLUG_SEC)
#define REBALANCE_PERIOD PLUG_SEC
#define REBALANCE_SHARE	 50 /* one in so many flows for each period: 2% */
/* One in so many of the flows above the mean for each period: a host that
 * starts with twice the mean is within 1.25 of it after 15 s. */
#define REBALANCE_EXCESS 8

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

static void
flow_taken(struct plug_agent *agent, plug_time now, struct plug_flow *flow)
{
	agent->counters[PLUG_COUNT_MOVED_IN]++;
	log_move(agent, "taken", flow);
	if (agent->service == NULL)
		return;
	flow->service = agent->service->document.address;
	plug_agent_send_token(agent, now, flow);
}

static void
handle_note(void *data, plug_time now, enum plug_transfer_event note,
    struct plug_flow *flow, struct plug_request *request)
{
	struct plug_agent *agent = data;

	switch (note) {
	case PLUG_TRANSFER_RESUMED:
		log_move(agent, "resumed", flow);
		plug_placement_avoid(
		    &agent->placement, flow->peer, now + REFUSED_AVOID);
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
		flow_taken(agent, now, flow);
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
 * plug_agent_moves_init() - prepare the moves of an agent
 * @agent: agent whose client, configuration and flow table are set
 */
void
plug_agent_moves_init(struct plug_agent *agent)
{
	const Plug__Sender sender = own_sender(agent);

	plug_transfer_init(
	    &agent->transfer, agent->client, &agent->flows, &sender);
	agent->transfer.notify = handle_note;
	agent->transfer.notify_data = agent;
}

/**
 * plug_agent_handle_peer() - take a control message from a sibling
 * @agent: agent
 * @now: time
 * @message: message; fenced unless it names the own service
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
	/* Out of service, nothing is prepared, so every COMMIT is answered
	 * with known = false and the source stops repeating it. */
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
 * plug_agent_send_reports() - send the own load to siblings
 * @agent: agent
 * @now: time
 *
 * The members that follow in the instance list, those of the own domain first,
 * so that each member hears from a stable set of siblings.
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
			bool near = member->domain == agent->config.domain;

			if (near != (pass == 0) ||
			    plug_endpoint_equal(
				member->endpoint, agent->config.endpoint))
				continue;
			send_report(agent, &message, member->endpoint);
			sent++;
		}
	}
}

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

/* Offers up to one batch of flows that have the same target. */
static bool
leave_batch(struct plug_agent *agent, plug_time now)
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

/* Callers of moved flows that may still use the old token. */
static bool
forwards_for_anybody(const struct plug_agent *agent)
{
	const struct plug_flow *flow = NULL;

	while ((flow = plug_flowtable_next(&agent->flows, flow)) != NULL) {
		if (flow->state == PLUG_FLOW_MOVED && !flow->token_used)
			return true;
	}
	return false;
}

static void
stopped(struct plug_agent *agent, const char *reason)
{
	const struct plug_action action = { .kind = PLUG_ACTION_STOPPED };

	agent->leaving.stopped_emitted = true;
	plug_client_log(agent->client, PLUG_LOG_INFO,
	    "event=stopped reason=%s flows=%u version=%llu", reason,
	    agent->flows.open_count,
	    (unsigned long long)plug_agent_document_version(agent));
	plug_client_emit(agent->client, &action);
}

static void
refuse_waiting(struct plug_agent *agent, plug_time now)
{
	struct plug_flow *flow = NULL;

	if (plug_limiter_queued(&agent->limiter) + agent->delayed.count == 0)
		return;
	while ((flow = plug_flowtable_next(&agent->flows, flow)) != NULL)
		plug_agent_refuse_queued(
		    agent, now, flow, "leaving", PLUG_RETRY_LATER_MS);
}

static void
leave_tick(struct plug_agent *agent, plug_time now)
{
	struct plug_leaving *leaving = &agent->leaving;

	if (leaving->stopped_emitted)
		return;
	if (agent->service != NULL && !agent->domain_out &&
	    agent->flows.open_count > 0 && now >= leaving->next_offer) {
		while (plug_transfer_can_begin(&agent->transfer)) {
			if (!leave_batch(agent, now)) {
				leaving->next_offer = now + LEAVE_RETRY;
				break;
			}
		}
	}
	if (now - leaving->since >= LEAVE_QUEUE_GRACE)
		refuse_waiting(agent, now);
	if (plug_transfer_has_outgoing(&agent->transfer) ||
	    !TAILQ_EMPTY(&agent->upstream.running) ||
	    plug_limiter_queued(&agent->limiter) + agent->delayed.count > 0)
		return;
	if (agent->flows.open_count > 0) {
		if (leaving->stop_received &&
		    now - leaving->since >= STOP_ALONE)
			stopped(agent, "no_sibling");
		return;
	}
	if (now - leaving->last_commit >= LINGER ||
	    !forwards_for_anybody(agent))
		stopped(agent, "complete");
}

/**
 * plug_agent_leaving_changed() - act on a change of the reasons to leave
 * @agent: agent
 * @now: time
 * @was_leaving: plug_agent_is_leaving() before the change
 */
void
plug_agent_leaving_changed(
    struct plug_agent *agent, plug_time now, bool was_leaving)
{
	const struct plug_leaving *leaving = &agent->leaving;
	bool leaves = plug_agent_is_leaving(agent);

	if (leaves == was_leaving)
		return;
	agent->leaving.since = now;
	agent->leaving.next_offer = now;
	agent->leaving.stopped_emitted = false;
	plug_client_log(agent->client, PLUG_LOG_INFO,
	    "event=leaving active=%d stop=%d draining=%d listed=%d "
	    "unreachable=%d flows=%u running=%u queued=%u version=%llu",
	    leaves, leaving->stop_received, leaving->upstream_draining,
	    leaving->listed_as_leaving, leaving->upstream_unreachable,
	    agent->flows.open_count, agent->limiter.running,
	    plug_limiter_queued(&agent->limiter),
	    (unsigned long long)plug_agent_document_version(agent));
	/* Siblings and the choice of targets need fresh figures at once. */
	plug_agent_send_reports(agent, now);
}

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

/* Flows to move in this period: 2%, or more when the load is far above the
 * mean, and no more than levels the load of the two agents, so that a flow
 * isn't moved back and forth. */
static unsigned int
rebalance_count(
    const struct plug_agent *agent, double load, double mean, double target)
{
	unsigned int count = agent->flows.open_count / REBALANCE_SHARE;
	unsigned int excess =
	    (unsigned int)(agent->flows.open_count * (load - mean) / load /
			   REBALANCE_EXCESS);
	double level = (load - target) * agent->limiter.slots / 2;

	if (count < excess)
		count = excess;
	if (count == 0)
		count = 1;
	if (count > PLUG_BATCH_FLOWS_MAX)
		count = PLUG_BATCH_FLOWS_MAX;
	return count > level ? (unsigned int)level : count;
}

static void
rebalance(struct plug_agent *agent, plug_time now, double load, double mean)
{
	unsigned int wanted;
	struct plug_flow *flows[PLUG_BATCH_FLOWS_MAX];
	const struct plug_sibling *sibling;
	struct plug_flow *flow = NULL;
	unsigned int count = 0;
	char target[PLUG_ENDPOINT_TEXT];

	sibling = plug_placement_rebalance_target(&agent->placement,
	    agent->client, now, agent->service, agent->config.domain, load);
	if (sibling == NULL)
		return;
	wanted =
	    rebalance_count(agent, load, mean, plug_sibling_warm_load(sibling));
	while (count < wanted &&
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
rebalance_tick(struct plug_agent *agent, plug_time now)
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
 * plug_agent_moves_tick() - reports, moves in progress, stop, rebalancing
 * @agent: agent
 * @now: time
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
		leave_tick(agent, now);
	else if (agent->service != NULL && !agent->domain_out)
		rebalance_tick(agent, now);
}
