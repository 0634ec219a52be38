#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "flow.h"

/**
 * plug_answers_init() - initialise an empty answer store
 * @answers: store to initialise
 */
void
plug_answers_init(struct plug_answers *answers)
{
	TAILQ_INIT(&answers->idempotent);
	answers->idempotent_bytes = 0;
	answers->nonidempotent_bytes = 0;
}

/**
 * plug_flow_create() - allocate a flow
 * @id: flow id
 * @now: current time
 *
 * Return: an open flow with floor 1, or NULL when out of memory.
 */
struct plug_flow *
plug_flow_create(uint64_t id, plug_time now)
{
	struct plug_flow *flow = calloc(1, sizeof(*flow));

	if (flow == NULL)
		return NULL;
	flow->id = id;
	flow->floor = 1;
	flow->last_packet_at = now;
	return flow;
}

static void
drop_data(struct plug_request *request, struct plug_answers *answers)
{
	if (request->has_answer && request->idempotent) {
		TAILQ_REMOVE(&answers->idempotent, request, list_link);
		answers->idempotent_bytes -= request->len;
	} else if (request->has_answer) {
		answers->nonidempotent_bytes -= request->len;
	}
	request->has_answer = false;
	free(request->data);
	request->data = NULL;
	request->len = 0;
}

/**
 * plug_request_free() - free a request
 * @request: request that is in no queue, or NULL
 * @answers: store that may count its answer
 */
void
plug_request_free(struct plug_request *request, struct plug_answers *answers)
{
	if (request == NULL)
		return;
	drop_data(request, answers);
	free(request);
}

/**
 * plug_flow_destroy() - free a flow and its requests
 * @flow: flow without queued or running requests
 * @answers: store that may count its answers
 */
void
plug_flow_destroy(struct plug_flow *flow, struct plug_answers *answers)
{
	for (unsigned int i = 0; i < PLUG_FLOW_WINDOW; i++)
		plug_request_free(flow->window[i], answers);
	free(flow);
}

/**
 * plug_flow_check_xid() - check whether an xid lies in the window of a flow
 * @flow: flow
 * @xid: request number
 *
 * Return: PLUG_OK, PLUG_E_DUPLICATE below the floor, or PLUG_E_WINDOW above the
 * window.
 */
enum plug_code
plug_flow_check_xid(const struct plug_flow *flow, uint32_t xid)
{
	if (xid < flow->floor)
		return PLUG_E_DUPLICATE;
	/* No floor lies above the highest xid, so it could not be settled. */
	if (xid - flow->floor >= PLUG_FLOW_WINDOW || xid == UINT32_MAX)
		return PLUG_E_WINDOW;
	return PLUG_OK;
}

/**
 * plug_flow_find_request() - find a request by its xid
 * @flow: flow
 * @xid: request number
 *
 * Return: the request, owned by @flow, or NULL when none is recorded under the
 * xid.
 */
struct plug_request *
plug_flow_find_request(const struct plug_flow *flow, uint32_t xid)
{
	struct plug_request *request = flow->window[xid % PLUG_FLOW_WINDOW];

	return request != NULL && request->xid == xid ? request : NULL;
}

/**
 * plug_flow_add_request() - create a request
 * @flow: flow
 * @xid: request number in the window, without a request so far
 * @procedure: procedure number of the operation
 * @idempotent: may be started more than once
 *
 * Return: the request, owned by @flow, in state queued but not yet in a queue;
 * or NULL when out of memory.
 */
struct plug_request *
plug_flow_add_request(
    struct plug_flow *flow, uint32_t xid, uint32_t procedure, bool idempotent)
{
	struct plug_request *request = calloc(1, sizeof(*request));

	if (request == NULL)
		return NULL;
	request->flow = flow;
	request->xid = xid;
	request->procedure = procedure;
	request->idempotent = idempotent;
	flow->window[xid % PLUG_FLOW_WINDOW] = request;
	flow->active_requests++;
	return request;
}

/**
 * plug_flow_raise_floor() - raise the floor and detach the requests below it
 * @flow: flow
 * @floor: new floor; ignored unless it is higher than the current one
 * @settled: result, the detached requests, which the caller now owns; they may
 *   still be queued or running
 *
 * Return: number of requests in @settled.
 */
unsigned int
plug_flow_raise_floor(struct plug_flow *flow, uint32_t floor,
    struct plug_request *settled[PLUG_FLOW_WINDOW])
{
	unsigned int count = 0;

	if (floor <= flow->floor)
		return 0;
	flow->floor = floor;
	for (unsigned int i = 0; i < PLUG_FLOW_WINDOW; i++) {
		struct plug_request *request = flow->window[i];

		if (request == NULL || request->xid >= floor)
			continue;
		if (!plug_request_is_final(request) &&
		    request->state != PLUG_REQUEST_ELSEWHERE)
			flow->active_requests--;
		request->flow = NULL;
		settled[count++] = request;
		flow->window[i] = NULL;
	}
	return count;
}

/**
 * plug_request_is_final() - check whether a request is in a final state
 * @request: request
 */
