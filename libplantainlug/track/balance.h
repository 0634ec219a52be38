#ifndef PLUG_TRACK_BALANCE_H
#define PLUG_TRACK_BALANCE_H

#include "../../proto/track.pb-c.h"
#include "fleet.h"

#define PLUG_EXCLUDED_HOSTS_MAX 8 /* hosts that have refused one flow */

/**
 * struct plug_host_load - what an entry knows of one host's load
 * @flows: open flows at its last report
 * @running: requests at work
 * @waiting: opening flows that wait at its agent
 * @accepting: it takes new flows
 * @failing: it has failed many requests, and is chosen when there is no other
 * @request_time: how long it works on a request, microseconds; 0 while unknown
 * @reported_at: time of the report; 0 before the first one
 * @flows_sent: flows sent to it since the report
 * @first_sent_at: time of the first flow sent since the report; 0 without one
 * @avoid_until: it has refused a flow, and is left out until this time
 */
struct plug_host_load {
	uint32_t flows;
	uint32_t running;
	uint32_t waiting;
	bool accepting;
	bool failing;
	plug_time request_time;
	plug_time reported_at;
	uint32_t flows_sent;
	plug_time first_sent_at;
	plug_time avoid_until;
};

/**
 * struct plug_excluded_hosts - hosts that a flow shall not be sent to again
 * @count: length of @ids
 * @ids: hashes of their instance ids
 */
struct plug_excluded_hosts {
	unsigned int count;
	uint64_t ids[PLUG_EXCLUDED_HOSTS_MAX];
};

/**
 * struct plug_balance - load of the hosts of a snapshot
 * @fleet: snapshot; one reference
 * @host_loads: one for each host of @fleet, in its order
 */
struct plug_balance {
	struct plug_fleet *fleet;
	struct plug_host_load *host_loads;
};

void plug_balance_init(struct plug_balance *balance);
void plug_balance_finish(struct plug_balance *balance);
bool plug_balance_adopt(struct plug_balance *balance, struct plug_fleet *fleet);
struct plug_host_load *
plug_balance_host_load(const struct plug_balance *balance, uint64_t host);
void plug_balance_record_report(
    struct plug_balance *balance, plug_time now, const Plug__Load *load);
bool
plug_host_load_is_overdue(const struct plug_host_load *target, plug_time now);
bool
plug_host_load_needs_query(const struct plug_host_load *target, plug_time now);
plug_time plug_balance_expected_wait(const struct plug_balance *balance,
    plug_time now, const struct plug_fleet_host *host);
const struct plug_fleet_host *plug_balance_choose(
    const struct plug_balance *balance, plug_time now, uint64_t service,
    uint32_t domain, const struct plug_excluded_hosts *excluded);
void plug_balance_count_flow(struct plug_balance *balance, plug_time now,
    const struct plug_fleet_host *host);
void plug_balance_avoid(
    struct plug_balance *balance, uint64_t host, plug_time until);

#endif
