#include <stdlib.h>
#include <string.h>

#include "fleet.h"

/**
 * plug_config_create() - allocate a configuration
 * @route_count: length of the routes array
 * @share_count: length of the shares array, for the shares of all routes
 * @service_count: length of the services array
 *
 * Return: a zeroed configuration with one reference, or NULL when out of
 * memory.
 */
struct plug_config *
plug_config_create(unsigned int route_count, unsigned int share_count,
    unsigned int service_count)
{
	struct plug_config *config = calloc(1, sizeof(*config));

	if (config == NULL)
		return NULL;
	atomic_init(&config->references, 1);
	config->route_count = route_count;
	config->service_count = service_count;
	config->routes = calloc(route_count + 1, sizeof(*config->routes));
	config->shares = calloc(share_count + 1, sizeof(*config->shares));
	config->services = calloc(service_count + 1, sizeof(*config->services));
	if (config->routes == NULL || config->shares == NULL ||
	    config->services == NULL) {
		plug_config_release(config);
		return NULL;
	}
	return config;
}

/**
 * plug_config_reference() - add a reference to a configuration
 * @config: configuration
 *
 * Return: @config, to be passed to plug_config_release().
 */
struct plug_config *
plug_config_reference(struct plug_config *config)
{
	atomic_fetch_add(&config->references, 1);
	return config;
}

/**
 * plug_config_release() - drop a reference to a configuration
 * @config: configuration, or NULL; freed with its last reference
 */
void
plug_config_release(struct plug_config *config)
{
	if (config == NULL || atomic_fetch_sub(&config->references, 1) != 1)
		return;
	free(config->routes);
	free(config->shares);
	free(config->services);
	free(config);
}

static int
compare_endpoints(struct plug_endpoint a, struct plug_endpoint b)
{
	if (a.address != b.address)
		return a.address < b.address ? -1 : 1;
	if (a.port != b.port)
		return a.port < b.port ? -1 : 1;
	return 0;
}

static int
compare_routes(const void *a, const void *b)
{
	const struct plug_route *x = a, *y = b;

	return compare_endpoints(x->vip, y->vip);
}

/**
 * plug_config_complete() - sort the routes and compute their weight sums
 * @config: configuration whose arrays are filled in; not shared yet
 */
void
plug_config_complete(struct plug_config *config)
{
	for (unsigned int i = 0; i < config->route_count; i++) {
		struct plug_route *route = &config->routes[i];

		route->weight_sum = 0;
		for (unsigned int j = 0; j < route->share_count; j++)
			route->weight_sum += route->shares[j].weight;
	}
	qsort(config->routes, config->route_count, sizeof(*config->routes),
	    compare_routes);
}

/**
 * plug_config_find_route() - look up the route of a virtual address
 * @config: completed configuration
 * @vip: address and port that a client connects to
 *
 * Return: the route, owned by @config, or NULL.
 */
const struct plug_route *
plug_config_find_route(
    const struct plug_config *config, struct plug_endpoint vip)
{
	const struct plug_route key = { .vip = vip };

	return bsearch(&key, config->routes, config->route_count,
	    sizeof(*config->routes), compare_routes);
}

/**
 * plug_config_find_service() - look up a service
 * @config: configuration, or NULL
 * @service: hash of the service's name
 *
 * Return: the service, owned by @config, or NULL.
 */
const struct plug_service_config *
plug_config_find_service(const struct plug_config *config, uint64_t service)
{
	for (unsigned int i = 0; config != NULL && i < config->service_count;
	     i++) {
		if (config->services[i].id == service)
			return &config->services[i];
	}
	return NULL;
}

/**
 * plug_route_choose_service() - choose the service of a new flow
 * @route: route of the flow
 * @tuple: flow; its hash decides, so that all copies of a SYN get the same
 *   service at every entry
 *
 * Return: hash of the service's name, or 0 if all weights are 0.
 */
uint64_t
plug_route_choose_service(
    const struct plug_route *route, const struct plug_tuple *tuple)
{
	uint64_t offset;

	if (route->weight_sum == 0)
		return 0;
	offset = plug_tuple_hash(tuple) % route->weight_sum;
	for (unsigned int i = 0; i < route->share_count; i++) {
		if (offset < route->shares[i].weight)
			return route->shares[i].service;
		offset -= route->shares[i].weight;
	}
	return 0;
}

/**
 * plug_route_allows() - whether flows of a route may go to hosts of a service
 * @route: route
 * @service: hash of the service's name
 *
 * Return: true if the service has a share of @route with a weight above 0.
 */
bool
plug_route_allows(const struct plug_route *route, uint64_t service)
{
	for (unsigned int i = 0; i < route->share_count; i++) {
		if (route->shares[i].service == service &&
		    route->shares[i].weight > 0)
			return true;
	}
	return false;
}

/**
 * plug_fleet_create() - allocate a snapshot
 * @config: configuration in force; the snapshot adds a reference of its own
 * @host_count: length of the hosts array
 *
 * Return: a zeroed snapshot with one reference, for plug_fleet_complete(), or
 * NULL when out of memory.
 */
