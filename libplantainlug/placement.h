#ifndef PLUG_PLACEMENT_H
#define PLUG_PLACEMENT_H

#include "view.h"

#define PLUG_SIBLINGS_MAX	  32 /* siblings whose reports are stored */
#define PLUG_REPORT_INTERVAL	  (500 * PLUG_MSEC) /* between two reports */
#define PLUG_REPORT_AGE_MAX	  (3 * PLUG_SEC) /* older ones are not used */
#define PLUG_WORK_TIME_CONSTANT	  (5 * PLUG_SEC) /* of mean_requests */
#define PLUG_REPORT_RECEIVERS_MAX 16 /* siblings that an agent reports to */

/**
 * struct plug_load - load figures of one agent
 * @running: requests running at its upstream
 * @queued: requests waiting for a slot or for a delayed retry
 * @mean_requests: moving average of running and waiting requests; its time
 *   constant is PLUG_WORK_TIME_CONSTANT
 * @flows: open flows
 * @limit: current concurrency limit
 * @slots: concurrency limit once the upstream is warm
 * @leaving: the agent is leaving and moves its flows to siblings
 * @refusing: the agent refuses new flows at present
 */
struct plug_load {
	uint32_t running;
	uint32_t queued;
	double mean_requests;
	uint32_t flows;
	uint32_t limit;
	uint32_t slots;
	bool leaving;
	bool refusing;
};

/**
 * struct plug_sibling - last report of another agent of the service
 * @endpoint: address of the agent
 * @instance: instance id of the agent; 0 marks an unused record
 * @domain: hash of the name of the agent's failure domain
 * @load: load figures of the report
 * @reported_at: when the report arrived
 * @flows_sent: flows sent to the agent since the report
 * @avoid_until: receives no flows before this time, since it refused some
 */
struct plug_sibling {
	struct plug_endpoint endpoint;
	uint64_t instance;
	uint32_t domain;
	struct plug_load load;
	plug_time reported_at;
	uint32_t flows_sent;
	plug_time avoid_until;
};

/**
 * struct plug_placement - load of the siblings of an agent
 * @siblings: last report of each; records with instance 0 are unused
 */
struct plug_placement {
	struct plug_sibling siblings[PLUG_SIBLINGS_MAX];
};

void plug_placement_init(struct plug_placement *placement);
void plug_placement_store_report(struct plug_placement *placement,
    plug_time now, const Plug__Sender *sender, const Plug__Report *report);
double
plug_load_per_slot(const struct plug_load *load, uint32_t unreported_flows);
const struct plug_sibling *
plug_placement_find(const struct plug_placement *placement, plug_time now,
    struct plug_endpoint endpoint);
bool plug_sibling_usable(const struct plug_sibling *sibling,
    const struct plug_service *service, plug_time now);
const struct plug_sibling *plug_placement_open_target(
    const struct plug_placement *placement, struct plug_client *client,
    plug_time now, const struct plug_service *service, uint32_t domain,
    const struct plug_load *own_load, bool must_forward);
const struct plug_sibling *
plug_placement_leave_target(const struct plug_placement *placement,
    plug_time now, const struct plug_service *service,
    struct plug_endpoint self, uint64_t flow, uint32_t own_flows);
void plug_placement_avoid(struct plug_placement *placement,
    struct plug_endpoint endpoint, plug_time until);
const struct plug_sibling *
plug_placement_rebalance_target(const struct plug_placement *placement,
    struct plug_client *client, plug_time now,
    const struct plug_service *service, uint32_t domain, double load);
double plug_sibling_warm_load(const struct plug_sibling *sibling);
bool plug_placement_mean_load(const struct plug_placement *placement,
    plug_time now, const struct plug_service *service, double *mean);
void plug_placement_add_sent(struct plug_placement *placement,
    struct plug_endpoint endpoint, uint32_t flows);

#endif
