#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "callerflow.h"

#define FIRST_RESEND   (200 * PLUG_MSEC)
#define LONGEST_RESEND (3200 * PLUG_MSEC)
#define HEARTBEAT      (5 * PLUG_SEC)
#define JITTER_SHARE   4	  /* a wait grows by up to a quarter */
#define LARGEST_ANSWER (4U << 20) /* bytes */
#define CONTROL_BUDGET 1000	  /* ms */
#define OPEN_RETRY_MIN 50	  /* ms, when a refused opening names no time */

static plug_time
backoff(struct plug_callerflow *flow, uint32_t attempt)
{
	plug_time wait = FIRST_RESEND;

	while (attempt-- > 1 && wait < LONGEST_RESEND)
		wait *= 2;
	return wait + plug_client_random(
			  flow->client, (uint32_t)(wait / JITTER_SHARE) + 1);
}

static uint32_t
floor_xid(const struct plug_callerflow *flow)
{
	uint32_t lowest = flow->next_xid;

	for (size_t i = 0; i < PLUG_CALLERFLOW_WINDOW; i++) {
		const struct plug_callerflow_request *request =
		    &flow->requests[i];

		if (request->used && request->xid < lowest)
			lowest = request->xid;
	}
	return lowest;
}

static void
send_call(struct plug_callerflow *flow, struct plug_call *call)
{
	uint8_t buf[PLUG_PACKET_MAX];
	size_t len;

	call->caller = flow->caller;
	call->service = flow->service;
	call->ttl = PLUG_INITIAL_TTL;
	call->program = flow->program;
	call->floor = floor_xid(flow);
	call->has_token = flow->state == PLUG_CALLERFLOW_OPEN;
	if (call->has_token)
		memcpy(call->token, flow->token, sizeof(call->token));
	len = plug_packet_encode_call(call, buf, sizeof(buf));
	if (len > 0)
		flow->handler->send(flow->handler->data, buf, len);
}

static void
send_request(struct plug_callerflow *flow, plug_time now,
    const struct plug_callerflow_request *request, uint32_t attempt,
    uint32_t offset)
{
	struct plug_call call = {
		.xid = request->xid,
		.procedure = request->procedure,
		.attempt = attempt,
		.budget_ms =
		    (uint32_t)((request->deadline - now) / PLUG_MSEC) + 1,
		.offset = offset,
		.body = { (const char *)request->body, request->body_len },
	};

	send_call(flow, &call);
}

static void
send_control(struct plug_callerflow *flow, uint32_t attempt)
{
	struct plug_call call = {
		.xid = PLUG_CALLERFLOW_CONTROL_XID | flow->control_xid,
		.procedure = PLUG_PROCEDURE_NULL,
		.attempt = attempt,
		.budget_ms = CONTROL_BUDGET,
	};

	send_call(flow, &call);
}

static void
renew_port(struct plug_callerflow *flow)
{
	flow->unheard_resends = 0;
	flow->unheard_heartbeats = 0;
	flow->renewals++;
	flow->handler->renew_port(flow->handler->data);
}

/*
 * Resends of several requests or blocks at a time are one sign of a silent
 * path, not several.
 */
static void
count_resend(struct plug_callerflow *flow, plug_time now)
{
	flow->resends++;
	if (flow->unheard_resends > 0 && now < flow->unheard_at + FIRST_RESEND)
		return;
	flow->unheard_at = now;
	if (++flow->unheard_resends > PLUG_CALLERFLOW_UNHEARD)
		renew_port(flow);
}

static void
drop_answer(struct plug_callerflow_request *request)
{
	free(request->answer);
	free(request->arrived);
	request->answer = NULL;
	request->arrived = NULL;
	memset(request->blocks, 0, sizeof(request->blocks));
}

/* The slot is free before the handler runs, so that it may submit. */
static void
settle(struct plug_callerflow *flow, struct plug_callerflow_request *request,
    enum plug_callerflow_outcome outcome, uint32_t retry_after_ms,
    struct plug_str answer)
{
	struct plug_callerflow_result result = {
		.xid = request->xid,
		.tag = request->tag,
		.procedure = request->procedure,
		.idempotent = request->idempotent,
		.outcome = outcome,
		.retry_after_ms = retry_after_ms,
		.answer = answer,
	};
	uint8_t *owned = request->answer;

