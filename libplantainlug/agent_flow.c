#include "agent_internal.h"
#include "rank.h"

/* Longest time from the minting of a token to the first packet with it. */
#define TOKEN_FIRST_USE_MS 10000

/* Hops to find a flow: one for each ranked candidate and one for the owner. */
#define SEARCH_HOPS (PLUG_RANKED_MAX + 1)

/* Requests on owned flows that are examined before resends count as a sign that
 * the path to the fabric loses answers. */
#define RESEND_WINDOW 32

/* A forwarded open call has one hop left, so it isn't forwarded again. */
#define OPEN_HOPS 1

/* Shortest time between two "event=foreign" lines. */
#define FOREIGN_LOG_INTERVAL PLUG_SEC

/*
 * Decrements the TTL of a packet at least once and until it is no higher than
 * @hops. Returns false if the packet has no hop left or can't be changed.
 */
static bool
limit_hops(uint8_t *data, size_t len, uint8_t ttl, unsigned int hops)
{
	if (ttl <= 1)
		return false;
	do {
		if (!plug_packet_take_hop(data, len))
			return false;
	} while (--ttl > hops);
	return true;
}

/*
 * Sends a packet to @target with at most @hops hops left. Returns false and
 * sends nothing if the packet has no hop left or can't be changed.
 */
static bool
forward(struct plug_agent *agent, struct plug_endpoint target, uint8_t *data,
    size_t len, uint8_t ttl, unsigned int hops)
{
	const struct plug_action action = {
		.kind = PLUG_ACTION_DATAGRAM,
		.datagram = { target, data, len },
	};

	if (!limit_hops(data, len, ttl, hops))
		return false;
	agent->counters[PLUG_COUNT_FORWARDED]++;
	plug_client_emit(agent->client, &action);
	return true;
}

static void
log_placement(struct plug_agent *agent, const char *verdict, const char *reason,
    uint64_t flow, const struct plug_endpoint *target)
{
	char buf[PLUG_ENDPOINT_TEXT] = "-";

	if (target != NULL)
		(void)plug_endpoint_format(*target, buf, sizeof(buf));
	plug_client_log(agent->client, PLUG_LOG_INFO,
	    "event=placement verdict=%s reason=%s flow=%016llx target=%s "
	    "flows=%u running=%u queued=%u limit=%u version=%llu",
	    verdict, reason, (unsigned long long)flow, buf,
	    agent->flows.open_count, agent->limiter.running,
	    plug_limiter_queued(&agent->limiter),
	    plug_limiter_limit(&agent->limiter),
	    (unsigned long long)plug_agent_document_version(agent));
}

/* Returns why this agent can't own a new flow, or NULL if it can. */
static const char *
refusal_reason(const struct plug_agent *agent, plug_time now)
{
	if (agent->domain_out)
		return "domain_out";
	if (plug_agent_is_leaving(agent))
		return "leaving";
	if (plug_agent_is_upstream_down(agent, now))
		return "no_upstream";
	if (agent->flows.open_count + agent->pending_opens >=
		agent->flows.open_limit ||
	    plug_flowtable_is_full(&agent->flows))
		return "connections";
	return NULL;
}

/*
 * Answers an open call with a token, forwards it to a less loaded sibling or
 * refuses it. No record is stored here: the first packet that carries the token
 * creates it.
 */
