#ifndef PLUG_TRACK_ACTION_H
#define PLUG_TRACK_ACTION_H

#include "../../proto/track.pb-c.h"
#include "segment.h"

/* Actions that tracking entries and agents request from their driver. */
enum plug_track_action_kind {
	PLUG_TRACK_TO_AGENT,	  /* send a segment to the agent on a machine */
	PLUG_TRACK_TO_HOST,	  /* send a segment to the agent's own host */
	PLUG_TRACK_TO_CLIENT,	  /* send a segment of the host to the client */
	PLUG_TRACK_RESET,	  /* send a RST to the client of a flow */
	PLUG_TRACK_NOTICE,	  /* send a notice to a node */
	PLUG_TRACK_REFRESH_HOSTS, /* request a consistent host list read */
	PLUG_TRACK_CHECK_HOST,	  /* request a health check of the own host */
};

/**
 * struct plug_track_action - an action; all pointers are borrowed for the call
 * @kind: type of the action; selects which members are set
 * @node: address of the receiving machine, host byte order; for TO_AGENT and
 *   NOTICE
 * @segment: bytes to send; for TO_AGENT and TO_HOST, the driver clears the flag
 *   PLUG_SEGMENT_BOUNCED in them
 * @tuple: flow, for TO_CLIENT and RESET
 * @seq: sequence number of the RST
 * @notice: notice to send
 */
struct plug_track_action {
	enum plug_track_action_kind kind;
	uint32_t node;
	struct plug_str segment;
	struct plug_tuple tuple;
	uint32_t seq;
	const Plug__TrackNotice *notice;
};

/* A lookup of an entry for the host of a flow ends after this time. Clients
 * retransmit for as long: eight retransmissions of a FIN take 11 s. */
#define PLUG_LOOKUP_TIME (15 * PLUG_SEC)

/**
 * struct plug_track_driver - callbacks of a tracking entry or agent
 * @emit: carries out an action; called once for each, in order
 * @decode: decodes the header of a segment from a notice; returns false if it
 *   is invalid
 * @data: first argument of both
 * @client: log handler and random state; not a client of a flow
 */
struct plug_track_driver {
	void (*emit)(void *data, const struct plug_track_action *action);
	bool (*decode)(
	    void *data, struct plug_str bytes, struct plug_segment *segment);
	void *data;
	struct plug_client client;
};

void plug_track_emit(const struct plug_track_driver *driver,
    const struct plug_track_action *action);
void plug_track_notify(const struct plug_track_driver *driver, uint32_t node,
    const Plug__TrackNotice *notice);
void plug_track_reset_flow(const struct plug_track_driver *driver,
    const struct plug_tuple *tuple, uint32_t seq);
void plug_track_send_segment(const struct plug_track_driver *driver,
    enum plug_track_action_kind kind, uint32_t node,
    const struct plug_segment *segment);
bool plug_track_decode_segment(const struct plug_track_driver *driver,
    const ProtobufCBinaryData *field, struct plug_segment *segment);
void plug_tuple_write(const struct plug_tuple *tuple, Plug__Tuple *wire);
bool plug_tuple_read(const Plug__Tuple *wire, struct plug_tuple *tuple);
const char *plug_refusal_name(Plug__RefusalReason reason);
ProtobufCBinaryData plug_track_segment_field(struct plug_str segment);

#endif
