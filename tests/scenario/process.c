#include "world.h"

static void
set_watch(struct process *p, const struct plug_action *action)
{
	const struct key *key = config_key(apr_pstrmemdup(
	    world.pool, action->watch.key.data, action->watch.key.len));
	struct watch *watch = &p->watches[key - world.keys];

	watch->active = action->kind == PLUG_ACTION_WATCH;
	watch->index = action->watch.index;
	watch->asked = world.now;
}

static void
send_to(struct process *p, enum link_class class, struct plug_endpoint target,
    struct event *event)
{
	struct plug_reply reply;

	if (target.port == FABRIC_PORT) {
		if (p->mute || plug_packet_decode_reply(event->data, event->len,
				   &reply, NULL) != PLUG_OK)
			return;
		event->kind = EV_PACKET;
		event->target = (int)(reply.caller.address & 0xffff);
		event->b = reply.caller.port;
		link_send(LINK_CALLER, p->index, PLACE_CALLERS, event);
		return;
	}
	for (int i = 0; i < world.process_count; i++) {
		event->target = i;
		event->epoch = world.processes[i].epoch;
		if (world.processes[i].alive &&
		    plug_endpoint_equal(world.processes[i].endpoint, target))
			link_send(class, p->index, i, event);
	}
}

static void
set_view(struct process *p, struct plug_view *view)
{
	const struct plug_agent_event event = { .kind = PLUG_AGENT_VIEW,
		.view = view };

	plug_view_release(p->view);
	p->view = plug_view_reference(view);
	if (p->agent != NULL)
		plug_agent_handle(p->agent, world.now, &event);
}

static void
emit(void *data, const struct plug_action *action)
{
	struct process *p = data;
	struct event event = { .kind = AGENT(DATAGRAM),
		.data = (uint8_t *)action->datagram.data,
		.len = action->datagram.len };

	if (world.tap != NULL && world.tap(p, action))
		return;
	switch (action->kind) {
	case PLUG_ACTION_DATAGRAM:
		send_to(p, LINK_DATA, action->datagram.target, &event);
		break;
	case PLUG_ACTION_PEER:
		event.kind = NODE(PEER);
		event.len =
		    plug__message__get_packed_size(action->peer.message);
		event.data = apr_palloc(world.pool, event.len + 1);
		(void)plug__message__pack(action->peer.message, event.data);
		send_to(p, LINK_CONTROL, action->peer.target, &event);
		break;
	case PLUG_ACTION_WATCH:
	case PLUG_ACTION_UNWATCH:
		set_watch(p, action);
		break;
	case PLUG_ACTION_VIEW:
		set_view(p, action->view);
		break;
	case PLUG_ACTION_UPSTREAM_CALL:
		upstream_call(p, action->upstream.id,
		    action->upstream.procedure, action->upstream.body);
		break;
	case PLUG_ACTION_UPSTREAM_CANCEL: /* work starts on arrival */
		break;
	case PLUG_ACTION_UPSTREAM_RECONNECT:
		upstream_reconnect(p);
		break;
	case PLUG_ACTION_FABRIC_RENEW:
		p->mute = false;
		break;
	case PLUG_ACTION_STOPPED:
		p->stopped = true;
	}
}

static void
log_line(void *data, enum plug_log_level level, struct plug_str line)
{
	const struct process *p = data;

	if (level <= PLUG_LOG_DEBUG)
		trace("%s %.*s", p->name, (int)line.len, line.data);
}