	request->answer = NULL;
	drop_answer(request);
	request->used = false;
	flow->handler->settled(flow->handler->data, &result);
	free(owned);
}

/*
 * A request that was never sent has not run; any other one may have.
 */
static void
settle_without_reply(
    struct plug_callerflow *flow, struct plug_callerflow_request *request)
{
	settle(flow, request,
	    request->attempt == 0 ? PLUG_CALLERFLOW_NOT_RUN
				  : PLUG_CALLERFLOW_UNKNOWN,
	    0, (struct plug_str){ NULL, 0 });
}

static void
break_flow(struct plug_callerflow *flow, enum plug_callerflow_reason reason)
{
	flow->state = PLUG_CALLERFLOW_BROKEN;
	for (size_t i = 0; i < PLUG_CALLERFLOW_WINDOW; i++) {
		if (flow->requests[i].used)
			settle_without_reply(flow, &flow->requests[i]);
	}
	flow->handler->broken(flow->handler->data, reason);
}

static void
transmit_request(struct plug_callerflow *flow, plug_time now,
    struct plug_callerflow_request *request)
{
	send_request(flow, now, request, request->attempt, 0);
	request->attempt++;
	request->due = now + backoff(flow, request->attempt);
}

static void
transmit_block(struct plug_callerflow *flow, plug_time now,
    const struct plug_callerflow_request *request,
    struct plug_callerflow_block *block)
{
	send_request(flow, now, request, block->attempt, block->offset);
	block->attempt++;
	block->due = now + backoff(flow, block->attempt);
}

/* Asks for further blocks while fewer than the limit are on their way. */
static void
ask_for_blocks(struct plug_callerflow *flow, plug_time now,
    struct plug_callerflow_request *request)
{
	for (size_t i = 0; i < PLUG_CALLERFLOW_BLOCKS; i++) {
		struct plug_callerflow_block *block = &request->blocks[i];

		while (request->next < request->total &&
		       request->arrived[request->next / PLUG_BLOCK_SIZE])
			request->next += PLUG_BLOCK_SIZE;
		if (request->next >= request->total)
			return;
		if (block->used)
			continue;
		*block = (struct plug_callerflow_block){ .used = true,
			.offset = request->next };
		request->next += PLUG_BLOCK_SIZE;
		transmit_block(flow, now, request, block);
	}
}

static void
begin_answer(
    struct plug_callerflow_request *request, uint32_t total, uint32_t crc)
{
	uint32_t blocks = (total + PLUG_BLOCK_SIZE - 1) / PLUG_BLOCK_SIZE;

	drop_answer(request);
	if (total == 0 || total > LARGEST_ANSWER)
		return;
	request->answer = malloc(total);
	request->arrived = calloc(blocks, 1);
	if (request->answer == NULL || request->arrived == NULL) {
		drop_answer(request);
		return;
	}
	request->total = total;
	request->crc = crc;
	request->missing = blocks;
	request->next = 0;
}

static void
take_block(
    struct plug_callerflow_request *request, const struct plug_reply *reply)
{
	uint32_t index = reply->offset / PLUG_BLOCK_SIZE;
	uint32_t want = request->total - reply->offset;

	if (want > PLUG_BLOCK_SIZE)
		want = PLUG_BLOCK_SIZE;
	if (reply->offset % PLUG_BLOCK_SIZE != 0 || reply->body.len != want ||
	    want == 0)
		return;
	for (size_t i = 0; i < PLUG_CALLERFLOW_BLOCKS; i++) {
		if (request->blocks[i].used &&
		    request->blocks[i].offset == reply->offset)
			request->blocks[i].used = false;
	}
	if (request->arrived[index])
		return;
	memcpy(request->answer + reply->offset, reply->body.data, want);
	request->arrived[index] = 1;
	request->missing--;
}

static void
receive_answer(struct plug_callerflow *flow, plug_time now,
    struct plug_callerflow_request *request, const struct plug_reply *reply)
{
	struct plug_str answer;

