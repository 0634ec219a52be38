#ifndef PLUG_TRACK_SETTINGS_H
#define PLUG_TRACK_SETTINGS_H

#include "../settings.h"

#define PLUG_TRACK_SETTINGS_SIZE_MAX ((size_t)64 * 1024) /* bytes per file */

/**
 * struct plug_track_settings - validated settings of a tracking process
 * @role: entry or agent
 * @name: instance name, for logs
 * @domain: name of the failure domain that the process runs in
 * @segments: UDP address that receives flow segments
 * @ready: TCP address that serves the readiness check and the metrics
 * @store: address of the platform's store
 * @notice_port: UDP port for notices, the same on all machines
 * @log_level: least severe level that is logged
 * @host_output: UDP address that receives the host's segments; set for an agent
 *   only
 * @host: address of the host, UDP for segments and TCP for health checks; set
 *   for an agent only
 * @service: name of the service of an agent's host; empty if not set
 * @address_reuse_s: shortest time in seconds from the end of a host to the
 *   start of another one at its address
 * @flow_age_max_s: age in seconds from which on any flow may be discarded
 */
struct plug_track_settings {
	enum plug_role role;
	char name[PLUG_NAME_SIZE];
	char domain[PLUG_NAME_SIZE];
	struct plug_endpoint segments;
	struct plug_endpoint ready;
	struct plug_endpoint store;
	uint32_t notice_port;
	enum plug_log_level log_level;
	struct plug_endpoint host_output;
	struct plug_endpoint host;
	char service[PLUG_NAME_SIZE];
	double address_reuse_s;
	double flow_age_max_s;
};

enum plug_code plug_track_settings_parse(struct plug_str text,
    struct plug_track_settings *settings, struct plug_status *status);

#endif
