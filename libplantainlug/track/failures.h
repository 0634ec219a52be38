#ifndef PLUG_TRACK_FAILURES_H
#define PLUG_TRACK_FAILURES_H

#include <stdbool.h>

#include "../client.h"

/**
 * struct plug_failures - how the requests of one host have ended lately
 * @failed: requests that failed; halved every second
 * @answered: requests that were answered; likewise
 * @decayed: time of the last halving
 * @until: the host counts as failing until this time
 * @hold: length of the last such period
 */
struct plug_failures {
	double failed;
	double answered;
	plug_time decayed;
	plug_time until;
	plug_time hold;
};

bool
plug_failures_count(struct plug_failures *failures, plug_time now, bool failed);
bool plug_failures_failing(const struct plug_failures *failures, plug_time now);

#endif
