#include <stdlib.h>

#include "transfer_internal.h"

/* When no PREPARED arrives within this time, the batch is aborted, so that its
 * flows can be offered to another target. */
#define PREPARE_TIMEOUT PLUG_SEC
/* Requests of the flows can't start until the move ends, so a lost message is
 * resent well before their deadlines. */
#define RESEND_INTERVAL		 (100 * PLUG_MSEC)
#define PREPARE_ANSWER_BYTES_MAX 262144 /* total in one PREPARE */

/* Storage for one PREPARE message; too large for the stack. */
struct prepare_buffers {
	Plug__FlowRecord records[PLUG_BATCH_FLOWS_MAX];
	Plug__FlowRecord *record_pointers[PLUG_BATCH_FLOWS_MAX];
	Plug__RequestRecord requests[PLUG_BATCH_FLOWS_MAX][PLUG_FLOW_WINDOW];
	Plug__RequestRecord
	    *request_pointers[PLUG_BATCH_FLOWS_MAX][PLUG_FLOW_WINDOW];
	size_t answer_bytes; /* total of the answers in the records */
};

/*
 * Fills the record of one request. Returns false when the request needs no
 * record: an idempotent one whose answer was dropped may run again anywhere.
 * Only answers of idempotent requests are dropped; another request without an
 * answer would be recorded in the default state, refused. A request whose
 * answer exceeds PLUG_INLINE_ANSWER_MAX, or the rest of
 * PREPARE_ANSWER_BYTES_MAX, is recorded as running elsewhere; its
 * peer_awaits_outcome is set and the answer follows in a COMPLETION.
 */
static bool
fill_request_record(struct prepare_buffers *buffers,
    struct plug_request *request, Plug__RequestRecord *record)
{
	plug__request_record__init(record);
	record->xid = request->xid;
	record->idempotent = request->idempotent;
	switch (request->state) {
	case PLUG_REQUEST_QUEUED:
	case PLUG_REQUEST_RUNNING:
	case PLUG_REQUEST_ELSEWHERE:
		break;
	case PLUG_REQUEST_REFUSED:
		record->state = PLUG__REQUEST_STATE__REQUEST_REFUSED;
		return true;
	case PLUG_REQUEST_UNKNOWN:
		record->state = PLUG__REQUEST_STATE__REQUEST_UNKNOWN;
		return true;
	case PLUG_REQUEST_DONE:
		if (!request->has_answer)
			return !request->idempotent;
		if (request->len > PLUG_INLINE_ANSWER_MAX ||
		    buffers->answer_bytes + request->len >
			PREPARE_ANSWER_BYTES_MAX)
			break;
		buffers->answer_bytes += request->len;
		record->state = PLUG__REQUEST_STATE__REQUEST_DONE;
		record->answer.data = request->data;
		record->answer.len = request->len;
		return true;
	}
	record->state = PLUG__REQUEST_STATE__REQUEST_RUNNING_ELSEWHERE;
	request->peer_awaits_outcome = true;
	return true;
}

static void
fill_flow_record(struct prepare_buffers *buffers, unsigned int at,
    const struct plug_flow *flow)
{
	Plug__FlowRecord *record = &buffers->records[at];

	plug__flow_record__init(record);
	buffers->record_pointers[at] = record;
	record->flow = flow->id;
	record->generation = flow->generation;
	record->floor = flow->floor;
	record->caller_address = flow->caller.address;
	record->caller_port = flow->caller.port;
	record->requests = buffers->request_pointers[at];
	for (unsigned int i = 0; i < PLUG_FLOW_WINDOW; i++) {
		size_t n = record->n_requests;

		if (flow->window[i] == NULL ||
		    !fill_request_record(
			buffers, flow->window[i], &buffers->requests[at][n]))
			continue;
		buffers->request_pointers[at][n] = &buffers->requests[at][n];
		record->n_requests++;
	}
}

