#include "transfer_internal.h"

/* How long a prepared batch waits for COMMIT or ABORT. After that it is dropped
 * when its source has left the instance list or its entry is needed. */
#define PREPARED_TIMEOUT (120 * PLUG_SEC)

/* How long the outcome of a request that runs at the source is waited for: the
 * longest deadline of an operation, plus 5 s for its COMPLETION to arrive. When
 * the caller resends the request after that, it ends as unknown. */
#define RUNNING_ELSEWHERE_MAX (605 * PLUG_SEC)

static void
record_result(struct plug_transfer *transfer, uint64_t id, bool taken_over)
{
	transfer->results[transfer->next_result++ % PLUG_BATCH_RESULTS_MAX] =
	    (struct plug_batch_result){ id, taken_over };
}

static const struct plug_batch_result *
find_result(const struct plug_transfer *transfer, uint64_t id)
{
	for (unsigned int i = 0; i < PLUG_BATCH_RESULTS_MAX; i++) {
		if (id != 0 && transfer->results[i].id == id)
			return &transfer->results[i];
	}
	return NULL;
}

/**
 * plug_transfer_drop_incoming() - drop a prepared batch and record the result
 * @transfer: transfer
 * @batch: batch, whose flows are freed; nothing happens when it is unused
 */
void
plug_transfer_drop_incoming(
    struct plug_transfer *transfer, struct plug_incoming_batch *batch)
{
	for (unsigned int i = 0; i < batch->flow_count; i++)
		plug_flow_destroy(batch->flows[i], &transfer->flows->answers);
	if (batch->id != 0)
		record_result(transfer, batch->id, false);
	batch->flow_count = 0;
	batch->id = 0;
}

/**
 * plug_transfer_find_incoming() - find a prepared batch
 * @transfer: transfer
 * @id: batch id; 0 finds nothing
 * @instance: instance id of the source
 *
 * Return: the batch, or NULL.
 */
struct plug_incoming_batch *
plug_transfer_find_incoming(
    struct plug_transfer *transfer, uint64_t id, uint64_t instance)
{
	for (unsigned int i = 0; i < PLUG_INCOMING_BATCHES_MAX; i++) {
		if (id != 0 && transfer->incoming[i].id == id &&
		    transfer->incoming[i].source_instance == instance)
			return &transfer->incoming[i];
	}
	return NULL;
}

/* Returns a free entry, if need be by dropping the oldest batch when that has
 * been held for PREPARED_TIMEOUT. Otherwise returns NULL. */
static struct plug_incoming_batch *
allocate_incoming(struct plug_transfer *transfer, plug_time now)
{
	struct plug_incoming_batch *oldest = &transfer->incoming[0];

	for (unsigned int i = 0; i < PLUG_INCOMING_BATCHES_MAX; i++) {
		if (transfer->incoming[i].id == 0)
			return &transfer->incoming[i];
		if (transfer->incoming[i].received_at < oldest->received_at)
			oldest = &transfer->incoming[i];
	}
	if (now - oldest->received_at < PREPARED_TIMEOUT)
		return NULL;
	plug_transfer_drop_incoming(transfer, oldest);
	return oldest;
}

/* Adds a request as the source recorded it. Returns false when its xid is
 * outside of the window or a duplicate, or when memory runs out for the
 * request. When it runs out for the answer, the request is added as unknown. */
static bool
add_recorded_request(struct plug_transfer *transfer, plug_time now,
    struct plug_flow *flow, const Plug__RequestRecord *record)
{
	const struct plug_str answer = { (const char *)record->answer.data,
		record->answer.len };
	struct plug_request *request;

