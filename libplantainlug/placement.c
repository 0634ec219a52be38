#include <math.h>

#include "placement.h"
#include "rank.h"

/* Load of a running or waiting request, in open flows: an open flow sends a
 * request only now and then. */
#define REQUEST_WEIGHT 8

/*
 * A sibling gets a flow when the agent's load exceeds this multiple of the
 * sibling's. An agent may carry up to 1.10 times the mean load; the rest of
 * that allowance covers load that reports don't show yet. Siblings in other
 * domains need no larger ratio: wherever the owner of a flow is, the fabric
 * spreads the later packets of the flow over the entries of all domains.
 */
#define LOAD_RATIO_MIN	1.03
#define FLOWS_RATIO_MAX 1.10 /* leave target's flows / mean after leaving */
#define RANDOM_CHOICES	2    /* siblings that are drawn and compared */
#define MILLI		1000.0

/**
 * plug_placement_init() - initialise a placement without siblings
 * @placement: placement to initialise
 */
void
plug_placement_init(struct plug_placement *placement)
{
	*placement = (struct plug_placement){ 0 };
}

static struct plug_sibling *
find_sibling(struct plug_placement *placement, struct plug_endpoint endpoint)
{
	for (unsigned int i = 0; i < PLUG_SIBLINGS_MAX; i++) {
		struct plug_sibling *sibling = &placement->siblings[i];

		if (sibling->instance != 0 &&
		    plug_endpoint_equal(sibling->endpoint, endpoint))
			return sibling;
	}
	return NULL;
}

/* Returns an unused record, or else the oldest report that has expired, or NULL
 * when all reports are current. */
static struct plug_sibling *
find_replaceable(struct plug_placement *placement, plug_time now)
{
	struct plug_sibling *oldest = NULL;

	for (unsigned int i = 0; i < PLUG_SIBLINGS_MAX; i++) {
		struct plug_sibling *sibling = &placement->siblings[i];

		if (sibling->instance == 0)
			return sibling;
		if (now - sibling->reported_at > PLUG_REPORT_AGE_MAX &&
		    (oldest == NULL ||
			sibling->reported_at < oldest->reported_at))
			oldest = sibling;
	}
	return oldest;
}

/**
 * plug_placement_store_report() - store the report of a sibling
 * @placement: placement
 * @now: time of arrival
 * @sender: sender of the report, an agent of the same service
 * @report: load figures
 *
 * The report of a new sibling is ignored while PLUG_SIBLINGS_MAX others have
 * sent one within PLUG_REPORT_AGE_MAX, and so is a report with instance 0. The
 * count of flows sent to the sibling starts again at 0.
 */
void
plug_placement_store_report(struct plug_placement *placement, plug_time now,
    const Plug__Sender *sender, const Plug__Report *report)
{
	struct plug_endpoint endpoint = { sender->address,
		(uint16_t)sender->port };
	struct plug_sibling *sibling = find_sibling(placement, endpoint);

	if (sibling == NULL)
		sibling = find_replaceable(placement, now);
	if (sibling == NULL || sender->instance == 0)
		return;
	*sibling = (struct plug_sibling){
		.endpoint = endpoint,
		.instance = sender->instance,
		.domain = sender->domain,
		.load = {
			.running = report->running,
			.queued = report->queued,
			.mean_requests = report->work_milli / MILLI,
			.flows = report->flows,
			.limit = report->limit,
			.slots = report->slots,
			.leaving = report->leaving,
			.refusing = report->refusing,
		},
		.reported_at = now,
		.avoid_until = sibling->avoid_until,
	};
}

/**
 * plug_load_per_slot() - compute the load of an agent relative to its limit
 * @load: load figures
 * @unreported_flows: further flows that the figures don't include yet
 *
 * Return: flows per slot, with each request counted as REQUEST_WEIGHT flows.
 * The lower limit of a cold upstream makes the result higher.
 */
double
plug_load_per_slot(const struct plug_load *load, uint32_t unreported_flows)
{
	double flows = (double)load->flows + unreported_flows +
		       REQUEST_WEIGHT * load->mean_requests;

	return flows / (load->limit > 0 ? load->limit : 1);
}

/**
 * plug_placement_find() - find a sibling that has reported recently
 * @placement: placement
 * @now: current time
 * @endpoint: address of the sibling
 *
 * Return: the sibling, valid until the next report is stored; NULL without a
 * report within PLUG_REPORT_AGE_MAX.
 */
const struct plug_sibling *
plug_placement_find(const struct plug_placement *placement, plug_time now,
    struct plug_endpoint endpoint)
{
	const struct plug_sibling *sibling = find_sibling(
	    (struct plug_placement *)(uintptr_t)placement, endpoint);

	if (sibling == NULL || now - sibling->reported_at > PLUG_REPORT_AGE_MAX)
		return NULL;
	return sibling;
}

