#include <stdlib.h>
#include <string.h>

#include "transfer.h"

#define PREPARE_TIMEOUT	 (2 * PLUG_SEC) /* then another target is tried */
#define COMMIT_INTERVAL	 (500 * PLUG_MSEC)
#define PREPARED_KEEP	 (120 * PLUG_SEC) /* with the source gone */
#define INLINE_BATCH_MAX 262144		  /* bytes of answers in one PREPARE */

/* The longest deadline of an operation, and time for the completion. */
#define ELSEWHERE_MAX (605 * PLUG_SEC)

/**
 * plug_transfer_init() - prepare a transfer that moves nothing
 * @transfer: transfer to fill; the caller sets @notify
 * @client: handlers and random numbers
 * @flows: flows of this agent
 * @sender: names this agent in messages; copied
 */
void
plug_transfer_init(struct plug_transfer *transfer, struct plug_client *client,
    struct plug_flowtable *flows, const Plug__Sender *sender)
{
	memset(transfer, 0, sizeof(*transfer));
	transfer->client = client;
	transfer->flows = flows;
	transfer->sender = *sender;
}

static void
drop_in(struct plug_transfer *transfer, struct plug_batch_in *batch)
{
	for (unsigned int i = 0; i < batch->count; i++)
		plug_flow_destroy(batch->flows[i], &transfer->flows->answers);
	batch->count = 0;
	batch->id = 0;
}

/**
 * plug_transfer_reset() - forget all moves in progress
 * @transfer: transfer; the flows of the source side stay in the table
 */
void
plug_transfer_reset(struct plug_transfer *transfer)
{
	for (unsigned int i = 0; i < PLUG_BATCHES_IN; i++)
		drop_in(transfer, &transfer->in[i]);
	for (unsigned int i = 0; i < PLUG_BATCHES_OUT; i++)
		transfer->out[i].id = 0;
}

/**
 * plug_transfer_finish() - free the prepared flows
 * @transfer: transfer
 */
void
plug_transfer_finish(struct plug_transfer *transfer)
{
	plug_transfer_reset(transfer);
}

static void
notify(struct plug_transfer *transfer, plug_time now,
    enum plug_transfer_note note, struct plug_flow *flow,
    struct plug_request *request)
{
	if (transfer->notify != NULL)
		transfer->notify(
		    transfer->notify_data, now, note, flow, request);
}

static void
send_message(const struct plug_transfer *transfer, struct plug_endpoint target,
    Plug__Message *message)
{
	const struct plug_action action = {
		.kind = PLUG_ACTION_PEER,
		.peer = { target, message },
	};
	Plug__Sender sender = transfer->sender;

	message->sender = &sender;
	plug_client_emit(transfer->client, &action);
	message->sender = NULL;
}

/**
 * plug_transfer_ready() - whether a further batch can be handed away
 * @transfer: transfer
 */
bool
plug_transfer_ready(const struct plug_transfer *transfer)
{
	for (unsigned int i = 0; i < PLUG_BATCHES_OUT; i++) {
		if (transfer->out[i].id == 0)
			return true;
	}
	return false;
}

/**
 * plug_transfer_busy() - whether a batch is on its way
 * @transfer: transfer
 */
bool
plug_transfer_busy(const struct plug_transfer *transfer)
{
	for (unsigned int i = 0; i < PLUG_BATCHES_OUT; i++) {
		if (transfer->out[i].id != 0)
			return true;
	}
	return false;
}

/* Memory of one PREPARE message; large, so it is allocated for the call. */
struct prepare_buffers {
	Plug__FlowRecord records[PLUG_BATCH_FLOWS];
	Plug__FlowRecord *record_pointers[PLUG_BATCH_FLOWS];
	Plug__RequestRecord requests[PLUG_BATCH_FLOWS][PLUG_FLOW_WINDOW];
	Plug__RequestRecord *pointers[PLUG_BATCH_FLOWS][PLUG_FLOW_WINDOW];
	size_t inline_bytes;
};

/*
 * Fills the record of one request. Returns false when it is left out: an
 * idempotent request whose answer was dropped may run again anywhere.
 */