	if (plug_flow_check_xid(flow, record->xid) != PLUG_OK ||
	    plug_flow_find_request(flow, record->xid) != NULL)
		return false;
	request =
	    plug_flow_add_request(flow, record->xid, 0, record->idempotent);
	if (request == NULL)
		return false;
	switch (record->state) {
	case PLUG__REQUEST_STATE__REQUEST_REFUSED:
		plug_request_end(request, PLUG_REQUEST_REFUSED, now);
		return true;
	case PLUG__REQUEST_STATE__REQUEST_RUNNING_ELSEWHERE:
		plug_request_end(request, PLUG_REQUEST_ELSEWHERE, now);
		request->elsewhere_deadline = now + RUNNING_ELSEWHERE_MAX;
		return true;
	case PLUG__REQUEST_STATE__REQUEST_DONE:
		(void)plug_request_store_answer(
		    request, &transfer->flows->answers, answer, now);
		return true;
	default:
		/* A state that only later versions know may mean that the
		 * request has run. */
		plug_request_end(request, PLUG_REQUEST_UNKNOWN, now);
		return true;
	}
}

/* Returns NULL when memory runs out or any request of the record can't be
 * added: a request whose xid isn't recorded here could run twice. */
static struct plug_flow *
create_flow(struct plug_transfer *transfer, plug_time now,
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
		if (!add_recorded_request(
			transfer, now, flow, record->requests[i])) {
			plug_flow_destroy(flow, &transfer->flows->answers);
			return NULL;
		}
	}
	return flow;
}

/* Returns whether a flow may be prepared here. One that was moved away may
 * return once none of its requests runs here. The prepared flows of all batches
 * count towards the limit of open flows. A generation of UINT16_MAX can't be
 * raised by another move. */
static bool
can_accept(const struct plug_transfer *transfer, const Plug__FlowRecord *record,
    unsigned int prepared)
{
	const struct plug_flow *flow =
	    plug_flowtable_find(transfer->flows, record->flow);

	if (transfer->flows->open_count + prepared >=
		transfer->flows->open_limit ||
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

/* Refuses all flows when the batch is NULL. */
static void
send_prepared(const struct plug_transfer *transfer, struct plug_endpoint source,
    uint64_t id, const struct plug_incoming_batch *batch)
{
	Plug__Message message = PLUG__MESSAGE__INIT;
	Plug__Prepared prepared = PLUG__PREPARED__INIT;
	uint64_t flows[PLUG_BATCH_FLOWS_MAX];

	prepared.batch = id;
	prepared.flows = flows;
	for (unsigned int i = 0; batch != NULL && i < batch->flow_count; i++)
		flows[prepared.n_flows++] = batch->flows[i]->id;
	message.body_case = PLUG__MESSAGE__BODY_PREPARED;
	message.prepared = &prepared;
	plug_transfer_send(transfer, source, &message);
}

/* Frees a flow, given by its id, that is left in an older batch whose ABORT was
 * lost, and releases the batch when no flow remains in it. */
static void
remove_prepared(struct plug_transfer *transfer, uint64_t id)
{
	for (unsigned int i = 0; i < PLUG_INCOMING_BATCHES_MAX; i++) {
		struct plug_incoming_batch *batch = &transfer->incoming[i];

		for (unsigned int j = 0;
		     batch->id != 0 && j < batch->flow_count; j++) {
			if (batch->flows[j]->id != id)
				continue;
			plug_flow_destroy(
			    batch->flows[j], &transfer->flows->answers);
			batch->flows[j] = batch->flows[--batch->flow_count];
			break;
		}
		if (batch->flow_count == 0)
			batch->id = 0;
	}
}

static unsigned int
count_prepared(const struct plug_transfer *transfer)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < PLUG_INCOMING_BATCHES_MAX; i++)
		count += transfer->incoming[i].flow_count;
	return count;
}

static struct plug_flow *
find_in_batch(const struct plug_incoming_batch *batch, uint64_t id)
{
	for (unsigned int i = 0; i < batch->flow_count; i++) {
		if (batch->flows[i]->id == id)
			return batch->flows[i];
	}
	return NULL;
}

/**
 * plug_transfer_handle_prepare() - prepare flows and answer which were accepted
 * @transfer: transfer
 * @now: current time
 * @sender: source
 * @prepare: message; one that was resent gets the same answer while the batch
 *   waits for COMMIT, and none once the batch has ended. A batch of which no
 *   flow was accepted isn't kept, so its flows are examined again.
 * @accepting: whether flows may be accepted; if not, all are refused, as they
 *   are when no entry is free for a new batch or its id is 0
 */
