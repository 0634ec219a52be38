#ifndef PLUG_TRACK_ESTIMATE_H
#define PLUG_TRACK_ESTIMATE_H

#include "../client.h"

/**
 * struct plug_estimate - what a repeatedly measured time is now
 * @mean: moving average, microseconds
 * @deviation: moving average of the distance from @mean, microseconds
 * @measurement_count: measurements, up to a limit; 0 while nothing is known
 */
struct plug_estimate {
	double mean;
	double deviation;
	unsigned int measurement_count;
};

void plug_estimate_add(struct plug_estimate *estimate, plug_time time);
plug_time plug_estimate_upper_bound(const struct plug_estimate *estimate);

#endif
