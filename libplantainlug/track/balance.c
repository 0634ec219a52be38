#include <stdlib.h>

#include "balance.h"
#include "mechanism.h"

/* An agent reports within 50 ms of a flow that is sent to it. Six such times
 * without a report, it is taken for stopped. */
#define SILENT_TIME (300 * PLUG_MSEC)

/* A report older than this says nothing of requests at work. */
#define REPORT_STALE (1500 * PLUG_MSEC)

/* A host of another domain is worth the way there and back when it answers
 * sooner by as long as a request takes. */
#define REMOTE_WORK 1.0

/* A request at work weighs as much as this many open flows; idle flows are a
 * forecast, requests at work are load now. */
#define RUNNING_WEIGHT 2.0

/**
 * plug_balance_init() - prepare without a snapshot
 * @balance: balance to fill
 */
void
plug_balance_init(struct plug_balance *balance)
{
	*balance = (struct plug_balance){ 0 };
}

/**
 * plug_balance_finish() - give up the snapshot
 * @balance: balance
 */
void
plug_balance_finish(struct plug_balance *balance)
{
	plug_fleet_release(balance->fleet);
	free(balance->host_loads);
	plug_balance_init(balance);
}

/**
 * plug_balance_adopt() - act on a new snapshot
 * @balance: balance; what it knows of hosts that stay is kept
 * @fleet: snapshot; the caller's reference is taken over
 *
 * Return: false when memory ran out; the old snapshot then stays.
 */
bool
plug_balance_adopt(struct plug_balance *balance, struct plug_fleet *fleet)
{
	struct plug_host_load *targets =
	    calloc(fleet->host_count + 1, sizeof(*targets));

	if (targets == NULL) {
		plug_fleet_release(fleet);
		return false;
	}
	for (unsigned int i = 0; i < fleet->host_count; i++) {
		const struct plug_host_load *known =
		    plug_balance_host_load(balance, fleet->hosts[i].id);

		if (known != NULL)
			targets[i] = *known;
		else
			targets[i].accepting = true;
	}
	plug_balance_finish(balance);
	balance->fleet = fleet;
	balance->host_loads = targets;
	return true;
}

/**
 * plug_balance_host_load() - what is known of one host
 * @balance: balance
 * @host: hash of its instance id
 *
 * Return: the target, or NULL for a host that is not listed.
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
 * plug_balance_record_report() - an agent has told its load
 * @balance: balance
 * @now: time
 * @load: report
 */
void
plug_balance_record_report(
    struct plug_balance *balance, plug_time now, const Plug__Load *load)
{
	struct plug_host_load *target =
	    plug_balance_host_load(balance, load->host);

	if (target == NULL)
		return;
	target->flows = load->flows;
	target->running = load->running;
	target->waiting = load->waiting;
	target->accepting = load->accepting;
	target->failing =
	    plug_built_with(PLUG_MECHANISM_FAILING) && load->failing;
	target->request_time = load->work_us;
	target->reported_at = now;
	target->flows_sent = 0;
	target->first_sent_at = 0;
}

/**
 * plug_host_load_needs_query() - whether an agent is to be asked for its load
 * @target: target
 * @now: time
 *
 * A host that gets no new flows may have changed since its last report, and
 * that may have been followed by one that was lost.
 */
bool
plug_host_load_needs_query(const struct plug_host_load *target, plug_time now)
{
	return plug_host_load_is_overdue(target, now) ||
	       ((!target->accepting || target->failing) &&
		   now - target->reported_at > REPORT_STALE);
}

/**
 * plug_host_load_is_overdue() - whether an agent doesn't answer
 * @target: target
 * @now: time
 */
bool
plug_host_load_is_overdue(const struct plug_host_load *target, plug_time now)
{
	return target->first_sent_at != 0 &&
	       now - target->first_sent_at > SILENT_TIME;
}

static const struct plug_host_load *
target_of(
    const struct plug_balance *balance, const struct plug_fleet_host *host)
{
	return &balance->host_loads[host - balance->fleet->hosts];
}

/* Requests that it has, as far as is known. */
static uint32_t
work_at(const struct plug_host_load *target, plug_time now)
{
	if (now - target->reported_at >= REPORT_STALE)
		return target->flows_sent;
	return target->flows_sent + target->running + target->waiting;
}

/**
 * plug_balance_expected_wait() - how long a new flow would wait for a host
 * @balance: balance
 * @now: time
 * @host: host of the snapshot
 *
 * Return: microseconds; 0 also while the host's times are not known.
 */
plug_time
plug_balance_expected_wait(const struct plug_balance *balance, plug_time now,
    const struct plug_fleet_host *host)
{
	const struct plug_host_load *target = target_of(balance, host);
	uint32_t work = work_at(target, now);
	plug_time wait;

	if (work < host->slots || now - target->reported_at >= REPORT_STALE)
		return 0;
	wait = (plug_time)(work - host->slots + 1) * target->request_time /
	       host->slots;
	/* It has gone on since the report. */
	wait -= now - target->reported_at;
	return wait > 0 ? wait : 0;
}

