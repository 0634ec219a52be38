#ifndef PLUG_TRACK_BALANCE_H
#define PLUG_TRACK_BALANCE_H

#include "../../proto/track.pb-c.h"
#include "fleet.h"

#define PLUG_EXCLUDED_HOSTS_MAX 8 /* hosts that one flow can exclude */

/**
 * struct plug_host_load - load of one host, as an entry knows it
 * @flows: open flows, from the last report
 * @running: requests in progress and flows whose first request is expected,
 *   from the last report
 * @waiting: new flows queued at the agent, from the last report
 * @accepting: the host accepts new flows; assumed before the first report
 * @failing: the host has failed many requests; chosen only as a last resort
 * @request_time: mean time per request, microseconds; 0 if unknown
 * @reported_at: when the last report arrived; 0 if none has
 * @flows_sent: new flows sent to the host since the last report
 * @first_sent_at: when the first of @flows_sent was sent; 0 if there is none
 * @avoid_until: the host is not chosen before this time; set by a refusal
 * @superseded_at: when the first snapshot was adopted that lists a later host
 *   at the same address; 0 while there is none
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
	plug_time superseded_at;
};

/**
 * struct plug_excluded_hosts - hosts that must not be chosen for a flow again
 * @count: length of @ids
 * @ids: hashes of the instance ids
 */
struct plug_excluded_hosts {
	unsigned int count;
	uint64_t ids[PLUG_EXCLUDED_HOSTS_MAX];
};

/**
 * struct plug_balance - a fleet snapshot and the load of its hosts
 * @fleet: snapshot, holds one reference; NULL before the first one
 * @host_loads: loads, parallel to the hosts of @fleet
 */
struct plug_balance {
	struct plug_fleet *fleet;
	struct plug_host_load *host_loads;
};

void plug_balance_init(struct plug_balance *balance);
void plug_balance_finish(struct plug_balance *balance);
bool plug_balance_adopt(
    struct plug_balance *balance, plug_time now, struct plug_fleet *fleet);
struct plug_host_load *
plug_balance_host_load(const struct plug_balance *balance, uint64_t host);
void plug_balance_record_report(
    struct plug_balance *balance, plug_time now, const Plug__Load *report);
bool
plug_host_load_is_overdue(const struct plug_host_load *load, plug_time now);
bool
plug_host_load_needs_query(const struct plug_host_load *load, plug_time now);
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