bool
plug_request_is_final(const struct plug_request *request)
{
	switch (request->state) {
	case PLUG_REQUEST_DONE:
	case PLUG_REQUEST_REFUSED:
	case PLUG_REQUEST_UNKNOWN:
		return true;
	case PLUG_REQUEST_QUEUED:
	case PLUG_REQUEST_RUNNING:
	case PLUG_REQUEST_ELSEWHERE:
		break;
	}
	return false;
}

/**
 * plug_request_outcome() - return the outcome of a final request for the wire
 * @request: request
 */
enum plug_outcome
plug_request_outcome(const struct plug_request *request)
{
	switch (request->state) {
	case PLUG_REQUEST_DONE:
		return PLUG_OUTCOME_DONE;
	case PLUG_REQUEST_REFUSED:
		return PLUG_OUTCOME_NOT_RUN;
	case PLUG_REQUEST_QUEUED:
	case PLUG_REQUEST_RUNNING:
	case PLUG_REQUEST_UNKNOWN:
	case PLUG_REQUEST_ELSEWHERE:
		break;
	}
	return PLUG_OUTCOME_UNKNOWN;
}

/**
 * plug_request_set_data() - copy arguments or an answer into a request
 * @request: request without data
 * @data: bytes to copy
 *
 * Return: PLUG_OK or PLUG_E_MEMORY.
 */
enum plug_code
plug_request_set_data(struct plug_request *request, struct plug_str data)
{
	request->data = malloc(data.len + 1);
	if (request->data == NULL)
		return PLUG_E_MEMORY;
	if (data.len > 0)
		memcpy(request->data, data.data, data.len);
	request->len = data.len;
	return PLUG_OK;
}

/**
 * plug_request_end() - set the final state of a request and free its arguments
 * @request: request that is in no queue
 * @state: final state, or PLUG_REQUEST_ELSEWHERE
 * @now: current time
 */
void
plug_request_end(
    struct plug_request *request, enum plug_request_state state, plug_time now)
{
	if (request->flow != NULL && !plug_request_is_final(request) &&
	    request->state != PLUG_REQUEST_ELSEWHERE)
		request->flow->active_requests--;
	if (!request->has_answer) {
		free(request->data);
		request->data = NULL;
		request->len = 0;
	}
	request->state = state;
	request->ended_at = now;
}

/**
 * plug_request_store_answer() - end a request as done and store its answer
 * @request: request that is in no queue
 * @answers: store that counts the answer
 * @answer: answer; copied
 * @now: current time
 *
 * Drops older idempotent answers to stay within PLUG_IDEMPOTENT_BYTES_MAX.
 *
 * Return: PLUG_OK, or PLUG_E_MEMORY with the request in state unknown.
 */
enum plug_code
plug_request_store_answer(struct plug_request *request,
    struct plug_answers *answers, struct plug_str answer, plug_time now)
{
	plug_request_end(request, PLUG_REQUEST_DONE, now);
	if (plug_request_set_data(request, answer) != PLUG_OK) {
		request->state = PLUG_REQUEST_UNKNOWN;
		return PLUG_E_MEMORY;
	}
	request->answer_hash = XXH32(request->data, request->len, 0);
	request->has_answer = true;
	if (!request->idempotent) {
		answers->nonidempotent_bytes += request->len;
		return PLUG_OK;
	}
	TAILQ_INSERT_TAIL(&answers->idempotent, request, list_link);
	answers->idempotent_bytes += request->len;
	plug_answers_expire(answers, now);
	return PLUG_OK;
}

/**
 * plug_request_reset() - let a done request whose answer was dropped run again
 * @request: idempotent request in state done without data
 *
 * The state becomes queued; the caller has to set the deadline and the
 * arguments and to put the request into a queue.
 */
void
plug_request_reset(struct plug_request *request)
{
	request->state = PLUG_REQUEST_QUEUED;
	request->upstream_attempts = 0;
	request->cancel_sent = false;
	request->abandoned = false;
	request->may_have_run = true;
	request->flow->active_requests++;
}

/**
 * plug_answers_touch() - defer the expiry of an answer that the caller fetches
 * @answers: store
 * @request: request with its final answer
 * @now: current time
 *
 * Has no effect unless the answer is stored and idempotent.
 */
void
plug_answers_touch(
    struct plug_answers *answers, struct plug_request *request, plug_time now)
{
	if (!request->has_answer || !request->idempotent)
		return;
	TAILQ_REMOVE(&answers->idempotent, request, list_link);
	TAILQ_INSERT_TAIL(&answers->idempotent, request, list_link);
	request->ended_at = now;
}

/**
 * plug_answers_expire() - drop idempotent answers over the age or size limit
 * @answers: store
 * @now: current time
 *
 * The requests of dropped answers stay in state done, without data.
 */
void
plug_answers_expire(struct plug_answers *answers, plug_time now)
{
	struct plug_request *request;

	while ((request = TAILQ_FIRST(&answers->idempotent)) != NULL &&
	       (now - request->ended_at >= PLUG_IDEMPOTENT_AGE_MAX ||
		   answers->idempotent_bytes > PLUG_IDEMPOTENT_BYTES_MAX))
		drop_data(request, answers);
}
