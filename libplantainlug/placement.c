#include <math.h>

#include "placement.h"
#include "rank.h"

/* A request at work counts as much as this many open flows, which send a
 * request now and then. */
#define REQUEST_WEIGHT 8

/*
 * Own load over that of a sibling before a flow goes there. Below the limit of
 * 1.10 times the mean, with room for what reports don't show yet. Another
 * domain needs no larger margin: the fabric sprays the later packets of a flow
 * over the entries of all domains wherever its owner is.
 */
#define MARGIN	1.03
#define BOUND	1.10 /* of the flows that a leaving agent gives to one */
#define CHOICES 2    /* random siblings that are compared */
#define MILLI	1000.0

/**
 * plug_placement_init() - forget all siblings
 * @placement: placement to fill
 */
void
plug_placement_init(struct plug_placement *placement)
{
	*placement = (struct plug_placement){ 0 };
}

static struct plug_sibling *
find(struct plug_placement *placement, struct plug_endpoint endpoint)
{
	for (unsigned int i = 0; i < PLUG_SIBLINGS_MAX; i++) {
		struct plug_sibling *sibling = &placement->siblings[i];

		if (sibling->instance != 0 &&
		    plug_endpoint_equal(sibling->endpoint, endpoint))
			return sibling;
	}
	return NULL;
}

/* An unused entry, or else the one whose report is stale and the oldest. */
static struct plug_sibling *
replaceable(struct plug_placement *placement, plug_time now)
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
 * plug_placement_store_report() - remember a sibling's report
 * @placement: placement
 * @now: time
 * @sender: sibling of the own service
 * @report: its report
 *
 * A report of a further sibling is ignored while all entries are fresh.
 */
