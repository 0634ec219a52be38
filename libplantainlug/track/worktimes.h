#ifndef PLUG_TRACK_WORKTIMES_H
#define PLUG_TRACK_WORKTIMES_H

#include "../packet.h"
#include "estimate.h"

#define PLUG_WORKTIMES_ROUTES_MAX 16 /* routes recorded for one host */

/**
 * struct plug_route_worktime - current work time of the requests of one route
 * @route: address and port that clients connect to
 * @work_estimate: work time, from when the host gets a request until the first
 *   segment of its answer; only of requests that got a slot at once
 */
struct plug_route_worktime {
	struct plug_endpoint route;
	struct plug_estimate work_estimate;
};

/**
 * struct plug_worktimes - current work times of the requests of one host
 * @overall: estimate over the requests of all routes
 * @count: length of @routes
 * @routes: routes that have had a flow, in the order of their first one
 */
struct plug_worktimes {
	struct plug_estimate overall;
	unsigned int count;
	struct plug_route_worktime routes[PLUG_WORKTIMES_ROUTES_MAX];
};

const struct plug_route_worktime *plug_worktimes_find(
    const struct plug_worktimes *times, struct plug_endpoint route);
const struct plug_route_worktime *plug_worktimes_find_or_add(
    struct plug_worktimes *times, struct plug_endpoint route);
void plug_worktimes_record(
    struct plug_worktimes *times, struct plug_endpoint route, plug_time time);
const struct plug_estimate *
plug_worktimes_estimate(const struct plug_worktimes *times,
    const struct plug_route_worktime *worktime);
bool plug_worktimes_is_short(const struct plug_worktimes *times,
    const struct plug_route_worktime *worktime);
bool plug_worktimes_has_short(const struct plug_worktimes *times);

#endif
