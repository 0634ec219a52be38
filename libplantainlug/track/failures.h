#ifndef PLUG_TRACK_FAILURES_H
#define PLUG_TRACK_FAILURES_H

#include <stdbool.h>

#include "../client.h"

/**
 * struct plug_failures - how the requests of one host have ended lately
 * @failed: requests that failed; halved every second
 * @answered: requests that were answered; likewise
 * @decayed_at: time of the last halving
 * @failing_until: the host counts as failing until this time
 * @failing_period: length of the last such period
 */
struct plug_failures {
	double failed;
	double answered;
	plug_time decayed_at;
	plug_time failing_until;
	plug_time failing_period;
};

bool plug_failures_record(
    struct plug_failures *failures, plug_time now, bool failed);
bool
plug_failures_is_failing(const struct plug_failures *failures, plug_time now);

#endif