static void
open_flow(struct plug_agent *agent, plug_time now, const struct plug_call *call,
    uint8_t *data, size_t len)
{
	struct plug_reply reply = {
		.caller = call->caller,
		.service = call->service,
		.xid = call->xid,
		.has_token = true,
		.outcome = PLUG_OUTCOME_DONE,
	};
	uint8_t buf[PLUG_PACKET_MAX];
	struct plug_action action = {
		.kind = PLUG_ACTION_DATAGRAM,
		.datagram = { .target = agent->config.fabric, .data = buf },
	};
	const char *reason = refusal_reason(agent, now);
	const struct plug_sibling *sibling = NULL;
	struct plug_load own;
	uint64_t flow;

	if (call->procedure != PLUG_PROCEDURE_NULL) {
		plug_agent_reply_outcome(
		    agent, now, call, NULL, PLUG_OUTCOME_NOT_RUN, 0);
		return;
	}
	plug_agent_get_load(agent, now, &own);
	own.flows += agent->pending_opens;
	if (call->ttl > OPEN_HOPS && !agent->domain_out)
		sibling = plug_placement_open_target(&agent->placement,
		    agent->client, now, agent->service, agent->config.domain,
		    &own, reason != NULL);
	if (sibling != NULL) {
		struct plug_endpoint target = sibling->endpoint;

		log_placement(agent, "forward",
		    reason != NULL ? reason : "less_loaded", 0, &target);
		plug_placement_add_sent(&agent->placement, target, 1);
		(void)forward(agent, target, data, len, call->ttl, OPEN_HOPS);
		return;
	}
	if (reason != NULL) {
		log_placement(agent, "refuse", reason, 0, NULL);
		plug_agent_reply_outcome(agent, now, call, NULL,
		    PLUG_OUTCOME_NOT_RUN, PLUG_RETRY_LATER_MS);
		return;
	}
	flow = plug_client_random_id(agent->client);
	log_placement(agent, "keep", "own_load", flow, NULL);
	agent->counters[PLUG_COUNT_OPENED]++;
	agent->pending_opens++;
	plug_agent_mint_token(agent, now, flow, 0, reply.token);
	action.datagram.len =
	    plug_packet_encode_reply(&reply, buf, sizeof(buf));
	plug_client_emit(agent->client, &action);
}

static void
reply_flow_lost(struct plug_agent *agent, plug_time now,
    const struct plug_call *call, const char *reason, uint64_t flow)
{
	plug_client_log(agent->client, PLUG_LOG_INFO,
	    "event=flow_lost reason=%s flow=%016llx xid=%u version=%llu",
	    reason, (unsigned long long)flow, call->xid,
	    (unsigned long long)plug_agent_document_version(agent));
	plug_agent_reply_outcome(
	    agent, now, call, NULL, PLUG_OUTCOME_FLOW_LOST, 0);
}

/*
 * The owner is presumed alive while the instance list shows it and its domain
 * is in service.
 */
static bool
owner_may_be_alive(
    const struct plug_service *service, const struct plug_token *token)
{
	return plug_service_member(service, token->agent) != NULL &&
	       !plug_document_domain_out(&service->document, token->domain);
}

/*
 * Handles a packet whose token names another owner and whose flow has no record
 * here. The flow may have moved to one of the ranked candidates, so the packet
 * is forwarded to the next one in the ranking, or to the first one if this
 * agent isn't a candidate; the last one forwards it to the owner. If that owner
 * is gone, the flow is reported as lost.
 */
static void
search_owner(struct plug_agent *agent, plug_time now,
    const struct plug_call *call, const struct plug_token *token, uint8_t *data,
    size_t len)
{
	const struct plug_member *ranked[PLUG_RANKED_MAX];
	unsigned int count = plug_rank_members(
	    agent->service, token->flow, token->agent, ranked);
	unsigned int next = 0;

	for (unsigned int i = 0; i < count; i++) {
		if (plug_endpoint_equal(
			ranked[i]->endpoint, agent->config.endpoint))
			next = i + 1;
	}
	if (next < count && forward(agent, ranked[next]->endpoint, data, len,
				call->ttl, SEARCH_HOPS))
		return;
	if (!owner_may_be_alive(agent->service, token))
		reply_flow_lost(agent, now, call, "owner_gone", token->flow);
	else
		(void)forward(
		    agent, token->agent, data, len, call->ttl, SEARCH_HOPS);
}

/*
 * Requests a new path to the fabric when most of the last RESEND_WINDOW
 * requests were resends of answered ones: the answers were probably lost on the
 * way.
 */