/* How long a request takes there, or 0 while that is not known. */
static plug_time
answer_time(const struct plug_balance *balance, plug_time now,
    const struct plug_fleet_host *host)
{
	return plug_balance_expected_wait(balance, now, host) +
	       target_of(balance, host)->request_time;
}

static double
score(const struct plug_balance *balance, plug_time now,
    const struct plug_fleet_host *host)
{
	const struct plug_host_load *target = target_of(balance, host);
	double flows = target->flows + target->flows_sent;

	return (flows + RUNNING_WEIGHT * work_at(target, now)) / host->slots;
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

static bool
may_take(const struct plug_balance *balance, unsigned int index, plug_time now,
    uint64_t service, const struct plug_excluded_hosts *excluded)
{
	const struct plug_fleet_host *host = &balance->fleet->hosts[index];
	const struct plug_host_load *target = &balance->host_loads[index];

	return host->service == service && !host->draining &&
	       !host->superseded &&
	       !plug_fleet_domain_is_out(balance->fleet, host->domain) &&
	       !is_excluded(excluded, host->id) && target->accepting &&
	       now >= target->avoid_until &&
	       !plug_host_load_is_overdue(target, now);
}

/* Only a host where new flows wait is left for one of another domain. */
static bool
is_worth_the_way(const struct plug_balance *balance, plug_time now,
    const struct plug_fleet_host *near, const struct plug_fleet_host *far)
{
	plug_time gain =
	    answer_time(balance, now, near) - answer_time(balance, now, far);

	return plug_built_with(PLUG_MECHANISM_SPILL) &&
	       plug_balance_expected_wait(balance, now, near) > 0 &&
	       gain > (plug_time)(REMOTE_WORK *
				  target_of(balance, near)->request_time);
}

static const struct plug_fleet_host *
choose_among(const struct plug_balance *balance, plug_time now,
    uint64_t service, uint32_t domain,
    const struct plug_excluded_hosts *excluded, bool failing)
{
	const struct plug_fleet *fleet = balance->fleet;
	const struct plug_fleet_host *best[2] = { NULL, NULL };
	double score_of[2] = { 0, 0 };

	for (unsigned int i = 0; i < fleet->host_count; i++) {
		const struct plug_fleet_host *host = &fleet->hosts[i];
		unsigned int remote = host->domain != domain;
		double value;

		if (balance->host_loads[i].failing != failing ||
		    !may_take(balance, i, now, service, excluded))
			continue;
		value = score(balance, now, host);
		if (best[remote] != NULL && value >= score_of[remote])
			continue;
		best[remote] = host;
		score_of[remote] = value;
	}
	if (best[0] == NULL || best[1] == NULL)
		return best[0] != NULL ? best[0] : best[1];
	return is_worth_the_way(balance, now, best[0], best[1]) ? best[1]
								: best[0];
}

/**
 * plug_balance_choose() - choose the host of a new flow
 * @balance: balance
 * @now: time
 * @service: hash of the service's name
 * @domain: hash of the own domain's name; its hosts are preferred, since what
 *   crosses domains is slower and costs money
 * @excluded: hosts to leave out
 *
 * Return: the host, a failing one only when there is no other, or NULL when
 * none can take a flow now.
 */
const struct plug_fleet_host *
plug_balance_choose(const struct plug_balance *balance, plug_time now,
    uint64_t service, uint32_t domain,
    const struct plug_excluded_hosts *excluded)
{
	const struct plug_fleet_host *host = NULL;

	if (balance->fleet == NULL)
		return NULL;
	host = choose_among(balance, now, service, domain, excluded, false);
	if (host != NULL)
		return host;
	return choose_among(balance, now, service, domain, excluded, true);
}

/**
 * plug_balance_count_flow() - count a flow that was sent to a host
 * @balance: balance
 * @now: time
 * @host: host of the snapshot
 */
void
plug_balance_count_flow(struct plug_balance *balance, plug_time now,
    const struct plug_fleet_host *host)
{
	struct plug_host_load *target =
	    &balance->host_loads[host - balance->fleet->hosts];

	target->flows_sent++;
	if (target->first_sent_at == 0)
		target->first_sent_at = now;
}

/**
 * plug_balance_avoid() - leave a host out for a while
 * @balance: balance
 * @host: hash of its instance id
 * @until: time when it may be chosen again
 */
void
plug_balance_avoid(struct plug_balance *balance, uint64_t host, plug_time until)
{
	struct plug_host_load *target = plug_balance_host_load(balance, host);

	if (target != NULL && until > target->avoid_until)
		target->avoid_until = until;
}
