#ifndef PLUG_SETTINGS_H
#define PLUG_SETTINGS_H

#include "client.h"
#include "document.h"

#define PLUG_SEEDS_MAX		 16  /* peers named in the settings */
#define PLUG_CONFIG_SERVICES_MAX 4   /* replicas of the configuration service */
#define PLUG_THREADS_MAX	 16  /* traffic threads of an entry */
#define PLUG_PATH_SIZE		 256 /* bytes, with the NUL */

enum plug_role {
	PLUG_ROLE_ENTRY,
	PLUG_ROLE_AGENT,
};

/**
 * struct plug_settings - validated settings of one process
 * @role: entry or agent
 * @name: instance name in logs
 * @domain: name of the own failure domain
 * @listen: UDP traffic and TCP control address
 * @fabric: gateway that delivers replies
 * @config_services: replicas of the configuration service
 * @seeds: addresses of peers to start with
 * @threads: traffic threads of an entry, 1 to PLUG_THREADS_MAX
 * @log_level: least severe level that is written
 * @log_file: path, empty for standard error
 * @service: service name of an agent
 * @service_id: service id of an agent
 * @upstream: TCP address of an agent's upstream
 */
struct plug_settings {
	enum plug_role role;
	char name[PLUG_NAME_SIZE];
	char domain[PLUG_NAME_SIZE];
	struct plug_endpoint listen;
	struct plug_endpoint fabric;
	unsigned int config_service_count;
	struct plug_endpoint config_services[PLUG_CONFIG_SERVICES_MAX];
	unsigned int seed_count;
	struct plug_endpoint seeds[PLUG_SEEDS_MAX];
	unsigned int threads;
	enum plug_log_level log_level;
	char log_file[PLUG_PATH_SIZE];
	char service[PLUG_NAME_SIZE];
	uint32_t service_id;
	struct plug_endpoint upstream;
};

enum plug_code plug_settings_parse(struct plug_str text,
    struct plug_settings *settings, struct plug_status *status);

#endif