static bool
put_request(struct prepare_buffers *buffers, struct plug_request *request,
    Plug__RequestRecord *record)
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
		if (!request->is_stored)
			return !request->idempotent;
		if (request->len > PLUG_INLINE_ANSWER_MAX ||
		    buffers->inline_bytes + request->len > INLINE_BATCH_MAX)
			break;
		buffers->inline_bytes += request->len;
		record->state = PLUG__REQUEST_STATE__REQUEST_DONE;
		record->answer.data = request->data;
		record->answer.len = request->len;
		return true;
	}
	record->state = PLUG__REQUEST_STATE__REQUEST_RUNNING_ELSEWHERE;
	request->is_owed = true;
	return true;
}

static void
put_flow(struct prepare_buffers *buffers, unsigned int at,
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
	record->requests = buffers->pointers[at];
	for (unsigned int i = 0; i < PLUG_FLOW_WINDOW; i++) {
		size_t n = record->n_requests;

		if (flow->window[i] == NULL ||
		    !put_request(
			buffers, flow->window[i], &buffers->requests[at][n]))
			continue;
		buffers->pointers[at][n] = &buffers->requests[at][n];
		record->n_requests++;
	}
}

/**
 * plug_transfer_begin() - freeze flows and offer them to a sibling
 * @transfer: transfer
 * @now: time
 * @target: address of the sibling
 * @flows: open flows without waiting requests
 * @count: length of @flows; at most PLUG_BATCH_FLOWS are taken
 *
 * Return: flows taken; 0 when too many batches are on their way or memory ran
 * out.
 */
unsigned int
plug_transfer_begin(struct plug_transfer *transfer, plug_time now,
    struct plug_endpoint target, struct plug_flow *const *flows,
    unsigned int count)
{
	Plug__Message message = PLUG__MESSAGE__INIT;
	Plug__Prepare prepare = PLUG__PREPARE__INIT;
	struct plug_batch_out *batch = NULL;
	struct prepare_buffers *buffers;

	for (unsigned int i = 0; i < PLUG_BATCHES_OUT; i++) {
		if (transfer->out[i].id == 0)
			batch = &transfer->out[i];
	}
	if (batch == NULL || count == 0)
		return 0;
	buffers = calloc(1, sizeof(*buffers));
	if (buffers == NULL)
		return 0;
	if (count > PLUG_BATCH_FLOWS)
		count = PLUG_BATCH_FLOWS;
	*batch = (struct plug_batch_out){
		.id = plug_client_random_id(transfer->client),
		.target = target,
		.started = now,
		.sent = now,
		.count = count,
	};
	for (unsigned int i = 0; i < count; i++) {
		batch->flows[i] = flows[i]->id;
		flows[i]->peer = target;
		flows[i]->batch = batch->id;
		plug_flowtable_set_state(
		    transfer->flows, flows[i], PLUG_FLOW_FROZEN, now);
		put_flow(buffers, i, flows[i]);
	}
	prepare.batch = batch->id;
	prepare.n_flows = count;
	prepare.flows = buffers->record_pointers;
	message.body_case = PLUG__MESSAGE__BODY_PREPARE;
	message.prepare = &prepare;
	send_message(transfer, target, &message);
	free(buffers);
	return count;
}

/* The flow of a batch, unless it has been closed meanwhile. */
static struct plug_flow *
batch_flow(const struct plug_transfer *transfer,
    const struct plug_batch_out *batch, unsigned int at)
{
	struct plug_flow *flow =
	    plug_flowtable_find(transfer->flows, batch->flows[at]);

	return flow != NULL && flow->batch == batch->id ? flow : NULL;
}

static void
resume(struct plug_transfer *transfer, plug_time now, struct plug_flow *flow)
{
	for (unsigned int i = 0; i < PLUG_FLOW_WINDOW; i++) {
		if (flow->window[i] != NULL)
			flow->window[i]->is_owed = false;
	}
	flow->batch = 0;
	plug_flowtable_set_state(transfer->flows, flow, PLUG_FLOW_OPEN, now);
	notify(transfer, now, PLUG_TRANSFER_RESUMED, flow, NULL);
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
	send_message(transfer, target, &message);
}

static void
abort_batch(
    struct plug_transfer *transfer, plug_time now, struct plug_batch_out *batch)
{
	send_abort(transfer, batch->target, batch->id);
	for (unsigned int i = 0; i < batch->count; i++) {
		struct plug_flow *flow = batch_flow(transfer, batch, i);

		if (flow != NULL && flow->state == PLUG_FLOW_FROZEN)
			resume(transfer, now, flow);
	}
	batch->id = 0;
}

