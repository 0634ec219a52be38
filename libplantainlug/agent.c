#include <stdlib.h>

#include "agent_internal.h"

/* A restarting upstream is back within this time; after it the flows move. */
#define UNREACHABLE_AFTER (5 * PLUG_SEC)

/* Interval at which pending_opens is halved, to remove unused tokens. */
#define PENDING_OPENS_HALF_LIFE (500 * PLUG_MSEC)

/**
 * plug_agent_create() - allocate an agent
 * @client: handlers and random numbers; must outlive the agent
 * @config: identity of the agent; copied
 * @now: current monotonic time
 *
 * Until it has a view with its service, the agent drops all datagrams and takes
 * over no flows.
 *
 * Return: the agent, to be freed with plug_agent_destroy(), or NULL when memory
 * ran out.
 */
struct plug_agent *
plug_agent_create(struct plug_client *client,
    const struct plug_agent_config *config, plug_time now)
{
	struct plug_agent *agent = calloc(1, sizeof(*agent));

	if (agent == NULL)
		return NULL;
	agent->client = client;
	agent->config = *config;
	agent->upstream.connection_changed = now;
	agent->pending_opens_halved = now;
	agent->last_report = now;
	TAILQ_INIT(&agent->upstream.running);
	plug_limiter_init(&agent->limiter, now);
	plug_retry_budget_init(&agent->retry);
	plug_queue_init(&agent->delayed);
	plug_placement_init(&agent->placement);
	if (plug_flowtable_init(&agent->flows) != PLUG_OK) {
		free(agent);
		return NULL;
	}
	plug_agent_moves_init(agent);
	return agent;
}

/**
 * plug_agent_destroy() - free an agent and all its flows
 * @agent: agent, or NULL
 */
void
plug_agent_destroy(struct plug_agent *agent)
{
	struct plug_request *request;

	if (agent == NULL)
		return;
	/* A running request without a flow is referenced by this list only. */
	while ((request = TAILQ_FIRST(&agent->upstream.running)) != NULL) {
		TAILQ_REMOVE(&agent->upstream.running, request, list_link);
		if (request->flow == NULL)
			plug_request_free(request, &agent->flows.answers);
	}
	plug_transfer_finish(&agent->transfer);
	plug_flowtable_finish(&agent->flows);
	plug_limiter_finish(&agent->limiter);
	plug_queue_finish(&agent->delayed);
	plug_view_release(agent->view);
	free(agent);
}

/**
 * plug_agent_document_version() - version of the service document in force
 * @agent: agent
 *
 * Return: the version, 0 without a view.
 */
uint64_t
plug_agent_document_version(const struct plug_agent *agent)
{
	return agent->service == NULL ? 0 : agent->service->document_version;
}

/**
 * plug_agent_is_leaving() - whether the agent hands all its flows away
 * @agent: agent
 */
bool
plug_agent_is_leaving(const struct plug_agent *agent)
{
	return agent->leaving.stop_received ||
	       agent->leaving.upstream_draining ||
	       agent->leaving.listed_as_leaving ||
	       agent->leaving.upstream_unreachable;
}

/**
 * plug_agent_is_upstream_down() - whether the upstream has been disconnected
 * for PLUG_UPSTREAM_RECONNECT_GRACE or longer
 * @agent: agent
 * @now: current monotonic time
 */
bool
plug_agent_is_upstream_down(const struct plug_agent *agent, plug_time now)
{
	return !agent->upstream.connected &&
	       now - agent->upstream.connection_changed >=
		   PLUG_UPSTREAM_RECONNECT_GRACE;
}

/**
 * plug_agent_get_load() - compute the load figures of this agent
 * @agent: agent
 * @now: current monotonic time
 * @load: result
 *
 * Not thread-safe: only the thread that calls plug_agent_handle() may call it.
 */
void
plug_agent_get_load(
    const struct plug_agent *agent, plug_time now, struct plug_load *load)
{
	*load = (struct plug_load){
		.running = agent->limiter.running,
		.queued =
		    plug_limiter_queued(&agent->limiter) + agent->delayed.count,
		.mean_requests = agent->mean_requests,
		.flows = agent->flows.open_count,
		.limit = plug_limiter_limit(&agent->limiter),
		.slots = agent->limiter.slots,
		.leaving = plug_agent_is_leaving(agent),
		.refusing = agent->service == NULL || agent->domain_out ||
			    plug_agent_is_upstream_down(agent, now) ||
			    plug_flowtable_is_full(&agent->flows),
	};
}

/*
 * Refuses or abandons all requests and closes all flows at once, since no
 * packet may reach a domain that is out of service.
 */
