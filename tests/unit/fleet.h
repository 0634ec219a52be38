#ifndef FLEET_H
#define FLEET_H

#include "libplantainlug/agent.h"

/* Agents of one service that exchange messages through a queue, with upstreams
 * whose answers the test gives. The clock advances only in fleet_run(). */

#define FLEET_AGENTS_MAX	 4
#define FLEET_UPSTREAM_CALLS_MAX 512  /* of one agent */
#define FLEET_REPLIES_SIZE	 512  /* last replies that are kept */
#define FLEET_QUEUE_SIZE	 4096 /* messages */

/* Procedures of the service. */
#define SHORT_READ  1 /* idempotent */
#define SHORT_WRITE 2 /* not idempotent */
#define BULK_READ   3 /* idempotent */

struct fleet_upstream_call {
	uint64_t id;
	uint32_t procedure;
	bool unanswered;
	uint64_t body_prefix; /* first 8 bytes of the arguments, or 0 */
	bool cancelled;
};

struct fleet_agent {
	struct fleet *fleet;
	struct plug_agent *agent;
	struct plug_client client;
	struct plug_agent_config config;
	bool dead;	      /* gets no more events */
	bool upstream_silent; /* the upstream answers no null call */
	bool auto_answer;     /* the upstream answers requests on each tick */
	struct fleet_upstream_call upstream_calls[FLEET_UPSTREAM_CALLS_MAX];
	unsigned int upstream_call_count;
	unsigned int reconnects;      /* upstream connections replaced */
	unsigned int fabric_renewals; /* PLUG_ACTION_FABRIC_RENEW emitted */
	bool stopped;		      /* the agent has reported its stop */
};

struct fleet_message {
	unsigned int target; /* index of the agent; lost when out of range */
	bool is_peer;	     /* control message; otherwise a datagram */
	size_t len;
	uint8_t *data; /* owned */
};

struct fleet {
	plug_time now;
	unsigned int agent_count;
	struct plug_view *view; /* last view given to all agents */
	struct fleet_agent agents[FLEET_AGENTS_MAX];
	struct fleet_message queue[FLEET_QUEUE_SIZE]; /* ring */
	unsigned int head, tail; /* messages taken and added so far */
	uint32_t drop_mask;	 /* bit for each body case that is lost */
	uint32_t hold_mask;	 /* bit for each body case to be held back */
	struct fleet_message held_message; /* until fleet_release_message() */
	bool delayed_delivery;	  /* messages wait for the end of a tick */
	bool in_tick_delivery;	  /* fleet_run() delivers delayed messages */
	unsigned int reply_count; /* replies in total */
	/* Ring. The data of the bodies is no longer valid, also in the replies
	 * that the functions below return. */
	struct plug_reply replies[FLEET_REPLIES_SIZE];
	uint64_t body_prefixes[FLEET_REPLIES_SIZE]; /* of the replies */
	/* Called when a request is sent to an upstream; may be NULL. */
	void (*on_start)(void *data, uint64_t body_prefix);
	void *on_start_data;
	/* By body case; includes lost messages. */
	unsigned int peer_message_counts[16];
};

/* In these functions, @at is the index of an agent. */
struct fleet *fleet_create(unsigned int agents);
void fleet_destroy(struct fleet *fleet);
void fleet_set_view(struct fleet *fleet,
    void (*edit)(struct plug_service *service, void *data), void *data);
void fleet_release_message(struct fleet *fleet);
void fleet_run(struct fleet *fleet, unsigned int ms);
void fleet_handle_event(
    struct fleet *fleet, unsigned int at, const struct plug_agent_event *event);
void fleet_restart(struct fleet *fleet, unsigned int at, uint64_t instance);
void fleet_open_flow(
    struct fleet *fleet, unsigned int at, uint8_t token[PLUG_TOKEN_SIZE]);
const struct plug_reply *fleet_call(struct fleet *fleet, unsigned int at,
    const uint8_t *token, uint32_t xid, uint32_t procedure);
const struct plug_reply *
fleet_send(struct fleet *fleet, unsigned int at, const struct plug_call *call);
struct plug_call
fleet_make_call(const uint8_t *token, uint32_t xid, uint32_t procedure);
const struct plug_reply *fleet_answer(struct fleet *fleet, unsigned int at,
    unsigned int call, enum plug_upstream_result result, struct plug_str body);
unsigned int fleet_count_running(const struct fleet *fleet, unsigned int at);
unsigned int fleet_count_started(const struct fleet *fleet);
const struct plug_reply *
fleet_find_reply(const struct fleet *fleet, uint32_t xid);
struct plug_load fleet_load(const struct fleet *fleet, unsigned int at);
void
fleet_assert_outcome(const struct plug_reply *reply, enum plug_outcome outcome);

#endif
