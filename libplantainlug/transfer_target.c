#include "transfer_internal.h"

#define PREPARED_KEEP (120 * PLUG_SEC) /* with the source gone */

/* The longest deadline of an operation, and time for the completion. */
#define ELSEWHERE_MAX (605 * PLUG_SEC)

static void
remember_end(struct plug_transfer *transfer, uint64_t id, bool taken)
{
	transfer->results[transfer->next_result++ % PLUG_BATCH_RESULTS_MAX] =
	    (struct plug_batch_result){ id, taken };
}

static const struct plug_batch_result *
find_end(const struct plug_transfer *transfer, uint64_t id)
{
	for (unsigned int i = 0; i < PLUG_BATCH_RESULTS_MAX; i++) {
		if (id != 0 && transfer->results[i].id == id)
			return &transfer->results[i];
	}
	return NULL;
}

/**
 * plug_transfer_drop_incoming() - forget a batch that was prepared
 * @transfer: transfer
 * @batch: batch; its flows are freed
 */
void
plug_transfer_drop_incoming(
    struct plug_transfer *transfer, struct plug_incoming_batch *batch)
{
	for (unsigned int i = 0; i < batch->flow_count; i++)
		plug_flow_destroy(batch->flows[i], &transfer->flows->answers);
	if (batch->id != 0)
		remember_end(transfer, batch->id, false);
	batch->flow_count = 0;
	batch->id = 0;
}

/**
 * plug_transfer_find_incoming() - find a batch that was prepared
 * @transfer: transfer
 * @id: batch id
 * @instance: instance id of the source
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

/* A free place, or that of a batch whose source has given it up long ago. */
static struct plug_incoming_batch *
place_in(struct plug_transfer *transfer, plug_time now)
{
	struct plug_incoming_batch *oldest = &transfer->incoming[0];

	for (unsigned int i = 0; i < PLUG_INCOMING_BATCHES_MAX; i++) {
		if (transfer->incoming[i].id == 0)
			return &transfer->incoming[i];
		if (transfer->incoming[i].received_at < oldest->received_at)
			oldest = &transfer->incoming[i];
	}
	if (now - oldest->received_at < PREPARED_KEEP)
		return NULL;
	plug_transfer_drop_incoming(transfer, oldest);
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
		request->elsewhere_deadline = now + ELSEWHERE_MAX;
		return true;
	case PLUG__REQUEST_STATE__REQUEST_DONE:
		(void)plug_request_store_answer(
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

	if (transfer->flows->open_count + reserved >=
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

/* Takes the flow out of an older batch whose ABORT was lost. */
static void
forget_prepared(struct plug_transfer *transfer, uint64_t id)
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
prepared_count(const struct plug_transfer *transfer)
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
 * plug_transfer_handle_prepare() - hold flows until their COMMIT
 * @transfer: transfer
 * @now: time
 * @sender: source
 * @prepare: message
 * @accepting: flows may be taken over
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
	/* A late PREPARE must not bring back flows that have moved on. */
	if (find_end(transfer, prepare->batch) != NULL)
		return;
	if (accepting && prepare->batch != 0)
		batch = place_in(transfer, now);
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

		forget_prepared(transfer, record->flow);
		if (find_in_batch(batch, record->flow) != NULL ||
		    !may_take(transfer, record, prepared_count(transfer)))
			continue;
		flow = take_flow(transfer, now, record);
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
	const struct plug_batch_result *end = find_end(transfer, id);
	Plug__Message message = PLUG__MESSAGE__INIT;
	Plug__Committed committed = PLUG__COMMITTED__INIT;

	committed.batch = id;
	committed.known = end != NULL && end->taken_over;
	committed.dropped = end != NULL && !end->taken_over;
	message.body_case = PLUG__MESSAGE__BODY_COMMITTED;
	message.committed = &committed;
	plug_transfer_send(transfer, source, &message);
}

/* Returns false when memory ran out, so that the flow can't be taken. */
static bool
take_refused(plug_time now, struct plug_flow *flow, uint32_t xid)
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
 * plug_transfer_handle_commit() - become the owner of prepared flows
 * @transfer: transfer
 * @now: time
 * @sender: source
 * @commit: message; a repeated one is confirmed again
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

		/* The source repeats COMMIT until it is confirmed. */
		if (flow != NULL &&
		    !take_refused(now, flow, commit->refused[i]->xid))
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
	remember_end(transfer, commit->batch, true);
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
 * plug_transfer_find_prepared() - find a flow that waits for its COMMIT
 * @transfer: transfer
 * @id: flow id
 * @source: result, address of the source
 *
 * Return: the flow or NULL.
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
 * plug_transfer_handle_completion() - a request at the previous owner has ended
 * @transfer: transfer
 * @now: time
 * @from: address of the sender
 * @completion: message; with xid 0 the sender is the new owner
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
	/* The flow may have been moved on before the request ended. */
	plug_transfer_request_ended(transfer, flow, request);
}

/**
 * plug_transfer_target_tick() - forget prepared flows whose source has gone
 * @transfer: transfer
 * @now: time
 * @listed: whether the instance list shows an address
 * @data: first argument of @listed
 */
void
plug_transfer_target_tick(struct plug_transfer *transfer, plug_time now,
    bool (*listed)(const void *data, struct plug_endpoint endpoint),
    const void *data)
{
	for (unsigned int i = 0; i < PLUG_INCOMING_BATCHES_MAX; i++) {
		struct plug_incoming_batch *batch = &transfer->incoming[i];

		if (batch->id != 0 &&
		    now - batch->received_at >= PREPARED_KEEP &&
		    !listed(data, batch->source))
			plug_transfer_drop_incoming(transfer, batch);
	}
}