/* Returns a flow of the batch, or NULL when it has left the batch or the flow
 * table since. */
static struct plug_flow *
find_batch_flow(const struct plug_transfer *transfer,
    const struct plug_outgoing_batch *batch, unsigned int at)
{
	struct plug_flow *flow =
	    plug_flowtable_find(transfer->flows, batch->flow_ids[at]);

	return flow != NULL && flow->batch_id == batch->id ? flow : NULL;
}

/* No request of a frozen flow is started, so a resent PREPARE differs only in
 * requests that have ended since. When memory runs out, nothing is sent until
 * the next resend. */
static void
send_prepare(const struct plug_transfer *transfer,
    const struct plug_outgoing_batch *batch)
{
	struct prepare_buffers *buffers = calloc(1, sizeof(*buffers));
	Plug__Message message = PLUG__MESSAGE__INIT;
	Plug__Prepare prepare = PLUG__PREPARE__INIT;

	if (buffers == NULL)
		return;
	for (unsigned int i = 0; i < batch->flow_count; i++) {
		const struct plug_flow *flow =
		    find_batch_flow(transfer, batch, i);

		if (flow != NULL && flow->state == PLUG_FLOW_FROZEN)
			fill_flow_record(buffers, prepare.n_flows++, flow);
	}
	prepare.batch = batch->id;
	prepare.flows = buffers->record_pointers;
	message.body_case = PLUG__MESSAGE__BODY_PREPARE;
	message.prepare = &prepare;
	plug_transfer_send(transfer, batch->target, &message);
	free(buffers);
}

/**
 * plug_transfer_begin() - freeze flows and send PREPARE to a sibling
 * @transfer: transfer
 * @now: current time
 * @target: address of the sibling
 * @flows: open flows without queued requests
 * @count: length of @flows; flows beyond PLUG_BATCH_FLOWS_MAX are ignored
 *
 * Return: number of flows in the batch; 0 when PLUG_OUTGOING_BATCHES_MAX
 * batches are in progress.
 */
unsigned int
plug_transfer_begin(struct plug_transfer *transfer, plug_time now,
    struct plug_endpoint target, struct plug_flow *const *flows,
    unsigned int count)
{
	struct plug_outgoing_batch *batch = NULL;

	for (unsigned int i = 0; i < PLUG_OUTGOING_BATCHES_MAX; i++) {
		if (transfer->outgoing[i].id == 0)
			batch = &transfer->outgoing[i];
	}
	if (batch == NULL || count == 0)
		return 0;
	if (count > PLUG_BATCH_FLOWS_MAX)
		count = PLUG_BATCH_FLOWS_MAX;
	*batch = (struct plug_outgoing_batch){
		.id = plug_client_random_id(transfer->client),
		.target = target,
		.started_at = now,
		.last_sent_at = now,
		.flow_count = count,
	};
	for (unsigned int i = 0; i < count; i++) {
		batch->flow_ids[i] = flows[i]->id;
		flows[i]->peer = target;
		flows[i]->batch_id = batch->id;
		plug_flowtable_set_state(
		    transfer->flows, flows[i], PLUG_FLOW_FROZEN, now);
	}
	send_prepare(transfer, batch);
	return count;
}

static void
resume_flow(
    struct plug_transfer *transfer, plug_time now, struct plug_flow *flow)
{
	for (unsigned int i = 0; i < PLUG_FLOW_WINDOW; i++) {
		if (flow->window[i] != NULL)
			flow->window[i]->peer_awaits_outcome = false;
	}
	flow->batch_id = 0;
	plug_flowtable_set_state(transfer->flows, flow, PLUG_FLOW_OPEN, now);
	plug_transfer_notify(transfer, now, PLUG_TRANSFER_RESUMED, flow, NULL);
}

