#include "world.h"

#define LOOPBACK      100 /* microseconds between agent and upstream */
#define CONNECT_EVERY (200 * PLUG_MSEC)
#define WAIT_LONGEST  (30 * PLUG_SEC) /* of a blocking query */
#define QUERY_BACKOFF PLUG_SEC
#define SIGN_GRACE    (10 * PLUG_MSEC) /* for an agent to act on a sign */
#define LEAVE_BOUND   (3 * PLUG_SEC)
#define SHORT_TIME    (5 * PLUG_MSEC) /* mean service times */
#define BULK_TIME     (200 * PLUG_MSEC)

static struct event *
tell(const struct process *process, int kind)
{
	struct event *event = event_new(kind, process->index, process->epoch);

	event_at(event, LOOPBACK);
	return event;
}

/* Closes the agent's connection and opens a new one. */
void
upstream_reconnect(struct process *process)
{
	if (process->upstream.connection != 0)
		(void)tell(process, AGENT(UPSTREAM_CLOSED));
	process->upstream.connection = 0;
	(void)tell(process, EV_CONNECT);
}

/* Starts an upstream that has been warm for an age. */
void
upstream_start(struct process *process, plug_time age)
{
	process->upstream.alive = true;
	process->upstream.running = 0;
	process->upstream.started = world.now - age;
	process->upstream.epoch = ++world.seq;
	upstream_reconnect(process);
}

/* Ends an upstream with everything that it runs. */
void
upstream_kill(struct process *process)
{
	process->upstream.alive = false;
	process->upstream.epoch = ++world.seq;
	upstream_reconnect(process);
}

static void
connect_upstream(struct process *process, const struct event *event)
{
	if (!process->alive || process->epoch != event->epoch ||
	    process->upstream.connection != 0)
		return;
	if (!process->upstream.alive) {
		event_at(event_new(EV_CONNECT, event->target, event->epoch),
		    CONNECT_EVERY);
		return;
	}
	process->upstream.connection = ++world.seq;
	(void)tell(process, AGENT(UPSTREAM_OPEN));
}

/* Carries a request from an agent to its upstream. */
void
upstream_call(struct process *process, uint64_t id, uint32_t procedure,
    struct plug_str body)
{
	struct event *call = tell(process, EV_CALL);

	call->epoch = process->upstream.connection;
	call->a = id;
	call->b = procedure;
	call->data = apr_pmemdup(world.pool, body.data, body.len);
	call->len = body.len;
}

static unsigned int
bearable(const struct process *process)
{
	const struct service *service = &world.services[process->service];
	plug_time age = world.now - process->upstream.started;
	plug_time ramp = service->cold_seconds * PLUG_SEC;

	if (age >= ramp)
		return service->slots;
	return 1 + (unsigned int)((service->slots - 1) * age / ramp);
}

/* Refuses work that it can't bear; a first surprise is not held against it. */
static void
shed(struct process *process, const struct event *call)
{
	struct upstream *upstream = &process->upstream;
	struct event *reply = tell(process, AGENT(UPSTREAM_REPLY));

	reply->a = call->a;
	reply->b = PLUG_UPSTREAM_SHED;
	if (!upstream->unannounced ||
	    (upstream->told > 0 && world.now - upstream->told > SIGN_GRACE))
		world.figures.overload++;
	if (upstream->told == 0)
		upstream->told = world.now;
}

static void
run_call(struct process *process, const struct event *call)
{
	struct upstream *upstream = &process->upstream;
	struct request *request;
	struct event *end;
	uint64_t tag;
	double took;

	if (call->len != sizeof(tag))
		return;
	memcpy(&tag, call->data, sizeof(tag));
	request = &world.requests[tag];
	world.figures.foreign_work += request->service != process->service;
	world.figures.late_work +=
	    process->leaving && world.now - process->leave_time > LEAVE_BOUND;
	if (upstream->running >= bearable(process)) {
		shed(process, call);
		return;
	}
	upstream->running++;
	world.figures.runs++;
	world.figures.duplicate_runs +=
	    request->runs++ > 0 && request->operation == 0;
	took = (request->operation == BULK ? BULK_TIME : SHORT_TIME) *
	       (0.5 + uniform());
	upstream->busy[world.now / PLUG_SEC] += (float)took;
	end = event_new(EV_WORK_END, call->target, upstream->epoch);
	end->a = call->a;
	end->b = upstream->connection;
	end->data = request_answer(tag, &end->len);
	event_at(end, (plug_time)took);
}

/* Something happens at an upstream. */
void
upstream_event(struct event *event)
{
	struct process *process = &world.processes[event->target];
	struct upstream *upstream = &process->upstream;

	if (event->kind == EV_CONNECT)
		connect_upstream(process, event);
	else if (event->kind == EV_WORK_END) {
		if (upstream->epoch != event->epoch)
			return;
		upstream->running--;
		if (upstream->connection != event->b ||
		    upstream->silent == event->b)
			return;
		event->kind = AGENT(UPSTREAM_REPLY);
		event->epoch = process->epoch;
		event->b = PLUG_UPSTREAM_DONE;
		event_at(event, LOOPBACK);
	} else if (upstream->alive && event->epoch != 0 &&
		   event->epoch == upstream->connection &&
		   event->epoch != upstream->silent) {
		if (event->b == PLUG_PROCEDURE_NULL)
			tell(process, AGENT(UPSTREAM_REPLY))->a = event->a;
		else
			run_call(process, event);
	}
}

