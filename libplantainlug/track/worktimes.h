#ifndef PLUG_TRACK_WORKTIMES_H
#define PLUG_TRACK_WORKTIMES_H

#include "../packet.h"
#include "estimate.h"

#define PLUG_WORKTIMES_ROUTES_MAX 16 /* routes that one host serves */

/**
 * struct plug_route_worktime - what an agent knows of the requests of one route
 * @route: address and port that clients name
 * @work_estimate: how long the host works on a request now
 */
struct plug_route_worktime {
	struct plug_endpoint route;
	struct plug_estimate work_estimate;
};

/**
 * struct plug_worktimes - how long one host works on requests
 * @overall: requests of all routes
 * @count: length of @routes
 * @routes: routes that have had a flow
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
    const struct plug_route_worktime *route);
bool plug_worktimes_is_short(const struct plug_worktimes *times,
    const struct plug_route_worktime *route);
bool plug_worktimes_has_short(const struct plug_worktimes *times);

#endif