/* Builds the decision objects of a process whose fields are set. */
void
process_create(struct process *p)
{
	const struct plug_endpoint fabric = { (uint32_t)p->domain,
		FABRIC_PORT };
	const struct plug_str domain_name =
	    plug_str_from(apr_psprintf(world.pool, "d%d", p->domain + 1));
	const uint32_t domain = plug_domain_hash(domain_name);
	const bool entry = p->service < 0;
	const uint32_t service =
	    entry ? 0 : (uint32_t)p->service + SERVICE_BASE;
	const struct plug_node_config node = { p->instance, p->endpoint, domain,
		domain_name, service,
		plug_str_from(entry ? "" : world.services[p->service].name),
		p->seeds, p->seed_count };
	const struct plug_agent_config agent = { p->instance, p->endpoint,
		domain, service, fabric };
	struct plug_client *client = &p->client;

	if (world.record != NULL)
		world.record(p, NULL);
	client->emit = emit;
	client->log = log_line;
	client->emit_data = client->log_data = p;
	plug_router_init(&p->router, client, domain);
	if (!entry && !world.baseline)
		p->agent = plug_agent_create(client, &agent, world.now);
	p->node = plug_node_create(client, &node, world.now);
}

/* Frees the decision objects of a process. */
void
process_destroy(struct process *p)
{
	if (p->agent != NULL)
		plug_agent_destroy(p->agent);
	if (p->node != NULL)
		plug_node_destroy(p->node);
	plug_view_release(p->view);
	p->agent = NULL;
	p->node = NULL;
	p->view = NULL;
	memset(p->watches, 0, sizeof(p->watches));
}

static void
route_packet(struct process *p, const struct event *event, bool usable)
{
	struct plug_action action = { .kind = PLUG_ACTION_DATAGRAM };
	struct plug_verdict verdict;

	if (world.baseline)
		baseline_route(p, event, &verdict);
	else
		plug_router_decide(&p->router, usable ? p->view : NULL,
		    event->data, event->len, &verdict);
	action.datagram.target = verdict.target;
	action.datagram.data = event->data;
	action.datagram.len = event->len;
	if (verdict.kind == PLUG_VERDICT_REPLY) {
		action.datagram.target =
		    (struct plug_endpoint){ (uint32_t)p->domain, FABRIC_PORT };
		action.datagram.data = verdict.reply;
		action.datagram.len = verdict.reply_len;
	}
	if (verdict.kind != PLUG_VERDICT_DROP)
		emit(p, &action);
}

/* Feeds one input to the decision code of a process. */
void
process_input(struct process *p, const struct event *event)
{
	const struct plug_str data = { (char *)event->data, event->len };
	struct plug_node_event node = { .kind = event->kind - IN_NODE };
	struct plug_agent_event agent = { .kind = event->kind - IN_AGENT };
	bool to_agent = event->kind >= IN_AGENT;
	const bool usable = plug_node_confirmed(p->node, world.now);
	Plug__Message *message = NULL;

	if (world.record != NULL)
		world.record(p, event);
	if (event->kind == NODE(PEER)) {
		message = plug__message__unpack(NULL, event->len, event->data);
		if (message == NULL)
			return;
		to_agent = message->body_case >= PLUG__MESSAGE__BODY_REPORT;
		agent.kind = PLUG_AGENT_PEER;
		node.peer = agent.peer = message;
	} else if (event->kind == NODE(VALUE)) {
		node.value.key = plug_str_from(event->key);
		node.value.version = event->a;
		node.value.data = data;
	} else if (event->kind == NODE(FAILURE)) {
		node.failure = plug_str_from(event->key);
	} else if (event->kind == AGENT(DATAGRAM)) {
		agent.datagram.data = event->data;
		agent.datagram.len = event->len;
	} else if (event->kind == AGENT(UPSTREAM_REPLY)) {
		agent.reply.id = event->a;
		agent.reply.result = (enum plug_upstream_result)event->b;
		agent.reply.body = data;
	} else if (event->kind == AGENT(UPSTREAM_HEALTH)) {
		agent.health.uptime = (uint32_t)event->a;
		agent.health.draining = event->b != 0;
		agent.health.load = event->load;
	}
	if (!to_agent)
		plug_node_handle(p->node, world.now, &node);
	else if (p->service < 0 && event->kind == AGENT(DATAGRAM))
		route_packet(p, event, usable);
	else if (world.baseline)
		baseline_handle(p, event);
	else if (p->agent != NULL && (usable || event->kind != AGENT(DATAGRAM)))
		plug_agent_handle(p->agent, world.now, &agent);
	plug__message__free_unpacked(message, NULL);
}