struct plug_fleet *
plug_fleet_create(struct plug_config *config, unsigned int host_count)
{
	struct plug_fleet *fleet = calloc(1, sizeof(*fleet));

	if (fleet == NULL)
		return NULL;
	atomic_init(&fleet->references, 1);
	fleet->config = plug_config_reference(config);
	fleet->host_count = host_count;
	fleet->hosts = calloc(host_count + 1, sizeof(*fleet->hosts));
	fleet->agents = calloc(host_count + 1, sizeof(*fleet->agents));
	if (fleet->hosts == NULL || fleet->agents == NULL) {
		plug_fleet_release(fleet);
		return NULL;
	}
	return fleet;
}

/**
 * plug_fleet_reference() - add a reference to a snapshot
 * @fleet: snapshot
 *
 * Return: @fleet, to be passed to plug_fleet_release().
 */
struct plug_fleet *
plug_fleet_reference(struct plug_fleet *fleet)
{
	atomic_fetch_add(&fleet->references, 1);
	return fleet;
}

/**
 * plug_fleet_release() - drop a reference to a snapshot
 * @fleet: snapshot, or NULL; freed with its last reference
 */
void
plug_fleet_release(struct plug_fleet *fleet)
{
	if (fleet == NULL || atomic_fetch_sub(&fleet->references, 1) != 1)
		return;
	plug_config_release(fleet->config);
	free(fleet->hosts);
	free(fleet->agents);
	free(fleet);
}

/**
 * plug_fleet_host_compare() - order of hosts by id, for qsort() and bsearch()
 * @a: host
 * @b: host
 */
int
plug_fleet_host_compare(const void *a, const void *b)
{
	const struct plug_fleet_host *x = a, *y = b;

	if (x->id == y->id)
		return 0;
	return x->id < y->id ? -1 : 1;
}

/* Orders the hosts of one address by their start. */
static int
compare_by_address(const void *a, const void *b)
{
	const struct plug_fleet_host *x = a, *y = b;

	if (x->address != y->address)
		return x->address < y->address ? -1 : 1;
	if (x->started_ms != y->started_ms)
		return x->started_ms < y->started_ms ? -1 : 1;
	return 0;
}

/* Lists each machine once. The hosts must be sorted by address. */
static void
list_agents(struct plug_fleet *fleet)
{
	fleet->agent_count = 0;
	for (unsigned int i = 0; i < fleet->host_count; i++) {
		const struct plug_fleet_host *host = &fleet->hosts[i];

		if (i > 0 && host[-1].address == host->address)
			continue;
		fleet->agents[fleet->agent_count++] = (struct plug_fleet_agent){
			.address = host->address,
			.domain = host->domain,
		};
	}
}

/* Marks the hosts at whose address one started later. One of a service that
 * isn't configured can't be used, so that it doesn't count. The hosts must be
 * sorted by address and start. */
static void
mark_superseded(struct plug_fleet *fleet)
{
	uint64_t newest_ms = 0;

	for (unsigned int i = fleet->host_count; i-- > 0;) {
		struct plug_fleet_host *host = &fleet->hosts[i];

		if (i + 1 == fleet->host_count ||
		    host->address != host[1].address)
			newest_ms = 0;
		host->superseded = host->started_ms < newest_ms;
		if (i > 0 && host[-1].address == host->address &&
		    newest_ms == 0 &&
		    plug_config_find_service(fleet->config, host->service) !=
			NULL)
			newest_ms = host->started_ms;
	}
}

/**
 * plug_fleet_complete() - mark superseded hosts, list agents, sort hosts
 * @fleet: snapshot whose hosts are filled in; not shared yet
 *
 * The store lists a host that crashed for some more seconds, beside the one
 * that has replaced it at the same address.
 */
void
plug_fleet_complete(struct plug_fleet *fleet)
{
	qsort(fleet->hosts, fleet->host_count, sizeof(*fleet->hosts),
	    compare_by_address);
	mark_superseded(fleet);
	list_agents(fleet);
	qsort(fleet->hosts, fleet->host_count, sizeof(*fleet->hosts),
	    plug_fleet_host_compare);
}

/**
 * plug_fleet_find_host() - look up a host
 * @fleet: completed snapshot, or NULL
 * @id: hash of the host's instance id
 *
 * Return: the host, owned by @fleet, or NULL.
 */
const struct plug_fleet_host *
plug_fleet_find_host(const struct plug_fleet *fleet, uint64_t id)
{
	const struct plug_fleet_host key = { .id = id };

	if (fleet == NULL)
		return NULL;
	return bsearch(&key, fleet->hosts, fleet->host_count,
	    sizeof(*fleet->hosts), plug_fleet_host_compare);
}

/**
 * plug_fleet_domain_is_out() - whether a domain is out of service
 * @fleet: snapshot
 * @domain: hash of the domain's name
 */
bool
plug_fleet_domain_is_out(const struct plug_fleet *fleet, uint32_t domain)
{
	for (unsigned int i = 0; i < fleet->out_domain_count; i++) {
		if (fleet->out_domains[i] == domain)
			return true;
	}
	return false;
}
