#ifndef PLUG_TRACK_WORKTIMES_H
#define PLUG_TRACK_WORKTIMES_H

#include "../client.h"
#include "../packet.h"

#define PLUG_WORKTIMES_MAX 16 /* routes that one host serves */

/**
 * struct plug_worktime - how long requests of one route take
 * @route: address and port that clients name
 * @mean: moving average, microseconds
 * @count: requests measured, up to a limit
 */
struct plug_worktime {
	struct plug_endpoint route;
	double mean;
	unsigned int count;
};

/**
 * struct plug_worktimes - how long one host works on requests
 * @mean: moving average over all requests, microseconds
 * @count: length of @routes
 * @routes: routes that have had a request
 */
struct plug_worktimes {
	double mean;
	unsigned int count;
	struct plug_worktime routes[PLUG_WORKTIMES_MAX];
};

void plug_worktimes_add(
    struct plug_worktimes *times, struct plug_endpoint route, plug_time time);
bool plug_worktimes_short(
    const struct plug_worktimes *times, struct plug_endpoint route);

#endif
