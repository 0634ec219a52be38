#include "action.h"

/**
 * plug_track_emit() - hand one action to the driver
 * @driver: driver
 * @action: action; borrowed for the call
 */
void
plug_track_emit(const struct plug_track_driver *driver,
    const struct plug_track_action *action)
{
	driver->emit(driver->data, action);
}

/**
 * plug_track_notify() - send a notice
 * @driver: driver
 * @node: address of the machine
 * @notice: notice
 */
void
plug_track_notify(const struct plug_track_driver *driver, uint32_t node,
    const Plug__TrackNotice *notice)
{
	const struct plug_track_action action = {
		.kind = PLUG_TRACK_NOTICE,
		.node = node,
		.notice = notice,
	};

	plug_track_emit(driver, &action);
}

/**
 * plug_track_reset_flow() - tell a client that its flow has ended
 * @driver: driver
 * @tuple: flow
 * @seq: what the client has acknowledged, so that it accepts the reset
 */
void
plug_track_reset_flow(const struct plug_track_driver *driver,
    const struct plug_tuple *tuple, uint32_t seq)
{
	const struct plug_track_action action = {
		.kind = PLUG_TRACK_RESET,
		.tuple = *tuple,
		.seq = seq,
	};

	plug_track_emit(driver, &action);
}

/**
 * plug_track_send_segment() - send a segment on
 * @driver: driver
 * @kind: PLUG_TRACK_TO_AGENT, PLUG_TRACK_TO_HOST or PLUG_TRACK_TO_CLIENT
 * @node: address of the agent's machine, for PLUG_TRACK_TO_AGENT
 * @segment: segment
 */
void
plug_track_send_segment(const struct plug_track_driver *driver,
    enum plug_track_action_kind kind, uint32_t node,
    const struct plug_segment *segment)
{
	const struct plug_track_action action = {
		.kind = kind,
		.node = node,
		.segment = segment->bytes,
		.tuple = segment->tuple,
	};

	plug_track_emit(driver, &action);
}

/**
 * plug_track_decode_segment() - decode a segment that came in a notice
 * @driver: driver
 * @field: field of the notice
 * @segment: receives the segment; borrows the field
 *
 * Return: false when there is none, or none that can be read.
 */
bool
plug_track_decode_segment(const struct plug_track_driver *driver,
    const ProtobufCBinaryData *field, struct plug_segment *segment)
{
	const struct plug_str bytes = { (const char *)field->data, field->len };

	return field->len > 0 && driver->decode(driver->data, bytes, segment);
}

/**
 * plug_tuple_write() - put a flow into a notice
 * @tuple: flow
 * @wire: initialized message
 */
void
plug_tuple_write(const struct plug_tuple *tuple, Plug__Tuple *wire)
{
	wire->client = tuple->client;
	wire->service = tuple->service;
	wire->client_port = tuple->client_port;
	wire->service_port = tuple->service_port;
}

/**
 * plug_tuple_read() - take a flow out of a notice
 * @wire: message, or NULL
 * @tuple: receives the flow
 *
 * Return: false when it is missing or has no valid ports.
 */
bool
plug_tuple_read(const Plug__Tuple *wire, struct plug_tuple *tuple)
{
	if (wire == NULL || wire->client_port > UINT16_MAX ||
	    wire->service_port > UINT16_MAX)
		return false;
	*tuple = (struct plug_tuple){
		.client = wire->client,
		.service = wire->service,
		.client_port = (uint16_t)wire->client_port,
		.service_port = (uint16_t)wire->service_port,
	};
	return true;
}

/**
 * plug_track_segment_field() - a segment as a field of a notice
 * @segment: bytes, borrowed
 */
ProtobufCBinaryData
plug_track_segment_field(struct plug_str segment)
{
	return (ProtobufCBinaryData){
		.data = (uint8_t *)(uintptr_t)segment.data,
		.len = segment.len,
	};
}

/**
 * plug_refusal_name() - name of a refusal in logs
 * @reason: reason, as received
 */
const char *
plug_refusal_name(Plug__RefusalReason reason)
{
	switch (reason) {
	case PLUG__REFUSAL_REASON__OTHER_HOST:
		return "other_host";
	case PLUG__REFUSAL_REASON__DRAINING:
		return "draining";
	case PLUG__REFUSAL_REASON__BUSY:
		return "busy";
	case PLUG__REFUSAL_REASON__BOUNCED:
		return "returned_by_host";
	case PLUG__REFUSAL_REASON__WAITED:
		return "waited";
	default:
		return "unknown";
	}
}
