#include "action.h"

/**
 * plug_track_emit() - pass an action to the driver
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
 * plug_track_notify() - send a notice to a node
 * @driver: driver
 * @node: address of the receiving machine
 * @notice: notice; borrowed for the call
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
 * plug_track_reset_flow() - send a RST to the client of a flow
 * @driver: driver
 * @tuple: flow
 * @seq: last acknowledgement number of the client, so that it accepts the RST;
 *   0 if the client has only sent a SYN
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
 * plug_track_send_segment() - forward a segment
 * @driver: driver
 * @kind: PLUG_TRACK_TO_AGENT, PLUG_TRACK_TO_HOST or PLUG_TRACK_TO_CLIENT
 * @node: address of the agent's machine; ignored unless PLUG_TRACK_TO_AGENT
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
 * plug_track_decode_segment() - decode a segment in a field of a notice
 * @driver: driver
 * @field: field of the notice
 * @segment: receives the segment, which refers to the bytes of @field
 *
 * Return: false if the field is empty or holds no valid segment.
 */
bool
plug_track_decode_segment(const struct plug_track_driver *driver,
    const ProtobufCBinaryData *field, struct plug_segment *segment)
{
	const struct plug_str bytes = { (const char *)field->data, field->len };

	return field->len > 0 && driver->decode(driver->data, bytes, segment);
}

/**
 * plug_tuple_write() - convert a tuple to its protocol message
 * @tuple: flow
 * @wire: initialized message to fill
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
 * plug_tuple_read() - convert a protocol message to a tuple
 * @wire: message, or NULL
 * @tuple: receives the flow
 *
 * Return: false if @wire is NULL or a port is out of range.
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
 * plug_track_segment_field() - make a field of a notice from a segment
 * @segment: bytes of the segment; borrowed by the field
 *
 * Return: the field, to be assigned to a bytes member of a notice.
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
 * plug_refusal_name() - name of a refusal reason in logs
 * @reason: reason; "unknown" is returned for values not in the protocol
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