/**
 * plug_sibling_usable() - check whether a sibling may receive flows
 * @sibling: sibling, or an unused record
 * @service: service in the current view
 * @now: current time
 *
 * Return: true when the sibling has reported within PLUG_REPORT_AGE_MAX,
 * neither leaves nor refuses flows, has a limit above 0, isn't to be avoided,
 * and is a usable member of the service.
 */
bool
plug_sibling_usable(const struct plug_sibling *sibling,
    const struct plug_service *service, plug_time now)
{
	const struct plug_member *member;

	if (sibling->instance == 0 || sibling->load.leaving ||
	    sibling->load.refusing || sibling->load.limit == 0 ||
	    now - sibling->reported_at > PLUG_REPORT_AGE_MAX ||
	    now < sibling->avoid_until)
		return false;
	member = plug_service_member(service, sibling->endpoint);
	return member != NULL && plug_service_usable(service, member);
}

/**
 * plug_sibling_warm_load() - compute the load of a sibling per warm slot
 * @sibling: sibling, whose upstream may still be cold
 *
 * Return: load as of plug_load_per_slot(), but relative to the limit of the
 * warm upstream. Includes the flows sent to the sibling since its report.
 */
double
plug_sibling_warm_load(const struct plug_sibling *sibling)
{
	struct plug_load load = sibling->load;

	load.limit = load.slots;
	return plug_load_per_slot(&load, sibling->flows_sent);
}

static double
current_load(const struct plug_sibling *sibling)
{
	return plug_load_per_slot(&sibling->load, sibling->flows_sent);
}

/* Draws up to two usable siblings at random, both in @domain or both outside of
 * it. Returns the one with the lower load by @load_of, or NULL without any. */
static const struct plug_sibling *
better_of_two(const struct plug_placement *placement,
    struct plug_client *client, plug_time now,
    const struct plug_service *service, uint32_t domain, bool in_domain,
    double (*load_of)(const struct plug_sibling *sibling))
{
	const struct plug_sibling *usable[PLUG_SIBLINGS_MAX];
	const struct plug_sibling *best = NULL;
	unsigned int count = 0;

	for (unsigned int i = 0; i < PLUG_SIBLINGS_MAX; i++) {
		const struct plug_sibling *sibling = &placement->siblings[i];

		if ((sibling->domain == domain) == in_domain &&
		    plug_sibling_usable(sibling, service, now))
			usable[count++] = sibling;
	}
	for (unsigned int i = 0; i < RANDOM_CHOICES && count > 0; i++) {
		uint32_t index = plug_client_random(client, count);
		const struct plug_sibling *candidate = usable[index];

		usable[index] = usable[--count];
		if (best == NULL || load_of(candidate) < load_of(best))
			best = candidate;
	}
	return best;
}

/* Draws two siblings in the agent's own domain first, then two outside of it.
 * Returns the less loaded one of the first two if the agent's @load exceeds
 * LOAD_RATIO_MIN times its load, else that of the second two likewise, or NULL.
 */
static const struct plug_sibling *
choose_less_loaded(const struct plug_placement *placement,
    struct plug_client *client, plug_time now,
    const struct plug_service *service, uint32_t domain, double load,
    double (*load_of)(const struct plug_sibling *sibling))
{
	for (int in_domain = 1; in_domain >= 0; in_domain--) {
		const struct plug_sibling *sibling = better_of_two(placement,
		    client, now, service, domain, in_domain, load_of);

		if (sibling != NULL && load > LOAD_RATIO_MIN * load_of(sibling))
			return sibling;
	}
	return NULL;
}

/**
 * plug_placement_open_target() - choose a sibling for an opening flow
 * @placement: placement
 * @client: random state
 * @now: current time
 * @service: service in the current view
 * @domain: hash of the name of the agent's failure domain
 * @own_load: load figures of the agent, without the opening flow
 * @must_forward: the agent can't keep the flow itself
 *
 * A sibling qualifies when the agent's load exceeds LOAD_RATIO_MIN times the
 * sibling's, or @must_forward is set; siblings in @domain are preferred. The
 * load of a sibling includes the flows sent to it since its report, so that an
 * old report doesn't attract all new flows.
 *
 * Return: the sibling, valid until the next report is stored; NULL when the
 * agent has to keep or refuse the flow.
 */
const struct plug_sibling *
plug_placement_open_target(const struct plug_placement *placement,
    struct plug_client *client, plug_time now,
    const struct plug_service *service, uint32_t domain,
    const struct plug_load *own_load, bool must_forward)
{
	/* The opening flow adds to the load of any agent that takes it. It is
	 * counted for this agent only, not in the loads of the siblings. */
	double load = must_forward ? INFINITY : plug_load_per_slot(own_load, 1);

	return choose_less_loaded(
	    placement, client, now, service, domain, load, current_load);
}

/* Mean number of flows of the usable siblings once all of @own_flows have moved
 * to them. */
