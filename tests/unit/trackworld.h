#ifndef TRACKWORLD_H
#define TRACKWORLD_H

#include "libplantainlug/track/agent.h"
#include "libplantainlug/track/entry.h"

#define WORLD_ENTRIES_MAX  4
#define WORLD_HOSTS_MAX	   8
#define WORLD_FLOWS	   512	/* client ports are below this */
#define WORLD_MESSAGES_MAX 8192 /* in flight */
#define WORLD_MESSAGE_SIZE 1400 /* bytes */

#define WORLD_SERVICE	      77 /* service of the hosts */
#define WORLD_SECOND_SERVICE  78 /* see world.in_second_service */
#define WORLD_VIP	      0xc6120001U
#define WORLD_VIP_PORT	      443
#define WORLD_NEAR_DOMAIN     1U    /* domain of the entries and hosts 0 to 2 */
#define WORLD_FAR_DOMAIN      2U    /* domain of the other hosts */
#define WORLD_LINK_DELAY      (200) /* microseconds between any two nodes */
#define WORLD_CLIENT_RTT      (2 * PLUG_MSEC)
#define WORLD_TARGET_LATENCY  (150 * PLUG_MSEC) /* of the route */
#define WORLD_ADDRESS_HOLD    (2 * PLUG_SEC)
#define WORLD_FLOW_AGE_MAX    (60 * PLUG_SEC)
#define WORLD_CHECK_TIME      (PLUG_MSEC) /* of a requested health check */
#define WORLD_REQUEST_TIMEOUT (600 * PLUG_MSEC) /* of the route */

/**
 * struct world_host - simulated host
 * @id: hash of its instance id
 * @alive: handles segments; else they are lost
 * @listening: its port accepts the connections of health checks
 * @silent: answers no health check, but keeps its connection open
 * @accepts_syn: answers a SYN; else returns it
 * @resets_requests: answers a request with a reset
 * @request_time: time per request
 * @slots: requests that it processes concurrently
 * @running: requests in progress
 * @syns_received: SYNs received, copies included
 * @unknown_segments: segments received of flows that it doesn't have, except
 *   SYNs
 * @peak_requests: highest number of requests in progress and queued
 * @queue: client ports of the queued requests
 * @queue_len: length of @queue
 * @has_flow: open flows, by client port
 * @sent_syn_ack: flows for which it has sent a SYN+ACK, by client port
 * @last_seqs: sequence number of the last request, by client port; requests
 *   that repeat it are acknowledged but not processed
 */
struct world_host {
	uint64_t id;
	bool alive;
	bool listening;
	bool silent;
	bool accepts_syn;
	bool resets_requests;
	plug_time request_time;
	unsigned int slots;
	unsigned int running;
	unsigned int syns_received;
	unsigned int unknown_segments;
	unsigned int peak_requests;
	uint16_t queue[WORLD_FLOWS];
	unsigned int queue_len;
	bool has_flow[WORLD_FLOWS];
	bool sent_syn_ack[WORLD_FLOWS];
	uint32_t last_seqs[WORLD_FLOWS];
};

/**
 * struct world_client - simulated client, one for each port
 * @resets: resets received from the load balancer
 * @host_resets: resets received from a host
 * @syn_acks: SYN+ACKs received
 * @answers: segments with data received
 * @first_reset_at: time of the first of @resets; 0 if there is none
 * @host_seq: sequence number of the first SYN+ACK
 * @seq: sequence number of the last request, less 500
 * @answered_at: time of the last of @answers
 */
struct world_client {
	unsigned int resets;
	unsigned int host_resets;
	unsigned int syn_acks;
	unsigned int answers;
	plug_time first_reset_at;
	uint32_t host_seq;
	uint32_t seq;
	plug_time answered_at;
};

/**
 * struct world_message - message or event that is due later
 * @at: time of its delivery
 * @kind: message kind, private to trackworld.c
 * @from: address of the sending node, for messages between nodes only
 * @to: index of the receiver
 * @len: length of @bytes
 * @bytes: content
 */
struct world_message {
	plug_time at;
	int kind;
	unsigned int from;
	unsigned int to;
	size_t len;
	uint8_t bytes[WORLD_MESSAGE_SIZE];
};

/**
 * struct world_node - node of an entry or an agent
 * @world: world that the node is part of
 * @index: index of the entry or agent
 * @driver: callbacks of the entry or agent
 * @up: the process runs
 * @isolated: messages between this node and other nodes are dropped
 */
struct world_node {
	struct world *world;
	unsigned int index;
	struct plug_track_driver driver;
	bool up;
	bool isolated;
};

