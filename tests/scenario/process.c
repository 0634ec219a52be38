#include "libplantainlug/rank.h"
#include "world.h"

#define OUTPUTS_MAX 1000000
#define RECORD_LINE 100000 /* bytes of a recorded line */

static unsigned long long *outputs; /* of a replay */
static size_t output_count;

static struct plug_endpoint
gateway(const struct process *process)
{
	return (struct plug_endpoint){ 0x0a000000U | (uint32_t)process->domain,
		FABRIC_PORT };
}

static void
set_watch(struct process *process, const struct plug_action *action)
{
	struct plug_str key = action->watch.key;
	struct watch *slot = NULL;

	for (int i = WATCHES_MAX - 1; i >= 0; i--) {
		struct watch *watch = &process->watches[i];

		if (watch->key == NULL)
			slot = slot == NULL ? watch : slot;
		else if (plug_str_equal(plug_str_from(watch->key), key)) {
			slot = watch;
			break;
		}
	}
	if (slot == NULL)
		return;
	slot->index = action->watch.index;
	slot->asked = world.now;
	slot->key = action->kind == PLUG_ACTION_UNWATCH
			? NULL
			: apr_pstrmemdup(world.pool, key.data, key.len);
}

static void
send_to(struct process *process, enum link_class class,
    struct plug_endpoint target, struct event *event)
{
	struct plug_reply reply;

	if (target.port == FABRIC_PORT) {
		if (plug_packet_decode_reply(
			event->data, event->len, &reply, NULL) != PLUG_OK)
			return;
		event->kind = EV_PACKET;
		event->target = (int)(reply.caller.address & 0xffff);
		event->b = reply.caller.port;
		link_send(LINK_CALLER, process->index, PLACE_CALLERS, event);
		return;
	}
	for (int i = 0; i < world.process_count; i++) {
		if (!world.processes[i].alive ||
		    !plug_endpoint_equal(world.processes[i].endpoint, target))
			continue;
		event->target = i;
		event->epoch = world.processes[i].epoch;
		link_send(class, process->index, i, event);
	}
}

static void
act(struct process *process, const struct plug_action *action,
    struct event *event)
{
	switch (action->kind) {
	case PLUG_ACTION_DATAGRAM:
		send_to(process, LINK_DATA, action->datagram.target, event);
		break;
	case PLUG_ACTION_PEER:
		event->kind = IN_PEER;
		send_to(process, LINK_CONTROL, action->peer.target, event);
		break;
	case PLUG_ACTION_WATCH:
	case PLUG_ACTION_UNWATCH:
		set_watch(process, action);
		break;
	case PLUG_ACTION_UPSTREAM_CALL:
		upstream_call(process, action->upstream.id,
		    action->upstream.procedure, action->upstream.body);
		break;
	case PLUG_ACTION_UPSTREAM_RECONNECT:
		upstream_reconnect(process);
		break;
	case PLUG_ACTION_STOPPED:
		process->stopped = true;
		break;
	default: /* work starts on arrival, so nothing can be cancelled */
		break;
	}
}

/* States an output by a hash, for comparison with a replay. */
static void
state_output(struct process *process, const struct plug_action *action,
    const struct event *event)
{
	const struct plug_str bytes = { (char *)event->data, event->len };
	unsigned long long hash = plug_str_hash(bytes) ^ action->kind;

	if (action->kind <= PLUG_ACTION_PEER)
		hash ^= (unsigned long long)action->datagram.target.address
			<< 8;
	if (process->record != NULL)
		(void)fprintf(process->record, "out %llx\n", hash);
	if (world.replaying && output_count < OUTPUTS_MAX)
		outputs[output_count++] = hash;
}

static void
emit(void *data, const struct plug_action *action)
{
	struct process *process = data;
	struct event event = { .kind = IN_DATAGRAM };
	const struct plug_agent_event view = { .kind = PLUG_AGENT_VIEW,
		.view = action->view };

	if (action->kind == PLUG_ACTION_VIEW) {
		plug_view_release(process->view);
		process->view = plug_view_reference(action->view);
		if (process->agent != NULL)
			plug_agent_handle(process->agent, world.now, &view);
		return;
	}
	if (action->kind == PLUG_ACTION_PEER) {
		event.len =
		    plug__message__get_packed_size(action->peer.message);
		event.data = apr_palloc(world.pool, event.len + 1);
		(void)plug__message__pack(action->peer.message, event.data);
	} else if (action->kind == PLUG_ACTION_DATAGRAM) {
		event.data = (uint8_t *)action->datagram.data;
		event.len = action->datagram.len;
	}
	state_output(process, action, &event);
	if (!world.replaying)
		act(process, action, &event);
}

