#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "trackworld.h"

/*
 * Simulates entries, agents, hosts and clients, and the links between them,
 * without sockets and in simulated time. Segments consist of struct header, a
 * format that only these tests use.
 */

enum {
	TO_ENTRY,     /* client's segment, from the client to an entry */
	TO_AGENT,     /* client's segment, from an entry to an agent */
	TO_HOST,      /* client's segment, from an agent to its host */
	FROM_HOST,    /* host's segment, from the host to its agent */
	TO_CLIENT,    /* host's segment, to the client */
	RESET_CLIENT, /* reset by the load balancer, to the client */
	NOTICE_TO_ENTRY,
	NOTICE_TO_AGENT,
	REQUEST_COMPLETED, /* a host has finished processing a request */
	HEALTH_CHECK,	   /* a requested health check reaches the host */
};

struct header {
	struct plug_tuple tuple;
	unsigned int flags;
	uint32_t seq;
	uint32_t ack;
	uint32_t len;
};

#define ENTRY_ADDRESS 0x0a000000U
#define AGENT_ADDRESS 0x0a000100U
#define TICK_INTERVAL (PLUG_MSEC)

/* Distance of the ids of a host and of the later one that is listed beside it,
 * see world.has_later_entry. */
#define LATER_ENTRY_ID 10000

/* Distance between the sequence numbers of successive connections of a port. */
#define CONNECTION_SEQ_STEP 1000000U

static bool
decode(void *data, struct plug_str bytes, struct plug_segment *segment)
{
	struct header header;

	(void)data;
	if (bytes.len != sizeof(header))
		return false;
	memcpy(&header, bytes.data, sizeof(header));
	*segment = (struct plug_segment){
		.tuple = header.tuple,
		.flags = header.flags,
		.seq = header.seq,
		.ack = header.ack,
		.len = header.len,
		.bytes = bytes,
	};
	return true;
}

/* Queues a message for delivery after a delay. */
static void
post(struct world *world, int kind, unsigned int from, unsigned int to,
    const void *bytes, size_t len, plug_time delay)
{
	struct world_message *message;
	plug_time at = world->now + delay;
	unsigned int i = world->message_count;

	ck_assert_uint_lt(world->message_count, WORLD_MESSAGES_MAX);
	ck_assert_uint_le(len, sizeof(message->bytes));
	while (i > 0 && world->messages[i - 1].at > at) {
		world->messages[i] = world->messages[i - 1];
		i--;
	}
	message = &world->messages[i];
	*message = (struct world_message){
		.at = at,
		.kind = kind,
		.from = from,
		.to = to,
		.len = len,
	};
	memcpy(message->bytes, bytes, len);
	world->message_count++;
}

static void
post_segment(struct world *world, int kind, unsigned int from, unsigned int to,
    const struct header *header, plug_time delay)
{
	post(world, kind, from, to, header, sizeof(*header), delay);
}

/* Whether messages between two nodes are delivered. */
static bool
can_reach(const struct world *world, uint32_t from, uint32_t to)
{
	const struct world_node *a =
	    from < AGENT_ADDRESS ? &world->entry_nodes[from - ENTRY_ADDRESS]
				 : &world->agent_nodes[from - AGENT_ADDRESS];
	const struct world_node *b =
	    to < AGENT_ADDRESS ? &world->entry_nodes[to - ENTRY_ADDRESS]
			       : &world->agent_nodes[to - AGENT_ADDRESS];

	return !a->isolated && !b->isolated;
}

