#include <string.h>

#include "transfer_internal.h"

/**
 * plug_transfer_init() - initialise with no batches in progress
 * @transfer: transfer to initialise; the caller sets notify and notify_data
 *   afterwards
 * @client: emits the messages and supplies random batch ids; must outlive
 *   @transfer
 * @flows: flow table of this agent; must outlive @transfer
 * @sender: identifies this agent in messages; copied
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

/**
 * plug_transfer_reset() - drop all batches without sending a message
 * @transfer: transfer; prepared flows are freed and their batches recorded as
 *   dropped, flows of outgoing batches stay in the flow table in their current
 *   state
 */
void
plug_transfer_reset(struct plug_transfer *transfer)
{
	for (unsigned int i = 0; i < PLUG_INCOMING_BATCHES_MAX; i++)
		plug_transfer_drop_incoming(transfer, &transfer->incoming[i]);
	for (unsigned int i = 0; i < PLUG_OUTGOING_BATCHES_MAX; i++)
		transfer->outgoing[i].id = 0;
}

/**
 * plug_transfer_finish() - free what a transfer owns
 * @transfer: transfer; the flow table must still exist
 */
void
plug_transfer_finish(struct plug_transfer *transfer)
{
	plug_transfer_reset(transfer);
}

/**
 * plug_transfer_notify() - call the notify handler, if one is set
 * @transfer: transfer
 * @now: current time
 * @event: event
 * @flow: flow that it concerns; the handler may close it, except on
 *   PLUG_TRANSFER_REQUEST_ENDED, after which the flow and the request are still
 *   used
 * @request: request that ended, or NULL for events of the whole flow
 */
void
plug_transfer_notify(struct plug_transfer *transfer, plug_time now,
    enum plug_transfer_event event, struct plug_flow *flow,
    struct plug_request *request)
{
	if (transfer->notify != NULL)
		transfer->notify(
		    transfer->notify_data, now, event, flow, request);
}

/**
 * plug_transfer_send() - add the sender to a control message and emit it
 * @transfer: transfer
 * @target: address of the sibling
 * @message: message, not kept after the call; its sender is NULL again on
 *   return
 */
void
plug_transfer_send(const struct plug_transfer *transfer,
    struct plug_endpoint target, Plug__Message *message)
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
 * plug_transfer_can_begin() - check for a free outgoing batch
 * @transfer: transfer
 *
 * Return: true when plug_transfer_begin() would accept flows.
 */
bool
plug_transfer_can_begin(const struct plug_transfer *transfer)
{
	for (unsigned int i = 0; i < PLUG_OUTGOING_BATCHES_MAX; i++) {
		if (transfer->outgoing[i].id == 0)
			return true;
	}
	return false;
}

/**
 * plug_transfer_has_outgoing() - check for outgoing batches in progress
 * @transfer: transfer
 *
 * Return: true while this agent is the source of at least one batch.
 */
bool
plug_transfer_has_outgoing(const struct plug_transfer *transfer)
{
	for (unsigned int i = 0; i < PLUG_OUTGOING_BATCHES_MAX; i++) {
		if (transfer->outgoing[i].id != 0)
			return true;
	}
	return false;
}

/**
 * plug_transfer_handle() - handle a control message from a sibling
 * @transfer: transfer
 * @now: current time
 * @message: message with a sender of the same service; types that don't belong
 *   to a transfer are ignored
 * @accepting: whether new batches may be prepared; a COMMIT of a batch that was
 *   prepared before takes effect in any case
 */
void
plug_transfer_handle(struct plug_transfer *transfer, plug_time now,
    const Plug__Message *message, bool accepting)
{
	const Plug__Sender *sender = message->sender;
	const struct plug_endpoint from = { sender->address,
		(uint16_t)sender->port };
	struct plug_incoming_batch *batch;

	switch (message->body_case) {
	case PLUG__MESSAGE__BODY_PREPARE:
		plug_transfer_handle_prepare(
		    transfer, now, sender, message->prepare, accepting);
		return;
	case PLUG__MESSAGE__BODY_PREPARED:
		plug_transfer_handle_prepared(
		    transfer, now, sender, message->prepared);
		return;
	case PLUG__MESSAGE__BODY_COMMIT:
		plug_transfer_handle_commit(
		    transfer, now, sender, message->commit);
		return;
	case PLUG__MESSAGE__BODY_COMMITTED:
		plug_transfer_handle_committed(
		    transfer, now, sender, message->committed);
		return;
	case PLUG__MESSAGE__BODY_ABORT:
		batch = plug_transfer_find_incoming(
		    transfer, message->abort->batch, sender->instance);
		if (batch != NULL)
			plug_transfer_drop_incoming(transfer, batch);
		return;
	case PLUG__MESSAGE__BODY_COMPLETION:
		plug_transfer_handle_completion(
		    transfer, now, from, message->completion);
		return;
	default:
		return;
	}
}

/**
 * plug_transfer_tick() - resend messages and end batches that timed out
 * @transfer: transfer
 * @now: current time
 * @is_listed: returns whether the instance list holds an address
 * @data: first argument of @is_listed
 *
 * COMMIT is resent to the same target until it is answered or the instance
 * list no longer holds the target. A prepared batch is dropped here once it has
 * waited for 120 s and the instance list doesn't hold its source.
 */
void
plug_transfer_tick(struct plug_transfer *transfer, plug_time now,
    bool (*is_listed)(const void *data, struct plug_endpoint endpoint),
    const void *data)
{
	plug_transfer_source_tick(transfer, now, is_listed, data);
	plug_transfer_target_tick(transfer, now, is_listed, data);
}