static void
log_line(void *data, enum plug_log_level level, struct plug_str line)
{
	const struct process *process = data;

	(void)level;
	if (world.trace)
		printf("t=%.6f who=%s %.*s\n",
		    (double)world.now / (double)PLUG_SEC, process->name,
		    (int)line.len, line.data);
}

static uint32_t
domain_hash(int domain)
{
	return plug_domain_hash(
	    plug_str_from(apr_psprintf(world.pool, "d%d", domain + 1)));
}

/* Builds the decision objects of a process and records with what. */
void
process_create(struct process *process, const char *service,
    const struct plug_endpoint *seeds, unsigned int seed_count)
{
	const uint32_t id = (uint32_t)(process->service + SERVICE_BASE);
	const struct plug_node_config node = {
		.instance = process->instance,
		.endpoint = process->endpoint,
		.domain = domain_hash(process->domain),
		.service = service[0] == '\0' ? 0 : id,
		.service_name = plug_str_from(service),
		.seeds = seeds,
		.seed_count = seed_count,
	};
	const struct plug_agent_config agent = { process->instance,
		process->endpoint, node.domain, id, gateway(process) };
	const unsigned short *random = process->client.random;

	if (process->record != NULL) {
		(void)fprintf(process->record,
		    "process %s %d %d %llx %x %hu %hu %hu %lld %s %u",
		    process->name, process->domain, process->service,
		    (unsigned long long)process->instance,
		    process->endpoint.address, random[0], random[1], random[2],
		    (long long)world.now, service[0] == '\0' ? "-" : service,
		    seed_count);
		for (unsigned int i = 0; i < seed_count; i++)
			(void)fprintf(process->record, " %x", seeds[i].address);
		(void)fputs("\n", process->record);
	}
	process->client.emit = emit;
	process->client.log = log_line;
	process->client.emit_data = process->client.log_data = process;
	plug_router_init(&process->router, &process->client, node.domain);
	if (node.service != 0 && !world.baseline)
		process->agent =
		    plug_agent_create(&process->client, &agent, world.now);
	process->node = plug_node_create(&process->client, &node, world.now);
}

/* Frees the decision objects of a process. */
void
process_destroy(struct process *process)
{
	if (process->agent != NULL)
		plug_agent_destroy(process->agent);
	if (process->node != NULL)
		plug_node_destroy(process->node);
	plug_view_release(process->view);
	process->agent = NULL;
	process->node = NULL;
	process->view = NULL;
	process->record = NULL;
	memset(process->watches, 0, sizeof(process->watches));
	apr_array_clear(process->held);
}

/* Sends the router's verdict on its way; both policies use it. */
static void
route_packet(struct process *process, const struct event *event)
{
	struct plug_action action = { .kind = PLUG_ACTION_DATAGRAM };
	struct plug_verdict verdict;

	if (world.baseline)
		baseline_route(process, event, &verdict);
	else
		plug_router_decide(&process->router,
		    plug_node_confirmed(process->node, world.now)
			? process->view
			: NULL,
		    event->data, event->len, &verdict);
	action.datagram.target = verdict.target;
	action.datagram.data = event->data;
	action.datagram.len = event->len;
	if (verdict.kind == PLUG_VERDICT_REPLY) {
		action.datagram.target = gateway(process);
		action.datagram.data = verdict.reply;
		action.datagram.len = verdict.reply_len;
	}
	if (verdict.kind != PLUG_VERDICT_DROP)
		emit(process, &action);
}

static void
handle_peer(struct process *process, const struct event *event)
{
	Plug__Message *message =
	    plug__message__unpack(NULL, event->len, event->data);
	const struct plug_node_event node = { .kind = PLUG_NODE_PEER,
		.peer = message };
	const struct plug_agent_event agent = { .kind = PLUG_AGENT_PEER,
		.peer = message };

	if (message == NULL)
		return;
	if (message->body_case < PLUG__MESSAGE__BODY_REPORT)
		plug_node_handle(process->node, world.now, &node);
	else if (process->agent != NULL)
		plug_agent_handle(process->agent, world.now, &agent);
	plug__message__free_unpacked(message, NULL);
}

static void
handle_agent(struct process *process, const struct event *event)
{
	const struct plug_str data = { (char *)event->data, event->len };
	struct plug_agent_event agent = { .kind = PLUG_AGENT_TICK };

	switch (event->kind) {
	case IN_DATAGRAM:
		agent.kind = PLUG_AGENT_DATAGRAM;
		agent.datagram.data = event->data;
		agent.datagram.len = event->len;
		break;
	case IN_OPEN:
		agent.kind = PLUG_AGENT_UPSTREAM_OPEN;
		break;
	case IN_CLOSED:
		agent.kind = PLUG_AGENT_UPSTREAM_CLOSED;
		break;
	case IN_STOP:
		agent.kind = PLUG_AGENT_STOP;
		break;
	case IN_REPLY:
		agent.kind = PLUG_AGENT_UPSTREAM_REPLY;
		agent.reply.id = event->a;
		agent.reply.result = (enum plug_upstream_result)event->b;
		agent.reply.body = data;
		break;
	case IN_HEALTH:
		agent.kind = PLUG_AGENT_UPSTREAM_HEALTH;
		agent.health.uptime = (uint32_t)event->a;
		agent.health.draining = event->b != 0;
		agent.health.load = event->load;
		break;
	default:
		break;
	}
	plug_agent_handle(process->agent, world.now, &agent);
}