void
plug_transfer_handle_prepare(struct plug_transfer *transfer, plug_time now,
    const Plug__Sender *sender, const Plug__Prepare *prepare, bool accepting)
{
	const struct plug_endpoint source = { sender->address,
		(uint16_t)sender->port };
	struct plug_incoming_batch *batch = plug_transfer_find_incoming(
	    transfer, prepare->batch, sender->instance);

	if (batch != NULL) {
		send_prepared(transfer, source, prepare->batch, batch);
		return;
	}
	/* The batch has ended: a late PREPARE must not bring back flows that
	 * were moved on since. */
	if (find_result(transfer, prepare->batch) != NULL)
		return;
	if (accepting && prepare->batch != 0)
		batch = allocate_incoming(transfer, now);
	if (batch == NULL) {
		send_prepared(transfer, source, prepare->batch, NULL);
		return;
	}
	*batch = (struct plug_incoming_batch){
		.source = source,
		.source_instance = sender->instance,
		.received_at = now,
	};
	for (size_t i = 0;
	     i < prepare->n_flows && batch->flow_count < PLUG_BATCH_FLOWS_MAX;
	     i++) {
		const Plug__FlowRecord *record = prepare->flows[i];
		struct plug_flow *flow;

		remove_prepared(transfer, record->flow);
		if (find_in_batch(batch, record->flow) != NULL ||
		    !can_accept(transfer, record, count_prepared(transfer)))
			continue;
		flow = create_flow(transfer, now, record);
		if (flow == NULL)
			continue;
		flow->peer = source;
		flow->batch_id = prepare->batch;
		batch->flows[batch->flow_count++] = flow;
	}
	send_prepared(transfer, source, prepare->batch, batch);
	if (batch->flow_count > 0)
		batch->id = prepare->batch;
}

static void
send_committed(const struct plug_transfer *transfer,
    struct plug_endpoint source, uint64_t id)
{
	const struct plug_batch_result *result = find_result(transfer, id);
	Plug__Message message = PLUG__MESSAGE__INIT;
	Plug__Committed committed = PLUG__COMMITTED__INIT;

	committed.batch = id;
	committed.known = result != NULL && result->taken_over;
	committed.dropped = result != NULL && !result->taken_over;
	message.body_case = PLUG__MESSAGE__BODY_COMMITTED;
	message.committed = &committed;
	plug_transfer_send(transfer, source, &message);
}

/* Marks a request that the source refused after PREPARE, unless its xid is
 * outside of the window or it has ended. Returns false when memory runs out;
 * the flow must not be taken over then. */
static bool
mark_refused(plug_time now, struct plug_flow *flow, uint32_t xid)
{
	struct plug_request *request = plug_flow_find_request(flow, xid);

	if (plug_flow_check_xid(flow, xid) != PLUG_OK)
		return true;
	if (request == NULL)
		request = plug_flow_add_request(flow, xid, 0, false);
	if (request == NULL)
		return false;
	if (!plug_request_is_final(request))
		plug_request_end(request, PLUG_REQUEST_REFUSED, now);
	return true;
}

/**
 * plug_transfer_handle_commit() - take over prepared flows
 * @transfer: transfer
 * @now: current time
 * @sender: source
 * @commit: message; one that was resent is answered again from the results, and
 *   one of an unknown batch as neither taken over nor dropped. None is answered
 *   when memory runs out; the batch then waits for the next COMMIT.
 */
void
plug_transfer_handle_commit(struct plug_transfer *transfer, plug_time now,
    const Plug__Sender *sender, const Plug__Commit *commit)
{
	const struct plug_endpoint source = { sender->address,
		(uint16_t)sender->port };
	struct plug_incoming_batch *batch = plug_transfer_find_incoming(
	    transfer, commit->batch, sender->instance);

	if (batch == NULL) {
		send_committed(transfer, source, commit->batch);
		return;
	}
	for (size_t i = 0; i < commit->n_refused; i++) {
		struct plug_flow *flow =
		    find_in_batch(batch, commit->refused[i]->flow);

		/* Out of memory: the source gets no answer and resends COMMIT.
		 */
		if (flow != NULL &&
		    !mark_refused(now, flow, commit->refused[i]->xid))
			return;
	}
	for (unsigned int i = 0; i < batch->flow_count; i++) {
		struct plug_flow *flow = batch->flows[i];
		struct plug_flow *old =
		    plug_flowtable_find(transfer->flows, flow->id);

		if (old != NULL)
			plug_flowtable_remove(transfer->flows, old);
		flow->last_packet_at = now;
		plug_flowtable_insert(transfer->flows, flow);
		plug_transfer_notify(
		    transfer, now, PLUG_TRANSFER_TAKEN_OVER, flow, NULL);
	}
	record_result(transfer, commit->batch, true);
	batch->flow_count = 0;
	batch->id = 0;
	send_committed(transfer, source, commit->batch);
}