/* Carries out an action of an entry or an agent. */
static void
emit(void *data, const struct plug_track_action *action)
{
	struct world_node *node = data;
	struct world *world = node->world;
	bool is_entry = node >= world->entry_nodes &&
			node < world->entry_nodes + WORLD_ENTRIES_MAX;
	uint32_t self =
	    (is_entry ? ENTRY_ADDRESS : AGENT_ADDRESS) + node->index;
	uint8_t buf[WORLD_MESSAGE_SIZE];
	struct header header = { 0 };
	size_t len;

	if (action->segment.len == sizeof(header)) {
		memcpy(&header, action->segment.data, sizeof(header));
		header.flags &= ~PLUG_SEGMENT_BOUNCED;
	}
	switch (action->kind) {
	case PLUG_TRACK_TO_AGENT:
		if (can_reach(world, self, action->node))
			post_segment(world, TO_AGENT, self,
			    action->node - AGENT_ADDRESS, &header,
			    WORLD_LINK_DELAY);
		return;
	case PLUG_TRACK_TO_HOST:
		post_segment(
		    world, TO_HOST, node->index, node->index, &header, 10);
		return;
	case PLUG_TRACK_TO_CLIENT:
		post_segment(world, TO_CLIENT, node->index, 0, &header,
		    WORLD_CLIENT_RTT / 2);
		return;
	case PLUG_TRACK_RESET:
		header = (struct header){ .tuple = action->tuple,
			.seq = action->seq };
		post_segment(world, RESET_CLIENT, node->index, 0, &header,
		    WORLD_CLIENT_RTT / 2);
		return;
	case PLUG_TRACK_NOTICE:
		len = plug__track_notice__get_packed_size(action->notice);
		ck_assert_uint_le(len, sizeof(buf));
		(void)plug__track_notice__pack(action->notice, buf);
		if (is_entry) {
			world->entry_notices++;
			world->entry_notice_bytes += len;
		}
		if (!can_reach(world, self, action->node))
			return;
		if (action->node >= AGENT_ADDRESS)
			post(world, NOTICE_TO_AGENT, self,
			    action->node - AGENT_ADDRESS, buf, len,
			    WORLD_LINK_DELAY);
		else
			post(world, NOTICE_TO_ENTRY, self,
			    action->node - ENTRY_ADDRESS, buf, len,
			    WORLD_LINK_DELAY);
		return;
	case PLUG_TRACK_REFRESH_HOSTS:
		world->refresh_requests++;
		return;
	case PLUG_TRACK_CHECK_HOST:
		world->requested_checks++;
		post(world, HEALTH_CHECK, node->index, node->index, "", 0,
		    WORLD_CHECK_TIME);
		return;
	}
}

static const struct plug_track_limits limits = {
	.address_hold = WORLD_ADDRESS_HOLD,
	.flow_age_max = WORLD_FLOW_AGE_MAX,
};

static void
init_node(struct world *world, struct world_node *node, unsigned int index)
{
	*node = (struct world_node){
		.world = world,
		.index = index,
		.up = true,
	};
	node->driver.emit = emit;
	node->driver.decode = decode;
	node->driver.data = node;
	node->driver.client.random[0] = (unsigned short)index;
}

/* Starts all entries, agents and hosts, without flows. Every entry has a
 * consistent host list with all hosts. */
void
world_init(struct world *world, unsigned int entries, unsigned int hosts)
{
	memset(world, 0, sizeof(*world));
	world->now = 1000 * PLUG_SEC;
	world->entry_count = entries;
	world->host_count = hosts;
	world->config_version = 1;
	world->idle_timeout = 15 * PLUG_SEC;
	for (unsigned int i = 0; i < hosts; i++) {
		world->hosts[i] = (struct world_host){
			.id = 100 + i,
			.accepts_syn = true,
			.request_time = 20 * PLUG_MSEC,
			.slots = 2,
		};
		world->listed[i] = true;
		init_node(world, &world->agent_nodes[i], i);
		ck_assert_int_eq(
		    plug_track_agent_init(&world->agents[i],
			&world->agent_nodes[i].driver, world->now, &limits),
		    PLUG_OK);
		world_check_health(world, i);
		world_host_start(world, i, 100 + i);
	}
	for (unsigned int i = 0; i < entries; i++) {
		init_node(world, &world->entry_nodes[i], i);
		ck_assert_int_eq(
		    plug_track_entry_init(&world->entries[i],
			&world->entry_nodes[i].driver, WORLD_NEAR_DOMAIN),
		    PLUG_OK);
		world_adopt(world, i, true);
	}
}

void
world_finish(struct world *world)
{
	for (unsigned int i = 0; i < world->entry_count; i++)
		plug_track_entry_finish(&world->entries[i]);
	for (unsigned int i = 0; i < world->host_count; i++)
		plug_track_agent_finish(&world->agents[i]);
}

/* Gives an entry a new snapshot with the current hosts. If @consistent, the
 * read of its host list counts as consistent and as begun now; else the time of
 * the last consistent read stays. */