static void
close_all_flows(struct plug_agent *agent, plug_time now)
{
	struct plug_flow *flow = NULL;

	plug_client_log(agent->client, PLUG_LOG_WARN,
	    "event=domain_out flows=%u running=%u version=%llu",
	    agent->flows.open_count, agent->limiter.running,
	    (unsigned long long)plug_agent_document_version(agent));
	while ((flow = plug_flowtable_next(&agent->flows, flow)) != NULL) {
		/* Another agent owns it. */
		if (flow->state == PLUG_FLOW_MOVED)
			continue;
		plug_agent_refuse_queued(
		    agent, now, flow, "domain_out", PLUG_RETRY_LATER_MS);
		plug_agent_abandon_running(agent, now, flow);
		plug_agent_close_flow(agent, now, flow);
	}
	plug_transfer_reset(&agent->transfer);
}

static void
set_domain_out(struct plug_agent *agent, plug_time now, bool out)
{
	if (out == agent->domain_out)
		return;
	agent->domain_out = out;
	if (out) {
		close_all_flows(agent, now);
		return;
	}
	plug_client_log(agent->client, PLUG_LOG_INFO,
	    "event=domain_in version=%llu",
	    (unsigned long long)plug_agent_document_version(agent));
	plug_agent_reset_limit(agent, now, PLUG_RESTART_DOMAIN);
}

static void
adopt_view(struct plug_agent *agent, plug_time now, struct plug_view *view)
{
	const struct plug_service *service =
	    plug_view_service(view, agent->config.service);
	const struct plug_member *self;
	bool was_leaving = plug_agent_is_leaving(agent);

	/* Ignore a view without this service; it allows no decision. */
	if (service == NULL)
		return;
	(void)plug_view_reference(view);
	plug_view_release(agent->view);
	agent->view = view;
	agent->service = service;
	agent->flows.open_limit = service->document.connections;
	plug_limiter_configure(&agent->limiter, &service->document);
	self = plug_service_member(service, agent->config.endpoint);
	agent->leaving.listed_as_leaving =
	    self != NULL && self->state == PLUG_MEMBER_LEAVING;
	set_domain_out(agent, now,
	    plug_document_domain_out(&service->document, agent->config.domain));
	plug_agent_leaving_changed(agent, now, was_leaving);
	plug_agent_dispatch(agent, now);
}

static void
handle_health(struct plug_agent *agent, plug_time now,
    const struct plug_agent_event *event)
{
	bool was_leaving = plug_agent_is_leaving(agent);
	enum plug_restart_signal signal = plug_limiter_update_health(
	    &agent->limiter, now, event->health.uptime, event->health.load);

	agent->upstream.last_heard = now;
	plug_client_log(agent->client, PLUG_LOG_DEBUG,
	    "event=upstream_health uptime=%u load=%.3f draining=%d running=%u "
	    "limit=%u",
	    event->health.uptime, event->health.load, event->health.draining,
	    agent->limiter.running, plug_limiter_limit(&agent->limiter));
	if (signal != PLUG_RESTART_NONE)
		plug_agent_reset_limit(agent, now, signal);
	agent->leaving.upstream_draining = event->health.draining;
	plug_agent_leaving_changed(agent, now, was_leaving);
}

static void
log_limit_change(struct plug_agent *agent)
{
	uint32_t limit = plug_limiter_limit(&agent->limiter);
	const char *reason = "ramp";

	if (limit == agent->logged_limit)
		return;
	if (agent->limiter.load_factor < 1.0)
		reason = "published_load";
	else if (limit < agent->logged_limit)
		reason = "lowered";
	plug_client_log(agent->client, PLUG_LOG_INFO,
	    "event=limit from=%u to=%u reason=%s slots=%u running=%u queued=%u "
	    "version=%llu",
	    agent->logged_limit, limit, reason, agent->limiter.slots,
	    agent->limiter.running, plug_limiter_queued(&agent->limiter),
	    (unsigned long long)plug_agent_document_version(agent));
	agent->logged_limit = limit;
}

/*
 * Updates the moving average of running and queued requests. Reports carry it
 * because the current number changes with every request between two reports.
 */
static void
update_mean_requests(struct plug_agent *agent, plug_time now)
{
	double weight = (double)(now - agent->mean_requests_updated) /
			(double)PLUG_WORK_TIME_CONSTANT;
	double current = (double)agent->limiter.running +
			 plug_limiter_queued(&agent->limiter) +
			 agent->delayed.count;

	agent->mean_requests_updated = now;
	agent->mean_requests +=
	    (current - agent->mean_requests) * (weight < 1 ? weight : 1);
}

/* Starts moving flows to siblings if the upstream stays disconnected. */
static void
update_unreachable(struct plug_agent *agent, plug_time now)
{
	bool was_leaving = plug_agent_is_leaving(agent);

	agent->leaving.upstream_unreachable =
	    !agent->upstream.connected &&
	    now - agent->upstream.connection_changed >= UNREACHABLE_AFTER;
	plug_agent_leaving_changed(agent, now, was_leaving);
}