static void
send_abort(const struct plug_transfer *transfer, struct plug_endpoint target,
    uint64_t id)
{
	Plug__Message message = PLUG__MESSAGE__INIT;
	Plug__Abort body = PLUG__ABORT__INIT;

	body.batch = id;
	message.body_case = PLUG__MESSAGE__BODY_ABORT;
	message.abort = &body;
	plug_transfer_send(transfer, target, &message);
}

static void
abort_batch(struct plug_transfer *transfer, plug_time now,
    struct plug_outgoing_batch *batch)
{
	send_abort(transfer, batch->target, batch->id);
	for (unsigned int i = 0; i < batch->flow_count; i++) {
		struct plug_flow *flow = find_batch_flow(transfer, batch, i);

		if (flow != NULL && flow->state == PLUG_FLOW_FROZEN)
			resume_flow(transfer, now, flow);
	}
	batch->id = 0;
}

/* Lists the requests that were refused after the flow was frozen. Returns their
 * number, at most PLUG_FLOW_WINDOW. */
static size_t
fill_refused(const struct plug_flow *flow, Plug__RefusedRequest *refused)
{
	size_t count = 0;

	for (unsigned int i = 0; i < PLUG_FLOW_WINDOW; i++) {
		const struct plug_request *request = flow->window[i];

		if (request == NULL || !request->peer_awaits_outcome ||
		    request->state != PLUG_REQUEST_REFUSED)
			continue;
		plug__refused_request__init(&refused[count]);
		refused[count].flow = flow->id;
		refused[count].xid = request->xid;
		count++;
	}
	return count;
}

/* When memory runs out, nothing is sent until the next resend. */
static void
send_commit(struct plug_transfer *transfer, struct plug_outgoing_batch *batch)
{
	const size_t refused_max = (size_t)batch->flow_count * PLUG_FLOW_WINDOW;
	Plug__RefusedRequest *refused = calloc(refused_max, sizeof(*refused));
	Plug__RefusedRequest **pointers =
	    calloc(refused_max, sizeof(Plug__RefusedRequest *));
	Plug__Message message = PLUG__MESSAGE__INIT;
	Plug__Commit commit = PLUG__COMMIT__INIT;

	if (refused != NULL && pointers != NULL) {
		for (unsigned int i = 0; i < batch->flow_count; i++) {
			struct plug_flow *flow =
			    find_batch_flow(transfer, batch, i);

			if (flow != NULL)
				commit.n_refused += fill_refused(
				    flow, refused + commit.n_refused);
		}
		for (size_t i = 0; i < commit.n_refused; i++)
			pointers[i] = &refused[i];
		commit.batch = batch->id;
		commit.refused = pointers;
		message.body_case = PLUG__MESSAGE__BODY_COMMIT;
		message.commit = &commit;
		plug_transfer_send(transfer, batch->target, &message);
	}
	free(pointers);
	free(refused);
}

static struct plug_outgoing_batch *
find_outgoing(
    struct plug_transfer *transfer, uint64_t id, struct plug_endpoint target)
{
	for (unsigned int i = 0; i < PLUG_OUTGOING_BATCHES_MAX; i++) {
		if (id != 0 && transfer->outgoing[i].id == id &&
		    plug_endpoint_equal(transfer->outgoing[i].target, target))
			return &transfer->outgoing[i];
	}
	return NULL;
}

static bool
is_accepted(const Plug__Prepared *prepared, uint64_t flow)
{
	for (size_t i = 0; i < prepared->n_flows; i++) {
		if (prepared->flows[i] == flow)
			return true;
	}
	return false;
}

/**
 * plug_transfer_handle_prepared() - commit the flows that a target accepted
 * @transfer: transfer
 * @now: current time
 * @sender: target
 * @prepared: message; flows that it doesn't list resume here
 */