void
world_adopt(struct world *world, unsigned int entry, bool consistent)
{
	struct plug_config *config =
	    plug_config_create(world->no_route ? 0 : 1, 2, 1);
	const struct plug_fleet *old = world->entries[entry].balance.fleet;
	struct plug_fleet *fleet;
	unsigned int count = 0;

	config->version = world->config_version;
	config->idle_timeout = world->idle_timeout;
	config->services[0].id = WORLD_SERVICE;
	config->services[0].cold_per_s = world->cold_per_s;
	config->services[0].cold_time = world->cold_time;
	if (!world->no_route) {
		config->routes[0] = (struct plug_route){
			.vip = { WORLD_VIP, WORLD_VIP_PORT },
			.target_latency = WORLD_TARGET_LATENCY,
			.request_timeout = WORLD_REQUEST_TIMEOUT,
			.share_count = 2,
			.shares = config->shares,
		};
		config->shares[0] = (struct plug_route_share){ WORLD_SERVICE,
			100 - world->second_weight };
		config->shares[1] =
		    (struct plug_route_share){ WORLD_SECOND_SERVICE,
			    world->second_weight };
	}
	plug_config_complete(config);
	fleet = plug_fleet_create(config, 2 * world->host_count);
	plug_config_release(config);
	for (unsigned int i = 0; i < world->host_count; i++) {
		if (!world->listed[i])
			continue;
		fleet->hosts[count++] = (struct plug_fleet_host){
			.id = world->hosts[i].id,
			.name = "host",
			.address = AGENT_ADDRESS + i,
			.service = world->in_second_service[i]
				       ? WORLD_SECOND_SERVICE
				       : WORLD_SERVICE,
			.domain = i < 3 ? WORLD_NEAR_DOMAIN : WORLD_FAR_DOMAIN,
			.slots = world->hosts[i].slots,
			.draining = world->draining[i],
			.cold_until = world->cold_until[i],
			.started_ms = 1,
		};
		if (!world->has_later_entry[i])
			continue;
		fleet->hosts[count] = fleet->hosts[count - 1];
		fleet->hosts[count].id += LATER_ENTRY_ID;
		fleet->hosts[count++].started_ms = 2;
	}
	fleet->host_count = count;
	fleet->consistent_read_at = consistent	  ? world->now
				    : old == NULL ? 0
						  : old->consistent_read_at;
	fleet->authoritative = !world->not_authoritative;
	fleet->revision = 1;
	if (world->far_domain_out)
		fleet->out_domains[fleet->out_domain_count++] =
		    WORLD_FAR_DOMAIN;
	plug_fleet_complete(fleet);
	plug_track_entry_adopt(&world->entries[entry], world->now, fleet);
}

void
world_adopt_all(struct world *world, bool consistent)
{
	for (unsigned int i = 0; i < world->entry_count; i++)
		world_adopt(world, i, consistent);
}

/* Restarts an entry, without flows. It adopts the current hosts as a consistent
 * host list. */
void
world_restart_entry(struct world *world, unsigned int entry)
{
	plug_track_entry_finish(&world->entries[entry]);
	ck_assert_int_eq(
	    plug_track_entry_init(&world->entries[entry],
		&world->entry_nodes[entry].driver, WORLD_NEAR_DOMAIN),
	    PLUG_OK);
	world_adopt(world, entry, true);
}

void
world_restart_agent(struct world *world, unsigned int agent)
{
	plug_track_agent_finish(&world->agents[agent]);
	ck_assert_int_eq(
	    plug_track_agent_init(&world->agents[agent],
		&world->agent_nodes[agent].driver, world->now, &limits),
	    PLUG_OK);
	world_check_health(world, agent);
}

/* Tells the agent what a health check of its host finds now. */
void
world_check_health(struct world *world, unsigned int host)
{
	const struct world_host *h = &world->hosts[host];
	const struct plug_host_report report = {
		.state = h->listening ? PLUG_HOST_UP : PLUG_HOST_REFUSING,
		.host = h->id,
		.checked_at = world->now,
	};

	plug_track_agent_set_host(&world->agents[host], world->now, &report);
}

