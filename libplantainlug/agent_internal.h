#ifndef PLUG_AGENT_INTERNAL_H
#define PLUG_AGENT_INTERNAL_H

/* Declarations shared by the agent*.c files; not a public interface. */

#include "agent.h"
#include "flowtable.h"
#include "limiter.h"
#include "placement.h"
#include "retry.h"
#include "transfer.h"

/* retry_after_ms of a refusal. */
#define PLUG_RETRY_SOON_MS  20	 /* another owner is expected at once */
#define PLUG_RETRY_LATER_MS 1000 /* no agent can run it now */

/* Time for a reconnect, after which a missing connection counts as down. */
#define PLUG_UPSTREAM_RECONNECT_GRACE PLUG_SEC

/**
 * struct plug_upstream - state of the connection to the upstream
 * @connected: the connection is established
 * @connection_changed: time of the last event that set @connected; before the
 *   first one, the time when the agent was created
 * @last_heard: time of the last reply, health report or connect, or of the end
 *   of a pause of this process if that was later
 * @last_id: id of the newest call, heartbeats included
 * @heartbeat_id: id of the unanswered heartbeat (a null call), or 0
 * @heartbeat_sent: time of the last heartbeat, connect or end of a pause
 * @last_tick: time of the last plug_agent_upstream_tick()
 * @running: requests that were sent and have not ended, oldest first
 */
struct plug_upstream {
	bool connected;
	plug_time connection_changed;
	plug_time last_heard;
	uint64_t last_id;
	uint64_t heartbeat_id;
	plug_time heartbeat_sent;
	plug_time last_tick;
	struct plug_request_list running;
};

/**
 * struct plug_leaving - reasons and progress of handing all flows away
 * @stop_received: PLUG_AGENT_STOP was received
 * @upstream_draining: the upstream publishes that it is draining
 * @listed_as_leaving: the instance list shows the agent as leaving
 * @upstream_unreachable: the upstream has been disconnected for longer than a
 *   restart takes
 * @since: time when the agent began to leave, or when PLUG_AGENT_STOP arrived
 *   if that was later; valid while one of the four reasons holds
 * @next_offer: earliest time of the next offer of flows to siblings
 * @last_commit: time of the last move that a target confirmed
 * @stopped_emitted: PLUG_ACTION_STOPPED was emitted for this leave
 */
struct plug_leaving {
	bool stop_received;
	bool upstream_draining;
	bool listed_as_leaving;
	bool upstream_unreachable;
	plug_time since;
	plug_time next_offer;
	plug_time last_commit;
	bool stopped_emitted;
};

/**
 * struct plug_agent - state of an agent
 * @client: handlers and random numbers, borrowed
 * @config: identity of the agent
 * @view: referenced view, or NULL before the first one with its service
 * @service: service of this agent in @view, or NULL
 * @domain_out: the failure domain of this agent is out of service
 * @flows: records of flows, with their requests and stored answers
 * @limiter: concurrency limit and the queues of waiting requests
 * @retry: budget of retries at the upstream
 * @delayed: retries that wait for their backoff, by start time
 * @placement: load reports of the siblings
 * @transfer: moves of flows from and to siblings
 * @upstream: connection to the upstream
 * @leaving: reasons and progress of handing all flows away
 * @pending_opens: estimate of the tokens that were minted and not yet used
 * @pending_opens_halved: time when @pending_opens was last halved
 * @mean_requests: running and queued requests, averaged over
 *   PLUG_WORK_TIME_CONSTANT
 * @mean_requests_updated: time of the last update of @mean_requests
 * @last_report: time of the last periodic load report
 * @last_rebalance: time of the last attempt to rebalance
 * @overloaded_since: start of the overload; valid while @is_overloaded
 * @is_overloaded: the load of this agent exceeds the mean of the siblings by
 *   the factor OVERLOAD_FACTOR
 * @logged_limit: concurrency limit in the last "event=limit" line
 * @resend_history: last requests on owned flows, one bit each, the newest in
 *   the lowest bit; 1 for a resend of a request that was already answered
 * @resend_history_len: valid bits of @resend_history
 * @last_foreign_log: time of the last "event=foreign" line, 0 before the first
 * @foreign_suppressed: such lines not written since then
 * @counters: values by enum plug_agent_counter
 */