static struct plug_flow *
find_prepared(const struct plug_transfer *transfer, uint64_t id,
    const struct plug_incoming_batch **batch)
{
	for (unsigned int i = 0; i < PLUG_INCOMING_BATCHES_MAX; i++) {
		struct plug_flow *flow;

		if (transfer->incoming[i].id == 0)
			continue;
		flow = find_in_batch(&transfer->incoming[i], id);
		if (flow != NULL) {
			*batch = &transfer->incoming[i];
			return flow;
		}
	}
	return NULL;
}

/**
 * plug_transfer_find_prepared() - find a flow that waits for COMMIT
 * @transfer: transfer
 * @id: flow id
 * @source: set to the address of the source when the flow is found
 *
 * Return: the flow, owned by its batch, or NULL.
 */
const struct plug_flow *
plug_transfer_find_prepared(const struct plug_transfer *transfer, uint64_t id,
    struct plug_endpoint *source)
{
	const struct plug_incoming_batch *batch;
	const struct plug_flow *flow = find_prepared(transfer, id, &batch);

	if (flow != NULL)
		*source = batch->source;
	return flow;
}

/**
 * plug_transfer_handle_completion() - store an outcome that a peer reports
 * @transfer: transfer
 * @now: current time
 * @from: address of the sender
 * @completion: message from the previous owner; with xid 0 it comes from the
 *   new owner and says that the caller uses the new token
 */
void
plug_transfer_handle_completion(struct plug_transfer *transfer, plug_time now,
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
		plug_transfer_notify(
		    transfer, now, PLUG_TRANSFER_TOKEN_USED, flow, NULL);
		return;
	}
	request = plug_flow_find_request(flow, completion->xid);
	if (request == NULL || request->state != PLUG_REQUEST_ELSEWHERE)
		return;
	request->idempotent = completion->idempotent;
	if (completion->outcome == PLUG_OUTCOME_DONE)
		(void)plug_request_store_answer(
		    request, &transfer->flows->answers, answer, now);
	else if (completion->outcome == PLUG_OUTCOME_NOT_RUN)
		plug_request_end(request, PLUG_REQUEST_REFUSED, now);
	else
		plug_request_end(request, PLUG_REQUEST_UNKNOWN, now);
	plug_transfer_notify(
	    transfer, now, PLUG_TRANSFER_REQUEST_ENDED, flow, request);
	/* The flow may have been moved on before the request ended; its next
	 * owner then waits for the outcome. */
	plug_transfer_request_ended(transfer, flow, request);
}

/**
 * plug_transfer_target_tick() - drop prepared batches whose source has gone
 * @transfer: transfer
 * @now: current time
 * @is_listed: returns whether the instance list holds an address
 * @data: first argument of @is_listed
 *
 * A batch that has waited for less than PREPARED_TIMEOUT is kept.
 */
void
plug_transfer_target_tick(struct plug_transfer *transfer, plug_time now,
    bool (*is_listed)(const void *data, struct plug_endpoint endpoint),
    const void *data)
{
	for (unsigned int i = 0; i < PLUG_INCOMING_BATCHES_MAX; i++) {
		struct plug_incoming_batch *batch = &transfer->incoming[i];

		if (batch->id != 0 &&
		    now - batch->received_at >= PREPARED_TIMEOUT &&
		    !is_listed(data, batch->source))
			plug_transfer_drop_incoming(transfer, batch);
	}
}
