#ifndef PLUG_AGENT_INTERNAL_H
#define PLUG_AGENT_INTERNAL_H

/* Shared by the files of the agent; not part of the public interface. */

#include "agent.h"
#include "flowtable.h"
#include "limiter.h"
#include "placement.h"
#include "retry.h"
#include "transfer.h"

#define PLUG_RETRY_SOON_MS  20	 /* the flow is about to have a new owner */
#define PLUG_RETRY_LATER_MS 1000 /* nobody can take the work now */
#define PLUG_UPSTREAM_RECONNECT_GRACE \
	PLUG_SEC /* a reconnect may take this long */

/**
 * struct plug_upstream - connection to the upstream
 * @connected: connection is established
 * @connection_changed: time of the last change of @connected
 * @last_heard: time of the last event that the upstream caused
 * @last_id: id of the newest call
 * @heartbeat_id: id of the outstanding null call; 0 when there is none
 * @heartbeat_sent: time of the newest null call
 * @last_tick: time of the last tick
 * @running: requests sent and not answered
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
 * struct plug_leaving - progress of the graceful stop
 * @stop_received: PLUG_AGENT_STOP was received
 * @upstream_draining: the upstream reports that it drains
 * @listed_as_leaving: the instance list shows the agent as leaving
 * @upstream_unreachable: the upstream has been gone for longer than a restart
 * takes
 * @since: time when the first of them held; valid while one holds
 * @next_offer: time when flows are next offered to siblings
 * @last_commit: time of the last confirmed move
 * @stopped_emitted: PLUG_ACTION_STOPPED was emitted
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

struct plug_agent {
	struct plug_client *client;
	struct plug_agent_config config;
	struct plug_view *view;
	const struct plug_service *service; /* in view, or NULL */
	bool domain_out;
	struct plug_flowtable flows;
	struct plug_limiter limiter;
	struct plug_retry_budget retry;
	struct plug_queue delayed; /* retries that wait for their backoff */
	struct plug_placement placement;
	struct plug_transfer transfer;
	struct plug_upstream upstream;
	struct plug_leaving leaving;
	uint32_t pending_opens; /* tokens minted and not yet used */
	plug_time pending_opens_halved;
	double mean_work; /* running and queued requests, averaged */
	plug_time mean_work_updated;
	plug_time last_report;
	plug_time last_rebalance;
	plug_time overloaded_since; /* since when; valid while is_overloaded */
	bool is_overloaded;
	uint32_t logged_limit;
	uint32_t
	    resend_history; /* last packets, 1 for a resend after an answer */
	unsigned int resend_history_len;
	plug_time last_foreign_log;
	unsigned int foreign_suppressed; /* since foreign_logged */
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
