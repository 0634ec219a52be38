#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"

#define TICK_MS 10

static const struct plug_endpoint service_address = { 0x0a000001, 80 };
static const struct plug_endpoint fabric = { 0x7f0000fe, 9 };
static const struct plug_endpoint caller = { 0x0a010101, 1234 };

/* Returns the index of the agent at the endpoint, or the number of agents. */
static unsigned int
find_agent(const struct fleet *fleet, struct plug_endpoint endpoint)
{
	for (unsigned int i = 0; i < fleet->agent_count; i++) {
		if (plug_endpoint_equal(
			fleet->agents[i].config.endpoint, endpoint))
			return i;
	}
	return fleet->agent_count;
}

/* Takes ownership of @data. */
static void
enqueue(struct fleet *fleet, struct plug_endpoint target, bool is_peer,
    uint8_t *data, size_t len)
{
	struct fleet_message *message =
	    &fleet->queue[fleet->tail++ % FLEET_QUEUE_SIZE];

	ck_assert_uint_le(fleet->tail - fleet->head, FLEET_QUEUE_SIZE);
	*message = (struct fleet_message){ find_agent(fleet, target), is_peer,
		len, data };
}

/* Returns the first 8 bytes as a number, or 0 when the body is shorter. */
static uint64_t
first_bytes(struct plug_str body)
{
	uint64_t prefix = 0;

	if (body.len >= sizeof(prefix))
		memcpy(&prefix, body.data, sizeof(prefix));
	return prefix;
}

/* A datagram to the fabric is a reply to a caller; others go to agents. */
static void
handle_datagram(struct fleet *fleet, const struct plug_action *action)
{
	struct plug_reply reply;
	uint8_t *copy;

	if (!plug_endpoint_equal(action->datagram.target, fabric)) {
		copy = malloc(action->datagram.len);
		memcpy(copy, action->datagram.data, action->datagram.len);
		enqueue(fleet, action->datagram.target, false, copy,
		    action->datagram.len);
		return;
	}
	ck_assert_int_eq(plug_packet_decode_reply(action->datagram.data,
			     action->datagram.len, &reply, NULL),
	    PLUG_OK);
	fleet->body_prefixes[fleet->reply_count % FLEET_REPLIES_SIZE] =
	    first_bytes(reply.body);
	fleet->replies[fleet->reply_count++ % FLEET_REPLIES_SIZE] = reply;
}

static void
emit(void *data, const struct plug_action *action)
{
	struct fleet_agent *self = data;
	struct fleet *fleet = self->fleet;
	size_t len;
	uint8_t *buf;

	switch (action->kind) {
	case PLUG_ACTION_DATAGRAM:
		handle_datagram(fleet, action);
		return;
	case PLUG_ACTION_PEER:
		fleet->peer_message_counts[action->peer.message->body_case]++;
		if (fleet->drop_mask & 1U << action->peer.message->body_case)
			return;
		len = plug__message__get_packed_size(action->peer.message);
		buf = malloc(len);
		(void)plug__message__pack(action->peer.message, buf);
		if (fleet->hold_mask & 1U << action->peer.message->body_case) {
			ck_assert_ptr_null(fleet->held_message.data);
			fleet->held_message = (struct fleet_message){
				find_agent(fleet, action->peer.target), true,
				len, buf
			};
			return;
		}
		enqueue(fleet, action->peer.target, true, buf, len);
		return;
	case PLUG_ACTION_UPSTREAM_CALL:
		ck_assert_uint_lt(
		    self->upstream_call_count, FLEET_UPSTREAM_CALLS_MAX);
		if (fleet->on_start != NULL && action->upstream.procedure != 0)
			fleet->on_start(fleet->on_start_data,
			    first_bytes(action->upstream.body));
		self->upstream_calls[self->upstream_call_count++] =
		    (struct fleet_upstream_call){
			    .id = action->upstream.id,
			    .procedure = action->upstream.procedure,
			    .unanswered = true,
			    .body_prefix = first_bytes(action->upstream.body),
		    };
		return;
	case PLUG_ACTION_UPSTREAM_CANCEL:
		for (unsigned int i = 0; i < self->upstream_call_count; i++) {
			if (self->upstream_calls[i].id == action->upstream.id)
				self->upstream_calls[i].cancelled = true;
		}
		return;
	case PLUG_ACTION_UPSTREAM_RECONNECT:
		self->reconnects++;
		return;
	case PLUG_ACTION_FABRIC_RENEW:
		self->fabric_renewals++;
		return;
	case PLUG_ACTION_STOPPED:
		self->stopped = true;
		return;
	default:
		return;
	}
}

