#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "flow.h"

/**
 * plug_answers_init() - prepare an empty answer store
 * @answers: store to fill
 */
void
plug_answers_init(struct plug_answers *answers)
{
	TAILQ_INIT(&answers->idempotent);
	answers->idempotent_bytes = 0;
	answers->nonidempotent_bytes = 0;
}

/**
 * plug_flow_create() - allocate the record of a flow
 * @id: flow id
 * @now: time
 *
 * Return: an open flow whose floor is 1, or NULL when memory ran out.
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
 * plug_request_free() - free a request that no queue holds
 * @request: request, or NULL
 * @answers: store that may hold its answer
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
 * @flow: flow; none of its requests is queued or running
 * @answers: store that may hold its answers
 */
void
plug_flow_destroy(struct plug_flow *flow, struct plug_answers *answers)
{
	for (unsigned int i = 0; i < PLUG_FLOW_WINDOW; i++)
		plug_request_free(flow->window[i], answers);
	free(flow);
}

/**
 * plug_flow_check_xid() - whether an xid lies in the window
 * @flow: flow
 * @xid: request number
 *
 * Return: PLUG_OK, PLUG_E_DUPLICATE below the floor, PLUG_E_WINDOW above.
 */
enum plug_code
plug_flow_check_xid(const struct plug_flow *flow, uint32_t xid)
{
	if (xid < flow->floor)
		return PLUG_E_DUPLICATE;
	/* The highest xid can't be settled by a floor above it. */
	if (xid - flow->floor >= PLUG_FLOW_WINDOW || xid == UINT32_MAX)
		return PLUG_E_WINDOW;
	return PLUG_OK;
}

/**
 * plug_flow_find_request() - the record of an xid
 * @flow: flow
 * @xid: request number
 *
 * Return: the request, or NULL when the xid has not been seen.
 */
struct plug_request *
plug_flow_find_request(const struct plug_flow *flow, uint32_t xid)
{
	struct plug_request *request = flow->window[xid % PLUG_FLOW_WINDOW];

	return request != NULL && request->xid == xid ? request : NULL;
}

/**
 * plug_flow_add_request() - record a new xid
 * @flow: flow
 * @xid: xid within the window that has no record
 * @procedure: operation
 * @idempotent: may be started more than once
 *
 * Return: a queued request, or NULL when memory ran out.
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
 * plug_flow_raise_floor() - raise the floor
 * @flow: flow
 * @floor: new floor; a lower one than the current is ignored
 * @settled: result, the requests below the floor, which the caller now owns
 *
 * Return: length of @settled.
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
 * plug_request_is_final() - whether a request has its final answer
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
 * plug_request_outcome() - outcome that a final request has on the wire
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
 * plug_request_set_data() - copy a request's arguments
 * @request: request without data
 * @arguments: arguments
 *
 * Return: PLUG_OK or PLUG_E_MEMORY.
 */
enum plug_code
plug_request_set_data(struct plug_request *request, struct plug_str arguments)
{
	request->data = malloc(arguments.len + 1);
	if (request->data == NULL)
		return PLUG_E_MEMORY;
	if (arguments.len > 0)
		memcpy(request->data, arguments.data, arguments.len);
	request->len = arguments.len;
	return PLUG_OK;
}

/**
 * plug_request_end() - give a request its final state and free its arguments
 * @request: request that is in no queue
 * @state: a final state
 * @now: time
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
 * plug_request_store_answer() - end a request with its answer
 * @request: request that is in no queue
 * @answers: store that accounts for the answer
 * @answer: answer; copied
 * @now: time
 *
 * Older idempotent answers are dropped to stay within
 * PLUG_IDEMPOTENT_BYTES_MAX. Return: PLUG_OK, or PLUG_E_MEMORY, with the
 * outcome unknown.
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
 * plug_request_reset() - queue an idempotent request whose answer was dropped
 * @request: request in state done without data
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
 * plug_answers_touch() - keep an answer whose blocks are being fetched
 * @answers: store
 * @request: request with its final answer
 * @now: time
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
 * plug_answers_expire() - drop idempotent answers that are old or too many
 * @answers: store
 * @now: time
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