/* Tells the agent that the connection of the health check has ended. */
void
world_end_check_connection(struct world *world, unsigned int host)
{
	const struct plug_host_report report = { .state = PLUG_HOST_UNKNOWN };

	plug_track_agent_set_host(&world->agents[host], world->now, &report);
}

/* Ends a host without a trace: its connections stay open, and it answers
 * neither health checks nor segments. */
void
world_host_silence(struct world *world, unsigned int host)
{
	world->hosts[host].alive = false;
	world->hosts[host].silent = true;
}

/* Starts a host at the address of a silent one, unnoticed by the agent. */
void
world_host_take_over(struct world *world, unsigned int host, uint64_t id)
{
	struct world_host *h = &world->hosts[host];

	memset(h->has_flow, 0, sizeof(h->has_flow));
	memset(h->sent_syn_ack, 0, sizeof(h->sent_syn_ack));
	h->alive = true;
	h->silent = false;
	h->id = id;
	h->syns_received = 0;
}

/* Drops all flows and requests of a host; it doesn't answer any more. */
void
world_host_crash(struct world *world, unsigned int host)
{
	struct world_host *h = &world->hosts[host];

	h->alive = false;
	h->listening = false;
	h->running = 0;
	h->queue_len = 0;
	memset(h->has_flow, 0, sizeof(h->has_flow));
	memset(h->sent_syn_ack, 0, sizeof(h->sent_syn_ack));
	world_check_health(world, host);
}

/* Starts a host, also after a crash, under the given id. */
void
world_host_start(struct world *world, unsigned int host, uint64_t id)
{
	struct world_host *h = &world->hosts[host];

	h->alive = true;
	h->listening = true;
	h->id = id;
	world_check_health(world, host);
}

static void
host_send(struct world *world, unsigned int host, uint16_t port,
    unsigned int flags, uint32_t seq, uint32_t len)
{
	const struct header header = {
		.tuple = { .client = 1,
		    .service = WORLD_VIP,
		    .client_port = port,
		    .service_port = WORLD_VIP_PORT },
		.flags = flags,
		.seq = seq,
		.len = len,
	};

	post_segment(world, FROM_HOST, host, host, &header, 10);
}

static void
start_requests(struct world *world, unsigned int host)
{
	struct world_host *h = &world->hosts[host];

	while (h->queue_len > 0 && h->running < h->slots) {
		uint16_t port = h->queue[0];

		h->queue_len--;
		memmove(
		    h->queue, h->queue + 1, h->queue_len * sizeof(h->queue[0]));
		h->running++;
		post(world, REQUEST_COMPLETED, host, host, &port, sizeof(port),
		    h->request_time);
	}
}

/* Return: sequence number of a host's SYN+ACKs. Those of two hosts are
 * 1,000,000 apart, so that an acknowledgement number shows whose SYN+ACK it
 * answers. */
static uint32_t
syn_ack_seq(unsigned int host)
{
	return 1000000U * (host + 1);
}

static void
host_receive(
    struct world *world, unsigned int host, const struct header *header)
{
	struct world_host *h = &world->hosts[host];
	uint16_t port = header->tuple.client_port;
	struct header returned = *header;
	bool is_syn = header->flags == PLUG_SEGMENT_SYN;

	if (!h->alive)
		return;
	if (is_syn)
		h->syns_received++;
	if (is_syn && h->accepts_syn) {
		h->sent_syn_ack[port] = true;
		host_send(world, host, port,
		    PLUG_SEGMENT_SYN | PLUG_SEGMENT_ACK, syn_ack_seq(host), 0);
		return;
	}
	/* A segment that acknowledges this host's SYN+ACK opens the flow. */
	if (!is_syn && h->sent_syn_ack[port] && !h->has_flow[port] &&
	    header->ack - syn_ack_seq(host) < 1000)
		h->has_flow[port] = true;
	if (!h->has_flow[port]) {
		if (!is_syn)
			h->unknown_segments++;
		returned.flags |= PLUG_SEGMENT_BOUNCED;
		post_segment(world, FROM_HOST, host, host, &returned, 10);
		return;
	}
	if ((header->flags & PLUG_SEGMENT_FIN) != 0) {
		h->has_flow[port] = false;
		h->sent_syn_ack[port] = false;
		host_send(world, host, port,
		    PLUG_SEGMENT_FIN | PLUG_SEGMENT_ACK, 1, 0);
		return;
	}
	if (header->len == 0)
		return;
	if (h->resets_requests) {
		h->has_flow[port] = false;
		h->sent_syn_ack[port] = false;
		host_send(world, host, port, PLUG_SEGMENT_RST, 1, 0);
		return;
	}
	if (header->seq == h->last_seqs[port]) {
		host_send(world, host, port, PLUG_SEGMENT_ACK, 1, 0);
		return;
	}
	h->last_seqs[port] = header->seq;
	h->queue[h->queue_len++] = port;
	if (h->queue_len + h->running > h->peak_requests)
		h->peak_requests = h->queue_len + h->running;
	start_requests(world, host);
}

