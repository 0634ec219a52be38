#include "failures.h"

/*
 * A host may fail requests while its health check passes, or between two
 * checks. Its load is then low, so that it would attract most of the new flows.
 * A failing host gets new flows only if there is no other host.
 */

/* A single failure may be the client's or the network's fault. The host is at
 * fault if about three requests in a second and one in five fail. */
#define FAILED_MIN   2.5
#define FAILED_SHARE 0.2

#define HALF_LIFE PLUG_SEC

/* Length of a failing period. Within RELAPSE_TIME after a period, FAILED_MIN
 * isn't required, so that one failure can be enough, and the next period is
 * twice as long. A host that goes down and up every second or two thus gets
 * only a handful of flows. */
#define PERIOD_MIN   PLUG_SEC
#define PERIOD_MAX   (8 * PLUG_SEC)
#define RELAPSE_TIME (10 * PLUG_SEC)

static void
decay(struct plug_failures *failures, plug_time now)
{
	if (now - failures->decayed_at >= 10 * HALF_LIFE) {
		failures->failed = 0;
		failures->answered = 0;
		failures->decayed_at = now;
	}
	while (now - failures->decayed_at >= HALF_LIFE) {
		failures->failed /= 2;
		failures->answered /= 2;
		failures->decayed_at += HALF_LIFE;
	}
}

/**
 * plug_failures_record() - record the outcome of a request
 * @failures: failures; zeroed memory is a valid initial value
 * @now: current time
 * @failed: the host reset the flow instead of answering, or the client gave up
 *
 * Return: true if this outcome begins a failing period.
 */
bool
plug_failures_record(struct plug_failures *failures, plug_time now, bool failed)
{
	bool is_relapse = failures->failing_period != 0 &&
			  now - failures->failing_until < RELAPSE_TIME;

	decay(failures, now);
	if (!failed) {
		failures->answered++;
		return false;
	}
	failures->failed++;
	if (plug_failures_is_failing(failures, now) ||
	    (!is_relapse && failures->failed < FAILED_MIN) ||
	    failures->failed <
		FAILED_SHARE * (failures->failed + failures->answered))
		return false;
	failures->failing_period =
	    is_relapse ? failures->failing_period * 2 : PERIOD_MIN;
	if (failures->failing_period > PERIOD_MAX)
		failures->failing_period = PERIOD_MAX;
	failures->failing_until = now + failures->failing_period;
	failures->failed = 0;
	failures->answered = 0;
	return true;
}

/**
 * plug_failures_is_failing() - whether the host is in a failing period
 * @failures: failures
 * @now: current time
 */
bool
plug_failures_is_failing(const struct plug_failures *failures, plug_time now)
{
	return now < failures->failing_until;
}
