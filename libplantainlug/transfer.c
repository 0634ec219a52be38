#include <string.h>

#include "transfer_internal.h"

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

/**
 * plug_transfer_reset() - forget all moves in progress
 * @transfer: transfer; the flows of the source side stay in the table
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
 * plug_transfer_finish() - free the prepared flows
 * @transfer: transfer
 */
void
plug_transfer_finish(struct plug_transfer *transfer)
{
	plug_transfer_reset(transfer);
}

/**
 * plug_transfer_notify() - tell the agent what became of a flow
 * @transfer: transfer
 * @now: time
 * @note: what happened
 * @flow: flow
 * @request: request that ended, or NULL
 */
void
plug_transfer_notify(struct plug_transfer *transfer, plug_time now,
    enum plug_transfer_event note, struct plug_flow *flow,
    struct plug_request *request)
{
	if (transfer->notify != NULL)
		transfer->notify(
		    transfer->notify_data, now, note, flow, request);
}

/**
 * plug_transfer_send() - send a control message in the agent's name
 * @transfer: transfer
 * @target: address of a sibling
 * @message: message without sender
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
 * plug_transfer_can_begin() - whether a further batch can be handed away
 * @transfer: transfer
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
 * plug_transfer_has_outgoing() - whether a batch is on its way
 * @transfer: transfer
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
	plug_transfer_source_tick(transfer, now, listed, data);
	plug_transfer_target_tick(transfer, now, listed, data);
}
