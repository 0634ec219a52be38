#include <xxhash.h>

#include "libplantainlug/rank.h"
#include "world.h"

/* Chooses an agent by hash of the caller modulo the live list. */
void
baseline_route(
    struct process *p, const struct event *event, struct plug_verdict *verdict)
{
	const struct plug_service *service;
	const struct plug_member *live[PROCESSES_MAX];
	struct plug_call call;
	unsigned int count = 0;

	verdict->kind = PLUG_VERDICT_DROP;
	if (plug_packet_decode_call(event->data, event->len, &call, NULL) !=
		PLUG_OK ||
	    (service = plug_view_service(p->view, call.program)) == NULL)
		return;
	for (unsigned int i = 0; i < service->member_count; i++)
		if (plug_service_usable(service, &service->members[i]))
			live[count++] = &service->members[i];
	if (count == 0)
		return;
	verdict->kind = PLUG_VERDICT_FORWARD;
	verdict->target =
	    live[plug_rank_weight(0, call.caller) % count]->endpoint;
}

static void
reply_to(struct process *p, const struct plug_reply *reply)
{
	uint8_t packet[PLUG_PACKET_MAX];
	struct plug_action action = { .kind = PLUG_ACTION_DATAGRAM };

	action.datagram.target.port = FABRIC_PORT;
	action.datagram.data = packet;
	action.datagram.len =
	    plug_packet_encode_reply(reply, packet, sizeof(packet));
	p->client.emit(p, &action);
}

/* Sends a whole answer at once, in as many blocks as it needs. */
static void
answer(struct process *p, const struct event *event)
{
	struct plug_reply reply = { .outcome = PLUG_OUTCOME_DONE };

	reply.xid = (uint32_t)event->a;
	reply.caller.address = 0x0a090000U | (uint32_t)(event->a >> 48);
	reply.caller.port = (uint16_t)(event->a >> 32);
	reply.service = world.services[p->service].address;
	if (event->b != PLUG_UPSTREAM_DONE)
		reply.outcome = event->b == PLUG_UPSTREAM_FAILED
				    ? PLUG_OUTCOME_UNKNOWN
				    : PLUG_OUTCOME_NOT_RUN;
	reply.total = (uint32_t)event->len;
	reply.crc = XXH32(event->data, event->len, 0);
	do {
		size_t left = event->len - reply.offset;

		reply.body.data = (char *)event->data + reply.offset;
		reply.body.len =
		    left < PLUG_BLOCK_SIZE ? left : PLUG_BLOCK_SIZE;
		reply_to(p, &reply);
		reply.offset += PLUG_BLOCK_SIZE;
	} while (reply.offset < event->len);
}

/* An agent that knows its flows by instance id and passes requests on. */
void
baseline_handle(struct process *p, const struct event *event)
{
	struct plug_reply reply = { .outcome = PLUG_OUTCOME_DONE };
	const size_t size = sizeof(p->instance);
	struct plug_call call;

	if (event->kind == AGENT(UPSTREAM_REPLY))
		answer(p, event);
	if (event->kind == AGENT(STOP))
		p->stopped = true;
	if (event->kind != AGENT(DATAGRAM) ||
	    plug_packet_decode_call(event->data, event->len, &call, NULL) !=
		PLUG_OK)
		return;
	reply.caller = call.caller;
	reply.service = call.service;
	reply.xid = call.xid;
	if (call.has_token && memcmp(call.token, &p->instance, size) != 0)
		reply.outcome = PLUG_OUTCOME_FLOW_LOST;
	else if (call.procedure != PLUG_PROCEDURE_NULL) {
		if (call.offset == 0)
			upstream_call(p,
			    (uint64_t)(call.caller.address & 0xffff) << 48 |
				(uint64_t)call.caller.port << 32 | call.xid,
			    call.procedure, call.body);
		return;
	}
	reply.has_token = !call.has_token;
	memcpy(reply.token, &p->instance, size);
	reply_to(p, &reply);
}