/* The agent's driver reads the health endpoint. */
void
upstream_poll(struct process *process)
{
	const struct upstream *upstream = &process->upstream;
	plug_time then = world.now - upstream->lag;
	plug_time uptime = then - upstream->started;
	struct event *health;

	if (upstream->connection == 0 ||
	    upstream->connection == upstream->silent)
		return;
	health = tell(process, AGENT(UPSTREAM_HEALTH));
	uptime = uptime < 0 ? LONG_UPTIME : uptime;
	health->a = (uint64_t)(uptime / PLUG_SEC);
	health->b = upstream->draining;
	if (then >= PLUG_SEC)
		health->load = upstream->busy[then / PLUG_SEC - 1] /
			       (double)PLUG_SEC /
			       world.services[process->service].slots;
	if (upstream->lie >= 0)
		health->load = upstream->lie;
}

/* Finds a key of the configuration service, or adds it. */
struct key *
config_key(const char *name)
{
	for (int i = 0; i < world.key_count; i++)
		if (strcmp(world.keys[i].name, name) == 0)
			return &world.keys[i];
	if (world.key_count == KEYS_MAX)
		abort();
	world.keys[world.key_count].name = apr_pstrdup(world.pool, name);
	world.keys[world.key_count].service = -1;
	return &world.keys[world.key_count++];
}

/* Stores a value under a new version. */
void
config_store(const char *name, const char *data)
{
	struct key *key = config_key(name);

	key->old_data = key->data;
	key->old_version = key->version;
	key->data = data;
	key->version = ++world.version;
	key->published = world.now;
	if (!key->corrupt)
		key->wanted = key->version;
}

/* Publishes a service's document; a corrupt one must be refused. */
void
config_document(int index, bool corrupt)
{
	static const char form[] =
	    "{\"schema\":1,\"service\":\"%s\",\"service_id\":%d,"
	    "\"address\":\"10.8.0.%d:9000\",\"slots\":%u,\"connections\":2000,"
	    "\"queue\":64,\"cold_start\":{\"seconds\":%u,\"slots\":1},"
	    "\"operations\":[{\"procedure\":1,\"name\":\"%s\",\"class\":"
	    "\"short\",\"idempotent\":false,\"deadline_ms\":2000},"
	    "{\"procedure\":2,\"name\":\"%s\",\"class\":\"short\","
	    "\"idempotent\":true,\"deadline_ms\":2000},{\"procedure\":3,"
	    "\"name\":\"%s\",\"class\":\"bulk\",\"idempotent\":true,"
	    "\"deadline_ms\":10000}],\"bulk_share\":0.5,\"domains_out\":[%s],"
	    "\"token_keys\":[\"000102030405060708090a0b0c0d0e%02x\"]%s";
	const struct service *service = &world.services[index];
	char *name = apr_pstrcat(world.pool, "service/", service->name, NULL);
	const char *out = "";

	for (int i = 0; i < DOMAINS; i++)
		if (service->out[i])
			out = apr_psprintf(world.pool, "%s%s\"d%d\"", out,
			    out[0] == '\0' ? "" : ",", i + 1);
	config_key(name)->corrupt = corrupt;
	config_key(name)->service = index;
	config_store(name,
	    apr_psprintf(world.pool, form, service->name, SERVICE_BASE + index,
		index + 1, service->slots, service->cold_seconds,
		service->operations[0], service->operations[1],
		service->operations[2], out, index, corrupt ? "" : "}"));
}

/* Publishes who runs, as seen now, after the lag of the instance list: the
 * hosts of a service, or the entries of a domain when service is -1. */
void
config_members(int service, int domain)
{
	struct event *event = event_new(EV_PUBLISH, 0, 0);
	const char *list = "[";

	for (int i = 0; i < world.process_count; i++) {
		const struct process *process = &world.processes[i];
		uint32_t address = process->endpoint.address;

		if (process->alive && process->service == service &&
		    (service >= 0 || process->domain == domain))
			list = apr_psprintf(world.pool,
			    "%s%s{\"name\":\"%s\",\"address\":\"10.%u.%u.%u:%u"
			    "\",\"domain\":\"d%d\",\"state\":\"%s\"}",
			    list, list[1] == '\0' ? "" : ",", process->name,
			    address >> 16 & 255, address >> 8 & 255,
			    address & 255, process->endpoint.port,
			    process->domain + 1,
			    process->leaving ? "leaving" : "live");
	}
	event->key = service < 0 ? apr_psprintf(world.pool,
				       "instances/entries/d%d", domain + 1)
				 : apr_pstrcat(world.pool, "instances/",
				       world.services[service].name, NULL);
	event->data = (uint8_t *)apr_pstrcat(world.pool, list, "]", NULL);
	event_at(event, world.now == 0 ? 0 : world.list_lag);
}

/* Answers the blocking queries of a process that have something new. */
void
config_poll(struct process *process)
{
	const bool down =
	    world.config_down || link_cut(process->index, PLACE_CONFIG);

	for (int i = 0; i < WATCHES_MAX; i++) {
		struct watch *watch = &process->watches[i];
		const struct key *key;
		struct event *value;
		uint64_t version;
		bool stale;

		if (watch->key == NULL)
			continue;
		key = config_key(watch->key);
		stale = key->stale && process->index % 2 != 0;
		version = stale ? key->old_version : key->version;
		if (down ? world.now - watch->asked < QUERY_BACKOFF
			 : version == 0 ||
			       (version <= watch->index &&
				   world.now - watch->asked <
				       (stale ? QUERY_BACKOFF : WAIT_LONGEST)))
			continue;
		watch->asked = world.now;
		value = event_new(down ? NODE(FAILURE) : NODE(VALUE),
		    process->index, process->epoch);
		value->key = watch->key;
		if (!down) {
			watch->index = value->a = version;
			value->data =
			    (uint8_t *)(stale ? key->old_data : key->data);
			value->len = strlen((char *)value->data);
		}
		event_at(value, 2 * world.across);
	}
}
