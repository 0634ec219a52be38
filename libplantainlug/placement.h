#ifndef PLUG_PLACEMENT_H
#define PLUG_PLACEMENT_H

#include "view.h"

#define PLUG_SIBLINGS_MAX	  32 /* siblings whose reports are remembered */
#define PLUG_REPORT_INTERVAL	  (500 * PLUG_MSEC)
#define PLUG_REPORT_AGE_MAX	  (3 * PLUG_SEC)
#define PLUG_WORK_TIME_CONSTANT	  (5 * PLUG_SEC) /* of the average of work */
#define PLUG_REPORT_RECEIVERS_MAX 16 /* siblings that get the own report */

/**
 * struct plug_load - load figures of one agent
 * @running: requests at its upstream
 * @queued: requests that wait
 * @mean_requests: running and waiting requests, averaged over
 * PLUG_WORK_TIME_CONSTANT
 * @flows: open flows
 * @limit: current concurrency limit
 * @slots: limit when warm
 * @leaving: hands its flows away
 * @refusing: admits no new flow
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
 * struct plug_sibling - last report of one agent of the service
 * @endpoint: its address
 * @instance: its instance id; 0 while unused
 * @domain: hash of its failure domain's name
 * @load: reported figures
 * @reported_at: time of the report
 * @flows_sent: flows sent to it since the report
 * @avoid_until: it has refused flows; time when it may be asked again
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
 * struct plug_placement - what an agent knows of its siblings' load
 * @siblings: reports; entries with instance 0 are unused
 */
struct plug_placement {
	struct plug_sibling siblings[PLUG_SIBLINGS_MAX];
};

void plug_placement_init(struct plug_placement *placement);
void plug_placement_store_report(struct plug_placement *placement,
    plug_time now, const Plug__Sender *sender, const Plug__Report *report);
double plug_load_per_slot(const struct plug_load *load, uint32_t sent);
const struct plug_sibling *
plug_placement_find(const struct plug_placement *placement, plug_time now,
    struct plug_endpoint endpoint);
bool plug_sibling_usable(const struct plug_sibling *sibling,
    const struct plug_service *service, plug_time now);
const struct plug_sibling *plug_placement_open_target(
    const struct plug_placement *placement, struct plug_client *client,
    plug_time now, const struct plug_service *service, uint32_t domain,
    const struct plug_load *own, bool must_leave);
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