static size_t
put_refused(const struct plug_flow *flow, Plug__RefusedRequest *refused)
{
	size_t count = 0;

	for (unsigned int i = 0; i < PLUG_FLOW_WINDOW; i++) {
		const struct plug_request *request = flow->window[i];

		if (request == NULL || !request->is_owed ||
		    request->state != PLUG_REQUEST_REFUSED)
			continue;
		plug__refused_request__init(&refused[count]);
		refused[count].flow = flow->id;
		refused[count].xid = request->xid;
		count++;
	}
	return count;
}

/* A COMMIT that can't be built is sent with the next tick. */
static void
send_commit(struct plug_transfer *transfer, struct plug_batch_out *batch)
{
	const size_t max = (size_t)batch->count * PLUG_FLOW_WINDOW;
	Plug__RefusedRequest *refused = calloc(max, sizeof(*refused));
	Plug__RefusedRequest **pointers =
	    calloc(max, sizeof(Plug__RefusedRequest *));
	Plug__Message message = PLUG__MESSAGE__INIT;
	Plug__Commit commit = PLUG__COMMIT__INIT;

	if (refused != NULL && pointers != NULL) {
		for (unsigned int i = 0; i < batch->count; i++) {
			struct plug_flow *flow = batch_flow(transfer, batch, i);

			if (flow != NULL)
				commit.n_refused += put_refused(
				    flow, refused + commit.n_refused);
		}
		for (size_t i = 0; i < commit.n_refused; i++)
			pointers[i] = &refused[i];
		commit.batch = batch->id;
		commit.refused = pointers;
		message.body_case = PLUG__MESSAGE__BODY_COMMIT;
		message.commit = &commit;
		send_message(transfer, batch->target, &message);
	}
	free(pointers);
	free(refused);
}

static struct plug_batch_out *
find_out(
    struct plug_transfer *transfer, uint64_t id, struct plug_endpoint target)
{
	for (unsigned int i = 0; i < PLUG_BATCHES_OUT; i++) {
		if (id != 0 && transfer->out[i].id == id &&
		    plug_endpoint_equal(transfer->out[i].target, target))
			return &transfer->out[i];
	}
	return NULL;
}

static bool
accepted(const Plug__Prepared *prepared, uint64_t flow)
{
	for (size_t i = 0; i < prepared->n_flows; i++) {
		if (prepared->flows[i] == flow)
			return true;
	}
	return false;
}

static void
handle_prepared(struct plug_transfer *transfer, plug_time now,
    struct plug_endpoint from, const Plug__Prepared *prepared)
{
	struct plug_batch_out *batch =
	    find_out(transfer, prepared->batch, from);
	unsigned int kept = 0;

	if (batch == NULL) {
		/* Aborted; the first ABORT may have been lost. */
		send_abort(transfer, from, prepared->batch);
		return;
	}
	if (batch->committed)
		return;
	for (unsigned int i = 0; i < batch->count; i++) {
		struct plug_flow *flow = batch_flow(transfer, batch, i);

		if (flow == NULL || flow->state != PLUG_FLOW_FROZEN)
			continue;
		if (!accepted(prepared, flow->id)) {
			resume(transfer, now, flow);
			continue;
		}
		plug_flowtable_set_state(
		    transfer->flows, flow, PLUG_FLOW_COMMITTING, now);
		batch->flows[kept++] = flow->id;
	}
	batch->count = kept;
	if (kept == 0) {
		send_abort(transfer, from, batch->id);
		batch->id = 0;
		return;
	}
	batch->committed = true;
	batch->started = now;
	batch->sent = now;
	send_commit(transfer, batch);
}

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
	send_message(transfer, flow->peer, &message);
}

/**
 * plug_transfer_ended() - a request of a flow that leaves or has left ended
 * @transfer: transfer
 * @flow: flow in any state
 * @request: request in a final state
 *
 * Until COMMIT is confirmed the outcome is only marked as owed.
 */