/* Feeds one input to the decision code of a process. */
void
process_input(struct process *process, const struct event *event)
{
	const struct plug_str data = { (char *)event->data, event->len };
	struct plug_node_event node = { .kind = PLUG_NODE_TICK };

	if (process->record != NULL) {
		(void)fprintf(process->record, "in %lld %d %llu %llu %a %s ",
		    (long long)world.now, (int)event->kind,
		    (unsigned long long)event->a, (unsigned long long)event->b,
		    event->load, event->key == NULL ? "-" : event->key);
		for (size_t i = 0; i < event->len; i++)
			(void)fprintf(process->record, "%02x", event->data[i]);
		(void)fputs(".\n", process->record);
	}
	if (event->kind == IN_VALUE) {
		node.kind = PLUG_NODE_VALUE;
		node.value.key = plug_str_from(event->key);
		node.value.version = event->a;
		node.value.data = data;
	} else if (event->kind == IN_FAILURE) {
		node.kind = PLUG_NODE_FAILURE;
		node.failure = plug_str_from(event->key);
	}
	if (node.kind != PLUG_NODE_TICK || event->kind == IN_NODE_TICK)
		plug_node_handle(process->node, world.now, &node);
	else if (event->kind == IN_PEER)
		handle_peer(process, event);
	else if (event->kind == IN_DATAGRAM && process->service < 0)
		route_packet(process, event);
	else if (world.baseline)
		baseline_handle(process, event);
	else if (event->kind != IN_DATAGRAM ||
		 plug_node_confirmed(process->node, world.now))
		handle_agent(process, event);
}

static bool
replay_input(struct process *process, char *line)
{
	struct event event = { 0 };
	unsigned long long a, b;
	long long now;
	int kind, at = 0;
	unsigned int byte;
	char key[128];

	if (sscanf(line, "in %lld %d %llu %llu %la %127s %n", &now, &kind, &a,
		&b, &event.load, key, &at) != 6)
		return false;
	world.now = now;
	event.kind = (enum event_kind)kind;
	event.a = a;
	event.b = b;
	event.key = key;
	event.data = (uint8_t *)line;
	for (; sscanf(line + at, "%2x", &byte) == 1; at += 2)
		event.data[event.len++] = (uint8_t)byte;
	event.data = apr_pmemdup(world.pool, line, event.len + 1);
	process_input(process, &event);
	return true;
}

/* Feeds a recording to new objects; compares what they state. */
int
process_replay(const char *path)
{
	struct process *process = &world.processes[0];
	unsigned short *random = process->client.random;
	struct plug_endpoint seeds[8];
	unsigned long long instance, hash;
	size_t checked = 0, differ = 0;
	unsigned int count = 0;
	long long now;
	char name[64], service[64];
	char *line = malloc(RECORD_LINE);
	FILE *file = fopen(path, "r");

	outputs = calloc(OUTPUTS_MAX, sizeof(*outputs));
	if (file == NULL || line == NULL || outputs == NULL ||
	    fscanf(file, "process %63s %d %d %llx %x %hu %hu %hu %lld %63s %u",
		name, &process->domain, &process->service, &instance,
		&process->endpoint.address, &random[0], &random[1], &random[2],
		&now, service, &count) != 11 ||
	    count > 8)
		return 2;
	for (unsigned int i = 0; i < count; i++) {
		seeds[i].port = 7000;
		(void)fscanf(file, "%x", &seeds[i].address);
	}
	(void)apr_pool_create(&world.pool, NULL);
	world.replaying = true;
	world.now = now;
	process->name = name;
	process->instance = instance;
	process->endpoint.port = 7000;
	process->held = apr_array_make(world.pool, 1, sizeof(void *));
	process_create(
	    process, process->service < 0 ? "" : service, seeds, count);
	while (fgets(line, RECORD_LINE, file) != NULL)
		if (sscanf(line, "out %llx", &hash) == 1) {
			differ +=
			    checked >= output_count || outputs[checked] != hash;
			checked++;
		} else
			(void)replay_input(process, line);
	process_destroy(process);
	free(line);
	free(outputs);
	(void)fclose(file);
	printf("event=replay outputs=%zu differ=%zu\n", checked, differ);
	return differ == 0 && checked == output_count ? 0 : 1;
}