struct plug_agent {
	struct plug_client *client;
	struct plug_agent_config config;
	struct plug_view *view;
	const struct plug_service *service;
	bool domain_out;
	struct plug_flowtable flows;
	struct plug_limiter limiter;
	struct plug_retry_budget retry;
	struct plug_queue delayed;
	struct plug_placement placement;
	struct plug_transfer transfer;
	struct plug_upstream upstream;
	struct plug_leaving leaving;
	uint32_t pending_opens;
	plug_time pending_opens_halved;
	double mean_requests;
	plug_time mean_requests_updated;
	plug_time last_report;
	plug_time last_rebalance;
	plug_time overloaded_since;
	bool is_overloaded;
	uint32_t logged_limit;
	uint32_t resend_history;
	unsigned int resend_history_len;
	plug_time last_foreign_log;
	unsigned int foreign_suppressed;
	uint64_t counters[PLUG_COUNT_AGENT_COUNT];
};

/* agent.c */
uint64_t plug_agent_document_version(const struct plug_agent *agent);
bool plug_agent_is_leaving(const struct plug_agent *agent);
bool plug_agent_is_upstream_down(const struct plug_agent *agent, plug_time now);

/* agent_reply.c */
void plug_agent_reply_outcome(struct plug_agent *agent, plug_time now,
    const struct plug_call *call, struct plug_flow *flow,
    enum plug_outcome outcome, uint32_t retry_after_ms);
void plug_agent_reply_block(struct plug_agent *agent, plug_time now,
    struct plug_flow *flow, const struct plug_request *request,
    uint32_t offset);
void plug_agent_send_token(
    struct plug_agent *agent, plug_time now, struct plug_flow *flow);
void plug_agent_mint_token(const struct plug_agent *agent, plug_time now,
    uint64_t flow, uint16_t generation, uint8_t wire[PLUG_TOKEN_SIZE]);

/* agent_request.c */
void plug_agent_refuse_request(struct plug_agent *agent, plug_time now,
    struct plug_request *request, const char *reason, uint32_t retry_after_ms);
void plug_agent_handle_request(struct plug_agent *agent, plug_time now,
    struct plug_flow *flow, const struct plug_call *call);
void plug_agent_settle_requests(
    struct plug_agent *agent, struct plug_flow *flow, uint32_t floor);
void plug_agent_raise_floor(
    struct plug_agent *agent, struct plug_flow *flow, uint32_t floor);
void plug_agent_refuse_queued(struct plug_agent *agent, plug_time now,
    struct plug_flow *flow, const char *reason, uint32_t retry_after_ms);
void plug_agent_requests_tick(struct plug_agent *agent, plug_time now);
void plug_agent_abandon_running(
    struct plug_agent *agent, plug_time now, struct plug_flow *flow);
void plug_agent_close_flow(
    struct plug_agent *agent, plug_time now, struct plug_flow *flow);

/* agent_upstream.c */
void plug_agent_dispatch(struct plug_agent *agent, plug_time now);
void plug_agent_finish_request(struct plug_agent *agent, plug_time now,
    struct plug_request *request, enum plug_request_state state);
void plug_agent_cancel_request(
    struct plug_agent *agent, struct plug_request *request);
void plug_agent_upstream_opened(struct plug_agent *agent, plug_time now);
void plug_agent_upstream_lost(
    struct plug_agent *agent, plug_time now, const char *reason);
void plug_agent_upstream_reply(struct plug_agent *agent, plug_time now,
    const struct plug_agent_event *event);
void plug_agent_upstream_tick(struct plug_agent *agent, plug_time now);
void plug_agent_reset_limit(
    struct plug_agent *agent, plug_time now, enum plug_restart_signal signal);
void plug_agent_fail_running(struct plug_agent *agent, plug_time now);

/* agent_flow.c */
void plug_agent_handle_datagram(
    struct plug_agent *agent, plug_time now, uint8_t *data, size_t len);

/* agent_move.c */
void plug_agent_moves_init(struct plug_agent *agent);
void plug_agent_handle_peer(
    struct plug_agent *agent, plug_time now, const Plug__Message *message);
void plug_agent_moves_tick(struct plug_agent *agent, plug_time now);
void plug_agent_leaving_changed(
    struct plug_agent *agent, plug_time now, bool was_leaving);
void plug_agent_send_reports(struct plug_agent *agent, plug_time now);

#endif