static void
track_resends(struct plug_agent *agent, const struct plug_flow *flow,
    const struct plug_call *call)
{
	const struct plug_request *request =
	    plug_flow_find_request(flow, call->xid);
	const struct plug_action action = {
		.kind = PLUG_ACTION_FABRIC_RENEW,
	};
	bool resend = call->attempt > 0 && call->offset == 0 &&
		      request != NULL && plug_request_is_final(request);

	agent->resend_history = agent->resend_history << 1 | resend;
	if (agent->resend_history_len < RESEND_WINDOW)
		agent->resend_history_len++;
	if (agent->resend_history_len < RESEND_WINDOW ||
	    __builtin_popcount(agent->resend_history) <= RESEND_WINDOW / 2)
		return;
	agent->resend_history = 0;
	agent->resend_history_len = 0;
	plug_client_log(agent->client, PLUG_LOG_WARN,
	    "event=fabric_renew reason=resends version=%llu",
	    (unsigned long long)plug_agent_document_version(agent));
	plug_client_emit(agent->client, &action);
}

/* Handles a call on a flow that this agent owns. */
static void
serve_owned(struct plug_agent *agent, plug_time now, struct plug_flow *flow,
    const struct plug_call *call, const struct plug_token *token, uint8_t *data,
    size_t len)
{
	struct plug_request *request;

	flow->last_packet_at = now;
	flow->caller = call->caller;
	flow->service = call->service;
	if (!flow->token_used && token->generation == flow->generation &&
	    token->instance == agent->config.instance) {
		flow->token_used = true;
		if (flow->generation > 0)
			plug_transfer_token_used(&agent->transfer, flow);
	}
	if (call->procedure == PLUG_PROCEDURE_NULL) {
		plug_agent_raise_floor(agent, flow, call->floor);
		plug_agent_reply_outcome(
		    agent, now, call, flow, PLUG_OUTCOME_DONE, 0);
		return;
	}
	track_resends(agent, flow, call);
	plug_agent_handle_request(agent, now, flow, call);
	request = plug_flow_find_request(flow, call->xid);
	/* COMPLETION may have been lost; the previous owner has the outcome. */
	if (request != NULL && request->state == PLUG_REQUEST_ELSEWHERE &&
	    call->attempt > 0)
		(void)forward(
		    agent, flow->peer, data, len, call->ttl, SEARCH_HOPS);
}

/*
 * Forwards a packet to the new owner of its flow. If the new owner is gone, it
 * may have moved the flow again, so the ranked candidates are tried once; a
 * packet that comes back from them has no more than SEARCH_HOPS left and isn't
 * sent there again. Until COMMIT is confirmed the flow may still resume here,
 * so it isn't reported as lost.
 */
static void
forward_to_new_owner(struct plug_agent *agent, plug_time now,
    const struct plug_flow *flow, const struct plug_call *call, uint8_t *data,
    size_t len)
{
	const struct plug_document *document = &agent->service->document;
	const struct plug_member *ranked[PLUG_RANKED_MAX];
	const struct plug_member *peer =
	    plug_service_member(agent->service, flow->peer);

	if (peer != NULL && !plug_document_domain_out(document, peer->domain)) {
		(void)forward(
		    agent, flow->peer, data, len, call->ttl, SEARCH_HOPS);
		return;
	}
	if (call->ttl > SEARCH_HOPS &&
	    plug_rank_members(
		agent->service, flow->id, agent->config.endpoint, ranked) > 0)
		(void)forward(agent, ranked[0]->endpoint, data, len, call->ttl,
		    SEARCH_HOPS);
	else if (flow->state == PLUG_FLOW_MOVED)
		reply_flow_lost(agent, now, call, "new_owner_gone", flow->id);
}

/*
 * Handles a call on a flow that was handed away. If the request ended here, its
 * outcome is final at any owner and is sent again to the caller and to the new
 * owner. A call whose request still runs here is dropped, since the end of the
 * request answers it. Everything else is forwarded to the new owner.
 */
