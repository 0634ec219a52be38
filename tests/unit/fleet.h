#ifndef FLEET_H
#define FLEET_H

#include "libplantainlug/agent.h"

/* Agents of one service, connected by queues, with upstreams that the test
 * answers. Time goes on only in fleet_run(). */

#define FLEET_AGENTS_MAX	 4
#define FLEET_UPSTREAM_CALLS_MAX 512
#define FLEET_REPLIES_SIZE	 512
#define FLEET_QUEUE_SIZE	 4096

#define SHORT_READ  1 /* procedures of the service */
#define SHORT_WRITE 2 /* not idempotent */
#define BULK_READ   3

struct fleet_upstream_call {
	uint64_t id;
	uint32_t procedure;
	bool unanswered;
	uint64_t body_prefix; /* first bytes of the arguments */
	bool cancelled;
};

struct fleet_agent {
	struct fleet *fleet;
	struct plug_agent *agent;
	struct plug_client client;
	struct plug_agent_config config;
	bool dead;
	bool upstream_silent; /* the upstream answers no null call */
	bool auto_answer;
	struct fleet_upstream_call upstream_calls[FLEET_UPSTREAM_CALLS_MAX];
	unsigned int upstream_call_count;
	unsigned int reconnects;
	unsigned int fabric_renewals;
	bool stopped;
};

struct fleet_message {
	unsigned int target;
	bool is_peer;
	size_t len;
	uint8_t *data;
};

struct fleet {
	plug_time now;
	unsigned int agent_count;
	struct plug_view *view;
	struct fleet_agent agents[FLEET_AGENTS_MAX];
	struct fleet_message queue[FLEET_QUEUE_SIZE];
	unsigned int head, tail;
	uint32_t drop_mask; /* bit for each body case that is lost */
	uint32_t hold_mask; /* bit for each body case kept until
			       fleet_release_message() */
	struct fleet_message held_message;
	bool delayed_delivery; /* messages arrive one tick after they were sent
				*/
	bool in_tick_delivery;
	unsigned int reply_count;
	struct plug_reply replies[FLEET_REPLIES_SIZE];
	uint64_t
	    body_prefixes[FLEET_REPLIES_SIZE]; /* first bytes of each answer */
	void (*on_start)(void *data, uint64_t body);
	void *on_start_data;
	unsigned int peer_message_counts[16]; /* messages by body case */
};

struct fleet *fleet_create(unsigned int agents);
void fleet_destroy(struct fleet *fleet);
void fleet_set_view(struct fleet *fleet,
    void (*change)(struct plug_service *service, void *data), void *data);
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