	if (reply->body.len == reply->total) {
		if (reply->total == 0 ||
		    XXH32(reply->body.data, reply->body.len, 0) == reply->crc)
			settle(flow, request, PLUG_CALLERFLOW_ANSWERED, 0,
			    reply->body);
		return;
	}
	/* An idempotent request that ran again may have another answer. */
	if (request->answer == NULL || request->total != reply->total ||
	    request->crc != reply->crc)
		begin_answer(request, reply->total, reply->crc);
	if (request->answer == NULL)
		return;
	take_block(request, reply);
	if (request->missing > 0) {
		ask_for_blocks(flow, now, request);
		return;
	}
	if (XXH32(request->answer, request->total, 0) != request->crc) {
		begin_answer(request, request->total, request->crc);
		if (request->answer != NULL)
			ask_for_blocks(flow, now, request);
		return;
	}
	answer.data = (const char *)request->answer;
	answer.len = request->total;
	settle(flow, request, PLUG_CALLERFLOW_ANSWERED, 0, answer);
}

static void
receive_result(struct plug_callerflow *flow, plug_time now,
    struct plug_callerflow_request *request, const struct plug_reply *reply)
{
	struct plug_str none = { NULL, 0 };

	switch (reply->outcome) {
	case PLUG_OUTCOME_DONE:
		receive_answer(flow, now, request, reply);
		return;
	case PLUG_OUTCOME_NOT_RUN:
		/* Blocks of its answer have arrived, so it has run. */
		if (request->answer != NULL)
			settle(flow, request, PLUG_CALLERFLOW_UNKNOWN, 0, none);
		else
			settle(flow, request, PLUG_CALLERFLOW_NOT_RUN,
			    reply->retry_after_ms, none);
		return;
	case PLUG_OUTCOME_UNKNOWN:
		settle(flow, request, PLUG_CALLERFLOW_UNKNOWN,
		    reply->retry_after_ms, none);
		return;
	case PLUG_OUTCOME_FLOW_LOST:
		break_flow(flow, PLUG_CALLERFLOW_LOST);
		return;
	}
}

static void
receive_opening(
    struct plug_callerflow *flow, plug_time now, const struct plug_reply *reply)
{
	uint32_t wait = reply->retry_after_ms;

	if (reply->xid != (PLUG_CALLERFLOW_CONTROL_XID | flow->control_xid))
		return;
	if (!reply->has_token || reply->outcome != PLUG_OUTCOME_DONE) {
		if (wait < OPEN_RETRY_MIN)
			wait = OPEN_RETRY_MIN;
		flow->due = now + wait * PLUG_MSEC;
		return;
	}
	memcpy(flow->token, reply->token, sizeof(flow->token));
	flow->state = PLUG_CALLERFLOW_OPEN;

	/* State at the agent begins with the first packet with the token. */
	flow->due = now;
	for (size_t i = 0; i < PLUG_CALLERFLOW_WINDOW; i++) {
		if (!flow->requests[i].used)
			continue;
		transmit_request(flow, now, &flow->requests[i]);
		flow->due = now + HEARTBEAT;
	}
	plug_callerflow_tick(flow, now);
}

/* A duplicated opening call has a second token, which never is a flow. */
static void
take_token(struct plug_callerflow *flow, const struct plug_reply *reply)
{
	uint32_t opening = PLUG_CALLERFLOW_CONTROL_XID | 1;

	if (!reply->has_token || reply->xid == opening ||
	    memcmp(flow->token, reply->token, sizeof(flow->token)) == 0)
		return;
	memcpy(flow->token, reply->token, sizeof(flow->token));
	flow->moves++;
}

/**
 * plug_callerflow_receive() - handle a packet for the caller
 * @flow: flow
 * @now: time
 * @packet: packet, from the IPv4 header on
 * @len: length in bytes
 */