/* Checks the form of a log line. Above debug level, each line is a decision and
 * must name the document version that it was made under. */
static void
check_log_line(void *data, enum plug_log_level level, struct plug_str line)
{
	(void)data;
	ck_assert_int_eq(strncmp(line.data, "event=", 6), 0);
	ck_assert_uint_lt(line.len, PLUG_LOG_LINE_MAX - 1);
	ck_assert(
	    level == PLUG_LOG_DEBUG || strstr(line.data, " version=") != NULL);
}

void
fleet_handle_event(
    struct fleet *fleet, unsigned int at, const struct plug_agent_event *event)
{
	if (!fleet->agents[at].dead)
		plug_agent_handle(fleet->agents[at].agent, fleet->now, event);
}

/* Delivers the queued messages and those that are queued meanwhile. With
 * delayed_delivery set, does nothing outside of fleet_run()'s delivery at the
 * end of a tick, and leaves those queued meanwhile for the next tick. */
static void
deliver(struct fleet *fleet)
{
	unsigned int end = fleet->tail;

	if (fleet->delayed_delivery && !fleet->in_tick_delivery)
		return;
	while (fleet->head != (fleet->delayed_delivery ? end : fleet->tail)) {
		struct fleet_message *message =
		    &fleet->queue[fleet->head++ % FLEET_QUEUE_SIZE];
		struct plug_agent_event event = { .kind = PLUG_AGENT_DATAGRAM };

		if (message->target < fleet->agent_count && !message->is_peer) {
			event.datagram.data = message->data;
			event.datagram.len = message->len;
			fleet_handle_event(fleet, message->target, &event);
		} else if (message->target < fleet->agent_count) {
			Plug__Message *peer = plug__message__unpack(
			    NULL, message->len, message->data);

			event.kind = PLUG_AGENT_PEER;
			event.peer = peer;
			fleet_handle_event(fleet, message->target, &event);
			plug__message__free_unpacked(peer, NULL);
		}
		free(message->data);
	}
}

/* Delivers the message that was held back, and stops holding messages back. */
void
fleet_release_message(struct fleet *fleet)
{
	fleet->hold_mask = 0;
	ck_assert_ptr_nonnull(fleet->held_message.data);
	fleet->queue[fleet->tail++ % FLEET_QUEUE_SIZE] = fleet->held_message;
	fleet->held_message.data = NULL;
	deliver(fleet);
}

static void
keep_service(struct plug_service *service, void *data)
{
	(void)service;
	(void)data;
}

/* Gives all agents a new view. Its document is that of the last view, with
 * earlier edits, or a default one at first; all agents are members again. @edit
 * may then change both. */
void
fleet_set_view(struct fleet *fleet,
    void (*edit)(struct plug_service *service, void *data), void *data)
{
	struct plug_view *view = plug_view_create(1, 0);
	struct plug_agent_event event = { .kind = PLUG_AGENT_VIEW,
		.view = view };
	struct plug_service *service = &view->services[0];

	if (fleet->view != NULL) {
		*service = fleet->view->services[0];
		service->document_version++;
	} else {
		service->document = (struct plug_document){
			.service = 7,
			.address = service_address,
			.slots = 4,
			.connections = 2000,
			.queue = 100,
			.cold_seconds = 10,
			.cold_slots = 1,
			.bulk_share = 0.5,
			.operation_count = 3,
			.operations = {
				{ SHORT_READ, "read", true, PLUG_CLASS_SHORT,
				    5000 },
				{ SHORT_WRITE, "write", false, PLUG_CLASS_SHORT,
				    5000 },
				{ BULK_READ, "bulk", true, PLUG_CLASS_BULK,
				    20000 },
			},
			.token_keys = { 1, { { 1 } } },
		};
		service->document_version = 1;
	}
	service->members = calloc(FLEET_AGENTS_MAX, sizeof(*service->members));
	service->member_count = fleet->agent_count;
	for (unsigned int i = 0; i < fleet->agent_count; i++) {
		service->members[i].endpoint = fleet->agents[i].config.endpoint;
		service->members[i].domain = fleet->agents[i].config.domain;
	}
	edit(service, data);
	for (unsigned int i = 0; i < fleet->agent_count; i++)
		fleet_handle_event(fleet, i, &event);
	plug_view_release(fleet->view);
	fleet->view = view;
	deliver(fleet);
}

