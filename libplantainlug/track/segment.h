#ifndef PLUG_TRACK_SEGMENT_H
#define PLUG_TRACK_SEGMENT_H

#include "../client.h"

#define PLUG_SEGMENT_MAX 1400 /* bytes; a header and 1,200 of data fit */

/* Segment flags; struct plug_adapter translates from and to the wire format. A
 * host sets BOUNCED in a client's segment that it returns to its agent, as it
 * doesn't have the flow or doesn't accept the SYN. */
#define PLUG_SEGMENT_SYN     0x01U
#define PLUG_SEGMENT_ACK     0x02U
#define PLUG_SEGMENT_FIN     0x04U
#define PLUG_SEGMENT_RST     0x08U
#define PLUG_SEGMENT_BOUNCED 0x10U

/**
 * struct plug_tuple - addresses and ports that identify a flow
 * @client: address of the client, host byte order
 * @service: virtual address of the service, host byte order
 * @client_port: port of the client, host byte order
 * @service_port: port of the service, host byte order
 */
struct plug_tuple {
	uint32_t client;
	uint32_t service;
	uint16_t client_port;
	uint16_t service_port;
};

/**
 * struct plug_segment - a decoded segment header and the encoded segment
 * @tuple: flow, the same in both directions
 * @flags: PLUG_SEGMENT_* bits
 * @seq: sequence number
 * @ack: acknowledgement number
 * @len: bytes of data after the header
 * @syn_age: how long the client has been retransmitting this SYN, microseconds;
 *   0 for other segments
 * @bytes: encoded segment as received; borrowed, valid only until the function
 *   that the segment is passed to returns
 */
struct plug_segment {
	struct plug_tuple tuple;
	unsigned int flags;
	uint32_t seq;
	uint32_t ack;
	uint32_t len;
	plug_time syn_age;
	struct plug_str bytes;
};

/* Whether the segment is a client's SYN, original or retransmitted. */
static inline bool
plug_segment_opens_flow(const struct plug_segment *segment)
{
	return (segment->flags & (PLUG_SEGMENT_SYN | PLUG_SEGMENT_ACK)) ==
	       PLUG_SEGMENT_SYN;
}

bool plug_tuple_equal(const struct plug_tuple *a, const struct plug_tuple *b);
uint64_t plug_tuple_hash(const struct plug_tuple *tuple);
size_t
plug_tuple_format(const struct plug_tuple *tuple, char *buf, size_t size);

#define PLUG_TUPLE_TEXT 48 /* bytes of "client:port-service:port" with NUL */

#endif
