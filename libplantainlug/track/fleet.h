#ifndef PLUG_TRACK_FLEET_H
#define PLUG_TRACK_FLEET_H

#include <stdatomic.h>

#include "../document.h"
#include "segment.h"

#define PLUG_DOMAINS_OUT_MAX  16 /* domains out of service at once */
#define PLUG_HEALTH_PATH_SIZE 96 /* bytes, with the NUL */

/**
 * struct plug_route_share - share of a route's new flows that a service gets
 * @service: hash of the service's name
 * @weight: weight of the share; the route's weights sum to its weight_sum
 */
struct plug_route_share {
	uint64_t service;
	uint32_t weight;
};

/**
 * struct plug_route - traffic split of one virtual service address
 * @vip: virtual address and port that clients connect to
 * @target_latency: objective for the response time, microseconds
 * @request_timeout: time after which an answer is useless, microseconds
 * @priority: priority of the route's requests; 0 is the highest
 * @share_count: length of @shares
 * @weight_sum: sum of the weights; if 0, no service gets flows of the route
 * @shares: services that the new flows are split between, part of the shares of
 *   the configuration
 */
struct plug_route {
	struct plug_endpoint vip;
	plug_time target_latency;
	plug_time request_timeout;
	uint32_t priority;
	unsigned int share_count;
	uint32_t weight_sum;
	struct plug_route_share *shares;
};

/**
 * struct plug_service_config - configuration of a service
 * @id: hash of the name
 * @name: name, for logs
 * @health_path: HTTP path of the health check; empty for the default
 * @cold_per_s: new flows per second that a cold host gets; 0 for no limit
 * @cold_time: how long a host stays cold after its start, microseconds
 */
struct plug_service_config {
	uint64_t id;
	char name[PLUG_NAME_SIZE];
	char health_path[PLUG_HEALTH_PATH_SIZE];
	double cold_per_s;
	plug_time cold_time;
};

/**
 * struct plug_config - one version of the operators' configuration
 * @references: reference count; see plug_config_reference() and
 *   plug_config_release()
 * @version: increases with each change
 * @idle_timeout: idle time after which a flow may be forgotten, microseconds
 * @route_count: length of @routes
 * @routes: routes, sorted by vip
 * @shares: shares of all routes
 * @service_count: length of @services
 * @services: services, in no particular order
 */
struct plug_config {
	atomic_uint references;
	uint64_t version;
	plug_time idle_timeout;
	unsigned int route_count;
	struct plug_route *routes;
	struct plug_route_share *shares;
	unsigned int service_count;
	struct plug_service_config *services;
};

/**
 * struct plug_fleet_host - a host of the instance list
 * @id: hash of the instance id
 * @name: instance id, for logs
 * @address: address of the machine, where the agent listens; host byte order
 * @service: hash of the service's name
 * @domain: hash of the failure domain's name
 * @slots: requests that the host processes concurrently, at least 1
 * @draining: the host is shutting down and must not get new flows
 * @superseded: a host of a configured service that started later is listed at
 *   the same address
 * @cold_until: until then the host is cold and can handle few requests; 0 when
 *   warm
 * @started_ms: when this instance started, milliseconds since 1970; 0 if
 *   unknown
 */
struct plug_fleet_host {
	uint64_t id;
	char name[PLUG_NAME_SIZE];
	uint32_t address;
	uint64_t service;
	uint32_t domain;
	uint32_t slots;
	bool draining;
	bool superseded;
	plug_time cold_until;
	uint64_t started_ms;
};

/**
 * struct plug_fleet_agent - the agent of a machine that runs listed hosts
 * @address: address of the machine, where the agent listens; host byte order
 * @domain: hash of the failure domain's name
 */
struct plug_fleet_agent {
	uint32_t address;
	uint32_t domain;
};

/**
 * struct plug_fleet - snapshot of the configuration and the host list
 * @references: reference count; see plug_fleet_reference() and
 *   plug_fleet_release()
 * @config: configuration in force, holds one reference
 * @revision: revision of the store that the host list was read at
 * @consistent_read_at: when the last consistent read of the host list began,
 *   one that is guaranteed to be current; 0 if there was none
 * @authoritative: no recent read failed, so that a host which is missing from
 *   the list is gone
 * @host_count: length of @hosts
 * @hosts: hosts, sorted by id
 * @agent_count: length of @agents
 * @agents: one agent per machine, sorted by address
 * @out_domain_count: length of @out_domains
 * @out_domains: hashes of the names of the domains that are out of service
 *
 * A snapshot is immutable once a traffic thread has it.
 */
struct plug_fleet {
	atomic_uint references;
	struct plug_config *config;
	uint64_t revision;
	plug_time consistent_read_at;
	bool authoritative;
	unsigned int host_count;
	struct plug_fleet_host *hosts;
	unsigned int agent_count;
	struct plug_fleet_agent *agents;
	unsigned int out_domain_count;
	uint32_t out_domains[PLUG_DOMAINS_OUT_MAX];
};

struct plug_config *plug_config_create(unsigned int route_count,
    unsigned int share_count, unsigned int service_count);
struct plug_config *plug_config_reference(struct plug_config *config);
void plug_config_release(struct plug_config *config);
void plug_config_complete(struct plug_config *config);
const struct plug_route *plug_config_find_route(
    const struct plug_config *config, struct plug_endpoint vip);
const struct plug_service_config *
plug_config_find_service(const struct plug_config *config, uint64_t service);
uint64_t plug_route_choose_service(
    const struct plug_route *route, const struct plug_tuple *tuple);
bool plug_route_allows(const struct plug_route *route, uint64_t service);

struct plug_fleet *
plug_fleet_create(struct plug_config *config, unsigned int host_count);
struct plug_fleet *plug_fleet_reference(struct plug_fleet *fleet);
void plug_fleet_release(struct plug_fleet *fleet);
void plug_fleet_complete(struct plug_fleet *fleet);
int plug_fleet_host_compare(const void *a, const void *b);
const struct plug_fleet_host *
plug_fleet_find_host(const struct plug_fleet *fleet, uint64_t id);
bool plug_fleet_domain_is_out(const struct plug_fleet *fleet, uint32_t domain);

#endif
