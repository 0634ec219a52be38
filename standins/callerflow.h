#ifndef PLUG_CALLERFLOW_H
#define PLUG_CALLERFLOW_H

#include "libplantainlug/client.h"
#include "libplantainlug/packet.h"

#define PLUG_CALLERFLOW_WINDOW 32 /* xids above the floor */
#define PLUG_CALLERFLOW_BLOCKS 16 /* blocks of one answer on their way */
#define PLUG_CALLERFLOW_UNHEARD                      \
	3 /* resends or heartbeats before a new port \
	   */
#define PLUG_CALLERFLOW_PATIENCE (10 * PLUG_SEC) /* for opening a flow */

/*
 * Opening calls and heartbeats are numbered from here, apart from requests,
 * so that they neither use up the window nor match a late answer.
 */
#define PLUG_CALLERFLOW_CONTROL_XID 0x80000000U

/* How a request ended for the caller. */
enum plug_callerflow_outcome {
	PLUG_CALLERFLOW_ANSWERED, /* the whole answer, its checksum matches */
	PLUG_CALLERFLOW_NOT_RUN,  /* has not run; may be submitted again */
	PLUG_CALLERFLOW_UNKNOWN,  /* may or may not have run */
};

/* Why a flow is broken. */
enum plug_callerflow_reason {
	PLUG_CALLERFLOW_LOST,	 /* the service answered "flow lost" */
	PLUG_CALLERFLOW_NO_OPEN, /* no token within the patience */
};

enum plug_callerflow_state {
	PLUG_CALLERFLOW_IDLE,
	PLUG_CALLERFLOW_OPENING,
	PLUG_CALLERFLOW_OPEN,
	PLUG_CALLERFLOW_BROKEN,
};

/**
 * struct plug_callerflow_result - the end of a request
 * @xid: number of the request on its flow
 * @tag: as given to plug_callerflow_submit()
 * @procedure: as given to plug_callerflow_submit()
 * @idempotent: as given to plug_callerflow_submit()
 * @outcome: how it ended
 * @retry_after_ms: for a refused request, when to submit it again
 * @answer: answer; valid during the call only
 */
struct plug_callerflow_result {
	uint32_t xid;
	uint64_t tag;
	uint32_t procedure;
	bool idempotent;
	enum plug_callerflow_outcome outcome;
	uint32_t retry_after_ms;
	struct plug_str answer;
};

/**
 * struct plug_callerflow_handler - actions of a flow
 * @data: first argument of each handler
 * @send: send a packet, from the IPv4 header on; a socket sends what follows
 *	PLUG_PACKET_HEADER
 * @settled: a request ended; called exactly once for each accepted submit.
 *	The handler may submit other requests
 * @broken: the flow ended, after all its requests were settled; a new flow
 *	must use a new source port, as late replies carry only an xid
 * @renew_port: the path is silent; take a new source port and tell it with
 *	plug_callerflow_set_caller()
 */
struct plug_callerflow_handler {
	void *data;
	void (*send)(void *data, const uint8_t *packet, size_t len);
	void (*settled)(
	    void *data, const struct plug_callerflow_result *result);
	void (*broken)(void *data, enum plug_callerflow_reason reason);
	void (*renew_port)(void *data);
};

/**
 * struct plug_callerflow_block - a block of an answer on its way
 * @used: the block was asked for and has not arrived
 * @offset: place in the answer
 * @attempt: transmissions so far
 * @due: when to ask again
 */
struct plug_callerflow_block {
	bool used;
	uint32_t offset;
	uint32_t attempt;
	plug_time due;
};

/**
 * struct plug_callerflow_request - one unsettled request
 * @used: the slot holds a request
 * @idempotent: running it twice does no harm
 * @xid: number on the flow
 * @tag: user's value
 * @procedure: operation
 * @attempt: transmissions so far
 * @due: when to resend
 * @deadline: when to give up
 * @body_len: bytes in @body
 * @body: arguments
 * @answer: answer of @total bytes that arrives in blocks, or NULL
 * @arrived: one byte for each block of @answer
 * @total: length of the answer in bytes
 * @crc: XXH32 of the answer
 * @missing: blocks that have not arrived
 * @next: offset of the next block to ask for
 * @blocks: blocks that were asked for
 */
struct plug_callerflow_request {
	bool used;
	bool idempotent;
	uint32_t xid;
	uint64_t tag;
	uint32_t procedure;
	uint32_t attempt;
	plug_time due;
	plug_time deadline;
	size_t body_len;
	uint8_t body[PLUG_BODY_MAX];
	uint8_t *answer;
	uint8_t *arrived;
	uint32_t total;
	uint32_t crc;
	uint32_t missing;
	uint32_t next;
	struct plug_callerflow_block blocks[PLUG_CALLERFLOW_BLOCKS];
};

/**
 * struct plug_callerflow - the caller's end of one flow; fields are private
 * @client: random state
 * @handler: actions
 * @caller: own address in the inner packet
 * @service: service address
 * @program: service id
 * @state: life of the flow
 * @token: most recent token
 * @next_xid: number of the next request
 * @control_xid: number of the last opening call or heartbeat
 * @attempt: transmissions of the opening call
 * @due: when to send the next opening call or heartbeat
 * @deadline: when to give up opening
 * @unheard_resends: resends since the last reply
 * @unheard_at: when the last of these was counted
 * @unheard_heartbeats: heartbeats since the last reply
 * @resends: resends in total
 * @renewals: new source ports in total
 * @moves: new tokens after the first one
 * @requests: unsettled requests, by xid modulo the window
 */
struct plug_callerflow {
	struct plug_client *client;
	const struct plug_callerflow_handler *handler;
	struct plug_endpoint caller;
	struct plug_endpoint service;
	uint32_t program;
	enum plug_callerflow_state state;
	uint8_t token[PLUG_TOKEN_SIZE];
	uint32_t next_xid;
	uint32_t control_xid;
	uint32_t attempt;
	plug_time due;
	plug_time deadline;
	unsigned int unheard_resends;
	plug_time unheard_at;
	unsigned int unheard_heartbeats;
	uint64_t resends;
	uint64_t renewals;
	uint64_t moves;
	struct plug_callerflow_request requests[PLUG_CALLERFLOW_WINDOW];
};

void
plug_callerflow_init(struct plug_callerflow *flow, struct plug_client *client,
    const struct plug_callerflow_handler *handler, struct plug_endpoint caller,
    struct plug_endpoint service, uint32_t program);
void plug_callerflow_finish(struct plug_callerflow *flow);
void plug_callerflow_open(struct plug_callerflow *flow, plug_time now);
enum plug_code plug_callerflow_submit(struct plug_callerflow *flow,
    plug_time now, uint32_t procedure, struct plug_str body, bool idempotent,
    plug_time deadline, uint64_t tag, uint32_t *xid);
void plug_callerflow_receive(struct plug_callerflow *flow, plug_time now,
    const uint8_t *packet, size_t len);
void plug_callerflow_tick(struct plug_callerflow *flow, plug_time now);
void plug_callerflow_set_caller(
    struct plug_callerflow *flow, struct plug_endpoint caller);
unsigned int plug_callerflow_pending(const struct plug_callerflow *flow);
const char *plug_callerflow_outcome_name(enum plug_callerflow_outcome outcome);
const char *plug_callerflow_reason_name(enum plug_callerflow_reason reason);

#endif
