#include "world.h"

#define WAIT_LONGEST  (30 * PLUG_SEC) /* of a blocking query */
#define QUERY_BACKOFF PLUG_SEC
#define COLD_SECONDS  10

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
	    "\"queue\":64,\"cold_start\":{\"seconds\":%d,\"slots\":1},"
	    "\"operations\":[{\"procedure\":1,\"name\":\"%s\",\"class\":"
	    "\"short\",\"idempotent\":false,\"deadline_ms\":2000},"
	    "{\"procedure\":2,\"name\":\"%s\",\"class\":\"short\","
	    "\"idempotent\":true,\"deadline_ms\":2000},{\"procedure\":3,"
	    "\"name\":\"%s\",\"class\":\"bulk\",\"idempotent\":true,"
	    "\"deadline_ms\":10000}],\"bulk_share\":0.5,\"domains_out\":[%s],"
	    "\"token_keys\":[\"000102030405060708090a0b0c0d0e%02x\"]%s";
	struct service *service = &world.services[index];
	char *name = apr_pstrcat(world.pool, "service/", service->name, NULL);
	const char *out = "";

	for (int i = 0; i < DOMAINS; i++)
		if (service->out[i])
			out = apr_psprintf(world.pool, "%s%s\"d%d\"", out,
			    out[0] == '\0' ? "" : ",", i + 1);
	service->document = config_key(name);
	service->document->corrupt = corrupt;
	service->document->service = index;
	config_store(name,
	    apr_psprintf(world.pool, form, service->name, SERVICE_BASE + index,
		index + 1, service->slots, COLD_SECONDS, service->operations[0],
		service->operations[1], service->operations[2], out, index,
		corrupt ? "" : "}"));
}

/* Shows every reader the version before the newest one, as after a restore. */
void
config_rollback(int index)
{
	struct key *key = world.services[index].document;

	key->data = key->old_data;
	key->version = key->old_version;
}

/* Publishes who runs, as seen now, after the lag of the instance list: the
 * hosts of a service, or the entries of a domain when service is -1. */
void
config_members(int service, int domain)
{
	const char *list = "[";
	struct event *event;

	for (int i = 0; i < world.process_count; i++) {
		const struct process *p = &world.processes[i];
		uint32_t address = p->endpoint.address;

		if (p->alive && p->service == service &&
		    (service >= 0 || p->domain == domain))
			list = apr_psprintf(world.pool,
			    "%s%s{\"name\":\"%s\",\"address\":\"10.%u.%u.%u:%u"
			    "\",\"domain\":\"d%d\",\"state\":\"%s\"}",
			    list, list[1] == '\0' ? "" : ",", p->name,
			    address >> 16 & 255, address >> 8 & 255,
			    address & 255, p->endpoint.port, p->domain + 1,
			    p->leaving ? "leaving" : "live");
	}
	event =
	    event_new(world.now == 0 ? 0 : world.list_lag, EV_PUBLISH, 0, 0);
	event->key = service < 0 ? apr_psprintf(world.pool,
				       "instances/entries/d%d", domain + 1)
				 : apr_pstrcat(world.pool, "instances/",
				       world.services[service].name, NULL);
	event->data = (uint8_t *)apr_pstrcat(world.pool, list, "]", NULL);
}

/* Answers the blocking queries of a process that have something new. */
void
config_poll(struct process *p)
{
	const bool down = world.config_down || link_cut(p->index, PLACE_CONFIG);

	for (int i = 0; i < world.key_count; i++) {
		struct watch *watch = &p->watches[i];
		const struct key *key = &world.keys[i];
		const bool stale = key->stale && p->index % 2 != 0;
		const uint64_t version =
		    stale ? key->old_version : key->version;
		const bool changed = !down && version > watch->index;
		struct event *value;

		if (!watch->active || (!down && version == 0) ||
		    (!changed && world.now - watch->asked <
				     (down || stale || version < watch->index
					     ? QUERY_BACKOFF
					     : WAIT_LONGEST)))
			continue;
		watch->asked = world.now;
		value = event_new(2 * world.across,
		    down ? NODE(FAILURE) : NODE(VALUE), p->index, p->epoch);
		value->key = key->name;
		if (down)
			continue;
		watch->index = value->a = version;
		value->data = (uint8_t *)(stale ? key->old_data : key->data);
		value->len = strlen((char *)value->data);
	}
}
