#include "failures.h"

/*
 * A host may fail requests while its health check is good, or between two
 * checks. It then has few flows and little work, so that it would get the most
 * new ones. Such a host gets new flows only when there is no other one.
 */

/* One failure may have been the client's or the network's; three in about a
 * second, and every fifth request, are the host's. */
#define FAILED_MIN   2.5
#define FAILED_SHARE 0.2

#define HALF_LIFE PLUG_SEC

/* When a host fails within RELAPSE_TIME after a period, one failure is enough,
 * and it is left alone for twice as long as before. One that goes down and up
 * every second or two so gets a handful of flows in all. */
#define HOLD_MIN     PLUG_SEC
#define HOLD_MAX     (8 * PLUG_SEC)
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
 * plug_failures_record() - a request has ended
 * @failures: failures; zeroed memory is a valid start
 * @now: time
 * @failed: the host has reset the flow instead of an answer, or the client has
 *   given up
 *
 * Return: whether the host counts as failing from now on, and did not before.
 */
bool
plug_failures_record(struct plug_failures *failures, plug_time now, bool failed)
{
	bool relapse = failures->failing_period != 0 &&
		       now - failures->failing_until < RELAPSE_TIME;

	decay(failures, now);
	if (!failed) {
		failures->answered++;
		return false;
	}
	failures->failed++;
	if (plug_failures_is_failing(failures, now) ||
	    (!relapse && failures->failed < FAILED_MIN) ||
	    failures->failed <
		FAILED_SHARE * (failures->failed + failures->answered))
		return false;
	failures->failing_period =
	    relapse ? failures->failing_period * 2 : HOLD_MIN;
	if (failures->failing_period > HOLD_MAX)
		failures->failing_period = HOLD_MAX;
	failures->failing_until = now + failures->failing_period;
	failures->failed = 0;
	failures->answered = 0;
	return true;
}

/**
 * plug_failures_is_failing() - whether new flows should go elsewhere
 * @failures: failures
 * @now: time
 */
bool
plug_failures_is_failing(const struct plug_failures *failures, plug_time now)
{
	return now < failures->failing_until;
}
