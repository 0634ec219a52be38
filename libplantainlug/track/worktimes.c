#include "worktimes.h"

/* Weight of one request in the averages: those of some 16 requests count, so
 * that a host which turns cold or slow is known within a second. */
#define WEIGHT (1.0 / 16)

/* Requests are short when they take at most this part of the average. */
#define SHORT_PART 0.5

/* One request may have been quick by chance. */
#define COUNT_MIN 4

static double
average(double mean, plug_time time)
{
	if (mean <= 0)
		return (double)time;
	return mean + WEIGHT * ((double)time - mean);
}

static struct plug_worktime *
find(const struct plug_worktimes *times, struct plug_endpoint route)
{
	for (unsigned int i = 0; i < times->count; i++) {
		if (plug_endpoint_equal(times->routes[i].route, route))
			return (struct plug_worktime *)&times->routes[i];
	}
	return NULL;
}

/**
 * plug_worktimes_add() - a request was answered that had not to wait
 * @times: times; zeroed memory is a valid start
 * @route: route of its flow; one too many is not counted
 * @time: from the request to the first segment of the answer
 */
void
plug_worktimes_add(
    struct plug_worktimes *times, struct plug_endpoint route, plug_time time)
{
	struct plug_worktime *known = find(times, route);

	times->mean = average(times->mean, time);
	if (known == NULL) {
		if (times->count == PLUG_WORKTIMES_MAX)
			return;
		known = &times->routes[times->count++];
		*known = (struct plug_worktime){ .route = route };
	}
	known->mean = average(known->mean, time);
	if (known->count < COUNT_MIN)
		known->count++;
}

/**
 * plug_worktimes_short() - whether requests of a route take little of the host
 * @times: times
 * @route: route
 *
 * When more flows wait than can be served in time, those with short requests go
 * first among equally urgent ones: several of them are served for one other.
 */
bool
plug_worktimes_short(
    const struct plug_worktimes *times, struct plug_endpoint route)
{
	const struct plug_worktime *known = find(times, route);

	return known != NULL && known->count >= COUNT_MIN &&
	       known->mean <= SHORT_PART * times->mean;
}
