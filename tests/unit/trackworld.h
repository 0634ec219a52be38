#ifndef TRACKWORLD_H
#define TRACKWORLD_H

#include "libplantainlug/track/agent.h"
#include "libplantainlug/track/entry.h"

#define WORLD_ENTRIES	   4
#define WORLD_HOSTS	   8
#define WORLD_FLOWS	   512
#define WORLD_MESSAGES	   8192
#define WORLD_MESSAGE_SIZE 1400 /* bytes */

#define WORLD_SERVICE	     77 /* service of the hosts */
#define WORLD_SECOND_SERVICE 78 /* service of those that second[] names */
#define WORLD_VIP	     0xc6120001U
#define WORLD_VIP_PORT	     443
#define WORLD_NEAR_DOMAIN    1U /* domain of the entries and of hosts 0 to 2 */
#define WORLD_FAR_DOMAIN     2U /* domain of the other hosts */
#define WORLD_LINK_DELAY     (200) /* microseconds between any two nodes */
#define WORLD_CLIENT_RTT     (2 * PLUG_MSEC)
#define WORLD_TARGET_LATENCY (150 * PLUG_MSEC) /* objective of the route */
#define WORLD_TIMEOUT	     (600 * PLUG_MSEC)

/* Numbers for the calls below. */
struct world_host {
	uint64_t id;
	bool alive;	/* answers and returns segments */
	bool listening; /* its port takes connections */
	bool accepts_syn;
	bool resets_requests;	/* resets a flow instead of an answer */
	plug_time request_time; /* of a request */
	unsigned int slots;
	unsigned int running;
	unsigned int syns_received; /* opening segments that reached it */
	unsigned int
	    unknown_segments;	    /* segments of flows that it doesn't hold */
	unsigned int peak_requests; /* requests at work and waiting, at most */
	uint16_t queue[WORLD_FLOWS];
	unsigned int queue_len;
	bool has_flow[WORLD_FLOWS];	 /* flows by client port */
	bool sent_syn_ack[WORLD_FLOWS];	 /* SYN+ACK was sent */
	uint32_t last_seqs[WORLD_FLOWS]; /* last one that was worked on */
};

struct world_client {
	unsigned int resets;
	unsigned int host_resets; /* resets by a host */
	unsigned int syn_acks;	  /* SYN+ACKs */
	unsigned int answers;	  /* segments with data */
	plug_time first_reset_at;
	uint32_t host_seq; /* of the first SYN+ACK */
	uint32_t seq;	   /* of the last request */
	plug_time answered_at;
};

struct world_message {
	plug_time at;
	int kind;
	unsigned int from;
	unsigned int to;
	size_t len;
	uint8_t bytes[WORLD_MESSAGE_SIZE];
};

struct world_node {
	struct world *world;
	unsigned int index;
	struct plug_track_driver driver;
	bool up;
	bool isolated; /* nothing reaches it or leaves it */
};

struct world {
	plug_time now;
	unsigned int entry_count;
	unsigned int host_count;
	struct world_node entry_nodes[WORLD_ENTRIES];
	struct world_node agent_nodes[WORLD_HOSTS];
	struct plug_track_entry entries[WORLD_ENTRIES];
	struct plug_track_agent agents[WORLD_HOSTS];
	struct world_host hosts[WORLD_HOSTS];
	struct world_client clients[WORLD_FLOWS];
	unsigned int refresh_requests;
	unsigned int entry_notices; /* notices of entries to agents */
	size_t entry_notice_bytes;  /* their length */
	unsigned int message_count;
	uint64_t sequence;
	struct world_message messages[WORLD_MESSAGES];
	/* What the next snapshots show. */
	bool listed[WORLD_HOSTS];
	bool draining[WORLD_HOSTS];
	plug_time cold_until[WORLD_HOSTS];
	double cold_per_s;
	bool in_second_service[WORLD_HOSTS];
	uint32_t second_weight; /* of 100, in the route */
	bool far_domain_out;
	bool no_route;
	bool not_authoritative;
};

void world_init(struct world *world, unsigned int entries, unsigned int hosts);
void world_finish(struct world *world);
void world_run(struct world *world, plug_time time);
void world_adopt(struct world *world, unsigned int entry, bool exact);
void world_adopt_all(struct world *world, bool exact);
void world_restart_entry(struct world *world, unsigned int entry);
void world_restart_agent(struct world *world, unsigned int agent);
void world_host_crash(struct world *world, unsigned int host);
void world_host_start(struct world *world, unsigned int host, uint64_t id);
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
