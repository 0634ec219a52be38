#include "agent_internal.h"
#include "rank.h"

#define FIRST_USE_MS 10000 /* from minting a token to its first packet */

/* A packet that missed passes the ranked candidates and then the owner. */
#define MISS_HOPS (PLUG_RANKED_MAX + 1)

/* Packets of known flows that are looked at before the path to the fabric is
 * suspected of losing answers. */
#define RESEND_WINDOW 32

/* A forwarded open call has one hop left, so it isn't forwarded again. */
#define OPEN_HOPS 1

#define FOREIGN_LOG_INTERVAL PLUG_SEC /* between two lines event=foreign */

/* Takes hops off a packet until it has no more than the given number. */
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

/* Why this agent can't keep an opening flow, or NULL. */
static const char *
refusal(const struct plug_agent *agent, plug_time now)
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
 * Opening a flow stores nothing. The first packet that carries the token
 * creates the record.
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
	const char *reason = refusal(agent, now);
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
lost(struct plug_agent *agent, plug_time now, const struct plug_call *call,
    const char *reason, uint64_t flow)
{
	plug_client_log(agent->client, PLUG_LOG_INFO,
	    "event=flow_lost reason=%s flow=%016llx xid=%u version=%llu",
	    reason, (unsigned long long)flow, call->xid,
	    (unsigned long long)plug_agent_document_version(agent));
	plug_agent_reply_outcome(
	    agent, now, call, NULL, PLUG_OUTCOME_FLOW_LOST, 0);
}

/* The owner may live while the instance list shows it in a domain that is in
 * service. */
static bool
owner_may_live(
    const struct plug_service *service, const struct plug_token *token)
{
	return plug_service_member(service, token->agent) != NULL &&
	       !plug_document_domain_out(&service->document, token->domain);
}

/*
 * The token of another agent whose flow isn't here: the flow may be at one of
 * the next candidates. The last candidate asks the owner.
 */
static void
miss(struct plug_agent *agent, plug_time now, const struct plug_call *call,
    const struct plug_token *token, uint8_t *data, size_t len)
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
				call->ttl, MISS_HOPS))
		return;
	if (!owner_may_live(agent->service, token))
		lost(agent, now, call, "owner_gone", token->flow);
	else
		(void)forward(
		    agent, token->agent, data, len, call->ttl, MISS_HOPS);
}