void
plug_callerflow_receive(struct plug_callerflow *flow, plug_time now,
    const uint8_t *packet, size_t len)
{
	struct plug_callerflow_request *request;
	struct plug_reply reply;

	if (plug_packet_decode_reply(packet, len, &reply, NULL) != PLUG_OK ||
	    !plug_endpoint_equal(reply.service, flow->service))
		return;
	if (flow->state == PLUG_CALLERFLOW_OPENING) {
		receive_opening(flow, now, &reply);
		return;
	}
	if (flow->state != PLUG_CALLERFLOW_OPEN)
		return;

	flow->unheard_resends = 0;
	flow->unheard_heartbeats = 0;
	take_token(flow, &reply);
	if (reply.xid & PLUG_CALLERFLOW_CONTROL_XID) {
		if (reply.outcome == PLUG_OUTCOME_FLOW_LOST &&
		    reply.xid ==
			(PLUG_CALLERFLOW_CONTROL_XID | flow->control_xid))
			break_flow(flow, PLUG_CALLERFLOW_LOST);
		return;
	}
	request = &flow->requests[reply.xid % PLUG_CALLERFLOW_WINDOW];
	if (request->used && request->xid == reply.xid && request->attempt > 0)
		receive_result(flow, now, request, &reply);
}

/**
 * plug_callerflow_init() - prepare a flow
 * @flow: memory of the caller
 * @client: random state; must outlive the flow
 * @handler: actions; must outlive the flow
 * @caller: own address
 * @service: service address
 * @program: service id
 */
void
plug_callerflow_init(struct plug_callerflow *flow, struct plug_client *client,
    const struct plug_callerflow_handler *handler, struct plug_endpoint caller,
    struct plug_endpoint service, uint32_t program)
{
	memset(flow, 0, sizeof(*flow));
	flow->client = client;
	flow->handler = handler;
	flow->caller = caller;
	flow->service = service;
	flow->program = program;
	flow->next_xid = 1;
}

/**
 * plug_callerflow_finish() - free what a flow holds, without calling handlers
 * @flow: flow
 */
void
plug_callerflow_finish(struct plug_callerflow *flow)
{
	for (size_t i = 0; i < PLUG_CALLERFLOW_WINDOW; i++)
		drop_answer(&flow->requests[i]);
	memset(flow, 0, sizeof(*flow));
}

/**
 * plug_callerflow_open() - open the flow
 * @flow: flow after plug_callerflow_init()
 * @now: time
 */
void
plug_callerflow_open(struct plug_callerflow *flow, plug_time now)
{
	flow->state = PLUG_CALLERFLOW_OPENING;
	flow->control_xid = 1;
	flow->deadline = now + PLUG_CALLERFLOW_PATIENCE;
	flow->due = now;
	plug_callerflow_tick(flow, now);
}

/**
 * plug_callerflow_submit() - submit a request
 * @flow: flow; a request waits until the flow is open
 * @now: time
 * @procedure: operation, not PLUG_PROCEDURE_NULL
 * @body: arguments, copied
 * @idempotent: running it twice does no harm
 * @deadline: when the outcome becomes unknown
 * @tag: returned with the result
 * @xid: number of the request; may be NULL
 *
 * Return: PLUG_OK; PLUG_E_WINDOW when the oldest unsettled request is 32 xids
 * back; PLUG_E_OVERSIZE; PLUG_E_DEADLINE; PLUG_E_FLOW_LOST when the flow is
 * broken or was not opened. Only an accepted request is settled.
 */
enum plug_code
plug_callerflow_submit(struct plug_callerflow *flow, plug_time now,
    uint32_t procedure, struct plug_str body, bool idempotent,
    plug_time deadline, uint64_t tag, uint32_t *xid)
{
	struct plug_callerflow_request *request;

	if (flow->state != PLUG_CALLERFLOW_OPENING &&
	    flow->state != PLUG_CALLERFLOW_OPEN)
		return PLUG_E_FLOW_LOST;
	if (body.len > PLUG_BODY_MAX)
		return PLUG_E_OVERSIZE;
	if (deadline <= now)
		return PLUG_E_DEADLINE;
	if (flow->next_xid - floor_xid(flow) >= PLUG_CALLERFLOW_WINDOW)
		return PLUG_E_WINDOW;

	request = &flow->requests[flow->next_xid % PLUG_CALLERFLOW_WINDOW];
	memset(request, 0, sizeof(*request));
	request->used = true;
	request->idempotent = idempotent;
	request->xid = flow->next_xid++;
	request->tag = tag;
	request->procedure = procedure;
	request->deadline = deadline;
	request->body_len = body.len;
	if (body.len > 0)
		memcpy(request->body, body.data, body.len);
	if (xid != NULL)
		*xid = request->xid;
	if (flow->state == PLUG_CALLERFLOW_OPEN)
		transmit_request(flow, now, request);
	return PLUG_OK;
}