void
plug_transfer_handle_prepared(struct plug_transfer *transfer, plug_time now,
    const Plug__Sender *sender, const Plug__Prepared *prepared)
{
	const struct plug_endpoint from = { sender->address,
		(uint16_t)sender->port };
	struct plug_outgoing_batch *batch =
	    find_outgoing(transfer, prepared->batch, from);
	unsigned int accepted_count = 0;

	if (batch == NULL) {
		/* The batch was aborted, and the first ABORT may be lost. */
		send_abort(transfer, from, prepared->batch);
		return;
	}
	if (batch->committed)
		return;
	for (unsigned int i = 0; i < batch->flow_count; i++) {
		struct plug_flow *flow = find_batch_flow(transfer, batch, i);

		if (flow == NULL || flow->state != PLUG_FLOW_FROZEN)
			continue;
		if (!is_accepted(prepared, flow->id)) {
			resume_flow(transfer, now, flow);
			continue;
		}
		plug_flowtable_set_state(
		    transfer->flows, flow, PLUG_FLOW_COMMITTING, now);
		batch->flow_ids[accepted_count++] = flow->id;
	}
	batch->flow_count = accepted_count;
	if (accepted_count == 0) {
		send_abort(transfer, from, batch->id);
		batch->id = 0;
		return;
	}
	batch->committed = true;
	batch->target_instance = sender->instance;
	batch->started_at = now;
	batch->last_sent_at = now;
	send_commit(transfer, batch);
}

/* Sends the outcome of a request to the flow's peer; without a request, the
 * message says that the caller uses the new token. */
static void
send_completion(const struct plug_transfer *transfer,
    const struct plug_flow *flow, const struct plug_request *request)
{
	Plug__Message message = PLUG__MESSAGE__INIT;
	Plug__Completion completion = PLUG__COMPLETION__INIT;

	completion.flow = flow->id;
	if (request != NULL) {
		completion.xid = request->xid;
		completion.outcome = plug_request_outcome(request);
		completion.idempotent = request->idempotent;
	}
	if (request != NULL && request->state == PLUG_REQUEST_DONE) {
		completion.answer.data = request->data;
		completion.answer.len = request->len;
	}
	message.body_case = PLUG__MESSAGE__BODY_COMPLETION;
	message.completion = &completion;
	plug_transfer_send(transfer, flow->peer, &message);
}

/**
 * plug_transfer_request_ended() - report an outcome to the flow's new owner
 * @transfer: transfer
 * @flow: flow in any state; nothing is reported unless it is moving or moved,
 *   and still records the xid of @request
 * @request: request of @flow in a final state
 *
 * Until COMMIT is confirmed, peer_awaits_outcome of the recorded request is set
 * instead and the report follows the confirmation.
 */
void
plug_transfer_request_ended(struct plug_transfer *transfer,
    const struct plug_flow *flow, const struct plug_request *request)
{
	struct plug_request *stored =
	    plug_flow_find_request(flow, request->xid);

	if (stored == NULL)
		return;
	switch (flow->state) {
	case PLUG_FLOW_FROZEN:
	case PLUG_FLOW_COMMITTING:
		stored->peer_awaits_outcome = true;
		return;
	case PLUG_FLOW_MOVED:
		send_completion(transfer, flow, request);
		return;
	case PLUG_FLOW_OPEN:
	case PLUG_FLOW_CLOSED:
		return;
	}
}

/**
 * plug_transfer_token_used() - tell the previous owner of the new token's use
 * @transfer: transfer
 * @flow: flow taken over, whose caller now uses the token of this agent
 *
 * The previous owner may stop once it need not forward packets for any caller.
 */
void
plug_transfer_token_used(
    struct plug_transfer *transfer, const struct plug_flow *flow)
{
	send_completion(transfer, flow, NULL);
}

static void
finish_move(
    struct plug_transfer *transfer, plug_time now, struct plug_flow *flow)
{
	flow->token_used = false;
	plug_flowtable_set_state(transfer->flows, flow, PLUG_FLOW_MOVED, now);
	for (unsigned int i = 0; i < PLUG_FLOW_WINDOW; i++) {
		const struct plug_request *request = flow->window[i];

		if (request != NULL && request->peer_awaits_outcome &&
		    plug_request_is_final(request))
			send_completion(transfer, flow, request);
	}
	plug_transfer_notify(transfer, now, PLUG_TRANSFER_MOVED, flow, NULL);
}