/* Suspects the path to the fabric when callers resend what was answered. */
static void
watch_resends(struct plug_agent *agent, const struct plug_flow *flow,
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

static void
serve(struct plug_agent *agent, plug_time now, struct plug_flow *flow,
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
	watch_resends(agent, flow, call);
	plug_agent_handle_request(agent, now, flow, call);
	request = plug_flow_find_request(flow, call->xid);
	/* The completion may have been lost; the previous owner has it. */
	if (request != NULL && request->state == PLUG_REQUEST_ELSEWHERE &&
	    call->attempt > 0)
		(void)forward(
		    agent, flow->peer, data, len, call->ttl, MISS_HOPS);
}

/*
 * Passes a packet to the new owner of its flow. When that one has gone, it may
 * have handed the flow on, so the candidates are asked once; a packet that
 * comes back from them has few hops left. While the answer to COMMIT is
 * awaited the flow may still resume here, so it isn't given up.
 */
static void
pass_on(struct plug_agent *agent, plug_time now, const struct plug_flow *flow,
    const struct plug_call *call, uint8_t *data, size_t len)
{
	const struct plug_document *document = &agent->service->document;
	const struct plug_member *ranked[PLUG_RANKED_MAX];
	const struct plug_member *peer =
	    plug_service_member(agent->service, flow->peer);

	if (peer != NULL && !plug_document_domain_out(document, peer->domain)) {
		(void)forward(
		    agent, flow->peer, data, len, call->ttl, MISS_HOPS);
		return;
	}
	if (call->ttl > MISS_HOPS && plug_rank_members(agent->service, flow->id,
					 agent->config.endpoint, ranked) > 0)
		(void)forward(agent, ranked[0]->endpoint, data, len, call->ttl,
		    MISS_HOPS);
	else if (flow->state == PLUG_FLOW_MOVED)
		lost(agent, now, call, "new_owner_gone", flow->id);
}

/*
 * A flow that was handed away: the outcome of what ran here is final at any
 * owner and is repeated to both. Everything else is the new owner's.
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
	pass_on(agent, now, flow, call, data, len);
}

/*
 * A prepared flow may run only after COMMIT. While its source may live, the
 * source decides. Without a source the packet takes the way of a miss: the copy
 * may be left from a move that was aborted, and the flow may be elsewhere.
 */
static bool
ask_source(struct plug_agent *agent, const struct plug_call *call,
    const struct plug_token *token, uint8_t *data, size_t len)
{
	const struct plug_flow *flow;
	struct plug_endpoint source;

	flow =
	    plug_transfer_find_prepared(&agent->transfer, token->flow, &source);
	/* A token of a later owner shows that the move was aborted. */
	if (flow == NULL || token->generation >= flow->generation ||
	    plug_service_member(agent->service, source) == NULL)
		return false;
	(void)forward(agent, source, data, len, call->ttl, MISS_HOPS);
	return true;
}

static void
create(struct plug_agent *agent, plug_time now, const struct plug_call *call,
    const struct plug_token *token, uint8_t *data, size_t len)
{
	uint32_t age_ms = (uint32_t)(now / PLUG_MSEC) - token->minted_ms;
	struct plug_flow *flow;

	/* A flow of a later generation has had a record, which is gone. */
	if (age_ms > FIRST_USE_MS || token->generation != 0) {
		lost(agent, now, call, "no_record", token->flow);
		return;
	}
	if (plug_flowtable_is_full(&agent->flows)) {
		lost(agent, now, call, "connections", token->flow);
		return;
	}
	flow = plug_flow_create(token->flow, now);
	if (flow == NULL)
		return;
	plug_flowtable_insert(&agent->flows, flow);
	if (agent->pending_opens > 0)
		agent->pending_opens--;
	serve(agent, now, flow, call, token, data, len);
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
 * A packet of another service, sent to this address by an old view. Its owner
 * has gone only if the token names this address; otherwise a sibling of the
 * owner took this agent for one of its own, and the flow may live. An opening
 * call has run nothing.
 */
static void
foreign(struct plug_agent *agent, plug_time now, const struct plug_call *call)
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

static void
find_flow(struct plug_agent *agent, plug_time now, const struct plug_call *call,
    const struct plug_token *token, uint8_t *data, size_t len)
{
	struct plug_flow *flow =
	    plug_flowtable_find(&agent->flows, token->flow);

	if (flow != NULL && token->generation <= flow->generation) {
		switch (flow->state) {
		case PLUG_FLOW_OPEN:
		case PLUG_FLOW_FROZEN:
			serve(agent, now, flow, call, token, data, len);
			return;
		case PLUG_FLOW_COMMITTING:
		case PLUG_FLOW_MOVED:
			serve_moved(agent, now, flow, call, data, len);
			return;
		case PLUG_FLOW_CLOSED:
			lost(agent, now, call, "closed", token->flow);
			return;
		}
	}
	if (ask_source(agent, call, token, data, len))
		return;
	if (!plug_endpoint_equal(token->agent, agent->config.endpoint)) {
		miss(agent, now, call, token, data, len);
		return;
	}
	/* Another instance at this address means that the owner has ended. */
	if (token->instance != agent->config.instance)
		lost(agent, now, call, "other_instance", token->flow);
	else if (flow != NULL)
		lost(agent, now, call, "no_record", token->flow);
	else
		create(agent, now, call, token, data, len);
}

/*
 * Gives up the flows that ended in this domain. A sibling with an older view
 * may also pass on packets of flows that live elsewhere; these are dropped, and
 * their callers send them again.
 */
static void
refuse_in_domain_out(struct plug_agent *agent, plug_time now,
    const struct plug_call *call, const struct plug_token *token)
{
	const struct plug_flow *flow =
	    plug_flowtable_find(&agent->flows, token->flow);
	bool ended_here = flow != NULL ? flow->state == PLUG_FLOW_CLOSED
				       : plug_endpoint_equal(token->agent,
					     agent->config.endpoint);

	if (ended_here)
		lost(agent, now, call, "domain_out", token->flow);
}

/**
 * plug_agent_handle_datagram() - take a packet from an entry or a sibling
 * @agent: agent
 * @now: time
 * @data: inner packet, changed while forwarding
 * @len: length in bytes
 *
 * Checks in order: decodable, own service, token, domain, flow.
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
		foreign(agent, now, &call);
		return;
	}
	if (!call.has_token) {
		open_flow(agent, now, &call, data, len);
		return;
	}
	if (plug_token_open(call.token, &document->token_keys, &token) !=
		PLUG_OK ||
	    token.service != agent->config.service) {
		foreign(agent, now, &call);
		return;
	}
	if (agent->domain_out) {
		refuse_in_domain_out(agent, now, &call, &token);
		return;
	}
	find_flow(agent, now, &call, &token, data, len);
}
