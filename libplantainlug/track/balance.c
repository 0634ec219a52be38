#include <stdlib.h>

#include "balance.h"
#include "mechanism.h"

/* An agent reports its load within 50 ms of receiving a flow. After six such
 * periods without a report the agent is considered stopped. */
#define REPORT_TIMEOUT (300 * PLUG_MSEC)

/* The request counts of older reports are ignored. An agent whose host accepted
 * no flows or was failing is asked again when its last report is older. */
#define REPORT_MAX_AGE (1500 * PLUG_MSEC)

/* A host of another domain must answer sooner than a local one by more than
 * this many of the local host's request times, to make up for the round trip
 * between the domains. */
#define REMOTE_GAIN_MIN 1.0

/* An outstanding request counts as much as this many open flows in the score of
 * a host: an open flow only predicts load, an outstanding request is load now.
 */
#define REQUEST_WEIGHT 2.0

/**
 * plug_balance_init() - initialize without a snapshot
 * @balance: uninitialized structure
 */
void
plug_balance_init(struct plug_balance *balance)
{
	*balance = (struct plug_balance){ 0 };
}

/**
 * plug_balance_finish() - release the snapshot and free the loads
 * @balance: balance; left initialized
 */
void
plug_balance_finish(struct plug_balance *balance)
{
	plug_fleet_release(balance->fleet);
	free(balance->host_loads);
	plug_balance_init(balance);
}

/**
 * plug_balance_adopt() - replace the snapshot
 * @balance: balance; keeps the loads of hosts that are in both snapshots
 * @now: current time
 * @fleet: new snapshot; takes over the caller's reference, also on failure
 *
 * Return: false when out of memory, with the old snapshot still in place.
 */
bool
plug_balance_adopt(
    struct plug_balance *balance, plug_time now, struct plug_fleet *fleet)
{
	struct plug_host_load *loads =
	    calloc(fleet->host_count + 1, sizeof(*loads));

	if (loads == NULL) {
		plug_fleet_release(fleet);
		return false;
	}
	for (unsigned int i = 0; i < fleet->host_count; i++) {
		const struct plug_host_load *previous =
		    plug_balance_host_load(balance, fleet->hosts[i].id);

		if (previous != NULL)
			loads[i] = *previous;
		else
			loads[i].accepting = true;
		if (!fleet->hosts[i].superseded)
			loads[i].superseded_at = 0;
		else if (loads[i].superseded_at == 0)
			loads[i].superseded_at = now;
	}
	plug_balance_finish(balance);
	balance->fleet = fleet;
	balance->host_loads = loads;
	return true;
}

/**
 * plug_balance_host_load() - look up the load of a host
 * @balance: balance
 * @host: hash of the host's instance id
 *
 * Return: the load, owned by @balance and valid until the next
 * plug_balance_adopt(), or NULL if the snapshot lacks the host.
 */
struct plug_host_load *
plug_balance_host_load(const struct plug_balance *balance, uint64_t host)
{
	const struct plug_fleet_host *found =
	    plug_fleet_find_host(balance->fleet, host);

	if (found == NULL)
		return NULL;
	return &balance->host_loads[found - balance->fleet->hosts];
}

/**
 * plug_balance_record_report() - record the load that an agent reported
 * @balance: balance
 * @now: time of arrival
 * @report: load report; ignored if its host is not in the snapshot
 */
void
plug_balance_record_report(
    struct plug_balance *balance, plug_time now, const Plug__Load *report)
{
	struct plug_host_load *load =
	    plug_balance_host_load(balance, report->host);

	if (load == NULL)
		return;
	load->flows = report->flows;
	load->running = report->running;
	load->waiting = report->waiting;
	load->accepting = report->accepting;
	load->failing =
	    plug_built_with(PLUG_MECHANISM_FAILING) && report->failing;
	load->request_time = report->work_us;
	load->reported_at = now;
	load->flows_sent = 0;
	load->first_sent_at = 0;
}

