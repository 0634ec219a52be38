#include "mechanism.h"
#include "worktimes.h"

/* Requests of a route are short if they take on average at most this share of
 * the average over all routes. */
#define SHORT_SHARE 0.5

/* Measurements before a route may count as short: a single request may have
 * been quick by chance. */
#define SHORT_COUNT_MIN 4

/**
 * plug_worktimes_find() - find the record of a route
 * @times: work times of a host
 * @route: route
 *
 * Return: record inside @times, or NULL.
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
	struct plug_route_worktime *found =
	    (struct plug_route_worktime *)plug_worktimes_find(times, route);

	if (found == NULL && times->count < PLUG_WORKTIMES_ROUTES_MAX) {
		found = &times->routes[times->count++];
		*found = (struct plug_route_worktime){ .route = route };
	}
	return found;
}

/**
 * plug_worktimes_find_or_add() - find or add the record of a route
 * @times: work times of a host; zeroed memory is a valid initial value
 * @route: route
 *
 * Return: record inside @times, or NULL if the route is new and
 * PLUG_WORKTIMES_ROUTES_MAX routes are recorded already.
 */
const struct plug_route_worktime *
plug_worktimes_find_or_add(
    struct plug_worktimes *times, struct plug_endpoint route)
{
	return find_or_add(times, route);
}

/**
 * plug_worktimes_record() - record the work time of an answered request
 * @times: work times of a host; zeroed memory is a valid initial value
 * @route: route of the flow; beyond PLUG_WORKTIMES_ROUTES_MAX routes only the
 *   overall estimate is updated
 * @time: microseconds from the request to the first segment of the answer. The
 *   request must not have waited for a slot of the host
 */
void
plug_worktimes_record(
    struct plug_worktimes *times, struct plug_endpoint route, plug_time time)
{
	struct plug_route_worktime *found = find_or_add(times, route);

	plug_estimate_add(&times->overall, time);
	if (found != NULL)
		plug_estimate_add(&found->work_estimate, time);
}

/**
 * plug_worktimes_estimate() - estimate the work time of a request
 * @times: work times of the host
 * @worktime: record of the request's route, or NULL
 *
 * Return: estimate inside @times: the route's, or that for all routes if the
 * route has no measurement yet. Its measurement_count is 0 if there is no
 * measurement of any route.
 */
const struct plug_estimate *
plug_worktimes_estimate(const struct plug_worktimes *times,
    const struct plug_route_worktime *worktime)
{
	return worktime != NULL && worktime->work_estimate.measurement_count > 0
		   ? &worktime->work_estimate
		   : &times->overall;
}

/**
 * plug_worktimes_is_short() - whether the requests of a route are short
 * @times: work times of the host
 * @worktime: record of the route; if NULL, the result is false
 *
 * Short means at most SHORT_SHARE of the average work time over all routes,
 * after at least SHORT_COUNT_MIN measurements.
 *
 * If more flows wait than can be served in time, those with short requests go
 * before others of the same priority and outlook (see admission.c): several of
 * them are served in the time of one other request.
 */
bool
plug_worktimes_is_short(const struct plug_worktimes *times,
    const struct plug_route_worktime *worktime)
{
	return plug_built_with(PLUG_MECHANISM_SHORT) && worktime != NULL &&
	       worktime->work_estimate.measurement_count >= SHORT_COUNT_MIN &&
	       worktime->work_estimate.mean <=
		   SHORT_SHARE * times->overall.mean;
}

/**
 * plug_worktimes_has_short() - whether any route has short requests
 * @times: work times of the host
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