static void
serve_moved(struct plug_agent *agent, plug_time now, struct plug_flow *flow,
    const struct plug_call *call, uint8_t *data, size_t len)
{
	const struct plug_request *request =
	    plug_flow_find_request(flow, call->xid);

	flow->last_packet_at = now;
	if (call->procedure != PLUG_PROCEDURE_NULL && request != NULL) {
		if (request->state == PLUG_REQUEST_RUNNING)
			return;
		if (plug_request_is_final(request) &&
		    (request->state != PLUG_REQUEST_DONE ||
			request->has_answer)) {
			flow->caller = call->caller;
			plug_agent_reply_block(
			    agent, now, flow, request, call->offset);
			if (call->offset == 0)
				plug_transfer_request_ended(
				    &agent->transfer, flow, request);
			return;
		}
	}
	forward_to_new_owner(agent, now, flow, call, data, len);
}

/*
 * Forwards a packet of a prepared flow to the source of the move, since the
 * flow may run here only after COMMIT. Returns false if the flow isn't prepared
 * here, the source is no longer listed or the move was aborted. The packet then
 * takes the path of a flow without a record: the prepared copy may be left over
 * from an aborted move, and the flow may be elsewhere.
 */
static bool
forward_to_source(struct plug_agent *agent, const struct plug_call *call,
    const struct plug_token *token, uint8_t *data, size_t len)
{
	const struct plug_flow *flow;
	struct plug_endpoint source;

	flow =
	    plug_transfer_find_prepared(&agent->transfer, token->flow, &source);
	/*
	 * Another owner minted a token of the generation of the prepared copy
	 * or of a later one, so the move to this agent was aborted.
	 */
	if (flow == NULL || token->generation >= flow->generation ||
	    plug_service_member(agent->service, source) == NULL)
		return false;
	(void)forward(agent, source, data, len, call->ttl, SEARCH_HOPS);
	return true;
}

/* Creates the record of a flow for the first packet that carries its token. */
static void
create_flow(struct plug_agent *agent, plug_time now,
    const struct plug_call *call, const struct plug_token *token, uint8_t *data,
    size_t len)
{
	uint32_t age_ms = (uint32_t)(now / PLUG_MSEC) - token->minted_ms;
	struct plug_flow *flow;

	/* A flow that was moved had a record; without it the flow is lost. */
	if (age_ms > TOKEN_FIRST_USE_MS || token->generation != 0) {
		reply_flow_lost(agent, now, call, "no_record", token->flow);
		return;
	}
	if (plug_flowtable_is_full(&agent->flows)) {
		reply_flow_lost(agent, now, call, "connections", token->flow);
		return;
	}
	flow = plug_flow_create(token->flow, now);
	if (flow == NULL)
		return;
	plug_flowtable_insert(&agent->flows, flow);
	if (agent->pending_opens > 0)
		agent->pending_opens--;
	serve_owned(agent, now, flow, call, token, data, len);
}

static void
log_foreign(struct plug_agent *agent, plug_time now,
    const struct plug_call *call, const struct plug_token *token)
{
	if (agent->last_foreign_log != 0 &&
	    now - agent->last_foreign_log < FOREIGN_LOG_INTERVAL) {
		agent->foreign_suppressed++;
		return;
	}
	plug_client_log(agent->client, PLUG_LOG_WARN,
	    "event=foreign service=%u flow=%016llx xid=%u unlogged=%u "
	    "version=%llu",
	    call->program, (unsigned long long)token->flow, call->xid,
	    agent->foreign_suppressed,
	    (unsigned long long)plug_agent_document_version(agent));
	agent->last_foreign_log = now;
	agent->foreign_suppressed = 0;
}

/*
 * Rejects a packet that is for another service, sent here because its sender
 * has an old view, or whose token isn't valid for the service of this agent. If
 * the token names this address, the owner is gone and the flow is reported as
 * lost. Otherwise a sibling of the owner took this agent for another sibling;
 * the flow may still exist and the packet is dropped. An open call is answered
 * with "not run", since it has run nothing.
 */
static void
reject_foreign(
    struct plug_agent *agent, plug_time now, const struct plug_call *call)
{
	struct plug_token token = { 0 };