void
plug_transfer_ended(struct plug_transfer *transfer,
    const struct plug_flow *flow, const struct plug_request *request)
{
	struct plug_request *own = plug_flow_find(flow, request->xid);

	if (own == NULL)
		return;
	switch (flow->state) {
	case PLUG_FLOW_FROZEN:
	case PLUG_FLOW_COMMITTING:
		own->is_owed = true;
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
 * plug_transfer_renewed() - the caller of a flow taken over uses its new token
 * @transfer: transfer
 * @flow: flow
 *
 * Tells the previous owner, which may stop when it forwards for nobody.
 */
void
plug_transfer_renewed(
    struct plug_transfer *transfer, const struct plug_flow *flow)
{
	send_completion(transfer, flow, NULL);
}

static void
moved(struct plug_transfer *transfer, plug_time now, struct plug_flow *flow)
{
	flow->token_used = false;
	plug_flowtable_set_state(transfer->flows, flow, PLUG_FLOW_MOVED, now);
	for (unsigned int i = 0; i < PLUG_FLOW_WINDOW; i++) {
		const struct plug_request *request = flow->window[i];

		if (request != NULL && request->is_owed &&
		    plug_request_final(request))
			send_completion(transfer, flow, request);
	}
	notify(transfer, now, PLUG_TRANSFER_MOVED, flow, NULL);
}

static void
end_batch(struct plug_transfer *transfer, plug_time now,
    struct plug_batch_out *batch, bool taken)
{
	for (unsigned int i = 0; i < batch->count; i++) {
		struct plug_flow *flow = batch_flow(transfer, batch, i);

		if (flow == NULL || flow->state != PLUG_FLOW_COMMITTING)
			continue;
		if (taken)
			moved(transfer, now, flow);
		else
			notify(transfer, now, PLUG_TRANSFER_LOST, flow, NULL);
	}
	batch->id = 0;
}

static void
handle_committed(struct plug_transfer *transfer, plug_time now,
    struct plug_endpoint from, const Plug__Committed *committed)
{
	struct plug_batch_out *batch =
	    find_out(transfer, committed->batch, from);

	if (batch != NULL && batch->committed)
		end_batch(transfer, now, batch, committed->known);
}

static struct plug_batch_in *
find_in(struct plug_transfer *transfer, uint64_t id, uint64_t instance)
{
	for (unsigned int i = 0; i < PLUG_BATCHES_IN; i++) {
		if (id != 0 && transfer->in[i].id == id &&
		    transfer->in[i].instance == instance)
			return &transfer->in[i];
	}
	return NULL;
}

/* A free place, or that of a batch whose source has given it up long ago. */
static struct plug_batch_in *
place_in(struct plug_transfer *transfer, plug_time now)
{
	struct plug_batch_in *oldest = &transfer->in[0];

	for (unsigned int i = 0; i < PLUG_BATCHES_IN; i++) {
		if (transfer->in[i].id == 0)
			return &transfer->in[i];
		if (transfer->in[i].received < oldest->received)
			oldest = &transfer->in[i];
	}
	if (now - oldest->received < PREPARED_KEEP)
		return NULL;
	drop_in(transfer, oldest);
	return oldest;
}

/* Adds a request as the source recorded it. */
static bool
take_request(struct plug_transfer *transfer, plug_time now,
    struct plug_flow *flow, const Plug__RequestRecord *record)
{
	const struct plug_str answer = { (const char *)record->answer.data,
		record->answer.len };
	struct plug_request *request;

	if (plug_flow_check(flow, record->xid) != PLUG_OK ||
	    plug_flow_find(flow, record->xid) != NULL)
		return false;
	request = plug_flow_add(flow, record->xid, 0, record->idempotent);
	if (request == NULL)
		return false;
	switch (record->state) {
	case PLUG__REQUEST_STATE__REQUEST_REFUSED:
		plug_request_end(request, PLUG_REQUEST_REFUSED, now);
		return true;
	case PLUG__REQUEST_STATE__REQUEST_RUNNING_ELSEWHERE:
		plug_request_end(request, PLUG_REQUEST_ELSEWHERE, now);
		request->expires = now + ELSEWHERE_MAX;
		return true;
	case PLUG__REQUEST_STATE__REQUEST_DONE:
		(void)plug_request_store(
		    request, &transfer->flows->answers, answer, now);
		return true;
	default:
		/* A state of a later version is not known to be harmless. */
		plug_request_end(request, PLUG_REQUEST_UNKNOWN, now);
		return true;
	}
}

/* A record that can't be kept whole is refused, since a missing xid could run
 * twice. */
static struct plug_flow *
take_flow(struct plug_transfer *transfer, plug_time now,
    const Plug__FlowRecord *record)
{
	struct plug_flow *flow = plug_flow_create(record->flow, now);

	if (flow == NULL)
		return NULL;
	flow->generation = (uint16_t)(record->generation + 1);
	flow->floor = record->floor > 0 ? record->floor : 1;
	flow->caller.address = record->caller_address;
	flow->caller.port = (uint16_t)record->caller_port;
	for (size_t i = 0; i < record->n_requests; i++) {
		if (!take_request(transfer, now, flow, record->requests[i])) {
			plug_flow_destroy(flow, &transfer->flows->answers);
			return NULL;
		}
	}
	return flow;
}

/* Flows that have been moved away before may come back when nothing of them
 * runs here any more. */
static bool
may_take(const struct plug_transfer *transfer, const Plug__FlowRecord *record,
    unsigned int reserved)
{
	const struct plug_flow *flow =
	    plug_flowtable_find(transfer->flows, record->flow);

	if (transfer->flows->open + reserved >= transfer->flows->limit ||
	    record->generation >= UINT16_MAX)
		return false;
	if (flow == NULL)
		return true;
	if (flow->state != PLUG_FLOW_MOVED)
		return false;
	for (unsigned int i = 0; i < PLUG_FLOW_WINDOW; i++) {
		if (flow->window[i] != NULL && flow->window[i]->is_running)
			return false;
	}
	return true;
}

static void
send_prepared(const struct plug_transfer *transfer, struct plug_endpoint source,
    uint64_t id, const struct plug_batch_in *batch)
{
	Plug__Message message = PLUG__MESSAGE__INIT;
	Plug__Prepared prepared = PLUG__PREPARED__INIT;
	uint64_t flows[PLUG_BATCH_FLOWS];

	prepared.batch = id;
	prepared.flows = flows;
	for (unsigned int i = 0; batch != NULL && i < batch->count; i++)
		flows[prepared.n_flows++] = batch->flows[i]->id;
	message.body_case = PLUG__MESSAGE__BODY_PREPARED;
	message.prepared = &prepared;
	send_message(transfer, source, &message);
}

/* Takes the flow out of an older batch whose ABORT was lost. */
static void
forget_prepared(struct plug_transfer *transfer, uint64_t id)
{
	for (unsigned int i = 0; i < PLUG_BATCHES_IN; i++) {
		struct plug_batch_in *batch = &transfer->in[i];

		for (unsigned int j = 0; batch->id != 0 && j < batch->count;
		     j++) {
			if (batch->flows[j]->id != id)
				continue;
			plug_flow_destroy(
			    batch->flows[j], &transfer->flows->answers);
			batch->flows[j] = batch->flows[--batch->count];
			break;
		}
		if (batch->count == 0)
			batch->id = 0;
	}
}

static unsigned int
prepared_count(const struct plug_transfer *transfer)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < PLUG_BATCHES_IN; i++)
		count += transfer->in[i].count;
	return count;
}