static void
client_receive(struct world *world, int kind, const struct header *header)
{
	struct world_client *client =
	    &world->clients[header->tuple.client_port];

	if (kind == RESET_CLIENT) {
		client->resets++;
		if (client->first_reset_at == 0)
			client->first_reset_at = world->now;
		return;
	}
	if ((header->flags & PLUG_SEGMENT_RST) != 0) {
		client->host_resets++;
	} else if ((header->flags & PLUG_SEGMENT_SYN) != 0) {
		if (client->syn_acks++ == 0)
			client->host_seq = header->seq;
	} else if (header->len > 0) {
		client->answers++;
		client->answered_at = world->now;
	}
}

static void
deliver_notice(struct world *world, const struct world_message *message)
{
	Plug__TrackNotice *notice =
	    plug__track_notice__unpack(NULL, message->len, message->bytes);

	ck_assert_ptr_nonnull(notice);
	if (message->kind == NOTICE_TO_ENTRY)
		plug_track_entry_notice(&world->entries[message->to],
		    world->now, message->from, notice);
	else if (world->agent_nodes[message->to].up)
		plug_track_agent_notice(&world->agents[message->to], world->now,
		    message->from, notice);
	plug__track_notice__free_unpacked(notice, NULL);
}

static void
deliver(struct world *world, const struct world_message *message)
{
	const struct plug_str bytes = { (const char *)message->bytes,
		message->len };
	struct plug_segment segment;
	struct header header;
	uint16_t port;

	if (message->kind == NOTICE_TO_ENTRY ||
	    message->kind == NOTICE_TO_AGENT) {
		deliver_notice(world, message);
		return;
	}
	if (message->kind == HEALTH_CHECK) {
		if (!world->hosts[message->to].silent)
			world_check_health(world, message->to);
		return;
	}
	if (message->kind == REQUEST_COMPLETED) {
		memcpy(&port, message->bytes, sizeof(port));
		if (world->hosts[message->to].running == 0)
			return;
		world->hosts[message->to].running--;
		host_send(world, message->to, port, PLUG_SEGMENT_ACK, 1, 600);
		start_requests(world, message->to);
		return;
	}
	ck_assert(decode(NULL, bytes, &segment));
	memcpy(&header, message->bytes, sizeof(header));
	switch (message->kind) {
	case TO_ENTRY:
		plug_track_entry_segment(
		    &world->entries[message->to], world->now, &segment);
		return;
	case TO_AGENT:
		if (world->agent_nodes[message->to].up)
			plug_track_agent_client_segment(
			    &world->agents[message->to], world->now,
			    message->from, &segment);
		return;
	case TO_HOST:
		host_receive(world, message->to, &header);
		return;
	case FROM_HOST:
		if (world->agent_nodes[message->to].up)
			plug_track_agent_host_segment(
			    &world->agents[message->to], world->now, &segment);
		return;
	default:
		client_receive(world, message->kind, &header);
		return;
	}
}

static void
tick_all(struct world *world)
{
	for (unsigned int i = 0; i < world->entry_count; i++)
		(void)plug_track_entry_tick(&world->entries[i], world->now);
	for (unsigned int i = 0; i < world->host_count; i++) {
		if (!world->agent_nodes[i].up)
			continue;
		plug_track_agent_host_drained(&world->agents[i], world->now);
		(void)plug_track_agent_tick(&world->agents[i], world->now);
	}
}