static void
start_agent(struct fleet *fleet, unsigned int at, uint64_t instance)
{
	const struct plug_agent_event opened = {
		.kind = PLUG_AGENT_UPSTREAM_OPEN,
	};
	struct fleet_agent *self = &fleet->agents[at];

	*self = (struct fleet_agent){
		.fleet = fleet,
		.client = { .emit = emit, .emit_data = self, .log = check_log_line,
		    .random = { 1, 2, (unsigned short)instance } },
		.config = {
			.instance = instance,
			.endpoint = { 0x7f000001, (uint16_t)(4000 + at) },
			.domain = 100 + at % 2,
			.service = 7,
			.fabric = fabric,
		},
	};
	self->agent =
	    plug_agent_create(&self->client, &self->config, fleet->now);
	ck_assert_ptr_nonnull(self->agent);
	plug_agent_handle(self->agent, fleet->now, &opened);
}

struct fleet *
fleet_create(unsigned int agents)
{
	struct fleet *fleet = calloc(1, sizeof(*fleet));

	fleet->now = 1000 * PLUG_SEC;
	fleet->agent_count = agents;
	for (unsigned int i = 0; i < agents; i++)
		start_agent(fleet, i, 500 + i);
	fleet_set_view(fleet, keep_service, NULL);
	return fleet;
}

/* Replaces an agent by one with a new instance id and no state. */
void
fleet_restart(struct fleet *fleet, unsigned int at, uint64_t instance)
{
	const struct plug_agent_event event = { .kind = PLUG_AGENT_VIEW,
		.view = fleet->view };

	plug_agent_destroy(fleet->agents[at].agent);
	start_agent(fleet, at, instance);
	fleet_handle_event(fleet, at, &event);
}

void
fleet_destroy(struct fleet *fleet)
{
	fleet->agent_count = 0;
	fleet->delayed_delivery = false;
	deliver(fleet);
	for (unsigned int i = 0; i < FLEET_AGENTS_MAX; i++)
		plug_agent_destroy(fleet->agents[i].agent);
	plug_view_release(fleet->view);
	free(fleet);
}

/* Answers null calls unless the upstream is silent, and requests if the agent's
 * auto_answer is set. */
static void
answer_upstream_calls(struct fleet *fleet, unsigned int at)
{
	struct fleet_agent *self = &fleet->agents[at];

	for (unsigned int i = 0; i < self->upstream_call_count; i++) {
		bool is_null =
		    self->upstream_calls[i].procedure == PLUG_PROCEDURE_NULL;

		if (self->upstream_calls[i].unanswered &&
		    (is_null ? !self->upstream_silent : self->auto_answer))
			(void)fleet_answer(fleet, at, i, PLUG_UPSTREAM_DONE,
			    PLUG_STR("answer"));
	}
	/* Drop answered null calls at the end, so that long runs don't fill the
	 * array. */
	while (self->upstream_call_count > 0 &&
	       self->upstream_calls[self->upstream_call_count - 1].procedure ==
		   0 &&
	       !self->upstream_calls[self->upstream_call_count - 1].unanswered)
		self->upstream_call_count--;
}

/* Advances the clock in ticks of TICK_MS by at least @ms. */
void
fleet_run(struct fleet *fleet, unsigned int ms)
{
	const struct plug_agent_event tick = { .kind = PLUG_AGENT_TICK };

	for (unsigned int t = 0; t < ms; t += TICK_MS) {
		fleet->now += TICK_MS * PLUG_MSEC;
		for (unsigned int i = 0; i < fleet->agent_count; i++) {
			fleet_handle_event(fleet, i, &tick);
			answer_upstream_calls(fleet, i);
		}
		fleet->in_tick_delivery = true;
		deliver(fleet);
		fleet->in_tick_delivery = false;
	}
}

struct plug_call
fleet_make_call(const uint8_t *token, uint32_t xid, uint32_t procedure)
{
	struct plug_call call = {
		.caller = caller,
		.service = service_address,
		.ttl = PLUG_INITIAL_TTL,
		.xid = xid,
		.program = 7,
		.procedure = procedure,
		.has_token = token != NULL,
	};

	if (token != NULL)
		memcpy(call.token, token, PLUG_TOKEN_SIZE);
	return call;
}