/**
 * plug_host_load_needs_query() - whether to ask the host's agent for its load
 * @load: load of the host
 * @now: current time
 *
 * An agent reports promptly only to entries that send it new flows. A host that
 * gets none may have changed its state since its last report, or a later report
 * may have been lost.
 *
 * Return: true if a report is overdue, or if the last one is older than
 * REPORT_MAX_AGE and the host accepted no flows then or was failing.
 */
bool
plug_host_load_needs_query(const struct plug_host_load *load, plug_time now)
{
	return plug_host_load_is_overdue(load, now) ||
	       ((!load->accepting || load->failing) &&
		   now - load->reported_at > REPORT_MAX_AGE);
}

/**
 * plug_host_load_is_overdue() - whether a report of a host's load is overdue
 * @load: load of the host
 * @now: current time
 *
 * Return: true if a flow was sent to the host and no report followed within
 * REPORT_TIMEOUT; the host's agent is then considered stopped.
 */
bool
plug_host_load_is_overdue(const struct plug_host_load *load, plug_time now)
{
	return load->first_sent_at != 0 &&
	       now - load->first_sent_at > REPORT_TIMEOUT;
}

static const struct plug_host_load *
load_of(const struct plug_balance *balance, const struct plug_fleet_host *host)
{
	return &balance->host_loads[host - balance->fleet->hosts];
}

/* Estimates the requests that the host has in progress or queued. */
static uint32_t
outstanding_requests(const struct plug_host_load *load, plug_time now)
{
	if (now - load->reported_at >= REPORT_MAX_AGE)
		return load->flows_sent;
	return load->flows_sent + load->running + load->waiting;
}

/**
 * plug_balance_expected_wait() - estimate how long a new flow would be queued
 * @balance: balance
 * @now: current time
 * @host: host of the snapshot
 *
 * Return: time until @host has a free slot, in microseconds; 0 also if the
 * host's request time is unknown or its last report is too old.
 */
plug_time
plug_balance_expected_wait(const struct plug_balance *balance, plug_time now,
    const struct plug_fleet_host *host)
{
	const struct plug_host_load *load = load_of(balance, host);
	uint32_t requests = outstanding_requests(load, now);
	plug_time wait;

	if (requests < host->slots || now - load->reported_at >= REPORT_MAX_AGE)
		return 0;
	wait = (plug_time)(requests - host->slots + 1) * load->request_time /
	       host->slots;
	/* The host has been working since the report. */
	wait -= now - load->reported_at;
	return wait > 0 ? wait : 0;
}

/* Return: queueing and request time in microseconds; 0 if unknown. */
static plug_time
expected_response_time(const struct plug_balance *balance, plug_time now,
    const struct plug_fleet_host *host)
{
	return plug_balance_expected_wait(balance, now, host) +
	       load_of(balance, host)->request_time;
}

/* Return: load per slot, in open flows; the host with the lowest is chosen. */
static double
load_score(const struct plug_balance *balance, plug_time now,
    const struct plug_fleet_host *host)
{
	const struct plug_host_load *load = load_of(balance, host);
	double flows = load->flows + load->flows_sent;

	return (flows + REQUEST_WEIGHT * outstanding_requests(load, now)) /
	       host->slots;
}

static bool
is_excluded(const struct plug_excluded_hosts *excluded, uint64_t host)
{
	for (unsigned int i = 0; i < excluded->count; i++) {
		if (excluded->ids[i] == host)
			return true;
	}
	return false;
}

/* Whether a later host has replaced a host at its address. An agent knows which
 * host runs on its machine, so a report after the list showed the later one
 * goes before the list. */
static bool
is_replaced(
    const struct plug_fleet_host *host, const struct plug_host_load *load)
{
	return host->superseded && load->reported_at <= load->superseded_at;
}

static bool
is_eligible(const struct plug_balance *balance, unsigned int index,
    plug_time now, uint64_t service, const struct plug_excluded_hosts *excluded)
{
	const struct plug_fleet_host *host = &balance->fleet->hosts[index];
	const struct plug_host_load *load = &balance->host_loads[index];

	return host->service == service && !host->draining &&
	       !is_replaced(host, load) &&
	       !plug_fleet_domain_is_out(balance->fleet, host->domain) &&
	       !is_excluded(excluded, host->id) && load->accepting &&
	       now >= load->avoid_until &&
	       !plug_host_load_is_overdue(load, now);
}