/* How a batch ended after its COMMIT. */
enum batch_outcome {
	BATCH_TAKEN_OVER, /* the target owns the flows */
	BATCH_DROPPED,	  /* the target never owned them and never will */
	BATCH_UNKNOWN,	  /* requests may have run at the target */
};

static void
end_batch(struct plug_transfer *transfer, plug_time now,
    struct plug_outgoing_batch *batch, enum batch_outcome outcome)
{
	for (unsigned int i = 0; i < batch->flow_count; i++) {
		struct plug_flow *flow = find_batch_flow(transfer, batch, i);

		if (flow == NULL || flow->state != PLUG_FLOW_COMMITTING)
			continue;
		switch (outcome) {
		case BATCH_TAKEN_OVER:
			finish_move(transfer, now, flow);
			break;
		case BATCH_DROPPED:
			resume_flow(transfer, now, flow);
			break;
		case BATCH_UNKNOWN:
			plug_transfer_notify(
			    transfer, now, PLUG_TRANSFER_LOST, flow, NULL);
			break;
		}
	}
	batch->id = 0;
}

/**
 * plug_transfer_handle_committed() - end the batch that a target has answered
 * @transfer: transfer
 * @now: current time
 * @sender: target
 * @committed: message
 *
 * Flows resume only when the instance that prepared the batch reports the batch
 * as dropped: a later instance at the same address can't know whether the batch
 * was taken over.
 */
void
plug_transfer_handle_committed(struct plug_transfer *transfer, plug_time now,
    const Plug__Sender *sender, const Plug__Committed *committed)
{
	const struct plug_endpoint from = { sender->address,
		(uint16_t)sender->port };
	struct plug_outgoing_batch *batch =
	    find_outgoing(transfer, committed->batch, from);

	if (batch == NULL || !batch->committed)
		return;
	if (committed->known)
		end_batch(transfer, now, batch, BATCH_TAKEN_OVER);
	else if (committed->dropped &&
		 sender->instance == batch->target_instance)
		end_batch(transfer, now, batch, BATCH_DROPPED);
	else
		end_batch(transfer, now, batch, BATCH_UNKNOWN);
}

static void
resend_prepare(struct plug_transfer *transfer, plug_time now,
    struct plug_outgoing_batch *batch)
{
	batch->last_sent_at = now;
	send_prepare(transfer, batch);
}

/**
 * plug_transfer_source_tick() - resend messages and end outgoing batches
 * @transfer: transfer
 * @now: current time
 * @is_listed: returns whether the instance list holds an address
 * @data: first argument of @is_listed
 *
 * A batch ends when its target leaves the instance list or, before COMMIT, when
 * PREPARE times out.
 */
void
plug_transfer_source_tick(struct plug_transfer *transfer, plug_time now,
    bool (*is_listed)(const void *data, struct plug_endpoint endpoint),
    const void *data)
{
	for (unsigned int i = 0; i < PLUG_OUTGOING_BATCHES_MAX; i++) {
		struct plug_outgoing_batch *batch = &transfer->outgoing[i];

		if (batch->id == 0)
			continue;
		if (!batch->committed) {
			if (now - batch->started_at >= PREPARE_TIMEOUT ||
			    !is_listed(data, batch->target))
				abort_batch(transfer, now, batch);
			else if (now - batch->last_sent_at >= RESEND_INTERVAL)
				resend_prepare(transfer, now, batch);
		} else if (!is_listed(data, batch->target)) {
			end_batch(transfer, now, batch, BATCH_UNKNOWN);
		} else if (now - batch->last_sent_at >= RESEND_INTERVAL) {
			batch->last_sent_at = now;
			send_commit(transfer, batch);
		}
	}
}
