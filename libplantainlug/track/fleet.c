#include <stdlib.h>
#include <string.h>

#include "fleet.h"

/**
 * plug_config_create() - allocate a configuration
 * @route_count: length of the routes array
 * @backing_count: length of the services array
 *
 * Return: a zeroed configuration with one reference, or NULL when memory ran
 * out.
 */
struct plug_config *
plug_config_create(unsigned int route_count, unsigned int backing_count)
{
	struct plug_config *config = calloc(1, sizeof(*config));

	if (config == NULL)
		return NULL;
	atomic_init(&config->references, 1);
	config->route_count = route_count;
	config->service_count = backing_count;
	config->routes = calloc(route_count + 1, sizeof(*config->routes));
	config->services = calloc(backing_count + 1, sizeof(*config->services));
	if (config->routes == NULL || config->services == NULL) {
		plug_config_release(config);
		return NULL;
	}
	return config;
}

/**
 * plug_config_reference() - keep a configuration
 * @config: configuration
 *
 * Return: @config, for the caller to release.
 */
struct plug_config *
plug_config_reference(struct plug_config *config)
{
	atomic_fetch_add(&config->references, 1);
	return config;
}

/**
 * plug_config_release() - give up one reference
 * @config: configuration, or NULL; freed with its last reference
 */
void
plug_config_release(struct plug_config *config)
{
	if (config == NULL || atomic_fetch_sub(&config->references, 1) != 1)
		return;
	free(config->routes);
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
 * plug_config_complete() - put the routes in order and sum their weights
 * @config: configuration whose arrays are complete
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
 * plug_config_find_route() - route of a service address
 * @config: configuration
 * @target: address and port that a client named
 *
 * Return: the route or NULL.
 */
const struct plug_route *
plug_config_find_route(
    const struct plug_config *config, struct plug_endpoint target)
{
	const struct plug_route key = { .vip = target };

	return bsearch(&key, config->routes, config->route_count,
	    sizeof(*config->routes), compare_routes);
}

/**
 * plug_config_find_service() - a service of the configuration
 * @config: configuration, or NULL
 * @service: hash of its name
 *
 * Return: the service or NULL.
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
 * plug_route_choose_service() - service of a new flow
 * @route: route of the flow
 * @t: flow; copies of one SYN choose the same service at every entry
 *
 * Return: hash of the service's name, 0 when every weight is 0.
 */
uint64_t
plug_route_choose_service(
    const struct plug_route *route, const struct plug_tuple *t)
{
	uint64_t point;

	if (route->weight_sum == 0)
		return 0;
	point = plug_tuple_hash(t) % route->weight_sum;
	for (unsigned int i = 0; i < route->share_count; i++) {
		if (point < route->shares[i].weight)
			return route->shares[i].service;
		point -= route->shares[i].weight;
	}
	return 0;
}

/**
 * plug_route_allows() - whether flows of a route may go to a service
 * @route: route
 * @service: hash of the service's name
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
 * @config: configuration in force; the snapshot takes its own reference
 * @host_count: length of the hosts array
 *
 * Return: a snapshot with one reference, or NULL when memory ran out.
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
 * plug_fleet_reference() - keep a snapshot
 * @fleet: snapshot
 *
 * Return: @fleet, for the caller to release.
 */
struct plug_fleet *
plug_fleet_reference(struct plug_fleet *fleet)
{
	atomic_fetch_add(&fleet->references, 1);
	return fleet;
}

/**
 * plug_fleet_release() - give up one reference
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

static int
compare_hosts(const void *a, const void *b)
{
	const struct plug_fleet_host *x = a, *y = b;

	if (x->id == y->id)
		return 0;
	return x->id < y->id ? -1 : 1;
}

static int
compare_starts(const void *a, const void *b)
{
	const struct plug_fleet_host *x = a, *y = b;

	if (x->address != y->address)
		return x->address < y->address ? -1 : 1;
	if (x->started_ms != y->started_ms)
		return x->started_ms < y->started_ms ? -1 : 1;
	return 0;
}

/* Its hosts are ordered by address. */
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

/**
 * plug_fleet_complete() - order the hosts, compare their starts, list machines
 * @fleet: snapshot that no other thread has yet; its hosts are filled in
 *
 * A host that has died without a word stays listed for seconds, beside the one
 * that has taken its place.
 */
void
plug_fleet_complete(struct plug_fleet *fleet)
{
	qsort(fleet->hosts, fleet->host_count, sizeof(*fleet->hosts),
	    compare_starts);
	for (unsigned int i = 0; i + 1 < fleet->host_count; i++) {
		const struct plug_fleet_host *next = &fleet->hosts[i + 1];

		fleet->hosts[i].superseded =
		    fleet->hosts[i].address == next->address &&
		    fleet->hosts[i].started_ms < next->started_ms;
	}
	list_agents(fleet);
	qsort(fleet->hosts, fleet->host_count, sizeof(*fleet->hosts),
	    compare_hosts);
}

/**
 * plug_fleet_find_host() - a host of the list
 * @fleet: snapshot, or NULL
 * @id: hash of its instance id
 *
 * Return: the host or NULL.
 */
const struct plug_fleet_host *
plug_fleet_find_host(const struct plug_fleet *fleet, uint64_t id)
{
	const struct plug_fleet_host key = { .id = id };

	if (fleet == NULL)
		return NULL;
	return bsearch(&key, fleet->hosts, fleet->host_count,
	    sizeof(*fleet->hosts), compare_hosts);
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