/**
 * struct world - entries, agents, hosts and clients in simulated time
 * @now: current time
 * @entry_count: number of entries
 * @host_count: number of hosts, each with an agent
 * @entry_nodes: nodes of the entries
 * @agent_nodes: nodes of the agents
 * @entries: entries under test
 * @agents: agents under test
 * @hosts: simulated hosts
 * @clients: simulated clients, by port
 * @refresh_requests: requests of entries to read the host list again
 * @requested_checks: health checks that agents have requested
 * @entry_notices: notices that entries sent to agents
 * @entry_notice_bytes: total length of @entry_notices
 * @message_count: length of @messages
 * @sequence: unused
 * @messages: messages and events in flight, sorted by time
 * @listed: hosts that the next snapshots list
 * @draining: hosts that the next snapshots show as draining
 * @cold_until: time until which the next snapshots show the hosts as cold; 0
 *   when warm
 * @cold_per_s: new flows per second that a cold host of WORLD_SERVICE gets, in
 *   the next snapshots; 0 for no limit
 * @has_later_entry: hosts beside which the next snapshots list another one,
 *   with a later start, that doesn't run
 * @cold_time: how long a host of WORLD_SERVICE stays cold after its start, in
 * the next snapshots
 * @in_second_service: hosts that belong to WORLD_SECOND_SERVICE in the next
 *   snapshots
 * @second_weight: weight of WORLD_SECOND_SERVICE in the route in the next
 *   snapshots; the weights of both services sum to 100
 * @far_domain_out: WORLD_FAR_DOMAIN is out of service in the next snapshots
 * @config_version: version of the configuration of the next snapshots
 * @idle_timeout: idle timeout in the next snapshots, microseconds
 * @no_route: the next snapshots lack the route
 * @not_authoritative: the host lists of the next snapshots may lack live hosts;
 *   see plug_fleet.authoritative
 */
struct world {
	plug_time now;
	unsigned int entry_count;
	unsigned int host_count;
	struct world_node entry_nodes[WORLD_ENTRIES_MAX];
	struct world_node agent_nodes[WORLD_HOSTS_MAX];
	struct plug_track_entry entries[WORLD_ENTRIES_MAX];
	struct plug_track_agent agents[WORLD_HOSTS_MAX];
	struct world_host hosts[WORLD_HOSTS_MAX];
	struct world_client clients[WORLD_FLOWS];
	unsigned int refresh_requests;
	unsigned int requested_checks;
	unsigned int entry_notices;
	size_t entry_notice_bytes;
	unsigned int message_count;
	uint64_t sequence;
	struct world_message messages[WORLD_MESSAGES_MAX];
	bool listed[WORLD_HOSTS_MAX];
	bool draining[WORLD_HOSTS_MAX];
	bool has_later_entry[WORLD_HOSTS_MAX];
	plug_time cold_until[WORLD_HOSTS_MAX];
	double cold_per_s;
	plug_time cold_time;
	bool in_second_service[WORLD_HOSTS_MAX];
	uint32_t second_weight;
	bool far_domain_out;
	uint64_t config_version;
	plug_time idle_timeout;
	bool no_route;
	bool not_authoritative;
};

void world_init(struct world *world, unsigned int entries, unsigned int hosts);
void world_finish(struct world *world);
void world_run(struct world *world, plug_time time);
void world_adopt(struct world *world, unsigned int entry, bool consistent);
void world_adopt_all(struct world *world, bool consistent);
void world_restart_entry(struct world *world, unsigned int entry);
void world_restart_agent(struct world *world, unsigned int agent);
void world_host_crash(struct world *world, unsigned int host);
void world_host_start(struct world *world, unsigned int host, uint64_t id);
void world_host_silence(struct world *world, unsigned int host);
void world_host_take_over(struct world *world, unsigned int host, uint64_t id);
void world_end_check_connection(struct world *world, unsigned int host);
void world_check_health(struct world *world, unsigned int host);
void world_syn(struct world *world, unsigned int entry, uint16_t port);
void world_ack(struct world *world, unsigned int entry, uint16_t port);
void world_data(struct world *world, unsigned int entry, uint16_t port);
void world_fin(struct world *world, unsigned int entry, uint16_t port);
void world_open(struct world *world, unsigned int entry, uint16_t port);
void world_close(struct world *world, unsigned int entry, uint16_t port);
void world_repeat_answer(struct world *world, unsigned int host, uint16_t port);
void world_pause(struct world *world, plug_time time);
int world_host_of_flow(const struct world *world, uint16_t port);
unsigned int world_unknown_segments(const struct world *world);
void world_list_only(struct world *world, unsigned int host);

#endif