static struct plug_flow *
find_in_batch(const struct plug_batch_in *batch, uint64_t id)
{
	for (unsigned int i = 0; i < batch->count; i++) {
		if (batch->flows[i]->id == id)
			return batch->flows[i];
	}
	return NULL;
}

static void
handle_prepare(struct plug_transfer *transfer, plug_time now,
    const Plug__Sender *sender, const Plug__Prepare *prepare, bool accepting)
{
	const struct plug_endpoint source = { sender->address,
		(uint16_t)sender->port };
	struct plug_batch_in *batch =
	    find_in(transfer, prepare->batch, sender->instance);

	if (batch != NULL) {
		send_prepared(transfer, source, prepare->batch, batch);
		return;
	}
	if (accepting && prepare->batch != 0)
		batch = place_in(transfer, now);
	if (batch == NULL) {
		send_prepared(transfer, source, prepare->batch, NULL);
		return;
	}
	*batch = (struct plug_batch_in){
		.source = source,
		.instance = sender->instance,
		.received = now,
	};
	for (size_t i = 0;
	     i < prepare->n_flows && batch->count < PLUG_BATCH_FLOWS; i++) {
		const Plug__FlowRecord *record = prepare->flows[i];
		struct plug_flow *flow;

		forget_prepared(transfer, record->flow);
		if (find_in_batch(batch, record->flow) != NULL ||
		    !may_take(transfer, record, prepared_count(transfer)))
			continue;
		flow = take_flow(transfer, now, record);
		if (flow == NULL)
			continue;
		flow->peer = source;
		flow->batch = prepare->batch;
		batch->flows[batch->count++] = flow;
	}
	send_prepared(transfer, source, prepare->batch, batch);
	if (batch->count > 0)
		batch->id = prepare->batch;
}

