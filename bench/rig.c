#include <stdlib.h>
#include <string.h>

#include "net/frame.h"
#include "rig.h"

#define ANSWER_SIZE 200		/* bytes of every answer */
#define GATEWAY	    0x0d000001U /* address of the fabric */
#define CALLER	    0xc0000000U /* address of the caller of flow 0 */

static char answer[ANSWER_SIZE];

static void
take_reply(struct rig *rig, const struct plug_action *action)
{
	struct plug_reply reply;

	rig->replies++;
	if (plug_packet_decode_reply(action->datagram.data,
		action->datagram.len, &reply, NULL) != PLUG_OK)
		abort();
	rig->done += reply.outcome == PLUG_OUTCOME_DONE;
	if (reply.has_token)
		memcpy(rig->token, reply.token, sizeof(rig->token));
}

static void
take_message(struct rig *rig, const Plug__Message *message)
{
	size_t len = plug__message__get_packed_size(message);

	rig->peer_bytes += len + PLUG_FRAME_HEADER;
	rig->peer_messages++;
	if (rig->peer == NULL)
		return;
	if (rig->queued == RIG_QUEUE)
		abort();
	rig->queue[rig->queued] = malloc(len);
	if (rig->queue[rig->queued] == NULL)
		abort();
	rig->queue_len[rig->queued] = len;
	(void)plug__message__pack(message, rig->queue[rig->queued++]);
}

static void
on_emit(void *data, const struct plug_action *action)
{
	struct rig *rig = data;

	switch (action->kind) {
	case PLUG_ACTION_DATAGRAM:
		if (action->datagram.target.address == GATEWAY)
			take_reply(rig, action);
		return;
	case PLUG_ACTION_PEER:
		take_message(rig, action->peer.message);
		return;
	case PLUG_ACTION_UPSTREAM_CALL:
		if (rig->call_count == RIG_CALLS)
			abort();
		rig->calls[rig->call_count++] = action->upstream.id;
		rig->upstream_calls += action->upstream.procedure != 0;
		return;
	default:
		return;
	}
}

static void
answer_calls(struct rig *rig)
{
	while (rig->call_count > 0) {
		struct plug_agent_event event = {
			.kind = PLUG_AGENT_UPSTREAM_REPLY,
		};

		event.reply.id = rig->calls[--rig->call_count];
		event.reply.result = PLUG_UPSTREAM_DONE;
		event.reply.body = (struct plug_str){ answer, sizeof(answer) };
		plug_agent_handle(rig->agent, *rig->now, &event);
	}
}

/**
 * rig_view_create() - view of service 0
 * @config: configuration
 */
struct plug_view *
rig_view_create(struct bench_config *config)
{
	struct plug_view *view = plug_view_create(1, 0);
	struct plug_service *service = &view->services[0];
	const struct bench_value *document = &config->values[BENCH_DOCUMENT(0)];
	const struct bench_value *members = &config->values[BENCH_MEMBERS(0)];

	if (plug_document_parse(plug_str_from(document->text),
		&service->document, NULL) != PLUG_OK ||
	    plug_members_parse(plug_str_from(members->text), &service->members,
		&service->member_count, NULL) != PLUG_OK)
		abort();
	service->document_version = document->version;
	service->member_version = members->version;
	return view;
}

/**
 * rig_create() - start an agent with a connected upstream
 * @config: configuration
 * @view: view of the service
 * @host: number of its host
 * @now: simulated time; must outlive the rig
 */
struct rig *
rig_create(const struct bench_config *config, struct plug_view *view,
    unsigned int host, plug_time *now)
{
	struct plug_agent_event event = { .kind = PLUG_AGENT_UPSTREAM_OPEN };
	struct rig *rig = calloc(1, sizeof(*rig));

	if (rig == NULL)
		abort();
	rig->now = now;
	rig->host = host;
	rig->client = (struct plug_client){ .emit = on_emit,
		.emit_data = rig,
		.random = { (unsigned short)host, 3, 1 } };
	rig->config = (struct plug_agent_config){ .instance = 1000 + host,
		.endpoint = bench_host_endpoint(config, 0, host),
		.domain = view->services[0].members[host].domain,
		.service = view->services[0].document.service,
		.fabric = { GATEWAY, 1 } };
	rig->agent = plug_agent_create(&rig->client, &rig->config, *now);
	if (rig->agent == NULL)
		abort();
	plug_agent_handle(rig->agent, *now, &event);
	event.kind = PLUG_AGENT_VIEW;
	event.view = view;
	plug_agent_handle(rig->agent, *now, &event);
	return rig;
}

