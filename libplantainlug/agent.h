#ifndef PLUG_AGENT_H
#define PLUG_AGENT_H

#include "placement.h"
#include "view.h"

/**
 * struct plug_agent_config - what an agent knows of itself
 * @instance: random id of this run
 * @endpoint: own traffic and control address
 * @domain: hash of the own failure domain's name
 * @service: service id
 * @fabric: gateway that delivers replies
 */
struct plug_agent_config {
	uint64_t instance;
	struct plug_endpoint endpoint;
	uint32_t domain;
	uint32_t service;
	struct plug_endpoint fabric;
};

enum plug_agent_event_kind {
	PLUG_AGENT_TICK,	    /* every 10 ms */
	PLUG_AGENT_DATAGRAM,	    /* inner packet from an entry or agent */
	PLUG_AGENT_PEER,	    /* report or transfer message */
	PLUG_AGENT_VIEW,	    /* new view */
	PLUG_AGENT_UPSTREAM_OPEN,   /* connection established */
	PLUG_AGENT_UPSTREAM_CLOSED, /* connection lost */
	PLUG_AGENT_UPSTREAM_REPLY,  /* a request ended */
	PLUG_AGENT_UPSTREAM_HEALTH, /* health and load report */
	PLUG_AGENT_STOP,	    /* begin the graceful stop */
};

/* How a request ended at the upstream. */
enum plug_upstream_result {
	PLUG_UPSTREAM_DONE,	 /* ran; the body is the answer */
	PLUG_UPSTREAM_SHED,	 /* refused before it ran */
	PLUG_UPSTREAM_CANCELLED, /* cancelled before it ran */
	PLUG_UPSTREAM_FAILED,	 /* failed while running */
};

/**
 * struct plug_agent_event - input of plug_agent_handle()
 * @kind: selects the member
 * @datagram: inner packet; the agent may change it while forwarding
 * @peer: control message
 * @view: new view; the agent takes its own reference
 * @reply: request id of the call, result and answer
 * @health: published figures: uptime in seconds, load 0 to 1, draining
 */
struct plug_agent_event {
	enum plug_agent_event_kind kind;
	union {
		struct {
			uint8_t *data;
			size_t len;
		} datagram;
		const Plug__Message *peer;
		struct plug_view *view;
		struct {
			uint64_t id;
			enum plug_upstream_result result;
			struct plug_str body;
		} reply;
		struct {
			uint32_t uptime;
			double load;
			bool draining;
		} health;
	};
};

/* Counters of an agent, readable while it runs. */
enum plug_agent_counter {
	PLUG_COUNT_PACKETS,
	PLUG_COUNT_BAD_PACKETS,
	PLUG_COUNT_FOREIGN,   /* other service or instance, fenced */
	PLUG_COUNT_OPENED,    /* tokens minted for opening flows */
	PLUG_COUNT_FORWARDED, /* packets passed to a sibling */
	PLUG_COUNT_STARTED,   /* requests started at the upstream */
	PLUG_COUNT_ANSWERED,
	PLUG_COUNT_NOT_RUN,
	PLUG_COUNT_UNKNOWN,
	PLUG_COUNT_FLOW_LOST,
	PLUG_COUNT_DUPLICATES, /* resent requests that were not run again */
	PLUG_COUNT_RETRIES,    /* requests sent to the upstream once more */
	PLUG_COUNT_MOVED_OUT,  /* flows handed to a sibling */
	PLUG_COUNT_MOVED_IN,
	PLUG_COUNT_COLD_STARTS, /* restarts noticed */
	PLUG_COUNT_AGENT_COUNT
};

/*
 * Rules that a caller of a service can rely on:
 *
 * - An xid has one fate. "Not run" is final for its xid, at this agent and at
 *   any later owner of the flow; a caller that comes back after
 *   retry_after_ms sends the request under a new xid. That holds as well for a
 *   flow that is being moved: COMMIT lists what was refused since PREPARE.
 * - "Unknown" may be replaced by the answer when the upstream ends the request
 *   late.
 * - An xid that is 32 or more above the floor is dropped without an answer,
 *   since a refusal couldn't be recorded.
 * - A call with an offset never starts a request. When the stored answer is
 *   gone it is answered with "unknown".
 * - A caller that opens a new flow after "flow lost" uses a new source port,
 *   so that late packets of the lost flow don't reach it. The xid of the open
 *   call differs from those of requests, since a duplicated open call is
 *   answered late and with the token of another flow.
 */

struct plug_agent;

struct plug_agent *plug_agent_create(struct plug_client *client,
    const struct plug_agent_config *config, plug_time now);
void plug_agent_destroy(struct plug_agent *agent);
void plug_agent_handle(struct plug_agent *agent, plug_time now,
    const struct plug_agent_event *event);
uint64_t plug_agent_counter(
    const struct plug_agent *agent, enum plug_agent_counter counter);
const char *plug_agent_counter_name(enum plug_agent_counter counter);
void plug_agent_get_load(
    const struct plug_agent *agent, plug_time now, struct plug_load *load);

#endif