static double
mean_flows_after_leaving(const struct plug_placement *placement, plug_time now,
    const struct plug_service *service, uint32_t own_flows)
{
	double flows = own_flows;
	unsigned int count = 0;

	for (unsigned int i = 0; i < PLUG_SIBLINGS_MAX; i++) {
		const struct plug_sibling *sibling = &placement->siblings[i];

		if (!plug_sibling_usable(sibling, service, now))
			continue;
		flows += sibling->load.flows + sibling->flows_sent;
		count++;
	}
	return count > 0 ? flows / count : 0;
}

/**
 * plug_placement_leave_target() - choose a sibling to take over a flow
 * @placement: placement
 * @now: current time
 * @service: service in the current view
 * @self: address of the leaving agent
 * @flow: flow id
 * @own_flows: open flows that the agent still has to move, including @flow
 *
 * Takes the first candidate of plug_rank_members() that stays within 110% of
 * an even share of the flows, because an entry that looks for the flow uses the
 * same ranking. Otherwise takes the candidate with the fewest flows or, when no
 * candidate is usable, any usable sibling.
 *
 * Return: the sibling, valid until the next report is stored; NULL when none is
 * usable.
 */
const struct plug_sibling *
plug_placement_leave_target(const struct plug_placement *placement,
    plug_time now, const struct plug_service *service,
    struct plug_endpoint self, uint64_t flow, uint32_t own_flows)
{
	double flows_max = FLOWS_RATIO_MAX * mean_flows_after_leaving(placement,
						 now, service, own_flows);
	const struct plug_member *ranked[PLUG_RANKED_MAX];
	unsigned int count = plug_rank_members(service, flow, self, ranked);
	const struct plug_sibling *best = NULL;

	for (unsigned int i = 0; i < count; i++) {
		const struct plug_sibling *sibling =
		    plug_placement_find(placement, now, ranked[i]->endpoint);

		if (sibling == NULL ||
		    !plug_sibling_usable(sibling, service, now))
			continue;
		if (sibling->load.flows + sibling->flows_sent + 1 <= flows_max)
			return sibling;
		if (best == NULL || sibling->load.flows + sibling->flows_sent <
					best->load.flows + best->flows_sent)
			best = sibling;
	}
	for (unsigned int i = 0; i < PLUG_SIBLINGS_MAX && best == NULL; i++) {
		if (plug_sibling_usable(&placement->siblings[i], service, now))
			best = &placement->siblings[i];
	}
	return best;
}

/**
 * plug_placement_avoid() - send no flows to a sibling for a while
 * @placement: placement
 * @endpoint: address of the sibling
 * @until: when the sibling may receive flows again
 *
 * Has no effect for an address without a stored report.
 */
void
plug_placement_avoid(struct plug_placement *placement,
    struct plug_endpoint endpoint, plug_time until)
{
	struct plug_sibling *sibling = find_sibling(placement, endpoint);

	if (sibling != NULL)
		sibling->avoid_until = until;
}

/**
 * plug_placement_rebalance_target() - choose a sibling to move flows to
 * @placement: placement
 * @client: random state
 * @now: current time
 * @service: service in the current view
 * @domain: hash of the name of the agent's failure domain
 * @load: load of the overloaded agent per warm slot
 *
 * Loads are compared per warm slot, since open flows outlast a cold start.
 * Siblings are drawn at random, so that several overloaded agents don't all
 * choose the same one.
 *
 * Return: the less loaded of two siblings in @domain, or else in other domains,
 * when @load exceeds LOAD_RATIO_MIN times its load; or NULL. The sibling is
 * valid until the next report is stored.
 */
const struct plug_sibling *
plug_placement_rebalance_target(const struct plug_placement *placement,
    struct plug_client *client, plug_time now,
    const struct plug_service *service, uint32_t domain, double load)
{
	return choose_less_loaded(placement, client, now, service, domain, load,
	    plug_sibling_warm_load);
}

/**
 * plug_placement_mean_load() - average the load per warm slot of siblings
 * @placement: placement
 * @now: current time
 * @service: service in the current view; only usable siblings count
 * @mean: result; unchanged when no sibling is usable
 *
 * Return: false when no sibling is usable.
 */
bool
plug_placement_mean_load(const struct plug_placement *placement, plug_time now,
    const struct plug_service *service, double *mean)
{
	unsigned int count = 0;
	double sum = 0;

	for (unsigned int i = 0; i < PLUG_SIBLINGS_MAX; i++) {
		const struct plug_sibling *sibling = &placement->siblings[i];

		if (!plug_sibling_usable(sibling, service, now))
			continue;
		sum += plug_sibling_warm_load(sibling);
		count++;
	}
	if (count > 0)
		*mean = sum / count;
	return count > 0;
}

/**
 * plug_placement_add_sent() - count flows that were sent to a sibling
 * @placement: placement
 * @endpoint: address of the sibling
 * @flows: number of flows to add
 *
 * They count until the next report of the sibling. Has no effect for an address
 * without a stored report.
 */
void
plug_placement_add_sent(struct plug_placement *placement,
    struct plug_endpoint endpoint, uint32_t flows)
{
	struct plug_sibling *sibling = find_sibling(placement, endpoint);

	if (sibling != NULL)
		sibling->flows_sent += flows;
}