/* A remote host is used only if new flows are queued at the local one, and only
 * for a gain above REMOTE_GAIN_MIN. */
static bool
prefers_remote(const struct plug_balance *balance, plug_time now,
    const struct plug_fleet_host *local, const struct plug_fleet_host *remote)
{
	plug_time gain = expected_response_time(balance, now, local) -
			 expected_response_time(balance, now, remote);

	return plug_built_with(PLUG_MECHANISM_SPILL) &&
	       plug_balance_expected_wait(balance, now, local) > 0 &&
	       gain > (plug_time)(REMOTE_GAIN_MIN *
				  load_of(balance, local)->request_time);
}

/* Considers only failing hosts if @failing, else only the others. */
static const struct plug_fleet_host *
choose_least_loaded(const struct plug_balance *balance, plug_time now,
    uint64_t service, uint32_t domain,
    const struct plug_excluded_hosts *excluded, bool failing)
{
	const struct plug_fleet *fleet = balance->fleet;
	/* [0]: hosts of @domain, [1]: hosts of other domains. */
	const struct plug_fleet_host *best[2] = { NULL, NULL };
	double best_score[2] = { 0, 0 };

	for (unsigned int i = 0; i < fleet->host_count; i++) {
		const struct plug_fleet_host *host = &fleet->hosts[i];
		unsigned int remote = host->domain != domain;
		double host_score;

		if (balance->host_loads[i].failing != failing ||
		    !is_eligible(balance, i, now, service, excluded))
			continue;
		host_score = load_score(balance, now, host);
		if (best[remote] != NULL && host_score >= best_score[remote])
			continue;
		best[remote] = host;
		best_score[remote] = host_score;
	}
	if (best[0] == NULL || best[1] == NULL)
		return best[0] != NULL ? best[0] : best[1];
	return prefers_remote(balance, now, best[0], best[1]) ? best[1]
							      : best[0];
}

/**
 * plug_balance_choose() - choose the least loaded host for a new flow
 * @balance: balance
 * @now: current time
 * @service: hash of the service's name
 * @domain: hash of the name of the entry's domain; hosts there are preferred
 *   while no new flows queue at them, since traffic between domains is slower
 *   and costs money
 * @excluded: hosts that must not be chosen
 *
 * Return: the host, a failing one only if there is no other, owned by the
 * snapshot; NULL if no host can accept a flow now.
 */
const struct plug_fleet_host *
plug_balance_choose(const struct plug_balance *balance, plug_time now,
    uint64_t service, uint32_t domain,
    const struct plug_excluded_hosts *excluded)
{
	const struct plug_fleet_host *host = NULL;

	if (balance->fleet == NULL)
		return NULL;
	host =
	    choose_least_loaded(balance, now, service, domain, excluded, false);
	if (host != NULL)
		return host;
	return choose_least_loaded(
	    balance, now, service, domain, excluded, true);
}

/**
 * plug_balance_count_flow() - count a new flow sent to a host
 * @balance: balance
 * @now: current time
 * @host: host of the snapshot
 */
void
plug_balance_count_flow(struct plug_balance *balance, plug_time now,
    const struct plug_fleet_host *host)
{
	struct plug_host_load *load =
	    &balance->host_loads[host - balance->fleet->hosts];

	load->flows_sent++;
	if (load->first_sent_at == 0)
		load->first_sent_at = now;
}

/**
 * plug_balance_avoid() - stop choosing a host for a while
 * @balance: balance
 * @host: hash of the host's instance id; ignored if not in the snapshot
 * @until: when the host may be chosen again; ignored if earlier than that of a
 *   previous call
 */
void
plug_balance_avoid(struct plug_balance *balance, uint64_t host, plug_time until)
{
	struct plug_host_load *load = plug_balance_host_load(balance, host);

	if (load != NULL && until > load->avoid_until)
		load->avoid_until = until;
}