	agent->counters[PLUG_COUNT_FOREIGN]++;
	if (call->has_token)
		(void)plug_token_peek(call->token, &token);
	log_foreign(agent, now, call, &token);
	if (!call->has_token)
		plug_agent_reply_outcome(agent, now, call, NULL,
		    PLUG_OUTCOME_NOT_RUN, PLUG_RETRY_SOON_MS);
	else if (plug_endpoint_equal(token.agent, agent->config.endpoint))
		plug_agent_reply_outcome(
		    agent, now, call, NULL, PLUG_OUTCOME_FLOW_LOST, 0);
}

/* Handles a call with a valid token, depending on where its flow is. */
static void
dispatch_to_flow(struct plug_agent *agent, plug_time now,
    const struct plug_call *call, const struct plug_token *token, uint8_t *data,
    size_t len)
{
	struct plug_flow *flow =
	    plug_flowtable_find(&agent->flows, token->flow);

	if (flow != NULL && token->generation <= flow->generation) {
		switch (flow->state) {
		case PLUG_FLOW_OPEN:
		case PLUG_FLOW_FROZEN:
			serve_owned(agent, now, flow, call, token, data, len);
			return;
		case PLUG_FLOW_COMMITTING:
		case PLUG_FLOW_MOVED:
			serve_moved(agent, now, flow, call, data, len);
			return;
		case PLUG_FLOW_CLOSED:
			reply_flow_lost(
			    agent, now, call, "closed", token->flow);
			return;
		}
	}
	if (forward_to_source(agent, call, token, data, len))
		return;
	if (!plug_endpoint_equal(token->agent, agent->config.endpoint)) {
		search_owner(agent, now, call, token, data, len);
		return;
	}
	/* Another instance at this address: the process of the owner ended. */
	if (token->instance != agent->config.instance)
		reply_flow_lost(
		    agent, now, call, "other_instance", token->flow);
	else if (flow != NULL)
		reply_flow_lost(agent, now, call, "no_record", token->flow);
	else
		create_flow(agent, now, call, token, data, len);
}

/*
 * Reports flows as lost that ended because this domain is out of service. A
 * sibling with an older view may also forward packets of flows that live
 * elsewhere; these are dropped, and their callers send them again.
 */
static void
reject_in_domain_out(struct plug_agent *agent, plug_time now,
    const struct plug_call *call, const struct plug_token *token)
{
	const struct plug_flow *flow =
	    plug_flowtable_find(&agent->flows, token->flow);
	bool ended_here = flow != NULL ? flow->state == PLUG_FLOW_CLOSED
				       : plug_endpoint_equal(token->agent,
					     agent->config.endpoint);

	if (ended_here)
		reply_flow_lost(agent, now, call, "domain_out", token->flow);
}

/**
 * plug_agent_handle_datagram() - process a packet from an entry or a sibling
 * @agent: agent
 * @now: current monotonic time
 * @data: inner packet, modified in place when it is forwarded
 * @len: length of @data in bytes
 *
 * The checks are, in this order: the packet can be decoded, it is addressed to
 * the service of this agent, its token is valid, the domain of this agent is in
 * service, its flow is here.
 */
void
plug_agent_handle_datagram(
    struct plug_agent *agent, plug_time now, uint8_t *data, size_t len)
{
	const struct plug_document *document;
	struct plug_token token;
	struct plug_call call;

	agent->counters[PLUG_COUNT_PACKETS]++;
	if (agent->service == NULL ||
	    plug_packet_decode_call(data, len, &call, NULL) != PLUG_OK) {
		agent->counters[PLUG_COUNT_BAD_PACKETS]++;
		return;
	}
	document = &agent->service->document;
	if (call.program != agent->config.service ||
	    !plug_endpoint_equal(call.service, document->address)) {
		reject_foreign(agent, now, &call);
		return;
	}
	if (!call.has_token) {
		open_flow(agent, now, &call, data, len);
		return;
	}
	if (plug_token_open(call.token, &document->token_keys, &token) !=
		PLUG_OK ||
	    token.service != agent->config.service) {
		reject_foreign(agent, now, &call);
		return;
	}
	if (agent->domain_out) {
		reject_in_domain_out(agent, now, &call, &token);
		return;
	}
	dispatch_to_flow(agent, now, &call, &token, data, len);
}