void
plug_placement_store_report(struct plug_placement *placement, plug_time now,
    const Plug__Sender *sender, const Plug__Report *report)
{
	struct plug_endpoint endpoint = { sender->address,
		(uint16_t)sender->port };
	struct plug_sibling *sibling = find(placement, endpoint);

	if (sibling == NULL)
		sibling = replaceable(placement, now);
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
 * plug_load_per_slot() - comparable figure of an agent's load
 * @load: figures
 * @sent: flows that the figures don't show yet
 *
 * A lower limit, as of a cold upstream, makes the load per slot higher.
 */
double
plug_load_per_slot(const struct plug_load *load, uint32_t sent)
{
	double flows =
	    (double)load->flows + sent + REQUEST_WEIGHT * load->mean_requests;

	return flows / (load->limit > 0 ? load->limit : 1);
}

/**
 * plug_placement_find() - the fresh report of a sibling
 * @placement: placement
 * @now: time
 * @endpoint: its address
 *
 * Return: the sibling, or NULL when its report is missing or stale.
 */
const struct plug_sibling *
plug_placement_find(const struct plug_placement *placement, plug_time now,
    struct plug_endpoint endpoint)
{
	const struct plug_sibling *sibling =
	    find((struct plug_placement *)(uintptr_t)placement, endpoint);

	if (sibling == NULL || now - sibling->reported_at > PLUG_REPORT_AGE_MAX)
		return NULL;
	return sibling;
}

/**
 * plug_sibling_usable() - whether a sibling may be given flows
 * @sibling: sibling
 * @service: service in the current view
 * @now: time
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
 * plug_sibling_warm_load() - load per slot of an upstream that is warm, or
 * will be soon
 * @sibling: sibling
 */
double
plug_sibling_warm_load(const struct plug_sibling *sibling)
{
	struct plug_load load = sibling->load;

	load.limit = load.slots;
	return plug_load_per_slot(&load, sibling->flows_sent);
}

static double
present_load(const struct plug_sibling *sibling)
{
	return plug_load_per_slot(&sibling->load, sibling->flows_sent);
}

/* The better of two usable siblings drawn at random from one side of the
 * domain boundary. */
static const struct plug_sibling *
better_of_two(const struct plug_placement *placement,
    struct plug_client *client, plug_time now,
    const struct plug_service *service, uint32_t domain, bool own_domain,
    double (*load_of)(const struct plug_sibling *sibling))
{
	const struct plug_sibling *usable[PLUG_SIBLINGS_MAX];
	const struct plug_sibling *best = NULL;
	unsigned int count = 0;

	for (unsigned int i = 0; i < PLUG_SIBLINGS_MAX; i++) {
		const struct plug_sibling *sibling = &placement->siblings[i];

		if ((sibling->domain == domain) == own_domain &&
		    plug_sibling_usable(sibling, service, now))
			usable[count++] = sibling;
	}
	for (unsigned int i = 0; i < CHOICES && count > 0; i++) {
		uint32_t at = plug_client_random(client, count);
		const struct plug_sibling *drawn = usable[at];

		usable[at] = usable[--count];
		if (best == NULL || load_of(drawn) < load_of(best))
			best = drawn;
	}
	return best;
}

/* The first of own and other domains whose better sibling is less loaded. */
static const struct plug_sibling *
less_loaded(const struct plug_placement *placement, struct plug_client *client,
    plug_time now, const struct plug_service *service, uint32_t domain,
    double load, double (*load_of)(const struct plug_sibling *sibling))
{
	for (int own = 1; own >= 0; own--) {
		const struct plug_sibling *sibling = better_of_two(
		    placement, client, now, service, domain, own, load_of);

		if (sibling != NULL && load > MARGIN * load_of(sibling))
			return sibling;
	}
	return NULL;
}

/**
 * plug_placement_open_target() - choose who gets an opening flow
 * @placement: placement
 * @client: random numbers
 * @now: time
 * @service: service in the current view
 * @domain: own domain
 * @own: own load
 * @must_leave: the agent can't keep the flow itself
 *
 * A sibling gets the flow only when the own load exceeds its load by a margin,
 * one of the own domain first. Loads include what was sent since the last
 * report, so that an old report doesn't attract all flows.
 *
 * Return: a sibling, or NULL to keep the flow or refuse it.
 */
const struct plug_sibling *
plug_placement_open_target(const struct plug_placement *placement,
    struct plug_client *client, plug_time now,
    const struct plug_service *service, uint32_t domain,
    const struct plug_load *own, bool must_leave)
{
	/* The flow counts wherever it goes. */
	double load = must_leave ? INFINITY : plug_load_per_slot(own, 1);

	return less_loaded(
	    placement, client, now, service, domain, load, present_load);
}

/* Flows for each usable sibling when all of the own flows have been moved. */
static double
flows_after_leaving(const struct plug_placement *placement, plug_time now,
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
 * plug_placement_leave_target() - choose who takes over a flow of a leaving
 * agent
 * @placement: placement
 * @now: time
 * @service: service in the current view
 * @self: own address
 * @flow: flow id
 * @own_flows: flows that are still to be moved
 *
 * The first of the ranked candidates that stays within 10% of the flows that
 * each sibling gets when they are spread evenly, so that an entry that looks
 * for the flow finds it by the same ranking. Otherwise the candidate with the
 * fewest flows, and without a usable candidate any usable sibling.
 *
 * Return: a usable sibling, or NULL.
 */
const struct plug_sibling *
plug_placement_leave_target(const struct plug_placement *placement,
    plug_time now, const struct plug_service *service,
    struct plug_endpoint self, uint64_t flow, uint32_t own_flows)
{
	double bound =
	    BOUND * flows_after_leaving(placement, now, service, own_flows);
	const struct plug_member *ranked[PLUG_RANKED_MAX];
	unsigned int count = plug_rank_members(service, flow, self, ranked);
	const struct plug_sibling *best = NULL;

	for (unsigned int i = 0; i < count; i++) {
		const struct plug_sibling *sibling =
		    plug_placement_find(placement, now, ranked[i]->endpoint);

		if (sibling == NULL ||
		    !plug_sibling_usable(sibling, service, now))
			continue;
		if (sibling->load.flows + sibling->flows_sent + 1 <= bound)
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
 * plug_placement_avoid() - don't give flows to a sibling for a while
 * @placement: placement
 * @endpoint: its address
 * @until: time when it may be asked again
 */
void
plug_placement_avoid(struct plug_placement *placement,
    struct plug_endpoint endpoint, plug_time until)
{
	struct plug_sibling *sibling = find(placement, endpoint);

	if (sibling != NULL)
		sibling->avoid_until = until;
}

/**
 * plug_placement_rebalance_target() - choose who gets flows of a loaded agent
 * @placement: placement
 * @client: random numbers
 * @now: time
 * @service: service in the current view
 * @domain: own domain
 * @load: own load per warm slot
 *
 * Open flows outlast a cold start, so loads are compared by warm slots. The
 * choice is random, so that several loaded agents don't all choose the same.
 *
 * Return: the better of two siblings of the own domain, or else of other ones,
 * when the own load exceeds its load by the margin; or NULL.
 */
const struct plug_sibling *
plug_placement_rebalance_target(const struct plug_placement *placement,
    struct plug_client *client, plug_time now,
    const struct plug_service *service, uint32_t domain, double load)
{
	return less_loaded(placement, client, now, service, domain, load,
	    plug_sibling_warm_load);
}

/**
 * plug_placement_mean_load() - mean load per warm slot of the siblings
 * @placement: placement
 * @now: time
 * @service: service in the current view
 * @mean: result
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
 * plug_placement_add_sent() - count flows that a sibling has been given
 * @placement: placement
 * @endpoint: its address
 * @flows: number of flows
 */
void
plug_placement_add_sent(struct plug_placement *placement,
    struct plug_endpoint endpoint, uint32_t flows)
{
	struct plug_sibling *sibling = find(placement, endpoint);

	if (sibling != NULL)
		sibling->flows_sent += flows;
}
