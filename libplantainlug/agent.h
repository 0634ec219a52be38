#ifndef PLUG_AGENT_H
#define PLUG_AGENT_H

#include "placement.h"
#include "view.h"

/**
 * struct plug_agent_config - identity of an agent
 * @instance: random id of this run of the process; changes with each start
 * @endpoint: UDP traffic and TCP control address of the agent
 * @domain: hash of the name of the agent's failure domain
 * @service: id of the service that the upstream provides
 * @fabric: address of the gateway that delivers replies to callers
 */
struct plug_agent_config {
	uint64_t instance;
	struct plug_endpoint endpoint;
	uint32_t domain;
	uint32_t service;
	struct plug_endpoint fabric;
};

enum plug_agent_event_kind {
	PLUG_AGENT_TICK,	    /* timer, every 10 ms */
	PLUG_AGENT_DATAGRAM,	    /* inner packet from an entry or agent */
	PLUG_AGENT_PEER,	    /* load report or transfer message */
	PLUG_AGENT_VIEW,	    /* configuration or membership changed */
	PLUG_AGENT_UPSTREAM_OPEN,   /* upstream connection established */
	PLUG_AGENT_UPSTREAM_CLOSED, /* upstream connection lost */
	PLUG_AGENT_UPSTREAM_REPLY,  /* the upstream ended a call */
	PLUG_AGENT_UPSTREAM_HEALTH, /* the upstream published its health */
	PLUG_AGENT_STOP,	    /* begin the graceful stop */
};

/* How a call at the upstream ended. */
enum plug_upstream_result {
	PLUG_UPSTREAM_DONE,	 /* ran; the body is the answer */
	PLUG_UPSTREAM_SHED,	 /* load shedding: refused before it ran */
	PLUG_UPSTREAM_CANCELLED, /* cancelled before it ran */
	PLUG_UPSTREAM_FAILED,	 /* failed while running */
};

/**
 * struct plug_agent_event - input of plug_agent_handle()
 * @kind: selects the member of the union
 * @datagram: inner packet, modified in place when it is forwarded
 * @peer: control message
 * @view: new view; the agent takes its own reference
 * @reply: id given in PLUG_ACTION_UPSTREAM_CALL, result and answer
 * @health: what the upstream published: its uptime in seconds, its load from 0
 *   to 1, and whether it is draining
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

/*
 * Counters of an agent since its creation. While the agent runs,
 * plug_agent_counter() reads them between two calls of plug_agent_handle().
 */
enum plug_agent_counter {
	PLUG_COUNT_PACKETS,	/* datagrams received */
	PLUG_COUNT_BAD_PACKETS, /* undecodable, no view, xid above window */
	PLUG_COUNT_FOREIGN,	/* other service, bad token, own message */
	PLUG_COUNT_OPENED,	/* tokens minted for opening flows */
	PLUG_COUNT_FORWARDED,	/* packets passed to a sibling */
	PLUG_COUNT_STARTED,	/* requests started at the upstream */
	PLUG_COUNT_ANSWERED,	/* replies with PLUG_OUTCOME_DONE */
	PLUG_COUNT_NOT_RUN,	/* replies with PLUG_OUTCOME_NOT_RUN */
	PLUG_COUNT_UNKNOWN,	/* replies with PLUG_OUTCOME_UNKNOWN */
	PLUG_COUNT_FLOW_LOST,	/* replies with PLUG_OUTCOME_FLOW_LOST */
	PLUG_COUNT_DUPLICATES,	/* resent requests that were not run again */
	PLUG_COUNT_RETRIES,	/* requests sent to the upstream once more */
	PLUG_COUNT_MOVED_OUT,	/* flows handed to a sibling */
	PLUG_COUNT_MOVED_IN,	/* flows taken over from a sibling */
	PLUG_COUNT_COLD_STARTS, /* upstream restarts detected */
	PLUG_COUNT_AGENT_COUNT
};

/*
 * Guarantees of an agent to the callers of its service, and what it requires of
 * them:
 *
 * - "Not run" is final for its xid, at this agent and at any later owner of the
 *   flow, also while the flow is being moved: COMMIT lists the xids that were
 *   refused since PREPARE. A caller that retries after retry_after_ms sends the
 *   request under a new xid.
 * - "Unknown" may be replaced by the answer if the upstream ends the request
 *   late.
 * - A call states a floor: the caller needs no further reply to an xid below
 *   it. A call whose xid is 32 or more above the floor is dropped without an
 *   answer, since the window has no room to record a refusal.
 * - A call with a nonzero offset asks for a further block of an answer and
 *   never starts a request. If the answer is no longer stored, the outcome is
 *   "unknown".
 * - A caller that opens a new flow after "flow lost" uses a new source port, so
 *   that late packets of the lost flow don't reach the new one.
 * - The xid of an open call differs from those of requests: a duplicate of the
 *   open call may be answered late, with the token of another flow.
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