/**
 * rig_destroy() - free an agent and its queue
 * @rig: rig
 */
void
rig_destroy(struct rig *rig)
{
	for (unsigned int i = 0; i < rig->queued; i++)
		free(rig->queue[i]);
	plug_agent_destroy(rig->agent);
	free(rig);
}

/**
 * rig_prepare() - encode the next call of a flow
 * @rig: rig
 * @flow: number of the flow; @rig->flow_count for one that is being opened
 * @procedure: operation, or PLUG_PROCEDURE_NULL
 * @packet: result
 *
 * Return: length in bytes. All earlier xids are settled.
 */
size_t
rig_prepare(struct rig *rig, unsigned int flow, uint32_t procedure,
    uint8_t packet[PLUG_PACKET_MAX])
{
	struct rig_flow *state = &rig->flows[flow];
	struct plug_call call = {
		.caller = { CALLER + flow, 1000 },
		.service = { 0x0a010000, 80 },
		.ttl = PLUG_INITIAL_TTL,
		.program = rig->config.service,
		.procedure = procedure,
		.has_token = flow < rig->flow_count,
		.budget_ms = 1000,
		.body = PLUG_STR("0123456789abcdef0123456789abcdef"),
	};

	call.xid = ++state->xid;
	call.floor = call.has_token ? call.xid : 0;
	memcpy(call.token, state->token, sizeof(call.token));
	return plug_packet_encode_call(&call, packet, PLUG_PACKET_MAX);
}

/**
 * rig_deliver() - hand a packet to the agent and answer what it starts
 * @rig: rig
 * @packet: packet
 * @len: length in bytes
 */
void
rig_deliver(struct rig *rig, uint8_t *packet, size_t len)
{
	struct plug_agent_event event = { .kind = PLUG_AGENT_DATAGRAM };

	event.datagram.data = packet;
	event.datagram.len = len;
	plug_agent_handle(rig->agent, *rig->now, &event);
	answer_calls(rig);
}

/**
 * rig_open() - open a flow and use its token once
 * @rig: rig
 */
void
rig_open(struct rig *rig)
{
	uint8_t packet[PLUG_PACKET_MAX];
	unsigned int flow = rig->flow_count;
	size_t len;

	if (flow == RIG_FLOWS_MAX)
		abort();
	memset(&rig->flows[flow], 0, sizeof(rig->flows[flow]));
	len = rig_prepare(rig, flow, PLUG_PROCEDURE_NULL, packet);
	rig_deliver(rig, packet, len);
	memcpy(rig->flows[flow].token, rig->token, sizeof(rig->token));
	rig->flow_count++;
	len = rig_prepare(rig, flow, PLUG_PROCEDURE_NULL, packet);
	rig_deliver(rig, packet, len);
}

/**
 * rig_tick() - one tick of the agent, at the current time
 * @rig: rig
 */
void
rig_tick(struct rig *rig)
{
	const struct plug_agent_event event = { .kind = PLUG_AGENT_TICK };

	plug_agent_handle(rig->agent, *rig->now, &event);
	answer_calls(rig);
}

/**
 * rig_exchange() - deliver the queued control messages to the peer
 * @rig: rig
 */
void
rig_exchange(struct rig *rig)
{
	for (unsigned int i = 0; i < rig->queued; i++) {
		struct plug_agent_event event = { .kind = PLUG_AGENT_PEER };
		Plug__Message *message = plug__message__unpack(
		    NULL, rig->queue_len[i], rig->queue[i]);

		if (message == NULL)
			abort();
		event.peer = message;
		plug_agent_handle(rig->peer->agent, *rig->now, &event);
		plug__message__free_unpacked(message, NULL);
		free(rig->queue[i]);
	}
	rig->queued = 0;
}
