#ifndef PLUG_TRACK_SEGMENT_H
#define PLUG_TRACK_SEGMENT_H

#include "../client.h"

#define PLUG_SEGMENT_MAX 1400 /* bytes: a header and 1,200 of data */

/* Flags of a segment; the adapter translates those of the wire. */
#define PLUG_SEGMENT_SYN     0x01U
#define PLUG_SEGMENT_ACK     0x02U
#define PLUG_SEGMENT_FIN     0x04U
#define PLUG_SEGMENT_RST     0x08U
#define PLUG_SEGMENT_BOUNCED 0x10U /* the host has returned it */

/**
 * struct plug_tuple - the addresses and ports that name a flow
 * @client: address of the client, host byte order
 * @service: address of the service, host byte order
 * @client_port: port of the client
 * @service_port: port of the service
 */
struct plug_tuple {
	uint32_t client;
	uint32_t service;
	uint16_t client_port;
	uint16_t service_port;
};

/**
 * struct plug_segment - a decoded header and the bytes it came from
 * @tuple: flow, the same for both directions
 * @flags: set of PLUG_SEGMENT_* bits
 * @seq: sequence number of the sender
 * @ack: what the sender has received
 * @len: bytes of data behind the header
 * @syn_age: for how long its sender has sent copies of an opening segment
 * @bytes: the whole segment as received; borrowed for the call
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

/* Opens a flow: a SYN of a client, or a copy of one. */
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