static void
send_committed(const struct plug_transfer *transfer,
    struct plug_endpoint source, uint64_t id, bool known)
{
	Plug__Message message = PLUG__MESSAGE__INIT;
	Plug__Committed committed = PLUG__COMMITTED__INIT;

	committed.batch = id;
	committed.known = known;
	message.body_case = PLUG__MESSAGE__BODY_COMMITTED;
	message.committed = &committed;
	send_message(transfer, source, &message);
}

/* Returns false when memory ran out, so that the flow can't be taken. */
static bool
take_refused(plug_time now, struct plug_flow *flow, uint32_t xid)
{
	struct plug_request *request = plug_flow_find(flow, xid);

	if (plug_flow_check(flow, xid) != PLUG_OK)
		return true;
	if (request == NULL)
		request = plug_flow_add(flow, xid, 0, false);
	if (request == NULL)
		return false;
	if (!plug_request_final(request))
		plug_request_end(request, PLUG_REQUEST_REFUSED, now);
	return true;
}

static bool
remembers_commit(const struct plug_transfer *transfer, uint64_t id)
{
	for (unsigned int i = 0; i < PLUG_COMMITS_MAX; i++) {
		if (id != 0 && transfer->commits[i] == id)
			return true;
	}
	return false;
}

static void
handle_commit(struct plug_transfer *transfer, plug_time now,
    const Plug__Sender *sender, const Plug__Commit *commit)
{
	const struct plug_endpoint source = { sender->address,
		(uint16_t)sender->port };
	struct plug_batch_in *batch =
	    find_in(transfer, commit->batch, sender->instance);

	if (batch == NULL) {
		send_committed(transfer, source, commit->batch,
		    remembers_commit(transfer, commit->batch));
		return;
	}
	for (size_t i = 0; i < commit->n_refused; i++) {
		struct plug_flow *flow =
		    find_in_batch(batch, commit->refused[i]->flow);

		/* The source repeats COMMIT until it is confirmed. */
		if (flow != NULL &&
		    !take_refused(now, flow, commit->refused[i]->xid))
			return;
	}
	for (unsigned int i = 0; i < batch->count; i++) {
		struct plug_flow *flow = batch->flows[i];
		struct plug_flow *old =
		    plug_flowtable_find(transfer->flows, flow->id);

		if (old != NULL)
			plug_flowtable_remove(transfer->flows, old);
		flow->seen = now;
		plug_flowtable_insert(transfer->flows, flow);
		notify(transfer, now, PLUG_TRANSFER_TAKEN, flow, NULL);
	}
	transfer->commits[transfer->commit_next++ % PLUG_COMMITS_MAX] =
	    commit->batch;
	batch->count = 0;
	batch->id = 0;
	send_committed(transfer, source, commit->batch, true);
}

static struct plug_flow *
find_prepared(const struct plug_transfer *transfer, uint64_t id,
    const struct plug_batch_in **batch)
{
	for (unsigned int i = 0; i < PLUG_BATCHES_IN; i++) {
		struct plug_flow *flow;

		if (transfer->in[i].id == 0)
			continue;
		flow = find_in_batch(&transfer->in[i], id);
		if (flow != NULL) {
			*batch = &transfer->in[i];
			return flow;
		}
	}
	return NULL;
}

/**
 * plug_transfer_prepared() - find a flow that waits for its COMMIT
 * @transfer: transfer
 * @id: flow id
 * @source: result, address of the source
 *
 * Return: the flow or NULL.
 */
const struct plug_flow *
plug_transfer_prepared(const struct plug_transfer *transfer, uint64_t id,
    struct plug_endpoint *source)
{
	const struct plug_batch_in *batch;
	const struct plug_flow *flow = find_prepared(transfer, id, &batch);

	if (flow != NULL)
		*source = batch->source;
	return flow;
}