/* Returns the last reply that was sent while the call was handled, or NULL. */
const struct plug_reply *
fleet_send(struct fleet *fleet, unsigned int at, const struct plug_call *call)
{
	unsigned int before = fleet->reply_count;
	uint8_t buf[PLUG_PACKET_MAX];
	struct plug_agent_event event = {
		.kind = PLUG_AGENT_DATAGRAM,
		.datagram = { buf,
		    plug_packet_encode_call(call, buf, sizeof(buf)) },
	};

	fleet_handle_event(fleet, at, &event);
	deliver(fleet);
	return fleet->reply_count == before
		   ? NULL
		   : &fleet->replies[(fleet->reply_count - 1) %
				     FLEET_REPLIES_SIZE];
}

/* Like fleet_send(), with a call made from the arguments. */
const struct plug_reply *
fleet_call(struct fleet *fleet, unsigned int at, const uint8_t *token,
    uint32_t xid, uint32_t procedure)
{
	const struct plug_call call = fleet_make_call(token, xid, procedure);

	return fleet_send(fleet, at, &call);
}

/* Opens a flow and copies its token to @token. */
void
fleet_open_flow(
    struct fleet *fleet, unsigned int at, uint8_t token[PLUG_TOKEN_SIZE])
{
	const struct plug_reply *reply =
	    fleet_call(fleet, at, NULL, 0x7fffffff, PLUG_PROCEDURE_NULL);

	ck_assert_ptr_nonnull(reply);
	ck_assert(reply->has_token);
	memcpy(token, reply->token, PLUG_TOKEN_SIZE);
}

/* Answers the upstream call at index @call. Returns the last reply that was
 * sent as a result, or NULL. */
const struct plug_reply *
fleet_answer(struct fleet *fleet, unsigned int at, unsigned int call,
    enum plug_upstream_result result, struct plug_str body)
{
	unsigned int before = fleet->reply_count;
	struct plug_agent_event event = {
		.kind = PLUG_AGENT_UPSTREAM_REPLY,
		.reply = { fleet->agents[at].upstream_calls[call].id, result,
		    body },
	};

	ck_assert_uint_lt(call, fleet->agents[at].upstream_call_count);
	fleet->agents[at].upstream_calls[call].unanswered = false;
	fleet_handle_event(fleet, at, &event);
	deliver(fleet);
	return fleet->reply_count == before
		   ? NULL
		   : &fleet->replies[(fleet->reply_count - 1) %
				     FLEET_REPLIES_SIZE];
}

/* Counts the requests that the upstream of an agent hasn't answered. */
unsigned int
fleet_count_running(const struct fleet *fleet, unsigned int at)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < fleet->agents[at].upstream_call_count; i++)
		count += fleet->agents[at].upstream_calls[i].unanswered &&
			 fleet->agents[at].upstream_calls[i].procedure != 0;
	return count;
}

/* Counts the requests started at all upstreams, including retries. */
unsigned int
fleet_count_started(const struct fleet *fleet)
{
	uint64_t count = 0;

	for (unsigned int i = 0; i < fleet->agent_count; i++)
		count += plug_agent_counter(
			     fleet->agents[i].agent, PLUG_COUNT_STARTED) +
			 plug_agent_counter(
			     fleet->agents[i].agent, PLUG_COUNT_RETRIES);
	return (unsigned int)count;
}

/* Returns the last reply to an xid, or NULL. Its body is no longer valid. */
const struct plug_reply *
fleet_find_reply(const struct fleet *fleet, uint32_t xid)
{
	for (unsigned int i = fleet->reply_count; i > 0; i--) {
		const struct plug_reply *reply =
		    &fleet->replies[(i - 1) % FLEET_REPLIES_SIZE];

		if (reply->xid == xid)
			return reply;
	}
	return NULL;
}

struct plug_load
fleet_load(const struct fleet *fleet, unsigned int at)
{
	struct plug_load load;

	plug_agent_get_load(fleet->agents[at].agent, fleet->now, &load);
	return load;
}

void
fleet_assert_outcome(const struct plug_reply *reply, enum plug_outcome outcome)
{
	ck_assert_ptr_nonnull(reply);
	ck_assert_str_eq(
	    plug_outcome_name(reply->outcome), plug_outcome_name(outcome));
}