static void
tick_control(struct plug_callerflow *flow, plug_time now)
{
	if (now < flow->due)
		return;
	if (flow->state == PLUG_CALLERFLOW_OPENING) {
		if (flow->attempt > 0)
			count_resend(flow, now);
		send_control(flow, flow->attempt);
		flow->attempt++;
		flow->due = now + backoff(flow, flow->attempt);
		return;
	}
	if (++flow->unheard_heartbeats > PLUG_CALLERFLOW_UNHEARD)
		renew_port(flow);
	flow->control_xid++;
	flow->due = now + HEARTBEAT;
	send_control(flow, 0);
}

static void
tick_request(struct plug_callerflow *flow, plug_time now,
    struct plug_callerflow_request *request)
{
	if (now >= request->deadline) {
		settle_without_reply(flow, request);
		return;
	}
	if (flow->state != PLUG_CALLERFLOW_OPEN)
		return;
	if (request->answer == NULL) {
		if (now < request->due)
			return;
		count_resend(flow, now);
		transmit_request(flow, now, request);
		return;
	}
	for (size_t i = 0; i < PLUG_CALLERFLOW_BLOCKS; i++) {
		struct plug_callerflow_block *block = &request->blocks[i];

		if (!block->used || now < block->due)
			continue;
		count_resend(flow, now);
		transmit_block(flow, now, request, block);
	}
}

/**
 * plug_callerflow_tick() - resend, send heartbeats and give up what is due
 * @flow: flow
 * @now: time; call it at least every 50 ms
 */
void
plug_callerflow_tick(struct plug_callerflow *flow, plug_time now)
{
	if (flow->state != PLUG_CALLERFLOW_OPENING &&
	    flow->state != PLUG_CALLERFLOW_OPEN)
		return;
	if (flow->state == PLUG_CALLERFLOW_OPENING && now >= flow->deadline) {
		break_flow(flow, PLUG_CALLERFLOW_NO_OPEN);
		return;
	}
	tick_control(flow, now);
	for (size_t i = 0; i < PLUG_CALLERFLOW_WINDOW; i++) {
		if (flow->requests[i].used)
			tick_request(flow, now, &flow->requests[i]);
	}
}

/**
 * plug_callerflow_set_caller() - set the own address after a renewed port
 * @flow: flow
 * @caller: new address
 */
void
plug_callerflow_set_caller(
    struct plug_callerflow *flow, struct plug_endpoint caller)
{
	flow->caller = caller;
}

/**
 * plug_callerflow_pending() - requests that are not settled
 * @flow: flow
 */
unsigned int
plug_callerflow_pending(const struct plug_callerflow *flow)
{
	unsigned int pending = 0;

	for (size_t i = 0; i < PLUG_CALLERFLOW_WINDOW; i++)
		pending += flow->requests[i].used;
	return pending;
}

/**
 * plug_callerflow_outcome_name() - name of an outcome in logs and records
 * @outcome: outcome
 */
const char *
plug_callerflow_outcome_name(enum plug_callerflow_outcome outcome)
{
	switch (outcome) {
	case PLUG_CALLERFLOW_ANSWERED:
		return "answered";
	case PLUG_CALLERFLOW_NOT_RUN:
		return "not_run";
	case PLUG_CALLERFLOW_UNKNOWN:
		return "unknown";
	}
	return "invalid";
}

/**
 * plug_callerflow_reason_name() - name of a reason in logs
 * @reason: reason
 */
const char *
plug_callerflow_reason_name(enum plug_callerflow_reason reason)
{
	switch (reason) {
	case PLUG_CALLERFLOW_LOST:
		return "flow_lost";
	case PLUG_CALLERFLOW_NO_OPEN:
		return "no_open";
	}
	return "invalid";
}
