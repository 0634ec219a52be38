#include <string.h>

#include "agent_internal.h"

/**
 * plug_agent_mint_token() - create a token that names this agent as the owner
 * @agent: agent that has a service document
 * @now: current monotonic time, recorded in the token
 * @flow: flow id
 * @generation: how often the flow has been moved
 * @wire: result, sealed with the first token key of the service
 */
void
plug_agent_mint_token(const struct plug_agent *agent, plug_time now,
    uint64_t flow, uint16_t generation, uint8_t wire[PLUG_TOKEN_SIZE])
{
	const struct plug_token token = {
		.service = agent->config.service,
		.agent = agent->config.endpoint,
		.domain = agent->config.domain,
		.generation = generation,
		.instance = agent->config.instance,
		.flow = flow,
		.minted_ms = (uint32_t)(now / PLUG_MSEC),
	};

	plug_token_seal(&token, &agent->service->document.token_keys, wire);
}

static void
count_outcome(struct plug_agent *agent, enum plug_outcome outcome)
{
	switch (outcome) {
	case PLUG_OUTCOME_DONE:
		agent->counters[PLUG_COUNT_ANSWERED]++;
		return;
	case PLUG_OUTCOME_NOT_RUN:
		agent->counters[PLUG_COUNT_NOT_RUN]++;
		return;
	case PLUG_OUTCOME_UNKNOWN:
		agent->counters[PLUG_COUNT_UNKNOWN]++;
		return;
	case PLUG_OUTCOME_FLOW_LOST:
		agent->counters[PLUG_COUNT_FLOW_LOST]++;
		return;
	}
}

/*
 * Sends a reply by way of the fabric. After a move it carries a token until the
 * caller has used that token. Only the owner mints one, so there is none once
 * COMMIT has been sent. A reply with xid 0 is unsolicited and not counted as an
 * outcome.
 */
static void
send_reply(struct plug_agent *agent, plug_time now, struct plug_flow *flow,
    struct plug_reply *reply)
{
	uint8_t buf[PLUG_PACKET_MAX];
	struct plug_action action = {
		.kind = PLUG_ACTION_DATAGRAM,
		.datagram = { .target = agent->config.fabric, .data = buf },
	};

	if (flow != NULL && !flow->token_used && agent->service != NULL &&
	    (flow->state == PLUG_FLOW_OPEN ||
		flow->state == PLUG_FLOW_FROZEN) &&
	    flow->generation > 0) {
		reply->has_token = true;
		plug_agent_mint_token(
		    agent, now, flow->id, flow->generation, reply->token);
	}
	action.datagram.len = plug_packet_encode_reply(reply, buf, sizeof(buf));
	if (action.datagram.len == 0)
		return;
	if (reply->xid != 0)
		count_outcome(agent, reply->outcome);
	plug_client_emit(agent->client, &action);
}

/**
 * plug_agent_reply_outcome() - answer a call with an outcome and no body
 * @agent: agent
 * @now: current monotonic time
 * @call: call to answer
 * @flow: flow of the call, or NULL; without it the reply carries no token
 * @outcome: outcome of the call
 * @retry_after_ms: delay in milliseconds before the caller should retry; 0 when
 *   not stated
 */
void
plug_agent_reply_outcome(struct plug_agent *agent, plug_time now,
    const struct plug_call *call, struct plug_flow *flow,
    enum plug_outcome outcome, uint32_t retry_after_ms)
{
	struct plug_reply reply = {
		.caller = call->caller,
		.service = call->service,
		.xid = call->xid,
		.outcome = outcome,
		.retry_after_ms = retry_after_ms,
	};

	send_reply(agent, now, flow, &reply);
}

/**
 * plug_agent_reply_block() - send the outcome of a request and a block of its
 * answer
 * @agent: agent
 * @now: current monotonic time
 * @flow: flow of the request
 * @request: request in a final state
 * @offset: position of the block in the answer, in bytes
 *
 * An offset past the end is answered with an empty block at the end.
 */
void
plug_agent_reply_block(struct plug_agent *agent, plug_time now,
    struct plug_flow *flow, const struct plug_request *request, uint32_t offset)
{
	struct plug_reply reply = {
		.caller = flow->caller,
		.service = flow->service,
		.xid = request->xid,
		.outcome = plug_request_outcome(request),
		.retry_after_ms = request->retry_after_ms,
	};

	if (request->state == PLUG_REQUEST_DONE) {
		size_t left;

		if (offset > request->len)
			offset = (uint32_t)request->len;
		left = request->len - offset;
		reply.retry_after_ms = 0;
		reply.total = (uint32_t)request->len;
		reply.offset = offset;
		reply.crc = request->answer_hash;
		reply.body.data = (const char *)request->data + offset;
		reply.body.len =
		    left < PLUG_BLOCK_SIZE ? left : PLUG_BLOCK_SIZE;
	}
	send_reply(agent, now, flow, &reply);
}

/**
 * plug_agent_send_token() - send the caller an unsolicited token of the new
 * owner
 * @agent: agent
 * @now: current monotonic time
 * @flow: flow that this agent has taken over
 */
void
plug_agent_send_token(
    struct plug_agent *agent, plug_time now, struct plug_flow *flow)
{
	struct plug_reply reply = {
		.caller = flow->caller,
		.service = flow->service,
		.outcome = PLUG_OUTCOME_DONE,
	};

	send_reply(agent, now, flow, &reply);
}
