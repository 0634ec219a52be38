#ifndef BENCH_RIG_H
#define BENCH_RIG_H

#include "config.h"
#include "libplantainlug/agent.h"

#define RIG_FLOWS_MAX 4000
#define RIG_CALLS     64  /* calls that wait for the fake upstream */
#define RIG_QUEUE     256 /* messages between rigs */

/**
 * struct rig_flow - caller's side of one flow
 * @token: newest token
 * @xid: last xid used
 */
struct rig_flow {
	uint8_t token[PLUG_TOKEN_SIZE];
	uint32_t xid;
};

/**
 * struct rig - an agent with a fake upstream that answers at once
 * @agent: agent
 * @client: its handlers
 * @config: its identity
 * @now: simulated time, common to connected rigs
 * @host: number of its host
 * @peer: agent that gets its control messages, or NULL
 * @flows: flows opened, @flow_count of them
 * @token: token of the last reply that had one
 * @calls: calls that wait for an answer, @call_count of them
 * @queue: packed messages to @peer, @queued of them
 * @queue_len: their lengths
 * @replies: replies sent
 * @done: replies with the answer
 * @upstream_calls: requests that reached the upstream
 * @peer_bytes: bytes of control messages with frame headers
 * @peer_messages: control messages
 */
struct rig {
	struct plug_agent *agent;
	struct plug_client client;
	struct plug_agent_config config;
	plug_time *now;
	unsigned int host;
	struct rig *peer;
	unsigned int flow_count;
	struct rig_flow flows[RIG_FLOWS_MAX];
	uint8_t token[PLUG_TOKEN_SIZE];
	unsigned int call_count;
	uint64_t calls[RIG_CALLS];
	unsigned int queued;
	uint8_t *queue[RIG_QUEUE];
	size_t queue_len[RIG_QUEUE];
	uint64_t replies;
	uint64_t done;
	uint64_t upstream_calls;
	uint64_t peer_bytes;
	uint64_t peer_messages;
};

struct plug_view *rig_view_create(struct bench_config *config);
struct rig *rig_create(const struct bench_config *config,
    struct plug_view *view, unsigned int host, plug_time *now);
void rig_destroy(struct rig *rig);
size_t rig_prepare(struct rig *rig, unsigned int flow, uint32_t procedure,
    uint8_t packet[PLUG_PACKET_MAX]);
void rig_deliver(struct rig *rig, uint8_t *packet, size_t len);
void rig_open(struct rig *rig);
void rig_tick(struct rig *rig);
void rig_exchange(struct rig *rig);

#endif