/* Delivers messages and runs all ticks for a period of simulated time. */
void
world_run(struct world *world, plug_time time)
{
	plug_time end = world->now + time;

	while (world->now < end) {
		plug_time next = world->now + TICK_INTERVAL;

		while (
		    world->message_count > 0 && world->messages[0].at < next) {
			struct world_message message = world->messages[0];

			world->message_count--;
			memmove(world->messages, world->messages + 1,
			    world->message_count * sizeof(message));
			if (message.at > world->now)
				world->now = message.at;
			deliver(world, &message);
		}
		world->now = next;
		tick_all(world);
	}
}

static void
client_send(struct world *world, unsigned int entry, uint16_t port,
    unsigned int flags, uint32_t len)
{
	const struct header header = {
		.tuple = { .client = 1,
		    .service = WORLD_VIP,
		    .client_port = port,
		    .service_port = WORLD_VIP_PORT },
		.flags = flags,
		.seq = 500 + world->clients[port].seq,
		.ack = world->clients[port].host_seq,
		.len = len,
	};

	post_segment(world, TO_ENTRY, 0, entry, &header, WORLD_CLIENT_RTT / 2);
}

/* Sends a SYN from the client with this port. */
void
world_syn(struct world *world, unsigned int entry, uint16_t port)
{
	client_send(world, entry, port, PLUG_SEGMENT_SYN, 0);
}

/* Sends an ACK without data from the client with this port. */
void
world_ack(struct world *world, unsigned int entry, uint16_t port)
{
	client_send(world, entry, port, PLUG_SEGMENT_ACK, 0);
}

/* Sends a new request from the client with this port. */
void
world_data(struct world *world, unsigned int entry, uint16_t port)
{
	world->clients[port].seq++;
	client_send(world, entry, port, PLUG_SEGMENT_ACK, 300);
}

/* Sends a FIN from the client with this port. */
void
world_fin(struct world *world, unsigned int entry, uint16_t port)
{
	client_send(world, entry, port, PLUG_SEGMENT_FIN | PLUG_SEGMENT_ACK, 0);
}

/* Opens a flow with a SYN and a request, and expects the answer within 45 ms.
 * It must be the first answer on this port since the start or world_close(). */
void
world_open(struct world *world, unsigned int entry, uint16_t port)
{
	world_syn(world, entry, port);
	world_run(world, 5 * PLUG_MSEC);
	world_data(world, entry, port);
	world_run(world, 40 * PLUG_MSEC);
	ck_assert_uint_eq(world->clients[port].answers, 1);
}

/* Closes a flow from both sides. The client can then reuse the port. */
void
world_close(struct world *world, unsigned int entry, uint16_t port)
{
	world_fin(world, entry, port);
	world_run(world, 10 * PLUG_MSEC);
	ck_assert_int_eq(world_host_of_flow(world, port), -1);
	world->clients[port] = (struct world_client){
		.seq = world->clients[port].seq + CONNECTION_SEQ_STEP,
	};
}

/* Makes the host retransmit its last answer. */
void
world_repeat_answer(struct world *world, unsigned int host, uint16_t port)
{
	host_send(world, host, port, PLUG_SEGMENT_ACK, 1, 600);
}

/* Advances the clock while nothing runs, as on overcommitted machines. */
void
world_pause(struct world *world, plug_time time)
{
	for (unsigned int i = 0; i < world->message_count; i++)
		world->messages[i].at += time;
	world->now += time;
	tick_all(world);
}

/* Return: the host that has the flow, or -1. */
int
world_host_of_flow(const struct world *world, uint16_t port)
{
	for (unsigned int i = 0; i < world->host_count; i++) {
		if (world->hosts[i].has_flow[port])
			return (int)i;
	}
	return -1;
}

/* Return: segments, except SYNs, that hosts received of flows which they don't
 * have. */
unsigned int
world_unknown_segments(const struct world *world)
{
	unsigned int sum = 0;

	for (unsigned int i = 0; i < world->host_count; i++)
		sum += world->hosts[i].unknown_segments;
	return sum;
}

/* Makes all entries adopt a host list with this host alone. */
void
world_list_only(struct world *world, unsigned int host)
{
	for (unsigned int i = 0; i < world->host_count; i++)
		world->listed[i] = i == host;
	world_adopt_all(world, true);
}
