#include "mechanism.h"
#include "worktimes.h"

/* Requests are short when they take at most this part of the average. */
#define SHORT_PART 0.5

/* One request may have been quick by chance. */
#define COUNT_MIN 4

/**
 * plug_worktimes_find() - what is known of a route
 * @times: times
 * @route: route
 *
 * Return: the route, or NULL.
 */
const struct plug_route_worktime *
plug_worktimes_find(
    const struct plug_worktimes *times, struct plug_endpoint route)
{
	for (unsigned int i = 0; i < times->count; i++) {
		if (plug_endpoint_equal(times->routes[i].route, route))
			return &times->routes[i];
	}
	return NULL;
}

static struct plug_route_worktime *
find_or_add(struct plug_worktimes *times, struct plug_endpoint route)
{
	struct plug_route_worktime *known =
	    (struct plug_route_worktime *)plug_worktimes_find(times, route);

	if (known == NULL && times->count < PLUG_WORKTIMES_ROUTES_MAX) {
		known = &times->routes[times->count++];
		*known = (struct plug_route_worktime){ .route = route };
	}
	return known;
}

/**
 * plug_worktimes_find_or_add() - a flow of a route has come
 * @times: times; zeroed memory is a valid start
 * @route: route
 *
 * Return: the route, or NULL for one too many, which is not kept.
 */
const struct plug_route_worktime *
plug_worktimes_find_or_add(
    struct plug_worktimes *times, struct plug_endpoint route)
{
	return find_or_add(times, route);
}

/**
 * plug_worktimes_record() - a request was answered that had not to wait
 * @times: times; zeroed memory is a valid start
 * @route: route of its flow; one too many is not counted
 * @time: from the request to the first segment of the answer
 */
void
plug_worktimes_record(
    struct plug_worktimes *times, struct plug_endpoint route, plug_time time)
{
	struct plug_route_worktime *known = find_or_add(times, route);

	plug_estimate_add(&times->overall, time);
	if (known != NULL)
		plug_estimate_add(&known->work_estimate, time);
}

/**
 * plug_worktimes_estimate() - how long the host works on a request now
 * @times: times
 * @route: route of the request, or NULL
 *
 * Return: of the route, or of all when it has not been measured.
 */
const struct plug_estimate *
plug_worktimes_estimate(
    const struct plug_worktimes *times, const struct plug_route_worktime *route)
{
	return route != NULL && route->work_estimate.measurement_count > 0
		   ? &route->work_estimate
		   : &times->overall;
}

/**
 * plug_worktimes_is_short() - whether requests of a route take little of the
 * host
 * @times: times
 * @route: route, or NULL
 *
 * When more flows wait than can be served in time, those with short requests go
 * first among equally urgent ones: several of them are served for one other.
 */
bool
plug_worktimes_is_short(
    const struct plug_worktimes *times, const struct plug_route_worktime *route)
{
	return plug_built_with(PLUG_MECHANISM_SHORT) && route != NULL &&
	       route->work_estimate.measurement_count >= COUNT_MIN &&
	       route->work_estimate.mean <= SHORT_PART * times->overall.mean;
}

/**
 * plug_worktimes_has_short() - whether any route has such requests
 * @times: times
 */
bool
plug_worktimes_has_short(const struct plug_worktimes *times)
{
	for (unsigned int i = 0; i < times->count; i++) {
		if (plug_worktimes_is_short(times, &times->routes[i]))
			return true;
	}
	return false;
}
