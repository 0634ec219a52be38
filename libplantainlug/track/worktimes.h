#ifndef PLUG_TRACK_WORKTIMES_H
#define PLUG_TRACK_WORKTIMES_H

#include "../packet.h"
#include "estimate.h"

#define PLUG_WORKTIMES_MAX 16 /* routes that one host serves */

/**
 * struct plug_worktime - what an agent knows of the requests of one route
 * @route: address and port that clients name
 * @work: how long the host works on a request now
 */
struct plug_worktime {
	struct plug_endpoint route;
	struct plug_estimate work;
};

/**
 * struct plug_worktimes - how long one host works on requests
 * @all: requests of all routes
 * @count: length of @routes
 * @routes: routes that have had a flow
 */
struct plug_worktimes {
	struct plug_estimate all;
	unsigned int count;
	struct plug_worktime routes[PLUG_WORKTIMES_MAX];
};

const struct plug_worktime *plug_worktimes_route(
    const struct plug_worktimes *times, struct plug_endpoint route);
const struct plug_worktime *
plug_worktimes_learn(struct plug_worktimes *times, struct plug_endpoint route);
void plug_worktimes_add(
    struct plug_worktimes *times, struct plug_endpoint route, plug_time time);
const struct plug_estimate *plug_worktimes_work(
    const struct plug_worktimes *times, const struct plug_worktime *route);
bool plug_worktimes_short(
    const struct plug_worktimes *times, const struct plug_worktime *route);
bool plug_worktimes_any_short(const struct plug_worktimes *times);

#endif
