#ifndef PLUG_PACKET_H
#define PLUG_PACKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "status.h"
#include "str.h"

#define PLUG_TOKEN_SIZE	      48   /* bytes on the wire */
#define PLUG_PACKET_HEADER    28   /* bytes: IPv4 without options, UDP */
#define PLUG_PACKET_MAX	      1428 /* bytes: headers and RPC message */
#define PLUG_BLOCK_SIZE	      1200 /* bytes of an answer in one packet */
#define PLUG_BODY_MAX	      1200 /* bytes of a request's arguments */
#define PLUG_INITIAL_TTL      64   /* hops */
#define PLUG_RPC_VERSION      1	   /* version of every service's program */
#define PLUG_ENDPOINT_TEXT    22   /* bytes of "ip:port" with the NUL */
#define PLUG_PROCEDURE_NULL   0	   /* opens a flow, or is its heartbeat */
#define PLUG_PROCEDURE_CANCEL 0x7fff0001U /* at an upstream, design 3.1 */
#define PLUG_PROCEDURE_HEALTH 0x7fff0002U /* at an upstream, design 3.1 */
#define PLUG_CALL_VERF_FLAVOR 0x504c0001U /* private verifier flavor */

/**
 * struct plug_endpoint - IPv4 address and port
 * @address: address in host byte order
 * @port: port in host byte order
 */
struct plug_endpoint {
	uint32_t address;
	uint16_t port;
};

/* What became of a request; on the wire as an unsigned 32-bit number. */
enum plug_outcome {
	PLUG_OUTCOME_DONE = 0,	    /* ran; the answer follows */
	PLUG_OUTCOME_NOT_RUN = 1,   /* has not run and will not run */
	PLUG_OUTCOME_UNKNOWN = 2,   /* may or may not have run */
	PLUG_OUTCOME_FLOW_LOST = 3, /* unknown, and the flow is gone */
};

/**
 * struct plug_call - a decoded call packet
 * @caller: source of the inner packet
 * @service: destination of the inner packet, the service address
 * @ttl: hops left
 * @xid: request number on the flow, from 1
 * @program: service id
 * @procedure: operation; PLUG_PROCEDURE_NULL opens a flow or is a heartbeat
 * @has_token: the credential holds a token
 * @token: sealed token, PLUG_TOKEN_SIZE bytes
 * @floor: every xid below it is settled at the caller
 * @attempt: 0 for the first transmission
 * @budget_ms: time left before the caller's deadline, in milliseconds
 * @offset: first byte wanted of a large answer
 * @body: arguments; points into the decoded packet
 */
struct plug_call {
	struct plug_endpoint caller;
	struct plug_endpoint service;
	uint8_t ttl;
	uint32_t xid;
	uint32_t program;
	uint32_t procedure;
	bool has_token;
	uint8_t token[PLUG_TOKEN_SIZE];
	uint32_t floor;
	uint32_t attempt;
	uint32_t budget_ms;
	uint32_t offset;
	struct plug_str body;
};

/**
 * struct plug_reply - a decoded reply packet
 * @caller: destination of the inner packet
 * @service: source of the inner packet, the service address
 * @xid: xid of the call; 0 for an unasked reply that carries a new token
 * @has_token: the verifier holds a new token
 * @token: sealed token
 * @outcome: what became of the request
 * @retry_after_ms: when to come back, in milliseconds; 0 when not stated
 * @total: length of the whole answer in bytes
 * @offset: place of @body in the answer
 * @crc: XXH32 of the whole answer
 * @body: block of the answer; points into the decoded packet
 */
struct plug_reply {
	struct plug_endpoint caller;
	struct plug_endpoint service;
	uint32_t xid;
	bool has_token;
	uint8_t token[PLUG_TOKEN_SIZE];
	enum plug_outcome outcome;
	uint32_t retry_after_ms;
	uint32_t total;
	uint32_t offset;
	uint32_t crc;
	struct plug_str body;
};

enum plug_code plug_packet_decode_call(const uint8_t *buf, size_t len,
    struct plug_call *call, struct plug_status *status);
size_t plug_packet_encode_call(
    const struct plug_call *call, uint8_t *buf, size_t size);
enum plug_code plug_packet_decode_reply(const uint8_t *buf, size_t len,
    struct plug_reply *reply, struct plug_status *status);
size_t plug_packet_encode_reply(
    const struct plug_reply *reply, uint8_t *buf, size_t size);
void plug_packet_put_headers(uint8_t *buf, size_t len,
    struct plug_endpoint source, struct plug_endpoint target, uint8_t ttl);
enum plug_code plug_packet_get_headers(const uint8_t *buf, size_t len,
    struct plug_endpoint *source, struct plug_endpoint *target, uint8_t *ttl,
    struct plug_status *status);
bool plug_packet_take_hop(uint8_t *buf, size_t len);
const char *plug_outcome_name(enum plug_outcome outcome);

bool plug_endpoint_equal(struct plug_endpoint a, struct plug_endpoint b);
enum plug_code plug_endpoint_parse(struct plug_str text,
    struct plug_endpoint *endpoint, struct plug_status *status);
enum plug_code plug_endpoint_parse_listen(struct plug_str text,
    struct plug_endpoint *endpoint, struct plug_status *status);
size_t
plug_endpoint_format(struct plug_endpoint endpoint, char *buf, size_t size);

#endif