static void
handle_completion(struct plug_transfer *transfer, plug_time now,
    struct plug_endpoint from, const Plug__Completion *completion)
{
	const struct plug_str answer = { (const char *)completion->answer.data,
		completion->answer.len };
	struct plug_flow *flow =
	    plug_flowtable_find(transfer->flows, completion->flow);
	struct plug_request *request;

	if (flow == NULL)
		return;
	if (completion->xid == 0) {
		if (flow->state != PLUG_FLOW_MOVED ||
		    !plug_endpoint_equal(flow->peer, from))
			return;
		flow->token_used = true;
		notify(transfer, now, PLUG_TRANSFER_RENEWED, flow, NULL);
		return;
	}
	request = plug_flow_find(flow, completion->xid);
	if (request == NULL || request->state != PLUG_REQUEST_ELSEWHERE)
		return;
	request->idempotent = completion->idempotent;
	if (completion->outcome == PLUG_OUTCOME_DONE)
		(void)plug_request_store(
		    request, &transfer->flows->answers, answer, now);
	else if (completion->outcome == PLUG_OUTCOME_NOT_RUN)
		plug_request_end(request, PLUG_REQUEST_REFUSED, now);
	else
		plug_request_end(request, PLUG_REQUEST_UNKNOWN, now);
	notify(transfer, now, PLUG_TRANSFER_ENDED, flow, request);
	/* The flow may have been moved on before the request ended. */
	plug_transfer_ended(transfer, flow, request);
}

/**
 * plug_transfer_handle() - act on a message of a sibling
 * @transfer: transfer
 * @now: time
 * @message: message of the own service; other kinds are ignored
 * @accepting: flows may be taken over
 */
void
plug_transfer_handle(struct plug_transfer *transfer, plug_time now,
    const Plug__Message *message, bool accepting)
{
	const Plug__Sender *sender = message->sender;
	const struct plug_endpoint from = { sender->address,
		(uint16_t)sender->port };
	struct plug_batch_in *batch;

	switch (message->body_case) {
	case PLUG__MESSAGE__BODY_PREPARE:
		handle_prepare(
		    transfer, now, sender, message->prepare, accepting);
		return;
	case PLUG__MESSAGE__BODY_PREPARED:
		handle_prepared(transfer, now, from, message->prepared);
		return;
	case PLUG__MESSAGE__BODY_COMMIT:
		handle_commit(transfer, now, sender, message->commit);
		return;
	case PLUG__MESSAGE__BODY_COMMITTED:
		handle_committed(transfer, now, from, message->committed);
		return;
	case PLUG__MESSAGE__BODY_ABORT:
		batch =
		    find_in(transfer, message->abort->batch, sender->instance);
		if (batch != NULL)
			drop_in(transfer, batch);
		return;
	case PLUG__MESSAGE__BODY_COMPLETION:
		handle_completion(transfer, now, from, message->completion);
		return;
	default:
		return;
	}
}

/**
 * plug_transfer_tick() - repeat messages and give up moves
 * @transfer: transfer
 * @now: time
 * @listed: whether the instance list shows an address
 * @data: first argument of @listed
 *
 * COMMIT is repeated to the same target until it is confirmed or the instance
 * list no longer shows the target.
 */
void
plug_transfer_tick(struct plug_transfer *transfer, plug_time now,
    bool (*listed)(const void *data, struct plug_endpoint endpoint),
    const void *data)
{
	for (unsigned int i = 0; i < PLUG_BATCHES_OUT; i++) {
		struct plug_batch_out *batch = &transfer->out[i];

		if (batch->id == 0)
			continue;
		if (!batch->committed) {
			if (now - batch->started >= PREPARE_TIMEOUT ||
			    !listed(data, batch->target))
				abort_batch(transfer, now, batch);
		} else if (!listed(data, batch->target)) {
			end_batch(transfer, now, batch, false);
		} else if (now - batch->sent >= COMMIT_INTERVAL) {
			batch->sent = now;
			send_commit(transfer, batch);
		}
	}
	for (unsigned int i = 0; i < PLUG_BATCHES_IN; i++) {
		struct plug_batch_in *batch = &transfer->in[i];

		if (batch->id != 0 && now - batch->received >= PREPARED_KEEP &&
		    !listed(data, batch->source))
			drop_in(transfer, batch);
	}
}
