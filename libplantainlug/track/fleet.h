#ifndef PLUG_TRACK_FLEET_H
#define PLUG_TRACK_FLEET_H

#include <stdatomic.h>

#include "../document.h"
#include "segment.h"

#define PLUG_ROUTE_SHARES_MAX 8	 /* services that one route is split over */
#define PLUG_DOMAINS_OUT_MAX  16 /* domains out of service at a time */
#define PLUG_HEALTH_PATH_SIZE 96 /* bytes, with the NUL */

/**
 * struct plug_route_share - part of a route's new flows
 * @service: hash of the service's name
 * @weight: share, relative to the sum of the route's weights
 */
struct plug_route_share {
	uint64_t service;
	uint32_t weight;
};

/**
 * struct plug_route - where the flows of one service address go
 * @vip: address and port that clients name
 * @target_latency: time within which clients want an answer
 * @request_timeout: time after which an answer is of no use
 * @priority: of its requests, 0 is highest
 * @share_count: length of @shares
 * @weight_sum: sum of the weights; 0 when nothing may be sent
 * @shares: services of the route
 */
struct plug_route {
	struct plug_endpoint vip;
	plug_time target_latency;
	plug_time request_timeout;
	uint32_t priority;
	unsigned int share_count;
	uint32_t weight_sum;
	struct plug_route_share shares[PLUG_ROUTE_SHARES_MAX];
};

/**
 * struct plug_service_config - a service as the configuration describes it
 * @id: hash of its name
 * @name: name in logs
 * @health_path: path of its health check
 * @cold_per_s: requests a second that a cold host bears; 0 for no limit
 * @cold_time: how long a host stays cold after its start
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
 * @references: plug_config_reference() adds one, plug_config_release() takes
 * one
 * @version: increases with each change
 * @idle_timeout: idle flows may be forgotten after this time
 * @route_count: length of @routes
 * @routes: ordered by target
 * @service_count: length of @services
 * @services: services
 */
struct plug_config {
	atomic_uint references;
	uint64_t version;
	plug_time idle_timeout;
	unsigned int route_count;
	struct plug_route *routes;
	unsigned int service_count;
	struct plug_service_config *services;
};

/**
 * struct plug_fleet_find_host - a host as the instance list shows it
 * @id: hash of its instance id
 * @name: instance id, for logs
 * @address: address of its machine, where its agent listens
 * @service: hash of its service's name
 * @domain: hash of its failure domain's name
 * @slots: requests that it runs at a time, at least 1
 * @draining: it is leaving
 * @superseded: a host that started later is listed at the same address
 * @cold_until: it bears little until this time; 0 when warm
 * @started_ms: start of this incarnation, milliseconds since 1970; 0 if not
 * known
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
 * struct plug_fleet_agent - a machine of the host list
 * @address: address of its agent
 * @domain: hash of its failure domain's name
 */
struct plug_fleet_agent {
	uint32_t address;
	uint32_t domain;
};

/**
 * struct plug_fleet - immutable snapshot that a traffic thread acts on
 * @references: plug_fleet_reference() adds one, plug_fleet_release() takes one
 * @config: configuration in force; one reference
 * @revision: revision of the store that the host list shows
 * @consistent_read_at: when the last exact read of the host list began; 0
 * before it
 * @authoritative: no read has failed lately, so that a host which the list does
 * not show is gone
 * @host_count: length of @hosts
 * @hosts: hosts, ordered by id
 * @agent_count: length of @agents
 * @agents: machines of the hosts, ordered by address, each once
 * @out_domain_count: length of @out_domains
 * @out_domains: hashes of the domains that are out of service
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

struct plug_config *
plug_config_create(unsigned int route_count, unsigned int backing_count);
struct plug_config *plug_config_reference(struct plug_config *config);
void plug_config_release(struct plug_config *config);
void plug_config_complete(struct plug_config *config);
const struct plug_route *plug_config_find_route(
    const struct plug_config *config, struct plug_endpoint target);
const struct plug_service_config *
plug_config_find_service(const struct plug_config *config, uint64_t service);
uint64_t plug_route_choose_service(
    const struct plug_route *route, const struct plug_tuple *t);
bool plug_route_allows(const struct plug_route *route, uint64_t service);

struct plug_fleet *
plug_fleet_create(struct plug_config *config, unsigned int host_count);
struct plug_fleet *plug_fleet_reference(struct plug_fleet *fleet);
void plug_fleet_release(struct plug_fleet *fleet);
void plug_fleet_complete(struct plug_fleet *fleet);
const struct plug_fleet_host *
plug_fleet_find_host(const struct plug_fleet *fleet, uint64_t id);
bool plug_fleet_domain_is_out(const struct plug_fleet *fleet, uint32_t domain);

#endif
