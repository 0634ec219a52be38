#ifndef PLUG_FLOW_H
#define PLUG_FLOW_H

#include <sys/queue.h>

#include "client.h"
#include "queue.h"

/* Xids that a flow may use at a time. They start at its floor: the caller has
 * settled every lower one, which means that it needs no further reply to it. */
#define PLUG_FLOW_WINDOW 32

/* Limits of the age and of the total size of stored idempotent answers. */
#define PLUG_IDEMPOTENT_AGE_MAX	  (30 * PLUG_SEC)
#define PLUG_IDEMPOTENT_BYTES_MAX ((size_t)16 << 20)

/*
 * Answers of non-idempotent requests are stored until the floor passes their
 * xid. Above this total size no further non-idempotent request is admitted.
 */
#define PLUG_NONIDEMPOTENT_BYTES_MAX ((size_t)64 << 20)

enum plug_request_state {
	PLUG_REQUEST_QUEUED,	/* waits for a slot or a retry */
	PLUG_REQUEST_RUNNING,	/* sent to the upstream */
	PLUG_REQUEST_DONE,	/* has run; the stored answer may be gone */
	PLUG_REQUEST_REFUSED,	/* not run, and never will under this xid */
	PLUG_REQUEST_UNKNOWN,	/* may or may not have run */
	PLUG_REQUEST_ELSEWHERE, /* previous owner runs it, sends outcome */
};

enum plug_flow_state {
	PLUG_FLOW_OPEN,
	PLUG_FLOW_FROZEN,     /* PREPARE sent: starts no request, may resume */
	PLUG_FLOW_COMMITTING, /* COMMIT sent: never resumes */
	PLUG_FLOW_MOVED,      /* confirmed; packets go to the new owner */
	PLUG_FLOW_CLOSED,     /* tombstone: its id can't be opened again */
};

struct plug_flow;

/**
 * struct plug_request - one request of a flow
 * @queue_entry: linkage in a queue of the limiter or in that of delayed retries
 * @list_link: linkage in the list of running requests, later in that of stored
 *   idempotent answers
 * @flow: flow; NULL once the floor has passed a request that still runs
 * @xid: request number on the flow
 * @procedure: procedure number of the operation
 * @state: state of the record
 * @idempotent: may be started more than once
 * @bulk: is of class bulk
 * @cancel_sent: the upstream was asked to cancel it
 * @abandoned: was answered as unknown while the upstream still ran it
 * @may_have_run: an earlier attempt failed while it ran, or completed but its
 *   answer was dropped
 * @is_running: the upstream runs it, whatever @state says
 * @is_delayed: waits in the queue of delayed retries
 * @peer_awaits_outcome: the new owner of the flow is to be sent the outcome
 * @caller_resent: the caller sent it again while it ran at the previous owner
 * @has_answer: @data is an answer, counted in struct plug_answers
 * @upstream_attempts: how often it was sent to the upstream, counted from 0
 *   again after plug_request_reset()
 * @retry_after_ms: delay that a refusal asks of the caller, in milliseconds
 * @upstream_call_id: id of the call at the upstream while it runs
 * @deadline: when the caller stops waiting
 * @started_at: time of the last attempt at the upstream
 * @ended_at: time of the final answer, or of its last use
 * @elsewhere_deadline: time by which a request at the previous owner has ended
 * @answer_hash: XXH32 of the answer
 * @data: arguments while queued or running, then the answer; owned
 * @len: length of @data in bytes
 */
struct plug_request {
	struct plug_queue_entry queue_entry;
	TAILQ_ENTRY(plug_request) list_link;
	struct plug_flow *flow;
	uint32_t xid;
	uint32_t procedure;
	enum plug_request_state state;
	bool idempotent;
	bool bulk;
	bool cancel_sent;
	bool abandoned;
	bool may_have_run;
	bool is_running;
	bool is_delayed;
	bool peer_awaits_outcome;
	bool caller_resent;
	bool has_answer;
	unsigned int upstream_attempts;
	uint32_t retry_after_ms;
	uint64_t upstream_call_id;
	plug_time deadline;
	plug_time started_at;
	plug_time ended_at;
	plug_time elsewhere_deadline;
	uint32_t answer_hash;
	uint8_t *data;
	size_t len;
};

TAILQ_HEAD(plug_request_list, plug_request);

/**
 * struct plug_answers - answer store of an agent, over all its flows
 * @idempotent: requests whose answers may be dropped, the least recently used
 *   first
 * @idempotent_bytes: total size of the answers in @idempotent
 * @nonidempotent_bytes: total size of the answers that are kept until the floor
 *   passes their xid
 */
struct plug_answers {
	struct plug_request_list idempotent;
	size_t idempotent_bytes;
	size_t nonidempotent_bytes;
};

/**
 * struct plug_flow - state of one flow and of its requests
 * @next: next flow in the same bucket of the flow table
 * @id: flow id
 * @generation: number of times that the flow has moved
 * @state: state of the flow
 * @token_used: the caller has used the token of @generation or, once the flow
 *   has moved, the token of the new owner
 * @floor: the caller has settled every xid below it
 * @caller: last known address of the caller
 * @service: service address that the caller uses
 * @peer: new owner of a flow that moved away, previous owner of one taken over
 * @batch_id: transfer that moves the flow or brought it here
 * @active_requests: requests that are queued or running
 * @last_packet_at: time of the last packet
 * @state_changed_at: time of the last change of @state
 * @window: requests by xid modulo PLUG_FLOW_WINDOW; NULL where none is recorded
 */
struct plug_flow {
	struct plug_flow *next;
	uint64_t id;
	uint16_t generation;
	enum plug_flow_state state;
	bool token_used;
	uint32_t floor;
	struct plug_endpoint caller;
	struct plug_endpoint service;
	struct plug_endpoint peer;
	uint64_t batch_id;
	unsigned int active_requests;
	plug_time last_packet_at;
	plug_time state_changed_at;
	struct plug_request *window[PLUG_FLOW_WINDOW];
};

void plug_answers_init(struct plug_answers *answers);
struct plug_flow *plug_flow_create(uint64_t id, plug_time now);
void plug_flow_destroy(struct plug_flow *flow, struct plug_answers *answers);
enum plug_code plug_flow_check_xid(const struct plug_flow *flow, uint32_t xid);
struct plug_request *
plug_flow_find_request(const struct plug_flow *flow, uint32_t xid);
struct plug_request *plug_flow_add_request(
    struct plug_flow *flow, uint32_t xid, uint32_t procedure, bool idempotent);
unsigned int plug_flow_raise_floor(struct plug_flow *flow, uint32_t floor,
    struct plug_request *settled[PLUG_FLOW_WINDOW]);

bool plug_request_is_final(const struct plug_request *request);
enum plug_outcome plug_request_outcome(const struct plug_request *request);
enum plug_code
plug_request_set_data(struct plug_request *request, struct plug_str data);
void plug_request_end(
    struct plug_request *request, enum plug_request_state state, plug_time now);
enum plug_code plug_request_store_answer(struct plug_request *request,
    struct plug_answers *answers, struct plug_str answer, plug_time now);
void plug_request_reset(struct plug_request *request);
void
plug_request_free(struct plug_request *request, struct plug_answers *answers);
void plug_answers_touch(
    struct plug_answers *answers, struct plug_request *request, plug_time now);
void plug_answers_expire(struct plug_answers *answers, plug_time now);

#endif