static void
tick(struct plug_agent *agent, plug_time now)
{
	update_unreachable(agent, now);
	update_mean_requests(agent, now);
	plug_limiter_tick(&agent->limiter, now);
	log_limit_change(agent);
	/* Tokens that are never used must not count as flows for long. */
	if (now - agent->pending_opens_halved >= PENDING_OPENS_HALF_LIFE) {
		agent->pending_opens_halved = now;
		agent->pending_opens /= 2;
	}
	plug_agent_requests_tick(agent, now);
	plug_agent_upstream_tick(agent, now);
	plug_agent_moves_tick(agent, now);
	plug_agent_dispatch(agent, now);
}

static void
handle_stop(struct plug_agent *agent, plug_time now)
{
	bool was_leaving = plug_agent_is_leaving(agent);

	/* If the agent was already leaving for another reason, it emits
	 * PLUG_ACTION_STOPPED once more, for the stop. */
	if (!agent->leaving.stop_received) {
		agent->leaving.since = now;
		agent->leaving.stopped_emitted = false;
	}
	agent->leaving.stop_received = true;
	plug_agent_leaving_changed(agent, now, was_leaving);
}

/**
 * plug_agent_handle() - process one event
 * @agent: agent
 * @now: current monotonic time, not before that of the previous call
 * @event: event; the data it points to must stay valid during the call
 *
 * Actions and log lines are passed to the client's handlers, which must not
 * call into the agent.
 */
void
plug_agent_handle(struct plug_agent *agent, plug_time now,
    const struct plug_agent_event *event)
{
	switch (event->kind) {
	case PLUG_AGENT_TICK:
		tick(agent, now);
		return;
	case PLUG_AGENT_DATAGRAM:
		plug_agent_handle_datagram(
		    agent, now, event->datagram.data, event->datagram.len);
		return;
	case PLUG_AGENT_PEER:
		plug_agent_handle_peer(agent, now, event->peer);
		return;
	case PLUG_AGENT_VIEW:
		adopt_view(agent, now, event->view);
		return;
	case PLUG_AGENT_UPSTREAM_OPEN:
		plug_agent_upstream_opened(agent, now);
		return;
	case PLUG_AGENT_UPSTREAM_CLOSED:
		plug_agent_upstream_lost(agent, now, "closed");
		return;
	case PLUG_AGENT_UPSTREAM_REPLY:
		plug_agent_upstream_reply(agent, now, event);
		return;
	case PLUG_AGENT_UPSTREAM_HEALTH:
		handle_health(agent, now, event);
		return;
	case PLUG_AGENT_STOP:
		handle_stop(agent, now);
		return;
	}
}

/**
 * plug_agent_counter() - read a counter
 * @agent: agent
 * @counter: counter to read
 *
 * Not thread-safe: only the thread that calls plug_agent_handle() may call it.
 *
 * Return: its value since the agent was created, 0 for an unknown counter.
 */
uint64_t
plug_agent_counter(
    const struct plug_agent *agent, enum plug_agent_counter counter)
{
	return counter < PLUG_COUNT_AGENT_COUNT ? agent->counters[counter] : 0;
}

/**
 * plug_agent_counter_name() - name of a counter in the status output
 * @counter: counter
 *
 * Return: a static string, "invalid" for an unknown counter.
 */
const char *
plug_agent_counter_name(enum plug_agent_counter counter)
{
	switch (counter) {
	case PLUG_COUNT_PACKETS:
		return "packets";
	case PLUG_COUNT_BAD_PACKETS:
		return "bad_packets";
	case PLUG_COUNT_FOREIGN:
		return "foreign";
	case PLUG_COUNT_OPENED:
		return "opened";
	case PLUG_COUNT_FORWARDED:
		return "forwarded";
	case PLUG_COUNT_STARTED:
		return "started";
	case PLUG_COUNT_ANSWERED:
		return "answered";
	case PLUG_COUNT_NOT_RUN:
		return "not_run";
	case PLUG_COUNT_UNKNOWN:
		return "unknown";
	case PLUG_COUNT_FLOW_LOST:
		return "flow_lost";
	case PLUG_COUNT_DUPLICATES:
		return "duplicates";
	case PLUG_COUNT_RETRIES:
		return "retries";
	case PLUG_COUNT_MOVED_OUT:
		return "moved_out";
	case PLUG_COUNT_MOVED_IN:
		return "moved_in";
	case PLUG_COUNT_COLD_STARTS:
		return "cold_starts";
	case PLUG_COUNT_AGENT_COUNT:
		break;
	}
	return "invalid";
}
